/** @file json-text.h Serialises the JSON document of a JsonBuilder. */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include <json-glib/json-glib.h>

/** Frees @a b. @return its document as JSON text; free with g_free() */
char *json_text_take(JsonBuilder *b);

#endif
