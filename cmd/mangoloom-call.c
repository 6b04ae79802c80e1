/**
 * @file mangoloom-call.c Blocking calls to the platform and to daemons, and the exit codes of
 * errors.
 */
#include "error.h"
#include "json-text.h"
#include "mangoloom-cli.h"

#include <stdio.h>
#include <string.h>

int cli_fail_error(GError *error)
{
	static const int codes[] = {
		[ML_ERROR_SETTINGS] = EXIT_INVALID, [ML_ERROR_IO] = EXIT_FAILED,
		[ML_ERROR_PLATFORM] = EXIT_FAILED,  [ML_ERROR_CONFLICT] = EXIT_CONFLICT,
		[ML_ERROR_UNKNOWN] = EXIT_UNKNOWN,  [ML_ERROR_DAEMON] = EXIT_FAILED,
	};
	int code = error->domain == ML_ERROR ? codes[error->code] : EXIT_FAILED;

	cli_fail(code, "%s", error->message);
	g_error_free(error);
	return code;
}

/** A call whose answer stops the event loop, so that the command can continue. */
struct pending_call {
	struct event_base *base;
	struct platform_answer *answer;
	xdrproc_t codec;
	void *res;
	size_t res_size;
	bool ok;
};

static gpointer copy_kv(gconstpointer from, gpointer unused)
{
	const struct platform_kv *kv = from;
	struct platform_kv *to = g_new0(struct platform_kv, 1);

	to->key = g_strdup(kv->key);
	to->value = g_strdup(kv->value);
	to->mod_revision = kv->mod_revision;
	return to;
}

static void platform_answered(const struct platform_answer *a, void *arg)
{
	struct pending_call *w = arg;

	w->answer = g_new0(struct platform_answer, 1);
	*w->answer = *a;
	w->answer->kvs = g_ptr_array_copy(a->kvs, copy_kv, NULL);
	g_ptr_array_set_free_func(w->answer->kvs, platform_kv_free);
	event_base_loopbreak(w->base);
}

void cli_answer_free(struct platform_answer *a)
{
	g_ptr_array_unref(a->kvs);
	g_free(a);
}

struct platform_answer *cli_range(struct cli *cli, const char *key, const char *end)
{
	struct pending_call w = {.base = cli->kernel->base};

	platform_range(cli->platform, key, end, platform_answered, &w);
	event_base_dispatch(cli->kernel->base);
	return w.answer;
}

struct platform_answer *cli_cas(struct cli *cli, const char *key, int64_t mod_revision,
				const struct platform_write *writes, unsigned n)
{
	struct pending_call w = {.base = cli->kernel->base};

	platform_cas(cli->platform, key, mod_revision, writes, n, platform_answered, &w);
	event_base_dispatch(cli->kernel->base);
	return w.answer;
}

static void call_answered(enum rpc_status status, const void *res, void *arg)
{
	struct pending_call *w = arg;

	w->ok = status == RPC_DONE;
	if (w->ok) {
		/* The RPC layer frees the result after the callback: copy it through XDR. */
		u_long len = xdr_sizeof(w->codec, (void *)res);
		char *bytes = g_malloc(len + 1);
		XDR x;

		xdrmem_create(&x, bytes, (u_int)len, XDR_ENCODE);
		w->codec(&x, (void *)res);
		xdr_destroy(&x);
		memset(w->res, 0, w->res_size);
		xdrmem_create(&x, bytes, (u_int)len, XDR_DECODE);
		w->codec(&x, w->res);
		xdr_destroy(&x);
		g_free(bytes);
	}
	event_base_loopbreak(w->base);
}

bool cli_call(struct cli *cli, const char *address, u_int proc, const void *args, void *res,
	      int64_t timeout_us)
{
	const struct rpc_proc *p = &rpc_procs[proc];
	struct pending_call w = {
		.base = cli->kernel->base, .codec = p->res, .res = res, .res_size = p->res_size};

	rpc_start(cli->rpc, address, proc, args, timeout_us, call_answered, &w);
	event_base_dispatch(cli->kernel->base);
	return w.ok;
}

void cli_pause(struct cli *cli, int64_t us)
{
	struct timeval tv = {.tv_sec = us / USEC_PER_SEC, .tv_usec = us % USEC_PER_SEC};

	event_base_loopexit(cli->kernel->base, &tv);
	event_base_dispatch(cli->kernel->base);
}

GArray *cli_vms(struct cli *cli)
{
	struct platform_answer *a = cli_range(cli, PLATFORM_VMS, NULL);
	JsonParser *parser = json_parser_new();
	const struct platform_kv *kv;
	GArray *vms = NULL;
	JsonArray *list;
	guint i;

	if (!a->ok)
		goto out;
	vms = g_array_new(FALSE, TRUE, sizeof(struct cli_vm));
	if (a->kvs->len == 0)
		goto out;
	kv = g_ptr_array_index(a->kvs, 0);
	if (!json_text_load(parser, kv->value, -1, NULL))
		goto out;
	list = json_node_get_array(json_parser_get_root(parser));
	for (i = 0; i < json_array_get_length(list); i++) {
		JsonObject *o = json_array_get_object_element(list, i);
		struct cli_vm vm = {0};

		g_strlcpy(vm.name, json_object_get_string_member_with_default(o, "name", ""),
			  sizeof(vm.name));
		g_strlcpy(vm.address, json_object_get_string_member_with_default(o, "address", ""),
			  sizeof(vm.address));
		g_array_append_val(vms, vm);
	}
out:
	g_object_unref(parser);
	cli_answer_free(a);
	return vms;
}
