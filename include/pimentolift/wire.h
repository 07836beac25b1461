/**
 * @file
 * @defgroup wire Inner protocol: datagrams between entries and agents
 *
 * An entry forwards a caller's datagram to an agent, an agent sends answers
 * back through an entry, and an agent forwards a datagram to another agent.
 * Each message is a msgpack array followed by a message authentication code
 * (MAC) of @ref PL_MAC_BYTES over the array. The first two elements are the
 * version and the type. A receiver ignores elements after those that it knows,
 * so that later releases can append elements. docs/PROTOCOL.md describes every
 * message.
 * @{
 */
#ifndef PIMENTOLIFT_WIRE_H
#define PIMENTOLIFT_WIRE_H

#include <pimentolift/addr.h>
#include <pimentolift/hash.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>

/** Version of the inner protocol. */
#define PL_WIRE_VERSION 1
/** Largest inner datagram, in bytes. */
#define PL_WIRE_DATAGRAM_MAX 1600
/** Largest number of times that agents forward one datagram. */
#define PL_WIRE_HOPS_MAX 2

/** Type of an inner datagram. */
typedef enum {
	PL_WIRE_FORWARD = 1, /**< entry or agent to agent */
	PL_WIRE_REPLY = 2, /**< agent to entry */
	PL_WIRE_FLOW = 8, /**< base to which flow message types are added */
	PL_WIRE_GOSSIP = 16, /**< first of the membership message types */
} pl_wire_type_t;

/**
 * Type of the datagram in @p buf, read without checking the MAC; 0 when the
 * datagram has no valid type. Traffic and membership share one port; the type
 * selects the decoder.
 */
unsigned int pl_wire_peek_type(const uint8_t *buf, size_t len);

/** Caller, service address and service of a datagram. */
typedef struct {
	pl_addr_t caller;
	pl_addr_t address; /**< service address that the datagram was sent to */
	pl_service_id_t service;
} pl_flow_t;

/** A caller's datagram on its way to an agent. */
typedef struct {
	pl_flow_t flow;
	pl_member_id_t entry; /**< entry through which the answer returns */
	pl_member_id_t origin; /**< agent that forwarded it, or 0 */
	uint64_t revision; /**< configuration revision of the sender */
	uint8_t hops; /**< number of times that agents forwarded it */
	const uint8_t *pdu; /**< refers to the decoded buffer */
	size_t pdu_len;
} pl_forward_t;

/** An agent's datagram on its way to a caller. */
typedef struct {
	pl_flow_t flow;
	pl_member_id_t agent;
	uint32_t load_ms; /**< expected wait for a slot, in milliseconds */
	uint64_t revision;
	const uint8_t *pdu;
	size_t pdu_len;
} pl_reply_t;

typedef struct pl_wire_decoder pl_wire_decoder_t;

/** Decoded datagram; @c type selects the member of the union. */
typedef struct {
	pl_wire_type_t type;
	union {
		pl_forward_t forward;
		pl_reply_t reply;
	};
} pl_wire_message_t;

/** Encodes @p forward into @p buf; returns the length, 0 if it does not fit. */
size_t pl_wire_encode_forward(const pl_key_t *key, const pl_forward_t *forward,
			      uint8_t *buf, size_t cap);

/** Encodes @p reply into @p buf; returns the length, 0 if it does not fit. */
size_t pl_wire_encode_reply(const pl_key_t *key, const pl_reply_t *reply,
			    uint8_t *buf, size_t cap);

/** Creates a decoder; one per thread. */
pl_wire_decoder_t *pl_wire_decoder_new(const pl_key_t *key);
void pl_wire_decoder_delete(pl_wire_decoder_t *decoder);

/**
 * Decodes one datagram. @p message refers to @p buf and is valid until the
 * next call. Fails with PL_ERR_AUTH, PL_ERR_VERSION or PL_ERR_MALFORMED.
 */
pl_result_t pl_wire_decode(pl_wire_decoder_t *decoder, const uint8_t *buf,
			   size_t len, pl_wire_message_t *message);

#endif
/** @} */
