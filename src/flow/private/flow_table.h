/**
 * @file
 * Bounded table of flows in order of their last use.
 */
#ifndef PL_FLOW_TABLE_H
#define PL_FLOW_TABLE_H

#include <pimentolift/list.h>
#include <pimentolift/packet.h>
#include <pimentolift/timer.h>

/** A flow's record starts with this. */
typedef struct {
	pl_flow_key_t key;
	pl_list_t link;
	pl_ms_t used;
} pl_flow_node_t;

/** Called before a record is freed. */
typedef void (*pl_flow_release_t)(void *ctx, pl_flow_node_t *node);

typedef struct pl_flow_table pl_flow_table_t;

/** New table of records of @p size bytes, @p max of them at the most. */
pl_flow_table_t *pl_flow_table_new(size_t size, size_t max,
				   pl_flow_release_t release, void *ctx);
void pl_flow_table_delete(pl_flow_table_t *table);

/** Record of the flow, or NULL. */
pl_flow_node_t *pl_flow_table_find(const pl_flow_table_t *table,
				   const pl_flow_key_t *key);

/** Record of the flow, a new one filled with zeros if there is none; the
 * least recently used one makes room. */
pl_flow_node_t *pl_flow_table_get(pl_flow_table_t *table,
				  const pl_flow_key_t *key, pl_ms_t now);

/** Notes that the flow was used. */
void pl_flow_table_touch(pl_flow_table_t *table, pl_flow_node_t *node,
			 pl_ms_t now);

void pl_flow_table_remove(pl_flow_table_t *table, pl_flow_node_t *node);

/** Removes the records that were not used since @p since. */
void pl_flow_table_expire(pl_flow_table_t *table, pl_ms_t since);

/** Head of the records' links, least recently used first. */
pl_list_t *pl_flow_table_nodes(pl_flow_table_t *table);

size_t pl_flow_table_count(const pl_flow_table_t *table);

#endif
