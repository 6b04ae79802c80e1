/**
 * @file owner.h
 * Owner of a database group: the one VM that holds the connections to the members of the group,
 * runs callers' statements on them and manages the primary of the group (failure detection,
 * failover, planned change). Serves groups that have no consensus protocol of their own: the proxy
 * chooses their primary (see member.h). decide/lead.h has the rules for who may own a group and
 * when its primary may be replaced.
 *
 * Terms: a pool is a database group as configured; a member is one database server of it. The entry
 * is the daemon a caller is connected to; it forwards statements to the owner by RPC. The record is
 * the key of the group in the store: it names the owner, the VMs that may still send to the primary
 * ("senders"), and the last chosen primary. An era counts how often the store came back from an
 * older copy. A mark is a log position known to include all writes acknowledged before a given
 * time.
 *
 * owner.c         groups, configuration, service entry points
 * owner-record.c  the record: serialisation, reading, writing, taking effect
 * owner-claim.c   claiming, handing over and yielding a group
 * owner-change.c  state machine of a change of primary
 * owner-choose.c  choice of the next primary
 * owner-fence.c   fencing of other senders to the primary
 * owner-watch.c   probes of the members and failure detection
 * owner-reach.c   other VMs that reach the primary: asking them, and inviting one to claim
 * owner-queue.c   queues of statements: admission, refusal and expiry
 * owner-aim.c     target latencies of the routes to a group
 * owner-dispatch.c starts queued statements as members have room
 * owner-pick.c    choice of the member for a statement
 * owner-load.c    load of the members, exchanged between owner and readers
 * owner-standing.c where the primary stands: counts, report and move
 * owner-rebalance.c plan for the primaries of all groups, and its execution
 * owner-job.c     execution of one statement
 * owner-command.c session values and prepared statements sent before a statement
 * owner-conn.c    connections to members and transactions on them
 * owner-budget.c  connections as a budget of teams, classes and VMs
 */
#ifndef OWNER_H
#define OWNER_H

#include "bucket.h"
#include "conf.h"
#include "dueq.h"
#include "fleet.h"
#include "inform.h"
#include "keep.h"
#include "kernel.h"
#include "lead.h"
#include "marks.h"
#include "member.h"
#include "outcome.h"
#include "owner-aim.h"
#include "owner-load.h"
#include "owner-standing.h"
#include "owner-budget.h"
#include "reach.h"
#include "rpc.h"
#include "stat.h"
#include "succession.h"

struct owner;
struct owner_group;
struct owner_member;
struct owner_job;
struct owner_tx;

/** Which VMs may serve a read. */
enum owner_reader {
	READER_OWNER, /**< the owner only */
	READER_LOCAL, /**< the reader VM of the caller's data centre, from a replica there if it has
			 one */
	READER_ANY,   /**< the entry VM, or the one that owner_shared_reader() names, from any
			   reachable replica, while the owner is unreachable */
};

/** Prefix of the role of the VM that is to claim a group whose owner is gone. */
#define OWNER_ROLE "group "
/** Number of priority classes. A route with a higher priority number is in the last class. */
#define OWNER_PRIORITIES STAT_CLASSES
/** Most VMs that an owner asks whether they reach its primary. */
#define OWNER_WITNESSES_MAX 6
/** Size of a prepared statement's name on a connection: 's' and its number. */
#define OWNER_STATEMENT_NAME_SIZE 24

/** A connection to a member that runs statements. It belongs to one team until it is closed. */
struct owner_conn {
	TAILQ_ENTRY(owner_conn) link;
	struct owner_member *m;
	struct member_conn *mc;
	char team[NAME_SIZE];
	bool open;
	bool values_uncertain;	/**< reset before use: a rollback may have changed values */
	GHashTable *values;	/**< session values set on the connection: name to value */
	GHashTable *prepared;	/**< statements prepared on the connection: digest to number */
	uint64_t last_prepared; /**< number of the last one; a number is never used again */
	struct owner_job *job;	/**< statement that runs on it or waits for it to open */
	struct owner_tx *tx;	/**< open transaction it is reserved for, or NULL */
	bool abandoned;		/**< runs a statement whose caller was already answered */
	int64_t state_since_us; /**< time of its last change of state */
	int64_t sent_us;	/**< time the last commands were sent */
	struct owner_budget_conn budget;
};
TAILQ_HEAD(owner_conns, owner_conn);

/** An open transaction of a caller. */
struct owner_tx {
	TAILQ_ENTRY(owner_tx) link;
	uint64_t id;
	struct owner_conn *conn;
	uint64_t rpc_conn; /**< RPC connection of the entry; its end aborts the transaction */
	bool read_only;
	bool on_primary;
	uint64_t term; /**< term of the primary at the start of the transaction */
	bool wrote;
	bool failed;
	int64_t last_used_us;
	int64_t idle_timeout_us; /**< longest time between two statements; 0: no limit */
};
TAILQ_HEAD(owner_txs, owner_tx);

enum owner_step {
	OWNER_QUEUED,
	OWNER_OPENING, /**< the connection is being opened */
	OWNER_BEGIN,
	OWNER_STATEMENT,
};

/** One statement received from an entry. */
struct owner_job {
	struct dueq_item item;
	bool has_aim;		     /**< item.aim_us is the expiry of a target latency */
	TAILQ_ENTRY(owner_job) link; /**< in the list held or running of the group */
	struct owner_group *g;
	struct rpc_request *rq;
	const ml_run_args *args; /**< arguments of @a rq */
	struct owner_conn *conn;
	struct owner_tx *tx;
	enum owner_step step;
	bool needs_primary;
	bool on_primary; /**< sent to the member that was the primary at that time */
	bool holds_slot; /**< counted in in_flight of its member */
	unsigned failed_attempts;
	uint8_t tried_members; /**< bit per member: could not serve the statement */
	int64_t received_us;
	int64_t deadline_us;
	int64_t sent_us;
	int64_t not_before_us; /**< not retried before this time, since a member was busy */
	uint64_t term;	       /**< term of the primary when the statement was sent */
	struct pos need;       /**< log position requested from the replica */
	struct load_job load;
	TAILQ_ENTRY(owner_job) begin_link;
	bool begin_waits; /**< in the list begins of the group */
};
TAILQ_HEAD(owner_jobs, owner_job);

/** Connection used to probe a member. */
struct owner_probe {
	struct member_conn *mc;
	bool open;
	bool pending; /**< a request is in flight */
	int64_t sent_us;
	int64_t next_us; /**< no probe before this time; 0: a probe was requested */
};

struct owner_member {
	struct owner_group *g;
	unsigned index;
	struct conf_member conf;
	bool listed;	      /**< present in the configuration */
	int64_t unlisted_us;  /**< when it left the configuration; 0: present */
	int64_t leaving_us;   /**< when this VM learned that it is leaving */
	int64_t evacuated_us; /**< when this VM learned that its data centre is being evacuated */
	struct bucket cold_bucket; /**< limits statements while the member is cold */
	struct owner_conns conns;
	unsigned n_conns;
	unsigned n_open;
	struct keep_usage use; /**< recent number of connections in use */
	struct owner_budget budget;
	unsigned in_flight; /**< statements that hold a slot of the member */
	int64_t open_after_us;
	unsigned full_limit; /**< connections open when it last refused one with MEMBER_FULL */
	int64_t full_us;     /**< time of the last MEMBER_FULL refusal; 0: never */
	int64_t full_until_us;
	int64_t full_pause_us; /**< last pause after MEMBER_FULL, with a budget; 0: one was opened
				*/
	struct pos pos;	       /**< last log position it reported */
	int64_t pos_updated_us;
	int64_t last_answer_us;
	int64_t silent_since_us; /**< first request since the last answer; 0: none */
	bool refused;		 /**< refuses connections; cleared by its next answer */
	bool down;		 /**< does not answer: receives probes only */
	int64_t down_us;	 /**< when it was marked down */
	double service_us;	 /**< moving average of the duration of a statement */
	struct owner_probe probe;
	struct lead_candidate observed; /**< result of the last probe */
	int64_t observed_us;		/**< when the request behind @a observed was sent */
	struct load_member load;
};

enum owner_state {
	OWNER_NONE,	/**< the group is not owned by this VM */
	OWNER_CLAIMING, /**< the claim is being written to the record */
	OWNER_FINDING,	/**< looking for the current primary */
	OWNER_SERVING,
	OWNER_SETTLING,	 /**< planned change: transactions on the old primary may finish */
	OWNER_FENCING,	 /**< waiting until no other VM can send to the primary */
	OWNER_CHOOSING,	 /**< choosing the replica with the newest log */
	OWNER_RECORDING, /**< writing the choice to the record */
	OWNER_ORDERING,	 /**< ordering the promotion */
	OWNER_AWAITING,	 /**< waiting until the chosen member is the primary */
	OWNER_STATES
};

struct owner_group {
	TAILQ_ENTRY(owner_group) link;
	TAILQ_ENTRY(owner_group) awake_link;
	bool awake; /**< in the list of groups that the timer drives; see owner_group_wake() */
	TAILQ_ENTRY(owner_group) claim_link;
	bool claimer; /**< in the list of groups that this VM is to claim if their owner is gone */
	struct owner *o;
	char pool[NAME_SIZE];
	char role[NAME_SIZE + sizeof(OWNER_ROLE)]; /**< of the VM that is to claim the group */
	bool configured;
	unsigned sync; /**< replicas that receive a commit before it is acknowledged */

	struct lead_record record;
	uint64_t revision;	   /**< revision of @a record in the store; 0: no record is known */
	bool record_loaded;	   /**< the record, or its absence, was read from the store */
	bool outdated;		   /**< a newer record exists: read it */
	bool record_busy;	   /**< a read or write of the record is in flight */
	int64_t record_busy_us;	   /**< since when */
	int64_t next_call_us;	   /**< no read, write or order before this time */
	bool from_invitation;	   /**< this VM claimed the group because the owner invited it */
	int64_t invited_until_us;  /**< end of the invitation; 0: it has none */
	uint64_t invited_revision; /**< of the record that the inviting owner had; 0: not known */
	int64_t owner_asked_us;	   /**< when the owner was last asked whether it serves the group */
	bool owner_lost;	   /**< the owner has ended or does not answer */
	bool owner_query_pending;  /**< a request to the owner is in flight */
	int64_t unreachable_reported_us; /**< last report of another VM; 0: never */
	int64_t report_sent_us;		 /**< when this VM last reported the owner unreachable */
	int64_t report_passed_us;	 /**< when it last passed on a report of another VM */
	int64_t store_failed_us; /**< when the last read of the record failed; 0: it succeeded */
	bool invited;		 /**< the owner has asked this VM to claim the group */
	uint64_t newer_revision; /**< revision of a newer record, announced by its writer */
	int64_t invited_us; /**< when this VM, as the owner, last invited another VM to claim */
	int64_t last_not_accepted_us;  /**< when an owner last did not accept a statement */
	int64_t not_accepted_since_us; /**< since when no statement is accepted; 0: they are */
	uint64_t hint_revision;	       /**< revision of a newer record that another VM reported */
	char hint_address[ADDRESS_SIZE];
	char owner_local_address[ADDRESS_SIZE]; /**< address that @a owner_local applies to */
	bool owner_local;
	char reported_primary[NAME_SIZE]; /**< primary, as last reported by the owner */
	bool mark_query_pending;	  /**< a request for the newest mark is in flight */
	int64_t mark_query_us;		  /**< when the last request for a mark was sent */
	uint64_t registration;		  /**< of this VM when the record was last confirmed */
	bool recovered;	       /**< the store lost a choice of primary that @a record has */
	int64_t recover_at_us; /**< when this VM writes the lost choice back */
	uint64_t lapses;       /**< lapses of this VM's lease when the record was last confirmed */
	bool unsettled;	       /**< the record must be read again before a primary is accepted */
	bool rereading;	       /**< the read required by @a unsettled was requested */
	int64_t last_read_us;  /**< when this VM last accepted a read as a non-owner */
	int64_t last_local_read_us; /**< when it last accepted a READER_LOCAL read */
	bool serves_reads;	    /**< this VM, not the owner, serves reads from replicas */
	bool yielded;		    /**< this VM has stopped sending statements for the group */
	bool sending;		    /**< this VM may be sending, possibly as a previous owner */

	enum owner_state state;
	int64_t state_us;     /**< when @a state was entered */
	int64_t last_move_us; /**< last attempt to move the group to its primary's data centre */
	bool leave_pending;   /**< the primary must leave, and no successor is chosen yet */
	bool plan_recording;  /**< the record of a planned change is being written */
	bool planned;	      /**< the change is planned: the primary is alive and leaves */
	int target;	      /**< member chosen as the next primary, or -1 */
	int excluded;	      /**< member that could not be promoted, or -1 */
	uint64_t token; /**< fencing token of a promotion: revision of the record with the choice */
	int64_t unserved_since_us; /**< since when no primary serves; 0: one does */
	struct order *order;	   /**< promotion order that has no answer yet, or NULL */
	bool ordered;		   /**< the promotion of @a target was ordered */
	struct succession succession;
	struct {
		bool possible;	     /**< no promotion that may take effect was ordered for the
					  recorded choice */
		unsigned orders;     /**< orders of the recorded choice that may take effect */
		uint64_t term_floor; /**< a primary is accepted only with a term above this one */
		char target[NAME_SIZE];
	} undo;			   /**< record fields before the choice */
	int64_t chosen_us;	   /**< when @a target was chosen */
	bool choice_waits;	   /**< the choice has waited for a log, which was logged */
	int64_t sender_removed_us; /**< when a sender was last found to send no more */
	int64_t fence_next_us;	   /**< other senders are not asked to stop before this time */

	unsigned n;
	/** GROUP_MEMBERS_MAX of them; NULL while this VM has not used the group, as most VMs do not
	 */
	struct owner_member *member;
	int primary; /**< index of the primary, or -1 */
	uint64_t term;
	struct marks marks;
	struct load_group load;
	struct owner_standing standing;

	bool others_asked;	    /**< other VMs have answered whether they reach the primary */
	unsigned others_pending;    /**< VMs that have not answered yet whether they reach it */
	char reached_by[NAME_SIZE]; /**< VM that reaches the primary while this VM does not */
	int64_t others_asked_us;
	struct reach_answer witness[OWNER_WITNESSES_MAX]; /**< VMs that were asked, and answers */
	bool witness_invited[OWNER_WITNESSES_MAX];
	unsigned n_witnesses;
	unsigned witnessed;	  /**< index of the member that they were asked about */
	int64_t first_reached_us; /**< when the first of them answered that it does; 0: none has */

	struct owner_queues *queues; /**< NULL while this VM has not used the group */
	struct owner_jobs held; /**< dequeued, but no member can serve them yet; not used while the
				   queues are ordered by target latency */
	struct owner_jobs running;
	struct owner_jobs begins; /**< jobs whose transaction has not begun */
	struct owner_txs txs;
	unsigned n_jobs;
	bool dispatching;
	bool dispatch_again;
};
TAILQ_HEAD(owner_groups, owner_group);

struct owner {
	struct service service;
	struct owner_groups groups;
	struct owner_groups awake;  /**< groups that the timer drives */
	struct owner_groups claims; /**< groups that this VM is to claim if their owner is gone */
	struct owner_group *swept;  /**< last sleeping group that the timer has looked at */
	uint64_t visits;	    /**< groups that the timer has looked at, in total */
	uint64_t era, lease_era;    /**< of the store and of the lease at the last tick */
	uint64_t conf_version;	    /**< last version with a changed pool or evacuation */
	GHashTable *by_pool; /**< pool name to group; looked up several times per statement */
	struct event *tick;
	struct owner_standings standings;
	struct owner_budget_teams teams;
	bool leaving;
	int64_t leave_started_us;
};

struct service *owner_service_create(struct kernel *k);
struct owner *owner_of(struct kernel *k);
/**
 * Returns the RPC address of the owner of @a pool as far as it is known (@a known is set), else
 * that of the VM that is to claim the group, or NULL.
 */
const char *owner_address(struct owner *o, const char *pool, bool *known);
/** Returns the RPC address of the last known owner, also if it seems gone; NULL if none is known.
 */
const char *owner_last_address(struct owner *o, const char *pool);
/** Returns the RPC address that attempt @a attempt of a statement is sent to, or NULL. */
const char *owner_address_for_attempt(struct owner *o, const char *pool, unsigned attempt);
/** Returns the newest revision of the group's record known to this VM. */
uint64_t owner_known_revision(struct owner *o, const char *pool);
/**
 * Records whether the owner accepted a statement.
 * @return for how long no owner has accepted one, in us; 0 if @a accepted
 */
int64_t owner_note_accepted(struct owner *o, const char *pool, bool accepted);
/** Returns for how long no owner has accepted a statement from this VM, in us; 0 if one does. */
int64_t owner_not_accepting_us(struct owner *o, const char *pool);
/** Reports to the VM that is to claim the group that a statement did not reach the owner. */
void owner_report_unreachable(struct owner *o, const char *pool);
/**
 * Takes a mark reported by the owner: @a pos includes all writes acknowledged before @a asked_us.
 * Marks are kept for reads while the owner is unreachable.
 */
void owner_update_mark(struct owner *o, const char *pool, struct pos pos, int64_t asked_us);
/**
 * Returns the RPC address of the reader VM of this data centre, which serves reads from the pool's
 * local member, or from members elsewhere if there is none. NULL if the owner is in this data
 * centre.
 */
const char *owner_local_reader(struct owner *o, const char *pool);
/**
 * Returns the RPC address of the VM that serves the READER_ANY reads of this data centre, or NULL
 * if each VM serves its own. With a budget of connections one VM does: if all VMs that do not reach
 * the owner opened BUDGET_UNGRANTED connections, they would need more than the members accept.
 */
const char *owner_shared_reader(struct owner *o, const char *pool);
/** Whether this VM itself could serve a read that allows data up to @a max_age_us old. */
bool owner_can_read(struct owner *o, const char *pool, int64_t max_age_us);
/** Takes a report that @a vm owns the group by a record newer than the known one. */
void owner_note_newer_record(struct owner *o, const char *pool, const char *vm, const char *address,
			     uint64_t revision);

/* owner.c */
/** Returns the name and incarnation of this process. */
struct lead_vm owner_self(const struct owner *o);
/** Gives the group its members, before this VM owns it or sends a statement to one of them. */
void owner_group_use(struct owner_group *g);
struct fleet *owner_group_fleet(const struct owner_group *g);
struct owner_group *owner_group_find(struct owner *o, const char *pool);
bool owner_group_is_own(const struct owner_group *g);
/** Whether this VM may send to the group's primary and trust its answers now. */
bool owner_group_may_send(const struct owner_group *g);
/** Until when it may send unless its lease is renewed; 0: it may not. */
int64_t owner_group_may_send_until_us(const struct owner_group *g);
/** Whether the setting "relay" is on. */
bool owner_group_uses_relay(const struct owner_group *g);
/**
 * Has the timer drive the group until nothing is left to do. Everything that gives a group
 * something to do calls this; a VM owns few of the fleet's groups, and the others cost it nothing.
 */
void owner_group_wake(struct owner_group *g);
void owner_group_set_state(struct owner_group *g, enum owner_state state, const char *why);
/** Returns the expected time until a primary serves, in us; 0 if one does. */
int64_t owner_group_expected_wait_us(const struct owner_group *g, int64_t now);
struct owner_member *owner_group_primary(struct owner_group *g);
/** Whether @a data_center has a member that is not leaving. */
bool owner_group_has_member(const struct owner_group *g, const char *data_center);

/* owner-record.c */
void record_listen(struct owner *o);
/** Reads the record from the store, independently of the watch. */
void record_read(struct owner_group *g);
/** Marks the known record as outdated, so that it is read again. */
void record_outdated(struct owner_group *g);
typedef void (*record_written)(struct owner_group *g, bool ok);
/** Writes @a r as the record if the store still has the known revision. */
void record_write(struct owner_group *g, const struct lead_record *r, record_written cb);
/** Ends ownership. Open transactions may finish, since two senders to one primary do no harm. */
void record_end_ownership(struct owner_group *g, const char *why);

/* owner-claim.c */
/** @return whether to call it again although nothing has changed */
bool claim_tick(struct owner_group *g, int64_t now);
/** Ends ownership after another VM announced a newer record that names itself. */
void claim_superseded(struct owner_group *g);
void claim_owner_serve(struct rpc_request *rq, const void *args, void *owner);
void claim_yield_serve(struct rpc_request *rq, const void *args, void *owner);
/** Hands the group to another VM. Open transactions finish on this VM. */
void claim_hand_over(struct owner_group *g, const char *to, const char *why);
/** Asks the owner for its newest mark. */
void claim_ask_mark(struct owner_group *g, int64_t now);
/**
 * Asks another VM to claim the group, when the store refuses this VM. With the setting "relay" and
 * while this VM serves the group, it is one that has just answered that it reaches the primary.
 */
void claim_invite(struct owner_group *g, const char *why);
/**
 * Asks the VM named @a to to claim the group. Unlike a hand-over, this changes nothing if that VM
 * does not reach the store. @return whether it was asked; false within a pause after the last one
 */
bool claim_invite_vm(struct owner_group *g, const char *to, const char *why);
/** Passes a report of an unreachable owner to another VM after the record could not be read. */
void claim_store_failed(struct owner_group *g);
/** Hands the group to a VM in the data centre of its primary, if this VM is elsewhere. */
void claim_move_to_primary(struct owner_group *g, int64_t now);
/** Notifies the VMs that need it of the new owner of the group; others ask (decide/inform.h). */
void claim_notify(struct owner_group *g);
/** Stops sending statements for the group at once and closes its connections. */
void claim_stop(struct owner_group *g, const char *why);

/* owner-change.c */
/** Longest age of a probe result that is used to choose a primary. */
#define CHANGE_PROBE_FRESH_US (400 * USEC_PER_MSEC)
/** Starts a change of primary. @param planned the primary is alive and must leave */
void change_begin(struct owner_group *g, bool planned, const char *why);
void change_tick(struct owner_group *g, int64_t now);
/** Begins to move the primary, which is alive and need not leave, to the member at @a target. */
void change_move(struct owner_group *g, int target);
/** Makes the member at @a i the primary and serves the group. */
void change_set_primary(struct owner_group *g, int i, const char *why);
/**
 * Cancels a planned change that cannot be made now: the old primary continues to serve. If it may
 * have been replaced, the change goes on as an unplanned one.
 */
void change_cancel(struct owner_group *g, const char *why);
/** Whether the primary must be replaced although it may be alive. */
bool change_must_leave(const struct owner_member *m, int64_t now);
/**
 * Whether the member has used up the time it has for leaving, so that it must get no more
 * statements, even without a successor.
 */
bool change_exceeds_leave_time(const struct owner_member *m, int64_t now);
/** Whether the member has left requests unanswered for too long. */
bool change_is_silent(const struct owner_member *m, int64_t now);

/* owner-choose.c */
/**
 * Fills in the members as candidates. A member counts as reached if its last probe result is
 * younger than @a fresh_us.
 */
void choose_candidates(const struct owner_group *g, struct lead_candidate *c, const char **names,
		       int64_t now, int64_t fresh_us);
/** Returns the member to succeed the current primary, or -1; see choose_candidates(). */
int choose_successor(const struct owner_group *g, int64_t now, int64_t fresh_us);
/** Returns the member that is the primary according to the record, or -1. */
int choose_recorded_primary(const struct owner_group *g, int64_t now);
/**
 * Writes the choice of @a target to the record. As the primary it must have a term above
 * @a highest.
 */
void choose_record(struct owner_group *g, int target, uint64_t highest, record_written cb);
/**
 * Whether the primary may continue to serve: the record accepts it, without a choice that can be
 * reverted.
 */
bool choose_keeps_primary(const struct owner_group *g);
/** Reverts the recorded choice if no promotion was ordered for it. */
void choose_undo(struct owner_group *g);
/**
 * Reverts the recorded choice when the previous primary is reachable again.
 * @return whether the write was started
 */
bool choose_undo_if_returned(struct owner_group *g, int64_t now);
/**
 * Whether the promotion must wait because a previous primary holds log that the chosen member
 * lacks.
 */
bool choose_order_waits(const struct owner_group *g, int64_t now);
/** Runs the state OWNER_CHOOSING. */
void choose_step(struct owner_group *g, int64_t now);

/**
 * Takes back a promotion order that has no answer yet: it must not arrive after the order of the
 * next owner.
 */
void change_take_order_back(struct owner_group *g);

/* owner-fence.c */
/** Asks all other senders to stop, and checks in the store whether their leases have ended. */
void fence_ask(struct owner_group *g);
/** Removes the senders whose processes have ended from @a r. @return how many */
unsigned fence_drop_ended(struct owner_group *g, struct lead_record *r);

/* owner-watch.c */
void watch_tick(struct owner_group *g, int64_t now);
/** Records an answer of a member to a request sent at @a asked_us. */
void watch_answered(struct owner_member *m, struct pos pos, int64_t asked_us);
/** Records that a request was sent to a member. */
void watch_sent(struct owner_member *m, int64_t now);
/** Makes a probe of the member due at once. */
void watch_probe_soon(struct owner_member *m);
/**
 * Closes the probe connection and makes a probe due at once. A connection started during a network
 * partition may never open.
 */
void watch_probe_reconnect(struct owner_member *m);
void watch_close(struct owner_member *m);
/** Marks a replica that does not answer as down; it gets no statements until it answers. */
void watch_judge_replica(struct owner_member *m, int64_t now);
void watch_reach_serve(struct rpc_request *rq, const void *args, void *owner);

/* owner-reach.c */
/** Asks other VMs whether they reach the member @a m. */
void witness_ask(struct owner_group *g, const struct owner_member *m, int64_t now);
/** Asks other VMs whether they reach the primary, unless their last answers are still used. */
void witness_refresh(struct owner_group *g, int64_t now);
/**
 * Invites a VM that reaches the member asked about to claim the group, one after another.
 * @param since_us since when the group has had no primary that this VM reaches
 * @return whether the group is to wait for one of them; false if none reaches the member, or none
 * took the group within WITNESS_TIMEOUT_US
 */
bool witness_hand_over(struct owner_group *g, int64_t since_us, int64_t now, const char *why);
/** Returns the next VM to invite that answered that it reaches the primary, or NULL. */
const char *witness_next(struct owner_group *g);
/** Time limit for the answers of other VMs, without the time of their way. */
#define REACH_TIMEOUT_US (350 * USEC_PER_MSEC)
/** Additional time for the answer of a VM to arrive. */
#define REACH_RPC_MARGIN_US (50 * USEC_PER_MSEC)
/** How long the answers of other VMs are used. */
#define REACH_FRESH_US (1 * USEC_PER_SEC)

/* owner-queue.c */
void queue_init(struct owner_group *g);
/** Creates the queues of a group that this VM begins to use. */
void queue_use(struct owner_group *g);
void queue_clear(struct owner_group *g);
void queue_run_serve(struct rpc_request *rq, const void *args, void *owner);
/** Refuses all waiting statements that need the primary, or all waiting ones if @a all. */
void queue_refuse(struct owner_group *g, bool all, enum outcome o);
void queue_tick(struct owner_group *g, int64_t now);
/** Ends a read that no member of this VM will serve, so that its entry asks the owner. */
void queue_end_unservable(struct owner_job *job);
/** Returns the queue of a job. */
struct dueq *queue_of(struct owner_job *job);
/** Puts a job back to wait for another attempt, or refuses it if its group can't serve it. */
void queue_retry(struct owner_job *job);

/** Puts a job back into its queue, ordered by target latency, without a check. */
void queue_put_back(struct owner_job *job);

/* owner-dispatch.c */
/** Starts the waiting statements that a member can serve now. */
void queue_dispatch(struct owner_group *g);

/* owner-pick.c */
/**
 * Chooses the member for a job, or NULL if none can take it now. @param unservable set if no member
 * of this VM will ever serve it, so that the owner must be asked
 */
struct owner_member *pick_member(const struct owner_job *job, int64_t now, bool *unservable);
/** Whether some member can take a further read. */
bool pick_read_room(const struct owner_group *g);
/** Whether the primary can take a further statement. */
bool pick_write_room(struct owner_group *g);

/* owner-job.c */
/**
 * Determines the log position that a read, or the begin of a read-only transaction, requires on a
 * replica.
 * @return false if no recent enough position is known
 */
bool job_needed_pos(const struct owner_job *job, struct pos *need);
/** Starts @a job on @a m. @return false if no connection is available there now */
bool job_start(struct owner_job *job, struct owner_member *m);
/** Starts a statement of an open transaction. */
void job_start_in_tx(struct owner_job *job);
void job_conn_opened(struct owner_conn *c, enum member_result result);
/** Adds the owner to the answer if the entry knows no record as new as this VM's. */
void job_fill_owner(ml_run_res *res, const struct owner_group *g, uint64_t known);
/** Answers and frees a job that has no connection. */
void job_end(struct owner_job *job, enum outcome o, const struct member_answer *a,
	     int64_t retry_after_us);
/** Ends or retries a running job that exceeded its deadline or READ_RETRY_AFTER_US. */
void job_expire(struct owner_job *job, int64_t now);
void job_lost(struct owner_job *job, const char *why);

/* owner-command.c */
/** Maximum number of commands in one write. */
#define OWNER_COMMANDS_MAX 64
/** Writes the commands that give the connection the session's values. @return their number */
unsigned command_values(struct owner_job *job, struct member_command *out);
/** Creates the table of the statements that are prepared on a connection. */
GHashTable *command_prepared_create(void);
/**
 * Writes the command that prepares the statement of @a job if the connection lacks it, and stores
 * its name in @a name. @return the number of commands: 0 or 1
 */
unsigned command_prepare(struct owner_job *job, char name[OWNER_STATEMENT_NAME_SIZE],
			 struct member_command *out);

/* owner-conn.c */
/**
 * Returns a connection of the team, opened now if there is none, for a statement of the class
 * @a priority. NULL: there is no room.
 */
struct owner_conn *conn_get(struct owner_member *m, const char *team, unsigned priority);
/** Whether conn_get() would find or open a connection for a statement. */
bool conn_available(const struct owner_member *m, const ml_run_args *a);
/**
 * Opens a connection for a statement that is about to follow, unless the team has one, or one that
 * is expected to be used sooner would have to be closed. @return whether it is being opened
 */
bool conn_open_ahead(struct owner_member *m, const char *team, unsigned priority);
/**
 * Returns how many VMs usually connect to @a m. For the primary it is the owner only; for a replica
 * the owner, the reader of its data centre, and the readers of data centres without a member.
 */
unsigned conn_users(const struct owner_member *m);
/** Whether the connection is open and neither a statement nor a transaction uses it. */
bool conn_idle(const struct owner_conn *c);
/** Whether the team has an idle open connection. */
bool conn_ready(const struct owner_member *m, const char *team);
/** Makes a connection available again after its statement, or closes it if it cannot be reused. */
void conn_release(struct owner_conn *c, enum tx_state state);
void conn_close(struct owner_conn *c);
void conn_close_idle(struct owner_member *m);
/**
 * Closes connections that have been idle for longer than IDLE_KEEP_US, after a statement got no
 * answer although the member is alive. They may be dead as well, and each would lose a statement
 * before this shows.
 */
void conn_close_stale(struct owner_member *m);
void conn_close_all(struct owner_member *m);
void conn_tick(struct owner_member *m, int64_t now);
struct owner_tx *tx_find(struct owner_group *g, uint64_t id);
struct owner_tx *tx_create(struct owner_job *job);
/** Frees the transaction. The caller releases or closes its connection. */
void tx_free(struct owner_tx *tx);
/** Rolls the transaction back by closing its connection. */
void tx_abort(struct owner_tx *tx, const char *why);
void tx_closed(uint64_t rpc_conn, void *owner);

#endif
