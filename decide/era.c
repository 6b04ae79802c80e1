/** @file era.c Decides when all leases of earlier eras of the store have ended. */
#include "era.h"

bool era_observe(struct era *e, uint64_t era, int64_t now_us)
{
	bool restored = e->now != 0 && era > e->now;

	if (era <= e->now)
		return false;
	e->now = era;
	if (restored)
		e->since_us = now_us;
	return restored;
}

void era_mark_unsettled(struct era *e, int64_t now_us)
{
	if (e->since_us == 0)
		e->since_us = now_us;
}

bool era_settled(const struct era *e, uint64_t oldest, int64_t lease_us, int64_t now_us)
{
	return e->since_us == 0 || oldest >= e->now || now_us - e->since_us >= lease_us;
}
