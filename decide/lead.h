/**
 * @file lead.h
 * Who may send to a group's primary, and when another member may be made the primary. The members
 * refuse no promotion, so the sender is what is fenced: the group's record in the store names its
 * owner, and every VM that may still be sending; a change of primary waits until each of these has
 * stopped by its own word, or its lease has ended. A change of the owner alone needs no wait, since
 * two senders to one primary harm nothing.
 */
#ifndef DECIDE_LEAD_H
#define DECIDE_LEAD_H

#include "types.h"

/** Most VMs that one record names besides the owner. */
#define LEAD_SENDERS_MAX 16

/** A process on a VM. */
struct lead_vm {
	char name[NAME_SIZE];
	uint64_t incarnation;
};

/** The group's record. */
struct lead_record {
	struct lead_vm owner;
	char address[ADDRESS_SIZE]; /**< the owner's, for RPC */
	unsigned n;
	struct lead_vm sender[LEAD_SENDERS_MAX]; /**< others that may still be sending */
	/** A member leads only at a term above this, and only if it is the target. */
	uint64_t floor;
	char target[NAME_SIZE]; /**< "" before the first change of primary */
	uint64_t choices;	/**< how often floor and target were written */
};

bool lead_vm_equal(const struct lead_vm *a, const struct lead_vm *b);
/** Note in @a r that @a vm may still be sending. @return false when there is no room. */
bool lead_add_sender(struct lead_record *r, const struct lead_vm *vm);
bool lead_has_sender(const struct lead_record *r, const struct lead_vm *vm);
void lead_remove_sender(struct lead_record *r, const struct lead_vm *vm);
/**
 * Make @a vm the owner; the one before may still be sending unless it is known to have ended.
 * @return false when the record has no room for it: nobody may claim before a sender has stopped
 */
bool lead_claim(struct lead_record *r, const struct lead_vm *vm, const char *address,
		bool former_ended);

/**
 * Put into @a r a choice of a primary that @a known has and the store, back from an older copy,
 * lacks: the replaced member would be believed again. @return whether @a r lacked it
 */
bool lead_recover(struct lead_record *r, const struct lead_record *known);

/** What the owner sees of one member when it looks for one to lead. */
struct lead_candidate {
	bool reached;
	bool leaving;
	bool primary;
	uint64_t term;
	struct pos received;
};

/** The member that leads by its own word and the record's, or -1. */
int lead_find(const struct lead_record *r, const char *const *names, const struct lead_candidate *c,
	      unsigned n);
/**
 * The member to promote: not leaving, with the newest log. @a except is not taken (-1: none).
 * @return its index, or -1
 */
int lead_choose(const struct lead_candidate *c, unsigned n, int except);

/** What is known of the primary's silence. */
struct lead_silence {
	int64_t unheard_us; /**< since when something is sent and nothing was answered; 0: all is */
	bool refused;	    /**< it refuses connections */
	bool others_asked;  /**< other VMs were asked, and all that answered cannot reach it */
	unsigned others_silent; /**< of those */
};

enum lead_verdict {
	LEAD_FINE,
	LEAD_ASK,     /**< ask other VMs whether they reach it */
	LEAD_REPLACE, /**< nobody reaches it */
};

/** Judge the primary. */
enum lead_verdict lead_judge(const struct lead_silence *s, int64_t now_us);

#endif
