#include "world.h"

#define SMALL_BYTES 200
#define AGENTS 6
/** Agents of the first service; the others are of the second one. */
#define FIRST 4
#define CALLERS 40

static void set_weights_(world_t *world, uint32_t first, uint32_t second)
{
	world->weighted = true;
	world->weights[0] = first;
	world->weights[1] = second;
	world_publish(world);
}

static world_t *new_world_(uint32_t seed)
{
	world_t *world = world_new(3, AGENTS, seed);

	world_split_services(world, FIRST);
	world_run(world, 1100);
	return world;
}

static uint64_t requests_of_second_(const world_t *world)
{
	uint64_t count = 0;

	for (int i = FIRST; i < AGENTS; i++)
		count += world->servers[i].requests_started;
	return count;
}

/* Fraction answered in time in a burst of 1.25 times what the first service
 * can serve, which is less than both can, after a load of 0.6. */
static double burst_(uint32_t first, uint32_t second, uint64_t *on_second)
{
	world_t *world = new_world_(50);
	double fraction;
	pl_ms_t from;

	set_weights_(world, first, second);
	world_start_calls(world, SMALL_BYTES, 290, 2000);
	from = world->now;
	world_start_calls(world, SMALL_BYTES, 600, 3000);
	world_run(world, 3500);
	*on_second = requests_of_second_(world);
	fraction = world_share_in_time(world, from);
	world_delete(world);
	return fraction;
}

/* Guards against a service that drowns while another one of its route idles,
 * as in a release that used the greatest weight only. */
static void burst_overflows_into_the_idle_service(void **state)
{
	uint64_t on_second;
	double greatest = burst_(1000000, 0, &on_second);
	double weighted;

	(void)state;
	assert_int_equal(on_second, 0);
	weighted = burst_(900000, 100000, &on_second);
	print_message("in time: %.3f, with the greatest weight only %.3f\n",
		      weighted, greatest);
	assert_true(weighted > 0.9);
	assert_true(greatest < 0.8);
}

static void flows_follow_the_weights_below_full_load(void **state)
{
	world_t *world = new_world_(51);
	pl_flow_entry_stats_t stats;
	uint64_t overflowed = 0;
	double share;

	(void)state;
	set_weights_(world, 700000, 300000);
	world_start_calls(world, SMALL_BYTES, 200, 10000);
	world_run(world, 1000);
	share = (double)requests_of_second_(world) /
		(double)world_requests_started(world);
	for (int i = 0; i < world->entry_count; i++) {
		pl_flow_share_t shares[PL_FLOW_SHARES_MAX];

		pl_flow_entry_stats(world->entries[i].entry, &stats);
		overflowed += stats.overflowed;
		assert_int_equal(
			pl_flow_entry_shares(world->entries[i].entry, shares),
			2);
		assert_int_equal(shares[0].weight + shares[1].weight, 1000000);
		assert_true(shares[0].asked > 0 &&
			    shares[0].asked == shares[0].given);
	}
	print_message("share: %.3f of 0.3, %u overflowed\n", share,
		      (unsigned int)overflowed);
	assert_true(share > 0.27 && share < 0.33);
	/* all six slots of the second service are in use at times */
	assert_true(overflowed < 40);
	assert_true(world_share_in_time(world, 0) == 1);
	world_delete(world);
}

static void open_flows_(world_t *world, call_t **calls)
{
	for (uint32_t i = 0; i < CALLERS; i++)
		calls[i] = world_call(world, 1 + i, SMALL_BYTES, true);
	world_run(world, 1000);
}

/* Sends another request on each flow; all have to be served by the servers that
 * hold the flows. */
static void assert_flows_go_on_(world_t *world, call_t **calls)
{
	pl_ms_t from = world->now;

	for (uint32_t i = 0; i < CALLERS; i++) {
		int owner = world_owner(world, calls[i]);

		assert_int_equal(calls[i]->state, CALL_DONE);
		calls[i] = world_call_again(world, calls[i]);
		assert_int_equal(world_owner(world, calls[i]), owner);
	}
	world_run(world, 1000);
	assert_int_equal(world_served(world, from), CALLERS);
	assert_int_equal(world->false_resets, 0);
}

/* Guards against open flows that are reset or moved as weights change, also at
 * entries that restart and have to look the flows up. */
static void changed_weights_move_new_flows_only(void **state)
{
	world_t *world = new_world_(52);
	call_t *calls[CALLERS];
	uint64_t before;

	(void)state;
	set_weights_(world, 500000, 500000);
	open_flows_(world, calls);
	set_weights_(world, 1000000, 0);
	assert_flows_go_on_(world, calls);
	before = requests_of_second_(world);
	world_start_calls(world, SMALL_BYTES, 600, 1000);
	world_run(world, 2000);
	assert_int_equal(requests_of_second_(world), before);
	for (int i = 0; i < world->entry_count; i++) {
		world_kill_entry(world, i);
		world_start_entry(world, i);
	}
	set_weights_(world, 0, 1000000);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* Guards against callers that wait for a service that takes no new flows, and
 * against the reset of flows that are open. */
static void route_of_weights_0_rejects_at_once(void **state)
{
	world_t *world = new_world_(53);
	call_t *calls[CALLERS];
	call_t *rejected;

	(void)state;
	set_weights_(world, 500000, 500000);
	open_flows_(world, calls);
	set_weights_(world, 0, 0);
	rejected = world_call(world, 1000, SMALL_BYTES, false);
	world_run(world, 50);
	assert_true(rejected->resets > 0);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(burst_overflows_into_the_idle_service),
		cmocka_unit_test(flows_follow_the_weights_below_full_load),
		cmocka_unit_test(changed_weights_move_new_flows_only),
		cmocka_unit_test(route_of_weights_0_rejects_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
