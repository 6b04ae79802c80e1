/** @file succession.c Decisions on a primary that may have to be replaced. */
#include "succession.h"

#include <stdio.h>
#include <string.h>

/** A sender continues if the primary answered it within this time. */
#define CONTINUE_WINDOW_US (500 * USEC_PER_MSEC)
/**
 * A primary that answered a previous owner within this time counts as alive. Senders are
 * asked for their last contact five times within this interval.
 */
#define CONTACT_TIMEOUT_US (1 * USEC_PER_SEC)
/** A new owner that cannot reach a live primary within this time hands the group back. */
#define REACH_TIMEOUT_US (600 * USEC_PER_MSEC)
/**
 * A primary to which no VM sends any more has this time after its last answer to be registered and
 * reached again; then a successor is chosen.
 */
#define RETURN_TIMEOUT_US (2500 * USEC_PER_MSEC)
/** Time that a choice waits for a member with every write known to be acknowledged. */
#define CHOICE_TIMEOUT_US (500 * USEC_PER_MSEC)

void succession_begin(struct succession *s, int64_t now_us)
{
	struct pos acknowledged = s->acknowledged;
	int64_t at_us = s->acknowledged_us;

	memset(s, 0, sizeof(*s));
	s->since_us = now_us;
	s->acknowledged = acknowledged;
	s->acknowledged_us = at_us;
}

void succession_acknowledged(struct succession *s, struct pos pos, int64_t at_us)
{
	if (pos.term == 0 || pos_cmp(pos, s->acknowledged) < 0)
		return;
	if (pos_cmp(pos, s->acknowledged) > 0 || at_us > s->acknowledged_us)
		s->acknowledged_us = at_us;
	s->acknowledged = pos;
}

void succession_report(struct succession *s, const struct succession_report *r, int64_t now_us)
{
	succession_acknowledged(s, r->acknowledged, r->latest_contact_us);
	if (r->stopped && strcmp(s->vm, r->vm) == 0)
		s->vm[0] = '\0';
	/* Contact before this VM lost its own contact does not show that the primary is alive. */
	if (r->primary[0] == '\0' || r->latest_contact_us <= s->since_us ||
	    now_us - r->latest_contact_us > CONTACT_TIMEOUT_US)
		return;
	if (s->reported_us == 0)
		s->reported_us = now_us;
	if (r->latest_contact_us > s->latest_contact_us) {
		s->latest_contact_us = r->latest_contact_us;
		snprintf(s->primary, sizeof(s->primary), "%s", r->primary);
	}
	if (r->stopped)
		return;
	snprintf(s->vm, sizeof(s->vm), "%s", r->vm);
	s->incarnation = r->incarnation;
}

bool succession_may_continue(const struct succession_sender *s, int64_t now_us)
{
	if (s->leaving || !s->may_send || s->latest_contact_us == 0)
		return false;
	return now_us - s->latest_contact_us <
	       (s->quiet_us < CONTINUE_WINDOW_US ? s->quiet_us : CONTINUE_WINDOW_US);
}

enum succession_verdict succession_judge_primary(const struct succession *s, int64_t now_us)
{
	int64_t known_us = now_us - s->reported_us;

	if (s->latest_contact_us == 0 || now_us - s->latest_contact_us > RETURN_TIMEOUT_US)
		return SUCCESSION_CHOOSE;
	if (known_us < REACH_TIMEOUT_US)
		return SUCCESSION_WAIT;
	if (s->vm[0] != '\0' && now_us - s->latest_contact_us < CONTACT_TIMEOUT_US)
		return SUCCESSION_HAND_BACK;
	return SUCCESSION_WAIT;
}

bool succession_choice_complete(const struct succession *s, const struct succession_choice *c)
{
	if (s->acknowledged_all && pos_cmp(c->best, s->acknowledged) >= 0)
		return true;
	return c->unseen <= c->sync && pos_cmp(c->best, c->newest) >= 0;
}

bool succession_choice_waits(const struct succession *s, const struct succession_choice *c)
{
	if (c->sync > 0)
		return c->unserved_us < SUCCESSION_SYNC_TIMEOUT_US &&
		       !succession_choice_complete(s, c);
	return c->may_gain && c->waited_us < CHOICE_TIMEOUT_US &&
	       pos_cmp(c->best, s->acknowledged) < 0;
}

uint64_t succession_complete(struct succession *s, struct pos start)
{
	uint64_t discarded = 0;

	if (s->acknowledged.term != 0 && start.term > s->acknowledged.term &&
	    start.lsn < s->acknowledged.lsn)
		discarded = s->acknowledged.lsn - start.lsn;
	s->acknowledged = (struct pos){0};
	s->acknowledged_us = 0;
	return discarded;
}
