/** @file harness-owner.c Fake members, store and promoter, controlled by a test. */
#include "harness-owner.h"

#include "shares.h"
#include "table.h"

#include <string.h>

struct fake fake;
/** Connections of all worlds, since closed worlds still refer to theirs. */
static GPtrArray *all_conns;

static struct member_conn *fake_open(struct kernel *k, const char *address, const char *pool,
				     const char *team, const char *id, member_opened cb,
				     member_closed closed, void *arg);

static void fake_run(struct member_conn *c, const struct member_command *commands, unsigned n,
		     member_answered cb)
{
	struct fake_conn *f = (struct fake_conn *)c;
	unsigned i;

	if (fake.run != NULL)
		fake.run(f, commands, n);
	for (i = 0; i < n; i++) {
		fake.sent_on[fake.n_sent] = f;
		fake.sent[fake.n_sent++] = commands[i];
	}
	f->answered = cb;
}

static void fake_order(struct member_conn *c, enum member_order order, uint64_t term,
		       member_order_done cb)
{
	((struct fake_conn *)c)->order_done = cb;
}

static void fake_close(struct member_conn *c)
{
	((struct fake_conn *)c)->closed = true;
}

static const struct member_ops fake_member_ops = {
	.open = fake_open,
	.run = fake_run,
	.order = fake_order,
	.close = fake_close,
};

static struct member_conn *fake_open(struct kernel *k, const char *address, const char *pool,
				     const char *team, const char *id, member_opened cb,
				     member_closed closed, void *arg)
{
	struct fake_conn *f = g_new0(struct fake_conn, 1);

	f->conn.ops = &fake_member_ops;
	g_strlcpy(f->id, id, sizeof(f->id));
	f->opened = cb;
	f->ended = closed;
	f->arg = arg;
	if (all_conns == NULL)
		all_conns = g_ptr_array_new();
	g_ptr_array_add(all_conns, f);
	g_assert(fake.n_conns < FAKE_CONNS_MAX);
	fake.conns[fake.n_conns++] = f;
	return &f->conn;
}

/* The store answers at once unless the test holds answers back */

/** An answer of the store that is held back. */
struct held {
	enum store_status status;
	uint64_t lease;
	char *key, *value;
	store_done cb;
	void *arg;
};

static GQueue held = G_QUEUE_INIT;

static void held_answer(struct held *h)
{
	struct store_answer a = {.status = h->status, .lease = h->lease, .era = fake.store_era};
	struct store_item item = {.key = h->key, .value = h->value};

	item.revision = era_revision(a.era, 1);
	a.ttl_us = 12 * USEC_PER_SEC;
	a.revision = era_revision(a.era, ++fake.store_revision);
	a.items = g_ptr_array_new();
	if (h->value != NULL)
		g_ptr_array_add(a.items, &item);
	h->cb(&a, h->arg);
	g_ptr_array_unref(a.items);
	g_free(h->key);
	g_free(h->value);
	g_free(h);
}

void fake_store_deliver(void)
{
	unsigned n = g_queue_get_length(&held);

	while (n-- > 0)
		held_answer(g_queue_pop_head(&held));
}

static struct store_call *store_answer(enum store_status status, uint64_t lease, const char *key,
				       store_done cb, void *arg)
{
	struct held *h = g_new0(struct held, 1);

	h->status = status;
	h->lease = lease;
	h->key = g_strdup(key);
	h->value = key != NULL && fake.value != NULL ? fake.value(key) : NULL;
	h->cb = cb;
	h->arg = arg;
	if (fake.holds != NULL && fake.holds())
		g_queue_push_tail(&held, h);
	else
		held_answer(h);
	return NULL;
}

static struct store_call *fake_get(struct store *s, const char *key, store_done cb, void *arg)
{
	fake.n_gets++;
	return store_answer(STORE_DONE, 0, key, cb, arg);
}

static struct store_call *fake_list(struct store *s, const char *prefix, const char *after,
				    bool stale, store_done cb, void *arg)
{
	return store_answer(STORE_DONE, 0, NULL, cb, arg);
}

static struct store_call *fake_watch(struct store *s, const char *prefix, uint64_t revision,
				     int64_t wait_us, store_done cb, void *arg)
{
	return (struct store_call *)s;
}

static struct store_call *fake_commit(struct store *s, const struct store_guard *guards,
				      unsigned n_guards, const struct store_write *writes,
				      unsigned n_writes, store_done cb, void *arg)
{
	fake.n_commits++;
	return store_answer(fake.store_refuses ? STORE_REFUSED : STORE_DONE, 0, NULL, cb, arg);
}

static struct store_call *fake_grant(struct store *s, int64_t ttl_us, store_done cb, void *arg)
{
	return store_answer(STORE_DONE, 7, NULL, cb, arg);
}

static struct store_call *fake_lease(struct store *s, uint64_t lease, store_done cb, void *arg)
{
	return store_answer(STORE_DONE, 7, NULL, cb, arg);
}

static struct store *fake_create(struct kernel *k, const char *address, int64_t timeout_us);

static void fake_free(struct store *s)
{
}

static const struct store_ops fake_store_ops = {
	.create = fake_create,
	.free = fake_free,
	.get = fake_get,
	.list = fake_list,
	.watch = fake_watch,
	.commit = fake_commit,
	.lease_grant = fake_grant,
	.lease_renew = fake_lease,
	.lease_end = fake_lease,
};

static struct store *fake_create(struct kernel *k, const char *address, int64_t timeout_us)
{
	static struct store store = {.ops = &fake_store_ops};

	return &store;
}

static void fake_promote(struct kernel *k, const char *address, const char *pool,
			 const char *member, const char *holder, uint64_t token, int64_t timeout_us,
			 promoter_done cb, void *arg)
{
	fake.n_orders++;
	fake.order = arg;
	if (fake.promote != NULL)
		fake.promote(member, cb, arg);
}

static void fake_take_back(void *arg)
{
	CU_ASSERT_PTR_EQUAL(arg, fake.order);
	fake.n_orders_taken_back++;
}

static const struct promoter_ops fake_promoter_ops = {.promote = fake_promote,
						      .take_back = fake_take_back};
static const struct records_ops fake_records = {.document_key = "doc",
						.servers_prefix = "servers/"};
static const struct adapter fake_adapter = {.member = &fake_member_ops,
					    .store = &fake_store_ops,
					    .promoter = &fake_promoter_ops,
					    .records = &fake_records};

/* A VM that owns no group */

static void add_pool(struct world *w)
{
	struct fleet *f = fleet_of(w->k);
	struct conf_pool pool = {.name = POOL, .confirm = CONFIRM_PRIMARY, .n = 3};
	struct conf_update u = {.version = 8, .full = true};
	unsigned i;

	for (i = 0; i < pool.n; i++) {
		struct conf_member *m = &pool.member[i];

		g_snprintf(m->name, sizeof(m->name), "m%u", i);
		g_snprintf(m->address, sizeof(m->address), "127.0.0.1:%u", 100 + i);
		g_strlcpy(m->data_center, "dc", sizeof(m->data_center));
		m->slots = 2;
		m->connections = 16;
	}
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_ptr_array_add(u.entries, table_entry_make(CONF_POOL, &pool));
	fleet_apply_conf(f, &u, "test");
	conf_update_clear(&u);
}

void world_open(struct world *w)
{
	memset(w, 0, sizeof(*w));
	memset(&fake, 0, sizeof(fake));
	g_queue_init(&held);
	g_strlcpy(w->settings.name, "vm-1", sizeof(w->settings.name));
	g_strlcpy(w->settings.advertise, SELF, sizeof(w->settings.advertise));
	w->settings.silent_ms = 600;
	w->settings.member_leave_ms = 7000;
	w->settings.evacuate_ms = 5000;
	w->settings.platform_kind = PLATFORM_PREPARED;
	w->k = kernel_create(&w->settings);
	w->k->adapter = &fake_adapter;
	rpc_service_create(w->k);
	fleet_service_create(w->k);
	shares_service_create(w->k);
	owner_service_create(w->k);
	w->o = owner_of(w->k);
	CU_ASSERT_TRUE(w->o->service.ops->start(&w->o->service, NULL));
	add_pool(w);
}

void world_run_once(struct world *w)
{
	event_base_loop(w->k->base, EVLOOP_NONBLOCK);
}

/* A VM that owns the group */

void fake_probe_answer(struct fake_conn *f, const struct member_status *st)
{
	member_opened opened = f->opened;
	member_order_done order_done = f->order_done;

	f->opened = NULL;
	f->order_done = NULL;
	if (opened != NULL)
		opened(&f->conn, MEMBER_DONE, st->received, f->arg);
	else if (order_done != NULL)
		order_done(&f->conn, MEMBER_DONE, st, f->arg);
}

void answer_probes(uint64_t lsn)
{
	unsigned i;

	for (i = 0; i < fake.n_conns; i++) {
		struct fake_conn *f = fake.conns[i];
		struct member_status st = {.term = 1, .received = {1, lsn}};
		member_order_done order_done = f->order_done;

		if (f->closed)
			continue;
		if (f->opened != NULL) {
			member_opened opened = f->opened;

			f->opened = NULL;
			opened(&f->conn, MEMBER_DONE, st.received, f->arg);
			order_done = f->order_done;
		}
		st.primary = strcmp(f->id, "m0") == 0;
		f->order_done = NULL;
		if (order_done != NULL)
			order_done(&f->conn, MEMBER_DONE, &st, f->arg);
	}
}

void run_until_state(struct world *w, struct owner_group *g, enum owner_state state)
{
	int64_t until = test_now_ms() + 3000;

	while (g->state != state && test_now_ms() < until) {
		event_base_loop(w->k->base, EVLOOP_ONCE);
		answer_probes(10);
	}
	CHECK(g->state == state, "state %d, not %d", g->state, state);
}

struct owner_group *world_serve(struct world *w)
{
	struct owner_group *g;

	world_open(w);
	fleet_of(w->k)->source->start(fleet_of(w->k));
	g = owner_group_find(w->o, POOL);
	run_until_state(w, g, OWNER_SERVING);
	return g;
}

void world_close(struct world *w)
{
	fake.holds = NULL;
	while (!g_queue_is_empty(&held))
		fake_store_deliver();
	if (store_source.tick != NULL)
		fleet_of(w->k)->source->stop(fleet_of(w->k));
	/* The next world starts without a lease. */
	memset(&store_source, 0, sizeof(store_source));
}

void world_configure(struct world *w, void (*change)(struct conf_pool *pool, const char *member),
		     const char *member)
{
	struct fleet *f = fleet_of(w->k);
	struct conf_pool pool = *conf_pool(f->conf, POOL);
	struct conf_update u = {.version = f->conf->version + 1, .full = true};

	change(&pool, member);
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_ptr_array_add(u.entries, table_entry_make(CONF_POOL, &pool));
	((struct conf_entry *)g_ptr_array_index(u.entries, 0))->version = u.version;
	fleet_apply_conf(f, &u, "test");
	conf_update_clear(&u);
}

static void leave(struct conf_pool *pool, const char *member)
{
	pool->member[conf_pool_find(pool, member)].leaving = true;
}

void set_leaving(struct world *w, const char *member)
{
	world_configure(w, leave, member);
}

void world_hold_lease(struct world *w)
{
	store_source.store = fake_create(w->k, "", 0);
	store_source.lease = 7;
	store_source.registered = true;
	store_source.registration = 1;
	store_source.lease_until_us = now_us() + 10 * USEC_PER_SEC;
}

struct owner_group *world_join(struct world *w)
{
	const struct vm_listing l[] = {
		{.name = "vm-1", .address = SELF, .data_center = "dc"},
		{.name = "vm-9", .address = "127.0.0.1:2", .data_center = "dc"}};
	struct peers *peers = &fleet_of(w->k)->peers;

	peers_apply_list(peers, 5, l, G_N_ELEMENTS(l));
	fleet_members_changed(fleet_of(w->k));
	CU_ASSERT_STRING_EQUAL_FATAL(peers_holder(peers, "group " POOL, NULL)->name, "vm-9");
	world_hold_lease(w);
	return owner_group_find(w->o, POOL);
}
