/**
 * @file era.h
 * Revisions of a store that may be restored from an older copy of itself. The era is the number of
 * such restores: each one raises it by one, after which the store assigns revision numbers again
 * that it had assigned before. A revision is therefore kept together with its era, in one number
 * that is ordered by era first.
 */
#ifndef DECIDE_ERA_H
#define DECIDE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Number of low-order bits that hold the revision number; the era is above them. Eras up to 8191
 * fit into the 53 bits that a double (a JSON number) represents exactly.
 */
#define ERA_SHIFT 40

/** Combines @a era and the store's revision @a number; 0 means no revision and stays 0. */
static inline uint64_t era_revision(uint64_t era, uint64_t number)
{
	return number != 0 ? era << ERA_SHIFT | number : 0;
}

static inline uint64_t era_of(uint64_t revision)
{
	return revision >> ERA_SHIFT;
}

/** @return the revision number as the store assigned it */
static inline uint64_t era_number(uint64_t revision)
{
	return revision & ((UINT64_C(1) << ERA_SHIFT) - 1);
}

/**
 * A process's view of the store's era. A restored store lacks the leases granted in the last
 * seconds of the previous era, and the keys written under them, while their holders still consider
 * them valid. A missing key therefore proves nothing until every holder has reached the new era, or
 * its lease has expired by its own clock.
 */
struct era {
	uint64_t now;	  /**< current era; 0: not known yet */
	int64_t since_us; /**< when this process noticed a restore or a VM in an earlier era, or 0
			   */
};

/** Records the era of a store response. @return whether the store was restored */
bool era_observe(struct era *e, uint64_t era, int64_t now_us);
/**
 * Records that a VM was still in an earlier era when this process started: the restore may be
 * recent, so that leases of the earlier era may still be in use.
 */
void era_mark_unsettled(struct era *e, int64_t now_us);
/**
 * Checks that no holder can still consider a lease of an earlier era valid.
 * @param oldest lowest era that any known VM is in
 * @param lease_us duration of a lease
 */
bool era_settled(const struct era *e, uint64_t oldest, int64_t lease_us, int64_t now_us);

#endif
