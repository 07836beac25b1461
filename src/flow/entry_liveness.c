/**
 * @file
 * Liveness of agents.
 *
 * An agent whose machine is permanently lost stays in the roster until it is
 * removed. In that time it would block the proof that flows are dead, and
 * callers would wait for one deadline after another. A missing answer proves
 * nothing, however: it may have been lost, and an entry that has just joined
 * may know less than others. An agent, with the backend server on its machine,
 * therefore counts as dead only if membership declared it dead. Membership is
 * asked to check agents that it does not list. It lists the next incarnation of
 * an agent before that agent's server is offered a flow.
 */
#include "private/entry_private.h"

/** A flow whose owner is silent for this long is looked up again. */
#define OWNER_SILENT_MS 1000
/** Unanswered queries after which membership is asked to check an agent that it
 * lists as alive. */
#define CHECK_AFTER_SENDS 3
/** In a lookup an agent that was declared dead counts as dead only after it has
 * left this many queries unanswered, the first sent at least this long ago. */
#define DEAD_QUERIES_MIN 2
#define DEAD_SILENT_MS 100
/** ... and this many times the mean time in which others answered. */
#define DEAD_SILENT_TIMES 4
/** Highest probability that a live agent's answers to all queries were lost. */
#define DEAD_ERROR_MAX 0.001
/** A lookup has a weight of 1 / MEAN_PARTS in the moving mean. */
#define MEAN_PARTS 8

void pl_flow_liveness_init_(pl_flow_entry_t *entry)
{
	entry->unanswered_since = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	entry->dead_agents = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
}

void pl_flow_liveness_finish_(pl_flow_entry_t *entry)
{
	g_hash_table_destroy(entry->unanswered_since);
	g_hash_table_destroy(entry->dead_agents);
}

static void note_unanswered_(pl_flow_entry_t *entry, pl_member_id_t agent)
{
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (!g_hash_table_contains(entry->unanswered_since, &agent))
		g_hash_table_insert(entry->unanswered_since,
				    g_memdup2(&agent, sizeof(agent)),
				    g_memdup2(&now, sizeof(now)));
}

void pl_flow_liveness_heard_(pl_flow_entry_t *entry, pl_member_id_t agent)
{
	g_hash_table_remove(entry->unanswered_since, &agent);
	g_hash_table_remove(entry->dead_agents, &agent);
}

void pl_flow_liveness_answered_(const pl_flow_entry_t *entry, lookup_t *lookup,
				const agent_query_t *query)
{
	if (query->send_count == 0)
		return;
	lookup->answered_sent++;
	lookup->answered_resent += query->send_count > 1;
	lookup->answers_ms += pl_flow_entry_now_(entry) - query->first_sent_at;
}

static double resent_share_(const lookup_t *lookup)
{
	return (double)lookup->answered_resent /
	       (double)MAX(lookup->answered_sent, 1);
}

void pl_flow_liveness_lookup_ended_(pl_flow_entry_t *entry,
				    const lookup_t *lookup)
{
	if (lookup->answered_sent > 0)
		entry->resent_share +=
			(resent_share_(lookup) - entry->resent_share) /
			MEAN_PARTS;
}

/* Number of queries that a live agent hardly ever leaves unanswered. Membership
 * may have declared agents dead by mistake while this entry's link is saturated,
 * which then loses queries to them too. What it loses is known by the queries
 * that others answered. */
static unsigned int dead_queries_(const pl_flow_entry_t *entry,
				  const lookup_t *lookup)
{
	double lost = MAX(entry->resent_share, resent_share_(lookup));
	double error = 1;
	unsigned int count = 0;

	while (error > DEAD_ERROR_MAX && count <= QUERY_SENDS_MAX) {
		error *= lost;
		count++;
	}
	return MAX(count, DEAD_QUERIES_MIN);
}

/* The report of an agent's death may arrive before that of its next
 * incarnation, so each lookup gives the agent time to answer. */
bool pl_flow_liveness_silence_counts_(const pl_flow_entry_t *entry,
				      const lookup_t *lookup,
				      const agent_query_t *query)
{
	pl_ms_t mean_ms = lookup->answers_ms / MAX(lookup->answered_sent, 1);
	pl_ms_t silent_ms = MAX(DEAD_SILENT_MS, mean_ms * DEAD_SILENT_TIMES);

	return pl_flow_liveness_is_dead_(entry, query->agent) &&
	       query->send_count >= dead_queries_(entry, lookup) &&
	       pl_flow_entry_now_(entry) - query->first_sent_at >= silent_ms;
}

static bool is_reachable_(const pl_flow_entry_t *entry, pl_member_id_t agent)
{
	const pl_endpoint_t *endpoint =
		pl_routing_endpoint(entry->routing, agent);

	return endpoint && endpoint->state != PL_ENDPOINT_UNREACHABLE;
}

bool pl_flow_liveness_is_dead_(const pl_flow_entry_t *entry,
			       pl_member_id_t agent)
{
	return !pl_routing_endpoint(entry->routing, agent) &&
	       g_hash_table_contains(entry->dead_agents, &agent);
}

void pl_flow_liveness_check_(pl_flow_entry_t *entry, pl_member_id_t agent,
			     unsigned int send_count)
{
	/* the answer of a live agent may still be in flight, or lost */
	if (pl_routing_endpoint(entry->routing, agent) &&
	    send_count < CHECK_AFTER_SENDS)
		return;
	if (!g_hash_table_contains(entry->dead_agents, &agent))
		entry->ops->check_agent(entry->ctx, agent);
}

bool pl_flow_liveness_owner_lost_(pl_flow_entry_t *entry, pl_member_id_t owner)
{
	const pl_ms_t *since;

	if (is_reachable_(entry, owner))
		return false;
	note_unanswered_(entry, owner);
	since = g_hash_table_lookup(entry->unanswered_since, &owner);
	return pl_flow_entry_now_(entry) - *since >= OWNER_SILENT_MS;
}

static gboolean is_expired_(gpointer key, gpointer value, gpointer ctx)
{
	const pl_flow_entry_t *entry = ctx;
	const pl_ms_t *since = value;

	(void)key;
	return pl_flow_entry_now_(entry) - *since >
	       entry->params.flow_idle_max_ms;
}

void pl_flow_liveness_expire_(pl_flow_entry_t *entry)
{
	g_hash_table_foreach_remove(entry->unanswered_since, is_expired_,
				    entry);
}

static gboolean is_in_routing_(gpointer key, gpointer value, gpointer ctx)
{
	const pl_member_id_t *agent = key;

	(void)value;
	return pl_routing_endpoint(ctx, *agent) != NULL;
}

void pl_flow_liveness_routing_changed_(pl_flow_entry_t *entry)
{
	g_hash_table_foreach_remove(entry->dead_agents, is_in_routing_,
				    entry->routing);
}

void pl_flow_entry_agent_dead(pl_flow_entry_t *entry, pl_member_id_t agent)
{
	if (g_hash_table_contains(entry->dead_agents, &agent))
		return;
	g_hash_table_add(entry->dead_agents, g_memdup2(&agent, sizeof(agent)));
	pl_flow_lookup_requery_dead_(entry, agent);
}
