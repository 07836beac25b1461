/**
 * @file
 * Work that waits, and the orders in which it goes.
 */
#include <pimentolift/work_queue.h>

/** Of so many pieces one is late work, so that none waits for ever. */
#define LATE_SHARE 12
/** Work that has less time left than this many times its mean counts as
 * late: much of it takes longer than the mean. */
#define WORK_TIMES 2

void pl_work_queue_init(pl_work_queue_t *queue, const pl_work_order_t *order)
{
	queue->order = order;
	queue->count = 0;
	queue->in_a_row = 0;
	pl_list_init(&queue->waiting);
}

void pl_work_init(pl_work_t *work)
{
	pl_list_init(&work->link);
}

bool pl_work_waits(const pl_work_t *work)
{
	return !pl_list_empty(&work->link);
}

void pl_work_queue_add(pl_work_queue_t *queue, pl_work_t *work, pl_ms_t now)
{
	work->since = now;
	pl_list_append(&queue->waiting, &work->link);
	queue->count++;
}

void pl_work_queue_remove(pl_work_queue_t *queue, pl_work_t *work)
{
	if (!pl_work_waits(work))
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

pl_work_t *pl_work_queue_next(pl_work_queue_t *queue, const pl_work_ask_t *ask)
{
	pl_work_t *work = queue->order->next(queue, ask);

	if (work)
		pl_work_queue_remove(queue, work);
	return work;
}

static pl_work_t *work_of_(pl_list_t *link)
{
	return PL_CONTAINER_OF(link, pl_work_t, link);
}

static pl_work_t *next_arrived_(pl_work_queue_t *queue,
				const pl_work_ask_t *ask)
{
	pl_list_for_each(link, &queue->waiting) {
		if (ask->fits(ask->ctx, work_of_(link)))
			return work_of_(link);
	}
	return NULL;
}

/* Of what can be in time the last one goes first: when not all of it can,
 * the earliest due would each end a little too late. */
static bool fresher_(const pl_work_t *a, const pl_work_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->due > b->due;
}

/* Of what is late the oldest goes first: its caller gives up next. */
static bool staler_(const pl_work_t *a, const pl_work_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->due < b->due;
}

static pl_work_t *next_due_(pl_work_queue_t *queue, const pl_work_ask_t *ask)
{
	pl_ms_t in_time_until = ask->now + ask->work_ms * WORK_TIMES;
	pl_work_t *in_time = NULL;
	pl_work_t *late = NULL;

	pl_list_for_each(link, &queue->waiting) {
		pl_work_t *work = work_of_(link);

		if (!ask->fits(ask->ctx, work))
			continue;
		if (work->due >= in_time_until) {
			if (!in_time || fresher_(work, in_time))
				in_time = work;
		} else if (!late || staler_(work, late)) {
			late = work;
		}
	}
	if (late && (!in_time || ++queue->in_a_row >= LATE_SHARE)) {
		queue->in_a_row = 0;
		return late;
	}
	return in_time;
}

const pl_work_order_t pl_work_order_arrival = { "arrival", next_arrived_ };
const pl_work_order_t pl_work_order_due = { "due", next_due_ };
