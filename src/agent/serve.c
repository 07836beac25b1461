/**
 * @file
 * Handling of requests from callers: run a request, answer it from recorded
 * state, demand a ticket, or forward it.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

/**
 * Maximum time until all members know of a new member, including the clock
 * difference between members, in seconds.
 */
#define JOIN_PROPAGATION_S 10
/** Diagnostic payloads of refusals. */
#define TEXT_BUSY "busy"
#define TEXT_TOO_LARGE "too large"
#define TEXT_CANCELLED "cancelled"

/* Scheduler class of the request @p msg. */
static pl_work_class_t work_class_(const pl_agent_t *agent,
				   const pl_coap_msg_t *msg)
{
	size_t body_len = msg->payload_len;

	if (msg->size1 > 0)
		body_len = (size_t)msg->size1;
	return pl_scheduler_classify(&agent->scheduler, msg->code, msg->path,
				     body_len);
}

static void respond_busy_(pl_agent_t *agent, const pl_forward_t *forward,
			  const pl_coap_msg_t *msg)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);

	if (!exchange)
		return;
	pl_counter_add(PL_COUNTER_REFUSED, 1);
	pl_exchange_respond(exchange, PL_COAP_UNAVAILABLE,
			    pl_run_max_age_s(agent, work_class_(agent, msg)),
			    TEXT_BUSY);
}

void pl_serve_respond(pl_agent_t *agent, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg, uint8_t code, const char *text)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);

	if (exchange)
		pl_exchange_respond(exchange, code, -1, text);
}

void pl_serve_unknown(pl_agent_t *agent, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);

	if (exchange)
		pl_respond_unknown(exchange);
}

static bool is_followup_block_(const pl_coap_msg_t *msg)
{
	return msg->block2.present && msg->block2.num > 0 &&
	       !msg->block1.present;
}

static void issue_continuation_ticket_(pl_agent_t *agent, uint64_t id,
				       const pl_flow_t *flow, uint64_t digest,
				       uint8_t echo[PL_TICKET_BYTES])
{
	pl_ticket_t ticket = {
		.agent = agent->params.self,
		.boot = agent->params.boot,
		.nonce = id,
		.issued_s = pl_agent_now_s(agent),
	};

	pl_ticket_issue(&agent->params.ticket_key, &ticket, flow, digest, echo);
}

void pl_serve_continuation_ticket(pl_agent_t *agent,
				  const pl_request_t *request,
				  uint8_t echo[PL_TICKET_BYTES])
{
	uint64_t digest = pl_ticket_continuation_digest(
		request->method, request->path, request->query);

	issue_continuation_ticket_(agent, agent->first_boot + request->id,
				   &request->flow, digest, echo);
}

pl_ticket_verdict_t pl_serve_check_ticket(const pl_agent_t *agent,
					  const pl_forward_t *forward,
					  const pl_coap_msg_t *msg,
					  uint64_t digest, pl_ticket_t *ticket)
{
	pl_ticket_t own = {
		.agent = agent->params.self,
		.boot = agent->params.boot,
		.issued_s = pl_agent_now_s(agent),
	};

	return pl_ticket_check(&agent->params.ticket_key, &own, &forward->flow,
			       digest, msg->echo, msg->echo_len, ticket);
}

/*
 * Returns true when @p ticket is recent enough for its issuer to be an agent
 * that has just joined and is not known here yet. The MAC of the ticket was
 * checked, so the address of the issuer in it is correct.
 */
static bool issuer_may_be_new_(const pl_agent_t *agent,
			       const pl_ticket_t *ticket)
{
	uint32_t now_s = pl_agent_now_s(agent);
	uint32_t age_s = now_s > ticket->issued_s ? now_s - ticket->issued_s :
						    ticket->issued_s - now_s;

	return age_s <= JOIN_PROPAGATION_S;
}

bool pl_serve_forward_to_issuer(pl_agent_t *agent, const pl_forward_t *forward,
				const pl_ticket_t *ticket)
{
	const pl_endpoint_t *issuer = NULL;

	if (agent->routing)
		issuer = pl_routing_endpoint(agent->routing, ticket->agent);
	if (!issuer && !issuer_may_be_new_(agent, ticket))
		return false;
	/*
	 * The boot ID is not compared: after a pause the issuer has a new
	 * boot ID and still has its request records.
	 */
	if (issuer && issuer->service != forward->flow.service)
		return false;
	return pl_agent_forward_to(agent, forward, ticket->agent);
}

/* Sends a follow-up block of a stored answer. */
static void send_followup_block_(pl_agent_t *agent, const pl_forward_t *forward,
				 const pl_coap_msg_t *msg, pl_answer_t *answer,
				 uint64_t id)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);
	uint8_t echo[PL_TICKET_BYTES];

	issue_continuation_ticket_(
		agent, id, &forward->flow,
		pl_ticket_continuation_digest(msg->code, msg->path, msg->query),
		echo);
	if (exchange)
		pl_answer_respond(answer, exchange, echo);
	pl_ref_put(&answer->ref);
}

/*
 * Serves a request for a follow-up block. The continuation ticket of the
 * previous block identifies the answer. Without a ticket, the answer is looked
 * up by caller, method, path and query.
 */
static bool serve_followup_block_(pl_agent_t *agent,
				  const pl_forward_t *forward,
				  const pl_coap_msg_t *msg)
{
	uint64_t digest =
		pl_ticket_continuation_digest(msg->code, msg->path, msg->query);
	pl_answer_t *answer = NULL;
	pl_ticket_t ticket;

	switch (pl_serve_check_ticket(agent, forward, msg, digest, &ticket)) {
	case PL_TICKET_VALID:
	case PL_TICKET_EXPIRED:
	case PL_TICKET_FOREIGN_BOOT:
		answer = pl_answer_store_lookup_id(agent->answers, ticket.nonce,
						   msg);
		break;
	case PL_TICKET_FOREIGN_AGENT:
		return pl_serve_forward_to_issuer(agent, forward, &ticket);
	default:
		answer = pl_answer_store_lookup(agent->answers,
						&forward->flow.caller, msg,
						&ticket.nonce);
		if (!answer && pl_view_serve_block(agent->views, forward,
						   msg) == PL_VIEW_HANDLED)
			return true;
		if (!answer)
			return pl_agent_forward_next(agent, forward);
	}
	if (!answer)
		return false;
	send_followup_block_(agent, forward, msg, answer, ticket.nonce);
	return true;
}

/*
 * Returns true when no new work may start here, not even with a ticket of this
 * agent.
 */
static bool refuses_new_work_(const pl_agent_t *agent)
{
	pl_ms_t now = pl_timer_service_now(agent->timers);

	return !agent->backend_present ||
	       (agent->draining &&
		now > agent->drain_started_at + PL_DRAIN_TICKET_MS);
}

/* Returns true when the memory for bodies is used up and none can be freed. */
static bool memory_exhausted_(pl_agent_t *agent)
{
	return !pl_answer_store_reclaim(agent->answers, 1);
}

/* Returns true when the scheduler would refuse the request @p msg. */
static bool overloaded_(pl_agent_t *agent, const pl_coap_msg_t *msg)
{
	pl_request_t probe = { 0 };

	probe.work = work_class_(agent, msg);
	return !pl_scheduler_admit(
		&agent->scheduler, &probe,
		pl_scheduler_deadline_ms(pl_agent_policy(agent), probe.work));
}

static void run_get_(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg)
{
	pl_request_t *request;
	pl_exchange_t *exchange;

	if (refuses_new_work_(agent) || memory_exhausted_(agent) ||
	    overloaded_(agent, msg)) {
		if (!pl_agent_forward_alternate(agent, forward))
			respond_busy_(agent, forward, msg);
		return;
	}
	exchange = pl_exchange_open(agent->exchanges, forward, msg);
	if (!exchange)
		return;
	request = pl_request_new(agent->requests, &forward->flow, msg, NULL);
	if (!request) {
		pl_exchange_respond(exchange, PL_COAP_UNAVAILABLE,
				    pl_run_max_age_s(agent, PL_WORK_SHORT),
				    TEXT_BUSY);
		return;
	}
	pl_request_wait(request, exchange);
	pl_run_submit(agent, request);
}

void pl_serve_get(pl_agent_t *agent, const pl_forward_t *forward,
		  const pl_coap_msg_t *msg)
{
	if (pl_exchange_serve_duplicate(agent->exchanges, forward, msg))
		return;
	if (is_followup_block_(msg)) {
		if (serve_followup_block_(agent, forward, msg))
			return;
	} else if (pl_agent_diverts_new_work(agent) &&
		   pl_agent_forward_home(agent, forward)) {
		return;
	}
	run_get_(agent, forward, msg);
}

/* Responds 4.01 with the ticket that the caller must send with the request. */
static void send_ticket_challenge_(pl_agent_t *agent,
				   const pl_forward_t *forward,
				   const pl_coap_msg_t *msg)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_writer_t writer;
	pl_ticket_t ticket = {
		.agent = agent->params.self,
		.boot = agent->params.boot,
		.nonce = pl_ticket_nonce(&agent->params.ticket_key,
					 &forward->flow, agent->params.boot,
					 msg),
		.issued_s = pl_agent_now_s(agent),
	};
	const pl_request_t *known =
		pl_request_by_ticket(agent->requests, &ticket);
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);

	if (!exchange)
		return;
	/*
	 * A late copy of the first datagram must not get a ticket with a
	 * later time of issue.
	 */
	if (known)
		ticket.issued_s = known->ticket.issued_s;
	pl_ticket_issue(&agent->params.ticket_key, &ticket, &forward->flow,
			pl_ticket_digest(msg), echo);
	pl_counter_add(PL_COUNTER_TICKETS_ISSUED, 1);
	pl_exchange_write_start(exchange, &writer, buf, sizeof(buf),
				PL_COAP_UNAUTHORIZED);
	pl_coap_write_option(&writer, PL_COAP_OPT_ECHO, echo, sizeof(echo));
	pl_exchange_send(exchange, &writer);
}

static bool body_too_large_(pl_agent_t *agent, const pl_coap_msg_t *msg)
{
	return msg->size1 > pl_agent_policy(agent)->upload_max_bytes;
}

/*
 * A request without a ticket is not run. It is not refused under overload
 * either: a copy of the datagram may have got a ticket from another agent and
 * have run there, so this agent responds "not run" only to requests with a
 * ticket of its own.
 */
static void serve_without_ticket_(pl_agent_t *agent,
				  const pl_forward_t *forward,
				  const pl_coap_msg_t *msg)
{
	if (body_too_large_(agent, msg)) {
		pl_serve_respond(agent, forward, msg, PL_COAP_TOO_LARGE,
				 TEXT_TOO_LARGE);
		return;
	}
	if (pl_agent_diverts_new_work(agent) &&
	    pl_agent_forward_home(agent, forward))
		return;
	if (overloaded_(agent, msg) &&
	    pl_agent_forward_alternate(agent, forward))
		return;
	send_ticket_challenge_(agent, forward, msg);
}

/* Runs a request whose ticket was not used before. */
static void run_ticketed_(pl_agent_t *agent, const pl_forward_t *forward,
			  const pl_coap_msg_t *msg, const pl_ticket_t *ticket,
			  pl_exchange_t *exchange)
{
	pl_request_t *request = NULL;

	if (pl_request_make_room(agent->requests, pl_agent_now_s(agent)))
		request = pl_request_new(agent->requests, &forward->flow, msg,
					 ticket);
	if (!request) {
		/*
		 * The refusal is not recorded, so all unused tickets are
		 * revoked to keep a copy of this datagram from running later.
		 */
		agent->revoked_until_s = pl_agent_now_s(agent);
		pl_counter_add(PL_COUNTER_REFUSED, 1);
		pl_exchange_respond(exchange, PL_COAP_UNAVAILABLE,
				    pl_run_max_age_s(agent, PL_WORK_SHORT),
				    TEXT_BUSY);
		return;
	}
	if (memory_exhausted_(agent) || refuses_new_work_(agent) ||
	    (msg->block1.present && !pl_upload_has_room(agent->uploads))) {
		pl_request_wait(request, exchange);
		pl_run_refuse(agent, request, PL_COAP_UNAVAILABLE,
			      PL_CAUSE_AGENT);
		return;
	}
	if (msg->block1.present) {
		pl_serve_upload(agent, request, msg, exchange);
		return;
	}
	if (msg->payload_len > 0)
		g_byte_array_append(request->body, msg->payload,
				    (guint)msg->payload_len);
	request->budget->used += msg->payload_len;
	pl_request_wait(request, exchange);
	pl_run_submit(agent, request);
}

static void serve_with_ticket_(pl_agent_t *agent, const pl_forward_t *forward,
			       const pl_coap_msg_t *msg,
			       const pl_ticket_t *ticket)
{
	pl_request_t *request = pl_request_by_ticket(agent->requests, ticket);
	pl_exchange_t *exchange;

	if (!request && ticket->issued_s <= agent->revoked_until_s) {
		serve_without_ticket_(agent, forward, msg);
		return;
	}
	exchange = pl_exchange_open(agent->exchanges, forward, msg);
	if (!exchange)
		return;
	if (request)
		pl_serve_attach(agent, request, exchange);
	else
		run_ticketed_(agent, forward, msg, ticket, exchange);
}

/*
 * Serves a request with an expired ticket of this boot ID. Within the
 * retention time of records, a missing record proves that the request did not
 * run, and the expired ticket ensures that it never will.
 */
static void serve_expired_ticket_(pl_agent_t *agent,
				  const pl_forward_t *forward,
				  const pl_coap_msg_t *msg,
				  const pl_ticket_t *ticket)
{
	pl_counter_add(PL_COUNTER_TICKETS_REFUSED, 1);
	if (pl_request_by_ticket(agent->requests, ticket))
		serve_with_ticket_(agent, forward, msg, ticket);
	else if (pl_request_ticket_unused(agent->requests, ticket->issued_s,
					  pl_agent_now_s(agent)))
		serve_without_ticket_(agent, forward, msg);
	else
		pl_serve_unknown(agent, forward, msg);
}

/* Only the issuer of a ticket knows whether the ticket was used. */
static void serve_foreign_ticket_(pl_agent_t *agent,
				  const pl_forward_t *forward,
				  const pl_coap_msg_t *msg,
				  const pl_ticket_t *ticket)
{
	if (!pl_serve_forward_to_issuer(agent, forward, ticket))
		pl_serve_unknown(agent, forward, msg);
}

static void serve_by_ticket_(pl_agent_t *agent, const pl_forward_t *forward,
			     const pl_coap_msg_t *msg)
{
	pl_ticket_t ticket;

	switch (pl_serve_check_ticket(agent, forward, msg,
				      pl_ticket_digest(msg), &ticket)) {
	case PL_TICKET_VALID:
		serve_with_ticket_(agent, forward, msg, &ticket);
		break;
	case PL_TICKET_EXPIRED:
		serve_expired_ticket_(agent, forward, msg, &ticket);
		break;
	case PL_TICKET_FOREIGN_BOOT:
		pl_counter_add(PL_COUNTER_TICKETS_REFUSED, 1);
		if (pl_request_by_ticket(agent->requests, &ticket))
			serve_with_ticket_(agent, forward, msg, &ticket);
		else
			pl_serve_unknown(agent, forward, msg);
		break;
	case PL_TICKET_FOREIGN_AGENT:
		serve_foreign_ticket_(agent, forward, msg, &ticket);
		break;
	default:
		pl_counter_add(PL_COUNTER_TICKETS_REFUSED, 1);
		serve_without_ticket_(agent, forward, msg);
		break;
	}
}

void pl_serve_unsafe(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg)
{
	if (pl_exchange_serve_duplicate(agent->exchanges, forward, msg))
		return;
	if (is_followup_block_(msg)) {
		if (!serve_followup_block_(agent, forward, msg))
			pl_serve_unknown(agent, forward, msg);
		return;
	}
	if (msg->block1.present && msg->block1.num > 0)
		pl_serve_block(agent, forward, msg);
	else if (msg->echo_len > 0)
		serve_by_ticket_(agent, forward, msg);
	else
		serve_without_ticket_(agent, forward, msg);
}

void pl_serve_cancel(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg, pl_request_t *request)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);

	pl_run_cancel(agent, request);
	if (exchange)
		pl_exchange_respond(exchange, PL_COAP_UNAVAILABLE, 0,
				    TEXT_CANCELLED);
}
