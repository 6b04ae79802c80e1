/**
 * @file share.h
 * Splits a team's rate and burst over the VMs so that the parts never add up to more than the
 * whole, also while they move, while VMs pause or die, and while the network is cut. Source:
 * docs/DESIGN.md, "Fleet-wide rate and burst".
 *
 * A holder (one per VM and team) has units of SHARE_WHOLE. The team's allocator moves units between
 * holders. A holder obeys one allocator at a time, the one of the highest epoch it has heard, and
 * an allocator hands out only what its bound holders had, or the whole once every listed VM is
 * bound to it. So no lease and no platform call is needed.
 */
#ifndef DECIDE_SHARE_H
#define DECIDE_SHARE_H

#include "types.h"

#include <glib.h>

/** A team's whole rate and burst, in units. */
#define SHARE_WHOLE 1048576U
/**
 * A holder whose loop stood still for longer gives up its units: others may have been given them.
 */
#define SHARE_PAUSE_MAX_US (2 * USEC_PER_SEC)
/**
 * How long after a VM left the platform's list its units are given to others. Above the pause by a
 * wide margin.
 */
#define SHARE_GONE_US (6 * USEC_PER_SEC)
/** Shortest and longest time between two reports of a holder. */
#define SHARE_REPORT_FAST_US (50 * USEC_PER_MSEC)
/**
 * The same for a holder without any units, whose requests wait for single tokens. At 50 ms each
 * request of a team that is too small to be split over the fleet took 25 ms more, half of what it
 * takes.
 */
#define SHARE_REPORT_ASK_US (5 * USEC_PER_MSEC)
#define SHARE_REPORT_SLOW_US (1 * USEC_PER_SEC)
/** The same for one without requests; below the time after which it counts as silent. */
#define SHARE_REPORT_IDLE_US (4 * USEC_PER_SEC)

/**
 * Until a holder that was asked to report is asked again. An answer takes 5 ms; a VM that is cut
 * off costs two calls a second for each allocator.
 */
#define SHARE_ASK_AGAIN_US (500 * USEC_PER_MSEC)

/** What the users tolerate of a rate that is counted over the whole fleet. */
struct share_tolerance {
	double window_s;  /**< length over which a rate is judged; 0: no tolerance */
	double overshoot; /**< part of the limit in that length that may be passed */
	double slack;	  /**< requests more */
};

/** A team's rate and burst, divided into what each VM has for itself and what moves between them.
 */
struct share_split {
	double own_rate; /**< of each listed VM */
	double own_burst;
	double moved_rate; /**< of all VMs together, by units */
	double moved_burst;
	double own_part; /**< of each VM, of all that is handed out */
};

/** Most that is handed out of a rate, as a multiple of it. */
#define SHARE_RATE_MAX 1.5

/** Requests of a team that may be let through in a window, with room for those that arrive late. */
double share_tolerated(double rate, double burst, const struct share_tolerance *t);
/**
 * Divide @a rate and @a burst among @a vms listed VMs. Parts that move alone serve nobody while the
 * allocator waits to hear from a VM that was lost: after a restart of all VMs that was eleven
 * seconds without any answer. What the tolerance leaves is used for parts that need no allocator.
 */
struct share_split share_split(double rate, double burst, unsigned vms,
			       const struct share_tolerance *t);

/** What a holder tells the allocator. */
struct share_report {
	uint64_t incarnation; /**< of the holder's process */
	uint64_t epoch;	      /**< allocator that the holder obeys */
	uint64_t seq;	      /**< last order of that allocator that was carried out */
	uint32_t units;
	double demand;	/**< requests a second that arrived, lately at most */
	double average; /**< requests a second that arrived, over a longer time */
};

/** The allocator's order, in answer to a report. */
struct share_order {
	uint64_t epoch;
	uint64_t seq;
	uint32_t units;
	bool over; /**< the team as a whole asks for more than its rate */
};

struct share_holder {
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t seq;
	uint32_t units;
	bool over;
	double demand;
	double average;
	unsigned arrivals; /**< since @a window_us */
	int64_t window_us;
	int64_t reported_us; /**< last report sent */
	bool leaving;	     /**< takes no units any more */
	bool heard;	     /**< the allocator that it obeys has answered a report */
	bool short_now;	     /**< a request found too few tokens since the last report */
};

void share_holder_init(struct share_holder *h, uint64_t incarnation, int64_t now_us);
/** A request of the team arrived; @a admitted tells whether it found a token at once. */
void share_holder_arrival(struct share_holder *h, bool admitted, int64_t now_us);
/** When the next report is due. */
int64_t share_holder_due_us(const struct share_holder *h);
/** Make the report that is due now. */
struct share_report share_holder_report(struct share_holder *h, int64_t now_us);
/** Carry out @a o. @return whether the units changed. */
bool share_holder_order(struct share_holder *h, const struct share_order *o, int64_t now_us);
/** The VM leaves: give up all units. */
void share_holder_leave(struct share_holder *h);
/** The loop stood still for @a gap_us. @return whether the units were given up. */
bool share_holder_paused(struct share_holder *h, int64_t gap_us);
/**
 * Whether a request without a token should wait for units to move here: the team as a whole is
 * within its rate, as far as is known.
 */
bool share_holder_hopeful(const struct share_holder *h);

/** What the allocator knows of one holder. */
struct share_entry {
	TAILQ_ENTRY(share_entry) link;
	char vm[NAME_SIZE];
	uint64_t incarnation; /**< of the process that was last heard */
	uint64_t former;      /**< of the process before it, whose late reports say nothing */
	bool listed;
	bool was_listed; /**< on the list before, while a new one is taken in */
	int64_t gone_us; /**< when it left the platform's list */
	bool bound;	 /**< it reported under this allocator's epoch */
	uint64_t seq;	 /**< last order sent */
	uint64_t acked;	 /**< last order carried out */
	uint32_t held;	 /**< most that it may hold now */
	uint32_t ordered;
	double demand;
	double average;
	int64_t heard_us;
	int64_t poked_us;
	int64_t asked_us; /**< when it was last asked because it is not bound */
};
TAILQ_HEAD(share_entries, share_entry);

struct share_alloc {
	GHashTable *by_vm; /**< name to its entry */
	uint64_t epoch;
	uint32_t salt;	 /**< tells allocators apart whose epochs would be equal */
	uint32_t budget; /**< units that the bound holders may hold together */
	bool whole;	 /**< every listed VM is bound: the budget is SHARE_WHOLE */
	/** How long units of a VM that left the list still count; 0 when the list is by leases. */
	int64_t gone_us;
	double rate; /**< the team's, a second */
	double burst;
	double own;	      /**< part of all that is handed out that each VM has for itself, see
				 share_split() */
	char self[NAME_SIZE]; /**< the allocator's own VM */
	bool wanting;	      /**< the last order was smaller than its target */
	struct share_entries entries;
};

void share_alloc_init(struct share_alloc *a, uint32_t salt, const char *self, double rate,
		      double burst);
void share_alloc_clear(struct share_alloc *a);
/** Take in the platform's list of VMs. */
void share_alloc_listed(struct share_alloc *a, const char *const *vms, unsigned n, int64_t now_us);
/**
 * @a vm said that it leaves, after it had given up its units: nothing of it has to be counted any
 * more.
 */
void share_alloc_left(struct share_alloc *a, const char *vm, int64_t now_us);
/**
 * Holders that are to give up units which others wait for, and were not asked to report lately. A
 * holder at rest reports seldom; without being asked, it would keep others short for up to
 * SHARE_REPORT_SLOW_US.
 * @return how many names were put in @a vms
 */
unsigned share_alloc_overfull(struct share_alloc *a, const char **vms, unsigned max,
			      int64_t now_us);
/**
 * Holders that the allocator has to hear before it may give out anything new, and that were not
 * asked within SHARE_ASK_AGAIN_US: they are to be asked for a report.
 * @return how many names were put in @a vms
 */
unsigned share_alloc_unheard(struct share_alloc *a, const char **vms, unsigned max, int64_t now_us);
/**
 * VMs that the allocator has not heard since its epoch began; it gives out nothing new before.
 * @param first set to the first one's name, "" for none
 */
unsigned share_alloc_unbound(const struct share_alloc *a, const char **first);
/** A report is due now: the allocator asks for it, or is another one. */
void share_holder_poked(struct share_holder *h);
/**
 * Whether units are free that the allocator's own VM should have. It grants single tokens out of
 * its own part: while that VM had no requests itself, it took the units only after
 * SHARE_REPORT_IDLE_US, and until then a small team's requests were refused everywhere.
 */
bool share_alloc_self_short(const struct share_alloc *a, int64_t now_us);
/** Answer a holder's report. */
struct share_order share_alloc_report(struct share_alloc *a, const char *vm,
				      const struct share_report *r, int64_t now_us);

#endif
