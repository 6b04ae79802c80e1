/** @file standin-db-sql.c The subset of SQL that standin-db supports. */
#include "standin-db.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define IDENTIFIER_CHARS "abcdefghijklmnopqrstuvwxyz_0123456789"

GQueue sql_split(const char *text)
{
	GQueue q = G_QUEUE_INIT;
	const char *start = text;
	bool quoted = false;

	for (;; text++) {
		if (*text == '\'')
			quoted = !quoted;
		if (*text != '\0' && (*text != ';' || quoted))
			continue;
		while (isspace((unsigned char)*start))
			start++;
		if (text > start)
			g_queue_push_tail(&q, g_strndup(start, (gsize)(text - start)));
		if (*text == '\0')
			return q;
		start = text + 1;
	}
}

char *sql_substitute(const char *sql, char **values, unsigned n)
{
	GString *out = g_string_new(NULL);

	for (; *sql != '\0'; sql++) {
		char *end;
		unsigned long i;

		if (*sql != '$' || !isdigit((unsigned char)sql[1])) {
			g_string_append_c(out, *sql);
			continue;
		}
		i = strtoul(sql + 1, &end, 10);
		if (i >= 1 && i <= n)
			g_string_append_printf(out, "'%s'", values[i - 1]);
		sql = end - 1;
	}
	return g_string_free(out, FALSE);
}

static bool has_prefix(const char *sql, const char *prefix)
{
	return strncasecmp(sql, prefix, strlen(prefix)) == 0;
}

bool sql_returns_row(const char *sql)
{
	return has_prefix(sql, "SELECT") || has_prefix(sql, "SHOW");
}

enum work_kind sql_work_kind(struct db_client *c, const char *sql)
{
	unsigned long term, lsn;
	int ms;

	if (sscanf(sql, "SELECT mangoloom_status(%lu, %lu, %d)", &term, &lsn, &ms) == 3 && ms > 0) {
		c->wait_for = (struct pos){term, lsn};
		return WORK_WAIT;
	}
	/* A commit with writes takes a slot and time too, so that faults can hit it in progress. */
	if (has_prefix(sql, "COMMIT") && c->ops != NULL)
		return WORK_SLOT;
	if (has_prefix(sql, "INSERT") || has_prefix(sql, "SELECT value") ||
	    has_prefix(sql, "SELECT work") || has_prefix(sql, "SELECT big"))
		return WORK_SLOT;
	return WORK_NONE;
}

static bool fail(struct db_client *c, GByteArray *out, const char *sqlstate, const char *message)
{
	struct pg_error e = {.severity = "ERROR", .sqlstate = sqlstate, .message = message};

	pg_put_error(out, &e);
	if (c->in_tx)
		c->tx_failed = true;
	return false;
}

static void tx_reset(struct db_client *c)
{
	c->in_tx = false;
	c->tx_failed = false;
	c->xid[0] = '\0';
	if (c->ops != NULL)
		g_ptr_array_unref(c->ops);
	c->ops = NULL;
}

/** Sends one text value; in the extended protocol with RowDescription only after Describe. */
static void put_value(struct db_client *c, GByteArray *out, const char *value)
{
	GByteArray *messages = g_byte_array_new();
	size_t row_description_bytes = 0;

	pg_put_one_value(messages, "value", value, "SELECT 1");
	if (c->extended && !c->describe) {
		uint32_t len;

		memcpy(&len, messages->data + 1, sizeof(len));
		row_description_bytes = 1 + GUINT32_FROM_BE(len);
	}
	pg_put_bytes(out, messages->data + row_description_bytes,
		     messages->len - row_description_bytes);
	g_byte_array_unref(messages);
}

static void put_complete(struct db_client *c, GByteArray *out, const char *tag)
{
	if (c->extended && c->describe)
		pg_put_empty(out, 'n');
	pg_put_complete(out, tag);
}

static bool run_insert(struct db_client *c, const char *sql, GByteArray *out)
{
	char table[64] = "", key[256] = "", value[1024] = "";
	struct op *op;
	guint i;

	if (sscanf(sql, "INSERT INTO %63[" IDENTIFIER_CHARS "] VALUES ( '%255[^']' , '%1023[^']'",
		   table, key, value) < 2)
		return fail(c, out, "42601", "this INSERT is not understood");
	if (!server.primary)
		return fail(c, out, "25006", "cannot execute INSERT in a read-only transaction");
	if (strcmp(table, "mangoloom_once") == 0) {
		bool exists = log_count(table, key) > 0;

		for (i = 0; c->ops != NULL && i < c->ops->len; i++) {
			op = g_ptr_array_index(c->ops, i);
			exists = exists ||
				 (strcmp(op->table, table) == 0 && strcmp(op->key, key) == 0);
		}
		if (exists)
			return fail(c, out, "23505",
				    "duplicate key value violates unique constraint "
				    "\"mangoloom_once_pkey\"");
	}
	op = g_new0(struct op, 1);
	op->table = g_strdup(table);
	op->key = g_strdup(key);
	op->value = g_strdup(value);
	if (c->ops == NULL)
		c->ops = g_ptr_array_new_with_free_func(op_free);
	g_ptr_array_add(c->ops, op);
	put_complete(c, out, "INSERT 0 1");
	if (!c->in_tx) {
		log_commit(c->xid, g_ptr_array_ref(c->ops));
		tx_reset(c);
	}
	return true;
}

static bool run_commit(struct db_client *c, GByteArray *out)
{
	if (c->tx_failed) {
		tx_reset(c);
		put_complete(c, out, "ROLLBACK");
		return true;
	}
	if (c->ops != NULL && c->ops->len > 0) {
		if (!server.primary) {
			tx_reset(c);
			return fail(c, out, "25006", "the member no longer leads: rolled back");
		}
		log_commit(c->xid, g_ptr_array_ref(c->ops));
	}
	tx_reset(c);
	put_complete(c, out, "COMMIT");
	return true;
}

static bool run_select_value(struct db_client *c, const char *sql, GByteArray *out)
{
	char table[64] = "", key[256] = "";
	const char *value;
	guint i;

	if (sscanf(sql, "SELECT value FROM %63[" IDENTIFIER_CHARS "] WHERE key = '%255[^']'", table,
		   key) != 2)
		return fail(c, out, "42601", "this SELECT is not understood");
	value = log_read(table, key);
	for (i = 0; c->ops != NULL && i < c->ops->len; i++) {
		const struct op *op = g_ptr_array_index(c->ops, i);

		if (strcmp(op->table, table) == 0 && strcmp(op->key, key) == 0)
			value = op->value;
	}
	put_value(c, out, value != NULL ? value : "none");
	return true;
}

static bool run_select_count(struct db_client *c, const char *sql, GByteArray *out)
{
	char table[64] = "", key[256] = "", text[32];

	if (sscanf(sql, "SELECT count(*) FROM %63[" IDENTIFIER_CHARS "] WHERE key = '%255[^']'",
		   table, key) < 1)
		return fail(c, out, "42601", "this SELECT is not understood");
	snprintf(text, sizeof(text), "%u", log_count(table, key));
	put_value(c, out, text);
	return true;
}

static bool run_function(struct db_client *c, const char *sql, GByteArray *out)
{
	char member[64] = "", address[64] = "", xid[64] = "";
	GString *text = g_string_new(NULL);
	unsigned long term;
	unsigned size;
	int pid;

	if (has_prefix(sql, "SELECT pg_current_xact_id()")) {
		if (c->xid[0] == '\0')
			snprintf(c->xid, sizeof(c->xid), "%s.%lu.%u", server.name, server.seen_term,
				 ++server.next_xid);
		g_string_append(text, c->xid);
	} else if (has_prefix(sql, "SELECT mangoloom_status")) {
		log_status(text);
	} else if (sscanf(sql, "SELECT mangoloom_follow(%lu, '%63[^']', '%63[^']'", &term, member,
			  address) >= 1) {
		log_follow(term, member, address, text);
	} else if (sscanf(sql, "SELECT mangoloom_promote(%lu", &term) == 1) {
		log_promote(term, text);
	} else if (sscanf(sql, "SELECT pg_xact_status('%63[^']'", xid) == 1) {
		struct db_client *o;

		g_string_append(text, g_hash_table_contains(server.committed, xid) ? "committed"
										   : "aborted");
		TAILQ_FOREACH(o, &server.clients, link) {
			if (strcmp(o->xid, xid) == 0)
				g_string_assign(text, "in progress");
		}
	} else if (sscanf(sql, "SELECT pg_terminate_backend(%d", &pid) == 1) {
		struct db_client *o = client_find(pid);

		g_string_append(text, o != NULL ? "t" : "f");
		if (o != NULL)
			client_close(o);
	} else if (has_prefix(sql, "SELECT string_agg(pid")) {
		clients_list_active(text);
	} else if (has_prefix(sql, "SELECT mangoloom_peak()")) {
		g_string_append_printf(text, "%d %d", server.peak_clients, server.peak_slots);
	} else if (sscanf(sql, "SELECT mangoloom_lag(%d", &pid) == 1) {
		server.lag_us = pid * USEC_PER_MSEC;
	} else if (sscanf(sql, "SELECT big(%u", &size) == 1) {
		while (text->len < size)
			g_string_append(
				text,
				"a large answer comes in many of these texts, one after another; ");
	} else {
		g_string_append(text, "1");
	}
	put_value(c, out, text->str);
	g_string_free(text, TRUE);
	return true;
}

bool sql_run(struct db_client *c, const char *sql, GByteArray *out)
{
	if (has_prefix(sql, "COMMIT"))
		return run_commit(c, out);
	if (has_prefix(sql, "ROLLBACK")) {
		tx_reset(c);
		put_complete(c, out, "ROLLBACK");
		return true;
	}
	if (c->tx_failed)
		return fail(c, out, "25P02", "current transaction is aborted");
	if (has_prefix(sql, "BEGIN")) {
		c->in_tx = true;
		put_complete(c, out, "BEGIN");
		return true;
	}
	if (has_prefix(sql, "INSERT"))
		return run_insert(c, sql, out);
	if (has_prefix(sql, "SELECT value"))
		return run_select_value(c, sql, out);
	if (has_prefix(sql, "SELECT count"))
		return run_select_count(c, sql, out);
	if (has_prefix(sql, "SELECT"))
		return run_function(c, sql, out);
	return fail(c, out, "42601", "this statement is not understood");
}
