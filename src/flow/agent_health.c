/**
 * @file
 * Health of the backend server, as its answers to real work show it.
 *
 * While the server is ejected, the agent hands new flows back to their entries,
 * except one at a time as a probe, and those that no other server takes. Flows
 * that it holds go on: they cannot move.
 */
#include "private/agent_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

#define PERCENT 100

void pl_flow_health_init_(pl_flow_agent_t *agent)
{
	pl_health_init(&agent->health);
}

static void handle_change_(pl_flow_agent_t *agent, pl_health_change_t change)
{
	const pl_health_t *health = &agent->health;

	if (change == PL_HEALTH_EJECTED) {
		pl_counter_add(PL_COUNTER_HEALTH_EJECTED, 1);
		pl_event(PL_EVENT_HEALTH_EJECTED,
			 "backend server %s: %s, %u %% of the last requests "
			 "failed, probes in %u ms",
			 agent->report.id, pl_health_cause_name(health->cause),
			 (unsigned int)(health->failed * PERCENT),
			 (unsigned int)(health->probe_from -
					pl_flow_agent_now_(agent)));
	} else if (change == PL_HEALTH_RETURNED) {
		pl_counter_add(PL_COUNTER_HEALTH_RETURNED, 1);
		pl_event(PL_EVENT_HEALTH_RETURNED,
			 "backend server %s answers as usual, it was ejected: "
			 "%s",
			 agent->report.id, pl_health_cause_name(health->cause));
		pl_flow_pace_start_(agent, "it was ejected");
	}
}

void pl_flow_health_answered_(pl_flow_agent_t *agent, const flow_t *flow,
			      pl_ms_t took_ms, uint32_t bytes)
{
	uint64_t kind = pl_flow_pace_kind_(flow);
	const pl_health_answer_t answer = {
		.now = pl_flow_agent_now_(agent),
		.kind = kind,
		.took_ms = took_ms,
		.usual_ms = pl_pace_kind_usual_ms(&agent->pace, kind),
		.bytes = bytes,
	};

	/* one whose slot timed out has counted as failed */
	if (flow->holds_slot)
		handle_change_(agent,
			       pl_health_answered(&agent->health, &answer));
}

void pl_flow_health_failed_(pl_flow_agent_t *agent, const flow_t *flow,
			    pl_health_cause_t cause)
{
	if (flow->holds_slot && !flow->slot_reserved)
		handle_change_(agent,
			       pl_health_failed(&agent->health, cause,
						pl_flow_agent_now_(agent)));
}

void pl_flow_health_refused_(pl_flow_agent_t *agent)
{
	handle_change_(agent,
		       pl_health_failed(&agent->health, PL_HEALTH_REFUSED,
					pl_flow_agent_now_(agent)));
}

void pl_flow_health_ended_(pl_flow_agent_t *agent)
{
	if (agent->end_counted)
		return;
	agent->end_counted = true;
	if (agent->report.draining)
		pl_health_replaced(&agent->health);
	else
		handle_change_(agent,
			       pl_health_ended(&agent->health,
					       pl_flow_agent_now_(agent)));
}

bool pl_flow_health_admits_(const pl_flow_agent_t *agent,
			    const pl_flow_message_t *message)
{
	return (message->flags & (PL_FLOW_LAST_OFFER | PL_FLOW_NEEDED)) != 0 ||
	       pl_health_admits(&agent->health, pl_flow_agent_now_(agent));
}

void pl_flow_health_slot_reserved_(pl_flow_agent_t *agent, flow_t *flow)
{
	if (!agent->health.ejected || flow->health_probe)
		return;
	flow->health_probe = true;
	pl_health_probe_started(&agent->health);
}

void pl_flow_health_slot_freed_(pl_flow_agent_t *agent, flow_t *flow)
{
	if (!flow->health_probe)
		return;
	flow->health_probe = false;
	pl_health_probe_ended(&agent->health);
}

void pl_flow_health_refuse_(pl_flow_agent_t *agent,
			    const pl_flow_message_t *message)
{
	agent->stats.refused++;
	agent->stats.ejected_refused++;
	pl_counter_add(PL_COUNTER_FLOWS_HANDED_BACK, 1);
	pl_counter_add(PL_COUNTER_FLOWS_REFUSED_EJECTED, 1);
	pl_flow_agent_send_refusal_(agent, message->sender, &message->flow,
				    PL_REASON_EJECTED, message->packet,
				    message->packet_len);
}

void pl_flow_health_add_load_(const pl_flow_agent_t *agent,
			      pl_endpoint_load_t *load)
{
	load->health =
		pl_health_level(&agent->health, pl_flow_agent_now_(agent));
}
