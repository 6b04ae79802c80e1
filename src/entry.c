/** @file entry.c Requests at the daemon that their caller is connected to. */
#include "entry.h"

#include "fleet.h"
#include "home.h"
#include "log.h"
#include "route.h"
#include "stat.h"

#include <string.h>

/** How long a replica that could not serve a request is avoided. */
#define AVOID_REPLICA_US (100 * USEC_PER_MSEC)
/** How long a replica that lacked the requested log position is not tried again. */
#define AVOID_BEHIND_US (20 * USEC_PER_MSEC)
/** Time after the deadline of a request for the final response of its home to arrive. */
#define ANSWER_GRACE_US (100 * USEC_PER_MSEC)

/** Added to the longest idle time of a transaction, for its connection to outlast it. */
#define KEEP_MARGIN_US (2 * USEC_PER_SEC)

/** State of the members of one pool, as known to this daemon. */
struct entry_pool {
	char name[NAME_SIZE];
	uint64_t version; /**< version of the configuration that @a view was built from */
	struct route_view view;
};

struct entry {
	struct service service;
	GHashTable *pools;
	uint64_t next_request;
	unsigned open; /**< requests that have not ended */
};

struct entry_request {
	struct admission admission;
	struct entry *e;
	ml_exec_args args;
	char kind[NAME_SIZE]; /**< only for the log */
	char pool[NAME_SIZE];
	char member[NAME_SIZE];
	char address[ADDRESS_SIZE];
	bool as_replica;
	bool route_write;
	struct entry_tx tx;
	struct retry_state retry;
	int64_t max_age_us;
	int64_t started_us;
	int64_t target_latency_us; /**< of its route; 0: none stated */
	unsigned priority;
	bool tokens_overflow;
	struct rpc_call *call;
	struct event *timer;
	enum outcome refused; /**< refusal to report from the event loop; OUTCOME_DONE: none */
	int64_t refused_retry_after_us;
	bool cancelled;
	entry_done cb;
	void *arg;
};

struct entry *entry_of(struct kernel *k)
{
	return (struct entry *)kernel_find(k, "entry");
}

static struct fleet *entry_fleet(struct entry *e)
{
	return fleet_of(e->service.kernel);
}

/** Updates the members of the view to the current configuration. */
static void pool_refresh(struct entry *e, struct entry_pool *p, const struct conf_pool *conf)
{
	const char *local_data_center = e->service.kernel->settings->data_center;
	struct route_view next = {.n = conf->n, .primary = -1};
	unsigned i;

	for (i = 0; i < conf->n; i++) {
		int old = route_find(&p->view, conf->member[i].name);
		struct route_member *m = &next.member[i];

		if (old >= 0)
			*m = p->view.member[old];
		g_strlcpy(m->name, conf->member[i].name, sizeof(m->name));
		m->leaving = conf_member_leaves(&conf->member[i]);
		m->near = strcmp(conf->member[i].data_center, local_data_center) == 0;
		if (old >= 0 && old == p->view.primary) {
			next.primary = (int)i;
			next.primary_term = p->view.primary_term;
		}
	}
	p->view = next;
}

static struct entry_pool *pool_get(struct entry *e, const char *name)
{
	const struct conf *conf = entry_fleet(e)->conf;
	const struct conf_pool *c = conf_pool(conf, name);
	struct entry_pool *p = g_hash_table_lookup(e->pools, name);

	if (c == NULL)
		return NULL;
	if (p == NULL) {
		p = g_new0(struct entry_pool, 1);
		g_strlcpy(p->name, name, sizeof(p->name));
		p->view.primary = -1;
		g_hash_table_insert(e->pools, p->name, p);
	}
	if (p->version != conf->version) {
		pool_refresh(e, p, c);
		p->version = conf->version;
	}
	return p;
}

/* Completion */

static void request_free(struct entry_request *r)
{
	shares_cancel(&r->admission);
	if (r->call != NULL)
		rpc_call_detach(r->call);
	event_free(r->timer);
	r->e->open--;
	g_free(r);
}

static void request_finish(struct entry_request *r, enum outcome o, const ml_exec_res *res,
			   int64_t retry_after_us)
{
	struct entry_answer a = {
		.outcome = o, .retry_after_us = retry_after_us, .tx = r->tx, .sqlstate = ""};
	entry_done cb = r->cb;
	void *arg = r->arg;

	stat_outcome(o);
	if (o != OUTCOME_DONE && o != OUTCOME_SQL_ERROR)
		stat_add(STAT_REFUSED, 1);
	a.write = r->retry.write;
	g_strlcpy(a.pool, r->pool, sizeof(a.pool));
	if (res != NULL) {
		a.sqlstate = res->sqlstate;
		a.frames = (const uint8_t *)res->frames.frames_val;
		a.frames_len = res->frames.frames_len;
		a.pos = (struct pos){res->pos.term, res->pos.lsn};
		a.tx_failed = res->transaction_failed;
		a.tx.id = res->transaction;
	}
	if (o != OUTCOME_DONE && o != OUTCOME_SQL_ERROR)
		a.tx.id = 0;
	if (a.tx.id != 0)
		rpc_keep(rpc_of(r->e->service.kernel), r->address,
			 HOME_TX_IDLE_MAX_US + KEEP_MARGIN_US);
	if (a.tx.id != 0 && r->tx.id == 0) {
		g_strlcpy(a.tx.pool, r->pool, sizeof(a.tx.pool));
		g_strlcpy(a.tx.member, r->member, sizeof(a.tx.member));
		g_strlcpy(a.tx.address, r->address, sizeof(a.tx.address));
		a.tx.write = r->route_write;
	}
	log_info("answer", LOG_NUM("request", r->args.request), LOG_STR("team", r->args.team),
		 LOG_STR("kind", r->kind), LOG_STR("pool", r->pool),
		 LOG_STR("outcome", outcome_text(o)->name), LOG_NUM("attempts", r->retry.attempts),
		 LOG_NUM("us", now_us() - r->started_us),
		 LOG_NUM("retry_after_us", retry_after_us));
	r->call = NULL;
	if (cb != NULL)
		cb(&a, arg);
	request_free(r);
}

void entry_detach(struct entry_request *r)
{
	r->cb = NULL;
	/* A waiting request is dropped. If a call is in flight, exec_done() frees the request. */
	if (r->call == NULL)
		request_free(r);
}

bool entry_cancel(struct entry_request *r)
{
	if (r->call != NULL || r->cancelled)
		return false;
	r->cancelled = true;
	shares_cancel(&r->admission);
	r->refused = OUTCOME_TOO_LATE;
	kernel_arm(r->timer, 0);
	return true;
}

/* Attempts */

static void request_try(struct entry_request *r);

/** Updates the view of the pool from a response, or from a failed call (@a res is NULL). */
static void update_view(struct entry_request *r, enum outcome o, const ml_exec_res *res)
{
	struct entry_pool *p = pool_get(r->e, r->pool);
	int64_t now = now_us();
	struct route_member *m;
	int i;

	if (p == NULL)
		return;
	if (res != NULL && res->primary[0] != '\0')
		route_update_primary(&p->view, res->primary, res->primary_term);
	i = route_find(&p->view, r->member);
	if (i < 0)
		return;
	m = &p->view.member[i];
	switch (o) {
	case OUTCOME_DONE:
		if (res != NULL && res->pos.term != 0)
			m->applied = (struct pos){res->pos.term, res->pos.lsn};
		break;
	case OUTCOME_BEHIND:
		m->behind_until_us = now + AVOID_BEHIND_US;
		break;
	case OUTCOME_NOT_PRIMARY:
		/*
		 * The member reports that it is not the primary and names no newer one: the
		 * primary is unknown, and the other members are tried.
		 */
		if (p->view.primary == i &&
		    (res == NULL || res->primary_term <= p->view.primary_term))
			p->view.primary = -1;
		break;
	case OUTCOME_NO_CONNECTION:
	case OUTCOME_LEAVING:
	case OUTCOME_QUEUE_FULL:
		if (r->as_replica)
			m->avoid_until_us = now + AVOID_REPLICA_US;
		break;
	default:
		break;
	}
}

/** Handles the end of an attempt with @a o: answers, refuses or retries. */
static void attempt_done(struct entry_request *r, enum outcome o, const ml_exec_res *res)
{
	int64_t hint = res != NULL ? (int64_t)res->retry_after_us : 0;
	struct retry_decision d;

	update_view(r, o, res);
	r->retry.attempts++;
	/* A read that a replica could not serve in time can still be served by the primary. */
	if (r->as_replica && (o == OUTCOME_QUEUE_FULL || o == OUTCOME_TOO_LATE))
		o = OUTCOME_BEHIND;
	d = outcome_next(o, &r->retry, hint, now_us());
	switch (d.step) {
	case STEP_ANSWER:
		request_finish(r, o, res, 0);
		return;
	case STEP_REFUSE:
		request_finish(r, o, res, d.after_us);
		return;
	case STEP_RETRY:
		stat_add(STAT_RETRIES, 1);
		kernel_arm(r->timer, 0);
		return;
	case STEP_RETRY_LATER:
		stat_add(STAT_RETRIES, 1);
		kernel_arm(r->timer, d.after_us);
		return;
	}
}

static void exec_done(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_exec_res *res = arg_res;
	struct entry_request *r = arg;
	enum outcome o;

	r->call = NULL;
	if (r->cb == NULL) {
		/*
		 * The caller has disconnected. A transaction that was begun for it is rolled back,
		 * since it would otherwise occupy its database connection.
		 */
		if (status == RPC_DONE && res->transaction != 0) {
			struct entry_tx tx = {.id = res->transaction};

			g_strlcpy(tx.pool, r->pool, sizeof(tx.pool));
			g_strlcpy(tx.member, r->member, sizeof(tx.member));
			g_strlcpy(tx.address, r->address, sizeof(tx.address));
			entry_abandon(r->e, &tx);
		}
		request_free(r);
		return;
	}
	if (status == RPC_DONE && res->outcome >= 0 && res->outcome < OUTCOMES) {
		/*
		 * The home is shutting down, and that update has not arrived here yet: probe the
		 * home, and use another VM in the meantime.
		 */
		if (res->outcome == OUTCOME_LEAVING && r->tx.id == 0)
			fleet_suspect(entry_fleet(r->e), r->address);
		attempt_done(r, (enum outcome)res->outcome, res);
		return;
	}
	fleet_suspect(entry_fleet(r->e), r->address);
	o = status == RPC_NOT_SENT ? OUTCOME_NOT_SENT : OUTCOME_LOST;
	/*
	 * The home of the transaction can't be reached. The database connection closes with the
	 * home, so everything before COMMIT is rolled back.
	 */
	if (r->tx.id != 0 && (r->args.control != ML_CONTROL_COMMIT || status == RPC_NOT_SENT))
		o = OUTCOME_TX_LOST;
	attempt_done(r, o, NULL);
}

static void request_send(struct entry_request *r)
{
	int64_t left = r->retry.deadline_us - now_us();

	r->args.pool = r->pool;
	r->args.member = r->member;
	r->args.as_replica = r->as_replica;
	r->args.deadline_us = left > 0 ? (u_quad_t)left : 0;
	r->call = rpc_start(rpc_of(r->e->service.kernel), r->address, ML_EXEC, &r->args,
			    left + ANSWER_GRACE_US, exec_done, r);
}

/** Refuses from the event loop, since entry_run() must return before the callback is called. */
static void request_refuse(struct entry_request *r, enum outcome o, int64_t retry_after_us)
{
	r->refused = o;
	r->refused_retry_after_us = retry_after_us;
	kernel_arm(r->timer, 0);
}

/** Chooses the member and its home for the next attempt, and sends the request. */
static void request_try(struct entry_request *r)
{
	struct entry_pool *p = pool_get(r->e, r->pool);
	struct route_request req = {.write = r->retry.write, .attempt = r->retry.attempts};
	struct route_outcome out;
	const char *address;

	if (p == NULL) {
		request_finish(r, OUTCOME_NO_ROUTE, NULL, 0);
		return;
	}
	req.token = (struct pos){r->args.token.term, r->args.token.lsn};
	req.has_token = req.token.term != 0;
	req.max_age_us = r->max_age_us;
	req.random = random_bits();
	/*
	 * The session wrote to more pools than its token holds, and may have written to this one:
	 * the read must see all acknowledged writes.
	 */
	if (r->tokens_overflow && !req.has_token)
		req.max_age_us = 0;
	out = route_choose(&p->view, &req, now_us());
	if (out.verdict == ROUTE_WAIT) {
		attempt_done(r, OUTCOME_NO_CONNECTION, NULL);
		return;
	}
	g_strlcpy(r->member, p->view.member[out.member].name, sizeof(r->member));
	r->as_replica = out.as_replica;
	address = fleet_home_address(entry_fleet(r->e), r->pool, r->member);
	log_info("route", LOG_NUM("request", r->args.request), LOG_STR("team", r->args.team),
		 LOG_STR("kind", r->kind), LOG_STR("pool", r->pool), LOG_STR("member", r->member),
		 LOG_STR("cause", route_cause_name(out.cause)), LOG_STR("home", address),
		 LOG_NUM("attempt", r->retry.attempts));
	if (address == NULL) {
		attempt_done(r, OUTCOME_NOT_SENT, NULL);
		return;
	}
	g_strlcpy(r->address, address, sizeof(r->address));
	request_send(r);
}

static void request_timer(evutil_socket_t fd, short what, void *arg)
{
	struct entry_request *r = arg;

	if (r->refused != OUTCOME_DONE) {
		request_finish(r, r->refused, NULL, r->refused_retry_after_us);
		return;
	}
	request_try(r);
}

/* Start */

static void on_admitted(struct admission *a, bool ok, int64_t retry_after_us)
{
	struct entry_request *r = (struct entry_request *)a;

	if (ok) {
		request_try(r);
		return;
	}
	if (shares_within_rate(shares_of(r->e->service.kernel), r->args.team))
		stat_add(STAT_REFUSED_WITHIN_RATE, 1);
	stat_add(STAT_OVER_RATE, 1);
	request_finish(r, OUTCOME_OVER_RATE, NULL, retry_after_us);
}

static void request_admit(struct entry_request *r)
{
	struct shares *s = shares_of(r->e->service.kernel);
	struct admission_want want = {
		.team = r->args.team, .priority = r->priority, .deadline_us = r->retry.deadline_us};
	int64_t retry = 0;
	int verdict;

	if (r->target_latency_us > 0)
		want.aim_us = r->started_us + r->target_latency_us;
	verdict = shares_admit(s, &want, &r->admission, &retry);

	if (verdict > 0) {
		kernel_arm(r->timer, 0);
		return;
	}
	if (verdict < 0) {
		stat_add(STAT_OVER_RATE, 1);
		request_refuse(r, OUTCOME_OVER_RATE, retry);
	}
}

/** Applies the settings of the route. @return false if there is no route */
static bool request_route(struct entry_request *r, const struct entry_query *query)
{
	const struct conf_route *route =
		conf_route(entry_fleet(r->e)->conf, query->team, query->kind);
	int64_t deadline = query->deadline_us;

	if (route == NULL)
		return false;
	g_strlcpy(r->pool, route->pool, sizeof(r->pool));
	r->route_write = route->write;
	r->priority = route->priority;
	r->target_latency_us = (int64_t)route->target_latency_ms * USEC_PER_MSEC;
	r->retry.write = route->write || query->control != ML_CONTROL_NONE;
	r->args.write = r->retry.write && query->op != ML_DESCRIBE;
	r->max_age_us = query->max_age_us >= 0 ? query->max_age_us
					       : (int64_t)route->max_age_ms * USEC_PER_MSEC;
	if (deadline == 0)
		deadline = (int64_t)route->deadline_ms * USEC_PER_MSEC;
	if (deadline == 0)
		deadline = (int64_t)r->e->service.kernel->settings->deadline_ms * USEC_PER_MSEC;
	r->retry.deadline_us = r->started_us + deadline;
	r->args.max_age_us = (u_quad_t)r->max_age_us;
	return true;
}

static void request_fill_args(struct entry_request *r, const struct entry_query *query)
{
	struct pos token;

	r->args.team = (char *)query->team;
	r->args.once = (char *)query->once;
	r->args.sql = (char *)query->sql;
	r->args.control = query->control;
	r->args.op = query->op;
	r->args.describe_row = query->describe_row;
	r->args.result_format = query->result_format;
	r->args.params.params_val = query->params;
	r->args.params.params_len = query->n_params;
	r->args.weight = shares_weight(shares_of(r->e->service.kernel), query->team);
	token = token_set_find(query->tokens, r->pool);
	r->args.token.term = token.term;
	r->args.token.lsn = token.lsn;
	r->tokens_overflow = query->tokens->overflow;
}

struct entry_request *entry_run(struct entry *e, const struct entry_query *query, entry_done cb,
				void *arg)
{
	struct entry_request *r = g_new0(struct entry_request, 1);

	r->e = e;
	r->admission.done = on_admitted;
	r->cb = cb;
	r->arg = arg;
	r->started_us = now_us();
	r->timer = event_new(e->service.kernel->base, -1, 0, request_timer, r);
	r->args.request = ++e->next_request;
	r->args.team = (char *)query->team;
	g_strlcpy(r->kind, query->kind, sizeof(r->kind));
	r->tx = *query->tx;
	e->open++;
	stat_add(STAT_REQUESTS, 1);
	if (!request_route(r, query)) {
		request_refuse(r, OUTCOME_NO_ROUTE, 0);
		return r;
	}
	request_fill_args(r, query);
	if (r->tx.id == 0) {
		request_admit(r);
		return r;
	}
	/* A transaction stays at its member and home, and was admitted as a whole at its start. */
	r->retry.in_transaction = true;
	r->retry.write = true;
	r->args.write = r->tx.write;
	r->args.transaction = r->tx.id;
	g_strlcpy(r->pool, r->tx.pool, sizeof(r->pool));
	g_strlcpy(r->member, r->tx.member, sizeof(r->member));
	g_strlcpy(r->address, r->tx.address, sizeof(r->address));
	request_send(r);
	return r;
}

void entry_abandon(struct entry *e, const struct entry_tx *tx)
{
	ml_exec_args args = {
		.team = "", .once = "", .sql = "", .op = ML_ABANDON, .transaction = tx->id};

	args.pool = (char *)tx->pool;
	args.member = (char *)tx->member;
	rpc_start(rpc_of(e->service.kernel), tx->address, ML_EXEC, &args, USEC_PER_SEC, NULL, NULL);
}

static bool entry_drained(struct service *s)
{
	return ((struct entry *)s)->open == 0;
}

static void entry_stop(struct service *s)
{
	struct entry *e = (struct entry *)s;

	g_hash_table_destroy(e->pools);
	g_free(e);
}

static const struct service_ops entry_ops = {
	.name = "entry",
	.drained = entry_drained,
	.stop = entry_stop,
};

struct service *entry_service_create(struct kernel *k)
{
	struct entry *e = g_new0(struct entry, 1);

	e->service.ops = &entry_ops;
	e->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	e->next_request = k->incarnation >> 24 << 16;
	kernel_add(k, &e->service);
	return &e->service;
}
