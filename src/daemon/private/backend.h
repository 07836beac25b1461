/**
 * @file
 * The agent's side towards its backend server: CoAP on loopback by libcoap.
 *
 * The backend server registers by RFC 9176 (POST /rd with ep, d, lt, base
 * and slots) and renews before the lifetime lapses. Requests go to its base
 * URI as non-confirmable messages: on loopback nothing is lost, and a
 * retransmitted request could run twice.
 */
#ifndef PIMENTOLIFT_DAEMON_BACKEND_H
#define PIMENTOLIFT_DAEMON_BACKEND_H

#include <pimentolift/agent.h>
#include <pimentolift/loop.h>

typedef struct pl_backend pl_backend_t;

/** What the owner is told, on the loop's thread. */
typedef struct {
	/** A backend server of @p service is there; NULL: it is gone. */
	void (*changed)(void *ctx, const char *service, uint32_t slots);
	void (*reply)(void *ctx, uint64_t request_id,
		      const pl_backend_reply_t *reply);
	void (*notify)(void *ctx, uint64_t subscription_id,
		       const pl_backend_reply_t *reply);
} pl_backend_ops_t;

/** Listens for the registration on @p listen; the port is written back. */
pl_backend_t *pl_backend_new(pl_loop_t *loop, pl_addr_t *listen,
			     const pl_backend_ops_t *ops, void *ctx,
			     pl_error_t *err);
void pl_backend_delete(pl_backend_t *backend);

/** Hands over a request; it ends by one reply unless it is cancelled. */
void pl_backend_dispatch(pl_backend_t *backend, uint64_t request_id,
			 const pl_backend_request_t *request);

/** The answer to @p request_id is no longer wanted. */
void pl_backend_cancel(pl_backend_t *backend, uint64_t request_id);

void pl_backend_subscribe(pl_backend_t *backend, uint64_t subscription_id,
			  const char *path, const char *query);
void pl_backend_unsubscribe(pl_backend_t *backend, uint64_t subscription_id);

#endif
