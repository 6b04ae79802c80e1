/**
 * @file shares-state.h
 * State shared by the files of the admission service. The allocator of a team is the VM that
 * assigns the moving parts of the team's rate to VMs; a fixed part belongs to the VM that holds its
 * key.
 *
 * shares.c        teams, the service
 * shares-admit.c  admission, requests that wait
 * shares-report.c parts of rates that move between VMs, see decide/share.h
 * shares-ask.c    tokens of fixed parts held by other VMs, see decide/part.h
 */
#ifndef SHARES_STATE_H
#define SHARES_STATE_H

#include "bucket.h"
#include "fleet.h"
#include "parts.h"
#include "share.h"
#include "shares.h"
#include "urgency.h"

/**
 * Number of allocator roles. Each role is held by one VM; teams are spread over the roles by the
 * hash of their name.
 */
#define ALLOCATORS 8
/**
 * Tokens from another VM that took longer to arrive are discarded: the burst there has filled up
 * again in the meantime, so they would exceed the team's burst.
 */
#define GRANT_AGE_MAX_US (100 * USEC_PER_MSEC)

/** Most places (fixed parts of all data centres) that may be asked for a team's tokens. */
#define SHARES_PLACES_MAX (FLEET_DATA_CENTERS_MAX * PARTS_PER_DC)

/** State of asking other VMs for tokens of a team. A round is described in shares-ask.c. */
struct shares_ask {
	bool in_flight; /**< an RPC is in flight */
	unsigned place; /**< that is asked */
	uint64_t call;	/**< number of the last RPC; the answers to others are not waited for */
	uint64_t tried; /**< bit mask of the places that had too few tokens in this round */
	unsigned asked; /**< RPCs of this round */
	int64_t sent_us;
	bool remote;		 /**< the place being asked is in another data centre */
	int64_t remote_empty_us; /**< when a place of another data centre last had too few tokens */
	int64_t paused_until_us; /**< no place had a token: no RPC is sent before this time */
	double success_ratio;	 /**< moving average of rounds in which every waiting request got a
				    token, or the promise of one in time */

	/* Only if admission is by priority. Times are 0 if not known. */
	bool older_build;    /**< a VM answered in this round that does not know classes */
	int64_t patience_us; /**< maximum wait that was sent with the RPC in flight */
	int64_t offer_us;    /**< earliest token that a place promised in this round */
	int offer_place;
	int64_t next_us;	  /**< next place in the schedule of retries */
	int64_t refused_until_us; /**< requests that can't wait until @a next_us are refused
				     without asking before this time */
};

/** Requests of a team that are in the same priority class. */
struct shares_class {
	struct admissions waiting;
	unsigned n_waiting;
	struct shares_ask ask;
	int64_t work_us; /**< moving average of the time from admission to the end of the work */
};

struct shares_team {
	TAILQ_ENTRY(shares_team) link;
	TAILQ_ENTRY(shares_team) busy_link;
	bool busy; /**< on the list of teams with waiting requests or a round in progress */
	struct shares *s;
	char name[NAME_SIZE];
	double rate;
	double burst;
	bool configured;
	struct bucket bucket;
	/** Only the first is used unless admission is by priority. */
	struct shares_class cls[URGENCY_CLASSES];
	unsigned n_waiting;	 /**< of all classes */
	unsigned route_classes;	 /**< bit mask of the classes of the routes for this team only */
	struct urgency *urgency; /**< of @a bucket; NULL until a request came with its class */
	double granted; /**< single tokens granted by another VM to the requests that wait now */

	bool fixed; /**< the rate is divided into fixed parts, and no part of it moves */
	struct part_split part;

	unsigned role; /**< index of the allocator role that is responsible for the team */
	struct share_split split;
	struct share_holder holder;
	int64_t report_sent_us;	   /**< when the unanswered report was sent; 0 for none */
	struct share_alloc *alloc; /**< set once this VM was asked to be the team's allocator */
	bool census_complete;	   /**< @a alloc had reports of every VM when last checked */
	int64_t census_logged_us;  /**< when the VMs that @a alloc waits for were last logged */
};
TAILQ_HEAD(shares_teams, shares_team);

struct shares {
	struct service service;
	struct shares_teams teams;
	struct shares_teams busy; /**< teams that each tick processes */
	unsigned n_moving;	  /**< teams whose rate moves between VMs */
	bool idle;		  /**< the timer runs at IDLE_TICK_US */
	GHashTable *by_name;
	struct event *tick;
	struct event *due; /**< at the time of the next promised token */
	int64_t due_us;	   /**< 0: not set */
	int64_t started_us;
	int64_t ticked_us;
	bool listed;		/**< this VM's lease is confirmed: other VMs still count it */
	struct parts *parts;	/**< NULL where the platform has no fixed parts */
	uint64_t conf_version;	/**< configuration version that last changed a team */
	uint64_t route_version; /**< configuration version that last changed a route */
	unsigned route_classes; /**< bit mask of the classes of the routes for all teams */
	uint64_t vms_revision;	/**< revision of the list of VMs that the rates are divided over */
	unsigned n_left;	/**< VMs on that list that have announced that they leave */
	double all_rates;	/**< sum of the rates of all configured teams */
	unsigned held;		/**< bit mask of the fixed parts that this VM holds */
	unsigned inherited;	/**< bit mask of the parts whose unspent tokens were credited */
	GHashTable *holders;	/**< struct holder_vm by address, of VMs that hold parts */

	/** Addresses that reports go to, by allocator role; empty while a role has no VM. */
	char allocator[ALLOCATORS][ADDRESS_SIZE];
};

/* shares.c */
struct shares_team *shares_team(struct shares *s, const char *name);
/** Sets rate and burst of the bucket to this VM's part. */
void team_resize(struct shares_team *t, int64_t now);
/**
 * After a pause of the loop, gives up parts that other VMs may hold by now; called before a request
 * takes a token.
 */
void shares_check_pause(struct shares *s, int64_t now);
/** Makes the timer process the team until it has no waiting request and no round in progress. */
void team_mark_busy(struct shares_team *t);

/**
 * Processes the waiting requests at @a at_us too, between two ticks: a promised token that waits
 * for the next tick takes room in the holder's bucket, and a bucket of one gains no token then.
 */
void shares_wake_at(struct shares *s, int64_t at_us);
/** Resizes the buckets when the lease or the set of held parts has changed. */
void shares_check_lease(struct shares *s, int64_t now);

/* shares-admit.c */
/** Admits waiting requests while there are tokens, and refuses those whose wait has ended. */
void team_admit_waiting(struct shares_team *t, int64_t now);
/** Takes up to @a want tokens from this VM's bucket for requests that wait on another VM. */
unsigned team_grant(struct shares_team *t, unsigned want, int64_t now);
/** Returns the state of the team's classes, which is made at the first call. */
struct urgency *team_urgency(struct shares_team *t, int64_t now);
/**
 * Returns whether tokens go by class: it is set, and the routes of the team state at least two
 * classes. What a VM has seen of the classes is no criterion: most VMs see one class of most teams,
 * and their requests waited for 300 ms instead of the answer that a holder can give at once.
 */
bool team_by_class(const struct shares_team *t);
/** Returns how many requests of at least the urgency of @a cls wait on this VM. */
unsigned team_waiting_before(const struct shares_team *t, unsigned cls);
/** Ends the wait of @a a and calls its callback. */
void admission_end(struct admission *a, bool admitted, int64_t retry_after_us);

/* shares-report.c */
void report_serve(struct shares *s);
void report_tick(struct shares *s, int64_t now);
/** Updates the allocator on this VM, if any, with the list of VMs and the team's rate. */
void report_team_changed(struct shares_team *t);

/* shares-ask.c */
void ask_serve(struct shares *s);
/** Asks the next VM for tokens for the waiting requests, if there is one left to ask. */
void ask_next(struct shares_team *t, int64_t now);
/**
 * As ask_next(), and ends the rounds that asked all VMs: requests that can't get a token in time
 * are refused.
 */
void ask_continue(struct shares_team *t, int64_t now);
/** Tells the holder of the place that a token it promised will not be taken. */
void ask_release(struct shares_team *t, unsigned cls, int place);
/** Returns whether a round of any class is in progress. */
bool ask_in_progress(const struct shares_team *t);
/** Returns whether most recent rounds of the class satisfied every request. */
bool ask_class_within_rate(const struct shares_team *t, unsigned cls);
/** Returns whether this holds for all classes: the team is within its rate. */
bool ask_within_rate(const struct shares_team *t);

#endif
