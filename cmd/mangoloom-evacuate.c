/** @file mangoloom-evacuate.c The commands evacuate and restore, on data centres. */
#include "error.h"
#include "mangoloom-cli.h"

#include <stdio.h>
#include <string.h>

/** Returns whether any pool has a member in @a data_center. */
static bool has_members(const struct store_snapshot *s, const char *data_center)
{
	unsigned j;
	guint i;

	for (i = 0; i < s->entries->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(s->entries, i);

		for (j = 0; e->kind == CONF_POOL && j < e->pool.n; j++) {
			if (strcmp(e->pool.member[j].data_center, data_center) == 0)
				return true;
		}
	}
	return false;
}

/** Begins or ends the evacuation of a data centre, and waits for all VMs to confirm the change. */
static int set_evacuated(struct cli *cli, bool on)
{
	const char *name = cli->opt.args[0];
	struct conf_evacuation body = {0};
	GError *error = NULL;
	struct conf_entry *e;
	bool has_member, is_on;
	uint64_t version;
	struct store_snapshot *s;
	char *summary;

	if (strlen(name) >= NAME_SIZE)
		return cli_fail(EXIT_USAGE, "data centre name %s is too long", name);
	s = store_read(cli, &error);
	if (s == NULL)
		return cli_fail_error(error);
	g_strlcpy(body.data_center, name, sizeof(body.data_center));
	e = table_entry_make(CONF_EVACUATION, &body);
	has_member = has_members(s, name);
	is_on = store_find(s->entries, e->id) != NULL;
	version = s->version;
	store_free(s);
	if (on && !has_member) {
		conf_entry_unref(e);
		return cli_fail(EXIT_FAILED, "no pool has a member in data centre %s", name);
	}
	summary = g_strdup_printf("%s %s", name, on ? "evacuated" : "restored");
	if (on != is_on)
		version = on ? store_put_entry(cli, e, summary, &error)
			     : store_remove_entry(cli, e->id, summary, &error);
	conf_entry_unref(e);
	g_free(summary);
	if (version == 0)
		return cli_fail_error(error);
	if (store_wait_confirmed(cli, version,
				 on ? "the evacuation" : "the end of the evacuation") != EXIT_OK)
		return EXIT_PARTIAL;
	printf("%s is %s on all VMs\n", name, on ? "evacuated" : "restored");
	return EXIT_OK;
}

int cmd_evacuate(struct cli *cli)
{
	return set_evacuated(cli, true);
}

int cmd_restore(struct cli *cli)
{
	return set_evacuated(cli, false);
}
