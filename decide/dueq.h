/**
 * @file dueq.h
 * The queue in front of the members of a group, or in front of one member: a fair queue (fairq.h)
 * for each priority class. The load that it is made for: for seconds, more statements of several
 * classes than slots, where an answer after the target latency of its route is worth an eighth to a
 * third of an answer within it.
 *
 * It serves in one of two orders. Without target latencies the classes are strict: a class is
 * served when all more urgent ones are empty, by fairq.h. With target latencies, items that can
 * still be answered in time precede late ones. The former are served by class, fairly between the
 * teams of a class, and within a team by the expiry of the target latency; the last class gets one
 * of every DUEQ_LAST_SHARE dispatches while it has such items. Late items are served by class, then
 * by deadline.
 */
#ifndef DECIDE_DUEQ_H
#define DECIDE_DUEQ_H

#include "fairq.h"

/** Number of priority classes; 0 is the most urgent. */
#define DUEQ_CLASSES 4
/** The last class is served at least once in so many dispatches. */
#define DUEQ_LAST_SHARE 8

/** Embedded in a queued request, which sets the fields up to @a deadline_us before dueq_add(). */
struct dueq_item {
	struct fairq_item fair; /**< must be the first member */
	unsigned class;
	int64_t aim_us;	     /**< expiry of the target latency; the deadline if there is none */
	int64_t deadline_us; /**< the item must not wait longer */

	struct fairq_team *team; /**< team in the queue of its class; NULL before dueq_add() */
	bool late; /**< waits among the late items: the target latency cannot be met */
};

struct dueq {
	struct fairq class[DUEQ_CLASSES];      /**< all items, or those that are not late */
	struct fairq_items late[DUEQ_CLASSES]; /**< ordered by deadline */
	bool measured[DUEQ_CLASSES];	       /**< the service time of the class is known */
	unsigned slots_initial;
	unsigned slots; /**< items served concurrently, as far as known */
	bool by_aim;
	unsigned last_class;  /**< the class that has a minimum share */
	unsigned passed_over; /**< dispatches since the last class was served, while it waits */
};

void dueq_init(struct dueq *q, unsigned limit, unsigned slots);
/** Frees the teams. The items belong to the caller, which must have removed them. */
void dueq_clear(struct dueq *q);
/**
 * Chooses the order. Waiting items are sorted again. @param last_class class with a minimum share
 * when @a by_aim
 */
void dueq_set_order(struct dueq *q, bool by_aim, unsigned last_class);
/** Sets the number of slots that was given to dueq_init(). */
void dueq_set_base_slots(struct dueq *q, unsigned slots);
/**
 * Sets how many items are served concurrently with target latencies. For the forecast of a class
 * whose service time is not known yet, it is not reduced below the number given to dueq_init().
 */
void dueq_set_slots(struct dueq *q, unsigned slots);

/**
 * Queues @a item for @a team, whose weight (its rate) is @a weight, or refuses it if it cannot be
 * served by its deadline or if the queue, or the team's share of it, is full.
 */
struct fairq_outcome dueq_add(struct dueq *q, struct dueq_item *item, const char *team,
			      double weight, int64_t now_us);
/**
 * Puts an item back that was taken out but not served. It is not refused, gets its place by its
 * expiry, and its team is not charged for it again.
 */
void dueq_put_back(struct dueq *q, struct dueq_item *item, const char *team, double weight,
		   int64_t now_us);
/** Removes and returns the next item to serve; NULL if the queue is empty. */
struct dueq_item *dueq_next(struct dueq *q, int64_t now_us);
/** Starts a pass of dueq_next_fit(): all teams are looked at again. */
void dueq_begin_pass(struct dueq *q);
/** As dueq_next() for the items that @a fits accepts; the others do not block them. */
struct dueq_item *dueq_next_fit(struct dueq *q, fairq_fits fits, void *arg, int64_t now_us);
/** Skips the team of @a item, which is not queued, in the present pass. */
void dueq_skip_team(struct dueq *q, const struct dueq_item *item);
/** Removes @a item if it is queued. */
void dueq_remove(struct dueq *q, struct dueq_item *item);
/** Removes and returns an item whose deadline is at or before @a now_us; NULL if there is none. */
struct dueq_item *dueq_expired(struct dueq *q, int64_t now_us);
/**
 * Removes and returns an item that will miss its deadline because of the items that precede it now;
 * NULL if there is none. Only with target latencies; otherwise items wait until their deadline.
 * @param forecast_us set to its forecast wait
 */
struct dueq_item *dueq_refuse_late(struct dueq *q, int64_t now_us, int64_t *forecast_us);
/**
 * Forecasts the wait of a new item of @a team: the time to serve the items that precede it now.
 * Items of other classes count only once the service time of their class was measured, and items of
 * skipped teams do not count, so that nothing is refused on a guess.
 */
int64_t dueq_forecast(struct dueq *q, const struct dueq_item *item, const char *team, double weight,
		      int64_t now_us);
/** Adds the service time @a us of an item of @a class to the moving average of the class. */
void dueq_record_service(struct dueq *q, unsigned class, int64_t us);
/** Returns the number of waiting items. */
unsigned dueq_length(const struct dueq *q);

#endif
