/**
 * @file owner-command.c
 * Commands sent before a statement: session values and prepared statements that the connection
 * lacks.
 */
#include "owner.h"

#include <sodium.h>
#include <string.h>

/** Number of commands reserved for a reset, a prepare, a begin and the statement. */
#define COMMANDS_RESERVED 4
/** Size of the collision-resistant digest that identifies a prepared statement. */
#define DIGEST_SIZE crypto_generichash_BYTES

/* Session values */

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

/* Prepared statements */

static guint digest_hash(gconstpointer digest)
{
	guint h;

	memcpy(&h, digest, sizeof(h));
	return h;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, DIGEST_SIZE) == 0;
}

GHashTable *command_prepared_create(void)
{
	return g_hash_table_new_full(digest_hash, digest_equal, g_free, NULL);
}

/**
 * Identifies a prepared statement by its kind and whole shape, so that all callers of a connection
 * share it and it is prepared only once. The shape itself, of up to ML_TEXT_MAX, is not kept.
 */
static void digest_statement(const ml_run_args *a, unsigned char digest[DIGEST_SIZE])
{
	const unsigned char kind = a->write ? 'w' : 'r';
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, DIGEST_SIZE);
	crypto_generichash_update(&state, &kind, sizeof(kind));
	crypto_generichash_update(&state, (const unsigned char *)a->shape, strlen(a->shape));
	crypto_generichash_final(&state, digest, DIGEST_SIZE);
}

unsigned command_prepare(struct owner_job *job, char name[OWNER_STATEMENT_NAME_SIZE],
			 struct member_command *out)
{
	const ml_run_args *a = job->args;
	struct owner_conn *c = job->conn;
	unsigned char digest[DIGEST_SIZE];
	uint64_t number;

	if (a->op != STATEMENT_EXECUTE)
		return 0;
	digest_statement(a, digest);
	number = (uint64_t)g_hash_table_lookup(c->prepared, digest);
	if (number != 0) {
		g_snprintf(name, OWNER_STATEMENT_NAME_SIZE, "s%lu", number);
		return 0;
	}
	number = ++c->last_prepared;
	g_snprintf(name, OWNER_STATEMENT_NAME_SIZE, "s%lu", number);
	g_hash_table_insert(c->prepared, g_memdup2(digest, DIGEST_SIZE), (gpointer)number);
	*out = (struct member_command){
		.op = STATEMENT_PREPARE, .name = name, .operand = a->shape, .write = a->write};
	return 1;
}
