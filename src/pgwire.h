/**
 * @file pgwire.h
 * Messages of the PostgreSQL protocol 3.0, as the side that serves: reading what callers send and
 * writing what they get. Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol".
 */
#ifndef PGWIRE_H
#define PGWIRE_H

#include <event2/buffer.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Codes in place of a version in a first message. */
#define PG_PROTOCOL_3 196608
#define PG_CANCEL_REQUEST 80877102
#define PG_SSL_REQUEST 80877103
#define PG_GSS_REQUEST 80877104
/** Longest first message. */
#define PG_STARTUP_MAX 10000

enum pg_take {
	PG_MORE,    /**< the message is not whole yet */
	PG_MESSAGE, /**< taken */
	PG_BAD,	    /**< no message of this protocol, or too long */
};

/** One message, taken off the input. */
struct pg_message {
	char type; /**< 0 for a first message */
	uint8_t *body;
	size_t len;
};

/** Take the next message. @param first whether it is the connection's first, which has no type */
enum pg_take pg_take(struct evbuffer *in, bool first, size_t max, struct pg_message *m);
void pg_message_clear(struct pg_message *m);

/** Reads fields off a body. Once @a bad, every further field is zero or empty. */
struct pg_reader {
	const uint8_t *p;
	const uint8_t *end;
	bool bad;
};

struct pg_reader pg_reader(const struct pg_message *m);
uint8_t pg_read_u8(struct pg_reader *r);
uint16_t pg_read_u16(struct pg_reader *r);
uint32_t pg_read_u32(struct pg_reader *r);
/** A text up to its end byte; "" when it has none. */
const char *pg_read_text(struct pg_reader *r);
/** @a len bytes, or NULL. */
const uint8_t *pg_read_bytes(struct pg_reader *r, size_t len);
/** Whether the body was read to its end without a fault. */
bool pg_read_ended(const struct pg_reader *r);

/** Start a message of @a type. @return the mark for pg_end(). */
guint pg_begin(GByteArray *out, char type);
void pg_end(GByteArray *out, guint mark);
void pg_put_u8(GByteArray *out, uint8_t v);
void pg_put_u16(GByteArray *out, uint16_t v);
void pg_put_u32(GByteArray *out, uint32_t v);
void pg_put_text(GByteArray *out, const char *s);
void pg_put_bytes(GByteArray *out, const void *p, size_t len);

/** Whole messages. */
void pg_put_empty(GByteArray *out, char type);
void pg_put_auth(GByteArray *out, uint32_t request);
void pg_put_parameter(GByteArray *out, const char *name, const char *value);
void pg_put_ready(GByteArray *out, char status);
void pg_put_complete(GByteArray *out, const char *tag);
/** A result of one text column and one row. */
void pg_put_one_value(GByteArray *out, const char *column, const char *value, const char *tag);

struct pg_error {
	const char *severity; /**< "ERROR" or "FATAL" */
	const char *sqlstate;
	const char *message;
	const char *detail; /**< or NULL */
	const char *hint;   /**< or NULL */
};
void pg_put_error(GByteArray *out, const struct pg_error *e);

#endif
