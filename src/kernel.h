/**
 * @file kernel.h
 * The micro-kernel: one event loop and a list of services that find each other by name. A service
 * owns I/O; decisions are made by the modules under decide/.
 */
#ifndef KERNEL_H
#define KERNEL_H

#include "settings.h"
#include "types.h"

#include <event2/event.h>
#include <glib.h>

struct adapter;
struct kernel;
struct service;

struct service_ops {
	const char *name;
	/** Open what the service needs. Services start in the order in which they were added. */
	gboolean (*start)(struct service *s, GError **error);
	/**
	 * Take no new work. May be NULL. Called in the reverse order of starting: callers first,
	 * the fleet last.
	 */
	void (*drain)(struct service *s);
	/** Whether all work has ended after drain(). May be NULL for always. */
	bool (*drained)(struct service *s);
	/** Free everything. Services stop in the reverse order. */
	void (*stop)(struct service *s);
};

/** First member of each service. */
struct service {
	const struct service_ops *ops;
	struct kernel *kernel;
	TAILQ_ENTRY(service) link;
};
TAILQ_HEAD(services, service);

struct kernel {
	struct event_base *base;
	const struct settings *settings;
	const struct adapter *adapter; /**< NULL with etcd and PostgreSQL */
	uint64_t incarnation; /**< random; tells this process from earlier ones on the VM */
	struct services services;
	bool draining;
	struct event *drain_timer;
	int64_t drain_until_us;
};

struct kernel *kernel_create(const struct settings *settings);
void kernel_add(struct kernel *k, struct service *s);
/** @return the service named @a name, NULL when this daemon has none */
struct service *kernel_look(struct kernel *k, const char *name);
/** @return the service named @a name; a name that no service has is a broken invariant. */
struct service *kernel_find(struct kernel *k, const char *name);
gboolean kernel_start(struct kernel *k, GError **error);
/** Run until kernel_drain() has ended. */
void kernel_run(struct kernel *k);
/** Begin the graceful shutdown: drain the services, then leave the loop. */
void kernel_drain(struct kernel *k);
void kernel_free(struct kernel *k);

/** Monotonic microseconds, which also pass while the VM is suspended. */
int64_t now_us(void);
/** Take the time from @a now, for a test that plays it; NULL: from the system again. */
void kernel_set_clock(int64_t (*now)(void));
/** 64 random bits. */
uint64_t random_bits(void);
/** A persistent timer that calls @a cb every @a us; freed by the caller. */
struct event *kernel_every(struct kernel *k, int64_t us, event_callback_fn cb, void *arg);
/** Arm the one-shot @a timer for @a us from now. */
void kernel_arm(struct event *timer, int64_t us);

#endif
