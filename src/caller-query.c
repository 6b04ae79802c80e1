/** @file caller-query.c Execution of one statement of a session, and the response to it. */
#include "caller.h"

#include "log.h"

#include <stdio.h>
#include <string.h>

/** Size of the buffer for the hint when to retry. */
#define HINT_SIZE 160

static const struct token_set no_tokens;

/**
 * Ends the handling of a failed message: sends ReadyForQuery after a simple query, and skips the
 * messages up to Sync in the extended protocol.
 */
static void finish_error(struct caller *c)
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

void caller_refuse(struct caller *c, const char *sqlstate, const char *message,
		   int64_t retry_after_us)
{
	char hint[HINT_SIZE] = "";

	if (retry_after_us > 0)
		snprintf(hint, sizeof(hint), "Come back in %ld ms.",
			 (long)((retry_after_us + 999) / USEC_PER_MSEC));
	caller_error(c, false, sqlstate, message, "not run", hint[0] != '\0' ? hint : NULL);
	finish_error(c);
}

/**
 * Adds NoData if the caller sent a Describe for the running portal that was not answered yet. To be
 * called for statements that return no rows.
 */
static void put_no_data(const struct caller *c, GByteArray *out)
{
	if (c->running_portal != NULL && c->running_portal->describe)
		pg_put_empty(out, 'n');
}

/**
 * Advances the session token to the log position of an acknowledged write, and reports the new
 * token with ParameterStatus.
 */
static void report_write(struct caller *c, const struct entry_answer *a, GByteArray *out)
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

static void send_refusal(struct caller *c, const struct entry_answer *a)
{
	const struct outcome_text *t = outcome_text(a->outcome);
	char hint[HINT_SIZE];
	const char *detail = t->not_run ? "not run" : "the outcome is not known, or it has run";

	snprintf(hint, sizeof(hint), "Come back in %ld ms.",
		 (long)(a->retry_after_us / USEC_PER_MSEC + 1));
	if (a->outcome == OUTCOME_TOKEN_LOST && c->tokens != NULL)
		token_set_remove(c->tokens, a->pool);
	if (a->outcome == OUTCOME_ALREADY_RUN)
		detail = "already run";
	caller_error(c, false, t->sqlstate, t->message, detail, t->not_run ? hint : NULL);
}

/** Stores where the transaction is open, or that it has ended. */
static void update_transaction(struct caller *c, const struct entry_answer *a)
{
	bool was_open = c->tx.id != 0;

	c->tx = a->tx;
	c->tx_failed = a->tx.id != 0 && a->tx_failed;
	/*
	 * The transaction was lost, but the caller still assumes that it is open: everything but
	 * COMMIT and ROLLBACK is refused until one of them arrives.
	 */
	if (was_open && a->tx.id == 0 && c->control == ML_CONTROL_NONE)
		c->tx_failed = true;
}

static void run_done(const struct entry_answer *a, void *arg)
{
	struct caller *c = arg;
	bool has_response = a->outcome == OUTCOME_DONE || a->outcome == OUTCOME_SQL_ERROR;
	GByteArray *out = g_byte_array_new();

	c->request = NULL;
	c->state = CALLER_READY;
	update_transaction(c, a);
	/*
	 * A once-id belongs to one statement. It is kept until the statement is known to have
	 * run, so that a retry of the statement uses the same id.
	 */
	if (a->outcome == OUTCOME_DONE || a->outcome == OUTCOME_ALREADY_RUN)
		c->once[0] = '\0';
	if (has_response) {
		if (a->outcome == OUTCOME_DONE)
			report_write(c, a, out);
		if (a->outcome == OUTCOME_DONE && c->control != ML_CONTROL_NONE)
			put_no_data(c, out);
		pg_put_bytes(out, a->frames, a->frames_len);
		caller_send(c, out);
	} else {
		g_byte_array_unref(out);
		send_refusal(c, a);
	}
	if (a->outcome != OUTCOME_DONE || c->simple)
		finish_error(c);
	caller_extended_done(c);
	g_free(c->sql);
	c->sql = NULL;
	if (c->callers->draining && c->tx.id == 0)
		caller_error(c, true, "57P01", "this VM is being stopped", "not run",
			     "Connect again; another VM serves you.");
	else if (!caller_key_valid(c))
		caller_error(c, true, "28P01", "the key has been withdrawn", "not run", NULL);
	caller_process(c);
}

/** Sends the response to a statement that the proxy executes itself. */
static void send_local_response(struct caller *c, GByteArray *out)
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
		finish_error(c);
		return false;
	}
	out = g_byte_array_new();
	put_no_data(c, out);
	if (strcmp(name, "mangoloom.session") == 0) {
		caller_show(c, name, value);
		pg_put_parameter(out, name, value);
	}
	pg_put_complete(out, "SET");
	send_local_response(c, out);
	return false;
}

static bool run_show(struct caller *c, const char *sql)
{
	char name[NAME_SIZE], value[CALLER_VALUE_SIZE];
	GByteArray *out;

	if (!sqlscan_name(sql, name, sizeof(name)) || !caller_show(c, name, value)) {
		caller_refuse(c, "42704", "this setting is not known here", 0);
		return false;
	}
	out = g_byte_array_new();
	pg_put_one_value(out, name, value, "SHOW");
	send_local_response(c, out);
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
	send_local_response(c, out);
	return false;
}

/**
 * Handles COMMIT and ROLLBACK while no transaction is open, for example after it was lost. COMMIT
 * is answered with ROLLBACK, as PostgreSQL does for a failed transaction.
 */
static bool run_end_without_transaction(struct caller *c)
{
	GByteArray *out = g_byte_array_new();

	c->tx_failed = false;
	put_no_data(c, out);
	pg_put_complete(out, "ROLLBACK");
	send_local_response(c, out);
	return false;
}

static void start_request(struct caller *c, const char *sql, const struct portal *p, ml_op op)
{
	struct entry_query query = {
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
		query.params = p->params;
		query.n_params = p->n_params;
		query.describe_row = p->describe;
		query.result_format = p->result_format;
	}
	c->state = CALLER_BUSY;
	c->request = entry_run(entry_of(c->callers->service.kernel), &query, run_done, c);
}

bool caller_run(struct caller *c, const char *sql, const struct portal *p, ml_op op)
{
	struct stmt_scan scan = sqlscan(sql);
	bool open = c->tx.id != 0;
	GByteArray *out;

	c->control = ML_CONTROL_NONE;
	/*
	 * Transaction control inside a query of several statements would end the transaction in
	 * which the proxy runs the query. The remaining statements would run outside of it, on a
	 * connection that other sessions use next.
	 */
	if (scan.has_control || scan.class == STMT_UNSUPPORTED) {
		caller_refuse(c, "0A000", "this statement is not served through shared connections",
			      0);
		return false;
	}
	if (!open && c->tx_failed && scan.class != STMT_COMMIT && scan.class != STMT_ROLLBACK) {
		caller_refuse(c, "25P02", "the transaction is gone; end it with ROLLBACK", 0);
		return false;
	}
	if (op == ML_DESCRIBE) {
		start_request(c, sql, p, op);
		return true;
	}
	switch (scan.class) {
	case STMT_EMPTY:
		out = g_byte_array_new();
		pg_put_empty(out, 'I');
		send_local_response(c, out);
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
			return run_end_without_transaction(c);
		c->control = scan.class == STMT_COMMIT && !c->tx_failed ? ML_CONTROL_COMMIT
									: ML_CONTROL_ROLLBACK;
		break;
	default:
		break;
	}
	start_request(c, sql, p, op);
	return true;
}

void caller_query(struct caller *c, struct pg_message *m)
{
	struct pg_reader r = pg_reader(m);
	const char *sql = pg_read_text(&r);

	c->simple = true;
	c->skip_to_sync = false;
	if (!pg_read_at_end(&r)) {
		caller_error(c, true, "08P01", "malformed message", "not run", NULL);
		return;
	}
	if (!caller_key_valid(c)) {
		caller_error(c, true, "28P01", "the key has been withdrawn", "not run", NULL);
		return;
	}
	g_free(c->sql);
	c->sql = g_strdup(sql);
	caller_run(c, c->sql, NULL, ML_SIMPLE);
}
