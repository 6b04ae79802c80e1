/**
 * @file caller-setting.c
 * Settings of a session. The mangoloom.* settings control the proxy; a few settings of PostgreSQL
 * are accepted but have a fixed value.
 */
#include "caller.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/** Maximum of a setting that is a time: one day. */
#define SETTING_MS_MAX 86400000L

static bool set_kind(struct caller *c, const char *value)
{
	if (strlen(value) >= sizeof(c->kind) || strcmp(value, "*") == 0)
		return false;
	g_strlcpy(c->kind, value, sizeof(c->kind));
	return true;
}

static bool set_once(struct caller *c, const char *value)
{
	size_t len = strlen(value);

	if (len >= sizeof(c->once))
		return false;
	/*
	 * The once-id becomes a literal in an SQL statement of the proxy, so only characters that
	 * need no escaping are accepted.
	 */
	if (strspn(value, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") !=
	    len)
		return false;
	g_strlcpy(c->once, value, sizeof(c->once));
	return true;
}

static bool parse_ms(const char *value, int64_t *us)
{
	char *end;
	long ms = strtol(value, &end, 10);

	if (end == value || *end != '\0' || ms < 0 || ms > SETTING_MS_MAX)
		return false;
	*us = ms * USEC_PER_MSEC;
	return true;
}

static bool set_max_age(struct caller *c, const char *value)
{
	if (value[0] == '\0') {
		c->max_age_us = -1;
		return true;
	}
	return parse_ms(value, &c->max_age_us);
}

static bool set_deadline(struct caller *c, const char *value)
{
	return parse_ms(value[0] != '\0' ? value : "0", &c->deadline_us);
}

static bool set_session(struct caller *c, const char *value)
{
	struct token_set set = {0};
	unsigned i;

	if (!token_set_parse(value, &set))
		return false;
	if (c->tokens == NULL)
		c->tokens = g_new0(struct token_set, 1);
	/* A token only moves the positions of the session forward, never back. */
	for (i = 0; i < set.n; i++)
		token_set_advance(c->tokens, set.token[i].pool, set.token[i].pos);
	c->tokens->overflow = c->tokens->overflow || set.overflow;
	return true;
}

static void show_kind(const struct caller *c, char *buf)
{
	g_strlcpy(buf, c->kind, CALLER_VALUE_SIZE);
}

static void show_once(const struct caller *c, char *buf)
{
	g_strlcpy(buf, c->once, CALLER_VALUE_SIZE);
}

static void show_max_age(const struct caller *c, char *buf)
{
	buf[0] = '\0';
	if (c->max_age_us >= 0)
		g_snprintf(buf, CALLER_VALUE_SIZE, "%ld", (long)(c->max_age_us / USEC_PER_MSEC));
}

static void show_deadline(const struct caller *c, char *buf)
{
	g_snprintf(buf, CALLER_VALUE_SIZE, "%ld", (long)(c->deadline_us / USEC_PER_MSEC));
}

static void show_session(const struct caller *c, char *buf)
{
	buf[0] = '\0';
	if (c->tokens != NULL)
		token_set_format(c->tokens, buf);
}

static const struct {
	const char *name;
	bool (*set)(struct caller *c, const char *value);
	void (*show)(const struct caller *c, char *buf);
	const char *allowed;
} settings[] = {
	{"mangoloom.kind", set_kind, show_kind, "the name of a kind of request"},
	{"mangoloom.once", set_once, show_once, "up to 63 letters, digits, '-', '_', '.' or ':'"},
	{"mangoloom.max_age_ms", set_max_age, show_max_age,
	 "a whole number of milliseconds, or nothing"},
	{"mangoloom.deadline_ms", set_deadline, show_deadline, "a whole number of milliseconds"},
	{"mangoloom.session", set_session, show_session, "a token as ParameterStatus told it"},
};

/**
 * Settings that client libraries send by default. They are not passed on to the database, since
 * connections are shared between sessions. Each has one value, listed in its accepted spellings,
 * and any other value is refused, so that no caller relies on a setting without effect. Settings
 * with an empty list accept any value.
 */
static const struct {
	const char *name;
	const char *values[6];
} fixed_settings[] = {
	{"client_encoding", {"utf8", "utf-8", "unicode", "'utf8'", NULL}},
	{"datestyle", {"iso", "iso, mdy", "iso,mdy", NULL}},
	{"timezone", {"utc", "gmt", "etc/utc", NULL}},
	{"intervalstyle", {"postgres", NULL}},
	{"standard_conforming_strings", {"on", "true", NULL}},
	{"extra_float_digits", {NULL}},
	{"application_name", {NULL}},
	{"client_min_messages", {NULL}},
	{"bytea_output", {"hex", NULL}},
};

static bool set_fixed(const char *name, const char *value, const char **why)
{
	unsigned i, j;

	for (i = 0; i < G_N_ELEMENTS(fixed_settings); i++) {
		if (strcasecmp(fixed_settings[i].name, name) != 0)
			continue;
		if (fixed_settings[i].values[0] == NULL)
			return true;
		for (j = 0; fixed_settings[i].values[j] != NULL; j++) {
			if (strcasecmp(fixed_settings[i].values[j], value) == 0)
				return true;
		}
		*why = "another value than this proxy's is not served";
		return false;
	}
	*why = "this setting is not served: connections are shared between sessions";
	return false;
}

bool caller_set(struct caller *c, const char *name, const char *value, const char **why)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(settings); i++) {
		if (strcasecmp(settings[i].name, name) != 0)
			continue;
		*why = settings[i].allowed;
		return settings[i].set(c, value);
	}
	return set_fixed(name, value, why);
}

bool caller_show(const struct caller *c, const char *name, char *buf)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(settings); i++) {
		if (strcasecmp(settings[i].name, name) != 0)
			continue;
		settings[i].show(c, buf);
		return true;
	}
	for (i = 0; i < G_N_ELEMENTS(fixed_settings); i++) {
		if (strcasecmp(fixed_settings[i].name, name) != 0)
			continue;
		g_strlcpy(buf,
			  fixed_settings[i].values[0] != NULL ? fixed_settings[i].values[0] : "",
			  CALLER_VALUE_SIZE);
		return true;
	}
	return false;
}
