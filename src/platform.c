/** @file platform.c Client of etcd's JSON gateway, on evhttp. */
#include "platform.h"

#include "json-text.h"
#include "log.h"
#include "net.h"
#include "stat.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

struct platform {
	struct event_base *base;
	char endpoint[SETTINGS_ADDRESSES_MAX][ADDRESS_SIZE];
	unsigned n;
	unsigned next; /**< index of the endpoint for the next call; advances after a failure */
	unsigned timeout_ms;
};

struct platform_call {
	struct platform *p;
	platform_done cb;
	void *arg;
};

struct platform_watch {
	struct platform *p;
	struct evhttp_request *req;
	platform_watch_cb cb;
	void *arg;
	GString *line;
};

struct platform *platform_create(struct event_base *base, const char (*endpoints)[ADDRESS_SIZE],
				 unsigned n, unsigned timeout_ms)
{
	struct platform *p = g_new0(struct platform, 1);

	p->base = base;
	p->n = MIN(n, G_N_ELEMENTS(p->endpoint));
	memcpy(p->endpoint, endpoints, p->n * sizeof(p->endpoint[0]));
	p->timeout_ms = timeout_ms;
	return p;
}

void platform_free(struct platform *p)
{
	g_free(p);
}

static char *encoded(const char *text)
{
	return g_base64_encode((const guchar *)text, strlen(text));
}

static void add_encoded(JsonObject *o, const char *name, const char *text)
{
	char *b64 = encoded(text);

	json_object_set_string_member(o, name, b64);
	g_free(b64);
}

static char *decoded_member(JsonObject *o, const char *name)
{
	const char *b64 = json_object_get_string_member_with_default(o, name, "");
	char *text;
	gsize len;

	text = (char *)g_base64_decode(b64, &len);
	text = g_realloc(text, len + 1);
	text[len] = '\0';
	return text;
}

/** Reads an integer; the gateway encodes 64-bit integers as strings. */
static int64_t int_member(JsonObject *o, const char *name)
{
	JsonNode *node = json_object_get_member(o, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node))
		return 0;
	if (json_node_get_value_type(node) == G_TYPE_STRING)
		return strtoll(json_node_get_string(node), NULL, 10);
	return json_node_get_int(node);
}

static char *object_text(JsonObject *o)
{
	JsonNode *node = json_node_init_object(json_node_alloc(), o);
	char *text = json_to_string(node, FALSE);

	json_node_unref(node);
	return text;
}

void platform_kv_free(gpointer data)
{
	struct platform_kv *kv = data;

	g_free(kv->key);
	g_free(kv->value);
	g_free(kv);
}

static void answer_init(struct platform_answer *a)
{
	memset(a, 0, sizeof(*a));
	a->kvs = g_ptr_array_new_with_free_func(platform_kv_free);
}

static void answer_clear(struct platform_answer *a)
{
	g_ptr_array_unref(a->kvs);
}

static void parse_kv(struct platform_answer *a, JsonObject *o, bool deleted)
{
	struct platform_kv *kv = g_new0(struct platform_kv, 1);

	kv->key = decoded_member(o, "key");
	kv->value = deleted ? NULL : decoded_member(o, "value");
	kv->mod_revision = int_member(o, "mod_revision");
	g_ptr_array_add(a->kvs, kv);
}

static JsonObject *object_member(JsonObject *o, const char *name)
{
	JsonNode *node = o != NULL ? json_object_get_member(o, name) : NULL;

	return node != NULL && JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}

static JsonArray *array_member(JsonObject *o, const char *name)
{
	JsonNode *node = o != NULL ? json_object_get_member(o, name) : NULL;

	return node != NULL && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
}

static void parse_answer(struct platform_answer *a, JsonObject *o)
{
	JsonArray *kvs = array_member(o, "kvs");
	JsonObject *header = object_member(o, "header");
	guint i;

	a->ok = true;
	a->revision = header != NULL ? int_member(header, "revision") : 0;
	a->succeeded = json_object_get_boolean_member_with_default(o, "succeeded", FALSE);
	for (i = 0; kvs != NULL && i < json_array_get_length(kvs); i++)
		parse_kv(a, json_array_get_object_element(kvs, i), false);
}

static void call_done(struct evhttp_request *req, void *arg)
{
	struct platform_call *call = arg;
	JsonParser *parser = json_parser_new();
	struct platform_answer a;

	answer_init(&a);
	if (req != NULL && evhttp_request_get_response_code(req) == 200) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);
		size_t len = evbuffer_get_length(in);
		const char *body = (const char *)evbuffer_pullup(in, -1);

		if (len > 0 && json_text_load(parser, body, (gssize)len, NULL) &&
		    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
			parse_answer(&a, json_node_get_object(json_parser_get_root(parser)));
	}
	if (!a.ok) {
		stat_add(STAT_PLATFORM_FAILED, 1);
		call->p->next = (call->p->next + 1) % call->p->n;
	}
	call->cb(&a, call->arg);
	answer_clear(&a);
	g_object_unref(parser);
	g_free(call);
}

static struct evhttp_connection *open_endpoint(struct platform *p)
{
	char host[ADDRESS_SIZE];
	const char *port = net_split(p->endpoint[p->next], host);

	return evhttp_connection_base_new(p->base, NULL, host, (unsigned short)atoi(port));
}

static void post(struct evhttp_connection *conn, struct evhttp_request *req, const char *path,
		 const char *body)
{
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", "platform");
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
			  "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	stat_add(STAT_PLATFORM_CALLS, 1);
	evhttp_make_request(conn, req, EVHTTP_REQ_POST, path);
}

static void platform_post(struct platform *p, const char *path, const char *body, platform_done cb,
			  void *arg)
{
	struct platform_call *call = g_new0(struct platform_call, 1);
	struct evhttp_connection *conn = open_endpoint(p);
	struct timeval tv = {.tv_sec = p->timeout_ms / 1000,
			     .tv_usec = (p->timeout_ms % 1000) * 1000};
	struct evhttp_request *req;

	call->p = p;
	call->cb = cb;
	call->arg = arg;
	evhttp_connection_set_timeout_tv(conn, &tv);
	evhttp_connection_free_on_completion(conn);
	req = evhttp_request_new(call_done, call);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	post(conn, req, path, body);
}

static JsonObject *range_object(const char *key, const char *end)
{
	JsonObject *o = json_object_new();

	add_encoded(o, "key", key);
	if (end != NULL)
		add_encoded(o, "range_end", end);
	return o;
}

void platform_range(struct platform *p, const char *key, const char *end, platform_done cb,
		    void *arg)
{
	JsonObject *o = range_object(key, end);
	char *body = object_text(o);

	platform_post(p, "/v3/kv/range", body, cb, arg);
	g_free(body);
	json_object_unref(o);
}

void platform_revision(struct platform *p, const char *key, platform_done cb, void *arg)
{
	JsonObject *o = range_object(key, NULL);
	char *body;

	json_object_set_boolean_member(o, "keys_only", TRUE);
	body = object_text(o);
	platform_post(p, "/v3/kv/range", body, cb, arg);
	g_free(body);
	json_object_unref(o);
}

static JsonObject *write_object(const struct platform_write *w)
{
	JsonObject *op = json_object_new();
	JsonObject *request = json_object_new();

	add_encoded(request, "key", w->key);
	if (w->value != NULL)
		add_encoded(request, "value", w->value);
	json_object_set_object_member(op, w->value != NULL ? "request_put" : "request_delete_range",
				      request);
	return op;
}

void platform_cas(struct platform *p, const char *key, int64_t mod_revision,
		  const struct platform_write *writes, unsigned n, platform_done cb, void *arg)
{
	JsonObject *o = json_object_new();
	JsonObject *compare = json_object_new();
	JsonArray *compares = json_array_new();
	JsonArray *success = json_array_new();
	char *revision = g_strdup_printf("%ld", (long)mod_revision);
	char *body;
	unsigned i;

	add_encoded(compare, "key", key);
	json_object_set_string_member(compare, "target", "MOD");
	json_object_set_string_member(compare, "result", "EQUAL");
	json_object_set_string_member(compare, "mod_revision", revision);
	json_array_add_object_element(compares, compare);
	for (i = 0; i < n; i++)
		json_array_add_object_element(success, write_object(&writes[i]));
	json_object_set_array_member(o, "compare", compares);
	json_object_set_array_member(o, "success", success);
	body = object_text(o);
	platform_post(p, "/v3/kv/txn", body, cb, arg);
	g_free(body);
	g_free(revision);
	json_object_unref(o);
}

static void handle_events(struct platform_watch *w, JsonObject *result)
{
	JsonArray *events = array_member(result, "events");
	JsonObject *header = object_member(result, "header");
	struct platform_answer a;
	guint i;

	if (events == NULL)
		return;
	answer_init(&a);
	a.ok = true;
	a.revision = header != NULL ? int_member(header, "revision") : 0;
	for (i = 0; i < json_array_get_length(events); i++) {
		JsonObject *event = json_array_get_object_element(events, i);
		const char *type = json_object_get_string_member_with_default(event, "type", "PUT");
		JsonObject *kv = object_member(event, "kv");

		if (kv != NULL)
			parse_kv(&a, kv, strcmp(type, "DELETE") == 0);
	}
	w->cb(&a, w->arg);
	answer_clear(&a);
}

static void handle_line(struct platform_watch *w, const char *line)
{
	JsonParser *parser = json_parser_new();

	if (json_text_load(parser, line, -1, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
		JsonObject *result =
			object_member(json_node_get_object(json_parser_get_root(parser)), "result");

		if (result != NULL)
			handle_events(w, result);
	}
	g_object_unref(parser);
}

static void watch_chunk(struct evhttp_request *req, void *arg)
{
	struct platform_watch *w = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	char *end;

	g_string_append_len(w->line, (const char *)evbuffer_pullup(in, -1), (gssize)len);
	evbuffer_drain(in, len);
	while ((end = strchr(w->line->str, '\n')) != NULL) {
		char *line = g_strndup(w->line->str, (gsize)(end - w->line->str));

		g_string_erase(w->line, 0, end - w->line->str + 1);
		handle_line(w, line);
		g_free(line);
	}
}

static void watch_free(struct platform_watch *w)
{
	g_string_free(w->line, TRUE);
	g_free(w);
}

static void watch_done(struct evhttp_request *req, void *arg)
{
	struct platform_watch *w = arg;
	platform_watch_cb cb = w->cb;
	void *cb_arg = w->arg;

	w->p->next = (w->p->next + 1) % w->p->n;
	watch_free(w);
	cb(NULL, cb_arg);
}

struct platform_watch *platform_watch(struct platform *p, const char *key, const char *end,
				      int64_t revision, platform_watch_cb cb, void *arg)
{
	struct platform_watch *w = g_new0(struct platform_watch, 1);
	JsonObject *o = json_object_new();
	JsonObject *create = range_object(key, end);
	char *start = g_strdup_printf("%ld", (long)revision);
	struct evhttp_connection *conn;
	char *body;

	w->p = p;
	w->cb = cb;
	w->arg = arg;
	w->line = g_string_new(NULL);
	conn = open_endpoint(p);
	/* A watch may be silent for any time, so it gets the longest time-out. */
	evhttp_connection_set_timeout(conn, G_MAXINT32 / 1000);
	evhttp_connection_free_on_completion(conn);
	json_object_set_string_member(create, "start_revision", start);
	json_object_set_object_member(o, "create_request", create);
	body = object_text(o);
	w->req = evhttp_request_new(watch_done, w);
	evhttp_request_set_chunked_cb(w->req, watch_chunk);
	stat_add(STAT_PLATFORM_WATCHES, 1);
	post(conn, w->req, "/v3/watch", body);
	g_free(body);
	g_free(start);
	json_object_unref(o);
	return w;
}

void platform_watch_stop(struct platform_watch *w)
{
	/* Closes the connection without calling watch_done(). */
	evhttp_cancel_request(w->req);
	watch_free(w);
}
