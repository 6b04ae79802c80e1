/**
 * @file share.h
 * Dynamic shares of a team's rate and burst: divides them over the VMs by demand, such that the
 * parts never add up to more than the whole, even while parts change, VMs pause or fail, or the
 * network is partitioned. A team is a set of callers that share a rate limit.
 * Source: docs/DESIGN.md, "Fleet-wide rate and burst".
 *
 * Rate and burst are divided into SHARE_TOTAL_UNITS units. A holder (one per VM and team) has some
 * of them, and the team's allocator moves units between holders. A holder is bound to one allocator
 * at a time: the one with the highest epoch that it has received an order of. The allocator may
 * distribute only the units that its bound holders reported, or all units once its census is
 * complete, i.e. every listed VM is bound to it. This needs neither a lease nor a platform call.
 */
#ifndef DECIDE_SHARE_H
#define DECIDE_SHARE_H

#include "types.h"

#include <glib.h>

/** Number of units that a team's rate and burst are divided into. */
#define SHARE_TOTAL_UNITS 1048576U
/**
 * A holder whose event loop was paused for longer gives up its units: they may have been
 * reassigned.
 */
#define SHARE_PAUSE_MAX_US (2 * USEC_PER_SEC)
/**
 * Time after which the units of a VM that left the platform's list are reassigned. It exceeds
 * SHARE_PAUSE_MAX_US by a wide margin.
 */
#define SHARE_DELIST_GRACE_US (6 * USEC_PER_SEC)
/** Shortest interval between two reports of a holder, which applies when it is short of tokens. */
#define SHARE_REPORT_FAST_US (50 * USEC_PER_MSEC)
/**
 * Shortest interval for a holder without units, whose requests wait for single tokens. With
 * SHARE_REPORT_FAST_US, requests of a team too small to be split took 25 ms longer, half
 * of their usual duration.
 */
#define SHARE_REPORT_NO_UNITS_US (5 * USEC_PER_MSEC)
/** Longest interval between two reports of a holder with demand. */
#define SHARE_REPORT_SLOW_US (1 * USEC_PER_SEC)
/** Report interval of a holder without requests; below the age at which reports are stale. */
#define SHARE_REPORT_IDLE_US (4 * USEC_PER_SEC)

/**
 * Interval between two requests for a report to the same holder. An answer takes 5 ms; at this
 * interval an unreachable VM costs each allocator two calls per second.
 */
#define SHARE_ASK_INTERVAL_US (500 * USEC_PER_MSEC)

/** Deviation from a rate limit of the whole fleet that the users tolerate. */
struct share_tolerance {
	double window_s;  /**< window over which the rate is measured; 0: no tolerance */
	double overshoot; /**< fraction of the limit by which a window may exceed it */
	double slack;	  /**< number of requests by which a window may also exceed it */
};

/** A team's rate and burst, divided into an own part of each VM and a dynamic part. */
struct share_split {
	double own_rate; /**< own part of each listed VM */
	double own_burst;
	double dynamic_rate; /**< dynamic part of all VMs together, divided by units */
	double dynamic_burst;
	double own_part; /**< own part of each VM, as a fraction of all that is handed out */
};

/** Maximum sum of all parts' rates, as a multiple of the team's rate. */
#define SHARE_RATE_MAX 1.5

/** @return requests that may be admitted in a window, with a margin for those that arrive late */
double share_tolerated(double rate, double burst, const struct share_tolerance *t);
/**
 * Divide @a rate and @a burst among @a vms listed VMs. While an allocator waits for the report of a
 * lost VM, dynamic parts admit no request: after a restart of all VMs this took eleven seconds. The
 * tolerance is therefore used for own parts, which need no allocator.
 */
struct share_split share_split(double rate, double burst, unsigned vms,
			       const struct share_tolerance *t);

/** Report of a holder to the allocator. */
struct share_report {
	uint64_t incarnation; /**< identifies the holder's process */
	uint64_t epoch;	      /**< epoch of the allocator that the holder is bound to */
	uint64_t seq; /**< number of the last order of this allocator that was carried out */
	uint32_t units;
	double demand;	/**< recent peak of arriving requests per second */
	double average; /**< arriving requests per second, averaged over about a second */
};

/** Order of the allocator, in response to a report. */
struct share_order {
	uint64_t epoch;
	uint64_t seq;
	uint32_t units;
	bool over; /**< the demand of the whole team exceeds its rate */
};

/** State of a holder. */
struct share_holder {
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t seq;
	uint32_t units;
	bool over;
	double demand;
	double average;
	unsigned arrivals; /**< requests that arrived since @a window_us */
	int64_t window_us;
	int64_t reported_us;  /**< time of the last report */
	bool leaving;	      /**< accepts no more units */
	bool answered;	      /**< its allocator has answered a report since it was bound */
	bool short_of_tokens; /**< a request found too few tokens since the last report */
};

void share_holder_init(struct share_holder *h, uint64_t incarnation, int64_t now_us);
/** Record the arrival of a request; @a admitted is whether a token was available at once. */
void share_holder_arrival(struct share_holder *h, bool admitted, int64_t now_us);
/** @return when the next report is due */
int64_t share_holder_due_us(const struct share_holder *h);
/** Make a report and record that it is sent now. */
struct share_report share_holder_report(struct share_holder *h, int64_t now_us);
/** Carry out @a o. @return whether the units changed. */
bool share_holder_order(struct share_holder *h, const struct share_order *o, int64_t now_us);
/** Give up all units, because the VM leaves. */
void share_holder_leave(struct share_holder *h);
/** Handle a pause of the event loop of @a gap_us. @return whether the units were given up. */
bool share_holder_paused(struct share_holder *h, int64_t gap_us);
/**
 * @return whether the whole team is within its rate, as far as known here, so that a request
 * without a token should wait until units are moved to this holder
 */
bool share_holder_within_rate(const struct share_holder *h);

/** State of one holder at the allocator. */
struct share_entry {
	TAILQ_ENTRY(share_entry) link;
	char vm[NAME_SIZE];
	uint64_t incarnation;	       /**< identifies the process that last reported */
	uint64_t previous_incarnation; /**< identifies the process before it, whose late
						   reports are ignored */
	bool listed;		       /**< on the platform's list */
	bool was_listed;     /**< value of @a listed before, while a new list is applied */
	int64_t delisted_us; /**< when it left the platform's list */
	bool bound;	     /**< it has reported under this allocator's epoch */
	uint64_t seq;	     /**< sequence number of the last order sent */
	uint64_t acked;	     /**< sequence number of the last order carried out */
	uint32_t held;	     /**< upper bound of the units that it holds */
	uint32_t ordered;    /**< units of the last order */
	double demand;
	double average;
	int64_t last_report_us;	  /**< time of its last report */
	int64_t reclaim_asked_us; /**< when it was last asked to report because it holds too much */
	int64_t census_asked_us;  /**< when it was last asked to report because it is not bound */
};
TAILQ_HEAD(share_entries, share_entry);

/** The allocator of a team's units. */
struct share_alloc {
	GHashTable *by_vm; /**< maps a VM's name to its share_entry */
	uint64_t epoch;
	uint32_t salt;	 /**< makes the epochs of different allocators distinct */
	uint32_t budget; /**< maximum sum of the bound holders' units */
	bool whole;	 /**< the census is complete: every listed VM is bound, and the budget is
			    SHARE_TOTAL_UNITS */
	/**
	 * Time for which units of a VM that left the list still count; 0 if the list is based on
	 * leases.
	 */
	int64_t delist_grace_us;
	double rate; /**< the team's rate, per second */
	double burst;
	double own; /**< fraction of all that is handed out that is each VM's own part, see
		       share_split() */
	char self[NAME_SIZE]; /**< the allocator's own VM */
	bool short_of_units;  /**< too few units were free for the last order's target */
	struct share_entries entries;
};

void share_alloc_init(struct share_alloc *a, uint32_t salt, const char *self, double rate,
		      double burst);
void share_alloc_clear(struct share_alloc *a);
/** Apply the platform's list of VMs. */
void share_alloc_apply_list(struct share_alloc *a, const char *const *vms, unsigned n,
			    int64_t now_us);
/**
 * Remove @a vm, which has announced that it leaves after giving up its units: none of its units
 * have to be counted any more.
 */
void share_alloc_remove_vm(struct share_alloc *a, const char *vm, int64_t now_us);
/**
 * List the holders with more units than their target while others lack units, except those asked
 * to report within SHARE_REPORT_FAST_US. They are to be asked for a report: a holder without demand
 * reports rarely, and would keep the units from others for up to SHARE_REPORT_SLOW_US.
 * @return number of names stored in @a vms
 */
unsigned share_alloc_over_target(struct share_alloc *a, const char **vms, unsigned max,
				 int64_t now_us);
/**
 * List the holders that are not bound and were not asked within SHARE_ASK_INTERVAL_US. They are to
 * be asked for a report, since the allocator distributes no further units before they are bound.
 * @return number of names stored in @a vms
 */
unsigned share_alloc_unbound_to_ask(struct share_alloc *a, const char **vms, unsigned max,
				    int64_t now_us);
/**
 * @return the number of VMs without a report since the epoch began, which the allocator waits for
 * @param first set to the name of the first of them, or ""
 */
unsigned share_alloc_count_unbound(const struct share_alloc *a, const char **first);
/** Make the next report due now, because the allocator asked for it or has changed. */
void share_holder_report_now(struct share_holder *h);
/**
 * @return whether units are free that the allocator's own VM should have. The allocator grants
 * single tokens out of its VM's units. Without this check, a VM without requests of the team would
 * take the units only with its next report after SHARE_REPORT_IDLE_US, and all requests of a small
 * team would be refused until then.
 */
bool share_alloc_self_below_target(const struct share_alloc *a, int64_t now_us);
/** Process the report of a holder. @return the order to answer it with */
struct share_order share_alloc_report(struct share_alloc *a, const char *vm,
				      const struct share_report *r, int64_t now_us);

#endif
