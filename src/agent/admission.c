/**
 * @file
 * Scheduler of the backend server's slots, with the deadline policy and the
 * first-in-first-out baseline.
 */
#include "private/admission.h"

#include <assert.h>
#include <math.h>
#include <pimentolift/hash.h>
#include <string.h>

/** Weight of a new measurement in a moving average. */
#define EWMA_WEIGHT 0.125
/** Path segments that tell one kind of work from another. */
#define PATH_SEGMENTS 2

/* Hash of the method and the first segments; identifiers come later. */
static uint64_t path_key_(uint8_t method, const char *path)
{
	size_t len = 0;

	for (int segments = 0; path[len] != '\0'; len++) {
		if (path[len] == '/' && ++segments == PATH_SEGMENTS)
			break;
	}
	return pl_hash(path, len, method);
}

void pl_scheduler_init(pl_scheduler_t *scheduler,
		       const pl_admission_policy_t *policy)
{
	memset(scheduler, 0, sizeof(*scheduler));
	scheduler->policy = policy;
	for (int i = 0; i < PL_WORK_CLASS_COUNT; i++) {
		pl_list_init(&scheduler->queues[i]);
		scheduler->service_ms[i] = PL_SERVICE_GUESS_MS;
	}
	scheduler->paths = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
}

void pl_scheduler_finish(pl_scheduler_t *scheduler)
{
	g_hash_table_destroy(scheduler->paths);
}

void pl_scheduler_set_limits(pl_scheduler_t *scheduler, uint32_t slots,
			     const pl_service_policy_t *policy)
{
	scheduler->slots = slots;
	scheduler->queue_max = policy->queue_max;
	scheduler->short_slots = policy->short_slots;
	if (scheduler->short_slots >= slots)
		scheduler->short_slots = slots > 0 ? slots - 1 : 0;
}

pl_work_class_t pl_scheduler_classify(const pl_scheduler_t *scheduler,
				      uint8_t method, const char *path,
				      size_t body_len)
{
	uint64_t key = path_key_(method, path);
	const double *mean = g_hash_table_lookup(scheduler->paths, &key);

	if (body_len >= PL_LONG_BODY_BYTES)
		return PL_WORK_LONG;
	if (!mean || *mean < PL_LONG_SERVICE_MS)
		return PL_WORK_SHORT;
	return *mean > PL_LONG_FACTOR * expm1(scheduler->typical_log) ?
		       PL_WORK_LONG :
		       PL_WORK_SHORT;
}

uint32_t pl_scheduler_deadline_ms(const pl_service_policy_t *policy,
				  pl_work_class_t work)
{
	if (work == PL_WORK_LONG)
		return policy->deadline_ms * PL_LONG_DEADLINE_FACTOR;
	return policy->deadline_ms;
}

bool pl_scheduler_admit(const pl_scheduler_t *scheduler,
			const pl_request_t *request, uint32_t time_left_ms)
{
	return scheduler->policy->admit(scheduler, request, time_left_ms);
}

void pl_scheduler_push(pl_scheduler_t *scheduler, pl_request_t *request,
		       bool front)
{
	pl_list_t *head = &scheduler->queues[request->work];

	assert(pl_list_empty(&request->queue));
	pl_list_insert_before(front ? head->next : head, &request->queue);
	scheduler->queued[request->work]++;
}

void pl_scheduler_remove(pl_scheduler_t *scheduler, pl_request_t *request)
{
	if (pl_list_empty(&request->queue))
		return;
	pl_list_remove(&request->queue);
	scheduler->queued[request->work]--;
}

pl_request_t *pl_scheduler_take(pl_scheduler_t *scheduler)
{
	pl_request_t *request;

	if (pl_scheduler_running(scheduler) >= scheduler->slots)
		return NULL;
	request = scheduler->policy->next(scheduler);
	if (!request)
		return NULL;
	pl_scheduler_remove(scheduler, request);
	scheduler->running[request->work]++;
	return request;
}

void pl_scheduler_release(pl_scheduler_t *scheduler, pl_request_t *request)
{
	assert(scheduler->running[request->work] > 0);
	scheduler->running[request->work]--;
}

static void average_(double *mean, double value)
{
	*mean += (value - *mean) * EWMA_WEIGHT;
}

/*
 * The geometric mean tells what is typical: a few stragglers hardly move it,
 * while a service that is slow throughout has no long work.
 */
static void learn_class_(pl_scheduler_t *scheduler, pl_work_class_t work,
			 double value)
{
	bool first = !scheduler->measured[work];

	scheduler->measured[work] = true;
	if (first)
		scheduler->service_ms[work] = value;
	average_(&scheduler->service_ms[work], value);
	if (work != PL_WORK_SHORT)
		return;
	if (first)
		scheduler->typical_log = log1p(value);
	average_(&scheduler->typical_log, log1p(value));
}

static void learn_path_(pl_scheduler_t *scheduler, uint64_t key, double value)
{
	double *mean = g_hash_table_lookup(scheduler->paths, &key);

	if (mean) {
		average_(mean, value);
		return;
	}
	if (g_hash_table_size(scheduler->paths) >= PL_PATH_STATS_MAX)
		g_hash_table_remove_all(scheduler->paths);
	mean = g_new(double, 1);
	*mean = value;
	g_hash_table_insert(scheduler->paths, g_memdup2(&key, sizeof(key)),
			    mean);
}

void pl_scheduler_done(pl_scheduler_t *scheduler, pl_request_t *request,
		       uint64_t service_ms)
{
	pl_scheduler_release(scheduler, request);
	learn_class_(scheduler, request->work, (double)service_ms);
	learn_path_(scheduler, path_key_(request->method, request->path),
		    (double)service_ms);
}

size_t pl_scheduler_queued(const pl_scheduler_t *scheduler)
{
	return scheduler->queued[PL_WORK_SHORT] +
	       scheduler->queued[PL_WORK_LONG];
}

size_t pl_scheduler_running(const pl_scheduler_t *scheduler)
{
	return scheduler->running[PL_WORK_SHORT] +
	       scheduler->running[PL_WORK_LONG];
}

/* Slots that a class can count on while the other one is busy. */
static size_t slots_for_(const pl_scheduler_t *scheduler, pl_work_class_t work)
{
	size_t slots = scheduler->slots;
	size_t taken = work == PL_WORK_SHORT ?
			       scheduler->running[PL_WORK_LONG] :
			       scheduler->short_slots;

	return slots > taken + 1 ? slots - taken : 1;
}

static size_t ahead_(const pl_scheduler_t *scheduler, pl_work_class_t work)
{
	return scheduler->queued[work] + scheduler->running[work];
}

uint32_t pl_scheduler_wait_ms(const pl_scheduler_t *scheduler,
			      pl_work_class_t work)
{
	size_t slots = slots_for_(scheduler, work);
	size_t ahead = ahead_(scheduler, work);

	if (ahead < slots)
		return 0;
	return (uint32_t)(scheduler->service_ms[work] *
			  (double)(ahead + 1 - slots) / (double)slots);
}

uint32_t pl_scheduler_load_ms(const pl_scheduler_t *scheduler)
{
	double work = 0;

	for (int i = 0; i < PL_WORK_CLASS_COUNT; i++)
		work += scheduler->service_ms[i] *
			(double)(scheduler->queued[i] + scheduler->running[i]);
	return scheduler->slots > 0 ? (uint32_t)(work / scheduler->slots) :
				      UINT32_MAX;
}

static bool deadline_admit_(const pl_scheduler_t *scheduler,
			    const pl_request_t *request, uint32_t time_left_ms)
{
	pl_work_class_t work = request->work;
	double need_ms = pl_scheduler_wait_ms(scheduler, work) +
			 scheduler->service_ms[work];

	/* an idle slot takes even work that is expected to be late */
	if (ahead_(scheduler, work) < slots_for_(scheduler, work))
		return true;
	if (pl_scheduler_queued(scheduler) >= scheduler->queue_max)
		return false;
	return need_ms <= time_left_ms * (PL_ADMIT_PERCENT / 100.0);
}

static pl_request_t *head_(const pl_scheduler_t *scheduler,
			   pl_work_class_t work)
{
	pl_list_t *first = pl_list_first(&scheduler->queues[work]);

	return first ? PL_CONTAINER_OF(first, pl_request_t, queue) : NULL;
}

pl_request_t *pl_scheduler_first(const pl_scheduler_t *scheduler)
{
	pl_request_t *request = head_(scheduler, PL_WORK_SHORT);

	return request ? request : head_(scheduler, PL_WORK_LONG);
}

/* Short work first, but long work that may run gets its turn. */
static pl_request_t *deadline_next_(pl_scheduler_t *scheduler)
{
	pl_request_t *small = head_(scheduler, PL_WORK_SHORT);
	pl_request_t *large = head_(scheduler, PL_WORK_LONG);

	if (scheduler->running[PL_WORK_LONG] + scheduler->short_slots >=
	    scheduler->slots)
		large = NULL;
	if (large &&
	    (!small || scheduler->short_streak >= PL_SHORT_STREAK_MAX)) {
		scheduler->short_streak = 0;
		return large;
	}
	if (large)
		scheduler->short_streak++;
	return small;
}

const pl_admission_policy_t pl_admission_deadline = {
	.name = "deadline",
	.admit = deadline_admit_,
	.next = deadline_next_,
	.expires = true,
};

static bool fifo_admit_(const pl_scheduler_t *scheduler,
			const pl_request_t *request, uint32_t time_left_ms)
{
	(void)request;
	(void)time_left_ms;
	return pl_scheduler_running(scheduler) < scheduler->slots ||
	       pl_scheduler_queued(scheduler) < scheduler->queue_max;
}

static pl_request_t *fifo_next_(pl_scheduler_t *scheduler)
{
	pl_request_t *a = head_(scheduler, PL_WORK_SHORT);
	pl_request_t *b = head_(scheduler, PL_WORK_LONG);

	if (!a || !b)
		return a ? a : b;
	return a->id < b->id ? a : b;
}

const pl_admission_policy_t pl_admission_fifo = {
	.name = "fifo",
	.admit = fifo_admit_,
	.next = fifo_next_,
	.expires = false,
};
