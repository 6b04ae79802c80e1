/** @file test-line.c The line protocol: parsing of lines and statements, and connections to a
 * member. */
#include "harness.h"
#include "net.h"
#include "platform-adapter.h"
#include "platform-line.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

static enum line_verdict take(const char *bytes, size_t len, char **line)
{
	struct evbuffer *in = evbuffer_new();
	enum line_verdict v;

	evbuffer_add(in, bytes, len);
	v = line_take(in, line);
	evbuffer_free(in);
	return v;
}

static void test_complete_and_incomplete_lines(void)
{
	char *line;

	CU_ASSERT_EQUAL(take("QUERY 1 READ a\r\n", 16, &line), LINE_COMPLETE);
	CU_ASSERT_STRING_EQUAL(line, "QUERY 1 READ a");
	free(line);
	CU_ASSERT_EQUAL(take("QUERY 1 READ a", 14, &line), LINE_INCOMPLETE);
	CU_ASSERT_EQUAL(take("QUERY 1 READ a\n", 15, &line), LINE_INCOMPLETE);
}

/*
 * Guards against statement injection: a bare CR, LF or NUL in a forwarded statement could end the
 * line early in the member's parser, which would run the rest as another statement.
 */
static void test_bare_line_ends_are_rejected(void)
{
	char *line;

	CU_ASSERT_EQUAL(take("QUERY 1 READ a\nQUERY 2 WRITE a b\r\n", 34, &line), LINE_MALFORMED);
	CU_ASSERT_EQUAL(take("QUERY 1 READ a\rQUERY 2 WRITE a b\r\n", 34, &line), LINE_MALFORMED);
	CU_ASSERT_EQUAL(take("QUERY 1 READ a\0b\r\n", 18, &line), LINE_MALFORMED);
}

static void test_length_limit(void)
{
	char *big = g_strnfill(LINE_MAX_BYTES, 'x');
	char *line;

	memcpy(big + LINE_MAX_BYTES - 2, "\r\n", 2);
	CU_ASSERT_EQUAL(take(big, LINE_MAX_BYTES, &line), LINE_COMPLETE);
	free(line);
	memset(big, 'x', LINE_MAX_BYTES);
	CU_ASSERT_EQUAL(take(big, LINE_MAX_BYTES, &line), LINE_TOO_LONG);
	g_free(big);
}

static void check_statement(const char *text, enum statement_op op, const char *name,
			    const char *operand, bool write)
{
	struct statement st;

	line_parse_statement(text, &st);
	CHECK(st.op == op, "%s: %d", text, st.op);
	CHECK(g_strcmp0(st.name, name) == 0, "%s: name %s", text, st.name);
	CHECK(g_strcmp0(st.operand, operand) == 0, "%s: operand %s", text, st.operand);
	CU_ASSERT_EQUAL(st.write, write);
	CU_ASSERT_STRING_EQUAL(st.text, text);
	line_statement_clear(&st);
}

static void test_statements(void)
{
	check_statement("READ 1a4", STATEMENT_READ, NULL, NULL, false);
	check_statement("WRITE 1a4 some data", STATEMENT_WRITE, NULL, NULL, false);
	check_statement("BEGIN", STATEMENT_BEGIN, NULL, NULL, false);
	check_statement("BEGIN READ", STATEMENT_BEGIN_READ, NULL, NULL, false);
	check_statement("SET zone a b c", STATEMENT_SET, "zone", "a b c", false);
	check_statement("PREPARE s1 WRITE q2c", STATEMENT_PREPARE, "s1", "q2c", true);
	check_statement("PREPARE s1 READ q2c", STATEMENT_PREPARE, "s1", "q2c", false);
	check_statement("EXECUTE s1 1a4 data", STATEMENT_EXECUTE, "s1", "1a4 data", false);
	check_statement("DEALLOCATE s1", STATEMENT_DEALLOCATE, "s1", NULL, false);
	check_statement("COMMIT", STATEMENT_COMMIT, NULL, NULL, false);
	check_statement("ROLLBACK", STATEMENT_ROLLBACK, NULL, NULL, false);
}

/*
 * Guards against callers that send commands reserved for the proxy. With WAITFOR, for example, a
 * caller could choose the staleness of its reads.
 */
static void test_reserved_and_malformed_statements_are_rejected(void)
{
	static const char *const bad[] = {
		"",
		"READ",
		"WAITFOR 1.2 READ a",
		"STEPDOWN 9",
		"PAUSE 9",
		"RESUME",
		"STATUS",
		"RESET",
		"COMMIT now",
		"BEGIN WRITE",
		"PREPARE s1",
		"PREPARE s1 X q",
		"EXECUTE s1",
		"SET a",
		"read a",
		"READWRITE a",
		"BEGINREAD",
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct statement st;

		line_parse_statement(bad[i], &st);
		CHECK(st.op == STATEMENT_BAD, "%s: %d", bad[i], st.op);
		line_statement_clear(&st);
	}
}

static void test_positions(void)
{
	CU_ASSERT_EQUAL(line_parse_pos("3.1207").term, 3);
	CU_ASSERT_EQUAL(line_parse_pos("3.1207").lsn, 1207);
	CU_ASSERT_EQUAL(line_parse_pos("-").term, 0);
	CU_ASSERT_EQUAL(line_parse_pos(NULL).term, 0);
}

/** Parses randomly mutated and truncated lines; no input may crash the parser. */
static void test_fuzz(void)
{
	static const char *const seeds[] = {
		"START lepu270 u3f1\r\n", "QUERY 5c0e EXECUTE s1 1a4 xkq\r\n",
		"READY I 3.1209\r\n",	  "ROW replica 3 3.1209 0 12 2 17\r\n",
		"ERROR READONLY i-7\r\n",
	};
	struct evbuffer *in = evbuffer_new();
	unsigned round, lines = 0;

	srand(7);
	for (round = 0; round < 200000; round++) {
		char bytes[64];
		size_t len = strlen(seeds[round % G_N_ELEMENTS(seeds)]);
		unsigned changes = (unsigned)rand() % 4;
		char *line;

		memcpy(bytes, seeds[round % G_N_ELEMENTS(seeds)], len);
		while (changes-- > 0)
			bytes[(size_t)rand() % len] = (char)rand();
		if (rand() % 4 == 0)
			len = (size_t)rand() % (len + 1);
		evbuffer_add(in, bytes, len);
		while (line_take(in, &line) == LINE_COMPLETE) {
			struct statement st;
			enum tx_state state;
			struct pos pos;
			char *rest;

			lines++;
			line_parse_statement(line, &st);
			line_statement_clear(&st);
			if (line_match_keyword(line, "READY", &rest))
				line_parse_ready(rest, &state, &pos);
			free(line);
		}
	}
	CU_ASSERT_TRUE(lines > 10000);
	evbuffer_free(in);
}

/* A member that returns scripted answers */

struct script {
	struct event_base *base;
	struct bufferevent *bev;
	const char *const *answers;
	unsigned next;
	struct member_conn *conn;
	struct pos pos[8];
	enum member_result result[8];
	bool setup_failed[8];
	unsigned n;
};

static void script_read(struct bufferevent *bev, void *arg)
{
	struct script *s = arg;
	char *line;

	while (line_take(bufferevent_get_input(bev), &line) == LINE_COMPLETE) {
		const char *answer = s->answers[s->next++];

		bufferevent_write(bev, answer, strlen(answer));
		free(line);
	}
}

static void script_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
			  int len, void *arg)
{
	struct script *s = arg;

	s->bev = bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(s->bev, script_read, NULL, NULL, s);
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
}

static void on_answer(struct member_conn *c, const struct member_answer *a, void *arg)
{
	struct script *s = arg;

	s->pos[s->n] = a->pos;
	s->result[s->n] = a->result;
	s->setup_failed[s->n] = a->setup_failed;
	s->n++;
	event_base_loopbreak(s->base);
}

static void on_opened(struct member_conn *c, enum member_result r, struct pos pos, void *arg)
{
	struct script *s = arg;

	CU_ASSERT_EQUAL(r, MEMBER_DONE);
	event_base_loopbreak(s->base);
}

static void on_closed(struct member_conn *c, void *arg)
{
}

static void script_open(struct script *s, struct kernel *k, struct evconnlistener **l)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	char address[ADDRESS_SIZE];

	*l = net_listen(k->base, "127.0.0.1:0", script_accept, s, NULL);
	getsockname(evconnlistener_get_fd(*l), (struct sockaddr *)&sin, &len);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(sin.sin_port));
	s->base = k->base;
	s->conn = platform_member_ops.open(k, address, "pool", "team", "i-1", on_opened, on_closed,
					   s);
	event_base_dispatch(k->base);
}

static void script_run(struct script *s, const struct member_command *c, unsigned n)
{
	s->conn->ops->run(s->conn, c, n, on_answer);
	event_base_dispatch(s->base);
}

/*
 * Guards against reads that are staler than their route allows. The primary refused a statement as
 * busy, without a log position, and the position of the previous answer was taken for the current
 * one.
 */
static void test_answer_without_position_clears_position(void)
{
	static const char *const answers[] = {
		"READY I 1.4\r\n",
		"ROW x\r\nCOMPLETE s.1\r\nREADY I 1.5\r\n",
		"ERROR BUSY full\r\nREADY I -\r\n",
		"ERROR FAILED x\r\nREADY I -\r\n",
		"COMPLETE s.2\r\nREADY I 1.6\r\n",
	};
	const struct member_command read = {.op = STATEMENT_READ, .request = "1", .text = "READ a"};
	const struct member_command two[] = {{.op = STATEMENT_RESET}, read};
	struct settings settings = {0};
	struct kernel *k = kernel_create(&settings);
	struct script s = {.answers = answers};
	struct evconnlistener *l;

	script_open(&s, k, &l);
	script_run(&s, &read, 1);
	script_run(&s, &read, 1);
	script_run(&s, two, 2);
	CU_ASSERT_EQUAL(s.pos[0].lsn, 5);
	CU_ASSERT_EQUAL(s.result[1], MEMBER_BUSY);
	CU_ASSERT_EQUAL(s.pos[1].term, 0);
	CU_ASSERT_EQUAL(s.result[2], MEMBER_DONE);
	CU_ASSERT_EQUAL(s.pos[2].lsn, 6);
	CU_ASSERT_TRUE(s.setup_failed[2]);
	s.conn->ops->close(s.conn);
	bufferevent_free(s.bev);
	evconnlistener_free(l);
	kernel_free(k);
}

static const struct test_case cases[] = {
	{"complete_and_incomplete_lines", test_complete_and_incomplete_lines},
	{"bare_line_ends_are_rejected", test_bare_line_ends_are_rejected},
	{"length_limit", test_length_limit},
	{"statements", test_statements},
	{"reserved_and_malformed_statements_are_rejected",
	 test_reserved_and_malformed_statements_are_rejected},
	{"positions", test_positions},
	{"fuzz", test_fuzz},
	{"answer_without_position_clears_position", test_answer_without_position_clears_position},
};
HARNESS_MAIN("line", cases)
