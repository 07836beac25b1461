/**
 * @file
 * @defgroup loop Event loop of a thread
 *
 * Each thread has one loop, which waits for file descriptors with epoll,
 * drives the thread's timer service, and runs functions that other threads
 * post to it. A turn is one iteration of the loop. Only pl_loop_post(),
 * pl_loop_call() and pl_loop_stop() may be called from other threads while the
 * loop runs.
 * @{
 */
#ifndef PIMENTOLIFT_LOOP_H
#define PIMENTOLIFT_LOOP_H

#include <pimentolift/result.h>
#include <pimentolift/timer.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct pl_loop pl_loop_t;
typedef struct pl_loop_watch pl_loop_watch_t;

/** Called when a file descriptor is ready; @p events are EPOLL* flags. */
typedef void (*pl_loop_ready_t)(void *ctx, uint32_t events);

/** Function that a loop runs on its thread. */
typedef void (*pl_loop_callback_t)(void *ctx);

/** Called at the start of each turn, before timers and descriptors. */
typedef void (*pl_loop_turn_t)(void *ctx, pl_ms_t now);

/** Creates a loop; its timer service starts at pl_loop_clock_ms(). */
pl_loop_t *pl_loop_new(pl_error_t *err);
void pl_loop_delete(pl_loop_t *loop);

/** Runs the loop until pl_loop_stop() is called. */
void pl_loop_run(pl_loop_t *loop);

/** Makes pl_loop_run() return; callable from any thread. */
void pl_loop_stop(pl_loop_t *loop);

pl_timer_service_t *pl_loop_timers(pl_loop_t *loop);

/** Sets the function that is called at the start of each turn. */
void pl_loop_on_turn(pl_loop_t *loop, pl_loop_turn_t turn, void *ctx);

/** Sets the function that is called at the end of each turn, before waiting. */
void pl_loop_on_idle(pl_loop_t *loop, pl_loop_callback_t idle, void *ctx);

/** Time since boot, time in suspend included. */
pl_ms_t pl_loop_clock_ms(void);

/** Calls @p ready when @p fd has one of @p events (EPOLLIN, EPOLLOUT). */
pl_loop_watch_t *pl_loop_watch(pl_loop_t *loop, int fd, uint32_t events,
			       pl_loop_ready_t ready, void *ctx);

/** Replaces the events that @p watch waits for. */
void pl_loop_watch_events(pl_loop_t *loop, pl_loop_watch_t *watch,
			  uint32_t events);

/**
 * Removes @p watch; may be called from any callback of the loop. The watch's
 * own callback is not called afterwards. Does not close the file descriptor.
 */
void pl_loop_unwatch(pl_loop_t *loop, pl_loop_watch_t *watch);

/** Queues @p callback to run on the loop's thread; callable from any thread. */
void pl_loop_post(pl_loop_t *loop, pl_loop_callback_t callback, void *ctx);

/**
 * Runs @p callback on the loop's thread and waits up to @p wait_ms for its end;
 * callable from any other thread.
 *
 * @return false if it had not begun in that time; it is not run later either, so
 * that @p ctx may end with the call
 */
bool pl_loop_call(pl_loop_t *loop, pl_loop_callback_t callback, void *ctx,
		  pl_ms_t wait_ms);

#endif
/** @} */
