/**
 * @file fairq.h
 * The request queue of one database member: deficit round robin between teams, weighted by their
 * rates; within a team, earliest deadline first. The queue is bounded and predicts the waiting time
 * of a new request, so that a request that cannot be served by its deadline is refused immediately.
 */
#ifndef DECIDE_FAIRQ_H
#define DECIDE_FAIRQ_H

#include "types.h"

struct fairq_team;

/** Embedded in a queued request. */
struct fairq_item {
	TAILQ_ENTRY(fairq_item) link;
	int64_t deadline_us;
	struct fairq_team *team;
};
TAILQ_HEAD(fairq_items, fairq_item);

struct fairq_team {
	TAILQ_ENTRY(fairq_team) link;
	char name[NAME_SIZE];
	double weight;	/**< the team's rate, at least 1 */
	double deficit; /**< credit of deficit round robin; one item costs 1 */
	unsigned length;
	unsigned aside;		  /**< items that wait elsewhere; see fairq_set_aside() */
	uint64_t idle_since_turn; /**< fairq.turns when the team last became idle */
	uint64_t skipped;	  /**< fairq.pass in which none of its items could be served */
	bool active;
	struct fairq_items items; /**< ordered by deadline */
};
TAILQ_HEAD(fairq_teams, fairq_team);

struct fairq {
	struct fairq_teams active; /**< teams with queued items, in round-robin order */
	struct fairq_teams idle;
	uint64_t turns; /**< number of completed team turns */
	uint64_t pass;	/**< number of passes over the queue; see fairq_begin_pass() */
	unsigned length;
	unsigned aside;	   /**< items that wait elsewhere but count towards the limits */
	unsigned limit;	   /**< maximum number of items in the queue */
	double service_us; /**< moving average of the service time of an item */
	unsigned slots;	   /**< number of items served concurrently */
};

enum fairq_verdict {
	FAIRQ_QUEUED,
	FAIRQ_FULL,	/**< the queue, or the team's share of it, is full */
	FAIRQ_TOO_LATE, /**< the predicted wait exceeds the deadline */
};

struct fairq_outcome {
	enum fairq_verdict verdict;
	int64_t retry_after_us; /**< predicted wait; for a refusal, when to retry */
};

void fairq_init(struct fairq *q, unsigned limit, unsigned slots);
/** Frees the teams. The items belong to the caller, which must have removed them. */
void fairq_clear(struct fairq *q);

/** Queues @a item for @a team, whose weight (its rate) is @a weight, or refuses it. */
struct fairq_outcome fairq_add(struct fairq *q, struct fairq_item *item, const char *team,
			       double weight, int64_t now_us);
/** Removes and returns the next item to serve; NULL if the queue is empty. */
struct fairq_item *fairq_next(struct fairq *q);
/** Removes @a item if it is queued. */
void fairq_remove(struct fairq *q, struct fairq_item *item);
/** Removes and returns an item whose deadline is at or before @a now_us; NULL if there is none. */
struct fairq_item *fairq_expired(struct fairq *q, int64_t now_us);
/** Adds the service time @a us of an item to the moving average. */
void fairq_record_service(struct fairq *q, int64_t us);

/*
 * For a queue whose owner decides on refusals itself (decide/dueq.h): items can be queued without a
 * check, wait outside of the queue, and be skipped while no server can take them.
 */

enum fairq_fit {
	FAIRQ_FITS,
	FAIRQ_SKIP,	 /**< the item cannot be served now */
	FAIRQ_SKIP_TEAM, /**< none of the team's items can be served in this pass */
};
/** Decides whether @a item can be served now. Must not change the queue. */
typedef enum fairq_fit (*fairq_fits)(const struct fairq_item *item, void *arg);

/** Returns the team @a name, created on first use, and sets its weight. */
struct fairq_team *fairq_team_of(struct fairq *q, const char *name, double weight);
/** Whether the queue, or the share of @a t in it, is full. Items set aside count. */
bool fairq_is_full(const struct fairq *q, const struct fairq_team *t);
/** Returns the predicted wait of a new item of @a t that is ordered by @a deadline_us. */
int64_t fairq_wait_us(const struct fairq *q, const struct fairq_team *t, int64_t deadline_us);
/** Returns the predicted wait of an item of @a t with @a ahead items of its team before it. */
int64_t fairq_wait_behind_us(const struct fairq *q, const struct fairq_team *t, unsigned ahead);
/** Queues @a item without a check of limits or deadline. */
void fairq_put(struct fairq *q, struct fairq_item *item, struct fairq_team *t);
/** Takes a queued item out of the queue; it continues to count towards the limits. */
void fairq_set_aside(struct fairq *q, struct fairq_item *item);
/** Ends the count of an item of @a t that was set aside. */
void fairq_end_aside(struct fairq *q, struct fairq_team *t);
/** Forgets which teams were skipped. */
void fairq_begin_pass(struct fairq *q);
/** Whether none of the team's items could be served when the present pass looked at them. */
static inline bool fairq_skipped(const struct fairq *q, const struct fairq_team *t)
{
	return t->skipped == q->pass;
}
/**
 * As fairq_next() for the items that fit. Teams without such an item keep their place in the round
 * and are skipped for the rest of the pass.
 */
struct fairq_item *fairq_next_fit(struct fairq *q, fairq_fits fits, void *arg);
/** Returns the number of queued items whose team is not skipped in the present pass. */
unsigned fairq_servable(const struct fairq *q);

#endif
