/** @file test-log.c Logging: quoting, rate limits, and a reader that does not keep up. */
#include "harness.h"
#include "log.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/**
 * Replaces standard output by a pipe and logs to it. @param stdout_was receives a duplicate of the
 * earlier standard output
 * @return the read end of the pipe
 */
static int log_to_pipe(int *stdout_was)
{
	static bool opened;
	int fds[2];

	if (pipe(fds) != 0)
		abort();
	fflush(stdout);
	*stdout_was = dup(STDOUT_FILENO);
	dup2(fds[1], STDOUT_FILENO);
	close(fds[1]);
	if (!opened)
		log_open("-", LOG_TEXT, "info", "vm-1");
	opened = true;
	fcntl(STDOUT_FILENO, F_SETFL, O_WRONLY | O_NONBLOCK);
	return fds[0];
}

static void log_restore(int stdout_was, int in)
{
	dup2(stdout_was, STDOUT_FILENO);
	close(stdout_was);
	close(in);
	fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) & ~O_NONBLOCK);
}

static char *drain(int in)
{
	GString *all = g_string_new(NULL);
	char buf[65536];
	ssize_t n;

	fcntl(in, F_SETFL, O_NONBLOCK);
	do {
		log_flush();
		n = read(in, buf, sizeof(buf));
		if (n > 0)
			g_string_append_len(all, buf, n);
	} while (n > 0);
	return g_string_free(all, FALSE);
}

/*
 * Guards against a daemon that blocks on its log and stops serving all callers. It comes about when
 * the reader of the daemon's output stops reading and the pipe fills up. Logging must drop lines
 * instead, and report the number of dropped lines afterwards.
 */
static void test_a_full_pipe_blocks_nothing(void)
{
	int stdout_was, in = log_to_pipe(&stdout_was);
	int64_t start = test_now_ms(), took;
	int round, i;
	char *text;

	for (round = 0; round < 4; round++) {
		for (i = 0; i < 20000; i++)
			log_info("noise", LOG_NUM("i", i),
				 LOG_STR("text", "some words to fill it"));
		log_flush();
	}
	took = test_now_ms() - start;
	text = drain(in);
	log_restore(stdout_was, in);
	CHECK(took < 10000, "80,000 lines took %ld ms", (long)took);
	CHECK(strstr(text, "event=log-left-out") != NULL, "the dropped lines are reported");
	CHECK(g_str_has_suffix(text, "\n"), "lines are whole");
	g_free(text);
}

/*
 * Guards against errors missing from the log while many statements succeed. Routine events have a
 * rate limit of their own, so a flood of them must not use up the limit of other events.
 */
static void test_successes_do_not_crowd_out_the_rest(void)
{
	int stdout_was, in = log_to_pipe(&stdout_was);
	int i;
	char *text;

	for (i = 0; i < 20000; i++)
		log_routine("run", LOG_NUM("i", i));
	log_info("belief", LOG_STR("what", "changed"));
	/* Nor must refused callers hide what the process does, nor entries that can't be read. */
	for (i = 0; i < 20000; i++)
		log_info("session-refused", LOG_NUM("i", i));
	for (i = 0; i < 20000; i++)
		log_entry(G_LOG_LEVEL_WARNING, "server-malformed", LOG_NUM("member", i));
	log_process(G_LOG_LEVEL_INFO, "reload", LOG_STR("settings", "unchanged"));
	text = drain(in);
	log_restore(stdout_was, in);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "event=belief what=changed"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "event=server-malformed member=0\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "event=reload settings=unchanged"));
	CHECK(strlen(text) < 300000, "%zu bytes", strlen(text));
	g_free(text);
}

/* Guards against log lines that cannot be parsed because a value has a space, quote or newline. */
static void test_values_are_quoted(void)
{
	int stdout_was, in = log_to_pipe(&stdout_was);
	char *text;

	log_info("quoted", LOG_STR("a", "two words"), LOG_STR("b", "x\"y"), LOG_STR("c", ""),
		 LOG_STR("d", "line\nfeed"));
	text = drain(in);
	log_restore(stdout_was, in);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(text, "a=\"two words\" b=\"x\\\"y\" c=\"\" d=\"line\\u000afeed\""));
	g_free(text);
}

static const struct test_case cases[] = {
	{"values_are_quoted", test_values_are_quoted},
	{"successes_do_not_crowd_out_the_rest", test_successes_do_not_crowd_out_the_rest},
	/* Has to be the last case: it uses up the rate limit of the current second. */
	{"a_full_pipe_blocks_nothing", test_a_full_pipe_blocks_nothing},
};
HARNESS_MAIN("log", cases)
