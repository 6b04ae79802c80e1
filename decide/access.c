/** @file access.c Whether a statement of a session may run now. */
#include "access.h"

#include <string.h>

enum outcome access_check(const struct conf *c, const struct access_session *s, struct access *a)
{
	const struct conf_key *key = s->key_id[0] != '\0' ? conf_key(c, s->key_id) : NULL;
	bool valid = key != NULL && !key->withdrawn;

	a->team = valid ? key->team : "";
	a->route = s->tx_route != NULL ? s->tx_route : conf_route(c, a->team, s->database);
	if (a->route == NULL)
		return OUTCOME_NO_ROUTE;
	if (!valid && !a->route->anonymous)
		return OUTCOME_NO_KEY;
	/* The connection of a transaction belongs to the team that has begun it. */
	if (s->tx_route != NULL && strcmp(a->team, s->team) != 0)
		return OUTCOME_TX_LOST;
	return OUTCOME_DONE;
}
