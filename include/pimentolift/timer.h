/**
 * @file
 * @defgroup timer Timer service
 *
 * Each thread has one service, which holds all timers of the thread. Modules
 * embed a @ref pl_timer_t and arm it for a due time; the event loop of the
 * thread calls pl_timer_service_advance() with the current time. The service
 * does not read a clock, so that tests can drive it with virtual time. Timers
 * that are due in the same millisecond fire in the order in which they were
 * armed.
 * @{
 */
#ifndef PIMENTOLIFT_TIMER_H
#define PIMENTOLIFT_TIMER_H

#include <pimentolift/list.h>
#include <stdbool.h>
#include <stdint.h>

/** Milliseconds since an arbitrary point in time; monotonic. */
typedef uint64_t pl_ms_t;

typedef struct pl_timer pl_timer_t;
typedef struct pl_timer_service pl_timer_service_t;

/** Called once when @p timer is due; the callback may arm the timer again. */
typedef void (*pl_timer_fire_t)(pl_timer_t *timer, void *ctx, pl_ms_t now);

/** Timer, embedded in its owner; initialized with pl_timer_init(). */
struct pl_timer {
	pl_list_t link;
	pl_ms_t due;
	pl_timer_fire_t fire;
	void *ctx;
};

/** Creates a service whose time starts at @p now. */
pl_timer_service_t *pl_timer_service_new(pl_ms_t now);

/** Frees the service; timers that are still armed do not fire. */
void pl_timer_service_delete(pl_timer_service_t *service);

/** Current time of the service; inside a callback, the time it fired at. */
pl_ms_t pl_timer_service_now(const pl_timer_service_t *service);

/** Fires every timer due at or before @p now, in order of due time. */
void pl_timer_service_advance(pl_timer_service_t *service, pl_ms_t now);

/** Due time of the earliest timer, or @p limit when none is due earlier. */
pl_ms_t pl_timer_service_next(const pl_timer_service_t *service, pl_ms_t limit);

/** Number of armed timers. */
uint64_t pl_timer_service_armed(const pl_timer_service_t *service);

/** Initializes a timer, not armed. */
void pl_timer_init(pl_timer_t *timer, pl_timer_fire_t fire, void *ctx);

/**
 * Arms @p timer for @p due, or for the current time when @p due has passed; an
 * armed timer is re-armed.
 */
void pl_timer_arm(pl_timer_service_t *service, pl_timer_t *timer, pl_ms_t due);

/** Disarms @p timer; no effect when it is not armed. */
void pl_timer_cancel(pl_timer_service_t *service, pl_timer_t *timer);

bool pl_timer_armed(const pl_timer_t *timer);

#endif
/** @} */
