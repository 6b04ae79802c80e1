/**
 * @file shares-ask.c
 * Requests tokens from fixed parts that other VMs hold. A round asks one VM after the other, VMs of
 * this data centre first, until every waiting request has a token or ASKS_MAX VMs had too few.
 *
 * With settings->admission_by_priority each class has rounds of its own, and holders are asked with
 * ML_TOKENS_CLASS. A holder that has no token answers when it will have one. If that is early
 * enough it has promised the token, and the request is sent to it again at that time; if no holder
 * promised one, the request is refused with the earliest retry time of the round.
 */
#include "shares-state.h"

#include "log.h"
#include "rpc.h"

#include <string.h>
#include <xxhash.h>

/**
 * RPC timeout. Short enough that one silent VM does not use up the wait of a request for which the
 * next VM has a token.
 */
#define ASK_TIMEOUT_US (150 * USEC_PER_MSEC)
/**
 * A VM that has not answered within this time may be out of reach: the next one is asked too. A
 * call to another data centre takes up to 8 ms, and a request whose latency target is 100 ms cannot
 * await the timeout. Tokens that arrive later are still used.
 */
#define ASK_SLOW_US (30 * USEC_PER_MSEC)
/** VMs asked in a round. Each costs an RPC, and it is rare that all of them are out of tokens. */
#define ASKS_MAX 6
/** Pause after a round in which no VM had enough tokens. */
#define EMPTY_PAUSE_US (50 * USEC_PER_MSEC)
/** Weight of the newest round in the moving average of successful rounds. */
#define SUCCESS_RATIO_ALPHA 0.2
/** A team with a lower ratio of successful rounds counts as over its rate. */
#define WITHIN_RATE_RATIO_MIN 0.5

/** RPC timeout of ML_TOKENS_CLASS. Tokens that arrive later are discarded. */
#define ASK_CLASS_TIMEOUT_US GRANT_AGE_MAX_US
/** Time for which a VM of an older build is asked with ML_TOKENS. */
#define OLDER_BUILD_US (10 * USEC_PER_SEC)
/**
 * Retry time when no holder of a part can be reached. The parts of a lost VM are held by another
 * within about a second, and a caller gives up after two retries.
 */
#define NO_HOLDER_RETRY_US (500 * USEC_PER_MSEC)
/** A token promised within this time, a tick, ends the round: others are hardly earlier. */
#define OFFER_SOON_US (10 * USEC_PER_MSEC)

/** A request for tokens in flight to the VM that holds a part. */
struct ask {
	struct shares *s;
	char team[NAME_SIZE];
	char address[ADDRESS_SIZE];
	unsigned cls;
	unsigned place;
	unsigned want;
	uint64_t call; /**< see struct shares_ask */
	int64_t sent_us;
	int64_t patience_us; /**< maximum wait that was sent */
};

/** What is known about the VM at an address that was asked. */
struct holder_vm {
	bool knows_classes;	/**< it has answered ML_TOKENS_CLASS */
	int64_t older_until_us; /**< it is of an older build, and asked with ML_TOKENS until then */
	int64_t slow_until_us;	/**< it owes an answer: others are asked before this time */
};

/** Returns what is known about the VM at @a address; made at the first call. */
static struct holder_vm *holder_vm(struct shares *s, const char *address)
{
	struct holder_vm *h = g_hash_table_lookup(s->holders, address);

	if (h == NULL) {
		h = g_new0(struct holder_vm, 1);
		g_hash_table_insert(s->holders, g_strdup(address), h);
	}
	return h;
}

/** Returns the RPC address of the VM that holds the part, or NULL if that VM cannot be asked. */
static const char *place_address(struct shares *s, const struct fleet_part *part)
{
	const struct fleet *f = fleet_of(s->service.kernel);
	const struct vm *vm = part != NULL ? peers_find(&f->peers, part->vm) : NULL;

	/*
	 * The process that holds the part is not compared: a restarted VM takes its part back
	 * before the updated list arrives here.
	 */
	if (vm == NULL || vm == f->peers.self || !peers_usable(vm))
		return NULL;
	return part->address;
}

/** Writes the parts that have tokens of the team to @a places. @return their number */
static unsigned places_list(struct shares_team *t, uint64_t tried,
			    struct part_candidate places[SHARES_PLACES_MAX])
{
	struct shares *s = t->s;
	const struct fleet *f = fleet_of(s->service.kernel);
	const char *here = f->peers.self->data_center;
	unsigned i, j, n = 0;

	for (i = 0; i < f->n_data_centers; i++) {
		for (j = 0; j < PARTS_PER_DC && n < SHARES_PLACES_MAX; j++) {
			const struct fleet_part *part = fleet_part(f, f->data_center[i], j);

			if (!part_has_team(&t->part, t->name, j))
				continue;
			places[n].address = place_address(s, part);
			places[n].near = strcmp(f->data_center[i], here) == 0;
			places[n].tried = (tried & (UINT64_C(1) << n)) != 0;
			n++;
		}
	}
	return n;
}

/** Tells the holder at @a address that a token it promised will not be taken. */
static void release_at(struct shares_team *t, unsigned cls, const char *address)
{
	ml_tokens_class_args args = {.team = t->name, .priority = cls};

	rpc_start(rpc_of(t->s->service.kernel), address, ML_TOKENS_CLASS, &args,
		  ASK_CLASS_TIMEOUT_US, NULL, NULL);
}

void ask_release(struct shares_team *t, unsigned cls, int place)
{
	struct part_candidate places[SHARES_PLACES_MAX];
	unsigned n = places_list(t, 0, places);

	if (place < (int)n && places[place].address != NULL)
		release_at(t, cls, places[place].address);
}

/** Gives back the token that was promised in this round, if any. */
static void offer_release(struct shares_team *t, unsigned cls)
{
	struct shares_ask *q = &t->cls[cls].ask;

	if (q->offer_us == 0)
		return;
	ask_release(t, cls, q->offer_place);
	q->offer_us = 0;
}

/** Ends a round. @param success every request got a token, or the promise of one in time */
static void round_end(struct shares_team *t, unsigned cls, bool success)
{
	struct shares_ask *q = &t->cls[cls].ask;

	if (q->asked > 0)
		q->success_ratio += SUCCESS_RATIO_ALPHA * ((success ? 1 : 0) - q->success_ratio);
	q->tried = 0;
	q->asked = 0;
	q->older_build = false;
	offer_release(t, cls);
}

/** Returns the first waiting request of the class for which VMs may be asked now, or NULL. */
static struct admission *first_due(const struct shares_team *t, unsigned cls, int64_t now)
{
	struct admission *a;

	TAILQ_FOREACH(a, &t->cls[cls].waiting, link) {
		if (a->due_us <= now)
			return a;
	}
	return NULL;
}

static unsigned count_due(const struct shares_team *t, unsigned cls, int64_t now)
{
	struct admission *a;
	unsigned n = 0;

	TAILQ_FOREACH(a, &t->cls[cls].waiting, link)
		n += a->due_us <= now ? 1 : 0;
	return n;
}

/* Answers */

/** Notes when a holder without a token will have one for the class. */
static void note_next(struct shares_team *t, unsigned cls, unsigned place, int64_t next_us,
		      int64_t now)
{
	struct shares_ask *q = &t->cls[cls].ask;
	int64_t due = now + MIN(next_us, URGENCY_AHEAD_MAX_US);

	if (next_us <= 0)
		return;
	/* Later holders are asked only for an earlier token than the one that was promised. */
	if (next_us <= q->patience_us) {
		offer_release(t, cls);
		q->offer_us = due;
		q->offer_place = (int)place;
	}
	if (q->next_us <= now || due < q->next_us)
		q->next_us = due;
}

/** Uses the answer to the call that the round waits for. */
static void answer_take(struct shares_team *t, const struct ask *c, unsigned granted,
			int64_t next_us, int64_t now)
{
	struct shares_ask *q = &t->cls[c->cls].ask;

	q->in_flight = false;
	if (granted >= c->want)
		return;
	q->tried |= UINT64_C(1) << c->place;
	if (q->remote)
		q->remote_empty_us = now;
	note_next(t, c->cls, c->place, next_us, now);
}

/** Processes the end of a call. @param next_us as in ml_tokens_class_res, 0 for ML_TOKENS */
static void answered(struct ask *c, enum rpc_status status, unsigned granted, int64_t next_us)
{
	struct shares_team *t = shares_team(c->s, c->team);
	int64_t now = now_us();

	if (status == RPC_DONE)
		holder_vm(c->s, c->address)->slow_until_us = 0;
	else
		fleet_suspect(fleet_of(c->s->service.kernel), c->address);
	granted = MIN(granted, c->want);
	if (t != NULL) {
		if (t->cls[c->cls].ask.call == c->call)
			answer_take(t, c, granted, next_us, now);
		else if (next_us > 0 && next_us <= c->patience_us)
			release_at(t, c->cls, c->address);
		t->granted = now - c->sent_us < GRANT_AGE_MAX_US ? granted : 0;
		team_admit_waiting(t, now);
		ask_continue(t, now);
	}
	g_free(c);
}

static void tokens_received(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_tokens_res *res = arg_res;
	struct ask *c = arg;
	struct shares_team *t = shares_team(c->s, c->team);

	if (t != NULL && status == RPC_DONE)
		t->cls[c->cls].ask.older_build = true;
	answered(c, status, status == RPC_DONE ? res->granted : 0, 0);
}

/** Ends the call if it is still in flight, and asks the same VM again, by the old method. */
static void ask_again(const struct ask *c, int64_t now)
{
	struct shares_team *t = shares_team(c->s, c->team);
	struct shares_ask *q = t != NULL ? &t->cls[c->cls].ask : NULL;

	holder_vm(c->s, c->address)->slow_until_us = 0;
	if (q == NULL || q->call != c->call || !q->in_flight)
		return;
	q->in_flight = false;
	q->call++;
	q->tried &= ~(UINT64_C(1) << c->place);
	ask_continue(t, now);
}

static void tokens_class_received(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_tokens_class_res *res = arg_res;
	struct ask *c = arg;
	struct holder_vm *h = holder_vm(c->s, c->address);

	if (status == RPC_DONE) {
		h->knows_classes = true;
		h->older_until_us = 0;
		answered(c, status, res->granted,
			 (int64_t)MIN(res->next_us, (uint64_t)URGENCY_AHEAD_MAX_US));
	} else if (h->older_until_us > now_us()) {
		ask_again(c, now_us());
		g_free(c);
	} else {
		log_info("tokens-class-unanswered", LOG_STR("address", c->address),
			 LOG_NUM("answered_before", h->knows_classes));
		/* Its process may be replaced by one of an older build. */
		h->knows_classes = false;
		answered(c, status, 0, 0);
	}
}

/**
 * Ends the call of ML_TOKENS_CLASS that was sent before the one of ML_TOKENS that was answered now.
 * Both were sent on the same connection, where calls are processed in order: a VM that has not
 * answered the first one is of an older build. It is asked again by the old method.
 */
static void build_received(enum rpc_status status, const void *res, void *arg)
{
	struct ask *c = arg;
	struct holder_vm *h = holder_vm(c->s, c->address);
	int64_t now = now_us();

	if (status == RPC_DONE && !h->knows_classes && h->older_until_us <= now) {
		log_info("tokens-class-older-build", LOG_STR("address", c->address));
		h->older_until_us = now + OLDER_BUILD_US;
	}
	if (status == RPC_DONE)
		ask_again(c, now);
	g_free(c);
}

/* Rounds */

/**
 * Returns for how long a request can wait for a token that would be the best offer so far. Later
 * tokens are not told, see tokens_class_received().
 */
static int64_t patience_us(const struct shares_ask *q, const struct admission *a, int64_t now)
{
	int64_t until = q->offer_us > 0 ? MIN(q->offer_us, a->useful_us) : a->useful_us;

	return until > now ? MIN(until - now, URGENCY_AHEAD_MAX_US) : 0;
}

/** Sends ML_TOKENS_CLASS, and what tells an older build from a VM that is out of reach. */
static void send_by_class(struct shares_team *t, struct ask *c)
{
	struct rpc *rpc = rpc_of(t->s->service.kernel);
	ml_tokens_class_args args = {.team = t->name,
				     .want = c->want,
				     .priority = c->cls,
				     .patience_us = (u_quad_t)c->patience_us};
	ml_tokens_args none = {.team = t->name, .want = 0};

	rpc_start(rpc, c->address, ML_TOKENS_CLASS, &args, ASK_CLASS_TIMEOUT_US,
		  tokens_class_received, c);
	if (!holder_vm(t->s, c->address)->knows_classes)
		rpc_start(rpc, c->address, ML_TOKENS, &none, ASK_CLASS_TIMEOUT_US, build_received,
			  g_memdup2(c, sizeof(*c)));
}

static void ask_send(struct shares_team *t, unsigned cls, const struct admission *a,
		     const char *address, unsigned place, int64_t now)
{
	struct shares_ask *q = &t->cls[cls].ask;
	struct ask *c = g_new0(struct ask, 1);
	ml_tokens_args args = {.team = t->name};

	q->in_flight = true;
	q->place = place;
	if (q->asked++ == 0)
		q->next_us = 0;
	q->sent_us = now;
	q->patience_us = patience_us(q, a, now);
	c->s = t->s;
	c->cls = cls;
	c->place = place;
	c->want = count_due(t, cls, now);
	c->call = ++q->call;
	c->sent_us = now;
	c->patience_us = q->patience_us;
	g_strlcpy(c->team, t->name, sizeof(c->team));
	g_strlcpy(c->address, address, sizeof(c->address));
	if (t->s->service.kernel->settings->admission_by_priority &&
	    holder_vm(t->s, address)->older_until_us <= now) {
		send_by_class(t, c);
		return;
	}
	args.want = c->want;
	rpc_start(rpc_of(t->s->service.kernel), address, ML_TOKENS, &args, ASK_TIMEOUT_US,
		  tokens_received, c);
}

/** Chooses the place that a round asks next. @return its index, or -1 */
static int choose_place(struct shares_team *t, unsigned cls, const struct admission *a,
			const struct part_candidate *places, unsigned n, int64_t now)
{
	const char *self = t->s->service.kernel->settings->name;
	int at = a->place;

	if (at >= 0 && at < (int)n && places[at].address != NULL && !places[at].tried)
		return at;
	return part_choose(places, n, (unsigned)XXH64(self, strlen(self), 0),
			   part_may_ask_remote(ask_class_within_rate(t, cls),
					       t->cls[cls].ask.remote_empty_us, now));
}

/** Sends the next call of the class's round. @return false if there is no VM left to ask */
static bool ask_another(struct shares_team *t, unsigned cls, const struct admission *a, int64_t now)
{
	struct part_candidate places[SHARES_PLACES_MAX], not_slow[SHARES_PLACES_MAX];
	struct shares_ask *q = &t->cls[cls].ask;
	unsigned i, n = places_list(t, q->tried, places);
	int at;

	if (q->asked >= ASKS_MAX || (q->offer_us > 0 && q->offer_us <= now + OFFER_SOON_US))
		return false;
	for (i = 0; i < n; i++) {
		not_slow[i] = places[i];
		if (places[i].address != NULL &&
		    holder_vm(t->s, places[i].address)->slow_until_us > now)
			not_slow[i].tried = true;
	}
	at = choose_place(t, cls, a, not_slow, n, now);
	/* If all of them are slow, one may still be within reach. */
	if (at < 0 && q->asked == 0)
		at = choose_place(t, cls, a, places, n, now);
	if (at < 0)
		return false;
	q->remote = !places[at].near;
	ask_send(t, cls, a, places[at].address, (unsigned)at, now);
	return true;
}

/** Returns when this VM's own bucket has a token for the class; INT64_MAX: never. */
static int64_t own_token_us(struct shares_team *t, unsigned cls, int64_t now)
{
	const struct urgency_request r = {
		.cls = cls, .ahead = team_waiting_before(t, cls) - count_due(t, cls, now)};
	int64_t wait = urgency_next_us(t->urgency, &t->bucket, &r, now);

	return wait < URGENCY_AHEAD_MAX_US ? now + wait : INT64_MAX;
}

/** Returns the earliest place in the schedules of retries, of the holders and of this VM. */
static int64_t retry_place_us(struct shares_team *t, unsigned cls, int64_t now)
{
	const struct urgency_request r = {
		.cls = cls, .ahead = team_waiting_before(t, cls) - count_due(t, cls, now)};
	const struct shares_ask *q = &t->cls[cls].ask;
	int64_t place = INT64_MAX;

	if (t->bucket.rate > 0)
		place = now + urgency_answer_us(t->urgency, &t->bucket, &r, 0, t->part.per_dc, now);
	if (q->next_us > now)
		place = MIN(place, q->next_us);
	return place < INT64_MAX ? place : now + NO_HOLDER_RETRY_US;
}

/** Returns the time between two tokens of this VM's bucket for the class. */
static int64_t own_spacing_us(const struct shares_team *t, unsigned cls)
{
	double rate = urgency_rate(t->urgency, &t->bucket, cls);

	if (rate <= 0)
		rate = t->bucket.rate > 0 ? t->bucket.rate : t->rate;
	return (int64_t)((double)USEC_PER_SEC / rate);
}

/**
 * Ends a round in which not every request of the class got a token. The first one that can waits
 * for the token that was promised; the others begin another round, since it is promised once. Or,
 * if this VM's bucket will have a token earlier, they wait for those that it gains. Requests that
 * cannot wait so long, or have waited before, are refused with a place in the schedule of retries.
 */
static void round_settle(struct shares_team *t, unsigned cls, int64_t now)
{
	struct shares_ask *q = &t->cls[cls].ask;
	int64_t own = own_token_us(t, cls, now);
	int64_t spacing = (int64_t)((double)USEC_PER_SEC / t->rate);
	bool promised = q->offer_us > 0 && q->offer_us <= own;
	int64_t due = promised ? q->offer_us : own;
	struct admission *a;
	int64_t retry = 0;

	while ((a = first_due(t, cls, now)) != NULL) {
		if (due > a->useful_us || !urgency_may_wait(cls, a->waits)) {
			retry = retry == 0 ? retry_place_us(t, cls, now) : retry + spacing;
			admission_end(a, false, MIN(retry - now, URGENCY_AHEAD_MAX_US));
			continue;
		}
		a->waits++;
		a->due_us = due;
		a->place = promised ? q->offer_place : -1;
		a->until_us = a->useful_us + OFFER_SOON_US;
		shares_wake_at(t->s, due);
		if (promised) {
			q->offer_us = 0;
			break;
		}
		due += own_spacing_us(t, cls);
	}
	if (retry > 0) {
		q->next_us = retry + spacing;
		q->refused_until_us = MIN(retry, now + EMPTY_PAUSE_US);
	}
	round_end(t, cls, retry == 0);
}

/**
 * Returns whether @a a waits for another round after one that found no token. Only VMs of an older
 * build do not say when they will have one; they are asked again while the team is within its rate.
 */
static bool worth_another_round(const struct shares_team *t, unsigned cls,
				const struct admission *a, int64_t now)
{
	const struct shares_ask *q = &t->cls[cls].ask;

	if (!team_by_class(t))
		return true;
	if (q->offer_us > 0 || q->next_us > now || t->bucket.rate > 0 || !q->older_build)
		return false;
	return ask_class_within_rate(t, cls) && now + EMPTY_PAUSE_US <= a->useful_us;
}

/** Returns whether the call in flight has been for so long that other VMs are asked too. */
static bool call_slow(const struct shares_team *t, const struct shares_ask *q, int64_t now)
{
	return t->s->service.kernel->settings->admission_by_priority &&
	       now - q->sent_us >= ASK_SLOW_US;
}

/** Asks the next VM, if there is one, while a call is in flight that takes long. */
static void ask_beyond_slow(struct shares_team *t, unsigned cls, int64_t now)
{
	struct part_candidate places[SHARES_PLACES_MAX];
	struct shares_ask *q = &t->cls[cls].ask;
	const struct admission *a = first_due(t, cls, now);
	unsigned n = places_list(t, q->tried, places);

	/* Once for each call: it may answer another one before this call ends. */
	if (q->place < n && places[q->place].address != NULL && !places[q->place].tried)
		holder_vm(t->s, places[q->place].address)->slow_until_us =
			q->sent_us + ASK_TIMEOUT_US;
	q->tried |= UINT64_C(1) << q->place;
	if (a != NULL)
		(void)ask_another(t, cls, a, now);
}

/** Continues the round of the class. @param may_end whether callbacks of requests may be called */
static void ask_class(struct shares_team *t, unsigned cls, bool may_end, int64_t now)
{
	struct shares_ask *q = &t->cls[cls].ask;
	struct admission *a;

	if (!t->fixed || now < q->paused_until_us)
		return;
	if (q->in_flight) {
		if (call_slow(t, q, now))
			ask_beyond_slow(t, cls, now);
		return;
	}
	a = first_due(t, cls, now);
	if (a == NULL) {
		round_end(t, cls, true);
		return;
	}
	if (ask_another(t, cls, a, now))
		return;
	if (!worth_another_round(t, cls, a, now)) {
		if (!may_end)
			return;
		round_settle(t, cls, now);
		a = first_due(t, cls, now);
		if (a != NULL && !q->in_flight)
			(void)ask_another(t, cls, a, now);
		return;
	}
	round_end(t, cls, false);
	q->paused_until_us = now + EMPTY_PAUSE_US;
}

void ask_next(struct shares_team *t, int64_t now)
{
	unsigned i;

	for (i = 0; i < URGENCY_CLASSES; i++)
		ask_class(t, i, false, now);
}

void ask_continue(struct shares_team *t, int64_t now)
{
	unsigned i;

	for (i = 0; i < URGENCY_CLASSES; i++)
		ask_class(t, i, true, now);
}

bool ask_in_progress(const struct shares_team *t)
{
	unsigned i, asked = 0;

	for (i = 0; i < URGENCY_CLASSES; i++)
		asked += t->cls[i].ask.asked;
	return asked > 0;
}

bool ask_class_within_rate(const struct shares_team *t, unsigned cls)
{
	return t->cls[cls].ask.success_ratio >= WITHIN_RATE_RATIO_MIN;
}

bool ask_within_rate(const struct shares_team *t)
{
	unsigned i;

	for (i = 0; i < URGENCY_CLASSES; i++) {
		if (!ask_class_within_rate(t, i))
			return false;
	}
	return true;
}

/* Holder's side */

static void tokens_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_tokens_args *a = args;
	struct shares_team *t = shares_team(owner, a->team);
	ml_tokens_res res = {0};
	int64_t now = now_us();

	shares_check_pause(owner, now);
	shares_check_lease(owner, now);
	if (t != NULL && t->configured && t->fixed)
		res.granted = team_grant(t, a->want, now);
	rpc_reply(rq, &res);
}

/** Returns how many requests that wait on this VM come before one of another VM. */
static unsigned waiting_ahead(const struct shares_team *t, const struct urgency_request *r,
			      int64_t now)
{
	unsigned n = team_waiting_before(t, r->cls);

	return urgency_promised(t->urgency, r->cls, r->to, now) ? n - t->cls[r->cls].n_waiting : n;
}

/** Takes a token for a request of another VM, if there is one for its class. */
static bool class_take(struct shares_team *t, struct urgency_request *r, int64_t now)
{
	r->ahead = waiting_ahead(t, r, now);
	if (!urgency_may_take(t->urgency, &t->bucket, r, now) || !bucket_take(&t->bucket, 1, now))
		return false;
	urgency_taken(t->urgency, r, now);
	return true;
}

/** Grants tokens to another VM, or tells it when one will be available. */
static void class_grant(struct shares_team *t, const ml_tokens_class_args *a, uint64_t conn,
			ml_tokens_class_res *res)
{
	int64_t patience = (int64_t)MIN(a->patience_us, (u_quad_t)URGENCY_AHEAD_MAX_US);
	int64_t now = now_us();
	struct urgency *u = team_urgency(t, now);
	struct urgency_request r = {.cls = urgency_class(a->priority), .to = conn};

	if (a->want == 0) {
		urgency_release(u, r.cls, conn, now);
		return;
	}
	urgency_seen(u, r.cls, now);
	if (!team_by_class(t)) {
		res->granted = team_grant(t, a->want, now);
		return;
	}
	while (res->granted < a->want && class_take(t, &r, now))
		res->granted++;
	/* A VM that may not spend tokens now does not know when it may, or which VM will instead.
	 */
	if (res->granted < a->want && t->bucket.rate > 0)
		res->next_us = (u_quad_t)urgency_answer_us(u, &t->bucket, &r, patience,
							   t->part.per_dc, now);
}

static void tokens_class_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_tokens_class_args *a = args;
	struct shares *s = owner;
	struct shares_team *t = shares_team(s, a->team);
	ml_tokens_class_res res = {0};

	shares_check_pause(s, now_us());
	shares_check_lease(s, now_us());
	/* Not by class unless it is set here too; the other VM then waits as without classes. */
	if (t == NULL || !t->configured || !t->fixed)
		res.granted = 0;
	else if (s->service.kernel->settings->admission_by_priority)
		class_grant(t, a, rpc_request_conn(rq), &res);
	else
		res.granted = team_grant(t, a->want, now_us());
	rpc_reply(rq, &res);
}

void ask_serve(struct shares *s)
{
	rpc_serve(rpc_of(s->service.kernel), ML_TOKENS_CLASS, tokens_class_serve, s);
	rpc_serve(rpc_of(s->service.kernel), ML_TOKENS, tokens_serve, s);
}
