/**
 * @file test-replay.c
 * Replays the failover decisions on recorded traces (tests/traces/) and compares the decisions with
 * the recorded ones. A daemon writes a trace with the setting [log] trace. A line that begins with
 * "outcome" is a decision; every other line is an input.
 */
#include "failover.h"
#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Replayed state of the decisions that the trace records under one key. */
struct watch {
	char key[2 * NAME_SIZE];
	struct group_view view;
	struct failover failover;
	struct failover_order decided; /**< decision on the last input, not compared yet */
};

static struct {
	struct watch watch[16];
	unsigned n;
	unsigned inputs, outcomes, differ;
} replay;

static struct watch *watch_get(const char *key, unsigned members)
{
	const char *names[] = {"0", "1", "2", "3", "4", "5", "6"};
	unsigned i;

	for (i = 0; i < replay.n; i++) {
		if (strcmp(replay.watch[i].key, key) == 0)
			return &replay.watch[i];
	}
	if (replay.n == 16)
		return NULL;
	g_strlcpy(replay.watch[i].key, key, sizeof(replay.watch[i].key));
	group_init(&replay.watch[i].view, key);
	group_set_members(&replay.watch[i].view, names, members);
	replay.n++;
	return &replay.watch[i];
}

static void note_difference(const char *line)
{
	if (replay.differ++ == 0)
		printf("first difference: %s", line);
}

static void replay_input(struct watch *w, const char *what, const char *rest)
{
	struct failover_order *o = &w->decided;
	struct member_report r = {0};
	unsigned long term, random;
	long at;
	int i, ok, primary, state;

	replay.inputs++;
	if (strcmp(what, "report") == 0 &&
	    sscanf(rest, "%d %ld %d %lu %lu %lu %lu", &i, &at, &primary, &r.seen_term,
		   &r.received.term, &r.received.lsn, &r.applied_lsn) == 7) {
		r.primary = primary;
		group_report(&w->view, i, &r, at);
	} else if (strcmp(what, "unreachable") == 0 &&
		   sscanf(rest, "%d %ld %d", &i, &at, &state) == 3) {
		group_unreachable(&w->view, i, (enum member_state)state, at);
	} else if (strcmp(what, "tick") == 0 && sscanf(rest, "%d %ld %lu", &i, &at, &random) == 3) {
		*o = failover_tick(&w->failover, &w->view, (unsigned)i, random, at);
	} else if (strcmp(what, "fenced") == 0 &&
		   sscanf(rest, "%d %ld %lu %d %lu %lu", &i, &at, &term, &ok, &r.received.term,
			  &r.received.lsn) == 6) {
		*o = failover_fenced(&w->failover, &w->view, i, term, ok, r.received, at);
	} else if (strcmp(what, "promoted") == 0 &&
		   sscanf(rest, "%ld %lu %d", &at, &term, &ok) == 3) {
		*o = failover_promoted(&w->failover, term, ok, at);
	}
}

static void replay_line(const char *line)
{
	char what[32], key[2 * NAME_SIZE];
	unsigned members;
	int used = 0;
	struct watch *w;
	int act, member;
	unsigned long term;

	if (sscanf(line, "%31s %127s %u %n", what, key, &members, &used) < 3)
		return;
	w = watch_get(key, members);
	if (w == NULL)
		return;
	if (strcmp(what, "outcome") != 0) {
		if (w->decided.act != FAILOVER_NOTHING)
			note_difference(line);
		w->decided.act = FAILOVER_NOTHING;
		replay_input(w, what, line + used);
		return;
	}
	replay.outcomes++;
	if (sscanf(line + used, "%d %lu %d", &act, &term, &member) != 3 ||
	    act != (int)w->decided.act || term != w->decided.term || member != w->decided.member)
		note_difference(line);
	w->decided.act = FAILOVER_NOTHING;
}

/** Replays one file. @return its number of recorded decisions */
static unsigned replay_file(const char *path)
{
	FILE *f = fopen(path, "r");
	char line[512];

	memset(&replay, 0, sizeof(replay));
	CHECK(f != NULL, "%s", path);
	while (f != NULL && fgets(line, sizeof(line), f) != NULL)
		replay_line(line);
	if (f != NULL)
		fclose(f);
	printf("%s: %u inputs, %u outcomes, %u differ\n", path, replay.inputs, replay.outcomes,
	       replay.differ);
	CHECK(replay.differ == 0, "%u of %u outcomes differ", replay.differ, replay.outcomes);
	return replay.outcomes;
}

static const char *traces(void)
{
	return g_file_test("tests/traces", G_FILE_TEST_IS_DIR) ? "tests/traces" : "traces";
}

static void test_recorded_runs(void)
{
	GDir *dir = g_dir_open(traces(), 0, NULL);
	const char *name;
	unsigned files = 0, outcomes = 0;

	CU_ASSERT_PTR_NOT_NULL_FATAL(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(traces(), name, NULL);

		if (g_str_has_suffix(name, ".trace")) {
			outcomes += replay_file(path);
			files++;
		}
		g_free(path);
	}
	g_dir_close(dir);
	CHECK(files >= 3 && outcomes >= 9, "%u files, %u outcomes", files, outcomes);
}

static const struct test_case cases[] = {{"recorded_runs", test_recorded_runs}};
HARNESS_MAIN("replay", cases)
