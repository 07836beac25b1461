/**
 * @file
 * @defgroup packet Packets of a flow
 *
 * A flow carries the bytes of one connection between a caller and a backend
 * server. Entries and agents read the headers of its packets and never the
 * payload. Only the implementation of @ref pl_packet_ops_t knows the layout of
 * a header on the wire.
 * @{
 */
#ifndef PIMENTOLIFT_PACKET_H
#define PIMENTOLIFT_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest packet, in bytes. */
#define PL_PACKET_MAX 1300
/** Acknowledgement number of a packet that acknowledges nothing, as a caller's
 * reset may. */
#define PL_PACKET_ACK_NONE 0

/** IPv4 address and port, both in host byte order. */
typedef struct {
	uint32_t ip;
	uint16_t port;
} pl_ip_port_t;

/** Identity of a flow: address and port of the caller and of the service. */
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
	/** Handed back by a backend server that does not hold the flow. */
	PL_PACKET_BOUNCED = 16,
} pl_packet_flag_t;

/** Header of a packet. */
typedef struct {
	pl_ip_port_t src;
	pl_ip_port_t dst;
	unsigned int flags; /**< bits of @ref pl_packet_flag_t */
	uint32_t seq;
	/** In an opening packet: number of its earlier transmissions. */
	uint32_t ack;
	uint16_t data_len;
} pl_packet_t;

/** Codec of packets. */
typedef struct {
	/** Largest payload, in bytes; after a full packet more data follows. */
	uint16_t data_max;
	/** Decodes the header; returns false if the packet is malformed. */
	bool (*read)(const uint8_t *bytes, size_t len, pl_packet_t *packet);
	/** Removes the marks that a backend server adds to a packet that it
	 * hands back. */
	void (*clear_bounced)(uint8_t *bytes, size_t len);
	/** Encodes a reset of @p flow for its caller; returns its length. */
	size_t (*reset)(const pl_flow_key_t *flow, uint32_t seq, uint8_t *out,
			size_t cap);
} pl_packet_ops_t;

/** Flow of a packet from a caller. */
static inline pl_flow_key_t pl_packet_flow(const pl_packet_t *packet)
{
	return (pl_flow_key_t){ .caller_ip = packet->src.ip,
				.service_ip = packet->dst.ip,
				.caller_port = packet->src.port,
				.service_port = packet->dst.port };
}

/** Flow of a packet from a backend server. */
static inline pl_flow_key_t pl_packet_reply_flow(const pl_packet_t *packet)
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
