/**
 * @file harness-writer.h
 * A caller that writes in its own thread and records the outcome of each statement.
 */
#ifndef HARNESS_WRITER_H
#define HARNESS_WRITER_H

#include "harness-line.h"

struct line_writer {
	struct line_fleet *f;
	GThread *thread;
	int vm;
	volatile int stop;
	bool reads_back;	    /**< reads back each write and checks that the value is found */
	GPtrArray *acked, *not_run; /**< request ids */
	GHashTable *uncertain_writes; /**< numbers of writes of unknown outcome */
	int unknown;
	int newest;	    /**< number written by the last acknowledged write */
	int stale;	    /**< reads of an older number that no promotion explains */
	int64_t promotions; /**< promotions counted at the last check */
	int64_t last_ack_ms;
	int64_t gap_ms;	       /**< longest time between two acknowledged writes */
	int64_t answer_max_ms; /**< longest time from a statement to its answer */
};

/** Starts writing through @a vm. */
void line_writer_start(struct line_writer *w, struct line_fleet *f, int vm);
/** Starts writing through @a vm; each write is read back at once in the same session. */
void line_writer_start_read_back(struct line_writer *w, struct line_fleet *f, int vm);
/**
 * Stops the writer and checks the primary's log: writes reported as not run are not in it, and no
 * acknowledged write is in it twice.
 */
void line_writer_stop(struct line_writer *w);

#endif
