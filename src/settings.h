/**
 * @file settings.h
 * The settings of one daemon, read once from a TOML file.
 *
 * Terms: a member is a database server of a group; the owner is the VM that holds a group's
 * connections and manages its primary.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "schema.h"
#include "types.h"

#define SETTINGS_ADDRESSES_MAX 5

/** The platform that the daemon runs on, which determines the protocols it uses. */
enum settings_platform {
	PLATFORM_ETCD, /**< store: etcd's gRPC gateway; callers and members: PostgreSQL's protocol
			*/
	PLATFORM_PREPARED, /**< store, callers and members: protocols of platform/ */
};

/** When primaries are moved to other data centres although nothing has failed. */
enum settings_rebalance {
	REBALANCE_OFF,	  /**< never */
	REBALANCE_MANUAL, /**< on an operator's request */
	REBALANCE_AUTO,	  /**< also by plan */
};

struct settings {
	char name[NAME_SIZE];
	char data_center[NAME_SIZE];
	char caller_address[ADDRESS_SIZE];
	char rpc_address[ADDRESS_SIZE];
	char advertise[ADDRESS_SIZE]; /**< RPC address published to peers; empty: rpc_address */
	double grace_s; /**< time from the request to stop to the kill; if not 0, sets drain_ms */
	unsigned drain_ms;	  /**< time limit of a graceful shutdown */
	unsigned member_leave_ms; /**< how long a member that leaves may still get statements */
	unsigned evacuate_ms;	  /**< how long a member in a data centre under evacuation may still
				     get statements */

	char ready_address[ADDRESS_SIZE];   /**< HTTP readiness check; may be empty */
	char metrics_address[ADDRESS_SIZE]; /**< HTTP metrics; may be empty */

	int platform_kind;				     /**< enum settings_platform */
	char promoter_address[ADDRESS_SIZE];		     /**< service that executes promotions;
								PLATFORM_PREPARED only */
	char platform[SETTINGS_ADDRESSES_MAX][ADDRESS_SIZE]; /**< endpoints of the store */
	unsigned platforms;				     /**< number of endpoints */
	unsigned platform_timeout_ms;

	unsigned callers_max; /**< limit of open connections of callers */
	unsigned idle_ms;     /**< a caller's connection without input for this long is closed */
	unsigned message_ms;  /**< time limit from the first byte of a message to its last */
	unsigned message_max; /**< limit of a caller's message in bytes */
	unsigned result_max;  /**< limit of a statement's result in bytes */
	unsigned deadline_ms; /**< time limit of a request whose route sets none */

	char tls_certificate[SCHEMA_PATH_SIZE];
	char tls_key[SCHEMA_PATH_SIZE];
	bool tls_required;

	unsigned stale_keys_ms; /**< how long API keys are accepted while the configuration is not
				   confirmed as current; 0: for ever */

	char seed[SETTINGS_ADDRESSES_MAX]
		 [ADDRESS_SIZE]; /**< RPC addresses of peers to fetch the configuration from while
				    the platform is down */
	unsigned seeds;		 /**< number of seed addresses */
	char rpc_secret[SCHEMA_PATH_SIZE]; /**< key of the hash on RPC messages; empty: no hash */
	unsigned heartbeat_ms;		   /**< interval between heartbeats to other VMs */
	unsigned rpc_idle_ms; /**< an RPC connection without calls for this long is closed */
	unsigned silent_ms; /**< an RPC connection with unanswered calls and no input for this long
			       is closed */

	unsigned probe_ms; /**< interval between health checks of a member */
	unsigned probe_timeout_ms;
	unsigned queue_max;	     /**< limit of queued requests of one member */
	unsigned hold_connection_ms; /**< an idle database connection is closed after this time */

	double rate_window_s;  /**< window over which a team's rate is measured; 0: no tolerance */
	double rate_overshoot; /**< fraction of the limit by which a window may exceed it */
	double rate_slack; /**< number of requests by which a window may also exceed its limit */

	bool admission_by_priority;	 /**< a team's tokens go to its urgent requests first */
	bool connection_budget;		 /**< connections are kept, granted and bounded by need */
	double connection_urgent_share;	 /**< fraction of a member's connections that only the most
					      urgent class may open */
	double connection_resting_share; /**< limit of the fraction held by idle transactions */
	bool connection_preopen; /**< connections are opened before the statement that needs them */
	bool queue_by_aim;	 /**< queues are ordered by class and target latency */
	bool member_load;	 /**< owners pass the load of members to readers */
	int rebalance;		 /**< enum settings_rebalance */
	unsigned rebalance_pause_s; /**< a group's primary is not moved again within this time */
	bool relay; /**< statements go through another VM when their owner is not reached */

	char log_path[SCHEMA_PATH_SIZE];
	int log_format;
	int log_level;
	char trace_path[SCHEMA_PATH_SIZE];
};

/** @return the name of the configured log level */
const char *settings_log_level(const struct settings *s);
/** Reads and checks the settings file at @a path. */
gboolean settings_load(const char *path, struct settings *s, GError **error);

#endif
