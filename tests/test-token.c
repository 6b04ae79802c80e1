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
 * A session that writes to more pools than its token names must be told apart: its reads elsewhere
 * go to the primary.
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

static void test_fate(void)
{
	struct term_history h = {0};

	term_history_add(&h, 1, 0);
	term_history_add(&h, 3, 10);
	CU_ASSERT_EQUAL(token_fate((struct pos){1, 10}, &h), TOKEN_KEPT);
	CU_ASSERT_EQUAL(token_fate((struct pos){1, 11}, &h), TOKEN_LOST);
	CU_ASSERT_EQUAL(token_fate((struct pos){2, 11}, &h), TOKEN_LOST);
	CU_ASSERT_EQUAL(token_fate((struct pos){3, 500}, &h), TOKEN_KEPT);
}

/*
 * A session reads a past without its acknowledged write, and is told of the loss one read later.
 * A promotion discards the write; a replica already follows the new primary and answers from the
 * new term, at a position as high as the write's, before its home has looked at it again. What the
 * home knows of the terms then ends with the old one, in which the write seems kept.
 */
static void test_fate_in_a_term_that_is_not_known(void)
{
	struct term_history h = {0};

	term_history_add(&h, 1, 0);
	CU_ASSERT_EQUAL(token_fate_in((struct pos){1, 11}, 1, &h), TOKEN_KEPT);
	CU_ASSERT_EQUAL(token_fate_in((struct pos){1, 11}, 2, &h), TOKEN_UNKNOWN);
	term_history_add(&h, 2, 10);
	CU_ASSERT_EQUAL(token_fate_in((struct pos){1, 11}, 2, &h), TOKEN_LOST);
	CU_ASSERT_EQUAL(token_fate_in((struct pos){1, 10}, 2, &h), TOKEN_KEPT);
	CU_ASSERT_EQUAL(token_fate_in((struct pos){2, 30}, 2, &h), TOKEN_KEPT);
}

static const struct test_case cases[] = {
	{"round_trip", test_round_trip},
	{"refuses_other_texts", test_refuses_other_texts},
	{"positions_only_rise", test_positions_only_rise},
	{"too_many_pools", test_too_many_pools},
	{"fate", test_fate},
	{"fate_in_a_term_that_is_not_known", test_fate_in_a_term_that_is_not_known},
};
HARNESS_MAIN("token", cases)
