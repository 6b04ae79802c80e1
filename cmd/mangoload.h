/**
 * @file mangoload.h
 * The load and experiment tool: requests arrive by the plan whether or not earlier ones were
 * answered, so that a slow proxy cannot hide its waits; at the end the databases' own records are
 * compared with what callers were told.
 *
 * mangoload.c         options and the loop
 * mangoload-plan.c    the plan, a TOML file
 * mangoload-run.c     sessions and arrivals
 * mangoload-report.c  measures, checks, CSV
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
	double share; /**< of a team's requests */
};

struct load_team {
	char name[NAME_SIZE];
	char key_file[SCHEMA_PATH_SIZE];
	double rate; /**< as in the table of routes; 0: not limited */
	double burst;
	double arrivals; /**< requests a second */
	double surge;	 /**< times the arrivals, between the two moments */
	unsigned surge_from_ms;
	unsigned surge_until_ms;
	unsigned sessions;
	char *key;
};

struct load_fault {
	unsigned at_ms;
	char pid_file[SCHEMA_PATH_SIZE];
	int signal; /**< index into load_signals */
};

struct load_plan {
	unsigned seconds;
	unsigned deadline_ms;
	double roam; /**< chance that a session goes on through another VM after a request */
	char table[NAME_SIZE];
	char secret[SCHEMA_PATH_SIZE];
	unsigned n_vms, n_rpc, n_members, n_teams, n_kinds, n_faults;
	char vm[LOAD_VMS_MAX][ADDRESS_SIZE];	     /**< where callers connect */
	char rpc[LOAD_VMS_MAX][ADDRESS_SIZE];	     /**< where daemons tell of themselves */
	char member[LOAD_MEMBERS_MAX][ADDRESS_SIZE]; /**< database members, to compare with */
	struct load_team team[LOAD_TEAMS_MAX];
	struct load_kind kind[LOAD_KINDS_MAX];
	struct load_fault fault[LOAD_FAULTS_MAX];
};

/** How a request ended, as its caller was told. */
enum load_told { LOAD_ACKED, LOAD_REFUSED, LOAD_OVER_RATE, LOAD_UNKNOWN, LOAD_ERROR, LOAD_TOLD };

/** One request. */
struct load_request {
	unsigned team, kind;
	unsigned number; /**< of the team's writes, for its key */
	int64_t due_us;	 /**< when it arrived, since the start */
	int64_t done_us;
	enum load_told told;
	bool stale; /**< a read that lacked the session's own write */
};

struct load {
	struct kernel *kernel;
	struct load_plan plan;
	GArray *requests; /**< of load_request, that have ended */
	int64_t start_us;
	unsigned open;
	bool ended;
	int64_t replica_reads, primary_reads; /**< by the daemons' counters, in this run */
};

/** Read and check a plan. */
gboolean load_plan_read(const char *path, struct load_plan *plan, GError **error);
void load_plan_clear(struct load_plan *plan);
int load_signal_number(int choice);

/** Start sessions and arrivals; the loop ends by itself. */
void load_run(struct load *l);
/** Sum of a counter over the daemons, by RPC; -1 when none answers. */
int64_t load_counter(struct load *l, const char *name);

/**
 * Print measures, compare with the databases, write @a csv when it is not NULL. @return whether
 * all checks held
 */
bool load_report(struct load *l, const char *csv, bool json);

#endif
