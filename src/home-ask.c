/** @file home-ask.c Requests reports from the homes of the group's other members. */
#include "home-watch.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"
#include "trace.h"

#include <stdio.h>
#include <string.h>

/**
 * Interval of requests to the primary's home. The primary's log positions are also used to compute
 * the age of the replicas' data.
 */
#define ASK_PRIMARY_US (200 * USEC_PER_MSEC)
/** Interval of requests to the homes of other members. */
#define ASK_OTHER_US (1000 * USEC_PER_MSEC)
/** RPC timeout, in addition to the requested wait. */
#define ASK_TIMEOUT_US (400 * USEC_PER_MSEC)
/** A member whose homes have not answered for this long gets the state MEMBER_HOME_UNREACHABLE. */
#define UNREACHABLE_AFTER_US (500 * USEC_PER_MSEC)
/** Pause before a member that lacked a commit is asked again for it. */
#define BEHIND_PAUSE_US (50 * USEC_PER_MSEC)

/** A request in flight for a member's report, which waits until the member has @a wait_for. */
struct ask {
	struct home_watch *w;
	struct pos wait_for;
	char member[NAME_SIZE];
	char address[ADDRESS_SIZE];
	int64_t sent_us;
};

static void ask_failed(struct home_watch *w, int i, int64_t now)
{
	struct home_member *m = w->m;

	if (w->ask[i].failing_since_us == 0)
		w->ask[i].failing_since_us = now;
	/*
	 * Ask the member's next home at once. The member counts as unreachable only after no home
	 * has answered for UNREACHABLE_AFTER_US.
	 */
	w->ask[i].asked_us = 0;
	if (now - w->ask[i].failing_since_us < UNREACHABLE_AFTER_US ||
	    m->view.member[i].state == MEMBER_HOME_UNREACHABLE)
		return;
	log_warn("member-cut", LOG_STR("pool", m->pool), LOG_STR("member", m->view.member[i].name));
	watch_unreachable(w, i, MEMBER_HOME_UNREACHABLE);
	home_confirm_check(m);
}

/** Processes the answer of member @a i's home; @a res is NULL if it did not answer. */
static void ask_handle_answer(struct home_watch *w, int i, const struct ask *a,
			      const ml_member_res *res)
{
	struct member_report r;

	if (res == NULL) {
		fleet_suspect(fleet_of(w->m->home->service.kernel), a->address);
		ask_failed(w, i, now_us());
		return;
	}
	if (res->state == MEMBER_DOWN) {
		w->ask[i].failing_since_us = 0;
		watch_unreachable(w, i, MEMBER_DOWN);
	}
	if (res->state != MEMBER_UP)
		return;
	w->ask[i].failing_since_us = 0;
	home_report_from_res(res, &r);
	/* The report is as old as the home's last probe of the member, not as this request. */
	watch_report(w, i, &r, a->sent_us - (int64_t)res->age_us);
	home_confirm_check(w->m);
}

/** Returns whether the member lacks the commit that the request waited for. */
static bool is_behind(const struct ask *a, const ml_member_res *res)
{
	if (a->wait_for.lsn == 0)
		return false;
	return res == NULL || res->received.term != a->wait_for.term ||
	       res->received.lsn < a->wait_for.lsn;
}

static void ask_done(enum rpc_status status, const void *res, void *arg)
{
	struct ask *a = arg;
	struct home_watch *w = a->w;
	int i = w != NULL ? group_find(&w->m->view, a->member) : -1;

	watch_call_ended(a);
	if (i >= 0) {
		w->ask[i].in_flight = false;
		if (is_behind(a, res))
			w->ask[i].behind_us = now_us();
		ask_handle_answer(w, i, a, res);
		if (w->ask[i].recheck) {
			w->ask[i].recheck = false;
			home_confirm_check(w->m);
		}
	}
	g_free(a);
}

void home_watch_request_report(struct home_member *m, int i, struct pos wait_for, int64_t wait_us)
{
	struct home_watch *w = m->watch;
	ml_member_args args = {.pool = m->pool, .member = m->view.member[i].name};
	const char *address = watch_address_of(w, i);
	struct ask *a;

	if (w->ask[i].in_flight) {
		w->ask[i].recheck = w->ask[i].recheck || wait_us > 0;
		return;
	}
	/*
	 * A member that is down or in another term answers at once without having the commit.
	 * Without a pause, both VMs would exchange RPCs in a busy loop until the commit's deadline.
	 */
	if (wait_us > 0 && now_us() - w->ask[i].behind_us < BEHIND_PAUSE_US)
		return;
	w->ask[i].asked_us = now_us();
	if (address == NULL) {
		ask_failed(w, i, now_us());
		return;
	}
	a = g_new0(struct ask, 1);
	a->w = w;
	a->wait_for = wait_for;
	a->sent_us = now_us();
	g_strlcpy(a->member, m->view.member[i].name, sizeof(a->member));
	g_strlcpy(a->address, address, sizeof(a->address));
	watch_call_started(a);
	args.wait_for.term = wait_for.term;
	args.wait_for.lsn = wait_for.lsn;
	args.wait_us = (u_quad_t)wait_us;
	w->ask[i].in_flight = true;
	rpc_start(rpc_of(m->home->service.kernel), address, ML_MEMBER, &args,
		  ASK_TIMEOUT_US + wait_us, ask_done, a);
}

void watch_request_reports(struct home_watch *w, int64_t now)
{
	struct home_member *m = w->m;
	int primary = group_primary(&m->view);
	bool settling = primary == m->self && group_settled_primary(&m->view) != m->self;
	unsigned i;

	for (i = 0; i < m->view.n; i++) {
		bool soon = (int)i == primary || settling || w->ask[i].failing_since_us != 0 ||
			    w->failover.tries > 0 || m->view.member[i].state != MEMBER_UP;
		int64_t period = soon ? ASK_PRIMARY_US : ASK_OTHER_US;

		if ((int)i == m->self || now - w->ask[i].asked_us < period)
			continue;
		home_watch_request_report(m, (int)i, (struct pos){0}, 0);
	}
}
