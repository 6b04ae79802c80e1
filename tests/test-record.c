/** @file test-record.c The record of a group, as other writers may leave it. */
#include "harness-owner.h"

#include "fleet-store.h"

#include <string.h>

#define RECORD(vm, address, target, senders)                                                       \
	"{\"vm\":\"" vm "\",\"incarnation\":\"5\",\"address\":\"" address                          \
	"\",\"target\":\"" target "\",\"senders\":[" senders "]}"
#define SENDER "{\"vm\":\"vm-9\",\"incarnation\":\"5\"}"
#define FOUR(x) x "," x "," x "," x
#define NAME_OF_63 "n23456789012345678901234567890123456789012345678901234567890123"
#define NAME_OF_64 NAME_OF_63 "4"

/** Whether the record @a text is taken over. */
static bool is_taken(const char *text)
{
	struct store_item item = {
		.key = FLEET_STORE_PREFIX "group/" POOL, .value = (char *)text, .revision = 30};
	struct owner_group *g;
	struct world w;
	bool taken;

	world_open(&w);
	g = owner_group_find(w.o, POOL);
	store_source.listeners[0].cb(&item, w.o);
	taken = g->revision == item.revision;
	CU_ASSERT_TRUE(taken || g->record.owner.name[0] == '\0');
	world_close(&w);
	return taken;
}

/* Guards against taking an owner, a sender or a target for another with the beginning of its name.
 */
static void test_record_with_too_long_a_name_is_malformed(void)
{
	CU_ASSERT_TRUE(is_taken(RECORD("vm-9", SELF, "m1", SENDER)));
	CU_ASSERT_TRUE(is_taken(RECORD(NAME_OF_63, SELF, NAME_OF_63, "")));
	CU_ASSERT_FALSE(is_taken(RECORD(NAME_OF_64, SELF, "m1", "")));
	CU_ASSERT_FALSE(is_taken(RECORD("vm-9", NAME_OF_64, "m1", "")));
	CU_ASSERT_FALSE(is_taken(RECORD("vm-9", SELF, NAME_OF_64, "")));
	CU_ASSERT_FALSE(is_taken(
		RECORD("vm-9", SELF, "m1", "{\"vm\":\"" NAME_OF_64 "\",\"incarnation\":\"5\"}")));
}

/* Guards against a change of primary while a sender that the record names is not fenced. */
static void test_record_with_too_many_senders_is_malformed(void)
{
	CU_ASSERT_TRUE(is_taken(RECORD("vm-9", SELF, "m1", FOUR(FOUR(SENDER)))));
	CU_ASSERT_FALSE(is_taken(RECORD("vm-9", SELF, "m1", FOUR(FOUR(SENDER)) "," SENDER)));
	CU_ASSERT_FALSE(is_taken(RECORD("vm-9", SELF, "m1", "7")));
}

/* Guards against taking a key of the store for that of another process. */
static void test_key_with_too_long_a_name_is_malformed(void)
{
	char name[NAME_SIZE];
	uint64_t incarnation;

	CU_ASSERT_TRUE(fleet_store_vm_parse("{\"name\":\"" NAME_OF_63 "\",\"incarnation\":\"5\"}",
					    name, &incarnation));
	CU_ASSERT_FALSE(fleet_store_vm_parse("{\"name\":\"" NAME_OF_64 "\",\"incarnation\":\"5\"}",
					     name, &incarnation));
}

static const struct test_case cases[] = {
	{"record_with_too_long_a_name_is_malformed", test_record_with_too_long_a_name_is_malformed},
	{"record_with_too_many_senders_is_malformed",
	 test_record_with_too_many_senders_is_malformed},
	{"key_with_too_long_a_name_is_malformed", test_key_with_too_long_a_name_is_malformed},
};
HARNESS_MAIN("record", cases)
