/**
 * @file log.h
 * Structured logs through GLib: one line an event, as text or JSON. No key and no statement is ever
 * a field.
 */
#ifndef LOG_H
#define LOG_H

#include "era.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One field of an event; @a str is NULL for a number. */
struct log_field {
	const char *key;
	const char *str;
	int64_t num;
};

#define LOG_STR(k, v) ((struct log_field){.key = (k), .str = (v) != NULL ? (v) : ""})
#define LOG_NUM(k, v) ((struct log_field){.key = (k), .num = (int64_t)(v)})

/** Two fields: a revision of the store, and its era. */
#define LOG_REVISION(k, v) LOG_NUM(k, era_number(v)), LOG_NUM("era", era_of(v))

/** Log @a event with fields made by LOG_STR() and LOG_NUM(). */
#define log_event(level, event, ...)                                                               \
	log_fields((level), (event), (const struct log_field[]){__VA_ARGS__},                      \
		   sizeof((const struct log_field[]){__VA_ARGS__}) / sizeof(struct log_field))
#define log_error(event, ...) log_event(G_LOG_LEVEL_CRITICAL, event, __VA_ARGS__)
#define log_warn(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define log_info(event, ...) log_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_debug(event, ...) log_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__)

/** Log a routine event, such as a statement that went well: left out first under load. */
#define log_routine(event, ...)                                                                    \
	log_routine_fields((event), (const struct log_field[]){__VA_ARGS__},                       \
			   sizeof((const struct log_field[]){__VA_ARGS__}) /                       \
				   sizeof(struct log_field))

enum log_format { LOG_TEXT, LOG_JSON };

/**
 * Send logs to @a path, to standard output for "-", or to standard error when it is empty. @return
 * false when it cannot be opened.
 */
bool log_open(const char *path, enum log_format format, const char *level, const char *vm);
void log_fields(GLogLevelFlags level, const char *event, const struct log_field *fields,
		unsigned n);
void log_routine_fields(const char *event, const struct log_field *fields, unsigned n);
/** Write out what is buffered, as far as that does not block. */
void log_flush(void);

#endif
