/**
 * @file owner-aim.h
 * Target latencies of the routes to a group. The message of a statement has none: the owner takes
 * them from the configuration, by priority and mode.
 */
#ifndef OWNER_AIM_H
#define OWNER_AIM_H

#include "dueq.h"
#include "mango.h"
#include "statement.h"

struct owner_group;
struct owner_job;

#define OWNER_AIM_MODES (READ_SESSION + 1)

/** Smallest target latency of the routes of one class and mode; 0: none states one. */
struct owner_aim {
	unsigned target_ms;
	unsigned deadline_ms; /**< of the same route */
};

struct owner_aims {
	bool known;
	uint64_t version;    /**< version of the configuration's routes that they were taken from */
	bool any;	     /**< a route to the group states a target latency */
	unsigned last_class; /**< least urgent class of the routes to the group */
	struct owner_aim aim[DUEQ_CLASSES][OWNER_AIM_MODES];
};

/** Queues of a group that this VM uses. */
struct owner_queues {
	struct owner_aims aims;
	struct dueq write; /**< for the primary only */
	struct dueq read;
};

/**
 * Updates the target latencies if the routes have changed, and the order of the group's queues,
 * which is by target latency if the settings and the routes ask for it.
 */
void owner_aim_update(struct owner_group *g);
/** Whether the queues of the group are ordered by target latency. */
bool owner_aim_used(const struct owner_group *g);
/**
 * Determines when the target latency of the statement @a a, received at @a received_us, expires.
 * The time that it has used is the deadline of its route minus the time that it has left.
 * @return false if it has none; *aim_us is its deadline then
 */
bool owner_aim_expiry(const struct owner_group *g, const ml_run_args *a, int64_t received_us,
		      int64_t *aim_us);
/** Tells the group's queues how many statements are served concurrently now. */
void owner_aim_update_slots(struct owner_group *g);

#endif
