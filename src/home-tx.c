/**
 * @file home-tx.c Callers' open transactions: each reserves one connection of the member.
 */
#include "home.h"

#include "log.h"

void home_tx_begin(struct home_job *job)
{
	struct home_member *m = job->m;
	struct home_tx *tx = g_new0(struct home_tx, 1);

	tx->id = ++m->home->next_tx;
	tx->conn = job->conn;
	tx->conn->tx = tx;
	tx->rpc_conn = rpc_request_conn(job->rq);
	tx->write = job->args->write;
	tx->used_us = now_us();
	g_strlcpy(tx->xid, job->xid, sizeof(tx->xid));
	job->tx = tx;
	m->n_pinned++;
	TAILQ_INSERT_TAIL(&m->txs, tx, link);
}

static void tx_unpin(struct home_member *m, struct home_tx *tx)
{
	TAILQ_REMOVE(&m->txs, tx, link);
	m->n_pinned--;
	if (tx->conn != NULL)
		tx->conn->tx = NULL;
	g_free(tx);
	event_active(m->dispatch, EV_TIMEOUT, 0);
}

void home_tx_end(struct home_member *m, struct home_tx *tx)
{
	struct home_conn *c = tx->conn;

	log_info("transaction-dropped", LOG_STR("pool", m->pool), LOG_STR("member", m->conf.name));
	tx_unpin(m, tx);
	/* Closing makes the member roll back, in any state of the connection. */
	if (c != NULL)
		home_conn_close(c);
}

void home_tx_expire(struct home_member *m, int64_t now)
{
	struct home_tx *tx, *next;

	TAILQ_FOREACH_SAFE(tx, &m->txs, link, next) {
		if (tx->conn->job == NULL &&
		    (tx->orphan || now - tx->used_us > HOME_TX_IDLE_MAX_US))
			home_tx_end(m, tx);
	}
}

void home_tx_release(struct home_job *job)
{
	if (job->tx == NULL)
		return;
	tx_unpin(job->m, job->tx);
	job->tx = NULL;
}

struct home_tx *home_tx_find(struct home_member *m, uint64_t id)
{
	struct home_tx *tx;

	TAILQ_FOREACH(tx, &m->txs, link) {
		if (tx->id == id)
			return tx;
	}
	return NULL;
}

bool home_tx_may_begin(const struct home_member *m)
{
	return m->n_pinned + 1 < home_conn_limit(m);
}
