/** @file test-access.c Whether a statement of a session may run, with each key, route and state. */
#include "access.h"
#include "harness.h"
#include "table.h"

#include <string.h>

#define DATABASE "orders"

enum key_state { NO_KEY, VALID, WITHDRAWN, DROPPED, MOVED };
enum route_state { GONE, KEYED, ANONYMOUS };

static const char *const key_ids[] = {
	[NO_KEY] = "", [VALID] = "k1", [WITHDRAWN] = "k2", [DROPPED] = "k3", [MOVED] = "k4"};

/**
 * Returns a configuration with a route in @a state and the keys k1, valid, k2, withdrawn, and k4,
 * which belongs to another team now.
 */
static struct conf *conf_with(enum route_state state)
{
	struct conf *c = conf_create();
	struct conf_update u = {.version = 3, .full = true};
	struct conf_key valid = {.id = "k1", .team = "t"};
	struct conf_key withdrawn = {.id = "k2", .team = "t", .withdrawn = true};
	struct conf_key moved = {.id = "k4", .team = "u"};
	struct conf_route route = {.name = "r",
				   .team = "*",
				   .kind = DATABASE,
				   .pool = "new",
				   .anonymous = state == ANONYMOUS};
	guint i;

	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_ptr_array_add(u.entries, table_key_entry(&valid));
	g_ptr_array_add(u.entries, table_key_entry(&withdrawn));
	g_ptr_array_add(u.entries, table_key_entry(&moved));
	if (state != GONE)
		g_ptr_array_add(u.entries, table_entry_make(CONF_ROUTE, &route));
	for (i = 0; i < u.entries->len; i++)
		((struct conf_entry *)g_ptr_array_index(u.entries, i))->version = u.version;
	CU_ASSERT_EQUAL(conf_apply(c, &u), CONF_APPLIED);
	conf_update_clear(&u);
	return c;
}

static const struct conf_route keyed_tx = {.pool = "old"};
static const struct conf_route anonymous_tx = {.pool = "old", .anonymous = true};

/** Cases for which a statement runs or not; the session ran for "t" before if it has a key. */
static const struct {
	enum key_state key;
	enum route_state route;
	const struct conf_route *tx;
	enum outcome outcome;
	const char *pool;
} rows[] = {
	{NO_KEY, GONE, NULL, OUTCOME_NO_ROUTE, NULL},
	{VALID, GONE, NULL, OUTCOME_NO_ROUTE, NULL},
	{WITHDRAWN, GONE, NULL, OUTCOME_NO_ROUTE, NULL},
	{DROPPED, GONE, NULL, OUTCOME_NO_ROUTE, NULL},
	{NO_KEY, KEYED, NULL, OUTCOME_NO_KEY, NULL},
	{VALID, KEYED, NULL, OUTCOME_DONE, "new"},
	{WITHDRAWN, KEYED, NULL, OUTCOME_NO_KEY, NULL},
	{DROPPED, KEYED, NULL, OUTCOME_NO_KEY, NULL},
	{NO_KEY, ANONYMOUS, NULL, OUTCOME_DONE, "new"},
	{VALID, ANONYMOUS, NULL, OUTCOME_DONE, "new"},
	/* A change of the route applies from the next transaction on, that of a key at once. */
	{NO_KEY, GONE, &keyed_tx, OUTCOME_NO_KEY, NULL},
	{VALID, GONE, &keyed_tx, OUTCOME_DONE, "old"},
	{WITHDRAWN, GONE, &keyed_tx, OUTCOME_NO_KEY, NULL},
	{DROPPED, GONE, &keyed_tx, OUTCOME_NO_KEY, NULL},
	{VALID, KEYED, &keyed_tx, OUTCOME_DONE, "old"},
	{WITHDRAWN, KEYED, &keyed_tx, OUTCOME_NO_KEY, NULL},
	{DROPPED, KEYED, &keyed_tx, OUTCOME_NO_KEY, NULL},
	{DROPPED, ANONYMOUS, &keyed_tx, OUTCOME_NO_KEY, NULL},
	{NO_KEY, GONE, &anonymous_tx, OUTCOME_DONE, "old"},
	{NO_KEY, KEYED, &anonymous_tx, OUTCOME_DONE, "old"},
	{VALID, GONE, &anonymous_tx, OUTCOME_DONE, "old"},
	/* A caller without a valid key, or whose key has moved, is not of its former team. */
	{WITHDRAWN, ANONYMOUS, NULL, OUTCOME_DONE, "new"},
	{DROPPED, ANONYMOUS, NULL, OUTCOME_DONE, "new"},
	{WITHDRAWN, GONE, &anonymous_tx, OUTCOME_TX_LOST, NULL},
	{DROPPED, ANONYMOUS, &anonymous_tx, OUTCOME_TX_LOST, NULL},
	{MOVED, KEYED, NULL, OUTCOME_DONE, "new"},
	{MOVED, KEYED, &keyed_tx, OUTCOME_TX_LOST, NULL},
	{MOVED, ANONYMOUS, &anonymous_tx, OUTCOME_TX_LOST, NULL},
};

static const char *const teams[] = {
	[NO_KEY] = "", [VALID] = "t", [WITHDRAWN] = "", [DROPPED] = "", [MOVED] = "u"};

/*
 * Guards against a withdrawn key that goes on working because something else has changed too, and
 * against a statement that runs for a team which does not hold the caller's key any more.
 */
static void test_each_statement_is_checked(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct conf *c = conf_with(rows[i].route);
		const struct access_session s = {.database = DATABASE,
						 .key_id = key_ids[rows[i].key],
						 .team = rows[i].key != NO_KEY ? "t" : "",
						 .tx_route = rows[i].tx};
		struct access a;
		enum outcome o = access_check(c, &s, &a);

		CHECK(o == rows[i].outcome, "row %zu: outcome %s", i, outcome_text(o)->name);
		if (o == OUTCOME_DONE) {
			CHECK(strcmp(a.route->pool, rows[i].pool) == 0, "row %zu: pool %s", i,
			      a.route->pool);
			CHECK(strcmp(a.team, teams[rows[i].key]) == 0, "row %zu: team %s", i,
			      a.team);
		}
		conf_free(c);
	}
}

static const struct test_case cases[] = {
	{"each_statement_is_checked", test_each_statement_is_checked},
};
HARNESS_MAIN("access", cases)
