/**
 * @file
 * Routing of datagrams from callers.
 */
#include <pimentolift/coap_msg.h>
#include <pimentolift/entry.h>
#include <pimentolift/event.h>
#include <pimentolift/placement.h>
#include <pimentolift/ticket.h>

#include <assert.h>
#include <glib.h>

/** Minimum advantage in expected wait to use the second-ranked endpoint. */
#define CHOICE_MARGIN_MS 2

struct pl_entry {
	pl_member_id_t self;
	const pl_entry_policy_t *policy;
	pl_coap_parser_t *parser;
	pl_load_table_t *loads;
};

static size_t choose_less_loaded_(pl_entry_t *entry,
				  const pl_endpoint_t *const *ranked,
				  size_t count, pl_ms_t now)
{
	uint32_t first;
	uint32_t second;

	if (count < 2)
		return 0;
	first = pl_load_expected(entry->loads, ranked[0]->agent, now);
	second = pl_load_expected(entry->loads, ranked[1]->agent, now);
	return first > second + CHOICE_MARGIN_MS ? 1 : 0;
}

static size_t choose_best_ranked_(pl_entry_t *entry,
				  const pl_endpoint_t *const *ranked,
				  size_t count, pl_ms_t now)
{
	return 0;
}

const pl_entry_policy_t pl_entry_policy_two_choices = {
	.name = "two-choices",
	.choices = 2,
	.choose = choose_less_loaded_,
};

const pl_entry_policy_t pl_entry_policy_hash = {
	.name = "hash",
	.choices = 1,
	.choose = choose_best_ranked_,
};

pl_entry_t *pl_entry_new(pl_member_id_t self, const pl_entry_policy_t *policy,
			 pl_load_table_t *loads)
{
	pl_entry_t *entry = g_new0(pl_entry_t, 1);

	assert(policy->choices <= PL_ENTRY_CHOICES);
	entry->self = self;
	entry->policy = policy;
	entry->parser = pl_coap_parser_new();
	entry->loads = loads;
	return entry;
}

void pl_entry_delete(pl_entry_t *entry)
{
	if (!entry)
		return;
	pl_coap_parser_delete(entry->parser);
	g_free(entry);
}

/* Returns true when @p msg may refer to state that the home agent holds. */
static bool requires_home_(const pl_coap_msg_t *msg)
{
	return !pl_coap_is_request(msg->code) || msg->has_observe ||
	       msg->block1.present || msg->block2.num > 0;
}

/* Returns the issuer of the ticket in @p msg if it serves @p service. */
static const pl_endpoint_t *find_issuer_(const pl_routing_t *routing,
					 const pl_route_service_t *service,
					 const pl_coap_msg_t *msg)
{
	const pl_endpoint_t *endpoint;
	pl_member_id_t agent;

	if (msg->echo_len == 0 ||
	    !pl_ticket_peek(msg->echo, msg->echo_len, &agent))
		return NULL;
	endpoint = pl_routing_endpoint(routing, agent);
	if (!endpoint || endpoint->service != service->id)
		return NULL;
	return endpoint;
}

static const pl_endpoint_t *
choose_endpoint_(pl_entry_t *entry, const pl_routing_t *routing,
		 const pl_route_service_t *service, const pl_addr_t *caller,
		 const pl_coap_msg_t *msg, pl_ms_t now)
{
	const pl_endpoint_t *ranked[PL_ENTRY_CHOICES];
	const pl_endpoint_t *issuer = find_issuer_(routing, service, msg);
	bool home_only = requires_home_(msg);
	size_t count;
	size_t index;

	if (issuer)
		return issuer;
	count = pl_placement_rank(service, caller, PL_RANK_SERVING, 0, ranked,
				  home_only ? 1 : entry->policy->choices);
	if (count == 0)
		/*
		 * No endpoint accepts new work. A draining endpoint may hold
		 * state of the flow, and it refuses new requests.
		 */
		return pl_placement_rank(service, caller, PL_RANK_REACHABLE, 0,
					 ranked, 1) == 0 ?
			       NULL :
			       ranked[0];
	if (home_only)
		return ranked[0];
	index = entry->policy->choose(entry, ranked, count, now);
	assert(index < count);
	pl_load_count_sent(entry->loads, ranked[index]->agent);
	return ranked[index];
}

pl_result_t pl_entry_route(pl_entry_t *entry, const pl_routing_t *routing,
			   const pl_addr_t *caller, const pl_addr_t *address,
			   const uint8_t *pdu, size_t pdu_len, pl_ms_t now,
			   pl_member_id_t *agent, pl_forward_t *forward,
			   pl_counter_t *dropped)
{
	const pl_route_service_t *service =
		pl_routing_by_address(routing, address);
	const pl_endpoint_t *target;
	pl_coap_msg_t msg;

	if (!service) {
		*dropped = PL_COUNTER_DROP_NO_SERVICE;
		return PL_ERR_NOT_FOUND;
	}
	if (pl_coap_parse(entry->parser, pdu, pdu_len, &msg) != PL_OK) {
		*dropped = PL_COUNTER_DROP_MALFORMED;
		return PL_ERR_MALFORMED;
	}
	target = choose_endpoint_(entry, routing, service, caller, &msg, now);
	if (!target) {
		*dropped = PL_COUNTER_DROP_NO_ENDPOINT;
		return PL_ERR_UNAVAILABLE;
	}
	if (!PL_INVARIANT(target->service == service->id,
			  "endpoint serves another service")) {
		*dropped = PL_COUNTER_DROP_MISMATCH;
		return PL_ERR_INTERNAL;
	}
	*forward = (pl_forward_t){
		.flow = { .caller = *caller,
			  .address = *address,
			  .service = service->id },
		.entry = entry->self,
		.revision = pl_routing_revision(routing),
		.pdu = pdu,
		.pdu_len = pdu_len,
	};
	*agent = target->agent;
	return PL_OK;
}

pl_result_t pl_entry_reply(pl_entry_t *entry, const pl_routing_t *routing,
			   const pl_reply_t *reply, pl_ms_t now)
{
	const pl_route_service_t *service =
		pl_routing_by_address(routing, &reply->flow.address);

	/*
	 * The address may have been assigned to another service since the
	 * caller sent its request. The answer must then not be sent from this
	 * address. An address that was removed has no service and passes.
	 */
	if (service && service->id != reply->flow.service)
		return PL_ERR_STATE;
	pl_load_update(entry->loads, reply->agent, reply->load_ms, now);
	return PL_OK;
}
