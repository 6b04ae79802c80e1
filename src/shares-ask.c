/**
 * @file shares-ask.c
 * Requests tokens from fixed parts that other VMs hold. A round asks one VM after the other, VMs of
 * this data centre first, until every waiting request has a token or ASKS_MAX VMs had too few.
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
/** VMs asked in a round. Each costs an RPC, and it is rare that all of them are out of tokens. */
#define ASKS_MAX 6
/** Pause after a round in which no VM had enough tokens. */
#define EMPTY_PAUSE_US (50 * USEC_PER_MSEC)
/** Weight of the newest round in the moving average of successful rounds. */
#define SUCCESS_RATIO_ALPHA 0.2
/** A team with a lower ratio of successful rounds counts as over its rate. */
#define WITHIN_RATE_RATIO_MIN 0.5

/** A request for tokens in flight to the VM that holds a part. */
struct ask {
	struct shares *s;
	char team[NAME_SIZE];
	char address[ADDRESS_SIZE];
	unsigned place;
	unsigned want;
};

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
static unsigned places_list(struct shares_team *t, struct part_candidate places[SHARES_PLACES_MAX])
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
			places[n].tried = (t->ask.tried & (UINT64_C(1) << n)) != 0;
			n++;
		}
	}
	return n;
}

static void round_end(struct shares_team *t, bool empty, int64_t now)
{
	if (t->ask.asked > 0)
		t->ask.success_ratio +=
			SUCCESS_RATIO_ALPHA * ((empty ? 0 : 1) - t->ask.success_ratio);
	t->ask.tried = 0;
	t->ask.asked = 0;
	if (empty)
		t->ask.paused_until_us = now + EMPTY_PAUSE_US;
}

static void tokens_received(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_tokens_res *res = arg_res;
	struct ask *q = arg;
	struct shares_team *t = shares_team(q->s, q->team);
	int64_t now = now_us();

	if (status != RPC_DONE)
		fleet_suspect(fleet_of(q->s->service.kernel), q->address);
	if (t != NULL) {
		double granted = status == RPC_DONE ? MIN(res->granted, q->want) : 0;

		t->ask.in_flight = false;
		if (granted < q->want)
			t->ask.tried |= UINT64_C(1) << q->place;
		if (granted < q->want && t->ask.remote)
			t->ask.remote_empty_us = now;
		t->granted = now - t->ask.sent_us < GRANT_AGE_MAX_US ? granted : 0;
		team_admit_waiting(t, now);
		ask_next(t, now);
	}
	g_free(q);
}

static void ask_send(struct shares_team *t, const char *address, unsigned place, int64_t now)
{
	ml_tokens_args args = {.team = t->name, .want = t->n_waiting};
	struct ask *q = g_new0(struct ask, 1);

	q->s = t->s;
	q->place = place;
	q->want = t->n_waiting;
	g_strlcpy(q->team, t->name, sizeof(q->team));
	g_strlcpy(q->address, address, sizeof(q->address));
	t->ask.in_flight = true;
	t->ask.asked++;
	t->ask.sent_us = now;
	rpc_start(rpc_of(t->s->service.kernel), address, ML_TOKENS, &args, ASK_TIMEOUT_US,
		  tokens_received, q);
}

void ask_next(struct shares_team *t, int64_t now)
{
	struct part_candidate places[SHARES_PLACES_MAX];
	const char *self = t->s->service.kernel->settings->name;
	unsigned n;
	int at;

	if (!t->fixed || t->ask.in_flight || now < t->ask.paused_until_us)
		return;
	if (t->n_waiting == 0) {
		round_end(t, false, now);
		return;
	}
	n = places_list(t, places);
	at = t->ask.asked < ASKS_MAX
		     ? part_choose(
			       places, n, (unsigned)XXH64(self, strlen(self), 0),
			       part_may_ask_remote(ask_within_rate(t), t->ask.remote_empty_us, now))
		     : -1;
	if (at < 0) {
		round_end(t, true, now);
		return;
	}
	t->ask.remote = !places[at].near;
	ask_send(t, places[at].address, (unsigned)at, now);
}

bool ask_within_rate(const struct shares_team *t)
{
	return t->ask.success_ratio >= WITHIN_RATE_RATIO_MIN;
}

static void tokens_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_tokens_args *a = args;
	struct shares_team *t = shares_team(owner, a->team);
	ml_tokens_res res = {0};
	int64_t now = now_us();

	shares_check_pause(owner, now);
	if (t != NULL && t->configured && t->fixed)
		res.granted = team_grant(t, a->want, now);
	rpc_reply(rq, &res);
}

void ask_serve(struct shares *s)
{
	rpc_serve(rpc_of(s->service.kernel), ML_TOKENS, tokens_serve, s);
}
