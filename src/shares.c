/** @file shares.c The service that admits requests within their teams' rates: its teams. */
#include "shares-state.h"

#include "log.h"
#include "rpc.h"
#include "stat.h"

#include <stdlib.h>
#include <string.h>

#define TICK_US (10 * USEC_PER_MSEC)
/** Tick while no request waits and no team's rate moves between VMs. */
#define IDLE_TICK_US (50 * USEC_PER_MSEC)
struct shares *shares_of(struct kernel *k)
{
	return (struct shares *)kernel_find(k, "shares");
}

struct shares_team *shares_team(struct shares *s, const char *name)
{
	return g_hash_table_lookup(s->by_name, name);
}

/** Returns how many of the fixed parts that this VM holds have tokens of the team. */
static unsigned fixed_held(const struct shares_team *t)
{
	const struct kernel *k = t->s->service.kernel;
	unsigned i, n = 0;

	/* Rates are divided over the data centres that the fleet lists; others have no part. */
	if (!fleet_has_listed_vm(fleet_of(t->s->service.kernel), k->settings->data_center))
		return 0;
	for (i = 0; i < PARTS_PER_DC; i++)
		n += (t->s->held & (1U << i)) && part_has_team(&t->part, t->name, i) ? 1 : 0;
	return n;
}

void team_resize(struct shares_team *t, int64_t now)
{
	double part = (double)t->holder.units / SHARE_TOTAL_UNITS;
	const struct share_split *s = &t->split;
	unsigned n;

	/*
	 * Other VMs divide the rate without a VM whose lease has ended, so it must not spend any
	 * tokens until it is listed again.
	 */
	if (!t->s->listed)
		bucket_resize(&t->bucket, 0, 0, now);
	else if (t->fixed) {
		n = fixed_held(t);
		bucket_resize(&t->bucket, n * t->part.rate, n * t->part.burst, now);
	} else
		bucket_resize(&t->bucket, s->own_rate + s->dynamic_rate * part,
			      s->own_burst + s->dynamic_burst * part, now);
}

/** Recomputes the parts of the team's rate after a change of the rate or of the list of VMs. */
static void team_split(struct shares_team *t, int64_t now)
{
	const struct fleet *f = fleet_of(t->s->service.kernel);
	const struct part_fleet fleet = {.data_centers = f->n_data_centers,
					 .vms = f->n_listed,
					 .all_rates = t->s->all_rates};
	const struct settings *set = t->s->service.kernel->settings;
	const struct share_tolerance tolerance = {.window_s = set->rate_window_s,
						  .overshoot = set->rate_overshoot,
						  .slack = set->rate_slack};

	t->split = share_split(t->rate, t->burst, f->n_listed, &tolerance);
	t->fixed =
		t->s->parts != NULL && part_split(t->rate, t->burst, &fleet, &tolerance, &t->part);
	report_team_changed(t);
	team_resize(t, now);
}

/** Sets the tick interval: short only while a request waits or a team's rate moves. */
static void update_tick_interval(struct shares *s)
{
	bool idle = TAILQ_EMPTY(&s->busy) && s->n_moving == 0;

	if (idle == s->idle || s->tick == NULL)
		return;
	s->idle = idle;
	kernel_arm(s->tick, idle ? IDLE_TICK_US : TICK_US);
}

void team_mark_busy(struct shares_team *t)
{
	if (t->busy)
		return;
	t->busy = true;
	TAILQ_INSERT_TAIL(&t->s->busy, t, busy_link);
	update_tick_interval(t->s);
}

static struct shares_team *team_create(struct shares *s, const char *name)
{
	struct shares_team *t = g_new0(struct shares_team, 1);
	int64_t now = now_us();
	unsigned i;

	t->s = s;
	g_strlcpy(t->name, name, sizeof(t->name));
	t->role = g_str_hash(t->name) % ALLOCATORS;
	for (i = 0; i < URGENCY_CLASSES; i++) {
		t->cls[i].ask.success_ratio = 1;
		TAILQ_INIT(&t->cls[i].waiting);
	}
	bucket_init(&t->bucket, 0, 0, 0, now);
	share_holder_init(&t->holder, s->service.kernel->incarnation, now);
	TAILQ_INSERT_TAIL(&s->teams, t, link);
	g_hash_table_insert(s->by_name, t->name, t);
	return t;
}

static void team_free(struct shares_team *t)
{
	if (t->alloc != NULL) {
		share_alloc_clear(t->alloc);
		g_free(t->alloc);
	}
	if (t->busy)
		TAILQ_REMOVE(&t->s->busy, t, busy_link);
	TAILQ_REMOVE(&t->s->teams, t, link);
	g_hash_table_remove(t->s->by_name, t->name);
	g_free(t->urgency);
	g_free(t);
}

/** Notes which classes the routes of each team state. */
static void take_routes(struct shares *s, const struct conf *conf)
{
	struct shares_team *t;
	GHashTableIter iter;
	gpointer value;

	s->route_version = conf->changed[CONF_ROUTE];
	s->route_classes = 0;
	TAILQ_FOREACH(t, &s->teams, link)
		t->route_classes = 0;
	g_hash_table_iter_init(&iter, conf->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct conf_route *r = &((const struct conf_entry *)value)->route;
		unsigned cls = 1U << urgency_class(r->priority);

		t = shares_team(s, r->team);
		if (strcmp(r->team, "*") == 0)
			s->route_classes |= cls;
		else if (t != NULL)
			t->route_classes |= cls;
	}
}

static void team_configure(struct shares *s, const struct conf_entry *e)
{
	struct shares_team *t = shares_team(s, e->team.name);

	if (t == NULL)
		t = team_create(s, e->team.name);
	t->configured = true;
	if (t->rate > 0 && (t->rate != e->team.rate || t->burst != e->team.burst))
		log_info("team-rate", LOG_STR("team", t->name),
			 LOG_NUM("rate_milli", e->team.rate * 1000),
			 LOG_NUM("burst_milli", e->team.burst * 1000),
			 LOG_NUM("conf", fleet_of(s->service.kernel)->conf->version));
	t->rate = e->team.rate;
	t->burst = e->team.burst;
	s->all_rates += t->rate;
}

static void teams_configure(struct shares *s, const struct conf *conf)
{
	struct shares_team *t;
	GHashTableIter iter;
	gpointer value;

	s->conf_version = conf->changed[CONF_TEAM];
	s->all_rates = 0;
	TAILQ_FOREACH(t, &s->teams, link)
		t->configured = false;
	g_hash_table_iter_init(&iter, conf->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct conf_entry *e = value;

		if (e->kind == CONF_TEAM)
			team_configure(s, e);
	}
}

static gboolean address_unlisted(gpointer address, gpointer value, gpointer fleet)
{
	const struct fleet *f = fleet;

	return peers_find_address(&f->peers, address) == NULL;
}

static void shares_changed(void *owner)
{
	struct shares *s = owner;
	struct fleet *f = fleet_of(s->service.kernel);
	struct shares_team *t, *next;
	int64_t now = now_us();

	g_hash_table_foreach_remove(s->holders, address_unlisted, f);
	if (s->route_version != f->conf->changed[CONF_ROUTE])
		take_routes(s, f->conf);
	if (s->conf_version == f->conf->changed[CONF_TEAM] &&
	    s->vms_revision == f->peers.revision && s->n_left == f->n_left)
		return;
	s->vms_revision = f->peers.revision;
	s->n_left = f->n_left;
	if (s->conf_version != f->conf->changed[CONF_TEAM]) {
		teams_configure(s, f->conf);
		take_routes(s, f->conf);
	}
	/* A team's parts depend on the rates of all teams, so all are recomputed. */
	TAILQ_FOREACH(t, &s->teams, link) {
		if (t->configured)
			team_split(t, now);
	}
	s->n_moving = 0;
	TAILQ_FOREACH_SAFE(t, &s->teams, link, next) {
		if (!t->configured && t->n_waiting == 0)
			team_free(t);
		else
			s->n_moving += t->fixed ? 0 : 1;
	}
	update_tick_interval(s);
}

/**
 * Credits the tokens that @a parts have accrued since this process started. The previous process of
 * this VM held the parts and had ended by then, so nobody has spent these tokens; they are needed
 * at once when all VMs restart, because all callers reconnect together.
 */
static void team_inherit(struct shares_team *t, unsigned parts, int64_t now)
{
	double unspent_s = (double)(now - t->s->started_us) / USEC_PER_SEC;
	unsigned i;

	for (i = 0; i < PARTS_PER_DC && t->fixed; i++) {
		if ((parts & (1U << i)) && part_has_team(&t->part, t->name, i))
			bucket_credit(&t->bucket, t->part.rate * unspent_s, now);
	}
}

void shares_check_lease(struct shares *s, int64_t now)
{
	bool listed = fleet_confirmed_listed(fleet_of(s->service.kernel));
	unsigned held = s->parts != NULL ? parts_held(s->parts) : 0;
	unsigned gained;
	struct shares_team *t;

	if (listed == s->listed && held == s->held)
		return;
	gained = held & ~s->held & ~s->inherited;
	gained &= s->parts != NULL ? parts_inherited(s->parts) : 0;
	s->inherited |= gained;
	s->listed = listed;
	s->held = held;
	log_info("rates", LOG_STR("state", listed ? "in force" : "not listed"),
		 LOG_NUM("fixed_parts", held));
	TAILQ_FOREACH(t, &s->teams, link) {
		team_resize(t, now);
		team_inherit(t, gained, now);
	}
}

void shares_check_pause(struct shares *s, int64_t now)
{
	int64_t gap = now - s->ticked_us;
	struct shares_team *t;

	if (gap < SHARE_PAUSE_MAX_US)
		return;
	s->ticked_us = now;
	shares_check_lease(s, now);
	TAILQ_FOREACH(t, &s->teams, link) {
		if (!share_holder_paused(&t->holder, gap))
			continue;
		log_warn("share-dropped", LOG_STR("team", t->name),
			 LOG_NUM("paused_ms", gap / USEC_PER_MSEC));
		team_resize(t, now);
	}
}

/* The service */

/** Admits, refuses and asks for the requests that wait. */
static void process_busy(struct shares *s, int64_t now)
{
	struct shares_team *t, *next;

	TAILQ_FOREACH_SAFE(t, &s->busy, busy_link, next) {
		team_admit_waiting(t, now);
		ask_continue(t, now);
		if (t->n_waiting > 0 || ask_in_progress(t))
			continue;
		t->busy = false;
		TAILQ_REMOVE(&s->busy, t, busy_link);
	}
}

void shares_wake_at(struct shares *s, int64_t at_us)
{
	int64_t now = now_us();

	if (s->due == NULL || (s->due_us != 0 && s->due_us <= at_us))
		return;
	s->due_us = at_us;
	kernel_arm(s->due, at_us > now ? at_us - now : 0);
}

/** Returns when the next promised token of a waiting request is available; 0: none is promised. */
static int64_t next_due_us(const struct shares *s, int64_t now)
{
	const struct shares_team *t;
	const struct admission *a;
	int64_t next = 0;
	unsigned i;

	TAILQ_FOREACH(t, &s->busy, busy_link) {
		for (i = 0; i < URGENCY_CLASSES; i++) {
			TAILQ_FOREACH(a, &t->cls[i].waiting, link) {
				if (a->due_us > now && (next == 0 || a->due_us < next))
					next = a->due_us;
			}
		}
	}
	return next;
}

static void shares_due(evutil_socket_t fd, short what, void *arg)
{
	struct shares *s = arg;
	int64_t now = now_us();
	int64_t next;

	s->due_us = 0;
	shares_check_pause(s, now);
	process_busy(s, now);
	next = next_due_us(s, now);
	if (next != 0)
		shares_wake_at(s, next);
}

static void shares_tick(evutil_socket_t fd, short what, void *arg)
{
	struct shares *s = arg;
	int64_t now = now_us();

	shares_check_pause(s, now);
	s->ticked_us = now;
	shares_check_lease(s, now);
	process_busy(s, now);
	if (s->n_moving > 0)
		report_tick(s, now);
	update_tick_interval(s);
}

static gboolean shares_start(struct service *service, GError **error)
{
	struct shares *s = (struct shares *)service;

	s->parts = parts_of(service->kernel);
	report_serve(s);
	ask_serve(s);
	fleet_listen(fleet_of(service->kernel), shares_changed, s);
	s->started_us = now_us();
	s->ticked_us = s->started_us;
	s->tick = kernel_every(service->kernel, TICK_US, shares_tick, s);
	s->due = event_new(service->kernel->base, -1, 0, shares_due, s);
	return TRUE;
}

/**
 * Gives up all parts. This happens before the VM announces to the fleet that it leaves, so that
 * other VMs can use the parts at once.
 */
static void shares_drain(struct service *service)
{
	struct shares *s = (struct shares *)service;
	struct shares_team *t;

	TAILQ_FOREACH(t, &s->teams, link) {
		share_holder_leave(&t->holder);
		team_resize(t, now_us());
	}
}

static void shares_stop(struct service *service)
{
	struct shares *s = (struct shares *)service;
	struct shares_team *t;

	if (s->tick != NULL)
		event_free(s->tick);
	if (s->due != NULL)
		event_free(s->due);
	while ((t = TAILQ_FIRST(&s->teams)) != NULL)
		team_free(t);
	g_hash_table_destroy(s->by_name);
	g_hash_table_destroy(s->holders);
	g_free(s);
}

static const struct service_ops shares_ops = {
	.name = "shares",
	.start = shares_start,
	.drain = shares_drain,
	.stop = shares_stop,
};

struct service *shares_service_create(struct kernel *k)
{
	struct shares *s = g_new0(struct shares, 1);

	s->service.ops = &shares_ops;
	TAILQ_INIT(&s->teams);
	TAILQ_INIT(&s->busy);
	s->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	s->holders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	kernel_add(k, &s->service);
	return &s->service;
}

static void put_classes(JsonBuilder *b, const char *name, const double value[URGENCY_CLASSES])
{
	unsigned i;

	json_builder_set_member_name(b, name);
	json_builder_begin_array(b);
	for (i = 0; i < URGENCY_CLASSES; i++)
		json_builder_add_double_value(b, value[i]);
	json_builder_end_array(b);
}

/** Writes demand and allowances of a team that is short of tokens, while they go by class. */
static void put_urgency(struct shares_team *t, JsonBuilder *b)
{
	int64_t now = now_us();

	if (!team_by_class(t) || urgency_unpromised(t->urgency, &t->bucket, now) >= 1)
		return;
	put_classes(b, "demand_by_class", t->urgency->demand);
	put_classes(b, "allowance_by_class", t->urgency->allowance);
}

void shares_json(struct shares *s, JsonBuilder *b)
{
	struct shares_team *t;

	json_builder_set_member_name(b, "teams");
	json_builder_begin_array(b);
	TAILQ_FOREACH(t, &s->teams, link) {
		json_builder_begin_object(b);
		json_builder_set_member_name(b, "team");
		json_builder_add_string_value(b, t->name);
		json_builder_set_member_name(b, "part");
		json_builder_add_double_value(b, (double)t->holder.units / SHARE_TOTAL_UNITS);
		json_builder_set_member_name(b, "demand");
		json_builder_add_double_value(b, t->holder.demand);
		json_builder_set_member_name(b, "waiting");
		json_builder_add_int_value(b, t->n_waiting);
		json_builder_set_member_name(b, "allocator");
		json_builder_add_boolean_value(b, t->alloc != NULL);
		put_urgency(t, b);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}
