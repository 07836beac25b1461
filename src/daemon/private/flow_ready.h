/**
 * @file
 * Readiness port: routers ask here whether they may send packets of flows to
 * this process.
 */
#ifndef PIMENTOLIFT_DAEMON_FLOW_READY_H
#define PIMENTOLIFT_DAEMON_FLOW_READY_H

#include "private/http.h"

#include <stdbool.h>

typedef struct pl_flow_ready pl_flow_ready_t;

/** Listens on @p listen; @p ready is called for each request. */
pl_flow_ready_t *pl_flow_ready_new(pl_loop_t *loop, const pl_addr_t *listen,
				   bool (*ready)(void *ctx), void *ctx,
				   pl_error_t *err);
void pl_flow_ready_delete(pl_flow_ready_t *ready);

#endif
