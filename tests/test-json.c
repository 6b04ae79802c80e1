/** @file test-json.c JSON texts of other writers. */
#include "harness.h"
#include "json-text.h"
#include "platform-adapter.h"

#include <string.h>

static bool loads(const char *text)
{
	JsonParser *parser = json_parser_new();
	bool ok = json_text_load(parser, text, -1, NULL);

	g_object_unref(parser);
	return ok;
}

/** Returns @a n times @a s between @a before and @a after. */
static char *repeat(const char *before, const char *s, unsigned n, const char *after)
{
	GString *out = g_string_new(before);

	while (n-- > 0)
		g_string_append(out, s);
	g_string_append(out, after);
	return g_string_free(out, FALSE);
}

static void check_refused(char *text)
{
	struct records_server server;
	struct records_document d;

	CU_ASSERT_FALSE(loads(text));
	CU_ASSERT_FALSE(platform_records_ops.server("i-1", text, &server));
	CU_ASSERT_FALSE(platform_records_ops.document(text, &d));
	g_free(text);
}

/* Guards against a process that ends by exhausting its stack, whatever an entry nests. */
static void test_deep_nesting_is_refused(void)
{
	check_refused(repeat("", "[", 200000, ""));
	check_refused(repeat("", "{\"a\":", 200000, ""));
	check_refused(repeat("", "[{\"a\":", 100000, ""));
	/* Brackets that the parser does not take for part of a comment or string. */
	check_refused(repeat("/* \" */", "[", 200000, ""));
	check_refused(repeat("// \"\n", "[", 200000, ""));
	check_refused(repeat("# \"\n", "[", 200000, ""));
	check_refused(repeat("'\"'", "[", 200000, ""));
	check_refused(repeat("\"\\\\\"", "[", 200000, ""));
}

/* Guards against refusing an entry for brackets in its names, or for what it nests as usual. */
static void test_usual_texts_are_parsed(void)
{
	char *text = repeat("{\"a\":\"", "[{\\\"", 1000, "\"}"), *open, *nested;

	CU_ASSERT_TRUE(loads(text));
	g_free(text);
	CU_ASSERT_TRUE(loads("{\"a\":[1,-2.5e+3,true,null,\"/* # ' \\\\\"],\n\t\"b\":{}}"));
	CU_ASSERT_TRUE(loads("{\"name\":\"caf\303\251\",\"path\":\"a/b\"}"));
	CU_ASSERT_FALSE(loads("{\"a\":\"open"));
	CU_ASSERT_FALSE(loads("{\"a\""));
	open = repeat("", "[", JSON_TEXT_DEPTH_MAX, "1");
	nested = repeat(open, "]", JSON_TEXT_DEPTH_MAX, "");
	CU_ASSERT_TRUE(loads(nested));
	g_free(open);
	g_free(nested);
}

static const struct test_case cases[] = {
	{"deep_nesting_is_refused", test_deep_nesting_is_refused},
	{"usual_texts_are_parsed", test_usual_texts_are_parsed},
};
HARNESS_MAIN("json", cases)
