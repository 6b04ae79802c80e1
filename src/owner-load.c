/** @file owner-load.c Load of the members of a group, exchanged between owner and readers. */
#include "owner-load.h"

#include "log.h"
#include "owner.h"
#include "statement.h"

#include <math.h>
#include <string.h>

/** Age above which a report, a use or a measured time is not used any more. */
#define LOAD_FRESH_US (1 * USEC_PER_SEC)
/** Interval of the requests of a reader while it serves reads. */
#define LOAD_INTERVAL_US (250 * USEC_PER_MSEC)
/** How long after its last read a VM goes on asking. */
#define LOAD_READING_US (1 * USEC_PER_SEC)
#define LOAD_TIMEOUT_US (250 * USEC_PER_MSEC)
/**
 * A VM that does not answer so many requests in a row, but requests in the old way, is of an older
 * build. One request may be lost.
 */
#define LOAD_UNANSWERED_MAX 2
/**
 * The same for a VM that has answered requests. It may be replaced by an older build, but more
 * often the link to it is slow for a while, and without requests its readers lose their grants.
 */
#define LOAD_UNANSWERED_KNOWN_MAX 12
/** How long a VM of an older build is not asked for the load. */
#define LOAD_OLD_BUILD_US (10 * USEC_PER_SEC)
/** Weight of a new sample in the moving averages of times, as in owner-job.c. */
#define LOAD_ALPHA 0.1
/**
 * Weight of a tick (20 ms) in the average of the statements in progress. The count at one moment
 * differs from it by more than a slot, and readers use it for LOAD_INTERVAL_US.
 */
#define LOAD_USE_ALPHA 0.2
/**
 * Lower bound of the part of a measured time that is spent in the member: the average round trip
 * may come from busier moments than the statement.
 */
#define LOAD_SERVICE_MIN 0.1

static const struct settings *settings_of(const struct owner *o)
{
	return o->service.kernel->settings;
}

bool load_placement(const struct owner *o)
{
	return settings_of(o)->member_load;
}

/** Whether the message is used: part of the budget of connections travels with it too. */
static bool is_used(const struct owner *o)
{
	return settings_of(o)->member_load || settings_of(o)->connection_budget;
}

static void average(double *value, double sample, double alpha)
{
	*value = *value > 0 ? *value + alpha * (sample - *value) : sample;
}

/** Fraction by which this VM's pauses between probe statements differ from other VMs'. */
static double spread_of(const struct owner_member *m)
{
	return (double)(rank_hash(settings_of(m->g->o)->name) % 1024) / 1024;
}

/* Measuring */

static bool is_fresh(int64_t at_us, int64_t now)
{
	return at_us != 0 && now - at_us <= LOAD_FRESH_US;
}

/** Returns the time of a statement in the member, or 0 if it is not known. */
static double own_service_us(const struct owner_member *m, unsigned class, int64_t now)
{
	const struct load_time *t = &m->load.time[class];

	if (!is_fresh(t->updated_us, now))
		return 0;
	return MAX(t->us - m->load.hop_us, t->us * LOAD_SERVICE_MIN);
}

static double reported_service_us(const struct owner_member *m, unsigned class, int64_t now)
{
	return is_fresh(m->load.report.received_us, now) ? m->load.report.service_us[class] : 0;
}

/** Returns the time of a class in the member by any recent source, or 0. */
static double known_service_us(const struct owner_member *m, unsigned class, int64_t now)
{
	double us = own_service_us(m, class, now);

	return us > 0 ? us : reported_service_us(m, class, now);
}

/** Returns the time of the class on the fastest other member, with its round trip; or 0. */
static double fastest_peer_us(const struct owner_member *m, unsigned class, int64_t now)
{
	const struct owner_group *g = m->g;
	double best = 0;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *peer = &g->member[i];
		double us = peer != m && peer->listed && !peer->down
				    ? known_service_us(peer, class, now)
				    : 0;

		if (us > 0 && (best == 0 || us + peer->load.hop_us < best))
			best = us + peer->load.hop_us;
	}
	return best;
}

/** Returns the mean time of the class on the other members, or 0. */
static double mean_of_peers_us(const struct owner_member *m, unsigned class, int64_t now)
{
	const struct owner_group *g = m->g;
	double sum = 0;
	unsigned i, n = 0;

	for (i = 0; i < g->n; i++) {
		double us = &g->member[i] != m ? known_service_us(&g->member[i], class, now) : 0;

		sum += us;
		n += us > 0 ? 1 : 0;
	}
	return n > 0 ? sum / n : 0;
}

static void log_health(const struct owner_member *m, const char *why, const struct place_sample *s)
{
	const struct place_health *h = &m->load.health;

	log_info(h->unsteady ? "member-unsteady" : "member-steady", LOG_STR("pool", m->g->pool),
		 LOG_STR("member", m->conf.name), LOG_STR("why", why), LOG_NUM("us", s->us),
		 LOG_NUM("peer_us", s->peer_us), LOG_NUM("pause_ms", h->pause_us / USEC_PER_MSEC));
}

static void record(struct owner_member *m, const struct place_sample *s, int64_t now)
{
	struct place_health *h = &m->load.health;
	unsigned i;

	if (!load_placement(m->g->o) || !place_health_record(h, s, spread_of(m), now))
		return;
	log_health(m, s->failed ? "failures" : h->unsteady ? "slow" : "fast", s);
	/* Times from before would keep the load away from a member that is fast again. */
	for (i = 0; !h->unsteady && i < STAT_CLASSES; i++)
		m->load.time[i].updated_us = 0;
}

static void suspect(struct owner_member *m, const char *why, int64_t now)
{
	const struct place_sample none = {0};

	if (load_placement(m->g->o) && place_health_suspect(&m->load.health, spread_of(m), now))
		log_health(m, why, &none);
}

/** Whether the statement is one that any member may serve, so that its times can be compared. */
static bool is_comparable(const struct owner_job *job)
{
	const ml_run_args *a = job->args;

	return job->tx == NULL && a->begin == 0 &&
	       !statement_writes((enum statement_op)a->op, a->write);
}

void load_sent(const struct owner_job *job, struct owner_member *m, int64_t now)
{
	if (is_comparable(job))
		place_health_sent(&m->load.health, spread_of(m), now);
}

void load_failed(struct owner_member *m, int64_t now)
{
	const struct place_sample s = {.failed = true};

	record(m, &s, now);
}

/**
 * Records the failures on other members of a statement that @a m has run. A statement that fails on
 * every member is the caller's error.
 */
static void record_refuted(const struct owner_job *job, const struct owner_member *m, int64_t now)
{
	struct owner_group *g = job->g;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (i != m->index && (job->load.failed_on & (1U << i)))
			load_failed(&g->member[i], now);
	}
}

void load_answered(struct owner_job *job, enum member_result result, int64_t us, int64_t now)
{
	struct owner_member *m = job->conn->m;
	unsigned class = MIN(job->args->priority, STAT_CLASSES - 1);
	struct load_time *t = &m->load.time[class];
	double reported = reported_service_us(m, class, now);
	struct place_sample s = {.us = us, .peer_us = fastest_peer_us(m, class, now)};

	if (!is_comparable(job))
		return;
	if (result == MEMBER_FAILED || result == MEMBER_TIMEOUT)
		job->load.failed_on |= (uint8_t)(1U << m->index);
	if (result != MEMBER_DONE)
		return;
	record_refuted(job, m, now);
	if (!is_fresh(t->updated_us, now))
		t->us = 0;
	average(&t->us, (double)us, LOAD_ALPHA);
	t->updated_us = now;
	/* A reader does not probe members: its round trip is what the owner's time does not
	 * explain.
	 */
	if (!owner_group_is_own(m->g) && reported > 0)
		average(&m->load.hop_us, MAX((double)us - reported, 1), LOAD_ALPHA);
	record(m, &s, now);
}

void load_probed(struct owner_member *m, int64_t us)
{
	average(&m->load.hop_us, (double)us, LOAD_ALPHA);
}

void load_opened(struct owner_member *m, int64_t us)
{
	average(&m->load.opening_us, (double)us, LOAD_ALPHA);
}

void load_member_up(struct owner_member *m, int64_t now)
{
	suspect(m, "was-down", now);
}

/* Use of the load */

/** Returns the statements of all readers in progress on @a m, as they last reported. */
static unsigned readers_in_flight(const struct owner_member *m, int64_t now)
{
	unsigned i, n = 0;

	for (i = 0; i < LOAD_READERS_MAX; i++)
		n += is_fresh(m->load.use[i].updated_us, now) ? m->load.use[i].in_flight : 0;
	return n;
}

void load_view(const struct owner_member *m, unsigned priority, int64_t now, struct load_view *v)
{
	const struct load_member *l = &m->load;
	unsigned class = MIN(priority, STAT_CLASSES - 1);

	memset(v, 0, sizeof(*v));
	if (owner_group_is_own(m->g))
		v->others = readers_in_flight(m, now);
	else if (is_fresh(l->report.received_us, now))
		v->others = l->report.others;
	v->hop_us = l->hop_us;
	v->service_us = known_service_us(m, class, now);
	if (v->service_us == 0)
		v->service_us = mean_of_peers_us(m, class, now);
	if (v->service_us == 0) {
		/* The time over all kinds of statements has the round trip in it. */
		v->service_us = m->service_us;
		v->hop_us = 0;
	}
	v->opening_us = l->opening_us;
	v->unsteady = l->health.unsteady;
	v->probe_due = place_health_probe_due(&l->health, now);
}

/* At the owner: the message */

/** Returns the statements that wait at this VM for @a m alone: writes for the primary. */
static unsigned waiting_for(const struct owner_member *m)
{
	const struct owner_group *g = m->g;
	const struct owner_job *job;
	unsigned i, n = 0;

	if ((int)m->index != g->primary || g->queues == NULL)
		return 0;
	for (i = 0; i < OWNER_PRIORITIES; i++)
		n += g->queues->write.class[i].length;
	TAILQ_FOREACH(job, &g->held, link)
		n += job->needs_primary ? 1 : 0;
	return n;
}

/**
 * Records what the reader uses. @param granted connections that it may hold; it states what it
 * wants, which may be more than that
 */
static void use_record(struct owner_member *m, const char *vm, const ml_member_want *w,
		       unsigned granted, int64_t now)
{
	struct load_use *use = &m->load.use[0];
	unsigned i;

	for (i = 0; i < LOAD_READERS_MAX; i++) {
		struct load_use *u = &m->load.use[i];

		if (u->updated_us != 0 && strcmp(u->vm, vm) == 0) {
			use = u;
			break;
		}
		if (u->updated_us < use->updated_us)
			use = u;
	}
	g_strlcpy(use->vm, vm, sizeof(use->vm));
	use->in_flight = w->in_flight;
	use->connections = budget_active(m) ? MIN(w->connections, MAX(granted, BUDGET_UNGRANTED))
					    : w->connections;
	use->updated_us = now;
}

static unsigned connections_left(const struct owner_member *m, int64_t now)
{
	unsigned i, used = m->n_conns;

	for (i = 0; i < LOAD_READERS_MAX; i++)
		used += is_fresh(m->load.use[i].updated_us, now) ? m->load.use[i].connections : 0;
	return m->conf.connections > used ? m->conf.connections - used : 0;
}

static const ml_member_want *want_of(const ml_member_load_args *a, const char *member)
{
	unsigned i;

	for (i = 0; i < a->wants.wants_len; i++) {
		if (strcmp(a->wants.wants_val[i].member, member) == 0)
			return &a->wants.wants_val[i];
	}
	return NULL;
}

static ml_member_load load_of(struct owner_member *m, const ml_member_load_args *a, int64_t now)
{
	const ml_member_want *w = want_of(a, m->conf.name);
	ml_member_load l = {.member = m->conf.name, .unsteady = m->load.health.unsteady || m->down};
	unsigned i;

	if (w != NULL) {
		l.granted = budget_grant(m, a->vm, w->connections, now);
		use_record(m, a->vm, w, l.granted, now);
	}
	l.in_flight = (u_int)lround(m->load.in_flight) + readers_in_flight(m, now);
	l.waiting = waiting_for(m);
	l.connections_left = connections_left(m, now);
	for (i = 0; i < STAT_CLASSES; i++)
		l.service_us[i] = (u_int)own_service_us(m, i, now);
	return l;
}

static void load_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_member_load_args *a = args;
	struct owner_group *g = owner_group_find(owner, a->pool);
	ml_member_load_res res = {.primary = ""};
	ml_member_load loads[GROUP_MEMBERS_MAX];
	int64_t now = now_us();
	unsigned i;

	if (g != NULL)
		res.owner_revision = owner_known_revision(owner, g->pool);
	if (g == NULL || !owner_group_is_own(g) || g->member == NULL) {
		rpc_reply(rq, &res);
		return;
	}
	res.serving = owner_group_may_send(g);
	if (g->marks.newest.pos.term != 0) {
		if (g->primary >= 0)
			res.primary = g->member[g->primary].conf.name;
		res.mark = (ml_pos){g->marks.newest.pos.term, g->marks.newest.pos.lsn};
		res.mark_age_us = (u_quad_t)(now - g->marks.newest.asked_us);
	}
	res.loads.loads_val = loads;
	for (i = 0; i < g->n; i++) {
		if (g->member[i].listed)
			loads[res.loads.loads_len++] = load_of(&g->member[i], a, now);
	}
	rpc_reply(rq, &res);
}

void load_start(struct owner *o)
{
	if (is_used(o))
		rpc_serve(rpc_of(o->service.kernel), ML_MEMBER_LOAD, load_serve, o);
}

/* At a reader: the message */

/** A request to the owner that is in flight. */
struct load_query {
	struct owner *o;
	char pool[NAME_SIZE];
	int64_t asked_us;
};

static void report_take(struct owner_member *m, const ml_member_load *l, int64_t asked_us,
			int64_t now)
{
	struct load_report *r = &m->load.report;
	unsigned i, mine = MIN(m->load.reported_in_flight, l->in_flight);

	if (l->unsteady && !r->unsteady)
		suspect(m, "owner-reports", now);
	r->received_us = now;
	r->others = l->in_flight - mine + l->waiting;
	r->unsteady = l->unsteady;
	for (i = 0; i < STAT_CLASSES; i++)
		r->service_us[i] = l->service_us[i];
	budget_granted(m, l->granted, asked_us);
}

static void reports_take(struct owner_group *g, const ml_member_load_res *res, int64_t asked_us,
			 int64_t now)
{
	unsigned i, j;

	for (i = 0; i < res->loads.loads_len; i++) {
		for (j = 0; j < g->n; j++) {
			if (strcmp(g->member[j].conf.name, res->loads.loads_val[i].member) == 0)
				report_take(&g->member[j], &res->loads.loads_val[i], asked_us, now);
		}
	}
}

static void load_ask_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_member_load_res *res = arg_res;
	struct load_query *q = arg;
	struct owner_group *g = owner_group_find(q->o, q->pool);
	int64_t now = now_us();

	if (g != NULL)
		g->load.pending = false;
	if (g != NULL && status == RPC_DONE) {
		g->load.unanswered = 0;
		g->load.answered = true;
		if (res->primary[0] != '\0')
			g_strlcpy(g->reported_primary, res->primary, sizeof(g->reported_primary));
		owner_update_mark(q->o, q->pool, (struct pos){res->mark.term, res->mark.lsn},
				  q->asked_us - (int64_t)res->mark_age_us);
		if (!owner_group_is_own(g))
			reports_take(g, res, q->asked_us, now);
	} else if (g != NULL) {
		g->load.unanswered++;
		g->load.old_way = true;
		claim_ask_mark(g, now);
	}
	g_free(q);
}

void load_answered_old_way(struct owner_group *g, int64_t now)
{
	if (g->load.unanswered <
	    (g->load.answered ? LOAD_UNANSWERED_KNOWN_MAX : LOAD_UNANSWERED_MAX))
		return;
	g->load.unanswered = 0;
	g->load.old_until_us = now + LOAD_OLD_BUILD_US;
	log_info("member-load-not-answered", LOG_STR("pool", g->pool),
		 LOG_STR("peer", g->load.address));
}

bool load_ask(struct owner_group *g, const char *address, int64_t now)
{
	ml_member_want wants[GROUP_MEMBERS_MAX];
	ml_member_load_args args = {.pool = g->pool};
	bool old_way = g->load.old_way;
	struct load_query *q;
	unsigned i;

	if (!is_used(g->o))
		return false;
	if (g->load.pending)
		return true;
	g->load.old_way = false;
	if (strcmp(address, g->load.address) != 0) {
		g->load.old_until_us = 0;
		g->load.unanswered = 0;
		g->load.answered = false;
	}
	if (old_way || (now < g->load.old_until_us && strcmp(address, g->load.address) == 0))
		return false;
	owner_group_use(g);
	args.vm = (char *)settings_of(g->o)->name;
	args.data_center = (char *)settings_of(g->o)->data_center;
	args.wants.wants_val = wants;
	for (i = 0; i < g->n; i++) {
		struct owner_member *m = &g->member[i];

		if (!m->listed)
			continue;
		m->load.reported_in_flight = (unsigned)lround(m->load.in_flight);
		wants[args.wants.wants_len++] = (ml_member_want){
			.member = m->conf.name,
			.connections = budget_active(m) ? budget_want(m, now) : m->n_conns,
			.in_flight = m->load.reported_in_flight};
	}
	g->load.pending = true;
	g->load.asked_us = now;
	g_strlcpy(g->load.address, address, sizeof(g->load.address));
	q = g_new0(struct load_query, 1);
	q->o = g->o;
	q->asked_us = now;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	rpc_start(rpc_of(g->o->service.kernel), address, ML_MEMBER_LOAD, &args, LOAD_TIMEOUT_US,
		  load_ask_answered, q);
	return true;
}

/** Whether this VM reads from the members, or holds connections to them that are granted. */
static bool needs_reports(const struct owner_group *g, int64_t now)
{
	return g->serves_reads &&
	       (settings_of(g->o)->connection_budget || now - g->last_read_us < LOAD_READING_US);
}

void load_tick(struct owner_group *g, int64_t now)
{
	unsigned i;

	if (!is_used(g->o))
		return;
	for (i = 0; i < g->n; i++) {
		struct load_member *l = &g->member[i].load;

		l->in_flight += LOAD_USE_ALPHA * (g->member[i].in_flight - l->in_flight);
	}
	if (!owner_group_is_own(g) && needs_reports(g, now) &&
	    now - g->load.asked_us >= LOAD_INTERVAL_US)
		claim_ask_mark(g, now);
}
