/**
 * @file fleet-store-items.c
 * Builds the configuration and the list of VMs from the store's items: routes, pools, teams and API
 * keys come from the operators' document and the backend servers' records, the list of VMs from the
 * keys that the VMs write.
 */
#include "fleet-store-source.h"

#include "json-text.h"
#include "log.h"
#include "schema.h"
#include "stat.h"
#include "table.h"

#include <stdlib.h>
#include <string.h>

/**
 * Time for which a backend server stays in its pool after its record was removed. Records that
 * expire during an outage of the store are written again within 2 s of its return; dropping their
 * servers at once would replace healthy primaries.
 */
#define LAPSED_KEEP_US (2300 * USEC_PER_MSEC)
/**
 * Configuration versions per store revision. A change without a write to the store, such as
 * dropping a server after LAPSED_KEEP_US, gets a further version of the same revision.
 */
#define VERSIONS_PER_REVISION 8

void records_document_clear(struct records_document *d)
{
	if (d->entries != NULL)
		g_ptr_array_unref(d->entries);
	if (d->pools != NULL)
		g_array_unref(d->pools);
	memset(d, 0, sizeof(*d));
}

/* Pools from the document and the servers */

static void add_member(struct conf_pool *pool, const struct server *s, const struct records_pool *r)
{
	struct conf_member *m;

	if (pool->n == GROUP_MEMBERS_MAX) {
		log_warn("member-left-out", LOG_STR("pool", pool->name),
			 LOG_STR("member", s->record.member.name));
		return;
	}
	m = &pool->member[pool->n++];
	*m = s->record.member;
	m->connections = r->connections;
	m->cold_per_s = r->cold_per_s;
	m->cold = m->cold && r->cold_per_s > 0;
}

/** Sorts servers by name, so that all VMs produce the same text for a pool. */
static gint by_name(gconstpointer a, gconstpointer b)
{
	const struct server *const *x = a;
	const struct server *const *y = b;

	return strcmp((*x)->record.member.name, (*y)->record.member.name);
}

static void array_free(gpointer data)
{
	g_ptr_array_unref(data);
}

/** Returns the servers of each pool, sorted: the pool's name to a GPtrArray of struct server. */
static GHashTable *servers_by_pool(void)
{
	GHashTable *pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, array_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store_source.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct server *s = value;
		GPtrArray *servers = g_hash_table_lookup(pools, s->record.pool);

		if (servers == NULL) {
			servers = g_ptr_array_new();
			g_hash_table_insert(pools, s->record.pool, servers);
		}
		g_ptr_array_add(servers, s);
	}
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_sort(value, by_name);
	return pools;
}

static void add_pools(GPtrArray *entries)
{
	GHashTable *by_pool = servers_by_pool();
	guint i, j;

	for (i = 0; i < store_source.document.pools->len; i++) {
		const struct records_pool *r =
			&g_array_index(store_source.document.pools, struct records_pool, i);
		struct conf_pool pool = {.sync = r->sync, .confirm = CONFIRM_PRIMARY};
		const GPtrArray *servers = g_hash_table_lookup(by_pool, r->name);

		g_strlcpy(pool.name, r->name, sizeof(pool.name));
		for (j = 0; servers != NULL && j < servers->len; j++)
			add_member(&pool, g_ptr_array_index(servers, j), r);
		g_ptr_array_add(entries, table_entry_make(CONF_POOL, &pool));
	}
	g_hash_table_destroy(by_pool);
}

static void add_evacuations(GPtrArray *entries)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, store_source.evacuated);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		struct conf_evacuation e;

		g_strlcpy(e.data_center, name, sizeof(e.data_center));
		g_ptr_array_add(entries, table_entry_make(CONF_EVACUATION, &e));
	}
}

static void add_document(GPtrArray *entries)
{
	struct conf_document d = {.name = CONF_DOCUMENT_NAME,
				  .version = (double)store_source.document.version};

	g_ptr_array_add(entries, table_entry_make(CONF_DOCUMENT, &d));
}

/** Adds the entries of @a current that differ from @a conf, the configuration in force, to @a u. */
static void add_differences(const struct conf *conf, GPtrArray *current, struct conf_update *u)
{
	GHashTable *current_ids = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer key;
	guint i;

	for (i = 0; i < current->len; i++) {
		struct conf_entry *e = g_ptr_array_index(current, i);
		const struct conf_entry *old = g_hash_table_lookup(conf->entries, e->id);

		g_hash_table_add(current_ids, e->id);
		if (old != NULL && strcmp(old->text, e->text) == 0)
			continue;
		e->version = u->version;
		g_ptr_array_add(u->entries, conf_entry_add_ref(e));
	}
	g_hash_table_iter_init(&iter, conf->entries);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct conf_entry *removal;

		if (g_hash_table_contains(current_ids, key))
			continue;
		removal = table_entry_parse(key, u->version, NULL, NULL);
		removal->removed = true;
		g_ptr_array_add(u->entries, removal);
	}
	g_hash_table_destroy(current_ids);
}

/** Returns the lowest configuration version of a store revision, in the same era. */
static uint64_t first_version_of(uint64_t revision)
{
	return era_revision(era_of(revision), era_number(revision) * VERSIONS_PER_REVISION);
}

/**
 * Returns the version of the configuration to publish, above the one in force if that has the same
 * store revision. Only store keys of operators and backend servers count: the daemons' keys change
 * whenever a VM joins or leaves, and every VM would fetch the same configuration under a newer
 * version.
 */
static uint64_t next_version(const struct conf *conf)
{
	uint64_t version =
		first_version_of(MIN(store_source.conf_revision, store_source.synced_revision));

	if (conf->version >= version && conf->version + 1 < version + VERSIONS_PER_REVISION)
		version = conf->version + 1;
	return version;
}

/** Adds a removed entry for an evacuation that may have ended without a peer noticing. */
static void add_ended_evacuation(const char *data_center, uint64_t version, GPtrArray *entries)
{
	struct conf_entry *e;
	char *id;

	if (g_hash_table_contains(store_source.evacuated, data_center))
		return;
	id = g_strdup_printf("evacuation/%s", data_center);
	e = table_entry_parse(id, version, NULL, NULL);
	e->removed = true;
	g_ptr_array_add(entries, e);
	g_free(id);
}

/**
 * Sets the versions of the entries in a process's first configuration. A peer with the same
 * document can only lack later changes of servers, so it is sent the pools but not all routes,
 * teams and API keys again.
 */
static void set_first_versions(struct conf_update *u)
{
	uint64_t document = first_version_of(store_source.document_revision);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < u->entries->len; i++) {
		struct conf_entry *e = g_ptr_array_index(u->entries, i);

		if (e->kind != CONF_POOL && e->kind != CONF_EVACUATION)
			e->version = MIN(document, u->version);
	}
	g_hash_table_iter_init(&iter, store_source.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct server *s = value;

		if (g_hash_table_add(seen, (char *)s->record.member.data_center))
			add_ended_evacuation(s->record.member.data_center, u->version, u->entries);
	}
	g_hash_table_destroy(seen);
	u->oldest = MIN(document, u->version);
}

static void publish_conf(void)
{
	struct fleet *f = store_source.f;
	struct conf_update u = {.base = f->conf->version, .version = next_version(f->conf)};
	GPtrArray *current;
	guint i;

	store_source.conf_changed = false;
	/* A peer already sent a newer configuration; the store's next answer will include it. */
	if (u.version <= f->conf->version || store_source.document.entries == NULL)
		return;
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	current = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < store_source.document.entries->len; i++)
		g_ptr_array_add(current, conf_entry_add_ref(g_ptr_array_index(
						 store_source.document.entries, i)));
	add_pools(current);
	add_evacuations(current);
	add_document(current);
	u.full = f->conf->version == 0;
	add_differences(f->conf, current, &u);
	if (u.full)
		set_first_versions(&u);
	if (u.entries->len > 0)
		fleet_apply_conf(f, &u, "store");
	g_ptr_array_unref(current);
	conf_update_clear(&u);
}

/* The list of VMs */

bool fleet_store_vm_parse(const char *value, char name[NAME_SIZE], uint64_t *incarnation)
{
	JsonParser *parser = json_parser_new();
	JsonObject *o = json_text_object(parser, value);
	bool ok = false;

	if (o != NULL) {
		ok = json_text_copy(o, "name", name, NAME_SIZE);
		*incarnation =
			strtoull(json_object_get_string_member_with_default(o, "incarnation", "0"),
				 NULL, 16);
		ok = ok && name[0] != '\0' && *incarnation != 0;
	}
	g_object_unref(parser);
	return ok;
}

/* Items */

static void apply_document(const struct store_item *item)
{
	struct records_document d;

	if (item->value == NULL || item->revision <= store_source.document_revision)
		return;
	if (!store_source.records->document(item->value, &d)) {
		stat_add(STAT_ENTRIES_MALFORMED, 1);
		log_entry(G_LOG_LEVEL_CRITICAL, "document-malformed",
			  LOG_REVISION("revision", item->revision));
		records_document_clear(&d);
		return;
	}
	log_process(G_LOG_LEVEL_INFO, "document", LOG_NUM("version", d.version),
		    LOG_REVISION("revision", item->revision), LOG_NUM("entries", d.entries->len),
		    LOG_NUM("pools", d.pools->len));
	records_document_clear(&store_source.document);
	store_source.document = d;
	store_source.document_revision = item->revision;
	store_source.conf_changed = true;
}

static void server_lapsed(const char *id)
{
	struct server *s = g_hash_table_lookup(store_source.servers, id);

	if (s == NULL || s->lapsed)
		return;
	s->lapsed = true;
	s->lapsed_us = now_us();
	store_source.servers_lapsed = true;
	log_info("member-lapsed", LOG_STR("pool", s->record.pool), LOG_STR("member", id));
}

/**
 * Whether @a r is an outdated record of the same server process. After a restore from an older copy
 * the store returns such a record until the server writes again; if it were applied, statements
 * would be sent again to a server that is draining.
 */
static bool is_outdated_record(const struct records_server *known, const struct records_server *r)
{
	return r->started_ms != 0 && r->started_ms == known->started_ms &&
	       r->sequence < known->sequence;
}

static void apply_server(const struct store_item *item)
{
	const char *id = item->key + strlen(store_source.records->servers_prefix);
	struct records_server r;
	struct server *s;

	if (item->value == NULL) {
		server_lapsed(id);
		return;
	}
	if (!store_source.records->server(id, item->value, &r)) {
		stat_add(STAT_ENTRIES_MALFORMED, 1);
		log_entry(G_LOG_LEVEL_WARNING, "server-malformed", LOG_STR("member", id),
			  LOG_REVISION("revision", item->revision));
		return;
	}
	s = g_hash_table_lookup(store_source.servers, id);
	if (s != NULL && is_outdated_record(&s->record, &r)) {
		log_info("member-entry-older", LOG_STR("member", id),
			 LOG_NUM("sequence", r.sequence), LOG_NUM("known", s->record.sequence),
			 LOG_REVISION("revision", item->revision));
		s->lapsed = false;
		return;
	}
	if (s == NULL) {
		s = g_new0(struct server, 1);
		g_hash_table_insert(store_source.servers, g_strdup(id), s);
	} else if (s->record.member.leaving != r.member.leaving) {
		log_info("member-state", LOG_STR("pool", r.pool), LOG_STR("member", id),
			 LOG_NUM("leaving", r.member.leaving),
			 LOG_REVISION("revision", item->revision));
	}
	s->record = r;
	s->lapsed = false;
	s->revision = item->revision;
	store_source.conf_changed = true;
}

/** Applies the start or the end of an evacuation by the operators. */
static void apply_evacuation(const struct store_item *item)
{
	const char *data_center = item->key + strlen(store_source.records->evacuations_prefix);

	if (!schema_name_valid(data_center)) {
		stat_add(STAT_ENTRIES_MALFORMED, 1);
		log_entry(G_LOG_LEVEL_WARNING, "evacuation-malformed", LOG_STR("key", item->key));
		return;
	}
	if (item->value != NULL)
		g_hash_table_add(store_source.evacuated, g_strdup(data_center));
	else
		g_hash_table_remove(store_source.evacuated, data_center);
	store_source.conf_changed = true;
}

bool source_is_evacuation(const char *key)
{
	const char *prefix = store_source.records->evacuations_prefix;

	return prefix != NULL && g_str_has_prefix(key, prefix);
}

static void notify_listeners(const struct store_item *item)
{
	unsigned i;

	for (i = 0; i < store_source.n_listeners; i++) {
		if (g_str_has_prefix(item->key, store_source.listeners[i].prefix))
			store_source.listeners[i].cb(item, store_source.listeners[i].owner);
	}
}

static void item_free(gpointer data)
{
	struct store_item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void queue_pending(const struct store_item *item)
{
	struct store_item *copy = g_new0(struct store_item, 1);

	if (store_source.pending == NULL)
		store_source.pending = g_ptr_array_new_with_free_func(item_free);
	copy->key = g_strdup(item->key);
	copy->value = g_strdup(item->value);
	copy->revision = item->revision;
	g_ptr_array_add(store_source.pending, copy);
}

void source_notify_pending(void)
{
	GPtrArray *pending = g_steal_pointer(&store_source.pending);
	guint i;

	for (i = 0; pending != NULL && i < pending->len; i++)
		notify_listeners(g_ptr_array_index(pending, i));
	if (pending != NULL)
		g_ptr_array_unref(pending);
}

static bool is_own_key(const char *key)
{
	return g_str_has_prefix(key, FLEET_STORE_VMS) &&
	       strcmp(key + strlen(FLEET_STORE_VMS),
		      store_source.f->service.kernel->settings->name) == 0;
}

void source_apply_item(const struct store_item *item)
{
	uint64_t *known = g_hash_table_lookup(store_source.known, item->key);

	/* Duplicate and outdated items are ignored. */
	if (known != NULL && *known >= item->revision) {
		if (*known > item->revision)
			log_info("item-discarded", LOG_STR("key", item->key),
				 LOG_REVISION("revision", item->revision),
				 LOG_NUM("known", era_number(*known)),
				 LOG_NUM("known_era", era_of(*known)));
		return;
	}
	g_hash_table_replace(store_source.known, g_strdup(item->key),
			     g_memdup2(&item->revision, sizeof(item->revision)));
	if (strcmp(item->key, store_source.records->document_key) == 0) {
		store_source.conf_revision = MAX(store_source.conf_revision, item->revision);
		apply_document(item);
	} else if (g_str_has_prefix(item->key, store_source.records->servers_prefix)) {
		store_source.conf_revision = MAX(store_source.conf_revision, item->revision);
		apply_server(item);
	} else if (source_is_evacuation(item->key)) {
		store_source.conf_revision = MAX(store_source.conf_revision, item->revision);
		apply_evacuation(item);
	} else if (source_is_vm_key(item->key)) {
		if (is_own_key(item->key))
			source_own_key_changed(item);
		fleet_list_put(store_source.f, item->key, item->value, item->revision);
		store_source.vms_changed = true;
	}
	if (store_source.list_is_complete)
		notify_listeners(item);
	else
		queue_pending(item);
}

void source_publish(void)
{
	if (!store_source.list_is_complete)
		return;
	if (!store_source.partial)
		store_source.f->conf_confirmed_us = now_us();
	if (store_source.vms_changed) {
		store_source.vms_changed = false;
		fleet_list_publish(store_source.f, store_source.synced_revision);
	}
	if (store_source.conf_changed)
		publish_conf();
}

static gboolean is_conf_key(gpointer key, gpointer revision, gpointer arg)
{
	return !g_str_has_prefix(key, FLEET_STORE_PREFIX);
}

void source_forget_conf(void)
{
	g_hash_table_foreach_remove(store_source.known, is_conf_key, NULL);
	g_hash_table_remove_all(store_source.servers);
	g_hash_table_remove_all(store_source.evacuated);
	records_document_clear(&store_source.document);
	store_source.document_revision = 0;
	store_source.conf_revision = 0;
}

void source_drop_lapsed(int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool dropped = false;

	if (!store_source.servers_lapsed || !store_source.reachable)
		return;
	store_source.servers_lapsed = false;
	g_hash_table_iter_init(&iter, store_source.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct server *s = value;

		if (!s->lapsed)
			continue;
		if (now - s->lapsed_us < LAPSED_KEEP_US) {
			store_source.servers_lapsed = true;
			continue;
		}
		log_info("member-gone", LOG_STR("pool", s->record.pool),
			 LOG_STR("member", s->record.member.name));
		g_hash_table_iter_remove(&iter);
		dropped = true;
	}
	if (dropped)
		publish_conf();
}
