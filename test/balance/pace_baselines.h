/**
 * @file
 * Policies that the pace is compared with.
 */
#ifndef PL_TEST_PACE_BASELINES_H
#define PL_TEST_PACE_BASELINES_H

#include <pimentolift/balance/pace.h>

/** Slots of each simulated server. */
#define PACE_SLOTS 3

/** Without a pace; loads carry no limit. */
extern const pl_pace_policy_t pace_none;
extern const pl_pace_policy_t pace_by_age;
extern const pl_pace_policy_t pace_aimd;
extern const pl_pace_policy_t pace_gradient;

#endif
