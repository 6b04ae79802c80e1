/**
 * @file db.h
 * One connection to a database member, driven by the loop. A small vtable, so that the logic above
 * it can be run with a fake.
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
	DB_LOST,      /**< the connection ended before the answer was whole */
};

/** One statement's parameter. */
struct db_param {
	bool null;
	int format;
	unsigned type;
	const char *value;
	size_t len;
};

struct db_query {
	const char *sql;
	bool extended;	   /**< with parameters, by the extended protocol */
	bool describe;	   /**< only ask for the parameters' types and the row's shape */
	bool describe_row; /**< write the row's shape into the frames, as an extended caller asked
			    */
	int result_format;
	const struct db_param *params;
	unsigned n_params;
	unsigned skip_results; /**< first results that are not the caller's */
	size_t result_max;     /**< most bytes of frames */
};

/** Room for the one value that the proxy's own queries ask for. */
#define DB_VALUE_SIZE 512

/** The whole answer to one query. */
struct db_result {
	enum db_status status;
	char sqlstate[6];
	char *message;		   /**< of an error, or "" */
	GByteArray *frames;	   /**< messages of the PostgreSQL protocol for the caller */
	bool too_large;		   /**< the frames passed result_max and were dropped */
	char value[DB_VALUE_SIZE]; /**< first column of the first row of a skipped result, or of the
				      only one */
	struct pos pos;		   /**< the member's position with the answer */
};

typedef void (*db_opened)(struct db_conn *c, bool ok, const char *why, void *arg);
typedef void (*db_answered)(struct db_conn *c, const struct db_result *res, void *arg);

struct db_ops {
	/** Connect; @a cb is called once, from the loop. */
	struct db_conn *(*open)(struct kernel *k, const char *address, const char *database,
				int64_t timeout_us, db_opened cb, void *arg);
	/** Send @a q on an idle connection; @a cb is called once, from the loop. */
	void (*query)(struct db_conn *c, const struct db_query *q, db_answered cb, void *arg);
	/** Close at once; no callback is called any more. */
	void (*close)(struct db_conn *c);
	/** The member's own number for this connection. */
	int (*backend_pid)(const struct db_conn *c);
	/** Whether the connection is outside any transaction. */
	bool (*at_rest)(const struct db_conn *c);
	/** Whether the connection is in a transaction that has failed. */
	bool (*failed)(const struct db_conn *c);
};

/** First member of each kind of connection. */
struct db_conn {
	const struct db_ops *ops;
};

/** Connections by libpq. */
extern const struct db_ops db_libpq_ops;

#endif
