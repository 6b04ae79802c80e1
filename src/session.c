/** @file session.c Callers' sessions for groups that one VM owns. */
#include "session-state.h"

#include "key.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** Limit of a statement whose route gives none. */
#define DEADLINE_US (5 * USEC_PER_SEC)

struct sessions *sessions_of(struct kernel *k)
{
	return (struct sessions *)kernel_find(k, "sessions");
}

struct kernel *session_kernel(const struct session *s)
{
	return s->owner->service.kernel;
}

static const struct conf *conf_of(const struct session *s)
{
	return fleet_of(session_kernel(s))->conf;
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

	/*
	 * A VM that has just started knows no route yet, some 20 ms long and for as long as it
	 * reaches neither the store nor a peer. Its callers were told for good that their database
	 * does not exist, as if the configuration had gone back.
	 */
	if (conf->version == 0)
		return OUTCOME_LEAVING;
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

void session_free(struct session *s)
{
	event_free(s->timer);
	g_ptr_array_unref(s->values);
	g_hash_table_destroy(s->prepared);
	g_free(s);
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

/**
 * A token is spent by what has run, or may have. A transaction spends its own when it begins: what
 * is lent takes room in the bucket, and callers that rest after BEGIN would leave none for their
 * team.
 */
static void settle_token(struct session *s, enum outcome o)
{
	shares_settle(shares_of(session_kernel(s)), s->team, &s->admission,
		      !outcome_text(o)->not_run || o == OUTCOME_TX_LOST);
}

void session_finish(struct session *s, struct session_answer *a)
{
	settle_token(s, a->outcome);
	s->busy = false;
	if (s->closed) {
		session_free(s);
		return;
	}
	a->state = s->tx;
	a->pos = s->last;
	if (s->tx == TX_NONE && session_leaving(s))
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
	session_note(s, a->outcome);
	stat_time(time_of(s, a->outcome), now_us() - s->started_us);
	s->ops->answer(s, a, s->arg);
}

/** Answer here. @a o leaves an open transaction failed unless it is DONE. */
void session_answer_here(struct session *s, enum outcome o, int64_t retry_after_us)
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

/** Roll back at the owner what nobody will end any more. */
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

/* The steps of a statement */

static void after_admission(struct session *s)
{
	if (s->st.op == STATEMENT_BEGIN || s->st.op == STATEMENT_BEGIN_READ) {
		/* Sent with the first statement: a round trip less, and no connection held idle. */
		s->tx = TX_OPEN;
		s->tx_id = 0;
		s->tx_read_only = s->st.op == STATEMENT_BEGIN_READ;
		session_answer_here(s, OUTCOME_DONE, 0);
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
	shares_log_refusal(shares_of(session_kernel(s)), s->team, s->st.request);
	session_answer_here(s, OUTCOME_OVER_RATE, retry_after_us);
}

/** An operation takes one token of its team's rate. */
static void admit(struct session *s)
{
	int64_t retry_us = 0;
	int verdict;

	s->admission.done = on_admitted;
	s->admission.will_settle = true;
	verdict = shares_admit(shares_of(session_kernel(s)), s->team, &s->admission, s->deadline_us,
			       &retry_us);
	if (verdict > 0)
		after_admission(s);
	else if (verdict < 0)
		on_admitted(&s->admission, false, retry_us);
	else if (session_waits_in_vain(s)) {
		shares_cancel(&s->admission);
		session_answer_here(s, OUTCOME_LEAVING, OWNER_GONE_RETRY_US);
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
		session_tx_end(s);
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

		session_finish(s, &a);
		return;
	}
	session_tx_abandon(s);
	session_answer_here(s, op == STATEMENT_ROLLBACK ? OUTCOME_DONE : OUTCOME_TX_LOST, 0);
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
			session_tx_abandon(s);
		session_answer_here(s, o, 0);
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
		session_answer_here(s, o, 0);
	else if (s->begins)
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
	s->timer = event_new(k->base, -1, 0, session_on_timer, s);
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
	shares_settle(shares_of(session_kernel(s)), s->team, &s->admission, true);
	event_del(s->timer);
	if (s->call == NULL) {
		session_tx_abandon(s);
		session_free(s);
	}
}

static gboolean sessions_start(struct service *service, GError **error)
{
	sessions_leave_start((struct sessions *)service);
	return TRUE;
}

static void sessions_drain(struct service *service)
{
	struct sessions *all = (struct sessions *)service;

	all->left_us = now_us();
}

static bool sessions_drained(struct service *service)
{
	return sessions_left((struct sessions *)service);
}

static void sessions_stop(struct service *service)
{
	struct sessions *all = (struct sessions *)service;

	if (all->tick != NULL)
		event_free(all->tick);
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
	TAILQ_INIT(&all->sessions);
	kernel_add(k, &all->service);
	return &all->service;
}
