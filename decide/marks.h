/**
 * @file marks.h
 * What is known of the newest acknowledged write, and since when: each answer of the primary tells
 * a position that holds every write acknowledged before its statement was sent. A read that may be
 * so much behind needs the position that was known true at that moment.
 */
#ifndef DECIDE_MARKS_H
#define DECIDE_MARKS_H

#include "types.h"

/** Marks that are kept; at MARKS_STEP_US apart they reach back eight seconds. */
#define MARKS_MAX 200
/** Marks closer together than this are not kept apart: a read asks for at most so much too much. */
#define MARKS_STEP_US (40 * USEC_PER_MSEC)

struct mark {
	int64_t asked_us;
	struct pos pos;
};

struct marks {
	unsigned first;
	unsigned n;
	struct mark mark[MARKS_MAX];
	struct mark newest;
	struct pos term_start; /**< first position seen of the present term */
};

void marks_clear(struct marks *m);
/** The primary answered @a pos to what was sent at @a asked_us. */
void marks_add(struct marks *m, struct pos pos, int64_t asked_us);
/**
 * A new primary leads; @a start is the first position it told. Writes that its promotion discarded
 * are owed to nobody.
 */
void marks_new_term(struct marks *m, struct pos start, int64_t asked_us);
/**
 * A position that holds every write acknowledged before @a since_us.
 * @return false when nothing so new is known
 */
bool marks_need(const struct marks *m, int64_t since_us, struct pos *need);
/** The position that stands for a session's own write at @a own in the present term's log. */
struct pos marks_own(const struct marks *m, struct pos own);

#endif
