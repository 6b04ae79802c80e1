/**
 * @file caller-auth.c
 * Start of a session: TLS negotiation, cancel requests, startup parameters and authentication by
 * a key of the team.
 */
#include "caller.h"

#include "fleet.h"
#include "key.h"
#include "log.h"
#include "stat.h"

#include <event2/bufferevent_ssl.h>
#include <string.h>

#define AUTH_OK 0
#define AUTH_CLEARTEXT 3

/** Reported as server_version; client libraries choose features by it. */
#define SERVER_VERSION "15.0 (mangoloom)"

static const struct {
	const char *name;
	const char *value;
} reported_parameters[] = {
	{"server_version", SERVER_VERSION},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
	{"IntervalStyle", "postgres"},
};

/** Answers an SSLRequest and starts the TLS handshake if TLS is configured. */
static void start_tls(struct caller *c)
{
	struct callers *cs = c->callers;
	struct bufferevent *plain = c->bev;

	if (cs->tls == NULL) {
		bufferevent_write(c->bev, "N", 1);
		return;
	}
	bufferevent_write(plain, "S", 1);
	bufferevent_flush(plain, EV_WRITE, BEV_FLUSH);
	/* Input received in clear text must not be treated as if it had been sent through TLS. */
	evbuffer_drain(bufferevent_get_input(plain),
		       evbuffer_get_length(bufferevent_get_input(plain)));
	c->bev = bufferevent_openssl_filter_new(cs->service.kernel->base, plain, SSL_new(cs->tls),
						BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_openssl_set_allow_dirty_shutdown(c->bev, 1);
	caller_attach(c);
}

/**
 * Cancels the request of the session that the message names by pid and key. The protocol has no
 * response to a cancel request.
 */
static void cancel(struct caller *c, struct pg_reader *r)
{
	uint32_t pid = pg_read_u32(r);
	uint32_t key = pg_read_u32(r);
	struct caller *other;

	TAILQ_FOREACH(other, &c->callers->list, link) {
		if (other->pid == pid && other->cancel_key == key && other->request != NULL)
			break;
	}
	if (!r->bad && other != NULL)
		entry_cancel(other->request);
	caller_begin_close(c);
}

/** Applies the "-c name=value" settings of the startup parameter "options". */
static bool startup_options(struct caller *c, const char *options, const char **why)
{
	char **words = g_strsplit_set(options, " ", -1);
	bool ok = true;
	unsigned i;

	for (i = 0; words[i] != NULL && ok; i++) {
		char *word = words[i];
		char *equals;

		if (strcmp(word, "-c") == 0 || word[0] == '\0')
			continue;
		if (strncmp(word, "-c", 2) == 0)
			word += 2;
		else if (strncmp(word, "--", 2) == 0)
			word += 2;
		equals = strchr(word, '=');
		if (equals == NULL) {
			*why = "options are written as -c name=value";
			ok = false;
			break;
		}
		*equals = '\0';
		ok = caller_set(c, word, equals + 1, why);
	}
	g_strfreev(words);
	return ok;
}

static bool startup_parameter(struct caller *c, const char *name, const char *value,
			      const char **why)
{
	if (strcmp(name, "user") == 0) {
		if (strlen(value) >= sizeof(c->team)) {
			*why = "a user name has up to 63 bytes";
			return false;
		}
		g_strlcpy(c->team, value, sizeof(c->team));
		return true;
	}
	if (strcmp(name, "options") == 0)
		return startup_options(c, value, why);
	if (strcmp(name, "database") == 0 || strcmp(name, "replication") == 0 ||
	    strncmp(name, "_pq_.", 5) == 0)
		return strcmp(name, "replication") != 0 || strcmp(value, "false") == 0;
	return caller_set(c, name, value, why);
}

static void startup_parameters(struct caller *c, struct pg_reader *r)
{
	const char *why = "this is not served";
	GByteArray *out;

	for (;;) {
		const char *name = pg_read_text(r);
		const char *value;

		if (r->bad || name[0] == '\0')
			break;
		value = pg_read_text(r);
		if (r->bad || startup_parameter(c, name, value, &why))
			continue;
		caller_error(c, true, "22023", name, why, NULL);
		return;
	}
	if (r->bad || c->team[0] == '\0') {
		caller_error(c, true, "08P01", "the first message is malformed or names no user",
			     NULL, NULL);
		return;
	}
	out = g_byte_array_new();
	pg_put_auth(out, AUTH_CLEARTEXT);
	caller_send(c, out);
	c->state = CALLER_PASSWORD;
}

void caller_startup(struct caller *c, struct pg_message *m)
{
	struct pg_reader r = pg_reader(m);
	uint32_t code = pg_read_u32(&r);

	switch (code) {
	case PG_SSL_REQUEST:
		start_tls(c);
		return;
	case PG_GSS_REQUEST:
		bufferevent_write(c->bev, "N", 1);
		return;
	case PG_CANCEL_REQUEST:
		cancel(c, &r);
		return;
	default:
		break;
	}
	if (code >> 16 != PG_PROTOCOL_3 >> 16) {
		caller_error(c, true, "08P01", "only protocol 3.0 is served", NULL, NULL);
		return;
	}
	if (caller_settings(c)->tls_required && bufferevent_get_underlying(c->bev) == NULL) {
		caller_error(c, true, "28000", "this VM serves TLS only", "not run", NULL);
		return;
	}
	startup_parameters(c, &r);
}

/** Returns whether @a text is a valid key of the session's team. */
static bool key_accepted(struct caller *c, const char *text)
{
	struct fleet *f = fleet_of(c->callers->service.kernel);
	unsigned char hash[KEY_HASH_SIZE];
	const struct conf_key *key;

	if (!key_id(text, c->key_id, sizeof(c->key_id)))
		return false;
	key = conf_key(f->conf, c->key_id);
	key_hash(text, hash);
	/* Compares in constant time, so that response times don't reveal the hash byte by byte. */
	return key != NULL && key_hash_equal(hash, key->hash) && caller_key_valid(c);
}

static void send_session_start(struct caller *c)
{
	GByteArray *out = g_byte_array_new();
	char token[CALLER_VALUE_SIZE];
	guint start;
	unsigned i;

	pg_put_auth(out, AUTH_OK);
	for (i = 0; i < G_N_ELEMENTS(reported_parameters); i++)
		pg_put_parameter(out, reported_parameters[i].name, reported_parameters[i].value);
	caller_show(c, "mangoloom.session", token);
	pg_put_parameter(out, "mangoloom.session", token);
	start = pg_begin(out, 'K');
	pg_put_u32(out, c->pid);
	pg_put_u32(out, c->cancel_key);
	pg_end(out, start);
	pg_put_ready(out, 'I');
	caller_send(c, out);
}

void caller_password(struct caller *c, struct pg_message *m)
{
	struct pg_reader r = pg_reader(m);
	const char *text = pg_read_text(&r);

	if (m->type != 'p' || r.bad) {
		caller_error(c, true, "08P01", "the key was asked for", NULL, NULL);
		return;
	}
	if (!key_accepted(c, text)) {
		stat_add(STAT_CALLERS_REFUSED, 1);
		log_info("caller-refused", LOG_STR("team", c->team));
		caller_error(c, true, "28P01", "the key is not a key of this team", "not run",
			     NULL);
		return;
	}
	log_debug("caller", LOG_STR("team", c->team), LOG_STR("key", c->key_id));
	c->state = CALLER_READY;
	send_session_start(c);
}
