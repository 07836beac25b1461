/**
 * @file
 * Processing of a request: queueing, dispatch to the backend server, and the
 * responses to the callers that wait for it.
 */
#include "private/agent_private.h"

#include <assert.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/** Diagnostic payload when it is unknown whether a request ran. */
#define TEXT_UNKNOWN "outcome unknown"
/** Diagnostic payload when a request did not run. */
#define TEXT_NOT_RUN "not run"

/** Retries of an idempotent request after a lost answer. */
#define RETRIES_MAX 1

static pl_ms_t now_(const pl_agent_t *agent)
{
	return pl_timer_service_now(agent->timers);
}

uint32_t pl_run_max_age_s(pl_agent_t *agent, pl_work_class_t work)
{
	uint32_t wait_ms = pl_scheduler_wait_ms(&agent->scheduler, work);
	uint32_t spread_s = 2 * (wait_ms / 1000 + 1);

	return 1 + (uint32_t)(agent->ops->random(agent->ctx) % spread_s);
}

void pl_respond_unknown(pl_exchange_t *exchange)
{
	pl_counter_add(PL_COUNTER_OUTCOME_UNKNOWN, 1);
	pl_exchange_respond(exchange, PL_COAP_GATEWAY_TIMEOUT, -1,
			    TEXT_UNKNOWN);
}

/* Sends the answer, and stores it when more than one block is needed. */
static void respond_answer_(pl_agent_t *agent, const pl_request_t *request,
			    pl_exchange_t *exchange)
{
	size_t size = pl_answer_block_size(exchange);
	uint8_t echo[PL_TICKET_BYTES];

	if (request->answer->body_len <= size) {
		pl_answer_respond(request->answer, exchange, NULL);
		return;
	}
	pl_answer_store_put(agent->answers, agent->first_boot + request->id,
			    &request->flow.caller, request->method,
			    request->path, request->query, request->answer,
			    size, pl_agent_policy(agent)->answer_keep_ms);
	pl_serve_continuation_ticket(agent, request, echo);
	pl_answer_respond(request->answer, exchange, echo);
}

void pl_run_respond(pl_agent_t *agent, const pl_request_t *request,
		    pl_exchange_t *exchange)
{
	int64_t max_age_s = -1;

	assert(pl_request_ended(request));
	if (request->state == PL_REQUEST_CANCELLED) {
		pl_exchange_close(exchange);
		return;
	}
	if (request->state == PL_REQUEST_ANSWERED) {
		respond_answer_(agent, request, exchange);
		return;
	}
	if (request->state != PL_REQUEST_REFUSED) {
		pl_respond_unknown(exchange);
		return;
	}
	if (request->refusal_code == PL_COAP_UNAVAILABLE)
		max_age_s = request->refusal_max_age_s;
	pl_exchange_respond(exchange, request->refusal_code, max_age_s,
			    TEXT_NOT_RUN);
}

/*
 * Responds to all waiters of a request that ended. The record of a request
 * without a ticket is freed, since such a request may run again.
 */
static void finish_request_(pl_agent_t *agent, pl_request_t *request)
{
	pl_exchange_t *exchange = pl_request_next_waiter(request);

	assert(pl_request_ended(request));
	pl_timer_cancel(agent->timers, &request->timer);
	while (exchange) {
		pl_run_respond(agent, request, exchange);
		exchange = pl_request_next_waiter(request);
	}
	pl_request_drop_body(request);
	if (!request->ticketed)
		pl_request_forget(agent->requests, request);
}

void pl_run_refuse(pl_agent_t *agent, pl_request_t *request, uint8_t code,
		   pl_request_cause_t cause)
{
	pl_scheduler_remove(&agent->scheduler, request);
	if (request->retries > 0) {
		if (pl_request_set_state(request, PL_REQUEST_UNKNOWN, cause))
			finish_request_(agent, request);
		return;
	}
	if (!pl_request_set_state(request, PL_REQUEST_REFUSED, cause))
		return;
	pl_counter_add(PL_COUNTER_REFUSED, 1);
	if (request->upload)
		pl_upload_finish(agent->uploads, request->upload);
	request->refusal_code = code;
	if (request->refusal_max_age_s == 0)
		request->refusal_max_age_s =
			pl_run_max_age_s(agent, request->work);
	finish_request_(agent, request);
}

void pl_run_refuse_waiting(pl_agent_t *agent)
{
	pl_request_t *request = pl_scheduler_peek(&agent->scheduler);
	pl_upload_t *upload = pl_upload_first_unfinished(agent->uploads);

	for (; request; request = pl_scheduler_peek(&agent->scheduler))
		pl_run_refuse(agent, request, PL_COAP_UNAVAILABLE,
			      PL_CAUSE_AGENT);
	for (; upload; upload = pl_upload_first_unfinished(agent->uploads)) {
		pl_upload_finish(agent->uploads, upload);
		pl_run_refuse(agent, upload->request, PL_COAP_UNAVAILABLE,
			      PL_CAUSE_AGENT);
	}
}

void pl_run_cancel(pl_agent_t *agent, pl_request_t *request)
{
	bool running = request->state == PL_REQUEST_DISPATCHED;

	assert(!request->ticketed);
	if (!pl_request_set_state(request, PL_REQUEST_CANCELLED,
				  PL_CAUSE_AGENT))
		return;
	pl_counter_add(PL_COUNTER_CANCELLED, 1);
	if (running) {
		pl_scheduler_release(&agent->scheduler, request);
		agent->ops->cancel(agent->ctx, request->id);
	} else {
		pl_scheduler_remove(&agent->scheduler, request);
	}
	finish_request_(agent, request);
	pl_run_fill_slots(agent);
}

void pl_run_expire(pl_agent_t *agent, pl_request_t *request)
{
	if (request->state == PL_REQUEST_QUEUED &&
	    agent->scheduler.policy->expires)
		pl_run_refuse(agent, request, PL_COAP_UNAVAILABLE,
			      PL_CAUSE_AGENT);
}

static uint32_t time_left_ms_(const pl_agent_t *agent,
			      const pl_request_t *request)
{
	pl_ms_t now = now_(agent);

	return request->deadline_at > now ?
		       (uint32_t)(request->deadline_at - now) :
		       0;
}

void pl_run_submit(pl_agent_t *agent, pl_request_t *request)
{
	const pl_service_policy_t *policy = pl_agent_policy(agent);

	request->accepted_at = now_(agent);
	request->work =
		pl_scheduler_classify(&agent->scheduler, request->method,
				      request->path, request->body->len);
	request->deadline_at = request->accepted_at +
			       pl_scheduler_deadline_ms(policy, request->work);
	if (!agent->backend_present ||
	    !pl_scheduler_admit(&agent->scheduler, request,
				time_left_ms_(agent, request))) {
		pl_run_refuse(agent, request, PL_COAP_UNAVAILABLE,
			      PL_CAUSE_AGENT);
		return;
	}
	pl_counter_add(PL_COUNTER_REQUESTS, 1);
	agent->retry_budget += policy->retry_percent / 100.0;
	if (agent->retry_budget > PL_RETRY_BUDGET_MAX)
		agent->retry_budget = PL_RETRY_BUDGET_MAX;
	pl_request_set_state(request, PL_REQUEST_QUEUED, PL_CAUSE_AGENT);
	pl_scheduler_enqueue(&agent->scheduler, request, false);
	pl_timer_arm(agent->timers, &request->timer, request->deadline_at);
	pl_run_fill_slots(agent);
}

static void dispatch_request_(pl_agent_t *agent, pl_request_t *request)
{
	pl_backend_request_t backend_request = {
		.method = request->method,
		.path = request->path,
		.query = request->query,
		.content_format = request->content_format,
		.accept = request->accept,
		.body = request->body->data,
		.body_len = request->body->len,
		.deadline_ms = time_left_ms_(agent, request),
	};

	pl_timer_cancel(agent->timers, &request->timer);
	request->dispatched_at = now_(agent);
	pl_histogram_record(PL_HISTOGRAM_QUEUE,
			    (request->dispatched_at - request->accepted_at) *
				    1000);
	agent->ops->dispatch(agent->ctx, request->id, &backend_request);
}

/* Dispatches a request that was removed from the queue. */
static void start_request_(pl_agent_t *agent, pl_request_t *request)
{
	if (!PL_INVARIANT(request->flow.service == agent->service,
			  "queued request is for another service")) {
		pl_scheduler_release(&agent->scheduler, request);
		pl_run_refuse(agent, request, PL_COAP_UNAVAILABLE,
			      PL_CAUSE_AGENT);
		return;
	}
	if (pl_request_set_state(request, PL_REQUEST_DISPATCHED,
				 PL_CAUSE_AGENT))
		dispatch_request_(agent, request);
}

void pl_run_fill_slots(pl_agent_t *agent)
{
	pl_request_t *request;

	/*
	 * Prevents recursion: the owner may report the result of a request
	 * before ops->dispatch() returns.
	 */
	if (agent->filling_slots || !agent->backend_present)
		return;
	agent->filling_slots = true;
	request = pl_scheduler_dequeue(&agent->scheduler);
	while (request) {
		start_request_(agent, request);
		request = pl_scheduler_dequeue(&agent->scheduler);
	}
	agent->filling_slots = false;
}

static void handle_answer_(pl_agent_t *agent, pl_request_t *request,
			   const pl_backend_reply_t *reply)
{
	pl_ms_t spent_ms = now_(agent) - request->accepted_at;

	pl_counter_add(PL_COUNTER_ANSWERED, 1);
	if (now_(agent) > request->deadline_at)
		pl_counter_add(PL_COUNTER_ANSWERED_LATE, 1);
	pl_histogram_record(PL_HISTOGRAM_REQUEST, spent_ms * 1000);
	pl_answer_store_reclaim(agent->answers, reply->body_len);
	request->answer = pl_answer_new(&agent->budget, reply);
	finish_request_(agent, request);
}

static void handle_lost_(pl_agent_t *agent, pl_request_t *request)
{
	bool retry = !request->ticketed && request->retries < RETRIES_MAX &&
		     agent->backend_present &&
		     request->flow.service == agent->service &&
		     time_left_ms_(agent, request) > 0 &&
		     pl_agent_spend_retry(agent);

	if (retry && pl_request_set_state(request, PL_REQUEST_QUEUED,
					  PL_CAUSE_BACKEND)) {
		request->retries++;
		pl_scheduler_enqueue(&agent->scheduler, request, true);
		pl_timer_arm(agent->timers, &request->timer,
			     request->deadline_at);
		return;
	}
	if (!pl_request_set_state(request, PL_REQUEST_UNKNOWN,
				  PL_CAUSE_BACKEND))
		return;
	if (request->ticketed)
		pl_event(PL_EVENT_OUTCOME_UNKNOWN,
			 "no answer from the backend server for %s",
			 request->path);
	finish_request_(agent, request);
}

void pl_run_backend_reply(pl_agent_t *agent, pl_request_t *request,
			  const pl_backend_reply_t *reply)
{
	if (reply->status == PL_BACKEND_ANSWERED)
		pl_scheduler_complete(&agent->scheduler, request,
				      now_(agent) - request->dispatched_at);
	else
		pl_scheduler_release(&agent->scheduler, request);
	switch (reply->status) {
	case PL_BACKEND_ANSWERED:
		if (pl_request_set_state(request, PL_REQUEST_ANSWERED,
					 PL_CAUSE_BACKEND))
			handle_answer_(agent, request, reply);
		break;
	case PL_BACKEND_REFUSED:
		if (reply->max_age_s > 0)
			request->refusal_max_age_s = (uint32_t)reply->max_age_s;
		pl_run_refuse(agent, request, PL_COAP_UNAVAILABLE,
			      PL_CAUSE_BACKEND);
		break;
	case PL_BACKEND_LOST:
		handle_lost_(agent, request);
		break;
	}
	pl_run_fill_slots(agent);
}
