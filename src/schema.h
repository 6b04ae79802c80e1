/**
 * @file schema.h
 * Reads a parsed document into structs by tables of fields, and says of each wrong value where it
 * is, what was found and what is allowed.
 */
#ifndef SCHEMA_H
#define SCHEMA_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>

enum schema_type {
	SCHEMA_NAME,	/**< char[NAME_SIZE]: letters, digits, "-_." */
	SCHEMA_PATTERN, /**< as a name, or "*" */
	SCHEMA_ADDRESS, /**< char[ADDRESS_SIZE]: "ip:port" */
	SCHEMA_PATH,	/**< char[SCHEMA_PATH_SIZE]: any text */
	SCHEMA_UINT,	/**< unsigned within min and max */
	SCHEMA_DOUBLE,	/**< double within min and max */
	SCHEMA_BOOL,
	SCHEMA_CHOICE, /**< int: index into the words of @a choices */
};

#define SCHEMA_PATH_SIZE 256
#define SCHEMA_CHOICES_MAX 6

struct schema_field {
	const char *key;
	enum schema_type type;
	size_t offset;
	bool required;
	double min;
	double max;
	const char *fallback;			 /**< as text, for a key that is left out */
	const char *choices[SCHEMA_CHOICES_MAX]; /**< ends with NULL */
};

/** Parse the TOML text of @a file. @return the document's object; free with json_object_unref(). */
JsonObject *schema_parse(const char *file, const char *text, GError **error);
/** Read and parse the TOML file at @a path. */
JsonObject *schema_load(const char *path, GError **error);
/**
 * Read @a o into @a out by @a fields. Keys that no field names, but for those in @a others (ends
 * with NULL), are errors.
 * @param where names the file and table in errors
 */
gboolean schema_read(JsonObject *o, const char *where, const struct schema_field *fields,
		     unsigned n, const char *const *others, void *out, GError **error);
/** Write @a in as TOML lines, or as a JSON object when @a json. */
void schema_write(const struct schema_field *fields, unsigned n, const void *in, bool json,
		  GString *out);
/**
 * The array of tables named @a key, or NULL when there is none. @return false when it is of
 * another type.
 */
gboolean schema_tables(JsonObject *o, const char *where, const char *key, JsonArray **tables,
		       GError **error);
/** The table named @a key; an empty one when it is left out. The result is owned by the caller. */
JsonObject *schema_table(JsonObject *o, const char *where, const char *key, GError **error);

#endif
