/** @file kernel.c The event loop, its clock and timers, and the registry of services. */
#include "kernel.h"

#include "error.h"
#include "log.h"

#include <sodium.h>
#include <string.h>
#include <time.h>

#define DRAIN_CHECK_INTERVAL_US (20 * USEC_PER_MSEC)

static int64_t boottime_us(void)
{
	struct timespec ts;

	/*
	 * CLOCK_MONOTONIC stops while a VM is suspended. A lease checked against it would still
	 * seem valid after the VM resumes, although another VM may have acquired it meanwhile.
	 */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static int64_t (*clock_source)(void) = boottime_us;

int64_t now_us(void)
{
	return clock_source();
}

void kernel_set_clock(int64_t (*now)(void))
{
	clock_source = now != NULL ? now : boottime_us;
}

uint64_t random_bits(void)
{
	uint64_t bits;

	randombytes_buf(&bits, sizeof(bits));
	return bits;
}

struct kernel *kernel_create(const struct settings *settings)
{
	struct kernel *k = g_new0(struct kernel, 1);

	if (sodium_init() < 0)
		g_error("cannot initialise libsodium");
	k->settings = settings;
	k->base = event_base_new();
	k->incarnation = random_bits();
	TAILQ_INIT(&k->services);
	return k;
}

void kernel_add(struct kernel *k, struct service *s)
{
	s->kernel = k;
	TAILQ_INSERT_TAIL(&k->services, s, link);
}

struct service *kernel_lookup(struct kernel *k, const char *name)
{
	struct service *s;

	/*
	 * Services are looked up many times per statement, mostly by the same string literal that
	 * names them: comparing pointers first avoids most calls of strcmp().
	 */
	TAILQ_FOREACH(s, &k->services, link) {
		if (s->ops->name == name)
			return s;
	}
	TAILQ_FOREACH(s, &k->services, link) {
		if (strcmp(s->ops->name, name) == 0)
			return s;
	}
	return NULL;
}

struct service *kernel_find(struct kernel *k, const char *name)
{
	struct service *s = kernel_lookup(k, name);

	if (s == NULL)
		g_error("no service is named %s", name);
	return s;
}

gboolean kernel_start(struct kernel *k, GError **error)
{
	struct service *s;

	TAILQ_FOREACH(s, &k->services, link) {
		if (s->ops->start != NULL && !s->ops->start(s, error))
			return FALSE;
	}
	return TRUE;
}

void kernel_run(struct kernel *k)
{
	event_base_dispatch(k->base);
}

static bool kernel_drained(struct kernel *k)
{
	struct service *s;

	TAILQ_FOREACH(s, &k->services, link) {
		if (s->ops->drained != NULL && !s->ops->drained(s))
			return false;
	}
	return true;
}

static void drain_check(evutil_socket_t fd, short what, void *arg)
{
	struct kernel *k = arg;

	if (!kernel_drained(k) && now_us() < k->drain_until_us)
		return;
	log_process(G_LOG_LEVEL_INFO, "stopped", LOG_NUM("clean", kernel_drained(k)));
	event_base_loopbreak(k->base);
}

void kernel_drain(struct kernel *k)
{
	struct service *s;

	if (k->draining)
		return;
	k->draining = true;
	log_process(G_LOG_LEVEL_INFO, "draining", LOG_NUM("limit_ms", k->settings->drain_ms));
	TAILQ_FOREACH(s, &k->services, link) {
		if (s->ops->drain != NULL)
			s->ops->drain(s);
	}
	k->drain_until_us = now_us() + (int64_t)k->settings->drain_ms * USEC_PER_MSEC;
	k->drain_timer = kernel_every(k, DRAIN_CHECK_INTERVAL_US, drain_check, k);
}

void kernel_free(struct kernel *k)
{
	struct service *s;

	while ((s = TAILQ_LAST(&k->services, services)) != NULL) {
		TAILQ_REMOVE(&k->services, s, link);
		s->ops->stop(s);
	}
	if (k->drain_timer != NULL)
		event_free(k->drain_timer);
	event_base_free(k->base);
	g_free(k);
}

struct event *kernel_every(struct kernel *k, int64_t us, event_callback_fn cb, void *arg)
{
	struct event *timer = event_new(k->base, -1, EV_PERSIST, cb, arg);

	kernel_arm(timer, us);
	return timer;
}

void kernel_arm(struct event *timer, int64_t us)
{
	struct timeval tv = {.tv_sec = us / USEC_PER_SEC, .tv_usec = us % USEC_PER_SEC};

	event_add(timer, &tv);
}
