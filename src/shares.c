/** @file shares.c The service that admits requests and moves parts of teams' rates between VMs. */
#include "shares.h"

#include "bucket.h"
#include "fleet.h"
#include "log.h"
#include "rpc.h"
#include "share.h"
#include "stat.h"

#include <string.h>

#define TICK_US (10 * USEC_PER_MSEC)
/** Longest wait for a token, as long as the team is within its rate. */
#define HOPE_US (1000 * USEC_PER_MSEC)
/**
 * Longest wait for a token of a team that is over its rate. Each token serves one request, at once
 * or after a wait; with waits of 300 ms nearly all that were served came late.
 */
#define OVER_US (40 * USEC_PER_MSEC)
#define REPORT_TIMEOUT_US (400 * USEC_PER_MSEC)
/** Single tokens that took longer to arrive are not used. */
#define GRANT_FRESH_US (100 * USEC_PER_MSEC)
/** A report takes along the teams of the same allocator whose own would be due so soon. */
#define REPORT_AHEAD_US (500 * USEC_PER_MSEC)
/** VMs that allocate, at most. */
#define ALLOCATORS 8
/** Teams that one report may name. */
#define REPORT_TEAMS 256
/** Most requests of one team that wait for tokens. */
#define WAITING_MAX 5000

struct shares_team {
	TAILQ_ENTRY(shares_team) link;
	struct shares *s;
	char name[NAME_SIZE];
	double rate;
	double burst;
	bool configured;
	unsigned role; /**< which of the allocators has it */
	struct share_split split;
	struct bucket bucket;
	struct share_holder holder;
	int64_t out_us;		   /**< when the open report was sent */
	struct share_alloc *alloc; /**< when this VM was asked to be the team's allocator */
	bool whole;		   /**< @a alloc had heard from every VM when last looked at */
	int64_t census_told_us;	   /**< when it was last logged whom @a alloc waits for */
	struct admissions waiting;
	unsigned n_waiting;
	double granted; /**< single tokens from the allocator, for those that wait now */
};
TAILQ_HEAD(shares_teams, shares_team);

struct shares {
	struct service service;
	struct shares_teams teams;
	GHashTable *by_name;
	struct event *tick;
	int64_t ticked_us;
	char allocator[ALLOCATORS][ADDRESS_SIZE]; /**< to which reports go; empty: to none */
	bool listed;				  /**< this VM surely counts as listed for others */
};

struct shares *shares_of(struct kernel *k)
{
	return (struct shares *)kernel_find(k, "shares");
}

static struct shares_team *team_find(struct shares *s, const char *name)
{
	return g_hash_table_lookup(s->by_name, name);
}

/** Bring the bucket to this VM's part. */
static void team_resize(struct shares_team *t, int64_t now)
{
	double part = (double)t->holder.units / SHARE_WHOLE;
	const struct share_split *s = &t->split;

	/*
	 * A VM whose lease has ended is no longer counted by others, who divide the rate without
	 * it: it must not spend anything until it is listed again.
	 */
	if (!t->s->listed)
		bucket_resize(&t->bucket, 0, 0, now);
	else
		bucket_resize(&t->bucket, s->own_rate + s->moved_rate * part,
			      s->own_burst + s->moved_burst * part, now);
}

/** VMs among which rates are divided. */
static unsigned vms_listed(const struct fleet *f)
{
	const struct vm *vm;
	unsigned n = 0;

	TAILQ_FOREACH(vm, &f->peers.vms, link)
		n += vm->listed ? 1 : 0;
	return n;
}

/** Divide the team's rate anew: it, or the number of VMs @a n, has changed. */
static void team_split(struct shares_team *t, unsigned n, int64_t now)
{
	const struct settings *set = t->s->service.kernel->settings;
	const struct share_tolerance tolerance = {.window_s = set->rate_window_s,
						  .overshoot = set->rate_overshoot,
						  .slack = set->rate_slack};

	t->split = share_split(t->rate, t->burst, n, &tolerance);
	if (t->alloc != NULL)
		t->alloc->own = t->split.own_part;
	team_resize(t, now);
}

static struct shares_team *team_create(struct shares *s, const char *name)
{
	struct shares_team *t = g_new0(struct shares_team, 1);
	int64_t now = now_us();

	t->s = s;
	g_strlcpy(t->name, name, sizeof(t->name));
	t->role = g_str_hash(t->name) % ALLOCATORS;
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
	TAILQ_REMOVE(&t->s->teams, t, link);
	g_hash_table_remove(t->s->by_name, t->name);
	g_free(t);
}

static void list_vms(struct shares *s, struct share_alloc *alloc)
{
	struct fleet *f = fleet_of(s->service.kernel);
	const char **names = g_new0(const char *, f->peers.n + 1);
	struct vm *vm;
	unsigned n = 0;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		/* This VM counts itself as listed only when the platform does. */
		if (vm->listed && !vm->left && (vm != f->peers.self || f->peers.revision > 0))
			names[n++] = vm->name;
	}
	share_alloc_listed(alloc, names, n, now_us());
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm->left)
			share_alloc_left(alloc, vm->name, now_us());
	}
	g_free(names);
}

static void shares_changed(void *owner)
{
	struct shares *s = owner;
	struct fleet *f = fleet_of(s->service.kernel);
	struct shares_team *t, *next;
	unsigned n = vms_listed(f);
	int64_t now = now_us();
	GHashTableIter iter;
	gpointer value;

	TAILQ_FOREACH(t, &s->teams, link)
		t->configured = false;
	g_hash_table_iter_init(&iter, f->conf->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct conf_entry *e = value;

		if (e->kind != CONF_TEAM)
			continue;
		t = team_find(s, e->team.name);
		if (t == NULL)
			t = team_create(s, e->team.name);
		t->configured = true;
		if (t->rate != e->team.rate || t->burst != e->team.burst)
			log_info("team-rate", LOG_STR("team", t->name),
				 LOG_NUM("rate_milli", e->team.rate * 1000),
				 LOG_NUM("burst_milli", e->team.burst * 1000),
				 LOG_NUM("conf", f->conf->version));
		t->rate = e->team.rate;
		t->burst = e->team.burst;
		team_split(t, n, now);
	}
	TAILQ_FOREACH_SAFE(t, &s->teams, link, next) {
		if (t->alloc != NULL) {
			t->alloc->rate = t->rate;
			t->alloc->burst = t->burst;
			list_vms(s, t->alloc);
		}
		if (!t->configured && t->n_waiting == 0)
			team_free(t);
	}
}

/**
 * A loop that stood still may hold parts that others have by now: give them up before any request
 * takes a token.
 */
static void check_pause(struct shares *s, int64_t now)
{
	int64_t gap = now - s->ticked_us;
	struct shares_team *t;

	if (gap < SHARE_PAUSE_MAX_US)
		return;
	s->ticked_us = now;
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

/** When the team's next token is likely to be free for a new request here. */
static int64_t team_wait_us(struct shares_team *t, int64_t now)
{
	double ahead = (double)t->n_waiting + 1;
	double part = t->bucket.rate > 0 ? t->bucket.rate : t->rate / 2;
	int64_t wait = (int64_t)((ahead - t->bucket.tokens) / part * (double)USEC_PER_SEC);

	return wait > 0 ? wait : 1;
}

int shares_admit(struct shares *s, const char *team, struct admission *a, int64_t deadline_us,
		 int64_t *retry_after_us)
{
	struct shares_team *t = team_find(s, team);
	int64_t now = now_us();
	int64_t limit;
	bool ok;

	check_pause(s, now);
	a->team = NULL;
	/* A team without a rate of its own is not limited. */
	if (t == NULL || !t->configured)
		return 1;
	ok = t->n_waiting == 0 && bucket_take(&t->bucket, 1, now);
	share_holder_arrival(&t->holder, ok, now);
	if (ok)
		return 1;
	*retry_after_us = team_wait_us(t, now);
	limit = now + (share_holder_hopeful(&t->holder) ? HOPE_US : OVER_US);
	if (limit > deadline_us)
		limit = deadline_us;
	/* A wait that must fail is not begun: the caller hears now, and when to come back. */
	if (t->n_waiting >= WAITING_MAX)
		return -1;
	if (!share_holder_hopeful(&t->holder) && now + *retry_after_us > limit)
		return -1;
	a->team = t;
	a->until_us = limit;
	TAILQ_INSERT_TAIL(&t->waiting, a, link);
	t->n_waiting++;
	return 0;
}

static void team_admit_waiting(struct shares_team *t, int64_t now)
{
	struct admission *a;

	while ((a = TAILQ_FIRST(&t->waiting)) != NULL) {
		if (t->granted >= 1)
			t->granted -= 1;
		else if (!bucket_take(&t->bucket, 1, now))
			break;
		admission_end(a, true, 0);
	}
	t->granted = 0;
	if (a != NULL)
		t->holder.short_now = true;
	while ((a = TAILQ_FIRST(&t->waiting)) != NULL && a->until_us <= now)
		admission_end(a, false, team_wait_us(t, now));
}

double shares_weight(struct shares *s, const char *team)
{
	const struct shares_team *t = team_find(s, team);

	return t != NULL && t->configured ? t->rate : 1;
}

bool shares_within_rate(struct shares *s, const char *team)
{
	const struct shares_team *t = team_find(s, team);

	return t == NULL || share_holder_hopeful(&t->holder);
}

/* Holder's side */

struct report {
	struct shares *s;
	char address[ADDRESS_SIZE];
};

static void report_done(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_share_res *res = arg_res;
	struct report *r = arg;
	int64_t now = now_us();
	u_int i;

	if (status != RPC_DONE)
		fleet_suspect(fleet_of(r->s->service.kernel), r->address);
	for (i = 0; status == RPC_DONE && i < res->orders.orders_len; i++) {
		const ml_share_order *wire = &res->orders.orders_val[i];
		struct share_order o = {
			.epoch = wire->epoch, .seq = wire->seq, .units = wire->units};
		struct shares_team *t = team_find(r->s, wire->team);

		o.over = wire->over;
		if (t == NULL)
			continue;
		/*
		 * Tokens that were long under way would come on top of a burst that has filled up
		 * again since.
		 */
		t->granted = now - t->out_us < GRANT_FRESH_US ? wire->granted : 0;
		t->out_us = 0;
		if (share_holder_order(&t->holder, &o, now)) {
			stat_add(STAT_SHARE_ORDERS, 1);
			team_resize(t, now);
			log_debug("share", LOG_STR("team", t->name),
				  LOG_NUM("units", t->holder.units),
				  LOG_NUM("epoch", t->holder.epoch));
		}
		team_admit_waiting(t, now);
	}
	g_free(r);
}

static void report_send(struct shares *s, const char *address, ml_share_report *reports, unsigned n)
{
	struct kernel *k = s->service.kernel;
	ml_share_args args = {.vm = (char *)k->settings->name, .incarnation = k->incarnation};
	struct report *r = g_new0(struct report, 1);

	r->s = s;
	g_strlcpy(r->address, address, sizeof(r->address));
	args.reports.reports_val = reports;
	args.reports.reports_len = n;
	rpc_start(rpc_of(k), r->address, ML_SHARE, &args, REPORT_TIMEOUT_US, report_done, r);
}

static bool report_due(const struct shares_team *t, int64_t now)
{
	if (t->out_us != 0 && now - t->out_us < REPORT_TIMEOUT_US)
		return false;
	return t->configured && share_holder_due_us(&t->holder) <= now;
}

static void report_fill(struct shares_team *t, ml_share_report *wire, int64_t now)
{
	struct share_report r = share_holder_report(&t->holder, now);

	t->out_us = now;
	wire->team = t->name;
	wire->epoch = r.epoch;
	wire->seq = r.seq;
	wire->units = r.units;
	wire->demand = r.demand;
	wire->average = r.average;
	wire->want = t->n_waiting;
}

/** Room for an allocator's role. */
#define ROLE_SIZE 16

/** All teams of one allocator report. */
static void poke_all(struct shares *s, unsigned role)
{
	struct shares_team *t;

	TAILQ_FOREACH(t, &s->teams, link) {
		if (t->role == role)
			share_holder_poked(&t->holder);
	}
}

/**
 * Find the VMs that allocate. One allocator a team would have each VM of a large fleet write to
 * nearly all others every second: 77 VMs with 81 teams sent 3,900 such messages a second.
 *
 * A new allocator gives out nothing before it has heard from every VM. Holders at rest report each
 * SHARE_REPORT_IDLE_US, so its teams were without tokens for that long; told at once, it knows all
 * within two round trips of the change being known.
 */
static void allocators_look(struct shares *s)
{
	struct fleet *f = fleet_of(s->service.kernel);
	unsigned i;

	/*
	 * Before the other VMs are known this one would take itself for all allocators, with an
	 * epoch that the real one might have to begin again above.
	 */
	if (f->peers.revision == 0)
		return;
	for (i = 0; i < ALLOCATORS; i++) {
		char role[ROLE_SIZE];
		const char *address;

		g_snprintf(role, ROLE_SIZE, "share %u", i);
		address = fleet_holder_address(f, role);
		if (address == NULL)
			address = "";
		if (strcmp(address, s->allocator[i]) == 0)
			continue;
		log_info("rates-by", LOG_NUM("role", i), LOG_STR("address", address),
			 LOG_STR("before", s->allocator[i]),
			 LOG_NUM("vms_revision", f->peers.revision));
		g_strlcpy(s->allocator[i], address, ADDRESS_SIZE);
		poke_all(s, i);
	}
}

/** Send what is due, one message to each allocator. */
static void reports_send(struct shares *s, int64_t now)
{
	ml_share_report reports[REPORT_TEAMS];
	struct shares_team *t, *other;

	allocators_look(s);
	TAILQ_FOREACH(t, &s->teams, link) {
		const char *address = s->allocator[t->role];
		unsigned n = 0;

		if (!report_due(t, now) || address[0] == '\0')
			continue;
		for (other = t; other != NULL && n < REPORT_TEAMS;
		     other = TAILQ_NEXT(other, link)) {
			if (report_due(other, now + REPORT_AHEAD_US) &&
			    strcmp(s->allocator[other->role], address) == 0)
				report_fill(other, &reports[n++], now);
		}
		report_send(s, address, reports, n);
	}
}

/* Allocator's side */

static struct share_alloc *team_alloc(struct shares_team *t)
{
	struct shares *s = t->s;

	if (t->alloc == NULL) {
		t->alloc = g_new0(struct share_alloc, 1);
		share_alloc_init(t->alloc, (uint32_t)s->service.kernel->incarnation | 1,
				 s->service.kernel->settings->name, t->rate, t->burst);
		if (s->service.kernel->settings->platform_kind == PLATFORM_PREPARED)
			t->alloc->gone_us = 0;
		t->alloc->own = t->split.own_part;
		log_info("placement", LOG_STR("choice", "allocator"), LOG_STR("team", t->name));
		list_vms(s, t->alloc);
	}
	return t->alloc;
}

/** Most holders asked for a report at a time. */
#define POKES_MAX 16

static void poke_send(struct kernel *k, const char *name, const char *team, unsigned role)
{
	const struct vm *vm = peers_find(&fleet_of(k)->peers, name);
	ml_poke args = {.team = (char *)team, .allocator = role};

	if (vm != NULL)
		rpc_start(rpc_of(k), vm->address, ML_POKE, &args, REPORT_TIMEOUT_US, NULL, NULL);
}

/** Ask holders for a report whose units others wait for. */
static void poke_overfull(struct shares_team *t, int64_t now)
{
	struct kernel *k = t->s->service.kernel;
	const char *vms[POKES_MAX];
	unsigned n = share_alloc_overfull(t->alloc, vms, POKES_MAX, now);
	unsigned i;

	for (i = 0; i < n; i++)
		poke_send(k, vms[i], t->name, t->role);
}

/** VMs of the largest fleet that is designed for; one report of each is asked for. */
#define ASKED_MAX 4096

/**
 * Ask the holders that an allocator here has not heard yet. Their teams get nothing new until all
 * are heard, and holders at rest report each SHARE_REPORT_IDLE_US: 15% of a fleet's requests were
 * refused over ten seconds in which VMs restarted one after the other.
 */
static void ask_unheard(struct shares *s, int64_t now)
{
	const char **vms = NULL;
	struct shares_team *t;
	bool asked[ALLOCATORS] = {false};

	TAILQ_FOREACH(t, &s->teams, link) {
		unsigned n, i;

		if (t->alloc == NULL || t->alloc->whole || asked[t->role])
			continue;
		if (vms == NULL)
			vms = g_new(const char *, ASKED_MAX);
		n = share_alloc_unheard(t->alloc, vms, ASKED_MAX, now);
		/* A report names all teams of the allocator, so one team's holders stand for all.
		 */
		asked[t->role] = n > 0;
		for (i = 0; i < n; i++)
			poke_send(s->service.kernel, vms[i], "", t->role);
	}
	g_free(vms);
}

static void poke_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_poke *a = args;
	struct shares *s = owner;
	struct shares_team *t = team_find(s, a->team);
	ml_none res = {.ok = true};

	if (t != NULL)
		share_holder_poked(&t->holder);
	else if (a->team[0] == '\0')
		poke_all(s, a->allocator);
	else
		res.ok = false;
	rpc_reply(rq, &res);
}

/** Between two lines on an allocator that still waits for a VM. */
#define CENSUS_TOLD_US (1 * USEC_PER_SEC)

/** Log when the allocator may give out all of the rate, and for whom it waits before it may. */
static void census_log(struct shares_team *t, int64_t now)
{
	const struct share_alloc *a = t->alloc;
	const char *first;
	unsigned n;

	if (a->whole == t->whole && (a->whole || now - t->census_told_us < CENSUS_TOLD_US))
		return;
	t->whole = a->whole;
	t->census_told_us = now;
	n = share_alloc_unbound(a, &first);
	log_info("rates-census", LOG_STR("team", t->name), LOG_NUM("complete", a->whole),
		 LOG_NUM("epoch", a->epoch), LOG_NUM("unheard", n), LOG_STR("first", first),
		 LOG_NUM("units_permille", (int64_t)a->budget * 1000 / SHARE_WHOLE));
}

/** Single tokens for another VM's waiting requests, out of this VM's own part. */
static u_int grant_tokens(struct shares_team *t, u_int want, int64_t now)
{
	u_int granted = 0;

	/* Those that wait here go first. */
	if (t->n_waiting > 0)
		return 0;
	while (granted < want && bucket_take(&t->bucket, 1, now))
		granted++;
	return granted;
}

static void share_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_share_args *a = args;
	struct shares *s = owner;
	ml_share_order *orders = g_new0(ml_share_order, a->reports.reports_len + 1);
	ml_share_res res = {0};
	int64_t now = now_us();
	u_int i;

	check_pause(s, now);
	for (i = 0; i < a->reports.reports_len; i++) {
		const ml_share_report *wire = &a->reports.reports_val[i];
		struct share_report r = {
			.incarnation = a->incarnation, .epoch = wire->epoch, .seq = wire->seq};
		struct shares_team *t = team_find(s, wire->team);
		struct share_order o;

		/* The team is not known here yet: no order, the holder asks again. */
		if (t == NULL || !t->configured)
			continue;
		r.units = wire->units;
		r.demand = wire->demand;
		r.average = wire->average;
		o = share_alloc_report(team_alloc(t), a->vm, &r, now);
		orders[res.orders.orders_len] = (ml_share_order){.team = wire->team,
								 .epoch = o.epoch,
								 .seq = o.seq,
								 .units = o.units,
								 .over = o.over};
		census_log(t, now);
		poke_overfull(t, now);
		if (share_alloc_self_short(t->alloc, now))
			share_holder_poked(&t->holder);
		if (strcmp(a->vm, s->service.kernel->settings->name) != 0)
			orders[res.orders.orders_len].granted = grant_tokens(t, wire->want, now);
		res.orders.orders_len++;
	}
	res.orders.orders_val = orders;
	rpc_reply(rq, &res);
	g_free(orders);
}

/* The service */

static void shares_tick(evutil_socket_t fd, short what, void *arg)
{
	struct shares *s = arg;
	bool listed = fleet_surely_listed(fleet_of(s->service.kernel));
	int64_t now = now_us();
	struct shares_team *t;

	check_pause(s, now);
	s->ticked_us = now;
	if (listed != s->listed) {
		s->listed = listed;
		log_info("rates", LOG_STR("state", listed ? "in force" : "not listed"));
		TAILQ_FOREACH(t, &s->teams, link)
			team_resize(t, now);
	}
	TAILQ_FOREACH(t, &s->teams, link)
		team_admit_waiting(t, now);
	ask_unheard(s, now);
	reports_send(s, now);
}

static gboolean shares_start(struct service *service, GError **error)
{
	struct shares *s = (struct shares *)service;

	rpc_serve(rpc_of(service->kernel), ML_SHARE, share_serve, s);
	rpc_serve(rpc_of(service->kernel), ML_POKE, poke_serve, s);
	fleet_listen(fleet_of(service->kernel), shares_changed, s);
	s->ticked_us = now_us();
	s->tick = kernel_every(service->kernel, TICK_US, shares_tick, s);
	return TRUE;
}

/**
 * Give up all parts; this comes before the fleet is told of leaving, and lets others have them at
 * once.
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
	s->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	kernel_add(k, &s->service);
	return &s->service;
}

void shares_log(struct shares *s, const char *team, const char *request)
{
	const struct shares_team *t = team_find(s, team);

	if (t == NULL)
		return;
	log_info("no-token", LOG_STR("request", request), LOG_STR("team", team),
		 LOG_NUM("rate_milli", t->bucket.rate * 1000),
		 LOG_NUM("tokens_milli", t->bucket.tokens * 1000),
		 LOG_NUM("whole_rate_milli", t->rate * 1000),
		 LOG_NUM("part_permille", (int64_t)t->holder.units * 1000 / SHARE_WHOLE),
		 LOG_NUM("demand_milli", t->holder.demand * 1000),
		 LOG_NUM("team_over", t->holder.over), LOG_NUM("waiting", t->n_waiting),
		 LOG_NUM("listed", s->listed),
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
		json_builder_add_double_value(b, (double)t->holder.units / SHARE_WHOLE);
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
