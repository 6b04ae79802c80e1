/**
 * @file log.c
 * Structured logging. Lines are buffered and written by log_flush(), which the event loop calls.
 * Logging never blocks: if the reader of the log is too slow or events exceed their rate limit,
 * lines are dropped and counted, and a log-left-out event reports the counts once lines fit again.
 */
#include "log.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define LOG_FIELDS_MAX 24
#define LOG_NUMBER_SIZE 24
/** Limit of buffered output: holds a few seconds of a busy daemon's lines. */
#define LOG_BUFFER_MAX_BYTES (512 * 1024)
/** Buffered output above which lines are flushed at once instead of by the next timer. */
#define LOG_FLUSH_BYTES (32 * 1024)
/** Writes of up to PIPE_BUF bytes to a pipe are atomic, so lines are never split. */
#define LOG_WRITE_MAX_BYTES PIPE_BUF
/**
 * Rate limits in lines per second, by kind. A daemon serves a few hundred statements per second on
 * a quarter of a core, and a line costs about 3 us: 1,500 lines take less than 0.5% of a core.
 * Refused statements and state changes are limited separately from successes, so that a flood of
 * successes never suppresses them.
 */
#define LOG_ROUTINE_PER_S 600
#define LOG_EVENTS_PER_S 1500
/** Limit of lines on the process itself and its dependencies. */
#define LOG_PROCESS_PER_S 100
/** Limit of lines on entries of the store. */
#define LOG_ENTRIES_PER_S 100
/** Limit of lines that report how many others were dropped. */
#define LOG_DROP_REPORTS_PER_S 10

enum log_kind {
	LOG_KIND_ROUTINE,
	LOG_KIND_EVENT,
	LOG_KIND_PROCESS,
	LOG_KIND_ENTRY,
	LOG_KIND_DROP_REPORT,
	LOG_KINDS
};

static struct {
	int fd;
	enum log_format format;
	GLogLevelFlags threshold;
	char vm[64];
	GString *out;
	time_t second; /**< the second that second_text and the line counts belong to */
	char second_text[32];
	unsigned lines[LOG_KINDS];
	uint64_t dropped[LOG_KINDS];
} log_state = {.fd = STDERR_FILENO, .threshold = G_LOG_LEVEL_INFO};

static const unsigned limits_per_s[LOG_KINDS] = {
	[LOG_KIND_ROUTINE] = LOG_ROUTINE_PER_S,		 [LOG_KIND_EVENT] = LOG_EVENTS_PER_S,
	[LOG_KIND_PROCESS] = LOG_PROCESS_PER_S,		 [LOG_KIND_ENTRY] = LOG_ENTRIES_PER_S,
	[LOG_KIND_DROP_REPORT] = LOG_DROP_REPORTS_PER_S,
};

static const struct {
	const char *name;
	GLogLevelFlags level;
} levels[] = {
	{"error", G_LOG_LEVEL_CRITICAL},
	{"warning", G_LOG_LEVEL_WARNING},
	{"info", G_LOG_LEVEL_INFO},
	{"debug", G_LOG_LEVEL_DEBUG},
};

static const char *level_name(GLogLevelFlags level)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (level & levels[i].level)
			return levels[i].name;
	}
	return "error";
}

static void put_json_string(GString *out, const char *s)
{
	g_string_append_c(out, '"');
	for (; *s != '\0'; s++) {
		if (*s == '"' || *s == '\\') {
			g_string_append_c(out, '\\');
			g_string_append_c(out, *s);
		} else if ((unsigned char)*s < ' ') {
			g_string_append_printf(out, "\\u%04x", *s);
		} else {
			g_string_append_c(out, *s);
		}
	}
	g_string_append_c(out, '"');
}

static void put_text_string(GString *out, const char *s)
{
	if (*s != '\0' && strpbrk(s, " \"\n=\\") == NULL) {
		g_string_append(out, s);
		return;
	}
	put_json_string(out, s);
}

/** Begins a new second: formats its timestamp and resets the rate limits. */
static void start_second(time_t second)
{
	struct tm tm;

	log_state.second = second;
	memset(log_state.lines, 0, sizeof(log_state.lines));
	gmtime_r(&second, &tm);
	strftime(log_state.second_text, sizeof(log_state.second_text), "%Y-%m-%dT%H:%M:%S", &tm);
}

static void put_prefix(GString *out, GLogLevelFlags level, suseconds_t us)
{
	char fraction[] = ".000000Z";
	int i;

	for (i = 6; i > 0; i--, us /= 10)
		fraction[i] = (char)('0' + us % 10);
	if (log_state.format == LOG_JSON)
		g_string_append(out, "{\"time\":\"");
	g_string_append(out, log_state.second_text);
	g_string_append(out, fraction);
	g_string_append(out, log_state.format == LOG_JSON ? "\",\"level\":\"" : " ");
	g_string_append(out, level_name(level));
	g_string_append(out, log_state.format == LOG_JSON ? "\",\"vm\":\"" : " vm=");
	g_string_append(out, log_state.vm);
	if (log_state.format == LOG_JSON)
		g_string_append_c(out, '"');
}

static void put_field(GString *out, const char *key, const char *value, bool number)
{
	if (log_state.format == LOG_JSON) {
		g_string_append_c(out, ',');
		put_json_string(out, key);
		g_string_append_c(out, ':');
		if (number)
			g_string_append(out, value);
		else
			put_json_string(out, value);
		return;
	}
	g_string_append_c(out, ' ');
	g_string_append(out, key);
	g_string_append_c(out, '=');
	put_text_string(out, value);
}

static void put_line_end(GString *out)
{
	g_string_append(out, log_state.format == LOG_JSON ? "}\n" : "\n");
}

/** Begins a line of @a kind. @return false if it is dropped by the rate limit or a full buffer */
static bool line_begin(GLogLevelFlags level, enum log_kind kind)
{
	struct timeval tv;

	if (log_state.out == NULL)
		log_state.out = g_string_sized_new(LOG_FLUSH_BYTES * 2);
	gettimeofday(&tv, NULL);
	if (tv.tv_sec != log_state.second)
		start_second(tv.tv_sec);
	if (log_state.out->len > LOG_BUFFER_MAX_BYTES ||
	    log_state.lines[kind] >= limits_per_s[kind]) {
		log_state.dropped[kind]++;
		return false;
	}
	log_state.lines[kind]++;
	put_prefix(log_state.out, level, tv.tv_usec);
	return true;
}

/** Logs the number of dropped lines once the buffer has room again. */
static void log_dropped_lines(void)
{
	uint64_t routine = log_state.dropped[LOG_KIND_ROUTINE];
	uint64_t events = log_state.dropped[LOG_KIND_EVENT] + log_state.dropped[LOG_KIND_PROCESS] +
			  log_state.dropped[LOG_KIND_ENTRY];
	char number[LOG_NUMBER_SIZE];

	if (routine + events == 0 || log_state.out->len > LOG_BUFFER_MAX_BYTES / 2)
		return;
	if (!line_begin(G_LOG_LEVEL_WARNING, LOG_KIND_DROP_REPORT))
		return;
	memset(log_state.dropped, 0, sizeof(log_state.dropped));
	put_field(log_state.out, "event", "log-left-out", false);
	g_snprintf(number, sizeof(number), "%lu", routine);
	put_field(log_state.out, "routine", number, true);
	g_snprintf(number, sizeof(number), "%lu", events);
	put_field(log_state.out, "events", number, true);
	put_line_end(log_state.out);
}

/** Writer function for GLib's log: receives messages of the libraries. */
static GLogWriterOutput log_write(GLogLevelFlags level, const GLogField *fields, gsize n,
				  gpointer data)
{
	gsize i;

	if (!line_begin(level, LOG_KIND_EVENT))
		return G_LOG_WRITER_HANDLED;
	for (i = 0; i < n; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			put_field(log_state.out, "message", fields[i].value, false);
	}
	put_line_end(log_state.out);
	log_flush();
	return G_LOG_WRITER_HANDLED;
}

static int log_fd(const char *path)
{
	if (path[0] == '\0')
		return STDERR_FILENO;
	if (strcmp(path, "-") == 0)
		return STDOUT_FILENO;
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

bool log_open(const char *path, enum log_format format, const char *level, const char *vm)
{
	unsigned i;
	int flags;

	for (i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(levels[i].name, level) == 0)
			log_state.threshold = levels[i].level;
	}
	log_state.format = format;
	g_strlcpy(log_state.vm, vm, sizeof(log_state.vm));
	log_state.fd = log_fd(path);
	if (log_state.fd < 0)
		return false;
	/*
	 * Non-blocking: a write to a pipe whose reader has stopped would otherwise block the event
	 * loop, and with it every caller.
	 */
	flags = fcntl(log_state.fd, F_GETFL);
	if (flags >= 0)
		fcntl(log_state.fd, F_SETFL, flags | O_NONBLOCK);
	g_log_set_writer_func(log_write, NULL, NULL);
	return true;
}

static void log_line(GLogLevelFlags level, enum log_kind kind, const char *event,
		     const struct log_field *fields, unsigned n)
{
	char number[LOG_NUMBER_SIZE];
	unsigned i;

	/* GLib's log levels are bit flags; less severe levels have higher values. */
	if (level > log_state.threshold || !line_begin(level, kind))
		return;
	put_field(log_state.out, "event", event, false);
	for (i = 0; i < n && i < LOG_FIELDS_MAX; i++) {
		if (fields[i].str != NULL) {
			put_field(log_state.out, fields[i].key, fields[i].str, false);
			continue;
		}
		g_snprintf(number, sizeof(number), "%ld", (long)fields[i].num);
		put_field(log_state.out, fields[i].key, number, true);
	}
	put_line_end(log_state.out);
	if (log_state.out->len > LOG_FLUSH_BYTES || level <= G_LOG_LEVEL_WARNING)
		log_flush();
}

void log_fields(GLogLevelFlags level, const char *event, const struct log_field *fields, unsigned n)
{
	log_line(level, LOG_KIND_EVENT, event, fields, n);
}

void log_routine_fields(const char *event, const struct log_field *fields, unsigned n)
{
	log_line(G_LOG_LEVEL_INFO, LOG_KIND_ROUTINE, event, fields, n);
}

void log_process_fields(GLogLevelFlags level, const char *event, const struct log_field *fields,
			unsigned n)
{
	log_line(level, LOG_KIND_PROCESS, event, fields, n);
}

void log_entry_fields(GLogLevelFlags level, const char *event, const struct log_field *fields,
		      unsigned n)
{
	log_line(level, LOG_KIND_ENTRY, event, fields, n);
}

/** @return the length of the whole lines from @a offset that fit into one atomic write */
static size_t chunk_len(size_t offset)
{
	size_t len = MIN(log_state.out->len - offset, LOG_WRITE_MAX_BYTES);

	while (len > 0 && log_state.out->str[offset + len - 1] != '\n')
		len--;
	return len;
}

void log_flush(void)
{
	static bool flushing;
	ssize_t written;
	size_t offset = 0, len;

	if (log_state.out == NULL || flushing)
		return;
	flushing = true;
	while ((len = chunk_len(offset)) > 0) {
		written = write(log_state.fd, log_state.out->str + offset, len);
		/* Drops lines that can never be written, so that a closed pipe does not fill the
		 * buffer.
		 */
		if (written < 0 && errno != EAGAIN && errno != EINTR)
			written = (ssize_t)len;
		if (written <= 0)
			break;
		offset += (size_t)written;
	}
	if (offset > 0)
		g_string_erase(log_state.out, 0, (gssize)offset);
	log_dropped_lines();
	flushing = false;
}
