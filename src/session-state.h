/**
 * @file session-state.h
 * State of a session, shared by session.c (processing of statements), session-remote.c (attempts at
 * the owner of the group and at readers), session-preopen.c (connections opened in advance) and
 * session-leave.c (closing of sessions that are better served by another VM).
 */
#ifndef SESSION_STATE_H
#define SESSION_STATE_H

#include "session.h"

#include "fleet.h"
#include "owner.h"
#include "ready.h"
#include "relay.h"
#include "shares.h"

/**
 * Retry hint for a group that has been without an owner for over a second. Network partitions last
 * for seconds; a caller that retries every 250 ms would use up its retries before the end.
 */
#define OWNER_ABSENT_RETRY_US (1 * USEC_PER_SEC)

struct prepared {
	bool write;
	char *shape;
};

struct session {
	struct admission admission;
	TAILQ_ENTRY(session) link;
	struct sessions *sessions;
	const struct session_ops *ops;
	void *arg;
	char database[NAME_SIZE];
	char key_id[NAME_SIZE];
	char team[NAME_SIZE];
	struct conf_route route; /**< as of the start of the current operation */
	GPtrArray *values;	 /**< ml_value, in the order of their first SET */
	GHashTable *prepared;

	enum tx_state tx;
	bool tx_read_only;
	uint64_t tx_id; /**< 0 until its first statement was sent */
	char tx_address[ADDRESS_SIZE];
	struct pos written_pos; /**< of the newest write of the session */
	struct pos last_pos;	/**< reported by the last answer */

	bool busy;
	bool closed; /**< the caller has disconnected; freed when its statement has ended */
	struct statement st;
	bool starts_operation; /**< not inside a transaction that is already open */
	int64_t started_us;
	int64_t deadline_us;
	unsigned failed_attempts;
	unsigned redirects; /**< attempts that were answered with a newer owner */
	char address[ADDRESS_SIZE];
	int64_t sent_us;
	enum owner_reader reader; /**< which VMs may serve this attempt */
	bool local_reader_failed; /**< the reader of this data centre could not serve it */
	int64_t wrote_us;	  /**< time of the last acknowledged write */
	struct rpc_call *call;
	struct relay_call *relayed; /**< the statement is under way through another VM; else NULL */
	unsigned relays;	    /**< attempts through another VM */
	bool asks_relays; /**< other VMs were asked on its behalf whether they reach the owner */
	struct event *timer;
};
TAILQ_HEAD(session_list, session);

struct sessions {
	struct service service;
	struct session_list list;
	struct event *tick;
	int64_t drain_started_us;
	int64_t last_contact_us; /**< last message from a VM of another data centre */
	struct ready ready;
	struct preopens *preopens; /**< NULL until the first message */
};

/* session.c */

struct sessions *sessions_of(struct kernel *k);
struct kernel *session_kernel(const struct session *s);
/** Ends the statement with answer @a a. */
void session_finish(struct session *s, struct session_answer *a);
/** Ends the statement with @a o, which is not the answer of a member. */
void session_finish_locally(struct session *s, enum outcome o, int64_t retry_after_us);
void session_tx_end(struct session *s);
/** Rolls back the transaction at the owner, since its caller can no longer end it. */
void session_tx_abandon(struct session *s);
void session_free(struct session *s);

/* session-leave.c */

/** Returns whether the session is to be closed with its next answer outside of a transaction. */
bool session_must_close(const struct session *s);
/** Counts a statement as served or not served, to decide whether this VM accepts callers. */
void session_count_outcome(struct session *s, enum outcome o);
/** Starts the timer that closes sessions. */
void sessions_start_tick(struct sessions *all);
/** Returns whether the sessions allow this VM to complete its shutdown. */
bool sessions_drain_complete(const struct sessions *all);

/* session-preopen.c */

/**
 * Tells the owner that a statement of the session is about to follow. @param primary the primary
 * will serve it
 */
void session_preopen(struct session *s, bool primary);
void session_preopens_free(struct preopens *p);

/* session-remote.c */

/** Sends the statement to the owner of the group or to a reader. */
void session_run_remote(struct session *s);
/** Returns whether this VM could serve the statement itself from reachable replicas. */
bool session_can_read_locally(const struct session *s);
/** Returns whether a wait for a rate token would end in a refusal, since there is no owner. */
bool session_wait_would_fail(struct session *s);
/** Callback of the timer: starts the next attempt, or checks the one in flight. */
void session_on_timer(evutil_socket_t fd, short what, void *arg);
#endif
