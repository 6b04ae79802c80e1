/**
 * @file session-remote.c
 * Attempts to run a statement: at the owner of the group, at the reader of this data centre, or at
 * this VM itself from reachable replicas while there is no owner.
 */
#include "session-state.h"

#include "log.h"
#include "reach.h"
#include "stat.h"

/** Time after the deadline of a statement for the final response of its owner to arrive. */
#define ANSWER_GRACE_US (100 * USEC_PER_MSEC)
/** The same if the response comes through another VM, which waits for ANSWER_GRACE_US itself. */
#define RELAY_GRACE_US (150 * USEC_PER_MSEC)
/** Pause between attempts while no owner accepts the statement. It doubles up to the maximum. */
#define RETRY_PAUSE_MIN_US (5 * USEC_PER_MSEC)
#define RETRY_PAUSE_MAX_US (40 * USEC_PER_MSEC)
/**
 * Longest time that a statement waits for an owner of its group. If only the process of the owner
 * ended, a successor takes over within 300 ms. After a longer time the end of the outage can't be
 * predicted, so the caller is refused at once.
 */
#define OWNER_WAIT_US (600 * USEC_PER_MSEC)
/** After this time without an owner, statements are refused without a wait. */
#define OWNER_ABSENT_US (1200 * USEC_PER_MSEC)
/** Retry hint for a group without an owner. */
#define OWNER_RETRY_US (250 * USEC_PER_MSEC)
/**
 * A VM that owes a response and has sent nothing for this time counts as silent for reads that can
 * be served elsewhere. A VM that is five times slower than usual still answers within 100 ms.
 */
#define SILENCE_LIMIT_US (160 * USEC_PER_MSEC)
/** Time after which replicas are expected to have a write. The users' replicas lag 8 and 60 ms. */
#define REPLICA_LAG_US (120 * USEC_PER_MSEC)

/** Added to the longest idle time of a transaction, for its connection to outlast it. */
#define KEEP_MARGIN_US (2 * USEC_PER_SEC)
/** Limit of the idle time of a transaction whose route has none. */
#define DEFAULT_IDLE_TX_MS 30000

/** Returns for how long a transaction of the session may be idle. */
static int64_t idle_tx_us(const struct session *s)
{
	unsigned ms = s->route.idle_tx_ms > 0 ? s->route.idle_tx_ms : DEFAULT_IDLE_TX_MS;

	return (int64_t)ms * USEC_PER_MSEC;
}

/** Ends the statement with the final response of the owner or reader. */
static void finish_remote(struct session *s, const ml_run_res *res)
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
		s->last_pos = pos;
	if (s->tx != TX_NONE) {
		s->tx_id = res->transaction;
		if (s->st.op == STATEMENT_COMMIT || s->st.op == STATEMENT_ROLLBACK)
			session_tx_end(s);
		else if (res->transaction == 0 || res->state == TX_FAILED || o != OUTCOME_DONE)
			s->tx = TX_FAILED;
		if (res->transaction != 0) {
			g_strlcpy(s->tx_address, s->address, sizeof(s->tx_address));
			rpc_keep(rpc_of(session_kernel(s)), s->address,
				 idle_tx_us(s) + KEEP_MARGIN_US);
		}
	}
	/* Later reads of the session must see this write. */
	if (o == OUTCOME_DONE && s->tx == TX_NONE && pos_cmp(pos, s->written_pos) > 0 &&
	    (s->st.write || s->st.op == STATEMENT_WRITE || s->st.op == STATEMENT_COMMIT)) {
		s->written_pos = pos;
		s->wrote_us = now_us();
	}
	session_finish(s, &a);
}

/** Returns whether the statement is a read that a replica may serve. */
static bool replica_may_serve(const struct session *s)
{
	bool read = s->st.op == STATEMENT_READ || s->st.op == STATEMENT_EXECUTE;

	return read && !statement_writes(s->st.op, s->st.write) && s->tx_id == 0 &&
	       (s->tx == TX_NONE || s->tx_read_only) &&
	       (s->route.mode == READ_BOUNDED || s->route.mode == READ_SESSION);
}

/**
 * Returns the address of the reader VM of this data centre, or NULL to use the owner. A session
 * that has just written reads at the primary, since the replicas may not have its write yet.
 */
static const char *local_reader(struct session *s)
{
	if (s->local_reader_failed || !replica_may_serve(s) ||
	    (s->route.mode == READ_SESSION && now_us() - s->wrote_us < REPLICA_LAG_US))
		return NULL;
	return owner_local_reader(owner_of(session_kernel(s)), s->route.pool);
}

/** Returns the address of the VM that reads for this data centre without the owner, or NULL. */
static const char *shared_reader(const struct session *s)
{
	return s->local_reader_failed
		       ? NULL
		       : owner_shared_reader(owner_of(session_kernel(s)), s->route.pool);
}

bool session_can_read_locally(const struct session *s)
{
	if (!replica_may_serve(s))
		return false;
	return owner_can_read(owner_of(session_kernel(s)), s->route.pool,
			      (int64_t)s->route.max_age_ms * USEC_PER_MSEC);
}

/**
 * Whether the statement may go through another VM. Transactions do not: the owner ends a
 * transaction when the connection of the VM that sent it closes, which would be the relay's.
 */
static bool relayable(const struct session *s)
{
	return relay_enabled(session_kernel(s)) && s->tx == TX_NONE &&
	       s->st.op != STATEMENT_BEGIN && s->st.op != STATEMENT_BEGIN_READ;
}

/**
 * Returns the address of the last known owner if it is not reached from this VM, else NULL. It may
 * seem gone to this VM while it serves others.
 */
static const char *lost_owner(const struct session *s)
{
	struct kernel *k = session_kernel(s);
	const char *address;

	if (!relayable(s))
		return NULL;
	address = owner_last_address(owner_of(k), s->route.pool);
	return address != NULL && relay_is_lost(k, address) ? address : NULL;
}

/** Looks for a VM that reaches the owner @a to, which this one does not. */
static enum relay_way find_relay(struct session *s, const char *to)
{
	enum relay_way way;

	if (to == NULL || s->relays == REACH_RELAYS_MAX)
		return RELAY_NONE;
	way = relay_find(session_kernel(s), to);
	s->asks_relays = s->asks_relays || way == RELAY_ASKED;
	return way;
}

/**
 * Whether a statement of a group that was without an owner for long has a chance through another
 * VM. Only the statement on whose behalf VMs are asked waits for their answers.
 */
static bool may_be_relayed(struct session *s)
{
	enum relay_way way = find_relay(s, lost_owner(s));

	return way == RELAY_KNOWN || (way != RELAY_NONE && s->asks_relays);
}

/** Handles a statement that no owner accepted: retries after a pause, or refuses it with @a o. */
static void retry_or_refuse(struct session *s, enum outcome o)
{
	int64_t now = now_us();
	int64_t pause = MIN(RETRY_PAUSE_MIN_US << MIN(s->failed_attempts, 4U), RETRY_PAUSE_MAX_US);
	int64_t limit = MIN(s->deadline_us, s->started_us + OWNER_WAIT_US);
	int64_t not_accepted_us =
		owner_note_accepted(owner_of(session_kernel(s)), s->route.pool, false);
	bool absent;

	s->failed_attempts++;
	/*
	 * Reads need no owner while its last mark (a log position known to include all earlier
	 * acknowledged writes) is recent enough for them: a reachable replica serves them.
	 */
	if (s->reader != READER_ANY && session_can_read_locally(s)) {
		s->reader = READER_ANY;
		session_run_remote(s);
		return;
	}
	s->reader = READER_OWNER;
	/*
	 * A successor would have taken over by now, so the group can't be reached from here. A
	 * longer wait would only use up the caller's time, unless another VM may reach the owner.
	 */
	absent = not_accepted_us > OWNER_ABSENT_US && !may_be_relayed(s);
	if (absent || now + pause >= limit) {
		session_finish_locally(s, o,
				       not_accepted_us > OWNER_ABSENT_US ? OWNER_ABSENT_RETRY_US
									 : OWNER_RETRY_US);
		return;
	}
	stat_add(STAT_RETRIES, 1);
	kernel_arm(s->timer, pause);
}

/** Retries at the owner, without a pause, if the local reader could not serve the statement. */
static bool fall_back_to_owner(struct session *s, enum rpc_status status, enum outcome o)
{
	if (s->reader != READER_LOCAL || s->closed || s->tx_id != 0)
		return false;
	if (status == RPC_DONE && (o == OUTCOME_DONE || o == OUTCOME_SQL_ERROR))
		return false;
	s->local_reader_failed = true;
	s->reader = READER_OWNER;
	session_run_remote(s);
	return true;
}

/**
 * Reads from this VM if the VM that reads for the data centre while the owner is unreachable does
 * not answer, or cannot read. Where members refuse connections, this VM would get none either.
 */
static bool read_here(struct session *s, enum rpc_status status, enum outcome o)
{
	if (s->reader != READER_ANY || s->closed || s->local_reader_failed ||
	    strcmp(s->address, session_kernel(s)->settings->advertise) == 0)
		return false;
	if (status == RPC_DONE && o != OUTCOME_NOT_SENT && o != OUTCOME_LEAVING)
		return false;
	s->local_reader_failed = true;
	session_run_remote(s);
	return true;
}

/** Returns whether @a o allows another attempt: the statement has not run. */
static bool may_retry(const struct session *s, enum outcome o)
{
	if (s->tx_id != 0)
		return false;
	return o == OUTCOME_LEAVING || o == OUTCOME_NOT_SENT || o == OUTCOME_NO_CONNECTION;
}

/** Attempts that may follow answers with a newer owner without a pause. */
#define REDIRECTS_MAX 3

/** Sends the statement on at once if its answer names a newer owner than the VM it was sent to. */
static bool follow_redirect(struct session *s, const ml_run_res *res)
{
	if (res->owner_revision == 0 || res->owner_address[0] == '\0' ||
	    strcmp(res->owner_address, s->address) == 0 || s->redirects == REDIRECTS_MAX)
		return false;
	s->redirects++;
	s->reader = READER_OWNER;
	session_run_remote(s);
	return true;
}

/** Returns whether the statement has no lasting effect even if it ran before the call was lost. */
static bool has_no_lasting_effect(const struct session *s)
{
	if (s->tx != TX_NONE)
		return s->st.op != STATEMENT_COMMIT;
	return !statement_writes(s->st.op, s->st.write);
}

static void on_run_done(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_run_res *res = arg_res;
	struct session *s = arg;
	enum outcome o = status == RPC_NOT_SENT ? OUTCOME_NOT_SENT : OUTCOME_LOST;
	bool relayed = s->relayed != NULL;

	s->call = NULL;
	s->relayed = NULL;
	event_del(s->timer);
	if (!relayed)
		relay_note_call(session_kernel(s), s->address, status == RPC_DONE);
	if (status == RPC_DONE && res->outcome >= 0 && res->outcome < OUTCOMES) {
		owner_update_mark(owner_of(session_kernel(s)), s->route.pool,
				  (struct pos){res->mark.term, res->mark.lsn},
				  s->sent_us - (int64_t)res->mark_age_us);
		if (res->owner_revision > 0)
			owner_note_newer_record(owner_of(session_kernel(s)), s->route.pool,
						res->owner, res->owner_address,
						res->owner_revision);
		if (fall_back_to_owner(s, status, (enum outcome)res->outcome) ||
		    read_here(s, status, (enum outcome)res->outcome))
			return;
		if (!s->closed && may_retry(s, (enum outcome)res->outcome)) {
			if (s->reader == READER_OWNER && follow_redirect(s, res))
				return;
			retry_or_refuse(s, (enum outcome)res->outcome);
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
			finish_remote(s, res);
		return;
	}
	if (!relayed)
		fleet_suspect(fleet_of(session_kernel(s)), s->address);
	if (fall_back_to_owner(s, status, o) || read_here(s, status, o))
		return;
	owner_report_unreachable(owner_of(session_kernel(s)), s->route.pool);
	if (s->closed) {
		session_free(s);
		return;
	}
	if (s->failed_attempts == 0)
		log_info("owner-call-lost", LOG_STR("request", s->st.request),
			 LOG_STR("pool", s->route.pool), LOG_STR("address", s->address),
			 LOG_NUM("sent", status != RPC_NOT_SENT));
	if (relayed && status == RPC_NOT_SENT && s->relays < REACH_RELAYS_MAX) {
		session_run_remote(s);
		return;
	}
	/* The owner of the transaction is lost: without a COMMIT the transaction is rolled back. */
	if (s->tx_id != 0 && (status == RPC_NOT_SENT || has_no_lasting_effect(s))) {
		s->tx_id = 0;
		if (s->st.op == STATEMENT_COMMIT || s->st.op == STATEMENT_ROLLBACK)
			session_tx_end(s);
		session_finish_locally(
			s, s->st.op == STATEMENT_ROLLBACK ? OUTCOME_DONE : OUTCOME_TX_LOST, 0);
		return;
	}
	if (status == RPC_NOT_SENT || (s->tx_id == 0 && has_no_lasting_effect(s))) {
		retry_or_refuse(s, o);
		return;
	}
	if (s->st.op == STATEMENT_COMMIT)
		session_tx_end(s);
	session_finish_locally(s, OUTCOME_LOST, 0);
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
	a->session = (ml_pos){s->written_pos.term, s->written_pos.lsn};
	a->deadline_us = left > 0 ? (u_int)MIN(left, UINT_MAX) : 0;
	a->idle_tx_ms = (u_int)(idle_tx_us(s) / USEC_PER_MSEC);
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

/** Returns after which time the VM that the statement was sent to counts as silent. */
static int64_t silence_limit_us(const struct session *s)
{
	struct kernel *k = session_kernel(s);

	return session_can_read_locally(s) || !relay_enabled(k) ? SILENCE_LIMIT_US
								: relay_silence_limit_us(k);
}

/** Whether the statement can be served without the VM that it was sent to, if that falls silent. */
static bool can_continue_elsewhere(struct session *s)
{
	if (s->reader == READER_ANY)
		return strcmp(s->address, session_kernel(s)->settings->advertise) != 0;
	if (session_can_read_locally(s))
		return true;
	return s->reader == READER_OWNER && relayable(s) && has_no_lasting_effect(s) &&
	       s->relays < REACH_RELAYS_MAX;
}

void session_run_remote(struct session *s)
{
	struct kernel *k = session_kernel(s);
	ml_value values[ML_PARAMS_MAX > 64 ? 64 : ML_PARAMS_MAX];
	const char *reader_address = local_reader(s);
	const char *address, *lost;
	enum relay_way way = RELAY_NONE;
	ml_run_args args;
	guint i;

	if (s->tx_id != 0) {
		g_strlcpy(s->address, s->tx_address, sizeof(s->address));
	} else if (s->reader == READER_ANY) {
		address = shared_reader(s);
		g_strlcpy(s->address, address != NULL ? address : k->settings->advertise,
			  sizeof(s->address));
	} else if (reader_address != NULL) {
		s->reader = READER_LOCAL;
		g_strlcpy(s->address, reader_address, sizeof(s->address));
	} else {
		s->reader = READER_OWNER;
		lost = lost_owner(s);
		way = find_relay(s, lost);
		address = way == RELAY_KNOWN ? lost
					     : owner_address_for_attempt(owner_of(k), s->route.pool,
									 s->failed_attempts);
		/* A call to an owner that is not reached would use up the caller's time. */
		if (address == NULL || (address == lost && way != RELAY_KNOWN &&
					(way != RELAY_NONE || s->relays > 0))) {
			retry_or_refuse(s, OUTCOME_NOT_SENT);
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
	if (way == RELAY_KNOWN) {
		s->relays++;
		s->relayed =
			relay_start(k, s->address, &args,
				    (int64_t)args.deadline_us + RELAY_GRACE_US, on_run_done, s);
	} else {
		s->call = rpc_start(rpc_of(k), s->address, ML_RUN, &args,
				    (int64_t)args.deadline_us + ANSWER_GRACE_US, on_run_done, s);
	}
	if (can_continue_elsewhere(s))
		kernel_arm(s->timer, silence_limit_us(s));
}

/** Returns for how long the VM that the statement was sent to has been silent. */
static int64_t silent_us(const struct session *s)
{
	return s->relayed != NULL ? relay_silent_us(s->relayed)
				  : rpc_silent_us(rpc_of(session_kernel(s)), s->address);
}

/** Gives up the attempt that is under way. */
static void detach(struct session *s)
{
	if (s->relayed != NULL)
		relay_detach(s->relayed);
	else
		rpc_call_detach(s->call);
	s->relayed = NULL;
	s->call = NULL;
}

void session_on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct session *s = arg;

	if (s->call == NULL && s->relayed == NULL) {
		session_run_remote(s);
		return;
	}
	/*
	 * The VM that runs the statement is silent: it is isolated or has lost power. A read does
	 * not wait until that is certain; a late response is dropped.
	 */
	if (silent_us(s) < silence_limit_us(s)) {
		kernel_arm(s->timer, silence_limit_us(s));
		return;
	}
	log_info("owner-call-silent", LOG_STR("request", s->st.request),
		 LOG_STR("pool", s->route.pool), LOG_STR("address", s->address));
	detach(s);
	if (s->reader == READER_OWNER)
		owner_report_unreachable(owner_of(session_kernel(s)), s->route.pool);
	if (read_here(s, RPC_NOT_SENT, OUTCOME_NOT_SENT))
		return;
	retry_or_refuse(s, OUTCOME_NOT_SENT);
}

/**
 * Returns whether an operation that has to wait for a rate token would be refused after the wait,
 * since no owner accepts statements. An isolated VM also has only a small part of the rate; without
 * this check its callers would wait 0.3 s for each refusal. Operations that need not wait go on,
 * and detect an owner that is back.
 */
bool session_wait_would_fail(struct session *s)
{
	int64_t not_accepted_us =
		owner_not_accepting_us(owner_of(session_kernel(s)), s->route.pool);

	if (not_accepted_us < OWNER_ABSENT_US || session_can_read_locally(s) || may_be_relayed(s))
		return false;
	log_info("owner-gone", LOG_STR("request", s->st.request), LOG_STR("pool", s->route.pool),
		 LOG_NUM("untaken_ms", not_accepted_us / USEC_PER_MSEC));
	return true;
}
