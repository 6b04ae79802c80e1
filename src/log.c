/** @file log.c Structured logging. */
#include "log.h"

#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

#define LOG_FIELDS_MAX 24
#define LOG_BUFFER_SIZE 65536
#define LOG_NUMBER_SIZE 24

static struct {
	FILE *file;
	enum log_format format;
	GLogLevelFlags threshold;
	char vm[64];
} log_state = {.threshold = G_LOG_LEVEL_INFO};

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

static void put_json_string(FILE *f, const char *s)
{
	fputc('"', f);
	for (; *s != '\0'; s++) {
		if (*s == '"' || *s == '\\')
			fprintf(f, "\\%c", *s);
		else if ((unsigned char)*s < ' ')
			fprintf(f, "\\u%04x", *s);
		else
			fputc(*s, f);
	}
	fputc('"', f);
}

static void put_text_string(FILE *f, const char *s)
{
	if (*s != '\0' && strpbrk(s, " \"\n=\\") == NULL) {
		fputs(s, f);
		return;
	}
	put_json_string(f, s);
}

static void put_time(FILE *f)
{
	struct timeval tv;
	struct tm tm;
	char day[32];

	gettimeofday(&tv, NULL);
	gmtime_r(&tv.tv_sec, &tm);
	strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(f, "%s.%06ldZ", day, (long)tv.tv_usec);
}

static void put_field(FILE *f, const GLogField *field, bool *first)
{
	const char *key = field->key;
	const char *value = field->value;

	if (log_state.format == LOG_JSON) {
		fprintf(f, "%s", *first ? "" : ",");
		put_json_string(f, key);
		fputc(':', f);
		if (field->length == LOG_NUMBER_SIZE)
			fputs(value, f);
		else
			put_json_string(f, value);
	} else {
		fprintf(f, " %s=", key);
		put_text_string(f, value);
	}
	*first = false;
}

/**
 * GLib's writer: also messages of the libraries come here. A number is told by its field's length.
 */
static GLogWriterOutput log_write(GLogLevelFlags level, const GLogField *fields, gsize n,
				  gpointer data)
{
	FILE *f = log_state.file != NULL ? log_state.file : stderr;
	bool first = false;
	gsize i;

	if (log_state.format == LOG_JSON) {
		fputs("{\"time\":\"", f);
		put_time(f);
		fprintf(f, "\",\"level\":\"%s\",\"vm\":\"%s\"", level_name(level), log_state.vm);
	} else {
		put_time(f);
		fprintf(f, " %s vm=%s", level_name(level), log_state.vm);
	}
	for (i = 0; i < n; i++) {
		if (strncmp(fields[i].key, "CODE_", 5) == 0 ||
		    strcmp(fields[i].key, "PRIORITY") == 0 ||
		    strncmp(fields[i].key, "GLIB_", 5) == 0)
			continue;
		put_field(f, &fields[i], &first);
	}
	fputs(log_state.format == LOG_JSON ? "}\n" : "\n", f);
	if (level & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL))
		fflush(f);
	return G_LOG_WRITER_HANDLED;
}

bool log_open(const char *path, enum log_format format, const char *level, const char *vm)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(levels[i].name, level) == 0)
			log_state.threshold = levels[i].level;
	}
	log_state.format = format;
	g_strlcpy(log_state.vm, vm, sizeof(log_state.vm));
	if (strcmp(path, "-") == 0)
		log_state.file = stdout;
	else
		log_state.file = path[0] != '\0' ? fopen(path, "a") : stderr;
	if (log_state.file == NULL)
		return false;
	setvbuf(log_state.file, NULL, _IOFBF, LOG_BUFFER_SIZE);
	g_log_set_writer_func(log_write, NULL, NULL);
	return true;
}

void log_fields(GLogLevelFlags level, const char *event, const struct log_field *fields, unsigned n)
{
	GLogField out[LOG_FIELDS_MAX + 1];
	char numbers[LOG_FIELDS_MAX][LOG_NUMBER_SIZE];
	unsigned i;

	/* GLib's levels grow as they matter less. */
	if (level > log_state.threshold)
		return;
	out[0] = (GLogField){.key = "event", .value = event, .length = -1};
	for (i = 0; i < n && i < LOG_FIELDS_MAX; i++) {
		out[i + 1].key = fields[i].key;
		out[i + 1].value = fields[i].str;
		out[i + 1].length = -1;
		if (fields[i].str != NULL)
			continue;
		g_snprintf(numbers[i], sizeof(numbers[i]), "%ld", (long)fields[i].num);
		out[i + 1].value = numbers[i];
		out[i + 1].length = LOG_NUMBER_SIZE;
	}
	log_write(level, out, i + 1, NULL);
}

void log_flush(void)
{
	if (log_state.file != NULL)
		fflush(log_state.file);
}
