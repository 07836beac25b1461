/**
 * @file
 * Requests as operations: one record per run at the backend server. The
 * record of a ticketed request outlives its answer, because it is what keeps
 * the request from running twice.
 */
#ifndef PIMENTOLIFT_AGENT_REQUEST_H
#define PIMENTOLIFT_AGENT_REQUEST_H

#include "private/answer.h"
#include <glib.h>
#include <pimentolift/ticket.h>

/** Messages that wait for one request; a new one takes the oldest's place. */
#define PL_REQUEST_WAITERS_MAX 8
/** Records of ticketed requests held at once. */
#define PL_REQUEST_TICKETED_MAX 65536
/** Plain requests held at once. */
#define PL_REQUEST_PLAIN_MAX 8192
/**
 * Time for which a ticketed request is remembered after the issue of its
 * ticket: the ticket's life and the longest life of a datagram's copy.
 */
#define PL_REQUEST_KEEP_S (PL_TICKET_LIFE_S + PL_EXCHANGE_LIFETIME_MS / 1000)

/** Where a request stands. */
typedef enum {
	PL_REQUEST_GATHERING, /**< blocks of its body are missing */
	PL_REQUEST_QUEUED, /**< waits for a slot */
	PL_REQUEST_DISPATCHED, /**< handed to the backend server */
	PL_REQUEST_ANSWERED, /**< it ran and the answer is here */
	PL_REQUEST_REFUSED, /**< it was not run and never will be */
	PL_REQUEST_UNKNOWN, /**< it may have run */
	PL_REQUEST_CANCELLED, /**< the caller gave it up */
	PL_REQUEST_STATE_COUNT,
} pl_request_state_t;

/** Names of @ref pl_request_state_t, in its order. */
extern const char *const pl_request_state_names[];

/** Why a request changes its state. */
typedef enum {
	PL_CAUSE_AGENT, /**< a decision of the agent alone */
	PL_CAUSE_BACKEND, /**< the backend server said so */
} pl_request_cause_t;

/** Class of work for the scheduler. */
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
	pl_list_t queue; /**< link in a queue of the scheduler */
	pl_list_t age; /**< link in the order of creation */
	pl_timer_t timer; /**< end of the time in the queue */
	pl_work_class_t work;
	pl_ms_t accepted_at;
	pl_ms_t deadline_at;
	pl_ms_t dispatched_at;
	unsigned int retries;
	uint8_t refusal_code;
	uint32_t refusal_max_age_s;
	pl_answer_t *answer;
	pl_upload_t *upload; /**< where its blocks are gathered, or NULL */
} pl_request_t;

/** What the owner of a table is told. */
typedef struct {
	/** Lets go of what else refers to @p request, forgotten next. */
	void (*release)(void *ctx, pl_request_t *request);
	/** The timer of @p request is due. */
	void (*timeout)(void *ctx, pl_request_t *request);
} pl_request_hooks_t;

pl_request_table_t *pl_request_table_new(pl_timer_service_t *timers,
					 pl_body_budget_t *budget,
					 const pl_request_hooks_t *hooks,
					 void *ctx);
void pl_request_table_delete(pl_request_table_t *table);

/**
 * New request from @p msg; @p ticket is NULL for an idempotent one. Returns
 * NULL when no record can be kept.
 */
pl_request_t *pl_request_new(pl_request_table_t *table, const pl_flow_t *flow,
			     const pl_coap_msg_t *msg,
			     const pl_ticket_t *ticket);

/** Forgets @p request and closes the messages that wait for it. */
void pl_request_forget(pl_request_table_t *table, pl_request_t *request);

pl_request_t *pl_request_by_id(pl_request_table_t *table, uint64_t id);

/** The request that ran, or will run, under @p ticket, or NULL. */
pl_request_t *pl_request_by_ticket(pl_request_table_t *table,
				   const pl_ticket_t *ticket);

/** The queued or dispatched request of @p flow with this token, or NULL. */
pl_request_t *pl_request_by_token(pl_request_table_t *table,
				  const pl_flow_t *flow, const uint8_t *token,
				  size_t token_len);

/**
 * Changes the state. Returns false, and reports a broken invariant, when the
 * change is not allowed: only a request that the backend server has not got,
 * or refused itself, may become refused.
 */
bool pl_request_move(pl_request_t *request, pl_request_state_t next,
		     pl_request_cause_t cause);

/** Lets @p exchange wait for the end of @p request. */
void pl_request_wait(pl_request_t *request, pl_exchange_t *exchange);

/** Takes the next waiting exchange off, or returns NULL. */
pl_exchange_t *pl_request_next_waiter(pl_request_t *request);

/** Frees the body, which is not needed after the run. */
void pl_request_drop_body(pl_request_t *request);

/** Whether the request ended, in whatever way. */
bool pl_request_ended(const pl_request_t *request);

/** Forgets ended ticketed requests whose time is over at @p now_s. */
void pl_request_sweep(pl_request_table_t *table, uint32_t now_s);

/**
 * Makes room for one more ticketed request by forgetting one whose ticket
 * has expired; false when there is none.
 */
bool pl_request_make_room(pl_request_table_t *table, uint32_t now_s);

/**
 * Whether a ticket issued here at @p issued_s, of which there is no record,
 * cannot have been used.
 */
bool pl_request_is_unused(const pl_request_table_t *table, uint32_t issued_s,
			  uint32_t now_s);

/** Requests that have not ended. */
size_t pl_request_open_count(const pl_request_table_t *table);

/** All records. */
size_t pl_request_count(const pl_request_table_t *table);

#endif
