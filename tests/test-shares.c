/** @file test-shares.c The service that admits requests by their teams' rates, on one VM. */
#include "fleet.h"
#include "harness.h"
#include "shares.h"
#include "table.h"

#include <string.h>

#define SELF "127.0.0.1:1"
#define TEAM "clerks"

struct world {
	struct settings settings;
	struct kernel *k;
	struct shares *shares;
};

static void add_team(struct world *w)
{
	struct conf_update u = {.full = true, .version = 1};
	struct conf_team team = {.name = TEAM, .rate = 100, .burst = 100};
	struct conf_entry *e = table_entry_make(CONF_TEAM, &team);

	e->version = 1;
	u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_ptr_array_add(u.entries, e);
	fleet_take_conf(fleet_of(w->k), &u, "test");
	conf_update_clear(&u);
}

static void world_open(struct world *w)
{
	struct service *s;

	memset(w, 0, sizeof(*w));
	g_strlcpy(w->settings.name, "vm-1", sizeof(w->settings.name));
	g_strlcpy(w->settings.advertise, SELF, sizeof(w->settings.advertise));
	w->settings.silent_ms = 600;
	w->settings.platform_kind = PLATFORM_ETCD;
	w->k = kernel_create(&w->settings);
	rpc_service_create(w->k);
	fleet_service_create(w->k);
	s = shares_service_create(w->k);
	w->shares = shares_of(w->k);
	CU_ASSERT_TRUE(s->ops->start(s, NULL));
	add_team(w);
}

static void run_ms(struct world *w, int ms)
{
	const struct timeval tv = {.tv_usec = ms * 1000};

	event_base_loopexit(w->k->base, &tv);
	event_base_dispatch(w->k->base);
}

static bool allocates(struct world *w)
{
	JsonBuilder *b = json_builder_new();
	JsonArray *teams;
	JsonNode *root;
	bool is;

	json_builder_begin_object(b);
	shares_json(w->shares, b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	teams = json_object_get_array_member(json_node_get_object(root), "teams");
	is = json_object_get_boolean_member(json_array_get_object_element(teams, 0), "allocator");
	json_node_unref(root);
	g_object_unref(b);
	return is;
}

/*
 * Whenever a VM starts, some teams' requests are refused all over the fleet for seconds.
 * Before it knows the other VMs, a VM takes itself for the allocator of all teams and binds itself
 * to an epoch of its own. When that epoch happens to be the higher one, the real allocator begins
 * again above it and must hear from all VMs anew before it gives out anything.
 */
static void test_no_allocator_before_the_list_is_known(void)
{
	const struct vm_listing self = {.name = "vm-1", .address = SELF, .data_center = "dc"};
	struct world w;

	world_open(&w);
	run_ms(&w, 60);
	CU_ASSERT_FALSE(allocates(&w));
	peers_list(&fleet_of(w.k)->peers, 5, &self, 1);
	fleet_members_changed(fleet_of(w.k));
	run_ms(&w, 400);
	CU_ASSERT_TRUE(allocates(&w));
}

static const struct test_case cases[] = {
	{"no_allocator_before_the_list_is_known", test_no_allocator_before_the_list_is_known},
};
HARNESS_MAIN("shares", cases)
