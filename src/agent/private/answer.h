/**
 * @file
 * Answers of the backend server as they are sent to callers, and the store
 * that keeps answers for the follow-up blocks of a block-wise transfer
 * (RFC 7959 section 2.4).
 */
#ifndef PIMENTOLIFT_AGENT_ANSWER_H
#define PIMENTOLIFT_AGENT_ANSWER_H

#include "private/exchange.h"
#include <pimentolift/ref.h>
#include <pimentolift/ticket.h>

/** Maximum number of stored answers. */
#define PL_ANSWER_MAX 4096

/** Memory for request and answer bodies of one agent, in bytes. */
typedef struct {
	size_t used;
	size_t max;
} pl_body_budget_t;

/** One answer; reference-counted, shared by the store and by requests. */
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

/** Creates an answer from a copy of @p reply; returns one reference. */
pl_answer_t *pl_answer_new(pl_body_budget_t *budget,
			   const pl_backend_reply_t *reply);

/**
 * Sends the block of @p answer that @p exchange requests. When more blocks
 * follow, the response carries @p echo, a ticket of PL_TICKET_BYTES bytes or
 * NULL.
 */
void pl_answer_respond(const pl_answer_t *answer, pl_exchange_t *exchange,
		       const uint8_t *echo);

/** Block size that @p exchange requests, in bytes. */
size_t pl_answer_block_size(const pl_exchange_t *exchange);

typedef struct pl_answer_store pl_answer_store_t;

pl_answer_store_t *pl_answer_store_new(pl_timer_service_t *timers,
				       pl_body_budget_t *budget);
void pl_answer_store_delete(pl_answer_store_t *store);

/**
 * Stores @p answer for @p keep_ms, indexed by @p id, which is unique, and by
 * {caller, method, path, query}. The caller has been sent the first
 * @p first_block bytes.
 */
void pl_answer_store_put(pl_answer_store_t *store, uint64_t id,
			 const pl_addr_t *caller, uint8_t method,
			 const char *path, const char *query,
			 pl_answer_t *answer, size_t first_block,
			 uint32_t keep_ms);

/**
 * Finds the stored answer for the follow-up block @p msg of @p caller, which
 * carries no ticket. Returns one reference and sets @p id to the ID of the
 * answer, or returns NULL. A block beyond the next one in sequence is not
 * served, because it belongs to a later answer that another agent stores. The
 * answer is removed once its last block has been requested.
 */
pl_answer_t *pl_answer_store_lookup(pl_answer_store_t *store,
				    const pl_addr_t *caller,
				    const pl_coap_msg_t *msg, uint64_t *id);

/**
 * Finds the stored answer @p id for the follow-up block @p msg. Returns one
 * reference, or NULL.
 */
pl_answer_t *pl_answer_store_lookup_id(pl_answer_store_t *store, uint64_t id,
				       const pl_coap_msg_t *msg);

/**
 * Evicts the oldest stored answers until the budget has @p need bytes left.
 * Returns false when that is not possible.
 */
bool pl_answer_store_reclaim(pl_answer_store_t *store, size_t need);

/** Returns true when a stored answer sent a block within @p within_ms. */
bool pl_answer_store_in_use(const pl_answer_store_t *store, uint32_t within_ms);

/** Removes expired answers. */
void pl_answer_store_sweep(pl_answer_store_t *store);

size_t pl_answer_store_count(const pl_answer_store_t *store);

#endif
