/** @file owner-conn.c Connections to members, and transactions on them. */
#include "owner.h"

#include "adapter.h"
#include "keep.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** Connections of a member that are reserved for probes of this and other VMs. */
#define PROBE_CONNECTIONS 2
/** Connections of the primary that are reserved for probes and for an owner that takes over. */
#define PRIMARY_CONNECTIONS_RESERVED 4
/**
 * An owner or reader usually holds at most 1/REPLICA_USUAL_DIVISOR of the connections that a
 * replica accepts.
 */
#define REPLICA_USUAL_DIVISOR 3
/** How long any unused connection is kept. */
#define IDLE_KEEP_US (700 * USEC_PER_MSEC)
/**
 * How long the connections that keep_idle_limit() allows are kept. Members close connections that
 * are idle for longer.
 */
#define IDLE_KEEP_MAX_US (20 * USEC_PER_SEC)
/** Pause after MEMBER_FULL from a member to which this VM has no open connection. */
#define FULL_RETRY_US (60 * USEC_PER_MSEC)
/**
 * How long after MEMBER_FULL this VM keeps no idle connections, or with a budget fewer of them,
 * since other VMs need them.
 */
#define FULL_RECENT_US (3 * USEC_PER_SEC)
/** How long after its last READER_LOCAL read a VM counts as the reader of its data centre. */
#define LOCAL_READER_FRESH_US (5 * USEC_PER_SEC)
/**
 * How soon the statement is expected for which a connection is opened in advance: a round trip of
 * the caller after its BEGIN, a few after the start of its session. A connection that is expected
 * to be used within this time is not closed for it.
 */
#define AHEAD_USED_WITHIN_US (1 * USEC_PER_SEC)
/** Time limit for opening a connection. */
#define OPEN_TIMEOUT_US (400 * USEC_PER_MSEC)
/** How long after MEMBER_FULL no more connections are opened than were open then. */
#define FULL_PAUSE_US (300 * USEC_PER_MSEC)
/** Longest pause after MEMBER_FULL with a budget; it doubles with each refusal. */
#define FULL_PAUSE_MAX_US (1200 * USEC_PER_MSEC)
/** Refusals within this time are of connections that were opened at the same time. */
#define FULL_TOGETHER_US (50 * USEC_PER_MSEC)
/** Pause before the next connection after any other failure to open one. */
#define REFUSED_PAUSE_US (100 * USEC_PER_MSEC)
/**
 * How long a connection stays open for the answer to a statement whose caller was already answered.
 */
#define ABANDONED_TIMEOUT_US (3 * USEC_PER_SEC)

unsigned conn_users(const struct owner_member *m)
{
	const struct fleet *f = owner_group_fleet(m->g);
	unsigned i, users = 2;

	if (m == owner_group_primary(m->g))
		return 1;
	for (i = 0; i < f->n_data_centers; i++)
		users += owner_group_has_member(m->g, f->data_center[i]) ? 0 : 1;
	return users;
}

/**
 * Returns the maximum number of connections that this VM opens to a member. For a replica it is
 * half of what the replica accepts: when the VM of an owner loses power, the member counts its
 * connections for some more seconds, and the next owner needs as many. On the primary, open
 * transactions hold connections between statements, so most are used.
 */
static unsigned conn_limit(const struct owner_member *m)
{
	unsigned all = m->conf.connections;
	unsigned half = all > PROBE_CONNECTIONS ? (all - PROBE_CONNECTIONS) / 2 : 1;
	int64_t now = now_us();

	if (m == owner_group_primary(m->g))
		half = MAX(half, all > PRIMARY_CONNECTIONS_RESERVED
					 ? all - PRIMARY_CONNECTIONS_RESERVED
					 : 0);
	if (budget_active(m))
		half = budget_limit(m, half, now);
	if (now < m->full_until_us && m->full_limit < half)
		half = m->full_limit;
	return MAX(half, 1);
}

static bool recently_full(const struct owner_member *m, int64_t now)
{
	return m->full_us != 0 && now - m->full_us < FULL_RECENT_US;
}

/**
 * Returns the number of connections up to which new ones are opened while others are idle. Above
 * it, an idle connection is replaced: if this VM loses power, connections held without need are
 * missing for the next owner.
 */
static unsigned conn_usual_limit(const struct owner_member *m)
{
	unsigned usual, shared;

	if (budget_active(m)) {
		usual = budget_usual(m, conn_limit(m));
		/* The refusal shows that more VMs use the member than those that are counted. */
		shared = MAX(m->conf.connections / (conn_users(m) + 1), m->conf.slots + 1);
		return recently_full(m, now_us()) ? MIN(usual, shared) : usual;
	}
	if (m == owner_group_primary(m->g))
		return conn_limit(m);

	return MAX(m->conf.connections / REPLICA_USUAL_DIVISOR, m->conf.slots + 1);
}

bool conn_idle(const struct owner_conn *c)
{
	return c->open && c->job == NULL && c->tx == NULL && !c->abandoned;
}

/**
 * Whether this VM is one of those that conn_users() counts. A VM that reads only while the owner
 * is unreachable is not.
 */
static bool is_user(const struct owner_group *g, int64_t now)
{
	return owner_group_is_own(g) ||
	       (g->last_local_read_us != 0 && now - g->last_local_read_us < LOCAL_READER_FRESH_US);
}

static const struct member_ops *ops_of(const struct owner_member *m)
{
	return m->g->o->service.kernel->adapter->member;
}

void conn_close(struct owner_conn *c)
{
	struct owner_member *m = c->m;

	if (c->tx != NULL)
		tx_free(c->tx);
	TAILQ_REMOVE(&m->conns, c, link);
	m->n_conns--;
	if (c->open)
		m->n_open--;
	budget_conn_settled(c);
	c->mc->ops->close(c->mc);
	g_hash_table_destroy(c->values);
	g_hash_table_destroy(c->prepared);
	g_free(c);
}

static void on_closed(struct member_conn *mc, void *arg)
{
	struct owner_conn *c = arg;
	struct owner_member *m = c->m;

	stat_add(STAT_CONNECTIONS_LOST, 1);
	if (c->job != NULL) {
		load_failed(m, now_us());
		job_lost(c->job, "closed");
	} else {
		conn_close(c);
	}
	watch_probe_soon(m);
}

/**
 * Returns how long no more connections are opened than are open now. With a budget the pause
 * doubles: a member that stays full for seconds, because of VMs that do not know of each other, is
 * asked less and less often.
 */
static int64_t full_pause_us(struct owner_member *m, int64_t now)
{
	int64_t pause = m->n_open == 0 ? FULL_RETRY_US : FULL_PAUSE_US;

	if (!budget_active(m))
		return pause;
	if (m->full_pause_us == 0 || !recently_full(m, now))
		m->full_pause_us = pause;
	else if (now - m->full_us >= FULL_TOGETHER_US)
		m->full_pause_us = MIN(2 * m->full_pause_us, FULL_PAUSE_MAX_US);
	return m->full_pause_us;
}

static void refused_as_full(struct owner_member *m, int64_t now)
{
	int64_t pause = full_pause_us(m, now);

	m->full_limit = m->n_open;
	m->full_us = now;
	m->full_until_us = now + MAX(pause, FULL_PAUSE_US);
	if (m->n_open == 0)
		m->open_after_us = now + pause;
}

/**
 * Whether no connection is opened now. With a budget, a member that was full lately gets one at a
 * time: several at once would all be refused.
 */
static bool opening_waits(const struct owner_member *m, int64_t now)
{
	return now < m->open_after_us ||
	       (recently_full(m, now) && m->n_conns > m->n_open && budget_active(m));
}

static void on_opened(struct member_conn *mc, enum member_result result, struct pos pos, void *arg)
{
	struct owner_conn *c = arg;
	struct owner_member *m = c->m;
	bool ahead = c->job == NULL && result == MEMBER_DONE;
	int64_t now = now_us();

	budget_conn_settled(c);
	if (result == MEMBER_DONE) {
		watch_answered(m, pos, c->sent_us);
		c->open = true;
		m->n_open++;
		m->full_pause_us = 0;
		c->state_since_us = now;
	} else {
		if (result == MEMBER_FULL)
			refused_as_full(m, now);
		else
			m->open_after_us = now + REFUSED_PAUSE_US;
		if (result == MEMBER_LOST)
			m->refused = true;
		log_warn("connection-refused", LOG_STR("pool", m->g->pool),
			 LOG_STR("member", m->conf.name),
			 LOG_STR("result", member_result_name(result)),
			 LOG_NUM("connections", m->n_conns));
		watch_probe_soon(m);
	}
	job_conn_opened(c, result);
	if (ahead) {
		conn_release(c, TX_NONE);
		queue_dispatch(m->g);
	}
}

static struct owner_conn *conn_open(struct owner_member *m, const char *team, unsigned priority)
{
	struct owner_conn *c = g_new0(struct owner_conn, 1);

	c->m = m;
	g_strlcpy(c->team, team, sizeof(c->team));
	c->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->prepared = command_prepared_create();
	c->state_since_us = now_us();
	c->sent_us = c->state_since_us;
	c->budget.priority = priority;
	stat_add_class(STAT_OPENINGS, priority, 1);
	TAILQ_INSERT_TAIL(&m->conns, c, link);
	m->n_conns++;
	watch_sent(m, c->state_since_us);
	c->mc = ops_of(m)->open(m->g->o->service.kernel, m->conf.address, m->g->pool, team,
				m->conf.name, on_opened, on_closed, c);
	return c;
}

/** Returns the connection that has been idle for the longest time. */
static struct owner_conn *conn_oldest_idle(const struct owner_member *m)
{
	struct owner_conn *c, *best = NULL;

	TAILQ_FOREACH(c, &m->conns, link) {
		if (conn_idle(c) && (best == NULL || c->state_since_us < best->state_since_us))
			best = c;
	}
	return best;
}

bool conn_ready(const struct owner_member *m, const char *team)
{
	const struct owner_conn *c;

	TAILQ_FOREACH(c, &m->conns, link) {
		if (conn_idle(c) && strcmp(c->team, team) == 0)
			return true;
	}
	return false;
}

bool conn_available(const struct owner_member *m, const ml_run_args *a)
{
	int64_t now = now_us();

	if (!budget_begins_on(m, a))
		return false;
	if (conn_ready(m, a->team))
		return true;
	if (opening_waits(m, now))
		return false;
	if (budget_active(m))
		return budget_opens(m, conn_limit(m), a->priority, now);
	return m->n_conns < conn_limit(m) || conn_oldest_idle(m) != NULL;
}

/** Returns a connection of the team that is being opened in advance, or NULL. */
static struct owner_conn *conn_opening_ahead(const struct owner_member *m, const char *team)
{
	struct owner_conn *c;

	TAILQ_FOREACH(c, &m->conns, link) {
		if (!c->open && c->job == NULL && strcmp(c->team, team) == 0)
			return c;
	}
	return NULL;
}

/**
 * Closes idle connections so that one of @a team can be opened within the limits. A connection
 * belongs to one team until it is closed.
 * @param before_us one that is expected to be used within this time is not closed
 * @return whether there is room
 */
static bool conn_make_room(struct owner_member *m, const char *team, int64_t before_us, int64_t now)
{
	unsigned limit = conn_limit(m), usual = conn_usual_limit(m);
	struct owner_conn *c;
	double spare_us;

	while (m->n_conns >= usual) {
		c = budget_idle_conn(m, 0, now, &spare_us);
		if (c == NULL || spare_us < (double)before_us)
			break;
		budget_log_evicted(c, team, spare_us);
		conn_close(c);
		if (m->n_conns < limit)
			return true;
	}
	return m->n_conns < limit;
}

struct owner_conn *conn_get(struct owner_member *m, const char *team, unsigned priority)
{
	struct owner_conn *c, *best = NULL;
	int64_t now = now_us();

	/* Prefer the one used last, whose prepared statements and values most likely fit. */
	TAILQ_FOREACH(c, &m->conns, link) {
		if (conn_idle(c) && strcmp(c->team, team) == 0 &&
		    (best == NULL || c->state_since_us > best->state_since_us))
			best = c;
	}
	if (best == NULL)
		best = conn_opening_ahead(m, team);
	if (best != NULL) {
		budget_used(m, team, priority, now);
		budget_conn_taken(best);
		return best;
	}
	if (opening_waits(m, now))
		return NULL;
	if (budget_active(m)) {
		if (!budget_opens(m, conn_limit(m), priority, now) ||
		    !conn_make_room(m, team, 0, now))
			return NULL;
		budget_used(m, team, priority, now);
		return conn_open(m, team, priority);
	}
	/*
	 * A connection belongs to one team until it is closed. An idle one of another team is
	 * closed to make room.
	 */
	c = m->n_conns >= conn_usual_limit(m) ? conn_oldest_idle(m) : NULL;
	if (c != NULL)
		conn_close(c);
	else if (m->n_conns >= conn_limit(m))
		return NULL;
	return conn_open(m, team, priority);
}

bool conn_open_ahead(struct owner_member *m, const char *team, unsigned priority)
{
	struct owner_conn *c;
	int64_t now = now_us();

	if (opening_waits(m, now) || conn_ready(m, team) || conn_opening_ahead(m, team) != NULL ||
	    m->in_flight >= m->conf.slots || !budget_opens(m, conn_limit(m), priority, now))
		return false;
	if (m->n_conns > conn_usual_limit(m) ||
	    !conn_make_room(m, team, AHEAD_USED_WITHIN_US, now) ||
	    m->n_conns >= conn_usual_limit(m))
		return false;
	c = conn_open(m, team, priority);
	c->budget.ahead = true;
	c->budget.holds_slot = true;
	m->in_flight++;
	stat_add_class(STAT_OPENINGS_AHEAD, priority, 1);
	return true;
}

void conn_release(struct owner_conn *c, enum tx_state state)
{
	struct owner_member *m = c->m;

	c->job = NULL;
	c->state_since_us = now_us();
	if (c->tx != NULL)
		return;
	if (state != TX_NONE || !m->listed || m->down || (m->g->yielded && !m->g->serves_reads)) {
		conn_close(c);
		return;
	}
	/* After a hand-over, idle connections only take room from the new owner. */
	if (!owner_group_is_own(m->g) && !m->g->serves_reads)
		conn_close(c);
}

void conn_close_stale(struct owner_member *m)
{
	int64_t now = now_us();
	struct owner_conn *c, *next;

	TAILQ_FOREACH_SAFE(c, &m->conns, link, next) {
		if (conn_idle(c) && now - c->state_since_us > IDLE_KEEP_US)
			conn_close(c);
	}
}

void conn_close_idle(struct owner_member *m)
{
	struct owner_conn *c, *next;

	TAILQ_FOREACH_SAFE(c, &m->conns, link, next) {
		if (conn_idle(c) || c->abandoned)
			conn_close(c);
	}
}

void conn_close_all(struct owner_member *m)
{
	struct owner_conn *c;

	while ((c = TAILQ_FIRST(&m->conns)) != NULL) {
		if (c->job != NULL)
			job_lost(c->job, "member-dropped");
		else
			conn_close(c);
	}
	budget_history_clear(&m->budget.history);
}

/** Returns how many unused connections are kept for longer than IDLE_KEEP_US. */
static unsigned idle_conns_to_keep(const struct owner_member *m, unsigned unused, int64_t now)
{
	unsigned all = m->conf.connections;
	struct keep_member k = {.slots = m->conf.slots};

	if (!is_user(m->g, now) || (recently_full(m, now) && !budget_active(m)))
		return 0;
	if (budget_active(m))
		return conn_usual_limit(m) > m->n_conns - unused
			       ? conn_usual_limit(m) - (m->n_conns - unused)
			       : 0;
	k.connections = all > PROBE_CONNECTIONS ? all - PROBE_CONNECTIONS : 0;
	k.users = conn_users(m);
	k.most = keep_peak_use(&m->use);
	return keep_idle_limit(&k);
}

/**
 * Closes idle connections beyond this VM's limit at once, and those beyond what it usually keeps
 * after IDLE_KEEP_US, in the order of their expected next use. @return their number
 */
static unsigned close_beyond_budget(struct owner_member *m, unsigned unused, int64_t now)
{
	unsigned limit = conn_limit(m), keep = idle_conns_to_keep(m, unused, now), closed = 0;
	struct owner_conn *c;
	double spare_us;

	while (unused - closed > 0 && (m->n_conns > limit || unused - closed > keep)) {
		c = budget_idle_conn(m, m->n_conns > limit ? 0 : IDLE_KEEP_US, now, &spare_us);
		if (c == NULL)
			break;
		conn_close(c);
		closed++;
	}
	return closed;
}

/** Closes connections that have been unused for too long, the oldest first. */
static void close_unused(struct owner_member *m, int64_t now)
{
	struct owner_conn *c;
	unsigned unused = 0, keep;

	TAILQ_FOREACH(c, &m->conns, link)
		unused += conn_idle(c) ? 1 : 0;
	keep_record_use(&m->use, m->n_conns - unused, now);
	budget_tick(m, now);
	if (budget_active(m))
		unused -= close_beyond_budget(m, unused, now);
	keep = unused > 0 ? idle_conns_to_keep(m, unused, now) : 0;
	while (unused > 0) {
		int64_t unused_us;

		c = conn_oldest_idle(m);
		unused_us = now - c->state_since_us;
		if (unused_us <=
		    (unused > keep && !budget_active(m) ? IDLE_KEEP_US : IDLE_KEEP_MAX_US))
			return;
		conn_close(c);
		unused--;
	}
}

void conn_tick(struct owner_member *m, int64_t now)
{
	struct owner_conn *c, *next;

	TAILQ_FOREACH_SAFE(c, &m->conns, link, next) {
		if (!c->open && now - c->state_since_us > OPEN_TIMEOUT_US) {
			m->open_after_us = now + REFUSED_PAUSE_US;
			log_warn("connection-silent", LOG_STR("pool", m->g->pool),
				 LOG_STR("member", m->conf.name),
				 LOG_NUM("waited_ms", (now - c->state_since_us) / USEC_PER_MSEC));
			job_conn_opened(c, MEMBER_LOST);
			/* Ending the job may have closed other connections of the list. */
			return;
		}
		if (c->abandoned && now - c->state_since_us > ABANDONED_TIMEOUT_US)
			conn_close(c);
	}
	close_unused(m, now);
}

/* Transactions */

struct owner_tx *tx_find(struct owner_group *g, uint64_t id)
{
	struct owner_tx *tx;

	TAILQ_FOREACH(tx, &g->txs, link) {
		if (tx->id == id)
			return tx;
	}
	return NULL;
}

struct owner_tx *tx_create(struct owner_job *job)
{
	struct owner_tx *tx = g_new0(struct owner_tx, 1);

	tx->id = random_bits() | 1;
	tx->conn = job->conn;
	tx->rpc_conn = rpc_request_conn(job->rq);
	tx->read_only = job->args->begin == STATEMENT_BEGIN_READ;
	tx->on_primary = job->on_primary;
	tx->term = job->term;
	tx->last_used_us = now_us();
	tx->idle_timeout_us = (int64_t)job->args->idle_tx_ms * USEC_PER_MSEC;
	job->conn->tx = tx;
	budget_begin_ends(job);
	TAILQ_INSERT_TAIL(&job->g->txs, tx, link);
	return tx;
}

void tx_free(struct owner_tx *tx)
{
	TAILQ_REMOVE(&tx->conn->m->g->txs, tx, link);
	tx->conn->tx = NULL;
	g_free(tx);
}

void tx_abort(struct owner_tx *tx, const char *why)
{
	struct owner_conn *c = tx->conn;

	log_info("transaction-aborted", LOG_STR("pool", c->m->g->pool),
		 LOG_STR("member", c->m->conf.name), LOG_STR("team", c->team), LOG_STR("why", why),
		 LOG_NUM("idle_ms", (now_us() - tx->last_used_us) / USEC_PER_MSEC));
	if (c->job != NULL)
		job_lost(c->job, why);
	else
		conn_close(c);
}

/**
 * Aborts the idle transactions of an entry whose RPC connection closed, since their callers are
 * gone.
 */
void tx_closed(uint64_t rpc_conn, void *owner)
{
	struct owner *o = owner;
	struct owner_group *g;
	struct owner_tx *tx, *next;

	TAILQ_FOREACH(g, &o->groups, link) {
		TAILQ_FOREACH_SAFE(tx, &g->txs, link, next) {
			if (tx->rpc_conn == rpc_conn && rpc_conn != 0 && tx->conn->job == NULL)
				tx_abort(tx, "entry-gone");
		}
	}
}
