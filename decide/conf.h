/**
 * @file conf.h
 * The configuration in force: routes, pools, teams and keys, each entry with the version that last
 * changed it. A version is accepted only when it is higher, so nothing reverts; changes travel as
 * the entries that differ.
 */
#ifndef DECIDE_CONF_H
#define DECIDE_CONF_H

#include "confirm.h"
#include "types.h"

#include <glib.h>

/** Bytes of a key's hash (BLAKE2b). */
#define KEY_HASH_SIZE 32
/** Removed entries remembered, so that a VM that is behind can be told of them. */
#define CONF_TOMBSTONES_MAX 1024

enum conf_kind {
	CONF_ROUTE,
	CONF_POOL,
	CONF_TEAM,
	CONF_KEY,
	CONF_EVACUATION,
	CONF_DOCUMENT,
	CONF_KINDS
};

struct conf_member {
	char name[NAME_SIZE];
	char address[ADDRESS_SIZE];
	char data_center[NAME_SIZE];
	unsigned slots;	      /**< statements that it runs side by side */
	unsigned connections; /**< that it accepts */
	bool leaving;	      /**< by its own entry */
	bool cold;	      /**< it started lately, and is slow */
	double cold_per_s;    /**< statements a second that it takes meanwhile; 0: no limit */
	bool evacuated;	      /**< its data centre is; worked out from the evacuations in force */
};

/** Whether the member is to get no more work. */
static inline bool conf_member_leaves(const struct conf_member *m)
{
	return m->leaving || m->evacuated;
}

struct conf_pool {
	char name[NAME_SIZE];
	enum confirm_mode confirm;
	unsigned sync; /**< replicas that must hold a write before the primary acknowledges it */
	unsigned n;
	struct conf_member member[GROUP_MEMBERS_MAX];
};

struct conf_route {
	char name[NAME_SIZE];
	char team[NAME_SIZE]; /**< "*" for every team */
	char kind[NAME_SIZE]; /**< "*" for every kind */
	char pool[NAME_SIZE];
	bool write;
	unsigned max_age_ms; /**< oldest data that a read accepts; 0: the session's and all
				acknowledged writes */
	unsigned deadline_ms;
	int mode;	   /**< enum read_mode of src/statement.h */
	unsigned aim_ms;   /**< how soon its callers want an answer; 0: not said */
	unsigned priority; /**< 0 goes first */
	bool anonymous;	   /**< callers need no key */
	unsigned
		idle_tx_ms; /**< an open transaction that rests for longer may be ended; 0: never */
};

struct conf_team {
	char name[NAME_SIZE];
	double rate; /**< requests a second over the whole fleet */
	double burst;
};

struct conf_key {
	char id[NAME_SIZE];
	char team[NAME_SIZE];
	unsigned char hash[KEY_HASH_SIZE];
	bool withdrawn;
};

/** A data centre whose backend servers are to get no more work. */
struct conf_evacuation {
	char data_center[NAME_SIZE];
};

/** The operators' document that the other entries come from, for a store that keeps one. */
struct conf_document {
	char name[NAME_SIZE];
	double version; /**< the operators' own, a whole number */
};

/** One entry. Its text is what the platform keeps and what VMs send each other. */
struct conf_entry {
	unsigned refs;
	char *id; /**< "pool/orders" */
	enum conf_kind kind;
	uint64_t version;
	char *text;
	bool removed;
	union {
		struct conf_route route;
		struct conf_pool pool;
		struct conf_team team;
		struct conf_key key;
		struct conf_evacuation evacuation;
		struct conf_document document;
	};
};

struct conf_entry *conf_entry_create(const char *id, uint64_t version, const char *text);
struct conf_entry *conf_entry_add_ref(struct conf_entry *e);
void conf_entry_unref(struct conf_entry *e);
/** The same for GLib's containers. */
void conf_entry_destroy(gpointer e);

struct conf {
	uint64_t version;
	uint64_t oldest;	      /**< changes after this version can be told as a difference */
	GHashTable *entries;	      /**< id to conf_entry */
	GHashTable *routes;	      /**< "team kind" to conf_entry */
	GHashTable *pools;	      /**< name to conf_entry */
	uint64_t changed[CONF_KINDS]; /**< version that last changed an entry of the kind */
	GQueue tombstones;	      /**< removed conf_entry, oldest first */
	GPtrArray *sorted;	      /**< see conf_sorted(); NULL until it is asked for */
};

/** A change to a configuration. */
struct conf_update {
	uint64_t base; /**< the entries are those changed after this version */
	uint64_t version;
	bool full;	 /**< the entries are all there are */
	uint64_t oldest; /**< of a full one: changes after this version can be told; 0: none before
			    @a version */
	GPtrArray *entries;
};

enum conf_verdict {
	CONF_APPLIED,
	CONF_OLD,	   /**< not newer than what is in force */
	CONF_OLD_DOCUMENT, /**< of an older document than what is in force */
	CONF_GAP,	   /**< starts after the version in force: ask for more */
};

struct conf *conf_create(void);
void conf_free(struct conf *c);
enum conf_verdict conf_apply(struct conf *c, const struct conf_update *u);
void conf_update_clear(struct conf_update *u);
/** All entries and tombstones by id; owned by @a c. */
const GPtrArray *conf_sorted(struct conf *c);
/** Index of the first of @a sorted whose id is not below @a id. */
guint conf_sorted_find(const GPtrArray *sorted, const char *id);

const struct conf_pool *conf_pool(const struct conf *c, const char *name);
/** Index of a member of @a pool, which may be NULL; -1 when it has none of that name. */
int conf_pool_find(const struct conf_pool *pool, const char *member);
/** Name of the only CONF_DOCUMENT. */
#define CONF_DOCUMENT_NAME "operators"
/** Version of the operators' document in force; 0 for none. */
double conf_document_version(const struct conf *c);
bool conf_evacuated(const struct conf *c, const char *data_center);
const struct conf_team *conf_team(const struct conf *c, const char *name);
const struct conf_key *conf_key(const struct conf *c, const char *id);
/** The most exact route for @a team and @a kind, or NULL. A named team goes before a named kind. */
const struct conf_route *conf_route(const struct conf *c, const char *team, const char *kind);

#endif
