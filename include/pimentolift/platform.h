/**
 * @file
 * @defgroup platform Client of the platform's key-value service
 *
 * Speaks the published key-value HTTP interface of Consul: a read gives a
 * base64 value with its ModifyIndex, a write carries the index that it
 * replaces (`?cas=`), and a read with `?index=` waits until the value is
 * newer. Calls never block: the owner polls, and each call ends with one
 * callback. pimentoctl waits by pl_platform_wait() instead.
 *
 * A write whose answer is lost ends as PL_ERR_UNKNOWN_OUTCOME; only reading
 * the value back can settle it (@ref publish).
 * @{
 */
#ifndef PIMENTOLIFT_PLATFORM_H
#define PIMENTOLIFT_PLATFORM_H

#include <pimentolift/result.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest value of the key-value service, in bytes. */
#define PL_PLATFORM_VALUE_MAX (1024 * 1024)
/** Longest that a watch waits in one call, in milliseconds. */
#define PL_PLATFORM_WAIT_MS 30000

typedef struct pl_platform pl_platform_t;
typedef struct pl_platform_call pl_platform_call_t;

/**
 * How a call ended. Results: PL_OK; PL_ERR_NOT_FOUND, no such key;
 * PL_ERR_CONFLICT, the value is not the one to be replaced;
 * PL_ERR_UNAVAILABLE, nothing was done; PL_ERR_UNKNOWN_OUTCOME, a write may
 * have taken effect; PL_ERR_TIMEOUT; PL_ERR_MALFORMED; PL_ERR_LIMIT.
 */
typedef struct {
	pl_result_t result;
	const char *message; /**< for people; "" on success */
	const char *value; /**< ends in a zero byte past its length */
	size_t value_len;
	uint64_t modify_index; /**< of the value; 0 when there is none */
	uint64_t watch_index; /**< to be passed to the next watch */
} pl_platform_reply_t;

/** Called once, from pl_platform_poll(); @p reply is valid meanwhile. */
typedef void (*pl_platform_done_t)(void *ctx, const pl_platform_reply_t *reply);

/** New client; @p timeout_ms bounds a call, a watch's waiting not counted. */
pl_platform_t *pl_platform_new(const char *url, uint32_t timeout_ms);

/** Frees the client; calls in progress end without their callback. */
void pl_platform_delete(pl_platform_t *platform);

/** Reads @p key. */
pl_platform_call_t *pl_platform_get(pl_platform_t *platform, const char *key,
				    pl_platform_done_t done, void *ctx);

/** Reads @p key once it is newer than @p index, or after the wait. */
pl_platform_call_t *pl_platform_watch(pl_platform_t *platform, const char *key,
				      uint64_t index, pl_platform_done_t done,
				      void *ctx);

/**
 * Writes @p key if its ModifyIndex is still @p replaces; 0 means that the
 * key must not exist. The value is copied.
 */
pl_platform_call_t *pl_platform_put(pl_platform_t *platform, const char *key,
				    const void *value, size_t value_len,
				    uint64_t replaces, pl_platform_done_t done,
				    void *ctx);

/** Ends @p call without its callback. */
void pl_platform_cancel(pl_platform_call_t *call);

/** Moves all calls on and runs the callbacks of those that ended. */
void pl_platform_poll(pl_platform_t *platform);

/** Waits up to @p wait_ms for something to do, then polls. */
void pl_platform_wait(pl_platform_t *platform, uint32_t wait_ms);

/** Calls in progress. */
size_t pl_platform_pending(const pl_platform_t *platform);

/** Whether the last call that ended could not reach the service. */
bool pl_platform_is_down(const pl_platform_t *platform);

#endif
/** @} */
