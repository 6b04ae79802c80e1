/** @file owner-dispatch.c Starts queued statements of a group as members have room. */
#include "owner.h"

/** Most jobs without a member that one round moves from a queue to the list held. */
#define BLOCKED_MAX 4
/**
 * Most jobs in the list held, counted apart for primary and reads, before no more are taken from a
 * queue.
 */
#define HELD_MAX 8

/* Queues in strict order of the classes */

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

/* Queues ordered by target latency */

/** Most distinct kinds of blocked reads that a pass remembers. */
#define BLOCKED_KINDS_MAX 64

/** Reads that a member was sought for in vain: the others of this kind need no search. */
struct blocked_kind {
	const struct fairq_team *team;
	struct pos need;
	bool need_known;
	int reader;
	uint8_t tried_members;
};

/** One pass over a queue: all jobs that can be served now are started. */
struct dispatch_pass {
	int64_t now;
	struct owner_member *member; /**< chosen for the job that fits */
	bool unservable;	     /**< no member of this VM will serve the job that fits */
	unsigned n_blocked;
	struct blocked_kind blocked[BLOCKED_KINDS_MAX];
};

static struct blocked_kind kind_of(const struct owner_job *job)
{
	struct blocked_kind k = {.team = job->item.team,
				 .reader = job->args->reader,
				 .tried_members = job->tried_members};

	k.need_known = job_needed_pos(job, &k.need);
	if (!k.need_known)
		k.need = (struct pos){0};
	return k;
}

static bool kind_blocked(const struct dispatch_pass *p, const struct blocked_kind *k)
{
	unsigned i;

	for (i = 0; i < p->n_blocked; i++) {
		const struct blocked_kind *b = &p->blocked[i];

		if (b->team == k->team && b->tried_members == k->tried_members &&
		    b->reader == k->reader && b->need_known == k->need_known &&
		    pos_cmp(b->need, k->need) == 0)
			return true;
	}
	return false;
}

/**
 * Whether a member can serve the job now. A search costs more than the comparison with the kinds of
 * jobs that were found blocked, so each kind is searched for once a pass. All jobs of a team that
 * need the primary are of one kind.
 */
static enum fairq_fit job_fits(const struct fairq_item *item, void *arg)
{
	const struct owner_job *job = (const struct owner_job *)item;
	struct dispatch_pass *p = arg;
	struct blocked_kind kind = {0};

	if (p->now < job->not_before_us)
		return FAIRQ_SKIP;
	if (!job->needs_primary) {
		kind = kind_of(job);
		if (kind_blocked(p, &kind))
			return FAIRQ_SKIP;
	}
	p->member = pick_member(job, p->now, &p->unservable);
	if (p->member != NULL || p->unservable)
		return FAIRQ_FITS;
	if (job->needs_primary || p->n_blocked == BLOCKED_KINDS_MAX)
		return FAIRQ_SKIP_TEAM;
	p->blocked[p->n_blocked++] = kind;
	return FAIRQ_SKIP;
}

static void dispatch_by_aim(struct owner_group *g, struct dueq *q,
			    bool (*has_room)(struct owner_group *), int64_t now)
{
	struct dispatch_pass pass = {.now = now};
	struct dueq_item *item;

	dueq_begin_pass(q);
	while (has_room(g) && (item = dueq_next_fit(q, job_fits, &pass, now)) != NULL) {
		struct owner_job *job = (struct owner_job *)item;

		if (pass.unservable) {
			queue_end_unservable(job);
			continue;
		}
		if (job_start(job, pass.member))
			continue;
		queue_put_back(job);
		dueq_skip_team(q, item);
	}
}

static bool read_room(struct owner_group *g)
{
	return pick_read_room(g);
}

static void dispatch_all_by_aim(struct owner_group *g, int64_t now)
{
	struct owner_job *job;

	/* Jobs held before the order was changed. */
	while ((job = TAILQ_FIRST(&g->held)) != NULL) {
		TAILQ_REMOVE(&g->held, job, link);
		queue_put_back(job);
	}
	dispatch_by_aim(g, &g->queues->write, pick_write_room, now);
	dispatch_by_aim(g, &g->queues->read, read_room, now);
}

/* Both orders */

static void dispatch_strictly(struct owner_group *g, int64_t now)
{
	unsigned i;

	dispatch_held(g, now);
	for (i = 0; i < OWNER_PRIORITIES; i++) {
		if (pick_write_room(g) && held_count(g, true) < HELD_MAX)
			dispatch_queue(g, &g->queues->write.class[i], now);
	}
	for (i = 0; i < OWNER_PRIORITIES; i++) {
		if (pick_read_room(g) && held_count(g, false) < HELD_MAX)
			dispatch_queue(g, &g->queues->read.class[i], now);
	}
}

void queue_dispatch(struct owner_group *g)
{
	int64_t now = now_us();

	if (g->queues == NULL)
		return;
	/* Starting a job may end other jobs, which calls this function again. */
	if (g->dispatching) {
		g->dispatch_again = true;
		return;
	}
	g->dispatching = true;
	do {
		g->dispatch_again = false;
		if (owner_aim_used(g))
			dispatch_all_by_aim(g, now);
		else
			dispatch_strictly(g, now);
	} while (g->dispatch_again);
	g->dispatching = false;
}
