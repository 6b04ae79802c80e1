/** @file home-job.c Runs a statement on a member step by step, and answers it exactly once. */
#include "home.h"

#include "fleet.h"
#include "log.h"
#include "pgwire.h"
#include "stat.h"

#include <stdio.h>
#include <string.h>

/** SQLSTATEs by which a member shows that it accepts no writes or shuts down. */
#define READ_ONLY_STATE "25006"
static const char *const not_primary_states[] = {READ_ONLY_STATE, "57P01", "57P02", "57P03"};
/** SQLSTATE of a unique violation; a once-id that is recorded already causes it. */
#define UNIQUE_VIOLATION_STATE "23505"

static void job_step(struct home_job *job, enum job_step step);

static void job_log(const struct home_job *job, enum outcome o)
{
	log_info("home", LOG_NUM("request", job->args->request), LOG_STR("team", job->args->team),
		 LOG_STR("pool", job->m->pool), LOG_STR("member", job->m->conf.name),
		 LOG_STR("outcome", outcome_text(o)->name),
		 LOG_NUM("us", now_us() - job->started_us));
}

void home_job_end(struct home_job *job, enum outcome o, int64_t retry_after_us)
{
	struct home_member *m = job->m;
	ml_exec_res res = {.outcome = (int)o};
	bool with_frames = o == OUTCOME_DONE || o == OUTCOME_SQL_ERROR;

	res.sqlstate = job->sqlstate;
	res.message = job->message != NULL ? job->message : "";
	res.retry_after_us = (u_quad_t)retry_after_us;
	res.pos.term = job->pos.term;
	res.pos.lsn = job->pos.lsn;
	res.age_us = (u_quad_t)job->age_us;
	res.transaction = job->tx != NULL ? job->tx->id : 0;
	res.transaction_failed =
		job->tx != NULL && job->tx->conn->db->ops->in_failed_tx(job->tx->conn->db);
	res.primary = (char *)home_primary(m, &res.primary_term);
	if (with_frames && job->frames != NULL) {
		res.frames.frames_val = (char *)job->frames->data;
		res.frames.frames_len = job->frames->len;
	}
	job_log(job, o);
	rpc_reply(job->rq, &res);
	if (job->frames != NULL)
		g_byte_array_unref(job->frames);
	g_free(job->message);
	g_free(job);
	m->jobs--;
	m->home->jobs--;
}

/** Frees the job's slot. */
static void job_release_slot(struct home_job *job)
{
	struct home_member *m = job->m;

	m->running--;
	dueq_record_service(&m->queue, HOME_CLASS, now_us() - job->started_us);
	event_active(m->dispatch, EV_TIMEOUT, 0);
}

/** Releases the connection: closes it, keeps it for the open transaction, or makes it idle. */
static void job_release_conn(struct home_job *job, bool close)
{
	struct home_conn *c = job->conn;

	job->conn = NULL;
	if (c == NULL)
		return;
	c->job = NULL;
	if (close) {
		if (c->tx != NULL) {
			struct home_tx *tx = c->tx;

			job->tx = NULL;
			c->tx = NULL;
			tx->conn = NULL;
			home_tx_end(job->m, tx);
		}
		stat_add(STAT_CONNECTIONS_LOST, 1);
		home_conn_close(c);
		return;
	}
	c->idle_checks = 0;
	if (c->tx == NULL)
		home_conn_release(c);
}

/** Releases slot and connection, and answers with @a o. */
static void job_finish(struct home_job *job, enum outcome o)
{
	job_release_slot(job);
	job_release_conn(job, false);
	home_job_end(job, o, 0);
}

/** Keeps the answer's frames and error until the outcome is known. */
static void job_save_result(struct home_job *job, const struct db_result *res)
{
	if (job->frames != NULL)
		g_byte_array_unref(job->frames);
	job->frames = g_byte_array_ref(res->frames);
	g_strlcpy(job->sqlstate, res->sqlstate, sizeof(job->sqlstate));
	g_free(job->message);
	job->message = g_strdup(res->message);
}

/** Ends the job after its connection broke or went silent during a step. */
static void job_lost(struct home_job *job)
{
	struct home_member *m = job->m;
	bool in_tx = job->tx != NULL;
	enum job_step step = job->step;

	job_release_slot(job);
	job_release_conn(job, true);
	home_watch_probe_soon(m);
	if (step == JOB_COMMIT) {
		home_commit_status_start(job);
		return;
	}
	/*
	 * COMMIT was not sent, so the transaction cannot have committed: the member rolls it back
	 * when the connection is lost.
	 */
	if (step == JOB_ROLLBACK)
		home_job_end(job, job->outcome, 0);
	else if (in_tx)
		home_job_end(job, OUTCOME_TX_LOST, 0);
	else if (job->args->write)
		home_job_end(job, OUTCOME_NO_CONNECTION, 0);
	else
		home_job_end(job, OUTCOME_LOST, 0);
}

void home_job_silent(struct home_job *job)
{
	log_warn("connection-silent", LOG_STR("pool", job->m->pool),
		 LOG_STR("member", job->m->conf.name), LOG_NUM("request", job->args->request));
	job_lost(job);
}

static bool means_not_primary(const char *sqlstate)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(not_primary_states); i++) {
		if (strcmp(sqlstate, not_primary_states[i]) == 0)
			return true;
	}
	return false;
}

/** Returns the outcome of a statement that the member answered with an error. */
static enum outcome error_outcome(const struct home_job *job, const struct db_result *res)
{
	if (!means_not_primary(res->sqlstate))
		return OUTCOME_SQL_ERROR;
	/*
	 * A write that the caller declared as a read is the caller's error; the primary would
	 * reject it as well.
	 */
	if (!job->args->write && strcmp(res->sqlstate, READ_ONLY_STATE) == 0)
		return OUTCOME_SQL_ERROR;
	return job->tx != NULL ? OUTCOME_TX_LOST : OUTCOME_NOT_PRIMARY;
}

/** Keeps the transaction id that the first query returned; "" if it returned none. */
static void save_xid(struct home_job *job, const struct db_result *res)
{
	const char *xid = res->value != NULL ? res->value : "";

	g_strlcpy(job->xid, strlen(xid) < sizeof(job->xid) ? xid : "", sizeof(job->xid));
}

static void after_prologue(struct home_job *job, const struct db_result *res)
{
	if (res->status == DB_SQL_ERROR) {
		job->outcome = strcmp(res->sqlstate, UNIQUE_VIOLATION_STATE) == 0
				       ? OUTCOME_ALREADY_RUN
				       : error_outcome(job, res);
		job_step(job, JOB_ROLLBACK);
		return;
	}
	save_xid(job, res);
	if (job->args->control != ML_CONTROL_BEGIN) {
		job_step(job, JOB_STATEMENT);
		return;
	}
	job->frames = g_byte_array_new();
	pg_put_complete(job->frames, "BEGIN");
	home_tx_begin(job);
	job_finish(job, OUTCOME_DONE);
}

/** Sets the age of the answer's data, and returns whether a replica's answer is recent enough. */
static enum outcome read_outcome(struct home_job *job, const struct db_result *res)
{
	const struct home_member *m = job->m;
	const ml_exec_args *a = job->args;
	struct pos token = {a->token.term, a->token.lsn};
	const struct member_report *own = &m->view.member[m->self].report;
	enum token_status status;

	job->age_us = 0;
	if (!a->as_replica)
		return OUTCOME_DONE;
	job->age_us = group_age_us(&m->view, res->pos.lsn, now_us());
	if (token.term != 0) {
		/*
		 * Check the log position in the answer itself; the one of the last probe may be
		 * older or newer.
		 */
		if (res->pos.term < token.term || res->pos.lsn < token.lsn)
			return OUTCOME_BEHIND;
		status = token_status_in_term(token, res->pos.term, &own->terms);
		if (status == TOKEN_LOST)
			return OUTCOME_TOKEN_LOST;
		/* The read is retried until a probe has fetched this member's term history. */
		if (status == TOKEN_UNKNOWN)
			return OUTCOME_BEHIND;
	}
	if (a->max_age_us > 0 && job->age_us > (int64_t)a->max_age_us)
		return OUTCOME_BEHIND;
	return OUTCOME_DONE;
}

static void after_read(struct home_job *job, const struct db_result *res)
{
	enum outcome o;

	job_save_result(job, res);
	if (res->status == DB_SQL_ERROR) {
		job_finish(job, error_outcome(job, res));
		return;
	}
	o = read_outcome(job, res);
	if (o == OUTCOME_DONE && res->too_large)
		o = OUTCOME_TOO_LARGE;
	if (o == OUTCOME_DONE)
		stat_add(job->args->as_replica ? STAT_READS_BY_REPLICA : STAT_READS_BY_PRIMARY, 1);
	job_finish(job, o);
}

static void after_statement(struct home_job *job, const struct db_result *res)
{
	job->pos = res->pos;
	if (job->tx != NULL) {
		job->tx->used_us = now_us();
		job_save_result(job, res);
		job_finish(job,
			   res->status == DB_SQL_ERROR ? error_outcome(job, res) : OUTCOME_DONE);
		return;
	}
	if (!job->args->write || job->args->op == ML_DESCRIBE) {
		after_read(job, res);
		return;
	}
	if (job->xid[0] == '\0')
		save_xid(job, res);
	job_save_result(job, res);
	if (res->status == DB_SQL_ERROR) {
		bool once_used = job->args->once[0] != '\0' &&
				 strcmp(res->sqlstate, UNIQUE_VIOLATION_STATE) == 0 &&
				 strstr(res->message, "mangoloom_once") != NULL;

		job->outcome = once_used ? OUTCOME_ALREADY_RUN : error_outcome(job, res);
		job_step(job, JOB_ROLLBACK);
		return;
	}
	if (res->too_large) {
		job->outcome = OUTCOME_TOO_LARGE;
		job_step(job, JOB_ROLLBACK);
		return;
	}
	job_step(job, JOB_COMMIT);
}

static void after_commit(struct home_job *job, const struct db_result *res)
{
	bool tx = job->args->control == ML_CONTROL_COMMIT;

	if (tx) {
		home_tx_release(job);
		job_save_result(job, res);
	}
	if (res->status == DB_SQL_ERROR) {
		/* The member reports that it did not commit. */
		enum outcome o =
			means_not_primary(res->sqlstate) ? OUTCOME_NOT_PRIMARY : OUTCOME_SQL_ERROR;

		if (!tx)
			job_save_result(job, res);
		job_finish(job, tx && o == OUTCOME_NOT_PRIMARY ? OUTCOME_TX_LOST : o);
		return;
	}
	job->pos = res->pos;
	stat_add(STAT_WRITES, 1);
	job_release_slot(job);
	job_release_conn(job, false);
	home_confirm_start(job);
}

static void after_rollback(struct home_job *job, const struct db_result *res)
{
	if (job->args->control == ML_CONTROL_ROLLBACK) {
		home_tx_release(job);
		job_save_result(job, res);
		job->outcome = OUTCOME_DONE;
	}
	job_finish(job, job->outcome);
}

static void job_answered(struct db_conn *db, const struct db_result *res, void *arg)
{
	struct home_conn *c = arg;
	struct home_job *job = c->job;
	static void (*const after[])(struct home_job *, const struct db_result *) = {
		[JOB_PROLOGUE] = after_prologue,
		[JOB_STATEMENT] = after_statement,
		[JOB_COMMIT] = after_commit,
		[JOB_ROLLBACK] = after_rollback,
	};

	if (res->status == DB_LOST)
		job_lost(job);
	else
		after[job->step](job, res);
}

/**
 * Returns the SQL that records the job's once-id, the caller's ID by which a repeated write runs at
 * most once. The entry refuses IDs with quotes.
 */
static char *once_sql(const struct home_job *job)
{
	if (job->args->once[0] == '\0')
		return g_strdup("");
	return g_strdup_printf("INSERT INTO mangoloom_once VALUES ('%s', '%s');", job->args->once,
			       job->args->team);
}

static char *statement_sql(const struct home_job *job, struct db_query *q)
{
	const ml_exec_args *a = job->args;
	char *once, *sql;

	if (!a->write || job->tx != NULL || a->op != ML_SIMPLE)
		return g_strdup(a->sql);
	/* Begin the transaction, read its ID and run the statement in one round trip. */
	once = once_sql(job);
	sql = g_strdup_printf("BEGIN;SELECT pg_current_xact_id();%s%s", once, a->sql);
	q->skip_results = once[0] != '\0' ? 3 : 2;
	g_free(once);
	return sql;
}

static char *step_sql(const struct home_job *job, struct db_query *q)
{
	char *once, *sql;

	switch (job->step) {
	case JOB_PROLOGUE:
		once = once_sql(job);
		sql = g_strdup_printf("BEGIN;SELECT pg_current_xact_id();%s", once);
		g_free(once);
		return sql;
	case JOB_STATEMENT:
		return statement_sql(job, q);
	case JOB_COMMIT:
		return g_strdup("COMMIT");
	default:
		return g_strdup("ROLLBACK");
	}
}

static struct db_param *job_params(const ml_exec_args *a)
{
	struct db_param *params = g_new0(struct db_param, a->params.params_len + 1);
	u_int i;

	for (i = 0; i < a->params.params_len; i++) {
		const ml_param *p = &a->params.params_val[i];

		params[i].null = p->null;
		params[i].format = p->format;
		params[i].type = p->type;
		params[i].value = p->value.value_val != NULL ? p->value.value_val : "";
		params[i].len = p->value.value_len;
	}
	return params;
}

static void job_step(struct home_job *job, enum job_step step)
{
	const ml_exec_args *a = job->args;
	struct db_conn *db = job->conn->db;
	struct db_query q = {0};
	struct db_param *params = NULL;
	char *sql;

	job->step = step;
	if (step == JOB_STATEMENT) {
		q.extended = a->op == ML_EXTENDED;
		q.describe = a->op == ML_DESCRIBE;
		q.describe_row = a->describe_row;
		q.result_format = a->result_format;
		q.result_max = job->m->home->service.kernel->settings->result_max;
		params = job_params(a);
		q.params = params;
		q.n_params = a->params.params_len;
	}
	sql = step_sql(job, &q);
	q.sql = sql;
	job->conn->idle_checks = 0;
	db->ops->query(db, &q, job_answered, job->conn);
	g_free(sql);
	g_free(params);
}

void home_job_start(struct home_job *job, struct home_conn *c)
{
	const ml_exec_args *a = job->args;
	struct home_member *m = job->m;
	enum job_step step = JOB_STATEMENT;

	stat_add(STAT_HOME_RUN, 1);
	m->running++;
	job->conn = c;
	c->job = job;
	job->backend_pid = c->db->ops->backend_pid(c->db);
	if (a->control == ML_CONTROL_COMMIT)
		step = JOB_COMMIT;
	else if (a->control == ML_CONTROL_ROLLBACK)
		step = JOB_ROLLBACK;
	else if (a->control == ML_CONTROL_BEGIN)
		step = JOB_PROLOGUE;
	else if (a->write && job->tx == NULL && a->op == ML_EXTENDED)
		step = JOB_PROLOGUE;
	job_step(job, step);
}

void home_drop_running(struct home_member *m)
{
	struct home_tx *tx;
	struct home_conn *c;

	for (;;) {
		TAILQ_FOREACH(c, &m->conns, link) {
			if (c->job != NULL)
				break;
		}
		if (c == NULL)
			break;
		home_job_silent(c->job);
	}
	while ((tx = TAILQ_FIRST(&m->txs)) != NULL)
		home_tx_end(m, tx);
}
