/** @file Weighted rendezvous hashing. */
#include <pimentolift/placement.h>

#include <assert.h>
#include <math.h>
#include <pimentolift/hash.h>

/** Bits of a 64-bit hash that do not fit the mantissa of a double. */
#define HASH_SURPLUS_BITS 11
/** Scales a 53-bit integer to the range from 0 to 1. */
#define MANTISSA_SCALE 0x1p-53

static bool eligible_(const pl_endpoint_t *endpoint, pl_rank_scope_t scope)
{
	if (endpoint->weight == 0)
		return false;
	if (endpoint->state == PL_ENDPOINT_SERVING)
		return true;
	return endpoint->state == PL_ENDPOINT_DRAINING &&
	       scope == PL_RANK_REACHABLE;
}

/* Pseudo-random number, uniform in (0, 1), for one endpoint and one caller. */
static double uniform_hash_(const pl_endpoint_t *endpoint, uint64_t caller_hash)
{
	uint64_t hash =
		pl_hash(&endpoint->agent, sizeof(endpoint->agent), caller_hash);

	return ((double)(hash >> HASH_SURPLUS_BITS) + 0.5) * MANTISSA_SCALE;
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
		u = uniform_hash_(endpoint, caller_hash);
		/* -ln(u) >= 1 - u, so most endpoints are ruled out without
		 * computing the logarithm */
		if (count == want && weight <= scores[count - 1] * (1.0 - u))
			continue;
		/*
		 * An endpoint of weight w has the highest -w / ln(u) with a
		 * probability proportional to w.
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
