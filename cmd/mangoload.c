/** @file mangoload.c Command line of the load generator. */
#include "mangoload.h"
#include "version.h"

#include <argtable2.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

static int run(const char *plan, const char *csv, bool json, bool check_only)
{
	static struct settings settings;
	struct load l = {0};
	GError *error = NULL;
	bool passed;

	if (!load_plan_read(plan, &l.plan, &error)) {
		fprintf(stderr, "mangoload: %s\n", error->message);
		g_error_free(error);
		return EXIT_INVALID;
	}
	if (check_only) {
		printf("%s: valid\n", plan);
		return EXIT_OK;
	}
	g_strlcpy(settings.name, "mangoload", sizeof(settings.name));
	g_strlcpy(settings.rpc_secret, l.plan.secret, sizeof(settings.rpc_secret));
	settings.silent_ms = 1000;
	l.kernel = kernel_create(&settings);
	l.requests = g_array_new(FALSE, TRUE, sizeof(struct load_request));
	l.replica_reads = -load_counter(&l, "reads_by_replica");
	l.primary_reads = -load_counter(&l, "reads_by_primary");
	load_run(&l);
	l.replica_reads += load_counter(&l, "reads_by_replica");
	l.primary_reads += load_counter(&l, "reads_by_primary");
	passed = load_report(&l, csv, json);
	g_array_unref(l.requests);
	load_plan_clear(&l.plan);
	return passed ? EXIT_OK : EXIT_FAILED;
}

int main(int argc, char **argv)
{
	struct arg_file *plan =
		arg_file0(NULL, "plan", "FILE", "plan in TOML (see docs/mangoload.md)");
	struct arg_file *csv =
		arg_file0(NULL, "csv", "FILE", "write a CSV line per second and team");
	struct arg_lit *json = arg_lit0(NULL, "json", "print the report as JSON");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the plan and exit");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_end *end = arg_end(4);
	void *table[] = {plan, csv, json, check, help, version, end};
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_OK;

	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (help->count > 0) {
		printf("Usage: mangoload");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		printf("Exit codes: 0 all consistency checks passed, 1 a check failed, 2 invalid "
		       "command line, 3 invalid plan.\n");
	} else if (version->count > 0) {
		printf("mangoload %s\n", MANGOLOOM_VERSION);
	} else if (errors > 0 || plan->count == 0) {
		arg_print_errors(stderr, end, "mangoload");
		fprintf(stderr, "mangoload: --plan FILE is required; see --help\n");
		code = EXIT_USAGE;
	} else {
		code = run(plan->filename[0], csv->count > 0 ? csv->filename[0] : NULL,
			   json->count > 0, check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
