/**
 * @file token.h
 * Session tokens. A session token names the log position of the last write that was acknowledged to
 * a session in a pool (a database group as configured); the caller carries it between VMs. Text
 * form: "v1:<pool>:<term>:<lsn>", at most TOKEN_SIZE - 1 bytes.
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
 * Maximum number of terms that a member reports. A token of an earlier term is checked against the
 * oldest reported term.
 */
#define TERM_HISTORY_MAX 8

/**
 * Start positions of the terms of a log: the first record of start[i].term is the one after
 * start[i].lsn. Ascending by term.
 */
struct term_history {
	unsigned n;
	struct pos start[TERM_HISTORY_MAX];
};

enum token_status {
	TOKEN_KEPT,    /**< the write is in the log */
	TOKEN_LOST,    /**< a promotion discarded the write */
	TOKEN_UNKNOWN, /**< the start of the log's newest term is not known */
};

/** Maximum number of pools in a token set. */
#define TOKEN_SET_MAX 16
#define TOKEN_SET_SIZE (TOKEN_SET_MAX * TOKEN_SIZE + 2)

/**
 * The tokens of a session, one per pool. Text form: tokens joined by ",", with "+" at the end if
 * tokens were left out.
 */
struct token_set {
	unsigned n;
	bool overflow; /**< the session wrote to more pools than are named */
	struct token token[TOKEN_SET_MAX];
};

/**
 * Parses the text form of a token set; empty text is the empty set.
 * @return false if the text is malformed; @a s is unchanged then
 */
bool token_set_parse(const char *text, struct token_set *s);
/** Writes the text form of a set to @a buf of TOKEN_SET_SIZE bytes. */
void token_set_format(const struct token_set *s, char *buf);
/** @return the session's position in @a pool; term 0 if there is none */
struct pos token_set_find(const struct token_set *s, const char *pool);
/** Records a write in @a pool. A lower position than the recorded one is ignored. */
void token_set_advance(struct token_set *s, const char *pool, struct pos pos);
/** Removes @a pool, whose write is known to be lost. */
void token_set_remove(struct token_set *s, const char *pool);

/** Checks whether the write at @a pos is in the log with term history @a h. */
enum token_status token_status(struct pos pos, const struct term_history *h);

/**
 * Checks whether the write at @a pos is in a log that has records of @a term; the term history @a h
 * of that log may be outdated and lack @a term.
 */
enum token_status token_status_in_term(struct pos pos, uint64_t term, const struct term_history *h);

/** Adds to @a h that @a term starts after @a lsn; drops the oldest entry if @a h is full. */
void term_history_add(struct term_history *h, uint64_t term, uint64_t lsn);

#endif
