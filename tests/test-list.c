/** @file test-list.c Exchange of the list of VMs between peers: changes, removals and late answers.
 */
#include "fleet.h"
#include "harness.h"

#include <string.h>

#define VM(name) "{\"name\":\"" name "\",\"address\":\"127.0.0.1:2\",\"data_center\":\"dc\"}"

/** A VM with its own list. */
struct list_vm {
	struct settings settings;
	struct kernel *k;
	struct fleet *f;
};

static void list_vm_open(struct list_vm *w, const char *name)
{
	memset(w, 0, sizeof(*w));
	g_strlcpy(w->settings.name, name, sizeof(w->settings.name));
	g_strlcpy(w->settings.advertise, "127.0.0.1:1", sizeof(w->settings.advertise));
	g_strlcpy(w->settings.data_center, "dc", sizeof(w->settings.data_center));
	w->settings.silent_ms = 600;
	w->settings.heartbeat_ms = 1000;
	w->k = kernel_create(&w->settings);
	rpc_service_create(w->k);
	fleet_service_create(w->k);
	w->f = fleet_of(w->k);
}

static bool has_vm(const struct list_vm *w, const char *vm)
{
	return peers_find(&w->f->peers, vm) != NULL;
}

/** Changes one entry of the list and puts the list in force; NULL as @a value removes the entry. */
static void change_entry(struct list_vm *w, const char *vm, const char *value, uint64_t revision)
{
	fleet_list_put(w->f, vm, value, revision);
	fleet_list_publish(w->f, revision);
}

/** Transfers the changes of the list from @a from to @a to. @return the number of entries sent */
static unsigned transfer(struct list_vm *to, const struct list_vm *from)
{
	ml_conf_res res = {0};
	unsigned n;

	fleet_list_write_changes(from->f, to->f->peers.revision, &res);
	n = res.vms.vms_len;
	fleet_list_apply_changes(to->f, &res);
	g_free(res.vms.vms_val);
	return n;
}

static void test_only_changed_entries_are_sent(void)
{
	struct list_vm a, b;

	list_vm_open(&a, "vm-1");
	list_vm_open(&b, "vm-2");
	fleet_apply_vms(a.f, 10, "[" VM("vm-1") "," VM("vm-2") "," VM("vm-3") "]");
	CU_ASSERT_EQUAL(transfer(&b, &a), 3);
	CU_ASSERT_TRUE(has_vm(&b, "vm-3"));
	CU_ASSERT_EQUAL(transfer(&b, &a), 0);
	change_entry(&a, "vm/vm-4", VM("vm-4"), 12);
	CU_ASSERT_EQUAL(transfer(&b, &a), 1);
	CU_ASSERT_TRUE(has_vm(&b, "vm-3") && has_vm(&b, "vm-4"));
	change_entry(&a, "vm/vm-3", NULL, 13);
	CU_ASSERT_EQUAL(transfer(&b, &a), 1);
	CU_ASSERT_FALSE(has_vm(&b, "vm-3"));
	CU_ASSERT_EQUAL(b.f->peers.revision, 13);
}

/*
 * Guards against a removed VM that stays on a peer's list forever, so that its share of the rates
 * and its roles stay assigned to it. A peer that started after the removal has no record of it, so
 * it must send its full list to a VM whose list is older than the changes that it knows.
 */
static void test_entries_removed_before_peer_start_are_dropped(void)
{
	struct list_vm a, b;

	list_vm_open(&a, "vm-1");
	list_vm_open(&b, "vm-2");
	fleet_apply_vms(b.f, 11, "[" VM("vm-1") "," VM("vm-2") "," VM("vm-9") "]");
	fleet_apply_vms(a.f, 20, "[" VM("vm-1") "," VM("vm-2") "]");
	transfer(&b, &a);
	CU_ASSERT_FALSE(has_vm(&b, "vm-9"));
	CU_ASSERT_EQUAL(b.f->peers.revision, 20);
}

/* Guards against a delayed answer that restores an entry which was removed meanwhile. */
static void test_a_late_answer_changes_nothing(void)
{
	ml_conf_res late = {0};
	struct list_vm a, b;

	list_vm_open(&a, "vm-1");
	list_vm_open(&b, "vm-2");
	fleet_apply_vms(a.f, 10, "[" VM("vm-1") "," VM("vm-2") "," VM("vm-3") "]");
	fleet_list_write_changes(a.f, 0, &late);
	change_entry(&a, "vm/vm-3", NULL, 12);
	transfer(&b, &a);
	CU_ASSERT_FALSE(has_vm(&b, "vm-3"));
	fleet_list_apply_changes(b.f, &late);
	CU_ASSERT_FALSE(has_vm(&b, "vm-3"));
	CU_ASSERT_EQUAL(b.f->peers.revision, 12);
	g_free(late.vms.vms_val);
}

/* Guards against a malformed entry that removes the VM; the previous entry must stay in force. */
static void test_malformed_entry_keeps_previous_one(void)
{
	struct list_vm a;

	list_vm_open(&a, "vm-1");
	fleet_apply_vms(a.f, 10, "[" VM("vm-1") "," VM("vm-3") "]");
	change_entry(&a, "vm/vm-3", "{\"nam", 12);
	CU_ASSERT_TRUE(has_vm(&a, "vm-3"));
	change_entry(&a, "vm/vm-3", "[]", 13);
	CU_ASSERT_TRUE(has_vm(&a, "vm-3"));
}

/* Guards against taking a VM for another whose name is the beginning of its name. */
static void test_entry_with_too_long_a_name_is_malformed(void)
{
	char name[NAME_SIZE + 1], *value;
	struct list_vm w;

	memset(name, 'n', NAME_SIZE);
	name[NAME_SIZE] = '\0';
	list_vm_open(&w, "vm-1");
	value = g_strdup_printf("{\"name\":\"%s\",\"address\":\"127.0.0.1:9\"}", name);
	change_entry(&w, "mangoloom/vms/x", value, 5);
	g_free(value);
	name[NAME_SIZE - 1] = '\0';
	CU_ASSERT_FALSE(has_vm(&w, name));
	value = g_strdup_printf("{\"name\":\"%s\",\"address\":\"127.0.0.1:9\"}", name);
	change_entry(&w, "mangoloom/vms/x", value, 6);
	g_free(value);
	CU_ASSERT_TRUE(has_vm(&w, name));
}

static const struct test_case cases[] = {
	{"only_changed_entries_are_sent", test_only_changed_entries_are_sent},
	{"entries_removed_before_peer_start_are_dropped",
	 test_entries_removed_before_peer_start_are_dropped},
	{"a_late_answer_changes_nothing", test_a_late_answer_changes_nothing},
	{"malformed_entry_keeps_previous_one", test_malformed_entry_keeps_previous_one},
	{"entry_with_too_long_a_name_is_malformed", test_entry_with_too_long_a_name_is_malformed},
};
HARNESS_MAIN("list", cases)
