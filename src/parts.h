/**
 * @file parts.h
 * Ownership of the fixed parts of the teams' rates (decide/part.h). Each part has a key in the
 * platform's store, written under the lease of the VM that holds the part. So two VMs never hold
 * the same part, and a VM stops spending a part's tokens before the store can give the part to
 * another VM.
 *
 * An era is a number that grows each time the store comes back from an older copy of its data.
 */
#ifndef PARTS_H
#define PARTS_H

#include "fleet.h"
#include "part.h"

struct parts;

struct service *parts_service_create(struct kernel *k);
/** Returns NULL where the platform has no store with leases. */
struct parts *parts_of(struct kernel *k);
/** Returns a bit mask of the parts of its data centre that this VM holds now; 0 without a lease. */
unsigned parts_held(const struct parts *p);
/**
 * Returns a bit mask of the parts that a previous process of this VM held until it ended. Nobody
 * has spent tokens from these parts since this process started.
 */
unsigned parts_inherited(const struct parts *p);

#endif
