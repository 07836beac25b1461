/**
 * @file
 * Pace of a started server.
 */
#include <pimentolift/balance/pace.h>

#include <string.h>

/** Time for which a server is paced: by then the mean over the last second
 * shows what it serves to 95 %, and new flows are placed by that. */
#define PACE_MS 3000
/** Weight of a measurement in the usual time: 1 / USUAL_PARTS. */
#define USUAL_PARTS 128
/** Measurements after which the usual time of a kind is known. */
#define USUAL_MIN_ANSWERS 16
/** Weight of a measurement in the recent slowness: 1 / RECENT_PARTS. */
#define RECENT_PARTS 8
/** Answers count as quick up to this many times the usual time: the mean of a
 * few requests differs from the usual time by as much. */
#define QUICK_TIMES 1.5
/** Mean time to answer, in times the usual one, from which on a server without
 * a limit counts as slow: far above what chance does. */
#define SLOW_TIMES 3.0
/** Slowness that a failure counts as. A server that fails two requests in five
 * and answers the others as usual is slow then. */
#define FAILED_TIMES 8.0
/** Growth over what was served in the last second. */
#define STEP PL_PACE_SLOT

void pl_pace_init(pl_pace_t *pace, const pl_pace_policy_t *policy)
{
	memset(pace, 0, sizeof(*pace));
	pace->policy = policy;
	pace->slowness = 1;
}

static void limit_(pl_pace_t *pace, pl_ms_t now)
{
	pace->limit = PL_PACE_SLOT;
	pace->since = now;
	pace->until = now + PACE_MS;
}

void pl_pace_start(pl_pace_t *pace, pl_ms_t now)
{
	pace->slowness = 1;
	limit_(pace, now);
}

uint32_t pl_pace_limit(const pl_pace_t *pace, pl_ms_t now)
{
	return now < pace->until ? pace->limit : 0;
}

/* Record of @p kind, or the least measured one if all are in use. */
static pl_pace_usual_t *usual_of_(pl_pace_t *pace, uint64_t kind)
{
	pl_pace_usual_t *least = &pace->usual[0];

	for (unsigned int i = 0; i < PL_PACE_KINDS; i++) {
		pl_pace_usual_t *usual = &pace->usual[i];

		if (usual->kind == kind)
			return usual;
		if (usual->answers < least->answers)
			least = usual;
	}
	*least = (pl_pace_usual_t){ .kind = kind };
	return least;
}

/* Adds a measurement; returns it as a multiple of the usual time. */
static double measure_(pl_pace_t *pace, uint64_t kind, double took_ms)
{
	pl_pace_usual_t *usual = usual_of_(pace, kind);
	double slowness = 1;

	if (usual->answers >= USUAL_MIN_ANSWERS && usual->usual_ms > 0)
		slowness = took_ms / usual->usual_ms;
	if (usual->answers < USUAL_PARTS)
		usual->answers++;
	usual->usual_ms += (took_ms - usual->usual_ms) / usual->answers;
	return slowness;
}

/* Adds a measurement to the recent ones and applies the policy. */
static pl_pace_change_t update_(pl_pace_t *pace, double slowness,
				const pl_pace_sample_t *sample)
{
	bool limited = pace->limit > 0;

	pace->slowness += (slowness - pace->slowness) / RECENT_PARTS;
	if (pace->slowness > SLOW_TIMES) {
		/* from its recovery on it is paced like a started server */
		if (!limited)
			limit_(pace, sample->now);
		pace->until = sample->now + PACE_MS;
	} else if (limited && sample->now >= pace->until) {
		pace->limit = 0;
		return PL_PACE_FULL;
	}
	if (pace->limit == 0)
		return PL_PACE_SAME;
	pace->limit = pace->policy->next(pace, sample);
	if (pace->limit < PL_PACE_SLOT)
		pace->limit = PL_PACE_SLOT;
	if (pace->limit > sample->slots * PL_PACE_SLOT)
		pace->limit = sample->slots * PL_PACE_SLOT;
	return limited ? PL_PACE_SAME : PL_PACE_SLOWED;
}

pl_pace_change_t pl_pace_answered(pl_pace_t *pace, uint64_t kind,
				  pl_ms_t took_ms,
				  const pl_pace_sample_t *sample)
{
	return update_(pace, measure_(pace, kind, (double)took_ms), sample);
}

pl_pace_change_t pl_pace_failed(pl_pace_t *pace, const pl_pace_sample_t *sample)
{
	return update_(pace, FAILED_TIMES, sample);
}

uint32_t pl_pace_usual_ms(const pl_pace_t *pace)
{
	const pl_pace_usual_t *most = &pace->usual[0];

	for (unsigned int i = 1; i < PL_PACE_KINDS; i++) {
		if (pace->usual[i].answers > most->answers)
			most = &pace->usual[i];
	}
	return (uint32_t)most->usual_ms;
}

/* From one slot to all by age: a server that gets little work is not kept from
 * more of it for longer than this. */
static uint32_t ramp_(const pl_pace_t *pace, const pl_pace_sample_t *sample)
{
	uint64_t age = sample->now - pace->since;

	return (uint32_t)(PL_PACE_SLOT +
			  (sample->slots - 1) * PL_PACE_SLOT * age / PACE_MS);
}

static uint32_t next_by_answers_(const pl_pace_t *pace,
				 const pl_pace_sample_t *sample)
{
	uint32_t limit = sample->mean_busy + STEP;
	uint32_t ramp = ramp_(pace, sample);
	double bears = sample->slots * PL_PACE_SLOT / pace->slowness;

	if (limit < ramp)
		limit = ramp;
	return pace->slowness > QUICK_TIMES && bears < limit ? (uint32_t)bears :
							       limit;
}

const pl_pace_policy_t pl_pace_by_answers = { "answers", next_by_answers_ };
