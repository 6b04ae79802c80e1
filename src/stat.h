/**
 * @file stat.h
 * Process-wide counters, which never decrease, and histograms of times. `mangoloom status` shows
 * the counters; the metrics endpoint serves both.
 *
 * Terms: the entry is the daemon a caller is connected to, the home is the daemon that holds the
 * connections and the queue of a member (a database server of a group), the owner is the VM that
 * holds a group's connections and manages its primary.
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
	STAT_ANSWERS_LATE, /**< answers given long after the deadline of their statement */
	STAT_HOME_RUN,	   /**< statements that the home began to execute */
	STAT_HOME_QUEUED, /**< statements that waited because all slots of the member were in use */
	STAT_CONNECTIONS_OPENED,
	STAT_CONNECTIONS_LOST,
	STAT_FAILOVERS_BEGUN,
	STAT_FAILOVERS_DONE,
	STAT_COMMITS_DISCARDED,	 /**< upper bound of the acknowledged commits lost by promotions */
	STAT_SENDERS_ENDED,	 /**< previous owners that left a record because they had ended */
	STAT_CHOICES_INCOMPLETE, /**< primaries chosen though commits may be missing in their log */
	STAT_CONFIRMS,		 /**< commits confirmed by enough replicas */
	STAT_CONFIRMS_LOST,	 /**< commits that could not be confirmed */
	STAT_COMMIT_STATUS_QUERIES, /**< lookups of a commit whose answer was lost */
	STAT_RPC_CALLS,
	STAT_RPC_LOST,
	STAT_RPC_BYTES_IN,
	STAT_RPC_BYTES_OUT,
	STAT_CONTROL_BYTES_IN,
	STAT_CONTROL_BYTES_OUT,
	STAT_PLATFORM_CALLS,
	STAT_PLATFORM_FAILED,
	STAT_ENTRIES_MALFORMED,
	STAT_PLATFORM_WATCHES,
	STAT_CONF_APPLIED,
	STAT_SHARE_ORDERS,
	STAT_GRANTS_EXPIRED,	     /**< grants of connections that a reader did not renew */
	STAT_RELAY_PASSED,	     /**< statements that this VM passed on for another */
	STAT_RELAY_REFUSED_DISABLED, /**< statements not passed on, by reason (reach.h) */
	STAT_RELAY_REFUSED_LOOP,
	STAT_RELAY_REFUSED_UNKNOWN,
	STAT_RELAY_REFUSED_EXPIRED,
	STAT_RELAY_REFUSED_TRANSACTION,
	STAT_RELAY_REFUSED_UNHEARD,
	STAT_RELAY_REFUSED_NOT_SENT, /**< the receiver could not be called */
	STATS
};

/** Number of priority classes. A route with a higher priority number is in the last class. */
#define STAT_CLASSES 4

/** Counters that are kept by priority class of the caller's route. */
enum stat_class_id {
	STAT_TOKENS_TAKEN,
	STAT_TOKENS_WAITED, /**< tokens taken after a wait */
	STAT_TOKENS_REFUSED,
	STAT_OPENINGS,		    /**< connections opened to members */
	STAT_OPENINGS_AHEAD,	    /**< of these, before a statement needed one */
	STAT_OPENINGS_AHEAD_USED,   /**< of these, used by a statement */
	STAT_RESTING_REFUSED,	    /**< begins refused because of idle transactions */
	STAT_QUEUE_REFUSED_ARRIVAL, /**< queue full, or could not be served by its deadline */
	STAT_QUEUE_REFUSED_LATER,   /**< would miss its deadline after more urgent ones arrived */
	STAT_QUEUE_IN_AIM,	    /**< answered within the target latency of the route */
	STAT_QUEUE_LATE,
	STAT_RELAY_ASKED,  /**< statements sent through another VM */
	STAT_RELAY_SERVED, /**< of these, answered by the owner */
	STAT_RELAY_LOST,   /**< of these, with an unknown outcome */
	STAT_CLASS_IDS
};

/** Measured times, one histogram each. The entry measures the times of statements. */
enum stat_time_id {
	STAT_TIME_PRIMARY, /**< statement of a route that reads all writes */
	STAT_TIME_BOUNDED, /**< statement of a route with bounded staleness */
	STAT_TIME_SESSION, /**< statement of a route that reads its session's writes */
	STAT_TIME_REFUSED, /**< refused statement of any route */
	STAT_TIME_QUEUE,   /**< wait of a statement in the queue of the owner or reader */
	STAT_TIME_MEMBER,  /**< from sending a statement to a member to the end of its answer */
	STAT_TIME_STORE,   /**< call to the store, except watches */
	STAT_TIME_PRIMARY_CHANGE, /**< time without a serving primary during a change of primary */
	STAT_TIMES
};

/** Adds a time of @a us to the histogram @a id. */
void stat_add_time(enum stat_time_id id, int64_t us);
/** Increases the counter @a id by @a n. */
void stat_add(enum stat_id id, uint64_t n);
/** Increases the counter @a id of the class @a priority, which may be above the last class. */
void stat_add_class(enum stat_class_id id, unsigned priority, uint64_t n);
/** Limit of the procedure numbers whose messages are counted by procedure. */
#define STAT_PROCEDURES_MAX 32
/** Counts a message of the RPC procedure @a procedure. @param in whether it was received */
void stat_message(unsigned procedure, const char *name, uint64_t bytes, bool in);
/** Counts the final outcome of a request. */
void stat_outcome(enum outcome o);
/** Writes all counters as members of the JSON object that is open in @a b. */
void stat_json(JsonBuilder *b);
/** Writes all counters and histograms in Prometheus' text format. */
void stat_text(struct evbuffer *out);

#endif
