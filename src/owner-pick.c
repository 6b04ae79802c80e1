/** @file owner-pick.c Choice of the member for a statement. */
#include "owner.h"

#include "place.h"

#include <string.h>

/**
 * How long the known position of a replica is used to rule it out. After that the replica may have
 * caught up, and asking it costs one round trip.
 */
#define POSITION_FRESH_US (30 * USEC_PER_MSEC)
static bool member_has_room(const struct owner_member *m)
{
	return m->in_flight < m->conf.slots + PLACE_PIPELINE_DEPTH;
}

/** Whether the limit of a cold member allows a statement now. */
static bool cold_admits(struct owner_member *m, int64_t now)
{
	return !m->conf.cold || bucket_wait_us(&m->cold_bucket, 1, now) == 0;
}

/**
 * Whether a member may serve reads. The limit of a cold member is kept by the owner alone, so other
 * VMs do not use it.
 */
static bool member_usable(const struct owner_member *m)
{
	if (m->conf.cold && !owner_group_is_own(m->g))
		return false;
	return m->listed && !m->down && !conf_member_leaves(&m->conf);
}

/* Choice of the member */

/** Whether a replica may hold @a need and has not failed to serve this job. */
static bool replica_fits(const struct owner_job *job, const struct owner_member *m, struct pos need,
			 int64_t now)
{
	if (job->tried_members & (1U << m->index))
		return false;
	return pos_cmp(m->pos, need) >= 0 || now - m->pos_updated_us > POSITION_FRESH_US;
}

/**
 * Whether the member at @a i is the primary. A VM that does not own the group uses the last report
 * of the owner.
 */
static bool is_primary(const struct owner_group *g, unsigned i)
{
	if (owner_group_is_own(g))
		return (int)i == g->primary;
	return strcmp(g->member[i].conf.name, g->reported_primary) == 0;
}

/** Whether statements may be sent to the primary now. */
static bool primary_usable(const struct owner_group *g, const struct owner_member *m)
{
	return g->state == OWNER_SERVING && owner_group_may_send(g) && !m->down;
}

/** Returns the primary if it can take the statement now, else NULL. */
static struct owner_member *pick_primary(const struct owner_job *job, int64_t now)
{
	struct owner_group *g = job->g;
	struct owner_member *m = owner_group_primary(g);

	if (m == NULL || !primary_usable(g, m) || !member_has_room(m) ||
	    !conn_available(m, job->args) || !cold_admits(m, now))
		return NULL;
	return m;
}

/**
 * Whether @a m can serve the read as far as this VM knows. @param need required position, or NULL
 * if unknown
 */
static bool member_fits(const struct owner_job *job, const struct owner_member *m,
			const struct pos *need, int64_t now)
{
	const struct owner_group *g = job->g;

	if (owner_group_is_own(g) && is_primary(g, m->index))
		return primary_usable(g, m);
	return need != NULL && member_usable(m) && replica_fits(job, m, *need, now);
}

/** Fills in the load of a member, as other VMs cause it and as it was measured. */
static void use_load(const struct owner_member *m, const struct owner_job *job, int64_t now,
		     struct place_member *p)
{
	struct load_view v;

	load_view(m, job->args->priority, now, &v);
	p->others = v.others;
	p->service_us = v.service_us;
	p->opening_us = v.opening_us;
	p->hop_us = v.hop_us;
	p->unsteady = v.unsteady;
	p->probe_due = v.probe_due;
}

/** Chooses the member for a read among those that its reader may use. */
static struct place_outcome pick_reader(const struct owner_job *job, int64_t now)
{
	struct owner_group *g = job->g;
	const char *here = g->o->service.kernel->settings->data_center;
	bool only_local = job->args->reader == READER_LOCAL && !owner_group_is_own(g) &&
			  owner_group_has_member(g, here);
	struct place_member p[GROUP_MEMBERS_MAX] = {0};
	struct pos need;
	bool known = job_needed_pos(job, &need);
	unsigned i;

	for (i = 0; i < g->n; i++) {
		struct owner_member *m = &g->member[i];

		p[i].near = strcmp(m->conf.data_center, here) == 0;
		if ((only_local && !p[i].near) || !member_fits(job, m, known ? &need : NULL, now))
			continue;
		p[i].fits = true;
		p[i].free = conn_available(m, job->args) && cold_admits(m, now);
		p[i].ready = conn_ready(m, job->args->team);
		p[i].primary = is_primary(g, i);
		p[i].last = conf_member_leaves(&m->conf) || !owner_group_is_own(g);
		p[i].out = m->in_flight;
		p[i].slots = m->conf.slots;
		p[i].service_us = m->service_us;
		if (load_placement(g->o))
			use_load(m, job, now, &p[i]);
	}
	return place_read(p, g->n);
}

struct owner_member *pick_member(const struct owner_job *job, int64_t now, bool *unservable)
{
	struct owner_group *g = job->g;
	struct place_outcome p;

	*unservable = false;
	if (now < job->not_before_us)
		return NULL;
	if (job->needs_primary)
		return pick_primary(job, now);
	p = pick_reader(job, now);
	*unservable = p.verdict == PLACE_NONE && job->args->reader != READER_OWNER &&
		      !owner_group_is_own(g);
	return p.verdict == PLACE_MEMBER ? &g->member[p.member] : NULL;
}

bool pick_read_room(const struct owner_group *g)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (member_usable(&g->member[i]) && member_has_room(&g->member[i]))
			return true;
	}
	return false;
}

bool pick_write_room(struct owner_group *g)
{
	const struct owner_member *m = owner_group_primary(g);

	return m != NULL && g->state == OWNER_SERVING && member_has_room(m);
}
