/**
 * @file home-watch.c
 * Watching a member: probes over a kept connection and over a fresh one, reports, and waiting for
 * positions.
 */
#include "home-watch.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"
#include "trace.h"

#include <stdio.h>
#include <string.h>

/** Longest wait of the member for a position, in one query. */
#define WAIT_QUERY_MS 100
/** Part of the time for an answer after which a fresh connection is tried as well. */
#define FRESH_PART 3
/** Pause before a member that can't be reached is tried again. */
#define DOWN_PAUSE_US (100 * USEC_PER_MSEC)

const char *watch_address_of(struct home_watch *w, int i)
{
	return fleet_home_address(fleet_of(w->m->home->service.kernel), w->m->pool,
				  w->m->view.member[i].name);
}

void watch_link_close(struct watch_link *l)
{
	if (l->db != NULL)
		l->db->ops->close(l->db);
	l->db = NULL;
	l->open = false;
	l->busy = false;
}

/* Reports */

/**
 * Parse "role seen term lsn applied upstream term:lsn,..." as the member's status function tells
 * it.
 */
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

void watch_report(struct home_watch *w, int i, const struct member_report *r, int64_t asked_us)
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

void watch_unreachable(struct home_watch *w, int i, enum member_state state)
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
	watch_unreachable(w, m->self, MEMBER_DOWN);
	home_conn_trim(m, INT64_MAX);
	home_drop_running(m);
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
		watch_link_close(l);
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
	watch_link_close(&w->probe);
	home_conn_trim(w->m, INT64_MAX);
	w->probe.db = l->db;
	w->probe.open = true;
	l->db = NULL;
	watch_link_close(l);
	home_dispatch(w->m);
}

static void fresh_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct watch_link *l = arg;

	if (!ok) {
		watch_link_close(l);
		watch_down(l->w);
		return;
	}
	l->open = true;
	link_ask(l, (struct pos){0}, 0, fresh_answered);
}

int64_t watch_timeout_us(const struct home_watch *w)
{
	return (int64_t)w->m->home->service.kernel->settings->probe_timeout_ms * USEC_PER_MSEC;
}

static void fresh_open(struct home_watch *w)
{
	struct kernel *k = w->m->home->service.kernel;

	if (w->fresh.db != NULL)
		return;
	w->fresh.asked_us = now_us();
	w->fresh.db = db_libpq_ops.open(k, w->m->conf.address, w->m->pool, watch_timeout_us(w),
					fresh_opened, &w->fresh);
}

/** The kept connection has not answered in time: look over a fresh one. */
static void probe_check(struct home_watch *w, int64_t now)
{
	struct watch_link *f = &w->fresh;

	/*
	 * Both looks run side by side from here on: one after the other would take twice as long to
	 * find a dead member.
	 */
	if (w->probe.busy && now - w->probe.asked_us > watch_timeout_us(w) / FRESH_PART)
		fresh_open(w);
	/* A silent member accepts the connection and says nothing on it. */
	if (f->db != NULL && f->busy && now - f->asked_us > watch_timeout_us(w)) {
		watch_link_close(f);
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
		watch_link_close(l);
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
					  w->m->pool, watch_timeout_us(w), wait_opened, l);
		return;
	}
	if (l->open)
		link_ask(l, first->wait_for, WAIT_QUERY_MS, wait_answered);
}

static void wait_check(struct home_watch *w, int64_t now)
{
	if (w->wait.busy &&
	    now - w->wait.asked_us > watch_timeout_us(w) + WAIT_QUERY_MS * USEC_PER_MSEC)
		watch_link_close(&w->wait);
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
	watch_silent_check(w, now);
	watch_ask_round(w, now);
	home_confirm_check(w->m);
	watch_failover_check(w, now);
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

/** Calls that are out, of all watches. */
static GHashTable *calls_out;

void watch_call_out(void *call)
{
	if (calls_out == NULL)
		calls_out = g_hash_table_new(NULL, NULL);
	g_hash_table_add(calls_out, call);
}

void watch_call_in(void *call)
{
	g_hash_table_remove(calls_out, call);
}

/** Calls that are out must not touch a watch that has ended. */
static void forget_calls(struct home_watch *w)
{
	GHashTableIter iter;
	gpointer key;

	if (calls_out == NULL)
		return;
	g_hash_table_iter_init(&iter, calls_out);
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
	watch_link_close(&w->probe);
	watch_link_close(&w->fresh);
	watch_link_close(&w->wait);
	watch_link_close(&w->work);
	event_free(w->tick);
	g_free(w);
}
