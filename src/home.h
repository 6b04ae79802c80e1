/**
 * @file home.h
 * The home of database members: the one VM that holds a member's connections, runs callers'
 * statements on them, watches the member, and takes part in the change of primary. Which VM that is
 * follows from the membership alone.
 *
 * home.c         members and the RPC procedures
 * home-conn.c    connections of one member
 * home-queue.c   statements that come: refused, queued, started
 * home-job.c     one statement, step by step
 * home-tx.c      callers' open transactions
 * home-confirm.c acknowledgement by a majority
 * home-fate.c    what became of a commit whose answer was lost
 * home-watch.c   watching the member; see home-watch.h
 */
#ifndef HOME_H
#define HOME_H

#include "conf.h"
#include "db.h"
#include "failover.h"
#include "fairq.h"
#include "group.h"
#include "kernel.h"
#include "outcome.h"
#include "rpc.h"

/** Connections of a member that serve no statements: two for watching, and one for a fresh look. */
#define HOME_CONTROL_CONNECTIONS 3
/** Transactions waiting for a connection, at most. */
#define HOME_BEGIN_WAIT_MAX 256

struct home;
struct home_member;
struct home_job;
struct home_tx;
struct home_watch;

/** A connection that serves statements. */
struct home_conn {
	TAILQ_ENTRY(home_conn) link;
	struct home_member *m;
	struct db_conn *db;
	struct home_job *job; /**< the statement on it, or NULL */
	struct home_tx *tx;   /**< the transaction that it is kept for, or NULL */
	bool open;
	int64_t idle_us;     /**< since when it is unused */
	unsigned idle_looks; /**< looks in a row at which the member saw no work on it, while a job
				waits */
};
TAILQ_HEAD(home_conns, home_conn);

/** A caller's open transaction. */
struct home_tx {
	TAILQ_ENTRY(home_tx) link;
	uint64_t id;
	struct home_conn *conn;
	uint64_t rpc_conn; /**< the entry VM's connection; the transaction ends with it */
	char xid[NAME_SIZE];
	bool write;
	bool orphan; /**< its entry VM is gone */
	int64_t used_us;
};
TAILQ_HEAD(home_txs, home_tx);

enum job_step {
	JOB_QUEUED,
	JOB_PROLOGUE,  /**< begin the transaction and learn its number */
	JOB_STATEMENT, /**< the caller's statement; for a simple write together with the prologue */
	JOB_COMMIT,
	JOB_ROLLBACK, /**< after an error */
	JOB_FATE,     /**< the commit's answer was lost */
	JOB_CONFIRM,  /**< committed; waits for a majority */
};

/** One statement that an entry VM asked for. */
struct home_job {
	struct fairq_item item;
	TAILQ_ENTRY(home_job) link; /**< in waiting_begin or unconfirmed */
	struct home_member *m;
	struct rpc_request *rq;
	const ml_exec_args *args; /**< of @a rq */
	struct home_conn *conn;
	struct home_tx *tx;
	enum job_step step;
	enum outcome outcome; /**< to tell after a rollback */
	int64_t deadline_us;
	int64_t started_us;
	char xid[NAME_SIZE];
	int backend_pid;
	GByteArray *frames; /**< the answer, held until it may be told */
	char sqlstate[6];
	char *message;
	struct pos pos;
	int64_t age_us;
	bool has[GROUP_MEMBERS_MAX]; /**< replicas seen with the commit */
};
TAILQ_HEAD(home_jobs, home_job);

struct home_member {
	TAILQ_ENTRY(home_member) link;
	struct home *home;
	char pool[NAME_SIZE];
	struct conf_member conf;
	enum confirm_mode confirm;
	bool configured; /**< still in the table of pools */
	bool placed;	 /**< this VM is its home, as the membership is known */
	int64_t used_us;

	struct fairq queue;
	unsigned running; /**< jobs in a slot */
	unsigned jobs;	  /**< jobs that have not been answered */
	struct home_conns conns;
	unsigned n_conns;
	unsigned n_opening;
	unsigned n_pinned;
	int64_t open_after_us; /**< the member refused a connection; none is tried before */
	struct home_txs txs;
	struct home_jobs waiting_begin;
	struct home_jobs unconfirmed; /**< by commit */
	struct event *dispatch;

	struct group_view view;
	int self; /**< index in the view */
	struct home_watch *watch;
};
TAILQ_HEAD(home_members, home_member);

struct home {
	struct service service;
	struct home_members members;
	GHashTable *by_name; /**< "pool member" */
	uint64_t next_tx;
	unsigned jobs;
	struct event *tick;
	int64_t asked_us; /**< when a statement last came */
	bool draining;
};

struct service *home_service_create(struct kernel *k);
struct home *home_of(struct kernel *k);
/** The member, made known if this VM has not served it yet; NULL when no table names it. */
struct home_member *home_member_get(struct home *h, const char *pool, const char *member);
/** The configuration or the membership changed: see which members are placed here. */
void home_place(struct home *h);
/** The member that leads, as far as is known here, and its term. @return its name, or "". */
const char *home_primary(const struct home_member *m, uint64_t *term);
/** Whether this member may take writes, as far as is known here. */
bool home_leads(const struct home_member *m);
/** Members for `mangoloom status`. */
void home_json(struct home *h, JsonBuilder *b);

/* home-conn.c */
struct home_conn *home_conn_idle(struct home_member *m);
/** Open one more connection if the member's limit allows. */
void home_conn_open(struct home_member *m);
unsigned home_conn_limit(const struct home_member *m);
void home_conn_close(struct home_conn *c);
/** Put an unused connection back, or close it when it is not at rest. */
void home_conn_release(struct home_conn *c);
/** Close connections that were not used for long, or all unused ones. */
void home_conn_trim(struct home_member *m, int64_t idle_before_us);

/* home-queue.c */
void home_exec(struct rpc_request *rq, const void *args, void *owner);
/** Start what can be started. */
void home_dispatch(struct home_member *m);
/** Refuse all that waits, with @a o. */
void home_refuse_waiting(struct home_member *m, enum outcome o);
/** Refuse what waited past its deadline. */
void home_expire(struct home_member *m, int64_t now);

/* home-job.c */
/** Start @a job on @a c. */
void home_job_start(struct home_job *job, struct home_conn *c);
/** End a job: answer with @a o and free it. */
void home_job_end(struct home_job *job, enum outcome o, int64_t retry_after_us);
/** The job's connection was found silent. */
void home_job_silent(struct home_job *job);
/**
 * The member is down: statements and transactions on it end now. Closing their connections rolls
 * back what was not committed, also when the member was only frozen, and commits under way are
 * asked for by their fate.
 */
void home_drop_running(struct home_member *m);

/* home-tx.c */
/** Keep the job's connection for the caller's transaction that it has begun. */
void home_tx_begin(struct home_job *job);
/** The job has ended its transaction: the connection serves others again. */
void home_tx_release(struct home_job *job);
struct home_tx *home_tx_find(struct home_member *m, uint64_t id);
/** Whether one more transaction may keep a connection: the last one stays for single statements. */
bool home_tx_may_begin(const struct home_member *m);
/** Roll back the transaction and forget it. */
void home_tx_end(struct home_member *m, struct home_tx *tx);
/** Roll back transactions that were left alone for long, or whose entry VM is gone. */
void home_tx_expire(struct home_member *m, int64_t now);

/* home-confirm.c */
/** The job has committed at job->pos: answer when a majority has it. */
void home_confirm_start(struct home_job *job);
/** Something was learned of the group: answer what may be answered. */
void home_confirm_check(struct home_member *m);
/** Stop waiting for what waited too long. */
void home_confirm_expire(struct home_member *m, int64_t now);
/** Whether a commit would find a replica to confirm it, as far as is known. */
bool home_confirmable(const struct home_member *m);

/* home-fate.c */
/** The answer to the job's commit was lost: find out. */
void home_fate_start(struct home_job *job);
void home_fate_serve(struct rpc_request *rq, const void *args, void *owner);

/* home-watch.c */
void home_watch_start(struct home_member *m);
void home_watch_stop(struct home_member *m);
/** Look at the member now: something went wrong with a connection. */
void home_watch_hint(struct home_member *m);
void home_member_serve(struct rpc_request *rq, const void *args, void *owner);
void home_order_serve(struct rpc_request *rq, const void *args, void *owner);
/** Ask the home of member @a i to report when it has @a wait_for. */
void home_watch_ask(struct home_member *m, int i, struct pos wait_for, int64_t wait_us);
/** Decode another home's report. */
void home_report_from_res(const ml_member_res *res, struct member_report *r);

#endif
