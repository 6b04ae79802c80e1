/** @file harness.c Runs CUnit test cases, and fleets of real processes for integration tests. */
#include "harness.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

extern char **environ;

#define START_TIMEOUT_MS 20000

/* Test runner */

int harness_run(const char *suite, const struct test_case *cases, unsigned n, int argc, char **argv)
{
	unsigned passed = 0, failed = 0, i;
	CU_pSuite s;

	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	CU_initialize_registry();
	s = CU_add_suite(suite, NULL, NULL);
	for (i = 0; i < n; i++)
		CU_add_test(s, cases[i].name, cases[i].run);
	CU_basic_set_mode(CU_BRM_SILENT);
	for (i = 0; i < n; i++) {
		unsigned before = CU_get_number_of_failures();
		int64_t start = test_now_ms();

		if (argc > 1 && !g_strv_contains((const char *const *)argv + 1, cases[i].name))
			continue;
		CU_basic_run_test(s, CU_get_test(s, cases[i].name));
		if (CU_get_number_of_failures() > 0) {
			CU_basic_show_failures(CU_get_failure_list());
			printf("\nFAILED: %s\n", cases[i].name);
			failed++;
		} else {
			passed++;
		}
		printf("%s: %s, %ld ms\n", cases[i].name,
		       CU_get_number_of_failures() > 0 ? "failed" : "passed",
		       (long)(test_now_ms() - start));
		(void)before;
	}
	CU_cleanup_registry();
	printf("%u passed, %u failed\n", passed, failed);
	return failed > 0 ? 1 : 0;
}

int64_t test_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t test_now_ms(void)
{
	return test_now_us() / 1000;
}

void test_sleep_ms(int ms)
{
	usleep((useconds_t)ms * 1000);
}

bool wait_until(bool (*done)(struct test_fleet *f, void *arg), struct test_fleet *f, void *arg,
		int ms)
{
	int64_t until = test_now_ms() + ms;

	while (!done(f, arg)) {
		if (test_now_ms() > until)
			return false;
		test_sleep_ms(20);
	}
	return true;
}

/* Processes */

/** Ports below the default range of ephemeral ports of Linux. */
#define PORT_MIN 10000
#define PORT_MAX 32000

static bool port_is_free(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;

	close(fd);
	return ok;
}

/*
 * Between the choice of a port and the start of the process that listens on it, an outgoing
 * connection of another program could take an ephemeral port; the process then exited at once and
 * the test failed. Ports below the ephemeral range, starting at a random one, can only collide with
 * those of another fleet that starts near the same number.
 */
void test_free_ports(int *ports, int n)
{
	int port = g_random_int_range(PORT_MIN, PORT_MAX);
	int i = 0;

	while (i < n) {
		port = port + 1 < PORT_MAX ? port + 1 : PORT_MIN;
		if (port_is_free(port))
			ports[i++] = port;
	}
}

static const char *bin(void)
{
	const char *b = getenv("BIN");

	return b != NULL ? b : "build";
}

pid_t test_spawn(const char *dir, const char *log, char **argv, int in, int out)
{
	char *path = g_strdup_printf("%s/%s", bin(), argv[0]);
	char *err = g_strdup_printf("%s/%s.err", dir, log);
	posix_spawn_file_actions_t actions;
	pid_t pid = -1;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 2, err, O_WRONLY | O_CREAT | O_APPEND, 0600);
	/* A process that outlives its test must not keep the test's standard output open. */
	posix_spawn_file_actions_adddup2(&actions, 2, 1);
	if (in >= 0)
		posix_spawn_file_actions_adddup2(&actions, in, 0);
	if (out >= 0)
		posix_spawn_file_actions_adddup2(&actions, out, 1);
	if (posix_spawn(&pid, path, &actions, NULL, argv, environ) != 0)
		printf("cannot start %s\n", path);
	posix_spawn_file_actions_destroy(&actions);
	g_free(path);
	g_free(err);
	return pid;
}

static pid_t spawn(struct test_fleet *f, const char *log, char **argv, int in, int out)
{
	return test_spawn(f->dir, log, argv, in, out);
}

static pid_t spawn_command(struct test_fleet *f, const char *log, const char *line)
{
	char **argv = g_strsplit(line, " ", -1);
	pid_t pid = spawn(f, log, argv, -1, -1);

	g_strfreev(argv);
	return pid;
}

void test_kill_process(pid_t *pid)
{
	if (*pid <= 0)
		return;
	kill(*pid, SIGKILL);
	waitpid(*pid, NULL, 0);
	*pid = 0;
}

/* Parts of a fleet */

char *fleet_file(struct test_fleet *f, const char *name, const char *text)
{
	char *path = g_strdup_printf("%s/%s", f->dir, name);

	g_file_set_contents(path, text, -1, NULL);
	return path;
}

static char *vms_json(struct test_fleet *f, int omitted)
{
	GString *out = g_string_new("[");
	int i;

	for (i = 0; i < f->plan.vms; i++) {
		if (i == omitted)
			continue;
		g_string_append_printf(
			out,
			"%s{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"data_center\":\"%s\","
			"\"state\":\"live\"}",
			out->len > 1 ? "," : "", f->vm[i].name, f->vm[i].proxied, f->vm[i].dc);
	}
	g_string_append_c(out, ']');
	return g_string_free(out, FALSE);
}

/** Sends @a body to standin-platform by HTTP POST. */
static void platform_post(struct test_fleet *f, const char *path, const char *body)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	char *text = g_strdup_printf("POST %s HTTP/1.0\r\nContent-Length: %zu\r\n\r\n%s", path,
				     strlen(body), body);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char answer[512];

	sin.sin_port = htons((uint16_t)f->platform_port);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    write(fd, text, strlen(text)) < 0 || read(fd, answer, sizeof(answer)) <= 0)
		printf("standin-platform does not answer\n");
	close(fd);
	g_free(text);
}

void fleet_platform_fault(struct test_fleet *f, const char *json)
{
	platform_post(f, "/control", json);
}

void fleet_list_vms(struct test_fleet *f, int omitted)
{
	char *json = vms_json(f, omitted);
	char *value = g_base64_encode((const guchar *)json, strlen(json));
	char *key = g_base64_encode((const guchar *)"platform/vms", 12);
	char *body = g_strdup_printf("{\"compare\":[],\"success\":[{\"request_put\":{\"key\":\"%"
				     "s\",\"value\":\"%s\"}}]}",
				     key, value);

	platform_post(f, "/v3/kv/txn", body);
	g_free(body);
	g_free(key);
	g_free(value);
	g_free(json);
}

void test_proxy_start(struct test_proxy *p, const char *dir, char **argv)
{
	int in[2], out[2];

	if (pipe2(in, O_CLOEXEC) != 0 || pipe2(out, O_CLOEXEC) != 0)
		abort();
	p->pid = test_spawn(dir, "faultproxy", argv, in[0], out[1]);
	close(in[0]);
	close(out[1]);
	p->in = in[1];
	p->out = out[0];
}

void test_proxy_command(struct test_proxy *p, const char *line)
{
	char *text = g_strconcat(line, "\n", NULL);
	char answer[8];

	if (write(p->in, text, strlen(text)) < 0 || read(p->out, answer, sizeof(answer)) <= 0)
		printf("faultproxy does not answer\n");
	g_free(text);
}

void test_proxy_stop(struct test_proxy *p)
{
	if (p->pid == 0)
		return;
	test_kill_process(&p->pid);
	close(p->in);
	close(p->out);
}

void fleet_fault(struct test_fleet *f, const char *format, ...)
{
	va_list args;
	char *line;

	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	test_proxy_command(&f->proxy, line);
	g_free(line);
}

void fleet_partition(struct test_fleet *f, const char *dc, bool partitioned)
{
	int i, j;

	for (i = 0; i < f->plan.data_centers; i++) {
		char other[32];

		g_snprintf(other, sizeof(other), "dc%d", i + 1);
		if (strcmp(other, dc) == 0)
			continue;
		/* Block the connections into the data centre and out of it. */
		for (j = 0; j < f->plan.vms; j++) {
			if (strcmp(f->vm[j].dc, dc) == 0)
				fleet_fault(f, "%s %s %s-", partitioned ? "hold" : "pass",
					    f->vm[j].name, other);
			else if (strcmp(f->vm[j].dc, other) == 0)
				fleet_fault(f, "%s %s %s-", partitioned ? "hold" : "pass",
					    f->vm[j].name, dc);
		}
		for (j = 0; j < f->n_members; j++) {
			if (strcmp(f->member[j].dc, dc) == 0)
				fleet_fault(f, "%s %s %s-", partitioned ? "hold" : "pass",
					    f->member[j].name, other);
			else if (strcmp(f->member[j].dc, other) == 0)
				fleet_fault(f, "%s %s %s-", partitioned ? "hold" : "pass",
					    f->member[j].name, dc);
		}
	}
}

static void start_proxy(struct test_fleet *f)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	int i;

	g_ptr_array_add(argv, g_strdup("faultproxy"));
	for (i = 0; i < f->n_members; i++)
		g_ptr_array_add(argv, g_strdup_printf("%s=%d:%d", f->member[i].name,
						      f->member[i].proxied, f->member[i].port));
	for (i = 0; i < f->plan.vms; i++)
		g_ptr_array_add(argv, g_strdup_printf("%s=%d:%d", f->vm[i].name, f->vm[i].proxied,
						      f->vm[i].rpc));
	g_ptr_array_add(argv, NULL);
	test_proxy_start(&f->proxy, f->dir, (char **)argv->pdata);
	g_ptr_array_unref(argv);
}

static void start_member(struct test_fleet *f, int i)
{
	int primary = i / 3 * 3;
	char *line = g_strdup_printf("standin-db --name %s --address 127.0.0.1:%d --slots %d "
				     "--connections %d --work-us %d --lag-ms %d",
				     f->member[i].name, f->member[i].port, f->plan.slots,
				     f->plan.connections, f->plan.work_us, f->plan.lag_ms);
	char *command_line =
		i == primary ? g_strdup_printf("%s --primary", line)
			     : g_strdup_printf("%s --follow %s --upstream 127.0.0.1:%d", line,
					       f->member[primary].name, f->member[primary].proxied);

	f->member[i].pid = spawn_command(f, f->member[i].name, command_line);
	g_free(line);
	g_free(command_line);
}

void fleet_vm_start(struct test_fleet *f, int i)
{
	char *trace = getenv("TRACE") != NULL
			      ? g_strdup_printf("trace = \"%s/%s.trace\"\n", f->dir, f->vm[i].name)
			      : g_strdup("");
	char *text = g_strdup_printf(
		"[vm]\nname = \"%s\"\ndata_center = \"%s\"\ncaller_address = \"127.0.0.1:%d\"\n"
		"rpc_address = \"127.0.0.1:%d\"\nadvertise = \"127.0.0.1:%d\"\n"
		"[platform]\nendpoints = [\"127.0.0.1:%d\"]\ntimeout_ms = 500\n"
		"[log]\npath = \"%s/%s.log\"\n%s"
		"[rpc]\nsecret = \"test\"\nheartbeat_ms = 200\nseeds = [\"127.0.0.1:%d\"]\n%s",
		f->vm[i].name, f->vm[i].dc, f->vm[i].caller, f->vm[i].rpc, f->vm[i].proxied,
		f->platform_port, f->dir, f->vm[i].name, trace, f->vm[0].proxied,
		f->plan.settings != NULL ? f->plan.settings : "");
	char *path = fleet_file(f, f->vm[i].name, text);
	char *argv[] = {"mangoloomd", "--settings", path, NULL};

	f->vm[i].pid = spawn(f, f->vm[i].name, argv, -1, -1);
	g_free(trace);
	g_free(path);
	g_free(text);
}

void fleet_vm_signal(struct test_fleet *f, int vm, int sig)
{
	kill(f->vm[vm].pid, sig);
	if (sig == SIGKILL)
		test_kill_process(&f->vm[vm].pid);
}

int fleet_vm_wait(struct test_fleet *f, int vm)
{
	int status = 0;

	waitpid(f->vm[vm].pid, &status, 0);
	f->vm[vm].pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void fleet_member_signal(struct test_fleet *f, int member, int sig)
{
	kill(f->member[member].pid, sig);
	if (sig == SIGKILL)
		test_kill_process(&f->member[member].pid);
}

int fleet_cli(struct test_fleet *f, char **out, const char *args, ...)
{
	char *common_args =
		g_strdup_printf("mangoloom --platform 127.0.0.1:%d --secret-file %s/secret ",
				f->platform_port, f->dir);
	char *command, *line, **argv;
	GString *text = g_string_new(NULL);
	char buf[4096];
	int status, fds[2];
	va_list ap;
	ssize_t n;
	pid_t pid;

	va_start(ap, args);
	command = g_strdup_vprintf(args, ap);
	va_end(ap);
	line = g_strconcat(common_args, command, NULL);
	argv = g_strsplit(line, " ", -1);
	if (pipe2(fds, O_CLOEXEC) != 0)
		abort();
	pid = spawn(f, "cli", argv, -1, fds[1]);
	close(fds[1]);
	while ((n = read(fds[0], buf, sizeof(buf))) > 0)
		g_string_append_len(text, buf, n);
	close(fds[0]);
	waitpid(pid, &status, 0);
	g_strfreev(argv);
	g_free(line);
	g_free(command);
	g_free(common_args);
	if (out != NULL)
		*out = g_string_free(text, FALSE);
	else
		g_string_free(text, TRUE);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

char *fleet_create_key(struct test_fleet *f, const char *team)
{
	char *out = NULL;

	fleet_cli(f, &out, "key give %s", team);
	return g_strstrip(out);
}

static const char *const default_routes =
	"[[team]]\nname = \"clerks\"\nrate = 100000\nburst = 100000\n"
	"[[route]]\nname = \"orders\"\nkind = \"order\"\npool = \"pool1\"\n"
	"[[route]]\nname = \"own\"\nkind = \"own\"\npool = \"pool1\"\nwrite = false\n"
	"[[route]]\nname = \"pages\"\nkind = \"page\"\npool = \"pool1\"\nwrite = false\n"
	"max_age_ms = 5000\n";

static char *pools_toml(struct test_fleet *f)
{
	GString *out = g_string_new(NULL);
	int i;

	for (i = 0; i < f->n_members; i++) {
		if (i % 3 == 0)
			g_string_append_printf(out,
					       "[[pool]]\nname = \"pool%d\"\nconfirm = \"%s\"\n",
					       i / 3 + 1, f->plan.confirm);
		g_string_append_printf(
			out,
			"[[pool.member]]\nname = \"%s\"\naddress = \"127.0.0.1:%d\"\n"
			"data_center = \"%s\"\nslots = %d\nconnections = %d\n",
			f->member[i].name, f->member[i].proxied, f->member[i].dc, f->plan.slots,
			f->plan.connections);
	}
	return g_string_free(out, FALSE);
}

static void plan_defaults(struct fleet_plan *p)
{
	p->data_centers = p->data_centers > 0 ? p->data_centers : 3;
	p->vms = p->vms > 0 ? p->vms : 3;
	p->pools = p->pools > 0 ? p->pools : 1;
	p->slots = p->slots > 0 ? p->slots : 2;
	p->connections = p->connections > 0 ? p->connections : 16;
	p->confirm = p->confirm != NULL ? p->confirm : "replica";
	p->routes = p->routes != NULL ? p->routes : default_routes;
}

static void assign_names_and_ports(struct test_fleet *f)
{
	int ports[128];
	int i, n = 0;

	test_free_ports(ports, 1 + f->n_members * 2 + f->plan.vms * 3);
	f->platform_port = ports[n++];
	for (i = 0; i < f->n_members; i++) {
		g_snprintf(f->member[i].dc, 32, "dc%d", (i + i / 3) % f->plan.data_centers + 1);
		g_snprintf(f->member[i].name, 32, "%s-db%d", f->member[i].dc, i);
		f->member[i].port = ports[n++];
		f->member[i].proxied = f->plan.bypass_proxy ? f->member[i].port : ports[n++];
	}
	for (i = 0; i < f->plan.vms; i++) {
		g_snprintf(f->vm[i].dc, 32, "dc%d", i % f->plan.data_centers + 1);
		g_snprintf(f->vm[i].name, 32, "%s-vm%d", f->vm[i].dc, i);
		f->vm[i].caller = ports[n++];
		f->vm[i].rpc = ports[n++];
		f->vm[i].proxied = f->plan.bypass_proxy ? f->vm[i].rpc : ports[n++];
	}
}

static bool orders_served(struct test_fleet *f, void *arg)
{
	int i;

	for (i = 0; i < f->plan.vms; i++) {
		PGconn *c = fleet_connect(f, i, "clerks", f->key,
					  "-c mangoloom.kind=order -c mangoloom.deadline_ms=2000");
		bool ok = strcmp(sql(c, NULL, 0, "INSERT INTO warm VALUES ('up', '1')"), "00000") ==
			  0;

		PQfinish(c);
		if (!ok)
			return false;
	}
	return true;
}

static bool tables_applied(struct test_fleet *f, void *arg)
{
	return fleet_cli(f, NULL, "apply --routes %s/routes.toml --pools %s/pools.toml", f->dir,
			 f->dir) == 0;
}

struct test_fleet *fleet_start_up(const struct fleet_plan *plan)
{
	struct test_fleet *f = g_new0(struct test_fleet, 1);
	char *vms, *line, *key;
	int i;

	f->plan = *plan;
	plan_defaults(&f->plan);
	f->n_members = f->plan.pools * 3;
	f->dir = g_dir_make_tmp("mangoloom-test-XXXXXX", NULL);
	assign_names_and_ports(f);
	vms = vms_json(f, -1);
	g_free(fleet_file(f, "vms.json", vms));
	g_free(fleet_file(f, "secret", "test"));
	g_free(fleet_file(f, "routes.toml", f->plan.routes));
	f->pools_toml = pools_toml(f);
	g_free(fleet_file(f, "pools.toml", f->pools_toml));
	line = g_strdup_printf("standin-platform --port %d --vms %s/vms.json", f->platform_port,
			       f->dir);
	f->platform = spawn_command(f, "platform", line);
	if (!f->plan.bypass_proxy)
		start_proxy(f);
	for (i = 0; i < f->n_members; i++)
		start_member(f, i);
	for (i = 0; i < f->plan.vms; i++)
		fleet_vm_start(f, i);
	CHECK(wait_until(tables_applied, f, NULL, START_TIMEOUT_MS),
	      "routes and pools cannot be applied; see %s", f->dir);
	key = fleet_create_key(f, "clerks");
	g_strlcpy(f->key, key, sizeof(f->key));
	if (f->plan.routes == default_routes)
		CHECK(wait_until(orders_served, f, NULL, START_TIMEOUT_MS),
		      "not all VMs accept orders; see %s", f->dir);
	g_free(key);
	g_free(line);
	g_free(vms);
	return f;
}

void fleet_tear_down(struct test_fleet *f)
{
	bool keep = CU_get_number_of_failures() > 0 || getenv("KEEP") != NULL;
	int i;

	for (i = 0; i < f->plan.vms; i++)
		test_kill_process(&f->vm[i].pid);
	for (i = 0; i < f->n_members; i++)
		test_kill_process(&f->member[i].pid);
	test_kill_process(&f->platform);
	test_proxy_stop(&f->proxy);
	if (keep) {
		printf("logs are kept in %s\n", f->dir);
	} else {
		char *argv[] = {"/bin/rm", "-rf", f->dir, NULL};
		pid_t pid;

		if (posix_spawn(&pid, argv[0], NULL, NULL, argv, environ) == 0)
			waitpid(pid, NULL, 0);
	}
	g_free(f->pools_toml);
	g_free(f->dir);
	g_free(f);
}
