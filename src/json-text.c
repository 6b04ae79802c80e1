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

bool json_text_copy(JsonObject *o, const char *name, char *out, size_t size)
{
	const char *text = json_object_get_string_member_with_default(o, name, "");
	bool fits = strlen(text) < size;

	g_strlcpy(out, fits ? text : "", size);
	return fits;
}
