#include "world.h"

#include <pimentolift/flow_explain.h>

#define SMALL_BYTES 200
/** Address of the route in the simulation, and a caller that it does not have. */
#define SERVICE_IP 0xc6120001U
#define SERVICE_PORT 8443
#define PROBE_IP 0x0b000001U
#define ROUNDS 50

/* Highest load of an agent as the entry knows it. */
static uint32_t most_busy_(const world_t *world, int entry)
{
	const pl_flow_key_t key = { PROBE_IP, SERVICE_IP, 1, SERVICE_PORT };
	pl_flow_explanation_t told;
	uint32_t most = 0;

	pl_flow_entry_explain(world->entries[entry].entry, &key, &told);
	assert_int_equal(told.candidate_count, world->agent_count);
	for (size_t i = 0; i < told.candidate_count; i++)
		most = MAX(most, told.candidates[i].load.busy);
	return most;
}

/* Guards against an entry that keeps an old load: a reply told it the load between
 * two reports, and as the load was then what the report before had said, the next
 * one was left out. */
static void entries_learn_that_servers_are_idle(void **state)
{
	world_t *world = world_new(2, 2, 46);

	(void)state;
	world_run(world, 1100);
	for (int round = 0; round < ROUNDS; round++) {
		for (int i = g_rand_int_range(world->random, 2, 10); i > 0; i--)
			world_call(world, 1 + (uint32_t)(round * 10 + i),
				   SMALL_BYTES, false);
		world_run(world, 300);
		for (int i = 0; i < world->entry_count; i++)
			assert_int_equal(most_busy_(world, i), 0);
	}
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(entries_learn_that_servers_are_idle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
