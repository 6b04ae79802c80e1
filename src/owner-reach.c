/**
 * @file owner-reach.c
 * Other VMs that reach a member which this VM does not reach: asking them, and inviting one of them
 * to claim the group.
 */
#include "owner.h"

#include "log.h"
#include "relay.h"

#include <string.h>

/** Most VMs that are asked if the setting "relay" is off. */
#define WITNESSES_WITHOUT_RELAY 3
/**
 * How long VMs that reach the primary are invited before the primary is replaced. They do not reach
 * the store then.
 */
#define WITNESS_TIMEOUT_US (2500 * USEC_PER_MSEC)

/** A request in flight to another VM, which tries to connect to the member. */
struct witness_query {
	struct owner *o;
	int64_t asked_us; /**< which round of questions it belongs to */
	char pool[NAME_SIZE];
	char vm[NAME_SIZE];
};

/** Notes the answer of a VM that was asked in the current round. */
static void note_answer(struct owner_group *g, const struct witness_query *q, bool reaches)
{
	unsigned i;

	if (q->asked_us != g->others_asked_us)
		return;
	for (i = 0; i < g->n_witnesses; i++) {
		if (strcmp(g->witness[i].vm, q->vm) != 0)
			continue;
		g->witness[i].answered = true;
		g->witness[i].reaches = reaches;
		if (reaches && g->first_reached_us == 0)
			g->first_reached_us = now_us();
	}
}

static void witness_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_none *res = arg_res;
	struct witness_query *q = arg;
	struct owner_group *g = owner_group_find(q->o, q->pool);
	bool reaches = status == RPC_DONE && res->ok;

	if (g != NULL && g->others_pending > 0) {
		g->others_pending--;
		if (reaches)
			g_strlcpy(g->reached_by, q->vm, sizeof(g->reached_by));
		log_info("reach", LOG_STR("pool", g->pool), LOG_STR("peer", q->vm),
			 LOG_NUM("answered", status == RPC_DONE), LOG_NUM("reaches", reaches));
		note_answer(g, q, reaches);
		if (g->others_pending == 0)
			g->others_asked = true;
	}
	g_free(q);
}

static void ask(struct owner_group *g, const struct vm *vm, const struct owner_member *m)
{
	ml_reach_args args = {.pool = g->pool, .member = (char *)m->conf.name};
	struct reach_answer *a = &g->witness[g->n_witnesses++];
	struct witness_query *q = g_new0(struct witness_query, 1);

	memset(a, 0, sizeof(*a));
	g_strlcpy(a->vm, vm->name, sizeof(a->vm));
	a->near = strcmp(vm->data_center, m->conf.data_center) == 0;
	g->others_pending++;
	q->o = g->o;
	q->asked_us = g->others_asked_us;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	g_strlcpy(q->vm, vm->name, sizeof(q->vm));
	rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_REACH, &args,
		  REACH_TIMEOUT_US + REACH_RPC_MARGIN_US, witness_answered, q);
}

void witness_ask(struct owner_group *g, const struct owner_member *m, int64_t now)
{
	const struct peers *peers = &owner_group_fleet(g)->peers;
	struct reach_vm *vms = relay_list_vms(owner_group_fleet(g));
	bool relay = owner_group_uses_relay(g);
	unsigned out[OWNER_WITNESSES_MAX], n, i;

	g->reached_by[0] = '\0';
	if (relay)
		g->others_asked = false;
	g->others_asked_us = now;
	g->others_pending = 0;
	g->n_witnesses = 0;
	g->witnessed = m->index;
	g->first_reached_us = 0;
	memset(g->witness_invited, 0, sizeof(g->witness_invited));
	n = reach_witnesses(vms, peers->n, m->conf.data_center,
			    relay ? OWNER_WITNESSES_MAX : WITNESSES_WITHOUT_RELAY, random_bits(),
			    out);
	for (i = 0; i < n; i++)
		ask(g, peers->order[out[i]], m);
	g_free(vms);
	if (n == 0)
		g->others_asked = true;
}

void witness_refresh(struct owner_group *g, int64_t now)
{
	const struct owner_member *m = owner_group_primary(g);

	if (m != NULL && (m->index != g->witnessed || now - g->others_asked_us > REACH_FRESH_US))
		witness_ask(g, m, now);
}

/** Returns the VM that the group should go to next, or -1, or REACH_UNDECIDED. */
static int next_owner(const struct owner_group *g, int64_t now)
{
	struct reach_answer left[OWNER_WITNESSES_MAX];
	unsigned i;

	for (i = 0; i < g->n_witnesses; i++) {
		left[i] = g->witness[i];
		left[i].reaches = left[i].reaches && !g->witness_invited[i];
	}
	return reach_next_owner(left, g->n_witnesses, now - g->first_reached_us);
}

const char *witness_next(struct owner_group *g)
{
	const struct owner_member *m = owner_group_primary(g);
	int next = now_us() - g->others_asked_us < REACH_FRESH_US ? next_owner(g, now_us()) : -1;

	/* They may have been asked about a member that turned out not to be the primary. */
	if (next < 0 || (g->state == OWNER_SERVING && (m == NULL || m->index != g->witnessed)))
		return NULL;
	g->witness_invited[next] = true;
	return g->witness[next].vm;
}

bool witness_hand_over(struct owner_group *g, int64_t since_us, int64_t now, const char *why)
{
	int next;

	if (g->first_reached_us == 0 || g->others_asked_us < since_us ||
	    now - since_us > WITNESS_TIMEOUT_US)
		return false;
	next = next_owner(g, now);
	if (next >= 0 && claim_invite_vm(g, g->witness[next].vm, why))
		g->witness_invited[next] = true;
	/* None of them took the group: others are asked. */
	if (next == -1 && g->others_pending == 0 && now - g->others_asked_us > REACH_FRESH_US)
		witness_ask(g, &g->member[g->witnessed], now);
	return true;
}
