/**
 * @file token.h
 * The session token: proof of the last write that a session saw acknowledged, carried by the caller
 * between VMs. Text form: "v1:<pool>:<term>:<lsn>", at most TOKEN_SIZE - 1 bytes.
 */
#ifndef DECIDE_TOKEN_H
#define DECIDE_TOKEN_H

#include "types.h"

#define TOKEN_SIZE (NAME_SIZE + 48)

struct token {
	char pool[NAME_SIZE];
	struct pos pos;
};

/**
 * Most past terms that a member reports. An older token is answered by the primary's oldest entry.
 */
#define TERM_HISTORY_MAX 8

/**
 * Where each term began: the first record of @a term is the one after @a start_lsn. Ascending by
 * term.
 */
struct term_history {
	unsigned n;
	struct pos start[TERM_HISTORY_MAX];
};

enum token_fate {
	TOKEN_KEPT,    /**< the write is in the surviving log */
	TOKEN_LOST,    /**< a promotion discarded the write */
	TOKEN_UNKNOWN, /**< nothing is known of the log's newest term */
};

/** Most pools that one session's token names. */
#define TOKEN_SET_MAX 16
#define TOKEN_SET_SIZE (TOKEN_SET_MAX * TOKEN_SIZE + 2)

/**
 * A session's writes in several pools. Text form: tokens joined by ",", and "+" at the end for
 * writes left out.
 */
struct token_set {
	unsigned n;
	bool overflow; /**< the session wrote to more pools than are named */
	struct token token[TOKEN_SET_MAX];
};

/**
 * Parse a token's text; an empty one is the set without tokens. @return false, with @a s
 * untouched, for another text.
 */
bool token_set_parse(const char *text, struct token_set *s);
/** Write a set's text to @a buf of TOKEN_SET_SIZE bytes. */
void token_set_format(const struct token_set *s, char *buf);
/** The session's position in @a pool; term 0 for none. */
struct pos token_set_find(const struct token_set *s, const char *pool);
/** Note a write in @a pool. Positions only rise. */
void token_set_advance(struct token_set *s, const char *pool, struct pos pos);
/** Forget @a pool, whose write is known to be lost. */
void token_set_remove(struct token_set *s, const char *pool);

/** Whether the write at @a pos is still in the log whose terms began as @a h tells. */
enum token_fate token_fate(struct pos pos, const struct term_history *h);

/** The same in a log that has records of @a term, of which @a h may not have heard yet. */
enum token_fate token_fate_in(struct pos pos, uint64_t term, const struct term_history *h);

/** Note in @a h that @a term began after @a lsn; the oldest entry makes room. */
void term_history_add(struct term_history *h, uint64_t term, uint64_t lsn);

#endif
