/** @file home-confirm.c A commit is acknowledged when a majority of its group has it. */
#include "home.h"

#include "confirm.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** How long a replica's home is asked to wait for the record in one call. */
#define CONFIRM_CALL_US (200 * USEC_PER_MSEC)
/**
 * A commit that no majority has after this long is told as not confirmed, even when the deadline
 * is later.
 */
#define CONFIRM_WAIT_MAX_US (10 * USEC_PER_SEC)
/** A replica whose last report is older than this is not counted on for new commits. */
#define CONFIRM_FRESH_US (3 * USEC_PER_SEC)

bool home_confirmable(const struct home_member *m)
{
	int64_t now = now_us();
	unsigned able = 0;
	unsigned i;

	if (m->confirm == CONFIRM_PRIMARY)
		return true;
	for (i = 0; i < m->view.n; i++) {
		const struct member_view *v = &m->view.member[i];

		if ((int)i != m->self && v->state == MEMBER_UP &&
		    now - v->reported_us < CONFIRM_FRESH_US)
			able++;
	}
	return able >= confirm_needed(m->view.n);
}

static unsigned confirmed_by(struct home_job *job)
{
	const struct group_view *g = &job->m->view;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if ((int)i == job->m->self)
			continue;
		if (!job->has[i] && g->member[i].state != MEMBER_UNKNOWN)
			job->has[i] =
				confirm_replica(job->pos, &g->member[i].report) == CONFIRM_YES;
		count += job->has[i];
	}
	return count;
}

static void confirm_end(struct home_job *job, enum outcome o)
{
	TAILQ_REMOVE(&job->m->unconfirmed, job, link);
	if (o != OUTCOME_DONE)
		stat_add(STAT_CONFIRMS_LOST, 1);
	home_job_end(job, o, 0);
}

static void confirm_judge(struct home_job *job)
{
	if (confirmed_by(job) >= confirm_needed(job->m->view.n)) {
		stat_add(STAT_CONFIRMS, 1);
		confirm_end(job, OUTCOME_DONE);
		return;
	}
	switch (confirm_by_primary(job->pos, &job->m->view)) {
	case CONFIRM_YES:
		confirm_end(job, OUTCOME_DONE);
		break;
	case CONFIRM_LOST:
		/* Discarded for good by the promotion: it is true that it did not run. */
		confirm_end(job, job->args->control == ML_CONTROL_COMMIT ? OUTCOME_TX_LOST
									 : OUTCOME_NOT_PRIMARY);
		break;
	case CONFIRM_WAIT:
		break;
	}
}

static void confirm_ask(struct home_member *m)
{
	struct home_job *first = TAILQ_FIRST(&m->unconfirmed);
	unsigned i;

	if (first == NULL)
		return;
	for (i = 0; i < m->view.n; i++) {
		if ((int)i != m->self)
			home_watch_ask(m, (int)i, first->pos, CONFIRM_CALL_US);
	}
}

void home_confirm_check(struct home_member *m)
{
	struct home_job *job, *next;

	TAILQ_FOREACH_SAFE(job, &m->unconfirmed, link, next)
		confirm_judge(job);
	confirm_ask(m);
}

void home_confirm_expire(struct home_member *m, int64_t now)
{
	struct home_job *job, *next;

	TAILQ_FOREACH_SAFE(job, &m->unconfirmed, link, next) {
		if (now >= job->deadline_us || now - job->started_us > CONFIRM_WAIT_MAX_US)
			confirm_end(job, OUTCOME_NOT_CONFIRMED);
	}
}

void home_confirm_start(struct home_job *job)
{
	struct home_member *m = job->m;

	job->step = JOB_CONFIRM;
	if (m->confirm == CONFIRM_PRIMARY || confirm_needed(m->view.n) == 0) {
		home_job_end(job, OUTCOME_DONE, 0);
		return;
	}
	TAILQ_INSERT_TAIL(&m->unconfirmed, job, link);
	home_confirm_check(m);
}
