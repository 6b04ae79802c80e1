/** @file keep.c Limit of idle connections that a VM keeps to a member. */
#include "keep.h"

#include "place.h"

#include <stdlib.h>

/** Length of a window over which struct keep_usage records the peak. */
#define PEAK_WINDOW_US (5 * USEC_PER_SEC)
/**
 * How many times its own needs a VM leaves free of idle connections. After a power loss, the member
 * counts the connections of the lost VM until it drops them, and the VM that takes over needs as
 * many again.
 */
#define RESERVED_MULTIPLE 2

void keep_record_use(struct keep_usage *u, unsigned used, int64_t now_us)
{
	if (now_us - u->window_start_us >= PEAK_WINDOW_US) {
		u->previous_peak =
			now_us - u->window_start_us < 2 * PEAK_WINDOW_US ? u->window_peak : 0;
		u->window_peak = 0;
		u->window_start_us = now_us;
	}
	if (used > u->window_peak)
		u->window_peak = used;
}

unsigned keep_peak_use(const struct keep_usage *u)
{
	return u->window_peak > u->previous_peak ? u->window_peak : u->previous_peak;
}

unsigned keep_idle_limit(const struct keep_member *m)
{
	unsigned part = m->users > 0 ? m->connections / m->users : m->connections;
	unsigned usual = m->slots + PLACE_PIPELINE_DEPTH;
	unsigned needed = RESERVED_MULTIPLE * (m->most > usual ? m->most : usual);

	return part > needed ? part - needed : 0;
}
