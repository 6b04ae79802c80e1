/** @file parts.c Claims the fixed parts of this VM's data centre and tracks which ones it holds. */
#include "parts.h"

#include "fleet-store.h"
#include "log.h"

#include <string.h>

#define TICK_US (100 * USEC_PER_MSEC)
/**
 * Extra delay of each further VM of the data centre, in a fixed order, before it claims a free
 * part. A later VM has to claim at all because the store may refuse an earlier one without the
 * others knowing.
 */
#define CLAIM_STAGGER_US (400 * USEC_PER_MSEC)
/**
 * Number of VMs of a data centre that watch the store and so learn of a free part first. Equals
 * WATCHERS in fleet-conf.c.
 */
#define WATCHERS_PER_DC 2
/** Pause after a failed claim, in which the list of VMs shows which VM holds the part. */
#define CLAIM_RETRY_US (1 * USEC_PER_SEC)
/** Size of a part's key: prefix, data centre, index. */
#define KEY_SIZE (NAME_SIZE + 32)

/** One part of this VM's data centre. */
struct part {
	struct parts *parts;
	unsigned index;
	uint64_t lease; /**< lease that this VM holds the part under; 0 if it does not hold it */
	uint64_t claim_lease;	/**< lease of the claim in progress */
	uint64_t revision;	/**< last known revision of the key; 0 if there is no key */
	bool previous;		/**< the key names a previous process of this VM */
	bool inherited;		/**< this VM's claim replaced the key of its previous process */
	bool claiming;		/**< a claim is in progress */
	int64_t free_since_us;	/**< since when no holder is known; 0 while there is one */
	int64_t claim_after_us; /**< no claim is sent before this time */
};

struct parts {
	struct service service;
	struct event *tick;
	struct part part[PARTS_PER_DC];
};

struct parts *parts_of(struct kernel *k)
{
	return (struct parts *)kernel_lookup(k, "parts");
}

static struct fleet *parts_fleet(const struct parts *p)
{
	return fleet_of(p->service.kernel);
}

/**
 * Returns whether a key of @a revision may still be relied on under the present lease. A key of an
 * earlier era counts for as long as the lease of that era does.
 */
static bool is_of_lease_era(uint64_t revision)
{
	return era_of(revision) >= fleet_store_lease_era();
}

static bool holds(const struct part *part)
{
	struct fleet *f = parts_fleet(part->parts);

	return part->lease != 0 && part->lease == fleet_store_lease(f) &&
	       fleet_confirmed_listed(f) && is_of_lease_era(part->revision);
}

unsigned parts_held(const struct parts *p)
{
	unsigned i, held = 0;

	for (i = 0; i < PARTS_PER_DC; i++)
		held |= holds(&p->part[i]) ? 1U << i : 0;
	return held;
}

unsigned parts_inherited(const struct parts *p)
{
	unsigned i, bits = 0;

	for (i = 0; i < PARTS_PER_DC; i++)
		bits |= p->part[i].inherited ? 1U << i : 0;
	return bits;
}

static void part_key(const struct part *part, char key[KEY_SIZE])
{
	g_snprintf(key, KEY_SIZE, FLEET_STORE_PARTS "%s/%u",
		   part->parts->service.kernel->settings->data_center, part->index);
}

/** Returns the value of the part's key, which the list of VMs passes on to all VMs. */
static char *part_text(const struct part *part, uint64_t lease)
{
	const struct kernel *k = part->parts->service.kernel;
	const struct settings *set = k->settings;

	return g_strdup_printf("{\"part\":%u,\"name\":\"%s\",\"address\":\"%s\","
			       "\"data_center\":\"%s\",\"incarnation\":\"%lx\",\"lease\":\"%lx\"}",
			       part->index, set->name, set->advertise, set->data_center,
			       k->incarnation, lease);
}

static void part_acquired(struct part *part, uint64_t lease, const char *how)
{
	part->lease = lease;
	part->free_since_us = 0;
	log_info("part-held", LOG_NUM("part", part->index), LOG_NUM("lease", lease),
		 LOG_STR("how", how));
}

/**
 * Handles a conflict: the key was written by another VM, or by an earlier claim of this VM whose
 * answer was lost. The value of the key shows which.
 */
static void claim_lost(struct part *part, const struct store_answer *a)
{
	const struct store_item *item = a->items->len > 0 ? g_ptr_array_index(a->items, 0) : NULL;
	char *own = part_text(part, part->claim_lease);

	part->revision = item != NULL && item->value != NULL ? item->revision : 0;
	part->previous = false;
	if (part->revision != 0 && strcmp(item->value, own) == 0)
		part_acquired(part, part->claim_lease, "answer-was-lost");
	g_free(own);
}

static void claim_done(const struct store_answer *a, void *arg)
{
	struct part *part = arg;

	part->claiming = false;
	if (a->status == STORE_DONE) {
		part->revision = a->revision;
		part->inherited = part->previous;
		part->previous = false;
		part_acquired(part, part->claim_lease, part->inherited ? "inherited" : "claimed");
		return;
	}
	part->claim_after_us = now_us() + CLAIM_RETRY_US;
	log_info("part-claim-failed", LOG_NUM("part", part->index), LOG_NUM("status", a->status));
	if (a->status == STORE_CONFLICT)
		claim_lost(part, a);
}

static void claim(struct part *part)
{
	struct fleet *f = parts_fleet(part->parts);
	struct store *s = fleet_store(f);
	char key[KEY_SIZE];
	/*
	 * A revision of an earlier era is not used as a guard. If the key exists, the claim ends
	 * with a conflict.
	 */
	bool known = fleet_store_is_current(part->revision);
	struct store_guard guard = {.key = key, .revision = known ? part->revision : 0};
	struct store_write write = {.key = key, .lease = fleet_store_lease(f)};
	char *text;

	part_key(part, key);
	part->claim_lease = write.lease;
	part->claiming = true;
	text = part_text(part, part->claim_lease);
	write.value = text;
	s->ops->commit(s, &guard, 1, &write, 1, claim_done, part);
	g_free(text);
}

/**
 * Returns whether this process holds the part under its present lease. No other VM writes or
 * removes such a key.
 */
static bool is_own(const struct part *part, const struct fleet_part *held)
{
	const struct kernel *k = part->parts->service.kernel;

	return strcmp(held->vm, k->settings->name) == 0 && held->incarnation == k->incarnation &&
	       held->lease == fleet_store_lease(parts_fleet(part->parts)) &&
	       is_of_lease_era(held->revision);
}

/**
 * Returns whether the part may be claimed: it has no known holder, or the holder is a previous
 * process of this VM, or this process under an earlier lease.
 */
static bool is_free(const struct part *part, const struct fleet_part *held)
{
	return held == NULL || strcmp(held->vm, part->parts->service.kernel->settings->name) == 0;
}

/**
 * Returns this VM's place in the order in which VMs claim a free part. VMs that watch the store
 * come first because they learn of it first.
 */
static unsigned claim_turn(const struct part *part)
{
	struct fleet *f = parts_fleet(part->parts);
	char role[KEY_SIZE];

	if (fleet_is_watcher(f))
		return (fleet_watch_rank(f) + part->index) % WATCHERS_PER_DC;
	part_key(part, role);
	return WATCHERS_PER_DC + peers_own_rank(&f->peers, role);
}

static void part_tick(struct part *part, int64_t now)
{
	struct fleet *f = parts_fleet(part->parts);
	const char *here = f->peers.self->data_center;
	const struct fleet_part *held = fleet_part(f, here, part->index);

	if (holds(part) || part->claiming)
		return;
	if (held != NULL && is_own(part, held)) {
		part->revision = held->revision;
		part_acquired(part, held->lease, "listed");
		return;
	}
	if (!is_free(part, held) || (held == NULL && !fleet_store_settled(f))) {
		part->free_since_us = 0;
		return;
	}
	if (part->free_since_us == 0)
		part->free_since_us = now;
	if (held == NULL && now - part->free_since_us < claim_turn(part) * CLAIM_STAGGER_US)
		return;
	if (now >= part->claim_after_us)
		claim(part);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct parts *p = arg;
	struct fleet *f = parts_fleet(p);
	unsigned i;

	if (p->service.kernel->draining || !f->self_listed || !fleet_confirmed_listed(f))
		return;
	for (i = 0; i < PARTS_PER_DC; i++)
		part_tick(&p->part[i], now_us());
}

static bool names_previous_process(const struct part *part, const char *value)
{
	const struct kernel *k = part->parts->service.kernel;
	char name[NAME_SIZE];
	uint64_t incarnation;

	return value != NULL && fleet_store_vm_parse(value, name, &incarnation) &&
	       strcmp(name, k->settings->name) == 0 && incarnation != k->incarnation;
}

/** Records the key's revision and holder, which a claim has to refer to. */
static void on_key_changed(const struct store_item *item, void *owner)
{
	struct parts *p = owner;
	char key[KEY_SIZE];
	unsigned i;

	for (i = 0; i < PARTS_PER_DC; i++) {
		part_key(&p->part[i], key);
		if (strcmp(item->key, key) != 0)
			continue;
		p->part[i].revision = item->value != NULL ? item->revision : 0;
		p->part[i].previous = names_previous_process(&p->part[i], item->value);
	}
}

static gboolean parts_start(struct service *service, GError **error)
{
	struct parts *p = (struct parts *)service;

	p->tick = kernel_every(service->kernel, TICK_US, on_tick, p);
	return TRUE;
}

static void parts_stop(struct service *service)
{
	struct parts *p = (struct parts *)service;

	if (p->tick != NULL)
		event_free(p->tick);
	g_free(p);
}

static const struct service_ops parts_ops = {
	.name = "parts",
	.start = parts_start,
	.stop = parts_stop,
};

struct service *parts_service_create(struct kernel *k)
{
	struct parts *p = g_new0(struct parts, 1);
	unsigned i;

	p->service.ops = &parts_ops;
	for (i = 0; i < PARTS_PER_DC; i++) {
		p->part[i].parts = p;
		p->part[i].index = i;
	}
	kernel_add(k, &p->service);
	fleet_store_listen(fleet_of(k), FLEET_STORE_PARTS, on_key_changed, p);
	return &p->service;
}
