/**
 * @file
 * Routing of callers' datagrams.
 */
#include <pimentolift/coap_msg.h>
#include <pimentolift/entry.h>
#include <pimentolift/event.h>
#include <pimentolift/placement.h>
#include <pimentolift/ticket.h>

#include <assert.h>
#include <glib.h>

/** The second choice must promise to be this much sooner. */
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

static size_t choose_first_(pl_entry_t *entry,
			    const pl_endpoint_t *const *ranked, size_t count,
			    pl_ms_t now)
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
	.choose = choose_first_,
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

/* Whether an agent may hold something that @p msg refers to. */
static bool belongs_to_home_(const pl_coap_msg_t *msg)
{
	return !pl_coap_is_request(msg->code) || msg->has_observe ||
	       msg->block1.present || msg->block2.num > 0;
}

/* Issuer of the ticket in @p msg, when it is an endpoint of @p service. */
static const pl_endpoint_t *issuer_(const pl_routing_t *routing,
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

static const pl_endpoint_t *target_(pl_entry_t *entry,
				    const pl_routing_t *routing,
				    const pl_route_service_t *service,
				    const pl_addr_t *caller,
				    const pl_coap_msg_t *msg, pl_ms_t now)
{
	const pl_endpoint_t *ranked[PL_ENTRY_CHOICES];
	const pl_endpoint_t *issuer = issuer_(routing, service, msg);
	bool fixed = belongs_to_home_(msg);
	size_t count;
	size_t index;

	if (issuer)
		return issuer;
	count = pl_placement_rank(service, caller, PL_RANK_SERVING, 0, ranked,
				  fixed ? 1 : entry->policy->choices);
	if (count == 0)
		/* nobody takes new work; a draining endpoint may know the
		 * flow and refuses what is new */
		return pl_placement_rank(service, caller, PL_RANK_REACHABLE, 0,
					 ranked, 1) == 0 ?
			       NULL :
			       ranked[0];
	if (fixed)
		return ranked[0];
	index = entry->policy->choose(entry, ranked, count, now);
	assert(index < count);
	pl_load_sent(entry->loads, ranked[index]->agent);
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
	target = target_(entry, routing, service, caller, &msg, now);
	if (!target) {
		*dropped = PL_COUNTER_DROP_NO_ENDPOINT;
		return PL_ERR_UNAVAILABLE;
	}
	if (!PL_INVARIANT(target->service == service->id,
			  "endpoint of another service")) {
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

	/* The address may have been given to another service, or taken away,
	 * since the caller sent: then the answer must not leave from it. */
	if (service && service->id != reply->flow.service)
		return PL_ERR_STATE;
	pl_load_heard(entry->loads, reply->agent, reply->load, now);
	return PL_OK;
}
