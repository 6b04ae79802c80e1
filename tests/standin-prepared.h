/**
 * @file standin-prepared.h
 * Store and members of standin-prepared. A member is a database server of a group. The store's era
 * counts how often it came back from an older copy.
 *
 * standin-prepared.c          command line, faults, report, promoter
 * standin-prepared-store.c    key-value store
 * standin-prepared-member.c   members
 */
#ifndef STANDIN_PREPARED_H
#define STANDIN_PREPARED_H

#include "types.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include <json-glib/json-glib.h>

#define STANDIN_MEMBERS_MAX 4

enum standin_mode {
	MEMBER_UP,
	MEMBER_DOWN,   /**< process has exited: connections are refused */
	MEMBER_SILENT, /**< accepts connections, but sends nothing */
};

#define STANDIN_SLOTS_MAX 16

/** A committed transaction in a member's log. */
struct standin_record {
	uint64_t term;
	char *request;	   /**< request id of the last write of the transaction */
	GPtrArray *writes; /**< item, data, item, data ... */
	int64_t at_us;
};

struct standin_conn;

struct standin_member {
	char name[NAME_SIZE];
	int port;
	int advertised_port; /**< port in its entry in the store */
	bool primary;
	uint64_t term;
	GPtrArray *log; /**< struct standin_record; replicas hold a prefix of the primary's log */
	int64_t lag_us;
	bool draining;
	enum standin_mode mode;
	int lose_answers; /**< answers still to be dropped; their connections go silent */
	int cut_answers;  /**< answers still to be sent incompletely, then closing the connection */
	int busy;	  /**< statements still to be refused with BUSY */
	int slots;	  /**< statements and openings that run at a time; 0: unlimited, at once */
	int work_ms;	  /**< time that a READ or WRITE occupies a slot */
	int limit;	  /**< connections; further ones are reset. 0: unlimited */
	int64_t slot_free_us[STANDIN_SLOTS_MAX];
	int openings; /**< sessions opened, by START */
	int resets;   /**< connections reset over the limit */
	struct evconnlistener *listener;
	GPtrArray *conns;
	unsigned n_conns;
	int statements; /**< statements received from callers */
};

struct standin {
	struct event_base *base;
	const char *service;
	unsigned n;
	struct standin_member member[STANDIN_MEMBERS_MAX];
	uint64_t token; /**< fencing token of the last promotion */
	int promotions;
	int token_regressed;  /**< promotions with a lower fencing token than an earlier one */
	int foreign_tx;	      /**< connections that a second team used */
	int replaced_commits; /**< commits at a member that had been replaced as primary */
	int store_calls;
	bool refuse_promotions;
	int lose_writes; /**< transactions of the store still to be executed but not answered */
	GHashTable *leases;
};

extern struct standin standin;

int64_t standin_now_us(void);

/* standin-prepared-store.c */
void store_start(void);
void store_request(struct evhttp_request *req, void *arg);
/** Sets the store's mode: "ok", "refuse" or "silent". */
void store_set_mode(const char *mode);
/** Drops the change history and ends all watches. */
void store_compact(void);
/** Saves a copy of the store, including leases. */
void store_copy(void);
/**
 * Restores the store from the copy and increments the era. Revisions since the copy are assigned
 * again. Changes made since the copy by operators and members, but not by mangoloom, are written
 * again after @a rewrite_after_us.
 */
void store_restore(int64_t rewrite_after_us);
void store_put(const char *key, const char *value, uint64_t lease);
void store_remove(const char *key);

/* standin-prepared-member.c */
void members_start(void);
struct standin_member *member_by_name(const char *name);
/** Returns the primary with the highest term. */
struct standin_member *member_newest_primary(void);
/** Promotes @a m after a delay; the previous primary is demoted later. */
void member_promote(struct standin_member *m);
/** Sets the member's mode: "up", "down" or "dark" (MEMBER_SILENT). */
void member_set_mode(struct standin_member *m, const char *mode);
/** Writes the member's entry to the store. */
void member_register(struct standin_member *m);

#endif
