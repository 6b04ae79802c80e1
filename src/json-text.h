/** @file json-text.h JSON documents as text, and texts in JSON documents. */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include <json-glib/json-glib.h>
#include <stdbool.h>

/** Frees @a b. @return its document as JSON text; free with g_free() */
char *json_text_take(JsonBuilder *b);
/**
 * Copies the text in the field @a name of @a o, or "" if there is none, to @a out of @a size bytes.
 * @return false if it does not fit; @a out is "" then
 */
bool json_text_copy(JsonObject *o, const char *name, char *out, size_t size);

#endif
