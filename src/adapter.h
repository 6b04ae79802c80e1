/**
 * @file adapter.h
 * The interfaces that a platform implements: store, records, members, promotion and callers. A
 * platform with etcd and PostgreSQL needs no adapter; the daemon supports these directly.
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
	/** Creates the service that accepts callers. */
	struct service *(*callers)(struct kernel *k);
};

#endif
