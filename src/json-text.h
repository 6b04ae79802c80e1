/** @file json-text.h A JSON builder's text. */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include <json-glib/json-glib.h>

/** The text of what was built, to g_free(); the builder is freed. */
char *json_text_take(JsonBuilder *b);

#endif
