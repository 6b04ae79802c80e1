/** @file net.h Sockets by "ip:port" texts. */
#ifndef NET_H
#define NET_H

#include "types.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/** Split "ip:port". @return the port's text, "" when there is none */
const char *net_split(const char *address, char host[ADDRESS_SIZE]);
/** Parse "ip:port". */
bool net_parse(const char *address, struct sockaddr_in *sin);
/** Small messages leave at once. */
void net_set_nodelay(evutil_socket_t fd);
/**
 * Find out within seconds that the other end is gone without a word. Something between two ends can
 * drop an open connection in silence; without probes it would hang until the next write times out.
 */
void net_set_keepalive(evutil_socket_t fd);
/**
 * Close @a bev once all that was written to it has left, and the other end has taken it. A socket
 * that is closed with bytes unread resets its connection, and the other end loses the last words,
 * such as why its message was refused. What still comes is read and dropped, for a second at most.
 * Takes
 * @a bev over.
 */
void net_linger(struct bufferevent *bev);
/** Listen on @a address. @return NULL with @a error when it cannot be had. */
struct evconnlistener *net_listen(struct event_base *base, const char *address,
				  evconnlistener_cb cb, void *arg, GError **error);

#endif
