/**
 * @file adapter.h
 * All that a daemon speaks to the world outside, for a platform that is not etcd and PostgreSQL.
 */
#ifndef ADAPTER_H
#define ADAPTER_H

#include "member.h"
#include "promoter.h"
#include "records.h"
#include "store.h"

struct adapter {
	const struct store_ops *store;
	const struct records_ops *records;
	const struct member_ops *member;
	const struct promoter_ops *promoter;
	/** Make the service that listens for callers. */
	struct service *(*callers)(struct kernel *k);
};

#endif
