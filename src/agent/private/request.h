/**
 * @file
 * Request records: one per operation at the backend server. The record of a
 * request with a ticket is kept after its answer was sent, because the record
 * prevents a second execution.
 */
#ifndef PIMENTOLIFT_AGENT_REQUEST_H
#define PIMENTOLIFT_AGENT_REQUEST_H

#include "private/answer.h"
#include <glib.h>
#include <pimentolift/ticket.h>

/** Messages waiting for one request; a new one replaces the oldest. */
#define PL_REQUEST_WAITERS_MAX 8
/** Maximum number of records of requests with a ticket. */
#define PL_REQUEST_TICKETED_MAX 65536
/** Maximum number of records of requests without a ticket. */
#define PL_REQUEST_UNTICKETED_MAX 8192
/**
 * Retention time of a request record after the issue of its ticket: the
 * lifetime of the ticket plus the maximum lifetime of a copy of a datagram in
 * the network.
 */
#define PL_REQUEST_RETENTION_S \
	(PL_TICKET_LIFE_S + PL_EXCHANGE_LIFETIME_MS / 1000)

/** State of a request. */
typedef enum {
	PL_REQUEST_GATHERING, /**< blocks of the body are missing */
	PL_REQUEST_QUEUED, /**< waits for a slot */
	PL_REQUEST_DISPATCHED, /**< sent to the backend server */
	PL_REQUEST_ANSWERED, /**< ran; the answer is in the record */
	PL_REQUEST_REFUSED, /**< did not run and never will */
	PL_REQUEST_UNKNOWN, /**< may have run */
	PL_REQUEST_CANCELLED, /**< cancelled by the caller */
	PL_REQUEST_STATE_COUNT,
} pl_request_state_t;

/** Names of the values of @ref pl_request_state_t. */
extern const char *const pl_request_state_names[];

/** Cause of a state change of a request. */
typedef enum {
	PL_CAUSE_AGENT, /**< a decision of the agent */
	PL_CAUSE_BACKEND, /**< a result from the backend server */
} pl_request_cause_t;

/** Class of a request for the scheduler. */
typedef enum {
	PL_WORK_SHORT,
	PL_WORK_LONG,
	PL_WORK_CLASS_COUNT,
} pl_work_class_t;

typedef struct pl_upload pl_upload_t;
typedef struct pl_request_table pl_request_table_t;

/** One request. */
typedef struct {
	uint64_t id;
	pl_request_state_t state;
	pl_request_table_t *table;
	pl_flow_t flow;
	bool ticketed; /**< not idempotent, has a ticket */
	pl_ticket_t ticket;
	uint8_t method;
	char *path;
	char *query;
	int32_t content_format;
	int32_t accept;
	GByteArray *body;
	pl_body_budget_t *budget;
	pl_list_t waiters; /**< exchanges */
	pl_list_t queue_link; /**< in a queue of the scheduler */
	pl_list_t age_link; /**< in the order of creation */
	pl_timer_t timer; /**< deadline while the request is queued */
	pl_work_class_t work;
	pl_ms_t accepted_at;
	pl_ms_t deadline_at;
	pl_ms_t dispatched_at;
	unsigned int retries;
	uint8_t refusal_code;
	uint32_t refusal_max_age_s;
	pl_answer_t *answer;
	pl_upload_t *upload; /**< block-wise upload of the body, or NULL */
} pl_request_t;

/** Callbacks to the owner of a request table. */
typedef struct {
	/** Drops all references to @p request, which is freed next. */
	void (*release)(void *ctx, pl_request_t *request);
	/** Reports that the timer of @p request expired. */
	void (*timeout)(void *ctx, pl_request_t *request);
} pl_request_hooks_t;

pl_request_table_t *pl_request_table_new(pl_timer_service_t *timers,
					 pl_body_budget_t *budget,
					 const pl_request_hooks_t *hooks,
					 void *ctx);
void pl_request_table_delete(pl_request_table_t *table);

/**
 * Creates a request from @p msg; @p ticket is NULL for an idempotent request.
 * Returns NULL when the table is full.
 */
pl_request_t *pl_request_new(pl_request_table_t *table, const pl_flow_t *flow,
			     const pl_coap_msg_t *msg,
			     const pl_ticket_t *ticket);

/** Frees @p request and closes the exchanges that wait for it. */
void pl_request_forget(pl_request_table_t *table, pl_request_t *request);

pl_request_t *pl_request_by_id(pl_request_table_t *table, uint64_t id);

/** Returns the request with @p ticket, or NULL. */
pl_request_t *pl_request_by_ticket(pl_request_table_t *table,
				   const pl_ticket_t *ticket);

/**
 * Returns the request without a ticket that a message of the caller of
 * @p flow with this token waits for, or NULL.
 */
pl_request_t *pl_request_by_token(pl_request_table_t *table,
				  const pl_flow_t *flow, const uint8_t *token,
				  size_t token_len);

/**
 * Changes the state. Returns false and reports a broken invariant when the
 * transition is not allowed. A request may become refused only if it was not
 * sent to the backend server, or if the backend server refused it.
 */
bool pl_request_set_state(pl_request_t *request, pl_request_state_t next,
			  pl_request_cause_t cause);

/**
 * Adds @p exchange to the waiters of @p request. Beyond
 * PL_REQUEST_WAITERS_MAX waiters, the oldest one is closed.
 */
void pl_request_wait(pl_request_t *request, pl_exchange_t *exchange);

/** Removes and returns the oldest waiting exchange, or NULL. */
pl_exchange_t *pl_request_next_waiter(pl_request_t *request);

/** Frees the body, which is not needed after the request ended. */
void pl_request_drop_body(pl_request_t *request);

/** Returns true when the request is in one of its final states. */
bool pl_request_ended(const pl_request_t *request);

/** Frees ended requests with a ticket whose retention time is over. */
void pl_request_sweep(pl_request_table_t *table, uint32_t now_s);

/**
 * Makes room for one more request with a ticket. When the table is full, this
 * evicts the oldest record if the request ended and its ticket has expired;
 * otherwise it returns false.
 */
bool pl_request_make_room(pl_request_table_t *table, uint32_t now_s);

/**
 * Returns true when a ticket that was issued here at @p issued_s and has no
 * record cannot have been used.
 */
bool pl_request_ticket_unused(const pl_request_table_t *table,
			      uint32_t issued_s, uint32_t now_s);

/** Number of requests that have not ended. */
size_t pl_request_open_count(const pl_request_table_t *table);

/** Number of records. */
size_t pl_request_count(const pl_request_table_t *table);

#endif
