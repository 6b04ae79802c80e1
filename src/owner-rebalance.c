/**
 * @file owner-rebalance.c
 * The planner of where primaries stand: the VM that holds STANDING_ROLE. On an operator's request,
 * or in "auto", it asks the owners of all groups in turn, makes a plan, and has the owners make its
 * moves one at a time. It keeps nothing that must survive it: a planner that ends leaves at most
 * one move, which the owner concerned completes or calls off.
 */
#include "json-text.h"
#include "log.h"
#include "owner.h"

#include <string.h>

/** Interval between requests to owners: at most 20 a second, also with thousands of groups. */
#define QUERY_PAUSE_US (50 * USEC_PER_MSEC)
#define QUERY_TIMEOUT_US (400 * USEC_PER_MSEC)
/** Pause between two rounds of requests while a plan is executed, or in "auto". */
#define ROUND_PAUSE_US (5 * USEC_PER_SEC)
/** A plan that is not executed in this time, because of faults, is given up. */
#define EXECUTE_TIMEOUT_US (900 * USEC_PER_SEC)

/** What an owner has reported. */
struct reported {
	char pool[NAME_SIZE];
	char primary[NAME_SIZE];
	char data_center[NAME_SIZE];
	char why[NAME_SIZE];
	struct standing_origins origins;
	uint64_t revision; /**< of the record of the group that this VM knows */
	int64_t moved_age_us, changes_age_us;
	bool known;
};

/** A move that is to be executed. */
struct todo {
	char pool[NAME_SIZE], from[NAME_SIZE], to[NAME_SIZE];
};

struct rebalance {
	struct owner *o;
	struct event *tick;
	GArray *groups;		/**< of struct reported: the current round */
	unsigned next;		/**< group to ask next */
	bool round;		/**< a round of requests is under way */
	bool pending;		/**< a request is in flight */
	int64_t round_us;	/**< when the last round ended */
	struct rpc_request *rq; /**< operator's request that waits for the plan, or NULL */
	bool execute;		/**< the plan of the request is to be executed */
	struct todo todo[STANDING_MOVES_MAX];
	unsigned n_todo;
	int64_t todo_us;  /**< when the plan was made */
	int64_t moved_us; /**< when an owner was last asked to move a primary; 0: never */
};

/** A request in flight to an owner. */
struct query {
	struct rebalance *r;
	unsigned index;
};

static struct kernel *kernel_of(const struct rebalance *r)
{
	return r->o->service.kernel;
}

static struct reported *group_at(const struct rebalance *r, unsigned i)
{
	return &g_array_index(r->groups, struct reported, i);
}

static const char *planner_address(const struct rebalance *r)
{
	return fleet_holder_address(fleet_of(kernel_of(r)), STANDING_ROLE);
}

static bool is_planner(const struct rebalance *r)
{
	const char *address = planner_address(r);

	return address != NULL && strcmp(address, kernel_of(r)->settings->advertise) == 0;
}

/* A round of requests */

static void round_begin(struct rebalance *r)
{
	GHashTableIter iter;
	gpointer name;

	g_array_set_size(r->groups, 0);
	g_hash_table_iter_init(&iter, fleet_of(kernel_of(r))->conf->pools);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		struct reported g = {.known = false};

		g_strlcpy(g.pool, name, sizeof(g.pool));
		g_array_append_val(r->groups, g);
	}
	r->next = 0;
	r->round = true;
}

static void query_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_standing_res *res = arg_res;
	struct query *q = arg;
	struct reported *g = group_at(q->r, q->index);
	u_int i;

	q->r->pending = false;
	if (status == RPC_DONE) {
		g->known = res->own;
		g_strlcpy(g->primary, res->primary, sizeof(g->primary));
		g_strlcpy(g->data_center, res->data_center, sizeof(g->data_center));
		g_strlcpy(g->why, res->why, sizeof(g->why));
		g->moved_age_us = (int64_t)res->moved_age_us;
		g->changes_age_us = (int64_t)res->changes_age_us;
		for (i = 0; i < MIN(res->origins.origins_len, STANDING_CENTERS_MAX); i++) {
			struct standing_origin *o = &g->origins.origin[g->origins.n++];

			g_strlcpy(o->data_center, res->origins.origins_val[i].data_center,
				  sizeof(o->data_center));
			o->per_s = res->origins.origins_val[i].per_s;
		}
	}
	g_free(q);
}

static void query_next(struct rebalance *r)
{
	struct reported *g = group_at(r, r->next);
	ml_standing_args args = {.pool = g->pool};
	struct query *q;
	const char *address;
	bool known;

	g->revision = owner_known_revision(r->o, g->pool);
	address = owner_address(r->o, g->pool, &known);
	if (address != NULL) {
		q = g_new0(struct query, 1);
		q->r = r;
		q->index = r->next;
		r->pending = true;
		rpc_start(rpc_of(kernel_of(r)), address, ML_STANDING, &args, QUERY_TIMEOUT_US,
			  query_answered, q);
	}
	r->next++;
}

/* The plan */

/** Fills in the data centres whose members may lead the group. */
static void fill_members(const struct conf *conf, const char *pool, struct standing_group *g)
{
	const struct conf_pool *p = conf_pool(conf, pool);
	unsigned i;

	for (i = 0; p != NULL && i < p->n; i++) {
		const struct conf_member *m = &p->member[i];

		if (!conf_member_leaves(m) && !m->cold && !conf_evacuated(conf, m->data_center))
			g->member[g->n++] = m->data_center;
	}
}

static void make_plan(const struct rebalance *r, struct standing_plan *plan)
{
	const struct settings *set = kernel_of(r)->settings;
	struct standing_limits limits = {.pause_us = set->rebalance_pause_s * USEC_PER_SEC,
					 .quiet_us = standing_quiet_us(r->o, now_us())};
	struct standing_group *groups = g_new0(struct standing_group, r->groups->len + 1);
	unsigned i;

	for (i = 0; i < r->groups->len; i++) {
		const struct reported *from = group_at(r, i);

		groups[i] = (struct standing_group){.pool = from->pool,
						    .known = from->known,
						    .data_center = from->data_center,
						    .moved_age_us = from->moved_age_us,
						    .changes_age_us = from->changes_age_us,
						    .origins = &from->origins};
		fill_members(fleet_of(kernel_of(r))->conf, from->pool, &groups[i]);
	}
	standing_plan(groups, r->groups->len, &limits, plan);
	g_free(groups);
}

static void put_text(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

static void reply_text(struct rpc_request *rq, JsonBuilder *b)
{
	ml_status_res res;

	json_builder_end_object(b);
	res.json = json_text_take(b);
	rpc_reply(rq, &res);
	g_free(res.json);
}

/** Answers with a single member, such as an error. */
static void reply_member(struct rpc_request *rq, const char *name, const char *value)
{
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	put_text(b, name, value);
	reply_text(rq, b);
}

static void put_group(JsonBuilder *b, const struct reported *g)
{
	unsigned i;

	json_builder_begin_object(b);
	put_text(b, "pool", g->pool);
	put_text(b, "primary", g->primary);
	put_text(b, "data_center", g->data_center);
	put_text(b, "why", g->known ? g->why : "its owner does not answer, or changes the primary");
	json_builder_set_member_name(b, "since_s");
	json_builder_add_int_value(b, g->changes_age_us / USEC_PER_SEC);
	json_builder_set_member_name(b, "statements_per_s");
	json_builder_begin_object(b);
	for (i = 0; i < g->origins.n; i++) {
		json_builder_set_member_name(b, g->origins.origin[i].data_center);
		json_builder_add_double_value(b, g->origins.origin[i].per_s);
	}
	json_builder_end_object(b);
	json_builder_end_object(b);
}

static void reply_plan(const struct rebalance *r, const struct standing_plan *plan)
{
	JsonBuilder *b = json_builder_new();
	unsigned i;

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "settled");
	json_builder_add_boolean_value(b, plan->verdict != STANDING_UNSETTLED);
	json_builder_set_member_name(b, "groups");
	json_builder_begin_array(b);
	for (i = 0; i < r->groups->len; i++)
		put_group(b, group_at(r, i));
	json_builder_end_array(b);
	json_builder_set_member_name(b, "moves");
	json_builder_begin_array(b);
	for (i = 0; i < plan->n; i++) {
		const struct reported *g = group_at(r, plan->move[i].group);

		json_builder_begin_object(b);
		put_text(b, "pool", g->pool);
		put_text(b, "from", g->data_center);
		put_text(b, "to", plan->move[i].data_center);
		put_text(b, "why", plan->move[i].why);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	reply_text(r->rq, b);
}

static void todo_set(struct rebalance *r, const struct standing_plan *plan)
{
	unsigned i;

	r->n_todo = 0;
	r->todo_us = now_us();
	for (i = 0; i < plan->n; i++) {
		const struct reported *g = group_at(r, plan->move[i].group);
		struct todo *t = &r->todo[r->n_todo++];

		g_strlcpy(t->pool, g->pool, sizeof(t->pool));
		g_strlcpy(t->from, g->data_center, sizeof(t->from));
		g_strlcpy(t->to, plan->move[i].data_center, sizeof(t->to));
		log_info("rebalance-planned", LOG_STR("pool", t->pool), LOG_STR("from", t->from),
			 LOG_STR("to", t->to), LOG_STR("why", plan->move[i].why));
	}
}

/* Execution */

static void move_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_move_primary_res *res = arg_res;

	log_info("rebalance-asked", LOG_NUM("answered", status == RPC_DONE),
		 LOG_NUM("accepted", status == RPC_DONE && res->ok),
		 LOG_STR("why", status == RPC_DONE ? res->why : ""));
}

/** Whether all groups are known and none was disturbed lately, so that one may be moved. */
static bool all_quiet(const struct rebalance *r)
{
	unsigned i;

	for (i = 0; i < r->groups->len; i++) {
		const struct reported *g = group_at(r, i);

		if (!g->known || !standing_is_past(g->changes_age_us, STANDING_QUIET_US))
			return false;
	}
	return standing_is_past(standing_quiet_us(r->o, now_us()), STANDING_QUIET_US);
}

/** Whether a move may still be under way, or its effect not yet known to all. */
static bool moved_lately(const struct rebalance *r)
{
	return r->moved_us != 0 && now_us() - r->moved_us < STANDING_QUIET_US;
}

/** Has the next move of the plan made, if its group still stands where the plan found it. */
static void execute_next(struct rebalance *r)
{
	const struct todo *t = &r->todo[0];
	ml_move_primary_args args = {.pool = (char *)t->pool, .data_center = (char *)t->to};
	const char *address;
	unsigned i;
	bool known;

	if (now_us() - r->todo_us > EXECUTE_TIMEOUT_US) {
		log_warn("rebalance-given-up", LOG_NUM("moves", r->n_todo));
		r->n_todo = 0;
		return;
	}
	if (!all_quiet(r) || moved_lately(r))
		return;
	address = owner_address(r->o, t->pool, &known);
	for (i = 0; i < r->groups->len; i++) {
		const struct reported *g = group_at(r, i);

		if (strcmp(g->pool, t->pool) == 0 && strcmp(g->data_center, t->from) == 0 &&
		    address != NULL) {
			r->moved_us = now_us();
			rpc_start(rpc_of(kernel_of(r)), address, ML_MOVE_PRIMARY, &args,
				  QUERY_TIMEOUT_US, move_answered, NULL);
		}
	}
	r->n_todo--;
	memmove(&r->todo[0], &r->todo[1], r->n_todo * sizeof(r->todo[0]));
}

static void round_end(struct rebalance *r)
{
	bool automatic = kernel_of(r)->settings->rebalance == REBALANCE_AUTO;
	struct standing_plan plan;

	r->round = false;
	r->round_us = now_us();
	if (r->rq != NULL || (automatic && r->n_todo == 0)) {
		make_plan(r, &plan);
		if (r->rq != NULL)
			reply_plan(r, &plan);
		if (r->rq == NULL || r->execute)
			todo_set(r, &plan);
		r->rq = NULL;
	}
	if (r->n_todo > 0)
		execute_next(r);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct rebalance *r = arg;
	bool automatic = kernel_of(r)->settings->rebalance == REBALANCE_AUTO;
	bool due = now_us() - r->round_us >= ROUND_PAUSE_US;

	if (r->pending)
		return;
	if (r->round && r->next < r->groups->len)
		query_next(r);
	else if (r->round)
		round_end(r);
	else if (r->rq != NULL)
		round_begin(r);
	else if (due && (r->n_todo > 0 || automatic) && is_planner(r))
		round_begin(r);
	else if (due && r->n_todo > 0)
		/* Another VM is the planner now. Two of them would move two groups at a time. */
		r->n_todo = 0;
}

/* The operator's request */

/** A request to move one group, which its owner decides on. */
struct single {
	struct rebalance *r;
	struct rpc_request *rq;
	bool dry_run;
	char to[NAME_SIZE];
};

static void single_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_move_primary_res *res = arg_res;
	struct single *s = arg;

	/* An owner that did not answer may have begun the move. */
	if (!s->dry_run && (status != RPC_DONE || res->ok))
		s->r->moved_us = now_us();
	if (status != RPC_DONE)
		reply_member(s->rq, "error", "the owner of the group does not answer");
	else if (!res->ok)
		reply_member(s->rq, "error", res->why);
	else
		reply_member(s->rq, s->dry_run ? "possible" : "begun", s->to);
	g_free(s);
}

/** Returns why the request for a single group is not valid, or NULL. */
static const char *find_error(const struct rebalance *r, const ml_rebalance_args *a)
{
	const struct conf *conf = fleet_of(kernel_of(r))->conf;
	const struct conf_pool *pool = conf_pool(conf, a->pool);
	unsigned i;

	if (a->pool[0] == '\0')
		return "a data centre needs a pool";
	if (a->data_center[0] == '\0')
		return "a pool needs a data centre";
	if (pool == NULL)
		return "unknown pool";
	if (conf_evacuated(conf, a->data_center))
		return "the data centre is evacuated";
	for (i = 0; i < pool->n; i++) {
		if (strcmp(pool->member[i].data_center, a->data_center) == 0)
			return NULL;
	}
	return "unknown data centre, or one without a member of the group";
}

static void serve_single(struct rebalance *r, struct rpc_request *rq, const ml_rebalance_args *a)
{
	ml_move_primary_args args = {
		.pool = a->pool, .data_center = a->data_center, .dry_run = a->dry_run};
	const char *error = find_error(r, a), *address;
	struct single *s;
	bool known;

	address = error == NULL ? owner_address(r->o, a->pool, &known) : NULL;
	if (error == NULL && r->n_todo > 0 && !a->dry_run)
		error = "a plan is being executed";
	if (error == NULL && moved_lately(r) && !a->dry_run)
		error = "another move was begun less than 15 s ago";
	if (error == NULL && address == NULL)
		error = "the group has no known owner";
	if (error != NULL) {
		reply_member(rq, "error", error);
		return;
	}
	s = g_new0(struct single, 1);
	s->r = r;
	s->rq = rq;
	s->dry_run = a->dry_run;
	g_strlcpy(s->to, a->data_center, sizeof(s->to));

	rpc_start(rpc_of(kernel_of(r)), address, ML_MOVE_PRIMARY, &args, QUERY_TIMEOUT_US,
		  single_answered, s);
}

static void rebalance_serve(struct rpc_request *rq, const void *args, void *ctx)
{
	const ml_rebalance_args *a = args;
	struct rebalance *r = ctx;
	const char *planner = planner_address(r);

	if (planner == NULL) {
		reply_member(rq, "error", "no VM can plan");
	} else if (!is_planner(r)) {
		reply_member(rq, "planner", planner);
	} else if (a->pool[0] != '\0' || a->data_center[0] != '\0') {
		serve_single(r, rq, a);
	} else if (r->rq != NULL || (r->n_todo > 0 && !a->dry_run)) {
		reply_member(rq, "error", "another request is being served");
	} else {
		r->rq = rq;
		r->execute = !a->dry_run;
		r->round = false;
	}
}

void rebalance_serve_off(struct rpc_request *rq, const void *args, void *ctx)
{
	reply_member(rq, "error", "[placement] rebalance is off in the settings of this VM");
}

struct rebalance *rebalance_create(struct owner *o)
{
	struct rebalance *r = g_new0(struct rebalance, 1);

	r->o = o;
	r->groups = g_array_new(FALSE, TRUE, sizeof(struct reported));
	r->tick = kernel_every(o->service.kernel, QUERY_PAUSE_US, on_tick, r);
	rpc_serve(rpc_of(o->service.kernel), ML_REBALANCE, rebalance_serve, r);
	return r;
}

void rebalance_free(struct rebalance *r)
{
	event_free(r->tick);
	g_array_unref(r->groups);
	g_free(r);
}
