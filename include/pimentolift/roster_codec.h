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

/** Request of an agent that the store refuses: the receiver writes the sender's
 * entry to the roster. */
typedef struct {
	uint32_t sequence; /**< chosen by the agent */
	pl_service_id_t service;
	char name[PL_NAME_MAX]; /**< value of the entry */
} pl_roster_register_t;

/** Appends the msgpack array [sequence, service, name] to @p out. */
void pl_roster_encode_register(const pl_roster_register_t *request,
			       GByteArray *out);

pl_result_t pl_roster_decode_register(const uint8_t *body, size_t len,
				      pl_roster_register_t *request);

/** Appends the answer to the request @p sequence, [sequence, generation], to
 * @p out: the entry was written in @p generation of the store. */
void pl_roster_encode_registered(uint32_t sequence, uint64_t generation,
				 GByteArray *out);

pl_result_t pl_roster_decode_registered(const uint8_t *body, size_t len,
					uint32_t *sequence,
					uint64_t *generation);

#endif
/** @} */
