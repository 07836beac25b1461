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
 * thousandths. One in the entry's data centre that was sent no flow is likely to
 * be new and empty: agents report only to entries that send them packets. */
#define UNKNOWN_THOUSANDTHS 500

/** Age of a report at which the mean over the last second says as much of the
 * present as the number of requests: about two answer times. */
#define REPORT_HALF_AGE_MS 100
/** An endpoint counts as slow if its time to answer exceeds the mean of the
 * candidates by this much, in percent; less is within the noise of the mean. */
#define SLOW_PERCENT 150
#define PERCENT 100
/** Age of a report at which half of what it says of a slow endpoint still
 * counts. An endpoint that gets no new flows answers nothing that would show that
 * it has recovered, so it is tried again after a few of these. */
#define SLOW_HALF_AGE_MS 1000

/** Added to the wait of an ejected endpoint; longer than any other wait. */
#define OUT_WAIT (UINT64_C(1) << 48)

static size_t choose_first_(const pl_place_candidate_t *candidates,
			    size_t count)
{
	(void)candidates;
	(void)count;
	return 0;
}

/* Requests in progress, in thousandths, expected from an older report. */
static uint64_t present_(const pl_endpoint_load_t *load, pl_ms_t age_ms)
{
	return ((uint64_t)load->busy * THOUSANDTHS * REPORT_HALF_AGE_MS +
		(uint64_t)load->mean_busy * age_ms) /
	       (REPORT_HALF_AGE_MS + age_ms);
}

/* Whether the pace of servers counts. It says which server has to wait while
 * others have room; if most are paced, as after a loss of all, work would only
 * go elsewhere by chance. */
static bool pace_counts_(const pl_place_candidate_t *candidates, size_t count)
{
	size_t paced = 0;
	size_t known = 0;

	for (size_t i = 0; i < count; i++) {
		known += candidates[i].load.slots > 0;
		paced += candidates[i].load.limit > 0;
	}
	return paced * 2 < known;
}

/* Slots that the endpoint may use now, in thousandths. */
static uint64_t usable_slots_(const pl_endpoint_load_t *load, bool paced)
{
	return paced && load->limit > 0 ? load->limit :
					  (uint64_t)load->slots * THOUSANDTHS;
}

/* Expected utilisation of the endpoint's slots, in thousandths. The present
 * load and its mean count half each, as long flows carry many requests. */
static uint64_t utilisation_(const pl_place_candidate_t *candidate, bool paced)
{
	const pl_endpoint_load_t *load = &candidate->load;
	uint64_t now;
	uint64_t utilisation;

	now = present_(load, candidate->age_ms) +
	      (uint64_t)candidate->unreported * THOUSANDTHS;
	if (load->slots > 0)
		utilisation = (now + load->mean_busy) * THOUSANDTHS / 2 /
			      usable_slots_(load, paced);
	else if (candidate->local && !candidate->tried)
		utilisation = 0;
	else
		utilisation = UNKNOWN_THOUSANDTHS + now;
	if (!candidate->local)
		utilisation += REMOTE_PENALTY_THOUSANDTHS;
	/* the weight of a new endpoint ramps up to PL_PLACE_WEIGHT_FULL */
	return utilisation * PL_PLACE_WEIGHT_FULL /
	       (candidate->weight + PL_PLACE_WEIGHT_FULL / 100);
}

static size_t choose_least_utilised_(const pl_place_candidate_t *candidates,
				     size_t count)
{
	bool paced = pace_counts_(candidates, count);
	size_t best = 0;

	for (size_t i = 1; i < count; i++) {
		if (utilisation_(&candidates[i], paced) <
		    utilisation_(&candidates[best], paced))
			best = i;
	}
	return best;
}

/* Mean time to answer of the candidates, in ms; 0 if not known. */
static uint64_t mean_request_ms_(const pl_place_candidate_t *candidates,
				 size_t count)
{
	uint64_t sum = 0;
	uint64_t known = 0;

	for (size_t i = 0; i < count; i++) {
		sum += candidates[i].load.request_ms;
		known += candidates[i].load.request_ms != 0;
	}
	return known ? sum / known : 0;
}

/* Time to answer that is expected now of an endpoint that was slow. */
static uint64_t present_request_ms_(const pl_place_candidate_t *candidate,
				    uint64_t usual_ms)
{
	uint64_t reported_ms = candidate->load.request_ms;

	if (reported_ms <= usual_ms)
		return reported_ms;
	return usual_ms + (reported_ms - usual_ms) * SLOW_HALF_AGE_MS /
				  (SLOW_HALF_AGE_MS + candidate->age_ms);
}

/* Expected wait of a new flow, in thousandths of the time in which an endpoint
 * of usual speed answers as many requests as it has slots. */
static uint64_t wait_in_use_(const pl_place_candidate_t *candidate,
			     uint64_t usual_ms, bool paced)
{
	const pl_endpoint_load_t *load = &candidate->load;
	uint64_t request_ms = present_request_ms_(candidate, usual_ms);
	uint64_t wait = utilisation_(candidate, paced);

	if (load->slots == 0 || usual_ms == 0 ||
	    request_ms * PERCENT <= usual_ms * SLOW_PERCENT)
		return wait;
	/* its own request is slow, too */
	return (wait + THOUSANDTHS / load->slots) * request_ms / usual_ms;
}

static uint64_t expected_wait_(const pl_place_candidate_t *candidate,
			       uint64_t usual_ms, bool paced)
{
	return wait_in_use_(candidate, usual_ms, paced) +
	       (candidate->out ? OUT_WAIT : 0);
}

static size_t choose_least_wait_(const pl_place_candidate_t *candidates,
				 size_t count)
{
	uint64_t usual_ms = mean_request_ms_(candidates, count);
	bool paced = pace_counts_(candidates, count);
	uint64_t least = UINT64_MAX;
	size_t best = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t wait = expected_wait_(&candidates[i], usual_ms, paced);

		if (wait < least) {
			least = wait;
			best = i;
		}
	}
	return best;
}

uint64_t pl_place_wait(const pl_place_candidate_t *candidates, size_t count,
		       size_t index)
{
	return expected_wait_(&candidates[index],
			      mean_request_ms_(candidates, count),
			      pace_counts_(candidates, count));
}

const pl_place_policy_t pl_place_by_hash = { "hash", choose_first_ };
const pl_place_policy_t pl_place_least_utilised = { "load",
						    choose_least_utilised_ };
const pl_place_policy_t pl_place_least_wait = { "wait", choose_least_wait_ };
