/**
 * @file test-it-explain.c From a failed request's id to its cause, by logs alone, as
 * docs/OPERATIONS.md tells: three kinds of failures, played, and explained with `mangoloom
 * explain`.
 */
#include "harness-line.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/** What `mangoloom explain` prints of @a id, to g_free(). */
static char *explain(struct line_fleet *f, const char *id)
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
	/* Lines are written ten times a second. */
	test_sleep_ms(400);
	pid = test_spawn(f->dir, "explain", (char **)argv->pdata, -1, -1);
	waitpid(pid, NULL, 0);
	g_file_get_contents(path, &text, NULL, NULL);
	g_ptr_array_unref(argv);
	g_free(path);
	return text != NULL ? text : g_strdup("");
}

#define TELLS(text, what) CHECK(strstr((text), (what)) != NULL, "no \"%s\" in:\n%s", (what), (text))

/* A request finds no token: the line tells the VM's part, what it holds, and what the team asks
 * for. */
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
	CHECK(strstr(c.text, "retry-after-ms=") != NULL, "when to come back: %s", c.text);
	text = explain(f, id);
	TELLS(text, "event=no-token");
	TELLS(text, "whole_rate_milli=2000");
	TELLS(text, "event=team-rate team=clerks rate_milli=2000");
	TELLS(text, "event=rates state=\"in force\"");
	TELLS(text, "outcome=over-rate");
	CHECK(strstr(text, LINE_KEY) == NULL, "no key is told");
	g_free(text);
	line_close(&c);
	line_fleet_stop(f);
}

/* A write whose primary falls silent: the caller is told that nobody knows, and the story why. */
static void test_unknown_in_a_change_of_primary(void)
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
	text = explain(f, c.id);
	TELLS(text, "event=statement-lost");
	TELLS(text, "harmless=0");
	TELLS(text, "event=change-of-primary");
	TELLS(text, "why=silent");
	TELLS(text, "outcome=lost");
	g_free(text);
	line_close(&c);
	line_fleet_stop(f);
}

/*
 * * A read that may be one second old, with replicas a minute behind, a primary that is gone and no
 * other to be had: it is turned away, and the story tells the position that was needed and what the
 * replicas had.
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
	text = explain(f, c.id);
	CHECK(strstr(text, "event=behind") != NULL || strstr(text, "event=no-replica-fits") != NULL,
	      "%s", text);
	TELLS(text, "mark_age_us=");
	TELLS(text, "event=primary pool=svc");
	g_free(text);
	line_close(&c);
	line_close(&w);
	line_fleet_stop(f);
}

static const struct test_case cases[] = {
	{"refused_for_its_rate", test_refused_for_its_rate},
	{"unknown_in_a_change_of_primary", test_unknown_in_a_change_of_primary},
	{"no_replica_is_fresh_enough", test_no_replica_is_fresh_enough},
};
HARNESS_MAIN("explain", cases)
