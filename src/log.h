/**
 * @file log.h
 * Structured logging: one line per event, as text or JSON. Messages that libraries send to GLib's
 * log are written as well. No field ever holds an API key or the text of a statement.
 *
 * The era counts how often the platform's store was restored from an older copy. Revisions of the
 * store are logged together with their era.
 */
#ifndef LOG_H
#define LOG_H

#include "era.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A field of an event: the text @a str, or the number @a num if @a str is NULL. */
struct log_field {
	const char *key;
	const char *str;
	int64_t num;
};

#define LOG_STR(k, v) ((struct log_field){.key = (k), .str = (v) != NULL ? (v) : ""})
#define LOG_NUM(k, v) ((struct log_field){.key = (k), .num = (int64_t)(v)})

/** Expands to two fields: a revision of the store under the key @a k, and its era. */
#define LOG_REVISION(k, v) LOG_NUM(k, era_number(v)), LOG_NUM("era", era_of(v))

/** Logs @a event with fields made by LOG_STR() and LOG_NUM(). */
#define log_event(level, event, ...)                                                               \
	log_fields((level), (event), (const struct log_field[]){__VA_ARGS__},                      \
		   sizeof((const struct log_field[]){__VA_ARGS__}) / sizeof(struct log_field))
#define log_error(event, ...) log_event(G_LOG_LEVEL_CRITICAL, event, __VA_ARGS__)
#define log_warn(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define log_info(event, ...) log_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_debug(event, ...) log_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__)

/**
 * Logs a routine event, such as a statement that succeeded. Routine events have a rate limit of
 * their own, below that of other events.
 */
#define log_routine(event, ...)                                                                    \
	log_routine_fields((event), (const struct log_field[]){__VA_ARGS__},                       \
			   sizeof((const struct log_field[]){__VA_ARGS__}) /                       \
				   sizeof(struct log_field))

/**
 * Logs a step of the process itself, a dependency that is lost or regained, or a version of the
 * document that is taken. Such events have a rate limit of their own, which refused callers cannot
 * use up.
 */
#define log_process(level, event, ...)                                                             \
	log_process_fields((level), (event), (const struct log_field[]){__VA_ARGS__},              \
			   sizeof((const struct log_field[]){__VA_ARGS__}) /                       \
				   sizeof(struct log_field))

/**
 * Logs an entry of the store, or of another VM, that can't be read. Such events have a rate limit
 * of their own too: refused callers do not hide them, and many of them hide no other lines.
 */
#define log_entry(level, event, ...)                                                               \
	log_entry_fields((level), (event), (const struct log_field[]){__VA_ARGS__},                \
			 sizeof((const struct log_field[]){__VA_ARGS__}) /                         \
				 sizeof(struct log_field))

enum log_format { LOG_TEXT, LOG_JSON };

/**
 * Opens the log: the file @a path, standard output for "-", or standard error if @a path is empty.
 * @param level least severe level that is logged: "error", "warning", "info" or "debug"
 * @param vm name of this VM, written on each line
 * @return false if the file cannot be opened
 */
bool log_open(const char *path, enum log_format format, const char *level, const char *vm);
void log_fields(GLogLevelFlags level, const char *event, const struct log_field *fields,
		unsigned n);
void log_routine_fields(const char *event, const struct log_field *fields, unsigned n);
void log_process_fields(GLogLevelFlags level, const char *event, const struct log_field *fields,
			unsigned n);
void log_entry_fields(GLogLevelFlags level, const char *event, const struct log_field *fields,
		      unsigned n);
/** Writes buffered lines as far as possible without blocking. */
void log_flush(void);

#endif
