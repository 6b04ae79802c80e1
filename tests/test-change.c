/**
 * @file test-change.c Changes of primary while network partitions heal, and the writes they may
 * discard.
 */
#include "harness-owner.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/* Decisions of decide/succession.c */

static struct succession_report report(const char *primary, int64_t latest_contact_us, bool stopped)
{
	struct succession_report r = {
		.incarnation = 9, .latest_contact_us = latest_contact_us, .stopped = stopped};

	g_strlcpy(r.vm, "vm-9", sizeof(r.vm));
	g_strlcpy(r.primary, primary, sizeof(r.primary));
	r.acknowledged = (struct pos){1, 40};
	return r;
}

/*
 * Guards against replacing a primary that still serves callers on its side of a healed network
 * partition.
 */
static void test_primary_in_contact_with_previous_owner_is_kept(void)
{
	const int64_t t0 = 100 * USEC_PER_SEC, ms = USEC_PER_MSEC;
	struct succession_report r = report("m0", t0 + 990 * ms, false);
	struct succession s = {0};

	succession_begin(&s, t0);
	CU_ASSERT_EQUAL(succession_judge_primary(&s, t0 + 1000 * ms), SUCCESSION_CHOOSE);
	succession_report(&s, &r, t0 + 1000 * ms);
	CU_ASSERT_EQUAL(succession_judge_primary(&s, t0 + 1000 * ms), SUCCESSION_WAIT);
	r.latest_contact_us = t0 + 1590 * ms;
	succession_report(&s, &r, t0 + 1600 * ms);
	CU_ASSERT_EQUAL(succession_judge_primary(&s, t0 + 1700 * ms), SUCCESSION_HAND_BACK);
	CU_ASSERT_STRING_EQUAL(s.vm, "vm-9");
}

/*
 * Guards against waiting for a primary that ended after its previous owner last received an answer
 * of it.
 */
static void test_primary_silent_since_last_contact_is_replaced(void)
{
	const int64_t t0 = 100 * USEC_PER_SEC, ms = USEC_PER_MSEC;
	struct succession_report r = report("m0", t0 - 10 * ms, true);
	struct succession_sender sender = {.may_send = true, .latest_contact_us = t0 - 10 * ms};
	struct succession s = {0};

	succession_begin(&s, t0);
	succession_report(&s, &r, t0 + 5 * ms);
	CU_ASSERT_EQUAL(succession_judge_primary(&s, t0 + 5 * ms), SUCCESSION_CHOOSE);
	sender.quiet_us = 5 * ms;
	CU_ASSERT_FALSE(succession_may_continue(&sender, t0 + 5 * ms));
	sender.quiet_us = 2000 * ms;
	CU_ASSERT_TRUE(succession_may_continue(&sender, t0 + 5 * ms));
	sender.quiet_us = 0;
	CU_ASSERT_FALSE(succession_may_continue(&sender, t0 + 5 * ms));
}

/*
 * Guards against a promotion that discards writes which a member that is reachable again still
 * holds.
 */
static void test_choice_waits_for_acknowledged_writes(void)
{
	struct succession_choice c = {.best = {1, 30}, .may_gain = true};
	struct succession s = {0};

	succession_acknowledged(&s, (struct pos){1, 40}, 1);
	CU_ASSERT_TRUE(succession_choice_waits(&s, &c));
	c.best.lsn = 40;
	CU_ASSERT_FALSE(succession_choice_waits(&s, &c));
	c.best.lsn = 39;
	c.may_gain = false;
	CU_ASSERT_FALSE(succession_choice_waits(&s, &c));
	c.may_gain = true;
	c.waited_us = 2 * USEC_PER_SEC;
	CU_ASSERT_FALSE(succession_choice_waits(&s, &c));
	CU_ASSERT_EQUAL(succession_complete(&s, (struct pos){2, 30}), 10);
	CU_ASSERT_EQUAL(succession_complete(&s, (struct pos){3, 20}), 0);
}

/*
 * Guards against losing commits of a previous owner that could not report them, where just one of
 * the members that may have them has reported its log.
 */
static void test_choice_is_complete_if_no_log_can_be_newer(void)
{
	struct succession_choice c = {
		.best = {1, 40}, .newest = {1, 40}, .sync = 1, .unseen = 2, .may_gain = true};
	struct succession s = {.acknowledged = {1, 40}};

	CU_ASSERT_TRUE(succession_choice_waits(&s, &c));
	s.acknowledged_all = true;
	CU_ASSERT_FALSE(succession_choice_waits(&s, &c));
	s.acknowledged.lsn = 41;
	CU_ASSERT_TRUE(succession_choice_waits(&s, &c));
	/* The primary and one replica are missing: the other one has each acknowledged commit. */
	c.unseen = 1;
	CU_ASSERT_FALSE(succession_choice_waits(&s, &c));
	c.newest.lsn = 41;
	CU_ASSERT_TRUE(succession_choice_waits(&s, &c));
	c.unserved_us = SUCCESSION_SYNC_TIMEOUT_US;
	CU_ASSERT_FALSE(succession_choice_waits(&s, &c));
	CU_ASSERT_FALSE(succession_choice_complete(&s, &c));
}

/*
 * Model of a network partition. A data centre with the primary, its owner and callers is cut off.
 * The VM under test, on the other side, claims the group. The partition heals at a random time; the
 * lease of the previous owner may end before.
 */

/** Number of random seeds. The environment variable SEED=N runs just one seed. */
#define SEEDS 1500
#define MEMBERS 3
#define TERM 1
/** Time from a promotion until the replaced primary, if reachable, becomes a replica. */
#define DEMOTE_US (1 * USEC_PER_SEC)
/**
 * Time after the heal until a probe that began during the partition has ended and the next one is
 * answered.
 */
#define DETECT_US (600 * USEC_PER_MSEC)

struct model_member {
	bool primary;
	uint64_t term;
	uint64_t lsn;
};

static struct model {
	int64_t now;
	int64_t heals_us;
	int64_t lease_us;    /**< end of the previous owner's lease */
	int64_t lag_us;	     /**< replicas receive nothing for this long after the heal */
	int64_t unlisted_us; /**< the entry of the first primary expires; it is listed again at
				listed_us */
	int64_t listed_us;
	unsigned n_dead; /**< connections opened before the heal, which stay dead */
	int store_steps; /**< mean number of steps until the store answers */
	bool lost_orders;
	bool stopped; /**< the previous owner has stopped */
	int64_t last_contact_us;
	struct model_member member[MEMBERS];
	uint64_t acknowledged; /**< newest acknowledged position, in TERM */
	int seed;
	bool ordered;		/**< a promotion was ordered */
	int target;		/**< of the promotion in progress; -1: none */
	int64_t effect_us;	/**< when the promotion takes effect */
	bool ordered_reachable; /**< the primary was reachable at the first order */
	bool promoted;
	enum owner_state at_heal; /**< state of the group when the partition healed */
	struct owner_group *g;
} model;

static int64_t model_now(void)
{
	return model.now;
}

static bool partitioned(void)
{
	return model.now < model.heals_us;
}

static bool model_holds(void)
{
	return model.store_steps > 1;
}

/** The key of the previous owner exists as long as its lease. */
static char *model_value(const char *key)
{
	if (!g_str_has_suffix(key, "vm-9") || model.now > model.lease_us)
		return NULL;
	return g_strdup("{\"name\":\"vm-9\",\"incarnation\":\"9\"}");
}

static bool previous_owner_sends(void)
{
	return !model.stopped && model.now < model.lease_us;
}

static void model_yield(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_yield_args *a = args;
	ml_yield_res res = {.primary = "m0", .acknowledged = {TERM, model.acknowledged}};
	struct succession_sender s = {.may_send = previous_owner_sends(),
				      .quiet_us = (int64_t)a->quiet_us,
				      .latest_contact_us = model.last_contact_us};

	/* An answer without content stands for one that is lost in the partition. */
	if (partitioned()) {
		res = (ml_yield_res){.primary = ""};
		rpc_reply(rq, &res);
		return;
	}
	res.last_contact_age_us = (u_quad_t)(model.now - model.last_contact_us);
	res.stopped = !succession_may_continue(&s, model.now);
	model.stopped = model.stopped || res.stopped;
	rpc_reply(rq, &res);
}

/** Heartbeats carry no information about the other VM. */
static void model_heartbeat(struct rpc_request *rq, const void *args, void *owner)
{
	ml_heartbeat res = {.vm = ""};

	rpc_reply(rq, &res);
}

static void model_promote(const char *member, promoter_done cb, void *arg)
{
	bool lost = model.lost_orders && rand() % 4 != 0;
	bool reachable = model.now > model.heals_us + DETECT_US;

	CHECK(model.ordered || !reachable,
	      "seed %d: promotion ordered although the primary is reachable", model.seed);
	model.ordered = true;

	if (model.target < 0 && !lost) {
		model.target = member[1] - '0';
		model.effect_us = model.now + (200 + rand() % 1000) * USEC_PER_MSEC;
		model.ordered_reachable = reachable;
	}
	cb(lost ? PROMOTER_UNKNOWN : PROMOTER_ACCEPTED, lost ? 0 : 200, arg);
}

static void model_promotes(int seed)
{
	struct model_member *m;

	if (model.target < 0 || model.now < model.effect_us)
		return;
	m = &model.member[model.target];
	model.target = -1;
	if (m->primary)
		return;
	CHECK(!model.ordered_reachable || m->lsn >= model.acknowledged,
	      "seed %d: reachable primary replaced by a member at lsn %lu, acknowledged %lu", seed,
	      m->lsn, model.acknowledged);
	m->primary = true;
	m->term = TERM + 1;
	model.promoted = true;
}

/** Whether the VM under test sends to the first primary. */
static bool successor_sends(void)
{
	const struct owner_group *g = model.g;

	return g->state == OWNER_SERVING && g->primary == 0 && g->term == TERM &&
	       owner_group_may_send(g);
}

static void model_writes(void)
{
	struct model_member *m = &model.member[0];
	unsigned i;

	if (m->primary && (previous_owner_sends() || successor_sends()) && rand() % 3 == 0)
		model.acknowledged = ++m->lsn;
	if (previous_owner_sends())
		model.last_contact_us = model.now;
	/* A VM whose lease ended leaves the group to the new owner. */
	model.stopped = model.stopped || model.now >= model.lease_us;
	if (!partitioned() && !model.stopped && model.now > model.lease_us - USEC_PER_SEC)
		model.lease_us = model.now + 12 * USEC_PER_SEC;
	for (i = 1; i < MEMBERS && !partitioned() && model.now > model.heals_us + model.lag_us;
	     i++) {
		if (model.member[i].lsn < m->lsn && !model.member[i].primary)
			model.member[i].lsn += 1 + (uint64_t)rand() % 3;
		model.member[i].lsn = MIN(model.member[i].lsn, MAX(m->lsn, model.member[i].lsn));
	}
	if (model.promoted && !partitioned() && model.now > model.effect_us + DEMOTE_US)
		m->primary = false;
}

/** Answers the probes of reachable members. */
static void model_answer_probes(void)
{
	unsigned i;

	for (i = 0; i < fake.n_conns; i++) {
		struct fake_conn *f = fake.conns[i];
		const struct model_member *m = &model.member[f->id[1] - '0'];
		struct member_status st = {.primary = m->primary, .term = m->term};

		if (f->closed || (m == model.member && (partitioned() || i < model.n_dead)))
			continue;
		st.received = (struct pos){m->term, m->lsn};
		fake_probe_answer(f, &st);
	}
}

static void unlist(struct conf_pool *pool, const char *member)
{
	pool->n--;
	memmove(pool->member, pool->member + 1, pool->n * sizeof(pool->member[0]));
}

static void list_again(struct conf_pool *pool, const char *member)
{
	memmove(pool->member + 1, pool->member, pool->n * sizeof(pool->member[0]));
	pool->member[0] = model.g->member[0].conf;
	pool->n++;
}

/** Removes the entry of the first primary during a long partition, and lists it again later. */
static void model_lists(struct world *w)
{
	bool listed = conf_pool_find(conf_pool(fleet_of(w->k)->conf, POOL), "m0") >= 0;

	if (listed && model.now > model.unlisted_us && model.now < model.listed_us)
		world_configure(w, unlist, "m0");
	else if (!listed && model.now > model.listed_us)
		world_configure(w, list_again, "m0");
}

static void model_step(struct world *w, int seed)
{
	bool was_partitioned = partitioned();

	model.now += (2 + rand() % 15) * USEC_PER_MSEC;
	store_source.lease_until_us = model.now + 10 * USEC_PER_SEC;
	if (was_partitioned && !partitioned()) {
		model.at_heal = model.g->state;
		model.n_dead = fake.n_conns;
	}
	model_lists(w);
	model_promotes(seed);
	model_writes();
	if (rand() % model.store_steps == 0)
		fake_store_deliver();
	model_answer_probes();
	claim_tick(model.g, model.now);
	if (model.g->state > OWNER_CLAIMING) {
		watch_tick(model.g, model.now);
		change_tick(model.g, model.now);
	}
	world_run_once(w);
}

static void model_begin(struct world *w, int seed)
{
	static const struct lead_vm previous = {.name = "vm-9", .incarnation = 9};
	struct owner_group *g;
	unsigned i;

	memset(&model, 0, sizeof(model));
	srand((unsigned)seed);
	model.seed = seed;
	model.now = 1000 * USEC_PER_SEC;
	kernel_set_clock(model_now);
	world_open(w);
	g = model.g = world_join(w);
	rpc_serve(rpc_of(w->k), ML_YIELD, model_yield, NULL);
	rpc_serve(rpc_of(w->k), ML_HEARTBEAT, model_heartbeat, NULL);
	fake.value = model_value;
	fake.holds = model_holds;
	fake.promote = model_promote;
	model.heals_us = model.now + (200 + rand() % 6000) * USEC_PER_MSEC;
	model.lease_us =
		model.now + (rand() % 2 == 0 ? 500 + rand() % 5000 : 12000) * USEC_PER_MSEC;
	model.lag_us = rand() % 3 == 0 ? rand() % 5000 * USEC_PER_MSEC : 0;
	model.unlisted_us = model.now + (1000 + rand() % 3000) * USEC_PER_MSEC;
	model.listed_us = model.heals_us + rand() % 1500 * USEC_PER_MSEC;
	model.store_steps = rand() % 2 == 0 ? 1 : 1 + rand() % 80;
	model.lost_orders = rand() % 3 == 0;
	model.target = -1;
	model.acknowledged = 20;
	for (i = 0; i < MEMBERS; i++)
		model.member[i] = (struct model_member){.primary = i == 0, .term = TERM, .lsn = 20};
	g->record.owner = previous;
	g_strlcpy(g->record.address, SELF, sizeof(g->record.address));
	g->revision = 3;
	g->record_loaded = true;
	g->owner_lost = true;
	peers_apply_list(&fleet_of(w->k)->peers, 6,
			 (const struct vm_listing[]){
				 {.name = "vm-1", .address = SELF, .data_center = "dc"},
				 {.name = "vm-9", .address = SELF, .data_center = "far"}},
			 2);
	peers_suspect(&fleet_of(w->k)->peers, peers_find(&fleet_of(w->k)->peers, "vm-9"));
}

/*
 * Guards against replacing a live primary by a member that lacks acknowledged writes. Partitions
 * heal in every state of a change, with a slow store, lost orders, lagging replicas and expiring
 * leases.
 */
static void test_no_acknowledged_write_of_a_living_primary_is_discarded(void)
{
	unsigned healed_in[OWNER_STATES] = {0};
	struct world w;
	int seed, step;

	for (seed = 0; seed < SEEDS; seed++) {
		if (getenv("SEED") != NULL && atoi(getenv("SEED")) != seed)
			continue;
		model_begin(&w, seed);
		/* An unreachable VM becomes suspect again with each missed heartbeat. */
		for (step = 0; step < 1500 &&
			       (partitioned() || model.now < model.heals_us + 8 * USEC_PER_SEC);
		     step++)
			model_step(&w, seed);
		log_flush();
		healed_in[model.at_heal]++;
		if (owner_group_is_own(model.g))
			CHECK(model.g->state == OWNER_SERVING, "seed %d: state %d at the end", seed,
			      model.g->state);
		world_close(&w);
	}
	for (step = OWNER_CLAIMING; step < OWNER_STATES; step++) {
		if (step != OWNER_SERVING && step != OWNER_SETTLING)
			CHECK(healed_in[step] > 0, "no partition healed in state %d", step);
	}
	kernel_set_clock(NULL);
}

static const struct test_case cases[] = {
	{"primary_in_contact_with_previous_owner_is_kept",
	 test_primary_in_contact_with_previous_owner_is_kept},
	{"primary_silent_since_last_contact_is_replaced",
	 test_primary_silent_since_last_contact_is_replaced},
	{"choice_waits_for_acknowledged_writes", test_choice_waits_for_acknowledged_writes},
	{"choice_is_complete_if_no_log_can_be_newer",
	 test_choice_is_complete_if_no_log_can_be_newer},
	{"no_acknowledged_write_of_a_living_primary_is_discarded",
	 test_no_acknowledged_write_of_a_living_primary_is_discarded},
};
HARNESS_MAIN("change", cases)
