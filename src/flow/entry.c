/**
 * @file
 * Packets from callers, and the flow cache.
 */
#include "private/entry_private.h"

#include <assert.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <string.h>

/** Interval of the sweep that expires old records. */
#define SWEEP_INTERVAL_MS 1000
#define RESET_BYTES_MAX 64
#define BITS_PER_BYTE 8
/** Latency goal if the route sets none; later answers are worth less. */
#define GOAL_DEFAULT_MS 200
/** Callers retransmit an opening packet after these times. */
#define COPY_1_AFTER_MS 200
#define COPY_2_AFTER_MS 600

pl_ms_t pl_flow_entry_now_(const pl_flow_entry_t *entry)
{
	return pl_timer_service_now(entry->timers);
}

static void on_flow_release_(void *ctx, pl_flow_node_t *node)
{
	pl_flow_entry_t *entry = ctx;
	const cached_flow_t *flow = PL_CONTAINER_OF(node, cached_flow_t, node);

	if (flow->lookup)
		pl_flow_lookup_end_(entry, flow->lookup);
}

static void on_sweep_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_flow_entry_t *entry = ctx;

	if (now > entry->params.flow_idle_max_ms)
		pl_flow_table_expire(entry->flows,
				     now - entry->params.flow_idle_max_ms);
	pl_flow_retries_expire_(entry);
	pl_flow_liveness_expire_(entry);
	pl_timer_arm(entry->timers, timer, now + SWEEP_INTERVAL_MS);
}

pl_flow_entry_t *pl_flow_entry_new(const pl_flow_entry_params_t *params,
				   const pl_flow_entry_ops_t *ops, void *ctx,
				   pl_timer_service_t *timers)
{
	pl_flow_entry_t *entry = g_new0(pl_flow_entry_t, 1);

	assert(params->packets && params->placement);
	entry->params = *params;
	entry->ops = ops;
	entry->ctx = ctx;
	entry->timers = timers;
	pl_list_init(&entry->lookups);
	entry->flows =
		pl_flow_table_new(sizeof(cached_flow_t), params->flows_max,
				  on_flow_release_, entry);
	pl_flow_loads_init_(entry);
	pl_flow_split_init_(entry);
	pl_flow_ejected_init_(entry);
	pl_flow_roster_init_(entry);
	pl_flow_liveness_init_(entry);
	pl_flow_retries_init_(entry);
	pl_flow_hold_init_(entry);
	pl_flow_evacuate_init_(entry);
	pl_flow_query_init_(entry);
	pl_timer_init(&entry->sweep_timer, on_sweep_timer_, entry);
	pl_timer_arm(timers, &entry->sweep_timer,
		     pl_timer_service_now(timers) + SWEEP_INTERVAL_MS);
	return entry;
}

void pl_flow_entry_delete(pl_flow_entry_t *entry)
{
	if (!entry)
		return;
	pl_timer_cancel(entry->timers, &entry->sweep_timer);
	pl_flow_hold_finish_(entry);
	pl_flow_evacuate_finish_(entry);
	pl_timer_cancel(entry->timers, &entry->query_timer);
	pl_flow_table_delete(entry->flows);
	g_hash_table_destroy(entry->loads);
	pl_flow_split_finish_(entry);
	pl_flow_ejected_finish_(entry);
	pl_flow_roster_finish_(entry);
	pl_flow_liveness_finish_(entry);
	g_hash_table_destroy(entry->retries);
	if (entry->routing)
		pl_routing_put(entry->routing);
	g_free(entry);
}

void pl_flow_entry_set_routing(pl_flow_entry_t *entry, pl_routing_t *routing)
{
	pl_routing_get(routing);
	if (entry->routing)
		pl_routing_put(entry->routing);
	entry->routing = routing;
	pl_flow_evacuate_routing_changed_(entry);
	pl_flow_split_routing_changed_(entry);
	pl_flow_ejected_routing_changed_(entry);
	pl_flow_liveness_routing_changed_(entry);
	pl_flow_lookup_reroute_(entry);
	pl_flow_query_new_agents_(entry);
	pl_flow_hold_retry_(entry);
}

/* Time left until the deadline of the request. Once the flow's owner is known,
 * each request's deadline counts from the request's own first packet. */
static uint32_t due_ms_(const pl_flow_entry_t *entry, const cached_flow_t *flow)
{
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (!flow->routed)
		return GOAL_DEFAULT_MS;
	if (flow->owner != 0)
		return flow->goal_ms;
	return flow->due > now ? (uint32_t)(flow->due - now) : 0;
}

/* Time left until the caller of the request gives up; 0: not known. */
static uint32_t timeout_ms_(const pl_flow_entry_t *entry,
			    const cached_flow_t *flow)
{
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (flow->owner != 0 || flow->expires == 0)
		return flow->timeout_ms;
	return flow->expires > now ? (uint32_t)(flow->expires - now) : 1;
}

static bool is_remote_(const pl_flow_entry_t *entry, pl_member_id_t agent)
{
	const pl_endpoint_t *endpoint =
		pl_routing_endpoint(entry->routing, agent);

	return endpoint && endpoint->datacentre != entry->params.datacentre;
}

static void forward_(pl_flow_entry_t *entry, const cached_flow_t *flow,
		     pl_member_id_t agent, pl_service_id_t service,
		     unsigned int flags, const uint8_t *bytes, size_t len)
{
	const pl_flow_message_t message = {
		.type = PL_FLOW_FORWARD,
		.sender = entry->params.self,
		.service = service,
		.flow = flow->node.key,
		.flags =
			flags | (is_remote_(entry, agent) ? PL_FLOW_REMOTE : 0),
		.due_ms = due_ms_(entry, flow),
		.priority = flow->priority,
		.timeout_ms = timeout_ms_(entry, flow),
		.packet = bytes,
		.packet_len = len,
	};

	entry->ops->send(entry->ctx, agent, &message);
}

pl_service_id_t pl_flow_entry_service_of_(const pl_flow_entry_t *entry,
					  const cached_flow_t *flow,
					  pl_member_id_t agent)
{
	const pl_endpoint_t *endpoint = NULL;

	/* a flow may have been offered to several services of its route */
	if (agent != flow->owner)
		endpoint = pl_routing_endpoint(entry->routing, agent);
	return endpoint ? endpoint->service : flow->service;
}

void pl_flow_entry_forward_(pl_flow_entry_t *entry, const cached_flow_t *flow,
			    pl_member_id_t agent, unsigned int flags,
			    const uint8_t *bytes, size_t len)
{
	forward_(entry, flow, agent,
		 pl_flow_entry_service_of_(entry, flow, agent), flags, bytes,
		 len);
}

void pl_flow_entry_forward_probe_(pl_flow_entry_t *entry,
				  const cached_flow_t *flow,
				  const agent_query_t *query,
				  const uint8_t *bytes, size_t len)
{
	forward_(entry, flow, query->agent, query->service, PL_FLOW_PROBE,
		 bytes, len);
}

void pl_flow_entry_reset_(pl_flow_entry_t *entry, const pl_flow_key_t *key,
			  uint32_t seq)
{
	uint8_t bytes[RESET_BYTES_MAX];
	size_t len =
		entry->params.packets->reset(key, seq, bytes, sizeof(bytes));

	entry->ops->send_to_caller(entry->ctx, key, bytes, len);
}

pl_addr_t pl_flow_entry_service_addr_(const pl_flow_key_t *key)
{
	pl_addr_t addr = { .port = key->service_port, .family = PL_ADDR_IPV4 };

	for (size_t i = 0; i < sizeof(key->service_ip); i++)
		addr.ip[i] = (uint8_t)(key->service_ip >>
				       (BITS_PER_BYTE *
					(sizeof(key->service_ip) - 1 - i)));
	return addr;
}

const pl_route_service_t *pl_flow_entry_route_of_(const pl_flow_entry_t *entry,
						  const pl_flow_key_t *key)
{
	const pl_addr_t addr = pl_flow_entry_service_addr_(key);

	return pl_routing_by_address(entry->routing, &addr);
}

size_t pl_flow_entry_shares_(const pl_flow_entry_t *entry,
			     const pl_flow_key_t *key,
			     pl_route_share_t shares[PL_ROUTE_SHARES_MAX])
{
	const pl_addr_t addr = pl_flow_entry_service_addr_(key);

	return pl_routing_shares(entry->routing, &addr, shares);
}

static void set_route_(const pl_flow_entry_t *entry, cached_flow_t *flow)
{
	const pl_addr_t addr = pl_flow_entry_service_addr_(&flow->node.key);
	const pl_route_policy_t *route =
		pl_routing_route(entry->routing, &addr);

	flow->goal_ms =
		route && route->goal_ms ? route->goal_ms : GOAL_DEFAULT_MS;
	flow->timeout_ms = route ? route->timeout_ms : 0;
	flow->priority = route ? route->priority : 0;
	flow->due = pl_flow_entry_now_(entry) + flow->goal_ms;
	flow->routed = true;
}

/* Time since the caller sent the opening packet first, judging by the
 * retransmission number @p copy. */
static pl_ms_t copy_age_ms_(uint32_t copy)
{
	if (copy == 0)
		return 0;
	return copy == 1 ? COPY_1_AFTER_MS : COPY_2_AFTER_MS;
}

/* Sets the deadlines of a flow from its opening packet. Those of a retry after
 * a reset are the deadlines of the attempt before. */
static void set_due_(pl_flow_entry_t *entry, cached_flow_t *flow, uint32_t copy)
{
	pl_ms_t now = pl_flow_entry_now_(entry);
	pl_flow_deadlines_t deadlines = {
		.due = now + flow->goal_ms -
		       MIN(copy_age_ms_(copy), flow->goal_ms),
	};
	bool first = flow->opened == 0;

	/* other entries had the earlier copies; their endpoints may accept */
	if (first && copy > 0)
		flow->offers_open = true;
	/* a held packet that is routed again is not a new attempt */
	if (first || (copy == 0 && entry->retry_held_since == 0 &&
		      now - flow->opened >= OPEN_TIMEOUT_MS)) {
		flow->opened = now - MIN(copy_age_ms_(copy), now);
		flow->expires = 0;
	}
	if (flow->expires != 0)
		deadlines.expires = flow->expires;
	else if (flow->timeout_ms != 0)
		deadlines.expires = flow->opened + flow->timeout_ms;
	if (copy == 0)
		pl_flow_retries_consume_(entry, flow->node.key.caller_ip,
					 &deadlines);
	flow->due = MIN(flow->due, deadlines.due);
	flow->expires = deadlines.expires;
}

/* Returns the flow's record, created if needed; @p routed is false without a
 * configuration. */
static cached_flow_t *get_flow_(pl_flow_entry_t *entry,
				const pl_flow_key_t *key, bool routed)
{
	pl_flow_node_t *node =
		pl_flow_table_get(entry->flows, key, pl_flow_entry_now_(entry));
	cached_flow_t *flow = PL_CONTAINER_OF(node, cached_flow_t, node);

	if (routed && !flow->routed)
		set_route_(entry, flow);
	return flow;
}

/* Rejects a new flow of a route whose services all have the weight 0. The packet
 * is dropped instead if a server may have accepted the flow before the weights
 * changed. */
static void reject_unweighted_(pl_flow_entry_t *entry, cached_flow_t *flow,
			       uint32_t copy)
{
	const pl_flow_key_t key = flow->node.key;

	entry->stats.no_route++;
	pl_counter_add(PL_COUNTER_DROP_NO_SERVICE, 1);
	if (copy != 0 || pl_flow_entry_last_offer_(flow) != 0)
		return;
	pl_flow_table_remove(entry->flows, &flow->node);
	pl_flow_entry_reset_(entry, &key, copy);
}

bool pl_flow_entry_is_rerouted_(const pl_flow_entry_t *entry,
				const cached_flow_t *flow)
{
	return flow->service != 0 &&
	       !pl_flow_split_names_(entry, &flow->node.key, flow->service);
}

pl_flow_opening_t pl_flow_entry_opening_(const pl_flow_entry_t *entry,
					 const cached_flow_t *flow)
{
	if (flow->owner != 0)
		return OPENING_OWNED;
	return pl_flow_split_accepts_(entry, &flow->node.key) ?
		       OPENING_PLACE :
		       OPENING_UNWEIGHTED;
}

static void log_replaced_(const cached_flow_t *flow, const pl_packet_t *packet)
{
	char text[PL_FLOW_TEXT_MAX];

	pl_counter_add(PL_COUNTER_FLOWS_REPLACED, 1);
	pl_event(PL_EVENT_FLOW_REPLACED,
		 "%s: %s with number %u, acknowledgement %u; the last ones of "
		 "the cached flow were %u and %u",
		 pl_flow_format(&flow->node.key, text),
		 pl_packet_opens(packet) ? "opening packet" : "packet",
		 packet->seq, packet->ack, flow->caller_seqs.next,
		 flow->server_seqs.next);
}

static bool may_reach_(const pl_seq_range_t *range, uint32_t seq)
{
	return !range->known || pl_seq_range_may_reach(range, seq);
}

bool pl_flow_entry_is_of_flow_(const cached_flow_t *flow,
			       const pl_packet_t *packet)
{
	/* the number of a reset may be any */
	if (packet->flags & PL_PACKET_RST)
		return true;
	if (pl_packet_opens(packet))
		return !flow->caller_seqs.known ||
		       pl_seq_range_begins_at(&flow->caller_seqs, packet->seq);
	return may_reach_(&flow->caller_seqs, packet->seq) &&
	       (packet->ack == PL_PACKET_ACK_NONE ||
		may_reach_(&flow->server_seqs, packet->ack));
}

static void note_numbers_(cached_flow_t *flow, const pl_packet_t *packet)
{
	if (packet->flags & PL_PACKET_RST)
		return;
	pl_seq_range_add(&flow->caller_seqs, packet->seq,
			 packet->seq + packet->data_len);
	if (packet->ack != PL_PACKET_ACK_NONE)
		pl_seq_range_add(&flow->server_seqs, packet->ack, packet->ack);
}

/* Returns the record of the packet's flow, created if needed. The owner and the
 * offers of another flow do not count for it. */
static cached_flow_t *get_flow_of_(pl_flow_entry_t *entry,
				   const pl_flow_key_t *key, bool routed,
				   const pl_packet_t *packet)
{
	cached_flow_t *flow = get_flow_(entry, key, routed);

	if (pl_flow_entry_is_of_flow_(flow, packet))
		return flow;
	log_replaced_(flow, packet);
	pl_flow_table_remove(entry->flows, &flow->node);
	return get_flow_(entry, key, routed);
}

/* Handles an opening packet or its retransmission. A retransmission goes to
 * another endpoint, because the first one may be dead. */
static void handle_opening_(pl_flow_entry_t *entry, const pl_flow_key_t *key,
			    const pl_packet_t *packet, const uint8_t *bytes,
			    size_t len)
{
	cached_flow_t *flow = get_flow_of_(entry, key, true, packet);
	uint32_t copy = packet->ack;
	pl_flow_opening_t step;

	if (pl_flow_entry_is_rerouted_(entry, flow)) {
		/* the route now belongs to other services */
		pl_flow_table_remove(entry->flows, &flow->node);
		flow = get_flow_(entry, key, true);
	}
	if (!flow->caller_seqs.known)
		pl_seq_range_start(&flow->caller_seqs, packet->seq);
	step = pl_flow_entry_opening_(entry, flow);
	if (step == OPENING_UNWEIGHTED) {
		reject_unweighted_(entry, flow, copy);
		return;
	}
	if (flow->offered_count == 0)
		set_due_(entry, flow, copy);
	if (step == OPENING_OWNED)
		pl_flow_entry_forward_(entry, flow, flow->owner,
				       PL_FLOW_OWNER_KNOWN, bytes, len);
	else
		pl_flow_entry_place_(entry, flow, bytes, len);
}

/* Handles a packet of an open flow. The flow may have been opened under an
 * earlier configuration, which sent it to any service; only its owner's agent
 * knows which. */
static void handle_established_(pl_flow_entry_t *entry,
				const pl_flow_key_t *key, bool routed,
				const pl_packet_t *packet, const uint8_t *bytes,
				size_t len)
{
	cached_flow_t *flow = get_flow_of_(entry, key, routed, packet);
	pl_member_id_t offer = pl_flow_entry_last_offer_(flow);

	note_numbers_(flow, packet);
	if (flow->owner != 0 &&
	    !pl_flow_liveness_owner_lost_(entry, flow->owner)) {
		entry->stats.cache_hits++;
		pl_flow_entry_forward_(entry, flow, flow->owner,
				       PL_FLOW_OWNER_KNOWN, bytes, len);
	} else if (!flow->lookup && flow->owner == 0 && offer != 0) {
		/* the caller answers one of the endpoints that were offered the
		 * flow; if that is not @c offer, the agent of @c offer hands
		 * the packet back */
		pl_flow_entry_forward_(entry, flow, offer, 0, bytes, len);
	} else {
		pl_flow_lookup_add_(entry, flow, packet->ack, bytes, len);
	}
}

/* Drops a packet to an address without a service and resets the flow. */
static void reject_unrouted_(pl_flow_entry_t *entry, const pl_flow_key_t *key,
			     const pl_packet_t *packet)
{
	entry->stats.no_route++;
	pl_counter_add(PL_COUNTER_DROP_NO_SERVICE, 1);
	if (!(packet->flags & PL_PACKET_RST))
		pl_flow_entry_reset_(entry, key, packet->ack);
}

bool pl_flow_entry_is_configured_(const pl_flow_entry_t *entry)
{
	return entry->routing && pl_routing_revision(entry->routing) != 0;
}

void pl_flow_entry_packet(pl_flow_entry_t *entry, const uint8_t *bytes,
			  size_t len)
{
	entry->stats.packets_received++;
	pl_flow_entry_route_(entry, bytes, len);
}

void pl_flow_entry_route_(pl_flow_entry_t *entry, const uint8_t *bytes,
			  size_t len)
{
	const pl_route_service_t *service;
	bool configured = pl_flow_entry_is_configured_(entry);
	pl_packet_t packet;
	pl_flow_key_t key;

	if (!entry->params.packets->read(bytes, len, &packet)) {
		pl_counter_add(PL_COUNTER_DROP_MALFORMED, 1);
		return;
	}
	if (!entry->routing || (!configured && pl_packet_opens(&packet))) {
		pl_flow_hold_add_(entry, bytes, len);
		return;
	}
	key = pl_packet_flow(&packet);
	service = pl_flow_entry_route_of_(entry, &key);
	if (configured && !service)
		reject_unrouted_(entry, &key, &packet);
	else if (pl_packet_opens(&packet))
		handle_opening_(entry, &key, &packet, bytes, len);
	else
		handle_established_(entry, &key, service != NULL, &packet,
				    bytes, len);
}

void pl_flow_entry_stats(const pl_flow_entry_t *entry,
			 pl_flow_entry_stats_t *stats)
{
	*stats = entry->stats;
	stats->flows = pl_flow_table_count(entry->flows);
}
