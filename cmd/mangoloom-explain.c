/**
 * @file mangoloom-explain.c
 * Traces one request through the logs of several VMs: prints the log lines of the request in order
 * of time, and the state of its pool, its team and the VMs involved, as logged before the request
 * arrived.
 */
#include "mangoloom-cli.h"

#include <stdio.h>
#include <string.h>

/** A parsed log line; fields that the line lacks are NULL. */
struct line {
	char *text; /**< from the timestamp on */
	char *vm;
	char *event;
	char *request;
	char *pool;
	char *team;
};

/** What a state event describes: a pool, a team, or a VM as a whole. */
enum event_subject { SUBJECT_POOL, SUBJECT_TEAM, SUBJECT_VM };

/** Log events that report state, as opposed to the progress of a request. */
static const struct {
	const char *event;
	enum event_subject subject;
} state_events[] = {
	{"group-state", SUBJECT_POOL},
	{"primary", SUBJECT_POOL},
	{"owner", SUBJECT_POOL},
	{"owner-known", SUBJECT_POOL},
	{"owner-ends", SUBJECT_POOL},
	{"claim", SUBJECT_POOL},
	{"hand-over", SUBJECT_POOL},
	{"yield", SUBJECT_POOL},
	{"fenced", SUBJECT_POOL},
	{"change-of-primary", SUBJECT_POOL},
	{"chosen", SUBJECT_POOL},
	{"promote", SUBJECT_POOL},
	{"promotion-answered", SUBJECT_POOL},
	{"member-down", SUBJECT_POOL},
	{"member-up", SUBJECT_POOL},
	{"member-role", SUBJECT_POOL},
	{"member-state", SUBJECT_POOL},
	{"member-lapsed", SUBJECT_POOL},
	{"reach", SUBJECT_POOL},
	{"invite", SUBJECT_POOL},
	{"invitation-dropped", SUBJECT_POOL},
	{"owner-reached-by-others", SUBJECT_POOL},
	{"relay-question", SUBJECT_VM},
	{"reads-begin", SUBJECT_POOL},
	{"reads-end", SUBJECT_POOL},
	{"connection-refused", SUBJECT_POOL},
	{"connection-silent", SUBJECT_POOL},
	{"team-rate", SUBJECT_TEAM},
	{"rates", SUBJECT_VM},
	{"conf", SUBJECT_VM},
	{"document", SUBJECT_VM},
	{"store-lost", SUBJECT_VM},
	{"store-regained", SUBJECT_VM},
	{"lease-held", SUBJECT_VM},
	{"lease-lost", SUBJECT_VM},
	{"started", SUBJECT_VM},
	{"draining", SUBJECT_VM},
	{"vm-dead", SUBJECT_VM},
	{"vm-suspect", SUBJECT_VM},
};

static int state_event_find(const char *event)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(state_events); i++) {
		if (strcmp(state_events[i].event, event) == 0)
			return (int)i;
	}
	return -1;
}

static void line_free(gpointer data)
{
	struct line *l = data;

	g_free(l->text);
	g_free(l->vm);
	g_free(l->event);
	g_free(l->request);
	g_free(l->pool);
	g_free(l->team);
	g_free(l);
}

/** Returns the value of @a key in a log line, to g_free(); NULL if the line lacks it. */
static char *field_value(const char *text, const char *key)
{
	char *pattern = g_strdup_printf(" %s=", key);
	const char *at = strstr(text, pattern);
	size_t len;

	if (at == NULL) {
		g_free(pattern);
		return NULL;
	}
	at += strlen(pattern);
	g_free(pattern);
	len = *at == '"' ? strcspn(at + 1, "\"") : strcspn(at, " \n");
	return g_strndup(*at == '"' ? at + 1 : at, len);
}

/** Adds a line if it has the fields vm and event, without any text before its timestamp. */
static void add_line(GPtrArray *lines, const char *text)
{
	const char *vm = strstr(text, " vm=");
	const char *start = vm;
	struct line *l;

	if (vm == NULL || strstr(text, " event=") == NULL)
		return;
	/* The timestamp and the level precede " vm=": go back two words. */
	while (start > text && start[-1] != ' ')
		start--;
	if (start > text)
		start--;
	while (start > text && start[-1] != ' ')
		start--;
	l = g_new0(struct line, 1);
	l->text = g_strdup(start);
	l->vm = field_value(text, "vm");
	l->event = field_value(text, "event");
	l->request = field_value(text, "request");
	l->pool = field_value(text, "pool");
	l->team = field_value(text, "team");
	g_ptr_array_add(lines, l);
}

static bool read_log(GPtrArray *lines, const char *path)
{
	char *text, **split;
	unsigned i;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	split = g_strsplit(text, "\n", -1);
	for (i = 0; split[i] != NULL; i++)
		add_line(lines, split[i]);
	g_strfreev(split);
	g_free(text);
	return true;
}

/** Compares lines by time: each starts with a timestamp that sorts as a string. */
static gint compare_time(gconstpointer a, gconstpointer b)
{
	const struct line *const *x = a;
	const struct line *const *y = b;

	return strcmp((*x)->text, (*y)->text);
}

/** The request that is explained, and what its log lines mention. */
struct request_trace {
	const char *id;
	char *first, *last; /**< text of its first and last log line */
	GHashTable *pools, *teams, *vms;
};

static void trace_scan(struct request_trace *s, GPtrArray *lines)
{
	guint i;

	for (i = 0; i < lines->len; i++) {
		struct line *l = g_ptr_array_index(lines, i);

		if (g_strcmp0(l->request, s->id) != 0)
			continue;
		if (s->first == NULL)
			s->first = l->text;
		s->last = l->text;
		if (l->pool != NULL)
			g_hash_table_add(s->pools, l->pool);
		if (l->team != NULL)
			g_hash_table_add(s->teams, l->team);
		g_hash_table_add(s->vms, l->vm);
	}
}

/** Returns whether a line reports the state of a pool, team or VM that the request involves. */
static bool trace_concerns(const struct request_trace *s, const struct line *l)
{
	int i = state_event_find(l->event);

	if (i < 0)
		return false;
	switch (state_events[i].subject) {
	case SUBJECT_POOL:
		return l->pool != NULL && g_hash_table_contains(s->pools, l->pool);
	case SUBJECT_TEAM:
		return l->team != NULL && g_hash_table_contains(s->teams, l->team) &&
		       g_hash_table_contains(s->vms, l->vm);
	default:
		return g_hash_table_contains(s->vms, l->vm);
	}
}

/**
 * Prints the state in which the request arrived: for each VM, pool and kind of state event, the
 * last log line before the first line of the request.
 */
static void print_state_before(const struct request_trace *s, GPtrArray *lines)
{
	GHashTable *by_event = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GPtrArray *latest = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < lines->len; i++) {
		struct line *l = g_ptr_array_index(lines, i);

		if (strcmp(l->text, s->first) >= 0)
			break;
		if (trace_concerns(s, l))
			g_hash_table_replace(by_event,
					     g_strdup_printf("%s %s %s", l->vm, l->event,
							     l->pool != NULL ? l->pool : ""),
					     l);
	}
	g_hash_table_iter_init(&iter, by_event);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(latest, value);
	g_ptr_array_sort(latest, compare_time);
	printf("State when the request arrived:\n");
	for (i = 0; i < latest->len; i++)
		printf("  %s\n", ((struct line *)g_ptr_array_index(latest, i))->text);
	g_ptr_array_unref(latest);
	g_hash_table_destroy(by_event);
}

static void print_request_log(const struct request_trace *s, GPtrArray *lines)
{
	guint i;

	printf("Log of the request, with concurrent changes of state (marked \"~\"):\n");
	for (i = 0; i < lines->len; i++) {
		struct line *l = g_ptr_array_index(lines, i);
		bool own = g_strcmp0(l->request, s->id) == 0;

		if (strcmp(l->text, s->first) < 0 || strcmp(l->text, s->last) > 0)
			continue;
		if (own || trace_concerns(s, l))
			printf("%s %s\n", own ? " " : "~", l->text);
	}
}

int cmd_explain(struct cli *cli)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(line_free);
	struct request_trace s = {.id = cli->opt.args[0]};
	int code = EXIT_OK, i;

	for (i = 1; i < cli->opt.n_args && code == EXIT_OK; i++) {
		if (!read_log(lines, cli->opt.args[i]))
			code = cli_fail(EXIT_FAILED, "cannot read %s", cli->opt.args[i]);
	}
	g_ptr_array_sort(lines, compare_time);
	s.pools = g_hash_table_new(g_str_hash, g_str_equal);
	s.teams = g_hash_table_new(g_str_hash, g_str_equal);
	s.vms = g_hash_table_new(g_str_hash, g_str_equal);
	trace_scan(&s, lines);
	if (code == EXIT_OK && s.first == NULL) {
		code = cli_fail(EXIT_FAILED, "no log line of request %s found", s.id);
	} else if (code == EXIT_OK) {
		print_state_before(&s, lines);
		print_request_log(&s, lines);
	}
	g_hash_table_destroy(s.pools);
	g_hash_table_destroy(s.teams);
	g_hash_table_destroy(s.vms);
	g_ptr_array_unref(lines);
	return code;
}
