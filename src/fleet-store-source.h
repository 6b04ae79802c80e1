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

	uint64_t lease;
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
	uint64_t era;	/**< of the store, as last told; 0: never */
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

/** Take in what the store tells of a key. */
void source_take(const struct store_item *item);
/** Put what is known in force, when all was read. */
void source_publish(void);
/** Tell the listeners of a list's items, now that the groups that these belong to are known. */
void source_notify_pending(void);
/** Drop backend servers whose entries have been gone for long enough. */
void source_drop_lapsed(int64_t now);

/* fleet-store-lease.c */

/** Pause after a call for the lease failed, with @a left_us of it left. */
int64_t source_lease_retry_us(int64_t left_us);
/** Ask for the lease, or renew it, when that is due. */
void source_lease_tick(int64_t now);

#endif
