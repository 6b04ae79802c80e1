/**
 * @file mangoloom-store.c Reads the configuration tables from the platform's key-value service and
 * changes them by compare-and-swap.
 */
#include "error.h"
#include "json-text.h"
#include "mangoloom-cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Attempts to change one entry; after a conflict, the next attempt reads a new snapshot. */
#define ENTRY_ATTEMPTS_MAX 20
/** Attempts of one commit while the answers of the platform's service are lost. */
#define COMMIT_ATTEMPTS_MAX 5
#define RETRY_PAUSE_US (200 * USEC_PER_MSEC)
/** Timeout of the call that asks a VM for its version. */
#define VERSION_TIMEOUT_US (500 * USEC_PER_MSEC)
/** Pause between two rounds of asking the VMs for their version. */
#define CONFIRM_POLL_US (50 * USEC_PER_MSEC)
/** Number of changes kept in the history. */
#define HISTORY_CHANGES_MAX 200

void store_free(struct store_snapshot *s)
{
	g_ptr_array_unref(s->entries);
	g_free(s);
}

static void read_head(struct store_snapshot *s, const struct platform_kv *kv)
{
	JsonParser *parser = json_parser_new();
	JsonObject *o;
	int i;

	s->head_revision = kv->mod_revision;
	if (json_text_load(parser, kv->value, -1, NULL)) {
		o = json_node_get_object(json_parser_get_root(parser));
		s->version = (uint64_t)json_object_get_int_member_with_default(o, "version", 0);
		g_strlcpy(s->commit_id, json_object_get_string_member_with_default(o, "change", ""),
			  sizeof(s->commit_id));
		for (i = 0; i < TABLES; i++)
			s->table_version[i] = (uint64_t)json_object_get_int_member_with_default(
				o, table_name((enum table_id)i), 0);
	}
	g_object_unref(parser);
}

static bool read_entry(struct store_snapshot *s, const struct platform_kv *kv, GError **error)
{
	char *text;
	uint64_t version = strtoul(kv->value, &text, 10);
	struct conf_entry *e = table_entry_parse(kv->key + strlen(PLATFORM_ENTRY), version,
						 *text == ' ' ? text + 1 : text, error);

	if (e == NULL)
		return false;
	g_ptr_array_add(s->entries, e);
	return true;
}

struct store_snapshot *store_read(struct cli *cli, GError **error)
{
	struct platform_answer *a = cli_range(cli, PLATFORM_CONF, PLATFORM_CONF_END);
	struct store_snapshot *s;
	guint i;

	if (!a->ok) {
		cli_answer_free(a);
		g_set_error(error, ML_ERROR, ML_ERROR_PLATFORM,
			    "the platform's service does not answer");
		return NULL;
	}
	s = g_new0(struct store_snapshot, 1);
	s->entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	for (i = 0; i < a->kvs->len; i++) {
		const struct platform_kv *kv = g_ptr_array_index(a->kvs, i);

		if (strcmp(kv->key, PLATFORM_HEAD) == 0) {
			read_head(s, kv);
		} else if (!read_entry(s, kv, error)) {
			store_free(s);
			cli_answer_free(a);
			return NULL;
		}
	}
	cli_answer_free(a);
	return s;
}

static void add_write(GArray *writes, char *key, char *value)
{
	struct platform_write w = {.key = key, .value = value};

	g_array_append_val(writes, w);
}

static char *head_text(const struct store_snapshot *s, const struct store_change *c, const char *id)
{
	uint64_t next = s->version + 1;
	uint64_t routes = c->table_changed[TABLE_ROUTES] ? next : s->table_version[TABLE_ROUTES];
	uint64_t pools = c->table_changed[TABLE_POOLS] ? next : s->table_version[TABLE_POOLS];

	return g_strdup_printf("{\"version\":%lu,\"change\":\"%s\",\"routes\":%lu,\"pools\":%lu}",
			       next, id, routes, pools);
}

static char *history_text(struct cli *cli, const struct store_snapshot *s,
			  const struct store_change *c)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *when = g_date_time_format_iso8601(now);
	JsonObject *o = json_object_new();
	JsonNode *node = json_node_init_object(json_node_alloc(), o);
	char *text;

	json_object_set_int_member(o, "version", (gint64)s->version + 1);
	json_object_set_string_member(o, "time", when);
	json_object_set_string_member(o, "by", cli->opt.by);
	json_object_set_string_member(o, "change", c->summary);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	json_object_unref(o);
	g_free(when);
	g_date_time_unref(now);
	return text;
}

static GArray *change_writes(struct cli *cli, const struct store_snapshot *s,
			     const struct store_change *c, const char *id)
{
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(struct platform_write));
	uint64_t next = s->version + 1;
	guint i;

	add_write(writes, g_strdup(PLATFORM_HEAD), head_text(s, c, id));
	add_write(writes, g_strdup_printf(PLATFORM_HISTORY "%012lu", next),
		  history_text(cli, s, c));
	if (next > HISTORY_CHANGES_MAX)
		add_write(writes,
			  g_strdup_printf(PLATFORM_HISTORY "%012lu", next - HISTORY_CHANGES_MAX),
			  NULL);
	for (i = 0; i < c->puts->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(c->puts, i);

		add_write(writes, g_strdup_printf(PLATFORM_ENTRY "%s", e->id),
			  g_strdup_printf("%lu %s", next, e->text));
	}
	for (i = 0; i < c->removes->len; i++)
		add_write(writes,
			  g_strdup_printf(PLATFORM_ENTRY "%s",
					  (char *)g_ptr_array_index(c->removes, i)),
			  NULL);
	return writes;
}

static void writes_free(GArray *writes)
{
	guint i;

	for (i = 0; i < writes->len; i++) {
		g_free(g_array_index(writes, struct platform_write, i).key);
		g_free(g_array_index(writes, struct platform_write, i).value);
	}
	g_array_unref(writes);
}

enum commit_status {
	COMMIT_UNKNOWN = -2,  /**< the store could not be read */
	COMMIT_CONFLICT = -1, /**< another commit was made first */
	COMMIT_PENDING = 0,   /**< the head is unchanged: the write may still arrive */
	COMMIT_DONE = 1,
};

/**
 * Determines the outcome of commit @a id after a lost answer or a failed comparison, from the id in
 * the head: an earlier attempt may have committed although its answer was lost.
 */
static enum commit_status commit_check(struct cli *cli, const struct store_snapshot *s,
				       const char *id)
{
	struct store_snapshot *now = store_read(cli, NULL);
	enum commit_status status = COMMIT_CONFLICT;

	if (now == NULL)
		return COMMIT_UNKNOWN;
	if (strcmp(now->commit_id, id) == 0)
		status = COMMIT_DONE;
	else if (now->head_revision == s->head_revision)
		status = COMMIT_PENDING;
	store_free(now);
	return status;
}

uint64_t store_commit(struct cli *cli, const struct store_snapshot *s, const struct store_change *c,
		      GError **error)
{
	char *id = g_strdup_printf("%016lx", random_bits());
	GArray *writes = change_writes(cli, s, c, id);
	uint64_t version = 0;
	enum commit_status status = COMMIT_UNKNOWN;
	int attempt;

	for (attempt = 0; attempt < COMMIT_ATTEMPTS_MAX && version == 0; attempt++) {
		struct platform_answer *a =
			cli_cas(cli, PLATFORM_HEAD, s->head_revision,
				(const struct platform_write *)(void *)writes->data, writes->len);
		bool done = a->ok && a->succeeded;

		cli_answer_free(a);
		status = done ? COMMIT_DONE : commit_check(cli, s, id);
		if (status == COMMIT_DONE)
			version = s->version + 1;
		if (status == COMMIT_CONFLICT)
			break;
		if (status != COMMIT_DONE)
			cli_pause(cli, RETRY_PAUSE_US);
	}
	if (status == COMMIT_CONFLICT)
		g_set_error(error, ML_ERROR, ML_ERROR_CONFLICT,
			    "another change was committed first; nothing was changed");
	else if (version == 0)
		g_set_error(error, ML_ERROR, ML_ERROR_UNKNOWN,
			    "the platform's service does not answer; whether the change was made "
			    "is not known");
	writes_free(writes);
	g_free(id);
	return version;
}

const struct conf_entry *store_find(const GPtrArray *entries, const char *id)
{
	guint i;

	for (i = 0; i < entries->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(entries, i);

		if (strcmp(e->id, id) == 0)
			return e;
	}
	return NULL;
}

/** Puts @a put, or removes @a removed if @a put is NULL. Retries after a conflict. */
static uint64_t change_entry(struct cli *cli, struct conf_entry *put, const char *removed,
			     const char *summary, GError **error)
{
	uint64_t version = 0;
	int attempt;

	for (attempt = 0; attempt < ENTRY_ATTEMPTS_MAX && version == 0; attempt++) {
		struct store_change c = {.summary = summary};
		struct store_snapshot *s;

		g_clear_error(error);
		s = store_read(cli, error);
		if (s == NULL)
			return 0;
		c.puts = g_ptr_array_new();
		c.removes = g_ptr_array_new();
		if (put != NULL)
			g_ptr_array_add(c.puts, put);
		else
			g_ptr_array_add(c.removes, (char *)removed);
		version = store_commit(cli, s, &c, error);
		g_ptr_array_unref(c.puts);
		g_ptr_array_unref(c.removes);
		store_free(s);
		if (version == 0 && (*error)->code != ML_ERROR_CONFLICT)
			break;
	}
	return version;
}

uint64_t store_put_entry(struct cli *cli, struct conf_entry *e, const char *summary, GError **error)
{
	return change_entry(cli, e, NULL, summary, error);
}

uint64_t store_remove_entry(struct cli *cli, const char *id, const char *summary, GError **error)
{
	return change_entry(cli, NULL, id, summary, error);
}

/** Returns the configuration version in force at a VM; 0 if it does not answer. */
static uint64_t vm_version(struct cli *cli, const struct cli_vm *vm)
{
	ml_heartbeat request = {.vm = ""};
	ml_heartbeat res;
	uint64_t version;

	if (!cli_call(cli, vm->address, ML_HEARTBEAT, &request, &res, VERSION_TIMEOUT_US))
		return 0;
	version = res.conf_version;
	xdr_free((xdrproc_t)xdr_ml_heartbeat, &res);
	return version;
}

int store_wait_confirmed(struct cli *cli, uint64_t version, const char *what)
{
	int64_t until = now_us() + cli->opt.wait_ms * USEC_PER_MSEC;
	GArray *vms = cli_vms(cli);
	GString *unconfirmed = g_string_new(NULL);
	int code = EXIT_OK;
	guint i;

	do {
		g_string_truncate(unconfirmed, 0);
		for (i = 0; vms != NULL && i < vms->len; i++) {
			const struct cli_vm *vm = &g_array_index(vms, struct cli_vm, i);

			if (vm_version(cli, vm) < version)
				g_string_append_printf(unconfirmed, " %s", vm->name);
		}
		if (unconfirmed->len == 0)
			break;
		cli_pause(cli, CONFIRM_POLL_US);
	} while (now_us() < until);
	if (vms == NULL)
		code = cli_fail(EXIT_PARTIAL,
				"%s was committed as version %lu; the list of VMs cannot be read",
				what, version);
	else if (unconfirmed->len > 0)
		code = cli_fail(EXIT_PARTIAL,
				"%s was committed as version %lu; not confirmed by:%s", what,
				version, unconfirmed->str);
	if (vms != NULL)
		g_array_unref(vms);
	g_string_free(unconfirmed, TRUE);
	return code;
}
