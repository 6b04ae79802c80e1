/**
 * @file caller.h
 * Callers: client connections that speak the PostgreSQL protocol. Each connection is one session.
 *
 * A session token names the log positions of the newest writes of a session, so that its reads see
 * them on any VM. A once-id marks a statement that must not run twice.
 *
 * caller.c           accepting, timeouts, closing, reading of messages
 * caller-auth.c      TLS negotiation, authentication by key, settings at startup
 * caller-setting.c   the mangoloom.* settings of a session
 * caller-query.c     execution of a statement and the response to it
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

/** Size of the buffer for the value of a setting. */
#define CALLER_VALUE_SIZE TOKEN_SET_SIZE

enum caller_state {
	CALLER_STARTUP,	 /**< before the first message */
	CALLER_PASSWORD, /**< waits for the key */
	CALLER_READY,	 /**< between messages */
	CALLER_BUSY,	 /**< a statement is running */
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
	bool mixed_formats; /**< result columns in different formats, which is not supported */
	bool describe;	    /**< RowDescription is to be sent before the rows */
};

/** One client connection and the state of its session. */
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
	int64_t last_received_us;
	bool partial; /**< a message has arrived in part */

	char kind[NAME_SIZE];
	char once[NAME_SIZE];
	int64_t max_age_us;  /**< maximum age of data for reads; -1: as configured for the route */
	int64_t deadline_us; /**< maximum duration of a request; 0: as configured */
	struct token_set *tokens;

	struct entry_request *request;
	struct entry_tx tx;
	bool tx_failed;
	bool simple;	    /**< the running statement came as a simple query */
	bool skip_to_sync;  /**< after an error, messages up to Sync are ignored */
	bool closing;	    /**< to be closed once all output is sent */
	bool lingering;	    /**< all output is sent; waits for the caller to close */
	ml_control control; /**< of the running statement */
	char *sql;	    /**< of the running simple query */
	struct portal *running_portal;
	GHashTable *prepared; /**< created at first use, as is @a portals */
	GHashTable *portals;
};
TAILQ_HEAD(caller_list, caller);

struct callers {
	struct service service;
	struct evconnlistener *listener;
	struct caller_list list;
	unsigned n;	    /**< open connections */
	unsigned n_closing; /**< number of @a n that are closing */
	uint32_t next_pid;
	SSL_CTX *tls;
	bool draining;
};

struct service *caller_service_create(struct kernel *k);
struct callers *callers_of(struct kernel *k);
unsigned callers_count(struct callers *cs);

/* caller.c */
/** Sets the callbacks of the connection, in clear text or TLS. */
void caller_attach(struct caller *c);
/** Sends @a out and frees it. */
void caller_send(struct caller *c, GByteArray *out);
/** Sends an error; @a fatal closes the connection once it is sent. */
void caller_error(struct caller *c, bool fatal, const char *sqlstate, const char *message,
		  const char *detail, const char *hint);
/** Stops serving @a c. The connection is closed once all output is sent. */
void caller_begin_close(struct caller *c);
void caller_close(struct caller *c);
/** Handles the messages that have arrived. */
void caller_process(struct caller *c);
/** Returns the transaction status for ReadyForQuery: 'I', 'T' or 'E'. */
char caller_tx_status(const struct caller *c);
const struct settings *caller_settings(const struct caller *c);
/** Returns whether the key that opened the session is still valid. */
bool caller_key_valid(struct caller *c);

/* caller-auth.c */
void caller_startup(struct caller *c, struct pg_message *m);
void caller_password(struct caller *c, struct pg_message *m);

/* caller-setting.c */
/**
 * Sets @a name. @return false with the reason in @a why if the value is invalid or the setting is
 * not supported
 */
bool caller_set(struct caller *c, const char *name, const char *value, const char **why);
/** Copies the value to @a buf of CALLER_VALUE_SIZE bytes. @return false for an unknown setting */
bool caller_show(const struct caller *c, const char *name, char *buf);

/* caller-query.c */
void caller_query(struct caller *c, struct pg_message *m);
/**
 * Runs one statement of a simple query or of a portal.
 * @return whether it is running; if not, the response has been sent already
 */
bool caller_run(struct caller *c, const char *sql, const struct portal *p, ml_op op);
/** Sends an error for a statement that was not run. */
void caller_refuse(struct caller *c, const char *sqlstate, const char *message,
		   int64_t retry_after_us);

/* caller-extended.c */
/** Handles a message of the extended protocol. @return false if it is of another type */
bool caller_extended(struct caller *c, struct pg_message *m);
void caller_extended_free(struct caller *c);
/** Frees the running portal after the response to its statement. */
void caller_extended_done(struct caller *c);

#endif
