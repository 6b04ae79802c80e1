/** @file test-peers.c Membership of the fleet. */
#include "harness.h"
#include "peers.h"

#include <string.h>

static const struct vm_listing listing[] = {
	{"a1", "1:1", "a", false, 0}, {"a2", "1:2", "a", false, 0}, {"a3", "1:3", "a", false, 0},
	{"a4", "1:4", "a", false, 0}, {"b1", "2:1", "b", false, 0}, {"b2", "2:2", "b", true, 0},
};

static void test_older_list_is_ignored(void)
{
	struct peers p;

	peers_init(&p, "a1", "1:1", "a", 11);
	CU_ASSERT_TRUE(peers_apply_list(&p, 5, listing, 6));
	CU_ASSERT_EQUAL(p.n, 6);
	CU_ASSERT_FALSE(peers_apply_list(&p, 4, listing, 1));
	CU_ASSERT_EQUAL(p.n, 6);
	CU_ASSERT_TRUE(peers_apply_list(&p, 6, listing + 1, 2));
	/* A VM counts itself although the list, which lags, does not contain it. */
	CU_ASSERT_EQUAL(p.n, 3);
	CU_ASSERT_PTR_NOT_NULL(peers_find(&p, "a1"));
	peers_clear(&p);
}

static void test_heartbeat_targets_are_bounded(void)
{
	struct vm *out[PEERS_TARGETS_MAX];
	struct peers p;
	unsigned i;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_apply_list(&p, 5, listing, 6);
	for (i = 0; i < 100; i++) {
		unsigned n = peers_targets(&p, i, out);

		CU_ASSERT_TRUE(n >= PEERS_NEIGHBOURS && n <= PEERS_NEIGHBOURS + 1);
		CU_ASSERT_STRING_EQUAL(out[0]->name, "a2");
		CU_ASSERT_STRING_EQUAL(out[1]->name, "a3");
	}
	peers_clear(&p);
}

static void test_holder_is_local_and_moves_when_dead(void)
{
	struct peers p;
	struct vm *first, *second;
	unsigned i;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_apply_list(&p, 5, listing, 6);
	/* b2 is leaving, so b1 holds all roles of data centre b. */
	CU_ASSERT_STRING_EQUAL(peers_holder(&p, "home x", "b")->name, "b1");
	first = peers_holder(&p, "home x", "a");
	CU_ASSERT_STRING_EQUAL(first->data_center, "a");
	first->dead = true;
	second = peers_holder(&p, "home x", "a");
	CU_ASSERT_STRING_EQUAL(second->data_center, "a");
	CU_ASSERT_PTR_NOT_EQUAL(first, second);
	first->dead = false;
	for (i = 0; i < PEERS_MISSES_MAX; i++)
		peers_record_miss(&p, peers_find(&p, "b1"));
	/* No VM of data centre b is usable: VMs of others hold its roles. */
	CU_ASSERT_STRING_EQUAL(peers_holder(&p, "home x", "b")->data_center, "a");
	peers_record_contact(peers_find(&p, "b1"), 7, 0);
	CU_ASSERT_STRING_EQUAL(peers_holder(&p, "home x", "b")->name, "b1");
	peers_clear(&p);
}

static void test_suspect_until_it_answers(void)
{
	struct peers p;
	struct vm *vm;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_apply_list(&p, 5, listing, 6);
	vm = peers_find(&p, "a2");
	peers_suspect(&p, vm);
	CU_ASSERT_FALSE(peers_usable(vm));
	peers_suspect(&p, p.self);
	CU_ASSERT_TRUE(peers_usable(p.self));
	peers_record_contact(vm, 9, 0);
	CU_ASSERT_TRUE(peers_usable(vm));
	peers_clear(&p);
}

/*
 * Guards against a live VM that stays dead for others: it must answer an update that reports it as
 * dead with a newer one, which overrules the first.
 */
static void test_false_death_report_is_refuted(void)
{
	struct vm_update updates[PEERS_UPDATES_MAX], death = {"a1", 11, 4, true, false};
	struct peers p, other;
	unsigned n;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_apply_list(&p, 5, listing, 6);
	peers_apply_update(&p, &death);
	n = peers_collect_updates(&p, updates);
	CU_ASSERT_EQUAL_FATAL(n, 1);
	CU_ASSERT_TRUE(updates[0].seq > 4);
	CU_ASSERT_FALSE(updates[0].dead);
	peers_init(&other, "b1", "2:1", "b", 22);
	peers_apply_list(&other, 5, listing, 6);
	peers_apply_update(&other, &death);
	CU_ASSERT_TRUE(peers_find(&other, "a1")->dead);
	peers_apply_update(&other, &updates[0]);
	CU_ASSERT_FALSE(peers_find(&other, "a1")->dead);
	/* The old update, delivered again, is ignored. */
	peers_apply_update(&other, &death);
	CU_ASSERT_FALSE(peers_find(&other, "a1")->dead);
	peers_clear(&p);
	peers_clear(&other);
}

static void test_leaving_is_propagated(void)
{
	struct vm_update updates[PEERS_UPDATES_MAX];
	struct peers p, other;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_apply_list(&p, 5, listing, 6);
	peers_init(&other, "b1", "2:1", "b", 22);
	peers_apply_list(&other, 5, listing, 6);
	peers_record_contact(peers_find(&other, "a1"), 11, 0);
	peers_leave(&p);
	CU_ASSERT_EQUAL(peers_collect_updates(&p, updates), 1);
	peers_apply_update(&other, &updates[0]);
	CU_ASSERT_FALSE(peers_usable(peers_find(&other, "a1")));
	/* A restarted process is usable again. */
	peers_record_contact(peers_find(&other, "a1"), 12, 0);
	CU_ASSERT_TRUE(peers_usable(peers_find(&other, "a1")));
	peers_clear(&p);
	peers_clear(&other);
}

static const struct vm_listing restarted[] = {{"a1", "1:1", "a", false, 11},
					      {"a2", "1:2", "a", false, 32}};

/*
 * Guards against disagreement on the allocator of a team's rate after a VM was restarted. The VM
 * had announced that it leaves, and its new process is on the platform's list. VMs without a
 * heartbeat from the new process regarded it as leaving and chose another allocator than the other
 * VMs, so the team's requests were refused until the VM had sent a heartbeat to every other one.
 */
static void test_listed_process_serves_again(void)
{
	struct vm_update left = {"a2", 31, 1, false, true};
	struct vm_listing before[] = {restarted[0], restarted[1]};
	struct peers p;

	before[1].incarnation = 31;
	peers_init(&p, "a1", "1:1", "a", 11);
	peers_apply_list(&p, 5, before, 2);
	peers_apply_update(&p, &left);
	CU_ASSERT_FALSE(peers_usable(peers_find(&p, "a2")));
	peers_apply_list(&p, 6, restarted, 2);
	CU_ASSERT_TRUE(peers_usable(peers_find(&p, "a2")));
	peers_clear(&p);
}

/*
 * Guards against a restarted VM that is regarded as leaving because of an update about its previous
 * process: the VM was off the platform's list for a while, so no state of it is known when it is
 * listed again, and the old update, which is still in circulation, was applied.
 */
static void test_update_of_a_previous_process_is_ignored(void)
{
	struct vm_update left = {"a2", 31, 1, false, true};
	struct peers p;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_apply_list(&p, 6, restarted, 2);
	peers_apply_update(&p, &left);
	CU_ASSERT_TRUE(peers_usable(peers_find(&p, "a2")));
	peers_clear(&p);
}

/*
 * Guards against a platform's list that lags behind heartbeats: it still names the previous process
 * after the new one was contacted, and must not reset the new one's state.
 */
static void test_stale_list_does_not_restore_an_old_process(void)
{
	struct vm_update left = {"a2", 33, 1, false, true};
	struct peers p;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_apply_list(&p, 6, restarted, 2);
	peers_record_contact(peers_find(&p, "a2"), 33, 0);
	peers_apply_update(&p, &left);
	peers_apply_list(&p, 7, restarted, 2);
	CU_ASSERT_FALSE(peers_usable(peers_find(&p, "a2")));
	peers_clear(&p);
}

static const struct test_case cases[] = {
	{"older_list_is_ignored", test_older_list_is_ignored},
	{"heartbeat_targets_are_bounded", test_heartbeat_targets_are_bounded},
	{"holder_is_local_and_moves_when_dead", test_holder_is_local_and_moves_when_dead},
	{"suspect_until_it_answers", test_suspect_until_it_answers},
	{"false_death_report_is_refuted", test_false_death_report_is_refuted},
	{"leaving_is_propagated", test_leaving_is_propagated},
	{"listed_process_serves_again", test_listed_process_serves_again},
	{"update_of_a_previous_process_is_ignored", test_update_of_a_previous_process_is_ignored},
	{"stale_list_does_not_restore_an_old_process",
	 test_stale_list_does_not_restore_an_old_process},
};
HARNESS_MAIN("peers", cases)
