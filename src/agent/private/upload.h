/**
 * @file
 * Bodies that arrive block by block (RFC 7959 section 2.5), found by caller,
 * Request-Tag and path.
 */
#ifndef PIMENTOLIFT_AGENT_UPLOAD_H
#define PIMENTOLIFT_AGENT_UPLOAD_H

#include "private/request.h"

/** Silence after which an unfinished upload is given up, in milliseconds. */
#define PL_UPLOAD_IDLE_MS 100000
/** Uploads known at once. */
#define PL_UPLOAD_MAX 8192

/** What became of a block. */
typedef enum {
	PL_BLOCK_MORE, /**< taken in, or had before; more blocks follow */
	PL_BLOCK_COMPLETE, /**< the body is whole */
	PL_BLOCK_GAP, /**< a block before this one is missing */
	PL_BLOCK_TOO_LARGE, /**< the body is larger than allowed */
	PL_BLOCK_NO_MEMORY, /**< the agent holds too many bytes of bodies */
	PL_BLOCK_BAD, /**< length and block size do not agree */
} pl_block_verdict_t;

/** One upload; it lives as long as its request. */
struct pl_upload {
	GBytes *key;
	pl_request_t *request;
	pl_list_t idle; /**< in order of the last block */
	pl_ms_t last_block_at;
	uint8_t token_len; /**< of the block that came last */
	uint8_t token[PL_COAP_TOKEN_MAX];
};

typedef struct pl_upload_table pl_upload_table_t;

pl_upload_table_t *pl_upload_table_new(pl_timer_service_t *timers);
void pl_upload_table_delete(pl_upload_table_t *table);

/**
 * Starts an upload for @p request; one with the same key is detached, since
 * a new ticket makes a new operation. Returns the request of the detached
 * one, or NULL.
 */
pl_request_t *pl_upload_start(pl_upload_table_t *table, pl_request_t *request,
			      const pl_coap_msg_t *msg);

/** The upload that the block @p msg of @p caller belongs to, or NULL. */
pl_upload_t *pl_upload_find(pl_upload_table_t *table, const pl_addr_t *caller,
			    const pl_coap_msg_t *msg);

/**
 * Whether @p msg belongs to this upload and not to a later one with the same
 * key: it has blocks to come, or @p msg is its last one again.
 */
bool pl_upload_takes(const pl_upload_t *upload, const pl_coap_msg_t *msg);

/** Adds the block @p msg to the body. */
pl_block_verdict_t pl_upload_add(pl_upload_table_t *table, pl_upload_t *upload,
				 const pl_coap_msg_t *msg, size_t body_max);

/** No more blocks are taken in; late ones still find the request. */
void pl_upload_settle(pl_upload_table_t *table, pl_upload_t *upload);

/** Forgets the upload; its request stays. */
void pl_upload_forget(pl_upload_table_t *table, pl_upload_t *upload);

/** An unfinished upload, or NULL. */
pl_upload_t *pl_upload_first(const pl_upload_table_t *table);

/** An unfinished upload that is silent for too long, or NULL. */
pl_upload_t *pl_upload_idle(pl_upload_table_t *table);

/** Whether there is room for another upload. */
bool pl_upload_has_room(const pl_upload_table_t *table);

/** Uploads whose body is not whole. */
size_t pl_upload_count(const pl_upload_table_t *table);

#endif
