/**
 * @file faultproxy.c
 * Forwards TCP connections on 127.0.0.1 and injects network faults on command. Each argument
 * NAME=LISTEN:TARGET defines a route from one port to another. Commands are read as lines from
 * standard input, "COMMAND ROUTE [LABEL|NUMBER]"; each is answered by a line "ok":
 *
 *   pass ROUTE [LABEL]    forward normally; data that was held back is delivered
 *   cut ROUTE [LABEL]     close open connections and refuse new ones
 *   hold ROUTE [LABEL]    deliver nothing in either direction, on open and new connections
 *   freeze ROUTE          deliver nothing on open connections, for good; new ones work
 *   mute ROUTE            hold back what the server sends, deliver what the client sends
 *   deaf ROUTE            hold back what the client sends, deliver what the server sends
 *   reset ROUTE           close open connections
 *   delay ROUTE MS        deliver after a delay
 *
 * A LABEL limits a command to connections whose first bytes contain it, such as the name of the
 * VM or member that connects.
 */
#include "kernel.h"
#include "net.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RULES_MAX 16
#define FIRST_BYTES_MAX 512

enum mode { MODE_PASS, MODE_CUT, MODE_HOLD, MODE_MUTE, MODE_DEAF };

struct rule {
	char label[32];
	enum mode mode;
};

struct link;
TAILQ_HEAD(links, link);

struct route {
	TAILQ_ENTRY(route) entry;
	char name[32];
	int target_port;
	enum mode mode;
	struct rule rule[RULES_MAX];
	unsigned n_rules;
	int delay_ms;
	struct links links;
};
TAILQ_HEAD(routes, route);

/** A forwarded connection: its client side and its server side. */
struct link {
	TAILQ_ENTRY(link) entry;
	struct route *route;
	struct bufferevent *client, *server;
	char first_bytes[FIRST_BYTES_MAX]; /**< sent by the client; matched with labels */
	size_t first_bytes_len;
	bool frozen;
	struct event *timer;
};

static struct event_base *base;
static struct routes routes = TAILQ_HEAD_INITIALIZER(routes);

static void link_close(struct link *l)
{
	TAILQ_REMOVE(&l->route->links, l, entry);
	event_free(l->timer);
	bufferevent_free(l->client);
	bufferevent_free(l->server);
	g_free(l);
}

static enum mode link_mode(const struct link *l)
{
	const struct route *r = l->route;
	unsigned i;

	for (i = 0; i < r->n_rules; i++) {
		if (r->rule[i].mode != MODE_PASS &&
		    memmem(l->first_bytes, l->first_bytes_len, r->rule[i].label,
			   strlen(r->rule[i].label)) != NULL)
			return r->rule[i].mode;
	}
	return r->mode;
}

/** Forwards buffered data in the directions that the connection's mode allows. */
static void link_forward(struct link *l)
{
	enum mode mode = link_mode(l);

	if (l->frozen || mode == MODE_HOLD)
		return;
	if (mode != MODE_DEAF)
		bufferevent_write_buffer(l->server, bufferevent_get_input(l->client));
	if (mode != MODE_MUTE)
		bufferevent_write_buffer(l->client, bufferevent_get_input(l->server));
}

static void on_delay_timer(evutil_socket_t fd, short what, void *arg)
{
	link_forward(arg);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct link *l = arg;

	if (bev == l->client && l->first_bytes_len < FIRST_BYTES_MAX) {
		ssize_t n = evbuffer_copyout(bufferevent_get_input(bev),
					     l->first_bytes + l->first_bytes_len,
					     FIRST_BYTES_MAX - l->first_bytes_len);

		if (n > 0)
			l->first_bytes_len += (size_t)n;
	}
	if (link_mode(l) == MODE_CUT) {
		link_close(l);
		return;
	}
	if (l->route->delay_ms > 0) {
		struct timeval tv = {.tv_sec = l->route->delay_ms / 1000,
				     .tv_usec = l->route->delay_ms % 1000 * 1000};

		if (!event_pending(l->timer, EV_TIMEOUT, NULL))
			event_add(l->timer, &tv);
		return;
	}
	link_forward(l);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct link *l = arg;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	/* A connection that is held or frozen does not pass on the close either. */
	if (l->frozen || link_mode(l) == MODE_HOLD) {
		bufferevent_disable(bev, EV_READ);
		return;
	}
	link_forward(l);
	if (evbuffer_get_length(bufferevent_get_output(l->client)) > 0 && bev == l->server) {
		bufferevent_flush(l->client, EV_WRITE, BEV_FLUSH);
		evbuffer_write(bufferevent_get_output(l->client), bufferevent_getfd(l->client));
	}
	link_close(l);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd, struct sockaddr *sa,
		      int len, void *arg)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct route *r = arg;
	struct link *l;

	if (r->mode == MODE_CUT) {
		evutil_closesocket(fd);
		return;
	}
	net_set_nodelay(fd);
	l = g_new0(struct link, 1);
	l->route = r;
	sin.sin_port = htons((uint16_t)r->target_port);
	l->timer = event_new(base, -1, 0, on_delay_timer, l);
	l->client =
		bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	l->server =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	TAILQ_INSERT_TAIL(&r->links, l, entry);
	bufferevent_setcb(l->client, on_read, NULL, on_event, l);
	bufferevent_setcb(l->server, on_read, NULL, on_event, l);
	bufferevent_enable(l->client, EV_READ | EV_WRITE);
	bufferevent_enable(l->server, EV_READ | EV_WRITE);
	bufferevent_socket_connect(l->server, (struct sockaddr *)&sin, sizeof(sin));
}

static void route_add(const char *text)
{
	struct route *r = g_new0(struct route, 1);
	char address[ADDRESS_SIZE];
	int listen_port;

	TAILQ_INIT(&r->links);
	if (sscanf(text, "%31[^=]=%d:%d", r->name, &listen_port, &r->target_port) != 3)
		exit(2);
	snprintf(address, sizeof(address), "127.0.0.1:%d", listen_port);
	if (net_listen(base, address, on_accept, r, NULL) == NULL) {
		fprintf(stderr, "faultproxy: cannot listen on %s\n", address);
		exit(1);
	}
	TAILQ_INSERT_TAIL(&routes, r, entry);
}

static void route_set_mode(struct route *r, const char *label, enum mode mode)
{
	unsigned i;

	if (label[0] == '\0') {
		r->mode = mode;
		if (mode == MODE_PASS)
			r->n_rules = 0;
		return;
	}
	for (i = 0; i < r->n_rules; i++) {
		if (strcmp(r->rule[i].label, label) == 0)
			break;
	}
	if (i == RULES_MAX)
		return;
	g_strlcpy(r->rule[i].label, label, sizeof(r->rule[i].label));
	r->rule[i].mode = mode;
	r->n_rules = MAX(r->n_rules, i + 1);
}

static void apply_to_links(struct route *r, bool freeze, bool reset)
{
	struct link *l, *next;

	TAILQ_FOREACH_SAFE(l, &r->links, entry, next) {
		l->frozen = l->frozen || freeze;
		if (reset || link_mode(l) == MODE_CUT)
			link_close(l);
		else
			link_forward(l);
	}
}

static void run_command(const char *line)
{
	static const struct {
		const char *word;
		enum mode mode;
	} modes[] = {
		{"pass", MODE_PASS}, {"cut", MODE_CUT},	  {"hold", MODE_HOLD},
		{"mute", MODE_MUTE}, {"deaf", MODE_DEAF},
	};
	char word[32] = "", name[32] = "", arg[32] = "";
	struct route *r;
	unsigned i;

	sscanf(line, "%31s %31s %31s", word, name, arg);
	TAILQ_FOREACH(r, &routes, entry) {
		if (strcmp(r->name, name) == 0)
			break;
	}
	if (r == NULL)
		return;
	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		if (strcmp(modes[i].word, word) == 0)
			route_set_mode(r, arg, modes[i].mode);
	}
	if (strcmp(word, "delay") == 0)
		r->delay_ms = atoi(arg);
	apply_to_links(r, strcmp(word, "freeze") == 0, strcmp(word, "reset") == 0);
}

static void on_command(struct bufferevent *bev, void *arg)
{
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL, EVBUFFER_EOL_LF)) !=
	       NULL) {
		run_command(line);
		free(line);
		printf("ok\n");
		fflush(stdout);
	}
}

static void on_stdin_end(struct bufferevent *bev, short what, void *arg)
{
	exit(0);
}

int main(int argc, char **argv)
{
	struct bufferevent *in;
	int i;

	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	for (i = 1; i < argc; i++)
		route_add(argv[i]);
	evutil_make_socket_nonblocking(0);
	in = bufferevent_socket_new(base, 0, 0);
	bufferevent_setcb(in, on_command, NULL, on_stdin_end, NULL);
	bufferevent_enable(in, EV_READ);
	event_base_dispatch(base);
	return 0;
}
