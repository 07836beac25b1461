/**
 * @file
 * Explanation of what the entry would do with a flow.
 */
#include "private/entry_private.h"

#include <string.h>

const char *const pl_flow_step_names[] = { "offer", "owner", "hold", "reset",
					   "drop" };

G_STATIC_ASSERT(G_N_ELEMENTS(pl_flow_step_names) == PL_FLOW_STEP_COUNT);

static const cached_flow_t *find_flow_(const pl_flow_entry_t *entry,
				       const pl_flow_key_t *key)
{
	const pl_flow_node_t *node = pl_flow_table_find(entry->flows, key);

	return node ? PL_CONTAINER_OF(node, cached_flow_t, node) : NULL;
}

static void explain_known_(const pl_flow_entry_t *entry,
			   const cached_flow_t *flow, pl_flow_known_t *known)
{
	known->cached = true;
	known->owner = flow->owner;
	known->owner_dead = flow->owner != 0 &&
			    pl_flow_liveness_is_dead_(entry, flow->owner);
	memcpy(known->offered, flow->offered, sizeof(known->offered));
	known->offered_count = flow->offered_count;
	known->ruled_out = flow->ruled_out;
	if (!flow->lookup)
		return;
	known->looked_up = true;
	known->queried = flow->lookup->queries->len;
	known->unanswered = flow->lookup->unanswered;
	known->presumed = flow->lookup->presumed;
}

static void explain_services_(const pl_flow_entry_t *entry,
			      const cached_flow_t *flow,
			      pl_flow_explanation_t *out)
{
	pl_route_share_t shares[PL_ROUTE_SHARES_MAX];

	out->service_count =
		pl_flow_entry_shares_(entry, &flow->node.key, shares);
	for (size_t i = 0; i < out->service_count; i++) {
		const pl_route_service_t *service = shares[i].service;
		pl_flow_explained_service_t *to = &out->services[i];

		g_strlcpy(to->name, service->name, sizeof(to->name));
		to->load = pl_flow_split_load_(entry, flow, &shares[i]);
		to->endpoints = service->endpoint_count;
		for (size_t k = 0; k < service->endpoint_count; k++) {
			to->not_serving += service->endpoints[k].state !=
					   PL_ENDPOINT_SERVING;
			to->evacuated += service->endpoints[k].evacuated;
		}
	}
}

static size_t service_index_(const pl_flow_explanation_t *out,
			     const pl_route_service_t *service)
{
	size_t i = 0;

	while (i + 1 < out->service_count &&
	       out->services[i].load.service != service->id)
		i++;
	return i;
}

static void set_step_(pl_flow_explanation_t *out, pl_flow_step_t step,
		      pl_reason_t reason)
{
	out->step = step;
	out->reason = reason;
}

static void explain_place_(const pl_flow_entry_t *entry,
			   const cached_flow_t *flow,
			   pl_flow_explanation_t *out)
{
	pl_flow_choice_t choice;

	pl_flow_choose_(entry, flow, &choice);
	set_step_(out, PL_FLOW_STEP_HOLD, PL_REASON_NO_ENDPOINT);
	out->accepted = choice.accepted;
	if (!choice.accepted)
		return;
	out->service = service_index_(out, choice.split.service);
	out->share = service_index_(out, choice.split.share);
	out->service_reason = choice.split.reason;
	out->candidate_count = choice.count;
	for (size_t i = 0; i < choice.count; i++) {
		out->candidates[i] = choice.candidates[i];
		out->waits[i] =
			pl_place_wait(choice.candidates, choice.count, i);
	}
	if (choice.endpoint) {
		out->chosen = choice.chosen;
		set_step_(out, PL_FLOW_STEP_OFFER, PL_REASON_LEAST_LOADED);
	} else if (pl_flow_evacuate_leaves_none_(entry, &flow->node.key)) {
		set_step_(out, PL_FLOW_STEP_RESET, PL_REASON_EVACUATED);
	}
}

static void explain_opening_(const pl_flow_entry_t *entry,
			     const cached_flow_t *flow,
			     pl_flow_explanation_t *out)
{
	pl_flow_step_t reject = pl_flow_entry_last_offer_(flow) != 0 ?
					PL_FLOW_STEP_DROP :
					PL_FLOW_STEP_RESET;

	switch (pl_flow_entry_opening_(entry, flow)) {
	case OPENING_UNWEIGHTED:
		set_step_(out, reject, PL_REASON_NO_SERVICE);
		return;
	case OPENING_OWNED:
		set_step_(out, PL_FLOW_STEP_OWNER, PL_REASON_NONE);
		return;
	case OPENING_PLACE:
		explain_place_(entry, flow, out);
		return;
	}
}

void pl_flow_entry_explain(const pl_flow_entry_t *entry,
			   const pl_flow_key_t *key,
			   pl_flow_explanation_t *explanation)
{
	const cached_flow_t fresh = { .node.key = *key };
	const cached_flow_t *flow = find_flow_(entry, key);

	memset(explanation, 0, sizeof(*explanation));
	if (flow)
		explain_known_(entry, flow, &explanation->known);
	if (!pl_flow_entry_is_configured_(entry)) {
		set_step_(explanation, PL_FLOW_STEP_HOLD, PL_REASON_NONE);
		return;
	}
	if (!flow || pl_flow_entry_is_rerouted_(entry, flow))
		flow = &fresh;
	explanation->revision = pl_routing_revision(entry->routing);
	explain_services_(entry, flow, explanation);
	if (explanation->service_count == 0)
		set_step_(explanation, PL_FLOW_STEP_RESET,
			  PL_REASON_NO_SERVICE);
	else
		explain_opening_(entry, flow, explanation);
}
