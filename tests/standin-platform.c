/**
 * @file standin-platform.c
 * Simulates the platform's key-value service in memory: the part of etcd's JSON gateway that
 * mangoloom uses. POST /control sets faults, by a JSON object with any of these members:
 *
 *   "delay_ms": N          delay answers
 *   "down": bool           answer 503 and close watches
 *   "silent": bool         do not answer
 *   "lose_answers": bool   execute transactions, but answer 503
 *   "mute_watches": bool   send no events to watches
 *
 * GET /stats returns the number of calls by kind.
 */
#include "kernel.h"

#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct kv {
	char *key;
	char *value; /**< base64, as received; NULL for a delete */
	int64_t revision;
};

struct watch {
	TAILQ_ENTRY(watch) link;
	struct evhttp_request *req;
	char *key, *end;
};
TAILQ_HEAD(watches, watch);

static struct {
	struct event_base *base;
	GTree *kvs;
	GPtrArray *events; /**< of struct kv, by revision */
	int64_t revision;
	struct watches watches;
	int64_t delay_ms;
	bool down, silent, lose_answers, mute_watches;
	int64_t ranges, txns, watches_opened;
} db = {.watches = TAILQ_HEAD_INITIALIZER(db.watches)};

static int compare(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

static char *decode_member(JsonObject *o, const char *name)
{
	gsize len;
	char *raw = (char *)g_base64_decode(json_object_get_string_member_with_default(o, name, ""),
					    &len);
	char *text = g_strndup(raw, len);

	g_free(raw);
	return text;
}

static void kv_put(const char *key, const char *value)
{
	struct kv *e = g_new0(struct kv, 1);

	e->key = g_strdup(key);
	e->value = g_strdup(value);
	e->revision = db.revision;
	g_ptr_array_add(db.events, e);
	if (value != NULL)
		g_tree_replace(db.kvs, g_strdup(key), e);
	else
		g_tree_remove(db.kvs, key);
}

static void append_kv(GString *out, const struct kv *e)
{
	char *key = g_base64_encode((const guchar *)e->key, strlen(e->key));

	g_string_append_printf(out, "{\"key\":\"%s\",\"value\":\"%s\",\"mod_revision\":\"%ld\"}",
			       key, e->value != NULL ? e->value : "", (long)e->revision);
	g_free(key);
}

static bool in_range(const char *key, const char *from, const char *end)
{
	if (end[0] == '\0')
		return strcmp(key, from) == 0;
	return strcmp(key, from) >= 0 && strcmp(key, end) < 0;
}

struct range_walk {
	const char *from, *end;
	GString *out;
	unsigned n;
};

static gboolean range_one(gpointer key, gpointer value, gpointer data)
{
	struct range_walk *w = data;

	if (!in_range(key, w->from, w->end))
		return FALSE;
	if (w->n++ > 0)
		g_string_append_c(w->out, ',');
	append_kv(w->out, value);
	return FALSE;
}

static char *serve_range(JsonObject *o)
{
	char *from = decode_member(o, "key"), *end = decode_member(o, "range_end");
	struct range_walk w = {.from = from, .end = end, .out = g_string_new(NULL)};

	db.ranges++;
	g_string_append_printf(w.out, "{\"header\":{\"revision\":\"%ld\"},\"kvs\":[",
			       (long)db.revision);
	g_tree_foreach(db.kvs, range_one, &w);
	g_string_append_printf(w.out, "],\"count\":\"%u\"}", w.n);
	g_free(from);
	g_free(end);
	return g_string_free(w.out, FALSE);
}

static void watch_send_events(struct watch *w, guint first)
{
	GString *out = g_string_new(NULL);
	struct evbuffer *buf;
	unsigned n = 0;
	guint i;

	g_string_append_printf(out, "{\"result\":{\"header\":{\"revision\":\"%ld\"},\"events\":[",
			       (long)db.revision);
	for (i = first; i < db.events->len; i++) {
		const struct kv *e = g_ptr_array_index(db.events, i);

		if (!in_range(e->key, w->key, w->end))
			continue;
		g_string_append_printf(out, "%s{\"type\":\"%s\",\"kv\":", n++ > 0 ? "," : "",
				       e->value != NULL ? "PUT" : "DELETE");
		append_kv(out, e);
		g_string_append_c(out, '}');
	}
	g_string_append(out, "]}}\n");
	buf = evbuffer_new();
	evbuffer_add(buf, out->str, out->len);
	if (n > 0 && !db.mute_watches)
		evhttp_send_reply_chunk(w->req, buf);
	evbuffer_free(buf);
	g_string_free(out, TRUE);
}

static bool txn_conditions_hold(JsonObject *o)
{
	JsonArray *compares = json_object_get_array_member(o, "compare");
	guint i;

	for (i = 0; i < json_array_get_length(compares); i++) {
		JsonObject *c = json_array_get_object_element(compares, i);
		char *key = decode_member(c, "key");
		const struct kv *e = g_tree_lookup(db.kvs, key);
		long expected_revision =
			strtol(json_object_get_string_member_with_default(c, "mod_revision", "0"),
			       NULL, 10);

		g_free(key);
		if ((e != NULL ? e->revision : 0) != expected_revision)
			return false;
	}
	return true;
}

static char *serve_txn(JsonObject *o)
{
	JsonArray *ops = json_object_get_array_member(o, "success");
	bool succeeded = txn_conditions_hold(o);
	guint first = db.events->len;
	struct watch *w;
	guint i;

	db.txns++;
	if (succeeded)
		db.revision++;
	for (i = 0; succeeded && i < json_array_get_length(ops); i++) {
		JsonObject *op = json_array_get_object_element(ops, i);
		bool is_put = json_object_has_member(op, "request_put");
		JsonObject *req = json_object_get_object_member(
			op, is_put ? "request_put" : "request_delete_range");
		char *key = decode_member(req, "key");

		kv_put(key, is_put ? json_object_get_string_member_with_default(req, "value", "")
				   : NULL);
		g_free(key);
	}
	if (succeeded && !db.down) {
		TAILQ_FOREACH(w, &db.watches, link)
			watch_send_events(w, first);
	}
	return g_strdup_printf("{\"header\":{\"revision\":\"%ld\"},\"succeeded\":%s}",
			       (long)db.revision, succeeded ? "true" : "false");
}

static void watch_closed(struct evhttp_connection *conn, void *arg)
{
	struct watch *w = arg;

	TAILQ_REMOVE(&db.watches, w, link);
	g_free(w->key);
	g_free(w->end);
	g_free(w);
}

static void serve_watch(struct evhttp_request *req, JsonObject *o)
{
	JsonObject *create = json_object_get_object_member(o, "create_request");
	long start =
		strtol(json_object_get_string_member_with_default(create, "start_revision", "0"),
		       NULL, 10);
	struct watch *w = g_new0(struct watch, 1);
	struct evbuffer *buf = evbuffer_new();
	guint first = 0;

	db.watches_opened++;
	w->req = req;
	w->key = decode_member(create, "key");
	w->end = decode_member(create, "range_end");
	TAILQ_INSERT_TAIL(&db.watches, w, link);
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), watch_closed, w);
	evhttp_send_reply_start(req, 200, "OK");
	evbuffer_add_printf(buf,
			    "{\"result\":{\"header\":{\"revision\":\"%ld\"},\"created\":true}}\n",
			    (long)db.revision);
	evhttp_send_reply_chunk(req, buf);
	evbuffer_free(buf);
	while (first < db.events->len &&
	       ((struct kv *)g_ptr_array_index(db.events, first))->revision < start)
		first++;
	watch_send_events(w, first);
}

struct delayed_reply {
	struct evhttp_request *req;
	char *body;
	bool lose_answer;
};

static void send_delayed_reply(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_reply *l = arg;
	struct evbuffer *buf = evbuffer_new();

	evbuffer_add(buf, l->body, strlen(l->body));
	if (l->lose_answer)
		evhttp_send_error(l->req, 503, "the answer is lost");
	else
		evhttp_send_reply(l->req, 200, "OK", buf);
	evbuffer_free(buf);
	g_free(l->body);
	g_free(l);
}

static void reply(struct evhttp_request *req, char *body, bool lose_answer)
{
	struct delayed_reply *l = g_new0(struct delayed_reply, 1);
	struct timeval tv = {.tv_sec = db.delay_ms / 1000, .tv_usec = (db.delay_ms % 1000) * 1000};

	l->req = req;
	l->body = body;
	l->lose_answer = lose_answer;
	if (db.delay_ms == 0)
		send_delayed_reply(-1, 0, l);
	else
		event_base_once(db.base, -1, EV_TIMEOUT, send_delayed_reply, l, &tv);
}

static void close_watches(void)
{
	struct watch *w, *next;

	TAILQ_FOREACH_SAFE(w, &db.watches, link, next) {
		struct evhttp_request *req = w->req;

		evhttp_connection_set_closecb(evhttp_request_get_connection(req), NULL, NULL);
		evhttp_send_reply_end(req);
		watch_closed(NULL, w);
	}
}

static void apply_control(JsonObject *o)
{
	db.delay_ms = json_object_get_int_member_with_default(o, "delay_ms", db.delay_ms);
	db.down = json_object_get_boolean_member_with_default(o, "down", db.down);
	db.silent = json_object_get_boolean_member_with_default(o, "silent", db.silent);
	db.lose_answers =
		json_object_get_boolean_member_with_default(o, "lose_answers", db.lose_answers);
	db.mute_watches =
		json_object_get_boolean_member_with_default(o, "mute_watches", db.mute_watches);
	if (db.down)
		close_watches();
}

static void serve(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_request_get_uri(req);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	JsonParser *parser = json_parser_new();
	JsonObject *o = NULL;

	if (len > 0 && json_parser_load_from_data(parser, (const char *)evbuffer_pullup(in, -1),
						  (gssize)len, NULL))
		o = json_node_get_object(json_parser_get_root(parser));
	if (strcmp(path, "/stats") == 0) {
		reply(req,
		      g_strdup_printf("{\"ranges\":%ld,\"txns\":%ld,\"watches\":%ld}",
				      (long)db.ranges, (long)db.txns, (long)db.watches_opened),
		      false);
	} else if (o == NULL) {
		evhttp_send_error(req, 400, "no JSON");
	} else if (strcmp(path, "/control") == 0) {
		apply_control(o);
		reply(req, g_strdup("{}"), false);
	} else if (db.silent) {
		g_object_unref(parser);
		return;
	} else if (db.down) {
		evhttp_send_error(req, 503, "down");
	} else if (strcmp(path, "/v3/kv/range") == 0) {
		reply(req, serve_range(o), false);
	} else if (strcmp(path, "/v3/kv/txn") == 0) {
		reply(req, serve_txn(o), db.lose_answers);
	} else if (strcmp(path, "/v3/watch") == 0) {
		serve_watch(req, o);
	} else {
		evhttp_send_error(req, 404, "not served");
	}
	g_object_unref(parser);
}

/** Stores the list of VMs from file @a path under the key platform/vms. */
static void load_vms(const char *path)
{
	char *text, *b64;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL))
		return;
	b64 = g_base64_encode((const guchar *)text, len);
	db.revision++;
	kv_put("platform/vms", b64);
	g_free(b64);
	g_free(text);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", "port on 127.0.0.1");
	struct arg_file *vms = arg_file0(NULL, "vms", "FILE", "list of VMs, as JSON");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, vms, end};
	struct evhttp *http;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "standin-platform");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	db.base = event_base_new();
	db.kvs = g_tree_new_full(compare, NULL, g_free, NULL);
	db.events = g_ptr_array_new();
	db.revision = 1;
	if (vms->count > 0)
		load_vms(vms->filename[0]);
	http = evhttp_new(db.base);
	evhttp_set_max_body_size(http, 8 << 20);
	if (evhttp_bind_socket(http, "127.0.0.1", (unsigned short)port->ival[0]) != 0) {
		fprintf(stderr, "standin-platform: cannot listen\n");
		return 1;
	}
	evhttp_set_gencb(http, serve, NULL);
	event_base_dispatch(db.base);
	return 0;
}
