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
	fleet_list_hear(f, res);
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
	ml_conf_res res = {0};
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
	fleet_list_tell(f, a->vms_revision, &res);
	rpc_reply(rq, &res);
	g_free(res.vms.vms_val);
	g_free(res.entries.entries_val);
	conf_update_clear(&u);
}
