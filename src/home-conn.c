/** @file home-conn.c Connections to one member, within its connection limit. */
#include "home.h"

#include "log.h"
#include "stat.h"

#include <string.h>

#define OPEN_TIMEOUT_US (1000 * USEC_PER_MSEC)
/** Pause after the member refused a connection. */
#define OPEN_RETRY_US (100 * USEC_PER_MSEC)

unsigned home_conn_limit(const struct home_member *m)
{
	/*
	 * Leave room for the monitoring connections. While two homes serve the member for a time,
	 * the member's own limit bounds their connections together.
	 */
	return m->conf.connections > HOME_CONTROL_CONNECTIONS
		       ? m->conf.connections - HOME_CONTROL_CONNECTIONS
		       : 1;
}

struct home_conn *home_conn_idle(struct home_member *m)
{
	struct home_conn *c;

	TAILQ_FOREACH(c, &m->conns, link) {
		if (c->open && c->job == NULL && c->tx == NULL)
			return c;
	}
	return NULL;
}

void home_conn_close(struct home_conn *c)
{
	struct home_member *m = c->m;

	TAILQ_REMOVE(&m->conns, c, link);
	m->n_conns--;
	if (!c->open)
		m->n_opening--;
	c->db->ops->close(c->db);
	g_free(c);
}

static void conn_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct home_conn *c = arg;
	struct home_member *m = c->m;

	if (!ok) {
		log_info("connection-refused", LOG_STR("pool", m->pool),
			 LOG_STR("member", m->conf.name), LOG_STR("why", why));
		m->open_after_us = now_us() + OPEN_RETRY_US;
		home_conn_close(c);
		home_watch_probe_soon(m);
		return;
	}
	stat_add(STAT_CONNECTIONS_OPENED, 1);
	c->open = true;
	c->idle_us = now_us();
	m->n_opening--;
	home_dispatch(m);
}

void home_conn_open(struct home_member *m)
{
	struct kernel *k = m->home->service.kernel;
	struct home_conn *c;

	if (m->n_conns >= home_conn_limit(m) || now_us() < m->open_after_us)
		return;
	c = g_new0(struct home_conn, 1);
	c->m = m;
	m->n_conns++;
	m->n_opening++;
	TAILQ_INSERT_TAIL(&m->conns, c, link);
	c->db = db_libpq_ops.open(k, m->conf.address, m->pool, OPEN_TIMEOUT_US, conn_opened, c);
}

void home_conn_release(struct home_conn *c)
{
	struct home_member *m = c->m;

	c->job = NULL;
	c->idle_checks = 0;
	c->idle_us = now_us();
	/* Another session must not get a connection that is still inside a transaction. */
	if (!c->db->ops->is_idle(c->db)) {
		home_conn_close(c);
		return;
	}
	/*
	 * Reuse the most recently used connection first, so that the others stay idle and can be
	 * closed after a peak of load.
	 */
	TAILQ_REMOVE(&m->conns, c, link);
	TAILQ_INSERT_HEAD(&m->conns, c, link);
}

void home_conn_trim(struct home_member *m, int64_t idle_before_us)
{
	struct home_conn *c, *next;

	TAILQ_FOREACH_SAFE(c, &m->conns, link, next) {
		if (c->open && c->job == NULL && c->tx == NULL && c->idle_us <= idle_before_us)
			home_conn_close(c);
	}
}
