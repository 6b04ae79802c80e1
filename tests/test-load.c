/** @file test-load.c Load of the members, exchanged between the owner of a group and readers. */
#include "harness-owner.h"

#include <string.h>

static struct {
	unsigned mark_requests, load_requests;
	bool answered, serving;
	ml_member_load load[3];
	unsigned n;
} seen;

static void on_load(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_member_load_res *res = arg_res;
	unsigned i;

	seen.answered = status == RPC_DONE;
	seen.n = seen.answered ? res->loads.loads_len : 0;
	seen.serving = seen.answered && res->serving;
	for (i = 0; i < seen.n; i++)
		seen.load[i] = res->loads.loads_val[i];
}

/** Asks this VM as the reader vm-2, which runs @a in_flight statements on m1. */
static void ask_owner(struct world *w, const char *pool, unsigned in_flight)
{
	ml_member_want want = {.member = "m1", .connections = 4, .in_flight = in_flight};
	ml_member_load_args a = {.pool = (char *)pool, .vm = "vm-2", .data_center = "dc"};

	a.wants.wants_len = in_flight > 0 ? 1 : 0;
	a.wants.wants_val = &want;
	memset(&seen, 0, sizeof(seen));
	rpc_start(rpc_of(w->k), SELF, ML_MEMBER_LOAD, &a, USEC_PER_SEC, on_load, NULL);
	world_run_once(w);
}

/*
 * Guards against reads placed by a use that ended long ago: a reader that was partitioned off or
 * has ended no longer counts after a second.
 */
static void test_owner_counts_the_use_of_readers_for_a_second(void)
{
	struct owner_group *g;
	struct load_view v;
	struct world w;

	g = world_serve(&w);
	w.settings.member_load = true;
	load_start(w.o);
	ask_owner(&w, POOL, 3);
	CU_ASSERT_TRUE(seen.serving);
	CU_ASSERT_EQUAL_FATAL(seen.n, 3);
	CU_ASSERT_EQUAL(seen.load[1].in_flight, 3);
	CU_ASSERT_EQUAL(seen.load[1].connections_left, 12);
	CU_ASSERT_EQUAL(seen.load[0].in_flight, 0);
	load_view(&g->member[1], 1, now_us(), &v);
	CU_ASSERT_EQUAL(v.others, 3);
	g->member[1].load.use[0].updated_us -= 2 * USEC_PER_SEC;
	load_view(&g->member[1], 1, now_us(), &v);
	CU_ASSERT_EQUAL(v.others, 0);
	ask_owner(&w, POOL, 0);
	CU_ASSERT_EQUAL(seen.load[1].in_flight, 0);
	CU_ASSERT_EQUAL(seen.load[1].connections_left, 16);
	ask_owner(&w, "no-such-pool", 3);
	CU_ASSERT_TRUE(seen.answered);
	CU_ASSERT_FALSE(seen.serving);
	world_close(&w);
}

static void serve_load(struct rpc_request *rq, const void *args, void *ctx)
{
	ml_member_load loads[] = {{.member = "m0", .unsteady = true},
				  {.member = "m1", .in_flight = 5, .service_us = {0, 9000}}};
	ml_member_load_res res = {.serving = true, .mark = {1, 35}, .primary = "m0"};

	seen.load_requests++;
	res.loads.loads_len = 2;
	res.loads.loads_val = loads;
	rpc_reply(rq, &res);
}

static void serve_mark(struct rpc_request *rq, const void *args, void *ctx)
{
	ml_owner res = {.pool = "", .vm = "", .address = "", .primary = "", .mark = {1, 36}};

	seen.mark_requests++;
	rpc_reply(rq, &res);
}

/** Opens a world in which this VM is a reader, and its own address is the owner's. */
static struct owner_group *open_reader(struct world *w, rpc_handler load)
{
	struct owner_group *g;

	world_open(w);
	w->settings.member_load = true;
	memset(&seen, 0, sizeof(seen));
	rpc_serve(rpc_of(w->k), ML_MEMBER_LOAD, load, NULL);
	rpc_serve(rpc_of(w->k), ML_OWNER, serve_mark, NULL);
	g = owner_group_find(w->o, POOL);
	g_strlcpy(g->record.owner.name, "vm-2", sizeof(g->record.owner.name));
	g_strlcpy(g->record.address, SELF, sizeof(g->record.address));
	g->revision = 3;
	return g;
}

static void ask(struct world *w, struct owner_group *g)
{
	unsigned i;

	claim_ask_mark(g, now_us());
	for (i = 0; i < 5; i++) {
		test_sleep_ms(1);
		world_run_once(w);
	}
}

/*
 * Guards against reads sent to a busy or unsteady member, and against a report that is used for
 * longer than it holds.
 */
static void test_reader_uses_the_report_of_the_owner(void)
{
	struct owner_group *g;
	struct load_view v;
	struct world w;

	g = open_reader(&w, serve_load);
	ask(&w, g);
	CU_ASSERT_EQUAL(seen.load_requests, 1);
	CU_ASSERT_EQUAL(seen.mark_requests, 0);
	CU_ASSERT_EQUAL(g->marks.newest.pos.lsn, 35);
	CU_ASSERT_STRING_EQUAL(g->reported_primary, "m0");
	load_view(&g->member[0], 1, now_us(), &v);
	CU_ASSERT_TRUE(v.unsteady);
	load_view(&g->member[1], 1, now_us(), &v);
	CU_ASSERT_EQUAL(v.others, 5);
	CU_ASSERT_EQUAL(v.service_us, 9000);
	CU_ASSERT_FALSE(v.unsteady);
	g->member[1].load.report.received_us -= 2 * USEC_PER_SEC;
	load_view(&g->member[1], 1, now_us(), &v);
	CU_ASSERT_EQUAL(v.others, 0);
	CU_ASSERT_EQUAL(v.service_us, g->member[1].service_us);
	w.settings.member_load = false;
	ask(&w, g);
	CU_ASSERT_EQUAL(seen.load_requests, 1);
	CU_ASSERT_EQUAL(seen.mark_requests, 1);
}

/* Guards against reads without a recent mark while the owner's VM runs an older build. */
static void test_older_build_is_asked_in_the_old_way(void)
{
	struct owner_group *g;
	struct world w;

	g = open_reader(&w, NULL);
	ask(&w, g);
	CU_ASSERT_EQUAL(seen.mark_requests, 1);
	CU_ASSERT_EQUAL(g->marks.newest.pos.lsn, 36);
	CU_ASSERT_EQUAL(g->load.old_until_us, 0);
	ask(&w, g);
	CU_ASSERT_EQUAL(seen.mark_requests, 2);
	CU_ASSERT_TRUE(g->load.old_until_us > now_us() + 9 * USEC_PER_SEC);
	rpc_serve(rpc_of(w.k), ML_MEMBER_LOAD, serve_load, NULL);
	ask(&w, g);
	CU_ASSERT_EQUAL(seen.mark_requests, 3);
	CU_ASSERT_EQUAL(seen.load_requests, 0);
	g->load.old_until_us = now_us();
	ask(&w, g);
	CU_ASSERT_EQUAL(seen.load_requests, 1);
}

/*
 * Guards against an owner that is taken for an older build, and not asked for 10 s, after its
 * answers were late: its readers would lose their grants.
 */
static void test_owner_that_answered_is_asked_again(void)
{
	struct owner_group *g;
	struct world w;
	unsigned i;

	g = open_reader(&w, serve_load);
	ask(&w, g);
	CU_ASSERT_EQUAL(seen.load_requests, 1);
	rpc_serve(rpc_of(w.k), ML_MEMBER_LOAD, NULL, NULL);
	for (i = 0; i < 3; i++)
		ask(&w, g);
	CU_ASSERT_EQUAL(seen.mark_requests, 3);
	CU_ASSERT_EQUAL(g->load.old_until_us, 0);
	rpc_serve(rpc_of(w.k), ML_MEMBER_LOAD, serve_load, NULL);
	ask(&w, g);
	CU_ASSERT_EQUAL(seen.load_requests, 2);
	rpc_serve(rpc_of(w.k), ML_MEMBER_LOAD, NULL, NULL);
	for (i = 0; i < 12; i++)
		ask(&w, g);
	CU_ASSERT_TRUE(g->load.old_until_us > now_us());
}

static const struct test_case cases[] = {
	{"owner_counts_the_use_of_readers_for_a_second",
	 test_owner_counts_the_use_of_readers_for_a_second},
	{"reader_uses_the_report_of_the_owner", test_reader_uses_the_report_of_the_owner},
	{"older_build_is_asked_in_the_old_way", test_older_build_is_asked_in_the_old_way},
	{"owner_that_answered_is_asked_again", test_owner_that_answered_is_asked_again},
};
HARNESS_MAIN("load", cases)
