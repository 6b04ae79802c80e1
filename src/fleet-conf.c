/**
 * @file fleet-conf.c
 * The configuration in force on this VM. A few VMs of each data centre watch the platform; the
 * others hear of a new version with a heartbeat and fetch the difference from the VM that has it. A
 * new VM asks both.
 */
#include "fleet.h"

#include "log.h"
#include "platform.h"
#include "stat.h"
#include "table.h"

#include <stdlib.h>
#include <string.h>

/** VMs of a data centre that watch the platform. */
#define WATCHERS 2
#define FETCH_TIMEOUT_US (2 * USEC_PER_SEC)
/** Look at the watch, and whether this VM should have one. */
#define CHECK_US (500 * USEC_PER_MSEC)
/** A VM that watches compares what it has with the platform this often. */
#define WATCH_CHECK_US (2 * USEC_PER_SEC)
/** The others compare this often, against anything that heartbeats missed; it costs a few hundred
 * bytes. */
#define OTHER_CHECK_US (30 * USEC_PER_SEC)

struct fleet_source {
	struct fleet *f;
	struct platform_watch *conf_watch;
	struct platform_watch *vms_watch;
	bool reading;
	int64_t checked_us; /**< when the watches were last compared with what the platform has */
	int64_t read_us;
	bool ever_read;
};

static struct fleet_source *source;

/* The list of VMs */

static bool vms_parse(const char *text, GArray *listings, JsonParser *parser)
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
		l.name = json_object_get_string_member_with_default(o, "name", "");
		l.address = json_object_get_string_member_with_default(o, "address", "");
		l.data_center = json_object_get_string_member_with_default(o, "data_center", "");
		l.leaving = strcmp(json_object_get_string_member_with_default(o, "state", "live"),
				   "leaving") == 0;
		if (l.name[0] != '\0')
			g_array_append_val(listings, l);
	}
	return true;
}

static void vms_take(struct fleet *f, uint64_t revision, const char *text)
{
	GArray *listings = g_array_new(FALSE, TRUE, sizeof(struct vm_listing));
	JsonParser *parser = json_parser_new();

	if (!vms_parse(text, listings, parser)) {
		log_warn("vms-malformed", LOG_NUM("revision", revision));
	} else if (peers_list(&f->peers, revision,
			      (const struct vm_listing *)(void *)listings->data, listings->len)) {
		g_free(f->vms_text);
		f->vms_text = g_strdup(text);
		log_info("vms", LOG_NUM("revision", revision), LOG_NUM("count", listings->len));
		fleet_members_changed(f);
		fleet_beat(f);
	}
	g_array_unref(listings);
	g_object_unref(parser);
}

/* Configuration */

static void conf_take(struct fleet *f, const struct conf_update *u, const char *from)
{
	enum conf_verdict v = conf_apply(f->conf, u);

	if (v == CONF_GAP)
		source->read_us = 0;
	if (v != CONF_APPLIED)
		return;
	stat_add(STAT_CONF_APPLIED, 1);
	log_info("conf", LOG_NUM("version", u->version), LOG_NUM("entries", u->entries->len),
		 LOG_STR("from", from));
	fleet_notify(f);
	fleet_beat(f);
}

/** The version in the head key's value; 0 when it has none. */
static uint64_t head_version(const char *value)
{
	JsonParser *parser = json_parser_new();
	uint64_t version = 0;

	if (json_parser_load_from_data(parser, value, -1, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		version = (uint64_t)json_object_get_int_member_with_default(
			json_node_get_object(json_parser_get_root(parser)), "version", 0);
	g_object_unref(parser);
	return version;
}

/** An entry's value is its version, a space, and its text. */
static struct conf_entry *entry_from_kv(const struct platform_kv *kv, uint64_t version)
{
	const char *id = kv->key + strlen(PLATFORM_ENTRY);
	GError *error = NULL;
	struct conf_entry *e;
	char *text;

	if (kv->value == NULL)
		return table_entry_parse(id, version, NULL, NULL);
	version = strtoul(kv->value, &text, 10);
	e = table_entry_parse(id, version, *text == ' ' ? text + 1 : text, &error);
	if (e == NULL) {
		log_warn("entry-malformed", LOG_STR("id", id), LOG_STR("why", error->message));
		g_error_free(error);
	}
	return e;
}

static void update_from_kvs(const struct platform_answer *a, struct conf_update *u)
{
	guint i;

	memset(u, 0, sizeof(*u));
	u->entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < a->kvs->len; i++) {
		const struct platform_kv *kv = g_ptr_array_index(a->kvs, i);

		if (strcmp(kv->key, PLATFORM_HEAD) == 0 && kv->value != NULL)
			u->version = head_version(kv->value);
	}
	for (i = 0; i < a->kvs->len; i++) {
		const struct platform_kv *kv = g_ptr_array_index(a->kvs, i);
		struct conf_entry *e = NULL;

		if (g_str_has_prefix(kv->key, PLATFORM_ENTRY))
			e = entry_from_kv(kv, u->version);
		if (e != NULL)
			g_ptr_array_add(u->entries, e);
	}
}

static void conf_changed(const struct platform_answer *a, void *arg)
{
	struct fleet *f = arg;
	struct conf_update u;

	if (a == NULL) {
		source->conf_watch = NULL;
		return;
	}
	update_from_kvs(a, &u);
	u.base = u.version - 1;
	if (u.version > 0)
		conf_take(f, &u, "platform");
	conf_update_clear(&u);
}

static void vms_changed(const struct platform_answer *a, void *arg)
{
	guint i;

	if (a == NULL) {
		source->vms_watch = NULL;
		return;
	}
	for (i = 0; i < a->kvs->len; i++) {
		const struct platform_kv *kv = g_ptr_array_index(a->kvs, i);

		if (kv->value != NULL)
			vms_take(arg, (uint64_t)kv->mod_revision, kv->value);
	}
}

static bool is_watcher(const struct fleet *f)
{
	return peers_place(&f->peers, "watch the platform") < WATCHERS;
}

static void conf_read(const struct platform_answer *a, void *arg)
{
	struct fleet *f = arg;
	struct conf_update u;

	source->reading = false;
	if (!a->ok) {
		source->read_us = 0;
		return;
	}
	source->ever_read = true;
	f->news_us = now_us();
	update_from_kvs(a, &u);
	u.full = true;
	if (u.version > 0)
		conf_take(f, &u, "platform");
	conf_update_clear(&u);
	if (source->conf_watch == NULL && is_watcher(f))
		source->conf_watch = platform_watch(f->platform, PLATFORM_CONF, PLATFORM_CONF_END,
						    a->revision + 1, conf_changed, f);
}

static void vms_read(const struct platform_answer *a, void *arg)
{
	struct fleet *f = arg;

	if (!a->ok)
		return;
	if (a->kvs->len > 0) {
		const struct platform_kv *kv = g_ptr_array_index(a->kvs, 0);

		vms_take(f, (uint64_t)kv->mod_revision, kv->value);
	}
	if (source->vms_watch == NULL && is_watcher(f))
		source->vms_watch = platform_watch(f->platform, PLATFORM_VMS, NULL, a->revision + 1,
						   vms_changed, f);
}

static void watches_stop(void)
{
	if (source->conf_watch != NULL)
		platform_watch_stop(source->conf_watch);
	if (source->vms_watch != NULL)
		platform_watch_stop(source->vms_watch);
	source->conf_watch = NULL;
	source->vms_watch = NULL;
}

/** The watches have missed something: read all, and watch anew. */
static void watches_missed(const char *what)
{
	log_warn("watch-silent", LOG_STR("what", what));
	watches_stop();
	source->read_us = 0;
}

static void head_checked(const struct platform_answer *a, void *arg)
{
	struct fleet *f = arg;
	const struct platform_kv *kv;

	if (!a->ok)
		return;
	if (a->kvs->len > 0) {
		kv = g_ptr_array_index(a->kvs, 0);
		if (head_version(kv->value) > f->conf->version) {
			watches_missed("conf");
			return;
		}
	}
	f->news_us = now_us();
}

static void vms_checked(const struct platform_answer *a, void *arg)
{
	struct fleet *f = arg;
	const struct platform_kv *kv;

	if (!a->ok || a->kvs->len == 0)
		return;
	kv = g_ptr_array_index(a->kvs, 0);
	if ((uint64_t)kv->mod_revision > f->peers.revision)
		watches_missed("vms");
}

/**
 * A watch is one long answer; when something between the two ends loses track of its connection, it
 * falls silent without an error, and a withdrawn key would go on working here. A look at the head,
 * on a new connection, shows what it missed.
 */
static void source_compare(struct fleet *f, int64_t now, int64_t period_us)
{
	if (now - source->checked_us < period_us)
		return;
	source->checked_us = now;
	platform_range(f->platform, PLATFORM_HEAD, NULL, head_checked, f);
	platform_revision(f->platform, PLATFORM_VMS, vms_checked, f);
}

/** Read all, and watch from there if this VM is to watch. */
static void source_check(evutil_socket_t fd, short what, void *arg)
{
	struct fleet *f = arg;
	bool watch = is_watcher(f);
	bool watching = source->conf_watch != NULL && source->vms_watch != NULL;
	int64_t now = now_us();

	if (!watch)
		watches_stop();
	if (source->ever_read && (watching || !watch))
		source_compare(f, now, watch ? WATCH_CHECK_US : OTHER_CHECK_US);
	if (source->reading || (source->read_us != 0 && source->ever_read && (watching || !watch)))
		return;
	/*
	 * A VM that starts while the platform is down knows no peer either. The seeds of its
	 * settings are asked, so that it serves as soon as one of them answers.
	 */
	if (f->conf->version == 0 && f->service.kernel->settings->seeds > 0)
		fleet_conf_behind(
			f, f->service.kernel->settings
				   ->seed[random_bits() % f->service.kernel->settings->seeds]);
	source->reading = true;
	source->read_us = now;
	platform_range(f->platform, PLATFORM_VMS, NULL, vms_read, f);
	platform_range(f->platform, PLATFORM_CONF, PLATFORM_CONF_END, conf_read, f);
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
		vms_take(f, res->vms_revision, res->vms);
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
		conf_take(f, &u, "peer");
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

void fleet_conf_start(struct fleet *f)
{
	struct kernel *k = f->service.kernel;
	const struct settings *set = k->settings;

	source = g_new0(struct fleet_source, 1);
	source->f = f;
	f->platform =
		platform_create(k->base, set->platform, set->platforms, set->platform_timeout_ms);
	f->fetch = kernel_every(k, CHECK_US, source_check, f);
	source_check(-1, 0, f);
}

void fleet_conf_stop(struct fleet *f)
{
	if (f->fetch != NULL)
		event_free(f->fetch);
	if (source != NULL)
		watches_stop();
	if (f->platform != NULL)
		platform_free(f->platform);
	g_free(source);
	source = NULL;
}
