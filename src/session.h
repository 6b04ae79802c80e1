/**
 * @file session.h
 * A caller's session on the VM that it is connected to (the entry), for groups that are run by an
 * owner: identity of the caller, its values and prepared statements, its transaction, the log
 * position of its newest write, and the forwarding of each statement to the owner of its group.
 * Independent of the protocol of the caller.
 *
 * The owner of a database group is the VM that holds the connections to its members and manages its
 * primary. A pool is a database group as configured.
 */
#ifndef SESSION_H
#define SESSION_H

#include "kernel.h"
#include "outcome.h"
#include "statement.h"

struct session;

/** Answer to one statement. Valid until session_ops.answer returns. */
struct session_answer {
	enum outcome outcome;
	const char *message;
	const char *signature;
	const char *rows; /**< each row ends with a line feed */
	size_t rows_len;
	enum tx_state state;
	struct pos pos;		/**< log position of the last answer of a member */
	int64_t retry_after_us; /**< for a statement that has not run: when to retry; 0: at once */
	bool close;		/**< the session ends with this answer */
};

struct session_ops {
	void (*answer)(struct session *s, const struct session_answer *a, void *arg);
	/**
	 * The session must end: this VM shuts down, or its callers are better served elsewhere. It
	 * stays open, and is asked again, if its caller has sent something that was not read yet.
	 */
	void (*close)(struct session *s, void *arg);
};

struct service *session_service_create(struct kernel *k);
/** Returns whether new sessions are accepted. */
bool session_accepting(struct kernel *k);
/**
 * Opens a session on @a database for a caller that authenticates with @a key; "" is anonymous.
 * @return NULL on error, with the reason in @a why
 */
struct session *session_open(struct kernel *k, const char *database, const char *key,
			     const struct session_ops *ops, void *arg, enum outcome *why);
/** Runs a statement. Calls ops->answer, possibly before this function returns. */
void session_run(struct session *s, const struct statement *st);
bool session_busy(const struct session *s);
/** Closes the session after its caller has disconnected. Its ops are not called any more. */
void session_close(struct session *s);

#endif
