/**
 * @file shares-report.c
 * Parts of the rates that move between VMs: this VM's reports to the allocators, and the answers of
 * those that it is the allocator of.
 */
#include "shares-state.h"

#include "log.h"
#include "rpc.h"
#include "stat.h"

#include <string.h>

#define REPORT_TIMEOUT_US (400 * USEC_PER_MSEC)
/** A report takes along the teams of the same allocator whose own would be due so soon. */
#define REPORT_AHEAD_US (500 * USEC_PER_MSEC)
/** Teams that one report may name. */
#define REPORT_TEAMS 256

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
		struct shares_team *t = shares_team(r->s, wire->team);

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
	return t->configured && !t->fixed && share_holder_due_us(&t->holder) <= now;
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
 * nearly all others every second.
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
			 LOG_REVISION("vms_revision", f->peers.revision));
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

void report_team_changed(struct shares_team *t)
{
	if (t->alloc == NULL)
		return;
	t->alloc->own = t->split.own_part;
	t->alloc->rate = t->rate;
	t->alloc->burst = t->burst;
	list_vms(t->s, t->alloc);
}

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
 * are heard, and holders at rest report each SHARE_REPORT_IDLE_US: while VMs restart one after the
 * other its requests would be refused.
 */
static void ask_unheard(struct shares *s, int64_t now)
{
	const char **vms = NULL;
	struct shares_team *t;
	bool asked[ALLOCATORS] = {false};

	TAILQ_FOREACH(t, &s->teams, link) {
		unsigned n, i;

		if (t->alloc == NULL || t->fixed || t->alloc->whole || asked[t->role])
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
	struct shares_team *t = shares_team(s, a->team);
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

static void share_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_share_args *a = args;
	struct shares *s = owner;
	ml_share_order *orders = g_new0(ml_share_order, a->reports.reports_len + 1);
	ml_share_res res = {0};
	int64_t now = now_us();
	u_int i;

	shares_check_pause(s, now);
	for (i = 0; i < a->reports.reports_len; i++) {
		const ml_share_report *wire = &a->reports.reports_val[i];
		struct share_report r = {
			.incarnation = a->incarnation, .epoch = wire->epoch, .seq = wire->seq};
		struct shares_team *t = shares_team(s, wire->team);
		struct share_order o;

		/* The team is not known here yet: no order, the holder asks again. */
		if (t == NULL || !t->configured || t->fixed)
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
			orders[res.orders.orders_len].granted = team_grant(t, wire->want, now);
		res.orders.orders_len++;
	}
	res.orders.orders_val = orders;
	rpc_reply(rq, &res);
	g_free(orders);
}

void report_tick(struct shares *s, int64_t now)
{
	ask_unheard(s, now);
	reports_send(s, now);
}

void report_serve(struct shares *s)
{
	rpc_serve(rpc_of(s->service.kernel), ML_SHARE, share_serve, s);
	rpc_serve(rpc_of(s->service.kernel), ML_POKE, poke_serve, s);
}
