/**
 * @file fleet-conf.c
 * The configuration in force on this VM. A few VMs of each data centre watch the platform's store;
 * the others hear of a new version with a heartbeat and fetch the difference from the VM that has
 * it. A new VM asks both.
 */
#include "fleet.h"

#include "log.h"
#include "stat.h"
#include "table.h"

#include <stdlib.h>
#include <string.h>

/** VMs of a data centre that watch the store. */
#define WATCHERS 2
#define FETCH_TIMEOUT_US (2 * USEC_PER_SEC)

unsigned fleet_watch_place(const struct fleet *f)
{
	return peers_place(&f->peers, "watch the platform");
}

bool fleet_is_watcher(const struct fleet *f)
{
	return fleet_watch_place(f) < WATCHERS;
}

/**
 * A VM that starts while the store is down knows no peer either. The seeds of its settings are
 * asked, so that it serves as soon as one of them answers.
 */
void fleet_ask_seed(struct fleet *f)
{
	const struct settings *set = f->service.kernel->settings;

	if (f->conf->version == 0 && set->seeds > 0)
		fleet_conf_behind(f, set->seed[random_bits() % set->seeds]);
}

/* The list of VMs */

static const char *text_of(JsonObject *o, const char *name)
{
	return json_object_get_string_member_with_default(o, name, "");
}

static uint64_t hex_of(JsonObject *o, const char *name)
{
	return strtoull(json_object_get_string_member_with_default(o, name, "0"), NULL, 16);
}

static void part_parse(JsonObject *o, GArray *parts)
{
	struct fleet_part p = {.incarnation = hex_of(o, "incarnation"),
			       .lease = hex_of(o, "lease")};

	p.index = (unsigned)json_object_get_int_member_with_default(o, "part", 0);
	g_strlcpy(p.data_center, text_of(o, "data_center"), sizeof(p.data_center));
	g_strlcpy(p.vm, text_of(o, "name"), sizeof(p.vm));
	g_strlcpy(p.address, text_of(o, "address"), sizeof(p.address));
	g_array_append_val(parts, p);
}

static bool vms_parse(const char *text, GArray *listings, GArray *parts, JsonParser *parser)
{
	JsonArray *list;
	guint i;

	if (!json_parser_load_from_data(parser, text, -1, NULL) ||
	    !JSON_NODE_HOLDS_ARRAY(json_parser_get_root(parser)))
		return false;
	list = json_node_get_array(json_parser_get_root(parser));
	for (i = 0; i < json_array_get_length(list); i++) {
		JsonNode *node = json_array_get_element(list, i);
		struct vm_listing l;
		JsonObject *o;

		if (!JSON_NODE_HOLDS_OBJECT(node))
			return false;
		o = json_node_get_object(node);
		if (json_object_has_member(o, "part")) {
			part_parse(o, parts);
			continue;
		}
		l.name = text_of(o, "name");
		l.address = text_of(o, "address");
		l.data_center = text_of(o, "data_center");
		l.leaving = strcmp(text_of(o, "state"), "leaving") == 0;
		l.incarnation = hex_of(o, "incarnation");
		if (l.name[0] != '\0')
			g_array_append_val(listings, l);
	}
	return true;
}

void fleet_take_vms(struct fleet *f, uint64_t revision, const char *text)
{
	GArray *listings = g_array_new(FALSE, TRUE, sizeof(struct vm_listing));
	GArray *parts = g_array_new(FALSE, TRUE, sizeof(struct fleet_part));
	JsonParser *parser = json_parser_new();

	if (!vms_parse(text, listings, parts, parser)) {
		log_warn("vms-malformed", LOG_NUM("revision", revision));
	} else if (peers_list(&f->peers, revision,
			      (const struct vm_listing *)(void *)listings->data, listings->len)) {
		g_free(f->vms_text);
		f->vms_text = g_strdup(text);
		g_array_unref(f->parts);
		f->parts = g_array_ref(parts);
		log_info("vms", LOG_NUM("revision", revision), LOG_NUM("count", listings->len),
			 LOG_NUM("parts", parts->len));
		fleet_members_changed(f);
		fleet_beat(f);
	}
	g_array_unref(listings);
	g_array_unref(parts);
	g_object_unref(parser);
}

/* Configuration */

void fleet_take_conf(struct fleet *f, const struct conf_update *u, const char *from)
{
	enum conf_verdict v = conf_apply(f->conf, u);

	if (v == CONF_GAP)
		f->source->behind(f);
	if (v != CONF_APPLIED)
		return;
	stat_add(STAT_CONF_APPLIED, 1);
	log_info("conf", LOG_NUM("version", u->version), LOG_NUM("entries", u->entries->len),
		 LOG_STR("from", from));
	fleet_notify(f);
	fleet_beat(f);
}

/* Between peers */

static void peer_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_conf_res *res = arg_res;
	struct fleet *f = arg;
	struct conf_update u = {0};
	u_int i;

	f->fetching = false;
	if (status != RPC_DONE)
		return;
	if (res->vms[0] != '\0')
		fleet_take_vms(f, res->vms_revision, res->vms);
	u.base = res->base;
	u.version = res->conf_version;
	u.full = res->full;
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < res->entries.entries_len; i++) {
		const ml_entry *wire = &res->entries.entries_val[i];
		struct conf_entry *e = table_entry_parse(wire->id, wire->conf_version,
							 wire->removed ? NULL : wire->text, NULL);

		if (e != NULL)
			g_ptr_array_add(u.entries, e);
	}
	if (u.version > 0)
		fleet_take_conf(f, &u, "peer");
	conf_update_clear(&u);
}

void fleet_conf_behind(struct fleet *f, const char *address)
{
	ml_conf_args args = {.conf_version = f->conf->version, .vms_revision = f->peers.revision};

	if (f->fetching)
		return;
	f->fetching = true;
	rpc_start(rpc_of(f->service.kernel), address, ML_CONF, &args, FETCH_TIMEOUT_US,
		  peer_answered, f);
}

void fleet_conf_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_conf_args *a = args;
	struct fleet *f = owner;
	ml_conf_res res = {.vms = ""};
	struct conf_update u = {0};
	guint i;

	conf_since(f->conf, a->conf_version, &u);
	res.base = u.base;
	res.conf_version = u.version;
	res.full = u.full;
	res.entries.entries_len = u.entries->len;
	res.entries.entries_val = g_new0(ml_entry, u.entries->len + 1);
	for (i = 0; i < u.entries->len; i++) {
		struct conf_entry *e = g_ptr_array_index(u.entries, i);

		res.entries.entries_val[i].id = e->id;
		res.entries.entries_val[i].conf_version = e->version;
		res.entries.entries_val[i].removed = e->removed;
		res.entries.entries_val[i].text = e->text != NULL ? e->text : "";
	}
	res.vms_revision = f->peers.revision;
	if (f->vms_text != NULL && f->peers.revision > a->vms_revision)
		res.vms = f->vms_text;
	rpc_reply(rq, &res);
	g_free(res.entries.entries_val);
	conf_update_clear(&u);
}
