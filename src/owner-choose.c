/**
 * @file owner-choose.c
 * Choice of the next primary of a group: which member may succeed, which log it must hold, and how
 * the choice is written to the record and reverted.
 */
#include "owner.h"

#include "log.h"
#include "stat.h"

#include <string.h>

/** How long a planned change waits for a replica to catch up before it is cancelled. */
#define CATCH_UP_TIMEOUT_US (1500 * USEC_PER_MSEC)
/**
 * How long a change waits for a replica to catch up if the old primary is alive but cannot
 * continue.
 */
#define CATCH_UP_ALIVE_TIMEOUT_US (6 * USEC_PER_SEC)
/**
 * After this time without being able to write the choice, another VM is invited to take the group.
 * The store may refuse just this VM, for up to nine seconds.
 */
#define INVITE_AFTER_US (200 * USEC_PER_MSEC)
/** When a member that could not be promoted may be chosen again if it alone has commits. */
#define RETRY_EXCLUDED_US (500 * USEC_PER_MSEC)
/** How long a choice waits for members that do not answer. */
#define CHOOSE_TIMEOUT_US (300 * USEC_PER_MSEC)

void choose_candidates(const struct owner_group *g, struct lead_candidate *c, const char **names,
		       int64_t now, int64_t fresh_us)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		c[i] = m->observed;
		c[i].reached = (m->listed || !change_exceeds_leave_time(m, now)) &&
			       m->observed.reached && now - m->observed_us < fresh_us;
		c[i].leaving = conf_member_leaves(&m->conf) || !m->listed;
		names[i] = m->conf.name;
	}
}

int choose_recorded_primary(const struct owner_group *g, int64_t now)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];

	choose_candidates(g, c, names, now, CHANGE_PROBE_FRESH_US);
	return lead_find_primary(&g->record, names, c, g->n);
}

int choose_successor(const struct owner_group *g, int64_t now, int64_t fresh_us)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];

	choose_candidates(g, c, names, now, fresh_us);
	return lead_choose_successor(c, g->n, g->primary, (struct pos){0});
}

/** Returns the log position that a member must have to be preferred over one that leaves. */
static struct pos needed_log(const struct owner_group *g)
{
	/* The acknowledged position of a previous owner may be unknown: the newest log has it. */
	const struct pos newest = {UINT64_MAX, UINT64_MAX};

	return g->sync > 0 ? newest : g->succession.acknowledged;
}

/* Reverting a choice */

/** Returns the record with the fields from before the choice. */
static struct lead_record undo_record(const struct owner_group *g)
{
	struct lead_record r = g->record;

	r.choices++;
	r.term_floor = g->undo.term_floor;
	g_strlcpy(r.target, g->undo.target, sizeof(r.target));
	return r;
}

bool choose_keeps_primary(const struct owner_group *g)
{
	struct lead_record r = g->undo.possible ? undo_record(g) : g->record;

	return g->primary >= 0 && lead_accepts(&r, g->member[g->primary].conf.name, g->term);
}

static void undo_written(struct owner_group *g, bool ok)
{
	if (ok)
		g->undo.possible = false;
	if (g->state == OWNER_RECORDING)
		owner_group_set_state(g, OWNER_CHOOSING, ok ? "taken-back" : "not-taken-back");
}

/** Writes the reverted record. Allowed only while no promotion was ordered. */
static void write_undo(struct owner_group *g)
{
	struct lead_record r = undo_record(g);

	log_info("choice-taken-back", LOG_STR("pool", g->pool), LOG_STR("member", g->record.target),
		 LOG_NUM("floor", r.term_floor), LOG_REVISION("revision", g->revision));
	record_write(g, &r, undo_written);
}

void choose_undo(struct owner_group *g)
{
	if (g->undo.possible && !g->record_busy)
		write_undo(g);
}

bool choose_undo_if_returned(struct owner_group *g, int64_t now)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];
	struct lead_record r = undo_record(g);
	int returned;

	/* Promoting the successor would discard what the primary has acknowledged meanwhile. */
	if (!g->undo.possible || g->planned || g->record_busy)
		return false;
	choose_candidates(g, c, names, now, CHANGE_PROBE_FRESH_US);
	returned = lead_find_primary(&r, names, c, g->n);
	if (returned < 0 || conf_member_leaves(&g->member[returned].conf) ||
	    g->member[returned].observed_us <= g->chosen_us)
		return false;
	owner_group_set_state(g, OWNER_RECORDING, "came-back");
	write_undo(g);
	return true;
}

/* State OWNER_CHOOSING */

/** Whether all members that may be chosen were probed since the choice began. */
static bool all_probed(const struct owner_group *g)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		if (m->listed && !conf_member_leaves(&m->conf) && (int)i != g->primary &&
		    m->observed_us < g->state_us)
			return false;
	}
	return true;
}

void choose_record(struct owner_group *g, int target, uint64_t highest, record_written cb)
{
	struct lead_record r = g->record;

	g->target = target;
	g->chosen_us = now_us();
	if (!g->undo.possible) {
		g->undo.possible = true;
		g->undo.term_floor = r.term_floor;
		g_strlcpy(g->undo.target, r.target, sizeof(g->undo.target));
	}
	g->undo.orders = 0;
	r.choices++;
	r.term_floor = MAX(r.term_floor, highest);
	g_strlcpy(r.target, g->member[target].conf.name, sizeof(r.target));
	record_write(g, &r, cb);
}

static void late_choice_recorded(struct owner_group *g, bool ok)
{
	if (g->state != OWNER_CHOOSING)
		return;
	if (ok) {
		g->token = g->revision;
		return;
	}
	g->target = -1;
	claim_invite(g, "planned-change-not-written");
}

/** Chooses the successor after the old primary had to stop without one. */
static void choose_late(struct owner_group *g, int64_t now)
{
	int best = choose_successor(g, now, CHANGE_PROBE_FRESH_US);
	const struct owner_member *m;

	if (best < 0)
		return;
	m = &g->member[best];
	log_info("chosen", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("term", m->observed.received.term),
		 LOG_NUM("lsn", m->observed.received.lsn), LOG_NUM("floor", g->term));
	choose_record(g, best, g->term, late_choice_recorded);
}

/** Whether the chosen member holds the whole log of the old primary, which takes no more writes. */
static bool has_caught_up(const struct owner_group *g)
{
	const struct owner_member *old = &g->member[g->primary];
	const struct owner_member *next = &g->member[g->target];

	return old->observed.reached && next->observed.reached && old->observed_us > g->state_us &&
	       next->observed_us > g->state_us &&
	       pos_cmp(next->observed.received, old->observed.received) >= 0;
}

/**
 * Ends a move that takes too long or whose target may not lead any more.
 * @return whether the move has ended
 */
static bool move_fails(struct owner_group *g, int64_t now)
{
	if (!standing_target_fits(g))
		change_cancel(g, "target-leaves");
	else if (!has_caught_up(g) && now - g->state_us > STANDING_STEP_MAX_US)
		change_cancel(g, "replica-behind");
	else
		return false;
	return true;
}

/**
 * Orders the promotion of a planned change once the chosen member has caught up. No promotion that
 * may take effect was ordered yet, so the old primary may continue.
 */
static void catch_up(struct owner_group *g, int64_t now)
{
	const struct owner_member *old = owner_group_primary(g);

	if (old == NULL || change_is_silent(old, now)) {
		g->planned = false;
		log_info("old-primary-silent", LOG_STR("pool", g->pool));
		return;
	}
	if (g->record_busy)
		return;
	if (old->listed && !conf_member_leaves(&old->conf) && !standing_moves(g)) {
		change_cancel(g, "stays");
		return;
	}
	if (g->target >= 0 && g->target == g->excluded) {
		if (change_exceeds_leave_time(old, now))
			g->planned = false;
		else
			change_cancel(g, "promotion-refused");
		return;
	}
	if (standing_moves(g) && move_fails(g, now))
		return;
	if (g->target < 0) {
		choose_late(g, now);
		return;
	}
	if (has_caught_up(g)) {
		g->ordered = false;
		owner_group_set_state(g, OWNER_ORDERING, "caught-up");
		return;
	}
	/*
	 * A primary that must get no more statements cannot continue. Until a replica has caught up
	 * it is needed for the log that others lack.
	 */
	if (now - g->state_us > CATCH_UP_TIMEOUT_US && !change_exceeds_leave_time(old, now))
		change_cancel(g, "replica-behind");
}

static void choice_recorded(struct owner_group *g, bool ok)
{
	if (g->state != OWNER_RECORDING)
		return;
	if (!ok) {
		owner_group_set_state(g, OWNER_CHOOSING, "record-not-written");
		if (now_us() - g->unserved_since_us > INVITE_AFTER_US)
			claim_invite(g, "record-not-written");
		return;
	}
	g->token = g->revision;
	g->ordered = false;
	owner_group_set_state(g, OWNER_ORDERING, "recorded");
}

/** Returns the primary with the newest term seen, or -1. */
static int find_current_primary(const struct lead_candidate *c, unsigned n)
{
	int current = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (c[i].reached && c[i].primary && (current < 0 || c[i].term > c[current].term))
			current = (int)i;
	}
	return current;
}

/**
 * Excludes a primary that is back after a successor was recorded. Ordering its own promotion would
 * change nothing, and its term would not be accepted: the group would stay without writes for
 * AWAIT_TIMEOUT_US (2.5 s). It cannot simply continue either, since an earlier order may still take
 * effect. Nobody sends to it any more, so a replica that holds its whole log can take over.
 * @return whether the choice has to wait for such a replica
 */
static bool skip_current_primary(struct owner_group *g, struct lead_candidate *c, int current,
				 int64_t now)
{
	int next;

	if (current < 0 || g->record.target[0] == '\0')
		return false;
	c[current].barred = true;
	next = lead_choose_successor(c, g->n, g->excluded, needed_log(g));
	return next >= 0 && now - g->state_us < CATCH_UP_ALIVE_TIMEOUT_US &&
	       pos_cmp(c[next].received, c[current].received) < 0;
}

/** Whether a member may still report, or receive, a newer log than the candidates hold. */
static bool may_gain(const struct owner_group *g, const struct lead_candidate *c)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (g->member[i].listed && !c[i].reached && !g->member[i].refused)
			return true;
	}
	return false;
}

/** Logs the member to be chosen, and all of them, such as "m0:- m1:1.7 m2:1.9,leaving". */
static void log_choice(const char *event, const struct owner_group *g,
		       const struct lead_candidate *c, const char *const *names, int best,
		       int64_t now)
{
	GString *members = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < g->n; i++) {
		g_string_append_printf(members, "%s%s:", i > 0 ? " " : "", names[i]);
		if (c[i].reached)
			g_string_append_printf(members, "%lu.%lu", c[i].received.term,
					       c[i].received.lsn);
		else
			g_string_append_c(members, '-');
		if (c[i].leaving)
			g_string_append(members, ",leaving");
	}
	log_info(event, LOG_STR("pool", g->pool), LOG_STR("member", names[best]),
		 LOG_NUM("term", c[best].received.term), LOG_NUM("lsn", c[best].received.lsn),
		 LOG_NUM("acknowledged_term", g->succession.acknowledged.term),
		 LOG_NUM("acknowledged_lsn", g->succession.acknowledged.lsn),
		 LOG_NUM("acknowledged_age_us", now - g->succession.acknowledged_us),
		 LOG_STR("members", members->str));
	g_string_free(members, TRUE);
}

/** Fills in the newest log that was seen, and counts the members whose log was not. */
static void find_newest_log(const struct owner_group *g, const struct lead_candidate *c,
			    struct succession_choice *choice, int64_t now)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		if (!m->listed && change_exceeds_leave_time(m, now))
			continue;
		if (!c[i].reached || m->observed_us < g->state_us)
			choice->unseen++;
		else if (pos_cmp(c[i].received, choice->newest) > 0)
			choice->newest = c[i].received;
	}
}

/** Lets a member be chosen again that could not be promoted, if no other one has its log. */
static void end_exclusion(struct owner_group *g, const struct lead_candidate *c, int best,
			  int64_t now)
{
	const struct lead_candidate *x = g->excluded >= 0 ? &c[g->excluded] : NULL;

	if (g->sync > 0 && x != NULL && x->reached && now - g->state_us > RETRY_EXCLUDED_US &&
	    pos_cmp(x->received, c[best].received) > 0)
		g->excluded = -1;
}

/** Whether the choice must wait for acknowledged writes that the member at @a best lacks. */
static bool wait_for_acknowledged(struct owner_group *g, const struct lead_candidate *c,
				  const char *const *names, int best, int64_t now)
{
	struct succession_choice choice = {.best = c[best].received,
					   .may_gain = may_gain(g, c),
					   .sync = g->sync,
					   .waited_us = now - g->state_us,
					   .unserved_us = now - g->unserved_since_us};

	find_newest_log(g, c, &choice, now);
	if (succession_choice_waits(&g->succession, &choice)) {
		if (!g->choice_waits)
			log_choice("choice-waits", g, c, names, best, now);
		g->choice_waits = true;
		end_exclusion(g, c, best, now);
		return true;
	}
	if (g->sync > 0 && !succession_choice_complete(&g->succession, &choice)) {
		stat_add(STAT_CHOICES_INCOMPLETE, 1);
		log_choice("choice-incomplete", g, c, names, best, now);
	}
	return false;
}

/**
 * Continues with the old primary, or turns the change into a planned one if that primary must
 * leave.
 */
static void resume_primary(struct owner_group *g, int leader)
{
	if (!conf_member_leaves(&g->member[leader].conf)) {
		change_set_primary(g, leader, "came-back");
		return;
	}
	g->planned = true;
	g->target = -1;
	g->excluded = -1;
	g->primary = leader;
	g->term = g->member[leader].observed.term;
}

void choose_step(struct owner_group *g, int64_t now)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];
	uint64_t highest = g->term;
	int best, current;

	if (g->planned) {
		catch_up(g, now);
		return;
	}
	if (choose_undo_if_returned(g, now))
		return;
	/* A planned change acknowledges commits until the old primary is idle. */
	succession_acknowledged(&g->succession, g->marks.newest.pos, g->marks.newest.asked_us);
	if (!all_probed(g) && now - g->state_us < CHOOSE_TIMEOUT_US)
		return;
	choose_candidates(g, c, names, now, CHANGE_PROBE_FRESH_US);
	best = lead_find_primary(&g->record, names, c, g->n);
	if (best >= 0) {
		resume_primary(g, best);
		return;
	}
	current = find_current_primary(c, g->n);
	if (current >= 0)
		highest = MAX(highest, c[current].term);
	if (skip_current_primary(g, c, current, now))
		return;
	best = lead_choose_successor(c, g->n, g->excluded, needed_log(g));
	if (best < 0 && g->excluded >= 0) {
		g->excluded = -1;
		return;
	}
	if (best < 0 || wait_for_acknowledged(g, c, names, best, now))
		return;
	log_choice("chosen", g, c, names, best, now);
	owner_group_set_state(g, OWNER_RECORDING, "chosen");
	choose_record(g, best, highest, choice_recorded);
}

/**
 * Whether a primary that is back holds log that the chosen member lacks. An earlier order may have
 * been lost; repeating it before the member has caught up would discard that part of the log.
 */
bool choose_order_waits(const struct owner_group *g, int64_t now)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];
	int current;

	if (now - g->chosen_us > CATCH_UP_ALIVE_TIMEOUT_US)
		return false;
	choose_candidates(g, c, names, now, CHANGE_PROBE_FRESH_US);
	current = find_current_primary(c, g->n);
	return current >= 0 && pos_cmp(c[g->target].received, c[current].received) < 0;
}
