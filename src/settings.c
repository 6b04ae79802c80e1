/** @file settings.c Reading and checking of the daemon's settings file. */
#include "settings.h"

#include "error.h"

#include <string.h>

#define FIELD(field, k, t, ...)                                                                    \
	{                                                                                          \
		.key = (k), .type = (t), .offset = offsetof(struct settings, field), __VA_ARGS__   \
	}
#define DAY_MS 86400000.0
/** Fraction of grace_s that a graceful shutdown may use. */
#define DRAIN_GRACE_FRACTION 0.85

static const struct schema_field vm_fields[] = {
	FIELD(name, "name", SCHEMA_NAME, .required = true),
	FIELD(data_center, "data_center", SCHEMA_NAME, .required = true),
	FIELD(caller_address, "caller_address", SCHEMA_ADDRESS, .required = true),
	FIELD(rpc_address, "rpc_address", SCHEMA_ADDRESS, .required = true),
	FIELD(advertise, "advertise", SCHEMA_ADDRESS),
	FIELD(ready_address, "ready_address", SCHEMA_ADDRESS),
	FIELD(metrics_address, "metrics_address", SCHEMA_ADDRESS),
	FIELD(grace_s, "grace_s", SCHEMA_DOUBLE, .min = 0, .max = 86400, .fallback = "0"),
	FIELD(drain_ms, "drain_ms", SCHEMA_UINT, .min = 0, .max = DAY_MS, .fallback = "10000"),
	FIELD(member_leave_ms, "member_leave_ms", SCHEMA_UINT, .min = 100, .max = DAY_MS,
	      .fallback = "7000"),
	FIELD(evacuate_ms, "evacuate_ms", SCHEMA_UINT, .min = 100, .max = DAY_MS,
	      .fallback = "5000"),
};

static const struct schema_field platform_fields[] = {
	FIELD(platform_timeout_ms, "timeout_ms", SCHEMA_UINT, .min = 10, .max = 60000,
	      .fallback = "2000"),
	FIELD(platform_kind, "kind", SCHEMA_CHOICE, .fallback = "etcd",
	      .choices = {"etcd", "prepared"}),
	FIELD(promoter_address, "promoter", SCHEMA_ADDRESS),
};

static const struct schema_field caller_fields[] = {
	FIELD(callers_max, "max", SCHEMA_UINT, .min = 1, .max = 1000000, .fallback = "10000"),
	FIELD(idle_ms, "idle_ms", SCHEMA_UINT, .min = 10, .max = DAY_MS, .fallback = "3600000"),
	FIELD(message_ms, "message_ms", SCHEMA_UINT, .min = 10, .max = DAY_MS, .fallback = "10000"),
	FIELD(message_max, "message_max", SCHEMA_UINT, .min = 1024, .max = 67108864,
	      .fallback = "1048576"),
	FIELD(result_max, "result_max", SCHEMA_UINT, .min = 1024, .max = 67108864,
	      .fallback = "16777216"),
	FIELD(deadline_ms, "deadline_ms", SCHEMA_UINT, .min = 1, .max = DAY_MS,
	      .fallback = "15000"),
};

static const struct schema_field tls_fields[] = {
	FIELD(tls_certificate, "certificate", SCHEMA_PATH),
	FIELD(tls_key, "key", SCHEMA_PATH),
	FIELD(tls_required, "required", SCHEMA_BOOL),
};

static const struct schema_field key_fields[] = {
	FIELD(stale_keys_ms, "trust_without_news_ms", SCHEMA_UINT, .min = 0, .max = DAY_MS,
	      .fallback = "0"),
};

static const struct schema_field rpc_fields[] = {
	FIELD(rpc_secret, "secret", SCHEMA_PATH),
	FIELD(heartbeat_ms, "heartbeat_ms", SCHEMA_UINT, .min = 10, .max = 60000,
	      .fallback = "500"),
	FIELD(rpc_idle_ms, "idle_ms", SCHEMA_UINT, .min = 1000, .max = DAY_MS, .fallback = "15000"),
	FIELD(silent_ms, "silent_ms", SCHEMA_UINT, .min = 50, .max = 60000, .fallback = "1200"),
};

static const struct schema_field database_fields[] = {
	FIELD(probe_ms, "probe_ms", SCHEMA_UINT, .min = 10, .max = 60000, .fallback = "150"),
	FIELD(probe_timeout_ms, "probe_timeout_ms", SCHEMA_UINT, .min = 10, .max = 60000,
	      .fallback = "300"),
	FIELD(queue_max, "queue_max", SCHEMA_UINT, .min = 1, .max = 1000000, .fallback = "2000"),
	FIELD(hold_connection_ms, "hold_connection_ms", SCHEMA_UINT, .min = 10, .max = DAY_MS,
	      .fallback = "10000"),
};

static const struct schema_field rate_fields[] = {
	FIELD(rate_window_s, "window_s", SCHEMA_DOUBLE, .min = 0, .max = 3600, .fallback = "0"),
	FIELD(rate_overshoot, "overshoot", SCHEMA_DOUBLE, .min = 0, .max = 10, .fallback = "0"),
	FIELD(rate_slack, "slack", SCHEMA_DOUBLE, .min = 0, .max = 1e6, .fallback = "0"),
};

static const struct schema_field admission_fields[] = {
	FIELD(admission_by_priority, "by_priority", SCHEMA_BOOL),
};

static const struct schema_field connection_fields[] = {
	FIELD(connection_budget, "budget", SCHEMA_BOOL),
	FIELD(connection_urgent_share, "urgent_share", SCHEMA_DOUBLE, .min = 0, .max = 0.5,
	      .fallback = "0.1"),
	FIELD(connection_resting_share, "resting_share", SCHEMA_DOUBLE, .min = 0.1, .max = 1,
	      .fallback = "0.5"),
	FIELD(connection_preopen, "preopen", SCHEMA_BOOL),
};

static const struct schema_field queue_fields[] = {
	FIELD(queue_by_aim, "by_aim", SCHEMA_BOOL),
};

static const struct schema_field placement_fields[] = {
	FIELD(member_load, "member_load", SCHEMA_BOOL),
	FIELD(rebalance, "rebalance", SCHEMA_CHOICE, .fallback = "off",
	      .choices = {"off", "manual", "auto"}),
	FIELD(rebalance_pause_s, "rebalance_pause_s", SCHEMA_UINT, .min = 1, .max = 86400,
	      .fallback = "60"),
};

static const struct schema_field path_fields[] = {
	FIELD(relay, "relay", SCHEMA_BOOL),
};

static const struct schema_field log_fields_table[] = {
	FIELD(log_path, "path", SCHEMA_PATH),
	FIELD(log_format, "format", SCHEMA_CHOICE, .fallback = "text", .choices = {"text", "json"}),
	FIELD(log_level, "level", SCHEMA_CHOICE, .fallback = "info",
	      .choices = {"error", "warning", "info", "debug"}),
	FIELD(trace_path, "trace", SCHEMA_PATH),
};

static const char *const platform_other_keys[] = {"endpoints", NULL};
static const char *const rpc_other_keys[] = {"seeds", NULL};

static const struct {
	const char *name;
	const struct schema_field *fields;
	unsigned n;
	const char *const *other_keys;
} sections[] = {
	{"vm", vm_fields, G_N_ELEMENTS(vm_fields), NULL},
	{"platform", platform_fields, G_N_ELEMENTS(platform_fields), platform_other_keys},
	{"callers", caller_fields, G_N_ELEMENTS(caller_fields), NULL},
	{"tls", tls_fields, G_N_ELEMENTS(tls_fields), NULL},
	{"keys", key_fields, G_N_ELEMENTS(key_fields), NULL},
	{"rpc", rpc_fields, G_N_ELEMENTS(rpc_fields), rpc_other_keys},
	{"databases", database_fields, G_N_ELEMENTS(database_fields), NULL},
	{"rates", rate_fields, G_N_ELEMENTS(rate_fields), NULL},
	{"admission", admission_fields, G_N_ELEMENTS(admission_fields), NULL},
	{"connections", connection_fields, G_N_ELEMENTS(connection_fields), NULL},
	{"queue", queue_fields, G_N_ELEMENTS(queue_fields), NULL},
	{"placement", placement_fields, G_N_ELEMENTS(placement_fields), NULL},
	{"paths", path_fields, G_N_ELEMENTS(path_fields), NULL},
	{"log", log_fields_table, G_N_ELEMENTS(log_fields_table), NULL},
};

const char *settings_log_level(const struct settings *s)
{
	return log_fields_table[2].choices[s->log_level];
}

static gboolean set_invalid_addresses(const char *where, const char *key, unsigned min_count,
				      GError **error)
{
	g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
		    "%s: %s: found something else; allowed: a list of %u to %d texts \"ip:port\"",
		    where, key, min_count, SETTINGS_ADDRESSES_MAX);
	return FALSE;
}

/** Reads the list of addresses @a key of a section. The key may be missing if @a min_count is 0. */
static gboolean read_addresses(JsonObject *section, const char *where, const char *key,
			       unsigned min_count, char (*out)[ADDRESS_SIZE], unsigned *n,
			       GError **error)
{
	const struct schema_field item = {.key = key, .type = SCHEMA_ADDRESS, .required = true};
	JsonNode *node = json_object_get_member(section, key);
	JsonArray *list;
	guint i;

	if (node == NULL && min_count == 0)
		return TRUE;
	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node))
		return set_invalid_addresses(where, key, min_count, error);
	list = json_node_get_array(node);
	*n = json_array_get_length(list);
	if (*n < min_count || *n > SETTINGS_ADDRESSES_MAX)
		return set_invalid_addresses(where, key, min_count, error);
	for (i = 0; i < *n; i++) {
		JsonObject *one = json_object_new();
		gboolean ok;

		json_object_set_member(one, key, json_node_copy(json_array_get_element(list, i)));
		ok = schema_read(one, where, &item, 1, NULL, out[i], error);
		json_object_unref(one);
		if (!ok)
			return FALSE;
	}
	return TRUE;
}

static gboolean read_section(JsonObject *root, const char *path, unsigned i, struct settings *s,
			     GError **error)
{
	char *where = g_strdup_printf("%s: [%s]", path, sections[i].name);
	JsonObject *o = schema_table(root, path, sections[i].name, error);
	gboolean ok = o != NULL;

	ok = ok && schema_read(o, where, sections[i].fields, sections[i].n, sections[i].other_keys,
			       s, error);
	if (ok && sections[i].other_keys == platform_other_keys)
		ok = read_addresses(o, where, "endpoints", 1, s->platform, &s->platforms, error);
	if (ok && sections[i].other_keys == rpc_other_keys)
		ok = read_addresses(o, where, "seeds", 0, s->seed, &s->seeds, error);
	if (o != NULL)
		json_object_unref(o);
	g_free(where);
	return ok;
}

static gboolean check_combinations(const char *path, const struct settings *s, GError **error)
{
	if ((s->tls_certificate[0] != '\0') != (s->tls_key[0] != '\0')) {
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS,
			    "%s: [tls]: found one of certificate and key; allowed: both or none",
			    path);
		return FALSE;
	}
	if (s->tls_required && s->tls_key[0] == '\0') {
		g_set_error(
			error, ML_ERROR, ML_ERROR_SETTINGS,
			"%s: [tls]: required: found true without a certificate; allowed: with one",
			path);
		return FALSE;
	}
	return TRUE;
}

gboolean settings_load(const char *path, struct settings *s, GError **error)
{
	const char *known[G_N_ELEMENTS(sections) + 1] = {NULL};
	JsonObject *root;
	gboolean ok;
	unsigned i;

	memset(s, 0, sizeof(*s));
	root = schema_load(path, error);
	if (root == NULL)
		return FALSE;
	for (i = 0; i < G_N_ELEMENTS(sections); i++)
		known[i] = sections[i].name;
	ok = schema_read(root, path, NULL, 0, known, s, error);
	for (i = 0; i < G_N_ELEMENTS(sections) && ok; i++)
		ok = read_section(root, path, i, s, error);
	ok = ok && check_combinations(path, s, error);
	if (ok && s->grace_s > 0)
		s->drain_ms = (unsigned)(s->grace_s * DRAIN_GRACE_FRACTION * 1000);
	if (ok && s->advertise[0] == '\0')
		memcpy(s->advertise, s->rpc_address, sizeof(s->advertise));
	json_object_unref(root);
	return ok;
}
