/**
 * @file fleet-store.h
 * The fleet's use of the store: this VM's lease and registration, and notification of changed keys.
 * A VM is registered while its key exists under its lease; the lease ends if it is not renewed. The
 * era counts how often the store was restored from an older copy (era.h): after a restore the store
 * may lack recent leases and keys, so a lease of the previous era is trusted until it expires.
 */
#ifndef FLEET_STORE_H
#define FLEET_STORE_H

#include "fleet.h"
#include "store.h"

/** Prefix of all keys that the daemons write. */
#define FLEET_STORE_PREFIX "mangoloom/"
/** Prefix of the VMs' keys; each VM writes one under its lease. */
#define FLEET_STORE_VMS FLEET_STORE_PREFIX "vm/"
/** Prefix of fixed parts of the rates (parts.h), each under the lease of the VM that holds it. */
#define FLEET_STORE_PARTS FLEET_STORE_PREFIX "part/"

/** Called when a key changed or was first read; its value is NULL if it was removed. */
typedef void (*fleet_store_item_cb)(const struct store_item *item, void *owner);

/** Whether nothing in this process depends on state read in a previous era any more. */
typedef bool (*fleet_store_caught_up_cb)(void *owner);

struct store *fleet_store(struct fleet *f);
/** Calls @a cb for each change of a key under @a prefix, which is within FLEET_STORE_PREFIX. */
void fleet_store_listen(struct fleet *f, const char *prefix, fleet_store_item_cb cb, void *owner);
/**
 * Time, in now_us() time, until which this VM certainly holds its lease; 0 without one. It counts
 * from before the renewal was sent, so the store ends the lease later.
 */
int64_t fleet_store_lease_until_us(struct fleet *f);
/** Whether the last call to the store failed, so that changes of records may be unknown here. */
bool fleet_store_lost(void);
/** Whether @a revision is 0 or of the store's current era, so that it may guard a write. */
bool fleet_store_is_current(uint64_t revision);
/** The id of this VM's lease; 0 if it is not registered. */
uint64_t fleet_store_lease(struct fleet *f);
/** Number of the current registration, which rises with each new era too; 0 if not registered. */
uint64_t fleet_store_registration(struct fleet *f);
/**
 * Returns the time until which state read under @a registration may be acted on, or 0 if it may
 * not. State of the previous era that was not read again may be acted on until that era's lease
 * ends.
 */
int64_t fleet_store_trusted_until_us(struct fleet *f, uint64_t registration);
/** Whether this VM's lease was granted or renewed in the current era. */
bool fleet_store_renewed(void);
/** Number of times that this VM's lease expired before it was renewed. */
uint64_t fleet_store_lapses(void);
/** Sets the callback that must return true before this VM publishes a new era in its key. */
void fleet_store_set_caught_up_cb(fleet_store_caught_up_cb cb, void *owner);
/** Store era that this VM has last seen. */
uint64_t fleet_store_era(void);
/** Store era in which this VM's lease was last granted or renewed. */
uint64_t fleet_store_lease_era(void);
/** Whether no VM can still trust a lease of a previous era. */
bool fleet_store_settled(struct fleet *f);
/** Ends the lease of a VM that has stopped sending statements. @return true once it has ended */
bool fleet_store_release(struct fleet *f);
/** Parses a VM's key: its name and the incarnation of its process. @return false if malformed */
bool fleet_store_vm_parse(const char *value, char name[NAME_SIZE], uint64_t *incarnation);

#endif
