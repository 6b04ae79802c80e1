/**
 * @file owner-budget.h
 * Connections to a member as a budget (decide/budget.h): the state that belongs to a member, and
 * what the other files of the owner ask. Active when the settings say so and the configuration has
 * more teams than the member accepts connections; otherwise nothing here changes what is opened,
 * closed or refused.
 *
 * The owner of a group divides the connections of each member between itself and the readers, which
 * are the VMs that serve reads of the group without owning it.
 */
#ifndef OWNER_BUDGET_H
#define OWNER_BUDGET_H

#include "budget.h"
#include "rpc.h"

struct owner;
struct owner_conn;
struct owner_group;
struct owner_job;
struct owner_member;

/** State of a member. All zero: nothing is known. */
struct owner_budget {
	struct budget_history history;
	struct budget_grants *grants;	   /**< given by this VM as the owner; NULL: none */
	struct budget_allowance allowance; /**< received by this VM as a reader */
	int64_t owner_since_us;		   /**< when this VM became the owner; 0: it is not */
	int64_t ticked_us;		   /**< when that was last checked */
	unsigned owner_limit;		   /**< what the grants leave to the owner */
};

/** State of a connection. */
struct owner_budget_conn {
	bool ahead;	   /**< opened in advance and not used yet */
	bool holds_slot;   /**< counted in in_flight of its member while it opens in advance */
	unsigned priority; /**< class of the statement that it was opened for */
};

/** Number of teams of the configuration, counted again after each change of them. */
struct owner_budget_teams {
	unsigned n;
	uint64_t version;
	bool counted;
};

/* Interface with the message that carries the load of members */

/**
 * Grants connections of @a m to the reader @a vm, as the owner of the group. A reader has to ask
 * well within BUDGET_GRANT_US for as long as it serves reads, whether or not it has a recent mark:
 * when its grant expires, it closes idle connections.
 * @param want connections that the reader uses or would use
 * @return connections that it may hold to @a m for BUDGET_GRANT_US
 */
unsigned budget_grant(struct owner_member *m, const char *vm, unsigned want, int64_t now);
/** Takes a grant of @a n connections to @a m, as a reader that asked the owner at @a now. */
void budget_granted(struct owner_member *m, unsigned n, int64_t now);
/** Returns the connections that this VM uses on @a m or would use: what a reader asks for. */
unsigned budget_want(const struct owner_member *m, int64_t now);

/* For owner-conn.c */

/** Whether the connections of @a m are a budget. */
bool budget_active(const struct owner_member *m);
/** Whether the connections of some member of @a pool are a budget. */
bool budget_in_pool(struct owner *o, const char *pool);
/** Frees the state of @a m. */
void budget_clear(struct owner_member *m);
/**
 * Returns the most connections that this VM may hold to @a m.
 * @param otherwise the limit that applies without grants
 */
unsigned budget_limit(const struct owner_member *m, unsigned otherwise, int64_t now);
/**
 * Returns the number of connections up to which this VM keeps idle ones and opens others beside
 * them. @param limit see budget_limit()
 */
unsigned budget_usual(const struct owner_member *m, unsigned limit);
/** Whether a statement of the class @a priority may open a connection. */
bool budget_opens(const struct owner_member *m, unsigned limit, unsigned priority, int64_t now);
/** Whether a transaction of @a a may begin on @a m, which is one of several that could serve it. */
bool budget_begins_on(const struct owner_member *m, const ml_run_args *a);
/**
 * Returns the idle connection that is expected to be used last, or NULL. @param idle_us it has been
 * idle for longer than this @param spare_us set to the time until its use, scaled by class
 */
struct owner_conn *budget_idle_conn(const struct owner_member *m, int64_t idle_us, int64_t now,
				    double *spare_us);
/** Records that a statement of @a team is about to get a connection to @a m. */
void budget_used(struct owner_member *m, const char *team, unsigned priority, int64_t now);
/** Records that a statement gets @a c, which may have been opened in advance. */
void budget_conn_taken(struct owner_conn *c);
/** Records that @a c was opened, or is closed before that. */
void budget_conn_settled(struct owner_conn *c);
/** Logs that @a c is closed to make room for @a team. */
void budget_log_evicted(const struct owner_conn *c, const char *team, double spare_us);
/** Drops grants that have expired. */
void budget_tick(struct owner_member *m, int64_t now);

/* For owner-queue.c and owner-job.c */

/**
 * Whether the transaction that @a a begins is admitted, as far as connections held by open
 * transactions go. @param needs_primary only the primary may run it
 * @param retry_after_us set if it is not admitted
 */
bool budget_admits_begin(struct owner_group *g, const ml_run_args *a, bool needs_primary,
			 int64_t *retry_after_us);
/** Counts the transaction that @a job is to begin as waiting. */
void budget_begin_waits(struct owner_job *job);
/** Ends that count: the transaction has begun, or never will. */
void budget_begin_ends(struct owner_job *job);

/* Opening in advance */

/** Whether connections to members of @a pool may be opened in advance. */
bool budget_preopens(struct owner *o, const char *pool);
void budget_preopen_serve(struct rpc_request *rq, const void *args, void *owner);

#endif
