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
/** Leading path segments that identify a kind of work. */
#define PATH_KEY_SEGMENTS 2

/*
 * Hash of the method and the leading path segments. Segments after those are
 * taken to be resource identifiers, which say nothing about the kind of work.
 */
static uint64_t path_key_(uint8_t method, const char *path)
{
	size_t len = 0;

	for (int segments = 0; path[len] != '\0'; len++) {
		if (path[len] == '/' && ++segments == PATH_KEY_SEGMENTS)
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
		scheduler->service_ms[i] = PL_SERVICE_INITIAL_MS;
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
	return *mean > PL_LONG_SERVICE_FACTOR *
				       expm1(scheduler->short_log_mean) ?
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

void pl_scheduler_enqueue(pl_scheduler_t *scheduler, pl_request_t *request,
			  bool front)
{
	pl_list_t *head = &scheduler->queues[request->work];

	assert(pl_list_empty(&request->queue_link));
	pl_list_insert_before(front ? head->next : head, &request->queue_link);
	scheduler->queued[request->work]++;
}

void pl_scheduler_remove(pl_scheduler_t *scheduler, pl_request_t *request)
{
	if (pl_list_empty(&request->queue_link))
		return;
	pl_list_remove(&request->queue_link);
	scheduler->queued[request->work]--;
}

pl_request_t *pl_scheduler_dequeue(pl_scheduler_t *scheduler)
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

static void update_average_(double *mean, double value)
{
	*mean += (value - *mean) * EWMA_WEIGHT;
}

/*
 * The typical service time of short work is a geometric mean, because a few
 * very slow requests hardly change it. In a service whose requests are all
 * slow, the mean is high, and no request is classified as long work.
 */
static void record_class_time_(pl_scheduler_t *scheduler, pl_work_class_t work,
			       double value)
{
	bool first = !scheduler->measured[work];

	scheduler->measured[work] = true;
	if (first)
		scheduler->service_ms[work] = value;
	update_average_(&scheduler->service_ms[work], value);
	if (work != PL_WORK_SHORT)
		return;
	if (first)
		scheduler->short_log_mean = log1p(value);
	update_average_(&scheduler->short_log_mean, log1p(value));
}

static void record_path_time_(pl_scheduler_t *scheduler, uint64_t key,
			      double value)
{
	double *mean = g_hash_table_lookup(scheduler->paths, &key);

	if (mean) {
		update_average_(mean, value);
		return;
	}
	if (g_hash_table_size(scheduler->paths) >= PL_PATH_STATS_MAX)
		g_hash_table_remove_all(scheduler->paths);
	mean = g_new(double, 1);
	*mean = value;
	g_hash_table_insert(scheduler->paths, g_memdup2(&key, sizeof(key)),
			    mean);
}

void pl_scheduler_complete(pl_scheduler_t *scheduler, pl_request_t *request,
			   uint64_t service_ms)
{
	pl_scheduler_release(scheduler, request);
	record_class_time_(scheduler, request->work, (double)service_ms);
	record_path_time_(scheduler, path_key_(request->method, request->path),
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

/* Slots that are available to a class while the other class is busy. */
static size_t class_slots_(const pl_scheduler_t *scheduler,
			   pl_work_class_t work)
{
	size_t slots = scheduler->slots;
	size_t taken = work == PL_WORK_SHORT ?
			       scheduler->running[PL_WORK_LONG] :
			       scheduler->short_slots;

	return slots > taken + 1 ? slots - taken : 1;
}

static size_t outstanding_(const pl_scheduler_t *scheduler,
			   pl_work_class_t work)
{
	return scheduler->queued[work] + scheduler->running[work];
}

uint32_t pl_scheduler_wait_ms(const pl_scheduler_t *scheduler,
			      pl_work_class_t work)
{
	size_t slots = class_slots_(scheduler, work);
	size_t ahead = outstanding_(scheduler, work);

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

	/* A free slot is used even for work that is expected to be late. */
	if (outstanding_(scheduler, work) < class_slots_(scheduler, work))
		return true;
	if (pl_scheduler_queued(scheduler) >= scheduler->queue_max)
		return false;
	return need_ms <= time_left_ms * (PL_ADMIT_PERCENT / 100.0);
}

static pl_request_t *queue_head_(const pl_scheduler_t *scheduler,
				 pl_work_class_t work)
{
	pl_list_t *first = pl_list_first(&scheduler->queues[work]);

	return first ? PL_CONTAINER_OF(first, pl_request_t, queue_link) : NULL;
}

pl_request_t *pl_scheduler_peek(const pl_scheduler_t *scheduler)
{
	pl_request_t *request = queue_head_(scheduler, PL_WORK_SHORT);

	return request ? request : queue_head_(scheduler, PL_WORK_LONG);
}

/*
 * Prefers short work, but starts a long request that is eligible after
 * PL_SHORT_STREAK_MAX short ones, so that long work does not starve.
 */
static pl_request_t *deadline_next_(pl_scheduler_t *scheduler)
{
	pl_request_t *short_head = queue_head_(scheduler, PL_WORK_SHORT);
	pl_request_t *long_head = queue_head_(scheduler, PL_WORK_LONG);

	if (scheduler->running[PL_WORK_LONG] + scheduler->short_slots >=
	    scheduler->slots)
		long_head = NULL;
	if (long_head &&
	    (!short_head || scheduler->short_streak >= PL_SHORT_STREAK_MAX)) {
		scheduler->short_streak = 0;
		return long_head;
	}
	if (long_head)
		scheduler->short_streak++;
	return short_head;
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
	pl_request_t *a = queue_head_(scheduler, PL_WORK_SHORT);
	pl_request_t *b = queue_head_(scheduler, PL_WORK_LONG);

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
