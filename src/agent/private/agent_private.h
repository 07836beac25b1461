/**
 * @file
 * Internal interface between the source files of the agent core.
 */
#ifndef PIMENTOLIFT_AGENT_PRIVATE_H
#define PIMENTOLIFT_AGENT_PRIVATE_H

#include "private/admission.h"
#include "private/upload.h"
#include <pimentolift/view.h>

/** Interval of the sweep that removes expired state, in milliseconds. */
#define PL_SWEEP_MS 1000
/** Time after the start of a drain in which unused tickets are accepted. */
#define PL_DRAIN_TICKET_MS 2000
/** A drain waits for transfers with a block sent within this time. */
#define PL_DRAIN_TRANSFER_MS 10000
/** Cap of the retry budget, in requests. */
#define PL_RETRY_BUDGET_MAX 10
/** Minimum interval between two service-mismatch events. */
#define PL_MISMATCH_LOG_MS 1000

struct pl_agent {
	pl_agent_params_t params;
	const pl_agent_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	pl_coap_parser_t *parser;
	pl_view_table_t *views;
	pl_exchange_table_t *exchanges;
	pl_request_table_t *requests;
	pl_answer_store_t *answers;
	pl_upload_table_t *uploads;
	pl_scheduler_t scheduler;
	pl_body_budget_t budget;
	pl_routing_t *routing;
	pl_service_id_t service; /**< last registered, 0 before the first */
	bool backend_present; /**< a backend server is registered */
	bool draining;
	bool filling_slots; /**< pl_run_fill_slots() is on the stack */
	uint64_t first_boot; /**< boot ID at the start of the process */
	pl_ms_t drain_started_at;
	/** Unused tickets that were issued up to this time are invalid. */
	uint32_t revoked_until_s;
	double retry_budget; /**< retries allowed now */
	pl_ms_t mismatch_logged_at;
	bool mismatch_logged;
	pl_timer_t sweep;
};

/** Returns the policy of the agent's service, or a default if unknown. */
const pl_service_policy_t *pl_agent_policy(const pl_agent_t *agent);

/** The agent's clock, in seconds. */
uint32_t pl_agent_now_s(const pl_agent_t *agent);

/** Replaces the admission policy; for measurements. */
void pl_agent_set_admission(pl_agent_t *agent,
			    const pl_admission_policy_t *policy);

/** Takes one retry from the budget; returns false when none is left. */
bool pl_agent_spend_retry(pl_agent_t *agent);

/**
 * Forwards a datagram to @p next. Returns false when the datagram has reached
 * its hop limit.
 */
bool pl_agent_forward_to(pl_agent_t *agent, const pl_forward_t *forward,
			 pl_member_id_t next);

/**
 * Forwards a datagram to the best-ranked reachable agent other than this one
 * and the sender, because that agent may hold the state it refers to.
 */
bool pl_agent_forward_next(pl_agent_t *agent, const pl_forward_t *forward);

/**
 * Returns true when the datagram has visited all other reachable agents that
 * are candidates for it.
 */
bool pl_agent_all_others_tried(const pl_agent_t *agent,
			       const pl_forward_t *forward);

/**
 * Returns true when new work must go to another agent: this one is draining
 * or has no backend server.
 */
bool pl_agent_diverts_new_work(const pl_agent_t *agent);

/**
 * Forwards a datagram to the caller's home, the best-ranked serving endpoint.
 * Returns false when this agent is the home, when no endpoint is serving, or
 * when the datagram has reached its hop limit.
 */
bool pl_agent_forward_home(pl_agent_t *agent, const pl_forward_t *forward);

/**
 * Forwards work that has not started to the caller's best-ranked serving
 * endpoint other than this agent. Returns false when there is none, when the
 * datagram was forwarded before, or when the retry budget is used up.
 */
bool pl_agent_forward_alternate(pl_agent_t *agent, const pl_forward_t *forward);

/**
 * Issues a continuation ticket, by which the next message of a block-wise
 * transfer identifies @p request; it does not permit a request to run.
 */
void pl_serve_continuation_ticket(pl_agent_t *agent,
				  const pl_request_t *request,
				  uint8_t echo[PL_TICKET_BYTES]);

/** Checks the ticket in @p msg against @p digest. */
pl_ticket_verdict_t pl_serve_check_ticket(const pl_agent_t *agent,
					  const pl_forward_t *forward,
					  const pl_coap_msg_t *msg,
					  uint64_t digest, pl_ticket_t *ticket);

/**
 * Forwards a datagram to the issuer of @p ticket. Returns false when the
 * issuer is not a member, when it serves another service, or when the datagram
 * has reached its hop limit. A recent ticket is forwarded even to an unknown
 * issuer, because the issuer may just have joined.
 */
bool pl_serve_forward_to_issuer(pl_agent_t *agent, const pl_forward_t *forward,
				const pl_ticket_t *ticket);

/** Responds to @p msg with a code and a diagnostic payload. */
void pl_serve_respond(pl_agent_t *agent, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg, uint8_t code, const char *text);

/** Responds to @p msg that the outcome is unknown. */
void pl_serve_unknown(pl_agent_t *agent, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg);

/**
 * Responds to @p exchange from the recorded @p request, or adds it to the
 * waiters of @p request.
 */
void pl_serve_attach(pl_agent_t *agent, pl_request_t *request,
		     pl_exchange_t *exchange);

/** Starts an upload with its first block @p msg. */
void pl_serve_upload(pl_agent_t *agent, pl_request_t *request,
		     const pl_coap_msg_t *msg, pl_exchange_t *exchange);

/** Serves a block of an upload after the first one. */
void pl_serve_block(pl_agent_t *agent, const pl_forward_t *forward,
		    const pl_coap_msg_t *msg);

/** Serves a GET, apart from opening or closing a view. */
void pl_serve_get(pl_agent_t *agent, const pl_forward_t *forward,
		  const pl_coap_msg_t *msg);

/** Serves a request with any method other than GET. */
void pl_serve_unsafe(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg);

/** Cancels @p request, which has the same token as @p msg. */
void pl_serve_cancel(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg, pl_request_t *request);

/** Queues or refuses @p request, and fills free slots. */
void pl_run_submit(pl_agent_t *agent, pl_request_t *request);

/** Dispatches queued requests to the backend server while slots are free. */
void pl_run_fill_slots(pl_agent_t *agent);

/**
 * Refuses a request that has not run. A 5.03 response carries the Max-Age of
 * the backend server, or else a randomised one. A request with a lost earlier
 * attempt gets "outcome unknown" instead, since that attempt may have run.
 */
void pl_run_refuse(pl_agent_t *agent, pl_request_t *request, uint8_t code,
		   pl_request_cause_t cause);

/** Refuses a queued request whose deadline passed, if the policy says so. */
void pl_run_expire(pl_agent_t *agent, pl_request_t *request);

/** Refuses all queued requests and all unfinished uploads. */
void pl_run_refuse_waiting(pl_agent_t *agent);

/** Cancels a request without a ticket, as its caller asked. */
void pl_run_cancel(pl_agent_t *agent, pl_request_t *request);

/** Processes the result of @p request at the backend server. */
void pl_run_backend_reply(pl_agent_t *agent, pl_request_t *request,
			  const pl_backend_reply_t *reply);

/** Responds to @p exchange with the result of a request that ended. */
void pl_run_respond(pl_agent_t *agent, const pl_request_t *request,
		    pl_exchange_t *exchange);

/**
 * Max-Age of a refusal, in seconds. The value is random, over a range that
 * grows with the expected wait, so that refused callers do not all retry at
 * the same time.
 */
uint32_t pl_run_max_age_s(pl_agent_t *agent, pl_work_class_t work);

/** Responds that the outcome is unknown. */
void pl_respond_unknown(pl_exchange_t *exchange);

#endif
