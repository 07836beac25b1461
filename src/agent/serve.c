/**
 * @file
 * What a request from a caller leads to: run it, answer it from what is
 * kept, ask for a ticket, or pass it on.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

/** Time in which every member hears of a new one, clocks' error included. */
#define NEWCOMER_S 10
/** Diagnostic payloads of refusals. */
#define TEXT_BUSY "busy"
#define TEXT_TOO_LARGE "too large"
#define TEXT_CANCELLED "cancelled"

/* Class of the work that @p msg asks for. */
static pl_work_class_t work_of_(const pl_agent_t *agent,
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
			    pl_run_max_age_s(agent, work_of_(agent, msg)),
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

static bool wants_rest_(const pl_coap_msg_t *msg)
{
	return msg->block2.present && msg->block2.num > 0 &&
	       !msg->block1.present;
}

static void next_ticket_(pl_agent_t *agent, uint64_t id, const pl_flow_t *flow,
			 uint64_t digest, uint8_t echo[PL_TICKET_BYTES])
{
	pl_ticket_t ticket = {
		.agent = agent->params.self,
		.boot = agent->params.boot,
		.nonce = id,
		.issued_s = pl_agent_now_s(agent),
	};

	pl_ticket_issue(&agent->params.ticket_key, &ticket, flow, digest, echo);
}

void pl_serve_rest_ticket(pl_agent_t *agent, const pl_request_t *request,
			  uint8_t echo[PL_TICKET_BYTES])
{
	uint64_t digest = pl_ticket_rest_digest(request->method, request->path,
						request->query);

	next_ticket_(agent, agent->birth + request->id, &request->flow, digest,
		     echo);
}

pl_ticket_verdict_t pl_serve_check(const pl_agent_t *agent,
				   const pl_forward_t *forward,
				   const pl_coap_msg_t *msg, uint64_t digest,
				   pl_ticket_t *ticket)
{
	pl_ticket_t own = {
		.agent = agent->params.self,
		.boot = agent->params.boot,
		.issued_s = pl_agent_now_s(agent),
	};

	return pl_ticket_check(&agent->params.ticket_key, &own, &forward->flow,
			       digest, msg->echo, msg->echo_len, ticket);
}

/* Whether @p ticket is young enough to come from an agent that has joined and
 * is not known here yet. Its code was checked, so its address is right. */
static bool may_be_newcomers_(const pl_agent_t *agent,
			      const pl_ticket_t *ticket)
{
	uint32_t now_s = pl_agent_now_s(agent);
	uint32_t age_s = now_s > ticket->issued_s ? now_s - ticket->issued_s :
						    ticket->issued_s - now_s;

	return age_s <= NEWCOMER_S;
}

bool pl_serve_forward_to_issuer(pl_agent_t *agent, const pl_forward_t *forward,
				const pl_ticket_t *ticket)
{
	const pl_endpoint_t *issuer = NULL;

	if (agent->routing)
		issuer = pl_routing_endpoint(agent->routing, ticket->agent);
	if (!issuer && !may_be_newcomers_(agent, ticket))
		return false;
	/* after a pause the issuer has another boot and still knows */
	if (issuer && issuer->service != forward->flow.service)
		return false;
	return pl_agent_forward_to(agent, forward, ticket->agent);
}

/* Sends one more block of a kept answer. */
static void send_rest_(pl_agent_t *agent, const pl_forward_t *forward,
		       const pl_coap_msg_t *msg, pl_answer_t *answer,
		       uint64_t id)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);
	uint8_t echo[PL_TICKET_BYTES];

	next_ticket_(agent, id, &forward->flow,
		     pl_ticket_rest_digest(msg->code, msg->path, msg->query),
		     echo);
	if (exchange)
		pl_answer_respond(answer, exchange, echo);
	pl_ref_put(&answer->ref);
}

/*
 * Serves a follow-up block. The ticket that came with the block before it
 * names the answer; without one, the caller and the path have to do.
 */
static bool serve_rest_(pl_agent_t *agent, const pl_forward_t *forward,
			const pl_coap_msg_t *msg)
{
	uint64_t digest =
		pl_ticket_rest_digest(msg->code, msg->path, msg->query);
	pl_answer_t *answer = NULL;
	pl_ticket_t ticket;

	switch (pl_serve_check(agent, forward, msg, digest, &ticket)) {
	case PL_TICKET_VALID:
	case PL_TICKET_EXPIRED:
	case PL_TICKET_FOREIGN_BOOT:
		answer = pl_answer_store_take_id(agent->answers, ticket.nonce,
						 msg);
		break;
	case PL_TICKET_FOREIGN_AGENT:
		return pl_serve_forward_to_issuer(agent, forward, &ticket);
	default:
		answer = pl_answer_store_take(agent->answers,
					      &forward->flow.caller, msg,
					      &ticket.nonce);
		if (!answer && pl_view_block(agent->views, forward, msg) ==
				       PL_VIEW_HANDLED)
			return true;
		if (!answer)
			return pl_agent_forward_next(agent, forward);
	}
	if (!answer)
		return false;
	send_rest_(agent, forward, msg, answer, ticket.nonce);
	return true;
}

/* Whether no new work may start, not even under a ticket from here. */
static bool closed_(const pl_agent_t *agent)
{
	pl_ms_t now = pl_timer_service_now(agent->timers);

	return !agent->present ||
	       (agent->draining && now > agent->drain_at + PL_DRAIN_TICKET_MS);
}

/* Whether the agent holds as many bytes of bodies as it may. */
static bool memory_short_(pl_agent_t *agent)
{
	return !pl_answer_store_reclaim(agent->answers, 1);
}

/* Whether new work of this kind would be refused. */
static bool overloaded_(pl_agent_t *agent, const pl_coap_msg_t *msg)
{
	pl_request_t probe = { 0 };

	probe.work = work_of_(agent, msg);
	return !pl_scheduler_admit(
		&agent->scheduler, &probe,
		pl_scheduler_deadline_ms(pl_agent_policy(agent), probe.work));
}

static void run_get_(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg)
{
	pl_request_t *request;
	pl_exchange_t *exchange;

	if (closed_(agent) || memory_short_(agent) || overloaded_(agent, msg)) {
		if (!pl_agent_forward_other(agent, forward))
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
	if (pl_exchange_duplicate(agent->exchanges, forward, msg))
		return;
	if (wants_rest_(msg)) {
		if (serve_rest_(agent, forward, msg))
			return;
	} else if (pl_agent_leaves_work(agent) &&
		   pl_agent_forward_home(agent, forward)) {
		return;
	}
	run_get_(agent, forward, msg);
}

/* 4.01 with the ticket that the request has to carry. */
static void challenge_(pl_agent_t *agent, const pl_forward_t *forward,
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
	/* a late copy of the first datagram must not get a fresher ticket */
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

static bool too_large_(pl_agent_t *agent, const pl_coap_msg_t *msg)
{
	return msg->size1 > pl_agent_policy(agent)->upload_max_bytes;
}

/*
 * A request without a ticket is not run. Nor is it refused for lack of room:
 * a copy of the datagram may have got a ticket of another agent and run
 * there, so "not run" is said only to the holder of a ticket from here.
 */
static void serve_ticketless_(pl_agent_t *agent, const pl_forward_t *forward,
			      const pl_coap_msg_t *msg)
{
	if (too_large_(agent, msg)) {
		pl_serve_respond(agent, forward, msg, PL_COAP_TOO_LARGE,
				 TEXT_TOO_LARGE);
		return;
	}
	if (pl_agent_leaves_work(agent) &&
	    pl_agent_forward_home(agent, forward))
		return;
	if (overloaded_(agent, msg) && pl_agent_forward_other(agent, forward))
		return;
	challenge_(agent, forward, msg);
}

/* Runs a request under a ticket that was not used before. */
static void run_ticketed_(pl_agent_t *agent, const pl_forward_t *forward,
			  const pl_coap_msg_t *msg, const pl_ticket_t *ticket,
			  pl_exchange_t *exchange)
{
	pl_request_t *request = NULL;

	if (pl_request_make_room(agent->requests, pl_agent_now_s(agent)))
		request = pl_request_new(agent->requests, &forward->flow, msg,
					 ticket);
	if (!request) {
		/* no record, so no copy of this datagram may run either */
		agent->revoked_s = pl_agent_now_s(agent);
		pl_counter_add(PL_COUNTER_REFUSED, 1);
		pl_exchange_respond(exchange, PL_COAP_UNAVAILABLE,
				    pl_run_max_age_s(agent, PL_WORK_SHORT),
				    TEXT_BUSY);
		return;
	}
	if (memory_short_(agent) || closed_(agent) ||
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

static void serve_ticketed_(pl_agent_t *agent, const pl_forward_t *forward,
			    const pl_coap_msg_t *msg, const pl_ticket_t *ticket)
{
	pl_request_t *request = pl_request_by_ticket(agent->requests, ticket);
	pl_exchange_t *exchange;

	if (!request && ticket->issued_s <= agent->revoked_s) {
		serve_ticketless_(agent, forward, msg);
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
 * A ticket of this life that is too old. While a record would still be here,
 * its absence proves that the request did not run, and it never will.
 */
static void serve_expired_(pl_agent_t *agent, const pl_forward_t *forward,
			   const pl_coap_msg_t *msg, const pl_ticket_t *ticket)
{
	pl_counter_add(PL_COUNTER_TICKETS_REFUSED, 1);
	if (pl_request_by_ticket(agent->requests, ticket))
		serve_ticketed_(agent, forward, msg, ticket);
	else if (pl_request_is_unused(agent->requests, ticket->issued_s,
				      pl_agent_now_s(agent)))
		serve_ticketless_(agent, forward, msg);
	else
		pl_serve_unknown(agent, forward, msg);
}

/* A ticket of another agent: only that one knows whether it was used. */
static void serve_foreign_(pl_agent_t *agent, const pl_forward_t *forward,
			   const pl_coap_msg_t *msg, const pl_ticket_t *ticket)
{
	if (!pl_serve_forward_to_issuer(agent, forward, ticket))
		pl_serve_unknown(agent, forward, msg);
}

static void serve_by_ticket_(pl_agent_t *agent, const pl_forward_t *forward,
			     const pl_coap_msg_t *msg)
{
	pl_ticket_t ticket;

	switch (pl_serve_check(agent, forward, msg, pl_ticket_digest(msg),
			       &ticket)) {
	case PL_TICKET_VALID:
		serve_ticketed_(agent, forward, msg, &ticket);
		break;
	case PL_TICKET_EXPIRED:
		serve_expired_(agent, forward, msg, &ticket);
		break;
	case PL_TICKET_FOREIGN_BOOT:
		pl_counter_add(PL_COUNTER_TICKETS_REFUSED, 1);
		if (pl_request_by_ticket(agent->requests, &ticket))
			serve_ticketed_(agent, forward, msg, &ticket);
		else
			pl_serve_unknown(agent, forward, msg);
		break;
	case PL_TICKET_FOREIGN_AGENT:
		serve_foreign_(agent, forward, msg, &ticket);
		break;
	default:
		pl_counter_add(PL_COUNTER_TICKETS_REFUSED, 1);
		serve_ticketless_(agent, forward, msg);
		break;
	}
}

void pl_serve_unsafe(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg)
{
	if (pl_exchange_duplicate(agent->exchanges, forward, msg))
		return;
	if (wants_rest_(msg)) {
		if (!serve_rest_(agent, forward, msg))
			pl_serve_unknown(agent, forward, msg);
		return;
	}
	if (msg->block1.present && msg->block1.num > 0)
		pl_serve_block(agent, forward, msg);
	else if (msg->echo_len > 0)
		serve_by_ticket_(agent, forward, msg);
	else
		serve_ticketless_(agent, forward, msg);
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
