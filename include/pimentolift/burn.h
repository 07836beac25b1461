/**
 * @file
 * @defgroup burn Burn of service-level objectives
 *
 * An objective allows a share of bad events, its error budget. The burn rate
 * is the share of bad events over a window divided by that allowance: at 1
 * the budget lasts exactly the objective's period, at 14.4 a 28-day budget
 * lasts two days. An alarm needs a long window, so that it is not noise, and
 * a short one, so that it ends soon after the cause (multi-window alerts of
 * the SRE Workbook, chapter 5).
 *
 * A process keeps its own counts in memory, five windows of sixty buckets;
 * pimentoctl adds up the counts of all processes.
 * @{
 */
#ifndef PIMENTOLIFT_BURN_H
#define PIMENTOLIFT_BURN_H

#include <stdint.h>

/** A window of time that ends now. */
typedef enum {
	PL_BURN_5M,
	PL_BURN_30M,
	PL_BURN_1H,
	PL_BURN_6H,
	PL_BURN_3D,
	PL_BURN_WINDOW_COUNT,
} pl_burn_window_t;

/** Names of @ref pl_burn_window_t, in its order: "5m" to "3d". */
extern const char *const pl_burn_window_names[];

/** Events of an objective. */
typedef struct {
	uint64_t good;
	uint64_t total;
} pl_burn_count_t;

typedef struct pl_burn_history pl_burn_history_t;

/** New history; the first counts recorded are its start, not events. */
pl_burn_history_t *pl_burn_history_new(void);
void pl_burn_history_delete(pl_burn_history_t *history);

/** Records the counts since the start of the process, at @p now_s. */
void pl_burn_history_record(pl_burn_history_t *history, uint64_t now_s,
			    const pl_burn_count_t *since_start);

/** Events in @p window, to within a sixtieth of it. */
void pl_burn_history_window(const pl_burn_history_t *history, uint64_t now_s,
			    pl_burn_window_t window, pl_burn_count_t *count);

/** How urgent a burn is. */
typedef enum {
	PL_BURN_NONE, /**< within the budget */
	PL_BURN_SLOW, /**< above 1 over 3 days and over 6 hours */
	PL_BURN_MEDIUM, /**< above 6 over 6 hours and over 30 minutes */
	PL_BURN_FAST, /**< above 14.4 over 1 hour and over 5 minutes */
	PL_BURN_ALARM_COUNT,
} pl_burn_alarm_t;

/** Names of @ref pl_burn_alarm_t, in its order. */
extern const char *const pl_burn_alarm_names[];

/** Burn rate of @p count for a target in parts per million; 0 without events. */
double pl_burn_rate(uint32_t target_ppm, const pl_burn_count_t *count);

/** Alarm for the burn rates of all windows. */
pl_burn_alarm_t pl_burn_alarm(const double rates[PL_BURN_WINDOW_COUNT]);

/**
 * Days until a whole budget of @p window_days is spent at @p rate; negative
 * when nothing burns.
 */
double pl_burn_days(double rate, uint32_t window_days);

#endif
/** @} */
