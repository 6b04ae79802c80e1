/** @file fleet-etcd.c Reads and watches the configuration and the list of VMs in etcd. */
#include "fleet.h"

#include "json-text.h"
#include "log.h"
#include "platform.h"
#include "stat.h"
#include "table.h"

#include <stdlib.h>
#include <string.h>

/** Interval at which the source checks its watches, and whether this VM should watch at all. */
#define CHECK_INTERVAL_US (500 * USEC_PER_MSEC)
/** Interval at which a watching VM compares its versions with etcd's. */
#define WATCHER_COMPARE_INTERVAL_US (2 * USEC_PER_SEC)
/**
 * Interval at which a VM without watches compares its versions with etcd's, in case heartbeats
 * missed a change. Each comparison transfers a few hundred bytes.
 */
#define OTHER_COMPARE_INTERVAL_US (30 * USEC_PER_SEC)

struct etcd_source {
	struct fleet *f;
	struct platform *platform;
	struct event *check;
	struct platform_watch *conf_watch;
	struct platform_watch *vms_watch;
	bool reading;	    /**< a full read is in progress */
	int64_t checked_us; /**< when the versions were last compared with etcd's */
	int64_t read_us;    /**< when the last full read was started; 0: one is due */
	bool ever_read;	    /**< a full read has succeeded */
};

static struct etcd_source *source;

/** Parses the version in the value of the key PLATFORM_HEAD; 0 if it has none. */
static uint64_t head_version(const char *value)
{
	JsonParser *parser = json_parser_new();
	JsonObject *o = json_text_object(parser, value);
	uint64_t version = 0;

	if (o != NULL)
		version = (uint64_t)json_object_get_int_member_with_default(o, "version", 0);
	g_object_unref(parser);
	return version;
}

/**
 * Parses an entry, whose value is its version, a space and its text. A deleted entry gets @a
 * version.
 */
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
		stat_add(STAT_ENTRIES_MALFORMED, 1);
		log_entry(G_LOG_LEVEL_WARNING, "entry-malformed", LOG_STR("id", id),
			  LOG_STR("why", error->message));
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
		fleet_apply_conf(f, &u, "platform");
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
			fleet_apply_vms(arg, (uint64_t)kv->mod_revision, kv->value);
	}
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
	f->conf_confirmed_us = now_us();
	update_from_kvs(a, &u);
	u.full = true;
	if (u.version > 0)
		fleet_apply_conf(f, &u, "platform");
	conf_update_clear(&u);
	if (source->conf_watch == NULL && fleet_is_watcher(f))
		source->conf_watch =
			platform_watch(source->platform, PLATFORM_CONF, PLATFORM_CONF_END,
				       a->revision + 1, conf_changed, f);
}

static void vms_read(const struct platform_answer *a, void *arg)
{
	struct fleet *f = arg;

	if (!a->ok)
		return;
	if (a->kvs->len > 0) {
		const struct platform_kv *kv = g_ptr_array_index(a->kvs, 0);

		fleet_apply_vms(f, (uint64_t)kv->mod_revision, kv->value);
	}
	if (source->vms_watch == NULL && fleet_is_watcher(f))
		source->vms_watch = platform_watch(source->platform, PLATFORM_VMS, NULL,
						   a->revision + 1, vms_changed, f);
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

/** Restarts the watches from a full read, since they missed a change. */
static void watches_restart(const char *what)
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
			watches_restart("conf");
			return;
		}
	}
	f->conf_confirmed_us = now_us();
}

static void vms_checked(const struct platform_answer *a, void *arg)
{
	struct fleet *f = arg;
	const struct platform_kv *kv;

	if (!a->ok || a->kvs->len == 0)
		return;
	kv = g_ptr_array_index(a->kvs, 0);
	if ((uint64_t)kv->mod_revision > f->peers.revision)
		watches_restart("vms");
}

/**
 * Compares the versions in force with etcd's on a new connection. A watch is one long HTTP answer:
 * if a device on the path drops the connection's state, the watch stops without an error, and a
 * withdrawn API key would keep working on this VM.
 */
static void source_compare_versions(struct fleet *f, int64_t now, int64_t period_us)
{
	if (now - source->checked_us < period_us)
		return;
	source->checked_us = now;
	platform_range(source->platform, PLATFORM_HEAD, NULL, head_checked, f);
	platform_revision(source->platform, PLATFORM_VMS, vms_checked, f);
}

/** Starts a full read if one is due; on a watcher, the watches then continue from its revision. */
static void source_check(evutil_socket_t fd, short what, void *arg)
{
	struct fleet *f = arg;
	bool watch = fleet_is_watcher(f);
	bool watching = source->conf_watch != NULL && source->vms_watch != NULL;
	int64_t now = now_us();

	if (!watch)
		watches_stop();
	if (source->ever_read && (watching || !watch))
		source_compare_versions(
			f, now, watch ? WATCHER_COMPARE_INTERVAL_US : OTHER_COMPARE_INTERVAL_US);
	if (source->reading || (source->read_us != 0 && source->ever_read && (watching || !watch)))
		return;
	fleet_fetch_from_seed(f);
	source->reading = true;
	source->read_us = now;
	platform_range(source->platform, PLATFORM_VMS, NULL, vms_read, f);
	platform_range(source->platform, PLATFORM_CONF, PLATFORM_CONF_END, conf_read, f);
}

static void etcd_resync(struct fleet *f)
{
	source->read_us = 0;
}

static void etcd_start(struct fleet *f)
{
	struct kernel *k = f->service.kernel;
	const struct settings *set = k->settings;

	source = g_new0(struct etcd_source, 1);
	source->f = f;
	source->platform =
		platform_create(k->base, set->platform, set->platforms, set->platform_timeout_ms);
	source->check = kernel_every(k, CHECK_INTERVAL_US, source_check, f);
	source_check(-1, 0, f);
}

static void etcd_stop(struct fleet *f)
{
	if (source == NULL)
		return;
	event_free(source->check);
	watches_stop();
	platform_free(source->platform);
	g_free(source);
	source = NULL;
}

const struct fleet_source_ops fleet_etcd_ops = {
	.start = etcd_start,
	.stop = etcd_stop,
	.resync = etcd_resync,
};
