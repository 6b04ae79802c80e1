/** @file mangoloom.c Command line of the operators' tool: options and the table of commands. */
#include "mangoloom-cli.h"

#include <argtable2.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define PLATFORM_ENV "MANGOLOOM_PLATFORM"
#define WAIT_DEFAULT_MS 5000
#define RPC_SILENT_MS 1000
#define PLATFORM_TIMEOUT_MS 2000

const struct cli_command cli_commands[] = {
	{"check", "", "check the tables of --routes and --pools, and --settings", 0, 0, true,
	 cmd_check},
	{"apply", "", "apply the tables of --routes and --pools", 0, 0, false, cmd_apply},
	{"get", "routes|pools", "print a table in force", 1, 1, false, cmd_get},
	{"diff", "", "print what apply would change", 0, 0, false, cmd_diff},
	{"history", "", "print the last changes", 0, 0, false, cmd_history},
	{"key", "give TEAM|withdraw ID|list", "give, withdraw or list team keys", 1, 2, false,
	 cmd_key},
	{"evacuate", "DATA-CENTRE", "move all work away from the backend servers of a data centre",
	 1, 1, false, cmd_evacuate},
	{"restore", "DATA-CENTRE", "end the evacuation of a data centre", 1, 1, false, cmd_restore},
	{"rebalance", "", "plan in which data centres primaries stand, and move them there", 0, 0,
	 true, cmd_rebalance},
	{"status", "[VM]", "print the status of one VM or of all", 0, 1, false, cmd_status},
	{"stop", "VM", "stop a VM's daemon gracefully", 1, 1, false, cmd_stop},
	{"explain", "REQUEST LOG...", "trace a request through the logs of VMs", 2,
	 CLI_ARGS_MAX - 1, true, cmd_explain},
};
const unsigned cli_n_commands = G_N_ELEMENTS(cli_commands);

int cli_fail(int code, const char *format, ...)
{
	va_list args;

	fprintf(stderr, "mangoloom: ");
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fprintf(stderr, "\n");
	return code;
}

static const struct cli_command *command_find(const char *name)
{
	unsigned i;

	for (i = 0; i < cli_n_commands; i++) {
		if (strcmp(cli_commands[i].name, name) == 0)
			return &cli_commands[i];
	}
	return NULL;
}

static void print_help(void **table)
{
	unsigned i;

	printf("Usage: mangoloom COMMAND [ARGS]");
	arg_print_syntaxv(stdout, table, "\n\nCommands:\n");
	for (i = 0; i < cli_n_commands; i++)
		printf("  %-8s %-28s %s\n", cli_commands[i].name, cli_commands[i].args,
		       cli_commands[i].help);
	printf("\nOptions:\n");
	arg_print_glossary(stdout, table, "  %-24s %s\n");
	printf("\nExit codes: 0 done, 1 failed, 2 invalid command line, 3 invalid file (nothing "
	       "changed), 4 conflict\n"
	       "with another change (nothing changed), 5 unknown whether changed, 6 changed, but "
	       "not confirmed\n"
	       "by all VMs. See docs/mangoloom.md.\n");
}

/** Reads the platform's addresses from --platform, or else from a list in the environment. */
static int read_platform(struct settings *s, const struct arg_str *option)
{
	const char *env = g_getenv(PLATFORM_ENV);
	char **list = g_strsplit(option->count == 0 && env != NULL ? env : "", ",", -1);
	unsigned i;

	for (i = 0; i < (unsigned)option->count && s->platforms < SETTINGS_ADDRESSES_MAX; i++)
		g_strlcpy(s->platform[s->platforms++], option->sval[i], ADDRESS_SIZE);
	for (i = 0; list[i] != NULL && list[i][0] != '\0' && s->platforms < SETTINGS_ADDRESSES_MAX;
	     i++)
		g_strlcpy(s->platform[s->platforms++], list[i], ADDRESS_SIZE);
	g_strfreev(list);
	for (i = 0; i < s->platforms; i++) {
		if (strrchr(s->platform[i], ':') == NULL)
			return cli_fail(EXIT_USAGE, "--platform: found %s; allowed: ip:port",
					s->platform[i]);
	}
	return EXIT_OK;
}

static int read_secret(struct settings *s, const struct arg_file *option)
{
	char *text;

	if (option->count == 0)
		return EXIT_OK;
	if (!g_file_get_contents(option->filename[0], &text, NULL, NULL))
		return cli_fail(EXIT_FAILED, "cannot read %s", option->filename[0]);
	g_strlcpy(s->rpc_secret, g_strstrip(text), sizeof(s->rpc_secret));
	g_free(text);
	return EXIT_OK;
}

static int run(struct cli *cli, const struct cli_command *command)
{
	int code;

	if (cli->opt.n_args < command->min_args || cli->opt.n_args > command->max_args)
		return cli_fail(EXIT_USAGE, "usage: mangoloom %s %s", command->name, command->args);
	if (!command->offline && cli->opt.at == NULL && cli->settings.platforms == 0)
		return cli_fail(EXIT_USAGE, "--platform IP:PORT or " PLATFORM_ENV " is required");
	cli->settings.silent_ms = RPC_SILENT_MS;
	cli->settings.platform_timeout_ms = PLATFORM_TIMEOUT_MS;
	cli->kernel = kernel_create(&cli->settings);
	cli->platform = platform_create(cli->kernel->base,
					(const char(*)[ADDRESS_SIZE])cli->settings.platform,
					cli->settings.platforms, cli->settings.platform_timeout_ms);
	cli->rpc = rpc_create(cli->kernel);
	code = command->run(cli);
	rpc_free(cli->rpc);
	platform_free(cli->platform);
	kernel_free(cli->kernel);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_str *args =
		arg_strn(NULL, NULL, "COMMAND", 0, CLI_ARGS_MAX, "command and its arguments");
	struct arg_str *platform =
		arg_strn(NULL, "platform", "IP:PORT", 0, SETTINGS_ADDRESSES_MAX,
			 "address of the platform's service; or " PLATFORM_ENV "=IP:PORT,...");
	struct arg_file *secret = arg_file0(NULL, "secret-file", "FILE", "the daemons' rpc secret");
	struct arg_file *routes = arg_file0(NULL, "routes", "FILE", "table of routes");
	struct arg_file *pools = arg_file0(NULL, "pools", "FILE", "table of pools");
	struct arg_file *settings =
		arg_file0(NULL, "settings", "FILE", "a daemon's settings, for check");
	struct arg_str *by = arg_str0(NULL, "by", "NAME", "who makes the change, for the history");
	struct arg_int *wait =
		arg_int0(NULL, "wait-ms", "N", "time to wait for the VMs to confirm (5000)");
	struct arg_str *at =
		arg_str0(NULL, "at", "IP:PORT",
			 "RPC address of the daemon to call, for rebalance and status");
	struct arg_str *pool = arg_str0(NULL, "pool", "POOL", "the group to move, for rebalance");
	struct arg_str *to =
		arg_str0(NULL, "to", "DATA_CENTER", "where to move its primary, for rebalance");
	struct arg_lit *dry_run = arg_lit0(NULL, "dry-run", "show the plan of rebalance only");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = {args, platform, secret, routes,  pools, settings, by,	    wait,
			 at,   pool,	 to,	 dry_run, json,	 help,	   version, end};
	const struct cli_command *command;
	struct cli cli = {0};
	int errors, code;

	wait->ival[0] = WAIT_DEFAULT_MS;
	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		print_help(table);
		return EXIT_OK;
	}
	if (version->count > 0) {
		printf("mangoloom %s\n", MANGOLOOM_VERSION);
		return EXIT_OK;
	}
	if (errors > 0 || args->count == 0) {
		arg_print_errors(stderr, end, "mangoloom");
		return cli_fail(EXIT_USAGE, "no command given; see --help");
	}
	command = command_find(args->sval[0]);
	if (command == NULL)
		return cli_fail(EXIT_USAGE, "unknown command %s; see --help", args->sval[0]);
	if (sodium_init() < 0)
		return cli_fail(EXIT_FAILED, "cannot initialise libsodium");
	cli.opt.routes = routes->count > 0 ? routes->filename[0] : NULL;
	cli.opt.pools = pools->count > 0 ? pools->filename[0] : NULL;
	cli.opt.settings = settings->count > 0 ? settings->filename[0] : NULL;
	cli.opt.by = by->count > 0 ? by->sval[0] : g_get_user_name();
	cli.opt.wait_ms = wait->ival[0];
	cli.opt.json = json->count > 0;
	cli.opt.dry_run = dry_run->count > 0;
	cli.opt.at = at->count > 0 ? at->sval[0] : NULL;
	cli.opt.pool = pool->count > 0 ? pool->sval[0] : NULL;
	cli.opt.data_center = to->count > 0 ? to->sval[0] : NULL;
	if (cli.opt.at != NULL && strrchr(cli.opt.at, ':') == NULL)
		return cli_fail(EXIT_USAGE, "--at: found %s; allowed: ip:port", cli.opt.at);
	cli.opt.args = args->sval + 1;
	cli.opt.n_args = args->count - 1;
	code = read_platform(&cli.settings, platform);
	if (code == EXIT_OK)
		code = read_secret(&cli.settings, secret);
	if (code == EXIT_OK)
		code = run(&cli, command);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
