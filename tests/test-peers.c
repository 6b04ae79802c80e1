/** @file test-peers.c Membership. */
#include "harness.h"
#include "peers.h"

#include <string.h>

static const struct vm_listing listing[] = {
	{"a1", "1:1", "a", false, 0}, {"a2", "1:2", "a", false, 0}, {"a3", "1:3", "a", false, 0},
	{"a4", "1:4", "a", false, 0}, {"b1", "2:1", "b", false, 0}, {"b2", "2:2", "b", true, 0},
};

static void test_list_only_moves_on(void)
{
	struct peers p;

	peers_init(&p, "a1", "1:1", "a", 11);
	CU_ASSERT_TRUE(peers_list(&p, 5, listing, 6));
	CU_ASSERT_EQUAL(p.n, 6);
	CU_ASSERT_FALSE(peers_list(&p, 4, listing, 1));
	CU_ASSERT_EQUAL(p.n, 6);
	CU_ASSERT_TRUE(peers_list(&p, 6, listing + 1, 2));
	/* The platform's list lags: a VM counts itself while it lives. */
	CU_ASSERT_EQUAL(p.n, 3);
	CU_ASSERT_PTR_NOT_NULL(peers_find(&p, "a1"));
	peers_clear(&p);
}

static void test_cost_does_not_grow(void)
{
	struct vm *out[PEERS_TARGETS_MAX];
	struct peers p;
	unsigned i;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_list(&p, 5, listing, 6);
	for (i = 0; i < 100; i++) {
		unsigned n = peers_targets(&p, i, out);

		CU_ASSERT_TRUE(n >= PEERS_NEIGHBOURS && n <= PEERS_NEIGHBOURS + 1);
		CU_ASSERT_STRING_EQUAL(out[0]->name, "a2");
		CU_ASSERT_STRING_EQUAL(out[1]->name, "a3");
	}
	peers_clear(&p);
}

static void test_holder_is_near_and_moves_when_dead(void)
{
	struct peers p;
	struct vm *first, *second;
	unsigned i;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_list(&p, 5, listing, 6);
	/* b2 is leaving, so b1 has all of b's roles. */
	CU_ASSERT_STRING_EQUAL(peers_holder(&p, "home x", "b")->name, "b1");
	first = peers_holder(&p, "home x", "a");
	CU_ASSERT_STRING_EQUAL(first->data_center, "a");
	first->dead = true;
	second = peers_holder(&p, "home x", "a");
	CU_ASSERT_STRING_EQUAL(second->data_center, "a");
	CU_ASSERT_PTR_NOT_EQUAL(first, second);
	first->dead = false;
	for (i = 0; i < PEERS_MISSES_MAX; i++)
		peers_missed(&p, peers_find(&p, "b1"));
	/* No VM is left in b: others serve it. */
	CU_ASSERT_STRING_EQUAL(peers_holder(&p, "home x", "b")->data_center, "a");
	peers_heard(peers_find(&p, "b1"), 7, 0);
	CU_ASSERT_STRING_EQUAL(peers_holder(&p, "home x", "b")->name, "b1");
	peers_clear(&p);
}

static void test_suspect_until_heard(void)
{
	struct peers p;
	struct vm *vm;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_list(&p, 5, listing, 6);
	vm = peers_find(&p, "a2");
	peers_suspect(&p, vm);
	CU_ASSERT_FALSE(peers_usable(vm));
	peers_suspect(&p, p.self);
	CU_ASSERT_TRUE(peers_usable(p.self));
	peers_heard(vm, 9, 0);
	CU_ASSERT_TRUE(peers_usable(vm));
	peers_clear(&p);
}

/* A VM that others think dead hears of it, and answers with newer news that overrules them. */
static void test_news_of_own_death_is_answered(void)
{
	struct vm_news news[PEERS_NEWS_MAX], death = {"a1", 11, 4, true, false};
	struct peers p, other;
	unsigned n;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_list(&p, 5, listing, 6);
	peers_learn(&p, &death);
	n = peers_news(&p, news);
	CU_ASSERT_EQUAL_FATAL(n, 1);
	CU_ASSERT_TRUE(news[0].seq > 4);
	CU_ASSERT_FALSE(news[0].dead);
	peers_init(&other, "b1", "2:1", "b", 22);
	peers_list(&other, 5, listing, 6);
	peers_learn(&other, &death);
	CU_ASSERT_TRUE(peers_find(&other, "a1")->dead);
	peers_learn(&other, &news[0]);
	CU_ASSERT_FALSE(peers_find(&other, "a1")->dead);
	/* The old news, late again, changes nothing. */
	peers_learn(&other, &death);
	CU_ASSERT_FALSE(peers_find(&other, "a1")->dead);
	peers_clear(&p);
	peers_clear(&other);
}

static void test_leaving_spreads(void)
{
	struct vm_news news[PEERS_NEWS_MAX];
	struct peers p, other;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_list(&p, 5, listing, 6);
	peers_init(&other, "b1", "2:1", "b", 22);
	peers_list(&other, 5, listing, 6);
	peers_heard(peers_find(&other, "a1"), 11, 0);
	peers_leave(&p);
	CU_ASSERT_EQUAL(peers_news(&p, news), 1);
	peers_learn(&other, &news[0]);
	CU_ASSERT_FALSE(peers_usable(peers_find(&other, "a1")));
	/* A restarted process serves again. */
	peers_heard(peers_find(&other, "a1"), 12, 0);
	CU_ASSERT_TRUE(peers_usable(peers_find(&other, "a1")));
	peers_clear(&p);
	peers_clear(&other);
}

static const struct vm_listing restarted[] = {{"a1", "1:1", "a", false, 11},
					      {"a2", "1:2", "a", false, 32}};

/*
 * Teams whose rate one VM hands out are refused until that VM has beaten to every other one.
 * It said that it leaves, and a process of it is listed again. VMs that did not hear from it
 * themselves held it to be leaving still, and took another VM for what the others asked it for.
 */
static void test_listed_process_serves_again(void)
{
	struct vm_news left = {"a2", 31, 1, false, true};
	struct vm_listing before[] = {restarted[0], restarted[1]};
	struct peers p;

	before[1].incarnation = 31;
	peers_init(&p, "a1", "1:1", "a", 11);
	peers_list(&p, 5, before, 2);
	peers_learn(&p, &left);
	CU_ASSERT_FALSE(peers_usable(peers_find(&p, "a2")));
	peers_list(&p, 6, restarted, 2);
	CU_ASSERT_TRUE(peers_usable(peers_find(&p, "a2")));
	peers_clear(&p);
}

/*
 * The same, by another way: the VM was off the list for a while, so nothing is known of it when it
 * is listed again, and the news of its former process, which still goes round, was believed.
 */
static void test_news_of_a_former_process_is_dropped(void)
{
	struct vm_news left = {"a2", 31, 1, false, true};
	struct peers p;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_list(&p, 6, restarted, 2);
	peers_learn(&p, &left);
	CU_ASSERT_TRUE(peers_usable(peers_find(&p, "a2")));
	peers_clear(&p);
}

/* A process that was heard is newer than the one that the list, which lags, still names. */
static void test_late_list_does_not_bring_a_process_back(void)
{
	struct vm_news left = {"a2", 33, 1, false, true};
	struct peers p;

	peers_init(&p, "a1", "1:1", "a", 11);
	peers_list(&p, 6, restarted, 2);
	peers_heard(peers_find(&p, "a2"), 33, 0);
	peers_learn(&p, &left);
	peers_list(&p, 7, restarted, 2);
	CU_ASSERT_FALSE(peers_usable(peers_find(&p, "a2")));
	peers_clear(&p);
}

static const struct test_case cases[] = {
	{"list_only_moves_on", test_list_only_moves_on},
	{"cost_does_not_grow", test_cost_does_not_grow},
	{"holder_is_near_and_moves_when_dead", test_holder_is_near_and_moves_when_dead},
	{"suspect_until_heard", test_suspect_until_heard},
	{"news_of_own_death_is_answered", test_news_of_own_death_is_answered},
	{"leaving_spreads", test_leaving_spreads},
	{"listed_process_serves_again", test_listed_process_serves_again},
	{"news_of_a_former_process_is_dropped", test_news_of_a_former_process_is_dropped},
	{"late_list_does_not_bring_a_process_back", test_late_list_does_not_bring_a_process_back},
};
HARNESS_MAIN("peers", cases)
