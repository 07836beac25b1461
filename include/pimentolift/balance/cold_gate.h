/**
 * @file
 * @defgroup cold_gate Gate of a cold server
 *
 * Counts what a cold backend server gets, from all entries, so that in any span
 * of one second it is not more than the configuration says it bears. Answers
 * all callers of a data centre that return to it at once.
 * @{
 */
#ifndef PIMENTOLIFT_BALANCE_COLD_GATE_H
#define PIMENTOLIFT_BALANCE_COLD_GATE_H

#include <pimentolift/timer.h>
#include <stdbool.h>
#include <stdint.h>

/** Buckets that a second is divided into. */
#define PL_COLD_GATE_BUCKETS 50

typedef struct {
	uint32_t rate_milli; /**< requests a second, in thousandths; 0: any */
	pl_ms_t cold_until; /**< the server is cold before this time */
	/** Requests of the last second; the additional bucket is the one that
	 * the span began in. */
	uint32_t counts[PL_COLD_GATE_BUCKETS + 1];
	uint64_t newest; /**< number of the newest bucket */
} pl_cold_gate_t;

/** The server is cold for @p ms from @p now on. */
void pl_cold_gate_set(pl_cold_gate_t *gate, pl_ms_t now, pl_ms_t ms);

/** Whether the server is cold and its rate is limited. */
bool pl_cold_gate_in_force(const pl_cold_gate_t *gate, pl_ms_t now);

/** Whether one more request may be sent to the server now. */
bool pl_cold_gate_admits(const pl_cold_gate_t *gate, pl_ms_t now);

/** Counts a request sent to the server. */
void pl_cold_gate_count(pl_cold_gate_t *gate, pl_ms_t now);

#endif
/** @} */
