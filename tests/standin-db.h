/**
 * @file standin-db.h
 * Stand-in for one member of a database group: speaks the PostgreSQL protocol, keeps its tables in
 * memory, replicates asynchronously, and takes the orders follow and promote.
 *
 * standin-db.c       connections, slots, the protocol
 * standin-db-sql.c   the few statements that it knows
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
	char *xid; /**< empty for the first record of a term */
	GPtrArray *ops;
	int64_t received_us;
};

enum work_kind { WORK_NONE, WORK_SLOT, WORK_WAIT };

struct db_client {
	TAILQ_ENTRY(db_client) link;
	TAILQ_ENTRY(db_client) waiting; /**< for a slot, or for a position */
	struct bufferevent *bev;
	struct event *timer;
	int pid;
	bool started, counted, busy, in_slot, wants_slot, wants_pos, closing;
	GQueue statements; /**< of char *, of the running message */
	bool extended, describe, error, skip_to_sync;
	char *prepared;
	char *bound;
	bool in_tx, tx_failed, tx_open;
	GPtrArray *ops; /**< writes of the open transaction */
	char xid[NAME_SIZE + 48];
	struct pos wait_for;
	char told_pos[48];
	/* A replica that streams from here. */
	bool streaming;
	uint64_t sent_lsn;
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

	GPtrArray *log; /**< of record */
	uint64_t applied;
	GHashTable *tables;    /**< "table key" to value, of what is applied */
	GHashTable *counts;    /**< "table key" to number of writes in the whole log */
	GHashTable *committed; /**< xid */
	bool primary;
	uint64_t seen_term;
	struct term_history terms;
	unsigned next_xid;
	char upstream[NAME_SIZE], upstream_address[ADDRESS_SIZE];
	struct bufferevent *up;
	struct event *apply_timer, *reconnect_timer;
};

extern struct db_server server;

/* standin-db-log.c */
void log_init(void);
void log_start(void);
struct pos log_pos(void);
/** Append a record of this primary and send it to its replicas. */
void log_commit(const char *xid, GPtrArray *ops);
void log_status(GString *out);
void log_follow(uint64_t term, const char *upstream, const char *address, GString *out);
void log_promote(uint64_t term, GString *out);
/** A replica asks to stream: "STREAM term lsn history". */
void log_stream(struct db_client *c, const char *sql);
void log_send(struct db_client *c);
const char *log_read(const char *table, const char *key);
unsigned log_count(const char *table, const char *key);
void ops_free(gpointer op);

/* standin-db-sql.c */
/** Run one statement; @a out gets its messages. @return false after an error. */
bool sql_run(struct db_client *c, const char *sql, GByteArray *out);
/** What the statement needs before it runs. */
enum work_kind sql_work(struct db_client *c, const char *sql);
/** Put the parameters in place of $1, $2... */
char *sql_substitute(const char *sql, char **values, unsigned n);
GQueue sql_split(const char *text);
bool sql_returns_row(const char *sql);

/* standin-db.c */
void client_close(struct db_client *c);
/** Positions have moved: go on with those that wait for one. */
void clients_wake(void);
struct db_client *client_find(int pid);
void clients_active(GString *out);

#endif
