/**
 * @file outcome.h
 * Outcomes of one attempt at a request, and what follows: the answer, another attempt, or an error
 * to the caller. The home is the daemon that holds a member's connections and queue; a once-id
 * identifies a write so that it takes effect only once.
 */
#ifndef DECIDE_OUTCOME_H
#define DECIDE_OUTCOME_H

#include "types.h"

/** Outcome of one attempt. The order is part of the protocol between daemons (src/mango.x). */
enum outcome {
	OUTCOME_DONE,	       /**< the database ran it; the answer is complete */
	OUTCOME_SQL_ERROR,     /**< the database answered with an SQL error */
	OUTCOME_NOT_PRIMARY,   /**< not run: the member is not the primary */
	OUTCOME_BEHIND,	       /**< data too old: not run, or a read whose result was dropped */
	OUTCOME_QUEUE_FULL,    /**< not run: the queue is full */
	OUTCOME_TOO_LATE,      /**< not run: the wait would exceed the deadline */
	OUTCOME_NO_CONNECTION, /**< not run: the member could not be reached */
	OUTCOME_NOT_SENT,      /**< not run: the home could not be reached */
	OUTCOME_LEAVING,       /**< not run: the home or the member is being taken out of service */
	OUTCOME_LOST,	       /**< sent, but no answer was received */
	OUTCOME_TX_LOST,       /**< the open transaction was lost and rolled back */
	OUTCOME_NOT_CONFIRMED, /**< committed on the primary only; a failover may discard it */
	OUTCOME_TOKEN_LOST,    /**< a promotion discarded the write named by the session token */
	OUTCOME_TOO_LARGE,     /**< the result exceeds the size limit; a write was rolled back */
	OUTCOME_ALREADY_RUN,   /**< a request with this once-id was committed earlier */
	OUTCOME_OVER_RATE,     /**< not run: the team exceeds its rate */
	OUTCOME_NO_ROUTE,      /**< not run: no route for this team and kind */
	OUTCOME_NO_KEY,	       /**< not run: the API key is unknown or was withdrawn */
	OUTCOME_MALFORMED,     /**< not run: the statement is not supported, or not in this state */
	OUTCOME_NO_NAME,       /**< not run: no prepared statement has this name */
	OUTCOME_TIMED_OUT,     /**< the database cancelled it at a time limit */
	OUTCOME_READ_ONLY,     /**< not run: a write where only reads are accepted */
	OUTCOMES	       /**< number of outcomes */
};

enum next_step {
	STEP_ANSWER,	  /**< pass the database's answer on to the caller */
	STEP_RETRY,	  /**< try again immediately, on another member */
	STEP_RETRY_LATER, /**< try again after retry_decision.after_us */
	STEP_REFUSE,	  /**< return an error to the caller */
};

/** What the retry decision needs to know of a request. */
struct retry_state {
	bool write;
	bool in_transaction;
	unsigned attempts; /**< number of attempts that have ended */
	int64_t deadline_us;
};

struct retry_decision {
	enum next_step step;
	int64_t after_us; /**< delay before the next attempt, or the caller's retry-after hint */
};

/**
 * Decides what follows an attempt that ended with outcome @a o.
 * @param hint_us retry-after hint of the daemon that answered, or 0
 */
struct retry_decision outcome_next(enum outcome o, const struct retry_state *r, int64_t hint_us,
				   int64_t now_us);

/** How an outcome is reported to the caller. */
struct outcome_text {
	const char *name;     /**< for logs and counters */
	const char *sqlstate; /**< five characters */
	const char *message;
	bool not_run; /**< the statement has had and will have no effect */
};

const struct outcome_text *outcome_text(enum outcome o);

#endif
