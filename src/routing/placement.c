/** @file Weighted rendezvous hashing. */
#include <pimentolift/placement.h>

#include <assert.h>
#include <math.h>
#include <pimentolift/hash.h>

/** Bits of a hash that do not fit the mantissa of a double. */
#define SURPLUS_BITS 11
/** Turns the mantissa's bits into a number from 0 to 1. */
#define UNIT 0x1p-53

static bool eligible_(const pl_endpoint_t *endpoint, pl_rank_scope_t scope)
{
	if (endpoint->weight == 0)
		return false;
	if (endpoint->state == PL_ENDPOINT_SERVING)
		return true;
	return endpoint->state == PL_ENDPOINT_DRAINING &&
	       scope == PL_RANK_REACHABLE;
}

/* Uniform number in (0, 1) for one endpoint and one caller. */
static double uniform_(const pl_endpoint_t *endpoint, uint64_t caller_hash)
{
	uint64_t hash =
		pl_hash(&endpoint->agent, sizeof(endpoint->agent), caller_hash);

	return ((double)(hash >> SURPLUS_BITS) + 0.5) * UNIT;
}

size_t pl_placement_rank(const pl_route_service_t *service,
			 const pl_addr_t *caller, pl_rank_scope_t scope,
			 pl_member_id_t exclude, const pl_endpoint_t **out,
			 size_t want)
{
	double scores[PL_PLACEMENT_RANK_MAX];
	uint64_t caller_hash = pl_addr_hash(caller, service->id);
	size_t count = 0;

	assert(out || want == 0);
	if (want > PL_PLACEMENT_RANK_MAX)
		want = PL_PLACEMENT_RANK_MAX;
	if (want == 0)
		return 0;
	for (size_t i = 0; i < service->endpoint_count; i++) {
		const pl_endpoint_t *endpoint = &service->endpoints[i];
		double weight = endpoint->weight;
		double score;
		double u;
		size_t at;

		if (endpoint->agent == exclude || !eligible_(endpoint, scope))
			continue;
		u = uniform_(endpoint, caller_hash);
		/* -ln(u) is at least 1 - u: most endpoints need no logarithm */
		if (count == want && weight <= scores[count - 1] * (1.0 - u))
			continue;
		/*
		 * The highest -w / ln(u) falls on an endpoint with a
		 * probability proportional to its weight w.
		 */
		score = -weight / log(u);
		if (count == want && score <= scores[count - 1])
			continue;
		at = count < want ? count++ : count - 1;
		for (; at > 0 && scores[at - 1] < score; at--) {
			scores[at] = scores[at - 1];
			out[at] = out[at - 1];
		}
		scores[at] = score;
		out[at] = endpoint;
	}
	return count;
}

const pl_endpoint_t *pl_placement_home(const pl_route_service_t *service,
				       const pl_addr_t *caller)
{
	const pl_endpoint_t *home = NULL;

	pl_placement_rank(service, caller, PL_RANK_SERVING, 0, &home, 1);
	return home;
}
