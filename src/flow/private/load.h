/**
 * @file
 * Load of a backend server, measured by the agent from the packets.
 */
#ifndef PL_FLOW_LOAD_H
#define PL_FLOW_LOAD_H

#include <pimentolift/flow.h>
#include <pimentolift/timer.h>

/** Requests in progress and their moving mean. */
typedef struct {
	uint32_t slots;
	uint32_t busy;
	double mean; /**< of @c busy, at @c changed_at */
	pl_ms_t changed_at; /**< time of the last change */
} pl_load_t;

/** Adds @p step to the number of requests in progress at @p now. */
void pl_load_change(pl_load_t *load, int step, pl_ms_t now);

/** The load as it is sent to entries. */
pl_flow_load_t pl_load_snapshot(const pl_load_t *load, pl_ms_t now);

#endif
