/** @file test-sqlscan.c Classification of statements. */
#include "harness.h"
#include "sqlscan.h"

#include <string.h>

static void test_classes(void)
{
	static const struct {
		const char *text;
		enum stmt_class class;
		unsigned statements;
		bool control;
	} cases_in[] = {
		{"", STMT_EMPTY, 0, false},
		{" ; ; -- nothing\n", STMT_EMPTY, 0, false},
		{"SELECT 1", STMT_OTHER, 1, false},
		{"select 1; select 2;", STMT_OTHER, 2, false},
		{"BEGIN", STMT_BEGIN, 1, false},
		{"/* a /* b */ */ start transaction", STMT_BEGIN, 1, false},
		{"end", STMT_COMMIT, 1, false},
		{"ABORT;", STMT_ROLLBACK, 1, false},
		{"INSERT INTO t VALUES ('; COMMIT;')", STMT_OTHER, 1, false},
		{"INSERT INTO t VALUES ('it''s; COMMIT')", STMT_OTHER, 1, false},
		{"INSERT INTO t VALUES (E'\\'; COMMIT;')", STMT_OTHER, 1, false},
		{"SELECT $x$; COMMIT; $x$", STMT_OTHER, 1, false},
		{"SELECT \"a;commit\"", STMT_OTHER, 1, false},
		{"INSERT INTO t VALUES (1); COMMIT; DELETE FROM t", STMT_OTHER, 3, true},
		{"SELECT 1; SET x = 1", STMT_OTHER, 2, true},
		{"COPY t FROM stdin", STMT_UNSUPPORTED, 1, false},
		{"SELECT 1; LISTEN x", STMT_UNSUPPORTED, 2, true},
		{"beginning", STMT_OTHER, 1, false},
		{"SELECT $1; COMMIT", STMT_OTHER, 2, true},
		{"SELECT 'unclosed ; COMMIT", STMT_OTHER, 1, false},
	};
	unsigned i;

	for (i = 0; i < sizeof(cases_in) / sizeof(cases_in[0]); i++) {
		struct stmt_scan s = sqlscan(cases_in[i].text);

		CHECK(s.class == cases_in[i].class && s.statements == cases_in[i].statements &&
			      s.has_control == cases_in[i].control,
		      "%s: class %d statements %u control %d", cases_in[i].text, (int)s.class,
		      s.statements, s.has_control);
	}
}

static void test_set(void)
{
	char name[NAME_SIZE], value[32];

	CU_ASSERT_TRUE(sqlscan_set("SET mangoloom.kind = 'order'", name, sizeof(name), value,
				   sizeof(value)));
	CU_ASSERT_STRING_EQUAL(name, "mangoloom.kind");
	CU_ASSERT_STRING_EQUAL(value, "order");
	CU_ASSERT_TRUE(sqlscan_set("set SESSION Mangoloom.Max_Age_Ms TO 50 ;", name, sizeof(name),
				   value, sizeof(value)));
	CU_ASSERT_STRING_EQUAL(name, "mangoloom.max_age_ms");
	CU_ASSERT_STRING_EQUAL(value, "50");
	CU_ASSERT_FALSE(sqlscan_set("SET x", name, sizeof(name), value, sizeof(value)));
	CU_ASSERT_FALSE(sqlscan_set("SET x = 'a text that is longer than its place'", name,
				    sizeof(name), value, sizeof(value)));
	CU_ASSERT_TRUE(sqlscan_name("SHOW mangoloom.session", name, sizeof(name)));
	CU_ASSERT_STRING_EQUAL(name, "mangoloom.session");
}

static const struct test_case cases[] = {{"classes", test_classes}, {"set", test_set}};
HARNESS_MAIN("sqlscan", cases)
