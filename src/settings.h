/** @file settings.h The settings of one daemon, read once from a TOML file. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "schema.h"
#include "types.h"

#define SETTINGS_ADDRESSES_MAX 5

/** Which platform's protocols the daemon speaks. */
enum settings_platform {
	PLATFORM_ETCD,	   /**< etcd's gateway, PostgreSQL to callers and members */
	PLATFORM_PREPARED, /**< platform/platform-adapter.h */
};

struct settings {
	char name[NAME_SIZE];
	char data_center[NAME_SIZE];
	char caller_address[ADDRESS_SIZE];
	char rpc_address[ADDRESS_SIZE];
	char advertise[ADDRESS_SIZE]; /**< RPC address told to others; rpc_address when empty */
	double grace_s; /**< from the request to stop to the kill; sets drain_ms when not 0 */
	unsigned drain_ms;
	unsigned leave_ms;    /**< a member that leaves may get statements for so long */
	unsigned evacuate_ms; /**< the same for one whose data centre is evacuated */

	char ready_address[ADDRESS_SIZE];   /**< answers whether this VM takes callers; may be empty
					     */
	char metrics_address[ADDRESS_SIZE]; /**< counters as text; may be empty */

	int platform_kind;		     /**< enum settings_platform */
	char promoter_address[ADDRESS_SIZE]; /**< takes orders to promote; PLATFORM_PREPARED only */
	char platform[SETTINGS_ADDRESSES_MAX][ADDRESS_SIZE];
	unsigned platforms;
	unsigned platform_timeout_ms;

	unsigned callers_max;
	unsigned idle_ms;    /**< a caller that sends nothing is dropped after this */
	unsigned message_ms; /**< time for a started message to arrive whole */
	unsigned message_max;
	unsigned result_max;
	unsigned deadline_ms; /**< of a request whose route gives none */

	char tls_certificate[SCHEMA_PATH_SIZE];
	char tls_key[SCHEMA_PATH_SIZE];
	bool tls_required;

	unsigned stale_keys_ms; /**< how long keys are trusted without news; 0: for ever */

	char seed[SETTINGS_ADDRESSES_MAX]
		 [ADDRESS_SIZE]; /**< RPC addresses of peers to ask while the platform is down */
	unsigned seeds;
	char rpc_secret[SCHEMA_PATH_SIZE];
	unsigned heartbeat_ms;
	unsigned silent_ms; /**< an RPC connection without an answer for this long is replaced */

	unsigned probe_ms; /**< between two looks at a database member */
	unsigned probe_timeout_ms;
	unsigned queue_max;	     /**< waiting requests of one member */
	unsigned hold_connection_ms; /**< an unused database connection is closed after this */

	double rate_window_s; /**< see struct share_tolerance */
	double rate_overshoot;
	double rate_slack;

	char log_path[SCHEMA_PATH_SIZE];
	int log_format;
	int log_level;
	char trace_path[SCHEMA_PATH_SIZE];
};

/** Name of the log level that was set. */
const char *settings_log_level(const struct settings *s);
/** Read and check the file. */
gboolean settings_load(const char *path, struct settings *s, GError **error);

#endif
