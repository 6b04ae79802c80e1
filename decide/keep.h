/**
 * @file keep.h
 * Limit of idle connections that a VM keeps to a member (a database server of a group). Each
 * connection belongs to one team, and opening one occupies a slot of the member for as long as a
 * statement does. An idle connection of a VM that lost power is not available to the VM that takes
 * over until the member drops it. The limit has to suit two loads: few teams on a member that
 * accepts few connections, where each idle connection is one less for other VMs and teams, and many
 * teams that take turns, where without idle connections nearly every statement opens a new one.
 */
#ifndef DECIDE_KEEP_H
#define DECIDE_KEEP_H

#include "types.h"

/** Peak number of connections in use at the same time, over the last two windows. */
struct keep_usage {
	unsigned window_peak;	/**< peak of the current window */
	unsigned previous_peak; /**< peak of the previous window; 0: nothing recorded */
	int64_t window_start_us;
};

/** Limits of a member and their use by this VM. */
struct keep_member {
	unsigned connections; /**< accepted from all VMs, less those that health checks use */
	unsigned slots;
	unsigned users; /**< number of VMs that usually connect to the member */
	unsigned most;	/**< peak number of connections in use by this VM, see keep_peak_use() */
};

/** Record that @a used connections are in use. */
void keep_record_use(struct keep_usage *u, unsigned used, int64_t now_us);
/** @return the peak number of connections in use in the current and the previous window */
unsigned keep_peak_use(const struct keep_usage *u);
/**
 * Idle connections that may be kept: this VM's part of the connections that the member accepts,
 * less those that its own statements need and those that the statements of a VM that takes over
 * from it would need.
 */
unsigned keep_idle_limit(const struct keep_member *m);

#endif
