/** @file test-parts.c Claims of fixed parts of rates, against a fake store. */
#include "fleet-store-source.h"
#include "harness.h"
#include "parts.h"

#include <string.h>

#define SELF "127.0.0.1:1"
#define KEY0 FLEET_STORE_PARTS "dc/0"
#define LEASE 7
/** Long enough for a list of VMs and a claim: some loop iterations and a tick of 100 ms. */
#define SETTLE_MS 350

/** The last request for part 0 to the fake store, and the answer that it gives. */
static struct {
	struct store store;
	enum store_status status;
	const char *conflict_value; /**< value of the key that a conflict returns, or NULL */
	uint64_t conflict_revision;
	unsigned commits;
	uint64_t guard;
	uint64_t lease;
	char *value;
} fake;

static struct store_call *fake_commit(struct store *s, const struct store_guard *guards,
				      unsigned n_guards, const struct store_write *writes,
				      unsigned n_writes, store_done cb, void *arg)
{
	struct store_answer a = {.status = STORE_REFUSED};
	struct store_item item = {.key = KEY0, .revision = fake.conflict_revision};

	a.items = g_ptr_array_new();
	if (strcmp(writes[0].key, KEY0) == 0) {
		fake.commits++;
		fake.guard = guards[0].revision;
		fake.lease = writes[0].lease;
		g_free(fake.value);
		fake.value = g_strdup(writes[0].value);
		a.status = fake.status;
		a.revision = era_revision(store_source.era.now, 30);
		item.value = (char *)fake.conflict_value;
		if (a.status == STORE_CONFLICT && fake.conflict_value != NULL)
			g_ptr_array_add(a.items, &item);
	}
	cb(&a, arg);
	g_ptr_array_unref(a.items);
	return NULL;
}

static const struct store_ops fake_ops = {.commit = fake_commit};

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
	g_free(fake.value);
	memset(&fake, 0, sizeof(fake));
	fake.store.ops = &fake_ops;
	fake.status = status;
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
	store_source.store = &fake.store;
	store_source.lease = LEASE;
	store_source.registered = true;
	store_source.registration = 1;
	store_source.lease_until_us = now_us() + 10 * USEC_PER_SEC;
	CU_ASSERT_TRUE(s->ops->start(s, NULL));
}

/** Delivers a list of VMs with this VM, and with @a part0 as the entry of part 0. */
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
	/* Before the list of VMs arrives, other holders are not known. */
	CU_ASSERT_EQUAL(fake.commits, 0);
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_EQUAL(fake.commits, 1);
	CU_ASSERT_EQUAL(fake.guard, 0);
	CU_ASSERT_EQUAL(fake.lease, LEASE);
	CU_ASSERT_TRUE(held0(&w));
	CU_ASSERT_EQUAL(parts_inherited(w.parts), 0);
	/* The list of VMs shows the holder to all VMs. */
	list(&w, 6, fake.value);
	CU_ASSERT_STRING_EQUAL(fleet_part(fleet_of(w.k), "dc", 0)->vm, "vm-1");
	CU_ASSERT_PTR_NULL(fleet_part(fleet_of(w.k), "dc", 1));
}

/* Guards against two VMs spending the same part, which would exceed a team's rate. */
static void test_a_part_of_another_vm_is_left_alone(void)
{
	char *other = part_of("vm-2", 4, 9);
	struct world w;

	world_open(&w, STORE_DONE);
	list(&w, 5, other);
	run(&w);
	CU_ASSERT_EQUAL(fake.commits, 0);
	CU_ASSERT_FALSE(held0(&w));
	g_free(other);
}

/* Guards against spending a part whose claim conflicted with the key of another VM. */
static void test_a_lost_claim_holds_nothing(void)
{
	char *other = part_of("vm-2", 4, 9);
	struct world w;

	world_open(&w, STORE_CONFLICT);
	fake.conflict_value = other;
	fake.conflict_revision = 20;
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_EQUAL(fake.commits, 1);
	CU_ASSERT_FALSE(held0(&w));
	g_free(other);
}

/*
 * Guards against a team being refused in a whole data centre for the 12 s of a lease although its
 * VM restarted within 1 s: the part's key still names the VM's previous process, which has ended.
 */
static void test_a_restarted_vm_takes_its_part_back(void)
{
	char *previous = part_of("vm-1", 4, 9);
	struct store_item item = {.key = KEY0, .value = previous, .revision = 20};
	struct world w;

	world_open(&w, STORE_DONE);
	store_source.listeners[0].cb(&item, w.parts);
	list(&w, 5, previous);
	run(&w);
	CU_ASSERT_EQUAL(fake.commits, 1);
	CU_ASSERT_EQUAL(fake.guard, 20);
	CU_ASSERT_TRUE(held0(&w));
	CU_ASSERT_EQUAL(parts_inherited(w.parts), 1);
	g_free(previous);
}

/*
 * Guards against a part staying unused when the store wrote the claim but the answer was lost. The
 * list of VMs then shows this VM's own key.
 */
static void test_a_claim_whose_answer_was_lost_is_found(void)
{
	struct world w;

	world_open(&w, STORE_UNKNOWN);
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_FALSE(held0(&w));
	list(&w, 6, fake.value);
	run(&w);
	CU_ASSERT_TRUE(held0(&w));
}

/*
 * Guards against exceeding a team's rate: after the lease has ended the store may have given the
 * part to another VM. The part must not be spent, even if this VM has a new lease before it
 * receives the store's update of the key.
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
	/* This process has already spent tokens of the part, so no unspent ones are credited. */
	item.value = fake.value;
	store_source.listeners[0].cb(&item, w.parts);
	run(&w);
	CU_ASSERT_TRUE(held0(&w));
	CU_ASSERT_EQUAL(parts_inherited(w.parts), 0);
}

/*
 * Guards against two holders of a part: a store that came back from an older copy has lost the key,
 * and may give the part to another VM.
 */
static void test_a_part_of_an_earlier_era_is_claimed_again(void)
{
	struct world w;

	world_open(&w, STORE_DONE);
	store_source.era.now = store_source.lease_era = 1;
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_TRUE(held0(&w));
	/* Other VMs allow this VM to go on until its lease of the earlier era ends. */
	era_observe(&store_source.era, 2, now_us());
	CU_ASSERT_TRUE(held0(&w));
	store_source.lease_era = 2;
	CU_ASSERT_FALSE(held0(&w));
	list(&w, 6, fake.value);
	run(&w);
	CU_ASSERT_EQUAL(fake.commits, 2);
	CU_ASSERT_EQUAL(fake.guard, 0);
	CU_ASSERT_TRUE(held0(&w));
}

/*
 * Guards against claiming a part whose holder still has a lease, when a store that came back from
 * an older copy has lost the key. The claim waits until all leases of the earlier era have ended.
 */
static void test_a_free_part_waits_until_the_era_is_settled(void)
{
	struct world w;

	world_open(&w, STORE_DONE);
	store_source.era = (struct era){.now = 2, .since_us = now_us()};
	list(&w, 5, "");
	run(&w);
	CU_ASSERT_EQUAL(fake.commits, 0);
	store_source.era.since_us -= LEASE_TTL_US;
	run(&w);
	CU_ASSERT_EQUAL(fake.commits, 1);
	CU_ASSERT_TRUE(held0(&w));
}

static const struct test_case cases[] = {
	{"a_free_part_is_claimed_under_the_lease", test_a_free_part_is_claimed_under_the_lease},
	{"a_part_of_another_vm_is_left_alone", test_a_part_of_another_vm_is_left_alone},
	{"a_lost_claim_holds_nothing", test_a_lost_claim_holds_nothing},
	{"a_restarted_vm_takes_its_part_back", test_a_restarted_vm_takes_its_part_back},
	{"a_claim_whose_answer_was_lost_is_found", test_a_claim_whose_answer_was_lost_is_found},
	{"a_part_ends_with_its_lease", test_a_part_ends_with_its_lease},
	{"a_part_of_an_earlier_era_is_claimed_again",
	 test_a_part_of_an_earlier_era_is_claimed_again},
	{"a_free_part_waits_until_the_era_is_settled",
	 test_a_free_part_waits_until_the_era_is_settled},
};
HARNESS_MAIN("parts", cases)
