/* Replays bursts beyond the room of all servers, and callers that give up. */
#include "world.h"

#define SMALL_BYTES 200

/* Result of a threefold burst of 3 s. */
typedef struct {
	size_t calls;
	size_t failed;
	size_t told; /* of these within TOLD_MS */
	double in_time;
	uint64_t false_resets;
} burst_result_t;

#define TOLD_MS 100
/* What eight servers with 3 slots and 25 ms per request serve in a second. */
#define BURST_ROOM_PER_S 960

static burst_result_t run_burst_(const pl_work_order_t *order,
				 bool hides_timeout)
{
	world_t *world = world_new(2, 8, 43);
	burst_result_t result = { 0 };

	world->order = order;
	world->hides_timeout = hides_timeout;
	for (int i = 0; i < world->agent_count; i++) {
		world_kill_agent(world, i);
		world_start_agent(world, i);
	}
	world_publish(world);
	world_run(world, 1100);
	world_start_calls(world, SMALL_BYTES, BURST_ROOM_PER_S * 6 / 10, 1000);
	world_start_calls(world, SMALL_BYTES, BURST_ROOM_PER_S * 3, 3000);
	world_start_calls(world, SMALL_BYTES, BURST_ROOM_PER_S * 6 / 10, 2000);
	world_run(world, 4000);
	for (guint i = 0; i < world->calls->len; i++) {
		const call_t *call = world->calls->pdata[i];

		result.calls++;
		result.failed += call->state == CALL_FAILED;
		result.told += call->state == CALL_FAILED && call->resets > 0 &&
			       call->told_after <= TOLD_MS;
	}
	result.in_time = world_share_in_time(world, 0);
	result.false_resets = world->false_resets;
	print_message("%s: %zu calls, %.3f in time, %zu failed, %zu of them "
		      "told at once\n",
		      order->name, result.calls, result.in_time, result.failed,
		      result.told);
	world_delete(world);
	return result;
}

/* Load pattern: a burst of three times the room for 3 s. Callers that cannot be
 * served must learn so, and the others be served no worse. */
static void hopeless_callers_of_a_burst_are_told_at_once(void **state)
{
	const burst_result_t before = run_burst_(&pl_work_order_due, true);
	const burst_result_t now = run_burst_(&pl_work_order_rescue, false);

	(void)state;
	assert_true(now.failed <= before.failed);
	assert_true(now.told * 2 >= now.failed);
	assert_int_equal(now.false_resets, 0);
}

/* Six calls to a server that works on one request for 800 ms. */
static world_t *new_slow_world_(call_t *calls[6])
{
	world_t *world = world_new(1, 1, 44);

	world->servers[0].slots = 1;
	world->servers[0].work_ms = 800;
	world_run(world, 1100);
	for (int i = 0; i < 6; i++) {
		calls[i] =
			world_call(world, 1 + (uint32_t)i, SMALL_BYTES, true);
		world_run(world, 20);
	}
	return world;
}

/* Guards against a server that works on requests whose callers have given up:
 * queued ones were delivered in any case. */
static void requests_of_callers_that_gave_up_are_not_run(void **state)
{
	call_t *calls[6];
	world_t *world = new_slow_world_(calls);

	(void)state;
	world_run(world, 6000);
	/* those that start within WORLD_DEADLINE_MS */
	assert_in_range(world_requests_started(world), 1, 4);
	world_delete(world);
}

static void requests_of_callers_that_reset_their_flow_are_not_run(void **state)
{
	call_t *calls[6];
	world_t *world = new_slow_world_(calls);

	(void)state;
	for (int i = 1; i < 6; i++)
		world_abort(calls[i]);
	world_run(world, 3000);
	assert_int_equal(world_requests_started(world), 1);
	assert_int_equal(calls[0]->state, CALL_DONE);
	world_delete(world);
}

/* Share in time of the calls from 2 s after a burst of three times the room on,
 * at two thirds of the room. */
static double share_after_burst_(bool stacks_repeat)
{
	world_t *world = world_new(2, 8, 46);
	double share;
	pl_ms_t from;

	world->stacks_repeat = stacks_repeat;
	world_run(world, 1100);
	world_start_calls(world, SMALL_BYTES, BURST_ROOM_PER_S * 3, 4000);
	world_start_calls(world, SMALL_BYTES, BURST_ROOM_PER_S * 2 / 3, 2000);
	from = world->now;
	world_start_calls(world, SMALL_BYTES, BURST_ROOM_PER_S * 2 / 3, 4000);
	world_run(world, 2000);
	share = world_share_in_time(world, from);
	print_message("%.3f in time after the burst\n", share);
	world_delete(world);
	return share;
}

/* Load pattern: callers of a burst have given up and their stacks retransmit
 * their requests. Dropped requests came back that way as new ones, and the
 * server never caught up. */
static void copies_of_dropped_requests_take_no_slot(void **state)
{
	(void)state;
	assert_true(share_after_burst_(true) >
		    share_after_burst_(false) - 0.01);
}

/* Guards against a caller that reuses the port of a flow whose request was dropped:
 * its new requests were taken for copies. */
static void reused_port_of_a_dropped_request_is_served(void **state)
{
	call_t *calls[6];
	world_t *world = new_slow_world_(calls);
	unsigned int reused = 0;
	unsigned int served = 0;

	(void)state;
	world->stacks_repeat = true;
	world_run(world, 15000);
	for (int i = 0; i < 6; i++) {
		const call_t *again;

		if (calls[i]->state != CALL_FAILED)
			continue;
		world->next_port = calls[i]->port;
		again = world_call(world, calls[i]->ip, SMALL_BYTES, false);
		world_run(world, 2500);
		served += again->state == CALL_DONE && again->attempts == 1;
		reused++;
	}
	/* one request was under way at its deadline; the simulated server keeps
	 * its flow, as it ignores resets */
	assert_true(reused > 1);
	assert_int_equal(served, reused - 1);
	world_delete(world);
}

/* Guards against a server that has become slow and is still taken for a fast
 * one: answers that came after the timeout of their slot were not measured. */
static void slow_answers_are_measured(void **state)
{
	world_t *world = world_new(1, 1, 45);
	pl_flow_agent_stats_t stats;

	(void)state;
	world_run(world, 1100);
	world_start_calls(world, SMALL_BYTES, 40, 1000);
	world->servers[0].work_ms = 1000;
	world_start_calls(world, SMALL_BYTES, 40, 3000);
	pl_flow_agent_stats(world->agents[0].agent, &stats);
	assert_true(stats.load.request_ms > 300);
	world_delete(world);
}
int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(hopeless_callers_of_a_burst_are_told_at_once),
		cmocka_unit_test(requests_of_callers_that_gave_up_are_not_run),
		cmocka_unit_test(
			requests_of_callers_that_reset_their_flow_are_not_run),
		cmocka_unit_test(copies_of_dropped_requests_take_no_slot),
		cmocka_unit_test(reused_port_of_a_dropped_request_is_served),
		cmocka_unit_test(slow_answers_are_measured),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
