/**
 * @file budget.h
 * Connections of a member (a database server of a group) as a budget: which idle connection is
 * closed for another team, which class of statements may open one, how many open transactions may
 * hold one, and how the member's limit is divided between the owner of the group and its readers.
 *
 * Made for members that accept fewer connections than there are teams (84 teams, 56 to 70
 * connections), where each connection belongs to one team and opening one occupies one of 4 slots
 * of the member for 12 ms. A team uses a member again after 1.7 to 3.8 s (median), so connections
 * that are closed by their age alone are opened again for every fifth to seventh statement.
 */
#ifndef DECIDE_BUDGET_H
#define DECIDE_BUDGET_H

#include "types.h"

/** Number of priority classes. A statement with a higher priority number is in the last class. */
#define BUDGET_CLASSES 4
/** Most teams whose use of a member is remembered; the stalest is dropped for another. */
#define BUDGET_TEAMS_MAX 256
/** Most connections of one team that are told apart by how often they are used. */
#define BUDGET_LEVELS 4
/** Most readers of a group that can hold a grant. */
#define BUDGET_READERS_MAX 16
/** Connections of a member that are left for probes of the owner and of other VMs. */
#define BUDGET_PROBE_CONNECTIONS 3
/** Connections that a reader without a grant may hold to a member. */
#define BUDGET_UNGRANTED 2
/** How long a reader may use a grant that is not renewed. */
#define BUDGET_GRANT_US (1 * USEC_PER_SEC)
/**
 * How long the owner counts a grant after the last renewal: the answer with the grant may have
 * arrived up to a second late, and the reader uses it for BUDGET_GRANT_US.
 */
#define BUDGET_COUNT_US (2 * USEC_PER_SEC)

/* Use by team */

/** Use of the n-th connection of a team, that is, while n - 1 others of the team were in use. */
struct budget_level {
	int64_t last_us; /**< 0: never used */
	double gap_us;	 /**< moving average of the time between two uses; 0: used once */
};

struct budget_team {
	char name[NAME_SIZE];
	int64_t last_us;
	int64_t class_us[BUDGET_CLASSES]; /**< last use by each class; 0: never */
	struct budget_level level[BUDGET_LEVELS];
};

/** Use of one member by this VM. All zero: no use was recorded. */
struct budget_history {
	struct budget_team *teams;
	unsigned n, room;
	int64_t class_us[BUDGET_CLASSES]; /**< last use by each class; 0: never */
};

/** Frees what the history holds and forgets it. */
void budget_history_clear(struct budget_history *h);
/**
 * Records that a statement or transaction of @a team starts while @a in_use connections of the team
 * are in use.
 */
void budget_record_use(struct budget_history *h, const char *team, unsigned priority,
		       unsigned in_use, int64_t now_us);
/**
 * @return expected time in us until the team uses a further connection while it uses @a in_use;
 * never negative
 */
double budget_next_use_us(const struct budget_history *h, const char *team, unsigned in_use,
			  int64_t now_us);
/**
 * As budget_next_use_us(), scaled by the most urgent class that used the team's connections lately:
 * with equal expected use, the connection of the less urgent team has the higher value and is
 * closed first.
 */
double budget_spare_us(const struct budget_history *h, const char *team, unsigned in_use,
		       int64_t now_us);
/** @return the most urgent class in use lately; BUDGET_CLASSES if there is none */
unsigned budget_urgent_class(const struct budget_history *h, int64_t now_us);
/** @return how many connections are expected to be used again within @a within_us */
unsigned budget_wanted(const struct budget_history *h, int64_t within_us, int64_t now_us);

/* What may be opened */

/** Whether a statement may open a connection. */
struct budget_opening {
	unsigned limit;	 /**< most connections that this VM may hold */
	unsigned in_use; /**< connections that it holds and that are not idle */
	double urgent_share;
	unsigned urgent_class; /**< most urgent class in use */
	unsigned priority;     /**< of the statement */
};

bool budget_may_open(const struct budget_opening *o);

/* Open transactions */

/** Open transactions on a member, and begins of transactions that wait or run. */
struct budget_resting {
	unsigned connections; /**< that the member accepts */
	double resting_share;
	unsigned all;  /**< transactions of all teams */
	unsigned team; /**< of the team that begins another one */
	bool urgent;   /**< the begin is of the most urgent class in use */
};

/** Whether a further transaction may begin. */
bool budget_may_begin(const struct budget_resting *r);

/* Division of a member's limit */

/** Most grants of one reader that may be in use at the same time; see struct budget_reader. */
#define BUDGET_GRANTS_MAX 8

struct budget_grant {
	unsigned n;
	int64_t sent_us;
};

/** A reader and the grants that it may still use: the newest last, each lower than the one before.
 */
struct budget_reader {
	char name[NAME_SIZE];
	unsigned want;
	struct budget_grant grant[BUDGET_GRANTS_MAX];
	unsigned n; /**< number of grants; 0: the entry is free */
};

/** What the owner granted on one member. All zero: nothing. */
struct budget_grants {
	struct budget_reader reader[BUDGET_READERS_MAX];
};

/** The member and its use, as the owner knows it. */
struct budget_division {
	unsigned connections; /**< that the member accepts */
	unsigned reserve;     /**< left for a VM that takes over from one that lost power */
	unsigned floor;	      /**< what each usual reader can get at any time */
	unsigned readers;     /**< number of VMs that usually read from the member */
	unsigned held;	      /**< connections that the owner holds */
	unsigned want;	      /**< connections that the owner would use */
	bool settled;	      /**< no grant of a previous owner can be in use */
};

/** Whether a reader holds a grant. */
bool budget_granting(const struct budget_grants *g);
/**
 * Grants connections to the reader @a vm, which would use @a want; if that is 0, it gets no more
 * than a reader without a grant and is not counted as one of those that use the member.
 * @return the number granted, which is never so high that the grants, BUDGET_UNGRANTED for each
 * usual reader without one, and the connections of the owner exceed the member's limit
 */
unsigned budget_divide(struct budget_grants *g, const struct budget_division *d, const char *vm,
		       unsigned want, int64_t now_us);
/**
 * @return the most connections that the owner may hold: what is left by the readers, by what they
 * may hold already and by their fair part of what they want
 */
unsigned budget_owner_limit(const struct budget_grants *g, const struct budget_division *d,
			    int64_t now_us);
/** Frees the entries of readers whose grants have expired. @return their number */
unsigned budget_expire(struct budget_grants *g, int64_t now_us);

/** What a reader was granted on one member. */
struct budget_allowance {
	unsigned granted;
	int64_t granted_us; /**< 0: never */
	int64_t since_us;   /**< since when it serves reads; 0: it does not */
};

/**
 * @return the most connections that the reader may hold; @a otherwise if its owner is of an older
 * build and grants nothing
 */
unsigned budget_allowed(const struct budget_allowance *a, unsigned otherwise, int64_t now_us);

#endif
