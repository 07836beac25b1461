/**
 * @file
 * Reads the roster for an entry; one entry of each data centre reads it for all
 * entries there (pl_roster_share_t).
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_ROSTER_READER_H
#define PIMENTOLIFT_DAEMON_NODE_ROSTER_READER_H

#include "private/node.h"

#include <pimentolift/kv.h>

typedef struct pl_node_roster_reader pl_node_roster_reader_t;

/** Receives the result of pl_node_roster_reader_request(); @p known is false if
 * the roster could not be read. */
typedef void (*pl_node_roster_result_t)(void *ctx, bool known,
					const pl_member_id_t *agents,
					size_t count);

pl_node_roster_reader_t *
pl_node_roster_reader_new(pl_node_t *node, pl_kv_t *kv,
			  pl_node_roster_result_t result, void *ctx);
void pl_node_roster_reader_delete(pl_node_roster_reader_t *reader);

/** Requests the roster, by a read that starts after this call. */
void pl_node_roster_reader_request(pl_node_roster_reader_t *reader);

void pl_node_roster_reader_member_changed(pl_node_roster_reader_t *reader,
					  const pl_member_t *member);

/** Handles frames of type PL_PEER_ROSTER_REQUEST and PL_PEER_ROSTER. */
void pl_node_roster_reader_frame(pl_node_roster_reader_t *reader,
				 const pl_peer_frame_t *frame);
void pl_node_roster_reader_frame_failed(pl_node_roster_reader_t *reader,
					const pl_peer_frame_t *frame);

/** The generation of the store has risen. */
void pl_node_roster_reader_generation_changed(pl_node_roster_reader_t *reader);

/** Contacts the agents in the roster, so that they join the
 * membership: after a power loss of the whole fleet only the store still knows
 * their addresses. */
void pl_node_roster_reader_contact_agents(pl_node_roster_reader_t *reader);

#endif
