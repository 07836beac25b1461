/**
 * @file
 * Queue of packets of one flow.
 */
#ifndef PL_FLOW_PACKET_QUEUE_H
#define PL_FLOW_PACKET_QUEUE_H

#include <pimentolift/list.h>
#include <stddef.h>
#include <stdint.h>

/** Capacity in packets; a caller has no more in flight on one flow. */
#define PL_PACKET_QUEUE_MAX 16

/** A packet in the queue. */
typedef struct {
	pl_list_t link;
	size_t len;
	uint8_t bytes[];
} pl_queued_packet_t;

/** Packets in order of arrival. */
typedef struct {
	pl_list_t list;
	size_t count;
} pl_packet_queue_t;

void pl_packet_queue_init(pl_packet_queue_t *queue);

/** Appends a copy of the packet, unless the queue is full or contains it. */
void pl_packet_queue_add(pl_packet_queue_t *queue, const uint8_t *bytes,
			 size_t len);

/** Returns the first packet, or NULL. */
const pl_queued_packet_t *pl_packet_queue_first(const pl_packet_queue_t *queue);

/** Moves all packets to @p to, which is empty. */
void pl_packet_queue_move(pl_packet_queue_t *to, pl_packet_queue_t *from);

void pl_packet_queue_clear(pl_packet_queue_t *queue);

#endif
