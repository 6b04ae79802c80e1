/**
 * @file mangoload-report.c Statistics of a run, and the comparison of outcomes with the contents of
 * the databases.
 */
#include "mangoload.h"
#include "net.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct tally {
	unsigned offered, by_outcome[LOAD_OUTCOMES], stale;
	double *latency_ms; /**< of acknowledged requests, from arrival to answer */
	unsigned n_latencies;
};

static double latency_quantile(struct tally *t, double q)
{
	if (t->n_latencies == 0)
		return 0;
	gsl_sort(t->latency_ms, 1, t->n_latencies);
	return gsl_stats_quantile_from_sorted_data(t->latency_ms, 1, t->n_latencies, q);
}

/** Counts the requests of @a team (-1: all) that arrived in [from, until). */
static void tally_fill(const struct load *l, int team, int64_t from, int64_t until, struct tally *t)
{
	guint i;

	memset(t, 0, sizeof(*t));
	t->latency_ms = g_new0(double, l->requests->len + 1);
	for (i = 0; i < l->requests->len; i++) {
		const struct load_request *r = &g_array_index(l->requests, struct load_request, i);

		if ((team >= 0 && r->team != (unsigned)team) || r->due_us < from ||
		    r->due_us >= until)
			continue;
		t->offered++;
		t->by_outcome[r->outcome]++;
		t->stale += r->stale;
		if (r->outcome == LOAD_ACKED)
			t->latency_ms[t->n_latencies++] = (double)(r->done_us - r->due_us) / 1000.0;
	}
}

static int compare_done(const void *a, const void *b)
{
	int64_t x = ((const struct load_request *)a)->done_us,
		y = ((const struct load_request *)b)->done_us;

	return x < y ? -1 : x > y;
}

/** Returns the longest time without an acknowledged write of a team, from the start of the run. */
static double team_gap_ms(const struct load *l, unsigned team)
{
	int64_t last = 0, gap = 0;
	guint i;

	for (i = 0; i < l->requests->len; i++) {
		const struct load_request *r = &g_array_index(l->requests, struct load_request, i);

		if (r->team != team || r->outcome != LOAD_ACKED || !l->plan.kind[r->kind].write)
			continue;
		gap = MAX(gap, r->done_us - last);
		last = r->done_us;
	}
	return (double)gap / 1000.0;
}

/**
 * Returns the longest time that any team went without an acknowledged write. Sorts the requests by
 * completion time.
 */
static double write_gap_ms(struct load *l)
{
	double gap = 0;
	unsigned i;

	qsort(l->requests->data, l->requests->len, sizeof(struct load_request), compare_done);
	for (i = 0; i < l->plan.n_teams; i++)
		gap = MAX(gap, team_gap_ms(l, i));
	return gap;
}

/**
 * Returns by how many requests a team exceeded its rate and burst at most, over any window.
 * Computed with a leaky bucket: each acknowledged request adds one, and the level falls at the
 * team's rate. Requests must be sorted by completion time.
 */
static double rate_excess(const struct load *l, unsigned team)
{
	const struct load_team *t = &l->plan.team[team];
	double level = 0, excess = 0;
	int64_t last = 0;
	guint i;

	for (i = 0; i < l->requests->len; i++) {
		const struct load_request *r = &g_array_index(l->requests, struct load_request, i);

		if (r->team != team || r->outcome != LOAD_ACKED)
			continue;
		level -= t->rate * (double)(r->done_us - last) / 1e6;
		level = MAX(level, 0) + 1;
		last = r->done_us;
		excess = MAX(excess, level - t->burst);
	}
	return t->rate > 0 ? excess : 0;
}

static PGconn *connect_member(const char *address)
{
	char host[ADDRESS_SIZE];
	const char *port = net_split(address, host);
	char *text;
	PGconn *c;

	text = g_strdup_printf("hostaddr=%s port=%s user=mangoload sslmode=disable "
			       "gssencmode=disable connect_timeout=2",
			       host, port);
	c = PQconnectdb(text);
	g_free(text);
	return c;
}

static bool query_text(PGconn *c, const char *sql, char *out, size_t size)
{
	PGresult *r = PQexec(c, sql);
	bool ok = PQresultStatus(r) == PGRES_TUPLES_OK && PQntuples(r) == 1;

	g_strlcpy(out, ok ? PQgetvalue(r, 0, 0) : "", size);
	PQclear(r);
	return ok;
}

/** Connects to all members and keeps the connections to those that report the role of primary. */
static unsigned connect_primaries(const struct load *l, PGconn **out)
{
	unsigned n = 0, i;

	for (i = 0; i < l->plan.n_members; i++) {
		PGconn *c = connect_member(l->plan.member[i]);
		char text[256];

		if (PQstatus(c) == CONNECTION_OK &&
		    query_text(c, "SELECT mangoloom_status(0, 0, 0)", text, sizeof(text)) &&
		    g_str_has_prefix(text, "primary"))
			out[n++] = c;
		else
			PQfinish(c);
	}
	return n;
}

/** Counts of writes whose outcome was compared with the rows in the databases. */
struct write_check {
	unsigned checked;
	unsigned lost;		     /**< acknowledged, but not stored */
	unsigned duplicated;	     /**< stored more than once */
	unsigned refused_but_stored; /**< reported as not executed, but stored */
};

/** Compares the outcome of each write with the rows on the primaries. */
static void compare_with_databases(const struct load *l, struct write_check *x)
{
	PGconn *primary[LOAD_MEMBERS_MAX];
	unsigned n = connect_primaries(l, primary), j;
	guint i;

	memset(x, 0, sizeof(*x));
	for (i = 0; i < l->requests->len && n > 0; i++) {
		const struct load_request *r = &g_array_index(l->requests, struct load_request, i);
		unsigned count = 0;
		char *sql, text[32];

		if (!l->plan.kind[r->kind].write)
			continue;
		sql = g_strdup_printf("SELECT count(*) FROM %s WHERE key = '%s-%u'", l->plan.table,
				      l->plan.team[r->team].name, r->number);
		for (j = 0; j < n; j++) {
			if (query_text(primary[j], sql, text, sizeof(text)))
				count += (unsigned)atoi(text);
		}
		g_free(sql);
		x->checked++;
		x->lost += r->outcome == LOAD_ACKED && count == 0;
		x->refused_but_stored +=
			(r->outcome == LOAD_REFUSED || r->outcome == LOAD_OVER_RATE) && count > 0;
		x->duplicated += count > 1;
	}
	for (j = 0; j < n; j++)
		PQfinish(primary[j]);
}

static void write_csv(const struct load *l, const char *path)
{
	FILE *f = fopen(path, "w");
	unsigned second, i;

	if (f == NULL) {
		fprintf(stderr, "mangoload: cannot write %s\n", path);
		return;
	}
	fprintf(f, "second,team,offered,acknowledged,refused,over_rate,unknown,p50_ms,p99_ms\n");
	for (second = 0; second < l->plan.seconds; second++) {
		for (i = 0; i < l->plan.n_teams; i++) {
			struct tally t;

			tally_fill(l, (int)i, second * USEC_PER_SEC, (second + 1) * USEC_PER_SEC,
				   &t);
			fprintf(f, "%u,%s,%u,%u,%u,%u,%u,%.2f,%.2f\n", second, l->plan.team[i].name,
				t.offered, t.by_outcome[LOAD_ACKED], t.by_outcome[LOAD_REFUSED],
				t.by_outcome[LOAD_OVER_RATE], t.by_outcome[LOAD_UNKNOWN],
				latency_quantile(&t, 0.5), latency_quantile(&t, 0.99));
			g_free(t.latency_ms);
		}
	}
	fclose(f);
}

/**
 * Prints the line of a team.
 * @return acknowledged requests as a fraction of those offered or of those that the team's rate and
 * burst allow, whichever is smaller
 */
static double report_team(const struct load *l, unsigned i, bool json, double *excess,
			  unsigned *refused_within_rate)
{
	const struct load_team *team = &l->plan.team[i];
	double allowed = team->rate > 0 ? team->rate * l->plan.seconds + team->burst : 1e12;
	double served;
	struct tally t;

	tally_fill(l, (int)i, 0, INT64_MAX, &t);
	*excess = rate_excess(l, i);
	/* No request of a team that stays within its rate should be refused. */
	*refused_within_rate = (double)t.offered <= allowed && team->surge <= 1
				       ? t.by_outcome[LOAD_OVER_RATE] + t.by_outcome[LOAD_REFUSED]
				       : 0;
	served = t.offered > 0 ? (double)t.by_outcome[LOAD_ACKED] / MIN((double)t.offered, allowed)
			       : 1;
	printf(json ? "{\"team\":\"%s\",\"offered\":%u,\"acknowledged\":%u,\"refused\":%u,\"over_"
		      "rate\":%u,\"unknown\":%u,"
		      "\"errors\":%u,\"p50_ms\":%.2f,\"p99_ms\":%.2f,\"served\":%.4f}\n"
		    : "%-16s %7u offered %7u acknowledged %6u refused %6u over rate %4u unknown "
		      "%4u errors  "
		      "p50 %8.2f ms  p99 %8.2f ms  served %.3f\n",
	       team->name, t.offered, t.by_outcome[LOAD_ACKED], t.by_outcome[LOAD_REFUSED],
	       t.by_outcome[LOAD_OVER_RATE], t.by_outcome[LOAD_UNKNOWN], t.by_outcome[LOAD_ERROR],
	       latency_quantile(&t, 0.5), latency_quantile(&t, 0.99), served);
	g_free(t.latency_ms);
	return served;
}

bool load_report(struct load *l, const char *csv, bool json)
{
	double gap = write_gap_ms(l), worst_served = 2, excess_max = 0, reads;
	unsigned refused_within_rate = 0, i, worst_team = 0;
	struct write_check x;
	struct tally all;

	for (i = 0; i < l->plan.n_teams; i++) {
		double excess, served;
		unsigned n_refused;

		served = report_team(l, i, json, &excess, &n_refused);
		if (served < worst_served) {
			worst_served = served;
			worst_team = i;
		}
		excess_max = MAX(excess_max, excess);
		refused_within_rate += n_refused;
	}
	tally_fill(l, -1, 0, INT64_MAX, &all);
	compare_with_databases(l, &x);
	reads = (double)(l->replica_reads + l->primary_reads);
	printf(json ? "{\"reads_by_replicas\":%.4f,\"write_gap_ms\":%.1f,\"worst_team\":\"%s\","
		      "\"worst_served\":%.4f,"
		      "\"refused_within_rate\":%u,\"unanswered\":%u,\"stale\":%u,\"checked\":%u,"
		      "\"lost\":%u,\"doubled\":%u,"
		      "\"untrue\":%u,\"over_rate\":%.1f}\n"
		    : "reads by replicas %.3f; write gap %.1f ms; worst-served team %s with %.3f; "
		      "refused within rate %u\n"
		      "unanswered %u; stale %u; of %u writes in the databases: lost %u, doubled "
		      "%u, \"not run\" but there %u; "
		      "over rate and burst by %.1f\n",
	       reads > 0 ? (double)l->replica_reads / reads : 0, gap, l->plan.team[worst_team].name,
	       worst_served, refused_within_rate, l->unanswered, all.stale, x.checked, x.lost,
	       x.duplicated, x.refused_but_stored, excess_max);
	g_free(all.latency_ms);
	if (csv != NULL)
		write_csv(l, csv);
	return all.stale == 0 && x.lost == 0 && x.duplicated == 0 && x.refused_but_stored == 0;
}
