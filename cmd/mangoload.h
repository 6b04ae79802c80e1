/**
 * @file mangoload.h
 * Open-loop load generator: requests arrive at the planned rate whether or not earlier ones were
 * answered, so that a slow proxy cannot hide queueing delay. After the run, the outcomes that
 * callers received are compared with the contents of the databases.
 *
 * A session token names the last acknowledged write of a session; a client passes it on when it
 * reconnects, so that its reads on another VM include that write. A member is a database server of
 * a group.
 *
 * mangoload.c         options and event loop
 * mangoload-plan.c    parser of the plan, a TOML file
 * mangoload-run.c     sessions, arrivals and injected faults
 * mangoload-report.c  statistics, consistency checks, CSV
 */
#ifndef MANGOLOAD_H
#define MANGOLOAD_H

#include "kernel.h"
#include "schema.h"

#include <glib.h>
#include <libpq-fe.h>

#define LOAD_VMS_MAX 32
#define LOAD_TEAMS_MAX 32
#define LOAD_KINDS_MAX 8
#define LOAD_MEMBERS_MAX 32
#define LOAD_FAULTS_MAX 16

struct load_kind {
	char name[NAME_SIZE];
	bool write;
	double share; /**< fraction of a team's requests */
};

struct load_team {
	char name[NAME_SIZE];
	char key_file[SCHEMA_PATH_SIZE];
	double rate;	 /**< requests per second, as in the table of routes; 0: not limited */
	double burst;	 /**< requests, as in the table of routes */
	double arrivals; /**< requests per second */
	double surge;	 /**< factor on the arrivals from surge_from_ms until surge_until_ms */
	unsigned surge_from_ms;
	unsigned surge_until_ms;
	unsigned sessions;
	char *key; /**< contents of key_file */
};

struct load_fault {
	unsigned at_ms;
	char pid_file[SCHEMA_PATH_SIZE];
	int signal; /**< see load_signal_number() */
};

struct load_plan {
	unsigned seconds;
	unsigned deadline_ms;
	double roam; /**< probability of reconnecting through another VM after a request */
	char table[NAME_SIZE];
	char secret[SCHEMA_PATH_SIZE];
	unsigned n_vms, n_rpc, n_members, n_teams, n_kinds, n_faults;
	char vm[LOAD_VMS_MAX][ADDRESS_SIZE];  /**< caller addresses of the daemons */
	char rpc[LOAD_VMS_MAX][ADDRESS_SIZE]; /**< RPC addresses of the daemons, for counters */
	char member[LOAD_MEMBERS_MAX][ADDRESS_SIZE]; /**< members to compare with */
	struct load_team team[LOAD_TEAMS_MAX];
	struct load_kind kind[LOAD_KINDS_MAX];
	struct load_fault fault[LOAD_FAULTS_MAX];
};

/** Outcome of a request, as its caller received it. */
enum load_outcome {
	LOAD_ACKED,
	LOAD_REFUSED,	/**< not executed */
	LOAD_OVER_RATE, /**< not executed: the rate limit of the team was exceeded */
	LOAD_UNKNOWN,	/**< may have been executed */
	LOAD_ERROR,
	LOAD_OUTCOMES /**< number of outcomes */
};

struct load_request {
	unsigned team, kind;
	unsigned number; /**< sequence number among the team's writes; part of the row's key */
	int64_t due_us;	 /**< arrival, since the start of the run */
	int64_t done_us; /**< since the start of the run */
	enum load_outcome outcome;
	bool stale; /**< the read did not return the session's last acknowledged write */
};

struct load {
	struct kernel *kernel;
	struct load_plan plan;
	GArray *requests; /**< of load_request; completed ones only */
	int64_t start_us;
	unsigned unanswered; /**< requests that arrived and have not completed */
	bool ended;
	/** Reads during the run, from the daemons' counters. */
	int64_t replica_reads, primary_reads;
};

/** Reads and checks a plan. */
gboolean load_plan_read(const char *path, struct load_plan *plan, GError **error);
void load_plan_clear(struct load_plan *plan);
/** Maps the index of a fault's signal in the plan to the signal number. */
int load_signal_number(int choice);

/** Starts sessions and arrivals and runs the event loop until the end of the plan. */
void load_run(struct load *l);
/** Returns the sum of a counter over all daemons, queried by RPC; -1 when none answers. */
int64_t load_counter(struct load *l, const char *name);

/**
 * Prints statistics, compares outcomes with the databases and writes @a csv if it is not NULL.
 * @return whether all consistency checks passed
 */
bool load_report(struct load *l, const char *csv, bool json);

#endif
