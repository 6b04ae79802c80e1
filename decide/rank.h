/**
 * @file rank.h
 * Rendezvous hashing: for a key, every VM ranks the same candidates in the same order, so that all
 * agree on the holder of a role without exchanging messages.
 */
#ifndef DECIDE_RANK_H
#define DECIDE_RANK_H

#include "types.h"

/** @return the weight of @a candidate for @a key; the highest weight holds the role */
uint64_t rank_weight(const char *key, const char *candidate);

/**
 * @return whether candidate a is preferred to candidate b. Candidates in the data centre concerned
 * come first, so that a member's home (the VM that holds its connections and queue) is in the
 * member's data centre, and a VM elsewhere takes the role if that data centre has no usable VM.
 */
bool rank_better(uint64_t weight_a, bool local_a, uint64_t weight_b, bool local_b);

#endif
