/**
 * @file owner-fence.c
 * Making sure that nobody else sends to a group's primary any more: each VM that its record names
 * as a sender has said that it stopped, or its lease has ended.
 */
#include "owner.h"

#include "fleet-store.h"
#include "log.h"

#include <string.h>

/** Answer of a sender that is asked to stop; it is asked again after that. */
#define YIELD_TIMEOUT_US (200 * USEC_PER_MSEC)

struct fence {
	struct owner *o;
	char pool[NAME_SIZE];
	struct lead_vm vm;
	int64_t asked_us;
};

/** The sender is known to send no more. */
static void fenced(struct owner *o, const char *pool, const struct lead_vm *vm, const char *how)
{
	struct owner_group *g = og_find(o, pool);

	if (g == NULL || !og_mine(g))
		return;
	log_info("fenced", LOG_STR("pool", pool), LOG_STR("peer", vm->name), LOG_STR("how", how));
	lead_remove_sender(&g->record, vm);
}

/** A sender told what it knows of the primary: one that it hears should be in reach here too. */
static void take_report(const struct fence *f, const ml_yield_res *res)
{
	struct owner_group *g = og_find(f->o, f->pool);
	struct succession_report r = {.stopped = res->stopped, .incarnation = f->vm.incarnation};
	bool first;
	unsigned i;

	if (g == NULL || !og_mine(g))
		return;
	r.acknowledged = (struct pos){res->acknowledged.term, res->acknowledged.lsn};
	g_strlcpy(r.vm, f->vm.name, sizeof(r.vm));
	g_strlcpy(r.primary, res->primary, sizeof(r.primary));
	if (res->primary[0] != '\0')
		r.heard_us = f->asked_us - (int64_t)res->heard_age_us;
	first = g->succession.reported_us == 0;
	succession_report(&g->succession, &r, now_us());
	if (g->succession.heard_us == 0)
		return;
	if (first)
		log_info("primary-heard-by", LOG_STR("pool", g->pool), LOG_STR("peer", r.vm),
			 LOG_STR("member", r.primary), LOG_NUM("stopped", r.stopped),
			 LOG_NUM("term", r.acknowledged.term), LOG_NUM("lsn", r.acknowledged.lsn),
			 LOG_NUM("age_us", now_us() - r.heard_us));
	for (i = 0; i < g->n; i++) {
		if (strcmp(g->member[i].conf.name, g->succession.primary) == 0 &&
		    g->member[i].seen_us <= g->state_us)
			watch_look_anew(&g->member[i]);
	}
}

static void yield_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_yield_res *res = arg_res;
	struct fence *f = arg;

	if (status == RPC_DONE) {
		take_report(f, res);
		if (res->stopped)
			fenced(f->o, f->pool, &f->vm, "yielded");
	}
	g_free(f);
}

/**
 * The sender's key in the store: gone, or of a later process. Its lease has ended then, and it
 * checks its lease by a clock that runs on while it is suspended, before it sends and before it
 * believes an answer. Right after a restore of the store neither proves that.
 */
static void key_read(const struct store_answer *a, void *arg)
{
	struct fence *f = arg;

	if (!fleet_store_settled(fleet_of(f->o->service.kernel))) {
		g_free(f);
		return;
	}
	if (a->status == STORE_DONE || a->status == STORE_NO_LEASE) {
		const struct store_item *item =
			a->items->len > 0 ? g_ptr_array_index(a->items, 0) : NULL;
		char name[NAME_SIZE];
		uint64_t incarnation = 0;

		if (item == NULL || item->value == NULL)
			fenced(f->o, f->pool, &f->vm, "lease-ended");
		else if (fleet_store_vm_parse(item->value, name, &incarnation) &&
			 incarnation != f->vm.incarnation)
			fenced(f->o, f->pool, &f->vm, "restarted");
	}
	g_free(f);
}

static struct fence *fence_create(struct owner_group *g, const struct lead_vm *vm)
{
	struct fence *f = g_new0(struct fence, 1);

	f->o = g->o;
	g_strlcpy(f->pool, g->pool, sizeof(f->pool));
	f->vm = *vm;
	f->asked_us = now_us();
	return f;
}

static void ask_sender(struct owner_group *g, const struct lead_vm *vm)
{
	struct kernel *k = g->o->service.kernel;
	struct fleet *f = og_fleet(g);
	struct vm *peer = peers_find(&f->peers, vm->name);
	char *key = g_strconcat(FLEET_STORE_VMS, vm->name, NULL);
	ml_yield_args args = {
		.pool = g->pool, .revision = g->revision, .vm = (char *)k->settings->name};

	if (!g->planned)
		args.quiet_us = (u_quad_t)(now_us() - g->succession.since_us);
	if (peer != NULL && peer != f->peers.self)
		rpc_start(rpc_of(k), peer->address, ML_YIELD, &args, YIELD_TIMEOUT_US,
			  yield_answered, fence_create(g, vm));
	fleet_store(f)->ops->get(fleet_store(f), key, key_read, fence_create(g, vm));
	g_free(key);
}

void fence_ask(struct owner_group *g)
{
	unsigned i;

	for (i = 0; i < g->record.n; i++)
		ask_sender(g, &g->record.sender[i]);
}
