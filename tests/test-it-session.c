/**
 * @file test-it-session.c
 * Session consistency, which lets a session read its own writes through any VM while replicas lag
 * behind, and transactions.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Returns the session token that the server reported on @a c, or "". */
static const char *session_token(PGconn *c)
{
	const char *t = PQparameterStatus(c, "mangoloom.session");

	return t != NULL ? t : "";
}

/**
 * Writes @a n times through VM 0 and reads each write through VM 1, which knows only the session
 * token. @return the number of reads that lacked the write
 */
static int count_stale_reads(struct test_fleet *f, const char *kind, int n, const char *prefix)
{
	char options[128], value[64], wanted[64];
	PGconn *w = fleet_connect_orders(f, 0), *r;
	int stale = 0, i;

	snprintf(options, sizeof(options), "-c mangoloom.kind=%s", kind);
	r = fleet_connect(f, 1, "clerks", f->key, options);
	for (i = 0; i < n; i++) {
		const char *state;

		snprintf(wanted, sizeof(wanted), "value-%d", i);
		/*
		 * Every fifth write waits until the last probe of the replica by its home, the
		 * daemon that holds its connections, is old. Only the log position in the answer
		 * then shows that the replica lags.
		 */
		if (i % 5 == 4)
			test_sleep_ms(170);
		state = sql(w, NULL, 0, "INSERT INTO orders VALUES ('%s-%d', '%s')", prefix, i,
			    wanted);
		CHECK(strcmp(state, "00000") == 0, "%s", state);
		sql(r, NULL, 0, "SET mangoloom.session = '%s'", session_token(w));
		if (i % 5 == 3)
			test_sleep_ms(60);
		state = sql(r, value, sizeof(value), "SELECT value FROM orders WHERE key = '%s-%d'",
			    prefix, i);
		CHECK(strcmp(state, "00000") == 0, "%s", state);
		stale += strcmp(value, wanted) != 0;
	}
	PQfinish(w);
	PQfinish(r);
	return stale;
}

/** Returns the number of reads that replicas served, over all VMs. */
static int64_t replica_reads(struct test_fleet *f)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < f->plan.vms; i++)
		sum += fleet_status(f, i, "reads_by_replica");
	return sum;
}

/*
 * A caller writes through one VM and reads through another, which knows only the session token.
 * Replicas apply writes two seconds late. Guards against stale reads: the log position in a
 * replica's answer is checked, and the read goes to the primary instead of waiting for the replica.
 */
static void test_reads_own_writes_with_replicas_far_behind(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = 2000});

	CHECK(count_stale_reads(f, "own", 50, "a") == 0, "stale reads");
	CHECK(count_stale_reads(f, "page", 50, "b") == 0,
	      "stale reads of a kind that accepts old data");
	fleet_tear_down(f);
}

/*
 * Replicas lag by 10 ms only. Guards against reads that go to the primary although a replica may
 * serve them, and still against stale reads.
 */
static void test_replicas_with_little_lag_serve_reads(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = 10});
	char value[64];
	PGconn *c;
	int64_t by_replica;
	int i;

	CHECK(count_stale_reads(f, "own", 50, "a") == 0, "stale reads");
	c = fleet_connect(f, 2, "clerks", f->key, "-c mangoloom.kind=page");
	by_replica = replica_reads(f);
	for (i = 0; i < 100; i++)
		sql(c, value, sizeof(value), "SELECT value FROM orders WHERE key = 'a-1'");
	by_replica = replica_reads(f) - by_replica;
	CHECK(by_replica >= 90, "%ld of 100 reads served by replicas", (long)by_replica);
	PQfinish(c);
	fleet_tear_down(f);
}

/*
 * Reads accept data up to 500 ms old, and replicas lag by three seconds. Guards against a replica
 * that serves such a read because its staleness is assumed instead of measured.
 */
static void test_staleness_is_measured(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = 3000});
	PGconn *w = fleet_connect_orders(f, 0), *r;
	char value[64];
	int i, stale = 0;

	r = fleet_connect(f, 1, "clerks", f->key,
			  "-c mangoloom.kind=page -c mangoloom.max_age_ms=500");
	for (i = 0; i < 6; i++) {
		sql(w, NULL, 0, "INSERT INTO orders VALUES ('age', '%d')", i);
		test_sleep_ms(510);
		sql(r, value, sizeof(value), "SELECT value FROM orders WHERE key = 'age'");
		stale += atoi(value) < i;
	}
	CHECK(stale == 0, "%d reads older than 500 ms", stale);
	PQfinish(w);
	PQfinish(r);
	fleet_tear_down(f);
}

/*
 * Guards against a connection that does not read its own writes when the caller does not set a
 * session token, whatever the kind of the read.
 */
static void test_reads_own_writes_without_a_session_token(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = 2000});
	PGconn *c = fleet_connect_orders(f, 2);
	char value[64];
	int i;

	for (i = 0; i < 20; i++) {
		sql(c, NULL, 0, "INSERT INTO orders VALUES ('k%d', 'x')", i);
		sql(c, NULL, 0, "SET mangoloom.kind = 'page'");
		sql(c, value, sizeof(value), "SELECT value FROM orders WHERE key = 'k%d'", i);
		CHECK(strcmp(value, "x") == 0, "read %s", value);
		sql(c, NULL, 0, "SET mangoloom.kind = 'order'");
	}
	PQfinish(c);
	fleet_tear_down(f);
}

/*
 * The primary is killed between a write and the read with its session token. Guards against a read
 * that lacks the write after the promotion.
 */
static void test_reads_own_write_across_a_promotion(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = 500});
	PGconn *w = fleet_connect_orders(f, 0), *r;
	char value[64];
	const char *state;

	sql(w, NULL, 0, "INSERT INTO orders VALUES ('last', 'order')");
	fleet_member_signal(f, fleet_primary(f), SIGKILL);
	r = fleet_connect(f, 1, "clerks", f->key, "-c mangoloom.kind=own");
	sql(r, NULL, 0, "SET mangoloom.session = '%s'", session_token(w));
	state = sql(r, value, sizeof(value), "SELECT value FROM orders WHERE key = 'last'");
	CHECK(strcmp(state, "00000") == 0 && strcmp(value, "order") == 0, "%s %s", state, value);
	PQfinish(w);
	PQfinish(r);
	fleet_tear_down(f);
}

/*
 * With confirm = "primary", a promotion may discard the last acknowledged writes. Guards against
 * hiding this from a session whose token names a discarded write: its next read has to fail with
 * 55000, once.
 */
static void test_lost_write_is_reported(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.confirm = "primary"});
	PGconn *w = fleet_connect_orders(f, 0), *r;
	char value[64], token[256];
	const char *state;
	int primary = fleet_primary(f), i;

	/* Replication from the primary is blocked; its home and callers still reach it. */
	for (i = 0; i < 3; i++)
		fleet_fault(f, "hold %s -db", f->member[primary].name);
	state = sql(w, NULL, 0, "INSERT INTO orders VALUES ('gone', 'x')");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	g_strlcpy(token, session_token(w), sizeof(token));
	fleet_member_signal(f, primary, SIGKILL);
	r = fleet_connect(f, 1, "clerks", f->key, "-c mangoloom.kind=own");
	sql(r, NULL, 0, "SET mangoloom.session = '%s'", token);
	state = sql(r, value, sizeof(value), "SELECT value FROM orders WHERE key = 'gone'");
	CHECK(strcmp(state, "55000") == 0, "%s", state);
	state = sql(r, value, sizeof(value), "SELECT value FROM orders WHERE key = 'gone'");
	CHECK(strcmp(state, "00000") == 0 && strcmp(value, "none") == 0, "%s %s", state, value);
	PQfinish(w);
	PQfinish(r);
	fleet_tear_down(f);
}

static void test_transactions(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){0});
	PGconn *a = fleet_connect_orders(f, 0), *b = fleet_connect_orders(f, 1);
	char value[64];

	CHECK(strcmp(sql(a, NULL, 0, "BEGIN"), "00000") == 0, "BEGIN");
	CHECK(PQtransactionStatus(a) == PQTRANS_INTRANS, "status");
	sql(a, NULL, 0, "INSERT INTO orders VALUES ('t1', 'a')");
	sql(a, value, sizeof(value), "SELECT value FROM orders WHERE key = 't1'");
	CHECK(strcmp(value, "a") == 0, "own write in the transaction: %s", value);
	sql(b, value, sizeof(value), "SELECT value FROM orders WHERE key = 't1'");
	CHECK(strcmp(value, "none") == 0, "seen from outside: %s", value);
	CHECK(strcmp(sql(a, NULL, 0, "COMMIT"), "00000") == 0, "COMMIT");
	sql(b, value, sizeof(value), "SELECT value FROM orders WHERE key = 't1'");
	CHECK(strcmp(value, "a") == 0, "after the commit: %s", value);
	sql(a, NULL, 0, "BEGIN");
	sql(a, NULL, 0, "INSERT INTO orders VALUES ('t2', 'a')");
	sql(a, NULL, 0, "ROLLBACK");
	sql(b, value, sizeof(value), "SELECT value FROM orders WHERE key = 't2'");
	CHECK(strcmp(value, "none") == 0, "after the rollback: %s", value);
	/* After an error the transaction is aborted until it ends, as in PostgreSQL. */
	sql(a, NULL, 0, "BEGIN");
	CHECK(strcmp(sql(a, NULL, 0, "NONSENSE"), "42601") == 0, "nonsense");
	CHECK(PQtransactionStatus(a) == PQTRANS_INERROR, "status");
	CHECK(strcmp(sql(a, NULL, 0, "INSERT INTO orders VALUES ('t3', 'a')"), "25P02") == 0,
	      "aborted");
	sql(a, NULL, 0, "COMMIT");
	CHECK(PQtransactionStatus(a) == PQTRANS_IDLE, "status");
	/*
	 * A COMMIT within a query of several statements is refused: it would run the statements
	 * after it outside any transaction.
	 */
	CHECK(strcmp(sql(a, NULL, 0, "INSERT INTO orders VALUES ('t4', 'a'); COMMIT; SELECT 1"),
		     "0A000") == 0,
	      "mixed");
	PQfinish(a);
	PQfinish(b);
	fleet_tear_down(f);
}

/** Returns whether no running VM has an open transaction. */
static bool no_transactions(struct test_fleet *f, void *arg)
{
	int i;

	for (i = 0; i < f->plan.vms; i++) {
		if (f->vm[i].pid > 0 && fleet_status(f, i, "transactions") > 0)
			return false;
	}
	return true;
}

/*
 * A caller disconnects inside a transaction, then an entry VM is killed inside one. Guards against
 * transactions that stay open and keep their connection, and against statements of theirs that
 * become part of another session's transaction.
 */
static void test_transactions_end_with_their_caller_or_vm(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.connections = 5});
	PGconn *c = fleet_connect_orders(f, 1);
	char value[64];
	int primary = fleet_primary(f);
	int other = primary == 1 ? 2 : 1;

	sql(c, NULL, 0, "BEGIN");
	sql(c, NULL, 0, "INSERT INTO orders VALUES ('vanished', 'x')");
	PQfinish(c);
	CHECK(wait_until(no_transactions, f, NULL, 5000),
	      "the vanished caller's transaction is open");
	c = fleet_connect_orders(f, other);
	sql(c, NULL, 0, "BEGIN");
	sql(c, NULL, 0, "INSERT INTO orders VALUES ('died', 'x')");
	fleet_vm_signal(f, other, SIGKILL);
	CHECK(strcmp(sql(c, NULL, 0, "COMMIT"), "00000") != 0, "commit through a dead VM");
	PQfinish(c);
	CHECK(wait_until(no_transactions, f, NULL, 5000), "the dead VM's transaction is open");
	c = fleet_connect_orders(f, 0);
	sql(c, NULL, 0, "BEGIN");
	sql(c, value, sizeof(value), "SELECT value FROM orders WHERE key = 'vanished'");
	CHECK(strcmp(value, "none") == 0, "%s", value);
	sql(c, value, sizeof(value), "SELECT value FROM orders WHERE key = 'died'");
	CHECK(strcmp(value, "none") == 0, "%s", value);
	sql(c, NULL, 0, "COMMIT");
	PQfinish(c);
	fleet_tear_down(f);
}

/*
 * Transactions hold all connections that they may hold. Guards against single statements that
 * cannot run, since the last connection is reserved for them, and against a further BEGIN that does
 * not wait until a transaction ends.
 */
static void test_last_connection_is_kept_for_single_statements(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.connections = 6});
	PGconn *tx[2], *c = fleet_connect_orders(f, 0), *late;
	const char *state;
	int i;

	for (i = 0; i < 2; i++) {
		tx[i] = fleet_connect_orders(f, i);
		state = sql(tx[i], NULL, 0, "BEGIN");
		CHECK(strcmp(state, "00000") == 0, "%s", state);
		sql(tx[i], NULL, 0, "INSERT INTO orders VALUES ('tx', '%d')", i);
	}
	state = sql(c, NULL, 0, "INSERT INTO orders VALUES ('single', 'x')");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	late = fleet_connect(f, 2, "clerks", f->key,
			     "-c mangoloom.kind=order -c mangoloom.deadline_ms=700");
	state = sql(late, NULL, 0, "BEGIN");
	CHECK(strcmp(state, "57014") == 0 && strcmp(sql_detail(), "not run") == 0, "%s %s", state,
	      sql_detail());
	sql(tx[0], NULL, 0, "COMMIT");
	state = sql(late, NULL, 0, "BEGIN");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	PQfinish(late);
	PQfinish(tx[0]);
	PQfinish(tx[1]);
	PQfinish(c);
	fleet_tear_down(f);
}

static const struct test_case cases[] = {
	{"reads_own_writes_with_replicas_far_behind",
	 test_reads_own_writes_with_replicas_far_behind},
	{"replicas_with_little_lag_serve_reads", test_replicas_with_little_lag_serve_reads},
	{"staleness_is_measured", test_staleness_is_measured},
	{"reads_own_writes_without_a_session_token", test_reads_own_writes_without_a_session_token},
	{"reads_own_write_across_a_promotion", test_reads_own_write_across_a_promotion},
	{"lost_write_is_reported", test_lost_write_is_reported},
	{"transactions", test_transactions},
	{"transactions_end_with_their_caller_or_vm", test_transactions_end_with_their_caller_or_vm},
	{"last_connection_is_kept_for_single_statements",
	 test_last_connection_is_kept_for_single_statements},
};
HARNESS_MAIN("session", cases)
