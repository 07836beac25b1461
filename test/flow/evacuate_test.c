#include "world.h"

#define CALLERS 30
/** Within a second and a half, more than two servers can serve meanwhile. */
#define LOADED_CALLERS 180
#define SMALL_BYTES 200
#define AGENTS 4
/** Data centre that the tests evacuate, with the servers FIRST to LAST; the
 * others are elsewhere. */
#define EVACUATED 76
#define ELSEWHERE 77
#define FIRST 0
#define LAST 1
/** Within this time an entry that has heard nothing yet gets its flows served:
 * it offers them again every 25 ms. */
#define HELD_MS 400
/** Longer than agents report their load after an entry's last packet. */
#define LONG_WORK_MS 3000

static world_t *world_in_two_datacentres_(uint32_t seed)
{
	world_t *world = world_new(2, AGENTS, seed);

	for (int i = 0; i < AGENTS; i++)
		world->agents[i].datacentre = i <= LAST ? EVACUATED : ELSEWHERE;
	world_publish(world);
	return world;
}

static world_t *world_in_one_datacentre_(uint32_t seed)
{
	world_t *world = world_new(2, AGENTS, seed);

	for (int i = 0; i < AGENTS; i++)
		world->agents[i].datacentre = EVACUATED;
	world_publish(world);
	return world;
}

static void set_gates_(world_t *world, int first, int last, bool evacuated)
{
	for (int i = first; i <= last; i++)
		pl_flow_agent_set_evacuated(world->agents[i].agent, evacuated);
}

static void tell_entries_(world_t *world, bool evacuated)
{
	world->evacuations = (pl_evacuations_t){ 0 };
	if (evacuated)
		pl_evacuations_add(&world->evacuations, EVACUATED);
	world_publish(world);
}

/* Flows that servers of the evacuated data centre hold. */
static guint flows_in_evacuated_(const world_t *world)
{
	guint count = 0;

	for (int i = FIRST; i <= LAST; i++)
		count += g_hash_table_size(world->servers[i].flows);
	return count;
}

static void call_many_(world_t *world, call_t **calls, bool keep)
{
	for (uint32_t i = 0; i < CALLERS; i++) {
		calls[i] = world_call(world, 1 + i, SMALL_BYTES, keep);
		world_run(world, 10);
	}
	world_run(world, HELD_MS);
	for (int i = 0; i < CALLERS; i++)
		assert_int_equal(calls[i]->state, CALL_DONE);
}

static void entries_open_no_flow_in_an_evacuated_datacentre(void **state)
{
	world_t *world = world_in_two_datacentres_(1);
	call_t *calls[CALLERS];

	(void)state;
	tell_entries_(world, true);
	call_many_(world, calls, true);
	assert_int_equal(flows_in_evacuated_(world), 0);
	assert_true(world_share_in_time(world, 0) == 1);
	world_delete(world);
}

/* Every server gets as many flows as without the request. */
static void unknown_datacentres_change_nothing(void **state)
{
	world_t *plain = world_in_two_datacentres_(10);
	world_t *world = world_in_two_datacentres_(10);
	call_t *calls[CALLERS];

	(void)state;
	world_publish(plain);
	call_many_(plain, calls, true);
	pl_evacuations_add(&world->evacuations, ELSEWHERE + 1);
	world_publish(world);
	call_many_(world, calls, true);
	for (int i = 0; i < AGENTS; i++)
		assert_int_equal(world->servers[i].opened,
				 plain->servers[i].opened);
	assert_true(flows_in_evacuated_(world) > 0);
	assert_true(world_share_in_time(world, 0) == 1);
	world_delete(plain);
	world_delete(world);
}

/* Entries that have not heard yet offer flows to agents that have: none is
 * delivered there, and none is lost. */
static void agents_refuse_flows_of_entries_that_lag_behind(void **state)
{
	world_t *world = world_in_two_datacentres_(2);
	call_t *calls[CALLERS];
	pl_flow_agent_stats_t stats;

	(void)state;
	set_gates_(world, FIRST, LAST, true);
	call_many_(world, calls, true);
	assert_int_equal(flows_in_evacuated_(world), 0);
	assert_true(world_share_in_time(world, 0) == 1);
	pl_flow_agent_stats(world->agents[FIRST].agent, &stats);
	assert_true(stats.evacuated);
	assert_true(stats.evacuated_refused > 0);
	world_delete(world);
}

static void open_flows_stay_in_an_evacuated_datacentre(void **state)
{
	world_t *world = world_in_two_datacentres_(3);
	call_t *calls[CALLERS];
	guint before;

	(void)state;
	call_many_(world, calls, true);
	before = flows_in_evacuated_(world);
	assert_true(before > 0);
	set_gates_(world, FIRST, LAST, true);
	tell_entries_(world, true);
	/* an entry that knows none of the flows looks their owners up */
	world->in_rotation[1] = false;
	for (int i = 0; i < CALLERS; i++)
		calls[i] = world_call_again(world, calls[i]);
	world_run(world, 1000);
	assert_true(world_share_in_time(world, 0) == 1);
	assert_int_equal(world->false_resets, 0);
	assert_int_equal(flows_in_evacuated_(world), before);
	world_delete(world);
}

/* Opening packets that wait for a slot when the evacuation begins go to other
 * servers at once, not after their time in the queue. */
static void queued_flows_are_handed_back(void **state)
{
	world_t *world = world_in_two_datacentres_(4);
	pl_flow_agent_stats_t stats;
	uint64_t queued = 0;
	guint held;

	(void)state;
	for (int i = 0; i < AGENTS; i++)
		world->servers[i].work_ms = 60;
	for (uint32_t i = 0; i < 3 * CALLERS; i++)
		world_call(world, 1 + i, SMALL_BYTES, false);
	world_run(world, 15);
	for (int i = FIRST; i <= LAST; i++) {
		pl_flow_agent_stats(world->agents[i].agent, &stats);
		queued += stats.queued;
	}
	assert_true(queued > 0);
	held = flows_in_evacuated_(world);
	set_gates_(world, FIRST, LAST, true);
	tell_entries_(world, true);
	world_run(world, 3000);
	assert_true(flows_in_evacuated_(world) <= held);
	assert_int_equal(world_failed(world, 0), 0);
	assert_int_equal(world->false_resets, 0);
	world_delete(world);
}

/* Also when the servers were at work all the time: what entries know of their
 * load must not keep flows away for good. */
static void new_flows_return_after_the_withdrawal(void **state)
{
	world_t *world = world_in_two_datacentres_(5);
	call_t *calls[CALLERS];
	guint before;

	(void)state;
	for (uint32_t k = 0; k < CALLERS; k++)
		world_call(world, 1 + k, SMALL_BYTES, false);
	for (int i = FIRST; i <= LAST; i++)
		world->servers[i].work_ms = LONG_WORK_MS;
	world_run(world, 20);
	set_gates_(world, FIRST, LAST, true);
	tell_entries_(world, true);
	world_run(world, 3 * LONG_WORK_MS);
	for (int i = FIRST; i <= LAST; i++)
		world->servers[i].work_ms = world->servers[LAST + 1].work_ms;
	set_gates_(world, FIRST, LAST, false);
	tell_entries_(world, false);
	before = flows_in_evacuated_(world);
	call_many_(world, calls, true);
	assert_true(flows_in_evacuated_(world) - before >= CALLERS / 4);
	world_delete(world);
}

/* Nothing that an entry waits for would serve the flow, so its caller is told at
 * once instead of being left to its deadline. */
static void flows_are_rejected_once_no_endpoint_is_left(void **state)
{
	world_t *world = world_in_one_datacentre_(6);
	call_t *call;

	(void)state;
	set_gates_(world, 0, AGENTS - 1, true);
	tell_entries_(world, true);
	/* other endpoints may be about to return: held, not rejected */
	call = world_call(world, 1, SMALL_BYTES, false);
	world_run(world, 300);
	assert_int_equal(call->resets, 0);
	world_run(world, 3000);
	call = world_call(world, 2, SMALL_BYTES, false);
	world_run(world, 50);
	assert_true(call->resets > 0);
	assert_int_equal(world->false_resets, 0);
	set_gates_(world, 0, AGENTS - 1, false);
	tell_entries_(world, false);
	call = world_call(world, 3, SMALL_BYTES, false);
	world_run(world, 300);
	assert_int_equal(call->state, CALL_DONE);
	world_delete(world);
}

/* The first service of the route is evacuated as a whole, and the second one has
 * more work than slots: flows wait there. Only when that one is evacuated too,
 * nothing is left to wait for. */
static void flows_are_kept_while_another_service_has_endpoints(void **state)
{
	world_t *world = world_in_two_datacentres_(9);
	call_t *calls[LOADED_CALLERS];
	call_t *call;

	(void)state;
	world_split_services(world, LAST + 1);
	world->weighted = true;
	world->weights[0] = 900000;
	world->weights[1] = 100000;
	world_run(world, 1100);
	set_gates_(world, FIRST, LAST, true);
	tell_entries_(world, true);
	world_run(world, 3000);
	for (int i = LAST + 1; i < AGENTS; i++)
		world->servers[i].work_ms = 60;
	for (uint32_t i = 0; i < LOADED_CALLERS; i++) {
		calls[i] = world_call(world, 1 + i, SMALL_BYTES, false);
		world_run(world, 6);
	}
	world_run(world, WORLD_DEADLINE_MS);
	for (int i = 0; i < LOADED_CALLERS; i++) {
		assert_int_equal(calls[i]->resets, 0);
		assert_int_equal(calls[i]->state, CALL_DONE);
	}
	assert_int_equal(flows_in_evacuated_(world), 0);
	set_gates_(world, LAST + 1, AGENTS - 1, true);
	pl_evacuations_add(&world->evacuations, ELSEWHERE);
	world_publish(world);
	world_run(world, 3000);
	call = world_call(world, 1, SMALL_BYTES, false);
	world_run(world, 50);
	assert_true(call->resets > 0);
	world_delete(world);
}

/* A copy of the opening packet that arrives once the flow is open must neither
 * be rejected nor open the flow at a second server. */
static void late_copies_harm_no_open_flow(void **state)
{
	world_t *world = world_in_one_datacentre_(7);
	call_t *calls[CALLERS];
	guint open;

	(void)state;
	call_many_(world, calls, true);
	open = 0;
	for (int i = 0; i < AGENTS; i++)
		open += g_hash_table_size(world->servers[i].flows);
	set_gates_(world, 0, AGENTS - 1, true);
	tell_entries_(world, true);
	world_run(world, 3000);
	for (int i = 0; i < CALLERS; i++) {
		calls[i]->copies = 1;
		world_resend_opening(calls[i]);
	}
	world_run(world, 500);
	for (int i = 0; i < AGENTS; i++)
		open -= g_hash_table_size(world->servers[i].flows);
	assert_int_equal(open, 0);
	assert_int_equal(world->false_resets, 0);
	world_delete(world);
}

static uint64_t opened_(const world_t *world, int first, int last)
{
	uint64_t opened = 0;

	for (int i = first; i <= last; i++)
		opened += world->servers[i].opened;
	return opened;
}

/* A caller uses the port of a flow that it closed again. The entry, which still
 * knows the former owner, must not leave the new flow with that one's agent. */
static void reused_ports_open_flows_elsewhere(void **state)
{
	world_t *world = world_in_two_datacentres_(8);
	call_t *calls[CALLERS];
	uint64_t evacuated;
	uint64_t elsewhere;

	(void)state;
	call_many_(world, calls, false);
	world_run(world, 1000);
	evacuated = opened_(world, FIRST, LAST);
	elsewhere = opened_(world, LAST + 1, AGENTS - 1);
	assert_true(evacuated > 0);
	set_gates_(world, FIRST, LAST, true);
	for (int i = 0; i < CALLERS; i++) {
		calls[i]->copies = 0;
		world_resend_opening(calls[i]);
	}
	world_run(world, 200);
	assert_int_equal(opened_(world, FIRST, LAST), evacuated);
	assert_true(opened_(world, LAST + 1, AGENTS - 1) >=
		    elsewhere + evacuated);
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			entries_open_no_flow_in_an_evacuated_datacentre),
		cmocka_unit_test(unknown_datacentres_change_nothing),
		cmocka_unit_test(
			agents_refuse_flows_of_entries_that_lag_behind),
		cmocka_unit_test(open_flows_stay_in_an_evacuated_datacentre),
		cmocka_unit_test(queued_flows_are_handed_back),
		cmocka_unit_test(new_flows_return_after_the_withdrawal),
		cmocka_unit_test(flows_are_rejected_once_no_endpoint_is_left),
		cmocka_unit_test(
			flows_are_kept_while_another_service_has_endpoints),
		cmocka_unit_test(late_copies_harm_no_open_flow),
		cmocka_unit_test(reused_ports_open_flows_elsewhere),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
