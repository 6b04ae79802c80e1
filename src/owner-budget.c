/** @file owner-budget.c Connections to a member as a budget of teams, classes and VMs. */
#include "owner.h"

#include "fleet-store.h"
#include "log.h"
#include "place.h"
#include "stat.h"

#include <string.h>

/** A reader asks for the connections that it expects to use within this time. */
#define WANT_WITHIN_US (6 * USEC_PER_SEC)
/** An unused connection that was opened in advance is not closed for others within this time. */
#define AHEAD_KEEP_US (1 * USEC_PER_SEC)
/** Most connections that are left for probes while no grants are in effect, as in owner-conn.c. */
#define UNGRANTED_PROBE_CONNECTIONS 2
/** Longest retry hint of a begin that is refused because of open transactions. */
#define RESTING_RETRY_MAX_US (1 * USEC_PER_SEC)
/** Retry hint while all open transactions run statements, so that one may end soon. */
#define RESTING_RETRY_MIN_US (100 * USEC_PER_MSEC)

static const struct settings *settings_of(const struct owner_group *g)
{
	return g->o->service.kernel->settings;
}

static unsigned count_teams(struct owner *o)
{
	const struct conf *conf = fleet_of(o->service.kernel)->conf;
	struct owner_budget_teams *t = &o->teams;
	GHashTableIter iter;
	gpointer entry;

	if (t->counted && t->version == conf->changed[CONF_TEAM])
		return t->n;
	t->counted = true;
	t->version = conf->changed[CONF_TEAM];
	t->n = 0;
	g_hash_table_iter_init(&iter, conf->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry)) {
		const struct conf_entry *e = entry;

		t->n += e->kind == CONF_TEAM && !e->removed ? 1 : 0;
	}
	return t->n;
}

bool budget_active(const struct owner_member *m)
{
	return settings_of(m->g)->connection_budget && count_teams(m->g->o) > m->conf.connections;
}

void budget_clear(struct owner_member *m)
{
	budget_history_clear(&m->budget.history);
	g_clear_pointer(&m->budget.grants, g_free);
}

/* Use by team */

static bool team_conn_in_use(const struct owner_conn *c, const char *team)
{
	return !conn_idle(c) && strcmp(c->team, team) == 0;
}

static unsigned team_in_use(const struct owner_member *m, const char *team)
{
	const struct owner_conn *c;
	unsigned n = 0;

	TAILQ_FOREACH(c, &m->conns, link)
		n += team_conn_in_use(c, team) ? 1 : 0;
	return n;
}

static unsigned conns_in_use(const struct owner_member *m)
{
	const struct owner_conn *c;
	unsigned n = 0;

	TAILQ_FOREACH(c, &m->conns, link)
		n += conn_idle(c) ? 0 : 1;
	return n;
}

void budget_used(struct owner_member *m, const char *team, unsigned priority, int64_t now)
{
	if (budget_active(m))
		budget_record_use(&m->budget.history, team, priority, team_in_use(m, team), now);
}

/**
 * Returns how many connections of the team would be used before @a idle: those in use, and those
 * that became idle later.
 */
static unsigned conns_before(const struct owner_conn *idle)
{
	const struct owner_conn *c;
	unsigned n = 0;

	TAILQ_FOREACH(c, &idle->m->conns, link) {
		if (c == idle || strcmp(c->team, idle->team) != 0)
			continue;
		n += !conn_idle(c) || c->state_since_us > idle->state_since_us ? 1 : 0;
	}
	return n;
}

/** Returns the time until the next use of an idle connection, scaled by class. */
static double conn_spare_us(const struct owner_conn *c, int64_t now)
{
	if (c->budget.ahead && now - c->state_since_us < AHEAD_KEEP_US)
		return 0;
	return budget_spare_us(&c->m->budget.history, c->team, conns_before(c), now);
}

struct owner_conn *budget_idle_conn(const struct owner_member *m, int64_t idle_us, int64_t now,
				    double *spare_us)
{
	struct owner_conn *c, *best = NULL;

	TAILQ_FOREACH(c, &m->conns, link) {
		double us;

		if (!conn_idle(c) || now - c->state_since_us < idle_us)
			continue;
		us = conn_spare_us(c, now);
		if (best != NULL && us <= *spare_us)
			continue;
		best = c;
		*spare_us = us;
	}
	return best;
}

void budget_log_evicted(const struct owner_conn *c, const char *team, double spare_us)
{
	const struct owner_member *m = c->m;

	log_debug("connection-evicted", LOG_STR("pool", m->g->pool),
		  LOG_STR("member", m->conf.name), LOG_STR("team", c->team), LOG_STR("for", team),
		  LOG_NUM("idle_us", now_us() - c->state_since_us),
		  LOG_NUM("next_use_us", MIN(spare_us, (double)now_us())),
		  LOG_NUM("connections", m->n_conns));
}

void budget_conn_taken(struct owner_conn *c)
{
	if (!c->budget.ahead)
		return;
	c->budget.ahead = false;
	stat_add_class(STAT_OPENINGS_AHEAD_USED, c->budget.priority, 1);
	budget_conn_settled(c);
}

void budget_conn_settled(struct owner_conn *c)
{
	if (c->budget.holds_slot)
		c->m->in_flight--;
	c->budget.holds_slot = false;
}

/* Limits */

/** Returns the connections that a VM that takes over from this one after a power loss needs. */
static unsigned reserve_of(const struct owner_member *m)
{
	return MAX(keep_peak_use(&m->use), m->conf.slots + PLACE_PIPELINE_DEPTH);
}

unsigned budget_want(const struct owner_member *m, int64_t now)
{
	return MAX(budget_wanted(&m->budget.history, WANT_WITHIN_US, now), conns_in_use(m));
}

/** Whether this VM, as the owner, has granted connections to readers. */
static bool grants_given(const struct owner_budget *b)
{
	return b->grants != NULL && budget_granting(b->grants);
}

/** Whether the grants of a previous owner have expired. */
static bool grants_settled(const struct owner_budget *b, int64_t now)
{
	return b->owner_since_us != 0 && now - b->owner_since_us >= BUDGET_COUNT_US;
}

static struct budget_division division_of(const struct owner_member *m, int64_t now)
{
	bool primary = (int)m->index == m->g->primary;

	return (struct budget_division){
		.connections = m->conf.connections,
		.reserve = reserve_of(m),
		/* Readers use the primary only when no replica can serve a read. */
		.floor = primary ? BUDGET_UNGRANTED : m->conf.slots + PLACE_PIPELINE_DEPTH,
		.readers = conn_users(m) - 1,
		.held = m->n_conns,
		.want = budget_want(m, now),
		.settled = grants_settled(&m->budget, now),
	};
}

/** Computes what the grants leave to the owner; too slow for each statement. */
static void update_owner_limit(struct owner_member *m, int64_t now)
{
	struct budget_division d;

	if (!grants_given(&m->budget))
		return;
	d = division_of(m, now);
	m->budget.owner_limit = budget_owner_limit(m->budget.grants, &d, now);
}

unsigned budget_limit(const struct owner_member *m, unsigned otherwise, int64_t now)
{
	const struct owner_budget *b = &m->budget;

	if (!budget_active(m))
		return otherwise;
	if (!owner_group_is_own(m->g))
		return budget_allowed(&b->allowance, otherwise, now);
	/* Readers that ask for no grants have an older build and hold what they would without. */
	if (!grants_given(b))
		return otherwise;
	return grants_settled(b, now) ? b->owner_limit : MIN(b->owner_limit, otherwise);
}

unsigned budget_usual(const struct owner_member *m, unsigned limit)
{
	unsigned all = m->conf.connections, part = limit, reserve = reserve_of(m);
	bool own = owner_group_is_own(m->g);
	int64_t now = now_us();

	/* What a reader was granted excludes the reserve. */
	if (budget_active(m) && !own && now - m->budget.allowance.granted_us < BUDGET_GRANT_US)
		return limit;
	if (!budget_active(m) || !own || !grants_given(&m->budget))
		part = (all > UNGRANTED_PROBE_CONNECTIONS ? all - UNGRANTED_PROBE_CONNECTIONS : 0) /
		       conn_users(m);
	part = part > reserve ? part - reserve : 0;
	/*
	 * A member still counts the connections of an owner that lost power. What that one left
	 * free for its successor is not filled with idle connections.
	 */
	if (own && !grants_settled(&m->budget, now))
		part = MIN(part, reserve);
	/* Another VM may have claimed the group unknown to this one, and both serve callers. */
	if (own && fleet_store_lost())
		part = MIN(part, all / 2);
	return MIN(MAX(part, m->conf.slots + 1), limit);
}

bool budget_opens(const struct owner_member *m, unsigned limit, unsigned priority, int64_t now)
{
	const struct budget_opening o = {
		.limit = limit,
		.in_use = conns_in_use(m),
		.urgent_share = settings_of(m->g)->connection_urgent_share,
		.urgent_class = budget_urgent_class(&m->budget.history, now),
		.priority = priority,
	};

	return budget_may_open(&o);
}

unsigned budget_grant(struct owner_member *m, const char *vm, unsigned want, int64_t now)
{
	struct budget_division d;
	unsigned granted;

	if (!budget_active(m) || !owner_group_is_own(m->g))
		return 0;
	budget_tick(m, now);
	if (m->budget.grants == NULL)
		m->budget.grants = g_new0(struct budget_grants, 1);
	d = division_of(m, now);
	granted = budget_divide(m->budget.grants, &d, vm, want, now);
	update_owner_limit(m, now);
	return granted;
}

void budget_granted(struct owner_member *m, unsigned n, int64_t now)
{
	struct budget_allowance *a = &m->budget.allowance;

	/* An owner whose connections are no budget grants nothing. */
	if (n == 0)
		return;
	a->granted = MIN(n, m->conf.connections);
	a->granted_us = now;
}

void budget_tick(struct owner_member *m, int64_t now)
{
	struct owner_budget *b = &m->budget;
	unsigned expired;

	if (!owner_group_is_own(m->g)) {
		g_clear_pointer(&b->grants, g_free);
		b->owner_since_us = 0;
		if (!m->g->serves_reads)
			memset(&b->allowance, 0, sizeof(b->allowance));
		else if (b->allowance.since_us == 0)
			b->allowance.since_us = now;
		return;
	}
	memset(&b->allowance, 0, sizeof(b->allowance));
	/* A group that is not owned may not be ticked at all. */
	if (b->owner_since_us == 0 || now - b->ticked_us > BUDGET_GRANT_US)
		b->owner_since_us = now;
	b->ticked_us = now;
	expired = b->grants != NULL ? budget_expire(b->grants, now) : 0;
	if (expired > 0)
		stat_add(STAT_GRANTS_EXPIRED, expired);
	update_owner_limit(m, now);
}

/* Open transactions */

/** Counts the transactions on @a m that are open or about to begin there. */
static struct budget_resting resting_on(const struct owner_member *m, const ml_run_args *a)
{
	struct budget_resting r = {
		.connections = m->conf.connections,
		.resting_share = settings_of(m->g)->connection_resting_share,
		.urgent = MIN(a->priority, BUDGET_CLASSES - 1) <=
			  budget_urgent_class(&m->budget.history, now_us()),
	};
	const struct owner_job *job;
	const struct owner_tx *tx;

	TAILQ_FOREACH(tx, &m->g->txs, link) {
		if (tx->conn->m != m)
			continue;
		r.all++;
		r.team += strcmp(tx->conn->team, a->team) == 0 ? 1 : 0;
	}
	TAILQ_FOREACH(job, &m->g->begins, begin_link) {
		bool here = job->conn != NULL
				    ? job->conn->m == m
				    : job->needs_primary && (int)m->index == m->g->primary;

		/* The job itself may be looking for a member. */
		if (!here || job->args == a)
			continue;
		r.all++;
		r.team += strcmp(job->args->team, a->team) == 0 ? 1 : 0;
	}
	return r;
}

bool budget_begins_on(const struct owner_member *m, const ml_run_args *a)
{
	struct budget_resting r;

	/* What needs the primary was admitted when it came. */
	if (a->begin != STATEMENT_BEGIN_READ || a->mode == READ_PRIMARY || !budget_active(m))
		return true;
	r = resting_on(m, a);
	return budget_may_begin(&r);
}

/** Returns the time until a transaction on @a m that is idle reaches its limit, as a retry hint. */
static int64_t resting_retry_us(const struct owner_member *m, int64_t now)
{
	int64_t left_us = RESTING_RETRY_MAX_US;
	const struct owner_tx *tx;
	bool idle = false;

	TAILQ_FOREACH(tx, &m->g->txs, link) {
		if (tx->conn->m != m || tx->conn->job != NULL)
			continue;
		idle = true;
		if (tx->idle_timeout_us > 0)
			left_us = MIN(left_us, tx->last_used_us + tx->idle_timeout_us - now);
	}
	return idle ? MAX(left_us, USEC_PER_MSEC) : RESTING_RETRY_MIN_US;
}

/** Returns a member on which no further transaction may begin, if that is so on all that fit. */
static const struct owner_member *resting_member(const struct owner_group *g, const ml_run_args *a)
{
	const struct owner_member *full = NULL;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		if (!m->listed || m->down)
			continue;
		if (budget_begins_on(m, a))
			return NULL;
		full = m;
	}
	return full;
}

bool budget_admits_begin(struct owner_group *g, const ml_run_args *a, bool needs_primary,
			 int64_t *retry_after_us)
{
	const struct owner_member *m;
	struct budget_resting r;

	if (a->begin == 0 || !settings_of(g)->connection_budget)
		return true;
	owner_group_use(g);
	m = needs_primary ? owner_group_primary(g) : resting_member(g, a);
	if (m == NULL || !budget_active(m))
		return true;
	r = resting_on(m, a);
	if (budget_may_begin(&r))
		return true;
	*retry_after_us = resting_retry_us(m, now_us());
	stat_add_class(STAT_RESTING_REFUSED, a->priority, 1);
	log_info("transactions-resting", LOG_STR("request", a->request), LOG_STR("team", a->team),
		 LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("transactions", r.all), LOG_NUM("of_team", r.team),
		 LOG_NUM("urgent", r.urgent), LOG_NUM("connections", r.connections),
		 LOG_NUM("retry_after_us", *retry_after_us));
	return false;
}

void budget_begin_waits(struct owner_job *job)
{
	if (job->args->begin == 0)
		return;
	job->begin_waits = true;
	TAILQ_INSERT_TAIL(&job->g->begins, job, begin_link);
}

void budget_begin_ends(struct owner_job *job)
{
	if (!job->begin_waits)
		return;
	job->begin_waits = false;
	TAILQ_REMOVE(&job->g->begins, job, begin_link);
}

bool budget_in_pool(struct owner *o, const char *pool)
{
	const struct conf_pool *p = conf_pool(fleet_of(o->service.kernel)->conf, pool);
	unsigned i;

	if (!o->service.kernel->settings->connection_budget || p == NULL)
		return false;
	for (i = 0; i < p->n; i++) {
		if (count_teams(o) > p->member[i].connections)
			return true;
	}
	return false;
}

/* Opening in advance */

bool budget_preopens(struct owner *o, const char *pool)
{
	return o->service.kernel->settings->connection_preopen && budget_in_pool(o, pool);
}

static bool anything_waits(const struct owner_group *g)
{
	return dueq_length(&g->queues->write) > 0 || dueq_length(&g->queues->read) > 0 ||
	       !TAILQ_EMPTY(&g->held);
}

static bool may_preopen_on(const struct owner_member *m)
{
	return m->listed && !m->down && !m->conf.cold && !conf_member_leaves(&m->conf) &&
	       budget_active(m);
}

/** Returns the member that would serve a read now, or NULL. */
static struct owner_member *preopen_reader(struct owner_group *g, const char *team)
{
	struct place_member p[GROUP_MEMBERS_MAX] = {0};
	struct place_outcome best;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		p[i].fits = may_preopen_on(m);
		p[i].free = true;
		p[i].ready = conn_ready(m, team);
		p[i].primary = (int)i == g->primary;
		p[i].near = strcmp(m->conf.data_center, settings_of(g)->data_center) == 0;
		p[i].out = m->in_flight;
		p[i].slots = m->conf.slots;
		p[i].service_us = m->service_us;
	}
	best = place_read(p, g->n);
	return best.verdict == PLACE_MEMBER ? &g->member[best.member] : NULL;
}

static bool preopen(struct owner *o, const ml_preopen_args *a)
{
	struct owner_group *g = owner_group_find(o, a->pool);
	struct owner_member *m;

	if (g == NULL || a->team[0] == '\0' || !budget_preopens(o, a->pool) || o->leaving ||
	    !owner_group_is_own(g) || g->state != OWNER_SERVING || !owner_group_may_send(g) ||
	    anything_waits(g))
		return false;
	m = a->primary ? owner_group_primary(g) : preopen_reader(g, a->team);
	return m != NULL && may_preopen_on(m) && conn_open_ahead(m, a->team, a->priority);
}

void budget_preopen_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_preopen_args *a = args;
	ml_none res = {.ok = preopen(owner, a)};

	log_debug("preopen", LOG_STR("pool", a->pool), LOG_STR("team", a->team),
		  LOG_NUM("primary", a->primary), LOG_NUM("opening", res.ok));
	rpc_reply(rq, &res);
}
