/**
 * @file
 * Life of one flow at its agent.
 */
#include "private/agent_private.h"

/** A backend server hands back at once what it does not hold. */
#define TRIAL_MS 15

/* A packet that does not come back from a server that lives is its own. Of a
 * server that gave no sign of life yet, only an answer tells. */
static void trial_over_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	const pl_flow_agent_t *agent = ctx;
	flow_t *flow = PL_CONTAINER_OF(timer, flow_t, trial);

	(void)now;
	if (agent->heard)
		pl_flow_trial_done_(ctx, flow);
}

flow_t *pl_flow_get_(pl_flow_agent_t *agent, const pl_flow_key_t *key)
{
	pl_flow_node_t *node =
		pl_flow_table_get(agent->flows, key, pl_flow_agent_now_(agent));
	flow_t *flow = PL_CONTAINER_OF(node, flow_t, node);

	if (!flow->trial.fire) {
		pl_timer_init(&flow->trial, trial_over_, agent);
		pl_flow_work_flow_init_(agent, flow);
	}
	return flow;
}

void pl_flow_set_state_(pl_flow_agent_t *agent, flow_t *flow,
			flow_state_t state)
{
	if (state != FLOW_TRIAL)
		pl_timer_cancel(agent->timers, &flow->trial);
	if (state == FLOW_ABSENT)
		pl_flow_work_forget_(agent, flow);
	flow->state = state;
}

void pl_flow_start_trial_(pl_flow_agent_t *agent, flow_t *flow)
{
	agent->stats.trials++;
	flow->state = FLOW_TRIAL;
	pl_timer_arm(agent->timers, &flow->trial,
		     pl_flow_agent_now_(agent) + TRIAL_MS);
}

void pl_flow_trial_done_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_flow_set_state_(agent, flow, FLOW_OPEN);
	pl_flow_agent_verdict_(agent, flow->entry, &flow->node.key,
			       PL_FLOW_OWNED, NULL, 0);
}

void pl_flow_released_(void *ctx, pl_flow_node_t *node)
{
	pl_flow_agent_t *agent = ctx;
	flow_t *flow = PL_CONTAINER_OF(node, flow_t, node);

	pl_timer_cancel(agent->timers, &flow->trial);
	pl_flow_work_forget_(agent, flow);
}
