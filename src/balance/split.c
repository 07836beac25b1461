/**
 * @file
 * Split of a route's new flows over its services.
 */
#include <pimentolift/balance/split.h>

#include <math.h>
#include <pimentolift/hash.h>
#include <stdbool.h>

#define THOUSANDTHS 1000
/** Part of the slots in use from which a service has no room, in thousandths:
 * what is free below that is taken before the next load reports arrive. */
#define FULL_THOUSANDTHS 950
/** Mean part of the slots in use below which a service is not full, in
 * thousandths. Agents report their load most often when it has just grown, so a
 * service at a low load may look full for a moment. */
#define FULL_MEAN_THOUSANDTHS 600
/** Part of the slots in use up to which a service takes flows beyond its share,
 * in thousandths. The rest is a reserve for the service's own requests. */
#define OVERFLOW_THOUSANDTHS 700
/** Bits of a hash that a double represents exactly. */
#define FRACTION_BITS 53
#define HASH_BITS 64

/* Whether at most @p bound thousandths of the slots are in use. A service that
 * reported no load is taken to be idle. */
static bool is_used_below_(const pl_split_service_t *service, uint32_t used,
			   uint32_t bound)
{
	return service->slots == 0 ||
	       (uint64_t)used * THOUSANDTHS < (uint64_t)service->slots * bound;
}

static bool has_room_(const pl_split_service_t *service)
{
	return service->endpoints > 0 &&
	       (is_used_below_(service, service->busy, FULL_THOUSANDTHS) ||
		is_used_below_(service, service->mean_busy,
			       FULL_MEAN_THOUSANDTHS));
}

/* Whether the service takes flows beyond its share. The mean counts too, as a
 * long flow brings requests after its first one. */
static bool takes_overflow_(const pl_split_service_t *service)
{
	return service->weight > 0 && service->endpoints > 0 &&
	       is_used_below_(service, service->busy, OVERFLOW_THOUSANDTHS) &&
	       is_used_below_(service, service->mean_busy,
			      OVERFLOW_THOUSANDTHS);
}

/* Cost of the service for the flow: a random number that is exponentially
 * distributed with the weight as its rate. So each service has the least cost
 * with a probability proportional to its weight, and a changed weight moves
 * flows to or from this service only. */
static double cost_(const pl_split_service_t *service, uint64_t flow)
{
	uint64_t hash =
		pl_hash(&service->service, sizeof(service->service), flow);
	double fraction = ((double)(hash >> (HASH_BITS - FRACTION_BITS)) + 1) *
			  ldexp(1, -FRACTION_BITS);

	return -log(fraction) / service->weight;
}

/* Whether the service may be chosen. */
typedef bool (*filter_t)(const pl_split_service_t *service);

static bool is_alternative_(const pl_split_service_t *service)
{
	return service->weight > 0 && has_room_(service);
}

static bool has_endpoints_(const pl_split_service_t *service)
{
	return service->weight > 0 && service->endpoints > 0;
}

static bool has_weight_(const pl_split_service_t *service)
{
	return service->weight > 0;
}

/* Returns the index of the service of least cost that @p filter accepts, or the
 * number of services. */
static size_t choose_(const pl_split_snapshot_t *snapshot, filter_t filter)
{
	size_t best = snapshot->count;
	double least = 0;

	for (size_t i = 0; i < snapshot->count; i++) {
		double cost;

		if (!filter(&snapshot->services[i]))
			continue;
		cost = cost_(&snapshot->services[i], snapshot->flow);
		if (best < snapshot->count && cost >= least)
			continue;
		best = i;
		least = cost;
	}
	return best;
}

pl_split_decision_t pl_split_choose(const pl_split_snapshot_t *snapshot)
{
	size_t share = choose_(snapshot, has_weight_);
	pl_split_decision_t decision = { share, share, PL_REASON_SHARE };
	bool emptied;
	size_t other;

	if (share == snapshot->count) {
		decision.reason = PL_REASON_NO_SERVICE;
		return decision;
	}
	if (has_room_(&snapshot->services[share]))
		return decision;
	/* the flows of a service without endpoints would be lost */
	emptied = snapshot->services[share].endpoints == 0;
	other = choose_(snapshot, emptied ? is_alternative_ : takes_overflow_);
	decision.reason = PL_REASON_NO_ROOM;
	if (other < snapshot->count)
		decision.reason = PL_REASON_OVERFLOW;
	else if (emptied)
		other = choose_(snapshot, has_endpoints_);
	if (other < snapshot->count)
		decision.index = other;
	return decision;
}
