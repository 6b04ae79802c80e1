/**
 * @file session-preopen.c
 * Tells the owner of a group that a statement of a team is about to follow, so that it can open a
 * connection for it (decide/budget.h). Nothing waits for the answer.
 */
#include "session-state.h"

#include "bucket.h"

#include <string.h>

/** Messages for one group: at most 20 in any second. */
#define PREOPEN_PER_S 16
#define PREOPEN_BURST 4
/** Time limit of a message: after that the statement itself has long been sent. */
#define PREOPEN_TIMEOUT_US (500 * USEC_PER_MSEC)
/** How long nothing is sent to an address that does not answer, as a VM of an older build. */
#define PREOPEN_PAUSE_US (10 * USEC_PER_SEC)

/** What was sent for one group. */
struct preopen {
	struct bucket bucket;
	char address[ADDRESS_SIZE]; /**< that the last message was sent to */
	int64_t paused_until_us;    /**< for that address */
};

static struct preopen *preopen_of(struct sessions *all, const char *pool, int64_t now)
{
	struct preopen *p;

	if (all->preopens == NULL)
		all->preopens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p = g_hash_table_lookup(all->preopens, pool);
	if (p != NULL)
		return p;
	p = g_new0(struct preopen, 1);
	bucket_init(&p->bucket, PREOPEN_PER_S, PREOPEN_BURST, PREOPEN_BURST, now);
	g_hash_table_insert(all->preopens, g_strdup(pool), p);
	return p;
}

static void on_preopened(enum rpc_status status, const void *res, void *arg)
{
	struct preopen *p = arg;

	if (status != RPC_DONE)
		p->paused_until_us = now_us() + PREOPEN_PAUSE_US;
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
	const char *address;
	struct preopen *p;
	bool known;

	if (s->team[0] == '\0' || !budget_preopens(owner_of(k), s->route.pool) ||
	    !owner_serves(s, primary))
		return;
	address = owner_address(owner_of(k), s->route.pool, &known);
	if (address == NULL || !known)
		return;
	p = preopen_of(s->sessions, s->route.pool, now);
	if (strcmp(p->address, address) != 0) {
		g_strlcpy(p->address, address, sizeof(p->address));
		p->paused_until_us = 0;
	}
	if (now < p->paused_until_us || !bucket_take(&p->bucket, 1, now))
		return;
	rpc_start(rpc_of(k), p->address, ML_PREOPEN, &args, PREOPEN_TIMEOUT_US, on_preopened, p);
}
