/**
 * @file harness-owner.h
 * One VM with an owner in this process, before members, a store and a promoter that a test plays.
 */
#ifndef HARNESS_OWNER_H
#define HARNESS_OWNER_H

#include "adapter.h"
#include "fleet-store-source.h"
#include "harness.h"
#include "owner.h"

#define POOL "p"
#define SELF "127.0.0.1:1"

/** A connection to a member: the test calls its callbacks. */
struct fake_conn {
	struct member_conn conn;
	char id[NAME_SIZE];
	member_opened opened;
	member_answered answered;
	member_told told;
	member_closed ended;
	void *arg;
	bool closed;
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
	unsigned n_gets;
	uint64_t store_era, store_revision;
	/** Value of a key that is read, to g_free(); NULL: there are no keys. */
	char *(*value)(const char *key);
	/** Whether an answer of the store is held back; NULL: none is. */
	bool (*holds)(void);
	/** A promotion is ordered; NULL: nothing happens. */
	void (*promote)(const char *member, promoter_done cb, void *arg);
};

/** What the test plays; begins anew with each world. */
extern struct fake fake;

/** Give the answers that were held back. */
void fake_store_deliver(void);

struct world {
	struct settings settings;
	struct kernel *k;
	struct owner *o;
	enum outcome outcome; /**< of the last statement; OUTCOMES while it runs */
};

/** One VM that owns nothing, and a group of three members in data centre "dc". */
void world_open(struct world *w);
/** Let the loop do what is due. */
void world_turn(struct world *w);
/** Open the world and wait until its VM serves the group, with m0 as the primary. */
struct owner_group *world_serve(struct world *w);
void world_close(struct world *w);
/** vm-1, which is this VM and has a lease, and vm-9, which is the one to claim the group. */
struct owner_group *world_join(struct world *w);
/** Answer all looks that are out: m0 leads, the others have @a lsn. */
void answer_looks(uint64_t lsn);
/** Turn, answering looks, until the group is in @a state. */
void turn_until(struct world *w, struct owner_group *g, enum owner_state state);
/** The configuration with @a change made to the pool. */
void world_configure(struct world *w, void (*change)(struct conf_pool *pool, const char *member),
		     const char *member);
void set_leaving(struct world *w, const char *member);

#endif
