/*
 * The protocol between daemons: ONC RPC. `make generate` writes mango.h and mango_xdr.c from this file.
 *
 * Terms: a pool is a database group as configured; a member is one database server of it. The owner is the VM that holds
 * the connections of a group and manages its primary. The entry is the daemon a caller is connected to, the home is the
 * daemon that holds the connections and the queue of a member. A session token names the last write that a session
 * saw acknowledged; its reads must include that write. A once-id is an identifier that the caller gives a write, so that a
 * repetition of the write is not applied twice.
 */

const ML_NAME_MAX = 63;
const ML_TEXT_MAX = 1048576;
const ML_RESULT_MAX = 67108864;
const ML_PARAMS_MAX = 4096;
const ML_VM_UPDATES_MAX = 16;
const ML_TEAMS_MAX = 4096;
const ML_ENTRIES_MAX = 65536;
const ML_TERMS_MAX = 8;
const ML_MEMBERS_MAX = 8;
const ML_CLASSES = 4;
const ML_ORIGINS_MAX = 16;

typedef string ml_name<ML_NAME_MAX>;
typedef string ml_text<ML_TEXT_MAX>;

/* A position in a group's log: the term of the primary and the LSN. */
struct ml_pos {
	unsigned hyper term;
	unsigned hyper lsn;
};

/* The newest known state of a VM, which spreads with the heartbeats. A higher seq supersedes a lower one. */
struct ml_vm_update {
	ml_name vm;
	unsigned hyper incarnation;
	unsigned hyper seq;
	bool dead;
	bool leaving;
};

/* Sent by each VM to other VMs at intervals; the answer has the same type. */
struct ml_heartbeat {
	ml_name vm;
	unsigned hyper incarnation;
	unsigned hyper conf_version;
	unsigned hyper vms_revision;
	unsigned hyper conf_confirmed_age_us;	/* since the store confirmed that conf_version is current */
	ml_vm_update vm_updates<ML_VM_UPDATES_MAX>;
};

enum ml_op {
	ML_SIMPLE = 0,
	ML_EXTENDED = 1,
	ML_DESCRIBE = 2,
	ML_ABANDON = 3		/* ends an open transaction without running a statement */
};

enum ml_control {
	ML_CONTROL_NONE = 0,
	ML_CONTROL_BEGIN = 1,
	ML_CONTROL_COMMIT = 2,
	ML_CONTROL_ROLLBACK = 3
};

struct ml_param {
	bool null;
	int format;
	unsigned int type;
	opaque value<ML_RESULT_MAX>;
};

/* A statement that an entry sends to the home of a member. */
struct ml_exec_args {
	unsigned hyper request;
	ml_name team;
	double weight;
	ml_name pool;
	ml_name member;
	bool write;
	bool as_replica;		/* the member may serve the read as a replica; false: only as the primary */
	ml_pos token;			/* log position that a read must include */
	unsigned hyper max_age_us;
	unsigned hyper deadline_us;
	unsigned hyper transaction;	/* id of the open transaction; 0: none */
	ml_control control;
	ml_op op;
	ml_text once;			/* once-id; "": none */
	ml_text sql;
	bool describe_row;
	int result_format;
	ml_param params<ML_PARAMS_MAX>;
};

struct ml_exec_res {
	int outcome;		/* enum outcome */
	ml_name sqlstate;
	ml_text message;
	unsigned hyper retry_after_us;
	ml_pos pos;
	unsigned hyper age_us;
	unsigned hyper transaction;
	bool transaction_failed;
	ml_name primary;
	unsigned hyper primary_term;
	opaque frames<ML_RESULT_MAX>;
};

/* Asks the home of a member for its state; answered once it reaches wait_for, or after wait_us. */
struct ml_member_args {
	ml_name pool;
	ml_name member;
	ml_pos wait_for;
	unsigned hyper wait_us;
};

struct ml_member_res {
	int state;		/* enum member_state */
	bool primary;
	unsigned hyper seen_term;	/* highest term in which the member was ordered to follow or to be primary */
	ml_pos received;
	unsigned hyper applied_lsn;
	ml_pos terms<ML_TERMS_MAX>;
	ml_name upstream;
	unsigned hyper age_us;
};

/* Orders a member to become primary in a term, or to accept that term and replicate from upstream. */
struct ml_order_args {
	ml_name pool;
	ml_name member;
	bool promote;
	unsigned hyper term;
	ml_name upstream;
};

struct ml_order_res {
	bool reached;		/* whether the member answered */
	bool ok;		/* whether the member accepted the order */
	unsigned hyper seen_term;
	ml_pos received;
};

struct ml_conf_args {
	unsigned hyper conf_version;
	ml_name after;			/* id of the last entry of the previous page; "": first page */
	unsigned hyper vms_revision;
};

/* An entry of the configuration. */
struct ml_entry {
	ml_name id;
	unsigned hyper conf_version;
	bool removed;
	ml_text text;
};

/* A key of the store that describes a VM. */
struct ml_vm_item {
	ml_text key;
	unsigned hyper revision;
	bool removed;
	ml_text value;
};

/* A page of the configuration's changes after the version base, and of the changes to the list of VMs. */
struct ml_conf_res {
	unsigned hyper base;
	unsigned hyper conf_version;
	bool full;
	bool more;			/* another page follows */
	bool busy;			/* no page: too many peers are fetching pages now */
	ml_entry entries<ML_ENTRIES_MAX>;
	unsigned hyper vms_revision;
	unsigned hyper vms_base;	/* vms has the changes after this revision; 0: the whole list */
	ml_vm_item vms<ML_ENTRIES_MAX>;
};

/* A VM's report to the allocator of a team's rate: its part of the rate and its demand. */
struct ml_share_report {
	ml_name team;
	unsigned hyper epoch;
	unsigned hyper seq;
	unsigned int units;
	double demand;			/* recent peak of arriving requests per second */
	double average;			/* arriving requests per second, averaged over about a second */
	unsigned int want;		/* requests that wait for a token */
};

struct ml_share_args {
	ml_name vm;
	unsigned hyper incarnation;
	ml_share_report reports<ML_TEAMS_MAX>;
};

/* The allocator's answer: the VM's new part of the team's rate. */
struct ml_share_order {
	ml_name team;
	unsigned hyper epoch;
	unsigned hyper seq;
	unsigned int units;
	bool over;			/* the demand of the whole team exceeds its rate */
	unsigned int granted;		/* tokens given for the waiting requests of the report */
};

struct ml_share_res {
	ml_share_order orders<ML_TEAMS_MAX>;
};

/* Asks a VM to send its ml_share_report at once. */
struct ml_report_request {
	ml_name team;		/* "": all teams of the allocator */
	unsigned int allocator;
};

/* Asks another VM for tokens of a team's token bucket. */
struct ml_tokens_args {
	ml_name team;
	unsigned int want;
};

struct ml_tokens_res {
	unsigned int granted;
};

/* An answer whose only content is a success flag. */
struct ml_none {
	bool ok;
};

/* Asks for the outcome of a transaction whose answer to COMMIT was lost. */
struct ml_commit_status_args {
	ml_name pool;
	ml_name member;
	ml_name xid;
	int backend_pid;
	ml_name previous_member;	/* the member that ran the transaction */
};

struct ml_commit_status_res {
	int commit_status;	/* enum commit_status in home-commit-status.c */
	ml_pos pos;
};

/* A session value (SET). */
struct ml_value {
	ml_text name;
	ml_text value;
};

/*
 * A statement that an entry sends to the owner, or to another VM that executes reads on a replica. Values that the receiver
 * knows or can compute, such as the address of a member, are left out.
 */
struct ml_run_args {
	ml_text request;
	ml_name team;
	unsigned int priority;
	ml_name pool;
	int op;			/* enum statement_op */
	bool write;
	ml_text text;		/* the full statement; "" for STATEMENT_EXECUTE */
	ml_text operand;	/* argument of STATEMENT_EXECUTE, else "" */
	ml_text shape;		/* prepared statement that STATEMENT_EXECUTE runs, else "" */
	int mode;		/* enum read_mode */
	unsigned int max_age_us;
	ml_pos session;		/* log position of the session's last write */
	unsigned int deadline_us;
	unsigned int idle_tx_ms;
	unsigned hyper transaction;	/* id of the open transaction; 0: none */
	int begin;		/* STATEMENT_BEGIN or STATEMENT_BEGIN_READ: begins a transaction first; else 0 */
	int reader;		/* enum owner_reader */
	unsigned hyper owner_revision;	/* newest revision of the group's owner record that the sender knows */
	ml_value values<ML_PARAMS_MAX>;
};

struct ml_run_res {
	int outcome;		/* enum outcome */
	ml_text message;
	ml_text signature;
	opaque rows<ML_RESULT_MAX>;
	int state;
	ml_pos pos;
	unsigned hyper transaction;
	unsigned int retry_after_us;
	ml_pos mark;		/* includes all writes acknowledged more than mark_age_us ago */
	unsigned int mark_age_us;
	ml_name owner;		/* current owner, if owner_revision of the call is older; else "" */
	ml_name owner_address;
	unsigned hyper owner_revision;
};

/* Announces the owner of a group, or asks a VM whether it serves the group. */
struct ml_owner {
	ml_name pool;
	ml_name vm;
	ml_name address;
	unsigned hyper revision;
	bool serving;
	bool claim;
	bool unreachable;		/* the sender cannot reach the owner: the receiver should check it */
	ml_pos mark;			/* includes all writes acknowledged more than mark_age_us ago */
	unsigned hyper mark_age_us;
	ml_name primary;
};

/* Asks a VM to stop sending to a group's primary, because another VM has claimed the group. */
struct ml_yield_args {
	ml_name pool;
	unsigned hyper revision;
	ml_name vm;
	unsigned hyper quiet_us;	/* time without an answer of the primary to the sender; 0: stop unconditionally */
};

struct ml_yield_res {
	bool stopped;
	ml_name primary;		/* "": no primary known, or no contact with it yet */
	ml_pos acknowledged;
	unsigned hyper last_contact_age_us;	/* since the primary last answered the receiver */
};

/* Asks a VM whether it can connect to a member; answered by ml_none. */
struct ml_reach_args {
	ml_name pool;
	ml_name member;
};

/* As ml_tokens_args, for requests of one priority class. */
struct ml_tokens_class_args {
	ml_name team;
	unsigned int want;
	unsigned int priority;		/* of the requests; 0 is the most urgent */
	unsigned hyper patience_us;	/* how long the requests can wait for a token */
};

struct ml_tokens_class_res {
	unsigned int granted;
	unsigned hyper next_us;		/* time until the next token of the class that is not promised; 0: not known */
};

/* Connections that a reader would use on a member. */
struct ml_member_want {
	ml_name member;
	unsigned int connections;
	unsigned int in_flight;		/* statements of the reader in progress on it */
};

/* Asks the owner of a group for its newest mark and for the load of the members. */
struct ml_member_load_args {
	ml_name pool;
	ml_name vm;
	ml_name data_center;
	ml_member_want wants<ML_MEMBERS_MAX>;
};

struct ml_member_load {
	ml_name member;
	unsigned int in_flight;		/* statements of all senders in progress on it */
	unsigned int waiting;		/* statements that wait for it */
	unsigned int connections_left;
	unsigned int service_us[ML_CLASSES];	/* time of a statement by class; 0: not known */
	unsigned int granted;		/* connections that the reader may hold */
	bool unsteady;			/* slow, failing or flapping lately */
};

struct ml_member_load_res {
	bool serving;
	ml_pos mark;			/* includes all writes acknowledged more than mark_age_us ago */
	unsigned hyper mark_age_us;
	unsigned hyper owner_revision;
	ml_name primary;
	ml_member_load loads<ML_MEMBERS_MAX>;
};

/* Tells the owner that a statement of the team is about to follow. */
struct ml_preopen_args {
	ml_name pool;
	ml_name team;
	unsigned int priority;
	bool primary;
};

/* A statement that is sent through another VM, because the sender does not reach the receiver. */
struct ml_relay_args {
	ml_name to;			/* RPC address of the receiver */
	ml_name via;			/* name of the VM that sends it */
	unsigned int hops;		/* 1; a relayed statement is not relayed again */
	ml_run_args run;
};

struct ml_relay_res {
	bool tried;			/* false: it was not sent on */
	ml_run_res run;
};

/* Where the statements for a group's primary come from. */
struct ml_origin {
	ml_name data_center;
	double per_s;
};

/* Asks a VM where the primary of a group stands and why. */
struct ml_standing_args {
	ml_name pool;
};

struct ml_standing_res {
	bool own;
	ml_name primary;
	ml_name data_center;
	unsigned hyper moved_age_us;	/* since the primary was last moved on request or by plan; 0: not known */
	unsigned hyper changes_age_us;	/* since the last change of primary; 0: not known */
	ml_origin origins<ML_ORIGINS_MAX>;
	ml_text why;
};

/* Asks the owner of a group to move the primary to another data centre by a planned change. */
struct ml_move_primary_args {
	ml_name pool;
	ml_name data_center;
	bool dry_run;
	unsigned hyper revision;	/* of the group's record that the plan was made from */
};

struct ml_move_primary_res {
	bool ok;
	ml_text why;
};

/* Asks a VM for a plan of where primaries are to stand, and to carry it out. */
struct ml_rebalance_args {
	bool dry_run;
	ml_name pool;			/* "": all groups */
	ml_name data_center;		/* "": the plan chooses */
};

struct ml_status_res {
	ml_text json;
};

program MANGOLOOM_PROG {
	version MANGOLOOM_V1 {
		ml_heartbeat ML_HEARTBEAT(ml_heartbeat) = 1;
		ml_exec_res ML_EXEC(ml_exec_args) = 2;
		ml_member_res ML_MEMBER(ml_member_args) = 3;
		ml_order_res ML_ORDER(ml_order_args) = 4;
		ml_conf_res ML_CONF(ml_conf_args) = 5;
		ml_share_res ML_SHARE(ml_share_args) = 6;
		ml_commit_status_res ML_COMMIT_STATUS(ml_commit_status_args) = 7;
		ml_status_res ML_STATUS(void) = 8;
		ml_status_res ML_STOP(void) = 9;
		ml_none ML_REPORT_REQUEST(ml_report_request) = 10;
		ml_run_res ML_RUN(ml_run_args) = 11;
		ml_owner ML_OWNER(ml_owner) = 12;
		ml_yield_res ML_YIELD(ml_yield_args) = 13;
		ml_none ML_REACH(ml_reach_args) = 14;
		ml_tokens_res ML_TOKENS(ml_tokens_args) = 15;
		ml_tokens_class_res ML_TOKENS_CLASS(ml_tokens_class_args) = 16;
		ml_member_load_res ML_MEMBER_LOAD(ml_member_load_args) = 17;
		ml_none ML_PREOPEN(ml_preopen_args) = 18;
		ml_relay_res ML_RELAY(ml_relay_args) = 19;
		ml_standing_res ML_STANDING(ml_standing_args) = 20;
		ml_move_primary_res ML_MOVE_PRIMARY(ml_move_primary_args) = 21;
		ml_status_res ML_REBALANCE(ml_rebalance_args) = 22;
	} = 1;
} = 0x20004d4c;
