/**
 * @file
 * Seeds of the platform: how a process finds members that its settings do
 * not name, and who keeps the list right.
 *
 * A process that could not join reads the list, asks the members in it, and
 * puts itself there if that did not help. Once joined, only those that watch
 * the configuration look at it, every few minutes, and correct it when most
 * of it is out of date.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_SEEDS_H
#define PIMENTOLIFT_DAEMON_NODE_SEEDS_H

#include "private/node_config.h"

typedef struct pl_node_seeds pl_node_seeds_t;

/** New part; @p config lends its client of the platform and outlives it. */
pl_node_seeds_t *pl_node_seeds_new(pl_node_t *node, pl_node_config_t *config);
void pl_node_seeds_delete(pl_node_seeds_t *seeds);

/** Starts, after pl_member_join(). */
void pl_node_seeds_start(pl_node_seeds_t *seeds);

#endif
