/** @file test-it-restore.c Restores of the platform's store from an older copy of itself. */
#include "harness-line.h"
#include "harness-writer.h"

#include <signal.h>
#include <string.h>

/** A configuration has to be in force within this time after the store acknowledged it. */
#define CONF_TIMEOUT_MS 3000
/**
 * Number of documents that the store acknowledges and that the restore loses. The document written
 * after the restore then has a lower revision than those.
 */
#define LOST_DOCUMENTS 4
/** Covers the expiry of a lease and a change of primary, with some margin. */
#define FAILOVER_TIMEOUT_MS 25000
/** Time between a restore and the operators' repeated write of their document. */
#define REWRITE_DELAY_MS 2000
/** Deadline of a write, 500 ms for calls that were under way then, and a busy machine's delay. */
#define ANSWER_TIMEOUT_MS (1500 + 500 + 500)
#define NEW_KEY "u3f1other"

/**
 * Waits up to @a ms until every VM accepts @a key, or refuses it if @a accepted is false.
 * @return whether they do
 */
static bool key_state_in_force(struct line_fleet *f, const char *key, bool accepted, int ms)
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

/** Returns whether any VM accepts @a key within @a ms. */
static bool key_accepted(struct line_fleet *f, const char *key, int ms)
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

/*
 * The store is restored from a copy, so its revisions go back. Guards against a new configuration
 * that is acknowledged by the store but discarded as old by the VMs.
 */
static void test_a_configuration_after_a_restore_is_in_force(void)
{
	struct line_fleet *f = line_fleet_start(3);
	int i;

	line_fault(f, "{\"copy\":1}");
	for (i = 0; i < LOST_DOCUMENTS; i++)
		line_write_document(f);
	f->keys = "[\"" LINE_KEY "\",\"" NEW_KEY "\"]";
	line_write_document(f);
	CU_ASSERT_TRUE(key_state_in_force(f, NEW_KEY, true, CONF_TIMEOUT_MS));
	line_fault(f, "{\"restore\":0}");
	f->keys = "[\"" NEW_KEY "\"]";
	line_write_document(f);
	CHECK(key_state_in_force(f, LINE_KEY, false, CONF_TIMEOUT_MS), "a revoked key is accepted");
	CHECK(key_state_in_force(f, NEW_KEY, true, CONF_TIMEOUT_MS), "a valid key is refused");
	line_fleet_stop(f);
}

/** Makes the primary stop answering and waits until another member serves writes. */
static void force_failover(struct line_fleet *f, char old_primary[32])
{
	line_primary(f, old_primary);
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"dark\"}", old_primary);
	CHECK(line_wait_until_writable(f, 2, FAILOVER_TIMEOUT_MS),
	      "no new primary after %s stopped answering", old_primary);
}

/*
 * The store is restored from a copy made before a change of primary. Guards against using the
 * replaced primary again, and against a fencing token that goes back.
 */
static void test_a_change_of_primary_outlasts_a_restore(void)
{
	struct line_fleet *f = line_fleet_start(3);
	char first_primary[32], second_primary[32];
	struct line_writer w[2];
	int i;

	for (i = 0; i < 2; i++)
		line_writer_start(&w[i], f, i);
	line_fault(f, "{\"copy\":1}");
	force_failover(f, first_primary);
	line_fault(f, "{\"restore\":0}");
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"up\"}", first_primary);
	CHECK(line_wait_until_writable(f, 2, FAILOVER_TIMEOUT_MS), "not served after the restore");
	force_failover(f, second_primary);
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"up\"}", second_primary);
	test_sleep_ms(1000);
	for (i = 0; i < 2; i++) {
		line_writer_stop(&w[i]);
		CHECK(w[i].answer_max_ms <= ANSWER_TIMEOUT_MS, "an answer after %ld ms",
		      (long)w[i].answer_max_ms);
	}
	CU_ASSERT_EQUAL(line_report(f, "replaced_commits"), 0);
	CU_ASSERT_EQUAL(line_report(f, "token_regressed"), 0);
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 2);
	line_fleet_stop(f);
}

/*
 * The store is restored from a copy made before the VMs restarted, so it lacks their leases and
 * their groups. Guards against VMs that continue as owners without a lease, and against VMs that
 * never serve again.
 */
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
	CHECK(line_wait_until_writable(f, 0, FAILOVER_TIMEOUT_MS), "not served after the restart");
	line_writer_start(&w, f, 1);
	line_fault(f, "{\"restore\":0}");
	test_sleep_ms(1000);
	for (i = 0; i < 3; i++)
		CHECK(line_wait_until_writable(f, i, FAILOVER_TIMEOUT_MS), "vm%d", i);
	line_writer_stop(&w);
	CU_ASSERT_EQUAL(line_report(f, "replaced_commits"), 0);
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 0);
	line_fleet_stop(f);
}

/*
 * The store is restored from a copy with an older configuration, which stays in the store until the
 * operators write the present one again. Guards against the older configuration being in force
 * meanwhile, which would accept a revoked key.
 */
static void test_an_older_configuration_does_not_return(void)
{
	struct line_fleet *f = line_fleet_start(3);

	line_fault(f, "{\"copy\":1}");
	f->keys = "[\"" NEW_KEY "\"]";
	line_write_document(f);
	CU_ASSERT_TRUE(key_state_in_force(f, LINE_KEY, false, CONF_TIMEOUT_MS));
	line_fault(f, "{\"restore\":%d}", REWRITE_DELAY_MS);
	CHECK(!key_accepted(f, LINE_KEY, REWRITE_DELAY_MS * 2), "a revoked key is accepted");
	CHECK(key_state_in_force(f, NEW_KEY, true, CONF_TIMEOUT_MS), "a valid key is refused");
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
