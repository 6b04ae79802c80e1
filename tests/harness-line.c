/**
 * @file harness-line.c
 * Starts daemons and standin-prepared, and implements callers of the line protocol.
 */
#include "harness-line.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

/** A connection counts as lost if an answer takes longer than this. */
#define ANSWER_TIMEOUT_S 6
#define START_TIMEOUT_MS 15000

static int connect_local(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval tv = {.tv_sec = ANSWER_TIMEOUT_S};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* HTTP interface of standin-prepared */

static char *http_request(int port, const char *method, const char *path, const char *body,
			  int *code)
{
	char *text = g_strdup_printf("%s %s HTTP/1.0\r\nContent-Length: %zu\r\n\r\n%s", method,
				     path, strlen(body), body);
	GString *response = g_string_new(NULL);
	int fd = connect_local(port);
	char buf[4096];
	char *start;
	ssize_t n;

	*code = 0;
	if (fd >= 0 && write(fd, text, strlen(text)) > 0) {
		while ((n = read(fd, buf, sizeof(buf))) > 0)
			g_string_append_len(response, buf, n);
	}
	if (fd >= 0)
		close(fd);
	g_free(text);
	sscanf(response->str, "HTTP/%*s %d", code);
	start = strstr(response->str, "\r\n\r\n");
	text = g_strdup(start != NULL ? start + 4 : "");
	g_string_free(response, TRUE);
	return text;
}

int line_get(int port, const char *path, char **body)
{
	int code;
	char *text = http_request(port, "GET", path, "", &code);

	if (body != NULL)
		*body = text;
	else
		g_free(text);
	return code;
}

void line_fault(struct line_fleet *f, const char *format, ...)
{
	va_list args;
	char *body;
	int code;

	va_start(args, format);
	body = g_strdup_vprintf(format, args);
	va_end(args);
	g_free(http_request(f->store, "POST", "/fault", body, &code));
	if (code != 200)
		printf("standin-prepared rejected the fault command: %s\n", body);
	g_free(body);
}

static JsonParser *fetch_report(struct line_fleet *f)
{
	JsonParser *p = json_parser_new();
	int code;
	char *text = http_request(f->store, "GET", "/report", "", &code);

	json_parser_load_from_data(p, code == 200 ? text : "{}", -1, NULL);
	g_free(text);
	return p;
}

int64_t line_report(struct line_fleet *f, const char *name)
{
	JsonParser *p = fetch_report(f);
	int64_t value = json_object_get_int_member_with_default(
		json_node_get_object(json_parser_get_root(p)), name, -1);

	g_object_unref(p);
	return value;
}

int64_t line_member_report(struct line_fleet *f, const char *member, const char *name)
{
	JsonParser *p = fetch_report(f);
	JsonArray *members = json_object_get_array_member(
		json_node_get_object(json_parser_get_root(p)), "members");
	int64_t value = -1;
	guint i;

	for (i = 0; members != NULL && i < json_array_get_length(members); i++) {
		JsonObject *m = json_array_get_object_element(members, i);

		if (strcmp(json_object_get_string_member(m, "name"), member) == 0)
			value = json_object_get_int_member(m, name);
	}
	g_object_unref(p);
	return value;
}

int line_log_count(struct line_fleet *f, const char *id)
{
	JsonParser *p = fetch_report(f);
	JsonArray *log =
		json_object_get_array_member(json_node_get_object(json_parser_get_root(p)), "log");
	int n = 0;
	guint i;

	for (i = 0; log != NULL && i < json_array_get_length(log); i++)
		n += strcmp(json_array_get_string_element(log, i), id) == 0 ? 1 : 0;
	g_object_unref(p);
	return n;
}

GHashTable *line_log_counts(struct line_fleet *f)
{
	GHashTable *counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	JsonParser *p = fetch_report(f);
	JsonArray *log =
		json_object_get_array_member(json_node_get_object(json_parser_get_root(p)), "log");
	guint i;

	for (i = 0; log != NULL && i < json_array_get_length(log); i++) {
		const char *id = json_array_get_string_element(log, i);
		int n = GPOINTER_TO_INT(g_hash_table_lookup(counts, id));

		g_hash_table_insert(counts, g_strdup(id), GINT_TO_POINTER(n + 1));
	}
	g_object_unref(p);
	return counts;
}

void line_primary(struct line_fleet *f, char name[32])
{
	JsonParser *p = fetch_report(f);
	JsonArray *members = json_object_get_array_member(
		json_node_get_object(json_parser_get_root(p)), "members");
	gint64 term = -1;
	guint i;

	name[0] = '\0';
	for (i = 0; members != NULL && i < json_array_get_length(members); i++) {
		JsonObject *m = json_array_get_object_element(members, i);

		if (!json_object_get_boolean_member(m, "primary") ||
		    json_object_get_int_member(m, "term") <= term)
			continue;
		term = json_object_get_int_member(m, "term");
		g_strlcpy(name, json_object_get_string_member(m, "name"), 32);
	}
	g_object_unref(p);
}

void line_write_document(struct line_fleet *f)
{
	static const struct {
		const char *name, *host, *kind, *more;
		int priority, class, target_ms; /**< with_classes: class is the priority */
	} routes[] = {
		{"r1", LINE_DB_PRIMARY, "primary", "", 1, 0, 100},
		{"r2", LINE_DB_BOUNDED, "bounded_staleness", "\"max-staleness-ms\":1000,", 2, 2,
		 600},
		{"r3", LINE_DB_SESSION, "read_own_writes", "\"max-staleness-ms\":1000,", 2, 1, 200},
	};
	GString *text = g_string_new(NULL);
	char *escaped_doc;
	unsigned i;
	int k;

	g_string_printf(text, "{\"version\":%d,\"routes\":[", ++f->version);
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (g_strcmp0(routes[i].host, f->dropped_route) == 0)
			continue;
		g_string_append_printf(text,
				       "{\"name\":\"%s\",\"host\":\"%s\",\"kind\":\"%s\","
				       "\"timeout-ms\":1500,\"priority\":%d,%s",
				       routes[i].name, routes[i].host, routes[i].kind,
				       f->with_classes ? routes[i].class : routes[i].priority,
				       routes[i].more);
		if (f->with_classes)
			g_string_append_printf(text, "\"target-latency-ms\":%d,",
					       routes[i].target_ms);
		g_string_append(text, "\"service\":\"svc\"},");
	}
	g_string_append_printf(
		text,
		"{\"name\":7},\"broken\"],\"services\":[{\"name\":\"svc\","
		"\"connection-limit\":%d}],\"limits\":{\"transaction-idle-ms\":2000},"
		"\"tenants\":[{\"name\":\"clerks\",\"api-keys\":%s,\"rate-per-s\":%d,"
		"\"burst\":%d}",
		LINE_CONNECTIONS, f->keys, f->rate, f->rate);
	for (k = 0; k < f->idle_teams; k++)
		g_string_append_printf(text,
				       ",{\"name\":\"idle%d\",\"api-keys\":[\"idle%dsecret\"],"
				       "\"rate-per-s\":%d,\"burst\":%d}",
				       k, k, f->rate, f->rate);
	g_string_append(text, "]}");
	escaped_doc = g_strescape(text->str, NULL);
	line_fault(f, "{\"put\":\"op/config\",\"value\":\"%s\"}", escaped_doc);
	g_free(escaped_doc);
	g_string_free(text, TRUE);
}

/* Daemons */

void line_vm_start(struct line_fleet *f, int i)
{
	char *text = g_strdup_printf(
		"[vm]\nname = \"vm%d\"\ndata_center = \"dc-m%d\"\ncaller_address = "
		"\"127.0.0.1:%d\"\n"
		"rpc_address = \"127.0.0.1:%d\"\nadvertise = \"127.0.0.1:%d\"\nready_address = "
		"\"127.0.0.1:%d\"\n"
		"metrics_address = \"127.0.0.1:%d\"\ngrace_s = 6\n"
		"[platform]\nkind = \"prepared\"\nendpoints = [\"127.0.0.1:%d\"]\n"
		"promoter = \"127.0.0.1:%d\"\ntimeout_ms = 400\n"
		"[rpc]\nsilent_ms = 600\nseeds = [\"127.0.0.1:%d\"]\n[log]\npath = \"-\"\n"
		"[rates]\nwindow_s = 5\novershoot = 0.1\nslack = 20\n%s",
		i, i, f->vm[i].caller, f->vm[i].rpc, f->vm[i].advertised, f->vm[i].ready,
		f->vm[i].metrics, f->advertised_store, f->promoter, f->vm[0].advertised,
		f->settings);
	char *path = g_strdup_printf("%s/vm%d.toml", f->dir, i);
	char *log = g_strdup_printf("vm%d", i);
	char *argv[] = {"mangoloomd", "--settings", path, NULL};

	g_file_set_contents(path, text, -1, NULL);
	f->vm[i].pid = test_spawn(f->dir, log, argv, -1, -1);
	g_free(log);
	g_free(path);
	g_free(text);
}

void line_vm_signal(struct line_fleet *f, int i, int sig)
{
	kill(f->vm[i].pid, sig);
	if (sig != SIGKILL)
		return;
	waitpid(f->vm[i].pid, NULL, 0);
	f->vm[i].pid = 0;
}

int line_vm_wait(struct line_fleet *f, int i, int ms)
{
	int64_t until = test_now_ms() + ms;
	int status;

	while (waitpid(f->vm[i].pid, &status, WNOHANG) == 0) {
		if (test_now_ms() > until)
			return -1;
		test_sleep_ms(10);
	}
	f->vm[i].pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

char *line_vm_log(struct line_fleet *f, int i)
{
	char *path = g_strdup_printf("%s/vm%d.err", f->dir, i);
	char *text = NULL;

	g_file_get_contents(path, &text, NULL, NULL);
	g_free(path);
	return text != NULL ? text : g_strdup("");
}

static void start_standin(struct line_fleet *f)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	int64_t until = test_now_ms() + START_TIMEOUT_MS;
	int i;

	g_ptr_array_add(argv, g_strdup("standin-prepared"));
	g_ptr_array_add(argv, g_strdup("--store"));
	g_ptr_array_add(argv, g_strdup_printf("%d", f->store));
	g_ptr_array_add(argv, g_strdup("--promoter"));
	g_ptr_array_add(argv, g_strdup_printf("%d", f->promoter));
	g_ptr_array_add(argv, g_strdup("--service"));
	g_ptr_array_add(argv, g_strdup("svc"));
	for (i = 0; i < LINE_MEMBERS; i++) {
		g_ptr_array_add(argv, g_strdup("--member"));
		g_ptr_array_add(argv, g_strdup_printf("m%d:%d:%d", i, f->member_port[i],
						      f->advertised_member[i]));
	}
	g_ptr_array_add(argv, NULL);
	f->standin = test_spawn(f->dir, "standin", (char **)argv->pdata, -1, -1);
	g_ptr_array_unref(argv);
	while (line_get(f->store, "/report", NULL) != 200 && test_now_ms() < until)
		test_sleep_ms(20);
}

bool line_wait_until_writable(struct line_fleet *f, int vm, int ms)
{
	int64_t until = test_now_ms() + ms;
	struct line_client c;
	bool ok = false;

	while (!ok && test_now_ms() < until) {
		if (line_connect(&c, f, vm, LINE_DB_PRIMARY, LINE_KEY))
			ok = strcmp(line_query(&c, "WRITE started yes"), "COMPLETE") == 0;
		line_close(&c);
		if (!ok)
			test_sleep_ms(30);
	}
	return ok;
}

void line_proxy_command(struct line_fleet *f, const char *format, ...)
{
	va_list args;
	char *line;

	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	test_proxy_command(&f->proxy, line);
	g_free(line);
}

static void start_proxy(struct line_fleet *f)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	int i;

	g_ptr_array_add(argv, g_strdup("faultproxy"));
	g_ptr_array_add(argv, g_strdup_printf("store=%d:%d", f->advertised_store, f->store));
	for (i = 0; i < LINE_MEMBERS; i++)
		g_ptr_array_add(argv, g_strdup_printf("m%d=%d:%d", i, f->advertised_member[i],
						      f->member_port[i]));
	for (i = 0; i < f->n_vms; i++)
		g_ptr_array_add(
			argv, g_strdup_printf("vm%d=%d:%d", i, f->vm[i].advertised, f->vm[i].rpc));
	g_ptr_array_add(argv, NULL);
	test_proxy_start(&f->proxy, f->dir, (char **)argv->pdata);
	g_ptr_array_unref(argv);
}

static struct line_fleet *fleet_start(int vms, bool proxied, const char *settings)
{
	struct line_fleet *f = g_new0(struct line_fleet, 1);
	int ports[3 + 2 * LINE_MEMBERS + 5 * LINE_VMS_MAX];
	int i, n = 0;

	f->dir = g_dir_make_tmp("mangoloom-line-XXXXXX", NULL);
	f->n_vms = vms;
	f->keys = "[\"" LINE_KEY "\"]";
	f->rate = 100000;
	f->settings = settings;
	test_free_ports(ports, G_N_ELEMENTS(ports));
	f->store = ports[n++];
	f->promoter = ports[n++];
	f->advertised_store = proxied ? ports[n++] : f->store;
	for (i = 0; i < LINE_MEMBERS; i++) {
		f->member_port[i] = ports[n++];
		f->advertised_member[i] = proxied ? ports[n++] : f->member_port[i];
	}
	for (i = 0; i < LINE_VMS_MAX; i++) {
		f->vm[i].caller = ports[n++];
		f->vm[i].rpc = ports[n++];
		f->vm[i].advertised = proxied ? ports[n++] : f->vm[i].rpc;
		f->vm[i].ready = ports[n++];
		f->vm[i].metrics = ports[n++];
	}
	start_standin(f);
	if (proxied)
		start_proxy(f);
	line_write_document(f);
	for (i = 0; i < vms; i++)
		line_vm_start(f, i);
	for (i = 0; i < vms; i++)
		CHECK(line_wait_until_writable(f, i, START_TIMEOUT_MS),
		      "vm%d does not accept writes", i);
	return f;
}

struct line_fleet *line_fleet_start(int vms)
{
	return fleet_start(vms, false, "");
}

struct line_fleet *line_fleet_start_proxied(int vms)
{
	return fleet_start(vms, true, "");
}

struct line_fleet *line_fleet_start_with(int vms, const char *settings)
{
	return fleet_start(vms, false, settings);
}

struct line_fleet *line_fleet_start_proxied_with(int vms, const char *settings)
{
	return fleet_start(vms, true, settings);
}

void line_fleet_stop(struct line_fleet *f)
{
	char *command;
	int i;

	for (i = 0; i < LINE_VMS_MAX; i++)
		test_kill_process(&f->vm[i].pid);
	test_kill_process(&f->standin);
	test_proxy_stop(&f->proxy);
	if (getenv("KEEP") != NULL) {
		printf("logs: %s\n", f->dir);
	} else {
		command = g_strdup_printf("rm -rf '%s'", f->dir);
		if (system(command) != 0)
			printf("cannot remove %s\n", f->dir);
		g_free(command);
	}
	g_free(f->dir);
	g_free(f);
}

/* Callers */

void line_send(struct line_client *c, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t n = send(c->fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		bytes += n;
		len -= (size_t)n;
	}
}

/** Reads one line into @a line. @return false if the connection ends or the read times out */
static bool read_line(struct line_client *c, char *line, size_t size)
{
	for (;;) {
		char *end = memmem(c->buf, c->len, "\r\n", 2);
		ssize_t n;

		if (end != NULL) {
			size_t len = (size_t)(end - c->buf);

			g_strlcpy(line, c->buf, MIN(size, len + 1));
			c->len -= len + 2;
			memmove(c->buf, end + 2, c->len);
			return true;
		}
		if (c->len == sizeof(c->buf))
			return false;
		n = recv(c->fd, c->buf + c->len, sizeof(c->buf) - c->len, 0);
		if (n <= 0)
			return false;
		c->len += (size_t)n;
	}
}

const char *line_read_answer(struct line_client *c)
{
	char line[2048];

	c->code[0] = c->text[0] = c->row[0] = c->pos[0] = '\0';
	c->state = '\0';
	while (read_line(c, line, sizeof(line))) {
		if (sscanf(line, "READY %c %31s", &c->state, c->pos) >= 1)
			return c->code;
		if (g_str_has_prefix(line, "ROW ")) {
			g_strlcpy(c->row, line + 4, sizeof(c->row));
		} else if (g_str_has_prefix(line, "COMPLETE")) {
			g_strlcpy(c->code, "COMPLETE", sizeof(c->code));
			g_strlcpy(c->text, line + 9, sizeof(c->text));
		} else if (sscanf(line, "ERROR %63s %511[^\r]", c->code, c->text) < 1) {
			break;
		}
	}
	/* An error that comes before the session is open is not followed by READY. */
	if (c->code[0] == '\0' || strcmp(c->code, "COMPLETE") == 0)
		c->code[0] = '\0';
	return c->code;
}

bool line_connect(struct line_client *c, struct line_fleet *f, int vm, const char *database,
		  const char *key)
{
	char start[256];

	memset(c, 0, sizeof(*c));
	c->fd = connect_local(f->vm[vm].caller);
	if (c->fd < 0)
		return false;
	g_snprintf(start, sizeof(start), "START %s %s\r\n", database, key);
	line_send(c, start, strlen(start));
	line_read_answer(c);
	return c->state == 'I';
}

const char *line_query(struct line_client *c, const char *format, ...)
{
	static unsigned long id_base;
	va_list args;
	char *text, *line;

	if (id_base == 0)
		id_base =
			(unsigned long)getpid() * 1000003UL + (unsigned long)test_now_us() % 100000;
	g_snprintf(c->id, sizeof(c->id), "%lx.%x.%x", id_base, (unsigned)c->fd, c->next++);
	id_base++;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	line = g_strdup_printf("QUERY %s %s\r\n", c->id, text);
	line_send(c, line, strlen(line));
	g_free(line);
	g_free(text);
	return line_read_answer(c);
}

void line_close(struct line_client *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}
