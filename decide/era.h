/**
 * @file era.h
 * Revisions of a store that may come back from an older copy of itself. Each time its era rises by
 * one, and revisions of before are given out again. A revision is therefore kept with its era, in
 * one number that orders by era first.
 */
#ifndef DECIDE_ERA_H
#define DECIDE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/** Bits of a revision below its era; together they stay within what a double holds. */
#define ERA_SHIFT 40

/** The revision @a number of @a era; 0 stays 0, which is no revision. */
static inline uint64_t era_revision(uint64_t era, uint64_t number)
{
	return number != 0 ? era << ERA_SHIFT | number : 0;
}

static inline uint64_t era_of(uint64_t revision)
{
	return revision >> ERA_SHIFT;
}

/** The revision as the store gives it out. */
static inline uint64_t era_number(uint64_t revision)
{
	return revision & ((UINT64_C(1) << ERA_SHIFT) - 1);
}

/**
 * What a process knows of the era. The store has forgotten leases, and what was written under them,
 * of the last seconds of the era before, while their holders still trust them: that a key is gone
 * proves nothing until each holder is in the new era, or its lease has run out by its own clock.
 */
struct era {
	uint64_t now;	  /**< 0: none was told */
	int64_t since_us; /**< when it was first observed; 0: it was there when the process began
			   */
};

/** Note the era of an answer. @return whether the store has come back from an older copy */
bool era_observe(struct era *e, uint64_t era, int64_t now_us);
/** A process that begins finds somebody who is not in the present era yet. */
void era_unsettle(struct era *e, int64_t now_us);
/**
 * Whether no lease of a former era can still be trusted by its holder. @a oldest is the lowest era
 * that a known VM is in, @a lease_us the length of leases.
 */
bool era_settled(const struct era *e, uint64_t oldest, int64_t lease_us, int64_t now_us);

#endif
