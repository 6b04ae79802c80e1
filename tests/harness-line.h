/**
 * @file harness-line.h
 * Real daemons before the stand-in of the prepared platform, and callers that speak the line
 * protocol.
 */
#ifndef HARNESS_LINE_H
#define HARNESS_LINE_H

#include "harness.h"

#include <json-glib/json-glib.h>

#define LINE_VMS_MAX 4
#define LINE_MEMBERS 3
/** The fleet's key, of the team "clerks". */
#define LINE_KEY "u3f1secret"

/** The databases that callers ask for, and how their reads are served. */
#define LINE_DB_PRIMARY "orders"
#define LINE_DB_BOUNDED "pages"
#define LINE_DB_SESSION "visits"

struct line_fleet {
	char *dir;
	int n_vms;
	int store, promoter;
	int member_port[LINE_MEMBERS];
	pid_t standin;
	struct test_proxy proxy;
	/** Ports that the others are told; those of the proxy, or the processes' own. */
	int shown_store, shown_member[LINE_MEMBERS];
	struct {
		int caller, rpc, ready, metrics, shown;
		pid_t pid;
	} vm[LINE_VMS_MAX];
	int version;	  /**< of the operators' document */
	const char *keys; /**< JSON list of the team's keys */
	int rate;
};

struct line_fleet *line_fleet_start(int vms);
/** With a faultproxy before the store ("store"), the members ("m0") and the VMs ("vm0"). */
struct line_fleet *line_fleet_start_proxied(int vms);
/** A command for a fleet's proxy. */
void line_route(struct line_fleet *f, const char *format, ...) G_GNUC_PRINTF(2, 3);
void line_fleet_stop(struct line_fleet *f);
void line_vm_start(struct line_fleet *f, int vm);
void line_vm_signal(struct line_fleet *f, int vm, int sig);
/** Wait for the daemon's end. @return its exit code, or -1 */
int line_vm_wait(struct line_fleet *f, int vm, int ms);
/** Switch a fault of the stand-in, see standin-prepared.c. */
void line_fault(struct line_fleet *f, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Write a new version of the operators' document with the fleet's present keys and rate. */
void line_document(struct line_fleet *f);
/** A number of the stand-in's report. */
int64_t line_report(struct line_fleet *f, const char *name);
/** A number of the stand-in's report on a member. */
int64_t line_member_report(struct line_fleet *f, const char *member, const char *name);
/** How often the newest primary's log holds the request @a id. */
int line_log_count(struct line_fleet *f, const char *id);
/** The same for all: id to number, to g_hash_table_unref(). */
GHashTable *line_log_counts(struct line_fleet *f);
/** Name of the member that leads, "" for none. */
void line_primary(struct line_fleet *f, char name[32]);
/** The status code of a GET, e.g. of a VM's ready address; 0 when nothing answers. */
int line_get(int port, const char *path, char **body);
/** What a VM has logged so far, to g_free(). */
char *line_log(struct line_fleet *f, int vm);

/** A caller. */
struct line_client {
	int fd;
	char buf[8192];
	size_t len;
	unsigned next;	/**< number of its next request */
	char id[32];	/**< of the last request */
	char code[64];	/**< "COMPLETE", the word of an error, or "" for a lost connection */
	char text[512]; /**< of an error, or the signature */
	char row[512];
	char state;
	char pos[32];
};

/** Connect. @return whether the session was opened; else c->code tells why not */
bool line_connect(struct line_client *c, struct line_fleet *f, int vm, const char *database,
		  const char *key);
/** Run a statement and wait for its answer. @return c->code */
const char *line_query(struct line_client *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Send bytes as they are. */
void line_send(struct line_client *c, const char *bytes, size_t len);
/** Read one answer, up to its READY. @return c->code */
const char *line_answer(struct line_client *c);
void line_close(struct line_client *c);
/** Connect and write one item until it works, for @a ms at most. @return whether it did */
bool line_write_until(struct line_fleet *f, int vm, int ms);

#endif
