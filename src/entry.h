/**
 * @file entry.h
 * The way of one request on the VM that its caller is connected to: admission, route, the member's
 * home, tries, and the final outcome. It knows nothing of the caller's protocol.
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

/** Where an open transaction lives. All zero outside one. */
struct entry_tx {
	uint64_t id;
	char pool[NAME_SIZE];
	char member[NAME_SIZE];
	char address[ADDRESS_SIZE];
	bool write;
};

/** What is to be run. Texts and parameters must live until the request has ended. */
struct entry_ask {
	const char *team;
	const char *kind;
	const char *once;
	int64_t max_age_us;  /**< -1: as the route says */
	int64_t deadline_us; /**< length, not a time; 0: as the route says */
	const struct token_set *tokens;
	const struct entry_tx *tx; /**< the open transaction; id 0 for none */
	ml_control control;
	ml_op op;
	const char *sql;
	bool describe_row;
	int result_format;
	ml_param *params;
	unsigned n_params;
};

/** The outcome. Lives until the callback returns. */
struct entry_answer {
	enum outcome outcome;
	const char *sqlstate; /**< of the database, for OUTCOME_SQL_ERROR */
	const uint8_t *frames;
	size_t frames_len;
	int64_t retry_after_us;
	char pool[NAME_SIZE];
	struct pos pos; /**< of an acknowledged write, or of what a read saw; term 0 for none */
	bool write;
	struct entry_tx tx; /**< the transaction that is open now; id 0 for none */
	bool tx_failed;
};

typedef void (*entry_done)(const struct entry_answer *answer, void *arg);

struct service *entry_service_create(struct kernel *k);
struct entry *entry_of(struct kernel *k);
/** Run @a ask; @a cb is called once, never before this returns. */
struct entry_request *entry_run(struct entry *e, const struct entry_ask *ask, entry_done cb,
				void *arg);
/** The caller is gone: @a cb is not called. What runs at a home ends there. */
void entry_forget(struct entry_request *r);
/**
 * The caller asks to cancel: refused at once when it has not been sent to a home. @return whether
 * it was refused.
 */
bool entry_cancel(struct entry_request *r);
/** Roll back a transaction whose caller is gone. */
void entry_abandon(struct entry *e, const struct entry_tx *tx);

#endif
