/**
 * @file rig.h
 * A small deployment on loopback addresses: three daemons, one in each zone, started with the
 * command of deploy/system.toml and the template deploy/settings.toml.in, and stand-ins for the
 * platform's store, the promoter, the three members of one database and the clients. All stand-ins
 * run in one process and one event loop, so that the record has one clock.
 *
 * rig.c         daemons, network between zones, record, main()
 * rig-store.c   the store and the promoter
 * rig-member.c  the members
 * rig-client.c  the clients
 * case-N.c      the course of a case and its check
 */
#ifndef RIG_H
#define RIG_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define N_VMS 3
#define N_MEMBERS 3
#define SERVICE "orders1a"
#define TEAM "clerks"
#define KEY "u3f1secret"
#define DB_PRIMARY "orders"
#define DB_BOUNDED "pages"

enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

struct vm {
	char name[32];
	const char *zone;
	int front, control, ready, metrics; /**< ports it listens on */
	int advertised;			    /**< port of the rig in front of its control port */
	pid_t pid;
};

struct commit {
	int64_t at_us;
	uint64_t term;
	char *request;
	char *item, *data;
};

struct member {
	char id[32];
	const char *zone;
	int port;
	struct evconnlistener *listener;
	bool primary, draining, listed;
	uint64_t term;
	GPtrArray *log; /**< struct commit; shared with the members that received it */
	unsigned n_conns;
	int64_t led_us; /**< when it became the primary */
};

extern struct rig {
	struct event_base *base;
	bool trouble;
	bool without_late; /**< case 2 with all of the trouble but the late write */
	int64_t started_us;
	struct vm vm[N_VMS];
	struct member member[N_MEMBERS];
	int store_port, promoter_port;
	const char *cut_zone; /**< partitioned from the other zones and the platform; NULL: none */
	/** The next registration of this VM gets no answer and is run by store_run_late(); NULL:
	 * none. */
	struct vm *lose_register;
	int64_t register_lost_us; /**< when it was called; 0: not yet */
	bool register_late;	  /**< it was run */
	unsigned promotions;
	struct member *ordered; /**< whose promotion was ordered last */
	int64_t ordered_us;	/**< first order of a promotion; 0: none */
	struct member *newest;	/**< promoted last */
	int64_t newest_us;	/**< when that took effect */
	FILE *record;
	char dir[256];
} rig;

/* rig.c */
int64_t now_us(void);
/** Writes a line with the time since the start to record.txt. */
void note(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Returns the daemon whose socket has the local port @a port, or NULL. */
struct vm *vm_of_port(int port);
/** Whether the zones are partitioned from each other; NULL is the platform's place. */
bool is_cut(const char *zone_a, const char *zone_b);
void cut_begin(const char *zone);
void vm_start(struct vm *vm);
void vm_kill(struct vm *vm);
bool vm_is_ready(const struct vm *vm);
void after_ms(int ms, void (*cb)(void *), void *arg);
/** Ends all processes and the program. */
void rig_end(int code, const char *why) G_GNUC_NORETURN;
struct evconnlistener *listen_on(int *port, evconnlistener_cb cb, void *arg);
int peer_port(evutil_socket_t fd);

/* rig-store.c */
void store_start(void);
void store_put(const char *key, const char *value, uint64_t lease);
void store_remove(const char *key);
char *store_value(const char *key);
void store_write_config(void);
/** Runs the registration that got no answer. */
void store_run_late(void);

/* rig-member.c */
void members_start(void);
void member_promote(struct member *m);
void member_register(struct member *m);
/** Returns the commit of a request at a member that was not the newest primary then, or NULL. */
const struct commit *commit_at_old_primary(const char *request);
/** Returns a text that depends on the shape and the item, as a statement of that shape returns it.
 */
char *shape_row(const char *shape, const char *item);

/* rig-client.c */
struct client;
/** Called for each answer. @param code "COMPLETE" or an error code; "" if the connection was lost
 */
typedef void (*client_answered)(struct client *c, const char *code, const char *row);
/** Returns the text of the next statement, or NULL to wait. */
typedef char *(*client_next)(struct client *c);

struct client {
	const char *name;
	struct vm *vm;
	const char *database;
	client_next next;
	client_answered answered;
	int pace_ms;
	struct bufferevent *bev;
	struct event *timer;
	bool ready, outstanding, stopped;
	unsigned n;  /**< number of the last statement */
	char id[64]; /**< of the last statement */
	char *text;  /**< of the last statement */
	char row[4096];
	char code[64];
	int64_t sent_us;
	unsigned session; /**< number of sessions opened */
	unsigned completed;
	int step;
};
struct client *client_start(const char *name, struct vm *vm, const char *database, int pace_ms,
			    client_next next, client_answered answered);
void client_stop(struct client *c);

/* case-N.c */
void case_start(void);

#endif
