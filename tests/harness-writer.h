/**
 * @file harness-writer.h
 * A caller that writes in a thread of its own and notes how each of its statements ended.
 */
#ifndef HARNESS_WRITER_H
#define HARNESS_WRITER_H

#include "harness-line.h"

struct line_writer {
	struct line_fleet *f;
	GThread *thread;
	int vm;
	volatile int stop;
	bool reads_back;	    /**< it reads each of its writes again, which has to be seen */
	GPtrArray *acked, *not_run; /**< ids */
	GHashTable *may_come;	    /**< numbers of writes whose outcome is not known */
	int unknown;
	int newest; /**< number that its last acknowledged write wrote */
	int stale;  /**< reads that showed an older one, without a promotion to explain it */
	int64_t promotions; /**< that are known to it */
	int64_t last_ack_ms, gap_ms;
};

/** Begin to write through @a vm. */
void line_writer_start(struct line_writer *w, struct line_fleet *f, int vm);
/** The same; each write is read back at once, by the session that wrote it. */
void line_writer_start_reading(struct line_writer *w, struct line_fleet *f, int vm);
/** Wait for its end, and check: what was told as not run is in no log, nothing is there twice. */
void line_writer_stop(struct line_writer *w);

#endif
