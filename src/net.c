/** @file net.c Helpers for TCP sockets. */
#include "net.h"

#include "error.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>

#define LISTEN_BACKLOG 1024
#define PORT_MAX 65535
#define PORT_DIGITS_MAX 5
/** Idle time before the first keepalive probe; unanswered probes close the connection. */
#define KEEPALIVE_IDLE_S 3
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/** Time limit for the peer to read the remaining output and close. */
#define LINGER_S 1
/** A connection whose sent data stays unacknowledged for this long is closed. */
#define UNACKED_MS 5000

const char *net_split(const char *address, char host[ADDRESS_SIZE])
{
	const char *colon = strrchr(address, ':');

	if (colon == NULL)
		colon = address + strlen(address);
	g_strlcpy(host, address, MIN(ADDRESS_SIZE, (gsize)(colon - address) + 1));
	return *colon == ':' ? colon + 1 : colon;
}

/** Returns the port in @a text, or -1 if it is not a decimal number from 0 to PORT_MAX. */
static int parse_port(const char *text)
{
	size_t digits = strspn(text, "0123456789");
	int port;

	if (digits == 0 || digits > PORT_DIGITS_MAX || text[digits] != '\0')
		return -1;
	port = atoi(text);
	return port <= PORT_MAX ? port : -1;
}

static bool parse_address(const char *address, int port_min, struct sockaddr_in *sin)
{
	char host[ADDRESS_SIZE];
	int port;

	if (strlen(address) >= ADDRESS_SIZE)
		return false;
	port = parse_port(net_split(address, host));
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_port = htons((uint16_t)port);
	return port >= port_min && inet_pton(AF_INET, host, &sin->sin_addr) == 1;
}

bool net_parse(const char *address, struct sockaddr_in *sin)
{
	return parse_address(address, 1, sin);
}

void net_set_nodelay(evutil_socket_t fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void net_set_keepalive(evutil_socket_t fd)
{
	int on = 1, idle_s = KEEPALIVE_IDLE_S, interval_s = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	unsigned unacked_ms = UNACKED_MS;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof(unacked_ms));
}

static void linger_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
}

static void linger_written(struct bufferevent *bev, void *arg)
{
	if (evbuffer_get_length(bufferevent_get_output(bev)) == 0)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
}

static void linger_event(struct bufferevent *bev, short what, void *arg)
{
	bufferevent_free(bev);
}

void net_linger(struct bufferevent *bev)
{
	const struct timeval limit = {.tv_sec = LINGER_S};

	bufferevent_setcb(bev, linger_read, linger_written, linger_event, NULL);
	bufferevent_setwatermark(bev, EV_READ, 0, 0);
	bufferevent_set_timeouts(bev, &limit, &limit);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	linger_read(bev, NULL);
	linger_written(bev, NULL);
}

bool net_has_input(struct bufferevent *bev)
{
	int unread = 0;

	return evbuffer_get_length(bufferevent_get_input(bev)) > 0 ||
	       (ioctl(bufferevent_getfd(bev), FIONREAD, &unread) == 0 && unread > 0);
}

void net_set_reset_on_close(evutil_socket_t fd, bool reset)
{
	struct linger l = {.l_onoff = reset};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

void net_reset(evutil_socket_t fd)
{
	const struct sockaddr none = {.sa_family = AF_UNSPEC};

	/* A close after a shutdown, as libevent does it, would send an end of file first. */
	connect(fd, &none, sizeof(none));
}

struct evconnlistener *net_listen(struct event_base *base, const char *address,
				  evconnlistener_cb cb, void *arg, GError **error)
{
	struct evconnlistener *l = NULL;
	struct sockaddr_in sin;

	if (parse_address(address, 0, &sin))
		l = evconnlistener_new_bind(base, cb, arg,
					    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
					    LISTEN_BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
	if (l == NULL)
		g_set_error(error, ML_ERROR, ML_ERROR_IO, "cannot listen on %s: %s", address,
			    strerror(errno));
	return l;
}
