/**
 * @file
 * Services of which every endpoint is in an evacuated data centre.
 *
 * Nothing that an entry waits for would give such a service an endpoint. If all
 * services of a route are in this state, its new flows are reset at once and
 * their callers can try elsewhere.
 */
#include "private/entry_private.h"

#include <pimentolift/counter.h>

/** A service has to be without other endpoints for this time: an entry that
 * starts learns the endpoints within it, and agents that are restarted come
 * back. */
#define EMPTIED_MIN_MS 2000

static gpointer key_(pl_service_id_t service)
{
	G_STATIC_ASSERT(sizeof(gpointer) >= sizeof(pl_service_id_t));
	return (gpointer)(uintptr_t)service;
}

void pl_flow_evacuate_init_(pl_flow_entry_t *entry)
{
	entry->emptied_since = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, g_free);
}

void pl_flow_evacuate_finish_(pl_flow_entry_t *entry)
{
	g_hash_table_destroy(entry->emptied_since);
}

static bool is_emptied_(const pl_route_service_t *service)
{
	for (size_t i = 0; i < service->endpoint_count; i++) {
		if (!service->endpoints[i].evacuated)
			return false;
	}
	return service->endpoint_count > 0;
}

void pl_flow_evacuate_routing_changed_(pl_flow_entry_t *entry)
{
	GHashTable *before = entry->emptied_since;
	size_t count = pl_routing_service_count(entry->routing);

	pl_flow_evacuate_init_(entry);
	for (size_t i = 0; i < count; i++) {
		const pl_route_service_t *service =
			pl_routing_service_at(entry->routing, i);
		const pl_ms_t *known =
			g_hash_table_lookup(before, key_(service->id));
		pl_ms_t since = known ? *known : pl_flow_entry_now_(entry);

		if (is_emptied_(service))
			g_hash_table_insert(entry->emptied_since,
					    key_(service->id),
					    g_memdup2(&since, sizeof(since)));
	}
	g_hash_table_destroy(before);
}

static bool is_emptied_long_(const pl_flow_entry_t *entry,
			     pl_service_id_t service)
{
	const pl_ms_t *since =
		g_hash_table_lookup(entry->emptied_since, key_(service));

	return since && pl_flow_entry_now_(entry) - *since >= EMPTIED_MIN_MS;
}

bool pl_flow_evacuate_leaves_none_(const pl_flow_entry_t *entry,
				   const pl_flow_key_t *key)
{
	pl_route_share_t shares[PL_ROUTE_SHARES_MAX];
	size_t count = pl_flow_entry_shares_(entry, key, shares);
	bool found = false;

	for (size_t i = 0; i < count; i++) {
		if (shares[i].weight == 0)
			continue;
		if (!is_emptied_long_(entry, shares[i].service->id))
			return false;
		found = true;
	}
	return found;
}

bool pl_flow_evacuate_reject_(pl_flow_entry_t *entry, const cached_flow_t *flow,
			      const uint8_t *bytes, size_t len)
{
	pl_packet_t packet;

	/* A later copy of the packet, or one that was held, may belong to a
	 * flow that an endpoint has accepted meanwhile. */
	if (!pl_flow_evacuate_leaves_none_(entry, &flow->node.key) ||
	    entry->retry_held_since != 0 ||
	    !entry->params.packets->read(bytes, len, &packet) ||
	    !pl_packet_opens(&packet) || packet.ack != 0)
		return false;
	entry->stats.rejected++;
	pl_counter_add(PL_COUNTER_FLOWS_REJECTED, 1);
	pl_flow_entry_reset_(entry, &flow->node.key, packet.ack);
	return true;
}
