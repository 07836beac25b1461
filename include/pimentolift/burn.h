/**
 * @file
 * @defgroup burn Error-budget burn of service-level objectives
 *
 * The error budget of an objective is the share of events that may be bad.
 * The burn rate is the share of bad events in a window divided by the error
 * budget: at a burn rate of 1 the budget lasts exactly the objective's period,
 * at 14.4 a 28-day budget lasts two days. An alarm requires a high burn rate
 * in a long window, which filters out noise, and in a short window, so that
 * the alarm ends soon after its cause (multi-window alerts of the SRE
 * Workbook, chapter 5).
 *
 * A process keeps its own counts in memory, in five windows of sixty buckets
 * each; pimentoctl adds up the counts of all processes.
 * @{
 */
#ifndef PIMENTOLIFT_BURN_H
#define PIMENTOLIFT_BURN_H

#include <stdint.h>

/** Sliding time window that ends at the present. */
typedef enum {
	PL_BURN_5M,
	PL_BURN_30M,
	PL_BURN_1H,
	PL_BURN_6H,
	PL_BURN_3D,
	PL_BURN_WINDOW_COUNT,
} pl_burn_window_t;

/** Names of @ref pl_burn_window_t in the order of its values, "5m" to "3d". */
extern const char *const pl_burn_window_names[];

/** Number of good events and of all events of an objective. */
typedef struct {
	uint64_t good;
	uint64_t total;
} pl_burn_count_t;

typedef struct pl_burn_history pl_burn_history_t;

/**
 * Creates a history. The first record only sets the baseline: the counts in
 * it are not taken as events.
 */
pl_burn_history_t *pl_burn_history_new(void);
void pl_burn_history_delete(pl_burn_history_t *history);

/** Records, at @p now_s, the cumulative counts since the process started. */
void pl_burn_history_record(pl_burn_history_t *history, uint64_t now_s,
			    const pl_burn_count_t *since_start);

/** Counts the events in @p window, which ends at @p now_s; the resolution is a
 * sixtieth of the window. */
void pl_burn_history_window(const pl_burn_history_t *history, uint64_t now_s,
			    pl_burn_window_t window, pl_burn_count_t *count);

/** Urgency of an alarm; each level compares the burn rates of two windows. */
typedef enum {
	PL_BURN_NONE, /**< no pair of windows reaches its burn rate */
	PL_BURN_SLOW, /**< at least 1 over 3 days and over 6 hours */
	PL_BURN_MEDIUM, /**< at least 6 over 6 hours and over 30 minutes */
	PL_BURN_FAST, /**< at least 14.4 over 1 hour and over 5 minutes */
	PL_BURN_ALARM_COUNT,
} pl_burn_alarm_t;

/** Names of @ref pl_burn_alarm_t in the order of its values. */
extern const char *const pl_burn_alarm_names[];

/**
 * Burn rate of @p count for a target of good events in parts per million; 0
 * when there are no events.
 */
double pl_burn_rate(uint32_t target_ppm, const pl_burn_count_t *count);

/** Alarm for the burn rates of all windows. */
pl_burn_alarm_t pl_burn_alarm(const double rates[PL_BURN_WINDOW_COUNT]);

/**
 * Days in which burn rate @p rate spends the full error budget of a period of
 * @p window_days; negative when @p rate is 0.
 */
double pl_burn_days(double rate, uint32_t window_days);

#endif
/** @} */
