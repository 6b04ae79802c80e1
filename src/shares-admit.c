/**
 * @file shares-admit.c
 * Admission of requests: a token from this VM's bucket, or a wait for one. With
 * settings->admission_by_priority the requests of a team that uses several priority classes take
 * tokens and wait in the order of decide/urgency.h; otherwise in the order of their arrival.
 */
#include "shares-state.h"

#include "log.h"
#include "stat.h"

#include <string.h>

/** Longest wait for a token of a team that is within its rate. */
#define TOKEN_WAIT_MAX_US (1000 * USEC_PER_MSEC)
/**
 * Longest wait for a token of a team that is over its rate. Waiting does not raise the number of
 * requests that are served, it only delays them.
 */
#define OVER_RATE_WAIT_MAX_US (40 * USEC_PER_MSEC)
/** Longest wait for a token of a team with fixed parts that is within its rate. */
#define FIXED_TOKEN_WAIT_MAX_US (300 * USEC_PER_MSEC)
/** Most requests of one team that may wait for tokens at the same time. */
#define WAITING_MAX 5000
/** Weight of the newest operation in the moving average of the time of the work. */
#define WORK_ALPHA 0.1
/**
 * Least part of the time until the latency target that is left for the work: the average does not
 * include the caller's round trips within its operation, and half of the work takes longer.
 */
#define WORK_OF_AIM_MIN 0.5
/** Shorter operations are statements that need no member, such as BEGIN. */
#define WORK_MIN_US 200

struct urgency *team_urgency(struct shares_team *t, int64_t now)
{
	if (t->urgency == NULL) {
		t->urgency = g_new(struct urgency, 1);
		urgency_init(t->urgency, now);
	}
	return t->urgency;
}

bool team_by_class(const struct shares_team *t)
{
	unsigned classes = t->s->route_classes | t->route_classes;

	return t->s->service.kernel->settings->admission_by_priority && t->urgency != NULL &&
	       (classes & (classes - 1)) != 0;
}

unsigned team_waiting_before(const struct shares_team *t, unsigned cls)
{
	unsigned i, n = 0;

	for (i = 0; i <= cls; i++)
		n += t->cls[i].n_waiting;
	return n;
}

/* Waiting requests */

/**
 * Adds a request to those of its class: in the order of arrival, or of the time until which a token
 * is of use.
 */
static void waiting_insert(struct shares_team *t, struct admission *a, bool by_class)
{
	struct shares_class *c = &t->cls[a->cls];
	struct admission *before = TAILQ_LAST(&c->waiting, admissions);

	while (by_class && before != NULL && before->useful_us > a->useful_us)
		before = TAILQ_PREV(before, admissions, link);
	if (before != NULL)
		TAILQ_INSERT_AFTER(&c->waiting, before, a, link);
	else
		TAILQ_INSERT_HEAD(&c->waiting, a, link);
	a->team = t;
	c->n_waiting++;
	t->n_waiting++;
	team_mark_busy(t);
}

static void waiting_remove(struct admission *a)
{
	struct shares_class *c = &a->team->cls[a->cls];

	TAILQ_REMOVE(&c->waiting, a, link);
	c->n_waiting--;
	a->team->n_waiting--;
	if (a->place >= 0 && a->due_us > now_us())
		ask_release(a->team, a->cls, a->place);
	a->team = NULL;
}

/** Counts the decision about a request. */
static void note_decision(struct admission *a, bool admitted, bool waited)
{
	a->admitted_us = admitted ? now_us() : 0;
	stat_add_class(admitted ? STAT_TOKENS_TAKEN : STAT_TOKENS_REFUSED, a->priority, 1);
	if (admitted && waited)
		stat_add_class(STAT_TOKENS_WAITED, a->priority, 1);
}

void admission_end(struct admission *a, bool admitted, int64_t retry)
{
	waiting_remove(a);
	note_decision(a, admitted, true);
	a->done(a, admitted, retry);
}

void shares_cancel(struct admission *a)
{
	if (a->team != NULL)
		waiting_remove(a);
}

/** Returns the expected time until a token is free for a new request of the team on this VM. */
static int64_t token_wait_us(struct shares_team *t, int64_t now)
{
	double ahead = (double)t->n_waiting + 1;
	/*
	 * With fixed parts, tokens of every part can be requested; with a rate that moves, only
	 * this VM's part counts.
	 */
	double part = !t->fixed && t->bucket.rate > 0 ? t->bucket.rate : t->rate / 2;
	int64_t wait = (int64_t)((ahead - t->bucket.tokens) / part * (double)USEC_PER_SEC);

	return wait > 0 ? wait : 1;
}

/** Returns whether the team's demand over the fleet is within its rate, as known to this VM. */
static bool team_within_rate(const struct shares_team *t)
{
	return t->fixed ? ask_within_rate(t) : share_holder_within_rate(&t->holder);
}

/** As team_within_rate(), for the requests of one class. */
static bool class_within_rate(const struct shares_team *t, unsigned cls)
{
	return t->fixed ? ask_class_within_rate(t, cls) : share_holder_within_rate(&t->holder);
}

static int64_t max_wait_us(const struct shares_team *t, unsigned cls)
{
	if (!class_within_rate(t, cls))
		return OVER_RATE_WAIT_MAX_US;
	return t->fixed ? FIXED_TOKEN_WAIT_MAX_US : TOKEN_WAIT_MAX_US;
}

/** Takes a token from this VM's bucket for @a a, which @a ahead waiting requests precede. */
static bool take_token(struct shares_team *t, struct admission *a, unsigned ahead, int64_t now)
{
	const struct urgency_request r = {.cls = a->cls, .ahead = ahead};
	bool by_class = team_by_class(t);

	if (by_class && !urgency_may_take(t->urgency, &t->bucket, &r, now))
		return false;
	if (!a->will_settle) {
		if (!bucket_take(&t->bucket, 1, now))
			return false;
	} else {
		a->checked_out = bucket_reserve(&t->bucket, now);
		if (!a->checked_out)
			return false;
	}
	if (by_class)
		urgency_taken(t->urgency, &r, now);
	return true;
}

/** Returns the time until the retry of a request that is refused when its wait has ended. */
static int64_t waited_retry_us(struct shares_team *t, const struct admission *a, int64_t now)
{
	const struct urgency_request r = {.cls = a->cls,
					  .ahead = team_waiting_before(t, a->cls) - 1};
	const struct shares_ask *q = &t->cls[a->cls].ask;

	if (!team_by_class(t))
		return token_wait_us(t, now);
	if (t->bucket.rate <= 0)
		return q->next_us > now ? q->next_us - now : token_wait_us(t, now);
	return urgency_answer_us(t->urgency, &t->bucket, &r, 0, 1, now);
}

/** Returns the most urgent request that gets a token now, or NULL. */
static struct admission *next_admitted(struct shares_team *t, int64_t now)
{
	struct admission *a;
	unsigned i, ahead = 0;

	for (i = 0; i < URGENCY_CLASSES; i++) {
		a = TAILQ_FIRST(&t->cls[i].waiting);
		if (a == NULL)
			continue;
		if (t->granted >= 1) {
			t->granted -= 1;
			return a;
		}
		if (take_token(t, a, ahead, now))
			return a;
		ahead += t->cls[i].n_waiting;
	}
	return NULL;
}

/** Returns a request whose wait has ended, or NULL. */
static struct admission *next_expired(struct shares_team *t, int64_t now)
{
	struct admission *a;
	unsigned i;

	for (i = 0; i < URGENCY_CLASSES; i++) {
		TAILQ_FOREACH(a, &t->cls[i].waiting, link) {
			if (a->until_us <= now)
				return a;
			if (!t->s->service.kernel->settings->admission_by_priority)
				break;
		}
	}
	return NULL;
}

void team_admit_waiting(struct shares_team *t, int64_t now)
{
	struct admission *a;

	while ((a = next_admitted(t, now)) != NULL)
		admission_end(a, true, 0);
	t->granted = 0;
	if (t->n_waiting > 0)
		t->holder.short_of_tokens = true;
	while ((a = next_expired(t, now)) != NULL)
		admission_end(a, false, waited_retry_us(t, a, now));
}

/* New requests */

/** Starts the wait of a request as without classes. @return 0, or -1 for a refusal at once */
static int wait_by_arrival(struct shares_team *t, struct admission *a, int64_t deadline_us,
			   int64_t *retry_after_us, int64_t now)
{
	int64_t limit = now + max_wait_us(t, a->cls);

	*retry_after_us = token_wait_us(t, now);
	if (limit > deadline_us)
		limit = deadline_us;
	/* Refuse at once, with a retry time, when waiting is unlikely to get a token. */
	if (t->n_waiting >= WAITING_MAX)
		return -1;
	if (!class_within_rate(t, a->cls) &&
	    (t->fixed ? now < t->cls[a->cls].ask.paused_until_us : now + *retry_after_us > limit))
		return -1;
	a->until_us = limit;
	return 0;
}

/**
 * Returns whether this VM knows that the class gets no token in time, so that the request is
 * refused without asking other VMs. Each refusal moves the retry time of the next one.
 */
static bool known_refusal(struct shares_team *t, const struct admission *a, int64_t *retry_after_us,
			  int64_t now)
{
	struct shares_ask *q = &t->cls[a->cls].ask;

	if (!t->fixed || now >= q->refused_until_us || q->next_us <= a->useful_us)
		return false;
	*retry_after_us = MIN(q->next_us - now, URGENCY_AHEAD_MAX_US);
	q->next_us += (int64_t)((double)USEC_PER_SEC / t->rate);
	return true;
}

/**
 * Starts the wait of a request of a team whose tokens go by class: as long as a token is of use.
 * @return 0, or -1 for a refusal at once
 */
static int wait_by_class(struct shares_team *t, struct admission *a, int64_t *retry_after_us,
			 int64_t now)
{
	const struct urgency_request r = {.cls = a->cls, .ahead = team_waiting_before(t, a->cls)};

	*retry_after_us = token_wait_us(t, now);
	if (t->n_waiting >= WAITING_MAX || known_refusal(t, a, retry_after_us, now))
		return -1;
	a->until_us = a->useful_us;
	if (t->fixed)
		return 0;
	/* Parts of the rate move here within moments while the team as a whole is within it. */
	if (class_within_rate(t, a->cls)) {
		a->until_us = MIN(a->until_us, now + TOKEN_WAIT_MAX_US);
		return 0;
	}
	if (now + urgency_next_us(t->urgency, &t->bucket, &r, now) <= a->useful_us)
		return 0;
	*retry_after_us = urgency_answer_us(t->urgency, &t->bucket, &r, 0, 1, now);
	return -1;
}

/** Sets the class of a request, and counts it in the demand of its team. */
static void note_class(struct shares_team *t, struct admission *a,
		       const struct admission_want *want, int64_t now)
{
	const struct urgency_limits limits = {
		.aim_us = want->aim_us,
		.deadline_us = want->deadline_us,
		.work_us = MAX(t->cls[urgency_class(want->priority)].work_us,
			       (int64_t)((double)(want->aim_us - now) * WORK_OF_AIM_MIN))};

	a->cls = urgency_class(want->priority);
	a->useful_us = urgency_wait_until_us(&limits, now);
	if (t->bucket.rate > 0)
		urgency_seen(team_urgency(t, now), a->cls, now);
	else
		urgency_arrival(team_urgency(t, now), a->cls, now);
}

int shares_admit(struct shares *s, const struct admission_want *want, struct admission *a,
		 int64_t *retry_after_us)
{
	struct shares_team *t = shares_team(s, want->team);
	int64_t now = now_us();
	bool ok, by_class;
	int verdict;

	shares_check_pause(s, now);
	shares_check_lease(s, now);
	a->team = NULL;
	a->checked_out = false;
	a->admitted_us = 0;
	a->priority = want->priority;
	a->cls = 0;
	a->useful_us = 0;
	a->due_us = 0;
	a->waits = 0;
	a->place = -1;
	/* A team without a configured rate is not limited. */
	if (t == NULL || !t->configured)
		return 1;
	if (s->service.kernel->settings->admission_by_priority)
		note_class(t, a, want, now);
	ok = team_waiting_before(t, a->cls) == 0 && take_token(t, a, 0, now);
	if (!t->fixed)
		share_holder_arrival(&t->holder, ok, now);
	if (ok) {
		note_decision(a, true, false);
		return 1;
	}
	by_class = team_by_class(t);
	verdict = by_class ? wait_by_class(t, a, retry_after_us, now)
			   : wait_by_arrival(t, a, want->deadline_us, retry_after_us, now);
	if (verdict < 0) {
		note_decision(a, false, false);
		return -1;
	}
	waiting_insert(t, a, by_class);
	ask_next(t, now);
	return 0;
}

/** Adds the time since admission to the average of the class. */
static void note_work(struct shares_team *t, struct admission *a, int64_t now)
{
	struct shares_class *c = &t->cls[a->cls];
	int64_t us = now - a->admitted_us;

	if (a->admitted_us == 0 || us < WORK_MIN_US)
		return;
	c->work_us += (int64_t)(WORK_ALPHA * (double)(us - c->work_us));
}

void shares_settle(struct shares *s, const char *team, struct admission *a, bool ran)
{
	struct shares_team *t = shares_team(s, team);
	int64_t now = now_us();

	if (t != NULL && ran)
		note_work(t, a, now);
	a->admitted_us = 0;
	if (!a->checked_out)
		return;
	a->checked_out = false;
	if (t == NULL)
		return;
	bucket_settle(&t->bucket, !ran, now);
	if (!ran)
		team_admit_waiting(t, now);
}

double shares_weight(struct shares *s, const char *team)
{
	const struct shares_team *t = shares_team(s, team);

	return t != NULL && t->configured ? t->rate : 1;
}

bool shares_within_rate(struct shares *s, const char *team)
{
	const struct shares_team *t = shares_team(s, team);

	return t == NULL || team_within_rate(t);
}

unsigned team_grant(struct shares_team *t, unsigned want, int64_t now)
{
	unsigned granted = 0;

	/* Requests that wait on this VM have precedence. */
	if (t->n_waiting > 0)
		return 0;
	/* A VM that does not state classes gets what was not promised to those that do. */
	while (granted < want &&
	       (!team_by_class(t) || urgency_unpromised(t->urgency, &t->bucket, now) >= 1) &&
	       bucket_take(&t->bucket, 1, now))
		granted++;
	return granted;
}

void shares_log_refusal(struct shares *s, const char *team, const char *request,
			const struct admission *a, int64_t retry_after_us)
{
	const struct shares_team *t = shares_team(s, team);
	char demand[URGENCY_CLASSES * 12] = "";
	int64_t now = now_us();
	unsigned i;

	if (t == NULL)
		return;
	for (i = 0; t->urgency != NULL && i < URGENCY_CLASSES; i++)
		g_snprintf(demand + strlen(demand), sizeof(demand) - strlen(demand), "%s%.1f",
			   i > 0 ? "/" : "", t->urgency->demand[i]);
	const struct log_field fields[] = {
		LOG_STR("request", request),
		LOG_STR("team", team),
		LOG_NUM("rate_milli", t->bucket.rate * 1000),
		LOG_NUM("tokens_milli", t->bucket.tokens * 1000),
		LOG_NUM("whole_rate_milli", t->rate * 1000),
		LOG_NUM("part_permille", (int64_t)t->holder.units * 1000 / SHARE_TOTAL_UNITS),
		LOG_NUM("demand_milli", t->holder.demand * 1000),
		LOG_NUM("team_over", t->holder.over),
		LOG_NUM("waiting", t->n_waiting),
		LOG_NUM("listed", s->listed),
		LOG_NUM("fixed", t->fixed),
		LOG_NUM("got_permille", t->cls[a->cls].ask.success_ratio * 1000),
		LOG_NUM("dry_ms", (t->cls[a->cls].ask.paused_until_us - now) / USEC_PER_MSEC),
		LOG_NUM("report_age_ms", (now - t->holder.reported_us) / USEC_PER_MSEC),
		/* The last fields are known only if admission is by priority. */
		LOG_NUM("class", a->cls),
		LOG_STR("demand_by_class", demand),
		LOG_NUM("allowance_milli",
			t->urgency != NULL ? t->urgency->allowance[a->cls] * 1000 : 0),
		LOG_NUM("due_ms", retry_after_us / USEC_PER_MSEC),
	};

	log_fields(G_LOG_LEVEL_INFO, "no-token", fields,
		   G_N_ELEMENTS(fields) - (t->urgency != NULL ? 0 : 4));
}
