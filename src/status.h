/** @file status.h The service that serves `mangoloom status` and `mangoloom stop` by RPC. */
#ifndef STATUS_H
#define STATUS_H

#include "kernel.h"

struct service *status_service_create(struct kernel *k);

#endif
