/**
 * @file
 * @defgroup frame Codec of peer frames
 *
 * A frame on the wire: 4 bytes of length in network order, then a msgpack
 * array [version, type, sequence, sender, body], then a code over the
 * connection's challenge and the array. The length counts array and code.
 * @{
 */
#ifndef PIMENTOLIFT_FRAME_H
#define PIMENTOLIFT_FRAME_H

#include <glib.h>
#include <pimentolift/hash.h>
#include <pimentolift/peer.h>
#include <pimentolift/result.h>

/** Length of the challenge that opens a connection, in bytes. */
#define PL_FRAME_CHALLENGE_BYTES 16
/** Length of the length field, in bytes. */
#define PL_FRAME_LENGTH_BYTES 4
/** Largest array and code, in bytes. */
#define PL_FRAME_MAX (PL_PEER_BODY_MAX + 64)

/** Key and challenge of one direction of a connection. */
typedef struct {
	pl_key_t key;
	uint8_t challenge[PL_FRAME_CHALLENGE_BYTES];
	uint64_t sequence; /**< of the next frame */
} pl_frame_channel_t;

/** Starts a channel with the key of the fleet. */
void pl_frame_channel_init(pl_frame_channel_t *channel, const pl_key_t *key,
			   const uint8_t challenge[PL_FRAME_CHALLENGE_BYTES]);

/** Appends the encoded frame to @p out; @p sender is this member. */
void pl_frame_encode(pl_frame_channel_t *channel, pl_member_id_t sender,
		     pl_peer_type_t type, const uint8_t *body, size_t body_len,
		     GByteArray *out);

/**
 * Decodes one frame at the start of @p bytes. On success @p used is its
 * length and the body is a copy that g_free() ends. PL_ERR_TIMEOUT means
 * that more bytes are needed; any other failure ends the connection.
 */
pl_result_t pl_frame_decode(pl_frame_channel_t *channel, const uint8_t *bytes,
			    size_t len, size_t *used, pl_peer_frame_t *frame);

#endif
/** @} */
