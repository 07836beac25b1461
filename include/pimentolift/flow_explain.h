/**
 * @file
 * @defgroup flow_explain Where an entry would send a flow
 *
 * The decision that an entry would make now, by the functions that make it for
 * packets. Nothing is sent, and no state changes.
 * @{
 */
#ifndef PIMENTOLIFT_FLOW_EXPLAIN_H
#define PIMENTOLIFT_FLOW_EXPLAIN_H

#include <pimentolift/balance/place.h>
#include <pimentolift/balance/reason.h>
#include <pimentolift/balance/split.h>
#include <pimentolift/flow_entry.h>
#include <pimentolift/routing.h>

/** Endpoints compared for one flow; in a larger service, those with the highest
 * rendezvous hash. */
#define PL_FLOW_CANDIDATES_MAX 16

/** What the entry would do with an opening packet. */
typedef enum {
	PL_FLOW_STEP_OFFER, /**< offer the flow to the chosen candidate */
	PL_FLOW_STEP_OWNER, /**< forward it to the flow's owner */
	PL_FLOW_STEP_HOLD, /**< hold it for a short time */
	PL_FLOW_STEP_RESET, /**< reset the flow */
	PL_FLOW_STEP_DROP, /**< drop it: a server may have accepted the flow */
	PL_FLOW_STEP_COUNT,
} pl_flow_step_t;

/** Names of @ref pl_flow_step_t, in its order. */
extern const char *const pl_flow_step_names[];

/** A service of the route. */
typedef struct {
	char name[PL_NAME_MAX];
	pl_split_service_t load; /**< with the weight */
	size_t endpoints; /**< listed */
	size_t not_serving; /**< of these */
	size_t evacuated; /**< of these */
} pl_flow_explained_service_t;

/** What the entry knows of a flow in its cache. */
typedef struct {
	bool cached;
	pl_member_id_t owner; /**< 0: not known; else its agent claimed it */
	bool owner_dead; /**< membership declared @c owner dead */
	pl_member_id_t offered[PL_FLOW_OFFERS_MAX];
	size_t offered_count;
	unsigned int ruled_out; /**< bit i: offered[i] refused */
	bool looked_up; /**< a lookup of its owner is open */
	size_t queried; /**< agents of the lookup */
	size_t unanswered; /**< of these */
	pl_member_id_t presumed; /**< presumed owner by the lookup, or 0 */
} pl_flow_known_t;

typedef struct {
	uint64_t revision; /**< of the configuration; 0: none yet */
	pl_flow_step_t step;
	pl_reason_t reason; /**< of @c step */
	pl_flow_explained_service_t services[PL_ROUTE_SHARES_MAX];
	size_t service_count; /**< 0: no route has the address */
	bool accepted; /**< the three fields below are set */
	size_t service; /**< index of the chosen service */
	size_t share; /**< index of the service that the weights give */
	pl_reason_t service_reason;
	pl_place_candidate_t candidates[PL_FLOW_CANDIDATES_MAX]; /**< ranked */
	uint64_t waits[PL_FLOW_CANDIDATES_MAX]; /**< see pl_place_wait() */
	size_t candidate_count;
	size_t chosen; /**< index of the candidate, for PL_FLOW_STEP_OFFER */
	pl_flow_known_t known;
} pl_flow_explanation_t;

/** Explains what the entry would do with the first opening packet of the flow
 * @p key if it arrived now. */
void pl_flow_entry_explain(const pl_flow_entry_t *entry,
			   const pl_flow_key_t *key,
			   pl_flow_explanation_t *explanation);

#endif
/** @} */
