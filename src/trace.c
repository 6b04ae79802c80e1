/** @file trace.c Recording of the inputs and results of the failover decisions. */
#include "trace.h"

#include "home.h"

#include <stdio.h>

static FILE *trace_file;

bool trace_open(const char *path)
{
	if (path[0] == '\0')
		return true;
	trace_file = fopen(path, "w");
	if (trace_file != NULL)
		setvbuf(trace_file, NULL, _IOLBF, 0);
	return trace_file != NULL;
}

/** Writes the start of a line: kind of event, pool/member, group size. @return false if not
 * recording
 */
static bool trace_line(const struct home_member *m, const char *what)
{
	if (trace_file == NULL)
		return false;
	fprintf(trace_file, "%s %s/%s %u", what, m->pool, m->conf.name, m->view.n);
	return true;
}

void trace_report(const struct home_member *m, int i, const struct member_report *r,
		  int64_t asked_us)
{
	if (trace_line(m, "report"))
		fprintf(trace_file, " %d %ld %d %lu %lu %lu %lu\n", i, (long)asked_us, r->primary,
			r->seen_term, r->received.term, r->received.lsn, r->applied_lsn);
}

void trace_unreachable(const struct home_member *m, int i, enum member_state state, int64_t now)
{
	if (trace_line(m, "unreachable"))
		fprintf(trace_file, " %d %ld %d\n", i, (long)now, (int)state);
}

void trace_tick(const struct home_member *m, unsigned rank, uint64_t random, int64_t now)
{
	if (trace_line(m, "tick"))
		fprintf(trace_file, " %u %ld %lu\n", rank, (long)now, random);
}

void trace_fenced(const struct home_member *m, int i, uint64_t term, bool ok, struct pos received,
		  int64_t now)
{
	if (trace_line(m, "fenced"))
		fprintf(trace_file, " %d %ld %lu %d %lu %lu\n", i, (long)now, term, ok,
			received.term, received.lsn);
}

void trace_promoted(const struct home_member *m, uint64_t term, bool ok, int64_t now)
{
	if (trace_line(m, "promoted"))
		fprintf(trace_file, " %ld %lu %d\n", (long)now, term, ok);
}

void trace_outcome(const struct home_member *m, const struct failover_order *o)
{
	if (o->act != FAILOVER_NOTHING && trace_line(m, "outcome"))
		fprintf(trace_file, " %d %lu %d\n", (int)o->act, o->term, o->member);
}
