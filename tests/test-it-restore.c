/** @file test-it-restore.c The platform's store comes back from an older copy of itself. */
#include "harness-line.h"

#include <string.h>

/** The users' bound between the store's acknowledgement and a configuration in force. */
#define CONF_DEADLINE_MS 3000
/** Documents that the store acknowledges and then has only as one, at a lower revision. */
#define LOST_DOCUMENTS 4
#define NEW_KEY "u3f1other"

/** Whether each VM answers START with @a key as @a accepted says, within @a ms. */
static bool keys_in_force(struct line_fleet *f, const char *key, bool accepted, int ms)
{
	int64_t until = test_now_ms() + ms;
	int i, as_expected = 0;

	while (as_expected < f->n_vms && test_now_ms() < until) {
		as_expected = 0;
		for (i = 0; i < f->n_vms; i++) {
			struct line_client c;

			as_expected +=
				line_connect(&c, f, i, LINE_DB_PRIMARY, key) == accepted ? 1 : 0;
			line_close(&c);
		}
		test_sleep_ms(20);
	}
	return as_expected == f->n_vms;
}

/* Guards against confirmed configurations being discarded as old after revisions went back. */
static void test_a_configuration_after_a_restore_is_in_force(void)
{
	struct line_fleet *f = line_fleet_start(3);
	int i;

	line_fault(f, "{\"copy\":1}");
	for (i = 0; i < LOST_DOCUMENTS; i++)
		line_document(f);
	f->keys = "[\"" LINE_KEY "\",\"" NEW_KEY "\"]";
	line_document(f);
	CU_ASSERT_TRUE(keys_in_force(f, NEW_KEY, true, CONF_DEADLINE_MS));
	line_fault(f, "{\"restore\":1}");
	f->keys = "[\"" NEW_KEY "\"]";
	line_document(f);
	CHECK(keys_in_force(f, LINE_KEY, false, CONF_DEADLINE_MS), "a revoked key is served");
	CHECK(keys_in_force(f, NEW_KEY, true, CONF_DEADLINE_MS), "a key is lost");
	line_fleet_stop(f);
}

static const struct test_case cases[] = {
	{"a_configuration_after_a_restore_is_in_force",
	 test_a_configuration_after_a_restore_is_in_force},
};
HARNESS_MAIN("restore", cases)
