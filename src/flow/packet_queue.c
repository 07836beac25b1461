/**
 * @file
 * Queue of packets of one flow.
 */
#include "private/packet_queue.h"

#include <glib.h>
#include <string.h>

static pl_queued_packet_t *packet_of_(pl_list_t *link)
{
	return PL_CONTAINER_OF(link, pl_queued_packet_t, link);
}

void pl_packet_queue_init(pl_packet_queue_t *queue)
{
	pl_list_init(&queue->list);
	queue->count = 0;
}

static bool contains_(const pl_packet_queue_t *queue, const uint8_t *bytes,
		      size_t len)
{
	pl_list_for_each(link, &queue->list) {
		const pl_queued_packet_t *packet = packet_of_(link);

		if (packet->len == len &&
		    memcmp(packet->bytes, bytes, len) == 0)
			return true;
	}
	return false;
}

void pl_packet_queue_add(pl_packet_queue_t *queue, const uint8_t *bytes,
			 size_t len)
{
	pl_queued_packet_t *packet;

	if (queue->count == PL_PACKET_QUEUE_MAX || contains_(queue, bytes, len))
		return;
	packet = g_malloc(sizeof(*packet) + len);
	packet->len = len;
	memcpy(packet->bytes, bytes, len);
	pl_list_append(&queue->list, &packet->link);
	queue->count++;
}

const pl_queued_packet_t *pl_packet_queue_first(const pl_packet_queue_t *queue)
{
	pl_list_t *link = pl_list_first(&queue->list);

	return link ? packet_of_(link) : NULL;
}

void pl_packet_queue_move(pl_packet_queue_t *to, pl_packet_queue_t *from)
{
	pl_list_for_each_safe(link, &from->list) {
		pl_list_remove(link);
		pl_list_append(&to->list, link);
	}
	to->count = from->count;
	from->count = 0;
}

void pl_packet_queue_clear(pl_packet_queue_t *queue)
{
	pl_list_for_each_safe(link, &queue->list)
		g_free(packet_of_(link));
	pl_packet_queue_init(queue);
}
