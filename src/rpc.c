/** @file rpc.c RPC transport: outgoing connections by address, the listener, calls and requests. */
#include "rpc.h"

#include "error.h"
#include "log.h"
#include "net.h"
#include "rpc-msg.h"
#include "stat.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>

#define RPC_RECORD_MAX_BYTES (96U * 1024 * 1024)
#define RPC_RECORD_MARK_BYTES 4
#define RPC_LAST_FRAGMENT 0x80000000U
/** How often each connection is checked for silence within settings.silent_ms. */
#define RPC_SILENCE_CHECKS 4

#define PROC(upper, lower, args, res, control)                                                     \
	[upper] = {lower,  (xdrproc_t)xdr_##args, sizeof(args), (xdrproc_t)xdr_##res, sizeof(res), \
		   control}

const struct rpc_proc rpc_procs[RPC_PROCS] = {
	[0] = {"ping", rpc_xdr_none, 0, rpc_xdr_none, 0, true},
	PROC(ML_HEARTBEAT, "heartbeat", ml_heartbeat, ml_heartbeat, true),
	PROC(ML_EXEC, "exec", ml_exec_args, ml_exec_res, false),
	PROC(ML_MEMBER, "member", ml_member_args, ml_member_res, true),
	PROC(ML_ORDER, "order", ml_order_args, ml_order_res, true),
	PROC(ML_CONF, "conf", ml_conf_args, ml_conf_res, true),
	PROC(ML_SHARE, "share", ml_share_args, ml_share_res, true),
	PROC(ML_REPORT_REQUEST, "poke", ml_report_request, ml_none, true),
	PROC(ML_RUN, "run", ml_run_args, ml_run_res, false),
	PROC(ML_OWNER, "owner", ml_owner, ml_owner, true),
	PROC(ML_YIELD, "yield", ml_yield_args, ml_yield_res, true),
	PROC(ML_REACH, "reach", ml_reach_args, ml_none, true),
	PROC(ML_TOKENS, "tokens", ml_tokens_args, ml_tokens_res, true),
	PROC(ML_TOKENS_CLASS, "tokens-class", ml_tokens_class_args, ml_tokens_class_res, true),
	PROC(ML_MEMBER_LOAD, "member-load", ml_member_load_args, ml_member_load_res, true),
	PROC(ML_PREOPEN, "preopen", ml_preopen_args, ml_none, true),
	PROC(ML_RELAY, "relay", ml_relay_args, ml_relay_res, false),
	PROC(ML_STANDING, "standing", ml_standing_args, ml_standing_res, true),
	PROC(ML_MOVE_PRIMARY, "move-primary", ml_move_primary_args, ml_move_primary_res, true),
	PROC(ML_REBALANCE, "rebalance", ml_rebalance_args, ml_status_res, true),
	PROC(ML_COMMIT_STATUS, "fate", ml_commit_status_args, ml_commit_status_res, false),
	[ML_STATUS] = {"status", rpc_xdr_none, 0, (xdrproc_t)xdr_ml_status_res,
		       sizeof(ml_status_res), false},
	[ML_STOP] = {"stop", rpc_xdr_none, 0, (xdrproc_t)xdr_ml_status_res, sizeof(ml_status_res),
		     false},
};

struct rpc_conn;

struct rpc_call {
	TAILQ_ENTRY(rpc_call) link;
	struct rpc *rpc;
	struct rpc_conn *conn; /**< NULL for a call to this process */
	u_int xid;
	u_int proc;
	int64_t sent_us;
	rpc_done cb; /**< NULL if there is none, or after rpc_call_detach() */
	void *arg;
	struct event *timer;
	enum rpc_status status;	     /**< for a call to this process */
	void *res;		     /**< for a call to this process */
	struct rpc_request *request; /**< unanswered request of a call to this process, or NULL */
};
TAILQ_HEAD(rpc_calls, rpc_call);

struct rpc_request {
	TAILQ_ENTRY(rpc_request) link;
	struct rpc *rpc;
	struct rpc_conn *conn;	/**< NULL after it was closed, and for a call of this process */
	struct rpc_call *local; /**< the call, if this process made it */
	u_int xid;
	u_int proc;
	uint64_t incarnation;
	void *args;
};
TAILQ_HEAD(rpc_requests, rpc_request);

struct rpc_conn {
	TAILQ_ENTRY(rpc_conn) link;
	struct rpc *rpc;
	unsigned refs;
	bool closed;
	uint64_t number;
	char address[ADDRESS_SIZE]; /**< empty for an accepted connection */
	struct bufferevent *bev;
	bool connected;
	bool vm_name_sent;	  /**< a call with this VM's name was sent */
	char caller[NAME_SIZE];	  /**< VM that opened an accepted connection; "" if not known */
	struct evbuffer *unsent;  /**< records to be sent once the connection is established */
	int64_t last_received_us; /**< or when it was opened */
	int64_t last_data_us;	  /**< when data was last received; 0: never */
	int64_t keep_until_us;	  /**< not closed for lack of calls before this time */
	int64_t ping_sent_us;	  /**< time of the unanswered ping; 0: none */
	struct rpc_calls calls;
	struct rpc_requests requests;
};
TAILQ_HEAD(rpc_conns, rpc_conn);

struct rpc {
	struct kernel *kernel;
	struct evconnlistener *listener;
	struct rpc_conns conns;
	uint64_t next_conn;
	u_int next_xid;
	GHashTable *by_address;
	struct rpc_calls local_done; /**< local calls whose callbacks are due */
	struct event *local_done_event;
	struct event *silence_timer;
	struct {
		rpc_handler handler;
		void *ctx;
	} served[RPC_PROCS];
	struct {
		rpc_closed cb;
		void *ctx;
	} closed;
};

static void rpc_conn_close(struct rpc_conn *c);

static void rpc_conn_unref(struct rpc_conn *c)
{
	if (--c->refs > 0)
		return;
	evbuffer_free(c->unsent);
	g_free(c);
}

static const char *rpc_secret(const struct rpc *r)
{
	return r->kernel->settings->rpc_secret;
}

static void count_bytes(u_int proc, size_t len, bool in)
{
	stat_add(in ? STAT_RPC_BYTES_IN : STAT_RPC_BYTES_OUT, len);
	stat_message(proc, rpc_procs[proc].name, len, in);
	if (rpc_procs[proc].control)
		stat_add(in ? STAT_CONTROL_BYTES_IN : STAT_CONTROL_BYTES_OUT, len);
}

/** Ends @a call with @a status: frees it and calls its callback. */
static void rpc_call_end(struct rpc_call *call, enum rpc_status status, const void *res)
{
	rpc_done cb = call->cb;
	void *arg = call->arg;

	if (call->conn != NULL)
		TAILQ_REMOVE(&call->conn->calls, call, link);
	if (call->request != NULL)
		call->request->local = NULL;
	if (call->timer != NULL)
		event_free(call->timer);
	if (status != RPC_DONE)
		stat_add(STAT_RPC_LOST, 1);
	g_free(call);
	if (cb != NULL)
		cb(status, res, arg);
}

void rpc_call_detach(struct rpc_call *call)
{
	call->cb = NULL;
}

static void rpc_call_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct rpc_call *call = arg;

	/*
	 * The record of the call is buffered until the connection is established, and would be sent
	 * even after this timeout. The call is reported as not sent, so the caller may repeat it,
	 * and both would be executed. Closing the connection drops the record.
	 */
	if (call->conn != NULL && !call->conn->connected) {
		rpc_conn_close(call->conn);
		return;
	}
	rpc_call_end(call, call->sent_us != 0 ? RPC_LOST : RPC_NOT_SENT, NULL);
}

static void rpc_send(struct rpc_conn *c, const struct rpc_header *h, xdrproc_t codec,
		     const void *body)
{
	size_t len;
	char *record = rpc_msg_encode(h, codec, body, rpc_secret(c->rpc), &len);

	if (record == NULL) {
		log_warn("rpc-encode", LOG_STR("proc", rpc_procs[h->proc].name));
		return;
	}
	count_bytes(h->proc, len, false);
	/*
	 * A record that is written to a connecting socket is sent as soon as the connection is
	 * established, before this process handles the event. A call that timed out in between was
	 * reported as not sent although its write was committed (2 of 76,000 statements on slow
	 * VMs). Records are therefore held back until their calls are marked as sent.
	 */
	if (c->connected)
		bufferevent_write(c->bev, record, len);
	else
		evbuffer_add(c->unsent, record, len);
	g_free(record);
}

static void rpc_request_free(struct rpc_request *rq)
{
	const struct rpc_proc *p = &rpc_procs[rq->proc];

	if (rq->conn != NULL)
		TAILQ_REMOVE(&rq->conn->requests, rq, link);
	if (rq->args != NULL) {
		xdr_free(p->args, rq->args);
		g_free(rq->args);
	}
	g_free(rq);
}

/** Copies arguments or a result for a call to this process, by encoding and decoding them. */
static void *rpc_copy(xdrproc_t codec, size_t size, const void *from)
{
	u_long len = xdr_sizeof(codec, (void *)from);
	void *to = g_malloc0(size > 0 ? size : 1);
	char *bytes = g_malloc(len + 1);
	XDR x;

	xdrmem_create(&x, bytes, (u_int)len, XDR_ENCODE);
	codec(&x, (void *)from);
	xdr_destroy(&x);
	rpc_msg_body(bytes, len, codec, to);
	g_free(bytes);
	return to;
}

void rpc_reply(struct rpc_request *rq, const void *res)
{
	const struct rpc_proc *p = &rpc_procs[rq->proc];
	struct rpc_header h = {.xid = rq->xid, .proc = rq->proc, .incarnation = rq->incarnation};

	if (rq->local != NULL) {
		event_del(rq->local->timer);
		rq->local->request = NULL;
		rq->local->res = rpc_copy(p->res, p->res_size, res);
		rq->local->status = RPC_DONE;
		TAILQ_INSERT_TAIL(&rq->rpc->local_done, rq->local, link);
		event_active(rq->rpc->local_done_event, EV_TIMEOUT, 0);
	} else if (rq->conn != NULL) {
		rpc_send(rq->conn, &h, p->res, res);
	}
	rpc_request_free(rq);
}

uint64_t rpc_request_conn(const struct rpc_request *rq)
{
	return rq->conn != NULL ? rq->conn->number : 0;
}

const char *rpc_request_vm(const struct rpc_request *rq)
{
	if (rq->conn != NULL)
		return rq->conn->caller;
	return rq->local != NULL ? rq->rpc->kernel->settings->name : "";
}

/** Calls the callbacks of answered calls to this process. */
static void rpc_deliver_local(evutil_socket_t fd, short what, void *arg)
{
	struct rpc_calls batch = TAILQ_HEAD_INITIALIZER(batch);
	struct rpc *r = arg;
	struct rpc_call *call;

	/*
	 * Calls that these callbacks make are answered in the next iteration of the event loop, so
	 * that a chain of local calls does not starve other events.
	 */
	TAILQ_CONCAT(&batch, &r->local_done, link);
	while ((call = TAILQ_FIRST(&batch)) != NULL) {
		const struct rpc_proc *p = &rpc_procs[call->proc];
		void *res = call->res;

		TAILQ_REMOVE(&batch, call, link);
		rpc_call_end(call, call->status, res);
		xdr_free(p->res, res);
		g_free(res);
	}
}

static void rpc_handle(struct rpc *r, struct rpc_request *rq)
{
	if (r->served[rq->proc].handler == NULL) {
		rpc_request_free(rq);
		return;
	}
	r->served[rq->proc].handler(rq, rq->args, r->served[rq->proc].ctx);
}

static void rpc_receive_call(struct rpc_conn *c, const struct rpc_header *h, char *body, size_t len)
{
	const struct rpc_proc *p;
	struct rpc_request *rq;

	if (h->caller[0] != '\0')
		g_strlcpy(c->caller, h->caller, sizeof(c->caller));
	if (h->proc == NULLPROC) {
		struct rpc_header reply = {.xid = h->xid, .incarnation = h->incarnation};

		rpc_send(c, &reply, rpc_xdr_none, NULL);
		return;
	}
	if (h->proc >= RPC_PROCS)
		return;
	p = &rpc_procs[h->proc];
	rq = g_new0(struct rpc_request, 1);
	rq->rpc = c->rpc;
	rq->conn = c;
	rq->xid = h->xid;
	rq->proc = h->proc;
	rq->incarnation = h->incarnation;
	rq->args = g_malloc0(p->args_size + 1);
	TAILQ_INSERT_TAIL(&c->requests, rq, link);
	if (!rpc_msg_body(body, len, p->args, rq->args)) {
		log_warn("rpc-malformed", LOG_STR("proc", p->name));
		rpc_request_free(rq);
		return;
	}
	rpc_handle(c->rpc, rq);
}

static void rpc_receive_reply(struct rpc_conn *c, const struct rpc_header *h, char *body,
			      size_t len)
{
	const struct rpc_proc *p;
	struct rpc_call *call;
	void *res;

	/* Drops a reply to an earlier process on this VM, or to a call that has ended. */
	if (h->incarnation != c->rpc->kernel->incarnation)
		return;
	TAILQ_FOREACH(call, &c->calls, link) {
		if (call->xid == h->xid)
			break;
	}
	if (call == NULL)
		return;
	count_bytes(call->proc, len, true);
	p = &rpc_procs[call->proc];
	if (call->proc == NULLPROC)
		c->ping_sent_us = 0;
	res = g_malloc0(p->res_size + 1);
	if (rpc_msg_body(body, len, p->res, res))
		rpc_call_end(call, RPC_DONE, res);
	else
		rpc_call_end(call, RPC_LOST, NULL);
	xdr_free(p->res, res);
	g_free(res);
}

/**
 * Checks for a complete record at the start of @a in. @return its length without the record mark, 0
 * if it is incomplete, or -1 if it is malformed
 */
static ssize_t rpc_record_length(struct evbuffer *in)
{
	uint32_t mark;
	size_t len;

	if (evbuffer_copyout(in, &mark, sizeof(mark)) < (ssize_t)sizeof(mark))
		return 0;
	mark = ntohl(mark);
	len = mark & ~RPC_LAST_FRAGMENT;
	if (!(mark & RPC_LAST_FRAGMENT) || len > RPC_RECORD_MAX_BYTES)
		return -1;
	if (evbuffer_get_length(in) < RPC_RECORD_MARK_BYTES + len)
		return 0;
	return (ssize_t)len;
}

/** Removes one record from @a in and handles it. @return false if the connection must be closed */
static bool rpc_receive_record(struct rpc_conn *c, struct evbuffer *in, size_t len)
{
	char *record = g_malloc(len);
	struct rpc_header h = {0};
	size_t body_offset;

	evbuffer_drain(in, RPC_RECORD_MARK_BYTES);
	evbuffer_remove(in, record, len);
	body_offset = rpc_msg_header(record, len, rpc_secret(c->rpc), &h);
	if (body_offset == 0) {
		log_warn("rpc-rejected", LOG_STR("address", c->address));
	} else if (h.call) {
		if (h.proc < RPC_PROCS)
			count_bytes(h.proc, len, true);
		rpc_receive_call(c, &h, record + body_offset, len - body_offset);
	} else {
		rpc_receive_reply(c, &h, record + body_offset, len - body_offset);
	}
	g_free(record);
	return body_offset != 0;
}

static void rpc_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct rpc_conn *c = arg;
	bool ok = true;
	ssize_t len = 0;

	c->last_received_us = c->last_data_us = now_us();
	c->refs++;
	/* Handlers and callbacks may close this connection. */
	while (ok && !c->closed && (len = rpc_record_length(in)) > 0)
		ok = rpc_receive_record(c, in, (size_t)len);
	if (!c->closed && (!ok || len < 0))
		rpc_conn_close(c);
	rpc_conn_unref(c);
}

static void rpc_conn_event(struct bufferevent *bev, short what, void *arg)
{
	struct rpc_conn *c = arg;

	if (what & BEV_EVENT_CONNECTED) {
		struct rpc_call *call;

		c->connected = true;
		c->last_received_us = now_us();
		net_set_nodelay(bufferevent_getfd(bev));
		TAILQ_FOREACH(call, &c->calls, link)
			call->sent_us = c->last_received_us;
		bufferevent_write_buffer(bev, c->unsent);
		return;
	}
	rpc_conn_close(c);
}

static struct rpc_conn *rpc_conn_create(struct rpc *r, evutil_socket_t fd)
{
	struct rpc_conn *c = g_new0(struct rpc_conn, 1);

	c->rpc = r;
	c->refs = 1;
	c->number = ++r->next_conn;
	c->last_received_us = now_us();
	c->unsent = evbuffer_new();
	TAILQ_INIT(&c->calls);
	TAILQ_INIT(&c->requests);
	c->bev = bufferevent_socket_new(r->kernel->base, fd,
					BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(c->bev, rpc_read, NULL, rpc_conn_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	TAILQ_INSERT_TAIL(&r->conns, c, link);
	return c;
}

static void rpc_conn_close(struct rpc_conn *c)
{
	struct rpc *r = c->rpc;
	uint64_t number = c->number;
	struct rpc_request *rq, *next;
	struct rpc_calls calls = TAILQ_HEAD_INITIALIZER(calls);
	struct rpc_call *call;

	TAILQ_REMOVE(&r->conns, c, link);
	if (c->address[0] != '\0' && g_hash_table_lookup(r->by_address, c->address) == c)
		g_hash_table_remove(r->by_address, c->address);
	bufferevent_free(c->bev);
	TAILQ_FOREACH_SAFE(rq, &c->requests, link, next) {
		TAILQ_REMOVE(&c->requests, rq, link);
		rq->conn = NULL;
	}
	TAILQ_CONCAT(&calls, &c->calls, link);
	c->closed = true;
	rpc_conn_unref(c);
	while ((call = TAILQ_FIRST(&calls)) != NULL) {
		TAILQ_REMOVE(&calls, call, link);
		call->conn = NULL;
		rpc_call_end(call, call->sent_us != 0 ? RPC_LOST : RPC_NOT_SENT, NULL);
	}
	if (r->closed.cb != NULL)
		r->closed.cb(number, r->closed.ctx);
}

static struct rpc_conn *rpc_conn_get(struct rpc *r, const char *address)
{
	struct rpc_conn *c = g_hash_table_lookup(r->by_address, address);
	struct sockaddr_in sin;

	if (c != NULL)
		return c;
	if (!net_parse(address, &sin))
		return NULL;
	c = rpc_conn_create(r, -1);
	g_strlcpy(c->address, address, sizeof(c->address));
	g_hash_table_insert(r->by_address, c->address, c);
	if (bufferevent_socket_connect(c->bev, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		/* The failure is handled in rpc_conn_event(), which the event loop calls. */
		return c;
	}
	return c;
}

static struct rpc_call *rpc_call_create(struct rpc *r, u_int proc, rpc_done cb, void *arg)
{
	struct rpc_call *call = g_new0(struct rpc_call, 1);

	call->rpc = r;
	call->xid = ++r->next_xid;
	call->proc = proc;
	call->cb = cb;
	call->arg = arg;
	return call;
}

static struct rpc_call *rpc_call_local(struct rpc_call *call, const void *args, int64_t timeout_us)
{
	const struct rpc_proc *p = &rpc_procs[call->proc];
	struct rpc *r = call->rpc;
	struct rpc_request *rq;

	if (r->served[call->proc].handler == NULL) {
		kernel_arm(call->timer, 0);
		return call;
	}
	rq = g_new0(struct rpc_request, 1);
	call->sent_us = now_us();
	call->request = rq;
	kernel_arm(call->timer, timeout_us);
	rq->rpc = r;
	rq->local = call;
	rq->proc = call->proc;
	rq->args = rpc_copy(p->args, p->args_size, args);
	rpc_handle(r, rq);
	return call;
}

static void rpc_transmit(struct rpc_conn *c, struct rpc_call *call, const void *args)
{
	struct rpc_header h = {.call = true, .xid = call->xid, .proc = call->proc};

	h.incarnation = c->rpc->kernel->incarnation;
	/* The first call names this VM, so that network tools can attribute the connection. */
	h.vm = c->vm_name_sent ? NULL : c->rpc->kernel->settings->name;
	c->vm_name_sent = true;
	call->conn = c;
	TAILQ_INSERT_TAIL(&c->calls, call, link);
	rpc_send(c, &h, rpc_procs[call->proc].args, args);
	if (c->connected)
		call->sent_us = now_us();
}

struct rpc_call *rpc_start(struct rpc *r, const char *address, u_int proc, const void *args,
			   int64_t timeout_us, rpc_done cb, void *arg)
{
	struct rpc_call *call;
	struct rpc_conn *c;

	if (!rpc_procs[proc].control)
		stat_add(STAT_RPC_CALLS, 1);
	call = rpc_call_create(r, proc, cb, arg);
	call->timer = event_new(r->kernel->base, -1, 0, rpc_call_timeout, call);
	if (strcmp(address, r->kernel->settings->advertise) == 0)
		return rpc_call_local(call, args, timeout_us);
	c = rpc_conn_get(r, address);
	if (c == NULL) {
		kernel_arm(call->timer, 0);
		return call;
	}
	kernel_arm(call->timer, timeout_us);
	rpc_transmit(c, call, args);
	return call;
}

void rpc_keep(struct rpc *r, const char *address, int64_t us)
{
	struct rpc_conn *c = g_hash_table_lookup(r->by_address, address);

	if (c != NULL)
		c->keep_until_us = MAX(c->keep_until_us, now_us() + us);
}

unsigned rpc_connections(const struct rpc *r)
{
	const struct rpc_conn *c;
	unsigned n = 0;

	TAILQ_FOREACH(c, &r->conns, link)
		n++;
	return n;
}

/**
 * Whether a connection without open calls is to be closed. Each VM calls each other one at some
 * time, so without this all VMs of a fleet would stay connected to all others. Only the caller
 * closes: a call under way to a peer that closes would have an unknown outcome.
 */
static bool rpc_conn_unused(const struct rpc_conn *c, int64_t now)
{
	int64_t idle_us = (int64_t)c->rpc->kernel->settings->rpc_idle_ms * USEC_PER_MSEC;

	return idle_us > 0 && c->connected && now - c->last_received_us > idle_us &&
	       now > c->keep_until_us;
}

/**
 * Detects silent connections: sends a ping on connections with open calls, and closes those on
 * which the ping stays unanswered.
 */
static void rpc_check_silence(evutil_socket_t fd, short what, void *arg)
{
	struct rpc *r = arg;
	int64_t silent_us = (int64_t)r->kernel->settings->silent_ms * USEC_PER_MSEC;
	int64_t now = now_us();
	struct rpc_conn *c, *next;

	TAILQ_FOREACH_SAFE(c, &r->conns, link, next) {
		struct rpc_call *ping;

		if (c->address[0] == '\0')
			continue;
		if (TAILQ_EMPTY(&c->calls)) {
			if (rpc_conn_unused(c, now))
				rpc_conn_close(c);
			continue;
		}
		/*
		 * A middlebox between two VMs can lose the state of an established connection: data
		 * is dropped without an error, and all calls run into their deadlines. The missing
		 * reply to a ping reveals it, and the next call opens a new connection.
		 */
		if ((c->ping_sent_us != 0 &&
		     now - c->ping_sent_us > silent_us * 3 / RPC_SILENCE_CHECKS &&
		     now - c->last_received_us > silent_us) ||
		    (!c->connected && now - c->last_received_us > silent_us)) {
			log_warn("rpc-silent", LOG_STR("address", c->address));
			rpc_conn_close(c);
			/* Callbacks may have changed the list: start over. */
			next = TAILQ_FIRST(&r->conns);
			continue;
		}
		if (!c->connected || c->ping_sent_us != 0 ||
		    now - c->last_received_us < silent_us / RPC_SILENCE_CHECKS)
			continue;
		ping = rpc_call_create(r, NULLPROC, NULL, NULL);
		c->ping_sent_us = now;
		rpc_transmit(c, ping, NULL);
	}
}

static void rpc_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		       void *arg)
{
	struct rpc_conn *c = rpc_conn_create(arg, fd);

	net_set_nodelay(fd);
	c->connected = true;
}

gboolean rpc_listen(struct rpc *r, const char *address, GError **error)
{
	r->listener = net_listen(r->kernel->base, address, rpc_accept, r, error);
	return r->listener != NULL;
}

void rpc_serve(struct rpc *r, u_int proc, rpc_handler handler, void *ctx)
{
	r->served[proc].handler = handler;
	r->served[proc].ctx = ctx;
}

void rpc_on_closed(struct rpc *r, rpc_closed cb, void *ctx)
{
	r->closed.cb = cb;
	r->closed.ctx = ctx;
}

int64_t rpc_silent_us(const struct rpc *r, const char *address)
{
	const struct rpc_conn *c = g_hash_table_lookup(r->by_address, address);
	const struct rpc_call *oldest;
	int64_t since;

	if (c == NULL || TAILQ_EMPTY(&c->calls))
		return 0;
	oldest = TAILQ_FIRST(&c->calls);
	since = oldest->sent_us > c->last_received_us ? oldest->sent_us : c->last_received_us;
	return now_us() - since;
}

int64_t rpc_last_received_us(const struct rpc *r, const char *address)
{
	const struct rpc_conn *c = g_hash_table_lookup(r->by_address, address);

	return c != NULL ? c->last_data_us : 0;
}

int64_t rpc_last_received_from(const struct rpc *r, rpc_wanted wanted, void *arg, int64_t since_us)
{
	const struct rpc_conn *c;

	TAILQ_FOREACH(c, &r->conns, link) {
		if (c->address[0] != '\0' && c->connected && c->last_received_us > since_us &&
		    wanted(c->address, arg))
			since_us = c->last_received_us;
	}
	return since_us;
}

bool rpc_flushed(const struct rpc *r)
{
	const struct rpc_conn *c;

	TAILQ_FOREACH(c, &r->conns, link) {
		if (c->connected && evbuffer_get_length(bufferevent_get_output(c->bev)) > 0)
			return false;
	}
	return TAILQ_EMPTY(&r->local_done);
}

struct rpc *rpc_create(struct kernel *k)
{
	struct rpc *r = g_new0(struct rpc, 1);

	r->kernel = k;
	r->next_xid = (u_int)random_bits();
	TAILQ_INIT(&r->conns);
	TAILQ_INIT(&r->local_done);
	r->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	r->local_done_event = event_new(k->base, -1, 0, rpc_deliver_local, r);
	r->silence_timer = kernel_every(
		k, (int64_t)k->settings->silent_ms * USEC_PER_MSEC / RPC_SILENCE_CHECKS,
		rpc_check_silence, r);
	return r;
}

void rpc_free(struct rpc *r)
{
	struct rpc_conn *c;

	r->closed.cb = NULL;
	if (r->listener != NULL)
		evconnlistener_free(r->listener);
	while ((c = TAILQ_FIRST(&r->conns)) != NULL) {
		struct rpc_call *call;

		TAILQ_FOREACH(call, &c->calls, link)
			call->cb = NULL;
		rpc_conn_close(c);
	}
	event_free(r->local_done_event);
	event_free(r->silence_timer);
	g_hash_table_destroy(r->by_address);
	g_free(r);
}

struct rpc_service {
	struct service service;
	struct rpc *rpc;
};

static gboolean rpc_service_start(struct service *s, GError **error)
{
	struct rpc_service *rs = (struct rpc_service *)s;

	return rpc_listen(rs->rpc, s->kernel->settings->rpc_address, error);
}

/**
 * Waits until buffered replies are sent. A reply lost at exit leaves the outcome of its statement
 * unknown, which the caller receives as the error 08007 (transaction resolution unknown).
 */
static bool rpc_service_drained(struct service *s)
{
	return rpc_flushed(((struct rpc_service *)s)->rpc);
}

static void rpc_service_stop(struct service *s)
{
	struct rpc_service *rs = (struct rpc_service *)s;

	rpc_free(rs->rpc);
	g_free(rs);
}

static const struct service_ops rpc_service_ops = {
	.name = "rpc",
	.start = rpc_service_start,
	.drained = rpc_service_drained,
	.stop = rpc_service_stop,
};

struct service *rpc_service_create(struct kernel *k)
{
	struct rpc_service *rs = g_new0(struct rpc_service, 1);

	rs->service.ops = &rpc_service_ops;
	rs->rpc = rpc_create(k);
	kernel_add(k, &rs->service);
	return &rs->service;
}

struct rpc *rpc_of(struct kernel *k)
{
	return ((struct rpc_service *)kernel_find(k, "rpc"))->rpc;
}
