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
} probe_t;

static int next_order_;

static void fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	probe_t *probe = ctx;

	(void)timer;
	probe->fired_at = now;
	probe->order = ++next_order_;
}

static void fires_in_order_of_due_time(void **state)
{
	pl_timer_service_t *service = pl_timer_service_new(1000);
	const pl_ms_t due[] = { 1500, 1003, 1003, 9000, 1001 };
	const int order[] = { 4, 2, 3, 5, 1 };
	probe_t probes[5];

	(void)state;
	next_order_ = 0;
	for (int i = 0; i < 5; i++) {
		pl_timer_init(&probes[i].timer, fire_, &probes[i]);
		pl_timer_arm(service, &probes[i].timer, due[i]);
	}
	pl_timer_service_advance(service, 20000);
	for (int i = 0; i < 5; i++) {
		assert_int_equal(probes[i].order, order[i]);
		assert_int_equal(probes[i].fired_at, due[i]);
	}
	assert_int_equal(pl_timer_service_armed(service), 0);
	pl_timer_service_delete(service);
}

static void cancelled_timer_does_not_fire(void **state)
{
	pl_timer_service_t *service = pl_timer_service_new(0);
	probe_t probe = { 0 };

	(void)state;
	pl_timer_init(&probe.timer, fire_, &probe);
	pl_timer_arm(service, &probe.timer, 10);
	pl_timer_cancel(service, &probe.timer);
	pl_timer_service_advance(service, 100);
	assert_int_equal(probe.fired_at, 0);
	pl_timer_service_delete(service);
}

static void next_due_time_is_found(void **state)
{
	pl_timer_service_t *service = pl_timer_service_new(1003);
	probe_t probes[2] = { 0 };

	(void)state;
	assert_int_equal(pl_timer_service_next(service, 1203), 1203);
	for (int i = 0; i < 2; i++)
		pl_timer_init(&probes[i].timer, fire_, &probes[i]);
	/* shares the slot of 1010, one turn of the wheel later */
	pl_timer_arm(service, &probes[0].timer, 1010 + 512 * 8);
	assert_int_equal(pl_timer_service_next(service, 1203), 1203);
	pl_timer_arm(service, &probes[1].timer, 1009);
	assert_int_equal(pl_timer_service_next(service, 1203), 1009);
	assert_int_equal(pl_timer_service_next(service, 1005), 1005);
	pl_timer_service_delete(service);
}

static void timer_of_a_later_turn_waits(void **state)
{
	pl_timer_service_t *service = pl_timer_service_new(0);
	probe_t probe = { 0 };

	(void)state;
	pl_timer_init(&probe.timer, fire_, &probe);
	pl_timer_arm(service, &probe.timer, 512 * 8 + 3);
	pl_timer_service_advance(service, 5);
	assert_int_equal(probe.fired_at, 0);
	pl_timer_service_advance(service, 512 * 8 + 3);
	assert_int_equal(probe.fired_at, 512 * 8 + 3);
	pl_timer_service_delete(service);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(fires_in_order_of_due_time),
		cmocka_unit_test(cancelled_timer_does_not_fire),
		cmocka_unit_test(timer_of_a_later_turn_waits),
		cmocka_unit_test(next_due_time_is_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
