/**
 * @file fleet-conf.c
 * The configuration in force on this VM. A few VMs of each data centre watch the platform's store;
 * the others learn of a new version by a heartbeat and fetch the difference from its sender. A VM
 * that starts requests the configuration from both the store and a peer.
 */
#include "fleet.h"

#include "log.h"
#include "stat.h"
#include "table.h"

#include <string.h>

/** Number of VMs per data centre that watch the store. */
#define WATCHERS 2
#define FETCH_TIMEOUT_US (2 * USEC_PER_SEC)
/**
 * Approximate size of a page sent to an admitted peer: one of the few peers that may fetch pages at
 * the same time, see page_peer_admit().
 */
#define PAGE_BYTES 131072
/** A difference up to this size is also sent to a peer that is not admitted. */
#define UNADMITTED_BYTES 4096
/** Delay before another VM is asked, after one refused a fetch because it serves other peers. */
#define BUSY_RETRY_US (100 * USEC_PER_MSEC)

unsigned fleet_watch_rank(struct fleet *f)
{
	if (f->watch_rank < 0)
		f->watch_rank = (int)peers_own_rank(&f->peers, "watch the platform");
	return (unsigned)f->watch_rank;
}

bool fleet_is_watcher(struct fleet *f)
{
	return fleet_watch_rank(f) < WATCHERS;
}

/**
 * A VM that starts while the store is down has no list of peers either. It asks the seeds of its
 * settings, so that it can serve as soon as one of them answers.
 */
void fleet_fetch_from_seed(struct fleet *f)
{
	const struct settings *set = f->service.kernel->settings;

	if (f->conf->version == 0 && set->seeds > 0)
		fleet_fetch_from(f, set->seed[random_bits() % set->seeds]);
}

/* Configuration */

static void log_evacuations(const struct conf_update *u)
{
	guint i;

	for (i = 0; i < u->entries->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(u->entries, i);

		if (e->kind == CONF_EVACUATION)
			log_info("evacuation", LOG_STR("entry", e->id),
				 LOG_NUM("in_force", !e->removed),
				 LOG_REVISION("version", e->version));
	}
}

void fleet_apply_conf(struct fleet *f, const struct conf_update *u, const char *from)
{
	enum conf_verdict v = conf_apply(f->conf, u);

	if (v == CONF_GAP)
		f->source->resync(f);
	if (v == CONF_OLD_DOCUMENT)
		log_warn("conf-older-document", LOG_REVISION("version", u->version),
			 LOG_NUM("document", conf_document_version(f->conf)),
			 LOG_STR("from", from));
	if (v != CONF_APPLIED)
		return;
	stat_add(STAT_CONF_APPLIED, 1);
	log_evacuations(u);
	log_info("conf", LOG_REVISION("version", u->version), LOG_NUM("entries", u->entries->len),
		 LOG_STR("from", from));
	fleet_notify(f);
	fleet_send_heartbeats(f);
}

/* Exchange with peers */

/** A call that fetches a newer configuration or list of VMs from a peer. */
struct fetch_call {
	struct fleet *f;
	char address[ADDRESS_SIZE];
};

static void fetch_send(struct fleet *f, const char *address);

/** Picks a random VM with a newer configuration, preferably in this data centre; NULL for none. */
static const struct vm *pick_source(const struct fleet *f)
{
	const struct vm *vm, *local = NULL, *remote = NULL;
	unsigned n_local = 0, n_remote = 0;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm == f->peers.self || vm->conf_version <= f->conf->version ||
		    !peers_usable(vm))
			continue;
		/* Reservoir sampling: each candidate is equally likely. */
		if (strcmp(vm->data_center, f->peers.self->data_center) == 0) {
			if (random_bits() % ++n_local == 0)
				local = vm;
		} else if (random_bits() % ++n_remote == 0) {
			remote = vm;
		}
	}
	return local != NULL ? local : remote;
}

static void page_read(const ml_conf_res *res, struct page *p)
{
	u_int i;

	p->more = res->more;
	p->u.base = res->base;
	p->u.version = res->conf_version;
	p->u.full = res->full;
	p->u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < res->entries.entries_len; i++) {
		const ml_entry *wire = &res->entries.entries_val[i];
		struct conf_entry *e = table_entry_parse(wire->id, wire->conf_version,
							 wire->removed ? NULL : wire->text, NULL);

		if (e != NULL) {
			g_ptr_array_add(p->u.entries, e);
			continue;
		}
		stat_add(STAT_ENTRIES_MALFORMED, 1);
		log_entry(G_LOG_LEVEL_WARNING, "entry-malformed", LOG_STR("entry", wire->id),
			  LOG_REVISION("version", wire->conf_version), LOG_STR("from", "peer"));
	}
}

/** Processes a received page. @return whether to fetch the next page from the same peer */
static bool page_process(struct fleet *f, const struct page *p)
{
	struct conf_update u = {0};

	/* Meanwhile another VM or the store has delivered this or a newer version. */
	if (p->u.version <= f->conf->version)
		return false;
	switch (page_fetch_add(&f->fetch, p)) {
	case PAGE_NEXT:
		return true;
	case PAGE_STALE:
		return false;
	case PAGE_COMPLETE:
		break;
	}
	page_fetch_end(&f->fetch, &u);
	fleet_apply_conf(f, &u, "peer");
	conf_update_clear(&u);
	return false;
}

static void peer_answered(enum rpc_status status, const void *arg_res, void *arg)
{
	const ml_conf_res *res = arg_res;
	struct fetch_call *call = arg;
	struct fleet *f = call->f;
	bool next = false;

	f->fetching = false;
	if (status == RPC_DONE)
		fleet_list_apply_changes(f, res);
	if (status == RPC_DONE && !res->busy && f->fetch.open && res->base == f->fetch.base) {
		struct page p = {0};

		page_read(res, &p);
		next = page_process(f, &p);
		conf_update_clear(&p.u);
	}
	if (next)
		fetch_send(f, call->address);
	else if (status == RPC_DONE && res->busy)
		kernel_arm(f->fetch_retry, BUSY_RETRY_US);
	g_free(call);
}

static void fetch_send(struct fleet *f, const char *address)
{
	struct fetch_call *call = g_new0(struct fetch_call, 1);
	ml_conf_args args = {.vms_revision = f->peers.revision};

	page_fetch_begin(&f->fetch, f->conf->version);
	args.conf_version = f->fetch.base;
	args.after = f->fetch.after;
	call->f = f;
	g_strlcpy(call->address, address, sizeof(call->address));
	f->fetching = true;
	rpc_start(rpc_of(f->service.kernel), address, ML_CONF, &args, FETCH_TIMEOUT_US,
		  peer_answered, call);
}

void fleet_on_fetch_retry(evutil_socket_t fd, short what, void *arg)
{
	struct fleet *f = arg;
	const struct vm *vm = pick_source(f);

	if (vm != NULL && !f->fetching)
		fetch_send(f, vm->address);
}

void fleet_fetch_from(struct fleet *f, const char *address)
{
	if (!f->fetching)
		fetch_send(f, address);
}

/** Writes a page for a peer to @a res, or sets res->busy if too many peers are fetching pages. */
static void page_put(struct fleet *f, const ml_conf_args *a, uint64_t conn, struct page *p,
		     ml_conf_res *res)
{
	bool admitted = page_peer_admit(&f->page_peers, conn, now_us());
	guint i;

	page_build(f->conf, a->conf_version, a->after, admitted ? PAGE_BYTES : UNADMITTED_BYTES, p);
	res->base = p->u.base;
	res->conf_version = p->u.version;
	res->full = p->u.full;
	res->more = p->more;
	res->busy = p->more && !admitted;
	if (!p->more)
		page_peer_done(&f->page_peers, conn);
	if (res->busy)
		return;
	res->entries.entries_len = p->u.entries->len;
	res->entries.entries_val = g_new0(ml_entry, p->u.entries->len + 1);
	for (i = 0; i < p->u.entries->len; i++) {
		struct conf_entry *e = g_ptr_array_index(p->u.entries, i);

		res->entries.entries_val[i].id = e->id;
		res->entries.entries_val[i].conf_version = e->version;
		res->entries.entries_val[i].removed = e->removed;
		res->entries.entries_val[i].text = e->text != NULL ? e->text : "";
	}
}

void fleet_conf_serve(struct rpc_request *rq, const void *args, void *owner)
{
	const ml_conf_args *a = args;
	struct fleet *f = owner;
	ml_conf_res res = {0};
	struct page p = {0};

	page_put(f, a, rpc_request_conn(rq), &p, &res);
	fleet_list_write_changes(f, a->vms_revision, &res);
	rpc_reply(rq, &res);
	g_free(res.vms.vms_val);
	g_free(res.entries.entries_val);
	conf_update_clear(&p.u);
}
