/**
 * @file member.h
 * One connection to a database member whose group is led from outside: it reports its role, its
 * term and its log's position, and does as it is told. A small vtable, so that the logic above it
 * can be run with a fake.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include "kernel.h"
#include "statement.h"

struct member_conn;

/** How one statement ended at a member. */
enum member_result {
	MEMBER_DONE,
	MEMBER_BUSY,	  /**< not run: no slot, no place in its queue */
	MEMBER_NO_NAME,	  /**< not run: the prepared name is unknown there */
	MEMBER_BEHIND,	  /**< not run: its log lacks the position that was asked for */
	MEMBER_READ_ONLY, /**< not run: it does not lead */
	MEMBER_MISROUTED, /**< not run: another member, or another group, is at the address */
	MEMBER_FULL,	  /**< not run: it takes no more connections */
	MEMBER_FAILED,	  /**< it ran, and failed */
	MEMBER_TIMEOUT,	  /**< it ran, and was ended */
	MEMBER_REJECTED,  /**< another error of the member */
	MEMBER_LOST,	  /**< the connection ended, or fell silent, before the answer was whole */
};

struct member_answer {
	enum member_result result;
	const char *message;   /**< of an error, or "" */
	const char *signature; /**< the member's mark on a success, or "" */
	const char *rows;      /**< each row ends with a line feed */
	size_t rows_len;
	enum tx_state state;
	struct pos pos; /**< of the member's log after the statement; term 0 for none */
	/** What came before the statement failed: its connection is not as it should be. */
	bool prelude_failed;
};

/** What a member says of itself. */
struct member_status {
	bool primary;
	uint64_t term;	     /**< newest term that it knows of */
	struct pos received; /**< newest record that it holds */
	int64_t lag_us;
	unsigned busy;
	unsigned connections;
};

/** One command; several go out in one write. */
struct member_command {
	enum statement_op op;
	const char *request; /**< the caller's id; NULL for a command of our own */
	const char *text;    /**< for a caller's statement that is sent as it came */
	const char *name;    /**< of a value or prepared statement */
	const char *operand; /**< see struct statement */
	bool write;	     /**< of a prepared statement */
	struct pos wait_for; /**< a read, or the begin of one, that needs this position */
};

enum member_order {
	MEMBER_LOOK,	  /**< only tell the status */
	MEMBER_PAUSE,	  /**< receive nothing more from a primary of a lower term */
	MEMBER_STEP_DOWN, /**< a primary of a lower term becomes a replica */
};

/** An idle connection has ended. */
typedef void (*member_closed)(struct member_conn *c, void *arg);
typedef void (*member_opened)(struct member_conn *c, enum member_result result, struct pos pos,
			      void *arg);
typedef void (*member_answered)(struct member_conn *c, const struct member_answer *a, void *arg);
/** @a status is NULL unless @a result is MEMBER_DONE. */
typedef void (*member_told)(struct member_conn *c, enum member_result result,
			    const struct member_status *status, void *arg);

struct member_ops {
	/**
	 * Connect as @a team to the member @a id of @a pool; @a cb is called once, from the loop.
	 * All callbacks of the connection get @a arg.
	 */
	struct member_conn *(*open)(struct kernel *k, const char *address, const char *pool,
				    const char *team, const char *id, member_opened cb,
				    member_closed closed, void *arg);
	/** Send @a n commands on an idle connection; @a cb gets the answer to the last one. */
	void (*run)(struct member_conn *c, const struct member_command *commands, unsigned n,
		    member_answered cb);
	void (*order)(struct member_conn *c, enum member_order order, uint64_t term,
		      member_told cb);
	/** Close at once; no callback is called any more. */
	void (*close)(struct member_conn *c);
};

/** First member of each kind of connection. */
struct member_conn {
	const struct member_ops *ops;
};

const char *member_result_name(enum member_result r);

#endif
