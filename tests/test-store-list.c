/** @file test-store-list.c Lists, watches and configuration versions, with a fake store. */
#include "fleet-store-source.h"
#include "harness.h"
#include "page.h"
#include "table.h"

#include <string.h>

#define DOCUMENT_REVISION 10
/** A registration of another process of this VM. */
#define OTHER_PROCESS                                                                              \
	"{\"name\":\"vm-1\",\"address\":\"127.0.0.1:1\",\"data_center\":\"dc\","                   \
	"\"incarnation\":\"5\"}"
#define SELF "{\"name\":\"vm-1\",\"address\":\"127.0.0.1:1\",\"data_center\":\"dc\"}"
/** Revision of the whole store, which the daemons' own keys raise all the time. */
#define STORE_REVISION 500

static uint64_t store_revision = STORE_REVISION;
static uint64_t era;
static unsigned n_lists, n_stale_lists, n_cancelled;
/** The fake store's lists lack this VM's key until this number of lists was read. */
static unsigned n_lists_without_vm;
static store_done watch_done;
static uint64_t document_version;
/** Contents of the backend server's record. */
static uint64_t server_started_ms, server_sequence;
static bool server_leaving;

static bool fake_document(const char *text, struct records_document *d)
{
	struct conf_team team = {.name = "clerks", .rate = 8, .burst = 8};
	struct records_pool pool = {.name = "p", .connections = 16};

	memset(d, 0, sizeof(*d));
	d->version = document_version;
	team.rate = team.rate + (double)document_version;
	d->entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	d->pools = g_array_new(FALSE, TRUE, sizeof(struct records_pool));
	g_array_append_val(d->pools, pool);
	g_ptr_array_add(d->entries, table_entry_make(CONF_TEAM, &team));
	return true;
}

static bool fake_server(const char *id, const char *text, struct records_server *s)
{
	memset(s, 0, sizeof(*s));
	g_strlcpy(s->pool, "p", sizeof(s->pool));
	g_strlcpy(s->member.name, id, sizeof(s->member.name));
	g_strlcpy(s->member.data_center, "dc", sizeof(s->member.data_center));
	s->started_ms = server_started_ms;
	s->sequence = server_sequence;
	s->member.leaving = server_leaving;
	return true;
}

static const struct records_ops fake_records = {.document_key = "doc",
						.servers_prefix = "servers/",
						.evacuations_prefix = "evacuate/",
						.document = fake_document,
						.server = fake_server};

static struct store_call *fake_list(struct store *s, const char *prefix, const char *after,
				    bool stale, store_done cb, void *arg)
{
	struct store_item items[] = {
		{.key = "doc", .value = "{}", .revision = DOCUMENT_REVISION},
		{.key = "servers/i-1", .value = "{}", .revision = DOCUMENT_REVISION - 1},
		{.key = FLEET_STORE_VMS "vm-1", .value = SELF, .revision = DOCUMENT_REVISION + 1}};
	struct store_answer a = {.status = STORE_DONE,
				 .revision = era_revision(era, store_revision)};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(items); i++)
		items[i].revision = era_revision(era, items[i].revision);
	if (era != 0)
		s->on_era(era, s->on_era_arg);
	n_lists++;
	n_stale_lists += stale ? 1 : 0;
	a.items = g_ptr_array_new();
	g_ptr_array_add(a.items, &items[0]);
	g_ptr_array_add(a.items, &items[1]);
	if (n_lists > n_lists_without_vm)
		g_ptr_array_add(a.items, &items[2]);
	cb(&a, arg);
	g_ptr_array_unref(a.items);
	return NULL;
}

static struct store_call *fake_watch(struct store *s, const char *prefix, uint64_t revision,
				     int64_t wait_us, store_done cb, void *arg)
{
	watch_done = cb;
	return (struct store_call *)s;
}

/** Revision of this VM's key in the store, if writes are checked against it. */
static uint64_t key_revision;
static bool checks_guards;
static unsigned n_writes_done;

static struct store_call *fake_commit(struct store *s, const struct store_guard *guards,
				      unsigned n_guards, const struct store_write *writes,
				      unsigned n_writes, store_done cb, void *arg)
{
	struct store_answer a = {.status = STORE_DONE};

	if (checks_guards && (n_guards != 1 || guards[0].revision != key_revision)) {
		a.status = STORE_CONFLICT;
		cb(&a, arg);
		return NULL;
	}
	n_writes_done++;
	a.revision = era_revision(era, ++store_revision);
	key_revision = a.revision;
	cb(&a, arg);
	return NULL;
}

static struct store_call *fake_get(struct store *s, const char *key, store_done cb, void *arg)
{
	struct store_item item = {
		.key = (char *)key, .value = OTHER_PROCESS, .revision = key_revision};
	struct store_answer a = {.status = STORE_DONE, .items = g_ptr_array_new()};

	g_ptr_array_add(a.items, &item);
	cb(&a, arg);
	g_ptr_array_unref(a.items);
	return NULL;
}

static void fake_cancel(struct store_call *call)
{
	n_cancelled++;
}

static struct store_call *fake_grant(struct store *s, int64_t ttl_us, store_done cb, void *arg)
{
	return NULL;
}

static struct store *fake_create(struct kernel *k, const char *address, int64_t timeout_us);

static void fake_free(struct store *s)
{
}

static const struct store_ops fake_ops = {.create = fake_create,
					  .free = fake_free,
					  .get = fake_get,
					  .list = fake_list,
					  .watch = fake_watch,
					  .cancel = fake_cancel,
					  .commit = fake_commit,
					  .lease_grant = fake_grant};
static const struct adapter fake_adapter = {.store = &fake_ops, .records = &fake_records};

static struct store *fake_create(struct kernel *k, const char *address, int64_t timeout_us)
{
	static struct store store = {.ops = &fake_ops};

	return &store;
}

/** Starts a VM, which reads the store. */
static struct fleet *start_vm(struct settings *settings)
{
	struct kernel *k;

	memset(settings, 0, sizeof(*settings));
	if (store_source.store != NULL)
		store_source.f->source->stop(store_source.f);
	memset(&store_source, 0, sizeof(store_source));
	g_strlcpy(settings->name, "vm-1", sizeof(settings->name));
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

/** Starts a VM with a store that reports era 1. */
static struct fleet *start_vm_in_first_era(struct settings *settings)
{
	era = 1;
	n_lists_without_vm = 0;
	return start_vm(settings);
}

/*
 * Guards against a restart that makes every VM fetch the full configuration again. The restarted VM
 * derived the version from the revision of the whole store, which the daemons' own keys raise all
 * the time, so the same configuration appeared newer than the one in force.
 */
static void test_a_start_makes_no_new_version(void)
{
	struct settings settings;
	uint64_t first;

	first = start_vm(&settings)->conf->version;
	CU_ASSERT_TRUE(first > 0);
	store_revision += 50;
	CU_ASSERT_EQUAL(start_vm(&settings)->conf->version, first);
}

/* Guards against a change by an operator or a server that does not raise the version. */
static void test_a_change_makes_a_new_version(void)
{
	struct store_item item = {.key = "servers/i-2", .value = "{}"};
	struct settings settings;
	struct fleet *f = start_vm(&settings);
	uint64_t first = f->conf->version;

	item.revision = store_revision + 1;
	source_apply_item(&item);
	store_source.synced_revision = store_revision + 1;
	source_publish();
	CU_ASSERT_TRUE(f->conf->version > first);
}

/*
 * Guards against a restarted VM that sends the full configuration to each peer that only lacks a
 * change of one server, and against a peer that is not sent the end of an evacuation.
 */
static void test_restarted_vm_sends_only_changed_pools(void)
{
	struct store_item item = {.key = "servers/i-2", .value = "{}"};
	struct settings settings;
	struct fleet *f;
	struct page p;
	guint i, pools = 0, ended = 0;

	start_vm(&settings);
	item.revision = store_revision + 1;
	store_source.list_is_complete = false;
	f = store_source.f;
	conf_free(f->conf);
	f->conf = conf_create();
	source_apply_item(&item);
	store_source.synced_revision = store_revision + 1;
	store_source.list_is_complete = true;
	store_source.conf_changed = true;
	source_publish();
	CU_ASSERT_TRUE(f->conf->version > DOCUMENT_REVISION * 8);
	page_build(f->conf, DOCUMENT_REVISION * 8, "", 100000, &p);
	CU_ASSERT_FALSE(p.u.full);
	for (i = 0; i < p.u.entries->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(p.u.entries, i);

		pools += e->kind == CONF_POOL;
		ended += e->kind == CONF_EVACUATION && e->removed;
	}
	CU_ASSERT_EQUAL(pools, 1);
	CU_ASSERT_EQUAL(ended, 1);
	CU_ASSERT_EQUAL(p.u.entries->len, 2);
	conf_update_clear(&p.u);
	page_build(f->conf, DOCUMENT_REVISION * 8 - 1, "", 100000, &p);
	CU_ASSERT_TRUE(p.u.full);
	conf_update_clear(&p.u);
}

/*
 * Guards against a withdrawn API key that keeps working: the list after a failed watch was a stale
 * read from before the withdrawal.
 */
static void test_a_list_after_a_broken_watch_is_not_stale(void)
{
	const struct store_answer compacted = {.status = STORE_COMPACTED};
	struct settings settings;

	n_lists = n_stale_lists = n_lists_without_vm = 0;
	start_vm(&settings);
	CU_ASSERT_EQUAL(n_lists, 1);
	watch_done(&compacted, NULL);
	CU_ASSERT_EQUAL(n_lists, 2);
	CU_ASSERT_EQUAL(n_stale_lists, 0);
}

/*
 * Guards against missed changes after a restore: a watch from a revision of the previous era skips
 * changes, because the store assigns the same revisions again.
 */
static void test_another_era_ends_the_watch(void)
{
	struct settings settings;

	era = 1;
	n_lists = n_cancelled = n_lists_without_vm = 0;
	start_vm(&settings);
	store_source.store->on_era(1, NULL);
	CU_ASSERT_EQUAL(n_lists, 1);
	era = 2;
	store_source.store->on_era(2, NULL);
	CU_ASSERT_EQUAL(n_cancelled, 1);
	CU_ASSERT_EQUAL(n_lists, 2);
	CU_ASSERT_EQUAL(store_source.synced_revision, era_revision(2, store_revision));
	CU_ASSERT_FALSE(fleet_store_is_current(era_revision(1, 3)));
	CU_ASSERT_TRUE(fleet_store_is_current(era_revision(2, 3)));
	/* A late answer of the previous era is ignored. */
	store_source.store->on_era(1, NULL);
	CU_ASSERT_TRUE(fleet_store_is_current(era_revision(2, 3)));
	era = 0;
}

/*
 * Guards against a restore that removes a VM which still trusts its lease, or ends an evacuation,
 * because the older copy lacks their keys.
 */
static void test_keys_lost_in_restore_stay_for_one_lease(void)
{
	struct store_item other = {
		.key = FLEET_STORE_VMS "vm-2",
		.value = "{\"name\":\"vm-2\",\"address\":\"127.0.0.1:2\",\"data_center\":\"dc\"}",
		.revision = era_revision(1, STORE_REVISION + 1)};
	struct store_item evacuation = {.key = "evacuate/dc",
					.value = "{}",
					.revision = era_revision(1, STORE_REVISION + 2)};
	const struct timeval tick = {.tv_usec = 250000};
	struct settings settings;
	struct fleet *f;

	f = start_vm_in_first_era(&settings);
	source_apply_item(&other);
	source_apply_item(&evacuation);
	store_source.synced_revision = evacuation.revision;
	source_publish();
	CU_ASSERT_PTR_NOT_NULL(peers_find(&f->peers, "vm-2"));
	era = 2;
	store_source.store->on_era(2, NULL);
	CU_ASSERT_PTR_NOT_NULL(peers_find(&f->peers, "vm-2"));
	CU_ASSERT_TRUE(conf_evacuated(f->conf, "dc"));
	CU_ASSERT_TRUE(store_source.keeps_lost_keys);
	CU_ASSERT_FALSE(fleet_store_settled(f));
	store_source.era.since_us -= LEASE_TTL_US;
	store_source.lease = 7;
	store_source.lease_call_pending = false;
	store_source.registered = true;
	store_source.lease_next_us = now_us() + USEC_PER_SEC;
	CU_ASSERT_TRUE(fleet_store_settled(f));
	event_base_loopexit(f->service.kernel->base, &tick);
	event_base_dispatch(f->service.kernel->base);
	CU_ASSERT_PTR_NULL(peers_find(&f->peers, "vm-2"));
	CU_ASSERT_FALSE(conf_evacuated(f->conf, "dc"));
	era = 0;
}

/* Guards against a VM that is never registered, because the first write of its key got no answer.
 */
static void test_a_first_registration_is_tried_again(void)
{
	const struct timeval tick = {.tv_usec = 250000};
	struct settings settings;
	struct fleet *f;

	f = start_vm_in_first_era(&settings);
	store_source.lease = 7;
	store_source.lease_era = 1;
	store_source.lease_call_pending = false;
	event_base_loopexit(f->service.kernel->base, &tick);
	event_base_dispatch(f->service.kernel->base);
	CU_ASSERT_EQUAL(fleet_store_registration(f), 1);
	era = 0;
}

/*
 * Guards against a registration of a process that was killed, run late: it replaces that of its
 * successor, which others then take for ended.
 */
static void test_a_registration_replaces_only_the_known_one(void)
{
	struct store_item item = {.key = FLEET_STORE_VMS "vm-1", .value = OTHER_PROCESS};
	const struct timeval tick = {.tv_usec = 250000};
	struct settings settings;
	struct fleet *f;

	/* The key of the previous process is replaced, as its revision is known by then. */
	f = start_vm_in_first_era(&settings);
	checks_guards = true;
	key_revision = era_revision(1, 400);
	n_writes_done = 0;
	store_source.lease = 7;
	store_source.lease_era = 1;
	store_source.lease_call_pending = false;
	store_source.lease_next_us = 0;
	event_base_loopexit(f->service.kernel->base, &tick);
	event_base_dispatch(f->service.kernel->base);
	CU_ASSERT_EQUAL(n_writes_done, 1);
	CU_ASSERT_EQUAL(fleet_store_registration(f), 1);
	CU_ASSERT_EQUAL(store_source.key_revision, key_revision);
	/* Should an unguarded write have taken the key, it is written again. */
	store_source.lease_next_us = now_us() + 10 * USEC_PER_SEC;
	store_source.rewrite_next_us = 0;
	item.revision = key_revision = era_revision(1, ++store_revision);
	source_apply_item(&item);
	event_base_loopexit(f->service.kernel->base, &tick);
	event_base_dispatch(f->service.kernel->base);
	CU_ASSERT_EQUAL(n_writes_done, 2);
	CU_ASSERT_EQUAL(fleet_store_registration(f), 1);
	checks_guards = false;
	era = 0;
}

/** Simulates a restore of the store: raises its era. */
static void simulate_restore(void)
{
	era++;
	store_source.store->on_era(era, NULL);
}

/*
 * Guards against an older document that is put in force after a restore, until the operators write
 * the document again.
 */
static void test_an_older_document_is_not_put_in_force(void)
{
	struct settings settings;
	struct fleet *f;

	document_version = 49;
	f = start_vm_in_first_era(&settings);
	CU_ASSERT_EQUAL(conf_team(f->conf, "clerks")->rate, 8 + 49);
	document_version = 43;
	simulate_restore();
	CU_ASSERT_EQUAL(conf_team(f->conf, "clerks")->rate, 8 + 49);
	document_version = 51;
	simulate_restore();
	CU_ASSERT_EQUAL(conf_team(f->conf, "clerks")->rate, 8 + 51);
	document_version = era = 0;
}

/*
 * Guards against a draining server that is used again after a restore, because the store returns an
 * older record of the same process.
 */
static void test_leaving_server_is_not_reused_by_outdated_record(void)
{
	struct settings settings;
	struct fleet *f;

	server_started_ms = 1000;
	server_sequence = 50;
	server_leaving = true;
	f = start_vm_in_first_era(&settings);
	CU_ASSERT_TRUE(conf_pool(f->conf, "p")->member[0].leaving);
	server_sequence = 20;
	server_leaving = false;
	simulate_restore();
	CU_ASSERT_TRUE(conf_pool(f->conf, "p")->member[0].leaving);
	/* The record of a new process with the same id is accepted. */
	server_started_ms = 2000;
	server_sequence = 1;
	simulate_restore();
	CU_ASSERT_FALSE(conf_pool(f->conf, "p")->member[0].leaving);
	server_started_ms = server_sequence = era = 0;
}

static unsigned n_group_changes;

static void on_record(const struct store_item *item, void *owner)
{
	struct fleet *f = owner;

	CU_ASSERT_TRUE(f->conf->version > 0);
	n_group_changes++;
}

/*
 * Guards against groups without a known owner after a start: listeners were notified of the groups'
 * records before the groups were configured, and ignored them.
 */
static void test_listeners_are_notified_once_list_is_in_force(void)
{
	struct store_item record = {
		.key = FLEET_STORE_PREFIX "group/p", .value = "{}", .revision = 4};
	struct settings settings;
	struct fleet *f = start_vm(&settings);

	n_group_changes = 0;
	fleet_store_listen(f, FLEET_STORE_PREFIX "group/", on_record, f);
	store_source.list_is_complete = false;
	source_apply_item(&record);
	CU_ASSERT_EQUAL(n_group_changes, 0);
	store_source.list_is_complete = true;
	source_notify_pending();
	CU_ASSERT_EQUAL(n_group_changes, 1);
	record.revision = 6;
	source_apply_item(&record);
	CU_ASSERT_EQUAL(n_group_changes, 2);
}

/*
 * Guards against every VM of a starting fleet becoming a watcher: a list without the other VMs
 * ranks each VM first.
 */
static void test_a_vm_that_is_not_listed_yet_watches_nothing(void)
{
	const struct timeval tv = {.tv_sec = 3};
	struct settings settings;
	struct fleet *f;

	n_lists = n_stale_lists = 0;
	n_lists_without_vm = 5;
	watch_done = NULL;
	f = start_vm(&settings);
	CU_ASSERT_TRUE(f->conf->version > 0);
	CU_ASSERT_PTR_NULL(watch_done);
	event_base_loopexit(f->service.kernel->base, &tv);
	event_base_dispatch(f->service.kernel->base);
	CU_ASSERT_EQUAL(n_lists, 6);
	CU_ASSERT_EQUAL(n_stale_lists, 4);
	CU_ASSERT_PTR_NOT_NULL(watch_done);
	n_lists_without_vm = 0;
}

/* Guards against an overloaded store that gets frequent retries of lease calls from every VM. */
static void test_a_lease_is_renewed_in_time_by_few_calls(void)
{
	const int64_t outage_us = 9 * USEC_PER_SEC;
	int64_t left_us = 9500 * USEC_PER_MSEC, at_us = 0;
	unsigned calls = 0;

	while (at_us < outage_us) {
		int64_t pause_us = source_lease_retry_us(left_us - at_us);

		CU_ASSERT_TRUE(pause_us >= 500 * USEC_PER_MSEC);
		at_us += pause_us;
		calls++;
	}
	CU_ASSERT_TRUE(calls <= 10);
	/* The first call after the outage is made before the lease ends. */
	CU_ASSERT_TRUE(at_us <= left_us);
	CU_ASSERT_EQUAL(source_lease_retry_us(0), 500 * USEC_PER_MSEC);
}

/** Delivers one changed item to the watch. @return whether the next watch began at once */
static bool watch_goes_on(const char *key)
{
	struct store_item item = {.key = (char *)key, .value = (char *)"{}"};
	struct store_answer a = {.status = STORE_DONE, .revision = ++store_revision};
	store_done done = watch_done;

	item.revision = store_revision;
	a.items = g_ptr_array_new();
	g_ptr_array_add(a.items, &item);
	watch_done = NULL;
	store_source.watch = NULL;
	done(&a, NULL);
	g_ptr_array_unref(a.items);
	return watch_done != NULL;
}

/*
 * Guards against a version of the configuration for each of thousands of servers that register
 * together; a change of a known server or of the document does not wait.
 */
static void test_new_servers_are_taken_together(void)
{
	struct settings settings;

	n_lists_without_vm = 0;
	start_vm(&settings);
	store_source.large = true;
	CU_ASSERT_FALSE(watch_goes_on("servers/i-7"));
	event_del(store_source.retry);
	start_vm(&settings);
	store_source.large = true;
	CU_ASSERT_TRUE(watch_goes_on("servers/i-1"));
	CU_ASSERT_TRUE(watch_goes_on("doc"));
	/* In a small store few servers register, and each is taken at once. */
	start_vm(&settings);
	CU_ASSERT_TRUE(watch_goes_on("servers/i-8"));
}

static const struct test_case cases[] = {
	{"a_lease_is_renewed_in_time_by_few_calls", test_a_lease_is_renewed_in_time_by_few_calls},
	{"listeners_are_notified_once_list_is_in_force",
	 test_listeners_are_notified_once_list_is_in_force},
	{"a_vm_that_is_not_listed_yet_watches_nothing",
	 test_a_vm_that_is_not_listed_yet_watches_nothing},
	{"a_list_after_a_broken_watch_is_not_stale", test_a_list_after_a_broken_watch_is_not_stale},
	{"another_era_ends_the_watch", test_another_era_ends_the_watch},
	{"keys_lost_in_restore_stay_for_one_lease", test_keys_lost_in_restore_stay_for_one_lease},
	{"a_first_registration_is_tried_again", test_a_first_registration_is_tried_again},
	{"an_older_document_is_not_put_in_force", test_an_older_document_is_not_put_in_force},
	{"leaving_server_is_not_reused_by_outdated_record",
	 test_leaving_server_is_not_reused_by_outdated_record},
	{"a_start_makes_no_new_version", test_a_start_makes_no_new_version},
	{"restarted_vm_sends_only_changed_pools", test_restarted_vm_sends_only_changed_pools},
	{"a_change_makes_a_new_version", test_a_change_makes_a_new_version},
	{"new_servers_are_taken_together", test_new_servers_are_taken_together},
	{"a_registration_replaces_only_the_known_one",
	 test_a_registration_replaces_only_the_known_one},
};
HARNESS_MAIN("store-list", cases)
