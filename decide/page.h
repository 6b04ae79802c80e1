/**
 * @file page.h
 * Transfer of a configuration in pages, from a peer that has a newer version. In a large fleet with
 * a large configuration and narrow links, sending it in one piece to many peers at once failed:
 * each transfer exceeded its timeout and was started over, and heartbeats were not delivered
 * meanwhile. A page is small, received pages are kept when the next one fails, and a VM sends to
 * few peers at the same time.
 */
#ifndef DECIDE_PAGE_H
#define DECIDE_PAGE_H

#include "conf.h"

/** Number of peers that a VM sends pages to at the same time. */
#define PAGE_PEERS_MAX 2

/** Some of the entries that a peer does not have yet, sorted by id. */
struct page {
	struct conf_update u;
	bool more; /**< there are further entries after the last one of this page */
};

/**
 * Build the page that follows the entry @a after ("": the first page) of the update from version
 * @a base to the current one. Clear @a p->u with conf_update_clear().
 * @param bytes approximate size of the page's texts; SIZE_MAX: the whole update
 */
void page_build(struct conf *c, uint64_t base, const char *after, size_t bytes, struct page *p);

/**
 * State of a transfer at the receiver. The sender's configuration may change between two pages, and
 * the next page may come from another sender. Then the pages are of several versions, and a further
 * round requests what changed since the first page.
 */
struct page_fetch {
	bool open;
	bool full;		/**< the received entries are a full configuration */
	bool round_full;	/**< the pages of this round are of a full configuration */
	uint64_t base;		/**< version that the pages of this round are based on */
	uint64_t first_version; /**< version of this round's first page; 0 before it */
	bool versions_differ;	/**< a page of this round had a later version than the first */
	char *after; /**< id of the last entry received in this round; "" before the first page */
	GHashTable *entries; /**< maps id to conf_entry; entries of all rounds */
	uint64_t applies_to; /**< base of the first round, thus of the assembled update */
};

enum page_verdict {
	PAGE_NEXT,     /**< request the page after @a after, with base version @a base */
	PAGE_COMPLETE, /**< the update is complete: call page_fetch_end() */
	PAGE_STALE,    /**< the sender has an older version than received pages: ask another VM */
};

/** Begin to fetch an update from version @a base, unless such a fetch is in progress already. */
void page_fetch_begin(struct page_fetch *f, uint64_t base);
/** Add a received page. @return what to do next */
enum page_verdict page_fetch_add(struct page_fetch *f, const struct page *p);
/** Return all entries as an update in @a u, to be cleared with conf_update_clear(); reset @a f. */
void page_fetch_end(struct page_fetch *f, struct conf_update *u);
void page_fetch_clear(struct page_fetch *f);

/** Peers that are being sent pages. */
struct page_peers {
	struct {
		uint64_t conn;	  /**< identifies the connection to the peer; 0: unused slot */
		int64_t asked_us; /**< time of its last request */
	} peer[PAGE_PEERS_MAX];
};

/** @return whether the peer on connection @a conn (not 0) may be sent a page now */
bool page_peer_admit(struct page_peers *p, uint64_t conn, int64_t now_us);
/** Free the slot of a peer that has been sent the last page. */
void page_peer_done(struct page_peers *p, uint64_t conn);

#endif
