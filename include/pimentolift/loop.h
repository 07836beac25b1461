/**
 * @file
 * @defgroup loop Event loop of a thread
 *
 * One loop per thread: it waits for descriptors with epoll, drives the
 * thread's timer service, and runs functions that other threads post to it.
 * Everything but pl_loop_post() and pl_loop_stop() belongs to the thread
 * that runs the loop.
 * @{
 */
#ifndef PIMENTOLIFT_LOOP_H
#define PIMENTOLIFT_LOOP_H

#include <pimentolift/result.h>
#include <pimentolift/timer.h>
#include <stdint.h>

typedef struct pl_loop pl_loop_t;
typedef struct pl_loop_watch pl_loop_watch_t;

/** Called when a descriptor is ready; @p events are epoll's. */
typedef void (*pl_loop_ready_t)(void *ctx, uint32_t events);

/** A function posted to a loop. */
typedef void (*pl_loop_posted_t)(void *ctx);

/** Called at the start of each turn, before timers and descriptors. */
typedef void (*pl_loop_turn_t)(void *ctx, pl_ms_t now);

/** New loop; its timer service starts at the time of pl_loop_clock_ms(). */
pl_loop_t *pl_loop_new(pl_error_t *err);
void pl_loop_delete(pl_loop_t *loop);

/** Runs until pl_loop_stop(). */
void pl_loop_run(pl_loop_t *loop);

/** Ends pl_loop_run(); callable from any thread. */
void pl_loop_stop(pl_loop_t *loop);

/** Timer service of the loop's thread. */
pl_timer_service_t *pl_loop_timers(pl_loop_t *loop);

/** Calls @p turn at the start of each turn. */
void pl_loop_on_turn(pl_loop_t *loop, pl_loop_turn_t turn, void *ctx);

/** Calls @p idle at the end of each turn, before the loop waits. */
void pl_loop_on_idle(pl_loop_t *loop, pl_loop_posted_t idle, void *ctx);

/** Time since boot in milliseconds, suspended time included. */
pl_ms_t pl_loop_clock_ms(void);

/** Watches @p fd for @p events (EPOLLIN, EPOLLOUT). */
pl_loop_watch_t *pl_loop_watch(pl_loop_t *loop, int fd, uint32_t events,
			       pl_loop_ready_t ready, void *ctx);

/** Changes the events of a watch. */
void pl_loop_watch_events(pl_loop_t *loop, pl_loop_watch_t *watch,
			  uint32_t events);

/** Ends a watch; allowed inside a callback. Does not close the descriptor. */
void pl_loop_unwatch(pl_loop_t *loop, pl_loop_watch_t *watch);

/** Runs @p posted on the loop's thread soon; callable from any thread. */
void pl_loop_post(pl_loop_t *loop, pl_loop_posted_t posted, void *ctx);

#endif
/** @} */
