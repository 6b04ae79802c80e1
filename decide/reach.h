/**
 * @file reach.h
 * Reachability between VMs: what is known of a VM by its address, which VM passes on a statement
 * whose receiver is not reached, what that VM must refuse, which VMs an owner asks whether they
 * reach its primary, and to which of them it hands the group.
 *
 * The load: a link between two VMs is lost while both reach a third; a primary cannot be reached
 * from 65% of 84 VMs, its owner among them; a third of the VMs cannot reach the store. Who reaches
 * whom is asked when it is needed. Heartbeats that carry it would need a bit for each pair of VMs,
 * 1.2 MB at 3,100 VMs, and would be seconds old.
 */
#ifndef DECIDE_REACH_H
#define DECIDE_REACH_H

#include "types.h"

/** Addresses that a VM keeps; the one not used for longest makes room for another. */
#define REACH_ADDRESSES_MAX 64
/** A relay passes on a statement only if it has received something from the receiver since. */
#define REACH_HEARD_US (1 * USEC_PER_SEC)
/** How long a failed call counts against an address from which nothing was received since. */
#define REACH_FAILED_US (2 * USEC_PER_SEC)
/** How long a relay that worked is used without being asked again. */
#define REACH_PATH_US (2 * USEC_PER_SEC)
/** Relays that are tried for one statement. */
#define REACH_RELAYS_MAX 2
/** Pause between two questions to possible relays for the same receiver. */
#define REACH_ASK_PAUSE_US (100 * USEC_PER_MSEC)
/** Pause between two questions for different receivers, which bounds the cost of many lost ones. */
#define REACH_ASK_ANY_PAUSE_US (50 * USEC_PER_MSEC)
/**
 * After this many rounds of questions without a path, that is 16 VMs, the pause is longer. The
 * receiver is most likely behind a partition then, and each question costs three VMs a message.
 */
#define REACH_ASK_ROUNDS 8
#define REACH_ASK_LONG_PAUSE_US (1 * USEC_PER_SEC)
/** A receiver that nobody asked about for this long is asked about as if for the first time. */
#define REACH_ASK_FORGET_US (3 * USEC_PER_SEC)
/** How long a VM that does not reach a receiver is not asked to relay. */
#define REACH_REFUSED_US (500 * USEC_PER_MSEC)
/** How long a VM that did not answer a question, as one of an older build, is not asked again. */
#define REACH_UNANSWERED_US (10 * USEC_PER_SEC)
/** Hops of a question whether a VM would relay, and of a relayed statement. */
#define REACH_QUESTION_HOPS 0
#define REACH_STATEMENT_HOPS 1

/** What is known of the VM at an address. Times are 0 for never. */
struct reach_entry {
	char address[ADDRESS_SIZE];
	int64_t used_us;	/**< last change of the entry */
	int64_t received_us;	/**< when an answer of it was last received */
	int64_t failed_us;	/**< when a call to it last failed */
	int64_t unfit_until_us; /**< not asked to relay before this time */
	int64_t asked_us;	/**< when another VM was last asked to relay to it */
	unsigned rounds;	/**< rounds of questions since it was last reached */
	unsigned asking;	/**< VMs that have not answered yet whether they relay to it */
	char via[ADDRESS_SIZE]; /**< relay that last reached it; "" for none */
	int64_t via_until_us;	/**< until when that relay is used */
};

struct reach {
	struct reach_entry entry[REACH_ADDRESSES_MAX];
	unsigned n;
	int64_t asked_us; /**< when VMs were last asked to relay to any receiver */
};

/** Records that the VM at @a address answered. */
void reach_received(struct reach *r, const char *address, int64_t now_us);
/** Records that a call to the VM at @a address failed. A relay there is no longer used. */
void reach_failed(struct reach *r, const char *address, int64_t now_us);
/** Whether the last call to @a address failed, so that a relay is used instead of a call to it. */
bool reach_is_lost(const struct reach *r, const char *address, int64_t now_us);
/** Whether a call to @a address failed so lately that another one would tell nothing new. */
bool reach_has_just_failed(const struct reach *r, const char *address, int64_t now_us);
/** Records that @a via reaches @a to. */
void reach_path(struct reach *r, const char *to, const char *via, int64_t now_us);
/** Records that @a via did not relay to @a to, and is not asked again for @a pause_us. */
void reach_no_path(struct reach *r, const char *to, const char *via, int64_t pause_us,
		   int64_t now_us);
/** @return the relay to use for @a to, or NULL if VMs have to be asked first */
const char *reach_via(const struct reach *r, const char *to, int64_t now_us);
/** Records that @a n VMs were asked to relay to @a to. */
void reach_asked(struct reach *r, const char *to, unsigned n, int64_t now_us);
/** Records that a VM has answered, or did not. */
void reach_question_ended(struct reach *r, const char *to, int64_t now_us);
/** Whether a VM that was asked to relay to @a to may still answer. */
bool reach_is_asking(const struct reach *r, const char *to);
/** @return whether VMs may be asked now to relay to @a to, and records that they are */
bool reach_may_ask(struct reach *r, const char *to, int64_t now_us);

/** A VM that could be asked. */
struct reach_vm {
	const char *address;
	const char *data_center;
	bool usable; /**< listed, alive and not leaving, as far as this VM knows */
};

/**
 * Chooses the VMs to ask whether they relay to @a to: up to @a max that have no failed call against
 * them, those in the data centre of the receiver first, then of different ones.
 * @param data_center of the receiver; "" if it is not known
 * @param random spreads the choice over the VMs
 * @param out indexes into @a vms. @return their number
 */
unsigned reach_relays(const struct reach *r, const char *to, const char *data_center,
		      const struct reach_vm *vms, unsigned n, unsigned max, uint64_t random,
		      int64_t now_us, unsigned *out);

/** Why a VM does not relay. */
enum reach_refusal {
	REACH_ACCEPTED,
	REACH_DISABLED,	   /**< the settings do not allow it */
	REACH_LOOP,	   /**< relayed already, or its receiver is the relay or the sender */
	REACH_EXPIRED,	   /**< its deadline has passed */
	REACH_TRANSACTION, /**< of a transaction, which stays on its path */
	REACH_UNKNOWN,	   /**< its receiver is not a VM of the fleet */
	REACH_UNHEARD,	   /**< nothing was received from the receiver lately */
	REACH_REFUSALS
};

/** A request to relay a statement. */
struct reach_request {
	bool enabled;
	bool known; /**< the receiver is a VM of the fleet */
	unsigned hops;
	const char *self, *sender, *to; /**< RPC addresses; @a sender is "" if it is not known */
	bool in_transaction;
	int64_t left_us;     /**< until the deadline */
	int64_t received_us; /**< when something was last received from the receiver; 0: never */
};

/** @return whether a VM relays a statement, or why it does not */
enum reach_refusal reach_check(const struct reach_request *q, int64_t now_us);
const char *reach_refusal_name(enum reach_refusal why);

/**
 * Chooses the VMs that an owner asks whether they reach its primary: up to @a max, one of each data
 * centre in turn, beginning with the primary's. A partition between two data centres hides the
 * primary from all VMs on one side, so VMs of one data centre would all give the same answer.
 * @param out indexes into @a vms. @return their number
 */
unsigned reach_witnesses(const struct reach_vm *vms, unsigned n, const char *data_center,
			 unsigned max, uint64_t random, unsigned *out);

/** Answer of a VM that was asked whether it reaches a primary. */
struct reach_answer {
	char vm[NAME_SIZE];
	bool near; /**< in the primary's data centre */
	bool answered, reaches;
};

/**
 * Chooses the VM that a group is handed to.
 * @param since_first_us time since the first VM answered that it reaches the primary
 * @return index of a VM that reaches the primary, -1 if there is none, or REACH_UNDECIDED while one
 * in the primary's data centre may still answer
 */
#define REACH_UNDECIDED (-2)
int reach_next_owner(const struct reach_answer *a, unsigned n, int64_t since_first_us);

#endif
