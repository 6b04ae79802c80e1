/** @file group.c A VM's view of a database group. */
#include "group.h"

#include <stdio.h>
#include <string.h>

void group_init(struct group_view *g, const char *pool)
{
	memset(g, 0, sizeof(*g));
	snprintf(g->pool, sizeof(g->pool), "%s", pool);
}

int group_find(const struct group_view *g, const char *member)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (strcmp(g->member[i].name, member) == 0)
			return (int)i;
	}
	return -1;
}

void group_set_members(struct group_view *g, const char *const *names, unsigned n)
{
	struct member_view next[GROUP_MEMBERS_MAX] = {0};
	unsigned i;

	if (n > GROUP_MEMBERS_MAX)
		n = GROUP_MEMBERS_MAX;
	for (i = 0; i < n; i++) {
		int old = group_find(g, names[i]);

		if (old >= 0)
			next[i] = g->member[old];
		else
			snprintf(next[i].name, sizeof(next[i].name), "%s", names[i]);
	}
	memcpy(g->member, next, sizeof(next));
	g->n = n;
}

static void group_add_sample(struct group_view *g, const struct member_report *r, int64_t asked_us)
{
	struct age_sample *s;

	if (r->received.term < g->sample_term)
		return;
	if (r->seen_term > g->sample_term) {
		/* Positions of an earlier term do not compare with those of this term's log. */
		g->samples = 0;
		g->sample_term = r->seen_term;
	}
	s = &g->sample[g->samples % AGE_SAMPLES];
	s->lsn = r->received.lsn;
	s->at_us = asked_us;
	g->samples++;
}

void group_report(struct group_view *g, int member, const struct member_report *r, int64_t asked_us)
{
	struct member_view *m = &g->member[member];

	if (m->state == MEMBER_UP && asked_us < m->reported_us)
		return;
	m->state = MEMBER_UP;
	m->reported_us = asked_us;
	m->down_since_us = 0;
	m->report = *r;
	if (r->primary)
		group_add_sample(g, r, asked_us);
}

void group_unreachable(struct group_view *g, int member, enum member_state state, int64_t now_us)
{
	struct member_view *m = &g->member[member];

	if (m->state != MEMBER_DOWN && m->state != MEMBER_HOME_UNREACHABLE)
		m->down_since_us = now_us;
	m->state = state;
}

uint64_t group_highest_term(const struct group_view *g)
{
	uint64_t highest = 0;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (g->member[i].report.seen_term > highest)
			highest = g->member[i].report.seen_term;
	}
	return highest;
}

int group_primary(const struct group_view *g)
{
	uint64_t best_term = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct member_view *m = &g->member[i];

		if (m->state == MEMBER_UNKNOWN || !m->report.primary)
			continue;
		if (best >= 0 && m->report.seen_term <= best_term)
			continue;
		best = (int)i;
		best_term = m->report.seen_term;
	}
	return best;
}

int group_settled_primary(const struct group_view *g)
{
	int primary = group_primary(g);
	unsigned with_term = 0;
	uint64_t term;
	unsigned i;

	if (primary < 0)
		return -1;
	term = g->member[primary].report.seen_term;
	for (i = 0; i < g->n; i++) {
		const struct member_view *m = &g->member[i];

		if (m->state != MEMBER_UNKNOWN && m->report.received.term >= term)
			with_term++;
	}
	return with_term > g->n / 2 ? primary : -1;
}

int64_t group_age_us(const struct group_view *g, uint64_t lsn, int64_t now_us)
{
	unsigned kept = g->samples < AGE_SAMPLES ? g->samples : AGE_SAMPLES;
	int64_t newest = -1;
	unsigned i;

	for (i = 0; i < kept; i++) {
		if (g->sample[i].lsn <= lsn && g->sample[i].at_us > newest)
			newest = g->sample[i].at_us;
	}
	if (newest < 0)
		return INT64_MAX;
	return now_us - newest;
}
