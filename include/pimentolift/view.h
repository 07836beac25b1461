/**
 * @file
 * @defgroup view Open views
 *
 * A view is a caller's observation of a resource (RFC 7641). The table holds
 * one record per view and one subscription at the backend server per
 * resource, and sends the notifications. At a drain each record is offered
 * to the endpoint that will be the caller's home, and a tombstone stays that
 * tells where it went. A copy of each record is kept at the next-ranked
 * endpoint, which takes over when the owner fails.
 *
 * Like the agent core that owns it, the table has no socket and no clock.
 * Its messages have IDs with the highest bit set; the core's own have it
 * clear, so an acknowledgement belongs to one of the two.
 * @{
 */
#ifndef PIMENTOLIFT_VIEW_H
#define PIMENTOLIFT_VIEW_H

#include <pimentolift/agent.h>

typedef struct pl_view_table pl_view_table_t;

/** What became of a datagram that was offered to the table. */
typedef enum {
	PL_VIEW_HANDLED, /**< it was for a view here */
	PL_VIEW_MOVED, /**< the caller's views went to the agent in @c next */
	PL_VIEW_UNKNOWN, /**< no view of this caller is known */
} pl_view_verdict_t;

/** New table; it acts through @p ops like the agent. */
pl_view_table_t *pl_view_table_new(const pl_agent_params_t *params,
				   const pl_agent_ops_t *ops, void *ctx,
				   pl_timer_service_t *timers);
void pl_view_table_delete(pl_view_table_t *table);

/** Routing table to choose receivers from; borrowed until the next call. */
void pl_view_set_routing(pl_view_table_t *table, const pl_routing_t *routing,
			 pl_service_id_t service);

/** Expected wait for a slot, which goes with every datagram to a caller. */
void pl_view_set_load(pl_view_table_t *table, uint32_t load_ms);

/**
 * Opens or refreshes a view: a GET with Observe 0. The first answer is the
 * registration's; it is sent as soon as the resource's state is known, as an
 * ACK of @p msg when it is a CON.
 */
void pl_view_register(pl_view_table_t *table, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg);

/** Closes a view: a GET with Observe 1; the answer is the caller's own. */
pl_view_verdict_t pl_view_deregister(pl_view_table_t *table,
				     const pl_forward_t *forward,
				     const pl_coap_msg_t *msg,
				     pl_member_id_t *next);

/** An empty ACK or RST, matched by caller and message ID. */
pl_view_verdict_t pl_view_ack(pl_view_table_t *table,
			      const pl_forward_t *forward,
			      const pl_coap_msg_t *msg, pl_member_id_t *next);

/** Where the views of @p caller went, when they were moved away. */
pl_view_verdict_t pl_view_find(const pl_view_table_t *table,
			       const pl_addr_t *caller, pl_member_id_t *next);

/**
 * A GET with Block2 and no Observe that fetches the rest of a notification's
 * body; handled when the table holds that body for the path.
 */
pl_view_verdict_t pl_view_block(pl_view_table_t *table,
				const pl_forward_t *forward,
				const pl_coap_msg_t *msg);

/** A notification of the backend server. */
void pl_view_notify(pl_view_table_t *table, uint64_t subscription_id,
		    const pl_backend_reply_t *reply);

/**
 * The backend server is there (again): subscribes anew; or it is gone. The
 * views of one that stays away for 2 s are handed over.
 */
void pl_view_backend(pl_view_table_t *table, bool present);

/** Frames of the types PL_PEER_VIEW_*. */
void pl_view_frame(pl_view_table_t *table, const pl_peer_frame_t *frame);
void pl_view_frame_failed(pl_view_table_t *table, const pl_peer_frame_t *frame);

/** An agent failed; the views whose copies are here are taken over. */
void pl_view_peer_dead(pl_view_table_t *table, pl_member_id_t agent,
		       uint64_t boot);

/** After a long pause: asks the holders of copies who has the views now. */
void pl_view_rejoin(pl_view_table_t *table, uint64_t boot);

/** Hands every view over. */
void pl_view_drain(pl_view_table_t *table);

/** Open views, and offers that are not yet accepted. */
size_t pl_view_count(const pl_view_table_t *table);

#endif
/** @} */
