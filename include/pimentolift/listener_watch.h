/**
 * @file
 * @defgroup listener_watch Liveness of a local listener
 *
 * Detects that no process listens at a local address any more: the kernel
 * then refuses connections to the address. The watch keeps a connection open,
 * so that it notices the end of the listening process at once. Only repeated
 * refusals count as the end of the listener. A listener that hangs or that
 * closes connections counts as up.
 * @{
 */
#ifndef PIMENTOLIFT_LISTENER_WATCH_H
#define PIMENTOLIFT_LISTENER_WATCH_H

#include <pimentolift/addr.h>
#include <pimentolift/loop.h>

typedef struct pl_listener_watch pl_listener_watch_t;

/**
 * Called at each connection attempt that finds no listener, from the second
 * refusal in a row on.
 */
typedef void (*pl_listener_down_t)(void *ctx);

/** Starts to watch the listener at @p addr. */
pl_listener_watch_t *pl_listener_watch_new(pl_loop_t *loop,
					   const pl_addr_t *addr,
					   pl_listener_down_t down, void *ctx);
void pl_listener_watch_delete(pl_listener_watch_t *watch);

#endif
/** @} */
