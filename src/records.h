/**
 * @file records.h
 * Parsers for what operators and backend servers write to the store. Operators write one document
 * with routes, teams, API keys and pools; each backend server, which runs one database member,
 * writes a record of its own. An implementation defines the store keys and formats. A malformed
 * record is logged and skipped; the others are used.
 */
#ifndef RECORDS_H
#define RECORDS_H

#include "conf.h"

/** A pool: a database group as configured. Its members are in the backend servers' records. */
struct records_pool {
	char name[NAME_SIZE];
	unsigned connections; /**< connections that each member accepts */
	unsigned sync;	      /**< replicas that must have a write before it is acknowledged */
	double cold_per_s; /**< rate limit of a recently started member, in statements per second;
			      0: none */
};

/** The operators' document. */
struct records_document {
	uint64_t version;   /**< set by the operators */
	GPtrArray *entries; /**< of conf_entry: routes, teams and API keys */
	GArray *pools;	    /**< of records_pool */
};

/** The record that a backend server writes about itself. */
struct records_server {
	char pool[NAME_SIZE];
	struct conf_member member; /**< connections is 0: the pool sets it */
	uint64_t started_ms;	   /**< start time of the server's process, in ms */
	uint64_t sequence;	   /**< number of records written by that process */
};

struct records_ops {
	const char *document_key;
	const char *servers_prefix;
	/** Prefix of the keys of evacuated data centres; the rest of the key is the name. */
	const char *evacuations_prefix;
	/** Parses the operators' document. @return false, with @a d empty, if it is malformed */
	bool (*document)(const char *text, struct records_document *d);
	/** Parses the record of the server @a id. @return false if it is not usable */
	bool (*server)(const char *id, const char *text, struct records_server *s);
};

void records_document_clear(struct records_document *d);

#endif
