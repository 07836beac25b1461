/**
 * @file
 * Flow records of the agent and their state changes.
 */
#include "private/agent_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/** Duration of a probe. A backend server at once returns packets of flows that
 * it does not hold. */
#define PROBE_TIMEOUT_MS 15

const char *const pl_flow_state_names_[] = {
	[FLOW_NEW] = "new",	  [FLOW_OFFERED] = "offered",
	[FLOW_OPEN] = "open",	  [FLOW_PROBING] = "probing",
	[FLOW_ABSENT] = "absent",
};

/* A live server that did not hand the probe back is presumed to hold the flow:
 * this process or the server may just be late. If no packet or report of the
 * server has arrived yet, the probe stays open until the server answers. */
static void on_probe_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	const pl_flow_agent_t *agent = ctx;
	flow_t *flow = PL_CONTAINER_OF(timer, flow_t, probe_timer);

	(void)now;
	if (agent->backend_seen)
		pl_flow_probe_succeeded_(ctx, flow);
}

flow_t *pl_flow_find_(const pl_flow_agent_t *agent, const pl_flow_key_t *key)
{
	pl_flow_node_t *node = pl_flow_table_find(agent->flows, key);

	return node ? PL_CONTAINER_OF(node, flow_t, node) : NULL;
}

flow_t *pl_flow_get_or_add_(pl_flow_agent_t *agent, const pl_flow_key_t *key)
{
	pl_flow_node_t *node =
		pl_flow_table_get(agent->flows, key, pl_flow_agent_now_(agent));
	flow_t *flow = PL_CONTAINER_OF(node, flow_t, node);

	if (!flow->probe_timer.fire) {
		pl_timer_init(&flow->probe_timer, on_probe_timer_, agent);
		pl_flow_work_flow_init_(agent, flow);
	}
	return flow;
}

bool pl_flow_acknowledges_(const flow_t *flow, uint32_t ack)
{
	if (ack == PL_PACKET_ACK_NONE)
		return !flow->ended;
	return pl_seq_range_contains(&flow->server_seqs, ack);
}

void pl_flow_set_state_(pl_flow_agent_t *agent, flow_t *flow,
			flow_state_t state)
{
	if (state != FLOW_PROBING)
		pl_timer_cancel(agent->timers, &flow->probe_timer);
	if (state == FLOW_ABSENT)
		pl_flow_work_discard_(agent, flow);
	pl_flow_table_set_expendable(agent->flows, &flow->node,
				     state == FLOW_ABSENT);
	flow->state = state;
}

void pl_flow_start_probe_(pl_flow_agent_t *agent, flow_t *flow)
{
	agent->stats.probes++;
	if (flow->probed_at == 0)
		flow->probed_at = pl_flow_agent_now_(agent);
	pl_flow_set_state_(agent, flow, FLOW_PROBING);
	pl_timer_arm(agent->timers, &flow->probe_timer,
		     pl_flow_agent_now_(agent) + PROBE_TIMEOUT_MS);
}

void pl_flow_probe_succeeded_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_flow_set_state_(agent, flow, FLOW_OPEN);
	pl_flow_agent_send_verdict_(agent, flow->entry, &flow->node.key,
				    PL_FLOW_OWNED, NULL, 0);
}

void pl_flow_confirm_(pl_flow_agent_t *agent, flow_t *flow)
{
	bool probed = flow->probed_at != 0;

	flow->confirmed = true;
	flow->probed_at = 0;
	if (probed)
		pl_flow_agent_send_verdict_(agent, flow->entry, &flow->node.key,
					    PL_FLOW_OWNED, NULL, 0);
}

uint32_t pl_flow_probed_ms_(const pl_flow_agent_t *agent, const flow_t *flow)
{
	if (!flow || flow->probed_at == 0)
		return 0;
	return (uint32_t)MAX(pl_flow_agent_now_(agent) - flow->probed_at, 1);
}

void pl_flow_replace_(pl_flow_agent_t *agent, flow_t *flow)
{
	if (pl_work_is_queued(&flow->work))
		pl_flow_caller_left_(agent, flow, "for another flow");
	pl_flow_work_discard_(agent, flow);
	pl_flow_set_state_(agent, flow, FLOW_NEW);
	flow->held_at = pl_flow_agent_now_(agent);
	flow->server_seqs.known = false;
	flow->caller_seqs.known = false;
	flow->request_end_valid = false;
	flow->request_expired = false;
	flow->request_follows = false;
	flow->request_due = 0;
	flow->confirmed = false;
	flow->probed_at = 0;
	flow->forwarded_as_known = false;
	flow->entry_keeps_copy = false;
	flow->closed = false;
	flow->ended = false;
	flow->caller_closed = false;
	flow->server_closed = false;
}

void pl_flow_note_end_(pl_flow_agent_t *agent, flow_t *flow,
		       const pl_packet_t *packet, bool *closed)
{
	bool reset = (packet->flags & PL_PACKET_RST) != 0;

	if (packet->flags & PL_PACKET_FIN)
		*closed = true;
	if (reset || *closed)
		flow->closed = true;
	/* the server may still answer a caller that has only sent its FIN */
	if (reset || (flow->caller_closed && flow->server_closed))
		flow->ended = true;
	if (flow->ended)
		pl_flow_table_set_expendable(agent->flows, &flow->node, true);
}

void pl_flow_on_evict_(void *ctx, pl_flow_node_t *node)
{
	pl_flow_agent_t *agent = ctx;

	(void)node;
	if (pl_flow_backend_knows_all_flows_(agent))
		pl_event(
			PL_EVENT_FLOWS_EVICTED,
			"%zu records, those of flows that may be open from now "
			"on",
			pl_flow_table_count(agent->flows));
	agent->evicted_at = pl_flow_agent_now_(agent);
	agent->stats.evicted++;
	pl_counter_add(PL_COUNTER_FLOWS_EVICTED, 1);
}

void pl_flow_on_release_(void *ctx, pl_flow_node_t *node)
{
	pl_flow_agent_t *agent = ctx;
	flow_t *flow = PL_CONTAINER_OF(node, flow_t, node);

	pl_timer_cancel(agent->timers, &flow->probe_timer);
	pl_flow_work_discard_(agent, flow);
}
