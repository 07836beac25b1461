/**
 * @file
 * @defgroup roster_codec Codec of roster frames
 *
 * Bodies of the frames that request the roster of a service from a member and
 * return it. A request is the msgpack array [service, sequence]; a response is
 * [service, sequence of the request, known, [agent...]]. A receiver ignores
 * elements after those that it knows.
 * @{
 */
#ifndef PIMENTOLIFT_ROSTER_CODEC_H
#define PIMENTOLIFT_ROSTER_CODEC_H

#include <glib.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>

/** A request; the response repeats both fields. */
typedef struct {
	pl_service_id_t service;
	uint32_t sequence; /**< chosen by the requester */
} pl_roster_request_t;

/** Appends an encoded request to @p out. */
void pl_roster_encode_request(const pl_roster_request_t *request,
			      GByteArray *out);

pl_result_t pl_roster_decode_request(const uint8_t *body, size_t len,
				     pl_roster_request_t *request);

/** Appends the encoded response to the request @p request to @p out. */
void pl_roster_encode_response(const pl_roster_request_t *request, bool known,
			       const pl_member_id_t *agents, size_t count,
			       GByteArray *out);

/** Decodes a response; appends the agents' pl_member_id_t to @p agents. */
pl_result_t pl_roster_decode_response(const uint8_t *body, size_t len,
				      pl_roster_request_t *request, bool *known,
				      GArray *agents);

#endif
/** @} */
