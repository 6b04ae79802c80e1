/**
 * @file faultproxy.c
 * Forwards TCP connections on 127.0.0.1 and breaks them on command. Arguments: NAME=LISTEN:TO
 * ports. Commands come as lines on standard input, "COMMAND ROUTE [LABEL|NUMBER]", each answered by
 * "ok":
 *
 *   pass ROUTE [LABEL]    forward again (what was held is delivered)
 *   cut ROUTE [LABEL]     close open connections, refuse new ones
 *   hold ROUTE [LABEL]    open and new connections go silent both ways
 *   freeze ROUTE          open connections go silent for good, new ones work
 *   mute ROUTE            what the server sends is not delivered; what the client sends is
 *   deaf ROUTE            what the client sends is not delivered
 *   reset ROUTE           close open connections
 *   delay ROUTE MS        deliver later
 *
 * A LABEL limits a command to connections whose first bytes contain it: the name of the VM or
 * member that connects.
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

#define LABELS_MAX 16
#define LABEL_BYTES 512

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
	int to;
	enum mode mode;
	struct rule rule[LABELS_MAX];
	unsigned rules;
	int delay_ms;
	struct links links;
};
TAILQ_HEAD(routes, route);

/** One connection: two ends. */
struct link {
	TAILQ_ENTRY(link) entry;
	struct route *route;
	struct bufferevent *client, *server;
	char first[LABEL_BYTES]; /**< its first bytes, for labels */
	size_t first_len;
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

	for (i = 0; i < r->rules; i++) {
		if (r->rule[i].mode != MODE_PASS && memmem(l->first, l->first_len, r->rule[i].label,
							   strlen(r->rule[i].label)) != NULL)
			return r->rule[i].mode;
	}
	return r->mode;
}

/** Move what may be moved. */
static void link_pump(struct link *l)
{
	enum mode mode = link_mode(l);

	if (l->frozen || mode == MODE_HOLD)
		return;
	if (mode != MODE_DEAF)
		bufferevent_write_buffer(l->server, bufferevent_get_input(l->client));
	if (mode != MODE_MUTE)
		bufferevent_write_buffer(l->client, bufferevent_get_input(l->server));
}

static void link_timer(evutil_socket_t fd, short what, void *arg)
{
	link_pump(arg);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct link *l = arg;

	if (bev == l->client && l->first_len < LABEL_BYTES) {
		ssize_t n = evbuffer_copyout(bufferevent_get_input(bev), l->first + l->first_len,
					     LABEL_BYTES - l->first_len);

		if (n > 0)
			l->first_len += (size_t)n;
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
	link_pump(l);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct link *l = arg;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	/* A silent connection hides its end as well. */
	if (l->frozen || link_mode(l) == MODE_HOLD) {
		bufferevent_disable(bev, EV_READ);
		return;
	}
	link_pump(l);
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
	sin.sin_port = htons((uint16_t)r->to);
	l->timer = event_new(base, -1, 0, link_timer, l);
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

static void add_route(const char *text)
{
	struct route *r = g_new0(struct route, 1);
	char address[ADDRESS_SIZE];
	int listen_port;

	TAILQ_INIT(&r->links);
	if (sscanf(text, "%31[^=]=%d:%d", r->name, &listen_port, &r->to) != 3)
		exit(2);
	snprintf(address, sizeof(address), "127.0.0.1:%d", listen_port);
	if (net_listen(base, address, on_accept, r, NULL) == NULL) {
		fprintf(stderr, "faultproxy: cannot listen on %s\n", address);
		exit(1);
	}
	TAILQ_INSERT_TAIL(&routes, r, entry);
}

static void set_mode(struct route *r, const char *label, enum mode mode)
{
	unsigned i;

	if (label[0] == '\0') {
		r->mode = mode;
		if (mode == MODE_PASS)
			r->rules = 0;
		return;
	}
	for (i = 0; i < r->rules; i++) {
		if (strcmp(r->rule[i].label, label) == 0)
			break;
	}
	if (i == LABELS_MAX)
		return;
	g_strlcpy(r->rule[i].label, label, sizeof(r->rule[i].label));
	r->rule[i].mode = mode;
	r->rules = MAX(r->rules, i + 1);
}

static void touch_links(struct route *r, bool freeze, bool reset)
{
	struct link *l, *next;

	TAILQ_FOREACH_SAFE(l, &r->links, entry, next) {
		l->frozen = l->frozen || freeze;
		if (reset || link_mode(l) == MODE_CUT)
			link_close(l);
		else
			link_pump(l);
	}
}

static void command(const char *line)
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
			set_mode(r, arg, modes[i].mode);
	}
	if (strcmp(word, "delay") == 0)
		r->delay_ms = atoi(arg);
	touch_links(r, strcmp(word, "freeze") == 0, strcmp(word, "reset") == 0);
}

static void on_command(struct bufferevent *bev, void *arg)
{
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(bev), NULL, EVBUFFER_EOL_LF)) !=
	       NULL) {
		command(line);
		free(line);
		printf("ok\n");
		fflush(stdout);
	}
}

static void on_end(struct bufferevent *bev, short what, void *arg)
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
		add_route(argv[i]);
	evutil_make_socket_nonblocking(0);
	in = bufferevent_socket_new(base, 0, 0);
	bufferevent_setcb(in, on_command, NULL, on_end, NULL);
	bufferevent_enable(in, EV_READ);
	event_base_dispatch(base);
	return 0;
}
