/**
 * @file marks.h
 * High-water marks of the primary's log over time. Each answer of the primary carries a log
 * position that includes every write acknowledged before the statement was sent. From these marks
 * follows which position a replica must have applied to serve a read with a given maximum age.
 */
#ifndef DECIDE_MARKS_H
#define DECIDE_MARKS_H

#include "types.h"

/** Number of marks that are kept; at intervals of MARKS_INTERVAL_US they cover eight seconds. */
#define MARKS_MAX 200
/**
 * Minimum interval between two marks. A read may require a position that is newer than necessary by
 * at most this much time.
 */
#define MARKS_INTERVAL_US (40 * USEC_PER_MSEC)

/** The log position @a pos includes every write acknowledged before @a asked_us. */
struct mark {
	int64_t asked_us; /**< when the statement was sent */
	struct pos pos;
};

struct marks {
	unsigned first; /**< index of the oldest mark in the ring buffer */
	unsigned n;
	struct mark *mark;     /**< ring buffer, allocated with the first mark */
	struct mark newest;    /**< highest position and latest time of all answers, also of those
				  closer than MARKS_INTERVAL_US */
	struct pos term_start; /**< first position seen in the current term */
};

/** Forgets all marks. A struct of zeros has none. */
void marks_clear(struct marks *m);
/** Frees the ring buffer; @a m has no marks then. */
void marks_free(struct marks *m);
/** Records that the primary answered a statement sent at @a asked_us with log position @a pos. */
void marks_add(struct marks *m, struct pos pos, int64_t asked_us);
/**
 * Starts over with the first position @a start reported by a new primary. Writes that its promotion
 * discarded are no longer required of any read.
 */
void marks_new_term(struct marks *m, struct pos start, int64_t asked_us);
/**
 * Finds a position that includes every write acknowledged before @a since_us.
 * @return false if no statement sent at or after @a since_us has been answered
 */
bool marks_required(const struct marks *m, int64_t since_us, struct pos *need);
/**
 * Returns the position in the current term's log that includes what was kept of a session's own
 * write at @a own.
 */
struct pos marks_in_current_term(const struct marks *m, struct pos own);

#endif
