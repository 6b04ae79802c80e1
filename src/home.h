/**
 * @file home.h
 * The home of a member. A member is one database server of a replicated group, and a pool is such a
 * group as configured. The home is the one daemon that holds a member's connections and the queue
 * of its statements, runs callers' statements, monitors the member, and takes part in failover of
 * its group. Every VM derives the home of a member from the fleet's membership alone. The entry is
 * the daemon that a caller is connected to; it sends the caller's statements to the home by RPC.
 * A session token is the log position up to which a session's later reads must see the data.
 *
 * home.c               members and the RPC procedures
 * home-conn.c          connections of one member
 * home-queue.c         incoming statements: refused, queued, or started
 * home-job.c           execution of one statement, step by step
 * home-tx.c            callers' open transactions
 * home-confirm.c       acknowledgement of commits by a majority of the group
 * home-commit-status.c commit status of a transaction whose answer to COMMIT was lost
 * home-watch.c         monitoring of the member; see home-watch.h
 */
#ifndef HOME_H
#define HOME_H

#include "conf.h"
#include "db.h"
#include "failover.h"
#include "dueq.h"
#include "group.h"
#include "kernel.h"
#include "outcome.h"
#include "rpc.h"

/**
 * Connections of a member that are reserved for monitoring: two that are kept, and one that is
 * opened to check the member when a kept one does not answer.
 */
#define HOME_CONTROL_CONNECTIONS 3
/** A transaction idle for longer is rolled back, because it holds one of few connections. */
#define HOME_TX_IDLE_MAX_US (60 * USEC_PER_SEC)
/** Maximum number of transactions that wait for a connection. */
#define HOME_BEGIN_WAIT_MAX 256

struct home;
struct home_member;
struct home_job;
struct home_tx;
struct home_watch;

/** A connection that runs callers' statements. */
struct home_conn {
	TAILQ_ENTRY(home_conn) link;
	struct home_member *m;
	struct db_conn *db;
	struct home_job *job; /**< the running statement, or NULL */
	struct home_tx *tx;   /**< the open transaction that it is reserved for, or NULL */
	bool open;
	int64_t idle_us;      /**< since when it is unused */
	unsigned idle_checks; /**< consecutive checks at which the member reported no active backend
				for it, although a job waits for its answer */
};
TAILQ_HEAD(home_conns, home_conn);

/** Class of all requests in the queue of a home: the message of an entry has none. */
#define HOME_CLASS 0

/** A caller's open transaction. */
struct home_tx {
	TAILQ_ENTRY(home_tx) link;
	uint64_t id;
	struct home_conn *conn;
	uint64_t rpc_conn; /**< RPC connection of the entry; the transaction ends with it */
	char xid[NAME_SIZE];
	bool write;
	bool orphan; /**< the connection of its entry has closed */
	int64_t used_us;
};
TAILQ_HEAD(home_txs, home_tx);

enum job_step {
	JOB_QUEUED,
	JOB_PROLOGUE,  /**< begins the transaction and reads its transaction ID */
	JOB_STATEMENT, /**< the caller's statement; for a simple write with the prologue in front */
	JOB_COMMIT,
	JOB_ROLLBACK,	   /**< after an error */
	JOB_COMMIT_STATUS, /**< the answer to COMMIT was lost; determines the commit status */
	JOB_CONFIRM,	   /**< committed; waits until a majority of the group has the commit */
};

/** One statement received from an entry. */
struct home_job {
	struct dueq_item item;
	TAILQ_ENTRY(home_job) link; /**< in waiting_begin or unconfirmed */
	struct home_member *m;
	struct rpc_request *rq;
	const ml_exec_args *args; /**< of @a rq */
	struct home_conn *conn;
	struct home_tx *tx;
	enum job_step step;
	enum outcome outcome; /**< outcome to return after the rollback */
	int64_t deadline_us;
	int64_t started_us;
	char xid[NAME_SIZE];
	int backend_pid;
	GByteArray *frames; /**< the answer, kept until it may be returned */
	char sqlstate[6];
	char *message;
	struct pos pos; /**< log position of the commit, or of the data that was read */
	int64_t age_us; /**< age of the data that a replica returned */
	bool replicated[GROUP_MEMBERS_MAX]; /**< replicas that reported having the commit */
};
TAILQ_HEAD(home_jobs, home_job);

struct home_member {
	TAILQ_ENTRY(home_member) link;
	struct home *home;
	char pool[NAME_SIZE];
	struct conf_member conf;
	enum confirm_mode confirm;
	bool configured; /**< present in the configured pools */
	bool placed;	 /**< this VM is its home according to the present membership */
	int64_t used_us;

	struct dueq queue; /**< in strict order: requests have neither class nor target latency */
	unsigned running;  /**< jobs that occupy a slot */
	unsigned jobs;	   /**< jobs that are not answered yet */
	struct home_conns conns;
	unsigned n_conns;
	unsigned n_opening;
	unsigned n_pinned;     /**< connections reserved for open transactions */
	int64_t open_after_us; /**< no connection is opened before this time: one was refused */
	struct home_txs txs;
	struct home_jobs waiting_begin;
	struct home_jobs unconfirmed; /**< in the order of their commits */
	struct event *dispatch;	      /**< runs home_dispatch() from the loop */

	struct group_view view;
	int self; /**< index of this member in the view */
	struct home_watch *watch;
};
TAILQ_HEAD(home_members, home_member);

struct home {
	struct service service;
	struct home_members members;
	GHashTable *by_name; /**< key: "pool member" */
	uint64_t next_tx;
	unsigned jobs; /**< jobs of all members that are not answered yet */
	struct event *tick;
	int64_t last_exec_us; /**< when the last statement arrived */
	bool draining;
};

struct service *home_service_create(struct kernel *k);
struct home *home_of(struct kernel *k);
/** Returns the member, created on first use; NULL if no pool is configured with it. */
struct home_member *home_member_get(struct home *h, const char *pool, const char *member);
/** Determines which members have their home here, after a change of configuration or membership. */
void home_update_placement(struct home *h);
/** Returns the name of the primary known here, or "", and sets its term. */
const char *home_primary(const struct home_member *m, uint64_t *term);
/** Returns whether the member accepts writes: it is up and, as far as known here, the primary. */
bool home_accepts_writes(const struct home_member *m);
/** Writes the state of the members for `mangoloom status`. */
void home_json(struct home *h, JsonBuilder *b);

/* home-conn.c */
/** Returns an open connection without a job or a transaction, or NULL. */
struct home_conn *home_conn_idle(struct home_member *m);
/** Opens one more connection if the member's limit allows. */
void home_conn_open(struct home_member *m);
unsigned home_conn_limit(const struct home_member *m);
void home_conn_close(struct home_conn *c);
/** Makes a connection available for the next job, or closes it if it is inside a transaction. */
void home_conn_release(struct home_conn *c);
/** Closes connections that are idle since @a idle_before_us or longer. */
void home_conn_trim(struct home_member *m, int64_t idle_before_us);

/* home-queue.c */
void home_exec(struct rpc_request *rq, const void *args, void *owner);
/** Starts queued jobs while there are free slots and connections. */
void home_dispatch(struct home_member *m);
/** Ends all waiting jobs with @a o. */
void home_refuse_waiting(struct home_member *m, enum outcome o);
/** Ends waiting jobs whose deadline has passed. */
void home_expire_waiting(struct home_member *m, int64_t now);

/* home-job.c */
/** Starts @a job on @a c. */
void home_job_start(struct home_job *job, struct home_conn *c);
/** Answers the job with @a o and frees it. */
void home_job_end(struct home_job *job, enum outcome o, int64_t retry_after_us);
/**
 * Ends a job whose answer is not expected any more: the statement or the answer was lost, or the
 * member is down. Closes the job's connection.
 */
void home_job_silent(struct home_job *job);
/**
 * Ends all running statements and open transactions of a member that is down, and closes their
 * connections. The close rolls back uncommitted work, even if the member was only frozen; for
 * commits in progress the commit status is determined.
 */
void home_drop_running(struct home_member *m);

/* home-tx.c */
/** Reserves the job's connection for the transaction that the job has begun. */
void home_tx_begin(struct home_job *job);
/** Releases the connection from the transaction that the job has ended. */
void home_tx_release(struct home_job *job);
struct home_tx *home_tx_find(struct home_member *m, uint64_t id);
/**
 * Returns whether one more transaction may reserve a connection. One connection is always left for
 * single statements.
 */
bool home_tx_may_begin(const struct home_member *m);
/** Ends the transaction and closes its connection; uncommitted work is rolled back. */
void home_tx_end(struct home_member *m, struct home_tx *tx);
/** Rolls back transactions that were idle for too long or whose entry is gone. */
void home_tx_expire(struct home_member *m, int64_t now);

/* home-confirm.c */
/** Answers a job that has committed at job->pos, once a majority of the group has the commit. */
void home_confirm_start(struct home_job *job);
/** Answers the jobs whose commits are confirmed; called when the state of the group changed. */
void home_confirm_check(struct home_member *m);
/** Ends jobs that have waited too long for confirmation. */
void home_confirm_expire(struct home_member *m, int64_t now);
/** Returns whether enough replicas are known to be up to confirm a new commit. */
bool home_can_confirm(const struct home_member *m);

/* home-commit-status.c */
/** Determines whether the job's transaction committed, after the answer to COMMIT was lost. */
void home_commit_status_start(struct home_job *job);
void home_commit_status_serve(struct rpc_request *rq, const void *args, void *owner);

/* home-watch.c */
void home_watch_start(struct home_member *m);
void home_watch_stop(struct home_member *m);
/** Has the member probed at the next tick, after a problem with a connection. */
void home_watch_probe_soon(struct home_member *m);
void home_member_serve(struct rpc_request *rq, const void *args, void *owner);
void home_order_serve(struct rpc_request *rq, const void *args, void *owner);
/**
 * Requests a report of member @a i from its home, which delays the answer until the member has
 * @a wait_for or @a wait_us has passed.
 */
void home_watch_request_report(struct home_member *m, int i, struct pos wait_for, int64_t wait_us);
/**
 * Parses "role seen term lsn applied upstream term:lsn,...", the result of the member's status
 * function. @return false if it is malformed
 */
bool home_report_parse(const char *text, struct member_report *r);
/** Decodes the report of another home. */
void home_report_from_res(const ml_member_res *res, struct member_report *r);

#endif
