/**
 * @file owner-standing.h
 * Where the primary of a group stands: the owner counts the data centres that its statements come
 * from, reports that, and moves the primary to another data centre on request. A move is a planned
 * change of primary (owner-change.c): the new primary has every write before the old one is
 * replaced. It is called off, and the old primary continues, when it cannot be made at once.
 *
 * owner-standing.c  at the owner: counts, report, move
 * owner-rebalance.c at the planner: the plan for all groups, and its execution
 */
#ifndef OWNER_STANDING_H
#define OWNER_STANDING_H

#include "rpc.h"
#include "standing.h"

#include <json-glib/json-glib.h>

struct owner;
struct owner_group;
struct owner_job;
struct owner_member;
struct rebalance;

/** Role of the VM that plans where primaries stand. */
#define STANDING_ROLE "rebalance"

enum standing_phase {
	STANDING_IDLE,
	STANDING_WANTED,    /**< a move waits for probe results */
	STANDING_RECORDING, /**< the choice is being written to the record */
	STANDING_CHANGING,  /**< the planned change is under way */
};

/** Embedded in struct owner_group. */
struct owner_standing {
	struct standing_origins *origins; /**< NULL until a statement is counted, as in most VMs */
	enum standing_phase phase;
	int target;	      /**< member that is to lead */
	int64_t wanted_us;    /**< when the move was requested */
	int64_t owned_us;     /**< since when this VM owns the group; 0: it does not */
	int64_t disturbed_us; /**< last change of primary, or time that a member was down */
	int64_t since_us;     /**< since when the primary leads, as known to this VM */
	int64_t moved_us;     /**< when it was last moved by this VM; 0: never */
	const char *why;      /**< why the primary stands where it does */
	bool undo_wanted;     /**< the record still has the choice of a move that was called off */
};

/** Embedded in struct owner. */
struct owner_standings {
	struct rebalance *rebalance; /**< NULL if the settings do not call for it */
	int64_t fault_us;	     /**< last partition, evacuation or lost VM known */
	bool fault;		     /**< one of them lasts */
	uint64_t evacuation_version; /**< last version with a changed evacuation */
};

/** Serves the messages, if the settings call for it. */
void standing_start(struct owner *o);
void standing_stop(struct owner *o);
/** Looks for faults after a change of the membership or of the configuration. */
void standing_fleet_changed(struct owner *o);
void standing_tick(struct owner_group *g, int64_t now);
/** Forgets what belongs to the ownership of the group. */
void standing_clear(struct owner_group *g);
/** Counts a statement that is sent to the primary because only it may serve it. */
void standing_sent(const struct owner_job *job, int64_t now);
/** Records that @a m leads now. */
void standing_primary_set(struct owner_group *g, const struct owner_member *m, const char *why);
/** Whether the planned change under way is a move, which the old primary does not depend on. */
bool standing_moves(const struct owner_group *g);
/** Whether the member that is to lead by the move may still do so. */
bool standing_target_fits(const struct owner_group *g);
/**
 * Whether the choice that was written is that of a move. If so, its change has to be begun.
 * @param possible set to whether that is still allowed
 */
bool standing_recorded(struct owner_group *g, bool *possible);
/** Records that the move, if there is one, is not made. */
void standing_called_off(struct owner_group *g, const char *why);
/** Time for which the fence or the catch-up of a move may pause writes. */
#define STANDING_STEP_MAX_US (300 * USEC_PER_MSEC)
/** Time since the last partition, evacuation or lost VM that this VM knows of; 1 while it lasts. */
int64_t standing_quiet_us(const struct owner *o, int64_t now);
/** Writes the own groups for `mangoloom status`: where the primary stands, since when and why. */
void standing_json(struct owner *o, JsonBuilder *b);

/* owner-rebalance.c */
struct rebalance *rebalance_create(struct owner *o);
void rebalance_free(struct rebalance *r);
/** Serves ML_REBALANCE with an error while the setting is off. */
void rebalance_serve_off(struct rpc_request *rq, const void *args, void *ctx);

#endif
