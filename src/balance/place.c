/**
 * @file
 * Placement policies: how an entry chooses the endpoint of a new flow.
 */
#include <pimentolift/balance/place.h>

/** Penalty on the utilisation of an endpoint in another data centre, in
 * thousandths of its slots: traffic between data centres is costly, but
 * queueing costs more. */
#define REMOTE_PENALTY_THOUSANDTHS 200
#define THOUSANDTHS 1000
/** Assumed utilisation of an endpoint that has not reported its load yet, in
 * thousandths. */
#define UNKNOWN_THOUSANDTHS 500

static size_t choose_first_(const pl_place_candidate_t *candidates,
			    size_t count)
{
	(void)candidates;
	(void)count;
	return 0;
}

/* Expected utilisation of the endpoint's slots, in thousandths. The present
 * load and its mean count half each, as long flows carry many requests. */
static uint64_t utilisation_(const pl_place_candidate_t *candidate)
{
	const pl_endpoint_load_t *load = &candidate->load;
	uint64_t now;
	uint64_t utilisation;

	now = (uint64_t)(load->busy + candidate->unreported) * THOUSANDTHS;
	utilisation = load->slots == 0 ?
			      UNKNOWN_THOUSANDTHS + now :
			      (now + load->mean_busy) / 2 / load->slots;
	if (!candidate->local)
		utilisation += REMOTE_PENALTY_THOUSANDTHS;
	/* the weight of a new endpoint ramps up to PL_PLACE_WEIGHT_FULL */
	return utilisation * PL_PLACE_WEIGHT_FULL /
	       (candidate->weight + PL_PLACE_WEIGHT_FULL / 100);
}

static size_t choose_least_utilised_(const pl_place_candidate_t *candidates,
				     size_t count)
{
	size_t best = 0;

	for (size_t i = 1; i < count; i++) {
		if (utilisation_(&candidates[i]) <
		    utilisation_(&candidates[best]))
			best = i;
	}
	return best;
}

const pl_place_policy_t pl_place_by_hash = { "hash", choose_first_ };
const pl_place_policy_t pl_place_least_utilised = { "load",
						    choose_least_utilised_ };
