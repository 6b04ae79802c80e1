/**
 * @file shares-state.h
 * What the parts of the admission service share.
 *
 * shares.c        teams, admission, the service
 * shares-report.c parts of the rates that move between VMs, see decide/share.h
 * shares-ask.c    tokens of the fixed parts that other VMs hold, see decide/part.h
 */
#ifndef SHARES_STATE_H
#define SHARES_STATE_H

#include "bucket.h"
#include "fleet.h"
#include "parts.h"
#include "share.h"
#include "shares.h"

/** VMs that allocate, at most. */
#define ALLOCATORS 8
/** Tokens from another VM that took longer to arrive are not used: its burst has filled up since.
 */
#define GRANT_FRESH_US (100 * USEC_PER_MSEC)

/** Most places that may be asked for a team: a bit each in shares_ask. */
#define SHARES_PLACES_MAX (FLEET_DATA_CENTERS_MAX * PARTS_PER_DC)

/** Asking other VMs for tokens of a team. */
struct shares_ask {
	bool out;	/**< a call is under way */
	uint64_t tried; /**< places asked in this round, a bit each */
	unsigned asked; /**< calls of this round */
	int64_t sent_us;
	bool far;	      /**< the place that is being asked is in another data centre */
	int64_t far_tried_us; /**< when one of those had too few tokens */
	int64_t dry_until_us; /**< no place had a token: nothing is asked before */
	double got;	      /**< part of the last rounds in which all that waited got a token */
};

struct shares_team {
	TAILQ_ENTRY(shares_team) link;
	TAILQ_ENTRY(shares_team) busy_link;
	bool busy; /**< requests wait, or a round of asking is under way */
	struct shares *s;
	char name[NAME_SIZE];
	double rate;
	double burst;
	bool configured;
	struct bucket bucket;
	struct admissions waiting;
	unsigned n_waiting;
	double granted; /**< single tokens from another VM, for those that wait now */

	bool fixed; /**< it has fixed parts, and nothing of its rate moves */
	struct part_split part;
	struct shares_ask ask;

	unsigned role; /**< which of the allocators has it */
	struct share_split split;
	struct share_holder holder;
	int64_t out_us;		   /**< when the open report was sent */
	struct share_alloc *alloc; /**< when this VM was asked to be the team's allocator */
	bool whole;		   /**< @a alloc had heard from every VM when last looked at */
	int64_t census_told_us;	   /**< when it was last logged whom @a alloc waits for */
};
TAILQ_HEAD(shares_teams, shares_team);

struct shares {
	struct service service;
	struct shares_teams teams;
	struct shares_teams busy; /**< those that a tick has to look at */
	unsigned n_moving;	  /**< teams whose rate moves between VMs */
	bool idle;		  /**< ticks come at the pace of a VM at rest */
	GHashTable *by_name;
	struct event *tick;
	int64_t started_us;
	int64_t ticked_us;
	bool listed;	       /**< this VM surely counts as listed for others */
	struct parts *parts;   /**< NULL where no VM holds fixed parts */
	uint64_t conf_version; /**< that last changed a team */
	uint64_t vms_revision; /**< of the list of VMs that the rates are divided over */
	unsigned n_left;       /**< of these, those that have left */
	double all_rates;      /**< of all configured teams */
	unsigned held;	       /**< fixed parts that this VM holds, a bit each */
	unsigned inherited;    /**< those whose unspent tokens it has taken over, a bit each */

	char allocator[ALLOCATORS][ADDRESS_SIZE]; /**< to which reports go; empty: to none */
};

/* shares.c */
struct shares_team *shares_team(struct shares *s, const char *name);
/** Bring the bucket to this VM's part. */
void team_resize(struct shares_team *t, int64_t now);
/** Admit those that wait as far as there are tokens, and end those that have waited in vain. */
void team_admit_waiting(struct shares_team *t, int64_t now);
/** Tokens for another VM's waiting requests, out of this VM's own bucket. */
unsigned team_grant(struct shares_team *t, unsigned want, int64_t now);
/** Drop what a loop that stood still may hold, and others have by now. */
void shares_check_pause(struct shares *s, int64_t now);
/** Have ticks look at the team until nothing of it waits. */
void team_busy(struct shares_team *t);

/* shares-report.c */
void report_serve(struct shares *s);
void report_tick(struct shares *s, int64_t now);
/** The allocator here, if any, takes in the list of VMs and the team's rate. */
void report_team_changed(struct shares_team *t);

/* shares-ask.c */
void ask_serve(struct shares *s);
/** Ask another VM for those that wait, if one is left to ask. */
void ask_next(struct shares_team *t, int64_t now);
/** Whether most of what was asked for came, lately: the team is within its rate. */
bool ask_hopeful(const struct shares_team *t);

#endif
