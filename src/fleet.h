/**
 * @file fleet.h
 * The fleet is the set of daemons, one per VM. This module keeps its membership, exchanges
 * heartbeats and distributes the configuration. The decisions are in decide/peers.c and
 * decide/conf.c.
 *
 * A role is a task assigned to one VM by rendezvous hashing; the home is the daemon
 * that holds a member's connections and queue. The era counts how often the store was restored from
 * an older copy (era.h).
 *
 * fleet.c       heartbeats, membership, and which VM holds which role
 * fleet-conf.c  the configuration in force, and its exchange with peers
 * fleet-list.c  the platform's list of VMs, and its exchange with peers
 * fleet-etcd.c  source of the configuration and the list of VMs: etcd
 * fleet-store.c source of the configuration and the list of VMs: a store with leases (store.h)
 */
#ifndef FLEET_H
#define FLEET_H

#include "conf.h"
#include "kernel.h"
#include "page.h"
#include "peers.h"
#include "rpc.h"

#include <json-glib/json-glib.h>

struct fleet;

/** Operations of a source of the configuration and the list of VMs. */
struct fleet_source_ops {
	void (*start)(struct fleet *f);
	/** Removes this VM from the list of VMs when it leaves. May be NULL. */
	void (*leave)(struct fleet *f);
	void (*stop)(struct fleet *f);
	/**
	 * Whether this VM is certainly still on the list that its peers have. If NULL, a removed VM
	 * has SHARE_DELIST_GRACE_US to receive the new list before its shares of the teams' rates
	 * are given to others.
	 */
	bool (*listed)(struct fleet *f);
	/** Reads everything again, since changes were missed. */
	void (*resync)(struct fleet *f);
	/** Writes the source's members of `mangoloom status`. May be NULL. */
	void (*json)(struct fleet *f, JsonBuilder *b);
};

/** etcd's JSON gateway. */
extern const struct fleet_source_ops fleet_etcd_ops;
/** A store with leases (store.h); each VM lists itself there under a lease. */
extern const struct fleet_source_ops fleet_store_ops;

/** Called when the membership or the configuration has changed. */
typedef void (*fleet_changed)(void *owner);

/** Called when the holder of @a role is no longer known: it has changed, or may have. */
typedef void (*fleet_role_dropped)(void *owner, const char *role);

#define FLEET_LISTENERS_MAX 8
#define FLEET_ROLE_LISTENERS_MAX 2
/** Maximum number of data centres; those beyond it are left out of fleet.data_center. */
#define FLEET_DATA_CENTERS_MAX 16

/** A fixed part of the teams' rates and the VM that holds it, from the list of VMs (parts.h). */
struct fleet_part {
	char data_center[NAME_SIZE];
	unsigned index;
	char vm[NAME_SIZE];
	char address[ADDRESS_SIZE]; /**< of the VM's RPC port */
	uint64_t incarnation;	    /**< of the process that holds it */
	uint64_t lease;		    /**< under which it is held */
	uint64_t revision;	    /**< of the part's key */
};

struct fleet {
	struct service service;
	struct peers peers;
	struct conf *conf;
	int64_t list_fetched_us; /**< time of the last fetch of the list of VMs from a peer */
	GHashTable *list;	 /**< key to struct list_item (fleet-list.c): the list of VMs */
	bool self_listed;	 /**< this VM was on the list of VMs at least once */
	uint64_t oldest_era;	 /**< lowest store era that a listed VM reports */
	uint64_t list_base;	 /**< all changes of the list after this revision are known */
	GArray *parts;		 /**< of struct fleet_part, from the list of VMs */
	const struct fleet_source_ops *source;
	char data_center[FLEET_DATA_CENTERS_MAX][NAME_SIZE]; /**< with a listed VM, sorted */
	unsigned n_data_centers;
	unsigned n_listed;   /**< listed VMs */
	GHashTable *holders; /**< cache: role to struct role_holder; see role_holder() */
	unsigned n_left;     /**< listed VMs that have announced that they left */
	int watch_rank;	     /**< cached fleet_watch_rank(); -1: not computed */
	struct event *heartbeat;
	bool fetching;		      /**< a call to a peer for its configuration is in progress */
	struct page_fetch fetch;      /**< pages of a newer configuration received so far */
	struct event *fetch_retry;    /**< timer: fetch from another VM */
	struct page_peers page_peers; /**< peers that are fetching pages from this VM */
	int64_t conf_confirmed_us; /**< when the configuration was last confirmed to be current */
	struct {
		fleet_changed cb;
		void *owner;
	} listeners[FLEET_LISTENERS_MAX];
	unsigned n_listeners;
	struct {
		fleet_role_dropped cb;
		void *owner;
	} role_listeners[FLEET_ROLE_LISTENERS_MAX];
	unsigned n_role_listeners;
};

struct service *fleet_service_create(struct kernel *k);
struct fleet *fleet_of(struct kernel *k);
void fleet_listen(struct fleet *f, fleet_changed cb, void *owner);
void fleet_listen_roles(struct fleet *f, fleet_role_dropped cb, void *owner);
/** Returns the RPC address of the member's home; NULL if none is known. */
const char *fleet_home_address(struct fleet *f, const char *pool, const char *member);
/** Whether @a data_center has a usable VM, which can be home to its members. */
bool fleet_has_usable_vm(struct fleet *f, const char *data_center);
/** Whether @a data_center has a listed VM. */
bool fleet_has_listed_vm(const struct fleet *f, const char *data_center);
bool fleet_home_is_self(struct fleet *f, const char *pool, const struct conf_member *m);
/** Returns the RPC address of the VM that holds @a role in the fleet; NULL if none is known. */
const char *fleet_holder_address(struct fleet *f, const char *role);
/** Returns the RPC address of the VM in this data centre that holds @a role; NULL if none does. */
const char *fleet_local_holder_address(struct fleet *f, const char *role);
/** Marks the VM at @a address as suspect after a failed call, until it answers again. */
void fleet_suspect(struct fleet *f, const char *address);
/** Whether this VM is certainly still on its peers' lists of VMs. */
bool fleet_confirmed_listed(struct fleet *f);
/** Returns the part @a index of @a data_center with its last known holder; NULL if it has none. */
const struct fleet_part *fleet_part(const struct fleet *f, const char *data_center, unsigned index);
/** Returns the time since the configuration was last confirmed to be current. */
int64_t fleet_conf_age_us(const struct fleet *f);
/** Writes the membership and versions for `mangoloom status`. */
void fleet_json(struct fleet *f, JsonBuilder *b);

/* fleet-conf.c */

/** Whether this VM is one of the few in its data centre that watch the store. */
bool fleet_is_watcher(struct fleet *f);
/** Rank of this VM among the usable VMs of its data centre; the lowest ranks watch the store. */
unsigned fleet_watch_rank(struct fleet *f);
/** Fetches the configuration from a random seed of the settings if none is in force yet. */
void fleet_fetch_from_seed(struct fleet *f);
/** Puts a configuration update in force; an older one is ignored. */
void fleet_apply_conf(struct fleet *f, const struct conf_update *u, const char *from);
void fleet_conf_serve(struct rpc_request *rq, const void *args, void *owner);
/** Timer callback: fetches from another VM after one was busy. */
void fleet_on_fetch_retry(evutil_socket_t fd, short what, void *arg);
/** Fetches a newer configuration or list of VMs from the peer at @a address. */
void fleet_fetch_from(struct fleet *f, const char *address);

/* fleet-list.c */

GHashTable *fleet_list_create(void);
/** Stores a list entry, unless a newer one is known; @a value is NULL if it was removed. */
void fleet_list_put(struct fleet *f, const char *key, const char *value, uint64_t revision);
/** Completes a full list of @a revision: removes the entries whose keys are not in @a listed_keys.
 */
void fleet_list_remove_unlisted(struct fleet *f, GHashTable *listed_keys, uint64_t revision);
/** Puts the list in force as of @a revision; an older one is ignored. */
void fleet_list_publish(struct fleet *f, uint64_t revision);
/** Puts a full list of VMs, a JSON array, in force; an older one is ignored. */
void fleet_apply_vms(struct fleet *f, uint64_t revision, const char *text);
/** Writes the changes since revision @a known to @a res for a peer. Free res->vms.vms_val. */
void fleet_list_write_changes(const struct fleet *f, uint64_t known, ml_conf_res *res);
/** Applies the changes of the list that a peer sent. */
void fleet_list_apply_changes(struct fleet *f, const ml_conf_res *res);

/* fleet.c */

/** Calls the listeners. */
void fleet_notify(struct fleet *f);
/** Recomputes roles after a change of the membership, and calls the listeners. */
void fleet_members_changed(struct fleet *f);
/** Sends a round of heartbeats immediately, to spread a change. */
void fleet_send_heartbeats(struct fleet *f);

#endif
