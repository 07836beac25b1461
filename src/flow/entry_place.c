/**
 * @file
 * Placement of new flows.
 */
#include "private/entry_private.h"

#include <pimentolift/balance/health.h>
#include <pimentolift/counter.h>
#include <pimentolift/hash.h>

/** One candidate in this many is in another data centre. Traffic between data
 * centres is costly, so such a candidate is for when the local endpoints are
 * busier. */
#define REMOTE_DIVISOR 4

/** Time until an opening packet shows in the load that its agent reports. */
#define REPORT_DELAY_MS 10
/** Age up to which a reported load is used. Agents report to an entry for 2 s
 * after its last packet, each change of their load at once. */
#define LOAD_VALID_MS 3000
/** Opening packets recorded per agent. */
#define SENT_TIMES_MAX 8

/** Load of an agent as the entry knows it. */
typedef struct {
	pl_endpoint_load_t load;
	pl_ms_t sent[SENT_TIMES_MAX]; /**< times of the last opening packets */
	unsigned int next; /**< index of the next time, modulo SENT_TIMES_MAX */
	pl_ms_t reported_at; /**< time of the last report; 0: none yet */
} agent_load_t;

void pl_flow_loads_init_(pl_flow_entry_t *entry)
{
	entry->loads = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
}

static agent_load_t *get_load_(pl_flow_entry_t *entry, pl_member_id_t agent)
{
	agent_load_t *load = g_hash_table_lookup(entry->loads, &agent);

	if (load)
		return load;
	load = g_new0(agent_load_t, 1);
	g_hash_table_insert(entry->loads, g_memdup2(&agent, sizeof(agent)),
			    load);
	return load;
}

void pl_flow_loads_update_(pl_flow_entry_t *entry, pl_member_id_t agent,
			   const pl_endpoint_load_t *load)
{
	agent_load_t *known = get_load_(entry, agent);

	known->load = *load;
	known->reported_at = pl_flow_entry_now_(entry);
}

bool pl_flow_loads_get_(const pl_flow_entry_t *entry, pl_member_id_t agent,
			pl_endpoint_load_t *load, pl_ms_t *age)
{
	const agent_load_t *known = g_hash_table_lookup(entry->loads, &agent);

	if (!known || known->load.slots == 0)
		return false;
	*load = known->load;
	*age = pl_flow_entry_now_(entry) - known->reported_at;
	return true;
}

static void record_sent_(pl_flow_entry_t *entry, pl_member_id_t agent)
{
	agent_load_t *load = get_load_(entry, agent);

	load->sent[load->next++ % SENT_TIMES_MAX] = pl_flow_entry_now_(entry);
}

/* Number of opening packets sent too recently to be in the agent's report. */
static uint32_t count_unreported_(const pl_flow_entry_t *entry,
				  const agent_load_t *load)
{
	pl_ms_t now = pl_flow_entry_now_(entry);
	uint32_t count = 0;

	for (unsigned int i = 0; i < SENT_TIMES_MAX; i++)
		count += load->sent[i] != 0 &&
			 now - load->sent[i] < REPORT_DELAY_MS;
	return count;
}

static bool sent_within_(const agent_load_t *load, pl_ms_t now, pl_ms_t within)
{
	for (unsigned int i = 0; i < SENT_TIMES_MAX; i++) {
		if (load->sent[i] != 0 && now - load->sent[i] <= within)
			return true;
	}
	return false;
}

bool pl_flow_entry_was_offered_(const cached_flow_t *flow, pl_member_id_t agent)
{
	for (size_t i = 0; i < flow->offered_count; i++) {
		if (flow->offered[i] == agent)
			return true;
	}
	return false;
}

pl_member_id_t pl_flow_entry_last_offer_(const cached_flow_t *flow)
{
	for (size_t i = MIN(flow->offered_count, PL_FLOW_OFFERS_MAX);
	     i-- > 0;) {
		if (!(flow->ruled_out & 1U << i))
			return flow->offered[i];
	}
	return 0;
}

void pl_flow_entry_rule_out_(cached_flow_t *flow, pl_member_id_t agent)
{
	for (size_t i = 0; i < flow->offered_count; i++) {
		if (flow->offered[i] == agent)
			flow->ruled_out |= 1U << i;
	}
}

static void clear_offers_(cached_flow_t *flow)
{
	if (pl_flow_entry_last_offer_(flow) != 0)
		flow->offers_open = true;
	flow->offered_count = 0;
	flow->ruled_out = 0;
}

/* Selects the endpoints to rank. */
typedef struct {
	bool (*fits)(const void *ctx, const pl_endpoint_t *endpoint);
	const void *ctx;
	pl_datacentre_id_t datacentre;
	bool local; /* in @c datacentre, or in any other */
	bool any_datacentre; /* overrides @c local */
} filter_t;

static bool matches_(const filter_t *filter, const pl_endpoint_t *endpoint)
{
	bool local = endpoint->datacentre == filter->datacentre;

	return (filter->any_datacentre || local == filter->local) &&
	       (!filter->fits || filter->fits(filter->ctx, endpoint));
}

static size_t rank_endpoints_(const pl_route_service_t *service,
			      const pl_flow_key_t *key, const filter_t *filter,
			      pl_flow_ranked_t *ranked, size_t max)
{
	uint64_t seed = pl_hash(key, sizeof(*key), 0);
	size_t count = 0;

	for (size_t i = 0; i < service->endpoint_count; i++) {
		const pl_endpoint_t *endpoint = &service->endpoints[i];
		uint64_t rank;
		size_t at;

		if (!matches_(filter, endpoint))
			continue;
		rank = pl_hash(&endpoint->agent, sizeof(endpoint->agent), seed);
		if (count == max && ranked[max - 1].rank >= rank)
			continue;
		at = count < max ? count++ : max - 1;
		for (; at > 0 && ranked[at - 1].rank < rank; at--)
			ranked[at] = ranked[at - 1];
		ranked[at] = (pl_flow_ranked_t){ endpoint, rank };
	}
	return count;
}

size_t
pl_flow_rank_(const pl_flow_entry_t *entry, const pl_route_service_t *service,
	      const pl_flow_key_t *key,
	      bool (*fits)(const void *ctx, const pl_endpoint_t *endpoint),
	      const void *ctx, pl_flow_ranked_t *ranked, size_t max)
{
	filter_t filter = { .fits = fits,
			    .ctx = ctx,
			    .datacentre = entry->params.datacentre,
			    .any_datacentre = service->endpoint_count <= max };
	size_t remote_count = max / REMOTE_DIVISOR;
	size_t count;

	if (filter.any_datacentre)
		return rank_endpoints_(service, key, &filter, ranked, max);
	count = rank_endpoints_(service, key, &filter, ranked, remote_count);
	filter.local = true;
	count += rank_endpoints_(service, key, &filter, ranked + count,
				 max - count);
	if (count == max)
		return count;
	/* too few local endpoints: fill up with remote ones */
	count = rank_endpoints_(service, key, &filter, ranked, max);
	filter.local = false;
	return count + rank_endpoints_(service, key, &filter, ranked + count,
				       max - count);
}

/* Whether the flow @p ctx may be offered to the endpoint. */
static bool is_eligible_(const void *ctx, const pl_endpoint_t *endpoint)
{
	return endpoint->state == PL_ENDPOINT_SERVING && !endpoint->evacuated &&
	       !pl_flow_entry_was_offered_(ctx, endpoint->agent);
}

static bool is_full_(const pl_place_candidate_t *candidate)
{
	return candidate->load.slots > 0 &&
	       candidate->load.busy + candidate->unreported >=
		       candidate->load.slots;
}

/* A load that was reported too long ago is not known any more, and an endpoint
 * that was sent nothing since then is as one that was never tried. */
static pl_place_candidate_t make_candidate_(const pl_flow_entry_t *entry,
					    const pl_endpoint_t *endpoint)
{
	static const agent_load_t none;
	const agent_load_t *record =
		g_hash_table_lookup(entry->loads, &endpoint->agent);
	const agent_load_t *known = record ? record : &none;
	pl_ms_t now = pl_flow_entry_now_(entry);
	pl_place_candidate_t candidate = {
		.agent = endpoint->agent,
		.weight = endpoint->weight,
		.unreported = count_unreported_(entry, known),
		.age_ms = now - known->reported_at,
		.tried = sent_within_(known, now, LOAD_VALID_MS),
		.local = endpoint->datacentre == entry->params.datacentre,
	};

	if (candidate.age_ms <= LOAD_VALID_MS)
		candidate.load = known->load;
	return candidate;
}

/* Chooses the endpoint of the service for an opening packet. */
static void choose_endpoint_(const pl_flow_entry_t *entry,
			     const cached_flow_t *flow,
			     pl_flow_choice_t *choice)
{
	pl_flow_ranked_t ranked[PL_FLOW_CANDIDATES_MAX];
	size_t count;

	count = pl_flow_rank_(entry, choice->split.service, &flow->node.key,
			      is_eligible_, flow, ranked,
			      PL_FLOW_CANDIDATES_MAX);
	choice->last =
		count <= 1 || flow->offered_count + 1 >= PL_FLOW_OFFERS_MAX;
	choice->count = count;
	if (count == 0)
		return;
	for (size_t i = 0; i < count; i++)
		choice->candidates[i] =
			make_candidate_(entry, ranked[i].endpoint);
	pl_flow_ejected_mark_(entry, choice);
	choice->chosen =
		entry->params.placement->choose(choice->candidates, count);
	/* if the best endpoint is full, the others need no offer */
	if (is_full_(&choice->candidates[choice->chosen]))
		choice->last = true;
	choice->endpoint = ranked[choice->chosen].endpoint;
}

/* Whether the flow may be offered to another service if the first endpoint has
 * no room. */
static bool may_overflow_(const cached_flow_t *flow,
			  const pl_flow_split_t *split)
{
	return split->divided && split->reason != PL_REASON_NO_ROOM &&
	       flow->offered_count + 1 < PL_FLOW_OFFERS_MAX;
}

void pl_flow_choose_(const pl_flow_entry_t *entry, const cached_flow_t *flow,
		     pl_flow_choice_t *choice)
{
	choice->endpoint = NULL;
	choice->count = 0;
	choice->last = false;
	choice->accepted = pl_flow_split_(entry, flow, &choice->split);
	if (!choice->accepted || flow->offered_count >= PL_FLOW_OFFERS_MAX)
		return;
	choose_endpoint_(entry, flow, choice);
	if (may_overflow_(flow, &choice->split))
		choice->last = false;
}

void pl_flow_entry_cancel_offers_(pl_flow_entry_t *entry, cached_flow_t *flow)
{
	pl_flow_message_t message = {
		.type = PL_FLOW_CANCEL,
		.sender = entry->params.self,
		.flow = flow->node.key,
	};

	for (size_t i = 0; i < flow->offered_count; i++) {
		message.service = pl_flow_entry_service_of_(entry, flow,
							    flow->offered[i]);
		if (flow->offered[i] != flow->owner)
			entry->ops->send(entry->ctx, flow->offered[i],
					 &message);
	}
	clear_offers_(flow);
}

static unsigned int flags_(const pl_flow_choice_t *choice)
{
	bool ejected =
		choice->candidates[choice->chosen].load.health >= PL_HEALTH_OUT;

	return (choice->last ? PL_FLOW_LAST_OFFER : 0) |
	       (ejected ? PL_FLOW_NEEDED : 0);
}

void pl_flow_entry_place_(pl_flow_entry_t *entry, cached_flow_t *flow,
			  const uint8_t *bytes, size_t len)
{
	pl_flow_choice_t choice;
	pl_member_id_t agent;

	pl_flow_split_refresh_(entry, &flow->node.key);
	pl_flow_choose_(entry, flow, &choice);
	if (choice.accepted)
		flow->service = choice.split.service->id;
	if (!choice.endpoint) {
		/* retry a little later, from the first offer; a flow that no
		 * service takes any more may belong to one that was offered */
		if (choice.accepted)
			clear_offers_(flow);
		entry->stats.no_endpoint++;
		if (!pl_flow_evacuate_reject_(entry, flow, bytes, len))
			pl_flow_hold_add_(entry, bytes, len);
		return;
	}
	agent = choice.endpoint->agent;
	flow->offered[flow->offered_count++] = agent;
	pl_flow_ejected_keep_(entry, &choice);
	pl_flow_split_placed_(entry, flow, &choice.split);
	record_sent_(entry, agent);
	entry->stats.placed++;
	pl_counter_add(PL_COUNTER_FLOWS_PLACED, 1);
	pl_flow_entry_forward_(entry, flow, agent, flags_(&choice), bytes, len);
}
