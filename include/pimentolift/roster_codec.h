/**
 * @file
 * @defgroup roster_codec Codec of roster frames
 *
 * Bodies of the frames that request the roster from a member and return it. A
 * request is the msgpack array [sequence]; a response is [sequence of the
 * request, known, [agent...]]. A receiver ignores elements after those that it
 * knows.
 * @{
 */
#ifndef PIMENTOLIFT_ROSTER_CODEC_H
#define PIMENTOLIFT_ROSTER_CODEC_H

#include <glib.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>

/** Appends an encoded request to @p out; the requester chooses @p sequence. */
void pl_roster_encode_request(uint32_t sequence, GByteArray *out);

pl_result_t pl_roster_decode_request(const uint8_t *body, size_t len,
				     uint32_t *sequence);

/** Appends the encoded response to the request @p sequence to @p out. */
void pl_roster_encode_response(uint32_t sequence, bool known,
			       const pl_member_id_t *agents, size_t count,
			       GByteArray *out);

/** Decodes a response; appends the agents' pl_member_id_t to @p agents. */
pl_result_t pl_roster_decode_response(const uint8_t *body, size_t len,
				      uint32_t *sequence, bool *known,
				      GArray *agents);

#endif
/** @} */
