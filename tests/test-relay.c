/** @file test-relay.c Statements that go through another VM, between VMs in one process. */
#include "fleet.h"
#include "harness.h"
#include "outcome.h"
#include "relay.h"
#include "statement.h"

#include <string.h>

enum { ENTRY, RELAY, OWNER, VMS };

/** VMs, each with its own event loop. */
static struct node {
	struct settings settings;
	struct kernel *k;
	bool open;
} node[VMS];
#define TO node[OWNER].settings.advertise

static unsigned ran; /**< statements that the owner received */
static bool owner_is_mute;
static unsigned contacts; /**< calls that the owner received to find out whether it is reached */
static struct rpc_request *unanswered_contact; /**< the last of them, if the owner is mute */
static struct rpc_request *unanswered;	       /**< request that the mute owner holds */
static enum rpc_status ended;		       /**< how the statement ended */
static bool done;

static const ml_run_res run_res = {
	.message = "", .signature = "", .owner = "", .owner_address = ""};

static void serve_run(struct rpc_request *rq, const void *args, void *ctx)
{
	ran++;
	unanswered = rq;
	if (!owner_is_mute)
		rpc_reply(rq, &run_res);
}

static const ml_owner contact_res = {.pool = "", .vm = "", .address = "", .primary = ""};

static void serve_contact(struct rpc_request *rq, const void *args, void *ctx)
{
	contacts++;
	unanswered_contact = rq;
	if (!owner_is_mute)
		rpc_reply(rq, &contact_res);
}

static void node_open(struct node *n, const struct vm_listing *l)
{
	memset(n, 0, sizeof(*n));
	g_strlcpy(n->settings.name, l[n - node].name, NAME_SIZE);
	g_strlcpy(n->settings.advertise, l[n - node].address, ADDRESS_SIZE);
	n->settings.silent_ms = 600;
	n->settings.relay = n->open = true;
	n->settings.platform_kind = PLATFORM_PREPARED;
	n->k = kernel_create(&n->settings);
	rpc_service_create(n->k);
	fleet_service_create(n->k);
	relay_service_create(n->k)->ops->start(kernel_find(n->k, "relay"), NULL);
	CU_ASSERT_TRUE_FATAL(rpc_listen(rpc_of(n->k), n->settings.advertise, NULL));
	peers_apply_list(&fleet_of(n->k)->peers, 5, l, VMS);
}

static void open_all(void)
{
	struct vm_listing l[VMS] = {{"entry", .data_center = "dc"},
				    {"relay", .data_center = "dc"},
				    {"owner", .data_center = "dc"}};
	char address[VMS][ADDRESS_SIZE];
	int ports[VMS], i;

	test_free_ports(ports, VMS);
	for (i = 0; i < VMS; i++) {
		g_snprintf(address[i], ADDRESS_SIZE, "127.0.0.1:%d", ports[i]);
		l[i].address = address[i];
	}
	for (i = 0; i < VMS; i++)
		node_open(&node[i], l);
	rpc_serve(rpc_of(node[OWNER].k), ML_RUN, serve_run, NULL);
	rpc_serve(rpc_of(node[OWNER].k), ML_OWNER, serve_contact, NULL);
	ran = contacts = 0;
	owner_is_mute = done = false;
}

static void node_close(struct node *n)
{
	struct service *relay;

	if (!n->open)
		return;
	relay = kernel_find(n->k, "relay");
	rpc_free(rpc_of(n->k));
	relay->ops->stop(relay);
	n->open = false;
	/* The sockets are closed by the event loop. */
	event_base_loop(n->k->base, EVLOOP_NONBLOCK);
}

static void close_all(void)
{
	node_close(&node[ENTRY]);
	node_close(&node[RELAY]);
	node_close(&node[OWNER]);
}

static void run_ms(int ms)
{
	int64_t until = test_now_ms() + ms;

	while (test_now_ms() < until) {
		for (int i = 0; i < VMS; i++) {
			if (node[i].open)
				event_base_loop(node[i].k->base, EVLOOP_NONBLOCK);
		}
		g_usleep(500);
	}
}

static void on_ended(enum rpc_status status, const void *res, void *arg)
{
	done = true;
	ended = status;
}

static const ml_run_args write_args = {.request = "r1",
				       .team = "t",
				       .pool = "p",
				       .text = "WRITE a 1",
				       .operand = "",
				       .shape = "",
				       .op = STATEMENT_WRITE,
				       .deadline_us = 500 * USEC_PER_MSEC};

/** Looks for a way to the owner for up to a second. */
static enum relay_way find_way(void)
{
	int64_t until = test_now_ms() + 1000;
	enum relay_way way;

	while ((way = relay_find(node[ENTRY].k, TO)) != RELAY_KNOWN && test_now_ms() < until)
		run_ms(5);
	return way;
}

static void send_write(int ms)
{
	ml_run_args run = write_args;

	relay_start(node[ENTRY].k, TO, &run, USEC_PER_SEC, on_ended, NULL);
	run_ms(ms);
}

/* Guards against a statement that is not served although a third VM reaches the owner. */
static void test_a_statement_goes_through_a_third_vm(void)
{
	open_all();
	relay_note_call(node[ENTRY].k, TO, false);
	CU_ASSERT_TRUE(relay_is_lost(node[ENTRY].k, TO));
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	send_write(100);
	CU_ASSERT_TRUE(done && ended == RPC_DONE && ran == 1);
	/* The owner has answered a call meanwhile, so statements go to it again. */
	CU_ASSERT_FALSE(relay_is_lost(node[ENTRY].k, TO));
	close_all();
}

/* Guards against a claim by a VM that drops what it knows and has not asked anew yet. */
static void test_a_path_is_kept_until_others_are_asked(void)
{
	open_all();
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	/* VMs were asked a moment ago, so they are not asked now. */
	relay_ask_again(node[ENTRY].k, TO);
	CU_ASSERT_TRUE(relay_reaches(node[ENTRY].k, TO));
	run_ms(150);
	relay_ask_again(node[ENTRY].k, TO);
	CU_ASSERT_FALSE(relay_reaches(node[ENTRY].k, TO));
	run_ms(50);
	CU_ASSERT_TRUE(relay_reaches(node[ENTRY].k, TO));
	close_all();
}

/* Guards against an invalid address when a path expires between its choice and its use. */
static void test_a_statement_without_a_path_is_not_sent(void)
{
	GLogLevelFlags fatal = g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);

	open_all();
	send_write(50);
	CU_ASSERT_TRUE(done && ended == RPC_NOT_SENT && ran == 0);
	close_all();
	g_log_set_always_fatal(fatal);
}

static void on_question_answered(enum rpc_status status, const void *res, void *arg)
{
	done = true;
	CU_ASSERT_TRUE(status == RPC_DONE &&
		       ((const ml_relay_res *)res)->run.outcome == OUTCOME_NOT_SENT);
}

static void ask_relay(int ms)
{
	ml_relay_args a = {.to = TO, .via = "entry", .hops = 0, .run = write_args};

	done = false;
	rpc_start(rpc_of(node[ENTRY].k), node[RELAY].settings.advertise, ML_RELAY, &a, USEC_PER_SEC,
		  on_question_answered, NULL);
	run_ms(ms);
	CU_ASSERT_TRUE(done);
}

/* Guards against a call of 200 ms to a lost VM for each VM that asks about it. */
static void test_a_relay_does_not_call_a_lost_vm_for_each_question(void)
{
	open_all();
	owner_is_mute = true;
	ask_relay(300);
	CU_ASSERT_EQUAL(contacts, 1);
	ask_relay(50);
	CU_ASSERT_EQUAL(contacts, 1);
	rpc_reply(unanswered_contact, &contact_res);
	close_all();
}

/* Guards against a write with an unknown outcome at a VM that does not know the message. */
static void test_no_statement_is_sent_to_a_vm_of_an_older_build(void)
{
	open_all();
	rpc_serve(rpc_of(node[RELAY].k), ML_RELAY, NULL, NULL);
	CU_ASSERT_EQUAL(find_way(), RELAY_NONE);
	CU_ASSERT_EQUAL(ran, 0);
	close_all();
}

/* Guards against "not run" for a statement that may have run, and against the opposite. */
static void test_what_is_known_after_a_loss(void)
{
	open_all();
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	owner_is_mute = true;
	send_write(100);
	CU_ASSERT_TRUE(!done && ran == 1);
	node_close(&node[RELAY]);
	run_ms(100);
	CU_ASSERT_TRUE(done && ended == RPC_LOST);
	rpc_reply(unanswered, &run_res);
	close_all();

	open_all();
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	node_close(&node[OWNER]);
	run_ms(50);
	send_write(200);
	CU_ASSERT_TRUE(done && ended == RPC_NOT_SENT && ran == 0);
	close_all();
}

static void on_refused(enum rpc_status status, const void *res, void *arg)
{
	done = true;
	CU_ASSERT_TRUE(status == RPC_DONE && !((const ml_relay_res *)res)->tried);
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
	ml_run_args begin = write_args, late = write_args;

	open_all();
	CU_ASSERT_EQUAL(find_way(), RELAY_KNOWN);
	begin.begin = STATEMENT_BEGIN;
	late.deadline_us = 0;
	expect_refused(TO, 2, &write_args);
	expect_refused(node[RELAY].settings.advertise, 1, &write_args);
	expect_refused(node[ENTRY].settings.advertise, 1, &write_args);
	expect_refused("127.0.0.1:9", 1, &write_args);
	expect_refused(TO, 1, &begin);
	expect_refused(TO, 1, &late);
	node[RELAY].settings.relay = false;
	expect_refused(TO, 1, &write_args);
	CU_ASSERT_EQUAL(ran, 0);
	close_all();
}

static const struct test_case cases[] = {
	{"a_statement_goes_through_a_third_vm", test_a_statement_goes_through_a_third_vm},
	{"a_path_is_kept_until_others_are_asked", test_a_path_is_kept_until_others_are_asked},
	{"a_statement_without_a_path_is_not_sent", test_a_statement_without_a_path_is_not_sent},
	{"a_relay_does_not_call_a_lost_vm_for_each_question",
	 test_a_relay_does_not_call_a_lost_vm_for_each_question},
	{"no_statement_is_sent_to_a_vm_of_an_older_build",
	 test_no_statement_is_sent_to_a_vm_of_an_older_build},
	{"what_is_known_after_a_loss", test_what_is_known_after_a_loss},
	{"a_relay_refuses_without_sending", test_a_relay_refuses_without_sending},
};
HARNESS_MAIN("relay", cases)
