/**
 * @file rpc.h
 * ONC RPC between daemons over libevent, with the codecs of libtirpc. The transport is implemented
 * here because the clients of libtirpc block.
 *
 * Each call has an xid, the incarnation of the calling process and a time limit. A reply is matched
 * to the call by xid among the open calls of the connection it arrives on; other replies are
 * dropped.
 */
#ifndef RPC_H
#define RPC_H

#include "kernel.h"
#include "mango.h"

/** How a call ended. */
enum rpc_status {
	RPC_DONE,     /**< a reply was received */
	RPC_NOT_SENT, /**< no byte of the call was sent: the peer cannot have executed it */
	RPC_LOST,     /**< sent, but no reply was received: the peer may have executed it */
};

/** A procedure of mango.x. */
struct rpc_proc {
	const char *name;
	xdrproc_t args;
	size_t args_size;
	xdrproc_t res;
	size_t res_size;
	bool control; /**< counted as control traffic instead of callers' statements */
};

struct rpc;
struct rpc_call;
struct rpc_request;

/** Handles a request and calls rpc_reply(), now or later. @a args are valid until then. */
typedef void (*rpc_handler)(struct rpc_request *rq, const void *args, void *ctx);
/** Called when a call ends. @a res is NULL unless RPC_DONE, and valid during the callback. */
typedef void (*rpc_done)(enum rpc_status status, const void *res, void *arg);
/** Called after the connection with the number @a conn was closed. */
typedef void (*rpc_closed)(uint64_t conn, void *ctx);

/** XDR codec of an empty body. */
bool_t rpc_xdr_none(XDR *x, ...);

struct rpc *rpc_create(struct kernel *k);
void rpc_free(struct rpc *r);
/** Accepts connections of other daemons on @a address. */
gboolean rpc_listen(struct rpc *r, const char *address, GError **error);
/** Registers the handler of the procedure @a proc; @a ctx is passed to it. */
void rpc_serve(struct rpc *r, u_int proc, rpc_handler handler, void *ctx);
/** Sets the callback for closed connections; @a ctx is passed to it. */
void rpc_on_closed(struct rpc *r, rpc_closed cb, void *ctx);
/**
 * Calls the procedure @a proc of the daemon at @a address. @a cb is called once, never before this
 * function returns. @param cb may be NULL
 */
struct rpc_call *rpc_start(struct rpc *r, const char *address, u_int proc, const void *args,
			   int64_t timeout_us, rpc_done cb, void *arg);
/** Detaches the caller from @a call, which continues: its callback will not be called. */
void rpc_call_detach(struct rpc_call *call);
/** Sends the reply to @a rq and frees @a rq. */
void rpc_reply(struct rpc_request *rq, const void *res);
/**
 * Keeps the connection to @a address, if there is one, for @a us from now although it has no calls:
 * its end would abort the transaction that a VM there has open for this one.
 */
void rpc_keep(struct rpc *r, const char *address, int64_t us);
/** @return the number of open connections, of both directions */
unsigned rpc_connections(const struct rpc *r);
/** @return the number of the connection that @a rq arrived on; 0 if this process sent it */
uint64_t rpc_request_conn(const struct rpc_request *rq);
/** @return the name of the VM that sent @a rq; "" if it is not known or the connection is closed */
const char *rpc_request_vm(const struct rpc_request *rq);
/** @return how long calls to @a address have been open without any data from it; 0: no open call */
int64_t rpc_silent_us(const struct rpc *r, const char *address);
/** @return the time of the last data on the open connection to @a address; 0: none or no data */
int64_t rpc_last_received_us(const struct rpc *r, const char *address);
/** Whether a connection to @a address is meant. */
typedef bool (*rpc_wanted)(const char *address, void *arg);
/**
 * @return the time of the last data from any address that @a wanted accepts, if it is later than
 * @a since_us; else @a since_us
 */
int64_t rpc_last_received_from(const struct rpc *r, rpc_wanted wanted, void *arg, int64_t since_us);
/** @return whether all output has been passed to the kernel, and all local replies delivered */
bool rpc_flushed(const struct rpc *r);

/** Creates the service that holds the daemon's struct rpc; its name is "rpc". */
struct service *rpc_service_create(struct kernel *k);
/** @return the struct rpc of the service "rpc" */
struct rpc *rpc_of(struct kernel *k);

/** Table of the procedures, indexed by number; the procedure 0 is a ping. */
#define RPC_PROCS 23
extern const struct rpc_proc rpc_procs[RPC_PROCS];

#endif
