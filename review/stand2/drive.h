/**
 * @file drive.h
 * Starts the stand-ins and daemons of a case, and implements clients of the wire protocol. Each
 * case is a program: it plays its events, judges what was seen, and exits with 0 (the rule held), 1
 * (it was broken) or 2 (the case could not run).
 */
#ifndef STAND2_DRIVE_H
#define STAND2_DRIVE_H

#include "common.h"

#include <sys/types.h>

#define VMS_MAX MACHINES_MAX

/** Parts of op/config, as in PROTOCOL.md. */
#define ROUTE(name, host, anonymous)                                                               \
	"{\"name\":\"" name "\",\"host\":\"" host "\",\"prefix\":\"/\",\"kind\":\"primary\","      \
	"\"timeout-ms\":800,\"target-latency-ms\":100,\"priority\":1,\"service\":\"svc\","         \
	"\"max-attempts\":2,\"allow-anonymous\":" anonymous "}"
#define TENANT(name, keys)                                                                         \
	"{\"name\":\"" name "\",\"api-keys\":[" keys "],\"priority\":1,\"rate-per-s\":500,"        \
	"\"burst\":500}"
#define CONFIG(version, routes, synchronous_replicas, tenants)                                     \
	"{\"version\":" version ",\"routes\":[" routes "],\"services\":[{\"name\":\"svc\","        \
	"\"health-path\":\"/health\",\"connection-limit\":16,\"protocol\":\"h1\","                 \
	"\"tls-enabled\":false,\"synchronous-replicas\":" synchronous_replicas "}],"               \
	"\"limits\":{\"transaction-idle-ms\":3000},\"tenants\":[" tenants "]}"
/** One route, one tenant. */
#define CONFIG_PLAIN(synchronous_replicas)                                                         \
	CONFIG("3", ROUTE("r1", "orders", "false"), synchronous_replicas,                          \
	       TENANT("salon", "\"key-of-salon\""))

struct vm {
	const char *name, *zone;
	int front, control, ready, metrics;
	int promotion; /**< its path to the promotion call, see link.h */
	pid_t pid;
};

struct drive {
	char *dir; /**< temporary folder */
	bool trouble;
	struct world_conf world;
	pid_t world_pid;
	int commands, replies;
	unsigned n_vms; /**< that drive_start() starts; the others are spare */
	struct vm vm[VMS_MAX];
};

/**
 * Starts the stand-ins and @a n_vms daemons in three zones, and writes the configuration.
 * @param config op/config
 */
void drive_start(struct drive *d, unsigned n_vms, const char *config);
/** Ends all processes and exits. */
void drive_exit(struct drive *d, int code) G_GNUC_NORETURN;
/** Sends a command to the stand-ins, see world.c. */
void drive_command(struct drive *d, const char *format, ...) G_GNUC_PRINTF(2, 3);
void drive_signal(struct drive *d, unsigned vm, int sig);
/** Stops the machine by SIGTERM, waits until its process has ended, and starts it again. */
void drive_restart(struct drive *d, unsigned vm);
/** Kills the process of the machine, which stays down until drive_up(). */
void drive_kill(struct drive *d, unsigned vm);
void drive_up(struct drive *d, unsigned vm);
/** Waits until all daemons report ready and serve @a database with @a key; exits with 2 if not. */
void drive_wait_served(struct drive *d, const char *database, const char *key);
/** Name of the VM that holds the duty of the service, as the store's record tells. */
unsigned drive_owner(struct drive *d);
void sleep_ms(int ms);
/** Reads record.txt so far; to g_strfreev(). */
char **drive_record(struct drive *d);

struct client {
	const char *name;
	int fd;
	char id[32];	/**< of the last request */
	char code[32];	/**< COMPLETE, an error code, or "" if there was no answer */
	char text[512]; /**< signature, or text of the error */
	char row[512];
	char state; /**< of the last READY */
	int64_t sent_us, answered_us;
	GString *in;
};

/** Opens a session. @return whether it was opened; if not, c->code has the reason */
bool client_open(struct client *c, const char *name, const struct vm *vm, const char *database,
		 const char *key);
/** Sends a query and waits for its answer. @return whether it completed */
bool client_query(struct client *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
void client_close(struct client *c);

#endif
