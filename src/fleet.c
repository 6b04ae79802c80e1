/** @file fleet.c Membership: heartbeats between the daemons, and who holds which role. */
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

void fleet_notify(struct fleet *f)
{
	unsigned i;

	for (i = 0; i < f->n_listeners; i++)
		f->listeners[i].cb(f->listeners[i].owner);
}

bool fleet_lists(const struct fleet *f, const char *data_center)
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

/** Count the listed VMs, and note the data centres that have one. */
static void listed_look(struct fleet *f)
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
		if (f->n_data_centers < FLEET_DCS_MAX && !fleet_lists(f, vm->data_center))
			g_strlcpy(f->data_center[f->n_data_centers++], vm->data_center, NAME_SIZE);
	}
	qsort(f->data_center, f->n_data_centers, NAME_SIZE, by_name);
}

/** Who holds a role, and the data centre that it is held near to; "" for none. */
struct role_holder {
	struct vm *vm;
	char data_center[NAME_SIZE];
};

static bool is_near(const struct vm *vm, const struct role_holder *h)
{
	return h->data_center[0] != '\0' && strcmp(vm->data_center, h->data_center) == 0;
}

/** Whether @a vm_arg, which is not usable any more, holds the role. */
static gboolean held_by(gpointer role, gpointer holder, gpointer vm_arg)
{
	return ((const struct role_holder *)holder)->vm == vm_arg;
}

/** Whether @a vm_arg, which is usable again, comes before the role's holder. */
static gboolean loses_to(gpointer role, gpointer holder, gpointer vm_arg)
{
	const struct role_holder *h = holder;
	const struct vm *vm = vm_arg;

	return rank_better(rank_weight(role, vm->name), is_near(vm, h),
			   rank_weight(role, h->vm->name), is_near(h->vm, h));
}

/** Forget the holders that the changes since the last time can have moved. */
static void holders_update(struct fleet *f)
{
	bool new_list = f->ranked_revision != f->peers.revision;
	struct vm *vm;

	f->ranked_revision = f->peers.revision;
	if (new_list)
		g_hash_table_remove_all(f->holders);
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		bool usable = peers_usable(vm);

		if (usable == vm->ranked_usable)
			continue;
		vm->ranked_usable = usable;
		if (!new_list)
			g_hash_table_foreach_remove(f->holders, usable ? loses_to : held_by, vm);
	}
}

void fleet_members_changed(struct fleet *f)
{
	listed_look(f);
	holders_update(f);
	f->watch_place = -1;
	fleet_notify(f);
}

bool fleet_serves(struct fleet *f, const char *data_center)
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
 * The holder of @a role. Ranking thousands of VMs for each request would cost more than the
 * request; the result is kept until a change that can move the role, see holders_update().
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
	h->vm = vm;
	if (data_center != NULL)
		g_strlcpy(h->data_center, data_center, sizeof(h->data_center));
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

const char *fleet_near_address(struct fleet *f, const char *role)
{
	const char *here = f->service.kernel->settings->data_center;
	struct vm *vm = role_holder(f, role, here);

	return vm != NULL && strcmp(vm->data_center, here) == 0 ? vm->address : NULL;
}

void fleet_suspect(struct fleet *f, const char *address)
{
	struct vm *vm;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (strcmp(vm->address, address) != 0 || vm->suspect)
			continue;
		log_info("vm-suspect", LOG_STR("peer", vm->name));
		peers_suspect(&f->peers, vm);
		fleet_members_changed(f);
		return;
	}
}

bool fleet_surely_listed(struct fleet *f)
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

int64_t fleet_news_age_us(const struct fleet *f)
{
	return now_us() - f->news_us;
}

/* Heartbeats */

/** Between two fetches of the list of VMs: heartbeats tell of deaths sooner, and a VM that comes
 * has nothing to serve before its balancer has seen it ready. */
#define LIST_PAUSE_US (1 * USEC_PER_SEC)

struct beat {
	struct fleet *f;
	char vm[NAME_SIZE];
	char address[ADDRESS_SIZE];
};

static void heartbeat_make(struct fleet *f, ml_heartbeat *h, struct vm_news *news, ml_news *wire)
{
	unsigned n = peers_news(&f->peers, news);
	unsigned i;

	memset(h, 0, sizeof(*h));
	h->vm = f->peers.self->name;
	h->incarnation = f->peers.self->incarnation;
	h->conf_version = f->conf->version;
	h->vms_revision = f->peers.revision;
	h->news_age_us = (u_quad_t)fleet_news_age_us(f);
	for (i = 0; i < n; i++) {
		wire[i].vm = news[i].vm;
		wire[i].incarnation = news[i].incarnation;
		wire[i].seq = news[i].seq;
		wire[i].dead = news[i].dead;
		wire[i].leaving = news[i].leaving;
	}
	h->news.news_val = wire;
	h->news.news_len = n;
}

/**
 * A peer has the same version, and knew @a age_us ago that it is current. Two VMs that are cut off
 * together must not assure each other for ever, so the age travels along and does not begin anew.
 */
static void heard_news(struct fleet *f, int64_t age_us)
{
	int64_t known_us = now_us() - age_us;

	if (age_us >= 0 && known_us > f->news_us)
		f->news_us = known_us;
}

/**
 * Whether the list of VMs is to be fetched. It is sent whole: when all VMs of a large fleet start
 * within a second, each would fetch it once for each of the others.
 */
static bool list_is_old(struct fleet *f, uint64_t revision)
{
	int64_t now = now_us();

	if (revision <= f->peers.revision || now - f->list_us < LIST_PAUSE_US)
		return false;
	f->list_us = now;
	return true;
}

static void heartbeat_take(struct fleet *f, const ml_heartbeat *h)
{
	struct vm *vm = peers_find(&f->peers, h->vm);
	bool usable, changed = false;
	u_int i;

	for (i = 0; i < h->news.news_len; i++) {
		const ml_news *n = &h->news.news_val[i];
		struct vm_news news = {
			.incarnation = n->incarnation, .seq = n->seq, .dead = n->dead};
		struct vm *about = peers_find(&f->peers, n->vm);
		bool before = about != NULL && peers_usable(about);

		news.leaving = n->leaving;
		g_strlcpy(news.vm, n->vm, sizeof(news.vm));
		peers_learn(&f->peers, &news);
		changed = changed || (about != NULL && peers_usable(about) != before);
	}
	if (vm != NULL && vm != f->peers.self) {
		usable = peers_usable(vm);
		peers_heard(vm, h->incarnation, h->conf_version);
		changed = changed || peers_usable(vm) != usable;
		if (h->conf_version > f->conf->version || list_is_old(f, h->vms_revision))
			fleet_conf_behind(f, vm->address);
		else if (h->conf_version == f->conf->version && f->conf->version > 0)
			heard_news(f, (int64_t)h->news_age_us);
	}
	if (changed)
		fleet_members_changed(f);
}

static void beat_done(enum rpc_status status, const void *res, void *arg)
{
	struct beat *b = arg;
	struct fleet *f = b->f;
	struct vm *vm = peers_find(&f->peers, b->vm);

	if (status == RPC_DONE) {
		heartbeat_take(f, res);
	} else if (vm != NULL && vm != f->peers.self) {
		bool usable = peers_usable(vm);

		if (peers_missed(&f->peers, vm))
			log_warn("vm-dead", LOG_STR("peer", vm->name));
		if (usable != peers_usable(vm))
			fleet_members_changed(f);
	}
	g_free(b);
}

static void beat_send(struct fleet *f, struct vm *vm)
{
	struct vm_news news[PEERS_NEWS_MAX];
	ml_news wire[PEERS_NEWS_MAX];
	int64_t timeout = (int64_t)f->service.kernel->settings->heartbeat_ms * USEC_PER_MSEC;
	struct beat *b = g_new0(struct beat, 1);
	ml_heartbeat h;

	b->f = f;
	g_strlcpy(b->vm, vm->name, sizeof(b->vm));
	g_strlcpy(b->address, vm->address, sizeof(b->address));
	heartbeat_make(f, &h, news, wire);
	rpc_start(rpc_of(f->service.kernel), b->address, ML_HEARTBEAT, &h, timeout, beat_done, b);
}

void fleet_beat(struct fleet *f)
{
	struct vm *targets[PEERS_TARGETS_MAX];
	unsigned n = peers_targets(&f->peers, random_bits(), targets);
	unsigned i;

	for (i = 0; i < n; i++)
		beat_send(f, targets[i]);
}

static void beat_tick(evutil_socket_t fd, short what, void *arg)
{
	struct fleet *f = arg;

	fleet_beat(f);
}

static void heartbeat_serve(struct rpc_request *rq, const void *args, void *owner)
{
	struct fleet *f = owner;
	struct vm_news news[PEERS_NEWS_MAX];
	ml_news wire[PEERS_NEWS_MAX];
	ml_heartbeat answer;

	heartbeat_take(f, args);
	heartbeat_make(f, &answer, news, wire);
	rpc_reply(rq, &answer);
}

/* The service */

static gboolean fleet_start(struct service *s, GError **error)
{
	struct fleet *f = (struct fleet *)s;
	const struct settings *set = s->kernel->settings;

	rpc_serve(rpc_of(s->kernel), ML_HEARTBEAT, heartbeat_serve, f);
	rpc_serve(rpc_of(s->kernel), ML_CONF, fleet_conf_serve, f);
	f->heartbeat =
		kernel_every(s->kernel, (int64_t)set->heartbeat_ms * USEC_PER_MSEC, beat_tick, f);
	f->source->start(f);
	return TRUE;
}

/** Rounds of heartbeats that tell of leaving at once: each reaches other VMs. */
#define LEAVE_ROUNDS 4

static void fleet_drain(struct service *s)
{
	struct fleet *f = (struct fleet *)s;
	int i;

	peers_leave(&f->peers);
	for (i = 0; i < LEAVE_ROUNDS; i++)
		fleet_beat(f);
	if (f->source->leave != NULL)
		f->source->leave(f);
	fleet_members_changed(f);
}

static void fleet_stop(struct service *s)
{
	struct fleet *f = (struct fleet *)s;

	if (f->heartbeat != NULL)
		event_free(f->heartbeat);
	event_free(f->fetch_again);
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
	f->ranked_revision = UINT64_MAX;
	f->watch_place = -1;
	peers_init(&f->peers, k->settings->name, k->settings->advertise, k->settings->data_center,
		   k->incarnation);
	listed_look(f);
	f->fetch_again = event_new(k->base, -1, 0, fleet_fetch_again, f);
	kernel_add(k, &f->service);
	return &f->service;
}

/** Names of the data centres that are evacuated. */
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
	json_builder_add_int_value(b, fleet_news_age_us(f) / USEC_PER_MSEC);
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
