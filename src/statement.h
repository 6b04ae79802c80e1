/**
 * @file statement.h
 * One statement of a caller, whatever protocol it came by. Texts are opaque: they reach the member
 * as the caller sent them.
 */
#ifndef STATEMENT_H
#define STATEMENT_H

#include "types.h"

/** Longest id that a caller gives a statement, with its end byte. */
#define REQUEST_SIZE 128

enum statement_op {
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_EXECUTE, /**< a prepared read or write */
	STATEMENT_BEGIN,
	STATEMENT_BEGIN_READ, /**< a transaction that only reads */
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_SET, /**< a value of the session */
	STATEMENT_PREPARE,
	STATEMENT_DEALLOCATE,
	STATEMENT_RESET, /**< forget values and prepared names; only sent to members */
	STATEMENT_BAD,	 /**< no statement that is served */
};

struct statement {
	enum statement_op op;
	char request[REQUEST_SIZE]; /**< the caller's id */
	char *text;		    /**< the whole statement */
	char *name;		    /**< of a value or of a prepared statement */
	char *operand; /**< the value, the prepared shape, or what a prepared one runs on */
	bool write;    /**< of a prepared statement */
};

/** Whether a statement outside of BEGIN and COMMIT writes; @a write tells it of a prepared one. */
static inline bool statement_writes(enum statement_op op, bool write)
{
	return op == STATEMENT_WRITE || (op == STATEMENT_EXECUTE && write);
}

/** How a connection to a member stands with regard to transactions. */
enum tx_state { TX_NONE, TX_OPEN, TX_FAILED };

/** How new the data must be that reads of a route see. */
enum read_mode {
	READ_DECLARED, /**< by the route's `write` and `max_age_ms`, and the session's token */
	READ_PRIMARY,  /**< all acknowledged writes */
	READ_BOUNDED,  /**< all writes acknowledged more than max_age_ms ago */
	READ_SESSION,  /**< the same, and all of the session's own */
};

#endif
