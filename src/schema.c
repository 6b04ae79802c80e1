/** @file schema.c Reading, checking and writing of documents by tables of fields. */
#include "schema.h"

#include "error.h"
#include "json-text.h"
#include "net.h"
#include "toml-shim.h"
#include "types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

JsonObject *schema_parse(const char *file, const char *text, GError **error)
{
	JsonParser *parser = json_parser_new();
	char problem[256] = "";
	JsonObject *o = NULL;
	char *json;

	json = toml_shim_to_json(text, problem, sizeof(problem));
	if (json == NULL) {
		g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS, "%s: %s", file, problem);
		goto out;
	}
	if (!json_text_load(parser, json, -1, error))
		goto out;
	o = json_object_ref(json_node_get_object(json_parser_get_root(parser)));
out:
	free(json);
	g_object_unref(parser);
	return o;
}

JsonObject *schema_load(const char *path, GError **error)
{
	JsonObject *o;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, error))
		return NULL;
	o = schema_parse(path, text, error);
	g_free(text);
	return o;
}

/** Sets the error for an invalid value. @return FALSE, for use in a return statement */
static gboolean wrong(GError **error, const char *where, const char *key, const char *found,
		      const char *allowed)
{
	g_set_error(error, ML_ERROR, ML_ERROR_SETTINGS, "%s: %s: found %s; allowed: %s", where, key,
		    found, allowed);
	return FALSE;
}

/** Limit of the value found that an error message quotes. */
#define ERROR_VALUE_MAX_BYTES 80

/**
 * @return the JSON text of a value, cut to ERROR_VALUE_MAX_BYTES for an error message; free with
 * g_free()
 */
static char *node_text(JsonNode *node)
{
	char *text = json_to_string(node, FALSE);

	if (strlen(text) > ERROR_VALUE_MAX_BYTES)
		strcpy(text + (ERROR_VALUE_MAX_BYTES - 3), "...");
	return text;
}

bool schema_name_valid(const char *s)
{
	size_t len = 0;

	while (g_ascii_isalnum(s[len]) || s[len] == '-' || s[len] == '_' || s[len] == '.')
		len++;
	return s[len] == '\0' && len > 0 && len < NAME_SIZE;
}

static const char *const allowed_strings[] = {
	[SCHEMA_NAME] = "a name of 1 to 63 letters, digits, '-', '_' or '.'",
	[SCHEMA_PATTERN] = "\"*\" or a name of 1 to 63 letters, digits, '-', '_' or '.'",
	[SCHEMA_ADDRESS] = "\"ip:port\" with an IPv4 address and a port from 1 to 65535",
	[SCHEMA_PATH] = "a text of at most 255 bytes",
};

static bool string_valid(enum schema_type type, const char *s)
{
	switch (type) {
	case SCHEMA_NAME:
		return schema_name_valid(s);
	case SCHEMA_PATTERN:
		return strcmp(s, "*") == 0 || schema_name_valid(s);
	case SCHEMA_ADDRESS:
		return net_parse(s, &(struct sockaddr_in){0});
	default:
		return strlen(s) < SCHEMA_PATH_SIZE;
	}
}

static size_t string_size(enum schema_type type)
{
	return type == SCHEMA_PATH ? SCHEMA_PATH_SIZE : NAME_SIZE;
}

static int choice_find(const struct schema_field *f, const char *value)
{
	int i;

	for (i = 0; i < SCHEMA_CHOICES_MAX && f->choices[i] != NULL; i++) {
		if (strcmp(f->choices[i], value) == 0)
			return i;
	}
	return -1;
}

static void allowed_text(const struct schema_field *f, char *buf, size_t size)
{
	int i;

	switch (f->type) {
	case SCHEMA_UINT:
		snprintf(buf, size, "a whole number from %.0f to %.0f", f->min, f->max);
		return;
	case SCHEMA_DOUBLE:
		snprintf(buf, size, "a number from %g to %g", f->min, f->max);
		return;
	case SCHEMA_BOOL:
		snprintf(buf, size, "true or false");
		return;
	case SCHEMA_CHOICE:
		buf[0] = '\0';
		for (i = 0; i < SCHEMA_CHOICES_MAX && f->choices[i] != NULL; i++) {
			g_strlcat(buf, i > 0 ? ", " : "one of ", size);
			g_strlcat(buf, f->choices[i], size);
		}
		return;
	default:
		snprintf(buf, size, "%s", allowed_strings[f->type]);
	}
}

static bool set_number(const struct schema_field *f, double d, void *out)
{
	if (!(d >= f->min && d <= f->max))
		return false;
	if (f->type == SCHEMA_UINT)
		*(unsigned *)out = (unsigned)d;
	else
		*(double *)out = d;
	return true;
}

static bool read_number(const struct schema_field *f, JsonNode *node, void *out)
{
	GType type = json_node_get_value_type(node);
	double d;

	if (type != G_TYPE_INT64 && (type != G_TYPE_DOUBLE || f->type == SCHEMA_UINT))
		return false;
	d = type == G_TYPE_INT64 ? (double)json_node_get_int(node) : json_node_get_double(node);
	return set_number(f, d, out);
}

static bool read_string(const struct schema_field *f, const char *s, void *out)
{
	int choice;

	if (f->type == SCHEMA_CHOICE) {
		choice = choice_find(f, s);
		if (choice < 0)
			return false;
		*(int *)out = choice;
		return true;
	}
	if (!string_valid(f->type, s))
		return false;
	g_strlcpy(out, s, string_size(f->type));
	return true;
}

static bool read_node(const struct schema_field *f, JsonNode *node, void *out)
{
	if (!JSON_NODE_HOLDS_VALUE(node))
		return false;
	switch (f->type) {
	case SCHEMA_UINT:
	case SCHEMA_DOUBLE:
		return read_number(f, node, out);
	case SCHEMA_BOOL:
		if (json_node_get_value_type(node) != G_TYPE_BOOLEAN)
			return false;
		*(bool *)out = json_node_get_boolean(node);
		return true;
	default:
		if (json_node_get_value_type(node) != G_TYPE_STRING)
			return false;
		return read_string(f, json_node_get_string(node), out);
	}
}

static void read_default(const struct schema_field *f, void *out)
{
	const char *text = f->fallback != NULL ? f->fallback : "";

	switch (f->type) {
	case SCHEMA_UINT:
		*(unsigned *)out = (unsigned)strtoul(text, NULL, 10);
		return;
	case SCHEMA_DOUBLE:
		*(double *)out = strtod(text, NULL);
		return;
	case SCHEMA_BOOL:
		*(bool *)out = strcmp(text, "true") == 0;
		return;
	case SCHEMA_CHOICE:
		*(int *)out = choice_find(f, text);
		return;
	default:
		g_strlcpy(out, text, string_size(f->type));
	}
}

/** Sets the error for the value of a field. @return FALSE, for use in a return statement */
static gboolean wrong_field(GError **error, const char *where, const struct schema_field *f,
			    const char *found)
{
	char allowed[256];

	allowed_text(f, allowed, sizeof(allowed));
	return wrong(error, where, f->key, found, allowed);
}

static gboolean read_field(JsonObject *o, const char *where, const struct schema_field *f,
			   void *out, GError **error)
{
	JsonNode *node = json_object_get_member(o, f->key);
	char *found;

	if (node == NULL && f->required)
		return wrong_field(error, where, f, "nothing");
	if (node == NULL) {
		read_default(f, out);
		return TRUE;
	}
	if (read_node(f, node, out))
		return TRUE;
	found = node_text(node);
	wrong_field(error, where, f, found);
	g_free(found);
	return FALSE;
}

static bool key_allowed(const char *key, const struct schema_field *fields, unsigned n,
			const char *const *other_keys)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return true;
	}
	return other_keys != NULL && g_strv_contains(other_keys, key);
}

static gboolean check_keys(JsonObject *o, const char *where, const struct schema_field *fields,
			   unsigned n, const char *const *other_keys, GError **error)
{
	GList *keys = json_object_get_members(o);
	GString *known = g_string_new(NULL);
	gboolean ok = TRUE;
	GList *l;
	unsigned i;

	for (l = keys; l != NULL && ok; l = l->next) {
		if (key_allowed(l->data, fields, n, other_keys))
			continue;
		for (i = 0; i < n; i++)
			g_string_append_printf(known, "%s%s", known->len > 0 ? ", " : "one of ",
					       fields[i].key);
		for (i = 0; other_keys != NULL && other_keys[i] != NULL; i++)
			g_string_append_printf(known, "%s%s", known->len > 0 ? ", " : "one of ",
					       other_keys[i]);
		ok = wrong(error, where, l->data, "an unknown key", known->str);
	}
	g_list_free(keys);
	g_string_free(known, TRUE);
	return ok;
}

gboolean schema_read(JsonObject *o, const char *where, const struct schema_field *fields,
		     unsigned n, const char *const *other_keys, void *out, GError **error)
{
	unsigned i;

	if (!check_keys(o, where, fields, n, other_keys, error))
		return FALSE;
	for (i = 0; i < n; i++) {
		if (!read_field(o, where, &fields[i], (char *)out + fields[i].offset, error))
			return FALSE;
	}
	return TRUE;
}

bool schema_valid(const struct schema_field *fields, unsigned n, const void *in)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct schema_field *f = &fields[i];
		const char *value = (const char *)in + f->offset;
		double number;

		switch (f->type) {
		case SCHEMA_BOOL:
		case SCHEMA_CHOICE:
			continue;
		case SCHEMA_UINT:
		case SCHEMA_DOUBLE:
			number = f->type == SCHEMA_UINT ? *(const unsigned *)value
							: *(const double *)value;
			if (!(number >= f->min && number <= f->max))
				return false;
			break;
		default:
			if (!string_valid(f->type, value))
				return false;
		}
	}
	return true;
}

void schema_clamp(const struct schema_field *fields, unsigned n, void *out)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct schema_field *f = &fields[i];
		char *value = (char *)out + f->offset;

		if (f->type == SCHEMA_UINT)
			*(unsigned *)value =
				(unsigned)CLAMP((double)*(unsigned *)value, f->min, f->max);
		else if (f->type == SCHEMA_DOUBLE)
			*(double *)value = CLAMP(*(double *)value, f->min, f->max);
	}
}

/* Reading of texts that schema_write() made, without a parser's tree */

/** Longest string of such a text. */
#define PLAIN_STRING_MAX SCHEMA_PATH_SIZE

static bool plain_char(const char **at, char c)
{
	if (**at != c)
		return false;
	(*at)++;
	return true;
}

/** Reads a string without escapes. */
static bool plain_string(const char **at, char out[PLAIN_STRING_MAX])
{
	size_t len;

	if (!plain_char(at, '"'))
		return false;
	len = strcspn(*at, "\"\\");
	if ((*at)[len] != '"' || len >= PLAIN_STRING_MAX)
		return false;
	memcpy(out, *at, len);
	out[len] = '\0';
	*at += len + 1;
	return true;
}

static bool plain_bool(const char **at, bool *out)
{
	*out = g_str_has_prefix(*at, "true");
	if (!*out && !g_str_has_prefix(*at, "false"))
		return false;
	*at += *out ? strlen("true") : strlen("false");
	return true;
}

static bool plain_number(const struct schema_field *f, const char **at, void *out)
{
	char *end;
	double d;

	if (!g_ascii_isdigit(**at) && **at != '-')
		return false;
	d = g_ascii_strtod(*at, &end);
	if (f->type == SCHEMA_UINT && strspn(*at, "0123456789") != (size_t)(end - *at))
		return false;
	if (end == *at)
		return false;
	*at = end;
	return set_number(f, d, out);
}

static bool plain_value(const struct schema_field *f, const char **at, void *out)
{
	char text[PLAIN_STRING_MAX];

	switch (f->type) {
	case SCHEMA_UINT:
	case SCHEMA_DOUBLE:
		return plain_number(f, at, out);
	case SCHEMA_BOOL:
		return plain_bool(at, out);
	default:
		return plain_string(at, text) && read_string(f, text, out);
	}
}

/** Returns the field @a key, or @a n. The fields of a text mostly come in their order. */
static unsigned plain_find(const struct schema_field *fields, unsigned n, unsigned guess,
			   const char *key)
{
	unsigned i;

	if (guess < n && strcmp(fields[guess].key, key) == 0)
		return guess;
	for (i = 0; i < n && strcmp(fields[i].key, key) != 0; i++)
		;
	return i;
}

bool schema_read_plain(const char **at, const struct schema_field *fields, unsigned n,
		       schema_plain_other other, void *out)
{
	char key[PLAIN_STRING_MAX];
	uint64_t seen = 0;
	unsigned i, next = 0;
	bool first = true;

	if (n > sizeof(seen) * 8 || !plain_char(at, '{'))
		return false;
	while (!plain_char(at, '}')) {
		if ((!first && !plain_char(at, ',')) || !plain_string(at, key) ||
		    !plain_char(at, ':'))
			return false;
		first = false;
		i = plain_find(fields, n, next, key);
		next = i + 1;
		if (i == n) {
			if (other == NULL || !other(key, at, out))
				return false;
			continue;
		}
		if ((seen & (UINT64_C(1) << i)) ||
		    !plain_value(&fields[i], at, (char *)out + fields[i].offset))
			return false;
		seen |= UINT64_C(1) << i;
	}
	for (i = 0; i < n; i++) {
		if (seen & (UINT64_C(1) << i))
			continue;
		if (fields[i].required)
			return false;
		read_default(&fields[i], (char *)out + fields[i].offset);
	}
	return true;
}

bool schema_plain_array(const char **at, schema_plain_element element, void *out)
{
	bool first = true;

	if (!plain_char(at, '['))
		return false;
	while (!plain_char(at, ']')) {
		if ((!first && !plain_char(at, ',')) || !element(at, out))
			return false;
		first = false;
	}
	return true;
}

static void write_value(const struct schema_field *f, const void *in, GString *out)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];

	switch (f->type) {
	case SCHEMA_UINT:
		g_string_append_printf(out, "%u", *(const unsigned *)in);
		return;
	case SCHEMA_DOUBLE:
		g_string_append(out, g_ascii_dtostr(number, sizeof(number), *(const double *)in));
		return;
	case SCHEMA_BOOL:
		g_string_append(out, *(const bool *)in ? "true" : "false");
		return;
	case SCHEMA_CHOICE:
		g_string_append_printf(out, "\"%s\"", f->choices[*(const int *)in]);
		return;
	default:
		g_string_append_printf(out, "\"%s\"", (const char *)in);
	}
}

void schema_write(const struct schema_field *fields, unsigned n, const void *in, bool json,
		  GString *out)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (json)
			g_string_append_printf(out, "%s\"%s\":", i > 0 ? "," : "", fields[i].key);
		else
			g_string_append_printf(out, "%s = ", fields[i].key);
		write_value(&fields[i], (const char *)in + fields[i].offset, out);
		if (!json)
			g_string_append_c(out, '\n');
	}
}

gboolean schema_tables(JsonObject *o, const char *where, const char *key, JsonArray **tables,
		       GError **error)
{
	JsonNode *node = json_object_get_member(o, key);
	guint i;

	*tables = NULL;
	if (node == NULL)
		return TRUE;
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return wrong(error, where, key, "something else", "tables written as [[...]]");
	*tables = json_node_get_array(node);
	for (i = 0; i < json_array_get_length(*tables); i++) {
		if (!JSON_NODE_HOLDS_OBJECT(json_array_get_element(*tables, i)))
			return wrong(error, where, key, "something else",
				     "tables written as [[...]]");
	}
	return TRUE;
}

JsonObject *schema_table(JsonObject *o, const char *where, const char *key, GError **error)
{
	JsonNode *node = json_object_get_member(o, key);

	if (node == NULL)
		return json_object_new();
	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		wrong(error, where, key, "something else", "a table written as [...]");
		return NULL;
	}
	return json_object_ref(json_node_get_object(node));
}
