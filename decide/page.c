/** @file page.c Sending and fetching a configuration in pages. */
#include "page.h"

#include <string.h>

/** The slot of a peer that requests no further page within this time may be given to another. */
#define PEER_IDLE_US (500 * USEC_PER_MSEC)

/* Building a page */

/** @return the index of the first entry whose id is above @a after */
static guint index_after(const GPtrArray *sorted, const char *after)
{
	guint i = conf_sorted_find(sorted, after);
	const struct conf_entry *e = i < sorted->len ? g_ptr_array_index(sorted, i) : NULL;

	return e != NULL && strcmp(e->id, after) == 0 ? i + 1 : i;
}

static bool is_missing(const struct conf_update *u, const struct conf_entry *e)
{
	return u->full ? !e->removed : e->version > u->base;
}

void page_build(struct conf *c, uint64_t base, const char *after, size_t bytes, struct page *p)
{
	const GPtrArray *sorted = conf_sorted(c);
	size_t size = 0;
	guint i;

	p->u.full = base < c->oldest || base == 0;
	p->u.base = base;
	p->u.version = c->version;
	p->u.entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	p->more = false;
	for (i = index_after(sorted, after); i < sorted->len; i++) {
		struct conf_entry *e = g_ptr_array_index(sorted, i);

		if (!is_missing(&p->u, e))
			continue;
		if (size >= bytes) {
			p->more = true;
			return;
		}
		size += strlen(e->id) + (e->text != NULL ? strlen(e->text) : 0);
		g_ptr_array_add(p->u.entries, conf_entry_add_ref(e));
	}
}

/* Assembling the pages */

static void round_begin(struct page_fetch *f, uint64_t base)
{
	f->base = base;
	f->first_version = 0;
	f->versions_differ = false;
	g_free(f->after);
	f->after = g_strdup("");
}

void page_fetch_begin(struct page_fetch *f, uint64_t base)
{
	if (f->open && f->applies_to == base)
		return;
	page_fetch_clear(f);
	f->open = true;
	f->applies_to = base;
	f->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, conf_entry_destroy);
	round_begin(f, base);
}

static void fetch_add_entry(struct page_fetch *f, struct conf_entry *e)
{
	const struct conf_entry *known = g_hash_table_lookup(f->entries, e->id);

	if (known == NULL || known->version <= e->version)
		g_hash_table_replace(f->entries, e->id, conf_entry_add_ref(e));
}

static void round_set_first_page(struct page_fetch *f, const struct page *p)
{
	f->first_version = p->u.version;
	f->round_full = p->u.full;
	if (!p->u.full)
		return;
	/* Pages of earlier rounds may contain entries that have been removed since. */
	g_hash_table_remove_all(f->entries);
	f->full = true;
}

enum page_verdict page_fetch_add(struct page_fetch *f, const struct page *p)
{
	const struct conf_entry *last = NULL;
	guint i;

	if (p->u.version < f->first_version || p->u.version < f->base)
		return PAGE_STALE;
	/*
	 * Senders keep tombstones for different lengths of time, so that one sends all entries
	 * where another sends just the changes. The two can't be combined: start again.
	 */
	if (f->first_version != 0 && p->u.full != f->round_full) {
		uint64_t base = f->applies_to;

		page_fetch_clear(f);
		page_fetch_begin(f, base);
		return PAGE_NEXT;
	}
	if (f->first_version == 0)
		round_set_first_page(f, p);
	f->versions_differ = f->versions_differ || p->u.version != f->first_version;
	for (i = 0; i < p->u.entries->len; i++) {
		last = g_ptr_array_index(p->u.entries, i);
		fetch_add_entry(f, g_ptr_array_index(p->u.entries, i));
	}
	if (p->more && last != NULL) {
		g_free(f->after);
		f->after = g_strdup(last->id);
		return PAGE_NEXT;
	}
	if (!f->versions_differ)
		return PAGE_COMPLETE;
	round_begin(f, f->first_version);
	return PAGE_NEXT;
}

void page_fetch_end(struct page_fetch *f, struct conf_update *u)
{
	GHashTableIter iter;
	gpointer value;

	u->base = f->applies_to;
	u->full = f->full;
	u->version = f->first_version;
	u->entries = g_ptr_array_new_with_free_func(conf_entry_destroy);
	g_hash_table_iter_init(&iter, f->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(u->entries, conf_entry_add_ref(value));
	page_fetch_clear(f);
}

void page_fetch_clear(struct page_fetch *f)
{
	if (f->entries != NULL)
		g_hash_table_destroy(f->entries);
	g_free(f->after);
	memset(f, 0, sizeof(*f));
}

/* Limiting the number of receivers */

bool page_peer_admit(struct page_peers *p, uint64_t conn, int64_t now_us)
{
	int at = -1;
	unsigned i;

	for (i = 0; i < PAGE_PEERS_MAX; i++) {
		if (p->peer[i].conn == conn) {
			at = (int)i;
			break;
		}
		if (p->peer[i].conn == 0 || now_us - p->peer[i].asked_us > PEER_IDLE_US)
			at = (int)i;
	}
	if (at < 0)
		return false;
	p->peer[at].conn = conn;
	p->peer[at].asked_us = now_us;
	return true;
}

void page_peer_done(struct page_peers *p, uint64_t conn)
{
	unsigned i;

	for (i = 0; i < PAGE_PEERS_MAX; i++) {
		if (p->peer[i].conn == conn)
			p->peer[i].conn = 0;
	}
}
