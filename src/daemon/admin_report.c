/**
 * @file
 * Contents of the admin port's responses.
 */
#include "private/admin.h"

#include <pimentolift/counter.h>
#include <pimentolift/placement.h>

#include <glib.h>

#define EXPLAIN_RANKS 4

static void add_text_(struct json_object *object, const char *key,
		      const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

static void add_number_(struct json_object *object, const char *key,
			uint64_t value)
{
	json_object_object_add(object, key,
			       json_object_new_int64((int64_t)value));
}

static void add_member_(struct json_object *object, const char *key,
			pl_member_id_t member)
{
	const pl_addr_t addr = pl_member_id_to_addr(member);
	char text[PL_ADDR_TEXT_MAX];

	add_text_(object, key, pl_addr_format(&addr, text));
}

static void add_members_(struct json_object *status,
			 const pl_member_table_t *members)
{
	struct json_object *object = json_object_new_object();
	pl_member_stats_t stats;

	pl_member_stats(members, &stats);
	for (int state = 0; state < PL_MEMBER_STATE_COUNT; state++)
		add_number_(object, pl_member_state_names[state],
			    stats.by_state[state]);
	json_object_object_add(status, "members", object);
}

struct json_object *pl_admin_status(pl_node_t *node)
{
	const pl_settings_t *settings = pl_node_settings(node);
	struct json_object *status = json_object_new_object();

	add_text_(status, "name", settings->name);
	add_text_(status, "role", pl_role_names[settings->role]);
	add_text_(status, "environment", settings->environment);
	add_text_(status, "datacentre", settings->datacentre);
	add_text_(status, "version", PL_VERSION);
	add_member_(status, "inner", pl_node_self(node));
	add_number_(status, "revision", pl_node_revision(node));
	json_object_object_add(
		status, "draining",
		json_object_new_boolean(pl_node_is_draining(node)));
	pl_node_evacuation_status(node, status);
	add_members_(status, pl_node_members(node));
	pl_node_role_status(node, status);
	return status;
}

/* Adds the service's name, or its identity if no configuration names it. */
static void add_service_(struct json_object *object,
			 const pl_route_service_t *service)
{
	char *identity =
		g_strdup_printf("%016" G_GINT64_MODIFIER "x", service->id);

	add_text_(object, "service", *service->name ? service->name : identity);
	g_free(identity);
}

static struct json_object *endpoint_json_(const pl_route_service_t *service,
					  const pl_endpoint_t *endpoint,
					  const pl_member_table_t *members)
{
	const pl_member_t *member = pl_member_find(members, endpoint->agent);
	struct json_object *object = json_object_new_object();

	add_service_(object, service);
	add_member_(object, "agent", endpoint->agent);
	add_text_(object, "state", pl_endpoint_state_names[endpoint->state]);
	json_object_object_add(object, "evacuated",
			       json_object_new_boolean(endpoint->evacuated));
	add_number_(object, "weight", endpoint->weight);
	add_number_(object, "slots", endpoint->slots);
	if (!member)
		return object;
	add_text_(object, "name", pl_member_name(member));
	add_text_(object, "datacentre", pl_member_datacentre_name(member));
	add_text_(object, "member",
		  pl_member_state_names[pl_member_state(member)]);
	return object;
}

struct json_object *pl_admin_endpoints(pl_node_t *node)
{
	const pl_routing_t *routing = pl_node_routing(node);
	struct json_object *array = json_object_new_array();

	if (!routing)
		return array;
	for (size_t i = 0; i < pl_routing_service_count(routing); i++) {
		const pl_route_service_t *service =
			pl_routing_service_at(routing, i);

		for (size_t k = 0; k < service->endpoint_count; k++)
			json_object_array_add(
				array,
				endpoint_json_(service, &service->endpoints[k],
					       pl_node_members(node)));
	}
	return array;
}

struct json_object *pl_admin_explain(pl_node_t *node, const char *name,
				     const char *caller)
{
	const pl_routing_t *routing = pl_node_routing(node);
	const pl_endpoint_t *ranked[EXPLAIN_RANKS];
	const pl_route_service_t *service;
	struct json_object *object;
	struct json_object *array;
	pl_addr_t addr;
	size_t count;

	if (!routing || pl_addr_parse(caller, &addr, NULL) != PL_OK)
		return NULL;
	service = pl_routing_by_id(routing, pl_service_id(name));
	if (!service)
		return NULL;
	count = pl_placement_rank(service, &addr, PL_RANK_REACHABLE, 0, ranked,
				  EXPLAIN_RANKS);
	object = json_object_new_object();
	array = json_object_new_array();
	add_text_(object, "service", name);
	add_text_(object, "caller", caller);
	add_number_(object, "revision", pl_routing_revision(routing));
	for (size_t i = 0; i < count; i++)
		json_object_array_add(array,
				      endpoint_json_(service, ranked[i],
						     pl_node_members(node)));
	json_object_object_add(object, "rank", array);
	add_text_(object, "why",
		  "weighted rendezvous hash of the caller over the endpoints; "
		  "the first that serves is the home, new work may go to the "
		  "second when it is less loaded");
	return object;
}

static void print_histogram_(GString *text, pl_histogram_t histogram)
{
	const char *name = pl_histogram_name(histogram);
	uint64_t cumulated = 0;

	g_string_append_printf(
		text,
		"# HELP pimentolift_%s %s\n# TYPE pimentolift_%s histogram\n",
		name, pl_histogram_help(histogram), name);
	for (size_t b = 0; b < PL_HISTOGRAM_BUCKETS; b++) {
		uint64_t count = pl_histogram_get(histogram, b);

		cumulated += count;
		if (count > 0)
			g_string_append_printf(
				text,
				"pimentolift_%s_bucket{le=\"%" G_GUINT64_FORMAT
				"\"} %" G_GUINT64_FORMAT "\n",
				name, pl_histogram_bound_us(b), cumulated);
	}
	g_string_append_printf(
		text,
		"pimentolift_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
		"pimentolift_%s_count %" G_GUINT64_FORMAT "\n",
		name, cumulated, name, cumulated);
}

/* Prints one number of each service of the routes with weights. */
static void print_shares_(GString *text, struct json_object *shares,
			  const char *key, const char *type)
{
	g_string_append_printf(text, "# TYPE pimentolift_share_%s %s\n", key,
			       type);
	for (size_t i = 0; i < json_object_array_length(shares); i++) {
		struct json_object *share =
			json_object_array_get_idx(shares, i);

		g_string_append_printf(
			text,
			"pimentolift_share_%s{address=\"%s\",service=\"%s\"}"
			" %s\n",
			key,
			json_object_get_string(
				json_object_object_get(share, "address")),
			json_object_get_string(
				json_object_object_get(share, "service")),
			json_object_get_string(
				json_object_object_get(share, key)));
	}
}

static void print_role_(GString *text, pl_node_t *node)
{
	struct json_object *status = json_object_new_object();
	struct json_object *shares;

	pl_node_role_status(node, status);
	if (json_object_object_get_ex(status, "shares", &shares)) {
		print_shares_(text, shares, "weight", "gauge");
		print_shares_(text, shares, "asked", "counter");
		print_shares_(text, shares, "given", "counter");
	}
	json_object_put(status);
}

GString *pl_admin_metrics(pl_node_t *node)
{
	GString *text = g_string_new(NULL);

	for (int counter = 0; counter < PL_COUNTER_COUNT; counter++) {
		const char *name = pl_counter_name(counter);

		g_string_append_printf(text,
				       "# HELP pimentolift_%s_total %s\n"
				       "# TYPE pimentolift_%s_total counter\n"
				       "pimentolift_%s_total %" G_GUINT64_FORMAT
				       "\n",
				       name, pl_counter_help(counter), name,
				       name, pl_counter_get(counter));
	}
	for (int histogram = 0; histogram < PL_HISTOGRAM_COUNT; histogram++)
		print_histogram_(text, histogram);
	g_string_append_printf(text,
			       "# TYPE pimentolift_revision gauge\n"
			       "pimentolift_revision %" G_GUINT64_FORMAT "\n",
			       pl_node_revision(node));
	g_string_append_printf(
		text,
		"# TYPE pimentolift_evacuated_datacentres gauge\n"
		"pimentolift_evacuated_datacentres %zu\n",
		pl_node_evacuation_count(node));
	print_role_(text, node);
	return text;
}
