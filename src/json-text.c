/** @file json-text.c Serialises the JSON document of a JsonBuilder. */
#include "json-text.h"

char *json_text_take(JsonBuilder *b)
{
	JsonNode *root = json_builder_get_root(b);
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	g_object_unref(b);
	return text;
}
