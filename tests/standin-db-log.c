/** @file standin-db-log.c Log, terms, tables and replication of standin-db. */
#include "standin-db.h"

#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECONNECT_DELAY_US (50 * USEC_PER_MSEC)
/** Interval of keepalive messages from a primary to its replicas. */
#define KEEPALIVE_INTERVAL_US (100 * USEC_PER_MSEC)
/** A replica that has received nothing from its primary for longer than this reconnects. */
#define KEEPALIVE_TIMEOUT_US (600 * USEC_PER_MSEC)

static int64_t upstream_received_us;

void op_free(gpointer data)
{
	struct op *op = data;

	g_free(op->table);
	g_free(op->key);
	g_free(op->value);
	g_free(op);
}

static void record_free(gpointer data)
{
	struct record *r = data;

	g_free(r->xid);
	g_ptr_array_unref(r->ops);
	g_free(r);
}

void log_init(void)
{
	server.log = g_ptr_array_new_with_free_func(record_free);
	server.tables = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	server.counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server.committed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct pos log_pos(void)
{
	struct pos p = {0};

	if (server.log->len > 0) {
		p.term =
			((struct record *)g_ptr_array_index(server.log, server.log->len - 1))->term;
		p.lsn = server.log->len;
	}
	return p;
}

static void index_record(const struct record *r, uint64_t lsn)
{
	guint i;

	term_history_add(&server.terms, r->term, lsn - 1);
	if (r->xid[0] != '\0')
		g_hash_table_add(server.committed, g_strdup(r->xid));
	for (i = 0; i < r->ops->len; i++) {
		const struct op *op = g_ptr_array_index(r->ops, i);
		char *key = g_strdup_printf("%s %s", op->table, op->key);
		char *table_key = g_strdup_printf("%s ", op->table);

		g_hash_table_replace(
			server.counts, key,
			GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(server.counts, key)) +
					 1));
		g_hash_table_replace(server.counts, table_key,
				     GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(
							      server.counts, table_key)) +
						      1));
	}
}

static void apply_record(const struct record *r)
{
	guint i;

	for (i = 0; i < r->ops->len; i++) {
		const struct op *op = g_ptr_array_index(r->ops, i);

		g_hash_table_replace(server.tables, g_strdup_printf("%s %s", op->table, op->key),
				     g_strdup(op->value));
	}
}

static void apply_due_records(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = now_us();

	while (server.applied < server.log->len) {
		const struct record *r = g_ptr_array_index(server.log, server.applied);
		int64_t due = r->received_us + (server.primary ? 0 : server.lag_us);

		if (due > now) {
			struct timeval tv = {.tv_sec = (due - now) / USEC_PER_SEC,
					     .tv_usec = (due - now) % USEC_PER_SEC};

			if (server.apply_timer == NULL)
				server.apply_timer =
					event_new(server.base, -1, 0, apply_due_records, NULL);
			event_add(server.apply_timer, &tv);
			break;
		}
		apply_record(r);
		server.applied++;
	}
}

static void append_record(struct record *r)
{
	r->received_us = now_us();
	g_ptr_array_add(server.log, r);
	index_record(r, server.log->len);
	apply_due_records(-1, 0, NULL);
	clients_wake();
}

/** Truncates the log after @a lsn, where the log of the new primary diverges. */
static void truncate_log(uint64_t lsn)
{
	guint i;

	if (lsn >= server.log->len)
		return;
	fprintf(stderr, "%s drops records after %lu\n", server.name, lsn);
	g_ptr_array_set_size(server.log, (gint)lsn);
	g_hash_table_remove_all(server.tables);
	g_hash_table_remove_all(server.counts);
	g_hash_table_remove_all(server.committed);
	server.terms.n = 0;
	server.applied = 0;
	for (i = 0; i < server.log->len; i++)
		index_record(g_ptr_array_index(server.log, i), i + 1);
	apply_due_records(-1, 0, NULL);
}

void log_commit(const char *xid, GPtrArray *ops)
{
	struct record *r = g_new0(struct record, 1);
	struct db_client *c;

	r->term = server.seen_term;
	r->xid = g_strdup(xid);
	r->ops = ops;
	append_record(r);
	TAILQ_FOREACH(c, &server.clients, link) {
		if (c->streaming)
			log_send_records(c);
	}
}

static void history_text(GString *out)
{
	unsigned i;

	for (i = 0; i < server.terms.n; i++)
		g_string_append_printf(out, "%s%lu:%lu", i > 0 ? "," : "",
				       server.terms.start[i].term, server.terms.start[i].lsn);
	if (server.terms.n == 0)
		g_string_append(out, "0:0");
}

void log_status(GString *out)
{
	struct pos p = log_pos();

	g_string_append_printf(out, "%s %lu %lu %lu %lu %s ",
			       server.primary ? "primary" : "replica", server.seen_term, p.term,
			       p.lsn, server.applied,
			       server.upstream[0] != '\0' ? server.upstream : "-");
	history_text(out);
}

/* Streaming, sending side */

void log_start_stream(struct db_client *c, const char *sql)
{
	unsigned long term, lsn, h_term, h_lsn;
	char history[256], *part, *save = NULL;
	GByteArray *out = g_byte_array_new();
	uint64_t common = 0;
	char text[64];
	guint mark;

	if (sscanf(sql, "STREAM %lu %lu %255s", &term, &lsn, history) != 3 || !server.primary ||
	    term != server.seen_term) {
		c->closing = true;
		g_byte_array_unref(out);
		return;
	}
	/*
	 * The logs are equal up to the end of the last term that begins at the same LSN in both, or
	 * to the end of the replica's log if that comes first.
	 */
	for (part = strtok_r(history, ",", &save); part != NULL;
	     part = strtok_r(NULL, ",", &save)) {
		unsigned i;

		sscanf(part, "%lu:%lu", &h_term, &h_lsn);
		for (i = 0; i < server.terms.n; i++) {
			uint64_t end = i + 1 < server.terms.n ? server.terms.start[i + 1].lsn
							      : server.log->len;

			if (server.terms.start[i].term == h_term &&
			    server.terms.start[i].lsn == h_lsn)
				common = MIN(end, lsn);
		}
	}
	c->streaming = true;
	c->sent_lsn = common;
	mark = pg_begin(out, 'd');
	snprintf(text, sizeof(text), "from %lu", common);
	pg_put_text(out, text);
	pg_end(out, mark);
	bufferevent_write(c->bev, out->data, out->len);
	g_byte_array_unref(out);
	log_send_records(c);
}

void log_send_records(struct db_client *c)
{
	GByteArray *out = g_byte_array_new();

	for (; c->sent_lsn < server.log->len; c->sent_lsn++) {
		const struct record *r = g_ptr_array_index(server.log, c->sent_lsn);
		guint mark = pg_begin(out, 'd');
		char header[64];
		guint i;

		snprintf(header, sizeof(header), "record %lu %lu", c->sent_lsn + 1, r->term);
		pg_put_text(out, header);
		pg_put_text(out, r->xid);
		for (i = 0; i < r->ops->len; i++) {
			const struct op *op = g_ptr_array_index(r->ops, i);

			pg_put_text(out, op->table);
			pg_put_text(out, op->key);
			pg_put_text(out, op->value);
		}
		pg_end(out, mark);
	}
	bufferevent_write(c->bev, out->data, out->len);
	g_byte_array_unref(out);
}

/* Streaming, receiving side */

static void upstream_connect(evutil_socket_t fd, short what, void *arg);

static void upstream_close(void)
{
	if (server.upstream_conn != NULL)
		bufferevent_free(server.upstream_conn);
	server.upstream_conn = NULL;
}

static void upstream_reconnect_later(void)
{
	struct timeval tv = {.tv_usec = RECONNECT_DELAY_US};

	upstream_close();
	if (server.reconnect_timer == NULL)
		server.reconnect_timer = event_new(server.base, -1, 0, upstream_connect, NULL);
	event_add(server.reconnect_timer, &tv);
}

static void receive_record(struct pg_reader *r, const char *header)
{
	struct record *rec;
	unsigned long lsn, term;

	if (sscanf(header, "record %lu %lu", &lsn, &term) != 2 || lsn != server.log->len + 1)
		return;
	rec = g_new0(struct record, 1);
	rec->term = term;
	rec->xid = g_strdup(pg_read_text(r));
	rec->ops = g_ptr_array_new_with_free_func(op_free);
	while (!r->bad && r->p < r->end) {
		struct op *op = g_new0(struct op, 1);

		op->table = g_strdup(pg_read_text(r));
		op->key = g_strdup(pg_read_text(r));
		op->value = g_strdup(pg_read_text(r));
		g_ptr_array_add(rec->ops, op);
	}
	append_record(rec);
}

static void upstream_request_stream(void)
{
	GByteArray *out = g_byte_array_new();
	GString *sql = g_string_new(NULL);
	guint mark = pg_begin(out, 'Q');

	g_string_append_printf(sql, "STREAM %lu %u ", server.seen_term, server.log->len);
	history_text(sql);
	pg_put_text(out, sql->str);
	pg_end(out, mark);
	bufferevent_write(server.upstream_conn, out->data, out->len);
	g_byte_array_unref(out);
	g_string_free(sql, TRUE);
}

static void on_upstream_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct pg_message m;

	upstream_received_us = now_us();
	while (server.upstream_conn == bev &&
	       pg_message_read(in, false, 64 << 20, &m) == PG_MESSAGE) {
		struct pg_reader r = pg_reader(&m);
		const char *header;
		unsigned long from;

		if (m.type == 'Z')
			upstream_request_stream();
		if (m.type == 'd') {
			header = pg_read_text(&r);
			if (sscanf(header, "from %lu", &from) == 1)
				truncate_log(from);
			else
				receive_record(&r, header);
		}
		pg_message_clear(&m);
	}
}

static void on_upstream_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		upstream_reconnect_later();
}

static void upstream_connect(evutil_socket_t fd, short what, void *arg)
{
	GByteArray *out = g_byte_array_new();
	struct sockaddr_in sin;
	uint32_t len;

	upstream_close();
	upstream_received_us = now_us();
	if (server.upstream[0] == '\0' || !net_parse(server.upstream_address, &sin)) {
		g_byte_array_unref(out);
		return;
	}
	server.upstream_conn = bufferevent_socket_new(
		server.base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(server.upstream_conn, on_upstream_read, NULL, on_upstream_event, NULL);
	bufferevent_enable(server.upstream_conn, EV_READ | EV_WRITE);
	pg_put_u32(out, 0);
	pg_put_u32(out, PG_PROTOCOL_3);
	pg_put_text(out, "user");
	pg_put_text(out, "replication");
	pg_put_text(out, "application_name");
	pg_put_text(out, server.name);
	pg_put_u8(out, 0);
	len = GUINT32_TO_BE(out->len);
	memcpy(out->data, &len, sizeof(len));
	bufferevent_write(server.upstream_conn, out->data, out->len);
	g_byte_array_unref(out);
	bufferevent_socket_connect(server.upstream_conn, (struct sockaddr *)&sin, sizeof(sin));
}

/**
 * Sends keepalives to replicas, and reconnects to an upstream that has been silent for too long,
 * like PostgreSQL's wal_sender_timeout and wal_receiver_timeout.
 */
static void on_keepalive_timer(evutil_socket_t fd, short what, void *arg)
{
	GByteArray *out = g_byte_array_new();
	guint mark = pg_begin(out, 'd');
	struct db_client *c;

	pg_put_text(out, "alive");
	pg_end(out, mark);
	TAILQ_FOREACH(c, &server.clients, link) {
		if (c->streaming)
			bufferevent_write(c->bev, out->data, out->len);
	}
	g_byte_array_unref(out);
	if (server.upstream_conn != NULL &&
	    now_us() - upstream_received_us > KEEPALIVE_TIMEOUT_US) {
		upstream_received_us = now_us();
		upstream_reconnect_later();
	}
}

void log_start_keepalive(void)
{
	struct timeval tv = {.tv_usec = KEEPALIVE_INTERVAL_US};
	struct event *timer = event_new(server.base, -1, EV_PERSIST, on_keepalive_timer, NULL);

	event_add(timer, &tv);
}

/* Commands of the proxy: follow and promote */

static void put_command_result(GString *out, bool accepted)
{
	struct pos p = log_pos();

	g_string_append_printf(out, "%s %lu %lu %lu", accepted ? "ok" : "refused", server.seen_term,
			       p.term, p.lsn);
}

/** Stops accepting writes and streaming to replicas, because a later term has begun. */
static void step_down(void)
{
	struct db_client *c, *next;

	server.primary = false;
	TAILQ_FOREACH_SAFE(c, &server.clients, link, next) {
		if (c->streaming)
			client_close(c);
	}
}

void log_follow(uint64_t term, const char *upstream, const char *address, GString *out)
{
	bool attach = upstream[0] != '\0';
	bool accepted =
		term > server.seen_term || (attach && term == server.seen_term && !server.primary);

	if (!accepted) {
		put_command_result(out, false);
		return;
	}
	if (term > server.seen_term || attach) {
		step_down();
		upstream_close();
	}
	server.seen_term = term;
	g_strlcpy(server.upstream, upstream, sizeof(server.upstream));
	g_strlcpy(server.upstream_address, address, sizeof(server.upstream_address));
	if (attach)
		upstream_connect(-1, 0, NULL);
	put_command_result(out, true);
	clients_wake();
}

void log_promote(uint64_t term, GString *out)
{
	if (term != server.seen_term || server.primary) {
		put_command_result(out, server.primary && term == server.seen_term);
		return;
	}
	upstream_close();
	server.upstream[0] = '\0';
	server.primary = true;
	apply_due_records(-1, 0, NULL);
	/*
	 * The first record of the term. Once a majority has it, no member without it can be
	 * promoted.
	 */
	log_commit("", g_ptr_array_new_with_free_func(op_free));
	fprintf(stderr, "%s leads term %lu from %u\n", server.name, term, server.log->len);
	put_command_result(out, true);
}

/* Reads */

const char *log_read(const char *table, const char *key)
{
	char *id = g_strdup_printf("%s %s", table, key);
	const char *value = g_hash_table_lookup(server.tables, id);

	g_free(id);
	return value;
}

unsigned log_count(const char *table, const char *key)
{
	char *id = g_strdup_printf("%s %s", table, key);
	unsigned n = GPOINTER_TO_UINT(g_hash_table_lookup(server.counts, id));

	g_free(id);
	return n;
}
