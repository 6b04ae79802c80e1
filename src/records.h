/**
 * @file records.h
 * What operators and backend servers write to the store, decoded into the product's own entries.
 * An implementation knows the keys and the formats; a record that cannot be read is named in the
 * log and left out, and the others hold.
 */
#ifndef RECORDS_H
#define RECORDS_H

#include "conf.h"

/** A pool as the operators' document names it; its members come as backend servers. */
struct records_pool {
	char name[NAME_SIZE];
	unsigned connections; /**< that each member accepts */
	unsigned sync;	      /**< replicas that hold a write before it is acknowledged */
	double cold_per_s;    /**< statements a second that a cold member takes; 0: no limit */
};

/** The operators' document. */
struct records_document {
	uint64_t version;   /**< the operators' own */
	GPtrArray *entries; /**< of conf_entry: routes, teams and keys */
	GArray *pools;	    /**< of records_pool */
};

/** A backend server's own entry. */
struct records_server {
	char pool[NAME_SIZE];
	struct conf_member member; /**< connections is left 0 */
	uint64_t born;		   /**< start of the server's process, in ms */
	uint64_t sequence;	   /**< counts what that process said */
};

struct records_ops {
	const char *document_key;
	const char *servers_prefix;
	/** Keys of evacuated data centres, which end with their names. */
	const char *evacuations_prefix;
	/** @return false, with @a d empty, when the text cannot be read as a whole. */
	bool (*document)(const char *text, struct records_document *d);
	/** Read the entry of the server named @a id. @return false when it names no backend to use.
	 */
	bool (*server)(const char *id, const char *text, struct records_server *s);
};

void records_document_clear(struct records_document *d);

#endif
