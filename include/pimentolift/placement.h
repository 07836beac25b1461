/**
 * @file
 * @defgroup placement Placement of flows
 *
 * Ranks the endpoints of a service for one caller by weighted rendezvous
 * hashing: all instances with the same table compute the same ranking without
 * coordination, and a change of one endpoint moves only the flows of that
 * endpoint. The caller's home is the best endpoint that accepts new work.
 * @{
 */
#ifndef PIMENTOLIFT_PLACEMENT_H
#define PIMENTOLIFT_PLACEMENT_H

#include <pimentolift/routing.h>

/** Most endpoints that pl_placement_rank() returns. */
#define PL_PLACEMENT_RANK_MAX 64

/** Scope of a ranking. */
typedef enum {
	PL_RANK_SERVING, /**< endpoints that accept new work */
	PL_RANK_REACHABLE, /**< draining ones too, for existing work */
} pl_rank_scope_t;

/**
 * Ranks endpoints of @p service for @p caller, best first.
 *
 * @param exclude  agent to leave out, or 0
 * @param out      receives the endpoints
 * @param want     size of @p out; at most PL_PLACEMENT_RANK_MAX are written
 * @return number of endpoints written
 */
size_t pl_placement_rank(const pl_route_service_t *service,
			 const pl_addr_t *caller, pl_rank_scope_t scope,
			 pl_member_id_t exclude, const pl_endpoint_t **out,
			 size_t want);

/** Best endpoint for @p caller, or NULL if no endpoint accepts new work. */
const pl_endpoint_t *pl_placement_home(const pl_route_service_t *service,
				       const pl_addr_t *caller);

#endif
/** @} */
