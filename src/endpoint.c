/** @file endpoint.c HTTP endpoints for readiness checks and metrics. */
#include "endpoint.h"

#include "log.h"
#include "net.h"
#include "session.h"
#include "stat.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

/** Idle time after which a connection to an endpoint is closed. */
#define ENDPOINT_TIMEOUT_S 5

struct endpoints {
	struct service service;
	struct evhttp *ready;
	struct evhttp *metrics;
	bool was_ready;
};

static void on_ready(struct evhttp_request *req, void *arg)
{
	struct endpoints *e = arg;
	bool ready = session_accepting(e->service.kernel);

	if (ready != e->was_ready)
		log_process(G_LOG_LEVEL_INFO, "ready", LOG_NUM("ready", ready));
	e->was_ready = ready;
	evhttp_send_reply(req, ready ? 200 : 503, ready ? "OK" : "Service Unavailable", NULL);
}

static void on_metrics(struct evhttp_request *req, void *arg)
{
	struct evbuffer *out = evbuffer_new();

	stat_text(out);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
			  "text/plain; version=0.0.4");
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

static struct evhttp *listen_on(struct endpoints *e, const char *address,
				void (*cb)(struct evhttp_request *, void *), GError **error)
{
	struct evhttp *http = evhttp_new(e->service.kernel->base);
	struct evconnlistener *l = net_listen(e->service.kernel->base, address, NULL, NULL, error);

	evhttp_set_timeout(http, ENDPOINT_TIMEOUT_S);
	evhttp_set_gencb(http, cb, e);
	if (l == NULL) {
		evhttp_free(http);
		return NULL;
	}
	evhttp_bind_listener(http, l);
	return http;
}

static gboolean endpoint_start(struct service *s, GError **error)
{
	struct endpoints *e = (struct endpoints *)s;
	const struct settings *set = s->kernel->settings;

	if (set->ready_address[0] != '\0') {
		e->ready = listen_on(e, set->ready_address, on_ready, error);
		if (e->ready == NULL)
			return FALSE;
	}
	if (set->metrics_address[0] != '\0') {
		e->metrics = listen_on(e, set->metrics_address, on_metrics, error);
		if (e->metrics == NULL)
			return FALSE;
	}
	return TRUE;
}

static void endpoint_stop(struct service *s)
{
	struct endpoints *e = (struct endpoints *)s;

	if (e->ready != NULL)
		evhttp_free(e->ready);
	if (e->metrics != NULL)
		evhttp_free(e->metrics);
	g_free(e);
}

static const struct service_ops endpoint_ops = {
	.name = "endpoint",
	.start = endpoint_start,
	.stop = endpoint_stop,
};

struct service *endpoint_service_create(struct kernel *k)
{
	struct endpoints *e = g_new0(struct endpoints, 1);

	e->service.ops = &endpoint_ops;
	kernel_add(k, &e->service);
	return &e->service;
}
