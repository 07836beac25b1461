/**
 * @file
 * Blocks of uploads, and messages for requests that are known here.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

/** Diagnostic payload of a refusal. */
#define TEXT_NOT_RUN "not run"

/* 2.31 with the ticket that names the upload to the next block. */
static void continue_(pl_agent_t *agent, const pl_request_t *request,
		      pl_exchange_t *exchange)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_writer_t writer;

	pl_serve_rest_ticket(agent, request, echo);
	pl_exchange_write_start(exchange, &writer, buf, sizeof(buf),
				PL_COAP_CONTINUE);
	pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK1, &exchange->block1);
	pl_coap_write_option(&writer, PL_COAP_OPT_ECHO, echo, sizeof(echo));
	pl_exchange_send(exchange, &writer);
}

/* A message for a request that is known here. */
void pl_serve_attach(pl_agent_t *agent, pl_request_t *request,
		     pl_exchange_t *exchange)
{
	bool refused = request->state == PL_REQUEST_REFUSED;

	if (exchange->block1.present && exchange->block1.more && !refused) {
		continue_(agent, request, exchange);
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
		continue_(agent, request, exchange);
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

	/* its remaining blocks cannot be told from the new ones */
	if (detached && detached->state == PL_REQUEST_GATHERING)
		pl_run_refuse(agent, detached, PL_COAP_INCOMPLETE,
			      PL_CAUSE_AGENT);
	pl_counter_add(PL_COUNTER_UPLOADS, 1);
	add_block_(agent, request->upload, msg, exchange);
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
		pl_serve_respond(agent, forward, msg,
				 upload->request->refusal_code, TEXT_NOT_RUN);
	else
		pl_serve_unknown(agent, forward, msg);
}

static void take_block_(pl_agent_t *agent, const pl_forward_t *forward,
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

/* The upload that the ticket of the block before @p msg names. */
static void serve_named_block_(pl_agent_t *agent, const pl_forward_t *forward,
			       const pl_coap_msg_t *msg, uint64_t id)
{
	pl_request_t *request =
		pl_request_by_id(agent->requests, id - agent->birth);

	if (!request || !request->ticketed ||
	    !pl_addr_equal(&request->flow.caller, &forward->flow.caller))
		pl_serve_unknown(agent, forward, msg);
	else
		take_block_(agent, forward, msg, request);
}

/*
 * A block after the first. The ticket that came with the block before it
 * names the upload; without one, caller, Request-Tag and path have to do.
 */
void pl_serve_block(pl_agent_t *agent, const pl_forward_t *forward,
		    const pl_coap_msg_t *msg)
{
	uint64_t digest =
		pl_ticket_rest_digest(msg->code, msg->path, msg->query);
	pl_upload_t *upload;
	pl_ticket_t ticket;

	switch (pl_serve_check(agent, forward, msg, digest, &ticket)) {
	case PL_TICKET_VALID:
	case PL_TICKET_EXPIRED:
	case PL_TICKET_FOREIGN_BOOT:
		serve_named_block_(agent, forward, msg, ticket.nonce);
		return;
	case PL_TICKET_FOREIGN_AGENT:
		if (!pl_serve_forward_to_issuer(agent, forward, &ticket))
			pl_serve_unknown(agent, forward, msg);
		return;
	default:
		break;
	}
	upload = pl_upload_find(agent->uploads, &forward->flow.caller, msg);
	if (upload && pl_upload_takes(upload, msg))
		take_block_(agent, forward, msg, upload->request);
	else
		serve_stray_block_(agent, forward, msg, upload);
}
