/**
 * @file fleet-store-source.h
 * State shared by the files fleet-store*.c: the store's connection state, its items and the lease.
 * Terms (era, registration) are explained in fleet-store.h.
 */
#ifndef FLEET_STORE_SOURCE_H
#define FLEET_STORE_SOURCE_H

#include "adapter.h"
#include "fleet-store.h"

#define LISTENERS_MAX 4

/** A backend server as last read from the store. */
struct server {
	struct records_server record;
	bool lapsed;	   /**< its record was removed from the store */
	int64_t lapsed_us; /**< when the removal was received */
	uint64_t revision;
};

/** Which keys a list covers. */
enum list_scope {
	LIST_ALL,
	LIST_VMS,  /**< VMs and the parts of the rates that they hold */
	LIST_CONF, /**< what the configuration is made of: no keys of the daemons */
	LIST_SCOPES
};

struct store_source {
	struct fleet *f;
	const struct records_ops *records;
	struct store *store;
	struct event *tick;
	struct event *retry;
	int64_t retry_us;

	struct era era;
	uint64_t lease;
	uint64_t lease_era;    /**< era in which the lease was last granted or renewed */
	uint64_t registration; /**< number of times that this VM was registered */
	/** Registration and end of the lease of the previous era. */
	uint64_t previous_registration;
	int64_t previous_lease_until_us;
	uint64_t published_era;	   /**< era in this VM's key */
	uint64_t publishing_era;   /**< era in the write of the key that is in progress */
	int64_t rewrite_next_us;   /**< earliest time of the next write of the key */
	uint64_t key_revision;	   /**< of the last known change of this VM's key; 0: none */
	uint64_t foreign_revision; /**< of its last change by another process, or of its removal */
	unsigned key_conflicts;	   /**< writes of the key that failed in a row */
	uint64_t lapses; /**< number of times that this VM's lease expired before it was renewed */
	fleet_store_caught_up_cb caught_up; /**< may be NULL */
	void *caught_up_owner;
	bool lease_call_pending; /**< a grant, a renewal or a write of the key is in progress */
	bool registered;
	bool releasing;		/**< the lease is being ended, since this VM leaves */
	bool released;		/**< the call that ends the lease was answered */
	int64_t lease_sent_us;	/**< when the last grant or renewal was sent */
	int64_t lease_until_us; /**< when the lease expires, counted from lease_sent_us */
	int64_t lease_next_us;	/**< earliest time of the next lease call */

	/**
	 * The store has more keys than one page of a list. Then a VM that does not watch the store
	 * does not read all of it.
	 */
	bool large;
	enum list_scope scope;	    /**< of the current list */
	unsigned list_prefix;	    /**< index of the prefix that is being listed */
	bool partial;		    /**< the last complete list was not of all keys */
	bool resync;		    /**< changes were missed: the next list is of all keys */
	bool awaits_key;	    /**< the list begins once this VM's key is written */
	int64_t key_wait_until_us;  /**< or at this time */
	int64_t conf_wait_until_us; /**< without a configuration from peers by then, read it */
	unsigned n_lists;	    /**< complete lists read */
	bool initial_list_done;	 /**< a list recent enough for the start of the process was read */
	bool list_is_complete;	 /**< the current list is complete; a watch continues from it */
	char *last_listed_key;	 /**< last key of the previous page; NULL before the first */
	GHashTable *listed_keys; /**< set of the keys in the current list */
	uint64_t list_revision;	 /**< revision of the list's first page */
	struct store_call *watch;
	uint64_t synced_revision; /**< all changes up to this revision are applied */
	bool reachable;
	int64_t checked_us;	/**< when the last watch or periodic list was started */
	int64_t watch_delay_us; /**< last delay between two watches, see watch_next_delay_us() */

	GPtrArray *pending;    /**< items of an incomplete list; listeners are notified later */
	GHashTable *known;     /**< key to revision (uint64_t *) of all keys received */
	GHashTable *servers;   /**< id to struct server */
	bool servers_lapsed;   /**< a server may be lapsed; source_drop_lapsed() has to look */
	GHashTable *evacuated; /**< set of the names of evacuated data centres */
	struct records_document document;
	uint64_t document_revision;
	uint64_t conf_revision; /**< newest revision of the keys of operators and backend servers */
	bool conf_changed;
	bool vms_changed;
	bool keeps_lost_keys;	      /**< keys that were lost in a restore are still in force */
	void (*on_key_written)(void); /**< called once this VM's key is written; may be NULL */
	struct {
		const char *prefix;
		fleet_store_item_cb cb;
		void *owner;
	} listeners[LISTENERS_MAX];
	unsigned n_listeners;
};

extern struct store_source store_source;

/* fleet-store.c */

/** Records whether the store answered the call named @a call, and logs a change. */
void source_set_reachable(const char *call, bool ok);

/** Whether @a key is of a VM or of a part that one holds. */
bool source_is_vm_key(const char *key);

/* fleet-store-items.c */

bool source_is_evacuation(const char *key);
/** Applies an item received from the store, unless it is outdated. */
void source_apply_item(const struct store_item *item);
/** Puts the received configuration and list of VMs in force, unless a list is still being read. */
void source_publish(void);
/** Notifies the listeners of the pending items; call it after the groups are configured. */
void source_notify_pending(void);
/** Frees what the configuration was made of, on a VM that does not watch its changes. */
void source_forget_conf(void);
/** Drops backend servers whose records were removed at least LAPSED_KEEP_US ago. */
void source_drop_lapsed(int64_t now);

/* fleet-store-lease.c */

/** Length of a VM's lease; it must exceed the longest outage of the store. */
#define LEASE_TTL_US (12 * USEC_PER_SEC)

/** Returns the delay after a failed lease call when @a left_us of the lease are left. */
int64_t source_lease_retry_us(int64_t left_us);
/**
 * Writes this VM's key again and then calls @a then. Does nothing if the VM is not registered, a
 * lease call is in progress or the last write is too recent. The write raises the store's revision,
 * so a list of VMs that @a then reads has a higher revision than the list that the peers have.
 */
void source_rewrite_key(int64_t now, void (*then)(void));
/** Notes a change of this VM's own key. */
void source_own_key_changed(const struct store_item *item);
/** Requests or renews the lease, or writes the key, when it is due. */
void source_lease_tick(int64_t now);

#endif
