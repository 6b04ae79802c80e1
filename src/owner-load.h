/**
 * @file owner-load.h
 * Load of the members of a group. The owner of a group keeps for each member the statements that
 * all VMs run on it, those that wait, the connections left and the time of a statement by class. It
 * passes that to the VMs that serve reads (readers), which report what they use themselves. Made
 * for members that are used by an owner and a few readers: LOAD_READERS_MAX are told apart.
 */
#ifndef OWNER_LOAD_H
#define OWNER_LOAD_H

#include "mango.h"
#include "member.h"
#include "place.h"
#include "rpc.h"
#include "stat.h"

struct owner;
struct owner_group;
struct owner_job;
struct owner_member;

/** Readers whose use of a member the owner keeps; the one that was silent for longest is replaced.
 */
#define LOAD_READERS_MAX 16

/** Time of a statement of one class on a member, as measured by this VM. */
struct load_time {
	double us; /**< moving average from sending it to its answer */
	int64_t updated_us;
};

/** What a reader uses of a member. */
struct load_use {
	char vm[NAME_SIZE];
	unsigned in_flight, connections;
	int64_t updated_us; /**< 0: unused entry */
};

/** What the owner has reported of a member. */
struct load_report {
	int64_t received_us; /**< 0: nothing */
	unsigned others;     /**< statements of other VMs in progress on it or waiting for it */
	unsigned service_us[STAT_CLASSES]; /**< without the way to the member; 0: not known */
	bool unsteady;
};

/** Embedded in struct owner_job. */
struct load_job {
	uint8_t failed_on; /**< bit per member: answered that the statement failed */
};

/** Load of a member; embedded in struct owner_member. */
struct load_member {
	struct load_time time[STAT_CLASSES];
	double opening_us; /**< moving average of the time to open a connection; 0: not known */
	double hop_us;	   /**< moving average of the round trip; 0: not known */
	double in_flight;  /**< moving average of the statements of this VM in progress */
	struct load_use use[LOAD_READERS_MAX]; /**< at the owner */
	struct load_report report;	       /**< at a reader */
	unsigned reported_in_flight;	       /**< own use in the last request to the owner */
	struct place_health health;
};

/** State of the requests to the owner; embedded in struct owner_group. */
struct load_group {
	bool pending;		    /**< a request is in flight */
	bool old_way;		    /**< the next request is to be sent in the old way */
	unsigned unanswered;	    /**< requests in a row that were not answered */
	int64_t asked_us;	    /**< time of the last request */
	char address[ADDRESS_SIZE]; /**< that the last request was sent to */
	bool answered;		    /**< the VM there has answered one */
	int64_t old_until_us; /**< the VM there does not know the message, and is not asked again
				 before this time */
};

/** Load of a member as used to place a read. */
struct load_view {
	unsigned others; /**< statements of other VMs in progress on it */
	double service_us;
	double opening_us;
	double hop_us;
	bool unsteady, probe_due;
};

/** Serves ML_MEMBER_LOAD if the settings call for it. */
void load_start(struct owner *o);
/** Whether the load is used to place reads. */
bool load_placement(const struct owner *o);
/**
 * Asks the owner of the group at @a address for its newest mark and the load of the members.
 * @return false if it has to be asked for the mark in the old way
 */
bool load_ask(struct owner_group *g, const char *address, int64_t now);
/** Records that the owner has answered a request for its mark in the old way. */
void load_answered_old_way(struct owner_group *g, int64_t now);
/** Keeps the averages, and asks the owner when a report is due. */
void load_tick(struct owner_group *g, int64_t now);

/** Fills in the load of @a m for a read of the class @a priority. */
void load_view(const struct owner_member *m, unsigned priority, int64_t now, struct load_view *v);
/** Records that @a job, which waited, is sent to @a m. */
void load_sent(const struct owner_job *job, struct owner_member *m, int64_t now);
/** Records the answer of the job's member to a statement that took @a us from sending it. */
void load_answered(struct owner_job *job, enum member_result result, int64_t us, int64_t now);
/** Records that @a m lost a connection with a statement, or did not answer one in time. */
void load_failed(struct owner_member *m, int64_t now);
/** Records the round trip of a probe. */
void load_probed(struct owner_member *m, int64_t us);
/** Records the time that it took to open a connection. */
void load_opened(struct owner_member *m, int64_t us);
/** Records that a member that was down may be used again. */
void load_member_up(struct owner_member *m, int64_t now);

#endif
