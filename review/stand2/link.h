/**
 * @file link.h
 * The path of one machine to the promotion call, which may be cut. As with TCP over a partition,
 * bytes of a connection that was established before the cut are held up, and arrive after it unless
 * their sender has reset the connection; connections that are opened during the cut do not come
 * about.
 */
#ifndef STAND2_LINK_H
#define STAND2_LINK_H

#include <event2/event.h>
#include <stdbool.h>

struct link;

/** Forwards connections from @a port to @a to_port. */
struct link *link_create(struct event_base *base, const char *name, int port, int to_port);
/** The cut begins as soon as the next connection is established. */
void link_cut_next(struct link *l);
void link_heal(struct link *l);

#endif
