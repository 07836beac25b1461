/**
 * @file
 * Handling of upload blocks, and of messages for recorded requests.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

/** Diagnostic payload of a refusal. */
#define TEXT_NOT_RUN "not run"

/* Responds 2.31 with the continuation ticket for the next block. */
static void send_continue_(pl_agent_t *agent, const pl_request_t *request,
			   pl_exchange_t *exchange)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_writer_t writer;

	pl_serve_continuation_ticket(agent, request, echo);
	pl_exchange_write_start(exchange, &writer, buf, sizeof(buf),
				PL_COAP_CONTINUE);
	pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK1, &exchange->block1);
	pl_coap_write_option(&writer, PL_COAP_OPT_ECHO, echo, sizeof(echo));
	pl_exchange_send(exchange, &writer);
}

void pl_serve_attach(pl_agent_t *agent, pl_request_t *request,
		     pl_exchange_t *exchange)
{
	bool refused = request->state == PL_REQUEST_REFUSED;

	if (exchange->block1.present && exchange->block1.more && !refused) {
		send_continue_(agent, request, exchange);
		return;
	}
	if (!pl_request_ended(request)) {
		pl_request_wait(request, exchange);
		return;
	}
	pl_counter_add(PL_COUNTER_REPLAYED, 1);
	pl_run_respond(agent, request, exchange);
}

/* Adds a block; @p exchange gets a response now or waits for the request. */
static void add_block_(pl_agent_t *agent, pl_upload_t *upload,
		       const pl_coap_msg_t *msg, pl_exchange_t *exchange)
{
	pl_request_t *request = upload->request;
	size_t body_max = pl_agent_policy(agent)->upload_max_bytes;
	pl_block_verdict_t verdict;

	pl_answer_store_reclaim(agent->answers, msg->payload_len);
	verdict = pl_upload_add(agent->uploads, upload, msg, body_max);
	if (verdict == PL_BLOCK_MORE) {
		send_continue_(agent, request, exchange);
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

void pl_serve_upload(pl_agent_t *agent, pl_request_t *request,
		     const pl_coap_msg_t *msg, pl_exchange_t *exchange)
{
	pl_request_t *detached = pl_upload_start(agent->uploads, request, msg);

	/*
	 * The remaining blocks of the older upload cannot be distinguished
	 * from those of the new one.
	 */
	if (detached && detached->state == PL_REQUEST_GATHERING)
		pl_run_refuse(agent, detached, PL_COAP_INCOMPLETE,
			      PL_CAUSE_AGENT);
	pl_counter_add(PL_COUNTER_UPLOADS, 1);
	add_block_(agent, request->upload, msg, exchange);
}

/*
 * Serves a block that matches no upload of this agent, or that belongs to
 * another upload with the same key. All blocks may have reached an agent that
 * is gone, even if @p msg is not the last block, because @p msg may be a late
 * copy. The outcome is therefore unknown, unless the upload was refused here
 * and no other agent has it: then the request did not run.
 */
static void serve_unmatched_block_(pl_agent_t *agent,
				   const pl_forward_t *forward,
				   const pl_coap_msg_t *msg,
				   const pl_upload_t *upload)
{
	if (pl_agent_forward_next(agent, forward))
		return;
	if (upload && upload->request->state == PL_REQUEST_REFUSED &&
	    pl_agent_all_others_tried(agent, forward))
		pl_serve_respond(agent, forward, msg,
				 upload->request->refusal_code, TEXT_NOT_RUN);
	else
		pl_serve_unknown(agent, forward, msg);
}

static void handle_block_(pl_agent_t *agent, const pl_forward_t *forward,
			  const pl_coap_msg_t *msg, pl_request_t *request)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);

	if (!exchange)
		return;
	if (request->state == PL_REQUEST_GATHERING && request->upload)
		add_block_(agent, request->upload, msg, exchange);
	else
		pl_serve_attach(agent, request, exchange);
}

/*
 * Serves the block @p msg of the upload @p id, which its continuation ticket
 * identifies.
 */
static void serve_ticketed_block_(pl_agent_t *agent,
				  const pl_forward_t *forward,
				  const pl_coap_msg_t *msg, uint64_t id)
{
	pl_request_t *request =
		pl_request_by_id(agent->requests, id - agent->first_boot);

	if (!request || !request->ticketed ||
	    !pl_addr_equal(&request->flow.caller, &forward->flow.caller))
		pl_serve_unknown(agent, forward, msg);
	else
		handle_block_(agent, forward, msg, request);
}

/*
 * The continuation ticket from the previous response identifies the upload.
 * Without a ticket, the upload is looked up by caller, Request-Tag and path.
 */
void pl_serve_block(pl_agent_t *agent, const pl_forward_t *forward,
		    const pl_coap_msg_t *msg)
{
	uint64_t digest =
		pl_ticket_continuation_digest(msg->code, msg->path, msg->query);
	pl_upload_t *upload;
	pl_ticket_t ticket;

	switch (pl_serve_check_ticket(agent, forward, msg, digest, &ticket)) {
	case PL_TICKET_VALID:
	case PL_TICKET_EXPIRED:
	case PL_TICKET_FOREIGN_BOOT:
		serve_ticketed_block_(agent, forward, msg, ticket.nonce);
		return;
	case PL_TICKET_FOREIGN_AGENT:
		if (!pl_serve_forward_to_issuer(agent, forward, &ticket))
			pl_serve_unknown(agent, forward, msg);
		return;
	default:
		break;
	}
	upload = pl_upload_find(agent->uploads, &forward->flow.caller, msg);
	if (upload && pl_upload_accepts(upload, msg))
		handle_block_(agent, forward, msg, upload->request);
	else
		serve_unmatched_block_(agent, forward, msg, upload);
}
