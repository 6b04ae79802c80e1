/**
 * @file part.h
 * Fixed parts of a team's rate and burst. A team is a set of callers that share a rate limit.
 *
 * Each data centre has PARTS_PER_DC parts, each held by one of its VMs at a time. A team has equal
 * token buckets in some parts of every data centre; a VM that holds none of them requests tokens
 * from one that does. Tokens never move between parts, so a token can be granted without contact to
 * any other VM: during a network partition, or after the loss of a share allocator (share.h), each
 * side continues with the parts that it can reach. This suits teams with few callers, whose demand
 * is concentrated on few VMs and jumps between them. Dynamic shares (share.h) follow such demand
 * too late, and need reports from every VM. Source: docs/DESIGN.md, "Fixed parts of rates".
 */
#ifndef DECIDE_PART_H
#define DECIDE_PART_H

#include "share.h"

/** Parts per data centre: four of its VMs serve the tokens of all teams. */
#define PARTS_PER_DC 4

/** A team's rate and burst, divided into parts. */
struct part_split {
	unsigned per_dc; /**< number of parts with tokens in each data centre */
	double rate;	 /**< of each part */
	double burst;	 /**< of each part */
};

/** Size and load of the fleet whose VMs request tokens. */
struct part_fleet {
	unsigned data_centers; /**< data centres with at least one VM on the platform's list */
	unsigned vms;
	double all_rates; /**< sum of the rates of all teams, operations per second */
};

/**
 * Divide @a rate and @a burst into fixed parts whose sum stays within the tolerance @a t. The
 * number of VMs is no criterion by itself: dynamic shares need reports from all VMs, which costs a
 * large fleet more than single token requests do.
 * @return false when the team's rate is to be divided by dynamic shares (share.h) instead: there is
 * no tolerance, no data centre is known, or the holders of parts cannot serve all operations and
 * each VM can have a part of its own
 */
bool part_split(double rate, double burst, const struct part_fleet *f,
		const struct share_tolerance *t, struct part_split *out);
/** @return whether @a team has tokens in part @a index of each data centre */
bool part_has_team(const struct part_split *s, const char *team, unsigned index);

/** A holder of a part, as a candidate for a token request. */
struct part_candidate {
	const char *address; /**< NULL: unknown, or not to be used */
	bool near;	     /**< in the data centre of the requesting VM */
	bool tried;	     /**< did not have enough tokens in this round of requests */
};

/**
 * Choose the candidate to ask next; candidates in the own data centre come first. The order also
 * depends on @a salt, so that the VMs of a data centre do not all ask the same candidate.
 * @param allow_remote whether candidates in other data centres may be chosen
 * @return its index, or -1 when none is left
 */
int part_choose(const struct part_candidate *p, unsigned n, unsigned salt, bool allow_remote);
/**
 * Whether candidates in other data centres may be asked for tokens. When a team is over its rate,
 * their parts are as empty as the local ones, and the requests would only load the links between
 * data centres. One candidate is still asked from time to time: otherwise a team whose callers have
 * moved to this data centre would never get the tokens that are unused in others.
 * @param mostly_granted most recent token requests of the team were granted
 * @param tried_us time of the last remote request that was not granted
 */
bool part_may_ask_remote(bool mostly_granted, int64_t tried_us, int64_t now_us);

#endif
