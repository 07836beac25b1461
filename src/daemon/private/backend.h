/**
 * @file
 * Connection of the agent to its backend server: CoAP over loopback, by
 * libcoap.
 *
 * The backend server registers as in RFC 9176 (POST /rd with ep, d, lt, base
 * and slots) and renews the registration before its lifetime expires. Requests
 * go to its base URI as non-confirmable messages: loopback loses no datagrams,
 * and a retransmitted request could be executed twice.
 */
#ifndef PIMENTOLIFT_DAEMON_BACKEND_H
#define PIMENTOLIFT_DAEMON_BACKEND_H

#include <pimentolift/agent.h>
#include <pimentolift/loop.h>

typedef struct pl_backend pl_backend_t;

/** Callbacks to the owner, on the loop's thread. */
typedef struct {
	/** A backend server of @p service has registered; NULL: none is
	 * registered any more. */
	void (*changed)(void *ctx, const char *service, uint32_t slots);
	void (*reply)(void *ctx, uint64_t request_id,
		      const pl_backend_reply_t *reply);
	void (*notify)(void *ctx, uint64_t subscription_id,
		       const pl_backend_reply_t *reply);
} pl_backend_ops_t;

/** Accepts the registration on @p listen; a port of 0 is replaced by the bound
 * port. */
pl_backend_t *pl_backend_new(pl_loop_t *loop, pl_addr_t *listen,
			     const pl_backend_ops_t *ops, void *ctx,
			     pl_error_t *err);
void pl_backend_delete(pl_backend_t *backend);

/** Sends a request; exactly one reply follows unless the request is
 * cancelled. */
void pl_backend_dispatch(pl_backend_t *backend, uint64_t request_id,
			 const pl_backend_request_t *request);

/** Ignores the response to @p request_id from now on; the backend server is not
 * told. */
void pl_backend_cancel(pl_backend_t *backend, uint64_t request_id);

void pl_backend_subscribe(pl_backend_t *backend, uint64_t subscription_id,
			  const char *path, const char *query);
void pl_backend_unsubscribe(pl_backend_t *backend, uint64_t subscription_id);

#endif
