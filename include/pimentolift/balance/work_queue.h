/**
 * @file
 * @defgroup work_queue Queue of work without a slot of the backend server
 *
 * Requests that find no free slot are queued; a policy decides their order.
 * @{
 */
#ifndef PIMENTOLIFT_WORK_QUEUE_H
#define PIMENTOLIFT_WORK_QUEUE_H

#include <pimentolift/list.h>
#include <pimentolift/timer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One work item, embedded in the caller's record. */
typedef struct {
	pl_list_t link; /**< empty while the item is not queued */
	pl_ms_t queued_at; /**< time at which it was queued */
	pl_ms_t due; /**< time after which its answer is late */
	pl_ms_t expires; /**< time at which its caller gives up; 0: unknown */
	uint32_t priority; /**< 0 is the most urgent */
} pl_work_t;

typedef struct pl_work_queue pl_work_queue_t;

/** Conditions under which an item is taken off a queue. */
typedef struct {
	pl_ms_t now;
	pl_ms_t request_ms; /**< mean time that one item takes */
	uint32_t slots; /**< items that are worked on at once; 0: unknown */
	/** Whether an item may start now; other items stay queued. */
	bool (*can_start)(void *ctx, const pl_work_t *work);
	void *ctx;
} pl_work_query_t;

/** A policy for the order in which work gets a slot. */
typedef struct pl_work_order {
	const char *name;
	/** Returns the next item that may start, or NULL; leaves it queued. */
	pl_work_t *(*next)(pl_work_queue_t *queue,
			   const pl_work_query_t *query);
} pl_work_order_t;

/** First in, first out; a baseline for comparison. Callers that return at once
 * after an outage make all work late that arrives after theirs. */
extern const pl_work_order_t pl_work_order_arrival;
/** Work that can still be answered in time goes first, in order of priority.
 * Late work gets the slots that are left, and a small fixed share of all. */
extern const pl_work_order_t pl_work_order_due;
/**
 * Strict priority but for a small fixed share. Within a priority, work that can
 * still be answered in time goes first, latest due time first, until the late
 * work has just the time left that it takes before its callers give up. Then
 * the late work goes first, as long as all of it can be served: while the queue
 * is short, or work arrives more slowly than it is served. In a longer overload
 * some callers fail in any order, and late work gets the small share alone.
 */
extern const pl_work_order_t pl_work_order_rescue;

struct pl_work_queue {
	const pl_work_order_t *order;
	pl_list_t waiting; /**< in order of arrival */
	size_t count;
	/** Items taken ahead of late ones since a late one was last taken. */
	unsigned int ahead_of_late;
	/** Moving sum of the arrivals, at @c arrivals_at. */
	double arrivals;
	pl_ms_t arrivals_at;
};

void pl_work_queue_init(pl_work_queue_t *queue, const pl_work_order_t *order);

/** Initialises an item that is not queued. */
void pl_work_init(pl_work_t *work);
bool pl_work_is_queued(const pl_work_t *work);

void pl_work_queue_add(pl_work_queue_t *queue, pl_work_t *work, pl_ms_t now);
void pl_work_queue_remove(pl_work_queue_t *queue, pl_work_t *work);

/** Counts one item that arrives, whether it is queued or starts at once. */
void pl_work_queue_note_arrival(pl_work_queue_t *queue, pl_ms_t now);

/** Returns an item whose caller has given up by @p now, or NULL; leaves it
 * queued. */
pl_work_t *pl_work_queue_expired(const pl_work_queue_t *queue, pl_ms_t now);

/** Time in which the items are started that go ahead of one of @p priority that
 * expires at @p expires: of the same or a more urgent priority, and the caller
 * gives up earlier. 0 if the rate is not known. */
pl_ms_t pl_work_queue_ahead_ms(const pl_work_queue_t *queue,
			       const pl_work_query_t *query, uint32_t priority,
			       pl_ms_t expires);

/** Number of items that are not late at @p now. */
size_t pl_work_queue_in_time(const pl_work_queue_t *queue, pl_ms_t now);

/** Takes the next item that may start off the queue; NULL if there is none. */
pl_work_t *pl_work_queue_pop(pl_work_queue_t *queue,
			     const pl_work_query_t *query);

#endif
/** @} */
