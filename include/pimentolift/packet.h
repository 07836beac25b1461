/**
 * @file
 * @defgroup packet Packets of a flow
 *
 * A flow carries the bytes of one connection between a caller and a backend
 * server. The product reads the heads of its packets and never their
 * contents. How a head is laid out on the wire is known only to the
 * implementation of @ref pl_packet_ops_t.
 * @{
 */
#ifndef PIMENTOLIFT_PACKET_H
#define PIMENTOLIFT_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest packet, in bytes. */
#define PL_PACKET_MAX 1300

/** Address and port of one end; both in host order. */
typedef struct {
	uint32_t ip;
	uint16_t port;
} pl_end_t;

/** Identity of a flow: the caller's end and the service address. */
typedef struct {
	uint32_t caller_ip;
	uint32_t service_ip;
	uint16_t caller_port;
	uint16_t service_port;
} pl_flow_key_t;

/** Flags of a packet. */
typedef enum {
	PL_PACKET_SYN = 1, /**< opens the flow */
	PL_PACKET_ACK = 2,
	PL_PACKET_FIN = 4,
	PL_PACKET_RST = 8,
	PL_PACKET_BOUNCED = 16, /**< handed back by the backend server */
} pl_packet_flag_t;

/** Head of a packet. */
typedef struct {
	pl_end_t src;
	pl_end_t dst;
	unsigned int flags; /**< of @ref pl_packet_flag_t */
	uint32_t seq;
	uint32_t ack; /**< of an opening packet: number of this copy, from 0 */
	uint16_t data_len;
} pl_packet_t;

/** How packets stand on the wire. */
typedef struct {
	/** Most data of one packet: one that is full has more behind it. */
	uint16_t data_max;
	/** Reads the head; false when the bytes are no packet. */
	bool (*read)(const uint8_t *bytes, size_t len, pl_packet_t *packet);
	/** Clears what a backend server added when it handed one back. */
	void (*clean)(uint8_t *bytes, size_t len);
	/** Writes a reset of @p flow to its caller; returns its length. */
	size_t (*reset)(const pl_flow_key_t *flow, uint32_t seq, uint8_t *out,
			size_t cap);
} pl_packet_ops_t;

/** Flow of a packet that a caller sent. */
static inline pl_flow_key_t pl_packet_flow(const pl_packet_t *packet)
{
	return (pl_flow_key_t){ .caller_ip = packet->src.ip,
				.service_ip = packet->dst.ip,
				.caller_port = packet->src.port,
				.service_port = packet->dst.port };
}

/** Flow of a packet that a backend server sent. */
static inline pl_flow_key_t pl_packet_flow_back(const pl_packet_t *packet)
{
	return (pl_flow_key_t){ .caller_ip = packet->dst.ip,
				.service_ip = packet->src.ip,
				.caller_port = packet->dst.port,
				.service_port = packet->src.port };
}

/** Whether the packet opens a flow. */
static inline bool pl_packet_opens(const pl_packet_t *packet)
{
	return (packet->flags & (PL_PACKET_SYN | PL_PACKET_ACK)) ==
	       PL_PACKET_SYN;
}

#endif
/** @} */
