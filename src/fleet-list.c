/**
 * @file fleet-list.c
 * The platform's list of VMs, with the fixed parts of the teams' rates that they hold (parts.h). It
 * is stored per entry, so that peers send each other only the changed entries.
 */
#include "fleet.h"

#include "json-text.h"
#include "log.h"
#include "stat.h"

#include <stdlib.h>
#include <string.h>

/** An entry of the list: a VM, or a fixed part of the teams' rates and the VM that holds it. */
struct list_item {
	char *value;	   /**< JSON text as in the platform; NULL if the entry was removed */
	uint64_t revision; /**< of the entry's last change */
	bool is_part;
	bool leaving;
	char name[NAME_SIZE]; /**< of the VM */
	char address[ADDRESS_SIZE];
	char data_center[NAME_SIZE];
	uint64_t incarnation;
	uint64_t lease;
	uint64_t era;	/**< store era in which the VM listed itself */
	unsigned index; /**< number of the part in its data centre, if @a is_part */
};

static void item_free(gpointer data)
{
	struct list_item *item = data;

	g_free(item->value);
	g_free(item);
}

GHashTable *fleet_list_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, item_free);
}

/* Entries */

static const char *text_of(JsonObject *o, const char *name)
{
	return json_object_get_string_member_with_default(o, name, "");
}

static uint64_t hex_of(JsonObject *o, const char *name)
{
	return strtoull(json_object_get_string_member_with_default(o, name, "0"), NULL, 16);
}

static bool item_read(struct list_item *item, JsonObject *o)
{
	item->is_part = json_object_has_member(o, "part");
	item->index = (unsigned)json_object_get_int_member_with_default(o, "part", 0);
	item->leaving = strcmp(text_of(o, "state"), "leaving") == 0;
	item->incarnation = hex_of(o, "incarnation");
	item->lease = hex_of(o, "lease");
	item->era = hex_of(o, "era");
	return json_text_copy(o, "name", item->name, sizeof(item->name)) &&
	       json_text_copy(o, "address", item->address, sizeof(item->address)) &&
	       json_text_copy(o, "data_center", item->data_center, sizeof(item->data_center));
}

/** Parses @a item's value. @return false if it is malformed or has no name */
static bool item_parse(struct list_item *item)
{
	JsonParser *parser = json_parser_new();
	JsonObject *o = json_text_object(parser, item->value);
	bool ok = o != NULL && item_read(item, o);

	g_object_unref(parser);
	return ok && item->name[0] != '\0';
}

void fleet_list_put(struct fleet *f, const char *key, const char *value, uint64_t revision)
{
	struct list_item *known = g_hash_table_lookup(f->list, key);
	struct list_item *item;

	if (known != NULL && known->revision >= revision)
		return;
	item = g_new0(struct list_item, 1);
	item->revision = revision;
	item->value = g_strdup(value);
	if (value != NULL && !item_parse(item)) {
		stat_add(STAT_ENTRIES_MALFORMED, 1);
		log_entry(G_LOG_LEVEL_WARNING, "vm-malformed", LOG_STR("key", key),
			  LOG_REVISION("revision", revision));
		item_free(item);
		return;
	}
	g_hash_table_replace(f->list, g_strdup(key), item);
}

void fleet_list_remove_unlisted(struct fleet *f, GHashTable *listed_keys, uint64_t revision)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, f->list);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct list_item *item = value;

		if (item->value == NULL || item->revision > revision ||
		    g_hash_table_contains(listed_keys, key))
			continue;
		g_clear_pointer(&item->value, g_free);
		item->revision = revision;
	}
	f->list_base = revision;
}

/* Publication */

static void listing_add(const struct list_item *item, GArray *listings, GArray *parts)
{
	struct vm_listing l = {.name = item->name,
			       .address = item->address,
			       .data_center = item->data_center,
			       .leaving = item->leaving,
			       .incarnation = item->incarnation};
	struct fleet_part p = {.index = item->index,
			       .incarnation = item->incarnation,
			       .lease = item->lease,
			       .revision = item->revision};

	if (!item->is_part) {
		g_array_append_val(listings, l);
		return;
	}
	g_strlcpy(p.data_center, item->data_center, sizeof(p.data_center));
	g_strlcpy(p.vm, item->name, sizeof(p.vm));
	g_strlcpy(p.address, item->address, sizeof(p.address));
	g_array_append_val(parts, p);
}

void fleet_list_publish(struct fleet *f, uint64_t revision)
{
	GArray *listings = g_array_new(FALSE, TRUE, sizeof(struct vm_listing));
	GArray *parts = g_array_new(FALSE, TRUE, sizeof(struct fleet_part));
	uint64_t oldest_era = UINT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->list);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct list_item *item = value;

		if (item->value == NULL)
			continue;
		listing_add(item, listings, parts);
		if (!item->is_part)
			oldest_era = MIN(oldest_era, item->era);
		if (!item->is_part && strcmp(item->name, f->peers.self->name) == 0)
			f->self_listed = true;
	}
	if (peers_apply_list(&f->peers, revision, (const struct vm_listing *)(void *)listings->data,
			     listings->len)) {
		g_array_unref(f->parts);
		f->parts = g_array_ref(parts);
		f->oldest_era = oldest_era;
		log_info("vms", LOG_REVISION("revision", revision), LOG_NUM("count", listings->len),
			 LOG_NUM("parts", parts->len));
		fleet_members_changed(f);
		fleet_send_heartbeats(f);
	}
	g_array_unref(listings);
	g_array_unref(parts);
}

/** Builds the key of an entry from a list without keys. */
static char *key_of(JsonObject *o)
{
	if (json_object_has_member(o, "part"))
		return g_strdup_printf("part/%s/%ld", text_of(o, "data_center"),
				       (long)json_object_get_int_member(o, "part"));
	return g_strdup_printf("vm/%s", text_of(o, "name"));
}

void fleet_apply_vms(struct fleet *f, uint64_t revision, const char *text)
{
	GHashTable *listed_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	JsonParser *parser = json_parser_new();
	JsonArray *list;
	guint i;

	if (!json_text_load(parser, text, -1, NULL) ||
	    !JSON_NODE_HOLDS_ARRAY(json_parser_get_root(parser))) {
		log_entry(G_LOG_LEVEL_WARNING, "vms-malformed", LOG_REVISION("revision", revision));
		goto out;
	}
	list = json_node_get_array(json_parser_get_root(parser));
	for (i = 0; i < json_array_get_length(list); i++) {
		JsonNode *node = json_array_get_element(list, i);
		char *key, *value;

		if (!JSON_NODE_HOLDS_OBJECT(node))
			continue;
		key = key_of(json_node_get_object(node));
		value = json_to_string(node, FALSE);
		fleet_list_put(f, key, value, revision);
		g_hash_table_add(listed_keys, key);
		g_free(value);
	}
	fleet_list_remove_unlisted(f, listed_keys, revision);
	fleet_list_publish(f, revision);
out:
	g_hash_table_destroy(listed_keys);
	g_object_unref(parser);
}

/* Exchange with peers */

void fleet_list_write_changes(const struct fleet *f, uint64_t known, ml_conf_res *res)
{
	GHashTableIter iter;
	gpointer key, value;

	res->vms_revision = f->peers.revision;
	if (f->peers.revision <= known)
		return;
	/* This VM does not know removals before list_base, so an older peer gets the full list. */
	res->vms_base = known >= f->list_base ? known : 0;
	res->vms.vms_val = g_new0(ml_vm_item, g_hash_table_size(f->list) + 1);
	g_hash_table_iter_init(&iter, f->list);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct list_item *item = value;

		if (item->revision <= res->vms_base || (res->vms_base == 0 && item->value == NULL))
			continue;
		res->vms.vms_val[res->vms.vms_len++] =
			(ml_vm_item){.key = key,
				     .revision = item->revision,
				     .removed = item->value == NULL,
				     .value = item->value != NULL ? item->value : ""};
	}
}

void fleet_list_apply_changes(struct fleet *f, const ml_conf_res *res)
{
	GHashTable *listed_keys;
	u_int i;

	/* Changes since vms_base also apply to a list that was updated meanwhile. */
	if (res->vms_revision <= f->peers.revision || res->vms_base > f->peers.revision)
		return;
	listed_keys = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < res->vms.vms_len; i++) {
		const ml_vm_item *item = &res->vms.vms_val[i];

		fleet_list_put(f, item->key, item->removed ? NULL : item->value, item->revision);
		g_hash_table_add(listed_keys, item->key);
	}
	if (res->vms_base == 0)
		fleet_list_remove_unlisted(f, listed_keys, res->vms_revision);
	g_hash_table_destroy(listed_keys);
	fleet_list_publish(f, res->vms_revision);
}
