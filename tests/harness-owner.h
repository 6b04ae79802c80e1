/**
 * @file harness-owner.h
 * Runs the owner service of one VM in this process, with fake members, a fake store and a fake
 * promoter that a test controls. The owner is the VM that holds the connections of a database group
 * and manages its primary; POOL is the name of that group.
 */
#ifndef HARNESS_OWNER_H
#define HARNESS_OWNER_H

#include "adapter.h"
#include "fleet-store-source.h"
#include "harness.h"
#include "owner.h"

#define POOL "p"
#define SELF "127.0.0.1:1"

/** A fake connection to a member. The test calls its callbacks. */
struct fake_conn {
	struct member_conn conn;
	char id[NAME_SIZE];
	member_opened opened;
	member_answered answered;
	member_order_done order_done;
	member_closed ended;
	void *arg;
	bool closed; /**< closed by the owner service */
};

#define FAKE_CONNS_MAX 4096

struct fake {
	struct fake_conn *conns[FAKE_CONNS_MAX];
	unsigned n_conns;
	struct member_command sent[64];
	struct fake_conn *sent_on[64];
	unsigned n_sent;

	bool store_refuses;
	unsigned n_commits;
	unsigned n_orders, n_orders_taken_back;
	void *order; /**< argument of the last promotion order */
	unsigned n_gets;
	uint64_t store_era, store_revision;
	/**
	 * Returns the value of a key, which is freed with g_free(). NULL: the store has no keys.
	 */
	char *(*value)(const char *key);
	/** Whether answers of the store are held back. NULL: none are. */
	bool (*holds)(void);
	/** Called with the commands that are sent on a connection; may be NULL. */
	void (*run)(struct fake_conn *f, const struct member_command *commands, unsigned n);
	/** Called when a promotion is ordered. NULL: the order gets no answer. */
	void (*promote)(const char *member, promoter_done cb, void *arg);
};

/** State of the fakes. world_open() resets it. */
extern struct fake fake;

/** Delivers the answers of the store that were held back. */
void fake_store_deliver(void);

struct world {
	struct settings settings;
	struct kernel *k;
	struct owner *o;
	enum outcome outcome; /**< of the last statement; OUTCOMES until it is answered */
};

/** Creates one VM that owns no group, and a group of three members in data centre "dc". */
void world_open(struct world *w);
/** Runs the events that are due. */
void world_run_once(struct world *w);
/** Opens the world and runs until its VM serves the group, with m0 as the primary. */
struct owner_group *world_serve(struct world *w);
void world_close(struct world *w);
/** Gives this VM a lease. */
void world_hold_lease(struct world *w);
/** Lists vm-1, which is this VM and holds a lease, and vm-9, which is to claim the group. */
struct owner_group *world_join(struct world *w);
/** Answers the probe on @a f, or the opening of its connection, if one is open. */
void fake_probe_answer(struct fake_conn *f, const struct member_status *st);
/** Answers all open probes: m0 is the primary, and all members have @a lsn. */
void answer_probes(uint64_t lsn);
/** Runs the loop and answers probes until the group is in @a state. */
void run_until_state(struct world *w, struct owner_group *g, enum owner_state state);
/** Applies a configuration in which @a change was made to the pool. */
void world_configure(struct world *w, void (*change)(struct conf_pool *pool, const char *member),
		     const char *member);
void set_leaving(struct world *w, const char *member);

#endif
