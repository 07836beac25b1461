/**
 * @file
 * The agent core as its own source files see it.
 */
#ifndef PIMENTOLIFT_AGENT_PRIVATE_H
#define PIMENTOLIFT_AGENT_PRIVATE_H

#include "private/admission.h"
#include "private/upload.h"
#include <pimentolift/view.h>

/** Time between two sweeps of what has expired, in milliseconds. */
#define PL_SWEEP_MS 1000
/** After the start of a drain, unused tickets are honoured for this long. */
#define PL_DRAIN_TICKET_MS 2000
/** A drain waits for transfers whose last block is not older than this. */
#define PL_DRAIN_TRANSFER_MS 10000
/** Largest stock of the retry budget, in requests. */
#define PL_RETRY_STOCK_MAX 10
/** Least time between two log lines about a service mismatch. */
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
	pl_service_id_t service; /**< last announced, 0 before the first */
	bool present; /**< the backend server is there */
	bool draining;
	bool scheduling; /**< a loop over free slots is on the stack */
	uint64_t birth; /**< boot of the process's first life */
	pl_ms_t drain_at;
	uint32_t revoked_s; /**< unused tickets up to this time are void */
	double retry_stock; /**< retries allowed now */
	pl_ms_t mismatch_logged_at;
	bool mismatch_logged;
	pl_timer_t sweep;
};

/** Policy of the agent's service; a default without a routing table. */
const pl_service_policy_t *pl_agent_policy(const pl_agent_t *agent);

/** The agent's clock, in seconds. */
uint32_t pl_agent_now_s(const pl_agent_t *agent);

/** Replaces the admission policy; for measurements. */
void pl_agent_set_admission(pl_agent_t *agent,
			    const pl_admission_policy_t *policy);

/** Spends one of the retry budget; false when it is used up. */
bool pl_agent_spend_retry(pl_agent_t *agent);

/**
 * Passes a datagram on to @p next; false when it was passed on too often.
 */
bool pl_agent_forward_to(pl_agent_t *agent, const pl_forward_t *forward,
			 pl_member_id_t next);

/** Passes a datagram on to the next-ranked agent that may know more. */
bool pl_agent_forward_next(pl_agent_t *agent, const pl_forward_t *forward);

/** Whether every other reachable agent was asked before this one. */
bool pl_agent_was_last(const pl_agent_t *agent, const pl_forward_t *forward);

/** Whether new work goes to others: a drain, or no backend server. */
bool pl_agent_leaves_work(const pl_agent_t *agent);

/** Passes a datagram on to the caller's home, unless that is here. */
bool pl_agent_forward_home(pl_agent_t *agent, const pl_forward_t *forward);

/** Passes unstarted work on to the other one of the caller's best two. */
bool pl_agent_forward_other(pl_agent_t *agent, const pl_forward_t *forward);

/**
 * Issues the ticket that names @p request to the next message of a
 * block-wise transfer; it lets nothing run.
 */
void pl_serve_rest_ticket(pl_agent_t *agent, const pl_request_t *request,
			  uint8_t echo[PL_TICKET_BYTES]);

/** Checks the ticket in @p msg against @p digest. */
pl_ticket_verdict_t pl_serve_check(const pl_agent_t *agent,
				   const pl_forward_t *forward,
				   const pl_coap_msg_t *msg, uint64_t digest,
				   pl_ticket_t *ticket);

/** Passes a datagram on to the agent of @p ticket if it is a member. */
bool pl_serve_forward_to_issuer(pl_agent_t *agent, const pl_forward_t *forward,
				const pl_ticket_t *ticket);

/** Answers @p msg with a code and a diagnostic text. */
void pl_serve_respond(pl_agent_t *agent, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg, uint8_t code, const char *text);

/** Answers @p msg that the outcome is unknown. */
void pl_serve_unknown(pl_agent_t *agent, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg);

/** Lets @p exchange wait for a request that is known, or answers it. */
void pl_serve_attach(pl_agent_t *agent, pl_request_t *request,
		     pl_exchange_t *exchange);

/** Starts an upload with its first block @p msg. */
void pl_serve_upload(pl_agent_t *agent, pl_request_t *request,
		     const pl_coap_msg_t *msg, pl_exchange_t *exchange);

/** Serves a block after the first. */
void pl_serve_block(pl_agent_t *agent, const pl_forward_t *forward,
		    const pl_coap_msg_t *msg);

/** Serves a request that carries no view. */
void pl_serve_get(pl_agent_t *agent, const pl_forward_t *forward,
		  const pl_coap_msg_t *msg);
void pl_serve_unsafe(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg);

/** Cancels @p request, which the token of @p msg names. */
void pl_serve_cancel(pl_agent_t *agent, const pl_forward_t *forward,
		     const pl_coap_msg_t *msg, pl_request_t *request);

/** Puts @p request into the queue or refuses it, and fills free slots. */
void pl_run_submit(pl_agent_t *agent, pl_request_t *request);

/** Hands queued requests to the backend server while slots are free. */
void pl_run_fill_slots(pl_agent_t *agent);

/** Refuses a request that has not run: 5.03 with a spread Max-Age. */
void pl_run_refuse(pl_agent_t *agent, pl_request_t *request, uint8_t code,
		   pl_request_cause_t cause);

/** Refuses a request whose deadline passed in the queue. */
void pl_run_expire(pl_agent_t *agent, pl_request_t *request);

/** Refuses all that waits or is being gathered. */
void pl_run_refuse_waiting(pl_agent_t *agent);

/** Gives up a plain request that nobody waits for. */
void pl_run_cancel(pl_agent_t *agent, pl_request_t *request);

/** The backend server ended @p request. */
void pl_run_ended(pl_agent_t *agent, pl_request_t *request,
		  const pl_backend_reply_t *reply);

/** Answers @p exchange from a request that ended. */
void pl_run_respond(pl_agent_t *agent, const pl_request_t *request,
		    pl_exchange_t *exchange);

/** Max-Age for a refusal, spread over the backlog, in seconds. */
uint32_t pl_run_max_age_s(pl_agent_t *agent, pl_work_class_t work);

/** Answers that the outcome is unknown. */
void pl_respond_unknown(pl_exchange_t *exchange);

#endif
