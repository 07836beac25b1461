/**
 * @file
 * Batched queries to agents.
 *
 * When the routers rebalance flows, an entry looks up hundreds of owners at
 * once, and each owner may be any of dozens of agents. One datagram to an agent
 * carries the queries of many lookups, so that a slow link has room for the
 * answers too.
 */
#include "private/entry_private.h"

#include <pimentolift/hash.h>

/** Queries are collected for this long before they are sent. */
#define BATCH_DELAY_MS 5
/** Delay before a query is sent again; doubles with each transmission, of which
 * there are at most QUERY_SENDS_MAX. */
#define RESEND_MS 200
/** The same for an agent that was declared dead. */
#define RESEND_DEAD_MS 50
/** Share of the link for queries; without this limit queries would displace
 * answers and packets on a saturated link. */
#define LINK_SHARE_PERCENT 30
#define PERCENT 100
/** Size of one query, and of a datagram with its headers but without queries;
 * answers have the same sizes. A query in a datagram of few costs ten times as
 * much as one in a datagram of many, so a slower link has fewer rounds. */
#define ITEM_BYTES 15
#define DATAGRAM_BYTES 140
/** A round starts when the budget covers one datagram to each agent that a
 * lookup queries, within these limits, and the queries that are due. The upper
 * limit bounds the wait of the first query on a slow link. */
#define ROUND_DATAGRAMS_MIN 64
#define ROUND_DATAGRAMS_MAX 512
/** With more due queries than the budget earns in this time, a round starts
 * without room for all of them: a quarter of the time in which callers expect
 * an answer. */
#define ROUND_MAX_MS 50
/** Depth of the token bucket, as time at the full query rate. A burst of
 * queries delays the packets behind it by a fraction of this time. */
#define BURST_MS 250
#define MS_PER_S 1000
/** Endpoints of a large service that are queried first, by rendezvous hash. New
 * flows are placed on the first 16, and a few endpoints may have joined or left
 * since. */
#define FIRST_RANKED_MAX 20

/** Queries to one agent. */
typedef struct {
	pl_service_id_t service; /**< of the agent; 0 if unknown */
	size_t count;
	pl_flow_item_t items[PL_FLOW_ITEMS_MAX];
} batch_t;

/* Service of an agent; 0 if only the roster lists it. */
static pl_service_id_t agent_service_(const pl_flow_entry_t *entry,
				      pl_member_id_t agent)
{
	const pl_endpoint_t *endpoint =
		pl_routing_endpoint(entry->routing, agent);

	return endpoint ? endpoint->service : 0;
}

static void send_batch_(pl_flow_entry_t *entry, pl_member_id_t agent,
			batch_t *batch)
{
	const pl_flow_message_t message = {
		.type = PL_FLOW_LOCATE,
		.sender = entry->params.self,
		.service = batch->service,
		.items = batch->items,
		.item_count = batch->count,
	};

	if (batch->count > 0)
		entry->ops->send(entry->ctx, agent, &message);
	batch->count = 0;
}

static void spend_tokens_(pl_flow_entry_t *entry, uint64_t bytes)
{
	entry->query_tokens -= (int64_t)(bytes * MS_PER_S);
}

static void add_to_batch_(pl_flow_entry_t *entry, GHashTable *batches,
			  const lookup_t *lookup, pl_member_id_t agent)
{
	batch_t *batch = g_hash_table_lookup(batches, &agent);

	if (!batch) {
		batch = g_new0(batch_t, 1);
		batch->service = agent_service_(entry, agent);
		g_hash_table_insert(batches, g_memdup2(&agent, sizeof(agent)),
				    batch);
	}
	if (batch->count == PL_FLOW_ITEMS_MAX)
		send_batch_(entry, agent, batch);
	if (batch->count == 0)
		spend_tokens_(entry, DATAGRAM_BYTES);
	spend_tokens_(entry, ITEM_BYTES);
	batch->items[batch->count++] = (pl_flow_item_t){
		.flow = lookup->flow->node.key,
		.ack = lookup->ack,
	};
}

static int64_t query_bytes_per_s_(const pl_flow_entry_t *entry)
{
	return (int64_t)(entry->params.link_bytes_per_s * LINK_SHARE_PERCENT /
			 PERCENT);
}

static void refill_tokens_(pl_flow_entry_t *entry, pl_ms_t now)
{
	int64_t per_s = query_bytes_per_s_(entry);
	int64_t round_max =
		(int64_t)ROUND_DATAGRAMS_MAX * DATAGRAM_BYTES * MS_PER_S +
		per_s * ROUND_MAX_MS;
	int64_t tokens_max = MAX(per_s * BURST_MS, round_max);
	pl_ms_t elapsed = MIN(now - entry->tokens_refilled_at, MS_PER_S);

	entry->query_tokens += (int64_t)elapsed * per_s;
	entry->query_tokens = MIN(entry->query_tokens, tokens_max);
	entry->tokens_refilled_at = now;
}

/* Whether the query needs an answer and may be sent again. */
static bool may_send_(const agent_query_t *query)
{
	return (!query->answered || query->requery) &&
	       query->send_count < QUERY_SENDS_MAX;
}

static bool is_due_(const agent_query_t *query, pl_ms_t now)
{
	return may_send_(query) && now >= query->next_send_at;
}

/* Delay before the query is sent again. It is short for an agent that was
 * declared dead, because a proof requires several queries to it. */
static pl_ms_t resend_delay_ms_(const pl_flow_entry_t *entry,
				const agent_query_t *query)
{
	bool dead = pl_flow_liveness_is_dead_(entry, query->agent);

	return (pl_ms_t)(dead ? RESEND_DEAD_MS : RESEND_MS)
	       << query->send_count;
}

/* Adds the due queries of one lookup to the batches. */
static void add_due_queries_(pl_flow_entry_t *entry, GHashTable *batches,
			     const lookup_t *lookup, pl_ms_t now)
{
	for (guint i = 0; i < lookup->queries->len; i++) {
		agent_query_t *query =
			&g_array_index(lookup->queries, agent_query_t, i);

		if (!is_due_(query, now) || entry->query_tokens < 0)
			continue;
		if (query->send_count == 0)
			query->first_sent_at = now;
		query->next_send_at = now + resend_delay_ms_(entry, query);
		query->send_count++;
		add_to_batch_(entry, batches, lookup, query->agent);
	}
}

/* Adds the due queries of all lookups, those of wide lookups last. The owner of
 * a live flow is normally among the agents that are queried first; wide lookups
 * are of flows that may be dead, and wait while the budget is short. */
static void add_all_due_queries_(pl_flow_entry_t *entry, GHashTable *batches,
				 pl_ms_t now)
{
	for (int wide = 0; wide <= 1; wide++) {
		pl_list_for_each(link, &entry->lookups) {
			const lookup_t *lookup =
				PL_CONTAINER_OF(link, lookup_t, link);

			if (lookup->wide == wide)
				add_due_queries_(entry, batches, lookup, now);
		}
	}
}

/* Queries that are due, of all lookups. */
typedef struct {
	int64_t count;
	int64_t agents; /* most of one lookup */
} due_t;

static int64_t count_due_of_(const lookup_t *lookup, pl_ms_t now)
{
	int64_t count = 0;

	for (guint i = 0; i < lookup->queries->len; i++)
		count += is_due_(
			&g_array_index(lookup->queries, agent_query_t, i), now);
	return count;
}

/* Counts until @p max queries are found. */
static due_t count_due_(const pl_flow_entry_t *entry, pl_ms_t now, int64_t max)
{
	due_t due = { 0 };

	pl_list_for_each(link, &entry->lookups) {
		int64_t count = count_due_of_(
			PL_CONTAINER_OF(link, lookup_t, link), now);

		due.agents = MAX(due.agents, count);
		due.count = MIN(due.count + count, max);
		if (due.count == max)
			break;
	}
	return due;
}

/* Budget at which the next round starts. A round that ends with the first
 * lookups would pay for the datagrams to all agents again for the next ones. */
static int64_t round_tokens_(const pl_flow_entry_t *entry, pl_ms_t now)
{
	int64_t max = query_bytes_per_s_(entry) * ROUND_MAX_MS / MS_PER_S /
		      ITEM_BYTES;
	due_t due = count_due_(entry, now, max);
	int64_t datagrams =
		CLAMP(due.agents, ROUND_DATAGRAMS_MIN, ROUND_DATAGRAMS_MAX);

	return (datagrams * DATAGRAM_BYTES + due.count * ITEM_BYTES) * MS_PER_S;
}

/* Whether any lookup has a query that may be sent again. */
static bool has_queries_to_send_(const pl_flow_entry_t *entry)
{
	pl_list_for_each(link, &entry->lookups) {
		const lookup_t *lookup = PL_CONTAINER_OF(link, lookup_t, link);

		for (guint i = 0; i < lookup->queries->len; i++) {
			const agent_query_t *query = &g_array_index(
				lookup->queries, agent_query_t, i);

			if (may_send_(query))
				return true;
		}
	}
	return false;
}

static void arm_query_timer_(pl_flow_entry_t *entry)
{
	if (!pl_timer_armed(&entry->query_timer))
		pl_timer_arm(entry->timers, &entry->query_timer,
			     pl_flow_entry_now_(entry) + BATCH_DELAY_MS);
}

static void on_query_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_flow_entry_t *entry = ctx;
	GHashTable *batches;
	GHashTableIter iter;
	gpointer agent;
	gpointer batch;

	(void)timer;
	refill_tokens_(entry, now);
	if (entry->query_tokens < round_tokens_(entry, now)) {
		arm_query_timer_(entry);
		return;
	}
	batches = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					g_free);
	add_all_due_queries_(entry, batches, now);
	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, &agent, &batch))
		send_batch_(entry, *(pl_member_id_t *)agent, batch);
	g_hash_table_destroy(batches);
	if (has_queries_to_send_(entry))
		arm_query_timer_(entry);
}

void pl_flow_query_init_(pl_flow_entry_t *entry)
{
	pl_timer_init(&entry->query_timer, on_query_timer_, entry);
}

static void add_query_(const pl_flow_entry_t *entry, lookup_t *lookup,
		       pl_member_id_t agent)
{
	agent_query_t query = { .agent = agent,
				.service = agent_service_(entry, agent) };

	if (pl_flow_lookup_find_query_(lookup, agent))
		return;
	g_array_append_val(lookup->queries, query);
	g_hash_table_insert(lookup->query_index, pl_flow_agent_key_(agent),
			    GUINT_TO_POINTER(lookup->queries->len));
	lookup->unanswered++;
}

static void add_service_queries_(const pl_flow_entry_t *entry, lookup_t *lookup,
				 const pl_route_service_t *service)
{
	pl_flow_ranked_t ranked[FIRST_RANKED_MAX];
	size_t count;

	if (lookup->wide || service->endpoint_count <= FIRST_RANKED_MAX) {
		for (size_t i = 0; i < service->endpoint_count; i++)
			add_query_(entry, lookup, service->endpoints[i].agent);
		return;
	}
	count = pl_flow_rank_(entry, service, &lookup->flow->node.key, NULL,
			      NULL, ranked, FIRST_RANKED_MAX);
	for (size_t i = 0; i < count; i++)
		add_query_(entry, lookup, ranked[i].endpoint->agent);
}

pl_service_id_t pl_flow_query_expected_service_(const pl_flow_entry_t *entry,
						const cached_flow_t *flow)
{
	return flow->service != 0 ?
		       flow->service :
		       pl_flow_split_expected_(entry, &flow->node.key);
}

/* Adds the agents to query: those of the expected service first. */
static void add_queries_(pl_flow_entry_t *entry, lookup_t *lookup)
{
	const pl_route_service_t *expected = pl_routing_by_id(
		entry->routing,
		pl_flow_query_expected_service_(entry, lookup->flow));
	size_t count = pl_routing_service_count(entry->routing);

	if (expected)
		add_service_queries_(entry, lookup, expected);
	for (size_t i = 0; (!expected || lookup->wide) && i < count; i++)
		add_service_queries_(entry, lookup,
				     pl_routing_service_at(entry->routing, i));
	/* endpoints that were offered the flow may own it regardless of rank */
	for (size_t i = 0; i < lookup->flow->offered_count; i++)
		add_query_(entry, lookup, lookup->flow->offered[i]);
}

void pl_flow_query_new_agents_(pl_flow_entry_t *entry)
{
	pl_list_for_each(link, &entry->lookups) {
		lookup_t *lookup = PL_CONTAINER_OF(link, lookup_t, link);

		if (pl_flow_query_(entry, lookup))
			lookup->exhausted = false;
	}
}

bool pl_flow_query_(pl_flow_entry_t *entry, lookup_t *lookup)
{
	guint before = lookup->queries->len;

	add_queries_(entry, lookup);
	arm_query_timer_(entry);
	return lookup->queries->len > before;
}

void pl_flow_query_agent_(pl_flow_entry_t *entry, lookup_t *lookup,
			  pl_member_id_t agent)
{
	add_query_(entry, lookup, agent);
	arm_query_timer_(entry);
}
