/** @file sqlscan.c Split a query at semicolons and classify each statement by its first word. */
#include "sqlscan.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

struct keyword {
	const char *word;
	enum stmt_class class;
};

static const struct keyword keywords[] = {
	{"begin", STMT_BEGIN},
	{"start", STMT_BEGIN},
	{"commit", STMT_COMMIT},
	{"end", STMT_COMMIT},
	{"rollback", STMT_ROLLBACK},
	{"abort", STMT_ROLLBACK},
	{"set", STMT_SET},
	{"show", STMT_SHOW},
	{"reset", STMT_RESET},
	{"copy", STMT_UNSUPPORTED},
	{"listen", STMT_UNSUPPORTED},
	{"unlisten", STMT_UNSUPPORTED},
	{"prepare", STMT_UNSUPPORTED},
	{"execute", STMT_UNSUPPORTED},
	{"deallocate", STMT_UNSUPPORTED},
	{"declare", STMT_UNSUPPORTED},
	{"discard", STMT_UNSUPPORTED},
	{"load", STMT_UNSUPPORTED},
	{"call", STMT_UNSUPPORTED},
};

/** Skip a "--" or nested slash-star comment at @a p. @return the first byte after it, or @a p. */
static const char *skip_comment(const char *p)
{
	int depth = 0;

	if (p[0] == '-' && p[1] == '-') {
		while (*p != '\0' && *p != '\n')
			p++;
		return p;
	}
	if (p[0] != '/' || p[1] != '*')
		return p;
	do {
		if (p[0] == '/' && p[1] == '*') {
			depth++;
			p += 2;
		} else if (p[0] == '*' && p[1] == '/') {
			depth--;
			p += 2;
		} else {
			p++;
		}
	} while (depth > 0 && *p != '\0');
	return p;
}

/** Skip white space and comments. */
static const char *skip_blank(const char *p)
{
	for (;;) {
		const char *next = p;

		while (isspace((unsigned char)*next))
			next++;
		next = skip_comment(next);
		if (next == p)
			return p;
		p = next;
	}
}

/**
 * Skip a quoted string or identifier that opens at @a p. A backslash escapes only in an E''
 * string.
 */
static const char *skip_quoted(const char *p, bool escapes)
{
	char quote = *p++;

	while (*p != '\0') {
		if (escapes && *p == '\\' && p[1] != '\0') {
			p += 2;
			continue;
		}
		if (*p == quote)
			return p + 1;
		p++;
	}
	return p;
}

/** Skip a dollar-quoted string that opens at @a p. @return @a p + 1 if none opens there. */
static const char *skip_dollar(const char *p)
{
	const char *tag_end = p + 1;
	const char *close;
	char tag[NAME_SIZE];
	size_t len;

	while (isalnum((unsigned char)*tag_end) || *tag_end == '_')
		tag_end++;
	len = (size_t)(tag_end - p) + 1;
	if (*tag_end != '$' || isdigit((unsigned char)p[1]) || len >= sizeof(tag))
		return p + 1;
	memcpy(tag, p, len);
	tag[len] = '\0';
	close = strstr(tag_end + 1, tag);
	return close != NULL ? close + len : p + strlen(p);
}

/** @return the first semicolon outside quotes and comments, or the end of the text. */
static const char *statement_end(const char *p)
{
	const char *start = p;

	while (*p != '\0' && *p != ';') {
		const char *after = skip_comment(p);

		if (after != p)
			p = after;
		else if (*p == '\'')
			p = skip_quoted(p, p > start && (p[-1] == 'E' || p[-1] == 'e'));
		else if (*p == '"')
			p = skip_quoted(p, false);
		else if (*p == '$')
			p = skip_dollar(p);
		else
			p++;
	}
	return p;
}

static enum stmt_class statement_class(const char *p)
{
	size_t len = 0;
	unsigned i;

	while (isalpha((unsigned char)p[len]) || p[len] == '_')
		len++;
	for (i = 0; i < sizeof(keywords) / sizeof(keywords[0]); i++) {
		const struct keyword *k = &keywords[i];

		if (strlen(k->word) == len && strncasecmp(k->word, p, len) == 0)
			return k->class;
	}
	return STMT_OTHER;
}

struct stmt_scan sqlscan(const char *text)
{
	struct stmt_scan scan = {.class = STMT_EMPTY};
	bool control = false;

	for (;;) {
		enum stmt_class class;

		text = skip_blank(text);
		while (*text == ';')
			text = skip_blank(text + 1);
		if (*text == '\0')
			break;
		class = statement_class(text);
		if (scan.statements == 0)
			scan.class = class;
		if (class != STMT_OTHER)
			control = true;
		if (class == STMT_UNSUPPORTED)
			scan.class = STMT_UNSUPPORTED;
		scan.statements++;
		text = statement_end(text);
	}
	scan.has_control = scan.statements > 1 && control;
	return scan;
}

/** Copy the word at @a p in lower case, truncated to @a size. @return the first byte after it. */
static const char *copy_word(const char *p, char *out, size_t size)
{
	size_t len = 0;

	while (isalnum((unsigned char)*p) || *p == '_' || *p == '.') {
		if (len + 1 < size)
			out[len++] = (char)tolower((unsigned char)*p);
		p++;
	}
	out[len] = '\0';
	return p;
}

bool sqlscan_set(const char *text, char *name, size_t name_size, char *value, size_t value_size)
{
	const char *p = skip_blank(skip_blank(text) + strlen("set"));
	const char *end;
	size_t len;

	p = copy_word(p, name, name_size);
	if (strcmp(name, "session") == 0)
		p = copy_word(skip_blank(p), name, name_size);
	p = skip_blank(p);
	if (*p == '=')
		p++;
	else if (strncasecmp(p, "to", 2) == 0 && isspace((unsigned char)p[2]))
		p += 2;
	else
		return false;
	p = skip_blank(p);
	end = statement_end(p);
	while (end > p && isspace((unsigned char)end[-1]))
		end--;
	if (end - p >= 2 && *p == '\'' && end[-1] == '\'') {
		p++;
		end--;
	}
	len = (size_t)(end - p);
	if (len >= value_size)
		return false;
	memcpy(value, p, len);
	value[len] = '\0';
	return name[0] != '\0';
}

bool sqlscan_name(const char *text, char *name, size_t name_size)
{
	char verb[16];
	const char *p = copy_word(skip_blank(text), verb, sizeof(verb));

	copy_word(skip_blank(p), name, name_size);
	return name[0] != '\0';
}
