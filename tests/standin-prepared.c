/**
 * @file standin-prepared.c
 * Simulates, in one process, the services that mangoloom uses on the prepared platform: the
 * key-value store with leases, watches and conditional writes; the promoter, which promotes a
 * replica; and the members of one database group.
 *
 * standin-prepared --store PORT --promoter PORT --service NAME --member NAME:PORT[:ADVERTISED]...
 *
 * POST /fault on the store's port injects faults or changes data. Members of its JSON object:
 *
 *   "store": "ok" | "refuse" | "silent"   answer normally, with 503, or not at all
 *   "lose_writes": N                      execute the next N transactions, but do not answer
 *   "refuse_promotions": bool             refuse to promote
 *   "compact": any                        drop the change history and end all watches
 *   "copy": any                           save a copy of the store
 *   "restore": MS                         restore the copy, rewrite later changes after MS
 *   "put": KEY, "value": TEXT             write a key
 *   "remove": KEY                         delete a key
 *   "member": NAME                        apply the following to one member:
 *   "mode": "up" | "down" | "dark"        run, refuse connections, or go silent
 *   "lose_answers": N                     do not answer the next N statements
 *   "cut_answers": N                      break off the next N answers
 *   "busy": N                             refuse the next N statements as BUSY
 *   "lag_ms": MS                          set the replication lag
 *   "slots": N, "work_ms": MS             run N statements at a time, each for MS; 0: at once
 *   "limit": N                            reset connections above N; 0: none
 *   "draining": bool                      set the state in its store entry
 *
 * GET /report returns counters, the members and the primary's log.
 */
#include "standin-prepared.h"

#include "net.h"

#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct standin standin;

static void put_members(JsonBuilder *b)
{
	unsigned i;

	json_builder_set_member_name(b, "members");
	json_builder_begin_array(b);
	for (i = 0; i < standin.n; i++) {
		const struct standin_member *m = &standin.member[i];

		json_builder_begin_object(b);
		json_builder_set_member_name(b, "name");
		json_builder_add_string_value(b, m->name);
		json_builder_set_member_name(b, "primary");
		json_builder_add_boolean_value(b, m->primary);
		json_builder_set_member_name(b, "term");
		json_builder_add_int_value(b, (gint64)m->term);
		json_builder_set_member_name(b, "lsn");
		json_builder_add_int_value(b, m->log->len);
		json_builder_set_member_name(b, "connections");
		json_builder_add_int_value(b, m->n_conns);
		json_builder_set_member_name(b, "statements");
		json_builder_add_int_value(b, m->statements);
		json_builder_set_member_name(b, "openings");
		json_builder_add_int_value(b, m->openings);
		json_builder_set_member_name(b, "resets");
		json_builder_add_int_value(b, m->resets);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}

/** Adds the request ids in the log of the primary with the highest term, in order. */
static void put_log(JsonBuilder *b)
{
	const struct standin_member *m = member_newest_primary();
	guint i;

	json_builder_set_member_name(b, "log");
	json_builder_begin_array(b);
	for (i = 0; m != NULL && i < m->log->len; i++)
		json_builder_add_string_value(
			b, ((struct standin_record *)g_ptr_array_index(m->log, i))->request);
	json_builder_end_array(b);
}

static void put_number(JsonBuilder *b, const char *name, gint64 value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, value);
}

static void on_report(struct evhttp_request *req, void *arg)
{
	struct evbuffer *out = evbuffer_new();
	JsonBuilder *b = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(b);
	put_number(b, "promotions", standin.promotions);
	put_number(b, "token_regressed", standin.token_regressed);
	put_number(b, "foreign_tx", standin.foreign_tx);
	put_number(b, "replaced_commits", standin.replaced_commits);
	put_number(b, "store_calls", standin.store_calls);
	put_number(b, "leases", (gint64)g_hash_table_size(standin.leases));
	put_members(b);
	put_log(b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	text = json_to_string(root, FALSE);
	evbuffer_add(out, text, strlen(text));
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
	g_free(text);
	json_node_unref(root);
	g_object_unref(b);
}

static void apply_member_fault(JsonObject *o)
{
	struct standin_member *m =
		member_by_name(json_object_get_string_member_with_default(o, "member", ""));

	if (m == NULL)
		return;
	if (json_object_has_member(o, "mode"))
		member_set_mode(m, json_object_get_string_member(o, "mode"));
	if (json_object_has_member(o, "lose_answers"))
		m->lose_answers = (int)json_object_get_int_member(o, "lose_answers");
	if (json_object_has_member(o, "cut_answers"))
		m->cut_answers = (int)json_object_get_int_member(o, "cut_answers");
	if (json_object_has_member(o, "busy"))
		m->busy = (int)json_object_get_int_member(o, "busy");
	if (json_object_has_member(o, "lag_ms"))
		m->lag_us = json_object_get_int_member(o, "lag_ms") * USEC_PER_MSEC;
	if (json_object_has_member(o, "slots")) {
		m->slots = CLAMP((int)json_object_get_int_member(o, "slots"), 0, STANDIN_SLOTS_MAX);
		member_register(m);
	}
	if (json_object_has_member(o, "work_ms"))
		m->work_ms = (int)json_object_get_int_member(o, "work_ms");
	if (json_object_has_member(o, "limit"))
		m->limit = (int)json_object_get_int_member(o, "limit");
	if (json_object_has_member(o, "draining")) {
		m->draining = json_object_get_boolean_member(o, "draining");
		member_register(m);
	}
}

static void on_fault(struct evhttp_request *req, void *arg)
{
	JsonParser *parser = json_parser_new();
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	JsonObject *o;

	if (json_parser_load_from_data(parser, (const char *)evbuffer_pullup(in, -1),
				       (gssize)evbuffer_get_length(in), NULL)) {
		o = json_node_get_object(json_parser_get_root(parser));
		if (json_object_has_member(o, "store"))
			store_set_mode(json_object_get_string_member(o, "store"));
		if (json_object_has_member(o, "lose_writes"))
			standin.lose_writes = (int)json_object_get_int_member(o, "lose_writes");
		if (json_object_has_member(o, "refuse_promotions"))
			standin.refuse_promotions =
				json_object_get_boolean_member(o, "refuse_promotions");
		if (json_object_has_member(o, "compact"))
			store_compact();
		if (json_object_has_member(o, "copy"))
			store_copy();
		if (json_object_has_member(o, "restore"))
			store_restore(json_object_get_int_member(o, "restore") * USEC_PER_MSEC);
		if (json_object_has_member(o, "put"))
			store_put(json_object_get_string_member(o, "put"),
				  json_object_get_string_member(o, "value"), 0);
		if (json_object_has_member(o, "remove"))
			store_remove(json_object_get_string_member(o, "remove"));
		apply_member_fault(o);
	}
	g_object_unref(parser);
	evhttp_send_reply(req, 200, "OK", NULL);
}

static struct evhttp *serve_on(const char *port, void (*cb)(struct evhttp_request *, void *))
{
	struct evhttp *http = evhttp_new(standin.base);

	if (evhttp_bind_socket(http, "127.0.0.1", (uint16_t)atoi(port)) != 0) {
		fprintf(stderr, "standin-prepared: cannot listen on %s\n", port);
		exit(1);
	}
	evhttp_set_gencb(http, cb, NULL);
	return http;
}

static void on_promotion(struct evhttp_request *req, void *arg)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *token = evhttp_find_header(headers, "X-Mangoloom-Fencing-Token");
	const char *holder = evhttp_find_header(headers, "X-Mangoloom-Duty-Holder");
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	JsonParser *parser = json_parser_new();
	struct standin_member *m = NULL;

	if (json_parser_load_from_data(parser, (const char *)evbuffer_pullup(in, -1),
				       (gssize)evbuffer_get_length(in), NULL))
		m = member_by_name(json_object_get_string_member_with_default(
			json_node_get_object(json_parser_get_root(parser)), "id", ""));
	g_object_unref(parser);
	if (standin.refuse_promotions || m == NULL || token == NULL || holder == NULL ||
	    m->mode != MEMBER_UP) {
		evhttp_send_reply(req, 409, "Conflict", NULL);
		return;
	}
	if (strtoull(token, NULL, 10) < standin.token)
		standin.token_regressed++;
	standin.token = strtoull(token, NULL, 10);
	if (!m->primary || m != member_newest_primary())
		member_promote(m);
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void add_member(const char *text)
{
	struct standin_member *m = &standin.member[standin.n++];
	const char *colon = strchr(text, ':');

	g_strlcpy(m->name, text, (gsize)(colon - text) + 1);
	m->port = m->advertised_port = atoi(colon + 1);
	colon = strchr(colon + 1, ':');
	if (colon != NULL)
		m->advertised_port = atoi(colon + 1);
	m->primary = standin.n == 1;
	m->term = 1;
	m->log = g_ptr_array_new();
	m->lag_us = 5 * USEC_PER_MSEC;
}

int main(int argc, char **argv)
{
	const char *store = NULL, *promoter = NULL;
	struct evhttp *http;
	int i;

	standin.base = event_base_new();
	for (i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--store") == 0)
			store = argv[i + 1];
		else if (strcmp(argv[i], "--promoter") == 0)
			promoter = argv[i + 1];
		else if (strcmp(argv[i], "--service") == 0)
			standin.service = argv[i + 1];
		else if (strcmp(argv[i], "--member") == 0)
			add_member(argv[i + 1]);
	}
	if (store == NULL || promoter == NULL || standin.service == NULL || standin.n == 0) {
		fprintf(stderr,
			"standin-prepared: needs --store, --promoter, --service and --member\n");
		return 2;
	}
	store_start();
	http = serve_on(store, store_request);
	evhttp_set_cb(http, "/fault", on_fault, NULL);
	evhttp_set_cb(http, "/report", on_report, NULL);
	serve_on(promoter, on_promotion);
	members_start();
	event_base_dispatch(standin.base);
	return 0;
}
