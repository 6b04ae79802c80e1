/**
 * @file home-commit-status.c
 * Determines the commit status of a transaction after the answer to COMMIT was lost: asks by
 * transaction ID, at the member that ran the transaction or at the present primary.
 */
#include "home.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"

#include <stdio.h>
#include <string.h>

/** Timeout of a status RPC, and of the query that answers it. */
#define STATUS_RPC_TIMEOUT_US (1000 * USEC_PER_MSEC)
/** Pause between two status RPCs. */
#define STATUS_RETRY_US (50 * USEC_PER_MSEC)
/** Timeout of connecting to the member. */
#define STATUS_CONNECT_TIMEOUT_US (500 * USEC_PER_MSEC)

/** Commit status as reported by a member. The values are part of the protocol between daemons. */
enum commit_status { COMMIT_STATUS_UNKNOWN, COMMIT_STATUS_COMMITTED, COMMIT_STATUS_ABORTED };

/** A status query to a member of this home, on behalf of any home. */
struct status_query {
	struct rpc_request *rq;
	const ml_commit_status_args *args;
	struct db_conn *db;
	struct event *timer; /**< ends the query if a frozen member does not answer */
	bool terminated; /**< the lost connection's backend is terminated, or not on this member */
};

static void status_query_end(struct status_query *q, enum commit_status status, struct pos pos)
{
	ml_commit_status_res res = {.commit_status = status, .pos = {pos.term, pos.lsn}};

	event_free(q->timer);
	if (q->db != NULL)
		q->db->ops->close(q->db);
	rpc_reply(q->rq, &res);
	g_free(q);
}

static void status_query_timeout(evutil_socket_t fd, short what, void *arg)
{
	status_query_end(arg, COMMIT_STATUS_UNKNOWN, (struct pos){0});
}

static void status_query_step(struct status_query *q);

static void status_query_answered(struct db_conn *db, const struct db_result *res, void *arg)
{
	struct status_query *q = arg;

	if (res->status != DB_OK) {
		status_query_end(q, COMMIT_STATUS_UNKNOWN, res->pos);
		return;
	}
	if (!q->terminated) {
		q->terminated = true;
		status_query_step(q);
		return;
	}
	if (g_strcmp0(res->value, "committed") == 0)
		status_query_end(q, COMMIT_STATUS_COMMITTED, res->pos);
	else if (g_strcmp0(res->value, "aborted") == 0)
		status_query_end(q, COMMIT_STATUS_ABORTED, res->pos);
	else
		status_query_end(q, COMMIT_STATUS_UNKNOWN, res->pos);
}

static void status_query_step(struct status_query *q)
{
	struct db_query query = {0};
	char sql[256];

	/*
	 * The lost connection may still carry a COMMIT that the member has not read yet. If it
	 * committed after the answer "aborted", the caller would repeat the transaction and it
	 * would run twice. So the connection's backend is terminated before the status is read.
	 */
	if (!q->terminated)
		snprintf(sql, sizeof(sql), "SELECT pg_terminate_backend(%d)", q->args->backend_pid);
	else
		snprintf(sql, sizeof(sql), "SELECT pg_xact_status('%s')", q->args->xid);
	query.sql = sql;
	q->db->ops->query(q->db, &query, status_query_answered, q);
}

static void status_query_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct status_query *q = arg;

	if (!ok) {
		status_query_end(q, COMMIT_STATUS_UNKNOWN, (struct pos){0});
		return;
	}
	/* The backend PID is valid only on the member that ran the transaction. */
	q->terminated = strcmp(q->args->previous_member, q->args->member) != 0;
	status_query_step(q);
}

void home_commit_status_serve(struct rpc_request *rq, const void *args, void *owner)
{
	struct home *h = owner;
	struct status_query *q = g_new0(struct status_query, 1);
	struct home_member *m;

	q->rq = rq;
	q->args = args;
	q->timer = event_new(h->service.kernel->base, -1, 0, status_query_timeout, q);
	m = home_member_get(h, q->args->pool, q->args->member);
	/*
	 * A new primary may answer only once a majority has its term. If it were replaced before
	 * that, the previous primary's log could still be chosen, and an answer "not run" would
	 * become wrong.
	 */
	if (m == NULL || !home_accepts_writes(m) ||
	    (strcmp(q->args->previous_member, q->args->member) != 0 &&
	     group_settled_primary(&m->view) != m->self)) {
		status_query_end(q, COMMIT_STATUS_UNKNOWN, (struct pos){0});
		return;
	}
	kernel_arm(q->timer, STATUS_RPC_TIMEOUT_US);
	q->db = db_libpq_ops.open(h->service.kernel, m->conf.address, m->pool,
				  STATUS_CONNECT_TIMEOUT_US, status_query_opened, q);
}

/** Requests the commit status for one job, with retries until its deadline. */
struct status_request {
	struct home_job *job;
	struct event *timer;
};

static void status_request_send(evutil_socket_t fd, short what, void *arg);

static void status_request_end(struct status_request *a, enum outcome o)
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

static void status_received(enum rpc_status status, const void *res, void *arg)
{
	struct status_request *a = arg;
	struct home_job *job = a->job;
	bool tx = job->args->control == ML_CONTROL_COMMIT;
	const ml_commit_status_res *reply = res;
	int commit_status = status == RPC_DONE ? reply->commit_status : COMMIT_STATUS_UNKNOWN;

	if (commit_status == COMMIT_STATUS_COMMITTED) {
		/*
		 * The commit's own log position is not known. The primary's position, which was
		 * read after the commit, includes it.
		 */
		job->pos = (struct pos){reply->pos.term, reply->pos.lsn};
		status_request_end(a, OUTCOME_DONE);
		return;
	}
	if (commit_status == COMMIT_STATUS_ABORTED) {
		status_request_end(a, tx ? OUTCOME_TX_LOST : OUTCOME_NO_CONNECTION);
		return;
	}
	if (now_us() + STATUS_RETRY_US >= job->deadline_us) {
		status_request_end(a, OUTCOME_LOST);
		return;
	}
	kernel_arm(a->timer, STATUS_RETRY_US);
}

static void status_request_send(evutil_socket_t fd, short what, void *arg)
{
	struct status_request *a = arg;
	struct home_job *job = a->job;
	struct home_member *m = job->m;
	struct kernel *k = m->home->service.kernel;
	uint64_t term;
	const char *primary = home_primary(m, &term);
	ml_commit_status_args args = {0};
	const char *address;

	if (primary[0] == '\0')
		primary = m->conf.name;
	address = fleet_home_address(fleet_of(k), m->pool, primary);
	if (address == NULL) {
		status_received(RPC_NOT_SENT, NULL, a);
		return;
	}
	args.pool = m->pool;
	args.member = (char *)primary;
	args.xid = job->xid;
	args.backend_pid = job->backend_pid;
	args.previous_member = m->conf.name;
	rpc_start(rpc_of(k), address, ML_COMMIT_STATUS, &args, STATUS_RPC_TIMEOUT_US,
		  status_received, a);
}

void home_commit_status_start(struct home_job *job)
{
	struct status_request *a = g_new0(struct status_request, 1);

	stat_add(STAT_COMMIT_STATUS_QUERIES, 1);
	job->step = JOB_COMMIT_STATUS;
	a->job = job;
	a->timer = event_new(job->m->home->service.kernel->base, -1, 0, status_request_send, a);
	home_watch_probe_soon(job->m);
	kernel_arm(a->timer, 0);
}
