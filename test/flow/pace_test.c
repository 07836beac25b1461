#include "world.h"

#include <pimentolift/balance/pace.h>

#define SMALL_BYTES 200

static void start_calls_(world_t *world, unsigned int per_s, pl_ms_t ms)
{
	pl_ms_t until = world->now + ms;
	unsigned int due = 0;

	while (world->now < until) {
		world_run(world, 1);
		due += per_s;
		for (; due >= 1000; due -= 1000)
			world_call(world,
				   1 + (uint32_t)g_rand_int_range(world->random,
								  0, 400),
				   SMALL_BYTES, false);
	}
}

static void replace_server_(world_t *world, int index, uint32_t warmup_ms)
{
	world_crash_server(world, index);
	world_kill_agent(world, index);
	world_start_agent(world, index);
	world->servers[index].warmup_ms = warmup_ms;
	world_start_server(world, index);
	world_publish(world);
}

/* Load pattern: a server starts while the others have work for a small part of
 * their slots. An endpoint that had not reported its load counted as half used,
 * so it got no flow, and without flows it did not report. */
static void started_server_gets_work_under_low_load(void **state)
{
	world_t *world = world_new(2, 8, 61);

	(void)state;
	world->agents[7].listed = false;
	world_publish(world);
	world_run(world, 500);
	start_calls_(world, 60, 2000);
	world->agents[7].listed = true;
	replace_server_(world, 7, 0);
	world->servers[7].requests_started = 0;
	start_calls_(world, 60, 3000);
	world_run(world, 300);
	assert_int_equal(world_failed(world, 0), 0);
	/* its share is 22 */
	assert_in_range(world->servers[7].requests_started, 11, 44);
	world_delete(world);
}

/* Guards against a lost agent that draws all new flows because its load is not
 * known: a flow offered there waits for the caller's next copy. */
static void lost_agent_gets_few_flows(void **state)
{
	world_t *world = world_new(2, 8, 62);
	unsigned int delayed = 0;

	(void)state;
	world->agents[7].listed = false;
	world_publish(world);
	world_run(world, 500);
	start_calls_(world, 60, 1000);
	world->agents[7].listed = true;
	world_kill_agent(world, 7);
	world_publish(world);
	start_calls_(world, 60, 2000);
	world_run(world, 300);
	assert_int_equal(world_failed(world, 0), 0);
	for (guint i = 0; i < world->calls->len; i++) {
		const call_t *call = world->calls->pdata[i];

		delayed += call->duration >= 200;
	}
	/* one from each entry */
	assert_in_range(delayed, 1, 2);
	world_delete(world);
}

#define COLD_MS 2000
#define COLD_RATE 4

/* Runs @p ms with 400 calls a second; returns the most requests that the server
 * started in any second. */
static uint64_t most_in_a_second_(world_t *world, const server_t *server,
				  pl_ms_t ms)
{
	uint64_t started[COLD_MS + 1000] = { 0 };
	uint64_t most = 0;

	for (pl_ms_t i = 0; i < ms; i++) {
		world_run(world, 1);
		if (i % 5 < 2)
			world_call(world, 1 + (uint32_t)i, SMALL_BYTES, false);
		started[i] = server->requests_started;
		if (i >= 1000)
			most = MAX(most, started[i] - started[i - 1000]);
	}
	return MAX(most, started[MIN(ms, 1000) - 1]);
}

static void set_cold_limit_(world_t *world, int index)
{
	const pl_service_policy_t policy = { .warmup_ms = COLD_MS,
					     .warmup_rate_milli =
						     COLD_RATE * 1000 };

	pl_flow_agent_set_policy(world->agents[index].agent, &policy);
}

/* Load pattern: all entries send their flows to a server that has just started.
 * The configuration says what it bears; the rest goes elsewhere, and it gets
 * its share once it is warm. */
static void cold_server_gets_what_it_bears(void **state)
{
	world_t *world = world_new(7, 8, 63);
	server_t *server = &world->servers[7];

	(void)state;
	world_run(world, 3500);
	replace_server_(world, 7, COLD_MS);
	server->warmup_ms = 0;
	set_cold_limit_(world, 7);
	server->requests_started = 0;
	assert_in_range(most_in_a_second_(world, server, COLD_MS), 1,
			COLD_RATE);
	server->requests_started = 0;
	assert_true(most_in_a_second_(world, server, 1000) > 3 * COLD_RATE);
	world_run(world, 3000);
	assert_int_equal(world_failed(world, 0), 0);
	assert_int_equal(world->false_resets, 0);
	world_delete(world);
}

/* Load pattern: a data centre is taken back into service, and its servers are
 * cold although they did not start. What their open flows ask for counts. */
static void returned_server_gets_what_it_bears(void **state)
{
	world_t *world = world_new(7, 8, 64);
	pl_flow_agent_t *agent = world->agents[7].agent;
	server_t *server = &world->servers[7];
	pl_flow_agent_stats_t stats;

	(void)state;
	set_cold_limit_(world, 7);
	world_run(world, 3500);
	pl_flow_agent_set_evacuated(agent, true);
	start_calls_(world, 200, 1000);
	world_run(world, 500);
	server->requests_started = 0;
	pl_flow_agent_set_evacuated(agent, false);
	assert_in_range(most_in_a_second_(world, server, COLD_MS - 100), 1,
			COLD_RATE);
	pl_flow_agent_stats(agent, &stats);
	assert_true(stats.cold_refused > 0);
	world_run(world, 3000);
	assert_int_equal(world_failed(world, 0), 0);
	world_delete(world);
}

/* Guards against an agent that takes its server for a started one because the
 * agent itself has started. */
static void restarted_agent_paces_no_warm_server(void **state)
{
	world_t *world = world_new(1, 4, 65);
	pl_flow_agent_stats_t stats;

	(void)state;
	pl_flow_agent_stats(world->agents[0].agent, &stats);
	assert_int_equal(stats.load.limit, PL_PACE_SLOT);
	world_run(world, 5000);
	world_kill_agent(world, 0);
	world_start_agent(world, 0);
	world_run(world, 1500);
	pl_flow_agent_stats(world->agents[0].agent, &stats);
	assert_true(stats.serving);
	assert_int_equal(stats.load.limit, 0);
	world_delete(world);
}

/* Load pattern: a server takes requests and never answers. Its slots get free
 * when its requests time out, so it looked as idle as the others. */
static void mute_server_gets_little_work(void **state)
{
	world_t *world = world_new(2, 8, 66);
	server_t *server = &world->servers[7];
	pl_flow_agent_stats_t stats;
	uint64_t before;

	(void)state;
	world_run(world, 500);
	start_calls_(world, 300, 4000);
	server->mute = true;
	start_calls_(world, 300, 2000);
	pl_flow_agent_stats(world->agents[7].agent, &stats);
	assert_int_equal(stats.load.limit, PL_PACE_SLOT);
	before = server->requests_started;
	start_calls_(world, 300, 2000);
	print_message("%u of 600 requests at a mute server of 8\n",
		      (unsigned int)(server->requests_started - before));
	assert_in_range(server->requests_started - before, 1, 7);
	server->mute = false;
	start_calls_(world, 300, 8000);
	pl_flow_agent_stats(world->agents[7].agent, &stats);
	assert_int_equal(stats.load.limit, 0);
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(started_server_gets_work_under_low_load),
		cmocka_unit_test(lost_agent_gets_few_flows),
		cmocka_unit_test(cold_server_gets_what_it_bears),
		cmocka_unit_test(returned_server_gets_what_it_bears),
		cmocka_unit_test(restarted_agent_paces_no_warm_server),
		cmocka_unit_test(mute_server_gets_little_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
