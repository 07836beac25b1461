/**
 * @file
 * Admission control and scheduling: which requests may be queued for a slot
 * of the backend server, and which one gets the next free slot.
 */
#ifndef PIMENTOLIFT_AGENT_ADMISSION_H
#define PIMENTOLIFT_AGENT_ADMISSION_H

#include "private/request.h"

/** Minimum body size that makes a request long work, in bytes. */
#define PL_LONG_BODY_BYTES 16384
/** Minimum mean service time of a path of long work, in milliseconds. */
#define PL_LONG_SERVICE_MS 250
/**
 * A path is long work when its mean service time exceeds this multiple of the
 * geometric mean over short work.
 */
#define PL_LONG_SERVICE_FACTOR 4
/** Deadline of long work as a multiple of the deadline of short work. */
#define PL_LONG_DEADLINE_FACTOR 10
/**
 * Maximum share of the time to the deadline that the expected wait and service
 * time may take, in per cent. The remainder is a margin for requests that take
 * longer than the mean.
 */
#define PL_ADMIT_PERCENT 75
/** Short requests started in a row while a long request was eligible. */
#define PL_SHORT_STREAK_MAX 8
/** Number of paths whose mean service time is recorded. */
#define PL_PATH_STATS_MAX 512
/** Service time assumed before the first measurement, in milliseconds. */
#define PL_SERVICE_INITIAL_MS 50

typedef struct pl_scheduler pl_scheduler_t;

/** An admission and scheduling policy. */
typedef struct {
	const char *name;
	/** Returns true to queue @p request, false to refuse it. */
	bool (*admit)(const pl_scheduler_t *scheduler,
		      const pl_request_t *request, uint32_t time_left_ms);
	/** Returns the request for the next free slot, or NULL. */
	pl_request_t *(*next)(pl_scheduler_t *scheduler);
	/** True to refuse a request whose deadline passes in the queue. */
	bool expires;
} pl_admission_policy_t;

/**
 * Admits a request when it is expected to meet its deadline, and reserves
 * slots for short work.
 */
extern const pl_admission_policy_t pl_admission_deadline;

/** Baseline: one first-in-first-out queue of bounded length. */
extern const pl_admission_policy_t pl_admission_fifo;

/** State of a scheduler; written by admission.c only. */
struct pl_scheduler {
	const pl_admission_policy_t *policy;
	uint32_t slots;
	uint32_t short_slots; /**< slots that long work leaves free */
	uint32_t queue_max;
	pl_list_t queues[PL_WORK_CLASS_COUNT];
	size_t queued[PL_WORK_CLASS_COUNT];
	size_t running[PL_WORK_CLASS_COUNT];
	double service_ms[PL_WORK_CLASS_COUNT]; /**< moving averages */
	bool measured[PL_WORK_CLASS_COUNT]; /**< service_ms was measured */
	double short_log_mean; /**< moving average of ln(1 + ms), short work */
	unsigned int short_streak; /**< see PL_SHORT_STREAK_MAX */
	GHashTable *paths; /**< path key to mean service time in ms */
};

void pl_scheduler_init(pl_scheduler_t *scheduler,
		       const pl_admission_policy_t *policy);
void pl_scheduler_finish(pl_scheduler_t *scheduler);

/** Sets the limits; requests that are running are not affected. */
void pl_scheduler_set_limits(pl_scheduler_t *scheduler, uint32_t slots,
			     const pl_service_policy_t *policy);

/** Classifies a request by method, path and body size. */
pl_work_class_t pl_scheduler_classify(const pl_scheduler_t *scheduler,
				      uint8_t method, const char *path,
				      size_t body_len);

/** Time from acceptance to the deadline of a class, in milliseconds. */
uint32_t pl_scheduler_deadline_ms(const pl_service_policy_t *policy,
				  pl_work_class_t work);

/** Returns true when the policy admits @p request to the queue. */
bool pl_scheduler_admit(const pl_scheduler_t *scheduler,
			const pl_request_t *request, uint32_t time_left_ms);

/** Adds @p request to the tail of its queue, or to the head if @p front. */
void pl_scheduler_enqueue(pl_scheduler_t *scheduler, pl_request_t *request,
			  bool front);

/**
 * Removes the request for the next free slot from its queue and counts it as
 * running. Returns NULL when no slot is free or no request is eligible.
 */
pl_request_t *pl_scheduler_dequeue(pl_scheduler_t *scheduler);

/** Returns a queued request, short work first, or NULL. */
pl_request_t *pl_scheduler_peek(const pl_scheduler_t *scheduler);

/** Removes @p request from its queue; no effect if it is not queued. */
void pl_scheduler_remove(pl_scheduler_t *scheduler, pl_request_t *request);

/** Frees the slot of a running request without recording a service time. */
void pl_scheduler_release(pl_scheduler_t *scheduler, pl_request_t *request);

/** Frees the slot of a running request, which took @p service_ms. */
void pl_scheduler_complete(pl_scheduler_t *scheduler, pl_request_t *request,
			   uint64_t service_ms);

/** Expected queueing time of new work of a class, in milliseconds. */
uint32_t pl_scheduler_wait_ms(const pl_scheduler_t *scheduler,
			      pl_work_class_t work);

/** Outstanding work of both classes per slot, in milliseconds. */
uint32_t pl_scheduler_load_ms(const pl_scheduler_t *scheduler);

size_t pl_scheduler_queued(const pl_scheduler_t *scheduler);
size_t pl_scheduler_running(const pl_scheduler_t *scheduler);

#endif
