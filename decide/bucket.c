/** @file bucket.c Token bucket. */
#include "bucket.h"

/** Waits longer than a day are reported as "never". */
#define WAIT_MAX_US (86400 * USEC_PER_SEC)
/** Tolerance, in tokens, for rounding errors of the balance. */
#define ROUNDING_TOLERANCE_TOKENS 1e-9

/** @return maximum number of tokens held: the burst less the tokens that may be refunded */
static double refill_limit(const struct bucket *b)
{
	return b->burst > b->reserved ? b->burst - b->reserved : 0;
}

static void bucket_fill(struct bucket *b, int64_t now_us)
{
	double tokens;

	if (now_us <= b->updated_us)
		return;
	tokens = b->tokens + b->rate * (double)(now_us - b->updated_us) / (double)USEC_PER_SEC;
	if (tokens > refill_limit(b))
		tokens = refill_limit(b) > b->tokens ? refill_limit(b) : b->tokens;
	b->tokens = tokens;
	b->updated_us = now_us;
}

void bucket_init(struct bucket *b, double rate, double burst, double tokens, int64_t now_us)
{
	b->rate = rate;
	b->burst = burst;
	b->reserved = 0;
	b->tokens = tokens < burst ? tokens : burst;
	b->updated_us = now_us;
}

void bucket_resize(struct bucket *b, double rate, double burst, int64_t now_us)
{
	bucket_fill(b, now_us);
	b->rate = rate;
	b->burst = burst;
	if (b->tokens > burst)
		b->tokens = burst;
}

void bucket_credit(struct bucket *b, double n, int64_t now_us)
{
	bucket_fill(b, now_us);
	b->tokens = b->tokens + n < refill_limit(b) ? b->tokens + n : refill_limit(b);
}

bool bucket_take(struct bucket *b, double n, int64_t now_us)
{
	bucket_fill(b, now_us);
	if (b->tokens + ROUNDING_TOLERANCE_TOKENS < n)
		return false;
	b->tokens -= n;
	return true;
}

bool bucket_reserve(struct bucket *b, int64_t now_us)
{
	if (!bucket_take(b, 1, now_us))
		return false;
	b->reserved += 1;
	return true;
}

void bucket_settle(struct bucket *b, bool refund, int64_t now_us)
{
	bucket_fill(b, now_us);
	if (b->reserved < 1)
		return;
	b->reserved -= 1;
	if (refund)
		b->tokens = b->tokens + 1 < refill_limit(b) ? b->tokens + 1 : refill_limit(b);
}

int64_t bucket_wait_us(struct bucket *b, double n, int64_t now_us)
{
	double wait;

	bucket_fill(b, now_us);
	if (b->tokens >= n)
		return 0;
	if (b->rate <= 0 || n > b->burst)
		return INT64_MAX;
	wait = (n - b->tokens) / b->rate * (double)USEC_PER_SEC;
	return wait < (double)WAIT_MAX_US ? (int64_t)wait + 1 : INT64_MAX;
}
