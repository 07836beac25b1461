#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/timer.h>

typedef struct {
	pl_timer_t timer;
	pl_ms_t fired_at;
	int order;
} test_timer_t;

static int next_order_;

static void record_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	test_timer_t *test_timer = ctx;

	(void)timer;
	test_timer->fired_at = now;
	test_timer->order = ++next_order_;
}

static void timers_fire_in_order_of_due_time(void **state)
{
	pl_timer_service_t *service = pl_timer_service_new(1000);
	const pl_ms_t due[] = { 1500, 1003, 1003, 9000, 1001 };
	const int order[] = { 4, 2, 3, 5, 1 };
	test_timer_t test_timers[5];

	(void)state;
	next_order_ = 0;
	for (int i = 0; i < 5; i++) {
		pl_timer_init(&test_timers[i].timer, record_fire_,
			      &test_timers[i]);
		pl_timer_arm(service, &test_timers[i].timer, due[i]);
	}
	pl_timer_service_advance(service, 20000);
	for (int i = 0; i < 5; i++) {
		assert_int_equal(test_timers[i].order, order[i]);
		assert_int_equal(test_timers[i].fired_at, due[i]);
	}
	assert_int_equal(pl_timer_service_armed(service), 0);
	pl_timer_service_delete(service);
}

static void cancelled_timer_does_not_fire(void **state)
{
	pl_timer_service_t *service = pl_timer_service_new(0);
	test_timer_t test_timer = { 0 };

	(void)state;
	pl_timer_init(&test_timer.timer, record_fire_, &test_timer);
	pl_timer_arm(service, &test_timer.timer, 10);
	pl_timer_cancel(service, &test_timer.timer);
	pl_timer_service_advance(service, 100);
	assert_int_equal(test_timer.fired_at, 0);
	pl_timer_service_delete(service);
}

static void next_returns_the_earliest_due_time(void **state)
{
	pl_timer_service_t *service = pl_timer_service_new(1003);
	test_timer_t test_timers[2] = { 0 };

	(void)state;
	assert_int_equal(pl_timer_service_next(service, 1203), 1203);
	for (int i = 0; i < 2; i++)
		pl_timer_init(&test_timers[i].timer, record_fire_,
			      &test_timers[i]);
	/* in the same slot as 1010, one rotation of the wheel later */
	pl_timer_arm(service, &test_timers[0].timer, 1010 + 512 * 8);
	assert_int_equal(pl_timer_service_next(service, 1203), 1203);
	pl_timer_arm(service, &test_timers[1].timer, 1009);
	assert_int_equal(pl_timer_service_next(service, 1203), 1009);
	assert_int_equal(pl_timer_service_next(service, 1005), 1005);
	pl_timer_service_delete(service);
}

static void timer_of_a_later_rotation_does_not_fire_early(void **state)
{
	pl_timer_service_t *service = pl_timer_service_new(0);
	test_timer_t test_timer = { 0 };

	(void)state;
	pl_timer_init(&test_timer.timer, record_fire_, &test_timer);
	pl_timer_arm(service, &test_timer.timer, 512 * 8 + 3);
	pl_timer_service_advance(service, 5);
	assert_int_equal(test_timer.fired_at, 0);
	pl_timer_service_advance(service, 512 * 8 + 3);
	assert_int_equal(test_timer.fired_at, 512 * 8 + 3);
	pl_timer_service_delete(service);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(timers_fire_in_order_of_due_time),
		cmocka_unit_test(cancelled_timer_does_not_fire),
		cmocka_unit_test(timer_of_a_later_rotation_does_not_fire_early),
		cmocka_unit_test(next_returns_the_earliest_due_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
