/** @file mangoloom-rebalance.c The command rebalance, on the primaries of groups. */
#include "mangoloom-cli.h"

#include "json-text.h"

#include <stdio.h>
#include <string.h>

/** The planner asks 20 groups a second; there may be 3,700. */
#define PLAN_TIMEOUT_US (200 * USEC_PER_SEC)
/** Planners that are asked one after another, when the role has just moved. */
#define PLANNERS_MAX 3

static const char *get_text(JsonObject *o, const char *name)
{
	return json_object_get_string_member_with_default(o, name, "");
}

static void print_origin(JsonObject *o, const char *name, JsonNode *node, gpointer unused)
{
	printf(" %s %.1f/s", name, json_node_get_double(node));
}

void cli_print_group(JsonObject *g)
{
	printf("    %s: primary %s in %s for %ld s (%s); statements from", get_text(g, "pool"),
	       get_text(g, "primary"), get_text(g, "data_center"),
	       json_object_get_int_member_with_default(g, "since_s", 0), get_text(g, "why"));
	if (json_object_has_member(g, "statements_per_s"))
		json_object_foreach_member(json_object_get_object_member(g, "statements_per_s"),
					   print_origin, NULL);
	printf("\n");
}

/** Prints the plan. @return an exit code: no plan could be made is a failure */
static int print_plan(const struct cli *cli, JsonObject *o)
{
	JsonArray *groups = json_object_get_array_member(o, "groups");
	JsonArray *moves = json_object_get_array_member(o, "moves");
	guint i;

	for (i = 0; i < json_array_get_length(groups); i++)
		cli_print_group(json_array_get_object_element(groups, i));
	for (i = 0; i < json_array_get_length(moves); i++) {
		JsonObject *m = json_array_get_object_element(moves, i);

		printf("%s: %s -> %s (%s)\n", get_text(m, "pool"), get_text(m, "from"),
		       get_text(m, "to"), get_text(m, "why"));
	}
	if (!json_object_get_boolean_member_with_default(o, "settled", false))
		return cli_fail(EXIT_FAILED, "no plan: a group is not known, or a fault or a "
					     "change is less than 15 s old");
	if (json_array_get_length(moves) == 0)
		printf("no moves\n");
	else
		printf("%u moves %s\n", json_array_get_length(moves),
		       cli->opt.dry_run ? "planned" : "begun, one at a time");
	return EXIT_OK;
}

/** Prints the answer of a daemon. @param planner set to the VM to ask instead, if any */
static int print_answer(const struct cli *cli, const char *text, char planner[ADDRESS_SIZE])
{
	JsonParser *parser = json_parser_new();
	int code = EXIT_OK;
	JsonObject *o;

	planner[0] = '\0';
	if (!json_text_load(parser, text, -1, NULL)) {
		g_object_unref(parser);
		return cli_fail(EXIT_FAILED, "found no JSON in the answer");
	}
	o = json_node_get_object(json_parser_get_root(parser));
	g_strlcpy(planner, get_text(o, "planner"), ADDRESS_SIZE);
	if (json_object_has_member(o, "error"))
		code = cli_fail(EXIT_FAILED, "%s", get_text(o, "error"));
	else if (planner[0] != '\0')
		code = EXIT_OK;
	else if (cli->opt.json)
		printf("%s\n", text);
	else if (json_object_has_member(o, "moves"))
		code = print_plan(cli, o);
	else if (cli->opt.dry_run)
		printf("the primary can move to %s\n", get_text(o, "possible"));
	else
		printf("the primary begins to move to %s\n", get_text(o, "begun"));
	g_object_unref(parser);
	return code;
}

/** Returns the address of the first VM of the platform's list, or of --at, in @a address. */
static int first_address(struct cli *cli, char address[ADDRESS_SIZE])
{
	GArray *vms;

	if (cli->opt.at != NULL) {
		g_strlcpy(address, cli->opt.at, ADDRESS_SIZE);
		return EXIT_OK;
	}
	if (cli->settings.platforms == 0)
		return cli_fail(EXIT_USAGE, "--at IP:PORT or --platform IP:PORT is required");
	vms = cli_vms(cli);
	if (vms == NULL || vms->len == 0)
		return cli_fail(EXIT_FAILED, "the platform's service lists no VM");
	g_strlcpy(address, g_array_index(vms, struct cli_vm, 0).address, ADDRESS_SIZE);
	g_array_unref(vms);
	return EXIT_OK;
}

int cmd_rebalance(struct cli *cli)
{
	ml_rebalance_args args = {.dry_run = cli->opt.dry_run};
	char address[ADDRESS_SIZE], planner[ADDRESS_SIZE];
	int code = first_address(cli, address), i;

	args.pool = (char *)(cli->opt.pool != NULL ? cli->opt.pool : "");
	args.data_center = (char *)(cli->opt.data_center != NULL ? cli->opt.data_center : "");
	if (strlen(args.pool) >= NAME_SIZE || strlen(args.data_center) >= NAME_SIZE)
		return cli_fail(EXIT_USAGE, "a name is longer than %d bytes", NAME_SIZE - 1);
	for (i = 0; code == EXIT_OK && i < PLANNERS_MAX; i++) {
		ml_status_res res;

		if (!cli_call(cli, address, ML_REBALANCE, &args, &res, PLAN_TIMEOUT_US))
			return cli_fail(EXIT_FAILED,
					"VM %s does not answer, or its setting rebalance is off",
					address);
		code = print_answer(cli, res.json, planner);
		xdr_free((xdrproc_t)xdr_ml_status_res, &res);
		if (planner[0] == '\0')
			return code;
		g_strlcpy(address, planner, sizeof(address));
	}
	return code != EXIT_OK ? code : cli_fail(EXIT_FAILED, "no VM takes the request");
}
