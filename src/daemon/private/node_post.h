/**
 * @file
 * The control thread's ends of what other threads post to it.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_POST_H
#define PIMENTOLIFT_DAEMON_NODE_POST_H

#include "private/node.h"

/** Sends a frame; on the control thread. */
void pl_node_send_frame_now(pl_node_t *node, const pl_peer_frame_t *frame);

/** Says what the agent's backend server is; on the control thread. */
void pl_node_set_backend_now(pl_node_t *node, pl_service_id_t service,
			     uint32_t slots);

/** Says whether the backend server takes new flows; on the control thread. */
void pl_node_set_endpoint_now(pl_node_t *node, pl_service_id_t service,
			      uint32_t slots, bool serving);

/** The backend server has ended for good; on the control thread. */
void pl_node_backend_leaving_now(pl_node_t *node);

/** Asks for the roster; on the control thread. */
void pl_node_request_roster_now(pl_node_t *node, pl_service_id_t service);

#endif
