/**
 * @file kernel.h
 * The micro-kernel: one event loop and a list of services that find each other by name. Services do
 * the I/O; decisions are made by the modules under decide/, which do none.
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
	/** Opens the service's resources. Services start in the order in which they were added. */
	gboolean (*start)(struct service *s, GError **error);
	/**
	 * Stops accepting work. May be NULL. Services are drained in the order in which they were
	 * added.
	 */
	void (*drain)(struct service *s);
	/** Returns whether all work has ended after drain(). NULL: always true. */
	bool (*drained)(struct service *s);
	/** Frees the service. Services stop in the reverse order of starting. */
	void (*stop)(struct service *s);
};

/** Base of each service: the first member of its struct. */
struct service {
	const struct service_ops *ops;
	struct kernel *kernel;
	TAILQ_ENTRY(service) link;
};
TAILQ_HEAD(services, service);

struct kernel {
	struct event_base *base;
	const struct settings *settings;
	const struct adapter *adapter; /**< NULL with PLATFORM_ETCD */
	uint64_t incarnation; /**< random; distinguishes this process from earlier ones on the VM */
	struct services services;
	bool draining;
	struct event *drain_timer;
	int64_t drain_until_us;
};

struct kernel *kernel_create(const struct settings *settings);
void kernel_add(struct kernel *k, struct service *s);
/** @return the service named @a name, or NULL if this daemon has none */
struct service *kernel_lookup(struct kernel *k, const char *name);
/** @return the service named @a name; aborts if there is none */
struct service *kernel_find(struct kernel *k, const char *name);
gboolean kernel_start(struct kernel *k, GError **error);
/** Runs the event loop until the shutdown begun by kernel_drain() is complete. */
void kernel_run(struct kernel *k);
/** Begins the graceful shutdown: drains the services, then leaves the loop. */
void kernel_drain(struct kernel *k);
void kernel_free(struct kernel *k);

/** @return monotonic time in microseconds, including time while the VM was suspended */
int64_t now_us(void);
/** Makes now_us() call @a now, for tests with simulated time; NULL: the system clock. */
void kernel_set_clock(int64_t (*now)(void));
/** @return 64 random bits from a cryptographic generator */
uint64_t random_bits(void);
/** @return a persistent timer that calls @a cb every @a us; free with event_free() */
struct event *kernel_every(struct kernel *k, int64_t us, event_callback_fn cb, void *arg);
/** Arms @a timer to fire in @a us; a one-shot timer fires once. */
void kernel_arm(struct event *timer, int64_t us);

#endif
