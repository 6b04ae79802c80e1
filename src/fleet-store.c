/**
 * @file fleet-store.c
 * Configuration and list of VMs from a store with leases. Each VM lists itself under a lease; the
 * operators' document and the backend servers' entries are put together to routes, pools, teams and
 * keys. Versions are the store's revisions, so that all VMs number the same state alike.
 */
#include "fleet-store.h"

#include "adapter.h"
#include "log.h"
#include "table.h"

#include <stdlib.h>
#include <string.h>

/**
 * Length of a VM's lease. It must outlast a store that is away: nine seconds are the longest outage
 * that the users' platform is told to have. A shorter one would let others take over the groups of
 * VMs that work on without the store.
 */
#define LEASE_TTL_US (12 * USEC_PER_SEC)
/** Renewals: at least nine and a half seconds of the lease are left when the store goes away. */
#define LEASE_RENEW_US (2500 * USEC_PER_MSEC)
/** After a renewal that failed. */
#define LEASE_RETRY_US (500 * USEC_PER_MSEC)
/**
 * One wait of a watch. A connection that went silent is found after that and the adapter's grace: 5
 * s, within the 7 s in which a change must be in force after such a break.
 */
#define WATCH_WAIT_US (4500 * USEC_PER_MSEC)
/** Pause before a failed read or watch is tried again, doubled up to the last. */
#define RETRY_MIN_US (50 * USEC_PER_MSEC)
#define RETRY_MAX_US (300 * USEC_PER_MSEC)
/**
 * A backend server's entry that vanished is kept for this long. Entries that lapse while the store
 * is away are written again within two seconds of its return; dropping them at once would replace
 * primaries that serve.
 */
#define LAPSED_KEEP_US (2300 * USEC_PER_MSEC)
/**
 * Pause of a watch after news of our own keys, to be told of several at once. A change of the
 * configuration waits so much longer at most.
 */
#define OWN_NEWS_PAUSE_US (150 * USEC_PER_MSEC)
/** A VM that is not a watcher compares its versions with the store this often; heartbeats tell it
 * too. */
#define OTHER_CHECK_US (60 * USEC_PER_SEC)
#define TICK_US (100 * USEC_PER_MSEC)
/** Versions within one revision of the store, for changes that time alone brings. */
#define VERSION_STEPS 8

#define LISTENERS_MAX 4

struct server {
	struct records_server record;
	bool lapsed;
	int64_t lapsed_us;
	uint64_t revision;
};

struct store_source {
	struct fleet *f;
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

	bool listed_all;	/**< everything was read; the watch goes on from there */
	char *after;		/**< last key of the list's page before */
	GHashTable *listed;	/**< keys that this list has told */
	uint64_t list_revision; /**< of the list's first page */
	struct store_call *watch;
	uint64_t as_of; /**< revision up to which all changes are known */
	bool reachable;
	int64_t heard_us;
	int64_t checked_us;

	GHashTable *known;   /**< key to revision (uint64_t *), of all that was told */
	GHashTable *servers; /**< id to struct server */
	struct records_document document;
	uint64_t document_revision;
	GHashTable *vms; /**< key to value */
	uint64_t vms_published;
	bool conf_changed;
	bool vms_changed;
	struct {
		const char *prefix;
		fleet_store_news cb;
		void *owner;
	} listeners[LISTENERS_MAX];
	unsigned n_listeners;
};

static struct store_source source;

static const struct records_ops *records;

static void list_next(void);
static void watch_start(void);

struct store *fleet_store(struct fleet *f)
{
	return source.store;
}

int64_t fleet_store_lease_until_us(struct fleet *f)
{
	return source.registered ? source.lease_until_us : 0;
}

uint64_t fleet_store_lease(struct fleet *f)
{
	return source.registered ? source.lease : 0;
}

void fleet_store_listen(struct fleet *f, const char *prefix, fleet_store_news cb, void *owner)
{
	unsigned i = 0;

	while (i < source.n_listeners && strcmp(source.listeners[i].prefix, prefix) != 0)
		i++;
	g_assert(i < LISTENERS_MAX);
	source.listeners[i].prefix = prefix;
	source.listeners[i].cb = cb;
	source.listeners[i].owner = owner;
	source.n_listeners = MAX(source.n_listeners, i + 1);
}

void records_document_clear(struct records_document *d)
{
	if (d->entries != NULL)
		g_ptr_array_unref(d->entries);
	if (d->pools != NULL)
		g_array_unref(d->pools);
	memset(d, 0, sizeof(*d));
}

/* The store comes and goes */

static void heard(const char *call, bool ok)
{
	if (ok)
		source.heard_us = now_us();
	if (ok == source.reachable)
		return;
	source.reachable = ok;
	/* A VM that started while the store was away serves nobody before it has a lease. */
	if (ok && !source.registered)
		source.lease_next_us = 0;
	if (ok)
		log_info("store-regained", LOG_STR("call", call));
	else
		log_warn("store-lost", LOG_STR("call", call),
			 LOG_NUM("lease_left_ms",
				 (source.lease_until_us - now_us()) / USEC_PER_MSEC));
}

static void retry_later(void)
{
	source.retry_us = CLAMP(source.retry_us * 2, RETRY_MIN_US, RETRY_MAX_US);
	kernel_arm(source.retry, source.retry_us);
}

/* Pools out of the document and the servers */

static void add_member(struct conf_pool *pool, const struct server *s, unsigned connections)
{
	struct conf_member *m;

	if (pool->n == GROUP_MEMBERS_MAX) {
		log_warn("member-left-out", LOG_STR("pool", pool->name),
			 LOG_STR("member", s->record.member.name));
		return;
	}
	m = &pool->member[pool->n++];
	*m = s->record.member;
	m->connections = connections;
}

/** In order of names, so that all VMs write the same text. */
static gint by_name(gconstpointer a, gconstpointer b)
{
	const struct server *const *x = a;
	const struct server *const *y = b;

	return strcmp((*x)->record.member.name, (*y)->record.member.name);
}

static GPtrArray *servers_sorted(void)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, source.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(all, value);
	g_ptr_array_sort(all, by_name);
	return all;
}

static void add_pools(GPtrArray *entries)
{
	GPtrArray *servers = servers_sorted();
	guint i, j;

	for (i = 0; i < source.document.pools->len; i++) {
		const struct records_pool *r =
			&g_array_index(source.document.pools, struct records_pool, i);
		struct conf_pool pool = {.sync = r->sync, .confirm = CONFIRM_PRIMARY};

		g_strlcpy(pool.name, r->name, sizeof(pool.name));
		for (j = 0; j < servers->len; j++) {
			const struct server *s = g_ptr_array_index(servers, j);

			if (strcmp(s->record.pool, r->name) == 0)
				add_member(&pool, s, r->connections);
		}
		g_ptr_array_add(entries, table_entry_make(CONF_POOL, &pool));
	}
	g_ptr_array_unref(servers);
}

/** The entries that differ from what is in force, each with the new version. */
static void differences(const struct conf *conf, GPtrArray *now, struct conf_update *u)
{
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer key;
	guint i;

	for (i = 0; i < now->len; i++) {
		struct conf_entry *e = g_ptr_array_index(now, i);
		const struct conf_entry *old = g_hash_table_lookup(conf->entries, e->id);

		g_hash_table_add(named, e->id);
		if (old != NULL && strcmp(old->text, e->text) == 0)
			continue;
		e->version = u->version;
		g_ptr_array_add(u->entries, conf_entry_add_ref(e));
	}
	g_hash_table_iter_init(&iter, conf->entries);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct conf_entry *gone;

		if (g_hash_table_contains(named, key))
			continue;
		gone = table_entry_parse(key, u->version, NULL, NULL);
		gone->removed = true;
		g_ptr_array_add(u->entries, gone);
	}
	g_hash_table_destroy(named);
}

/** The version for what is known now: above the one in force, if that is of the same revision. */
static uint64_t next_version(const struct conf *conf)
{
	uint64_t version = source.as_of * VERSION_STEPS;

	if (conf->version >= version && conf->version + 1 < version + VERSION_STEPS)
		version = conf->version + 1;
	return version;
}

static void publish_conf(void)
{
	struct fleet *f = source.f;
	struct conf_update u = {.base = f->conf->version, .version = next_version(f->conf)};
	GPtrArray *now;
	guint i;

	source.conf_changed = false;
	/* A peer has told a newer state already; what the store tells next will show it here too.
	 */
	if (u.version <= f->conf->version || source.document.entries == NULL)
		return;
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	now = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < source.document.entries->len; i++)
		g_ptr_array_add(now,
				conf_entry_add_ref(g_ptr_array_index(source.document.entries, i)));
	add_pools(now);
	u.full = f->conf->version == 0;
	differences(f->conf, now, &u);
	if (u.entries->len > 0)
		fleet_take_conf(f, &u, "store");
	g_ptr_array_unref(now);
	conf_update_clear(&u);
}

/* The list of VMs */

bool fleet_store_vm_parse(const char *value, char name[NAME_SIZE], uint64_t *incarnation)
{
	JsonParser *parser = json_parser_new();
	bool ok = json_parser_load_from_data(parser, value, -1, NULL) &&
		  json_parser_get_root(parser) != NULL &&
		  JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser));

	if (ok) {
		JsonObject *o = json_node_get_object(json_parser_get_root(parser));

		g_strlcpy(name, json_object_get_string_member_with_default(o, "name", ""),
			  NAME_SIZE);
		*incarnation =
			strtoull(json_object_get_string_member_with_default(o, "incarnation", "0"),
				 NULL, 16);
		ok = name[0] != '\0' && *incarnation != 0;
	}
	g_object_unref(parser);
	return ok;
}

static void publish_vms(void)
{
	GString *text = g_string_new("[");
	GList *keys = g_list_sort(g_hash_table_get_keys(source.vms), (GCompareFunc)strcmp);
	GList *l;

	source.vms_changed = false;
	for (l = keys; l != NULL; l = l->next)
		g_string_append_printf(text, "%s%s", text->len > 1 ? "," : "",
				       (const char *)g_hash_table_lookup(source.vms, l->data));
	g_string_append_c(text, ']');
	if (source.as_of > source.vms_published) {
		source.vms_published = source.as_of;
		fleet_take_vms(source.f, source.as_of, text->str);
	}
	g_list_free(keys);
	g_string_free(text, TRUE);
}

/* Items */

static void take_document(const struct store_item *item)
{
	struct records_document d;

	if (item->value == NULL || item->revision <= source.document_revision)
		return;
	if (!records->document(item->value, &d)) {
		log_error("document-malformed", LOG_NUM("revision", item->revision));
		records_document_clear(&d);
		return;
	}
	log_info("document", LOG_NUM("version", d.version), LOG_NUM("revision", item->revision),
		 LOG_NUM("entries", d.entries->len), LOG_NUM("pools", d.pools->len));
	records_document_clear(&source.document);
	source.document = d;
	source.document_revision = item->revision;
	source.conf_changed = true;
}

static void server_lapsed(const char *id)
{
	struct server *s = g_hash_table_lookup(source.servers, id);

	if (s == NULL || s->lapsed)
		return;
	s->lapsed = true;
	s->lapsed_us = now_us();
	log_info("member-lapsed", LOG_STR("pool", s->record.pool), LOG_STR("member", id));
}

static void take_server(const struct store_item *item)
{
	const char *id = item->key + strlen(records->servers_prefix);
	struct records_server r;
	struct server *s;

	if (item->value == NULL) {
		server_lapsed(id);
		return;
	}
	if (!records->server(id, item->value, &r)) {
		log_warn("server-malformed", LOG_STR("member", id),
			 LOG_NUM("revision", item->revision));
		return;
	}
	s = g_hash_table_lookup(source.servers, id);
	if (s == NULL) {
		s = g_new0(struct server, 1);
		g_hash_table_insert(source.servers, g_strdup(id), s);
	} else if (s->record.member.leaving != r.member.leaving) {
		log_info("member-state", LOG_STR("pool", r.pool), LOG_STR("member", id),
			 LOG_NUM("leaving", r.member.leaving), LOG_NUM("revision", item->revision));
	}
	s->record = r;
	s->lapsed = false;
	s->revision = item->revision;
	source.conf_changed = true;
}

static void take_vm(const struct store_item *item)
{
	char name[NAME_SIZE];
	uint64_t incarnation;

	if (item->value == NULL) {
		g_hash_table_remove(source.vms, item->key);
	} else if (fleet_store_vm_parse(item->value, name, &incarnation)) {
		g_hash_table_replace(source.vms, g_strdup(item->key), g_strdup(item->value));
	} else {
		log_warn("vm-malformed", LOG_STR("key", item->key));
		return;
	}
	source.vms_changed = true;
}

static void take_item(const struct store_item *item)
{
	uint64_t *known = g_hash_table_lookup(source.known, item->key);
	unsigned i;

	/* What is told twice, or late, changes nothing. */
	if (known != NULL && *known >= item->revision)
		return;
	g_hash_table_replace(source.known, g_strdup(item->key),
			     g_memdup2(&item->revision, sizeof(item->revision)));
	if (strcmp(item->key, records->document_key) == 0)
		take_document(item);
	else if (g_str_has_prefix(item->key, records->servers_prefix))
		take_server(item);
	else if (g_str_has_prefix(item->key, FLEET_STORE_VMS))
		take_vm(item);
	for (i = 0; i < source.n_listeners; i++) {
		if (g_str_has_prefix(item->key, source.listeners[i].prefix))
			source.listeners[i].cb(item, source.listeners[i].owner);
	}
}

static void publish(void)
{
	if (!source.listed_all)
		return;
	source.f->news_us = now_us();
	if (source.vms_changed)
		publish_vms();
	if (source.conf_changed)
		publish_conf();
}

/* Lists */

/** Keys of a list that were known and are not told any more are gone. */
static void drop_unlisted(uint64_t revision)
{
	GList *keys = g_hash_table_get_keys(source.known);
	GList *l;

	for (l = keys; l != NULL; l = l->next) {
		struct store_item gone = {.revision = revision};

		if (g_hash_table_contains(source.listed, l->data))
			continue;
		gone.key = g_strdup(l->data);
		take_item(&gone);
		g_hash_table_remove(source.known, gone.key);
		g_free(gone.key);
	}
	g_list_free(keys);
}

static void list_whole(void)
{
	drop_unlisted(source.list_revision);
	g_hash_table_remove_all(source.listed);
	g_clear_pointer(&source.after, g_free);
	source.listed_all = true;
	/*
	 * The pages are not of one moment. What changed between the first and the last is told
	 * again by the watch, which goes on from the first.
	 */
	source.as_of = source.list_revision;
	source.vms_changed = true;
	source.conf_changed = true;
	publish();
	watch_start();
}

static void listed(const struct store_answer *a, void *arg)
{
	guint i;

	heard("list", a->status == STORE_DONE);
	if (a->status != STORE_DONE) {
		fleet_ask_seed(source.f);
		retry_later();
		return;
	}
	source.retry_us = 0;
	if (source.after == NULL)
		source.list_revision = a->revision;
	for (i = 0; i < a->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(a->items, i);

		g_hash_table_add(source.listed, g_strdup(item->key));
		take_item(item);
	}
	if (a->more && a->items->len > 0) {
		const struct store_item *last = g_ptr_array_index(a->items, a->items->len - 1);

		g_free(source.after);
		source.after = g_strdup(last->key);
		list_next();
		return;
	}
	list_whole();
}

static void list_next(void)
{
	/* All keys at once: one call where three prefixes were three. */
	source.store->ops->list(source.store, "", source.after != NULL ? source.after : "", listed,
				NULL);
}

static void list_reset(void)
{
	source.listed_all = false;
	g_hash_table_remove_all(source.listed);
	g_clear_pointer(&source.after, g_free);
}

static void list_begin(void)
{
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

static void watched(const struct store_answer *a, void *arg)
{
	guint i;

	source.watch = NULL;
	if (a->status == STORE_COMPACTED) {
		log_info("watch-compacted", LOG_NUM("after", source.as_of));
		list_begin();
		return;
	}
	heard("watch", a->status == STORE_DONE);
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
	source.retry_us = 0;
	for (i = 0; i < a->items->len; i++)
		take_item(g_ptr_array_index(a->items, i));
	if (a->revision > source.as_of)
		source.as_of = a->revision;
	publish();
	/*
	 * VMs that start together list themselves one after the other, and each watcher would be
	 * told of each in a call of its own.
	 */
	if (only_own_news(a))
		kernel_arm(source.retry, OWN_NEWS_PAUSE_US);
	else
		watch_start();
}

static void watch_start(void)
{
	if (source.watch != NULL || !fleet_is_watcher(source.f))
		return;
	source.checked_us = now_us();
	source.watch = source.store->ops->watch(source.store, "", source.as_of, WATCH_WAIT_US,
						watched, NULL);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	if (!source.listed_all)
		list_next();
	else
		watch_start();
}

/* The lease */

static void registered(const struct store_answer *a, void *arg)
{
	source.lease_asked = false;
	if (a->status == STORE_NO_LEASE) {
		source.lease = 0;
		return;
	}
	/* Writing the same key again is harmless, so a lost answer is just tried again. */
	if (a->status != STORE_DONE) {
		heard("register", false);
		source.lease_next_us = now_us() + LEASE_RETRY_US;
		return;
	}
	heard("register", true);
	source.registered = true;
	source.lease_next_us = source.lease_sent_us + LEASE_RENEW_US;
	log_info("lease-held", LOG_NUM("lease", source.lease),
		 LOG_NUM("until_ms", (source.lease_until_us - now_us()) / USEC_PER_MSEC));
}

static void register_vm(void)
{
	struct kernel *k = source.f->service.kernel;
	const struct settings *set = k->settings;
	char *key = g_strconcat(FLEET_STORE_VMS, set->name, NULL);
	char *value = g_strdup_printf("{\"name\":\"%s\",\"address\":\"%s\",\"data_center\":\"%s\","
				      "\"incarnation\":\"%lx\"}",
				      set->name, set->advertise, set->data_center, k->incarnation);
	struct store_write w = {.key = key, .value = value, .lease = source.lease};

	source.lease_asked = true;
	source.store->ops->commit(source.store, NULL, 0, &w, 1, registered, NULL);
	g_free(value);
	g_free(key);
}

static void lease_lost(const char *why)
{
	if (source.registered)
		log_warn("lease-lost", LOG_NUM("lease", source.lease), LOG_STR("why", why));
	source.lease = 0;
	source.registered = false;
	source.lease_next_us = 0;
}

static void lease_answered(const struct store_answer *a, void *arg)
{
	source.lease_asked = false;
	if (a->status == STORE_NO_LEASE) {
		lease_lost("ended");
		return;
	}
	heard("lease", a->status == STORE_DONE);
	if (a->status != STORE_DONE) {
		source.lease_next_us = now_us() + LEASE_RETRY_US;
		return;
	}
	if (a->lease != 0)
		source.lease = a->lease;
	source.lease_until_us =
		source.lease_sent_us + (a->ttl_us > 0 ? MIN(a->ttl_us, LEASE_TTL_US) : 0);
	source.lease_next_us = source.lease_sent_us + LEASE_RENEW_US;
	if (!source.registered)
		register_vm();
}

static void lease_tick(int64_t now)
{
	if (source.lease_asked || source.releasing || now < source.lease_next_us)
		return;
	if (source.lease != 0 && !source.registered) {
		register_vm();
		return;
	}
	source.lease_asked = true;
	source.lease_sent_us = now;
	if (source.lease == 0)
		source.store->ops->lease_grant(source.store, LEASE_TTL_US, lease_answered, NULL);
	else
		source.store->ops->lease_renew(source.store, source.lease, lease_answered, NULL);
}

static void released(const struct store_answer *a, void *arg)
{
	source.released = true;
}

bool fleet_store_release(struct fleet *f)
{
	if (source.releasing || source.lease == 0)
		return source.released || source.lease == 0;
	source.releasing = true;
	source.registered = false;
	log_info("lease-given-up", LOG_NUM("lease", source.lease));
	source.store->ops->lease_end(source.store, source.lease, released, NULL);
	return false;
}

/* Time */

static void drop_lapsed(int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool dropped = false;

	g_hash_table_iter_init(&iter, source.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct server *s = value;

		if (!s->lapsed || now - s->lapsed_us < LAPSED_KEEP_US || !source.reachable)
			continue;
		log_info("member-gone", LOG_STR("pool", s->record.pool),
			 LOG_STR("member", s->record.member.name));
		g_hash_table_iter_remove(&iter);
		dropped = true;
	}
	if (dropped)
		publish_conf();
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = now_us();

	lease_tick(now);
	drop_lapsed(now);
	if (!source.listed_all || source.watch != NULL ||
	    event_pending(source.retry, EV_TIMEOUT, NULL))
		return;
	if (fleet_is_watcher(source.f))
		watch_start();
	else if (now - source.checked_us > OTHER_CHECK_US) {
		source.checked_us = now;
		list_begin();
	}
}

static void store_behind(struct fleet *f)
{
	if (source.listed_all && source.watch == NULL)
		list_begin();
}

static void store_start(struct fleet *f)
{
	struct kernel *k = f->service.kernel;

	source.f = f;
	records = k->adapter->records;
	source.store = k->adapter->store->create(k, k->settings->platform[0],
						 (int64_t)k->settings->platform_timeout_ms *
							 USEC_PER_MSEC);
	source.known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	source.servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	source.vms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	source.listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	source.retry = event_new(k->base, -1, 0, on_retry, NULL);
	source.tick = kernel_every(k, TICK_US, on_tick, NULL);
	source.reachable = true;
	source.checked_us = now_us();
	lease_tick(now_us());
	list_begin();
}

static void store_stop(struct fleet *f)
{
	if (source.store == NULL)
		return;
	event_free(source.tick);
	event_free(source.retry);
	records_document_clear(&source.document);
	g_hash_table_destroy(source.known);
	g_hash_table_destroy(source.servers);
	g_hash_table_destroy(source.vms);
	g_hash_table_destroy(source.listed);
	g_free(source.after);
	source.store->ops->free(source.store);
	source.store = NULL;
}

static bool store_listed(struct fleet *f)
{
	return now_us() < fleet_store_lease_until_us(f);
}

const struct fleet_source_ops fleet_store_ops = {
	.listed = store_listed,
	.start = store_start,
	.stop = store_stop,
	.behind = store_behind,
};
