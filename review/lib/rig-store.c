/** @file rig-store.c The platform's store (PROTOCOL.md, "The platform's metadata store") and the
 * promoter. */
#include "rig.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 1200

struct item {
	char *value;
	uint64_t revision, created, lease;
};

struct change {
	uint64_t revision;
	char *key, *value;
	uint64_t lease;
};

struct lease {
	int64_t ttl_us, until_us;
};

struct watch {
	struct evhttp_request *req;
	char *prefix;
	uint64_t after;
	int64_t until_us;
};

static GTree *items;
static GPtrArray *changes, *watches;
static GHashTable *leases;
static uint64_t revision = 1, next_lease = 1000;

static void item_free(gpointer data)
{
	struct item *it = data;

	g_free(it->value);
	g_free(it);
}

static gint key_cmp(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

static void add_change(const char *key, const char *value, uint64_t lease)
{
	struct change *c = g_new0(struct change, 1);

	c->revision = revision;
	c->key = g_strdup(key);
	c->value = g_strdup(value);
	c->lease = lease;
	g_ptr_array_add(changes, c);
}

static void put_item(const char *key, const char *value, uint64_t lease)
{
	const struct item *old = g_tree_lookup(items, key);
	struct item *it = g_new0(struct item, 1);

	it->value = g_strdup(value);
	it->revision = revision;
	it->created = old != NULL ? old->created : revision;
	it->lease = lease;
	g_tree_replace(items, g_strdup(key), it);
	add_change(key, value, lease);
	if (g_str_has_prefix(key, "mangoloom/vm/") || g_str_has_prefix(key, "mangoloom/group/"))
		note("store      revision %lu: %s = %s%s%s", revision, key, value,
		     lease != 0 ? ", lease " : "", lease != 0 ? g_strdup_printf("%lu", lease) : "");
}

static void remove_item(const char *key, const char *why)
{
	if (g_tree_lookup(items, key) == NULL)
		return;
	g_tree_remove(items, key);
	add_change(key, NULL, 0);
	note("store      revision %lu: %s is removed%s", revision, key, why);
}

void store_put(const char *key, const char *value, uint64_t lease)
{
	revision++;
	put_item(key, value, lease);
}

void store_remove(const char *key)
{
	revision++;
	remove_item(key, "");
}

char *store_value(const char *key)
{
	const struct item *it = g_tree_lookup(items, key);

	return it != NULL ? it->value : NULL;
}

/* Answers */

static void answer(struct evhttp_request *req, int code, GString *text)
{
	struct evbuffer *out = evbuffer_new();

	if (text != NULL) {
		evbuffer_add(out, text->str, text->len);
		g_string_free(text, TRUE);
	}
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
			  "application/json");
	evhttp_send_reply(req, code, "", out);
	evbuffer_free(out);
}

static void put_json_item(GString *out, const char *key, const char *value, uint64_t rev,
			  uint64_t created, uint64_t lease)
{
	char *b64 = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(out,
			       "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lu,\"create-rev\":%"
			       "lu,\"lease\":%lu",
			       key, b64, rev, created, lease);
	g_free(b64);
}

static const char *param(struct evkeyvalq *q, const char *name)
{
	const char *v = evhttp_find_header(q, name);

	return v != NULL ? v : "";
}

static void get_key(struct evhttp_request *req, struct evkeyvalq *q)
{
	const char *key = param(q, "key");
	const struct item *it = g_tree_lookup(items, key);
	GString *out;

	if (it == NULL) {
		answer(req, 404, NULL);
		return;
	}
	out = g_string_new("");
	put_json_item(out, key, it->value, it->revision, it->created, it->lease);
	g_string_append_printf(out, ",\"as-of\":%lu}", revision);
	answer(req, 200, out);
}

struct range {
	const char *prefix, *after;
	GString *out;
	unsigned n;
};

static gboolean range_add(gpointer key, gpointer value, gpointer data)
{
	const struct item *it = value;
	struct range *r = data;

	if (!g_str_has_prefix(key, r->prefix) || strcmp(key, r->after) <= 0)
		return FALSE;
	if (r->n++ > 0)
		g_string_append_c(r->out, ',');
	put_json_item(r->out, key, it->value, it->revision, it->created, it->lease);
	g_string_append_c(r->out, '}');
	return FALSE;
}

static void get_range(struct evhttp_request *req, struct evkeyvalq *q)
{
	struct range r = {.prefix = param(q, "prefix"), .after = param(q, "after")};

	r.out = g_string_new("{\"items\":[");
	g_tree_foreach(items, range_add, &r);
	g_string_append_printf(r.out, "],\"more-pages\":false,\"as-of\":%lu}", revision);
	answer(req, 200, r.out);
}

static bool watch_answer(struct evhttp_request *req, const char *prefix, uint64_t after,
			 bool timed_out)
{
	GString *out = g_string_new("{\"events\":[");
	unsigned n = 0;
	guint i;

	for (i = 0; i < changes->len; i++) {
		const struct change *c = g_ptr_array_index(changes, i);

		if (c->revision <= after || !g_str_has_prefix(c->key, prefix))
			continue;
		if (n++ > 0)
			g_string_append_c(out, ',');
		if (c->value != NULL) {
			put_json_item(out, c->key, c->value, c->revision, c->revision, c->lease);
			g_string_append_c(out, '}');
		} else {
			g_string_append_printf(out,
					       "{\"key\":\"%s\",\"revision\":%lu,\"removed\":true}",
					       c->key, c->revision);
		}
	}
	if (n == 0 && !timed_out) {
		g_string_free(out, TRUE);
		return false;
	}
	g_string_append_printf(out, "],\"as-of\":%lu}", revision);
	answer(req, 200, out);
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
	w->until_us = now_us() + strtoll(param(q, "wait-ms"), NULL, 10) * 1000;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), watch_closed, NULL);
	g_ptr_array_add(watches, w);
}

static void watches_check(void)
{
	guint i = 0;

	while (i < watches->len) {
		struct watch *w = g_ptr_array_index(watches, i);

		/* A watch from a daemon behind a cut hears nothing. */
		struct vm *vm = NULL;

		if (rig.cut_zone != NULL) {
			char *host;
			ev_uint16_t port;

			evhttp_connection_get_peer(evhttp_request_get_connection(w->req), &host,
						   &port);
			vm = vm_of_port(port);
			if (vm != NULL && is_cut(vm->zone, NULL)) {
				i++;
				continue;
			}
		}
		evhttp_connection_set_closecb(evhttp_request_get_connection(w->req), NULL, NULL);
		if (!watch_answer(w->req, w->prefix, w->after, now_us() >= w->until_us)) {
			evhttp_connection_set_closecb(evhttp_request_get_connection(w->req),
						      watch_closed, NULL);
			i++;
			continue;
		}
		g_ptr_array_remove_index(watches, i);
		g_free(w->prefix);
		g_free(w);
	}
}

/* Writes */

static bool expected_holds(JsonArray *expected)
{
	guint i;

	for (i = 0; expected != NULL && i < json_array_get_length(expected); i++) {
		JsonObject *o = json_array_get_object_element(expected, i);
		const struct item *it =
			g_tree_lookup(items, json_object_get_string_member(o, "key"));

		if ((it != NULL ? it->revision : 0) !=
		    (uint64_t)json_object_get_int_member(o, "revision"))
			return false;
	}
	return true;
}

static GString *conflict(JsonArray *expected)
{
	GString *out = g_string_new("{\"items\":[");
	unsigned n = 0;
	guint i;

	for (i = 0; i < json_array_get_length(expected); i++) {
		const char *key = json_object_get_string_member(
			json_array_get_object_element(expected, i), "key");
		const struct item *it = g_tree_lookup(items, key);

		if (it == NULL)
			continue;
		if (n++ > 0)
			g_string_append_c(out, ',');
		put_json_item(out, key, it->value, it->revision, it->created, it->lease);
		g_string_append_c(out, '}');
	}
	g_string_append(out, "]}");
	return out;
}

/** Runs a transaction. @return the code of its answer */
static int run_txn(const char *body, GString **out)
{
	JsonParser *parser = json_parser_new();
	JsonArray *expected, *puts, *deletes;
	int code = 200;
	JsonObject *o;
	guint i;

	if (!json_parser_load_from_data(parser, body, -1, NULL)) {
		g_object_unref(parser);
		return 400;
	}
	o = json_node_get_object(json_parser_get_root(parser));
	expected = json_object_has_member(o, "expected")
			   ? json_object_get_array_member(o, "expected")
			   : NULL;
	puts = json_object_has_member(o, "puts") ? json_object_get_array_member(o, "puts") : NULL;
	deletes = json_object_has_member(o, "deletes") ? json_object_get_array_member(o, "deletes")
						       : NULL;
	for (i = 0; puts != NULL && i < json_array_get_length(puts); i++) {
		uint64_t lease = (uint64_t)json_object_get_int_member_with_default(
			json_array_get_object_element(puts, i), "lease", 0);

		if (lease != 0 && !g_hash_table_contains(leases, GUINT_TO_POINTER(lease)))
			code = 404;
	}
	if (code == 200 && !expected_holds(expected)) {
		code = 412;
		*out = conflict(expected);
	}
	if (code == 200) {
		revision++;
		for (i = 0; puts != NULL && i < json_array_get_length(puts); i++) {
			JsonObject *p = json_array_get_object_element(puts, i);
			gsize len;
			guchar *bytes =
				g_base64_decode(json_object_get_string_member(p, "value"), &len);
			char *value = g_strndup((const char *)bytes, len);

			put_item(json_object_get_string_member(p, "key"), value,
				 (uint64_t)json_object_get_int_member_with_default(p, "lease", 0));
			g_free(value);
			g_free(bytes);
		}
		for (i = 0; deletes != NULL && i < json_array_get_length(deletes); i++)
			remove_item(json_array_get_string_element(deletes, i), "");
		*out = g_string_new(NULL);
		g_string_printf(*out, "{\"revision\":%lu}", revision);
	}
	g_object_unref(parser);
	return code;
}

static char *lost_body;

void store_run_late(void)
{
	GString *out = NULL;
	int code = run_txn(lost_body, &out);

	note("store      the write that got no answer is run now, late: %d", code);
	rig.register_late = code == 200;
	if (out != NULL)
		g_string_free(out, TRUE);
	g_clear_pointer(&lost_body, g_free);
	watches_check();
}

static bool registers(const char *body, const struct vm *vm)
{
	char *key = g_strdup_printf("\"mangoloom/vm/%s\"", vm->name);
	char *escaped = g_strdup_printf("\"mangoloom\\/vm\\/%s\"", vm->name);
	bool found = strstr(body, key) != NULL || strstr(body, escaped) != NULL;

	g_free(key);
	g_free(escaped);
	return found;
}

static void post_txn(struct evhttp_request *req, const struct vm *vm, char *body)
{
	GString *out = NULL;
	int code;

	if (vm != NULL && vm == rig.lose_register && registers(body, vm)) {
		rig.lose_register = NULL;
		rig.register_lost_us = now_us();
		note("store      the registration of %s gets no answer and is not run yet",
		     vm->name);
		lost_body = g_strdup(body);
		return;
	}
	code = run_txn(body, &out);
	answer(req, code, out);
	watches_check();
}

static void post_lease(struct evhttp_request *req, const char *body)
{
	JsonParser *parser = json_parser_new();
	struct lease *l = g_new0(struct lease, 1);
	GString *out = g_string_new(NULL);

	json_parser_load_from_data(parser, body, -1, NULL);
	l->ttl_us = json_object_get_int_member(json_node_get_object(json_parser_get_root(parser)),
					       "ttl-ms") *
		    1000;
	l->until_us = now_us() + l->ttl_us;
	g_hash_table_insert(leases, GUINT_TO_POINTER(++next_lease), l);
	g_string_printf(out, "{\"lease\":%lu,\"ttl-ms\":%ld}", next_lease,
			(long)(l->ttl_us / 1000));
	g_object_unref(parser);
	answer(req, 200, out);
}

static void post_keep(struct evhttp_request *req, uint64_t id)
{
	struct lease *l = g_hash_table_lookup(leases, GUINT_TO_POINTER(id));
	GString *out;

	if (l == NULL) {
		answer(req, 404, NULL);
		return;
	}
	l->until_us = now_us() + l->ttl_us;
	out = g_string_new(NULL);
	g_string_printf(out, "{\"lease\":%lu,\"ttl-ms\":%ld}", id, (long)(l->ttl_us / 1000));
	answer(req, 200, out);
}

static gboolean collect_of_lease(gpointer key, gpointer value, gpointer data)
{
	void **args = data;

	if (((const struct item *)value)->lease == *(uint64_t *)args[0])
		g_ptr_array_add(args[1], g_strdup(key));
	return FALSE;
}

static void lease_end(uint64_t id, const char *why)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	void *args[] = {&id, keys};
	guint i;

	g_hash_table_remove(leases, GUINT_TO_POINTER(id));
	g_tree_foreach(items, collect_of_lease, args);
	for (i = 0; i < keys->len; i++) {
		revision++;
		remove_item(g_ptr_array_index(keys, i), why);
	}
	g_ptr_array_unref(keys);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	GHashTableIter iter;
	gpointer id, lease;
	bool again = true;

	while (again) {
		again = false;
		g_hash_table_iter_init(&iter, leases);
		while (g_hash_table_iter_next(&iter, &id, &lease)) {
			if (((struct lease *)lease)->until_us > now_us())
				continue;
			lease_end(GPOINTER_TO_UINT(id), ", its lease has ended");
			again = true;
			break;
		}
	}
	watches_check();
}

static void on_request(struct evhttp_request *req, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	char *body = g_strndup((const char *)evbuffer_pullup(in, -1), len), *host;
	struct evkeyvalq q = {0};
	ev_uint16_t port;
	struct vm *vm;

	evhttp_connection_get_peer(evhttp_request_get_connection(req), &host, &port);
	vm = vm_of_port(port);
	/* What is sent across a cut gets no answer and is not run. */
	if (vm == NULL || is_cut(vm->zone, NULL)) {
		g_free(body);
		return;
	}
	if (evhttp_uri_get_query(uri) != NULL)
		evhttp_parse_query_str(evhttp_uri_get_query(uri), &q);
	if (strcmp(path, "/-/kv-key") == 0)
		get_key(req, &q);
	else if (strcmp(path, "/-/kv-range") == 0)
		get_range(req, &q);
	else if (strcmp(path, "/-/kv-watch") == 0)
		get_watch(req, &q);
	else if (strcmp(path, "/-/kv-txn") == 0)
		post_txn(req, vm, body);
	else if (strcmp(path, "/-/kv-lease") == 0)
		post_lease(req, body);
	else if (g_str_has_prefix(path, "/-/kv-keep/"))
		post_keep(req, strtoull(path + strlen("/-/kv-keep/"), NULL, 10));
	else if (g_str_has_prefix(path, "/-/kv-lease-end/")) {
		lease_end(strtoull(path + strlen("/-/kv-lease-end/"), NULL, 10),
			  ", its lease was ended");
		answer(req, 200, g_string_new("{}"));
	} else {
		answer(req, 404, NULL);
	}
	evhttp_clear_headers(&q);
	g_free(body);
}

/* The promoter */

static void on_promotion(struct evhttp_request *req, void *arg)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *token = evhttp_find_header(headers, "X-Mangoloom-Fencing-Token");
	const char *holder = evhttp_find_header(headers, "X-Mangoloom-Duty-Holder");
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	JsonParser *parser = json_parser_new();
	struct member *target = NULL;
	const char *id;
	char *host;
	ev_uint16_t port;
	struct vm *vm;
	unsigned i;

	evhttp_connection_get_peer(evhttp_request_get_connection(req), &host, &port);
	vm = vm_of_port(port);
	if (vm == NULL || is_cut(vm->zone, NULL) ||
	    !json_parser_load_from_data(parser, (const char *)evbuffer_pullup(in, -1), (gssize)len,
					NULL)) {
		g_object_unref(parser);
		return;
	}
	id = json_object_get_string_member(json_node_get_object(json_parser_get_root(parser)),
					   "id");
	for (i = 0; i < N_MEMBERS; i++) {
		if (strcmp(rig.member[i].id, id) == 0)
			target = &rig.member[i];
	}
	note("promotion  %s orders %s, fencing token %s", holder, id, token);
	if (rig.ordered_us == 0)
		rig.ordered_us = now_us();
	g_object_unref(parser);
	if (target == NULL) {
		evhttp_send_reply(req, 409, "", NULL);
		return;
	}
	rig.ordered = target;
	if (target != rig.newest)
		member_promote(target);
	evhttp_send_reply(req, 200, "", NULL);
}

static struct evhttp *serve_on(int *port, void (*cb)(struct evhttp_request *, void *))
{
	struct evhttp *http = evhttp_new(rig.base);
	struct evhttp_bound_socket *s = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	if (s == NULL)
		rig_end(CASE_NOT_RUN, "cannot listen");
	getsockname(evhttp_bound_socket_get_fd(s), (struct sockaddr *)&sin, &len);
	*port = ntohs(sin.sin_port);
	evhttp_set_gencb(http, cb, NULL);
	return http;
}

/** Members write their entries about every HEARTBEAT_MS; one that does not reach the store is taken
 * off. */
static void on_heartbeat(evutil_socket_t fd, short what, void *arg)
{
	static unsigned missed[N_MEMBERS];
	unsigned i;

	for (i = 0; i < N_MEMBERS; i++) {
		struct member *m = &rig.member[i];
		char *key = g_strdup_printf("servers/%s", m->id);

		missed[i] = is_cut(m->zone, NULL) ? missed[i] + 1 : 0;
		if (missed[i] == 3 && m->listed) {
			m->listed = false;
			store_remove(key);
		}
		g_free(key);
	}
}

void store_write_config(void)
{
	store_put("op/config",
		  "{\"version\":7,\"routes\":["
		  "{\"name\":\"r-1\",\"host\":\"" DB_PRIMARY
		  "\",\"prefix\":\"/\",\"kind\":\"primary\",\"timeout-ms\":800,"
		  "\"target-latency-ms\":100,\"priority\":1,\"service\":\"" SERVICE
		  "\",\"max-attempts\":2,\"allow-anonymous\":false},"
		  "{\"name\":\"r-2\",\"host\":\"" DB_BOUNDED
		  "\",\"prefix\":\"/\",\"kind\":\"bounded_staleness\","
		  "\"timeout-ms\":1200,\"target-latency-ms\":300,\"priority\":2,\"service\":"
		  "\"" SERVICE
		  "\",\"max-attempts\":2,\"max-staleness-ms\":1500,\"allow-anonymous\":false}],"
		  "\"services\":[{\"name\":\"" SERVICE "\",\"health-path\":\"/"
		  "health\",\"connection-limit\":16,\"protocol\":\"h1\",\"tls-enabled\":false,"
		  "\"synchronous-replicas\":0}],"
		  "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-"
		  "timeout-ms\":3000,"
		  "\"idle-timeout-ms\":15000,\"transaction-idle-ms\":3000},"
		  "\"tenants\":[{\"name\":\"" TEAM "\",\"api-keys\":[\"" KEY
		  "\"],\"priority\":1,\"rate-per-s\":1000,\"burst\":1000}]}",
		  0);
}

void store_start(void)
{
	const struct timeval tick = {.tv_usec = 10000};
	const struct timeval beat = {.tv_sec = HEARTBEAT_MS / 1000,
				     .tv_usec = HEARTBEAT_MS % 1000 * 1000};

	items = g_tree_new_full(key_cmp, NULL, g_free, item_free);
	changes = g_ptr_array_new();
	watches = g_ptr_array_new();
	leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	serve_on(&rig.store_port, on_request);
	serve_on(&rig.promoter_port, on_promotion);
	event_add(event_new(rig.base, -1, EV_PERSIST, on_tick, NULL), &tick);
	event_add(event_new(rig.base, -1, EV_PERSIST, on_heartbeat, NULL), &beat);
}
