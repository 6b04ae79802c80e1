/** @file lead.c Owners, senders and the choice of a primary. */
#include "lead.h"

#include <stdio.h>
#include <string.h>

/**
 * A primary that answered nothing for so long is asked for by other VMs too. Its longest statements
 * take 110 ms, five times that while it is slow, and both slots must be in such ones at once; a
 * promotion that was not needed costs a second without writes.
 */
#define SILENT_US (450 * USEC_PER_MSEC)
/** The same for one that refuses connections: its process is gone. */
#define REFUSED_US (40 * USEC_PER_MSEC)

bool lead_vm_equal(const struct lead_vm *a, const struct lead_vm *b)
{
	return a->incarnation == b->incarnation && strcmp(a->name, b->name) == 0;
}

static int sender_find(const struct lead_record *r, const struct lead_vm *vm)
{
	unsigned i;

	for (i = 0; i < r->n; i++) {
		if (lead_vm_equal(&r->sender[i], vm))
			return (int)i;
	}
	return -1;
}

bool lead_has_sender(const struct lead_record *r, const struct lead_vm *vm)
{
	return sender_find(r, vm) >= 0;
}

bool lead_add_sender(struct lead_record *r, const struct lead_vm *vm)
{
	if (sender_find(r, vm) >= 0)
		return true;
	if (r->n == LEAD_SENDERS_MAX)
		return false;
	r->sender[r->n++] = *vm;
	return true;
}

void lead_remove_sender(struct lead_record *r, const struct lead_vm *vm)
{
	int i = sender_find(r, vm);

	if (i >= 0)
		r->sender[i] = r->sender[--r->n];
}

bool lead_claim(struct lead_record *r, const struct lead_vm *vm, const char *address,
		bool former_ended)
{
	struct lead_vm former = r->owner;

	if (former.name[0] != '\0' && !former_ended && !lead_vm_equal(&former, vm) &&
	    !lead_add_sender(r, &former))
		return false;
	lead_remove_sender(r, vm);
	r->owner = *vm;
	snprintf(r->address, sizeof(r->address), "%s", address);
	return true;
}

bool lead_recover(struct lead_record *r, const struct lead_record *known)
{
	if (known->choices <= r->choices)
		return false;
	r->choices = known->choices;
	r->floor = known->floor;
	snprintf(r->target, sizeof(r->target), "%s", known->target);
	return true;
}

int lead_find(const struct lead_record *r, const char *const *names, const struct lead_candidate *c,
	      unsigned n)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		/*
		 * A primary that was replaced goes on leading in its own eyes until it hears of the
		 * new one. Taking its word would acknowledge writes that are discarded later.
		 */
		if (!c[i].reached || !c[i].primary || c[i].term <= r->floor)
			continue;
		if (r->target[0] != '\0' && strcmp(names[i], r->target) != 0)
			continue;
		if (best < 0 || c[i].term > c[best].term)
			best = (int)i;
	}
	return best;
}

int lead_choose(const struct lead_candidate *c, unsigned n, int except)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!c[i].reached || c[i].leaving || (int)i == except)
			continue;
		if (best < 0 || pos_cmp(c[i].received, c[best].received) > 0)
			best = (int)i;
	}
	return best;
}

enum lead_verdict lead_judge(const struct lead_silence *s, int64_t now_us)
{
	int64_t limit = s->refused ? REFUSED_US : SILENT_US;

	if (s->unheard_us == 0 || now_us - s->unheard_us < limit)
		return LEAD_FINE;
	/*
	 * The way from here to the primary may be cut while others reach it. Promoting then would
	 * cost everyone's writes for a second; the group moves to a VM that reaches it instead.
	 */
	return s->others_asked ? LEAD_REPLACE : LEAD_ASK;
}
