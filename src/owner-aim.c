/** @file owner-aim.c Target latencies of the routes to a group, and what its queues need of it. */
#include "owner.h"

#include "place.h"

#include <string.h>

G_STATIC_ASSERT(DUEQ_CLASSES == OWNER_PRIORITIES);

static void take_route(struct owner_group *g, const struct conf_route *r)
{
	unsigned class = MIN(r->priority, OWNER_PRIORITIES - 1);
	unsigned deadline_ms = r->deadline_ms;
	struct owner_aim *aim;

	if (r->mode < 0 || r->mode >= OWNER_AIM_MODES)
		return;
	g->queues->aims.last_class = MAX(g->queues->aims.last_class, class);
	if (r->target_latency_ms == 0)
		return;
	if (deadline_ms == 0)
		deadline_ms = g->o->service.kernel->settings->deadline_ms;
	g->queues->aims.any = true;
	aim = &g->queues->aims.aim[class][r->mode];
	if (aim->target_ms == 0 || r->target_latency_ms < aim->target_ms ||
	    (r->target_latency_ms == aim->target_ms && deadline_ms < aim->deadline_ms))
		*aim = (struct owner_aim){r->target_latency_ms, deadline_ms};
}

static void take_routes(struct owner_group *g, const struct conf *conf)
{
	GHashTableIter iter;
	gpointer value;

	memset(&g->queues->aims, 0, sizeof(g->queues->aims));
	g->queues->aims.known = true;
	g->queues->aims.version = conf->changed[CONF_ROUTE];
	g_hash_table_iter_init(&iter, conf->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct conf_entry *e = value;

		if (strcmp(e->route.pool, g->pool) == 0)
			take_route(g, &e->route);
	}
}

bool owner_aim_used(const struct owner_group *g)
{
	return g->queues != NULL && g->queues->write.by_aim;
}

void owner_aim_update(struct owner_group *g)
{
	const struct conf *conf = owner_group_fleet(g)->conf;

	if (!g->o->service.kernel->settings->queue_by_aim || g->queues == NULL ||
	    (g->queues->aims.known && g->queues->aims.version == conf->changed[CONF_ROUTE]))
		return;
	take_routes(g, conf);
	dueq_set_order(&g->queues->write, g->queues->aims.any, g->queues->aims.last_class);
	dueq_set_order(&g->queues->read, g->queues->aims.any, g->queues->aims.last_class);
}

bool owner_aim_expiry(const struct owner_group *g, const ml_run_args *a, int64_t received_us,
		      int64_t *aim_us)
{
	unsigned class = MIN(a->priority, OWNER_PRIORITIES - 1);
	int64_t left_us = (int64_t)a->deadline_us, used_us;
	const struct owner_aim *aim;

	*aim_us = received_us + left_us;
	if (g->queues == NULL || a->mode < 0 || a->mode >= OWNER_AIM_MODES)
		return false;
	aim = &g->queues->aims.aim[class][a->mode];
	if (aim->target_ms == 0)
		return false;
	used_us = MAX((int64_t)aim->deadline_ms * USEC_PER_MSEC - left_us, 0);
	*aim_us = MIN(*aim_us, received_us + (int64_t)aim->target_ms * USEC_PER_MSEC - used_us);
	return true;
}

/** Returns how many statements the member can run beside its idle transactions. */
static unsigned member_slots(const struct owner_member *m)
{
	const struct owner_tx *tx;
	unsigned resting = 0;

	TAILQ_FOREACH(tx, &m->g->txs, link)
		resting += tx->conn->m == m && tx->conn->job == NULL ? 1 : 0;
	return MIN(m->conf.slots + PLACE_PIPELINE_DEPTH,
		   m->conf.connections > resting ? m->conf.connections - resting : 1);
}

void owner_aim_update_slots(struct owner_group *g)
{
	const struct owner_member *primary = owner_group_primary(g);
	unsigned i, reads = 0;

	if (!owner_aim_used(g))
		return;
	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		if (m->listed && !m->down && !conf_member_leaves(&m->conf))
			reads += member_slots(m);
	}
	if (primary != NULL)
		dueq_set_slots(&g->queues->write, member_slots(primary));
	if (reads > 0)
		dueq_set_slots(&g->queues->read, reads);
}
