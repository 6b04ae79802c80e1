/** @file json-text.c JSON documents as text, and texts in JSON documents. */
#include "json-text.h"

#include <string.h>

char *json_text_take(JsonBuilder *b)
{
	JsonNode *root = json_builder_get_root(b);
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	g_object_unref(b);
	return text;
}

/** Returns the end of the string that begins at @a at, behind its quotation mark, or NULL. */
static const char *string_end(const char *at, const char *end)
{
	for (at++; at < end; at++) {
		if (*at == '\\')
			at++;
		else if (*at == '"')
			return at + 1;
	}
	return NULL;
}

/**
 * Whether the text nests within bounds. Outside of strings just the characters of JSON are allowed,
 * since the parser would skip comments, in which a quotation mark begins no string.
 */
static bool nests_within_bounds(const char *at, const char *end)
{
	unsigned depth = 0;

	while (at != NULL && at < end) {
		if (*at == '[' || *at == '{')
			depth++;
		else if ((*at == ']' || *at == '}') && depth > 0)
			depth--;
		else if (*at != '"' && strchr(" \t\r\n:,+-.", *at) == NULL && !g_ascii_isalnum(*at))
			return false;
		if (depth > JSON_TEXT_DEPTH_MAX)
			return false;
		at = *at == '"' ? string_end(at, end) : at + 1;
	}
	return at != NULL;
}

bool json_text_load(JsonParser *parser, const char *text, gssize len, GError **error)
{
	size_t n = len < 0 ? strlen(text) : (size_t)len;

	if (nests_within_bounds(text, text + n))
		return json_parser_load_from_data(parser, text, len, error);
	g_set_error_literal(error, JSON_PARSER_ERROR, JSON_PARSER_ERROR_PARSE,
			    "no JSON, or nested too deeply");
	return false;
}

JsonObject *json_text_object(JsonParser *parser, const char *text)
{
	JsonNode *root =
		json_text_load(parser, text, -1, NULL) ? json_parser_get_root(parser) : NULL;

	return root != NULL && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root) : NULL;
}

bool json_text_copy(JsonObject *o, const char *name, char *out, size_t size)
{
	const char *text = json_object_get_string_member_with_default(o, name, "");
	bool fits = strlen(text) < size;

	g_strlcpy(out, fits ? text : "", size);
	return fits;
}
