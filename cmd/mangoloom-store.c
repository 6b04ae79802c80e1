/**
 * @file mangoloom-store.c The tables as the platform keeps them, and changes to them by
 * compare-and-swap.
 */
#include "error.h"
#include "mangoloom-cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Tries of a change of one entry, each on top of what others changed. */
#define ENTRY_TRIES 20
/** Tries of one change while answers are lost. */
#define COMMIT_TRIES 5
#define RETRY_PAUSE_US (200 * USEC_PER_MSEC)
/** Changes kept in the history. */
#define HISTORY_MAX 200

void store_free(struct store *s)
{
	g_ptr_array_unref(s->entries);
	g_free(s);
}

static void read_head(struct store *s, const struct platform_kv *kv)
{
	JsonParser *parser = json_parser_new();
	JsonObject *o;
	int i;

	s->head_revision = kv->mod_revision;
	if (json_parser_load_from_data(parser, kv->value, -1, NULL)) {
		o = json_node_get_object(json_parser_get_root(parser));
		s->version = (uint64_t)json_object_get_int_member_with_default(o, "version", 0);
		g_strlcpy(s->change, json_object_get_string_member_with_default(o, "change", ""),
			  sizeof(s->change));
		for (i = 0; i < TABLES; i++)
			s->table_version[i] = (uint64_t)json_object_get_int_member_with_default(
				o, table_name((enum table_which)i), 0);
	}
	g_object_unref(parser);
}

static bool read_entry(struct store *s, const struct platform_kv *kv, GError **error)
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

struct store *store_read(struct cli *cli, GError **error)
{
	struct platform_answer *a = cli_range(cli, PLATFORM_CONF, PLATFORM_CONF_END);
	struct store *s;
	guint i;

	if (!a->ok) {
		cli_answer_free(a);
		g_set_error(error, ML_ERROR, ML_ERROR_PLATFORM,
			    "the platform's service does not answer");
		return NULL;
	}
	s = g_new0(struct store, 1);
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

static char *head_text(const struct store *s, const struct store_change *c, const char *id)
{
	uint64_t next = s->version + 1;
	uint64_t routes = c->touches[TABLE_ROUTES] ? next : s->table_version[TABLE_ROUTES];
	uint64_t pools = c->touches[TABLE_POOLS] ? next : s->table_version[TABLE_POOLS];

	return g_strdup_printf("{\"version\":%lu,\"change\":\"%s\",\"routes\":%lu,\"pools\":%lu}",
			       next, id, routes, pools);
}

static char *history_text(struct cli *cli, const struct store *s, const struct store_change *c)
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

static GArray *change_writes(struct cli *cli, const struct store *s, const struct store_change *c,
			     const char *id)
{
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(struct platform_write));
	uint64_t next = s->version + 1;
	guint i;

	add_write(writes, g_strdup(PLATFORM_HEAD), head_text(s, c, id));
	add_write(writes, g_strdup_printf(PLATFORM_HISTORY "%012lu", next),
		  history_text(cli, s, c));
	if (next > HISTORY_MAX)
		add_write(writes, g_strdup_printf(PLATFORM_HISTORY "%012lu", next - HISTORY_MAX),
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

/**
 * No answer came, or the comparison failed. Whose change is in force tells: it may be this one,
 * made by a try whose answer was lost.
 * @return 1 this one, 0 not (yet) made, -1 another one, -2 not known
 */
static int whose_change(struct cli *cli, const struct store *s, const char *id)
{
	struct store *now = store_read(cli, NULL);
	int verdict = -1;

	if (now == NULL)
		return -2;
	if (strcmp(now->change, id) == 0)
		verdict = 1;
	else if (now->head_revision == s->head_revision)
		verdict = 0;
	store_free(now);
	return verdict;
}

uint64_t store_commit(struct cli *cli, const struct store *s, const struct store_change *c,
		      GError **error)
{
	char *id = g_strdup_printf("%016lx", random_bits());
	GArray *writes = change_writes(cli, s, c, id);
	uint64_t made = 0;
	int verdict = -2;
	int try;

	for (try = 0; try < COMMIT_TRIES && made == 0; try++) {
		struct platform_answer *a =
			cli_cas(cli, PLATFORM_HEAD, s->head_revision,
				(const struct platform_write *)(void *)writes->data, writes->len);
		bool done = a->ok && a->succeeded;

		cli_answer_free(a);
		verdict = done ? 1 : whose_change(cli, s, id);
		if (verdict == 1)
			made = s->version + 1;
		if (verdict == -1)
			break;
		if (verdict != 1)
			cli_pause(cli, RETRY_PAUSE_US);
	}
	if (verdict == -1)
		g_set_error(error, ML_ERROR, ML_ERROR_CONFLICT,
			    "someone else made a change first; nothing was changed");
	else if (made == 0)
		g_set_error(error, ML_ERROR, ML_ERROR_UNKNOWN,
			    "the platform's service does not answer; whether the change was made "
			    "is not known");
	writes_free(writes);
	g_free(id);
	return made;
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

/** Make a change of one entry; others may make theirs meanwhile. */
static uint64_t change_entry(struct cli *cli, struct conf_entry *put, const char *removed,
			     const char *summary, GError **error)
{
	uint64_t version = 0;
	int try;

	for (try = 0; try < ENTRY_TRIES && version == 0; try++) {
		struct store_change c = {.summary = summary};
		struct store *s;

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

/** The version in force at a VM; 0 when it does not answer. */
static uint64_t vm_version(struct cli *cli, const struct cli_vm *vm)
{
	ml_heartbeat ask = {.vm = ""};
	ml_heartbeat res;
	uint64_t version;

	if (!cli_call(cli, vm->address, ML_HEARTBEAT, &ask, &res, 500 * USEC_PER_MSEC))
		return 0;
	version = res.conf_version;
	xdr_free((xdrproc_t)xdr_ml_heartbeat, &res);
	return version;
}

int store_wait(struct cli *cli, uint64_t version, const char *what)
{
	int64_t until = now_us() + cli->opt.wait_ms * USEC_PER_MSEC;
	GArray *vms = cli_vms(cli);
	GString *missing = g_string_new(NULL);
	int code = EXIT_OK;
	guint i;

	do {
		g_string_truncate(missing, 0);
		for (i = 0; vms != NULL && i < vms->len; i++) {
			const struct cli_vm *vm = &g_array_index(vms, struct cli_vm, i);

			if (vm_version(cli, vm) < version)
				g_string_append_printf(missing, " %s", vm->name);
		}
		if (missing->len == 0)
			break;
		cli_pause(cli, 50 * USEC_PER_MSEC);
	} while (now_us() < until);
	if (vms == NULL)
		code = cli_fail(EXIT_PARTIAL,
				"%s is made as version %lu; the list of VMs cannot be read", what,
				version);
	else if (missing->len > 0)
		code = cli_fail(EXIT_PARTIAL, "%s is made as version %lu; not confirmed by:%s",
				what, version, missing->str);
	if (vms != NULL)
		g_array_unref(vms);
	g_string_free(missing, TRUE);
	return code;
}
