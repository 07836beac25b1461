/**
 * @file
 * This agent's entry in the roster of its service in the store. An agent stands
 * there before its backend server is offered flows, and until the server has
 * ended for good; so whoever may own a flow is named.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_ROSTER_H
#define PIMENTOLIFT_DAEMON_NODE_ROSTER_H

#include "private/node.h"

#include <pimentolift/kv.h>

typedef struct pl_node_roster pl_node_roster_t;

/** Called once an agent stands in the roster, or could not for too long. */
typedef void (*pl_node_roster_done_t)(void *ctx);

pl_node_roster_t *pl_node_roster_new(pl_node_t *node, pl_kv_t *kv);
void pl_node_roster_delete(pl_node_roster_t *roster);

/** Registers this agent for @p service. */
void pl_node_roster_register(pl_node_roster_t *roster, pl_service_id_t service,
			     pl_node_roster_done_t done, void *ctx);

/** Membership took this agent for dead, or may have: its entry may be gone. */
void pl_node_roster_refresh(pl_node_roster_t *roster);

/** The agent's backend server has ended for good. What an earlier life of this
 * process registered goes, too. */
void pl_node_roster_deregister(pl_node_roster_t *roster);

/** Whether the roster still names this agent, which has left. */
bool pl_node_roster_is_deregistering(const pl_node_roster_t *roster);

#endif
