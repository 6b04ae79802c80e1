/**
 * @file common.h
 * Time base, record file and addresses that the driver of a case and its stand-ins share.
 */
#ifndef STAND2_COMMON_H
#define STAND2_COMMON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define US_PER_MS INT64_C(1000)
#define US_PER_S INT64_C(1000000)
#define SERVERS 3
#define MACHINES_MAX 6

/** What the stand-ins simulate. Filled in before the processes are started. */
struct world_conf {
	const char *service;
	struct {
		const char *name, *zone;
		int port;
	} server[SERVERS]; /**< the first one starts as the primary */
	int store_port, promotion_port;
	struct {
		const char *name;
		int port; /**< its path to the promotion call */
	} machine[MACHINES_MAX];
	unsigned machines;
	bool sync; /**< synchronous-replicas is 1 */
	int connection_limit;
	int work_ms;	  /**< duration of a read, write or commit */
	int replicate_ms; /**< time until a replica has received a commit */
	int promote_ms;
	int drain_ms;	   /**< drain-timeout-ms */
	int drain_stay_ms; /**< how much longer a draining server serves */
	int heartbeat_ms;
};

/** Opens record.txt in @a dir and starts the clock; called before any fork. */
void record_open(const char *dir);
/** Appends a line with the time in ms. */
void record(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Microseconds since record_open(). */
int64_t elapsed_us(void);

/** Serves the stand-ins until @a commands is closed; answers each command on @a replies. */
void world_run(const struct world_conf *conf, int commands, int replies) G_GNUC_NORETURN;

#endif
