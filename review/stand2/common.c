/** @file common.c Time base and record file. */
#include "common.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static int record_fd = -1;
static int64_t start_us;

static int64_t clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

int64_t elapsed_us(void)
{
	return clock_us() - start_us;
}

void record_open(const char *dir)
{
	char *path = g_strdup_printf("%s/record.txt", dir);

	start_us = clock_us();
	record_fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
	g_free(path);
	if (record_fd < 0) {
		fprintf(stderr, "record.txt cannot be written\n");
		exit(2);
	}
}

void record(const char *format, ...)
{
	GString *line = g_string_new(NULL);
	va_list args;

	g_string_printf(line, "%.3f ", (double)elapsed_us() / US_PER_MS);
	va_start(args, format);
	g_string_append_vprintf(line, format, args);
	va_end(args);
	g_string_append_c(line, '\n');
	/* One write per line, so that the lines of several processes do not mix. */
	if (write(record_fd, line->str, line->len) < 0)
		exit(2);
	g_string_free(line, TRUE);
}
