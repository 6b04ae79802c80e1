/**
 * @file harness-sql.c
 * Runs SQL statements for tests. Runs threads that write orders, and compares the outcomes that
 * they received with the contents of the database.
 */
#include "harness.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Statements */

static __thread char notice_state[6], notice_detail[256];

/**
 * Saves the SQLSTATE of a FATAL error that arrives between two statements. libpq reports such an
 * error as a notice, and fails the next statement without an SQLSTATE.
 */
static void save_fatal_notice(void *arg, const PGresult *r)
{
	const char *state = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	const char *detail = PQresultErrorField(r, PG_DIAG_MESSAGE_DETAIL);

	g_strlcpy(notice_state, state != NULL ? state : "", sizeof(notice_state));
	g_strlcpy(notice_detail, detail != NULL ? detail : "", sizeof(notice_detail));
}

PGconn *fleet_connect(struct test_fleet *f, int vm, const char *team, const char *key,
		      const char *options)
{
	char port[16];
	const char *keywords[] = {"hostaddr", "port",	 "user",       "password", "dbname",
				  "options",  "sslmode", "gssencmode", NULL};
	const char *values[] = {"127.0.0.1", port,	team,	   key, "shop",
				options,     "disable", "disable", NULL};

	PGconn *c;

	g_snprintf(port, sizeof(port), "%d", f->vm[vm].caller);
	c = PQconnectStartParams(keywords, values, 0);
	PQsetNoticeReceiver(c, save_fatal_notice, NULL);
	while (PQstatus(c) != CONNECTION_BAD) {
		PostgresPollingStatusType polling = PQconnectPoll(c);
		struct pollfd p = {.fd = PQsocket(c),
				   .events = polling == PGRES_POLLING_READING ? POLLIN : POLLOUT};

		if (polling == PGRES_POLLING_OK || polling == PGRES_POLLING_FAILED)
			break;
		poll(&p, 1, 10000);
	}
	return c;
}

PGconn *fleet_connect_orders(struct test_fleet *f, int vm)
{
	return fleet_connect(f, vm, "clerks", f->key, "-c mangoloom.kind=order");
}

PGconn *member_connect(struct test_fleet *f, int member)
{
	char *text = g_strdup_printf(
		"hostaddr=127.0.0.1 port=%d user=test sslmode=disable gssencmode=disable",
		f->member[member].port);
	PGconn *c = PQconnectdb(text);

	g_free(text);
	return c;
}

static __thread char last_detail[256];

const char *sql_detail(void)
{
	return last_detail;
}

/**
 * Works as PQexec(), but returns the first error: a FATAL error rather than the loss of the
 * connection that follows it.
 */
static PGresult *exec_keep_first_error(PGconn *c, const char *text)
{
	PGresult *result = NULL, *r;

	if (!PQsendQuery(c, text))
		return PQmakeEmptyPGresult(c, PGRES_FATAL_ERROR);
	while ((r = PQgetResult(c)) != NULL) {
		if (result != NULL && PQresultStatus(result) == PGRES_FATAL_ERROR) {
			PQclear(r);
			continue;
		}
		PQclear(result);
		result = r;
	}
	return result != NULL ? result : PQmakeEmptyPGresult(c, PGRES_FATAL_ERROR);
}

const char *sql(PGconn *c, char *value, size_t size, const char *format, ...)
{
	static __thread char state[6];
	const char *field;
	va_list args;
	PGresult *r;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	r = exec_keep_first_error(c, text);
	g_free(text);
	g_strlcpy(state, "00000", sizeof(state));
	last_detail[0] = '\0';
	if (PQresultStatus(r) != PGRES_TUPLES_OK && PQresultStatus(r) != PGRES_COMMAND_OK) {
		field = PQresultErrorField(r, PG_DIAG_SQLSTATE);
		g_strlcpy(state, field != NULL ? field : "08006", sizeof(state));
		field = PQresultErrorField(r, PG_DIAG_MESSAGE_DETAIL);
		g_strlcpy(last_detail, field != NULL ? field : "", sizeof(last_detail));
		if (strcmp(state, "08006") == 0 && notice_state[0] != '\0') {
			g_strlcpy(state, notice_state, sizeof(state));
			g_strlcpy(last_detail, notice_detail, sizeof(last_detail));
			notice_state[0] = '\0';
		}
	}
	if (value != NULL)
		g_strlcpy(value, PQntuples(r) > 0 ? PQgetvalue(r, 0, 0) : "", size);
	PQclear(r);
	return state;
}

int fleet_primary(struct test_fleet *f)
{
	unsigned long best = 0;
	int primary = -1;
	int i;

	for (i = 0; i < f->n_members && i < 3; i++) {
		PGconn *c = f->member[i].pid > 0 ? member_connect(f, i) : NULL;
		char text[512], role[16];
		unsigned long term;

		if (c == NULL)
			continue;
		if (strcmp(sql(c, text, sizeof(text), "SELECT mangoloom_status(0, 0, 0)"),
			   "00000") == 0 &&
		    sscanf(text, "%15s %lu", role, &term) == 2 && strcmp(role, "primary") == 0 &&
		    term > best) {
			best = term;
			primary = i;
		}
		PQfinish(c);
	}
	return primary;
}

int64_t fleet_status(struct test_fleet *f, int vm, const char *name)
{
	char *label = g_strdup_printf("\"%s\":", name);
	int64_t value = -1;
	char *out, *at;

	fleet_cli(f, &out, "status %s --json", f->vm[vm].name);
	at = strstr(out, label);
	if (at != NULL)
		value = strtoll(at + strlen(label), NULL, 10);
	g_free(out);
	g_free(label);
	return value;
}

/* Writers */

static void writer_record(struct writer *w, const char *state)
{
	enum write_outcome outcome = WRITE_UNKNOWN;
	int64_t now = test_now_us();

	if (strcmp(state, "00000") == 0) {
		outcome = WRITE_ACKED;
		w->acked++;
		if (w->last_ack_us != 0 && now - w->last_ack_us > w->gap_us)
			w->gap_us = now - w->last_ack_us;
		w->last_ack_us = now;
	} else if (strcmp(state, "57P01") == 0 && strcmp(last_detail, "not run") == 0) {
		outcome = WRITE_NOT_RUN;
		w->stopped++;
	} else if (strcmp(last_detail, "not run") == 0) {
		outcome = WRITE_NOT_RUN;
		w->not_run++;
		if (getenv("VERBOSE") != NULL)
			printf("%s-%u: %s not run\n", w->prefix, w->told->len, state);
		if (strcmp(state, "53300") == 0)
			w->over_rate++;
	} else {
		w->unknown++;
		if (getenv("VERBOSE") != NULL)
			printf("%s-%u: %s %s\n", w->prefix, w->told->len, state, last_detail);
	}
	g_array_append_val(w->told, outcome);
}

static gpointer writer_run(gpointer data)
{
	struct writer *w = data;
	PGconn *c = NULL;
	int vm = w->vm;

	while (!w->stop) {
		int64_t start;
		const char *state;

		if (c == NULL || PQstatus(c) != CONNECTION_OK) {
			if (c != NULL) {
				PQfinish(c);
				w->lost_connections++;
				test_sleep_ms(20);
			}
			if (w->roam)
				vm = (vm + 1) % w->f->plan.vms;
			c = fleet_connect(w->f, vm, w->team, w->key, w->options);
			if (PQstatus(c) != CONNECTION_OK) {
				test_sleep_ms(50);
				continue;
			}
		}
		start = test_now_us();
		state = sql(c, NULL, 0, "INSERT INTO orders VALUES ('%s-%u', 'x')", w->prefix,
			    w->told->len);
		if (test_now_us() - start > w->wait_max_us)
			w->wait_max_us = test_now_us() - start;
		writer_record(w, state);
		if (strcmp(state, "57P01") == 0) {
			/* Session terminated; libpq may not have seen the close yet. */
			PQfinish(c);
			c = NULL;
		}
		if (w->pause_us > 0)
			usleep((useconds_t)w->pause_us);
	}
	if (c != NULL)
		PQfinish(c);
	return NULL;
}

void writer_start(struct writer *w, struct test_fleet *f, int vm, const char *prefix)
{
	w->f = f;
	w->vm = vm;
	w->team = w->team != NULL ? w->team : "clerks";
	w->key = w->key != NULL ? w->key : f->key;
	w->options = w->options != NULL ? w->options : "-c mangoloom.kind=order";
	g_strlcpy(w->prefix, prefix, sizeof(w->prefix));
	w->told = g_array_new(FALSE, TRUE, sizeof(enum write_outcome));
	w->thread = g_thread_new("writer", writer_run, w);
}

void writer_stop(struct writer *w)
{
	w->stop = 1;
	g_thread_join(w->thread);
}

static bool has_primary(struct test_fleet *f, void *arg)
{
	return fleet_primary(f) >= 0;
}

void writers_verify(struct test_fleet *f, struct writer *w, int n)
{
	unsigned lost = 0, duplicated = 0, wrongly_not_run = 0, i;
	PGconn *c;
	int k;

	CHECK(wait_until(has_primary, f, NULL, 15000), "no primary within 15 s");
	c = member_connect(f, fleet_primary(f));
	for (k = 0; k < n; k++) {
		for (i = 0; i < w[k].told->len; i++) {
			enum write_outcome outcome =
				g_array_index(w[k].told, enum write_outcome, i);
			char count[32];

			sql(c, count, sizeof(count),
			    "SELECT count(*) FROM orders WHERE key = '%s-%u'", w[k].prefix, i);
			lost += outcome == WRITE_ACKED && atoi(count) == 0;
			wrongly_not_run += outcome == WRITE_NOT_RUN && atoi(count) > 0;
			duplicated += atoi(count) > 1;
		}
		g_array_unref(w[k].told);
	}
	PQfinish(c);
	CHECK(lost == 0 && duplicated == 0 && wrongly_not_run == 0,
	      "acknowledged but lost: %u, duplicated: %u, reported as not run but present: %u",
	      lost, duplicated, wrongly_not_run);
}
