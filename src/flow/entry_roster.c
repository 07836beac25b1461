/**
 * @file
 * Proof that a flow is dead.
 *
 * An agent registers in the key-value store before its backend server is
 * offered flows, so each roster that is read after a flow opened contains the
 * flow's owner. The exception is an agent whose registration the store refused:
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
/** Interval at which membership is asked to check the agents of one service. */
#define CHECK_INTERVAL_MS 500
/** In a lookup an agent that was declared dead counts as dead only after it has
 * left this many queries unanswered, the first sent at least this long ago. */
#define DEAD_QUERIES_MIN 2
#define DEAD_SILENT_MS 100

/** Agents that may own flows of a service. */
typedef struct {
	pl_ms_t requested_at; /**< when the roster was requested */
	pl_ms_t checked_at; /**< when membership was last asked to check */
	GArray *agents; /**< pl_member_id_t */
} roster_t;

static void free_roster_(gpointer data)
{
	roster_t *roster = data;

	g_array_free(roster->agents, TRUE);
	g_free(roster);
}

void pl_flow_rosters_init_(pl_flow_entry_t *entry)
{
	entry->rosters = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, free_roster_);
}

static void request_roster_(pl_flow_entry_t *entry, pl_service_id_t service)
{
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (entry->roster_pending != 0 || now < entry->roster_not_before)
		return;
	entry->roster_pending = service;
	entry->roster_requested_at = now;
	entry->roster_not_before = now + REQUEST_INTERVAL_MS;
	entry->ops->request_roster(entry->ctx, service);
}

/* Whether the agent's answer, or the routing table, rules the flow out. */
static bool is_ruled_out_(const pl_flow_entry_t *entry, const lookup_t *lookup,
			  pl_member_id_t agent)
{
	const agent_query_t *query = pl_flow_lookup_find_query_(lookup, agent);
	const pl_endpoint_t *endpoint =
		pl_routing_endpoint(entry->routing, agent);

	if (query && query->answered)
		return query->verdict == PL_FLOW_ABSENT;
	/* the address now belongs to another service: a new machine */
	return endpoint && endpoint->service != lookup->flow->service;
}

/* Whether the agent counts as dead in the lookup. The report of its death may
 * arrive before that of its next incarnation, so each lookup gives the agent
 * time to answer. */
static bool is_dead_(const pl_flow_entry_t *entry, const agent_query_t *query)
{
	return query && query->send_count >= DEAD_QUERIES_MIN &&
	       pl_flow_entry_now_(entry) - query->first_sent_at >=
		       DEAD_SILENT_MS &&
	       pl_flow_liveness_is_dead_(entry, query->agent);
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

		if (is_ruled_out_(entry, lookup, agent))
			continue;
		if (!is_dead_(entry, query) || ++dead * 2 > agents->len)
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
		    !is_ruled_out_(entry, lookup, query->agent))
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
static void check_silent_agents_(pl_flow_entry_t *entry, const lookup_t *lookup,
				 roster_t *roster)
{
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

/* Returns the roster if it was requested after the lookup began, or NULL. */
static roster_t *find_fresh_roster_(const pl_flow_entry_t *entry,
				    const lookup_t *lookup)
{
	roster_t *roster =
		g_hash_table_lookup(entry->rosters, &lookup->flow->service);

	return roster && roster->requested_at >= lookup->started ? roster :
								   NULL;
}

bool pl_flow_roster_proves_dead_(pl_flow_entry_t *entry, lookup_t *lookup)
{
	roster_t *roster = find_fresh_roster_(entry, lookup);

	if (!roster) {
		request_roster_(entry, lookup->flow->service);
		return false;
	}
	query_missing_(entry, lookup, roster->agents);
	if (possible_owner_(entry, lookup, roster->agents) == 0)
		return true;
	check_silent_agents_(entry, lookup, roster);
	return false;
}

pl_member_id_t pl_flow_roster_blocking_agent_(const pl_flow_entry_t *entry,
					      const lookup_t *lookup)
{
	const roster_t *roster = find_fresh_roster_(entry, lookup);

	return roster ? possible_owner_(entry, lookup, roster->agents) : 0;
}

bool pl_flow_roster_may_own_(const pl_flow_entry_t *entry,
			     const lookup_t *lookup, pl_member_id_t agent)
{
	const roster_t *roster = find_fresh_roster_(entry, lookup);

	if (pl_flow_liveness_is_dead_(entry, agent))
		return false;
	if (may_own_unregistered_(entry, agent))
		return true;
	for (guint i = 0; roster && i < roster->agents->len; i++) {
		if (g_array_index(roster->agents, pl_member_id_t, i) == agent)
			return true;
	}
	return !roster;
}

void pl_flow_roster_refresh_(pl_flow_entry_t *entry, const lookup_t *lookup)
{
	if (!find_fresh_roster_(entry, lookup) && lookup->flow->service != 0)
		request_roster_(entry, lookup->flow->service);
}

void pl_flow_entry_set_roster(pl_flow_entry_t *entry, pl_service_id_t service,
			      bool known, const pl_member_id_t *agents,
			      size_t count)
{
	const roster_t *before;
	roster_t *roster;

	if (entry->roster_pending != service)
		return;
	entry->roster_pending = 0;
	if (!known) {
		entry->roster_not_before =
			pl_flow_entry_now_(entry) + REQUEST_RETRY_MS;
		return;
	}
	roster = g_new0(roster_t, 1);
	roster->requested_at = entry->roster_requested_at;
	before = g_hash_table_lookup(entry->rosters, &service);
	roster->checked_at = before ? before->checked_at : 0;
	roster->agents = g_array_new(FALSE, FALSE, sizeof(*agents));
	g_array_append_vals(roster->agents, agents, (guint)count);
	g_hash_table_replace(entry->rosters,
			     g_memdup2(&service, sizeof(service)), roster);
	pl_flow_lookup_end_dead_flows_(entry);
}
