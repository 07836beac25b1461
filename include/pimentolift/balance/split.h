/**
 * @file
 * @defgroup split Split of a route's new flows over its services
 *
 * Chooses the service of a new flow by weight. Answers one service that has too
 * much work while another one of the same route is idle.
 * @{
 */
#ifndef PIMENTOLIFT_BALANCE_SPLIT_H
#define PIMENTOLIFT_BALANCE_SPLIT_H

#include <pimentolift/balance/reason.h>
#include <stddef.h>
#include <stdint.h>

/** A service of the route. Slots and load are estimated from the endpoints that
 * reported their load recently; all are 0 if none did. */
typedef struct {
	uint64_t service; /**< identity */
	uint32_t weight; /**< relative to the other services; 0: no new flows */
	uint32_t endpoints; /**< that accept new flows */
	uint32_t slots; /**< concurrent requests of its endpoints */
	uint32_t busy; /**< of @c slots, in use; queued work is not counted */
	uint32_t mean_busy; /**< mean of @c busy over about a second */
} pl_split_service_t;

/** What the decision depends on. */
typedef struct {
	const pl_split_service_t *services;
	size_t count;
	/** Hash of the flow's key: the same for each copy of its opening
	 * packet, at any entry. */
	uint64_t flow;
} pl_split_snapshot_t;

/** The chosen service. */
typedef struct {
	size_t index; /**< in the snapshot; not set for PL_REASON_NO_SERVICE */
	size_t share; /**< index of the service that the weights give */
	/** PL_REASON_SHARE; PL_REASON_OVERFLOW; PL_REASON_NO_ROOM if the
	 * service of the share has no room and no other one accepts more than
	 * its share, or if it has no endpoint and no other one has room: the
	 * flow then waits at one that has endpoints, if any;
	 * PL_REASON_NO_SERVICE if no weight is above 0. */
	pl_reason_t reason;
} pl_split_decision_t;

/** Chooses the service of a new flow. */
pl_split_decision_t pl_split_choose(const pl_split_snapshot_t *snapshot);

#endif
/** @} */
