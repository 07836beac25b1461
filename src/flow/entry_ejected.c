/**
 * @file
 * Ejected endpoints of a service: which of them get no new flows.
 */
#include "private/entry_private.h"

#include <pimentolift/balance/health.h>

/** Health that was reported longer ago counts as good. */
#define HEALTH_VALID_MS 3000
/** The endpoints of a service are counted at most this often; agents report
 * changes after 100 ms. */
#define COUNT_MS 20

/* Level of health from which on endpoints of a service are out. */
typedef struct {
	pl_ms_t at;
	uint32_t from;
} out_level_t;

void pl_flow_ejected_init_(pl_flow_entry_t *entry)
{
	entry->out_levels = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
}

void pl_flow_ejected_finish_(pl_flow_entry_t *entry)
{
	g_hash_table_destroy(entry->out_levels);
}

void pl_flow_ejected_routing_changed_(pl_flow_entry_t *entry)
{
	g_hash_table_remove_all(entry->out_levels);
}

static uint32_t count_(const pl_flow_entry_t *entry,
		       const pl_route_service_t *service)
{
	pl_health_census_t census = { 0 };

	for (size_t i = 0; i < service->endpoint_count; i++) {
		const pl_endpoint_t *endpoint = &service->endpoints[i];
		pl_endpoint_load_t load = { 0 };
		pl_ms_t age;

		if (endpoint->state != PL_ENDPOINT_SERVING ||
		    endpoint->evacuated)
			continue;
		if (pl_flow_loads_get_(entry, endpoint->agent, &load, &age) &&
		    age > HEALTH_VALID_MS)
			load.health = PL_HEALTH_GOOD;
		pl_health_census_add(&census, load.health);
	}
	return pl_health_out_from(&census);
}

static uint32_t out_from_(const pl_flow_entry_t *entry,
			  const pl_route_service_t *service)
{
	const out_level_t *known =
		g_hash_table_lookup(entry->out_levels, &service->id);

	return known && pl_flow_entry_now_(entry) - known->at < COUNT_MS ?
		       known->from :
		       count_(entry, service);
}

void pl_flow_ejected_mark_(const pl_flow_entry_t *entry,
			   pl_flow_choice_t *choice)
{
	choice->out_from = 0;
	for (size_t i = 0; i < choice->count; i++) {
		pl_place_candidate_t *candidate = &choice->candidates[i];

		if (candidate->load.health < PL_HEALTH_OUT)
			continue;
		if (choice->out_from == 0)
			choice->out_from =
				out_from_(entry, choice->split.service);
		candidate->out = candidate->load.health >= choice->out_from;
	}
}

void pl_flow_ejected_keep_(pl_flow_entry_t *entry,
			   const pl_flow_choice_t *choice)
{
	const pl_service_id_t service = choice->split.service->id;
	const out_level_t level = { pl_flow_entry_now_(entry),
				    choice->out_from };
	const out_level_t *known =
		g_hash_table_lookup(entry->out_levels, &service);

	if (level.from == 0 || (known && level.at - known->at < COUNT_MS))
		return;
	g_hash_table_replace(entry->out_levels,
			     g_memdup2(&service, sizeof(service)),
			     g_memdup2(&level, sizeof(level)));
}
