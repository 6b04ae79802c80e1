/** @file mangoload-run.c Sessions, and the requests that arrive for them. */
#include "mangoload.h"
#include "net.h"

#include "rpc.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Time after the last arrival for the last answers. */
#define SETTLE_US (3 * USEC_PER_SEC)
#define RECONNECT_US (100 * USEC_PER_MSEC)
#define STATUS_TIMEOUT_US (2 * USEC_PER_SEC)
#define TEXT_SIZE 512

struct team_run;

/** One caller's session. Its own counter shows whether it reads what it wrote. */
struct session {
	TAILQ_ENTRY(session) link; /**< idle ones */
	struct load *l;
	struct team_run *t;
	unsigned number, vm;
	PGconn *pg;
	struct event *io, *timer;
	bool connecting, busy;
	bool setting; /**< the kind is being set, before the request itself */
	int kind;     /**< that is set; -1 for none */
	char token[TEXT_SIZE];
	unsigned written; /**< its counter, as last acknowledged */
	struct load_request request;
	bool failed; /**< the answer was an error */
	bool own;    /**< the running read asks for its own counter */
	unsigned saw;
	char state[6], detail[64];
	char sql[TEXT_SIZE]; /**< of the request */
};
TAILQ_HEAD(sessions, session);

/** A request that waits for a session. */
struct waiting {
	TAILQ_ENTRY(waiting) link;
	struct load_request request;
};
TAILQ_HEAD(waitings, waiting);

struct team_run {
	struct load *l;
	unsigned index;
	const struct load_team *team;
	struct sessions idle;
	struct waitings waiting;
	struct event *arrival;
	unsigned writes;
	double next_us;
};

static void session_start(struct session *s, const struct load_request *r);
static void session_set(struct session *s);

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

static void session_drop(struct session *s)
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

	session_drop(s);
	if (s->l->ended)
		return;
	values[1] = net_split(p->vm[s->vm], host);
	snprintf(options, sizeof(options), "-c mangoloom.deadline_ms=%u -c mangoloom.session=%s",
		 p->deadline_ms, s->token);
	s->connecting = true;
	s->kind = -1;
	s->setting = false;
	s->pg = PQconnectStartParams(keys, values, 0);
	if (PQstatus(s->pg) == CONNECTION_BAD) {
		kernel_arm(s->timer, RECONNECT_US);
		return;
	}
	session_wait(s, EV_WRITE);
}

/** Go on elsewhere: the balancer picks another VM. */
static void session_reconnect(struct session *s, int64_t after_us)
{
	s->vm = (unsigned)(random_bits() % s->l->plan.n_vms);
	kernel_arm(s->timer, after_us);
}

static void session_idle(struct session *s)
{
	struct waiting *w = TAILQ_FIRST(&s->t->waiting);

	if (w != NULL) {
		struct load_request r = w->request;

		TAILQ_REMOVE(&s->t->waiting, w, link);
		g_free(w);
		session_start(s, &r);
		return;
	}
	TAILQ_INSERT_TAIL(&s->t->idle, s, link);
}

static void request_end(struct load *l, const struct load_request *r)
{
	g_array_append_val(l->requests, *r);
	l->open--;
}

static enum load_told told_by(const struct session *s)
{
	if (!s->failed)
		return LOAD_ACKED;
	if (strcmp(s->state, "53300") == 0)
		return LOAD_OVER_RATE;
	if (strcmp(s->detail, "not run") == 0)
		return LOAD_REFUSED;
	if (strcmp(s->state, "08007") == 0 || s->state[0] == '\0')
		return LOAD_UNKNOWN;
	return LOAD_ERROR;
}

static void session_done(struct session *s)
{
	const struct load_kind *kind = &s->l->plan.kind[s->request.kind];
	const char *token = PQparameterStatus(s->pg, "mangoloom.session");

	s->request.done_us = now_us() - s->l->start_us;
	s->request.told = told_by(s);
	if (s->failed && g_getenv("MANGOLOAD_VERBOSE") != NULL)
		printf("%ld ms: %s %s: %s, %s\n", (long)(s->request.done_us / 1000),
		       s->t->team->name, kind->name, s->state, s->detail);
	if (s->request.told == LOAD_ACKED && kind->write)
		s->written++;
	s->request.stale = s->request.told == LOAD_ACKED && s->own && s->saw < s->written;
	if (token != NULL)
		g_strlcpy(s->token, token, sizeof(s->token));
	request_end(s->l, &s->request);
	s->busy = false;
	if (PQstatus(s->pg) == CONNECTION_BAD || strcmp(s->state, "57P01") == 0)
		session_reconnect(s, RECONNECT_US);
	else if (uniform() < s->l->plan.roam)
		session_reconnect(s, 0);
	else
		session_idle(s);
}

static void take_result(struct session *s, PGresult *r)
{
	const char *field;

	if (PQresultStatus(r) == PGRES_TUPLES_OK && PQntuples(r) > 0)
		s->saw = (unsigned)strtoul(PQgetvalue(r, 0, 0), NULL, 10);
	if (PQresultStatus(r) != PGRES_FATAL_ERROR || s->failed)
		return;
	s->failed = true;
	field = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	g_strlcpy(s->state, field != NULL ? field : "", sizeof(s->state));
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
		session_drop(s);
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
		/* Told to go between two requests. */
		if (!alive) {
			TAILQ_REMOVE(&s->t->idle, s, link);
			session_drop(s);
			session_reconnect(s, RECONNECT_US);
		}
		return;
	}
	while (!PQisBusy(s->pg)) {
		r = PQgetResult(s->pg);
		if (r == NULL) {
			if (s->setting)
				session_set(s);
			else
				session_done(s);
			return;
		}
		take_result(s, r);
		PQclear(r);
	}
}

static void session_send(struct session *s, const char *sql)
{
	if (PQsendQuery(s->pg, sql))
		return;
	s->failed = true;
	g_strlcpy(s->detail, "not run", sizeof(s->detail));
	session_done(s);
}

/** The kind is set, or was refused. */
static void session_set(struct session *s)
{
	s->setting = false;
	if (s->failed) {
		session_done(s);
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
	s->own = !kind->write && s->written > 0;
	s->saw = 0;
	s->state[0] = '\0';
	s->detail[0] = '\0';
	if (kind->write)
		snprintf(sql, sizeof(sql),
			 "INSERT INTO %s VALUES ('%s-%u', 'x'); INSERT INTO sessions VALUES "
			 "('%s-%u', '%u')",
			 p->table, team, r->number, team, s->number, s->written + 1);
	else
		snprintf(sql, sizeof(sql), "SELECT value FROM sessions WHERE key = '%s-%u'", team,
			 s->number);
	g_strlcpy(s->sql, sql, sizeof(s->sql));
	if (s->kind == (int)r->kind) {
		session_send(s, s->sql);
		return;
	}
	/*
	 * The kind is a setting of the session; it is sent ahead, in a statement that the proxy
	 * carries out itself.
	 */
	s->setting = true;
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

static void arrive(struct team_run *t)
{
	struct load *l = t->l;
	struct load_request r = {
		.team = t->index, .kind = pick_kind(&l->plan), .due_us = (int64_t)t->next_us};
	struct session *s = TAILQ_FIRST(&t->idle);
	struct waiting *w;

	if (l->plan.kind[r.kind].write)
		r.number = t->writes++;
	l->open++;
	if (s != NULL) {
		TAILQ_REMOVE(&t->idle, s, link);
		session_start(s, &r);
		return;
	}
	w = g_new0(struct waiting, 1);
	w->request = r;
	TAILQ_INSERT_TAIL(&t->waiting, w, link);
}

static void on_arrival(evutil_socket_t fd, short what, void *arg)
{
	struct team_run *t = arg;
	int64_t now = now_us() - t->l->start_us;
	double rate;

	while ((int64_t)t->next_us <= now &&
	       (int64_t)t->next_us < t->l->plan.seconds * USEC_PER_SEC) {
		arrive(t);
		rate = team_arrivals(t->team, (int64_t)t->next_us);
		t->next_us +=
			-log(uniform()) / (rate > 0.001 ? rate : 0.001) * (double)USEC_PER_SEC;
	}
	if ((int64_t)t->next_us < t->l->plan.seconds * USEC_PER_SEC)
		kernel_arm(t->arrival, MAX((int64_t)t->next_us - now, 0));
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
	TAILQ_INIT(&t->waiting);
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
	kernel_arm(end, l->plan.seconds * USEC_PER_SEC + SETTLE_US);
	event_base_dispatch(l->kernel->base);
	event_free(end);
}

/* Counters of the daemons */

struct counter_ask {
	struct load *l;
	const char *name;
	unsigned open;
	int64_t sum;
};

static void counter_told(enum rpc_status status, const void *res, void *arg)
{
	struct counter_ask *a = arg;
	char *wanted = g_strdup_printf("\"%s\":", a->name);
	const char *at;

	if (status == RPC_DONE) {
		at = strstr(((const ml_status_res *)res)->json, wanted);
		if (at != NULL)
			a->sum = MAX(a->sum, 0) + strtoll(at + strlen(wanted), NULL, 10);
	}
	g_free(wanted);
	if (--a->open == 0)
		event_base_loopbreak(a->l->kernel->base);
}

int64_t load_counter(struct load *l, const char *name)
{
	struct counter_ask a = {.l = l, .name = name, .sum = -1};
	struct rpc *rpc;
	unsigned i;

	if (l->plan.n_rpc == 0)
		return -1;
	rpc = rpc_create(l->kernel);
	a.open = l->plan.n_rpc;
	for (i = 0; i < l->plan.n_rpc; i++)
		rpc_start(rpc, l->plan.rpc[i], ML_STATUS, NULL, STATUS_TIMEOUT_US, counter_told,
			  &a);
	event_base_dispatch(l->kernel->base);
	rpc_free(rpc);
	return a.sum;
}
