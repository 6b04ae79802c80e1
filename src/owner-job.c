/** @file owner-job.c One statement on a member, step by step. */
#include "owner.h"

#include "log.h"
#include "stat.h"

#include <string.h>

/**
 * A read whose answer has not come by then is tried on another member. The longest work is 110 ms;
 * answers that are lost never come, and the caller would wait for its deadline.
 */
#define READ_PATIENCE_US (250 * USEC_PER_MSEC)
/** Tries of one statement that did not run. */
#define TRIES_MAX 6
/** A member without a free slot or place is left alone for this long. */
#define BUSY_PAUSE_US (4 * USEC_PER_MSEC)
/** Weight of a new sample in a member's moving average. */
#define SERVICE_ALPHA 0.1

static void job_answered(struct member_conn *mc, const struct member_answer *a, void *arg);

static bool is_write(const struct owner_job *job)
{
	const ml_run_args *a = job->args;

	return statement_writes((enum statement_op)a->op, a->write);
}

/** Nothing is kept of it if its connection ends now. */
static bool harmless(const struct owner_job *job)
{
	if (job->tx != NULL || job->args->begin != 0)
		return job->args->op != STATEMENT_COMMIT || job->step == OWNER_BEGIN ||
		       (job->tx != NULL && !job->tx->wrote);
	return !is_write(job);
}

static void leave_slot(struct owner_job *job)
{
	if (job->slotted)
		job->conn->m->out--;
	job->slotted = false;
}

static void job_free(struct owner_job *job)
{
	job->g->jobs--;
	g_free(job);
}

/** One line for each statement: what decided it, and how it ended. */
static void log_run(const struct owner_job *job, enum outcome o, const ml_run_res *res, int64_t now)
{
	const struct log_field fields[] = {
		LOG_STR("request", job->args->request),
		LOG_STR("team", job->args->team),
		LOG_STR("pool", job->g->pool),
		LOG_STR("member", job->conn != NULL ? job->conn->m->conf.name : ""),
		LOG_STR("outcome", outcome_text(o)->name),
		LOG_NUM("term", job->g->term),
		LOG_NUM("tries", job->tries),
		LOG_NUM("queued_us", job->sent_us != 0 ? job->sent_us - job->received_us : 0),
		LOG_NUM("us", now - job->received_us),
		LOG_NUM("retry_after_us", res->retry_after_us),
	};

	if (o == OUTCOME_DONE)
		log_routine_fields("run", fields, G_N_ELEMENTS(fields));
	else
		log_fields(G_LOG_LEVEL_INFO, "run", fields, G_N_ELEMENTS(fields));
}

void job_put_owner(ml_run_res *res, const struct owner_group *g, uint64_t known)
{
	res->owner = res->owner_address = "";
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
		job->tx->used_us = now;
		res.transaction = job->tx->id;
		res.state = job->tx->failed ? TX_FAILED : TX_OPEN;
	}
	res.retry_after_us = (u_int)retry_after_us;
	if (og_mine(g) && g->marks.newest.pos.term != 0) {
		res.mark = (ml_pos){g->marks.newest.pos.term, g->marks.newest.pos.lsn};
		res.mark_age_us = (u_int)MIN(now - g->marks.newest.asked_us, UINT_MAX);
	}
	job_put_owner(&res, g, job->args->owner_revision);
	log_run(job, o, &res, now);
	rpc_reply(job->rq, &res);
}

void job_end(struct owner_job *job, enum outcome o, const struct member_answer *a,
	     int64_t retry_after_us)
{
	job_reply(job, o, a, retry_after_us);
	job_free(job);
}

/** Take the job off its connection, which is then released as @a state says, or closed. */
static void job_detach(struct owner_job *job, bool close, enum tx_state state)
{
	struct owner_conn *c = job->conn;

	if (c == NULL)
		return;
	leave_slot(job);
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

/** Answer before the connection, which holds the answer's texts, is let go. */
static void job_finish(struct owner_job *job, enum outcome o, const struct member_answer *a)
{
	job_reply(job, o, a, 0);
	job_detach(job, a->prelude_failed, a->state);
	job_free(job);
}

/** The statement did not run: another try, or the refusal. */
static void job_again(struct owner_job *job, enum outcome refusal, int64_t pause_us)
{
	int64_t now = now_us();

	job->tries++;
	if (job->tries >= TRIES_MAX || now + pause_us >= job->deadline_us) {
		job_end(job, refusal, NULL, pause_us);
		return;
	}
	job->not_before_us = now + pause_us;
	queue_again(job);
}

void job_lost(struct owner_job *job, const char *why)
{
	struct owner_group *g = job->g;
	bool in_tx = job->tx != NULL || job->step == OWNER_BEGIN;
	bool safe = harmless(job);
	bool begun = job->step == OWNER_STATEMENT || job->step == OWNER_BEGIN;

	log_warn("statement-lost", LOG_STR("request", job->args->request), LOG_STR("pool", g->pool),
		 LOG_STR("member", job->conn->m->conf.name), LOG_STR("why", why),
		 LOG_NUM("step", job->step), LOG_NUM("harmless", safe),
		 LOG_NUM("us", now_us() - job->received_us));
	job_detach(job, true, TX_NONE);
	if (!begun)
		job_again(job, OUTCOME_NO_CONNECTION, BUSY_PAUSE_US);
	else if (!safe)
		job_end(job, OUTCOME_LOST, NULL, 0);
	else if (in_tx && job->args->begin == 0)
		job_end(job, OUTCOME_TX_LOST, NULL, 0);
	else
		job_again(job, in_tx ? OUTCOME_TX_LOST : OUTCOME_LOST, 0);
	queue_dispatch(g);
}

/** The job is over for its caller; what is out on its connection may still be answered. */
static void job_abandon(struct owner_job *job)
{
	struct owner_conn *c = job->conn;

	leave_slot(job);
	TAILQ_REMOVE(&job->g->running, job, link);
	job->conn = NULL;
	c->job = NULL;
	c->abandoned = true;
	c->since_us = now_us();
}

void job_expire(struct owner_job *job, int64_t now)
{
	struct owner_group *g = job->g;
	struct owner_conn *c = job->conn;
	bool single_read = job->tx == NULL && job->args->begin == 0 && !is_write(job);

	if (single_read && job->step == OWNER_STATEMENT && now - job->sent_us > READ_PATIENCE_US &&
	    now < job->deadline_us) {
		log_warn("read-elsewhere", LOG_STR("request", job->args->request),
			 LOG_STR("pool", g->pool), LOG_STR("member", c->m->conf.name),
			 LOG_NUM("waited_us", now - job->sent_us));
		job->tried |= (uint8_t)(1U << c->m->index);
		conn_distrust(c->m);
		job_abandon(job);
		job_again(job, OUTCOME_LOST, 0);
		queue_dispatch(g);
		return;
	}
	if (now < job->deadline_us)
		return;
	if (single_read && job->step == OWNER_STATEMENT) {
		job_abandon(job);
		job_end(job, OUTCOME_LOST, NULL, 0);
		return;
	}
	job_lost(job, "deadline");
}

/* Sending */

bool job_need(const struct owner_job *job, struct pos *need)
{
	const ml_run_args *a = job->args;
	const struct marks *marks = &job->g->marks;
	struct pos own = {0};

	if (!marks_need(marks, job->received_us - (int64_t)a->max_age_us, need))
		return false;
	if (a->mode == READ_SESSION)
		own = marks_own(marks, (struct pos){a->session.term, a->session.lsn});
	if (pos_cmp(own, *need) > 0)
		*need = own;
	return true;
}

/** The position that is sent along; none to a primary. @return false as job_need() */
static bool needed(const struct owner_job *job, struct pos *need)
{
	*need = (struct pos){0};
	if (job->on_primary || is_write(job) || job->tx != NULL)
		return true;
	return job_need(job, need);
}

static void send_commands(struct owner_job *job, const struct member_command *commands, unsigned n)
{
	struct owner_conn *c = job->conn;
	int64_t now = now_us();

	job->sent_us = now;
	c->since_us = now;
	c->sent_us = now;
	watch_sent(c->m, now);
	if (!job->slotted) {
		job->slotted = true;
		c->m->out++;
	}
	/* Statements of open transactions can't wait: those after them do. */
	if (c->m->conf.cold)
		bucket_credit(&c->m->cold, -1, now);
	c->mc->ops->run(c->mc, commands, n, job_answered);
}

static void send_statement(struct owner_job *job, struct pos need)
{
	struct member_command commands[OWNER_COMMANDS_MAX];
	const ml_run_args *a = job->args;
	char name[OWNER_NAME_MAX];
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
 * Begin the transaction, and only then send its first statement: sent together, a begin that was
 * refused would leave the statement to run outside of any transaction.
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

static bool believable(const struct owner_job *job);

/**
 * The connection is open: send. While it opened this VM may have claimed the group, or lost it, and
 * with that what it knew: a read without the position that it needs would see data that is too old,
 * and a primary may have been replaced.
 */
static void job_send(struct owner_job *job)
{
	struct pos need;
	bool known = needed(job, &need);

	job->need = need;

	if (!known || !believable(job)) {
		log_info("not-sent", LOG_STR("request", job->args->request),
			 LOG_STR("pool", job->g->pool), LOG_NUM("position_known", known));
		job_detach(job, false, TX_NONE);
		job_again(job, known ? OUTCOME_NOT_PRIMARY : OUTCOME_BEHIND, BUSY_PAUSE_US);
		return;
	}
	if (job->args->begin != 0)
		send_begin(job, need);
	else
		send_statement(job, need);
}

bool job_start(struct owner_job *job, struct owner_member *m)
{
	struct owner_conn *c = conn_get(m, job->args->team);

	if (c == NULL)
		return false;
	job->conn = c;
	job->term = m->g->term;
	job->on_primary = og_mine(m->g) && m == og_primary(m->g);
	c->job = job;
	TAILQ_INSERT_TAIL(&job->g->running, job, link);
	m->out++;
	job->slotted = true;
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
	send_statement(job, (struct pos){0});
}

void job_conn_opened(struct owner_conn *c, enum member_result result)
{
	struct owner_job *job = c->job;
	struct owner_group *g = c->m->g;

	if (result == MEMBER_DONE) {
		if (job != NULL)
			job_send(job);
		return;
	}
	if (job == NULL) {
		conn_close(c);
		return;
	}
	job->tried |= (uint8_t)(1U << c->m->index);
	job_detach(job, true, TX_NONE);
	job_again(job, OUTCOME_NO_CONNECTION, BUSY_PAUSE_US);
	queue_dispatch(g);
}

/* Answers */

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

/** A statement that ran in no transaction was refused, or failed. */
static void after_error(struct owner_job *job, const struct member_answer *a)
{
	struct owner_conn *c = job->conn;
	struct owner_member *m = c->m;
	unsigned index = m->index;

	switch (a->result) {
	case MEMBER_NO_NAME:
		g_hash_table_remove_all(c->prepared);
		job_detach(job, a->prelude_failed, a->state);
		job_again(job, OUTCOME_NO_NAME, 0);
		return;
	case MEMBER_BEHIND:
		log_info("behind", LOG_STR("request", job->args->request),
			 LOG_STR("pool", job->g->pool), LOG_STR("member", m->conf.name),
			 LOG_NUM("need_term", job->need.term), LOG_NUM("need_lsn", job->need.lsn),
			 LOG_NUM("has_lsn", a->pos.lsn),
			 LOG_NUM("max_age_ms", job->args->max_age_us / USEC_PER_MSEC),
			 LOG_NUM("mark_age_us", now_us() - job->g->marks.newest.asked_us));
		job->tried |= (uint8_t)(1U << index);
		job_detach(job, false, a->state);
		job_again(job, OUTCOME_BEHIND, 0);
		return;
	case MEMBER_READ_ONLY:
		watch_look(m);
		job_detach(job, false, a->state);
		job_again(job, OUTCOME_NOT_PRIMARY, BUSY_PAUSE_US);
		return;
	case MEMBER_BUSY:
		job_detach(job, false, a->state);
		job_again(job, OUTCOME_QUEUE_FULL, BUSY_PAUSE_US);
		return;
	case MEMBER_FAILED:
	case MEMBER_TIMEOUT:
		if (!is_write(job) && job->tries < 2) {
			job->tried |= (uint8_t)(1U << index);
			job_detach(job, false, a->state);
			job_again(job, OUTCOME_SQL_ERROR, 0);
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
	if (a->result != MEMBER_DONE || a->prelude_failed || a->state != TX_OPEN) {
		struct member_answer refused = *a;

		if (refused.result == MEMBER_DONE)
			refused.result = MEMBER_BUSY;
		after_error(job, &refused);
		return;
	}
	job->tx = tx_create(job);
	send_statement(job, (struct pos){0});
}

/** A statement inside a transaction was answered; a failed one leaves the transaction failed. */
static void after_tx_statement(struct owner_job *job, const struct member_answer *a)
{
	bool commit = job->args->op == STATEMENT_COMMIT;
	bool ends = commit || job->args->op == STATEMENT_ROLLBACK;
	enum outcome o = outcome_of(a->result);
	struct owner_tx *tx = job->tx;
	struct owner_conn *c = job->conn;

	tx->failed = a->state == TX_FAILED;
	if (!ends && a->state != TX_NONE) {
		/* The transaction is still there, failed or not, and waits for its end. */
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
		c->values_unsure = c->values_unsure || g_hash_table_size(c->values) > 0;
	else
		c->values_unsure = false;
	job->tx = NULL;
	tx_free(tx);
	job_finish(job, o, a);
}

/**
 * Whether the answer may be told. An answer that a replaced primary gave would acknowledge a write
 * that is discarded, or show a read what is no longer true: this VM must still hold its lease, and
 * the member must still be the primary it was when the statement was sent.
 */
static bool believable(const struct owner_job *job)
{
	const struct owner_group *g = job->g;
	const struct owner_member *m = job->conn->m;

	if (!job->on_primary)
		return true;
	return og_may_send(g) && g->primary == (int)m->index && g->term == job->term;
}

static void job_answered(struct member_conn *mc, const struct member_answer *a, void *arg)
{
	struct owner_conn *c = arg;
	struct owner_job *job = c->job;
	struct owner_member *m = c->m;
	struct owner_group *g = m->g;
	int64_t now = now_us();

	if (a->result == MEMBER_LOST) {
		stat_add(STAT_CONNECTIONS_LOST, 1);
		if (job != NULL)
			job_lost(job, "connection");
		else
			conn_close(c);
		watch_look(m);
		return;
	}
	watch_heard(m, a->result == MEMBER_DONE ? a->pos : (struct pos){0}, c->sent_us);
	if (job == NULL) {
		/* Nobody waits for this answer any more; the connection is whole again. */
		c->abandoned = false;
		conn_release(c, a->state);
		queue_dispatch(g);
		return;
	}
	stat_time(STAT_TIME_MEMBER, now - job->sent_us);
	if (job->step == OWNER_STATEMENT && job->tx == NULL)
		stat_time(STAT_TIME_QUEUE, job->sent_us - job->received_us);
	m->service_us += SERVICE_ALPHA * ((double)(now - job->sent_us) - m->service_us);
	fairq_served(queue_of(job), now - job->sent_us);
	if (!believable(job)) {
		job_lost(job, "not-believable");
		return;
	}
	leave_slot(job);
	if (job->step == OWNER_BEGIN)
		after_begin(job, a);
	else if (job->tx != NULL)
		after_tx_statement(job, a);
	else if (a->result != MEMBER_DONE)
		after_error(job, a);
	else {
		stat_add(m == og_primary(g) ? STAT_READS_BY_PRIMARY : STAT_READS_BY_REPLICA,
			 is_write(job) ? 0 : 1);
		stat_add(STAT_WRITES, is_write(job) ? 1 : 0);
		job_finish(job, OUTCOME_DONE, a);
	}
	queue_dispatch(g);
}
