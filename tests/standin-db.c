/** @file standin-db.c Connections, slots and the wire protocol of standin-db. */
#include "standin-db.h"

#include "net.h"

#include <argtable2.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Process IDs of clients are above it, and as long as those of a server that has run for a while.
 */
#define FIRST_PID 1000000
#define POS_WAIT_TIMEOUT_US (100 * USEC_PER_MSEC)

struct db_server server = {.clients = TAILQ_HEAD_INITIALIZER(server.clients),
			   .slot_queue = TAILQ_HEAD_INITIALIZER(server.slot_queue)};

static void client_process(struct db_client *c);
static void client_run_next(struct db_client *c);

static void slot_release(void)
{
	struct db_client *next;

	server.busy_slots--;
	next = TAILQ_FIRST(&server.slot_queue);
	if (next == NULL)
		return;
	TAILQ_REMOVE(&server.slot_queue, next, waiting);
	next->wants_slot = false;
	client_run_next(next);
}

void client_close(struct db_client *c)
{
	bool slot = c->in_slot;

	TAILQ_REMOVE(&server.clients, c, link);
	if (c->counted)
		server.n_clients--;
	if (c->wants_slot)
		TAILQ_REMOVE(&server.slot_queue, c, waiting);
	event_free(c->timer);
	bufferevent_free(c->bev);
	if (c->ops != NULL)
		g_ptr_array_unref(c->ops);
	g_queue_clear_full(&c->statements, g_free);
	g_free(c->prepared);
	g_free(c->bound);
	g_free(c);
	if (slot)
		slot_release();
}

struct db_client *client_find(int pid)
{
	struct db_client *c;

	TAILQ_FOREACH(c, &server.clients, link) {
		if (c->pid == pid)
			return c;
	}
	return NULL;
}

void clients_list_active(GString *out)
{
	struct db_client *c;

	TAILQ_FOREACH(c, &server.clients, link) {
		if (c->in_slot || c->wants_slot)
			g_string_append_printf(out, "%s%d", out->len > 0 ? "," : "", c->pid);
	}
}

static void client_set_timer(struct db_client *c, int64_t us)
{
	struct timeval tv = {.tv_sec = us / USEC_PER_SEC, .tv_usec = us % USEC_PER_SEC};

	event_add(c->timer, &tv);
}

static char tx_state(const struct db_client *c)
{
	if (!c->in_tx)
		return 'I';
	return c->tx_failed ? 'E' : 'T';
}

static void put_position(struct db_client *c, GByteArray *out)
{
	struct pos p = log_pos();
	char text[48];

	if (!server.primary) {
		/* A replica reports its applied position, and the term of the record there. */
		p.lsn = server.applied;
		p.term = p.lsn > 0
				 ? ((struct record *)g_ptr_array_index(server.log, p.lsn - 1))->term
				 : 0;
	}
	snprintf(text, sizeof(text), "%lu/%lu", p.term, p.lsn);
	if (strcmp(text, c->reported_pos) == 0)
		return;
	memcpy(c->reported_pos, text, sizeof(text));
	pg_put_parameter(out, "mangoloom.position", text);
}

static void client_write(struct db_client *c, GByteArray *out)
{
	bufferevent_write(c->bev, out->data, out->len);
	g_byte_array_unref(out);
}

static void client_ready(struct db_client *c)
{
	GByteArray *out = g_byte_array_new();

	put_position(c, out);
	pg_put_ready(out, tx_state(c));
	client_write(c, out);
}

/** Finishes the current message and goes on with the next one. */
static void client_message_done(struct db_client *c)
{
	c->busy = false;
	g_queue_clear_full(&c->statements, g_free);
	if (!c->extended)
		client_ready(c);
	else if (c->error)
		c->skip_to_sync = true;
	client_process(c);
}

static bool pos_wait_satisfied(const struct db_client *c)
{
	return pos_cmp(log_pos(), c->wait_for) >= 0 || server.seen_term > c->wait_for.term;
}

void clients_wake(void)
{
	struct db_client *c, *next;

	TAILQ_FOREACH_SAFE(c, &server.clients, link, next) {
		if (c->waits_for_pos && pos_wait_satisfied(c))
			client_set_timer(c, 0);
	}
}

/** Runs the first queued statement, which has its slot or log position. */
static void client_run_statement(struct db_client *c)
{
	char *sql = g_queue_pop_head(&c->statements);
	GByteArray *out = g_byte_array_new();
	int pid = c->pid;

	c->error = !sql_run(c, sql, out);
	g_free(sql);
	/* The statement may have terminated its own connection. */
	if (client_find(pid) == NULL) {
		g_byte_array_unref(out);
		return;
	}
	client_write(c, out);
	if (c->in_slot) {
		c->in_slot = false;
		slot_release();
	}
	if (c->error)
		g_queue_clear_full(&c->statements, g_free);
	client_run_next(c);
}

static void on_client_timer(evutil_socket_t fd, short what, void *arg)
{
	struct db_client *c = arg;

	if (!c->started) {
		c->started = true;
		client_ready(c);
		client_process(c);
		return;
	}
	c->waits_for_pos = false;
	client_run_statement(c);
}

static void client_run_next(struct db_client *c)
{
	const char *sql = g_queue_peek_head(&c->statements);

	if (sql == NULL) {
		client_message_done(c);
		return;
	}
	if (strncmp(sql, "STREAM", 6) == 0) {
		log_start_stream(c, sql);
		if (c->closing)
			client_close(c);
		return;
	}
	switch (sql_work_kind(c, sql)) {
	case WORK_NONE:
		client_run_statement(c);
		return;
	case WORK_WAIT:
		c->waits_for_pos = true;
		client_set_timer(c, pos_wait_satisfied(c) ? 0 : POS_WAIT_TIMEOUT_US);
		return;
	case WORK_SLOT:
		break;
	}
	if (server.busy_slots >= server.slots) {
		c->wants_slot = true;
		TAILQ_INSERT_TAIL(&server.slot_queue, c, waiting);
		return;
	}
	server.busy_slots++;
	server.peak_slots = MAX(server.peak_slots, server.busy_slots);
	c->in_slot = true;
	if (server.work_us == 0) {
		client_run_statement(c);
		return;
	}
	client_set_timer(c, server.work_us);
}

static void client_start_statements(struct db_client *c, const char *text, bool extended)
{
	c->busy = true;
	c->error = false;
	c->extended = extended;
	c->statements = sql_split(text);
	client_run_next(c);
}

static void handle_startup(struct db_client *c, struct pg_reader *r)
{
	struct pg_error too_many_clients = {"FATAL", "53300", "sorry, too many clients already",
					    NULL, NULL};
	bool replication = false;
	GByteArray *out;
	guint mark;

	if (pg_read_u32(r) != PG_PROTOCOL_3) {
		bufferevent_write(c->bev, "N", 1);
		return;
	}
	while (!r->bad && r->p < r->end) {
		if (strcmp(pg_read_text(r), "replication") == 0)
			replication = true;
	}
	out = g_byte_array_new();
	if (!replication && server.n_clients >= server.connections) {
		pg_put_error(out, &too_many_clients);
		client_write(c, out);
		c->closing = true;
		return;
	}
	c->counted = !replication;
	server.n_clients += c->counted;
	server.peak_clients = MAX(server.peak_clients, server.n_clients);
	pg_put_auth(out, 0);
	pg_put_parameter(out, "server_version", "15.0 (standin)");
	pg_put_parameter(out, "client_encoding", "UTF8");
	mark = pg_begin(out, 'K');
	pg_put_u32(out, (uint32_t)c->pid);
	pg_put_u32(out, 1);
	pg_end(out, mark);
	client_write(c, out);
	client_set_timer(c, server.open_ms * USEC_PER_MSEC);
}

static void handle_bind(struct db_client *c, struct pg_reader *r)
{
	char *values[64] = {NULL};
	unsigned i, n;

	pg_read_text(r);
	pg_read_text(r);
	for (n = pg_read_u16(r), i = 0; i < n; i++)
		pg_read_u16(r);
	n = pg_read_u16(r);
	for (i = 0; i < n && i < G_N_ELEMENTS(values); i++) {
		uint32_t len = pg_read_u32(r);
		const uint8_t *p = len != UINT32_MAX ? pg_read_bytes(r, len) : NULL;

		values[i] = g_strndup(p != NULL ? (const char *)p : "", p != NULL ? len : 0);
	}
	g_free(c->bound);
	c->bound = sql_substitute(c->prepared != NULL ? c->prepared : "", values, n);
	c->describe = false;
	for (i = 0; i < G_N_ELEMENTS(values); i++)
		g_free(values[i]);
}

static void put_statement_description(struct db_client *c, GByteArray *out)
{
	const char *sql = c->prepared != NULL ? c->prepared : "";
	unsigned n = 0;
	const char *p;
	guint mark = pg_begin(out, 't');

	for (p = strchr(sql, '$'); p != NULL; p = strchr(p + 1, '$'))
		n = MAX(n, (unsigned)atoi(p + 1));
	pg_put_u16(out, (uint16_t)n);
	while (n-- > 0)
		pg_put_u32(out, 25);
	pg_end(out, mark);
	if (sql_returns_row(sql)) {
		GByteArray *messages = g_byte_array_new();
		uint32_t len;

		pg_put_one_value(messages, "value", "", "SELECT 1");
		memcpy(&len, messages->data + 1, sizeof(len));
		pg_put_bytes(out, messages->data, 1 + GUINT32_FROM_BE(len));
		g_byte_array_unref(messages);
	} else {
		pg_put_empty(out, 'n');
	}
}

static void handle_extended_message(struct db_client *c, char type, struct pg_reader *r)
{
	GByteArray *out = g_byte_array_new();

	switch (type) {
	case 'P':
		pg_read_text(r);
		g_free(c->prepared);
		c->prepared = g_strdup(pg_read_text(r));
		pg_put_empty(out, '1');
		break;
	case 'B':
		handle_bind(c, r);
		pg_put_empty(out, '2');
		break;
	case 'D':
		if (pg_read_u8(r) == 'S')
			put_statement_description(c, out);
		else
			c->describe = true;
		break;
	case 'C':
		pg_put_empty(out, '3');
		break;
	default:
		break;
	}
	client_write(c, out);
}

static void client_handle_message(struct db_client *c, struct pg_message *m)
{
	struct pg_reader r = pg_reader(m);

	if (!c->started) {
		handle_startup(c, &r);
	} else if (m->type == 'Q') {
		client_start_statements(c, pg_read_text(&r), false);
	} else if (m->type == 'X') {
		c->closing = true;
	} else if (m->type == 'S') {
		c->skip_to_sync = false;
		client_ready(c);
	} else if (c->skip_to_sync) {
		return;
	} else if (m->type == 'E') {
		client_start_statements(c, c->bound != NULL ? c->bound : "", true);
	} else {
		handle_extended_message(c, m->type, &r);
	}
}

static void client_process(struct db_client *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	struct pg_message m;
	int pid = c->pid;

	while (!c->busy && !c->closing && !(c->counted && !c->started)) {
		if (pg_message_read(in, !c->started, 64 << 20, &m) != PG_MESSAGE)
			return;
		client_handle_message(c, &m);
		pg_message_clear(&m);
		if (client_find(pid) == NULL)
			return;
	}
	if (c->closing && evbuffer_get_length(bufferevent_get_output(c->bev)) == 0)
		client_close(c);
}

static void on_client_read(struct bufferevent *bev, void *arg)
{
	struct db_client *c = arg;

	if (!c->busy && !c->streaming)
		client_process(c);
}

static void on_client_written(struct bufferevent *bev, void *arg)
{
	struct db_client *c = arg;

	if (c->closing)
		client_close(c);
}

static void on_client_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		client_close(arg);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		      void *arg)
{
	struct db_client *c = g_new0(struct db_client, 1);

	net_set_nodelay(fd);
	c->pid = FIRST_PID + ++server.next_pid;
	c->bev = bufferevent_socket_new(server.base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = event_new(server.base, -1, 0, on_client_timer, c);
	bufferevent_setcb(c->bev, on_client_read, on_client_written, on_client_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	TAILQ_INSERT_TAIL(&server.clients, c, link);
}

int main(int argc, char **argv)
{
	struct arg_str *name = arg_str1(NULL, "name", "NAME", "member's name");
	struct arg_str *address = arg_str1(NULL, "address", "IP:PORT", "address to listen on");
	struct arg_lit *primary = arg_lit0(NULL, "primary", "start as the primary of term 1");
	struct arg_str *follow = arg_str0(NULL, "follow", "NAME", "primary to replicate from");
	struct arg_str *upstream = arg_str0(NULL, "upstream", "IP:PORT", "address of that primary");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "concurrent statements (2)");
	struct arg_int *connections =
		arg_int0(NULL, "connections", "N", "connections accepted (16)");
	struct arg_int *open_ms = arg_int0(NULL, "open-ms", "N", "time to open a connection (12)");
	struct arg_int *work_us =
		arg_int0(NULL, "work-us", "N", "execution time of a statement (0)");
	struct arg_int *lag_ms =
		arg_int0(NULL, "lag-ms", "N", "delay between receiving and applying a record (0)");
	struct arg_end *end = arg_end(8);
	void *table[] = {name,	      address, primary, follow, upstream, slots,
			 connections, open_ms, work_us, lag_ms, end};
	GString *ignored = g_string_new(NULL);
	GError *error = NULL;

	slots->ival[0] = 2;
	connections->ival[0] = 16;
	open_ms->ival[0] = 12;
	work_us->ival[0] = 0;
	lag_ms->ival[0] = 0;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "standin-db");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	server.base = event_base_new();
	g_strlcpy(server.name, name->sval[0], sizeof(server.name));
	server.slots = slots->ival[0];
	server.connections = connections->ival[0];
	server.open_ms = open_ms->ival[0];
	server.work_us = work_us->ival[0];
	server.lag_us = lag_ms->ival[0] * USEC_PER_MSEC;
	log_init();
	if (net_listen(server.base, address->sval[0], on_accept, NULL, &error) == NULL) {
		fprintf(stderr, "standin-db: %s\n", error->message);
		return 1;
	}
	log_start_keepalive();
	if (primary->count > 0) {
		server.seen_term = 1;
		log_promote(1, ignored);
	} else if (follow->count > 0) {
		log_follow(1, follow->sval[0], upstream->sval[0], ignored);
	}
	event_base_dispatch(server.base);
	return 0;
}
