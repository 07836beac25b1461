/** @file Hand-over of views at a drain. */
#include "private/view_private.h"

void pl_view_frame(pl_view_table_t *table, const pl_peer_frame_t *frame)
{
}

void pl_view_frame_failed(pl_view_table_t *table, const pl_peer_frame_t *frame)
{
}

void pl_view_drain(pl_view_table_t *table)
{
	table->draining = true;
}
