/**
 * @file
 * @defgroup place Placement of a new flow within a service
 *
 * Chooses the endpoint of a new flow from a snapshot of candidates. Answers
 * uneven endpoints: many endpoints with few slots each, whose loads differ.
 * @{
 */
#ifndef PIMENTOLIFT_BALANCE_PLACE_H
#define PIMENTOLIFT_BALANCE_PLACE_H

#include <pimentolift/balance/load.h>
#include <stdbool.h>
#include <stddef.h>

/** Weight of an endpoint that gets its full share of new flows. */
#define PL_PLACE_WEIGHT_FULL 1000

/** An endpoint that is eligible for a new flow. */
typedef struct {
	uint64_t agent; /**< identity of its agent */
	uint32_t weight; /**< 0 to PL_PLACE_WEIGHT_FULL */
	pl_endpoint_load_t load; /**< last report; 0 slots before the first */
	/** Opening packets (first packets of flows) that were sent too recently
	 * to be in @c load. */
	uint32_t unreported;
	pl_ms_t age_ms; /**< of @c load */
	/** An opening packet was sent there since the entry's start. */
	bool tried;
	bool local; /**< in the same data centre as the entry */
	bool out; /**< ejected; chosen only if all candidates are */
} pl_place_candidate_t;

/** A placement policy. Candidates are passed in descending order of their
 * rendezvous hash for the flow. */
typedef struct {
	const char *name;
	/** Returns the index of the chosen candidate; @p count is above 0. */
	size_t (*choose)(const pl_place_candidate_t *candidates, size_t count);
} pl_place_policy_t;

/** Expected wait by which pl_place_least_wait compares the candidates, in
 * thousandths of the time in which an endpoint of usual speed answers as many
 * requests as it has slots. */
uint64_t pl_place_wait(const pl_place_candidate_t *candidates, size_t count,
		       size_t index);

/** Rendezvous hashing alone; the baseline for comparisons. */
extern const pl_place_policy_t pl_place_by_hash;
/** Least loaded endpoint; one in the entry's data centre is preferred if the
 * difference is small. */
extern const pl_place_policy_t pl_place_least_utilised;
/** As pl_place_least_utilised, but an endpoint that takes longer to answer than
 * the others counts as more loaded by as much. */
extern const pl_place_policy_t pl_place_least_wait;

#endif
/** @} */
