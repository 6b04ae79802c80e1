/**
 * @file session-leave.c
 * Sessions that should go on elsewhere: this VM leaves, or is cut off from what its callers need.
 */
#include "session-state.h"

#include "log.h"
#include "rpc.h"

#include <string.h>

/**
 * After this VM began to leave, sessions at rest are closed: the balancer asks once a second and
 * takes two misses before it sends no new ones.
 */
#define LEAVE_IDLE_US (2200 * USEC_PER_MSEC)
/** And those in a transaction, which have had half of the grace by then. */
#define LEAVE_TX_US (3500 * USEC_PER_MSEC)
#define TICK_US (50 * USEC_PER_MSEC)
/** Another data centre that was heard so lately is not looked for among all VMs. */
#define HEARD_FRESH_US (200 * USEC_PER_MSEC)

bool session_leaving(const struct session *s)
{
	return session_kernel(s)->draining && now_us() - s->owner->left_us > LEAVE_IDLE_US;
}

void session_note(struct session *s, enum outcome o)
{
	switch (o) {
	case OUTCOME_DONE:
		/* What a replica served would be served elsewhere as well. */
		if (s->reader == READER_OWNER && s->address[0] != '\0')
			ready_note(&s->owner->ready, true);
		return;
	case OUTCOME_NOT_PRIMARY:
	case OUTCOME_BEHIND:
	case OUTCOME_TOO_LATE:
	case OUTCOME_NO_CONNECTION:
	case OUTCOME_NOT_SENT:
	case OUTCOME_LEAVING:
	case OUTCOME_LOST:
	case OUTCOME_TX_LOST:
		ready_note(&s->owner->ready, false);
		return;
	default:
		return;
	}
}

/** When a VM of another data centre was last heard; 0 when no such VM is known. */
static int64_t heard_us(struct sessions *all, int64_t now)
{
	struct kernel *k = all->service.kernel;
	const struct fleet *f = fleet_of(k);
	const struct rpc *r = rpc_of(k);
	const struct vm *vm;
	bool any = false;

	all->heard_us = MAX(all->heard_us, rpc_heard_us(r, all->heard_from));
	if (all->heard_from[0] != '\0' && now - all->heard_us < HEARD_FRESH_US)
		return all->heard_us;
	TAILQ_FOREACH(vm, &f->peers.vms, link) {
		int64_t heard;

		if (!vm->listed || strcmp(vm->data_center, f->peers.self->data_center) == 0)
			continue;
		any = true;
		heard = rpc_heard_us(r, vm->address);
		if (heard <= all->heard_us)
			continue;
		all->heard_us = heard;
		g_strlcpy(all->heard_from, vm->address, sizeof(all->heard_from));
		if (now - heard < HEARD_FRESH_US)
			break;
	}
	return any ? all->heard_us : 0;
}

static void look(struct sessions *all, int64_t now)
{
	bool was_away = all->ready.away;
	unsigned served = all->ready.served, unserved = all->ready.unserved;
	int64_t heard = heard_us(all, now);

	ready_judge(&all->ready, heard, now);
	if (all->ready.away != was_away)
		log_warn("callers", LOG_STR("state", all->ready.away ? "sent away" : "taken"),
			 LOG_NUM("heard_ms", (now - heard) / USEC_PER_MSEC),
			 LOG_NUM("served", served), LOG_NUM("unserved", unserved));
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct sessions *all = arg;
	bool draining = all->service.kernel->draining;
	int64_t now = now_us();
	int64_t gone = draining ? now - all->left_us : 0;
	struct session *s, *next;

	look(all, now);
	if (gone < LEAVE_IDLE_US && !ready_close_idle(&all->ready, now))
		return;
	TAILQ_FOREACH_SAFE(s, &all->sessions, link, next) {
		if (s->busy || (s->tx != TX_NONE && gone < LEAVE_TX_US))
			continue;
		s->ops->close(s, s->arg);
	}
}

bool session_accepting(struct kernel *k)
{
	const struct fleet *f = fleet_of(k);

	return !k->draining && f->conf->version > 0 && !sessions_of(k)->ready.away;
}

void sessions_leave_start(struct sessions *all)
{
	all->heard_us = now_us();
	all->tick = kernel_every(all->service.kernel, TICK_US, on_tick, all);
}

bool sessions_left(const struct sessions *all)
{
	return TAILQ_EMPTY(&all->sessions) && now_us() - all->left_us > LEAVE_IDLE_US;
}
