/**
 * @file home-watch.c
 * Watching a member: probes over a kept connection and over a fresh one, reports from the homes of
 * the group's other members, and the change of primary. Decisions are in decide/group.c and
 * decide/failover.c.
 */
#include "home.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"
#include "trace.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Longest wait of the member for a position, in one query. */
#define WAIT_QUERY_MS 100
/** How often the primary's home is asked by the homes of replicas; its positions also date the
 * replicas' data. */
#define ASK_PRIMARY_US (200 * USEC_PER_MSEC)
/** How often the others are asked. */
#define ASK_OTHER_US (1000 * USEC_PER_MSEC)
/** Time for another home to answer, above the wait that it was asked for. */
#define ASK_TIMEOUT_US (400 * USEC_PER_MSEC)
/** A member whose homes have failed to answer for this long counts as cut off. */
#define CUT_AFTER_US (500 * USEC_PER_MSEC)
/** A job that runs for longer is looked for in the member's list of work. */
#define SILENT_AFTER_US (400 * USEC_PER_MSEC)
/** Looks at which the member must show no work on a connection before it counts as silent. */
#define SILENT_LOOKS 3
/** Pause before a member is asked again for what it did not have. */
#define UNMET_PAUSE_US (50 * USEC_PER_MSEC)
/** Pause before a member that can't be reached is tried again. */
#define DOWN_PAUSE_US (100 * USEC_PER_MSEC)

/** A control connection and what it is doing. */
struct watch_link {
	struct home_watch *w;
	struct db_conn *db;
	bool open;
	bool busy;
	int64_t asked_us;
};

/** Another home's request to be answered when the member has a position. */
struct watch_waiter {
	TAILQ_ENTRY(watch_waiter) link;
	struct rpc_request *rq;
	struct pos wait_for;
	int64_t until_us;
};
TAILQ_HEAD(watch_waiters, watch_waiter);

struct home_watch {
	struct home_member *m;
	struct event *tick;
	struct watch_link probe; /**< kept */
	struct watch_link fresh; /**< opened when the kept one fails */
	struct watch_link wait;	 /**< waits for positions */
	struct watch_link work;	 /**< asks for the member's list of work */
	int64_t probed_us;
	bool hint; /**< probe at the next tick */
	struct watch_waiters waiters;
	struct failover failover;
	struct {
		bool out;
		int64_t asked_us;
		int64_t failing_us; /**< since when its homes do not answer; 0 for none */
		bool again;	    /**< a commit waits for this member's next answer */
		int64_t unmet_us;   /**< when it last answered without what a commit waits for */
	} ask[GROUP_MEMBERS_MAX];
};

static const char *address_of(struct home_watch *w, int i)
{
	return fleet_home_address(fleet_of(w->m->home->service.kernel), w->m->pool,
				  w->m->view.member[i].name);
}

static void link_close(struct watch_link *l)
{
	if (l->db != NULL)
		l->db->ops->close(l->db);
	l->db = NULL;
	l->open = false;
	l->busy = false;
}

/* Reports */

/** Parse "role seen term lsn applied upstream term:lsn,..." as the member's status function tells
 * it. */
static bool report_parse(const char *text, struct member_report *r)
{
	char role[16];
	char history[256];
	char *save = NULL;
	char *part;

	memset(r, 0, sizeof(*r));
	if (sscanf(text, "%15s %lu %lu %lu %lu %63s %255s", role, &r->seen_term, &r->received.term,
		   &r->received.lsn, &r->applied_lsn, r->upstream, history) != 7)
		return false;
	r->primary = strcmp(role, "primary") == 0;
	if (strcmp(r->upstream, "-") == 0)
		r->upstream[0] = '\0';
	for (part = strtok_r(history, ",", &save); part != NULL;
	     part = strtok_r(NULL, ",", &save)) {
		unsigned long term, lsn;

		if (sscanf(part, "%lu:%lu", &term, &lsn) == 2)
			term_history_add(&r->terms, term, lsn);
	}
	return true;
}

void home_report_from_res(const ml_member_res *res, struct member_report *r)
{
	u_int i;

	memset(r, 0, sizeof(*r));
	r->primary = res->primary;
	r->seen_term = res->seen_term;
	r->received.term = res->received.term;
	r->received.lsn = res->received.lsn;
	r->applied_lsn = res->applied_lsn;
	g_strlcpy(r->upstream, res->upstream, sizeof(r->upstream));
	for (i = 0; i < res->terms.terms_len; i++)
		term_history_add(&r->terms, res->terms.terms_val[i].term,
				 res->terms.terms_val[i].lsn);
}

static void member_reply(struct home_watch *w, struct rpc_request *rq)
{
	const struct member_view *v = &w->m->view.member[w->m->self];
	ml_member_res res = {.state = (int)v->state, .upstream = ""};
	ml_pos terms[ML_TERMS_MAX];
	unsigned i;

	res.primary = v->report.primary;
	res.seen_term = v->report.seen_term;
	res.received = (ml_pos){v->report.received.term, v->report.received.lsn};
	res.applied_lsn = v->report.applied_lsn;
	res.upstream = (char *)v->report.upstream;
	for (i = 0; i < v->report.terms.n; i++)
		terms[i] = (ml_pos){v->report.terms.start[i].term, v->report.terms.start[i].lsn};
	res.terms.terms_val = terms;
	res.terms.terms_len = v->report.terms.n;
	res.age_us = (u_quad_t)(now_us() - v->reported_us);
	rpc_reply(rq, &res);
}

static bool waiter_served(const struct home_watch *w, const struct watch_waiter *waiter,
			  int64_t now)
{
	const struct member_view *v = &w->m->view.member[w->m->self];

	if (now >= waiter->until_us || v->state == MEMBER_DOWN ||
	    v->report.seen_term > waiter->wait_for.term)
		return true;
	return v->state == MEMBER_UP && pos_cmp(v->report.received, waiter->wait_for) >= 0;
}

static void waiters_check(struct home_watch *w)
{
	struct watch_waiter *waiter, *next;
	int64_t now = now_us();

	TAILQ_FOREACH_SAFE(waiter, &w->waiters, link, next) {
		if (!waiter_served(w, waiter, now))
			continue;
		TAILQ_REMOVE(&w->waiters, waiter, link);
		member_reply(w, waiter->rq);
		g_free(waiter);
	}
}

static void watch_learned(struct home_watch *w)
{
	waiters_check(w);
	home_confirm_check(w->m);
}

static void watch_report(struct home_watch *w, int i, const struct member_report *r,
			 int64_t asked_us)
{
	uint64_t before, after;
	char old[NAME_SIZE];
	const char *primary;

	g_strlcpy(old, home_primary(w->m, &before), sizeof(old));
	trace_report(w->m, i, r, asked_us);
	group_report(&w->m->view, i, r, asked_us);
	primary = home_primary(w->m, &after);
	if (before != after || strcmp(old, primary) != 0)
		log_info("primary", LOG_STR("pool", w->m->pool), LOG_STR("was", old),
			 LOG_STR("is", primary), LOG_NUM("term", after),
			 LOG_STR("seen_by", w->m->conf.name));
}

static void mark_unreachable(struct home_watch *w, int i, enum member_state state)
{
	int64_t now = now_us();

	trace_unreachable(w->m, i, state, now);
	group_unreachable(&w->m->view, i, state, now);
}

static void watch_down(struct home_watch *w)
{
	struct home_member *m = w->m;

	if (m->view.member[m->self].state != MEMBER_DOWN)
		log_warn("member-down", LOG_STR("pool", m->pool), LOG_STR("member", m->conf.name));
	mark_unreachable(w, m->self, MEMBER_DOWN);
	home_conn_trim(m, INT64_MAX);
	home_refuse_waiting(m, OUTCOME_NO_CONNECTION);
	watch_learned(w);
}

/* Probes */

static void link_ask(struct watch_link *l, struct pos wait_for, int wait_ms, db_answered cb)
{
	struct db_query q = {0};
	char sql[128];

	snprintf(sql, sizeof(sql), "SELECT mangoloom_status(%lu, %lu, %d)", wait_for.term,
		 wait_for.lsn, wait_ms);
	q.sql = sql;
	l->busy = true;
	l->asked_us = now_us();
	l->db->ops->query(l->db, &q, cb, l);
}

/** Take in a status. @return false when the connection is of no more use. */
static bool link_answer(struct watch_link *l, const struct db_result *res)
{
	struct home_watch *w = l->w;
	struct member_report r;

	l->busy = false;
	if (res->status != DB_OK || !report_parse(res->value, &r)) {
		link_close(l);
		return false;
	}
	watch_report(w, w->m->self, &r, l->asked_us);
	watch_learned(w);
	return true;
}

static void fresh_open(struct home_watch *w);

static void probe_answered(struct db_conn *db, const struct db_result *res, void *arg)
{
	struct watch_link *l = arg;

	if (!link_answer(l, res))
		fresh_open(l->w);
}

static void fresh_answered(struct db_conn *db, const struct db_result *res, void *arg)
{
	struct watch_link *l = arg;
	struct home_watch *w = l->w;

	if (!link_answer(l, res)) {
		watch_down(w);
		return;
	}
	/*
	 * The member lives, so the kept connection had gone silent or was closed. Others may have
	 * with it; unused ones are dropped now, and those with a job are looked at one by one.
	 */
	link_close(&w->probe);
	home_conn_trim(w->m, INT64_MAX);
	w->probe.db = l->db;
	w->probe.open = true;
	l->db = NULL;
	link_close(l);
	home_dispatch(w->m);
}

static void fresh_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct watch_link *l = arg;

	if (!ok) {
		link_close(l);
		watch_down(l->w);
		return;
	}
	l->open = true;
	link_ask(l, (struct pos){0}, 0, fresh_answered);
}

static int64_t probe_timeout_us(const struct home_watch *w)
{
	return (int64_t)w->m->home->service.kernel->settings->probe_timeout_ms * USEC_PER_MSEC;
}

static void fresh_open(struct home_watch *w)
{
	struct kernel *k = w->m->home->service.kernel;

	if (w->fresh.db != NULL)
		return;
	w->fresh.asked_us = now_us();
	w->fresh.db = db_libpq_ops.open(k, w->m->conf.address, w->m->pool, probe_timeout_us(w),
					fresh_opened, &w->fresh);
}

/** The kept connection has not answered in time: look over a fresh one. */
static void probe_check(struct home_watch *w, int64_t now)
{
	struct watch_link *f = &w->fresh;

	if (w->probe.busy && now - w->probe.asked_us > probe_timeout_us(w))
		fresh_open(w);
	/* A silent member accepts the connection and says nothing on it. */
	if (f->db != NULL && f->busy && now - f->asked_us > probe_timeout_us(w)) {
		link_close(f);
		watch_down(w);
	}
}

static void probe_start(struct home_watch *w, int64_t now)
{
	int64_t period = (int64_t)w->m->home->service.kernel->settings->probe_ms * USEC_PER_MSEC;

	if (w->m->view.member[w->m->self].state == MEMBER_DOWN)
		period = DOWN_PAUSE_US;
	if (!w->hint && now - w->probed_us < period)
		return;
	w->hint = false;
	w->probed_us = now;
	if (w->probe.db == NULL) {
		fresh_open(w);
		return;
	}
	if (!w->probe.busy)
		link_ask(&w->probe, (struct pos){0}, 0, probe_answered);
}

/* Waiting for positions */

static void wait_start(struct home_watch *w);

static void wait_answered(struct db_conn *db, const struct db_result *res, void *arg)
{
	struct watch_link *l = arg;

	if (link_answer(l, res))
		wait_start(l->w);
}

static void wait_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct watch_link *l = arg;

	if (!ok) {
		link_close(l);
		home_watch_hint(l->w->m);
		return;
	}
	l->open = true;
	wait_start(l->w);
}

static void wait_start(struct home_watch *w)
{
	struct watch_waiter *first = TAILQ_FIRST(&w->waiters);
	struct watch_link *l = &w->wait;

	if (first == NULL || l->busy)
		return;
	if (l->db == NULL) {
		l->db = db_libpq_ops.open(w->m->home->service.kernel, w->m->conf.address,
					  w->m->pool, probe_timeout_us(w), wait_opened, l);
		return;
	}
	if (l->open)
		link_ask(l, first->wait_for, WAIT_QUERY_MS, wait_answered);
}

static void wait_check(struct home_watch *w, int64_t now)
{
	if (w->wait.busy &&
	    now - w->wait.asked_us > probe_timeout_us(w) + WAIT_QUERY_MS * USEC_PER_MSEC)
		link_close(&w->wait);
	waiters_check(w);
	wait_start(w);
}

void home_member_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_member_args *a = args;
	struct home_member *m = home_member_get(owner, a->pool, a->member);
	ml_member_res none = {.upstream = ""};
	struct watch_waiter *waiter;

	if (m == NULL) {
		rpc_reply(rq, &none);
		return;
	}
	waiter = g_new0(struct watch_waiter, 1);
	waiter->rq = rq;
	waiter->wait_for = (struct pos){a->wait_for.term, a->wait_for.lsn};
	waiter->until_us = now_us() + (int64_t)a->wait_us;
	TAILQ_INSERT_TAIL(&m->watch->waiters, waiter, link);
	waiters_check(m->watch);
	wait_start(m->watch);
}

/* Silent connections under a job */

static bool pid_listed(const char *list, int pid)
{
	char wanted[16];
	char all[DB_VALUE_SIZE + 2];

	snprintf(wanted, sizeof(wanted), ",%d,", pid);
	snprintf(all, sizeof(all), ",%s,", list);
	return strstr(all, wanted) != NULL;
}

static void work_answered(struct db_conn *db, const struct db_result *res, void *arg)
{
	struct watch_link *l = arg;
	struct home_member *m = l->w->m;
	struct home_conn *c, *next;

	l->busy = false;
	if (res->status != DB_OK) {
		link_close(l);
		return;
	}
	TAILQ_FOREACH_SAFE(c, &m->conns, link, next) {
		if (c->job == NULL || now_us() - c->job->started_us < SILENT_AFTER_US)
			continue;
		if (pid_listed(res->value, c->db->ops->backend_pid(c->db))) {
			c->idle_looks = 0;
			continue;
		}
		/*
		 * The member runs nothing on this connection although its answer is awaited: the
		 * statement never arrived, or the answer went nowhere. Waiting on would hold the
		 * caller until its deadline.
		 */
		if (++c->idle_looks >= SILENT_LOOKS)
			home_job_silent(c->job);
	}
}

static void work_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct watch_link *l = arg;

	if (!ok)
		link_close(l);
	else
		l->open = true;
}

static bool work_needed(const struct home_member *m, int64_t now)
{
	struct home_conn *c;

	TAILQ_FOREACH(c, &m->conns, link) {
		if (c->job != NULL && now - c->job->started_us > SILENT_AFTER_US)
			return true;
	}
	return false;
}

static void work_check(struct home_watch *w, int64_t now)
{
	struct db_query q = {.sql = "SELECT string_agg(pid::text, ',') FROM pg_stat_activity WHERE "
				    "state = 'active'"};
	struct watch_link *l = &w->work;

	if (l->busy && now - l->asked_us > probe_timeout_us(w))
		link_close(l);
	if (!work_needed(w->m, now)) {
		if (!l->busy && l->open)
			link_close(l);
		return;
	}
	if (l->db == NULL) {
		l->db = db_libpq_ops.open(w->m->home->service.kernel, w->m->conf.address,
					  w->m->pool, probe_timeout_us(w), work_opened, l);
		return;
	}
	if (!l->open || l->busy)
		return;
	l->busy = true;
	l->asked_us = now;
	l->db->ops->query(l->db, &q, work_answered, l);
}

/* Reports of other homes */

struct ask {
	struct home_watch *w;
	struct pos wait_for;
	char member[NAME_SIZE];
	char address[ADDRESS_SIZE];
	int64_t sent_us;
};

/** Asks that are out when their watch ends: told by clearing the watch in each. */
static GHashTable *asks_out;

static void ask_failed(struct home_watch *w, int i, int64_t now)
{
	struct home_member *m = w->m;

	if (w->ask[i].failing_us == 0)
		w->ask[i].failing_us = now;
	/* The member's next home is asked at once; only when none answers for a while is the member
	 * cut off. */
	w->ask[i].asked_us = 0;
	if (now - w->ask[i].failing_us < CUT_AFTER_US || m->view.member[i].state == MEMBER_CUT)
		return;
	log_warn("member-cut", LOG_STR("pool", m->pool), LOG_STR("member", m->view.member[i].name));
	mark_unreachable(w, i, MEMBER_CUT);
	home_confirm_check(m);
}

static void ask_done(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_member_res *res = arg_res;
	struct ask *a = arg;
	struct home_watch *w = a->w;
	struct member_report r;
	int i;

	g_hash_table_remove(asks_out, a);
	if (w == NULL) {
		g_free(a);
		return;
	}
	i = group_find(&w->m->view, a->member);
	if (i >= 0) {
		w->ask[i].out = false;
		if (a->wait_for.lsn != 0 &&
		    (status != RPC_DONE || res->received.term != a->wait_for.term ||
		     res->received.lsn < a->wait_for.lsn))
			w->ask[i].unmet_us = now_us();
		if (status != RPC_DONE) {
			fleet_suspect(fleet_of(w->m->home->service.kernel), a->address);
			ask_failed(w, i, now_us());
		} else if (res->state == MEMBER_UP) {
			w->ask[i].failing_us = 0;
			home_report_from_res(res, &r);
			/* The report is of the time when that home looked, not of the time when it
			 * was asked. */
			watch_report(w, i, &r, a->sent_us - (int64_t)res->age_us);
			home_confirm_check(w->m);
		} else if (res->state == MEMBER_DOWN) {
			w->ask[i].failing_us = 0;
			mark_unreachable(w, i, MEMBER_DOWN);
		}
		if (w->ask[i].again) {
			w->ask[i].again = false;
			home_confirm_check(w->m);
		}
	}
	g_free(a);
}

void home_watch_ask(struct home_member *m, int i, struct pos wait_for, int64_t wait_us)
{
	struct home_watch *w = m->watch;
	ml_member_args args = {.pool = m->pool, .member = m->view.member[i].name};
	const char *address = address_of(w, i);
	struct ask *a;

	if (w->ask[i].out) {
		w->ask[i].again = w->ask[i].again || wait_us > 0;
		return;
	}
	/*
	 * A member that is down, or of another term, answers at once and without the record; asked
	 * again at once, the two VMs would do nothing else until the commit's deadline.
	 */
	if (wait_us > 0 && now_us() - w->ask[i].unmet_us < UNMET_PAUSE_US)
		return;
	w->ask[i].asked_us = now_us();
	if (address == NULL) {
		ask_failed(w, i, now_us());
		return;
	}
	a = g_new0(struct ask, 1);
	a->w = w;
	a->wait_for = wait_for;
	a->sent_us = now_us();
	g_strlcpy(a->member, m->view.member[i].name, sizeof(a->member));
	g_strlcpy(a->address, address, sizeof(a->address));
	if (asks_out == NULL)
		asks_out = g_hash_table_new(NULL, NULL);
	g_hash_table_add(asks_out, a);
	args.wait_for.term = wait_for.term;
	args.wait_for.lsn = wait_for.lsn;
	args.wait_us = (u_quad_t)wait_us;
	w->ask[i].out = true;
	rpc_start(rpc_of(m->home->service.kernel), address, ML_MEMBER, &args,
		  ASK_TIMEOUT_US + wait_us, ask_done, a);
}

static void ask_round(struct home_watch *w, int64_t now)
{
	struct home_member *m = w->m;
	int primary = group_primary(&m->view);
	bool settling = primary == m->self && group_settled(&m->view) != m->self;
	unsigned i;

	for (i = 0; i < m->view.n; i++) {
		bool soon = (int)i == primary || settling || w->ask[i].failing_us != 0 ||
			    w->failover.tries > 0 || m->view.member[i].state != MEMBER_UP;
		int64_t period = soon ? ASK_PRIMARY_US : ASK_OTHER_US;

		if ((int)i == m->self || now - w->ask[i].asked_us < period)
			continue;
		home_watch_ask(m, (int)i, (struct pos){0}, 0);
	}
}

/* Failover */

static void failover_act(struct home_watch *w, struct failover_order o);

struct order {
	struct home_watch *w;
	char member[NAME_SIZE];
	uint64_t term;
	bool promote;
	bool attach;
};

static void order_done(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_order_res *res = arg_res;
	struct order *o = arg;
	struct home_watch *w = o->w;
	bool answered = status == RPC_DONE && res->reached;
	int64_t now = now_us();
	int i;

	g_hash_table_remove(asks_out, o);
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
	const char *address = address_of(w, i);
	struct order *o;

	if (address == NULL)
		return;
	o = g_new0(struct order, 1);
	o->w = w;
	o->term = term;
	o->promote = promote;
	o->attach = upstream[0] != '\0';
	g_strlcpy(o->member, w->m->view.member[i].name, sizeof(o->member));
	if (asks_out == NULL)
		asks_out = g_hash_table_new(NULL, NULL);
	g_hash_table_add(asks_out, o);
	args.promote = promote;
	args.term = term;
	args.upstream = (char *)upstream;
	rpc_start(rpc_of(w->m->home->service.kernel), address, ML_ORDER, &args, FAILOVER_PHASE_US,
		  order_done, o);
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

/** A member that follows nobody, or somebody else than the leader, is told whom to follow. */
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
	if (w->ask[m->self].out || now_us() - w->ask[m->self].asked_us < ASK_PRIMARY_US)
		return;
	w->ask[m->self].asked_us = now_us();
	log_info("follow", LOG_STR("pool", m->pool), LOG_STR("member", m->conf.name),
		 LOG_STR("upstream", m->view.member[primary].name));
	send_order(w, m->self, m->view.member[primary].report.seen_term, false,
		   m->view.member[primary].name);
}

/** Promoters in order: the failed primary's own home knows first, then the homes of the next
 * members. */
static unsigned promoter_rank(const struct home_member *m)
{
	int primary = group_primary(&m->view);

	if (primary < 0)
		return (unsigned)m->self;
	return (unsigned)((m->self - primary + (int)m->view.n) % (int)m->view.n);
}

static void failover_check(struct home_watch *w, int64_t now)
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

/** An order from a promoter to a member of this home, on a connection of its own. */
struct order_query {
	struct rpc_request *rq;
	const ml_order_args *args;
	struct home_member *m;
	struct db_conn *db;
};

static void order_query_end(struct order_query *q, const ml_order_res *res)
{
	if (q->db != NULL)
		q->db->ops->close(q->db);
	rpc_reply(q->rq, res);
	g_free(q);
}

static void order_answered(struct db_conn *db, const struct db_result *r, void *arg)
{
	struct order_query *q = arg;
	ml_order_res res = {0};
	char verdict[16];
	struct home *h = q->m->home;
	char pool[NAME_SIZE], member[NAME_SIZE];
	struct home_member *m;

	g_strlcpy(pool, q->m->pool, sizeof(pool));
	g_strlcpy(member, q->m->conf.name, sizeof(member));
	if (r->status == DB_OK && sscanf(r->value, "%15s %lu %lu %lu", verdict, &res.seen_term,
					 &res.received.term, &res.received.lsn) == 4) {
		res.reached = true;
		res.ok = strcmp(verdict, "ok") == 0;
	}
	order_query_end(q, &res);
	m = home_member_get(h, pool, member);
	if (m != NULL)
		home_watch_hint(m);
}

static const char *upstream_address(struct home *h, const char *pool, const char *member)
{
	const struct conf_pool *p = conf_pool(fleet_of(h->service.kernel)->conf, pool);
	unsigned i;

	for (i = 0; p != NULL && i < p->n; i++) {
		if (strcmp(p->member[i].name, member) == 0)
			return p->member[i].address;
	}
	return "";
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
			 a->upstream, upstream_address(q->m->home, a->pool, a->upstream));
	query.sql = sql;
	db->ops->query(db, &query, order_answered, q);
}

void home_order_serve(struct rpc_request *rq, const void *args, void *owner)
{
	struct home *h = owner;
	struct order_query *q = g_new0(struct order_query, 1);
	ml_order_res none = {0};

	q->rq = rq;
	q->args = args;
	q->m = home_member_get(h, q->args->pool, q->args->member);
	if (q->m == NULL) {
		order_query_end(q, &none);
		return;
	}
	q->db = db_libpq_ops.open(h->service.kernel, q->m->conf.address, q->m->pool,
				  FAILOVER_PHASE_US, order_opened, q);
}

/* The watch */

void home_watch_hint(struct home_member *m)
{
	if (m->watch != NULL)
		m->watch->hint = true;
}

static void watch_tick(evutil_socket_t fd, short what, void *arg)
{
	struct home_watch *w = arg;
	int64_t now = now_us();

	probe_check(w, now);
	probe_start(w, now);
	wait_check(w, now);
	work_check(w, now);
	ask_round(w, now);
	home_confirm_check(w->m);
	failover_check(w, now);
}

#define WATCH_TICK_US (20 * USEC_PER_MSEC)

void home_watch_start(struct home_member *m)
{
	struct home_watch *w = g_new0(struct home_watch, 1);

	w->m = m;
	w->probe.w = w;
	w->fresh.w = w;
	w->wait.w = w;
	w->work.w = w;
	w->hint = true;
	TAILQ_INIT(&w->waiters);
	m->watch = w;
	w->tick = kernel_every(m->home->service.kernel, WATCH_TICK_US, watch_tick, w);
	probe_start(w, now_us());
}

/** Calls that are out must not touch a watch that has ended. */
static void forget_calls(struct home_watch *w)
{
	GHashTableIter iter;
	gpointer key;

	if (asks_out == NULL)
		return;
	g_hash_table_iter_init(&iter, asks_out);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		/* Both kinds of call begin with the watch. */
		struct home_watch **owner = key;

		if (*owner == w)
			*owner = NULL;
	}
}

void home_watch_stop(struct home_member *m)
{
	struct home_watch *w = m->watch;
	struct watch_waiter *waiter;

	m->watch = NULL;
	forget_calls(w);
	while ((waiter = TAILQ_FIRST(&w->waiters)) != NULL) {
		TAILQ_REMOVE(&w->waiters, waiter, link);
		member_reply(w, waiter->rq);
		g_free(waiter);
	}
	link_close(&w->probe);
	link_close(&w->fresh);
	link_close(&w->wait);
	link_close(&w->work);
	event_free(w->tick);
	g_free(w);
}
