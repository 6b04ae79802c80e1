/**
 * @file rank.h
 * Rendezvous hashing: every VM ranks the same candidates in the same order for a key, so that a
 * role has one holder without any message.
 */
#ifndef DECIDE_RANK_H
#define DECIDE_RANK_H

#include "types.h"

/** Weight of @a candidate for @a key; the highest weight holds the role. */
uint64_t rank_weight(const char *key, const char *candidate);

/**
 * Whether candidate a goes before candidate b. A near one goes before every other, so that a
 * member's home is in its data centre, and a data centre without a usable VM is still served from
 * elsewhere.
 */
bool rank_better(uint64_t weight_a, bool near_a, uint64_t weight_b, bool near_b);

#endif
