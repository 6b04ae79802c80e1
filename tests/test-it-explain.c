/**
 * @file test-it-explain.c
 * Finds the cause of a failed request from its id and the VMs' logs alone, with `mangoloom explain`
 * as in docs/OPERATIONS.md, for three kinds of failure.
 */
#include "harness-line.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/**
 * Runs `mangoloom explain` for the request @a id on the logs of all VMs.
 * @return what it printed, to g_free()
 */
static char *run_explain(struct line_fleet *f, const char *id)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	char *path = g_strdup_printf("%s/explain.err", f->dir);
	char *text = NULL;
	pid_t pid;
	int i;

	unlink(path);
	g_ptr_array_add(argv, g_strdup("mangoloom"));
	g_ptr_array_add(argv, g_strdup("explain"));
	g_ptr_array_add(argv, g_strdup(id));
	for (i = 0; i < f->n_vms; i++)
		g_ptr_array_add(argv, g_strdup_printf("%s/vm%d.err", f->dir, i));
	g_ptr_array_add(argv, NULL);
	/* The daemons flush their logs ten times a second. */
	test_sleep_ms(400);
	pid = test_spawn(f->dir, "explain", (char **)argv->pdata, -1, -1);
	waitpid(pid, NULL, 0);
	g_file_get_contents(path, &text, NULL, NULL);
	g_ptr_array_unref(argv);
	g_free(path);
	return text != NULL ? text : g_strdup("");
}

#define CHECK_CONTAINS(text, what)                                                                 \
	CHECK(strstr((text), (what)) != NULL, "no \"%s\" in:\n%s", (what), (text))

/*
 * A request is refused because the team's token bucket is empty. The log has to show the team's
 * rate over all VMs, this VM's part of it, and the outcome.
 */
static void test_refused_for_its_rate(void)
{
	struct line_fleet *f = line_fleet_start(2);
	struct line_client c, many[30];
	char *text, id[32] = "", line[64];
	int i;

	f->rate = 2;
	line_write_document(f);
	test_sleep_ms(400);
	CU_ASSERT_TRUE(line_connect(&c, f, 0, LINE_DB_PRIMARY, LINE_KEY));
	for (i = 0; i < 30; i++) {
		CU_ASSERT_TRUE(line_connect(&many[i], f, 0, LINE_DB_PRIMARY, LINE_KEY));
		g_snprintf(line, sizeof(line), "QUERY rate.%d READ a\r\n", i);
		line_send(&many[i], line, strlen(line));
	}
	for (i = 0; i < 30; i++) {
		line_read_answer(&many[i]);
		if (strcmp(many[i].code, "BUSY") == 0) {
			g_snprintf(id, sizeof(id), "rate.%d", i);
			g_strlcpy(c.text, many[i].text, sizeof(c.text));
		}
		line_close(&many[i]);
	}
	CHECK(strstr(c.text, "retry-after-ms=") != NULL, "the refusal has no retry-after-ms: %s",
	      c.text);
	text = run_explain(f, id);
	CHECK_CONTAINS(text, "event=no-token");
	CHECK_CONTAINS(text, "whole_rate_milli=2000");
	CHECK_CONTAINS(text, "event=team-rate team=clerks rate_milli=2000");
	CHECK_CONTAINS(text, "event=rates state=\"in force\"");
	CHECK_CONTAINS(text, "outcome=over-rate");
	CHECK(strstr(text, LINE_KEY) == NULL, "a key is in the log");
	g_free(text);
	line_close(&c);
	line_fleet_stop(f);
}

/*
 * The primary stops answering while a write is under way. The caller gets INDOUBT, and the log has
 * to show the lost statement and the change of primary with its reason.
 */
static void test_unknown_outcome_in_a_change_of_primary(void)
{
	struct line_fleet *f = line_fleet_start(3);
	struct line_client c;
	char primary[32], *text;

	line_primary(f, primary);
	CU_ASSERT_TRUE(line_connect(&c, f, 1, LINE_DB_PRIMARY, LINE_KEY));
	line_query(&c, "WRITE u1 x");
	CU_ASSERT_STRING_EQUAL(c.code, "COMPLETE");
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"dark\"}", primary);
	line_query(&c, "WRITE u1 y");
	CHECK(strcmp(c.code, "INDOUBT") == 0, "%s %s", c.code, c.text);
	text = run_explain(f, c.id);
	CHECK_CONTAINS(text, "event=statement-lost");
	CHECK_CONTAINS(text, "harmless=0");
	CHECK_CONTAINS(text, "event=change-of-primary");
	CHECK_CONTAINS(text, "why=silent");
	CHECK_CONTAINS(text, "outcome=lost");
	g_free(text);
	line_close(&c);
	line_fleet_stop(f);
}

/*
 * A read with a staleness limit of one second is refused: the replicas lag by a minute, the primary
 * does not answer, and promotions are refused. The log has to show the log position that the read
 * needed and how far the replicas had come.
 */
static void test_no_replica_is_fresh_enough(void)
{
	struct line_fleet *f = line_fleet_start(3);
	struct line_client c, w;
	char primary[32], *text;
	int64_t until = test_now_ms() + 15000;
	int i;

	line_primary(f, primary);
	for (i = 0; i < LINE_MEMBERS; i++)
		line_fault(f, "{\"member\":\"m%d\",\"lag_ms\":60000}", i);
	CU_ASSERT_TRUE(line_connect(&w, f, 1, LINE_DB_PRIMARY, LINE_KEY));
	line_query(&w, "WRITE n1 x");
	CU_ASSERT_STRING_EQUAL(w.code, "COMPLETE");
	test_sleep_ms(1200);
	line_query(&w, "READ n1");
	line_fault(f, "{\"refuse_promotions\":true}");
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"dark\"}", primary);
	do {
		CU_ASSERT_TRUE(line_connect(&c, f, 1, LINE_DB_BOUNDED, LINE_KEY));
		line_query(&c, "READ n1");
		if (strcmp(c.code, "COMPLETE") != 0)
			break;
		line_close(&c);
	} while (test_now_ms() < until);
	CHECK(strcmp(c.code, "LAGGING") == 0 || strcmp(c.code, "BUSY") == 0, "%s", c.code);
	text = run_explain(f, c.id);
	CHECK(strstr(text, "event=behind") != NULL || strstr(text, "event=no-replica-fits") != NULL,
	      "%s", text);
	CHECK_CONTAINS(text, "mark_age_us=");
	CHECK_CONTAINS(text, "event=primary pool=svc");
	g_free(text);
	line_close(&c);
	line_close(&w);
	line_fleet_stop(f);
}

static const struct test_case cases[] = {
	{"refused_for_its_rate", test_refused_for_its_rate},
	{"unknown_outcome_in_a_change_of_primary", test_unknown_outcome_in_a_change_of_primary},
	{"no_replica_is_fresh_enough", test_no_replica_is_fresh_enough},
};
HARNESS_MAIN("explain", cases)
