/**
 * @file
 * This agent's entry in the roster of its service in the store. An agent
 * registers before its backend server is offered flows and deregisters once the
 * server has shut down for good, so the roster names every agent that may own a
 * flow.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_ROSTER_H
#define PIMENTOLIFT_DAEMON_NODE_ROSTER_H

#include "private/node.h"

#include <pimentolift/kv.h>

typedef struct pl_node_roster pl_node_roster_t;

/** Called once the agent is registered, or once registration has timed out. */
typedef void (*pl_node_roster_done_t)(void *ctx);

pl_node_roster_t *pl_node_roster_new(pl_node_t *node, pl_kv_t *kv);
void pl_node_roster_delete(pl_node_roster_t *roster);

/** Writes this agent's entry for @p service and retries until that succeeds. */
void pl_node_roster_register(pl_node_roster_t *roster, pl_service_id_t service,
			     pl_node_roster_done_t done, void *ctx);

/** Writes this agent's entry again if it is old: if membership declared the
 * agent dead, the readers of the roster may have removed its entry. */
void pl_node_roster_refresh(pl_node_roster_t *roster);

/** Removes this agent's entry, also one that an earlier process of the agent
 * wrote, because the backend server has shut down for good. */
void pl_node_roster_deregister(pl_node_roster_t *roster);

/** Whether the removal of the entry is still in progress. */
bool pl_node_roster_is_deregistering(const pl_node_roster_t *roster);

#endif
