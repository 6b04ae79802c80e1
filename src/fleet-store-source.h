/**
 * @file fleet-store-source.h
 * What the parts of the fleet's store share: what is known of the store, its items and the lease.
 */
#ifndef FLEET_STORE_SOURCE_H
#define FLEET_STORE_SOURCE_H

#include "adapter.h"
#include "fleet-store.h"

#define LISTENERS_MAX 4

struct server {
	struct records_server record;
	bool lapsed;
	int64_t lapsed_us;
	uint64_t revision;
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
	uint64_t lease_era;    /**< in which the lease was last granted or renewed */
	uint64_t registration; /**< counts the times that this VM became listed */
	/** The registration, and the end of the lease, of the era before. */
	uint64_t former_registration;
	int64_t former_until_us;
	uint64_t published_era;	 /**< that its key tells */
	uint64_t publishing_era; /**< of the write that is under way */
	int64_t rewrite_next_us; /**< the key is not written again before */
	uint64_t lapses;	 /**< leases of this VM that ended before the next one began */
	fleet_store_caught_up caught_up; /**< may be NULL */
	void *caught_up_owner;
	bool lease_asked; /**< a grant or a renewal is under way */
	bool registered;
	bool releasing;
	bool released;
	int64_t lease_sent_us;
	int64_t lease_until_us;
	int64_t lease_next_us;

	unsigned n_lists;	/**< lists that were read to their end */
	bool begun;		/**< one of them was new enough to go on from */
	bool listed_all;	/**< everything was read; the watch goes on from there */
	char *after;		/**< last key of the list's page before */
	GHashTable *listed;	/**< keys that this list has told */
	uint64_t list_revision; /**< of the list's first page */
	struct store_call *watch;
	uint64_t as_of; /**< revision up to which all changes are known */
	bool reachable;
	int64_t checked_us;
	int64_t own_news_us; /**< last pause after news of our own keys */

	GPtrArray *pending;    /**< items of a list that is not in force yet, for the listeners */
	GHashTable *known;     /**< key to revision (uint64_t *), of all that was told */
	GHashTable *servers;   /**< id to struct server */
	GHashTable *evacuated; /**< names of data centres */
	struct records_document document;
	uint64_t document_revision;
	uint64_t changed; /**< newest revision of the operators' document and the servers */
	bool conf_changed;
	bool vms_changed;
	bool keeps;		 /**< keys that the present era lacks still count */
	void (*rewritten)(void); /**< to be called once this VM's key is written; NULL: nothing */
	struct {
		const char *prefix;
		fleet_store_news cb;
		void *owner;
	} listeners[LISTENERS_MAX];
	unsigned n_listeners;
};

extern struct store_source store_source;

/* fleet-store.c */

/** A call has ended; @a ok: the store answered. */
void source_heard(const char *call, bool ok);

/* fleet-store-items.c */

bool source_is_evacuation(const char *key);
/** Take in what the store tells of a key. */
void source_take(const struct store_item *item);
/** Put what is known in force, when all was read. */
void source_publish(void);
/** Tell the listeners of a list's items, now that the groups that these belong to are known. */
void source_notify_pending(void);
/** Drop backend servers whose entries have been gone for long enough. */
void source_drop_lapsed(int64_t now);

/* fleet-store-lease.c */

/** Length of a VM's lease; it has to outlast the longest outage of the store. */
#define LEASE_TTL_US (12 * USEC_PER_SEC)

/** Pause after a call for the lease failed, with @a left_us of it left. */
int64_t source_lease_retry_us(int64_t left_us);
/**
 * Write this VM's key again, and call @a then: a list that follows is of a later revision, which
 * peers need to tell it from the one before.
 */
void source_rewrite_key(int64_t now, void (*then)(void));
/** Ask for the lease, or renew it, when that is due. */
void source_lease_tick(int64_t now);

#endif
