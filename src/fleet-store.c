/**
 * @file fleet-store.c
 * Configuration and list of VMs from a store with leases. Each VM lists itself under a lease; the
 * operators' document and the backend servers' entries are put together to routes, pools, teams and
 * keys. Versions are the store's revisions, so that all VMs number the same state alike.
 */
#include "fleet-store-source.h"

#include "log.h"

#include <stdlib.h>
#include <string.h>

/** One wait of a watch; a connection that went silent is found after it. */
#define WATCH_WAIT_US (4500 * USEC_PER_MSEC)
/** Pause before a failed read or watch is tried again, doubled up to the last. */
#define RETRY_MIN_US (50 * USEC_PER_MSEC)
#define RETRY_MAX_US (300 * USEC_PER_MSEC)
/**
 * Pause of a watch after news of our own keys, to be told of several at once: the first, doubled up
 * to the last while they keep coming. A change of the configuration waits so much longer at most.
 */
#define OWN_NEWS_PAUSE_US (150 * USEC_PER_MSEC)
#define OWN_NEWS_PAUSE_MAX_US (600 * USEC_PER_MSEC)
/** A watch that waited for so long heard of something new, not of the same stir. */
#define OWN_NEWS_CALM_US (1 * USEC_PER_SEC)
/** A VM that is not a watcher compares its versions with the store this often; heartbeats tell it
 * too. */
#define OTHER_CHECK_US (60 * USEC_PER_SEC)
#define TICK_US (100 * USEC_PER_MSEC)
/** Pause before all keys are read again, since what a process needs to begin was not among them. */
#define LIST_AGAIN_PAUSE_US (300 * USEC_PER_MSEC)
/** Lists that are read again for that. They may be stale, but for the last one. */
#define LISTS_AGAIN 5

struct store_source store_source;

static void list_next(void);
static void list_reset(void);
static void list_begin(void);
static void watch_start(void);

struct store *fleet_store(struct fleet *f)
{
	return store_source.store;
}

void fleet_store_listen(struct fleet *f, const char *prefix, fleet_store_news cb, void *owner)
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

/* The store comes and goes */

void source_heard(const char *call, bool ok)
{
	if (ok == store_source.reachable)
		return;
	store_source.reachable = ok;
	/* A VM that started while the store was away serves nobody before it has a lease. */
	if (ok && !store_source.registered)
		store_source.lease_next_us = 0;
	if (ok)
		log_info("store-regained", LOG_STR("call", call));
	else
		log_warn("store-lost", LOG_STR("call", call),
			 LOG_NUM("lease_left_ms",
				 (store_source.lease_until_us - now_us()) / USEC_PER_MSEC));
}

/** Read all keys, in place of a watch that is under way. */
static void list_anew(void)
{
	if (store_source.watch != NULL)
		store_source.store->ops->cancel(store_source.watch);
	store_source.watch = NULL;
	if (store_source.listed_all)
		list_begin();
}

/**
 * The store has come back from an older copy: what it holds now is read anew, by those that watch
 * it. The others hear from them.
 */
static void era_begins(void)
{
	store_source.lease_next_us = 0;
	if (fleet_is_watcher(store_source.f))
		list_anew();
}

static void on_store_era(uint64_t era, void *arg)
{
	uint64_t before = store_source.era.now;

	if (!era_observe(&store_source.era, era, now_us()))
		return;
	log_warn("store-era", LOG_NUM("era", era), LOG_NUM("before", before),
		 LOG_NUM("as_of", era_number(store_source.as_of)));
	era_begins();
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

/**
 * Whether a key that the store has lost counts for a lease's length more: VMs, and parts that they
 * hold, may go on for so long, and the operators write their evacuations again.
 */
static bool is_kept(const char *key)
{
	return g_str_has_prefix(key, FLEET_STORE_VMS) || g_str_has_prefix(key, FLEET_STORE_PARTS) ||
	       source_is_evacuation(key);
}

/** Keys of a list that were known and are not told any more are gone. */
static void drop_unlisted(uint64_t revision)
{
	bool settled = era_settled(&store_source.era, 0, LEASE_TTL_US, now_us());
	GList *keys = g_hash_table_get_keys(store_source.known);
	GList *l;

	store_source.keeps = false;

	for (l = keys; l != NULL; l = l->next) {
		struct store_item gone = {.revision = revision};

		if (g_hash_table_contains(store_source.listed, l->data))
			continue;
		if (!settled && is_kept(l->data)) {
			store_source.keeps = true;
			g_hash_table_add(store_source.listed, g_strdup(l->data));
			continue;
		}
		gone.key = g_strdup(l->data);
		source_take(&gone);
		g_hash_table_remove(store_source.known, gone.key);
		g_free(gone.key);
	}
	g_list_free(keys);
}

/**
 * A list from before this VM's own entry lacks those of the others that start with it: each of them
 * would take itself for a watcher, and claim parts. Without a configuration all of them would fetch
 * it from a few.
 */
static bool lacks_a_beginning(void)
{
	const struct fleet *f = store_source.f;

	return !f->self_listed || f->conf->version == 0;
}

static void list_whole(void)
{
	log_info("listed", LOG_REVISION("revision", store_source.list_revision),
		 LOG_NUM("known", era_number(store_source.as_of)),
		 LOG_NUM("keys", g_hash_table_size(store_source.listed)));
	drop_unlisted(store_source.list_revision);
	fleet_list_whole(store_source.f, store_source.listed, store_source.list_revision);
	g_hash_table_remove_all(store_source.listed);
	g_clear_pointer(&store_source.after, g_free);
	store_source.listed_all = true;
	/*
	 * The pages are not of one moment. What changed between the first and the last is told
	 * again by the watch, which goes on from the first.
	 */
	store_source.as_of = store_source.list_revision;
	store_source.vms_changed = true;
	store_source.conf_changed = true;
	store_source.n_lists++;
	source_publish();
	if (!store_source.begun && store_source.f->oldest_era < store_source.era.now)
		era_unsettle(&store_source.era, now_us());
	source_notify_pending();
	if (!store_source.begun && lacks_a_beginning() && store_source.n_lists <= LISTS_AGAIN) {
		list_reset();
		kernel_arm(store_source.retry, LIST_AGAIN_PAUSE_US);
		return;
	}
	store_source.begun = true;
	watch_start();
}

static void listed(const struct store_answer *a, void *arg)
{
	guint i;

	source_heard("list", a->status == STORE_DONE);
	if (a->status != STORE_DONE) {
		fleet_ask_seed(store_source.f);
		retry_later();
		return;
	}
	store_source.retry_us = 0;
	if (store_source.after == NULL)
		store_source.list_revision = a->revision;
	if (era_of(a->revision) != era_of(store_source.list_revision)) {
		list_begin();
		return;
	}
	for (i = 0; i < a->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(a->items, i);

		g_hash_table_add(store_source.listed, g_strdup(item->key));
		source_take(item);
	}
	if (a->more && a->items->len > 0) {
		const struct store_item *last = g_ptr_array_index(a->items, a->items->len - 1);

		g_free(store_source.after);
		store_source.after = g_strdup(last->key);
		list_next();
		return;
	}
	list_whole();
}

static void list_next(void)
{
	bool again = !store_source.begun && store_source.n_lists > 0;

	/*
	 * All keys at once: one call where three prefixes were three. The first one may not be
	 * stale: VMs that begin with an old configuration, beside others with the new one and
	 * without its history, fetch all of it from each other.
	 */
	store_source.store->ops->list(store_source.store, "",
				      store_source.after != NULL ? store_source.after : "",
				      again && store_source.n_lists < LISTS_AGAIN, listed, NULL);
}

static void list_reset(void)
{
	store_source.listed_all = false;
	g_hash_table_remove_all(store_source.listed);
	g_clear_pointer(&store_source.after, g_free);
}

static void list_begin(void)
{
	event_del(store_source.retry);
	list_reset();
	list_next();
}

/* The watch */

/** Whether a watch told of keys of ours alone: VMs that come and go, and groups' records. */
static bool only_own_news(const struct store_answer *a)
{
	guint i;

	for (i = 0; i < a->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(a->items, i);

		if (!g_str_has_prefix(item->key, FLEET_STORE_PREFIX))
			return false;
	}
	return a->items->len > 0;
}

/**
 * VMs that start together list themselves one after the other, and each watcher would be told of
 * each in a call of its own.
 */
static int64_t own_news_pause_us(void)
{
	if (now_us() - store_source.checked_us > OWN_NEWS_CALM_US)
		store_source.own_news_us = 0;
	store_source.own_news_us =
		CLAMP(store_source.own_news_us * 2, OWN_NEWS_PAUSE_US, OWN_NEWS_PAUSE_MAX_US);
	return store_source.own_news_us;
}

static void watched(const struct store_answer *a, void *arg)
{
	guint i;

	store_source.watch = NULL;
	if (a->status == STORE_COMPACTED) {
		log_info("watch-compacted", LOG_REVISION("after", store_source.as_of));
		list_begin();
		return;
	}
	source_heard("watch", a->status == STORE_DONE);
	if (a->status != STORE_DONE) {
		/*
		 * A watch that breaks may have missed changes, and the one that goes on from there
		 * may wait to its end before it tells that the history is gone: a key that was
		 * taken away would work for seconds more. Reading what there is now needs no
		 * history.
		 */
		list_reset();
		retry_later();
		return;
	}
	store_source.retry_us = 0;
	for (i = 0; i < a->items->len; i++)
		source_take(g_ptr_array_index(a->items, i));
	if (a->revision > store_source.as_of)
		store_source.as_of = a->revision;
	source_publish();
	if (only_own_news(a))
		kernel_arm(store_source.retry, own_news_pause_us());
	else
		watch_start();
}

static void watch_start(void)
{
	if (store_source.watch != NULL || !fleet_is_watcher(store_source.f))
		return;
	if (!fleet_store_is_current(store_source.as_of)) {
		list_begin();
		return;
	}
	store_source.checked_us = now_us();
	store_source.watch = store_source.store->ops->watch(
		store_source.store, "", store_source.as_of, WATCH_WAIT_US, watched, NULL);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	if (!store_source.listed_all)
		list_next();
	else
		watch_start();
}

/* Time */

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = now_us();

	source_lease_tick(now);
	source_drop_lapsed(now);
	if (store_source.keeps && era_settled(&store_source.era, 0, LEASE_TTL_US, now))
		source_rewrite_key(now, list_anew);
	if (!store_source.listed_all || store_source.watch != NULL ||
	    event_pending(store_source.retry, EV_TIMEOUT, NULL))
		return;
	if (fleet_is_watcher(store_source.f))
		watch_start();
	else if (now - store_source.checked_us > OTHER_CHECK_US) {
		store_source.checked_us = now;
		list_begin();
	}
}

static void store_behind(struct fleet *f)
{
	if (store_source.listed_all && store_source.watch == NULL)
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
	store_source.store->era = on_store_era;
	store_source.known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_source.servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_source.evacuated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store_source.listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
	g_hash_table_destroy(store_source.listed);
	g_clear_pointer(&store_source.pending, g_ptr_array_unref);
	g_free(store_source.after);
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
	.behind = store_behind,
	.json = store_json,
};
