/**
 * @file outcome.h
 * What became of one try of a request, and what follows: an answer, another try, or an honest
 * refusal.
 */
#ifndef DECIDE_OUTCOME_H
#define DECIDE_OUTCOME_H

#include "types.h"

/** What became of one try. The order is part of the protocol between daemons (src/mango.x). */
enum outcome {
	OUTCOME_DONE,	       /**< the database ran it; the answer is whole */
	OUTCOME_SQL_ERROR,     /**< the database refused it with an error of its own */
	OUTCOME_NOT_PRIMARY,   /**< not run: the member does not lead */
	OUTCOME_BEHIND,	       /**< not run, or a read whose result was dropped: data too old */
	OUTCOME_QUEUE_FULL,    /**< not run: no place in the queue */
	OUTCOME_TOO_LATE,      /**< not run: the wait would pass the deadline */
	OUTCOME_NO_CONNECTION, /**< not run: the member could not be reached */
	OUTCOME_NOT_SENT,      /**< not run: the home could not be reached */
	OUTCOME_LEAVING,       /**< not run: the home or the member is leaving */
	OUTCOME_LOST,	       /**< sent, and the answer did not come */
	OUTCOME_TX_LOST,       /**< an open transaction is gone and was rolled back */
	OUTCOME_NOT_CONFIRMED, /**< committed on the primary alone; whether it lasts is not known */
	OUTCOME_TOKEN_LOST,  /**< a promotion discarded the write that the session's token names */
	OUTCOME_TOO_LARGE,   /**< the result passes the limit; a write was rolled back */
	OUTCOME_ALREADY_RUN, /**< a request with this once-id was committed earlier */
	OUTCOME_OVER_RATE,   /**< not run: the team is over its rate */
	OUTCOME_NO_ROUTE,    /**< not run: no route for this team and kind */
	OUTCOME_NO_KEY,	     /**< not run: the key is unknown, or was withdrawn */
	OUTCOME_MALFORMED,   /**< not run: no statement that is served, or not in this state */
	OUTCOME_NO_NAME,     /**< not run: no prepared statement has the name */
	OUTCOME_TIMED_OUT,   /**< the database ran it and ended it at a time limit */
	OUTCOME_READ_ONLY,   /**< not run: a write where only reads are served */
	OUTCOMES
};

enum next_step {
	STEP_ANSWER,	  /**< hand the database's answer to the caller */
	STEP_RETRY,	  /**< try again at once, elsewhere */
	STEP_RETRY_LATER, /**< try again after the given time */
	STEP_REFUSE,	  /**< final: an error to the caller, now */
};

/** A request as far as its retries go. */
struct retry_state {
	bool write;
	bool in_transaction;
	unsigned attempts; /**< tries that have ended */
	int64_t deadline_us;
};

struct retry_decision {
	enum next_step step;
	int64_t after_us;
};

/**
 * Decide what follows the try that ended with @a o. @a hint_us is the database side's own advice,
 * or 0.
 */
struct retry_decision outcome_next(enum outcome o, const struct retry_state *r, int64_t hint_us,
				   int64_t now_us);

/** How an outcome is told to the caller. */
struct outcome_text {
	const char *name;     /**< for logs and counters */
	const char *sqlstate; /**< five characters */
	const char *message;
	bool not_run; /**< true only when the statement has had and will have no effect */
};

const struct outcome_text *outcome_text(enum outcome o);

#endif
