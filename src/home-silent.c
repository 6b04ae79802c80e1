/**
 * @file home-silent.c
 * Detects connections that went silent while a job runs, by comparison with the member's list of
 * active backends.
 */
#include "home-watch.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"
#include "trace.h"

#include <stdio.h>
#include <string.h>

/** A job that runs for longer is looked up in the member's list of active backends. */
#define SILENT_AFTER_US (400 * USEC_PER_MSEC)
/** Consecutive checks without an active backend after which a connection counts as silent. */
#define SILENT_CHECKS 3

bool watch_backend_listed(const char *list, int pid)
{
	char wanted[16];
	size_t len = (size_t)snprintf(wanted, sizeof(wanted), "%d", pid);
	const char *at;

	for (at = strstr(list, wanted); at != NULL; at = strstr(at + 1, wanted)) {
		if ((at == list || at[-1] == ',') && (at[len] == ',' || at[len] == '\0'))
			return true;
	}
	return false;
}

static void activity_answered(struct db_conn *db, const struct db_result *res, void *arg)
{
	struct watch_link *l = arg;
	struct home_member *m = l->w->m;
	struct home_conn *c, *next;

	l->busy = false;
	if (res->status != DB_OK || res->value == NULL) {
		watch_link_close(l);
		return;
	}
	TAILQ_FOREACH_SAFE(c, &m->conns, link, next) {
		if (c->job == NULL || now_us() - c->job->started_us < SILENT_AFTER_US)
			continue;
		if (watch_backend_listed(res->value, c->db->ops->backend_pid(c->db))) {
			c->idle_checks = 0;
			continue;
		}
		/*
		 * The member has no active backend for this connection although a job waits for its
		 * answer: the statement or the answer was lost. Without this check the caller would
		 * wait until its deadline.
		 */
		if (++c->idle_checks >= SILENT_CHECKS)
			home_job_silent(c->job);
	}
}

static void activity_opened(struct db_conn *db, bool ok, const char *why, void *arg)
{
	struct watch_link *l = arg;

	if (!ok)
		watch_link_close(l);
	else
		l->open = true;
}

static bool activity_needed(const struct home_member *m, int64_t now)
{
	struct home_conn *c;

	TAILQ_FOREACH(c, &m->conns, link) {
		if (c->job != NULL && now - c->job->started_us > SILENT_AFTER_US)
			return true;
	}
	return false;
}

void watch_silent_check(struct home_watch *w, int64_t now)
{
	struct db_query q = {.sql = "SELECT string_agg(pid::text, ',') FROM pg_stat_activity WHERE "
				    "state = 'active'"};
	struct watch_link *l = &w->activity;

	if (l->busy && now - l->asked_us > watch_timeout_us(w))
		watch_link_close(l);
	if (!activity_needed(w->m, now)) {
		if (!l->busy && l->open)
			watch_link_close(l);
		return;
	}
	if (l->db == NULL) {
		l->db = db_libpq_ops.open(w->m->home->service.kernel, w->m->conf.address,
					  w->m->pool, watch_timeout_us(w), activity_opened, l);
		return;
	}
	if (!l->open || l->busy)
		return;
	l->busy = true;
	l->asked_us = now;
	l->db->ops->query(l->db, &q, activity_answered, l);
}
