/**
 * @file session-remote.c
 * A statement's tries: at the group's owner, at the reader of this data centre, or at this VM's own
 * replicas while there is no owner.
 */
#include "session-state.h"

#include "log.h"
#include "stat.h"

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
 * A VM from which nothing was heard for so long, though an answer is due, is taken as silent by
 * reads that can be served elsewhere. A VM that is five times slower than usual still answers
 * within 100 ms.
 */
#define SILENT_LOOK_US (160 * USEC_PER_MSEC)
/** Replicas lack a session's write for about so long; the users' are 8 and 60 ms behind. */
#define REPLICAS_LACK_US (120 * USEC_PER_MSEC)
/** Longest wait of an idle transaction when the route says none. */
#define IDLE_TX_MS 30000

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
			session_tx_end(s);
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
	session_finish(s, &a);
}

/** Whether the statement is a read that a replica may serve. */
static bool replica_may_serve(const struct session *s)
{
	bool read = s->st.op == STATEMENT_READ || s->st.op == STATEMENT_EXECUTE;

	return read && !statement_writes(s->st.op, s->st.write) && s->tx_id == 0 &&
	       (s->tx == TX_NONE || s->tx_read_only) &&
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
	return owner_local_reader(owner_of(session_kernel(s)), s->route.pool);
}

/** Whether this VM itself could serve the statement from replicas in reach. */
bool session_may_read_here(const struct session *s)
{
	if (!replica_may_serve(s))
		return false;
	return owner_can_read(owner_of(session_kernel(s)), s->route.pool,
			      (int64_t)s->route.max_age_ms * USEC_PER_MSEC);
}

/** No owner took the statement: try again soon, or tell the caller. */
static void try_later(struct session *s, enum outcome o)
{
	int64_t now = now_us();
	int64_t pause = MIN(PAUSE_MIN_US << MIN(s->tries, 4U), PAUSE_MAX_US);
	int64_t limit = MIN(s->deadline_us, s->started_us + OWNER_WAIT_US);
	int64_t untaken = owner_note_accepted(owner_of(session_kernel(s)), s->route.pool, false);

	s->tries++;
	/*
	 * Reads need no owner as long as what it last told is new enough for them: a replica in
	 * reach serves them.
	 */
	if (s->reader != READER_ANY && session_may_read_here(s)) {
		s->reader = READER_ANY;
		session_run_remote(s);
		return;
	}
	s->reader = READER_OWNER;
	/*
	 * A successor would be there by now: the group is out of reach. Holding one more statement
	 * would only use up its caller's time.
	 */
	if (untaken > OWNER_GONE_US || now + pause >= limit) {
		session_answer_here(s, o,
				    untaken > OWNER_GONE_US ? OWNER_GONE_RETRY_US : OWNER_RETRY_US);
		return;
	}
	stat_add(STAT_RETRIES, 1);
	kernel_arm(s->timer, pause);
}

/** The near reader could not serve it: the owner is asked, at once. */
static bool owner_instead(struct session *s, enum rpc_status status, enum outcome o)
{
	if (s->reader != READER_LOCAL || s->closed || s->tx_id != 0)
		return false;
	if (status == RPC_DONE && (o == OUTCOME_DONE || o == OUTCOME_SQL_ERROR))
		return false;
	s->near_failed = true;
	s->reader = READER_OWNER;
	session_run_remote(s);
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
	return !statement_writes(s->st.op, s->st.write);
}

static void on_ran(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_run_res *res = arg_res;
	struct session *s = arg;
	enum outcome o = status == RPC_NOT_SENT ? OUTCOME_NOT_SENT : OUTCOME_LOST;

	s->call = NULL;
	event_del(s->timer);
	if (status == RPC_DONE && res->outcome >= 0 && res->outcome < OUTCOMES) {
		owner_update_mark(owner_of(session_kernel(s)), s->route.pool,
				  (struct pos){res->mark.term, res->mark.lsn},
				  s->sent_us - (int64_t)res->mark_age_us);
		if (res->owner_revision > 0)
			owner_note_newer_record(owner_of(session_kernel(s)), s->route.pool,
						res->owner, res->owner_address,
						res->owner_revision);
		if (owner_instead(s, status, (enum outcome)res->outcome))
			return;
		if (!s->closed && tries_again(s, (enum outcome)res->outcome)) {
			try_later(s, (enum outcome)res->outcome);
			return;
		}
		if (s->reader == READER_OWNER)
			owner_note_accepted(owner_of(session_kernel(s)), s->route.pool, true);
		if (s->closed && res->transaction != 0) {
			s->tx_id = res->transaction;
			g_strlcpy(s->tx_address, s->address, sizeof(s->tx_address));
			session_tx_abandon(s);
			session_free(s);
		} else
			answer_remote(s, res);
		return;
	}
	fleet_suspect(fleet_of(session_kernel(s)), s->address);
	if (owner_instead(s, status, o))
		return;
	owner_report_unreachable(owner_of(session_kernel(s)), s->route.pool);
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
			session_tx_end(s);
		session_answer_here(
			s, s->st.op == STATEMENT_ROLLBACK ? OUTCOME_DONE : OUTCOME_TX_LOST, 0);
		return;
	}
	if (status == RPC_NOT_SENT || (s->tx_id == 0 && runs_harmlessly(s))) {
		try_later(s, o);
		return;
	}
	if (s->st.op == STATEMENT_COMMIT)
		session_tx_end(s);
	session_answer_here(s, OUTCOME_LOST, 0);
}

static void fill_args(struct session *s, ml_run_args *a)
{
	const struct statement *st = &s->st;
	int64_t left = s->deadline_us - now_us();

	memset(a, 0, sizeof(*a));
	a->request = (char *)st->request;
	a->team = s->team;
	a->priority = s->route.priority;
	a->pool = s->route.pool;
	a->op = st->op;
	a->write = st->write;
	a->text = st->op == STATEMENT_EXECUTE ? "" : st->text;
	a->operand = st->op == STATEMENT_EXECUTE ? st->operand : "";
	a->shape = "";
	a->mode = s->route.mode;
	a->max_age_us = (u_int)MIN((uint64_t)s->route.max_age_ms * USEC_PER_MSEC, UINT_MAX);
	a->session = (ml_pos){s->pos.term, s->pos.lsn};
	a->deadline_us = left > 0 ? (u_int)MIN(left, UINT_MAX) : 0;
	a->idle_tx_ms = s->route.idle_tx_ms > 0 ? s->route.idle_tx_ms : IDLE_TX_MS;
	a->owner_revision = owner_known_revision(owner_of(session_kernel(s)), s->route.pool);
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
void session_run_remote(struct session *s)
{
	struct kernel *k = session_kernel(s);
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
		s->reader = READER_LOCAL;
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
	if (s->reader != READER_ANY && s->call != NULL && session_may_read_here(s))
		kernel_arm(s->timer, SILENT_LOOK_US);
}

void session_on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct session *s = arg;

	if (s->call == NULL) {
		session_run_remote(s);
		return;
	}
	/*
	 * The owner's VM says nothing at all: it is cut off, or has lost its power. A read need not
	 * wait until that is certain; what the owner may still answer is dropped.
	 */
	if (rpc_silent_us(rpc_of(session_kernel(s)), s->address) < SILENT_LOOK_US) {
		kernel_arm(s->timer, SILENT_LOOK_US);
		return;
	}
	log_info("owner-call-silent", LOG_STR("request", s->st.request),
		 LOG_STR("pool", s->route.pool), LOG_STR("address", s->address));
	rpc_call_forget(s->call);
	s->call = NULL;
	if (s->reader == READER_OWNER)
		owner_report_unreachable(owner_of(session_kernel(s)), s->route.pool);
	try_later(s, OUTCOME_NOT_SENT);
}

/**
 * An operation would wait for a token, and no owner takes statements: it would be refused after
 * its wait. A VM that is cut off has little of the rate too, and made its callers wait 0.3 s for
 * each refusal. Operations that need not wait go on, and find the owner when it is back.
 */
bool session_waits_in_vain(struct session *s)
{
	int64_t untaken = owner_not_accepting_us(owner_of(session_kernel(s)), s->route.pool);

	if (untaken < OWNER_GONE_US || session_may_read_here(s))
		return false;
	log_info("owner-gone", LOG_STR("request", s->st.request), LOG_STR("pool", s->route.pool),
		 LOG_NUM("untaken_ms", untaken / USEC_PER_MSEC));
	return true;
}
