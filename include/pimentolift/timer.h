/**
 * @file
 * @defgroup timer Timer service
 *
 * One service per thread holds every timer of that thread. Parts embed a
 * @ref pl_timer_t and subscribe it with a due time; the owner of the thread
 * calls pl_timer_service_advance() with the present time. The service reads
 * no clock, so tests drive it with virtual time. Timers that are due at the
 * same millisecond fire in the order in which they were armed.
 * @{
 */
#ifndef PIMENTOLIFT_TIMER_H
#define PIMENTOLIFT_TIMER_H

#include <pimentolift/list.h>
#include <stdbool.h>
#include <stdint.h>

/** Milliseconds since an arbitrary start; never goes back. */
typedef uint64_t pl_ms_t;

typedef struct pl_timer pl_timer_t;
typedef struct pl_timer_service pl_timer_service_t;

/** Called once when @p timer is due; it may arm the timer again. */
typedef void (*pl_timer_fire_t)(pl_timer_t *timer, void *ctx, pl_ms_t now);

/** A timer; embed it, set it up with pl_timer_init(). */
struct pl_timer {
	pl_list_t link;
	pl_ms_t due;
	pl_timer_fire_t fire;
	void *ctx;
};

/** New service whose time starts at @p now. */
pl_timer_service_t *pl_timer_service_new(pl_ms_t now);

/** Frees the service; timers still armed are forgotten. */
void pl_timer_service_delete(pl_timer_service_t *service);

/** Time of the last advance. */
pl_ms_t pl_timer_service_now(const pl_timer_service_t *service);

/** Fires every timer due at or before @p now, in order of due time. */
void pl_timer_service_advance(pl_timer_service_t *service, pl_ms_t now);

/** Due time of the earliest timer, or @p limit when none is due before. */
pl_ms_t pl_timer_service_next(const pl_timer_service_t *service, pl_ms_t limit);

/** Number of armed timers. */
uint64_t pl_timer_service_armed(const pl_timer_service_t *service);

/** Sets up a timer that is not armed. */
void pl_timer_init(pl_timer_t *timer, pl_timer_fire_t fire, void *ctx);

/** Arms @p timer for @p due; an armed timer is moved. */
void pl_timer_arm(pl_timer_service_t *service, pl_timer_t *timer, pl_ms_t due);

/** Disarms @p timer; harmless when it is not armed. */
void pl_timer_cancel(pl_timer_service_t *service, pl_timer_t *timer);

/** Whether @p timer is armed. */
bool pl_timer_armed(const pl_timer_t *timer);

#endif
/** @} */
