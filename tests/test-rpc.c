/** @file test-rpc.c The status with which RPC calls end, on real sockets in one process. */
#include "harness.h"
#include "net.h"
#include "rpc.h"

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

/** Upper bound of the time in which a loopback connection is established. */
#define CONNECTED_US (50 * USEC_PER_MSEC)
/** Time for which the event loop runs, so that all pending events are handled. */
#define SETTLE_US (100 * USEC_PER_MSEC)

/** A calling daemon, and a peer that is only a listening socket, which the test reads itself. */
struct pair {
	struct settings settings;
	struct kernel *kernel;
	struct rpc *rpc;
	int listener;
	char address[ADDRESS_SIZE];
};

struct ended {
	bool called;
	enum rpc_status status;
};

static void on_done(enum rpc_status status, const void *res, void *arg)
{
	struct ended *e = arg;

	e->called = true;
	e->status = status;
}

static void pair_open(struct pair *p)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);

	memset(p, 0, sizeof(*p));
	g_strlcpy(p->settings.name, "vm0", sizeof(p->settings.name));
	g_strlcpy(p->settings.advertise, "127.0.0.1:1", sizeof(p->settings.advertise));
	p->settings.silent_ms = 1000;
	p->kernel = kernel_create(&p->settings);
	p->rpc = rpc_create(p->kernel);
	p->listener = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(bind(p->listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(p->listener, 8), 0);
	getsockname(p->listener, (struct sockaddr *)&sin, &len);
	g_snprintf(p->address, sizeof(p->address), "127.0.0.1:%u", ntohs(sin.sin_port));
}

static void pair_close(struct pair *p)
{
	close(p->listener);
	rpc_free(p->rpc);
	kernel_free(p->kernel);
}

static void settle(struct pair *p)
{
	const struct timeval tv = {.tv_usec = SETTLE_US};

	event_base_loopexit(p->kernel->base, &tv);
	event_base_dispatch(p->kernel->base);
}

/** Accepts the connection at the peer's listener. @return the number of bytes received on it */
static ssize_t peer_read(struct pair *p)
{
	char bytes[512];
	int fd = accept(p->listener, NULL, NULL);
	ssize_t n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	close(fd);
	return n;
}

static void call(struct pair *p, int64_t timeout_us, struct ended *e)
{
	ml_report_request request = {0};

	request.team = "clerks";
	rpc_start(p->rpc, p->address, ML_REPORT_REQUEST, &request, timeout_us, on_done, e);
}

/*
 * Guards against a write that is reported as not sent but is committed. It comes about on a slow VM
 * when the connection is established and the call times out in the same iteration of the event
 * loop: the record is sent as soon as the socket is connected, but the event for it is handled
 * after the call has ended with RPC_NOT_SENT.
 */
static void test_not_sent_call_never_reaches_peer(void)
{
	struct ended e = {0};
	struct pair p;

	pair_open(&p);
	call(&p, USEC_PER_MSEC, &e);
	g_usleep(CONNECTED_US);
	settle(&p);
	CU_ASSERT_TRUE_FATAL(e.called);
	if (e.status == RPC_NOT_SENT)
		CHECK(peer_read(&p) <= 0, "the call was sent although it ended with RPC_NOT_SENT");
	pair_close(&p);
}

/** Guards against a call that the peer received but never answered being reported as not sent. */
static void test_unanswered_is_lost(void)
{
	struct ended e = {0};
	struct pair p;

	pair_open(&p);
	call(&p, CONNECTED_US, &e);
	settle(&p);
	CU_ASSERT_TRUE(e.called);
	CU_ASSERT_EQUAL(e.status, RPC_LOST);
	CU_ASSERT_TRUE(peer_read(&p) > 0);
	pair_close(&p);
}

/** Guards against a call being reported as possibly executed although its connection was refused.
 */
static void test_refused_is_not_sent(void)
{
	struct ended e = {0};
	struct pair p;

	pair_open(&p);
	close(p.listener);
	call(&p, USEC_PER_SEC, &e);
	settle(&p);
	CU_ASSERT_TRUE(e.called);
	CU_ASSERT_EQUAL(e.status, RPC_NOT_SENT);
	pair_close(&p);
}

/** Keeps the request, which the test may answer later. */
static void on_request(struct rpc_request *rq, const void *args, void *ctx)
{
	*(struct rpc_request **)ctx = rq;
}

/*
 * Guards against a caller that waits for ever: a call of this process to itself was bounded by
 * nothing but its handler. A reply after the time limit must not reach the caller again.
 */
static void test_unanswered_local_call_ends(void)
{
	ml_report_request request = {.team = "clerks"};
	struct rpc_request *rq = NULL;
	struct ended e = {0};
	struct pair p;
	ml_none none = {0};

	pair_open(&p);
	rpc_serve(p.rpc, ML_REPORT_REQUEST, on_request, &rq);
	rpc_start(p.rpc, p.settings.advertise, ML_REPORT_REQUEST, &request, USEC_PER_MSEC, on_done,
		  &e);
	settle(&p);
	CU_ASSERT_TRUE(e.called);
	CU_ASSERT_EQUAL(e.status, RPC_LOST);
	e.called = false;
	CU_ASSERT_PTR_NOT_NULL_FATAL(rq);
	rpc_reply(rq, &none);
	settle(&p);
	CU_ASSERT_FALSE(e.called);
	pair_close(&p);
}

/* Guards against a call that never ends since this process does not serve the procedure. */
static void test_unserved_local_call_is_not_sent(void)
{
	ml_report_request request = {.team = "clerks"};
	struct ended e = {0};
	struct pair p;

	pair_open(&p);
	rpc_start(p.rpc, p.settings.advertise, ML_REPORT_REQUEST, &request, USEC_PER_SEC, on_done,
		  &e);
	CU_ASSERT_FALSE(e.called);
	settle(&p);
	CU_ASSERT_TRUE(e.called);
	CU_ASSERT_EQUAL(e.status, RPC_NOT_SENT);
	pair_close(&p);
}

/** Whether a connection is still open some time after its only call has ended. */
static bool connection_outlives_idle(struct pair *p, int64_t keep_us)
{
	struct ended e = {0};

	call(p, CONNECTED_US, &e);
	rpc_keep(p->rpc, p->address, keep_us);
	settle(p);
	settle(p);
	settle(p);
	CU_ASSERT_TRUE(e.called);
	return rpc_connections(p->rpc) == 1;
}

/*
 * Guards against a fleet in which all VMs stay connected to all others, since each calls each at
 * some time. A connection that a transaction needs must stay, however long its caller rests.
 */
static void test_connection_without_calls_is_closed(void)
{
	struct pair p;

	pair_open(&p);
	p.settings.rpc_idle_ms = 1;
	p.settings.silent_ms = 4 * SETTLE_US / USEC_PER_MSEC;
	rpc_free(p.rpc);
	p.rpc = rpc_create(p.kernel);
	CU_ASSERT_FALSE(connection_outlives_idle(&p, 0));
	CU_ASSERT_TRUE(connection_outlives_idle(&p, USEC_PER_SEC * 60));
	pair_close(&p);
}

static bool every_address(const char *address, void *arg)
{
	return true;
}

static bool no_address(const char *address, void *arg)
{
	return false;
}

/* Guards against a VM that takes itself for cut off from the others, or does not notice it. */
static void test_last_contact_is_of_wanted_connections(void)
{
	struct ended e = {0};
	struct pair p;

	pair_open(&p);
	CU_ASSERT_EQUAL(rpc_last_received_from(p.rpc, every_address, NULL, 7), 7);
	call(&p, CONNECTED_US, &e);
	settle(&p);
	CU_ASSERT_EQUAL(rpc_last_received_from(p.rpc, no_address, NULL, 7), 7);
	CU_ASSERT_TRUE(rpc_last_received_from(p.rpc, every_address, NULL, 7) > 7);
	pair_close(&p);
}

static const struct test_case cases[] = {
	{"not_sent_call_never_reaches_peer", test_not_sent_call_never_reaches_peer},
	{"unanswered_is_lost", test_unanswered_is_lost},
	{"connection_without_calls_is_closed", test_connection_without_calls_is_closed},
	{"last_contact_is_of_wanted_connections", test_last_contact_is_of_wanted_connections},
	{"refused_is_not_sent", test_refused_is_not_sent},
	{"unanswered_local_call_ends", test_unanswered_local_call_ends},
	{"unserved_local_call_is_not_sent", test_unserved_local_call_is_not_sent},
};
HARNESS_MAIN("rpc", cases)
