/**
 * @file
 * @defgroup wire Inner protocol: datagrams between entries and agents
 *
 * An entry forwards a caller's datagram to an agent, an agent sends answers
 * back through an entry, and an agent passes a datagram on to another one.
 * Each message is a msgpack array followed by a code of @ref PL_MAC_BYTES
 * over it; the first two elements are the version and the type. A receiver
 * ignores elements past those it knows, so that a later release may append.
 * docs/PROTOCOL.md describes every message.
 * @{
 */
#ifndef PIMENTOLIFT_WIRE_H
#define PIMENTOLIFT_WIRE_H

#include <pimentolift/addr.h>
#include <pimentolift/hash.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>

/** Version of the inner protocol that this release speaks. */
#define PL_WIRE_VERSION 1
/** Largest inner datagram, in bytes. */
#define PL_WIRE_DATAGRAM_MAX 1600
/** Agents that one datagram may visit after the first. */
#define PL_WIRE_HOPS_MAX 2

/** Type of an inner datagram. */
typedef enum {
	PL_WIRE_FORWARD = 1, /**< entry or agent to agent */
	PL_WIRE_REPLY = 2, /**< agent to entry */
	PL_WIRE_FLOW = 8, /**< first of the types about flows */
	PL_WIRE_GOSSIP = 16, /**< first of the membership's types */
} pl_wire_type_t;

/**
 * Type of the datagram in @p buf, read without checking its code, or 0. One
 * port carries traffic and membership; this tells which decoder takes it.
 */
unsigned int pl_wire_peek_type(const uint8_t *buf, size_t len);

/** Whose datagram it is, and for which service. */
typedef struct {
	pl_addr_t caller;
	pl_addr_t address; /**< service address that the caller sent to */
	pl_service_id_t service;
} pl_flow_t;

/** A caller's datagram on its way to an agent. */
typedef struct {
	pl_flow_t flow;
	pl_member_id_t entry; /**< entry that answers go through */
	pl_member_id_t origin; /**< agent that passed it on, or 0 */
	uint64_t revision; /**< configuration revision of the sender */
	uint8_t hops; /**< agents visited before */
	const uint8_t *pdu; /**< borrowed from the datagram */
	size_t pdu_len;
} pl_forward_t;

/** An agent's datagram on its way to a caller. */
typedef struct {
	pl_flow_t flow;
	pl_member_id_t agent;
	uint32_t load; /**< expected wait for a slot, in milliseconds */
	uint64_t revision;
	const uint8_t *pdu;
	size_t pdu_len;
} pl_reply_t;

typedef struct pl_wire_decoder pl_wire_decoder_t;

/** A decoded datagram; @c type tells which member holds. */
typedef struct {
	pl_wire_type_t type;
	union {
		pl_forward_t forward;
		pl_reply_t reply;
	};
} pl_wire_message_t;

/** Writes @p forward into @p buf; returns its length, 0 when too long. */
size_t pl_wire_encode_forward(const pl_key_t *key, const pl_forward_t *forward,
			      uint8_t *buf, size_t cap);

/** Writes @p reply into @p buf; returns its length, 0 when too long. */
size_t pl_wire_encode_reply(const pl_key_t *key, const pl_reply_t *reply,
			    uint8_t *buf, size_t cap);

/** New decoder; one per thread. */
pl_wire_decoder_t *pl_wire_decoder_new(const pl_key_t *key);
void pl_wire_decoder_delete(pl_wire_decoder_t *decoder);

/**
 * Decodes one datagram. @p message borrows from @p buf and is valid until
 * the next call. Returns PL_ERR_AUTH, PL_ERR_VERSION or PL_ERR_MALFORMED.
 */
pl_result_t pl_wire_decode(pl_wire_decoder_t *decoder, const uint8_t *buf,
			   size_t len, pl_wire_message_t *message);

#endif
/** @} */
