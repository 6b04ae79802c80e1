/** @file table.c Reading and writing of configuration entries as TOML and JSON. */
#include "table.h"

#include "error.h"
#include "json-text.h"
#include "schema.h"

#include <sodium.h>
#include <string.h>

#define FIELD(st, field, k, t, ...)                                                                \
	{                                                                                          \
		.key = (k), .type = (t), .offset = offsetof(struct st, field), __VA_ARGS__         \
	}
#define DAY_MS 86400000.0
#define MEMBER_CONNECTIONS_MAX 65536
/** Least connections of a member in an operators' table. */
#define TABLE_CONNECTIONS_MIN 4
/** Limit of version numbers: a double holds every whole number up to 2^53 exactly. */
#define VERSION_MAX 9e15

static const struct schema_field route_fields[] = {
	FIELD(conf_route, name, "name", SCHEMA_NAME, .required = true),
	FIELD(conf_route, team, "team", SCHEMA_PATTERN, .fallback = "*"),
	FIELD(conf_route, kind, "kind", SCHEMA_PATTERN, .fallback = "*"),
	FIELD(conf_route, pool, "pool", SCHEMA_NAME, .required = true),
	FIELD(conf_route, write, "write", SCHEMA_BOOL, .fallback = "true"),
	FIELD(conf_route, max_age_ms, "max_age_ms", SCHEMA_UINT, .min = 0, .max = DAY_MS,
	      .fallback = "0"),
	FIELD(conf_route, deadline_ms, "deadline_ms", SCHEMA_UINT, .min = 0, .max = DAY_MS,
	      .fallback = "0"),
	FIELD(conf_route, mode, "mode", SCHEMA_CHOICE, .fallback = "declared",
	      .choices = {"declared", "primary", "bounded", "session"}),
	FIELD(conf_route, target_latency_ms, "aim_ms", SCHEMA_UINT, .min = 0, .max = DAY_MS,
	      .fallback = "0"),
	FIELD(conf_route, priority, "priority", SCHEMA_UINT, .min = 0, .max = 1000,
	      .fallback = "1"),
	FIELD(conf_route, anonymous, "anonymous", SCHEMA_BOOL, .fallback = "false"),
	FIELD(conf_route, idle_tx_ms, "idle_tx_ms", SCHEMA_UINT, .min = 0, .max = DAY_MS,
	      .fallback = "0"),
};

static const struct schema_field team_fields[] = {
	FIELD(conf_team, name, "name", SCHEMA_NAME, .required = true),
	FIELD(conf_team, rate, "rate", SCHEMA_DOUBLE, .required = true, .min = 0.001, .max = 1e9),
	FIELD(conf_team, burst, "burst", SCHEMA_DOUBLE, .required = true, .min = 1, .max = 1e9),
};

static const struct schema_field pool_fields[] = {
	FIELD(conf_pool, name, "name", SCHEMA_NAME, .required = true),
	FIELD(conf_pool, confirm, "confirm", SCHEMA_CHOICE, .fallback = "replica",
	      .choices = {"replica", "primary"}),
	FIELD(conf_pool, sync, "sync_replicas", SCHEMA_UINT, .min = 0, .max = GROUP_MEMBERS_MAX,
	      .fallback = "0"),
};

static const struct schema_field member_fields[] = {
	FIELD(conf_member, name, "name", SCHEMA_NAME, .required = true),
	FIELD(conf_member, address, "address", SCHEMA_ADDRESS, .required = true),
	FIELD(conf_member, data_center, "data_center", SCHEMA_NAME, .required = true),
	FIELD(conf_member, slots, "slots", SCHEMA_UINT, .min = 1, .max = 1024, .fallback = "2"),
	FIELD(conf_member, connections, "connections", SCHEMA_UINT, .min = 1,
	      .max = MEMBER_CONNECTIONS_MAX, .fallback = "16"),
	FIELD(conf_member, leaving, "leaving", SCHEMA_BOOL, .fallback = "false"),
	FIELD(conf_member, cold, "cold", SCHEMA_BOOL, .fallback = "false"),
	FIELD(conf_member, cold_per_s, "cold_per_s", SCHEMA_DOUBLE, .min = 0, .max = 1e6,
	      .fallback = "0"),
};

/** An API key as stored in its configuration entry, with the hash in hexadecimal. */
struct key_text {
	char id[NAME_SIZE];
	char team[NAME_SIZE];
	char hash[SCHEMA_PATH_SIZE];
	bool withdrawn;
};

static const struct schema_field key_fields[] = {
	FIELD(key_text, id, "id", SCHEMA_NAME, .required = true),
	FIELD(key_text, team, "team", SCHEMA_NAME, .required = true),
	FIELD(key_text, hash, "hash", SCHEMA_PATH, .required = true),
	FIELD(key_text, withdrawn, "withdrawn", SCHEMA_BOOL, .fallback = "false"),
};

static const struct schema_field evacuation_fields[] = {
	FIELD(conf_evacuation, data_center, "data_center", SCHEMA_NAME, .required = true),
};

static const struct schema_field document_fields[] = {
	FIELD(conf_document, name, "name", SCHEMA_NAME, .required = true),
	FIELD(conf_document, version, "version", SCHEMA_DOUBLE, .required = true, .min = 0,
	      .max = VERSION_MAX),
};

/** Properties of each kind of configuration entry. */
static const struct kind {
	const char *prefix; /**< of the entry's id, and name of its TOML table */
	const struct schema_field *fields;
	unsigned n;	     /**< number of fields */
	enum table_id table; /**< operators' table with entries of this kind; TABLES: none */
} kinds[CONF_KINDS] = {
	[CONF_ROUTE] = {"route", route_fields, G_N_ELEMENTS(route_fields), TABLE_ROUTES},
	[CONF_POOL] = {"pool", pool_fields, G_N_ELEMENTS(pool_fields), TABLE_POOLS},
	[CONF_TEAM] = {"team", team_fields, G_N_ELEMENTS(team_fields), TABLE_ROUTES},
	[CONF_KEY] = {"key", key_fields, G_N_ELEMENTS(key_fields), TABLES},
	[CONF_EVACUATION] = {"evacuation", evacuation_fields, G_N_ELEMENTS(evacuation_fields),
			     TABLES},
	[CONF_DOCUMENT] = {"document", document_fields, G_N_ELEMENTS(document_fields), TABLES},
};

static const char *const pool_other_keys[] = {"member", NULL};

const char *table_name(enum table_id which)
{
	return which == TABLE_ROUTES ? "routes" : "pools";
}

bool table_holds(enum table_id which, enum conf_kind kind)
{
	return kinds[kind].table == which;
}

/** @return the struct in @a e that belongs to its kind */
static void *entry_body(struct conf_entry *e)
{
	switch (e->kind) {
	case CONF_ROUTE:
		return &e->route;
	case CONF_POOL:
		return &e->pool;
	case CONF_TEAM:
		return &e->team;
	case CONF_EVACUATION:
		return &e->evacuation;
	case CONF_DOCUMENT:
		return &e->document;
	default:
		return &e->key;
	}
}

static gboolean read_members(JsonObject *o, const char *where, struct conf_pool *pool,
			     GError **error)
{
	JsonArray *list;
	unsigned i, j;

	if (!schema_tables(o, where, "member", &list, error))
		return FALSE;
	pool->n = list != NULL ? json_array_get_length(list) : 0;
	if (pool->n < 1 || pool->n > GROUP_MEMBERS_MAX) {
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
			    "%s: member: found %u members; allowed: 1 to %d", where, pool->n,
			    GROUP_MEMBERS_MAX);
		return FALSE;
	}
	for (i = 0; i < pool->n; i++) {
		char *at = g_strdup_printf("%s: member %u", where, i + 1);
		gboolean ok =
			schema_read(json_array_get_object_element(list, i), at, member_fields,
				    G_N_ELEMENTS(member_fields), NULL, &pool->member[i], error);

		g_free(at);
		if (!ok)
			return FALSE;
		for (j = 0; j < i; j++) {
			if (strcmp(pool->member[j].name, pool->member[i].name) != 0)
				continue;
			g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
				    "%s: member: found \"%s\" twice; allowed: each name once",
				    where, pool->member[i].name);
			return FALSE;
		}
	}
	return TRUE;
}

static bool set_key(const struct key_text *text, struct conf_key *key)
{
	size_t len = 0;

	if (sodium_hex2bin(key->hash, sizeof(key->hash), text->hash, strlen(text->hash), NULL, &len,
			   NULL) != 0 ||
	    len != KEY_HASH_SIZE)
		return false;
	g_strlcpy(key->id, text->id, sizeof(key->id));
	g_strlcpy(key->team, text->team, sizeof(key->team));
	key->withdrawn = text->withdrawn;
	return true;
}

static gboolean read_key(JsonObject *o, const char *where, struct conf_key *key, GError **error)
{
	struct key_text text;

	if (!schema_read(o, where, key_fields, G_N_ELEMENTS(key_fields), NULL, &text, error))
		return FALSE;
	if (set_key(&text, key))
		return TRUE;
	g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
		    "%s: hash: found an invalid hash; allowed: %d hex digits", where,
		    2 * KEY_HASH_SIZE);
	return FALSE;
}

static bool plain_member(const char **at, void *out)
{
	struct conf_pool *pool = out;
	unsigned i;

	if (pool->n == GROUP_MEMBERS_MAX ||
	    !schema_read_plain(at, member_fields, G_N_ELEMENTS(member_fields), NULL,
			       &pool->member[pool->n]))
		return false;
	for (i = 0; i < pool->n; i++) {
		if (strcmp(pool->member[i].name, pool->member[pool->n].name) == 0)
			return false;
	}
	pool->n++;
	return true;
}

static bool plain_members(const char *key, const char **at, void *out)
{
	struct conf_pool *pool = out;

	return strcmp(key, "member") == 0 && pool->n == 0 &&
	       schema_plain_array(at, plain_member, out) && pool->n > 0;
}

/**
 * Reads the text of an entry as body_text() makes it, which takes a tenth of the time of a JSON
 * parser. @return false if it is of another form or invalid
 */
static bool read_plain(const char *text, struct conf_entry *e)
{
	const struct kind *k = &kinds[e->kind];
	struct key_text key;

	if (e->kind == CONF_KEY)
		return schema_read_plain(&text, key_fields, G_N_ELEMENTS(key_fields), NULL, &key) &&
		       *text == '\0' && set_key(&key, &e->key);
	return schema_read_plain(&text, k->fields, k->n,
				 e->kind == CONF_POOL ? plain_members : NULL, entry_body(e)) &&
	       *text == '\0' && (e->kind != CONF_POOL || e->pool.n > 0);
}

static gboolean read_body(JsonObject *o, const char *where, struct conf_entry *e, GError **error)
{
	const struct kind *k = &kinds[e->kind];

	if (e->kind == CONF_KEY)
		return read_key(o, where, &e->key, error);
	if (!schema_read(o, where, k->fields, k->n, e->kind == CONF_POOL ? pool_other_keys : NULL,
			 entry_body(e), error))
		return FALSE;
	return e->kind != CONF_POOL || read_members(o, where, &e->pool, error);
}

/**
 * Returns the JSON text of an entry, to be freed with g_free(). Entries with equal content have
 * equal texts.
 */
static char *body_text(struct conf_entry *e)
{
	GString *out = g_string_new("{");
	unsigned i;

	schema_write(kinds[e->kind].fields, kinds[e->kind].n, entry_body(e), true, out);
	if (e->kind == CONF_POOL) {
		g_string_append(out, ",\"member\":[");
		for (i = 0; i < e->pool.n; i++) {
			g_string_append(out, i > 0 ? ",{" : "{");
			schema_write(member_fields, G_N_ELEMENTS(member_fields), &e->pool.member[i],
				     true, out);
			g_string_append_c(out, '}');
		}
		g_string_append_c(out, ']');
	}
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

static int kind_of_id(const char *id)
{
	int kind;

	for (kind = 0; kind < CONF_KINDS; kind++) {
		size_t len = strlen(kinds[kind].prefix);

		if (strncmp(id, kinds[kind].prefix, len) == 0 && id[len] == '/')
			return kind;
	}
	return -1;
}

static bool read_json(const char *text, struct conf_entry *e, GError **error)
{
	JsonParser *parser = json_parser_new();
	bool ok = json_text_load(parser, text, -1, error);
	JsonNode *root = ok ? json_parser_get_root(parser) : NULL;

	if (ok && (root == NULL || !JSON_NODE_HOLDS_OBJECT(root))) {
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
			    "entry %s: text is not a JSON object", e->id);
		ok = false;
	}
	ok = ok && read_body(json_node_get_object(root), e->id, e, error);
	g_object_unref(parser);
	return ok;
}

struct conf_entry *table_entry_parse(const char *id, uint64_t version, const char *text,
				     GError **error)
{
	int kind = kind_of_id(id);
	struct conf_entry *e;

	if (kind < 0) {
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS, "entry %s: unknown kind of entry",
			    id);
		return NULL;
	}
	e = conf_entry_create((enum conf_kind)kind, id, version, text);
	if (text == NULL || read_plain(text, e))
		return e;
	memset(entry_body(e), 0, conf_kind_size(e->kind));
	if (read_json(text, e, error))
		return e;
	conf_entry_unref(e);
	return NULL;
}

static void entry_clamp(struct conf_entry *e)
{
	const struct kind *k = &kinds[e->kind];
	unsigned i;

	schema_clamp(k->fields, k->n, entry_body(e));
	for (i = 0; e->kind == CONF_POOL && i < e->pool.n; i++)
		schema_clamp(member_fields, G_N_ELEMENTS(member_fields), &e->pool.member[i]);
}

struct conf_entry *table_entry_make(enum conf_kind kind, const void *body)
{
	struct conf_entry *e = conf_entry_create(kind, "", 0, "");

	memcpy(entry_body(e), body, conf_kind_size(kind));
	entry_clamp(e);
	g_free(e->id);
	e->id = g_strdup_printf("%s/%s", kinds[kind].prefix, (const char *)entry_body(e));
	g_free(e->text);
	e->text = body_text(e);
	return e;
}

bool table_member_valid(const struct conf_member *m)
{
	struct conf_member copy = *m;

	copy.connections = 1;
	return schema_valid(member_fields, G_N_ELEMENTS(member_fields), &copy);
}

struct conf_entry *table_key_entry(const struct conf_key *key)
{
	struct key_text text = {.withdrawn = key->withdrawn};
	GString *json = g_string_new("{");
	struct conf_entry *e;
	char *id;

	g_strlcpy(text.id, key->id, sizeof(text.id));
	g_strlcpy(text.team, key->team, sizeof(text.team));
	sodium_bin2hex(text.hash, sizeof(text.hash), key->hash, sizeof(key->hash));
	schema_write(key_fields, G_N_ELEMENTS(key_fields), &text, true, json);
	g_string_append_c(json, '}');
	id = g_strdup_printf("key/%s", key->id);
	e = conf_entry_create(CONF_KEY, id, 0, json->str);
	e->key = *key;
	g_free(id);
	g_string_free(json, TRUE);
	return e;
}

static gboolean check_connections(const char *where, const struct conf_pool *pool, GError **error)
{
	unsigned i;

	for (i = 0; i < pool->n; i++) {
		if (pool->member[i].connections >= TABLE_CONNECTIONS_MIN)
			continue;
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
			    "%s: member %u: connections: found %u; allowed: a whole number from %d "
			    "to %d",
			    where, i + 1, pool->member[i].connections, TABLE_CONNECTIONS_MIN,
			    MEMBER_CONNECTIONS_MAX);
		return FALSE;
	}
	return TRUE;
}

static gboolean read_entry(struct table *t, const char *file, enum conf_kind kind, JsonObject *o,
			   guint at, GError **error)
{
	char *where = g_strdup_printf("%s: %s %u", file, kinds[kind].prefix, at + 1);
	struct conf_entry *e = conf_entry_create(kind, "", 0, "");
	gboolean ok;
	guint i;

	ok = read_body(o, where, e, error) &&
	     (kind != CONF_POOL || check_connections(where, &e->pool, error));
	g_free(e->id);
	e->id = g_strdup_printf("%s/%s", kinds[kind].prefix, (const char *)entry_body(e));
	for (i = 0; i < t->entries->len && ok; i++) {
		const struct conf_entry *other = g_ptr_array_index(t->entries, i);

		if (strcmp(other->id, e->id) == 0) {
			g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
				    "%s: name: found \"%s\" twice; allowed: each name once", where,
				    (const char *)entry_body(e));
			ok = FALSE;
		} else if (kind == CONF_ROUTE && other->kind == CONF_ROUTE &&
			   strcmp(other->route.team, e->route.team) == 0 &&
			   strcmp(other->route.kind, e->route.kind) == 0) {
			g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
				    "%s: found the team and kind of route \"%s\" again; allowed: "
				    "each pair once",
				    where, other->route.name);
			ok = FALSE;
		}
	}
	g_free(where);
	if (!ok) {
		conf_entry_unref(e);
		return FALSE;
	}
	g_free(e->text);
	e->text = body_text(e);
	g_ptr_array_add(t->entries, e);
	return TRUE;
}

static gboolean read_entries(struct table *t, const char *file, enum conf_kind kind,
			     JsonObject *root, GError **error)
{
	JsonArray *list;
	guint i;

	if (!schema_tables(root, file, kinds[kind].prefix, &list, error))
		return FALSE;
	for (i = 0; list != NULL && i < json_array_get_length(list); i++) {
		if (!read_entry(t, file, kind, json_array_get_object_element(list, i), i, error))
			return FALSE;
	}
	return TRUE;
}

gboolean table_parse(const char *file, const char *text, enum table_id which, struct table *t,
		     GError **error)
{
	static const struct schema_field base_field = {.key = "base_version",
						       .type = SCHEMA_DOUBLE,
						       .min = 0,
						       .max = VERSION_MAX,
						       .fallback = "0"};
	const char *known[CONF_KINDS + 1] = {NULL};
	JsonObject *root = schema_parse(file, text, error);
	double base = 0;
	unsigned n = 0;
	gboolean ok;
	int kind;

	t->which = which;
	t->entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	if (root == NULL)
		return FALSE;
	for (kind = 0; kind < CONF_KINDS; kind++) {
		if (table_holds(which, (enum conf_kind)kind))
			known[n++] = kinds[kind].prefix;
	}
	ok = schema_read(root, file, &base_field, 1, known, &base, error);
	for (kind = 0; kind < CONF_KINDS && ok; kind++) {
		if (table_holds(which, (enum conf_kind)kind))
			ok = read_entries(t, file, (enum conf_kind)kind, root, error);
	}
	t->base = (uint64_t)base;
	json_object_unref(root);
	return ok;
}

gboolean table_load(const char *path, enum table_id which, struct table *t, GError **error)
{
	gboolean ok;
	char *text;

	memset(t, 0, sizeof(*t));
	if (!g_file_get_contents(path, &text, NULL, error))
		return FALSE;
	ok = table_parse(path, text, which, t, error);
	g_free(text);
	return ok;
}

void table_clear(struct table *t)
{
	if (t->entries != NULL)
		g_ptr_array_unref(t->entries);
	t->entries = NULL;
}

static bool has_pool(const GPtrArray *pools, const char *name)
{
	guint i;

	for (i = 0; i < pools->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(pools, i);

		if (e->kind == CONF_POOL && strcmp(e->pool.name, name) == 0)
			return true;
	}
	return false;
}

gboolean table_check_pool_references(const char *file, const GPtrArray *routes,
				     const GPtrArray *pools, GError **error)
{
	guint i;

	for (i = 0; i < routes->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(routes, i);

		if (e->kind != CONF_ROUTE || has_pool(pools, e->route.pool))
			continue;
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
			    "%s: route %s: pool: found \"%s\"; allowed: the name of a pool", file,
			    e->route.name, e->route.pool);
		return FALSE;
	}
	return TRUE;
}

char *table_to_toml(const GPtrArray *entries, enum table_id which, uint64_t base)
{
	GString *out = g_string_new(NULL);
	unsigned j;
	guint i;

	g_string_append_printf(out, "base_version = %lu\n", base);
	for (i = 0; i < entries->len; i++) {
		struct conf_entry *e = g_ptr_array_index(entries, i);

		if (!table_holds(which, e->kind))
			continue;
		g_string_append_printf(out, "\n[[%s]]\n", kinds[e->kind].prefix);
		schema_write(kinds[e->kind].fields, kinds[e->kind].n, entry_body(e), false, out);
		for (j = 0; e->kind == CONF_POOL && j < e->pool.n; j++) {
			g_string_append(out, "\n[[pool.member]]\n");
			schema_write(member_fields, G_N_ELEMENTS(member_fields), &e->pool.member[j],
				     false, out);
		}
	}
	return g_string_free(out, FALSE);
}
