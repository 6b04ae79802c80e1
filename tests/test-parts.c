/** @file test-parts.c Claiming fixed parts of the rates in a store that the test plays. */
#include "fleet-store-source.h"
#include "harness.h"
#include "parts.h"

#include <string.h>

#define SELF "127.0.0.1:1"
#define KEY0 FLEET_STORE_PARTS "dc/0"
#define LEASE 7
/** Lists and claims take some turns of the loop and a tick of 100 ms. */
#define SETTLE_MS 350

/** What the store was asked last for part 0, and what it answers. */
static struct {
	struct store store;
	enum store_status status;
	const char *standing; /**< value that a conflict tells, or NULL */
	uint64_t standing_revision;
	unsigned commits;
	uint64_t guard;
	uint64_t lease;
	char *value;
} played;

static struct store_call *played_commit(struct store *s, const struct store_guard *guards,
					unsigned n_guards, const struct store_write *writes,
					unsigned n_writes, store_done cb, void *arg)
{
	struct store_answer a = {.status = STORE_REFUSED};
	struct store_item item = {.key = KEY0, .revision = played.standing_revision};

	a.items = g_ptr_array_new();
	if (strcmp(writes[0].key, KEY0) == 0) {
		played.commits++;
		played.guard = guards[0].revision;
		played.lease = writes[0].lease;
		g_free(played.value);
		played.value = g_strdup(writes[0].value);
		a.status = played.status;
		a.revision = era_revision(store_source.era.now, 30);
		item.value = (char *)played.standing;
		if (a.status == STORE_CONFLICT && played.standing != NULL)
			g_ptr_array_add(a.items, &item);
	}
	cb(&a, arg);
	g_ptr_array_unref(a.items);
	return NULL;
}

static const struct store_ops played_ops = {.commit = played_commit};

struct world {
	struct settings settings;
	struct kernel *k;
	struct parts *parts;
};

static void run(struct world *w)
{
	const struct timeval tv = {.tv_usec = SETTLE_MS * 1000};

	event_base_loopexit(w->k->base, &tv);
	event_base_dispatch(w->k->base);
}

static void world_open(struct world *w, enum store_status status)
{
	struct service *s;

	memset(w, 0, sizeof(*w));
	g_free(played.value);
	memset(&played, 0, sizeof(played));
	played.store.ops = &played_ops;
	played.status = status;
	g_strlcpy(w->settings.name, "vm-1", sizeof(w->settings.name));
	g_strlcpy(w->settings.advertise, SELF, sizeof(w->settings.advertise));
	g_strlcpy(w->settings.data_center, "dc", sizeof(w->settings.data_center));
	w->settings.silent_ms = 600;
	w->settings.heartbeat_ms = 1000;
	w->settings.platform_kind = PLATFORM_PREPARED;
	w->k = kernel_create(&w->settings);
	rpc_service_create(w->k);
	fleet_service_create(w->k);
	s = parts_service_create(w->k);
	w->parts = parts_of(w->k);
	store_source.store = &played.store;
	store_source.lease = LEASE;
	store_source.registered = true;
	store_source.registration = 1;
	store_source.lease_until_us = now_us() + 10 * USEC_PER_SEC;
	CU_ASSERT_TRUE(s->ops->start(s, NULL));
}

/** The list of VMs: this one, and @a part0 as the holder of part 0. */
static void list(struct world *w, uint64_t revision, const char *part0)
{
	char *text = g_strdup_printf("[%s%s{\"name\":\"vm-1\",\"address\":\"" SELF
				     "\",\"data_center\":\"dc\"}]",
				     part0, part0[0] != '\0' ? "," : "");

	fleet_apply_vms(fleet_of(w->k), revision, text);
	g_free(text);
}

static char *part_of(const char *vm, uint64_t incarnation, uint64_t lease)
{
	return g_strdup_printf("{\"part\":0,\"name\":\"%s\",\"address\":\"127.0.0.1:9\","
			       "\"data_center\":\"dc\",\"incarnation\":\"%lx\",\"lease\":\"%lx\"}",
			       vm, incarnation, lease);
}

static bool held0(const struct world *w)
{
	return parts_held(w->parts) & 1;
}

static void test_a_free_part_is_claimed_under_the_lease(void)
{
	struct world w;

	world_open(&w, STORE_DONE);
	run(&w);
	/* Nothing is known of the others before the list. */
	CU_ASSERT_EQUAL(played.commits, 0);
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_EQUAL(played.commits, 1);
	CU_ASSERT_EQUAL(played.guard, 0);
	CU_ASSERT_EQUAL(played.lease, LEASE);
	CU_ASSERT_TRUE(held0(&w));
	CU_ASSERT_EQUAL(parts_inherited(w.parts), 0);
	/* The list of VMs tells it to all. */
	list(&w, 6, played.value);
	CU_ASSERT_STRING_EQUAL(fleet_part(fleet_of(w.k), "dc", 0)->vm, "vm-1");
	CU_ASSERT_PTR_NULL(fleet_part(fleet_of(w.k), "dc", 1));
}

/* A team's rate would be passed: what another VM holds is not spent here as well. */
static void test_a_part_of_another_vm_is_left_alone(void)
{
	char *other = part_of("vm-2", 4, 9);
	struct world w;

	world_open(&w, STORE_DONE);
	list(&w, 5, other);
	run(&w);
	CU_ASSERT_EQUAL(played.commits, 0);
	CU_ASSERT_FALSE(held0(&w));
	g_free(other);
}

/* Another VM was first, and its key stands. */
static void test_a_lost_claim_holds_nothing(void)
{
	char *other = part_of("vm-2", 4, 9);
	struct world w;

	world_open(&w, STORE_CONFLICT);
	played.standing = other;
	played.standing_revision = 20;
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_EQUAL(played.commits, 1);
	CU_ASSERT_FALSE(held0(&w));
	g_free(other);
}

/*
 * A team is refused in a whole data centre for the 12 s of a lease though the VM is back after one.
 * The part still stands in the name of its former process, which has surely ended.
 */
static void test_a_restarted_vm_takes_its_part_back(void)
{
	char *former = part_of("vm-1", 4, 9);
	struct store_item item = {.key = KEY0, .value = former, .revision = 20};
	struct world w;

	world_open(&w, STORE_DONE);
	store_source.listeners[0].cb(&item, w.parts);
	list(&w, 5, former);
	run(&w);
	CU_ASSERT_EQUAL(played.commits, 1);
	CU_ASSERT_EQUAL(played.guard, 20);
	CU_ASSERT_TRUE(held0(&w));
	CU_ASSERT_EQUAL(parts_inherited(w.parts), 1);
	g_free(former);
}

/* The store wrote the claim and its answer was lost: the next claim finds the own value there. */
static void test_a_claim_whose_answer_was_lost_is_found(void)
{
	struct world w;

	world_open(&w, STORE_UNKNOWN);
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_FALSE(held0(&w));
	list(&w, 6, played.value);
	run(&w);
	CU_ASSERT_TRUE(held0(&w));
}

/*
 * A team's rate would be passed: the lease has ended, so the store may have given the part to
 * another VM. It is not spent any more, also when a new lease is there before the news.
 */
static void test_a_part_ends_with_its_lease(void)
{
	struct store_item item = {.key = KEY0, .revision = 40};
	struct world w;

	world_open(&w, STORE_DONE);
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_TRUE(held0(&w));
	store_source.lease_until_us = now_us() - 1;
	CU_ASSERT_FALSE(held0(&w));
	store_source.lease = LEASE + 1;
	store_source.lease_until_us = now_us() + USEC_PER_SEC;
	CU_ASSERT_FALSE(held0(&w));
	/* What this process spent before may not be spent again: nothing is inherited. */
	item.value = played.value;
	store_source.listeners[0].cb(&item, w.parts);
	run(&w);
	CU_ASSERT_TRUE(held0(&w));
	CU_ASSERT_EQUAL(parts_inherited(w.parts), 0);
}

/* Guards against a part that the store has lost being spent beside its next holder. */
static void test_a_part_of_a_former_era_is_claimed_again(void)
{
	struct world w;

	world_open(&w, STORE_DONE);
	store_source.era.now = store_source.lease_era = 1;
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_TRUE(held0(&w));
	/* Others know that this VM may go on until its lease of that era ends. */
	era_observe(&store_source.era, 2, now_us());
	CU_ASSERT_TRUE(held0(&w));
	store_source.lease_era = 2;
	CU_ASSERT_FALSE(held0(&w));
	list(&w, 6, played.value);
	run(&w);
	CU_ASSERT_EQUAL(played.commits, 2);
	CU_ASSERT_EQUAL(played.guard, 0);
	CU_ASSERT_TRUE(held0(&w));
}

/* Guards against a part being claimed whose holder has only been lost by the store. */
static void test_a_free_part_waits_until_the_era_is_settled(void)
{
	struct world w;

	world_open(&w, STORE_DONE);
	store_source.era = (struct era){.now = 2, .since_us = now_us()};
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_EQUAL(played.commits, 0);
	store_source.era.since_us -= LEASE_TTL_US;
	run(&w);
	CU_ASSERT_EQUAL(played.commits, 1);
	CU_ASSERT_TRUE(held0(&w));
}

static const struct test_case cases[] = {
	{"a_free_part_is_claimed_under_the_lease", test_a_free_part_is_claimed_under_the_lease},
	{"a_part_of_another_vm_is_left_alone", test_a_part_of_another_vm_is_left_alone},
	{"a_lost_claim_holds_nothing", test_a_lost_claim_holds_nothing},
	{"a_restarted_vm_takes_its_part_back", test_a_restarted_vm_takes_its_part_back},
	{"a_claim_whose_answer_was_lost_is_found", test_a_claim_whose_answer_was_lost_is_found},
	{"a_part_ends_with_its_lease", test_a_part_ends_with_its_lease},
	{"a_part_of_a_former_era_is_claimed_again", test_a_part_of_a_former_era_is_claimed_again},
	{"a_free_part_waits_until_the_era_is_settled",
	 test_a_free_part_waits_until_the_era_is_settled},
};
HARNESS_MAIN("parts", cases)
