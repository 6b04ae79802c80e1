/**
 * @file rank.h
 * Rendezvous hashing: for a key, every VM ranks the same candidates in the same order, so that all
 * agree on the holder of a role without exchanging messages.
 */
#ifndef DECIDE_RANK_H
#define DECIDE_RANK_H

#include "types.h"

/** @return the hash of a role's or a candidate's name, for rank_weight() */
uint64_t rank_hash(const char *text);

/**
 * @return the weight of @a candidate for @a key, both hashed by rank_hash(); the highest weight
 * holds the role. It costs a few instructions, since a change of the list of VMs weighs every new
 * VM for every role.
 */
uint64_t rank_weight(uint64_t key, uint64_t candidate);

/**
 * @return whether candidate a is preferred to candidate b. Candidates in the data centre concerned
 * come first, so that a member's home (the VM that holds its connections and queue) is in the
 * member's data centre, and a VM elsewhere takes the role if that data centre has no usable VM.
 */
bool rank_better(uint64_t weight_a, bool local_a, uint64_t weight_b, bool local_b);

#endif
