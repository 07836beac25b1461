/**
 * @file
 * Pace of the backend server: how much work it may be given now.
 *
 * Two limits. That of a cold server, which the configuration states, holds for
 * every new flow. The pace that its answers show goes to the entries as part of
 * the load: it says which server a new flow goes to, and holds nothing back.
 */
#include "private/agent_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

#define THOUSANDTHS 1000

/* Requests to one address are one kind. */
static uint64_t kind_(const flow_t *flow)
{
	const pl_flow_key_t *key = &flow->node.key;

	return ((uint64_t)key->service_ip << 16) | key->service_port;
}

void pl_flow_pace_init_(pl_flow_agent_t *agent)
{
	pl_pace_init(&agent->pace, &pl_pace_by_answers);
}

uint32_t pl_flow_pace_slots_(const pl_flow_agent_t *agent)
{
	return agent->load.slots;
}

bool pl_flow_pace_admits_flow_(const pl_flow_agent_t *agent)
{
	return pl_cold_gate_admits(&agent->cold_gate,
				   pl_flow_agent_now_(agent));
}

void pl_flow_pace_count_(pl_flow_agent_t *agent)
{
	pl_cold_gate_count(&agent->cold_gate, pl_flow_agent_now_(agent));
}

static void start_(pl_flow_agent_t *agent, const char *why)
{
	pl_pace_start(&agent->pace, pl_flow_agent_now_(agent));
	pl_counter_add(PL_COUNTER_PACE_STARTED, 1);
	pl_event(PL_EVENT_PACE_STARTED, "backend server %s: %s",
		 agent->report.id, why);
}

void pl_flow_pace_server_started_(pl_flow_agent_t *agent)
{
	start_(agent, "started");
}

/* A server that reports that it is warm may still be cold since its data centre
 * was taken back into service. */
void pl_flow_pace_reported_(pl_flow_agent_t *agent)
{
	pl_ms_t now = pl_flow_agent_now_(agent);

	if (now + agent->report.warmup_ms > agent->cold_gate.cold_until)
		pl_cold_gate_set(&agent->cold_gate, now,
				 agent->report.warmup_ms);
}

static pl_pace_sample_t sample_(const pl_flow_agent_t *agent)
{
	pl_ms_t now = pl_flow_agent_now_(agent);

	return (pl_pace_sample_t){
		.now = now,
		.slots = agent->load.slots,
		.mean_busy = pl_load_snapshot(&agent->load, now).mean_busy,
	};
}

static void log_change_(const pl_flow_agent_t *agent, pl_pace_change_t change)
{
	if (change == PL_PACE_FULL)
		pl_event(PL_EVENT_PACE_FULL,
			 "backend server %s: all %u slots after %u ms",
			 agent->report.id, agent->load.slots,
			 (unsigned int)(pl_flow_agent_now_(agent) -
					agent->pace.since));
	if (change != PL_PACE_SLOWED)
		return;
	pl_counter_add(PL_COUNTER_PACE_SLOWED, 1);
	pl_event(PL_EVENT_PACE_SLOWED,
		 "backend server %s: %u thousandths of a slot, answers take "
		 "%.1f times as long as usual, or fail",
		 agent->report.id, agent->pace.limit, agent->pace.slowness);
}

void pl_flow_pace_answered_(pl_flow_agent_t *agent, const flow_t *flow,
			    pl_ms_t took_ms)
{
	const pl_pace_sample_t sample = sample_(agent);

	log_change_(agent, pl_pace_answered(&agent->pace, kind_(flow), took_ms,
					    &sample));
}

void pl_flow_pace_failed_(pl_flow_agent_t *agent, const flow_t *flow)
{
	const pl_pace_sample_t sample = sample_(agent);

	if (flow->holds_slot && !flow->slot_reserved)
		log_change_(agent, pl_pace_failed(&agent->pace, &sample));
}

void pl_flow_pace_add_load_(const pl_flow_agent_t *agent,
			    pl_endpoint_load_t *load)
{
	load->limit = pl_pace_limit(&agent->pace, pl_flow_agent_now_(agent));
	load->request_ms = pl_flow_work_request_ms_(agent);
}

void pl_flow_pace_add_stats_(const pl_flow_agent_t *agent,
			     pl_flow_agent_stats_t *stats)
{
	pl_ms_t now = pl_flow_agent_now_(agent);

	stats->usual_ms = pl_pace_usual_ms(&agent->pace);
	stats->slowness_milli = (uint32_t)(agent->pace.slowness * THOUSANDTHS);
	if (now < agent->cold_gate.cold_until)
		stats->cold_ms = (uint32_t)(agent->cold_gate.cold_until - now);
}

void pl_flow_agent_set_policy(pl_flow_agent_t *agent,
			      const pl_service_policy_t *policy)
{
	agent->cold_gate.rate_milli = policy->warmup_rate_milli;
	agent->warmup_ms = policy->warmup_ms;
}

void pl_flow_pace_returned_(pl_flow_agent_t *agent)
{
	pl_ms_t now = pl_flow_agent_now_(agent);

	if (now + agent->warmup_ms > agent->cold_gate.cold_until)
		pl_cold_gate_set(&agent->cold_gate, now, agent->warmup_ms);
	start_(agent, "its data centre is back in service");
}

/* Hands an opening packet back, also if no other server has room: the entry
 * tries again a little later. */
void pl_flow_pace_refuse_cold_(pl_flow_agent_t *agent,
			       const pl_flow_message_t *message)
{
	const pl_flow_message_t answer = {
		.type = PL_FLOW_VERDICT,
		.sender = agent->params.self,
		.service = agent->params.service,
		.flow = message->flow,
		.verdict = PL_FLOW_REFUSED,
		.reason = PL_REASON_COLD,
		.load = pl_flow_agent_load_(agent),
		.packet = message->packet,
		.packet_len = message->packet_len,
	};

	agent->stats.refused++;
	agent->stats.cold_refused++;
	pl_counter_add(PL_COUNTER_FLOWS_HANDED_BACK, 1);
	pl_counter_add(PL_COUNTER_FLOWS_REFUSED_COLD, 1);
	pl_flow_load_report_send_(agent, message->sender, &answer);
}
