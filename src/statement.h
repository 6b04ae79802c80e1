/**
 * @file statement.h
 * One statement of a caller, independent of the protocol. Texts are opaque: they are sent to the
 * member unchanged. A member is a database server of a group.
 */
#ifndef STATEMENT_H
#define STATEMENT_H

#include "types.h"

/** Size of the id that a caller gives a statement, with the null byte. */
#define REQUEST_SIZE 128

enum statement_op {
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_EXECUTE, /**< a prepared statement, read or write */
	STATEMENT_BEGIN,
	STATEMENT_BEGIN_READ, /**< starts a read-only transaction */
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_SET, /**< sets a value of the session */
	STATEMENT_PREPARE,
	STATEMENT_DEALLOCATE,
	STATEMENT_RESET, /**< drops values and prepared statements; only sent to members */
	STATEMENT_BAD,	 /**< invalid or not supported */
};

struct statement {
	enum statement_op op;
	char request[REQUEST_SIZE]; /**< id given by the caller */
	char *text;		    /**< the full statement */
	char *name;		    /**< of a value or of a prepared statement */
	char *operand; /**< the value, the shape to prepare, or the argument of EXECUTE */
	bool write;    /**< of a prepared statement */
};

/**
 * Returns whether a statement other than BEGIN and COMMIT writes. @param write whether the prepared
 * statement writes, for EXECUTE
 */
static inline bool statement_writes(enum statement_op op, bool write)
{
	return op == STATEMENT_WRITE || (op == STATEMENT_EXECUTE && write);
}

/** Transaction state of a session or of a connection to a member. */
enum tx_state { TX_NONE, TX_OPEN, TX_FAILED };

/** Which data the reads of a route must see. */
enum read_mode {
	READ_DECLARED, /**< by `write` and `max_age_ms` of the route, and the session token */
	READ_PRIMARY,  /**< all acknowledged writes */
	READ_BOUNDED,  /**< all writes acknowledged more than max_age_ms ago */
	READ_SESSION,  /**< as READ_BOUNDED, and all writes of the session */
};

#endif
