/**
 * @file
 * Passing a datagram on to another agent, at most PL_WIRE_HOPS_MAX times.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

/** Endpoints looked at: the best two besides this agent and the sender. */
#define RANKED 3

bool pl_agent_forward_to(pl_agent_t *agent, const pl_forward_t *forward,
			 pl_member_id_t next)
{
	pl_forward_t onward = *forward;

	assert(next != agent->params.self);
	if (forward->hops >= PL_WIRE_HOPS_MAX) {
		pl_counter_add(PL_COUNTER_DROP_HOPS, 1);
		return false;
	}
	onward.hops++;
	onward.origin = agent->params.self;
	if (agent->routing)
		onward.revision = pl_routing_revision(agent->routing);
	agent->ops->forward(agent->ctx, next, &onward);
	return true;
}

static size_t rank_(const pl_agent_t *agent, const pl_forward_t *forward,
		    pl_rank_scope_t scope, pl_member_id_t exclude,
		    const pl_endpoint_t **ranked)
{
	const pl_route_service_t *service = NULL;

	if (agent->routing)
		service =
			pl_routing_by_id(agent->routing, forward->flow.service);
	if (!service)
		return 0;
	return pl_placement_rank(service, &forward->flow.caller, scope, exclude,
				 ranked, RANKED);
}

bool pl_agent_forward_next(pl_agent_t *agent, const pl_forward_t *forward)
{
	const pl_endpoint_t *ranked[RANKED];
	size_t count = rank_(agent, forward, PL_RANK_REACHABLE,
			     agent->params.self, ranked);

	for (size_t i = 0; i < count; i++) {
		if (ranked[i]->agent != forward->origin)
			return pl_agent_forward_to(agent, forward,
						   ranked[i]->agent);
	}
	return false;
}

bool pl_agent_was_last(const pl_agent_t *agent, const pl_forward_t *forward)
{
	const pl_endpoint_t *ranked[RANKED];

	return rank_(agent, forward, PL_RANK_REACHABLE, agent->params.self,
		     ranked) <= forward->hops;
}

bool pl_agent_leaves_work(const pl_agent_t *agent)
{
	return agent->draining || !agent->present;
}

bool pl_agent_forward_home(pl_agent_t *agent, const pl_forward_t *forward)
{
	const pl_endpoint_t *ranked[RANKED];
	pl_member_id_t exclude =
		pl_agent_leaves_work(agent) ? agent->params.self : 0;
	size_t count = rank_(agent, forward, PL_RANK_SERVING, exclude, ranked);

	if (count == 0 || ranked[0]->agent == agent->params.self)
		return false;
	return pl_agent_forward_to(agent, forward, ranked[0]->agent);
}

bool pl_agent_forward_other(pl_agent_t *agent, const pl_forward_t *forward)
{
	const pl_endpoint_t *ranked[RANKED];
	size_t count = rank_(agent, forward, PL_RANK_SERVING,
			     agent->params.self, ranked);

	if (count == 0 || forward->hops > 0 || !pl_agent_spend_retry(agent))
		return false;
	return pl_agent_forward_to(agent, forward, ranked[0]->agent);
}
