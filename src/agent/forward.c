/**
 * @file
 * Forwarding of a datagram to another agent, over at most PL_WIRE_HOPS_MAX
 * hops.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

/**
 * Number of endpoints to rank, enough for the best two besides this agent and
 * the sender.
 */
#define RANKED_MAX 3

bool pl_agent_forward_to(pl_agent_t *agent, const pl_forward_t *forward,
			 pl_member_id_t next)
{
	pl_forward_t copy = *forward;

	assert(next != agent->params.self);
	if (forward->hops >= PL_WIRE_HOPS_MAX) {
		pl_counter_add(PL_COUNTER_DROP_HOPS, 1);
		return false;
	}
	copy.hops++;
	copy.origin = agent->params.self;
	if (agent->routing)
		copy.revision = pl_routing_revision(agent->routing);
	agent->ops->forward(agent->ctx, next, &copy);
	return true;
}

static size_t rank_endpoints_(const pl_agent_t *agent,
			      const pl_forward_t *forward,
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
				 ranked, RANKED_MAX);
}

bool pl_agent_forward_next(pl_agent_t *agent, const pl_forward_t *forward)
{
	const pl_endpoint_t *ranked[RANKED_MAX];
	size_t count = rank_endpoints_(agent, forward, PL_RANK_REACHABLE,
				       agent->params.self, ranked);

	for (size_t i = 0; i < count; i++) {
		if (ranked[i]->agent != forward->origin)
			return pl_agent_forward_to(agent, forward,
						   ranked[i]->agent);
	}
	return false;
}

bool pl_agent_all_others_tried(const pl_agent_t *agent,
			       const pl_forward_t *forward)
{
	const pl_endpoint_t *ranked[RANKED_MAX];

	return rank_endpoints_(agent, forward, PL_RANK_REACHABLE,
			       agent->params.self, ranked) <= forward->hops;
}

bool pl_agent_diverts_new_work(const pl_agent_t *agent)
{
	return agent->draining || !agent->backend_present;
}

bool pl_agent_forward_home(pl_agent_t *agent, const pl_forward_t *forward)
{
	const pl_endpoint_t *ranked[RANKED_MAX];
	pl_member_id_t exclude =
		pl_agent_diverts_new_work(agent) ? agent->params.self : 0;
	size_t count = rank_endpoints_(agent, forward, PL_RANK_SERVING, exclude,
				       ranked);

	if (count == 0 || ranked[0]->agent == agent->params.self)
		return false;
	return pl_agent_forward_to(agent, forward, ranked[0]->agent);
}

bool pl_agent_forward_alternate(pl_agent_t *agent, const pl_forward_t *forward)
{
	const pl_endpoint_t *ranked[RANKED_MAX];
	size_t count = rank_endpoints_(agent, forward, PL_RANK_SERVING,
				       agent->params.self, ranked);

	if (count == 0 || forward->hops > 0 || !pl_agent_spend_retry(agent))
		return false;
	return pl_agent_forward_to(agent, forward, ranked[0]->agent);
}
