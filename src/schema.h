/**
 * @file schema.h
 * Parses TOML documents, and reads and writes structs by tables of fields. The error for an invalid
 * value names its place in the document, the value found and the values allowed.
 */
#ifndef SCHEMA_H
#define SCHEMA_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>

enum schema_type {
	SCHEMA_NAME,	/**< char[NAME_SIZE]: 1 to 63 letters, digits, "-", "_" or "." */
	SCHEMA_PATTERN, /**< char[NAME_SIZE]: like SCHEMA_NAME, or "*" */
	SCHEMA_ADDRESS, /**< char[ADDRESS_SIZE]: "ip:port", IPv4 */
	SCHEMA_PATH,	/**< char[SCHEMA_PATH_SIZE]: any text that fits */
	SCHEMA_UINT,	/**< unsigned within min and max */
	SCHEMA_DOUBLE,	/**< double within min and max */
	SCHEMA_BOOL,
	SCHEMA_CHOICE, /**< int: index of the value in the field's choices */
};

/** Buffer size of a SCHEMA_PATH, with its terminating NUL. */
#define SCHEMA_PATH_SIZE 256
#define SCHEMA_CHOICES_MAX 6

/** Describes one key of a table and the member of the struct that holds its value. */
struct schema_field {
	const char *key;
	enum schema_type type;
	size_t offset;
	bool required;
	double min;
	double max;
	const char *fallback;			 /**< default value as text; NULL: 0, false or "" */
	const char *choices[SCHEMA_CHOICES_MAX]; /**< ends with NULL if there are fewer */
};

/**
 * Parses the TOML text @a text. @param file name of the document in errors
 * @return the root table; free with json_object_unref()
 */
JsonObject *schema_parse(const char *file, const char *text, GError **error);
/** Reads and parses the TOML file at @a path. */
JsonObject *schema_load(const char *path, GError **error);
/**
 * Reads the table @a o into the struct @a out. A key that is neither in @a fields nor in @a
 * other_keys is an error.
 * @param where file and table, as prefix of errors
 * @param other_keys further keys that are allowed, ends with NULL; or NULL
 */
gboolean schema_read(JsonObject *o, const char *where, const struct schema_field *fields,
		     unsigned n, const char *const *other_keys, void *out, GError **error);
/** Whether @a s is a SCHEMA_NAME. */
bool schema_name_valid(const char *s);
/** Whether schema_read() accepts what schema_write() writes of the struct @a in. */
bool schema_valid(const struct schema_field *fields, unsigned n, const void *in);
/** Sets numbers of the struct @a out that are out of their bounds to the nearest bound. */
void schema_clamp(const struct schema_field *fields, unsigned n, void *out);
/** Writes the struct @a in as lines of TOML, or, if @a json, as members of a JSON object. */
void schema_write(const struct schema_field *fields, unsigned n, const void *in, bool json,
		  GString *out);
/**
 * Finds the array of tables @a key in @a o. @param tables receives the array, or NULL if the key is
 * missing
 * @return FALSE if the value has another type
 */
gboolean schema_tables(JsonObject *o, const char *where, const char *key, JsonArray **tables,
		       GError **error);
/**
 * Finds the table @a key in @a o. @return the table, or an empty one if the key is missing, to be
 * freed with json_object_unref(); NULL if the value has another type
 */
JsonObject *schema_table(JsonObject *o, const char *where, const char *key, GError **error);

/** Reads the value of a key that is no field, and moves @a at behind it. */
typedef bool (*schema_plain_other)(const char *key, const char **at, void *out);
/** Reads an element of an array, and moves @a at behind it. */
typedef bool (*schema_plain_element)(const char **at, void *out);

/**
 * Reads a JSON object that schema_write() made, with the same checks as schema_read() but without
 * building a tree. Moves @a at behind it.
 * @return false if the text is invalid, or valid but not in the form that schema_write() gives;
 * then schema_read() tells
 */
bool schema_read_plain(const char **at, const struct schema_field *fields, unsigned n,
		       schema_plain_other other, void *out);
/** Reads an array of such a text. @return false as schema_read_plain() */
bool schema_plain_array(const char **at, schema_plain_element element, void *out);

#endif
