/** @file status.h Answers `mangoloom status` and `mangoloom stop`. */
#ifndef STATUS_H
#define STATUS_H

#include "kernel.h"

struct service *status_service_create(struct kernel *k);

#endif
