/**
 * @file peers.h
 * Which VMs exist and which answer now. The platform's list says who may exist; heartbeats to a
 * fixed number of VMs say who answers; news of deaths and returns spreads with the heartbeats. Cost
 * per VM does not grow with the fleet.
 */
#ifndef DECIDE_PEERS_H
#define DECIDE_PEERS_H

#include "rank.h"
#include "types.h"

#include <glib.h>

/** Neighbours in the ring of the own data centre that a VM sends heartbeats to. */
#define PEERS_NEIGHBOURS 2
/** Suspects that one round of heartbeats also asks. */
#define PEERS_SUSPECTS 2
/** Most heartbeats of one round. */
#define PEERS_TARGETS_MAX (PEERS_NEIGHBOURS + PEERS_SUSPECTS + 1)
/** Heartbeats in a row without an answer that make a VM dead. */
#define PEERS_MISSES_MAX 3
/** News carried by one heartbeat, at most. */
#define PEERS_NEWS_MAX 16

struct vm {
	TAILQ_ENTRY(vm) link;
	char name[NAME_SIZE];
	char address[ADDRESS_SIZE]; /**< of its RPC port */
	char data_center[NAME_SIZE];
	bool listed;
	bool leaving;
	bool left; /**< it said itself that it leaves, after it had given up what it held */
	bool dead;
	uint64_t incarnation;	     /**< of its process; 0 when not known */
	uint64_t listed_incarnation; /**< the same as the platform's list has it; 0: it does not */
	uint64_t news_seq; /**< version of @a dead and @a leaving within the incarnation */
	unsigned misses;
	unsigned spread; /**< heartbeats that still carry the news of this VM */
	bool suspect; /**< a call to it failed; not used again before it is heard. Known to this VM
			 alone */
	uint64_t conf_version; /**< last version that it reported */
	bool ranked_usable;    /**< as roles were last ranked */
};
TAILQ_HEAD(vms, vm);

/** One piece of news: the state of a VM at a version. */
struct vm_news {
	char vm[NAME_SIZE];
	uint64_t incarnation;
	uint64_t seq;
	bool dead;
	bool leaving;
};

struct peers {
	struct vms vms; /**< in order of their names: the ring */
	GHashTable *by_name;
	unsigned n;
	uint64_t revision; /**< of the platform's list */
	struct vm *self;
};

/** A line of the platform's list. */
struct vm_listing {
	const char *name;
	const char *address;
	const char *data_center;
	bool leaving;
	uint64_t incarnation; /**< of its process; 0 when the list does not say */
};

void peers_init(struct peers *p, const char *self, const char *address, const char *data_center,
		uint64_t incarnation);
void peers_clear(struct peers *p);
struct vm *peers_find(const struct peers *p, const char *name);
/**
 * Take in the platform's list of @a revision; an older one changes nothing. @return whether it was
 * taken.
 */
bool peers_list(struct peers *p, uint64_t revision, const struct vm_listing *l, unsigned n);
/**
 * Choose the VMs for this round's heartbeats: neighbours, and one at random from the fleet.
 * @return how many.
 */
unsigned peers_targets(struct peers *p, uint64_t random, struct vm *out[PEERS_TARGETS_MAX]);
/** @a vm answered. */
void peers_heard(struct vm *vm, uint64_t incarnation, uint64_t conf_version);
/** @a vm did not answer a heartbeat. @return whether it counts as dead from now on. */
bool peers_missed(struct peers *p, struct vm *vm);
/** A call to @a vm failed: use another one until @a vm is heard again. */
void peers_suspect(struct peers *p, struct vm *vm);
/** This VM leaves: tell the others. */
void peers_leave(struct peers *p);
/** Take in news that came with a heartbeat. News of one's own death is answered by newer news. */
void peers_learn(struct peers *p, const struct vm_news *news);
/** News to send with the next heartbeat. @return how many. */
unsigned peers_news(struct peers *p, struct vm_news out[PEERS_NEWS_MAX]);
bool peers_usable(const struct vm *vm);
/**
 * The VM that holds the role @a key, near @a data_center when that is not NULL.
 * @return NULL when no VM is usable.
 */
struct vm *peers_holder(const struct peers *p, const char *key, const char *data_center);
/** The same among the other VMs, for a VM that leaves. */
struct vm *peers_next_holder(const struct peers *p, const char *key);
/**
 * This VM's place among the usable VMs of its own data centre for @a key, by rendezvous order: 0
 * is first.
 */
unsigned peers_place(const struct peers *p, const char *key);

#endif
