/** @file status.c Serves the status of this daemon as JSON, and requests to stop it. */
#include "status.h"

#include "caller.h"
#include "fleet.h"
#include "home.h"
#include "json-text.h"
#include "owner.h"
#include "rpc.h"
#include "shares.h"
#include "stat.h"

#include <sys/resource.h>

static void put_usage(JsonBuilder *b)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	json_builder_set_member_name(b, "cpu_us");
	json_builder_add_int_value(b, (u.ru_utime.tv_sec + u.ru_stime.tv_sec) * USEC_PER_SEC +
					      u.ru_utime.tv_usec + u.ru_stime.tv_usec);
	json_builder_set_member_name(b, "memory_kb");
	json_builder_add_int_value(b, u.ru_maxrss);
}

/** Whether groups have owners, and members have no homes. */
static bool is_prepared(const struct kernel *k)
{
	return k->settings->platform_kind == PLATFORM_PREPARED;
}

static char *status_json(struct kernel *k)
{
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "vm");
	json_builder_add_string_value(b, k->settings->name);
	json_builder_set_member_name(b, "data_center");
	json_builder_add_string_value(b, k->settings->data_center);
	json_builder_set_member_name(b, "draining");
	json_builder_add_boolean_value(b, k->draining);
	if (is_prepared(k)) {
		standing_json(owner_of(k), b);
	} else {
		json_builder_set_member_name(b, "callers");
		json_builder_add_int_value(b, callers_count(callers_of(k)));
		home_json(home_of(k), b);
	}
	put_usage(b);
	fleet_json(fleet_of(k), b);
	shares_json(shares_of(k), b);
	json_builder_set_member_name(b, "counters");
	json_builder_begin_object(b);
	stat_json(b);
	json_builder_end_object(b);
	json_builder_end_object(b);
	return json_text_take(b);
}

static void status_serve(struct rpc_request *rq, const void *args, void *ctx)
{
	struct service *s = ctx;
	ml_status_res res = {.json = status_json(s->kernel)};

	rpc_reply(rq, &res);
	g_free(res.json);
}

static void stop_serve(struct rpc_request *rq, const void *args, void *ctx)
{
	struct service *s = ctx;
	ml_status_res res = {.json = "{}"};

	rpc_reply(rq, &res);
	kernel_drain(s->kernel);
}

static gboolean status_start(struct service *s, GError **error)
{
	rpc_serve(rpc_of(s->kernel), ML_STATUS, status_serve, s);
	/* The prepared platform stops its VMs itself. */
	if (!is_prepared(s->kernel))
		rpc_serve(rpc_of(s->kernel), ML_STOP, stop_serve, s);
	return TRUE;
}

static void status_stop(struct service *s)
{
	g_free(s);
}

static const struct service_ops status_ops = {
	.name = "status",
	.start = status_start,
	.stop = status_stop,
};

struct service *status_service_create(struct kernel *k)
{
	struct service *s = g_new0(struct service, 1);

	s->ops = &status_ops;
	kernel_add(k, s);
	return s;
}
