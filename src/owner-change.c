/**
 * @file owner-change.c
 * State machine of a change of primary. A planned change lets transactions on the old primary
 * finish first. Every change then fences the other senders, chooses the replica with the newest
 * log, writes the choice to the record, orders the promotion, and waits until the chosen member is
 * the primary. A step that fails returns to an earlier state that can repair it.
 */
#include "owner.h"

#include "adapter.h"
#include "fleet-store.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/**
 * In a planned change, transactions on the old primary may run this long before they are rolled
 * back.
 */
#define SETTLE_TIMEOUT_US (120 * USEC_PER_MSEC)
/** Pause before the next attempt after a planned change was cancelled or not recorded. */
#define PLANNED_PAUSE_US (1 * USEC_PER_SEC)
/**
 * How long a primary that answers but is missing from the configuration may take to be listed
 * again. After its data centre was cut off, the entries of its members have expired; they are back
 * within two seconds.
 */
#define UNLISTED_GRACE_US (2500 * USEC_PER_MSEC)
/**
 * Fraction of the leave time after which a leaving member gets no more statements, even if its
 * group is then without a primary. The rest covers late arrival of the configuration at this VM and
 * statements in flight.
 */
#define LEAVE_FRACTION 0.75
/**
 * Like LEAVE_FRACTION, for a member whose data centre is evacuated, which this VM learns from the
 * configuration.
 */
#define EVACUATE_FRACTION 0.6
/**
 * Longest age of a probe result used to plan a change. The choice is checked again before the
 * promotion is ordered.
 */
#define PLAN_PROBE_FRESH_US (1500 * USEC_PER_MSEC)
/** Time limit for the answer to a promotion order. */
#define ORDER_TIMEOUT_US (600 * USEC_PER_MSEC)
/**
 * How long to wait for a promotion to take effect before another attempt. The databases take about
 * one second to promote.
 */
#define AWAIT_TIMEOUT_US (2500 * USEC_PER_MSEC)
/** Pause before other senders are asked again to stop, and before a promotion order is repeated. */
#define FENCE_RETRY_US (200 * USEC_PER_MSEC)
/** How long to look for a primary after a claim before one is promoted. */
#define FIND_TIMEOUT_US (700 * USEC_PER_MSEC)
/** After this time of looking for a primary, other VMs are asked whether they reach it. */
#define FIND_ASK_US (150 * USEC_PER_MSEC)
/** After this time of writing the choice to the record, another VM is invited to take the group. */
#define RECORD_SLOW_US (250 * USEC_PER_MSEC)
/**
 * Like FIND_TIMEOUT_US, for a group that was never written to. When the whole system starts,
 * members register over two seconds, and the primary may be the last.
 */
#define FIND_INITIAL_TIMEOUT_US (3 * USEC_PER_SEC)

static bool exceeds_fraction(int64_t since_us, unsigned ms, double fraction, int64_t now)
{
	return now - since_us > (int64_t)(ms * (double)USEC_PER_MSEC * fraction);
}

bool change_exceeds_leave_time(const struct owner_member *m, int64_t now)
{
	const struct settings *set = m->g->o->service.kernel->settings;

	if (!m->listed)
		return exceeds_fraction(m->unlisted_us, set->member_leave_ms, LEAVE_FRACTION, now);
	if (m->conf.evacuated &&
	    exceeds_fraction(m->evacuated_us, set->evacuate_ms, EVACUATE_FRACTION, now))
		return true;
	return m->conf.leaving &&
	       exceeds_fraction(m->leaving_us, set->member_leave_ms, LEAVE_FRACTION, now);
}

bool change_must_leave(const struct owner_member *m, int64_t now)
{
	if (m->listed)
		return conf_member_leaves(&m->conf);
	return m->unlisted_us != 0 && now - MAX(m->unlisted_us, m->g->state_us) > UNLISTED_GRACE_US;
}

/**
 * Logs and counts the acknowledged commits that a promotion discarded, which are those above the
 * position at which the new term begins.
 */
static void report_discarded_commits(struct owner_group *g, const struct owner_member *m)
{
	struct succession s = g->succession;
	uint64_t n = succession_complete(&g->succession, m->observed.received);

	if (n == 0)
		return;
	stat_add(STAT_COMMITS_DISCARDED, n);
	log_warn("commits-discarded", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("commits", n), LOG_NUM("acknowledged_term", s.acknowledged.term),
		 LOG_NUM("acknowledged_lsn", s.acknowledged.lsn),
		 LOG_NUM("age_us", now_us() - s.acknowledged_us), LOG_NUM("term", m->observed.term),
		 LOG_NUM("lsn", m->observed.received.lsn));
}

void change_set_primary(struct owner_group *g, int i, const char *why)
{
	struct owner_member *m = &g->member[i];

	if (g->unserved_since_us != 0)
		stat_add_time(STAT_TIME_PRIMARY_CHANGE, now_us() - g->unserved_since_us);
	g->unserved_since_us = 0;
	g->leave_pending = false;
	g->primary = i;
	g->term = m->observed.term;
	g->ordered = false;
	g->undo.possible = false;
	m->silent_since_us = 0;
	m->down = false;
	report_discarded_commits(g, m);
	standing_primary_set(g, m, why);
	marks_new_term(&g->marks, m->observed.received, m->observed_us);
	log_info("primary", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("term", g->term), LOG_NUM("lsn", m->observed.received.lsn),
		 LOG_NUM("floor", g->record.term_floor), LOG_STR("why", why));
	owner_group_set_state(g, OWNER_SERVING, why);
	/*
	 * If the record names other senders, a previous owner may still serve callers; they must
	 * learn of this VM.
	 */
	if (g->record.n > 0)
		claim_notify(g);
	queue_dispatch(g);
}

void change_begin(struct owner_group *g, bool planned, const char *why)
{
	struct owner_member *m = owner_group_primary(g);

	stat_add(STAT_FAILOVERS_BEGUN, 1);
	g->unserved_since_us = now_us();
	log_warn("change-of-primary", LOG_STR("pool", g->pool),
		 LOG_STR("member", m != NULL ? m->conf.name : ""), LOG_NUM("term", g->term),
		 LOG_NUM("planned", planned), LOG_STR("why", why),
		 LOG_NUM("unheard_ms", m != NULL && m->silent_since_us != 0
					       ? (now_us() - m->silent_since_us) / USEC_PER_MSEC
					       : 0));
	g->planned = planned;
	g->leave_pending = false;
	g->choice_waits = false;
	g->excluded = -1;
	if (!standing_moves(g))
		standing_called_off(g, why);
	if (g->state == OWNER_SERVING) {
		succession_begin(&g->succession, now_us());
		succession_acknowledged(&g->succession, g->marks.newest.pos,
					g->marks.newest.asked_us);
		/* The mark is of the primary that senders wrote to, also those removed before. */
		g->succession.acknowledged_all = g->marks.newest.asked_us >= g->sender_removed_us;
	}
	owner_group_set_state(g, planned ? OWNER_SETTLING : OWNER_FENCING, why);
	if (!planned && m != NULL)
		conn_close_all(m);
	queue_refuse(g, false, OUTCOME_NOT_PRIMARY);
}

bool change_is_silent(const struct owner_member *m, int64_t now)
{
	return m->silent_since_us != 0 && now - m->silent_since_us > CHANGE_PROBE_FRESH_US;
}

void change_cancel(struct owner_group *g, const char *why)
{
	if (!choose_keeps_primary(g)) {
		log_warn("change-goes-on", LOG_STR("pool", g->pool),
			 LOG_STR("member", g->record.target), LOG_NUM("term", g->term),
			 LOG_NUM("floor", g->record.term_floor), LOG_STR("why", why));
		g->planned = false;
		return;
	}
	log_info("change-called-off", LOG_STR("pool", g->pool), LOG_STR("why", why));
	g->next_call_us = now_us() + PLANNED_PAUSE_US;
	standing_called_off(g, why);
	owner_group_set_state(g, OWNER_SERVING, why);
	choose_undo(g);
	queue_dispatch(g);
}

/* States OWNER_SETTLING and OWNER_FENCING */

static bool primary_is_idle(struct owner_group *g)
{
	const struct owner_member *m = owner_group_primary(g);
	const struct owner_conn *c;

	TAILQ_FOREACH(c, &m->conns, link) {
		if (c->job != NULL || c->tx != NULL)
			return false;
	}
	return true;
}

static bool primary_runs_statements(struct owner_group *g)
{
	const struct owner_conn *c;

	TAILQ_FOREACH(c, &owner_group_primary(g)->conns, link) {
		if (c->job != NULL)
			return true;
	}
	return false;
}

/** Waits until no transaction on the old primary is open, for at most SETTLE_TIMEOUT_US. */
static void settle(struct owner_group *g, int64_t now)
{
	struct owner_member *m = owner_group_primary(g);

	/* The primary stopped answering, so its transactions cannot finish. */
	if (m == NULL || change_is_silent(m, now)) {
		g->planned = false;
		if (m != NULL)
			conn_close_all(m);
		owner_group_set_state(g, OWNER_FENCING, "silent");
		return;
	}
	if (!primary_is_idle(g) && now - g->state_us < SETTLE_TIMEOUT_US)
		return;
	/* A move can wait, and the outcome of a write that is cut off would not be known. */
	if (standing_moves(g) && primary_runs_statements(g)) {
		change_cancel(g, "statements-running");
		return;
	}
	conn_close_all(m);
	owner_group_set_state(g, OWNER_FENCING, "settled");
}

/**
 * Cancels the change if the primary is back while other senders are being fenced, which may take as
 * long as a lease. No promotion was ordered yet, so the primary can continue. Otherwise
 * writes would be refused until the lease of a VM that has lost power expires.
 */
static bool resume(struct owner_group *g, int64_t now)
{
	int returned = g->planned ? -1 : choose_recorded_primary(g, now);

	if (returned < 0 || g->member[returned].observed_us <= g->state_us ||
	    conf_member_leaves(&g->member[returned].conf))
		return false;
	change_set_primary(g, returned, "came-back");
	return true;
}

/**
 * Hands the group back to the previous owner, which still serves through a primary that this VM
 * does not reach.
 */
static void hand_back(struct owner_group *g)
{
	const struct vm *vm = peers_find(&owner_group_fleet(g)->peers, g->succession.vm);

	if (vm == NULL || vm->incarnation != g->succession.incarnation)
		return;
	/* An owner that the record names but that does not reach the store would not serve. */
	if (owner_group_uses_relay(g))
		claim_invite_vm(g, vm->name, "former-owner-serves");
	else
		claim_hand_over(g, vm->name, "former-owner-serves");
}

/** Whether the change must wait because another VM is in contact with the primary. */
static bool must_keep_primary(struct owner_group *g, int64_t now)
{
	if (g->planned)
		return false;
	switch (succession_judge_primary(&g->succession, now)) {
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

/** Waits until no other VM can send to the primary. */
static void fence(struct owner_group *g, int64_t now)
{
	if (resume(g, now))
		return;
	if (!must_keep_primary(g, now) && g->record.n == 0 &&
	    fleet_store_settled(owner_group_fleet(g))) {
		owner_group_set_state(g, OWNER_CHOOSING, "fenced");
		return;
	}
	if (standing_moves(g) && now - g->state_us > STANDING_STEP_MAX_US) {
		change_cancel(g, "senders-not-stopped");
		return;
	}
	if (now < g->fence_next_us)
		return;
	g->fence_next_us = now + FENCE_RETRY_US;
	fence_ask(g);
}

/* States OWNER_ORDERING and OWNER_AWAITING */

/**
 * Returns to the choice after an order was refused or had no effect. If an order may still take
 * effect, the old primary must not serve again, and the change goes on as an unplanned one.
 */
static void order_given_up(struct owner_group *g, const char *why)
{
	g->excluded = g->target;
	g->planned = g->planned && g->undo.possible;
	log_info("order-given-up", LOG_STR("pool", g->pool),
		 LOG_STR("member", g->member[g->target].conf.name), LOG_REVISION("token", g->token),
		 LOG_NUM("orders", g->undo.orders), LOG_NUM("planned", g->planned),
		 LOG_STR("why", why));
	owner_group_set_state(g, OWNER_CHOOSING, why);
}

/** A promotion order in flight. */
struct order {
	struct owner *o;
	char pool[NAME_SIZE];
	uint64_t token;
};

static void promotion_answered(enum promoter_result result, int code, void *arg)
{
	struct order *q = arg;
	struct owner_group *g = owner_group_find(q->o, q->pool);

	log_info("promotion-answered", LOG_STR("pool", q->pool), LOG_REVISION("token", q->token),
		 LOG_NUM("code", code));
	if (g != NULL && g->order == q)
		g->order = NULL;
	if (g != NULL && g->state == OWNER_ORDERING && g->token == q->token) {
		/* The choice can be reverted while no order of it may take effect. */
		if (result == PROMOTER_REFUSED)
			g->undo.possible = --g->undo.orders == 0;
		if (result == PROMOTER_REFUSED && code == 409) {
			order_given_up(g, "promotion-refused");
		} else if (result == PROMOTER_ACCEPTED) {
			owner_group_set_state(g, OWNER_AWAITING, "promotion-accepted");
		} else {
			/*
			 * Repeating the order is harmless: it has the same holder, token and
			 * member.
			 */
			g->ordered = false;
			g->next_call_us = now_us() + FENCE_RETRY_US;
		}
	}
	g_free(q);
}

void change_take_order_back(struct owner_group *g)
{
	if (g->order == NULL)
		return;
	log_info("order-taken-back", LOG_STR("pool", g->pool),
		 LOG_REVISION("token", g->order->token));
	g->o->service.kernel->adapter->promoter->take_back(g->order);
	g_clear_pointer(&g->order, g_free);
}

/** Serves the group if the chosen member is the primary. @return whether it is */
static bool serve_promoted(struct owner_group *g, int64_t now)
{
	int found = choose_recorded_primary(g, now);

	if (found < 0)
		return false;
	stat_add(STAT_FAILOVERS_DONE, 1);
	change_set_primary(g, found, "promoted");
	return true;
}

/** Orders the promotion of the chosen member, until it is answered or shows its effect. */
static void order_promotion(struct owner_group *g, int64_t now)
{
	struct kernel *k = g->o->service.kernel;
	struct order *q;

	if (g->undo.orders > 0 && serve_promoted(g, now))
		return;
	if (g->ordered || now < g->next_call_us)
		return;
	/*
	 * If another VM owns the group by now, it has a higher token, and an order from this VM
	 * must not follow its order.
	 */
	if (!owner_group_may_send(g))
		return;
	if (choose_undo_if_returned(g, now) || choose_order_waits(g, now))
		return;
	g->ordered = true;
	g->undo.possible = false;
	g->undo.orders++;
	q = g_new0(struct order, 1);
	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	q->token = g->token;
	g->order = q;
	log_info("promote", LOG_STR("pool", g->pool),
		 LOG_STR("member", g->member[g->target].conf.name),
		 LOG_REVISION("token", g->token));
	k->adapter->promoter->promote(k, k->settings->promoter_address, g->pool,
				      g->member[g->target].conf.name, k->settings->name, g->token,
				      MIN(ORDER_TIMEOUT_US, owner_group_may_send_until_us(g) - now),
				      promotion_answered, q);
}

/** Waits until the chosen member is the primary. */
static void await_promotion(struct owner_group *g, int64_t now)
{
	if (!serve_promoted(g, now) && now - g->state_us >= AWAIT_TIMEOUT_US)
		order_given_up(g, "promotion-without-effect");
}

/* State OWNER_FINDING */

/** Whether any member is known to have ever taken a write. */
static bool ever_written(const struct owner_group *g)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (g->member[i].observed.received.lsn > 0)
			return true;
	}
	return g->record.target[0] != '\0';
}

/**
 * Whether the record may lack a change of primary after a restore of the store. It is settled once
 * all VMs have written back what they know and the record was read again.
 */
static bool awaits_settled_record(struct owner_group *g)
{
	if (!fleet_store_settled(owner_group_fleet(g))) {
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

/**
 * Returns the member that must be the primary although this VM does not reach it: the one that the
 * record names, or the only one that does not answer. NULL if neither is known.
 */
static struct owner_member *unreached_primary(struct owner_group *g, int64_t now)
{
	struct owner_member *unreached = NULL;
	unsigned i, n = 0;

	for (i = 0; i < g->n; i++) {
		struct owner_member *m = &g->member[i];

		if (!m->listed || (m->observed.reached && m->observed_us >= g->state_us))
			continue;
		if (strcmp(m->conf.name, g->record.target) == 0)
			return m;
		unreached = m;
		n++;
	}
	return n == 1 && g->record.target[0] == '\0' ? unreached : NULL;
}

/**
 * Invites a VM that reaches the primary to claim the group. Otherwise a primary that serves others
 * would be replaced because this VM, which the group has just fallen to, does not reach it.
 * @return whether to wait for that
 */
static bool found_by_others(struct owner_group *g, int64_t now)
{
	struct owner_member *m;

	/* The VM that invited this one does not reach the primary either. */
	if (!owner_group_uses_relay(g) || g->from_invitation || now - g->state_us < FIND_ASK_US)
		return false;
	if (g->others_asked_us >= g->state_us)
		return witness_hand_over(g, g->state_us, now, "primary-not-found");
	m = unreached_primary(g, now);
	if (m != NULL)
		witness_ask(g, m, now);
	return false;
}

/** Looks for the current primary after a claim. */
static void find_primary(struct owner_group *g, int64_t now)
{
	int found;

	if (awaits_settled_record(g)) {
		g->state_us = now;
		return;
	}
	found = choose_recorded_primary(g, now);

	if (found >= 0) {
		change_set_primary(g, found, "found");
		return;
	}
	if (found_by_others(g, now))
		return;
	if (now - g->state_us > (ever_written(g) ? FIND_TIMEOUT_US : FIND_INITIAL_TIMEOUT_US) &&
	    g->n > 0)
		change_begin(g, false, "none-found");
}

/** Waits for the store, which may not answer this VM. */
static void await_record(struct owner_group *g, int64_t now)
{
	if (owner_group_uses_relay(g) && now - g->state_us > RECORD_SLOW_US)
		claim_invite(g, "record-slow");
}

static void planned_recorded(struct owner_group *g, bool ok)
{
	bool possible = true, moves = standing_recorded(g, &possible);

	g->plan_recording = false;
	if (g->state != OWNER_SERVING)
		return;
	if (moves && (!ok || !possible)) {
		change_cancel(g, ok ? "no-longer-possible" : "not-recorded");
		return;
	}
	if (!ok) {
		g->next_call_us = now_us() + PLANNED_PAUSE_US / 2;
		claim_invite(g, "planned-change-not-written");
		return;
	}
	g->token = g->revision;
	change_begin(g, true, moves ? "move" : "leaving");
}

/**
 * Chooses the successor of a leaving primary and writes it to the record while the primary still
 * serves. If the primary stopped first, the group would have none for as long as the store refuses
 * this VM.
 */
static void plan(struct owner_group *g, int64_t now)
{
	int best = choose_successor(g, now, PLAN_PROBE_FRESH_US);

	if (best < 0 || g->record_busy) {
		g->leave_pending = true;
		return;
	}
	g->leave_pending = false;
	g->plan_recording = true;
	log_info("planned", LOG_STR("pool", g->pool), LOG_STR("member", g->member[best].conf.name),
		 LOG_NUM("floor", MAX(g->record.term_floor, g->term)));
	choose_record(g, best, g->term, planned_recorded);
}

void change_move(struct owner_group *g, int target)
{
	g->leave_pending = false;
	g->plan_recording = true;
	log_info("planned", LOG_STR("pool", g->pool),
		 LOG_STR("member", g->member[target].conf.name),
		 LOG_NUM("floor", MAX(g->record.term_floor, g->term)));
	choose_record(g, target, g->term, planned_recorded);
}

void change_tick(struct owner_group *g, int64_t now)
{
	static void (*const steps[OWNER_STATES])(struct owner_group *, int64_t) = {
		[OWNER_FINDING] = find_primary,
		[OWNER_SETTLING] = settle,
		[OWNER_FENCING] = fence,
		[OWNER_CHOOSING] = choose_step,
		[OWNER_RECORDING] = await_record,
		[OWNER_ORDERING] = order_promotion,
		[OWNER_AWAITING] = await_promotion,
	};
	struct owner_member *m = owner_group_primary(g);

	if (!owner_group_is_own(g))
		return;
	if (g->state == OWNER_SERVING && m != NULL && change_must_leave(m, now)) {
		if (change_exceeds_leave_time(m, now)) {
			g->target = -1;
			change_begin(g, !change_is_silent(m, now), "overstays");
		} else if (now >= g->next_call_us && m->silent_since_us == 0 &&
			   !g->plan_recording && fleet_store_settled(owner_group_fleet(g))) {
			plan(g, now);
		}
		return;
	}
	if (steps[g->state] != NULL)
		steps[g->state](g, now);
}
