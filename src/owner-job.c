/** @file owner-job.c Execution of one statement on a member. */
#include "owner.h"

#include "log.h"
#include "stat.h"

#include <string.h>

/**
 * A read that is not answered within this time is retried on another member. The longest statements
 * take 110 ms; without the retry, the caller of a lost answer would wait until its deadline.
 */
#define READ_RETRY_AFTER_US (250 * USEC_PER_MSEC)
/** Maximum number of attempts for one statement that did not run. */
#define ATTEMPTS_MAX 6
/** A read that a member failed to run is not retried if this many attempts failed before. */
#define FAILED_READ_RETRIES_MAX 2
/** Pause before a retry after a member had no free slot or connection, or could not be used. */
#define BUSY_PAUSE_US (4 * USEC_PER_MSEC)
/** Weight of a new sample in the moving average of the duration of a statement. */
#define SERVICE_ALPHA 0.1

static void job_answered(struct member_conn *mc, const struct member_answer *a, void *arg);

static bool is_write(const struct owner_job *job)
{
	const ml_run_args *a = job->args;

	return statement_writes((enum statement_op)a->op, a->write);
}

/** Whether no write can be lost or left in doubt if the connection closes now. */
static bool loses_no_write(const struct owner_job *job)
{
	if (job->tx != NULL || job->args->begin != 0)
		return job->args->op != STATEMENT_COMMIT || job->step == OWNER_BEGIN ||
		       (job->tx != NULL && !job->tx->wrote);
	return !is_write(job);
}

static void release_slot(struct owner_job *job)
{
	if (job->holds_slot)
		job->conn->m->in_flight--;
	job->holds_slot = false;
}

static void job_free(struct owner_job *job)
{
	budget_begin_ends(job);
	job->g->n_jobs--;
	g_free(job);
}

/** Logs the outcome of a statement, with the member, term, attempts and times behind it. */
static void log_run(const struct owner_job *job, enum outcome o, const ml_run_res *res, int64_t now)
{
	const struct log_field fields[] = {
		LOG_STR("request", job->args->request),
		LOG_STR("team", job->args->team),
		LOG_STR("pool", job->g->pool),
		LOG_STR("member", job->conn != NULL ? job->conn->m->conf.name : ""),
		LOG_STR("outcome", outcome_text(o)->name),
		LOG_NUM("term", job->g->term),
		LOG_NUM("tries", job->failed_attempts),
		LOG_NUM("queued_us", job->sent_us != 0 ? job->sent_us - job->received_us : 0),
		LOG_NUM("us", now - job->received_us),
		LOG_NUM("retry_after_us", res->retry_after_us),
	};

	if (o == OUTCOME_DONE)
		log_routine_fields("run", fields, G_N_ELEMENTS(fields));
	else
		log_fields(G_LOG_LEVEL_INFO, "run", fields, G_N_ELEMENTS(fields));
}

void job_fill_owner(ml_run_res *res, const struct owner_group *g, uint64_t known)
{
	res->owner = res->owner_address = "";
	if (g != NULL && g->hint_revision > MAX(g->revision, known)) {
		res->owner_address = (char *)g->hint_address;
		res->owner_revision = g->hint_revision;
		return;
	}
	if (g == NULL || g->revision <= known)
		return;
	res->owner = (char *)g->record.owner.name;
	res->owner_address = (char *)g->record.address;
	res->owner_revision = g->revision;
}

static void job_reply(struct owner_job *job, enum outcome o, const struct member_answer *a,
		      int64_t retry_after_us)
{
	struct owner_group *g = job->g;
	int64_t now = now_us();
	ml_run_res res = {.outcome = (int)o, .message = "", .signature = ""};

	if (a != NULL) {
		res.message = (char *)a->message;
		res.signature = (char *)a->signature;
		res.rows.rows_val = (char *)a->rows;
		res.rows.rows_len = (u_int)a->rows_len;
		res.pos = (ml_pos){a->pos.term, a->pos.lsn};
	}
	if (job->tx != NULL) {
		job->tx->last_used_us = now;
		res.transaction = job->tx->id;
		res.state = job->tx->failed ? TX_FAILED : TX_OPEN;
	}
	res.retry_after_us = (u_int)retry_after_us;
	if (owner_group_is_own(g) && g->marks.newest.pos.term != 0) {
		res.mark = (ml_pos){g->marks.newest.pos.term, g->marks.newest.pos.lsn};
		res.mark_age_us = (u_int)MIN(now - g->marks.newest.asked_us, UINT_MAX);
	}
	job_fill_owner(&res, g, job->args->owner_revision);
	if (o == OUTCOME_DONE && job->has_aim && job->tx == NULL)
		stat_add_class(now <= job->item.aim_us ? STAT_QUEUE_IN_AIM : STAT_QUEUE_LATE,
			       job->item.class, 1);
	log_run(job, o, &res, now);
	rpc_reply(job->rq, &res);
}

void job_end(struct owner_job *job, enum outcome o, const struct member_answer *a,
	     int64_t retry_after_us)
{
	job_reply(job, o, a, retry_after_us);
	job_free(job);
}

/** Detaches the job from its connection, which is released in state @a state or closed. */
static void job_detach(struct owner_job *job, bool close, enum tx_state state)
{
	struct owner_conn *c = job->conn;

	if (c == NULL)
		return;
	release_slot(job);
	TAILQ_REMOVE(&job->g->running, job, link);
	job->conn = NULL;
	c->job = NULL;
	if (close) {
		job->tx = NULL;
		conn_close(c);
	} else {
		conn_release(c, state);
	}
}

/**
 * Answers and frees the job. The answer is sent before the connection is released, since the
 * connection owns the strings of the answer.
 */
static void job_finish(struct owner_job *job, enum outcome o, const struct member_answer *a)
{
	job_reply(job, o, a, 0);
	job_detach(job, a->setup_failed, a->state);
	job_free(job);
}

/** Retries a statement that did not run, or refuses it if its attempts or its time are used up. */
static void job_retry(struct owner_job *job, enum outcome refusal, int64_t pause_us)
{
	int64_t now = now_us();

	job->failed_attempts++;
	if (job->failed_attempts >= ATTEMPTS_MAX || now + pause_us >= job->deadline_us) {
		job_end(job, refusal, NULL, pause_us);
		return;
	}
	job->not_before_us = now + pause_us;
	queue_retry(job);
}

void job_lost(struct owner_job *job, const char *why)
{
	struct owner_group *g = job->g;
	bool in_tx = job->tx != NULL || job->step == OWNER_BEGIN;
	bool safe = loses_no_write(job);
	bool begun = job->step == OWNER_STATEMENT || job->step == OWNER_BEGIN;

	log_warn("statement-lost", LOG_STR("request", job->args->request), LOG_STR("pool", g->pool),
		 LOG_STR("member", job->conn->m->conf.name), LOG_STR("why", why),
		 LOG_NUM("step", job->step), LOG_NUM("harmless", safe),
		 LOG_NUM("us", now_us() - job->received_us));
	job_detach(job, true, TX_NONE);
	if (!begun)
		job_retry(job, OUTCOME_NO_CONNECTION, BUSY_PAUSE_US);
	else if (!safe)
		job_end(job, OUTCOME_LOST, NULL, 0);
	else if (in_tx && job->args->begin == 0)
		job_end(job, OUTCOME_TX_LOST, NULL, 0);
	else
		job_retry(job, in_tx ? OUTCOME_TX_LOST : OUTCOME_LOST, 0);
	queue_dispatch(g);
}

/**
 * Detaches the job while its statement is still running on the connection, whose answer will be
 * ignored.
 */
static void job_abandon(struct owner_job *job)
{
	struct owner_conn *c = job->conn;

	release_slot(job);
	TAILQ_REMOVE(&job->g->running, job, link);
	job->conn = NULL;
	c->job = NULL;
	c->abandoned = true;
	c->state_since_us = now_us();
}

void job_expire(struct owner_job *job, int64_t now)
{
	struct owner_group *g = job->g;
	struct owner_conn *c = job->conn;
	bool single_read = job->tx == NULL && job->args->begin == 0 && !is_write(job);

	if (single_read && job->step == OWNER_STATEMENT &&
	    now - job->sent_us > READ_RETRY_AFTER_US && now < job->deadline_us) {
		log_warn("read-elsewhere", LOG_STR("request", job->args->request),
			 LOG_STR("pool", g->pool), LOG_STR("member", c->m->conf.name),
			 LOG_NUM("waited_us", now - job->sent_us));
		job->tried_members |= (uint8_t)(1U << c->m->index);
		load_failed(c->m, now);
		conn_close_stale(c->m);
		job_abandon(job);
		job_retry(job, OUTCOME_LOST, 0);
		queue_dispatch(g);
		return;
	}
	if (now < job->deadline_us)
		return;
	if (single_read && job->step == OWNER_STATEMENT) {
		load_failed(c->m, now);
		job_abandon(job);
		job_end(job, OUTCOME_LOST, NULL, 0);
		return;
	}
	job_lost(job, "deadline");
}

/* Sending statements */

bool job_needed_pos(const struct owner_job *job, struct pos *need)
{
	const ml_run_args *a = job->args;
	const struct marks *marks = &job->g->marks;
	struct pos own = {0};

	if (!marks_required(marks, job->received_us - (int64_t)a->max_age_us, need))
		return false;
	if (a->mode == READ_SESSION)
		own = marks_in_current_term(marks, (struct pos){a->session.term, a->session.lsn});
	if (pos_cmp(own, *need) > 0)
		*need = own;
	return true;
}

/**
 * Determines the position sent along with the statement; none to a primary. @return as
 * job_needed_pos()
 */
static bool needed_pos(const struct owner_job *job, struct pos *need)
{
	*need = (struct pos){0};
	if (job->on_primary || is_write(job) || job->tx != NULL)
		return true;
	return job_needed_pos(job, need);
}

static void send_commands(struct owner_job *job, const struct member_command *commands, unsigned n)
{
	struct owner_conn *c = job->conn;
	int64_t now = now_us();

	job->sent_us = now;
	c->state_since_us = now;
	c->sent_us = now;
	watch_sent(c->m, now);
	if (!job->holds_slot) {
		job->holds_slot = true;
		c->m->in_flight++;
	}
	/*
	 * Statements of open transactions are not held back by the limit of a cold member; they are
	 * charged to it, so that later ones wait.
	 */
	if (c->m->conf.cold)
		bucket_credit(&c->m->cold_bucket, -1, now);
	c->mc->ops->run(c->mc, commands, n, job_answered);
}

static void send_statement(struct owner_job *job, struct pos need)
{
	struct member_command commands[OWNER_COMMANDS_MAX];
	const ml_run_args *a = job->args;
	char name[OWNER_STATEMENT_NAME_SIZE];
	unsigned n = 0;

	job->step = OWNER_STATEMENT;
	if (a->begin == 0)
		n = command_values(job, commands);
	n += command_prepare(job, name, &commands[n]);
	commands[n] =
		(struct member_command){.op = (enum statement_op)a->op, .request = a->request};
	if (a->op == STATEMENT_EXECUTE) {
		commands[n].name = name;
		commands[n].operand = a->operand;
	} else {
		commands[n].text = a->text;
	}
	commands[n].wait_for = need;
	if (job->tx != NULL && is_write(job))
		job->tx->wrote = true;
	send_commands(job, commands, n + 1);
}

/**
 * Begins the transaction; its first statement is sent after the answer. Sent together, a refused
 * begin would let the statement run outside of a transaction.
 */
static void send_begin(struct owner_job *job, struct pos need)
{
	struct member_command commands[OWNER_COMMANDS_MAX];
	unsigned n = command_values(job, commands);

	job->step = OWNER_BEGIN;
	commands[n] = (struct member_command){.op = (enum statement_op)job->args->begin};
	commands[n].wait_for = need;
	send_commands(job, commands, n + 1);
}

static bool is_trusted(const struct owner_job *job);

/**
 * Sends the statement once the connection is open. While it opened, this VM may have claimed or
 * lost the group and dropped its marks. A read without its required position would see data that is
 * too old, and the primary may have been replaced.
 */
static void job_send(struct owner_job *job)
{
	struct pos need;
	bool known = needed_pos(job, &need);

	job->need = need;

	if (!known || !is_trusted(job)) {
		log_info("not-sent", LOG_STR("request", job->args->request),
			 LOG_STR("pool", job->g->pool), LOG_NUM("position_known", known));
		job_detach(job, false, TX_NONE);
		job_retry(job, known ? OUTCOME_NOT_PRIMARY : OUTCOME_BEHIND, BUSY_PAUSE_US);
		return;
	}
	if (job->args->begin != 0)
		send_begin(job, need);
	else
		send_statement(job, need);
}

bool job_start(struct owner_job *job, struct owner_member *m)
{
	struct owner_conn *c = conn_get(m, job->args->team, job->args->priority);

	if (c == NULL)
		return false;
	job->conn = c;
	job->term = m->g->term;
	job->on_primary = owner_group_is_own(m->g) && m == owner_group_primary(m->g);
	c->job = job;
	TAILQ_INSERT_TAIL(&job->g->running, job, link);
	m->in_flight++;
	job->holds_slot = true;
	load_sent(job, m, now_us());
	standing_sent(job, now_us());
	if (c->open) {
		job_send(job);
	} else {
		job->step = OWNER_OPENING;
		job->sent_us = now_us();
	}
	return true;
}

void job_start_in_tx(struct owner_job *job)
{
	job->conn = job->tx->conn;
	job->conn->job = job;
	job->term = job->tx->term;
	job->on_primary = job->tx->on_primary;
	TAILQ_INSERT_TAIL(&job->g->running, job, link);
	standing_sent(job, now_us());
	send_statement(job, (struct pos){0});
}

void job_conn_opened(struct owner_conn *c, enum member_result result)
{
	struct owner_job *job = c->job;
	struct owner_group *g = c->m->g;

	if (result == MEMBER_DONE) {
		load_opened(c->m, now_us() - c->sent_us);
		if (job != NULL)
			job_send(job);
		return;
	}
	if (job == NULL) {
		conn_close(c);
		return;
	}
	if (result == MEMBER_LOST)
		load_failed(c->m, now_us());
	job->tried_members |= (uint8_t)(1U << c->m->index);
	job_detach(job, true, TX_NONE);
	job_retry(job, OUTCOME_NO_CONNECTION, BUSY_PAUSE_US);
	queue_dispatch(g);
}

/* Handling answers */

static enum outcome outcome_of(enum member_result r)
{
	static const enum outcome outcomes[] = {
		[MEMBER_DONE] = OUTCOME_DONE,		[MEMBER_BUSY] = OUTCOME_QUEUE_FULL,
		[MEMBER_NO_NAME] = OUTCOME_NO_NAME,	[MEMBER_BEHIND] = OUTCOME_BEHIND,
		[MEMBER_READ_ONLY] = OUTCOME_READ_ONLY, [MEMBER_MISROUTED] = OUTCOME_NO_CONNECTION,
		[MEMBER_FULL] = OUTCOME_NO_CONNECTION,	[MEMBER_FAILED] = OUTCOME_SQL_ERROR,
		[MEMBER_TIMEOUT] = OUTCOME_TIMED_OUT,	[MEMBER_REJECTED] = OUTCOME_MALFORMED,
		[MEMBER_LOST] = OUTCOME_LOST,
	};

	return outcomes[r];
}

/** Handles a refused or failed statement outside of a transaction. */
static void after_error(struct owner_job *job, const struct member_answer *a)
{
	struct owner_conn *c = job->conn;
	struct owner_member *m = c->m;
	unsigned index = m->index;

	switch (a->result) {
	case MEMBER_NO_NAME:
		g_hash_table_remove_all(c->prepared);
		job_detach(job, a->setup_failed, a->state);
		job_retry(job, OUTCOME_NO_NAME, 0);
		return;
	case MEMBER_BEHIND:
		log_info("behind", LOG_STR("request", job->args->request),
			 LOG_STR("pool", job->g->pool), LOG_STR("member", m->conf.name),
			 LOG_NUM("need_term", job->need.term), LOG_NUM("need_lsn", job->need.lsn),
			 LOG_NUM("has_lsn", a->pos.lsn),
			 LOG_NUM("max_age_ms", job->args->max_age_us / USEC_PER_MSEC),
			 LOG_NUM("mark_age_us", now_us() - job->g->marks.newest.asked_us));
		job->tried_members |= (uint8_t)(1U << index);
		job_detach(job, false, a->state);
		job_retry(job, OUTCOME_BEHIND, 0);
		return;
	case MEMBER_READ_ONLY:
		watch_probe_soon(m);
		job_detach(job, false, a->state);
		job_retry(job, OUTCOME_NOT_PRIMARY, BUSY_PAUSE_US);
		return;
	case MEMBER_BUSY:
		job_detach(job, false, a->state);
		job_retry(job, OUTCOME_QUEUE_FULL, BUSY_PAUSE_US);
		return;
	case MEMBER_FAILED:
	case MEMBER_TIMEOUT:
		if (!is_write(job) && job->failed_attempts < FAILED_READ_RETRIES_MAX) {
			job->tried_members |= (uint8_t)(1U << index);
			job_detach(job, false, a->state);
			job_retry(job, OUTCOME_SQL_ERROR, 0);
			return;
		}
		break;
	default:
		break;
	}
	job_finish(job, outcome_of(a->result), a);
}

static void after_begin(struct owner_job *job, const struct member_answer *a)
{
	if (a->result != MEMBER_DONE || a->setup_failed || a->state != TX_OPEN) {
		struct member_answer refused = *a;

		if (refused.result == MEMBER_DONE)
			refused.result = MEMBER_BUSY;
		after_error(job, &refused);
		return;
	}
	job->tx = tx_create(job);
	send_statement(job, (struct pos){0});
}

/**
 * Handles the answer to a statement inside a transaction. A failed statement leaves the transaction
 * failed.
 */
static void after_tx_statement(struct owner_job *job, const struct member_answer *a)
{
	bool commit = job->args->op == STATEMENT_COMMIT;
	bool ends = commit || job->args->op == STATEMENT_ROLLBACK;
	enum outcome o = outcome_of(a->result);
	struct owner_tx *tx = job->tx;
	struct owner_conn *c = job->conn;

	tx->failed = a->state == TX_FAILED;
	if (!ends && a->state != TX_NONE) {
		/* The transaction is still open, failed or not, and waits for its end. */
		if (o == OUTCOME_BEHIND || o == OUTCOME_READ_ONLY)
			o = tx->read_only ? o : OUTCOME_TX_LOST;
		job_finish(job, o, a);
		return;
	}
	if (commit && a->result == MEMBER_READ_ONLY)
		o = OUTCOME_TX_LOST;
	if (!ends)
		o = o == OUTCOME_DONE ? OUTCOME_TX_LOST : o;
	if (job->args->op == STATEMENT_ROLLBACK || a->result != MEMBER_DONE)
		c->values_uncertain = c->values_uncertain || g_hash_table_size(c->values) > 0;
	else
		c->values_uncertain = false;
	job->tx = NULL;
	tx_free(tx);
	job_finish(job, o, a);
}

/**
 * Whether an answer may be passed on. An answer of a replaced primary would acknowledge a write
 * that is discarded, or show outdated data to a read. This VM must still hold its lease, and the
 * member must still be the primary of the same term as when the statement was sent.
 */
static bool is_trusted(const struct owner_job *job)
{
	const struct owner_group *g = job->g;
	const struct owner_member *m = job->conn->m;

	if (!job->on_primary)
		return true;
	return owner_group_may_send(g) && g->primary == (int)m->index && g->term == job->term;
}

static void job_answered(struct member_conn *mc, const struct member_answer *a, void *arg)
{
	struct owner_conn *c = arg;
	struct owner_job *job = c->job;
	struct owner_member *m = c->m;
	struct owner_group *g = m->g;
	int64_t now = now_us();

	if (a->result == MEMBER_LOST) {
		load_failed(m, now);
		stat_add(STAT_CONNECTIONS_LOST, 1);
		if (job != NULL)
			job_lost(job, "connection");
		else
			conn_close(c);
		watch_probe_soon(m);
		return;
	}
	watch_answered(m, a->result == MEMBER_DONE ? a->pos : (struct pos){0}, c->sent_us);
	if (job == NULL) {
		/* The caller was already answered; the connection can be used again. */
		c->abandoned = false;
		conn_release(c, a->state);
		queue_dispatch(g);
		return;
	}
	stat_add_time(STAT_TIME_MEMBER, now - job->sent_us);
	if (job->step == OWNER_STATEMENT && job->tx == NULL)
		stat_add_time(STAT_TIME_QUEUE, job->sent_us - job->received_us);
	m->service_us += SERVICE_ALPHA * ((double)(now - job->sent_us) - m->service_us);
	dueq_record_service(queue_of(job), job->item.class, now - job->sent_us);
	if (job->step == OWNER_STATEMENT)
		load_answered(job, a->result, now - job->sent_us, now);
	if (!is_trusted(job)) {
		job_lost(job, "not-believable");
		return;
	}
	release_slot(job);
	if (job->step == OWNER_BEGIN)
		after_begin(job, a);
	else if (job->tx != NULL)
		after_tx_statement(job, a);
	else if (a->result != MEMBER_DONE)
		after_error(job, a);
	else {
		stat_add(m == owner_group_primary(g) ? STAT_READS_BY_PRIMARY
						     : STAT_READS_BY_REPLICA,
			 is_write(job) ? 0 : 1);
		stat_add(STAT_WRITES, is_write(job) ? 1 : 0);
		job_finish(job, OUTCOME_DONE, a);
	}
	queue_dispatch(g);
}
