/**
 * @file caller.h
 * Callers: connections that speak the PostgreSQL protocol, one session each.
 *
 * caller.c           accepting, timeouts, closing, the loop over messages
 * caller-auth.c      the first messages: TLS, the key, the session's first settings
 * caller-setting.c   the session's mangoloom.* settings
 * caller-query.c     running a statement and telling its outcome
 * caller-extended.c  prepared statements and portals
 */
#ifndef CALLER_H
#define CALLER_H

#include "conf.h"
#include "entry.h"
#include "kernel.h"
#include "pgwire.h"
#include "sqlscan.h"
#include "token.h"

#include <event2/bufferevent.h>
#include <openssl/ssl.h>

/** Longest text of a setting's value. */
#define CALLER_VALUE_SIZE TOKEN_SET_SIZE

enum caller_state {
	CALLER_STARTUP,	 /**< before the first message */
	CALLER_PASSWORD, /**< the key was asked for */
	CALLER_READY,	 /**< between messages */
	CALLER_BUSY,	 /**< a statement runs */
	CALLER_CLOSED,	 /**< to be freed */
};

struct callers;

/** A prepared statement. */
struct prepared {
	char *sql;
	unsigned n_types;
	uint32_t *types;
};

/** A bound statement. */
struct portal {
	char *sql;
	ml_param *params;
	unsigned n_params;
	int result_format;
	bool mixed_formats; /**< columns of the result in different formats, which is not served */
	bool describe;	    /**< the row's shape goes before the rows */
};

struct caller {
	TAILQ_ENTRY(caller) link;
	struct callers *callers;
	struct bufferevent *bev;
	struct event *timer;
	enum caller_state state;
	uint32_t pid; /**< for cancel requests */
	uint32_t cancel_key;
	char team[NAME_SIZE];
	char key_id[NAME_SIZE];
	int64_t heard_us;
	bool partial; /**< a message has begun to arrive */

	char kind[NAME_SIZE];
	char once[NAME_SIZE];
	int64_t max_age_us; /**< -1: as the route says */
	int64_t deadline_us;
	struct token_set *tokens;

	struct entry_request *request;
	struct entry_tx tx;
	bool tx_failed;
	bool simple;	    /**< the running statement came as a simple query */
	bool skip_to_sync;  /**< an error was told; messages up to Sync are passed over */
	bool closing;	    /**< to be closed once what was written has left */
	bool lingering;	    /**< all was written; waits for the caller to close */
	ml_control control; /**< of the running statement */
	char *sql;	    /**< of the running simple query */
	struct portal *running_portal;
	GHashTable *prepared; /**< made when first used */
	GHashTable *portals;
};
TAILQ_HEAD(caller_list, caller);

struct callers {
	struct service service;
	struct evconnlistener *listener;
	struct caller_list list;
	unsigned n;
	unsigned n_closing; /**< of them, those that are served no more */
	uint32_t next_pid;
	SSL_CTX *tls;
	bool draining;
};

struct service *caller_service_create(struct kernel *k);
struct callers *callers_of(struct kernel *k);
unsigned callers_count(struct callers *cs);

/* caller.c */
/** Have the session's connection, plain or under TLS, call back here. */
void caller_attach(struct caller *c);
/** Send @a out, and free it. */
void caller_send(struct caller *c, GByteArray *out);
/** Tell an error; @a fatal closes the connection once it is written. */
void caller_error(struct caller *c, bool fatal, const char *sqlstate, const char *message,
		  const char *detail, const char *hint);
/** Serve @a c no more; it is closed once its last words have left. */
void caller_ends(struct caller *c);
void caller_close(struct caller *c);
/** Go on with the messages that have arrived. */
void caller_process(struct caller *c);
/** The state that ReadyForQuery tells. */
char caller_tx_status(const struct caller *c);
const struct settings *caller_settings(const struct caller *c);
/** The key that the session was opened with still holds. */
bool caller_key_holds(struct caller *c);

/* caller-auth.c */
void caller_startup(struct caller *c, struct pg_message *m);
void caller_password(struct caller *c, struct pg_message *m);

/* caller-setting.c */
/**
 * Set @a name. @return false when the value is wrong or the setting is not served; @a why tells.
 */
bool caller_set(struct caller *c, const char *name, const char *value, const char **why);
/** The setting's value in @a buf of CALLER_VALUE_SIZE bytes. @return false for an unknown one. */
bool caller_show(const struct caller *c, const char *name, char *buf);

/* caller-query.c */
void caller_query(struct caller *c, struct pg_message *m);
/**
 * Run one statement, of a simple query or of a portal.
 * @return whether it is under way; else it has been answered already
 */
bool caller_run(struct caller *c, const char *sql, const struct portal *p, ml_op op);
/** Tell that nothing ran. */
void caller_not_run(struct caller *c, const char *sqlstate, const char *message,
		    int64_t retry_after_us);

/* caller-extended.c */
/** Handle one message of the extended protocol. @return false for a type that is not of it. */
bool caller_extended(struct caller *c, struct pg_message *m);
void caller_extended_free(struct caller *c);
/** The running portal's statement has been answered. */
void caller_extended_done(struct caller *c);

#endif
