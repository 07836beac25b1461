#include "world.h"

#include <pimentolift/balance/health.h>

#define SMALL_BYTES 200
#define SERVERS 8
#define CALLS_PER_S 300
/** Part of the calls that a server gets if all are well. */
#define SHARE_PER_S (CALLS_PER_S / SERVERS)

static void run_calls_(world_t *world, pl_ms_t ms)
{
	pl_ms_t until = world->now + ms;
	unsigned int due = 0;

	for (; world->now < until; world_run(world, 1)) {
		for (due += CALLS_PER_S; due >= 1000; due -= 1000)
			world_call(world,
				   1 + (uint32_t)g_rand_int_range(world->random,
								  0, 400),
				   SMALL_BYTES, false);
	}
}

static world_t *new_world_(uint32_t seed)
{
	world_t *world = world_new(2, SERVERS, seed);

	world_run(world, 500);
	run_calls_(world, 4000);
	return world;
}

static pl_flow_agent_stats_t stats_(const world_t *world, int index)
{
	pl_flow_agent_stats_t stats;

	pl_flow_agent_stats(world->agents[index].agent, &stats);
	return stats;
}

/* Requests that the server starts within @p ms. */
static uint64_t started_in_(world_t *world, int index, pl_ms_t ms)
{
	uint64_t before = world->servers[index].requests_started;

	run_calls_(world, ms);
	return world->servers[index].requests_started - before;
}

/* Load pattern: a server answers errors at once. It looks idle and quick, and
 * drew the flows of the others. */
static void erring_server_gets_probes_only(void **state)
{
	world_t *world = new_world_(81);
	uint64_t started;

	(void)state;
	world->servers[7].errs = true;
	run_calls_(world, 500);
	started = started_in_(world, 7, 3000);
	print_message("%u of %u requests at an erring server of %u\n",
		      (unsigned int)started, 3 * CALLS_PER_S, SERVERS);
	assert_in_range(started, 1, 3 * SHARE_PER_S / 10);
	assert_int_equal(stats_(world, 7).health_cause, PL_HEALTH_SHORT);
	assert_true(stats_(world, 7).ejected_refused > 0);
	world->servers[7].errs = false;
	run_calls_(world, 10000);
	assert_int_equal(stats_(world, 7).health, PL_HEALTH_GOOD);
	assert_true(started_in_(world, 7, 2000) > SHARE_PER_S);
	assert_int_equal(world_failed(world, 0), 0);
	world_delete(world);
}

/* Load pattern: all servers answer errors at once, as on a wave of requests that
 * callers got wrong. None is worse than the others, and all are in use. */
static void servers_that_err_alike_stay_in_use(void **state)
{
	world_t *world = new_world_(82);
	pl_ms_t from;

	(void)state;
	for (int i = 0; i < SERVERS; i++)
		world->servers[i].errs = true;
	run_calls_(world, 500);
	from = world->now;
	for (int i = 0; i < SERVERS; i++)
		assert_true(started_in_(world, i, 500) > SHARE_PER_S / 8);
	assert_int_equal(world_failed(world, 0), 0);
	assert_true(world_share_in_time(world, from) > 0.99);
	world_delete(world);
}

/* Load pattern: three servers of eight turn mute and three answer errors. These,
 * the best of the ejected, are needed. */
static void erring_servers_are_needed_beside_mute_ones(void **state)
{
	world_t *world = new_world_(85);
	uint64_t mute = 0;
	uint64_t erring = 0;

	(void)state;
	for (int i = 0; i < 6; i++) {
		world->servers[i].mute = i < 3;
		world->servers[i].errs = i >= 3;
	}
	run_calls_(world, 2500);
	for (int i = 0; i < 6; i++)
		*(i < 3 ? &mute : &erring) += started_in_(world, i, 500);
	print_message("%u requests at mute and %u at erring servers\n",
		      (unsigned int)mute, (unsigned int)erring);
	/* probes */
	assert_in_range(mute, 0, 3 * SHARE_PER_S / 10);
	assert_in_range(erring, 3 * SHARE_PER_S / 4, 6 * SHARE_PER_S);
	world_delete(world);
}

/* Failure: the agent of an ejected server is restarted, and with it its state is
 * lost. It comes back by the server's answers. */
static void restarted_agent_ejects_again(void **state)
{
	world_t *world = new_world_(83);

	(void)state;
	world->servers[7].mute = true;
	run_calls_(world, 2500);
	assert_true(stats_(world, 7).health >= PL_HEALTH_PROBE);
	world_kill_agent(world, 7);
	world_start_agent(world, 7);
	run_calls_(world, 3500);
	assert_true(stats_(world, 7).health >= PL_HEALTH_PROBE);
	assert_in_range(started_in_(world, 7, 3000), 0, 3 * SHARE_PER_S / 10);
	world_delete(world);
}

/* Load pattern: a server goes down and up by turns. It draws flows at each start
 * and loses them. */
static void flapping_server_gets_little_work(void **state)
{
	world_t *world = new_world_(84);
	uint64_t started = 0;

	(void)state;
	for (int i = 0; i < 6; i++) {
		world_crash_server(world, 7);
		world_report_backend_down(world, 7);
		run_calls_(world, 700);
		world_start_server(world, 7);
		started += started_in_(world, 7, 700);
	}
	print_message("%u requests at a server that was up 6 times\n",
		      (unsigned int)started);
	/* those of its first two starts, and probes */
	assert_in_range(started, 1, 6 * 7 * SHARE_PER_S / 20);
	world_delete(world);
}

/* Guards against one crash that counts twice: packets that the server sent before
 * it ended arrive after the agent has noticed the end. */
static void one_crash_ejects_no_server(void **state)
{
	world_t *world = new_world_(86);

	(void)state;
	world->server_delay_max_ms = 50;
	run_calls_(world, 500);
	world_crash_server(world, 7);
	world_report_backend_down(world, 7);
	run_calls_(world, 60);
	world_report_backend_down(world, 7);
	run_calls_(world, 500);
	world_start_server(world, 7);
	assert_int_equal(stats_(world, 7).health, PL_HEALTH_GOOD);
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(erring_server_gets_probes_only),
		cmocka_unit_test(servers_that_err_alike_stay_in_use),
		cmocka_unit_test(erring_servers_are_needed_beside_mute_ones),
		cmocka_unit_test(restarted_agent_ejects_again),
		cmocka_unit_test(one_crash_ejects_no_server),
		cmocka_unit_test(flapping_server_gets_little_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
