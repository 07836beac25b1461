/**
 * @file
 * Evacuation of the agent's data centre: the agent is the gate for opening
 * packets of entries that have not heard of it yet.
 */
#include "private/agent_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/* Hands an opening packet back to its entry, which offers it elsewhere. */
static void refuse_(pl_flow_agent_t *agent, pl_member_id_t entry,
		    const pl_flow_key_t *key, const uint8_t *packet, size_t len)
{
	const pl_flow_message_t message = {
		.type = PL_FLOW_VERDICT,
		.sender = agent->params.self,
		.service = agent->params.service,
		.flow = *key,
		.verdict = PL_FLOW_REFUSED,
		.reason = PL_REASON_EVACUATED,
		.load = pl_flow_agent_load_(agent),
		.packet = packet,
		.packet_len = len,
	};

	agent->stats.refused++;
	agent->stats.evacuated_refused++;
	pl_counter_add(PL_COUNTER_FLOWS_HANDED_BACK, 1);
	pl_counter_add(PL_COUNTER_FLOWS_EVACUATED, 1);
	pl_flow_load_report_send_(agent, entry, &message);
}

void pl_flow_evacuate_opening_(pl_flow_agent_t *agent, const flow_t *flow,
			       const pl_flow_message_t *message)
{
	bool held = flow && !flow->closed &&
		    (flow->state == FLOW_OPEN || flow->state == FLOW_PROBING);

	/* a late copy of the packet that opened a flow; another server must not
	 * get it */
	if (held)
		return;
	refuse_(agent, message->sender, &message->flow, message->packet,
		message->packet_len);
}

void pl_flow_agent_set_evacuated(pl_flow_agent_t *agent, bool evacuated)
{
	if (agent->evacuated == evacuated)
		return;
	agent->evacuated = evacuated;
	if (evacuated)
		return;
	/* what was measured before says little of a server that got no work */
	agent->request_ms = 0;
	pl_flow_pace_returned_(agent);
}
