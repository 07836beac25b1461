#include "pace_baselines.h"

#include <math.h>

static uint32_t next_none_(const pl_pace_t *pace,
			   const pl_pace_sample_t *sample)
{
	(void)pace;
	(void)sample;
	return PACE_SLOTS * PL_PACE_SLOT;
}

/* By age alone: from one slot to all in the time of the pace. */
static uint32_t next_by_age_(const pl_pace_t *pace,
			     const pl_pace_sample_t *sample)
{
	return (uint32_t)(PL_PACE_SLOT + (PACE_SLOTS - 1) * PL_PACE_SLOT *
						 (sample->now - pace->since) /
						 3000);
}

/* Additive increase for quick answers, multiplicative decrease for slow ones. */
static uint32_t next_aimd_(const pl_pace_t *pace,
			   const pl_pace_sample_t *sample)
{
	(void)sample;
	return pace->slowness > 1.5 ? pace->limit * 3 / 4 : pace->limit + 250;
}

/* Gradient of the recent against the usual time to answer. */
static uint32_t next_gradient_(const pl_pace_t *pace,
			       const pl_pace_sample_t *sample)
{
	double gradient = fmax(0.5, fmin(1, 1.5 / (pace->slowness + 0.01)));

	(void)sample;
	return (uint32_t)(pace->limit * (0.8 + 0.2 * gradient)) + 250;
}

const pl_pace_policy_t pace_none = { "none", next_none_ };
const pl_pace_policy_t pace_by_age = { "age", next_by_age_ };
const pl_pace_policy_t pace_aimd = { "aimd", next_aimd_ };
const pl_pace_policy_t pace_gradient = { "gradient", next_gradient_ };
