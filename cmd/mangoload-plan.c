/** @file mangoload-plan.c Parser of the load plan. */
#include "mangoload.h"

#include "error.h"

#include <signal.h>
#include <stddef.h>
#include <string.h>

#define F(st, field, k, t, ...)                                                                    \
	{                                                                                          \
		.key = (k), .type = (t), .offset = offsetof(struct st, field), __VA_ARGS__         \
	}
#define HOUR_MS 3600000.0

static const struct schema_field plan_fields[] = {
	F(load_plan, seconds, "seconds", SCHEMA_UINT, .required = true, .min = 1, .max = 3600),
	F(load_plan, deadline_ms, "deadline_ms", SCHEMA_UINT, .min = 1, .max = HOUR_MS,
	  .fallback = "5000"),
	F(load_plan, roam, "roam", SCHEMA_DOUBLE, .min = 0, .max = 1, .fallback = "0.1"),
	F(load_plan, table, "table", SCHEMA_NAME, .fallback = "orders"),
	F(load_plan, secret, "secret", SCHEMA_PATH),
};

static const struct schema_field team_fields[] = {
	F(load_team, name, "name", SCHEMA_NAME, .required = true),
	F(load_team, key_file, "key_file", SCHEMA_PATH, .required = true),
	F(load_team, rate, "rate", SCHEMA_DOUBLE, .min = 0, .max = 1e9, .fallback = "0"),
	F(load_team, burst, "burst", SCHEMA_DOUBLE, .min = 0, .max = 1e9, .fallback = "0"),
	F(load_team, arrivals, "arrivals", SCHEMA_DOUBLE, .required = true, .min = 0, .max = 1e6),
	F(load_team, surge, "surge", SCHEMA_DOUBLE, .min = 0, .max = 1000, .fallback = "1"),
	F(load_team, surge_from_ms, "surge_from_ms", SCHEMA_UINT, .min = 0, .max = HOUR_MS,
	  .fallback = "0"),
	F(load_team, surge_until_ms, "surge_until_ms", SCHEMA_UINT, .min = 0, .max = HOUR_MS,
	  .fallback = "0"),
	F(load_team, sessions, "sessions", SCHEMA_UINT, .min = 1, .max = 1000, .fallback = "8"),
};

static const struct schema_field kind_fields[] = {
	F(load_kind, name, "name", SCHEMA_NAME, .required = true),
	F(load_kind, write, "write", SCHEMA_BOOL, .fallback = "false"),
	F(load_kind, share, "share", SCHEMA_DOUBLE, .required = true, .min = 0, .max = 1),
};

static const struct schema_field fault_fields[] = {
	F(load_fault, at_ms, "at_ms", SCHEMA_UINT, .required = true, .min = 0, .max = HOUR_MS),
	F(load_fault, pid_file, "pid_file", SCHEMA_PATH, .required = true),
	F(load_fault, signal, "signal", SCHEMA_CHOICE, .required = true,
	  .choices = {"kill", "stop", "cont", "term"}),
};

static const struct schema_field address_field[] = {
	{.key = "address", .type = SCHEMA_ADDRESS, .required = true},
};

int load_signal_number(int choice)
{
	static const int numbers[] = {SIGKILL, SIGSTOP, SIGCONT, SIGTERM};

	return numbers[choice];
}

/** Arrays of tables in the plan, and where they are stored in struct load_plan. */
static const struct plan_list {
	const char *key;
	const struct schema_field *fields;
	unsigned n_fields;
	size_t count, first; /**< offsets of the element count and of the first element */
	size_t size;	     /**< size of an element in bytes */
	unsigned max;	     /**< limit of the number of elements */
} plan_lists[] = {
	{"vm", address_field, 1, offsetof(struct load_plan, n_vms), offsetof(struct load_plan, vm),
	 ADDRESS_SIZE, LOAD_VMS_MAX},
	{"rpc", address_field, 1, offsetof(struct load_plan, n_rpc),
	 offsetof(struct load_plan, rpc), ADDRESS_SIZE, LOAD_VMS_MAX},
	{"member", address_field, 1, offsetof(struct load_plan, n_members),
	 offsetof(struct load_plan, member), ADDRESS_SIZE, LOAD_MEMBERS_MAX},
	{"team", team_fields, G_N_ELEMENTS(team_fields), offsetof(struct load_plan, n_teams),
	 offsetof(struct load_plan, team), sizeof(struct load_team), LOAD_TEAMS_MAX},
	{"kind", kind_fields, G_N_ELEMENTS(kind_fields), offsetof(struct load_plan, n_kinds),
	 offsetof(struct load_plan, kind), sizeof(struct load_kind), LOAD_KINDS_MAX},
	{"fault", fault_fields, G_N_ELEMENTS(fault_fields), offsetof(struct load_plan, n_faults),
	 offsetof(struct load_plan, fault), sizeof(struct load_fault), LOAD_FAULTS_MAX},
};

static gboolean read_list(JsonObject *root, const char *path, const struct plan_list *list,
			  struct load_plan *plan, GError **error)
{
	unsigned *count = (unsigned *)(void *)((char *)plan + list->count);
	char *first = (char *)plan + list->first;
	JsonArray *tables;
	unsigned i;

	if (!schema_tables(root, path, list->key, &tables, error))
		return FALSE;
	*count = tables != NULL ? json_array_get_length(tables) : 0;
	if (*count > list->max) {
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
			    "%s: %s: found %u; allowed: at most %u", path, list->key, *count,
			    list->max);
		return FALSE;
	}
	for (i = 0; i < *count; i++) {
		char *where = g_strdup_printf("%s: %s %u", path, list->key, i + 1);
		gboolean ok =
			schema_read(json_array_get_object_element(tables, i), where, list->fields,
				    list->n_fields, NULL, first + i * list->size, error);

		g_free(where);
		if (!ok)
			return FALSE;
	}
	return TRUE;
}

/** Reads the API key of each team from its key_file. */
static gboolean read_team_keys(struct load_plan *plan, GError **error)
{
	unsigned i;

	for (i = 0; i < plan->n_teams; i++) {
		if (!g_file_get_contents(plan->team[i].key_file, &plan->team[i].key, NULL, error))
			return FALSE;
		g_strstrip(plan->team[i].key);
	}
	return TRUE;
}

gboolean load_plan_read(const char *path, struct load_plan *plan, GError **error)
{
	const char *known[G_N_ELEMENTS(plan_lists) + 1] = {NULL};
	JsonObject *root;
	gboolean ok;
	unsigned i;

	memset(plan, 0, sizeof(*plan));
	root = schema_load(path, error);
	if (root == NULL)
		return FALSE;
	for (i = 0; i < G_N_ELEMENTS(plan_lists); i++)
		known[i] = plan_lists[i].key;
	ok = schema_read(root, path, plan_fields, G_N_ELEMENTS(plan_fields), known, plan, error);
	for (i = 0; i < G_N_ELEMENTS(plan_lists) && ok; i++)
		ok = read_list(root, path, &plan_lists[i], plan, error);
	ok = ok && read_team_keys(plan, error);
	if (ok && (plan->n_vms == 0 || plan->n_teams == 0 || plan->n_kinds == 0)) {
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
			    "%s: found no vm, team or kind; allowed: one or more of each", path);
		ok = FALSE;
	}
	json_object_unref(root);
	return ok;
}

void load_plan_clear(struct load_plan *plan)
{
	unsigned i;

	for (i = 0; i < plan->n_teams; i++)
		g_free(plan->team[i].key);
}
