/**
 * @file
 * Response of the admin port that explains where a flow would go.
 */
#include "private/admin.h"

#include <glib.h>
#include <pimentolift/balance/health.h>

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

static void add_bool_(struct json_object *object, const char *key, bool value)
{
	json_object_object_add(object, key, json_object_new_boolean(value));
}

/* Adds the name and the address of an agent, if there is one. */
static void add_agent_(struct json_object *object, const char *key,
		       pl_node_t *node, pl_member_id_t agent)
{
	const pl_member_t *member =
		pl_member_find(pl_node_members(node), agent);
	const pl_addr_t addr = pl_member_id_to_addr(agent);
	char address[PL_ADDR_TEXT_MAX];
	char *text;

	if (agent == 0)
		return;
	pl_addr_format(&addr, address);
	text = member ? g_strdup_printf("%s (%s)", pl_member_name(member),
					address) :
			g_strdup(address);
	add_text_(object, key, text);
	g_free(text);
}

static uint32_t sum_of_weights_(const pl_flow_explanation_t *explanation)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < explanation->service_count; i++)
		sum += explanation->services[i].load.weight;
	return sum;
}

static struct json_object *services_(const pl_flow_explanation_t *explanation)
{
	struct json_object *array = json_object_new_array();
	double sum = MAX(sum_of_weights_(explanation), 1);

	for (size_t i = 0; i < explanation->service_count; i++) {
		const pl_flow_explained_service_t *service =
			&explanation->services[i];
		struct json_object *object = json_object_new_object();

		add_text_(object, "service", service->name);
		add_number_(object, "weight", service->load.weight);
		json_object_object_add(
			object, "share",
			json_object_new_double(service->load.weight / sum));
		add_number_(object, "slots", service->load.slots);
		add_number_(object, "busy", service->load.busy);
		add_number_(object, "mean_busy", service->load.mean_busy);
		add_number_(object, "endpoints", service->endpoints);
		add_number_(object, "accepting", service->load.endpoints);
		add_number_(object, "not_serving", service->not_serving);
		add_number_(object, "evacuated", service->evacuated);
		json_object_array_add(array, object);
	}
	return array;
}

static struct json_object *candidate_(pl_node_t *node,
				      const pl_place_candidate_t *candidate,
				      uint64_t wait)
{
	const pl_member_t *member =
		pl_member_find(pl_node_members(node), candidate->agent);
	struct json_object *object = json_object_new_object();
	const pl_endpoint_load_t *load = &candidate->load;

	add_agent_(object, "agent", node, candidate->agent);
	if (member) {
		add_text_(object, "datacentre",
			  pl_member_datacentre_name(member));
		add_text_(object, "member",
			  pl_member_state_names[pl_member_state(member)]);
	}
	add_text_(object, "distance", candidate->local ? "local" : "remote");
	add_number_(object, "weight", candidate->weight);
	add_number_(object, "unreported", candidate->unreported);
	add_number_(object, "wait_milli", wait);
	/* without a report in time, the load is not known */
	if (load->slots == 0)
		return object;
	add_number_(object, "age_ms", candidate->age_ms);
	add_number_(object, "slots", load->slots);
	add_number_(object, "busy", load->busy);
	add_number_(object, "mean_busy_milli", load->mean_busy);
	add_number_(object, "limit_milli", load->limit);
	add_number_(object, "request_ms", load->request_ms);
	add_number_(object, "waiting", load->waiting);
	add_text_(object, "health", pl_health_level_name(load->health));
	add_bool_(object, "out", candidate->out);
	return object;
}

static struct json_object *known_(pl_node_t *node, const pl_flow_known_t *known)
{
	struct json_object *object = json_object_new_object();
	struct json_object *offers = json_object_new_array();

	add_agent_(object, "owner", node, known->owner);
	if (known->owner != 0) {
		add_text_(object, "by", "its agent said that it owns the flow");
		add_bool_(object, "owner_dead", known->owner_dead);
	}
	for (size_t i = 0; i < known->offered_count; i++) {
		struct json_object *offer = json_object_new_object();

		add_agent_(offer, "agent", node, known->offered[i]);
		add_bool_(offer, "refused", known->ruled_out & 1U << i);
		json_object_array_add(offers, offer);
	}
	json_object_object_add(object, "offers", offers);
	add_bool_(object, "looked_up", known->looked_up);
	if (known->looked_up) {
		add_number_(object, "queried", known->queried);
		add_number_(object, "unanswered", known->unanswered);
		add_agent_(object, "presumed", node, known->presumed);
	}
	return object;
}

static void add_target_(struct json_object *object, pl_node_t *node,
			const pl_flow_explanation_t *explanation)
{
	const pl_flow_known_t *known = &explanation->known;
	size_t chosen = explanation->chosen;

	if (explanation->step == PL_FLOW_STEP_OFFER)
		add_agent_(object, "target", node,
			   explanation->candidates[chosen].agent);
	else if (explanation->step == PL_FLOW_STEP_OWNER)
		add_agent_(object, "target", node, known->owner);
}

struct json_object *
pl_admin_explain_flow(pl_node_t *node, const pl_flow_key_t *key,
		      const pl_flow_explanation_t *explanation)
{
	struct json_object *object = json_object_new_object();
	struct json_object *array = json_object_new_array();
	char flow[PL_FLOW_TEXT_MAX];

	add_text_(object, "flow", pl_flow_format(key, flow));
	add_number_(object, "revision", explanation->revision);
	pl_node_evacuation_status(node, object);
	json_object_object_add(object, "services", services_(explanation));
	if (explanation->accepted) {
		add_text_(object, "service",
			  explanation->services[explanation->service].name);
		add_text_(object, "share_of",
			  explanation->services[explanation->share].name);
		add_text_(object, "service_reason",
			  pl_reason_name(explanation->service_reason));
	}
	for (size_t i = 0; i < explanation->candidate_count; i++)
		json_object_array_add(
			array, candidate_(node, &explanation->candidates[i],
					  explanation->waits[i]));
	json_object_object_add(object, "candidates", array);
	if (explanation->known.cached)
		json_object_object_add(object, "known",
				       known_(node, &explanation->known));
	add_text_(object, "step", pl_flow_step_names[explanation->step]);
	add_text_(object, "reason", pl_reason_name(explanation->reason));
	add_target_(object, node, explanation);
	return object;
}
