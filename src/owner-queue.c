/** @file owner-queue.c Queues of statements at the owner: admission, refusal and expiry. */
#include "owner.h"

#include "log.h"
#include "shares.h"
#include "stat.h"

#include <string.h>

/**
 * Most reads that wait at the reader of a data centre. Further ones go to the owner, which can use
 * all replicas.
 */
#define READER_WAITING_MAX 4
/** Age of its newest mark at which a reader asks the owner for a newer one. */
#define MARK_MAX_AGE_US (250 * USEC_PER_MSEC)
/** Most statements that wait in one queue of a group. */
#define QUEUE_MAX 2000

void queue_init(struct owner_group *g)
{
	TAILQ_INIT(&g->held);
	TAILQ_INIT(&g->running);
	TAILQ_INIT(&g->begins);
}

void queue_use(struct owner_group *g)
{
	g->queues = g_new0(struct owner_queues, 1);
	dueq_init(&g->queues->write, QUEUE_MAX, 2);
	dueq_init(&g->queues->read, QUEUE_MAX, 4);
}

void queue_clear(struct owner_group *g)
{
	if (g->queues == NULL)
		return;
	dueq_clear(&g->queues->write);
	dueq_clear(&g->queues->read);
	g_free(g->queues);
	g->queues = NULL;
}

struct dueq *queue_of(struct owner_job *job)
{
	return job->needs_primary ? &job->g->queues->write : &job->g->queues->read;
}

static double team_weight(const struct owner_group *g, const char *team)
{
	return shares_weight(shares_of(g->o->service.kernel), team);
}

/* Refusing statements */

/**
 * Logs a refusal. @param forecast_us predicted wait in the queue; 0 for a refusal that does not
 * depend on it
 */
static void log_refused(const ml_run_args *a, const struct owner_group *g, enum outcome o,
			int64_t retry_after_us, int64_t aim_left_us, int64_t forecast_us)
{
	log_info("refused", LOG_STR("request", a->request), LOG_STR("team", a->team),
		 LOG_STR("pool", a->pool), LOG_STR("outcome", outcome_text(o)->name),
		 LOG_NUM("state", g != NULL ? (int)g->state : -1),
		 LOG_NUM("retry_after_us", retry_after_us),
		 LOG_NUM("class", MIN(a->priority, OWNER_PRIORITIES - 1)),
		 LOG_NUM("aim_left_ms", aim_left_us / USEC_PER_MSEC),
		 LOG_NUM("forecast_us", forecast_us));
}

static void refuse(struct rpc_request *rq, const ml_run_args *a, const struct owner_group *g,
		   enum outcome o, int64_t retry_after_us)
{
	ml_run_res res = {.outcome = (int)o, .message = "", .signature = ""};
	int64_t aim_left_us = (int64_t)a->deadline_us;

	if (g != NULL)
		owner_aim_expiry(g, a, 0, &aim_left_us);
	job_fill_owner(&res, g, a->owner_revision);
	res.retry_after_us = (u_int)retry_after_us;
	log_refused(a, g, o, retry_after_us, aim_left_us, 0);
	rpc_reply(rq, &res);
}

/** Ends a waiting job that is not served because of the forecast of its queue. */
static void refuse_job(struct owner_job *job, enum outcome o, enum stat_class_id counter,
		       int64_t forecast_us)
{
	if (owner_aim_used(job->g)) {
		log_refused(job->args, job->g, o, forecast_us, job->item.aim_us - now_us(),
			    forecast_us);
		stat_add_class(counter, job->item.class, 1);
	}
	job_end(job, o, NULL, forecast_us);
}

void queue_refuse(struct owner_group *g, bool all, enum outcome o)
{
	struct owner_jobs jobs = TAILQ_HEAD_INITIALIZER(jobs);
	struct owner_job *job, *next;
	struct dueq_item *item;

	if (g->queues == NULL)
		return;
	TAILQ_FOREACH_SAFE(job, &g->held, link, next) {
		if (!all && !job->needs_primary)
			continue;
		TAILQ_REMOVE(&g->held, job, link);
		TAILQ_INSERT_TAIL(&jobs, job, link);
	}
	while ((item = dueq_next(&g->queues->write, now_us())) != NULL)
		TAILQ_INSERT_TAIL(&jobs, (struct owner_job *)item, link);
	while (all && (item = dueq_next(&g->queues->read, now_us())) != NULL)
		TAILQ_INSERT_TAIL(&jobs, (struct owner_job *)item, link);
	while ((job = TAILQ_FIRST(&jobs)) != NULL) {
		TAILQ_REMOVE(&jobs, job, link);
		job_end(job, o, NULL, owner_group_expected_wait_us(g, now_us()));
	}
}

/* Queueing and starting */

void queue_end_unservable(struct owner_job *job)
{
	const struct owner_group *g = job->g;

	log_info("no-replica-fits", LOG_STR("request", job->args->request),
		 LOG_STR("pool", g->pool), LOG_NUM("reader", job->args->reader),
		 LOG_NUM("tried", job->tried_members),
		 LOG_NUM("mark_term", g->marks.newest.pos.term),
		 LOG_NUM("mark_lsn", g->marks.newest.pos.lsn),
		 LOG_NUM("mark_age_us", now_us() - g->marks.newest.asked_us));
	job_end(job, OUTCOME_BEHIND, NULL, 0);
}

/** Whether only the primary may serve the statement. */
static bool needs_primary(const ml_run_args *a)
{
	if (a->begin == STATEMENT_BEGIN_READ)
		return a->mode == READ_PRIMARY;
	return a->begin == STATEMENT_BEGIN || a->mode == READ_PRIMARY ||
	       statement_writes((enum statement_op)a->op, a->write) || a->op == STATEMENT_COMMIT ||
	       a->op == STATEMENT_ROLLBACK;
}

static struct owner_job *job_create(struct owner_group *g, struct rpc_request *rq,
				    const ml_run_args *a)
{
	struct owner_job *job = g_new0(struct owner_job, 1);

	job->g = g;
	job->rq = rq;
	job->args = a;
	job->received_us = now_us();
	job->deadline_us = job->received_us + (int64_t)a->deadline_us;
	job->item.class = MIN(a->priority, OWNER_PRIORITIES - 1);
	job->item.deadline_us = job->deadline_us;
	job->has_aim = owner_aim_expiry(g, a, job->received_us, &job->item.aim_us);
	job->needs_primary = needs_primary(a);
	owner_group_use(g);
	g->n_jobs++;
	budget_begin_waits(job);
	owner_group_wake(g);
	return job;
}

/**
 * Runs a statement of an open transaction. It does not wait in a queue, since the connection is
 * reserved for the transaction.
 */
static void run_in_tx(struct owner_group *g, struct rpc_request *rq, const ml_run_args *a)
{
	struct owner_tx *tx = tx_find(g, a->transaction);
	struct owner_job *job;

	if (tx == NULL || tx->conn->job != NULL) {
		refuse(rq, a, g, OUTCOME_TX_LOST, 0);
		return;
	}
	/* An entry sends STATEMENT_BAD when the caller has disconnected. */
	if (a->op == STATEMENT_BAD) {
		tx_abort(tx, "caller-gone");
		refuse(rq, a, g, OUTCOME_TX_LOST, 0);
		return;
	}
	if (tx->on_primary && !owner_group_may_send(g)) {
		tx_abort(tx, "may-not-send");
		refuse(rq, a, g, OUTCOME_TX_LOST, 0);
		return;
	}
	tx->last_used_us = now_us();
	job = job_create(g, rq, a);
	job->tx = tx;
	job_start_in_tx(job);
}

/**
 * Whether so many reads wait at this reader that they would be served earlier by the owner, which
 * can use all replicas.
 */
static bool reader_busy(const struct owner_group *g)
{
	return g->queues != NULL && dueq_length(&g->queues->read) >= READER_WAITING_MAX;
}

/**
 * Checks a read that this VM serves without being the owner. A replica verifies that it holds the
 * position last reported by the owner; the read may be as old as that mark.
 */
static enum outcome check_reader(struct owner_group *g, const ml_run_args *a, int64_t now)
{
	struct pos need;

	if (g->o->leaving)
		return OUTCOME_LEAVING;
	if (now - g->marks.newest.asked_us > MARK_MAX_AGE_US)
		claim_ask_mark(g, now);
	if (needs_primary(a) || !marks_required(&g->marks, now - (int64_t)a->max_age_us, &need))
		return OUTCOME_NOT_SENT;
	if (a->reader == READER_LOCAL && reader_busy(g))
		return OUTCOME_QUEUE_FULL;
	if (!g->serves_reads)
		log_info("reads-begin", LOG_STR("pool", g->pool),
			 LOG_NUM("mark_age_us", now - g->marks.newest.asked_us),
			 LOG_NUM("term", need.term), LOG_NUM("lsn", need.lsn));
	g->serves_reads = true;
	g->last_read_us = now;
	if (a->reader == READER_LOCAL)
		g->last_local_read_us = now;
	return OUTCOME_DONE;
}

/**
 * Returns the outcome of a statement that the owner of the group must refuse at once, or
 * OUTCOME_DONE. @param wait_us how long the statement may wait
 */
static enum outcome check_owner(struct owner_group *g, const ml_run_args *a, int64_t wait_us,
				int64_t *retry_after_us)
{
	int64_t now = now_us();
	struct pos need;

	if (!owner_group_may_send(g))
		return OUTCOME_NO_CONNECTION;
	if (!needs_primary(a) && marks_required(&g->marks, now - (int64_t)a->max_age_us, &need))
		return OUTCOME_DONE;
	*retry_after_us = owner_group_expected_wait_us(g, now);
	/*
	 * If the change of primary is expected to last longer than the statement may wait, the
	 * statement is refused now with a time to retry. A read without a known position has to
	 * wait for it too: after a claim only a primary that was found or promoted reports one.
	 */
	return *retry_after_us > wait_us ? OUTCOME_NOT_PRIMARY : OUTCOME_DONE;
}

/** Returns the outcome of a statement that must be refused at once, or OUTCOME_DONE. */
static enum outcome check_admission(struct owner_group *g, const ml_run_args *a,
				    int64_t *retry_after_us)
{
	if (a->reader != READER_OWNER && !owner_group_is_own(g))
		return check_reader(g, a, now_us());
	if (!owner_group_is_own(g) || g->o->leaving)
		return OUTCOME_LEAVING;
	return check_owner(g, a, (int64_t)a->deadline_us, retry_after_us);
}

/**
 * Returns the outcome of a job that must not be put back to wait, or OUTCOME_DONE. Its group may
 * have been given up, or its primary may have failed, since the job was admitted.
 */
static enum outcome check_retry(const struct owner_job *job, int64_t *retry_after_us)
{
	struct owner_group *g = job->g;

	if (!owner_group_is_own(g))
		return job->args->reader != READER_OWNER && g->serves_reads ? OUTCOME_DONE
									    : OUTCOME_LEAVING;
	if (g->state <= OWNER_CLAIMING || g->yielded)
		return OUTCOME_LEAVING;
	return check_owner(g, job->args, job->deadline_us - now_us(), retry_after_us);
}

void queue_put_back(struct owner_job *job)
{
	dueq_put_back(queue_of(job), &job->item, job->args->team,
		      team_weight(job->g, job->args->team), now_us());
}

void queue_retry(struct owner_job *job)
{
	int64_t retry_after_us = 0;
	enum outcome o = check_retry(job, &retry_after_us);

	if (o != OUTCOME_DONE)
		job_end(job, o, NULL, retry_after_us);
	else if (owner_aim_used(job->g))
		queue_put_back(job);
	else
		TAILQ_INSERT_TAIL(&job->g->held, job, link);
}

/** Ends the jobs of @a q that will miss their deadline, so that their callers need not wait. */
static void refuse_late(struct dueq *q, int64_t now)
{
	struct dueq_item *item;
	int64_t forecast_us;

	while ((item = dueq_refuse_late(q, now, &forecast_us)) != NULL)
		refuse_job((struct owner_job *)item, OUTCOME_TOO_LATE, STAT_QUEUE_REFUSED_LATER,
			   forecast_us);
}

void queue_run_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_run_args *a = args;
	struct owner_group *g = owner_group_find(owner, a->pool);
	struct fairq_outcome queued;
	struct owner_job *job;
	struct dueq *q;
	int64_t retry_us = 0;
	enum outcome o;

	if (g == NULL) {
		refuse(rq, a, NULL, OUTCOME_LEAVING, 0);
		return;
	}
	if (a->transaction != 0) {
		run_in_tx(g, rq, a);
		return;
	}
	/*
	 * The sender knows a newer record, which may name this VM: a notice of it may be lost, and
	 * the other VMs would regard this one as the owner for good.
	 */
	if (!owner_group_is_own(g) && a->owner_revision > owner_known_revision(g->o, g->pool))
		record_outdated(g);
	o = check_admission(g, a, &retry_us);
	if (o == OUTCOME_DONE && !budget_admits_begin(g, a, needs_primary(a), &retry_us))
		o = OUTCOME_QUEUE_FULL;
	if (o != OUTCOME_DONE) {
		refuse(rq, a, g, o, retry_us);
		return;
	}
	owner_group_use(g);
	owner_aim_update(g);
	job = job_create(g, rq, a);
	q = queue_of(job);
	queued = dueq_add(q, &job->item, a->team, team_weight(g, a->team), job->received_us);
	if (queued.verdict != FAIRQ_QUEUED) {
		refuse_job(job,
			   queued.verdict == FAIRQ_FULL ? OUTCOME_QUEUE_FULL : OUTCOME_TOO_LATE,
			   STAT_QUEUE_REFUSED_ARRIVAL, queued.retry_after_us);
		return;
	}
	queue_dispatch(g);
	refuse_late(q, now_us());
}

/** Returns the expected wait of a statement like @a job that arrives now. */
static int64_t expected_wait_us(struct owner_job *job, int64_t now)
{
	int64_t wait_us = owner_group_expected_wait_us(job->g, now);

	if (!owner_aim_used(job->g))
		return wait_us;
	return MAX(wait_us, dueq_forecast(queue_of(job), &job->item, job->args->team,
					  team_weight(job->g, job->args->team), now));
}

static void expire_queue(struct dueq *q, int64_t now)
{
	struct dueq_item *item;

	while ((item = dueq_expired(q, now)) != NULL) {
		struct owner_job *job = (struct owner_job *)item;

		refuse_job(job, OUTCOME_TOO_LATE, STAT_QUEUE_REFUSED_LATER,
			   expected_wait_us(job, now));
	}
}

void queue_tick(struct owner_group *g, int64_t now)
{
	struct owner_job *job, *next;
	struct owner_tx *tx, *next_tx;

	if (g->queues == NULL)
		return;
	owner_aim_update(g);
	owner_aim_update_slots(g);
	expire_queue(&g->queues->write, now);
	expire_queue(&g->queues->read, now);
	TAILQ_FOREACH_SAFE(job, &g->held, link, next) {
		if (now < job->deadline_us)
			continue;
		TAILQ_REMOVE(&g->held, job, link);
		job_end(job, OUTCOME_TOO_LATE, NULL, owner_group_expected_wait_us(g, now));
	}
	TAILQ_FOREACH_SAFE(job, &g->running, link, next)
		job_expire(job, now);
	TAILQ_FOREACH_SAFE(tx, &g->txs, link, next_tx) {
		const struct owner_member *m = tx->conn->m;

		if (tx->conn->job != NULL)
			continue;
		if (tx->idle_timeout_us > 0 && now - tx->last_used_us > tx->idle_timeout_us)
			tx_abort(tx, "idle");
		else if (m->conf.evacuated && change_exceeds_leave_time(m, now))
			tx_abort(tx, "evacuated");
	}
	queue_dispatch(g);
	refuse_late(&g->queues->write, now);
	refuse_late(&g->queues->read, now);
}
