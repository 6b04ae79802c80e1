/** @file home-queue.c Statements that arrive at a member's home: refused, queued, or started. */
#include "home.h"

#include "stat.h"

/** Largest age of a report that a read is refused on because the replica is behind. */
#define BEHIND_REPORT_AGE_MAX_US (20 * USEC_PER_MSEC)

/** Answers a request that gets no job. */
static void exec_refuse(struct rpc_request *rq, const struct home_member *m, enum outcome o,
			int64_t retry_after_us)
{
	ml_exec_res res = {.outcome = (int)o, .sqlstate = "", .message = "", .primary = ""};

	res.retry_after_us = (u_quad_t)retry_after_us;
	if (m != NULL)
		res.primary = (char *)home_primary(m, &res.primary_term);
	rpc_reply(rq, &res);
}

/**
 * Returns the next job to start. A BEGIN that may not reserve a connection now is moved to
 * waiting_begin, so that it does not block single statements.
 */
static struct home_job *next_job(struct home_member *m)
{
	struct home_job *job = TAILQ_FIRST(&m->waiting_begin);
	struct dueq_item *item;

	if (job != NULL && home_tx_may_begin(m)) {
		TAILQ_REMOVE(&m->waiting_begin, job, link);
		return job;
	}
	while ((item = dueq_next(&m->queue, now_us())) != NULL) {
		job = (struct home_job *)item;
		if (job->args->control != ML_CONTROL_BEGIN || home_tx_may_begin(m))
			return job;
		TAILQ_INSERT_TAIL(&m->waiting_begin, job, link);
	}
	return NULL;
}

void home_dispatch(struct home_member *m)
{
	while (m->running < m->conf.slots) {
		bool waiting = dueq_length(&m->queue) > 0 ||
			       (!TAILQ_EMPTY(&m->waiting_begin) && home_tx_may_begin(m));
		struct home_conn *c = home_conn_idle(m);
		struct home_job *job;

		if (!waiting)
			return;
		if (c == NULL) {
			if (m->n_opening < m->conf.slots)
				home_conn_open(m);
			return;
		}
		job = next_job(m);
		if (job == NULL)
			return;
		job->started_us = now_us();
		home_job_start(job, c);
	}
}

void home_refuse_waiting(struct home_member *m, enum outcome o)
{
	struct dueq_item *item;
	struct home_job *job;

	while ((item = dueq_next(&m->queue, now_us())) != NULL)
		home_job_end((struct home_job *)item, o, 0);
	while ((job = TAILQ_FIRST(&m->waiting_begin)) != NULL) {
		TAILQ_REMOVE(&m->waiting_begin, job, link);
		home_job_end(job, o, 0);
	}
}

void home_expire_waiting(struct home_member *m, int64_t now)
{
	const struct fairq *q = &m->queue.class[HOME_CLASS];
	int64_t retry = (int64_t)(q->service_us * q->length / q->slots);
	struct dueq_item *item;
	struct home_job *job, *next;

	while ((item = dueq_expired(&m->queue, now)) != NULL)
		home_job_end((struct home_job *)item, OUTCOME_TOO_LATE, retry);
	TAILQ_FOREACH_SAFE(job, &m->waiting_begin, link, next) {
		if (job->deadline_us > now)
			continue;
		TAILQ_REMOVE(&m->waiting_begin, job, link);
		home_job_end(job, OUTCOME_TOO_LATE, retry);
	}
}

/** Returns whether a recent report shows that the replica lacks the data that the read requires. */
static bool known_behind(const struct home_member *m, const ml_exec_args *a, int64_t now)
{
	const struct member_view *v = &m->view.member[m->self];

	if (!a->as_replica || v->state != MEMBER_UP ||
	    now - v->reported_us > BEHIND_REPORT_AGE_MAX_US)
		return false;
	if (a->token.lsn > v->report.applied_lsn)
		return true;
	return a->max_age_us > 0 &&
	       group_age_us(&m->view, v->report.applied_lsn, now) > (int64_t)a->max_age_us;
}

/** Returns why the statement must be refused without queueing, or OUTCOME_DONE. */
static enum outcome exec_check(const struct home_member *m, const ml_exec_args *a)
{
	if (conf_member_leaves(&m->conf) || !m->configured || m->home->draining)
		return OUTCOME_LEAVING;
	if (m->view.member[m->self].state == MEMBER_DOWN)
		return OUTCOME_NO_CONNECTION;
	if (a->as_replica)
		return known_behind(m, a, now_us()) ? OUTCOME_BEHIND : OUTCOME_DONE;
	if (!home_accepts_writes(m))
		return OUTCOME_NOT_PRIMARY;
	if (a->token.term != 0) {
		struct pos token = {a->token.term, a->token.lsn};

		if (token_status(token, &m->view.member[m->self].report.terms) == TOKEN_LOST)
			return OUTCOME_TOKEN_LOST;
	}
	/* A write that no replica could confirm would end with an unknown outcome. */
	if (a->write && !home_can_confirm(m))
		return OUTCOME_NO_CONNECTION;
	return OUTCOME_DONE;
}

static struct home_job *job_create(struct home_member *m, struct rpc_request *rq,
				   const ml_exec_args *a)
{
	struct home_job *job = g_new0(struct home_job, 1);

	job->m = m;
	job->rq = rq;
	job->args = a;
	job->started_us = now_us();
	job->deadline_us = job->started_us + (int64_t)a->deadline_us;
	job->item.class = HOME_CLASS;
	job->item.aim_us = job->item.deadline_us = job->deadline_us;
	m->jobs++;
	m->home->jobs++;
	return job;
}

/** Runs a statement of an open transaction, without queueing, on the transaction's connection. */
static void exec_in_tx(struct home_member *m, struct rpc_request *rq, const ml_exec_args *a)
{
	struct home_tx *tx = home_tx_find(m, a->transaction);
	struct home_job *job;

	if (tx == NULL || tx->conn->job != NULL) {
		exec_refuse(rq, m, OUTCOME_TX_LOST, 0);
		return;
	}
	if (a->op == ML_ABANDON) {
		home_tx_end(m, tx);
		exec_refuse(rq, m, OUTCOME_DONE, 0);
		return;
	}
	job = job_create(m, rq, a);
	job->tx = tx;
	g_strlcpy(job->xid, tx->xid, sizeof(job->xid));
	home_job_start(job, tx->conn);
}

void home_exec(struct rpc_request *rq, const void *args, void *owner)
{
	struct home *h = owner;
	const ml_exec_args *a = args;
	struct home_member *m = home_member_get(h, a->pool, a->member);
	struct fairq_outcome queued;
	struct home_job *job;
	enum outcome o;

	h->last_exec_us = now_us();
	if (m == NULL) {
		exec_refuse(rq, NULL, OUTCOME_LEAVING, 0);
		return;
	}
	if (a->transaction != 0) {
		exec_in_tx(m, rq, a);
		return;
	}
	o = exec_check(m, a);
	if (o != OUTCOME_DONE) {
		exec_refuse(rq, m, o, 0);
		return;
	}
	job = job_create(m, rq, a);
	queued = dueq_add(&m->queue, &job->item, a->team, a->weight, job->started_us);
	if (queued.verdict != FAIRQ_QUEUED) {
		home_job_end(job,
			     queued.verdict == FAIRQ_FULL ? OUTCOME_QUEUE_FULL : OUTCOME_TOO_LATE,
			     queued.retry_after_us);
		return;
	}
	if (m->running >= m->conf.slots)
		stat_add(STAT_HOME_QUEUED, 1);
	home_dispatch(m);
}
