/**
 * @file platform.h
 * Client of the platform's key-value service: etcd's version 3 API through its JSON gateway.
 * Nothing waits on it but the spread of changes.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "kernel.h"

#include <json-glib/json-glib.h>

/** Keys. Everything of ours begins with PLATFORM_CONF; the list of VMs is the platform's own. */
#define PLATFORM_CONF "mangoloom/conf/"
#define PLATFORM_CONF_END "mangoloom/conf0"
#define PLATFORM_HEAD "mangoloom/conf/head"
#define PLATFORM_ENTRY "mangoloom/conf/e/"
#define PLATFORM_HISTORY "mangoloom/history/"
#define PLATFORM_HISTORY_END "mangoloom/history0"
#define PLATFORM_VMS "platform/vms"

struct platform;
struct platform_watch;

/** One key of an answer; @a value is NULL for a deleted one. */
struct platform_kv {
	char *key;
	char *value;
	int64_t mod_revision;
};

/** For GLib's containers. */
void platform_kv_free(gpointer kv);

struct platform_answer {
	bool ok;	  /**< an answer came */
	bool succeeded;	  /**< of a transaction: the comparison held */
	int64_t revision; /**< of the whole store */
	GPtrArray *kvs;	  /**< of platform_kv */
};

typedef void (*platform_done)(const struct platform_answer *answer, void *arg);
/** A change, or NULL when the watch has ended. */
typedef void (*platform_event)(const struct platform_answer *change, void *arg);

/** One write of a transaction: a put, or a removal when @a value is NULL. */
struct platform_write {
	char *key;
	char *value;
};

struct platform *platform_create(struct event_base *base, const char (*endpoints)[ADDRESS_SIZE],
				 unsigned n, unsigned timeout_ms);
void platform_free(struct platform *p);
/** Read the keys from @a key up to @a end, or just @a key when @a end is NULL. */
void platform_range(struct platform *p, const char *key, const char *end, platform_done cb,
		    void *arg);
/** Read the revision of @a key alone, not its value. */
void platform_revision(struct platform *p, const char *key, platform_done cb, void *arg);
/** Carry out @a writes if @a key still has @a mod_revision (0: does not exist). */
void platform_cas(struct platform *p, const char *key, int64_t mod_revision,
		  const struct platform_write *writes, unsigned n, platform_done cb, void *arg);
/** Watch [@a key, @a end) from @a revision on. */
struct platform_watch *platform_watch(struct platform *p, const char *key, const char *end,
				      int64_t revision, platform_event cb, void *arg);
void platform_watch_stop(struct platform_watch *w);

#endif
