/**
 * @file
 * @defgroup placement Placement of flows
 *
 * Ranks the endpoints of a service for one caller by weighted rendezvous
 * hashing: every instance that has the same table computes the same rank
 * without asking anybody, and a change of one endpoint moves only its own
 * flows. Rank 0 of the endpoints that take new work is the flow's home.
 * @{
 */
#ifndef PIMENTOLIFT_PLACEMENT_H
#define PIMENTOLIFT_PLACEMENT_H

#include <pimentolift/routing.h>

/** Most endpoints that one call ranks. */
#define PL_PLACEMENT_RANK_MAX 64

/** Which endpoints are ranked. */
typedef enum {
	PL_RANK_SERVING, /**< those that take new work */
	PL_RANK_REACHABLE, /**< draining ones too, for work that is there */
} pl_rank_scope_t;

/**
 * Ranks endpoints of @p service for @p caller, best first.
 *
 * @param exclude  agent left out, or 0
 * @param out      the endpoints
 * @param want     size of @p out; at most PL_PLACEMENT_RANK_MAX are written
 * @return number of endpoints written
 */
size_t pl_placement_rank(const pl_route_service_t *service,
			 const pl_addr_t *caller, pl_rank_scope_t scope,
			 pl_member_id_t exclude, const pl_endpoint_t **out,
			 size_t want);

/** The home of @p caller, or NULL when no endpoint takes new work. */
const pl_endpoint_t *pl_placement_home(const pl_route_service_t *service,
				       const pl_addr_t *caller);

#endif
/** @} */
