/** @file relay.c Statements that go through another VM, in the roles of sender and of relay. */
#include "relay.h"

#include "fleet.h"
#include "log.h"
#include "outcome.h"
#include "reach.h"
#include "stat.h"
#include "statement.h"

#include <string.h>

/** Time limit of a question, and of the call with which a VM finds out whether it reaches another.
 */
#define QUESTION_TIMEOUT_US (250 * USEC_PER_MSEC)
#define CONTACT_TIMEOUT_US (200 * USEC_PER_MSEC)
/** Pause between two calls that find out whether a lost VM is reached again. */
#define CONTACT_PAUSE_US (500 * USEC_PER_MSEC)
/** Time after its deadline that the answer to a relayed statement may take to arrive. */
#define ANSWER_GRACE_US (100 * USEC_PER_MSEC)
/**
 * A connection with open calls is tested between a quarter and half of settings.silent_ms after its
 * last data. One that works is not silent for longer than that and a round trip, also if the only
 * statement on it takes long.
 */
#define SILENT_FRACTION 0.5
#define SILENT_MARGIN_US (100 * USEC_PER_MSEC)
/** Data centre of an address that belongs to no VM of the fleet. */
#define NOWHERE ""

/** A statement or question that this VM handles for another. */
struct relay_request {
	TAILQ_ENTRY(relay_request) link;
	struct relay *r;
	struct rpc_request *rq;
	const ml_relay_args *args; /**< of @a rq */
};
TAILQ_HEAD(relay_requests, relay_request);

/** A question to a VM in flight, or a call to a lost VM. */
struct question {
	TAILQ_ENTRY(question) link;
	struct relay *r;
	char to[ADDRESS_SIZE];
	char via[ADDRESS_SIZE]; /**< "" for a call to @a to itself */
	char name[NAME_SIZE];	/**< of the VM that was asked */
};
TAILQ_HEAD(questions, question);

struct relay {
	struct service service;
	struct reach reach;
	int64_t contact_sent_us;	/**< when a lost VM was last called */
	struct relay_requests requests; /**< not answered yet */
	struct questions questions;	/**< in flight */
};

static struct relay *relay_of(struct kernel *k)
{
	return (struct relay *)kernel_lookup(k, "relay");
}

bool relay_enabled(struct kernel *k)
{
	return k->settings->relay && relay_of(k) != NULL;
}

void relay_note_call(struct kernel *k, const char *address, bool answered)
{
	struct relay *r = relay_of(k);

	if (!relay_enabled(k) || strcmp(address, k->settings->advertise) == 0)
		return;
	if (answered)
		reach_received(&r->reach, address, now_us());
	else
		reach_failed(&r->reach, address, now_us());
}

bool relay_is_lost(struct kernel *k, const char *address)
{
	struct relay *r = relay_of(k);

	if (!relay_enabled(k) || strcmp(address, k->settings->advertise) == 0)
		return false;
	return reach_is_lost(&r->reach, address, now_us()) ||
	       rpc_silent_us(rpc_of(k), address) > relay_silence_limit_us(k);
}

int64_t relay_silence_limit_us(struct kernel *k)
{
	return (int64_t)(k->settings->silent_ms * (double)USEC_PER_MSEC * SILENT_FRACTION) +
	       SILENT_MARGIN_US;
}

/* The sender: finding a VM that reaches the receiver */

static struct question *question_create(struct relay *r, const char *to)
{
	struct question *q = g_new0(struct question, 1);

	q->r = r;
	g_strlcpy(q->to, to, sizeof(q->to));
	TAILQ_INSERT_TAIL(&r->questions, q, link);
	return q;
}

static void question_free(struct question *q)
{
	TAILQ_REMOVE(&q->r->questions, q, link);
	g_free(q);
}

static void question_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_relay_res *res = arg_res;
	struct question *q = arg;
	int64_t pause_us = status == RPC_LOST ? REACH_UNANSWERED_US : REACH_REFUSED_US;
	bool reaches = status == RPC_DONE && res->run.outcome == OUTCOME_DONE;
	struct reach *reach = &q->r->reach;

	reach_question_ended(reach, q->to, now_us());
	log_info("relay-question", LOG_STR("to", q->to), LOG_STR("peer", q->name),
		 LOG_NUM("answered", status == RPC_DONE), LOG_NUM("reaches", reaches));
	/* The first to answer is the nearest. */
	if (reaches && reach_via(reach, q->to, now_us()) == NULL)
		reach_path(reach, q->to, q->via, now_us());
	else if (!reaches)
		reach_no_path(reach, q->to, q->via, pause_us, now_us());
	question_free(q);
}

static void ask(struct relay *r, const char *to, const struct vm *vm)
{
	struct kernel *k = r->service.kernel;
	struct question *q = question_create(r, to);
	ml_relay_args args = {.to = q->to,
			      .via = (char *)k->settings->name,
			      .hops = REACH_QUESTION_HOPS,
			      .run = {.request = "-",
				      .team = "",
				      .pool = "",
				      .text = "",
				      .operand = "",
				      .shape = "",
				      .op = STATEMENT_BAD}};

	args.run.deadline_us = (u_int)QUESTION_TIMEOUT_US;
	g_strlcpy(q->via, vm->address, sizeof(q->via));
	g_strlcpy(q->name, vm->name, sizeof(q->name));
	rpc_start(rpc_of(k), q->via, ML_RELAY, &args, QUESTION_TIMEOUT_US, question_answered, q);
}

struct reach_vm *relay_list_vms(const struct fleet *f)
{
	const struct peers *peers = &f->peers;
	struct reach_vm *vms = g_new0(struct reach_vm, peers->n + 1);
	unsigned i;

	for (i = 0; i < peers->n; i++) {
		const struct vm *vm = peers->order[i];

		vms[i] = (struct reach_vm){vm->address, vm->data_center,
					   vm != peers->self && peers_usable(vm)};
	}
	return vms;
}

/** Asks some VMs whether they reach @a to. @return whether there was one to ask */
static bool ask_relays(struct relay *r, const char *to)
{
	struct fleet *f = fleet_of(r->service.kernel);
	const struct vm *receiver = peers_find_address(&f->peers, to);
	const char *data_center = receiver != NULL ? receiver->data_center : NOWHERE;
	struct reach_vm *vms = relay_list_vms(f);
	unsigned out[REACH_RELAYS_MAX], n, i;

	n = reach_relays(&r->reach, to, data_center, vms, f->peers.n, REACH_RELAYS_MAX,
			 random_bits(), now_us(), out);
	for (i = 0; i < n; i++)
		ask(r, to, f->peers.order[out[i]]);
	reach_asked(&r->reach, to, n, now_us());
	g_free(vms);
	return n > 0;
}

static void contact_answered(enum rpc_status status, const void *res, void *arg)
{
	struct question *q = arg;

	if (status == RPC_DONE)
		reach_received(&q->r->reach, q->to, now_us());
	else
		reach_failed(&q->r->reach, q->to, now_us());
	question_free(q);
}

/** Calls a lost VM now and then, since no statement is sent to it that would find it back. */
static void try_contact(struct relay *r, const char *to)
{
	ml_owner args = {.pool = "", .vm = "", .address = "", .primary = ""};

	if (now_us() - r->contact_sent_us < CONTACT_PAUSE_US)
		return;
	r->contact_sent_us = now_us();
	rpc_start(rpc_of(r->service.kernel), to, ML_OWNER, &args, CONTACT_TIMEOUT_US,
		  contact_answered, question_create(r, to));
}

enum relay_way relay_find(struct kernel *k, const char *to)
{
	struct relay *r = relay_of(k);

	if (!relay_enabled(k) || strcmp(to, k->settings->advertise) == 0)
		return RELAY_NONE;
	try_contact(r, to);
	if (reach_via(&r->reach, to, now_us()) != NULL)
		return RELAY_KNOWN;
	if (reach_may_ask(&r->reach, to, now_us()) && ask_relays(r, to))
		return RELAY_ASKED;
	return reach_is_asking(&r->reach, to) ? RELAY_ASKING : RELAY_NONE;
}

void relay_ask_again(struct kernel *k, const char *to)
{
	struct relay *r = relay_of(k);
	char via[ADDRESS_SIZE];

	if (!relay_enabled(k) || strcmp(to, k->settings->advertise) == 0 ||
	    !reach_may_ask(&r->reach, to, now_us()))
		return;
	if (reach_via(&r->reach, to, now_us()) != NULL) {
		g_strlcpy(via, reach_via(&r->reach, to, now_us()), sizeof(via));
		reach_no_path(&r->reach, to, via, 0, now_us());
	}
	ask_relays(r, to);
}

bool relay_reaches(struct kernel *k, const char *to)
{
	return relay_enabled(k) && reach_via(&relay_of(k)->reach, to, now_us()) != NULL;
}

/* The sender: a statement */

struct relay_call {
	struct relay *r;
	struct rpc_call *rpc_call;
	char to[ADDRESS_SIZE], via[ADDRESS_SIZE];
	char *request, *pool;
	unsigned priority;
	int64_t started_us;
	rpc_done cb;
	void *arg;
};

/** Returns how the statement ended at its receiver. */
static enum rpc_status result_of(enum rpc_status status, const ml_relay_res *res)
{
	if (status != RPC_DONE)
		return status;
	if (!res->tried)
		return RPC_NOT_SENT;
	return res->run.outcome == OUTCOME_LOST ? RPC_LOST : RPC_DONE;
}

static void log_result(const struct relay_call *c, enum rpc_status result)
{
	static const char *const names[] = {
		[RPC_DONE] = "served", [RPC_NOT_SENT] = "not-sent", [RPC_LOST] = "lost"};
	const struct log_field fields[] = {
		LOG_STR("request", c->request),
		LOG_STR("pool", c->pool),
		LOG_STR("to", c->to),
		LOG_STR("via", c->via),
		LOG_STR("outcome", names[result]),
		LOG_NUM("us", now_us() - c->started_us),
	};

	if (result == RPC_DONE)
		log_routine_fields("relay", fields, G_N_ELEMENTS(fields));
	else
		log_fields(G_LOG_LEVEL_INFO, "relay", fields, G_N_ELEMENTS(fields));
}

/** Records what the result says about the path. */
static void note_path(const struct relay_call *c, enum rpc_status status, enum rpc_status result)
{
	struct reach *reach = &c->r->reach;

	if (c->via[0] == '\0')
		return;
	if (status != RPC_DONE)
		reach_failed(reach, c->via, now_us());
	else if (result == RPC_DONE)
		reach_path(reach, c->to, c->via, now_us());
	else if (result == RPC_NOT_SENT)
		reach_no_path(reach, c->to, c->via, REACH_REFUSED_US, now_us());
}

static void note_result(const struct relay_call *c, enum rpc_status status, enum rpc_status result)
{
	note_path(c, status, result);
	if (result == RPC_DONE)
		stat_add_class(STAT_RELAY_SERVED, c->priority, 1);
	else if (result == RPC_LOST)
		stat_add_class(STAT_RELAY_LOST, c->priority, 1);
	log_result(c, result);
}

static void relayed(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_relay_res *res = arg_res;
	struct relay_call *c = arg;
	enum rpc_status result = result_of(status, res);

	note_result(c, status, result);
	if (c->cb != NULL)
		c->cb(result, result == RPC_DONE ? &res->run : NULL, c->arg);
	g_free(c->request);
	g_free(c->pool);
	g_free(c);
}

struct relay_call *relay_start(struct kernel *k, const char *to, ml_run_args *run,
			       int64_t timeout_us, rpc_done cb, void *arg)
{
	struct relay *r = relay_of(k);
	const char *via = reach_via(&r->reach, to, now_us());
	struct relay_call *c = g_new0(struct relay_call, 1);
	ml_relay_args args = {.to = c->to,
			      .via = (char *)k->settings->name,
			      .hops = REACH_STATEMENT_HOPS,
			      .run = *run};

	c->r = r;
	g_strlcpy(c->to, to, sizeof(c->to));
	/* The path may have expired since relay_find(). A call to no address is not sent. */
	g_strlcpy(c->via, via != NULL ? via : "", sizeof(c->via));
	c->request = g_strdup(run->request);
	c->pool = g_strdup(run->pool);
	c->priority = run->priority;
	c->started_us = now_us();
	c->cb = cb;
	c->arg = arg;
	stat_add_class(STAT_RELAY_ASKED, run->priority, 1);
	c->rpc_call = rpc_start(rpc_of(k), c->via, ML_RELAY, &args, timeout_us, relayed, c);
	return c;
}

void relay_detach(struct relay_call *call)
{
	call->cb = NULL;
}

int64_t relay_silent_us(const struct relay_call *call)
{
	return rpc_silent_us(rpc_of(call->r->service.kernel), call->via);
}

/* The relay */

static void reply(struct relay_request *p, bool tried, const ml_run_res *run)
{
	ml_relay_res res = {.tried = tried, .run = *run};

	TAILQ_REMOVE(&p->r->requests, p, link);
	rpc_reply(p->rq, &res);
	g_free(p);
}

static void reply_outcome(struct relay_request *p, bool tried, enum outcome o)
{
	ml_run_res run = {.outcome = (int)o,
			  .message = "",
			  .signature = "",
			  .owner = "",
			  .owner_address = ""};

	reply(p, tried, &run);
}

static void refuse(struct relay_request *p, enum stat_id counter, const char *why)
{
	const ml_relay_args *a = p->args;

	stat_add(counter, 1);
	log_info("relay-refused", LOG_STR("request", a->run.request), LOG_STR("pool", a->run.pool),
		 LOG_STR("to", a->to), LOG_STR("from", a->via), LOG_STR("why", why));
	reply_outcome(p, false, OUTCOME_NOT_SENT);
}

/** Returns when something was last received from @a address; 0 if it is not reached now. */
static int64_t last_heard_us(struct kernel *k, const char *address)
{
	return relay_is_lost(k, address) ? 0 : rpc_last_received_us(rpc_of(k), address);
}

static enum reach_refusal check(struct relay *r, const ml_relay_args *a)
{
	struct kernel *k = r->service.kernel;
	const struct peers *peers = &fleet_of(k)->peers;
	const struct vm *sender = peers_find(peers, a->via);
	struct reach_request q = {.enabled = relay_enabled(k) && !k->draining,
				  .known = peers_find_address(peers, a->to) != NULL,
				  .hops = a->hops,
				  .self = k->settings->advertise,
				  .sender = sender != NULL ? sender->address : "",
				  .to = a->to,
				  .in_transaction = a->run.transaction != 0 || a->run.begin != 0,
				  .left_us = a->run.deadline_us,
				  .received_us = last_heard_us(k, a->to)};

	return reach_check(&q, now_us());
}

/** Answers a question after a call has shown whether the receiver is reached. */
static void asked_contact(enum rpc_status status, const void *res, void *arg)
{
	struct relay_request *p = arg;

	relay_note_call(p->r->service.kernel, p->args->to, status == RPC_DONE);
	reply_outcome(p, false, status == RPC_DONE ? OUTCOME_DONE : OUTCOME_NOT_SENT);
}

static void answer_question(struct relay_request *p, enum reach_refusal why)
{
	ml_owner args = {.pool = "", .vm = "", .address = "", .primary = ""};

	if (why == REACH_UNHEARD && !reach_has_just_failed(&p->r->reach, p->args->to, now_us()))
		rpc_start(rpc_of(p->r->service.kernel), p->args->to, ML_OWNER, &args,
			  CONTACT_TIMEOUT_US, asked_contact, p);
	else
		reply_outcome(p, false, why == REACH_ACCEPTED ? OUTCOME_DONE : OUTCOME_NOT_SENT);
}

static void passed_on(enum rpc_status status, const void *res, void *arg)
{
	struct relay_request *p = arg;

	if (status == RPC_DONE)
		reply(p, true, res);
	else if (status == RPC_LOST)
		reply_outcome(p, true, OUTCOME_LOST);
	else
		refuse(p, STAT_RELAY_REFUSED_NOT_SENT, "not-sent");
}

static void relay_serve(struct rpc_request *rq, const void *args, void *relay)
{
	static const enum stat_id counters[REACH_REFUSALS] = {
		[REACH_DISABLED] = STAT_RELAY_REFUSED_DISABLED,
		[REACH_LOOP] = STAT_RELAY_REFUSED_LOOP,
		[REACH_UNKNOWN] = STAT_RELAY_REFUSED_UNKNOWN,
		[REACH_EXPIRED] = STAT_RELAY_REFUSED_EXPIRED,
		[REACH_TRANSACTION] = STAT_RELAY_REFUSED_TRANSACTION,
		[REACH_UNHEARD] = STAT_RELAY_REFUSED_UNHEARD,
	};
	struct relay_request *p = g_new0(struct relay_request, 1);
	const ml_relay_args *a = args;
	enum reach_refusal why;

	p->r = relay;
	TAILQ_INSERT_TAIL(&p->r->requests, p, link);
	p->rq = rq;
	p->args = a;
	why = check(p->r, a);
	if (a->hops == REACH_QUESTION_HOPS) {
		answer_question(p, why);
		return;
	}
	if (why != REACH_ACCEPTED) {
		refuse(p, counters[why], reach_refusal_name(why));
		return;
	}
	stat_add(STAT_RELAY_PASSED, 1);
	rpc_start(rpc_of(p->r->service.kernel), a->to, ML_RUN, &a->run,
		  (int64_t)a->run.deadline_us + ANSWER_GRACE_US, passed_on, p);
}

/* The service */

static gboolean relay_service_start(struct service *s, GError **error)
{
	rpc_serve(rpc_of(s->kernel), ML_RELAY, relay_serve, s);
	return TRUE;
}

static bool relay_service_drained(struct service *s)
{
	return TAILQ_EMPTY(&((struct relay *)s)->requests);
}

static void relay_service_stop(struct service *s)
{
	struct relay *r = (struct relay *)s;

	while (!TAILQ_EMPTY(&r->requests))
		reply_outcome(TAILQ_FIRST(&r->requests), true, OUTCOME_LOST);
	while (!TAILQ_EMPTY(&r->questions))
		question_free(TAILQ_FIRST(&r->questions));
	g_free(r);
}

static const struct service_ops relay_service_ops = {
	.name = "relay",
	.start = relay_service_start,
	.drained = relay_service_drained,
	.stop = relay_service_stop,
};

struct service *relay_service_create(struct kernel *k)
{
	struct relay *r = g_new0(struct relay, 1);

	r->service.ops = &relay_service_ops;
	TAILQ_INIT(&r->requests);
	TAILQ_INIT(&r->questions);
	kernel_add(k, &r->service);
	return &r->service;
}
