/** @file home.c Members whose home is this VM, and the RPC procedures. */
#include "home.h"

#include "fleet.h"
#include "log.h"
#include "stat.h"

#include <string.h>

#define TICK_US (50 * USEC_PER_MSEC)
/** A member that is neither placed here nor used is released after this time. */
#define RELEASE_AFTER_US (10 * USEC_PER_SEC)
/** A draining home ends once no statement has arrived for this long. */
#define DRAIN_QUIET_US (200 * USEC_PER_MSEC)

struct home *home_of(struct kernel *k)
{
	return (struct home *)kernel_find(k, "home");
}

const char *home_primary(const struct home_member *m, uint64_t *term)
{
	int primary = group_primary(&m->view);

	*term = 0;
	if (primary < 0)
		return "";
	*term = m->view.member[primary].report.seen_term;
	return m->view.member[primary].name;
}

bool home_accepts_writes(const struct home_member *m)
{
	return group_primary(&m->view) == m->self && m->view.member[m->self].state == MEMBER_UP;
}

static void dispatch_cb(evutil_socket_t fd, short what, void *arg)
{
	home_dispatch(arg);
}

static void member_configure(struct home_member *m, const struct conf_pool *pool, unsigned i)
{
	const char *names[GROUP_MEMBERS_MAX];
	bool moved = strcmp(m->conf.address, pool->member[i].address) != 0;
	unsigned j;

	m->conf = pool->member[i];
	m->confirm = pool->confirm;
	m->configured = true;
	dueq_set_base_slots(&m->queue, m->conf.slots);
	for (j = 0; j < pool->n; j++)
		names[j] = pool->member[j].name;
	group_set_members(&m->view, names, pool->n);
	m->view.sync = pool->confirm == CONFIRM_PRIMARY ? pool->sync : 0;
	m->self = group_find(&m->view, m->conf.name);
	if (moved)
		home_conn_trim(m, INT64_MAX);
}

static struct home_member *member_create(struct home *h, const struct conf_pool *pool, unsigned i)
{
	struct home_member *m = g_new0(struct home_member, 1);

	m->home = h;
	g_strlcpy(m->pool, pool->name, sizeof(m->pool));
	dueq_init(&m->queue, h->service.kernel->settings->queue_max, pool->member[i].slots);
	TAILQ_INIT(&m->conns);
	TAILQ_INIT(&m->txs);
	TAILQ_INIT(&m->waiting_begin);
	TAILQ_INIT(&m->unconfirmed);
	m->dispatch = event_new(h->service.kernel->base, -1, 0, dispatch_cb, m);
	group_init(&m->view, pool->name);
	member_configure(m, pool, i);
	m->used_us = now_us();
	TAILQ_INSERT_TAIL(&h->members, m, link);
	g_hash_table_insert(h->by_name, g_strdup_printf("%s %s", m->pool, m->conf.name), m);
	home_watch_start(m);
	log_info("placement", LOG_STR("choice", "home"), LOG_STR("pool", m->pool),
		 LOG_STR("member", m->conf.name));
	return m;
}

static void member_free(struct home_member *m)
{
	struct home *h = m->home;
	char *key = g_strdup_printf("%s %s", m->pool, m->conf.name);
	struct home_tx *tx;
	struct home_conn *c;

	log_info("placement", LOG_STR("choice", "released"), LOG_STR("pool", m->pool),
		 LOG_STR("member", m->conf.name));
	home_refuse_waiting(m, OUTCOME_LEAVING);
	while ((tx = TAILQ_FIRST(&m->txs)) != NULL)
		home_tx_end(m, tx);
	home_watch_stop(m);
	while ((c = TAILQ_FIRST(&m->conns)) != NULL)
		home_conn_close(c);
	event_free(m->dispatch);
	dueq_clear(&m->queue);
	TAILQ_REMOVE(&h->members, m, link);
	g_hash_table_remove(h->by_name, key);
	g_free(key);
	g_free(m);
}

static struct home_member *member_find(struct home *h, const char *pool, const char *member)
{
	char key[2 * NAME_SIZE];

	g_snprintf(key, sizeof(key), "%s %s", pool, member);
	return g_hash_table_lookup(h->by_name, key);
}

struct home_member *home_member_get(struct home *h, const char *pool, const char *member)
{
	struct home_member *m = member_find(h, pool, member);
	const struct conf_pool *p;
	int i;

	if (m == NULL) {
		p = conf_pool(fleet_of(h->service.kernel)->conf, pool);
		i = conf_pool_find(p, member);
		if (i < 0)
			return NULL;
		m = member_create(h, p, (unsigned)i);
	}
	m->used_us = now_us();
	return m;
}

/**
 * Returns whether a member in @a data_center may have its home here. It may not if the data centre
 * is another one that has usable VMs. Such members are not ranked: with thousands of databases,
 * ranking all of them would block the event loop for 250 ms at each change.
 * @param has_vm caches whether a data centre has usable VMs, by its name
 */
static bool may_be_home(struct home *h, GHashTable *has_vm, const char *data_center)
{
	struct fleet *f = fleet_of(h->service.kernel);
	gpointer known;

	if (strcmp(data_center, h->service.kernel->settings->data_center) == 0)
		return true;
	if (!g_hash_table_lookup_extended(has_vm, data_center, NULL, &known)) {
		known = GINT_TO_POINTER(fleet_has_usable_vm(f, data_center));
		g_hash_table_insert(has_vm, (gpointer)data_center, known);
	}
	return !GPOINTER_TO_INT(known);
}

void home_update_placement(struct home *h)
{
	GHashTable *has_vm = g_hash_table_new(g_str_hash, g_str_equal);
	struct fleet *f = fleet_of(h->service.kernel);
	struct home_member *m;
	GHashTableIter iter;
	gpointer value;

	TAILQ_FOREACH(m, &h->members, link) {
		const struct conf_pool *pool = conf_pool(f->conf, m->pool);
		int i = conf_pool_find(pool, m->conf.name);

		m->placed = false;
		if (i >= 0)
			member_configure(m, pool, (unsigned)i);
		else
			m->configured = false;
	}
	g_hash_table_iter_init(&iter, f->conf->entries);
	while (!h->draining && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct conf_entry *e = value;
		unsigned i;

		for (i = 0; e->kind == CONF_POOL && i < e->pool.n; i++) {
			if (!may_be_home(h, has_vm, e->pool.member[i].data_center) ||
			    !fleet_home_is_self(f, e->pool.name, &e->pool.member[i]))
				continue;
			m = home_member_get(h, e->pool.name, e->pool.member[i].name);
			m->placed = true;
		}
	}
	g_hash_table_destroy(has_vm);
}

static bool member_unused(const struct home_member *m, int64_t now)
{
	return m->jobs == 0 && TAILQ_EMPTY(&m->txs) && m->n_opening == 0 &&
	       now - m->used_us > RELEASE_AFTER_US;
}

static void home_tick(evutil_socket_t fd, short what, void *arg)
{
	struct home *h = arg;
	int64_t hold_us = (int64_t)h->service.kernel->settings->hold_connection_ms * USEC_PER_MSEC;
	struct home_member *m, *next;
	int64_t now = now_us();

	TAILQ_FOREACH_SAFE(m, &h->members, link, next) {
		home_expire_waiting(m, now);
		home_confirm_expire(m, now);
		home_tx_expire(m, now);
		/* Close idle connections at once if the member has another home now. */
		home_conn_trim(m, m->placed && m->configured && !conf_member_leaves(&m->conf)
					  ? now - hold_us
					  : now);
		home_dispatch(m);
		if (!m->placed && member_unused(m, now))
			member_free(m);
	}
}

/** Ends the transactions of callers whose entry's RPC connection has closed. */
static void entry_closed(uint64_t conn, void *owner)
{
	struct home *h = owner;
	struct home_member *m;
	struct home_tx *tx, *next;

	TAILQ_FOREACH(m, &h->members, link) {
		TAILQ_FOREACH_SAFE(tx, &m->txs, link, next) {
			if (tx->rpc_conn != conn)
				continue;
			tx->orphan = true;
			if (tx->conn->job == NULL)
				home_tx_end(m, tx);
		}
	}
}

static void placement_changed(void *owner)
{
	home_update_placement(owner);
}

static gboolean home_start(struct service *s, GError **error)
{
	struct home *h = (struct home *)s;
	struct rpc *rpc = rpc_of(s->kernel);

	rpc_serve(rpc, ML_EXEC, home_exec, h);
	rpc_serve(rpc, ML_MEMBER, home_member_serve, h);
	rpc_serve(rpc, ML_ORDER, home_order_serve, h);
	rpc_serve(rpc, ML_COMMIT_STATUS, home_commit_status_serve, h);
	rpc_on_closed(rpc, entry_closed, h);
	fleet_listen(fleet_of(s->kernel), placement_changed, h);
	h->tick = kernel_every(s->kernel, TICK_US, home_tick, h);
	return TRUE;
}

static void home_drain(struct service *s)
{
	struct home *h = (struct home *)s;

	h->draining = true;
}

static bool home_drained(struct service *s)
{
	struct home *h = (struct home *)s;
	struct home_member *m;

	TAILQ_FOREACH(m, &h->members, link) {
		if (!TAILQ_EMPTY(&m->txs))
			return false;
	}
	/*
	 * The outcome of a statement that is in transit to this process when it ends would be
	 * unknown. So the process keeps refusing statements with "leaving" until all other VMs
	 * know that it leaves and no statement arrives any more.
	 */
	return h->jobs == 0 && now_us() - h->last_exec_us > DRAIN_QUIET_US;
}

static void home_stop(struct service *s)
{
	struct home *h = (struct home *)s;
	struct home_member *m;

	if (h->tick != NULL)
		event_free(h->tick);
	while ((m = TAILQ_FIRST(&h->members)) != NULL)
		member_free(m);
	g_hash_table_destroy(h->by_name);
	g_free(h);
}

static const struct service_ops home_ops = {
	.name = "home",
	.start = home_start,
	.drain = home_drain,
	.drained = home_drained,
	.stop = home_stop,
};

struct service *home_service_create(struct kernel *k)
{
	struct home *h = g_new0(struct home, 1);

	h->service.ops = &home_ops;
	h->next_tx = random_bits() >> 16;
	TAILQ_INIT(&h->members);
	h->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	kernel_add(k, &h->service);
	return &h->service;
}

static void put_int(JsonBuilder *b, const char *name, int64_t value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, value);
}

static void put_string(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

void home_json(struct home *h, JsonBuilder *b)
{
	static const char *const states[] = {"unknown", "up", "down", "cut"};
	struct home_member *m;

	json_builder_set_member_name(b, "members");
	json_builder_begin_array(b);
	TAILQ_FOREACH(m, &h->members, link) {
		const struct member_view *v = &m->view.member[m->self];
		uint64_t term;

		json_builder_begin_object(b);
		put_string(b, "pool", m->pool);
		put_string(b, "member", m->conf.name);
		put_string(b, "state", states[v->state]);
		put_string(b, "primary", home_primary(m, &term));
		put_int(b, "term", (int64_t)term);
		put_int(b, "lsn", (int64_t)v->report.received.lsn);
		put_int(b, "placed", m->placed);
		put_int(b, "queued", dueq_length(&m->queue));
		put_int(b, "running", m->running);
		put_int(b, "connections", m->n_conns);
		put_int(b, "transactions", m->n_pinned);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}
