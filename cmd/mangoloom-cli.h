/**
 * @file mangoloom-cli.h
 * What the operators' commands share: options, waiting calls to the platform and to daemons, and
 * the stored tables.
 */
#ifndef MANGOLOOM_CLI_H
#define MANGOLOOM_CLI_H

#include "conf.h"
#include "kernel.h"
#include "platform.h"
#include "rpc.h"
#include "table.h"
#include "version.h"

/** Words on a command line: a command, and for `explain` the logs of many VMs. */
#define CLI_WORDS_MAX 256

/** Options, before their command's own use of them. */
struct cli_options {
	const char *routes; /**< file, or NULL */
	const char *pools;
	const char *settings;
	const char *by; /**< who makes the change, for the history */
	int wait_ms;	/**< for VMs to confirm a change */
	bool json;
	const char **words; /**< what follows the command */
	int n_words;
};

struct cli {
	struct kernel *kernel;
	struct settings settings;
	struct platform *platform;
	struct rpc *rpc;
	struct cli_options opt;
};

/** A command. @return an exit code */
struct cli_command {
	const char *name;
	const char *words; /**< what follows it */
	const char *help;
	int least_words;
	int most_words;
	bool offline; /**< needs no platform */
	int (*run)(struct cli *cli);
};

extern const struct cli_command cli_commands[];
extern const unsigned cli_n_commands;

/** Print "mangoloom: ..." to standard error. @return @a code */
int cli_fail(int code, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** The exit code that belongs to @a error, which is printed and freed. */
int cli_fail_error(GError *error);

/* Waiting calls */
struct platform_answer *cli_range(struct cli *cli, const char *key, const char *end);
struct platform_answer *cli_cas(struct cli *cli, const char *key, int64_t mod_revision,
				const struct platform_write *writes, unsigned n);
void cli_answer_free(struct platform_answer *a);
/** Call a daemon. @return false when no answer came; else *res is to be freed with xdr_free(). */
bool cli_call(struct cli *cli, const char *address, u_int proc, const void *args, void *res,
	      int64_t timeout_us);
/** Let the loop run for @a us. */
void cli_pause(struct cli *cli, int64_t us);

/** A VM of the platform's list. */
struct cli_vm {
	char name[NAME_SIZE];
	char address[ADDRESS_SIZE];
};
/** The platform's list of VMs, as an array of cli_vm; NULL when the platform does not answer. */
GArray *cli_vms(struct cli *cli);

/* The stored tables */
struct store {
	uint64_t version;
	uint64_t table_version[TABLES];
	int64_t head_revision;
	char change[NAME_SIZE]; /**< id of the change that made this version */
	GPtrArray *entries;	/**< of conf_entry */
};

/** Read everything. */
struct store *store_read(struct cli *cli, GError **error);
void store_free(struct store *s);
/** The entry named @a id among @a entries; NULL for none. */
const struct conf_entry *store_find(const GPtrArray *entries, const char *id);
/** A change to be made: entries to put, and ids to remove. */
struct store_change {
	GPtrArray *puts;    /**< of conf_entry */
	GPtrArray *removes; /**< of ids */
	bool touches[TABLES];
	const char *summary;
};
/**
 * Make the change on top of @a s. A lost answer is resolved by the change's id.
 * @return the new version, or 0 with @a error
 */
uint64_t store_commit(struct cli *cli, const struct store *s, const struct store_change *c,
		      GError **error);
/**
 * Put @a e in force, or remove it, on top of whatever else changes meanwhile.
 * @return the version, or 0 with @a error
 */
uint64_t store_put_entry(struct cli *cli, struct conf_entry *e, const char *summary,
			 GError **error);
uint64_t store_remove_entry(struct cli *cli, const char *id, const char *summary, GError **error);
/** Wait until all VMs have @a version, and tell of those that do not. @return an exit code */
int store_wait(struct cli *cli, uint64_t version, const char *what);

/* Commands */
int cmd_check(struct cli *cli);
int cmd_apply(struct cli *cli);
int cmd_get(struct cli *cli);
int cmd_diff(struct cli *cli);
int cmd_history(struct cli *cli);
int cmd_key(struct cli *cli);
int cmd_evacuate(struct cli *cli);
int cmd_restore(struct cli *cli);
int cmd_status(struct cli *cli);
int cmd_stop(struct cli *cli);
int cmd_explain(struct cli *cli);

#endif
