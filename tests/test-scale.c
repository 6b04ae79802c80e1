/**
 * @file test-scale.c
 * What one VM does as the fleet grows: fleets of up to 2,000 VMs and as many database groups, seen
 * by one of their VMs. The tests count steps, which do not depend on the machine.
 */
#include "harness-owner.h"
#include "table.h"

#include <string.h>

static const unsigned sizes[] = {250, 500, 1000, 2000};
#define LARGEST 2000

/** A world whose VM is one of @a n in a fleet with @a n groups. */
struct large {
	struct world w;
	unsigned n;
	char name[LARGEST][16];
	char address[LARGEST][24];
	struct vm_listing listing[LARGEST];
};

static void add_groups(struct large *l)
{
	struct conf_update u = {.version = 9, .full = true};
	unsigned i;

	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < l->n; i++) {
		struct conf_pool pool = {.confirm = CONFIRM_PRIMARY, .n = 1};

		g_snprintf(pool.name, sizeof(pool.name), "p%u", i);
		g_strlcpy(pool.member[0].name, "m0", sizeof(pool.member[0].name));
		g_strlcpy(pool.member[0].address, "127.0.0.1:100", sizeof(pool.member[0].address));
		g_strlcpy(pool.member[0].data_center, "dc1", sizeof(pool.member[0].data_center));
		g_ptr_array_add(u.entries, table_entry_make(CONF_POOL, &pool));
	}
	fleet_apply_conf(fleet_of(l->w.k), &u, "test");
	conf_update_clear(&u);
}

/** Puts a list of the first @a count VMs in force. */
static void list_vms(struct large *l, unsigned count, uint64_t revision)
{
	struct fleet *f = fleet_of(l->w.k);

	peers_apply_list(&f->peers, revision, l->listing, count);
	fleet_members_changed(f);
}

static struct large *large_open(unsigned n)
{
	struct large *l = g_new0(struct large, 1);
	unsigned i;

	world_open(&l->w);
	l->n = n;
	for (i = 0; i < n; i++) {
		static const char *const data_centers[] = {"dc0", "dc1", "dc2", "dc3", "dc4"};

		g_snprintf(l->name[i], sizeof(l->name[i]), "vm-%u", i + 1);
		g_snprintf(l->address[i], sizeof(l->address[i]), "127.0.0.1:%u", i + 1);
		l->listing[i] = (struct vm_listing){.name = l->name[i],
						    .address = l->address[i],
						    .data_center = data_centers[i % 5]};
	}
	add_groups(l);
	return l;
}

static void large_close(struct large *l)
{
	world_close(&l->w);
	g_free(l);
}

/** Looks up the VM that is to claim each group, as the timer of the groups does. */
static void look_up_holders(struct large *l)
{
	struct owner_group *g;

	TAILQ_FOREACH(g, &l->w.o->groups, link) {
		char role[NAME_SIZE + 8];

		g_snprintf(role, sizeof(role), "group %s", g->pool);
		CU_ASSERT_PTR_NOT_NULL(fleet_holder_address(fleet_of(l->w.k), role));
	}
}

/*
 * Guards against a fleet that is busy with ranking: each new list of VMs made every VM weigh all
 * VMs for all groups again, and a restart of many VMs brings a list for each.
 */
static void test_a_new_vm_is_weighed_once_for_each_role(void)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct large *l = large_open(sizes[i]);
		struct peers *p = &fleet_of(l->w.k)->peers;
		uint64_t before;

		list_vms(l, l->n - 1, 1);
		look_up_holders(l);
		before = p->weighed;
		list_vms(l, l->n, 2);
		look_up_holders(l);
		/* The new VM for each role, and all VMs for the one or few roles that it takes. */
		CHECK(p->weighed - before < 16 * (uint64_t)l->n, "%u VMs: %lu weighed", l->n,
		      (unsigned long)(p->weighed - before));
		before = p->weighed;
		list_vms(l, l->n - 1, 3);
		look_up_holders(l);
		CHECK(p->weighed - before < 16 * (uint64_t)l->n, "%u VMs: %lu weighed", l->n,
		      (unsigned long)(p->weighed - before));
		large_close(l);
	}
}

/* A cached holder must be the one that ranking anew gives, however lists and failures follow. */
static void test_cached_holders_are_those_of_a_new_ranking(void)
{
	struct large *l = large_open(sizes[0]);
	struct fleet *f = fleet_of(l->w.k);
	uint64_t revision = 1;
	unsigned round, i;

	for (round = 0; round < 40; round++) {
		struct vm *vm;

		list_vms(l, 1 + (unsigned)(random_bits() % l->n), revision++);
		vm = peers_find(&f->peers, l->name[random_bits() % l->n]);
		if (vm != NULL && vm != f->peers.self) {
			vm->dead = !vm->dead;
			fleet_members_changed(f);
		}
		for (i = 0; i < l->n; i += 7) {
			char role[NAME_SIZE];

			g_snprintf(role, sizeof(role), "group p%u", i);
			CU_ASSERT_STRING_EQUAL(fleet_holder_address(f, role),
					       peers_holder(&f->peers, role, NULL)->address);
		}
	}
	large_close(l);
}

/** Runs the event loop until the timer of the groups has run @a n times. */
static void run_ticks(struct large *l, unsigned n)
{
	const struct timeval tv = {.tv_usec = 20 * USEC_PER_MSEC * n};

	event_base_loopexit(l->w.k->base, &tv);
	event_base_dispatch(l->w.k->base);
}

/** Returns how many groups have taken memory for their members. */
static unsigned used_groups(const struct large *l)
{
	const struct owner_group *g;
	unsigned n = 0;

	TAILQ_FOREACH(g, &l->w.o->groups, link)
		n += g->member != NULL ? 1 : 0;
	return n;
}

/*
 * Guards against a VM that spends its time on groups of others: the timer looked at every group of
 * the fleet 50 times a second, though a VM owns about one.
 */
static void test_timer_visits_only_groups_with_something_to_do(void)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct large *l = large_open(sizes[i]);
		const unsigned ticks = 10;
		uint64_t before;

		world_hold_lease(&l->w);
		list_vms(l, l->n, 1);
		run_ticks(l, ticks);
		CU_ASSERT_TRUE(fake.n_commits >= 1);
		CHECK(fake.n_commits < 16, "%u VMs: %u claims", l->n, fake.n_commits);
		/* A claim is no reason to connect to every VM. */
		CHECK(rpc_connections(rpc_of(l->w.k)) < 16, "%u VMs: %u connections", l->n,
		      rpc_connections(rpc_of(l->w.k)));
		CHECK(used_groups(l) < 16, "%u VMs: %u groups used", l->n, used_groups(l));
		before = l->w.o->visits;
		run_ticks(l, ticks);
		CHECK(l->w.o->visits - before < 32 * ticks, "%u VMs: %lu visits", l->n,
		      (unsigned long)(l->w.o->visits - before));
		large_close(l);
	}
}

static const struct test_case cases[] = {
	{"timer_visits_only_groups_with_something_to_do",
	 test_timer_visits_only_groups_with_something_to_do},
	{"a_new_vm_is_weighed_once_for_each_role", test_a_new_vm_is_weighed_once_for_each_role},
	{"cached_holders_are_those_of_a_new_ranking",
	 test_cached_holders_are_those_of_a_new_ranking},
};
HARNESS_MAIN("scale", cases)
