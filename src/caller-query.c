/** @file caller-query.c Running one statement of a session, and telling its outcome. */
#include "caller.h"

#include "log.h"

#include <stdio.h>
#include <string.h>

/** Room for "come back in N ms" and the like. */
#define TEXT_SIZE 160

static const struct token_set no_tokens;

/**
 * Errors told by the proxy leave a simple query ready for the next, and an extended one waiting
 * for Sync.
 */
static void told_error(struct caller *c)
{
	GByteArray *out;

	if (!c->simple) {
		c->skip_to_sync = true;
		return;
	}
	out = g_byte_array_new();
	pg_put_ready(out, caller_tx_status(c));
	caller_send(c, out);
}

void caller_not_run(struct caller *c, const char *sqlstate, const char *message,
		    int64_t retry_after_us)
{
	char hint[TEXT_SIZE] = "";

	if (retry_after_us > 0)
		snprintf(hint, sizeof(hint), "Come back in %ld ms.",
			 (long)((retry_after_us + 999) / USEC_PER_MSEC));
	caller_error(c, false, sqlstate, message, "not run", hint[0] != '\0' ? hint : NULL);
	told_error(c);
}

/** A portal whose shape was asked for, and that has no rows, says so first. */
static void put_no_data(const struct caller *c, GByteArray *out)
{
	if (c->running_portal != NULL && c->running_portal->describe)
		pg_put_empty(out, 'n');
}

/** Session tokens: what was written is remembered and told. */
static void note_write(struct caller *c, const struct entry_answer *a, GByteArray *out)
{
	char text[CALLER_VALUE_SIZE];

	if (!a->write || a->pos.term == 0)
		return;
	if (c->tokens == NULL)
		c->tokens = g_new0(struct token_set, 1);
	token_set_advance(c->tokens, a->pool, a->pos);
	token_set_format(c->tokens, text);
	pg_put_parameter(out, "mangoloom.session", text);
}

static void tell_refusal(struct caller *c, const struct entry_answer *a)
{
	const struct outcome_text *t = outcome_text(a->outcome);
	char hint[TEXT_SIZE];
	const char *detail = t->not_run ? "not run" : "the outcome is not known, or it has run";

	snprintf(hint, sizeof(hint), "Come back in %ld ms.",
		 (long)(a->retry_after_us / USEC_PER_MSEC + 1));
	if (a->outcome == OUTCOME_TOKEN_LOST && c->tokens != NULL)
		token_set_remove(c->tokens, a->pool);
	if (a->outcome == OUTCOME_ALREADY_RUN)
		detail = "already run";
	caller_error(c, false, t->sqlstate, t->message, detail, t->not_run ? hint : NULL);
}

/** Keep the transaction's place, or note that it is over. */
static void note_transaction(struct caller *c, const struct entry_answer *a)
{
	bool was_open = c->tx.id != 0;

	c->tx = a->tx;
	c->tx_failed = a->tx.id != 0 && a->tx_failed;
	/*
	 * After a lost transaction the caller still believes to be in one; all but its end is
	 * refused until then.
	 */
	if (was_open && a->tx.id == 0 && c->control == ML_CONTROL_NONE)
		c->tx_failed = true;
}

static void run_done(const struct entry_answer *a, void *arg)
{
	struct caller *c = arg;
	bool answered = a->outcome == OUTCOME_DONE || a->outcome == OUTCOME_SQL_ERROR;
	GByteArray *out = g_byte_array_new();

	c->request = NULL;
	c->state = CALLER_READY;
	note_transaction(c, a);
	/*
	 * A once-id belongs to one statement; it stays for a repetition as long as its outcome is
	 * not known.
	 */
	if (a->outcome == OUTCOME_DONE || a->outcome == OUTCOME_ALREADY_RUN)
		c->once[0] = '\0';
	if (answered) {
		if (a->outcome == OUTCOME_DONE)
			note_write(c, a, out);
		if (a->outcome == OUTCOME_DONE && c->control != ML_CONTROL_NONE)
			put_no_data(c, out);
		pg_put_bytes(out, a->frames, a->frames_len);
		caller_send(c, out);
	} else {
		g_byte_array_unref(out);
		tell_refusal(c, a);
	}
	if (a->outcome != OUTCOME_DONE || c->simple)
		told_error(c);
	caller_extended_done(c);
	g_free(c->sql);
	c->sql = NULL;
	if (c->callers->draining && c->tx.id == 0)
		caller_error(c, true, "57P01", "this VM is being stopped", "not run",
			     "Connect again; another VM serves you.");
	else if (!caller_key_holds(c))
		caller_error(c, true, "28P01", "the key has been withdrawn", "not run", NULL);
	caller_process(c);
}

/** The answer to a statement that the proxy carries out itself. */
static void answer_here(struct caller *c, GByteArray *out)
{
	if (c->simple)
		pg_put_ready(out, caller_tx_status(c));
	caller_send(c, out);
}

static bool run_set(struct caller *c, const char *sql)
{
	char name[NAME_SIZE], value[CALLER_VALUE_SIZE];
	const char *why = "write it as SET name = value";
	GByteArray *out;

	if (!sqlscan_set(sql, name, sizeof(name), value, sizeof(value)) ||
	    !caller_set(c, name, value, &why)) {
		caller_error(c, false, "22023", "this setting or value is not served", why, NULL);
		told_error(c);
		return false;
	}
	out = g_byte_array_new();
	put_no_data(c, out);
	if (strcmp(name, "mangoloom.session") == 0) {
		caller_show(c, name, value);
		pg_put_parameter(out, name, value);
	}
	pg_put_complete(out, "SET");
	answer_here(c, out);
	return false;
}

static bool run_show(struct caller *c, const char *sql)
{
	char name[NAME_SIZE], value[CALLER_VALUE_SIZE];
	GByteArray *out;

	if (!sqlscan_name(sql, name, sizeof(name)) || !caller_show(c, name, value)) {
		caller_not_run(c, "42704", "this setting is not known here", 0);
		return false;
	}
	out = g_byte_array_new();
	pg_put_one_value(out, name, value, "SHOW");
	answer_here(c, out);
	return false;
}

static bool run_reset(struct caller *c, const char *sql)
{
	char name[NAME_SIZE];
	const char *why = "";
	GByteArray *out;

	if (sqlscan_name(sql, name, sizeof(name)) && strcmp(name, "mangoloom.session") != 0)
		caller_set(c, name, "", &why);
	out = g_byte_array_new();
	put_no_data(c, out);
	pg_put_complete(out, "RESET");
	answer_here(c, out);
	return false;
}

/**
 * A transaction that is gone ends with the caller's COMMIT or ROLLBACK; COMMIT is answered as
 * PostgreSQL does.
 */
static bool run_end_of_nothing(struct caller *c)
{
	GByteArray *out = g_byte_array_new();

	c->tx_failed = false;
	put_no_data(c, out);
	pg_put_complete(out, "ROLLBACK");
	answer_here(c, out);
	return false;
}

static void run_start(struct caller *c, const char *sql, const struct portal *p, ml_op op)
{
	struct entry_ask ask = {
		.team = c->team,
		.kind = c->kind[0] != '\0' ? c->kind : "default",
		.once = c->tx.id == 0 ? c->once : "",
		.max_age_us = c->max_age_us,
		.deadline_us = c->deadline_us,
		.tokens = c->tokens != NULL ? c->tokens : &no_tokens,
		.tx = &c->tx,
		.control = c->control,
		.op = op,
		.sql = sql,
	};

	if (p != NULL) {
		ask.params = p->params;
		ask.n_params = p->n_params;
		ask.describe_row = p->describe;
		ask.result_format = p->result_format;
	}
	c->state = CALLER_BUSY;
	c->request = entry_run(entry_of(c->callers->service.kernel), &ask, run_done, c);
}

bool caller_run(struct caller *c, const char *sql, const struct portal *p, ml_op op)
{
	struct stmt_scan scan = sqlscan(sql);
	bool open = c->tx.id != 0;
	GByteArray *out;

	c->control = ML_CONTROL_NONE;
	/*
	 * Transaction control inside a query of several statements would end the transaction that
	 * the proxy runs it in, and the rest would run outside, on a connection that others use
	 * next.
	 */
	if (scan.has_control || scan.class == STMT_UNSUPPORTED) {
		caller_not_run(c, "0A000",
			       "this statement is not served through shared connections", 0);
		return false;
	}
	if (!open && c->tx_failed && scan.class != STMT_COMMIT && scan.class != STMT_ROLLBACK) {
		caller_not_run(c, "25P02", "the transaction is gone; end it with ROLLBACK", 0);
		return false;
	}
	if (op == ML_DESCRIBE) {
		run_start(c, sql, p, op);
		return true;
	}
	switch (scan.class) {
	case STMT_EMPTY:
		out = g_byte_array_new();
		pg_put_empty(out, 'I');
		answer_here(c, out);
		return false;
	case STMT_SET:
		return run_set(c, sql);
	case STMT_SHOW:
		return run_show(c, sql);
	case STMT_RESET:
		return run_reset(c, sql);
	case STMT_BEGIN:
		if (!open)
			c->control = ML_CONTROL_BEGIN;
		break;
	case STMT_COMMIT:
	case STMT_ROLLBACK:
		if (!open)
			return run_end_of_nothing(c);
		c->control = scan.class == STMT_COMMIT && !c->tx_failed ? ML_CONTROL_COMMIT
									: ML_CONTROL_ROLLBACK;
		break;
	default:
		break;
	}
	run_start(c, sql, p, op);
	return true;
}

void caller_query(struct caller *c, struct pg_message *m)
{
	struct pg_reader r = pg_reader(m);
	const char *sql = pg_read_text(&r);

	c->simple = true;
	c->skip_to_sync = false;
	if (!pg_read_ended(&r)) {
		caller_error(c, true, "08P01", "malformed message", "not run", NULL);
		return;
	}
	if (!caller_key_holds(c)) {
		caller_error(c, true, "28P01", "the key has been withdrawn", "not run", NULL);
		return;
	}
	g_free(c->sql);
	c->sql = g_strdup(sql);
	caller_run(c, c->sql, NULL, ML_SIMPLE);
}
