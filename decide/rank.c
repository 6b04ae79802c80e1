/** @file rank.c Rendezvous hashing over VMs, with xxHash. */
#include "rank.h"

#include <string.h>
#include <xxhash.h>

uint64_t rank_weight(const char *key, const char *candidate)
{
	return XXH64(candidate, strlen(candidate), XXH64(key, strlen(key), 0));
}

bool rank_better(uint64_t weight_a, bool local_a, uint64_t weight_b, bool local_b)
{
	if (local_a != local_b)
		return local_a;
	return weight_a > weight_b;
}
