/**
 * @file test-it-owner.c
 * Members, owners and other VMs fail or leave under load. The owner is the VM that holds the
 * connections of a database group and manages its primary.
 */
#include "harness-line.h"
#include "harness-writer.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/** Runs a statement and checks that it completes. */
#define EXPECT_COMPLETE(c, ...) CU_ASSERT_STRING_EQUAL(line_query((c), __VA_ARGS__), "COMPLETE")

/** Returns the revision of the group's record in the last @a event of a VM's log; -1 for none. */
static long logged_revision(const char *log, const char *event)
{
	char *mark = g_strdup_printf("event=%s pool=svc ", event);
	const char *at = g_strrstr(log, mark);

	g_free(mark);
	at = at != NULL ? strstr(at, "revision=") : NULL;
	return at != NULL ? atol(at + strlen("revision=")) : -1;
}

/**
 * Returns the VM that owns the group according to the logs; -1 while the VMs know different
 * revisions of the group's record, since a VM with an older record still sends to the previous
 * owner.
 */
static int find_owner(struct line_fleet *f)
{
	long newest = -1, known[LINE_VMS_MAX];
	int owner = -1, i;

	for (i = 0; i < f->n_vms; i++) {
		char *log = line_vm_log(f, i);
		long own = logged_revision(log, "owner");

		known[i] = MAX(own, MAX(logged_revision(log, "owner-known"),
					logged_revision(log, "owner-ends")));
		if (own > newest) {
			newest = own;
			owner = i;
		}
		g_free(log);
	}
	for (i = 0; i < f->n_vms; i++) {
		if (known[i] != newest)
			return -1;
	}
	return owner;
}

/**
 * Waits until vm0 owns the group, which is in the data centre of the primary m0. Until the group
 * has moved there, its owner may change in the middle of a case.
 * @return the owner, 0
 */
static int wait_for_owner(struct line_fleet *f)
{
	int64_t until = test_now_ms() + 10000;

	while (find_owner(f) != 0 && test_now_ms() < until)
		test_sleep_ms(20);
	CHECK(find_owner(f) == 0, "vm%d owns the group", find_owner(f));
	return 0;
}

/** Waits up to @a ms until the log of @a vm contains @a text. @return whether it does */
static bool wait_log(struct line_fleet *f, int vm, const char *text, int ms)
{
	int64_t until = test_now_ms() + ms;
	bool found = false;

	while (!found && test_now_ms() < until) {
		char *log = line_vm_log(f, vm);

		found = strstr(log, text) != NULL;
		g_free(log);
		test_sleep_ms(20);
	}
	return found;
}

/*
 * The primary's process ends under load. Guards against writes that do not continue after the
 * promotion of another member, against wrong outcomes, and against writes that run twice.
 */
static void test_a_primary_ends(void)
{
	struct line_fleet *f = line_fleet_start(3);
	char before[32], after[32];
	struct line_writer w[2];
	int i;

	line_primary(f, before);
	for (i = 0; i < 2; i++)
		line_writer_start(&w[i], f, i);
	test_sleep_ms(400);
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"down\"}", before);
	CU_ASSERT_TRUE(line_wait_until_writable(f, 2, 6000));
	test_sleep_ms(300);
	line_primary(f, after);
	CHECK(strcmp(before, after) != 0, "%s still leads", before);
	for (i = 0; i < 2; i++)
		line_writer_stop(&w[i]);
	CU_ASSERT_EQUAL(line_report(f, "token_regressed"), 0);
	line_fleet_stop(f);
}

/*
 * The primary stops answering: it sends no byte and accepts no connection. After the promotion of
 * another member it answers again and still acts as primary. Guards against writes of callers that
 * are committed there.
 */
static void test_a_primary_falls_silent_and_wakes(void)
{
	struct line_fleet *f = line_fleet_start(3);
	char before[32];
	struct line_writer w;

	line_primary(f, before);
	line_writer_start(&w, f, 1);
	test_sleep_ms(300);
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"dark\"}", before);
	CU_ASSERT_TRUE(line_wait_until_writable(f, 2, 8000));
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"up\"}", before);
	test_sleep_ms(1500);
	line_writer_stop(&w);
	CU_ASSERT_EQUAL(line_report(f, "replaced_commits"), 0);
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 1);
	line_fleet_stop(f);
}

/** Checks that each acknowledged write of @a w is in the newest primary's log exactly once. */
static void check_acknowledged_in_log(struct line_fleet *f, const struct line_writer *w)
{
	GHashTable *counts = line_log_counts(f);
	guint i;

	for (i = 0; i < w->acked->len; i++) {
		const char *id = g_ptr_array_index(w->acked, i);

		CHECK(GPOINTER_TO_INT(g_hash_table_lookup(counts, id)) == 1, "write %u of %u", i,
		      w->acked->len);
	}
	g_hash_table_unref(counts);
}

/*
 * The primary is marked as draining. Guards against a handover to a member that lacks some of its
 * log, and against writes that are lost or get an unknown outcome.
 */
static void test_a_draining_primary_hands_over(void)
{
	struct line_fleet *f = line_fleet_start(3);
	char before[32], after[32];
	struct line_writer w;
	int64_t until;

	line_primary(f, before);
	line_writer_start(&w, f, 0);
	test_sleep_ms(300);
	line_fault(f, "{\"member\":\"%s\",\"draining\":true}", before);
	until = test_now_ms() + 8000;
	do {
		test_sleep_ms(50);
		line_primary(f, after);
	} while (strcmp(before, after) == 0 && test_now_ms() < until);
	CHECK(strcmp(before, after) != 0, "%s still leads", before);
	CU_ASSERT_TRUE(line_wait_until_writable(f, 1, 5000));
	w.stop = 1;
	g_thread_join(w.thread);
	CU_ASSERT_EQUAL(w.unknown, 0);
	check_acknowledged_in_log(f, &w);
	line_fleet_stop(f);
}

/*
 * A data centre is evacuated under load and returns. Guards against statements that still reach its
 * member, and against writes that are lost when its primary hands over.
 */
static void test_a_data_center_is_evacuated(void)
{
	struct line_fleet *f = line_fleet_start(3);
	struct line_client reader;
	struct line_writer w[2];
	char primary[32];
	int64_t before, until;
	int i;

	wait_for_owner(f);
	for (i = 0; i < 2; i++)
		line_writer_start(&w[i], f, i);
	CU_ASSERT_TRUE(line_connect(&reader, f, 0, LINE_DB_BOUNDED, LINE_KEY));
	test_sleep_ms(300);
	line_fault(f, "{\"put\":\"op/evacuate/dc-m0\",\"value\":\"{}\"}");
	until = test_now_ms() + 5000;
	do {
		test_sleep_ms(50);
		line_primary(f, primary);
	} while (strcmp(primary, "m0") == 0 && test_now_ms() < until);
	CHECK(strcmp(primary, "m0") != 0, "m0 still leads");
	while (test_now_ms() < until)
		test_sleep_ms(50);
	before = line_member_report(f, "m0", "statements");
	for (i = 0; i < 50; i++) {
		EXPECT_COMPLETE(&reader, "READ x");
		test_sleep_ms(10);
	}
	CU_ASSERT_EQUAL(line_member_report(f, "m0", "statements"), before);
	line_fault(f, "{\"remove\":\"op/evacuate/dc-m0\"}");
	until = test_now_ms() + 5000;
	while (line_member_report(f, "m0", "statements") == before && test_now_ms() < until)
		EXPECT_COMPLETE(&reader, "READ x");
	CHECK(line_member_report(f, "m0", "statements") > before,
	      "m0 serves no reads after the end of the evacuation");
	for (i = 0; i < 2; i++) {
		line_writer_stop(&w[i]);
		CU_ASSERT_EQUAL(w[i].unknown, 0);
		check_acknowledged_in_log(f, &w[i]);
		printf("writer %d: longest gap %ld ms\n", i, (long)w[i].gap_ms);
	}
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 1);
	line_close(&reader);
	line_fleet_stop(f);
}

/*
 * The owner's VM is killed. Guards against an open transaction that is not reported as aborted, and
 * against a needless promotion: another VM has to take over the group with the same primary.
 */
static void test_an_owner_is_killed(void)
{
	struct line_fleet *f = line_fleet_start(3);
	int owner = wait_for_owner(f);
	struct line_client c;
	int64_t start;

	CU_ASSERT_TRUE(line_connect(&c, f, (owner + 1) % 3, LINE_DB_PRIMARY, LINE_KEY));
	EXPECT_COMPLETE(&c, "BEGIN");
	EXPECT_COMPLETE(&c, "WRITE o1 lost");
	line_vm_signal(f, owner, SIGKILL);
	test_sleep_ms(100);
	line_query(&c, "READ o1");
	CHECK(strcmp(c.code, "ABORTED") == 0, "%s %s", c.code, c.text);
	CU_ASSERT_EQUAL(c.state, 'E');
	EXPECT_COMPLETE(&c, "ROLLBACK");
	CU_ASSERT_EQUAL(c.state, 'I');
	start = test_now_ms();
	CU_ASSERT_TRUE(line_wait_until_writable(f, (owner + 1) % 3, 8000));
	printf("writes served again after %ld ms\n", (long)(test_now_ms() - start));
	EXPECT_COMPLETE(&c, "READ o1");
	CU_ASSERT_STRING_EQUAL(c.row, "-");
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 0);
	line_close(&c);
	line_fleet_stop(f);
}

/*
 * The owner's VM is paused; callers disconnect while their statements to it are unanswered. Guards
 * against freeing their sessions twice, which made the entry VM crash. Reads that accept old data
 * have to continue at replicas.
 */
static void test_callers_disconnect_while_an_owner_is_paused(void)
{
	struct line_fleet *f = line_fleet_start(3);
	int owner = wait_for_owner(f), entry, i;
	struct line_client c, gone[8];

	entry = (owner + 1) % 3;
	CU_ASSERT_TRUE(line_connect(&c, f, entry, LINE_DB_BOUNDED, LINE_KEY));
	EXPECT_COMPLETE(&c, "READ x");
	for (i = 0; i < 8; i++)
		CU_ASSERT_TRUE(line_connect(&gone[i], f, entry, LINE_DB_BOUNDED, LINE_KEY));
	line_vm_signal(f, owner, SIGSTOP);
	for (i = 0; i < 8; i++)
		line_send(&gone[i], "QUERY g READ x\r\n", 16);
	test_sleep_ms(60);
	for (i = 0; i < 8; i++)
		line_close(&gone[i]);
	EXPECT_COMPLETE(&c, "READ x");
	CHECK(wait_log(f, entry, "event=reads-begin", 2000),
	      "the read was not served by the entry VM");
	test_sleep_ms(900);
	line_vm_signal(f, owner, SIGCONT);
	CU_ASSERT_TRUE(line_wait_until_writable(f, entry, 8000));
	EXPECT_COMPLETE(&c, "READ x");
	line_close(&c);
	line_fleet_stop(f);
}

/*
 * An owner is paused for longer than its lease and continues. Meanwhile another VM owns the group
 * and has changed the primary. Guards against using the old owner's statements and state.
 */
static void test_an_owner_resumes_after_its_lease(void)
{
	struct line_fleet *f = line_fleet_start(3);
	int owner = wait_for_owner(f), entry;
	char primary[32];

	entry = (owner + 1) % 3;
	line_primary(f, primary);
	line_vm_signal(f, owner, SIGSTOP);
	CU_ASSERT_TRUE(line_wait_until_writable(f, entry, 8000));
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"dark\"}", primary);
	CHECK(line_wait_until_writable(f, entry, 20000),
	      "no new primary after the lease has ended");
	line_fault(f, "{\"member\":\"%s\",\"mode\":\"up\"}", primary);
	line_vm_signal(f, owner, SIGCONT);
	test_sleep_ms(1500);
	CU_ASSERT_TRUE(line_wait_until_writable(f, owner, 8000));
	CU_ASSERT_EQUAL(line_report(f, "replaced_commits"), 0);
	CU_ASSERT_EQUAL(line_report(f, "token_regressed"), 0);
	line_fleet_stop(f);
}

/*
 * A VM stops on SIGTERM. Guards against a planned stop that interrupts callers: readiness has to
 * fail at once, open transactions have to end normally, idle sessions are closed, the VM gives up
 * its lease and exits within the grace period.
 */
static void test_a_planned_stop_cuts_nothing(void)
{
	struct line_fleet *f = line_fleet_start(3);
	int owner = wait_for_owner(f);
	int64_t leases = line_report(f, "leases");
	struct line_client idle, tx;
	struct line_writer w;

	CU_ASSERT_TRUE(line_connect(&idle, f, owner, LINE_DB_PRIMARY, LINE_KEY));
	CU_ASSERT_TRUE(line_connect(&tx, f, (owner + 1) % 3, LINE_DB_PRIMARY, LINE_KEY));
	EXPECT_COMPLETE(&idle, "READ x");
	EXPECT_COMPLETE(&tx, "BEGIN");
	EXPECT_COMPLETE(&tx, "WRITE stop1 kept");
	line_writer_start(&w, f, (owner + 2) % 3);
	test_sleep_ms(200);
	line_vm_signal(f, owner, SIGTERM);
	test_sleep_ms(100);
	CU_ASSERT_EQUAL(line_get(f->vm[owner].ready, "/-/readiness", NULL), 503);
	EXPECT_COMPLETE(&tx, "WRITE stop2 kept");
	EXPECT_COMPLETE(&tx, "COMMIT");
	EXPECT_COMPLETE(&idle, "READ x");
	CU_ASSERT_EQUAL(line_vm_wait(f, owner, 6000), 0);
	line_query(&idle, "READ x");
	CU_ASSERT_STRING_EQUAL(idle.code, "");
	EXPECT_COMPLETE(&tx, "READ stop2");
	CU_ASSERT_STRING_EQUAL(tx.row, "kept");
	line_writer_stop(&w);
	CU_ASSERT_EQUAL(w.unknown, 0);
	CU_ASSERT_EQUAL(line_report(f, "leases"), leases - 1);
	line_close(&idle);
	line_close(&tx);
	line_fleet_stop(f);
}

/*
 * Guards against callers of an isolated VM that wait twice before they are refused: for a token of
 * a rate of which the VM holds a small part, then for an owner that it cannot reach. Once no owner
 * accepts statements, those that would wait for a token have to be refused at once. The BEGIN
 * statements take the tokens here; a statement that was refused without having run returns its own.
 */
static void test_no_wait_for_a_token_without_an_owner(void)
{
	struct line_fleet *f = line_fleet_start(2);
	int owner = wait_for_owner(f), entry = 1 - owner, i;
	struct line_client *c = g_new0(struct line_client, 80);
	struct line_client *tx = g_new0(struct line_client, 80);

	f->rate = 40;
	line_write_document(f);
	CHECK(wait_log(f, entry, "rate_milli=40000", 5000), "the rate is not in force");
	line_fault(f, "{\"store\":\"refuse\"}");
	line_vm_signal(f, owner, SIGSTOP);
	test_sleep_ms(300);
	for (i = 0; i < 80; i++) {
		CU_ASSERT_TRUE(line_connect(&tx[i], f, entry, LINE_DB_PRIMARY, LINE_KEY));
		line_send(&tx[i], "QUERY b BEGIN\r\n", 15);
		CU_ASSERT_TRUE(line_connect(&c[i], f, entry, LINE_DB_PRIMARY, LINE_KEY));
		line_send(&c[i], "QUERY g WRITE x 1\r\n", 19);
		/* The first ones detect that no owner answers; the others follow without delay. */
		test_sleep_ms(i < 16 ? 250 : 1);
	}
	CHECK(wait_log(f, entry, "event=owner-gone request=g", 3000),
	      "no statement refused at once");
	CHECK(wait_log(f, entry, "outcome=leaving by=\"\" tries=0", 3000) &&
		      wait_log(f, entry, "retry_after_us=1000000", 3000),
	      "callers are asked to retry too soon");
	for (i = 0; i < 80; i++) {
		CHECK(strcmp(line_read_answer(&c[i]), "COMPLETE") != 0, "statement %d was served",
		      i);
		line_close(&c[i]);
	}
	for (i = 0; i < 80; i++)
		line_close(&tx[i]);
	g_free(tx);
	g_free(c);
	line_vm_signal(f, owner, SIGCONT);
	line_fault(f, "{\"store\":\"ok\"}");
	f->rate = 1000;
	line_write_document(f);
	CU_ASSERT_TRUE(line_wait_until_writable(f, entry, 20000));
	line_fleet_stop(f);
}

/** Runs `mangoloom rebalance` at vm2. @return its exit code */
static int rebalance(struct line_fleet *f, const char *options)
{
	char *line =
		g_strdup_printf("mangoloom rebalance --at 127.0.0.1:%d%s", f->vm[2].rpc, options);
	char **argv = g_strsplit(line, " ", -1);
	int status = -1;
	pid_t pid = test_spawn(f->dir, "cli", argv, -1, -1);

	waitpid(pid, &status, 0);
	g_strfreev(argv);
	g_free(line);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/*
 * All writers are in another data centre than the primary, which follows them on request. Guards
 * against writes lost, run twice or of unknown outcome because of a move, and against moves that
 * are not valid or come right after another. The load of members is reported meanwhile.
 */
static void test_a_primary_moves_to_its_writers(void)
{
	struct line_fleet *f =
		line_fleet_start_with(3, "[placement]\nmember_load = true\nrebalance = \"manual\"\n"
					 "rebalance_pause_s = 1\n");
	int64_t until = test_now_ms() + 45000;
	struct line_client reader;
	struct line_writer w[2];
	char primary[32];
	int i;

	wait_for_owner(f);
	CU_ASSERT_EQUAL(rebalance(f, " --dry-run"), 1);
	CU_ASSERT_EQUAL(rebalance(f, " --pool svc --to nowhere"), 1);
	CU_ASSERT_EQUAL(rebalance(f, " --pool svc --to dc-m1"), 1);
	for (i = 0; i < 2; i++)
		line_writer_start(&w[i], f, 1);
	CU_ASSERT_TRUE(line_connect(&reader, f, 2, LINE_DB_BOUNDED, LINE_KEY));
	while (rebalance(f, " --dry-run") != 0 && test_now_ms() < until) {
		EXPECT_COMPLETE(&reader, "READ x");
		test_sleep_ms(100);
	}
	line_primary(f, primary);
	CU_ASSERT_STRING_EQUAL(primary, "m0");
	/* A move that is called off is tried again once the group was quiet for long enough. */
	while (strcmp(primary, "m1") != 0 && test_now_ms() < until) {
		rebalance(f, "");
		for (i = 0; i < 40 && strcmp(primary, "m1") != 0; i++) {
			test_sleep_ms(50);
			line_primary(f, primary);
		}
	}
	CU_ASSERT_STRING_EQUAL(primary, "m1");
	test_sleep_ms(500);
	CU_ASSERT_EQUAL(rebalance(f, " --pool svc --to dc-m2"), 1);
	for (i = 0; i < 2; i++) {
		line_writer_stop(&w[i]);
		CU_ASSERT_EQUAL(w[i].unknown, 0);
		check_acknowledged_in_log(f, &w[i]);
		printf("writer %d: longest gap %ld ms\n", i, (long)w[i].gap_ms);
	}
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 1);
	line_close(&reader);
	line_fleet_stop(f);
}

/* All VMs are killed at the same moment. They have to serve again within 8 s of their start. */
static void test_all_vms_start_again(void)
{
	struct line_fleet *f = line_fleet_start(3);
	int i;

	for (i = 0; i < 3; i++)
		line_vm_signal(f, i, SIGKILL);
	for (i = 0; i < 3; i++)
		line_vm_start(f, i);
	for (i = 0; i < 3; i++)
		CHECK(line_wait_until_writable(f, i, 8000), "vm%d", i);
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 0);
	line_fleet_stop(f);
}

/*
 * The link between the owner and another VM is lost; a third VM reaches both. Guards against writes
 * of that VM's callers that are not served for as long as this lasts, or that run twice, and
 * against a needless change of the owner.
 */
static void test_a_link_to_an_owner_is_lost(void)
{
	struct line_fleet *f = line_fleet_start_proxied_with(3, "[paths]\nrelay = true\n");
	struct line_client c, gone;
	struct line_writer w;
	int i, served = 0;

	wait_for_owner(f);
	CHECK(wait_log(f, 1, "count=3", 5000), "vm1 does not know all VMs");
	CU_ASSERT_TRUE(line_connect(&c, f, 1, LINE_DB_PRIMARY, LINE_KEY));
	EXPECT_COMPLETE(&c, "READ x");
	line_writer_start(&w, f, 1);
	line_proxy_command(f, "hold vm0 vm1");
	line_proxy_command(f, "hold vm1 vm0");
	CHECK(wait_log(f, 1, "outcome=served", 4000), "no statement went through the third VM");
	for (i = 0; i < 50; i++) {
		served += strcmp(line_query(&c, "READ x"), "COMPLETE") == 0 ? 1 : 0;
		/* A caller disconnects while its statement is relayed. */
		CU_ASSERT_TRUE(line_connect(&gone, f, 1, LINE_DB_PRIMARY, LINE_KEY));
		line_send(&gone, "QUERY g WRITE y 1\r\n", 19);
		line_close(&gone);
		test_sleep_ms(20);
	}
	CHECK(served >= 48, "%d of 50 reads served", served);
	CHECK(find_owner(f) == 0, "vm%d owns the group", find_owner(f));
	/* A transaction is not relayed: it ends with an error that says that nothing is kept. */
	EXPECT_COMPLETE(&c, "BEGIN");
	CHECK(strcmp(line_query(&c, "WRITE t1 x"), "COMPLETE") != 0, "a transaction was relayed");
	line_query(&c, "ROLLBACK");
	line_proxy_command(f, "pass vm0 vm1");
	line_proxy_command(f, "pass vm1 vm0");
	CU_ASSERT_TRUE(line_wait_until_writable(f, 1, 3000));
	line_writer_stop(&w);
	CU_ASSERT_EQUAL(line_report(f, "promotions"), 0);
	line_close(&c);
	line_fleet_stop(f);
}

static const struct test_case cases[] = {
	{"a_primary_ends", test_a_primary_ends},
	{"a_primary_falls_silent_and_wakes", test_a_primary_falls_silent_and_wakes},
	{"a_draining_primary_hands_over", test_a_draining_primary_hands_over},
	{"a_data_center_is_evacuated", test_a_data_center_is_evacuated},
	{"a_primary_moves_to_its_writers", test_a_primary_moves_to_its_writers},
	{"an_owner_is_killed", test_an_owner_is_killed},
	{"callers_disconnect_while_an_owner_is_paused",
	 test_callers_disconnect_while_an_owner_is_paused},
	{"an_owner_resumes_after_its_lease", test_an_owner_resumes_after_its_lease},
	{"a_planned_stop_cuts_nothing", test_a_planned_stop_cuts_nothing},
	{"no_wait_for_a_token_without_an_owner", test_no_wait_for_a_token_without_an_owner},
	{"all_vms_start_again", test_all_vms_start_again},
	{"a_link_to_an_owner_is_lost", test_a_link_to_an_owner_is_lost},
};
HARNESS_MAIN("owners", cases)
