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

/** Age of a report at which the mean over the last second says as much of the
 * present as the number of requests: about two answer times. */
#define REPORT_HALF_AGE_MS 100
/** An endpoint counts as slow if its time to answer exceeds the mean of the
 * candidates by this much, in percent; less is within the noise of the mean. */
#define SLOW_PERCENT 150
/** A report this old tells nothing: agents report for 2 s after the last packet.
 * The endpoint counts as idle and of usual speed, as nothing would correct what
 * the entry knows of an endpoint that it avoids. */
#define REPORT_AGE_MAX_MS 2500
#define PERCENT 100

static size_t choose_first_(const pl_place_candidate_t *candidates,
			    size_t count)
{
	(void)candidates;
	(void)count;
	return 0;
}

static bool is_outdated_(const pl_place_candidate_t *candidate)
{
	return candidate->age_ms > REPORT_AGE_MAX_MS;
}

/* Requests in progress, in thousandths, expected from an older report. */
static uint64_t present_(const pl_endpoint_load_t *load, pl_ms_t age_ms)
{
	return ((uint64_t)load->busy * THOUSANDTHS * REPORT_HALF_AGE_MS +
		(uint64_t)load->mean_busy * age_ms) /
	       (REPORT_HALF_AGE_MS + age_ms);
}

/* Expected utilisation of the endpoint's slots, in thousandths. The present
 * load and its mean count half each, as long flows carry many requests. */
static uint64_t utilisation_(const pl_place_candidate_t *candidate)
{
	const pl_endpoint_load_t *load = &candidate->load;
	uint64_t now = (uint64_t)candidate->unreported * THOUSANDTHS;
	uint64_t mean = 0;
	uint64_t utilisation;

	if (!is_outdated_(candidate)) {
		now += present_(load, candidate->age_ms);
		mean = load->mean_busy;
	}
	utilisation = load->slots == 0 ? UNKNOWN_THOUSANDTHS + now :
					 (now + mean) / 2 / load->slots;
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

/* Time to answer of the endpoint, in ms; 0 if not known. */
static uint64_t request_ms_(const pl_place_candidate_t *candidate)
{
	return is_outdated_(candidate) ? 0 : candidate->load.request_ms;
}

/* Mean time to answer of the candidates, in ms; 0 if not known. */
static uint64_t mean_request_ms_(const pl_place_candidate_t *candidates,
				 size_t count)
{
	uint64_t sum = 0;
	uint64_t known = 0;

	for (size_t i = 0; i < count; i++) {
		sum += request_ms_(&candidates[i]);
		known += request_ms_(&candidates[i]) != 0;
	}
	return known ? sum / known : 0;
}

/* Expected wait of a new flow, in thousandths of the time in which an endpoint
 * of usual speed answers as many requests as it has slots. */
static uint64_t expected_wait_(const pl_place_candidate_t *candidate,
			       uint64_t usual_ms)
{
	const pl_endpoint_load_t *load = &candidate->load;
	uint64_t request_ms = request_ms_(candidate);
	uint64_t wait = utilisation_(candidate);

	if (load->slots == 0 || request_ms * PERCENT <= usual_ms * SLOW_PERCENT)
		return wait;
	/* its own request is slow, too */
	return (wait + THOUSANDTHS / load->slots) * request_ms / usual_ms;
}

static size_t choose_least_wait_(const pl_place_candidate_t *candidates,
				 size_t count)
{
	uint64_t usual_ms = mean_request_ms_(candidates, count);
	uint64_t least = UINT64_MAX;
	size_t best = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t wait = expected_wait_(&candidates[i], usual_ms);

		if (wait < least) {
			least = wait;
			best = i;
		}
	}
	return best;
}

const pl_place_policy_t pl_place_by_hash = { "hash", choose_first_ };
const pl_place_policy_t pl_place_least_utilised = { "load",
						    choose_least_utilised_ };
const pl_place_policy_t pl_place_least_wait = { "wait", choose_least_wait_ };
