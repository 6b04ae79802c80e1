/** @file test-owner.c The owner of a database group, with fake members. */
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
	world_run_once(w);
}

static void read_locally(struct world *w, unsigned max_age_ms, unsigned deadline_ms)
{
	read_by(w, READER_ANY, max_age_ms, deadline_ms);
}

/** Reads as the reader VM of a data centre. */
static void read_as_local_reader(struct world *w)
{
	read_by(w, READER_LOCAL, 1500, 800);
}

/** Delivers a record of owner @a vm that also names the senders of @a r. */
static void deliver_record(struct world *w, const char *vm, uint64_t incarnation,
			   const struct lead_record *r, uint64_t revision)
{
	GString *value = g_string_new(NULL);
	struct store_item item = {.key = FLEET_STORE_PREFIX "group/" POOL, .revision = revision};
	unsigned i;

	g_string_printf(value,
			"{\"vm\":\"%s\",\"incarnation\":\"%lx\",\"address\":\"127.0.0.1:2\","
			"\"floor\":0,\"target\":\"\",\"senders\":[",
			vm, incarnation);
	for (i = 0; i < r->n; i++)
		g_string_append_printf(value, "%s{\"vm\":\"%s\",\"incarnation\":\"%lx\"}",
				       i > 0 ? "," : "", r->sender[i].name,
				       r->sender[i].incarnation);
	g_string_append(value, "]}");
	item.value = value->str;
	fake.store_revision = revision;
	store_source.listeners[0].cb(&item, w->o);
	g_string_free(value, TRUE);
}

/*
 * Guards against data older than the route allows: the replica must be asked to wait for the
 * position of the mark.
 */
static void test_a_read_asks_for_the_position_that_it_needs(void)
{
	struct world w;

	world_open(&w);
	owner_update_mark(w.o, POOL, (struct pos){1, 35}, now_us() - 100 * USEC_PER_MSEC);
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(fake.n_conns, 1);
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_DONE, (struct pos){1, 23},
			      fake.conns[0]->arg);
	CU_ASSERT_EQUAL(fake.n_sent, 1);
	CU_ASSERT_EQUAL(fake.sent[0].wait_for.lsn, 35);
}

/*
 * Guards against data older than the route allows: if no mark is recent enough, no member may be
 * asked.
 */
static void test_read_without_recent_mark_is_refused(void)
{
	struct world w;

	world_open(&w);
	owner_update_mark(w.o, POOL, (struct pos){1, 35}, now_us() - 2 * USEC_PER_SEC);
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(fake.n_conns, 0);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_NOT_SENT);
}

/*
 * Guards against data older than the route allows. While a read waits for a connection to open,
 * this VM claims the group and drops its marks. The read was then sent without a position to a
 * replica that lacks recent writes. It has to wait for a new mark.
 */
static void test_a_read_is_not_sent_without_a_position(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	owner_update_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(fake.n_conns, 1);
	g = owner_group_find(w.o, POOL);
	marks_clear(&g->marks);
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_DONE, (struct pos){1, 23},
			      fake.conns[0]->arg);
	CU_ASSERT_EQUAL(fake.n_sent, 0);
	CU_ASSERT_EQUAL(w.outcome, OUTCOMES);
	marks_new_term(&g->marks, (struct pos){1, 35}, now_us());
	test_sleep_ms(10);
	queue_tick(g, now_us());
	/*
	 * The first member has reported a position below the required one, so another one is tried.
	 */
	CU_ASSERT_EQUAL(fake.n_conns, 2);
	fake.conns[1]->opened(&fake.conns[1]->conn, MEMBER_DONE, (struct pos){1, 36},
			      fake.conns[1]->arg);
	CU_ASSERT_EQUAL(fake.n_sent, 1);
	CU_ASSERT_EQUAL(fake.sent[0].wait_for.lsn, 35);
}

/*
 * Guards against refusing writes for seconds in a planned change. The store refuses the owner just
 * when its primary must leave, and the owner had stopped serving before it tried to write the
 * change to the record. The record is written first, and the old primary continues while that
 * fails.
 */
static void test_primary_serves_while_planned_change_is_not_recorded(void)
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
		answer_probes(10);
	}
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_EQUAL(owner_group_expected_wait_us(g, now_us()), 0);
	fake.store_refuses = false;
	run_until_state(&w, g, OWNER_ORDERING);
	CU_ASSERT_STRING_NOT_EQUAL(g->record.target, "m0");
	CU_ASSERT_EQUAL(g->record.term_floor, 1);
	world_close(&w);
}

/** Runs the loop once, with both replicas answering a read and all probes answered. */
static void run_once_with_reads(struct world *w, struct owner_group *g)
{
	event_base_loop(w->k->base, EVLOOP_ONCE);
	watch_answered(&g->member[1], (struct pos){1, 10}, now_us());
	watch_answered(&g->member[2], (struct pos){1, 10}, now_us());
	answer_probes(10);
}

/*
 * Guards against writes lost with a leaving primary. Replicas that serve reads all the time count
 * as alive without probes, so none had a recent probe result and none could be chosen. A leaving
 * primary makes probes due at once.
 */
static void test_replicas_that_serve_reads_can_follow_a_leaving_primary(void)
{
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	g->member[1].observed_us -= 10 * USEC_PER_SEC;
	g->member[2].observed_us -= 10 * USEC_PER_SEC;
	set_leaving(&w, "m0");
	while (g->state != OWNER_ORDERING && test_now_ms() < until)
		run_once_with_reads(&w, g);
	CU_ASSERT_EQUAL(g->state, OWNER_ORDERING);
	CU_ASSERT_STRING_NOT_EQUAL(g->record.target, "m0");
	world_close(&w);
}

/*
 * Guards against statements lost with a member that stops. The successor of a leaving primary
 * cannot be written to the record, so the primary continues, but only until the time that members
 * have for leaving is nearly used up.
 */
static void test_leaving_primary_is_not_used_beyond_its_leave_time(void)
{
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	fake.store_refuses = true;
	set_leaving(&w, "m0");
	g->member[0].leaving_us -= 6 * USEC_PER_SEC;
	while (g->state == OWNER_SERVING && test_now_ms() < until)
		run_once_with_reads(&w, g);
	CU_ASSERT_NOT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_TRUE(owner_group_expected_wait_us(g, now_us()) > 0);
	fake.store_refuses = false;
	world_close(&w);
}

/*
 * Guards against refused reads while an idle member could serve them. A VM that has handed over the
 * group remembers the primary. A read that it sent to that member for itself counted as one to its
 * own primary, to which it may not send, and was retried again and again.
 */
static void test_previous_owner_reads_at_the_previous_primary(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	claim_stop(g, "asked");
	CU_ASSERT_EQUAL(g->state, OWNER_NONE);
	g_strlcpy(g->record.owner.name, "vm-2", sizeof(g->record.owner.name));
	g->member[1].down = g->member[2].down = true;
	owner_update_mark(w.o, POOL, (struct pos){1, 10}, now_us());
	read_locally(&w, 1500, 800);
	answer_probes(10);
	CU_ASSERT_EQUAL(fake.n_sent, 1);
	CU_ASSERT_EQUAL(w.outcome, OUTCOMES);
	world_close(&w);
}

/*
 * Guards against reads that wait until their deadline without being served. A VM has claimed a
 * group whose primary it does not reach, and has no mark; the lease of another sender must end
 * before a promotion. The reads cannot be served in time, so they are refused at once with a time
 * to retry.
 */
static void test_reads_without_expected_mark_are_refused_at_once(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	marks_clear(&g->marks);
	owner_group_set_state(g, OWNER_FENCING, "test");
	read_locally(&w, 1500, 800);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_NOT_PRIMARY);
	world_close(&w);
}

/*
 * Guards against seconds without writes. The primary stopped answering, a successor was recorded,
 * and the promoter refused it; then the old primary is back with the newest log. Ordering its own
 * promotion changes nothing, so a replica that holds its whole log must be chosen.
 */
static void test_a_primary_that_is_back_is_not_promoted(void)
{
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	g_strlcpy(g->record.target, "m1", sizeof(g->record.target));
	g->record.term_floor = 1;
	change_begin(g, false, "test");
	while (g->state != OWNER_ORDERING && test_now_ms() < until)
		run_once_with_reads(&w, g);
	CU_ASSERT_EQUAL(g->state, OWNER_ORDERING);
	CU_ASSERT_STRING_NOT_EQUAL(g->record.target, "m0");
	world_close(&w);
}

/*
 * Guards against a VM refusing all statements for as long as it runs. It was to claim a group for a
 * moment and got no answer from the owner; then the owner answered heartbeats again, and another VM
 * became the one to claim. Statements must go to the owner again.
 */
static void test_statements_go_to_an_owner_that_is_reachable_again(void)
{
	const struct vm_listing l[] = {
		{.name = "vm-1", .address = SELF, .data_center = "dc"},
		{.name = "vm-2", .address = "127.0.0.1:2", .data_center = "dc"}};
	struct owner_group *g;
	struct peers *peers;
	struct world w;
	bool known;

	world_open(&w);
	g = owner_group_find(w.o, POOL);
	peers = &fleet_of(w.k)->peers;
	peers_apply_list(peers, 5, l, G_N_ELEMENTS(l));
	g_strlcpy(g->record.owner.name, "vm-2", sizeof(g->record.owner.name));
	g_strlcpy(g->record.address, "127.0.0.1:2", sizeof(g->record.address));
	g->record.owner.incarnation = 9;
	g->revision = 3;
	g->owner_lost = true;
	peers_suspect(peers, peers_find(peers, "vm-2"));
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(g->owner_lost);
	peers_record_contact(peers_find(peers, "vm-2"), 9, 1);
	claim_tick(g, now_us());
	CU_ASSERT_STRING_EQUAL(owner_address(w.o, POOL, &known), "127.0.0.1:2");
	CU_ASSERT_TRUE(known);
}

/*
 * Guards against refusing a small team's callers at one VM for good. All their statements wait for
 * tokens there, and one of them found no owner for a moment. If later
 * statements were refused because of it, none would be sent and show that the owner is back.
 */
static void test_unaccepted_statement_does_not_refuse_later_ones_for_good(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = owner_group_find(w.o, POOL);
	owner_note_accepted(w.o, POOL, false);
	g->not_accepted_since_us -= 5 * USEC_PER_SEC;
	CU_ASSERT_TRUE(owner_not_accepting_us(w.o, POOL) >= 5 * USEC_PER_SEC);
	g->last_not_accepted_us -= 2 * USEC_PER_SEC;
	CU_ASSERT_EQUAL(owner_not_accepting_us(w.o, POOL), 0);
	CU_ASSERT_TRUE(owner_note_accepted(w.o, POOL, false) < USEC_PER_SEC);
}

/*
 * Guards against load on the store: when each starting VM read the record of each group, this was
 * more than a third of all calls to the store at 81 VMs and 8 groups. Only the VM that is to claim
 * the group, or one that learned of a newer record, needs it.
 */
static void test_record_is_read_only_by_a_vm_that_may_claim(void)
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
	owner_note_newer_record(w.o, POOL, "vm-1", SELF, 9);
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, 1);
	/* vm-9 is gone, so this VM is to claim the group. */
	record_outdated(g);
	g->outdated = false;
	peers_suspect(peers, peers_find(peers, "vm-9"));
	fleet_members_changed(fleet_of(w.k));
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, 2);
}

/*
 * Guards against refusing writes for nine seconds. The VM of the owner and the primary lost power.
 * The primary is back after three seconds, but the change of primary waits until the lease of the
 * previous owner has ended. No promotion was ordered yet, so the primary must continue.
 */
static void test_primary_back_before_promotion_order_continues(void)
{
	const struct lead_vm other = {.name = "vm-9", .incarnation = 5};
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	lead_add_sender(&g->record, &other);
	change_begin(g, false, "silent");
	CU_ASSERT_EQUAL(g->state, OWNER_FENCING);
	/* The store still has the key of the other VM. */
	g->fence_next_us = now_us() + 10 * USEC_PER_SEC;
	/* Probe results from before the change do not count. */
	change_tick(g, now_us());
	CU_ASSERT_EQUAL(g->state, OWNER_FENCING);
	while (g->state == OWNER_FENCING && test_now_ms() < until) {
		event_base_loop(w.k->base, EVLOOP_ONCE);
		answer_probes(10);
	}
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	CU_ASSERT_EQUAL(g->primary, 0);
	CU_ASSERT_EQUAL(g->record.target[0], '\0');
	world_close(&w);
}

/*
 * Guards against a promotion order that arrives after the next owner's, with a lower fencing token:
 * its owner has stopped before it was answered.
 */
static void test_an_owner_that_stops_takes_its_order_back(void)
{
	const struct lead_record none = {0};
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	change_begin(g, false, "silent");
	g->target = 1;
	owner_group_set_state(g, OWNER_ORDERING, "test");
	change_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_orders, 1);
	claim_stop(g, "asked");
	CU_ASSERT_EQUAL(fake.n_orders_taken_back, 1);
	world_close(&w);

	g = world_serve(&w);
	change_begin(g, false, "silent");
	g->target = 1;
	owner_group_set_state(g, OWNER_ORDERING, "test");
	change_tick(g, now_us());
	deliver_record(&w, "vm-9", 5, &none, 30);
	CU_ASSERT_FALSE(owner_group_is_own(g));
	CU_ASSERT_EQUAL(fake.n_orders_taken_back, 1);
	world_close(&w);
}

/*
 * Guards against refusing writes for three seconds more than needed. A group that was never written
 * to waits that long for a primary that registers late when the system starts. A group that has
 * taken writes must not, since its primary is gone.
 */
static void test_written_group_does_not_use_the_initial_find_timeout(void)
{
	struct owner_group *g;
	struct world w;
	unsigned i;

	g = world_serve(&w);
	for (i = 0; i < g->n; i++)
		g->member[i].observed.primary = false;
	g->primary = -1;
	owner_group_set_state(g, OWNER_FINDING, "test");
	g->state_us -= USEC_PER_SEC;
	change_tick(g, now_us());
	CU_ASSERT_NOT_EQUAL(g->state, OWNER_FINDING);
	owner_group_set_state(g, OWNER_FINDING, "test");
	for (i = 0; i < g->n; i++)
		g->member[i].observed.received = (struct pos){1, 0};
	g->state_us -= USEC_PER_SEC;
	change_tick(g, now_us());
	CU_ASSERT_EQUAL(g->state, OWNER_FINDING);
	world_close(&w);
}

/** Ends the read on a connection. */
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

/*
 * Guards against members that are full for three seconds after all VMs lost power, since
 * connections that the previous processes held without need still count there. A connection without
 * a statement for a while is closed; one in use is not.
 */
static void test_an_unused_connection_is_closed(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = owner_group_find(w.o, POOL);
	owner_update_mark(w.o, POOL, (struct pos){1, 35}, now_us());
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

/*
 * Guards against hundreds of VMs that read while the owner is unreachable and use up the
 * connections of all members.
 */
static void test_only_usual_readers_keep_connections(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = owner_group_find(w.o, POOL);
	owner_group_use(g);
	g->member[0].conf.connections = 135;
	owner_update_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	read_locally(&w, 1500, 800);
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_DONE, (struct pos){1, 36},
			      fake.conns[0]->arg);
	end_read(fake.conns[0]);
	conn_tick(&g->member[0], now_us() + USEC_PER_SEC);
	CU_ASSERT_TRUE(fake.conns[0]->closed);
	read_as_local_reader(&w);
	fake.conns[1]->opened(&fake.conns[1]->conn, MEMBER_DONE, (struct pos){1, 36},
			      fake.conns[1]->arg);
	end_read(fake.conns[1]);
	conn_tick(&g->member[0], now_us() + USEC_PER_SEC);
	CU_ASSERT_FALSE(fake.conns[1]->closed);
	/* After a MEMBER_FULL refusal, idle connections are closed because other VMs need them. */
	g->member[0].full_us = now_us();
	conn_tick(&g->member[0], now_us() + USEC_PER_SEC);
	CU_ASSERT_TRUE(fake.conns[1]->closed);
}

/*
 * Guards against long paths for callers of a data centre without a member: each read went to the
 * owner and from there to a replica in a third data centre. The reader of their data centre asks
 * replicas itself and leaves the primary to its owner.
 */
static void test_a_reader_far_from_all_members_asks_replicas(void)
{
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g_strlcpy(w.settings.data_center, "elsewhere", sizeof(w.settings.data_center));
	g = owner_group_find(w.o, POOL);
	g_strlcpy(g->reported_primary, "m0", sizeof(g->reported_primary));
	owner_update_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	read_as_local_reader(&w);
	CU_ASSERT_EQUAL_FATAL(fake.n_conns, 1);
	CU_ASSERT_STRING_EQUAL(fake.conns[0]->id, "m1");
	/* Without any usable replica the primary is asked. */
	fake.conns[0]->opened(&fake.conns[0]->conn, MEMBER_LOST, (struct pos){0},
			      fake.conns[0]->arg);
	g->member[1].down = g->member[2].down = true;
	test_sleep_ms(10);
	queue_tick(g, now_us());
	CU_ASSERT_EQUAL_FATAL(fake.n_conns, 2);
	CU_ASSERT_STRING_EQUAL(fake.conns[1]->id, "m0");
}

/*
 * Guards against a group without an owner until a lease ends: the owner is cut off, and few VMs
 * exchange heartbeats with it.
 */
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
	world_run_once(&w);
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_commits, 0);
	rpc_start(rpc_of(w.k), SELF, ML_OWNER, &report, USEC_PER_SEC, NULL, NULL);
	while (!owner_group_is_own(g) && test_now_ms() < until) {
		world_run_once(&w);
		claim_tick(g, now_us());
		test_sleep_ms(5);
	}
	CU_ASSERT_TRUE(owner_group_is_own(g));
	CU_ASSERT_EQUAL(fake.n_commits, 1);
}

static void write_to_primary(struct world *w, unsigned deadline_ms)
{
	ml_run_args a = {.request = "r1",
			 .team = "t",
			 .pool = POOL,
			 .text = "WRITE a 1",
			 .operand = "",
			 .shape = "",
			 .op = STATEMENT_WRITE,
			 .mode = READ_PRIMARY};

	a.deadline_us = deadline_ms * USEC_PER_MSEC;
	w->outcome = OUTCOMES;
	rpc_start(rpc_of(w->k), SELF, ML_RUN, &a, USEC_PER_SEC, on_ran, w);
	world_run_once(w);
}

/*
 * Guards against a caller that waits long after its deadline. The statement waits for a connection
 * to open when this VM gives the group up; closing that connection puts the statement back into a
 * queue that nobody looks at any more.
 */
static void test_statement_put_back_is_answered_when_the_group_is_given_up(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	write_to_primary(&w, 800);
	CU_ASSERT_EQUAL_FATAL(g->n_jobs, 1);
	claim_stop(g, "asked");
	world_run_once(&w);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_LEAVING);
	CU_ASSERT_EQUAL(g->n_jobs, 0);
	world_close(&w);
}

/* The same, for a group that another VM has claimed while transactions continue here. */
static void test_statement_put_back_is_answered_when_the_group_is_claimed(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	write_to_primary(&w, 800);
	CU_ASSERT_EQUAL_FATAL(g->n_jobs, 1);
	g_strlcpy(g->record.owner.name, "vm-2", sizeof(g->record.owner.name));
	record_end_ownership(g, "claimed-by-another");
	job_lost(TAILQ_FIRST(&g->running), "closed");
	world_run_once(&w);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_LEAVING);
	CU_ASSERT_EQUAL(g->n_jobs, 0);
	world_close(&w);
}

/*
 * Guards against a wait that is known to be in vain: a statement that is put back during a change
 * of primary which lasts longer than its remaining time is refused with a time to retry.
 */
static void test_statement_put_back_in_a_long_change_is_refused_at_once(void)
{
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	write_to_primary(&w, 800);
	owner_group_set_state(g, OWNER_FENCING, "test");
	job_lost(TAILQ_FIRST(&g->running), "closed");
	world_run_once(&w);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_NOT_PRIMARY);
	world_close(&w);
}

/** Answers that this VM serves the group, as another VM would. */
static void serve_as_owner(struct rpc_request *rq, const void *args, void *arg)
{
	ml_owner res = {.pool = "", .vm = "", .address = "", .primary = "", .serving = true};

	(*(unsigned *)arg)++;
	rpc_reply(rq, &res);
}

/*
 * Guards against a second owner as the fleet starts: a VM whose list of VMs is older than the
 * record does not know the owner yet, took it for gone and claimed its group.
 */
static void test_owner_that_the_list_lacks_yet_keeps_its_group(void)
{
	const struct vm_listing self = {.name = "vm-1", .address = SELF, .data_center = "dc"};
	struct store_item item = {
		.key = FLEET_STORE_PREFIX "group/" POOL,
		.value = "{\"vm\":\"vm-8\",\"incarnation\":\"5\",\"address\":\"" SELF "\"}",
		.revision = 30};
	struct owner_group *g;
	unsigned i, asked = 0;
	struct world w;

	world_open(&w);
	g = owner_group_find(w.o, POOL);
	peers_apply_list(&fleet_of(w.k)->peers, 5, &self, 1);
	fleet_members_changed(fleet_of(w.k));
	world_hold_lease(&w);
	rpc_serve(rpc_of(w.k), ML_OWNER, serve_as_owner, &asked);
	store_source.listeners[0].cb(&item, w.o);
	fake.store_revision = item.revision;
	fake.n_commits = 0;
	for (i = 0; i < 3; i++) {
		claim_tick(g, now_us());
		world_run_once(&w);
	}
	CU_ASSERT_TRUE(asked > 0);
	CU_ASSERT_EQUAL(fake.n_commits, 0);
	/* A list as new as the record shows that the lease of the owner has ended. */
	peers_apply_list(&fleet_of(w.k)->peers, 31, &self, 1);
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_commits, 1);
	world_close(&w);
}

/*
 * Guards against statements that go to a VM that is gone until the fleet knows: while the owner
 * seems gone, the VM that is to claim the group is asked as well.
 */
static void test_statement_asks_the_claimer_while_the_owner_seems_gone(void)
{
	const struct vm_listing l[] = {
		{.name = "vm-1", .address = SELF, .data_center = "dc"},
		{.name = "vm-8", .address = "127.0.0.1:8", .data_center = "dc"},
		{.name = "vm-9", .address = "127.0.0.1:2", .data_center = "dc"}};
	const char *owner = "127.0.0.1:8", *claimer;
	struct peers *peers;
	struct world w;

	world_open(&w);
	peers = &fleet_of(w.k)->peers;
	peers_apply_list(peers, 5, l, G_N_ELEMENTS(l));
	fleet_members_changed(fleet_of(w.k));
	owner_note_newer_record(w.o, POOL, "vm-8", owner, 3);
	CU_ASSERT_STRING_EQUAL(owner_address_for_attempt(w.o, POOL, 0), owner);
	fleet_suspect(fleet_of(w.k), owner);
	claimer = fleet_holder_address(fleet_of(w.k), "group " POOL);
	CU_ASSERT_STRING_EQUAL(owner_address_for_attempt(w.o, POOL, 0), claimer);
	CU_ASSERT_STRING_EQUAL(owner_address_for_attempt(w.o, POOL, 1), owner);
	world_close(&w);
}

static void on_redirected(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_run_res *res = arg_res;

	CU_ASSERT_EQUAL(res->outcome, OUTCOME_LEAVING);
	CU_ASSERT_EQUAL(res->owner_revision, 3);
	CU_ASSERT_STRING_EQUAL(res->owner_address, "127.0.0.1:8");
	*(bool *)arg = true;
}

/*
 * Guards against callers that never find an owner: not every VM is notified of it, so a VM that is
 * asked and does not own the group names the owner that it knows.
 */
static void test_refusal_names_the_known_owner(void)
{
	ml_run_args a = {.request = "r1",
			 .team = "t",
			 .pool = POOL,
			 .text = "READ a",
			 .operand = "",
			 .shape = "",
			 .op = STATEMENT_READ,
			 .mode = READ_PRIMARY,
			 .deadline_us = 800 * USEC_PER_MSEC};
	bool answered = false;
	struct world w;

	world_open(&w);
	owner_note_newer_record(w.o, POOL, "vm-8", "127.0.0.1:8", 3);
	rpc_start(rpc_of(w.k), SELF, ML_RUN, &a, USEC_PER_SEC, on_redirected, &answered);
	world_run_once(&w);
	CU_ASSERT_TRUE(answered);
	world_close(&w);
}

static uint64_t own_incarnation;

/** The record as another VM wrote it when it handed the group to this one. */
static char *handed_over_record(const char *key)
{
	return g_strdup_printf("{\"vm\":\"vm-1\",\"incarnation\":\"%lx\",\"address\":\"" SELF "\"}",
			       own_incarnation);
}

static void on_refused(enum rpc_status status, const void *arg_res, void *arg)
{
	CU_ASSERT_EQUAL(((const ml_run_res *)arg_res)->outcome, OUTCOME_LEAVING);
}

/*
 * Guards against a group without an owner for good: the notice that it was handed to this VM was
 * lost, and the others regard this VM as its living owner.
 */
static void test_statement_with_a_newer_record_makes_the_owner_read_it(void)
{
	ml_run_args a = {.request = "r1",
			 .team = "t",
			 .pool = POOL,
			 .text = "READ a",
			 .operand = "",
			 .shape = "",
			 .op = STATEMENT_READ,
			 .mode = READ_PRIMARY,
			 .deadline_us = 800 * USEC_PER_MSEC};
	struct owner_group *g;
	struct world w;

	world_open(&w);
	g = world_join(&w);
	own_incarnation = w.k->incarnation;
	fake.value = handed_over_record;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, 0);
	a.owner_revision = 1;
	rpc_start(rpc_of(w.k), SELF, ML_RUN, &a, USEC_PER_SEC, on_refused, NULL);
	world_run_once(&w);
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, 1);
	CU_ASSERT_TRUE(owner_group_is_own(g));
	world_close(&w);
}

/* Guards against a job that no timer looks at, whatever state its group is in. */
static void test_job_of_an_unserved_group_expires(void)
{
	int64_t until = test_now_ms() + 3000;
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	write_to_primary(&w, 100);
	g_strlcpy(g->record.owner.name, "vm-2", sizeof(g->record.owner.name));
	g->sending = false;
	g->next_call_us = now_us() + 60 * USEC_PER_SEC;
	owner_group_set_state(g, OWNER_NONE, "test");
	while (w.outcome == OUTCOMES && test_now_ms() < until)
		event_base_loop(w.k->base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(w.outcome, OUTCOME_NO_CONNECTION);
	CU_ASSERT_EQUAL(g->n_jobs, 0);
	world_close(&w);
}

/*
 * Guards against waits of seconds after a loss of all VMs although the owner of the group is back.
 */
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
	CU_ASSERT_TRUE(owner_group_is_own(g));
	/* A group of another VM is left to the VM that is to claim it. */
	world_open(&w);
	g = world_join(&w);
	item.value = "{\"vm\":\"vm-9\",\"incarnation\":\"5\",\"address\":\"127.0.0.1:2\"}";
	store_source.listeners[0].cb(&item, w.o);
	fake.n_commits = 0;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_commits, 0);
}

/*
 * Guards against a promotion while the owner serves: a VM that has not learned of the restart of
 * the owner takes the new process, which the record names, for one that has ended.
 */
static void test_restarted_owner_is_not_taken_for_its_previous_process(void)
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
	peers_apply_list(peers, 29, l, G_N_ELEMENTS(l));
	store_source.listeners[0].cb(&item, w.o);
	fake.store_revision = item.revision;
	g->invited = true;
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(owner_group_is_own(g));
	CU_ASSERT_EQUAL(g->record.n, 1);
	/*
	 * A list of VMs as new as the record names a later process, so the recorded one has
	 * certainly ended.
	 */
	world_open(&w);
	g = world_join(&w);
	peers = &fleet_of(w.k)->peers;
	l[1].incarnation = 6;
	peers_apply_list(peers, 31, l, G_N_ELEMENTS(l));
	store_source.listeners[0].cb(&item, w.o);
	fake.store_revision = item.revision;
	g->invited = true;
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(owner_group_is_own(g));
	CU_ASSERT_EQUAL(g->record.n, 0);
}

/** Lists vm-1, which is this VM, and vm-9 with @a incarnation. */
static void list_vms(struct world *w, uint64_t revision, uint64_t incarnation)
{
	const struct vm_listing l[] = {{.name = "vm-1", .address = SELF, .data_center = "dc"},
				       {.name = "vm-9",
					.address = "127.0.0.1:2",
					.data_center = "dc",
					.incarnation = incarnation}};

	peers_apply_list(&fleet_of(w->k)->peers, revision, l, G_N_ELEMENTS(l));
}

/*
 * Guards against a group that nobody can claim any more: at each planned restart its holder hands
 * it over, ends, and stays in the record as a sender.
 */
static void test_planned_restarts_do_not_fill_the_record(void)
{
	struct lead_record senders = {0};
	struct owner_group *g;
	struct world w;
	unsigned i;

	world_open(&w);
	g = world_join(&w);
	for (i = 1; i <= 1000 && !CU_get_number_of_failures(); i++) {
		struct lead_vm previous = {.name = "vm-9", .incarnation = i};
		uint64_t revision = 10 * i;

		/* vm-9 hands the group over to this VM and ends. */
		CU_ASSERT_TRUE(lead_add_sender(&senders, &previous));
		deliver_record(&w, "vm-1", w.k->incarnation, &senders, revision);
		CU_ASSERT_TRUE(owner_group_is_own(g));
		/* Its next process claims the group. */
		list_vms(&w, revision + 1, i + 1);
		senders = g->record;
		CU_ASSERT_EQUAL(fence_drop_ended(g, &senders), 1);
		deliver_record(&w, "vm-9", i + 1, &senders, revision + 2);
		CU_ASSERT_FALSE(owner_group_is_own(g));
		senders = g->record;
	}
	CU_ASSERT_EQUAL(senders.n, 0);
	world_close(&w);
}

/** Opens a world with a full record of vm-9, whose senders are those of @a name. */
static struct owner_group *join_full_record(struct world *w, const char *name)
{
	struct lead_record r = {.n = LEAD_SENDERS_MAX};
	struct owner_group *g;
	unsigned i;

	world_open(w);
	g = world_join(w);
	for (i = 0; i < r.n; i++) {
		g_strlcpy(r.sender[i].name, name, sizeof(r.sender[i].name));
		r.sender[i].incarnation = 100 + i;
	}
	deliver_record(w, "vm-9", 5, &r, 30);
	CU_ASSERT_EQUAL(g->record.n, LEAD_SENDERS_MAX);
	g->invited = true;
	return g;
}

/* Guards against a claim that is refused for good because the record is full. */
static void test_a_group_with_a_full_record_is_claimed(void)
{
	struct owner_group *g;
	struct world w;

	/* The senders' VMs are gone: the list is as new as the record and lacks them. */
	g = join_full_record(&w, "gone");
	list_vms(&w, 31, 5);
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(owner_group_is_own(g));
	CU_ASSERT_EQUAL(g->record.n, 1);
	world_close(&w);
	/* The list is older, and each sender is asked: its key has gone from the store. */
	g = join_full_record(&w, "gone");
	list_vms(&w, 29, 5);
	claim_tick(g, now_us());
	CU_ASSERT_FALSE(owner_group_is_own(g));
	g->next_call_us = 0;
	g->invited = true;
	claim_tick(g, now_us());
	CU_ASSERT_TRUE(owner_group_is_own(g));
	CU_ASSERT_EQUAL(g->record.n, 1);
	world_close(&w);
}

/*
 * Guards against a record that grows while the group is served, and against dropping a sender that
 * may still send: then the primary could be replaced meanwhile.
 */
static void test_the_owner_drops_senders_that_have_ended(void)
{
	struct lead_record r = {.n = 1, .sender[0] = {.name = "vm-9", .incarnation = 5}};
	struct owner_group *g;
	struct world w;

	g = world_serve(&w);
	deliver_record(&w, "vm-1", w.k->incarnation, &r, 30);
	list_vms(&w, 29, 6);
	CU_ASSERT_FALSE(claim_tick(g, now_us()));
	list_vms(&w, 31, 5);
	CU_ASSERT_FALSE(claim_tick(g, now_us()));
	CU_ASSERT_EQUAL(g->record.n, 1);
	list_vms(&w, 32, 6);
	fake.store_revision = 33;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(g->record.n, 0);
	CU_ASSERT_EQUAL(g->state, OWNER_SERVING);
	/* What it acknowledged is known once the primary has told its position. */
	change_begin(g, false, "test");
	CU_ASSERT_FALSE(g->succession.acknowledged_all);
	world_close(&w);
}

/**
 * Delivers a record of another era with @a senders. An era counts how often the store came back
 * from an older copy.
 */
static void deliver_restored_record(struct world *w, const char *senders)
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

/*
 * Guards against a change of primary that does not wait for a sender which the restored record does
 * not name.
 */
static void test_sender_missing_from_restored_record_stops(void)
{
	struct owner_group *g;
	struct world w;
	char *self;

	g = world_serve(&w);
	deliver_restored_record(&w, "");
	CU_ASSERT_FALSE(owner_group_is_own(g));
	CU_ASSERT_TRUE(g->yielded);
	world_close(&w);
	/*
	 * A sender that the record names is asked to stop later, and may finish its transactions
	 * first.
	 */
	g = world_serve(&w);
	self = g_strdup_printf("{\"vm\":\"vm-1\",\"incarnation\":\"%lx\"}", w.k->incarnation);
	deliver_restored_record(&w, self);
	g_free(self);
	CU_ASSERT_FALSE(owner_group_is_own(g));
	CU_ASSERT_FALSE(g->yielded);
	world_close(&w);
}

/* Guards against all groups standing still while their owners read the records of a new era. */
static void test_owner_sends_under_its_previous_lease(void)
{
	struct owner_group *g;
	struct world w;
	unsigned reads;

	g = world_serve(&w);
	CU_ASSERT_TRUE(owner_group_may_send(g));
	fake.store_era = 1;
	store_source.lease_next_us = 0;
	source_lease_tick(now_us());
	CU_ASSERT_NOT_EQUAL(g->registration, fleet_store_registration(fleet_of(w.k)));
	CU_ASSERT_TRUE(owner_group_may_send(g));
	/*
	 * The owner reads the record, and sends nothing after the end of the previous lease before
	 * that.
	 */
	reads = fake.n_gets;
	claim_tick(g, now_us());
	CU_ASSERT_EQUAL(fake.n_gets, reads + 1);
	store_source.previous_lease_until_us = now_us();
	CU_ASSERT_FALSE(owner_group_may_send(g));
	world_close(&w);
}

static const struct test_case cases[] = {
	{"an_owner_that_stops_takes_its_order_back", test_an_owner_that_stops_takes_its_order_back},
	{"planned_restarts_do_not_fill_the_record", test_planned_restarts_do_not_fill_the_record},
	{"a_group_with_a_full_record_is_claimed", test_a_group_with_a_full_record_is_claimed},
	{"the_owner_drops_senders_that_have_ended", test_the_owner_drops_senders_that_have_ended},
	{"a_group_whose_owner_is_not_reached_is_claimed",
	 test_a_group_whose_owner_is_not_reached_is_claimed},
	{"sender_missing_from_restored_record_stops",
	 test_sender_missing_from_restored_record_stops},
	{"owner_sends_under_its_previous_lease", test_owner_sends_under_its_previous_lease},
	{"statement_put_back_is_answered_when_the_group_is_given_up",
	 test_statement_put_back_is_answered_when_the_group_is_given_up},
	{"statement_put_back_is_answered_when_the_group_is_claimed",
	 test_statement_put_back_is_answered_when_the_group_is_claimed},
	{"statement_put_back_in_a_long_change_is_refused_at_once",
	 test_statement_put_back_in_a_long_change_is_refused_at_once},
	{"owner_that_the_list_lacks_yet_keeps_its_group",
	 test_owner_that_the_list_lacks_yet_keeps_its_group},
	{"statement_asks_the_claimer_while_the_owner_seems_gone",
	 test_statement_asks_the_claimer_while_the_owner_seems_gone},
	{"refusal_names_the_known_owner", test_refusal_names_the_known_owner},
	{"statement_with_a_newer_record_makes_the_owner_read_it",
	 test_statement_with_a_newer_record_makes_the_owner_read_it},
	{"job_of_an_unserved_group_expires", test_job_of_an_unserved_group_expires},
	{"a_restarted_owner_takes_its_group_back", test_a_restarted_owner_takes_its_group_back},
	{"restarted_owner_is_not_taken_for_its_previous_process",
	 test_restarted_owner_is_not_taken_for_its_previous_process},
	{"primary_back_before_promotion_order_continues",
	 test_primary_back_before_promotion_order_continues},
	{"written_group_does_not_use_the_initial_find_timeout",
	 test_written_group_does_not_use_the_initial_find_timeout},
	{"only_usual_readers_keep_connections", test_only_usual_readers_keep_connections},
	{"an_unused_connection_is_closed", test_an_unused_connection_is_closed},
	{"a_reader_far_from_all_members_asks_replicas",
	 test_a_reader_far_from_all_members_asks_replicas},
	{"unaccepted_statement_does_not_refuse_later_ones_for_good",
	 test_unaccepted_statement_does_not_refuse_later_ones_for_good},
	{"statements_go_to_an_owner_that_is_reachable_again",
	 test_statements_go_to_an_owner_that_is_reachable_again},
	{"a_primary_that_is_back_is_not_promoted", test_a_primary_that_is_back_is_not_promoted},
	{"reads_without_expected_mark_are_refused_at_once",
	 test_reads_without_expected_mark_are_refused_at_once},
	{"previous_owner_reads_at_the_previous_primary",
	 test_previous_owner_reads_at_the_previous_primary},
	{"replicas_that_serve_reads_can_follow_a_leaving_primary",
	 test_replicas_that_serve_reads_can_follow_a_leaving_primary},
	{"leaving_primary_is_not_used_beyond_its_leave_time",
	 test_leaving_primary_is_not_used_beyond_its_leave_time},
	{"primary_serves_while_planned_change_is_not_recorded",
	 test_primary_serves_while_planned_change_is_not_recorded},
	{"a_read_asks_for_the_position_that_it_needs",
	 test_a_read_asks_for_the_position_that_it_needs},
	{"read_without_recent_mark_is_refused", test_read_without_recent_mark_is_refused},
	{"a_read_is_not_sent_without_a_position", test_a_read_is_not_sent_without_a_position},
	{"record_is_read_only_by_a_vm_that_may_claim",
	 test_record_is_read_only_by_a_vm_that_may_claim},
};
HARNESS_MAIN("owner", cases)
