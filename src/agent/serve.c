/**
 * @file
 * What a request from a caller leads to: run it, answer it from what is
 * kept, ask for a ticket, or pass it on.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

/** Diagnostic payloads of refusals. */
#define TEXT_BUSY "busy"
#define TEXT_TOO_LARGE "too large"
#define TEXT_NOT_RUN "not run"
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

static void respond_code_(pl_agent_t *agent, const pl_forward_t *forward,
			  const pl_coap_msg_t *msg, uint8_t code,
			  const char *text)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);

	if (exchange)
		pl_exchange_respond(exchange, code, -1, text);
}

static void answer_unknown_(pl_agent_t *agent, const pl_forward_t *forward,
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

/* Serves a follow-up block from a kept answer. */
static bool serve_kept_(pl_agent_t *agent, const pl_forward_t *forward,
			const pl_coap_msg_t *msg)
{
	pl_answer_t *answer = pl_answer_store_take(agent->answers,
						   &forward->flow.caller, msg);
	pl_exchange_t *exchange;

	if (!answer)
		return false;
	exchange = pl_exchange_open(agent->exchanges, forward, msg);
	if (exchange)
		pl_answer_respond(answer, exchange);
	pl_ref_put(&answer->ref);
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
		if (serve_kept_(agent, forward, msg) ||
		    pl_view_block(agent->views, forward, msg) ==
			    PL_VIEW_HANDLED ||
		    (forward->hops == 0 &&
		     pl_agent_forward_next(agent, forward)))
			return;
	} else if (agent->draining && pl_agent_forward_home(agent, forward)) {
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
	agent->ticket_at = pl_timer_service_now(agent->timers);
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
		respond_code_(agent, forward, msg, PL_COAP_TOO_LARGE,
			      TEXT_TOO_LARGE);
		return;
	}
	if ((agent->draining || !agent->present) &&
	    pl_agent_forward_home(agent, forward))
		return;
	if (overloaded_(agent, msg) && pl_agent_forward_other(agent, forward))
		return;
	challenge_(agent, forward, msg);
}

/* A message for a request that is known here. */
static void attach_(pl_agent_t *agent, pl_request_t *request,
		    pl_exchange_t *exchange)
{
	bool refused = request->state == PL_REQUEST_REFUSED;

	if (exchange->block1.present && exchange->block1.more && !refused) {
		pl_exchange_respond(exchange, PL_COAP_CONTINUE, -1, NULL);
		return;
	}
	if (!pl_request_ended(request)) {
		pl_request_wait(request, exchange);
		return;
	}
	pl_counter_add(PL_COUNTER_REPLAYED, 1);
	pl_run_respond(agent, request, exchange);
}

/* Takes in a block; @p exchange is answered or waits afterwards. */
static void add_block_(pl_agent_t *agent, pl_upload_t *upload,
		       const pl_coap_msg_t *msg, pl_exchange_t *exchange)
{
	pl_request_t *request = upload->request;
	size_t body_max = pl_agent_policy(agent)->upload_max_bytes;
	pl_block_verdict_t verdict;

	pl_answer_store_reclaim(agent->answers, msg->payload_len);
	verdict = pl_upload_add(agent->uploads, upload, msg, body_max);
	if (verdict == PL_BLOCK_MORE) {
		pl_exchange_respond(exchange, PL_COAP_CONTINUE, -1, NULL);
		return;
	}
	pl_request_wait(request, exchange);
	switch (verdict) {
	case PL_BLOCK_COMPLETE:
		pl_run_submit(agent, request);
		break;
	case PL_BLOCK_TOO_LARGE:
		pl_run_refuse(agent, request, PL_COAP_TOO_LARGE,
			      PL_CAUSE_AGENT);
		break;
	case PL_BLOCK_NO_MEMORY:
		pl_run_refuse(agent, request, PL_COAP_UNAVAILABLE,
			      PL_CAUSE_AGENT);
		break;
	default:
		pl_run_refuse(agent, request, PL_COAP_INCOMPLETE,
			      PL_CAUSE_AGENT);
		break;
	}
}

static void start_upload_(pl_agent_t *agent, pl_request_t *request,
			  const pl_coap_msg_t *msg, pl_exchange_t *exchange)
{
	pl_request_t *detached = pl_upload_start(agent->uploads, request, msg);

	/* its remaining blocks cannot be told from the new ones */
	if (detached && detached->state == PL_REQUEST_GATHERING)
		pl_run_refuse(agent, detached, PL_COAP_INCOMPLETE,
			      PL_CAUSE_AGENT);
	pl_counter_add(PL_COUNTER_UPLOADS, 1);
	add_block_(agent, request->upload, msg, exchange);
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
		start_upload_(agent, request, msg, exchange);
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
		attach_(agent, request, exchange);
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
		answer_unknown_(agent, forward, msg);
}

/* A ticket of another agent: only that one knows whether it was used. */
static void serve_foreign_(pl_agent_t *agent, const pl_forward_t *forward,
			   const pl_coap_msg_t *msg, const pl_ticket_t *ticket)
{
	const pl_endpoint_t *issuer = NULL;

	if (agent->routing)
		issuer = pl_routing_endpoint(agent->routing, ticket->agent);
	if (issuer && issuer->boot == ticket->boot &&
	    issuer->service == forward->flow.service &&
	    pl_agent_forward_to(agent, forward, ticket->agent))
		return;
	answer_unknown_(agent, forward, msg);
}

/*
 * A block of an upload that is not here, or of another one with its key. The
 * last block may have reached an agent that is gone, even when this one is
 * an earlier block that comes late, so the outcome is unknown; but an upload
 * that was refused here and that nobody else has did not run.
 */
static void serve_stray_block_(pl_agent_t *agent, const pl_forward_t *forward,
			       const pl_coap_msg_t *msg,
			       const pl_upload_t *upload)
{
	if (pl_agent_forward_next(agent, forward))
		return;
	if (upload && upload->request->state == PL_REQUEST_REFUSED &&
	    pl_agent_was_last(agent, forward))
		respond_code_(agent, forward, msg,
			      upload->request->refusal_code, TEXT_NOT_RUN);
	else
		answer_unknown_(agent, forward, msg);
}

/* A block after the first: known by its upload, not by a ticket. */
static void serve_block_(pl_agent_t *agent, const pl_forward_t *forward,
			 const pl_coap_msg_t *msg)
{
	pl_upload_t *upload =
		pl_upload_find(agent->uploads, &forward->flow.caller, msg);
	pl_exchange_t *exchange;

	if (!upload || !pl_upload_takes(upload, msg)) {
		serve_stray_block_(agent, forward, msg, upload);
		return;
	}
	exchange = pl_exchange_open(agent->exchanges, forward, msg);
	if (!exchange)
		return;
	if (upload->request->state == PL_REQUEST_GATHERING)
		add_block_(agent, upload, msg, exchange);
	else
		attach_(agent, upload->request, exchange);
}

static void serve_by_ticket_(pl_agent_t *agent, const pl_forward_t *forward,
			     const pl_coap_msg_t *msg)
{
	pl_ticket_t ticket;
	pl_ticket_t own = {
		.agent = agent->params.self,
		.boot = agent->params.boot,
		.issued_s = pl_agent_now_s(agent),
	};

	switch (pl_ticket_check(&agent->params.ticket_key, &own, &forward->flow,
				pl_ticket_digest(msg), msg->echo, msg->echo_len,
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
			answer_unknown_(agent, forward, msg);
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
		if (!serve_kept_(agent, forward, msg) &&
		    !pl_agent_forward_next(agent, forward))
			answer_unknown_(agent, forward, msg);
		return;
	}
	if (msg->block1.present && msg->block1.num > 0)
		serve_block_(agent, forward, msg);
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
