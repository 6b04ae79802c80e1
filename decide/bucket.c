/** @file bucket.c Token bucket. */
#include "bucket.h"

/** A wait longer than this counts as never: a day. */
#define WAIT_MAX_US (86400 * USEC_PER_SEC)

static void bucket_fill(struct bucket *b, int64_t now_us)
{
	if (now_us <= b->at_us)
		return;
	b->tokens += b->rate * (double)(now_us - b->at_us) / (double)USEC_PER_SEC;
	if (b->tokens > b->burst)
		b->tokens = b->burst;
	b->at_us = now_us;
}

void bucket_init(struct bucket *b, double rate, double burst, double tokens, int64_t now_us)
{
	b->rate = rate;
	b->burst = burst;
	b->tokens = tokens < burst ? tokens : burst;
	b->at_us = now_us;
}

void bucket_resize(struct bucket *b, double rate, double burst, int64_t now_us)
{
	bucket_fill(b, now_us);
	b->rate = rate;
	b->burst = burst;
	if (b->tokens > burst)
		b->tokens = burst;
}

bool bucket_take(struct bucket *b, double n, int64_t now_us)
{
	bucket_fill(b, now_us);
	if (b->tokens + 1e-9 < n)
		return false;
	b->tokens -= n;
	return true;
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
