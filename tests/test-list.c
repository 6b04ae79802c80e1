/** @file test-list.c The list of VMs between peers: only what changed, and nothing that is gone. */
#include "fleet.h"
#include "harness.h"

#include <string.h>

#define VM(name) "{\"name\":\"" name "\",\"address\":\"127.0.0.1:2\",\"data_center\":\"dc\"}"

/** A VM that knows a list. */
struct knower {
	struct settings settings;
	struct kernel *k;
	struct fleet *f;
};

static void knower_open(struct knower *w, const char *name)
{
	memset(w, 0, sizeof(*w));
	g_strlcpy(w->settings.name, name, sizeof(w->settings.name));
	g_strlcpy(w->settings.advertise, "127.0.0.1:1", sizeof(w->settings.advertise));
	g_strlcpy(w->settings.data_center, "dc", sizeof(w->settings.data_center));
	w->settings.silent_ms = 600;
	w->settings.heartbeat_ms = 1000;
	w->k = kernel_create(&w->settings);
	rpc_service_create(w->k);
	fleet_service_create(w->k);
	w->f = fleet_of(w->k);
}

static bool knows(const struct knower *w, const char *vm)
{
	return peers_find(&w->f->peers, vm) != NULL;
}

/** Put an entry and have it in force; without a value it is gone. */
static void change(struct knower *w, const char *vm, const char *value, uint64_t revision)
{
	fleet_list_put(w->f, vm, value, revision);
	fleet_list_in_force(w->f, revision);
}

/** @a to asks @a from, which tells it. @return how many entries were told */
static unsigned ask(struct knower *to, const struct knower *from)
{
	ml_conf_res res = {0};
	unsigned n;

	fleet_list_tell(from->f, to->f->peers.revision, &res);
	n = res.vms.vms_len;
	fleet_list_hear(to->f, &res);
	g_free(res.vms.vms_val);
	return n;
}

static void test_only_changes_are_told(void)
{
	struct knower a, b;

	knower_open(&a, "vm-1");
	knower_open(&b, "vm-2");
	fleet_take_vms(a.f, 10, "[" VM("vm-1") "," VM("vm-2") "," VM("vm-3") "]");
	CU_ASSERT_EQUAL(ask(&b, &a), 3);
	CU_ASSERT_TRUE(knows(&b, "vm-3"));
	CU_ASSERT_EQUAL(ask(&b, &a), 0);
	change(&a, "vm/vm-4", VM("vm-4"), 12);
	CU_ASSERT_EQUAL(ask(&b, &a), 1);
	CU_ASSERT_TRUE(knows(&b, "vm-3") && knows(&b, "vm-4"));
	change(&a, "vm/vm-3", NULL, 13);
	CU_ASSERT_EQUAL(ask(&b, &a), 1);
	CU_ASSERT_FALSE(knows(&b, "vm-3"));
	CU_ASSERT_EQUAL(b.f->peers.revision, 13);
}

/*
 * A VM that is gone for good is kept for ever: its tokens and roles are waited for.
 * It came and went while the peer that is asked did not run, so the peer has nothing to tell of it.
 * To a VM whose knowledge is older than its own, a peer tells the whole list.
 */
static void test_what_went_before_the_peer_began_is_dropped(void)
{
	struct knower a, b;

	knower_open(&a, "vm-1");
	knower_open(&b, "vm-2");
	fleet_take_vms(b.f, 11, "[" VM("vm-1") "," VM("vm-2") "," VM("vm-9") "]");
	fleet_take_vms(a.f, 20, "[" VM("vm-1") "," VM("vm-2") "]");
	ask(&b, &a);
	CU_ASSERT_FALSE(knows(&b, "vm-9"));
	CU_ASSERT_EQUAL(b.f->peers.revision, 20);
}

/* An answer that was long under way does not bring back what has changed since. */
static void test_a_late_answer_changes_nothing(void)
{
	ml_conf_res late = {0};
	struct knower a, b;

	knower_open(&a, "vm-1");
	knower_open(&b, "vm-2");
	fleet_take_vms(a.f, 10, "[" VM("vm-1") "," VM("vm-2") "," VM("vm-3") "]");
	fleet_list_tell(a.f, 0, &late);
	change(&a, "vm/vm-3", NULL, 12);
	ask(&b, &a);
	CU_ASSERT_FALSE(knows(&b, "vm-3"));
	fleet_list_hear(b.f, &late);
	CU_ASSERT_FALSE(knows(&b, "vm-3"));
	CU_ASSERT_EQUAL(b.f->peers.revision, 12);
	g_free(late.vms.vms_val);
}

/* Bytes that name no VM are logged, and the entry before stays. */
static void test_a_malformed_entry_leaves_the_one_before(void)
{
	struct knower a;

	knower_open(&a, "vm-1");
	fleet_take_vms(a.f, 10, "[" VM("vm-1") "," VM("vm-3") "]");
	change(&a, "vm/vm-3", "{\"nam", 12);
	CU_ASSERT_TRUE(knows(&a, "vm-3"));
	change(&a, "vm/vm-3", "[]", 13);
	CU_ASSERT_TRUE(knows(&a, "vm-3"));
}

static const struct test_case cases[] = {
	{"only_changes_are_told", test_only_changes_are_told},
	{"what_went_before_the_peer_began_is_dropped",
	 test_what_went_before_the_peer_began_is_dropped},
	{"a_late_answer_changes_nothing", test_a_late_answer_changes_nothing},
	{"a_malformed_entry_leaves_the_one_before", test_a_malformed_entry_leaves_the_one_before},
};
HARNESS_MAIN("list", cases)
