/**
 * @file db.h
 * One connection to a member (a database server of a group), driven by the event loop. It is a
 * vtable, so that tests can replace it by a fake.
 */
#ifndef DB_H
#define DB_H

#include "kernel.h"
#include "token.h"

#include <glib.h>

struct db_conn;

enum db_status {
	DB_OK,
	DB_SQL_ERROR, /**< the member answered with an error */
	DB_LOST,      /**< the connection ended before the answer was complete */
};

/** A parameter of a statement. */
struct db_param {
	bool null;
	int format;
	unsigned type;
	const char *value;
	size_t len;
};

struct db_query {
	const char *sql;
	bool extended;	   /**< use the extended protocol, with parameters */
	bool describe;	   /**< only ask for parameter types and the row description */
	bool describe_row; /**< put the row description into the frames of an extended query */
	int result_format;
	const struct db_param *params;
	unsigned n_params;
	unsigned skip_results; /**< leading results that are not passed to the caller */
	size_t result_max;     /**< limit on the size of the frames, in bytes; 0 for none */
};

/** Longest single value that the proxy's own queries return, in bytes. */
#define DB_VALUE_MAX 65536

/** The complete answer to one query. */
struct db_result {
	enum db_status status;
	char sqlstate[6];
	char *message;	    /**< error message, or "" */
	GByteArray *frames; /**< PostgreSQL protocol messages for the caller */
	bool too_large;	    /**< the frames exceeded result_max and were dropped */
	/**
	 * First column of the first result that has a row. NULL: there is none, or it is longer
	 * than DB_VALUE_MAX.
	 */
	char *value;
	struct pos pos; /**< log position that the member reported with the answer */
};

typedef void (*db_opened)(struct db_conn *c, bool ok, const char *why, void *arg);
typedef void (*db_answered)(struct db_conn *c, const struct db_result *res, void *arg);

struct db_ops {
	/** Connects; @a cb is called once, from the loop. */
	struct db_conn *(*open)(struct kernel *k, const char *address, const char *database,
				int64_t timeout_us, db_opened cb, void *arg);
	/** Sends @a q on an idle connection; @a cb is called once, from the loop. */
	void (*query)(struct db_conn *c, const struct db_query *q, db_answered cb, void *arg);
	/** Closes at once; no callback is called after this. */
	void (*close)(struct db_conn *c);
	/** Returns the process ID of the member's backend for this connection. */
	int (*backend_pid)(const struct db_conn *c);
	/** Returns whether the connection is outside any transaction. */
	bool (*is_idle)(const struct db_conn *c);
	/** Returns whether the connection is in a transaction that has failed. */
	bool (*in_failed_tx)(const struct db_conn *c);
};

/** Base of each implementation's connection, as its first struct member. */
struct db_conn {
	const struct db_ops *ops;
};

/** Implementation with libpq. */
extern const struct db_ops db_libpq_ops;

#endif
