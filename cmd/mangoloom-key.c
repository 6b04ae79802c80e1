/** @file mangoloom-key.c The command key: gives, withdraws and lists team keys. */
#include "error.h"
#include "key.h"
#include "mangoloom-cli.h"

#include <stdio.h>
#include <string.h>

static int key_give(struct cli *cli, const char *team)
{
	char text[KEY_TEXT_SIZE];
	char *summary = g_strdup_printf("key given to %s", team);
	GError *error = NULL;
	struct conf_entry *e;
	struct conf_key key;
	uint64_t version;
	int code;

	key_create(team, &key, text);
	e = table_key_entry(&key);
	version = store_put_entry(cli, e, summary, &error);
	conf_entry_unref(e);
	g_free(summary);
	if (version == 0)
		return cli_fail_error(error);
	/* The key is shown only here: the store keeps nothing but its hash. */
	if (cli->opt.json)
		printf("{\"id\":\"%s\",\"team\":\"%s\",\"key\":\"%s\",\"version\":%lu}\n", key.id,
		       team, text, version);
	else
		printf("%s\n", text);
	fflush(stdout);
	code = store_wait_confirmed(cli, version, "the key");
	return code;
}

static const struct conf_entry *key_find(const struct store_snapshot *s, const char *id)
{
	guint i;

	for (i = 0; i < s->entries->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(s->entries, i);

		if (e->kind == CONF_KEY && strcmp(e->key.id, id) == 0)
			return e;
	}
	return NULL;
}

static int key_withdraw(struct cli *cli, const char *id)
{
	char *summary = g_strdup_printf("key %s withdrawn", id);
	const struct conf_entry *old;
	GError *error = NULL;
	struct conf_entry *e;
	struct conf_key key;
	uint64_t version;
	struct store_snapshot *s;

	s = store_read(cli, &error);
	if (s == NULL)
		return cli_fail_error(error);
	old = key_find(s, id);
	if (old == NULL) {
		store_free(s);
		return cli_fail(EXIT_FAILED, "no key has the id %s", id);
	}
	key = old->key;
	key.withdrawn = true;
	store_free(s);
	e = table_key_entry(&key);
	version = store_put_entry(cli, e, summary, &error);
	conf_entry_unref(e);
	g_free(summary);
	if (version == 0)
		return cli_fail_error(error);
	if (store_wait_confirmed(cli, version, "the withdrawal") != EXIT_OK)
		return EXIT_PARTIAL;
	printf("withdrawn on all VMs\n");
	return EXIT_OK;
}

static int key_list(struct cli *cli)
{
	GError *error = NULL;
	struct store_snapshot *s = store_read(cli, &error);
	guint i;

	if (s == NULL)
		return cli_fail_error(error);
	for (i = 0; i < s->entries->len; i++) {
		const struct conf_entry *e = g_ptr_array_index(s->entries, i);

		if (e->kind != CONF_KEY)
			continue;
		printf(cli->opt.json ? "{\"id\":\"%s\",\"team\":\"%s\",\"state\":\"%s\"}\n"
				     : "%s %s %s\n",
		       e->key.id, e->key.team, e->key.withdrawn ? "withdrawn" : "given");
	}
	store_free(s);
	return EXIT_OK;
}

int cmd_key(struct cli *cli)
{
	const char *action = cli->opt.args[0];

	if (strcmp(action, "list") == 0 && cli->opt.n_args == 1)
		return key_list(cli);
	if (strcmp(action, "give") == 0 && cli->opt.n_args == 2)
		return key_give(cli, cli->opt.args[1]);
	if (strcmp(action, "withdraw") == 0 && cli->opt.n_args == 2)
		return key_withdraw(cli, cli->opt.args[1]);
	return cli_fail(EXIT_USAGE, "usage: mangoloom key give TEAM | withdraw ID | list");
}
