/** @file Copies of views at the next-ranked agent. */
#include "private/view_private.h"

void pl_view_peer_dead(pl_view_table_t *table, pl_member_id_t agent,
		       uint64_t boot)
{
}

void pl_view_rejoin(pl_view_table_t *table, uint64_t boot)
{
	table->params.boot = boot;
}
