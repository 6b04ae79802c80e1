/** @file owner-dispatch.c Starts queued statements of a group as members have room. */
#include "owner.h"

/** Most jobs without a member that one round moves from a queue to the list held. */
#define BLOCKED_MAX 4
/**
 * Most jobs in the list held, counted apart for primary and reads, before no more are taken from a
 * queue.
 */
#define HELD_MAX 8

/** Starts the jobs of the list held that a member can serve now. */
static void dispatch_held(struct owner_group *g, int64_t now)
{
	struct owner_job *job, *next;

	TAILQ_FOREACH_SAFE(job, &g->held, link, next) {
		bool unservable;
		struct owner_member *m = pick_member(job, now, &unservable);

		if (unservable) {
			TAILQ_REMOVE(&g->held, job, link);
			queue_end_unservable(job);
			continue;
		}
		if (m == NULL)
			continue;
		TAILQ_REMOVE(&g->held, job, link);
		if (!job_start(job, m)) {
			TAILQ_INSERT_TAIL(&g->held, job, link);
			return;
		}
	}
}

/**
 * Starts jobs of @a q. A job that no member can serve now is moved to the list held, so that it
 * does not block the jobs behind it. After BLOCKED_MAX such jobs no more are taken from the queue.
 */
static void dispatch_queue(struct owner_group *g, struct fairq *q, int64_t now)
{
	unsigned blocked = 0;
	struct fairq_item *item;

	while (blocked < BLOCKED_MAX && (item = fairq_next(q)) != NULL) {
		struct owner_job *job = (struct owner_job *)item;
		bool unservable;
		struct owner_member *m = pick_member(job, now, &unservable);

		if (unservable) {
			queue_end_unservable(job);
			continue;
		}
		if (m != NULL && job_start(job, m))
			continue;
		TAILQ_INSERT_TAIL(&g->held, job, link);
		blocked++;
	}
}

static unsigned held_count(const struct owner_group *g, bool needs_primary)
{
	const struct owner_job *job;
	unsigned n = 0;

	TAILQ_FOREACH(job, &g->held, link)
		n += job->needs_primary == needs_primary ? 1 : 0;
	return n;
}

void queue_dispatch(struct owner_group *g)
{
	int64_t now = now_us();
	unsigned i;

	/* Starting a job may end other jobs, which calls this function again. */
	if (g->dispatching) {
		g->dispatch_again = true;
		return;
	}
	g->dispatching = true;
	do {
		g->dispatch_again = false;
		dispatch_held(g, now);
		for (i = 0; i < OWNER_PRIORITIES; i++) {
			if (pick_write_room(g) && held_count(g, true) < HELD_MAX)
				dispatch_queue(g, &g->write_queue[i], now);
		}
		for (i = 0; i < OWNER_PRIORITIES; i++) {
			if (pick_read_room(g) && held_count(g, false) < HELD_MAX)
				dispatch_queue(g, &g->read_queue[i], now);
		}
	} while (g->dispatch_again);
	g->dispatching = false;
}
