/** @file link.c A path that may be cut. */
#include "link.h"

#include "common.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

struct path {
	struct link *l;
	struct bufferevent *near, *far; /**< toward the machine, and toward the platform */
	bool held;			/**< established before the cut, which holds up its bytes */
	bool dead;			/**< opened during the cut */
	bool ended;			/**< the machine has closed it in order */
};

struct link {
	const char *name;
	struct event_base *base;
	int to_port;
	bool armed, cut;
	GPtrArray *paths;
};

static void path_free(struct path *p)
{
	g_ptr_array_remove(p->l->paths, p);
	if (p->near != NULL)
		bufferevent_free(p->near);
	if (p->far != NULL)
		bufferevent_free(p->far);
	g_free(p);
}

static void far_read(struct bufferevent *bev, void *arg)
{
	struct path *p = arg;

	if (p->near != NULL)
		bufferevent_write_buffer(p->near, bufferevent_get_input(bev));
	else
		evbuffer_drain(bufferevent_get_input(bev),
			       evbuffer_get_length(bufferevent_get_input(bev)));
}

static void far_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		path_free(arg);
}

static void path_connect(struct path *p)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)p->l->to_port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	p->far = bufferevent_socket_new(p->l->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(p->far, far_read, NULL, far_event, p);
	bufferevent_enable(p->far, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(p->far, (struct sockaddr *)&sin, sizeof(sin)) < 0)
		exit(2);
}

static void near_read(struct bufferevent *bev, void *arg)
{
	struct path *p = arg;

	if (p->dead)
		evbuffer_drain(bufferevent_get_input(bev),
			       evbuffer_get_length(bufferevent_get_input(bev)));
	else if (!p->held)
		bufferevent_write_buffer(p->far, bufferevent_get_input(bev));
}

static void near_event(struct bufferevent *bev, short what, void *arg)
{
	struct path *p = arg;

	if ((what & BEV_EVENT_EOF) && p->held) {
		p->ended = true;
		return;
	}
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
		if (p->held)
			record("link %s: the held bytes are lost, their sender reset the "
			       "connection",
			       p->l->name);
		path_free(p);
	}
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd, struct sockaddr *sa,
		      int len, void *arg)
{
	struct path *p = g_new0(struct path, 1);
	struct link *l = arg;

	p->l = l;
	p->dead = l->cut;
	if (l->armed) {
		l->armed = false;
		l->cut = true;
		p->held = true;
		record("link %s is cut from the platform's promotion call", l->name);
	}
	p->near = bufferevent_socket_new(l->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(p->near, near_read, NULL, near_event, p);
	g_ptr_array_add(l->paths, p);
	if (!p->dead && !p->held)
		path_connect(p);
	bufferevent_enable(p->near, EV_READ | EV_WRITE);
}

struct link *link_create(struct event_base *base, const char *name, int port, int to_port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct link *l = g_new0(struct link, 1);

	l->base = base;
	l->name = name;
	l->to_port = to_port;
	l->paths = g_ptr_array_new();
	if (evconnlistener_new_bind(base, on_accept, l, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
				    16, (struct sockaddr *)&sin, sizeof(sin)) == NULL)
		exit(2);
	return l;
}

void link_cut_next(struct link *l)
{
	l->armed = true;
}

void link_heal(struct link *l)
{
	guint i = 0;

	record("link %s is whole again", l->name);
	l->armed = l->cut = false;
	while (i < l->paths->len) {
		struct path *p = g_ptr_array_index(l->paths, i);

		if (p->dead) {
			path_free(p);
			continue;
		}
		i++;
		if (!p->held)
			continue;
		p->held = false;
		path_connect(p);
		bufferevent_write_buffer(p->far, bufferevent_get_input(p->near));
		if (!p->ended)
			continue;
		bufferevent_free(p->near);
		p->near = NULL;
	}
}
