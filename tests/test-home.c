/** @file test-home.c What a home takes from the answers of its member. */
#include "harness.h"
#include "home-watch.h"

#include <string.h>

/** Changes of primary in the life of a group; the report has the start of each term. */
#define TERMS 200

/** Returns the report of a replica whose upstream is @a upstream, after @a terms changes. */
static char *report_of(const char *upstream, unsigned terms)
{
	GString *s = g_string_new(NULL);
	unsigned i;

	g_string_append_printf(s, "replica %u %u 9000000 8999999 %s ", terms, terms, upstream);
	for (i = 1; i <= terms; i++)
		g_string_append_printf(s, "%s%u:%u", i > 1 ? "," : "", i, 1000000 + 1000 * i);
	return g_string_free(s, FALSE);
}

/* Guards against a write judged by a term whose start was cut off the report. */
static void test_report_of_many_terms_has_the_newest(void)
{
	char *text = report_of("m1", TERMS);
	struct member_report r;
	unsigned i;

	CU_ASSERT_TRUE(home_report_parse(text, &r));
	CU_ASSERT_FALSE(r.primary);
	CU_ASSERT_EQUAL(r.seen_term, TERMS);
	CU_ASSERT_EQUAL(r.applied_lsn, 8999999);
	CU_ASSERT_STRING_EQUAL(r.upstream, "m1");
	CU_ASSERT_EQUAL(r.terms.n, TERM_HISTORY_MAX);
	for (i = 0; i < r.terms.n; i++) {
		unsigned term = TERMS - TERM_HISTORY_MAX + 1 + i;

		CU_ASSERT_EQUAL(r.terms.start[i].term, term);
		CU_ASSERT_EQUAL(r.terms.start[i].lsn, 1000000 + 1000 * term);
	}
	g_free(text);
}

/* Guards against taking a member for another whose name is the beginning of its name. */
static void test_report_with_too_long_a_name_is_malformed(void)
{
	char name[NAME_SIZE + 1], *text;
	struct member_report r;

	memset(name, 'm', NAME_SIZE);
	name[NAME_SIZE] = '\0';
	text = report_of(name, 3);
	CU_ASSERT_FALSE(home_report_parse(text, &r));
	g_free(text);
	name[NAME_SIZE - 1] = '\0';
	text = report_of(name, 3);
	CU_ASSERT_TRUE(home_report_parse(text, &r));
	CU_ASSERT_STRING_EQUAL(r.upstream, name);
	CU_ASSERT_EQUAL(r.terms.n, 3);
	g_free(text);
	CU_ASSERT_TRUE(home_report_parse("primary 1 1 5 5 - 0:0", &r));
	CU_ASSERT_TRUE(r.primary);
	CU_ASSERT_STRING_EQUAL(r.upstream, "");
	CU_ASSERT_FALSE(home_report_parse("primary 1 1 5 5 -", &r));
	CU_ASSERT_FALSE(home_report_parse("primary 1 1 x 5 - 0:0", &r));
	CU_ASSERT_FALSE(home_report_parse("", &r));
}

/* Guards against a running statement taken for a lost one, since the list of backends is long. */
static void test_backend_is_found_in_a_long_list(void)
{
	GString *s = g_string_new(NULL);
	int pid;

	for (pid = 1000; pid < 3000; pid++)
		g_string_append_printf(s, "%s%d", s->len > 0 ? "," : "", pid);
	for (pid = 1000; pid < 3000; pid++)
		CHECK(watch_backend_listed(s->str, pid), "%d", pid);
	CU_ASSERT_FALSE(watch_backend_listed(s->str, 100));
	CU_ASSERT_FALSE(watch_backend_listed(s->str, 3000));
	CU_ASSERT_FALSE(watch_backend_listed(s->str, 0));
	CU_ASSERT_FALSE(watch_backend_listed("", 100));
	g_string_free(s, TRUE);
}

static const struct test_case cases[] = {
	{"report_of_many_terms_has_the_newest", test_report_of_many_terms_has_the_newest},
	{"report_with_too_long_a_name_is_malformed", test_report_with_too_long_a_name_is_malformed},
	{"backend_is_found_in_a_long_list", test_backend_is_found_in_a_long_list},
};
HARNESS_MAIN("home", cases)
