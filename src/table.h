/**
 * @file table.h
 * Converts the configuration between its forms: the operators' tables as TOML files, the JSON text
 * of each configuration entry as stored and sent between VMs, and the structs of conf.h. The table
 * "routes" has routes and teams, the table "pools" has pools. A pool is a database group as
 * configured, with its members.
 */
#ifndef TABLE_H
#define TABLE_H

#include "conf.h"

enum table_id { TABLE_ROUTES, TABLE_POOLS, TABLES };

/** The content of a table's file. */
struct table {
	enum table_id which;
	GPtrArray *entries; /**< of struct conf_entry, with version 0 */
	uint64_t base;	    /**< base_version in the file; 0 if missing */
};

/** @return the name of a table on the command line: "routes" or "pools" */
const char *table_name(enum table_id which);
/** @return whether entries of @a kind belong to the table @a which */
bool table_holds(enum table_id which, enum conf_kind kind);

/** Reads and checks the table's file at @a path; free @a t with table_clear(), also on failure. */
gboolean table_load(const char *path, enum table_id which, struct table *t, GError **error);
/**
 * Parses and checks the text of a table's file; free @a t with table_clear(), also on failure.
 * @param file name of the file in errors
 */
gboolean table_parse(const char *file, const char *text, enum table_id which, struct table *t,
		     GError **error);
void table_clear(struct table *t);
/** Checks that the pool of each route exists. @param file name of the routes' file in errors */
gboolean table_check_pool_references(const char *file, const GPtrArray *routes,
				     const GPtrArray *pools, GError **error);
/**
 * Writes the table @a which as TOML, with the entries (struct conf_entry) of @a entries that belong
 * to it. @param base value of base_version, by which `mangoloom apply` detects concurrent changes
 * @return text to free with g_free()
 */
char *table_to_toml(const GPtrArray *entries, enum table_id which, uint64_t base);

/**
 * Creates an entry from its JSON text. @param text NULL: the entry was removed
 * @return NULL with @a error set if the id or the text is invalid
 */
struct conf_entry *table_entry_parse(const char *id, uint64_t version, const char *text,
				     GError **error);
/**
 * Creates an entry from the struct of its kind, such as struct conf_route for CONF_ROUTE. Use
 * table_key_entry() for CONF_KEY. A VM that gets the entry from this one has to be able to read it:
 * numbers out of their bounds are set to the nearest bound.
 * @param body has valid names and addresses
 */
struct conf_entry *table_entry_make(enum conf_kind kind, const void *body);
/**
 * Whether a member from elsewhere keeps to the bounds of the operators' tables, which a VM checks
 * when it gets the pool from another VM. Its connections are not checked, since the pool sets them.
 */
bool table_member_valid(const struct conf_member *m);
/** Creates the configuration entry of an API key. */
struct conf_entry *table_key_entry(const struct conf_key *key);

#endif
