/** @file store.h The platform's metadata store, as in PROTOCOL.md. */
#ifndef STAND2_STORE_H
#define STAND2_STORE_H

#include <event2/event.h>
#include <stdint.h>

void store_start(struct event_base *base, int port);
/** Writes a key of the operator or of a server. @return the revision */
uint64_t store_put(const char *key, const char *value);
void store_remove(const char *key);

#endif
