/** @file db-libpq.c Database connections with libpq's asynchronous functions. */
#include "db.h"
#include "net.h"
#include "pgwire.h"
#include "settings.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <string.h>

struct libpq_conn {
	struct db_conn db;
	struct kernel *kernel;
	PGconn *pg;
	struct event *io;
	struct event *timer;
	db_opened opened;
	db_answered answered;
	void *arg;
	struct db_query query; /**< only numbers and flags; the pointers are cleared */
	unsigned results;      /**< results of the running query received so far */
	bool described_params; /**< the Prepare step of a describe has been answered */
	bool value_seen;       /**< a result had a row, whose first column is the value */
	struct db_result res;
};

static void libpq_close(struct db_conn *db)
{
	struct libpq_conn *c = (struct libpq_conn *)db;

	if (c->io != NULL)
		event_free(c->io);
	if (c->timer != NULL)
		event_free(c->timer);
	if (c->res.frames != NULL)
		g_byte_array_unref(c->res.frames);
	g_free(c->res.message);
	g_free(c->res.value);
	PQfinish(c->pg);
	g_free(c);
}

/** Reports the result of connecting. */
static void libpq_connect_done(struct libpq_conn *c, bool ok, const char *why)
{
	db_opened cb = c->opened;

	event_del(c->timer);
	if (c->io != NULL) {
		event_free(c->io);
		c->io = NULL;
	}
	c->opened = NULL;
	cb(&c->db, ok, why, c->arg);
}

static void libpq_poll(evutil_socket_t fd, short what, void *arg);

static void libpq_wait(struct libpq_conn *c, short what, event_callback_fn cb)
{
	if (c->io != NULL)
		event_free(c->io);
	c->io = event_new(c->kernel->base, PQsocket(c->pg), what, cb, c);
	event_add(c->io, NULL);
}

static void libpq_poll(evutil_socket_t fd, short what, void *arg)
{
	struct libpq_conn *c = arg;

	switch (PQconnectPoll(c->pg)) {
	case PGRES_POLLING_READING:
		libpq_wait(c, EV_READ, libpq_poll);
		return;
	case PGRES_POLLING_WRITING:
		libpq_wait(c, EV_WRITE, libpq_poll);
		return;
	case PGRES_POLLING_OK:
		PQsetnonblocking(c->pg, 1);
		libpq_connect_done(c, true, "");
		return;
	default:
		libpq_connect_done(c, false, PQerrorMessage(c->pg));
	}
}

static void libpq_open_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct libpq_conn *c = arg;
	bool failed = PQstatus(c->pg) == CONNECTION_BAD;

	libpq_connect_done(c, false, failed ? PQerrorMessage(c->pg) : "timeout");
}

static void ignore_notice(void *arg, const PGresult *res)
{
}

static struct db_conn *libpq_open(struct kernel *k, const char *address, const char *database,
				  int64_t timeout_us, db_opened cb, void *arg)
{
	const char *keys[] = {"hostaddr", "port",	"dbname",	    "user",
			      "sslmode",  "gssencmode", "application_name", NULL};
	const char *values[] = {NULL,	   NULL,      database,		 "mangoloom",
				"disable", "disable", k->settings->name, NULL};
	struct libpq_conn *c = g_new0(struct libpq_conn, 1);
	char host[ADDRESS_SIZE];

	values[1] = net_split(address, host);
	values[0] = host;
	c->db.ops = &db_libpq_ops;
	c->kernel = k;
	c->opened = cb;
	c->arg = arg;
	c->timer = event_new(k->base, -1, 0, libpq_open_timeout, c);
	c->pg = PQconnectStartParams(keys, values, 0);
	if (c->pg == NULL)
		g_error("out of memory");
	PQsetNoticeReceiver(c->pg, ignore_notice, NULL);
	if (PQstatus(c->pg) == CONNECTION_BAD) {
		kernel_arm(c->timer, 0);
		return &c->db;
	}
	kernel_arm(c->timer, timeout_us);
	libpq_wait(c, EV_WRITE, libpq_poll);
	return &c->db;
}

static void parse_position(struct libpq_conn *c)
{
	const char *text = PQparameterStatus(c->pg, "mangoloom.position");

	if (text != NULL)
		sscanf(text, "%lu/%lu", &c->res.pos.term, &c->res.pos.lsn);
}

/** Passes the answer to the callback, which may reuse or close the connection. */
static void libpq_query_done(struct libpq_conn *c)
{
	db_answered cb = c->answered;
	struct db_result res = c->res;

	memset(&c->res, 0, sizeof(c->res));
	c->answered = NULL;
	if (c->io != NULL) {
		event_free(c->io);
		c->io = NULL;
	}
	cb(&c->db, &res, c->arg);
	g_byte_array_unref(res.frames);
	g_free(res.message);
	g_free(res.value);
}

static void put_row_description(GByteArray *out, const PGresult *r)
{
	guint mark = pg_begin(out, 'T');
	int i;

	pg_put_u16(out, (uint16_t)PQnfields(r));
	for (i = 0; i < PQnfields(r); i++) {
		pg_put_text(out, PQfname(r, i));
		pg_put_u32(out, PQftable(r, i));
		pg_put_u16(out, (uint16_t)PQftablecol(r, i));
		pg_put_u32(out, PQftype(r, i));
		pg_put_u16(out, (uint16_t)PQfsize(r, i));
		pg_put_u32(out, (uint32_t)PQfmod(r, i));
		pg_put_u16(out, (uint16_t)PQfformat(r, i));
	}
	pg_end(out, mark);
}

static void put_row(GByteArray *out, const PGresult *r, int row)
{
	guint mark = pg_begin(out, 'D');
	int i;

	pg_put_u16(out, (uint16_t)PQnfields(r));
	for (i = 0; i < PQnfields(r); i++) {
		if (PQgetisnull(r, row, i)) {
			pg_put_u32(out, (uint32_t)-1);
			continue;
		}
		pg_put_u32(out, (uint32_t)PQgetlength(r, row, i));
		pg_put_bytes(out, PQgetvalue(r, row, i), (size_t)PQgetlength(r, row, i));
	}
	pg_end(out, mark);
}

static void put_param_types(GByteArray *out, const PGresult *r)
{
	guint mark = pg_begin(out, 't');
	int i;

	pg_put_u16(out, (uint16_t)PQnparams(r));
	for (i = 0; i < PQnparams(r); i++)
		pg_put_u32(out, PQparamtype(r, i));
	pg_end(out, mark);
}

static void put_rows(struct libpq_conn *c, const PGresult *r)
{
	size_t max = c->query.result_max;
	int row;

	if (!c->query.extended || c->query.describe_row)
		put_row_description(c->res.frames, r);
	for (row = 0; row < PQntuples(r) && !c->res.too_large; row++) {
		put_row(c->res.frames, r, row);
		c->res.too_large = max > 0 && c->res.frames->len > max;
	}
	if (c->res.too_large) {
		g_byte_array_set_size(c->res.frames, 0);
		return;
	}
	pg_put_complete(c->res.frames, PQcmdStatus((PGresult *)r));
}

static void put_result_error(struct libpq_conn *c, const PGresult *r)
{
	const char *sqlstate = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	struct pg_error e = {
		.severity = "ERROR",
		.sqlstate = sqlstate != NULL ? sqlstate : "XX000",
		.message = PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY),
		.detail = PQresultErrorField(r, PG_DIAG_MESSAGE_DETAIL),
		.hint = PQresultErrorField(r, PG_DIAG_MESSAGE_HINT),
	};

	/* When the connection breaks, libpq itself makes an error without an SQLSTATE. */
	if (sqlstate == NULL) {
		c->res.status = DB_LOST;
		return;
	}
	if (e.message == NULL)
		e.message = "error";
	c->res.status = DB_SQL_ERROR;
	g_strlcpy(c->res.sqlstate, sqlstate, sizeof(c->res.sqlstate));
	g_free(c->res.message);
	c->res.message = g_strdup(e.message);
	pg_put_error(c->res.frames, &e);
}

static void save_first_value(struct libpq_conn *c, const PGresult *r)
{
	if (c->value_seen || PQntuples(r) == 0 || PQnfields(r) == 0)
		return;
	c->value_seen = true;
	if (PQgetlength(r, 0, 0) <= DB_VALUE_MAX)
		c->res.value = g_strdup(PQgetvalue(r, 0, 0));
}

static void handle_describe(struct libpq_conn *c, const PGresult *r)
{
	if (!c->described_params)
		return;
	put_param_types(c->res.frames, r);
	if (PQnfields(r) > 0)
		put_row_description(c->res.frames, r);
	else
		pg_put_empty(c->res.frames, 'n');
}

static void libpq_handle_result(struct libpq_conn *c, const PGresult *r)
{
	bool skipped = c->results++ < c->query.skip_results;

	switch (PQresultStatus(r)) {
	case PGRES_TUPLES_OK:
		save_first_value(c, r);
		if (!skipped)
			put_rows(c, r);
		return;
	case PGRES_COMMAND_OK:
		if (c->query.describe) {
			handle_describe(c, r);
			return;
		}
		if (skipped)
			return;
		if (c->query.describe_row)
			pg_put_empty(c->res.frames, 'n');
		pg_put_complete(c->res.frames, PQcmdStatus((PGresult *)r));
		return;
	case PGRES_EMPTY_QUERY:
		pg_put_empty(c->res.frames, 'I');
		return;
	default:
		put_result_error(c, r);
	}
}

static void libpq_read(evutil_socket_t fd, short what, void *arg);

/** Writes buffered output and waits for the answer. */
static void libpq_flush(struct libpq_conn *c)
{
	int left = PQflush(c->pg);

	if (left < 0) {
		c->res.status = DB_LOST;
		kernel_arm(c->timer, 0);
		return;
	}
	libpq_wait(c, (short)(EV_READ | EV_PERSIST | (left > 0 ? EV_WRITE : 0)), libpq_read);
}

static void libpq_read(evutil_socket_t fd, short what, void *arg)
{
	struct libpq_conn *c = arg;
	PGresult *r;

	if (!PQconsumeInput(c->pg))
		c->res.status = DB_LOST;
	if (what & EV_WRITE) {
		libpq_flush(c);
		return;
	}
	while (c->res.status != DB_LOST && !PQisBusy(c->pg)) {
		r = PQgetResult(c->pg);
		if (r == NULL) {
			if (c->query.describe && !c->described_params && c->res.status == DB_OK) {
				c->described_params = true;
				PQsendDescribePrepared(c->pg, "");
				libpq_flush(c);
				return;
			}
			parse_position(c);
			libpq_query_done(c);
			return;
		}
		libpq_handle_result(c, r);
		PQclear(r);
	}
	if (c->res.status == DB_LOST || PQstatus(c->pg) == CONNECTION_BAD) {
		c->res.status = DB_LOST;
		libpq_query_done(c);
	}
}

/** Ends a query that could not be written; runs from the loop. */
static void libpq_send_failed(evutil_socket_t fd, short what, void *arg)
{
	struct libpq_conn *c = arg;

	c->res.status = DB_LOST;
	libpq_query_done(c);
}

static int send_extended(struct libpq_conn *c, const struct db_query *q)
{
	const char **values = g_new0(const char *, q->n_params + 1);
	int *lengths = g_new0(int, q->n_params + 1);
	int *formats = g_new0(int, q->n_params + 1);
	Oid *types = g_new0(Oid, q->n_params + 1);
	unsigned i;
	int sent;

	for (i = 0; i < q->n_params; i++) {
		values[i] = q->params[i].null ? NULL : q->params[i].value;
		lengths[i] = (int)q->params[i].len;
		formats[i] = q->params[i].format;
		types[i] = q->params[i].type;
	}
	if (q->describe)
		sent = PQsendPrepare(c->pg, "", q->sql, (int)q->n_params, types);
	else
		sent = PQsendQueryParams(c->pg, q->sql, (int)q->n_params, types, values, lengths,
					 formats, q->result_format);
	g_free(values);
	g_free(lengths);
	g_free(formats);
	g_free(types);
	return sent;
}

static void libpq_query(struct db_conn *db, const struct db_query *q, db_answered cb, void *arg)
{
	struct libpq_conn *c = (struct libpq_conn *)db;
	int sent;

	c->answered = cb;
	c->arg = arg;
	c->query = *q;
	c->query.params = NULL;
	c->query.sql = NULL;
	c->results = 0;
	c->described_params = false;
	c->value_seen = false;
	c->res.status = DB_OK;
	c->res.frames = g_byte_array_new();
	c->res.message = g_strdup("");
	if (c->timer != NULL)
		event_free(c->timer);
	c->timer = event_new(c->kernel->base, -1, 0, libpq_send_failed, c);
	sent = q->extended || q->describe ? send_extended(c, q) : PQsendQuery(c->pg, q->sql);
	if (!sent) {
		kernel_arm(c->timer, 0);
		return;
	}
	libpq_flush(c);
}

static int libpq_backend_pid(const struct db_conn *db)
{
	return PQbackendPID(((const struct libpq_conn *)db)->pg);
}

static bool libpq_is_idle(const struct db_conn *db)
{
	return PQtransactionStatus(((const struct libpq_conn *)db)->pg) == PQTRANS_IDLE;
}

static bool libpq_in_failed_tx(const struct db_conn *db)
{
	return PQtransactionStatus(((const struct libpq_conn *)db)->pg) == PQTRANS_INERROR;
}

const struct db_ops db_libpq_ops = {
	.open = libpq_open,
	.query = libpq_query,
	.close = libpq_close,
	.backend_pid = libpq_backend_pid,
	.is_idle = libpq_is_idle,
	.in_failed_tx = libpq_in_failed_tx,
};
