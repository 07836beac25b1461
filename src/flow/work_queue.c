/**
 * @file
 * Work that waits, and the orders in which it goes.
 */
#include <pimentolift/work_queue.h>

/** Of so many pieces one is late work, so that none waits for ever. */
#define LATE_SHARE 6

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

pl_work_t *pl_work_queue_next(pl_work_queue_t *queue, pl_ms_t now,
			      pl_ms_t work_ms)
{
	pl_work_t *work;

	if (queue->count == 0)
		return NULL;
	work = queue->order->next(queue, now, work_ms);
	pl_work_queue_remove(queue, work);
	return work;
}

static pl_work_t *work_of_(pl_list_t *link)
{
	return PL_CONTAINER_OF(link, pl_work_t, link);
}

static pl_work_t *next_arrived_(pl_work_queue_t *queue, pl_ms_t now,
				pl_ms_t work_ms)
{
	(void)now;
	(void)work_ms;
	return work_of_(pl_list_first(&queue->waiting));
}

/* Whether @p a goes before @p b; both are in time, or both are late. */
static bool before_(const pl_work_t *a, const pl_work_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->due < b->due;
}

static pl_work_t *next_due_(pl_work_queue_t *queue, pl_ms_t now,
			    pl_ms_t work_ms)
{
	pl_work_t *in_time = NULL;
	pl_work_t *late = NULL;

	pl_list_for_each(link, &queue->waiting) {
		pl_work_t *work = work_of_(link);
		pl_work_t **best =
			now + work_ms <= work->due ? &in_time : &late;

		if (!*best || before_(work, *best))
			*best = work;
	}
	if (late && (!in_time || ++queue->in_a_row >= LATE_SHARE)) {
		queue->in_a_row = 0;
		return late;
	}
	return in_time;
}

const pl_work_order_t pl_work_order_arrival = { "arrival", next_arrived_ };
const pl_work_order_t pl_work_order_due = { "due", next_due_ };
