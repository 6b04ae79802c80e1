/**
 * @file owner-record.c
 * The record of a group in the store: its serialisation, reading and writing it, and what follows
 * when it changes.
 */
#include "owner.h"

#include "fleet-store.h"
#include "json-text.h"
#include "log.h"
#include "stat.h"
#include "store.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_PREFIX FLEET_STORE_PREFIX "group/"
/** Pause after a read or write of the record failed. */
#define RETRY_US (100 * USEC_PER_MSEC)
/**
 * How long other VMs wait for the previous owner to write back a choice of primary that the store
 * has lost.
 */
#define RECOVER_PAUSE_US (500 * USEC_PER_MSEC)

/* Serialisation */

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
	unsigned i;

	json_builder_begin_object(b);
	put_vm(b, &r->owner);
	json_builder_set_member_name(b, "address");
	json_builder_add_string_value(b, r->address);
	json_builder_set_member_name(b, "floor");
	json_builder_add_int_value(b, (gint64)r->term_floor);
	json_builder_set_member_name(b, "target");
	json_builder_add_string_value(b, r->target);
	json_builder_set_member_name(b, "choices");
	json_builder_add_int_value(b, (gint64)r->choices);
	json_builder_set_member_name(b, "senders");
	json_builder_begin_array(b);
	for (i = 0; i < r->n; i++) {
		json_builder_begin_object(b);
		put_vm(b, &r->sender[i]);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	json_builder_end_object(b);
	return json_text_take(b);
}

static bool read_vm(JsonObject *o, struct lead_vm *vm)
{
	vm->incarnation = strtoull(
		json_object_get_string_member_with_default(o, "incarnation", "0"), NULL, 16);
	return json_text_copy(o, "vm", vm->name, sizeof(vm->name));
}

/** @return false if a sender is malformed or there are too many: each must be fenced */
static bool read_senders(JsonObject *o, struct lead_record *r)
{
	JsonNode *node = json_object_get_member(o, "senders");
	JsonArray *list =
		node != NULL && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
	guint i, n = list != NULL ? json_array_get_length(list) : 0;

	if (n > LEAD_SENDERS_MAX)
		return false;
	for (i = 0; i < n; i++) {
		JsonNode *sender = json_array_get_element(list, i);

		if (!JSON_NODE_HOLDS_OBJECT(sender) ||
		    !read_vm(json_node_get_object(sender), &r->sender[r->n++]))
			return false;
	}
	return true;
}

static bool read_record(JsonObject *o, struct lead_record *r)
{
	r->term_floor = (uint64_t)json_object_get_int_member_with_default(o, "floor", 0);
	r->choices = (uint64_t)json_object_get_int_member_with_default(o, "choices", 0);
	return read_vm(o, &r->owner) &&
	       json_text_copy(o, "address", r->address, sizeof(r->address)) &&
	       json_text_copy(o, "target", r->target, sizeof(r->target)) && read_senders(o, r);
}

/** Parses a record. @return false if it is malformed, or a name in it is too long */
static bool record_parse(const char *text, struct lead_record *r)
{
	JsonParser *parser = json_parser_new();
	JsonObject *o = json_text_object(parser, text);
	bool ok;

	memset(r, 0, sizeof(*r));
	ok = o != NULL && read_record(o, r);
	g_object_unref(parser);
	return ok;
}

/* Changes of the record */

void record_end_ownership(struct owner_group *g, const char *why)
{
	unsigned i;

	log_warn("owner-ends", LOG_STR("pool", g->pool), LOG_STR("owner", g->record.owner.name),
		 LOG_REVISION("revision", g->revision), LOG_STR("why", why));
	g->sending = !g->yielded;
	g->from_invitation = false;
	owner_group_set_state(g, OWNER_NONE, why);
	queue_refuse(g, true, OUTCOME_LEAVING);
	for (i = 0; i < g->n; i++) {
		watch_close(&g->member[i]);
		conn_close_idle(&g->member[i]);
	}
}

static void ownership_begins(struct owner_group *g, const char *why)
{
	unsigned i;

	owner_group_use(g);
	g->yielded = false;
	g->sending = true;
	g->primary = -1;
	g->excluded = -1;
	g->next_call_us = 0;
	g->undo.possible = false;
	succession_begin(&g->succession, now_us());
	succession_acknowledged(&g->succession, g->marks.newest.pos, g->marks.newest.asked_us);
	marks_clear(&g->marks);
	for (i = 0; i < g->n; i++) {
		g->member[i].observed_us = 0;
		g->member[i].silent_since_us = 0;
		g->member[i].probe.next_us = 0;
	}
	log_info("owner", LOG_STR("pool", g->pool), LOG_REVISION("revision", g->revision),
		 LOG_NUM("senders", g->record.n), LOG_STR("why", why));
	owner_group_set_state(g, OWNER_FINDING, why);
}

/** Makes @a r the known record, but keeps a choice of primary that the store has lost. */
static void merge_record(struct owner_group *g, const struct lead_record *r, uint64_t revision)
{
	struct lead_record known = g->record;
	bool was_recovered = g->recovered;

	g->record = *r;
	g->recovered = lead_recover_choice(&g->record, &known);
	if (!g->recovered || was_recovered)
		return;
	g->recover_at_us = now_us() + (g->state > OWNER_CLAIMING ? 0 : RECOVER_PAUSE_US);
	log_warn("choice-recovered", LOG_STR("pool", g->pool), LOG_STR("member", g->record.target),
		 LOG_NUM("floor", g->record.term_floor), LOG_REVISION("revision", revision));
}

/**
 * Handles a missing record after the store came back from an older copy. The previous owner claims
 * the group again, and the last known choice of primary goes into the next record.
 */
static void record_lost(struct owner_group *g)
{
	bool owned = g->state > OWNER_CLAIMING;

	owner_group_wake(g);
	log_warn("record-lost", LOG_STR("pool", g->pool), LOG_STR("owner", g->record.owner.name),
		 LOG_REVISION("revision", g->revision));
	if (owned)
		record_end_ownership(g, "record-lost");
	g->invited = g->invited || owned;
	g->invited_until_us = 0;
	g->revision = 0;
	g->recovered = g->record.choices > 0;
	g->recover_at_us = now_us() + (owned ? 0 : RECOVER_PAUSE_US);
}

/**
 * Whether this VM may have missed a change of primary: its lease had ended, and the store may have
 * lost the record of a VM that took the group meanwhile.
 */
static bool may_have_missed_change(const struct owner_group *g, uint64_t revision)
{
	return era_of(revision) != era_of(g->revision) && g->lapses != fleet_store_lapses();
}

/**
 * Whether this VM may be sending although the record does not name it as a sender, so that nobody
 * would wait until it stops. Its lease had ended, or the record of another era has lost the entry.
 */
static bool is_unlisted_sender(const struct owner_group *g)
{
	struct lead_vm self = owner_self(g->o);

	return g->sending && !owner_group_is_own(g) && !lead_has_sender(&g->record, &self);
}

/** Takes the record that the store has at @a revision, and starts or ends ownership accordingly. */
static void record_apply(struct owner_group *g, const struct lead_record *r, uint64_t revision)
{
	bool owned = g->state > OWNER_CLAIMING;

	if (revision <= g->revision)
		return;
	owner_group_wake(g);
	if (owned && may_have_missed_change(g, revision)) {
		record_end_ownership(g, "lease-ended-before-restore");
		owned = false;
	}
	merge_record(g, r, revision);
	g->revision = revision;
	g->owner_lost = false;
	if (owned && !owner_group_is_own(g))
		record_end_ownership(g, "claimed-by-another");
	else if (!owned && owner_group_is_own(g))
		ownership_begins(g, g->state == OWNER_CLAIMING ? "claimed" : "handed-over");
	else if (!owned)
		log_info("owner-known", LOG_STR("pool", g->pool), LOG_STR("owner", r->owner.name),
			 LOG_REVISION("revision", revision));
	if (is_unlisted_sender(g))
		claim_stop(g, "not-listed-as-sender");
}

static void record_changed(const struct store_item *item, void *owner)
{
	struct owner_group *g = owner_group_find(owner, item->key + strlen(RECORD_PREFIX));
	struct lead_record r;

	if (g == NULL || item->value == NULL)
		return;
	g->record_loaded = true;
	g->outdated = false;
	if (!record_parse(item->value, &r)) {
		stat_add(STAT_ENTRIES_MALFORMED, 1);
		log_entry(G_LOG_LEVEL_CRITICAL, "record-malformed", LOG_STR("pool", g->pool),
			  LOG_REVISION("revision", item->revision));
		return;
	}
	record_apply(g, &r, item->revision);
}

void record_listen(struct owner *o)
{
	fleet_store_listen(fleet_of(o->service.kernel), RECORD_PREFIX, record_changed, o);
}

/* Reading and writing */

/** A read or write of the record in flight. */
struct record_call {
	struct owner *o;
	char pool[NAME_SIZE];
	struct lead_record record;
	char *text;
	record_written cb;
};

static struct record_call *call_create(struct owner_group *g)
{
	struct record_call *q = g_new0(struct record_call, 1);

	q->o = g->o;
	g_strlcpy(q->pool, g->pool, sizeof(q->pool));
	g->record_busy = true;
	g->record_busy_us = now_us();
	return q;
}

static void call_free(struct record_call *q)
{
	g_free(q->text);
	g_free(q);
}

/**
 * Notes that the record was read or written under the current registration and lease of this VM.
 */
static void record_confirmed(struct owner_group *g)
{
	g->registration = fleet_store_registration(owner_group_fleet(g));
	g->lapses = fleet_store_lapses();
}

static void read_answered(const struct store_answer *a, void *arg)
{
	struct record_call *q = arg;
	struct owner_group *g = owner_group_find(q->o, q->pool);
	struct lead_record r;
	bool ok = false;

	if (g == NULL) {
		call_free(q);
		return;
	}
	g->record_busy = false;
	if (a->status != STORE_DONE && a->status != STORE_NO_LEASE) {
		g->next_call_us = now_us() + RETRY_US;
		claim_store_failed(g);
	} else {
		const struct store_item *item =
			a->items->len > 0 ? g_ptr_array_index(a->items, 0) : NULL;

		g->record_loaded = true;
		g->outdated = false;
		g->store_failed_us = 0;
		if (item != NULL && item->value != NULL && record_parse(item->value, &r)) {
			ok = q->text != NULL && strcmp(item->value, q->text) == 0;
			record_apply(g, &r, item->revision);
			/*
			 * The record in the store still names this VM, so no other VM has fenced
			 * it.
			 */
			if (item->revision == g->revision)
				record_confirmed(g);
		} else if (item != NULL && item->value != NULL) {
			stat_add(STAT_ENTRIES_MALFORMED, 1);
			log_entry(G_LOG_LEVEL_CRITICAL, "record-malformed",
				  LOG_STR("pool", g->pool),
				  LOG_REVISION("revision", item->revision));
		} else if (item == NULL && !fleet_store_is_current(g->revision)) {
			record_lost(g);
		}
	}
	if (q->cb != NULL)
		q->cb(g, ok);
	call_free(q);
}

static void record_fetch(struct owner_group *g, struct record_call *q)
{
	char *key = g_strconcat(RECORD_PREFIX, g->pool, NULL);
	struct store *s = fleet_store(owner_group_fleet(g));

	g->record_busy = true;
	s->ops->get(s, key, read_answered, q);
	g_free(key);
}

static void write_answered(const struct store_answer *a, void *arg)
{
	struct record_call *q = arg;
	struct owner_group *g = owner_group_find(q->o, q->pool);

	if (g == NULL) {
		call_free(q);
		return;
	}
	g->record_busy = false;
	if (a->status == STORE_DONE) {
		record_apply(g, &q->record, a->revision);
		if (fleet_store_is_current(a->revision))
			record_confirmed(g);
		q->cb(g, true);
		call_free(q);
		return;
	}
	log_info("record-write-failed", LOG_STR("pool", q->pool), LOG_NUM("status", a->status),
		 LOG_REVISION("revision", g->revision));
	if (a->status == STORE_REFUSED || a->status == STORE_NO_LEASE) {
		g->next_call_us = now_us() + RETRY_US;
		claim_store_failed(g);
		q->cb(g, false);
		call_free(q);
		return;
	}
	/* Another VM wrote first, or the answer was lost. The current record tells which. */
	record_fetch(g, q);
}

void record_outdated(struct owner_group *g)
{
	owner_group_wake(g);
	g->record_loaded = false;
	g->outdated = true;
}

void record_read(struct owner_group *g)
{
	record_fetch(g, call_create(g));
}

void record_write(struct owner_group *g, const struct lead_record *r, record_written cb)
{
	struct store *s = fleet_store(owner_group_fleet(g));
	struct record_call *q = call_create(g);
	char *key = g_strconcat(RECORD_PREFIX, g->pool, NULL);
	struct store_guard guard = {.key = key, .revision = g->revision};
	struct store_write write = {.key = key};

	q->record = *r;
	q->text = record_text(r);
	q->cb = cb;
	write.value = q->text;
	if (!fleet_store_is_current(g->revision))
		record_fetch(g, q);
	else
		s->ops->commit(s, &guard, 1, &write, 1, write_answered, q);
	g_free(key);
}
