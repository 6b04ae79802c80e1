/**
 * @file endpoint.h
 * Two small HTTP endpoints: whether this VM takes callers, for the balancer, and its counters as
 * text, for whoever watches it.
 */
#ifndef ENDPOINT_H
#define ENDPOINT_H

#include "kernel.h"

struct service *endpoint_service_create(struct kernel *k);

#endif
