/**
 * @file conf.h
 * The configuration in force: routes, pools, teams, keys, evacuations and the operators' document.
 * Each entry carries the version that last changed it. Only a higher version is accepted, so that
 * no entry reverts to an older state. An update contains just the entries that changed, or all.
 *
 * A pool is a database group as configured, and a member is a database server of the group. A team
 * is a set of callers that share a rate limit. A tombstone is the record of a removed entry.
 */
#ifndef DECIDE_CONF_H
#define DECIDE_CONF_H

#include "confirm.h"
#include "types.h"

#include <glib.h>

/** Bytes of a key's hash (BLAKE2b). */
#define KEY_HASH_SIZE 32
/** Number of tombstones kept, so that an update for a VM with an older version contains them. */
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
	unsigned slots;	      /**< statements that it runs concurrently */
	unsigned connections; /**< connections that it accepts */
	bool leaving;	      /**< marked in the pool's entry as about to be taken out of service */
	bool cold;	      /**< recently started and still slow */
	double cold_per_s;    /**< limit of statements per second while cold; 0: no limit */
	bool evacuated;	      /**< its data centre is being evacuated */
};

/** Whether the member is to get no new work. */
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
	unsigned max_age_ms; /**< maximum staleness of a read; 0: it must see the session's own and
				all acknowledged writes */
	unsigned deadline_ms;
	int mode;		    /**< enum read_mode of src/statement.h */
	unsigned target_latency_ms; /**< latency that its callers ask for; 0: none stated */
	unsigned priority;	    /**< 0 is the highest */
	bool anonymous;		    /**< callers need no key */
	unsigned idle_tx_ms; /**< idle time after which a transaction may be ended; 0: never */
};

struct conf_team {
	char name[NAME_SIZE];
	double rate; /**< requests per second over all VMs together */
	double burst;
};

struct conf_key {
	char id[NAME_SIZE];
	char team[NAME_SIZE];
	unsigned char hash[KEY_HASH_SIZE];
	bool withdrawn;
};

/** A data centre whose backend servers are to get no new work. */
struct conf_evacuation {
	char data_center[NAME_SIZE];
};

/** The operators' document, from which the other entries are derived; not every store keeps one. */
struct conf_document {
	char name[NAME_SIZE];
	double version; /**< version number set by the operators, a whole number */
};

/** A configuration entry or, if @a removed, a tombstone. Its text is what is stored and sent. */
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

/**
 * Creates an entry of @a kind, with room for that kind only: a pool takes many times the memory of
 * the others, of which there are far more.
 */
struct conf_entry *conf_entry_create(enum conf_kind kind, const char *id, uint64_t version,
				     const char *text);
/** @return the size of the struct that belongs to @a kind */
size_t conf_kind_size(enum conf_kind kind);
struct conf_entry *conf_entry_add_ref(struct conf_entry *e);
void conf_entry_unref(struct conf_entry *e);
/** conf_entry_unref() with the signature that GLib's containers need. */
void conf_entry_destroy(gpointer e);

struct conf {
	uint64_t version;
	uint64_t oldest;     /**< changes since this version can be sent as an incremental update */
	GHashTable *entries; /**< maps id to conf_entry */
	GHashTable *routes;  /**< maps "team kind" to conf_entry */
	GHashTable *pools;   /**< maps name to conf_entry */
	uint64_t changed[CONF_KINDS]; /**< version that last changed an entry of the kind */
	GQueue tombstones;	      /**< tombstones, oldest first */
	GPtrArray *sorted; /**< all entries and tombstones, sorted by id; NULL until needed */
};

/** A change to a configuration. */
struct conf_update {
	uint64_t base; /**< it contains the entries that changed after this version */
	uint64_t version;
	bool full;	 /**< it contains all entries; others are to be removed */
	uint64_t oldest; /**< in a full update: oldest version from which the receiver can send
			    incremental updates to other VMs; 0: @a version */
	GPtrArray *entries;
};

enum conf_verdict {
	CONF_APPLIED,
	CONF_OLD,	   /**< not newer than the version in force */
	CONF_OLD_DOCUMENT, /**< derived from an older operators' document than the one in force */
	CONF_GAP,	   /**< its base is above the version in force: a lower base is needed */
};

struct conf *conf_create(void);
void conf_free(struct conf *c);
enum conf_verdict conf_apply(struct conf *c, const struct conf_update *u);
void conf_update_clear(struct conf_update *u);
/** @return all entries and tombstones, sorted by id; owned by @a c */
const GPtrArray *conf_sorted(struct conf *c);
/** @return the index of the first entry of @a sorted whose id is not below @a id */
guint conf_sorted_find(const GPtrArray *sorted, const char *id);

const struct conf_pool *conf_pool(const struct conf *c, const char *name);
/** @return the index of the member in @a pool, or -1 if there is none or @a pool is NULL */
int conf_pool_find(const struct conf_pool *pool, const char *member);
/** Name of the only entry of kind CONF_DOCUMENT. */
#define CONF_DOCUMENT_NAME "operators"
/** @return the version of the operators' document in force, or 0 */
double conf_document_version(const struct conf *c);
bool conf_evacuated(const struct conf *c, const char *data_center);
const struct conf_team *conf_team(const struct conf *c, const char *name);
const struct conf_key *conf_key(const struct conf *c, const char *id);
/**
 * @return the most specific route for @a team and @a kind, or NULL. A route that names the team is
 * preferred to one that names only the kind.
 */
const struct conf_route *conf_route(const struct conf *c, const char *team, const char *kind);

#endif
