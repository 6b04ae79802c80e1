/** @file home-confirm.c Acknowledges a commit once a majority of its group has it. */
#include "home.h"

#include "confirm.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** How long a replica's home waits for the commit in one RPC. */
#define CONFIRM_RPC_WAIT_US (200 * USEC_PER_MSEC)
/**
 * A commit that no majority has after this time is reported as not confirmed, even if the deadline
 * is later.
 */
#define CONFIRM_WAIT_MAX_US (10 * USEC_PER_SEC)
/** A replica whose last report is older is not expected to confirm new commits. */
#define REPORT_AGE_MAX_US (3 * USEC_PER_SEC)

bool home_can_confirm(const struct home_member *m)
{
	int64_t now = now_us();
	unsigned able = 0;
	unsigned i;

	if (m->confirm == CONFIRM_PRIMARY)
		return true;
	for (i = 0; i < m->view.n; i++) {
		const struct member_view *v = &m->view.member[i];

		if ((int)i != m->self && v->state == MEMBER_UP &&
		    now - v->reported_us < REPORT_AGE_MAX_US)
			able++;
	}
	return able >= confirm_replicas_needed(m->view.n);
}

/** Returns how many replicas have the job's commit. */
static unsigned count_replicas(struct home_job *job)
{
	const struct group_view *g = &job->m->view;
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if ((int)i == job->m->self)
			continue;
		if (!job->replicated[i] && g->member[i].state != MEMBER_UNKNOWN)
			job->replicated[i] =
				confirm_replica(job->pos, &g->member[i].report) == CONFIRM_YES;
		count += job->replicated[i];
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

/** Answers the job if its commit is confirmed or lost. */
static void confirm_evaluate(struct home_job *job)
{
	if (count_replicas(job) >= confirm_replicas_needed(job->m->view.n)) {
		stat_add(STAT_CONFIRMS, 1);
		confirm_end(job, OUTCOME_DONE);
		return;
	}
	switch (confirm_by_primary(job->pos, &job->m->view)) {
	case CONFIRM_YES:
		confirm_end(job, OUTCOME_DONE);
		break;
	case CONFIRM_LOST:
		/* The promotion discarded the commit for good, so "did not run" is correct. */
		confirm_end(job, job->args->control == ML_CONTROL_COMMIT ? OUTCOME_TX_LOST
									 : OUTCOME_NOT_PRIMARY);
		break;
	case CONFIRM_WAIT:
		break;
	}
}

/** Requests reports of the replicas that wait for the oldest unconfirmed commit. */
static void request_confirmations(struct home_member *m)
{
	struct home_job *first = TAILQ_FIRST(&m->unconfirmed);
	unsigned i;

	if (first == NULL)
		return;
	for (i = 0; i < m->view.n; i++) {
		if ((int)i != m->self)
			home_watch_request_report(m, (int)i, first->pos, CONFIRM_RPC_WAIT_US);
	}
}

void home_confirm_check(struct home_member *m)
{
	struct home_job *job, *next;

	TAILQ_FOREACH_SAFE(job, &m->unconfirmed, link, next)
		confirm_evaluate(job);
	request_confirmations(m);
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
	if (m->confirm == CONFIRM_PRIMARY || confirm_replicas_needed(m->view.n) == 0) {
		home_job_end(job, OUTCOME_DONE, 0);
		return;
	}
	TAILQ_INSERT_TAIL(&m->unconfirmed, job, link);
	home_confirm_check(m);
}
