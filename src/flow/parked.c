/**
 * @file
 * Queue of packets of one flow.
 */
#include "private/parked.h"

#include <glib.h>
#include <string.h>

static pl_parked_t *packet_of_(pl_list_t *link)
{
	return PL_CONTAINER_OF(link, pl_parked_t, link);
}

void pl_parking_init(pl_parking_t *parking)
{
	pl_list_init(&parking->list);
	parking->count = 0;
}

static bool contains_(const pl_parking_t *parking, const uint8_t *bytes,
		      size_t len)
{
	pl_list_for_each(link, &parking->list) {
		const pl_parked_t *parked = packet_of_(link);

		if (parked->len == len &&
		    memcmp(parked->bytes, bytes, len) == 0)
			return true;
	}
	return false;
}

void pl_parking_add(pl_parking_t *parking, const uint8_t *bytes, size_t len)
{
	pl_parked_t *parked;

	if (parking->count == PL_PACKET_QUEUE_MAX ||
	    contains_(parking, bytes, len))
		return;
	parked = g_malloc(sizeof(*parked) + len);
	parked->len = len;
	memcpy(parked->bytes, bytes, len);
	pl_list_append(&parking->list, &parked->link);
	parking->count++;
}

const pl_parked_t *pl_parking_first(const pl_parking_t *parking)
{
	pl_list_t *link = pl_list_first(&parking->list);

	return link ? packet_of_(link) : NULL;
}

void pl_parking_move(pl_parking_t *to, pl_parking_t *from)
{
	pl_list_for_each_safe(link, &from->list) {
		pl_list_remove(link);
		pl_list_append(&to->list, link);
	}
	to->count = from->count;
	from->count = 0;
}

void pl_parking_clear(pl_parking_t *parking)
{
	pl_list_for_each_safe(link, &parking->list)
		g_free(packet_of_(link));
	pl_parking_init(parking);
}
