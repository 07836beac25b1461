/**
 * @file
 * Functions on the control thread behind the pl_node_*() calls that any thread
 * may make; node_post.c posts a task for each of those calls.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_POST_H
#define PIMENTOLIFT_DAEMON_NODE_POST_H

#include "private/node.h"

/** See pl_node_send_frame(). */
void pl_node_send_frame_on_control_thread(pl_node_t *node,
					  const pl_peer_frame_t *frame);

/** See pl_node_set_backend(). */
void pl_node_set_backend_on_control_thread(pl_node_t *node,
					   pl_service_id_t service,
					   uint32_t slots);

/** See pl_node_set_endpoint(). */
void pl_node_set_endpoint_on_control_thread(pl_node_t *node,
					    pl_service_id_t service,
					    uint32_t slots, bool serving);

/** See pl_node_backend_leaving(). */
void pl_node_backend_leaving_on_control_thread(pl_node_t *node);

/** See pl_node_request_roster(). */
void pl_node_request_roster_on_control_thread(pl_node_t *node);

#endif
