/** @file store.c Key-value store with leases, conditional writes and watches, over HTTP. */
#include "store.h"

#include "common.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_ITEMS 500
#define TICK_US 10000

struct item {
	char *value; /**< base64 */
	uint64_t revision, created, lease;
};

struct event_entry {
	uint64_t revision;
	char *key, *json;
};

struct watch {
	struct evhttp_request *req;
	char *prefix;
	uint64_t after;
	int64_t until_us;
};

struct lease {
	int64_t ttl_us, until_us;
};

static GTree *items; /**< key to struct item, sorted */
static GPtrArray *history, *watches;
static GHashTable *leases;
static uint64_t revision = 1, next_lease = 1000;

static gint by_key(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

static void item_free(gpointer data)
{
	struct item *it = data;

	g_free(it->value);
	g_free(it);
}

static void put_item_fields(GString *out, const char *key, const struct item *it)
{
	g_string_append_printf(out,
			       "\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lu,"
			       "\"create-rev\":%lu,\"lease\":%lu",
			       key, it->value, it->revision, it->created, it->lease);
}

static void reply(struct evhttp_request *req, int code, const char *body)
{
	struct evbuffer *out = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
			  "application/json");
	evbuffer_add(out, body, strlen(body));
	evhttp_send_reply(req, code, NULL, out);
	evbuffer_free(out);
}

/** Answers a watch with the events it waits for. @return false if there are none yet */
static bool watch_answer(struct watch *w, bool expired)
{
	GString *body = g_string_new("{\"events\":[");
	bool any = false;
	guint i;

	for (i = 0; i < history->len; i++) {
		const struct event_entry *e = g_ptr_array_index(history, i);

		if (e->revision <= w->after || !g_str_has_prefix(e->key, w->prefix))
			continue;
		g_string_append_printf(body, "%s%s", any ? "," : "", e->json);
		any = true;
	}
	g_string_append_printf(body, "],\"as-of\":%lu}", revision);
	if (any || expired) {
		evhttp_connection_set_closecb(evhttp_request_get_connection(w->req), NULL, NULL);
		reply(w->req, 200, body->str);
	}
	g_string_free(body, TRUE);
	return any || expired;
}

/** Drops the watch of a caller that has disconnected. */
static void on_watch_closed(struct evhttp_connection *conn, void *arg)
{
	struct watch *w = arg;

	g_ptr_array_remove(watches, w);
	g_free(w->prefix);
	g_free(w);
}

static void watches_check(void)
{
	guint i = 0;

	while (i < watches->len) {
		struct watch *w = g_ptr_array_index(watches, i);

		if (!watch_answer(w, elapsed_us() > w->until_us)) {
			i++;
			continue;
		}
		g_free(w->prefix);
		g_free(w);
		g_ptr_array_remove_index(watches, i);
	}
}

static void history_add(const char *key, const struct item *it)
{
	struct event_entry *e = g_new0(struct event_entry, 1);
	GString *json = g_string_new("{");

	e->revision = revision;
	e->key = g_strdup(key);
	if (it != NULL)
		put_item_fields(json, key, it);
	else
		g_string_append_printf(json, "\"key\":\"%s\",\"revision\":%lu,\"removed\":true",
				       key, revision);
	g_string_append_c(json, '}');
	e->json = g_string_free(json, FALSE);
	g_ptr_array_add(history, e);
}

static void put_encoded(const char *key, const char *value, uint64_t lease)
{
	const struct item *old = g_tree_lookup(items, key);
	struct item *it = g_new0(struct item, 1);

	it->value = g_strdup(value);
	it->revision = ++revision;
	it->created = old != NULL ? old->created : it->revision;
	it->lease = lease;
	g_tree_replace(items, g_strdup(key), it);
	history_add(key, it);
}

uint64_t store_put(const char *key, const char *value)
{
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	put_encoded(key, encoded, 0);
	g_free(encoded);
	watches_check();
	return revision;
}

void store_remove(const char *key)
{
	if (g_tree_lookup(items, key) == NULL)
		return;
	revision++;
	g_tree_remove(items, key);
	history_add(key, NULL);
	watches_check();
}

/* Calls */

static const char *param(struct evkeyvalq *q, const char *name)
{
	const char *value = evhttp_find_header(q, name);

	return value != NULL ? value : "";
}

static void serve_get(struct evhttp_request *req, struct evkeyvalq *q)
{
	const struct item *it = g_tree_lookup(items, param(q, "key"));
	GString *body = g_string_new("{");

	if (it == NULL) {
		reply(req, 404, "{}");
	} else {
		put_item_fields(body, param(q, "key"), it);
		g_string_append_printf(body, ",\"as-of\":%lu}", revision);
		reply(req, 200, body->str);
	}
	g_string_free(body, TRUE);
}

struct range {
	const char *prefix, *after;
	GString *body;
	unsigned n;
	bool more;
};

static gboolean range_add(gpointer key, gpointer value, gpointer arg)
{
	struct range *r = arg;

	if (!g_str_has_prefix(key, r->prefix) || strcmp(key, r->after) <= 0)
		return FALSE;
	if (r->n == PAGE_ITEMS) {
		r->more = true;
		return TRUE;
	}
	g_string_append(r->body, r->n++ > 0 ? ",{" : "{");
	put_item_fields(r->body, key, value);
	g_string_append_c(r->body, '}');
	return FALSE;
}

static void serve_range(struct evhttp_request *req, struct evkeyvalq *q)
{
	struct range r = {.prefix = param(q, "prefix"),
			  .after = param(q, "after"),
			  .body = g_string_new("{\"items\":[")};

	g_tree_foreach(items, range_add, &r);
	g_string_append_printf(r.body, "],\"more-pages\":%s,\"as-of\":%lu}",
			       r.more ? "true" : "false", revision);
	reply(req, 200, r.body->str);
	g_string_free(r.body, TRUE);
}

static void serve_watch(struct evhttp_request *req, struct evkeyvalq *q)
{
	struct watch *w = g_new0(struct watch, 1);

	w->req = req;
	w->prefix = g_strdup(param(q, "prefix"));
	w->after = strtoull(param(q, "after"), NULL, 10);
	w->until_us = elapsed_us() + atol(param(q, "wait-ms")) * US_PER_MS;
	g_ptr_array_add(watches, w);
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), on_watch_closed, w);
	watches_check();
}

static JsonArray *list_of(JsonObject *o, const char *name)
{
	return json_object_has_member(o, name) ? json_object_get_array_member(o, name) : NULL;
}

static guint length_of(JsonArray *list)
{
	return list != NULL ? json_array_get_length(list) : 0;
}

/** Checks the conditions of a transaction; on a conflict the body has the current items. */
static bool txn_expected(JsonArray *expected, GString *body)
{
	bool ok = true;
	guint i, n = 0;

	g_string_append(body, "{\"items\":[");
	for (i = 0; i < length_of(expected); i++) {
		JsonObject *o = json_array_get_object_element(expected, i);
		const char *key = json_object_get_string_member(o, "key");
		const struct item *it = g_tree_lookup(items, key);

		if ((it != NULL ? it->revision : 0) !=
		    (uint64_t)json_object_get_int_member(o, "revision"))
			ok = false;
		if (it == NULL)
			continue;
		g_string_append(body, n++ > 0 ? ",{" : "{");
		put_item_fields(body, key, it);
		g_string_append_c(body, '}');
	}
	g_string_append_printf(body, "],\"as-of\":%lu}", revision);
	return ok;
}

static bool leases_exist(JsonArray *puts)
{
	guint i;

	for (i = 0; i < length_of(puts); i++) {
		gint64 id = json_object_get_int_member_with_default(
			json_array_get_object_element(puts, i), "lease", 0);

		if (id != 0 && !g_hash_table_contains(leases, GSIZE_TO_POINTER(id)))
			return false;
	}
	return true;
}

static void serve_txn(struct evhttp_request *req, JsonObject *o)
{
	JsonArray *puts = list_of(o, "puts"), *deletes = list_of(o, "deletes");
	GString *body = g_string_new(NULL);
	guint i;

	if (!txn_expected(list_of(o, "expected"), body)) {
		reply(req, 412, body->str);
	} else if (!leases_exist(puts)) {
		reply(req, 404, "{}");
	} else {
		for (i = 0; i < length_of(puts); i++) {
			JsonObject *p = json_array_get_object_element(puts, i);

			put_encoded(
				json_object_get_string_member(p, "key"),
				json_object_get_string_member(p, "value"),
				(uint64_t)json_object_get_int_member_with_default(p, "lease", 0));
		}
		for (i = 0; i < length_of(deletes); i++)
			store_remove(json_array_get_string_element(deletes, i));
		g_string_printf(body, "{\"revision\":%lu}", revision);
		reply(req, 200, body->str);
		watches_check();
	}
	g_string_free(body, TRUE);
}

static void lease_reply(struct evhttp_request *req, uint64_t id, const struct lease *l)
{
	char *body = g_strdup_printf("{\"lease\":%lu,\"ttl-ms\":%ld}", id,
				     (long)(l->ttl_us / US_PER_MS));

	reply(req, 200, body);
	g_free(body);
}

static void serve_grant(struct evhttp_request *req, JsonObject *o)
{
	struct lease *l = g_new0(struct lease, 1);
	uint64_t id = next_lease++;

	l->ttl_us = json_object_get_int_member_with_default(o, "ttl-ms", 1000) * US_PER_MS;
	l->until_us = elapsed_us() + l->ttl_us;
	g_hash_table_insert(leases, GSIZE_TO_POINTER(id), l);
	lease_reply(req, id, l);
}

static void serve_keep(struct evhttp_request *req, uint64_t id)
{
	struct lease *l = g_hash_table_lookup(leases, GSIZE_TO_POINTER(id));

	if (l == NULL) {
		reply(req, 404, "{}");
		return;
	}
	l->until_us = elapsed_us() + l->ttl_us;
	lease_reply(req, id, l);
}

struct lease_keys {
	uint64_t lease;
	GPtrArray *keys;
};

static gboolean collect_key(gpointer key, gpointer value, gpointer arg)
{
	struct lease_keys *k = arg;

	if (((const struct item *)value)->lease == k->lease)
		g_ptr_array_add(k->keys, g_strdup(key));
	return FALSE;
}

static void lease_end(uint64_t id)
{
	struct lease_keys k = {.lease = id, .keys = g_ptr_array_new_with_free_func(g_free)};
	guint i;

	g_hash_table_remove(leases, GSIZE_TO_POINTER(id));
	g_tree_foreach(items, collect_key, &k);
	for (i = 0; i < k.keys->len; i++)
		store_remove(g_ptr_array_index(k.keys, i));
	g_ptr_array_unref(k.keys);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	const char *path = evhttp_uri_get_path(uri);
	JsonParser *parser = json_parser_new();
	JsonObject *o = NULL;
	struct evkeyvalq q;

	evhttp_parse_query_str(evhttp_uri_get_query(uri) != NULL ? evhttp_uri_get_query(uri) : "",
			       &q);
	if (evbuffer_get_length(in) > 0 &&
	    json_parser_load_from_data(parser, (const char *)evbuffer_pullup(in, -1),
				       (gssize)evbuffer_get_length(in), NULL))
		o = json_node_get_object(json_parser_get_root(parser));
	if (strcmp(path, "/-/kv-key") == 0)
		serve_get(req, &q);
	else if (strcmp(path, "/-/kv-range") == 0)
		serve_range(req, &q);
	else if (strcmp(path, "/-/kv-watch") == 0)
		serve_watch(req, &q);
	else if (strcmp(path, "/-/kv-txn") == 0 && o != NULL)
		serve_txn(req, o);
	else if (strcmp(path, "/-/kv-lease") == 0 && o != NULL)
		serve_grant(req, o);
	else if (g_str_has_prefix(path, "/-/kv-keep/"))
		serve_keep(req, strtoull(strrchr(path, '/') + 1, NULL, 10));
	else if (g_str_has_prefix(path, "/-/kv-lease-end/")) {
		lease_end(strtoull(strrchr(path, '/') + 1, NULL, 10));
		reply(req, 200, "{}");
	} else
		reply(req, 400, "{}");
	evhttp_clear_headers(&q);
	g_object_unref(parser);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	GList *ids = g_hash_table_get_keys(leases), *l;

	for (l = ids; l != NULL; l = l->next) {
		const struct lease *lease = g_hash_table_lookup(leases, l->data);

		if (elapsed_us() > lease->until_us)
			lease_end(GPOINTER_TO_SIZE(l->data));
	}
	g_list_free(ids);
	watches_check();
}

void store_start(struct event_base *base, int port)
{
	const struct timeval tv = {.tv_usec = TICK_US};
	struct evhttp *http = evhttp_new(base);

	items = g_tree_new_full(by_key, NULL, g_free, item_free);
	history = g_ptr_array_new();
	watches = g_ptr_array_new();
	leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, on_request, NULL);
	if (evhttp_bind_socket(http, "127.0.0.1", (uint16_t)port) != 0)
		exit(2);
	event_add(event_new(base, -1, EV_PERSIST, on_tick, NULL), &tv);
}
