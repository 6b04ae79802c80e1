/**
 * @file mangoloom-table.c Commands on the tables of routes and pools: check, apply, get, diff,
 * history.
 */
#include "error.h"
#include "mangoloom-cli.h"

#include <stdio.h>
#include <string.h>

/** Attempts of one apply while concurrent commands change entries outside its tables. */
#define APPLY_ATTEMPTS_MAX 8
/** Limit of the ids of changed entries, and of removed ones, in the summary of a change. */
#define SUMMARY_ENTRIES_MAX 20

/** The tables given on the command line. */
struct given_tables {
	bool given[TABLES];
	const char *file[TABLES];
	struct table table[TABLES];
};

static void tables_clear(struct given_tables *t)
{
	int i;

	for (i = 0; i < TABLES; i++)
		table_clear(&t->table[i]);
}

static gboolean tables_load(struct cli *cli, struct given_tables *t, GError **error)
{
	int i;

	memset(t, 0, sizeof(*t));
	t->file[TABLE_ROUTES] = cli->opt.routes;
	t->file[TABLE_POOLS] = cli->opt.pools;
	for (i = 0; i < TABLES; i++) {
		t->given[i] = t->file[i] != NULL;
		if (t->given[i] && !table_load(t->file[i], (enum table_id)i, &t->table[i], error))
			return FALSE;
	}
	if (t->given[TABLE_ROUTES] && t->given[TABLE_POOLS])
		return table_check_pool_references(t->file[TABLE_ROUTES],
						   t->table[TABLE_ROUTES].entries,
						   t->table[TABLE_POOLS].entries, error);
	return TRUE;
}

int cmd_check(struct cli *cli)
{
	struct settings settings;
	struct given_tables t;
	GError *error = NULL;
	gboolean ok;

	if (cli->opt.routes == NULL && cli->opt.pools == NULL && cli->opt.settings == NULL)
		return cli_fail(EXIT_USAGE, "--routes, --pools or --settings is required");
	ok = tables_load(cli, &t, &error);
	ok = ok &&
	     (cli->opt.settings == NULL || settings_load(cli->opt.settings, &settings, &error));
	tables_clear(&t);
	if (!ok)
		return cli_fail_error(error);
	printf("valid\n");
	return EXIT_OK;
}

/** Computes the difference from the stored tables to the given ones. Free with change_clear(). */
static void change_compute(const struct store_snapshot *s, const struct given_tables *t,
			   struct store_change *c)
{
	int which;
	guint i;

	c->puts = g_ptr_array_new();
	c->removes = g_ptr_array_new();
	for (which = 0; which < TABLES; which++) {
		if (!t->given[which])
			continue;
		for (i = 0; i < t->table[which].entries->len; i++) {
			struct conf_entry *e = g_ptr_array_index(t->table[which].entries, i);
			const struct conf_entry *old = store_find(s->entries, e->id);

			if (old != NULL && strcmp(old->text, e->text) == 0)
				continue;
			g_ptr_array_add(c->puts, e);
			c->table_changed[which] = true;
		}
		for (i = 0; i < s->entries->len; i++) {
			struct conf_entry *old = g_ptr_array_index(s->entries, i);

			if (!table_holds((enum table_id)which, old->kind) ||
			    store_find(t->table[which].entries, old->id) != NULL)
				continue;
			g_ptr_array_add(c->removes, old->id);
			c->table_changed[which] = true;
		}
	}
}

static void change_clear(struct store_change *c)
{
	g_ptr_array_unref(c->puts);
	g_ptr_array_unref(c->removes);
}

/** Checks that each route's pool exists; takes a table that is not given from the store. */
static gboolean check_with_store(const struct store_snapshot *s, const struct given_tables *t,
				 GError **error)
{
	const GPtrArray *routes =
		t->given[TABLE_ROUTES] ? t->table[TABLE_ROUTES].entries : s->entries;
	const GPtrArray *pools = t->given[TABLE_POOLS] ? t->table[TABLE_POOLS].entries : s->entries;

	return table_check_pool_references(t->given[TABLE_ROUTES] ? t->file[TABLE_ROUTES]
								  : t->file[TABLE_POOLS],
					   routes, pools, error);
}

/**
 * Fails if a stored table changed after the version that the edit is based on: the apply would undo
 * that change. The base is base_version of the file; if the file has none, it is the version that
 * the store had at the first attempt (@a seen).
 */
static gboolean check_base(const struct store_snapshot *s, const struct given_tables *t,
			   const uint64_t seen[TABLES], GError **error)
{
	int i;

	for (i = 0; i < TABLES; i++) {
		uint64_t base = t->given[i] && t->table[i].base != 0 ? t->table[i].base : seen[i];

		if (!t->given[i] || s->table_version[i] <= base)
			continue;
		g_set_error(error, ML_ERROR, ML_ERROR_CONFLICT,
			    "%s: began from version %lu, but the table was changed in version %lu; "
			    "nothing was changed",
			    t->file[i], base, s->table_version[i]);
		return FALSE;
	}
	return TRUE;
}

/** Lists the ids that a change puts and removes, for the history. */
static char *change_summary(const struct store_change *c)
{
	GString *out = g_string_new(NULL);
	guint i;

	for (i = 0; i < c->puts->len && i < SUMMARY_ENTRIES_MAX; i++)
		g_string_append_printf(
			out, "%s+%s", i > 0 ? " " : "",
			((const struct conf_entry *)g_ptr_array_index(c->puts, i))->id);
	for (i = 0; i < c->removes->len && i < SUMMARY_ENTRIES_MAX; i++)
		g_string_append_printf(out, " -%s", (const char *)g_ptr_array_index(c->removes, i));
	return g_string_free(out, FALSE);
}

/**
 * Makes one attempt to apply the tables.
 * @param seen table versions at the first attempt
 * @return the new version, 0 with @a error, or the version in force if nothing has to change
 */
static uint64_t apply_once(struct cli *cli, const struct given_tables *t, uint64_t seen[TABLES],
			   bool first, bool *changed, GError **error)
{
	struct store_snapshot *s = store_read(cli, error);
	struct store_change c = {0};
	uint64_t version = 0;
	char *text;

	if (s == NULL)
		return 0;
	if (first)
		memcpy(seen, s->table_version, sizeof(s->table_version));
	if (check_base(s, t, seen, error) && check_with_store(s, t, error)) {
		change_compute(s, t, &c);
		*changed = c.puts->len + c.removes->len > 0;
		text = change_summary(&c);
		c.summary = text;
		version = *changed ? store_commit(cli, s, &c, error) : s->version;
		g_free(text);
		change_clear(&c);
	}
	store_free(s);
	return version;
}

int cmd_apply(struct cli *cli)
{
	uint64_t seen[TABLES] = {0};
	GError *error = NULL;
	bool changed = false;
	uint64_t version = 0;
	struct given_tables t;
	int code, attempt;

	if (cli->opt.routes == NULL && cli->opt.pools == NULL)
		return cli_fail(EXIT_USAGE, "--routes or --pools is required");
	if (!tables_load(cli, &t, &error)) {
		tables_clear(&t);
		return cli_fail_error(error);
	}
	for (attempt = 0; attempt < APPLY_ATTEMPTS_MAX; attempt++) {
		g_clear_error(&error);
		version = apply_once(cli, &t, seen, attempt == 0, &changed, &error);
		/*
		 * The commit also conflicts with changes outside the given tables, such as of
		 * a key. Retry; check_base() fails in the next attempt if the table changed.
		 */
		if (error == NULL || error->domain != ML_ERROR ||
		    error->code != ML_ERROR_CONFLICT ||
		    strstr(error->message, "began from") != NULL)
			break;
	}
	tables_clear(&t);
	if (error != NULL)
		return cli_fail_error(error);
	if (!changed) {
		printf("no change; version %lu is in force\n", version);
		return EXIT_OK;
	}
	code = store_wait_confirmed(cli, version, "the change");
	if (code == EXIT_OK)
		printf("version %lu is in force on all VMs\n", version);
	return code;
}

int cmd_get(struct cli *cli)
{
	GError *error = NULL;
	struct store_snapshot *s;
	char *text;
	int which;

	for (which = 0; which < TABLES; which++) {
		if (strcmp(cli->opt.args[0], table_name((enum table_id)which)) == 0)
			break;
	}
	if (which == TABLES)
		return cli_fail(EXIT_USAGE, "get: found %s; allowed: routes or pools",
				cli->opt.args[0]);
	s = store_read(cli, &error);
	if (s == NULL)
		return cli_fail_error(error);
	text = table_to_toml(s->entries, (enum table_id)which, s->version);
	fputs(text, stdout);
	g_free(text);
	store_free(s);
	return EXIT_OK;
}

int cmd_diff(struct cli *cli)
{
	struct store_change c = {0};
	GError *error = NULL;
	struct store_snapshot *s = NULL;
	struct given_tables t;
	guint i;

	if (!tables_load(cli, &t, &error) || (s = store_read(cli, &error)) == NULL) {
		tables_clear(&t);
		return cli_fail_error(error);
	}
	change_compute(s, &t, &c);
	for (i = 0; i < c.puts->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(c.puts, i);
		const struct conf_entry *old = store_find(s->entries, e->id);

		if (old != NULL)
			printf("- %s %s\n", old->id, old->text);
		printf("+ %s %s\n", e->id, e->text);
	}
	for (i = 0; i < c.removes->len; i++)
		printf("- %s\n", (const char *)g_ptr_array_index(c.removes, i));
	change_clear(&c);
	store_free(s);
	tables_clear(&t);
	return EXIT_OK;
}

int cmd_history(struct cli *cli)
{
	struct platform_answer *a = cli_range(cli, PLATFORM_HISTORY, PLATFORM_HISTORY_END);
	guint i;

	if (!a->ok) {
		cli_answer_free(a);
		return cli_fail(EXIT_FAILED, "the platform's service does not answer");
	}
	for (i = 0; i < a->kvs->len; i++)
		printf("%s\n", ((const struct platform_kv *)g_ptr_array_index(a->kvs, i))->value);
	cli_answer_free(a);
	return EXIT_OK;
}
