/**
 * @file
 * @defgroup pace Pace of a started server
 *
 * How much work a backend server may be given at once after it has started or
 * come back, found from how it answers. Answers a server that is slow at first
 * and empty, so that all entries would send it their new flows.
 *
 * The limit only says where new flows go while other servers have room. Work
 * that would have to wait otherwise gets every slot.
 * @{
 */
#ifndef PIMENTOLIFT_BALANCE_PACE_H
#define PIMENTOLIFT_BALANCE_PACE_H

#include <pimentolift/timer.h>
#include <stdbool.h>
#include <stdint.h>

/** Kinds of requests whose usual times are told apart. */
#define PL_PACE_KINDS 4
/** One slot, in the unit of limits. */
#define PL_PACE_SLOT 1000

/** Usual time to answer of one kind of request. */
typedef struct {
	uint64_t kind; /**< 0: not in use */
	double usual_ms; /**< long moving mean */
	uint32_t answers; /**< measured, up to a bound */
} pl_pace_usual_t;

typedef struct pl_pace pl_pace_t;

/** What is known when a request was answered. */
typedef struct {
	pl_ms_t now;
	uint32_t slots; /**< of the server */
	/** Mean of the requests in progress over about the last second, in
	 * thousandths. */
	uint32_t mean_busy;
} pl_pace_sample_t;

/** A rule for the limit. */
typedef struct {
	const char *name;
	/** Limit after an answer, in thousandths of a slot. */
	uint32_t (*next)(const pl_pace_t *pace, const pl_pace_sample_t *sample);
} pl_pace_policy_t;

/** What the server served in the last second plus one slot; while answers are
 * slow, at most its slots divided by how slow they are. */
extern const pl_pace_policy_t pl_pace_by_answers;

/** What a change of the limit means. */
typedef enum {
	PL_PACE_SAME,
	PL_PACE_FULL, /**< the limit has ended */
	PL_PACE_SLOWED, /**< a server without a limit got one */
} pl_pace_change_t;

struct pl_pace {
	const pl_pace_policy_t *policy;
	uint32_t limit; /**< thousandths of a slot; 0: all slots */
	pl_ms_t since; /**< when the server started, came back or slowed */
	pl_ms_t until; /**< end of the limit */
	/** Moving mean of the last times to answer, each divided by the usual
	 * one of its kind; 1: as usual. */
	double slowness;
	pl_pace_usual_t usual[PL_PACE_KINDS];
};

void pl_pace_init(pl_pace_t *pace, const pl_pace_policy_t *policy);

/** The server started, or came back, at @p now. What is known of usual times
 * is kept. */
void pl_pace_start(pl_pace_t *pace, pl_ms_t now);

/** A request of @p kind (not 0) was answered after @p took_ms. */
pl_pace_change_t pl_pace_answered(pl_pace_t *pace, uint64_t kind,
				  pl_ms_t took_ms,
				  const pl_pace_sample_t *sample);

/** The server did not answer a request in time, or reset its flow. */
pl_pace_change_t pl_pace_failed(pl_pace_t *pace,
				const pl_pace_sample_t *sample);

/** Limit in thousandths of a slot; 0: as many requests as there are slots. */
uint32_t pl_pace_limit(const pl_pace_t *pace, pl_ms_t now);

/** Usual time to answer in milliseconds, of the kind that was measured most;
 * 0: not known. */
uint32_t pl_pace_usual_ms(const pl_pace_t *pace);

#endif
/** @} */
