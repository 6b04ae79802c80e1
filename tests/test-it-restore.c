/** @file test-it-restore.c The platform's store comes back from an older copy of itself. */
#include "harness-line.h"
#include "harness-writer.h"

#include <signal.h>
#include <string.h>

/** The users' bound between the store's acknowledgement and a configuration in force. */
#define CONF_DEADLINE_MS 3000
/** Documents that the store acknowledges and then has only as one, at a lower revision. */
#define LOST_DOCUMENTS 4
/** A lease, a change of primary, and room. */
#define SERVED_MS 25000
/** After a restore, until the operators have written again. */
#define REWRITE_MS 2000
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

/** Whether any VM opens a session with @a key within @a ms. */
static bool key_served(struct line_fleet *f, const char *key, int ms)
{
	int64_t until = test_now_ms() + ms;
	struct line_client c;
	bool served = false;
	int i;

	while (!served && test_now_ms() < until) {
		for (i = 0; i < f->n_vms; i++) {
			served |= line_connect(&c, f, i, LINE_DB_PRIMARY, key);
			line_close(&c);
		}
		test_sleep_ms(20);
	}
	return served;
}

/* Guards against confirmed configurations being discarded as old after revisions went back. */
static void test_a_configuration_after_a_restore_is_in_force(void)
{
	struct line_fleet *f = line_fleet_start(3);
	int i;

	line_fault(f, "{\"copy\":1}");
	for (i = 0; i < LOST_DOCUMENTS; i++)
		line_write_document(f);
	f->keys = "[\"" LINE_KEY "\",\"" NEW_KEY "\"]";
	line_write_document(f);
	CU_ASSERT_TRUE(keys_in_force(f, NEW_KEY, true, CONF_DEADLINE_MS));
	line_fault(f, "{\"restore\":0}");
	f->keys = "[\"" NEW_KEY "\"]";
	line_write_document(f);
	CHECK(keys_in_force(f, LINE_KEY, false, CONF_DEADLINE_MS), "a revoked key is served");
	CHECK(keys_in_force(f, NEW_KEY, true, CONF_DEADLINE_MS), "a key is lost");
	line_fleet_stop(f);
}

/** A change of primary: the present one goes dark, and another leads. */
static void change_primary(struct line_fleet *f, char before[32])
{
	line_primary(f, before);
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"dark\"}", before);
	CHECK(line_wait_until_writable(f, 2, SERVED_MS), "no primary after %s", before);
}

/* Guards against a replaced primary being believed, and a fencing token going back. */
static void test_a_change_of_primary_outlasts_a_restore(void)
{
	struct line_fleet *f = line_fleet_start(3);
	char first[32], second[32];
	struct line_writer w[2];
	int i;

	for (i = 0; i < 2; i++)
		line_writer_start(&w[i], f, i);
	line_fault(f, "{\"copy\":1}");
	change_primary(f, first);
	line_fault(f, "{\"restore\":0}");
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"up\"}", first);
	CHECK(line_wait_until_writable(f, 2, SERVED_MS), "not served after the restore");
	change_primary(f, second);
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"up\"}", second);
	test_sleep_ms(1000);
	for (i = 0; i < 2; i++)
		line_writer_stop(&w[i]);
	CU_ASSERT_EQUAL(line_report(f, "replaced_commits"), 0);
	CU_ASSERT_EQUAL(line_report(f, "token_regressed"), 0);
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 2);
	line_fleet_stop(f);
}

/* Guards against VMs whose leases and groups the store has lost going on without, or for ever. */
static void test_vms_that_the_store_lost_serve_again(void)
{
	struct line_fleet *f = line_fleet_start(3);
	struct line_writer w;
	int i;

	line_fault(f, "{\"copy\":1}");
	for (i = 0; i < 3; i++)
		line_vm_signal(f, i, SIGKILL);
	for (i = 0; i < 3; i++)
		line_vm_start(f, i);
	CHECK(line_wait_until_writable(f, 0, SERVED_MS), "not served after the restart");
	line_writer_start(&w, f, 1);
	line_fault(f, "{\"restore\":0}");
	test_sleep_ms(1000);
	for (i = 0; i < 3; i++)
		CHECK(line_wait_until_writable(f, i, SERVED_MS), "vm%d", i);
	line_writer_stop(&w);
	CU_ASSERT_EQUAL(line_report(f, "replaced_commits"), 0);
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 0);
	line_fleet_stop(f);
}

/* Guards against a configuration of before being in force until operators have written again. */
static void test_an_older_configuration_does_not_return(void)
{
	struct line_fleet *f = line_fleet_start(3);

	line_fault(f, "{\"copy\":1}");
	f->keys = "[\"" NEW_KEY "\"]";
	line_write_document(f);
	CU_ASSERT_TRUE(keys_in_force(f, LINE_KEY, false, CONF_DEADLINE_MS));
	line_fault(f, "{\"restore\":%d}", REWRITE_MS);
	CHECK(!key_served(f, LINE_KEY, REWRITE_MS * 2), "a revoked key is served");
	CHECK(keys_in_force(f, NEW_KEY, true, CONF_DEADLINE_MS), "a key is lost");
	line_fleet_stop(f);
}

static const struct test_case cases[] = {
	{"a_configuration_after_a_restore_is_in_force",
	 test_a_configuration_after_a_restore_is_in_force},
	{"an_older_configuration_does_not_return", test_an_older_configuration_does_not_return},
	{"a_change_of_primary_outlasts_a_restore", test_a_change_of_primary_outlasts_a_restore},
	{"vms_that_the_store_lost_serve_again", test_vms_that_the_store_lost_serve_again},
};
HARNESS_MAIN("restore", cases)
