/** @file route.c Chooses the member that serves a request. */
#include "route.h"

#include <string.h>

/** Delay before the next attempt when no member is usable. */
#define ROUTE_RETRY_DELAY_US (20 * USEC_PER_MSEC)

static const char *const cause_names[] = {
	[ROUTE_CAUSE_WRITE] = "write",
	[ROUTE_CAUSE_REPLICA_FITS] = "replica-fits",
	[ROUTE_CAUSE_NEEDS_PRIMARY] = "needs-primary",
	[ROUTE_CAUSE_REPLICAS_BEHIND] = "replicas-behind",
	[ROUTE_CAUSE_PRIMARY_UNKNOWN] = "primary-unknown",
	[ROUTE_CAUSE_NONE_USABLE] = "none-usable",
};

const char *route_cause_name(enum route_cause cause)
{
	return cause_names[cause];
}

int route_find(const struct route_view *v, const char *member)
{
	unsigned i;

	for (i = 0; i < v->n; i++) {
		if (strcmp(v->member[i].name, member) == 0)
			return (int)i;
	}
	return -1;
}

void route_update_primary(struct route_view *v, const char *primary, uint64_t term)
{
	int i = route_find(v, primary);

	if (i < 0 || term < v->primary_term)
		return;
	v->primary = i;
	v->primary_term = term;
}

static bool member_usable(const struct route_member *m, int64_t now_us)
{
	return !m->leaving && m->avoid_until_us <= now_us;
}

/**
 * Checks whether a replica may have the required data. Its home verifies the position when it
 * serves the read.
 */
static bool replica_eligible(const struct route_view *v, int i, const struct route_request *req,
			     int64_t now_us)
{
	const struct route_member *m = &v->member[i];

	if (i == v->primary || !member_usable(m, now_us))
		return false;
	if (m->behind_until_us <= now_us)
		return true;
	return req->has_token && req->max_age_us == 0 && pos_cmp(m->applied, req->token) >= 0;
}

static int choose_replica(const struct route_view *v, const struct route_request *req,
			  int64_t now_us)
{
	int eligible[GROUP_MEMBERS_MAX];
	unsigned n = 0;
	unsigned local = 0;
	unsigned i;

	for (i = 0; i < v->n; i++) {
		if (!replica_eligible(v, (int)i, req, now_us))
			continue;
		eligible[n++] = (int)i;
		if (v->member[i].near)
			local++;
	}
	if (n == 0)
		return -1;
	if (local == 0)
		return eligible[req->random % n];
	for (i = 0; i < n; i++) {
		if (v->member[eligible[i]].near)
			return eligible[i];
	}
	return -1;
}

/** Chooses a member to ask when the primary is not known; each attempt asks a different one. */
static int choose_any(const struct route_view *v, const struct route_request *req, int64_t now_us)
{
	unsigned i;

	for (i = 0; i < v->n; i++) {
		unsigned candidate = (unsigned)((req->random + req->attempt + i) % v->n);

		if (member_usable(&v->member[candidate], now_us))
			return (int)candidate;
	}
	return -1;
}

static struct route_outcome member_outcome(int member, enum route_cause cause, bool as_replica)
{
	struct route_outcome out = {
		.verdict = ROUTE_MEMBER,
		.cause = cause,
		.member = member,
		.as_replica = as_replica,
	};

	return out;
}

static struct route_outcome choose_primary(const struct route_view *v,
					   const struct route_request *req, enum route_cause cause,
					   int64_t now_us)
{
	struct route_outcome wait = {
		.verdict = ROUTE_WAIT,
		.cause = ROUTE_CAUSE_NONE_USABLE,
		.member = -1,
		.retry_after_us = ROUTE_RETRY_DELAY_US,
	};
	int any;

	if (v->primary >= 0 && member_usable(&v->member[v->primary], now_us))
		return member_outcome(v->primary, cause, false);
	any = choose_any(v, req, now_us);
	if (any >= 0)
		return member_outcome(any, ROUTE_CAUSE_PRIMARY_UNKNOWN, false);
	return wait;
}

struct route_outcome route_choose(const struct route_view *v, const struct route_request *req,
				  int64_t now_us)
{
	int replica;

	if (req->write)
		return choose_primary(v, req, ROUTE_CAUSE_WRITE, now_us);
	/*
	 * A session that wrote but does not send its token could read from a replica that lacks the
	 * write. Without a token and a maximum age, only the primary is guaranteed to have it.
	 */
	if (!req->has_token && req->max_age_us == 0)
		return choose_primary(v, req, ROUTE_CAUSE_NEEDS_PRIMARY, now_us);
	replica = choose_replica(v, req, now_us);
	if (replica >= 0)
		return member_outcome(replica, ROUTE_CAUSE_REPLICA_FITS, true);
	return choose_primary(v, req, ROUTE_CAUSE_REPLICAS_BEHIND, now_us);
}
