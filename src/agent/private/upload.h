/**
 * @file
 * Block-wise uploads of request bodies (RFC 7959 section 2.5), indexed by
 * caller, method, Request-Tag and path.
 */
#ifndef PIMENTOLIFT_AGENT_UPLOAD_H
#define PIMENTOLIFT_AGENT_UPLOAD_H

#include "private/request.h"

/** Time without a block after which an upload is refused, in milliseconds. */
#define PL_UPLOAD_IDLE_MS 100000
/** Maximum number of uploads in the table. */
#define PL_UPLOAD_MAX 8192

/** Result of adding a block. */
typedef enum {
	PL_BLOCK_MORE, /**< added, or a duplicate; more blocks follow */
	PL_BLOCK_COMPLETE, /**< the body is complete */
	PL_BLOCK_GAP, /**< a block before this one is missing */
	PL_BLOCK_TOO_LARGE, /**< the body exceeds its size limit */
	PL_BLOCK_NO_MEMORY, /**< the memory for bodies is used up */
	PL_BLOCK_MALFORMED, /**< length and block size do not agree */
} pl_block_verdict_t;

/** One upload; freed with its request at the latest. */
struct pl_upload {
	GBytes *key;
	pl_request_t *request;
	pl_list_t idle_link; /**< unfinished uploads by last_block_at */
	pl_ms_t last_block_at;
	uint8_t token_len; /**< of the last block */
	uint8_t token[PL_COAP_TOKEN_MAX];
};

typedef struct pl_upload_table pl_upload_table_t;

pl_upload_table_t *pl_upload_table_new(pl_timer_service_t *timers);
void pl_upload_table_delete(pl_upload_table_t *table);

/**
 * Starts an upload for @p request. An older upload with the same key is
 * removed, since a new ticket starts a new operation. Returns the request of
 * the removed upload, or NULL.
 */
pl_request_t *pl_upload_start(pl_upload_table_t *table, pl_request_t *request,
			      const pl_coap_msg_t *msg);

/** Returns the upload with the key of the block @p msg, or NULL. */
pl_upload_t *pl_upload_find(pl_upload_table_t *table, const pl_addr_t *caller,
			    const pl_coap_msg_t *msg);

/**
 * Returns true when @p msg belongs to this upload, and not to a later one with
 * the same key: the upload is unfinished, or @p msg repeats its last block.
 */
bool pl_upload_accepts(const pl_upload_t *upload, const pl_coap_msg_t *msg);

/** Adds the block @p msg to the body. */
pl_block_verdict_t pl_upload_add(pl_upload_table_t *table, pl_upload_t *upload,
				 const pl_coap_msg_t *msg, size_t body_max);

/** Stops adding blocks; late blocks still find the request. */
void pl_upload_finish(pl_upload_table_t *table, pl_upload_t *upload);

/** Frees the upload; its request stays. */
void pl_upload_forget(pl_upload_table_t *table, pl_upload_t *upload);

/** Returns the unfinished upload with the oldest last block, or NULL. */
pl_upload_t *pl_upload_first_unfinished(const pl_upload_table_t *table);

/**
 * Returns an unfinished upload that got no block for PL_UPLOAD_IDLE_MS, or
 * NULL.
 */
pl_upload_t *pl_upload_first_idle(pl_upload_table_t *table);

/** Returns true when the table has room for another upload. */
bool pl_upload_has_room(const pl_upload_table_t *table);

/** Number of unfinished uploads. */
size_t pl_upload_count(const pl_upload_table_t *table);

#endif
