/** @file test-owner-budget.c Connections as a budget at an owner and a reader, with fake members.
 */
#include "harness-owner.h"
#include "place.h"
#include "session-state.h"
#include "table.h"

#include <string.h>

/** More than the 16 connections that each fake member accepts. */
#define TEAMS 20

static void add_teams(struct world *w)
{
	struct fleet *f = fleet_of(w->k);
	struct conf_update u = {.base = f->conf->version, .version = f->conf->version + 1};
	unsigned i;

	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < TEAMS; i++) {
		struct conf_team t = {.rate = 1, .burst = 1};

		g_snprintf(t.name, sizeof(t.name), "t%u", i);
		g_ptr_array_add(u.entries, table_entry_make(CONF_TEAM, &t));
		((struct conf_entry *)g_ptr_array_index(u.entries, i))->version = u.version;
	}
	fleet_apply_conf(f, &u, "test");
	conf_update_clear(&u);
	w->settings.connection_budget = true;
	w->settings.connection_preopen = true;
	w->settings.connection_resting_share = 0.5;
}

static ml_run_res last; /**< outcome and retry hint of the last answered statement */

static void on_ran(enum rpc_status status, const void *res, void *arg)
{
	last = *(const ml_run_res *)res;
}

static void run(struct world *w, const char *team, ml_run_args a)
{
	a.request = "r";
	a.team = (char *)team;
	a.pool = POOL;
	a.text = a.operand = a.shape = "";
	a.deadline_us = 800 * USEC_PER_MSEC;
	a.max_age_us = 1500 * USEC_PER_MSEC;
	a.idle_tx_ms = 300;
	last.outcome = OUTCOMES;
	rpc_start(rpc_of(w->k), SELF, ML_RUN, &a, USEC_PER_SEC, on_ran, w);
	world_run_once(w);
}

static void begin(struct world *w, const char *team, unsigned priority)
{
	run(w, team,
	    (ml_run_args){.op = STATEMENT_WRITE,
			  .mode = READ_PRIMARY,
			  .begin = STATEMENT_BEGIN,
			  .priority = priority});
}

/** Opens the connection and answers the begin and its first statement. */
static void answer_begin(struct fake_conn *c)
{
	const struct member_answer open = {.message = "", .signature = "", .state = TX_OPEN};
	member_opened opened = c->opened;

	c->opened = NULL;
	opened(&c->conn, MEMBER_DONE, (struct pos){1, 10}, c->arg);
	c->answered(&c->conn, &open, c->arg);
	c->answered(&c->conn, &open, c->arg);
}

/*
 * Guards against readers that open more connections than the owner left them: without a grant a
 * reader holds two, and with one as many as granted until it expires.
 */
static void test_reader_holds_what_was_granted(void)
{
	static const char *const teams[] = {"t0", "t1", "t2", "t3"};
	const struct member_answer done = {.message = "", .signature = ""};
	struct owner_group *g;
	struct world w;
	unsigned i;

	world_open(&w);
	add_teams(&w);
	g = owner_group_find(w.o, POOL);
	owner_group_use(g);
	g->member[1].down = g->member[2].down = true;
	owner_update_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	for (i = 0; i < G_N_ELEMENTS(teams); i++)
		run(&w, teams[i],
		    (ml_run_args){
			    .op = STATEMENT_READ, .mode = READ_BOUNDED, .reader = READER_LOCAL});
	CU_ASSERT_EQUAL(g->member[0].n_conns, BUDGET_UNGRANTED);
	budget_granted(&g->member[0], 3, now_us());
	queue_tick(g, now_us());
	CU_ASSERT_EQUAL_FATAL(g->member[0].n_conns, 3);
	/* Connections beyond an expired grant are closed as soon as they are idle. */
	budget_granted(&g->member[0], 3, now_us() - BUDGET_GRANT_US);
	for (i = 0; i < 3; i++) {
		struct fake_conn *c = fake.conns[i];

		c->opened(&c->conn, MEMBER_DONE, (struct pos){1, 36}, c->arg);
		c->answered(&c->conn, &done, c->arg);
	}
	conn_tick(&g->member[0], now_us());
	CU_ASSERT_TRUE(g->member[0].n_conns <= BUDGET_UNGRANTED);
}

/*
 * Guards against an owner that opens the connections which it granted to a reader, and against one
 * that hands out what a reader may still hold by a grant of its predecessor.
 */
static void test_owner_leaves_what_it_granted(void)
{
	/* Of 16 connections and 2 slots: what each VM needs to keep the slots busy, and the rest.
	 */
	const unsigned floor = 2 + PLACE_PIPELINE_DEPTH,
		       rest = 16 - BUDGET_PROBE_CONNECTIONS - 3 * floor;
	int64_t now = now_us();
	struct owner_member *m;
	struct world w;

	m = &world_serve(&w)->member[1];
	add_teams(&w);
	CU_ASSERT_EQUAL(budget_limit(m, 7, now), 7);
	m->budget.owner_since_us = now;
	CU_ASSERT_EQUAL(budget_grant(m, "r", 20, now), floor);
	m->budget.owner_since_us = now - BUDGET_COUNT_US;
	CU_ASSERT_EQUAL(budget_grant(m, "r", 20, now), rest);
	CU_ASSERT_EQUAL(budget_limit(m, 7, now), 2 * floor);
	budget_tick(m, now + 2 * BUDGET_COUNT_US);
	CU_ASSERT_EQUAL(budget_limit(m, 7, now), 7);
	w.settings.connection_budget = false;
	CU_ASSERT_EQUAL(budget_grant(m, "r", 20, now), 0);
	world_close(&w);
}

/*
 * Guards against an owner that does not learn of its successor, since it does not reach the store,
 * and holds idle connections that the successor needs.
 */
static void test_owner_without_the_store_keeps_half(void)
{
	struct owner_member *m;
	struct world w;

	m = &world_serve(&w)->member[0];
	add_teams(&w);
	m->budget.owner_since_us = now_us() - BUDGET_COUNT_US;
	CU_ASSERT_TRUE(budget_usual(m, 14) > 8);
	source_set_reachable("test", false);
	CU_ASSERT_EQUAL(budget_usual(m, 14), 8);
	world_close(&w);
}

static ml_member_load answered_load; /**< of m1, in the last answer of the owner */

static void on_load(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_member_load_res *res = arg_res;

	if (status == RPC_DONE && res->loads.loads_len > 1)
		answered_load = res->loads.loads_val[1];
}

/*
 * Guards against grants that travel with the load of members and do not limit the owner while
 * placement by load is off, and against connections that count as used because a reader wants them.
 */
static void test_owner_grants_with_the_load(void)
{
	const unsigned floor = 2 + PLACE_PIPELINE_DEPTH,
		       rest = 16 - BUDGET_PROBE_CONNECTIONS - 3 * floor;
	ml_member_want want = {.member = "m1", .connections = 20, .in_flight = 1};
	ml_member_load_args a = {.pool = POOL, .vm = "r", .data_center = "dc", .wants = {1, &want}};
	struct owner_member *m;
	struct world w;

	m = &world_serve(&w)->member[1];
	add_teams(&w);
	load_start(w.o);
	m->budget.owner_since_us = now_us() - BUDGET_COUNT_US;
	rpc_start(rpc_of(w.k), SELF, ML_MEMBER_LOAD, &a, USEC_PER_SEC, on_load, NULL);
	world_run_once(&w);
	CU_ASSERT_EQUAL(answered_load.granted, rest);
	CU_ASSERT_EQUAL(answered_load.connections_left, 16 - m->n_conns - rest);
	CU_ASSERT_EQUAL(budget_limit(m, 16, now_us()), 2 * floor);
	world_close(&w);
}

static struct {
	unsigned want; /**< connections to m0 that the reader asked for */
	unsigned granted;
} asked;

static void serve_load(struct rpc_request *rq, const void *args, void *ctx)
{
	const ml_member_load_args *a = args;
	ml_member_load load = {.member = "m0", .granted = asked.granted};
	ml_member_load_res res = {.serving = true, .primary = "m0", .loads = {1, &load}};

	asked.want = a->wants.wants_val[0].connections;
	rpc_reply(rq, &res);
}

static void ask_owner(struct world *w, struct owner_group *g, unsigned granted)
{
	asked.granted = granted;
	claim_ask_mark(g, now_us());
	world_run_once(w);
}

/*
 * Guards against a reader that does not state the teams it will use again, that goes on with the
 * grant of a previous owner, or that keeps a reader's limit after it became the owner.
 */
static void test_reader_is_granted_with_the_load(void)
{
	struct owner_group *g;
	struct owner_member *m;
	struct world w;
	unsigned i;

	world_open(&w);
	add_teams(&w);
	rpc_serve(rpc_of(w.k), ML_MEMBER_LOAD, serve_load, NULL);
	g = owner_group_find(w.o, POOL);
	owner_group_use(g);
	g_strlcpy(g->record.owner.name, "vm-2", sizeof(g->record.owner.name));
	g_strlcpy(g->record.address, SELF, sizeof(g->record.address));
	g->revision = 3;
	g->serves_reads = true;
	m = &g->member[0];
	for (i = 0; i < 4; i++) {
		budget_used(m, "t0", 0, now_us() - USEC_PER_SEC);
		budget_used(m, "t1", 0, now_us() - USEC_PER_SEC);
	}
	budget_tick(m, now_us());
	CU_ASSERT_EQUAL(budget_limit(m, 16, now_us()), BUDGET_UNGRANTED);
	ask_owner(&w, g, 7);
	CU_ASSERT_EQUAL(asked.want, 2);
	CU_ASSERT_EQUAL(budget_limit(m, 16, now_us()), 7);
	/* The next owner gives the floor until the grants of the one before have expired. */
	ask_owner(&w, g, 3);
	CU_ASSERT_EQUAL(budget_limit(m, 16, now_us()), 3);
	CU_ASSERT_EQUAL(budget_limit(m, 16, now_us() + BUDGET_GRANT_US), BUDGET_UNGRANTED);
	g_strlcpy(g->record.owner.name, w.settings.name, sizeof(g->record.owner.name));
	g->record.owner.incarnation = w.k->incarnation;
	budget_tick(m, now_us());
	CU_ASSERT_EQUAL(budget_limit(m, 16, now_us()), 16);
	world_close(&w);
}

/*
 * Guards against transactions that idle callers of one team hold open until no other team can begin
 * one.
 */
static void test_begin_beyond_the_bound_is_refused(void)
{
	struct world w;
	unsigned i, n;

	world_serve(&w);
	add_teams(&w);
	for (i = 0; i < 3; i++) {
		n = fake.n_conns;
		begin(&w, i < 2 ? "t0" : "t1", i < 2 ? 2 : 1);
		CU_ASSERT_EQUAL_FATAL(fake.n_conns, n + 1);
		answer_begin(fake.conns[n]);
		world_run_once(&w);
		CU_ASSERT_EQUAL(last.outcome, OUTCOME_DONE);
	}
	/* A quarter of 8 for each team, while two have transactions. */
	begin(&w, "t0", 2);
	CU_ASSERT_EQUAL(last.outcome, OUTCOME_QUEUE_FULL);
	CU_ASSERT_TRUE(last.retry_after_us > 0 && last.retry_after_us <= 300 * USEC_PER_MSEC);
	begin(&w, "t2", 2);
	CU_ASSERT_EQUAL(last.outcome, OUTCOMES);
	w.settings.connection_budget = false;
	begin(&w, "t0", 2);
	CU_ASSERT_EQUAL(last.outcome, OUTCOMES);
	world_close(&w);
}

/** Asks for a connection to the primary in advance. @return how many were opened */
static unsigned preopen(struct world *w, const char *pool, const char *team)
{
	ml_preopen_args a = {.pool = (char *)pool, .team = (char *)team, .primary = true};
	unsigned n = fake.n_conns;

	rpc_start(rpc_of(w->k), SELF, ML_PREOPEN, &a, USEC_PER_SEC, NULL, NULL);
	world_run_once(w);
	return fake.n_conns - n;
}

/*
 * Guards against a second connection for a statement that follows while the first one is still
 * being opened in advance, and against slots that stay counted after that.
 */
static void test_statement_takes_the_connection_opened_in_advance(void)
{
	struct owner_member *m;
	struct fake_conn *c;
	struct world w;

	m = &world_serve(&w)->member[0];
	add_teams(&w);
	CU_ASSERT_EQUAL(preopen(&w, "no-pool", "t0"), 0);
	CU_ASSERT_EQUAL(preopen(&w, POOL, ""), 0);
	CU_ASSERT_EQUAL_FATAL(preopen(&w, POOL, "t0"), 1);
	c = fake.conns[fake.n_conns - 1];
	CU_ASSERT_EQUAL(preopen(&w, POOL, "t0"), 0);
	CU_ASSERT_EQUAL(m->in_flight, 1);
	begin(&w, "t0", 2);
	CU_ASSERT_EQUAL(m->n_conns, 1);
	CU_ASSERT_EQUAL(m->in_flight, 1);
	answer_begin(c);
	CU_ASSERT_EQUAL(m->in_flight, 0);
	CU_ASSERT_EQUAL_FATAL(preopen(&w, POOL, "t1"), 1);
	c = fake.conns[fake.n_conns - 1];
	c->opened(&c->conn, MEMBER_FULL, (struct pos){0}, c->arg);
	CU_ASSERT_EQUAL(m->in_flight, 0);
	CU_ASSERT_EQUAL(m->n_conns, 1);
	w.settings.connection_preopen = false;
	CU_ASSERT_EQUAL(preopen(&w, POOL, "t2"), 0);
	world_close(&w);
}

/** Dispatches what waits, after the pause of a statement whose connection was refused. */
static void dispatch(struct owner_group *g)
{
	test_sleep_ms(5);
	queue_tick(g, now_us());
}

static void refuse_full(struct fake_conn *c)
{
	member_opened opened = c->opened;

	c->opened = NULL;
	opened(&c->conn, MEMBER_FULL, (struct pos){0}, c->arg);
}

/*
 * Guards against a VM that goes on opening several connections at once, every 300 ms, to a member
 * on which VMs that it does not know of hold all connections.
 */
static void test_full_member_is_asked_once_at_a_time(void)
{
	struct owner_group *g;
	struct owner_member *m;
	struct world w;
	unsigned n;

	g = world_serve(&w);
	m = &g->member[0];
	add_teams(&w);
	n = fake.n_conns;
	begin(&w, "t0", 2);
	CU_ASSERT_EQUAL_FATAL(fake.n_conns, n + 1);
	answer_begin(fake.conns[n]);
	begin(&w, "t1", 2);
	begin(&w, "t2", 2);
	CU_ASSERT_EQUAL_FATAL(fake.n_conns, n + 3);
	refuse_full(fake.conns[n + 1]);
	refuse_full(fake.conns[n + 2]);
	CU_ASSERT_TRUE(m->full_until_us <= now_us() + 300 * USEC_PER_MSEC);
	m->full_us -= 300 * USEC_PER_MSEC;
	m->full_until_us = 0;
	dispatch(g);
	CU_ASSERT_EQUAL_FATAL(fake.n_conns, n + 4);
	refuse_full(fake.conns[n + 3]);
	CU_ASSERT_TRUE(m->full_until_us > now_us() + 500 * USEC_PER_MSEC);
	m->full_until_us = 0;
	dispatch(g);
	CU_ASSERT_EQUAL_FATAL(fake.n_conns, n + 5);
	answer_begin(fake.conns[n + 4]);
	dispatch(g);
	CU_ASSERT_EQUAL(fake.n_conns, n + 6);
	world_close(&w);
}

/*
 * Guards against an owner that opens a connection for each statement, since it closes all idle ones
 * after one refusal, and against one that goes on to hold nearly all that the member accepts.
 */
static void test_full_member_leaves_half_of_the_idle_ones(void)
{
	const struct member_answer done = {.message = "", .signature = ""};
	struct owner_conn *c;
	struct owner_member *m;
	struct world w;
	unsigned i, n;

	m = &world_serve(&w)->member[0];
	add_teams(&w);
	m->budget.owner_since_us = now_us() - BUDGET_COUNT_US;
	for (i = 0; i < 10; i++) {
		char team[NAME_SIZE];

		g_snprintf(team, sizeof(team), "t%u", i);
		n = fake.n_conns;
		run(&w, team, (ml_run_args){.op = STATEMENT_WRITE, .mode = READ_PRIMARY});
		CU_ASSERT_EQUAL_FATAL(fake.n_conns, n + 1);
		fake.conns[n]->opened(&fake.conns[n]->conn, MEMBER_DONE, (struct pos){1, 10},
				      fake.conns[n]->arg);
		fake.conns[n]->answered(&fake.conns[n]->conn, &done, fake.conns[n]->arg);
		fake.conns[n]->opened = NULL;
	}
	CU_ASSERT_EQUAL(m->n_conns, 10);
	TAILQ_FOREACH(c, &m->conns, link)
		c->state_since_us -= USEC_PER_SEC;
	m->full_us = now_us();
	conn_tick(m, now_us());
	CU_ASSERT_EQUAL(m->n_conns, 8);
	world_close(&w);
}

static void on_answer(struct session *s, const struct session_answer *a, void *arg)
{
}

/*
 * Guards against reads without the owner for which each VM of a data centre opens connections of
 * its own, until the members are full; and against such reads that end with the VM that is to
 * serve them for all.
 */
static void test_one_vm_reads_without_the_owner(void)
{
	static const struct vm_listing l[] = {
		{.name = "vm-2", .address = "127.0.0.1:2", .data_center = "dc"}};
	static const struct session_ops ops = {.answer = on_answer};
	struct session s = {.ops = &ops,
			    .busy = true,
			    .team = "t0",
			    .route = {.pool = POOL, .mode = READ_BOUNDED, .max_age_ms = 1500},
			    .st = {.request = "r", .op = STATEMENT_READ, .text = "READ a"},
			    .reader = READER_ANY};
	struct world w;

	world_open(&w);
	g_strlcpy(w.settings.data_center, "dc", sizeof(w.settings.data_center));
	peers_apply_list(&fleet_of(w.k)->peers, 5, l, G_N_ELEMENTS(l));
	CU_ASSERT_PTR_NULL(owner_shared_reader(w.o, POOL));
	add_teams(&w);
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner_shared_reader(w.o, POOL));
	owner_update_mark(w.o, POOL, (struct pos){1, 35}, now_us());
	session_service_create(w.k);
	s.sessions = sessions_of(w.k);
	s.values = g_ptr_array_new();
	s.timer = event_new(w.k->base, -1, 0, session_on_timer, &s);
	s.started_us = now_us();
	s.deadline_us = s.started_us + 800 * USEC_PER_MSEC;
	session_run_remote(&s);
	CU_ASSERT_STRING_EQUAL(s.address, "127.0.0.1:2");
	CU_ASSERT_EQUAL(fake.n_conns, 0);
	/* Nothing listens there. */
	while (!s.local_reader_failed && now_us() < s.deadline_us)
		world_run_once(&w);
	world_run_once(&w);
	CU_ASSERT_STRING_EQUAL(s.address, SELF);
	CU_ASSERT_EQUAL(fake.n_conns, 1);
}

static const struct test_case cases[] = {
	{"reader_holds_what_was_granted", test_reader_holds_what_was_granted},
	{"owner_leaves_what_it_granted", test_owner_leaves_what_it_granted},
	{"owner_without_the_store_keeps_half", test_owner_without_the_store_keeps_half},
	{"owner_grants_with_the_load", test_owner_grants_with_the_load},
	{"reader_is_granted_with_the_load", test_reader_is_granted_with_the_load},
	{"begin_beyond_the_bound_is_refused", test_begin_beyond_the_bound_is_refused},
	{"full_member_is_asked_once_at_a_time", test_full_member_is_asked_once_at_a_time},
	{"full_member_leaves_half_of_the_idle_ones", test_full_member_leaves_half_of_the_idle_ones},
	{"one_vm_reads_without_the_owner", test_one_vm_reads_without_the_owner},
	{"statement_takes_the_connection_opened_in_advance",
	 test_statement_takes_the_connection_opened_in_advance},
};
HARNESS_MAIN("owner-budget", cases)
