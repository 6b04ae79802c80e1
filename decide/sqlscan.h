/**
 * @file sqlscan.h
 * Just enough of a look at a statement's text to keep transactions apart. This is no SQL parser:
 * whether a statement reads or writes is told by its route alone.
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
	STMT_UNSERVED, /**< would leave state on a shared connection, or needs a protocol that is
			  not served */
	STMT_OTHER,
};

/** What one simple query holds. */
struct stmt_scan {
	enum stmt_class class;
	unsigned statements; /**< non-empty statements, split at semicolons outside quotes */
	bool control_inside; /**< one of several statements begins, ends or sets */
};

/** Look at @a text. */
struct stmt_scan sqlscan(const char *text);

/**
 * Take "SET name = value" or "SET name TO value" apart; quotes around the value are removed.
 * @return false when the text is of another shape.
 */
bool sqlscan_set(const char *text, char *name, size_t name_size, char *value, size_t value_size);

/** The name in "SHOW name" or "RESET name". @return false when there is none. */
bool sqlscan_name(const char *text, char *name, size_t name_size);

#endif
