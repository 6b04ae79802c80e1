/**
 * @file caller-extended.c
 * Extended query protocol. Prepared statements and portals are kept in the session, not on a
 * database connection, since sessions share the connections.
 */
#include "caller.h"

#include <string.h>

/** Maximum of prepared statements, and also of portals, in one session. */
#define EXTENDED_MAX 1000

static void prepared_free(gpointer data)
{
	struct prepared *p = data;

	g_free(p->sql);
	g_free(p->types);
	g_free(p);
}

static void portal_free(gpointer data)
{
	struct portal *p = data;
	unsigned i;

	for (i = 0; i < p->n_params; i++)
		g_free(p->params[i].value.value_val);
	g_free(p->params);
	g_free(p->sql);
	g_free(p);
}

void caller_extended_free(struct caller *c)
{
	if (c->prepared != NULL)
		g_hash_table_destroy(c->prepared);
	if (c->portals != NULL)
		g_hash_table_destroy(c->portals);
	if (c->running_portal != NULL)
		portal_free(c->running_portal);
	c->prepared = NULL;
	c->portals = NULL;
	c->running_portal = NULL;
}

void caller_extended_done(struct caller *c)
{
	if (c->running_portal != NULL)
		portal_free(c->running_portal);
	c->running_portal = NULL;
}

static void send_empty(struct caller *c, char type)
{
	GByteArray *out = g_byte_array_new();

	pg_put_empty(out, type);
	caller_send(c, out);
}

static void send_malformed(struct caller *c)
{
	caller_error(c, true, "08P01", "malformed message", "not run", NULL);
}

/**
 * Stores @a value as @a name in @a table, which it creates at first use.
 * @return false if the table is full; then the caller gets an error and @a value is freed
 */
static bool store_named(struct caller *c, GHashTable **table, const char *name, gpointer value,
			GDestroyNotify free_value)
{
	if (*table == NULL)
		*table = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
	if (g_hash_table_size(*table) >= EXTENDED_MAX && !g_hash_table_contains(*table, name)) {
		free_value(value);
		caller_refuse(c, "53400",
			      "this session keeps too many prepared statements or portals", 0);
		return false;
	}
	g_hash_table_replace(*table, g_strdup(name), value);
	return true;
}

static void handle_parse(struct caller *c, struct pg_reader *r)
{
	const char *name = pg_read_text(r);
	const char *sql = pg_read_text(r);
	struct prepared *p = g_new0(struct prepared, 1);
	unsigned i;

	p->sql = g_strdup(sql);
	p->n_types = pg_read_u16(r);
	p->types = g_new0(uint32_t, p->n_types + 1);
	for (i = 0; i < p->n_types; i++)
		p->types[i] = pg_read_u32(r);
	if (!pg_read_at_end(r)) {
		prepared_free(p);
		send_malformed(c);
		return;
	}
	if (store_named(c, &c->prepared, name, p, prepared_free))
		send_empty(c, '1');
}

/** Reads format codes: none, one for all values, or one for each value. */
static bool read_formats(struct pg_reader *r, uint16_t *formats, unsigned max, unsigned *n)
{
	unsigned i;

	*n = pg_read_u16(r);
	if (*n > max)
		return false;
	for (i = 0; i < *n; i++)
		formats[i] = pg_read_u16(r);
	return !r->bad;
}

static bool read_params(struct pg_reader *r, struct portal *portal, const struct prepared *p)
{
	uint16_t formats[ML_PARAMS_MAX];
	unsigned n_formats, i;

	if (!read_formats(r, formats, ML_PARAMS_MAX, &n_formats))
		return false;
	portal->n_params = pg_read_u16(r);
	if (portal->n_params > ML_PARAMS_MAX || (n_formats > 1 && n_formats != portal->n_params)) {
		portal->n_params = 0;
		return false;
	}
	portal->params = g_new0(ml_param, portal->n_params + 1);
	for (i = 0; i < portal->n_params; i++) {
		ml_param *param = &portal->params[i];
		uint32_t len = pg_read_u32(r);
		const uint8_t *bytes;

		if (n_formats > 0)
			param->format = formats[n_formats == 1 ? 0 : i];
		param->type = i < p->n_types ? p->types[i] : 0;
		param->null = len == UINT32_MAX;
		if (param->null)
			continue;
		bytes = pg_read_bytes(r, len);
		if (bytes == NULL)
			return false;
		/* libpq expects a text parameter to end with a null byte. */
		param->value.value_val = g_malloc0((gsize)len + 1);
		memcpy(param->value.value_val, bytes, len);
		param->value.value_len = len + (param->format == 0 ? 1 : 0);
	}
	return true;
}

static bool read_result_formats(struct pg_reader *r, struct portal *portal)
{
	uint16_t formats[ML_PARAMS_MAX];
	unsigned n, i;

	if (!read_formats(r, formats, ML_PARAMS_MAX, &n))
		return false;
	portal->result_format = n > 0 ? formats[0] : 0;
	for (i = 1; i < n; i++) {
		if (formats[i] != formats[0])
			portal->mixed_formats = true;
	}
	return pg_read_at_end(r);
}

static void handle_bind(struct caller *c, struct pg_reader *r)
{
	const char *portal_name = pg_read_text(r);
	const char *name = pg_read_text(r);
	const struct prepared *p =
		c->prepared != NULL ? g_hash_table_lookup(c->prepared, name) : NULL;
	struct portal *portal;

	if (p == NULL && !r->bad) {
		caller_refuse(c, "26000", "this prepared statement does not exist", 0);
		return;
	}
	portal = g_new0(struct portal, 1);
	if (r->bad || !read_params(r, portal, p) || !read_result_formats(r, portal)) {
		portal_free(portal);
		send_malformed(c);
		return;
	}
	if (portal->mixed_formats) {
		portal_free(portal);
		caller_refuse(c, "0A000", "result columns in different formats are not served", 0);
		return;
	}
	portal->sql = g_strdup(p->sql);
	if (store_named(c, &c->portals, portal_name, portal, portal_free))
		send_empty(c, '2');
}

static void describe_statement(struct caller *c, const struct prepared *p)
{
	struct portal *portal = g_new0(struct portal, 1);
	struct stmt_scan scan = sqlscan(p->sql);
	unsigned i;

	/*
	 * Statements that the proxy executes itself have no parameters and, except for SHOW, no
	 * rows.
	 */
	if (scan.class != STMT_OTHER) {
		GByteArray *out = g_byte_array_new();
		guint start = pg_begin(out, 't');

		pg_put_u16(out, 0);
		pg_end(out, start);
		pg_put_empty(out, 'n');
		caller_send(c, out);
		portal_free(portal);
		return;
	}
	portal->sql = g_strdup(p->sql);
	portal->n_params = p->n_types;
	portal->params = g_new0(ml_param, p->n_types + 1);
	for (i = 0; i < p->n_types; i++)
		portal->params[i].type = p->types[i];
	c->running_portal = portal;
	if (!caller_run(c, portal->sql, portal, ML_DESCRIBE))
		caller_extended_done(c);
}

static void handle_describe(struct caller *c, struct pg_reader *r)
{
	uint8_t what = pg_read_u8(r);
	const char *name = pg_read_text(r);
	struct prepared *p = c->prepared != NULL ? g_hash_table_lookup(c->prepared, name) : NULL;
	struct portal *portal = c->portals != NULL ? g_hash_table_lookup(c->portals, name) : NULL;

	if (!pg_read_at_end(r) || (what != 'S' && what != 'P')) {
		send_malformed(c);
		return;
	}
	if (what == 'S' && p != NULL) {
		describe_statement(c, p);
		return;
	}
	if (what == 'P' && portal != NULL) {
		/*
		 * RowDescription is sent with the rows of the Execute that follows, which saves a
		 * round trip to the database.
		 */
		portal->describe = true;
		return;
	}
	caller_refuse(c, what == 'S' ? "26000" : "34000", "this statement or portal does not exist",
		      0);
}

static void handle_execute(struct caller *c, struct pg_reader *r)
{
	const char *name = pg_read_text(r);
	uint32_t max_rows = pg_read_u32(r);
	struct portal *portal = c->portals != NULL ? g_hash_table_lookup(c->portals, name) : NULL;
	gpointer key, value;

	if (!pg_read_at_end(r)) {
		send_malformed(c);
		return;
	}
	if (portal == NULL) {
		caller_refuse(c, "34000", "this portal does not exist, or has been run", 0);
		return;
	}
	if (max_rows != 0) {
		caller_refuse(c, "0A000", "a limit of rows in Execute is not served; use LIMIT", 0);
		return;
	}
	/*
	 * A portal is executed once: a second Execute would run the statement again, which the
	 * caller does not intend.
	 */
	g_hash_table_steal_extended(c->portals, name, &key, &value);
	g_free(key);
	c->running_portal = portal;
	if (!caller_run(c, portal->sql, portal, ML_EXTENDED))
		caller_extended_done(c);
}

static void handle_close(struct caller *c, struct pg_reader *r)
{
	uint8_t what = pg_read_u8(r);
	const char *name = pg_read_text(r);

	if (!pg_read_at_end(r)) {
		send_malformed(c);
		return;
	}
	if (what == 'S' && c->prepared != NULL)
		g_hash_table_remove(c->prepared, name);
	if (what == 'P' && c->portals != NULL)
		g_hash_table_remove(c->portals, name);
	send_empty(c, '3');
}

static void handle_sync(struct caller *c, struct pg_reader *r)
{
	GByteArray *out = g_byte_array_new();

	c->skip_to_sync = false;
	pg_put_ready(out, caller_tx_status(c));
	caller_send(c, out);
}

/** Does nothing: responses are written without waiting for a Flush or Sync message. */
static void handle_flush(struct caller *c, struct pg_reader *r)
{
}

static const struct {
	char type;
	void (*handle)(struct caller *c, struct pg_reader *r);
} handlers[] = {
	{'P', handle_parse}, {'B', handle_bind}, {'D', handle_describe}, {'E', handle_execute},
	{'C', handle_close}, {'S', handle_sync}, {'H', handle_flush},
};

bool caller_extended(struct caller *c, struct pg_message *m)
{
	struct pg_reader r = pg_reader(m);
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if (handlers[i].type != m->type)
			continue;
		c->simple = false;
		if (!caller_key_valid(c))
			caller_error(c, true, "28P01", "the key has been withdrawn", "not run",
				     NULL);
		else if (!c->skip_to_sync || m->type == 'S')
			handlers[i].handle(c, &r);
		return true;
	}
	/* Ignores COPY messages after a rejected COPY, as the protocol requires. */
	return m->type == 'd' || m->type == 'c' || m->type == 'f';
}
