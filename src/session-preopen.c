/**
 * @file session-preopen.c
 * Tells the owner of a group that a statement of a team is about to follow, so that it can open a
 * connection for it (decide/budget.h). Nothing waits for the answer.
 */
#include "session-state.h"

#include "bucket.h"

#include <string.h>

/** Messages of this VM: at most 20 in any second, for all groups together. */
#define PREOPEN_PER_S 16
#define PREOPEN_BURST 4
/** Time limit of a message: after that the statement itself has long been sent. */
#define PREOPEN_TIMEOUT_US (500 * USEC_PER_MSEC)
/** How long nothing is sent to an address that does not answer, as a VM of an older build. */
#define PREOPEN_PAUSE_US (10 * USEC_PER_SEC)

struct preopens {
	struct bucket bucket;
	GHashTable *paused; /**< address to the time until which nothing is sent there */
};

/** A message whose answer is only noted. */
struct preopen_call {
	struct preopens *p;
	char address[ADDRESS_SIZE];
};

static struct preopens *preopens_of(struct sessions *all, int64_t now)
{
	struct preopens *p = all->preopens;

	if (p != NULL)
		return p;
	p = g_new0(struct preopens, 1);
	bucket_init(&p->bucket, PREOPEN_PER_S, PREOPEN_BURST, PREOPEN_BURST, now);
	p->paused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	all->preopens = p;
	return p;
}

void session_preopens_free(struct preopens *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->paused);
	g_free(p);
}

static void on_preopened(enum rpc_status status, const void *res, void *arg)
{
	struct preopen_call *call = arg;
	int64_t until_us = now_us() + PREOPEN_PAUSE_US;

	if (status != RPC_DONE)
		g_hash_table_replace(call->p->paused, g_strdup(call->address),
				     g_memdup2(&until_us, sizeof(until_us)));
	g_free(call);
}

/** Whether the address did not answer lately. */
static bool paused(struct preopens *p, const char *address, int64_t now)
{
	const int64_t *until_us = g_hash_table_lookup(p->paused, address);

	if (until_us == NULL)
		return false;
	if (now < *until_us)
		return true;
	g_hash_table_remove(p->paused, address);
	return false;
}

/** Whether the next statement of the session will most likely be served by the owner. */
static bool owner_serves(const struct session *s, bool primary)
{
	return primary || owner_local_reader(owner_of(session_kernel(s)), s->route.pool) == NULL;
}

void session_preopen(struct session *s, bool primary)
{
	struct kernel *k = session_kernel(s);
	ml_preopen_args args = {.pool = s->route.pool,
				.team = s->team,
				.priority = s->route.priority,
				.primary = primary};
	int64_t now = now_us();
	struct preopen_call *call;
	const char *address;
	struct preopens *p;
	bool known;

	if (s->team[0] == '\0' || !budget_preopens(owner_of(k), s->route.pool) ||
	    !owner_serves(s, primary))
		return;
	address = owner_address(owner_of(k), s->route.pool, &known);
	if (address == NULL || !known)
		return;
	p = preopens_of(s->sessions, now);
	if (paused(p, address, now) || !bucket_take(&p->bucket, 1, now))
		return;
	call = g_new0(struct preopen_call, 1);
	call->p = p;
	g_strlcpy(call->address, address, sizeof(call->address));
	rpc_start(rpc_of(k), address, ML_PREOPEN, &args, PREOPEN_TIMEOUT_US, on_preopened, call);
}
