/**
 * @file
 * @defgroup kv Key-value store
 *
 * Interface to the platform's key-value store, as a table of function
 * pointers: reads, watches, conditional writes and lists of keys. platform/
 * implements it over the network; tests implement it in memory. Calls do not
 * block: the owner polls, and each call ends with one callback. pimentoctl
 * blocks in pl_kv_wait() instead.
 *
 * A write whose response is lost ends with PL_ERR_UNKNOWN_OUTCOME; the outcome
 * can be determined only by reading the value back (@ref publish).
 * @{
 */
#ifndef PIMENTOLIFT_KV_H
#define PIMENTOLIFT_KV_H

#include <pimentolift/result.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum size of a value, in bytes. */
#define PL_KV_VALUE_MAX (1024 * 1024)
/** Maximum time that one watch call waits for a change, in milliseconds. */
#define PL_KV_WAIT_MS 30000
/** Condition of a write that holds for any value and for an absent key. */
#define PL_KV_ANY UINT64_MAX
/** Maximum length of a key, in bytes. */
#define PL_KV_KEY_MAX 200

typedef struct pl_kv pl_kv_t;
typedef struct pl_kv_call pl_kv_call_t;

/** One key with its value. */
typedef struct {
	const char *key;
	const char *value; /**< followed by a NUL not counted in the length */
	size_t value_len;
	uint64_t modify_index;
	bool deleted; /**< a change that removed the key; @c value is empty */
} pl_kv_item_t;

/** Position in the store's history of changes. */
typedef struct {
	/**
	 * Generation of the store's data. It rises when the store comes back
	 * from an older copy: later changes are lost, and their indexes are
	 * assigned to other changes. 0: the store did not state it.
	 */
	uint64_t generation;
	uint64_t index; /**< of the last change; 0: no position */
} pl_kv_position_t;

/**
 * Result of a call: PL_OK; PL_ERR_NOT_FOUND, the key does not exist or a watch
 * saw no change; PL_ERR_CONFLICT, the condition of the write does not hold;
 * PL_ERR_UNAVAILABLE, the store is unavailable and nothing was written;
 * PL_ERR_UNKNOWN_OUTCOME, a write may have taken effect; PL_ERR_TIMEOUT;
 * PL_ERR_MALFORMED; PL_ERR_LIMIT.
 */
typedef struct {
	pl_result_t result;
	const char *message; /**< human-readable error; "" on success */
	const char *value; /**< followed by a NUL not counted in the length */
	size_t value_len;
	uint64_t modify_index; /**< of the value; 0 when the key is absent */
	pl_kv_position_t position; /**< of the store, for the next watch */
	/** Result of pl_kv_list() and pl_kv_watch_range(). */
	const pl_kv_item_t *items;
	size_t item_count;
	/** Ranges: @c items are all keys, not only the changes since. */
	bool complete;
	bool more; /**< further keys follow the last item */
} pl_kv_reply_t;

/** Called once, from pl_kv_poll(); @p reply is valid during the call. */
typedef void (*pl_kv_done_t)(void *ctx, const pl_kv_reply_t *reply);

/** A write and its condition. */
typedef struct {
	const char *key;
	const void *value; /**< copied */
	size_t value_len;
	/**
	 * Modify index that the key must have; 0: the key must not exist;
	 * @ref PL_KV_ANY: no condition.
	 */
	uint64_t expected_index;
} pl_kv_write_t;

/** The keys to list. */
typedef struct {
	const char *prefix;
	const char *after; /**< list only keys after this one; NULL: all */
	bool stale; /**< accept a list that is seconds old; cheaper to serve */
} pl_kv_range_t;

/** Functions of a store implementation. */
typedef struct {
	pl_kv_call_t *(*get)(pl_kv_t *kv, const char *key, pl_kv_done_t done,
			     void *ctx);
	pl_kv_call_t *(*watch)(pl_kv_t *kv, const char *key,
			       pl_kv_position_t after, uint32_t wait_ms,
			       pl_kv_done_t done, void *ctx);
	pl_kv_call_t *(*watch_range)(pl_kv_t *kv, const char *prefix,
				     pl_kv_position_t after, uint32_t wait_ms,
				     pl_kv_done_t done, void *ctx);
	pl_kv_call_t *(*put)(pl_kv_t *kv, const pl_kv_write_t *write,
			     pl_kv_done_t done, void *ctx);
	pl_kv_call_t *(*remove)(pl_kv_t *kv, const char *key,
				uint64_t modify_index, pl_kv_done_t done,
				void *ctx);
	pl_kv_call_t *(*list)(pl_kv_t *kv, const pl_kv_range_t *range,
			      pl_kv_done_t done, void *ctx);
	void (*cancel)(pl_kv_call_t *call);
	void (*poll)(pl_kv_t *kv);
	int (*fd)(const pl_kv_t *kv);
	int (*timeout_ms)(const pl_kv_t *kv);
	void (*wait)(pl_kv_t *kv, uint32_t wait_ms);
	size_t (*pending)(const pl_kv_t *kv);
	bool (*is_down)(const pl_kv_t *kv);
	void (*destroy)(pl_kv_t *kv);
} pl_kv_ops_t;

/** Called when a generation of the store's data becomes known that is higher
 * than @p before, which is 0 if none was known. */
typedef void (*pl_kv_generation_changed_t)(void *ctx, uint64_t generation,
					   uint64_t before);

/** A store; implementations embed it as their first member. */
struct pl_kv {
	const pl_kv_ops_t *ops;
	uint64_t generation; /**< highest known; 0: none */
	pl_kv_generation_changed_t generation_changed;
	void *generation_ctx;
};

/** A call in progress; implementations embed it as their first member. */
struct pl_kv_call {
	pl_kv_t *kv;
};

/** Frees the store's client; pending calls end without a callback. */
void pl_kv_delete(pl_kv_t *kv);

pl_kv_call_t *pl_kv_get(pl_kv_t *kv, const char *key, pl_kv_done_t done,
			void *ctx);

/**
 * Reads @p key as soon as it changes after @p after, or after @p wait_ms. The
 * read takes place immediately when the index in @p after is 0, when the store
 * no longer has the changes since then, or when @p after belongs to another
 * generation than the last response. A change whose notification was
 * missed is found when the wait ends.
 */
pl_kv_call_t *pl_kv_watch(pl_kv_t *kv, const char *key, pl_kv_position_t after,
			  uint32_t wait_ms, pl_kv_done_t done, void *ctx);

/**
 * Like pl_kv_watch(), for all keys with the prefix @p prefix: returns their
 * changes after @p after in the order made, or, where pl_kv_watch() reads the
 * key, all keys (pl_kv_reply_t.complete). PL_ERR_NOT_FOUND: no change.
 */
pl_kv_call_t *pl_kv_watch_range(pl_kv_t *kv, const char *prefix,
				pl_kv_position_t after, uint32_t wait_ms,
				pl_kv_done_t done, void *ctx);

/** Writes a key if the condition in @p write holds. */
pl_kv_call_t *pl_kv_put(pl_kv_t *kv, const pl_kv_write_t *write,
			pl_kv_done_t done, void *ctx);

/** Removes a key if its modify index is still @p modify_index. */
pl_kv_call_t *pl_kv_remove(pl_kv_t *kv, const char *key, uint64_t modify_index,
			   pl_kv_done_t done, void *ctx);

/** Lists the keys of @p range with their values. */
pl_kv_call_t *pl_kv_list(pl_kv_t *kv, const pl_kv_range_t *range,
			 pl_kv_done_t done, void *ctx);

/** Cancels @p call; its callback is not called. */
void pl_kv_cancel(pl_kv_call_t *call);

/** Processes pending I/O and runs the callbacks of calls that ended. */
void pl_kv_poll(pl_kv_t *kv);

/** File descriptor that is readable when pl_kv_poll() has work. */
int pl_kv_fd(const pl_kv_t *kv);

/**
 * Time until pl_kv_poll() must be called even if the descriptor is not
 * readable, in milliseconds; -1 for no limit. A new call may shorten it.
 */
int pl_kv_timeout_ms(const pl_kv_t *kv);

/** Waits up to @p wait_ms for work, then calls pl_kv_poll(). */
void pl_kv_wait(pl_kv_t *kv, uint32_t wait_ms);

/** Number of calls in progress. */
size_t pl_kv_pending(const pl_kv_t *kv);

/** Highest generation of the store's data known to the client; 0: none. */
uint64_t pl_kv_generation(const pl_kv_t *kv);

/**
 * Notes that the store's data has reached @p generation. Implementations call
 * it for every response, after the callback of the call; the owner calls it for
 * generations that other members report. Lower generations are ignored.
 */
void pl_kv_note_generation(pl_kv_t *kv, uint64_t generation);

/**
 * Result of a call that ended with @p result in @p generation. If a higher one
 * is known, a restore of the store has undone what the response says: a read
 * fails with PL_ERR_UNAVAILABLE, a write (@p write) with
 * PL_ERR_UNKNOWN_OUTCOME.
 */
pl_result_t pl_kv_result_in_generation(const pl_kv_t *kv, pl_result_t result,
				       uint64_t generation, bool write);

/** Has @p changed called when a higher generation becomes known. It may start
 * and cancel calls. */
void pl_kv_on_generation(pl_kv_t *kv, pl_kv_generation_changed_t changed,
			 void *ctx);

/** Whether the most recently ended call failed to reach the store. */
bool pl_kv_is_down(const pl_kv_t *kv);

#endif
/** @} */
