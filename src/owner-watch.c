/** @file owner-watch.c Looking at the members of a group, and judging its primary. */
#include "owner.h"

#include "adapter.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** The name under which looks connect; no team has it. */
#define WATCH_NAME "mangoloom"
/** A primary that has not been heard for so long is looked at: its position dates bounded reads. */
#define PRIMARY_LOOK_US (250 * USEC_PER_MSEC)
/** The same for a replica, whose position is told by each read that it serves. */
#define REPLICA_LOOK_US (1000 * USEC_PER_MSEC)
/** While something waits for what a look shows. */
#define EAGER_LOOK_US (40 * USEC_PER_MSEC)
/** After a look that found nobody. */
#define DOWN_LOOK_US (150 * USEC_PER_MSEC)
/** An answer to a look that has not come by then will not come on this connection. */
#define LOOK_TIMEOUT_US (350 * USEC_PER_MSEC)
/** A replica with nothing answered for so long gets no more statements until it is heard. */
#define REPLICA_DOWN_US (400 * USEC_PER_MSEC)
/** VMs that are asked whether they reach the primary, and how long they may take. */
#define OTHERS 3
#define OTHERS_TIMEOUT_US (350 * USEC_PER_MSEC)
/** What the others said is used for so long. */
#define OTHERS_FRESH_US (1 * USEC_PER_SEC)

void watch_sent(struct owner_member *m, int64_t now)
{
	if (m->unheard_us == 0)
		m->unheard_us = now;
}

/** Whether no successor of the primary has been ordered yet. */
static bool leads_still(const struct owner_group *g)
{
	if (g->state == OWNER_SERVING)
		return true;
	return g->planned && g->state >= OWNER_SETTLING && g->state <= OWNER_CHOOSING;
}

void watch_heard(struct owner_member *m, struct pos pos, int64_t asked_us)
{
	struct owner_group *g = m->g;
	int64_t now = now_us();

	m->heard_us = now;
	m->unheard_us = 0;
	m->refused = false;
	if (pos.term != 0) {
		m->pos = pos;
		m->pos_us = now;
	}
	if (m->down) {
		m->down = false;
		log_info("member-up", LOG_STR("pool", g->pool), LOG_STR("member", m->conf.name));
	}
	if ((int)m->index != g->primary)
		return;
	g->others_asked = false;
	/*
	 * Only a primary that surely still led when it answered tells what is acknowledged; a
	 * replaced one would let reads miss what its successor has acknowledged since.
	 */
	if (leads_still(g) && og_may_send(g))
		marks_add(&g->marks, pos, asked_us);
}

void watch_look(struct owner_member *m)
{
	m->probe.next_us = 0;
}

void watch_look_anew(struct owner_member *m)
{
	watch_close(m);
	watch_look(m);
}

void watch_close(struct owner_member *m)
{
	if (m->probe.mc != NULL)
		m->probe.mc->ops->close(m->probe.mc);
	memset(&m->probe, 0, sizeof(m->probe));
}

static void probe_failed(struct owner_member *m, const char *why)
{
	log_debug("look-failed", LOG_STR("pool", m->g->pool), LOG_STR("member", m->conf.name),
		  LOG_STR("why", why));
	watch_close(m);
	m->seen.reached = false;
	m->seen_us = now_us();
	m->probe.next_us = m->seen_us + DOWN_LOOK_US;
}

static void on_told(struct member_conn *mc, enum member_result result,
		    const struct member_status *st, void *arg)
{
	struct owner_member *m = arg;
	int64_t asked_us = m->probe.sent_us;

	m->probe.out = false;
	if (result == MEMBER_LOST) {
		probe_failed(m, "lost");
		return;
	}
	watch_heard(m, st != NULL ? st->received : (struct pos){0}, asked_us);
	if (st == NULL)
		return;
	if (m->seen.primary != st->primary || m->seen.term != st->term)
		log_info("member-role", LOG_STR("pool", m->g->pool),
			 LOG_STR("member", m->conf.name), LOG_NUM("primary", st->primary),
			 LOG_NUM("term", st->term), LOG_NUM("lsn", st->received.lsn));
	m->seen.reached = true;
	m->seen.primary = st->primary;
	m->seen.term = st->term;
	m->seen.received = st->received;
	m->seen_us = asked_us;
}

static void probe_send(struct owner_member *m)
{
	struct owner_group *g = m->g;
	enum member_order order = MEMBER_LOOK;

	/*
	 * A primary that was replaced and is reached again must not go on taking writes of others;
	 * nobody's statements are sent to it from here.
	 */
	if (g->state == OWNER_SERVING && m->seen.reached && m->seen.primary &&
	    (int)m->index != g->primary && m->seen.term < g->term)
		order = MEMBER_STEP_DOWN;
	m->probe.out = true;
	m->probe.sent_us = now_us();
	watch_sent(m, m->probe.sent_us);
	m->probe.mc->ops->order(m->probe.mc, order, g->term, on_told);
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

	m->probe.out = false;
	if (result != MEMBER_DONE) {
		/* One that has too many connections is alive. */
		if (result == MEMBER_FULL)
			watch_heard(m, pos, m->probe.sent_us);
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

	m->probe.out = true;
	m->probe.sent_us = now_us();
	watch_sent(m, m->probe.sent_us);
	m->probe.mc = k->adapter->member->open(k, m->conf.address, m->g->pool, WATCH_NAME,
					       m->conf.name, on_probe_opened, on_probe_closed, m);
}

static int64_t look_period(const struct owner_member *m)
{
	const struct owner_group *g = m->g;

	switch (g->state) {
	case OWNER_FINDING:
	case OWNER_CHOOSING:
	case OWNER_RECORDING:
	case OWNER_ORDERING:
		return EAGER_LOOK_US;
	case OWNER_AWAITING:
		return (int)m->index == g->target ? EAGER_LOOK_US : REPLICA_LOOK_US;
	case OWNER_SETTLING:
		return EAGER_LOOK_US;
	default:
		break;
	}
	/* A replica that serves reads is heard without a look, but only a look makes a candidate.
	 */
	if (g->to_leave && !m->down)
		return EAGER_LOOK_US;
	if (m->down)
		return DOWN_LOOK_US;
	return (int)m->index == g->primary ? PRIMARY_LOOK_US : REPLICA_LOOK_US;
}

/** A look is due when nothing else told of the member lately. */
static bool look_due(const struct owner_member *m, int64_t now)
{
	int64_t period = look_period(m);

	if (now < m->probe.next_us)
		return false;
	if (m->probe.next_us == 0 || period == EAGER_LOOK_US || m->down)
		return now - m->probe.sent_us >= period;
	return now - m->heard_us >= period && now - m->probe.sent_us >= period;
}

/**
 * A primary whose data centre was cut off is back before its entry is listed again. Replacing it
 * meanwhile would discard what it acknowledged to the callers on its side.
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
	if (m->probe.out) {
		if (now - m->probe.sent_us > LOOK_TIMEOUT_US)
			probe_failed(m, "silent");
		return;
	}
	if ((!m->listed && !may_return(m)) || !look_due(m, now))
		return;
	m->probe.next_us = 1;
	if (m->probe.open)
		probe_send(m);
	else
		probe_open(m);
}

/* Whether others reach the primary */

struct asked {
	struct owner *o;
	char pool[NAME_SIZE];
	char vm[NAME_SIZE];
};

static void other_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_none *res = arg_res;
	struct asked *q = arg;
	struct owner_group *g = og_find(q->o, q->pool);

	if (g != NULL && g->others_out > 0) {
		g->others_out--;
		if (status == RPC_DONE && res->ok)
			g_strlcpy(g->reaches, q->vm, sizeof(g->reaches));
		log_info("reach", LOG_STR("pool", g->pool), LOG_STR("peer", q->vm),
			 LOG_NUM("answered", status == RPC_DONE),
			 LOG_NUM("reaches", status == RPC_DONE && res->ok));
		if (g->others_out == 0)
			g->others_asked = true;
	}
	g_free(q);
}

static void others_ask(struct owner_group *g, int64_t now)
{
	struct fleet *f = og_fleet(g);
	struct owner_member *m = og_primary(g);
	ml_reach_args args = {.pool = g->pool, .member = m->conf.name};
	struct vm *vm;
	unsigned n = 0, skip = 0;

	g->reaches[0] = '\0';
	g->others_us = now;
	g->others_out = 0;
	/* One of each data centre first: a cut between two of them hides the primary from both. */
	TAILQ_FOREACH(vm, &f->peers.vms, link)
		skip += peers_usable(vm) ? 1 : 0;
	skip = skip > 0 ? (unsigned)(random_bits() % skip) : 0;
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		struct asked *q;

		if (vm == f->peers.self || !peers_usable(vm) || n == OTHERS)
			continue;
		n++;
		g->others_out++;
		q = g_new0(struct asked, 1);
		q->o = g->o;
		g_strlcpy(q->pool, g->pool, sizeof(q->pool));
		g_strlcpy(q->vm, vm->name, sizeof(q->vm));
		rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_REACH, &args,
			  OTHERS_TIMEOUT_US + 50 * USEC_PER_MSEC, other_answered, q);
	}
	if (n == 0)
		g->others_asked = true;
}

/** A look at a member for another VM. */
struct reach {
	struct rpc_request *rq;
	struct member_conn *mc;
	struct event *timer;
};

static void reach_end(struct reach *r, bool ok)
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
	struct reach *r;

	if (i < 0) {
		ml_none res = {.ok = false};

		rpc_reply(rq, &res);
		return;
	}
	r = g_new0(struct reach, 1);
	r->rq = rq;
	r->timer = event_new(k->base, -1, 0, reach_timeout, r);
	kernel_arm(r->timer, OTHERS_TIMEOUT_US);
	r->mc = k->adapter->member->open(k, pool->member[i].address, a->pool, WATCH_NAME, a->member,
					 reach_opened, reach_closed, r);
}

/* Judging */

static void judge_primary(struct owner_group *g, int64_t now)
{
	struct owner_member *m = og_primary(g);
	struct lead_silence s;

	if (m == NULL || g->state != OWNER_SERVING)
		return;
	s = (struct lead_silence){.unheard_us = m->unheard_us,
				  .refused = m->refused,
				  .others_asked =
					  g->others_asked && now - g->others_us < OTHERS_FRESH_US};
	switch (lead_judge(&s, now)) {
	case LEAD_FINE:
		return;
	case LEAD_ASK:
		if (g->others_out == 0 || now - g->others_us > OTHERS_FRESH_US)
			others_ask(g, now);
		return;
	case LEAD_REPLACE:
		break;
	}
	g->others_asked = false;
	if (g->reaches[0] != '\0')
		claim_hand_over(g, g->reaches, "primary-unreachable");
	else
		change_begin(g, false, m->refused ? "refuses" : "silent");
}

void watch_judge_replica(struct owner_member *m, int64_t now)
{
	if (m->down || m->unheard_us == 0 || now - m->unheard_us < REPLICA_DOWN_US)
		return;
	m->down = true;
	m->down_us = now;
	log_warn("member-down", LOG_STR("pool", m->g->pool), LOG_STR("member", m->conf.name),
		 LOG_NUM("silent_ms", (now - m->unheard_us) / USEC_PER_MSEC),
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
