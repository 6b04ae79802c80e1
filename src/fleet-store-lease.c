/** @file fleet-store-lease.c This VM's lease, and its registration: a key under that lease. */
#include "fleet-store-source.h"

#include "log.h"

#include <string.h>

/** Renewal interval; at least 9.5 s of the lease are left when an outage of the store begins. */
#define LEASE_RENEW_INTERVAL_US (2500 * USEC_PER_MSEC)
/** Delay after a failed lease call: a fraction of the lease time left, at least the minimum. */
#define LEASE_RETRY_MIN_US (500 * USEC_PER_MSEC)
#define LEASE_RETRY_DIVISOR 4
/** Target rate at which all VMs together write their keys after a change of the era. */
#define ERA_WRITES_PER_S 200
/** Writes of the key that are tried at once after another process has changed it. */
#define KEY_CONFLICTS_MAX 3

int64_t fleet_store_lease_until_us(struct fleet *f)
{
	return store_source.registered ? store_source.lease_until_us : 0;
}

uint64_t fleet_store_lease(struct fleet *f)
{
	return store_source.registered ? store_source.lease : 0;
}

uint64_t fleet_store_registration(struct fleet *f)
{
	return store_source.registered ? store_source.registration : 0;
}

int64_t fleet_store_trusted_until_us(struct fleet *f, uint64_t registration)
{
	if (registration == 0)
		return 0;
	if (registration == fleet_store_registration(f))
		return store_source.lease_until_us;
	return registration == store_source.previous_registration
		       ? store_source.previous_lease_until_us
		       : 0;
}

bool fleet_store_renewed(void)
{
	return store_source.lease_era == store_source.era.now;
}

uint64_t fleet_store_lapses(void)
{
	return store_source.lapses;
}

void fleet_store_set_caught_up_cb(fleet_store_caught_up_cb cb, void *owner)
{
	store_source.caught_up = cb;
	store_source.caught_up_owner = owner;
}

uint64_t fleet_store_lease_era(void)
{
	return store_source.lease_era;
}

int64_t source_lease_retry_us(int64_t left_us)
{
	return CLAMP(left_us / LEASE_RETRY_DIVISOR, LEASE_RETRY_MIN_US, LEASE_RENEW_INTERVAL_US);
}

/**
 * Saves the registration and the end of the lease of the previous era. State read under that
 * registration may be acted on until that lease ends, since other VMs wait until this VM publishes
 * the new era or the lease has expired.
 */
static void save_previous_registration(void)
{
	store_source.previous_registration = fleet_store_registration(store_source.f);
	store_source.previous_lease_until_us = store_source.lease_until_us;
}

static void lease_lost(const char *why)
{
	if (store_source.registered && store_source.era.now != store_source.lease_era)
		save_previous_registration();
	if (store_source.registered)
		log_process(G_LOG_LEVEL_WARNING, "lease-lost", LOG_NUM("lease", store_source.lease),
			    LOG_STR("why", why));
	store_source.lease = 0;
	store_source.registered = false;
	store_source.lease_next_us = 0;
}

/** Returns the name of this VM's key; free with g_free(). */
static char *own_key(void)
{
	return g_strconcat(FLEET_STORE_VMS, store_source.f->service.kernel->settings->name, NULL);
}

static void register_vm(void);

static void on_key_read(const struct store_answer *a, void *arg)
{
	const struct store_item *item = a->items->len > 0 ? g_ptr_array_index(a->items, 0) : NULL;

	store_source.lease_call_pending = false;
	if (a->status != STORE_DONE && a->status != STORE_NO_LEASE) {
		source_set_reachable("register", false);
		store_source.lease_next_us = now_us() + LEASE_RETRY_MIN_US;
		return;
	}
	store_source.key_revision = item != NULL && item->value != NULL ? item->revision : 0;
	if (!store_source.releasing)
		register_vm();
}

/** Reads the key if another process has changed it, such as the previous one, and tries again. */
static void key_conflict(void)
{
	char *key = own_key();

	source_set_reachable("register", true);
	if (++store_source.key_conflicts <= KEY_CONFLICTS_MAX) {
		store_source.lease_call_pending = true;
		store_source.store->ops->get(store_source.store, key, on_key_read, NULL);
	} else {
		store_source.key_conflicts = 0;
		store_source.lease_next_us = now_us() + LEASE_RETRY_MIN_US;
	}
	g_free(key);
}

static void on_registered(const struct store_answer *a, void *arg)
{
	store_source.lease_call_pending = false;
	if (a->status == STORE_NO_LEASE) {
		lease_lost("not-known");
		return;
	}
	if (a->status == STORE_CONFLICT) {
		key_conflict();
		return;
	}
	store_source.key_conflicts = 0;
	/* Writing the key is idempotent, so a write without an answer is retried. */
	if (a->status != STORE_DONE) {
		source_set_reachable("register", false);
		store_source.lease_next_us = now_us() + LEASE_RETRY_MIN_US;
		return;
	}
	source_set_reachable("register", true);
	store_source.key_revision = a->revision;
	store_source.published_era = store_source.publishing_era;
	if (!store_source.registered)
		store_source.registration++;
	store_source.registered = true;
	store_source.lease_next_us = store_source.lease_sent_us + LEASE_RENEW_INTERVAL_US;
	if (store_source.on_key_written != NULL)
		g_steal_pointer (&store_source.on_key_written)();
	log_process(G_LOG_LEVEL_INFO, "lease-held", LOG_NUM("lease", store_source.lease),
		    LOG_NUM("until_ms", (store_source.lease_until_us - now_us()) / USEC_PER_MSEC));
}

/**
 * Returns the era to write into this VM's key. By publishing an era, a VM confirms to the others
 * that it no longer acts on state of a previous era, and that it has written again what it knows
 * and the store has lost.
 */
static uint64_t era_to_publish(void)
{
	bool first = store_source.published_era == 0;

	if (first || store_source.caught_up == NULL ||
	    store_source.caught_up(store_source.caught_up_owner))
		return store_source.lease_era;
	return store_source.published_era;
}

static void register_vm(void)
{
	struct kernel *k = store_source.f->service.kernel;
	const struct settings *set = k->settings;
	uint64_t era = era_to_publish();
	char *key = own_key();
	char *value =
		g_strdup_printf("{\"name\":\"%s\",\"address\":\"%s\",\"data_center\":\"%s\","
				"\"incarnation\":\"%lx\",\"era\":\"%lx\"}",
				set->name, set->advertise, set->data_center, k->incarnation, era);
	struct store_write w = {.key = key, .value = value, .lease = store_source.lease};
	/*
	 * Without a guard the write of a process that has been killed could be run late, and take
	 * the key of its successor, which others would then take for ended.
	 */
	struct store_guard guard = {.key = key};

	if (fleet_store_is_current(store_source.key_revision))
		guard.revision = store_source.key_revision;

	store_source.publishing_era = era;
	store_source.lease_call_pending = true;
	store_source.store->ops->commit(store_source.store, &guard, 1, &w, 1, on_registered, NULL);
	g_free(value);
	g_free(key);
}

/** Returns a random delay for the write of a new era, to spread the writes of all VMs. */
static int64_t rewrite_delay_us(void)
{
	int64_t spread_us = (int64_t)store_source.f->n_listed * USEC_PER_SEC / ERA_WRITES_PER_S;

	return spread_us > 0 ? (int64_t)(random_bits() % (uint64_t)spread_us) : 0;
}

static void on_lease_answer(const struct store_answer *a, void *arg)
{
	store_source.lease_call_pending = false;
	if (a->status == STORE_NO_LEASE) {
		lease_lost("ended");
		return;
	}
	source_set_reachable("lease", a->status == STORE_DONE);
	if (a->status != STORE_DONE) {
		int64_t now = now_us();
		int64_t left = store_source.registered ? store_source.lease_until_us - now : 0;

		store_source.lease_next_us = now + source_lease_retry_us(left);
		return;
	}
	if (a->lease != 0)
		store_source.lease = a->lease;
	if (now_us() >= store_source.lease_until_us)
		store_source.lapses++;
	if (a->era != store_source.lease_era)
		save_previous_registration();
	store_source.lease_until_us =
		store_source.lease_sent_us + (a->ttl_us > 0 ? MIN(a->ttl_us, LEASE_TTL_US) : 0);
	store_source.lease_next_us = store_source.lease_sent_us + LEASE_RENEW_INTERVAL_US;
	if (store_source.registered && a->era != store_source.lease_era) {
		store_source.registration++;
		store_source.rewrite_next_us = now_us() + rewrite_delay_us();
	}
	store_source.lease_era = a->era;
	if (!store_source.registered)
		register_vm();
}

void source_own_key_changed(const struct store_item *item)
{
	char name[NAME_SIZE];
	uint64_t incarnation = 0;

	/* The key of a restored store is left to the renewal of the lease. */
	if (era_of(item->revision) != era_of(store_source.key_revision))
		return;
	/* What can't be read is not taken for another process by other VMs either. */
	if (item->value != NULL && (!fleet_store_vm_parse(item->value, name, &incarnation) ||
				    incarnation == store_source.f->service.kernel->incarnation))
		return;
	store_source.foreign_revision = item->revision;
	if (store_source.registered && item->revision > store_source.key_revision)
		log_process(G_LOG_LEVEL_WARNING, "key-taken",
			    LOG_NUM("removed", item->value == NULL),
			    LOG_REVISION("revision", item->revision));
}

/** Whether another process has written this VM's key after its last write, or it was removed. */
static bool key_is_foreign(void)
{
	return store_source.registered && store_source.foreign_revision > store_source.key_revision;
}

void source_rewrite_key(int64_t now, void (*then)(void))
{
	if (!store_source.registered || store_source.lease_call_pending ||
	    now < store_source.rewrite_next_us)
		return;
	store_source.rewrite_next_us = now + LEASE_RETRY_MIN_US;
	if (then != NULL)
		store_source.on_key_written = then;
	register_vm();
}

void source_lease_tick(int64_t now)
{
	bool key_is_outdated =
		store_source.registered && store_source.published_era < store_source.lease_era;

	if (store_source.lease_call_pending || store_source.releasing)
		return;
	if (key_is_outdated && era_to_publish() == store_source.lease_era) {
		source_rewrite_key(now, NULL);
		return;
	}
	if (key_is_foreign()) {
		source_rewrite_key(now, NULL);
		if (store_source.lease_call_pending)
			return;
	}
	if (now < store_source.lease_next_us)
		return;
	if (store_source.lease != 0 && !store_source.registered) {
		register_vm();
		return;
	}
	store_source.lease_call_pending = true;
	store_source.lease_sent_us = now;
	if (store_source.lease == 0)
		store_source.store->ops->lease_grant(store_source.store, LEASE_TTL_US,
						     on_lease_answer, NULL);
	else
		store_source.store->ops->lease_renew(store_source.store, store_source.lease,
						     on_lease_answer, NULL);
}

static void on_released(const struct store_answer *a, void *arg)
{
	store_source.released = true;
}

bool fleet_store_release(struct fleet *f)
{
	if (store_source.releasing || store_source.lease == 0)
		return store_source.released || store_source.lease == 0;
	store_source.releasing = true;
	store_source.registered = false;
	log_info("lease-released", LOG_NUM("lease", store_source.lease));
	store_source.store->ops->lease_end(store_source.store, store_source.lease, on_released,
					   NULL);
	return false;
}
