/**
 * @file home-fate.c
 * The answer to a COMMIT was lost. The transaction's number tells its fate, at the member that ran
 * it or at the one that leads now.
 */
#include "home.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"

#include <stdio.h>
#include <string.h>

#define FATE_CALL_US (1000 * USEC_PER_MSEC)
#define FATE_PAUSE_US (50 * USEC_PER_MSEC)
#define FATE_OPEN_US (500 * USEC_PER_MSEC)

/** What a member said of a transaction. The order is part of the protocol between daemons. */
enum fate { FATE_UNKNOWN, FATE_COMMITTED, FATE_ABORTED };

/** A question to a member of this home, for another home or for itself. */
struct fate_query {
	struct rpc_request *rq;
	const ml_fate_args *args;
	struct db_conn *db;
	struct event *timer; /**< a member that froze would keep the connection for ever */
	bool terminated;
};

static void fate_query_end(struct fate_query *q, enum fate fate, struct pos pos)
{
	ml_fate_res res = {.fate = fate, .pos = {pos.term, pos.lsn}};

	event_free(q->timer);
	if (q->db != NULL)
		q->db->ops->close(q->db);
	rpc_reply(q->rq, &res);
	g_free(q);
}

static void fate_timeout(evutil_socket_t fd, short what, void *arg)
{
	fate_query_end(arg, FATE_UNKNOWN, (struct pos){0});
}

static void fate_ask_status(struct fate_query *q);

static void fate_answered(struct db_conn *db, const struct db_result *res, void *arg)
{
	struct fate_query *q = arg;

	if (res->status != DB_OK) {
		fate_query_end(q, FATE_UNKNOWN, res->pos);
		return;
	}
	if (!q->terminated) {
		q->terminated = true;
		fate_ask_status(q);
		return;
	}
	if (strcmp(res->value, "committed") == 0)
		fate_query_end(q, FATE_COMMITTED, res->pos);
	else if (strcmp(res->value, "aborted") == 0)
		fate_query_end(q, FATE_ABORTED, res->pos);
	else
		fate_query_end(q, FATE_UNKNOWN, res->pos);
}

static void fate_ask_status(struct fate_query *q)
{
	struct db_query query = {0};
	char sql[256];

	/*
	 * The lost connection may still hold a COMMIT that the member has not read yet. Answering
	 * "aborted" and then letting it commit would run a repeated order twice, so that connection
	 * is ended first.
	 */
	if (!q->terminated)
		snprintf(sql, sizeof(sql), "SELECT pg_terminate_backend(%d)", q->args->backend_pid);
	else
		snprintf(sql, sizeof(sql), "SELECT pg_xact_status('%s')", q->args->xid);
	query.sql = sql;
	q->db->ops->query(q->db, &query, fate_answered, q);
}

static void fate_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct fate_query *q = arg;

	if (!ok) {
		fate_query_end(q, FATE_UNKNOWN, (struct pos){0});
		return;
	}
	/* A process number means nothing at another member. */
	q->terminated = strcmp(q->args->former, q->args->member) != 0;
	fate_ask_status(q);
}

void home_fate_serve(struct rpc_request *rq, const void *args, void *owner)
{
	struct home *h = owner;
	struct fate_query *q = g_new0(struct fate_query, 1);
	struct home_member *m;

	q->rq = rq;
	q->args = args;
	q->timer = event_new(h->service.kernel->base, -1, 0, fate_timeout, q);
	m = home_member_get(h, q->args->pool, q->args->member);
	/*
	 * A new primary that does not know the transaction has not settled its fate: were it
	 * replaced before its term is on a majority, the former primary's log could be chosen, and
	 * the "not run" would turn out untrue.
	 */
	if (m == NULL || !home_leads(m) ||
	    (strcmp(q->args->former, q->args->member) != 0 && group_settled(&m->view) != m->self)) {
		fate_query_end(q, FATE_UNKNOWN, (struct pos){0});
		return;
	}
	kernel_arm(q->timer, FATE_CALL_US);
	q->db = db_libpq_ops.open(h->service.kernel, m->conf.address, m->pool, FATE_OPEN_US,
				  fate_opened, q);
}

/** The asking side: one job, until its deadline. */
struct fate_ask {
	struct home_job *job;
	struct event *timer;
};

static void fate_try(evutil_socket_t fd, short what, void *arg);

static void fate_ask_end(struct fate_ask *a, enum outcome o)
{
	struct home_job *job = a->job;

	log_info("fate", LOG_STR("pool", job->m->pool), LOG_STR("member", job->m->conf.name),
		 LOG_STR("xid", job->xid), LOG_STR("outcome", outcome_text(o)->name),
		 LOG_NUM("request", job->args->request));
	event_free(a->timer);
	g_free(a);
	if (o == OUTCOME_DONE)
		home_confirm_start(job);
	else
		home_job_end(job, o, 0);
}

static void fate_told(enum rpc_status status, const void *res, void *arg)
{
	struct fate_ask *a = arg;
	struct home_job *job = a->job;
	bool tx = job->args->control == ML_CONTROL_COMMIT;
	const ml_fate_res *told = res;
	int fate = status == RPC_DONE ? told->fate : FATE_UNKNOWN;

	if (fate == FATE_COMMITTED) {
		/*
		 * Where it stands in the log is not known; the leader's position, taken later,
		 * covers it.
		 */
		job->pos = (struct pos){told->pos.term, told->pos.lsn};
		fate_ask_end(a, OUTCOME_DONE);
		return;
	}
	if (fate == FATE_ABORTED) {
		fate_ask_end(a, tx ? OUTCOME_TX_LOST : OUTCOME_NO_CONNECTION);
		return;
	}
	if (now_us() + FATE_PAUSE_US >= job->deadline_us) {
		fate_ask_end(a, OUTCOME_LOST);
		return;
	}
	kernel_arm(a->timer, FATE_PAUSE_US);
}

static void fate_try(evutil_socket_t fd, short what, void *arg)
{
	struct fate_ask *a = arg;
	struct home_job *job = a->job;
	struct home_member *m = job->m;
	struct kernel *k = m->home->service.kernel;
	uint64_t term;
	const char *primary = home_primary(m, &term);
	ml_fate_args args = {0};
	const char *address;

	if (primary[0] == '\0')
		primary = m->conf.name;
	address = fleet_home_address(fleet_of(k), m->pool, primary);
	if (address == NULL) {
		fate_told(RPC_NOT_SENT, NULL, a);
		return;
	}
	args.pool = m->pool;
	args.member = (char *)primary;
	args.xid = job->xid;
	args.backend_pid = job->backend_pid;
	args.former = m->conf.name;
	rpc_start(rpc_of(k), address, ML_FATE, &args, FATE_CALL_US, fate_told, a);
}

void home_fate_start(struct home_job *job)
{
	struct fate_ask *a = g_new0(struct fate_ask, 1);

	stat_add(STAT_FATES_ASKED, 1);
	job->step = JOB_FATE;
	a->job = job;
	a->timer = event_new(job->m->home->service.kernel->base, -1, 0, fate_try, a);
	home_watch_hint(job->m);
	kernel_arm(a->timer, 0);
}
