/** @file conf.c Versions of the configuration. */
#include "conf.h"

#include <string.h>

size_t conf_kind_size(enum conf_kind kind)
{
	static const size_t sizes[CONF_KINDS] = {
		[CONF_ROUTE] = sizeof(struct conf_route),
		[CONF_POOL] = sizeof(struct conf_pool),
		[CONF_TEAM] = sizeof(struct conf_team),
		[CONF_KEY] = sizeof(struct conf_key),
		[CONF_EVACUATION] = sizeof(struct conf_evacuation),
		[CONF_DOCUMENT] = sizeof(struct conf_document),
	};

	return sizes[kind];
}

struct conf_entry *conf_entry_create(enum conf_kind kind, const char *id, uint64_t version,
				     const char *text)
{
	struct conf_entry *e = g_malloc0(offsetof(struct conf_entry, route) + conf_kind_size(kind));

	e->kind = kind;
	e->refs = 1;
	e->id = g_strdup(id);
	e->version = version;
	e->text = g_strdup(text);
	e->removed = text == NULL;
	return e;
}

struct conf_entry *conf_entry_add_ref(struct conf_entry *e)
{
	e->refs++;
	return e;
}

void conf_entry_unref(struct conf_entry *e)
{
	if (--e->refs > 0)
		return;
	g_free(e->id);
	g_free(e->text);
	g_free(e);
}

void conf_entry_destroy(gpointer e)
{
	conf_entry_unref(e);
}

struct conf *conf_create(void)
{
	struct conf *c = g_new0(struct conf, 1);

	c->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, conf_entry_destroy);
	c->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->pools = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&c->tombstones);
	return c;
}

void conf_free(struct conf *c)
{
	g_clear_pointer(&c->sorted, g_ptr_array_unref);
	g_queue_clear_full(&c->tombstones, conf_entry_destroy);
	g_hash_table_destroy(c->routes);
	g_hash_table_destroy(c->pools);
	g_hash_table_destroy(c->entries);
	g_free(c);
}

static char *route_key(const char *team, const char *kind)
{
	return g_strdup_printf("%s %s", team, kind);
}

static void conf_remove_route(struct conf *c, const struct conf_entry *e)
{
	char *key = route_key(e->route.team, e->route.kind);

	if (g_hash_table_lookup(c->routes, key) == e)
		g_hash_table_remove(c->routes, key);
	g_free(key);
}

static void conf_remove(struct conf *c, const char *id)
{
	struct conf_entry *old = g_hash_table_lookup(c->entries, id);

	if (old == NULL)
		return;
	if (old->kind == CONF_ROUTE)
		conf_remove_route(c, old);
	if (old->kind == CONF_POOL)
		g_hash_table_remove(c->pools, old->pool.name);
	g_hash_table_remove(c->entries, id);
}

/* The sorted list of entries; a change of few entries updates it in place, without a new sort. */

guint conf_sorted_find(const GPtrArray *sorted, const char *id)
{
	guint low = 0, high = sorted->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		const struct conf_entry *e = g_ptr_array_index(sorted, mid);

		if (strcmp(e->id, id) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/** Add @a e to the sorted list, in place of an entry or tombstone with its id. */
static void sorted_put(struct conf *c, struct conf_entry *e)
{
	const struct conf_entry *at;
	guint i;

	if (c->sorted == NULL)
		return;
	i = conf_sorted_find(c->sorted, e->id);
	at = i < c->sorted->len ? g_ptr_array_index(c->sorted, i) : NULL;
	if (at != NULL && strcmp(at->id, e->id) == 0)
		g_ptr_array_index(c->sorted, i) = e;
	else
		g_ptr_array_insert(c->sorted, (gint)i, e);
}

/** Remove the tombstone @a e from the sorted list. */
static void sorted_drop(struct conf *c, const struct conf_entry *e)
{
	guint i;

	if (c->sorted == NULL)
		return;
	i = conf_sorted_find(c->sorted, e->id);
	if (i < c->sorted->len && g_ptr_array_index(c->sorted, i) == e)
		g_ptr_array_remove_index(c->sorted, i);
}

static void conf_add_tombstone(struct conf *c, struct conf_entry *e)
{
	struct conf_entry *oldest;

	g_queue_push_tail(&c->tombstones, conf_entry_add_ref(e));
	if (g_queue_get_length(&c->tombstones) <= CONF_TOMBSTONES_MAX)
		return;
	oldest = g_queue_pop_head(&c->tombstones);
	if (oldest->version > c->oldest)
		c->oldest = oldest->version;
	sorted_drop(c, oldest);
	conf_entry_unref(oldest);
}

static void conf_put(struct conf *c, struct conf_entry *e, uint64_t version)
{
	const struct conf_entry *old = g_hash_table_lookup(c->entries, e->id);

	if (old != NULL && old->version >= e->version)
		return;
	if (old != NULL || !e->removed)
		c->changed[e->kind] = version;
	sorted_put(c, e);
	conf_remove(c, e->id);
	if (e->removed) {
		conf_add_tombstone(c, e);
		return;
	}
	g_hash_table_insert(c->entries, e->id, conf_entry_add_ref(e));
	if (e->kind == CONF_POOL)
		g_hash_table_replace(c->pools, e->pool.name, e);
	if (e->kind == CONF_ROUTE)
		g_hash_table_replace(c->routes, route_key(e->route.team, e->route.kind), e);
}

/** Remove the entries that the full update @a u does not contain, and all tombstones. */
static void conf_remove_unnamed(struct conf *c, const struct conf_update *u)
{
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);
	GList *ids = g_hash_table_get_keys(c->entries);
	GList *l;
	guint i;

	for (i = 0; i < u->entries->len; i++) {
		struct conf_entry *e = g_ptr_array_index(u->entries, i);

		g_hash_table_add(named, e->id);
	}
	for (l = ids; l != NULL; l = l->next) {
		const struct conf_entry *e = g_hash_table_lookup(c->entries, l->data);

		if (g_hash_table_contains(named, l->data))
			continue;
		c->changed[e->kind] = u->version;
		conf_remove(c, l->data);
	}
	g_list_free(ids);
	g_hash_table_destroy(named);
	g_queue_clear_full(&c->tombstones, conf_entry_destroy);
	c->oldest = u->oldest > 0 ? u->oldest : u->version;
}

static const struct conf_entry *conf_find(const struct conf *c, const char *kind, const char *name)
{
	char id[NAME_SIZE + 16];

	g_snprintf(id, sizeof(id), "%s/%s", kind, name);
	return g_hash_table_lookup(c->entries, id);
}

/** Set the evacuated flag of all members by the data centres that are being evacuated. */
static void mark_evacuated(const struct conf *c)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	if (c->changed[CONF_EVACUATION] == 0)
		return;
	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conf_entry *e = value;

		for (i = 0; i < e->pool.n; i++)
			e->pool.member[i].evacuated =
				conf_evacuated(c, e->pool.member[i].data_center);
	}
}

/** Whether @a u comes from an older version of the operators' document than the one in force. */
static bool has_older_document(const struct conf *c, const struct conf_update *u)
{
	guint i;

	for (i = 0; i < u->entries->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(u->entries, i);

		if (e->kind == CONF_DOCUMENT && !e->removed)
			return e->document.version < conf_document_version(c);
	}
	return false;
}

enum conf_verdict conf_apply(struct conf *c, const struct conf_update *u)
{
	guint i;

	/*
	 * A VM that resumes after a long pause, or answers late, offers an old version. Applying
	 * it would make a withdrawn key valid again, so versions only increase.
	 */
	if (u->version <= c->version)
		return CONF_OLD;
	if (has_older_document(c, u))
		return CONF_OLD_DOCUMENT;
	if (!u->full && u->base > c->version)
		return CONF_GAP;
	if (u->full) {
		g_clear_pointer(&c->sorted, g_ptr_array_unref);
		conf_remove_unnamed(c, u);
	}
	for (i = 0; i < u->entries->len; i++)
		conf_put(c, g_ptr_array_index(u->entries, i), u->version);
	mark_evacuated(c);
	c->version = u->version;
	return CONF_APPLIED;
}

static gint by_id(gconstpointer a, gconstpointer b)
{
	const struct conf_entry *const *x = a;
	const struct conf_entry *const *y = b;

	return strcmp((*x)->id, (*y)->id);
}

/** Drop all but the newest of several tombstones with the same id. */
static void keep_newest_tombstones(GPtrArray *sorted)
{
	guint i, n = 0;

	for (i = 0; i < sorted->len; i++) {
		struct conf_entry *e = g_ptr_array_index(sorted, i);
		struct conf_entry *last = n > 0 ? g_ptr_array_index(sorted, n - 1) : NULL;

		if (last == NULL || strcmp(last->id, e->id) != 0)
			g_ptr_array_index(sorted, n++) = e;
		else if (e->version > last->version)
			g_ptr_array_index(sorted, n - 1) = e;
	}
	g_ptr_array_set_size(sorted, (gint)n);
}

const GPtrArray *conf_sorted(struct conf *c)
{
	GHashTableIter iter;
	gpointer value;
	GList *l;

	if (c->sorted != NULL)
		return c->sorted;
	c->sorted = g_ptr_array_new();
	g_hash_table_iter_init(&iter, c->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(c->sorted, value);
	for (l = c->tombstones.head; l != NULL; l = l->next) {
		const struct conf_entry *e = l->data;

		/*
		 * The tombstone of an entry that was added again is skipped: the entry itself is
		 * in the list.
		 */
		if (!g_hash_table_contains(c->entries, e->id))
			g_ptr_array_add(c->sorted, l->data);
	}
	g_ptr_array_sort(c->sorted, by_id);
	keep_newest_tombstones(c->sorted);
	return c->sorted;
}

void conf_update_clear(struct conf_update *u)
{
	if (u->entries != NULL)
		g_ptr_array_unref(u->entries);
	u->entries = NULL;
}

const struct conf_pool *conf_pool(const struct conf *c, const char *name)
{
	const struct conf_entry *e = conf_find(c, "pool", name);

	return e != NULL ? &e->pool : NULL;
}

int conf_pool_find(const struct conf_pool *pool, const char *member)
{
	unsigned i;

	for (i = 0; pool != NULL && i < pool->n; i++) {
		if (strcmp(pool->member[i].name, member) == 0)
			return (int)i;
	}
	return -1;
}

double conf_document_version(const struct conf *c)
{
	const struct conf_entry *e = conf_find(c, "document", CONF_DOCUMENT_NAME);

	return e != NULL ? e->document.version : 0;
}

bool conf_evacuated(const struct conf *c, const char *data_center)
{
	return conf_find(c, "evacuation", data_center) != NULL;
}

const struct conf_team *conf_team(const struct conf *c, const char *name)
{
	const struct conf_entry *e = conf_find(c, "team", name);

	return e != NULL ? &e->team : NULL;
}

const struct conf_key *conf_key(const struct conf *c, const char *id)
{
	const struct conf_entry *e = conf_find(c, "key", id);

	return e != NULL ? &e->key : NULL;
}

static const struct conf_route *route_exact(const struct conf *c, const char *team,
					    const char *kind)
{
	char key[2 * NAME_SIZE];
	const struct conf_entry *e;

	g_snprintf(key, sizeof(key), "%s %s", team, kind);
	e = g_hash_table_lookup(c->routes, key);
	return e != NULL ? &e->route : NULL;
}

const struct conf_route *conf_route(const struct conf *c, const char *team, const char *kind)
{
	const struct conf_route *r = route_exact(c, team, kind);

	if (r == NULL)
		r = route_exact(c, team, "*");
	if (r == NULL)
		r = route_exact(c, "*", kind);
	if (r == NULL)
		r = route_exact(c, "*", "*");
	return r;
}
