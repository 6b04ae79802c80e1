/** @file standin-prepared-store.c Key-value store of standin-prepared. */
#include "standin-prepared.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICK_INTERVAL_US 10000

struct item {
	char *value;
	uint64_t revision;
	uint64_t lease;
};

struct change {
	uint64_t revision;
	char *key;
	char *value; /**< NULL: removed */
};

struct watch {
	struct evhttp_request *req;
	char *prefix;
	uint64_t after;
	int64_t until_us;
};

struct lease {
	int64_t ttl_us;
	int64_t until_us;
};

static GTree *items;
static GPtrArray *history;
static GPtrArray *watches;
static uint64_t revision = 1;
static uint64_t compacted;
static uint64_t next_lease = 100;
static uint64_t era = 1;
static enum { STORE_OK, STORE_REFUSE, STORE_SILENT } mode;

int64_t standin_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

void store_set_mode(const char *name)
{
	mode = STORE_OK;
	if (strcmp(name, "refuse") == 0)
		mode = STORE_REFUSE;
	else if (strcmp(name, "silent") == 0)
		mode = STORE_SILENT;
}

static void item_free(gpointer data)
{
	struct item *it = data;

	g_free(it->value);
	g_free(it);
}

static void send_text(struct evhttp_request *req, int code, GString *text);

static gint key_cmp(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

/** Appends a change to the history under the next revision. */
static void add_record(const char *key, const char *value)
{
	struct change *c = g_new0(struct change, 1);

	c->revision = ++revision;
	c->key = g_strdup(key);
	c->value = g_strdup(value);
	g_ptr_array_add(history, c);
}

void store_put(const char *key, const char *value, uint64_t lease)
{
	struct item *it = g_new0(struct item, 1);

	add_record(key, value);
	it->value = g_strdup(value);
	it->revision = revision;
	it->lease = lease;
	g_tree_replace(items, g_strdup(key), it);
}

void store_remove(const char *key)
{
	if (g_tree_lookup(items, key) == NULL)
		return;
	g_tree_remove(items, key);
	add_record(key, NULL);
}

void store_compact(void)
{
	guint i;

	compacted = revision;
	g_ptr_array_set_size(history, 0);
	for (i = 0; i < watches->len; i++) {
		struct watch *w = g_ptr_array_index(watches, i);

		send_text(w->req, 503, NULL);
		g_free(w->prefix);
		g_free(w);
	}
	g_ptr_array_set_size(watches, 0);
}

/* Copy and restore */

/** State of the store when the copy was made. */
static struct {
	GTree *items;
	GHashTable *leases;
	uint64_t revision;
} copy;

static gboolean item_copy(gpointer key, gpointer value, gpointer to)
{
	struct item *it = g_memdup2(value, sizeof(*it));

	it->value = g_strdup(it->value);
	g_tree_replace(to, g_strdup(key), it);
	return FALSE;
}

static GTree *items_copy(GTree *from)
{
	GTree *to = g_tree_new_full(key_cmp, NULL, g_free, item_free);

	g_tree_foreach(from, item_copy, to);
	return to;
}

static GHashTable *leases_copy(GHashTable *from)
{
	GHashTable *to = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter iter;
	gpointer id, lease;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &id, &lease))
		g_hash_table_insert(to, id, g_memdup2(lease, sizeof(struct lease)));
	return to;
}

void store_copy(void)
{
	g_clear_pointer(&copy.items, g_tree_unref);
	g_clear_pointer(&copy.leases, g_hash_table_unref);
	copy.items = items_copy(items);
	copy.leases = leases_copy(standin.leases);
	copy.revision = revision;
}

/** Whether mangoloom writes @a key; operators and members write all others. */
static bool is_mangoloom_key(const char *key)
{
	return g_str_has_prefix(key, "mangoloom/");
}

/** Items at the time of the restore. NULL once the later changes have been written again. */
static GTree *items_to_rewrite;
static int64_t rewrite_at_us;

/** Whether nothing has written the key since the restore. */
static bool unchanged_since_copy(const struct item *it)
{
	return it == NULL || it->revision <= copy.revision;
}

static gboolean rewrite_item(gpointer key, gpointer value, gpointer data)
{
	const struct item *it = value, *now = g_tree_lookup(items, key);

	if (!is_mangoloom_key(key) && unchanged_since_copy(now) &&
	    (now == NULL || strcmp(now->value, it->value) != 0))
		store_put(key, it->value, 0);
	return FALSE;
}

static gboolean collect_removed(gpointer key, gpointer value, gpointer removed)
{
	if (!is_mangoloom_key(key) && unchanged_since_copy(value) &&
	    g_tree_lookup(items_to_rewrite, key) == NULL)
		g_ptr_array_add(removed, g_strdup(key));
	return FALSE;
}

static void rewrite_later_changes(void)
{
	GPtrArray *removed = g_ptr_array_new_with_free_func(g_free);
	guint i;

	g_tree_foreach(items_to_rewrite, rewrite_item, NULL);
	g_tree_foreach(items, collect_removed, removed);
	for (i = 0; i < removed->len; i++)
		store_remove(g_ptr_array_index(removed, i));
	g_ptr_array_unref(removed);
	g_clear_pointer(&items_to_rewrite, g_tree_unref);
}

void store_restore(int64_t rewrite_after_us)
{
	if (copy.items == NULL)
		return;
	if (items_to_rewrite != NULL)
		rewrite_later_changes();
	era++;
	items_to_rewrite = items;
	items = items_copy(copy.items);
	g_hash_table_unref(standin.leases);
	standin.leases = leases_copy(copy.leases);
	revision = copy.revision;
	store_compact();
	rewrite_at_us = standin_now_us() + rewrite_after_us;
	if (rewrite_after_us == 0)
		rewrite_later_changes();
}

/* Answers */

static void put_value(GString *out, const char *key, const char *value, uint64_t rev)
{
	char *b64 = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(out, "\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lu", key, b64,
			       rev);
	g_free(b64);
}

static void send_text(struct evhttp_request *req, int code, GString *text)
{
	struct evbuffer *out = evbuffer_new();
	char number[32];

	g_snprintf(number, sizeof(number), "%lu", era);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era", number);
	if (text != NULL) {
		evbuffer_add(out, text->str, text->len);
		g_string_free(text, TRUE);
	}
	evhttp_send_reply(req, code, "", out);
	evbuffer_free(out);
}

static const char *param(struct evkeyvalq *q, const char *name)
{
	const char *v = evhttp_find_header(q, name);

	return v != NULL ? v : "";
}

static void get_key(struct evhttp_request *req, struct evkeyvalq *q)
{
	const char *key = param(q, "key");
	struct item *it = g_tree_lookup(items, key);
	GString *out;

	if (it == NULL) {
		send_text(req, 404, NULL);
		return;
	}
	out = g_string_new("{");
	put_value(out, key, it->value, it->revision);
	g_string_append_printf(out, ",\"as-of\":%lu}", revision);
	send_text(req, 200, out);
}

struct range {
	const char *prefix, *after;
	GString *out;
	unsigned n;
	bool more;
};

#define RANGE_PAGE_ITEMS 5

static gboolean range_add(gpointer key, gpointer value, gpointer data)
{
	struct range *r = data;
	struct item *it = value;

	if (!g_str_has_prefix(key, r->prefix) || strcmp(key, r->after) <= 0)
		return FALSE;
	if (r->n == RANGE_PAGE_ITEMS) {
		r->more = true;
		return TRUE;
	}
	g_string_append(r->out, r->n++ > 0 ? ",{" : "{");
	put_value(r->out, key, it->value, it->revision);
	g_string_append_c(r->out, '}');
	return FALSE;
}

static void get_range(struct evhttp_request *req, struct evkeyvalq *q)
{
	struct range r = {.prefix = param(q, "prefix"), .after = param(q, "after")};

	r.out = g_string_new("{\"items\":[");
	g_tree_foreach(items, range_add, &r);
	g_string_append_printf(r.out, "],\"more-pages\":%s,\"as-of\":%lu}",
			       r.more ? "true" : "false", revision);
	send_text(req, 200, r.out);
}

/**
 * Answers a watch if there are events after revision @a after or if it has timed out; answers 410
 * if that revision was compacted or is not assigned yet. @return whether it was answered
 */
static bool watch_answer(struct evhttp_request *req, const char *prefix, uint64_t after,
			 bool timed_out)
{
	GString *out;
	unsigned n = 0;
	guint i;

	if (after < compacted || after > revision) {
		send_text(req, 410, NULL);
		return true;
	}
	out = g_string_new("{\"events\":[");
	for (i = 0; i < history->len; i++) {
		const struct change *c = g_ptr_array_index(history, i);

		if (c->revision <= after || !g_str_has_prefix(c->key, prefix))
			continue;
		g_string_append(out, n++ > 0 ? ",{" : "{");
		if (c->value != NULL)
			put_value(out, c->key, c->value, c->revision);
		else
			g_string_append_printf(out,
					       "\"key\":\"%s\",\"revision\":%lu,\"removed\":true",
					       c->key, c->revision);
		g_string_append_c(out, '}');
	}
	if (n == 0 && !timed_out) {
		g_string_free(out, TRUE);
		return false;
	}
	g_string_append_printf(out, "],\"as-of\":%lu}", revision);
	send_text(req, 200, out);
	return true;
}

static void watch_closed(struct evhttp_connection *conn, void *arg)
{
	guint i;

	for (i = 0; i < watches->len; i++) {
		struct watch *w = g_ptr_array_index(watches, i);

		if (evhttp_request_get_connection(w->req) != conn)
			continue;
		g_ptr_array_remove_index(watches, i);
		g_free(w->prefix);
		g_free(w);
		return;
	}
}

static void get_watch(struct evhttp_request *req, struct evkeyvalq *q)
{
	uint64_t after = strtoull(param(q, "after"), NULL, 10);
	struct watch *w;

	if (watch_answer(req, param(q, "prefix"), after, false))
		return;
	w = g_new0(struct watch, 1);
	w->req = req;
	w->prefix = g_strdup(param(q, "prefix"));
	w->after = after;
	w->until_us = standin_now_us() + atol(param(q, "wait-ms")) * USEC_PER_MSEC;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), watch_closed, NULL);
	g_ptr_array_add(watches, w);
}

/* Writes */

static bool guards_hold(JsonArray *guards)
{
	guint i;

	for (i = 0; i < json_array_get_length(guards); i++) {
		JsonObject *g = json_array_get_object_element(guards, i);
		struct item *it = g_tree_lookup(items, json_object_get_string_member(g, "key"));
		uint64_t expected_revision = (uint64_t)json_object_get_int_member(g, "revision");

		if ((it != NULL ? it->revision : 0) != expected_revision)
			return false;
	}
	return true;
}

static void post_txn(struct evhttp_request *req, JsonObject *o)
{
	JsonArray *puts = json_object_get_array_member(o, "puts");
	JsonArray *deletes = json_object_get_array_member(o, "deletes");
	GString *out;
	guint i;

	if (!guards_hold(json_object_get_array_member(o, "expected"))) {
		send_text(req, 412, g_string_new("{\"items\":[]}"));
		return;
	}
	for (i = 0; i < json_array_get_length(puts); i++) {
		uint64_t lease = (uint64_t)json_object_get_int_member(
			json_array_get_object_element(puts, i), "lease");

		if (lease != 0 && !g_hash_table_contains(standin.leases, GSIZE_TO_POINTER(lease))) {
			send_text(req, 404, NULL);
			return;
		}
	}
	for (i = 0; i < json_array_get_length(puts); i++) {
		JsonObject *p = json_array_get_object_element(puts, i);
		gsize len;
		guchar *bytes = g_base64_decode(json_object_get_string_member(p, "value"), &len);
		char *value = g_strndup((const char *)bytes, len);

		store_put(json_object_get_string_member(p, "key"), value,
			  (uint64_t)json_object_get_int_member(p, "lease"));
		g_free(value);
		g_free(bytes);
	}
	for (i = 0; i < json_array_get_length(deletes); i++)
		store_remove(json_array_get_string_element(deletes, i));
	if (standin.lose_writes > 0) {
		standin.lose_writes--;
		evhttp_connection_free(evhttp_request_get_connection(req));
		return;
	}
	out = g_string_new(NULL);
	g_string_append_printf(out, "{\"revision\":%lu}", revision);
	send_text(req, 200, out);
}

static void send_lease(struct evhttp_request *req, uint64_t id, struct lease *l)
{
	GString *out = g_string_new(NULL);

	l->until_us = standin_now_us() + l->ttl_us;
	g_string_append_printf(out, "{\"lease\":%lu,\"ttl-ms\":%ld}", id,
			       (long)(l->ttl_us / USEC_PER_MSEC));
	send_text(req, 200, out);
}

static void post_lease(struct evhttp_request *req, JsonObject *o)
{
	struct lease *l = g_new0(struct lease, 1);
	uint64_t id = ++next_lease;

	l->ttl_us = json_object_get_int_member(o, "ttl-ms") * USEC_PER_MSEC;
	g_hash_table_insert(standin.leases, GSIZE_TO_POINTER(id), l);
	send_lease(req, id, l);
}

static void post_keep(struct evhttp_request *req, uint64_t id)
{
	struct lease *l = g_hash_table_lookup(standin.leases, GSIZE_TO_POINTER(id));

	if (l == NULL)
		send_text(req, 404, NULL);
	else
		send_lease(req, id, l);
}

struct lease_keys {
	uint64_t lease;
	GPtrArray *keys;
};

static gboolean lease_keys_add(gpointer key, gpointer value, gpointer data)
{
	struct lease_keys *e = data;

	if (((struct item *)value)->lease == e->lease)
		g_ptr_array_add(e->keys, g_strdup(key));
	return FALSE;
}

static void lease_end(uint64_t id)
{
	struct lease_keys e = {.lease = id, .keys = g_ptr_array_new_with_free_func(g_free)};
	guint i;

	g_hash_table_remove(standin.leases, GSIZE_TO_POINTER(id));
	g_tree_foreach(items, lease_keys_add, &e);
	for (i = 0; i < e.keys->len; i++)
		store_remove(g_ptr_array_index(e.keys, i));
	g_ptr_array_unref(e.keys);
}

/* Calls */

static void post(struct evhttp_request *req, const char *path)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	JsonParser *parser = json_parser_new();
	JsonObject *o = NULL;

	if (json_parser_load_from_data(parser, (const char *)evbuffer_pullup(in, -1),
				       (gssize)evbuffer_get_length(in), NULL))
		o = json_node_get_object(json_parser_get_root(parser));
	if (strcmp(path, "/-/kv-txn") == 0 && o != NULL)
		post_txn(req, o);
	else if (strcmp(path, "/-/kv-lease") == 0 && o != NULL)
		post_lease(req, o);
	else if (g_str_has_prefix(path, "/-/kv-keep/"))
		post_keep(req, strtoull(path + strlen("/-/kv-keep/"), NULL, 10));
	else
		send_text(req, 400, NULL);
	g_object_unref(parser);
}

void store_request(struct evhttp_request *req, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	struct evkeyvalq q;

	standin.store_calls++;
	if (mode == STORE_SILENT)
		return;
	if (mode == STORE_REFUSE) {
		send_text(req, 503, NULL);
		return;
	}
	evhttp_parse_query_str(evhttp_uri_get_query(uri) != NULL ? evhttp_uri_get_query(uri) : "",
			       &q);
	if (strcmp(path, "/-/kv-key") == 0)
		get_key(req, &q);
	else if (strcmp(path, "/-/kv-range") == 0)
		get_range(req, &q);
	else if (strcmp(path, "/-/kv-watch") == 0)
		get_watch(req, &q);
	else if (g_str_has_prefix(path, "/-/kv-lease-end/")) {
		lease_end(strtoull(path + strlen("/-/kv-lease-end/"), NULL, 10));
		send_text(req, 200, NULL);
	} else
		post(req, path);
	evhttp_clear_headers(&q);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = standin_now_us();
	GList *ids = g_hash_table_get_keys(standin.leases);
	GList *l;
	guint i = 0;

	for (l = ids; l != NULL; l = l->next) {
		const struct lease *lease = g_hash_table_lookup(standin.leases, l->data);

		if (lease->until_us < now)
			lease_end(GPOINTER_TO_SIZE(l->data));
	}
	g_list_free(ids);
	if (items_to_rewrite != NULL && now >= rewrite_at_us)
		rewrite_later_changes();
	while (i < watches->len && mode != STORE_SILENT) {
		struct watch *w = g_ptr_array_index(watches, i);

		if (!watch_answer(w->req, w->prefix, w->after, now > w->until_us)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(watches, i);
		g_free(w->prefix);
		g_free(w);
	}
}

void store_start(void)
{
	const struct timeval tv = {.tv_usec = TICK_INTERVAL_US};
	struct event *ev = event_new(standin.base, -1, EV_PERSIST, on_tick, NULL);

	items = g_tree_new_full(key_cmp, NULL, g_free, item_free);
	history = g_ptr_array_new();
	watches = g_ptr_array_new();
	standin.leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	event_add(ev, &tv);
}
