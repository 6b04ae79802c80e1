/**
 * @file standin-prepared.h
 * The parts of the stand-in for the prepared platform: its store and its members.
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
	MEMBER_DOWN, /**< its process is gone: connections are refused */
	MEMBER_DARK, /**< no byte comes back */
};

/** A commit. */
struct standin_record {
	uint64_t term;
	char *request;	   /**< id of the write, or of the last one of a transaction */
	GPtrArray *writes; /**< item, data, item, data ... */
	int64_t at_us;
};

struct standin_conn;

struct standin_member {
	char name[NAME_SIZE];
	int port;
	int shown_port; /**< that its entry in the store tells */
	bool primary;
	uint64_t term;
	GPtrArray *log; /**< of standin_record; a replica's is a prefix of its primary's */
	int64_t lag_us;
	bool draining;
	enum standin_mode mode;
	int lose_answers; /**< answers that are lost from now on, with their connections */
	int cut_answers;  /**< answers that break off midway */
	int busy;	  /**< statements that are refused as busy */
	struct evconnlistener *listener;
	GPtrArray *conns;
	unsigned n_conns;
	int statements; /**< of callers, that reached it */
};

struct standin {
	struct event_base *base;
	const char *service;
	unsigned n;
	struct standin_member member[STANDIN_MEMBERS_MAX];
	uint64_t token;
	int promotions;
	int token_regressed;  /**< promotions under a lower token than one before */
	int foreign_tx;	      /**< connections that a second team used */
	int replaced_commits; /**< commits at a member after another one led a later term */
	int store_calls;
	bool refuse_promotions;
	int lose_writes; /**< writes to the store that are done and not answered */
	GHashTable *leases;
};

extern struct standin standin;

int64_t standin_now_us(void);

/* standin-prepared-store.c */
void store_start(void);
void store_request(struct evhttp_request *req, void *arg);
/** "ok", "refuse", "silent". */
void store_mode(const char *mode);
void store_compact(void);
/** Make a copy of the store as it is now, leases included. */
void store_copy(void);
/**
 * The store comes back from the copy under the next era: revisions are given out again, and what
 * the operators and the members wrote since is written again after @a rewrite_after_us.
 */
void store_restore(int64_t rewrite_after_us);
void store_put(const char *key, const char *value, uint64_t lease);
void store_remove(const char *key);

/* standin-prepared-member.c */
void members_start(void);
struct standin_member *member_named(const char *name);
/** The member that leads the highest term. */
struct standin_member *member_leading(void);
void member_promote(struct standin_member *m);
/** "up", "down", "dark". */
void member_mode(struct standin_member *m, const char *mode);
/** Write the member's entry to the store. */
void member_register(struct standin_member *m);

#endif
