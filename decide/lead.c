/** @file lead.c Owners and senders of a group, and the choice of its primary. */
#include "lead.h"

#include <stdio.h>
#include <string.h>

/**
 * After a primary has left requests unanswered for this long, other VMs are asked whether they can
 * reach it. The longest statements take 110 ms, or five times as long on a slow primary, and would
 * have to occupy both slots at once to exceed the timeout. A needless promotion costs a second
 * without writes.
 */
#define UNANSWERED_TIMEOUT_US (450 * USEC_PER_MSEC)
/** Timeout for a primary that refuses connections, which means that its process has ended. */
#define REFUSED_TIMEOUT_US (40 * USEC_PER_MSEC)

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

bool lead_process_ended(const struct lead_vm *vm, const struct lead_listing *l)
{
	if (!l->current)
		return false;
	return !l->listed || (l->incarnation != 0 && l->incarnation != vm->incarnation);
}

bool lead_claim(struct lead_record *r, const struct lead_vm *vm, const char *address,
		bool previous_ended)
{
	struct lead_vm previous = r->owner;

	if (previous.name[0] != '\0' && !previous_ended && !lead_vm_equal(&previous, vm) &&
	    !lead_add_sender(r, &previous))
		return false;
	lead_remove_sender(r, vm);
	r->owner = *vm;
	snprintf(r->address, sizeof(r->address), "%s", address);
	return true;
}

bool lead_recover_choice(struct lead_record *r, const struct lead_record *known)
{
	if (known->choices <= r->choices)
		return false;
	r->choices = known->choices;
	r->term_floor = known->term_floor;
	snprintf(r->target, sizeof(r->target), "%s", known->target);
	return true;
}

bool lead_accepts(const struct lead_record *r, const char *member, uint64_t term)
{
	return term > r->term_floor && (r->target[0] == '\0' || strcmp(member, r->target) == 0);
}

int lead_find_primary(const struct lead_record *r, const char *const *names,
		      const struct lead_candidate *c, unsigned n)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!c[i].reached || !c[i].primary || !lead_accepts(r, names[i], c[i].term))
			continue;
		if (best < 0 || c[i].term > c[best].term)
			best = (int)i;
	}
	return best;
}

/** Returns the member with the newest log of those that leave, or of those that do not, or -1. */
static int newest_log(const struct lead_candidate *c, unsigned n, int except, bool leaving)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!c[i].reached || c[i].barred || c[i].leaving != leaving || (int)i == except)
			continue;
		if (best < 0 || pos_cmp(c[i].received, c[best].received) > 0)
			best = (int)i;
	}
	return best;
}

int lead_choose_successor(const struct lead_candidate *c, unsigned n, int except, struct pos need)
{
	int stays = newest_log(c, n, except, false);
	int leaves = need.term != 0 ? newest_log(c, n, except, true) : -1;

	if (leaves < 0)
		return stays;
	if (stays >= 0 && (pos_cmp(c[stays].received, need) >= 0 ||
			   pos_cmp(c[stays].received, c[leaves].received) >= 0))
		return stays;
	return leaves;
}

enum lead_verdict lead_judge_primary(const struct lead_silence *s, int64_t now_us)
{
	int64_t timeout = s->refused ? REFUSED_TIMEOUT_US : UNANSWERED_TIMEOUT_US;

	if (s->unanswered_since_us == 0 || now_us - s->unanswered_since_us < timeout)
		return LEAD_HEALTHY;
	/*
	 * The primary may be unreachable from this VM only. A promotion would then stop all writes
	 * to the group for a second; instead the group moves to an owner that can reach the
	 * primary.
	 */
	return s->others_asked ? LEAD_REPLACE : LEAD_ASK_OTHERS;
}
