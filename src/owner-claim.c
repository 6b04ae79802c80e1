/**
 * @file owner-claim.c
 * Ownership of a group: claiming a group whose owner is gone, handing a group over, and yielding
 * when another VM asks for it.
 */
#include "owner.h"

#include "fleet-store.h"
#include "log.h"
#include "relay.h"

#include <string.h>

/** Pause after a claim for which the record has no room. */
#define RETRY_US (100 * USEC_PER_MSEC)
/** How long a group must have been served before it moves to the data centre of its primary. */
#define MOVE_AFTER_US (1 * USEC_PER_SEC)
/** Pause between two invitations to claim a group. */
#define INVITE_PAUSE_US (300 * USEC_PER_MSEC)
/** Pause between two attempts to move a group. */
#define MOVE_PAUSE_US (5 * USEC_PER_SEC)
/** Interval at which an owner that seems gone is asked whether it serves the group. */
#define QUERY_INTERVAL_US (200 * USEC_PER_MSEC)
#define QUERY_TIMEOUT_US (250 * USEC_PER_MSEC)
/** How long an invitation to claim a group is followed. */
#define INVITATION_US (1 * USEC_PER_SEC)
/** A call to the store that takes longer may never be answered; usual ones take 20 ms. */
#define STORE_SLOW_US (200 * USEC_PER_MSEC)
/**
 * Time before the end of its lease at which an owner asks others whether they reach its primary,
 * and at which it invites one that does. An answer takes up to 400 ms, and a claim 100 ms. Earlier
 * invitations would take a group from callers that only this owner reaches, although the store may
 * be back before the lease ends.
 */
#define LEASE_ASK_US (1 * USEC_PER_SEC)
#define LEASE_SHORT_US (500 * USEC_PER_MSEC)
/** How long after the end of its lease an owner invites others; they notice it by then. */
#define LEASE_ENDED_US (2 * USEC_PER_SEC)
/**
 * A call that fails earlier was refused: the owner's process has ended. One that is lost on its way
 * fails when its time is up.
 */
#define REFUSED_WITHIN_US (100 * USEC_PER_MSEC)
/** How long a report of an unreachable owner is acted on. */
#define REPORT_FRESH_US (1 * USEC_PER_SEC)
/** How long after a failed read of a record the store is assumed to refuse this VM. */
#define STORE_FAILURE_FRESH_US (3 * USEC_PER_SEC)
/** Pause between two reports of this VM that the owner of a group is unreachable. */
#define REPORT_PAUSE_US (200 * USEC_PER_MSEC)

/** A request to the owner that is in flight. */
struct owner_query {
	struct owner *o;
	char pool[NAME_SIZE];
};

static void owner_query(struct owner_group *g, const char *address, rpc_done cb)
{
	ml_owner args = {.pool = g->pool,
			 .vm = "",
			 .address = "",
			 .revision = owner_known_revision(g->o, g->pool),
			 .primary = ""};
	struct owner_query *q = g_new0(struct owner_query, 1);

	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	rpc_start(rpc_of(g->o->service.kernel), address, ML_OWNER, &args, QUERY_TIMEOUT_US, cb, q);
}

/* Notifying other VMs */

/** Returns the RPC address of the VM that is to claim the group when its owner is gone, or NULL. */
static const char *successor_address(const struct owner_group *g)
{
	return fleet_holder_address(owner_group_fleet(g), g->role);
}

/** Whether the record names @a vm as one that may still send to the primary. */
static bool is_sender(const struct owner_group *g, const struct vm *vm)
{
	unsigned i;

	for (i = 0; i < g->record.n; i++) {
		if (strcmp(g->record.sender[i].name, vm->name) == 0)
			return true;
	}
	return false;
}

void claim_notify(struct owner_group *g)
{
	struct fleet *f = owner_group_fleet(g);
	const char *claimer = successor_address(g);
	ml_owner args = {.pool = g->pool,
			 .vm = g->record.owner.name,
			 .address = g->record.address,
			 .revision = g->revision,
			 .primary = ""};
	struct vm *vm;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		struct inform_vm target = {.owner = strcmp(vm->name, g->record.owner.name) == 0,
					   .sender = is_sender(g, vm),
					   .claimer = claimer != NULL &&
						      strcmp(vm->address, claimer) == 0};

		if (vm != f->peers.self && vm->listed && !vm->dead &&
		    inform_notifies(&target, f->n_listed))
			rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_OWNER, &args,
				  QUERY_TIMEOUT_US, NULL, NULL);
	}
}

void claim_superseded(struct owner_group *g)
{
	if (g->state > OWNER_CLAIMING)
		record_end_ownership(g, "told-of-another");
}

/* Claiming */

static void claimed(struct owner_group *g, bool ok)
{
	if (g->state == OWNER_CLAIMING)
		owner_group_set_state(g, OWNER_NONE, "not-claimed");
	else if (owner_group_is_own(g))
		claim_notify(g);
}

/**
 * Whether the process that the record names as owner has certainly ended: the platform's list of
 * VMs is as new as the record and names another process of that VM. Heartbeats are not used, since
 * they may be older than the record. A claim that takes the current owner for an ended one would
 * not wait until that owner stops.
 */
static bool owner_ended(const struct owner_group *g)
{
	const struct peers *p = &owner_group_fleet(g)->peers;
	const struct vm *vm = peers_find(p, g->record.owner.name);

	return vm != NULL && vm->listed_incarnation != 0 && p->revision >= g->revision &&
	       vm->listed_incarnation != g->record.owner.incarnation;
}

static void claim(struct owner_group *g, const char *why)
{
	struct lead_record r = g->record;
	struct lead_vm self = owner_self(g->o);

	/* Right after a restore of the store the list may name a process from before the record. */
	bool ended = (owner_ended(g) && fleet_store_settled(owner_group_fleet(g))) ||
		     strcmp(r.owner.name, self.name) == 0;

	owner_group_use(g);
	g->from_invitation = strcmp(why, "invited") == 0;
	fence_drop_ended(g, &r);
	if (!lead_claim(&r, &self, g->o->service.kernel->settings->advertise, ended)) {
		log_warn("claim-senders-full", LOG_STR("pool", g->pool));
		fence_ask(g);
		g->next_call_us = now_us() + RETRY_US;
		return;
	}
	log_info("claim", LOG_STR("pool", g->pool), LOG_STR("former", g->record.owner.name),
		 LOG_REVISION("revision", g->revision), LOG_STR("why", why));
	owner_group_set_state(g, OWNER_CLAIMING, why);
	record_write(g, &r, claimed);
}

/** Fills in the newest mark and the primary if this VM is the owner. */
static void fill_mark(struct owner_group *g, ml_owner *res)
{
	const struct mark *newest = &g->marks.newest;

	if (!owner_group_is_own(g) || newest->pos.term == 0)
		return;
	if (g->primary >= 0)
		res->primary = g->member[g->primary].conf.name;
	res->mark = (ml_pos){newest->pos.term, newest->pos.lsn};
	res->mark_age_us = (u_quad_t)(now_us() - newest->asked_us);
}

static void mark_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_owner *res = arg_res;
	struct owner_query *q = arg;
	struct owner_group *g = owner_group_find(q->o, q->pool);

	if (g != NULL) {
		g->mark_query_pending = false;
		if (status == RPC_DONE)
			load_answered_old_way(g, now_us());
		if (status == RPC_DONE && res->primary[0] != '\0')
			g_strlcpy(g->reported_primary, res->primary, sizeof(g->reported_primary));
		if (status == RPC_DONE)
			owner_update_mark(q->o, q->pool,
					  (struct pos){res->mark.term, res->mark.lsn},
					  g->mark_query_us - (int64_t)res->mark_age_us);
	}
	g_free(q);
}

void claim_ask_mark(struct owner_group *g, int64_t now)
{
	const char *address;
	bool known;

	if (g->mark_query_pending)
		return;
	address = owner_address(g->o, g->pool, &known);
	if (address == NULL || load_ask(g, address, now))
		return;
	g->mark_query_pending = true;
	g->mark_query_us = now;
	owner_query(g, address, mark_answered);
}

/**
 * Whether another VM reaches the owner, so that only the path from this VM is lost. The owner
 * serves the other VMs then, and a claim would take the group from it for nothing.
 */
static bool is_reached_by_others(const struct owner_group *g)
{
	return owner_group_uses_relay(g) && now_us() - g->owner_asked_us > REFUSED_WITHIN_US &&
	       relay_reaches(g->o->service.kernel, g->record.address);
}

static void owner_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_owner *res = arg_res;
	struct owner_query *q = arg;
	struct owner_group *g = owner_group_find(q->o, q->pool);

	if (g != NULL) {
		g->owner_query_pending = false;
		if (status == RPC_DONE && res->serving)
			g->unreachable_reported_us = 0;
		/*
		 * A VM that does not answer is not chosen as holder of a role until it answers
		 * again.
		 */
		if (status != RPC_DONE)
			fleet_suspect(owner_group_fleet(g), g->record.address);
		if (status != RPC_DONE && is_reached_by_others(g)) {
			g->unreachable_reported_us = 0;
			log_info("owner-reached-by-others", LOG_STR("pool", g->pool),
				 LOG_STR("owner", g->record.owner.name));
		} else if (status != RPC_DONE || !res->serving) {
			g->owner_lost = true;
			log_info("owner-silent", LOG_STR("pool", g->pool),
				 LOG_STR("owner", g->record.owner.name),
				 LOG_NUM("answered", status == RPC_DONE));
		}
	}
	g_free(q);
}

/**
 * Asks the owner whether it still serves the group, since one lost call does not prove that it is
 * gone.
 */
static void check_owner(struct owner_group *g, int64_t now)
{
	if (g->owner_query_pending || now - g->owner_asked_us < QUERY_INTERVAL_US)
		return;
	g->owner_asked_us = now;
	g->owner_query_pending = true;
	relay_ask_again(g->o->service.kernel, g->record.address);
	owner_query(g, g->record.address, owner_answered);
}

/** Whether this VM is to claim the group when its owner is gone. */
static bool is_successor(const struct owner_group *g)
{
	const char *address = successor_address(g);

	return address != NULL && strcmp(address, g->o->service.kernel->settings->advertise) == 0;
}

/** Whether the record names an earlier process of this VM, which has certainly ended. */
static bool owned_by_earlier_process(const struct owner_group *g)
{
	const struct lead_vm self = owner_self(g->o);

	return g->revision != 0 && strcmp(g->record.owner.name, self.name) == 0 &&
	       g->record.owner.incarnation != self.incarnation;
}

static bool is_reported(const struct owner_group *g, int64_t now)
{
	return g->unreachable_reported_us != 0 &&
	       now - g->unreachable_reported_us < REPORT_FRESH_US;
}

/**
 * Whether a list of VMs as new as the record lacks the owner, whose lease has ended then. An older
 * list may lack it because it has only just started.
 */
static bool owner_unlisted(const struct owner_group *g)
{
	return owner_group_fleet(g)->peers.revision >= g->revision;
}

/**
 * Claims the group if its owner is gone, or finds out whether it is.
 * @return whether to look again although nothing has changed
 */
static bool claim_if_lost(struct owner_group *g, int64_t now)
{
	const struct vm *vm = peers_find(&owner_group_fleet(g)->peers, g->record.owner.name);
	bool self = strcmp(g->record.owner.name, g->o->service.kernel->settings->name) == 0;

	if (g->revision == 0) {
		claim(g, "no-record");
		return true;
	}
	/* A newer record exists, so a claim based on the known one would fail. */
	if (g->hint_revision > g->revision) {
		record_outdated(g);
		g->hint_revision = 0;
		return true;
	}
	if (self || owner_ended(g)) {
		claim(g, "owner-restarted");
		return true;
	}
	if (vm != NULL && peers_usable(vm) && !is_reported(g, now))
		return false;
	if (vm != NULL && vm->left)
		claim(g, "owner-left");
	else if (vm == NULL && owner_unlisted(g))
		claim(g, "owner-not-listed");
	else if (g->owner_lost)
		claim(g, "owner-silent");
	else
		check_owner(g, now);
	return true;
}

/** A report of an unreachable owner that is in flight. */
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

/** Reports that the owner is unreachable. @return false within a pause after the last report */
static bool report_send(struct owner_group *g, const char *address)
{
	ml_owner args = {
		.pool = g->pool, .vm = "", .address = "", .primary = "", .unreachable = true};
	struct report *r;

	if (now_us() - g->report_sent_us < REPORT_PAUSE_US)
		return false;
	g->report_sent_us = now_us();
	log_info("owner-unreachable", LOG_STR("pool", g->pool),
		 LOG_STR("owner", g->record.owner.name), LOG_REVISION("revision", g->revision),
		 LOG_STR("to", address));
	args.revision = owner_known_revision(g->o, g->pool);
	r = g_new0(struct report, 1);
	r->o = g->o;
	g_strlcpy(r->address, address, sizeof(r->address));
	rpc_start(rpc_of(g->o->service.kernel), r->address, ML_OWNER, &args, QUERY_TIMEOUT_US,
		  report_answered, r);
	return true;
}

void owner_report_unreachable(struct owner *o, const char *pool)
{
	struct owner_group *g = owner_group_find(o, pool);
	const char *address;

	if (g == NULL || owner_group_is_own(g))
		return;
	address = successor_address(g);
	if (address != NULL)
		report_send(g, address);
}

/** Returns a random other usable VM, or NULL. */
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

/**
 * Passes a received report on to another VM. With the setting "relay" each report is passed on
 * once: a third of the VMs reach the store, so that it is passed on three times before one acts on
 * it, whereas several copies for each one received would reach all VMs.
 */
static void pass_report_on(struct owner_group *g, int64_t now)
{
	const struct vm *vm;

	if (!is_reported(g, now) ||
	    (owner_group_uses_relay(g) && g->report_passed_us >= g->unreachable_reported_us))
		return;
	vm = random_peer(owner_group_fleet(g));
	if (vm != NULL && report_send(g, vm->address))
		g->report_passed_us = now;
}

/** Leaves the group to a VM that reaches the store, which this one does not. */
static void leave_to_others(struct owner_group *g)
{
	g->store_failed_us = now_us();
	pass_report_on(g, g->store_failed_us);
}

void claim_store_failed(struct owner_group *g)
{
	/* Without the store a claim takes 1.2 s to fail, so the record is read before the next. */
	if (owner_group_uses_relay(g) && !owner_group_is_own(g))
		g->record_loaded = false;
	leave_to_others(g);
}

/** Takes a report that the owner is unreachable. Passes it on if the store refuses this VM. */
static void report_apply(struct owner_group *g, uint64_t revision)
{
	int64_t now = now_us();
	bool listed = fleet_confirmed_listed(owner_group_fleet(g));

	g->unreachable_reported_us = now;
	owner_group_wake(g);
	if (revision > g->revision)
		record_outdated(g);
	if (!listed ||
	    (g->store_failed_us != 0 && now - g->store_failed_us < STORE_FAILURE_FRESH_US))
		leave_to_others(g);
}

bool claim_invite_vm(struct owner_group *g, const char *to, const char *why)
{
	ml_owner args = {.pool = g->pool, .vm = "", .address = "", .primary = "", .claim = true};
	const struct vm *vm = peers_find(&owner_group_fleet(g)->peers, to);
	int64_t now = now_us();

	if (vm == NULL || now - g->invited_us < INVITE_PAUSE_US)
		return false;
	g->invited_us = now;
	if (owner_group_uses_relay(g))
		args.revision = g->revision;
	log_warn("invite", LOG_STR("pool", g->pool), LOG_STR("peer", vm->name),
		 LOG_STR("why", why));
	rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_OWNER, &args, QUERY_TIMEOUT_US,
		  NULL, NULL);
	return true;
}

void claim_invite(struct owner_group *g, const char *why)
{
	const char *to = NULL;
	const struct vm *vm;

	if (now_us() - g->invited_us < INVITE_PAUSE_US)
		return;
	if (owner_group_uses_relay(g))
		to = witness_next(g);
	/* A VM that does not reach a primary that works would replace it. */
	if (to == NULL && owner_group_uses_relay(g) && g->state == OWNER_SERVING) {
		witness_refresh(g, now_us());
		return;
	}
	/*
	 * A random VM, since the store may refuse others too, and the next attempt then asks
	 * another one.
	 */
	if (to == NULL) {
		vm = random_peer(owner_group_fleet(g));
		to = vm != NULL ? vm->name : NULL;
	}
	if (to != NULL)
		claim_invite_vm(g, to, why);
}

/** Drops an invitation that has expired, or that another VM has followed. */
static void check_invitation(struct owner_group *g, int64_t now)
{
	if (!g->invited || g->invited_until_us == 0)
		return;
	if (now < g->invited_until_us &&
	    (g->invited_revision == 0 || g->revision <= g->invited_revision))
		return;
	log_info("invitation-dropped", LOG_STR("pool", g->pool),
		 LOG_NUM("expired", now >= g->invited_until_us),
		 LOG_REVISION("revision", g->revision));
	g->invited = false;
}

/**
 * Passes a report of an unreachable owner on if the store does not answer this VM. The call would
 * otherwise be waited for until its time limit, while other VMs may reach the store.
 */
static void check_store_slow(struct owner_group *g, int64_t now)
{
	if (owner_group_uses_relay(g) && g->record_busy &&
	    now - g->record_busy_us >= STORE_SLOW_US && !owner_group_is_own(g))
		pass_report_on(g, now);
}

/**
 * Invites others while this VM still serves but has not renewed its lease for long. When the lease
 * ends, the group would be without an owner until that shows.
 */
static void invite_before_lease_ends(struct owner_group *g, int64_t now)
{
	int64_t left_us = fleet_store_lease_until_us(owner_group_fleet(g)) - now;

	if (!owner_group_uses_relay(g) || g->state != OWNER_SERVING || !owner_group_is_own(g) ||
	    left_us > LEASE_ASK_US || left_us < -LEASE_ENDED_US)
		return;
	if (left_us < LEASE_SHORT_US)
		claim_invite(g, "lease-ends");
	else
		witness_refresh(g, now);
}

/**
 * Clears owner_lost when the owner answers heartbeats again. Only the VM that is to claim the group
 * asks the owner. A VM that had this role for a moment would otherwise keep sending statements to
 * the VM that has it now, which refuses them, while the owner serves all other VMs.
 */
static void detect_owner_return(struct owner_group *g)
{
	const struct vm *vm;

	if (!g->owner_lost)
		return;
	vm = peers_find(&owner_group_fleet(g)->peers, g->record.owner.name);
	if (vm == NULL || !peers_usable(vm) || owner_ended(g))
		return;
	g->owner_lost = false;
	log_info("owner-reachable-again", LOG_STR("pool", g->pool), LOG_STR("owner", vm->name),
		 LOG_REVISION("revision", g->revision));
}

static void record_rewritten(struct owner_group *g, bool ok)
{
	if (ok)
		claim_notify(g);
}

/**
 * Writes the record without the senders whose processes have ended.
 * @return whether there are any
 */
static bool drop_ended_senders(struct owner_group *g)
{
	struct lead_record r;

	if (g->record.n == 0 || g->state != OWNER_SERVING || !owner_group_is_own(g))
		return false;
	r = g->record;
	if (fence_drop_ended(g, &r) == 0)
		return false;
	record_write(g, &r, record_rewritten);
	return true;
}

static bool needs_record(const struct owner_group *g, bool successor)
{
	if (!fleet_store_is_current(g->revision) && fleet_store_renewed())
		return true;
	return !g->record_loaded &&
	       (successor || g->outdated || g->invited || owner_group_is_own(g));
}

/** Returns whether this VM is to claim the group if its owner is gone, and records that. */
static bool update_claimer(struct owner_group *g)
{
	bool claimer = is_successor(g);

	if (claimer && !g->claimer)
		TAILQ_INSERT_TAIL(&g->o->claims, g, claim_link);
	if (!claimer && g->claimer)
		TAILQ_REMOVE(&g->o->claims, g, claim_link);
	g->claimer = claimer;
	return claimer;
}

bool claim_tick(struct owner_group *g, int64_t now)
{
	struct fleet *f = owner_group_fleet(g);
	uint64_t registration = fleet_store_registration(f);
	bool successor;

	detect_owner_return(g);
	if (!g->configured || g->o->leaving)
		return false;
	check_invitation(g, now);
	check_store_slow(g, now);
	invite_before_lease_ends(g, now);
	if (g->record_busy || now < g->next_call_us)
		return true;
	if (registration == 0 || fleet_store_lease_until_us(f) < now)
		return true;
	successor = update_claimer(g) || is_reported(g, now);
	/*
	 * Under a new lease another VM may have taken the group while this VM had none, so the
	 * record is read before anything is sent. A VM that is not to claim the group needs no
	 * record: other VMs notify it of the owner.
	 */
	if (needs_record(g, successor) || (owner_group_is_own(g) && g->state > OWNER_CLAIMING &&
					   g->registration != registration)) {
		record_read(g);
		return true;
	}
	if (g->recovered && now >= g->recover_at_us && owner_group_is_own(g)) {
		record_write(g, &g->record, record_rewritten);
	} else if (g->recovered && now >= g->recover_at_us) {
		claim(g, "choice-recovered");
	} else if (g->state == OWNER_NONE && g->invited) {
		g->invited = false;
		claim(g, "invited");
	} else if (g->state == OWNER_NONE && (successor || owned_by_earlier_process(g))) {
		/*
		 * After a loss of all VMs the VM that is to claim the group would first have to
		 * learn that the owner restarted, while the restarted VM knows at once that its
		 * previous process has ended.
		 */
		return claim_if_lost(g, now);
	} else {
		return drop_ended_senders(g) || g->recovered || g->owner_lost;
	}
	return true;
}

/* Handing a group over */

void claim_hand_over(struct owner_group *g, const char *to, const char *why)
{
	struct vm *vm = peers_find(&owner_group_fleet(g)->peers, to);
	struct lead_record r = g->record;
	struct lead_vm next = {0};

	if (vm == NULL || g->record_busy || !owner_group_is_own(g))
		return;
	next.incarnation = vm->incarnation;
	g_strlcpy(next.name, vm->name, sizeof(next.name));
	fence_drop_ended(g, &r);
	if (!lead_claim(&r, &next, vm->address, false)) {
		fence_ask(g);
		return;
	}
	log_info("hand-over", LOG_STR("pool", g->pool), LOG_STR("to", to), LOG_STR("why", why));
	record_write(g, &r, record_rewritten);
}

/** A VM near the primary that is asked whether it reaches the primary. */
struct move {
	struct owner *o;
	char pool[NAME_SIZE];
	char vm[NAME_SIZE];
};

static void move_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_none *res = arg_res;
	struct move *q = arg;
	struct owner_group *g = owner_group_find(q->o, q->pool);
	bool reaches = status == RPC_DONE && res->ok;

	log_info("reach", LOG_STR("pool", q->pool), LOG_STR("peer", q->vm),
		 LOG_NUM("answered", status == RPC_DONE), LOG_NUM("reaches", reaches));
	if (g != NULL && reaches && g->state == OWNER_SERVING && owner_group_is_own(g))
		claim_invite_vm(g, q->vm, "near-primary");
	g_free(q);
}

/**
 * Invites a VM near the primary to claim the group if it reaches the primary. The VM may be one of
 * those that do not, and this VM may own the group because of that.
 */
static void ask_near_primary(struct owner_group *g, const struct vm *vm,
			     const struct owner_member *m)
{
	ml_reach_args args = {.pool = g->pool, .member = (char *)m->conf.name};
	struct move *q = g_new0(struct move, 1);

	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	g_strlcpy(q->vm, vm->name, sizeof(q->vm));
	rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_REACH, &args,
		  REACH_TIMEOUT_US + REACH_RPC_MARGIN_US, move_answered, q);
}

void claim_move_to_primary(struct owner_group *g, int64_t now)
{
	const struct owner_member *m = owner_group_primary(g);
	struct fleet *f = owner_group_fleet(g);
	struct vm *vm;

	if (m == NULL || g->state != OWNER_SERVING || now - g->state_us < MOVE_AFTER_US ||
	    now - g->last_move_us < MOVE_PAUSE_US || m->silent_since_us != 0 ||
	    strcmp(m->conf.data_center, f->peers.self->data_center) == 0)
		return;
	g->last_move_us = now;
	vm = peers_holder(&f->peers, g->role, m->conf.data_center);
	if (vm == NULL || vm->incarnation == 0 || strcmp(vm->data_center, m->conf.data_center) != 0)
		return;
	if (owner_group_uses_relay(g))
		ask_near_primary(g, vm, m);
	else
		claim_hand_over(g, vm->name, "near-primary");
}

/* RPC procedures between VMs */

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
		owner_group_set_state(g, OWNER_NONE, why);
	queue_refuse(g, true, OUTCOME_LEAVING);
	for (i = 0; i < g->n; i++) {
		watch_close(&g->member[i]);
		conn_close_all(&g->member[i]);
	}
}

/** Fills in the newest acknowledged position and the last contact with the primary. */
static void fill_primary(struct owner_group *g, ml_yield_res *res, int64_t now)
{
	const struct owner_member *m = owner_group_primary(g);

	res->acknowledged = (ml_pos){g->marks.newest.pos.term, g->marks.newest.pos.lsn};
	if (m == NULL || m->last_answer_us == 0)
		return;
	res->primary = (char *)m->conf.name;
	res->last_contact_age_us = (u_quad_t)(now - m->last_answer_us);
}

/** Serves a request of another VM, which has claimed the group, to stop sending to its primary. */
void claim_yield_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_yield_args *a = args;
	struct owner_group *g = owner_group_find(owner, a->pool);
	ml_yield_res res = {.stopped = true, .primary = ""};
	int64_t now = now_us();

	if (g != NULL && owner_group_is_own(g) && a->revision <= g->revision) {
		/* The request is older than the claim of this VM. */
		res.stopped = false;
	} else if (g != NULL) {
		const struct owner_member *m = owner_group_primary(g);
		struct succession_sender s = {.may_send = m != NULL && owner_group_may_send(g),
					      .leaving = g->o->leaving,
					      .quiet_us = (int64_t)a->quiet_us,
					      .latest_contact_us =
						      m != NULL ? m->last_answer_us : 0};

		fill_primary(g, &res, now);
		res.stopped = !succession_may_continue(&s, now);
		if (res.stopped)
			claim_stop(g, "asked");
		else
			log_info("yield-declined", LOG_STR("pool", g->pool), LOG_STR("peer", a->vm),
				 LOG_STR("member", m->conf.name),
				 LOG_NUM("heard_age_us", now - m->last_answer_us),
				 LOG_NUM("quiet_us", a->quiet_us),
				 LOG_REVISION("revision", a->revision));
		if (res.stopped && a->revision > g->revision)
			record_outdated(g);
	}
	rpc_reply(rq, &res);
}

/**
 * Serves ML_OWNER: with a VM name it announces an owner, otherwise it asks whether this VM serves
 * the group.
 */
void claim_owner_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_owner *a = args;
	struct owner_group *g = owner_group_find(owner, a->pool);
	ml_owner res = {.pool = "", .vm = "", .address = "", .primary = ""};

	if (g != NULL && a->claim && !owner_group_is_own(g) && !g->o->leaving) {
		g->invited_until_us = owner_group_uses_relay(g) ? now_us() + INVITATION_US : 0;
		g->invited_revision = a->revision;
		/* The known record may be older than the last one the owner has written. */
		g->invited = true;
		record_outdated(g);
	}
	if (g != NULL && a->unreachable && !owner_group_is_own(g) && !g->o->leaving)
		report_apply(g, a->revision);
	if (g != NULL && a->vm[0] != '\0')
		owner_note_newer_record(owner, a->pool, a->vm, a->address, a->revision);
	if (g != NULL && g->revision > a->revision) {
		res.vm = g->record.owner.name;
		res.address = g->record.address;
		res.revision = g->revision;
	}
	if (g != NULL) {
		res.serving = owner_group_is_own(g) && owner_group_may_send(g);
		fill_mark(g, &res);
	}
	rpc_reply(rq, &res);
}
