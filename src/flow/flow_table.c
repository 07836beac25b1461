/**
 * @file
 * Table of flows: a hash table, and a list in LRU order.
 */
#include "private/flow_table.h"

#include <assert.h>
#include <glib.h>
#include <pimentolift/flow.h>
#include <pimentolift/hash.h>
#include <string.h>

struct pl_flow_table {
	GHashTable *by_key; /* key of the node to the node */
	pl_list_t nodes;
	pl_list_t expendable; /* in the order in which they became so */
	size_t size;
	size_t max;
	pl_flow_release_t release;
	pl_flow_release_t evict;
	void *ctx;
};

static void format_ip_(char *out, size_t size, uint32_t ip)
{
	g_snprintf(out, size, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
		   ip >> 8 & 255, ip & 255);
}

const char *pl_flow_format(const pl_flow_key_t *flow,
			   char text[PL_FLOW_TEXT_MAX])
{
	char caller[16];
	char service[16];

	format_ip_(caller, sizeof(caller), flow->caller_ip);
	format_ip_(service, sizeof(service), flow->service_ip);
	g_snprintf(text, PL_FLOW_TEXT_MAX, "%s:%u>%s:%u", caller,
		   flow->caller_port, service, flow->service_port);
	return text;
}

static guint hash_(gconstpointer key)
{
	return (guint)pl_hash(key, sizeof(pl_flow_key_t), 0);
}

static gboolean equal_(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(pl_flow_key_t)) == 0;
}

pl_flow_table_t *pl_flow_table_new(size_t size, size_t max,
				   pl_flow_release_t release, void *ctx)
{
	pl_flow_table_t *table = g_new0(pl_flow_table_t, 1);

	assert(size >= sizeof(pl_flow_node_t) && max > 0);
	table->by_key = g_hash_table_new(hash_, equal_);
	pl_list_init(&table->nodes);
	pl_list_init(&table->expendable);
	table->size = size;
	table->max = max;
	table->release = release;
	table->ctx = ctx;
	return table;
}

void pl_flow_table_delete(pl_flow_table_t *table)
{
	if (!table)
		return;
	pl_list_for_each_safe(link, &table->nodes)
		pl_flow_table_remove(
			table, PL_CONTAINER_OF(link, pl_flow_node_t, link));
	g_hash_table_destroy(table->by_key);
	g_free(table);
}

pl_flow_node_t *pl_flow_table_find(const pl_flow_table_t *table,
				   const pl_flow_key_t *key)
{
	return g_hash_table_lookup(table->by_key, key);
}

void pl_flow_table_on_evict(pl_flow_table_t *table, pl_flow_release_t evict)
{
	table->evict = evict;
}

static void evict_(pl_flow_table_t *table)
{
	pl_flow_node_t *node;

	if (!pl_list_empty(&table->expendable)) {
		pl_flow_table_remove(
			table,
			PL_CONTAINER_OF(pl_list_first(&table->expendable),
					pl_flow_node_t, expendable_link));
		return;
	}
	node = PL_CONTAINER_OF(pl_list_first(&table->nodes), pl_flow_node_t,
			       link);
	if (table->evict)
		table->evict(table->ctx, node);
	pl_flow_table_remove(table, node);
}

void pl_flow_table_set_expendable(pl_flow_table_t *table, pl_flow_node_t *node,
				  bool expendable)
{
	if (node->expendable == expendable)
		return;
	node->expendable = expendable;
	if (expendable)
		pl_list_append(&table->expendable, &node->expendable_link);
	else
		pl_list_remove(&node->expendable_link);
}

pl_flow_node_t *pl_flow_table_get(pl_flow_table_t *table,
				  const pl_flow_key_t *key, pl_ms_t now)
{
	pl_flow_node_t *node = pl_flow_table_find(table, key);

	if (node) {
		pl_flow_table_touch(table, node, now);
		return node;
	}
	if (g_hash_table_size(table->by_key) >= table->max)
		evict_(table);
	node = g_malloc0(table->size);
	node->key = *key;
	node->last_used = now;
	pl_list_append(&table->nodes, &node->link);
	g_hash_table_insert(table->by_key, &node->key, node);
	return node;
}

void pl_flow_table_touch(pl_flow_table_t *table, pl_flow_node_t *node,
			 pl_ms_t now)
{
	node->last_used = now;
	pl_list_remove(&node->link);
	pl_list_append(&table->nodes, &node->link);
}

void pl_flow_table_remove(pl_flow_table_t *table, pl_flow_node_t *node)
{
	if (table->release)
		table->release(table->ctx, node);
	g_hash_table_remove(table->by_key, &node->key);
	pl_list_remove(&node->link);
	if (node->expendable)
		pl_list_remove(&node->expendable_link);
	g_free(node);
}

void pl_flow_table_expire(pl_flow_table_t *table, pl_ms_t since)
{
	pl_list_for_each_safe(link, &table->nodes) {
		pl_flow_node_t *node =
			PL_CONTAINER_OF(link, pl_flow_node_t, link);

		if (node->last_used >= since)
			return;
		pl_flow_table_remove(table, node);
	}
}

pl_list_t *pl_flow_table_nodes(pl_flow_table_t *table)
{
	return &table->nodes;
}

size_t pl_flow_table_count(const pl_flow_table_t *table)
{
	return g_hash_table_size(table->by_key);
}
