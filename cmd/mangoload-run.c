/** @file mangoload-run.c Sessions, arrivals of requests, and injected faults. */
#include "mangoload.h"
#include "net.h"

#include "rpc.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Time after the last arrival in which outstanding requests may complete. */
#define DRAIN_US (3 * USEC_PER_SEC)
#define RECONNECT_US (100 * USEC_PER_MSEC)
#define STATUS_TIMEOUT_US (2 * USEC_PER_SEC)
#define TEXT_SIZE 512

struct team_run;

/**
 * One caller's session. Each of its writes also stores an increasing counter in the session's own
 * row, which its reads return: a lower value than the last acknowledged one is a stale read.
 */
struct session {
	TAILQ_ENTRY(session) link; /**< in team_run.idle */
	struct load *l;
	struct team_run *t;
	unsigned number; /**< within the team; part of the key of the session's row */
	unsigned vm;	 /**< index in load_plan.vm of the daemon it connects to */
	PGconn *pg;
	struct event *io, *timer;
	bool connecting, busy;
	bool setting_kind;	  /**< SET mangoloom.kind is running, ahead of the request */
	int kind;		  /**< mangoloom.kind set on the connection; -1: not set yet */
	char token[TEXT_SIZE];	  /**< session token */
	unsigned written_counter; /**< last acknowledged counter */
	struct load_request request;
	bool failed;	    /**< the answer was an error */
	bool reads_counter; /**< the request is a read, and the session wrote its counter before */
	unsigned read_counter; /**< counter that the read returned */
	/** SQLSTATE and DETAIL of the error. */
	char sqlstate[6], detail[64];
	char sql[TEXT_SIZE]; /**< statements of the request */
};
TAILQ_HEAD(sessions, session);

/** A request that waits for an idle session. */
struct queued_request {
	TAILQ_ENTRY(queued_request) link;
	struct load_request request;
};
TAILQ_HEAD(request_queue, queued_request);

struct team_run {
	struct load *l;
	unsigned index;
	const struct load_team *team;
	struct sessions idle;
	struct request_queue queue;
	struct event *arrival;
	unsigned writes;
	double next_arrival_us; /**< next arrival, since the start of the run */
};

static void session_start(struct session *s, const struct load_request *r);
static void session_kind_set(struct session *s);

static double uniform(void)
{
	return ((double)(random_bits() >> 11) + 0.5) / 9007199254740992.0;
}

static unsigned pick_kind(const struct load_plan *p)
{
	double u = uniform(), sum = 0;
	unsigned i;

	for (i = 0; i < p->n_kinds; i++) {
		sum += p->kind[i].share;
		if (u < sum)
			return i;
	}
	return p->n_kinds - 1;
}

/* Sessions */

static void session_io(evutil_socket_t fd, short what, void *arg);

static void session_wait(struct session *s, short what)
{
	if (s->io != NULL)
		event_free(s->io);
	s->io = event_new(s->l->kernel->base, PQsocket(s->pg), what, session_io, s);
	event_add(s->io, NULL);
}

static void session_disconnect(struct session *s)
{
	if (s->io != NULL)
		event_free(s->io);
	s->io = NULL;
	if (s->pg != NULL)
		PQfinish(s->pg);
	s->pg = NULL;
}

static void session_connect(evutil_socket_t fd, short what, void *arg)
{
	struct session *s = arg;
	const struct load_plan *p = &s->l->plan;
	char host[ADDRESS_SIZE], options[TEXT_SIZE + 128];
	const char *keys[] = {"hostaddr", "port",    "user",	   "password", "dbname",
			      "options",  "sslmode", "gssencmode", NULL};
	const char *values[] = {host,	NULL,	 s->t->team->name, s->t->team->key,
				"load", options, "disable",	   "disable",
				NULL};

	session_disconnect(s);
	if (s->l->ended)
		return;
	values[1] = net_split(p->vm[s->vm], host);
	snprintf(options, sizeof(options), "-c mangoloom.deadline_ms=%u -c mangoloom.session=%s",
		 p->deadline_ms, s->token);
	s->connecting = true;
	s->kind = -1;
	s->setting_kind = false;
	s->pg = PQconnectStartParams(keys, values, 0);
	if (PQstatus(s->pg) == CONNECTION_BAD) {
		kernel_arm(s->timer, RECONNECT_US);
		return;
	}
	session_wait(s, EV_WRITE);
}

/** Reconnects through a random VM, as a load balancer would choose it. */
static void session_reconnect(struct session *s, int64_t after_us)
{
	s->vm = (unsigned)(random_bits() % s->l->plan.n_vms);
	kernel_arm(s->timer, after_us);
}

static void session_idle(struct session *s)
{
	struct queued_request *w = TAILQ_FIRST(&s->t->queue);

	if (w != NULL) {
		struct load_request r = w->request;

		TAILQ_REMOVE(&s->t->queue, w, link);
		g_free(w);
		session_start(s, &r);
		return;
	}
	TAILQ_INSERT_TAIL(&s->t->idle, s, link);
}

static void request_end(struct load *l, const struct load_request *r)
{
	g_array_append_val(l->requests, *r);
	l->unanswered--;
}

static enum load_outcome session_outcome(const struct session *s)
{
	if (!s->failed)
		return LOAD_ACKED;
	if (strcmp(s->sqlstate, "53300") == 0)
		return LOAD_OVER_RATE;
	if (strcmp(s->detail, "not run") == 0)
		return LOAD_REFUSED;
	if (strcmp(s->sqlstate, "08007") == 0 || s->sqlstate[0] == '\0')
		return LOAD_UNKNOWN;
	return LOAD_ERROR;
}

static void session_request_done(struct session *s)
{
	const struct load_kind *kind = &s->l->plan.kind[s->request.kind];
	const char *token = PQparameterStatus(s->pg, "mangoloom.session");

	s->request.done_us = now_us() - s->l->start_us;
	s->request.outcome = session_outcome(s);
	if (s->failed && g_getenv("MANGOLOAD_VERBOSE") != NULL)
		printf("%ld ms: %s %s: %s, %s\n", (long)(s->request.done_us / 1000),
		       s->t->team->name, kind->name, s->sqlstate, s->detail);
	if (s->request.outcome == LOAD_ACKED && kind->write)
		s->written_counter++;
	s->request.stale = s->request.outcome == LOAD_ACKED && s->reads_counter &&
			   s->read_counter < s->written_counter;
	if (token != NULL)
		g_strlcpy(s->token, token, sizeof(s->token));
	request_end(s->l, &s->request);
	s->busy = false;
	if (PQstatus(s->pg) == CONNECTION_BAD || strcmp(s->sqlstate, "57P01") == 0)
		session_reconnect(s, RECONNECT_US);
	else if (uniform() < s->l->plan.roam)
		session_reconnect(s, 0);
	else
		session_idle(s);
}

static void session_handle_result(struct session *s, PGresult *r)
{
	const char *field;

	if (PQresultStatus(r) == PGRES_TUPLES_OK && PQntuples(r) > 0)
		s->read_counter = (unsigned)strtoul(PQgetvalue(r, 0, 0), NULL, 10);
	if (PQresultStatus(r) != PGRES_FATAL_ERROR || s->failed)
		return;
	s->failed = true;
	field = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	g_strlcpy(s->sqlstate, field != NULL ? field : "", sizeof(s->sqlstate));
	field = PQresultErrorField(r, PG_DIAG_MESSAGE_DETAIL);
	g_strlcpy(s->detail, field != NULL ? field : "", sizeof(s->detail));
}

static void session_connected(struct session *s, PostgresPollingStatusType status)
{
	switch (status) {
	case PGRES_POLLING_READING:
		session_wait(s, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		session_wait(s, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		s->connecting = false;
		session_wait(s, EV_READ | EV_PERSIST);
		session_idle(s);
		return;
	default:
		session_disconnect(s);
		session_reconnect(s, RECONNECT_US);
	}
}

static void session_io(evutil_socket_t fd, short what, void *arg)
{
	struct session *s = arg;
	bool alive;
	PGresult *r;

	if (s->connecting) {
		session_connected(s, PQconnectPoll(s->pg));
		return;
	}
	alive = PQconsumeInput(s->pg) && PQstatus(s->pg) != CONNECTION_BAD;
	if (!s->busy) {
		/* The server closed an idle connection. */
		if (!alive) {
			TAILQ_REMOVE(&s->t->idle, s, link);
			session_disconnect(s);
			session_reconnect(s, RECONNECT_US);
		}
		return;
	}
	while (!PQisBusy(s->pg)) {
		r = PQgetResult(s->pg);
		if (r == NULL) {
			if (s->setting_kind)
				session_kind_set(s);
			else
				session_request_done(s);
			return;
		}
		session_handle_result(s, r);
		PQclear(r);
	}
}

static void session_send(struct session *s, const char *sql)
{
	if (PQsendQuery(s->pg, sql))
		return;
	s->failed = true;
	g_strlcpy(s->detail, "not run", sizeof(s->detail));
	session_request_done(s);
}

/** Handles the result of SET mangoloom.kind: sends the request, or ends it with the error. */
static void session_kind_set(struct session *s)
{
	s->setting_kind = false;
	if (s->failed) {
		session_request_done(s);
		return;
	}
	s->kind = (int)s->request.kind;
	session_send(s, s->sql);
}

static void session_start(struct session *s, const struct load_request *r)
{
	const struct load_plan *p = &s->l->plan;
	const struct load_kind *kind = &p->kind[r->kind];
	const char *team = s->t->team->name;
	char sql[TEXT_SIZE];

	s->request = *r;
	s->busy = true;
	s->failed = false;
	s->reads_counter = !kind->write && s->written_counter > 0;
	s->read_counter = 0;
	s->sqlstate[0] = '\0';
	s->detail[0] = '\0';
	if (kind->write)
		snprintf(sql, sizeof(sql),
			 "INSERT INTO %s VALUES ('%s-%u', 'x'); INSERT INTO sessions VALUES "
			 "('%s-%u', '%u')",
			 p->table, team, r->number, team, s->number, s->written_counter + 1);
	else
		snprintf(sql, sizeof(sql), "SELECT value FROM sessions WHERE key = '%s-%u'", team,
			 s->number);
	g_strlcpy(s->sql, sql, sizeof(s->sql));
	if (s->kind == (int)r->kind) {
		session_send(s, s->sql);
		return;
	}
	/*
	 * The kind of a request is a setting of the session. A SET, which the proxy executes
	 * itself, is sent ahead of the request.
	 */
	s->setting_kind = true;
	snprintf(sql, sizeof(sql), "SET mangoloom.kind = '%s'", kind->name);
	session_send(s, sql);
}

/* Arrivals */

static double team_arrivals(const struct load_team *t, int64_t at_us)
{
	int64_t ms = at_us / USEC_PER_MSEC;

	return ms >= t->surge_from_ms && ms < t->surge_until_ms ? t->arrivals * t->surge
								: t->arrivals;
}

static void request_arrive(struct team_run *t)
{
	struct load *l = t->l;
	struct load_request r = {.team = t->index,
				 .kind = pick_kind(&l->plan),
				 .due_us = (int64_t)t->next_arrival_us};
	struct session *s = TAILQ_FIRST(&t->idle);
	struct queued_request *w;

	if (l->plan.kind[r.kind].write)
		r.number = t->writes++;
	l->unanswered++;
	if (s != NULL) {
		TAILQ_REMOVE(&t->idle, s, link);
		session_start(s, &r);
		return;
	}
	w = g_new0(struct queued_request, 1);
	w->request = r;
	TAILQ_INSERT_TAIL(&t->queue, w, link);
}

static void on_arrival(evutil_socket_t fd, short what, void *arg)
{
	struct team_run *t = arg;
	int64_t now = now_us() - t->l->start_us;
	double rate;

	while ((int64_t)t->next_arrival_us <= now &&
	       (int64_t)t->next_arrival_us < t->l->plan.seconds * USEC_PER_SEC) {
		request_arrive(t);
		rate = team_arrivals(t->team, (int64_t)t->next_arrival_us);
		t->next_arrival_us +=
			-log(uniform()) / (rate > 0.001 ? rate : 0.001) * (double)USEC_PER_SEC;
	}
	if ((int64_t)t->next_arrival_us < t->l->plan.seconds * USEC_PER_SEC)
		kernel_arm(t->arrival, MAX((int64_t)t->next_arrival_us - now, 0));
}

/* Faults */

struct fault_run {
	const struct load_fault *fault;
};

static void on_fault(evutil_socket_t fd, short what, void *arg)
{
	const struct load_fault *f = ((struct fault_run *)arg)->fault;
	char *text = NULL;
	long pid;

	if (g_file_get_contents(f->pid_file, &text, NULL, NULL)) {
		pid = strtol(text, NULL, 10);
		if (pid > 1)
			kill((pid_t)pid, load_signal_number(f->signal));
		printf("fault at %u ms: signal to the process of %s\n", f->at_ms, f->pid_file);
	}
	g_free(text);
	g_free(arg);
}

static void on_end(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;

	l->ended = true;
	event_base_loopbreak(l->kernel->base);
}

static void team_start(struct load *l, unsigned i)
{
	struct team_run *t = g_new0(struct team_run, 1);
	unsigned j;

	t->l = l;
	t->index = i;
	t->team = &l->plan.team[i];
	TAILQ_INIT(&t->idle);
	TAILQ_INIT(&t->queue);
	t->arrival = event_new(l->kernel->base, -1, 0, on_arrival, t);
	for (j = 0; j < t->team->sessions; j++) {
		struct session *s = g_new0(struct session, 1);

		s->l = l;
		s->t = t;
		s->number = j;
		s->vm = j % l->plan.n_vms;
		s->timer = event_new(l->kernel->base, -1, 0, session_connect, s);
		kernel_arm(s->timer, 0);
	}
	kernel_arm(t->arrival, 0);
}

void load_run(struct load *l)
{
	struct event *end = event_new(l->kernel->base, -1, 0, on_end, l);
	unsigned i;

	l->start_us = now_us();
	for (i = 0; i < l->plan.n_teams; i++)
		team_start(l, i);
	for (i = 0; i < l->plan.n_faults; i++) {
		struct fault_run *f = g_new0(struct fault_run, 1);

		f->fault = &l->plan.fault[i];
		kernel_arm(event_new(l->kernel->base, -1, 0, on_fault, f),
			   f->fault->at_ms * USEC_PER_MSEC);
	}
	kernel_arm(end, l->plan.seconds * USEC_PER_SEC + DRAIN_US);
	event_base_dispatch(l->kernel->base);
	event_free(end);
}

/* Counters of the daemons */

struct counter_query {
	struct load *l;
	const char *name;
	unsigned unanswered;
	int64_t sum;
};

static void counter_received(enum rpc_status status, const void *res, void *arg)
{
	struct counter_query *a = arg;
	char *wanted = g_strdup_printf("\"%s\":", a->name);
	const char *at;

	if (status == RPC_DONE) {
		at = strstr(((const ml_status_res *)res)->json, wanted);
		if (at != NULL)
			a->sum = MAX(a->sum, 0) + strtoll(at + strlen(wanted), NULL, 10);
	}
	g_free(wanted);
	if (--a->unanswered == 0)
		event_base_loopbreak(a->l->kernel->base);
}

int64_t load_counter(struct load *l, const char *name)
{
	struct counter_query a = {.l = l, .name = name, .sum = -1};
	struct rpc *rpc;
	unsigned i;

	if (l->plan.n_rpc == 0)
		return -1;
	rpc = rpc_create(l->kernel);
	a.unanswered = l->plan.n_rpc;
	for (i = 0; i < l->plan.n_rpc; i++)
		rpc_start(rpc, l->plan.rpc[i], ML_STATUS, NULL, STATUS_TIMEOUT_US, counter_received,
			  &a);
	event_base_dispatch(l->kernel->base);
	rpc_free(rpc);
	return a.sum;
}
