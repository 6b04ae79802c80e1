/**
 * @file access.h
 * Decides whether a statement of a session may run now, for which team, and by which route. Every
 * statement is checked against the configuration in force, also those of an open transaction: a
 * withdrawn key must stop working within seconds, whatever else the configuration has changed.
 */
#ifndef DECIDE_ACCESS_H
#define DECIDE_ACCESS_H

#include "conf.h"
#include "outcome.h"

/** A session, as far as its access is concerned. */
struct access_session {
	const char *database; /**< that the caller has connected to */
	const char *key_id;   /**< of the caller's API key; "" if it gave none */
	const char *team;     /**< that the last statement ran for; "" before the first */
	/** Route of the open transaction, as of its begin; NULL if none is open. */
	const struct conf_route *tx_route;
};

/** For whom a statement runs, and where. */
struct access {
	const char *team;		/**< "" for an anonymous caller */
	const struct conf_route *route; /**< the route of the open transaction, if there is one */
};

/**
 * Checks the next statement of @a s. A changed or removed route applies from the next transaction
 * on, a withdrawn key at once.
 * @param a result, which refers to @a c and @a s
 * @return OUTCOME_DONE if the statement may run; OUTCOME_NO_ROUTE, OUTCOME_NO_KEY, or
 * OUTCOME_TX_LOST if the caller is no longer of the team that has begun the transaction
 */
enum outcome access_check(const struct conf *c, const struct access_session *s, struct access *a);

#endif
