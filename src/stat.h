/**
 * @file stat.h
 * Counters of our own: named, process-wide, only ever rising; read by `mangoloom status`.
 */
#ifndef STAT_H
#define STAT_H

#include "outcome.h"

#include <event2/buffer.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

enum stat_id {
	STAT_CALLERS_OPENED,
	STAT_CALLERS_CLOSED,
	STAT_CALLERS_REFUSED,
	STAT_CALLERS_TIMED_OUT,
	STAT_REQUESTS,
	STAT_READS_BY_REPLICA,
	STAT_READS_BY_PRIMARY,
	STAT_WRITES,
	STAT_RETRIES,
	STAT_REFUSED,
	STAT_REFUSED_WITHIN_RATE,
	STAT_OVER_RATE,
	STAT_HOME_RUN,
	STAT_HOME_QUEUED,
	STAT_CONNECTIONS_OPENED,
	STAT_CONNECTIONS_LOST,
	STAT_FAILOVERS_BEGUN,
	STAT_FAILOVERS_DONE,
	STAT_COMMITS_DISCARDED, /**< acknowledged, and lost by a promotion, at most */
	STAT_CONFIRMS,
	STAT_CONFIRMS_LOST,
	STAT_FATES_ASKED,
	STAT_RPC_CALLS,
	STAT_RPC_LOST,
	STAT_RPC_BYTES_IN,
	STAT_RPC_BYTES_OUT,
	STAT_CONTROL_BYTES_IN,
	STAT_CONTROL_BYTES_OUT,
	STAT_PLATFORM_CALLS,
	STAT_PLATFORM_FAILED,
	STAT_PLATFORM_WATCHES,
	STAT_CONF_APPLIED,
	STAT_SHARE_ORDERS,
	STATS
};

/** What is timed; each is a histogram. */
enum stat_time_id {
	STAT_TIME_PRIMARY, /**< a statement of a route that reads all writes, at its entry */
	STAT_TIME_BOUNDED, /**< the same, of a route with a bound on age */
	STAT_TIME_SESSION, /**< the same, of a route that reads its session's writes */
	STAT_TIME_REFUSED, /**< until a statement was refused */
	STAT_TIME_QUEUE,   /**< a statement's wait at the owner or reader */
	STAT_TIME_MEMBER,  /**< from sending a statement to a member until its answer */
	STAT_TIME_STORE,   /**< a call to the store; waits of watches are left out */
	STAT_TIME_CHANGE,  /**< from the end of one primary's service to the begin of the next one's
			    */
	STAT_TIMES
};

/** Note that something took @a us. */
void stat_time(enum stat_time_id id, int64_t us);
void stat_add(enum stat_id id, uint64_t n);
/** Procedures of the protocol between daemons whose messages are counted apart, at most. */
#define STAT_PROCEDURES_MAX 32
/** Count a message of @a bytes of the procedure numbered @a procedure. */
void stat_message(unsigned procedure, const char *name, uint64_t bytes, bool in);
/** Count one request's final outcome. */
void stat_outcome(enum outcome o);
/** Write all counters as members of the open JSON object of @a b. */
void stat_json(JsonBuilder *b);
/** Write all counters in Prometheus' text format. */
void stat_text(struct evbuffer *out);

#endif
