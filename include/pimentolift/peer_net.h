/**
 * @file
 * @defgroup peer_net Connections between members
 *
 * Sends and receives peer frames over TCP on a thread's loop. Each member
 * opens a connection of its own towards a peer that it sends to, so a
 * connection carries frames one way; idle ones are closed. Frames to one
 * peer arrive in order or not at all.
 * @{
 */
#ifndef PIMENTOLIFT_PEER_NET_H
#define PIMENTOLIFT_PEER_NET_H

#include <pimentolift/hash.h>
#include <pimentolift/loop.h>
#include <pimentolift/peer.h>

typedef struct pl_peer_net pl_peer_net_t;

/** What the owner is told. */
typedef struct {
	/** A frame arrived. */
	void (*frame)(void *ctx, const pl_peer_frame_t *frame);
	/** A frame could not be handed to the peer's kernel. */
	void (*failed)(void *ctx, const pl_peer_frame_t *frame);
} pl_peer_net_ops_t;

/** Serves @p listen_fd, which it owns from now on. */
pl_peer_net_t *pl_peer_net_new(pl_loop_t *loop, int listen_fd,
			       pl_member_id_t self, const pl_key_t *key,
			       const pl_peer_net_ops_t *ops, void *ctx);
void pl_peer_net_delete(pl_peer_net_t *net);

/** Sends a copy of @p frame to its peer. */
void pl_peer_net_send(pl_peer_net_t *net, const pl_peer_frame_t *frame);

/** Frames that are not yet written. */
size_t pl_peer_net_pending(const pl_peer_net_t *net);

#endif
/** @} */
