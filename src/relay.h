/**
 * @file relay.h
 * Statements that go through another VM, because this VM does not reach the owner of their group.
 * The owner is the VM that sends to the group's primary; a relay only passes a statement on to it
 * and returns its answer. decide/reach.h has the rules.
 *
 * A VM first asks others whether they reach the owner (a question, hops 0). A statement (hops 1) is
 * sent only to a VM that has answered so lately: a VM of an older build does not answer at all, and
 * a statement sent to it would have an unknown outcome although it never ran.
 */
#ifndef RELAY_H
#define RELAY_H

#include "kernel.h"
#include "rpc.h"

struct fleet;
struct reach_vm;
struct relay_call;

/** Whether there is a way through another VM to a receiver. */
enum relay_way {
	RELAY_NONE,   /**< none is known */
	RELAY_ASKED,  /**< none is known; VMs are asked as a result of this call */
	RELAY_ASKING, /**< none is known; VMs were asked and have not all answered */
	RELAY_KNOWN,
};

struct service *relay_service_create(struct kernel *k);
/** Whether statements go through other VMs: the settings say so. */
bool relay_enabled(struct kernel *k);
/** Records how a call to the VM at @a address ended. */
void relay_note_call(struct kernel *k, const char *address, bool answered);
/**
 * Whether the VM at @a address was not reached lately, or is silent now, so that a statement that
 * needs it is better sent through another VM.
 */
bool relay_is_lost(struct kernel *k, const char *address);
/** Returns all VMs, in the order of peers.order, to choose from; freed with g_free(). */
struct reach_vm *relay_list_vms(const struct fleet *f);
/** Looks for a VM that reaches @a to, and asks others if none is known. */
enum relay_way relay_find(struct kernel *k, const char *to);
/**
 * Asks other VMs anew whether they reach @a to; what they said before is not used any more. Within
 * the pause after a question nothing is asked, and the last answer remains in use.
 */
void relay_ask_again(struct kernel *k, const char *to);
/** Whether another VM has answered lately that it reaches @a to. */
bool relay_reaches(struct kernel *k, const char *to);
/**
 * Sends a statement to @a to through the VM that relay_find() knows. The callback gets an
 * ml_run_res, as for ML_RUN: RPC_NOT_SENT if the statement certainly did not reach @a to, RPC_LOST
 * if it may have.
 */
struct relay_call *relay_start(struct kernel *k, const char *to, ml_run_args *run,
			       int64_t timeout_us, rpc_done cb, void *arg);
/** Detaches the caller: the callback will not be called. */
void relay_detach(struct relay_call *call);
/**
 * Returns the time after which a VM that owes an answer and has sent nothing counts as lost, in us.
 */
int64_t relay_silence_limit_us(struct kernel *k);
/** Returns for how long the relay has sent nothing while the call is open, in us. */
int64_t relay_silent_us(const struct relay_call *call);

#endif
