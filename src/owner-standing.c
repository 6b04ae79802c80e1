/** @file owner-standing.c Where the primary of a group stands: counts, report and move. */
#include "owner-standing.h"

#include "fleet-store.h"
#include "log.h"
#include "owner.h"

#include <string.h>

/** How long a move waits for probe results before it is called off. */
#define WANTED_TIMEOUT_US (2 * USEC_PER_SEC)
/** Pause between requests to previous owners to stop. */
#define FENCE_PAUSE_US (200 * USEC_PER_MSEC)
/** Longest age of a probe result on which a move begins. */
#define MOVE_PROBE_FRESH_US (400 * USEC_PER_MSEC)
/** A primary that leaves a request unanswered for this long may be failing. */
#define PRIMARY_QUIET_US (100 * USEC_PER_MSEC)

static const struct settings *settings_of(const struct owner *o)
{
	return o->service.kernel->settings;
}

static bool is_on(const struct owner *o)
{
	return settings_of(o)->rebalance != REBALANCE_OFF;
}

static int64_t age_us(int64_t at_us, int64_t now)
{
	return at_us != 0 ? MAX(now - at_us, 1) : 0;
}

/* Faults */

void standing_fleet_changed(struct owner *o)
{
	const struct fleet *f = fleet_of(o->service.kernel);
	uint64_t version = f->conf->changed[CONF_EVACUATION];
	const struct vm *vm;

	if (!is_on(o))
		return;
	o->standings.fault = false;
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm != f->peers.self && vm->listed && vm->dead && !vm->left)
			o->standings.fault = true;
	}
	if (o->standings.fault || version != o->standings.evacuation_version)
		o->standings.fault_us = now_us();
	o->standings.evacuation_version = version;
}

int64_t standing_quiet_us(const struct owner *o, int64_t now)
{
	if (o->standings.fault || fleet_of(o->service.kernel)->peers.n_suspects > 0)
		return 1;
	return age_us(o->standings.fault_us, now);
}

/** Returns a listed member that is down or leaves, or NULL. */
static const struct owner_member *find_disturbed(const struct owner_group *g)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (g->member[i].listed && (g->member[i].down || g->member[i].refused))
			return &g->member[i];
	}
	return NULL;
}

/* Counts and report */

void standing_sent(const struct owner_job *job, int64_t now)
{
	struct owner_group *g = job->g;
	const struct vm *vm;

	if (!is_on(g->o) || !job->on_primary || (!job->needs_primary && job->tx == NULL))
		return;
	vm = peers_find(&owner_group_fleet(g)->peers, rpc_request_vm(job->rq));
	if (vm == NULL)
		return;
	if (g->standing.origins == NULL)
		g->standing.origins = g_new0(struct standing_origins, 1);
	standing_count(g->standing.origins, vm->data_center, now);
}

void standing_primary_set(struct owner_group *g, const struct owner_member *m, const char *why)
{
	struct owner_standing *s = &g->standing;
	int64_t now = now_us();
	bool moved = s->phase == STANDING_CHANGING && s->target == (int)m->index;

	s->why = moved ? "moved" : why;
	s->since_us = now;
	s->disturbed_us = now;
	if (moved) {
		s->moved_us = now;
		log_info("primary-moved", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name),
			 LOG_STR("data_center", m->conf.data_center),
			 LOG_NUM("after_ms", (now - s->wanted_us) / USEC_PER_MSEC));
	}
	s->phase = STANDING_IDLE;
	s->undo_wanted = false;
}

static void standing_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_standing_args *a = args;
	struct owner_group *g = owner_group_find(owner, a->pool);
	ml_standing_res res = {.primary = "", .data_center = "", .why = ""};
	ml_origin origins[STANDING_CENTERS_MAX];
	const struct owner_member *m;
	int64_t now = now_us();
	unsigned i;

	m = g != NULL && owner_group_is_own(g) && g->state == OWNER_SERVING ? owner_group_primary(g)
									    : NULL;
	if (m != NULL) {
		struct owner_standing *s = &g->standing;

		res.own = s->phase == STANDING_IDLE && s->owned_us != 0;
		res.primary = (char *)m->conf.name;
		res.data_center = (char *)m->conf.data_center;
		/* An owner that took the group over does not know when its primary was moved. */
		res.moved_age_us = (u_quad_t)age_us(MAX(s->moved_us, s->owned_us), now);
		res.changes_age_us = (u_quad_t)age_us(MAX(s->disturbed_us, s->owned_us), now);
		res.why = (char *)(s->why != NULL ? s->why : "");
		if (s->origins != NULL)
			standing_decay(s->origins, now);
		for (i = 0; s->origins != NULL && i < s->origins->n; i++)
			origins[i] = (ml_origin){.data_center = s->origins->origin[i].data_center,
						 .per_s = s->origins->origin[i].per_s};
		res.origins.origins_len = i;
		res.origins.origins_val = origins;
	}
	rpc_reply(rq, &res);
}

static void put_text(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

void standing_json(struct owner *o, JsonBuilder *b)
{
	int64_t now = now_us();
	struct owner_group *g;
	unsigned i;

	json_builder_set_member_name(b, "groups");
	json_builder_begin_array(b);
	TAILQ_FOREACH(g, &o->groups, link) {
		struct owner_standing *s = &g->standing;
		const struct owner_member *m = owner_group_primary(g);

		if (!owner_group_is_own(g))
			continue;
		json_builder_begin_object(b);
		put_text(b, "pool", g->pool);
		put_text(b, "primary", m != NULL ? m->conf.name : "");
		put_text(b, "data_center", m != NULL ? m->conf.data_center : "");
		put_text(b, "why", s->why != NULL ? s->why : "");
		json_builder_set_member_name(b, "since_s");
		json_builder_add_int_value(b, age_us(s->since_us, now) / USEC_PER_SEC);
		json_builder_set_member_name(b, "statements_per_s");
		json_builder_begin_object(b);
		if (s->origins != NULL)
			standing_decay(s->origins, now);
		for (i = 0; s->origins != NULL && i < s->origins->n; i++) {
			json_builder_set_member_name(b, s->origins->origin[i].data_center);
			json_builder_add_double_value(b, s->origins->origin[i].per_s);
		}
		json_builder_end_object(b);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}

/* The move */

static bool may_lead(const struct owner_member *m)
{
	return m->listed && !conf_member_leaves(&m->conf) && !m->conf.cold && !m->down;
}

/** Returns the member of @a data_center with the newest log that may lead, or -1. */
static int find_target(const struct owner_group *g, const char *data_center)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		if (!may_lead(m) || m->load.health.unsteady ||
		    strcmp(m->conf.data_center, data_center) != 0)
			continue;
		if (best < 0 || pos_cmp(m->pos, g->member[best].pos) > 0)
			best = (int)i;
	}
	return best;
}

static bool has_listed_member(const struct owner_group *g, const char *data_center)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (g->member[i].listed && strcmp(g->member[i].conf.data_center, data_center) == 0)
			return true;
	}
	return false;
}

/** Returns why a change of primary cannot be made now whatever its target, or NULL. */
static const char *find_obstacle(struct owner_group *g, int64_t now)
{
	const struct owner_member *m = owner_group_primary(g);
	struct owner *o = g->o;

	if (!owner_group_is_own(g) || o->leaving || g->owner_lost)
		return "this VM does not own the group";
	if (g->state != OWNER_SERVING || m == NULL || g->leave_pending || g->plan_recording)
		return "a change of primary is under way";
	if (!owner_group_may_send(g) || g->recovered || g->unsettled ||
	    !fleet_store_settled(owner_group_fleet(g)))
		return "the ownership of the group is not settled";
	if (change_must_leave(m, now) || find_disturbed(g) != NULL ||
	    (m->silent_since_us != 0 && now - m->silent_since_us > PRIMARY_QUIET_US))
		return "a member is down, or the primary leaves or is silent";
	if (!standing_is_past(standing_quiet_us(o, now), STANDING_QUIET_US))
		return "a partition, an evacuation or the loss of a VM is less than 15 s old";
	if (!standing_is_past(age_us(MAX(g->standing.disturbed_us, g->standing.owned_us), now),
			      STANDING_QUIET_US))
		return "a change of primary or of owner, or a fault, is less than 15 s old";
	return NULL;
}

/** Returns why the primary cannot move to @a data_center now, or NULL with its target. */
static const char *find_refusal(struct owner_group *g, const char *data_center, int *target,
				int64_t now)
{
	const struct owner_standing *s = &g->standing;
	const struct owner_member *m = owner_group_primary(g);
	int64_t pause_us = (int64_t)settings_of(g->o)->rebalance_pause_s * USEC_PER_SEC;
	const char *why;

	if (conf_evacuated(owner_group_fleet(g)->conf, data_center))
		return "the data centre is evacuated";
	if (g->member == NULL || !has_listed_member(g, data_center))
		return "the group has no member in the data centre";
	why = find_obstacle(g, now);
	if (why != NULL)
		return why;
	if (strcmp(m->conf.data_center, data_center) == 0)
		return "the primary is in the data centre already";
	if (s->phase != STANDING_IDLE || s->undo_wanted)
		return "a change of primary is under way";
	if (!standing_is_past(age_us(MAX(s->moved_us, s->owned_us), now), pause_us))
		return "the primary was moved, or the owner changed, within rebalance_pause_s";
	*target = find_target(g, data_center);
	return *target < 0 ? "no member of the data centre can lead now" : NULL;
}

static void move_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_move_primary_args *a = args;
	struct owner_group *g = owner_group_find(owner, a->pool);
	ml_move_primary_res res = {.why = ""};
	int64_t now = now_us();
	int target = -1;

	if (g == NULL)
		res.why = "unknown pool";
	else if (a->revision != 0 && a->revision != g->revision)
		res.why = "the record of the group has changed";
	else
		res.why = (char *)find_refusal(g, a->data_center, &target, now);
	res.ok = res.why == NULL;
	log_info("move-primary", LOG_STR("pool", a->pool), LOG_STR("to", a->data_center),
		 LOG_NUM("dry_run", a->dry_run), LOG_NUM("accepted", res.ok),
		 LOG_STR("why", res.why));
	if (res.ok && !a->dry_run) {
		g->standing.phase = STANDING_WANTED;
		g->standing.target = target;
		g->standing.wanted_us = now;
		owner_group_wake(g);
	}
	if (res.why == NULL)
		res.why = "";
	rpc_reply(rq, &res);
}

bool standing_moves(const struct owner_group *g)
{
	return g->standing.phase == STANDING_CHANGING && g->planned;
}

bool standing_target_fits(const struct owner_group *g)
{
	return may_lead(&g->member[g->standing.target]);
}

void standing_called_off(struct owner_group *g, const char *why)
{
	struct owner_standing *s = &g->standing;

	if (s->phase == STANDING_IDLE)
		return;
	log_info("move-called-off", LOG_STR("pool", g->pool),
		 LOG_STR("member", g->member[s->target].conf.name), LOG_STR("why", why),
		 LOG_NUM("phase", s->phase));
	/* A write without an answer may have put the choice into the record, too. */
	s->undo_wanted = s->phase >= STANDING_RECORDING;
	s->phase = STANDING_IDLE;
	s->disturbed_us = now_us();
}

bool standing_recorded(struct owner_group *g, bool *possible)
{
	if (g->standing.phase != STANDING_RECORDING)
		return false;
	*possible = standing_target_fits(g) && find_disturbed(g) == NULL && g->record.n == 0;
	if (*possible)
		g->standing.phase = STANDING_CHANGING;
	return true;
}

/**
 * Asks previous owners to stop while the primary still serves. The record names them until the next
 * change; one that does not stop would leave the group without writes until its lease ends.
 */
static void fence(struct owner_group *g, int64_t now)
{
	if (now < g->fence_next_us)
		return;
	g->fence_next_us = now + FENCE_PAUSE_US;
	/* A planned change stops a previous owner that still reaches the primary, too. */
	g->planned = true;
	fence_ask(g);
}

/** Begins the move once both members concerned have answered probes. */
static void begin(struct owner_group *g, int64_t now)
{
	struct owner_standing *s = &g->standing;
	const struct owner_member *next = &g->member[s->target], *old = owner_group_primary(g);
	const char *why;

	/* Probes are due at once while this is set, which is no obstacle of its own. */
	g->leave_pending = false;
	why = find_obstacle(g, now);
	if (why == NULL && !may_lead(next))
		why = "target";
	if (why == NULL && now - s->wanted_us > WANTED_TIMEOUT_US)
		why = "no-probe-result";
	if (why != NULL) {
		standing_called_off(g, why);
		return;
	}
	g->leave_pending = true;
	if (g->record.n > 0) {
		fence(g, now);
		return;
	}
	if (g->record_busy || now < g->next_call_us || !next->observed.reached ||
	    now - next->observed_us > MOVE_PROBE_FRESH_US || old->observed_us < s->wanted_us ||
	    !old->observed.primary)
		return;
	s->phase = STANDING_RECORDING;
	change_move(g, s->target);
}

void standing_clear(struct owner_group *g)
{
	g_free(g->standing.origins);
	memset(&g->standing, 0, sizeof(g->standing));
}

void standing_tick(struct owner_group *g, int64_t now)
{
	struct owner_standing *s = &g->standing;

	if (!is_on(g->o))
		return;
	if (!owner_group_is_own(g) || g->state <= OWNER_CLAIMING) {
		standing_clear(g);
		return;
	}
	if (s->owned_us == 0)
		s->owned_us = now;
	if (g->state != OWNER_SERVING || find_disturbed(g) != NULL)
		s->disturbed_us = now;
	if (g->state != OWNER_SERVING)
		return;
	if (s->phase == STANDING_WANTED)
		begin(g, now);
	s->undo_wanted = s->undo_wanted && g->undo.possible;
	if (s->undo_wanted && !g->record_busy && now >= g->next_call_us) {
		g->next_call_us = now + USEC_PER_SEC;
		choose_undo(g);
	}
}

void standing_start(struct owner *o)
{
	struct rpc *r = rpc_of(o->service.kernel);

	if (!is_on(o)) {
		rpc_serve(r, ML_REBALANCE, rebalance_serve_off, o);
		return;
	}
	o->standings.fault_us = now_us();
	rpc_serve(r, ML_STANDING, standing_serve, o);
	rpc_serve(r, ML_MOVE_PRIMARY, move_serve, o);
	o->standings.rebalance = rebalance_create(o);
}

void standing_stop(struct owner *o)
{
	if (o->standings.rebalance != NULL)
		rebalance_free(o->standings.rebalance);
	o->standings.rebalance = NULL;
}
