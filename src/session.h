/**
 * @file session.h
 * A caller's session on the VM that it is connected to, for groups that one VM owns: who the caller
 * is, its values and prepared statements, its transaction, its newest write, and the way of each
 * statement to the owner of its group. It knows nothing of the caller's protocol.
 */
#ifndef SESSION_H
#define SESSION_H

#include "kernel.h"
#include "outcome.h"
#include "statement.h"

struct session;

/** The answer to one statement. Lives until the function that is handed it returns. */
struct session_answer {
	enum outcome outcome;
	const char *message;
	const char *signature;
	const char *rows; /**< each row ends with a line feed */
	size_t rows_len;
	enum tx_state state;
	struct pos pos;
	int64_t retry_after_us; /**< when to come back, for a statement that has not run; 0: at once
				 */
	bool close;		/**< the session ends with this answer */
};

struct session_ops {
	void (*answer)(struct session *s, const struct session_answer *a, void *arg);
	/** The session has nothing open and must end: this VM leaves, or its key is gone. */
	void (*close)(struct session *s, void *arg);
};

struct service *session_service_create(struct kernel *k);
/** Whether new sessions are taken. */
bool session_accepting(struct kernel *k);
/**
 * Open a session of the caller that showed @a key, on @a database.
 * @return NULL with the reason in @a why
 */
struct session *session_open(struct kernel *k, const char *database, const char *key,
			     const struct session_ops *ops, void *arg, enum outcome *why);
/** Run a statement; the answer comes by ops->answer, maybe before this returns. */
void session_run(struct session *s, const struct statement *st);
bool session_busy(const struct session *s);
/** The caller is gone. No function of its ops is called any more. */
void session_close(struct session *s);

#endif
