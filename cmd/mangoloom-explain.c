/**
 * @file mangoloom-explain.c
 * The story of one request out of the logs of several VMs: its own lines in order, and the beliefs
 * about its database, its team and the store that were in force when it came.
 */
#include "mangoloom-cli.h"

#include <stdio.h>
#include <string.h>

/** A line of a log. */
struct line {
	char *text; /**< from its time on */
	char *vm;
	char *event;
	char *request;
	char *pool;
	char *team;
};

/** What is told of a belief: it is of a pool, of a team, or of a VM as a whole. */
enum subject { OF_POOL, OF_TEAM, OF_VM };

static const struct {
	const char *event;
	enum subject subject;
} beliefs[] = {
	{"group-state", OF_POOL},
	{"primary", OF_POOL},
	{"owner", OF_POOL},
	{"owner-known", OF_POOL},
	{"owner-ends", OF_POOL},
	{"claim", OF_POOL},
	{"hand-over", OF_POOL},
	{"yield", OF_POOL},
	{"fenced", OF_POOL},
	{"change-of-primary", OF_POOL},
	{"chosen", OF_POOL},
	{"promote", OF_POOL},
	{"promotion-answered", OF_POOL},
	{"member-down", OF_POOL},
	{"member-up", OF_POOL},
	{"member-role", OF_POOL},
	{"member-state", OF_POOL},
	{"member-lapsed", OF_POOL},
	{"reach", OF_POOL},
	{"reads-begin", OF_POOL},
	{"reads-end", OF_POOL},
	{"connection-refused", OF_POOL},
	{"connection-silent", OF_POOL},
	{"team-rate", OF_TEAM},
	{"rates", OF_VM},
	{"conf", OF_VM},
	{"document", OF_VM},
	{"store-lost", OF_VM},
	{"store-regained", OF_VM},
	{"lease-held", OF_VM},
	{"lease-lost", OF_VM},
	{"started", OF_VM},
	{"draining", OF_VM},
	{"vm-dead", OF_VM},
	{"vm-suspect", OF_VM},
};

static int belief_of(const char *event)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(beliefs); i++) {
		if (strcmp(beliefs[i].event, event) == 0)
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

/** The value of @a key in a line; NULL when it has none. */
static char *value_of(const char *text, const char *key)
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

/** Keep a line that tells of something; whatever stands before its time is left out. */
static void take_line(GPtrArray *lines, const char *text)
{
	const char *vm = strstr(text, " vm=");
	const char *start = vm;
	struct line *l;

	if (vm == NULL || strstr(text, " event=") == NULL)
		return;
	/* The time and the level stand before the VM's name. */
	while (start > text && start[-1] != ' ')
		start--;
	if (start > text)
		start--;
	while (start > text && start[-1] != ' ')
		start--;
	l = g_new0(struct line, 1);
	l->text = g_strdup(start);
	l->vm = value_of(text, "vm");
	l->event = value_of(text, "event");
	l->request = value_of(text, "request");
	l->pool = value_of(text, "pool");
	l->team = value_of(text, "team");
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
		take_line(lines, split[i]);
	g_strfreev(split);
	g_free(text);
	return true;
}

/** Lines begin with their times, which sort as texts. */
static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct line *const *x = a;
	const struct line *const *y = b;

	return strcmp((*x)->text, (*y)->text);
}

struct story {
	const char *id;
	char *first, *last; /**< texts of its first and last line */
	GHashTable *pools, *teams, *vms;
};

static void story_begin(struct story *s, GPtrArray *lines)
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

/** Whether a belief is about what the request had to do with. */
static bool concerns(const struct story *s, const struct line *l)
{
	int i = belief_of(l->event);

	if (i < 0)
		return false;
	switch (beliefs[i].subject) {
	case OF_POOL:
		return l->pool != NULL && g_hash_table_contains(s->pools, l->pool);
	case OF_TEAM:
		return l->team != NULL && g_hash_table_contains(s->teams, l->team) &&
		       g_hash_table_contains(s->vms, l->vm);
	default:
		return g_hash_table_contains(s->vms, l->vm);
	}
}

/** The last line of each belief before the request came. */
static void print_before(const struct story *s, GPtrArray *lines)
{
	GHashTable *newest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GPtrArray *in_force = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < lines->len; i++) {
		struct line *l = g_ptr_array_index(lines, i);

		if (strcmp(l->text, s->first) >= 0)
			break;
		if (concerns(s, l))
			g_hash_table_replace(newest,
					     g_strdup_printf("%s %s %s", l->vm, l->event,
							     l->pool != NULL ? l->pool : ""),
					     l);
	}
	g_hash_table_iter_init(&iter, newest);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(in_force, value);
	g_ptr_array_sort(in_force, by_time);
	printf("Believed when it came:\n");
	for (i = 0; i < in_force->len; i++)
		printf("  %s\n", ((struct line *)g_ptr_array_index(in_force, i))->text);
	g_ptr_array_unref(in_force);
	g_hash_table_destroy(newest);
}

static void print_during(const struct story *s, GPtrArray *lines)
{
	guint i;

	printf("Its course, with what changed meanwhile (marked \"~\"):\n");
	for (i = 0; i < lines->len; i++) {
		struct line *l = g_ptr_array_index(lines, i);
		bool own = g_strcmp0(l->request, s->id) == 0;

		if (strcmp(l->text, s->first) < 0 || strcmp(l->text, s->last) > 0)
			continue;
		if (own || concerns(s, l))
			printf("%s %s\n", own ? " " : "~", l->text);
	}
}

int cmd_explain(struct cli *cli)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(line_free);
	struct story s = {.id = cli->opt.words[0]};
	int code = EXIT_OK, i;

	for (i = 1; i < cli->opt.n_words && code == EXIT_OK; i++) {
		if (!read_log(lines, cli->opt.words[i]))
			code = cli_fail(EXIT_FAILED, "%s cannot be read", cli->opt.words[i]);
	}
	g_ptr_array_sort(lines, by_time);
	s.pools = g_hash_table_new(g_str_hash, g_str_equal);
	s.teams = g_hash_table_new(g_str_hash, g_str_equal);
	s.vms = g_hash_table_new(g_str_hash, g_str_equal);
	story_begin(&s, lines);
	if (code == EXIT_OK && s.first == NULL) {
		code = cli_fail(EXIT_FAILED, "no line tells of request %s", s.id);
	} else if (code == EXIT_OK) {
		print_before(&s, lines);
		print_during(&s, lines);
	}
	g_hash_table_destroy(s.pools);
	g_hash_table_destroy(s.teams);
	g_hash_table_destroy(s.vms);
	g_ptr_array_unref(lines);
	return code;
}
