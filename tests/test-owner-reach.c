/**
 * @file test-owner-reach.c
 * An owner whose primary, or whose store, is reached by other VMs only, with the setting "relay".
 */
#include "harness-owner.h"
#include "relay.h"

#include <string.h>

/** Lists vm-1, which is this VM, and vm-8 and vm-9, at which nothing listens. */
static void list_peers(struct world *w)
{
	const struct vm_listing l[] = {
		{.name = "vm-1", .address = SELF, .data_center = "dc"},
		{.name = "vm-8", .address = "127.0.0.1:8", .data_center = "dc"},
		{.name = "vm-9", .address = "127.0.0.1:2", .data_center = "dc2", .incarnation = 4}};
	struct fleet *f = fleet_of(w->k);

	peers_apply_list(&f->peers, f->peers.revision + 1, l, G_N_ELEMENTS(l));
	fleet_members_changed(f);
	w->settings.relay = true;
}

static struct owner_group *serve(struct world *w)
{
	struct owner_group *g = world_serve(w);

	list_peers(w);
	return g;
}

/** Lets vm-8 and vm-9 have been asked just now, of which vm-9 reaches the primary. */
static void set_witnesses(struct owner_group *g)
{
	static const struct reach_answer answers[] = {
		{.vm = "vm-8", .answered = true},
		{.vm = "vm-9", .answered = true, .reaches = true}};

	memcpy(g->witness, answers, sizeof(answers));
	memset(g->witness_invited, 0, sizeof(g->witness_invited));
	g->n_witnesses = G_N_ELEMENTS(answers);
	g->others_asked_us = g->first_reached_us = now_us();
	g->others_pending = 0;
}

/* Guards against an owner without primary and store that writes a hand-over over and over. */
static void test_a_vm_that_reaches_the_primary_is_invited_without_the_store(void)
{
	struct owner_group *g;
	struct world w;
	unsigned commits;

	g = serve(&w);
	fake.store_refuses = true;
	commits = fake.n_commits;
	g->member[0].silent_since_us = now_us() - 600 * USEC_PER_MSEC;
	set_witnesses(g);
	/* Others that were asked have not answered: this must not be waited for. */
	g->witness[0].answered = false;
	g->others_pending = 1;
	watch_tick(g, now_us());
	CU_ASSERT_TRUE(g->witness_invited[1]);
	CU_ASSERT_TRUE(g->invited_us != 0);
	CU_ASSERT_EQUAL(fake.n_commits, commits);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	/* None of them takes the group for seconds: the primary is replaced. */
	g->member[0].silent_since_us -= 5 * USEC_PER_SEC;
	g->others_asked = true;
	watch_tick(g, now_us());
	CU_ASSERT_EQUAL(g->state, OWNER_FENCING);
	world_close(&w);
}

/* Guards against replacing a primary that only the new owner does not reach. */
static void test_a_new_owner_asks_who_reaches_the_primary(void)
{
	struct owner_group *g;
	struct world w;

	g = serve(&w);
	owner_group_set_state(g, OWNER_FINDING, "test");
	g->others_asked_us = 0;
	g->member[1].observed_us = g->member[2].observed_us = now_us();
	g->member[0].observed.reached = false;
	/* Asks about m0, the only member that does not answer. */
	g->state_us = now_us() - 200 * USEC_PER_MSEC;
	change_tick(g, now_us());
	CU_ASSERT_EQUAL(g->n_witnesses, 2);
	CU_ASSERT_EQUAL(g->witnessed, 0);
	set_witnesses(g);
	g->state_us = now_us() - 800 * USEC_PER_MSEC;
	change_tick(g, now_us());
	CU_ASSERT_TRUE(g->witness_invited[1]);
	CU_ASSERT_EQUAL(g->state, OWNER_FINDING);
	/* A VM that was invited itself does not pass the group on. */
	g->from_invitation = true;
	change_tick(g, now_us());
	CU_ASSERT_EQUAL(g->state, OWNER_FENCING);
	world_close(&w);
}

static void move_away(struct conf_pool *pool, const char *member)
{
	int i = conf_pool_find(pool, member);

	g_strlcpy(pool->member[i].data_center, "dc2", sizeof(pool->member[i].data_center));
}

/* Guards against a group that is given each 5 s to a VM that does not reach its primary. */
static void test_a_vm_near_the_primary_is_asked_before_it_gets_the_group(void)
{
	struct owner_group *g;
	struct world w;
	unsigned commits;

	g = serve(&w);
	world_configure(&w, move_away, "m0");
	g->state_us -= 10 * USEC_PER_SEC;
	g->member[0].silent_since_us = 0;
	commits = fake.n_commits;
	claim_move_to_primary(g, now_us());
	CU_ASSERT_TRUE(g->last_move_us != 0);
	CU_ASSERT_EQUAL(fake.n_commits, commits);
	CU_ASSERT_EQUAL(g->invited_us, 0);
	world_close(&w);
}

static void invite(struct world *w, uint64_t revision)
{
	ml_owner a = {.pool = POOL, .vm = "", .address = "", .primary = "", .claim = true};

	a.revision = revision;
	rpc_start(rpc_of(w->k), SELF, ML_OWNER, &a, USEC_PER_SEC, NULL, NULL);
	world_run_once(w);
}

/* Guards against a group that is taken from a VM that serves it, by a late invitation. */
static void test_an_invitation_is_not_followed_later(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	w.settings.relay = true;
	invite(&w, 3);
	CU_ASSERT_TRUE(g->invited);
	claim_tick(g, g->invited_until_us + 1);
	CU_ASSERT_FALSE(g->invited);
	invite(&w, 3);
	g->revision = 4;
	claim_tick(g, now_us());
	CU_ASSERT_FALSE(g->invited);
	world_close(&w);
}

/* Guards against a record that names a former owner which does not reach the store. */
static void test_a_former_owner_is_invited_back(void)
{
	struct owner_group *g;
	struct world w;
	unsigned commits;

	g = serve(&w);
	peers_record_contact(peers_find(&fleet_of(w.k)->peers, "vm-9"), 4, 1);
	change_begin(g, false, "test");
	g->member[0].observed.reached = false;
	g_strlcpy(g->succession.vm, "vm-9", sizeof(g->succession.vm));
	g->succession.incarnation = 4;
	g->succession.reported_us = now_us() - USEC_PER_SEC;
	g->succession.latest_contact_us = now_us();
	commits = fake.n_commits;
	change_tick(g, now_us());
	CU_ASSERT_TRUE(g->invited_us != 0);
	CU_ASSERT_EQUAL(fake.n_commits, commits);
	world_close(&w);
}

static bool hold_answers(void)
{
	return true;
}

/* Guards against a successor that waits for the store while other VMs reach it. */
static void test_a_report_is_passed_on_while_the_store_does_not_answer(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	w.settings.relay = true;
	fake.holds = hold_answers;
	g->unreachable_reported_us = now_us();
	claim_tick(g, now_us());
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(g->record_busy && g->report_sent_us == 0);
	g->record_busy_us -= 300 * USEC_PER_MSEC;
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(g->report_sent_us != 0);
	world_close(&w);
}

/* Guards against reports that reach all VMs, each of which sends several on for one it received. */
static void test_a_report_is_passed_on_once(void)
{
	struct owner_group *g;
	struct world w;
	int64_t sent_us;

	world_open(&w);
	g = world_join(&w);
	w.settings.relay = true;
	g->unreachable_reported_us = now_us() - 500 * USEC_PER_MSEC;
	claim_store_failed(g);
	CU_ASSERT_TRUE(g->report_sent_us != 0);
	/* The pause between two reports has passed. */
	sent_us = g->report_sent_us = now_us() - 300 * USEC_PER_MSEC;
	claim_store_failed(g);
	g->record_busy = true;
	g->record_busy_us = now_us() - 300 * USEC_PER_MSEC;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(g->report_sent_us, sent_us);
	/* Another one is received. */
	g->unreachable_reported_us = now_us();
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(g->report_sent_us != sent_us);
	world_close(&w);
}

/* Guards against a claim that never comes since each of many reports has the record read again. */
static void test_a_report_does_not_have_the_record_read_again(void)
{
	ml_owner a = {.pool = POOL, .vm = "", .address = "", .primary = "", .unreachable = true};
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	w.settings.relay = true;
	g->revision = a.revision = 3;
	g->record_loaded = true;
	g->store_failed_us = now_us() - USEC_PER_SEC;
	rpc_start(rpc_of(w.k), SELF, ML_OWNER, &a, USEC_PER_SEC, NULL, NULL);
	world_run_once(&w);
	CU_ASSERT_TRUE(g->unreachable_reported_us != 0 && g->report_sent_us != 0);
	CU_ASSERT_TRUE(g->record_loaded);
	world_close(&w);
}

/* Guards against repeated claims, of unknown outcome, by VMs that do not reach the store. */
static void test_a_vm_without_the_store_reads_before_it_claims_again(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	w.settings.relay = true;
	g->revision = 3;
	g->record_loaded = true;
	g->owner_lost = true;
	g->unreachable_reported_us = now_us();
	fake.store_refuses = true;
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(fake.n_commits == 1 && g->state == OWNER_NONE);
	g->next_call_us = 0;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_commits, 1);
	CU_ASSERT_EQUAL(g->state, OWNER_NONE);
	/* The record was read. */
	fake.store_refuses = false;
	g->record_loaded = true;
	g->next_call_us = 0;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_commits, 2);
	world_close(&w);
}

/* Guards against a group without an owner after a lease, or a choice, that the store missed. */
static void test_an_owner_without_the_store_invites_others(void)
{
	struct owner_group *g;
	struct world w;

	g = serve(&w);
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(g->invited_us, 0);
	store_source.lease_until_us = now_us() + 400 * USEC_PER_MSEC;
	set_witnesses(g);
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(g->invited_us != 0 && g->witness_invited[1]);
	g->invited_us = 0;
	owner_group_set_state(g, OWNER_RECORDING, "test");
	change_tick(g, now_us());
	CU_ASSERT_EQUAL(g->invited_us, 0);
	g->state_us -= 300 * USEC_PER_MSEC;
	change_tick(g, now_us());
	CU_ASSERT_TRUE(g->invited_us != 0);
	world_close(&w);
}

/* Guards against a group that a VM which does not reach its primary takes from one that does. */
static void test_a_working_group_goes_only_to_a_vm_that_reaches_its_primary(void)
{
	struct owner_group *g;
	struct world w;

	g = serve(&w);
	g->others_asked_us = 0;
	/* The store may be back before the lease ends. */
	set_witnesses(g);
	store_source.lease_until_us = now_us() + 1500 * USEC_PER_MSEC;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(g->invited_us, 0);
	g->others_asked_us = g->n_witnesses = 0;
	store_source.lease_until_us = now_us() + 800 * USEC_PER_MSEC;
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(g->n_witnesses == 2 && g->invited_us == 0);
	store_source.lease_until_us = now_us() + 400 * USEC_PER_MSEC;
	claim_tick(g, now_us());
	claim_invite(g, "planned-change-not-written");
	CU_ASSERT_EQUAL(g->invited_us, 0);
	/* They were asked about another member. */
	set_witnesses(g);
	g->witnessed = 1;
	claim_invite(g, "planned-change-not-written");
	CU_ASSERT_TRUE(g->invited_us == 0 && g->witnessed == 0);
	/* What others answered while the primary worked does not count once it is silent. */
	set_witnesses(g);
	g->others_asked = true;
	g->witness[1].reaches = false;
	g->first_reached_us = 0;
	g->others_asked_us -= 700 * USEC_PER_MSEC;
	g->member[0].silent_since_us = now_us() - 600 * USEC_PER_MSEC;
	watch_tick(g, now_us());
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	world_close(&w);
}

/* Guards against a group that its previous owner leaves alone after a restore of the store. */
static void test_an_earlier_invitation_does_not_end_the_claim_after_a_restore(void)
{
	struct owner_group *g;
	struct world w;
	unsigned commits;

	g = serve(&w);
	/* It had been invited to claim the group that it owns. */
	g->invited_until_us = now_us() - USEC_PER_SEC;
	store_source.era.now++;
	record_read(g);
	CU_ASSERT_TRUE(g->invited && g->state == OWNER_NONE && g->revision == 0);
	g->next_call_us = 0;
	commits = fake.n_commits;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_commits, commits + 1);
	world_close(&w);
}

static enum outcome relay_outcome;

static void serve_question(struct rpc_request *rq, const void *args, void *ctx)
{
	ml_relay_res res = {
		.run = {.message = "", .signature = "", .owner = "", .owner_address = ""}};

	res.run.outcome = (int)relay_outcome;
	rpc_reply(rq, &res);
}

/** Creates a VM at a free port. It answers while its event loop is run. */
static struct kernel *peer_open(struct settings *settings, char address[ADDRESS_SIZE])
{
	struct kernel *k = kernel_create(settings);
	int port;

	test_free_ports(&port, 1);
	g_snprintf(address, ADDRESS_SIZE, "127.0.0.1:%d", port);
	rpc_service_create(k);
	CU_ASSERT_TRUE_FATAL(rpc_listen(rpc_of(k), address, NULL));
	return k;
}

/** Lets this VM find out whether the owner is gone, after a report that it is not reached. */
static void check_reported_owner(struct world *w, struct owner_group *g, struct kernel *relay)
{
	int64_t until = test_now_ms() + 800;

	g->unreachable_reported_us = now_us();
	g->owner_asked_us = 0;
	claim_tick(g, now_us());
	while (!g->owner_lost && test_now_ms() < until) {
		event_base_loop(w->k->base, EVLOOP_NONBLOCK);
		event_base_loop(relay->base, EVLOOP_NONBLOCK);
		g_usleep(500);
	}
	claim_tick(g, now_us());
}

/* Guards against a group that is taken from an owner which only this VM does not reach. */
static void test_a_vm_that_alone_does_not_reach_the_owner_does_not_claim(void)
{
	static struct settings settings = {.silent_ms = 600, .relay = true};
	char relay_address[ADDRESS_SIZE], owner_address[ADDRESS_SIZE], record[256];
	struct vm_listing l[] = {{.name = "vm-1", .address = SELF, .data_center = "dc"},
				 {.name = "vm-8", .data_center = "dc"},
				 {.name = "vm-9", .data_center = "dc", .incarnation = 5}};
	struct store_item item = {
		.key = FLEET_STORE_PREFIX "group/" POOL, .value = record, .revision = 3};
	struct kernel *relay, *owner;
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	w.settings.relay = true;
	w.settings.silent_ms = 600;
	relay_service_create(w.k);
	relay = peer_open(&settings, relay_address);
	rpc_serve(rpc_of(relay), ML_RELAY, serve_question, NULL);
	owner = peer_open(&settings, owner_address);
	l[1].address = relay_address;
	l[2].address = owner_address;
	peers_apply_list(&fleet_of(w.k)->peers, 6, l, G_N_ELEMENTS(l));
	g_snprintf(record, sizeof(record),
		   "{\"vm\":\"vm-9\",\"incarnation\":\"5\",\"address\":\"%s\"}", owner_address);
	store_source.listeners[0].cb(&item, w.o);
	fake.n_commits = 0;

	relay_outcome = OUTCOME_DONE;
	check_reported_owner(&w, g, relay);
	CU_ASSERT_TRUE(!g->owner_lost && fake.n_commits == 0);
	relay_outcome = OUTCOME_NOT_SENT;
	check_reported_owner(&w, g, relay);
	CU_ASSERT_TRUE(fake.n_commits > 0);
	kernel_free(owner);
	kernel_free(relay);
	world_close(&w);
}

static const struct test_case cases[] = {
	{"a_vm_that_reaches_the_primary_is_invited_without_the_store",
	 test_a_vm_that_reaches_the_primary_is_invited_without_the_store},
	{"a_new_owner_asks_who_reaches_the_primary", test_a_new_owner_asks_who_reaches_the_primary},
	{"a_vm_near_the_primary_is_asked_before_it_gets_the_group",
	 test_a_vm_near_the_primary_is_asked_before_it_gets_the_group},
	{"a_former_owner_is_invited_back", test_a_former_owner_is_invited_back},
	{"an_invitation_is_not_followed_later", test_an_invitation_is_not_followed_later},
	{"a_report_is_passed_on_while_the_store_does_not_answer",
	 test_a_report_is_passed_on_while_the_store_does_not_answer},
	{"a_report_is_passed_on_once", test_a_report_is_passed_on_once},
	{"a_report_does_not_have_the_record_read_again",
	 test_a_report_does_not_have_the_record_read_again},
	{"a_vm_without_the_store_reads_before_it_claims_again",
	 test_a_vm_without_the_store_reads_before_it_claims_again},
	{"an_owner_without_the_store_invites_others",
	 test_an_owner_without_the_store_invites_others},
	{"a_working_group_goes_only_to_a_vm_that_reaches_its_primary",
	 test_a_working_group_goes_only_to_a_vm_that_reaches_its_primary},
	{"an_earlier_invitation_does_not_end_the_claim_after_a_restore",
	 test_an_earlier_invitation_does_not_end_the_claim_after_a_restore},
	{"a_vm_that_alone_does_not_reach_the_owner_does_not_claim",
	 test_a_vm_that_alone_does_not_reach_the_owner_does_not_claim},
};
HARNESS_MAIN("owner-reach", cases)
