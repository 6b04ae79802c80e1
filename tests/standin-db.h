/**
 * @file standin-db.h
 * Simulates one member of a database group, i.e. one database server: speaks the PostgreSQL
 * protocol, keeps its tables in memory, replicates asynchronously, and accepts the commands
 * mangoloom_follow() and mangoloom_promote().
 *
 * standin-db.c       connections, slots, the protocol
 * standin-db-sql.c   the supported subset of SQL
 * standin-db-log.c   log, terms, tables, replication
 */
#ifndef STANDIN_DB_H
#define STANDIN_DB_H

#include "kernel.h"
#include "pgwire.h"
#include "token.h"

#include <event2/bufferevent.h>

/** One write. */
struct op {
	char *table, *key, *value;
};

/** A committed transaction. */
struct record {
	uint64_t term;
	char *xid; /**< transaction id; empty for the first record of a term */
	GPtrArray *ops;
	int64_t received_us;
};

/** What a statement needs before it runs: nothing, a slot, or a log position to wait for. */
enum work_kind { WORK_NONE, WORK_SLOT, WORK_WAIT };

struct db_client {
	TAILQ_ENTRY(db_client) link;
	TAILQ_ENTRY(db_client) waiting; /**< for a slot, or for a position */
	struct bufferevent *bev;
	struct event *timer;
	int pid;
	bool started, counted, busy, in_slot, wants_slot, waits_for_pos, closing;
	GQueue statements; /**< statements (char *) left of the message being processed */
	bool extended, describe, error, skip_to_sync;
	char *prepared;
	char *bound;
	bool in_tx, tx_failed, tx_open;
	GPtrArray *ops; /**< writes of the open transaction */
	char xid[NAME_SIZE + 48];
	struct pos wait_for;
	char reported_pos[48]; /**< log position last reported to the client */
	bool streaming;	       /**< a replica that streams the log */
	uint64_t sent_lsn;     /**< last LSN sent to it */
};
TAILQ_HEAD(db_clients, db_client);

struct db_server {
	struct event_base *base;
	struct db_clients clients;
	char name[NAME_SIZE];
	int slots, connections, open_ms, work_us, net_ms;
	int64_t lag_us;
	int n_clients, peak_clients, busy_slots, peak_slots, next_pid;
	struct db_clients slot_queue;

	GPtrArray *log;	       /**< of struct record */
	uint64_t applied;      /**< LSN of the last applied record */
	GHashTable *tables;    /**< "table key" to value, from the applied records */
	GHashTable *counts;    /**< "table key" to number of writes in the log */
	GHashTable *committed; /**< ids of the committed transactions */
	bool primary;
	uint64_t seen_term; /**< highest term that this member knows of */
	struct term_history terms;
	unsigned next_xid;
	char upstream[NAME_SIZE], upstream_address[ADDRESS_SIZE];
	struct bufferevent *upstream_conn;
	struct event *apply_timer, *reconnect_timer;
};

extern struct db_server server;

/* standin-db-log.c */
void log_init(void);
void log_start_keepalive(void);
struct pos log_pos(void);
/** Appends a record as the primary and sends it to the replicas. */
void log_commit(const char *xid, GPtrArray *ops);
void log_status(GString *out);
void log_follow(uint64_t term, const char *upstream, const char *address, GString *out);
void log_promote(uint64_t term, GString *out);
/** Starts streaming to a replica that sent "STREAM term lsn history". */
void log_start_stream(struct db_client *c, const char *sql);
void log_send_records(struct db_client *c);
const char *log_read(const char *table, const char *key);
unsigned log_count(const char *table, const char *key);
void op_free(gpointer op);

/* standin-db-sql.c */
/** Runs one statement and appends its messages to @a out. @return false after an error */
bool sql_run(struct db_client *c, const char *sql, GByteArray *out);
/** Returns what the statement needs before it runs. */
enum work_kind sql_work_kind(struct db_client *c, const char *sql);
/** Replaces $1, $2... by the parameter values. */
char *sql_substitute(const char *sql, char **values, unsigned n);
GQueue sql_split(const char *text);
bool sql_returns_row(const char *sql);

/* standin-db.c */
void client_close(struct db_client *c);
/** Resumes the clients whose awaited log position has been reached. */
void clients_wake(void);
struct db_client *client_find(int pid);
/** Appends the pids of the clients that hold a slot or wait for one. */
void clients_list_active(GString *out);

#endif
