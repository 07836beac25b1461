/**
 * @file
 * @defgroup peer_net Connections between members
 *
 * Sends and receives peer frames over TCP on the event loop of a thread. A
 * member opens its own connection to each peer that it sends to, so that each
 * connection carries frames in one direction only. Idle connections are closed.
 * Frames to one peer arrive in order or not at all.
 * @{
 */
#ifndef PIMENTOLIFT_PEER_NET_H
#define PIMENTOLIFT_PEER_NET_H

#include <pimentolift/hash.h>
#include <pimentolift/loop.h>
#include <pimentolift/peer.h>

typedef struct pl_peer_net pl_peer_net_t;

/** Callbacks to the owner. */
typedef struct {
	/** A frame arrived. */
	void (*frame)(void *ctx, const pl_peer_frame_t *frame);
	/** A frame could not be written to the peer's connection. */
	void (*failed)(void *ctx, const pl_peer_frame_t *frame);
} pl_peer_net_ops_t;

/** Accepts connections on @p listen_fd and takes ownership of it. */
pl_peer_net_t *pl_peer_net_new(pl_loop_t *loop, int listen_fd,
			       pl_member_id_t self, const pl_key_t *key,
			       const pl_peer_net_ops_t *ops, void *ctx);
void pl_peer_net_delete(pl_peer_net_t *net);

/** Queues a copy of @p frame for the peer named in it. */
void pl_peer_net_send(pl_peer_net_t *net, const pl_peer_frame_t *frame);

/** Number of frames that are neither fully written nor reported as failed. */
size_t pl_peer_net_pending(const pl_peer_net_t *net);

#endif
/** @} */
