/**
 * @file harness-line.h
 * Runs real daemons against standin-prepared, which simulates the prepared platform: its
 * key-value store, its promoter and the members of one database group. Implements callers that
 * speak the line protocol.
 *
 * A member is a database server of a group. A team is the tenant that a caller's API key belongs
 * to.
 */
#ifndef HARNESS_LINE_H
#define HARNESS_LINE_H

#include "harness.h"

#include <json-glib/json-glib.h>

#define LINE_VMS_MAX 4
#define LINE_MEMBERS 3
/** Connections that a member accepts from the daemons. */
#define LINE_CONNECTIONS 32
/** API key of the team "clerks". */
#define LINE_KEY "u3f1secret"

/** Databases that callers connect to, by the consistency of their reads. */
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
	/** Ports that other processes use: the proxy's, or the real ones without proxy. */
	int advertised_store, advertised_member[LINE_MEMBERS];
	struct {
		int caller, rpc, ready, metrics, advertised;
		pid_t pid;
	} vm[LINE_VMS_MAX];
	int version;		   /**< of the configuration document */
	const char *settings;	   /**< further sections of the daemons' settings */
	const char *keys;	   /**< JSON list of the team's keys */
	const char *dropped_route; /**< database whose route the document leaves out, or NULL */
	int rate;
	/** The document's routes have priorities 0, 1 and 2 and state latency targets. */
	bool with_classes;
	/** Number of further teams in the document: "idle0" with the key "idle0secret"... */
	int idle_teams;
};

struct line_fleet *line_fleet_start(int vms);
/** Like line_fleet_start(), with further sections of the daemons' settings. */
struct line_fleet *line_fleet_start_with(int vms, const char *settings);
/**
 * Starts a fleet with a faultproxy in front of the store (route "store"), the members ("m0"...) and
 * the VMs ("vm0"...).
 */
struct line_fleet *line_fleet_start_proxied(int vms);
/** Does the same with TOML @a settings appended to each daemon's settings. */
struct line_fleet *line_fleet_start_proxied_with(int vms, const char *settings);
/** Sends a command to the fleet's faultproxy, see faultproxy.c. */
void line_proxy_command(struct line_fleet *f, const char *format, ...) G_GNUC_PRINTF(2, 3);
void line_fleet_stop(struct line_fleet *f);
void line_vm_start(struct line_fleet *f, int vm);
void line_vm_signal(struct line_fleet *f, int vm, int sig);
/** Waits up to @a ms for the daemon to exit. @return its exit code, or -1 */
int line_vm_wait(struct line_fleet *f, int vm, int ms);
/** Injects a fault into standin-prepared, see standin-prepared.c. */
void line_fault(struct line_fleet *f, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Writes a new version of the configuration document, with the fleet's current keys and rate. */
void line_write_document(struct line_fleet *f);
/** Returns a counter from the report of standin-prepared. */
int64_t line_report(struct line_fleet *f, const char *name);
/** Returns a counter of one member from the report of standin-prepared. */
int64_t line_member_report(struct line_fleet *f, const char *member, const char *name);
/** Returns how often the log of the primary with the highest term holds request @a id. */
int line_log_count(struct line_fleet *f, const char *id);
/**
 * Counts the requests in the log of the primary with the highest term. @return request id to count;
 * free with g_hash_table_unref()
 */
GHashTable *line_log_counts(struct line_fleet *f);
/** Stores the name of the primary with the highest term in @a name; "" if there is none. */
void line_primary(struct line_fleet *f, char name[32]);
/**
 * Sends an HTTP GET, e.g. to a VM's ready address. @param body the body of the answer, to g_free();
 * may be NULL. @return the status code; 0 if there is no answer
 */
int line_get(int port, const char *path, char **body);
/** Returns what a VM has logged so far; free with g_free(). */
char *line_vm_log(struct line_fleet *f, int vm);

/** A caller's connection. */
struct line_client {
	int fd;
	char buf[8192];
	size_t len;
	unsigned next;	/**< number of the next request */
	char id[32];	/**< of the last request */
	char code[64];	/**< "COMPLETE", an error code, or "" for a lost connection */
	char text[512]; /**< text of an error, or the signature of a completed statement */
	char row[512];
	char state;
	char pos[32];
};

/** Connects. @return whether the session was opened; if not, c->code holds the error code */
bool line_connect(struct line_client *c, struct line_fleet *f, int vm, const char *database,
		  const char *key);
/** Runs a statement and waits for the answer. @return c->code */
const char *line_query(struct line_client *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Sends bytes without framing them. */
void line_send(struct line_client *c, const char *bytes, size_t len);
/** Reads one answer, up to its READY line. @return c->code */
const char *line_read_answer(struct line_client *c);
void line_close(struct line_client *c);
/** Connects and writes one item, and retries for up to @a ms. @return whether a write succeeded */
bool line_wait_until_writable(struct line_fleet *f, int vm, int ms);

#endif
