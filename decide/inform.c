/** @file inform.c Who is notified of a new owner, and whom a VM asks that was not. */
#include "inform.h"

bool inform_notifies(const struct inform_vm *vm, unsigned n_vms)
{
	return n_vms <= INFORM_ALL_MAX || vm->owner || vm->sender || vm->claimer;
}

enum inform_target inform_next_target(bool known, bool usable, unsigned attempt)
{
	if (!known)
		return INFORM_ASK_CLAIMER;
	if (usable)
		return INFORM_ASK_OWNER;
	return attempt % 2 == 0 ? INFORM_ASK_CLAIMER : INFORM_ASK_OWNER;
}
