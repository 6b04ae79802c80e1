/** @file net.h Sockets by "ip:port" texts. */
#ifndef NET_H
#define NET_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/** Parse "ip:port". */
bool net_parse(const char *address, struct sockaddr_in *sin);
/** Small messages leave at once. */
void net_set_nodelay(evutil_socket_t fd);
/**
 * Find out within seconds that the other end is gone without a word. Something between two ends can
 * drop an open connection in silence; without probes it would hang until the next write times out.
 */
void net_set_keepalive(evutil_socket_t fd);
/** Listen on @a address. @return NULL with @a error when it cannot be had. */
struct evconnlistener *net_listen(struct event_base *base, const char *address,
				  evconnlistener_cb cb, void *arg, GError **error);

#endif
