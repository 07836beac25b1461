/**
 * @file
 * Burn rates of an agent's service-level objectives: good and total events over
 * several windows. Each process counts its own, in memory; pimentoctl adds them
 * up.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_BURN_H
#define PIMENTOLIFT_DAEMON_NODE_BURN_H

#include "private/node.h"

typedef struct pl_node_burn pl_node_burn_t;

/** Starts to sample the counters, by a timer of the node's loop. */
pl_node_burn_t *pl_node_burn_new(pl_node_t *node);
void pl_node_burn_delete(pl_node_burn_t *burn);

/**
 * Builds the JSON object of the /burn response: instance, datacentre, service
 * (null until a backend server has registered), and for each objective kind,
 * target_ppm, threshold_ms, window_days and windows, each with good and total.
 */
struct json_object *pl_node_burn_report(pl_node_burn_t *burn);

#endif
