/**
 * @file store.h
 * Client of a key-value store with leases, watches and conditional writes: the seam between what is
 * kept and how a store speaks. An implementation only carries calls out; when to call, how often
 * and what to do after a failure is decided by its users. All revisions are with their era (era.h).
 */
#ifndef STORE_H
#define STORE_H

#include "era.h"
#include "kernel.h"

enum store_status {
	STORE_DONE,
	STORE_CONFLICT,	 /**< a guard did not hold: nothing was written; the items tell what stands
			  */
	STORE_NO_LEASE,	 /**< no such lease */
	STORE_COMPACTED, /**< a watch asked for history that is gone: list again */
	STORE_REFUSED,	 /**< the store said that nothing was done */
	STORE_UNKNOWN,	 /**< no answer: a write may have been done, or may be done later */
};

struct store_item {
	char *key;
	char *value;	   /**< ends with a zero byte; NULL when removed */
	uint64_t revision; /**< of its last change */
};

struct store_answer {
	enum store_status status;
	uint64_t era;	   /**< rises when the store comes back from an older copy; 0: not told */
	uint64_t revision; /**< of the whole store: continue a watch from here */
	uint64_t lease;
	int64_t ttl_us;
	GPtrArray *items; /**< of store_item */
	bool more;	  /**< a list goes on after its last item */
};

/**
 * A key that must still be at a revision; 0: must not exist. The store compares without the era, so
 * a revision of a former era must not be sent.
 */
struct store_guard {
	const char *key;
	uint64_t revision;
};

/** A put, or a removal when @a value is NULL. */
struct store_write {
	const char *key;
	const char *value;
	uint64_t lease; /**< 0: kept until removed */
};

/** @a a lives until the function returns. */
typedef void (*store_done)(const struct store_answer *a, void *arg);

struct store;
struct store_call;

struct store_ops {
	struct store *(*create)(struct kernel *k, const char *address, int64_t timeout_us);
	void (*free)(struct store *s);
	/** Read one key: one item, or none. */
	struct store_call *(*get)(struct store *s, const char *key, store_done cb, void *arg);
	/**
	 * Read keys that begin with @a prefix, after the key @a after ("" for the first). A list
	 * that may be @a stale is as of some seconds ago at worst, and costs the store little.
	 */
	struct store_call *(*list)(struct store *s, const char *prefix, const char *after,
				   bool stale, store_done cb, void *arg);
	/** Wait up to @a wait_us for changes after @a revision. No change: no items. */
	struct store_call *(*watch)(struct store *s, const char *prefix, uint64_t revision,
				    int64_t wait_us, store_done cb, void *arg);
	/** Carry out all of @a writes if all of @a guards hold. */
	struct store_call *(*commit)(struct store *s, const struct store_guard *guards,
				     unsigned n_guards, const struct store_write *writes,
				     unsigned n_writes, store_done cb, void *arg);
	struct store_call *(*lease_grant)(struct store *s, int64_t ttl_us, store_done cb,
					  void *arg);
	struct store_call *(*lease_renew)(struct store *s, uint64_t lease, store_done cb,
					  void *arg);
	struct store_call *(*lease_end)(struct store *s, uint64_t lease, store_done cb, void *arg);
	/** @a call's callback is not called any more. */
	void (*cancel)(struct store_call *call);
};

/** Called with the era of an answer, before the answer is delivered. */
typedef void (*store_era)(uint64_t era, void *arg);

/** First member of each implementation. */
struct store {
	const struct store_ops *ops;
	store_era era; /**< may be NULL */
	void *era_arg;
};

#endif
