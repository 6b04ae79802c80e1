/**
 * @file owner-fence.c
 * Fencing: makes sure that no other VM sends to the primary of a group. Each sender that the record
 * names must confirm that it stopped, or its lease must have ended. Senders whose processes have
 * ended leave the record at each claim, and while the group is served.
 */
#include "owner.h"

#include "fleet-store.h"
#include "log.h"
#include "stat.h"

#include <string.h>

/** Time limit for the answer of a sender that is asked to stop. */
#define YIELD_TIMEOUT_US (200 * USEC_PER_MSEC)

/** A request to stop in flight to a sender, or a read of its key in the store. */
struct fence {
	struct owner *o;
	char pool[NAME_SIZE];
	struct lead_vm vm;
	uint64_t revision; /**< of the record that names the sender */
	int64_t asked_us;
};

/**
 * Removes a sender that is known to send no more from the record.
 * @param reported whether it has reported the newest position that it acknowledged
 */
static void fenced(const struct fence *f, bool reported, const char *how)
{
	struct owner_group *g = owner_group_find(f->o, f->pool);

	if (g == NULL || (!owner_group_is_own(g) && g->revision != f->revision))
		return;
	log_info("fenced", LOG_STR("pool", f->pool), LOG_STR("peer", f->vm.name),
		 LOG_STR("how", how));
	if (!reported && lead_has_sender(&g->record, &f->vm))
		g->succession.acknowledged_all = false;
	g->sender_removed_us = now_us();
	lead_remove_sender(&g->record, &f->vm);
}

unsigned fence_drop_ended(struct owner_group *g, struct lead_record *r)
{
	struct fleet *f = owner_group_fleet(g);
	bool current = f->peers.revision >= g->revision && fleet_store_settled(f);
	unsigned i, n = r->n;

	for (i = n; i-- > 0;) {
		const struct lead_vm sender = r->sender[i];
		const struct vm *vm = peers_find(&f->peers, sender.name);
		const struct lead_listing l = {.current = current,
					       .listed = vm != NULL && vm->listed,
					       .incarnation =
						       vm != NULL ? vm->listed_incarnation : 0};

		if (!lead_process_ended(&sender, &l))
			continue;
		stat_add(STAT_SENDERS_ENDED, 1);
		log_info("sender-ended", LOG_STR("pool", g->pool), LOG_STR("peer", sender.name),
			 LOG_NUM("listed", l.listed), LOG_NUM("senders", r->n),
			 LOG_REVISION("revision", g->revision));
		g->sender_removed_us = now_us();
		lead_remove_sender(r, &sender);
	}
	return n - r->n;
}

/**
 * Takes what a sender reports of the primary. A primary that the sender is in contact with should
 * be reachable from this VM too, so it is probed on a new connection.
 */
static void apply_report(const struct fence *f, const ml_yield_res *res)
{
	struct owner_group *g = owner_group_find(f->o, f->pool);
	struct succession_report r = {.stopped = res->stopped, .incarnation = f->vm.incarnation};
	bool first;
	unsigned i;

	if (g == NULL || !owner_group_is_own(g))
		return;
	r.acknowledged = (struct pos){res->acknowledged.term, res->acknowledged.lsn};
	g_strlcpy(r.vm, f->vm.name, sizeof(r.vm));
	g_strlcpy(r.primary, res->primary, sizeof(r.primary));
	if (res->primary[0] != '\0')
		r.latest_contact_us = f->asked_us - (int64_t)res->last_contact_age_us;
	first = g->succession.reported_us == 0;
	succession_report(&g->succession, &r, now_us());
	if (g->succession.latest_contact_us == 0)
		return;
	if (first)
		log_info("primary-heard-by", LOG_STR("pool", g->pool), LOG_STR("peer", r.vm),
			 LOG_STR("member", r.primary), LOG_NUM("stopped", r.stopped),
			 LOG_NUM("term", r.acknowledged.term), LOG_NUM("lsn", r.acknowledged.lsn),
			 LOG_NUM("age_us", now_us() - r.latest_contact_us));
	for (i = 0; i < g->n; i++) {
		if (strcmp(g->member[i].conf.name, g->succession.primary) == 0 &&
		    g->member[i].observed_us <= g->state_us)
			watch_probe_reconnect(&g->member[i]);
	}
}

static void yield_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_yield_res *res = arg_res;
	struct fence *f = arg;

	if (status == RPC_DONE) {
		apply_report(f, res);
		if (res->stopped)
			fenced(f, res->acknowledged.term != 0, "yielded");
	}
	g_free(f);
}

/**
 * Handles the answer to a read of the sender's key in the store. If the key is gone or belongs to a
 * later process, the sender's lease has ended. A sender checks its lease before it sends and before
 * it trusts an answer, by a clock that continues while the VM is suspended. Right after a restore
 * of the store the key proves nothing.
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
			fenced(f, false, "lease-ended");
		else if (fleet_store_vm_parse(item->value, name, &incarnation) &&
			 incarnation != f->vm.incarnation)
			fenced(f, false, "restarted");
	}
	g_free(f);
}

static struct fence *fence_create(struct owner_group *g, const struct lead_vm *vm)
{
	struct fence *f = g_new0(struct fence, 1);

	f->o = g->o;
	g_strlcpy(f->pool, g->pool, sizeof(f->pool));
	f->vm = *vm;
	f->revision = g->revision;
	f->asked_us = now_us();
	return f;
}

static void ask_sender(struct owner_group *g, const struct lead_vm *vm)
{
	struct kernel *k = g->o->service.kernel;
	struct fleet *f = owner_group_fleet(g);
	struct vm *peer = peers_find(&f->peers, vm->name);
	char *key = g_strconcat(FLEET_STORE_VMS, vm->name, NULL);
	ml_yield_args args = {
		.pool = g->pool, .revision = g->revision, .vm = (char *)k->settings->name};

	/* A VM that is not the owner asks only for room in the record. */
	if (!g->planned && owner_group_is_own(g))
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

	/* Backwards: an answer that comes at once removes its sender. */
	for (i = g->record.n; i-- > 0;) {
		const struct lead_vm sender = g->record.sender[i];

		ask_sender(g, &sender);
	}
}
