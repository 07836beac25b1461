/**
 * @file
 * Registration of agents through other members.
 *
 * The store may refuse an agent's machine while it serves others. Such an agent
 * asks another member to write its entry to the roster.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_REGISTER_H
#define PIMENTOLIFT_DAEMON_NODE_REGISTER_H

#include "private/node.h"

/** Asks a live member, chosen at random, to register this agent. */
void pl_node_register_by_delegate(pl_node_t *node);

/** Handles a frame of type PL_PEER_REGISTER or PL_PEER_REGISTERED. */
void pl_node_register_frame(pl_node_t *node, const pl_peer_frame_t *frame);

#endif
