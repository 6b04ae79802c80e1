/** @file fleet.c Membership: heartbeats between the daemons, and which VM holds which role. */
#include "fleet.h"

#include "log.h"
#include "rank.h"
#include "stat.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct fleet *fleet_of(struct kernel *k)
{
	return (struct fleet *)kernel_find(k, "fleet");
}

void fleet_listen(struct fleet *f, fleet_changed cb, void *owner)
{
	g_assert(f->n_listeners < FLEET_LISTENERS_MAX);
	f->listeners[f->n_listeners].cb = cb;
	f->listeners[f->n_listeners].owner = owner;
	f->n_listeners++;
}

void fleet_listen_roles(struct fleet *f, fleet_role_dropped cb, void *owner)
{
	g_assert(f->n_role_listeners < FLEET_ROLE_LISTENERS_MAX);
	f->role_listeners[f->n_role_listeners].cb = cb;
	f->role_listeners[f->n_role_listeners].owner = owner;
	f->n_role_listeners++;
}

void fleet_notify(struct fleet *f)
{
	unsigned i;

	for (i = 0; i < f->n_listeners; i++)
		f->listeners[i].cb(f->listeners[i].owner);
}

bool fleet_has_listed_vm(const struct fleet *f, const char *data_center)
{
	unsigned i;

	for (i = 0; i < f->n_data_centers; i++) {
		if (strcmp(f->data_center[i], data_center) == 0)
			return true;
	}
	return false;
}

static int by_name(const void *a, const void *b)
{
	return strcmp(a, b);
}

/** Counts the listed VMs and collects their data centres. */
static void count_listed(struct fleet *f)
{
	const struct vm *vm;

	f->n_listed = 0;
	f->n_left = 0;
	f->n_data_centers = 0;
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (!vm->listed)
			continue;
		f->n_listed++;
		f->n_left += vm->left ? 1 : 0;
		if (f->n_data_centers < FLEET_DATA_CENTERS_MAX &&
		    !fleet_has_listed_vm(f, vm->data_center))
			g_strlcpy(f->data_center[f->n_data_centers++], vm->data_center, NAME_SIZE);
	}
	qsort(f->data_center, f->n_data_centers, NAME_SIZE, by_name);
}

/** Cached holder of a role, and the data centre whose VMs are preferred as holder. */
struct role_holder {
	uint64_t hash; /**< of the role's name */
	struct vm *vm;
	const char *dc; /**< interned; NULL for none */
};

/** A VM whose usability changed, for the functions that look for the roles that it affects. */
struct vm_change {
	struct fleet *f;
	const struct vm *vm;
};

/** Notifies of a role whose holder is no longer known. */
static gboolean drop_role(struct fleet *f, const char *role)
{
	unsigned i;

	for (i = 0; i < f->n_role_listeners; i++)
		f->role_listeners[i].cb(f->role_listeners[i].owner, role);
	return TRUE;
}

static bool is_preferred(const struct vm *vm, const struct role_holder *h)
{
	return vm->dc == h->dc;
}

/** Drops the role if the VM, which became unusable, holds it. */
static gboolean drop_if_held(gpointer role, gpointer holder, gpointer arg)
{
	const struct vm_change *change = arg;

	return ((const struct role_holder *)holder)->vm == change->vm && drop_role(change->f, role);
}

/** Drops the role if the VM, which became usable, ranks above its holder. */
static gboolean drop_if_outranked(gpointer role, gpointer holder, gpointer arg)
{
	const struct vm_change *change = arg;
	const struct role_holder *h = holder;
	const struct vm *vm = change->vm;

	return rank_better(rank_weight(h->hash, vm->hash), is_preferred(vm, h),
			   rank_weight(h->hash, h->vm->hash), is_preferred(h->vm, h)) &&
	       drop_role(change->f, role);
}

static gboolean drop_any(gpointer role, gpointer holder, gpointer f)
{
	return drop_role(f, role);
}

/**
 * Drops cached role holders that are outdated because VMs were listed, removed or changed their
 * usability. The others stay: a role moves only from a VM that is gone or to one that is new.
 */
static void holders_update(struct fleet *f)
{
	struct vm *vm;

	TAILQ_FOREACH(vm, &f->peers.removed, link) {
		struct vm_change change = {.f = f, .vm = vm};

		g_hash_table_foreach_remove(f->holders, drop_if_held, &change);
	}
	peers_free_removed(&f->peers);
	if (f->peers.relocated)
		g_hash_table_foreach_remove(f->holders, drop_any, f);
	f->peers.relocated = false;
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		struct vm_change change = {.f = f, .vm = vm};
		bool usable = peers_usable(vm);

		if (usable == vm->ranked_usable)
			continue;
		vm->ranked_usable = usable;
		f->peers.weighed += usable ? g_hash_table_size(f->holders) : 0;
		g_hash_table_foreach_remove(f->holders, usable ? drop_if_outranked : drop_if_held,
					    &change);
	}
}

void fleet_members_changed(struct fleet *f)
{
	count_listed(f);
	holders_update(f);
	f->watch_rank = -1;
	fleet_notify(f);
}

bool fleet_has_usable_vm(struct fleet *f, const char *data_center)
{
	struct vm *vm;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (peers_usable(vm) && strcmp(vm->data_center, data_center) == 0)
			return true;
	}
	return false;
}

static const struct conf_member *member_conf(struct fleet *f, const char *pool, const char *member)
{
	const struct conf_pool *p = conf_pool(f->conf, pool);
	int i = conf_pool_find(p, member);

	return i >= 0 ? &p->member[i] : NULL;
}

/**
 * Returns the holder of @a role. The result is cached until holders_update() drops it, because
 * ranking thousands of VMs for each request would cost more than the request itself.
 */
static struct vm *role_holder(struct fleet *f, const char *role, const char *data_center)
{
	struct role_holder *h = g_hash_table_lookup(f->holders, role);
	struct vm *vm;

	if (h != NULL)
		return h->vm;
	vm = peers_holder(&f->peers, role, data_center);
	if (vm == NULL)
		return NULL;
	h = g_new0(struct role_holder, 1);
	h->hash = rank_hash(role);
	h->vm = vm;
	h->dc = data_center != NULL ? g_intern_string(data_center) : NULL;
	g_hash_table_insert(f->holders, g_strdup(role), h);
	return vm;
}

static struct vm *home_vm(struct fleet *f, const char *pool, const struct conf_member *m)
{
	char role[3 * NAME_SIZE + 8];

	snprintf(role, sizeof(role), "home %s %s %s", m->data_center, pool, m->name);
	return role_holder(f, role, m->data_center);
}

const char *fleet_home_address(struct fleet *f, const char *pool, const char *member)
{
	const struct conf_member *m = member_conf(f, pool, member);
	struct vm *vm = m != NULL ? home_vm(f, pool, m) : NULL;

	return vm != NULL ? vm->address : NULL;
}

bool fleet_home_is_self(struct fleet *f, const char *pool, const struct conf_member *m)
{
	return home_vm(f, pool, m) == f->peers.self;
}

const char *fleet_holder_address(struct fleet *f, const char *role)
{
	struct vm *vm = role_holder(f, role, NULL);

	return vm != NULL ? vm->address : NULL;
}

const char *fleet_local_holder_address(struct fleet *f, const char *role)
{
	const char *here = f->service.kernel->settings->data_center;
	struct vm *vm = role_holder(f, role, here);

	return vm != NULL && strcmp(vm->data_center, here) == 0 ? vm->address : NULL;
}

void fleet_suspect(struct fleet *f, const char *address)
{
	struct vm *vm = peers_find_address(&f->peers, address);

	if (vm == NULL || vm->suspect)
		return;
	log_info("vm-suspect", LOG_STR("peer", vm->name));
	peers_suspect(&f->peers, vm);
	fleet_members_changed(f);
}

bool fleet_confirmed_listed(struct fleet *f)
{
	return f->source->listed == NULL || f->source->listed(f);
}

const struct fleet_part *fleet_part(const struct fleet *f, const char *data_center, unsigned index)
{
	guint i;

	for (i = 0; i < f->parts->len; i++) {
		const struct fleet_part *p = &g_array_index(f->parts, struct fleet_part, i);

		if (p->index == index && strcmp(p->data_center, data_center) == 0)
			return p;
	}
	return NULL;
}

int64_t fleet_conf_age_us(const struct fleet *f)
{
	return now_us() - f->conf_confirmed_us;
}

/* Heartbeats */

/**
 * Minimum time between two fetches of the list of VMs. It may be long: heartbeats report dead VMs
 * sooner, and a new VM gets no callers until its load balancer has seen it ready.
 */
#define LIST_FETCH_INTERVAL_US (1 * USEC_PER_SEC)

struct heartbeat_call {
	struct fleet *f;
	char vm[NAME_SIZE];
	char address[ADDRESS_SIZE];
};

static void heartbeat_make(struct fleet *f, ml_heartbeat *h, struct vm_update *updates,
			   ml_vm_update *wire)
{
	unsigned n = peers_collect_updates(&f->peers, updates);
	unsigned i;

	memset(h, 0, sizeof(*h));
	h->vm = f->peers.self->name;
	h->incarnation = f->peers.self->incarnation;
	h->conf_version = f->conf->version;
	h->vms_revision = f->peers.revision;
	h->conf_confirmed_age_us = (u_quad_t)fleet_conf_age_us(f);
	for (i = 0; i < n; i++) {
		wire[i].vm = updates[i].vm;
		wire[i].incarnation = updates[i].incarnation;
		wire[i].seq = updates[i].seq;
		wire[i].dead = updates[i].dead;
		wire[i].leaving = updates[i].leaving;
	}
	h->vm_updates.vm_updates_val = wire;
	h->vm_updates.vm_updates_len = n;
}

/**
 * Records that a peer with the same configuration version confirmed it as current @a age_us ago.
 * The age is passed on with heartbeats instead of starting at 0 on each VM; otherwise two VMs in
 * the same network partition would confirm an outdated version to each other forever.
 */
static void confirm_conf(struct fleet *f, int64_t age_us)
{
	int64_t known_us = now_us() - age_us;

	if (age_us >= 0 && known_us > f->conf_confirmed_us)
		f->conf_confirmed_us = known_us;
}

/**
 * Whether to fetch the list of VMs from a peer that has @a revision. Fetches are rate-limited: when
 * all VMs of a large fleet start within a second, each would fetch the full list once per peer.
 */
static bool should_fetch_list(struct fleet *f, uint64_t revision)
{
	int64_t now = now_us();

	if (revision <= f->peers.revision || now - f->list_fetched_us < LIST_FETCH_INTERVAL_US)
		return false;
	f->list_fetched_us = now;
	return true;
}

static void heartbeat_process(struct fleet *f, const ml_heartbeat *h)
{
	struct vm *vm = peers_find(&f->peers, h->vm);
	bool usable, changed = false;
	u_int i;

	for (i = 0; i < h->vm_updates.vm_updates_len; i++) {
		const ml_vm_update *n = &h->vm_updates.vm_updates_val[i];
		struct vm_update update = {
			.incarnation = n->incarnation, .seq = n->seq, .dead = n->dead};
		struct vm *subject = peers_find(&f->peers, n->vm);
		bool before = subject != NULL && peers_usable(subject);

		update.leaving = n->leaving;
		g_strlcpy(update.vm, n->vm, sizeof(update.vm));
		peers_apply_update(&f->peers, &update);
		changed = changed || (subject != NULL && peers_usable(subject) != before);
	}
	if (vm != NULL && vm != f->peers.self) {
		usable = peers_usable(vm);
		peers_record_contact(vm, h->incarnation, h->conf_version);
		changed = changed || peers_usable(vm) != usable;
		if (h->conf_version > f->conf->version || should_fetch_list(f, h->vms_revision))
			fleet_fetch_from(f, vm->address);
		else if (h->conf_version == f->conf->version && f->conf->version > 0)
			confirm_conf(f, (int64_t)h->conf_confirmed_age_us);
	}
	if (changed)
		fleet_members_changed(f);
}

static void heartbeat_done(enum rpc_status status, const void *res, void *arg)
{
	struct heartbeat_call *call = arg;
	struct fleet *f = call->f;
	struct vm *vm = peers_find(&f->peers, call->vm);

	if (status == RPC_DONE) {
		heartbeat_process(f, res);
	} else if (vm != NULL && vm != f->peers.self) {
		bool usable = peers_usable(vm);

		if (peers_record_miss(&f->peers, vm))
			log_warn("vm-dead", LOG_STR("peer", vm->name));
		if (usable != peers_usable(vm))
			fleet_members_changed(f);
	}
	g_free(call);
}

static void heartbeat_send(struct fleet *f, struct vm *vm)
{
	struct vm_update updates[PEERS_UPDATES_MAX];
	ml_vm_update wire[PEERS_UPDATES_MAX];
	int64_t timeout = (int64_t)f->service.kernel->settings->heartbeat_ms * USEC_PER_MSEC;
	struct heartbeat_call *call = g_new0(struct heartbeat_call, 1);
	ml_heartbeat h;

	call->f = f;
	g_strlcpy(call->vm, vm->name, sizeof(call->vm));
	g_strlcpy(call->address, vm->address, sizeof(call->address));
	heartbeat_make(f, &h, updates, wire);
	rpc_start(rpc_of(f->service.kernel), call->address, ML_HEARTBEAT, &h, timeout,
		  heartbeat_done, call);
}

void fleet_send_heartbeats(struct fleet *f)
{
	struct vm *targets[PEERS_TARGETS_MAX];
	unsigned n = peers_targets(&f->peers, random_bits(), targets);
	unsigned i;

	for (i = 0; i < n; i++)
		heartbeat_send(f, targets[i]);
}

static void heartbeat_tick(evutil_socket_t fd, short what, void *arg)
{
	struct fleet *f = arg;

	fleet_send_heartbeats(f);
}

static void heartbeat_serve(struct rpc_request *rq, const void *args, void *owner)
{
	struct fleet *f = owner;
	struct vm_update updates[PEERS_UPDATES_MAX];
	ml_vm_update wire[PEERS_UPDATES_MAX];
	ml_heartbeat answer;

	heartbeat_process(f, args);
	heartbeat_make(f, &answer, updates, wire);
	rpc_reply(rq, &answer);
}

/* The service */

static gboolean fleet_start(struct service *s, GError **error)
{
	struct fleet *f = (struct fleet *)s;
	const struct settings *set = s->kernel->settings;

	rpc_serve(rpc_of(s->kernel), ML_HEARTBEAT, heartbeat_serve, f);
	rpc_serve(rpc_of(s->kernel), ML_CONF, fleet_conf_serve, f);
	f->heartbeat = kernel_every(s->kernel, (int64_t)set->heartbeat_ms * USEC_PER_MSEC,
				    heartbeat_tick, f);
	f->source->start(f);
	return TRUE;
}

/** Rounds of heartbeats that announce that this VM leaves; each is sent to newly picked VMs. */
#define LEAVE_ROUNDS 4

static void fleet_drain(struct service *s)
{
	struct fleet *f = (struct fleet *)s;
	int i;

	peers_leave(&f->peers);
	for (i = 0; i < LEAVE_ROUNDS; i++)
		fleet_send_heartbeats(f);
	if (f->source->leave != NULL)
		f->source->leave(f);
	fleet_members_changed(f);
}

static void fleet_stop(struct service *s)
{
	struct fleet *f = (struct fleet *)s;

	if (f->heartbeat != NULL)
		event_free(f->heartbeat);
	event_free(f->fetch_retry);
	f->source->stop(f);
	peers_clear(&f->peers);
	conf_free(f->conf);
	page_fetch_clear(&f->fetch);
	g_hash_table_destroy(f->holders);
	g_array_unref(f->parts);
	g_hash_table_destroy(f->list);
	g_free(f);
}

static const struct service_ops fleet_ops = {
	.name = "fleet",
	.start = fleet_start,
	.drain = fleet_drain,
	.stop = fleet_stop,
};

struct service *fleet_service_create(struct kernel *k)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->service.ops = &fleet_ops;
	f->conf = conf_create();
	f->list = fleet_list_create();
	f->parts = g_array_new(FALSE, TRUE, sizeof(struct fleet_part));
	f->source = k->settings->platform_kind == PLATFORM_PREPARED ? &fleet_store_ops
								    : &fleet_etcd_ops;
	f->holders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->watch_rank = -1;
	peers_init(&f->peers, k->settings->name, k->settings->advertise, k->settings->data_center,
		   k->incarnation);
	count_listed(f);
	f->fetch_retry = event_new(k->base, -1, 0, fleet_on_fetch_retry, f);
	kernel_add(k, &f->service);
	return &f->service;
}

/** Writes the names of the evacuated data centres. */
static void put_evacuated(const struct conf *conf, JsonBuilder *b)
{
	GHashTableIter iter;
	gpointer value;

	json_builder_set_member_name(b, "evacuated");
	json_builder_begin_array(b);
	g_hash_table_iter_init(&iter, conf->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct conf_entry *e = value;

		if (e->kind == CONF_EVACUATION)
			json_builder_add_string_value(b, e->evacuation.data_center);
	}
	json_builder_end_array(b);
}

void fleet_json(struct fleet *f, JsonBuilder *b)
{
	struct vm *vm;

	json_builder_set_member_name(b, "conf_version");
	json_builder_add_int_value(b, (gint64)f->conf->version);
	json_builder_set_member_name(b, "conf_age_ms");
	json_builder_add_int_value(b, fleet_conf_age_us(f) / USEC_PER_MSEC);
	put_evacuated(f->conf, b);
	if (f->source->json != NULL)
		f->source->json(f, b);
	json_builder_set_member_name(b, "vms");
	json_builder_begin_array(b);
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		const char *state = "live";

		if (vm->leaving)
			state = "leaving";
		else if (vm->dead)
			state = "dead";
		else if (vm->suspect)
			state = "suspect";
		json_builder_begin_object(b);
		json_builder_set_member_name(b, "name");
		json_builder_add_string_value(b, vm->name);
		json_builder_set_member_name(b, "address");
		json_builder_add_string_value(b, vm->address);
		json_builder_set_member_name(b, "state");
		json_builder_add_string_value(b, state);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}
