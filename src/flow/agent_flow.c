/**
 * @file
 * Flow records of the agent and their state changes.
 */
#include "private/agent_private.h"

/** Duration of a probe. A backend server at once returns packets of flows that
 * it does not hold. */
#define PROBE_TIMEOUT_MS 15

/* A live server that did not hand the probe back holds the flow. If no packet
 * or report of the server has arrived yet, the probe stays open until the
 * server answers. */
static void on_probe_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	const pl_flow_agent_t *agent = ctx;
	flow_t *flow = PL_CONTAINER_OF(timer, flow_t, probe_timer);

	(void)now;
	if (agent->backend_seen)
		pl_flow_probe_succeeded_(ctx, flow);
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

void pl_flow_set_state_(pl_flow_agent_t *agent, flow_t *flow,
			flow_state_t state)
{
	if (state != FLOW_PROBING)
		pl_timer_cancel(agent->timers, &flow->probe_timer);
	if (state == FLOW_ABSENT)
		pl_flow_work_discard_(agent, flow);
	flow->state = state;
}

void pl_flow_start_probe_(pl_flow_agent_t *agent, flow_t *flow)
{
	agent->stats.probes++;
	flow->state = FLOW_PROBING;
	pl_timer_arm(agent->timers, &flow->probe_timer,
		     pl_flow_agent_now_(agent) + PROBE_TIMEOUT_MS);
}

void pl_flow_probe_succeeded_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_flow_set_state_(agent, flow, FLOW_OPEN);
	pl_flow_agent_send_verdict_(agent, flow->entry, &flow->node.key,
				    PL_FLOW_OWNED, NULL, 0);
}

void pl_flow_on_release_(void *ctx, pl_flow_node_t *node)
{
	pl_flow_agent_t *agent = ctx;
	flow_t *flow = PL_CONTAINER_OF(node, flow_t, node);

	pl_timer_cancel(agent->timers, &flow->probe_timer);
	pl_flow_work_discard_(agent, flow);
}
