/**
 * @file home-watch.c
 * Monitors a member: probes over a kept connection or a fresh one, reports, and waiting for log
 * positions.
 */
#include "home-watch.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"
#include "trace.h"

#include <stdio.h>
#include <string.h>

/** Longest time that the member waits for a log position in one query. */
#define WAIT_QUERY_MS 100
/** A fresh connection is opened as well after this fraction of the probe timeout. */
#define FRESH_TIMEOUT_DIVISOR 3
/** Interval of probes of a member that is down. */
#define DOWN_PROBE_INTERVAL_US (100 * USEC_PER_MSEC)

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

/** Adds the starts of terms in "term:lsn,...". @return false if it is malformed */
static bool parse_terms(const char *text, struct term_history *terms)
{
	unsigned long term, lsn;
	const char *at = text;
	int len;

	while (sscanf(at, "%lu:%lu%n", &term, &lsn, &len) == 2) {
		term_history_add(terms, term, lsn);
		at += len;
		if (*at == '\0')
			return true;
		if (*at++ != ',')
			return false;
	}
	return false;
}

bool home_report_parse(const char *text, struct member_report *r)
{
	char role[16];
	int end = 0;

	memset(r, 0, sizeof(*r));
	if (sscanf(text, "%15s %lu %lu %lu %lu %63s%n", role, &r->seen_term, &r->received.term,
		   &r->received.lsn, &r->applied_lsn, r->upstream, &end) != 6 ||
	    text[end] != ' ')
		return false;
	r->primary = strcmp(role, "primary") == 0;
	if (strcmp(r->upstream, "-") == 0)
		r->upstream[0] = '\0';
	return parse_terms(text + end + 1, &r->terms);
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

/**
 * Returns whether the request is to be answered now: the member has the position, is down or in a
 * later term, or the wait has ended.
 */
static bool waiter_done(const struct home_watch *w, const struct watch_waiter *waiter, int64_t now)
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
		if (!waiter_done(w, waiter, now))
			continue;
		TAILQ_REMOVE(&w->waiters, waiter, link);
		member_reply(w, waiter->rq);
		g_free(waiter);
	}
}

/** Answers waiting requests and commits after the state of the group may have changed. */
static void watch_state_changed(struct home_watch *w)
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
	watch_state_changed(w);
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

/** Processes a status answer. @return false when the connection had to be closed. */
static bool link_answer(struct watch_link *l, const struct db_result *res)
{
	struct home_watch *w = l->w;
	struct member_report r;

	l->busy = false;
	if (res->status != DB_OK || res->value == NULL || !home_report_parse(res->value, &r)) {
		watch_link_close(l);
		return false;
	}
	watch_report(w, w->m->self, &r, l->asked_us);
	watch_state_changed(w);
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
	 * The member is up, so the kept connection had gone silent or was closed, and the same may
	 * hold for other connections. Idle ones are closed now; those with a job are checked one
	 * by one, see home-silent.c.
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

/** Probes over a fresh connection if the kept one has not answered in time. */
static void probe_check(struct home_watch *w, int64_t now)
{
	struct watch_link *f = &w->fresh;

	/*
	 * Both probes run in parallel from here on; one after the other would take twice as long to
	 * detect a member that is down.
	 */
	if (w->probe.busy && now - w->probe.asked_us > watch_timeout_us(w) / FRESH_TIMEOUT_DIVISOR)
		fresh_open(w);
	/* A frozen member accepts the connection but does not answer on it. */
	if (f->db != NULL && f->busy && now - f->asked_us > watch_timeout_us(w)) {
		watch_link_close(f);
		watch_down(w);
	}
}

static void probe_start(struct home_watch *w, int64_t now)
{
	int64_t period = (int64_t)w->m->home->service.kernel->settings->probe_ms * USEC_PER_MSEC;

	if (w->m->view.member[w->m->self].state == MEMBER_DOWN)
		period = DOWN_PROBE_INTERVAL_US;
	if (!w->probe_now && now - w->probed_us < period)
		return;
	w->probe_now = false;
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
		home_watch_probe_soon(l->w->m);
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

/* Tick, start and stop */

void home_watch_probe_soon(struct home_member *m)
{
	if (m->watch != NULL)
		m->watch->probe_now = true;
}

static void watch_tick(evutil_socket_t fd, short what, void *arg)
{
	struct home_watch *w = arg;
	int64_t now = now_us();

	probe_check(w, now);
	probe_start(w, now);
	wait_check(w, now);
	watch_silent_check(w, now);
	watch_request_reports(w, now);
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
	w->activity.w = w;
	w->probe_now = true;
	TAILQ_INIT(&w->waiters);
	m->watch = w;
	w->tick = kernel_every(m->home->service.kernel, WATCH_TICK_US, watch_tick, w);
	probe_start(w, now_us());
}

/** RPCs in flight, of all watches. */
static GHashTable *calls_in_flight;

void watch_call_started(void *call)
{
	if (calls_in_flight == NULL)
		calls_in_flight = g_hash_table_new(NULL, NULL);
	g_hash_table_add(calls_in_flight, call);
}

void watch_call_ended(void *call)
{
	g_hash_table_remove(calls_in_flight, call);
}

/** Detaches the RPCs in flight from a watch that ends. */
static void detach_calls(struct home_watch *w)
{
	GHashTableIter iter;
	gpointer key;

	if (calls_in_flight == NULL)
		return;
	g_hash_table_iter_init(&iter, calls_in_flight);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		/* The pointer to the watch is the first member of each registered struct. */
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
	detach_calls(w);
	while ((waiter = TAILQ_FIRST(&w->waiters)) != NULL) {
		TAILQ_REMOVE(&w->waiters, waiter, link);
		member_reply(w, waiter->rq);
		g_free(waiter);
	}
	watch_link_close(&w->probe);
	watch_link_close(&w->fresh);
	watch_link_close(&w->wait);
	watch_link_close(&w->activity);
	event_free(w->tick);
	g_free(w);
}
