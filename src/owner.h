/**
 * @file owner.h
 * The owner of a database group: the one VM that holds the connections to the group's members, runs
 * callers' statements on them and sees to it that the group has a primary. For groups whose members
 * are led from outside (member.h); decide/lead.h says who may own one and when its primary may be
 * changed.
 *
 * owner.c        groups, and the RPC procedures
 * owner-record.c the group's record in the store
 * owner-claim.c  who owns it: claiming, handing over, yielding
 * owner-change.c the change of primary, step by step
 * owner-choose.c the choice of the next primary
 * owner-fence.c  making sure that nobody else sends to the primary
 * owner-watch.c  looking at the members
 * owner-queue.c  statements that wait, and the member for each
 * owner-job.c    one statement, step by step
 * owner-command.c what a connection lacks before a statement
 * owner-conn.c   connections, callers' transactions on them
 */
#ifndef OWNER_H
#define OWNER_H

#include "bucket.h"
#include "conf.h"
#include "fairq.h"
#include "fleet.h"
#include "keep.h"
#include "kernel.h"
#include "lead.h"
#include "marks.h"
#include "member.h"
#include "outcome.h"
#include "rpc.h"
#include "succession.h"

struct owner;
struct owner_group;
struct owner_member;
struct owner_job;
struct owner_tx;

/** By whom a read may be served that its group's owner does not serve. */
enum owner_reader {
	READER_OWNER, /**< only by the owner */
	READER_NEAR,  /**< by a VM of the caller's data centre, at a replica that is there too */
	READER_ANY,   /**< by the entry VM, at any replica in reach: the owner is not */
};

/** Classes of urgency; a route's priority beyond the last counts as the last. */
#define OWNER_PRIORITIES 4
/** A prepared statement's name on a connection: 'r' or 'w', '_', and its shape. */
#define OWNER_NAME_MAX 256

/** A connection that serves statements; it is one team's until it is closed. */
struct owner_conn {
	TAILQ_ENTRY(owner_conn) link;
	struct owner_member *m;
	struct member_conn *mc;
	char team[NAME_SIZE];
	bool open;
	bool values_unsure;    /**< a rollback may have taken values back: reset before use */
	GHashTable *values;    /**< session values that hold on it: name to value */
	GHashTable *prepared;  /**< names that are prepared on it */
	struct owner_job *job; /**< the statement on it, or that waits for it to open */
	struct owner_tx *tx;   /**< the transaction that it is kept for */
	bool abandoned;	       /**< a statement is out on it that nobody waits for any more */
	int64_t since_us;      /**< when its state last changed */
	int64_t sent_us;       /**< when what is out on it was sent */
};
TAILQ_HEAD(owner_conns, owner_conn);

/** A caller's open transaction. */
struct owner_tx {
	TAILQ_ENTRY(owner_tx) link;
	uint64_t id;
	struct owner_conn *conn;
	uint64_t rpc_conn; /**< the entry VM's connection; the transaction ends with it */
	bool read_only;
	bool on_primary;
	uint64_t term; /**< of the primary that it is on */
	bool wrote;
	bool failed;
	int64_t used_us;
	int64_t idle_us; /**< how long it may rest */
};
TAILQ_HEAD(owner_txs, owner_tx);

enum owner_step {
	OWNER_QUEUED,
	OWNER_OPENING, /**< waits for its connection */
	OWNER_BEGIN,
	OWNER_STATEMENT,
};

/** One statement that an entry VM asked for. */
struct owner_job {
	struct fairq_item item;
	TAILQ_ENTRY(owner_job) link; /**< in held or running */
	struct owner_group *g;
	struct rpc_request *rq;
	const ml_run_args *args; /**< of @a rq */
	struct owner_conn *conn;
	struct owner_tx *tx;
	enum owner_step step;
	bool needs_primary;
	bool on_primary; /**< it was sent to what was the primary then */
	bool slotted;	 /**< counted in its member's statements */
	unsigned tries;
	uint8_t tried; /**< bit per member that could not serve it */
	int64_t received_us;
	int64_t deadline_us;
	int64_t sent_us;
	int64_t not_before_us; /**< a member was busy: not tried again before */
	uint64_t term;	       /**< of the primary that it was sent to */
	struct pos need;       /**< position that was asked for */
};
TAILQ_HEAD(owner_jobs, owner_job);

/** The connection over which a member is looked at. */
struct owner_probe {
	struct member_conn *mc;
	bool open;
	bool out; /**< something is asked and not answered */
	int64_t sent_us;
	int64_t next_us;
};

struct owner_member {
	struct owner_group *g;
	unsigned index;
	struct conf_member conf;
	bool listed;	      /**< in the configuration */
	int64_t unlisted_us;  /**< since when it is not */
	int64_t leaving_us;   /**< since when it is known here that it leaves */
	int64_t evacuated_us; /**< since when it is known here that its data centre is evacuated */
	struct bucket cold;   /**< statements that it takes while it is cold */
	struct owner_conns conns;
	unsigned n_conns;
	unsigned n_open;
	struct keep_use use;
	unsigned out; /**< statements in its slots */
	int64_t open_after_us;
	unsigned full_limit; /**< connections that it accepted when it refused one as too many */
	int64_t full_us;     /**< when it did so; 0: never */
	int64_t full_until_us;
	struct pos pos; /**< newest that it told */
	int64_t pos_us;
	int64_t heard_us;
	int64_t unheard_us; /**< since when something is sent and nothing was answered; 0: none */
	bool refused;	    /**< it refuses connections since it was last heard */
	bool down;	    /**< silent: gets nothing but looks */
	int64_t down_us;    /**< since when */
	double service_us;  /**< moving average of a statement's time */
	struct owner_probe probe;
	struct lead_candidate seen;
	int64_t seen_us; /**< when @a seen was asked for */
};

enum owner_state {
	OWNER_NONE,	/**< not this VM's */
	OWNER_CLAIMING, /**< the claim is under way */
	OWNER_FINDING,	/**< looks for the primary */
	OWNER_SERVING,
	OWNER_SETTLING,	 /**< a change of primary: what is open on the old one ends */
	OWNER_FENCING,	 /**< until nobody else may be sending */
	OWNER_CHOOSING,	 /**< looks for the newest replica */
	OWNER_RECORDING, /**< writes the choice to the record */
	OWNER_ORDERING,	 /**< the promotion is ordered */
	OWNER_AWAITING,	 /**< until the chosen member leads */
	OWNER_STATES
};

struct owner_group {
	TAILQ_ENTRY(owner_group) link;
	struct owner *o;
	char pool[NAME_SIZE];
	bool configured;

	struct lead_record record;
	uint64_t revision;   /**< of @a record; 0: none is known */
	bool read;	     /**< the record was looked for */
	bool outdated;	     /**< another VM knows of a newer one: it is to be read */
	bool busy;	     /**< a call about the record is under way */
	int64_t next_us;     /**< no further call before */
	int64_t asked_us;    /**< when the record's owner was last asked whether it lives */
	bool owner_lost;     /**< its process has ended or does not answer */
	bool asking;	     /**< the owner is being asked */
	int64_t reported_us; /**< when another VM last said that it cannot reach the owner; 0: never
			      */
	int64_t report_us;   /**< when this VM last said so */
	int64_t store_failed_us; /**< when a read of the record last failed; 0: the last one did not
				  */
	bool invited;		 /**< its owner asks this VM to claim it */
	uint64_t superseded;	 /**< revision of a newer record, told by the VM that wrote it */
	int64_t invited_us; /**< when this VM, as the owner, last asked another one to claim it */
	int64_t untaken_last_us; /**< when the last statement was not taken */
	int64_t untaken_us; /**< since when no owner has taken a statement from this VM; 0: one has
			     */
	uint64_t hint_revision; /**< of a newer record that another VM told of */
	char hint_address[ADDRESS_SIZE];
	char owner_at[ADDRESS_SIZE];  /**< address that @a owner_near is of */
	bool owner_near;	      /**< the owner is in this VM's data centre */
	char told_primary[NAME_SIZE]; /**< member that leads, as the owner last told */
	bool mark_asked; /**< the owner is being asked what it knows of the newest write */
	int64_t mark_asked_us;
	uint64_t registration; /**< under which the record was last seen to be this VM's */
	bool recovered;	       /**< the store lacks a choice that @a record has */
	int64_t recovered_us;  /**< when this VM is to write it */
	uint64_t lapses;       /**< of this VM's lease, when the record was last read or written */
	bool unsettled;	       /**< no primary may be found before the record is read again */
	bool rereading;	       /**< it is to be read now */
	int64_t read_us;       /**< when this VM last took a read for itself */
	int64_t near_us;       /**< when it last took one as the reader of its data centre */
	bool reading;	       /**< this VM reads from replicas by itself, for want of an owner */
	bool yielded;	       /**< this VM sends nothing for the group any more */
	bool sending; /**< this VM may be sending under an ownership that it has given away */

	enum owner_state state;
	int64_t state_us;
	int64_t moved_us; /**< when it was last handed over for being far from its primary */
	bool to_leave;	  /**< the primary is to leave, and its successor is not yet chosen */
	bool planning;	  /**< a planned change is being written to the record */
	bool planned;	  /**< the primary is alive and leaves */
	int target;
	int except; /**< a member that could not be promoted, or -1 */
	uint64_t token;
	int64_t unserved_us; /**< since when no primary serves */
	bool ordered;
	struct succession succession;
	struct {
		bool possible; /**< no order for the recorded choice has gone out */
		uint64_t floor;
		char target[NAME_SIZE];
	} undo; /**< what the record said before the choice */
	int64_t chosen_us;
	int64_t fence_next_us;

	unsigned n;
	struct owner_member member[GROUP_MEMBERS_MAX];
	int primary; /**< index of the member that leads, or -1 */
	uint64_t term;
	struct marks marks;

	bool others_asked;
	unsigned others_out;
	char reaches[NAME_SIZE]; /**< a VM that reaches the primary, when this one does not */
	int64_t others_us;

	struct fairq write_queue[OWNER_PRIORITIES]; /**< what only the primary can serve */
	struct fairq read_queue[OWNER_PRIORITIES];
	struct owner_jobs held; /**< were next, and had no member that could serve them */
	struct owner_jobs running;
	struct owner_txs txs;
	unsigned jobs;
	bool dispatching;
	bool dispatch_again;
};
TAILQ_HEAD(owner_groups, owner_group);

struct owner {
	struct service service;
	struct owner_groups groups;
	uint64_t conf_version; /**< that last changed a pool or an evacuation */
	GHashTable *by_pool;   /**< the same; each statement looks its group up some times */
	struct event *tick;
	bool leaving;
	int64_t left_us;
};

struct service *owner_service_create(struct kernel *k);
struct owner *owner_of(struct kernel *k);
/**
 * RPC address of the VM to ask for @a pool: its owner as far as is known, else the VM that is to
 * claim it; NULL when there is none.
 */
const char *owner_address(struct owner *o, const char *pool, bool *known);
/** Newest revision of the group's record that this VM has heard of. */
uint64_t owner_known_revision(struct owner *o, const char *pool);
/** Note whether the group's owner took a statement. @return since when none did, in us; 0: it did
 */
int64_t owner_took(struct owner *o, const char *pool, bool took);
/** For how long no owner has taken a statement from this VM, in us; 0 when one takes them. */
int64_t owner_untaken_us(struct owner *o, const char *pool);
/** A statement did not reach the owner: have the VM that is to claim the group look after it. */
void owner_report_unreachable(struct owner *o, const char *pool);
/**
 * The owner told what it knows of the newest write: @a pos held all that was acknowledged before
 * @a asked_us. Kept for reads while the owner is out of reach.
 */
void owner_told_mark(struct owner *o, const char *pool, struct pos pos, int64_t asked_us);
/**
 * RPC address of the VM of this data centre that reads for it: at the pool's member that is here,
 * or, where none is, at those elsewhere. NULL when the owner is here.
 */
const char *owner_near_reader(struct owner *o, const char *pool);
/** Whether a read of data up to @a max_age_us old could be served by this VM itself. */
bool owner_can_read(struct owner *o, const char *pool, int64_t max_age_us);
/** An answer told of a newer record than is known here. */
void owner_heard(struct owner *o, const char *pool, const char *vm, const char *address,
		 uint64_t revision);

/* owner.c: "og" is for owner_group */
/** This process. */
struct lead_vm owner_self(const struct owner *o);
struct fleet *og_fleet(const struct owner_group *g);
struct owner_group *og_find(struct owner *o, const char *pool);
bool og_mine(const struct owner_group *g);
/** Whether this VM may send to the group's primary now, and believe what it answers. */
bool og_may_send(const struct owner_group *g);
void og_state(struct owner_group *g, enum owner_state state, const char *why);
/** How long until a primary is likely to serve; 0 when one does. */
int64_t og_wait_us(const struct owner_group *g, int64_t now);
struct owner_member *og_primary(struct owner_group *g);
/** Whether a member that is not leaving is in @a data_center. */
bool og_has_member(const struct owner_group *g, const char *data_center);

/* owner-record.c */
void record_listen(struct owner *o);
/** Read the record from the store itself, past what the watch has told. */
void record_read(struct owner_group *g);
/** Another VM knows of a newer record than this one. */
void record_outdated(struct owner_group *g);
typedef void (*record_written)(struct owner_group *g, bool ok);
/** Write @a r as the group's record if it is still at the known revision. */
void record_write(struct owner_group *g, const struct lead_record *r, record_written cb);
/** Stop being the owner; what is open may still end, since two senders harm nothing. */
void record_ownership_ends(struct owner_group *g, const char *why);

/* owner-claim.c */
void claim_tick(struct owner_group *g, int64_t now);
/** Another VM has written a newer record that names itself. */
void claim_superseded(struct owner_group *g);
void claim_owner_serve(struct rpc_request *rq, const void *args, void *owner);
void claim_yield_serve(struct rpc_request *rq, const void *args, void *owner);
/** Give the group to another VM; open transactions end here. */
void claim_hand_over(struct owner_group *g, const char *to, const char *why);
/** Ask the owner what it knows of the newest write. */
void claim_ask_mark(struct owner_group *g, int64_t now);
/**
 * Ask another VM to claim the group: the store turns this one away, and a change of primary has to
 * be written there.
 */
void claim_invite(struct owner_group *g, const char *why);
/** The record could not be read: a report on its owner has to go to another VM. */
void claim_store_failed(struct owner_group *g);
/** Hand the group to a VM of its primary's data centre, if this one is not there. */
void claim_move_near(struct owner_group *g, int64_t now);
/** Tell all VMs who owns the group. */
void claim_tell_all(struct owner_group *g);
/** Stop sending for the group at once. */
void claim_stop(struct owner_group *g, const char *why);

/* owner-change.c */
/** Looks older than this do not decide a choice. */
#define CHANGE_LOOK_FRESH_US (400 * USEC_PER_MSEC)
/** Replace the primary. @param planned it lives, and is to leave */
void change_begin(struct owner_group *g, bool planned, const char *why);
void change_tick(struct owner_group *g, int64_t now);
/** The member at @a i leads from now on. */
void change_lead_begins(struct owner_group *g, int i, const char *why);
/** The planned change cannot be made now: the old primary goes on. */
void change_call_off(struct owner_group *g, const char *why);
/** Whether a primary is to be replaced though it may live. */
bool change_must_leave(const struct owner_member *m, int64_t now);
/** It was to leave so long ago that it gets no more statements, whoever may follow it. */
bool change_overstays(const struct owner_member *m, int64_t now);
/** Nothing comes from the member, though something was asked. */
bool change_is_silent(const struct owner_member *m, int64_t now);

/* owner-choose.c */
/** The members as candidates; one counts as reached when its look is younger than @a fresh_us. */
void choose_candidates(const struct owner_group *g, struct lead_candidate *c, const char **names,
		       int64_t now, int64_t fresh_us);
/** The member to follow the present primary, or -1; see choose_candidates(). */
int choose_successor(const struct owner_group *g, int64_t now, int64_t fresh_us);
/** The member that leads as the record has it, or -1. */
int choose_leader(const struct owner_group *g, int64_t now);
/** Write to the record that @a target is to lead a term above @a highest. */
void choose_record(struct owner_group *g, int target, uint64_t highest, record_written cb);
/** Write the record as it was before the choice, if no order has gone out. */
void choose_undo(struct owner_group *g);
/** Take the choice back when the former primary is there again. @return whether that began */
bool choose_take_back(struct owner_group *g, int64_t now);
/** Whether the order waits for what a former primary holds and the chosen member lacks. */
bool choose_order_waits(const struct owner_group *g, int64_t now);
/** The step of OWNER_CHOOSING. */
void choose_step(struct owner_group *g, int64_t now);

/* owner-fence.c */
/** Ask all that may still be sending to stop, and the store whether they still could. */
void fence_ask(struct owner_group *g);

/* owner-watch.c */
void watch_tick(struct owner_group *g, int64_t now);
/** A member answered something. */
void watch_heard(struct owner_member *m, struct pos pos, int64_t asked_us);
/** Something was sent to a member. */
void watch_sent(struct owner_member *m, int64_t now);
/** Look at a member as soon as possible. */
void watch_look(struct owner_member *m);
/** The same, on a new connection: one that was begun during a cut may never open. */
void watch_look_anew(struct owner_member *m);
void watch_close(struct owner_member *m);
/** A replica that answers nothing gets no more statements until it is heard. */
void watch_judge_replica(struct owner_member *m, int64_t now);
void watch_reach_serve(struct rpc_request *rq, const void *args, void *owner);

/* owner-queue.c */
void queue_init(struct owner_group *g);
void queue_clear(struct owner_group *g);
void queue_run_serve(struct rpc_request *rq, const void *args, void *owner);
void queue_dispatch(struct owner_group *g);
/** Refuse all that waits and that only the primary can serve, or all. */
void queue_refuse(struct owner_group *g, bool all, enum outcome o);
void queue_tick(struct owner_group *g, int64_t now);
/** The queue that a job waits in. */
struct fairq *queue_of(struct owner_job *job);
/** A job goes back to wait for another try. */
void queue_again(struct owner_job *job);

/* owner-job.c */
/**
 * The position that a read, or the begin of reads, needs on a replica.
 * @return false when none is known that is new enough
 */
bool job_need(const struct owner_job *job, struct pos *need);
/** Start @a job on @a m; false when no connection is to be had there now. */
bool job_start(struct owner_job *job, struct owner_member *m);
/** Start a statement of an open transaction. */
void job_start_in_tx(struct owner_job *job);
void job_conn_opened(struct owner_conn *c, enum member_result result);
/** Tell who owns the group, if the statement's sender knows of nothing as new. */
void job_put_owner(ml_run_res *res, const struct owner_group *g, uint64_t known);
/** Answer a job that is on no connection, and free it. */
void job_end(struct owner_job *job, enum outcome o, const struct member_answer *a,
	     int64_t retry_after_us);
/** The job's time, or its member's patience, is over. */
void job_expire(struct owner_job *job, int64_t now);
void job_lost(struct owner_job *job, const char *why);

/* owner-command.c */
/** Most commands in one write. */
#define OWNER_COMMANDS_MAX 64
/** Commands that make the connection's values those of the session. @return how many */
unsigned command_values(struct owner_job *job, struct member_command *out);
/**
 * The command that prepares what @a job executes, if its connection lacks it; its name goes to
 * @a name. @return how many: 0 or 1
 */
unsigned command_prepare(struct owner_job *job, char name[OWNER_NAME_MAX],
			 struct member_command *out);

/* owner-conn.c */
struct owner_conn *conn_get(struct owner_member *m, const char *team);
/** Whether conn_get() would find or open one. */
bool conn_available(const struct owner_member *m, const char *team);
/** Whether an idle connection of the team is open. */
bool conn_ready(const struct owner_member *m, const char *team);
/** The connection's statement has ended: it is free for another, or is closed if not as it should.
 */
void conn_release(struct owner_conn *c, enum tx_state state);
void conn_close(struct owner_conn *c);
void conn_close_idle(struct owner_member *m);
/**
 * A statement got no answer though the member lives: connections that rest may have gone silent
 * too, and each would take a statement before it shows.
 */
void conn_distrust(struct owner_member *m);
void conn_close_all(struct owner_member *m);
void conn_tick(struct owner_member *m, int64_t now);
struct owner_tx *tx_find(struct owner_group *g, uint64_t id);
struct owner_tx *tx_create(struct owner_job *job);
/** Forget the transaction; its connection is released by the caller or closed. */
void tx_free(struct owner_tx *tx);
/** Roll back by closing the connection. */
void tx_abort(struct owner_tx *tx, const char *why);
void tx_closed(uint64_t rpc_conn, void *owner);

#endif
