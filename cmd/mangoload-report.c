/**
 * @file mangoload-report.c The measures of a run, and the comparison with the databases' own
 * records.
 */
#include "mangoload.h"
#include "net.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct tally {
	unsigned offered, told[LOAD_TOLD], stale;
	double *wait_ms; /**< of acknowledged requests, from their arrival */
	unsigned n_wait;
};

static double quantile(struct tally *t, double q)
{
	if (t->n_wait == 0)
		return 0;
	gsl_sort(t->wait_ms, 1, t->n_wait);
	return gsl_stats_quantile_from_sorted_data(t->wait_ms, 1, t->n_wait, q);
}

/** Count the requests of @a team (-1: all) that arrived in [from, until). */
static void tally_fill(const struct load *l, int team, int64_t from, int64_t until, struct tally *t)
{
	guint i;

	memset(t, 0, sizeof(*t));
	t->wait_ms = g_new0(double, l->requests->len + 1);
	for (i = 0; i < l->requests->len; i++) {
		const struct load_request *r = &g_array_index(l->requests, struct load_request, i);

		if ((team >= 0 && r->team != (unsigned)team) || r->due_us < from ||
		    r->due_us >= until)
			continue;
		t->offered++;
		t->told[r->told]++;
		t->stale += r->stale;
		if (r->told == LOAD_ACKED)
			t->wait_ms[t->n_wait++] = (double)(r->done_us - r->due_us) / 1000.0;
	}
}

static int by_done(const void *a, const void *b)
{
	int64_t x = ((const struct load_request *)a)->done_us,
		y = ((const struct load_request *)b)->done_us;

	return x < y ? -1 : x > y;
}

/** Longest time that a team went without an acknowledged write. */
static double team_gap_ms(const struct load *l, unsigned team)
{
	int64_t last = 0, gap = 0;
	guint i;

	for (i = 0; i < l->requests->len; i++) {
		const struct load_request *r = &g_array_index(l->requests, struct load_request, i);

		if (r->team != team || r->told != LOAD_ACKED || !l->plan.kind[r->kind].write)
			continue;
		gap = MAX(gap, r->done_us - last);
		last = r->done_us;
	}
	return (double)gap / 1000.0;
}

/** The same of the team that went without one for longest. Puts the requests in order of their
 * ends. */
static double write_gap_ms(struct load *l)
{
	double gap = 0;
	unsigned i;

	qsort(l->requests->data, l->requests->len, sizeof(struct load_request), by_done);
	for (i = 0; i < l->plan.n_teams; i++)
		gap = MAX(gap, team_gap_ms(l, i));
	return gap;
}

/**
 * Most that a team's acknowledged requests passed its rate and burst by, over any window: a bucket
 * that is drained by each acknowledgement, in the order in which they came.
 */
static double over_rate(const struct load *l, unsigned team)
{
	const struct load_team *t = &l->plan.team[team];
	double level = 0, worst = 0;
	int64_t last = 0;
	guint i;

	for (i = 0; i < l->requests->len; i++) {
		const struct load_request *r = &g_array_index(l->requests, struct load_request, i);

		if (r->team != team || r->told != LOAD_ACKED)
			continue;
		level -= t->rate * (double)(r->done_us - last) / 1e6;
		level = MAX(level, 0) + 1;
		last = r->done_us;
		worst = MAX(worst, level - t->burst);
	}
	return t->rate > 0 ? worst : 0;
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

/** A connection to each member that leads, with its group's highest term. */
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

struct compared {
	unsigned checked, lost, doubled, untrue;
};

/** What callers of writes were told, against what the databases have. */
static void compare_with_databases(const struct load *l, struct compared *x)
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
		x->lost += r->told == LOAD_ACKED && count == 0;
		x->untrue += (r->told == LOAD_REFUSED || r->told == LOAD_OVER_RATE) && count > 0;
		x->doubled += count > 1;
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
				t.offered, t.told[LOAD_ACKED], t.told[LOAD_REFUSED],
				t.told[LOAD_OVER_RATE], t.told[LOAD_UNKNOWN], quantile(&t, 0.5),
				quantile(&t, 0.99));
			g_free(t.wait_ms);
		}
	}
	fclose(f);
}

/** One line a team. @return the share of what it might have that it got */
static double report_team(const struct load *l, unsigned i, bool json, double *over,
			  unsigned *wrongly)
{
	const struct load_team *team = &l->plan.team[i];
	double allowed = team->rate > 0 ? team->rate * l->plan.seconds + team->burst : 1e12;
	double served;
	struct tally t;

	tally_fill(l, (int)i, 0, INT64_MAX, &t);
	*over = over_rate(l, i);
	/* A team that offers less than its rate should be refused nothing. */
	*wrongly = (double)t.offered <= allowed && team->surge <= 1
			   ? t.told[LOAD_OVER_RATE] + t.told[LOAD_REFUSED]
			   : 0;
	served = t.offered > 0 ? (double)t.told[LOAD_ACKED] / MIN((double)t.offered, allowed) : 1;
	printf(json ? "{\"team\":\"%s\",\"offered\":%u,\"acknowledged\":%u,\"refused\":%u,\"over_"
		      "rate\":%u,\"unknown\":%u,"
		      "\"errors\":%u,\"p50_ms\":%.2f,\"p99_ms\":%.2f,\"served\":%.4f}\n"
		    : "%-16s %7u offered %7u acknowledged %6u refused %6u over rate %4u unknown "
		      "%4u errors  "
		      "p50 %8.2f ms  p99 %8.2f ms  served %.3f\n",
	       team->name, t.offered, t.told[LOAD_ACKED], t.told[LOAD_REFUSED],
	       t.told[LOAD_OVER_RATE], t.told[LOAD_UNKNOWN], t.told[LOAD_ERROR], quantile(&t, 0.5),
	       quantile(&t, 0.99), served);
	g_free(t.wait_ms);
	return served;
}

bool load_report(struct load *l, const char *csv, bool json)
{
	double gap = write_gap_ms(l), worst = 2, over_most = 0, reads;
	unsigned wrongly = 0, i, worst_team = 0;
	struct compared x;
	struct tally all;

	for (i = 0; i < l->plan.n_teams; i++) {
		double over, served;
		unsigned w;

		served = report_team(l, i, json, &over, &w);
		if (served < worst) {
			worst = served;
			worst_team = i;
		}
		over_most = MAX(over_most, over);
		wrongly += w;
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
	       worst, wrongly, l->open, all.stale, x.checked, x.lost, x.doubled, x.untrue,
	       over_most);
	g_free(all.wait_ms);
	if (csv != NULL)
		write_csv(l, csv);
	return all.stale == 0 && x.lost == 0 && x.doubled == 0 && x.untrue == 0;
}
