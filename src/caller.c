/**
 * @file caller.c
 * Connections of callers: accepting, timeouts, closing and reading of messages.
 */
#include "caller.h"

#include "fleet.h"
#include "log.h"
#include "net.h"
#include "stat.h"

#include <event2/bufferevent_ssl.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

/** Unsent output to a slow caller above which its next message is not handled. */
#define CALLER_UNSENT_MAX_BYTES (4U * 1024 * 1024)
/** How long a caller has to read the last message and close the connection. */
#define LINGER_US (1 * USEC_PER_SEC)

struct callers *callers_of(struct kernel *k)
{
	return (struct callers *)kernel_find(k, "callers");
}

unsigned callers_count(struct callers *cs)
{
	return cs->n;
}

const struct settings *caller_settings(const struct caller *c)
{
	return c->callers->service.kernel->settings;
}

char caller_tx_status(const struct caller *c)
{
	if (c->tx.id == 0)
		return c->tx_failed ? 'E' : 'I';
	return c->tx_failed ? 'E' : 'T';
}

void caller_send(struct caller *c, GByteArray *out)
{
	if (c->state != CALLER_CLOSED)
		bufferevent_write(c->bev, out->data, out->len);
	g_byte_array_unref(out);
}

void caller_begin_close(struct caller *c)
{
	if (!c->closing)
		c->callers->n_closing++;
	c->closing = true;
}

void caller_close(struct caller *c)
{
	struct callers *cs = c->callers;

	if (c->state == CALLER_CLOSED)
		return;
	c->state = CALLER_CLOSED;
	TAILQ_REMOVE(&cs->list, c, link);
	cs->n--;
	if (c->closing)
		cs->n_closing--;
	stat_add(STAT_CALLERS_CLOSED, 1);
	if (c->request != NULL)
		entry_detach(c->request);
	if (c->tx.id != 0)
		entry_abandon(entry_of(cs->service.kernel), &c->tx);
	caller_extended_free(c);
	event_free(c->timer);
	bufferevent_free(c->bev);
	g_free(c->sql);
	g_free(c->tokens);
	g_free(c);
}

void caller_error(struct caller *c, bool fatal, const char *sqlstate, const char *message,
		  const char *detail, const char *hint)
{
	struct pg_error e = {fatal ? "FATAL" : "ERROR", sqlstate, message, detail, hint};
	GByteArray *out = g_byte_array_new();

	pg_put_error(out, &e);
	caller_send(c, out);
	if (fatal)
		caller_begin_close(c);
}

bool caller_key_valid(struct caller *c)
{
	struct fleet *f = fleet_of(c->callers->service.kernel);
	const struct conf_key *key = conf_key(f->conf, c->key_id);
	int64_t max_age_us = (int64_t)caller_settings(c)->stale_keys_ms * USEC_PER_MSEC;

	if (key == NULL || key->withdrawn || strcmp(key->team, c->team) != 0)
		return false;
	/*
	 * An isolated VM receives no configuration, so it can't know that a key was withdrawn.
	 * stale_keys_ms limits for how long it goes on accepting keys; 0 is no limit.
	 */
	return max_age_us == 0 || fleet_conf_age_us(f) <= max_age_us;
}

static void caller_arm(struct caller *c)
{
	const struct settings *s = caller_settings(c);
	bool authenticating = c->state == CALLER_STARTUP || c->state == CALLER_PASSWORD;

	kernel_arm(c->timer, (int64_t)(c->partial || authenticating ? s->message_ms : s->idle_ms) *
				     USEC_PER_MSEC);
}

/** Handles one message. @return false if none has arrived in full or the input is invalid */
static bool caller_handle_message(struct caller *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	bool first = c->state == CALLER_STARTUP;
	size_t max = first || c->state == CALLER_PASSWORD ? PG_STARTUP_MAX_BYTES
							  : caller_settings(c)->message_max;
	struct pg_message m;

	switch (pg_message_read(in, first, max, &m)) {
	case PG_INCOMPLETE:
		return false;
	case PG_INVALID:
		caller_error(c, true, "08P01", "malformed or too long message", "not run", NULL);
		return false;
	case PG_MESSAGE:
		break;
	}
	if (first)
		caller_startup(c, &m);
	else if (c->state == CALLER_PASSWORD)
		caller_password(c, &m);
	else if (m.type == 'X')
		caller_begin_close(c);
	else if (m.type == 'Q')
		caller_query(c, &m);
	else if (!caller_extended(c, &m))
		caller_error(c, true, "08P01", "this message is not served", "not run", NULL);
	pg_message_clear(&m);
	return true;
}

/**
 * Shuts down the sending side after all output is sent, and waits for the caller to close the
 * connection or for a timeout. Closing a socket with unread input resets the connection and may
 * discard the last message, so that the caller would not learn that its statement did not run.
 */
static void caller_linger(struct caller *c)
{
	evutil_socket_t fd = bufferevent_getfd(c->bev);

	if (c->lingering)
		return;
	c->lingering = true;
	if (fd >= 0 && bufferevent_get_underlying(c->bev) == NULL)
		shutdown(fd, SHUT_WR);
	kernel_arm(c->timer, LINGER_US);
}

void caller_process(struct caller *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	while (!c->closing && c->state != CALLER_BUSY &&
	       evbuffer_get_length(out) < CALLER_UNSENT_MAX_BYTES) {
		if (!caller_handle_message(c))
			break;
	}
	c->partial = evbuffer_get_length(bufferevent_get_input(c->bev)) > 0;
	if (c->closing) {
		if (evbuffer_get_length(bufferevent_get_output(c->bev)) == 0)
			caller_linger(c);
		else
			kernel_arm(c->timer, LINGER_US);
		return;
	}
	/*
	 * Limits how far a caller can send ahead of the responses: at most one message of the
	 * maximum length is read in advance.
	 */
	bufferevent_setwatermark(c->bev, EV_READ, 0, caller_settings(c)->message_max + 64);
	if (c->state == CALLER_BUSY)
		event_del(c->timer);
	else
		caller_arm(c);
}

static void caller_read(struct bufferevent *bev, void *arg)
{
	struct caller *c = arg;

	c->last_received_us = now_us();
	if (c->closing)
		evbuffer_drain(bufferevent_get_input(bev),
			       evbuffer_get_length(bufferevent_get_input(bev)));
	else if (c->state != CALLER_BUSY)
		caller_process(c);
}

static void caller_written(struct bufferevent *bev, void *arg)
{
	struct caller *c = arg;

	if (c->closing)
		caller_linger(c);
	else if (c->state != CALLER_BUSY)
		caller_process(c);
}

static void caller_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		caller_close(arg);
}

static void caller_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct caller *c = arg;

	if (c->closing) {
		caller_close(c);
		return;
	}
	stat_add(STAT_CALLERS_TIMED_OUT, 1);
	caller_error(c, true, c->partial ? "08P01" : "57P05",
		     c->partial ? "the message did not arrive whole in time" : "idle for too long",
		     "not run", NULL);
	caller_arm(c);
}

void caller_attach(struct caller *c)
{
	bufferevent_setcb(c->bev, caller_read, caller_written, caller_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

static void caller_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
			  int len, void *arg)
{
	struct callers *cs = arg;
	struct kernel *k = cs->service.kernel;
	struct caller *c = g_new0(struct caller, 1);

	net_set_nodelay(fd);
	c->callers = cs;
	c->max_age_us = -1;
	c->last_received_us = now_us();
	c->pid = ++cs->next_pid;
	c->cancel_key = (uint32_t)random_bits();
	c->bev = bufferevent_socket_new(k->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->timer = event_new(k->base, -1, 0, caller_timeout, c);
	caller_attach(c);
	TAILQ_INSERT_TAIL(&cs->list, c, link);
	cs->n++;
	stat_add(STAT_CALLERS_OPENED, 1);
	if (cs->n - cs->n_closing > k->settings->callers_max) {
		stat_add(STAT_CALLERS_REFUSED, 1);
		caller_error(c, true, "53300", "this VM has as many callers as it serves",
			     "not run", "Connect again; another VM may serve you.");
	}
	caller_arm(c);
}

/** After a change of the configuration, ends idle sessions whose key has been withdrawn. */
static void callers_check_keys(void *owner)
{
	struct callers *cs = owner;
	struct caller *c, *next;

	TAILQ_FOREACH_SAFE(c, &cs->list, link, next) {
		if (c->state != CALLER_READY || c->closing || caller_key_valid(c))
			continue;
		log_info("key-withdrawn", LOG_STR("team", c->team), LOG_STR("key", c->key_id));
		caller_error(c, true, "28P01", "the key has been withdrawn", "not run", NULL);
		caller_process(c);
	}
}

/** Ends idle sessions with an error. A session in a transaction may end the transaction first. */
static void callers_drain(struct service *s)
{
	struct callers *cs = (struct callers *)s;
	struct caller *c, *next;

	cs->draining = true;
	evconnlistener_disable(cs->listener);
	TAILQ_FOREACH_SAFE(c, &cs->list, link, next) {
		if (c->state == CALLER_BUSY || c->tx.id != 0 || c->partial || c->closing)
			continue;
		caller_error(c, true, "57P01", "this VM is being stopped", "not run",
			     "Connect again; another VM serves you.");
		caller_process(c);
	}
}

static bool callers_drained(struct service *s)
{
	return ((struct callers *)s)->n == 0;
}

static gboolean callers_tls(struct callers *cs, const struct settings *s, GError **error)
{
	if (s->tls_certificate[0] == '\0')
		return TRUE;
	cs->tls = SSL_CTX_new(TLS_server_method());
	SSL_CTX_set_min_proto_version(cs->tls, TLS1_2_VERSION);
	if (SSL_CTX_use_certificate_chain_file(cs->tls, s->tls_certificate) == 1 &&
	    SSL_CTX_use_PrivateKey_file(cs->tls, s->tls_key, SSL_FILETYPE_PEM) == 1)
		return TRUE;
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		    "[tls]: certificate %s and key %s cannot be used", s->tls_certificate,
		    s->tls_key);
	return FALSE;
}

static gboolean callers_start(struct service *s, GError **error)
{
	struct callers *cs = (struct callers *)s;
	const struct settings *set = s->kernel->settings;

	if (!callers_tls(cs, set, error))
		return FALSE;
	cs->listener = net_listen(s->kernel->base, set->caller_address, caller_accept, cs, error);
	fleet_listen(fleet_of(s->kernel), callers_check_keys, cs);
	return cs->listener != NULL;
}

static void callers_stop(struct service *s)
{
	struct callers *cs = (struct callers *)s;
	struct caller *c;

	while ((c = TAILQ_FIRST(&cs->list)) != NULL)
		caller_close(c);
	if (cs->listener != NULL)
		evconnlistener_free(cs->listener);
	if (cs->tls != NULL)
		SSL_CTX_free(cs->tls);
	g_free(cs);
}

static const struct service_ops callers_ops = {
	.name = "callers",
	.start = callers_start,
	.drain = callers_drain,
	.drained = callers_drained,
	.stop = callers_stop,
};

struct service *caller_service_create(struct kernel *k)
{
	struct callers *cs = g_new0(struct callers, 1);

	cs->service.ops = &callers_ops;
	cs->next_pid = (uint32_t)random_bits() & 0xffffff;
	TAILQ_INIT(&cs->list);
	kernel_add(k, &cs->service);
	return &cs->service;
}
