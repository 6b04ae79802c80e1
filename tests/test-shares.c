/** @file test-shares.c The service that admits requests by their teams' rates, on one VM. */
#include "fleet-store-source.h"
#include "fleet.h"
#include "harness.h"
#include "parts.h"
#include "shares.h"
#include "table.h"

#include <arpa/inet.h>

#include <string.h>
#include <unistd.h>

#define SELF "127.0.0.1:1"
#define TEAM "clerks"

struct world {
	struct settings settings;
	struct kernel *k;
	struct shares *shares;
};

static void add_team(struct world *w, double rate)
{
	struct conf_update u = {.full = true, .version = 1};
	struct conf_team team = {.name = TEAM, .rate = rate, .burst = rate};
	struct conf_entry *e = table_entry_make(CONF_TEAM, &team);

	e->version = 1;
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_ptr_array_add(u.entries, e);
	fleet_apply_conf(fleet_of(w->k), &u, "test");
	conf_update_clear(&u);
}

static void world_open_rate(struct world *w, double rate)
{
	struct service *s;

	memset(w, 0, sizeof(*w));
	g_strlcpy(w->settings.name, "vm-1", sizeof(w->settings.name));
	g_strlcpy(w->settings.advertise, SELF, sizeof(w->settings.advertise));
	w->settings.silent_ms = 600;
	w->settings.heartbeat_ms = 1000;
	g_strlcpy(w->settings.data_center, "dc", sizeof(w->settings.data_center));
	w->settings.rate_window_s = 5;
	w->settings.rate_overshoot = 0.1;
	w->settings.rate_slack = 20;
	w->settings.platform_kind = PLATFORM_ETCD;
	w->k = kernel_create(&w->settings);
	rpc_service_create(w->k);
	fleet_service_create(w->k);
	parts_service_create(w->k);
	s = shares_service_create(w->k);
	w->shares = shares_of(w->k);
	CU_ASSERT_TRUE(s->ops->start(s, NULL));
	add_team(w, rate);
}

static void run_ms(struct world *w, int ms)
{
	const struct timeval tv = {.tv_usec = ms * 1000};

	event_base_loopexit(w->k->base, &tv);
	event_base_dispatch(w->k->base);
}

static bool allocates(struct world *w)
{
	JsonBuilder *b = json_builder_new();
	JsonArray *teams;
	JsonNode *root;
	bool is;

	json_builder_begin_object(b);
	shares_json(w->shares, b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	teams = json_object_get_array_member(json_node_get_object(root), "teams");
	is = json_object_get_boolean_member(json_array_get_object_element(teams, 0), "allocator");
	json_node_unref(root);
	g_object_unref(b);
	return is;
}

/*
 * Whenever a VM starts, some teams' requests are refused all over the fleet for seconds.
 * Before it knows the other VMs, a VM takes itself for the allocator of all teams and binds itself
 * to an epoch of its own. When that epoch happens to be the higher one, the real allocator begins
 * again above it and must hear from all VMs anew before it gives out anything.
 */
static void test_no_allocator_before_the_list_is_known(void)
{
	const struct vm_listing self = {.name = "vm-1", .address = SELF, .data_center = "dc"};
	struct world w;

	world_open_rate(&w, 100);
	/* Without a tolerance nothing can be in fixed parts: the rate moves between VMs. */
	w.settings.rate_window_s = 0;
	run_ms(&w, 60);
	CU_ASSERT_FALSE(allocates(&w));
	peers_list(&fleet_of(w.k)->peers, 5, &self, 1);
	fleet_members_changed(fleet_of(w.k));
	run_ms(&w, 400);
	CU_ASSERT_TRUE(allocates(&w));
}

/* A VM that holds a part */

/** Another VM, in this process: it grants what the test says. */
static struct keeper {
	struct settings settings;
	struct kernel *k;
	char address[ADDRESS_SIZE];
	unsigned tokens;
	unsigned calls;
} keeper;

static void keeper_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_tokens_args *a = args;
	ml_tokens_res res = {.granted = MIN(a->want, keeper.tokens)};

	keeper.calls++;
	keeper.tokens -= res.granted;
	rpc_reply(rq, &res);
}

/** A port that nobody has now. */
static void free_address(char address[ADDRESS_SIZE])
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&sin, len), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	g_snprintf(address, ADDRESS_SIZE, "127.0.0.1:%u", ntohs(sin.sin_port));
}

static void keeper_open(struct world *w)
{
	char *text;

	memset(&keeper, 0, sizeof(keeper));
	g_strlcpy(keeper.settings.name, "vm-2", sizeof(keeper.settings.name));
	g_strlcpy(keeper.settings.advertise, "127.0.0.1:2", sizeof(keeper.settings.advertise));
	keeper.settings.silent_ms = 600;
	keeper.k = kernel_create(&keeper.settings);
	event_base_free(keeper.k->base);
	keeper.k->base = w->k->base;
	rpc_service_create(keeper.k);
	rpc_serve(rpc_of(keeper.k), ML_TOKENS, keeper_serve, NULL);
	free_address(keeper.address);
	CU_ASSERT_TRUE_FATAL(rpc_listen(rpc_of(keeper.k), keeper.address, NULL));
	text = g_strdup_printf(
		"[{\"part\":0,\"name\":\"vm-2\",\"address\":\"%s\",\"data_center\":\"dc\","
		"\"incarnation\":\"9\",\"lease\":\"1\"},"
		"{\"part\":1,\"name\":\"vm-2\",\"address\":\"%s\",\"data_center\":\"dc\","
		"\"incarnation\":\"9\",\"lease\":\"1\"},"
		"{\"part\":2,\"name\":\"vm-2\",\"address\":\"%s\",\"data_center\":\"dc\","
		"\"incarnation\":\"9\",\"lease\":\"1\"},"
		"{\"part\":3,\"name\":\"vm-2\",\"address\":\"%s\",\"data_center\":\"dc\","
		"\"incarnation\":\"9\",\"lease\":\"1\"},"
		"{\"name\":\"vm-1\",\"address\":\"" SELF "\",\"data_center\":\"dc\"},"
		"{\"name\":\"vm-2\",\"address\":\"%s\",\"data_center\":\"dc\","
		"\"incarnation\":\"9\"}]",
		keeper.address, keeper.address, keeper.address, keeper.address, keeper.address);
	fleet_apply_vms(fleet_of(w->k), 5, text);
	g_free(text);
}

struct request {
	struct admission a;
	int verdict; /**< 1 admitted, -1 refused, 0 waits */
};

static void on_done(struct admission *a, bool admitted, int64_t retry_after_us)
{
	((struct request *)a)->verdict = admitted ? 1 : -1;
}

static void request(struct world *w, struct request *r)
{
	int64_t retry_us;

	memset(r, 0, sizeof(*r));
	r->a.done = on_done;
	r->a.settles = true;
	r->verdict = shares_admit(w->shares, TEAM, &r->a, now_us() + USEC_PER_SEC, &retry_us);
}

/** So many requests in vain that the team counts as over its rate. */
static void run_dry(struct world *w)
{
	struct request r;
	int i;

	for (i = 0; i < 12; i++) {
		request(w, &r);
		run_ms(w, 60);
		shares_cancel(&r.a);
	}
}

/* A VM without a part has its requests admitted by one that has: each token serves one. */
static void test_tokens_of_another_vm_are_asked_for(void)
{
	struct request r[3];
	struct world w;
	int i;

	world_open_rate(&w, 3);
	keeper_open(&w);
	keeper.tokens = 2;
	for (i = 0; i < 3; i++)
		request(&w, &r[i]);
	run_ms(&w, 500);
	CU_ASSERT_EQUAL(r[0].verdict, 1);
	CU_ASSERT_EQUAL(r[1].verdict, 1);
	CU_ASSERT_EQUAL(r[2].verdict, -1);
}

/*
 * A team is refused at one VM for the rest of the day, though it is far below its rate.
 * Its requests found no token for a moment, so this VM took the team to be over its rate and
 * refused at once, without asking; and as it did not ask, nothing could show that there were tokens
 * again. A refusal at once may only follow an answer of moments ago.
 */
static void test_tokens_that_are_back_are_found(void)
{
	struct request r;
	struct world w;

	world_open_rate(&w, 3);
	keeper_open(&w);
	run_dry(&w);
	CU_ASSERT_FALSE(shares_within_rate(w.shares, TEAM));
	keeper.tokens = 100;
	run_ms(&w, 100);
	request(&w, &r);
	run_ms(&w, 100);
	CU_ASSERT_EQUAL(r.verdict, 1);
}

/* Right after nobody had a token, a team over its rate is refused without a call. */
static void test_no_tokens_are_not_asked_for_at_once_again(void)
{
	struct request r;
	struct world w;
	unsigned calls;

	world_open_rate(&w, 3);
	keeper_open(&w);
	run_dry(&w);
	request(&w, &r);
	run_ms(&w, 20);
	calls = keeper.calls;
	CU_ASSERT_TRUE(calls > 0);
	request(&w, &r);
	CU_ASSERT_EQUAL(r.verdict, -1);
	CU_ASSERT_EQUAL(keeper.calls, calls);
}

/** This VM itself holds all parts of its data centre, under a lease of a second. */
static void hold_parts(struct world *w)
{
	GString *text = g_string_new("[");
	unsigned i;

	w->settings.platform_kind = PLATFORM_PREPARED;
	fleet_of(w->k)->source = &fleet_store_ops;
	store_source.lease = 7;
	store_source.registered = true;
	store_source.registration = 1;
	store_source.lease_until_us = now_us() + USEC_PER_SEC;
	for (i = 0; i < PARTS_PER_DC; i++)
		g_string_append_printf(text,
				       "{\"part\":%u,\"name\":\"vm-1\",\"address\":\"" SELF
				       "\",\"data_center\":\"dc\",\"incarnation\":\"%lx\","
				       "\"lease\":\"7\"},",
				       i, w->k->incarnation);
	g_string_append(text, "{\"name\":\"vm-1\",\"address\":\"" SELF "\",\"data_center\":\"dc\"},"
			      "{\"name\":\"vm-2\",\"address\":\"127.0.0.1:2\","
			      "\"data_center\":\"dc\"}]");
	fleet_apply_vms(fleet_of(w->k), 5, text->str);
	g_string_free(text, TRUE);
}

/*
 * A team passes its rate. A VM stands still for longer than its lease, and another one has its
 * parts by then; when it wakes, requests are read before its timers have looked at the lease.
 */
static void test_a_vm_that_stood_still_spends_nothing(void)
{
	struct service *parts;
	struct request r;
	struct world w;

	world_open_rate(&w, 3);
	parts = kernel_find(w.k, "parts");
	CU_ASSERT_TRUE(parts->ops->start(parts, NULL));
	hold_parts(&w);
	run_ms(&w, 700);
	request(&w, &r);
	CU_ASSERT_EQUAL(r.verdict, 1);
	run_ms(&w, 200);
	g_usleep(SHARE_PAUSE_MAX_US + 100 * USEC_PER_MSEC);
	request(&w, &r);
	CU_ASSERT_NOT_EQUAL(r.verdict, 1);
	shares_cancel(&r.a);
}

/*
 * A group has no primary, and its callers' tries are refused without having run; each took a token,
 * and operations on other groups were refused for want of one. The token of what has not run goes
 * to the next operation, also to one that waits.
 */
static void test_what_has_not_run_gives_its_token_back(void)
{
	struct request r[2];
	struct world w;
	unsigned n = 0;

	world_open_rate(&w, 3);
	CU_ASSERT_TRUE(kernel_find(w.k, "parts")->ops->start(kernel_find(w.k, "parts"), NULL));
	hold_parts(&w);
	run_ms(&w, 700);
	do
		request(&w, &r[n++ % 2]);
	while (r[(n - 1) % 2].verdict == 1);
	CU_ASSERT_TRUE_FATAL(n > 1);
	/* The last one waits; the one before it has not run. */
	shares_settle(w.shares, TEAM, &r[n % 2].a, false);
	CU_ASSERT_EQUAL(r[(n - 1) % 2].verdict, 1);
	/* What has run keeps its token. */
	shares_settle(w.shares, TEAM, &r[(n - 1) % 2].a, true);
	request(&w, &r[0]);
	CU_ASSERT_NOT_EQUAL(r[0].verdict, 1);
	shares_cancel(&r[0].a);
}

static const struct test_case cases[] = {
	{"what_has_not_run_gives_its_token_back", test_what_has_not_run_gives_its_token_back},
	{"no_allocator_before_the_list_is_known", test_no_allocator_before_the_list_is_known},
	{"tokens_of_another_vm_are_asked_for", test_tokens_of_another_vm_are_asked_for},
	{"tokens_that_are_back_are_found", test_tokens_that_are_back_are_found},
	{"a_vm_that_stood_still_spends_nothing", test_a_vm_that_stood_still_spends_nothing},
	{"no_tokens_are_not_asked_for_at_once_again",
	 test_no_tokens_are_not_asked_for_at_once_again},
};
HARNESS_MAIN("shares", cases)
