#include "world.h"

#define SMALL_BYTES 200
#define KEPT_FLOWS 200
/* A datagram with one query, at most. */
#define QUERY_BYTES 100

/* An entry in the first of four data centres with @p agents endpoints. */
static world_t *new_datacentres_world_(int agents)
{
	world_t *world = world_new(1, agents, 41);

	for (int i = 0; i < world->agent_count; i++)
		world->agents[i].datacentre = 1 + (pl_datacentre_id_t)(i % 4);
	world->entries[0].datacentre = 1;
	world_kill_entry(world, 0);
	world_start_entry(world, 0);
	return world;
}

/* Number of calls processed by servers of the first data centre, of @p count
 * calls made there at intervals of @p gap_ms. */
static uint64_t served_in_first_datacentre_(unsigned int slots, int count,
					    pl_ms_t gap_ms)
{
	world_t *world = new_datacentres_world_(40);
	uint64_t served = 0;

	for (int i = 0; i < world->agent_count; i++)
		world->servers[i].slots = slots;
	world_run(world, 1000);
	world_publish(world);
	for (int i = 0; i < count; i++) {
		world_call(world, 1 + (uint32_t)i, SMALL_BYTES, false);
		world_run(world, gap_ms);
	}
	world_run(world, 3000);
	assert_int_equal(world_failed(world, 0), 0);
	for (int i = 0; i < world->agent_count; i += 4)
		served += world->servers[i].requests_started;
	world_delete(world);
	return served;
}

/* Load pattern: low load in several data centres. Requests that cross data
 * centres cost traffic between them, so they must stay in their own. */
static void low_load_stays_in_its_datacentre(void **state)
{
	(void)state;
	assert_true(served_in_first_datacentre_(3, 400, 10) >= 380);
}

/* Load pattern: a data centre has fewer endpoints than are compared, and work
 * for 42 % of their slots. The candidates were then chosen from all data centres,
 * so most of its endpoints were none, and one call in six went elsewhere. */
static void few_local_endpoints_keep_their_work(void **state)
{
	(void)state;
	assert_true(served_in_first_datacentre_(3, 800, 2) >= 780);
}

/* Load pattern: an entry has restarted, and callers go on with flows that it had
 * placed. Their owners have to be among the 20 agents that are queried first, of
 * 52; else all are queried, and on a slow link callers wait. */
static void owners_of_placed_flows_are_queried_first(void **state)
{
	world_t *world = new_datacentres_world_(52);
	call_t *calls[KEPT_FLOWS];
	uint64_t before;

	(void)state;
	world_run(world, 1100);
	world_publish(world);
	for (int i = 0; i < KEPT_FLOWS; i++) {
		calls[i] =
			world_call(world, 1 + (uint32_t)i, SMALL_BYTES, true);
		world_run(world, 5);
	}
	world_run(world, 500);
	world_kill_entry(world, 0);
	world_start_entry(world, 0);
	world_publish(world);
	before = world->lookup_bytes;
	for (int i = 0; i < KEPT_FLOWS; i++) {
		calls[i] = world_call_again(world, calls[i]);
		world_run(world, 50);
	}
	print_message("%d KB of queries\n",
		      (int)((world->lookup_bytes - before) / 1000));
	assert_int_equal(world_failed(world, 0), 0);
	assert_in_range(world->lookup_bytes - before, 1,
			KEPT_FLOWS * 20 * QUERY_BYTES);
	world_delete(world);
}

/* Load pattern: twice the capacity of one data centre arrives there; servers of
 * the other data centres take the excess. */
static void overload_of_one_datacentre_is_spread(void **state)
{
	(void)state;
	/* ten servers with one slot and 25 ms per request serve 400 requests a
	 * second; the load is about 800 */
	assert_in_range(served_in_first_datacentre_(1, 800, 1), 200, 500);
}

/* Load pattern: long flows whose packets pass entries of another data centre.
 * Only entries that place flows need load reports. When 204 agents reported to
 * all entries ten times a second, the reports were most of the traffic between
 * data centres. */
static void only_placing_entries_get_remote_load_reports(void **state)
{
	call_t *calls[20];
	world_t *world = world_new(2, 4, 42);

	(void)state;
	for (int i = 0; i < world->agent_count; i++)
		world->agents[i].datacentre = 1;
	for (int i = 0; i < world->entry_count; i++) {
		world->entries[i].datacentre = 1 + (pl_datacentre_id_t)i;
		world_kill_entry(world, i);
		world_start_entry(world, i);
	}
	world_publish(world);
	world->in_rotation[1] = false;
	for (int i = 0; i < 20; i++) {
		calls[i] =
			world_call(world, 1 + (uint32_t)i, SMALL_BYTES, true);
		world_run(world, 20);
	}
	world_run(world, 500);
	world->in_rotation[0] = false;
	world->in_rotation[1] = true;
	for (int round = 0; round < 5; round++) {
		for (int i = 0; i < 20; i++) {
			calls[i] = world_call_again(world, calls[i]);
			world_run(world, 20);
		}
		world_run(world, 200);
	}
	assert_int_equal(world_failed(world, 0), 0);
	assert_int_equal(world->remote_load_reports, 0);
	/* an entry that places flows there gets reports */
	for (int i = 0; i < 100; i++) {
		world_call(world, 100 + (uint32_t)i, SMALL_BYTES, false);
		world_run(world, 5);
	}
	assert_true(world->remote_load_reports > 0);
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(low_load_stays_in_its_datacentre),
		cmocka_unit_test(few_local_endpoints_keep_their_work),
		cmocka_unit_test(owners_of_placed_flows_are_queried_first),
		cmocka_unit_test(overload_of_one_datacentre_is_spread),
		cmocka_unit_test(only_placing_entries_get_remote_load_reports),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
