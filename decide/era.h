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

#endif
