/**
 * @file test-store-start.c
 * A VM that starts in a large fleet, with a fake store whose lists have several pages: what it
 * reads from the store, and when.
 */
#include "fleet-store-source.h"
#include "harness.h"

#include <string.h>

#define VMS 40
#define SERVERS 60
#define PAGE_ITEMS 20
/** Time limit of a step of the start; the longest wait of a VM in it is 1.2 s. */
#define STEP_TIMEOUT_MS 5000

static struct {
	GPtrArray *keys; /**< sorted */
	bool self_written;
	unsigned n_full_pages; /**< pages of lists of all keys */
	unsigned n_vm_pages;   /**< pages of lists of VMs and parts */
	unsigned n_strict;     /**< pages of lists of VMs that had to be current */
	bool empty;	       /**< the store has no keys yet */
	bool no_document;
} fake;

static char *value_of(const char *key)
{
	if (g_str_has_prefix(key, FLEET_STORE_VMS))
		return g_strdup_printf("{\"name\":\"%s\",\"address\":\"127.0.0.1:1\","
				       "\"data_center\":\"dc\",\"incarnation\":\"5\"}",
				       key + strlen(FLEET_STORE_VMS));
	return g_strdup("{}");
}

static bool fake_document(const char *text, struct records_document *d)
{
	struct records_pool pool = {.name = "p", .connections = 16};

	memset(d, 0, sizeof(*d));
	d->version = 1;
	d->entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	d->pools = g_array_new(FALSE, TRUE, sizeof(struct records_pool));
	g_array_append_val(d->pools, pool);
	return true;
}

static bool fake_server(const char *id, const char *text, struct records_server *s)
{
	memset(s, 0, sizeof(*s));
	g_strlcpy(s->pool, "p", sizeof(s->pool));
	g_strlcpy(s->member.name, id, sizeof(s->member.name));
	g_strlcpy(s->member.data_center, "dc", sizeof(s->member.data_center));
	return true;
}

static const struct records_ops fake_records = {.document_key = "op/doc",
						.servers_prefix = "servers/",
						.evacuations_prefix = "op/evacuate/",
						.document = fake_document,
						.server = fake_server};

static void free_item(gpointer data)
{
	struct store_item *item = data;

	g_free(item->value);
	g_free(item);
}

static struct store_call *fake_list(struct store *s, const char *prefix, const char *after,
				    bool stale, store_done cb, void *arg)
{
	static uint64_t revision = 500;
	struct store_answer a = {.status = STORE_DONE, .revision = ++revision};
	guint i;

	fake.n_full_pages += prefix[0] == '\0' ? 1 : 0;
	fake.n_vm_pages += prefix[0] != '\0' ? 1 : 0;
	fake.n_strict += prefix[0] != '\0' && !stale ? 1 : 0;
	a.items = g_ptr_array_new_with_free_func(free_item);
	for (i = 0; i < fake.keys->len && !a.more; i++) {
		char *key = g_ptr_array_index(fake.keys, i);
		struct store_item *item;

		if (!g_str_has_prefix(key, prefix) || strcmp(key, after) <= 0 || fake.empty ||
		    (fake.no_document && strcmp(key, "op/doc") == 0))
			continue;
		if (a.items->len == PAGE_ITEMS) {
			a.more = true;
			continue;
		}
		item = g_new0(struct store_item, 1);
		item->key = key;
		item->value = value_of(key);
		item->revision = 100 + i;
		g_ptr_array_add(a.items, item);
	}
	cb(&a, arg);
	g_ptr_array_unref(a.items);
	return NULL;
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
	struct store_answer a = {.status = STORE_DONE, .revision = 501};

	fake.self_written = true;
	cb(&a, arg);
	return NULL;
}

static struct store_call *fake_grant(struct store *s, int64_t ttl_us, store_done cb, void *arg)
{
	struct store_answer a = {.status = STORE_DONE, .lease = 7, .ttl_us = ttl_us};

	cb(&a, arg);
	return NULL;
}

static struct store_call *fake_renew(struct store *s, uint64_t lease, store_done cb, void *arg)
{
	return fake_grant(s, LEASE_TTL_US, cb, arg);
}

static struct store *fake_create(struct kernel *k, const char *address, int64_t timeout_us);

static void fake_free(struct store *s)
{
}

static const struct store_ops fake_ops = {.create = fake_create,
					  .free = fake_free,
					  .list = fake_list,
					  .watch = fake_watch,
					  .commit = fake_commit,
					  .lease_grant = fake_grant,
					  .lease_renew = fake_renew};
static const struct adapter fake_adapter = {.store = &fake_ops, .records = &fake_records};

static struct store *fake_create(struct kernel *k, const char *address, int64_t timeout_us)
{
	static struct store store = {.ops = &fake_ops};

	return &store;
}

static gint by_text(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void fill_store(void)
{
	int i;

	if (fake.keys != NULL)
		g_ptr_array_unref(fake.keys);
	memset(&fake, 0, sizeof(fake));
	fake.keys = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(fake.keys, g_strdup("op/doc"));
	for (i = 1; i <= VMS; i++)
		g_ptr_array_add(fake.keys, g_strdup_printf(FLEET_STORE_VMS "vm-%d", i));
	for (i = 0; i < SERVERS; i++)
		g_ptr_array_add(fake.keys, g_strdup_printf("servers/i-%d", i));
	g_ptr_array_sort(fake.keys, by_text);
}

static struct fleet *start_vm(struct settings *settings, const char *name)
{
	struct kernel *k;

	memset(settings, 0, sizeof(*settings));
	if (store_source.store != NULL)
		store_source.f->source->stop(store_source.f);
	memset(&store_source, 0, sizeof(store_source));
	g_strlcpy(settings->name, name, sizeof(settings->name));
	g_strlcpy(settings->advertise, "127.0.0.1:1", sizeof(settings->advertise));
	g_strlcpy(settings->data_center, "dc", sizeof(settings->data_center));
	settings->silent_ms = 600;
	settings->heartbeat_ms = 1000;
	settings->platform_kind = PLATFORM_PREPARED;
	k = kernel_create(settings);
	k->adapter = &fake_adapter;
	rpc_service_create(k);
	fleet_service_create(k);
	fleet_of(k)->source->start(fleet_of(k));
	return fleet_of(k);
}

static bool is_listed(const struct fleet *f)
{
	return f->peers.revision != 0;
}

static bool has_conf(const struct fleet *f)
{
	return f->conf->version != 0;
}

static bool is_large(const struct fleet *f)
{
	return store_source.large;
}

static bool knows_all(const struct fleet *f)
{
	return f->peers.n == VMS && store_source.list_is_complete;
}

static bool has_looked_for_conf(const struct fleet *f)
{
	return fake.n_full_pages > 2 && store_source.list_is_complete;
}

static bool run_until(struct fleet *f, bool (*done)(const struct fleet *f))
{
	int64_t until = test_now_ms() + STEP_TIMEOUT_MS;

	while (!done(f) && test_now_ms() < until)
		event_base_loop(f->service.kernel->base, EVLOOP_ONCE);
	return done(f);
}

/** Starts VMs one after the other until one has a list, and its name makes it watch or not. */
static struct fleet *start_as(struct settings *settings, bool watcher)
{
	int i;

	for (i = 1; i <= VMS; i++) {
		char name[16];
		struct fleet *f;

		fill_store();
		g_snprintf(name, sizeof(name), "vm-%d", i);
		f = start_vm(settings, name);
		/* Only the first page is read before this VM's key is written. */
		CU_ASSERT_EQUAL(fake.n_full_pages, 1);
		CU_ASSERT_EQUAL(fake.n_vm_pages, 0);
		CU_ASSERT_TRUE(store_source.awaits_key);
		store_source.awaits_key = false;
		kernel_arm(store_source.retry, 0);
		CU_ASSERT_TRUE_FATAL(run_until(f, is_listed));
		CU_ASSERT_EQUAL(f->peers.n, VMS);
		if (fleet_is_watcher(f) == watcher)
			return f;
	}
	CU_FAIL_FATAL("no VM of this rank");
	return NULL;
}

/*
 * Guards against a store and links that are busy for longer than the start may last: each VM read
 * all keys, and again until the list had its own.
 */
static void test_a_vm_that_does_not_watch_lists_only_vms(void)
{
	struct settings settings;
	struct fleet *f = start_as(&settings, false);

	CU_ASSERT_EQUAL(fake.n_full_pages, 1);
	CU_ASSERT_EQUAL(fake.n_vm_pages, 1 + VMS / PAGE_ITEMS);
	CU_ASSERT_EQUAL(fake.n_strict, 0);
	CU_ASSERT_FALSE(has_conf(f));
	/* Without peers that have a configuration, it is read from the store in the end. */
	CU_ASSERT_TRUE(store_source.conf_wait_until_us > now_us());
	store_source.conf_wait_until_us = now_us();
	CU_ASSERT_TRUE(run_until(f, has_conf));
	/* Only what the configuration is made of is read, and it is not kept beside it. */
	CU_ASSERT_EQUAL(fake.n_full_pages, 1 + (1 + SERVERS + PAGE_ITEMS - 1) / PAGE_ITEMS);
	CU_ASSERT_EQUAL(g_hash_table_size(store_source.servers), 0);
	CU_ASSERT_EQUAL(f->peers.n, VMS);
}

/*
 * Guards against VMs that read everything again and again until there is a configuration: the
 * store fills while the fleet starts, and the operators write their document last.
 */
static void test_a_store_that_grows_is_not_read_whole(void)
{
	struct settings settings;
	char name[NAME_SIZE];
	struct fleet *f;

	start_as(&settings, false);
	g_strlcpy(name, settings.name, sizeof(name));
	fill_store();
	fake.empty = true;
	f = start_vm(&settings, name);
	CU_ASSERT_FALSE(store_source.large);
	fake.empty = false;
	fake.no_document = true;
	CU_ASSERT_TRUE_FATAL(run_until(f, is_listed));
	CU_ASSERT_TRUE(run_until(f, is_large));
	CU_ASSERT_EQUAL(fake.n_full_pages, 2);
	store_source.awaits_key = false;
	kernel_arm(store_source.retry, 0);
	CU_ASSERT_TRUE(run_until(f, knows_all));
	store_source.conf_wait_until_us = now_us();
	CU_ASSERT_TRUE(run_until(f, has_looked_for_conf));
	/* The first page shows that there is no document, and the rest is not read. */
	CU_ASSERT_EQUAL(fake.n_full_pages, 3);
	CU_ASSERT_FALSE(has_conf(f));
	CU_ASSERT_TRUE(store_source.list_is_complete);
	fake.no_document = false;
	store_source.conf_wait_until_us = now_us();
	CU_ASSERT_TRUE(run_until(f, has_conf));
}

/* Guards against a watcher that has only the VMs: nobody would bring the configuration. */
static void test_a_watcher_lists_all_keys(void)
{
	struct settings settings;
	struct fleet *f = start_as(&settings, true);

	CU_ASSERT_TRUE(run_until(f, has_conf));
	CU_ASSERT_FALSE(store_source.partial);
	CU_ASSERT_PTR_NOT_NULL(store_source.watch);
}

/* Guards against a list that lacks the VM that reads it, and those that start with it. */
static void test_vms_are_listed_after_the_own_key(void)
{
	struct settings settings;
	struct fleet *f;

	fill_store();
	f = start_vm(&settings, "vm-1");
	CU_ASSERT_TRUE(store_source.awaits_key);
	CU_ASSERT_TRUE(run_until(f, is_listed));
	CU_ASSERT_TRUE(fake.self_written);
	CU_ASSERT_TRUE(f->self_listed);
}

static const struct test_case cases[] = {
	{"a_vm_that_does_not_watch_lists_only_vms", test_a_vm_that_does_not_watch_lists_only_vms},
	{"a_store_that_grows_is_not_read_whole", test_a_store_that_grows_is_not_read_whole},
	{"a_watcher_lists_all_keys", test_a_watcher_lists_all_keys},
	{"vms_are_listed_after_the_own_key", test_vms_are_listed_after_the_own_key},
};
HARNESS_MAIN("store-start", cases)
