/**
 * @file
 * @defgroup admit Admission of new flows
 *
 * Decides whether a new flow is admitted, waits, is handed back or is refused,
 * from what its agent knows of the work ahead. Answers bursts far beyond the
 * slots: a caller that cannot be served learns so at once, not when it gives
 * up. Work that can only be late waits.
 * @{
 */
#ifndef PIMENTOLIFT_BALANCE_ADMIT_H
#define PIMENTOLIFT_BALANCE_ADMIT_H

#include <pimentolift/balance/reason.h>
#include <pimentolift/timer.h>
#include <stdbool.h>

/** What an agent knows about a new flow when its opening packet arrives. */
typedef struct {
	bool room; /**< a slot is free and nothing is queued */
	bool last_offer; /**< no other endpoint may take it */
	/** Time in which the work is started that goes ahead of it: of the same
	 * or a more urgent priority, and its callers give up earlier. 0: not
	 * known. */
	pl_ms_t ahead_ms;
	pl_ms_t request_ms; /**< mean time of a request; 0: not measured */
	pl_ms_t left_ms; /**< until the caller gives up; 0: not known */
} pl_admit_query_t;

typedef enum {
	PL_ADMIT_NOW, /**< delivered to the backend server */
	PL_ADMIT_WAIT, /**< queued */
	PL_ADMIT_HAND_BACK, /**< another endpoint may have room */
	PL_ADMIT_REFUSE, /**< final */
} pl_admit_result_t;

typedef struct {
	pl_admit_result_t result;
	pl_reason_t reason;
} pl_admit_decision_t;

pl_admit_decision_t pl_admit_decide(const pl_admit_query_t *query);

#endif
/** @} */
