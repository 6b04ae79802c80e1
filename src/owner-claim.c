/**
 * @file owner-claim.c
 * The group's record in the store: reading it, claiming a group whose owner is gone, handing one
 * over, and stopping when another VM asks for it.
 */
#include "owner.h"

#include "fleet-store.h"
#include "log.h"
#include "store.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_PREFIX FLEET_STORE_PREFIX "group/"
/** After a call about the record failed. */
#define RETRY_US (100 * USEC_PER_MSEC)
/**
 * A group moves to the data centre of its primary once it has served for so long. Each statement of
 * a transaction passes from the owner to the primary and back: near it, that is 0.4 ms in place of
 * 1.8 ms between the users' data centres.
 */
#define MOVE_AFTER_US (1 * USEC_PER_SEC)
/** Between two VMs that are asked to claim a group. */
#define INVITE_PAUSE_US (300 * USEC_PER_MSEC)
/** Between two tries to move. */
#define MOVE_PAUSE_US (5 * USEC_PER_SEC)
/** An owner that seems gone is asked this often, and has so long to answer. */
#define ASK_US (200 * USEC_PER_MSEC)
#define ASK_TIMEOUT_US (250 * USEC_PER_MSEC)

/* The record's text */

static void put_vm(JsonBuilder *b, const struct lead_vm *vm)
{
	char hex[20];

	g_snprintf(hex, sizeof(hex), "%lx", vm->incarnation);
	json_builder_set_member_name(b, "vm");
	json_builder_add_string_value(b, vm->name);
	json_builder_set_member_name(b, "incarnation");
	json_builder_add_string_value(b, hex);
}

static char *record_text(const struct lead_record *r)
{
	JsonBuilder *b = json_builder_new();
	JsonNode *root;
	unsigned i;
	char *text;

	json_builder_begin_object(b);
	put_vm(b, &r->owner);
	json_builder_set_member_name(b, "address");
	json_builder_add_string_value(b, r->address);
	json_builder_set_member_name(b, "floor");
	json_builder_add_int_value(b, (gint64)r->floor);
	json_builder_set_member_name(b, "target");
	json_builder_add_string_value(b, r->target);
	json_builder_set_member_name(b, "senders");
	json_builder_begin_array(b);
	for (i = 0; i < r->n; i++) {
		json_builder_begin_object(b);
		put_vm(b, &r->sender[i]);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(b);
	return text;
}

static void read_vm(JsonObject *o, struct lead_vm *vm)
{
	g_strlcpy(vm->name, json_object_get_string_member_with_default(o, "vm", ""),
		  sizeof(vm->name));
	vm->incarnation = strtoull(
		json_object_get_string_member_with_default(o, "incarnation", "0"), NULL, 16);
}

static bool record_parse(const char *text, struct lead_record *r)
{
	JsonParser *parser = json_parser_new();
	bool ok = json_parser_load_from_data(parser, text, -1, NULL) &&
		  json_parser_get_root(parser) != NULL &&
		  JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser));

	memset(r, 0, sizeof(*r));
	if (ok) {
		JsonObject *o = json_node_get_object(json_parser_get_root(parser));
		JsonNode *senders = json_object_get_member(o, "senders");
		JsonArray *list = senders != NULL && JSON_NODE_HOLDS_ARRAY(senders)
					  ? json_node_get_array(senders)
					  : NULL;
		guint i;

		read_vm(o, &r->owner);
		g_strlcpy(r->address, json_object_get_string_member_with_default(o, "address", ""),
			  sizeof(r->address));
		r->floor = (uint64_t)json_object_get_int_member_with_default(o, "floor", 0);
		g_strlcpy(r->target, json_object_get_string_member_with_default(o, "target", ""),
			  sizeof(r->target));
		for (i = 0;
		     list != NULL && i < json_array_get_length(list) && r->n < LEAD_SENDERS_MAX;
		     i++)
			read_vm(json_array_get_object_element(list, i), &r->sender[r->n++]);
	}
	g_object_unref(parser);
	return ok;
}

static struct lead_vm self_vm(const struct owner *o)
{
	struct lead_vm vm = {.incarnation = o->service.kernel->incarnation};

	g_strlcpy(vm.name, o->service.kernel->settings->name, sizeof(vm.name));
	return vm;
}

/* Taking in a record */

/** Stop being the owner; what is open may still end, since two senders harm nothing. */
static void ownership_ends(struct owner_group *g, const char *why)
{
	unsigned i;

	log_warn("owner-ends", LOG_STR("pool", g->pool), LOG_STR("owner", g->record.owner.name),
		 LOG_NUM("revision", g->revision), LOG_STR("why", why));
	g->sending = !g->yielded;
	og_state(g, OWNER_NONE, why);
	queue_refuse(g, true, OUTCOME_LEAVING);
	for (i = 0; i < g->n; i++) {
		watch_close(&g->member[i]);
		conn_close_idle(&g->member[i]);
	}
}

void claim_superseded(struct owner_group *g)
{
	if (g->state > OWNER_CLAIMING)
		ownership_ends(g, "told-of-another");
}

static void ownership_begins(struct owner_group *g, const char *why)
{
	unsigned i;

	g->yielded = false;
	g->sending = true;
	g->primary = -1;
	g->except = -1;
	g->next_us = 0;
	marks_clear(&g->marks);
	for (i = 0; i < g->n; i++) {
		g->member[i].seen_us = 0;
		g->member[i].unheard_us = 0;
		g->member[i].probe.next_us = 0;
	}
	log_info("owner", LOG_STR("pool", g->pool), LOG_NUM("revision", g->revision),
		 LOG_NUM("senders", g->record.n), LOG_STR("why", why));
	og_state(g, OWNER_FINDING, why);
}

/** The record at @a revision is what the store has. */
static void record_take(struct owner_group *g, const struct lead_record *r, uint64_t revision)
{
	bool mine = g->state > OWNER_CLAIMING;

	if (revision <= g->revision)
		return;
	g->record = *r;
	g->revision = revision;
	g->owner_lost = false;
	g->contact_us = 0;
	if (mine && !og_mine(g))
		ownership_ends(g, "claimed-by-another");
	else if (!mine && og_mine(g))
		ownership_begins(g, g->state == OWNER_CLAIMING ? "claimed" : "handed-over");
	else if (!mine)
		log_info("owner-known", LOG_STR("pool", g->pool), LOG_STR("owner", r->owner.name),
			 LOG_NUM("revision", revision));
}

static void record_news(const struct store_item *item, void *owner)
{
	struct owner_group *g = og_find(owner, item->key + strlen(RECORD_PREFIX));
	struct lead_record r;

	if (g == NULL || item->value == NULL)
		return;
	g->read = true;
	if (!record_parse(item->value, &r)) {
		log_error("record-malformed", LOG_STR("pool", g->pool));
		return;
	}
	record_take(g, &r, item->revision);
}

void claim_listen(struct owner *o)
{
	fleet_store_listen(fleet_of(o->service.kernel), RECORD_PREFIX, record_news, o);
}

/* Reading and writing */

struct call {
	struct owner *o;
	char pool[NAME_SIZE];
	struct lead_record record;
	char *text;
	claim_written cb;
};

static struct call *call_create(struct owner_group *g)
{
	struct call *q = g_new0(struct call, 1);

	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	g->busy = true;
	return q;
}

static void call_free(struct call *q)
{
	g_free(q->text);
	g_free(q);
}

static void read_answered(const struct store_answer *a, void *arg)
{
	struct call *q = arg;
	struct owner_group *g = og_find(q->o, q->pool);
	struct lead_record r;
	bool ok = false;

	if (g == NULL) {
		call_free(q);
		return;
	}
	g->busy = false;
	if (a->status != STORE_DONE && a->status != STORE_NO_LEASE) {
		g->next_us = now_us() + RETRY_US;
	} else {
		const struct store_item *item =
			a->items->len > 0 ? g_ptr_array_index(a->items, 0) : NULL;

		g->read = true;
		if (item != NULL && item->value != NULL && record_parse(item->value, &r)) {
			ok = q->text != NULL && strcmp(item->value, q->text) == 0;
			record_take(g, &r, item->revision);
			/* The store still has this VM as the owner, so nobody has fenced it. */
			if (item->revision == g->revision)
				g->lease = fleet_store_lease(og_fleet(g));
		}
	}
	if (q->cb != NULL)
		q->cb(g, ok);
	call_free(q);
}

/** Read the record from the store itself, past what the watch has told. */
static void record_read(struct owner_group *g, struct call *q)
{
	char *key = g_strconcat(RECORD_PREFIX, g->pool, NULL);
	struct store *s = fleet_store(og_fleet(g));

	g->busy = true;
	s->ops->get(s, key, read_answered, q);
	g_free(key);
}

static void write_answered(const struct store_answer *a, void *arg)
{
	struct call *q = arg;
	struct owner_group *g = og_find(q->o, q->pool);

	if (g == NULL) {
		call_free(q);
		return;
	}
	g->busy = false;
	if (a->status == STORE_DONE) {
		g->lease = fleet_store_lease(og_fleet(g));
		record_take(g, &q->record, a->revision);
		q->cb(g, true);
		call_free(q);
		return;
	}
	log_info("record-write-failed", LOG_STR("pool", q->pool), LOG_NUM("status", a->status),
		 LOG_NUM("revision", g->revision));
	if (a->status == STORE_REFUSED || a->status == STORE_NO_LEASE) {
		g->next_us = now_us() + RETRY_US;
		q->cb(g, false);
		call_free(q);
		return;
	}
	/* Another was first, or the answer was lost: what the store has now tells which. */
	record_read(g, q);
}

void claim_write(struct owner_group *g, const struct lead_record *r, claim_written cb)
{
	struct store *s = fleet_store(og_fleet(g));
	struct call *q = call_create(g);
	char *key = g_strconcat(RECORD_PREFIX, g->pool, NULL);
	struct store_guard guard = {.key = key, .revision = g->revision};
	struct store_write write = {.key = key};

	q->record = *r;
	q->text = record_text(r);
	q->cb = cb;
	write.value = q->text;
	s->ops->commit(s, &guard, 1, &write, 1, write_answered, q);
	g_free(key);
}

/* Telling others */

static void told(enum rpc_status status, const void *res, void *arg)
{
}

/** Tell all VMs, so that statements come to the right one before the store's watch has told them.
 */
static void tell_all(struct owner_group *g)
{
	struct fleet *f = og_fleet(g);
	ml_owner args = {.pool = g->pool,
			 .vm = g->record.owner.name,
			 .address = g->record.address,
			 .revision = g->revision};
	struct vm *vm;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm != f->peers.self && vm->listed && !vm->dead)
			rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_OWNER, &args,
				  ASK_TIMEOUT_US, told, NULL);
	}
}

/* Claiming */

static void claimed(struct owner_group *g, bool ok)
{
	if (g->state == OWNER_CLAIMING)
		og_state(g, OWNER_NONE, "not-claimed");
	else if (og_mine(g))
		tell_all(g);
}

/** Whether the record's owner is a process that is known to have ended. */
static bool owner_ended(const struct owner_group *g)
{
	const struct vm *vm = peers_find(&og_fleet(g)->peers, g->record.owner.name);

	return vm != NULL && vm->incarnation != 0 && vm->incarnation != g->record.owner.incarnation;
}

static void claim(struct owner_group *g, const char *why)
{
	struct lead_record r = g->record;
	struct lead_vm self = self_vm(g->o);

	bool ended = owner_ended(g) || strcmp(r.owner.name, self.name) == 0;

	if (!lead_claim(&r, &self, g->o->service.kernel->settings->advertise, ended)) {
		log_warn("claim-without-room", LOG_STR("pool", g->pool));
		g->next_us = now_us() + RETRY_US;
		return;
	}
	log_info("claim", LOG_STR("pool", g->pool), LOG_STR("former", g->record.owner.name),
		 LOG_NUM("revision", g->revision), LOG_STR("why", why));
	og_state(g, OWNER_CLAIMING, why);
	claim_write(g, &r, claimed);
}

/** Fill in what this VM, as the owner, knows of the newest write. */
static void put_mark(const struct owner_group *g, ml_owner *res)
{
	const struct mark *newest = &g->marks.newest;

	if (!og_mine(g) || newest->pos.term == 0)
		return;
	res->mark = (ml_pos){newest->pos.term, newest->pos.lsn};
	res->mark_age_us = (u_quad_t)(now_us() - newest->asked_us);
}

static void mark_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_owner *res = arg_res;
	struct call *q = arg;
	struct owner_group *g = og_find(q->o, q->pool);

	if (g != NULL) {
		g->mark_asked = false;
		if (status == RPC_DONE)
			owner_told_mark(q->o, q->pool, (struct pos){res->mark.term, res->mark.lsn},
					g->mark_asked_us - (int64_t)res->mark_age_us);
	}
	call_free(q);
}

void claim_ask_mark(struct owner_group *g, int64_t now)
{
	ml_owner args = {.pool = g->pool, .vm = "", .address = ""};
	const char *address;
	struct call *q;
	bool known;

	if (g->mark_asked)
		return;
	address = owner_address(g->o, g->pool, &known);
	if (address == NULL)
		return;
	g->mark_asked = true;
	g->mark_asked_us = now;
	q = g_new0(struct call, 1);
	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	rpc_start(rpc_of(g->o->service.kernel), address, ML_OWNER, &args, ASK_TIMEOUT_US,
		  mark_answered, q);
}

static void owner_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_owner *res = arg_res;
	struct call *q = arg;
	struct owner_group *g = og_find(q->o, q->pool);

	if (g != NULL) {
		g->asking = false;
		if (status != RPC_DONE || !res->serving) {
			g->owner_lost = true;
			log_info("owner-silent", LOG_STR("pool", g->pool),
				 LOG_STR("owner", g->record.owner.name),
				 LOG_NUM("answered", status == RPC_DONE));
		} else {
			g->contact_us = now_us();
		}
	}
	call_free(q);
}

/** Ask the owner whether it still is: one lost call to it does not mean that it is gone. */
static void ask_owner(struct owner_group *g, int64_t now)
{
	ml_owner args = {.pool = g->pool, .vm = "", .address = ""};
	struct call *q;

	if (g->asking || now - g->asked_us < ASK_US)
		return;
	g->asked_us = now;
	g->asking = true;
	q = g_new0(struct call, 1);
	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	rpc_start(rpc_of(g->o->service.kernel), g->record.address, ML_OWNER, &args, ASK_TIMEOUT_US,
		  owner_answered, q);
}

/** Whether this VM is the one that is to claim the group when its owner is gone. */
static bool is_successor(const struct owner_group *g)
{
	char role[NAME_SIZE + 8];
	const char *address;

	g_snprintf(role, sizeof(role), "group %s", g->pool);
	address = fleet_holder_address(og_fleet(g), role);
	return address != NULL && strcmp(address, g->o->service.kernel->settings->advertise) == 0;
}

static void claim_if_lost(struct owner_group *g, int64_t now)
{
	const struct vm *vm = peers_find(&og_fleet(g)->peers, g->record.owner.name);
	bool self = strcmp(g->record.owner.name, g->o->service.kernel->settings->name) == 0;

	if (g->revision == 0) {
		claim(g, "no-record");
		return;
	}
	if (self || owner_ended(g)) {
		claim(g, "owner-restarted");
		return;
	}
	/* A newer record than is known here: the claim would only lose against it. */
	if (g->hint_revision > g->revision) {
		g->read = false;
		g->hint_revision = 0;
		return;
	}
	if (vm != NULL && peers_usable(vm)) {
		g->owner_lost = false;
		return;
	}
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

static void invite_answered(enum rpc_status status, const void *res, void *arg)
{
}

void claim_invite(struct owner_group *g, const char *why)
{
	struct fleet *f = og_fleet(g);
	ml_owner args = {.pool = g->pool, .vm = "", .address = "", .claim = true};
	int64_t now = now_us();
	unsigned usable = 0, skip;
	struct vm *vm;

	if (now - g->invited_us < INVITE_PAUSE_US)
		return;
	g->invited_us = now;
	TAILQ_FOREACH(vm, &f->peers.vms, link)
		usable += vm != f->peers.self && peers_usable(vm) ? 1 : 0;
	if (usable == 0)
		return;
	/* Any of them: the store may turn others away too, and the next try asks another one. */
	skip = (unsigned)(random_bits() % usable);
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm == f->peers.self || !peers_usable(vm) || skip-- > 0)
			continue;
		log_warn("invite", LOG_STR("pool", g->pool), LOG_STR("peer", vm->name),
			 LOG_STR("why", why));
		rpc_start(rpc_of(g->o->service.kernel), vm->address, ML_OWNER, &args,
			  ASK_TIMEOUT_US, invite_answered, NULL);
		return;
	}
}

void claim_tick(struct owner_group *g, int64_t now)
{
	struct fleet *f = og_fleet(g);
	uint64_t lease = fleet_store_lease(f);

	if (g->busy || now < g->next_us || !g->configured || g->o->leaving)
		return;
	if (lease == 0 || fleet_store_lease_until_us(f) < now)
		return;
	/*
	 * Under a new lease, or after the record was never read: others may have taken the group
	 * while this VM had none, so the store is asked before anything is sent.
	 */
	if (!g->read || (og_mine(g) && g->state > OWNER_CLAIMING && g->lease != lease)) {
		record_read(g, call_create(g));
		return;
	}
	if (g->state == OWNER_NONE && g->invited) {
		g->invited = false;
		claim(g, "invited");
	} else if (g->state == OWNER_NONE && is_successor(g)) {
		claim_if_lost(g, now);
	}
}

/* Handing over */

static void handed_over(struct owner_group *g, bool ok)
{
	if (ok)
		tell_all(g);
}

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
	claim_write(g, &r, handed_over);
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
		 LOG_NUM("revision", g->revision));
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

void claim_yield_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_yield_args *a = args;
	struct owner_group *g = og_find(owner, a->pool);
	ml_none res = {.ok = true};

	if (g != NULL && og_mine(g) && a->revision <= g->revision) {
		/* An order of before this VM's own claim. */
		res.ok = false;
	} else if (g != NULL) {
		claim_stop(g, "asked");
		if (a->revision > g->revision)
			g->read = false;
	}
	rpc_reply(rq, &res);
}

/** With a name: news of an owner. Without: a question to the owner. */
void claim_owner_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_owner *a = args;
	struct owner_group *g = og_find(owner, a->pool);
	ml_owner res = {.pool = a->pool, .vm = "", .address = ""};

	if (g != NULL && a->claim && !og_mine(g) && !g->o->leaving) {
		/* What is known here of the record may be older than what the owner has written. */
		g->invited = true;
		g->read = false;
	}
	if (g != NULL && a->vm[0] != '\0')
		owner_heard(owner, a->pool, a->vm, a->address, a->revision);
	if (g != NULL) {
		res.vm = g->record.owner.name;
		res.address = g->record.address;
		res.revision = g->revision;
		res.serving = og_mine(g) && og_may_send(g);
		put_mark(g, &res);
	}
	rpc_reply(rq, &res);
}
