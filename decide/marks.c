/** @file marks.c High-water marks of the primary's log over time. */
#include "marks.h"

#include <glib.h>

void marks_clear(struct marks *m)
{
	*m = (struct marks){.mark = m->mark};
}

void marks_free(struct marks *m)
{
	g_free(m->mark);
	*m = (struct marks){0};
}

static struct mark *mark_at(struct marks *m, unsigned i)
{
	return &m->mark[(m->first + i) % MARKS_MAX];
}

void marks_add(struct marks *m, struct pos pos, int64_t asked_us)
{
	struct mark *last;

	if (pos.term == 0)
		return;
	if (m->mark == NULL)
		m->mark = g_new(struct mark, MARKS_MAX);
	if (m->term_start.term == 0)
		m->term_start = pos;
	/* Answers may arrive in a different order than their statements were sent. */
	if (pos_cmp(pos, m->newest.pos) < 0)
		pos = m->newest.pos;
	if (asked_us > m->newest.asked_us)
		m->newest.asked_us = asked_us;
	m->newest.pos = pos;
	last = m->n > 0 ? mark_at(m, m->n - 1) : NULL;
	if (last != NULL && asked_us - last->asked_us < MARKS_INTERVAL_US)
		return;
	if (m->n == MARKS_MAX) {
		m->first = (m->first + 1) % MARKS_MAX;
		m->n--;
	}
	m->n++;
	*mark_at(m, m->n - 1) = (struct mark){.asked_us = asked_us, .pos = pos};
}

void marks_new_term(struct marks *m, struct pos start, int64_t asked_us)
{
	marks_clear(m);
	marks_add(m, start, asked_us);
}

bool marks_required(const struct marks *m, int64_t since_us, struct pos *need)
{
	unsigned low = 0, high = m->n;

	while (low < high) {
		unsigned middle = (low + high) / 2;

		if (m->mark[(m->first + middle) % MARKS_MAX].asked_us >= since_us)
			high = middle;
		else
			low = middle + 1;
	}
	if (low < m->n) {
		*need = m->mark[(m->first + low) % MARKS_MAX].pos;
		return true;
	}
	*need = m->newest.pos;
	return m->newest.pos.term != 0 && m->newest.asked_us >= since_us;
}

struct pos marks_in_current_term(const struct marks *m, struct pos own)
{
	/*
	 * A write of an earlier term may have been discarded by the promotion; then no member ever
	 * reaches its position. The first position of the new primary includes every earlier write
	 * that was kept.
	 */
	if (own.term != 0 && own.term < m->term_start.term)
		return m->term_start;
	return own;
}
