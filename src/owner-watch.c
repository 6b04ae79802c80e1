/** @file owner-watch.c Probes of the members of a group, and failure detection of its primary. */
#include "owner.h"

#include "adapter.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** Team name of probe connections, which no team may have. */
#define WATCH_NAME "mangoloom"
/**
 * Interval of probes of the primary, counted from its last answer. Its position is the mark of
 * bounded reads.
 */
#define PRIMARY_PROBE_US (250 * USEC_PER_MSEC)
/**
 * Interval of probes of a replica, counted from its last answer. Its position is reported by each
 * read it serves.
 */
#define REPLICA_PROBE_US (1000 * USEC_PER_MSEC)
/** Interval of probes while a state waits for their results. */
#define FAST_PROBE_US (40 * USEC_PER_MSEC)
/** Interval of probes of a member that does not answer. */
#define DOWN_PROBE_US (150 * USEC_PER_MSEC)
/** Time limit for a probe. */
#define PROBE_TIMEOUT_US (350 * USEC_PER_MSEC)
/**
 * A replica that leaves requests unanswered for this long gets no more statements until it answers.
 */
#define REPLICA_DOWN_US (400 * USEC_PER_MSEC)

void watch_sent(struct owner_member *m, int64_t now)
{
	if (m->silent_since_us == 0)
		m->silent_since_us = now;
}

/** Whether the primary is not being replaced yet: no promotion of a successor was ordered. */
static bool is_unreplaced_primary(const struct owner_group *g)
{
	if (g->state == OWNER_SERVING)
		return true;
	return g->planned && g->state >= OWNER_SETTLING && g->state <= OWNER_CHOOSING &&
	       choose_keeps_primary(g);
}

void watch_answered(struct owner_member *m, struct pos pos, int64_t asked_us)
{
	struct owner_group *g = m->g;
	int64_t now = now_us();

	m->last_answer_us = now;
	m->silent_since_us = 0;
	m->refused = false;
	if (pos.term != 0) {
		m->pos = pos;
		m->pos_updated_us = now;
	}
	if (m->down) {
		m->down = false;
		load_member_up(m, now);
		log_info("member-up", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name));
	}
	if ((int)m->index != g->primary)
		return;
	g->others_asked = false;
	/*
	 * Only a primary that certainly was the primary when it answered provides marks. With marks
	 * of a replaced one, reads would miss what its successor has acknowledged since.
	 */
	if (is_unreplaced_primary(g) && owner_group_may_send(g))
		marks_add(&g->marks, pos, asked_us);
}

void watch_probe_soon(struct owner_member *m)
{
	m->probe.next_us = 0;
}

void watch_probe_reconnect(struct owner_member *m)
{
	watch_close(m);
	watch_probe_soon(m);
}

void watch_close(struct owner_member *m)
{
	if (m->probe.mc != NULL)
		m->probe.mc->ops->close(m->probe.mc);
	memset(&m->probe, 0, sizeof(m->probe));
}

static void probe_failed(struct owner_member *m, const char *why)
{
	log_debug("probe-failed", LOG_STR("pool", m->g->pool), LOG_STR("member", m->conf.name),
		  LOG_STR("why", why));
	watch_close(m);
	m->observed.reached = false;
	m->observed_us = now_us();
	m->probe.next_us = m->observed_us + DOWN_PROBE_US;
}

static void on_status(struct member_conn *mc, enum member_result result,
		      const struct member_status *st, void *arg)
{
	struct owner_member *m = arg;
	int64_t asked_us = m->probe.sent_us;

	m->probe.pending = false;
	if (result == MEMBER_LOST) {
		probe_failed(m, "lost");
		return;
	}
	load_probed(m, now_us() - asked_us);
	watch_answered(m, st != NULL ? st->received : (struct pos){0}, asked_us);
	if (st == NULL)
		return;
	if (m->observed.primary != st->primary || m->observed.term != st->term)
		log_info("member-role", LOG_STR("pool", m->g->pool),
			 LOG_STR("member", m->conf.name), LOG_NUM("primary", st->primary),
			 LOG_NUM("term", st->term), LOG_NUM("lsn", st->received.lsn));
	m->observed.reached = true;
	m->observed.primary = st->primary;
	m->observed.term = st->term;
	m->observed.received = st->received;
	m->observed_us = asked_us;
}

static void probe_send(struct owner_member *m)
{
	struct owner_group *g = m->g;
	enum member_order order = MEMBER_REPORT_STATUS;

	/*
	 * A replaced primary that is reachable again must take no writes of other VMs. This VM
	 * sends no statements to it.
	 */
	if (g->state == OWNER_SERVING && m->observed.reached && m->observed.primary &&
	    (int)m->index != g->primary && m->observed.term < g->term)
		order = MEMBER_STEP_DOWN;
	m->probe.pending = true;
	m->probe.sent_us = now_us();
	watch_sent(m, m->probe.sent_us);
	m->probe.mc->ops->order(m->probe.mc, order, g->term, on_status);
}

static void on_probe_closed(struct member_conn *mc, void *arg)
{
	struct owner_member *m = arg;

	watch_close(m);
}

static void on_probe_opened(struct member_conn *mc, enum member_result result, struct pos pos,
			    void *arg)
{
	struct owner_member *m = arg;

	m->probe.pending = false;
	if (result != MEMBER_DONE) {
		/* A member that refuses a connection with MEMBER_FULL is alive. */
		if (result == MEMBER_FULL)
			watch_answered(m, pos, m->probe.sent_us);
		else
			m->refused = true;
		probe_failed(m, member_result_name(result));
		return;
	}
	m->probe.open = true;
	probe_send(m);
}

static void probe_open(struct owner_member *m)
{
	struct kernel *k = m->g->o->service.kernel;

	m->probe.pending = true;
	m->probe.sent_us = now_us();
	watch_sent(m, m->probe.sent_us);
	m->probe.mc = k->adapter->member->open(k, m->conf.address, m->g->pool, WATCH_NAME,
					       m->conf.name, on_probe_opened, on_probe_closed, m);
}

static int64_t probe_period_us(const struct owner_member *m)
{
	const struct owner_group *g = m->g;

	switch (g->state) {
	case OWNER_FINDING:
	case OWNER_CHOOSING:
	case OWNER_RECORDING:
	case OWNER_ORDERING:
		return FAST_PROBE_US;
	case OWNER_AWAITING:
		return (int)m->index == g->target ? FAST_PROBE_US : REPLICA_PROBE_US;
	case OWNER_SETTLING:
		return FAST_PROBE_US;
	default:
		break;
	}
	/*
	 * A replica that serves reads counts as alive without probes, but only a probe result makes
	 * it a candidate.
	 */
	if (g->leave_pending && !m->down)
		return FAST_PROBE_US;
	if (m->down)
		return DOWN_PROBE_US;
	return (int)m->index == g->primary ? PRIMARY_PROBE_US : REPLICA_PROBE_US;
}

/** Whether a probe is due. An answer to any other request postpones it. */
static bool probe_due(const struct owner_member *m, int64_t now)
{
	int64_t period = probe_period_us(m);

	if (now < m->probe.next_us)
		return false;
	if (m->probe.next_us == 0 || period == FAST_PROBE_US || m->down)
		return now - m->probe.sent_us >= period;
	return now - m->last_answer_us >= period && now - m->probe.sent_us >= period;
}

/**
 * Whether to probe a member that is not in the configuration because it may be a returning primary.
 * After its data centre was cut off, a primary is reachable before its entry is listed again.
 * Replacing it meanwhile would discard what it acknowledged to callers on its side of the
 * partition.
 */
static bool may_return(const struct owner_member *m)
{
	const struct owner_group *g = m->g;

	if (g->planned || m->conf.address[0] == '\0')
		return false;
	return g->state >= OWNER_FINDING && g->state < OWNER_AWAITING && g->state != OWNER_SERVING;
}

static void probe_tick(struct owner_member *m, int64_t now)
{
	if (m->probe.pending) {
		if (now - m->probe.sent_us > PROBE_TIMEOUT_US)
			probe_failed(m, "silent");
		return;
	}
	if ((!m->listed && !may_return(m)) || !probe_due(m, now))
		return;
	/* Clears a request for a probe at once, which is 0. */
	m->probe.next_us = 1;
	if (m->probe.open)
		probe_send(m);
	else
		probe_open(m);
}

/* Answering other VMs whether this VM reaches a member */

/** A connection attempt to a member on behalf of another VM. */
struct reach_attempt {
	struct rpc_request *rq;
	struct member_conn *mc;
	struct event *timer;
};

static void reach_end(struct reach_attempt *r, bool ok)
{
	ml_none res = {.ok = ok};

	rpc_reply(r->rq, &res);
	r->mc->ops->close(r->mc);
	event_free(r->timer);
	g_free(r);
}

static void reach_opened(struct member_conn *mc, enum member_result result, struct pos pos,
			 void *arg)
{
	reach_end(arg, result == MEMBER_DONE || result == MEMBER_FULL);
}

static void reach_closed(struct member_conn *mc, void *arg)
{
	reach_end(arg, false);
}

static void reach_timeout(evutil_socket_t fd, short what, void *arg)
{
	reach_end(arg, false);
}

void watch_reach_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_reach_args *a = args;
	struct owner *o = owner;
	struct kernel *k = o->service.kernel;
	const struct conf_pool *pool = conf_pool(fleet_of(k)->conf, a->pool);
	int i = conf_pool_find(pool, a->member);
	struct reach_attempt *r;

	if (i < 0) {
		ml_none res = {.ok = false};

		rpc_reply(rq, &res);
		return;
	}
	r = g_new0(struct reach_attempt, 1);
	r->rq = rq;
	r->timer = event_new(k->base, -1, 0, reach_timeout, r);
	kernel_arm(r->timer, REACH_TIMEOUT_US);
	r->mc = k->adapter->member->open(k, pool->member[i].address, a->pool, WATCH_NAME, a->member,
					 reach_opened, reach_closed, r);
}

/* Failure detection */

static void judge_primary(struct owner_group *g, int64_t now)
{
	bool relay = owner_group_uses_relay(g);
	struct owner_member *m = owner_group_primary(g);
	struct lead_silence s;

	if (m == NULL || g->state != OWNER_SERVING)
		return;
	s = (struct lead_silence){.unanswered_since_us = m->silent_since_us,
				  .refused = m->refused,
				  .others_asked =
					  g->others_asked &&
					  (!relay || g->others_asked_us >= m->silent_since_us) &&
					  now - g->others_asked_us < REACH_FRESH_US};
	switch (lead_judge_primary(&s, now)) {
	case LEAD_HEALTHY:
		return;
	case LEAD_ASK_OTHERS:
		if (relay && witness_hand_over(g, m->silent_since_us, now, "primary-unreachable"))
			return;
		if (g->others_pending == 0 || now - g->others_asked_us > REACH_FRESH_US)
			witness_ask(g, m, now);
		return;
	case LEAD_REPLACE:
		if (relay && witness_hand_over(g, m->silent_since_us, now, "primary-unreachable"))
			return;
		break;
	}
	g->others_asked = false;
	if (relay)
		g->reached_by[0] = '\0';
	if (g->reached_by[0] != '\0')
		claim_hand_over(g, g->reached_by, "primary-unreachable");
	else
		change_begin(g, false, m->refused ? "refuses" : "silent");
}

void watch_judge_replica(struct owner_member *m, int64_t now)
{
	if (m->down || m->silent_since_us == 0 || now - m->silent_since_us < REPLICA_DOWN_US)
		return;
	m->down = true;
	m->down_us = now;
	log_warn("member-down", LOG_STR("pool", m->g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("silent_ms", (now - m->silent_since_us) / USEC_PER_MSEC),
		 LOG_NUM("refused", m->refused));
	conn_close_idle(m);
}

void watch_tick(struct owner_group *g, int64_t now)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		struct owner_member *m = &g->member[i];

		probe_tick(m, now);
		conn_tick(m, now);
		if ((int)i != g->primary)
			watch_judge_replica(m, now);
	}
	judge_primary(g, now);
}
