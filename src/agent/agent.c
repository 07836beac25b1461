/**
 * @file
 * Entry points of the agent core: dispatch of datagrams, and handling of
 * drains, new routing tables and a new boot ID.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/** Largest method code that is served, 0.07 (iPATCH, RFC 8132). */
#define METHOD_MAX 7

/* Used until a routing table contains the service. */
static const pl_service_policy_t default_policy_ = {
	.deadline_ms = 5000,
	.short_slots = 1,
	.queue_max = 64,
	.upload_max_bytes = 1024 * 1024,
	.retry_percent = 10,
	.answer_keep_ms = 300000,
};

static void send_reply_(void *ctx, pl_member_id_t entry, const pl_flow_t *flow,
			const uint8_t *pdu, size_t pdu_len)
{
	pl_agent_t *agent = ctx;

	agent->ops->reply(agent->ctx, entry, flow,
			  pl_scheduler_load_ms(&agent->scheduler), pdu,
			  pdu_len);
}

static uint64_t random_(void *ctx)
{
	pl_agent_t *agent = ctx;

	return agent->ops->random(agent->ctx);
}

static void release_request_(void *ctx, pl_request_t *request)
{
	pl_agent_t *agent = ctx;

	if (request->upload)
		pl_upload_forget(agent->uploads, request->upload);
}

static void request_timeout_(void *ctx, pl_request_t *request)
{
	pl_run_expire(ctx, request);
}

static const pl_request_hooks_t request_hooks_ = {
	.release = release_request_,
	.timeout = request_timeout_,
};

static void sweep_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_agent_t *agent = ctx;
	pl_upload_t *idle = pl_upload_first_idle(agent->uploads);

	while (idle) {
		pl_upload_finish(agent->uploads, idle);
		pl_run_refuse(agent, idle->request, PL_COAP_INCOMPLETE,
			      PL_CAUSE_AGENT);
		idle = pl_upload_first_idle(agent->uploads);
	}
	pl_exchange_sweep(agent->exchanges);
	pl_answer_store_sweep(agent->answers);
	pl_request_sweep(agent->requests, pl_agent_now_s(agent));
	pl_timer_arm(agent->timers, timer, now + PL_SWEEP_MS);
}

pl_agent_t *pl_agent_new(const pl_agent_params_t *params,
			 const pl_agent_ops_t *ops, void *ctx,
			 pl_timer_service_t *timers)
{
	pl_agent_t *agent = g_new0(pl_agent_t, 1);

	assert(params && ops && timers);
	agent->params = *params;
	agent->first_boot = params->boot;
	agent->ops = ops;
	agent->ctx = ctx;
	agent->timers = timers;
	agent->budget.max = params->memory_max;
	agent->parser = pl_coap_parser_new();
	agent->views = pl_view_table_new(params, ops, ctx, timers);
	agent->exchanges =
		pl_exchange_table_new(timers, send_reply_, random_, agent);
	agent->requests = pl_request_table_new(timers, &agent->budget,
					       &request_hooks_, agent);
	agent->answers = pl_answer_store_new(timers, &agent->budget);
	agent->uploads = pl_upload_table_new(timers);
	pl_scheduler_init(&agent->scheduler, &pl_admission_deadline);
	pl_scheduler_set_limits(&agent->scheduler, params->slots,
				&default_policy_);
	pl_timer_init(&agent->sweep, sweep_, agent);
	pl_timer_arm(timers, &agent->sweep,
		     pl_timer_service_now(timers) + PL_SWEEP_MS);
	return agent;
}

void pl_agent_delete(pl_agent_t *agent)
{
	if (!agent)
		return;
	pl_timer_cancel(agent->timers, &agent->sweep);
	pl_upload_table_delete(agent->uploads);
	pl_request_table_delete(agent->requests);
	pl_exchange_table_delete(agent->exchanges);
	pl_answer_store_delete(agent->answers);
	pl_scheduler_finish(&agent->scheduler);
	pl_view_table_delete(agent->views);
	pl_coap_parser_delete(agent->parser);
	if (agent->routing)
		pl_routing_put(agent->routing);
	g_free(agent);
}

const pl_service_policy_t *pl_agent_policy(const pl_agent_t *agent)
{
	const pl_route_service_t *service = NULL;

	if (agent->routing)
		service = pl_routing_by_id(agent->routing, agent->service);
	return service ? &service->policy : &default_policy_;
}

uint32_t pl_agent_now_s(const pl_agent_t *agent)
{
	return agent->params.unix_time_s +
	       (uint32_t)(pl_timer_service_now(agent->timers) / 1000);
}

bool pl_agent_spend_retry(pl_agent_t *agent)
{
	if (agent->retry_budget < 1)
		return false;
	agent->retry_budget -= 1;
	return true;
}

void pl_agent_set_admission(pl_agent_t *agent,
			    const pl_admission_policy_t *policy)
{
	agent->scheduler.policy = policy;
}

void pl_agent_set_routing(pl_agent_t *agent, pl_routing_t *routing)
{
	pl_routing_t *old = agent->routing;

	assert(routing);
	pl_routing_get(routing);
	agent->routing = routing;
	pl_view_set_routing(agent->views, routing, agent->service);
	if (old)
		pl_routing_put(old);
	pl_scheduler_set_limits(&agent->scheduler, agent->params.slots,
				pl_agent_policy(agent));
	pl_run_fill_slots(agent);
}

void pl_agent_set_backend(pl_agent_t *agent, pl_service_id_t service,
			  uint32_t slots)
{
	/* Queued requests for the old service must not run at the new one. */
	if (service != 0 && service != agent->service)
		pl_run_refuse_waiting(agent);
	agent->backend_present = service != 0;
	if (service != 0) {
		agent->service = service;
		agent->params.slots = slots;
		pl_scheduler_set_limits(&agent->scheduler, slots,
					pl_agent_policy(agent));
		if (agent->routing)
			pl_view_set_routing(agent->views, agent->routing,
					    service);
	}
	pl_view_set_backend_present(agent->views, agent->backend_present);
	pl_run_fill_slots(agent);
}

/*
 * Returns true, and counts and logs the fault, when the datagram is for
 * another service. Such a datagram must not reach the backend server.
 */
static bool service_mismatch_(pl_agent_t *agent, const pl_forward_t *forward)
{
	char text[PL_ADDR_TEXT_MAX];
	pl_ms_t now = pl_timer_service_now(agent->timers);

	if (agent->service == 0 || forward->flow.service == agent->service)
		return false;
	pl_counter_add(PL_COUNTER_DROP_MISMATCH, 1);
	if (agent->mismatch_logged &&
	    now < agent->mismatch_logged_at + PL_MISMATCH_LOG_MS)
		return true;
	agent->mismatch_logged = true;
	agent->mismatch_logged_at = now;
	pl_event(PL_EVENT_SERVICE_MISMATCH, "dropped a datagram from %s",
		 pl_addr_format(&forward->flow.caller, text));
	return true;
}

/* Sends RST for a CON that is not a request, for example a CoAP ping. */
static void send_reset_(pl_agent_t *agent, const pl_forward_t *forward,
			const pl_coap_msg_t *msg)
{
	uint8_t buf[8];
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, buf, sizeof(buf), PL_COAP_RST,
			    PL_COAP_EMPTY, msg->mid, NULL, 0);
	send_reply_(agent, forward->entry, &forward->flow, buf,
		    pl_coap_write_end(&writer));
}

static void handle_ack_(pl_agent_t *agent, const pl_forward_t *forward,
			const pl_coap_msg_t *msg)
{
	pl_member_id_t next = 0;

	if (pl_exchange_handle_ack_or_rst(agent->exchanges, &forward->flow,
					  msg->mid))
		return;
	switch (pl_view_ack(agent->views, forward, msg, &next)) {
	case PL_VIEW_HANDLED:
		break;
	case PL_VIEW_MOVED:
		if (next != agent->params.self)
			pl_agent_forward_to(agent, forward, next);
		break;
	case PL_VIEW_UNKNOWN:
		pl_agent_forward_next(agent, forward);
		break;
	}
}

/*
 * Handles GET with Observe 0: opens the view at the caller's home. When no
 * view can be opened, the response has no Observe option, which tells the
 * caller that it is not registered (RFC 7641 section 4.1).
 */
static void open_view_(pl_agent_t *agent, const pl_forward_t *forward,
		       const pl_coap_msg_t *msg)
{
	if (pl_agent_forward_home(agent, forward))
		return;
	pl_view_set_load(agent->views, pl_scheduler_load_ms(&agent->scheduler));
	if (agent->service == 0 || agent->draining)
		pl_serve_get(agent, forward, msg);
	else
		pl_view_register(agent->views, forward, msg);
}

/*
 * Handles GET with Observe 1: closes the view, then serves an ordinary GET. If
 * a request with the same token is in progress, cancels that request instead.
 */
static void close_view_(pl_agent_t *agent, const pl_forward_t *forward,
			const pl_coap_msg_t *msg)
{
	pl_member_id_t next = 0;
	pl_request_t *running;

	running = pl_request_by_token(agent->requests, &forward->flow,
				      msg->token, msg->token_len);
	if (running) {
		pl_serve_cancel(agent, forward, msg, running);
		return;
	}
	switch (pl_view_deregister(agent->views, forward, msg, &next)) {
	case PL_VIEW_HANDLED:
		break;
	case PL_VIEW_MOVED:
		if (next != agent->params.self &&
		    pl_agent_forward_to(agent, forward, next))
			return;
		break;
	case PL_VIEW_UNKNOWN:
		if (pl_agent_forward_home(agent, forward))
			return;
		break;
	}
	pl_serve_get(agent, forward, msg);
}

static void respond_error_(pl_agent_t *agent, const pl_forward_t *forward,
			   const pl_coap_msg_t *msg, uint8_t code)
{
	pl_exchange_t *exchange =
		pl_exchange_open(agent->exchanges, forward, msg);

	if (exchange)
		pl_exchange_respond(exchange, code, -1, NULL);
}

static void handle_request_(pl_agent_t *agent, const pl_forward_t *forward,
			    const pl_coap_msg_t *msg)
{
	if (msg->unknown_critical)
		respond_error_(agent, forward, msg, PL_COAP_BAD_OPTION);
	else if (msg->too_long)
		respond_error_(agent, forward, msg, PL_COAP_BAD_REQUEST);
	else if (msg->code > METHOD_MAX)
		respond_error_(agent, forward, msg, PL_COAP_NOT_ALLOWED);
	else if (msg->code != PL_COAP_GET)
		pl_serve_unsafe(agent, forward, msg);
	else if (msg->has_observe && msg->observe == 0)
		open_view_(agent, forward, msg);
	else if (msg->has_observe)
		close_view_(agent, forward, msg);
	else
		pl_serve_get(agent, forward, msg);
}

void pl_agent_datagram(pl_agent_t *agent, const pl_forward_t *forward)
{
	pl_coap_msg_t msg;

	if (service_mismatch_(agent, forward))
		return;
	if (pl_coap_parse(agent->parser, forward->pdu, forward->pdu_len,
			  &msg) != PL_OK) {
		pl_counter_add(PL_COUNTER_DROP_MALFORMED, 1);
		return;
	}
	if (msg.type == PL_COAP_ACK || msg.type == PL_COAP_RST) {
		if (msg.code == PL_COAP_EMPTY)
			handle_ack_(agent, forward, &msg);
		return;
	}
	if (pl_coap_is_request(msg.code))
		handle_request_(agent, forward, &msg);
	else if (msg.type == PL_COAP_CON)
		send_reset_(agent, forward, &msg);
}

void pl_agent_backend_reply(pl_agent_t *agent, uint64_t request_id,
			    const pl_backend_reply_t *reply)
{
	pl_request_t *request = pl_request_by_id(agent->requests, request_id);

	/* The backend server may still answer a cancelled request. */
	if (!request || request->state != PL_REQUEST_DISPATCHED)
		return;
	pl_run_backend_reply(agent, request, reply);
}

void pl_agent_backend_notify(pl_agent_t *agent, uint64_t subscription_id,
			     const pl_backend_reply_t *reply)
{
	pl_view_set_load(agent->views, pl_scheduler_load_ms(&agent->scheduler));
	pl_view_notify(agent->views, subscription_id, reply);
}

void pl_agent_frame(pl_agent_t *agent, const pl_peer_frame_t *frame)
{
	pl_view_frame(agent->views, frame);
}

void pl_agent_frame_failed(pl_agent_t *agent, const pl_peer_frame_t *frame)
{
	pl_view_frame_failed(agent->views, frame);
}

void pl_agent_peer_boot_ended(pl_agent_t *agent, pl_member_id_t agent_id,
			      uint64_t boot)
{
	pl_view_peer_boot_ended(agent->views, agent_id, boot);
}

void pl_agent_rejoin(pl_agent_t *agent, uint64_t boot)
{
	assert(boot != agent->params.boot);
	agent->params.boot = boot;
	pl_view_rejoin(agent->views, boot);
}

void pl_agent_drain(pl_agent_t *agent)
{
	if (agent->draining)
		return;
	agent->draining = true;
	agent->drain_started_at = pl_timer_service_now(agent->timers);
	pl_event(PL_EVENT_DRAIN_STARTED, "%zu views, %zu requests",
		 pl_view_count(agent->views),
		 pl_request_open_count(agent->requests));
	pl_view_drain(agent->views);
}

bool pl_agent_drained(const pl_agent_t *agent)
{
	pl_ms_t now = pl_timer_service_now(agent->timers);

	return agent->draining &&
	       now > agent->drain_started_at + PL_DRAIN_TICKET_MS &&
	       pl_request_open_count(agent->requests) == 0 &&
	       pl_exchange_pending(agent->exchanges) == 0 &&
	       !pl_answer_store_in_use(agent->answers, PL_DRAIN_TRANSFER_MS) &&
	       pl_view_count(agent->views) == 0;
}

void pl_agent_stats(const pl_agent_t *agent, pl_agent_stats_t *stats)
{
	stats->views = pl_view_count(agent->views);
	stats->requests_queued = pl_scheduler_queued(&agent->scheduler);
	stats->requests_running = pl_scheduler_running(&agent->scheduler);
	stats->uploads = pl_upload_count(agent->uploads);
	stats->answers_kept = pl_answer_store_count(agent->answers);
	stats->messages = pl_exchange_count(agent->exchanges);
	stats->body_bytes = agent->budget.used;
	stats->load_ms = pl_scheduler_load_ms(&agent->scheduler);
}
