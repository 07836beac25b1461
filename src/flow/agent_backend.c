/**
 * @file
 * State of the backend server: its reports, its restarts and its end.
 */
#include "private/agent_private.h"

#include <inttypes.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <pimentolift/hash.h>
#include <string.h>

/** Missed reports in a row after which the server no longer counts as
 * serving. */
#define MISSED_REPORTS_MAX 3
/** Time after the last report, in percent of the report interval, from which on
 * a report is missed. */
#define MISSED_REPORT_PERCENT 125
#define PERCENT 100
/** Report intervals within which a live server has sent its first report. */
#define FIRST_REPORT_INTERVALS 2
/** Time for which a refused connection shows that the server does not
 * listen. */
#define REFUSED_VALID_MS 500
/** Sequence number of the first report of a server process. */
#define FIRST_SEQUENCE 1
/** How far the start of a new server process may lie ahead of this machine's
 * clock. The clocks of a machine's processes agree, but the time of day may be
 * set back by a while after the process has started. */
#define START_AHEAD_MAX_MS (24 * 60 * 60 * UINT64_C(1000))
/** Buffer for a reset packet. */
#define RESET_BYTES 64

void pl_flow_backend_init_(pl_flow_agent_t *agent)
{
	agent->started_at = pl_flow_agent_now_(agent);
	agent->serving = false;
	agent->flows_complete = false;
}

/* Once a record has been evicted, the agent does not know all flows for as long
 * as a flow may last; a flow that is used in that time has a record again. */
bool pl_flow_backend_knows_all_flows_(const pl_flow_agent_t *agent)
{
	return agent->flows_complete &&
	       (agent->evicted_at == 0 ||
		pl_flow_agent_now_(agent) - agent->evicted_at >
			agent->params.flow_idle_max_ms);
}

bool pl_flow_backend_accepts_(const pl_flow_agent_t *agent)
{
	pl_ms_t timeout_ms =
		(pl_ms_t)agent->params.report_ms * MISSED_REPORTS_MAX;

	return agent->serving &&
	       pl_flow_agent_now_(agent) - agent->report_at <= timeout_ms;
}

bool pl_flow_backend_is_draining_(const pl_flow_agent_t *agent)
{
	return agent->report.draining && !agent->backend_left &&
	       !agent->backend_down;
}

static void reset_flow_(pl_flow_agent_t *agent, const flow_t *flow)
{
	uint8_t bytes[RESET_BYTES];
	size_t len = agent->params.packets->reset(
		&flow->node.key, flow->caller_ack, bytes, sizeof(bytes));

	agent->stats.resets++;
	pl_counter_add(PL_COUNTER_FLOWS_RESET, 1);
	agent->ops->send_to_caller(agent->ctx, &flow->node.key, bytes, len);
	pl_flow_agent_send_verdict_(agent, flow->entry, &flow->node.key,
				    PL_FLOW_ENDED, NULL, 0);
}

/* Resets the open flows of a server process that has ended, and removes their
 * records. Without a reset the callers would wait for an answer until their
 * deadline. Flows that the server opened or used at @p since or later are held
 * by the process that came after it. */
static void reset_flows_before_(pl_flow_agent_t *agent, pl_ms_t since)
{
	uint64_t before = agent->stats.resets;

	pl_list_for_each_safe(link, pl_flow_table_nodes(agent->flows)) {
		pl_flow_node_t *node =
			PL_CONTAINER_OF(link, pl_flow_node_t, link);
		const flow_t *flow = PL_CONTAINER_OF(node, flow_t, node);

		if (flow->held_at >= since)
			continue;
		if (flow->state == FLOW_OPEN && flow->confirmed &&
		    !flow->closed)
			reset_flow_(agent, flow);
		pl_flow_table_remove(agent->flows, node);
	}
	if (agent->stats.resets > before)
		pl_event(PL_EVENT_FLOWS_ENDED,
			 "backend server %s started at %" PRIu64
			 " ended, %" PRIu64 " flows reset",
			 agent->report.id, agent->report.born_ms,
			 agent->stats.resets - before);
}

/* The server process has ended; its successor, if there is one, may have opened
 * flows from @p since on. */
static void flows_ended_(pl_flow_agent_t *agent, pl_ms_t since)
{
	reset_flows_before_(agent, since);
	agent->flows_complete = true;
	agent->evicted_at = 0;
	agent->request_ms = 0;
}

static bool same_process_(const pl_backend_report_t *a,
			  const pl_backend_report_t *b)
{
	return a->born_ms == b->born_ms && strcmp(a->id, b->id) == 0;
}

/* When the process of @p report started, by this agent's clock; at least, when
 * it first reported. Its age counts for one interval of reports at most, as the
 * time of day may have been set meanwhile. */
static pl_ms_t process_since_(const pl_flow_agent_t *agent,
			      const pl_backend_report_t *report)
{
	pl_ms_t now = pl_flow_agent_now_(agent);
	uint64_t age = report->received_ms > report->born_ms ?
			       report->received_ms - report->born_ms :
			       0;
	pl_ms_t since = now - MIN(MIN(age, agent->params.report_ms), now);

	return same_process_(&agent->earlier, report) ?
		       MIN(since, agent->earlier_since) :
		       since;
}

/* Marks all flows that are being probed as absent: a server that has just
 * started holds none of them. */
static void fail_probes_(pl_flow_agent_t *agent)
{
	pl_list_for_each(link, pl_flow_table_nodes(agent->flows)) {
		flow_t *flow = PL_CONTAINER_OF(
			PL_CONTAINER_OF(link, pl_flow_node_t, link), flow_t,
			node);

		if (flow->state == FLOW_PROBING)
			pl_flow_set_state_(agent, flow, FLOW_ABSENT);
	}
}

/* Whether the known process has stopped to report while that of @p report has
 * not. Such a process has replaced the known one, although it seems to have
 * started earlier: the machine's clock was set back in between. A report that
 * was delayed, in contrast, is not followed by others of its process. */
static bool replaces_known_process_(pl_flow_agent_t *agent,
				    const pl_backend_report_t *report)
{
	pl_backend_report_t *earlier = &agent->earlier;
	pl_ms_t now = pl_flow_agent_now_(agent);
	pl_ms_t interval = agent->params.report_ms;

	if (!same_process_(earlier, report)) {
		*earlier = *report;
		agent->earlier_since = now;
		return false;
	}
	if (report->sequence <= earlier->sequence)
		return false;
	earlier->sequence = report->sequence;
	return now - agent->earlier_since >= interval / 2 &&
	       now - agent->report_at >=
		       interval * MISSED_REPORT_PERCENT / PERCENT;
}

/* Reports are ordered by the start time of the process, then by sequence
 * number: a delayed report may arrive after its sender has ended and a new
 * process has reported. */
static pl_flow_report_result_t check_order_(pl_flow_agent_t *agent,
					    const pl_backend_report_t *report)
{
	const pl_backend_report_t *last = &agent->report;

	if (last->id[0] == '\0')
		return PL_FLOW_REPORT_ACCEPTED;
	if (same_process_(last, report))
		return report->sequence > last->sequence ?
			       PL_FLOW_REPORT_ACCEPTED :
			       PL_FLOW_REPORT_OVERTAKEN;
	if (report->born_ms > last->born_ms ||
	    replaces_known_process_(agent, report))
		return PL_FLOW_REPORT_ACCEPTED;
	return PL_FLOW_REPORT_OUTDATED;
}

/* Returns why the report does not describe this agent's backend server, or
 * NULL. */
static const char *foreign_reason_(const pl_flow_agent_t *agent,
				   const pl_backend_report_t *report)
{
	const pl_flow_agent_params_t *params = &agent->params;

	if (pl_service_id(report->service) != params->service)
		return "service";
	if (!pl_addr_equal(&report->address, &params->backend))
		return "address";
	if (pl_hash_text(report->datacentre) != params->datacentre)
		return "data centre";
	/* a later process ends the known one, so its start has to be credible */
	if (!same_process_(&agent->report, report) &&
	    report->born_ms > report->received_ms + START_AHEAD_MAX_MS)
		return "start time";
	return NULL;
}

static void log_foreign_(const pl_backend_report_t *report, const char *reason)
{
	char address[PL_ADDR_TEXT_MAX];

	pl_event(PL_EVENT_REPORT_FOREIGN,
		 "%s differs: backend server %s at %s of service %s in data "
		 "centre %s, started at %" PRIu64 ", report %" PRIu64,
		 reason, report->id, pl_addr_format(&report->address, address),
		 report->service, report->datacentre, report->born_ms,
		 report->sequence);
}

static void set_serving_(pl_flow_agent_t *agent, bool serving)
{
	if (agent->serving == serving &&
	    agent->load.slots == agent->report.slots)
		return;
	agent->serving = serving;
	agent->load.slots = agent->report.slots;
	pl_event(serving ? PL_EVENT_BACKEND_UP : PL_EVENT_BACKEND_DOWN,
		 "backend server %s of service %s started at %" PRIu64
		 ", report %" PRIu64 ", %u slots%s",
		 agent->report.id, agent->report.service, agent->report.born_ms,
		 agent->report.sequence, agent->report.slots,
		 agent->report.draining ? ", draining" : "");
	agent->ops->backend_changed(agent->ctx, serving, agent->report.slots);
}

static void log_outdated_(const pl_backend_report_t *known,
			  const pl_backend_report_t *report)
{
	pl_event(PL_EVENT_REPORT_OUTDATED,
		 "backend server %s started at %" PRIu64 ", report %" PRIu64
		 "; known is %s started at %" PRIu64 ", report %" PRIu64,
		 report->id, report->born_ms, report->sequence, known->id,
		 known->born_ms, known->sequence);
}

static void log_replaced_(const pl_backend_report_t *old,
			  const pl_backend_report_t *report)
{
	pl_event(PL_EVENT_BACKEND_REPLACED,
		 "backend server %s started at %" PRIu64 ", report %" PRIu64
		 ", by %s started at %" PRIu64 ", report %" PRIu64,
		 old->id, old->born_ms, old->sequence, report->id,
		 report->born_ms, report->sequence);
}

pl_flow_report_result_t pl_flow_agent_report(pl_flow_agent_t *agent,
					     const pl_backend_report_t *report)
{
	bool first = agent->report.id[0] == '\0';
	const char *foreign = foreign_reason_(agent, report);
	pl_flow_report_result_t result;
	bool started = false;

	if (foreign) {
		log_foreign_(report, foreign);
		return PL_FLOW_REPORT_FOREIGN;
	}
	result = check_order_(agent, report);
	if (result == PL_FLOW_REPORT_OUTDATED)
		log_outdated_(&agent->report, report);
	if (result != PL_FLOW_REPORT_ACCEPTED)
		return result;
	if (!first && !same_process_(&agent->report, report)) {
		pl_flow_health_ended_(agent);
		agent->end_counted = false;
		log_replaced_(&agent->report, report);
		flows_ended_(agent, process_since_(agent, report));
		started = true;
	}
	if (first && report->sequence <= FIRST_SEQUENCE) {
		fail_probes_(agent);
		agent->flows_complete = true;
		started = true;
	}
	agent->backend_seen = true;
	agent->backend_down = false;
	agent->backend_left = false;
	agent->report = *report;
	agent->earlier.id[0] = '\0';
	agent->report_at = pl_flow_agent_now_(agent);
	if (started || (first && report->warmup_ms > 0))
		pl_flow_pace_server_started_(agent);
	pl_flow_pace_reported_(agent);
	set_serving_(agent, !report->draining);
	return PL_FLOW_REPORT_ACCEPTED;
}

void pl_flow_agent_backend_leaving(pl_flow_agent_t *agent, const char *id)
{
	if (strcmp(agent->report.id, id) != 0)
		return;
	agent->report.draining = true;
	agent->backend_left = true;
	set_serving_(agent, false);
	agent->ops->backend_leaving(agent->ctx);
}

/* Whether no report arrived in the time within which a server that sends
 * reports has sent one. */
static bool sends_no_reports_(const pl_flow_agent_t *agent)
{
	pl_ms_t age = pl_flow_agent_now_(agent) - agent->started_at;

	return agent->report.id[0] == '\0' &&
	       age >= (pl_ms_t)agent->params.report_ms * FIRST_REPORT_INTERVALS;
}

/* Whether a server that does not listen has ended. A server that is leaving
 * also closes its listener but goes on to serve its flows, so the last report
 * has to say that it is not leaving; without any report, no packet may
 * have come within the time for a first report. */
static bool backend_has_ended_(const pl_flow_agent_t *agent)
{
	if (agent->report.id[0] != '\0')
		return !agent->report.draining;
	return !agent->backend_seen && sends_no_reports_(agent);
}

/* Whether the server does not listen and has not reported to this process. */
static bool neither_listens_nor_reports_(const pl_flow_agent_t *agent)
{
	return agent->refused_at != 0 &&
	       pl_flow_agent_now_(agent) - agent->refused_at <=
		       REFUSED_VALID_MS &&
	       agent->report.id[0] == '\0';
}

bool pl_flow_backend_is_gone_(const pl_flow_agent_t *agent)
{
	/* A server that still serves its last flows sends packets or reports.
	 * If neither arrives and it does not listen, it counts as ended:
	 * an agent in that state is stopped only after its server. */
	return agent->backend_down ||
	       (neither_listens_nor_reports_(agent) &&
		(!agent->backend_seen || sends_no_reports_(agent)));
}

bool pl_flow_backend_is_silent_(const pl_flow_agent_t *agent)
{
	return neither_listens_nor_reports_(agent) &&
	       !pl_flow_backend_is_gone_(agent);
}

/* Deregisters an agent whose server has neither listened, reported nor sent a
 * packet of its own. The roster entry of an earlier process would delay proofs
 * as soon as this one is killed. */
static void leave_roster_(pl_flow_agent_t *agent)
{
	if (agent->left_roster || agent->backend_spoke ||
	    !sends_no_reports_(agent))
		return;
	agent->left_roster = true;
	agent->ops->backend_leaving(agent->ctx);
}

void pl_flow_agent_backend_down(pl_flow_agent_t *agent)
{
	agent->refused_at = pl_flow_agent_now_(agent);
	leave_roster_(agent);
	if (agent->backend_down || !backend_has_ended_(agent))
		return;
	if (agent->report.id[0] != '\0')
		pl_flow_health_ended_(agent);
	agent->backend_down = true;
	agent->backend_seen = false;
	flows_ended_(agent, UINT64_MAX);
	if (agent->serving)
		set_serving_(agent, false);
}
