/** @file parts.c Claiming the fixed parts of this VM's data centre, and knowing which are held. */
#include "parts.h"

#include "fleet-store.h"
#include "log.h"

#include <string.h>

#define TICK_US (100 * USEC_PER_MSEC)
/**
 * How much longer each further VM of the data centre waits before it claims a part that nobody
 * holds: the first may be turned away by the store, and the others can't know.
 */
#define TURN_US (400 * USEC_PER_MSEC)
/** VMs of a data centre that watch the store and so know first of a free part; see WATCHERS. */
#define FIRST_TO_KNOW 2
/** After a claim that failed; the list tells within a second who was first. */
#define RETRY_US (1 * USEC_PER_SEC)
/** A part's key: prefix, data centre, index. */
#define KEY_SIZE (NAME_SIZE + 32)

/** One part of this VM's data centre. */
struct part {
	struct parts *parts;
	unsigned index;
	uint64_t lease;	   /**< under which this VM holds it; 0: it does not */
	uint64_t asked;	   /**< lease of the claim that is under way */
	uint64_t revision; /**< of the key as last seen; 0: it is not there */
	bool former;	   /**< the key names an earlier process of this VM */
	bool inherited;	   /**< this VM's claim replaced such a key */
	bool busy;
	int64_t free_us; /**< since when nobody is known to hold it; 0: somebody does */
	int64_t next_us; /**< no claim before */
};

struct parts {
	struct service service;
	struct event *tick;
	struct part part[PARTS_PER_DC];
};

struct parts *parts_of(struct kernel *k)
{
	return (struct parts *)kernel_look(k, "parts");
}

static struct fleet *fleet_here(const struct parts *p)
{
	return fleet_of(p->service.kernel);
}

/**
 * Whether the store still has the key of @a revision for all that the lease's holder knows. What a
 * former era said counts as long as the lease of that era does.
 */
static bool is_of_lease_era(uint64_t revision)
{
	return era_of(revision) >= fleet_store_lease_era();
}

static bool holds(const struct part *part)
{
	struct fleet *f = fleet_here(part->parts);

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

/** What the key says; the list of VMs carries it to all. */
static char *part_text(const struct part *part, uint64_t lease)
{
	const struct kernel *k = part->parts->service.kernel;
	const struct settings *set = k->settings;

	return g_strdup_printf("{\"part\":%u,\"name\":\"%s\",\"address\":\"%s\","
			       "\"data_center\":\"%s\",\"incarnation\":\"%lx\",\"lease\":\"%lx\"}",
			       part->index, set->name, set->advertise, set->data_center,
			       k->incarnation, lease);
}

static void part_taken(struct part *part, uint64_t lease, const char *how)
{
	part->lease = lease;
	part->free_us = 0;
	log_info("part-held", LOG_NUM("part", part->index), LOG_NUM("lease", lease),
		 LOG_STR("how", how));
}

/** Another claim was first, or an earlier one of this VM: the key that stands tells which. */
static void claim_lost(struct part *part, const struct store_answer *a)
{
	const struct store_item *item = a->items->len > 0 ? g_ptr_array_index(a->items, 0) : NULL;
	char *own = part_text(part, part->asked);

	part->revision = item != NULL && item->value != NULL ? item->revision : 0;
	part->former = false;
	if (part->revision != 0 && strcmp(item->value, own) == 0)
		part_taken(part, part->asked, "answer-was-lost");
	g_free(own);
}

static void claimed(const struct store_answer *a, void *arg)
{
	struct part *part = arg;

	part->busy = false;
	if (a->status == STORE_DONE) {
		part->revision = a->revision;
		part->inherited = part->former;
		part->former = false;
		part_taken(part, part->asked, part->inherited ? "inherited" : "claimed");
		return;
	}
	part->next_us = now_us() + RETRY_US;
	log_info("part-claim-failed", LOG_NUM("part", part->index), LOG_NUM("status", a->status));
	if (a->status == STORE_CONFLICT)
		claim_lost(part, a);
}

static void claim(struct part *part)
{
	struct fleet *f = fleet_here(part->parts);
	struct store *s = fleet_store(f);
	char key[KEY_SIZE];
	/* What the key was in a former era tells nothing; one that is there makes a conflict. */
	bool known = fleet_store_is_current(part->revision);
	struct store_guard guard = {.key = key, .revision = known ? part->revision : 0};
	struct store_write write = {.key = key, .lease = fleet_store_lease(f)};
	char *text;

	part_key(part, key);
	part->asked = write.lease;
	part->busy = true;
	text = part_text(part, part->asked);
	write.value = text;
	s->ops->commit(s, &guard, 1, &write, 1, claimed, part);
	g_free(text);
}

/** Whether this process holds it under its present lease: nobody else writes or removes that key.
 */
static bool is_own(const struct part *part, const struct fleet_part *held)
{
	const struct kernel *k = part->parts->service.kernel;

	return strcmp(held->vm, k->settings->name) == 0 && held->incarnation == k->incarnation &&
	       held->lease == fleet_store_lease(fleet_here(part->parts)) &&
	       is_of_lease_era(held->revision);
}

/**
 * Whether the part may be claimed: nobody holds it as far as is known, or this VM did in an earlier
 * process, or under an earlier lease.
 */
static bool is_free(const struct part *part, const struct fleet_part *held)
{
	return held == NULL || strcmp(held->vm, part->parts->service.kernel->settings->name) == 0;
}

/** This VM's turn to claim a part that is free. Those that watch the store know of it first. */
static unsigned turn_of(const struct part *part)
{
	struct fleet *f = fleet_here(part->parts);
	char role[KEY_SIZE];

	if (fleet_is_watcher(f))
		return (fleet_watch_rank(f) + part->index) % FIRST_TO_KNOW;
	part_key(part, role);
	return FIRST_TO_KNOW + peers_place(&f->peers, role);
}

static void part_tick(struct part *part, int64_t now)
{
	struct fleet *f = fleet_here(part->parts);
	const char *here = f->peers.self->data_center;
	const struct fleet_part *held = fleet_part(f, here, part->index);

	if (holds(part) || part->busy)
		return;
	if (held != NULL && is_own(part, held)) {
		part->revision = held->revision;
		part_taken(part, held->lease, "listed");
		return;
	}
	if (!is_free(part, held) || (held == NULL && !fleet_store_settled(f))) {
		part->free_us = 0;
		return;
	}
	if (part->free_us == 0)
		part->free_us = now;
	if (held == NULL && now - part->free_us < turn_of(part) * TURN_US)
		return;
	if (now >= part->next_us)
		claim(part);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct parts *p = arg;
	struct fleet *f = fleet_here(p);
	unsigned i;

	if (p->service.kernel->draining || !f->self_listed || !fleet_confirmed_listed(f))
		return;
	for (i = 0; i < PARTS_PER_DC; i++)
		part_tick(&p->part[i], now_us());
}

static bool names_former(const struct part *part, const char *value)
{
	const struct kernel *k = part->parts->service.kernel;
	char name[NAME_SIZE];
	uint64_t incarnation;

	return value != NULL && fleet_store_vm_parse(value, name, &incarnation) &&
	       strcmp(name, k->settings->name) == 0 && incarnation != k->incarnation;
}

/** The key as the store has it: a claim has to name its revision. */
static void on_news(const struct store_item *item, void *owner)
{
	struct parts *p = owner;
	char key[KEY_SIZE];
	unsigned i;

	for (i = 0; i < PARTS_PER_DC; i++) {
		part_key(&p->part[i], key);
		if (strcmp(item->key, key) != 0)
			continue;
		p->part[i].revision = item->value != NULL ? item->revision : 0;
		p->part[i].former = names_former(&p->part[i], item->value);
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
	fleet_store_listen(fleet_of(k), FLEET_STORE_PARTS, on_news, p);
	return &p->service;
}
