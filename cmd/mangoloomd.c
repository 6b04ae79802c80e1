/** @file mangoloomd.c The daemon: loads settings, creates the services, runs the event loop. */
#include "caller.h"
#include "endpoint.h"
#include "entry.h"
#include "fleet.h"
#include "home.h"
#include "kernel.h"
#include "log.h"
#include "owner.h"
#include "parts.h"
#include "platform-adapter.h"
#include "relay.h"
#include "rpc.h"
#include "session.h"
#include "shares.h"
#include "status.h"
#include "trace.h"
#include "version.h"

#include <argtable2.h>
#include <event2/event.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>

#define LOG_FLUSH_US (100 * USEC_PER_MSEC)

static void on_stop_signal(evutil_socket_t sig, short what, void *arg)
{
	kernel_drain(arg);
}

/**
 * Handles SIGHUP. The settings file may have been rewritten, but no setting changes while the
 * daemon runs.
 */
static void on_reload(evutil_socket_t sig, short what, void *arg)
{
	log_process(G_LOG_LEVEL_INFO, "reload", LOG_STR("settings", "unchanged until restart"));
}

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	log_flush();
}

/**
 * Raises the soft limit of open files to the hard one, which is often far higher: each caller uses
 * a file descriptor.
 */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

/** Size from which memory is returned to the system when it is freed. */
#define MALLOC_LARGE_BYTES (64 * 1024)

/**
 * Keeps the allocator from raising its thresholds: pages of the configuration and lists of VMs are
 * large, and needed for a moment only.
 */
static void set_malloc_limits(void)
{
	mallopt(M_MMAP_THRESHOLD, MALLOC_LARGE_BYTES);
	mallopt(M_TRIM_THRESHOLD, 2 * MALLOC_LARGE_BYTES);
}

/** Creates the services in the order in which they start; they stop in reverse order. */
static void services_create(struct kernel *k)
{
	rpc_service_create(k);
	fleet_service_create(k);
	if (k->settings->platform_kind == PLATFORM_PREPARED)
		parts_service_create(k);
	shares_service_create(k);
	if (k->settings->platform_kind == PLATFORM_PREPARED) {
		owner_service_create(k);
		relay_service_create(k);
		session_service_create(k);
		k->adapter->callers(k);
		if (k->settings->rebalance != REBALANCE_OFF)
			status_service_create(k);
		endpoint_service_create(k);
		return;
	}
	home_service_create(k);
	entry_service_create(k);
	caller_service_create(k);
	status_service_create(k);
	endpoint_service_create(k);
}

static int run(const struct settings *settings)
{
	struct kernel *k = kernel_create(settings);
	struct event *sigterm = evsignal_new(k->base, SIGTERM, on_stop_signal, k);
	struct event *sigint = evsignal_new(k->base, SIGINT, on_stop_signal, k);
	struct event *sighup = evsignal_new(k->base, SIGHUP, on_reload, k);
	struct event *flush = kernel_every(k, LOG_FLUSH_US, on_flush, NULL);
	GError *error = NULL;
	int code = EXIT_OK;

	if (settings->platform_kind == PLATFORM_PREPARED)
		k->adapter = &platform_adapter;
	signal(SIGPIPE, SIG_IGN);
	set_malloc_limits();
	raise_file_limit();
	event_add(sigterm, NULL);
	event_add(sigint, NULL);
	event_add(sighup, NULL);
	services_create(k);
	if (kernel_start(k, &error)) {
		log_process(G_LOG_LEVEL_INFO, "started", LOG_STR("version", MANGOLOOM_VERSION),
			    LOG_STR("callers", settings->caller_address),
			    LOG_STR("rpc", settings->rpc_address));
		kernel_run(k);
	} else {
		log_error("start-failed", LOG_STR("why", error->message));
		fprintf(stderr, "mangoloomd: %s\n", error->message);
		g_error_free(error);
		code = EXIT_FAILED;
	}
	event_free(sigterm);
	event_free(sigint);
	event_free(sighup);
	event_free(flush);
	kernel_free(k);
	log_flush();
	return code;
}

static int load_and_run(const char *path, bool check_only)
{
	struct settings settings;
	GError *error = NULL;

	if (!settings_load(path, &settings, &error)) {
		fprintf(stderr, "mangoloomd: %s\n", error->message);
		g_error_free(error);
		return EXIT_INVALID;
	}
	if (check_only) {
		printf("%s: valid\n", path);
		return EXIT_OK;
	}
	if (!log_open(settings.log_path, (enum log_format)settings.log_format,
		      settings_log_level(&settings), settings.name) ||
	    !trace_open(settings.trace_path)) {
		fprintf(stderr, "mangoloomd: [log]: path or trace cannot be opened for writing\n");
		return EXIT_FAILED;
	}
	return run(&settings);
}

int main(int argc, char **argv)
{
	struct arg_file *path =
		arg_file0(NULL, "settings", "FILE", "settings in TOML (see docs/mangoloomd.md)");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_end *end = arg_end(4);
	void *table[] = {path, check, help, version, end};
	int errors = arg_parse(argc, argv, table);
	int code;

	if (help->count > 0) {
		printf("Usage: mangoloomd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		printf("Exit codes: 0 stopped on request, 1 failed, 2 invalid command line, "
		       "3 invalid settings.\n");
		code = EXIT_OK;
	} else if (version->count > 0) {
		printf("mangoloomd %s\n", MANGOLOOM_VERSION);
		code = EXIT_OK;
	} else if (errors > 0 || path->count == 0) {
		arg_print_errors(stderr, end, "mangoloomd");
		fprintf(stderr, "mangoloomd: --settings FILE is required; see --help\n");
		code = EXIT_USAGE;
	} else {
		code = load_and_run(path->filename[0], check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
