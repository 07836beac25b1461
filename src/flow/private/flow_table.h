/**
 * @file
 * Bounded table of flows with LRU eviction.
 */
#ifndef PL_FLOW_TABLE_H
#define PL_FLOW_TABLE_H

#include <pimentolift/list.h>
#include <pimentolift/packet.h>
#include <pimentolift/timer.h>
#include <stdbool.h>

/** First member of each flow's record. */
typedef struct {
	pl_flow_key_t key;
	pl_list_t link;
	pl_list_t expendable_link; /**< on the list of expendable records */
	bool expendable; /**< evicted before all others */
	pl_ms_t last_used;
} pl_flow_node_t;

/** Called before a record is removed and freed. */
typedef void (*pl_flow_release_t)(void *ctx, pl_flow_node_t *node);

typedef struct pl_flow_table pl_flow_table_t;

/** Creates a table of at most @p max records of @p size bytes each. */
pl_flow_table_t *pl_flow_table_new(size_t size, size_t max,
				   pl_flow_release_t release, void *ctx);
void pl_flow_table_delete(pl_flow_table_t *table);

/** Returns the record of the flow, or NULL. */
pl_flow_node_t *pl_flow_table_find(const pl_flow_table_t *table,
				   const pl_flow_key_t *key);

/** Sets the function that is called before a record that is not expendable is
 * evicted. */
void pl_flow_table_on_evict(pl_flow_table_t *table, pl_flow_release_t evict);

/** Returns the record of the flow, creating it filled with zeros if needed. A
 * full table evicts the record that has been expendable for the longest time,
 * or, if there is none, the least recently used record. */
pl_flow_node_t *pl_flow_table_get(pl_flow_table_t *table,
				  const pl_flow_key_t *key, pl_ms_t now);

/** Marks the flow as used at @p now. */
void pl_flow_table_touch(pl_flow_table_t *table, pl_flow_node_t *node,
			 pl_ms_t now);

/** Sets whether the record is expendable. */
void pl_flow_table_set_expendable(pl_flow_table_t *table, pl_flow_node_t *node,
				  bool expendable);

void pl_flow_table_remove(pl_flow_table_t *table, pl_flow_node_t *node);

/** Removes the records that were last used before @p since. */
void pl_flow_table_expire(pl_flow_table_t *table, pl_ms_t since);

/** Returns the list of records, least recently used first. */
pl_list_t *pl_flow_table_nodes(pl_flow_table_t *table);

size_t pl_flow_table_count(const pl_flow_table_t *table);

#endif
