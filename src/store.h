/**
 * @file store.h
 * Interface to a key-value store with leases, watches and conditional writes. An implementation
 * only sends calls and decodes answers; its users decide when to call and how to handle failures.
 * The era counts how often the store was restored from an older copy; all revisions here include
 * their era (era.h).
 */
#ifndef STORE_H
#define STORE_H

#include "era.h"
#include "kernel.h"

enum store_status {
	STORE_DONE,
	STORE_CONFLICT,	 /**< a guard failed and nothing was written; the items have the current
			    values */
	STORE_NO_LEASE,	 /**< the lease does not exist */
	STORE_COMPACTED, /**< a watch needs history that was compacted: list again */
	STORE_REFUSED,	 /**< the store refused the call, without effect */
	STORE_UNKNOWN,	 /**< no answer: a write may have taken effect, or still may */
};

struct store_item {
	char *key;
	char *value;	   /**< NUL-terminated; NULL if the key was removed */
	uint64_t revision; /**< of the key's last change */
};

struct store_answer {
	enum store_status status;
	uint64_t era; /**< rises when the store is restored from an older copy; 0: not reported */
	uint64_t revision; /**< of the whole store; a watch continues after it */
	uint64_t lease;
	int64_t ttl_us;
	GPtrArray *items; /**< of store_item */
	bool more;	  /**< the list has more pages, after its last item */
};

/**
 * Condition of a write: the key must be at @a revision, or must not exist if it is 0. The store
 * compares revisions without their era, so a revision of a previous era must not be sent.
 */
struct store_guard {
	const char *key;
	uint64_t revision;
};

/** A put, or a delete if @a value is NULL. */
struct store_write {
	const char *key;
	const char *value;
	uint64_t lease; /**< the key is deleted when this lease ends; 0: no lease */
};

/** @a a is valid until the function returns. */
typedef void (*store_done)(const struct store_answer *a, void *arg);

struct store;
struct store_call;

struct store_ops {
	struct store *(*create)(struct kernel *k, const char *address, int64_t timeout_us);
	void (*free)(struct store *s);
	/** Reads one key; the answer has one item, or none. */
	struct store_call *(*get)(struct store *s, const char *key, store_done cb, void *arg);
	/**
	 * Reads a page of the keys that begin with @a prefix, after the key @a after ("" for the
	 * first page). A @a stale list may be up to some seconds old, but is cheap for the store.
	 */
	struct store_call *(*list)(struct store *s, const char *prefix, const char *after,
				   bool stale, store_done cb, void *arg);
	/** Waits up to @a wait_us for changes after @a revision; no items if there were none. */
	struct store_call *(*watch)(struct store *s, const char *prefix, uint64_t revision,
				    int64_t wait_us, store_done cb, void *arg);
	/** Applies all of @a writes atomically if all of @a guards hold. */
	struct store_call *(*commit)(struct store *s, const struct store_guard *guards,
				     unsigned n_guards, const struct store_write *writes,
				     unsigned n_writes, store_done cb, void *arg);
	struct store_call *(*lease_grant)(struct store *s, int64_t ttl_us, store_done cb,
					  void *arg);
	struct store_call *(*lease_renew)(struct store *s, uint64_t lease, store_done cb,
					  void *arg);
	struct store_call *(*lease_end)(struct store *s, uint64_t lease, store_done cb, void *arg);
	/** Discards the answer of @a call: its callback is not called. */
	void (*cancel)(struct store_call *call);
};

/** Called with the era of each answer, before the answer's own callback. */
typedef void (*store_era_cb)(uint64_t era, void *arg);

/** First field of each implementation's store. */
struct store {
	const struct store_ops *ops;
	store_era_cb on_era; /**< may be NULL */
	void *on_era_arg;
};

#endif
