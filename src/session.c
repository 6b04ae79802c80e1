/** @file session.c Callers' sessions for groups that one VM owns. */
#include "session.h"

#include "fleet.h"
#include "key.h"
#include "log.h"
#include "owner.h"
#include "shares.h"
#include "stat.h"

#include <string.h>

/** Limit of a statement whose route gives none. */
#define DEADLINE_US (5 * USEC_PER_SEC)
/** Time on top of a statement's own for its owner's last word to arrive. */
#define ANSWER_GRACE_US (100 * USEC_PER_MSEC)
/** Pauses between tries while no owner takes the statement. */
#define PAUSE_MIN_US (5 * USEC_PER_MSEC)
#define PAUSE_MAX_US (40 * USEC_PER_MSEC)
/**
 * Longest that a statement waits for its group to have an owner. A successor is there within 300 ms
 * when the owner's process ended; after that it is not known when, and the caller learns it now.
 */
#define OWNER_WAIT_US (600 * USEC_PER_MSEC)
/** After this without an owner nothing is held any more. */
#define OWNER_GONE_US (1200 * USEC_PER_MSEC)
/** When to come back to a group without an owner. */
#define OWNER_RETRY_US (250 * USEC_PER_MSEC)
/**
 * The same when no owner has been there for OWNER_GONE_US: networks that are cut stay so for
 * seconds, and a caller that comes back each 250 ms has used up its tries before.
 */
#define OWNER_GONE_RETRY_US (1 * USEC_PER_SEC)
/**
 * After this VM began to leave, sessions at rest are closed: the balancer asks once a second and
 * takes two misses before it sends no new ones.
 */
#define LEAVE_IDLE_US (2200 * USEC_PER_MSEC)
/** And those in a transaction, which have had half of the grace by then. */
#define LEAVE_TX_US (3500 * USEC_PER_MSEC)
#define LEAVE_TICK_US (50 * USEC_PER_MSEC)
/**
 * A VM from which nothing was heard for so long, though an answer is due, is taken as silent by
 * reads that can be served elsewhere. A VM that is five times slower than usual still answers
 * within 100 ms.
 */
#define SILENT_LOOK_US (160 * USEC_PER_MSEC)
/** Replicas lack a session's write for about so long; the users' are 8 and 60 ms behind. */
#define REPLICAS_LACK_US (120 * USEC_PER_MSEC)
/** Longest wait of an idle transaction when the route says none. */
#define IDLE_TX_US (30 * USEC_PER_SEC)

struct prepared {
	bool write;
	char *shape;
};

struct session {
	struct admission admission;
	TAILQ_ENTRY(session) link;
	struct sessions *owner;
	const struct session_ops *ops;
	void *arg;
	char database[NAME_SIZE];
	char key_id[NAME_SIZE];
	char team[NAME_SIZE];
	uint64_t checked_version; /**< of the configuration that the key was checked against */
	struct conf_route route;  /**< as of the present operation's begin */
	GPtrArray *values;	  /**< of ml_value, in the order in which they were first set */
	GHashTable *prepared;

	enum tx_state tx;
	bool tx_read_only;
	uint64_t tx_id; /**< 0 while its first statement was not sent */
	char tx_address[ADDRESS_SIZE];
	struct pos pos;	 /**< of the newest own write */
	struct pos last; /**< as the last answer told */

	bool busy;
	bool closed; /**< the caller is gone; freed when the statement has ended */
	struct statement st;
	bool begins; /**< the statement is the first of an operation */
	int64_t started_us;
	int64_t deadline_us;
	unsigned tries;
	char address[ADDRESS_SIZE];
	int64_t sent_us;
	enum owner_reader reader; /**< who serves this try */
	bool near_failed;	  /**< the reader of this data centre could not serve it */
	int64_t wrote_us;	  /**< when a write of the session was last acknowledged */
	struct rpc_call *call;
	struct event *timer;
};
TAILQ_HEAD(session_list, session);

struct sessions {
	struct service service;
	struct session_list sessions;
	struct event *leave;
	int64_t left_us;
};

static void run_remote(struct session *s);

static struct sessions *sessions_of(struct kernel *k)
{
	return (struct sessions *)kernel_find(k, "sessions");
}

static struct kernel *kernel_of(const struct session *s)
{
	return s->owner->service.kernel;
}

static const struct conf *conf_of(const struct session *s)
{
	return fleet_of(kernel_of(s))->conf;
}

/* Values and names */

static void value_free(gpointer data)
{
	ml_value *v = data;

	g_free(v->name);
	g_free(v->value);
	g_free(v);
}

static void prepared_free(gpointer data)
{
	struct prepared *p = data;

	g_free(p->shape);
	g_free(p);
}

static void set_value(struct session *s, const char *name, const char *value)
{
	ml_value *v;
	guint i;

	for (i = 0; i < s->values->len; i++) {
		v = g_ptr_array_index(s->values, i);
		if (strcmp(v->name, name) != 0)
			continue;
		g_free(v->value);
		v->value = g_strdup(value);
		return;
	}
	v = g_new0(ml_value, 1);
	v->name = g_strdup(name);
	v->value = g_strdup(value);
	g_ptr_array_add(s->values, v);
}

static void prepare(struct session *s)
{
	struct prepared *p = g_new0(struct prepared, 1);

	p->write = s->st.write;
	p->shape = g_strdup(s->st.operand);
	g_hash_table_replace(s->prepared, g_strdup(s->st.name), p);
}

/* Who may */

/** The team of the key; "" for an anonymous caller. @return false when the key is not known. */
static bool find_team(struct session *s, const struct conf_route *route)
{
	const struct conf_key *key = s->key_id[0] != '\0' ? conf_key(conf_of(s), s->key_id) : NULL;

	if (key != NULL && !key->withdrawn) {
		g_strlcpy(s->team, key->team, sizeof(s->team));
		return true;
	}
	return route->anonymous;
}

/**
 * Whether the session may go on under the configuration in force. The key and the route are looked
 * up again after each change, so that a key that was withdrawn stops working on open sessions too.
 */
static enum outcome check(struct session *s)
{
	const struct conf *conf = conf_of(s);
	const struct conf_route *route;

	if (s->checked_version == conf->version && s->tx != TX_NONE)
		return OUTCOME_DONE;
	route = conf_route(conf, s->team, s->database);
	if (route == NULL)
		return s->tx != TX_NONE ? OUTCOME_DONE : OUTCOME_NO_ROUTE;
	if (!find_team(s, route))
		return OUTCOME_NO_KEY;
	s->checked_version = conf->version;
	/* A change of the route holds from the next transaction on. */
	if (s->tx == TX_NONE)
		s->route = *route;
	return OUTCOME_DONE;
}

/* The end of a statement */

static void session_free(struct session *s)
{
	event_free(s->timer);
	g_ptr_array_unref(s->values);
	g_hash_table_destroy(s->prepared);
	g_free(s);
}

static bool leaving(const struct session *s)
{
	return kernel_of(s)->draining && now_us() - s->owner->left_us > LEAVE_IDLE_US;
}

static enum stat_time_id time_of(const struct session *s, enum outcome o)
{
	static const enum stat_time_id by_mode[] = {
		[READ_DECLARED] = STAT_TIME_PRIMARY,
		[READ_PRIMARY] = STAT_TIME_PRIMARY,
		[READ_BOUNDED] = STAT_TIME_BOUNDED,
		[READ_SESSION] = STAT_TIME_SESSION,
	};

	return o == OUTCOME_DONE ? by_mode[s->route.mode] : STAT_TIME_REFUSED;
}

static void finish(struct session *s, struct session_answer *a)
{
	s->busy = false;
	if (s->closed) {
		session_free(s);
		return;
	}
	a->state = s->tx;
	a->pos = s->last;
	if (s->tx == TX_NONE && leaving(s))
		a->close = true;
	if (a->outcome != OUTCOME_DONE)
		log_info("answer", LOG_STR("request", s->st.request), LOG_STR("team", s->team),
			 LOG_STR("kind", s->database), LOG_STR("pool", s->route.pool),
			 LOG_STR("outcome", outcome_text(a->outcome)->name),
			 LOG_STR("by", s->address), LOG_NUM("tries", s->tries),
			 LOG_NUM("us", now_us() - s->started_us),
			 LOG_NUM("conf", conf_of(s)->version),
			 LOG_NUM("retry_after_us", a->retry_after_us));
	stat_outcome(a->outcome);
	stat_time(time_of(s, a->outcome), now_us() - s->started_us);
	s->ops->answer(s, a, s->arg);
}

/** Answer here. @a o leaves an open transaction failed unless it is DONE. */
static void answer_here(struct session *s, enum outcome o, int64_t retry_after_us)
{
	struct session_answer a = {.outcome = o, .retry_after_us = retry_after_us};

	if (o != OUTCOME_DONE && s->tx == TX_OPEN)
		s->tx = TX_FAILED;
	if (o == OUTCOME_NO_KEY)
		a.close = true;
	finish(s, &a);
}

static void tx_end(struct session *s)
{
	s->tx = TX_NONE;
	s->tx_id = 0;
}

/** Roll back at the owner what nobody will end any more. */
static void tx_abandon(struct session *s)
{
	ml_run_args args = {.request = "-",
			    .team = s->team,
			    .pool = s->route.pool,
			    .text = "",
			    .operand = "",
			    .shape = "",
			    .op = STATEMENT_BAD};

	if (s->tx_id != 0) {
		args.transaction = s->tx_id;
		rpc_start(rpc_of(kernel_of(s)), s->tx_address, ML_RUN, &args, USEC_PER_SEC, NULL,
			  NULL);
	}
	tx_end(s);
}

/* At the owner */

/** The owner's last word on the statement. */
static void answer_remote(struct session *s, const ml_run_res *res)
{
	enum outcome o = (enum outcome)res->outcome;
	struct session_answer a = {.outcome = o,
				   .message = res->message,
				   .signature = res->signature,
				   .rows = res->rows.rows_val,
				   .rows_len = res->rows.rows_len,
				   .retry_after_us = (int64_t)res->retry_after_us};
	struct pos pos = {res->pos.term, res->pos.lsn};

	if (pos.term != 0)
		s->last = pos;
	if (s->tx != TX_NONE) {
		s->tx_id = res->transaction;
		if (s->st.op == STATEMENT_COMMIT || s->st.op == STATEMENT_ROLLBACK)
			tx_end(s);
		else if (res->transaction == 0 || res->state == TX_FAILED || o != OUTCOME_DONE)
			s->tx = TX_FAILED;
		if (res->transaction != 0)
			g_strlcpy(s->tx_address, s->address, sizeof(s->tx_address));
	}
	/* Also a read's position: what a session has seen once it must not miss later. */
	if (o == OUTCOME_DONE && s->tx == TX_NONE && pos_cmp(pos, s->pos) > 0 &&
	    (s->st.write || s->st.op == STATEMENT_WRITE || s->st.op == STATEMENT_COMMIT)) {
		s->pos = pos;
		s->wrote_us = now_us();
	}
	finish(s, &a);
}

/** Whether the statement is a read that a replica may serve. */
static bool replica_may_serve(const struct session *s)
{
	bool read = s->st.op == STATEMENT_READ || (s->st.op == STATEMENT_EXECUTE && !s->st.write);

	return read && s->tx_id == 0 && (s->tx == TX_NONE || s->tx_read_only) &&
	       (s->route.mode == READ_BOUNDED || s->route.mode == READ_SESSION);
}

/**
 * The VM that reads for this data centre; NULL when the owner is to be asked. A session that has
 * just written finds its write at the primary, before the replicas have it.
 */
static const char *near_reader(struct session *s)
{
	if (s->near_failed || !replica_may_serve(s) ||
	    (s->route.mode == READ_SESSION && now_us() - s->wrote_us < REPLICAS_LACK_US))
		return NULL;
	return owner_near_reader(owner_of(kernel_of(s)), s->route.pool);
}

/** Whether this VM itself could serve the statement from replicas in reach. */
static bool may_read_here(const struct session *s)
{
	if (!replica_may_serve(s))
		return false;
	return owner_can_read(owner_of(kernel_of(s)), s->route.pool,
			      (int64_t)s->route.max_age_ms * USEC_PER_MSEC);
}

/** No owner took the statement: try again soon, or tell the caller. */
static void try_later(struct session *s, enum outcome o)
{
	int64_t now = now_us();
	int64_t pause = MIN(PAUSE_MIN_US << MIN(s->tries, 4U), PAUSE_MAX_US);
	int64_t limit = MIN(s->deadline_us, s->started_us + OWNER_WAIT_US);
	int64_t untaken = owner_took(owner_of(kernel_of(s)), s->route.pool, false);

	s->tries++;
	/*
	 * Reads need no owner as long as what it last told is new enough for them: a replica in
	 * reach serves them.
	 */
	if (s->reader != READER_ANY && may_read_here(s)) {
		s->reader = READER_ANY;
		run_remote(s);
		return;
	}
	s->reader = READER_OWNER;
	/*
	 * A successor would be there by now: the group is out of reach. Holding one more statement
	 * would only use up its caller's time.
	 */
	if (untaken > OWNER_GONE_US || now + pause >= limit) {
		answer_here(s, o, untaken > OWNER_GONE_US ? OWNER_GONE_RETRY_US : OWNER_RETRY_US);
		return;
	}
	stat_add(STAT_RETRIES, 1);
	kernel_arm(s->timer, pause);
}

/** The near reader could not serve it: the owner is asked, at once. */
static bool owner_instead(struct session *s, enum rpc_status status, enum outcome o)
{
	if (s->reader != READER_NEAR || s->closed || s->tx_id != 0)
		return false;
	if (status == RPC_DONE && (o == OUTCOME_DONE || o == OUTCOME_SQL_ERROR))
		return false;
	s->near_failed = true;
	s->reader = READER_OWNER;
	run_remote(s);
	return true;
}

static bool tries_again(const struct session *s, enum outcome o)
{
	if (s->tx_id != 0)
		return false;
	return o == OUTCOME_LEAVING || o == OUTCOME_NOT_SENT || o == OUTCOME_NO_CONNECTION;
}

static bool runs_harmlessly(const struct session *s)
{
	if (s->tx != TX_NONE)
		return s->st.op != STATEMENT_COMMIT;
	return s->st.op != STATEMENT_WRITE && !(s->st.op == STATEMENT_EXECUTE && s->st.write);
}

static void on_ran(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_run_res *res = arg_res;
	struct session *s = arg;
	enum outcome o = status == RPC_NOT_SENT ? OUTCOME_NOT_SENT : OUTCOME_LOST;

	s->call = NULL;
	event_del(s->timer);
	if (status == RPC_DONE && res->outcome >= 0 && res->outcome < OUTCOMES) {
		owner_told_mark(owner_of(kernel_of(s)), s->route.pool,
				(struct pos){res->mark.term, res->mark.lsn},
				s->sent_us - (int64_t)res->mark_age_us);
		if (res->owner_revision > 0)
			owner_heard(owner_of(kernel_of(s)), s->route.pool, res->owner,
				    res->owner_address, res->owner_revision);
		if (owner_instead(s, status, (enum outcome)res->outcome))
			return;
		if (!s->closed && tries_again(s, (enum outcome)res->outcome)) {
			try_later(s, (enum outcome)res->outcome);
			return;
		}
		if (s->reader == READER_OWNER)
			owner_took(owner_of(kernel_of(s)), s->route.pool, true);
		if (s->closed && res->transaction != 0) {
			s->tx_id = res->transaction;
			g_strlcpy(s->tx_address, s->address, sizeof(s->tx_address));
			tx_abandon(s);
			session_free(s);
		} else
			answer_remote(s, res);
		return;
	}
	fleet_suspect(fleet_of(kernel_of(s)), s->address);
	if (owner_instead(s, status, o))
		return;
	if (s->closed) {
		session_free(s);
		return;
	}
	if (s->tries == 0)
		log_info("owner-call-lost", LOG_STR("request", s->st.request),
			 LOG_STR("pool", s->route.pool), LOG_STR("address", s->address),
			 LOG_NUM("sent", status != RPC_NOT_SENT));
	/* A transaction's owner is gone: before its COMMIT was sent, all of it is rolled back. */
	if (s->tx_id != 0 && (status == RPC_NOT_SENT || runs_harmlessly(s))) {
		s->tx_id = 0;
		if (s->st.op == STATEMENT_COMMIT || s->st.op == STATEMENT_ROLLBACK)
			tx_end(s);
		answer_here(s, s->st.op == STATEMENT_ROLLBACK ? OUTCOME_DONE : OUTCOME_TX_LOST, 0);
		return;
	}
	if (status == RPC_NOT_SENT || (s->tx_id == 0 && runs_harmlessly(s))) {
		try_later(s, o);
		return;
	}
	if (s->st.op == STATEMENT_COMMIT)
		tx_end(s);
	answer_here(s, OUTCOME_LOST, 0);
}

static void fill_args(struct session *s, ml_run_args *a)
{
	const struct statement *st = &s->st;
	int64_t left = s->deadline_us - now_us();

	memset(a, 0, sizeof(*a));
	a->request = (char *)st->request;
	a->team = s->team;
	a->weight = shares_weight(shares_of(kernel_of(s)), s->team);
	a->priority = s->route.priority;
	a->pool = s->route.pool;
	a->op = st->op;
	a->write = st->write;
	a->text = st->op == STATEMENT_EXECUTE ? "" : st->text;
	a->operand = st->op == STATEMENT_EXECUTE ? st->operand : "";
	a->shape = "";
	a->mode = s->route.mode;
	a->max_age_us = (u_quad_t)s->route.max_age_ms * USEC_PER_MSEC;
	a->session = (ml_pos){s->pos.term, s->pos.lsn};
	a->deadline_us = left > 0 ? (u_quad_t)left : 0;
	a->idle_tx_us = s->route.idle_tx_ms > 0 ? (u_quad_t)s->route.idle_tx_ms * USEC_PER_MSEC
						: (u_quad_t)IDLE_TX_US;
	a->transaction = s->tx_id;
	if (s->tx != TX_NONE && s->tx_id == 0)
		a->begin = s->tx_read_only ? STATEMENT_BEGIN_READ : STATEMENT_BEGIN;
	if (st->op == STATEMENT_EXECUTE) {
		const struct prepared *p = g_hash_table_lookup(s->prepared, st->name);

		a->write = p->write;
		a->shape = p->shape;
	}
}

/** Send the statement to the group's owner. */
static void run_remote(struct session *s)
{
	struct kernel *k = kernel_of(s);
	ml_value values[ML_PARAMS_MAX > 64 ? 64 : ML_PARAMS_MAX];
	const char *near = near_reader(s);
	const char *address;
	ml_run_args args;
	bool known;
	guint i;

	if (s->tx_id != 0) {
		g_strlcpy(s->address, s->tx_address, sizeof(s->address));
	} else if (s->reader == READER_ANY) {
		g_strlcpy(s->address, k->settings->advertise, sizeof(s->address));
	} else if (near != NULL) {
		s->reader = READER_NEAR;
		g_strlcpy(s->address, near, sizeof(s->address));
	} else {
		s->reader = READER_OWNER;
		address = owner_address(owner_of(k), s->route.pool, &known);
		if (address == NULL) {
			try_later(s, OUTCOME_NOT_SENT);
			return;
		}
		g_strlcpy(s->address, address, sizeof(s->address));
	}
	fill_args(s, &args);
	for (i = 0; i < s->values->len && i < G_N_ELEMENTS(values); i++)
		values[i] = *(ml_value *)g_ptr_array_index(s->values, i);
	args.values.values_len = i;
	args.values.values_val = values;
	args.reader = (int)s->reader;
	s->sent_us = now_us();
	s->call = rpc_start(rpc_of(k), s->address, ML_RUN, &args,
			    (int64_t)args.deadline_us + ANSWER_GRACE_US, on_ran, s);
	if (s->reader != READER_ANY && s->call != NULL && may_read_here(s))
		kernel_arm(s->timer, SILENT_LOOK_US);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct session *s = arg;

	if (s->call == NULL) {
		run_remote(s);
		return;
	}
	/*
	 * The owner's VM says nothing at all: it is cut off, or has lost its power. A read need not
	 * wait until that is certain; what the owner may still answer is dropped.
	 */
	if (rpc_silent_us(rpc_of(kernel_of(s)), s->address) < SILENT_LOOK_US) {
		kernel_arm(s->timer, SILENT_LOOK_US);
		return;
	}
	log_info("owner-call-silent", LOG_STR("request", s->st.request),
		 LOG_STR("pool", s->route.pool), LOG_STR("address", s->address));
	rpc_call_forget(s->call);
	s->call = NULL;
	try_later(s, OUTCOME_NOT_SENT);
}

/* The steps of a statement */

static void after_admission(struct session *s)
{
	if (s->st.op == STATEMENT_BEGIN || s->st.op == STATEMENT_BEGIN_READ) {
		/* Sent with the first statement: a round trip less, and no connection held idle. */
		s->tx = TX_OPEN;
		s->tx_id = 0;
		s->tx_read_only = s->st.op == STATEMENT_BEGIN_READ;
		answer_here(s, OUTCOME_DONE, 0);
		return;
	}
	run_remote(s);
}

static void on_admitted(struct admission *a, bool ok, int64_t retry_after_us)
{
	struct session *s = (struct session *)a;

	if (ok) {
		after_admission(s);
		return;
	}
	stat_add(STAT_OVER_RATE, 1);
	shares_log(shares_of(kernel_of(s)), s->team, s->st.request);
	answer_here(s, OUTCOME_OVER_RATE, retry_after_us);
}

/**
 * An operation would wait for a token, and no owner takes statements: it would be refused after
 * its wait. A VM that is cut off has little of the rate too, and made its callers wait 0.3 s for
 * each refusal. Operations that need not wait go on, and find the owner when it is back.
 */
static bool waits_in_vain(struct session *s)
{
	int64_t untaken = owner_untaken_us(owner_of(kernel_of(s)), s->route.pool);

	if (untaken < OWNER_GONE_US || may_read_here(s))
		return false;
	log_info("owner-gone", LOG_STR("request", s->st.request), LOG_STR("pool", s->route.pool),
		 LOG_NUM("untaken_ms", untaken / USEC_PER_MSEC));
	return true;
}

/** An operation takes one token of its team's rate. */
static void admit(struct session *s)
{
	int64_t retry_us = 0;
	int verdict;

	s->admission.done = on_admitted;
	verdict = shares_admit(shares_of(kernel_of(s)), s->team, &s->admission, s->deadline_us,
			       &retry_us);
	if (verdict > 0)
		after_admission(s);
	else if (verdict < 0)
		on_admitted(&s->admission, false, retry_us);
	else if (waits_in_vain(s)) {
		shares_cancel(&s->admission);
		answer_here(s, OUTCOME_LEAVING, OWNER_GONE_RETRY_US);
	}
}

/** Statements that need no member; OUTCOMES for one that does. */
static enum outcome run_here(struct session *s)
{
	const struct statement *st = &s->st;
	const struct prepared *p;

	switch (st->op) {
	case STATEMENT_SET:
		set_value(s, st->name, st->operand);
		return OUTCOME_DONE;
	case STATEMENT_PREPARE:
		prepare(s);
		return OUTCOME_DONE;
	case STATEMENT_DEALLOCATE:
		return g_hash_table_remove(s->prepared, st->name) ? OUTCOME_DONE : OUTCOME_NO_NAME;
	case STATEMENT_EXECUTE:
		p = g_hash_table_lookup(s->prepared, st->name);
		if (p == NULL)
			return OUTCOME_NO_NAME;
		s->st.write = p->write;
		return OUTCOMES;
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ:
		return s->tx != TX_NONE ? OUTCOME_MALFORMED : OUTCOMES;
	case STATEMENT_COMMIT:
		return s->tx == TX_NONE ? OUTCOME_MALFORMED : OUTCOMES;
	case STATEMENT_ROLLBACK:
		if (s->tx == TX_NONE)
			return OUTCOME_MALFORMED;
		if (s->tx_id != 0)
			return OUTCOMES;
		tx_end(s);
		return OUTCOME_DONE;
	case STATEMENT_BAD:
	case STATEMENT_RESET:
		return OUTCOME_MALFORMED;
	default:
		return OUTCOMES;
	}
}

/** A statement in a transaction that has failed: only its end is taken. */
static void run_failed(struct session *s)
{
	enum statement_op op = s->st.op;

	if (op != STATEMENT_COMMIT && op != STATEMENT_ROLLBACK) {
		struct session_answer a = {.outcome = OUTCOME_MALFORMED};

		finish(s, &a);
		return;
	}
	tx_abandon(s);
	answer_here(s, op == STATEMENT_ROLLBACK ? OUTCOME_DONE : OUTCOME_TX_LOST, 0);
}

void session_run(struct session *s, const struct statement *st)
{
	enum outcome o;

	s->busy = true;
	s->reader = READER_OWNER;
	s->near_failed = false;
	s->st = *st;
	s->tries = 0;
	s->address[0] = '\0';
	s->started_us = now_us();
	s->begins = s->tx == TX_NONE;
	stat_add(STAT_REQUESTS, 1);
	o = check(s);
	if (o != OUTCOME_DONE) {
		if (s->tx != TX_NONE)
			tx_abandon(s);
		answer_here(s, o, 0);
		return;
	}
	s->deadline_us = s->started_us + (s->route.deadline_ms > 0
						  ? (int64_t)s->route.deadline_ms * USEC_PER_MSEC
						  : DEADLINE_US);
	if (s->tx == TX_FAILED) {
		run_failed(s);
		return;
	}
	o = run_here(s);
	if (o != OUTCOMES)
		answer_here(s, o, 0);
	else if (s->begins)
		admit(s);
	else
		run_remote(s);
}

bool session_busy(const struct session *s)
{
	return s->busy;
}

/* Opening and closing */

struct session *session_open(struct kernel *k, const char *database, const char *key,
			     const struct session_ops *ops, void *arg, enum outcome *why)
{
	struct session *s = g_new0(struct session, 1);
	struct conf_key shown;

	s->owner = sessions_of(k);
	s->ops = ops;
	s->arg = arg;
	g_strlcpy(s->database, database, sizeof(s->database));
	if (key[0] != '\0') {
		key_from_text(key, "", &shown);
		g_strlcpy(s->key_id, shown.id, sizeof(s->key_id));
	}
	s->values = g_ptr_array_new_with_free_func(value_free);
	s->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prepared_free);
	s->timer = event_new(k->base, -1, 0, on_timer, s);
	*why = strlen(database) < NAME_SIZE ? check(s) : OUTCOME_NO_ROUTE;
	if (*why != OUTCOME_DONE) {
		log_info("session-refused", LOG_STR("kind", s->database),
			 LOG_STR("outcome", outcome_text(*why)->name),
			 LOG_NUM("conf", conf_of(s)->version));
		stat_add(STAT_CALLERS_REFUSED, 1);
		session_free(s);
		return NULL;
	}
	TAILQ_INSERT_TAIL(&s->owner->sessions, s, link);
	return s;
}

void session_close(struct session *s)
{
	TAILQ_REMOVE(&s->owner->sessions, s, link);
	s->closed = true;
	shares_cancel(&s->admission);
	event_del(s->timer);
	if (s->call == NULL) {
		tx_abandon(s);
		session_free(s);
	}
}

bool session_accepting(struct kernel *k)
{
	const struct fleet *f = fleet_of(k);

	return !k->draining && f->conf->version > 0;
}

/** Close what is at rest, and later what is in a transaction. */
static void on_leave(evutil_socket_t fd, short what, void *arg)
{
	struct sessions *all = arg;
	int64_t gone = now_us() - all->left_us;
	struct session *s, *next;

	if (gone < LEAVE_IDLE_US)
		return;
	TAILQ_FOREACH_SAFE(s, &all->sessions, link, next) {
		if (s->busy || (s->tx != TX_NONE && gone < LEAVE_TX_US))
			continue;
		s->ops->close(s, s->arg);
	}
}

static void sessions_drain(struct service *service)
{
	struct sessions *all = (struct sessions *)service;

	all->left_us = now_us();
	all->leave = kernel_every(service->kernel, LEAVE_TICK_US, on_leave, all);
}

static bool sessions_drained(struct service *service)
{
	struct sessions *all = (struct sessions *)service;

	return TAILQ_EMPTY(&all->sessions) && now_us() - all->left_us > LEAVE_IDLE_US;
}

static void sessions_stop(struct service *service)
{
	struct sessions *all = (struct sessions *)service;

	if (all->leave != NULL)
		event_free(all->leave);
	g_free(all);
}

static const struct service_ops sessions_ops = {
	.name = "sessions",
	.drain = sessions_drain,
	.drained = sessions_drained,
	.stop = sessions_stop,
};

struct service *session_service_create(struct kernel *k)
{
	struct sessions *all = g_new0(struct sessions, 1);

	all->service.ops = &sessions_ops;
	TAILQ_INIT(&all->sessions);
	kernel_add(k, &all->service);
	return &all->service;
}
