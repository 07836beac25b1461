/**
 * @file
 * Health of a backend server.
 */
#include <pimentolift/balance/health.h>

/** Weight of a request in the share of failures: 1 / RECENT_PARTS. */
#define RECENT_PARTS 8
/** Share of failures from which on a server is suspected, and ejected: about
 * two and three of the last eight requests. */
#define SUSPECT_SHARE 0.2
#define EJECT_SHARE 0.3
/** Requests answered well in a row that end an ejection. Of servers that fail
 * two requests in five, one in seven passes. */
#define GOOD_MIN 5
/** Requests answered badly, from the first probe on, that prolong an ejection.
 * One may be from before the server's recovery. */
#define BAD_MIN 2
/** Time from the first ejection to the probes; it doubles with each ejection in
 * a row. */
#define PROBE_AFTER_MS 1000
#define PROBE_DOUBLINGS_MAX 3
/** Time without an ejection after which one counts less in a row. */
#define SERVED_WELL_MS 10000
/** Ends of a server within this time of each other are not by chance. */
#define ENDS_WITHIN_MS 10000
/** Weight of an answer in the usual ones: 1 / USUAL_PARTS. */
#define USUAL_PARTS 128
/** Answers after which the usual one of a kind is known. */
#define USUAL_MIN_ANSWERS 16
/** An answer is short if its first packet has less data than this part of the
 * usual, and if it took less than this part of the usual time. Either alone
 * happens often to requests that were worked on. */
#define SHORT_BYTES_PART 0.5
#define SHORT_TIME_PART 0.125

static const char *const cause_names_[] = {
#define CAUSE_NAME_(id, name, meaning) [id] = name,
	PL_HEALTH_CAUSE_TABLE(CAUSE_NAME_)
#undef CAUSE_NAME_
};

const char *pl_health_cause_name(pl_health_cause_t cause)
{
	return (unsigned int)cause < PL_HEALTH_CAUSE_COUNT ?
		       cause_names_[cause] :
		       "unknown";
}

const char *pl_health_level_name(uint32_t level)
{
	static const char *const names[] = { "good", "suspect", "probe" };

	return level < PL_HEALTH_OUT ? names[level] : "ejected";
}

void pl_health_init(pl_health_t *health)
{
	*health = (pl_health_t){ 0 };
}

static pl_health_change_t eject_(pl_health_t *health, pl_health_cause_t cause,
				 pl_ms_t now)
{
	unsigned int doublings = health->ejections;
	pl_ms_t well = (now - health->changed_at) / SERVED_WELL_MS;

	if (!health->ejected)
		doublings -=
			(unsigned int)(well < doublings ? well : doublings);
	if (doublings > PROBE_DOUBLINGS_MAX)
		doublings = PROBE_DOUBLINGS_MAX;
	health->ejections = doublings + 1;
	health->ejected = true;
	health->cause = cause;
	health->good = 0;
	health->bad = 0;
	health->changed_at = now;
	health->probe_from = now + ((pl_ms_t)PROBE_AFTER_MS << doublings);
	return PL_HEALTH_EJECTED;
}

static bool is_due_(const pl_health_t *health, pl_ms_t now)
{
	return health->ejected && now >= health->probe_from;
}

/* A request was answered badly, or not at all. One that fails before the probes
 * was sent before the ejection, or on a flow that cannot be moved. */
static pl_health_change_t bad_(pl_health_t *health, pl_health_cause_t cause,
			       pl_ms_t now)
{
	health->good = 0;
	if (health->ejected)
		return is_due_(health, now) && ++health->bad >= BAD_MIN ?
			       eject_(health, cause, now) :
			       PL_HEALTH_SAME;
	health->cause = cause;
	if (health->failed > EJECT_SHARE)
		return eject_(health, cause, now);
	return PL_HEALTH_SAME;
}

static pl_health_change_t good_(pl_health_t *health, pl_ms_t now)
{
	if (!is_due_(health, now) || ++health->good < GOOD_MIN)
		return PL_HEALTH_SAME;
	health->ejected = false;
	health->failed = 0;
	health->changed_at = now;
	return PL_HEALTH_RETURNED;
}

static void add_failed_(pl_health_t *health, double failed)
{
	health->failed += (failed - health->failed) / RECENT_PARTS;
}

/* Record of @p kind, or the least measured one if all are in use. */
static pl_health_usual_t *usual_of_(pl_health_t *health, uint64_t kind)
{
	pl_health_usual_t *least = &health->usual[0];

	for (unsigned int i = 0; i < PL_HEALTH_KINDS; i++) {
		pl_health_usual_t *usual = &health->usual[i];

		if (usual->kind == kind)
			return usual;
		if (usual->answers < least->answers)
			least = usual;
	}
	*least = (pl_health_usual_t){ .kind = kind };
	return least;
}

/* Whether the answer is short; if not, it counts for the usual size. */
static bool is_short_(pl_health_usual_t *usual,
		      const pl_health_answer_t *answer)
{
	if (usual->answers >= USUAL_MIN_ANSWERS &&
	    answer->bytes < usual->bytes * SHORT_BYTES_PART &&
	    (double)answer->took_ms < answer->usual_ms * SHORT_TIME_PART)
		return true;
	if (usual->answers < USUAL_PARTS)
		usual->answers++;
	usual->bytes += (answer->bytes - usual->bytes) / usual->answers;
	return false;
}

pl_health_change_t pl_health_answered(pl_health_t *health,
				      const pl_health_answer_t *answer)
{
	bool is_short = is_short_(usual_of_(health, answer->kind), answer);

	add_failed_(health, is_short ? 1 : 0);
	return is_short ? bad_(health, PL_HEALTH_SHORT, answer->now) :
			  good_(health, answer->now);
}

pl_health_change_t pl_health_failed(pl_health_t *health,
				    pl_health_cause_t cause, pl_ms_t now)
{
	add_failed_(health, 1);
	return bad_(health, cause, now);
}

pl_health_change_t pl_health_ended(pl_health_t *health, pl_ms_t now)
{
	bool again = health->ended_at != 0 &&
		     now - health->ended_at < ENDS_WITHIN_MS;

	health->ended_at = now;
	health->failed = 0;
	return again ? eject_(health, PL_HEALTH_ENDED, now) : PL_HEALTH_SAME;
}

void pl_health_replaced(pl_health_t *health)
{
	health->ejected = false;
	health->failed = 0;
	health->good = 0;
}

bool pl_health_admits(const pl_health_t *health, pl_ms_t now)
{
	return !health->ejected ||
	       (is_due_(health, now) && health->probes == 0);
}

void pl_health_probe_started(pl_health_t *health)
{
	health->probes++;
}

void pl_health_probe_ended(pl_health_t *health)
{
	if (health->probes > 0)
		health->probes--;
}

uint32_t pl_health_level(const pl_health_t *health, pl_ms_t now)
{
	if (!health->ejected)
		return health->failed > SUSPECT_SHARE ? PL_HEALTH_SUSPECT :
							PL_HEALTH_GOOD;
	if (pl_health_admits(health, now))
		return PL_HEALTH_PROBE;
	return PL_HEALTH_OUT + (uint32_t)health->cause - PL_HEALTH_REFUSED;
}

void pl_health_census_add(pl_health_census_t *census, uint32_t level)
{
	census->at[level < PL_HEALTH_LEVELS ? level : PL_HEALTH_LEVELS - 1]++;
}

uint32_t pl_health_out_from(const pl_health_census_t *census)
{
	uint32_t from = PL_HEALTH_LEVELS;
	size_t endpoints = 0;
	size_t out = 0;

	for (unsigned int i = 0; i < PL_HEALTH_LEVELS; i++)
		endpoints += census->at[i];
	while (from > PL_HEALTH_OUT) {
		out += census->at[from - 1];
		if (out * 2 > endpoints)
			break;
		from--;
	}
	return from;
}
