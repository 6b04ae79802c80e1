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
/** Text of one page. */
#define PAGE_BYTES 131072
/** What is sent at once also to those that would have to wait for pages. */
#define SMALL_BYTES 4096
/** Pause before another VM is asked, after one that sends to others. */
#define BUSY_PAUSE_US (100 * USEC_PER_MSEC)

unsigned fleet_watch_place(struct fleet *f)
{
	if (f->watch_place < 0)
		f->watch_place = (int)peers_place(&f->peers, "watch the platform");
	return (unsigned)f->watch_place;
}

bool fleet_is_watcher(struct fleet *f)
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

void fleet_take_conf(struct fleet *f, const struct conf_update *u, const char *from)
{
	enum conf_verdict v = conf_apply(f->conf, u);

	if (v == CONF_GAP)
		f->source->behind(f);
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
	fleet_beat(f);
}

/* Between peers */

/** A call to a peer that has a newer configuration, or a newer list of VMs. */
struct fetch_call {
	struct fleet *f;
	char address[ADDRESS_SIZE];
};

static void fetch_send(struct fleet *f, const char *address);

/** Some VM that has a newer configuration, near ones first; NULL when none is known. */
static const struct vm *any_source(const struct fleet *f)
{
	const struct vm *vm, *near = NULL, *far = NULL;
	unsigned n_near = 0, n_far = 0;

	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		if (vm == f->peers.self || vm->conf_version <= f->conf->version ||
		    !peers_usable(vm))
			continue;
		/* Each of them is as likely. */
		if (strcmp(vm->data_center, f->peers.self->data_center) == 0) {
			if (random_bits() % ++n_near == 0)
				near = vm;
		} else if (random_bits() % ++n_far == 0) {
			far = vm;
		}
	}
	return near != NULL ? near : far;
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

		if (e != NULL)
			g_ptr_array_add(p->u.entries, e);
	}
}

/** Take in a page. @return whether the same peer is to be asked for the next one */
static bool page_take(struct fleet *f, const struct page *p)
{
	struct conf_update u = {0};

	/* Nothing newer than what came meanwhile from another VM, or from the store. */
	if (p->u.version <= f->conf->version)
		return false;
	switch (page_fetch_take(&f->fetch, p)) {
	case PAGE_NEXT:
		return true;
	case PAGE_OLD:
		return false;
	case PAGE_WHOLE:
		break;
	}
	page_fetch_end(&f->fetch, &u);
	fleet_take_conf(f, &u, "peer");
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
		fleet_list_hear(f, res);
	if (status == RPC_DONE && !res->busy && f->fetch.open && res->base == f->fetch.base) {
		struct page p = {0};

		page_read(res, &p);
		next = page_take(f, &p);
		conf_update_clear(&p.u);
	}
	if (next)
		fetch_send(f, call->address);
	else if (status == RPC_DONE && res->busy)
		kernel_arm(f->fetch_again, BUSY_PAUSE_US);
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

void fleet_fetch_again(evutil_socket_t fd, short what, void *arg)
{
	struct fleet *f = arg;
	const struct vm *vm = any_source(f);

	if (vm != NULL && !f->fetching)
		fetch_send(f, vm->address);
}

void fleet_conf_behind(struct fleet *f, const char *address)
{
	if (!f->fetching)
		fetch_send(f, address);
}

/** Fill in a page for a peer, unless too many others are being sent theirs. */
static void page_put(struct fleet *f, const ml_conf_args *a, uint64_t conn, struct page *p,
		     ml_conf_res *res)
{
	bool admitted = page_peer_admit(&f->page_peers, conn, now_us());
	guint i;

	page_cut(f->conf, a->conf_version, a->after, admitted ? PAGE_BYTES : SMALL_BYTES, p);
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
	fleet_list_tell(f, a->vms_revision, &res);
	rpc_reply(rq, &res);
	g_free(res.vms.vms_val);
	g_free(res.entries.entries_val);
	conf_update_clear(&p.u);
}
