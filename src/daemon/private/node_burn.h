/**
 * @file
 * Counts of an agent's service-level objectives over several windows. Each
 * process keeps its own, in memory; pimentoctl adds them up.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_BURN_H
#define PIMENTOLIFT_DAEMON_NODE_BURN_H

#include "private/node.h"

typedef struct pl_node_burn pl_node_burn_t;

/** Starts to count, by a timer of the node's loop. */
pl_node_burn_t *pl_node_burn_new(pl_node_t *node);
void pl_node_burn_delete(pl_node_burn_t *burn);

/**
 * Object of the /burn answer: instance, datacentre, service (null while no
 * backend server was there), and for each objective kind, target_ppm,
 * threshold_ms, window_days and windows, each of good and total.
 */
struct json_object *pl_node_burn_report(pl_node_burn_t *burn);

#endif
