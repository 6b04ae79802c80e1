/** @file reach.c Reachability between VMs, and paths through a third one. */
#include "reach.h"

#include <string.h>

/**
 * How long a VM in the primary's data centre may answer after one elsewhere did. A round trip
 * between data centres takes 8 ms, and opening a connection 12 ms.
 */
#define NEAR_ANSWER_US (60 * USEC_PER_MSEC)

static void copy_address(char out[ADDRESS_SIZE], const char *address)
{
	size_t len = strnlen(address, ADDRESS_SIZE - 1);

	memcpy(out, address, len);
	out[len] = '\0';
}

static const struct reach_entry *find(const struct reach *r, const char *address)
{
	unsigned i;

	for (i = 0; i < r->n; i++) {
		if (strcmp(r->entry[i].address, address) == 0)
			return &r->entry[i];
	}
	return NULL;
}

/** Returns the entry of @a address. If there is none, the one not used for longest becomes it. */
static struct reach_entry *use(struct reach *r, const char *address, int64_t now_us)
{
	struct reach_entry *e = (struct reach_entry *)find(r, address);
	unsigned i;

	if (e == NULL && r->n < REACH_ADDRESSES_MAX) {
		e = &r->entry[r->n++];
		memset(e, 0, sizeof(*e));
		copy_address(e->address, address);
	} else if (e == NULL) {
		e = &r->entry[0];
		for (i = 1; i < r->n; i++) {
			if (r->entry[i].used_us < e->used_us)
				e = &r->entry[i];
		}
		memset(e, 0, sizeof(*e));
		copy_address(e->address, address);
	}
	e->used_us = now_us;
	return e;
}

void reach_received(struct reach *r, const char *address, int64_t now_us)
{
	struct reach_entry *e = use(r, address, now_us);

	e->received_us = now_us;
	e->rounds = 0;
}

void reach_failed(struct reach *r, const char *address, int64_t now_us)
{
	unsigned i;

	use(r, address, now_us)->failed_us = now_us;
	for (i = 0; i < r->n; i++) {
		if (strcmp(r->entry[i].via, address) == 0)
			r->entry[i].via[0] = '\0';
	}
}

/** Whether a call failed within @a within_us, and nothing was received since. */
static bool has_failed(const struct reach_entry *e, int64_t within_us, int64_t now_us)
{
	return e->failed_us != 0 && e->failed_us > e->received_us &&
	       now_us - e->failed_us < within_us;
}

static bool is_lost(const struct reach_entry *e, int64_t now_us)
{
	return has_failed(e, REACH_FAILED_US, now_us);
}

bool reach_is_lost(const struct reach *r, const char *address, int64_t now_us)
{
	const struct reach_entry *e = find(r, address);

	return e != NULL && is_lost(e, now_us);
}

bool reach_has_just_failed(const struct reach *r, const char *address, int64_t now_us)
{
	const struct reach_entry *e = find(r, address);

	return e != NULL && has_failed(e, REACH_REFUSED_US, now_us);
}

void reach_path(struct reach *r, const char *to, const char *via, int64_t now_us)
{
	struct reach_entry *e;

	reach_received(r, via, now_us);
	e = use(r, to, now_us);
	copy_address(e->via, via);
	e->rounds = 0;
	e->via_until_us = now_us + REACH_PATH_US;
}

void reach_no_path(struct reach *r, const char *to, const char *via, int64_t pause_us,
		   int64_t now_us)
{
	struct reach_entry *e;

	use(r, via, now_us)->unfit_until_us = now_us + pause_us;
	e = use(r, to, now_us);
	if (strcmp(e->via, via) == 0)
		e->via[0] = '\0';
}

const char *reach_via(const struct reach *r, const char *to, int64_t now_us)
{
	const struct reach_entry *e = find(r, to);

	return e != NULL && e->via[0] != '\0' && now_us < e->via_until_us ? e->via : NULL;
}

void reach_asked(struct reach *r, const char *to, unsigned n, int64_t now_us)
{
	use(r, to, now_us)->asking += n;
}

void reach_question_ended(struct reach *r, const char *to, int64_t now_us)
{
	struct reach_entry *e = use(r, to, now_us);

	/* The entry may have been replaced since. */
	e->asking -= e->asking > 0 ? 1 : 0;
}

bool reach_is_asking(const struct reach *r, const char *to)
{
	const struct reach_entry *e = find(r, to);

	return e != NULL && e->asking > 0;
}

bool reach_may_ask(struct reach *r, const char *to, int64_t now_us)
{
	struct reach_entry *e = use(r, to, now_us);
	int64_t pause_us;

	if (now_us - e->asked_us > REACH_ASK_FORGET_US)
		e->rounds = 0;
	pause_us = e->rounds < REACH_ASK_ROUNDS ? REACH_ASK_PAUSE_US : REACH_ASK_LONG_PAUSE_US;
	if ((e->asked_us != 0 && now_us - e->asked_us < pause_us) ||
	    (r->asked_us != 0 && now_us - r->asked_us < REACH_ASK_ANY_PAUSE_US))
		return false;
	e->rounds++;
	e->asked_us = r->asked_us = now_us;
	return true;
}

/** Returns a value of VM @a i that orders VMs at random. */
static uint64_t shuffle_key(uint64_t random, unsigned i)
{
	uint64_t x = random + (i + 1) * UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

/** Whether a VM can be asked to relay to @a to; NULL @a r: whether it can be asked anything. */
static bool is_fit(const struct reach *r, const struct reach_vm *vm, const char *to, int64_t now_us)
{
	const struct reach_entry *e;

	if (!vm->usable || r == NULL)
		return vm->usable;
	e = find(r, vm->address);
	return strcmp(vm->address, to) != 0 &&
	       (e == NULL || (now_us >= e->unfit_until_us && !is_lost(e, now_us)));
}

/** What choose_spread() chooses from. */
struct spread {
	const struct reach_vm *vms;
	unsigned n;
	const char *data_center; /**< first in each round */
	uint64_t random;
	const struct reach *r; /**< see is_fit() */
	const char *to;
	int64_t now_us;
};

/** Chooses the next VM: of the data centre with the fewest chosen ones. @return its index or -1 */
static int next_spread(const struct spread *s, const unsigned *out, unsigned chosen)
{
	unsigned best_order = 0, i, k;
	uint64_t best_key = 0;
	int best = -1;

	for (i = 0; i < s->n; i++) {
		const struct reach_vm *vm = &s->vms[i];
		uint64_t key = shuffle_key(s->random, i);
		unsigned order = strcmp(vm->data_center, s->data_center) == 0 ? 0 : 1;

		for (k = 0; k < chosen && out[k] != i; k++)
			order += strcmp(s->vms[out[k]].data_center, vm->data_center) == 0 ? 2 : 0;
		if (k < chosen || !is_fit(s->r, vm, s->to, s->now_us))
			continue;
		if (best < 0 || order < best_order || (order == best_order && key < best_key)) {
			best = (int)i;
			best_order = order;
			best_key = key;
		}
	}
	return best;
}

static unsigned choose_spread(const struct spread *s, unsigned max, unsigned *out)
{
	unsigned chosen = 0;
	int i;

	while (chosen < max && (i = next_spread(s, out, chosen)) >= 0)
		out[chosen++] = (unsigned)i;
	return chosen;
}

unsigned reach_relays(const struct reach *r, const char *to, const char *data_center,
		      const struct reach_vm *vms, unsigned n, unsigned max, uint64_t random,
		      int64_t now_us, unsigned *out)
{
	const struct spread s = {vms, n, data_center, random, r, to, now_us};

	return choose_spread(&s, max, out);
}

enum reach_refusal reach_check(const struct reach_request *q, int64_t now_us)
{
	if (!q->enabled)
		return REACH_DISABLED;
	if (q->hops > REACH_STATEMENT_HOPS || strcmp(q->to, q->self) == 0 ||
	    strcmp(q->to, q->sender) == 0 || strcmp(q->self, q->sender) == 0)
		return REACH_LOOP;
	if (!q->known)
		return REACH_UNKNOWN;
	if (q->left_us <= 0)
		return REACH_EXPIRED;
	if (q->in_transaction)
		return REACH_TRANSACTION;
	if (q->received_us == 0 || now_us - q->received_us > REACH_HEARD_US)
		return REACH_UNHEARD;
	return REACH_ACCEPTED;
}

const char *reach_refusal_name(enum reach_refusal why)
{
	static const char *const names[REACH_REFUSALS] = {
		[REACH_ACCEPTED] = "accepted", [REACH_DISABLED] = "disabled",
		[REACH_LOOP] = "loop",	       [REACH_EXPIRED] = "expired",
		[REACH_UNKNOWN] = "unknown",   [REACH_TRANSACTION] = "transaction",
		[REACH_UNHEARD] = "unheard",
	};

	return names[why];
}

unsigned reach_witnesses(const struct reach_vm *vms, unsigned n, const char *data_center,
			 unsigned max, uint64_t random, unsigned *out)
{
	const struct spread s = {.vms = vms, .n = n, .data_center = data_center, .random = random};

	return choose_spread(&s, max, out);
}

int reach_next_owner(const struct reach_answer *a, unsigned n, int64_t since_first_us)
{
	bool near_may_answer = false;
	int next = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		near_may_answer = near_may_answer || (a[i].near && !a[i].answered);
		if (a[i].reaches && (next < 0 || (a[i].near && !a[next].near)))
			next = (int)i;
	}
	if (next >= 0 && !a[next].near && near_may_answer && since_first_us < NEAR_ANSWER_US)
		return REACH_UNDECIDED;
	return next;
}
