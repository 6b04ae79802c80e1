/**
 * @file platform.h
 * Client of etcd's version 3 API through its JSON gateway. The configuration and the list of VMs
 * are read from etcd; statements never wait for it.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "kernel.h"

#include <json-glib/json-glib.h>

/**
 * Keys. The configuration is under PLATFORM_CONF: its version in PLATFORM_HEAD, each entry under
 * PLATFORM_ENTRY and its id. The platform writes PLATFORM_VMS, the list of VMs.
 */
#define PLATFORM_CONF "mangoloom/conf/"
#define PLATFORM_CONF_END "mangoloom/conf0"
#define PLATFORM_HEAD "mangoloom/conf/head"
#define PLATFORM_ENTRY "mangoloom/conf/e/"
#define PLATFORM_HISTORY "mangoloom/history/"
#define PLATFORM_HISTORY_END "mangoloom/history0"
#define PLATFORM_VMS "platform/vms"

struct platform;
struct platform_watch;

/** A key and its value; @a value is NULL if the key was deleted. */
struct platform_kv {
	char *key;
	char *value;
	int64_t mod_revision;
};

/** Frees a struct platform_kv; a GDestroyNotify for GLib's containers. */
void platform_kv_free(gpointer kv);

struct platform_answer {
	bool ok;	  /**< an answer was received */
	bool succeeded;	  /**< of a transaction: the comparison held */
	int64_t revision; /**< of the whole store */
	GPtrArray *kvs;	  /**< of platform_kv */
};

typedef void (*platform_done)(const struct platform_answer *answer, void *arg);
/** @param change the changed keys, or NULL when the watch has ended */
typedef void (*platform_watch_cb)(const struct platform_answer *change, void *arg);

/** One write of a transaction: a put, or a delete if @a value is NULL. */
struct platform_write {
	char *key;
	char *value;
};

struct platform *platform_create(struct event_base *base, const char (*endpoints)[ADDRESS_SIZE],
				 unsigned n, unsigned timeout_ms);
void platform_free(struct platform *p);
/** Reads the keys in [@a key, @a end), or only @a key if @a end is NULL. */
void platform_range(struct platform *p, const char *key, const char *end, platform_done cb,
		    void *arg);
/** Reads the revision of @a key without its value. */
void platform_revision(struct platform *p, const char *key, platform_done cb, void *arg);
/** Applies @a writes if @a key is still at @a mod_revision (0: does not exist). */
void platform_cas(struct platform *p, const char *key, int64_t mod_revision,
		  const struct platform_write *writes, unsigned n, platform_done cb, void *arg);
/** Watches [@a key, @a end), or only @a key if @a end is NULL, for changes from @a revision on. */
struct platform_watch *platform_watch(struct platform *p, const char *key, const char *end,
				      int64_t revision, platform_watch_cb cb, void *arg);
void platform_watch_stop(struct platform_watch *w);

#endif
