/**
 * @file
 * Sharded counters and logarithmic histograms.
 */
#include <pimentolift/counter.h>

#include <assert.h>
#include <stdatomic.h>
#include <string.h>

/** Number of shards; threads beyond this number share the last shard. */
#define SHARDS 72
#define STEPS_PER_OCTAVE 4
#define CACHE_LINE_BYTES 64

/* Only the owning thread writes to a shard, so that a relaxed load and store
 * suffice and no locked instruction is needed. The last shard can be shared by
 * several threads and therefore uses atomic additions. */
typedef struct {
	_Alignas(CACHE_LINE_BYTES)
		atomic_uint_fast64_t counters[PL_COUNTER_COUNT];
	atomic_uint_fast64_t histograms[PL_HISTOGRAM_COUNT]
				       [PL_HISTOGRAM_BUCKETS];
} shard_t;

static shard_t shards_[SHARDS];
static atomic_uint next_shard_;
static _Thread_local shard_t *own_shard_;

static const char *const counter_names_[] = {
#define COUNTER_NAME_(id, name, help) name,
	PL_COUNTER_TABLE(COUNTER_NAME_)
#undef COUNTER_NAME_
};

static const char *const counter_helps_[] = {
#define COUNTER_HELP_(id, name, help) help,
	PL_COUNTER_TABLE(COUNTER_HELP_)
#undef COUNTER_HELP_
};

static const char *const histogram_names_[] = {
#define HISTOGRAM_NAME_(id, name, help) name,
	PL_HISTOGRAM_TABLE(HISTOGRAM_NAME_)
#undef HISTOGRAM_NAME_
};

static const char *const histogram_helps_[] = {
#define HISTOGRAM_HELP_(id, name, help) help,
	PL_HISTOGRAM_TABLE(HISTOGRAM_HELP_)
#undef HISTOGRAM_HELP_
};

static shard_t *get_shard_(void)
{
	unsigned int index;

	if (own_shard_)
		return own_shard_;
	index = atomic_fetch_add(&next_shard_, 1);
	own_shard_ = &shards_[index < SHARDS ? index : SHARDS - 1];
	return own_shard_;
}

static void add_to_cell_(const shard_t *shard, atomic_uint_fast64_t *cell,
			 uint64_t amount)
{
	if (shard == &shards_[SHARDS - 1]) {
		atomic_fetch_add_explicit(cell, amount, memory_order_relaxed);
		return;
	}
	atomic_store_explicit(
		cell, atomic_load_explicit(cell, memory_order_relaxed) + amount,
		memory_order_relaxed);
}

void pl_counter_add(pl_counter_t counter, uint64_t amount)
{
	shard_t *shard = get_shard_();

	assert(counter < PL_COUNTER_COUNT);
	add_to_cell_(shard, &shard->counters[counter], amount);
}

uint64_t pl_counter_get(pl_counter_t counter)
{
	uint64_t sum = 0;

	assert(counter < PL_COUNTER_COUNT);
	for (size_t i = 0; i < SHARDS; i++)
		sum += atomic_load_explicit(&shards_[i].counters[counter],
					    memory_order_relaxed);
	return sum;
}

const char *pl_counter_name(pl_counter_t counter)
{
	assert(counter < PL_COUNTER_COUNT);
	return counter_names_[counter];
}

const char *pl_counter_help(pl_counter_t counter)
{
	assert(counter < PL_COUNTER_COUNT);
	return counter_helps_[counter];
}

void pl_counter_reset(void)
{
	for (size_t i = 0; i < SHARDS; i++) {
		for (size_t c = 0; c < PL_COUNTER_COUNT; c++)
			atomic_store(&shards_[i].counters[c], 0);
		for (size_t h = 0; h < PL_HISTOGRAM_COUNT; h++) {
			for (size_t b = 0; b < PL_HISTOGRAM_BUCKETS; b++)
				atomic_store(&shards_[i].histograms[h][b], 0);
		}
	}
}

/* Bucket of @p value: the highest set bit selects the octave, the two bits
 * below it select the step within the octave. */
static size_t bucket_of_(uint64_t value)
{
	unsigned int octave;
	size_t bucket;

	if (value < STEPS_PER_OCTAVE)
		return (size_t)value;
	octave = 63 - (unsigned int)__builtin_clzll(value);
	bucket = (size_t)(octave - 1) * STEPS_PER_OCTAVE +
		 (size_t)((value >> (octave - 2)) & 3);
	return bucket < PL_HISTOGRAM_BUCKETS ? bucket :
					       PL_HISTOGRAM_BUCKETS - 1;
}

uint64_t pl_histogram_bound_us(size_t bucket)
{
	size_t octave = bucket / STEPS_PER_OCTAVE + 1;
	uint64_t step = bucket % STEPS_PER_OCTAVE;

	if (bucket < STEPS_PER_OCTAVE)
		return bucket;
	return ((STEPS_PER_OCTAVE + step + 1) << (octave - 2)) - 1;
}

void pl_histogram_record(pl_histogram_t histogram, uint64_t value_us)
{
	shard_t *shard = get_shard_();

	assert(histogram < PL_HISTOGRAM_COUNT);
	add_to_cell_(shard, &shard->histograms[histogram][bucket_of_(value_us)],
		     1);
}

uint64_t pl_histogram_get(pl_histogram_t histogram, size_t bucket)
{
	uint64_t sum = 0;

	assert(histogram < PL_HISTOGRAM_COUNT && bucket < PL_HISTOGRAM_BUCKETS);
	for (size_t i = 0; i < SHARDS; i++)
		sum += atomic_load_explicit(
			&shards_[i].histograms[histogram][bucket],
			memory_order_relaxed);
	return sum;
}

uint64_t pl_histogram_quantile_us(pl_histogram_t histogram,
				  unsigned int per_mille)
{
	uint64_t counts[PL_HISTOGRAM_BUCKETS];
	uint64_t total = 0;
	uint64_t seen = 0;

	for (size_t b = 0; b < PL_HISTOGRAM_BUCKETS; b++) {
		counts[b] = pl_histogram_get(histogram, b);
		total += counts[b];
	}
	for (size_t b = 0; b < PL_HISTOGRAM_BUCKETS; b++) {
		seen += counts[b];
		if (total > 0 && seen * 1000 >= total * per_mille)
			return pl_histogram_bound_us(b);
	}
	return 0;
}

const char *pl_histogram_name(pl_histogram_t histogram)
{
	assert(histogram < PL_HISTOGRAM_COUNT);
	return histogram_names_[histogram];
}

const char *pl_histogram_help(pl_histogram_t histogram)
{
	assert(histogram < PL_HISTOGRAM_COUNT);
	return histogram_helps_[histogram];
}
