/** @file test-store-list.c Versions of the configuration out of a store that the test plays. */
#include "fleet-store-source.h"
#include "harness.h"
#include "page.h"
#include "table.h"

#include <string.h>

#define DOCUMENT_REVISION 10
#define SELF "{\"name\":\"vm-1\",\"address\":\"127.0.0.1:1\",\"data_center\":\"dc\"}"
/** Revision of the whole store: our own keys change all the time. */
#define STORE_REVISION 500

static uint64_t store_revision = STORE_REVISION;
static uint64_t era;
static unsigned n_lists, n_stale_lists, n_cancelled;
/** Lists that do not name the VM yet. */
static unsigned n_unlisted;
static store_done watch_done;
static uint64_t document_version;
/** What the server's entry says. */
static uint64_t server_born, server_sequence;
static bool server_leaving;

static bool played_document(const char *text, struct records_document *d)
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

static bool played_server(const char *id, const char *text, struct records_server *s)
{
	memset(s, 0, sizeof(*s));
	g_strlcpy(s->pool, "p", sizeof(s->pool));
	g_strlcpy(s->member.name, id, sizeof(s->member.name));
	g_strlcpy(s->member.data_center, "dc", sizeof(s->member.data_center));
	s->born = server_born;
	s->sequence = server_sequence;
	s->member.leaving = server_leaving;
	return true;
}

static const struct records_ops played_records = {.document_key = "doc",
						  .servers_prefix = "servers/",
						  .evacuations_prefix = "evacuate/",
						  .document = played_document,
						  .server = played_server};

static struct store_call *played_list(struct store *s, const char *prefix, const char *after,
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
		s->era(era, s->era_arg);
	n_lists++;
	n_stale_lists += stale ? 1 : 0;
	a.items = g_ptr_array_new();
	g_ptr_array_add(a.items, &items[0]);
	g_ptr_array_add(a.items, &items[1]);
	if (n_lists > n_unlisted)
		g_ptr_array_add(a.items, &items[2]);
	cb(&a, arg);
	g_ptr_array_unref(a.items);
	return NULL;
}

static struct store_call *played_watch(struct store *s, const char *prefix, uint64_t revision,
				       int64_t wait_us, store_done cb, void *arg)
{
	watch_done = cb;
	return (struct store_call *)s;
}

static struct store_call *played_commit(struct store *s, const struct store_guard *guards,
					unsigned n_guards, const struct store_write *writes,
					unsigned n_writes, store_done cb, void *arg)
{
	struct store_answer a = {.status = STORE_DONE};

	a.revision = era_revision(era, ++store_revision);
	cb(&a, arg);
	return NULL;
}

static void played_cancel(struct store_call *call)
{
	n_cancelled++;
}

static struct store_call *played_grant(struct store *s, int64_t ttl_us, store_done cb, void *arg)
{
	return NULL;
}

static struct store *played_create(struct kernel *k, const char *address, int64_t timeout_us);

static void played_free(struct store *s)
{
}

static const struct store_ops played_ops = {.create = played_create,
					    .free = played_free,
					    .list = played_list,
					    .watch = played_watch,
					    .cancel = played_cancel,
					    .commit = played_commit,
					    .lease_grant = played_grant};
static const struct adapter played_adapter = {.store = &played_ops, .records = &played_records};

static struct store *played_create(struct kernel *k, const char *address, int64_t timeout_us)
{
	static struct store store = {.ops = &played_ops};

	return &store;
}

/** A VM that has started and read the store. */
static struct fleet *started(struct settings *settings)
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
	k->adapter = &played_adapter;
	rpc_service_create(k);
	fleet_service_create(k);
	fleet_of(k)->source->start(fleet_of(k));
	return fleet_of(k);
}

/** The same, of a store that tells its era. */
static struct fleet *started_in_first_era(struct settings *settings)
{
	era = 1;
	n_unlisted = 0;
	return started(settings);
}

/*
 * Whenever a VM starts, each VM of the fleet fetches the whole configuration and goes through it.
 * The VM numbered what it read by the revision of the whole store, which our own keys move on all
 * the time, so the same configuration looked newer than the one in force everywhere.
 */
static void test_a_start_makes_no_new_version(void)
{
	struct settings settings;
	uint64_t first;

	first = started(&settings)->conf->version;
	CU_ASSERT_TRUE(first > 0);
	store_revision += 50;
	CU_ASSERT_EQUAL(started(&settings)->conf->version, first);
}

/* What an operator, or a server, writes later is newer. */
static void test_a_change_makes_a_new_version(void)
{
	struct store_item item = {.key = "servers/i-2", .value = "{}"};
	struct settings settings;
	struct fleet *f = started(&settings);
	uint64_t first = f->conf->version;

	item.revision = store_revision + 1;
	source_take(&item);
	store_source.as_of = store_revision + 1;
	source_publish();
	CU_ASSERT_TRUE(f->conf->version > first);
}

/*
 * Guards against the whole configuration being sent, by each VM that has restarted, to each that
 * lacks a change of one server; and against an evacuation that such a VM never heard to end.
 */
static void test_a_restarted_vm_tells_what_servers_changed(void)
{
	struct store_item item = {.key = "servers/i-2", .value = "{}"};
	struct settings settings;
	struct fleet *f;
	struct page p;
	guint i, pools = 0, ended = 0;

	started(&settings);
	item.revision = store_revision + 1;
	store_source.listed_all = false;
	f = store_source.f;
	conf_free(f->conf);
	f->conf = conf_create();
	source_take(&item);
	store_source.as_of = store_revision + 1;
	store_source.listed_all = true;
	store_source.conf_changed = true;
	source_publish();
	CU_ASSERT_TRUE(f->conf->version > DOCUMENT_REVISION * 8);
	page_cut(f->conf, DOCUMENT_REVISION * 8, "", 100000, &p);
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
	page_cut(f->conf, DOCUMENT_REVISION * 8 - 1, "", 100000, &p);
	CU_ASSERT_TRUE(p.u.full);
	conf_update_clear(&p.u);
}

/* A VM whose watch broke goes on with a key that was withdrawn meanwhile. */
static void test_a_list_after_a_broken_watch_is_not_stale(void)
{
	const struct store_answer compacted = {.status = STORE_COMPACTED};
	struct settings settings;

	n_lists = n_stale_lists = n_unlisted = 0;
	started(&settings);
	CU_ASSERT_EQUAL(n_lists, 1);
	watch_done(&compacted, NULL);
	CU_ASSERT_EQUAL(n_lists, 2);
	CU_ASSERT_EQUAL(n_stale_lists, 0);
}

/* Guards against changes being missed by a watch from a revision that is given out again. */
static void test_another_era_ends_the_watch(void)
{
	struct settings settings;

	era = 1;
	n_lists = n_cancelled = n_unlisted = 0;
	started(&settings);
	store_source.store->era(1, NULL);
	CU_ASSERT_EQUAL(n_lists, 1);
	era = 2;
	store_source.store->era(2, NULL);
	CU_ASSERT_EQUAL(n_cancelled, 1);
	CU_ASSERT_EQUAL(n_lists, 2);
	CU_ASSERT_EQUAL(store_source.as_of, era_revision(2, store_revision));
	CU_ASSERT_FALSE(fleet_store_is_current(era_revision(1, 3)));
	CU_ASSERT_TRUE(fleet_store_is_current(era_revision(2, 3)));
	/* An answer of before that comes late changes nothing. */
	store_source.store->era(1, NULL);
	CU_ASSERT_TRUE(fleet_store_is_current(era_revision(2, 3)));
	era = 0;
}

/* Guards against a VM that trusts its lease, or an evacuation, being taken for ended by a restore.
 */
static void test_what_the_store_lost_counts_for_a_lease(void)
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

	f = started_in_first_era(&settings);
	source_take(&other);
	source_take(&evacuation);
	store_source.as_of = evacuation.revision;
	source_publish();
	CU_ASSERT_PTR_NOT_NULL(peers_find(&f->peers, "vm-2"));
	era = 2;
	store_source.store->era(2, NULL);
	CU_ASSERT_PTR_NOT_NULL(peers_find(&f->peers, "vm-2"));
	CU_ASSERT_TRUE(conf_evacuated(f->conf, "dc"));
	CU_ASSERT_TRUE(store_source.keeps);
	CU_ASSERT_FALSE(fleet_store_settled(f));
	store_source.era.since_us -= LEASE_TTL_US;
	store_source.lease = 7;
	store_source.lease_asked = false;
	store_source.registered = true;
	store_source.lease_next_us = now_us() + USEC_PER_SEC;
	CU_ASSERT_TRUE(fleet_store_settled(f));
	event_base_loopexit(f->service.kernel->base, &tick);
	event_base_dispatch(f->service.kernel->base);
	CU_ASSERT_PTR_NULL(peers_find(&f->peers, "vm-2"));
	CU_ASSERT_FALSE(conf_evacuated(f->conf, "dc"));
	era = 0;
}

/* Guards against a VM never being listed whose first write of its key gets no answer. */
static void test_a_first_registration_is_tried_again(void)
{
	const struct timeval tick = {.tv_usec = 250000};
	struct settings settings;
	struct fleet *f;

	f = started_in_first_era(&settings);
	store_source.lease = 7;
	store_source.lease_era = 1;
	store_source.lease_asked = false;
	event_base_loopexit(f->service.kernel->base, &tick);
	event_base_dispatch(f->service.kernel->base);
	CU_ASSERT_EQUAL(fleet_store_registration(f), 1);
	era = 0;
}

/** The store comes back from an older copy. */
static void restored(void)
{
	era++;
	store_source.store->era(era, NULL);
}

/* Guards against a configuration of before being in force until operators have written again. */
static void test_an_older_document_is_not_put_in_force(void)
{
	struct settings settings;
	struct fleet *f;

	document_version = 49;
	f = started_in_first_era(&settings);
	CU_ASSERT_EQUAL(conf_team(f->conf, "clerks")->rate, 8 + 49);
	document_version = 43;
	restored();
	CU_ASSERT_EQUAL(conf_team(f->conf, "clerks")->rate, 8 + 49);
	document_version = 51;
	restored();
	CU_ASSERT_EQUAL(conf_team(f->conf, "clerks")->rate, 8 + 51);
	document_version = era = 0;
}

/* Guards against a server that leaves being used again, for as long once more. */
static void test_a_leaving_server_does_not_return_with_its_former_entry(void)
{
	struct settings settings;
	struct fleet *f;

	server_born = 1000;
	server_sequence = 50;
	server_leaving = true;
	f = started_in_first_era(&settings);
	CU_ASSERT_TRUE(conf_pool(f->conf, "p")->member[0].leaving);
	server_sequence = 20;
	server_leaving = false;
	restored();
	CU_ASSERT_TRUE(conf_pool(f->conf, "p")->member[0].leaving);
	/* Another process under the same id begins anew. */
	server_born = 2000;
	server_sequence = 1;
	restored();
	CU_ASSERT_FALSE(conf_pool(f->conf, "p")->member[0].leaving);
	server_born = server_sequence = era = 0;
}

static unsigned news_of_groups;

static void on_record(const struct store_item *item, void *owner)
{
	struct fleet *f = owner;

	CU_ASSERT_TRUE(f->conf->version > 0);
	news_of_groups++;
}

/* Owners of groups stay unknown after a start, since their records come before the groups do. */
static void test_a_list_is_told_when_it_is_in_force(void)
{
	struct store_item record = {
		.key = FLEET_STORE_PREFIX "group/p", .value = "{}", .revision = 4};
	struct settings settings;
	struct fleet *f = started(&settings);

	news_of_groups = 0;
	fleet_store_listen(f, FLEET_STORE_PREFIX "group/", on_record, f);
	store_source.listed_all = false;
	source_take(&record);
	CU_ASSERT_EQUAL(news_of_groups, 0);
	store_source.listed_all = true;
	source_notify_pending();
	CU_ASSERT_EQUAL(news_of_groups, 1);
	record.revision = 6;
	source_take(&record);
	CU_ASSERT_EQUAL(news_of_groups, 2);
}

/* Each VM of a fleet that starts watches the store, since the list that it read names no other. */
static void test_a_vm_that_is_not_listed_yet_watches_nothing(void)
{
	const struct timeval tv = {.tv_sec = 3};
	struct settings settings;
	struct fleet *f;

	n_lists = n_stale_lists = 0;
	n_unlisted = 5;
	watch_done = NULL;
	f = started(&settings);
	CU_ASSERT_TRUE(f->conf->version > 0);
	CU_ASSERT_PTR_NULL(watch_done);
	event_base_loopexit(f->service.kernel->base, &tv);
	event_base_dispatch(f->service.kernel->base);
	CU_ASSERT_EQUAL(n_lists, 6);
	CU_ASSERT_EQUAL(n_stale_lists, 4);
	CU_ASSERT_PTR_NOT_NULL(watch_done);
	n_unlisted = 0;
}

/* A store that turns many VMs away is asked by each of them again and again. */
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
	/* The call that follows the outage is still in time. */
	CU_ASSERT_TRUE(at_us <= left_us);
	CU_ASSERT_EQUAL(source_lease_retry_us(0), 500 * USEC_PER_MSEC);
}

static const struct test_case cases[] = {
	{"a_lease_is_renewed_in_time_by_few_calls", test_a_lease_is_renewed_in_time_by_few_calls},
	{"a_list_is_told_when_it_is_in_force", test_a_list_is_told_when_it_is_in_force},
	{"a_vm_that_is_not_listed_yet_watches_nothing",
	 test_a_vm_that_is_not_listed_yet_watches_nothing},
	{"a_list_after_a_broken_watch_is_not_stale", test_a_list_after_a_broken_watch_is_not_stale},
	{"another_era_ends_the_watch", test_another_era_ends_the_watch},
	{"what_the_store_lost_counts_for_a_lease", test_what_the_store_lost_counts_for_a_lease},
	{"a_first_registration_is_tried_again", test_a_first_registration_is_tried_again},
	{"an_older_document_is_not_put_in_force", test_an_older_document_is_not_put_in_force},
	{"a_leaving_server_does_not_return_with_its_former_entry",
	 test_a_leaving_server_does_not_return_with_its_former_entry},
	{"a_start_makes_no_new_version", test_a_start_makes_no_new_version},
	{"a_restarted_vm_tells_what_servers_changed",
	 test_a_restarted_vm_tells_what_servers_changed},
	{"a_change_makes_a_new_version", test_a_change_makes_a_new_version},
};
HARNESS_MAIN("store-list", cases)
