/** @file test-relay.c Statements that go through another VM, between VMs in one process. */
#include "fleet.h"
#include "harness.h"
#include "outcome.h"
#include "relay.h"
#include "statement.h"

#include <string.h>

enum { ENTRY, RELAY, OWNER, VMS };

/** A VM with its own event loop. */
struct node {
	struct settings settings;
	struct kernel *k;
};

static struct node node[VMS];
static unsigned ran;	      /**< statements that the owner received */
static bool owner_is_mute;    /**< it runs statements but does not answer */
static enum rpc_status ended; /**< how the statement ended */
static int outcome;	      /**< of the answer; -1 for none */
static bool done;

static void serve_run(struct rpc_request *rq, const void *args, void *ctx)
{
	ml_run_res res = {.outcome = OUTCOME_DONE,
			  .message = "",
			  .signature = "sig",
			  .owner = "",
			  .owner_address = ""};

	ran++;
	if (!owner_is_mute)
		rpc_reply(rq, &res);
}

static void serve_contact(struct rpc_request *rq, const void *args, void *ctx)
{
	ml_owner res = {.pool = "", .vm = "", .address = "", .primary = ""};

	rpc_reply(rq, &res);
}

static void node_open(unsigned i, const int *ports)
{
	static const char *const names[] = {"entry", "relay", "owner"};
	struct vm_listing l[VMS];
	char address[VMS][ADDRESS_SIZE];
	struct node *n = &node[i];
	unsigned j;

	memset(n, 0, sizeof(*n));
	for (j = 0; j < VMS; j++) {
		g_snprintf(address[j], ADDRESS_SIZE, "127.0.0.1:%d", ports[j]);
		l[j] = (struct vm_listing){
			.name = names[j], .address = address[j], .data_center = "dc"};
	}
	g_strlcpy(n->settings.name, names[i], sizeof(n->settings.name));
	g_strlcpy(n->settings.advertise, address[i], sizeof(n->settings.advertise));
	g_strlcpy(n->settings.rpc_address, address[i], sizeof(n->settings.rpc_address));
	n->settings.silent_ms = 600;
	n->settings.relay = true;
	n->settings.platform_kind = PLATFORM_PREPARED;
	n->k = kernel_create(&n->settings);
	rpc_service_create(n->k);
	fleet_service_create(n->k);
	relay_service_create(n->k)->ops->start(kernel_find(n->k, "relay"), NULL);
	CU_ASSERT_TRUE_FATAL(rpc_listen(rpc_of(n->k), address[i], NULL));
	peers_apply_list(&fleet_of(n->k)->peers, 5, l, VMS);
}

static void open_all(void)
{
	int ports[VMS];
	unsigned i;

	test_free_ports(ports, VMS);
	for (i = 0; i < VMS; i++)
		node_open(i, ports);
	rpc_serve(rpc_of(node[OWNER].k), ML_RUN, serve_run, NULL);
	rpc_serve(rpc_of(node[OWNER].k), ML_OWNER, serve_contact, NULL);
	ran = 0;
	owner_is_mute = done = false;
}

static void close_node(unsigned i)
{
	rpc_free(rpc_of(node[i].k));
	/* The sockets are closed by the event loop. */
	event_base_loop(node[i].k->base, EVLOOP_NONBLOCK);
	node[i].k = NULL;
}

static void close_all(void)
{
	unsigned i;

	for (i = 0; i < VMS; i++) {
		if (node[i].k != NULL)
			close_node(i);
	}
}

static void run_ms(int ms)
{
	int64_t until = test_now_ms() + ms;
	unsigned i;

	while (test_now_ms() < until) {
		for (i = 0; i < VMS; i++) {
			if (node[i].k != NULL)
				event_base_loop(node[i].k->base, EVLOOP_NONBLOCK);
		}
		g_usleep(500);
	}
}

static void on_ended(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_run_res *res = arg_res;

	done = true;
	ended = status;
	outcome = res != NULL ? res->outcome : -1;
}

static ml_run_args statement(void)
{
	return (ml_run_args){.request = "r1",
			     .team = "t",
			     .pool = "p",
			     .text = "WRITE a 1",
			     .operand = "",
			     .shape = "",
			     .op = STATEMENT_WRITE,
			     .deadline_us = 500 * USEC_PER_MSEC};
}

static const char *owner_address_of_test(void)
{
	return node[OWNER].settings.advertise;
}

/** Looks for a way to the owner for up to a second. */
static enum relay_way find_way(void)
{
	int64_t until = test_now_ms() + 1000;
	enum relay_way way;

	while ((way = relay_find(node[ENTRY].k, owner_address_of_test())) != RELAY_KNOWN &&
	       test_now_ms() < until)
		run_ms(5);
	return way;
}

static void send_statement(void)
{
	ml_run_args run = statement();

	relay_start(node[ENTRY].k, owner_address_of_test(), &run, USEC_PER_SEC, on_ended, NULL);
}

/* Guards against a statement that is not served although a third VM reaches the owner. */
static void test_a_statement_goes_through_a_third_vm(void)
{
	open_all();
	relay_note_call(node[ENTRY].k, owner_address_of_test(), false);
	CU_ASSERT_TRUE(relay_is_lost(node[ENTRY].k, owner_address_of_test()));
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	send_statement();
	run_ms(100);
	CU_ASSERT_TRUE(done && ended == RPC_DONE && outcome == OUTCOME_DONE);
	CU_ASSERT_EQUAL(ran, 1);
	/* The owner has answered a call meanwhile, so statements go to it again. */
	CU_ASSERT_FALSE(relay_is_lost(node[ENTRY].k, owner_address_of_test()));
	close_all();
}

/* Guards against a write with an unknown outcome at a VM that does not know the message. */
static void test_no_statement_is_sent_to_a_vm_of_an_older_build(void)
{
	open_all();
	rpc_serve(rpc_of(node[RELAY].k), ML_RELAY, NULL, NULL);
	CU_ASSERT_NOT_EQUAL(find_way(), RELAY_KNOWN);
	CU_ASSERT_EQUAL(relay_find(node[ENTRY].k, owner_address_of_test()), RELAY_NONE);
	CU_ASSERT_EQUAL(ran, 0);
	close_all();
}

/* Guards against "not run" for a statement that may have run, and against the opposite. */
static void test_what_is_known_after_a_loss(void)
{
	open_all();
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	owner_is_mute = true;
	send_statement();
	run_ms(100);
	CU_ASSERT_TRUE(!done && ran == 1);
	close_node(RELAY);
	run_ms(100);
	CU_ASSERT_TRUE(done && ended == RPC_LOST);
	close_all();

	open_all();
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	close_node(OWNER);
	run_ms(50);
	send_statement();
	run_ms(200);
	CU_ASSERT_TRUE(done && ended == RPC_NOT_SENT && ran == 0);
	close_all();
}

static void on_refused(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_relay_res *res = arg_res;

	done = true;
	CU_ASSERT_TRUE(status == RPC_DONE && !res->tried);
}

static void expect_refused(const char *to, unsigned hops, const ml_run_args *run)
{
	ml_relay_args a = {.to = (char *)to, .via = "entry", .hops = hops, .run = *run};

	done = false;
	rpc_start(rpc_of(node[ENTRY].k), node[RELAY].settings.advertise, ML_RELAY, &a, USEC_PER_SEC,
		  on_refused, NULL);
	run_ms(50);
	CU_ASSERT_TRUE(done);
}

/* Guards against loops, a second hop, and a transaction that outlives its caller's connection. */
static void test_a_relay_refuses_without_sending(void)
{
	ml_run_args run = statement(), begin = statement(), late = statement();

	open_all();
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	begin.begin = STATEMENT_BEGIN;
	late.deadline_us = 0;
	expect_refused(owner_address_of_test(), 2, &run);
	expect_refused(node[RELAY].settings.advertise, 1, &run);
	expect_refused(node[ENTRY].settings.advertise, 1, &run);
	expect_refused("127.0.0.1:9", 1, &run);
	expect_refused(owner_address_of_test(), 1, &begin);
	expect_refused(owner_address_of_test(), 1, &late);
	node[RELAY].settings.relay = false;
	expect_refused(owner_address_of_test(), 1, &run);
	CU_ASSERT_EQUAL(ran, 0);
	close_all();
}

static const struct test_case cases[] = {
	{"a_statement_goes_through_a_third_vm", test_a_statement_goes_through_a_third_vm},
	{"no_statement_is_sent_to_a_vm_of_an_older_build",
	 test_no_statement_is_sent_to_a_vm_of_an_older_build},
	{"what_is_known_after_a_loss", test_what_is_known_after_a_loss},
	{"a_relay_refuses_without_sending", test_a_relay_refuses_without_sending},
};
HARNESS_MAIN("relay", cases)
