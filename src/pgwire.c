/** @file pgwire.c Encoding and decoding of messages of the PostgreSQL protocol. */
#include "pgwire.h"

#include <arpa/inet.h>
#include <string.h>

#define PG_LENGTH_BYTES 4
#define PG_OID_TEXT 25

enum pg_read_result pg_message_read(struct evbuffer *in, bool first, size_t max,
				    struct pg_message *m)
{
	size_t header = first ? PG_LENGTH_BYTES : PG_LENGTH_BYTES + 1;
	uint8_t head[PG_LENGTH_BYTES + 1];
	uint32_t len;

	if (evbuffer_copyout(in, head, header) < (ssize_t)header)
		return PG_INCOMPLETE;
	memcpy(&len, head + header - PG_LENGTH_BYTES, sizeof(len));
	len = ntohl(len);
	if (len < PG_LENGTH_BYTES || len - PG_LENGTH_BYTES > max)
		return PG_INVALID;
	len -= PG_LENGTH_BYTES;
	if (evbuffer_get_length(in) < header + len)
		return PG_INCOMPLETE;
	evbuffer_drain(in, header);
	m->type = first ? '\0' : (char)head[0];
	m->len = len;
	m->body = g_malloc(len + 1);
	evbuffer_remove(in, m->body, len);
	m->body[len] = '\0';
	return PG_MESSAGE;
}

void pg_message_clear(struct pg_message *m)
{
	g_free(m->body);
	m->body = NULL;
}

struct pg_reader pg_reader(const struct pg_message *m)
{
	return (struct pg_reader){.p = m->body, .end = m->body + m->len};
}

const uint8_t *pg_read_bytes(struct pg_reader *r, size_t len)
{
	const uint8_t *at = r->p;

	if (r->bad || (size_t)(r->end - r->p) < len) {
		r->bad = true;
		return NULL;
	}
	r->p += len;
	return at;
}

uint8_t pg_read_u8(struct pg_reader *r)
{
	const uint8_t *p = pg_read_bytes(r, 1);

	return p != NULL ? *p : 0;
}

uint16_t pg_read_u16(struct pg_reader *r)
{
	const uint8_t *p = pg_read_bytes(r, 2);

	return p != NULL ? (uint16_t)(p[0] << 8 | p[1]) : 0;
}

uint32_t pg_read_u32(struct pg_reader *r)
{
	const uint8_t *p = pg_read_bytes(r, 4);

	return p != NULL ? (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 | p[3]
			 : 0;
}

const char *pg_read_text(struct pg_reader *r)
{
	const uint8_t *end = r->bad ? NULL : memchr(r->p, '\0', (size_t)(r->end - r->p));
	const char *text = (const char *)r->p;

	if (end == NULL) {
		r->bad = true;
		return "";
	}
	r->p = end + 1;
	return text;
}

bool pg_read_at_end(const struct pg_reader *r)
{
	return !r->bad && r->p == r->end;
}

guint pg_begin(GByteArray *out, char type)
{
	guint start;

	pg_put_u8(out, (uint8_t)type);
	start = out->len;
	pg_put_u32(out, 0);
	return start;
}

void pg_end(GByteArray *out, guint start)
{
	uint32_t len = htonl(out->len - start);

	memcpy(out->data + start, &len, sizeof(len));
}

void pg_put_bytes(GByteArray *out, const void *p, size_t len)
{
	if (len > 0)
		g_byte_array_append(out, p, (guint)len);
}

void pg_put_u8(GByteArray *out, uint8_t v)
{
	pg_put_bytes(out, &v, sizeof(v));
}

void pg_put_u16(GByteArray *out, uint16_t v)
{
	uint16_t net = htons(v);

	pg_put_bytes(out, &net, sizeof(net));
}

void pg_put_u32(GByteArray *out, uint32_t v)
{
	uint32_t net = htonl(v);

	pg_put_bytes(out, &net, sizeof(net));
}

void pg_put_text(GByteArray *out, const char *s)
{
	pg_put_bytes(out, s, strlen(s) + 1);
}

void pg_put_empty(GByteArray *out, char type)
{
	pg_end(out, pg_begin(out, type));
}

void pg_put_auth(GByteArray *out, uint32_t request)
{
	guint start = pg_begin(out, 'R');

	pg_put_u32(out, request);
	pg_end(out, start);
}

void pg_put_parameter(GByteArray *out, const char *name, const char *value)
{
	guint start = pg_begin(out, 'S');

	pg_put_text(out, name);
	pg_put_text(out, value);
	pg_end(out, start);
}

void pg_put_ready(GByteArray *out, char status)
{
	guint start = pg_begin(out, 'Z');

	pg_put_u8(out, (uint8_t)status);
	pg_end(out, start);
}

void pg_put_complete(GByteArray *out, const char *tag)
{
	guint start = pg_begin(out, 'C');

	pg_put_text(out, tag);
	pg_end(out, start);
}

void pg_put_one_value(GByteArray *out, const char *column, const char *value, const char *tag)
{
	guint start = pg_begin(out, 'T');

	pg_put_u16(out, 1);
	pg_put_text(out, column);
	pg_put_u32(out, 0);
	pg_put_u16(out, 0);
	pg_put_u32(out, PG_OID_TEXT);
	pg_put_u16(out, (uint16_t)-1);
	pg_put_u32(out, (uint32_t)-1);
	pg_put_u16(out, 0);
	pg_end(out, start);
	start = pg_begin(out, 'D');
	pg_put_u16(out, 1);
	pg_put_u32(out, (uint32_t)strlen(value));
	pg_put_bytes(out, value, strlen(value));
	pg_end(out, start);
	pg_put_complete(out, tag);
}

static void put_error_field(GByteArray *out, char code, const char *text)
{
	if (text == NULL)
		return;
	pg_put_u8(out, (uint8_t)code);
	pg_put_text(out, text);
}

void pg_put_error(GByteArray *out, const struct pg_error *e)
{
	guint start = pg_begin(out, 'E');

	put_error_field(out, 'S', e->severity);
	put_error_field(out, 'V', e->severity);
	put_error_field(out, 'C', e->sqlstate);
	put_error_field(out, 'M', e->message);
	put_error_field(out, 'D', e->detail);
	put_error_field(out, 'H', e->hint);
	pg_put_u8(out, 0);
	pg_end(out, start);
}
