/**
 * @file
 * @defgroup flow_codec Inner protocol: flow messages
 *
 * Codec of @ref flow messages: a msgpack array [version, type, sender,
 * service, caller IP, caller port, service IP, service port, flags, verdict,
 * slots, busy, mean busy, due, priority, addresses, items, packet], with
 * [timeout] after them in a FORWARD, and [limit, request time, waiting, reason]
 * in a VERDICT, LOAD or LOCATED, followed by a MAC of @ref PL_MAC_BYTES with the key PL_KEY_DATAGRAM. The array of
 * addresses has two elements, IP and port, for each distinct service address of
 * the items. The array of items has five elements for each item: caller IP,
 * caller port, index of the service address, ack and verdict. A receiver
 * ignores elements after those that it knows.
 * @{
 */
#ifndef PIMENTOLIFT_FLOW_CODEC_H
#define PIMENTOLIFT_FLOW_CODEC_H

#include <pimentolift/flow.h>
#include <pimentolift/hash.h>
#include <pimentolift/wire.h>

typedef struct pl_flow_decoder pl_flow_decoder_t;

/** Encodes @p message into @p buf; returns the length, 0 if it does not fit. */
size_t pl_flow_encode(const pl_key_t *key, const pl_flow_message_t *message,
		      uint8_t *buf, size_t cap);

/** Creates a decoder; one per thread. */
pl_flow_decoder_t *pl_flow_decoder_new(const pl_key_t *key);
void pl_flow_decoder_delete(pl_flow_decoder_t *decoder);

/**
 * Decodes one datagram. @p message refers to @p buf and to memory of the
 * decoder; it is valid until the next call. Fails with PL_ERR_AUTH,
 * PL_ERR_VERSION or PL_ERR_MALFORMED.
 */
pl_result_t pl_flow_decode(pl_flow_decoder_t *decoder, const uint8_t *buf,
			   size_t len, pl_flow_message_t *message);

#endif
/** @} */
