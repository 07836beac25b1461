/**
 * @file
 * Rosters as entries read them: one of each data centre for all of it.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_ROSTER_READ_H
#define PIMENTOLIFT_DAEMON_NODE_ROSTER_READ_H

#include "private/node.h"

#include <pimentolift/kv.h>

/** An agent that stays dead for this long loses its entry. No flow is as old,
 * and an agent that comes back writes it anew. */
#define PL_ROSTER_REMOVE_DEAD_MS 600000

typedef struct pl_node_roster_reader pl_node_roster_reader_t;

/** Answer to pl_node_roster_read_ask(). */
typedef void (*pl_node_roster_result_t)(void *ctx, pl_service_id_t service,
					bool known,
					const pl_member_id_t *agents,
					size_t count);

/** Key of the agent @p agent in the roster of @p service; to be freed. */
char *pl_roster_key(const char *environment, pl_service_id_t service,
		    pl_member_id_t agent);

pl_node_roster_reader_t *
pl_node_roster_reader_new(pl_node_t *node, pl_kv_t *kv,
			  pl_node_roster_result_t result, void *ctx);
void pl_node_roster_reader_delete(pl_node_roster_reader_t *reader);

/** Asks for the roster of @p service, read from now on. */
void pl_node_roster_reader_request(pl_node_roster_reader_t *reader,
				   pl_service_id_t service);

/** A member changed. */
void pl_node_roster_reader_member_changed(pl_node_roster_reader_t *reader,
					  const pl_member_t *member);

/** Frames of type PL_PEER_ROSTER_ASK and PL_PEER_ROSTER. */
void pl_node_roster_reader_frame(pl_node_roster_reader_t *reader,
				 const pl_peer_frame_t *frame);
void pl_node_roster_reader_frame_failed(pl_node_roster_reader_t *reader,
					const pl_peer_frame_t *frame);

/** Asks the agents of all services that stand in the store to make themselves
 * known: after a power loss of all the store alone remembers them. */
void pl_node_roster_reader_contact_agents(pl_node_roster_reader_t *reader);

#endif
