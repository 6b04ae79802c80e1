/**
 * @file test-it-session.c What a session sees: its own writes, through any VM, with replicas
 * behind; transactions.
 */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *token_of(PGconn *c)
{
	const char *t = PQparameterStatus(c, "mangoloom.session");

	return t != NULL ? t : "";
}

/**
 * Write through one VM and read through another with the token. @return how many reads lacked the
 * write
 */
static int roam(struct test_fleet *f, const char *kind, int n, const char *prefix)
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
		 * Now and then the home's last look at the replica is old, and only the answer
		 * itself can tell.
		 */
		if (i % 5 == 4)
			test_sleep_ms(170);
		state = sql(w, NULL, 0, "INSERT INTO orders VALUES ('%s-%d', '%s')", prefix, i,
			    wanted);
		CHECK(strcmp(state, "00000") == 0, "%s", state);
		sql(r, NULL, 0, "SET mangoloom.session = '%s'", token_of(w));
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

static int64_t replica_reads(struct test_fleet *f)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < f->plan.vms; i++)
		sum += fleet_status(f, i, "reads_by_replica");
	return sum;
}

/*
 * A clerk writes through one VM and reads through another, which knows only the token. Replicas
 * show writes two seconds late. The read waits for nobody and lacks nothing: the answer's own
 * position is checked, and the primary serves.
 */
static void test_reads_own_writes_with_replicas_far_behind(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = 2000});

	CHECK(roam(f, "own", 50, "a") == 0, "stale reads");
	CHECK(roam(f, "page", 50, "b") == 0, "stale reads of a kind that accepts old data");
	fleet_tear_down(f);
}

/* With replicas close behind, they serve most of what they may; still nothing is stale. */
static void test_replicas_serve_what_they_may(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = 10});
	char value[64];
	PGconn *c;
	int64_t by_replica;
	int i;

	CHECK(roam(f, "own", 50, "a") == 0, "stale reads");
	c = fleet_connect(f, 2, "clerks", f->key, "-c mangoloom.kind=page");
	by_replica = replica_reads(f);
	for (i = 0; i < 100; i++)
		sql(c, value, sizeof(value), "SELECT value FROM orders WHERE key = 'a-1'");
	by_replica = replica_reads(f) - by_replica;
	CHECK(by_replica >= 90, "%ld of 100", (long)by_replica);
	PQfinish(c);
	fleet_tear_down(f);
}

/*
 * A page accepts data of 500 ms; replicas are three seconds behind. The age is measured, so none of
 * them may serve.
 */
static void test_age_is_measured(void)
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

/* The same connection, without showing any token, reads what it wrote, in every kind. */
static void test_own_connection_remembers(void)
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

/* The primary is killed between the write and the read: the token still leads to the write. */
static void test_reads_own_write_across_a_promotion(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.lag_ms = 500});
	PGconn *w = fleet_connect_orders(f, 0), *r;
	char value[64];
	const char *state;

	sql(w, NULL, 0, "INSERT INTO orders VALUES ('last', 'order')");
	fleet_member_signal(f, fleet_primary(f), SIGKILL);
	r = fleet_connect(f, 1, "clerks", f->key, "-c mangoloom.kind=own");
	sql(r, NULL, 0, "SET mangoloom.session = '%s'", token_of(w));
	state = sql(r, value, sizeof(value), "SELECT value FROM orders WHERE key = 'last'");
	CHECK(strcmp(state, "00000") == 0 && strcmp(value, "order") == 0, "%s %s", state, value);
	PQfinish(w);
	PQfinish(r);
	fleet_tear_down(f);
}

/*
 * With confirm = "primary", a promotion may discard the last writes. The session whose token names
 * one is told so, once, and never shown the past in silence.
 */
static void test_lost_write_is_told(void)
{
	struct test_fleet *f = fleet_start_up(&(struct fleet_plan){.confirm = "primary"});
	PGconn *w = fleet_connect_orders(f, 0), *r;
	char value[64], token[256];
	const char *state;
	int primary = fleet_primary(f), i;

	/* The replicas no longer hear from the primary; its home and callers do. */
	for (i = 0; i < 3; i++)
		fleet_fault(f, "hold %s -db", f->member[primary].name);
	state = sql(w, NULL, 0, "INSERT INTO orders VALUES ('gone', 'x')");
	CHECK(strcmp(state, "00000") == 0, "%s", state);
	g_strlcpy(token, token_of(w), sizeof(token));
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
	/* An error ends the transaction as PostgreSQL does it. */
	sql(a, NULL, 0, "BEGIN");
	CHECK(strcmp(sql(a, NULL, 0, "NONSENSE"), "42601") == 0, "nonsense");
	CHECK(PQtransactionStatus(a) == PQTRANS_INERROR, "status");
	CHECK(strcmp(sql(a, NULL, 0, "INSERT INTO orders VALUES ('t3', 'a')"), "25P02") == 0,
	      "aborted");
	sql(a, NULL, 0, "COMMIT");
	CHECK(PQtransactionStatus(a) == PQTRANS_IDLE, "status");
	/*
	 * Control inside a query of several statements would run the rest outside any transaction.
	 */
	CHECK(strcmp(sql(a, NULL, 0, "INSERT INTO orders VALUES ('t4', 'a'); COMMIT; SELECT 1"),
		     "0A000") == 0,
	      "mixed");
	PQfinish(a);
	PQfinish(b);
	fleet_tear_down(f);
}

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
 * A caller vanishes inside a transaction; then an entry VM dies inside one. Both are rolled back,
 * their connections serve others, and none of their statements shows in anybody else's transaction.
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
 * Transactions keep all connections that they may; single statements still pass on the last one,
 * and one more BEGIN waits until a transaction ends.
 */
static void test_last_connection(void)
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
	{"replicas_serve_what_they_may", test_replicas_serve_what_they_may},
	{"age_is_measured", test_age_is_measured},
	{"own_connection_remembers", test_own_connection_remembers},
	{"reads_own_write_across_a_promotion", test_reads_own_write_across_a_promotion},
	{"lost_write_is_told", test_lost_write_is_told},
	{"transactions", test_transactions},
	{"transactions_end_with_their_caller_or_vm", test_transactions_end_with_their_caller_or_vm},
	{"last_connection", test_last_connection},
};
HARNESS_MAIN("session", cases)
