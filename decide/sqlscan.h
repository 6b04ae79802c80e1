/**
 * @file sqlscan.h
 * Scans the text of a query just as far as needed to recognise transaction control and settings.
 * This is no SQL parser: whether a statement reads or writes is defined by its route alone.
 */
#ifndef DECIDE_SQLSCAN_H
#define DECIDE_SQLSCAN_H

#include "types.h"

enum stmt_class {
	STMT_EMPTY,
	STMT_BEGIN,
	STMT_COMMIT,
	STMT_ROLLBACK,
	STMT_SET,
	STMT_SHOW,
	STMT_RESET,
	STMT_UNSUPPORTED, /**< not supported: would leave state on a shared connection, or needs a
			     part of the protocol that is not implemented */
	STMT_OTHER,
};

/** Contents of one simple query. */
struct stmt_scan {
	enum stmt_class class;
	unsigned statements; /**< non-empty statements, split at semicolons outside quotes */
	bool has_control;    /**< there are several statements, and one is not STMT_OTHER */
};

/** Scan the query @a text. */
struct stmt_scan sqlscan(const char *text);

/**
 * Parse "SET name = value" or "SET name TO value"; single quotes around the value are removed.
 * @return false when the text has another form or the value is too long.
 */
bool sqlscan_set(const char *text, char *name, size_t name_size, char *value, size_t value_size);

/** Extract the name of "SHOW name" or "RESET name". @return false when there is none. */
bool sqlscan_name(const char *text, char *name, size_t name_size);

#endif
