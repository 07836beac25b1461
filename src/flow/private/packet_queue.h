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
} pl_parked_t;

/** Packets in order of arrival. */
typedef struct {
	pl_list_t list;
	size_t count;
} pl_parking_t;

void pl_parking_init(pl_parking_t *queue);

/** Appends a copy of the packet, unless the queue is full or contains it. */
void pl_parking_add(pl_parking_t *queue, const uint8_t *bytes, size_t len);

/** Returns the first packet, or NULL. */
const pl_parked_t *pl_parking_first(const pl_parking_t *queue);

/** Moves all packets to @p to, which is empty. */
void pl_parking_move(pl_parking_t *to, pl_parking_t *from);

void pl_parking_clear(pl_parking_t *queue);

#endif
