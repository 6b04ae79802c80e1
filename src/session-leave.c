/**
 * @file session-leave.c
 * Closing of sessions that are better served by another VM: this VM is shutting down, or it is cut
 * off from the owners that its callers need.
 */
#include "session-state.h"

#include "log.h"
#include "rpc.h"

#include <string.h>

/**
 * Time from the start of the shutdown until idle sessions are closed. The load balancer checks this
 * VM once a second and stops sending new connections after two failed checks.
 */
#define DRAIN_IDLE_US (2200 * USEC_PER_MSEC)
/** Time until sessions in a transaction are closed too; half of the grace period of a shutdown. */
#define DRAIN_TX_US (3500 * USEC_PER_MSEC)
#define TICK_US (50 * USEC_PER_MSEC)
/** After a contact with another data centre this recent, no later one is looked for. */
#define RECENT_CONTACT_US (200 * USEC_PER_MSEC)

bool session_must_close(const struct session *s)
{
	return session_kernel(s)->draining &&
	       now_us() - s->sessions->drain_started_us > DRAIN_IDLE_US;
}

void session_count_outcome(struct session *s, enum outcome o)
{
	switch (o) {
	case OUTCOME_DONE:
		/* A read that another VM could serve without the owner is not counted. */
		if (s->reader == READER_OWNER && s->address[0] != '\0')
			ready_count(&s->sessions->ready, true);
		return;
	case OUTCOME_NOT_PRIMARY:
	case OUTCOME_BEHIND:
	case OUTCOME_TOO_LATE:
	case OUTCOME_NO_CONNECTION:
	case OUTCOME_NOT_SENT:
	case OUTCOME_LEAVING:
	case OUTCOME_LOST:
	case OUTCOME_TX_LOST:
		ready_count(&s->sessions->ready, false);
		return;
	default:
		return;
	}
}

/** Whether @a address is of a listed VM in another data centre. */
static bool is_elsewhere(const char *address, void *fleet)
{
	const struct fleet *f = fleet;
	const struct vm *vm = peers_find_address(&f->peers, address);

	return vm != NULL && vm->listed && vm->dc != f->peers.self->dc;
}

/** Whether the fleet lists a VM in another data centre. */
static bool has_elsewhere(const struct fleet *f)
{
	return f->n_data_centers > 1 ||
	       (f->n_data_centers == 1 &&
		strcmp(f->data_center[0], f->peers.self->data_center) != 0);
}

/** Returns the time of the last contact with another data centre; 0 if no VM there is known. */
static int64_t last_contact_us(struct sessions *all, int64_t now)
{
	struct kernel *k = all->service.kernel;
	struct fleet *f = fleet_of(k);

	if (!has_elsewhere(f))
		return 0;
	if (now - all->last_contact_us >= RECENT_CONTACT_US)
		all->last_contact_us =
			rpc_last_received_from(rpc_of(k), is_elsewhere, f, all->last_contact_us);
	return all->last_contact_us;
}

static void update_ready(struct sessions *all, int64_t now)
{
	bool was_away = all->ready.away;
	unsigned served = all->ready.served, unserved = all->ready.unserved;
	int64_t contact_us = last_contact_us(all, now);

	ready_update(&all->ready, contact_us, now);
	if (all->ready.away != was_away)
		log_warn("callers", LOG_STR("state", all->ready.away ? "sent away" : "taken"),
			 LOG_NUM("heard_ms", (now - contact_us) / USEC_PER_MSEC),
			 LOG_NUM("served", served), LOG_NUM("unserved", unserved));
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct sessions *all = arg;
	bool draining = all->service.kernel->draining;
	int64_t now = now_us();
	int64_t draining_us = draining ? now - all->drain_started_us : 0;
	struct session *s, *next;

	update_ready(all, now);
	if (draining_us < DRAIN_IDLE_US && !ready_close_idle(&all->ready, now))
		return;
	TAILQ_FOREACH_SAFE(s, &all->list, link, next) {
		if (s->busy || (s->tx != TX_NONE && draining_us < DRAIN_TX_US))
			continue;
		s->ops->close(s, s->arg);
	}
}

bool session_accepting(struct kernel *k)
{
	const struct fleet *f = fleet_of(k);

	return !k->draining && f->conf->version > 0 && !sessions_of(k)->ready.away;
}

void sessions_start_tick(struct sessions *all)
{
	all->last_contact_us = now_us();
	all->tick = kernel_every(all->service.kernel, TICK_US, on_tick, all);
}

bool sessions_drain_complete(const struct sessions *all)
{
	return TAILQ_EMPTY(&all->list) && now_us() - all->drain_started_us > DRAIN_IDLE_US;
}
