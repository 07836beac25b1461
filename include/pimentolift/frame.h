/**
 * @file
 * @defgroup frame Codec of peer frames
 *
 * A frame on the wire is a 4-byte length in network byte order, a msgpack
 * array [version, type, sequence, sender, body], and a MAC over the
 * connection's challenge and the array. The length covers the array and the
 * MAC.
 * @{
 */
#ifndef PIMENTOLIFT_FRAME_H
#define PIMENTOLIFT_FRAME_H

#include <glib.h>
#include <pimentolift/hash.h>
#include <pimentolift/peer.h>
#include <pimentolift/result.h>

/** Length of the random challenge that the accepting side sends, in bytes. */
#define PL_FRAME_CHALLENGE_BYTES 16
/** Length of the length field, in bytes. */
#define PL_FRAME_LENGTH_BYTES 4
/** Largest array and MAC together, in bytes. */
#define PL_FRAME_MAX (PL_PEER_BODY_MAX + 64)

/** Authentication state of a connection, which carries frames one way. */
typedef struct {
	pl_key_t key;
	uint8_t challenge[PL_FRAME_CHALLENGE_BYTES];
	uint64_t sequence; /**< sequence number of the next frame */
} pl_frame_channel_t;

/** Initializes a channel with the key that all members share. */
void pl_frame_channel_init(pl_frame_channel_t *channel, const pl_key_t *key,
			   const uint8_t challenge[PL_FRAME_CHALLENGE_BYTES]);

/** Appends an encoded frame to @p out; @p sender is this member. */
void pl_frame_encode(pl_frame_channel_t *channel, pl_member_id_t sender,
		     pl_peer_type_t type, const uint8_t *body, size_t body_len,
		     GByteArray *out);

/**
 * Decodes the frame at the start of @p bytes. On success @p used is the length
 * of the frame, and the body is a copy to be released with g_free().
 * PL_ERR_TIMEOUT means that the frame is incomplete; after any other failure
 * the connection must be closed.
 */
pl_result_t pl_frame_decode(pl_frame_channel_t *channel, const uint8_t *bytes,
			    size_t len, size_t *used, pl_peer_frame_t *frame);

#endif
/** @} */
