/**
 * @file fleet.h
 * The daemons as one: membership, heartbeats, the configuration in force and how it spreads.
 * Decisions are in decide/peers.c and decide/conf.c.
 *
 * fleet.c       heartbeats, membership, who is home to what
 * fleet-conf.c  the configuration in force, from peers and to peers
 * fleet-list.c  the platform's list of VMs, from peers and to peers
 * fleet-etcd.c  configuration and list of VMs from etcd's gateway
 * fleet-store.c the same from a store with leases, with what others keep there
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

/** Where the configuration and the list of VMs come from. */
struct fleet_source_ops {
	void (*start)(struct fleet *f);
	/** This VM leaves: take it off the list of VMs. May be NULL. */
	void (*leave)(struct fleet *f);
	void (*stop)(struct fleet *f);
	/**
	 * Whether this VM is surely still on the list that others see. NULL: a VM that is taken off
	 * has SHARE_GONE_US to hear of it.
	 */
	bool (*listed)(struct fleet *f);
	/** What is known here misses changes: read all anew. */
	void (*behind)(struct fleet *f);
	/** What `mangoloom status` tells of it. May be NULL. */
	void (*json)(struct fleet *f, JsonBuilder *b);
};

/** etcd's gateway. */
extern const struct fleet_source_ops fleet_etcd_ops;
/** A store of store.h; the VM lists itself there under a lease. */
extern const struct fleet_source_ops fleet_store_ops;

/** Something changed: the membership or the configuration. */
typedef void (*fleet_changed)(void *owner);

#define FLEET_LISTENERS_MAX 8
/** Data centres that are told apart, at most. */
#define FLEET_DCS_MAX 16

/** A fixed part of the teams' rates, as the list of VMs tells who holds it (parts.h). */
struct fleet_part {
	char data_center[NAME_SIZE];
	unsigned index;
	char vm[NAME_SIZE];
	char address[ADDRESS_SIZE]; /**< of the VM's RPC port */
	uint64_t incarnation;	    /**< of the process that holds it */
	uint64_t lease;		    /**< under which it is held */
	uint64_t revision;	    /**< of its key */
};

struct fleet {
	struct service service;
	struct peers peers;
	struct conf *conf;
	int64_t list_us;     /**< when the list of VMs was last fetched from a peer */
	GHashTable *list;    /**< entries of the platform's list, by key; see fleet-list.c */
	bool self_listed;    /**< the platform's list has named this VM */
	uint64_t oldest_era; /**< lowest era of the store that a listed VM is in */
	uint64_t list_base;  /**< revision since which each change of the list is known here */
	GArray *parts;	     /**< of struct fleet_part, out of the same list */
	const struct fleet_source_ops *source;
	char data_center[FLEET_DCS_MAX][NAME_SIZE]; /**< those with a listed VM, by name */
	unsigned n_data_centers;
	unsigned n_listed;   /**< listed VMs */
	GHashTable *holders; /**< role to struct role_holder, until a change that can move it */
	uint64_t ranked_revision; /**< of the platform's list that @a holders are of */
	unsigned n_left;	  /**< listed VMs that have left */
	int watch_place; /**< this VM's among those that watch the platform; -1: to be found */
	struct event *heartbeat;
	bool fetching;		 /**< a peer or the platform is being asked for the configuration */
	struct page_fetch fetch; /**< what peers have sent of a newer one */
	struct event *fetch_again;    /**< another VM is to be asked */
	struct page_peers page_peers; /**< to which this VM sends its own */
	int64_t news_us;	      /**< when the configuration was last known to be current */
	struct {
		fleet_changed cb;
		void *owner;
	} listeners[FLEET_LISTENERS_MAX];
	unsigned n_listeners;
};

struct service *fleet_service_create(struct kernel *k);
struct fleet *fleet_of(struct kernel *k);
void fleet_listen(struct fleet *f, fleet_changed cb, void *owner);
/** RPC address of the member's home; NULL when none is known. */
const char *fleet_home_address(struct fleet *f, const char *pool, const char *member);
/** Whether @a data_center has a VM that can be home to its members. */
bool fleet_serves(struct fleet *f, const char *data_center);
/** Whether @a data_center has a listed VM. */
bool fleet_lists(const struct fleet *f, const char *data_center);
bool fleet_home_is_self(struct fleet *f, const char *pool, const struct conf_member *m);
/** RPC address of the holder of @a role in the whole fleet; NULL when none is known. */
const char *fleet_holder_address(struct fleet *f, const char *role);
/** The same among the VMs of this data centre. */
const char *fleet_near_address(struct fleet *f, const char *role);
/** A call to the VM at @a address failed. */
void fleet_suspect(struct fleet *f, const char *address);
/** Whether this VM surely still counts as listed for others. */
bool fleet_surely_listed(struct fleet *f);
/** Who holds a part, as far as is known; NULL for nobody. */
const struct fleet_part *fleet_part(const struct fleet *f, const char *data_center, unsigned index);
/** How long ago the configuration was known to be current. */
int64_t fleet_news_age_us(const struct fleet *f);
/** Membership and versions for `mangoloom status`. */
void fleet_json(struct fleet *f, JsonBuilder *b);

/* fleet-conf.c */
/** Whether this VM is one of those in its data centre that watch the store. */
bool fleet_is_watcher(struct fleet *f);
/** This VM's place among those that watch, or would: 0 is first. */
unsigned fleet_watch_place(struct fleet *f);
/** Ask a seed of the settings for the configuration, while none is known here. */
void fleet_ask_seed(struct fleet *f);
/** Take in a configuration; an older one changes nothing. */
void fleet_take_conf(struct fleet *f, const struct conf_update *u, const char *from);
void fleet_conf_serve(struct rpc_request *rq, const void *args, void *owner);
/** Ask another VM for pages, after one that sends to others. */
void fleet_fetch_again(evutil_socket_t fd, short what, void *arg);
/** A peer at @a address has a newer version, or a newer list of VMs. */
void fleet_conf_behind(struct fleet *f, const char *address);
/* fleet-list.c */
GHashTable *fleet_list_create(void);
/** Note an entry as of @a revision; @a value is NULL when it is gone. An older one changes nothing.
 */
void fleet_list_put(struct fleet *f, const char *key, const char *value, uint64_t revision);
/** All that there is at @a revision has been put: the keys of @a named, and nothing else. */
void fleet_list_whole(struct fleet *f, GHashTable *named, uint64_t revision);
/** Put the list in force as of @a revision; an older one changes nothing. */
void fleet_list_in_force(struct fleet *f, uint64_t revision);
/** Take in a whole list of VMs, as text in JSON; an older one changes nothing. */
void fleet_take_vms(struct fleet *f, uint64_t revision, const char *text);
/** Fill in what a peer that knows the list of revision @a known lacks; free res->vms.vms_val. */
void fleet_list_tell(const struct fleet *f, uint64_t known, ml_conf_res *res);
/** Take in what a peer told. */
void fleet_list_hear(struct fleet *f, const ml_conf_res *res);

/* fleet.c */
/** Tell the listeners. */
void fleet_notify(struct fleet *f);
/** The same after a change of the membership: roles may have moved. */
void fleet_members_changed(struct fleet *f);
/** Send a round of heartbeats now, to spread what is new. */
void fleet_beat(struct fleet *f);

#endif
