/** @file test-page.c Paged transfer of a configuration, and its duration in a large fleet. */
#include "harness.h"
#include "page.h"

#include <stdio.h>
#include <string.h>

static uint64_t seed = 5;

static unsigned random_below(unsigned n)
{
	seed = seed * UINT64_C(6364136223846793005) + UINT64_C(1442695040888963407);
	return (unsigned)((seed >> 33) % n);
}

/* Assembling the pages */

#define IDS 40
#define SENDERS 3

/** Make a random update with a higher version that sets some entries and removes others. */
static void change(struct conf *c, struct conf_update *u)
{
	unsigned i, n = 1 + random_below(6);

	u->base = c->version;
	u->version = c->version + 1 + random_below(3);
	u->full = false;
	u->entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < n; i++) {
		char id[16], text[16];

		/* Each entry occurs once in an update. */
		g_snprintf(id, sizeof(id), "team/%u", i * (IDS / 8) + random_below(IDS / 8));
		g_snprintf(text, sizeof(text), "%u", random_below(1000));
		g_ptr_array_add(u->entries, conf_entry_create(CONF_POOL, id, u->version,
							      random_below(4) > 0 ? text : NULL));
	}
}

static bool same(const struct conf *a, const struct conf *b)
{
	GHashTableIter iter;
	gpointer id, value;

	if (a->version != b->version ||
	    g_hash_table_size(a->entries) != g_hash_table_size(b->entries))
		return false;
	g_hash_table_iter_init(&iter, a->entries);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct conf_entry *x = value, *y = g_hash_table_lookup(b->entries, id);

		if (y == NULL || x->version != y->version || strcmp(x->text, y->text) != 0)
			return false;
	}
	return true;
}

/** Bring @a behind up to the version of @a newest with a single page. */
static void bring_up(struct conf *behind, struct conf *newest)
{
	struct page p;

	page_build(newest, behind->version, "", SIZE_MAX, &p);
	conf_apply(behind, &p.u);
	conf_update_clear(&p.u);
}

/** Fetch pages into @a conf from several senders, whose configuration changes meanwhile. */
static void fetch(struct conf *conf, struct conf *const *senders, struct conf *newest)
{
	struct page_fetch f = {0};
	enum page_verdict v = PAGE_NEXT;
	struct conf_update u;
	unsigned tries;

	for (tries = 0; v != PAGE_COMPLETE && tries < 2000; tries++) {
		struct conf *from = tries < 500 ? senders[random_below(SENDERS)] : newest;
		struct page p;

		if (tries < 300 && random_below(4) == 0) {
			change(newest, &u);
			CU_ASSERT_EQUAL(conf_apply(newest, &u), CONF_APPLIED);
			conf_update_clear(&u);
		}
		if (random_below(3) == 0)
			bring_up(senders[random_below(SENDERS)], newest);
		page_fetch_begin(&f, conf->version);
		page_build(from, f.base, f.after, 20, &p);
		if (p.u.version > conf->version)
			v = page_fetch_add(&f, &p);
		conf_update_clear(&p.u);
	}
	CU_ASSERT_EQUAL_FATAL(v, PAGE_COMPLETE);
	page_fetch_end(&f, &u);
	CU_ASSERT_EQUAL(conf_apply(conf, &u), CONF_APPLIED);
	conf_update_clear(&u);
}

/*
 * Guards against a mixture of versions on a VM: it fetches pages of one version from one sender and
 * of other versions from others, and assembles a configuration that no operator ever wrote.
 */
static void test_pages_of_changing_senders_make_one_version(void)
{
	unsigned run, i;

	for (run = 0; run < 300; run++) {
		struct conf *senders[SENDERS], *newest = conf_create(), *conf = conf_create();
		struct conf_update u;

		for (i = 0; i < SENDERS; i++)
			senders[i] = conf_create();
		for (i = 0; i < 30; i++) {
			change(newest, &u);
			conf_apply(newest, &u);
			if (i == run % 30)
				conf_apply(conf, &u);
			conf_update_clear(&u);
		}
		fetch(conf, senders, newest);
		/* One update later, the configuration equals the newest. */
		bring_up(conf, newest);
		CU_ASSERT_TRUE(same(conf, newest));
		for (i = 0; i < SENDERS; i++)
			conf_free(senders[i]);
		conf_free(newest);
		conf_free(conf);
	}
}

/* Guards against heartbeats that are delayed behind pages which a VM sends to many peers at once.
 */
static void test_a_vm_sends_to_few_peers_at_a_time(void)
{
	struct page_peers p = {0};
	uint64_t conn;

	for (conn = 1; conn <= PAGE_PEERS_MAX; conn++)
		CU_ASSERT_TRUE(page_peer_admit(&p, conn, 1));
	CU_ASSERT_FALSE(page_peer_admit(&p, conn, 2));
	CU_ASSERT_TRUE(page_peer_admit(&p, 1, 3));
	page_peer_done(&p, 1);
	CU_ASSERT_TRUE(page_peer_admit(&p, conn, 4));
	/* The slot of a peer that sends no further request is reused. */
	CU_ASSERT_TRUE(page_peer_admit(&p, 99, 5 * USEC_PER_SEC));
}

/* Simulation: a fleet on narrow links receives a large configuration */

#define VMS 300
#define SOURCES 10
#define CONF_BYTES 700000.0
#define PAGE_BYTES 131072.0
#define LINK_BYTES_PER_S 1250000.0
#define STEP_MS 10
#define CONTACT_INTERVAL_MS 170
#define APPLY_DEADLINE_MS 6000
/** Default of the settings: a later answer to a heartbeat counts as missed. */
#define HEARTBEAT_S 0.5

struct vm {
	double received;
	int from; /**< VM that sends to it, or -1 */
	struct page_peers peers;
	unsigned sends;
};

/** A VM with the complete configuration contacts a random one, which then requests pages if needed.
 */
static void contact(struct vm *vms, unsigned v, int64_t now_us)
{
	unsigned other = random_below(VMS);

	if (vms[v].received < CONF_BYTES || vms[other].received >= CONF_BYTES ||
	    vms[other].from >= 0 || !page_peer_admit(&vms[v].peers, other + 1, now_us))
		return;
	vms[other].from = (int)v;
	vms[v].sends++;
}

/* Guards against a configuration that takes effect on some VMs after its deadline, or never. */
static void test_a_large_configuration_reaches_all_in_time(void)
{
	static struct vm vms[VMS];
	unsigned v, have = 0, ms;

	memset(vms, 0, sizeof(vms));
	for (v = 0; v < VMS; v++) {
		vms[v].from = -1;
		vms[v].received = v < SOURCES ? CONF_BYTES : 0;
	}
	for (ms = 0; have < VMS && ms < 60000; ms += STEP_MS) {
		int64_t now_us = ms * USEC_PER_MSEC + 1;

		have = 0;
		for (v = 0; v < VMS; v++) {
			struct vm *at = &vms[v];
			struct vm *from = at->from >= 0 ? &vms[at->from] : NULL;

			have += at->received >= CONF_BYTES ? 1 : 0;
			if (at->received >= CONF_BYTES && ms % CONTACT_INTERVAL_MS < STEP_MS)
				contact(vms, v, now_us);
			if (from == NULL)
				continue;
			at->received += LINK_BYTES_PER_S * STEP_MS / 1000 / from->sends;
			page_peer_admit(&from->peers, v + 1, now_us);
			if (at->received < CONF_BYTES)
				continue;
			page_peer_done(&from->peers, v + 1);
			from->sends--;
			at->from = -1;
		}
	}
	printf("%d VMs have %d KB after %u ms\n", VMS, (int)(CONF_BYTES / 1000), ms);
	CU_ASSERT_TRUE(ms < APPLY_DEADLINE_MS);
	/* Time that a heartbeat waits behind pages on the sender's link. */
	CU_ASSERT_TRUE(PAGE_PEERS_MAX * PAGE_BYTES / LINK_BYTES_PER_S < HEARTBEAT_S);
}

static const struct test_case cases[] = {
	{"pages_of_changing_senders_make_one_version",
	 test_pages_of_changing_senders_make_one_version},
	{"a_vm_sends_to_few_peers_at_a_time", test_a_vm_sends_to_few_peers_at_a_time},
	{"a_large_configuration_reaches_all_in_time",
	 test_a_large_configuration_reaches_all_in_time},
};
HARNESS_MAIN("page", cases)
