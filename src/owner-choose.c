/**
 * @file owner-choose.c
 * The choice of a group's next primary: who may follow, what it must hold, how the choice is
 * written to the record and taken back.
 */
#include "owner.h"

#include "log.h"

#include <string.h>

/** A planned change waits so long for a replica that has everything; then it is called off. */
#define CAUGHT_UP_US (1500 * USEC_PER_MSEC)
/** The same where the old primary lives and can't go on. */
#define CAUGHT_UP_LIVING_US (6 * USEC_PER_SEC)
/**
 * A change that could not be written for so long is offered to another VM: the store may turn just
 * this one away, for nine seconds at a time.
 */
#define INVITE_AFTER_US (200 * USEC_PER_MSEC)
/** Members that do not answer hold up a choice for so long. */
#define CHOOSE_US (300 * USEC_PER_MSEC)

void choose_candidates(const struct owner_group *g, struct lead_candidate *c, const char **names,
		       int64_t now, int64_t fresh_us)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		c[i] = m->seen;
		c[i].reached = (m->listed || !change_overstays(m, now)) && m->seen.reached &&
			       now - m->seen_us < fresh_us;
		c[i].leaving = conf_member_leaves(&m->conf) || !m->listed;
		names[i] = m->conf.name;
	}
}

int choose_leader(const struct owner_group *g, int64_t now)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];

	choose_candidates(g, c, names, now, CHANGE_LOOK_FRESH_US);
	return lead_find(&g->record, names, c, g->n);
}

int choose_successor(const struct owner_group *g, int64_t now, int64_t fresh_us)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];

	choose_candidates(g, c, names, now, fresh_us);
	return lead_choose(c, g->n, g->primary);
}

/* Taking a choice back */

/** The record as it was before the choice. */
static struct lead_record undo_record(const struct owner_group *g)
{
	struct lead_record r = g->record;

	r.choices++;
	r.floor = g->undo.floor;
	g_strlcpy(r.target, g->undo.target, sizeof(r.target));
	return r;
}

static void undone(struct owner_group *g, bool ok)
{
	if (ok)
		g->undo.possible = false;
	if (g->state == OWNER_RECORDING)
		og_state(g, OWNER_CHOOSING, ok ? "taken-back" : "not-taken-back");
}

/** Only while no order has gone out. */
static void write_undo(struct owner_group *g)
{
	struct lead_record r = undo_record(g);

	log_info("choice-taken-back", LOG_STR("pool", g->pool), LOG_STR("member", g->record.target),
		 LOG_NUM("floor", r.floor), LOG_REVISION("revision", g->revision));
	record_write(g, &r, undone);
}

void choose_undo(struct owner_group *g)
{
	if (g->undo.possible && !g->busy)
		write_undo(g);
}

/**
 * The primary that a successor was recorded for is back before any order went out. Promoting the
 * successor all the same would discard what the primary acknowledged meanwhile.
 */
bool choose_take_back(struct owner_group *g, int64_t now)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];
	struct lead_record r = undo_record(g);
	int back;

	if (!g->undo.possible || g->planned || g->busy)
		return false;
	choose_candidates(g, c, names, now, CHANGE_LOOK_FRESH_US);
	back = lead_find(&r, names, c, g->n);
	if (back < 0 || conf_member_leaves(&g->member[back].conf) ||
	    g->member[back].seen_us <= g->chosen_us)
		return false;
	og_state(g, OWNER_RECORDING, "came-back");
	write_undo(g);
	return true;
}

/* Choosing */

/** All members that may be chosen have been looked at since the choice began. */
static bool all_seen(const struct owner_group *g)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		if (m->listed && !conf_member_leaves(&m->conf) && (int)i != g->primary &&
		    m->seen_us < g->state_us)
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
		g->undo.floor = r.floor;
		g_strlcpy(g->undo.target, r.target, sizeof(g->undo.target));
	}
	r.choices++;
	r.floor = MAX(r.floor, highest);
	g_strlcpy(r.target, g->member[target].conf.name, sizeof(r.target));
	record_write(g, &r, cb);
}

static void settled_recorded(struct owner_group *g, bool ok)
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

/** The old primary had to stop before its successor could be chosen. */
static void choose_settled(struct owner_group *g, int64_t now)
{
	int best = choose_successor(g, now, CHANGE_LOOK_FRESH_US);
	const struct owner_member *m;

	if (best < 0)
		return;
	m = &g->member[best];
	log_info("chosen", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("term", m->seen.received.term), LOG_NUM("lsn", m->seen.received.lsn),
		 LOG_NUM("floor", g->term));
	choose_record(g, best, g->term, settled_recorded);
}

/** Whether the chosen member holds all that the old primary has, which takes no writes any more. */
static bool has_caught_up(const struct owner_group *g)
{
	const struct owner_member *old = &g->member[g->primary];
	const struct owner_member *next = &g->member[g->target];

	return old->seen.reached && next->seen.reached && old->seen_us > g->state_us &&
	       next->seen_us > g->state_us && pos_cmp(next->seen.received, old->seen.received) >= 0;
}

/** A planned change: the chosen member must have everything before the order goes out. */
static void catch_up(struct owner_group *g, int64_t now)
{
	const struct owner_member *old = og_primary(g);

	if (old == NULL || change_is_silent(old, now)) {
		g->planned = false;
		log_info("old-primary-gone", LOG_STR("pool", g->pool));
		return;
	}
	if (g->busy)
		return;
	if (old->listed && !conf_member_leaves(&old->conf)) {
		change_call_off(g, "stays");
		return;
	}
	if (g->target < 0) {
		choose_settled(g, now);
		return;
	}
	if (has_caught_up(g)) {
		g->ordered = false;
		og_state(g, OWNER_ORDERING, "caught-up");
		return;
	}
	/* One that may get no more statements can't go on; it keeps what others lack until then. */
	if (now - g->state_us > CAUGHT_UP_US && !change_overstays(old, now))
		change_call_off(g, "replica-behind");
}

static void recorded(struct owner_group *g, bool ok)
{
	if (g->state != OWNER_RECORDING)
		return;
	if (!ok) {
		og_state(g, OWNER_CHOOSING, "record-not-written");
		if (now_us() - g->unserved_us > INVITE_AFTER_US)
			claim_invite(g, "record-not-written");
		return;
	}
	g->token = g->revision;
	g->ordered = false;
	og_state(g, OWNER_ORDERING, "recorded");
}

/** The member that leads the newest term seen, or -1. */
static int find_present(const struct lead_candidate *c, unsigned n)
{
	int present = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (c[i].reached && c[i].primary && (present < 0 || c[i].term > c[present].term))
			present = (int)i;
	}
	return present;
}

/**
 * A primary that is back after a successor was recorded. An order to promote it would change
 * nothing, and its term would not be believed: the group stayed without writes for the 2.5 s of
 * AWAIT_US. An earlier order may still take effect, so it cannot just go on either. Nobody sends to
 * it any more; a replica that has all of it takes over.
 * @return whether the choice has to wait for such a replica
 */
static bool pass_over_present(struct owner_group *g, struct lead_candidate *c, int present,
			      int64_t now)
{
	int next;

	if (present < 0 || g->record.target[0] == '\0')
		return false;
	c[present].leaving = true;
	next = lead_choose(c, g->n, g->except);
	return next >= 0 && now - g->state_us < CAUGHT_UP_LIVING_US &&
	       pos_cmp(c[next].received, c[present].received) < 0;
}

/** Whether some member may yet show, or receive, more than the candidates hold. */
static bool may_gain(const struct owner_group *g, const struct lead_candidate *c)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (g->member[i].listed && !c[i].reached && !g->member[i].refused)
			return true;
	}
	return false;
}

/** The member at @a best would be promoted: whether the choice waits for what it lacks. */
static bool wait_for_acknowledged(const struct owner_group *g, const struct lead_candidate *c,
				  int best, int64_t now)
{
	const struct succession_choice choice = {.best = c[best].received,
						 .may_gain = may_gain(g, c),
						 .waited_us = now - g->state_us};

	return succession_choice_waits(&g->succession, &choice);
}

/** The primary is there: it goes on, or hands over in order where it is to leave. */
static void return_to(struct owner_group *g, int leader)
{
	if (!conf_member_leaves(&g->member[leader].conf)) {
		change_lead_begins(g, leader, "came-back");
		return;
	}
	g->planned = true;
	g->target = -1;
	g->primary = leader;
	g->term = g->member[leader].seen.term;
}

void choose_step(struct owner_group *g, int64_t now)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];
	uint64_t highest = g->term;
	int best, present;

	if (g->planned) {
		catch_up(g, now);
		return;
	}
	if (choose_take_back(g, now))
		return;
	if (!all_seen(g) && now - g->state_us < CHOOSE_US)
		return;
	choose_candidates(g, c, names, now, CHANGE_LOOK_FRESH_US);
	best = lead_find(&g->record, names, c, g->n);
	if (best >= 0) {
		return_to(g, best);
		return;
	}
	present = find_present(c, g->n);
	if (present >= 0)
		highest = MAX(highest, c[present].term);
	if (pass_over_present(g, c, present, now))
		return;
	best = lead_choose(c, g->n, g->except);
	if (best < 0 && g->except >= 0) {
		g->except = -1;
		return;
	}
	if (best < 0 || wait_for_acknowledged(g, c, best, now))
		return;
	log_info("chosen", LOG_STR("pool", g->pool), LOG_STR("member", names[best]),
		 LOG_NUM("term", c[best].received.term), LOG_NUM("lsn", c[best].received.lsn),
		 LOG_NUM("floor", highest),
		 LOG_NUM("acknowledged_term", g->succession.acknowledged.term),
		 LOG_NUM("acknowledged_lsn", g->succession.acknowledged.lsn),
		 LOG_NUM("acknowledged_age_us", now - g->succession.acknowledged_us));
	og_state(g, OWNER_RECORDING, "chosen");
	choose_record(g, best, highest, recorded);
}

/**
 * Whether a primary that is back holds what the chosen member lacks. An earlier order may have been
 * lost; repeating it before the member has caught up would discard that.
 */
bool choose_order_waits(const struct owner_group *g, int64_t now)
{
	struct lead_candidate c[GROUP_MEMBERS_MAX];
	const char *names[GROUP_MEMBERS_MAX];
	int present;

	if (now - g->chosen_us > CAUGHT_UP_LIVING_US)
		return false;
	choose_candidates(g, c, names, now, CHANGE_LOOK_FRESH_US);
	present = find_present(c, g->n);
	return present >= 0 && pos_cmp(c[g->target].received, c[present].received) < 0;
}
