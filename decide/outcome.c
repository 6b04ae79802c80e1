/** @file outcome.c Table of the outcomes with their retry rules and error messages. */
#include "outcome.h"

/** Maximum number of attempts at one request; each costs a round trip. */
#define ATTEMPTS_MAX 2000
/** Initial delay between attempts, doubled for each further one up to the maximum. */
#define RETRY_DELAY_MIN_US (2 * USEC_PER_MSEC)
#define RETRY_DELAY_MAX_US (50 * USEC_PER_MSEC)

/** Which requests may be retried after an outcome. */
enum retry_rule {
	RETRY_NEVER,
	RETRY_READ,   /**< reads only: a write may have run */
	RETRY_ALWAYS, /**< reads and writes: nothing was run */
};

static const struct {
	struct outcome_text text;
	enum retry_rule rule;
	bool delayed; /**< wait before the next attempt */
} rules[OUTCOMES] = {
	[OUTCOME_DONE] = {{"done", "00000", "done", false}, RETRY_NEVER, false},
	[OUTCOME_SQL_ERROR] = {{"sql-error", "XX000", "error of the database", false},
			       RETRY_NEVER,
			       false},
	[OUTCOME_NOT_PRIMARY] = {{"not-primary", "57P03", "the database has no primary now", true},
				 RETRY_ALWAYS,
				 true},
	[OUTCOME_BEHIND] = {{"behind", "57P03", "no database has data as new as asked for", true},
			    RETRY_ALWAYS,
			    false},
	[OUTCOME_QUEUE_FULL] = {{"queue-full", "53300", "the queue of the database is full", true},
				RETRY_NEVER,
				false},
	[OUTCOME_TOO_LATE] = {{"too-late", "57014", "the request cannot be served by its deadline",
			       true},
			      RETRY_NEVER,
			      false},
	[OUTCOME_NO_CONNECTION] = {{"no-connection", "57P03", "the database cannot be reached",
				    true},
				   RETRY_ALWAYS,
				   true},
	[OUTCOME_NOT_SENT] = {{"not-sent", "57P03", "the database's VM cannot be reached", true},
			      RETRY_ALWAYS,
			      true},
	[OUTCOME_LEAVING] = {{"leaving", "57P03", "the database is leaving", true},
			     RETRY_ALWAYS,
			     true},
	[OUTCOME_LOST] = {{"lost", "08007", "the outcome of the statement is not known", false},
			  RETRY_READ,
			  false},
	[OUTCOME_TX_LOST] = {{"transaction-lost", "40000", "the transaction was rolled back", true},
			     RETRY_NEVER,
			     false},
	[OUTCOME_NOT_CONFIRMED] = {{"not-confirmed", "08007",
				    "committed on the primary alone; whether it lasts is not known",
				    false},
				   RETRY_NEVER,
				   false},
	[OUTCOME_TOKEN_LOST] = {{"token-lost", "55000",
				 "a write of this session was lost in a change of primary", true},
				RETRY_NEVER,
				false},
	[OUTCOME_TOO_LARGE] = {{"too-large", "54000", "the result is larger than this proxy serves",
				true},
			       RETRY_NEVER,
			       false},
	[OUTCOME_ALREADY_RUN] = {{"already-run", "23505",
				  "a request with this mangoloom.once has run already", false},
				 RETRY_NEVER,
				 false},
	[OUTCOME_OVER_RATE] = {{"over-rate", "53300", "the team is over its rate", true},
			       RETRY_NEVER,
			       false},
	[OUTCOME_NO_ROUTE] = {{"no-route", "42501", "no route for this team and kind of request",
			       true},
			      RETRY_NEVER,
			      false},
	[OUTCOME_NO_KEY] = {{"no-key", "28000", "the key is unknown or was withdrawn", true},
			    RETRY_NEVER,
			    false},
	[OUTCOME_MALFORMED] = {{"malformed", "42601", "no statement that is served here", true},
			       RETRY_NEVER,
			       false},
	[OUTCOME_NO_NAME] = {{"no-name", "26000", "no prepared statement has this name", true},
			     RETRY_NEVER,
			     false},
	[OUTCOME_TIMED_OUT] = {{"timed-out", "57014", "the database ended it at a time limit",
				false},
			       RETRY_NEVER,
			       false},
	[OUTCOME_READ_ONLY] = {{"read-only", "25006", "a write where only reads are served", true},
			       RETRY_NEVER,
			       false},
};

const struct outcome_text *outcome_text(enum outcome o)
{
	return &rules[o].text;
}

static int64_t retry_delay_us(unsigned attempts)
{
	int64_t us = RETRY_DELAY_MIN_US << (attempts < 5 ? attempts : 5);

	return us < RETRY_DELAY_MAX_US ? us : RETRY_DELAY_MAX_US;
}

struct retry_decision outcome_next(enum outcome o, const struct retry_state *r, int64_t hint_us,
				   int64_t now_us)
{
	struct retry_decision refuse = {.step = STEP_REFUSE, .after_us = hint_us};
	struct retry_decision d = {.step = STEP_RETRY};

	if (o == OUTCOME_DONE || o == OUTCOME_SQL_ERROR)
		return (struct retry_decision){.step = STEP_ANSWER};
	if (rules[o].rule == RETRY_NEVER || r->attempts >= ATTEMPTS_MAX)
		return refuse;
	/*
	 * A write whose answer was lost may have run, and could run twice if it were sent again.
	 * The caller gets an error saying that the outcome is not known.
	 */
	if (rules[o].rule == RETRY_READ && r->write)
		return refuse;
	/*
	 * A transaction is bound to one connection: on another one its earlier statements are
	 * missing.
	 */
	if (r->in_transaction)
		return refuse;
	if (rules[o].delayed) {
		d.step = STEP_RETRY_LATER;
		d.after_us = hint_us > 0 && hint_us < RETRY_DELAY_MAX_US
				     ? hint_us
				     : retry_delay_us(r->attempts);
	}
	if (now_us + d.after_us >= r->deadline_us)
		return refuse;
	return d;
}
