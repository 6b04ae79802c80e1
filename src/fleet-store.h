/**
 * @file fleet-store.h
 * The store as the fleet uses it: this VM's lease, and news of keys that others keep there.
 */
#ifndef FLEET_STORE_H
#define FLEET_STORE_H

#include "fleet.h"
#include "store.h"

/** All keys of ours begin with this. */
#define FLEET_STORE_PREFIX "mangoloom/"
/** One key a VM, under its lease. */
#define FLEET_STORE_VMS FLEET_STORE_PREFIX "vm/"
/** One key for each fixed part of the rates (parts.h) that a VM holds, under that VM's lease. */
#define FLEET_STORE_PARTS FLEET_STORE_PREFIX "part/"

/** A key changed, or was read for the first time; its value is NULL when it is gone. */
typedef void (*fleet_store_news)(const struct store_item *item, void *owner);

/** Whether nothing is done or known by what a former era of the store told. */
typedef bool (*fleet_store_caught_up)(void *owner);

struct store *fleet_store(struct fleet *f);
/** Hear of keys that begin with @a prefix, which is one of FLEET_STORE_PREFIX. */
void fleet_store_listen(struct fleet *f, const char *prefix, fleet_store_news cb, void *owner);
/**
 * Until when this VM surely holds its lease, in now_us() time; 0 when it has none. The time counts
 * from before the renewal was sent, so the store ends the lease later than that.
 */
int64_t fleet_store_lease_until_us(struct fleet *f);
/** Whether @a revision is of the store's present era, so that a write may be guarded by it. */
bool fleet_store_is_current(uint64_t revision);
/** The lease itself; 0 when this VM is not listed under one. */
uint64_t fleet_store_lease(struct fleet *f);
/** How often this VM became listed, in a new era too; 0 when it is not. */
uint64_t fleet_store_registration(struct fleet *f);
/**
 * Until when what was read under @a registration may be acted on; 0 for no longer. In a new era
 * that is to the end of the former lease, unless it is read again.
 */
int64_t fleet_store_trusted_until_us(struct fleet *f, uint64_t registration);
/** Whether this VM's lease was granted or renewed in the present era. */
bool fleet_store_renewed(void);
/** How often this VM's lease ended before it was renewed. */
uint64_t fleet_store_lapses(void);
/** This VM tells others that it is in a new era once @a cb says so. */
void fleet_store_on_era(fleet_store_caught_up cb, void *owner);
/** Era of the store in which this VM's lease was last granted or renewed. */
uint64_t fleet_store_lease_era(void);
/** Whether no VM can still trust a lease of a former era of the store. */
bool fleet_store_settled(struct fleet *f);
/** Give the lease up, for a VM that has stopped sending. @return whether it is given up */
bool fleet_store_release(struct fleet *f);
/** The VM that the key's value names, and its process. @return false for a malformed value. */
bool fleet_store_vm_parse(const char *value, char name[NAME_SIZE], uint64_t *incarnation);

#endif
