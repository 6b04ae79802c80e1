/** @file test-owner.c The owner of a group, with members that a test plays. */
#include "harness-owner.h"
#include "session.h"

#include <stdlib.h>
#include <string.h>

static void on_ran(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_run_res *res = arg_res;
	struct world *w = arg;

	w->outcome = (enum outcome)res->outcome;
}

static void read_by(struct world *w, enum owner_reader reader, unsigned max_age_ms,
		    unsigned deadline_ms)
{
	ml_run_args a = {.request = "r1",
			 .team = "t",
			 .pool = POOL,
			 .text = "READ a",
			 .operand = "",
			 .shape = "",
			 .op = STATEMENT_READ,
			 .mode = READ_BOUNDED,
			 .reader = (int)reader};

	a.max_age_us = max_age_ms * USEC_PER_MSEC;
	a.deadline_us = deadline_ms * USEC_PER_MSEC;
	w->outcome = OUTCOMES;
	rpc_start(rpc_of(w->k), SELF, ML_RUN, &a, USEC_PER_SEC, on_ran, w);
	world_turn(w);
}

static void read_locally(struct world *w, unsigned max_age_ms, unsigned deadline_ms)
{
	read_by(w, READER_ANY, max_age_ms, deadline_ms);
}

/** As the VM that reads for its data centre. */
static void read_near(struct world *w)
{
	read_by(w, READER_NEAR, 1500, 800);
}

static void test_a_read_asks_for_the_position_that_it_needs(void)
{
	struct world w;

	world_open(&w);
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us() - 100 * USEC_PER_MSEC);
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(fake.n_conns, 1);
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_DONE, (struct pos){1, 23},
			      fake.conns[0]->arg);
	CU_ASSERT_EQUAL(fake.n_sent, 1);
	CU_ASSERT_EQUAL(fake.sent[0].wait_for.lsn, 35);
}

/* Nothing as new as the route asks for is known: no member may be asked at all. */
static void test_old_knowledge_serves_no_read(void)
{
	struct world w;

	world_open(&w);
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us() - 2 * USEC_PER_SEC);
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(fake.n_conns, 0);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_NOT_SENT);
}

/*
 * A caller gets data older than its route allows. Its read waits for a connection to open;
 * meanwhile this VM claims the group, and what it knew of the newest write is dropped with the
 * claim. When the connection opens no position is known, and the read went out without one to a
 * replica that lacks recent writes. It has to wait until a position is known again.
 */
static void test_a_read_is_not_sent_without_a_position(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(fake.n_conns, 1);
	g = og_find(w.o, POOL);
	marks_clear(&g->marks);
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_DONE, (struct pos){1, 23},
			      fake.conns[0]->arg);
	CU_ASSERT_EQUAL(fake.n_sent, 0);
	CU_ASSERT_EQUAL(w.outcome, OUTCOMES);
	marks_new_term(&g->marks, (struct pos){1, 35}, now_us());
	test_sleep_ms(10);
	queue_tick(g, now_us());
	/* The first member has just told that it lacks the position: another one is tried. */
	CU_ASSERT_EQUAL(fake.n_conns, 2);
	fake.conns[1]->opened(&fake.conns[1]->conn, MEMBER_DONE, (struct pos){1, 36},
			      fake.conns[1]->arg);
	CU_ASSERT_EQUAL(fake.n_sent, 1);
	CU_ASSERT_EQUAL(fake.sent[0].wait_for.lsn, 35);
}

/*
 * Callers' writes are refused for seconds in a planned change. The store turns the owner away just
 * when its primary is to leave; it had stopped serving before it tried to write the change to the
 * record. The record is written first now, and as long as that fails the old primary goes on.
 */
static void test_a_planned_change_that_cannot_be_written_stops_nothing(void)
{
	int64_t until = test_now_ms() + 5000;
	struct owner_group *g;
	struct world w;
	unsigned before;

	g = world_serve(&w);
	fake.store_refuses = true;
	before = fake.n_commits;
	set_leaving(&w, "m0");
	while (fake.n_commits == before && test_now_ms() < until) {
		event_base_loop(w.k->base, EVLOOP_ONCE);
		answer_looks(10);
	}
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_EQUAL(og_wait_us(g, now_us()), 0);
	fake.store_refuses = false;
	turn_until(&w, g, OWNER_ORDERING);
	CU_ASSERT_STRING_NOT_EQUAL(g->record.target, "m0");
	CU_ASSERT_EQUAL(g->record.floor, 1);
	world_close(&w);
}

/** One turn in which the replicas answer a caller's read each, and all looks are answered. */
static void turn_with_reads(struct world *w, struct owner_group *g)
{
	event_base_loop(w->k->base, EVLOOP_ONCE);
	watch_heard(&g->member[1], (struct pos){1, 10}, now_us());
	watch_heard(&g->member[2], (struct pos){1, 10}, now_us());
	answer_looks(10);
}

/*
 * A leaving primary is still used when it stops, and its callers' writes are lost. Replicas that
 * serve reads all the time are heard without a look, so none was looked at, and without a fresh
 * look none could be chosen. A primary that is to leave makes looks due at once.
 */
static void test_replicas_that_serve_reads_can_follow_a_leaving_primary(void)
{
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	g->member[1].seen_us -= 10 * USEC_PER_SEC;
	g->member[2].seen_us -= 10 * USEC_PER_SEC;
	set_leaving(&w, "m0");
	while (g->state != OWNER_ORDERING && test_now_ms() < until)
		turn_with_reads(&w, g);
	CU_ASSERT_EQUAL(g->state, OWNER_ORDERING);
	CU_ASSERT_STRING_NOT_EQUAL(g->record.target, "m0");
	world_close(&w);
}

/*
 * A member gets statements long after it said that it leaves. Its successor cannot be written to
 * the record, so the old primary goes on. That ends before the time is over that members are given
 * to leave: they stop then, and what they run would be lost.
 */
static void test_a_leaving_primary_is_not_used_for_longer_than_it_may(void)
{
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	fake.store_refuses = true;
	set_leaving(&w, "m0");
	g->member[0].leaving_us -= 6 * USEC_PER_SEC;
	while (g->state == OWNER_SERVING && test_now_ms() < until)
		turn_with_reads(&w, g);
	CU_ASSERT_NOT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_TRUE(og_wait_us(g, now_us()) > 0);
	fake.store_refuses = false;
	world_close(&w);
}

/*
 * Callers' reads are refused as not for a primary, while a member that could serve them is idle. A
 * VM that has given the group away still remembers who led; a read that it took to that member for
 * itself counted as one for its primary, which it may not send to, and came back again and again.
 */
static void test_a_former_owner_reads_at_the_former_primary(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	claim_stop(g, "asked");
	CU_ASSERT_EQUAL(g->state, OWNER_NONE);
	g_strlcpy(g->record.owner.name, "vm-2", sizeof(g->record.owner.name));
	g->member[1].down = g->member[2].down = true;
	owner_told_mark(w.o, POOL, (struct pos){1, 10}, now_us());
	read_locally(&w, 1500, 800);
	answer_looks(10);
	CU_ASSERT_EQUAL(fake.n_sent, 1);
	CU_ASSERT_EQUAL(w.outcome, OUTCOMES);
	world_close(&w);
}

/*
 * Callers' reads wait to their deadline for nothing. A VM has claimed a group whose primary it does
 * not reach, and knows no position; another sender's lease has to end before a primary is made. The
 * reads cannot be served by then, so they are refused at once, with when to come back.
 */
static void test_reads_that_no_position_will_come_for_are_refused_at_once(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	marks_clear(&g->marks);
	og_state(g, OWNER_FENCING, "test");
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_NOT_PRIMARY);
	world_close(&w);
}

/*
 * A group goes without writes for seconds. Its primary fell silent, a successor was written to the
 * record, the promoter refused it; then the old primary is back and has the newest log. Ordering
 * its promotion changes nothing, so a replica that has all of it must be chosen.
 */
static void test_a_primary_that_is_back_is_not_promoted(void)
{
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	g_strlcpy(g->record.target, "m1", sizeof(g->record.target));
	g->record.floor = 1;
	change_begin(g, false, "test");
	while (g->state != OWNER_ORDERING && test_now_ms() < until)
		turn_with_reads(&w, g);
	CU_ASSERT_EQUAL(g->state, OWNER_ORDERING);
	CU_ASSERT_STRING_NOT_EQUAL(g->record.target, "m0");
	world_close(&w);
}

/*
 * All statements through one VM are refused for as long as it runs. It was the one to claim a group
 * for a moment and asked the owner in vain; then the owner was heard again and another VM is next
 * in line. Statements have to go to the owner again.
 */
static void test_an_owner_that_is_heard_again_is_asked_again(void)
{
	const struct vm_listing l[] = {
		{.name = "vm-1", .address = SELF, .data_center = "dc"},
		{.name = "vm-2", .address = "127.0.0.1:2", .data_center = "dc"}};
	struct owner_group *g;
	struct peers *peers;
	struct world w;
	bool known;

	world_open(&w);
	g = og_find(w.o, POOL);
	peers = &fleet_of(w.k)->peers;
	peers_list(peers, 5, l, G_N_ELEMENTS(l));
	g_strlcpy(g->record.owner.name, "vm-2", sizeof(g->record.owner.name));
	g_strlcpy(g->record.address, "127.0.0.1:2", sizeof(g->record.address));
	g->record.owner.incarnation = 9;
	g->revision = 3;
	g->owner_lost = true;
	peers_suspect(peers, peers_find(peers, "vm-2"));
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(g->owner_lost);
	peers_heard(peers_find(peers, "vm-2"), 9, 1);
	claim_tick(g, now_us());
	CU_ASSERT_STRING_EQUAL(owner_address(w.o, POOL, &known), "127.0.0.1:2");
	CU_ASSERT_TRUE(known);
}

/*
 * A small team's callers are refused through one VM for good. All their statements wait for tokens
 * there; one found no owner, for a moment. That must not be held against the later ones, none of
 * which would be sent to find the owner back.
 */
static void test_one_failure_does_not_refuse_all_that_follows(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = og_find(w.o, POOL);
	owner_took(w.o, POOL, false);
	g->untaken_us -= 5 * USEC_PER_SEC;
	CU_ASSERT_TRUE(owner_untaken_us(w.o, POOL) >= 5 * USEC_PER_SEC);
	g->untaken_last_us -= 2 * USEC_PER_SEC;
	CU_ASSERT_EQUAL(owner_untaken_us(w.o, POOL), 0);
	CU_ASSERT_TRUE(owner_took(w.o, POOL, false) < USEC_PER_SEC);
}

/*
 * Each VM that starts reads the record of each group: at 81 VMs and 8 groups more than a third of
 * all calls to the store. Only the VM that is to claim the group needs it, or one that was told of
 * a newer record.
 */
static void test_only_who_may_claim_reads_the_record(void)
{
	struct owner_group *g;
	struct peers *peers;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	peers = &fleet_of(w.k)->peers;
	fake.n_gets = 0;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, 0);
	owner_heard(w.o, POOL, "vm-1", SELF, 9);
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, 1);
	/* The other VM is gone: this one is to claim the group. */
	record_outdated(g);
	g->outdated = false;
	peers_suspect(peers, peers_find(peers, "vm-9"));
	fleet_members_changed(fleet_of(w.k));
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, 2);
}

/*
 * Callers' writes are refused for nine seconds. The owner's VM lost its power, and so did the
 * primary, which is back after three; but the change of primary had begun, and waits until the
 * lease of the former owner has run out. Nothing was ordered yet, so the primary goes on.
 */
static void test_a_primary_that_is_back_before_the_order_goes_on(void)
{
	const struct lead_vm other = {.name = "vm-9", .incarnation = 5};
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	lead_add_sender(&g->record, &other);
	change_begin(g, false, "silent");
	CU_ASSERT_EQUAL(g->state, OWNER_FENCING);
	/* The store still has the other VM's key. */
	g->fence_next_us = now_us() + 10 * USEC_PER_SEC;
	/* What was seen before the change does not count. */
	change_tick(g, now_us());
	CU_ASSERT_EQUAL(g->state, OWNER_FENCING);
	while (g->state == OWNER_FENCING && test_now_ms() < until) {
		event_base_loop(w.k->base, EVLOOP_ONCE);
		answer_looks(10);
	}
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_EQUAL(g->primary, 0);
	CU_ASSERT_EQUAL(g->record.target[0], '\0');
	world_close(&w);
}

/*
 * Callers' writes are refused for three seconds more than need be. A group whose primary was never
 * changed waits so long for one that lists itself late, as at the first start of all; but this one
 * has taken writes, so its primary is gone.
 */
static void test_a_group_that_was_written_to_does_not_wait_as_at_the_start(void)
{
	struct owner_group *g;
	struct world w;
	unsigned i;

	g = world_serve(&w);
	for (i = 0; i < g->n; i++)
		g->member[i].seen.primary = false;
	g->primary = -1;
	og_state(g, OWNER_FINDING, "test");
	g->state_us -= USEC_PER_SEC;
	change_tick(g, now_us());
	CU_ASSERT_NOT_EQUAL(g->state, OWNER_FINDING);
	og_state(g, OWNER_FINDING, "test");
	for (i = 0; i < g->n; i++)
		g->member[i].seen.received = (struct pos){1, 0};
	g->state_us -= USEC_PER_SEC;
	change_tick(g, now_us());
	CU_ASSERT_EQUAL(g->state, OWNER_FINDING);
	world_close(&w);
}

/*
 * All VMs lose power, and for three seconds their successors find the members full: what the former
 * processes held without need still counts there. A connection that no statement used for a while
 * is closed, one that is in use is not.
 */
/** A read on the member's first connection ends. */
static void end_read(struct fake_conn *c)
{
	const struct member_answer a = {.result = MEMBER_DONE,
					.state = TX_NONE,
					.message = "",
					.signature = "s",
					.rows = "",
					.pos = {1, 36}};

	c->answered(&c->conn, &a, c->arg);
}

static void test_an_unused_connection_is_closed(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = og_find(w.o, POOL);
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	read_locally(&w, 1500, 800);
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_DONE, (struct pos){1, 36},
			      fake.conns[0]->arg);
	conn_tick(&g->member[0], now_us() + USEC_PER_SEC);
	CU_ASSERT_FALSE(fake.conns[0]->closed);
	end_read(fake.conns[0]);
	conn_tick(&g->member[0], now_us());
	CU_ASSERT_FALSE(fake.conns[0]->closed);
	conn_tick(&g->member[0], now_us() + USEC_PER_SEC);
	CU_ASSERT_TRUE(fake.conns[0]->closed);
}

/* Hundreds of VMs that read for want of an owner use up the connections of all members. */
static void test_only_usual_readers_keep_connections(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = og_find(w.o, POOL);
	g->member[0].conf.connections = 135;
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	read_locally(&w, 1500, 800);
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_DONE, (struct pos){1, 36},
			      fake.conns[0]->arg);
	end_read(fake.conns[0]);
	conn_tick(&g->member[0], now_us() + USEC_PER_SEC);
	CU_ASSERT_TRUE(fake.conns[0]->closed);
	read_near(&w);
	fake.conns[1]->opened(&fake.conns[1]->conn, MEMBER_DONE, (struct pos){1, 36},
			      fake.conns[1]->arg);
	end_read(fake.conns[1]);
	conn_tick(&g->member[0], now_us() + USEC_PER_SEC);
	CU_ASSERT_FALSE(fake.conns[1]->closed);
	/* The member refuses one as too many: others want those that rest. */
	g->member[0].full_us = now_us();
	conn_tick(&g->member[0], now_us() + USEC_PER_SEC);
	CU_ASSERT_TRUE(fake.conns[1]->closed);
}

/*
 * Callers of a data centre without a member had each read carried to the owner, and from there to a
 * replica in a third one. The reader of their own data centre asks the replicas itself, and leaves
 * the primary to the writes that only its owner sees.
 */
static void test_a_reader_far_from_all_members_asks_replicas(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g_strlcpy(w.settings.data_center, "elsewhere", sizeof(w.settings.data_center));
	g = og_find(w.o, POOL);
	g_strlcpy(g->told_primary, "m0", sizeof(g->told_primary));
	owner_told_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	read_near(&w);
	CU_ASSERT_EQUAL_FATAL(fake.n_conns, 1);
	CU_ASSERT_STRING_EQUAL(fake.conns[0]->id, "m1");
	/* Without any replica the primary has to do. */
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_LOST, (struct pos){0},
			      fake.conns[0]->arg);
	g->member[1].down = g->member[2].down = true;
	test_sleep_ms(10);
	queue_tick(g, now_us());
	CU_ASSERT_EQUAL_FATAL(fake.n_conns, 2);
	CU_ASSERT_STRING_EQUAL(fake.conns[1]->id, "m0");
}

/* An owner that few VMs look at is cut off, and its group has none until its lease has ended. */
static void test_a_group_whose_owner_is_not_reached_is_claimed(void)
{
	struct store_item item = {
		.key = FLEET_STORE_PREFIX "group/" POOL,
		.value = "{\"vm\":\"vm-9\",\"incarnation\":\"5\",\"address\":\"127.0.0.1:2\"}",
		.revision = 3};
	ml_owner report = {
		.pool = POOL, .vm = "", .address = "", .primary = "", .unreachable = true};
	int64_t until = test_now_ms() + 2000;
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	store_source.listeners[0].cb(&item, w.o);
	fake.store_revision = item.revision;
	fake.n_commits = 0;
	claim_tick(g, now_us());
	world_turn(&w);
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_commits, 0);
	rpc_start(rpc_of(w.k), SELF, ML_OWNER, &report, USEC_PER_SEC, NULL, NULL);
	while (!og_mine(g) && test_now_ms() < until) {
		world_turn(&w);
		claim_tick(g, now_us());
		test_sleep_ms(5);
	}
	CU_ASSERT_TRUE(og_mine(g));
	CU_ASSERT_EQUAL(fake.n_commits, 1);
}

/* Callers wait for seconds after a loss of all VMs, though the group's owner is back. */
static void test_a_restarted_owner_takes_its_group_back(void)
{
	struct store_item item = {
		.key = FLEET_STORE_PREFIX "group/" POOL,
		.value = "{\"vm\":\"vm-1\",\"incarnation\":\"5\",\"address\":\"" SELF "\"}",
		.revision = 3};
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	store_source.listeners[0].cb(&item, w.o);
	fake.store_revision = item.revision;
	fake.n_gets = fake.n_commits = 0;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, 0);
	CU_ASSERT_EQUAL(fake.n_commits, 1);
	CU_ASSERT_TRUE(og_mine(g));
	/* Another VM's group is left to its successor. */
	world_open(&w);
	g = world_join(&w);
	item.value = "{\"vm\":\"vm-9\",\"incarnation\":\"5\",\"address\":\"127.0.0.1:2\"}";
	store_source.listeners[0].cb(&item, w.o);
	fake.n_commits = 0;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_commits, 0);
}

/*
 * Guards against a promotion beside an owner that serves: a VM that has not heard of the owner's
 * restart takes the new process, which the record names, for one that has ended.
 */
static void test_an_owner_is_not_taken_for_its_former_process(void)
{
	struct vm_listing l[] = {
		{.name = "vm-1", .address = SELF, .data_center = "dc"},
		{.name = "vm-9", .address = "127.0.0.1:2", .data_center = "dc", .incarnation = 4}};
	struct store_item item = {
		.key = FLEET_STORE_PREFIX "group/" POOL,
		.value = "{\"vm\":\"vm-9\",\"incarnation\":\"5\",\"address\":\"127.0.0.1:2\"}",
		.revision = 30};
	struct owner_group *g;
	struct peers *peers;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	peers = &fleet_of(w.k)->peers;
	peers_list(peers, 29, l, G_N_ELEMENTS(l));
	store_source.listeners[0].cb(&item, w.o);
	fake.store_revision = item.revision;
	g->invited = true;
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(og_mine(g));
	CU_ASSERT_EQUAL(g->record.n, 1);
	/* A list as new as the record tells of a later process: that one has surely ended. */
	world_open(&w);
	g = world_join(&w);
	peers = &fleet_of(w.k)->peers;
	l[1].incarnation = 6;
	peers_list(peers, 31, l, G_N_ELEMENTS(l));
	store_source.listeners[0].cb(&item, w.o);
	fake.store_revision = item.revision;
	g->invited = true;
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(og_mine(g));
	CU_ASSERT_EQUAL(g->record.n, 0);
}

/** The record of another era, which does not name this VM's @a senders. */
static void restored_record(struct world *w, const char *senders)
{
	char *value = g_strdup_printf("{\"vm\":\"vm-9\",\"incarnation\":\"5\",\"address\":"
				      "\"127.0.0.1:2\",\"floor\":0,\"target\":\"\","
				      "\"senders\":[%s]}",
				      senders);
	struct store_item item = {.key = FLEET_STORE_PREFIX "group/" POOL,
				  .value = value,
				  .revision = era_revision(1, 3)};

	store_source.listeners[0].cb(&item, w->o);
	g_free(value);
}

/* Guards against a change of primary that does not wait for a sender whom a restore left out. */
static void test_a_sender_that_the_record_lost_stops(void)
{
	struct owner_group *g;
	struct world w;
	char *self;

	g = world_serve(&w);
	restored_record(&w, "");
	CU_ASSERT_FALSE(og_mine(g));
	CU_ASSERT_TRUE(g->yielded);
	world_close(&w);
	/* One that the record names is asked to stop, and may end its transactions before. */
	g = world_serve(&w);
	self = g_strdup_printf("{\"vm\":\"vm-1\",\"incarnation\":\"%lx\"}", w.k->incarnation);
	restored_record(&w, self);
	g_free(self);
	CU_ASSERT_FALSE(og_mine(g));
	CU_ASSERT_FALSE(g->yielded);
	world_close(&w);
}

/* Guards against all groups standing still while their owners read the records of a new era. */
static void test_an_owner_goes_on_under_its_former_lease(void)
{
	struct owner_group *g;
	struct world w;
	unsigned reads;

	g = world_serve(&w);
	CU_ASSERT_TRUE(og_may_send(g));
	fake.store_era = 1;
	store_source.lease_next_us = 0;
	source_lease_tick(now_us());
	CU_ASSERT_NOT_EQUAL(g->registration, fleet_store_registration(fleet_of(w.k)));
	CU_ASSERT_TRUE(og_may_send(g));
	/* It reads the record, and nothing is sent past the former lease before that. */
	reads = fake.n_gets;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, reads + 1);
	store_source.former_until_us = now_us();
	CU_ASSERT_FALSE(og_may_send(g));
	world_close(&w);
}

static const struct test_case cases[] = {
	{"a_group_whose_owner_is_not_reached_is_claimed",
	 test_a_group_whose_owner_is_not_reached_is_claimed},
	{"a_sender_that_the_record_lost_stops", test_a_sender_that_the_record_lost_stops},
	{"an_owner_goes_on_under_its_former_lease", test_an_owner_goes_on_under_its_former_lease},
	{"a_restarted_owner_takes_its_group_back", test_a_restarted_owner_takes_its_group_back},
	{"an_owner_is_not_taken_for_its_former_process",
	 test_an_owner_is_not_taken_for_its_former_process},
	{"a_primary_that_is_back_before_the_order_goes_on",
	 test_a_primary_that_is_back_before_the_order_goes_on},
	{"a_group_that_was_written_to_does_not_wait_as_at_the_start",
	 test_a_group_that_was_written_to_does_not_wait_as_at_the_start},
	{"only_usual_readers_keep_connections", test_only_usual_readers_keep_connections},
	{"an_unused_connection_is_closed", test_an_unused_connection_is_closed},
	{"a_reader_far_from_all_members_asks_replicas",
	 test_a_reader_far_from_all_members_asks_replicas},
	{"one_failure_does_not_refuse_all_that_follows",
	 test_one_failure_does_not_refuse_all_that_follows},
	{"an_owner_that_is_heard_again_is_asked_again",
	 test_an_owner_that_is_heard_again_is_asked_again},
	{"a_primary_that_is_back_is_not_promoted", test_a_primary_that_is_back_is_not_promoted},
	{"reads_that_no_position_will_come_for_are_refused_at_once",
	 test_reads_that_no_position_will_come_for_are_refused_at_once},
	{"a_former_owner_reads_at_the_former_primary",
	 test_a_former_owner_reads_at_the_former_primary},
	{"replicas_that_serve_reads_can_follow_a_leaving_primary",
	 test_replicas_that_serve_reads_can_follow_a_leaving_primary},
	{"a_leaving_primary_is_not_used_for_longer_than_it_may",
	 test_a_leaving_primary_is_not_used_for_longer_than_it_may},
	{"a_planned_change_that_cannot_be_written_stops_nothing",
	 test_a_planned_change_that_cannot_be_written_stops_nothing},
	{"a_read_asks_for_the_position_that_it_needs",
	 test_a_read_asks_for_the_position_that_it_needs},
	{"old_knowledge_serves_no_read", test_old_knowledge_serves_no_read},
	{"a_read_is_not_sent_without_a_position", test_a_read_is_not_sent_without_a_position},
	{"only_who_may_claim_reads_the_record", test_only_who_may_claim_reads_the_record},
};
HARNESS_MAIN("owner", cases)
