/** @file shares.c The service that admits requests within their teams' rates. */
#include "shares-state.h"

#include "log.h"
#include "rpc.h"
#include "stat.h"

#include <stdlib.h>
#include <string.h>

#define TICK_US (10 * USEC_PER_MSEC)
/** Tick while no request waits and no team's rate moves between VMs. */
#define IDLE_TICK_US (50 * USEC_PER_MSEC)
/** Longest wait for a token of a team that is within its rate. */
#define TOKEN_WAIT_MAX_US (1000 * USEC_PER_MSEC)
/**
 * Longest wait for a token of a team that is over its rate. Waiting does not raise the number of
 * requests that are served, it only delays them.
 */
#define OVER_RATE_WAIT_MAX_US (40 * USEC_PER_MSEC)
/** Longest wait for a token of a team with fixed parts that is within its rate. */
#define FIXED_TOKEN_WAIT_MAX_US (300 * USEC_PER_MSEC)
/** Most requests of one team that may wait for tokens at the same time. */
#define WAITING_MAX 5000

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

	t->s = s;
	g_strlcpy(t->name, name, sizeof(t->name));
	t->role = g_str_hash(t->name) % ALLOCATORS;
	t->ask.success_ratio = 1;
	TAILQ_INIT(&t->waiting);
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
	g_free(t);
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

static void shares_changed(void *owner)
{
	struct shares *s = owner;
	struct fleet *f = fleet_of(s->service.kernel);
	struct shares_team *t, *next;
	int64_t now = now_us();

	if (s->conf_version == f->conf->changed[CONF_TEAM] &&
	    s->vms_revision == f->peers.revision && s->n_left == f->n_left)
		return;
	s->vms_revision = f->peers.revision;
	s->n_left = f->n_left;
	if (s->conf_version != f->conf->changed[CONF_TEAM])
		teams_configure(s, f->conf);
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

/** Resizes the buckets when the lease or the set of held parts has changed. */
static void check_lease(struct shares *s, int64_t now)
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
	check_lease(s, now);
	TAILQ_FOREACH(t, &s->teams, link) {
		if (!share_holder_paused(&t->holder, gap))
			continue;
		log_warn("share-dropped", LOG_STR("team", t->name),
			 LOG_NUM("paused_ms", gap / USEC_PER_MSEC));
		team_resize(t, now);
	}
}

/* Admission */

static void admission_end(struct admission *a, bool admitted, int64_t retry)
{
	struct shares_team *t = a->team;

	TAILQ_REMOVE(&t->waiting, a, link);
	t->n_waiting--;
	a->team = NULL;
	a->done(a, admitted, retry);
}

void shares_cancel(struct admission *a)
{
	if (a->team == NULL)
		return;
	TAILQ_REMOVE(&a->team->waiting, a, link);
	a->team->n_waiting--;
	a->team = NULL;
}

/** Returns the expected time until a token is free for a new request of the team on this VM. */
static int64_t token_wait_us(struct shares_team *t, int64_t now)
{
	double ahead = (double)t->n_waiting + 1;
	/*
	 * With fixed parts, tokens of every part can be requested; with a rate that moves, only
	 * this VM's part counts.
	 */
	double part = !t->fixed && t->bucket.rate > 0 ? t->bucket.rate : t->rate / 2;
	int64_t wait = (int64_t)((ahead - t->bucket.tokens) / part * (double)USEC_PER_SEC);

	return wait > 0 ? wait : 1;
}

/** Returns whether the team's demand over the fleet is within its rate, as known to this VM. */
static bool team_within_rate(const struct shares_team *t)
{
	return t->fixed ? ask_within_rate(t) : share_holder_within_rate(&t->holder);
}

static int64_t max_wait_us(const struct shares_team *t)
{
	if (!team_within_rate(t))
		return OVER_RATE_WAIT_MAX_US;
	return t->fixed ? FIXED_TOKEN_WAIT_MAX_US : TOKEN_WAIT_MAX_US;
}

/** Takes a token from this VM's bucket for @a a. */
static bool take_token(struct shares_team *t, struct admission *a, int64_t now)
{
	if (!a->will_settle)
		return bucket_take(&t->bucket, 1, now);
	a->checked_out = bucket_reserve(&t->bucket, now);
	return a->checked_out;
}

int shares_admit(struct shares *s, const char *team, struct admission *a, int64_t deadline_us,
		 int64_t *retry_after_us)
{
	struct shares_team *t = shares_team(s, team);
	int64_t now = now_us();
	int64_t limit;
	bool ok;

	shares_check_pause(s, now);
	check_lease(s, now);
	a->team = NULL;
	a->checked_out = false;
	/* A team without a configured rate is not limited. */
	if (t == NULL || !t->configured)
		return 1;
	ok = t->n_waiting == 0 && take_token(t, a, now);
	if (!t->fixed)
		share_holder_arrival(&t->holder, ok, now);
	if (ok)
		return 1;
	*retry_after_us = token_wait_us(t, now);
	limit = now + max_wait_us(t);
	if (limit > deadline_us)
		limit = deadline_us;
	/* Refuse at once, with a retry time, when waiting is unlikely to get a token. */
	if (t->n_waiting >= WAITING_MAX)
		return -1;
	if (!team_within_rate(t) &&
	    (t->fixed ? now < t->ask.paused_until_us : now + *retry_after_us > limit))
		return -1;
	a->team = t;
	a->until_us = limit;
	TAILQ_INSERT_TAIL(&t->waiting, a, link);
	t->n_waiting++;
	team_mark_busy(t);
	ask_next(t, now);
	return 0;
}

void team_admit_waiting(struct shares_team *t, int64_t now)
{
	struct admission *a;

	while ((a = TAILQ_FIRST(&t->waiting)) != NULL) {
		if (t->granted >= 1)
			t->granted -= 1;
		else if (!take_token(t, a, now))
			break;
		admission_end(a, true, 0);
	}
	t->granted = 0;
	if (a != NULL)
		t->holder.short_of_tokens = true;
	while ((a = TAILQ_FIRST(&t->waiting)) != NULL && a->until_us <= now)
		admission_end(a, false, token_wait_us(t, now));
}

void shares_settle(struct shares *s, const char *team, struct admission *a, bool ran)
{
	struct shares_team *t = shares_team(s, team);
	int64_t now = now_us();

	if (!a->checked_out)
		return;
	a->checked_out = false;
	if (t == NULL)
		return;
	bucket_settle(&t->bucket, !ran, now);
	if (!ran)
		team_admit_waiting(t, now);
}

double shares_weight(struct shares *s, const char *team)
{
	const struct shares_team *t = shares_team(s, team);

	return t != NULL && t->configured ? t->rate : 1;
}

bool shares_within_rate(struct shares *s, const char *team)
{
	const struct shares_team *t = shares_team(s, team);

	return t == NULL || team_within_rate(t);
}

unsigned team_grant(struct shares_team *t, unsigned want, int64_t now)
{
	unsigned granted = 0;

	/* Requests that wait on this VM have precedence. */
	if (t->n_waiting > 0)
		return 0;
	while (granted < want && bucket_take(&t->bucket, 1, now))
		granted++;
	return granted;
}

/* The service */

static void shares_tick(evutil_socket_t fd, short what, void *arg)
{
	struct shares *s = arg;
	int64_t now = now_us();
	struct shares_team *t, *next;

	shares_check_pause(s, now);
	s->ticked_us = now;
	check_lease(s, now);
	TAILQ_FOREACH_SAFE(t, &s->busy, busy_link, next) {
		team_admit_waiting(t, now);
		ask_next(t, now);
		if (t->n_waiting > 0 || t->ask.asked > 0)
			continue;
		t->busy = false;
		TAILQ_REMOVE(&s->busy, t, busy_link);
	}
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
	while ((t = TAILQ_FIRST(&s->teams)) != NULL)
		team_free(t);
	g_hash_table_destroy(s->by_name);
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
	kernel_add(k, &s->service);
	return &s->service;
}

void shares_log_refusal(struct shares *s, const char *team, const char *request)
{
	const struct shares_team *t = shares_team(s, team);

	if (t == NULL)
		return;
	log_info("no-token", LOG_STR("request", request), LOG_STR("team", team),
		 LOG_NUM("rate_milli", t->bucket.rate * 1000),
		 LOG_NUM("tokens_milli", t->bucket.tokens * 1000),
		 LOG_NUM("whole_rate_milli", t->rate * 1000),
		 LOG_NUM("part_permille", (int64_t)t->holder.units * 1000 / SHARE_TOTAL_UNITS),
		 LOG_NUM("demand_milli", t->holder.demand * 1000),
		 LOG_NUM("team_over", t->holder.over), LOG_NUM("waiting", t->n_waiting),
		 LOG_NUM("listed", s->listed), LOG_NUM("fixed", t->fixed),
		 LOG_NUM("got_permille", t->ask.success_ratio * 1000),
		 LOG_NUM("dry_ms", (t->ask.paused_until_us - now_us()) / USEC_PER_MSEC),
		 LOG_NUM("report_age_ms", (now_us() - t->holder.reported_us) / USEC_PER_MSEC));
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
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}
