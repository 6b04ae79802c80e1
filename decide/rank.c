/** @file rank.c Rendezvous hashing over VMs, with xxHash. */
#include "rank.h"

#include <string.h>
#include <xxhash.h>

uint64_t rank_hash(const char *text)
{
	return XXH64(text, strlen(text), 0);
}

uint64_t rank_weight(uint64_t key, uint64_t candidate)
{
	uint64_t x = key ^ candidate;

	/* The finalizer of MurmurHash3: each bit of the input changes half of the output's bits. */
	x ^= x >> 33;
	x *= UINT64_C(0xff51afd7ed558ccd);
	x ^= x >> 33;
	x *= UINT64_C(0xc4ceb9fe1a85ec53);
	x ^= x >> 33;
	return x;
}

bool rank_better(uint64_t weight_a, bool local_a, uint64_t weight_b, bool local_b)
{
	if (local_a != local_b)
		return local_a;
	return weight_a > weight_b;
}
