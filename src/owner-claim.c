/**
 * @file owner-claim.c
 * Who owns a group: claiming one whose owner is gone, handing one over, and stopping when another
 * VM asks for it.
 */
#include "owner.h"

#include "fleet-store.h"
#include "log.h"

#include <string.h>

/** After a claim that the record had no room for. */
#define RETRY_US (100 * USEC_PER_MSEC)
/** A group moves to the data centre of its primary once it has served for so long. */
#define MOVE_AFTER_US (1 * USEC_PER_SEC)
/** Between two VMs that are asked to claim a group. */
#define INVITE_PAUSE_US (300 * USEC_PER_MSEC)
/** Between two tries to move. */
#define MOVE_PAUSE_US (5 * USEC_PER_SEC)
/** An owner that seems gone is asked this often, and has so long to answer. */
#define ASK_US (200 * USEC_PER_MSEC)
#define ASK_TIMEOUT_US (250 * USEC_PER_MSEC)
/** How long a report that an owner is out of reach is acted on. */
#define REPORT_FRESH_US (1 * USEC_PER_SEC)
/** How long the store is taken to turn this VM away after a read of a record failed. */
#define STORE_FAILED_US (3 * USEC_PER_SEC)
/** Between two such reports of one VM on one group. */
#define REPORT_PAUSE_US (200 * USEC_PER_MSEC)

/** A question to the owner that is out. */
struct ask {
	struct owner *o;
	char pool[NAME_SIZE];
};

static void ask(struct owner_group *g, const char *address, rpc_done cb)
{
	ml_owner args = {.pool = g->pool,
			 .vm = "",
			 .address = "",
			 .revision = owner_known_revision(g->o, g->pool),
			 .primary = ""};
	struct ask *q = g_new0(struct ask, 1);

	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	rpc_start(rpc_of(g->o->service.kernel), address, ML_OWNER, &args, ASK_TIMEOUT_US, cb, q);
}

/* Telling others */

void claim_tell_all(struct owner_group *g)
{
	struct fleet *f = og_fleet(g);
	ml_owner args = {.pool = g->pool,
			 .vm = g->record.owner.name,
			 .address = g->record.address,
			 .revision = g->revision,
			 .primary = ""};
	struct vm *vm;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm != f->peers.self && vm->listed && !vm->dead)
			rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_OWNER, &args,
				  ASK_TIMEOUT_US, NULL, NULL);
	}
}

void claim_superseded(struct owner_group *g)
{
	if (g->state > OWNER_CLAIMING)
		record_ownership_ends(g, "told-of-another");
}

/* Claiming */

static void claimed(struct owner_group *g, bool ok)
{
	if (g->state == OWNER_CLAIMING)
		og_state(g, OWNER_NONE, "not-claimed");
	else if (og_mine(g))
		claim_tell_all(g);
}

/**
 * Whether the record's owner is a process that has surely ended: the platform's list, which is as
 * new as the record, names another one of that VM. What was heard of a VM may be older than the
 * record; a claim that took the present owner for an ended one would not wait until it stops.
 */
static bool owner_ended(const struct owner_group *g)
{
	const struct peers *p = &og_fleet(g)->peers;
	const struct vm *vm = peers_find(p, g->record.owner.name);

	return vm != NULL && vm->listed_incarnation != 0 && p->revision >= g->revision &&
	       vm->listed_incarnation != g->record.owner.incarnation;
}

static void claim(struct owner_group *g, const char *why)
{
	struct lead_record r = g->record;
	struct lead_vm self = owner_self(g->o);

	/* Right after a restore the list may name a process of before the record's. */
	bool ended = (owner_ended(g) && fleet_store_settled(og_fleet(g))) ||
		     strcmp(r.owner.name, self.name) == 0;

	if (!lead_claim(&r, &self, g->o->service.kernel->settings->advertise, ended)) {
		log_warn("claim-without-room", LOG_STR("pool", g->pool));
		g->next_us = now_us() + RETRY_US;
		return;
	}
	log_info("claim", LOG_STR("pool", g->pool), LOG_STR("former", g->record.owner.name),
		 LOG_REVISION("revision", g->revision), LOG_STR("why", why));
	og_state(g, OWNER_CLAIMING, why);
	record_write(g, &r, claimed);
}

/** Fill in what this VM, as the owner, knows of the newest write. */
static void put_mark(struct owner_group *g, ml_owner *res)
{
	const struct mark *newest = &g->marks.newest;

	if (!og_mine(g) || newest->pos.term == 0)
		return;
	if (g->primary >= 0)
		res->primary = g->member[g->primary].conf.name;
	res->mark = (ml_pos){newest->pos.term, newest->pos.lsn};
	res->mark_age_us = (u_quad_t)(now_us() - newest->asked_us);
}

static void mark_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_owner *res = arg_res;
	struct ask *q = arg;
	struct owner_group *g = og_find(q->o, q->pool);

	if (g != NULL) {
		g->mark_asked = false;
		if (status == RPC_DONE && res->primary[0] != '\0')
			g_strlcpy(g->told_primary, res->primary, sizeof(g->told_primary));
		if (status == RPC_DONE)
			owner_told_mark(q->o, q->pool, (struct pos){res->mark.term, res->mark.lsn},
					g->mark_asked_us - (int64_t)res->mark_age_us);
	}
	g_free(q);
}

void claim_ask_mark(struct owner_group *g, int64_t now)
{
	const char *address;
	bool known;

	if (g->mark_asked)
		return;
	address = owner_address(g->o, g->pool, &known);
	if (address == NULL)
		return;
	g->mark_asked = true;
	g->mark_asked_us = now;
	ask(g, address, mark_answered);
}

static void owner_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_owner *res = arg_res;
	struct ask *q = arg;
	struct owner_group *g = og_find(q->o, q->pool);

	if (g != NULL) {
		g->asking = false;
		if (status == RPC_DONE && res->serving)
			g->reported_us = 0;
		/* Roles pass over a VM that does not answer, until it is heard again. */
		if (status != RPC_DONE)
			fleet_suspect(og_fleet(g), g->record.address);
		if (status != RPC_DONE || !res->serving) {
			g->owner_lost = true;
			log_info("owner-silent", LOG_STR("pool", g->pool),
				 LOG_STR("owner", g->record.owner.name),
				 LOG_NUM("answered", status == RPC_DONE));
		}
	}
	g_free(q);
}

/** Ask the owner whether it still is: one lost call to it does not mean that it is gone. */
static void ask_owner(struct owner_group *g, int64_t now)
{
	if (g->asking || now - g->asked_us < ASK_US)
		return;
	g->asked_us = now;
	g->asking = true;
	ask(g, g->record.address, owner_answered);
}

/** RPC address of the VM that is to claim the group when its owner is gone; NULL for none. */
static const char *successor_address(const struct owner_group *g)
{
	char role[NAME_SIZE + 8];

	g_snprintf(role, sizeof(role), "group %s", g->pool);
	return fleet_holder_address(og_fleet(g), role);
}

/** Whether this VM is that one. */
static bool is_successor(const struct owner_group *g)
{
	const char *address = successor_address(g);

	return address != NULL && strcmp(address, g->o->service.kernel->settings->advertise) == 0;
}

/** Whether the record names an earlier process of this VM, which has surely ended. */
static bool was_mine(const struct owner_group *g)
{
	const struct lead_vm self = owner_self(g->o);

	return g->revision != 0 && strcmp(g->record.owner.name, self.name) == 0 &&
	       g->record.owner.incarnation != self.incarnation;
}

static bool is_reported(const struct owner_group *g, int64_t now)
{
	return g->reported_us != 0 && now - g->reported_us < REPORT_FRESH_US;
}

static void claim_if_lost(struct owner_group *g, int64_t now)
{
	const struct vm *vm = peers_find(&og_fleet(g)->peers, g->record.owner.name);
	bool self = strcmp(g->record.owner.name, g->o->service.kernel->settings->name) == 0;

	if (g->revision == 0) {
		claim(g, "no-record");
		return;
	}
	/* A newer record than is known here: the claim would only lose against it. */
	if (g->hint_revision > g->revision) {
		record_outdated(g);
		g->hint_revision = 0;
		return;
	}
	if (self || owner_ended(g)) {
		claim(g, "owner-restarted");
		return;
	}
	if (vm != NULL && peers_usable(vm) && !is_reported(g, now))
		return;
	if (vm != NULL && vm->left) {
		claim(g, "owner-left");
		return;
	}
	if (g->owner_lost || vm == NULL) {
		claim(g, vm == NULL ? "owner-not-listed" : "owner-silent");
		return;
	}
	ask_owner(g, now);
}

/** A report on an owner that is under way. */
struct report {
	struct owner *o;
	char address[ADDRESS_SIZE];
};

static void report_answered(enum rpc_status status, const void *res, void *arg)
{
	struct report *r = arg;

	if (status != RPC_DONE)
		fleet_suspect(fleet_of(r->o->service.kernel), r->address);
	g_free(r);
}

static void report_send(struct owner_group *g, const char *address)
{
	ml_owner args = {
		.pool = g->pool, .vm = "", .address = "", .primary = "", .unreachable = true};
	struct report *r;

	if (now_us() - g->report_us < REPORT_PAUSE_US)
		return;
	g->report_us = now_us();
	log_info("owner-unreachable", LOG_STR("pool", g->pool),
		 LOG_STR("owner", g->record.owner.name), LOG_REVISION("revision", g->revision),
		 LOG_STR("to", address));
	args.revision = owner_known_revision(g->o, g->pool);
	r = g_new0(struct report, 1);
	r->o = g->o;
	g_strlcpy(r->address, address, sizeof(r->address));
	rpc_start(rpc_of(g->o->service.kernel), r->address, ML_OWNER, &args, ASK_TIMEOUT_US,
		  report_answered, r);
}

void owner_report_unreachable(struct owner *o, const char *pool)
{
	struct owner_group *g = og_find(o, pool);
	const char *address;

	if (g == NULL || og_mine(g))
		return;
	address = successor_address(g);
	if (address != NULL)
		report_send(g, address);
}

/** Another VM that is usable, as likely as any; NULL when there is none. */
static struct vm *random_peer(struct fleet *f)
{
	struct vm *vm, *chosen = NULL;
	unsigned usable = 0;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm != f->peers.self && peers_usable(vm) && random_bits() % ++usable == 0)
			chosen = vm;
	}
	return chosen;
}

void claim_store_failed(struct owner_group *g)
{
	struct vm *vm;

	g->store_failed_us = now_us();
	if (!is_reported(g, g->store_failed_us))
		return;
	vm = random_peer(og_fleet(g));
	if (vm != NULL)
		report_send(g, vm->address);
}

/** Another VM could not reach the owner. A VM that the store turns away passes the report on. */
static void report_take(struct owner_group *g, uint64_t revision)
{
	int64_t now = now_us();
	bool listed = fleet_surely_listed(og_fleet(g));

	g->reported_us = now;
	if (revision > g->revision)
		record_outdated(g);
	if (!listed || (g->store_failed_us != 0 && now - g->store_failed_us < STORE_FAILED_US))
		claim_store_failed(g);
}

void claim_invite(struct owner_group *g, const char *why)
{
	ml_owner args = {.pool = g->pool, .vm = "", .address = "", .primary = "", .claim = true};
	int64_t now = now_us();
	struct vm *vm;

	if (now - g->invited_us < INVITE_PAUSE_US)
		return;
	g->invited_us = now;
	/* Any of them: the store may turn others away too, and the next try asks another one. */
	vm = random_peer(og_fleet(g));
	if (vm == NULL)
		return;
	log_warn("invite", LOG_STR("pool", g->pool), LOG_STR("peer", vm->name),
		 LOG_STR("why", why));
	rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_OWNER, &args, ASK_TIMEOUT_US, NULL,
		  NULL);
}

/**
 * The owner that did not answer is heard again. Only the VM that is to claim the group asks it; one
 * that was that VM for a moment would go on sending statements to the next in line for ever, which
 * refuses them, while the owner serves all others.
 */
static void notice_owner_back(struct owner_group *g)
{
	const struct vm *vm;

	if (!g->owner_lost)
		return;
	vm = peers_find(&og_fleet(g)->peers, g->record.owner.name);
	if (vm == NULL || !peers_usable(vm) || owner_ended(g))
		return;
	g->owner_lost = false;
	log_info("owner-back", LOG_STR("pool", g->pool), LOG_STR("owner", vm->name),
		 LOG_REVISION("revision", g->revision));
}

static void rewritten(struct owner_group *g, bool ok)
{
	if (ok)
		claim_tell_all(g);
}

static bool needs_record(const struct owner_group *g, bool successor)
{
	if (!fleet_store_is_current(g->revision) && fleet_store_renewed())
		return true;
	return !g->read && (successor || g->outdated || g->invited || og_mine(g));
}

void claim_tick(struct owner_group *g, int64_t now)
{
	struct fleet *f = og_fleet(g);
	uint64_t registration = fleet_store_registration(f);
	bool successor;

	notice_owner_back(g);
	if (g->busy || now < g->next_us || !g->configured || g->o->leaving)
		return;
	if (registration == 0 || fleet_store_lease_until_us(f) < now)
		return;
	successor = is_successor(g) || is_reported(g, now);
	/*
	 * Under a new lease others may have taken the group while this VM had none, so the store is
	 * asked before anything is sent. A VM that is not to claim the group needs no record: it
	 * learns the owner from others.
	 */
	if (needs_record(g, successor) ||
	    (og_mine(g) && g->state > OWNER_CLAIMING && g->registration != registration)) {
		record_read(g);
		return;
	}
	if (g->recovered && now >= g->recovered_us && og_mine(g)) {
		record_write(g, &g->record, rewritten);
	} else if (g->recovered && now >= g->recovered_us) {
		claim(g, "choice-recovered");
	} else if (g->state == OWNER_NONE && g->invited) {
		g->invited = false;
		claim(g, "invited");
	} else if (g->state == OWNER_NONE && (successor || was_mine(g))) {
		/*
		 * After a loss of all VMs the successor would have to hear of the restarted owner
		 * first, while that one knows at once that its former process is gone.
		 */
		claim_if_lost(g, now);
	}
}

/* Handing over */

void claim_hand_over(struct owner_group *g, const char *to, const char *why)
{
	struct vm *vm = peers_find(&og_fleet(g)->peers, to);
	struct lead_record r = g->record;
	struct lead_vm next = {0};

	if (vm == NULL || g->busy || !og_mine(g))
		return;
	next.incarnation = vm->incarnation;
	g_strlcpy(next.name, vm->name, sizeof(next.name));
	if (!lead_claim(&r, &next, vm->address, false))
		return;
	log_info("hand-over", LOG_STR("pool", g->pool), LOG_STR("to", to), LOG_STR("why", why));
	record_write(g, &r, rewritten);
}

void claim_move_near(struct owner_group *g, int64_t now)
{
	const struct owner_member *m = og_primary(g);
	struct fleet *f = og_fleet(g);
	char role[NAME_SIZE + 8];
	struct vm *vm;

	if (m == NULL || g->state != OWNER_SERVING || now - g->state_us < MOVE_AFTER_US ||
	    now - g->moved_us < MOVE_PAUSE_US || m->unheard_us != 0 ||
	    strcmp(m->conf.data_center, f->peers.self->data_center) == 0)
		return;
	g->moved_us = now;
	g_snprintf(role, sizeof(role), "group %s", g->pool);
	vm = peers_holder(&f->peers, role, m->conf.data_center);
	if (vm == NULL || vm->incarnation == 0 || strcmp(vm->data_center, m->conf.data_center) != 0)
		return;
	claim_hand_over(g, vm->name, "near-primary");
}

/* Between VMs */

void claim_stop(struct owner_group *g, const char *why)
{
	unsigned i;

	if (g->yielded)
		return;
	log_info("yield", LOG_STR("pool", g->pool), LOG_STR("why", why),
		 LOG_REVISION("revision", g->revision));
	g->yielded = true;
	g->sending = false;
	if (g->state > OWNER_CLAIMING)
		og_state(g, OWNER_NONE, why);
	queue_refuse(g, true, OUTCOME_LEAVING);
	for (i = 0; i < g->n; i++) {
		watch_close(&g->member[i]);
		conn_close_all(&g->member[i]);
	}
}

/** Fill in what this VM knows of the primary that it sent to. */
static void put_primary(struct owner_group *g, ml_yield_res *res, int64_t now)
{
	const struct owner_member *m = og_primary(g);

	res->acknowledged = (ml_pos){g->marks.newest.pos.term, g->marks.newest.pos.lsn};
	if (m == NULL || m->heard_us == 0)
		return;
	res->primary = (char *)m->conf.name;
	res->heard_age_us = (u_quad_t)(now - m->heard_us);
}

/** Another VM has claimed the group, and asks this one to stop sending to its primary. */
void claim_yield_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_yield_args *a = args;
	struct owner_group *g = og_find(owner, a->pool);
	ml_yield_res res = {.stopped = true, .primary = ""};
	int64_t now = now_us();

	if (g != NULL && og_mine(g) && a->revision <= g->revision) {
		/* An order of before this VM's own claim. */
		res.stopped = false;
	} else if (g != NULL) {
		const struct owner_member *m = og_primary(g);
		struct succession_sender s = {.may_send = m != NULL && og_may_send(g),
					      .leaving = g->o->leaving,
					      .quiet_us = (int64_t)a->quiet_us,
					      .heard_us = m != NULL ? m->heard_us : 0};

		put_primary(g, &res, now);
		res.stopped = !succession_goes_on(&s, now);
		if (res.stopped)
			claim_stop(g, "asked");
		else
			log_info("yield-declined", LOG_STR("pool", g->pool), LOG_STR("peer", a->vm),
				 LOG_STR("member", m->conf.name),
				 LOG_NUM("heard_age_us", now - m->heard_us),
				 LOG_NUM("quiet_us", a->quiet_us),
				 LOG_REVISION("revision", a->revision));
		if (res.stopped && a->revision > g->revision)
			record_outdated(g);
	}
	rpc_reply(rq, &res);
}

/** With a name: news of an owner. Without: a question to the owner. */
void claim_owner_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_owner *a = args;
	struct owner_group *g = og_find(owner, a->pool);
	ml_owner res = {.pool = "", .vm = "", .address = "", .primary = ""};

	if (g != NULL && a->claim && !og_mine(g) && !g->o->leaving) {
		/* What is known here of the record may be older than what the owner has written. */
		g->invited = true;
		record_outdated(g);
	}
	if (g != NULL && a->unreachable && !og_mine(g) && !g->o->leaving)
		report_take(g, a->revision);
	if (g != NULL && a->vm[0] != '\0')
		owner_heard(owner, a->pool, a->vm, a->address, a->revision);
	if (g != NULL && g->revision > a->revision) {
		res.vm = g->record.owner.name;
		res.address = g->record.address;
		res.revision = g->revision;
	}
	if (g != NULL) {
		res.serving = og_mine(g) && og_may_send(g);
		put_mark(g, &res);
	}
	rpc_reply(rq, &res);
}
