/** @file peers.c Membership of the fleet: which VMs exist and which are alive. */
#include "peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/**
 * Heartbeats of a VM that carry the same update. Each receiver passes it on as often, which covers
 * a fleet of thousands of VMs several times over.
 */
#define UPDATE_HEARTBEATS 12

/** Creates a VM that is in no list yet. */
static struct vm *vm_create(struct peers *p, const char *name)
{
	struct vm *vm = calloc(1, sizeof(*vm));

	if (vm == NULL)
		abort();
	snprintf(vm->name, sizeof(vm->name), "%s", name);
	vm->hash = rank_hash(vm->name);
	vm->peers = p;
	g_hash_table_insert(p->by_name, vm->name, vm);
	p->n++;
	return vm;
}

static void set_data_center(struct vm *vm, const char *data_center)
{
	snprintf(vm->data_center, sizeof(vm->data_center), "%s", data_center);
	vm->dc = g_intern_string(vm->data_center);
}

static void set_suspect(struct vm *vm, bool suspect)
{
	if (vm->suspect == suspect)
		return;
	vm->suspect = suspect;
	vm->peers->n_suspects += suspect ? 1 : -1U;
}

/** Sets for how many more heartbeats the update about @a vm is sent. */
static void set_heartbeats(struct vm *vm, unsigned n)
{
	if (vm->heartbeats_left == 0 && n > 0)
		TAILQ_INSERT_TAIL(&vm->peers->updates, vm, update_link);
	if (vm->heartbeats_left > 0 && n == 0)
		TAILQ_REMOVE(&vm->peers->updates, vm, update_link);
	vm->heartbeats_left = n;
}

static void order_update(struct peers *p)
{
	struct vm *vm;
	unsigned i = 0;

	p->order = g_renew(struct vm *, p->order, p->n);
	TAILQ_FOREACH(vm, &p->vms, link)
		p->order[i++] = vm;
}

static int by_name(const void *a, const void *b)
{
	return strcmp((*(struct vm *const *)a)->name, (*(struct vm *const *)b)->name);
}

/** Inserts @a n new VMs into the sorted list, which is walked once for all of them. */
static void vms_insert(struct peers *p, struct vm **new, unsigned n)
{
	struct vm *at = TAILQ_FIRST(&p->vms);
	unsigned i;

	qsort(new, n, sizeof(*new), by_name);
	for (i = 0; i < n; i++) {
		while (at != NULL && strcmp(at->name, new[i]->name) < 0)
			at = TAILQ_NEXT(at, link);
		if (at != NULL)
			TAILQ_INSERT_BEFORE(at, new[i], link);
		else
			TAILQ_INSERT_TAIL(&p->vms, new[i], link);
	}
}

void peers_init(struct peers *p, const char *self, const char *address, const char *data_center,
		uint64_t incarnation)
{
	memset(p, 0, sizeof(*p));
	TAILQ_INIT(&p->vms);
	TAILQ_INIT(&p->removed);
	TAILQ_INIT(&p->updates);
	p->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	p->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	p->self = vm_create(p, self);
	TAILQ_INSERT_TAIL(&p->vms, p->self, link);
	snprintf(p->self->address, sizeof(p->self->address), "%s", address);
	set_data_center(p->self, data_center);
	order_update(p);
	p->self->incarnation = incarnation;
	p->self->listed = true;
	g_hash_table_insert(p->by_address, p->self->address, p->self);
}

void peers_clear(struct peers *p)
{
	struct vm *vm, *next;

	peers_free_removed(p);
	g_hash_table_destroy(p->by_name);
	g_hash_table_destroy(p->by_address);
	TAILQ_FOREACH_SAFE(vm, &p->vms, link, next) {
		TAILQ_REMOVE(&p->vms, vm, link);
		free(vm);
	}
	g_free(p->order);
	p->order = NULL;
	p->n = 0;
	p->self = NULL;
}

void peers_free_removed(struct peers *p)
{
	struct vm *vm;

	while ((vm = TAILQ_FIRST(&p->removed)) != NULL) {
		TAILQ_REMOVE(&p->removed, vm, link);
		free(vm);
	}
}

struct vm *peers_find(const struct peers *p, const char *name)
{
	return g_hash_table_lookup(p->by_name, name);
}

struct vm *peers_find_address(const struct peers *p, const char *address)
{
	return g_hash_table_lookup(p->by_address, address);
}

/** Gives the VM another address. If two VMs have the same address, the last one is found by it. */
static void set_address(struct peers *p, struct vm *vm, const char *address)
{
	if (strcmp(vm->address, address) == 0)
		return;
	if (peers_find_address(p, vm->address) == vm)
		g_hash_table_remove(p->by_address, vm->address);
	snprintf(vm->address, sizeof(vm->address), "%s", address);
	g_hash_table_replace(p->by_address, vm->address, vm);
}

/** Reset the state of a VM whose process was replaced by the one with @a incarnation. */
static void vm_reset_state(struct vm *vm, uint64_t incarnation)
{
	vm->incarnation = incarnation;
	vm->update_seq = 0;
	vm->misses = 0;
	vm->leaving = false;
	vm->left = false;
	vm->dead = false;
	set_suspect(vm, false);
	set_heartbeats(vm, 0);
}

/**
 * Take over the VM's incarnation from the platform's list. If restarts were learnt from direct
 * heartbeats alone, most VMs of a large fleet would regard a restarted VM as leaving until it had
 * sent a heartbeat to each of them; meanwhile they disagree on the VM that allocates a team's rate,
 * and none can allocate it. An incarnation that the list had already is ignored, since the list
 * lags behind heartbeats.
 */
static void vm_set_listed_incarnation(struct vm *vm, uint64_t incarnation)
{
	if (incarnation == 0 || incarnation == vm->listed_incarnation)
		return;
	vm->listed_incarnation = incarnation;
	if (incarnation != vm->incarnation)
		vm_reset_state(vm, incarnation);
}

bool peers_apply_list(struct peers *p, uint64_t revision, const struct vm_listing *l, unsigned n)
{
	struct vm *vm, *next;
	struct vm **new;
	unsigned i, n_new = 0;

	if (revision <= p->revision)
		return false;
	new = g_new(struct vm *, n + 1);
	p->revision = revision;
	peers_free_removed(p);
	TAILQ_FOREACH(vm, &p->vms, link)
		vm->listed = vm == p->self;
	for (i = 0; i < n; i++) {
		vm = peers_find(p, l[i].name);
		if (vm == NULL)
			vm = new[n_new++] = vm_create(p, l[i].name);
		vm->listed = true;
		if (vm == p->self)
			continue;
		p->relocated = p->relocated || (vm->data_center[0] != '\0' &&
						strcmp(vm->data_center, l[i].data_center) != 0);
		set_address(p, vm, l[i].address);
		set_data_center(vm, l[i].data_center);
		vm_set_listed_incarnation(vm, l[i].incarnation);
		vm->leaving = vm->leaving || l[i].leaving;
	}
	vms_insert(p, new, n_new);
	g_free(new);
	TAILQ_FOREACH_SAFE(vm, &p->vms, link, next) {
		if (vm->listed)
			continue;
		TAILQ_REMOVE(&p->vms, vm, link);
		g_hash_table_remove(p->by_name, vm->name);
		if (peers_find_address(p, vm->address) == vm)
			g_hash_table_remove(p->by_address, vm->address);
		set_suspect(vm, false);
		set_heartbeats(vm, 0);
		TAILQ_INSERT_TAIL(&p->removed, vm, link);
		p->n--;
	}
	order_update(p);
	return true;
}

static struct vm *vm_next(const struct peers *p, struct vm *vm)
{
	struct vm *next = TAILQ_NEXT(vm, link);

	return next != NULL ? next : TAILQ_FIRST(&p->vms);
}

static unsigned add_target(struct vm *out[], unsigned n, struct vm *vm)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (out[i] == vm)
			return n;
	}
	out[n] = vm;
	return n + 1;
}

unsigned peers_targets(struct peers *p, uint64_t random, struct vm *out[PEERS_TARGETS_MAX])
{
	struct vm *vm;
	unsigned n = 0;
	unsigned suspects;

	for (vm = vm_next(p, p->self); vm != p->self && n < PEERS_NEIGHBOURS; vm = vm_next(p, vm)) {
		/*
		 * Dead VMs are contacted by the random choice alone: dead neighbours in the ring
		 * would otherwise use up the heartbeats meant for live ones.
		 */
		if (vm->dead || vm->dc != p->self->dc)
			continue;
		out[n++] = vm;
	}
	if (p->n < 2)
		return n;
	suspects = n;
	for (vm = TAILQ_FIRST(&p->vms); vm != NULL && p->n_suspects > 0;
	     vm = TAILQ_NEXT(vm, link)) {
		if (vm->suspect && !vm->dead && n - suspects < PEERS_SUSPECTS)
			n = add_target(out, n, vm);
	}
	vm = p->order[random % p->n];
	return add_target(out, n, vm != p->self ? vm : vm_next(p, vm));
}

static void vm_publish_state(struct vm *vm)
{
	vm->update_seq++;
	set_heartbeats(vm, UPDATE_HEARTBEATS);
}

void peers_record_contact(struct vm *vm, uint64_t incarnation, uint64_t conf_version)
{
	if (incarnation != vm->incarnation) {
		vm_reset_state(vm, incarnation);
		vm->conf_version = conf_version;
		set_heartbeats(vm, UPDATE_HEARTBEATS);
		return;
	}
	vm->misses = 0;
	set_suspect(vm, false);
	if (conf_version > vm->conf_version)
		vm->conf_version = conf_version;
	if (vm->dead) {
		vm->dead = false;
		vm_publish_state(vm);
	}
}

bool peers_record_miss(struct peers *p, struct vm *vm)
{
	vm->misses++;
	if (vm->dead || vm->misses < PEERS_MISSES_MAX)
		return false;
	vm->dead = true;
	vm_publish_state(vm);
	return true;
}

void peers_suspect(struct peers *p, struct vm *vm)
{
	if (vm != p->self)
		set_suspect(vm, true);
}

void peers_leave(struct peers *p)
{
	p->self->leaving = true;
	p->self->left = true;
	vm_publish_state(p->self);
}

void peers_apply_update(struct peers *p, const struct vm_update *update)
{
	struct vm *vm = peers_find(p, update->vm);

	if (vm == NULL)
		return;
	if (vm == p->self) {
		/*
		 * Others regard this VM as dead, or have an outdated leaving state: send an update
		 * with a higher sequence number.
		 */
		if (update->incarnation == vm->incarnation && update->seq >= vm->update_seq &&
		    (update->dead || update->leaving != vm->left)) {
			vm->update_seq = update->seq;
			vm_publish_state(vm);
		}
		return;
	}
	if (update->incarnation == vm->incarnation && update->seq <= vm->update_seq)
		return;
	/*
	 * Incarnations are random and have no order, so a relayed update can't replace a known
	 * one: only direct contact with the VM and the platform's list can.
	 */
	if (vm->incarnation != 0 && update->incarnation != vm->incarnation)
		return;
	vm->incarnation = update->incarnation;
	vm->update_seq = update->seq;
	vm->dead = update->dead;
	vm->leaving = update->leaving;
	vm->left = update->leaving;
	set_heartbeats(vm, UPDATE_HEARTBEATS);
	if (!vm->dead)
		vm->misses = 0;
}

unsigned peers_collect_updates(struct peers *p, struct vm_update out[PEERS_UPDATES_MAX])
{
	struct vms again = TAILQ_HEAD_INITIALIZER(again);
	struct vm *vm;
	unsigned n = 0;

	while (n < PEERS_UPDATES_MAX && (vm = TAILQ_FIRST(&p->updates)) != NULL) {
		struct vm_update *update = &out[n++];

		snprintf(update->vm, sizeof(update->vm), "%s", vm->name);
		update->incarnation = vm->incarnation;
		update->seq = vm->update_seq;
		update->dead = vm->dead;
		update->leaving = vm->left;
		TAILQ_REMOVE(&p->updates, vm, update_link);
		if (--vm->heartbeats_left > 0)
			TAILQ_INSERT_TAIL(&again, vm, update_link);
	}
	/* The next heartbeat begins with the updates that this one had no room for. */
	TAILQ_CONCAT(&p->updates, &again, update_link);
	return n;
}

bool peers_usable(const struct vm *vm)
{
	return vm->listed && !vm->dead && !vm->leaving && !vm->suspect;
}

/** Returns the weight of @a vm for a role, and counts it. */
static uint64_t weigh(struct peers *p, uint64_t key, const struct vm *vm)
{
	p->weighed++;
	return rank_weight(key, vm->hash);
}

struct vm *peers_holder(struct peers *p, const char *key, const char *data_center)
{
	const char *dc = data_center != NULL ? g_intern_string(data_center) : NULL;
	uint64_t hash = rank_hash(key);
	struct vm *best = NULL;
	struct vm *vm;
	uint64_t best_weight = 0;
	bool best_is_local = false;

	TAILQ_FOREACH(vm, &p->vms, link) {
		uint64_t weight;
		bool is_local;

		if (!peers_usable(vm))
			continue;
		is_local = dc != NULL && vm->dc == dc;
		if (best_is_local && !is_local)
			continue;
		weight = weigh(p, hash, vm);
		if (best != NULL && !rank_better(weight, is_local, best_weight, best_is_local))
			continue;
		best = vm;
		best_weight = weight;
		best_is_local = is_local;
	}
	return best;
}

struct vm *peers_next_holder(struct peers *p, const char *key)
{
	uint64_t hash = rank_hash(key);
	struct vm *best = NULL;
	struct vm *vm;
	uint64_t best_weight = 0;

	TAILQ_FOREACH(vm, &p->vms, link) {
		uint64_t weight;

		if (vm == p->self || !peers_usable(vm))
			continue;
		weight = weigh(p, hash, vm);
		if (best != NULL && weight <= best_weight)
			continue;
		best = vm;
		best_weight = weight;
	}
	return best;
}

unsigned peers_own_rank(struct peers *p, const char *key)
{
	uint64_t hash = rank_hash(key);
	uint64_t own = rank_weight(hash, p->self->hash);
	unsigned rank = 0;
	struct vm *vm;

	TAILQ_FOREACH(vm, &p->vms, link) {
		if (vm == p->self || !peers_usable(vm))
			continue;
		if (vm->dc != p->self->dc)
			continue;
		if (weigh(p, hash, vm) > own)
			rank++;
	}
	return rank;
}
