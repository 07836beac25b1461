/**
 * @file
 * Admission and scheduling: which requests may wait for a slot of the
 * backend server, and which gets the next free one.
 */
#ifndef PIMENTOLIFT_AGENT_ADMISSION_H
#define PIMENTOLIFT_AGENT_ADMISSION_H

#include "private/request.h"

/** A body from this size on makes a request long work, in bytes. */
#define PL_LONG_BODY_BYTES 16384
/** Service time from which a path can be long work, in milliseconds. */
#define PL_LONG_SERVICE_MS 250
/** A path is long when it takes this many times what is typical. */
#define PL_LONG_FACTOR 4
/** Long work may take this many times the deadline of short work. */
#define PL_LONG_DEADLINE_FACTOR 10
/**
 * Share of the time left that the expected wait and service may take, in
 * per cent; the rest is for what takes longer than the mean.
 */
#define PL_ADMIT_PERCENT 75
/** Short requests that may start while a long one could have. */
#define PL_SHORT_STREAK_MAX 8
/** Paths whose service time is remembered. */
#define PL_PATH_STATS_MAX 512
/** Service time assumed before the first measurement, in milliseconds. */
#define PL_SERVICE_GUESS_MS 50

typedef struct pl_scheduler pl_scheduler_t;

/** A way to admit and to schedule; policies and baselines run side by side. */
typedef struct {
	const char *name;
	/** Whether @p request may wait now; otherwise it is refused. */
	bool (*admit)(const pl_scheduler_t *scheduler,
		      const pl_request_t *request, uint32_t time_left_ms);
	/** The request for the next free slot, or NULL. */
	pl_request_t *(*next)(pl_scheduler_t *scheduler);
	/** Whether a request whose deadline passed in the queue is refused. */
	bool expires;
} pl_admission_policy_t;

/** Deadline-bounded queue, slots kept for short work. */
extern const pl_admission_policy_t pl_admission_deadline;

/** Baseline: one queue in order of arrival, bounded by its length. */
extern const pl_admission_policy_t pl_admission_fifo;

/** What a scheduler knows; only admission.c writes to it. */
struct pl_scheduler {
	const pl_admission_policy_t *policy;
	uint32_t slots;
	uint32_t short_slots;
	uint32_t queue_max;
	pl_list_t queues[PL_WORK_CLASS_COUNT];
	size_t queued[PL_WORK_CLASS_COUNT];
	size_t running[PL_WORK_CLASS_COUNT];
	double service_ms[PL_WORK_CLASS_COUNT]; /**< moving averages */
	bool measured[PL_WORK_CLASS_COUNT]; /**< service_ms is no guess */
	double typical_log; /**< moving average of ln(1 + ms), short work */
	unsigned int short_streak;
	GHashTable *paths;
};

void pl_scheduler_init(pl_scheduler_t *scheduler,
		       const pl_admission_policy_t *policy);
void pl_scheduler_finish(pl_scheduler_t *scheduler);

/** Sets the limits; running requests are left alone. */
void pl_scheduler_set_limits(pl_scheduler_t *scheduler, uint32_t slots,
			     const pl_service_policy_t *policy);

/** Class of a request by method, path and size of its body. */
pl_work_class_t pl_scheduler_classify(const pl_scheduler_t *scheduler,
				      uint8_t method, const char *path,
				      size_t body_len);

/** Time from acceptance to the deadline of a class, in milliseconds. */
uint32_t pl_scheduler_deadline_ms(const pl_service_policy_t *policy,
				  pl_work_class_t work);

/** Whether the policy lets @p request wait. */
bool pl_scheduler_admit(const pl_scheduler_t *scheduler,
			const pl_request_t *request, uint32_t time_left_ms);

/** Appends @p request to its queue, or puts it in front. */
void pl_scheduler_push(pl_scheduler_t *scheduler, pl_request_t *request,
		       bool front);

/** Takes the request for the next free slot, or returns NULL. */
pl_request_t *pl_scheduler_take(pl_scheduler_t *scheduler);

/** A request that is queued, or NULL. */
pl_request_t *pl_scheduler_first(const pl_scheduler_t *scheduler);

/** Takes a queued request out of its queue. */
void pl_scheduler_remove(pl_scheduler_t *scheduler, pl_request_t *request);

/** A running request gave its slot back without a measurement. */
void pl_scheduler_release(pl_scheduler_t *scheduler, pl_request_t *request);

/** A running request was answered after @p service_ms. */
void pl_scheduler_done(pl_scheduler_t *scheduler, pl_request_t *request,
		       uint64_t service_ms);

/** Expected wait of new work of a class, in milliseconds. */
uint32_t pl_scheduler_wait_ms(const pl_scheduler_t *scheduler,
			      pl_work_class_t work);

/** Work ahead of new short work per slot, in milliseconds. */
uint32_t pl_scheduler_load_ms(const pl_scheduler_t *scheduler);

size_t pl_scheduler_queued(const pl_scheduler_t *scheduler);
size_t pl_scheduler_running(const pl_scheduler_t *scheduler);

#endif
