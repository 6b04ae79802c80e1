/**
 * @file peers.h
 * Membership of the fleet: which VMs exist and which are alive. The platform's list defines the VMs
 * of the fleet; a VM sends heartbeats to a fixed number of others to find out which are alive, and
 * heartbeats also carry updates about failed, returned and leaving VMs (gossip). The cost per VM
 * does not grow with the fleet.
 */
#ifndef DECIDE_PEERS_H
#define DECIDE_PEERS_H

#include "rank.h"
#include "types.h"

#include <glib.h>

/** Neighbours that a VM sends heartbeats to, in the ring of the VMs of its own data centre. */
#define PEERS_NEIGHBOURS 2
/** Suspected VMs that are also sent a heartbeat in each round. */
#define PEERS_SUSPECTS 2
/** Maximum number of heartbeats in one round. */
#define PEERS_TARGETS_MAX (PEERS_NEIGHBOURS + PEERS_SUSPECTS + 1)
/** Consecutive unanswered heartbeats after which a VM counts as dead. */
#define PEERS_MISSES_MAX 3
/** Maximum number of updates in one heartbeat. */
#define PEERS_UPDATES_MAX 16

struct vm {
	TAILQ_ENTRY(vm) link;
	char name[NAME_SIZE];
	uint64_t hash;		    /**< rank_hash() of the name */
	char address[ADDRESS_SIZE]; /**< of its RPC port */
	char data_center[NAME_SIZE];
	const char *dc; /**< @a data_center, interned: equal names are the same pointer */
	struct peers *peers;
	TAILQ_ENTRY(vm) update_link; /**< in peers.updates while heartbeats_left > 0 */
	bool listed;		     /**< on the platform's list */
	bool leaving;		     /**< about to leave, by itself or by the platform's list */
	bool left; /**< it has announced that it leaves, after it gave up all that it held */
	bool dead;
	uint64_t incarnation;	     /**< random identifier of its process; 0: not known */
	uint64_t listed_incarnation; /**< incarnation in the platform's list; 0: none */
	uint64_t update_seq;	     /**< version of @a dead and @a leaving in this incarnation */
	unsigned misses;	     /**< consecutive heartbeats without an answer */
	unsigned heartbeats_left;    /**< heartbeats that still carry the update about this VM */
	bool suspect; /**< a call to it failed: not used until its next heartbeat or answer. Not
			 sent to other VMs */
	uint64_t conf_version; /**< configuration version that it last reported */
	bool ranked_usable;    /**< whether it was usable when the roles were last assigned */
};
TAILQ_HEAD(vms, vm);

/** Update about a VM, carried by heartbeats: its state at the version @a seq. */
struct vm_update {
	char vm[NAME_SIZE];
	uint64_t incarnation;
	uint64_t seq;
	bool dead;
	bool leaving;
};

struct peers {
	struct vms vms; /**< sorted by name, which also is the order of the heartbeat ring */
	GHashTable *by_name;
	GHashTable *by_address;
	unsigned n;
	struct vm **order;  /**< all VMs, as in @a vms */
	struct vms updates; /**< VMs with an update that heartbeats still carry */
	unsigned n_suspects;
	uint64_t revision; /**< revision of the platform's list in use */
	struct vm *self;
	struct vms removed; /**< VMs that the last list removed, see peers_free_removed() */
	bool relocated;	    /**< the data centre of a VM has changed; reset by whoever handles it */
	uint64_t weighed;   /**< candidates weighed for roles, in total */
};

/** An entry of the platform's list of VMs. */
struct vm_listing {
	const char *name;
	const char *address;
	const char *data_center;
	bool leaving;
	uint64_t incarnation; /**< identifier of its process; 0: not in the list */
};

void peers_init(struct peers *p, const char *self, const char *address, const char *data_center,
		uint64_t incarnation);
void peers_clear(struct peers *p);
struct vm *peers_find(const struct peers *p, const char *name);
/** @return the VM with the RPC address @a address, or NULL */
struct vm *peers_find_address(const struct peers *p, const char *address);
/**
 * Apply the platform's list at @a revision. @return false, with nothing changed, if the revision is
 * not newer than the one in use.
 */
bool peers_apply_list(struct peers *p, uint64_t revision, const struct vm_listing *l, unsigned n);
/**
 * Free the VMs that the last list removed. Until then, pointers to them remain valid; they are not
 * usable.
 */
void peers_free_removed(struct peers *p);
/**
 * Choose the VMs for this round's heartbeats: neighbours, some suspected VMs, and one at random
 * from the fleet. @return their number.
 */
unsigned peers_targets(struct peers *p, uint64_t random, struct vm *out[PEERS_TARGETS_MAX]);
/** Record that @a vm sent or answered a heartbeat. */
void peers_record_contact(struct vm *vm, uint64_t incarnation, uint64_t conf_version);
/** Record that @a vm did not answer a heartbeat. @return whether it has just become dead. */
bool peers_record_miss(struct peers *p, struct vm *vm);
/** Mark @a vm, to which a call failed, as not usable until the next heartbeat or answer from it. */
void peers_suspect(struct peers *p, struct vm *vm);
/** Mark this VM as leaving and notify the others. */
void peers_leave(struct peers *p);
/** Apply a received update. One that reports this VM as dead is answered by a newer update. */
void peers_apply_update(struct peers *p, const struct vm_update *update);
/** Collect the updates for the next heartbeat. @return their number. */
unsigned peers_collect_updates(struct peers *p, struct vm_update out[PEERS_UPDATES_MAX]);
/** @return whether @a vm may be given roles and sent requests */
bool peers_usable(const struct vm *vm);
/**
 * @return the VM that holds the role @a key, or NULL when no VM is usable. VMs in @a data_center
 * are preferred unless it is NULL.
 */
struct vm *peers_holder(struct peers *p, const char *key, const char *data_center);
/** @return the VM that will hold the role @a key once this VM has left, or NULL */
struct vm *peers_next_holder(struct peers *p, const char *key);
/**
 * @return this VM's rank for @a key among the usable VMs of its own data centre, by rendezvous
 * hashing; 0 is first
 */
unsigned peers_own_rank(struct peers *p, const char *key);

#endif
