#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "view_fake.h"

#include <pimentolift/counter.h>

#define CALLERS 300
#define SETTLE_MS 50
#define REGISTRATION_WAIT_MS 350
#define REPLICATION_WAIT_MS 500
/* longer than the retries of an offer, in virtual time */
#define HANDOVER_WAIT_MS 10000

static fake_t *fake_with_open_views_(uint32_t seed, unsigned int agents,
				     unsigned int started)
{
	fake_t *fake = fake_new(seed, agents, started, CALLERS);

	fake_open_all(fake);
	fake_run(fake, REPLICATION_WAIT_MS);
	assert_int_equal(fake_views(fake), CALLERS);
	assert_int_equal(fake_outdated_callers(fake), 0);
	return fake;
}

static void update_all_(fake_t *fake)
{
	for (unsigned int i = 0; i < FAKE_RESOURCES; i++)
		fake_update(fake, i);
}

/* Checks that each caller has one view and gets notifications in time. */
static void check_all_views_served_(fake_t *fake)
{
	fake_run(fake, REPLICATION_WAIT_MS);
	assert_int_equal(fake_views(fake), CALLERS);
	update_all_(fake);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_outdated_callers(fake), 0);
	assert_int_equal(pl_counter_get(PL_COUNTER_VIEWS_LOST), 0);
}

static fake_frame_outcome_t lose_frame_type_(fake_t *fake,
					     const pl_peer_frame_t *frame)
{
	return frame->type == fake->lost_type ? FAKE_FRAME_LOST :
						FAKE_FRAME_DELIVERED;
}

static size_t view_count_(fake_t *fake, unsigned int agent)
{
	return pl_view_count(fake->agents[agent].table);
}

static void drain_moves_every_view(void **state)
{
	fake_t *fake = fake_with_open_views_(1, 3, 3);
	size_t before = view_count_(fake, 0);

	assert_in_range(before, 60, 140);
	fake_drain(fake, 0);
	fake_route(fake);
	for (unsigned int i = 0; i < 10; i++) {
		update_all_(fake);
		fake_run(fake, 1);
	}
	fake_run(fake, SETTLE_MS);
	assert_int_equal(view_count_(fake, 0), 0);
	assert_int_equal(fake_outdated_callers(fake), 0);
	fake_kill(fake, 0);
	fake_declare_dead(fake, 0);
	check_all_views_served_(fake);
	assert_int_equal(pl_counter_get(PL_COUNTER_VIEWS_RECOVERED), 0);
	fake_delete(fake);
}

/* While the resources do not change, a drain sends no datagrams to callers. */
static void drain_without_changes_sends_no_datagrams(void **state)
{
	fake_t *fake = fake_with_open_views_(2, 3, 3);

	fake->datagrams = 0;
	fake_drain(fake, 0);
	fake_route(fake);
	fake_run(fake, HANDOVER_WAIT_MS);
	assert_int_equal(view_count_(fake, 0), 0);
	assert_int_equal(fake->datagrams, 0);
	fake_delete(fake);
}

static void draining_receiver_refuses_offers(void **state)
{
	fake_t *fake = fake_with_open_views_(3, 3, 3);

	/* the routing table shows both agents as serving when the drains start */
	fake_drain(fake, 0);
	fake_drain(fake, 1);
	update_all_(fake);
	fake_run(fake, 5);
	fake_route(fake);
	fake_run(fake, HANDOVER_WAIT_MS);
	assert_int_equal(view_count_(fake, 0), 0);
	assert_int_equal(view_count_(fake, 1), 0);
	check_all_views_served_(fake);
	fake_delete(fake);
}

static void views_stay_while_no_agent_can_accept_them(void **state)
{
	fake_t *fake = fake_with_open_views_(4, 2, 1);

	fake_drain(fake, 0);
	fake_route(fake);
	fake_run(fake, HANDOVER_WAIT_MS);
	assert_int_equal(view_count_(fake, 0), CALLERS);
	fake_start(fake, 1);
	fake_route(fake);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(view_count_(fake, 0), 0);
	check_all_views_served_(fake);
	fake_delete(fake);
}

/*
 * Without the acceptance, sender and receiver of an offer both serve the views;
 * callers must still get each change.
 */
static void lost_acceptance_is_resolved(void **state)
{
	fake_t *fake = fake_with_open_views_(5, 3, 3);

	fake->frame_outcome = lose_frame_type_;
	fake->lost_type = PL_PEER_VIEW_ACCEPT;
	fake_drain(fake, 0);
	fake_route(fake);
	for (unsigned int i = 0; i < 8; i++) {
		update_all_(fake);
		fake_run(fake, 100);
		assert_int_equal(fake_outdated_callers(fake), 0);
	}
	fake->frame_outcome = NULL;
	fake_run(fake, HANDOVER_WAIT_MS);
	assert_int_equal(view_count_(fake, 0), 0);
	check_all_views_served_(fake);
	fake_delete(fake);
}

/* While every offer is lost, the draining agent continues to serve. */
static void lost_offers_are_repeated(void **state)
{
	fake_t *fake = fake_with_open_views_(6, 3, 3);

	fake->frame_outcome = lose_frame_type_;
	fake->lost_type = PL_PEER_VIEW_OFFER;
	fake_drain(fake, 0);
	fake_route(fake);
	for (unsigned int i = 0; i < 100; i++) {
		update_all_(fake);
		fake_run(fake, 100);
		assert_int_equal(fake_outdated_callers(fake), 0);
	}
	assert_true(view_count_(fake, 0) > 0);
	fake->frame_outcome = NULL;
	fake_run(fake, HANDOVER_WAIT_MS);
	assert_int_equal(view_count_(fake, 0), 0);
	check_all_views_served_(fake);
	fake_delete(fake);
}

/*
 * The receiver accepts the views, sends notifications and fails, while its
 * acceptance is lost.
 */
static void receiver_fails_during_the_offer(void **state)
{
	fake_t *fake = fake_with_open_views_(7, 3, 3);

	fake->frame_outcome = lose_frame_type_;
	fake->lost_type = PL_PEER_VIEW_ACCEPT;
	fake_drain(fake, 0);
	fake_route(fake);
	fake_run(fake, 5);
	update_all_(fake);
	fake_run(fake, 10);
	fake_kill(fake, 1);
	fake->frame_outcome = NULL;
	update_all_(fake);
	fake_run(fake, 500);
	fake_declare_dead(fake, 1);
	fake_run(fake, HANDOVER_WAIT_MS);
	assert_int_equal(view_count_(fake, 0), 0);
	assert_int_equal(fake_outdated_callers(fake), 0);
	check_all_views_served_(fake);
	fake_delete(fake);
}

static void pending_registration_is_handed_over(void **state)
{
	fake_t *fake = fake_new(8, 2, 2, CALLERS);

	fake->agents[0].ignores_subscribe = true;
	fake->agents[1].ignores_subscribe = false;
	fake_open_all(fake);
	fake_run(fake, 20);
	fake_drain(fake, 0);
	fake_route(fake);
	/* the backup of some views drains too, so responses may wait for the
	 * replica up to REPLICA_WAIT_MS (view_notify.c) */
	fake_run(fake, REGISTRATION_WAIT_MS);
	assert_int_equal(view_count_(fake, 0), 0);
	assert_int_equal(fake_outdated_callers(fake), 0);
	check_all_views_served_(fake);
	fake_delete(fake);
}

static void crash_is_recovered_from_replicas(void **state)
{
	fake_t *fake = fake_with_open_views_(9, 3, 3);

	fake_kill(fake, 0);
	update_all_(fake);
	fake_run(fake, 1000);
	assert_true(fake_outdated_callers(fake) > 0);
	fake_declare_dead(fake, 0);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_outdated_callers(fake), 0);
	check_all_views_served_(fake);
	/* a second failure: the recovered views have new replicas */
	fake_kill(fake, 1);
	fake_run(fake, 1000);
	fake_declare_dead(fake, 1);
	check_all_views_served_(fake);
	fake_delete(fake);
}

/*
 * A caller whose registration was answered keeps its view, even if the owner
 * fails directly after the response.
 */
static void crash_right_after_the_answer_is_recovered(void **state)
{
	fake_t *fake = fake_new(21, 3, 3, CALLERS);
	unsigned int answered = 0;

	fake_open_all(fake);
	while (answered == 0) {
		fake_run(fake, 1);
		for (unsigned int i = 0; i < fake->caller_count; i++)
			answered += fake->callers[i].answered &&
				    fake_home(fake, &fake->callers[i]) == 0;
	}
	fake_kill(fake, 0);
	fake_declare_dead(fake, 0);
	update_all_(fake);
	fake_run(fake, SETTLE_MS);
	for (unsigned int i = 0; i < fake->caller_count; i++) {
		const fake_caller_t *caller = &fake->callers[i];

		if (caller->answered)
			assert_int_equal(caller->version,
					 fake->versions[caller->resource]);
	}
	fake_delete(fake);
}

/*
 * A restart that was not declared as a failure is detected by the new boot ID
 * in the routing table.
 */
static void restart_is_recovered_from_replicas(void **state)
{
	fake_t *fake = fake_with_open_views_(10, 3, 3);

	fake_kill(fake, 0);
	fake_run(fake, 100);
	fake_start(fake, 0);
	fake_route(fake);
	check_all_views_served_(fake);
	fake_delete(fake);
}

static void closed_view_is_not_recovered(void **state)
{
	fake_t *fake = fake_with_open_views_(11, 2, 2);
	unsigned int home = fake_home(fake, &fake->callers[0]);

	fake_close(fake, &fake->callers[0]);
	fake_run(fake, REPLICATION_WAIT_MS);
	fake_kill(fake, home);
	fake_declare_dead(fake, home);
	fake_run(fake, SETTLE_MS);
	assert_int_equal(fake_views(fake), CALLERS - 1);
	fake_delete(fake);
}

/* An agent that resumes after a long pause gives up the views that other agents
 * recovered meanwhile. */
static void resumed_owner_gives_up_recovered_views(void **state)
{
	fake_t *fake = fake_with_open_views_(12, 3, 3);
	pl_view_table_t *paused_table = fake->agents[0].table;
	size_t views = view_count_(fake, 0);

	fake->agents[0].table = NULL;
	fake_run(fake, 1000);
	fake_declare_dead(fake, 0);
	update_all_(fake);
	fake_run(fake, REPLICATION_WAIT_MS);
	assert_int_equal(fake_views(fake), CALLERS);

	fake->agents[0].table = paused_table;
	fake->agents[0].boot++;
	fake->agents[0].state = PL_ENDPOINT_SERVING;
	assert_int_equal(view_count_(fake, 0), views);
	pl_view_rejoin(paused_table, fake->agents[0].boot);
	fake_route(fake);
	check_all_views_served_(fake);
	assert_int_equal(fake_views(fake), CALLERS);
	fake_delete(fake);
}

/*
 * Views of an agent in a data centre that is cut off are recovered by other
 * agents after a delay, and return when the agent is reachable again.
 */
static void cut_off_views_are_served_elsewhere(void **state)
{
	fake_t *fake = fake_with_open_views_(16, 4, 4);
	size_t before = view_count_(fake, 0);

	fake->agents[0].isolated = true;
	fake_route(fake);
	update_all_(fake);
	/* a short interruption moves no views */
	fake_run(fake, 2000);
	assert_true(fake_outdated_callers(fake) > 0);
	assert_int_equal(fake_views(fake), CALLERS);
	fake_run(fake, 2000);
	assert_int_equal(fake_outdated_callers(fake), 0);
	for (unsigned int i = 0; i < 30; i++) {
		update_all_(fake);
		fake_run(fake, 1000);
		assert_int_equal(fake_outdated_callers(fake), 0);
	}
	assert_int_equal(fake_views(fake), CALLERS + before);

	fake->agents[0].isolated = false;
	fake_route(fake);
	update_all_(fake);
	check_all_views_served_(fake);
	fake_run(fake, 60000);
	assert_int_equal(view_count_(fake, 0), before);
	check_all_views_served_(fake);
	fake_delete(fake);
}

/*
 * The home of a caller is the endpoint ranked first for it; the owner is the
 * agent that holds its view. An agent that becomes the home of callers does not
 * take over their views at once, but knows which agent owns them.
 */
static void new_home_redirects_to_the_owner(void **state)
{
	fake_t *fake = fake_with_open_views_(13, 3, 2);
	unsigned int moved = 0;

	fake_start(fake, 2);
	fake_route(fake);
	check_all_views_served_(fake);
	assert_int_equal(view_count_(fake, 2), 0);
	for (unsigned int i = 0; i < CALLERS; i++) {
		pl_member_id_t next = 0;

		if (fake_home(fake, &fake->callers[i]) != 2)
			continue;
		moved++;
		assert_int_equal(pl_view_find(fake->agents[2].table,
					      &fake->callers[i].addr, &next),
				 PL_VIEW_MOVED);
	}
	assert_true(moved > 50);
	fake_kill(fake, 0);
	fake_run(fake, 1000);
	fake_declare_dead(fake, 0);
	check_all_views_served_(fake);
	fake_delete(fake);
}

/* After a rolling restart of all endpoints, views move back to their homes. */
static void views_return_to_their_homes(void **state)
{
	fake_t *fake = fake_with_open_views_(14, 3, 3);

	for (unsigned int i = 0; i < 3; i++) {
		fake_drain(fake, i);
		fake_route(fake);
		fake_run(fake, SETTLE_MS);
		assert_int_equal(view_count_(fake, i), 0);
		fake_kill(fake, i);
		fake_declare_dead(fake, i);
		fake_start(fake, i);
		fake_route(fake);
		fake_run(fake, REPLICATION_WAIT_MS);
	}
	assert_int_equal(view_count_(fake, 2), 0);
	fake->datagrams = 0;
	/* views move back only once the endpoints were stable for 10 s */
	fake_run(fake, 9000);
	assert_int_equal(view_count_(fake, 2), 0);
	fake_run(fake, 2000);
	/* moved in small batches */
	assert_in_range(view_count_(fake, 2), 1, 40);
	fake_run(fake, 30000);
	for (unsigned int i = 0; i < 3; i++)
		assert_in_range(view_count_(fake, i), 60, 140);
	assert_int_equal(fake->datagrams, 0);
	check_all_views_served_(fake);
	fake_delete(fake);
}

/* Views are handed over when the backend server stays absent. */
static void views_move_when_the_backend_server_stays_absent(void **state)
{
	fake_t *fake = fake_with_open_views_(15, 3, 3);
	size_t before = view_count_(fake, 0);

	pl_view_set_backend_present(fake->agents[0].table, false);
	update_all_(fake);
	fake_run(fake, 1000);
	/* not yet after 1 s: the backend server may be restarting */
	assert_int_equal(view_count_(fake, 0), before);
	pl_view_set_backend_present(fake->agents[0].table, true);
	fake_run(fake, 5000);
	assert_int_equal(view_count_(fake, 0), before);
	assert_int_equal(fake_outdated_callers(fake), 0);

	pl_view_set_backend_present(fake->agents[0].table, false);
	update_all_(fake);
	fake_run(fake, 3000);
	assert_int_equal(view_count_(fake, 0), 0);
	assert_int_equal(fake_outdated_callers(fake), 0);
	pl_view_set_backend_present(fake->agents[0].table, true);
	check_all_views_served_(fake);
	fake_delete(fake);
}

static int reset_(void **state)
{
	pl_counter_reset();
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(drain_moves_every_view, reset_),
		cmocka_unit_test_setup(drain_without_changes_sends_no_datagrams,
				       reset_),
		cmocka_unit_test_setup(draining_receiver_refuses_offers,
				       reset_),
		cmocka_unit_test_setup(
			views_stay_while_no_agent_can_accept_them, reset_),
		cmocka_unit_test_setup(lost_acceptance_is_resolved, reset_),
		cmocka_unit_test_setup(lost_offers_are_repeated, reset_),
		cmocka_unit_test_setup(receiver_fails_during_the_offer, reset_),
		cmocka_unit_test_setup(pending_registration_is_handed_over,
				       reset_),
		cmocka_unit_test_setup(crash_is_recovered_from_replicas,
				       reset_),
		cmocka_unit_test_setup(
			crash_right_after_the_answer_is_recovered, reset_),
		cmocka_unit_test_setup(restart_is_recovered_from_replicas,
				       reset_),
		cmocka_unit_test_setup(closed_view_is_not_recovered, reset_),
		cmocka_unit_test_setup(resumed_owner_gives_up_recovered_views,
				       reset_),
		cmocka_unit_test_setup(cut_off_views_are_served_elsewhere,
				       reset_),
		cmocka_unit_test_setup(new_home_redirects_to_the_owner, reset_),
		cmocka_unit_test_setup(views_return_to_their_homes, reset_),
		cmocka_unit_test_setup(
			views_move_when_the_backend_server_stays_absent,
			reset_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
