/**
 * @file inform.h
 * Who is notified of the new owner of a group, and whom a VM asks that was not notified.
 *
 * The load: a start, a restart of many VMs or the loss of a data centre gives hundreds of groups a
 * new owner within seconds. If all VMs were notified of each, every VM would get a message for each
 * group, and each owner would connect to every VM. A VM uses few of the groups, so most of these
 * messages would be for nothing.
 */
#ifndef DECIDE_INFORM_H
#define DECIDE_INFORM_H

#include "types.h"

/**
 * In fleets of up to this many VMs all are notified. Each then uses most groups, and hears of a new
 * owner before its next statement for the group.
 */
#define INFORM_ALL_MAX 64

/** A VM that may be notified. */
struct inform_vm {
	bool owner;   /**< the group was given to it */
	bool sender;  /**< it may still send to the primary, as a previous owner */
	bool claimer; /**< others ask it for the group's owner, by its rank for the group */
};

/** @return whether @a vm is notified in a fleet of @a n_vms */
bool inform_notifies(const struct inform_vm *vm, unsigned n_vms);

enum inform_target {
	INFORM_ASK_OWNER,   /**< the owner as far as it is known */
	INFORM_ASK_CLAIMER, /**< the VM that claims the group if its owner is gone */
};

/**
 * @return where attempt number @a attempt, from 0, of a statement goes. If the known owner seems
 * gone, attempts alternate: the claimer serves the group soon or knows its owner, but if this VM
 * alone does not reach the owner, the claimer will not take the group.
 * @param known whether an owner is known
 * @param usable whether this VM holds the known owner for alive
 */
enum inform_target inform_next_target(bool known, bool usable, unsigned attempt);

#endif
