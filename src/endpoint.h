/**
 * @file endpoint.h
 * Two optional HTTP endpoints: a readiness check for the load balancer, which answers 200 while
 * this VM accepts callers and 503 otherwise, and the counters in Prometheus' text format.
 */
#ifndef ENDPOINT_H
#define ENDPOINT_H

#include "kernel.h"

struct service *endpoint_service_create(struct kernel *k);

#endif
