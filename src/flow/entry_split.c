/**
 * @file
 * Choice of a new flow's service among those of its route.
 */
#include "private/entry_private.h"

#include <pimentolift/balance/split.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <pimentolift/hash.h>
#include <string.h>

/** Load of a service is summed up over its endpoints at most this often; agents
 * report changes after 100 ms. */
#define SUMMARY_MS 20
/** Load that was reported longer ago counts as unknown: agents report for 2 s
 * after the last packet. */
#define REPORT_AGE_MAX_MS 2500
/** The requests in progress of an older report have ended since; only the mean
 * still tells something. Agents report at intervals of 100 ms. */
#define BUSY_AGE_MAX_MS 150
#define THOUSANDTHS 1000
/** Endpoints whose load stands for that of the whole service. */
#define SAMPLE_MIN 8U
/** A service whose endpoints refused the flow this often has no room for it.
 * One endpoint alone may just have got another entry's flow. */
#define REFUSALS_FULL 2U

/* Load of a service, summed up at @c at. */
typedef struct {
	pl_ms_t at;
	uint32_t placed; /* flows that this entry placed there since then */
	uint32_t known; /* endpoints that reported their load */
	/* of these endpoints, in thousandths of a slot */
	uint64_t slots;
	uint64_t busy;
	uint64_t mean_busy;
	pl_split_service_t load;
} summary_t;

void pl_flow_split_init_(pl_flow_entry_t *entry)
{
	entry->summaries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
}

void pl_flow_split_finish_(pl_flow_entry_t *entry)
{
	g_hash_table_destroy(entry->summaries);
}

void pl_flow_split_routing_changed_(pl_flow_entry_t *entry)
{
	/* the endpoints may be others */
	g_hash_table_remove_all(entry->summaries);
}

/* Whether the address has services with weights. */
static bool is_divided_(const pl_route_share_t *shares, size_t count)
{
	return count > 1 || (count == 1 && shares[0].policy->weighted);
}

static void add_endpoint_(const pl_flow_entry_t *entry, summary_t *summary,
			  const pl_endpoint_t *endpoint)
{
	pl_endpoint_load_t load;
	pl_ms_t age;

	if (endpoint->state != PL_ENDPOINT_SERVING || endpoint->evacuated)
		return;
	summary->load.endpoints++;
	if (!pl_flow_loads_get_(entry, endpoint->agent, &load, &age) ||
	    age > REPORT_AGE_MAX_MS)
		return;
	if (age > BUSY_AGE_MAX_MS)
		load.busy = MIN(load.busy, load.mean_busy / THOUSANDTHS);
	summary->known++;
	summary->slots += (uint64_t)load.slots * THOUSANDTHS;
	summary->busy += (uint64_t)MIN(load.busy, load.slots) * THOUSANDTHS;
	summary->mean_busy += MIN(load.mean_busy, load.slots * THOUSANDTHS);
}

/* Derives the load of the service from that of the known endpoints. The others
 * count as idle, unless enough are known to stand for all. */
static void extrapolate_(summary_t *summary)
{
	pl_split_service_t *load = &summary->load;
	uint64_t divisor = (uint64_t)summary->known * THOUSANDTHS;
	uint32_t factor =
		summary->known >= SAMPLE_MIN ? load->endpoints : summary->known;

	if (summary->known == 0)
		return;
	load->slots = (uint32_t)(summary->slots * load->endpoints / divisor);
	load->busy = (uint32_t)(summary->busy * factor / divisor);
	load->mean_busy = (uint32_t)(summary->mean_busy * factor / divisor);
}

static summary_t sum_up_(const pl_flow_entry_t *entry,
			 const pl_route_service_t *service)
{
	summary_t summary = { .at = pl_flow_entry_now_(entry),
			      .load.service = service->id };

	for (size_t i = 0; i < service->endpoint_count; i++)
		add_endpoint_(entry, &summary, &service->endpoints[i]);
	extrapolate_(&summary);
	return summary;
}

static summary_t *find_fresh_(const pl_flow_entry_t *entry,
			      const pl_route_service_t *service)
{
	summary_t *summary =
		g_hash_table_lookup(entry->summaries, &service->id);

	if (summary && pl_flow_entry_now_(entry) - summary->at < SUMMARY_MS)
		return summary;
	return NULL;
}

static summary_t *get_summary_(pl_flow_entry_t *entry,
			       const pl_route_service_t *service)
{
	summary_t *summary = find_fresh_(entry, service);

	if (summary)
		return summary;
	summary = g_new(summary_t, 1);
	*summary = sum_up_(entry, service);
	g_hash_table_replace(entry->summaries,
			     g_memdup2(&service->id, sizeof(service->id)),
			     summary);
	return summary;
}

void pl_flow_split_refresh_(pl_flow_entry_t *entry, const pl_flow_key_t *key)
{
	pl_route_share_t shares[PL_ROUTE_SHARES_MAX];
	size_t count = pl_flow_entry_shares_(entry, key, shares);

	if (!is_divided_(shares, count))
		return;
	for (size_t i = 0; i < count; i++)
		get_summary_(entry, shares[i].service);
}

/* Number of endpoints of the service that refused the flow. */
static uint32_t count_refusals_(const pl_flow_entry_t *entry,
				const cached_flow_t *flow,
				pl_service_id_t service)
{
	uint32_t count = 0;

	for (size_t i = 0; i < flow->offered_count; i++) {
		const pl_endpoint_t *endpoint =
			pl_routing_endpoint(entry->routing, flow->offered[i]);

		count += (flow->ruled_out & 1U << i) && endpoint &&
			 endpoint->service == service;
	}
	return count;
}

pl_split_service_t pl_flow_split_load_(const pl_flow_entry_t *entry,
				       const cached_flow_t *flow,
				       const pl_route_share_t *share)
{
	const summary_t *fresh = find_fresh_(entry, share->service);
	const summary_t summary =
		fresh ? *fresh : sum_up_(entry, share->service);
	pl_split_service_t load = summary.load;
	uint32_t refusals = count_refusals_(entry, flow, share->service->id);

	load.weight = share->weight;
	load.busy = MIN(load.busy + summary.placed, load.slots);
	/* endpoints that refused had no room, and were the least loaded ones */
	if (refusals >= MIN(REFUSALS_FULL, load.endpoints))
		load.busy = load.slots;
	return load;
}

/* Decides by the weights of @p shares and the room of their services. */
static pl_split_decision_t decide_(const pl_flow_entry_t *entry,
				   const cached_flow_t *flow,
				   const pl_route_share_t *shares, size_t count)
{
	pl_split_service_t services[PL_ROUTE_SHARES_MAX];
	const pl_split_snapshot_t snapshot = {
		.services = services,
		.count = count,
		.flow = pl_hash(&flow->node.key, sizeof(flow->node.key), 0),
	};

	for (size_t i = 0; i < count; i++)
		services[i] = pl_flow_split_load_(entry, flow, &shares[i]);
	return pl_split_choose(&snapshot);
}

static const pl_route_service_t *named_(const pl_route_share_t *shares,
					size_t count, pl_service_id_t id)
{
	for (size_t i = 0; i < count; i++) {
		if (shares[i].service->id == id)
			return shares[i].service;
	}
	return NULL;
}

bool pl_flow_split_names_(const pl_flow_entry_t *entry,
			  const pl_flow_key_t *key, pl_service_id_t service)
{
	pl_route_share_t shares[PL_ROUTE_SHARES_MAX];
	size_t count = pl_flow_entry_shares_(entry, key, shares);

	return named_(shares, count, service) != NULL;
}

bool pl_flow_split_(const pl_flow_entry_t *entry, const cached_flow_t *flow,
		    pl_flow_split_t *split)
{
	pl_route_share_t shares[PL_ROUTE_SHARES_MAX];
	size_t count = pl_flow_entry_shares_(entry, &flow->node.key, shares);
	pl_split_decision_t decision = { .reason = PL_REASON_SHARE };

	/* the route may have got other services since the first offer */
	if (flow->service != 0 && !named_(shares, count, flow->service))
		return false;
	split->divided = is_divided_(shares, count);
	if (count == 0)
		return false;
	if (split->divided)
		decision = decide_(entry, flow, shares, count);
	if (decision.reason == PL_REASON_NO_SERVICE)
		return false;
	split->reason = decision.reason;
	split->service = shares[decision.index].service;
	split->share = shares[decision.share].service;
	return true;
}

/* Finds the counts of a service of the route; returns NULL if there are too many
 * of them. */
static pl_flow_share_t *get_share_(pl_flow_entry_t *entry,
				   const pl_addr_t *addr, const char *service)
{
	pl_flow_share_t *share = entry->shares;

	for (size_t i = 0; i < entry->share_count; i++, share++) {
		if (pl_addr_equal(&share->address, addr) &&
		    strcmp(share->service, service) == 0)
			return share;
	}
	if (entry->share_count == PL_FLOW_SHARES_MAX)
		return NULL;
	entry->share_count++;
	share->address = *addr;
	g_strlcpy(share->service, service, sizeof(share->service));
	return share;
}

static void count_share_(pl_flow_entry_t *entry, const cached_flow_t *flow,
			 const pl_flow_split_t *split)
{
	const pl_addr_t addr = pl_flow_entry_service_addr_(&flow->node.key);
	pl_flow_share_t *share;

	share = get_share_(entry, &addr, split->share->name);
	if (share)
		share->asked++;
	share = get_share_(entry, &addr, split->service->name);
	if (share)
		share->given++;
}

size_t pl_flow_entry_shares(const pl_flow_entry_t *entry,
			    pl_flow_share_t shares[PL_FLOW_SHARES_MAX])
{
	pl_route_share_t current[PL_ROUTE_SHARES_MAX];

	for (size_t i = 0; i < entry->share_count; i++) {
		size_t count;

		shares[i] = entry->shares[i];
		count = pl_routing_shares(entry->routing, &shares[i].address,
					  current);
		for (size_t k = 0; k < count; k++) {
			if (strcmp(current[k].service->name,
				   shares[i].service) == 0)
				shares[i].weight = current[k].weight;
		}
	}
	return entry->share_count;
}

void pl_flow_split_placed_(pl_flow_entry_t *entry, const cached_flow_t *flow,
			   const pl_flow_split_t *split)
{
	char name[PL_FLOW_TEXT_MAX];

	if (!split->divided)
		return;
	get_summary_(entry, split->service)->placed++;
	if (flow->offered_count == 1)
		count_share_(entry, flow, split);
	if (split->service == split->share)
		pl_counter_add(PL_COUNTER_FLOWS_BY_SHARE, 1);
	if (split->reason != PL_REASON_OVERFLOW)
		return;
	entry->stats.overflowed++;
	pl_counter_add(PL_COUNTER_FLOWS_OVERFLOWED, 1);
	pl_event(PL_EVENT_FLOW_OVERFLOWED,
		 "flow %s goes to %s, as %s has no room",
		 pl_flow_format(&flow->node.key, name), split->service->name,
		 split->share->name);
}

pl_service_id_t pl_flow_split_expected_(const pl_flow_entry_t *entry,
					const pl_flow_key_t *key)
{
	pl_route_share_t shares[PL_ROUTE_SHARES_MAX];
	pl_split_service_t services[PL_ROUTE_SHARES_MAX];
	size_t count = pl_flow_entry_shares_(entry, key, shares);
	const pl_split_snapshot_t snapshot = {
		.services = services,
		.count = count,
		.flow = pl_hash(key, sizeof(*key), 0),
	};
	pl_split_decision_t decision;

	for (size_t i = 0; i < count; i++)
		services[i] = (pl_split_service_t){
			.service = shares[i].service->id,
			.weight = shares[i].weight,
		};
	if (count <= 1)
		return count == 0 ? 0 : shares[0].service->id;
	decision = pl_split_choose(&snapshot);
	/* without a weight above 0, the flow is from before that */
	return decision.reason == PL_REASON_NO_SERVICE ?
		       shares[0].service->id :
		       shares[decision.share].service->id;
}

bool pl_flow_split_accepts_(const pl_flow_entry_t *entry,
			    const pl_flow_key_t *key)
{
	pl_route_share_t shares[PL_ROUTE_SHARES_MAX];
	size_t count = pl_flow_entry_shares_(entry, key, shares);

	for (size_t i = 0; i < count; i++) {
		if (shares[i].weight > 0)
			return true;
	}
	return false;
}
