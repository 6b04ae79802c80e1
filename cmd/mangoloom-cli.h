/**
 * @file mangoloom-cli.h
 * Shared by the commands of the operators' tool: options, blocking calls to the platform and to
 * daemons, and access to the stored configuration tables.
 *
 * A pool is a database group as configured. A conf_entry is one row of the stored configuration,
 * such as a route, a pool, a team key or an evacuation; it is unrelated to the entry daemon, the
 * one a caller is connected to.
 */
#ifndef MANGOLOOM_CLI_H
#define MANGOLOOM_CLI_H

#include "conf.h"
#include "kernel.h"
#include "platform.h"
#include "rpc.h"
#include "table.h"
#include "version.h"

/**
 * Limit of the positional arguments: the command and its arguments. `explain` takes the most: a log
 * file of each VM.
 */
#define CLI_ARGS_MAX 256

/** Parsed command line. */
struct cli_options {
	const char *routes;   /**< file, or NULL */
	const char *pools;    /**< file, or NULL */
	const char *settings; /**< file, or NULL */
	const char *by;	      /**< who makes the change, for the history */
	int wait_ms;	      /**< time to wait for the VMs to confirm a change */
	bool json;
	bool dry_run;		 /**< rebalance: plan only */
	const char *at;		 /**< RPC address of the daemon to call, or NULL */
	const char *pool;	 /**< rebalance: only this group, or NULL */
	const char *data_center; /**< rebalance: where its primary is to move, or NULL */
	const char **args;	 /**< arguments of the command */
	int n_args;
};

struct cli {
	struct kernel *kernel;
	struct settings settings;
	struct platform *platform;
	struct rpc *rpc;
	struct cli_options opt;
};

struct cli_command {
	const char *name;
	const char *args; /**< syntax of the arguments, for the usage line */
	const char *help;
	int min_args;
	int max_args;
	bool offline;		     /**< runs without the platform's service */
	int (*run)(struct cli *cli); /**< returns an exit code */
};

extern const struct cli_command cli_commands[];
extern const unsigned cli_n_commands;

/** Prints "mangoloom: ..." to standard error. @return @a code */
int cli_fail(int code, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Prints and frees @a error. @return the exit code for it */
int cli_fail_error(GError *error);

/* Blocking calls; they run the event loop until the answer arrives. */
struct platform_answer *cli_range(struct cli *cli, const char *key, const char *end);
struct platform_answer *cli_cas(struct cli *cli, const char *key, int64_t mod_revision,
				const struct platform_write *writes, unsigned n);
void cli_answer_free(struct platform_answer *a);
/** Calls a daemon. @return false if no answer came; else the caller frees *res with xdr_free(). */
bool cli_call(struct cli *cli, const char *address, u_int proc, const void *args, void *res,
	      int64_t timeout_us);
/** Runs the event loop for @a us. */
void cli_pause(struct cli *cli, int64_t us);

struct cli_vm {
	char name[NAME_SIZE];
	char address[ADDRESS_SIZE];
};
/** Returns the platform's list of VMs (cli_vm); NULL if the platform does not answer. */
GArray *cli_vms(struct cli *cli);

/** Prints where a group's primary stands, as a VM has reported it. */
void cli_print_group(JsonObject *group);

/** The stored tables, as read at one revision. */
struct store_snapshot {
	uint64_t version;
	uint64_t table_version[TABLES]; /**< version in which each table last changed */
	int64_t head_revision;		/**< mod_revision of PLATFORM_HEAD, compared on commit */
	char commit_id[NAME_SIZE];	/**< id of the commit that wrote this version */
	GPtrArray *entries;		/**< of conf_entry */
};

/** Reads the head and all configuration entries. @return NULL with @a error set on failure */
struct store_snapshot *store_read(struct cli *cli, GError **error);
void store_free(struct store_snapshot *s);
/** Returns the entry with @a id among @a entries; NULL if there is none. */
const struct conf_entry *store_find(const GPtrArray *entries, const char *id);

/** A change to commit. */
struct store_change {
	GPtrArray *puts;    /**< of conf_entry */
	GPtrArray *removes; /**< of ids */
	bool table_changed[TABLES];
	const char *summary; /**< for the history */
};
/**
 * Commits the change if the store is still at the revision of @a s. If the answer is lost, reads
 * the head to see whether it has the id of this commit.
 * @return the new version, or 0 with @a error
 */
uint64_t store_commit(struct cli *cli, const struct store_snapshot *s, const struct store_change *c,
		      GError **error);
/**
 * Puts or removes one entry. After a conflict with a concurrent change, reads the store again and
 * retries.
 * @return the version, or 0 with @a error
 */
uint64_t store_put_entry(struct cli *cli, struct conf_entry *e, const char *summary,
			 GError **error);
uint64_t store_remove_entry(struct cli *cli, const char *id, const char *summary, GError **error);
/**
 * Waits until all VMs have @a version or opt.wait_ms has passed; then reports the VMs that have not
 * confirmed it.
 * @param what subject of the error message, such as "the change"
 * @return an exit code
 */
int store_wait_confirmed(struct cli *cli, uint64_t version, const char *what);

/* Commands */
int cmd_check(struct cli *cli);
int cmd_apply(struct cli *cli);
int cmd_get(struct cli *cli);
int cmd_diff(struct cli *cli);
int cmd_history(struct cli *cli);
int cmd_key(struct cli *cli);
int cmd_evacuate(struct cli *cli);
int cmd_restore(struct cli *cli);
int cmd_rebalance(struct cli *cli);
int cmd_status(struct cli *cli);
int cmd_stop(struct cli *cli);
int cmd_explain(struct cli *cli);

#endif
