/**
 * @file member.h
 * A connection to a member, that is, a database server of a group, either the primary or a replica.
 * The members elect no leader themselves: a member reports its role, term and log position, and
 * follows orders to pause replication or to step down. The operations are a vtable, so that tests
 * can replace members by a fake.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include "kernel.h"
#include "statement.h"

struct member_conn;

/** Result of a command at a member. */
enum member_result {
	MEMBER_DONE,
	MEMBER_BUSY,	  /**< not run: no free slot, and the queue is full */
	MEMBER_NO_NAME,	  /**< not run: no prepared statement has this name */
	MEMBER_BEHIND,	  /**< not run: its log has not reached the required position */
	MEMBER_READ_ONLY, /**< not run: it is not the primary */
	MEMBER_MISROUTED, /**< not run: the address belongs to another member or group */
	MEMBER_FULL,	  /**< not run: its connection limit is reached */
	MEMBER_FAILED,	  /**< it ran and failed */
	MEMBER_TIMEOUT,	  /**< it ran and was cancelled by a time-out */
	MEMBER_REJECTED,  /**< any other error of the member */
	MEMBER_LOST, /**< the connection was lost, or stopped answering, before the complete answer
		      */
};

struct member_answer {
	enum member_result result;
	const char *message;   /**< text of an error, or "" */
	const char *signature; /**< signature that the member adds to a success, or "" */
	const char *rows;      /**< each row is terminated by a line feed */
	size_t rows_len;
	enum tx_state state;
	struct pos pos; /**< log position of the member after the statement; term 0: not reported */
	/** A command before the statement failed, so the session state is incomplete. */
	bool setup_failed;
};

/** Status that a member reports. */
struct member_status {
	bool primary;
	uint64_t term;	     /**< newest term that it has seen; on a primary its own */
	struct pos received; /**< position of the newest log record that it has */
	int64_t lag_us;
	unsigned busy;
	unsigned connections;
};

/** One command to a member; several are sent in one write. */
struct member_command {
	enum statement_op op;
	const char *request; /**< id that the caller gave; NULL for a command of the proxy itself */
	const char *text; /**< a caller's statement that is forwarded unchanged; NULL otherwise */
	const char *name; /**< of a setting or prepared statement */
	const char *operand; /**< see struct statement */
	bool write;	     /**< of a prepared statement */
	struct pos wait_for; /**< position that a read needs before it runs; term 0: none */
};

enum member_order {
	MEMBER_REPORT_STATUS,
	MEMBER_PAUSE,	  /**< stop replicating from a primary of a lower term */
	MEMBER_STEP_DOWN, /**< become a replica if it is a primary of a lower term */
};

/** Called when an idle connection was closed by the member or lost. */
typedef void (*member_closed)(struct member_conn *c, void *arg);
typedef void (*member_opened)(struct member_conn *c, enum member_result result, struct pos pos,
			      void *arg);
typedef void (*member_answered)(struct member_conn *c, const struct member_answer *a, void *arg);
/** @a status is NULL unless @a result is MEMBER_DONE. */
typedef void (*member_order_done)(struct member_conn *c, enum member_result result,
				  const struct member_status *status, void *arg);

struct member_ops {
	/**
	 * Connects as @a team to the member @a id of @a pool. @a cb is called once, from the event
	 * loop. All callbacks of the connection get @a arg.
	 */
	struct member_conn *(*open)(struct kernel *k, const char *address, const char *pool,
				    const char *team, const char *id, member_opened cb,
				    member_closed closed, void *arg);
	/** Sends @a n commands on an idle connection; @a cb gets the answer to the last one. */
	void (*run)(struct member_conn *c, const struct member_command *commands, unsigned n,
		    member_answered cb);
	void (*order)(struct member_conn *c, enum member_order order, uint64_t term,
		      member_order_done cb);
	/** Closes the connection immediately; no callback is called afterwards. */
	void (*close)(struct member_conn *c);
};

/** First field of each implementation's connection. */
struct member_conn {
	const struct member_ops *ops;
};

const char *member_result_name(enum member_result r);

#endif
