/**
 * @file rpc-msg.h Encoding of RPC messages: headers by libtirpc, and a keyed hash (MAC) over the
 * whole record.
 */
#ifndef RPC_MSG_H
#define RPC_MSG_H

#include "rpc.h"

/** Size of the keyed hash. */
#define RPC_MAC_BYTES 16

struct rpc_header {
	bool call;
	u_int xid;
	u_int proc;
	uint64_t incarnation;	/**< random number of the calling process, see struct kernel */
	const char *vm;		/**< encoding only: name of the calling VM in the first call of a
				   connection, else NULL */
	char caller[NAME_SIZE]; /**< decoding only: that name; "" in later calls */
};

/**
 * Encodes a message with the body @a body, including the record mark.
 * @param secret key of the hash; "" for messages without a hash
 * @return the bytes, to be freed with g_free(), or NULL if encoding failed
 */
char *rpc_msg_encode(const struct rpc_header *h, xdrproc_t codec, const void *body,
		     const char *secret, size_t *len);
/**
 * Decodes the header of a record of @a len bytes and checks the hash.
 * @return the offset of the body, or 0 if the header is malformed or the hash is wrong
 */
size_t rpc_msg_header(char *record, size_t len, const char *secret, struct rpc_header *h);
/** Decodes a body into @a out, which must be zeroed. @return false if the body is malformed */
bool rpc_msg_body(char *body, size_t len, xdrproc_t codec, void *out);

#endif
