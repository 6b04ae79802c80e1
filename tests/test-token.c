/** @file test-token.c Session tokens. */
#include "harness.h"
#include "token.h"

#include <string.h>

static void test_round_trip(void)
{
	struct token_set s = {0};
	struct token_set back;
	char text[TOKEN_SET_SIZE];

	token_set_advance(&s, "orders", (struct pos){3, 17});
	token_set_advance(&s, "stock", (struct pos){1, 2});
	token_set_format(&s, text);
	CU_ASSERT_STRING_EQUAL(text, "v1:orders:3:17,v1:stock:1:2");
	CU_ASSERT_TRUE(token_set_parse(text, &back));
	CU_ASSERT_EQUAL(token_set_find(&back, "orders").lsn, 17);
	CU_ASSERT_EQUAL(token_set_find(&back, "stock").term, 1);
	CU_ASSERT_EQUAL(token_set_find(&back, "other").term, 0);
}

static void test_refuses_other_texts(void)
{
	static const char *const bad[] = {
		"x",	     "v1:",	"v1:a",	     "v1:a:1",	 "v1:a:1:",
		"v1:a:-1:2", "v1::1:2", "v1:a:1:2x", "v2:a:1:2", "v1:a:1:2;v1:b:1:2"};
	struct token_set s = {.n = 7};
	unsigned i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CHECK(!token_set_parse(bad[i], &s), "%s", bad[i]);
	CU_ASSERT_EQUAL(s.n, 7);
	CU_ASSERT_TRUE(token_set_parse("", &s));
	CU_ASSERT_EQUAL(s.n, 0);
}

static void test_positions_only_rise(void)
{
	struct token_set s = {0};

	token_set_advance(&s, "a", (struct pos){2, 5});
	token_set_advance(&s, "a", (struct pos){1, 99});
	CU_ASSERT_EQUAL(token_set_find(&s, "a").lsn, 5);
	token_set_advance(&s, "a", (struct pos){3, 1});
	CU_ASSERT_EQUAL(token_set_find(&s, "a").term, 3);
}

/*
 * A session that writes to more pools than its token can name must set the overflow flag, so that
 * its reads in the other pools go to the primary.
 */
static void test_too_many_pools(void)
{
	struct token_set s = {0};
	struct token_set back;
	char text[TOKEN_SET_SIZE];
	char name[16];
	int i;

	for (i = 0; i <= TOKEN_SET_MAX; i++) {
		snprintf(name, sizeof(name), "pool%d", i);
		token_set_advance(&s, name, (struct pos){1, (uint64_t)i + 1});
	}
	CU_ASSERT_TRUE(s.overflow);
	token_set_format(&s, text);
	CU_ASSERT_TRUE(token_set_parse(text, &back));
	CU_ASSERT_TRUE(back.overflow);
	CU_ASSERT_EQUAL(back.n, TOKEN_SET_MAX);
}

static void test_token_status_by_term_history(void)
{
	struct term_history h = {0};

	term_history_add(&h, 1, 0);
	term_history_add(&h, 3, 10);
	CU_ASSERT_EQUAL(token_status((struct pos){1, 10}, &h), TOKEN_KEPT);
	CU_ASSERT_EQUAL(token_status((struct pos){1, 11}, &h), TOKEN_LOST);
	CU_ASSERT_EQUAL(token_status((struct pos){2, 11}, &h), TOKEN_LOST);
	CU_ASSERT_EQUAL(token_status((struct pos){3, 500}, &h), TOKEN_KEPT);
}

/*
 * Guards against a session that reads data without its acknowledged write and gets the error only
 * at the next read. A promotion discards the write; a replica already follows the new primary and
 * answers from the new term, at a position at least as high as the write's, before its home has
 * requested a new report. The home's term history then ends with the old term, in which the write
 * seems kept.
 */
static void test_token_status_in_an_unknown_term(void)
{
	struct term_history h = {0};

	term_history_add(&h, 1, 0);
	CU_ASSERT_EQUAL(token_status_in_term((struct pos){1, 11}, 1, &h), TOKEN_KEPT);
	CU_ASSERT_EQUAL(token_status_in_term((struct pos){1, 11}, 2, &h), TOKEN_UNKNOWN);
	term_history_add(&h, 2, 10);
	CU_ASSERT_EQUAL(token_status_in_term((struct pos){1, 11}, 2, &h), TOKEN_LOST);
	CU_ASSERT_EQUAL(token_status_in_term((struct pos){1, 10}, 2, &h), TOKEN_KEPT);
	CU_ASSERT_EQUAL(token_status_in_term((struct pos){2, 30}, 2, &h), TOKEN_KEPT);
}

static const struct test_case cases[] = {
	{"round_trip", test_round_trip},
	{"refuses_other_texts", test_refuses_other_texts},
	{"positions_only_rise", test_positions_only_rise},
	{"too_many_pools", test_too_many_pools},
	{"token_status_by_term_history", test_token_status_by_term_history},
	{"token_status_in_an_unknown_term", test_token_status_in_an_unknown_term},
};
HARNESS_MAIN("token", cases)
