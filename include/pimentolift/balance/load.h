/**
 * @file
 * @defgroup balance_load Load of a backend server
 *
 * The agent measures the load from the packets of its server, and reports it to
 * the entries that place flows there.
 * @{
 */
#ifndef PIMENTOLIFT_BALANCE_LOAD_H
#define PIMENTOLIFT_BALANCE_LOAD_H

#include <pimentolift/timer.h>
#include <stdint.h>

/** Load of an endpoint as its agent reports it. */
typedef struct {
	uint32_t slots; /**< concurrent requests of its backend server */
	uint32_t busy; /**< requests in progress or waiting in time */
	/** Mean of @c busy over about the last second, in thousandths. */
	uint32_t mean_busy;
	/** Requests that the server may be given at once at its present pace,
	 * in thousandths; 0: as many as it has slots. */
	uint32_t limit;
	uint32_t request_ms; /**< mean time to answer; 0: not measured */
	uint32_t waiting; /**< requests and new flows without a slot */
} pl_endpoint_load_t;

/** Requests in progress and their moving mean. */
typedef struct {
	uint32_t slots;
	uint32_t busy;
	double mean; /**< of @c busy, at @c changed_at */
	pl_ms_t changed_at; /**< time of the last change */
} pl_load_t;

/** Adds @p step to the number of requests in progress at @p now. */
void pl_load_change(pl_load_t *load, int step, pl_ms_t now);

/** Slots, requests in progress and their mean; other fields are 0. */
pl_endpoint_load_t pl_load_snapshot(const pl_load_t *load, pl_ms_t now);

#endif
/** @} */
