/**
 * @file
 * Messages of agents: what they say of flows, and their load.
 */
#include "private/entry_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/* An agent found that the caller gives up before it can be served. The caller
 * is told so, unless another endpoint may have accepted the flow. */
static void reset_hopeless_(pl_flow_entry_t *entry, cached_flow_t *flow)
{
	const pl_flow_key_t key = flow->node.key;
	const pl_flow_deadlines_t deadlines = { flow->due, flow->expires };

	if (flow->offers_open || pl_flow_entry_last_offer_(flow) != 0)
		return;
	entry->stats.refused++;
	pl_counter_add(PL_COUNTER_FLOWS_REFUSED, 1);
	pl_flow_retries_record_reset_(entry, key.caller_ip, &deadlines);
	pl_flow_table_remove(entry->flows, &flow->node);
	pl_flow_entry_reset_(entry, &key, 0);
}

/* The owner's agent refused an opening packet. It delivers or drops copies, so
 * this one opens another flow, which has no owner yet. */
static void place_other_flow_(pl_flow_entry_t *entry, cached_flow_t *flow,
			      const pl_flow_message_t *message)
{
	char text[PL_FLOW_TEXT_MAX];

	pl_counter_add(PL_COUNTER_FLOWS_REPLACED, 1);
	pl_event(PL_EVENT_FLOW_REPLACED,
		 "%s: its owner refuses to open another flow: %s",
		 pl_flow_format(&message->flow, text),
		 pl_reason_name(message->reason));
	pl_flow_table_remove(entry->flows, &flow->node);
	pl_flow_entry_route_(entry, message->packet, message->packet_len);
}

/* An agent refused an opening packet: offers it to another one. */
static void handle_refused_(pl_flow_entry_t *entry, cached_flow_t *flow,
			    const pl_flow_message_t *message)
{
	pl_packet_t packet;

	/* the answer may come after the caller has opened another flow */
	if (!entry->params.packets->read(message->packet, message->packet_len,
					 &packet) ||
	    !pl_flow_entry_is_of_flow_(flow, &packet))
		return;
	if (flow->owner == message->sender) {
		place_other_flow_(entry, flow, message);
		return;
	}
	pl_flow_entry_rule_out_(flow, message->sender);
	if (flow->owner != 0)
		return;
	/* the caller has given up this attempt; another offer would only occupy
	 * a slot */
	if (pl_flow_entry_now_(entry) - flow->opened >= OPEN_TIMEOUT_MS)
		return;
	if (message->reason == PL_REASON_HOPELESS) {
		reset_hopeless_(entry, flow);
		return;
	}
	entry->stats.placed_again++;
	pl_flow_entry_place_(entry, flow, message->packet, message->packet_len);
}

/* The agent reset the flow: the caller will retry at once. */
static void handle_ended_(pl_flow_entry_t *entry, cached_flow_t *flow)
{
	const pl_flow_deadlines_t late = { 0 };

	pl_flow_retries_record_reset_(entry, flow->node.key.caller_ip, &late);
	pl_flow_table_remove(entry->flows, &flow->node);
}

/* The presumed owner does not own the flow: forwards the packet that it handed
 * back to the next candidate, or starts a lookup. */
static void handle_not_owner_(pl_flow_entry_t *entry, cached_flow_t *flow,
			      const pl_flow_message_t *message)
{
	pl_packet_t packet;
	pl_member_id_t next;
	bool returned = message->packet_len > 0 &&
			entry->params.packets->read(
				message->packet, message->packet_len, &packet);

	/* the caller has gone on to another flow */
	if (returned && !pl_flow_entry_is_of_flow_(flow, &packet))
		return;
	if (flow->owner == message->sender)
		flow->owner = 0;
	pl_flow_entry_rule_out_(flow, message->sender);
	next = pl_flow_entry_last_offer_(flow);
	if (!returned)
		return;
	if (flow->owner != 0)
		pl_flow_entry_forward_(entry, flow, flow->owner,
				       PL_FLOW_OWNER_KNOWN, message->packet,
				       message->packet_len);
	else if (next != 0)
		pl_flow_entry_forward_(entry, flow, next, 0, message->packet,
				       message->packet_len);
	else
		pl_flow_lookup_add_(entry, flow, packet.ack, message->packet,
				    message->packet_len);
}

static void handle_owned_(pl_flow_entry_t *entry, cached_flow_t *flow,
			  const pl_flow_message_t *message)
{
	/* only a lookup can tell whether another agent may own the flow */
	if (message->flags & PL_FLOW_PRESUMED)
		return;
	flow->owner = message->sender;
	pl_flow_entry_cancel_offers_(entry, flow);
	flow->service = message->service;
}

/* Whether the sender belongs to the flow's service, if that is known, or to
 * another service of the route that was offered the flow. */
static bool has_service_of_(const cached_flow_t *flow,
			    const pl_flow_message_t *message)
{
	return flow->service == 0 || flow->service == message->service ||
	       pl_flow_entry_was_offered_(flow, message->sender);
}

static void handle_located_(pl_flow_entry_t *entry,
			    const pl_flow_message_t *message)
{
	for (size_t i = 0; i < message->item_count; i++) {
		const pl_flow_item_t *item = &message->items[i];
		pl_flow_node_t *node =
			pl_flow_table_find(entry->flows, &item->flow);
		const cached_flow_t *flow =
			node ? PL_CONTAINER_OF(node, cached_flow_t, node) :
			       NULL;

		const pl_flow_claim_t claim = {
			.agent = message->sender,
			.service = message->service,
			.verdict = item->verdict,
			.presumed = item->probed_ms > 0,
			.probed_ms = item->probed_ms,
		};

		if (flow && flow->lookup)
			pl_flow_lookup_verdict_(entry, flow->lookup, &claim);
	}
}

/* Whether the verdict says if the agent's server holds the flow. Any service's
 * agent may give such a verdict in a lookup. */
static bool is_lookup_verdict_(pl_flow_verdict_t verdict)
{
	return verdict == PL_FLOW_OWNED || verdict == PL_FLOW_ABSENT ||
	       verdict == PL_FLOW_UNSURE;
}

void pl_flow_entry_message(pl_flow_entry_t *entry,
			   const pl_flow_message_t *message)
{
	const pl_flow_claim_t claim = {
		.agent = message->sender,
		.service = message->service,
		.verdict = message->verdict,
		.presumed = (message->flags & PL_FLOW_PRESUMED) != 0,
	};
	pl_flow_node_t *node;
	cached_flow_t *flow;

	if (message->type != PL_FLOW_VERDICT && message->type != PL_FLOW_LOAD &&
	    message->type != PL_FLOW_LOCATED) {
		pl_counter_add(PL_COUNTER_DROP_MALFORMED, 1);
		return;
	}
	pl_flow_liveness_heard_(entry, message->sender);
	pl_flow_loads_update_(entry, message->sender, &message->load);
	if (message->type == PL_FLOW_LOCATED)
		handle_located_(entry, message);
	if (message->type != PL_FLOW_VERDICT)
		return;
	node = pl_flow_table_find(entry->flows, &message->flow);
	if (!node)
		return;
	flow = PL_CONTAINER_OF(node, cached_flow_t, node);
	if (flow->lookup && is_lookup_verdict_(message->verdict)) {
		pl_flow_lookup_verdict_(entry, flow->lookup, &claim);
		return;
	}
	if (!has_service_of_(flow, message))
		return;
	if (message->verdict == PL_FLOW_ENDED)
		handle_ended_(entry, flow);
	else if (message->verdict == PL_FLOW_REFUSED)
		handle_refused_(entry, flow, message);
	else if (message->verdict == PL_FLOW_OWNED)
		handle_owned_(entry, flow, message);
	else if (message->verdict != PL_FLOW_RESERVED)
		handle_not_owner_(entry, flow, message);
}
