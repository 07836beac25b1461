/**
 * @file
 * Event counts in sliding windows, burn rates and alarms.
 */
#include <pimentolift/burn.h>

#include <assert.h>
#include <glib.h>

#define BUCKETS 60
/** Burn rates of the alarms, from the SRE Workbook, chapter 5. */
#define FAST_RATE 14.4
#define MEDIUM_RATE 6.0
#define SLOW_RATE 1.0
#define PPM_PER_UNIT 1000000.0

const char *const pl_burn_window_names[] = { "5m", "30m", "1h", "6h", "3d" };
static_assert(G_N_ELEMENTS(pl_burn_window_names) == PL_BURN_WINDOW_COUNT,
	      "a name for each window");

const char *const pl_burn_alarm_names[] = { "none", "slow", "medium", "fast" };
static_assert(G_N_ELEMENTS(pl_burn_alarm_names) == PL_BURN_ALARM_COUNT,
	      "a name for each alarm");

/** Length of a bucket of each window, in seconds. */
static const uint64_t bucket_s_[] = { 5, 30, 60, 360, 4320 };
static_assert(G_N_ELEMENTS(bucket_s_) == PL_BURN_WINDOW_COUNT,
	      "a width for each window");

/* Events in one bucket; @c number is the time of the bucket divided by its
 * length. */
typedef struct {
	uint64_t number;
	pl_burn_count_t count;
} bucket_t;

struct pl_burn_history {
	gboolean started;
	pl_burn_count_t last;
	bucket_t buckets[PL_BURN_WINDOW_COUNT][BUCKETS];
};

pl_burn_history_t *pl_burn_history_new(void)
{
	return g_new0(pl_burn_history_t, 1);
}

void pl_burn_history_delete(pl_burn_history_t *history)
{
	g_free(history);
}

static void add_events_(pl_burn_history_t *history, pl_burn_window_t window,
			uint64_t now_s, const pl_burn_count_t *events)
{
	uint64_t number = now_s / bucket_s_[window];
	bucket_t *bucket = &history->buckets[window][number % BUCKETS];

	if (bucket->number != number)
		*bucket = (bucket_t){ .number = number };
	bucket->count.good += events->good;
	bucket->count.total += events->total;
}

void pl_burn_history_record(pl_burn_history_t *history, uint64_t now_s,
			    const pl_burn_count_t *since_start)
{
	const pl_burn_count_t events = {
		.good = since_start->good - history->last.good,
		.total = since_start->total - history->last.total,
	};

	for (int window = 0; history->started && window < PL_BURN_WINDOW_COUNT;
	     window++)
		add_events_(history, (pl_burn_window_t)window, now_s, &events);
	history->started = TRUE;
	history->last = *since_start;
}

void pl_burn_history_window(const pl_burn_history_t *history, uint64_t now_s,
			    pl_burn_window_t window, pl_burn_count_t *count)
{
	uint64_t number = now_s / bucket_s_[window];

	assert(window < PL_BURN_WINDOW_COUNT);
	*count = (pl_burn_count_t){ 0 };
	for (int i = 0; i < BUCKETS; i++) {
		const bucket_t *bucket = &history->buckets[window][i];

		if (bucket->number > number ||
		    number - bucket->number >= BUCKETS)
			continue;
		count->good += bucket->count.good;
		count->total += bucket->count.total;
	}
}

double pl_burn_rate(uint32_t target_ppm, const pl_burn_count_t *count)
{
	double bad;

	assert(target_ppm < (uint32_t)PPM_PER_UNIT);
	if (count->total == 0 || count->good >= count->total)
		return 0;
	bad = (double)(count->total - count->good) / (double)count->total;
	return bad / (1.0 - target_ppm / PPM_PER_UNIT);
}

pl_burn_alarm_t pl_burn_alarm(const double rates[PL_BURN_WINDOW_COUNT])
{
	if (rates[PL_BURN_1H] >= FAST_RATE && rates[PL_BURN_5M] >= FAST_RATE)
		return PL_BURN_FAST;
	if (rates[PL_BURN_6H] >= MEDIUM_RATE &&
	    rates[PL_BURN_30M] >= MEDIUM_RATE)
		return PL_BURN_MEDIUM;
	if (rates[PL_BURN_3D] >= SLOW_RATE && rates[PL_BURN_6H] >= SLOW_RATE)
		return PL_BURN_SLOW;
	return PL_BURN_NONE;
}

double pl_burn_days(double rate, uint32_t window_days)
{
	return rate > 0 ? window_days / rate : -1;
}
