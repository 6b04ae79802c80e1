/**
 * @file succession.h
 * Collects what is known of a primary during a change of primary, and decides from it. The owner of
 * a group is the VM that holds its connections and manages its primary. A primary that still
 * answers the previous owner is kept. The choice of a successor waits for a limited time for a
 * member that has every write that any reachable VM can show to be acknowledged. This covers the
 * end of a network partition, when a data centre rejoins with a primary, its owner and their
 * callers that continued to work within the partition. Where commits are acknowledged only once
 * replicas have received them, the choice waits for a log that certainly has all of them.
 */
#ifndef DECIDE_SUCCESSION_H
#define DECIDE_SUCCESSION_H

#include "types.h"

/** Answer of a VM that was sending to the primary to the request to stop. */
struct succession_report {
	char vm[NAME_SIZE];
	uint64_t incarnation;
	bool stopped;		   /**< it has stopped sending */
	char primary[NAME_SIZE];   /**< primary that it was sending to; "" if it knows none */
	struct pos acknowledged;   /**< position that includes every write it acknowledged */
	int64_t latest_contact_us; /**< when the primary last answered this sender; 0: never */
};

/** What the owner knows of the primary during a change of primary. */
struct succession {
	int64_t since_us; /**< when this VM lost contact with the primary; only later contact of
			     other VMs shows that the primary is alive */
	struct pos acknowledged; /**< highest position known to contain acknowledged writes */
	int64_t acknowledged_us; /**< latest time at which @a acknowledged was current, or 0 */
	bool acknowledged_all; /**< @a acknowledged contains the acknowledged writes of all senders
				*/
	char primary[NAME_SIZE];   /**< primary that still answers a previous owner */
	int64_t latest_contact_us; /**< when @a primary last answered a previous owner; 0: never */
	int64_t reported_us; /**< when this VM was first informed of such an answer; 0: never */
	char vm[NAME_SIZE];  /**< previous owner that continues to send; "" for none */
	uint64_t incarnation;
};

/** Resets the state for a new owner or a new change; keeps the acknowledged position. */
void succession_begin(struct succession *s, int64_t now_us);
/** Records that @a pos is known to contain acknowledged writes. */
void succession_acknowledged(struct succession *s, struct pos pos, int64_t at_us);
/** Records the answer of a VM that was asked to stop sending. */
void succession_report(struct succession *s, const struct succession_report *r, int64_t now_us);

/** State of a VM that is asked to stop sending to a primary. */
struct succession_sender {
	bool may_send;	  /**< it holds its lease and has not stopped */
	bool leaving;	  /**< its process is about to end */
	int64_t quiet_us; /**< how long the primary has not answered the requesting VM; 0: the
			     change is planned */
	int64_t latest_contact_us; /**< when the primary last answered this sender; 0: never */
};

/**
 * Decides whether the VM may continue to send. Two VMs may safely send to the same primary, whereas
 * a needless stop makes requests fail.
 */
bool succession_may_continue(const struct succession_sender *s, int64_t now_us);

enum succession_verdict {
	SUCCESSION_CHOOSE,    /**< the primary answers no VM: choose a successor */
	SUCCESSION_WAIT,      /**< the primary is alive: wait until this VM can reach it */
	SUCCESSION_HAND_BACK, /**< the primary is alive and only the previous owner can reach it */
};

/** Decides whether an unplanned change may choose a successor. */
enum succession_verdict succession_judge_primary(const struct succession *s, int64_t now_us);

/**
 * Longest time without a primary while a choice waits for a commit that a replica had received
 * before it was acknowledged. Covers the restart of a server and the usual network partition; a
 * server that is away for longer may never return.
 */
#define SUCCESSION_SYNC_TIMEOUT_US (20 * USEC_PER_SEC)

/** State of the choice of a successor. */
struct succession_choice {
	struct pos best;   /**< log position of the member to be chosen */
	struct pos newest; /**< newest log position of all members that are seen */
	bool may_gain; /**< a newer log may appear: a member is unreachable, or a primary may still
			  replicate */
	unsigned sync; /**< replicas that receive a commit before it is acknowledged */
	unsigned unseen; /**< members, with the old primary, that have not reported their log since
			    the senders stopped */
	int64_t waited_us;   /**< time since the choice began */
	int64_t unserved_us; /**< time since the change began */
};

/**
 * Whether the member to be chosen certainly has every acknowledged commit, where @a c->sync is not
 * 0. Such a commit is in the logs of its primary and of @a c->sync replicas.
 */
bool succession_choice_complete(const struct succession *s, const struct succession_choice *c);
/** Decides whether to wait for a candidate that has every write known to be acknowledged. */
bool succession_choice_waits(const struct succession *s, const struct succession_choice *c);

/**
 * Ends the change: a primary has started a new term at @a start. Forgets the acknowledged position.
 * @return upper bound of the number of acknowledged commits that the promotion discarded
 */
uint64_t succession_complete(struct succession *s, struct pos start);

#endif
