/**
 * @file fairq.h
 * The queue in front of one database member: deficit round robin between teams, weighted by their
 * rates; inside a team the earliest deadline goes first. It is bounded, and it predicts waits so
 * that a request which cannot be served in time is refused at once.
 */
#ifndef DECIDE_FAIRQ_H
#define DECIDE_FAIRQ_H

#include "types.h"

struct fairq_team;

/** Embedded in what waits. */
struct fairq_item {
	TAILQ_ENTRY(fairq_item) link;
	int64_t deadline_us;
	struct fairq_team *team;
};
TAILQ_HEAD(fairq_items, fairq_item);

struct fairq_team {
	TAILQ_ENTRY(fairq_team) link;
	char name[NAME_SIZE];
	double weight;
	double deficit;
	unsigned length;
	uint64_t idle_turn; /**< fairq.turns when it last became idle */
	bool active;
	struct fairq_items items; /**< by deadline */
};
TAILQ_HEAD(fairq_teams, fairq_team);

struct fairq {
	struct fairq_teams active; /**< teams with items, in turn */
	struct fairq_teams idle;
	uint64_t turns; /**< turns that have ended */
	unsigned length;
	unsigned limit;	   /**< most items in all */
	double service_us; /**< moving average of one item's time in a slot */
	unsigned slots;	   /**< items served side by side */
};

enum fairq_verdict {
	FAIRQ_QUEUED,
	FAIRQ_FULL,	/**< the queue, or the team's part of it, is full */
	FAIRQ_TOO_LATE, /**< the predicted wait passes the deadline */
};

struct fairq_outcome {
	enum fairq_verdict verdict;
	int64_t retry_after_us; /**< when a place is likely, for a refusal */
};

void fairq_init(struct fairq *q, unsigned limit, unsigned slots);
/** Free the teams; items belong to the caller and must be gone. */
void fairq_clear(struct fairq *q);

/** Queue @a item for @a team, of weight @a weight (its rate), or refuse it. */
struct fairq_outcome fairq_add(struct fairq *q, struct fairq_item *item, const char *team,
			       double weight, int64_t now_us);
/** The next item to serve, removed from the queue; NULL when empty. */
struct fairq_item *fairq_next(struct fairq *q);
/** Take @a item out before its turn. */
void fairq_remove(struct fairq *q, struct fairq_item *item);
/** An item whose deadline has passed at @a now_us, removed; NULL when there is none. */
struct fairq_item *fairq_expired(struct fairq *q, int64_t now_us);
/** Note that an item spent @a us in a slot. */
void fairq_served(struct fairq *q, int64_t us);

#endif
