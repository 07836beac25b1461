#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "view_fake.h"

#include <pimentolift/counter.h>

#define CALLERS 8
#define SETTLE_MS 50
/** Longer than the first retransmission timeout. */
#define RETRANSMIT_WAIT_MS 4000
/** The retransmissions to a caller take 35 s to 52.5 s, depending on the
 * jitter; with the seed of the test they go on after this time. */
#define STILL_RETRANSMITTING_MS 40000
/** Longer than all retransmissions to a caller. */
#define GIVE_UP_MS 100000
/** Waits that end before and after the deadline of a registration, 5 s. */
#define BEFORE_DEADLINE_MS 4000
#define AFTER_DEADLINE_MS 6000
/** Longer than LIVENESS_IDLE_MS, LIVENESS_INTERVAL_MS (view_notify.c) and the
 * retransmissions together. */
#define LIVENESS_WAIT_MS (3800 * 1000)
/** PL_VIEW_MAX: maximum number of views of an agent. */
#define VIEW_LIMIT 20000
#define UPDATES 20

static void notifications_reach_every_caller(void **state)
{
	fake_t *fake = fake_new(1, 1, 1, CALLERS);

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_views(fake), CALLERS);
	assert_int_equal(fake_outdated_callers(fake), 0);
	for (unsigned int i = 0; i < UPDATES; i++) {
		fake_update(fake, i % FAKE_RESOURCES);
		fake_run(fake, SETTLE_MS);
		assert_int_equal(fake_outdated_callers(fake), 0);
	}
	for (unsigned int i = 0; i < CALLERS; i++) {
		/* the registration and the updates of its resource */
		assert_int_equal(fake->callers[i].fresh_count,
				 1 + UPDATES / FAKE_RESOURCES);
		assert_int_equal(fake->callers[i].stale_count, 0);
	}
	fake_delete(fake);
}

/*
 * After a burst of updates without acknowledgements, only the newest state is
 * sent.
 */
static void newest_state_replaces_waiting_states(void **state)
{
	fake_t *fake = fake_new(2, 1, 1, 1);

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	fake->callers[0].unresponsive = true;
	for (unsigned int i = 0; i < 50; i++) {
		fake_update(fake, 0);
		fake_run(fake, 1);
	}
	fake->callers[0].unresponsive = false;
	fake->datagrams = 0;
	fake_run(fake, RETRANSMIT_WAIT_MS);
	assert_int_equal(fake_outdated_callers(fake), 0);
	assert_int_equal(fake->datagrams, 1);
	fake_delete(fake);
}

static void lost_datagrams_are_repeated(void **state)
{
	fake_t *fake = fake_new(3, 1, 1, CALLERS);

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	fake->loss_percent = 15;
	for (unsigned int i = 0; i < UPDATES; i++)
		fake_update(fake, i % FAKE_RESOURCES);
	fake_run(fake, GIVE_UP_MS);
	assert_int_equal(fake_outdated_callers(fake), 0);
	assert_int_equal(fake_views(fake), CALLERS);
	fake_delete(fake);
}

static void view_of_unresponsive_caller_is_closed(void **state)
{
	fake_t *fake = fake_new(4, 1, 1, 2);

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	fake->callers[0].unresponsive = true;
	fake_update(fake, 0);
	fake_update(fake, 1);
	fake_run(fake, STILL_RETRANSMITTING_MS);
	assert_int_equal(fake_views(fake), 2);
	fake_run(fake, GIVE_UP_MS);
	assert_int_equal(fake_views(fake), 1);
	fake_delete(fake);
}

static void reset_and_deregistration_close(void **state)
{
	fake_t *fake = fake_new(5, 1, 1, 3);

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	fake_close(fake, &fake->callers[0]);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_views(fake), 2);
	/* a caller without the view answers the notification with an RST */
	fake->callers[1].closed = true;
	fake_update(fake, 1);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_views(fake), 1);
	fake_delete(fake);
}

/*
 * A registration that the backend server does not answer by the deadline gets
 * 5.04, or 5.03 without a backend server, and leaves no view.
 */
static void registration_times_out_at_its_deadline(void **state)
{
	fake_t *fake = fake_new(6, 1, 1, 1);

	fake->agents[0].ignores_subscribe = true;
	fake_open_all(fake);
	fake_run(fake, BEFORE_DEADLINE_MS);
	assert_int_equal(fake->callers[0].code, 0);
	fake_run(fake, AFTER_DEADLINE_MS - BEFORE_DEADLINE_MS);
	assert_int_equal(fake->callers[0].code, PL_COAP_GATEWAY_TIMEOUT);
	assert_int_equal(fake_views(fake), 0);

	pl_view_set_backend_present(fake->agents[0].table, false);
	fake_open_all(fake);
	fake_run(fake, AFTER_DEADLINE_MS);
	assert_int_equal(fake->callers[0].code, PL_COAP_UNAVAILABLE);
	fake_delete(fake);
}

/*
 * A restart of the backend server causes no datagrams if the content is the
 * same afterwards; a change in the meantime is notified.
 */
static void unchanged_backend_restart_sends_no_datagrams(void **state)
{
	fake_t *fake = fake_new(7, 1, 1, CALLERS);

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	fake->datagrams = 0;
	pl_view_set_backend_present(fake->agents[0].table, false);
	fake_run(fake, SETTLE_MS);
	pl_view_set_backend_present(fake->agents[0].table, true);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake->datagrams, 0);
	pl_view_set_backend_present(fake->agents[0].table, false);
	fake_update(fake, 0);
	fake_run(fake, SETTLE_MS);
	pl_view_set_backend_present(fake->agents[0].table, true);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_outdated_callers(fake), 0);
	assert_int_equal(fake_views(fake), CALLERS);
	fake_delete(fake);
}

/* A body can be fetched completely although the resource changes meanwhile. */
static void large_body_is_fetched_whole(void **state)
{
	fake_t *fake = fake_new(8, 1, 1, CALLERS);

	fake->body_len = 3500;
	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	for (unsigned int i = 0; i < CALLERS; i++)
		assert_int_equal(fake->callers[i].fetched_bodies, 1);
	fake_update(fake, 0);
	/* the second change falls between the first and the second block */
	fake_run(fake, 7);
	fake_update(fake, 0);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_outdated_callers(fake), 0);
	assert_true(fake->callers[0].fetched_bodies >= 2);
	assert_int_equal(fake->callers[0].fetched_bytes, fake->body_len);
	fake_delete(fake);
}

/* The view of an unresponsive caller is closed even if its resource never
 * changes. */
static void view_without_changes_is_probed(void **state)
{
	fake_t *fake = fake_new(9, 1, 1, 2);

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	fake->callers[0].unresponsive = true;
	fake_run(fake, LIVENESS_WAIT_MS);
	assert_int_equal(fake_views(fake), 1);
	/* the registration and the probe */
	assert_int_equal(fake->callers[1].fresh_count, 2);
	fake_delete(fake);
}

static void error_response_closes_the_view(void **state)
{
	fake_t *fake = fake_new(10, 1, 1, 2);
	pl_backend_reply_t gone = { .status = PL_BACKEND_ANSWERED,
				    .code = PL_COAP_NOT_FOUND,
				    .content_format = -1,
				    .max_age_s = -1 };
	pl_backend_reply_t busy = { .status = PL_BACKEND_REFUSED,
				    .code = PL_COAP_UNAVAILABLE };

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	/* 5.03 from the backend server does not end the view */
	pl_view_notify(fake->agents[0].table, 1, &busy);
	fake_run(fake, 500);
	assert_int_equal(fake_views(fake), 2);
	assert_int_equal(fake->callers[1].code, PL_COAP_CONTENT);
	pl_view_notify(fake->agents[0].table, 2, &gone);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake->callers[1].code, PL_COAP_NOT_FOUND);
	assert_int_equal(fake_views(fake), 1);
	fake_delete(fake);
}

static void full_table_refuses_registrations(void **state)
{
	fake_t *fake = fake_new(11, 1, 1, VIEW_LIMIT + 1);

	fake_open_all(fake);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_views(fake), VIEW_LIMIT);
	assert_int_equal(fake->callers[VIEW_LIMIT - 1].code, PL_COAP_CONTENT);
	assert_int_equal(fake->callers[VIEW_LIMIT].code, PL_COAP_UNAVAILABLE);
	fake_delete(fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(notifications_reach_every_caller),
		cmocka_unit_test(newest_state_replaces_waiting_states),
		cmocka_unit_test(lost_datagrams_are_repeated),
		cmocka_unit_test(view_of_unresponsive_caller_is_closed),
		cmocka_unit_test(reset_and_deregistration_close),
		cmocka_unit_test(registration_times_out_at_its_deadline),
		cmocka_unit_test(unchanged_backend_restart_sends_no_datagrams),
		cmocka_unit_test(large_body_is_fetched_whole),
		cmocka_unit_test(view_without_changes_is_probed),
		cmocka_unit_test(error_response_closes_the_view),
		cmocka_unit_test(full_table_refuses_registrations),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
