/** @file rpc-msg.c Encoding of RPC messages. */
#include "rpc-msg.h"

#include <rpc/rpc.h>
#include <sodium.h>
#include <string.h>

/**
 * Authentication flavor of this protocol. Its body has the incarnation of the calling process and,
 * if a shared secret is set, the keyed hash of the record.
 */
#define RPC_FLAVOR 0x4d4c
#define RPC_INCARNATION_BYTES 8
/**
 * Upper bound of an authentication body: the incarnation, the keyed hash and, in the first call of
 * a connection, the name of the calling VM.
 */
#define RPC_AUTH_MAX_BYTES (RPC_INCARNATION_BYTES + RPC_MAC_BYTES + NAME_SIZE)
/** Upper bound of the size of an encoded header. */
#define RPC_HEADER_MAX_BYTES 256
/**
 * Smallest reply, with neither a body nor an authentication body: xid, direction, reply status,
 * authentication flavor and length, accept status.
 */
#define RPC_REPLY_MIN_BYTES (6 * BYTES_PER_XDR_UNIT)
/**
 * Smallest call, with neither a body nor an authentication body: xid, direction, RPC version,
 * program, program version, procedure, and the flavors and lengths of credential and verifier.
 */
#define RPC_CALL_MIN_BYTES (10 * BYTES_PER_XDR_UNIT)
#define RPC_LAST_FRAGMENT 0x80000000U
#define RPC_RECORD_MARK_BYTES 4
#define RPC_PROGRAM_VERSION 1

bool_t rpc_xdr_none(XDR *x, ...)
{
	return TRUE;
}

static u_int auth_size(const char *secret)
{
	return RPC_INCARNATION_BYTES + (secret[0] != '\0' ? RPC_MAC_BYTES : 0);
}

static void put_auth(struct opaque_auth *auth, char *body, u_int size, uint64_t incarnation)
{
	auth->oa_flavor = RPC_FLAVOR;
	auth->oa_base = body;
	auth->oa_length = size;
	memset(body, 0, size);
	memcpy(body, &incarnation, sizeof(incarnation));
}

static bool encode_header(XDR *x, const struct rpc_header *h, char *auth, u_int size)
{
	struct rpc_msg msg = {.rm_xid = h->xid};

	if (h->call) {
		msg.rm_direction = CALL;
		msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
		msg.rm_call.cb_prog = MANGOLOOM_PROG;
		msg.rm_call.cb_vers = RPC_PROGRAM_VERSION;
		msg.rm_call.cb_proc = h->proc;
		put_auth(&msg.rm_call.cb_cred, auth, size, h->incarnation);
		if (h->vm != NULL) {
			g_strlcpy(auth + size, h->vm, NAME_SIZE);
			msg.rm_call.cb_cred.oa_length += (u_int)strlen(auth + size);
		}
		return xdr_callmsg(x, &msg);
	}
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = SUCCESS;
	put_auth(&msg.acpted_rply.ar_verf, auth, size, h->incarnation);
	msg.acpted_rply.ar_results.where = NULL;
	msg.acpted_rply.ar_results.proc = rpc_xdr_none;
	return xdr_replymsg(x, &msg);
}

/** Computes the keyed hash of the record after zeroing the hash's own bytes at @a mac. */
static void record_hash(char *record, size_t len, char *mac, const char *secret,
			unsigned char out[RPC_MAC_BYTES])
{
	unsigned char key[crypto_generichash_KEYBYTES];

	memset(mac, 0, RPC_MAC_BYTES);
	crypto_generichash(key, sizeof(key), (const unsigned char *)secret, strlen(secret), NULL,
			   0);
	crypto_generichash(out, RPC_MAC_BYTES, (const unsigned char *)record, len, key,
			   sizeof(key));
}

/**
 * Returns the position of the hash in a record: after the incarnation, at a fixed offset that
 * depends only on the direction of the message.
 */
static char *mac_position(char *record, bool call)
{
	/*
	 * Call: xid, direction, RPC version, program, program version, procedure, flavor, length.
	 * Reply: xid, direction, status, flavor, length.
	 */
	size_t words = call ? 8 : 5;

	return record + words * BYTES_PER_XDR_UNIT + sizeof(uint64_t);
}

char *rpc_msg_encode(const struct rpc_header *h, xdrproc_t codec, const void *body,
		     const char *secret, size_t *len)
{
	u_long size = RPC_HEADER_MAX_BYTES + xdr_sizeof(codec, (void *)body);
	char *record = g_malloc(RPC_RECORD_MARK_BYTES + size);
	char auth[RPC_AUTH_MAX_BYTES];
	uint32_t mark;
	bool ok;
	XDR x;

	xdrmem_create(&x, record + RPC_RECORD_MARK_BYTES, (u_int)size, XDR_ENCODE);
	ok = encode_header(&x, h, auth, auth_size(secret)) && codec(&x, (void *)body);
	*len = RPC_RECORD_MARK_BYTES + xdr_getpos(&x);
	xdr_destroy(&x);
	if (!ok) {
		g_free(record);
		return NULL;
	}
	if (secret[0] != '\0') {
		char *mac = mac_position(record + RPC_RECORD_MARK_BYTES, h->call);
		unsigned char hash[RPC_MAC_BYTES];

		record_hash(record + RPC_RECORD_MARK_BYTES, *len - RPC_RECORD_MARK_BYTES, mac,
			    secret, hash);
		memcpy(mac, hash, sizeof(hash));
	}
	mark = htonl(RPC_LAST_FRAGMENT | (uint32_t)(*len - RPC_RECORD_MARK_BYTES));
	memcpy(record, &mark, sizeof(mark));
	return record;
}

static bool check_hash(char *record, size_t len, bool call, const char *secret)
{
	char *mac = mac_position(record, call);
	unsigned char claimed[RPC_MAC_BYTES];
	unsigned char hash[RPC_MAC_BYTES];

	if (secret[0] == '\0')
		return true;
	memcpy(claimed, mac, sizeof(claimed));
	record_hash(record, len, mac, secret, hash);
	return sodium_memcmp(claimed, hash, sizeof(hash)) == 0;
}

static bool decode_call(XDR *x, struct rpc_header *h, char *auth, u_int size)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	u_int length;

	msg.rm_call.cb_cred.oa_base = auth;
	msg.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(x, &msg) || msg.rm_call.cb_prog != MANGOLOOM_PROG ||
	    msg.rm_call.cb_vers != RPC_PROGRAM_VERSION || msg.rm_call.cb_cred.oa_length < size)
		return false;
	h->xid = msg.rm_xid;
	h->proc = msg.rm_call.cb_proc;
	memcpy(&h->incarnation, auth, sizeof(h->incarnation));
	length = MIN(msg.rm_call.cb_cred.oa_length - size, NAME_SIZE - 1);
	memcpy(h->caller, auth + size, length);
	h->caller[length] = '\0';
	return true;
}

static bool decode_reply(XDR *x, struct rpc_header *h, char *auth, u_int size)
{
	struct rpc_msg msg = {0};

	msg.acpted_rply.ar_verf.oa_base = auth;
	msg.acpted_rply.ar_results.proc = rpc_xdr_none;
	if (!xdr_replymsg(x, &msg) || msg.rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg.acpted_rply.ar_stat != SUCCESS || msg.acpted_rply.ar_verf.oa_length != size)
		return false;
	h->xid = msg.rm_xid;
	memcpy(&h->incarnation, auth, sizeof(h->incarnation));
	return true;
}

size_t rpc_msg_header(char *record, size_t len, const char *secret, struct rpc_header *h)
{
	char auth[MAX_AUTH_BYTES];
	u_int size = auth_size(secret);
	uint32_t direction;
	size_t offset = 0;
	bool ok;
	XDR x;

	if (len < RPC_REPLY_MIN_BYTES + size)
		return 0;
	memcpy(&direction, record + BYTES_PER_XDR_UNIT, sizeof(direction));
	h->call = ntohl(direction) == CALL;
	if (h->call && len < RPC_CALL_MIN_BYTES + size)
		return 0;
	if (!check_hash(record, len, h->call, secret))
		return 0;
	xdrmem_create(&x, record, (u_int)len, XDR_DECODE);
	ok = h->call ? decode_call(&x, h, auth, size) : decode_reply(&x, h, auth, size);
	if (ok)
		offset = xdr_getpos(&x);
	xdr_destroy(&x);
	return offset;
}

bool rpc_msg_body(char *body, size_t len, xdrproc_t codec, void *out)
{
	bool ok;
	XDR x;

	xdrmem_create(&x, body, (u_int)len, XDR_DECODE);
	ok = codec(&x, out);
	xdr_destroy(&x);
	return ok;
}
