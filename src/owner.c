/** @file owner.c Groups, configuration and the owner service. */
#include "owner.h"

#include "fleet-store.h"
#include "log.h"

#include <string.h>

/** Interval of the timer that drives the groups that are awake. */
#define TICK_US (20 * USEC_PER_MSEC)
/** Sleeping groups that each tick looks at, in turn, in case one was not woken. */
#define SWEEP_GROUPS 4
/**
 * Remaining time of the lease at which this VM stops sending. Clocks of two VMs drift by far less
 * during a lease, and an answer checked now leaves the VM within this time.
 */
#define LEASE_MARGIN_US (100 * USEC_PER_MSEC)
/** Expected time of a promotion from the order to the first statement. */
#define EXPECTED_PROMOTION_US (1100 * USEC_PER_MSEC)
/** Expected time of a step of a change of primary other than the promotion. */
#define EXPECTED_STEP_US (50 * USEC_PER_MSEC)
/** Expected time to find the primary if it is reachable. */
#define EXPECTED_FIND_US (300 * USEC_PER_MSEC)
/**
 * How long a failure to find an owner that accepts a statement lets later statements be refused.
 * Without this limit, a VM whose statements all wait for tokens would refuse them for good after
 * one failure.
 */
#define NOT_ACCEPTED_FRESH_US (1 * USEC_PER_SEC)
/**
 * A primary that leaves requests unanswered for this long is most likely gone. Statements are
 * refused with a time to retry, since they would otherwise wait until their deadline.
 */
#define PRIMARY_SILENT_US (300 * USEC_PER_MSEC)
/** How long a VM that is not the owner keeps connections that it opened for reads. */
#define READING_KEEP_US (10 * USEC_PER_SEC)
/**
 * How long a VM that is not the owner sends nothing to a replica that stopped answering, since it
 * does not probe members.
 */
#define READING_DOWN_US (1 * USEC_PER_SEC)
/** Assumed duration of a statement on a member that has not answered one yet. */
#define SERVICE_INITIAL_US (10 * USEC_PER_MSEC)
/** Maximum number of statements that a cold member may get at once. */
#define COLD_BURST 1
/**
 * How long open transactions may continue after this VM began to leave: half of its grace period.
 */
#define LEAVE_TX_US (3 * USEC_PER_SEC)

static const char *const state_names[OWNER_STATES] = {
	"none",	   "claiming", "finding",   "serving",	"settling",
	"fencing", "choosing", "recording", "ordering", "awaiting",
};

struct owner *owner_of(struct kernel *k)
{
	return (struct owner *)kernel_find(k, "owner");
}

struct lead_vm owner_self(const struct owner *o)
{
	struct lead_vm vm = {.incarnation = o->service.kernel->incarnation};

	g_strlcpy(vm.name, o->service.kernel->settings->name, sizeof(vm.name));
	return vm;
}

struct fleet *owner_group_fleet(const struct owner_group *g)
{
	return fleet_of(g->o->service.kernel);
}

struct owner_group *owner_group_find(struct owner *o, const char *pool)
{
	return g_hash_table_lookup(o->by_pool, pool);
}

bool owner_group_uses_relay(const struct owner_group *g)
{
	return g->o->service.kernel->settings->relay;
}

bool owner_group_is_own(const struct owner_group *g)
{
	const struct kernel *k = g->o->service.kernel;

	return g->revision != 0 && g->newer_revision <= g->revision &&
	       g->record.owner.incarnation == k->incarnation &&
	       strcmp(g->record.owner.name, k->settings->name) == 0;
}

int64_t owner_group_may_send_until_us(const struct owner_group *g)
{
	if (!g->sending || g->yielded)
		return 0;
	return fleet_store_trusted_until_us(owner_group_fleet(g), g->registration) -
	       LEASE_MARGIN_US;
}

bool owner_group_may_send(const struct owner_group *g)
{
	return now_us() < owner_group_may_send_until_us(g);
}

struct owner_member *owner_group_primary(struct owner_group *g)
{
	return g->primary >= 0 ? &g->member[g->primary] : NULL;
}

bool owner_group_has_member(const struct owner_group *g, const char *data_center)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		const struct owner_member *m = &g->member[i];

		if (m->listed && !conf_member_leaves(&m->conf) &&
		    strcmp(m->conf.data_center, data_center) == 0)
			return true;
	}
	return false;
}

void owner_group_wake(struct owner_group *g)
{
	if (g->awake)
		return;
	g->awake = true;
	TAILQ_INSERT_TAIL(&g->o->awake, g, awake_link);
}

static void owner_group_sleep(struct owner_group *g)
{
	g->awake = false;
	TAILQ_REMOVE(&g->o->awake, g, awake_link);
}

static void wake_all(struct owner *o)
{
	struct owner_group *g;

	TAILQ_FOREACH(g, &o->groups, link)
		owner_group_wake(g);
}

void owner_group_set_state(struct owner_group *g, enum owner_state state, const char *why)
{
	owner_group_wake(g);
	if (state == g->state)
		return;
	log_info("group-state", LOG_STR("pool", g->pool), LOG_STR("from", state_names[g->state]),
		 LOG_STR("to", state_names[state]), LOG_STR("why", why),
		 LOG_NUM("after_ms", (now_us() - g->state_us) / USEC_PER_MSEC),
		 LOG_REVISION("revision", g->revision));
	if (g->state == OWNER_ORDERING)
		change_take_order_back(g);
	g->state = state;
	g->state_us = now_us();
}

int64_t owner_group_expected_wait_us(const struct owner_group *g, int64_t now)
{
	int64_t elapsed_us = now - g->state_us;
	const struct owner_member *m;

	switch (g->state) {
	case OWNER_SERVING:
		m = g->primary >= 0 ? &g->member[g->primary] : NULL;
		/* A statement sent to it now would most likely get no answer. */
		return m != NULL && m->silent_since_us != 0 &&
				       now - m->silent_since_us > PRIMARY_SILENT_US
			       ? EXPECTED_PROMOTION_US
			       : 0;
	case OWNER_NONE:
		return 0;
	case OWNER_AWAITING:
	case OWNER_ORDERING:
		return elapsed_us < EXPECTED_PROMOTION_US ? EXPECTED_PROMOTION_US - elapsed_us
							  : EXPECTED_STEP_US;
	case OWNER_CLAIMING:
	case OWNER_FINDING:
		/* A reachable primary is found in 40 ms; after that no estimate is possible. */
		return elapsed_us < EXPECTED_FIND_US ? EXPECTED_STEP_US : EXPECTED_PROMOTION_US;
	default:
		return EXPECTED_PROMOTION_US + EXPECTED_STEP_US;
	}
}

/* Configuration */

static struct owner_member *member_find(struct owner_group *g, const char *name)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		if (strcmp(g->member[i].conf.name, name) == 0)
			return &g->member[i];
	}
	return NULL;
}

/**
 * Returns a slot for a new member: one of a member that is gone, or the next unused one; NULL if
 * there is none.
 */
static struct owner_member *member_slot(struct owner_group *g)
{
	struct owner_member *m;
	unsigned i;

	for (i = 0; i < g->n; i++) {
		m = &g->member[i];
		if (!m->listed && (int)i != g->primary && TAILQ_EMPTY(&m->conns))
			break;
	}
	if (i == GROUP_MEMBERS_MAX)
		return NULL;
	m = &g->member[i];
	if (i == g->n)
		g->n++;
	else
		watch_close(m);
	budget_clear(m);
	memset(m, 0, sizeof(*m));
	m->g = g;
	m->index = i;
	m->service_us = SERVICE_INITIAL_US;
	TAILQ_INIT(&m->conns);
	return m;
}

static void member_set(struct owner_group *g, const struct conf_member *conf)
{
	struct owner_member *m = member_find(g, conf->name);

	if (m == NULL)
		m = member_slot(g);
	if (m == NULL) {
		log_warn("member-left-out", LOG_STR("pool", g->pool),
			 LOG_STR("member", conf->name));
		return;
	}
	if (m->conf.address[0] != '\0' && strcmp(m->conf.address, conf->address) != 0) {
		watch_close(m);
		conn_close_all(m);
	}
	if (conf->leaving && (!m->conf.leaving || m->leaving_us == 0))
		m->leaving_us = now_us();
	if (conf->evacuated && !m->conf.evacuated) {
		m->evacuated_us = now_us();
		conn_close_idle(m);
	}
	if (conf->cold && (!m->conf.cold || conf->cold_per_s != m->conf.cold_per_s))
		bucket_init(&m->cold_bucket, conf->cold_per_s, COLD_BURST, 0, now_us());
	m->conf = *conf;
	m->unlisted_us = 0;
	m->listed = true;
}

static void configure_members(struct owner_group *g, const struct conf_pool *pool)
{
	unsigned i;

	for (i = 0; i < g->n; i++)
		g->member[i].listed = false;
	for (i = 0; pool != NULL && i < pool->n; i++)
		member_set(g, &pool->member[i]);
	for (i = 0; i < g->n; i++) {
		struct owner_member *m = &g->member[i];

		if (m->listed)
			continue;
		if (m->unlisted_us == 0)
			m->unlisted_us = now_us();
		if ((int)i == g->primary)
			continue;
		watch_close(m);
		conn_close_idle(m);
	}
}

static void owner_group_configure(struct owner_group *g, const struct conf_pool *pool)
{
	if (g->member != NULL)
		configure_members(g, pool);
	g->configured = pool != NULL;
	if (pool != NULL)
		g->sync = pool->sync;
}

void owner_group_use(struct owner_group *g)
{
	if (g->member != NULL)
		return;
	g->member = g_new0(struct owner_member, GROUP_MEMBERS_MAX);
	queue_use(g);
	configure_members(g, conf_pool(owner_group_fleet(g)->conf, g->pool));
}

static struct owner_group *owner_group_create(struct owner *o, const char *pool)
{
	struct owner_group *g = g_new0(struct owner_group, 1);

	g->o = o;
	g_strlcpy(g->pool, pool, sizeof(g->pool));
	g_snprintf(g->role, sizeof(g->role), OWNER_ROLE "%s", pool);
	g->primary = -1;
	g->excluded = -1;
	g->state_us = now_us();
	TAILQ_INIT(&g->txs);
	queue_init(g);
	TAILQ_INSERT_TAIL(&o->groups, g, link);
	g_hash_table_insert(o->by_pool, g->pool, g);
	return g;
}

static void conf_changed(void *owner)
{
	struct owner *o = owner;
	const struct conf *conf = fleet_of(o->service.kernel)->conf;
	uint64_t version = MAX(conf->changed[CONF_POOL], conf->changed[CONF_EVACUATION]);
	struct owner_group *g;
	GHashTableIter iter;
	gpointer name;

	standing_fleet_changed(o);
	/* The membership may have changed, so the owner of a group that this VM is to claim too. */
	TAILQ_FOREACH(g, &o->claims, claim_link)
		owner_group_wake(g);
	if (o->conf_version == version)
		return;
	o->conf_version = version;
	g_hash_table_iter_init(&iter, conf->pools);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (owner_group_find(o, name) == NULL)
			owner_group_create(o, name);
	}
	TAILQ_FOREACH(g, &o->groups, link)
		owner_group_configure(g, conf_pool(conf, g->pool));
	wake_all(o);
}

/** The VM that is to claim a group may be another now. */
static void role_dropped(void *owner, const char *role)
{
	struct owner_group *g;

	if (!g_str_has_prefix(role, OWNER_ROLE))
		return;
	g = owner_group_find(owner, role + strlen(OWNER_ROLE));
	if (g != NULL)
		owner_group_wake(g);
}

/* Ownership as known to this VM */

const char *owner_address(struct owner *o, const char *pool, bool *known)
{
	struct owner_group *g = owner_group_find(o, pool);
	char role[sizeof(g->role)];

	*known = g != NULL && !g->owner_lost && (g->revision != 0 || g->hint_revision != 0);
	if (*known)
		return g->hint_revision > g->revision ? g->hint_address : g->record.address;
	g_snprintf(role, sizeof(role), OWNER_ROLE "%s", pool);
	return fleet_holder_address(fleet_of(o->service.kernel), role);
}

const char *owner_last_address(struct owner *o, const char *pool)
{
	const struct owner_group *g = owner_group_find(o, pool);

	if (g == NULL || (g->revision == 0 && g->hint_revision == 0))
		return NULL;
	return g->hint_revision > g->revision ? g->hint_address : g->record.address;
}

const char *owner_address_for_attempt(struct owner *o, const char *pool, unsigned attempt)
{
	const struct owner_group *g = owner_group_find(o, pool);
	struct fleet *f = fleet_of(o->service.kernel);
	bool known;
	const char *address = owner_address(o, pool, &known);
	const struct vm *vm = address != NULL ? peers_find_address(&f->peers, address) : NULL;
	const char *claimer;

	if (inform_next_target(known, vm != NULL && peers_usable(vm), attempt) == INFORM_ASK_OWNER)
		return address;
	claimer = g != NULL ? fleet_holder_address(f, g->role) : NULL;
	return claimer != NULL ? claimer : address;
}

uint64_t owner_known_revision(struct owner *o, const char *pool)
{
	const struct owner_group *g = owner_group_find(o, pool);

	return g != NULL ? MAX(g->revision, g->hint_revision) : 0;
}

static bool recently_not_accepted(const struct owner_group *g, int64_t now)
{
	return g->not_accepted_since_us != 0 &&
	       now - g->last_not_accepted_us <= NOT_ACCEPTED_FRESH_US;
}

int64_t owner_note_accepted(struct owner *o, const char *pool, bool accepted)
{
	struct owner_group *g = owner_group_find(o, pool);
	int64_t now = now_us();

	if (g == NULL)
		return 0;
	if (accepted) {
		g->not_accepted_since_us = 0;
		return 0;
	}
	if (!recently_not_accepted(g, now))
		g->not_accepted_since_us = now;
	g->last_not_accepted_us = now;
	return now - g->not_accepted_since_us;
}

int64_t owner_not_accepting_us(struct owner *o, const char *pool)
{
	const struct owner_group *g = owner_group_find(o, pool);
	int64_t now = now_us();

	return g != NULL && recently_not_accepted(g, now) ? now - g->not_accepted_since_us : 0;
}

void owner_update_mark(struct owner *o, const char *pool, struct pos pos, int64_t asked_us)
{
	struct owner_group *g = owner_group_find(o, pool);

	if (g == NULL || g->state > OWNER_CLAIMING || pos.term == 0)
		return;
	/* Under a new primary, writes that its promotion discarded are no longer required. */
	if (pos.term > g->marks.newest.pos.term)
		marks_new_term(&g->marks, pos, asked_us);
	else
		marks_add(&g->marks, pos, asked_us);
}

/**
 * Whether the owner is in the data centre of this VM. The result is cached until the owner's
 * address changes.
 */
static bool owner_is_local(struct owner_group *g, const char *address)
{
	const struct fleet *f = owner_group_fleet(g);
	const struct vm *vm;

	if (strcmp(g->owner_local_address, address) == 0)
		return g->owner_local;
	g->owner_local = false;
	vm = peers_find_address(&f->peers, address);
	if (vm == NULL)
		return false;
	g_strlcpy(g->owner_local_address, address, sizeof(g->owner_local_address));
	g->owner_local = strcmp(vm->data_center, f->peers.self->data_center) == 0;
	return g->owner_local;
}

/** Returns the address of the VM of this data centre that holds the role of reading the pool. */
static const char *reader_of_data_center(struct owner_group *g)
{
	char role[NAME_SIZE + 8];

	g_snprintf(role, sizeof(role), "read %s", g->pool);
	return fleet_local_holder_address(owner_group_fleet(g), role);
}

const char *owner_shared_reader(struct owner *o, const char *pool)
{
	struct owner_group *g = owner_group_find(o, pool);
	const char *address;

	if (g == NULL || !budget_in_pool(o, pool))
		return NULL;
	address = reader_of_data_center(g);
	return address != NULL && strcmp(address, o->service.kernel->settings->advertise) != 0
		       ? address
		       : NULL;
}

const char *owner_local_reader(struct owner *o, const char *pool)
{
	struct owner_group *g = owner_group_find(o, pool);
	const char *address;
	bool known;

	if (g == NULL)
		return NULL;
	address = owner_address(o, pool, &known);
	if (!known || owner_is_local(g, address))
		return NULL;
	return reader_of_data_center(g);
}

bool owner_can_read(struct owner *o, const char *pool, int64_t max_age_us)
{
	struct owner_group *g = owner_group_find(o, pool);
	struct pos need;

	return g != NULL && g->configured && g->state <= OWNER_CLAIMING &&
	       marks_required(&g->marks, now_us() - max_age_us, &need);
}

void owner_note_newer_record(struct owner *o, const char *pool, const char *vm, const char *address,
			     uint64_t revision)
{
	struct owner_group *g = owner_group_find(o, pool);

	if (g == NULL || revision <= g->revision || address[0] == '\0')
		return;
	owner_group_wake(g);
	/*
	 * VMs announce only the owner to each other, not the whole record. A VM that owned the
	 * group until now reads the record; others need no more than the address.
	 */
	if (owner_group_is_own(g) || g->state > OWNER_CLAIMING) {
		record_outdated(g);
		g->newer_revision = revision;
		claim_superseded(g);
	}
	if (revision > g->hint_revision) {
		g->hint_revision = revision;
		g_strlcpy(g->hint_address, address, sizeof(g->hint_address));
		g->owner_lost = false;
	}
	/* The group was handed to this VM, so the record must be read. */
	if (strcmp(vm, o->service.kernel->settings->name) == 0 ||
	    strcmp(address, o->service.kernel->settings->advertise) == 0)
		record_outdated(g);
}

/* The service */

/**
 * Drives reads that this VM serves without owning the group: replicas that do not answer get no
 * reads for READING_DOWN_US, and connections are closed after READING_KEEP_US without a read.
 */
static void reading_tick(struct owner_group *g, int64_t now)
{
	unsigned i;

	for (i = 0; i < g->n; i++) {
		struct owner_member *m = &g->member[i];

		conn_tick(m, now);
		watch_judge_replica(m, now);
		if (m->down && now - m->down_us > READING_DOWN_US) {
			m->down = false;
			m->silent_since_us = 0;
			load_member_up(m, now);
		}
	}

	if (g->n_jobs > 0 || !TAILQ_EMPTY(&g->txs) || now - g->last_read_us < READING_KEEP_US)
		return;
	g->serves_reads = false;
	log_info("reads-end", LOG_STR("pool", g->pool));
	for (i = 0; i < g->n; i++) {
		conn_close_idle(&g->member[i]);
		budget_history_clear(&g->member[i].budget.history);
	}
}

/** Drives the group. @return whether it has anything left to do that no event will announce */
static bool group_tick(struct owner_group *g, int64_t now)
{
	bool claims = claim_tick(g, now);

	if (g->state <= OWNER_CLAIMING && !g->sending && !g->serves_reads && g->n_jobs == 0)
		return claims || g->state == OWNER_CLAIMING;
	if (g->state > OWNER_CLAIMING) {
		watch_tick(g, now);
		change_tick(g, now);
		claim_move_to_primary(g, now);
	}
	load_tick(g, now);
	standing_tick(g, now);
	queue_tick(g, now);
	if (g->serves_reads && g->state <= OWNER_CLAIMING)
		reading_tick(g, now);
	if (g->sending && g->state <= OWNER_CLAIMING && TAILQ_EMPTY(&g->txs) &&
	    TAILQ_EMPTY(&g->running))
		claim_stop(g, "nothing-open");
	return true;
}

/** Wakes the next few sleeping groups in turn, in case one has something to do. */
static void sweep(struct owner *o)
{
	unsigned i;

	for (i = 0; i < SWEEP_GROUPS && !TAILQ_EMPTY(&o->groups); i++) {
		o->swept = o->swept != NULL ? TAILQ_NEXT(o->swept, link) : NULL;
		if (o->swept == NULL)
			o->swept = TAILQ_FIRST(&o->groups);
		owner_group_wake(o->swept);
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct owner *o = arg;
	uint64_t era = fleet_store_era(), lease_era = fleet_store_lease_era();
	int64_t now = now_us();
	struct owner_group *g, *next;

	if (era != o->era || lease_era != o->lease_era)
		wake_all(o);
	o->era = era;
	o->lease_era = lease_era;
	sweep(o);
	TAILQ_FOREACH_SAFE(g, &o->awake, awake_link, next) {
		o->visits++;
		if (!group_tick(g, now))
			owner_group_sleep(g);
	}
}

static bool owner_caught_up(void *arg)
{
	struct owner *o = arg;
	uint64_t registration = fleet_store_registration(fleet_of(o->service.kernel));
	struct owner_group *g;

	TAILQ_FOREACH(g, &o->groups, link) {
		/* A group that is no longer configured is neither read nor owned. */
		if (g->configured && (!fleet_store_is_current(g->revision) || g->recovered))
			return false;
		if (g->sending && g->registration != registration)
			return false;
	}
	return true;
}

static gboolean owner_start(struct service *s, GError **error)
{
	struct owner *o = (struct owner *)s;
	struct rpc *r = rpc_of(s->kernel);

	rpc_serve(r, ML_RUN, queue_run_serve, o);
	rpc_serve(r, ML_OWNER, claim_owner_serve, o);
	rpc_serve(r, ML_YIELD, claim_yield_serve, o);
	rpc_serve(r, ML_REACH, watch_reach_serve, o);
	load_start(o);
	standing_start(o);
	rpc_serve(r, ML_PREOPEN, budget_preopen_serve, o);
	rpc_on_closed(r, tx_closed, o);
	fleet_listen(fleet_of(s->kernel), conf_changed, o);
	fleet_listen_roles(fleet_of(s->kernel), role_dropped, o);
	record_listen(o);
	fleet_store_set_caught_up_cb(owner_caught_up, o);
	o->tick = kernel_every(s->kernel, TICK_US, on_tick, o);
	return TRUE;
}

/** Hands all groups to other VMs. Open transactions have LEAVE_TX_US to finish. */
static void owner_drain(struct service *s)
{
	struct owner *o = (struct owner *)s;
	struct fleet *f = fleet_of(s->kernel);
	struct owner_group *g;

	o->leaving = true;
	o->leave_started_us = now_us();
	TAILQ_FOREACH(g, &o->groups, link) {
		struct vm *vm;

		if (!owner_group_is_own(g))
			continue;
		vm = peers_next_holder(&f->peers, g->role);
		if (vm != NULL)
			claim_hand_over(g, vm->name, "leaving");
	}
}

static bool owner_drained(struct service *s)
{
	struct owner *o = (struct owner *)s;
	int64_t now = now_us();
	struct owner_group *g;

	TAILQ_FOREACH(g, &o->groups, link) {
		struct owner_tx *tx, *next;

		if (now - o->leave_started_us > LEAVE_TX_US) {
			TAILQ_FOREACH_SAFE(tx, &g->txs, link, next) {
				if (tx->conn->job == NULL)
					tx_abort(tx, "leaving");
			}
		}
		if (g->n_jobs > 0 || !TAILQ_EMPTY(&g->txs) || g->record_busy)
			return false;
	}
	/*
	 * The lease is released. If it only expired, the next change of primary would have to wait
	 * for that, since this VM could still be sending as far as others know.
	 */
	return fleet_store_release(fleet_of(s->kernel));
}

static void owner_stop(struct service *s)
{
	struct owner *o = (struct owner *)s;
	struct owner_group *g;
	unsigned i;

	if (o->tick != NULL)
		event_free(o->tick);
	standing_stop(o);
	TAILQ_FOREACH(g, &o->groups, link)
		claim_stop(g, "stopped");
	while ((g = TAILQ_FIRST(&o->groups)) != NULL) {
		TAILQ_REMOVE(&o->groups, g, link);
		g_hash_table_remove(o->by_pool, g->pool);
		queue_clear(g);
		marks_free(&g->marks);
		standing_clear(g);
		for (i = 0; i < g->n; i++)
			budget_clear(&g->member[i]);
		g_free(g->member);
		g_free(g);
	}
	g_hash_table_destroy(o->by_pool);
	g_free(o);
}

static const struct service_ops owner_ops = {
	.name = "owner",
	.start = owner_start,
	.drain = owner_drain,
	.drained = owner_drained,
	.stop = owner_stop,
};

struct service *owner_service_create(struct kernel *k)
{
	struct owner *o = g_new0(struct owner, 1);

	o->service.ops = &owner_ops;
	TAILQ_INIT(&o->groups);
	TAILQ_INIT(&o->awake);
	TAILQ_INIT(&o->claims);
	o->by_pool = g_hash_table_new(g_str_hash, g_str_equal);
	kernel_add(k, &o->service);
	return &o->service;
}
