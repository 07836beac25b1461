/**
 * @file
 * A view table that knows no view.
 */
#include <pimentolift/view.h>

pl_view_table_t *pl_view_table_new(const pl_agent_params_t *params,
				   const pl_agent_ops_t *ops, void *ctx,
				   pl_timer_service_t *timers)
{
	return NULL;
}

void pl_view_table_delete(pl_view_table_t *table)
{
}

void pl_view_set_routing(pl_view_table_t *table, const pl_routing_t *routing,
			 pl_service_id_t service)
{
}

void pl_view_register(pl_view_table_t *table, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg)
{
}

pl_view_verdict_t pl_view_deregister(pl_view_table_t *table,
				     const pl_forward_t *forward,
				     const pl_coap_msg_t *msg,
				     pl_member_id_t *next)
{
	return PL_VIEW_UNKNOWN;
}

pl_view_verdict_t pl_view_ack(pl_view_table_t *table,
			      const pl_forward_t *forward,
			      const pl_coap_msg_t *msg, pl_member_id_t *next)
{
	return PL_VIEW_UNKNOWN;
}

pl_view_verdict_t pl_view_block(pl_view_table_t *table,
				const pl_forward_t *forward,
				const pl_coap_msg_t *msg)
{
	return PL_VIEW_UNKNOWN;
}

void pl_view_notify(pl_view_table_t *table, uint64_t subscription_id,
		    const pl_backend_reply_t *reply)
{
}

void pl_view_backend(pl_view_table_t *table, bool present)
{
}

void pl_view_frame(pl_view_table_t *table, const pl_peer_frame_t *frame)
{
}

void pl_view_frame_failed(pl_view_table_t *table, const pl_peer_frame_t *frame)
{
}

void pl_view_peer_dead(pl_view_table_t *table, pl_member_id_t agent,
		       uint64_t boot)
{
}

void pl_view_rejoin(pl_view_table_t *table, uint64_t boot)
{
}

void pl_view_drain(pl_view_table_t *table)
{
}

size_t pl_view_count(const pl_view_table_t *table)
{
	return 0;
}
