/**
 * @file owner-command.c
 * Commands sent before a statement: session values and prepared statements that the connection
 * lacks.
 */
#include "owner.h"

#include <string.h>

/** Number of commands reserved for a reset, a prepare, a begin and the statement. */
#define COMMANDS_RESERVED 4

static void save_value(struct owner_conn *c, const ml_value *v)
{
	g_hash_table_replace(c->values, g_strdup(v->name), g_strdup(v->value));
}

/** Whether the connection has a value that the session has not set. */
static bool has_other_values(const struct owner_conn *c, const ml_run_args *a)
{
	guint found = 0;
	u_int i;

	for (i = 0; i < a->values.values_len; i++)
		found += g_hash_table_contains(c->values, a->values.values_val[i].name) ? 1 : 0;
	return g_hash_table_size(c->values) > found;
}

unsigned command_values(struct owner_job *job, struct member_command *out)
{
	const ml_run_args *a = job->args;
	struct owner_conn *c = job->conn;
	unsigned n = 0;
	u_int i;

	if (job->tx == NULL && (c->values_uncertain || has_other_values(c, a))) {
		out[n++] = (struct member_command){.op = STATEMENT_RESET};
		g_hash_table_remove_all(c->values);
		g_hash_table_remove_all(c->prepared);
		c->values_uncertain = false;
	}
	for (i = 0; i < a->values.values_len && n < OWNER_COMMANDS_MAX - COMMANDS_RESERVED; i++) {
		const ml_value *v = &a->values.values_val[i];
		const char *current = g_hash_table_lookup(c->values, v->name);

		if (current != NULL && strcmp(current, v->value) == 0)
			continue;
		out[n++] = (struct member_command){
			.op = STATEMENT_SET, .name = v->name, .operand = v->value};
		save_value(c, v);
		if (job->tx != NULL)
			c->values_uncertain = true;
	}
	return n;
}

/**
 * Names a prepared statement after its shape, so that all callers of a connection share it and it
 * is prepared only once.
 */
static void statement_name(const ml_run_args *a, char name[OWNER_NAME_MAX])
{
	char *at;

	g_snprintf(name, OWNER_NAME_MAX, "%c_%s", a->write ? 'w' : 'r', a->shape);
	for (at = name; *at != '\0'; at++) {
		if (*at == ' ')
			*at = '_';
	}
}

unsigned command_prepare(struct owner_job *job, char name[OWNER_NAME_MAX],
			 struct member_command *out)
{
	const ml_run_args *a = job->args;
	struct owner_conn *c = job->conn;

	if (a->op != STATEMENT_EXECUTE)
		return 0;
	statement_name(a, name);
	if (g_hash_table_contains(c->prepared, name))
		return 0;
	g_hash_table_add(c->prepared, g_strdup(name));
	*out = (struct member_command){
		.op = STATEMENT_PREPARE, .name = name, .operand = a->shape, .write = a->write};
	return 1;
}
