/**
 * @file home-failover.c
 * Failover: the orders that a promoter (the home that runs a failover) sends to the homes of its
 * group's members, and the orders received for members of this home. Decisions are in
 * decide/failover.c.
 */
#include "home-watch.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"
#include "trace.h"

#include <stdio.h>
#include <string.h>

/** Minimum time between two orders to a member of this home to follow the primary. */
#define FOLLOW_PAUSE_US (200 * USEC_PER_MSEC)

static void failover_act(struct home_watch *w, struct failover_order o);

/** An order sent to the home of a member. */
struct order {
	struct home_watch *w;
	char member[NAME_SIZE];
	uint64_t term;
	bool promote;
	bool attach; /**< to follow the promoted member; the answer is not evaluated */
};

static void order_done(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_order_res *res = arg_res;
	struct order *o = arg;
	struct home_watch *w = o->w;
	bool answered = status == RPC_DONE && res->reached;
	int64_t now = now_us();
	int i;

	watch_call_ended(o);
	if (w != NULL && !o->attach) {
		i = group_find(&w->m->view, o->member);
		if (o->promote) {
			trace_promoted(w->m, o->term, answered && res->ok, now);
			failover_act(w, failover_promoted(&w->failover, o->term,
							  answered && res->ok, now));
		} else if (i >= 0 && answered) {
			struct pos received = {res->received.term, res->received.lsn};

			trace_fenced(w->m, i, o->term, res->ok, received, now);
			failover_act(w, failover_fenced(&w->failover, &w->m->view, i, o->term,
							res->ok, received, now));
		}
	}
	g_free(o);
}

static void send_order(struct home_watch *w, int i, uint64_t term, bool promote,
		       const char *upstream)
{
	ml_order_args args = {.pool = w->m->pool, .member = w->m->view.member[i].name};
	const char *address = watch_address_of(w, i);
	struct order *o;

	if (address == NULL)
		return;
	o = g_new0(struct order, 1);
	o->w = w;
	o->term = term;
	o->promote = promote;
	o->attach = upstream[0] != '\0';
	g_strlcpy(o->member, w->m->view.member[i].name, sizeof(o->member));
	watch_call_started(o);
	args.promote = promote;
	args.term = term;
	args.upstream = (char *)upstream;
	rpc_start(rpc_of(w->m->home->service.kernel), address, ML_ORDER, &args,
		  FAILOVER_PHASE_TIMEOUT_US, order_done, o);
}

static void failover_act(struct home_watch *w, struct failover_order o)
{
	struct home_member *m = w->m;
	unsigned i;

	trace_outcome(m, &o);
	switch (o.act) {
	case FAILOVER_NOTHING:
		return;
	case FAILOVER_FENCE:
		stat_add(STAT_FAILOVERS_BEGUN, 1);
		log_warn("failover", LOG_STR("step", "fence"), LOG_STR("pool", m->pool),
			 LOG_NUM("term", o.term));
		for (i = 0; i < m->view.n; i++)
			send_order(w, (int)i, o.term, false, "");
		return;
	case FAILOVER_PROMOTE:
		log_warn("failover", LOG_STR("step", "promote"), LOG_STR("pool", m->pool),
			 LOG_NUM("term", o.term), LOG_STR("member", m->view.member[o.member].name));
		send_order(w, o.member, o.term, true, "");
		return;
	case FAILOVER_ATTACH:
		stat_add(STAT_FAILOVERS_DONE, 1);
		log_warn("failover", LOG_STR("step", "done"), LOG_STR("pool", m->pool),
			 LOG_NUM("term", o.term), LOG_STR("member", m->view.member[o.member].name));
		for (i = 0; i < m->view.n; i++) {
			if ((int)i != o.member)
				send_order(w, (int)i, o.term, false, m->view.member[o.member].name);
		}
		w->ask[o.member].asked_us = 0;
		return;
	}
}

/** Orders this home's member to follow the primary unless it replicates from it already. */
static void follow_check(struct home_watch *w)
{
	struct home_member *m = w->m;
	const struct member_view *own = &m->view.member[m->self];
	int primary = group_primary(&m->view);

	if (primary < 0 || primary == m->self || own->state != MEMBER_UP ||
	    w->failover.phase != FAILOVER_IDLE)
		return;
	if (m->view.member[primary].state != MEMBER_UP ||
	    m->view.member[primary].report.seen_term < own->report.seen_term)
		return;
	if (strcmp(own->report.upstream, m->view.member[primary].name) == 0 &&
	    own->report.seen_term == m->view.member[primary].report.seen_term)
		return;
	if (w->ask[m->self].in_flight || now_us() - w->ask[m->self].asked_us < FOLLOW_PAUSE_US)
		return;
	w->ask[m->self].asked_us = now_us();
	log_info("follow", LOG_STR("pool", m->pool), LOG_STR("member", m->conf.name),
		 LOG_STR("upstream", m->view.member[primary].name));
	send_order(w, m->self, m->view.member[primary].report.seen_term, false,
		   m->view.member[primary].name);
}

/**
 * Returns this home's rank among the group's homes as a promoter. The home of the failed primary
 * comes first because it detects the failure first, then the homes of the members after it.
 */
static unsigned promoter_rank(const struct home_member *m)
{
	int primary = group_primary(&m->view);

	if (primary < 0)
		return (unsigned)m->self;
	return (unsigned)((m->self - primary + (int)m->view.n) % (int)m->view.n);
}

void watch_failover_check(struct home_watch *w, int64_t now)
{
	enum failover_phase before = w->failover.phase;
	uint64_t random = random_bits();
	unsigned rank = promoter_rank(w->m);
	struct failover_order o;

	if (!w->m->placed || !w->m->configured || w->m->home->draining)
		return;
	o = failover_tick(&w->failover, &w->m->view, rank, random, now);
	if (o.act != FAILOVER_NOTHING || before != w->failover.phase)
		trace_tick(w->m, rank, random, now);
	failover_act(w, o);
	follow_check(w);
}

/** An order received for a member of this home, run on a separate connection. */
struct order_query {
	struct home *home;
	struct rpc_request *rq;
	const ml_order_args *args;
	struct db_conn *db;
	struct event *timer; /**< ends the query if a frozen member does not answer */
};

static void order_query_end(struct order_query *q, const ml_order_res *res)
{
	event_free(q->timer);
	if (q->db != NULL)
		q->db->ops->close(q->db);
	rpc_reply(q->rq, res);
	g_free(q);
}

static void order_timeout(evutil_socket_t fd, short what, void *arg)
{
	ml_order_res none = {0};

	order_query_end(arg, &none);
}

static void order_answered(struct db_conn *db, const struct db_result *r, void *arg)
{
	struct order_query *q = arg;
	struct home_member *m = home_member_get(q->home, q->args->pool, q->args->member);
	ml_order_res res = {0};
	char verdict[16];

	if (r->status == DB_OK && r->value != NULL &&
	    sscanf(r->value, "%15s %lu %lu %lu", verdict, &res.seen_term, &res.received.term,
		   &res.received.lsn) == 4) {
		res.reached = true;
		res.ok = strcmp(verdict, "ok") == 0;
	}
	if (m != NULL)
		home_watch_probe_soon(m);
	order_query_end(q, &res);
}

static const char *upstream_address(struct home *h, const char *pool, const char *member)
{
	const struct conf_pool *p = conf_pool(fleet_of(h->service.kernel)->conf, pool);
	int i = conf_pool_find(p, member);

	return i >= 0 ? p->member[i].address : "";
}

static void order_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct order_query *q = arg;
	const ml_order_args *a = q->args;
	ml_order_res none = {0};
	struct db_query query = {0};
	char sql[256];

	if (!ok) {
		order_query_end(q, &none);
		return;
	}
	if (a->promote)
		snprintf(sql, sizeof(sql), "SELECT mangoloom_promote(%lu)", a->term);
	else
		snprintf(sql, sizeof(sql), "SELECT mangoloom_follow(%lu, '%s', '%s')", a->term,
			 a->upstream, upstream_address(q->home, a->pool, a->upstream));
	query.sql = sql;
	db->ops->query(db, &query, order_answered, q);
}

void home_order_serve(struct rpc_request *rq, const void *args, void *owner)
{
	struct home *h = owner;
	struct kernel *k = h->service.kernel;
	struct order_query *q = g_new0(struct order_query, 1);
	ml_order_res none = {0};
	struct home_member *m;

	q->home = h;
	q->rq = rq;
	q->args = args;
	q->timer = event_new(k->base, -1, 0, order_timeout, q);
	m = home_member_get(h, q->args->pool, q->args->member);
	if (m == NULL) {
		order_query_end(q, &none);
		return;
	}
	kernel_arm(q->timer, FAILOVER_PHASE_TIMEOUT_US);
	q->db = db_libpq_ops.open(k, m->conf.address, m->pool, FAILOVER_PHASE_TIMEOUT_US,
				  order_opened, q);
}
