/** @file json-text.h JSON documents as text, and texts in JSON documents. */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include <json-glib/json-glib.h>
#include <stdbool.h>

/** Frees @a b. @return its document as JSON text; free with g_free() */
char *json_text_take(JsonBuilder *b);
/** Deepest nesting of arrays and objects in a text that is parsed. */
#define JSON_TEXT_DEPTH_MAX 64
/**
 * Parses @a text of @a len bytes, or up to its end if @a len is -1, as json_parser_load_from_data()
 * does, which calls itself for each level of nesting and would exhaust the stack.
 * @return false with @a error, which may be NULL, if it is not JSON or nests too deeply
 */
bool json_text_load(JsonParser *parser, const char *text, gssize len, GError **error);
/** Parses @a text as an object, which @a parser owns. @return NULL if it is not one */
JsonObject *json_text_object(JsonParser *parser, const char *text);
/**
 * Copies the text in the field @a name of @a o, or "" if there is none, to @a out of @a size bytes.
 * @return false if it does not fit; @a out is "" then
 */
bool json_text_copy(JsonObject *o, const char *name, char *out, size_t size);

#endif
