/**
 * @file table.h
 * The operators' two tables and the keys, between their forms: TOML files, the texts of
 * configuration entries, and the structs that decisions use.
 */
#ifndef TABLE_H
#define TABLE_H

#include "conf.h"

enum table_which { TABLE_ROUTES, TABLE_POOLS, TABLES };

/** What a table's file held. */
struct table {
	enum table_which which;
	GPtrArray *entries; /**< of conf_entry, version 0 */
	uint64_t base;	    /**< base_version in the file; 0 when it has none */
};

/** Name of a table on the command line: "routes" or "pools". */
const char *table_name(enum table_which which);
/** Whether entries of @a kind belong to the table. */
bool table_holds(enum table_which which, enum conf_kind kind);

/** Read and check a table's file as a whole. Free with table_clear(). */
gboolean table_load(const char *path, enum table_which which, struct table *t, GError **error);
gboolean table_parse(const char *file, const char *text, enum table_which which, struct table *t,
		     GError **error);
void table_clear(struct table *t);
/** Check that each route's pool is among the pools. */
gboolean table_check_joined(const char *file, const GPtrArray *routes, const GPtrArray *pools,
			    GError **error);
/**
 * The table's entries of @a entries (conf_entry) as TOML, with the base version that an edit
 * starts from.
 */
char *table_to_toml(const GPtrArray *entries, enum table_which which, uint64_t base);

/** Make an entry from its text. @return NULL with @a error when the text is wrong. */
struct conf_entry *table_entry_parse(const char *id, uint64_t version, const char *text,
				     GError **error);
/** Make the entry of a route, pool or team at @a body. */
struct conf_entry *table_entry_make(enum conf_kind kind, const void *body);
/** Make a key's entry. */
struct conf_entry *table_key_entry(const struct conf_key *key);

#endif
