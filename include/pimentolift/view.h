/**
 * @file
 * @defgroup view Open views
 *
 * A view is a caller's observation of a resource (RFC 7641). The table holds
 * one record per view, keeps one subscription at the backend server per
 * resource, and sends the notifications. During a drain, each record is
 * offered to the endpoint that becomes the caller's home; a redirect entry
 * stays behind and names that endpoint. The next-ranked endpoint keeps a
 * replica of each record and takes the view over when the owner fails.
 *
 * Like the agent core that owns it, the table has no socket and no clock. The
 * table sends message IDs with the highest bit set and the core sends message
 * IDs with that bit clear, so that each acknowledgement can be attributed to
 * one of the two.
 * @{
 */
#ifndef PIMENTOLIFT_VIEW_H
#define PIMENTOLIFT_VIEW_H

#include <pimentolift/agent.h>

typedef struct pl_view_table pl_view_table_t;

/** Result of passing a datagram to the table. */
typedef enum {
	PL_VIEW_HANDLED, /**< the datagram was for a view in this table */
	PL_VIEW_MOVED, /**< the agent in @c next owns the caller's views */
	PL_VIEW_UNKNOWN, /**< the table knows no view of this caller */
} pl_view_verdict_t;

/** Creates a table; like the agent core, it sends and calls through @p ops. */
pl_view_table_t *pl_view_table_new(const pl_agent_params_t *params,
				   const pl_agent_ops_t *ops, void *ctx,
				   pl_timer_service_t *timers);
void pl_view_table_delete(pl_view_table_t *table);

/**
 * Sets the routing table from which other agents are chosen. The table borrows
 * @p routing until the next call.
 */
void pl_view_set_routing(pl_view_table_t *table, const pl_routing_t *routing,
			 pl_service_id_t service);

/**
 * Sets the expected wait for a slot in milliseconds, which is passed to the
 * entry with every datagram to a caller.
 */
void pl_view_set_load(pl_view_table_t *table, uint32_t load_ms);

/**
 * Handles a GET with Observe 0, which opens or refreshes a view. The response
 * to the registration is sent as soon as the resource's state is known; it is
 * piggybacked on the ACK when @p msg is confirmable.
 */
void pl_view_register(pl_view_table_t *table, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg);

/**
 * Handles a GET with Observe 1, which closes a view. The calling function
 * sends the response.
 */
pl_view_verdict_t pl_view_deregister(pl_view_table_t *table,
				     const pl_forward_t *forward,
				     const pl_coap_msg_t *msg,
				     pl_member_id_t *next);

/** Handles an empty ACK or RST, matched by caller address and message ID. */
pl_view_verdict_t pl_view_ack(pl_view_table_t *table,
			      const pl_forward_t *forward,
			      const pl_coap_msg_t *msg, pl_member_id_t *next);

/** Finds the agent that owns the views of @p caller if this table has none. */
pl_view_verdict_t pl_view_find(const pl_view_table_t *table,
			       const pl_addr_t *caller, pl_member_id_t *next);

/**
 * Handles a GET with Block2 and no Observe, which fetches the remaining blocks
 * of a notification's body. Returns PL_VIEW_UNKNOWN for block 0, and unless the
 * caller has a view of this path and query whose last sent body contains the
 * block.
 */
pl_view_verdict_t pl_view_serve_block(pl_view_table_t *table,
				      const pl_forward_t *forward,
				      const pl_coap_msg_t *msg);

/** Handles a notification from the backend server. */
void pl_view_notify(pl_view_table_t *table, uint64_t subscription_id,
		    const pl_backend_reply_t *reply);

/**
 * Sets whether the backend server is reachable. When it becomes reachable, all
 * resources are subscribed again; when it stays unreachable for 2 s, all views
 * are handed over to other agents.
 */
void pl_view_set_backend_present(pl_view_table_t *table, bool present);

/** Handles a received frame of a type PL_PEER_VIEW_*. */
void pl_view_frame(pl_view_table_t *table, const pl_peer_frame_t *frame);

/** Handles the failure to deliver @p frame to its peer. */
void pl_view_frame_failed(pl_view_table_t *table, const pl_peer_frame_t *frame);

/**
 * Handles the failure of an agent: takes over its views that have replicas in
 * this table.
 */
void pl_view_peer_boot_ended(pl_view_table_t *table, pl_member_id_t agent,
			     uint64_t boot);

/**
 * Sends all records to their backup agents after the process was paused for
 * so long that other agents may have taken its views over. A backup answers
 * for each view that another agent owns now.
 */
void pl_view_rejoin(pl_view_table_t *table, uint64_t boot);

/** Hands every view over and accepts no more offers. */
void pl_view_drain(pl_view_table_t *table);

/** Number of open views, including offered views that are not yet accepted. */
size_t pl_view_count(const pl_view_table_t *table);

#endif
/** @} */
