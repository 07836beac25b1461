#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>
#include <pimentolift/burn.h>

#define START_S 1000000
#define HOUR_S 3600

static void check_window_(const pl_burn_history_t *history, uint64_t now_s,
			  pl_burn_window_t window, uint64_t good,
			  uint64_t total)
{
	pl_burn_count_t count;

	pl_burn_history_window(history, now_s, window, &count);
	assert_int_equal(count.good, good);
	assert_int_equal(count.total, total);
}

static void each_window_counts_only_its_events(void **state)
{
	pl_burn_history_t *history = pl_burn_history_new();
	pl_burn_count_t count = { 500, 1000 };
	uint64_t now_s = START_S;

	(void)state;
	/* the first record is the baseline and not counted as events */
	pl_burn_history_record(history, now_s, &count);
	check_window_(history, now_s, PL_BURN_3D, 0, 0);
	/* two hours with one bad event in ten, then one hour without any */
	for (int i = 0; i < 3 * HOUR_S / 5; i++) {
		now_s += 5;
		count.total += 10;
		count.good += i < 2 * HOUR_S / 5 ? 9 : 10;
		pl_burn_history_record(history, now_s, &count);
	}
	check_window_(history, now_s, PL_BURN_5M, 600, 600);
	check_window_(history, now_s, PL_BURN_6H, 3 * 7200 - 1440, 3 * 7200);
	check_window_(history, now_s, PL_BURN_3D, 3 * 7200 - 1440, 3 * 7200);
	/* events leave each window when it has passed */
	check_window_(history, now_s + 300, PL_BURN_5M, 0, 0);
	check_window_(history, now_s + 7 * HOUR_S, PL_BURN_6H, 0, 0);
	check_window_(history, now_s + 7 * HOUR_S, PL_BURN_3D, 3 * 7200 - 1440,
		      3 * 7200);
	pl_burn_history_delete(history);
}

static void rates_and_alarms_match_known_counts(void **state)
{
	const pl_burn_count_t one_percent = { 990, 1000 };
	const pl_burn_count_t nothing = { 0, 0 };
	const pl_burn_count_t all_bad = { 0, 50 };

	(void)state;
	/* target 99.9 %: one bad event in a hundred is ten times the budget */
	assert_true(fabs(pl_burn_rate(999000, &one_percent) - 10) < 1e-6);
	assert_true(fabs(pl_burn_rate(500000, &all_bad) - 2) < 1e-6);
	assert_true(pl_burn_rate(999000, &nothing) == 0);
	assert_true(fabs(pl_burn_days(14, 28) - 2) < 1e-6);
	assert_true(pl_burn_days(0, 28) < 0);

	/* both windows of a pair must reach the rate */
	assert_int_equal(pl_burn_alarm((double[]){ 15, 15, 15, 1, 0 }),
			 PL_BURN_FAST);
	assert_int_equal(pl_burn_alarm((double[]){ 0, 15, 15, 1, 0 }),
			 PL_BURN_NONE);
	assert_int_equal(pl_burn_alarm((double[]){ 0, 7, 15, 6, 0 }),
			 PL_BURN_MEDIUM);
	assert_int_equal(pl_burn_alarm((double[]){ 0, 0, 0, 1.5, 1.1 }),
			 PL_BURN_SLOW);
	assert_int_equal(pl_burn_alarm((double[]){ 0, 0, 0, 0.5, 1.1 }),
			 PL_BURN_NONE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_window_counts_only_its_events),
		cmocka_unit_test(rates_and_alarms_match_known_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
