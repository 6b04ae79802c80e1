/**
 * @file fleet-store.c
 * Reads and watches the configuration and the list of VMs in a store with leases. Each VM registers
 * itself under a lease. The operators' document and the backend servers' records are combined into
 * routes, pools, teams and API keys. Versions are derived from the store's revisions, so that all
 * VMs give the same state the same version.
 */
#include "fleet-store-source.h"

#include "log.h"

#include <stdlib.h>
#include <string.h>

/** Wait of one watch call; a connection that stopped answering is detected after it. */
#define WATCH_WAIT_US (4500 * USEC_PER_MSEC)
/** Delay before a failed read or watch is retried, doubled each time up to the maximum. */
#define RETRY_MIN_US (50 * USEC_PER_MSEC)
#define RETRY_MAX_US (300 * USEC_PER_MSEC)
/**
 * Delay before the next watch after one whose changes may wait, so that one call returns several.
 * The delay starts at OWN_CHANGE_DELAY_US and doubles up to the maximum while the daemons' keys
 * keep changing. A change of the configuration waits no longer than the maximum.
 */
#define OWN_CHANGE_DELAY_US (150 * USEC_PER_MSEC)
#define OWN_CHANGE_DELAY_MAX_US (600 * USEC_PER_MSEC)
/** After a watch that took longer than this, the delay starts at OWN_CHANGE_DELAY_US again. */
#define OWN_CHANGE_RESET_US (1 * USEC_PER_SEC)
/** List interval of a VM that is not a watcher, in addition to what heartbeats announce. */
#define RELIST_INTERVAL_US (60 * USEC_PER_SEC)
#define TICK_US (100 * USEC_PER_MSEC)
/** Delay before the initial list is read again because it was too old to start from. */
#define INITIAL_LIST_DELAY_US (300 * USEC_PER_MSEC)
/** Longest wait for this VM's key before the VMs are listed nevertheless. */
#define KEY_WAIT_US (3 * USEC_PER_SEC)
/**
 * Time from this VM's key to its list of VMs: VMs that start together are in the list then, and a
 * stale read has them too.
 */
#define START_SPREAD_US (1200 * USEC_PER_MSEC)
/**
 * A VM that has a list of the VMs but no configuration reads that from the store after a random
 * time of up to this for each VM of the fleet, unless a peer has sent one by then. So the store's
 * link carries the reads of VMs that start together one after the other.
 */
#define CONF_READ_SPREAD_US (8 * USEC_PER_MSEC)
/** Least time for peers to send the configuration. */
#define CONF_WAIT_US (500 * USEC_PER_MSEC)
/** Retries of the initial list; all but the last one may be stale reads. */
#define INITIAL_LIST_RETRIES 5

struct store_source store_source;

/** Prefixes that a list of each scope reads one after the other. */
static const char *const scope_prefixes[LIST_SCOPES][2] = {
	[LIST_ALL] = {""},
	[LIST_VMS] = {FLEET_STORE_PARTS, FLEET_STORE_VMS},
	[LIST_CONF] = {""},
};
/** Key behind which the list begins, above all keys of the daemons: '0' follows '/'. */
#define CONF_AFTER "mangoloom0"

static void list_next(void);
static void list_reset(void);
static void list_begin(void);
static void watch_start(void);

struct store *fleet_store(struct fleet *f)
{
	return store_source.store;
}

void fleet_store_listen(struct fleet *f, const char *prefix, fleet_store_item_cb cb, void *owner)
{
	unsigned i = 0;

	while (i < store_source.n_listeners &&
	       strcmp(store_source.listeners[i].prefix, prefix) != 0)
		i++;
	g_assert(i < LISTENERS_MAX);
	store_source.listeners[i].prefix = prefix;
	store_source.listeners[i].cb = cb;
	store_source.listeners[i].owner = owner;
	store_source.n_listeners = MAX(store_source.n_listeners, i + 1);
}

/* Reachability and era of the store */

void source_set_reachable(const char *call, bool ok)
{
	if (ok == store_source.reachable)
		return;
	store_source.reachable = ok;
	/* A VM that started during an outage cannot serve before it has a lease: request it now. */
	if (ok && !store_source.registered)
		store_source.lease_next_us = 0;
	if (ok)
		log_process(G_LOG_LEVEL_INFO, "store-regained", LOG_STR("call", call));
	else
		log_process(G_LOG_LEVEL_WARNING, "store-lost", LOG_STR("call", call),
			    LOG_NUM("lease_left_ms",
				    (store_source.lease_until_us - now_us()) / USEC_PER_MSEC));
}

bool fleet_store_lost(void)
{
	return store_source.store != NULL && !store_source.reachable;
}

/** Cancels the watch and lists all keys again. */
static void relist(void)
{
	if (store_source.watch != NULL)
		store_source.store->ops->cancel(store_source.watch);
	store_source.watch = NULL;
	if (store_source.list_is_complete)
		list_begin();
}

/**
 * Handles a restore of the store from an older copy: renews the lease and, on a watcher, lists all
 * keys again. The other VMs get the result from the watchers.
 */
static void on_restore(void)
{
	store_source.lease_next_us = 0;
	if (fleet_is_watcher(store_source.f))
		relist();
}

static void on_store_era(uint64_t era, void *arg)
{
	uint64_t before = store_source.era.now;

	if (!era_observe(&store_source.era, era, now_us()))
		return;
	log_warn("store-era", LOG_NUM("era", era), LOG_NUM("before", before),
		 LOG_NUM("as_of", era_number(store_source.synced_revision)));
	on_restore();
}

uint64_t fleet_store_era(void)
{
	return store_source.era.now;
}

bool fleet_store_is_current(uint64_t revision)
{
	return revision == 0 || era_of(revision) == store_source.era.now;
}

bool fleet_store_settled(struct fleet *f)
{
	return era_settled(&store_source.era, f->oldest_era, LEASE_TTL_US, now_us());
}

static void retry_later(void)
{
	store_source.retry_us = CLAMP(store_source.retry_us * 2, RETRY_MIN_US, RETRY_MAX_US);
	kernel_arm(store_source.retry, store_source.retry_us);
}

/* Lists */

bool source_is_vm_key(const char *key)
{
	return g_str_has_prefix(key, FLEET_STORE_VMS) || g_str_has_prefix(key, FLEET_STORE_PARTS);
}

/** Whether the current list covers @a key. */
static bool in_scope(const char *key)
{
	switch (store_source.scope) {
	case LIST_VMS:
		return source_is_vm_key(key);
	case LIST_CONF:
		return !g_str_has_prefix(key, FLEET_STORE_PREFIX);
	default:
		return true;
	}
}

/**
 * Whether a key that was lost in a restore stays in force for the length of a lease. VMs, and the
 * parts that they hold, may remain active for that long, and operators need time to write
 * evacuations again.
 */
static bool survives_restore(const char *key)
{
	return source_is_vm_key(key) || source_is_evacuation(key);
}

/** Removes the known keys that a complete list does not have any more. */
static void drop_unlisted(uint64_t revision)
{
	bool settled = era_settled(&store_source.era, 0, LEASE_TTL_US, now_us());
	GList *keys = g_hash_table_get_keys(store_source.known);
	GList *l;

	store_source.keeps_lost_keys = false;

	for (l = keys; l != NULL; l = l->next) {
		struct store_item removal = {.revision = revision};

		if (g_hash_table_contains(store_source.listed_keys, l->data) || !in_scope(l->data))
			continue;
		if (!settled && survives_restore(l->data)) {
			store_source.keeps_lost_keys = true;
			g_hash_table_add(store_source.listed_keys, g_strdup(l->data));
			continue;
		}
		removal.key = g_strdup(l->data);
		source_apply_item(&removal);
		g_hash_table_remove(store_source.known, removal.key);
		g_free(removal.key);
	}
	g_list_free(keys);
}

/**
 * Whether the list is too old to start from. A list without this VM's key also lacks the VMs that
 * start at the same time: each of them would rank itself as a watcher and claim parts. Without a
 * configuration, all of them would fetch it from a few peers.
 */
static bool list_is_too_old(void)
{
	const struct fleet *f = store_source.f;

	return !f->self_listed || (f->conf->version == 0 && store_source.scope == LIST_ALL);
}

/**
 * Has the VMs listed once this VM's key is written: a list without it is too old. In a large store
 * each list counts, since all VMs that start together read it at the same time.
 */
static void await_key(void)
{
	log_info("store-large", LOG_NUM("registered", store_source.registered));
	list_reset();
	store_source.awaits_key = true;
	store_source.key_wait_until_us = now_us() + KEY_WAIT_US;
}

/** Begins the list of VMs that await_key() put off. */
static void key_tick(int64_t now)
{
	if (!store_source.registered && now < store_source.key_wait_until_us)
		return;
	store_source.awaits_key = false;
	kernel_arm(store_source.retry, START_SPREAD_US);
}

/** Sets when to read the configuration from the store if no peer has sent one. */
static void await_conf(void)
{
	uint64_t spread_us = (uint64_t)store_source.f->n_listed * CONF_READ_SPREAD_US + 1;

	store_source.conf_wait_until_us =
		now_us() + CONF_WAIT_US + (int64_t)(random_bits() % spread_us);
}

/** Which keys the next list has to cover. */
static enum list_scope next_scope(void)
{
	struct fleet *f = store_source.f;

	if (!store_source.large || store_source.resync || (f->self_listed && fleet_is_watcher(f)))
		return LIST_ALL;
	if (f->conf->version == 0 && store_source.conf_wait_until_us != 0 &&
	    now_us() >= store_source.conf_wait_until_us)
		return LIST_CONF;
	return LIST_VMS;
}

static void list_complete(void)
{
	log_info("listed", LOG_REVISION("revision", store_source.list_revision),
		 LOG_NUM("known", era_number(store_source.synced_revision)),
		 LOG_NUM("keys", g_hash_table_size(store_source.listed_keys)));
	drop_unlisted(store_source.list_revision);
	if (store_source.scope != LIST_CONF) {
		fleet_list_remove_unlisted(store_source.f, store_source.listed_keys,
					   store_source.list_revision);
		store_source.vms_changed = true;
	}
	if (store_source.scope != LIST_VMS)
		store_source.conf_changed = true;
	g_hash_table_remove_all(store_source.listed_keys);
	g_clear_pointer(&store_source.last_listed_key, g_free);
	store_source.list_is_complete = true;
	/*
	 * The pages of a list are read at different revisions. The watch continues from the first
	 * page's revision, so it returns all changes made while the others were read.
	 */
	store_source.synced_revision = store_source.list_revision;
	store_source.partial = store_source.scope != LIST_ALL;
	store_source.resync = store_source.resync && store_source.partial;
	store_source.n_lists++;
	source_publish();
	if (store_source.scope == LIST_CONF)
		source_forget_conf();
	if (store_source.partial && store_source.f->conf->version == 0)
		await_conf();
	if (!store_source.initial_list_done && store_source.f->oldest_era < store_source.era.now)
		era_mark_unsettled(&store_source.era, now_us());
	source_notify_pending();
	if (!store_source.initial_list_done && list_is_too_old() &&
	    store_source.n_lists <= INITIAL_LIST_RETRIES) {
		list_reset();
		kernel_arm(store_source.retry, INITIAL_LIST_DELAY_US);
		return;
	}
	store_source.initial_list_done = true;
	watch_start();
}

/** Ends a list of the configuration whose first page shows that there is no document yet. */
static void conf_missing(void)
{
	log_info("conf-missing", LOG_REVISION("revision", store_source.list_revision));
	list_reset();
	store_source.list_is_complete = true;
	source_forget_conf();
	await_conf();
}

static void on_list_page(const struct store_answer *a, void *arg)
{
	bool first = store_source.last_listed_key == NULL && store_source.list_prefix == 0;
	guint i;

	source_set_reachable("list", a->status == STORE_DONE);
	if (a->status != STORE_DONE) {
		fleet_fetch_from_seed(store_source.f);
		retry_later();
		return;
	}
	store_source.retry_us = 0;
	if (a->more && !store_source.large) {
		store_source.large = true;
		/* A VM that has a configuration goes on, so that it misses no change of it. */
		if (store_source.f->conf->version == 0) {
			await_key();
			return;
		}
	}
	if (first)
		store_source.list_revision = a->revision;
	/* Pages of stale reads may be of any age: the list is as old as the oldest. */
	if (era_of(a->revision) == era_of(store_source.list_revision))
		store_source.list_revision = MIN(store_source.list_revision, a->revision);
	if (era_of(a->revision) != era_of(store_source.list_revision)) {
		list_begin();
		return;
	}
	for (i = 0; i < a->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(a->items, i);

		g_hash_table_add(store_source.listed_keys, g_strdup(item->key));
		source_apply_item(item);
	}
	if (first && store_source.scope == LIST_CONF && store_source.document.entries == NULL) {
		conf_missing();
		return;
	}
	if (a->more && a->items->len > 0) {
		const struct store_item *last = g_ptr_array_index(a->items, a->items->len - 1);

		g_free(store_source.last_listed_key);
		store_source.last_listed_key = g_strdup(last->key);
		list_next();
		return;
	}
	if (store_source.list_prefix == 0 && scope_prefixes[store_source.scope][1] != NULL) {
		store_source.list_prefix++;
		g_clear_pointer(&store_source.last_listed_key, g_free);
		list_next();
		return;
	}
	list_complete();
}

static void list_next(void)
{
	bool retry = !store_source.initial_list_done && store_source.n_lists > 0;
	bool stale = store_source.scope != LIST_ALL || retry;
	const char *after = store_source.last_listed_key;

	if (after == NULL)
		after = store_source.scope == LIST_CONF ? CONF_AFTER : "";

	if (!store_source.initial_list_done && store_source.n_lists >= INITIAL_LIST_RETRIES)
		stale = false;

	/*
	 * Lists all keys, which takes one call instead of one for each of three prefixes. The first
	 * list may not be stale: a VM that starts with an old configuration must fetch the full new
	 * one, since peers whose first configuration is the new one cannot compute the difference.
	 */
	store_source.store->ops->list(store_source.store,
				      scope_prefixes[store_source.scope][store_source.list_prefix],
				      after, stale, on_list_page, NULL);
}

static void list_reset(void)
{
	store_source.list_is_complete = false;
	store_source.scope = next_scope();
	store_source.list_prefix = 0;
	g_hash_table_remove_all(store_source.listed_keys);
	g_clear_pointer(&store_source.last_listed_key, g_free);
}

static void list_begin(void)
{
	event_del(store_source.retry);
	list_reset();
	list_next();
}

/* The watch */

/** Whether the item is of a backend server that registers for the first time. */
static bool is_new_server(const struct store_item *item)
{
	return item->value != NULL &&
	       g_str_has_prefix(item->key, store_source.records->servers_prefix) &&
	       !g_hash_table_contains(store_source.known, item->key);
}

/**
 * Whether a watch returned only changes that may wait: keys that the daemons write, such as VMs'
 * and groups' keys, and, in a large store, new servers. While servers of a large fleet register,
 * each watch would return one or two, and each would be a version of the configuration that all VMs
 * fetch.
 */
static bool changes_may_wait(const struct store_answer *a)
{
	guint i;

	for (i = 0; i < a->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(a->items, i);

		if (!g_str_has_prefix(item->key, FLEET_STORE_PREFIX) &&
		    !(store_source.large && is_new_server(item)))
			return false;
	}
	return a->items->len > 0;
}

/**
 * Returns the delay before the next watch. VMs that start together register one after the other;
 * without a delay, each watcher would need one call per VM.
 */
static int64_t watch_next_delay_us(void)
{
	if (now_us() - store_source.checked_us > OWN_CHANGE_RESET_US)
		store_source.watch_delay_us = 0;
	store_source.watch_delay_us = CLAMP(store_source.watch_delay_us * 2, OWN_CHANGE_DELAY_US,
					    OWN_CHANGE_DELAY_MAX_US);
	return store_source.watch_delay_us;
}

static void on_watch_answer(const struct store_answer *a, void *arg)
{
	bool may_wait = a->status == STORE_DONE && changes_may_wait(a);
	guint i;

	store_source.watch = NULL;
	if (a->status == STORE_COMPACTED) {
		log_info("watch-compacted", LOG_REVISION("after", store_source.synced_revision));
		list_begin();
		return;
	}
	source_set_reachable("watch", a->status == STORE_DONE);
	if (a->status != STORE_DONE) {
		/*
		 * A failed watch may have missed changes. A new watch from the same revision may
		 * report only at the end of its wait that the history was compacted, and a
		 * withdrawn API key would work for seconds more. A list needs no history.
		 */
		list_reset();
		retry_later();
		return;
	}
	store_source.retry_us = 0;
	for (i = 0; i < a->items->len; i++)
		source_apply_item(g_ptr_array_index(a->items, i));
	if (a->revision > store_source.synced_revision)
		store_source.synced_revision = a->revision;
	source_publish();
	if (may_wait)
		kernel_arm(store_source.retry, watch_next_delay_us());
	else
		watch_start();
}

static void watch_start(void)
{
	if (store_source.watch != NULL || !fleet_is_watcher(store_source.f))
		return;
	if (!fleet_store_is_current(store_source.synced_revision) || store_source.partial) {
		list_begin();
		return;
	}
	store_source.checked_us = now_us();
	store_source.watch =
		store_source.store->ops->watch(store_source.store, "", store_source.synced_revision,
					       WATCH_WAIT_US, on_watch_answer, NULL);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	if (!store_source.list_is_complete)
		list_next();
	else
		watch_start();
}

/* Timer and source operations */

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = now_us();

	source_lease_tick(now);
	source_drop_lapsed(now);
	if (store_source.awaits_key)
		key_tick(now);
	if (store_source.keeps_lost_keys && era_settled(&store_source.era, 0, LEASE_TTL_US, now))
		source_rewrite_key(now, relist);
	if (!store_source.list_is_complete || store_source.watch != NULL ||
	    event_pending(store_source.retry, EV_TIMEOUT, NULL))
		return;
	if (fleet_is_watcher(store_source.f))
		watch_start();
	else if (now - store_source.checked_us > RELIST_INTERVAL_US ||
		 (store_source.partial && next_scope() != LIST_VMS)) {
		store_source.checked_us = now;
		list_begin();
	}
}

static void store_resync(struct fleet *f)
{
	store_source.resync = true;
	if (store_source.list_is_complete && store_source.watch == NULL)
		list_begin();
}

static void store_start(struct fleet *f)
{
	struct kernel *k = f->service.kernel;

	store_source.f = f;
	store_source.records = k->adapter->records;
	store_source.store = k->adapter->store->create(k, k->settings->platform[0],
						       (int64_t)k->settings->platform_timeout_ms *
							       USEC_PER_MSEC);
	store_source.store->on_era = on_store_era;
	store_source.known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_source.servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_source.evacuated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store_source.listed_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store_source.retry = event_new(k->base, -1, 0, on_retry, NULL);
	store_source.tick = kernel_every(k, TICK_US, on_tick, NULL);
	store_source.reachable = true;
	store_source.checked_us = now_us();
	source_lease_tick(now_us());
	list_begin();
}

static void store_stop(struct fleet *f)
{
	if (store_source.store == NULL)
		return;
	event_free(store_source.tick);
	event_free(store_source.retry);
	records_document_clear(&store_source.document);
	g_hash_table_destroy(store_source.known);
	g_hash_table_destroy(store_source.servers);
	g_hash_table_destroy(store_source.evacuated);
	g_hash_table_destroy(store_source.listed_keys);
	g_clear_pointer(&store_source.pending, g_ptr_array_unref);
	g_free(store_source.last_listed_key);
	store_source.store->ops->free(store_source.store);
	store_source.store = NULL;
}

static bool store_listed(struct fleet *f)
{
	return now_us() < fleet_store_lease_until_us(f);
}

static void store_json(struct fleet *f, JsonBuilder *b)
{
	json_builder_set_member_name(b, "store_era");
	json_builder_add_int_value(b, (gint64)store_source.era.now);
	json_builder_set_member_name(b, "store_settled");
	json_builder_add_boolean_value(b, fleet_store_settled(f));
}

const struct fleet_source_ops fleet_store_ops = {
	.listed = store_listed,
	.start = store_start,
	.stop = store_stop,
	.resync = store_resync,
	.json = store_json,
};
