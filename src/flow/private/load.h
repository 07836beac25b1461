/**
 * @file
 * How busy a backend server is, seen from the packets.
 */
#ifndef PL_FLOW_LOAD_H
#define PL_FLOW_LOAD_H

#include <pimentolift/flow.h>
#include <pimentolift/timer.h>

/** Requests in progress and their mean over the recent past. */
typedef struct {
	uint32_t slots;
	uint32_t busy;
	double mean;
	pl_ms_t at; /**< time of the last change */
} pl_load_t;

/** Notes that @p busy changes by @p step at @p now. */
void pl_load_change(pl_load_t *load, int step, pl_ms_t now);

/** What is told to others. */
pl_flow_load_t pl_load_report(const pl_load_t *load, pl_ms_t now);

#endif
