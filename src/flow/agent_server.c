/**
 * @file
 * Packets of the backend server: what they show of its flows.
 */
#include "private/agent_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/* Whether the server has answered packets of the flow, or may have. It then may
 * hold the flow although it cannot accept a copy of the opening packet. */
static bool may_be_held_(const flow_t *flow)
{
	return flow->state == FLOW_OFFERED || flow->state == FLOW_PROBING ||
	       flow->state == FLOW_OPEN;
}

/* Handles a packet that the server returned because it does not hold the
 * flow, or cannot accept a new one. */
static void handle_bounced_(pl_flow_agent_t *agent, const pl_packet_t *packet,
			    uint8_t *bytes, size_t len)
{
	const pl_flow_key_t key = pl_packet_flow(packet);
	flow_t *flow = pl_flow_find_(agent, &key);
	bool opens = pl_packet_opens(packet);
	bool keep;

	agent->stats.bounced++;
	pl_counter_add(PL_COUNTER_FLOWS_BOUNCED, 1);
	if (!flow || (opens && may_be_held_(flow)))
		return;
	/* a probe of another flow: the server has shown since that it holds the
	 * recorded one */
	if (!opens && flow->confirmed &&
	    !pl_flow_acknowledges_(flow, packet->ack))
		return;
	if (opens && flow->state == FLOW_NEW)
		pl_flow_health_refused_(agent);
	agent->params.packets->clear_bounced(bytes, len);
	keep = flow->state == FLOW_PROBING && flow->entry_keeps_copy;
	pl_flow_set_state_(agent, flow, FLOW_ABSENT);
	pl_flow_agent_send_verdict_(agent, flow->entry, &key,
				    opens ? PL_FLOW_REFUSED : PL_FLOW_ABSENT,
				    keep ? NULL : bytes, keep ? 0 : len);
}

/* Whether the server's packet is of another flow than the recorded one. */
static bool is_of_other_flow_(const flow_t *flow, const pl_packet_t *packet)
{
	return flow->server_seqs.known &&
	       !pl_seq_range_may_reach(&flow->server_seqs, packet->seq);
}

static void log_replaced_(const flow_t *flow, const pl_packet_t *packet)
{
	char text[PL_FLOW_TEXT_MAX];

	pl_counter_add(PL_COUNTER_FLOWS_REPLACED, 1);
	pl_event(PL_EVENT_FLOW_REPLACED,
		 "%s: the server sends number %u; the recorded flow is %s%s, "
		 "its server's last number %u",
		 pl_flow_format(&flow->node.key, text), packet->seq,
		 pl_flow_state_names_[flow->state],
		 flow->ended ? " and has ended" : "", flow->server_seqs.next);
}

/* Records the numbers of a packet of the server. A packet of another flow shows
 * that the server no longer holds the recorded one, if it ever did. */
static void note_server_seqs_(pl_flow_agent_t *agent, flow_t *flow,
			      const pl_packet_t *packet)
{
	bool opens = (packet->flags & PL_PACKET_SYN) != 0;
	bool takes_seq = (packet->flags & (PL_PACKET_SYN | PL_PACKET_FIN)) != 0;

	/* the number of a reset may be that of the packet it answers */
	if (packet->flags & PL_PACKET_RST)
		return;
	if (is_of_other_flow_(flow, packet)) {
		log_replaced_(flow, packet);
		if (flow->state == FLOW_PROBING)
			pl_flow_agent_send_verdict_(agent, flow->entry,
						    &flow->node.key,
						    PL_FLOW_ABSENT, NULL, 0);
		pl_flow_replace_(agent, flow);
	}
	/* close to what the caller has acknowledged */
	if (!flow->server_seqs.known)
		flow->caller_ack = packet->seq;
	if (opens && flow->state != FLOW_OPEN && flow->state != FLOW_PROBING)
		pl_seq_range_start(&flow->server_seqs, packet->seq);
	pl_seq_range_add(&flow->server_seqs, packet->seq,
			 packet->seq + packet->data_len + takes_seq);
	if (!flow->caller_seqs.known && packet->ack != PL_PACKET_ACK_NONE)
		pl_seq_range_add(&flow->caller_seqs, packet->ack, packet->ack);
}

static void update_from_server_(pl_flow_agent_t *agent,
				const pl_flow_key_t *key,
				const pl_packet_t *packet)
{
	bool opens = (packet->flags & PL_PACKET_SYN) != 0;
	flow_t *flow = pl_flow_get_or_add_(agent, key);

	note_server_seqs_(agent, flow, packet);
	if (opens && flow->state != FLOW_OPEN)
		pl_flow_set_state_(agent, flow, FLOW_OFFERED);
	else if (!opens && flow->state != FLOW_OFFERED)
		/* the server sends packets of the flow, so it holds it */
		pl_flow_set_state_(agent, flow, FLOW_OPEN);
	flow->held_at = pl_flow_agent_now_(agent);
	if (!opens && !(packet->flags & PL_PACKET_RST))
		pl_flow_confirm_(agent, flow);
	pl_flow_note_end_(agent, flow, packet, &flow->server_closed);
	if (packet->flags & PL_PACKET_RST) {
		pl_flow_health_failed_(agent, flow, PL_HEALTH_RESET);
		pl_flow_pace_failed_(agent, flow);
	}
	if (packet->data_len > 0)
		pl_flow_work_answered_(agent, flow, packet->data_len);
	else if (packet->flags & (PL_PACKET_FIN | PL_PACKET_RST))
		pl_flow_work_free_slot_(agent, flow);
}

static void log_reset_(const pl_flow_key_t *key, const flow_t *flow,
		       const char *result)
{
	char text[PL_FLOW_TEXT_MAX];

	pl_event(PL_EVENT_SERVER_RESET, "%s: %s, %s%s%s",
		 pl_flow_format(key, text), result,
		 flow ? pl_flow_state_names_[flow->state] : "no record",
		 flow && flow->confirmed ? ", confirmed" : "",
		 flow && flow->ended ? ", ended" : "");
}

/* Whether a reset by the server may be passed to the caller. A server that was
 * only offered the flow, or got a probe of it, must not reset it:
 * another server holds the flow or will hold it. */
static bool may_pass_reset_(pl_flow_agent_t *agent, const pl_flow_key_t *key)
{
	flow_t *flow = pl_flow_find_(agent, key);

	if (!flow || flow->confirmed || flow->forwarded_as_known) {
		log_reset_(key, flow, "passed on");
		return true;
	}
	log_reset_(key, flow, "withheld");
	if (flow->state == FLOW_PROBING)
		pl_flow_agent_send_verdict_(agent, flow->entry, key,
					    PL_FLOW_ABSENT, NULL, 0);
	pl_flow_set_state_(agent, flow, FLOW_ABSENT);
	return false;
}

void pl_flow_agent_packet(pl_flow_agent_t *agent, uint8_t *bytes, size_t len)
{
	pl_packet_t packet;
	pl_flow_key_t key;

	if (!agent->params.packets->read(bytes, len, &packet)) {
		pl_counter_add(PL_COUNTER_DROP_MALFORMED, 1);
		return;
	}
	agent->backend_seen = true;
	agent->backend_down = false;
	if (packet.flags & PL_PACKET_BOUNCED) {
		handle_bounced_(agent, &packet, bytes, len);
		return;
	}
	agent->backend_spoke = true;
	key = pl_packet_reply_flow(&packet);
	if ((packet.flags & PL_PACKET_RST) && !may_pass_reset_(agent, &key))
		return;
	update_from_server_(agent, &key, &packet);
	agent->ops->send_to_caller(agent->ctx, &key, bytes, len);
}
