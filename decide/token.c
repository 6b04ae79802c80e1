/** @file token.c Session tokens, and whether the write that a token names was kept. */
#include "token.h"

#include <stdio.h>
#include <string.h>

static bool token_parse(const char *text, struct token *t)
{
	struct token parsed = {0};
	const char *colon;
	size_t len;
	char end;

	if (strncmp(text, "v1:", 3) != 0)
		return false;
	text += 3;
	colon = strchr(text, ':');
	if (colon == NULL)
		return false;
	len = (size_t)(colon - text);
	if (len == 0 || len >= sizeof(parsed.pool))
		return false;
	memcpy(parsed.pool, text, len);
	if (colon[1] < '0' || colon[1] > '9')
		return false;
	if (sscanf(colon + 1, "%20lu:%20lu%c", &parsed.pos.term, &parsed.pos.lsn, &end) != 2)
		return false;
	*t = parsed;
	return true;
}

bool token_set_parse(const char *text, struct token_set *s)
{
	struct token_set parsed = {0};
	char one[TOKEN_SIZE];

	while (*text != '\0') {
		size_t len = strcspn(text, ",+");

		if (strcmp(text, "+") == 0) {
			parsed.overflow = true;
			break;
		}
		if (len >= sizeof(one) || parsed.n == TOKEN_SET_MAX)
			return false;
		memcpy(one, text, len);
		one[len] = '\0';
		if (!token_parse(one, &parsed.token[parsed.n]))
			return false;
		parsed.n++;
		text += len;
		if (*text == ',')
			text++;
	}
	*s = parsed;
	return true;
}

void token_set_format(const struct token_set *s, char *buf)
{
	size_t at = 0;
	unsigned i;

	buf[0] = '\0';
	for (i = 0; i < s->n; i++) {
		const struct token *t = &s->token[i];

		at += (size_t)snprintf(buf + at, TOKEN_SIZE, "%sv1:%s:%lu:%lu", i > 0 ? "," : "",
				       t->pool, t->pos.term, t->pos.lsn);
	}
	if (s->overflow)
		strcpy(buf + at, "+");
}

static int token_set_index(const struct token_set *s, const char *pool)
{
	unsigned i;

	for (i = 0; i < s->n; i++) {
		if (strcmp(s->token[i].pool, pool) == 0)
			return (int)i;
	}
	return -1;
}

struct pos token_set_find(const struct token_set *s, const char *pool)
{
	int i = token_set_index(s, pool);

	return i >= 0 ? s->token[i].pos : (struct pos){0};
}

void token_set_remove(struct token_set *s, const char *pool)
{
	int i = token_set_index(s, pool);

	if (i < 0)
		return;
	s->n--;
	memmove(&s->token[i], &s->token[i + 1], sizeof(s->token[0]) * (s->n - (unsigned)i));
}

void token_set_advance(struct token_set *s, const char *pool, struct pos pos)
{
	int i = token_set_index(s, pool);

	if (i >= 0) {
		if (pos_cmp(pos, s->token[i].pos) > 0)
			s->token[i].pos = pos;
		return;
	}
	if (s->n == TOKEN_SET_MAX) {
		/*
		 * Reads of the session must still include the write whose token is dropped here,
		 * which the overflow flag ensures.
		 */
		token_set_remove(s, s->token[0].pool);
		s->overflow = true;
	}
	snprintf(s->token[s->n].pool, sizeof(s->token[0].pool), "%s", pool);
	s->token[s->n].pos = pos;
	s->n++;
}

enum token_status token_status(struct pos pos, const struct term_history *h)
{
	unsigned i;

	/*
	 * A write of term T is kept if the first later term starts at or after its position. If a
	 * later term starts before it, the write was discarded, and the session must get an error
	 * instead of reading data without its write.
	 */
	for (i = 0; i < h->n; i++) {
		if (h->start[i].term <= pos.term)
			continue;
		return h->start[i].lsn >= pos.lsn ? TOKEN_KEPT : TOKEN_LOST;
	}
	return TOKEN_KEPT;
}

enum token_status token_status_in_term(struct pos pos, uint64_t term, const struct term_history *h)
{
	uint64_t known = h->n > 0 ? h->start[h->n - 1].term : 0;

	/*
	 * A promotion that is not in the known history may have discarded the write. Without its
	 * start position the write would seem kept, and the session would read data without it and
	 * get no error.
	 */
	if (term > pos.term && known < term)
		return TOKEN_UNKNOWN;
	return token_status(pos, h);
}

void term_history_add(struct term_history *h, uint64_t term, uint64_t lsn)
{
	if (h->n > 0 && h->start[h->n - 1].term >= term)
		return;
	if (h->n == TERM_HISTORY_MAX) {
		memmove(&h->start[0], &h->start[1], sizeof(h->start[0]) * (TERM_HISTORY_MAX - 1));
		h->n--;
	}
	h->start[h->n].term = term;
	h->start[h->n].lsn = lsn;
	h->n++;
}
