#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>
#include <pimentolift/burn.h>

#define START_S 1000000
#define HOUR_S 3600

static void check_(const pl_burn_history_t *history, uint64_t now_s,
		   pl_burn_window_t window, uint64_t good, uint64_t total)
{
	pl_burn_count_t count;

	pl_burn_history_window(history, now_s, window, &count);
	assert_int_equal(count.good, good);
	assert_int_equal(count.total, total);
}

static void windows_hold_what_happened_in_them(void **state)
{
	pl_burn_history_t *history = pl_burn_history_new();
	pl_burn_count_t count = { 500, 1000 };
	uint64_t now_s = START_S;

	(void)state;
	/* what was counted before the history began is no event */
	pl_burn_history_record(history, now_s, &count);
	check_(history, now_s, PL_BURN_3D, 0, 0);
	/* two hours with one bad event in ten, then one with none */
	for (int i = 0; i < 3 * HOUR_S / 5; i++) {
		now_s += 5;
		count.total += 10;
		count.good += i < 2 * HOUR_S / 5 ? 9 : 10;
		pl_burn_history_record(history, now_s, &count);
	}
	check_(history, now_s, PL_BURN_5M, 600, 600);
	check_(history, now_s, PL_BURN_6H, 3 * 7200 - 1440, 3 * 7200);
	check_(history, now_s, PL_BURN_3D, 3 * 7200 - 1440, 3 * 7200);
	/* everything leaves its window in time */
	check_(history, now_s + 300, PL_BURN_5M, 0, 0);
	check_(history, now_s + 7 * HOUR_S, PL_BURN_6H, 0, 0);
	check_(history, now_s + 7 * HOUR_S, PL_BURN_3D, 3 * 7200 - 1440,
	       3 * 7200);
	pl_burn_history_delete(history);
}

static void rates_and_alarms_are_those_of_known_counts(void **state)
{
	const pl_burn_count_t one_percent = { 990, 1000 };
	const pl_burn_count_t nothing = { 0, 0 };
	const pl_burn_count_t all_bad = { 0, 50 };

	(void)state;
	/* 99.9 %: one bad in a hundred is ten times the allowance */
	assert_true(fabs(pl_burn_rate(999000, &one_percent) - 10) < 1e-6);
	assert_true(fabs(pl_burn_rate(500000, &all_bad) - 2) < 1e-6);
	assert_true(pl_burn_rate(999000, &nothing) == 0);
	assert_true(fabs(pl_burn_days(14, 28) - 2) < 1e-6);
	assert_true(pl_burn_days(0, 28) < 0);

	/* both windows of a pair must burn */
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
		cmocka_unit_test(windows_hold_what_happened_in_them),
		cmocka_unit_test(rates_and_alarms_are_those_of_known_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
