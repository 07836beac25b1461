/**
 * @file
 * Builds the routing table from the document and the membership.
 */
#include "private/routing_build.h"

#include <glib.h>

/** Part of its full weight that a backend server starts with. */
#define RAMP_START_PER_MILLE 100
#define PER_MILLE 1000
#define MS_PER_S 1000

/* Numbers of agents and of suspected agents of one service. */
typedef struct {
	const pl_service_config_t *config;
	size_t agents;
	size_t suspects;
} service_count_t;

static bool is_live_agent_(const pl_member_t *member)
{
	return pl_member_role(member) == PL_MEMBER_AGENT &&
	       pl_member_attr(member)->service != 0 &&
	       pl_member_state(member) != PL_MEMBER_DEAD &&
	       pl_member_state(member) != PL_MEMBER_LEFT;
}

static GHashTable *count_agents_(const pl_document_t *document,
				 const pl_member_table_t *members)
{
	GHashTable *counts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);

	for (size_t i = 0; i < pl_document_count(document); i++) {
		const pl_service_config_t *config =
			pl_section_service(pl_document_at(document, i));
		pl_service_id_t id = pl_service_id(config->name);
		service_count_t *count = g_new0(service_count_t, 1);

		count->config = config;
		g_hash_table_insert(counts, g_memdup2(&id, sizeof(id)), count);
	}
	for (size_t i = 0; i < pl_member_count(members); i++) {
		const pl_member_t *member = pl_member_at(members, i);
		service_count_t *count;

		if (!is_live_agent_(member))
			continue;
		count = g_hash_table_lookup(counts,
					    &pl_member_attr(member)->service);
		if (!count)
			continue;
		count->agents++;
		if (pl_member_state(member) == PL_MEMBER_SUSPECT)
			count->suspects++;
	}
	return counts;
}

/* A suspected agent gets no new work, unless more than half of the agents of
 * its service are suspected: then the cause is more likely a network fault
 * between this process and them. */
static pl_endpoint_state_t endpoint_state_(const pl_member_t *member,
					   const service_count_t *count)
{
	if (pl_member_state(member) == PL_MEMBER_UNREACHABLE)
		return PL_ENDPOINT_UNREACHABLE;
	if (pl_member_state(member) == PL_MEMBER_SUSPECT &&
	    count->suspects * 2 <= count->agents)
		return PL_ENDPOINT_DRAINING;
	return pl_member_attr(member)->endpoint;
}

static bool is_announced_(const pl_member_t *member)
{
	return pl_member_attr(member)->endpoint == PL_ENDPOINT_SERVING;
}

/* Part of the full weight after @p age_s of service, in per mille. */
static uint32_t ramp_per_mille_(uint64_t age_s, uint32_t ramp_ms)
{
	uint64_t age_ms = age_s * MS_PER_S;

	if (ramp_ms == 0 || age_ms >= ramp_ms)
		return PER_MILLE;
	return RAMP_START_PER_MILLE +
	       (uint32_t)((PER_MILLE - RAMP_START_PER_MILLE) * age_ms /
			  ramp_ms);
}

static uint32_t endpoint_weight_(const pl_member_t *member,
				 const service_count_t *count, uint32_t unix_s,
				 bool *ramping)
{
	uint32_t since = pl_member_attr(member)->serving_since_s;
	uint32_t configured_weight = pl_service_config_weight(
		count->config, pl_member_datacentre(member));
	uint32_t ramp = ramp_per_mille_(unix_s > since ? unix_s - since : 0,
					count->config->policy.ramp_ms);

	if (ramp < PER_MILLE)
		*ramping = true;
	/* configured weights go up to PL_WEIGHT_FULL; the default is a
	 * tenth of it */
	return MAX(configured_weight * ramp / PER_MILLE,
		   configured_weight > 0 ? 1 : 0);
}

static void add_endpoint_(pl_routing_builder_t *builder,
			  const pl_member_t *member,
			  const service_count_t *count, uint32_t unix_s,
			  bool *ramping)
{
	const pl_endpoint_t endpoint = {
		.agent = pl_member_id(member),
		.boot = pl_member_boot(member),
		.service = pl_member_attr(member)->service,
		.datacentre = pl_member_datacentre(member),
		.state = endpoint_state_(member, count),
		.announced = is_announced_(member),
		.weight = endpoint_weight_(member, count, unix_s, ramping),
		.slots = pl_member_attr(member)->slots,
	};

	pl_routing_builder_endpoint(builder, &endpoint);
}

static void add_services_(pl_routing_builder_t *builder,
			  const pl_document_t *document)
{
	const pl_route_policy_t none = { 0 };

	for (size_t i = 0; i < pl_document_count(document); i++) {
		const pl_service_config_t *config =
			pl_section_service(pl_document_at(document, i));
		pl_service_id_t id = pl_service_id(config->name);

		pl_routing_builder_service(builder, config->name,
					   &config->policy);
		for (size_t k = 0; k < config->address_count; k++)
			pl_routing_builder_route(
				builder, id, &config->addresses[k],
				config->routes ? &config->routes[k] : &none);
	}
}

/* Adds the endpoint of an agent whose service the document does not name. */
static void add_unconfigured_(pl_routing_builder_t *builder,
			      const pl_member_t *member)
{
	const pl_endpoint_t endpoint = {
		.agent = pl_member_id(member),
		.boot = pl_member_boot(member),
		.service = pl_member_attr(member)->service,
		.datacentre = pl_member_datacentre(member),
		.state = pl_member_state(member) == PL_MEMBER_UNREACHABLE ?
				 PL_ENDPOINT_UNREACHABLE :
				 pl_member_attr(member)->endpoint,
		.announced = is_announced_(member),
	};

	pl_routing_builder_unconfigured(builder, endpoint.service);
	pl_routing_builder_endpoint(builder, &endpoint);
}

pl_routing_t *pl_routing_build(const pl_document_t *document,
			       const pl_member_table_t *members,
			       uint32_t unix_s, bool all_services,
			       bool *ramping)
{
	pl_routing_builder_t *builder =
		pl_routing_builder_new(pl_document_revision(document));
	GHashTable *counts = count_agents_(document, members);

	*ramping = false;
	pl_routing_builder_evacuate(builder, pl_member_evacuations(members));
	add_services_(builder, document);
	for (size_t i = 0; i < pl_member_count(members); i++) {
		const pl_member_t *member = pl_member_at(members, i);
		const service_count_t *count;

		if (!is_live_agent_(member))
			continue;
		count = g_hash_table_lookup(counts,
					    &pl_member_attr(member)->service);
		if (count)
			add_endpoint_(builder, member, count, unix_s, ramping);
		else if (all_services)
			add_unconfigured_(builder, member);
	}
	g_hash_table_unref(counts);
	return pl_routing_builder_finish(builder);
}

pl_routing_t *pl_routing_build_unconfigured(const pl_member_table_t *members)
{
	pl_routing_builder_t *builder = pl_routing_builder_new(0);

	pl_routing_builder_evacuate(builder, pl_member_evacuations(members));
	for (size_t i = 0; i < pl_member_count(members); i++) {
		if (is_live_agent_(pl_member_at(members, i)))
			add_unconfigured_(builder, pl_member_at(members, i));
	}
	return pl_routing_builder_finish(builder);
}

static void release_list_(pl_ref_t *ref)
{
	g_free(PL_CONTAINER_OF(ref, pl_entry_list_t, ref));
}

static int compare_ids_(const void *a, const void *b)
{
	const pl_member_id_t *left = a;
	const pl_member_id_t *right = b;

	return (*left > *right) - (*left < *right);
}

pl_entry_list_t *pl_entry_list_build(const pl_member_table_t *members)
{
	size_t max = pl_member_count(members);
	pl_entry_list_t *list =
		g_malloc(sizeof(*list) + max * sizeof(pl_member_id_t));

	pl_ref_init(&list->ref, release_list_);
	list->count = 0;
	for (size_t i = 0; i < max; i++) {
		const pl_member_t *member = pl_member_at(members, i);

		if (pl_member_role(member) == PL_MEMBER_ENTRY &&
		    pl_member_state(member) == PL_MEMBER_ALIVE)
			list->at[list->count++] = pl_member_id(member);
	}
	qsort(list->at, list->count, sizeof(list->at[0]), compare_ids_);
	return list;
}
