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
	uint64_t idle_since_turn; /**< fairq.turns when the team last became idle */
	bool active;
	struct fairq_items items; /**< ordered by deadline */
};
TAILQ_HEAD(fairq_teams, fairq_team);

struct fairq {
	struct fairq_teams active; /**< teams with queued items, in round-robin order */
	struct fairq_teams idle;
	uint64_t turns; /**< number of completed team turns */
	unsigned length;
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

#endif
