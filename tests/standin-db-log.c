/** @file standin-db-log.c Log, terms, tables and replication of the stand-in database. */
#include "standin-db.h"

#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECONNECT_US (50 * USEC_PER_MSEC)
/**
 * A primary says that it lives this often, and a replica that hears nothing for longer connects
 * again.
 */
#define ALIVE_US (100 * USEC_PER_MSEC)
#define SILENT_US (600 * USEC_PER_MSEC)

static int64_t up_heard_us;

void ops_free(gpointer data)
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

static void note_record(const struct record *r, uint64_t lsn)
{
	guint i;

	term_history_add(&server.terms, r->term, lsn - 1);
	if (r->xid[0] != '\0')
		g_hash_table_add(server.committed, g_strdup(r->xid));
	for (i = 0; i < r->ops->len; i++) {
		const struct op *op = g_ptr_array_index(r->ops, i);
		char *key = g_strdup_printf("%s %s", op->table, op->key);
		char *all = g_strdup_printf("%s ", op->table);

		g_hash_table_replace(
			server.counts, key,
			GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(server.counts, key)) +
					 1));
		g_hash_table_replace(
			server.counts, all,
			GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(server.counts, all)) +
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

static void apply_due(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = now_us();

	while (server.applied < server.log->len) {
		const struct record *r = g_ptr_array_index(server.log, server.applied);
		int64_t due = r->received_us + (server.primary ? 0 : server.lag_us);

		if (due > now) {
			struct timeval tv = {.tv_sec = (due - now) / USEC_PER_SEC,
					     .tv_usec = (due - now) % USEC_PER_SEC};

			if (server.apply_timer == NULL)
				server.apply_timer = event_new(server.base, -1, 0, apply_due, NULL);
			event_add(server.apply_timer, &tv);
			break;
		}
		apply_record(r);
		server.applied++;
	}
}

static void append(struct record *r)
{
	r->received_us = now_us();
	g_ptr_array_add(server.log, r);
	note_record(r, server.log->len);
	apply_due(-1, 0, NULL);
	clients_wake();
}

/** Drop all records after @a lsn: another primary's log goes on from there. */
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
		note_record(g_ptr_array_index(server.log, i), i + 1);
	apply_due(-1, 0, NULL);
}

void log_commit(const char *xid, GPtrArray *ops)
{
	struct record *r = g_new0(struct record, 1);
	struct db_client *c;

	r->term = server.seen_term;
	r->xid = g_strdup(xid);
	r->ops = ops;
	append(r);
	TAILQ_FOREACH(c, &server.clients, link) {
		if (c->streaming)
			log_send(c);
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

void log_stream(struct db_client *c, const char *sql)
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
	/* The common part ends where a term of the replica's log ends in this log. */
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
	log_send(c);
}

void log_send(struct db_client *c)
{
	GByteArray *out = g_byte_array_new();

	for (; c->sent_lsn < server.log->len; c->sent_lsn++) {
		const struct record *r = g_ptr_array_index(server.log, c->sent_lsn);
		guint mark = pg_begin(out, 'd');
		char head[64];
		guint i;

		snprintf(head, sizeof(head), "record %lu %lu", c->sent_lsn + 1, r->term);
		pg_put_text(out, head);
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

static void up_connect(evutil_socket_t fd, short what, void *arg);

static void up_close(void)
{
	if (server.up != NULL)
		bufferevent_free(server.up);
	server.up = NULL;
}

static void up_retry(void)
{
	struct timeval tv = {.tv_usec = RECONNECT_US};

	up_close();
	if (server.reconnect_timer == NULL)
		server.reconnect_timer = event_new(server.base, -1, 0, up_connect, NULL);
	event_add(server.reconnect_timer, &tv);
}

static void take_record(struct pg_reader *r, const char *head)
{
	struct record *rec;
	unsigned long lsn, term;

	if (sscanf(head, "record %lu %lu", &lsn, &term) != 2 || lsn != server.log->len + 1)
		return;
	rec = g_new0(struct record, 1);
	rec->term = term;
	rec->xid = g_strdup(pg_read_text(r));
	rec->ops = g_ptr_array_new_with_free_func(ops_free);
	while (!r->bad && r->p < r->end) {
		struct op *op = g_new0(struct op, 1);

		op->table = g_strdup(pg_read_text(r));
		op->key = g_strdup(pg_read_text(r));
		op->value = g_strdup(pg_read_text(r));
		g_ptr_array_add(rec->ops, op);
	}
	append(rec);
}

static void up_ask(void)
{
	GByteArray *out = g_byte_array_new();
	GString *sql = g_string_new(NULL);
	guint mark = pg_begin(out, 'Q');

	g_string_append_printf(sql, "STREAM %lu %u ", server.seen_term, server.log->len);
	history_text(sql);
	pg_put_text(out, sql->str);
	pg_end(out, mark);
	bufferevent_write(server.up, out->data, out->len);
	g_byte_array_unref(out);
	g_string_free(sql, TRUE);
}

static void up_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct pg_message m;

	up_heard_us = now_us();
	while (server.up == bev && pg_message_read(in, false, 64 << 20, &m) == PG_MESSAGE) {
		struct pg_reader r = pg_reader(&m);
		const char *head;
		unsigned long from;

		if (m.type == 'Z')
			up_ask();
		if (m.type == 'd') {
			head = pg_read_text(&r);
			if (sscanf(head, "from %lu", &from) == 1)
				truncate_log(from);
			else
				take_record(&r, head);
		}
		pg_message_clear(&m);
	}
}

static void up_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		up_retry();
}

static void up_connect(evutil_socket_t fd, short what, void *arg)
{
	GByteArray *out = g_byte_array_new();
	struct sockaddr_in sin;
	uint32_t len;

	up_close();
	up_heard_us = now_us();
	if (server.upstream[0] == '\0' || !net_parse(server.upstream_address, &sin)) {
		g_byte_array_unref(out);
		return;
	}
	server.up = bufferevent_socket_new(server.base, -1,
					   BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(server.up, up_read, NULL, up_event, NULL);
	bufferevent_enable(server.up, EV_READ | EV_WRITE);
	pg_put_u32(out, 0);
	pg_put_u32(out, PG_PROTOCOL_3);
	pg_put_text(out, "user");
	pg_put_text(out, "replication");
	pg_put_text(out, "application_name");
	pg_put_text(out, server.name);
	pg_put_u8(out, 0);
	len = GUINT32_TO_BE(out->len);
	memcpy(out->data, &len, sizeof(len));
	bufferevent_write(server.up, out->data, out->len);
	g_byte_array_unref(out);
	bufferevent_socket_connect(server.up, (struct sockaddr *)&sin, sizeof(sin));
}

/** Both ends of replication: as PostgreSQL's wal_sender and wal_receiver timeouts. */
static void alive_tick(evutil_socket_t fd, short what, void *arg)
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
	if (server.up != NULL && now_us() - up_heard_us > SILENT_US) {
		up_heard_us = now_us();
		up_retry();
	}
}

void log_start(void)
{
	struct timeval tv = {.tv_usec = ALIVE_US};
	struct event *timer = event_new(server.base, -1, EV_PERSIST, alive_tick, NULL);

	event_add(timer, &tv);
}

/* Orders */

static void order_answer(GString *out, bool ok)
{
	struct pos p = log_pos();

	g_string_append_printf(out, "%s %lu %lu %lu", ok ? "ok" : "refused", server.seen_term,
			       p.term, p.lsn);
}

/** No longer take writes, nor send any: a later term has begun. */
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
	bool ok =
		term > server.seen_term || (attach && term == server.seen_term && !server.primary);

	if (!ok) {
		order_answer(out, false);
		return;
	}
	if (term > server.seen_term || attach) {
		step_down();
		up_close();
	}
	server.seen_term = term;
	g_strlcpy(server.upstream, upstream, sizeof(server.upstream));
	g_strlcpy(server.upstream_address, address, sizeof(server.upstream_address));
	if (attach)
		up_connect(-1, 0, NULL);
	order_answer(out, true);
	clients_wake();
}

void log_promote(uint64_t term, GString *out)
{
	if (term != server.seen_term || server.primary) {
		order_answer(out, server.primary && term == server.seen_term);
		return;
	}
	up_close();
	server.upstream[0] = '\0';
	server.primary = true;
	apply_due(-1, 0, NULL);
	/* The term's own first record: once a majority has it, no log without it can be chosen. */
	log_commit("", g_ptr_array_new_with_free_func(ops_free));
	fprintf(stderr, "%s leads term %lu from %u\n", server.name, term, server.log->len);
	order_answer(out, true);
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
