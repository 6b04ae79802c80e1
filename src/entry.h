/**
 * @file entry.h
 * Processing of a request at its entry, which is the daemon that the caller is connected to:
 * admission, routing, the call to the home of the chosen member, retries and the final outcome.
 * Independent of the protocol of the caller.
 *
 * Terms: a pool is a database group as configured; a member is one database server of it. The home
 * of a member is the daemon that holds the connections to it and the queue for it. A once-id marks
 * a statement that must not run twice. A session token names the log positions of the newest writes
 * of a session.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "kernel.h"
#include "outcome.h"
#include "rpc.h"
#include "shares.h"
#include "token.h"

struct entry;
struct entry_request;

/** Location of an open transaction. All zero if none is open. */
struct entry_tx {
	uint64_t id;
	char pool[NAME_SIZE];
	char member[NAME_SIZE];
	char address[ADDRESS_SIZE];
	bool write;
};

/** A request. Strings and parameters must stay valid until the request has ended. */
struct entry_query {
	const char *team;
	const char *kind;
	const char *once;
	int64_t max_age_us;  /**< maximum age of data for reads; -1: as configured for the route */
	int64_t deadline_us; /**< duration from now; 0: as configured for the route */
	const struct token_set *tokens;
	const struct entry_tx *tx; /**< open transaction; id 0: none */
	ml_control control;
	ml_op op;
	const char *sql;
	bool describe_row;
	int result_format;
	ml_param *params;
	unsigned n_params;
};

/** Outcome of a request. Valid until the callback returns. */
struct entry_answer {
	enum outcome outcome;
	const char *sqlstate; /**< from the database, for OUTCOME_SQL_ERROR */
	const uint8_t *frames;
	size_t frames_len;
	int64_t retry_after_us;
	char pool[NAME_SIZE];
	struct pos pos; /**< LSN of the write, or of the data that was read; term 0: none */
	bool write;
	struct entry_tx tx; /**< transaction open after the request; id 0: none */
	bool tx_failed;
};

typedef void (*entry_done)(const struct entry_answer *answer, void *arg);

struct service *entry_service_create(struct kernel *k);
struct entry *entry_of(struct kernel *k);
/** Starts @a query. Calls @a cb once, never before this function returns. */
struct entry_request *entry_run(struct entry *e, const struct entry_query *query, entry_done cb,
				void *arg);
/**
 * Detaches a request whose caller has disconnected: its callback is not called any more. A
 * statement that was sent to a home runs to its end there.
 */
void entry_detach(struct entry_request *r);
/**
 * Cancels a request that has not been sent to a home yet.
 * @return false if it was sent or is cancelled already
 */
bool entry_cancel(struct entry_request *r);
/** Rolls back a transaction whose caller has disconnected. */
void entry_abandon(struct entry *e, const struct entry_tx *tx);

#endif
