/** @file test-command.c Prepared statements and session values on shared connections. */
#include "harness-owner.h"

#include <stdlib.h>
#include <string.h>

/** Longest shape: with the rest of its message it fits a message of ML_TEXT_MAX. */
#define SHAPE_MAX (ML_TEXT_MAX - 64)
/** Longest name that keeps a PREPARE of the longest shape within a message. */
#define NAME_BYTES_MAX 20

/** What the connections' far ends know: a table of names by connection. */
static GHashTable *backends;
/** The statement that runs: 'r' or 'w', and its shape. */
static const char *expected;
static unsigned n_prepared, n_executed, n_wrong;

static GHashTable *names_of(struct fake_conn *f)
{
	GHashTable *names = g_hash_table_lookup(backends, f);

	if (names == NULL) {
		names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(backends, f, names);
	}
	return names;
}

static void backend_run(struct fake_conn *f, const struct member_command *commands, unsigned n)
{
	GHashTable *names = names_of(f);
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct member_command *c = &commands[i];

		switch (c->op) {
		case STATEMENT_RESET:
			g_hash_table_remove_all(names);
			break;
		case STATEMENT_PREPARE:
			CU_ASSERT_TRUE(strlen(c->name) <= NAME_BYTES_MAX);
			CU_ASSERT_PTR_NULL(strchr(c->name, ' '));
			g_hash_table_replace(
				names, g_strdup(c->name),
				g_strdup_printf("%c%s", c->write ? 'w' : 'r', c->operand));
			n_prepared++;
			break;
		case STATEMENT_EXECUTE:
			n_wrong += g_strcmp0(g_hash_table_lookup(names, c->name), expected) != 0;
			n_executed++;
			break;
		default:
			break;
		}
	}
}

static void on_ran(enum rpc_status status, const void *arg_res, void *arg)
{
	((struct world *)arg)->outcome = (enum outcome)((const ml_run_res *)arg_res)->outcome;
}

/** Executes a prepared statement whose session has set @a value, unless it is "". */
static void execute(struct world *w, const char *statement, char *value)
{
	ml_value v = {.name = "v", .value = value};
	ml_run_args a = {.request = "r1",
			 .team = "t",
			 .pool = POOL,
			 .text = "",
			 .operand = "1a4",
			 .shape = (char *)statement + 1,
			 .write = statement[0] == 'w',
			 .op = STATEMENT_EXECUTE,
			 .mode = READ_PRIMARY};
	struct member_answer done = {.message = "", .signature = "", .rows = "", .pos = {1, 10}};
	unsigned i;

	a.deadline_us = 800 * USEC_PER_MSEC;
	a.values.values_val = &v;
	a.values.values_len = value[0] != '\0' ? 1 : 0;
	expected = statement;
	fake.n_sent = 0;
	w->outcome = OUTCOMES;
	rpc_start(rpc_of(w->k), SELF, ML_RUN, &a, USEC_PER_SEC, on_ran, w);
	world_run_once(w);
	answer_probes(10);
	for (i = 0; i < fake.n_conns; i++) {
		struct fake_conn *f = fake.conns[i];
		member_answered answered = f->answered;

		f->answered = NULL;
		if (answered != NULL && !f->closed)
			answered(&f->conn, &done, f->arg);
	}
	world_run_once(w);
	CU_ASSERT_EQUAL(w->outcome, OUTCOME_DONE);
}

static void open_world(struct world *w)
{
	world_serve(w);
	fake.run = backend_run;
	backends = g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_hash_table_destroy);
	n_prepared = n_executed = n_wrong = 0;
}

static void close_world(struct world *w)
{
	world_close(w);
	g_hash_table_destroy(backends);
}

/** Returns a statement whose shape has @a len characters and ends with @a end. */
static char *statement_of(char kind, size_t len, const char *end)
{
	char *s = g_malloc(len + 2);

	memset(s, 'x', len + 1);
	s[0] = kind;
	strcpy(s + 1 + len - strlen(end), end);
	return s;
}

/* Guards against rows of another statement: shapes that are alike share one prepared name. */
static void test_each_shape_has_a_name_of_its_own(void)
{
	static const size_t lengths[] = {1, 2, 60, 252, 253, 254, 255, 256, 300, 4096, SHAPE_MAX};
	char *a, *b, *c;
	struct world w;
	unsigned i;

	open_world(&w);
	for (i = 0; i < G_N_ELEMENTS(lengths); i++) {
		a = statement_of('r', lengths[i], "a");
		b = statement_of('r', lengths[i], "b");
		c = statement_of('w', lengths[i], "a");
		execute(&w, a, "");
		execute(&w, b, "");
		execute(&w, c, "");
		execute(&w, a, "");
		g_free(a);
		g_free(b);
		g_free(c);
	}
	execute(&w, "ra b", "");
	execute(&w, "ra_b", "");
	execute(&w, "ra  b", "");
	CU_ASSERT_EQUAL(n_executed, 4 * G_N_ELEMENTS(lengths) + 3);
	CU_ASSERT_EQUAL(n_wrong, 0);
	close_world(&w);
}

/* Guards against preparing a statement again at each execution. */
static void test_a_shape_is_prepared_once_a_connection(void)
{
	struct world w;
	unsigned i;

	open_world(&w);
	for (i = 0; i < 10; i++)
		execute(&w, "rselect 1", "");
	CU_ASSERT_EQUAL(n_executed, 10);
	CU_ASSERT_EQUAL(n_prepared, 1);
	CU_ASSERT_EQUAL(n_wrong, 0);
	close_world(&w);
}

/*
 * Guards against executing another session's statement, or an unknown one, when sessions with
 * different values share connections, which are reset between them.
 */
static void test_sessions_that_share_connections_execute_their_own_statements(void)
{
	static const size_t lengths[] = {1, 10, 253, 254, 300, 5000};
	static char *const values[] = {"", "a", "b"};
	struct world w;
	char *s;
	int i;

	open_world(&w);
	srand(1);
	for (i = 0; i < 3000; i++) {
		char end[2] = {"ab_ "[rand() % 4], '\0'};

		s = statement_of("rw"[rand() % 2], lengths[rand() % 6], end);
		execute(&w, s, values[rand() % 10 < 8 ? 0 : rand() % 3]);
		g_free(s);
	}
	CU_ASSERT_EQUAL(n_executed, 3000);
	CU_ASSERT_EQUAL(n_wrong, 0);
	CU_ASSERT_TRUE(n_prepared < n_executed);
	close_world(&w);
}

static const struct test_case cases[] = {
	{"each_shape_has_a_name_of_its_own", test_each_shape_has_a_name_of_its_own},
	{"a_shape_is_prepared_once_a_connection", test_a_shape_is_prepared_once_a_connection},
	{"sessions_that_share_connections_execute_their_own_statements",
	 test_sessions_that_share_connections_execute_their_own_statements},
};
HARNESS_MAIN("command", cases)
