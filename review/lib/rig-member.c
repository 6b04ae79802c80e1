/**
 * @file rig-member.c
 * The members of one database (PROTOCOL.md, "The wire" and "Backends"). Replicas receive a commit
 * REPLICATION_MS after it. A promotion takes effect PROMOTE_MS after the call. A primary that was
 * replaced goes on until STEPDOWN, or until a second after it can reach the new one.
 */
#include "rig.h"

#include <stdlib.h>
#include <string.h>

#define REPLICATION_MS 20
#define PROMOTE_MS 700
#define OLD_PRIMARY_MS 1000
#define CONNECTION_LIMIT 16

struct conn {
	struct member *m;
	struct vm *vm;
	struct bufferevent *bev;
	char team[64];
	bool started, read_only;
	char state;	   /**< I, T or E */
	GPtrArray *writes; /**< item, data, ... of the open transaction */
	char *write_id;
	GHashTable *values, *prepared; /**< statement name to "READ shape" or "WRITE shape" */
};

static GPtrArray *conns;
static struct member *promoting;
static int64_t promoting_us;
static unsigned signatures;

static bool reaches(const struct member *a, const struct member *b)
{
	return !is_cut(a->zone, b->zone);
}

void member_register(struct member *m)
{
	char *key = g_strdup_printf("servers/%s", m->id);
	char *value = g_strdup_printf(
		"{\"service\":\"" SERVICE
		"\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":2,"
		"\"state\":\"%s\",\"cold-remaining-ms\":0,\"database-role\":\"%s\",\"sequence\":1,"
		"\"born\":1}",
		m->port, m->zone, m->draining ? "draining" : "ready",
		m->primary ? "primary" : "replica");

	/* A member behind a cut does not reach the store. */
	if (!is_cut(m->zone, NULL)) {
		m->listed = true;
		store_put(key, value, 0);
	}
	g_free(value);
	g_free(key);
}

static void conn_free(struct conn *c)
{
	g_ptr_array_remove(conns, c);
	c->m->n_conns--;
	bufferevent_free(c->bev);
	g_ptr_array_unref(c->writes);
	g_hash_table_destroy(c->values);
	g_hash_table_destroy(c->prepared);
	g_free(c->write_id);
	g_free(c);
}

static void put_ready(struct conn *c)
{
	evbuffer_add_printf(bufferevent_get_output(c->bev), "READY %c %lu.%u\r\n", c->state,
			    c->m->term, c->m->log->len);
}

static void complete(struct conn *c, bool signed_by_member)
{
	if (signed_by_member)
		evbuffer_add_printf(bufferevent_get_output(c->bev), "COMPLETE %s.%u\r\n", c->m->id,
				    ++signatures);
	else
		evbuffer_add_printf(bufferevent_get_output(c->bev), "COMPLETE -\r\n");
	put_ready(c);
}

static void fail(struct conn *c, const char *code)
{
	if (c->state == 'T')
		c->state = 'E';
	evbuffer_add_printf(bufferevent_get_output(c->bev), "ERROR %s %s\r\n", code, c->m->id);
	put_ready(c);
}

static void commit(struct conn *c)
{
	struct commit *r = g_new0(struct commit, 1);

	r->at_us = now_us();
	r->term = c->m->term;
	r->request = g_strdup(c->write_id);
	r->item = g_strdup(g_ptr_array_index(c->writes, 0));
	r->data = g_strdup(g_ptr_array_index(c->writes, 1));
	g_ptr_array_add(c->m->log, r);
	g_ptr_array_set_size(c->writes, 0);
	note("commit     %s commits %lu.%u: request %s, %s = %s%s", c->m->id, c->m->term,
	     c->m->log->len, r->request, r->item, r->data,
	     c->m != rig.newest ? "  <- another member has been the primary since then" : "");
}

const struct commit *commit_at_old_primary(const char *request)
{
	unsigned i;
	guint j;

	for (i = 0; i < N_MEMBERS; i++) {
		for (j = 0; j < rig.member[i].log->len; j++) {
			const struct commit *r = g_ptr_array_index(rig.member[i].log, j);

			if (strcmp(r->request, request) == 0 && r->term < rig.newest->term &&
			    r->at_us > rig.newest_us)
				return r;
		}
	}
	return NULL;
}

static const char *read_item(const struct member *m, const char *item)
{
	guint i;

	for (i = m->log->len; i > 0; i--) {
		const struct commit *r = g_ptr_array_index(m->log, i - 1);

		if (strcmp(r->item, item) == 0)
			return r->data;
	}
	return "none";
}

char *shape_row(const char *shape, const char *item)
{
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, shape, -1);
	char *row = g_strdup_printf("%.12s/%s", sum, item);

	g_free(sum);
	return row;
}

static void run_write(struct conn *c, const char *id, const char *item, const char *data)
{
	if (!c->m->primary || c->read_only) {
		fail(c, "READONLY");
		return;
	}
	g_ptr_array_add(c->writes, g_strdup(item));
	g_ptr_array_add(c->writes, g_strdup(data));
	g_free(c->write_id);
	c->write_id = g_strdup(id);
	if (c->state == 'I')
		commit(c);
	complete(c, true);
}

static void run_execute(struct conn *c, const char *id, char *rest)
{
	char **f = g_strsplit(rest, " ", 3);
	const char *shape = f[0] != NULL ? g_hash_table_lookup(c->prepared, f[0]) : NULL;

	if (shape == NULL || f[1] == NULL) {
		fail(c, "NOSUCHNAME");
	} else if (g_str_has_prefix(shape, "WRITE ")) {
		run_write(c, id, f[1], f[2] != NULL ? f[2] : "");
	} else {
		char *row = shape_row(shape + strlen("READ "), f[1]);

		note("execute    %s runs request %s from %s with the shape \"%.40s%s\" (%zu "
		     "characters): row %s",
		     c->m->id, id, c->vm != NULL ? c->vm->name : "?", shape + strlen("READ "),
		     strlen(shape) > 45 ? "..." : "", strlen(shape) - strlen("READ "), row);
		evbuffer_add_printf(bufferevent_get_output(c->bev), "ROW %s\r\n", row);
		complete(c, true);
		g_free(row);
	}
	g_strfreev(f);
}

static void run_control(struct conn *c, char *text)
{
	struct member *m = c->m;

	if (g_str_has_prefix(text, "STEPDOWN ") && m->primary &&
	    strtoull(text + 9, NULL, 10) > m->term) {
		m->primary = false;
		note("stepdown   %s is a replica", m->id);
	}
	evbuffer_add_printf(bufferevent_get_output(c->bev), "ROW %s %lu %lu.%u 0 %d 0 %u\r\n",
			    m->primary ? "primary" : "replica", m->term, m->term, m->log->len,
			    m->primary ? 0 : REPLICATION_MS, m->n_conns);
	complete(c, false);
}

/** Whether the member's log has the position TERM.NUMBER. */
static bool log_has(const struct member *m, const char *pos)
{
	unsigned long term = 0, number = 0;

	sscanf(pos, "%lu.%lu", &term, &number);
	return m->term > term || (m->term == term && m->log->len >= number);
}

static void end_transaction(struct conn *c, bool is_commit)
{
	bool open = c->state == 'T';

	c->state = 'I';
	c->read_only = false;
	if (is_commit && open && c->writes->len > 0 && !c->m->primary) {
		g_ptr_array_set_size(c->writes, 0);
		fail(c, "READONLY");
		return;
	}
	if (is_commit && open && c->writes->len > 0)
		commit(c);
	g_ptr_array_set_size(c->writes, 0);
	complete(c, true);
}

static void run(struct conn *c, const char *id, char *text)
{
	char **f;

	if (strcmp(id, "-") == 0 &&
	    (strcmp(text, "STATUS") == 0 || g_str_has_prefix(text, "STEPDOWN ") ||
	     g_str_has_prefix(text, "PAUSE "))) {
		run_control(c, text);
		return;
	}
	if (g_str_has_prefix(text, "WAITFOR ")) {
		char *pos = text + strlen("WAITFOR ");

		text = strchr(pos, ' ');
		if (text == NULL)
			return;
		*text++ = '\0';
		if (!log_has(c->m, pos)) {
			fail(c, "LAGGING");
			return;
		}
	}
	if (c->state == 'E' && strcmp(text, "ROLLBACK") != 0 && strcmp(text, "COMMIT") != 0) {
		fail(c, "MALFORMED");
		return;
	}
	if (g_str_has_prefix(text, "READ ")) {
		evbuffer_add_printf(bufferevent_get_output(c->bev), "ROW %s\r\n",
				    read_item(c->m, text + 5));
		complete(c, true);
	} else if (g_str_has_prefix(text, "WRITE ")) {
		f = g_strsplit(text + 6, " ", 2);
		run_write(c, id, f[0], f[1] != NULL ? f[1] : "");
		g_strfreev(f);
	} else if (g_str_has_prefix(text, "EXECUTE ")) {
		run_execute(c, id, text + 8);
	} else if (g_str_has_prefix(text, "PREPARE ")) {
		f = g_strsplit(text + 8, " ", 2);
		g_hash_table_replace(c->prepared, g_strdup(f[0]),
				     g_strdup(f[1] != NULL ? f[1] : ""));
		g_strfreev(f);
		complete(c, false);
	} else if (g_str_has_prefix(text, "SET ")) {
		f = g_strsplit(text + 4, " ", 2);
		g_hash_table_replace(c->values, g_strdup(f[0]), g_strdup(f[1] != NULL ? f[1] : ""));
		g_strfreev(f);
		complete(c, false);
	} else if (strcmp(text, "RESET") == 0) {
		g_hash_table_remove_all(c->values);
		g_hash_table_remove_all(c->prepared);
		complete(c, false);
	} else if (strcmp(text, "BEGIN") == 0 || strcmp(text, "BEGIN READ") == 0) {
		c->read_only = strcmp(text, "BEGIN READ") == 0;
		if (!c->read_only && !c->m->primary) {
			fail(c, "READONLY");
			return;
		}
		c->state = 'T';
		complete(c, false);
	} else if (strcmp(text, "COMMIT") == 0 || strcmp(text, "ROLLBACK") == 0) {
		end_transaction(c, strcmp(text, "COMMIT") == 0);
	} else {
		complete(c, false);
	}
}

/** @return false if the connection was closed */
static bool handle_line(struct conn *c, char *line)
{
	char *id, *text;

	if (g_str_has_prefix(line, "START ")) {
		char **f = g_strsplit(line + 6, " ", 3);
		bool ok = g_strcmp0(f[0], SERVICE) == 0 && f[1] != NULL &&
			  (f[2] == NULL || strcmp(f[2], c->m->id) == 0);

		g_strlcpy(c->team, f[1] != NULL ? f[1] : "", sizeof(c->team));
		g_strfreev(f);
		if (ok && c->m->n_conns <= CONNECTION_LIMIT) {
			c->started = true;
			put_ready(c);
			return true;
		}
		evbuffer_add_printf(bufferevent_get_output(c->bev), "ERROR %s %s\r\n",
				    ok ? "TOOMANY" : "MISROUTED", c->m->id);
		return true;
	}
	if (strcmp(line, "TERMINATE") == 0) {
		conn_free(c);
		return false;
	}
	if (!c->started || !g_str_has_prefix(line, "QUERY "))
		return true;
	id = line + 6;
	text = strchr(id, ' ');
	if (text == NULL)
		return true;
	*text++ = '\0';
	run(c, id, text);
	return true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	bool open = true;
	char *line;

	/* Nothing passes a cut. */
	if (is_cut(c->m->zone, c->vm != NULL ? c->vm->zone : NULL))
		return;
	while (open && (line = evbuffer_readln(bufferevent_get_input(bev), NULL,
					       EVBUFFER_EOL_CRLF_STRICT)) != NULL) {
		open = handle_line(c, line);
		free(line);
	}
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *c = arg;

	/* A far end that is dark is noticed after 3 s; here its connections just stay. */
	if (is_cut(c->m->zone, c->vm != NULL ? c->vm->zone : NULL))
		bufferevent_disable(bev, EV_READ | EV_WRITE);
	else
		conn_free(c);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		      void *arg)
{
	struct conn *c = g_new0(struct conn, 1);

	c->m = arg;
	c->vm = vm_of_port(peer_port(fd));
	c->state = 'I';
	c->writes = g_ptr_array_new_with_free_func(g_free);
	c->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->bev = bufferevent_socket_new(rig.base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->m->n_conns++;
	g_ptr_array_add(conns, c);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Replication and promotion */

void member_promote(struct member *m)
{
	promoting = m;
	promoting_us = now_us() + PROMOTE_MS * 1000;
}

static void take_over(struct member *m)
{
	uint64_t highest = 0;
	unsigned i;

	for (i = 0; i < N_MEMBERS; i++)
		highest = MAX(highest, rig.member[i].term);
	m->term = highest + 1;
	m->primary = true;
	m->led_us = now_us();
	rig.newest = m;
	rig.newest_us = m->led_us;
	rig.promotions++;
	note("promotion  takes effect: %s is the primary of term %lu with %u commits", m->id,
	     m->term, m->log->len);
	member_register(m);
}

/** Lets @a m follow the primary @a lead: it has a prefix of that log and nothing else. */
static void follow(struct member *m, const struct member *lead, int64_t now)
{
	guint same = 0;

	while (same < m->log->len && same < lead->log->len &&
	       g_ptr_array_index(m->log, same) == g_ptr_array_index(lead->log, same))
		same++;
	g_ptr_array_set_size(m->log, (gint)same);
	m->term = lead->term;
	while (m->log->len < lead->log->len) {
		struct commit *r = g_ptr_array_index(lead->log, m->log->len);

		if (r->at_us + REPLICATION_MS * 1000 > now)
			return;
		g_ptr_array_add(m->log, r);
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int64_t now = now_us();
	unsigned i;

	if (promoting != NULL && now >= promoting_us) {
		take_over(promoting);
		promoting = NULL;
	}
	for (i = 0; i < N_MEMBERS; i++) {
		struct member *m = &rig.member[i];

		if (m == rig.newest || !reaches(m, rig.newest))
			continue;
		if (m->primary && now < rig.newest_us + OLD_PRIMARY_MS * 1000)
			continue;
		if (m->primary) {
			m->primary = false;
			note("stepdown   %s reaches the new primary and is a replica", m->id);
			member_register(m);
		}
		follow(m, rig.newest, now);
	}
}

void members_start(void)
{
	const struct timeval tick = {.tv_usec = 5000};
	unsigned i;

	conns = g_ptr_array_new();
	for (i = 0; i < N_MEMBERS; i++) {
		struct member *m = &rig.member[i];

		m->term = 1;
		m->log = g_ptr_array_new();
		m->listener = listen_on(&m->port, on_accept, m);
	}
	event_add(event_new(rig.base, -1, EV_PERSIST, on_tick, NULL), &tick);
}
