/** @file rig-client.c Clients (PROTOCOL.md, "Clients"): one statement after the other on a session.
 */
#include "rig.h"

#include <stdlib.h>
#include <string.h>

#define RECONNECT_MS 100
/** A client closes its session if READY takes longer. */
#define READY_MS 2000

static void connect_client(struct client *c);

static void arm(struct client *c, int ms)
{
	struct timeval tv = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};

	event_add(c->timer, &tv);
}

static void answered(struct client *c, const char *code)
{
	bool read = g_str_has_prefix(c->text, "READ ") || g_str_has_prefix(c->text, "EXECUTE ");

	c->outstanding = false;
	note("answer     %s: %s %s%s%s after %.1f ms", c->name, c->id,
	     code[0] != '\0' ? code : "(connection lost)",
	     read && strcmp(code, "COMPLETE") == 0 ? " " : "",
	     read && strcmp(code, "COMPLETE") == 0 ? c->row : "",
	     (double)(now_us() - c->sent_us) / 1000);
	if (strcmp(code, "COMPLETE") == 0)
		c->completed++;
	if (c->answered != NULL)
		c->answered(c, code, c->row);
}

static void drop(struct client *c)
{
	if (c->bev != NULL)
		bufferevent_free(c->bev);
	c->bev = NULL;
	c->ready = false;
	if (c->outstanding)
		answered(c, "");
	if (!c->stopped)
		arm(c, RECONNECT_MS);
}

static void send_next(struct client *c)
{
	char *text = c->next(c);

	if (text == NULL) {
		arm(c, c->pace_ms);
		return;
	}
	g_free(c->text);
	c->text = text;
	g_snprintf(c->id, sizeof(c->id), "%s-%u", c->name, ++c->n);
	c->row[0] = c->code[0] = '\0';
	c->outstanding = true;
	c->sent_us = now_us();
	note("send       %s: %s %.60s%s, to %s", c->name, c->id, text,
	     strlen(text) > 60 ? "..." : "", c->vm->name);
	evbuffer_add_printf(bufferevent_get_output(c->bev), "QUERY %s %s\r\n", c->id, text);
}

static void on_line(struct client *c, const char *line)
{
	if (g_str_has_prefix(line, "ROW ")) {
		g_strlcpy(c->row, line + 4, sizeof(c->row));
	} else if (g_str_has_prefix(line, "COMPLETE")) {
		g_strlcpy(c->code, "COMPLETE", sizeof(c->code));
	} else if (g_str_has_prefix(line, "ERROR ")) {
		g_strlcpy(c->code, line + 6, sizeof(c->code));
		c->code[strcspn(c->code, " ")] = '\0';
	} else if (g_str_has_prefix(line, "READY ")) {
		event_del(c->timer);
		c->ready = true;
		if (c->outstanding)
			answered(c, c->code);
		if (!c->stopped && c->bev != NULL)
			arm(c, c->pace_ms);
	}
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct client *c = arg;
	char *line;

	while (c->bev == bev && (line = evbuffer_readln(bufferevent_get_input(bev), NULL,
							EVBUFFER_EOL_CRLF_STRICT)) != NULL) {
		on_line(c, line);
		free(line);
	}
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	if (!(what & BEV_EVENT_CONNECTED))
		drop(arg);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct client *c = arg;

	if (c->stopped)
		return;
	if (c->bev == NULL)
		connect_client(c);
	else if (c->ready)
		send_next(c);
	else
		drop(c);
}

static void connect_client(struct client *c)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)c->vm->front),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	c->session++;
	c->step = 0;
	c->bev = bufferevent_socket_new(rig.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	evbuffer_add_printf(bufferevent_get_output(c->bev), "START %s " KEY "\r\n", c->database);
	arm(c, READY_MS);
	bufferevent_socket_connect(c->bev, (struct sockaddr *)&sin, sizeof(sin));
}

struct client *client_start(const char *name, struct vm *vm, const char *database, int pace_ms,
			    client_next next, client_answered cb)
{
	struct client *c = g_new0(struct client, 1);

	c->name = name;
	c->vm = vm;
	c->database = database;
	c->pace_ms = pace_ms;
	c->next = next;
	c->answered = cb;
	c->timer = event_new(rig.base, -1, 0, on_timer, c);
	connect_client(c);
	return c;
}

void client_stop(struct client *c)
{
	c->stopped = true;
	event_del(c->timer);
	if (c->bev != NULL)
		bufferevent_free(c->bev);
	c->bev = NULL;
}
