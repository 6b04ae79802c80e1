/**
 * @file shares-report.c
 * Parts of rates that move between VMs: the reports that this VM sends to the allocators, and, for
 * the teams that this VM is the allocator of, the answers to the reports of others.
 */
#include "shares-state.h"

#include "log.h"
#include "rpc.h"
#include "stat.h"

#include <string.h>

#define REPORT_TIMEOUT_US (400 * USEC_PER_MSEC)
/** A message to an allocator also carries the reports that would be due within this time. */
#define REPORT_AHEAD_US (500 * USEC_PER_MSEC)
/** Most teams in one message to an allocator. */
#define REPORT_TEAMS_MAX 256

/* Holder's side */

/** A message in flight to an allocator, with reports of teams. */
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
		 * Tokens that took long to arrive would exceed the team's burst, which has filled
		 * up again in the meantime.
		 */
		t->granted = now - t->report_sent_us < GRANT_AGE_MAX_US ? wire->granted : 0;
		t->report_sent_us = 0;
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
	if (t->report_sent_us != 0 && now - t->report_sent_us < REPORT_TIMEOUT_US)
		return false;
	return t->configured && !t->fixed && share_holder_due_us(&t->holder) <= now;
}

static void report_fill(struct shares_team *t, ml_share_report *wire, int64_t now)
{
	struct share_report r = share_holder_report(&t->holder, now);

	t->report_sent_us = now;
	wire->team = t->name;
	wire->epoch = r.epoch;
	wire->seq = r.seq;
	wire->units = r.units;
	wire->demand = r.demand;
	wire->average = r.average;
	wire->want = t->n_waiting;
}

/** Size of the text that names an allocator role. */
#define ROLE_SIZE 16

/** Makes the reports of all teams of one allocator role due now. */
static void set_reports_due(struct shares *s, unsigned role)
{
	struct shares_team *t;

	TAILQ_FOREACH(t, &s->teams, link) {
		if (t->role == role)
			share_holder_report_now(&t->holder);
	}
}

/**
 * Finds the VMs that have the allocator roles. There are few roles, because with one allocator per
 * team each VM of a large fleet would send reports to nearly all others every second.
 *
 * A new allocator assigns nothing before every VM has reported to it. Idle holders report only
 * every SHARE_REPORT_IDLE_US, and its teams would have no tokens for that long. Therefore all
 * holders report at once to a new allocator: it has all reports within two round trips after the
 * change is known.
 */
static void update_allocators(struct shares *s)
{
	struct fleet *f = fleet_of(s->service.kernel);
	unsigned i;

	/*
	 * Before the list of VMs is known this VM would assign all roles to itself. Its epoch may
	 * be higher than the real allocator's, which would then have to start over with a higher
	 * one.
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
		set_reports_due(s, i);
	}
}

/** Sends the reports that are due, in one message to each allocator. */
static void reports_send(struct shares *s, int64_t now)
{
	ml_share_report reports[REPORT_TEAMS_MAX];
	struct shares_team *t, *other;

	update_allocators(s);
	TAILQ_FOREACH(t, &s->teams, link) {
		const char *address = s->allocator[t->role];
		unsigned n = 0;

		if (!report_due(t, now) || address[0] == '\0')
			continue;
		for (other = t; other != NULL && n < REPORT_TEAMS_MAX;
		     other = TAILQ_NEXT(other, link)) {
			if (report_due(other, now + REPORT_AHEAD_US) &&
			    strcmp(s->allocator[other->role], address) == 0)
				report_fill(other, &reports[n++], now);
		}
		report_send(s, address, reports, n);
	}
}

/* Allocator's side */

static void alloc_update_vms(struct shares *s, struct share_alloc *alloc)
{
	struct fleet *f = fleet_of(s->service.kernel);
	const char **names = g_new0(const char *, f->peers.n + 1);
	struct vm *vm;
	unsigned n = 0;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		/* This VM is always in peers, but counts only once the platform lists it. */
		if (vm->listed && !vm->left && (vm != f->peers.self || f->peers.revision > 0))
			names[n++] = vm->name;
	}
	share_alloc_apply_list(alloc, names, n, now_us());
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm->left)
			share_alloc_remove_vm(alloc, vm->name, now_us());
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
	alloc_update_vms(t->s, t->alloc);
}

static struct share_alloc *team_alloc(struct shares_team *t)
{
	struct shares *s = t->s;

	if (t->alloc == NULL) {
		t->alloc = g_new0(struct share_alloc, 1);
		share_alloc_init(t->alloc, (uint32_t)s->service.kernel->incarnation | 1,
				 s->service.kernel->settings->name, t->rate, t->burst);
		if (s->service.kernel->settings->platform_kind == PLATFORM_PREPARED)
			t->alloc->delist_grace_us = 0;
		t->alloc->own = t->split.own_part;
		log_info("placement", LOG_STR("choice", "allocator"), LOG_STR("team", t->name));
		alloc_update_vms(s, t->alloc);
	}
	return t->alloc;
}

/** Maximum number of holders that are asked for a report at a time. */
#define REPORT_REQUESTS_MAX 16

static void request_report(struct kernel *k, const char *name, const char *team, unsigned role)
{
	const struct vm *vm = peers_find(&fleet_of(k)->peers, name);
	ml_report_request args = {.team = (char *)team, .allocator = role};

	if (vm != NULL)
		rpc_start(rpc_of(k), vm->address, ML_REPORT_REQUEST, &args, REPORT_TIMEOUT_US, NULL,
			  NULL);
}

/** Requests reports from holders that must give up units which other holders wait for. */
static void request_excess_reports(struct shares_team *t, int64_t now)
{
	struct kernel *k = t->s->service.kernel;
	const char *vms[REPORT_REQUESTS_MAX];
	unsigned n = share_alloc_over_target(t->alloc, vms, REPORT_REQUESTS_MAX, now);
	unsigned i;

	for (i = 0; i < n; i++)
		request_report(k, vms[i], t->name, t->role);
}

/** Size of the largest supported fleet; each of its VMs may be asked for a report. */
#define HOLDERS_MAX 4096

/**
 * Requests reports from the holders that have not reported yet to an allocator on this VM. The
 * allocator assigns no more units until every holder has reported, and idle holders report only
 * every SHARE_REPORT_IDLE_US: during a rolling restart of VMs, requests of its teams would be
 * refused.
 */
static void request_missing_reports(struct shares *s, int64_t now)
{
	const char **vms = NULL;
	struct shares_team *t;
	bool asked[ALLOCATORS] = {false};

	TAILQ_FOREACH(t, &s->teams, link) {
		unsigned n, i;

		if (t->alloc == NULL || t->fixed || t->alloc->whole || asked[t->role])
			continue;
		if (vms == NULL)
			vms = g_new(const char *, HOLDERS_MAX);
		n = share_alloc_unbound_to_ask(t->alloc, vms, HOLDERS_MAX, now);
		/*
		 * The request covers all teams of the allocator role, so one team per role is
		 * enough.
		 */
		asked[t->role] = n > 0;
		for (i = 0; i < n; i++)
			request_report(s->service.kernel, vms[i], "", t->role);
	}
	g_free(vms);
}

static void report_request_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_report_request *a = args;
	struct shares *s = owner;
	struct shares_team *t = shares_team(s, a->team);
	ml_none res = {.ok = true};

	if (t != NULL)
		share_holder_report_now(&t->holder);
	else if (a->team[0] == '\0')
		set_reports_due(s, a->allocator);
	else
		res.ok = false;
	rpc_reply(rq, &res);
}

/** Minimum time between two log lines about an allocator that still waits for reports. */
#define CENSUS_LOG_INTERVAL_US (1 * USEC_PER_SEC)

/**
 * Logs that the allocator may assign the whole rate because every VM has reported, or how many VMs
 * it still waits for.
 */
static void census_log(struct shares_team *t, int64_t now)
{
	const struct share_alloc *a = t->alloc;
	const char *first;
	unsigned n;

	if (a->whole == t->census_complete &&
	    (a->whole || now - t->census_logged_us < CENSUS_LOG_INTERVAL_US))
		return;
	t->census_complete = a->whole;
	t->census_logged_us = now;
	n = share_alloc_count_unbound(a, &first);
	log_info("rates-census", LOG_STR("team", t->name), LOG_NUM("complete", a->whole),
		 LOG_NUM("epoch", a->epoch), LOG_NUM("unheard", n), LOG_STR("first", first),
		 LOG_NUM("units_permille", (int64_t)a->budget * 1000 / SHARE_TOTAL_UNITS));
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

		/* The team is not configured here yet: send no order, the holder reports again. */
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
		request_excess_reports(t, now);
		if (share_alloc_self_below_target(t->alloc, now))
			share_holder_report_now(&t->holder);
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
	request_missing_reports(s, now);
	reports_send(s, now);
}

void report_serve(struct shares *s)
{
	rpc_serve(rpc_of(s->service.kernel), ML_SHARE, share_serve, s);
	rpc_serve(rpc_of(s->service.kernel), ML_REPORT_REQUEST, report_request_serve, s);
}
