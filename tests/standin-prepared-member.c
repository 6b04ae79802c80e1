/** @file standin-prepared-member.c Database members of standin-prepared. */
#include "standin-prepared.h"

#include "platform-line.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_US 5000
/** Time between the promoter's request and the promotion. */
#define PROMOTION_DELAY_US (150 * USEC_PER_MSEC)
/** Time between a promotion and the demotion of the previous primary. */
#define DEMOTION_DELAY_US (1 * USEC_PER_SEC)
/** Slots in a member's entry unless a fault command limits them. */
#define DEFAULT_SLOTS 2
/** Time that opening a session occupies a slot. */
#define OPENING_US (12 * USEC_PER_MSEC)
/** Interval at which a line that is due is checked again while its member is silent. */
#define SILENT_RETRY_US (10 * USEC_PER_MSEC)

struct standin_conn {
	struct standin_member *m;
	struct bufferevent *bev;
	char team[NAME_SIZE];
	bool started;
	enum tx_state state;
	bool read_only;
	GPtrArray *writes; /**< of the open transaction */
	char *last_request;
	GHashTable *prepared; /**< statement name to "READ ..." or "WRITE ..." */
	char *line;	      /**< the line that occupies or awaits a slot, or NULL */
	struct event *done;   /**< when that line is answered */
};

static struct {
	struct standin_member *target;
	int64_t at_us;
	struct standin_member *old_primary;
	int64_t demote_us;
} promotion;

struct standin_member *member_by_name(const char *name)
{
	unsigned i;

	for (i = 0; i < standin.n; i++) {
		if (strcmp(standin.member[i].name, name) == 0)
			return &standin.member[i];
	}
	return NULL;
}

struct standin_member *member_newest_primary(void)
{
	struct standin_member *best = NULL;
	unsigned i;

	for (i = 0; i < standin.n; i++) {
		struct standin_member *m = &standin.member[i];

		if (m->primary && (best == NULL || m->term > best->term))
			best = m;
	}
	return best;
}

void member_register(struct standin_member *m)
{
	char *key = g_strdup_printf("servers/%s", m->name);
	char *value = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"dc-%s\",\"version\":"
		"\"v1\","
		"\"slots\":%d,\"state\":\"%s\",\"cold-remaining-ms\":0,\"database-role\":\"%s\","
		"\"sequence\":1,\"born\":1}",
		standin.service, m->advertised_port, m->name,
		m->slots > 0 ? m->slots : DEFAULT_SLOTS, m->draining ? "draining" : "ready",
		m->primary ? "primary" : "replica");

	store_put(key, value, 0);
	g_free(value);
	g_free(key);
}

/* Connections */

static void conn_free(struct standin_conn *c)
{
	g_ptr_array_remove(c->m->conns, c);
	c->m->n_conns--;
	bufferevent_free(c->bev);
	event_free(c->done);
	free(c->line);
	g_ptr_array_unref(c->writes);
	g_hash_table_destroy(c->prepared);
	g_free(c->last_request);
	g_free(c);
}

static struct pos log_end(const struct standin_member *m)
{
	struct pos pos = {.term = 1};

	if (m->log->len > 0) {
		const struct standin_record *r = g_ptr_array_index(m->log, m->log->len - 1);

		pos.term = r->term;
		pos.lsn = m->log->len;
	}
	return pos;
}

static bool log_has(const struct standin_member *m, struct pos pos)
{
	if (pos.lsn == 0)
		return true;
	if (pos.lsn > m->log->len)
		return false;
	return ((struct standin_record *)g_ptr_array_index(m->log, pos.lsn - 1))->term == pos.term;
}

static void reply(struct standin_conn *c, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void reply(struct standin_conn *c, const char *format, ...)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct pos pos = log_end(c->m);
	va_list args;

	va_start(args, format);
	evbuffer_add_vprintf(out, format, args);
	va_end(args);
	evbuffer_add_printf(out, "READY %c %lu.%lu\r\n", line_state_letter(c->state), pos.term,
			    pos.lsn);
}

static void reply_error(struct standin_conn *c, const char *code)
{
	if (c->state == TX_OPEN)
		c->state = TX_FAILED;
	reply(c, "ERROR %s %s\r\n", code, c->m->name);
}

static void reply_complete(struct standin_conn *c)
{
	static unsigned n;

	reply(c, "COMPLETE %s.%u\r\n", c->m->name, ++n);
}

static void tx_commit(struct standin_conn *c)
{
	struct standin_member *m = c->m;
	struct standin_record *r;

	if (c->writes->len == 0)
		return;
	if (m != member_newest_primary())
		standin.replaced_commits++;
	r = g_new0(struct standin_record, 1);
	r->term = m->term;
	r->request = g_strdup(c->last_request);
	r->writes = c->writes;
	r->at_us = standin_now_us();
	g_ptr_array_add(m->log, r);
	c->writes = g_ptr_array_new_with_free_func(g_free);
}

static const char *read_item(const struct standin_member *m, const struct standin_conn *c,
			     const char *item)
{
	const char *value = "-";
	guint i, j;

	for (i = 0; i < m->log->len; i++) {
		const struct standin_record *r = g_ptr_array_index(m->log, i);

		for (j = 0; j + 1 < r->writes->len; j += 2) {
			if (strcmp(g_ptr_array_index(r->writes, j), item) == 0)
				value = g_ptr_array_index(r->writes, j + 1);
		}
	}
	for (j = 0; j + 1 < c->writes->len; j += 2) {
		if (strcmp(g_ptr_array_index(c->writes, j), item) == 0)
			value = g_ptr_array_index(c->writes, j + 1);
	}
	return value;
}

static void run_read(struct standin_conn *c, const char *item)
{
	evbuffer_add_printf(bufferevent_get_output(c->bev), "ROW %s\r\n", read_item(c->m, c, item));
	reply_complete(c);
}

static void run_write(struct standin_conn *c, const char *request, char *operands)
{
	char *item = line_next_field(&operands);

	if (!c->m->primary || c->read_only) {
		reply_error(c, "READONLY");
		return;
	}
	g_ptr_array_add(c->writes, g_strdup(item));
	g_ptr_array_add(c->writes, g_strdup(operands != NULL ? operands : ""));
	g_free(c->last_request);
	c->last_request = g_strdup(request);
	if (c->state == TX_NONE)
		tx_commit(c);
	reply_complete(c);
}

static void run_execute(struct standin_conn *c, const char *request, struct statement *st)
{
	const char *template = g_hash_table_lookup(c->prepared, st->name);
	char *operands;

	if (template == NULL) {
		reply_error(c, "NOSUCHNAME");
		return;
	}
	operands = g_strdup(st->operand);
	if (g_str_has_prefix(template, "WRITE"))
		run_write(c, request, operands);
	else
		run_read(c, operands);
	g_free(operands);
}

static void run_begin(struct standin_conn *c, bool read_only)
{
	if (!read_only && !c->m->primary) {
		reply_error(c, "READONLY");
		return;
	}
	c->state = TX_OPEN;
	c->read_only = read_only;
	reply(c, "COMPLETE -\r\n");
}

static void run_end_tx(struct standin_conn *c, bool is_commit)
{
	enum tx_state previous_state = c->state;

	c->state = TX_NONE;
	if (is_commit && previous_state == TX_OPEN && c->m->primary)
		tx_commit(c);
	else if (is_commit && previous_state == TX_OPEN && c->writes->len > 0) {
		g_ptr_array_set_size(c->writes, 0);
		reply_error(c, "READONLY");
		return;
	}
	g_ptr_array_set_size(c->writes, 0);
	c->read_only = false;
	reply_complete(c);
}

/** Runs STATUS, PAUSE or STEPDOWN. @return whether @a text was one of them */
static bool run_control_statement(struct standin_conn *c, char *text)
{
	struct standin_member *m = c->m;
	struct pos pos = log_end(m);
	char *rest;

	if (line_match_keyword(text, "STEPDOWN", &rest)) {
		if (m->primary && m->term < strtoull(rest, NULL, 10) &&
		    m != member_newest_primary())
			m->primary = false;
	} else if (strcmp(text, "STATUS") != 0 && !line_match_keyword(text, "PAUSE", &rest)) {
		return false;
	}
	evbuffer_add_printf(bufferevent_get_output(c->bev), "ROW %s %lu %lu.%lu 0 0 0 %u\r\n",
			    m->primary ? "primary" : "replica", m->term, pos.term, pos.lsn,
			    m->n_conns);
	reply(c, "COMPLETE -\r\n");
	return true;
}

static void run_statement(struct standin_conn *c, const char *request, char *text)
{
	struct statement st;
	char *rest;

	if (strcmp(request, "-") == 0 && run_control_statement(c, text))
		return;
	if (strcmp(text, "RESET") == 0) {
		g_hash_table_remove_all(c->prepared);
		reply(c, "COMPLETE -\r\n");
		return;
	}
	if (line_match_keyword(text, "WAITFOR", &rest)) {
		if (!log_has(c->m, line_parse_pos(line_next_field(&rest)))) {
			reply_error(c, "LAGGING");
			return;
		}
		text = rest;
	}
	line_parse_statement(text, &st);
	switch (st.op) {
	case STATEMENT_READ:
		run_read(c, text + strlen("READ "));
		break;
	case STATEMENT_WRITE:
		run_write(c, request, text + strlen("WRITE "));
		break;
	case STATEMENT_EXECUTE:
		run_execute(c, request, &st);
		break;
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ:
		run_begin(c, st.op == STATEMENT_BEGIN_READ);
		break;
	case STATEMENT_COMMIT:
	case STATEMENT_ROLLBACK:
		run_end_tx(c, st.op == STATEMENT_COMMIT);
		break;
	case STATEMENT_PREPARE:
		g_hash_table_replace(
			c->prepared, g_strdup(st.name),
			g_strdup_printf("%s %s", st.write ? "WRITE" : "READ", st.operand));
		reply(c, "COMPLETE -\r\n");
		break;
	default:
		reply(c, "COMPLETE -\r\n");
		break;
	}
	line_statement_clear(&st);
}

/** Applies pending answer faults to the answer in the output buffer. @return whether one applied */
static bool apply_answer_fault(struct standin_conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct standin_member *m = c->m;

	if (m->lose_answers > 0) {
		m->lose_answers--;
		/* The connection stays open but sends and reads nothing more. */
		evbuffer_drain(out, evbuffer_get_length(out));
		bufferevent_disable(c->bev, EV_READ | EV_WRITE);
		return true;
	}
	if (m->cut_answers > 0) {
		m->cut_answers--;
		evbuffer_drain(out, evbuffer_get_length(out) - 3);
		evbuffer_unfreeze(out, 0);
		bufferevent_flush(c->bev, EV_WRITE, BEV_FLUSH);
		conn_free(c);
		return true;
	}
	return false;
}

static void handle_line(struct standin_conn *c, char *line, bool *closed)
{
	char *rest, *request;

	if (line_match_keyword(line, "START", &rest)) {
		const char *service = line_next_field(&rest);
		const char *team = line_next_field(&rest);
		const char *id = line_next_field(&rest);

		if (service == NULL || strcmp(service, standin.service) != 0 ||
		    (id != NULL && strcmp(id, c->m->name) != 0)) {
			reply_error(c, "MISROUTED");
			return;
		}
		g_strlcpy(c->team, team != NULL ? team : "", sizeof(c->team));
		c->m->openings++;
		reply(c, "%s", "");
		return;
	}
	if (!line_match_keyword(line, "QUERY", &rest) || (request = line_next_field(&rest)) == NULL)
		return;
	if (c->m->busy > 0 && strcmp(request, "-") != 0) {
		c->m->busy--;
		reply(c, "ERROR BUSY %s\r\n", c->m->name);
		return;
	}
	if (strcmp(request, "-") != 0)
		c->m->statements++;
	run_statement(c, request, rest);
	if (strcmp(request, "-") != 0)
		*closed = apply_answer_fault(c);
}

/** Occupies the slot of @a m that is free first. @return the time until @a line is answered */
static int64_t occupy_slot(struct standin_member *m, const char *line)
{
	int64_t now = standin_now_us(), work_us = 0, *slot = &m->slot_free_us[0];
	int i;

	if (g_str_has_prefix(line, "START "))
		work_us = OPENING_US;
	else if (strstr(line, " READ ") != NULL || strstr(line, " WRITE ") != NULL)
		work_us = m->work_ms * USEC_PER_MSEC;
	if (m->slots == 0 || work_us == 0)
		return 0;
	for (i = 1; i < m->slots; i++)
		slot = m->slot_free_us[i] < *slot ? &m->slot_free_us[i] : slot;
	*slot = MAX(*slot, now) + work_us;
	return *slot - now;
}

static void wait_for(struct standin_conn *c, int64_t us)
{
	struct timeval tv = {.tv_sec = us / USEC_PER_SEC, .tv_usec = us % USEC_PER_SEC};

	evtimer_add(c->done, &tv);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct standin_conn *c = arg;
	bool closed = false;
	int64_t wait_us;
	char *line;

	while (!closed && c->line == NULL && c->m->mode == MEMBER_UP &&
	       line_take(bufferevent_get_input(bev), &line) == LINE_COMPLETE) {
		wait_us = occupy_slot(c->m, line);
		if (wait_us > 0) {
			c->line = line;
			wait_for(c, wait_us);
			return;
		}
		handle_line(c, line, &closed);
		free(line);
	}
}

static void on_done(evutil_socket_t fd, short what, void *arg)
{
	struct standin_conn *c = arg;
	char *line = c->line;
	bool closed = false;

	if (c->m->mode != MEMBER_UP) {
		wait_for(c, SILENT_RETRY_US);
		return;
	}
	c->line = NULL;
	handle_line(c, line, &closed);
	free(line);
	if (!closed)
		on_read(c->bev, c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		conn_free(arg);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		      void *arg)
{
	struct linger reset = {.l_onoff = 1};
	struct standin_member *m = arg;
	struct standin_conn *c;

	if (m->limit > 0 && m->n_conns >= (unsigned)m->limit) {
		m->resets++;
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		evutil_closesocket(fd);
		return;
	}
	c = g_new0(struct standin_conn, 1);
	c->m = m;
	c->done = evtimer_new(standin.base, on_done, c);
	c->writes = g_ptr_array_new_with_free_func(g_free);
	c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->bev = bufferevent_socket_new(standin.base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	g_ptr_array_add(c->m->conns, c);
	c->m->n_conns++;
}

/* Roles and replication */

static void truncate_log(struct standin_member *m, guint len)
{
	if (m->log->len > len)
		g_ptr_array_set_size(m->log, (gint)len);
}

void member_promote(struct standin_member *m)
{
	promotion.target = m;
	promotion.at_us = standin_now_us() + PROMOTION_DELAY_US;
}

static void promotion_tick(int64_t now)
{
	struct standin_member *t = promotion.target;
	unsigned i;

	if (promotion.old_primary != NULL && now > promotion.demote_us &&
	    promotion.old_primary->mode == MEMBER_UP) {
		struct standin_member *lead = member_newest_primary();

		promotion.old_primary->primary = promotion.old_primary == lead;
		promotion.old_primary->term = lead->term;
		if (promotion.old_primary != lead)
			truncate_log(promotion.old_primary, lead->log->len);
		promotion.old_primary = NULL;
	}
	if (t == NULL || now < promotion.at_us || t->mode != MEMBER_UP)
		return;
	promotion.old_primary = member_newest_primary();
	promotion.demote_us = now + DEMOTION_DELAY_US;
	promotion.target = NULL;
	t->term = promotion.old_primary->term + 1;
	t->primary = true;
	standin.promotions++;
	for (i = 0; i < standin.n; i++) {
		struct standin_member *m = &standin.member[i];

		if (m == t || m == promotion.old_primary)
			continue;
		truncate_log(m, t->log->len);
		/* A previously replaced primary must not stay primary in the new term. */
		m->primary = false;
		m->term = t->term;
	}
	member_register(t);
}

static void replicate(int64_t now)
{
	struct standin_member *lead = member_newest_primary();
	unsigned i;

	for (i = 0; i < standin.n; i++) {
		struct standin_member *m = &standin.member[i];

		if (m->primary || m->mode != MEMBER_UP || lead->mode != MEMBER_UP)
			continue;
		while (m->log->len < lead->log->len) {
			struct standin_record *r = g_ptr_array_index(lead->log, m->log->len);

			if (r->at_us + m->lag_us > now)
				break;
			g_ptr_array_add(m->log, r);
		}
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = standin_now_us();

	promotion_tick(now);
	replicate(now);
}

static void member_listen(struct standin_member *m)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)m->port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	m->listener = evconnlistener_new_bind(standin.base, on_accept, m,
					      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
					      (struct sockaddr *)&sin, sizeof(sin));
	if (m->listener == NULL) {
		fprintf(stderr, "standin-prepared: cannot listen on %d\n", m->port);
		exit(1);
	}
}

void member_set_mode(struct standin_member *m, const char *name)
{
	enum standin_mode mode = MEMBER_UP;
	guint i;

	if (strcmp(name, "down") == 0)
		mode = MEMBER_DOWN;
	else if (strcmp(name, "dark") == 0)
		mode = MEMBER_SILENT;
	if (mode == MEMBER_DOWN && m->listener != NULL) {
		evconnlistener_free(m->listener);
		m->listener = NULL;
		while (m->conns->len > 0)
			conn_free(g_ptr_array_index(m->conns, 0));
	}
	if (mode != MEMBER_DOWN && m->listener == NULL)
		member_listen(m);
	for (i = 0; i < m->conns->len && mode == MEMBER_UP; i++) {
		struct standin_conn *c = g_ptr_array_index(m->conns, i);

		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
	}
	m->mode = mode;
}

void members_start(void)
{
	const struct timeval tv = {.tv_usec = TICK_INTERVAL_US};
	struct event *ev = event_new(standin.base, -1, EV_PERSIST, on_tick, NULL);
	unsigned i;

	for (i = 0; i < standin.n; i++) {
		standin.member[i].conns = g_ptr_array_new();
		member_listen(&standin.member[i]);
		member_register(&standin.member[i]);
	}
	event_add(ev, &tv);
}
