/** @file net.h Helpers for TCP sockets, with addresses of the form "ip:port". */
#ifndef NET_H
#define NET_H

#include "types.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/** Splits "ip:port". @return the port as text, or "" if there is none */
const char *net_split(const char *address, char host[ADDRESS_SIZE]);
/** Parses "ip:port". @return false if the host is no IPv4 address or the port is out of range */
bool net_parse(const char *address, struct sockaddr_in *sin);
/** Disables Nagle's algorithm, so that small messages are sent without delay. */
void net_set_nodelay(evutil_socket_t fd);
/**
 * Enables TCP keepalive, so that a peer that vanished without closing the connection is detected
 * within seconds. A middlebox can drop an established connection silently; without probes it would
 * hang until the next write times out.
 */
void net_set_keepalive(evutil_socket_t fd);
/**
 * Closes and frees @a bev after its output has been sent and the peer has closed its side, or after
 * one second without progress. Closing a socket with unread input resets the connection, and the
 * peer could lose the last message, such as the reason why its request was refused; input is
 * therefore read and dropped meanwhile.
 */
void net_linger(struct bufferevent *bev);
/** Whether the peer has sent bytes that @a bev has not handed over yet, or not even read. */
bool net_has_input(struct bufferevent *bev);
/** Lets the kernel reset the connection, instead of an orderly close, when @a fd is closed. */
void net_set_reset_on_close(evutil_socket_t fd, bool reset);
/** Resets the connection at once: what waits to be sent, or to arrive, is dropped. */
void net_reset(evutil_socket_t fd);
/** Listens on @a address; port 0: any that is free. @return NULL with @a error set on failure */
struct evconnlistener *net_listen(struct event_base *base, const char *address,
				  evconnlistener_cb cb, void *arg, GError **error);

#endif
