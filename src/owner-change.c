/**
 * @file owner-change.c
 * The change of primary: settle what is open on the old one if it lives, make sure that nobody else
 * sends to it, choose the newest replica, write the choice to the record, order the promotion, and
 * wait until the chosen member leads. A step that fails goes back to the one that can mend it.
 */
#include "owner.h"

#include "adapter.h"
#include "fleet-store.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** Transactions on a primary that leaves may go on for so long before they are rolled back. */
#define SETTLE_US (120 * USEC_PER_MSEC)
/** After a planned change was called off. */
#define PLANNED_PAUSE_US (1 * USEC_PER_SEC)
/**
 * A primary that answers and is on no list is given this long to list itself again: after a data
 * centre was cut off its members' entries have lapsed, and they come back within two seconds.
 */
#define UNLISTED_US (2500 * USEC_PER_MSEC)
/**
 * Part of the time that a leaving member may still get statements, after which its group does
 * without a primary rather than go on with it. The rest is for news that came late to this VM and
 * for a statement that is on its way.
 */
#define LEAVE_PART 0.75
/** The same for one whose data centre is evacuated, which is told with the configuration. */
#define EVACUATE_PART 0.6
/** Looks that a planned change is chosen by; the choice is checked again before it is ordered. */
#define PLAN_LOOK_FRESH_US (1500 * USEC_PER_MSEC)
/** Answer to the order. */
#define ORDER_TIMEOUT_US (600 * USEC_PER_MSEC)
/** The users' databases take a second to promote; after this another try is made. */
#define AWAIT_US (2500 * USEC_PER_MSEC)
/** Senders are asked again to stop after this. */
#define FENCE_RETRY_US (200 * USEC_PER_MSEC)
/** No primary found for so long after a claim: one has to be made. */
#define FIND_US (700 * USEC_PER_MSEC)
/**
 * The same for a group that nothing was ever written to: when the whole system starts, members list
 * themselves over two seconds, and the primary may be the last.
 */
#define FIND_FIRST_US (3 * USEC_PER_SEC)

static bool is_over(int64_t since_us, unsigned ms, double part, int64_t now)
{
	return now - since_us > (int64_t)(ms * (double)USEC_PER_MSEC * part);
}

bool change_overstays(const struct owner_member *m, int64_t now)
{
	const struct settings *set = m->g->o->service.kernel->settings;

	if (!m->listed)
		return is_over(m->unlisted_us, set->leave_ms, LEAVE_PART, now);
	if (m->conf.evacuated && is_over(m->evacuated_us, set->evacuate_ms, EVACUATE_PART, now))
		return true;
	return m->conf.leaving && is_over(m->leaving_us, set->leave_ms, LEAVE_PART, now);
}

bool change_must_leave(const struct owner_member *m, int64_t now)
{
	if (m->listed)
		return conf_member_leaves(&m->conf);
	return m->unlisted_us != 0 && now - MAX(m->unlisted_us, m->g->state_us) > UNLISTED_US;
}

/** A promotion has discarded acknowledged commits, if the new term begins below the last of them.
 */
static void note_discarded(struct owner_group *g, const struct owner_member *m)
{
	struct succession s = g->succession;
	uint64_t n = succession_settle(&g->succession, m->seen.received);

	if (n == 0)
		return;
	stat_add(STAT_COMMITS_DISCARDED, n);
	log_warn("commits-discarded", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("commits", n), LOG_NUM("acknowledged_term", s.acknowledged.term),
		 LOG_NUM("acknowledged_lsn", s.acknowledged.lsn),
		 LOG_NUM("age_us", now_us() - s.acknowledged_us), LOG_NUM("term", m->seen.term),
		 LOG_NUM("lsn", m->seen.received.lsn));
}

void change_lead_begins(struct owner_group *g, int i, const char *why)
{
	struct owner_member *m = &g->member[i];

	if (g->unserved_us != 0)
		stat_time(STAT_TIME_CHANGE, now_us() - g->unserved_us);
	g->unserved_us = 0;
	g->to_leave = false;
	g->primary = i;
	g->term = m->seen.term;
	g->ordered = false;
	g->undo.possible = false;
	m->unheard_us = 0;
	m->down = false;
	note_discarded(g, m);
	marks_new_term(&g->marks, m->seen.received, m->seen_us);
	log_info("primary", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("term", g->term), LOG_NUM("lsn", m->seen.received.lsn),
		 LOG_NUM("floor", g->record.floor), LOG_STR("why", why));
	og_state(g, OWNER_SERVING, why);
	/* A former owner that goes on with this primary gives its callers over. */
	if (g->record.n > 0)
		claim_tell_all(g);
	queue_dispatch(g);
}

void change_begin(struct owner_group *g, bool planned, const char *why)
{
	struct owner_member *m = og_primary(g);

	stat_add(STAT_FAILOVERS_BEGUN, 1);
	g->unserved_us = now_us();
	log_warn("change-of-primary", LOG_STR("pool", g->pool),
		 LOG_STR("member", m != NULL ? m->conf.name : ""), LOG_NUM("term", g->term),
		 LOG_NUM("planned", planned), LOG_STR("why", why),
		 LOG_NUM("unheard_ms", m != NULL && m->unheard_us != 0
					       ? (now_us() - m->unheard_us) / USEC_PER_MSEC
					       : 0));
	g->planned = planned;
	g->to_leave = false;
	g->except = -1;
	if (g->state == OWNER_SERVING) {
		succession_begin(&g->succession, now_us());
		succession_acknowledged(&g->succession, g->marks.newest.pos,
					g->marks.newest.asked_us);
	}
	og_state(g, planned ? OWNER_SETTLING : OWNER_FENCING, why);
	if (!planned && m != NULL)
		conn_close_all(m);
	queue_refuse(g, false, OUTCOME_NOT_PRIMARY);
}

bool change_is_silent(const struct owner_member *m, int64_t now)
{
	return m->unheard_us != 0 && now - m->unheard_us > CHANGE_LOOK_FRESH_US;
}

void change_call_off(struct owner_group *g, const char *why)
{
	log_info("change-called-off", LOG_STR("pool", g->pool), LOG_STR("why", why));
	g->next_us = now_us() + PLANNED_PAUSE_US;
	og_state(g, OWNER_SERVING, why);
	choose_undo(g);
	queue_dispatch(g);
}

/* Settling */

static bool primary_at_rest(struct owner_group *g)
{
	const struct owner_member *m = og_primary(g);
	const struct owner_conn *c;

	TAILQ_FOREACH(c, &m->conns, link) {
		if (c->job != NULL || c->tx != NULL)
			return false;
	}
	return true;
}

static void settle(struct owner_group *g, int64_t now)
{
	struct owner_member *m = og_primary(g);

	/* It fell silent meanwhile: no use in waiting for it. */
	if (m == NULL || change_is_silent(m, now)) {
		g->planned = false;
		if (m != NULL)
			conn_close_all(m);
		og_state(g, OWNER_FENCING, "silent");
		return;
	}
	if (!primary_at_rest(g) && now - g->state_us < SETTLE_US)
		return;
	conn_close_all(m);
	og_state(g, OWNER_FENCING, "settled");
}

/* Fencing */

/**
 * The primary is back while the change waits for others to stop sending, which may take as long as
 * a lease. Nothing has been ordered yet, so it goes on; its callers' writes were refused until the
 * lease of a VM that had lost its power ran out.
 */
static bool resume(struct owner_group *g, int64_t now)
{
	int back = g->planned ? -1 : choose_leader(g, now);

	if (back < 0 || g->member[back].seen_us <= g->state_us ||
	    conf_member_leaves(&g->member[back].conf))
		return false;
	change_lead_begins(g, back, "came-back");
	return true;
}

/** The former owner serves through a primary that this VM does not reach: it owns the group again.
 */
static void hand_back(struct owner_group *g)
{
	const struct vm *vm = peers_find(&og_fleet(g)->peers, g->succession.vm);

	if (vm != NULL && vm->incarnation == g->succession.incarnation)
		claim_hand_over(g, vm->name, "former-owner-serves");
}

/** Whether the change is to wait for a primary that others hear. */
static bool primary_lives(struct owner_group *g, int64_t now)
{
	if (g->planned)
		return false;
	switch (succession_judge(&g->succession, now)) {
	case SUCCESSION_CHOOSE:
		return false;
	case SUCCESSION_HAND_BACK:
		hand_back(g);
		break;
	case SUCCESSION_WAIT:
		break;
	}
	return true;
}

static void fence(struct owner_group *g, int64_t now)
{
	if (resume(g, now))
		return;
	if (!primary_lives(g, now) && g->record.n == 0 && fleet_store_settled(og_fleet(g))) {
		og_state(g, OWNER_CHOOSING, "fenced");
		return;
	}
	if (now < g->fence_next_us)
		return;
	g->fence_next_us = now + FENCE_RETRY_US;
	fence_ask(g);
}

/* Ordering and awaiting */

struct order {
	struct owner *o;
	char pool[NAME_SIZE];
	uint64_t token;
};

static void ordered(enum promoter_result result, int code, void *arg)
{
	struct order *q = arg;
	struct owner_group *g = og_find(q->o, q->pool);

	log_info("promotion-answered", LOG_STR("pool", q->pool), LOG_REVISION("token", q->token),
		 LOG_NUM("code", code));
	if (g != NULL && g->state == OWNER_ORDERING && g->token == q->token) {
		if (result == PROMOTER_REFUSED && code == 409) {
			g->except = g->target;
			og_state(g, OWNER_CHOOSING, "promotion-refused");
		} else if (result == PROMOTER_ACCEPTED) {
			og_state(g, OWNER_AWAITING, "promotion-accepted");
		} else {
			/* The same order again is harmless: same holder, token and member. */
			g->ordered = false;
			g->next_us = now_us() + FENCE_RETRY_US;
		}
	}
	g_free(q);
}

static void order(struct owner_group *g, int64_t now)
{
	struct kernel *k = g->o->service.kernel;
	struct order *q;

	if (g->ordered || now < g->next_us)
		return;
	/* Another may have the group by now; its token is higher, and this one must not follow it.
	 */
	if (!og_may_send(g))
		return;
	if (choose_take_back(g, now) || choose_order_waits(g, now))
		return;
	g->ordered = true;
	g->undo.possible = false;
	q = g_new0(struct order, 1);
	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	q->token = g->token;
	log_info("promote", LOG_STR("pool", g->pool),
		 LOG_STR("member", g->member[g->target].conf.name),
		 LOG_REVISION("token", g->token));
	k->adapter->promoter->promote(k, k->settings->promoter_address, g->pool,
				      g->member[g->target].conf.name, k->settings->name, g->token,
				      ORDER_TIMEOUT_US, ordered, q);
}

static void await(struct owner_group *g, int64_t now)
{
	int found = choose_leader(g, now);

	if (found >= 0) {
		stat_add(STAT_FAILOVERS_DONE, 1);
		change_lead_begins(g, found, "promoted");
		return;
	}
	if (now - g->state_us < AWAIT_US)
		return;
	g->except = g->target;
	og_state(g, OWNER_CHOOSING, "promotion-without-effect");
}

/* Finding */

/** Whether a member is known to have taken a write, ever. */
static bool ever_written(const struct owner_group *g)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (g->member[i].seen.received.lsn > 0)
			return true;
	}
	return g->record.target[0] != '\0';
}

/**
 * After a restore of the store the record may lack a change of primary, until all VMs have written
 * again what they know.
 */
static bool awaits_settled_record(struct owner_group *g)
{
	if (!fleet_store_settled(og_fleet(g))) {
		g->unsettled = true;
		return true;
	}
	if (!g->unsettled)
		return false;
	if (!g->rereading)
		record_outdated(g);
	g->rereading = g->unsettled = g->outdated;
	return g->unsettled;
}

static void find(struct owner_group *g, int64_t now)
{
	int found;

	if (awaits_settled_record(g)) {
		g->state_us = now;
		return;
	}
	found = choose_leader(g, now);

	if (found >= 0) {
		change_lead_begins(g, found, "found");
		return;
	}
	if (now - g->state_us > (ever_written(g) ? FIND_US : FIND_FIRST_US) && g->n > 0)
		change_begin(g, false, "none-found");
}

static void planned_recorded(struct owner_group *g, bool ok)
{
	g->planning = false;
	if (g->state != OWNER_SERVING)
		return;
	if (!ok) {
		g->next_us = now_us() + PLANNED_PAUSE_US / 2;
		claim_invite(g, "planned-change-not-written");
		return;
	}
	g->token = g->revision;
	change_begin(g, true, "leaving");
}

/**
 * The primary is to leave: choose its successor and write that to the record while it still serves.
 * Stopped first, it would be missed for as long as the store turns the owner away.
 */
static void plan(struct owner_group *g, int64_t now)
{
	int best = choose_successor(g, now, PLAN_LOOK_FRESH_US);

	if (best < 0 || g->busy) {
		g->to_leave = true;
		return;
	}
	g->to_leave = false;
	g->planning = true;
	log_info("planned", LOG_STR("pool", g->pool), LOG_STR("member", g->member[best].conf.name),
		 LOG_NUM("floor", MAX(g->record.floor, g->term)));
	choose_record(g, best, g->term, planned_recorded);
}

void change_tick(struct owner_group *g, int64_t now)
{
	static void (*const steps[OWNER_STATES])(struct owner_group *, int64_t) = {
		[OWNER_FINDING] = find,		[OWNER_SETTLING] = settle, [OWNER_FENCING] = fence,
		[OWNER_CHOOSING] = choose_step, [OWNER_ORDERING] = order,  [OWNER_AWAITING] = await,
	};
	struct owner_member *m = og_primary(g);

	if (!og_mine(g))
		return;
	if (g->state == OWNER_SERVING && m != NULL && change_must_leave(m, now)) {
		if (change_overstays(m, now)) {
			g->target = -1;
			change_begin(g, !change_is_silent(m, now), "overstays");
		} else if (now >= g->next_us && m->unheard_us == 0 && !g->planning &&
			   fleet_store_settled(og_fleet(g))) {
			plan(g, now);
		}
		return;
	}
	if (steps[g->state] != NULL)
		steps[g->state](g, now);
}
