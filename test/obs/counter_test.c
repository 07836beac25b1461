#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/counter.h>
#include <pthread.h>

#define THREADS 8
#define ADDITIONS 100000

static void *add_from_thread_(void *ctx)
{
	(void)ctx;
	for (int i = 0; i < ADDITIONS; i++)
		pl_counter_add(PL_COUNTER_REQUESTS, 1);
	return NULL;
}

static void concurrent_additions_are_all_counted(void **state)
{
	pthread_t threads[THREADS];

	(void)state;
	pl_counter_reset();
	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, add_from_thread_, NULL);
	for (int i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	assert_int_equal(pl_counter_get(PL_COUNTER_REQUESTS),
			 THREADS * ADDITIONS);
}

static void quantile_is_within_one_bucket_of_the_value(void **state)
{
	(void)state;
	pl_counter_reset();
	for (uint64_t value = 1; value <= 10000; value++)
		pl_histogram_record(PL_HISTOGRAM_REQUEST, value);
	assert_in_range(pl_histogram_quantile_us(PL_HISTOGRAM_REQUEST, 500),
			5000, 6250);
	assert_in_range(pl_histogram_quantile_us(PL_HISTOGRAM_REQUEST, 990),
			9900, 12375);
}

static void bucket_bounds_ascend(void **state)
{
	(void)state;
	for (size_t b = 1; b < PL_HISTOGRAM_BUCKETS; b++)
		assert_true(pl_histogram_bound_us(b) >
			    pl_histogram_bound_us(b - 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(concurrent_additions_are_all_counted),
		cmocka_unit_test(quantile_is_within_one_bucket_of_the_value),
		cmocka_unit_test(bucket_bounds_ascend),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
