/**
 * @file pgwire.h
 * Server side of the PostgreSQL protocol 3.0: reading of frontend messages and writing of backend
 * messages. Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol".
 */
#ifndef PGWIRE_H
#define PGWIRE_H

#include <event2/buffer.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Protocol version, and the request codes that a startup message may have in its place. */
#define PG_PROTOCOL_3 196608
#define PG_CANCEL_REQUEST 80877102
#define PG_SSL_REQUEST 80877103
#define PG_GSS_REQUEST 80877104
/** Maximum length of a startup message. */
#define PG_STARTUP_MAX_BYTES 10000

enum pg_read_result {
	PG_INCOMPLETE, /**< the message has not arrived in full */
	PG_MESSAGE,    /**< a message was read */
	PG_INVALID,    /**< invalid or too long */
};

/** One message, removed from the input. */
struct pg_message {
	char type; /**< 0 for a startup message */
	uint8_t *body;
	size_t len;
};

/** Reads the next message. @param first whether it is a startup message, which has no type */
enum pg_read_result pg_message_read(struct evbuffer *in, bool first, size_t max,
				    struct pg_message *m);
void pg_message_clear(struct pg_message *m);

/** Reads the fields of a body. After an error, sets @a bad; further fields are 0 or empty. */
struct pg_reader {
	const uint8_t *p;
	const uint8_t *end;
	bool bad;
};

struct pg_reader pg_reader(const struct pg_message *m);
uint8_t pg_read_u8(struct pg_reader *r);
uint16_t pg_read_u16(struct pg_reader *r);
uint32_t pg_read_u32(struct pg_reader *r);
/** Returns a null-terminated string; "" and an error if the null byte is missing. */
const char *pg_read_text(struct pg_reader *r);
/** Returns the next @a len bytes, or NULL if there are fewer. */
const uint8_t *pg_read_bytes(struct pg_reader *r, size_t len);
/** Returns whether the body was read to its end without an error. */
bool pg_read_at_end(const struct pg_reader *r);

/** Starts a message of @a type. @return offset of its length field, for pg_end() */
guint pg_begin(GByteArray *out, char type);
void pg_end(GByteArray *out, guint start);
void pg_put_u8(GByteArray *out, uint8_t v);
void pg_put_u16(GByteArray *out, uint16_t v);
void pg_put_u32(GByteArray *out, uint32_t v);
void pg_put_text(GByteArray *out, const char *s);
void pg_put_bytes(GByteArray *out, const void *p, size_t len);

/* Complete messages. */
void pg_put_empty(GByteArray *out, char type);
void pg_put_auth(GByteArray *out, uint32_t request);
void pg_put_parameter(GByteArray *out, const char *name, const char *value);
void pg_put_ready(GByteArray *out, char status);
void pg_put_complete(GByteArray *out, const char *tag);
/** Appends a result set of one text column and one row. */
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
