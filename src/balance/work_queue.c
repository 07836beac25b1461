/**
 * @file
 * Work queue and its ordering policies.
 */
#include <pimentolift/balance/work_queue.h>

#include <math.h>

/** One of this many items is one that the order would pass over: late, or less
 * urgent work does not starve. */
#define LATE_SHARE 12
/** An item with less time left than this many times the mean request time
 * counts as late: many requests take longer than the mean. */
#define MIN_TIME_LEFT_TIMES 2
/** Time constant of the moving sum of arrivals: several requests long, and
 * short compared with the time for which callers wait. */
#define ARRIVALS_TIME_CONSTANT_MS 300.0
/** Late work is rescued during an overload while the whole queue takes less
 * than this part of the time that the next caller to give up has left. */
#define RESCUE_QUEUE_PART 2
/** Work that arrives at less than this share of the rate at which it is served,
 * in percent, leaves room to catch up. */
#define CATCHING_UP_PERCENT 90
#define PERCENT 100
/** Time in which most requests are answered, in percent of the mean. Work whose
 * caller gives up earlier comes last: its slot would probably be wasted. */
#define LIKELY_PERCENT 150

void pl_work_queue_init(pl_work_queue_t *queue, const pl_work_order_t *order)
{
	queue->order = order;
	queue->count = 0;
	queue->ahead_of_late = 0;
	queue->arrivals = 0;
	queue->arrivals_at = 0;
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

static double arrivals_at_(const pl_work_queue_t *queue, pl_ms_t now)
{
	return queue->arrivals * exp(-(double)(now - queue->arrivals_at) /
				     ARRIVALS_TIME_CONSTANT_MS);
}

void pl_work_queue_note_arrival(pl_work_queue_t *queue, pl_ms_t now)
{
	queue->arrivals = arrivals_at_(queue, now) + 1;
	queue->arrivals_at = now;
}

pl_work_t *pl_work_queue_expired(const pl_work_queue_t *queue, pl_ms_t now)
{
	pl_list_for_each(link, &queue->waiting) {
		pl_work_t *work = work_of_(link);

		if (work->expires != 0 && work->expires <= now)
			return work;
	}
	return NULL;
}

static pl_ms_t drain_ms_(const pl_work_query_t *query, size_t count)
{
	return query->slots == 0 ? 0 : count * query->request_ms / query->slots;
}

pl_ms_t pl_work_queue_ahead_ms(const pl_work_queue_t *queue,
			       const pl_work_query_t *query, uint32_t priority,
			       pl_ms_t expires)
{
	size_t count = 0;

	pl_list_for_each(link, &queue->waiting) {
		const pl_work_t *work = work_of_(link);

		count += work->priority <= priority && work->expires != 0 &&
			 work->expires <= expires;
	}
	return drain_ms_(query, count);
}

/* Whether work arrives so slowly that the queue gets shorter. */
static bool is_catching_up_(const pl_work_queue_t *queue,
			    const pl_work_query_t *query)
{
	double served =
		query->slots * ARRIVALS_TIME_CONSTANT_MS / query->request_ms;

	return arrivals_at_(queue, query->now) * PERCENT <
	       served * CATCHING_UP_PERCENT;
}

static pl_ms_t time_left_(const pl_work_t *work, pl_ms_t now)
{
	if (work->expires == 0)
		return UINT64_MAX;
	return work->expires > now ? work->expires - now : 0;
}

/* The work that may start, of the most urgent priority and of all. */
typedef struct {
	pl_work_t *in_time; /* most urgent priority, latest due time */
	pl_work_t *late; /* most urgent priority, the next to expire */
	size_t late_count; /* late items of that priority */
	pl_work_t *passed_over; /* the next to expire of all others */
	pl_work_t *hopeless; /* too little time is left to serve it */
} startable_t;

static bool expires_first_(const pl_work_t *a, const pl_work_t *b)
{
	if (!b || time_left_(a, 0) != time_left_(b, 0))
		return !b || time_left_(a, 0) < time_left_(b, 0);
	return a->due < b->due;
}

static void pass_over_(startable_t *found, pl_work_t *work)
{
	if (work && expires_first_(work, found->passed_over))
		found->passed_over = work;
}

/* Work of a more urgent priority was found: what was found before waits. */
static void start_priority_(startable_t *found)
{
	pass_over_(found, found->in_time);
	pass_over_(found, found->late);
	found->in_time = NULL;
	found->late = NULL;
	found->late_count = 0;
}

static const pl_work_t *any_of_(const startable_t *found)
{
	return found->in_time ? found->in_time : found->late;
}

/* Time in which most requests are answered. */
static pl_ms_t likely_ms_(const pl_work_query_t *query)
{
	return query->request_ms * LIKELY_PERCENT / PERCENT;
}

static void consider_(startable_t *found, const pl_work_query_t *query,
		      pl_work_t *work)
{
	const pl_work_t *best = any_of_(found);

	if (time_left_(work, query->now) < likely_ms_(query)) {
		found->hopeless = work;
		return;
	}
	if (best && work->priority > best->priority) {
		pass_over_(found, work);
		return;
	}
	if (best && work->priority < best->priority)
		start_priority_(found);
	if (work->due >= query->now + query->request_ms * MIN_TIME_LEFT_TIMES) {
		if (!found->in_time || work->due > found->in_time->due)
			found->in_time = work;
		return;
	}
	found->late_count++;
	if (expires_first_(work, found->late))
		found->late = work;
}

/* Whether the late work has to start now, and may. */
static bool is_rescue_due_(const pl_work_queue_t *queue,
			   const pl_work_query_t *query,
			   const startable_t *found)
{
	pl_ms_t left = time_left_(found->late, query->now);
	pl_ms_t needed = drain_ms_(query, found->late_count) +
			 query->request_ms * MIN_TIME_LEFT_TIMES;
	pl_ms_t waits = found->late->expires - found->late->queued_at;

	if (query->slots == 0 || left > needed)
		return false;
	return drain_ms_(query, queue->count) < waits / RESCUE_QUEUE_PART ||
	       is_catching_up_(queue, query);
}

static pl_work_t *next_with_rescue_(pl_work_queue_t *queue,
				    const pl_work_query_t *query)
{
	startable_t found = { 0 };
	pl_work_t *behind;

	pl_list_for_each(link, &queue->waiting) {
		if (query->can_start(query->ctx, work_of_(link)))
			consider_(&found, query, work_of_(link));
	}
	if (!any_of_(&found))
		return found.hopeless;
	if (found.late &&
	    (!found.in_time || is_rescue_due_(queue, query, &found)))
		found.in_time = NULL;
	behind = found.passed_over;
	if (!behind && found.in_time)
		behind = found.late;
	if (behind && ++queue->ahead_of_late >= LATE_SHARE) {
		queue->ahead_of_late = 0;
		return behind;
	}
	return found.in_time ? found.in_time : found.late;
}

const pl_work_order_t pl_work_order_arrival = { "arrival", next_by_arrival_ };
const pl_work_order_t pl_work_order_due = { "due", next_by_due_time_ };
const pl_work_order_t pl_work_order_rescue = { "rescue", next_with_rescue_ };
