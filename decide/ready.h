/**
 * @file ready.h
 * Decides whether this VM is ready to take callers while its data centre, or the VM alone, is cut
 * off from the other data centres but still reachable by callers. Statements that need an owner
 * (the VM that manages a group's primary) outside the partition fail here but would be served
 * elsewhere, and those that need an owner inside would fail elsewhere. The VM reports not ready if
 * in the last window more such statements failed than were served. Reads that any replica serves
 * are not counted.
 */
#ifndef DECIDE_READY_H
#define DECIDE_READY_H

#include "types.h"

struct ready {
	bool away; /**< not ready: callers are better served elsewhere */
	int64_t away_since_us;
	int64_t window_start_us; /**< start of the current window; 0: none */
	unsigned served;	 /**< statements served in the current window */
	unsigned unserved;	 /**< statements not served for want of an owner */
};

/** Counts a statement that an owner served, or that failed because no owner was reachable. */
void ready_count(struct ready *r, bool served);
/**
 * Re-evaluates readiness.
 * @param last_contact_us when a VM of another data centre last answered; 0: there is no other data
 * centre
 * @return whether this VM is ready to take callers
 */
bool ready_update(struct ready *r, int64_t last_contact_us, int64_t now_us);
/**
 * Decides whether idle sessions should be closed so that their callers reconnect. By then the load
 * balancer has seen that this VM is not ready and directs new connections elsewhere.
 */
bool ready_close_idle(const struct ready *r, int64_t now_us);

#endif
