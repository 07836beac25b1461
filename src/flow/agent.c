/**
 * @file
 * Flow agent: messages of entries.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <glib.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/** Interval at which expired flow records are removed. */
#define EXPIRY_INTERVAL_MS 1000

pl_ms_t pl_flow_agent_now_(const pl_flow_agent_t *agent)
{
	return pl_timer_service_now(agent->timers);
}

static void expire_flows_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_flow_agent_t *agent = ctx;

	if (now > agent->params.flow_idle_max_ms)
		pl_flow_table_expire(agent->flows,
				     now - agent->params.flow_idle_max_ms);
	pl_timer_arm(agent->timers, timer, now + EXPIRY_INTERVAL_MS);
}

pl_flow_agent_t *pl_flow_agent_new(const pl_flow_agent_params_t *params,
				   const pl_flow_agent_ops_t *ops, void *ctx,
				   pl_timer_service_t *timers)
{
	pl_flow_agent_t *agent = g_new0(pl_flow_agent_t, 1);

	assert(params->packets && params->service != 0);
	agent->params = *params;
	agent->ops = ops;
	agent->ctx = ctx;
	agent->timers = timers;
	agent->flows = pl_flow_table_new(sizeof(flow_t), params->flows_max,
					 pl_flow_on_release_, agent);
	pl_flow_table_on_evict(agent->flows, pl_flow_on_evict_);
	pl_flow_backend_init_(agent);
	pl_flow_work_init_(agent);
	pl_flow_pace_init_(agent);
	pl_flow_health_init_(agent);
	pl_flow_load_report_init_(agent);
	pl_timer_init(&agent->expiry_timer, expire_flows_, agent);
	pl_timer_arm(timers, &agent->expiry_timer,
		     pl_timer_service_now(timers) + EXPIRY_INTERVAL_MS);
	return agent;
}

void pl_flow_agent_delete(pl_flow_agent_t *agent)
{
	if (!agent)
		return;
	pl_timer_cancel(agent->timers, &agent->expiry_timer);
	pl_timer_cancel(agent->timers, &agent->drop_timer);
	pl_flow_load_report_finish_(agent);
	pl_flow_table_delete(agent->flows);
	g_free(agent);
}

/* Queued work that can still be answered in time counts as work in progress.
 * Late work does not: it only gets the capacity that new work leaves free, so
 * it must not keep entries from sending new work. */
pl_endpoint_load_t pl_flow_agent_load_(const pl_flow_agent_t *agent)
{
	pl_endpoint_load_t load =
		pl_load_snapshot(&agent->load, pl_flow_agent_now_(agent));

	load.busy += (uint32_t)pl_work_queue_in_time(&agent->queue,
						     pl_flow_agent_now_(agent));
	load.waiting = (uint32_t)agent->queue.count;
	pl_flow_pace_add_load_(agent, &load);
	pl_flow_health_add_load_(agent, &load);
	return load;
}

static void send_verdict_(pl_flow_agent_t *agent, pl_member_id_t entry,
			  const pl_flow_key_t *key, pl_flow_verdict_t verdict,
			  pl_reason_t reason, const uint8_t *packet, size_t len)
{
	bool presumed =
		verdict == PL_FLOW_OWNED &&
		pl_flow_probed_ms_(agent, pl_flow_find_(agent, key)) > 0;
	const pl_flow_message_t message = {
		.type = PL_FLOW_VERDICT,
		.sender = agent->params.self,
		.service = agent->params.service,
		.flow = *key,
		.flags = presumed ? PL_FLOW_PRESUMED : 0,
		.verdict = verdict,
		.reason = reason,
		.load = pl_flow_agent_load_(agent),
		.packet = packet,
		.packet_len = len,
	};

	/* 0: only the server has sent packets of the flow to this agent */
	if (entry != 0)
		pl_flow_load_report_send_(agent, entry, &message);
}

void pl_flow_agent_send_verdict_(pl_flow_agent_t *agent, pl_member_id_t entry,
				 const pl_flow_key_t *key,
				 pl_flow_verdict_t verdict,
				 const uint8_t *packet, size_t len)
{
	send_verdict_(agent, entry, key, verdict, PL_REASON_NONE, packet, len);
}

void pl_flow_agent_send_refusal_(pl_flow_agent_t *agent, pl_member_id_t entry,
				 const pl_flow_key_t *key, pl_reason_t reason,
				 const uint8_t *packet, size_t len)
{
	send_verdict_(agent, entry, key, PL_FLOW_REFUSED, reason, packet, len);
}

static pl_flow_verdict_t get_verdict_(const pl_flow_agent_t *agent,
				      const flow_t *flow, uint32_t ack)
{
	pl_flow_verdict_t unknown = pl_flow_backend_knows_all_flows_(agent) ?
					    PL_FLOW_ABSENT :
					    PL_FLOW_UNSURE;

	if (!flow)
		return unknown;
	switch (flow->state) {
	case FLOW_OPEN:
		if (pl_flow_acknowledges_(flow, ack))
			return PL_FLOW_OWNED;
		/* the server holds one flow of these addresses and ports */
		return flow->confirmed ? PL_FLOW_ABSENT : unknown;
	case FLOW_PROBING:
		if (!pl_flow_acknowledges_(flow, ack))
			return unknown;
		/* a server that is not up does not hand packets back */
		return agent->backend_seen ? PL_FLOW_OWNED : PL_FLOW_UNSURE;
	case FLOW_OFFERED:
		/* the answer may be that to a late copy of the opening packet */
		return pl_seq_range_may_reach(&flow->server_seqs, ack) ?
			       PL_FLOW_OWNED :
			       unknown;
	case FLOW_NEW:
		/* the opening packet may be a late copy of a flow that the
		 * server has held since before this agent's start */
		return unknown;
	case FLOW_ABSENT:
		/* the server was asked about this flow, or about another one */
		return pl_flow_acknowledges_(flow, ack) ? PL_FLOW_ABSENT :
							  unknown;
	}
	return unknown;
}

static void hand_back_(pl_flow_agent_t *agent, const pl_flow_message_t *message,
		       pl_flow_verdict_t verdict)
{
	pl_flow_agent_send_verdict_(agent, message->sender, &message->flow,
				    verdict, message->packet,
				    message->packet_len);
}

/* Time after which an answer to the message's request is late. */
static pl_ms_t request_due_(const pl_flow_agent_t *agent,
			    const pl_flow_message_t *message)
{
	return pl_flow_agent_now_(agent) + message->due_ms;
}

/* Handles the opening packet of a flow without a record, or with that of another
 * flow, which it replaces. */
static void admit_flow_(pl_flow_agent_t *agent,
			const pl_flow_message_t *message,
			const pl_packet_t *packet)
{
	bool waits;
	flow_t *flow;

	if (!pl_flow_backend_accepts_(agent)) {
		pl_flow_refuse_(agent, message, PL_REASON_NOT_SERVING);
		return;
	}
	if (!pl_flow_pace_admits_flow_(agent)) {
		pl_flow_pace_refuse_cold_(agent, message);
		return;
	}
	if (!pl_flow_health_admits_(agent, message)) {
		pl_flow_health_refuse_(agent, message);
		return;
	}
	if (!pl_flow_admit_(agent, message, &waits))
		return;
	flow = pl_flow_get_or_add_(agent, &message->flow);
	pl_flow_replace_(agent, flow);
	pl_seq_range_start(&flow->caller_seqs, packet->seq);
	flow->entry = message->sender;
	flow->request_due = request_due_(agent, message);
	agent->stats.accepted++;
	if (waits) {
		pl_flow_pace_count_(agent);
	} else {
		pl_flow_work_reserve_slot_(agent, flow);
		pl_flow_health_slot_reserved_(agent, flow);
	}
	agent->ops->deliver(agent->ctx, message->packet, message->packet_len);
}

/* Whether the opening packet is of the recorded flow: a copy, as callers send
 * until they get an answer. */
static bool is_opening_of_(const flow_t *flow, const pl_packet_t *packet)
{
	return !flow->ended &&
	       pl_seq_range_begins_at(&flow->caller_seqs, packet->seq);
}

static void log_opened_again_(const flow_t *flow, const pl_packet_t *packet)
{
	char text[PL_FLOW_TEXT_MAX];

	pl_counter_add(PL_COUNTER_FLOWS_REPLACED, 1);
	pl_event(PL_EVENT_FLOW_REPLACED,
		 "%s: the caller opens another flow with number %u; the "
		 "recorded one is %s%s, its caller's last number %u",
		 pl_flow_format(&flow->node.key, text), packet->seq,
		 pl_flow_state_names_[flow->state],
		 flow->ended ? " and has ended" : "", flow->caller_seqs.next);
}

static void handle_opening_(pl_flow_agent_t *agent,
			    const pl_flow_message_t *message,
			    const pl_packet_t *packet)
{
	flow_t *flow = pl_flow_find_(agent, &message->flow);

	if (flow && flow->state == FLOW_ABSENT)
		flow = NULL;
	if (flow && !is_opening_of_(flow, packet)) {
		log_opened_again_(flow, packet);
		if (message->flags & PL_FLOW_OWNER_KNOWN) {
			/* the entry places it as any other new flow */
			pl_flow_refuse_(agent, message, PL_REASON_OTHER_FLOW);
			return;
		}
		flow = NULL;
	}
	if (agent->evacuated) {
		pl_flow_evacuate_opening_(agent, flow, message);
		return;
	}
	if (!flow) {
		admit_flow_(agent, message, packet);
		return;
	}
	flow->entry = message->sender;
	agent->ops->deliver(agent->ctx, message->packet, message->packet_len);
}

static void update_from_caller_(pl_flow_agent_t *agent, flow_t *flow,
				const pl_flow_message_t *message,
				const pl_packet_t *packet)
{
	flow->entry = message->sender;
	if (message->flags & PL_FLOW_OWNER_KNOWN)
		flow->entry_keeps_copy = false;
	pl_flow_table_touch(agent->flows, &flow->node,
			    pl_flow_agent_now_(agent));
	if (packet->flags & PL_PACKET_ACK)
		flow->caller_ack = packet->ack;
	if (!(packet->flags & PL_PACKET_RST))
		pl_seq_range_add(&flow->caller_seqs, packet->seq,
				 packet->seq + packet->data_len);
	pl_flow_note_end_(agent, flow, packet, &flow->caller_closed);
}

/* Whether the packet completes a request, so that the server can start to work
 * on it. A packet of the largest size is followed by more of its request. */
static bool completes_request_(const pl_flow_agent_t *agent,
			       const pl_packet_t *packet)
{
	return packet->data_len > 0 &&
	       packet->data_len < agent->params.packets->data_max;
}

/* Records the request that the packet completes. Returns false for a
 * retransmission: a caller repeats what was not acknowledged in time. */
static bool record_request_(flow_t *flow, const pl_packet_t *packet)
{
	uint32_t end = packet->seq + packet->data_len;

	if (flow->request_end_valid && (int32_t)(end - flow->request_end) <= 0)
		return false;
	flow->request_end_valid = true;
	flow->request_end = end;
	return true;
}

/* Handles a packet of a flow without a record when the server may hold flows
 * from before this agent's start: the packet is delivered as a probe, and the
 * server hands it back if it does not hold the flow. */
static void start_probe_(pl_flow_agent_t *agent,
			 const pl_flow_message_t *message,
			 const pl_packet_t *packet)
{
	flow_t *flow = pl_flow_get_or_add_(agent, &message->flow);

	if (!pl_flow_acknowledges_(flow, packet->ack)) {
		flow->server_seqs.known = false;
		flow->probed_at = 0;
	}
	if (packet->ack != PL_PACKET_ACK_NONE)
		pl_seq_range_add(&flow->server_seqs, packet->ack, packet->ack);
	flow->forwarded_as_known = (message->flags & PL_FLOW_OWNER_KNOWN) != 0;
	flow->entry_keeps_copy = true;
	pl_flow_start_probe_(agent, flow);
	update_from_caller_(agent, flow, message, packet);
	/* most of these are retransmissions; neither they nor later copies
	 * of them take a slot */
	if (completes_request_(agent, packet))
		record_request_(flow, packet);
	agent->ops->deliver(agent->ctx, message->packet, message->packet_len);
}

/* Delivers a packet of a flow that the server holds. It is queued if it
 * completes a new request and no slot is free, or if the flow is queued. */
static void deliver_or_enqueue_(pl_flow_agent_t *agent, flow_t *flow,
				const pl_flow_message_t *message,
				const pl_packet_t *packet)
{
	bool begins = completes_request_(agent, packet) &&
		      record_request_(flow, packet) &&
		      (!flow->holds_slot || flow->slot_reserved);
	pl_ms_t due = flow->request_due ? flow->request_due :
					  request_due_(agent, message);
	pl_ms_t expires = pl_flow_expires_(agent, message);

	if (pl_work_is_queued(&flow->work) && (packet->flags & PL_PACKET_RST))
		pl_flow_caller_left_(agent, flow, "with a reset");
	if (begins)
		pl_work_queue_note_arrival(&agent->queue,
					   pl_flow_agent_now_(agent));
	if (pl_work_is_queued(&flow->work)) {
		flow->request_follows = flow->request_follows || begins;
		pl_packet_queue_add(&flow->pending_packets, message->packet,
				    message->packet_len);
		return;
	}
	if (begins && !pl_flow_work_can_start_request_(agent)) {
		/* its reserved slot goes to work that is queued already */
		pl_flow_work_free_slot_(agent, flow);
		pl_packet_queue_add(&flow->pending_packets, message->packet,
				    message->packet_len);
		pl_flow_work_enqueue_(agent, flow, due, expires,
				      message->priority);
		flow->request_follows = false;
		flow->request_due = 0;
		return;
	}
	if (begins) {
		pl_flow_work_start_request_(agent, flow);
		flow->request_due = 0;
	} else if (packet->data_len > 0 && flow->slot_reserved) {
		/* a request of several packets takes its slot once complete */
		pl_flow_work_free_slot_(agent, flow);
	}
	agent->ops->deliver(agent->ctx, message->packet, message->packet_len);
}

static void handle_forward_(pl_flow_agent_t *agent,
			    const pl_flow_message_t *message,
			    const pl_packet_t *packet)
{
	flow_t *flow = pl_flow_find_(agent, &message->flow);
	pl_flow_verdict_t verdict = get_verdict_(agent, flow, packet->ack);
	bool may_probe =
		(message->flags & (PL_FLOW_OWNER_KNOWN | PL_FLOW_PROBE)) != 0;

	if (verdict == PL_FLOW_UNSURE && may_probe) {
		start_probe_(agent, message, packet);
		return;
	}
	if (verdict != PL_FLOW_OWNED) {
		hand_back_(agent, message, verdict);
		return;
	}
	if (flow->state == FLOW_OFFERED) {
		pl_flow_set_state_(agent, flow, FLOW_OPEN);
		pl_seq_range_add(&flow->server_seqs, packet->ack, packet->ack);
		flow->confirmed = true;
		flow->probed_at = 0;
		pl_flow_work_flow_opened_(agent, flow);
	}
	if (!(message->flags & PL_FLOW_OWNER_KNOWN) && flow->state == FLOW_OPEN)
		pl_flow_agent_send_verdict_(agent, message->sender,
					    &message->flow, PL_FLOW_OWNED, NULL,
					    0);
	update_from_caller_(agent, flow, message, packet);
	if (!pl_flow_drop_copy_(flow, packet))
		deliver_or_enqueue_(agent, flow, message, packet);
}

static void handle_locate_(pl_flow_agent_t *agent,
			   const pl_flow_message_t *message)
{
	pl_flow_item_t items[PL_FLOW_ITEMS_MAX];
	const pl_flow_message_t answer = {
		.type = PL_FLOW_LOCATED,
		.sender = agent->params.self,
		.service = agent->params.service,
		.load = pl_flow_agent_load_(agent),
		.items = items,
		.item_count = message->item_count,
	};

	for (size_t i = 0; i < message->item_count; i++) {
		const pl_flow_item_t *asked = &message->items[i];
		const flow_t *flow = pl_flow_find_(agent, &asked->flow);

		items[i].flow = asked->flow;
		items[i].verdict = get_verdict_(agent, flow, asked->ack);
		/* probes of another flow do not count for this one */
		items[i].probed_ms =
			flow && pl_flow_acknowledges_(flow, asked->ack) ?
				pl_flow_probed_ms_(agent, flow) :
				0;
	}
	pl_flow_load_report_send_(agent, message->sender, &answer);
}

/* Another server holds the flow: frees its slot or its place in the queue. */
static void handle_cancel_(pl_flow_agent_t *agent,
			   const pl_flow_message_t *message)
{
	flow_t *flow = pl_flow_find_(agent, &message->flow);

	if (!flow || flow->state == FLOW_OPEN || flow->state == FLOW_PROBING)
		return;
	pl_flow_work_free_slot_(agent, flow);
}

void pl_flow_agent_message(pl_flow_agent_t *agent,
			   const pl_flow_message_t *message)
{
	pl_packet_t packet;

	/* a query carries no packet, so it needs no service: the sender may
	 * know this agent from the roster only */
	if (message->service != agent->params.service &&
	    !(message->type == PL_FLOW_LOCATE && message->service == 0)) {
		pl_counter_add(PL_COUNTER_DROP_MISMATCH, 1);
		pl_event(PL_EVENT_SERVICE_MISMATCH,
			 "message for service %" G_GINT64_MODIFIER
			 "x, which this agent does not serve",
			 message->service);
		return;
	}
	if (message->type == PL_FLOW_LOCATE) {
		handle_locate_(agent, message);
		return;
	}
	if (message->type == PL_FLOW_CANCEL) {
		handle_cancel_(agent, message);
		return;
	}
	if (message->type != PL_FLOW_FORWARD ||
	    !agent->params.packets->read(message->packet, message->packet_len,
					 &packet)) {
		pl_counter_add(PL_COUNTER_DROP_MALFORMED, 1);
		return;
	}
	/* load is reported to entries that may place flows at this agent; in
	 * other data centres only to those that do */
	if (pl_packet_opens(&packet) || !(message->flags & PL_FLOW_REMOTE))
		pl_flow_load_report_add_entry_(agent, message->sender);
	if (pl_packet_opens(&packet))
		handle_opening_(agent, message, &packet);
	else
		handle_forward_(agent, message, &packet);
}

static size_t count_open_flows_(const pl_flow_agent_t *agent)
{
	size_t count = 0;

	pl_list_for_each(link, pl_flow_table_nodes(agent->flows)) {
		const flow_t *flow = PL_CONTAINER_OF(
			PL_CONTAINER_OF(link, pl_flow_node_t, link), flow_t,
			node);

		count += flow->state == FLOW_OPEN && !flow->closed;
	}
	return count;
}

void pl_flow_agent_stats(const pl_flow_agent_t *agent,
			 pl_flow_agent_stats_t *stats)
{
	*stats = agent->stats;
	stats->flows = count_open_flows_(agent);
	stats->load = pl_flow_agent_load_(agent);
	stats->evacuated = agent->evacuated;
	pl_flow_pace_add_stats_(agent, stats);
	stats->health = stats->load.health;
	stats->health_cause = agent->health.cause;
	stats->serving = pl_flow_backend_accepts_(agent);
	stats->flows_complete = pl_flow_backend_knows_all_flows_(agent);
	stats->backend_down = agent->backend_down;
	stats->backend_gone = pl_flow_backend_is_gone_(agent);
	stats->backend_silent = pl_flow_backend_is_silent_(agent);
	stats->backend_draining = pl_flow_backend_is_draining_(agent);
}
