/**
 * @file
 * Work queue and its ordering policies.
 */
#include <pimentolift/balance/work_queue.h>

/** One of this many items is a late one, so that late work does not starve. */
#define LATE_SHARE 12
/** An item with less time left than this many times the mean request time
 * counts as late: many requests take longer than the mean. */
#define MIN_TIME_LEFT_TIMES 2

void pl_work_queue_init(pl_work_queue_t *queue, const pl_work_order_t *order)
{
	queue->order = order;
	queue->count = 0;
	queue->ahead_of_late = 0;
	pl_list_init(&queue->waiting);
}

void pl_work_init(pl_work_t *work)
{
	pl_list_init(&work->link);
}

bool pl_work_is_queued(const pl_work_t *work)
{
	return !pl_list_empty(&work->link);
}

void pl_work_queue_add(pl_work_queue_t *queue, pl_work_t *work, pl_ms_t now)
{
	work->queued_at = now;
	pl_list_append(&queue->waiting, &work->link);
	queue->count++;
}

void pl_work_queue_remove(pl_work_queue_t *queue, pl_work_t *work)
{
	if (!pl_work_is_queued(work))
		return;
	pl_list_remove(&work->link);
	queue->count--;
}

size_t pl_work_queue_in_time(const pl_work_queue_t *queue, pl_ms_t now)
{
	size_t count = 0;

	pl_list_for_each(link, &queue->waiting)
		count += PL_CONTAINER_OF(link, pl_work_t, link)->due >= now;
	return count;
}

pl_work_t *pl_work_queue_pop(pl_work_queue_t *queue,
			     const pl_work_query_t *query)
{
	pl_work_t *work = queue->order->next(queue, query);

	if (work)
		pl_work_queue_remove(queue, work);
	return work;
}

static pl_work_t *work_of_(pl_list_t *link)
{
	return PL_CONTAINER_OF(link, pl_work_t, link);
}

static pl_work_t *next_by_arrival_(pl_work_queue_t *queue,
				   const pl_work_query_t *query)
{
	pl_list_for_each(link, &queue->waiting) {
		if (query->can_start(query->ctx, work_of_(link)))
			return work_of_(link);
	}
	return NULL;
}

/* Order of items that can be in time: by priority, then latest due time first.
 * With the earliest first, an overload would make each end a little late. */
static bool precedes_in_time_(const pl_work_t *a, const pl_work_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->due > b->due;
}

/* Order of late items: by priority, then earliest due time first, as the caller
 * of that item is the next to give up. */
static bool precedes_late_(const pl_work_t *a, const pl_work_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->due < b->due;
}

static pl_work_t *next_by_due_time_(pl_work_queue_t *queue,
				    const pl_work_query_t *query)
{
	pl_ms_t in_time_until =
		query->now + query->request_ms * MIN_TIME_LEFT_TIMES;
	pl_work_t *in_time = NULL;
	pl_work_t *late = NULL;

	pl_list_for_each(link, &queue->waiting) {
		pl_work_t *work = work_of_(link);

		if (!query->can_start(query->ctx, work))
			continue;
		if (work->due >= in_time_until) {
			if (!in_time || precedes_in_time_(work, in_time))
				in_time = work;
		} else if (!late || precedes_late_(work, late)) {
			late = work;
		}
	}
	if (late && (!in_time || ++queue->ahead_of_late >= LATE_SHARE)) {
		queue->ahead_of_late = 0;
		return late;
	}
	return in_time;
}

const pl_work_order_t pl_work_order_arrival = { "arrival", next_by_arrival_ };
const pl_work_order_t pl_work_order_due = { "due", next_by_due_time_ };
