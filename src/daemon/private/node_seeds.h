/**
 * @file
 * Seed list in the platform's store, by which a process finds members that its
 * settings do not name.
 *
 * A process that could not join the membership reads the list, contacts the
 * members in it, and adds itself if it still could not join. Of the joined
 * members only those that watch the configuration read the list, every few
 * minutes, and rewrite it when most of it is out of date.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_SEEDS_H
#define PIMENTOLIFT_DAEMON_NODE_SEEDS_H

#include "private/node_config.h"

typedef struct pl_node_seeds pl_node_seeds_t;

/** Uses the store client of @p config, which must outlive the result. */
pl_node_seeds_t *pl_node_seeds_new(pl_node_t *node, pl_node_config_t *config);
void pl_node_seeds_delete(pl_node_seeds_t *seeds);

/** Call after pl_member_join(). */
void pl_node_seeds_start(pl_node_seeds_t *seeds);

/** The store was restored from an older copy: a joined watcher checks the list
 * soon. */
void pl_node_seeds_store_restored(pl_node_seeds_t *seeds);

#endif
