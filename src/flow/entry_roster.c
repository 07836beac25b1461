/**
 * @file
 * Proof that a flow is dead.
 *
 * An agent registers in the key-value store before its backend server is
 * offered flows, so each roster that is read after a flow opened contains the
 * flow's owner. The roster spans all services: an entry that knows only the
 * newest configuration does not know which service the flow was opened at. The
 * exception is an agent whose registration the store refused:
 * it serves only once membership has announced it to every entry. If every
 * agent that such a roster or membership lists rules the flow out, the flow has
 * no owner, and its caller can be sent a reset at once.
 */
#include "private/entry_private.h"

/** Shortest interval between two roster requests, a fraction of the time in
 * which a caller must be answered. The process that runs the entry shares the
 * reads of the store among entries. */
#define REQUEST_INTERVAL_MS 60
/** Delay before the next roster request after one that failed. */
#define REQUEST_RETRY_MS 250
/** Interval at which membership is asked to check the agents. */
#define CHECK_INTERVAL_MS 500

void pl_flow_roster_init_(pl_flow_entry_t *entry)
{
	entry->roster.agents =
		g_array_new(FALSE, FALSE, sizeof(pl_member_id_t));
	entry->roster.agent_set =
		g_hash_table_new(g_direct_hash, g_direct_equal);
}

void pl_flow_roster_finish_(pl_flow_entry_t *entry)
{
	g_array_free(entry->roster.agents, TRUE);
	g_hash_table_destroy(entry->roster.agent_set);
}

static void request_roster_(pl_flow_entry_t *entry)
{
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (entry->roster_pending || now < entry->roster_not_before)
		return;
	entry->roster_pending = true;
	entry->roster_requested_at = now;
	entry->roster_not_before = now + REQUEST_INTERVAL_MS;
	entry->ops->request_roster(entry->ctx);
}

/* Whether the agent's answer rules the flow out. */
static bool is_ruled_out_(const lookup_t *lookup, pl_member_id_t agent)
{
	const agent_query_t *query = pl_flow_lookup_find_query_(lookup, agent);

	return query && query->answered && query->verdict == PL_FLOW_ABSENT;
}

/* Returns the first agent of the roster that may own the flow, or 0. Dead
 * agents do not, unless more than half of the roster is dead: then the entry
 * itself is considered partitioned. */
static pl_member_id_t possible_owner_in_roster_(const pl_flow_entry_t *entry,
						const lookup_t *lookup,
						const GArray *agents)
{
	guint dead = 0;

	for (guint i = 0; i < agents->len; i++) {
		pl_member_id_t agent = g_array_index(agents, pl_member_id_t, i);
		const agent_query_t *query =
			pl_flow_lookup_find_query_(lookup, agent);

		if (is_ruled_out_(lookup, agent))
			continue;
		if (!query ||
		    !pl_flow_liveness_silence_counts_(entry, lookup, query) ||
		    ++dead * 2 > agents->len)
			return agent;
	}
	return 0;
}

/* Whether an agent that the roster may lack may own flows: the store refused
 * its registration, but it serves. */
static bool may_own_unregistered_(const pl_flow_entry_t *entry,
				  pl_member_id_t agent)
{
	const pl_endpoint_t *endpoint =
		pl_routing_endpoint(entry->routing, agent);

	return endpoint && endpoint->announced;
}

/* Returns the first queried agent that serves although the store refused it,
 * and that may own the flow, or 0. */
static pl_member_id_t possible_owner_unregistered_(const pl_flow_entry_t *entry,
						   const lookup_t *lookup)
{
	for (guint i = 0; i < lookup->queries->len; i++) {
		const agent_query_t *query =
			&g_array_index(lookup->queries, agent_query_t, i);

		if (may_own_unregistered_(entry, query->agent) &&
		    !is_ruled_out_(lookup, query->agent))
			return query->agent;
	}
	return 0;
}

/* Returns an agent that the roster or membership lists and that may own the
 * flow, or 0. */
static pl_member_id_t possible_owner_(const pl_flow_entry_t *entry,
				      const lookup_t *lookup,
				      const GArray *agents)
{
	pl_member_id_t agent = possible_owner_in_roster_(entry, lookup, agents);

	return agent ? agent : possible_owner_unregistered_(entry, lookup);
}

/* Queries the agents of the roster that membership does not list. */
static void query_missing_(pl_flow_entry_t *entry, lookup_t *lookup,
			   const GArray *agents)
{
	for (guint i = 0; i < agents->len; i++) {
		pl_member_id_t agent = g_array_index(agents, pl_member_id_t, i);

		if (!pl_flow_lookup_find_query_(lookup, agent))
			pl_flow_query_agent_(entry, lookup, agent);
	}
}

/* Asks membership to check all agents that block the proof. */
static void check_silent_agents_(pl_flow_entry_t *entry, const lookup_t *lookup)
{
	pl_flow_roster_t *roster = &entry->roster;
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (roster->checked_at != 0 &&
	    now - roster->checked_at < CHECK_INTERVAL_MS)
		return;
	roster->checked_at = now;
	for (guint i = 0; i < roster->agents->len; i++) {
		pl_member_id_t agent =
			g_array_index(roster->agents, pl_member_id_t, i);
		const agent_query_t *query =
			pl_flow_lookup_find_query_(lookup, agent);

		if (!query || !query->answered || query->requery)
			pl_flow_liveness_check_(entry, agent,
						query ? query->send_count : 0);
	}
}

/* Whether the known roster was requested after the lookup began. */
static bool is_fresh_(const pl_flow_entry_t *entry, const lookup_t *lookup)
{
	return entry->roster.known &&
	       entry->roster.requested_at >= lookup->started;
}

bool pl_flow_roster_proves_dead_(pl_flow_entry_t *entry, lookup_t *lookup)
{
	if (!is_fresh_(entry, lookup)) {
		request_roster_(entry);
		return false;
	}
	query_missing_(entry, lookup, entry->roster.agents);
	if (possible_owner_(entry, lookup, entry->roster.agents) == 0)
		return true;
	check_silent_agents_(entry, lookup);
	return false;
}

pl_member_id_t pl_flow_roster_blocking_agent_(const pl_flow_entry_t *entry,
					      const lookup_t *lookup)
{
	return is_fresh_(entry, lookup) ?
		       possible_owner_(entry, lookup, entry->roster.agents) :
		       0;
}

bool pl_flow_roster_may_own_(const pl_flow_entry_t *entry,
			     const lookup_t *lookup, pl_member_id_t agent)
{
	if (pl_flow_liveness_is_dead_(entry, agent))
		return false;
	if (may_own_unregistered_(entry, agent) || !is_fresh_(entry, lookup))
		return true;
	return g_hash_table_contains(entry->roster.agent_set,
				     pl_flow_agent_key_(agent));
}

void pl_flow_roster_refresh_(pl_flow_entry_t *entry, const lookup_t *lookup)
{
	if (!is_fresh_(entry, lookup))
		request_roster_(entry);
}

void pl_flow_entry_set_roster(pl_flow_entry_t *entry, bool known,
			      const pl_member_id_t *agents, size_t count)
{
	pl_flow_roster_t *roster = &entry->roster;

	if (!entry->roster_pending)
		return;
	entry->roster_pending = false;
	if (!known) {
		entry->roster_not_before =
			pl_flow_entry_now_(entry) + REQUEST_RETRY_MS;
		return;
	}
	roster->known = true;
	roster->requested_at = entry->roster_requested_at;
	g_array_set_size(roster->agents, 0);
	g_array_append_vals(roster->agents, agents, (guint)count);
	g_hash_table_remove_all(roster->agent_set);
	for (size_t i = 0; i < count; i++)
		g_hash_table_add(roster->agent_set,
				 pl_flow_agent_key_(agents[i]));
	pl_flow_lookup_end_dead_flows_(entry);
}
