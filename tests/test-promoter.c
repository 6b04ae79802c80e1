/** @file test-promoter.c Promotion orders that are given up before they are answered. */
#include "harness.h"
#include "kernel.h"
#include "net.h"
#include "platform-adapter.h"

#include <errno.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

/** A platform that accepts connections and does not read, like one behind a path that is cut. */
struct platform {
	struct settings settings;
	struct kernel *k;
	struct evconnlistener *listener;
	evutil_socket_t fd; /**< the accepted connection, or -1 */
	char address[ADDRESS_SIZE];
	int answers;
	enum promoter_result result;
};

static void on_accepted(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
			void *arg)
{
	struct platform *p = arg;

	p->fd = fd;
}

static void on_answer(enum promoter_result result, int code, void *arg)
{
	struct platform *p = arg;

	p->answers++;
	p->result = result;
}

static void platform_open(struct platform *p)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	memset(p, 0, sizeof(*p));
	p->fd = -1;
	p->k = kernel_create(&p->settings);
	p->listener = net_listen(p->k->base, "127.0.0.1:0", on_accepted, p, NULL);
	getsockname(evconnlistener_get_fd(p->listener), (struct sockaddr *)&sin, &len);
	g_snprintf(p->address, sizeof(p->address), "127.0.0.1:%d", ntohs(sin.sin_port));
}

static void platform_close(struct platform *p)
{
	evutil_closesocket(p->fd);
	/* The answered order's connection is freed when its peer has closed it. */
	event_base_loop(p->k->base, EVLOOP_NONBLOCK);
	evconnlistener_free(p->listener);
	kernel_free(p->k);
}

/** Orders a promotion, and waits until the platform has accepted its connection. */
static void order(struct platform *p, int64_t timeout_us)
{
	int64_t until = test_now_ms() + 3000;

	platform_promoter_ops.promote(p->k, p->address, "svc", "m1", "vm-1", 7, timeout_us,
				      on_answer, p);
	while (p->fd < 0 && test_now_ms() < until)
		event_base_loop(p->k->base, EVLOOP_ONCE);
	CU_ASSERT_FATAL(p->fd >= 0);
}

/** Returns whether the connection was reset, which drops bytes that are held up on the way. */
static bool was_reset(struct platform *p)
{
	char buf[4096];
	ssize_t n;

	do {
		n = recv(p->fd, buf, sizeof(buf), MSG_DONTWAIT);
	} while (n > 0);
	return n < 0 && errno == ECONNRESET;
}

/*
 * Guards against an order that a cut holds up and that arrives after its owner has given it up,
 * with a lower fencing token than that of the next owner.
 */
static void test_an_order_without_an_answer_is_reset(void)
{
	int64_t until = test_now_ms() + 3000;
	struct platform p;

	platform_open(&p);
	order(&p, 50 * USEC_PER_MSEC);
	while (p.answers == 0 && test_now_ms() < until)
		event_base_loop(p.k->base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(p.answers, 1);
	CU_ASSERT_EQUAL(p.result, PROMOTER_UNKNOWN);
	CU_ASSERT_TRUE(was_reset(&p));
	platform_close(&p);
}

/* Guards against an order that arrives after its owner has said that it stopped. */
static void test_an_order_that_is_taken_back_is_reset(void)
{
	struct platform p;

	platform_open(&p);
	order(&p, 10 * USEC_PER_SEC);
	platform_promoter_ops.take_back(&p);
	event_base_loop(p.k->base, EVLOOP_NONBLOCK);
	CU_ASSERT_EQUAL(p.answers, 0);
	CU_ASSERT_TRUE(was_reset(&p));
	platform_close(&p);
}

/** Reads the order, and sends @a answer. */
static void platform_answer(struct platform *p, const char *answer)
{
	int64_t until = test_now_ms() + 3000;
	char buf[4096];

	while (recv(p->fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0 && test_now_ms() < until)
		event_base_loop(p->k->base, EVLOOP_NONBLOCK);
	CU_ASSERT_EQUAL(send(p->fd, answer, strlen(answer), 0), (ssize_t)strlen(answer));
	while (p->answers == 0 && test_now_ms() < until)
		event_base_loop(p->k->base, EVLOOP_ONCE);
}

static void test_answers(void)
{
	static const struct {
		const char *answer;
		enum promoter_result result;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", PROMOTER_ACCEPTED},
		{"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", PROMOTER_REFUSED},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", PROMOTER_UNKNOWN},
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct platform p;

		platform_open(&p);
		order(&p, 3 * USEC_PER_SEC);
		platform_answer(&p, cases[i].answer);
		CHECK(p.answers == 1 && p.result == cases[i].result, "case %u: %d", i, p.result);
		platform_promoter_ops.take_back(&p);
		platform_close(&p);
	}
}

static const struct test_case cases[] = {
	{"an_order_without_an_answer_is_reset", test_an_order_without_an_answer_is_reset},
	{"an_order_that_is_taken_back_is_reset", test_an_order_that_is_taken_back_is_reset},
	{"answers", test_answers},
};

int main(int argc, char **argv)
{
	return harness_run("promoter", cases, G_N_ELEMENTS(cases), argc, argv);
}
