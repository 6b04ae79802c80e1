/** @file rig.c Daemons, the network between zones, the record, and main(). */
#include "rig.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/** The whole run has to be over by then. */
#define LIMIT_MS 100000

struct rig rig;

int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

void note(const char *format, ...)
{
	va_list args;

	fprintf(rig.record, "%10.3f ", (double)(now_us() - rig.started_us) / 1e6);
	va_start(args, format);
	vfprintf(rig.record, format, args);
	va_end(args);
	fputc('\n', rig.record);
}

/* Which daemon a connection belongs to */

static unsigned long socket_inode(int port)
{
	unsigned long inode, found = 0;
	unsigned local;
	char line[512];
	FILE *f = fopen("/proc/net/tcp", "r");

	while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
		if (sscanf(line, " %*d: %*8x:%x %*8x:%*x %*x %*x:%*x %*x:%*x %*x %*d %*d %lu",
			   &local, &inode) == 2 &&
		    (int)local == port && inode != 0)
			found = inode;
	}
	if (f != NULL)
		fclose(f);
	return found;
}

static bool has_socket(pid_t pid, unsigned long inode)
{
	char path[64], wanted[64], target[64];
	struct dirent *e;
	bool found = false;
	ssize_t n;
	DIR *d;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	snprintf(wanted, sizeof(wanted), "socket:[%lu]", inode);
	d = opendir(path);
	while (d != NULL && !found && (e = readdir(d)) != NULL) {
		n = readlinkat(dirfd(d), e->d_name, target, sizeof(target) - 1);
		target[n > 0 ? n : 0] = '\0';
		found = strcmp(target, wanted) == 0;
	}
	if (d != NULL)
		closedir(d);
	return found;
}

/** Process that had a local port when it was looked up. */
struct owner {
	struct vm *vm;
	pid_t pid;
};

struct vm *vm_of_port(int port)
{
	static struct owner known[65536];
	unsigned long inode;
	unsigned i;

	if (known[port].vm != NULL && known[port].vm->pid == known[port].pid)
		return known[port].vm;
	inode = socket_inode(port);
	for (i = 0; i < N_VMS && inode != 0; i++) {
		if (rig.vm[i].pid > 0 && has_socket(rig.vm[i].pid, inode)) {
			known[port] = (struct owner){.vm = &rig.vm[i], .pid = rig.vm[i].pid};
			return &rig.vm[i];
		}
	}
	return NULL;
}

int peer_port(evutil_socket_t fd)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	return getpeername(fd, (struct sockaddr *)&sin, &len) == 0 ? ntohs(sin.sin_port) : 0;
}

struct evconnlistener *listen_on(int *port, evconnlistener_cb cb, void *arg)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)*port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct evconnlistener *l = evconnlistener_new_bind(
		rig.base, cb, arg, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 256,
		(struct sockaddr *)&sin, sizeof(sin));
	socklen_t len = sizeof(sin);

	if (l == NULL)
		rig_end(CASE_NOT_RUN, "cannot listen");
	getsockname(evconnlistener_get_fd(l), (struct sockaddr *)&sin, &len);
	*port = ntohs(sin.sin_port);
	return l;
}

/** Ports below those that the system gives to outgoing connections, which could take one meanwhile.
 */
#define PORT_FIRST 12000
#define PORT_RANGE 20000

/** Returns a port that is free now. */
static int free_port(void)
{
	static unsigned tries;
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	bool bound = false;
	int fd, port = 0;

	while (!bound && tries < PORT_RANGE) {
		port = PORT_FIRST + (int)(((unsigned)getpid() * 97 + tries++) % PORT_RANGE);
		sin.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		bound = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
		close(fd);
	}
	if (!bound)
		rig_end(CASE_NOT_RUN, "no free port");
	return port;
}

/* The network between daemons. While it is cut, nothing is delivered in either direction. */

struct link {
	struct bufferevent *client, *server;
	const char *from, *to;
};

static GPtrArray *links;

static bool link_cut(const struct link *l)
{
	return is_cut(l->from, l->to);
}

static void link_close(struct link *l)
{
	bufferevent_free(l->client);
	if (l->server != NULL)
		bufferevent_free(l->server);
	g_ptr_array_remove(links, l);
	g_free(l);
}

static void link_read(struct bufferevent *bev, void *arg)
{
	struct link *l = arg;
	struct bufferevent *other = bev == l->client ? l->server : l->client;

	if (!link_cut(l) && other != NULL)
		evbuffer_add_buffer(bufferevent_get_output(other), bufferevent_get_input(bev));
}

static void link_event(struct bufferevent *bev, short what, void *arg)
{
	struct link *l = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	/* The end of a connection is not seen across a cut either. */
	if (link_cut(l))
		bufferevent_disable(bev, EV_READ | EV_WRITE);
	else
		link_close(l);
}

static void link_accept(struct evconnlistener *listener, evutil_socket_t fd, struct sockaddr *sa,
			int len, void *arg)
{
	struct vm *to = arg, *from = vm_of_port(peer_port(fd));
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)to->control),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct link *l = g_new0(struct link, 1);

	l->from = from != NULL ? from->zone : NULL;
	l->to = to->zone;
	l->client = bufferevent_socket_new(rig.base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(l->client, link_read, NULL, link_event, l);
	g_ptr_array_add(links, l);
	if (link_cut(l))
		return;
	l->server = bufferevent_socket_new(rig.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(l->server, link_read, NULL, link_event, l);
	bufferevent_enable(l->client, EV_READ | EV_WRITE);
	bufferevent_enable(l->server, EV_READ | EV_WRITE);
	bufferevent_socket_connect(l->server, (struct sockaddr *)&sin, sizeof(sin));
}

bool is_cut(const char *a, const char *b)
{
	bool in_a, in_b;

	if (rig.cut_zone == NULL)
		return false;
	in_a = a != NULL && strcmp(a, rig.cut_zone) == 0;
	in_b = b != NULL && strcmp(b, rig.cut_zone) == 0;
	return in_a != in_b;
}

void cut_begin(const char *zone)
{
	guint i;

	note("network    zone %s is cut off from the other zones and the platform; clients still "
	     "reach it",
	     zone);
	rig.cut_zone = zone;
	for (i = 0; i < links->len; i++) {
		struct link *l = g_ptr_array_index(links, i);

		if (!link_cut(l))
			continue;
		bufferevent_disable(l->client, EV_READ | EV_WRITE);
		if (l->server != NULL)
			bufferevent_disable(l->server, EV_READ | EV_WRITE);
	}
}

/* Daemons */

static void replace(char **text, const char *what, const char *with)
{
	char **parts = g_strsplit(*text, what, -1);

	g_free(*text);
	*text = g_strjoinv(with, parts);
	g_strfreev(parts);
}

/** Writes the daemon's settings from the template, with the bounds of benammar-pool. */
static void write_settings(const struct vm *vm, const char *path)
{
	static const char *const bounds[][2] = {
		{"{{bounds.drain-timeout-ms}}", "7000"},
		{"{{bounds.grace-period-s}}", "6"},
		{"{{bounds.quota-window-s}}", "5"},
		{"{{bounds.quota-overshoot}}", "0.1"},
		{"{{bounds.quota-slack}}", "20"},
		{"{{#bounds.evacuation-ms}}evacuate_ms = "
		 "{{bounds.evacuation-ms}}{{/bounds.evacuation-ms}}",
		 ""},
	};
	char *text = NULL, *seeds, address[128];
	guint i;

	if (!g_file_get_contents("deploy/settings.toml.in", &text, NULL, NULL))
		rig_end(CASE_NOT_RUN, "deploy/settings.toml.in cannot be read");
	for (i = 0; i < G_N_ELEMENTS(bounds); i++)
		replace(&text, bounds[i][0], bounds[i][1]);
	replace(&text, "{{node-name}}", vm->name);
	replace(&text, "{{zone}}", vm->zone);
	snprintf(address, sizeof(address), "127.0.0.1:%d", vm->front);
	replace(&text, "{{listen-addresses.front}}", address);
	/* The other daemons reach this one through the rig, which cuts the links between zones. */
	snprintf(address, sizeof(address), "127.0.0.1:%d\"\nadvertise = \"127.0.0.1:%d",
		 vm->control, vm->advertised);
	replace(&text, "{{listen-addresses.control}}", address);
	snprintf(address, sizeof(address), "127.0.0.1:%d", vm->ready);
	replace(&text, "{{listen-addresses.ready}}", address);
	replace(&text, "{{ip-address}}", "127.0.0.1");
	snprintf(address, sizeof(address), "%d", vm->metrics);
	replace(&text, "{{internal-port-range.0}}", address);
	snprintf(address, sizeof(address), "127.0.0.1:%d", rig.store_port);
	replace(&text, "{{platform.address}}", address);
	snprintf(address, sizeof(address), "127.0.0.1:%d", rig.promoter_port);
	replace(&text, "{{cloud-api.address}}", address);
	seeds = g_strdup_printf("[\"127.0.0.1:%d\",\"127.0.0.1:%d\",\"127.0.0.1:%d\"]",
				rig.vm[0].advertised, rig.vm[1].advertised, rig.vm[2].advertised);
	replace(&text, "{{seed-nodes|json}}", seeds);
	g_free(seeds);
	if (strstr(text, "{{") != NULL || !g_file_set_contents(path, text, -1, NULL))
		rig_end(CASE_NOT_RUN, "settings cannot be written");
	g_free(text);
}

/** Starts the daemon with the command of deploy/system.toml. */
void vm_start(struct vm *vm)
{
	char settings[320], log[320];
	int fd;

	snprintf(settings, sizeof(settings), "%s/%s.toml", rig.dir, vm->name);
	snprintf(log, sizeof(log), "%s/%s.log", rig.dir, vm->name);
	write_settings(vm, settings);
	fflush(rig.record);
	vm->pid = fork();
	if (vm->pid == 0) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, 1);
		dup2(fd, 2);
		for (fd = 3; fd < 1024; fd++)
			close(fd);
		execl("target/mangoloomd", "target/mangoloomd", "--settings", settings,
		      (char *)NULL);
		_exit(127);
	}
	note("process    %s starts", vm->name);
}

void vm_kill(struct vm *vm)
{
	note("process    %s is killed (SIGKILL)", vm->name);
	kill(vm->pid, SIGKILL);
	waitpid(vm->pid, NULL, 0);
	vm->pid = 0;
}

bool vm_is_ready(const struct vm *vm)
{
	static const char request[] = "GET /-/readiness HTTP/1.0\r\n\r\n";
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)vm->ready),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval tv = {.tv_usec = 200000};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char answer[64] = "";
	bool ready;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	ready = connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
		write(fd, request, sizeof(request) - 1) > 0 &&
		read(fd, answer, sizeof(answer) - 1) > 0 && strstr(answer, " 200 ") != NULL;
	close(fd);
	return ready;
}

/* Timers and the end */

struct timer_call {
	void (*cb)(void *);
	void *arg;
};

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timer_call *t = arg;

	t->cb(t->arg);
	g_free(t);
}

void after_ms(int ms, void (*cb)(void *), void *arg)
{
	struct timeval tv = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
	struct timer_call *t = g_new0(struct timer_call, 1);

	t->cb = cb;
	t->arg = arg;
	event_base_once(rig.base, -1, EV_TIMEOUT, on_timer, t, &tv);
}

void rig_end(int code, const char *why)
{
	static const char *const results[] = {"held", "BROKEN", "not run"};
	unsigned i;

	for (i = 0; i < N_VMS; i++) {
		if (rig.vm[i].pid > 0) {
			kill(rig.vm[i].pid, SIGKILL);
			waitpid(rig.vm[i].pid, NULL, 0);
		}
	}
	if (rig.record != NULL) {
		note("result     %s: %s", results[code], why);
		fclose(rig.record);
	}
	printf("%s: %s\n", results[code], why);
	exit(code);
}

static void on_limit(void *arg)
{
	rig_end(CASE_NOT_RUN, "out of time");
}

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	rig_end(CASE_NOT_RUN, "stopped by a signal");
}

int main(int argc, char **argv)
{
	static const char *const zones[N_VMS] = {"tunis-ben", "ariana", "ben-arous"};
	unsigned i;

	if (argc != 3) {
		fprintf(stderr, "usage: case-N RECORD DIRECTORY\n");
		return CASE_NOT_RUN;
	}
	signal(SIGPIPE, SIG_IGN);
	rig.record = fopen(argv[1], "w");
	if (rig.record == NULL)
		return CASE_NOT_RUN;
	setvbuf(rig.record, NULL, _IOLBF, 0);
	g_strlcpy(rig.dir, argv[2], sizeof(rig.dir));
	rig.trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	rig.without_late = g_strcmp0(g_getenv("LATE"), "0") == 0;
	rig.started_us = now_us();
	rig.base = event_base_new();
	links = g_ptr_array_new();
	event_add(evsignal_new(rig.base, SIGTERM, on_signal, NULL), NULL);
	event_add(evsignal_new(rig.base, SIGINT, on_signal, NULL), NULL);
	for (i = 0; i < N_VMS; i++) {
		struct vm *vm = &rig.vm[i];

		vm->zone = zones[i];
		snprintf(vm->name, sizeof(vm->name), "front-%s-1", zones[i]);
		vm->front = free_port();
		vm->control = free_port();
		vm->ready = free_port();
		vm->metrics = free_port();
		listen_on(&vm->advertised, link_accept, vm);
	}
	for (i = 0; i < N_MEMBERS; i++) {
		rig.member[i].zone = zones[i];
		snprintf(rig.member[i].id, sizeof(rig.member[i].id), "i-%s", zones[i]);
	}
	note("trouble    %s", rig.trouble ? "yes" : "no");
	store_start();
	members_start();
	store_write_config();
	after_ms(LIMIT_MS, on_limit, NULL);
	case_start();
	event_base_dispatch(rig.base);
	return CASE_NOT_RUN;
}
