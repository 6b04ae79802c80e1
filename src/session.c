/** @file session.c Sessions of callers of groups that are run by an owner. */
#include "session-state.h"

#include "access.h"
#include "key.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** Deadline of a statement whose route has none. */
#define DEFAULT_DEADLINE_US (5 * USEC_PER_SEC)
/**
 * An answer later than this after its deadline is a fault of the fleet: each call made for a
 * statement is bounded, and at most three of them follow the deadline.
 */
#define LATE_ANSWER_US (500 * USEC_PER_MSEC)

struct sessions *sessions_of(struct kernel *k)
{
	return (struct sessions *)kernel_find(k, "sessions");
}

struct kernel *session_kernel(const struct session *s)
{
	return s->sessions->service.kernel;
}

static const struct conf *conf_of(const struct session *s)
{
	return fleet_of(session_kernel(s))->conf;
}

/* Values and prepared statements */

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

/* Access */

/**
 * Checks whether the current configuration allows the next statement of the session, and sets the
 * team and the route that it runs for.
 */
static enum outcome check_access(struct session *s)
{
	const struct conf *conf = conf_of(s);
	const struct access_session session = {.database = s->database,
					       .key_id = s->key_id,
					       .team = s->team,
					       .tx_route = s->tx != TX_NONE ? &s->route : NULL};
	struct access access;
	enum outcome o;

	/*
	 * A VM that has just started has no configuration for about 20 ms, or for as long as it
	 * reaches neither the store nor a peer. Without this check its callers would get the
	 * permanent error that their database does not exist, as if the configuration had been
	 * reverted.
	 */
	if (conf->version == 0)
		return OUTCOME_LEAVING;
	o = access_check(conf, &session, &access);
	if (o != OUTCOME_DONE)
		return o;
	g_strlcpy(s->team, access.team, sizeof(s->team));
	if (access.route != &s->route)
		s->route = *access.route;
	return OUTCOME_DONE;
}

/* Completion of a statement */

void session_free(struct session *s)
{
	event_free(s->timer);
	g_ptr_array_unref(s->values);
	g_hash_table_destroy(s->prepared);
	g_free(s);
}

static enum stat_time_id time_metric_of(const struct session *s, enum outcome o)
{
	static const enum stat_time_id by_mode[] = {
		[READ_DECLARED] = STAT_TIME_PRIMARY,
		[READ_PRIMARY] = STAT_TIME_PRIMARY,
		[READ_BOUNDED] = STAT_TIME_BOUNDED,
		[READ_SESSION] = STAT_TIME_SESSION,
	};

	return o == OUTCOME_DONE ? by_mode[s->route.mode] : STAT_TIME_REFUSED;
}

/**
 * Spends the rate token of an operation that has run or may have run, else returns it. A
 * transaction spends its token at BEGIN: a token that is checked out takes room in the bucket, and
 * callers that are idle after BEGIN would leave no tokens for their team.
 */
static void settle_token(struct session *s, enum outcome o)
{
	shares_settle(shares_of(session_kernel(s)), s->team, &s->admission,
		      !outcome_text(o)->not_run || o == OUTCOME_TX_LOST);
}

/** Counts and logs an answer long after the deadline of its statement. */
static void note_late_answer(const struct session *s, enum outcome o)
{
	int64_t late_us = now_us() - s->deadline_us;

	if (s->deadline_us == 0 || late_us < LATE_ANSWER_US)
		return;
	stat_add(STAT_ANSWERS_LATE, 1);
	log_warn("answer-late", LOG_STR("request", s->st.request), LOG_STR("pool", s->route.pool),
		 LOG_STR("outcome", outcome_text(o)->name), LOG_STR("by", s->address),
		 LOG_NUM("tries", s->failed_attempts), LOG_NUM("late_us", late_us));
}

void session_finish(struct session *s, struct session_answer *a)
{
	note_late_answer(s, a->outcome);
	settle_token(s, a->outcome);
	s->busy = false;
	if (s->closed) {
		session_free(s);
		return;
	}
	a->state = s->tx;
	a->pos = s->last_pos;
	if (s->tx == TX_NONE && session_must_close(s))
		a->close = true;
	if (a->outcome != OUTCOME_DONE)
		log_info("answer", LOG_STR("request", s->st.request), LOG_STR("team", s->team),
			 LOG_STR("kind", s->database), LOG_STR("pool", s->route.pool),
			 LOG_STR("outcome", outcome_text(a->outcome)->name),
			 LOG_STR("by", s->address), LOG_NUM("tries", s->failed_attempts),
			 LOG_NUM("us", now_us() - s->started_us),
			 LOG_NUM("conf", conf_of(s)->version),
			 LOG_NUM("retry_after_us", a->retry_after_us));
	stat_outcome(a->outcome);
	session_count_outcome(s, a->outcome);
	stat_add_time(time_metric_of(s, a->outcome), now_us() - s->started_us);
	s->ops->answer(s, a, s->arg);
}

/** Ends the statement with @a o. An open transaction fails unless @a o is OUTCOME_DONE. */
void session_finish_locally(struct session *s, enum outcome o, int64_t retry_after_us)
{
	struct session_answer a = {.outcome = o, .retry_after_us = retry_after_us};

	if (o != OUTCOME_DONE && s->tx == TX_OPEN)
		s->tx = TX_FAILED;
	if (o == OUTCOME_NO_KEY)
		a.close = true;
	session_finish(s, &a);
}

void session_tx_end(struct session *s)
{
	s->tx = TX_NONE;
	s->tx_id = 0;
}

void session_tx_abandon(struct session *s)
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
		rpc_start(rpc_of(session_kernel(s)), s->tx_address, ML_RUN, &args, USEC_PER_SEC,
			  NULL, NULL);
	}
	session_tx_end(s);
}

/* Processing of a statement */

static void after_admission(struct session *s)
{
	if (s->st.op == STATEMENT_BEGIN || s->st.op == STATEMENT_BEGIN_READ) {
		/* BEGIN is sent with the first statement: saves a round trip and an idle
		 * connection. */
		s->tx = TX_OPEN;
		s->tx_id = 0;
		s->tx_read_only = s->st.op == STATEMENT_BEGIN_READ;
		session_preopen(s, !s->tx_read_only || s->route.mode == READ_PRIMARY);
		session_finish_locally(s, OUTCOME_DONE, 0);
		return;
	}
	session_run_remote(s);
}

static void on_admitted(struct admission *a, bool ok, int64_t retry_after_us)
{
	struct session *s = (struct session *)a;

	if (ok) {
		after_admission(s);
		return;
	}
	stat_add(STAT_OVER_RATE, 1);
	shares_log_refusal(shares_of(session_kernel(s)), s->team, s->st.request, a, retry_after_us);
	session_finish_locally(s, OUTCOME_OVER_RATE, retry_after_us);
}

/** Takes one token of the team's rate for a transaction or a single statement. */
static void admit(struct session *s)
{
	struct admission_want want = {
		.team = s->team, .priority = s->route.priority, .deadline_us = s->deadline_us};
	int64_t retry_us = 0;
	int verdict;

	if (s->route.target_latency_ms > 0)
		want.aim_us = s->started_us + (int64_t)s->route.target_latency_ms * USEC_PER_MSEC;
	s->admission.done = on_admitted;
	s->admission.will_settle = true;
	verdict = shares_admit(shares_of(session_kernel(s)), &want, &s->admission, &retry_us);
	if (verdict > 0)
		after_admission(s);
	else if (verdict < 0)
		on_admitted(&s->admission, false, retry_us);
	else if (session_wait_would_fail(s)) {
		shares_cancel(&s->admission);
		session_finish_locally(s, OUTCOME_LEAVING, OWNER_ABSENT_RETRY_US);
	}
}

/** Executes a statement that needs no member. @return OUTCOMES if the statement needs one */
static enum outcome run_locally(struct session *s)
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
		session_tx_end(s);
		return OUTCOME_DONE;
	case STATEMENT_BAD:
	case STATEMENT_RESET:
		return OUTCOME_MALFORMED;
	default:
		return OUTCOMES;
	}
}

/** Handles a statement in a failed transaction: accepts only COMMIT and ROLLBACK. */
static void run_failed(struct session *s)
{
	enum statement_op op = s->st.op;

	if (op != STATEMENT_COMMIT && op != STATEMENT_ROLLBACK) {
		struct session_answer a = {.outcome = OUTCOME_MALFORMED};

		session_finish(s, &a);
		return;
	}
	session_tx_abandon(s);
	session_finish_locally(s, op == STATEMENT_ROLLBACK ? OUTCOME_DONE : OUTCOME_TX_LOST, 0);
}

void session_run(struct session *s, const struct statement *st)
{
	enum outcome o;

	s->busy = true;
	s->reader = READER_OWNER;
	s->local_reader_failed = false;
	s->st = *st;
	s->failed_attempts = 0;
	s->redirects = 0;
	s->relays = 0;
	s->asks_relays = false;
	s->address[0] = '\0';
	s->started_us = now_us();
	s->deadline_us = 0;
	s->starts_operation = s->tx == TX_NONE;
	stat_add(STAT_REQUESTS, 1);
	o = check_access(s);
	if (o != OUTCOME_DONE) {
		if (s->tx != TX_NONE)
			session_tx_abandon(s);
		session_finish_locally(s, o, 0);
		return;
	}
	s->deadline_us = s->started_us + (s->route.deadline_ms > 0
						  ? (int64_t)s->route.deadline_ms * USEC_PER_MSEC
						  : DEFAULT_DEADLINE_US);
	if (s->tx == TX_FAILED) {
		run_failed(s);
		return;
	}
	o = run_locally(s);
	if (o != OUTCOMES)
		session_finish_locally(s, o, 0);
	else if (s->starts_operation)
		admit(s);
	else
		session_run_remote(s);
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
	struct conf_key parsed_key;

	s->sessions = sessions_of(k);
	s->ops = ops;
	s->arg = arg;
	g_strlcpy(s->database, database, sizeof(s->database));
	if (key[0] != '\0') {
		key_from_text(key, "", &parsed_key);
		g_strlcpy(s->key_id, parsed_key.id, sizeof(s->key_id));
	}
	s->values = g_ptr_array_new_with_free_func(value_free);
	s->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, prepared_free);
	s->timer = event_new(k->base, -1, 0, session_on_timer, s);
	*why = strlen(database) < NAME_SIZE ? check_access(s) : OUTCOME_NO_ROUTE;
	if (*why != OUTCOME_DONE) {
		log_info("session-refused", LOG_STR("kind", s->database),
			 LOG_STR("outcome", outcome_text(*why)->name),
			 LOG_NUM("conf", conf_of(s)->version));
		stat_add(STAT_CALLERS_REFUSED, 1);
		session_free(s);
		return NULL;
	}
	TAILQ_INSERT_TAIL(&s->sessions->list, s, link);
	session_preopen(s, s->route.mode == READ_PRIMARY || s->route.mode == READ_DECLARED);
	return s;
}

void session_close(struct session *s)
{
	TAILQ_REMOVE(&s->sessions->list, s, link);
	s->closed = true;
	shares_cancel(&s->admission);
	shares_settle(shares_of(session_kernel(s)), s->team, &s->admission, true);
	event_del(s->timer);
	if (s->call == NULL && s->relayed == NULL) {
		session_tx_abandon(s);
		session_free(s);
	}
}

static gboolean sessions_start(struct service *service, GError **error)
{
	sessions_start_tick((struct sessions *)service);
	return TRUE;
}

static void sessions_drain(struct service *service)
{
	struct sessions *all = (struct sessions *)service;

	all->drain_started_us = now_us();
}

static bool sessions_drained(struct service *service)
{
	return sessions_drain_complete((struct sessions *)service);
}

static void sessions_stop(struct service *service)
{
	struct sessions *all = (struct sessions *)service;

	if (all->tick != NULL)
		event_free(all->tick);
	session_preopens_free(all->preopens);
	g_free(all);
}

static const struct service_ops sessions_ops = {
	.name = "sessions",
	.start = sessions_start,
	.drain = sessions_drain,
	.drained = sessions_drained,
	.stop = sessions_stop,
};

struct service *session_service_create(struct kernel *k)
{
	struct sessions *all = g_new0(struct sessions, 1);

	all->service.ops = &sessions_ops;
	TAILQ_INIT(&all->list);
	kernel_add(k, &all->service);
	return &all->service;
}
