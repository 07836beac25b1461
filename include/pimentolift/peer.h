/**
 * @file
 * @defgroup peer Inner protocol: frames between members
 *
 * Members send reliable messages over TCP as frames: a 4-byte length in
 * network byte order, a msgpack array [version, type, sequence, sender, body],
 * and a message authentication code (MAC). The accepting side first sends a
 * random challenge, which goes into every MAC of the connection, so that a
 * recorded frame cannot be replayed on another connection. The body is opaque
 * here; the module that owns the frame type encodes and decodes it.
 * @{
 */
#ifndef PIMENTOLIFT_PEER_H
#define PIMENTOLIFT_PEER_H

#include <pimentolift/addr.h>
#include <stddef.h>
#include <stdint.h>

/** Largest body of a frame, in bytes. */
#define PL_PEER_BODY_MAX (1024 * 1024)

/** All frame types: identifier, number, name. */
#define PL_PEER_TABLE(X)                                \
	X(PL_PEER_TABLE_PULL, 1, "table-pull")          \
	X(PL_PEER_TABLE_PUSH, 2, "table-push")          \
	X(PL_PEER_CONFIG_PULL, 3, "config-pull")        \
	X(PL_PEER_CONFIG_PUSH, 4, "config-push")        \
	X(PL_PEER_VIEW_OFFER, 5, "view-offer")          \
	X(PL_PEER_VIEW_ACCEPT, 6, "view-accept")        \
	X(PL_PEER_VIEW_COPY, 7, "view-copy")            \
	X(PL_PEER_VIEW_FORGET, 8, "view-forget")        \
	X(PL_PEER_VIEW_COPIED, 9, "view-copied")        \
	X(PL_PEER_ROSTER_REQUEST, 12, "roster-request") \
	X(PL_PEER_ROSTER, 13, "roster-response")        \
	X(PL_PEER_REGISTER, 14, "register")             \
	X(PL_PEER_REGISTERED, 15, "registered")         \
	X(PL_PEER_CONFIG_HANDOVER, 16, "config-handover")

typedef enum {
#define PL_PEER_ENUM_(id, number, name) id = (number),
	PL_PEER_TABLE(PL_PEER_ENUM_)
#undef PL_PEER_ENUM_
} pl_peer_type_t;

/** Frame sent to, or received from, the member @c peer. */
typedef struct {
	pl_member_id_t peer;
	pl_peer_type_t type;
	const uint8_t *body;
	size_t body_len;
} pl_peer_frame_t;

#endif
/** @} */
