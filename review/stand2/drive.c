/** @file drive.c Processes of a case, and clients. */
#include "drive.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_S 5
#define START_TIMEOUT_MS 20000
#define PORT_MIN 12000
#define PORT_MAX 32000
#define PORT_TRIES 1000

/** The folder of the case, which run.sh gives. */
static const char *case_folder(void)
{
	const char *folder = g_getenv("CASE_DIR");

	return folder != NULL ? folder : ".";
}

void sleep_ms(int ms)
{
	g_usleep((gulong)ms * 1000);
}

/** Sockets that reserve the ports until all are known. */
static int reserved[64];
static unsigned n_reserved;

/**
 * Reserves a free port below those that the system gives to outgoing connections: one of these
 * could take a port before its daemon listens on it, or while the daemon is restarted.
 */
static int free_port(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), tries;

	for (tries = 0; tries < PORT_TRIES && n_reserved < G_N_ELEMENTS(reserved); tries++) {
		sin.sin_port = htons((uint16_t)g_random_int_range(PORT_MIN, PORT_MAX));
		if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
			continue;
		reserved[n_reserved++] = fd;
		return ntohs(sin.sin_port);
	}
	fprintf(stderr, "no free port\n");
	exit(2);
}

static void ports_release(void)
{
	while (n_reserved > 0)
		close(reserved[--n_reserved]);
}

/* Settings: the template of the deploy file, filled in as the platform does */

static char *substitute(char *text, const char *what, const char *with)
{
	char **parts = g_strsplit(text, what, -1);
	char *joined = g_strjoinv(with, parts);

	g_strfreev(parts);
	g_free(text);
	return joined;
}

static char *substitute_number(char *text, const char *what, double number)
{
	char with[32];

	g_snprintf(with, sizeof(with), "%g", number);
	return substitute(text, what, with);
}

static char *address_of(int port)
{
	return g_strdup_printf("127.0.0.1:%d", port);
}

static char *substitute_address(char *text, const char *what, int port)
{
	char *address = address_of(port);

	text = substitute(text, what, address);
	g_free(address);
	return text;
}

static void write_settings(struct drive *d, const struct vm *vm)
{
	char *path = g_strdup_printf("%s/%s.toml", d->dir, vm->name);
	char *text = NULL, *section, *end;
	GString *seeds = g_string_new("[");
	unsigned i;

	if (!g_file_get_contents("deploy/settings.toml.in", &text, NULL, NULL))
		drive_exit(d, 2);
	/* A section whose value the deployment does not have. */
	while ((section = strstr(text, "{{#bounds.evacuation-ms}}")) != NULL &&
	       (end = strstr(section, "{{/bounds.evacuation-ms}}")) != NULL) {
		end += strlen("{{/bounds.evacuation-ms}}");
		memmove(section, end, strlen(end) + 1);
	}
	for (i = 0; i < d->n_vms; i++)
		g_string_append_printf(seeds, "%s\"127.0.0.1:%d\"", i > 0 ? "," : "",
				       d->vm[i].control);
	g_string_append_c(seeds, ']');
	text = substitute(text, "{{node-name}}", vm->name);
	text = substitute(text, "{{zone}}", vm->zone);
	text = substitute_address(text, "{{listen-addresses.front}}", vm->front);
	text = substitute_address(text, "{{listen-addresses.control}}", vm->control);
	text = substitute_address(text, "{{listen-addresses.ready}}", vm->ready);
	text = substitute_address(text, "{{ip-address}}:{{internal-port-range.0}}", vm->metrics);
	text = substitute_number(text, "{{bounds.drain-timeout-ms}}", d->world.drain_ms);
	text = substitute_number(text, "{{bounds.grace-period-s}}", 6);
	text = substitute_address(text, "{{platform.address}}", d->world.store_port);
	text = substitute_address(text, "{{cloud-api.address}}", vm->promotion);
	text = substitute(text, "{{seed-nodes|json}}", seeds->str);
	text = substitute_number(text, "{{bounds.quota-window-s}}", 5);
	text = substitute_number(text, "{{bounds.quota-overshoot}}", 0.1);
	text = substitute_number(text, "{{bounds.quota-slack}}", 20);
	if (strstr(text, "{{") != NULL || !g_file_set_contents(path, text, -1, NULL)) {
		fprintf(stderr, "the settings' template has a field that the case does not know\n");
		drive_exit(d, 2);
	}
	g_string_free(seeds, TRUE);
	g_free(text);
	g_free(path);
}

/* Processes */

static void vm_start(struct drive *d, struct vm *vm)
{
	char *settings = g_strdup_printf("%s/%s.toml", d->dir, vm->name);
	char *log = g_strdup_printf("%s/%s.log", d->dir, vm->name);
	pid_t parent = getpid();

	vm->pid = fork();
	if (vm->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(2);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("MANGOLOOM_CONFIG", settings, 1);
		execl("target/mangoloomd", "target/mangoloomd", "--settings", settings, NULL);
		_exit(2);
	}
	record("machine %s starts", vm->name);
	g_free(settings);
	g_free(log);
}

static void world_start(struct drive *d)
{
	int to[2], from[2];
	pid_t parent = getpid();

	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, to) != 0 ||
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, from) != 0)
		exit(2);
	d->world_pid = fork();
	if (d->world_pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(2);
		close(to[1]);
		close(from[0]);
		world_run(&d->world, to[0], from[1]);
	}
	close(to[0]);
	close(from[1]);
	d->commands = to[1];
	d->replies = from[0];
}

void drive_command(struct drive *d, const char *format, ...)
{
	GString *line = g_string_new(NULL);
	char reply[3];
	va_list args;
	size_t got = 0;

	va_start(args, format);
	g_string_vprintf(line, format, args);
	va_end(args);
	g_string_append_c(line, '\n');
	if (write(d->commands, line->str, line->len) != (ssize_t)line->len)
		drive_exit(d, 2);
	while (got < sizeof(reply)) {
		ssize_t n = read(d->replies, reply + got, sizeof(reply) - got);

		if (n <= 0)
			drive_exit(d, 2);
		got += (size_t)n;
	}
	g_string_free(line, TRUE);
}

void drive_start(struct drive *d, unsigned n_vms, const char *config)
{
	static const char *const zones[VMS_MAX] = {"north", "middle", "south",
						   "north", "south",  "north"};
	static const char *const names[VMS_MAX] = {"front-north-1", "front-middle-1",
						   "front-south-1", "front-north-2",
						   "front-south-2", "front-north-3"};
	const char *trouble = getenv("TROUBLE");
	unsigned i;

	signal(SIGPIPE, SIG_IGN);
	d->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	d->dir = g_dir_make_tmp("review-XXXXXX", NULL);
	if (d->dir == NULL || access("target/mangoloomd", X_OK) != 0) {
		fprintf(stderr, "target/mangoloomd is missing: build it first\n");
		exit(2);
	}
	record_open(case_folder());
	record("case %s the disruption", d->trouble ? "with" : "without");
	d->world.store_port = free_port();
	d->world.promotion_port = free_port();
	for (i = 0; i < SERVERS; i++)
		d->world.server[i].port = free_port();
	d->n_vms = n_vms;
	for (i = 0; i < VMS_MAX; i++) {
		struct vm *vm = &d->vm[i];

		vm->name = names[i];
		vm->zone = zones[i];
		vm->front = free_port();
		vm->control = free_port();
		vm->ready = free_port();
		vm->metrics = free_port();
		vm->promotion = free_port();
		d->world.machine[i].name = vm->name;
		d->world.machine[i].port = vm->promotion;
	}
	d->world.machines = VMS_MAX;
	ports_release();
	world_start(d);
	drive_command(d, "config %s", config);
	for (i = 0; i < VMS_MAX; i++)
		write_settings(d, &d->vm[i]);
	for (i = 0; i < n_vms; i++)
		vm_start(d, &d->vm[i]);
}

void drive_signal(struct drive *d, unsigned vm, int sig)
{
	record("machine %s gets %s", d->vm[vm].name, strsignal(sig));
	kill(d->vm[vm].pid, sig);
}

void drive_restart(struct drive *d, unsigned vm)
{
	drive_signal(d, vm, SIGTERM);
	waitpid(d->vm[vm].pid, NULL, 0);
	vm_start(d, &d->vm[vm]);
}

void drive_kill(struct drive *d, unsigned vm)
{
	record("machine %s is killed", d->vm[vm].name);
	kill(d->vm[vm].pid, SIGKILL);
	waitpid(d->vm[vm].pid, NULL, 0);
	d->vm[vm].pid = 0;
}

void drive_up(struct drive *d, unsigned vm)
{
	vm_start(d, &d->vm[vm]);
}

void drive_exit(struct drive *d, int code)
{
	const char *keep = getenv("KEEP");
	unsigned i;

	for (i = 0; i < VMS_MAX; i++) {
		if (d->vm[i].pid > 0) {
			kill(d->vm[i].pid, SIGKILL);
			waitpid(d->vm[i].pid, NULL, 0);
		}
	}
	if (d->world_pid > 0) {
		kill(d->world_pid, SIGKILL);
		waitpid(d->world_pid, NULL, 0);
	}
	if (keep == NULL) {
		GDir *dir = g_dir_open(d->dir, 0, NULL);
		const char *name;

		while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
			char *path = g_build_filename(d->dir, name, NULL);

			unlink(path);
			g_free(path);
		}
		rmdir(d->dir);
	} else {
		fprintf(stderr, "logs are kept in %s\n", d->dir);
	}
	record("case ends with %d", code);
	exit(code);
}

char **drive_record(struct drive *d)
{
	char *text = NULL, **lines;
	char *path = g_strdup_printf("%s/record.txt", case_folder());

	if (!g_file_get_contents(path, &text, NULL, NULL))
		drive_exit(d, 2);
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	g_free(path);
	return lines;
}

/* HTTP */

static int connect_to(int port, int timeout_s)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval tv = {.tv_sec = timeout_s};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

/** GET of @a path. @return the whole answer; to g_free() */
static char *http_get(int port, const char *path)
{
	char *text =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path);
	GString *all = g_string_new(NULL);
	int fd = connect_to(port, 2);
	char buf[4096];
	ssize_t n;

	if (fd >= 0 && write(fd, text, strlen(text)) > 0) {
		while ((n = read(fd, buf, sizeof(buf))) > 0)
			g_string_append_len(all, buf, n);
	}
	if (fd >= 0)
		close(fd);
	g_free(text);
	return g_string_free(all, FALSE);
}

void drive_wait_served(struct drive *d, const char *database, const char *key)
{
	int64_t until = elapsed_us() + START_TIMEOUT_MS * US_PER_MS;
	unsigned i;

	for (i = 0; i < d->n_vms; i++) {
		bool served = false;

		while (!served && elapsed_us() < until) {
			char *ready = http_get(d->vm[i].ready, "/-/readiness");
			struct client c = {0};

			served = strstr(ready, " 200 ") != NULL &&
				 client_open(&c, "check", &d->vm[i], database, key) &&
				 client_query(&c, "READ start");
			client_close(&c);
			g_free(ready);
			if (!served)
				sleep_ms(100);
		}
		if (!served) {
			fprintf(stderr, "%s does not serve\n", d->vm[i].name);
			drive_exit(d, 2);
		}
	}
}

unsigned drive_owner(struct drive *d)
{
	char *path = g_strdup_printf("/-/kv-key?key=mangoloom/group/%s", d->world.service);
	char *text = http_get(d->world.store_port, path);
	char *value = strstr(text, "\"value\":\"");
	unsigned i, owner = 0;
	guchar *plain;
	gsize len;

	if (value == NULL)
		drive_exit(d, 2);
	value += strlen("\"value\":\"");
	*strchr(value, '"') = '\0';
	plain = g_base64_decode(value, &len);
	value = g_strndup((const char *)plain, len);
	for (i = 0; i < d->n_vms; i++) {
		/* The record begins with the owner. */
		char *start = g_strdup_printf("{\"vm\":\"%s\"", d->vm[i].name);

		if (g_str_has_prefix(value, start))
			owner = i;
		g_free(start);
	}
	g_free(value);
	g_free(plain);
	g_free(text);
	g_free(path);
	return owner;
}

/* Clients */

/** Reads a line into @a out. @return false if the connection ended or nothing came in time */
static bool read_line(struct client *c, char *out, size_t size)
{
	char buf[4096];
	ssize_t n;
	char *end;

	while ((end = strstr(c->in->str, "\r\n")) == NULL) {
		n = read(c->fd, buf, sizeof(buf));
		if (n <= 0)
			return false;
		g_string_append_len(c->in, buf, n);
	}
	*end = '\0';
	g_strlcpy(out, c->in->str, size);
	g_string_erase(c->in, 0, end + 2 - c->in->str);
	return true;
}

static void take_error(struct client *c, const char *line)
{
	char **w = g_strsplit(line, " ", 3);

	g_strlcpy(c->code, w[1] != NULL ? w[1] : "", sizeof(c->code));
	g_strlcpy(c->text, w[1] != NULL && w[2] != NULL ? w[2] : "", sizeof(c->text));
	g_strfreev(w);
}

/** Reads an answer up to READY. */
static bool read_answer(struct client *c)
{
	char line[1024];

	c->code[0] = c->text[0] = c->row[0] = '\0';
	while (read_line(c, line, sizeof(line))) {
		if (g_str_has_prefix(line, "ROW "))
			g_strlcpy(c->row, line + 4, sizeof(c->row));
		else if (g_str_has_prefix(line, "COMPLETE")) {
			g_strlcpy(c->code, "COMPLETE", sizeof(c->code));
			g_strlcpy(c->text, line + strlen("COMPLETE "), sizeof(c->text));
		} else if (g_str_has_prefix(line, "ERROR "))
			take_error(c, line);
		else if (g_str_has_prefix(line, "READY ")) {
			c->state = line[6];
			return true;
		}
	}
	return false;
}

bool client_open(struct client *c, const char *name, const struct vm *vm, const char *database,
		 const char *key)
{
	char *start = g_strdup_printf("START %s%s%s\r\n", database, key[0] != '\0' ? " " : "", key);
	bool ok;

	memset(c, 0, sizeof(*c));
	c->name = name;
	c->in = g_string_new(NULL);
	c->fd = connect_to(vm->front, ANSWER_TIMEOUT_S);
	ok = c->fd >= 0 && write(c->fd, start, strlen(start)) > 0 && read_answer(c) &&
	     c->state == 'I' && c->code[0] == '\0';
	record("client %s opens %s at %s: %s", name, database, vm->name, ok ? "ready" : c->code);
	g_free(start);
	return ok;
}

bool client_query(struct client *c, const char *format, ...)
{
	static gint next;
	GString *line = g_string_new(NULL);
	va_list args;
	bool ok;

	g_snprintf(c->id, sizeof(c->id), "q%08x", (unsigned)g_atomic_int_add(&next, 1) + 1);
	g_string_printf(line, "QUERY %s ", c->id);
	va_start(args, format);
	g_string_append_vprintf(line, format, args);
	va_end(args);
	c->sent_us = elapsed_us();
	record("client %s sends %s", c->name, line->str);
	g_string_append(line, "\r\n");
	ok = c->fd >= 0 && write(c->fd, line->str, line->len) == (ssize_t)line->len &&
	     read_answer(c);
	c->answered_us = elapsed_us();
	if (ok)
		record("client %s answered %s %s %s row '%s' state %c", c->name, c->id, c->code,
		       c->text, c->row, c->state);
	else
		record("client %s no answer %s", c->name, c->id);
	g_string_free(line, TRUE);
	if (!ok) {
		c->code[0] = '\0';
		return false;
	}
	return strcmp(c->code, "COMPLETE") == 0;
}

void client_close(struct client *c)
{
	if (c->in == NULL)
		return;
	if (c->fd >= 0)
		close(c->fd);
	g_string_free(c->in, TRUE);
	c->in = NULL;
	c->fd = -1;
}
