/** @file harness-writer.c Writes through the line protocol while a test injects faults. */
#include "harness-writer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool code_means_not_run(const char *code)
{
	return strcmp(code, "BUSY") == 0 || strcmp(code, "ABORTED") == 0 ||
	       strcmp(code, "LAGGING") == 0;
}

/** Records the outcome of write @a number. */
static void add_record(struct line_writer *w, const struct line_client *c, int number)
{
	int64_t now = test_now_ms();

	if (strcmp(c->code, "COMPLETE") == 0) {
		g_ptr_array_add(w->acked, g_strdup(c->id));
		w->newest = number;
		if (now - w->last_ack_ms > w->gap_ms)
			w->gap_ms = now - w->last_ack_ms;
		w->last_ack_ms = now;
	} else if (code_means_not_run(c->code)) {
		g_ptr_array_add(w->not_run, g_strdup(c->id));
	} else {
		w->unknown++;
		g_hash_table_add(w->uncertain_writes, GINT_TO_POINTER(number));
	}
}

/**
 * Checks that the session reads its own newest write. Two cases are not stale reads: a write that
 * had not been replicated is lost with the old primary, so an older value is valid once per
 * promotion; and a write of unknown outcome may still run later, once, and then is the newest one
 * (a VM that had been paused forwarded such a write after four seconds).
 */
static void read_back(struct line_writer *w, struct line_client *c)
{
	int64_t promotions;

	if (strcmp(line_query(c, "READ w%d", w->vm), "COMPLETE") != 0 || atoi(c->row) >= w->newest)
		return;
	if (g_hash_table_remove(w->uncertain_writes, GINT_TO_POINTER(atoi(c->row)))) {
		w->newest = atoi(c->row);
		return;
	}
	promotions = line_report(w->f, "promotions");
	if (promotions == w->promotions) {
		printf("request %s read %s after %d was acknowledged\n", c->id, c->row, w->newest);
		w->stale++;
	}
	w->promotions = promotions;
	w->newest = atoi(c->row);
}

static gpointer writer_run(gpointer arg)
{
	const char *database = NULL;
	struct line_writer *w = arg;
	struct line_client c = {.fd = -1};
	int64_t sent_ms;
	int n = 0;

	database = w->reads_back ? LINE_DB_SESSION : LINE_DB_PRIMARY;
	while (!w->stop) {
		if (c.fd < 0 && !line_connect(&c, w->f, w->vm, database, LINE_KEY)) {
			line_close(&c);
			test_sleep_ms(10);
			continue;
		}
		sent_ms = test_now_ms();
		line_query(&c, "WRITE w%d %d", w->vm, ++n);
		w->answer_max_ms = MAX(w->answer_max_ms, test_now_ms() - sent_ms);
		add_record(w, &c, n);
		if (w->reads_back && c.state == 'I' && strcmp(c.code, "COMPLETE") == 0)
			read_back(w, &c);
		if (c.code[0] == '\0' || c.state != 'I')
			line_close(&c);
		test_sleep_ms(5);
	}
	line_close(&c);
	return NULL;
}

static void start(struct line_writer *w, struct line_fleet *f, int vm, bool reads_back)
{
	memset(w, 0, sizeof(*w));
	w->f = f;
	w->vm = vm;
	w->reads_back = reads_back;
	w->promotions = line_report(f, "promotions");
	w->acked = g_ptr_array_new_with_free_func(g_free);
	w->not_run = g_ptr_array_new_with_free_func(g_free);
	w->uncertain_writes = g_hash_table_new(NULL, NULL);
	w->last_ack_ms = test_now_ms();
	w->thread = g_thread_new("writer", writer_run, w);
}

void line_writer_start(struct line_writer *w, struct line_fleet *f, int vm)
{
	start(w, f, vm, false);
}

void line_writer_start_read_back(struct line_writer *w, struct line_fleet *f, int vm)
{
	start(w, f, vm, true);
}

void line_writer_stop(struct line_writer *w)
{
	GHashTable *counts;
	guint i;

	w->stop = 1;
	g_thread_join(w->thread);
	counts = line_log_counts(w->f);
	for (i = 0; i < w->not_run->len; i++)
		CHECK(g_hash_table_lookup(counts, g_ptr_array_index(w->not_run, i)) == NULL,
		      "%s was reported as not run but is in the log",
		      (char *)g_ptr_array_index(w->not_run, i));
	for (i = 0; i < w->acked->len; i++)
		CHECK(GPOINTER_TO_INT(
			      g_hash_table_lookup(counts, g_ptr_array_index(w->acked, i))) <= 1,
		      "%s ran twice", (char *)g_ptr_array_index(w->acked, i));
	CHECK(w->acked->len > 20, "%u acknowledged", w->acked->len);
	CHECK(w->stale == 0, "%d reads missed the session's own write", w->stale);
	g_hash_table_unref(counts);
	g_ptr_array_unref(w->acked);
	g_ptr_array_unref(w->not_run);
	g_hash_table_unref(w->uncertain_writes);
}
