/** @file ready.c Decides whether this VM is ready to take callers. */
#include "ready.h"

/**
 * Time without contact to any other data centre after which this VM counts as cut off. Several
 * answers are due within it, and at least one arrives even if a VM is five times slower than usual.
 */
#define CONTACT_TIMEOUT_US (500 * USEC_PER_MSEC)
/** Window over which served and unserved statements are counted. */
#define WINDOW_US (200 * USEC_PER_MSEC)
/**
 * Delay until idle sessions are closed: the load balancer probes once a second and removes a VM
 * after two failed probes.
 */
#define CLOSE_IDLE_DELAY_US (2000 * USEC_PER_MSEC)

static void window_begin(struct ready *r, int64_t now_us)
{
	r->window_start_us = now_us;
	r->served = 0;
	r->unserved = 0;
}

void ready_count(struct ready *r, bool served)
{
	if (served)
		r->served++;
	else
		r->unserved++;
}

bool ready_update(struct ready *r, int64_t last_contact_us, int64_t now_us)
{
	if (last_contact_us == 0 || now_us - last_contact_us < CONTACT_TIMEOUT_US) {
		r->away = false;
		window_begin(r, now_us);
		return true;
	}
	if (r->away)
		return false;
	if (now_us - r->window_start_us < WINDOW_US)
		return true;
	if (r->unserved > r->served) {
		r->away = true;
		r->away_since_us = now_us;
	}
	window_begin(r, now_us);
	return !r->away;
}

bool ready_close_idle(const struct ready *r, int64_t now_us)
{
	return r->away && now_us - r->away_since_us >= CLOSE_IDLE_DELAY_US;
}
