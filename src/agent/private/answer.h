/**
 * @file
 * Answers of the backend server as they go to callers, and the store that
 * keeps them for the rest of a block-wise transfer (RFC 7959 section 2.4).
 */
#ifndef PIMENTOLIFT_AGENT_ANSWER_H
#define PIMENTOLIFT_AGENT_ANSWER_H

#include "private/exchange.h"
#include <pimentolift/ref.h>
#include <pimentolift/ticket.h>

/** Answers kept at once for follow-up block requests. */
#define PL_ANSWER_MAX 4096

/** Bytes of bodies held by one agent. */
typedef struct {
	size_t used;
	size_t max;
} pl_body_budget_t;

/** One answer; shared by the store and by requests. */
typedef struct {
	pl_ref_t ref;
	pl_body_budget_t *budget;
	uint8_t code;
	int32_t content_format;
	int64_t max_age_s;
	char *location_path;
	uint8_t *body;
	size_t body_len;
	uint64_t etag;
} pl_answer_t;

/** New answer with a copy of @p reply; one reference is the caller's. */
pl_answer_t *pl_answer_new(pl_body_budget_t *budget,
			   const pl_backend_reply_t *reply);

/**
 * Sends the block of @p answer that @p exchange asks for, with @p echo
 * (PL_TICKET_BYTES, or NULL) when more blocks follow.
 */
void pl_answer_respond(const pl_answer_t *answer, pl_exchange_t *exchange,
		       const uint8_t *echo);

/** Size of the blocks that @p exchange asks for, in bytes. */
size_t pl_answer_block_size(const pl_exchange_t *exchange);

typedef struct pl_answer_store pl_answer_store_t;

pl_answer_store_t *pl_answer_store_new(pl_timer_service_t *timers,
				       pl_body_budget_t *budget);
void pl_answer_store_delete(pl_answer_store_t *store);

/**
 * Keeps @p answer under @p id, never used twice, and under {caller, method, path, query}
 * for @p keep_ms; the caller gets @p first_block bytes now.
 */
void pl_answer_store_put(pl_answer_store_t *store, uint64_t id,
			 const pl_addr_t *caller, uint8_t method,
			 const char *path, const char *query,
			 pl_answer_t *answer, size_t first_block,
			 uint32_t keep_ms);

/**
 * The answer kept for the follow-up block @p msg of @p caller, which names
 * no request, and the request in @p id; or NULL. One reference is the
 * caller's. A block out of turn is not served, since it is
 * meant for a later answer that another agent keeps; nor is anything after
 * the last block.
 */
pl_answer_t *pl_answer_store_take(pl_answer_store_t *store,
				  const pl_addr_t *caller,
				  const pl_coap_msg_t *msg, uint64_t *id);

/** The answer of the request @p id for the follow-up block @p msg, or NULL. */
pl_answer_t *pl_answer_store_take_id(pl_answer_store_t *store, uint64_t id,
				     const pl_coap_msg_t *msg);

/** Drops the oldest kept answers until the budget has @p need bytes left. */
bool pl_answer_store_reclaim(pl_answer_store_t *store, size_t need);

/** Whether a caller fetched a block, not the last, within @p within_ms. */
bool pl_answer_store_in_use(const pl_answer_store_t *store, uint32_t within_ms);

/** Drops answers whose time is over. */
void pl_answer_store_sweep(pl_answer_store_t *store);

size_t pl_answer_store_count(const pl_answer_store_t *store);

#endif
