/** @file mangoloom-fleet.c The commands status and stop, on VMs. */
#include "mangoloom-cli.h"

#include "json-text.h"

#include <stdio.h>
#include <string.h>

#define STATUS_TIMEOUT_US (2 * USEC_PER_SEC)

static int64_t get_int(JsonObject *o, const char *name)
{
	return json_object_get_int_member_with_default(o, name, 0);
}

static void print_members(JsonObject *o)
{
	JsonArray *list = json_object_has_member(o, "members")
				  ? json_object_get_array_member(o, "members")
				  : NULL;
	guint i;

	for (i = 0; list != NULL && i < json_array_get_length(list); i++) {
		JsonObject *m = json_array_get_object_element(list, i);

		printf("    %s/%s %s, primary %s of term %ld, %ld queued, %ld running, %ld "
		       "connections\n",
		       json_object_get_string_member(m, "pool"),
		       json_object_get_string_member(m, "member"),
		       json_object_get_string_member(m, "state"),
		       json_object_get_string_member(m, "primary"), get_int(m, "term"),
		       get_int(m, "queued"), get_int(m, "running"), get_int(m, "connections"));
	}
}

static void print_groups(JsonObject *o)
{
	JsonArray *list = json_object_has_member(o, "groups")
				  ? json_object_get_array_member(o, "groups")
				  : NULL;
	guint i;

	for (i = 0; list != NULL && i < json_array_get_length(list); i++)
		cli_print_group(json_array_get_object_element(list, i));
}

static void print_evacuated(JsonObject *o)
{
	JsonArray *list = json_object_get_array_member(o, "evacuated");
	guint i;

	for (i = 0; list != NULL && i < json_array_get_length(list); i++)
		printf("    %s is evacuated\n", json_array_get_string_element(list, i));
}

static void print_status(const char *text)
{
	JsonParser *parser = json_parser_new();
	JsonObject *o, *counters;

	if (json_text_load(parser, text, -1, NULL)) {
		o = json_node_get_object(json_parser_get_root(parser));
		counters = json_object_get_object_member(o, "counters");
		printf("%s in %s: %s, configuration %ld, %ld callers, %ld requests, %ld refused, "
		       "%ld KB\n",
		       json_object_get_string_member(o, "vm"),
		       json_object_get_string_member(o, "data_center"),
		       json_object_get_boolean_member(o, "draining") ? "stopping" : "serving",
		       get_int(o, "conf_version"), get_int(o, "callers"),
		       get_int(counters, "requests"), get_int(counters, "refused"),
		       get_int(o, "memory_kb"));
		print_evacuated(o);
		print_members(o);
		print_groups(o);
	}
	g_object_unref(parser);
}

/** Prints the status of the VM at @a address. @return an exit code */
static int print_status_of(struct cli *cli, const char *address, const char *name)
{
	ml_status_res res;

	if (!cli_call(cli, address, ML_STATUS, NULL, &res, STATUS_TIMEOUT_US))
		return cli_fail(EXIT_PARTIAL, "VM %s does not answer", name);
	if (cli->opt.json)
		printf("%s\n", res.json);
	else
		print_status(res.json);
	xdr_free((xdrproc_t)xdr_ml_status_res, &res);
	return EXIT_OK;
}

int cmd_status(struct cli *cli)
{
	GArray *vms = cli->opt.at == NULL ? cli_vms(cli) : NULL;
	int code = EXIT_OK;
	bool found = false;
	guint i;

	if (cli->opt.at != NULL)
		return print_status_of(cli, cli->opt.at, cli->opt.at);
	if (vms == NULL)
		return cli_fail(EXIT_FAILED, "the platform's service does not answer");
	for (i = 0; i < vms->len; i++) {
		const struct cli_vm *vm = &g_array_index(vms, struct cli_vm, i);

		if (cli->opt.n_args > 0 && strcmp(cli->opt.args[0], vm->name) != 0)
			continue;
		found = true;
		if (print_status_of(cli, vm->address, vm->name) != EXIT_OK)
			code = EXIT_PARTIAL;
	}
	g_array_unref(vms);
	if (!found && cli->opt.n_args > 0)
		return cli_fail(EXIT_FAILED, "VM %s is not in the platform's list",
				cli->opt.args[0]);
	return code;
}

int cmd_stop(struct cli *cli)
{
	GArray *vms = cli_vms(cli);
	guint i;

	if (vms == NULL)
		return cli_fail(EXIT_FAILED, "the platform's service does not answer");
	for (i = 0; i < vms->len; i++) {
		const struct cli_vm *vm = &g_array_index(vms, struct cli_vm, i);
		ml_status_res res;
		bool ok;

		if (strcmp(cli->opt.args[0], vm->name) != 0)
			continue;
		ok = cli_call(cli, vm->address, ML_STOP, NULL, &res, STATUS_TIMEOUT_US);
		if (ok)
			xdr_free((xdrproc_t)xdr_ml_status_res, &res);
		g_array_unref(vms);
		return ok ? EXIT_OK
			  : cli_fail(EXIT_FAILED, "VM %s does not answer", cli->opt.args[0]);
	}
	g_array_unref(vms);
	return cli_fail(EXIT_FAILED, "VM %s is not in the platform's list", cli->opt.args[0]);
}
