/**
 * @file
 * Probes of a lookup.
 *
 * A probe puts a packet of the flow in front of a server that may not hold it,
 * and routers move a flow from entry to entry, each with a lookup of its own.
 * So no server is probed while another agent has yet to say whether it holds
 * the flow, and agents tell which of their servers got a probe and when.
 * A server is presumed to hold the flow if it does not hand the probe back;
 * its own packet or its agent's record confirms that.
 */
#include "private/entry_private.h"

/** A probe without an answer is given up after this time. */
#define PROBE_TIMEOUT_MS 100
/** All probes of a flow are sent within this time of the first one: packets at
 * servers that do not hold the flow help nobody, and a probe may wait on a slow
 * link. */
#define PROBE_PERIOD_MS 1000
/** Age of the caller's last packet up to which its flow is probed. Callers
 * retransmit, so after this time the routers send the flow to another entry,
 * which probes too. */
#define PACKET_AGE_MAX_MS 1500
/** Probes of a flow count for this long: callers give up a request that is not
 * answered by then, and send nothing more on its flow. */
#define PROBES_COUNT_MS 10000
/** Packets sent to a server that is presumed to hold the flow, with the probe.
 * A server acknowledges every second packet at the latest. */
#define PRESUMED_SENT_MAX 2
/** Time for a presumed owner to be confirmed before others are probed again:
 * some mean times of a request. */
#define PRESUMED_WAIT_MS 200

/* Notes that the agent of @p query is unsure. Those of the expected service are
 * probed first, so that other servers receive packets of the flow only if it is
 * none of these. */
static void note_unsure_(const pl_flow_entry_t *entry, const lookup_t *lookup,
			 pl_service_id_t expected, agent_query_t *query,
			 pl_flow_pending_t *pending)
{
	bool other = expected != 0 && query->service != expected;

	pending->unsure++;
	if (query->probed || query->service == 0 ||
	    pl_flow_liveness_is_dead_(entry, query->agent))
		return;
	/* wait for the probes of the expected service */
	if (other && lookup->probes > 0 && !lookup->probes_others)
		return;
	if (!pending->to_probe || (pending->probes_others && !other)) {
		pending->to_probe = query;
		pending->probes_others = other;
	}
}

pl_flow_pending_t pl_flow_probe_count_pending_(const pl_flow_entry_t *entry,
					       const lookup_t *lookup)
{
	pl_service_id_t expected =
		pl_flow_query_expected_service_(entry, lookup->flow);
	pl_flow_pending_t pending = { 0 };

	for (guint i = 0; i < lookup->queries->len; i++) {
		agent_query_t *query =
			&g_array_index(lookup->queries, agent_query_t, i);

		if (!query->answered) {
			bool owner = pl_flow_roster_may_own_(entry, lookup,
							     query->agent);

			pending.silent++;
			pending.possible_owners += owner && !query->probed;
			pending.unresolved += owner;
			continue;
		}
		/* one that claims the flow is only presumed to own it */
		pending.unresolved += query->verdict != PL_FLOW_ABSENT;
		if (query->verdict == PL_FLOW_UNSURE)
			note_unsure_(entry, lookup, expected, query, &pending);
	}
	return pending;
}

static void probe_(pl_flow_entry_t *entry, lookup_t *lookup,
		   agent_query_t *query)
{
	const pl_queued_packet_t *packet =
		pl_packet_queue_first(&lookup->packets);

	query->probed = true;
	query->probe_sent_at = pl_flow_entry_now_(entry);
	if (query->probed_at == 0)
		query->probed_at = query->probe_sent_at;
	lookup->probes++;
	pl_flow_entry_forward_probe_(entry, lookup->flow, query, packet->bytes,
				     packet->len);
	pl_flow_lookup_arm_timer_(entry, lookup, PROBE_TIMEOUT_MS);
}

/* When the first probe of the flow that still counts was sent, by any entry; 0
 * if there was none. Each agent that answers tells of its own. */
static pl_ms_t first_probe_(const pl_flow_entry_t *entry,
			    const lookup_t *lookup)
{
	pl_ms_t now = pl_flow_entry_now_(entry);
	pl_ms_t first = 0;

	for (guint i = 0; i < lookup->queries->len; i++) {
		pl_ms_t at = g_array_index(lookup->queries, agent_query_t, i)
				     .probed_at;

		if (at != 0 && now - at <= PROBES_COUNT_MS &&
		    (first == 0 || at < first))
			first = at;
	}
	return first;
}

/* Whether a server may be probed now: only if no agent that may own the flow is
 * silent. Then all probes of the flow by other entries are known too, and the
 * owner is among the agents that are left to probe. All are probed in a short
 * time; if one agent is left later, it is the owner. */
static bool may_probe_(const pl_flow_entry_t *entry, const lookup_t *lookup,
		       const pl_flow_pending_t *pending)
{
	pl_ms_t now = pl_flow_entry_now_(entry);
	pl_ms_t first = first_probe_(entry, lookup);

	if (lookup->presumed != 0 &&
	    now - lookup->presumed_at < PRESUMED_WAIT_MS)
		return false;
	if (pending->possible_owners > 0 ||
	    now - lookup->packet_at > PACKET_AGE_MAX_MS)
		return false;
	return first == 0 || now - first < PROBE_PERIOD_MS ||
	       pending->unresolved == 1;
}

void pl_flow_probe_next_(pl_flow_entry_t *entry, lookup_t *lookup,
			 pl_flow_pending_t *pending)
{
	if (!may_probe_(entry, lookup, pending)) {
		pl_flow_roster_refresh_(entry, lookup);
		pl_flow_lookup_arm_timer_(entry, lookup, RECHECK_MIN_MS);
		return;
	}
	while (pending->to_probe && lookup->probes < PROBES_MAX) {
		lookup->probes_others = pending->probes_others;
		probe_(entry, lookup, pending->to_probe);
		*pending = pl_flow_probe_count_pending_(entry, lookup);
	}
}

void pl_flow_probe_send_to_presumed_(pl_flow_entry_t *entry, lookup_t *lookup,
				     const agent_query_t *query)
{
	size_t i = 0;

	pl_list_for_each(link, &lookup->packets.list) {
		const pl_queued_packet_t *packet =
			PL_CONTAINER_OF(link, pl_queued_packet_t, link);

		if (i++ < lookup->presumed_sent)
			continue;
		if (lookup->presumed_sent == PRESUMED_SENT_MAX)
			return;
		lookup->presumed_sent++;
		pl_flow_entry_forward_probe_(entry, lookup->flow, query,
					     packet->bytes, packet->len);
	}
}

bool pl_flow_probe_has_other_owner_(const pl_flow_entry_t *entry,
				    const lookup_t *lookup,
				    const agent_query_t *query)
{
	bool itself = query->answered ? query->verdict != PL_FLOW_ABSENT :
					pl_flow_roster_may_own_(entry, lookup,
								query->agent);

	return pl_flow_probe_count_pending_(entry, lookup).unresolved > itself;
}

/* A probe that the agent has not seen by the time at which it would have been
 * handed back was lost. */
void pl_flow_probe_note_(const pl_flow_entry_t *entry, agent_query_t *query,
			 const pl_flow_claim_t *claim)
{
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (claim->probed_ms > 0)
		query->probed_at = now - MIN(claim->probed_ms, now - 1);
	if (claim->verdict != PL_FLOW_UNSURE || claim->probed_ms > 0 ||
	    !query->probed || now - query->probe_sent_at < PROBE_TIMEOUT_MS)
		return;
	query->probed = false;
	query->probed_at = 0;
}
