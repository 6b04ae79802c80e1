/**
 * @file lead.h
 * Decides which VMs may send statements to a group's primary, and when another member may be
 * promoted. The owner of a group is the VM that holds its connections and manages its primary. The
 * members never refuse a promotion, so the VMs that send to them are fenced instead: the group's
 * record in the store names the owner and every other VM that may still be sending. A change of
 * primary waits until each of these VMs has confirmed that it stopped, or its lease has ended. A
 * change of owner that keeps the primary needs no wait, since two VMs may safely send to the same
 * primary.
 */
#ifndef DECIDE_LEAD_H
#define DECIDE_LEAD_H

#include "types.h"

/** Maximum number of VMs that a record names besides the owner. */
#define LEAD_SENDERS_MAX 16

/** A daemon process: the VM it runs on, and an incarnation that differs for each process. */
struct lead_vm {
	char name[NAME_SIZE];
	uint64_t incarnation;
};

/** The record of a group in the store. */
struct lead_record {
	struct lead_vm owner;
	char address[ADDRESS_SIZE]; /**< the owner's RPC address */
	unsigned n;		    /**< number of senders */
	/** VMs besides the owner that may still be sending. */
	struct lead_vm sender[LEAD_SENDERS_MAX];
	uint64_t term_floor;	/**< a member is accepted as primary only with a higher term */
	char target[NAME_SIZE]; /**< only member accepted as primary; "" before the first change of
				   primary, when any member is accepted */
	uint64_t choices;	/**< number of times that term_floor and target were set */
};

bool lead_vm_equal(const struct lead_vm *a, const struct lead_vm *b);
/** Adds @a vm to the senders of @a r, if missing. @return false if the record is full */
bool lead_add_sender(struct lead_record *r, const struct lead_vm *vm);
bool lead_has_sender(const struct lead_record *r, const struct lead_vm *vm);
void lead_remove_sender(struct lead_record *r, const struct lead_vm *vm);

/** What the platform's list of VMs tells of a VM. */
struct lead_listing {
	bool current; /**< the list is as new as the record */
	bool listed;
	uint64_t incarnation; /**< of the process that is listed; 0: unknown */
};
/**
 * Whether the process @a vm, which the record names, can no longer be sending: another process of
 * its VM is listed, or none, so that its lease has ended. Should that process get another lease, it
 * reads the record before it sends, and stops if the record no longer names it.
 */
bool lead_process_ended(const struct lead_vm *vm, const struct lead_listing *l);

/**
 * Makes @a vm the owner and lists the previous owner as a sender.
 * @param previous_ended whether the previous owner's process is known to have ended, so that it
 * need not be listed
 * @return false if the record has no room for the previous owner: ownership cannot be claimed until
 * one of the senders has stopped
 */
bool lead_claim(struct lead_record *r, const struct lead_vm *vm, const char *address,
		bool previous_ended);

/**
 * Copies the choice of a primary (term_floor, target, choices) from @a known to @a r if @a known
 * has a later one. A store restored from an older copy may lack the last choice; without it the
 * member that was replaced would be accepted as primary again.
 * @return whether @a r was changed
 */
bool lead_recover_choice(struct lead_record *r, const struct lead_record *known);

/**
 * Whether the record accepts @a member as primary of @a term. A primary that was replaced still
 * reports to be primary until it learns of the new one; writes that it accepts are discarded later
 * and must not be acknowledged.
 */
bool lead_accepts(const struct lead_record *r, const char *member, uint64_t term);

/** Status of a member as the owner sees it when it looks for the primary or chooses a new one. */
struct lead_candidate {
	bool reached;
	bool leaving;
	bool barred; /**< must not be promoted */
	bool primary;
	uint64_t term;
	struct pos received;
};

/**
 * @return index of the member that reports to be primary and that the record accepts as primary, or
 * -1
 */
int lead_find_primary(const struct lead_record *r, const char *const *names,
		      const struct lead_candidate *c, unsigned n);
/**
 * Chooses the member to promote: the reachable member with the newest log that is not leaving. If
 * all of these lack @a need, a leaving member with a newer log is chosen. It is replaced by a
 * planned change, in which its successor receives what it has; a commit that is discarded is gone.
 * @param except member to exclude, or -1
 * @param need log position that the successor should have; term 0: never choose a leaving member
 * @return its index, or -1 if there is none
 */
int lead_choose_successor(const struct lead_candidate *c, unsigned n, int except, struct pos need);

/** What is known about a primary that does not answer. */
struct lead_silence {
	int64_t unanswered_since_us; /**< since when requests go unanswered; 0: none */
	bool refused;		     /**< it refuses connections */
	bool others_asked; /**< other VMs were asked recently whether they can reach the primary */
	unsigned others_silent; /**< number of VMs that answered that they cannot reach it */
};

enum lead_verdict {
	LEAD_HEALTHY,	 /**< no action is needed */
	LEAD_ASK_OTHERS, /**< ask other VMs whether they can reach the primary */
	LEAD_REPLACE,	 /**< replace the primary, or move the group to a VM that reaches it */
};

/** Decides what to do about a primary that may have failed. */
enum lead_verdict lead_judge_primary(const struct lead_silence *s, int64_t now_us);

#endif
