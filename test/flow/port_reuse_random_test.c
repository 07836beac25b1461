/**
 * @file
 * Random runs in which callers use ports again while entries, agents and servers
 * are restarted, servers drain and the routers move flows.
 */
#include "world.h"

#include <stdlib.h>

#define ENTRIES 3
#define AGENTS 5
#define SEEDS 200
#define STEPS 150
#define STEP_MAX_MS 60
#define REQUEST_BYTES 200
#define CALLERS 20
/* Time from the start of a request until the port of its flow may be used again. */
#define REUSE_AFTER_MS 1000
/* By then a server has reported a change of its state. */
#define REPORT_PAUSE_MS 1100
/* Share of the steps in percent that change something besides the calls. */
#define CHANGE_PERCENT 12
#define PERCENT 100
#define CHECK_CALLS 30
#define CHECK_MS 3000

static int random_below_(world_t *world, int end)
{
	return g_rand_int_range(world->random, 0, end);
}

/* Returns a call of the last ones that @p fits, or NULL. */
static call_t *choose_call_(world_t *world, bool (*fits)(const world_t *world,
							 const call_t *call))
{
	for (int i = 0; i < CALLERS && world->calls->len > 0; i++) {
		call_t *call = world->calls->pdata[random_below_(
			world, (int)world->calls->len)];

		if (!call->has_followup && fits(world, call))
			return call;
	}
	return NULL;
}

static bool is_port_free_(const world_t *world, const call_t *call)
{
	return call->closed && world->now - call->started > REUSE_AFTER_MS;
}

static bool is_kept_(const world_t *world, const call_t *call)
{
	(void)world;
	return call->keep_open && call->state == CALL_DONE;
}

/* Starts a request on a new flow, from a port used before if there is one. */
static void open_flow_(world_t *world)
{
	bool keep = random_below_(world, 2) == 0;
	call_t *before = random_below_(world, 3) > 0 ?
				 choose_call_(world, is_port_free_) :
				 NULL;

	if (!before) {
		world_call(world, 1 + (uint32_t)random_below_(world, CALLERS),
			   REQUEST_BYTES, keep);
		return;
	}
	before->has_followup = true;
	world_call_from_port(world, before, keep);
}

/* Starts a request on a flow that is open, or on a new one. */
static void start_call_(world_t *world)
{
	call_t *kept = random_below_(world, 4) == 0 ?
			       choose_call_(world, is_kept_) :
			       NULL;

	if (!kept) {
		open_flow_(world);
		return;
	}
	kept->has_followup = true;
	world_call_again(world, kept);
}

static void restart_entry_(world_t *world)
{
	int entry = random_below_(world, ENTRIES);

	world_kill_entry(world, entry);
	world_start_entry(world, entry);
	world_publish_to(world, entry);
}

static void restart_agent_(world_t *world)
{
	int agent = random_below_(world, AGENTS);

	world_kill_agent(world, agent);
	world_start_agent(world, agent);
	world_publish(world);
}

static void replace_server_(world_t *world, int index)
{
	world_crash_server(world, index);
	world->servers[index].draining = false;
	world_start_server(world, index);
}

/* A server drains, or one that drains is replaced. */
static void drain_server_(world_t *world)
{
	int index = random_below_(world, AGENTS - 1);
	server_t *server = &world->servers[index];

	if (server->draining) {
		replace_server_(world, index);
		return;
	}
	server->draining = true;
	world_run(world, REPORT_PAUSE_MS);
	server->opened_while_draining = 0;
}

static void change_something_(world_t *world)
{
	int entry = random_below_(world, ENTRIES - 1);

	switch (random_below_(world, 5)) {
	case 0:
		restart_entry_(world);
		break;
	case 1:
		restart_agent_(world);
		break;
	case 2:
		drain_server_(world);
		break;
	case 3:
		replace_server_(world, random_below_(world, AGENTS));
		break;
	default:
		world->in_rotation[entry] = !world->in_rotation[entry];
	}
}

static uint64_t count_opened_while_draining_(const world_t *world)
{
	uint64_t sum = 0;

	for (int i = 0; i < AGENTS; i++)
		sum += world->servers[i].opened_while_draining;
	return sum;
}

/* Flows of new ports and of ports used before are opened at the first attempt. */
static void check_service_(world_t *world)
{
	pl_ms_t from;

	for (int i = 0; i < AGENTS; i++) {
		if (world->servers[i].draining)
			replace_server_(world, i);
	}
	world_run(world, CHECK_MS);
	from = world->now;
	for (int i = 0; i < CHECK_CALLS; i++) {
		open_flow_(world);
		world_run(world, STEP_MAX_MS);
	}
	world_run(world, CHECK_MS);
	for (guint i = 0; i < world->calls->len; i++) {
		const call_t *call = world->calls->pdata[i];

		if (call->started < from)
			continue;
		assert_int_equal(call->state, CALL_DONE);
		assert_int_equal(call->attempts, 1);
	}
}

/* Returns whether a guarantee was broken. */
static bool play_(uint32_t seed)
{
	world_t *world = world_new(ENTRIES, AGENTS, seed);
	uint64_t opened;
	bool broken;

	world->servers_close = true;
	world->near_seqs = seed % 2 == 0;
	/* no process of a server starts in the millisecond of the one before */
	world_run(world, 1);
	for (int i = 0; i < STEPS; i++) {
		start_call_(world);
		if (random_below_(world, PERCENT) < CHANGE_PERCENT)
			change_something_(world);
		world_run(world,
			  1 + (pl_ms_t)random_below_(world, STEP_MAX_MS));
	}
	opened = count_opened_while_draining_(world);
	broken = world->false_resets + world->misdirected + opened > 0;
	if (broken)
		print_message("seed %u: %d reset, %d misdirected, %d opened "
			      "while draining\n",
			      seed, (int)world->false_resets,
			      (int)world->misdirected, (int)opened);
	else
		check_service_(world);
	world_delete(world);
	return broken;
}

static void flows_of_used_ports_keep_their_guarantees(void **state)
{
	const char *text = getenv("PL_FLOW_SEEDS");
	const char *first = getenv("PL_FLOW_FIRST_SEED");
	uint32_t seeds = text ? (uint32_t)atoi(text) : SEEDS;
	uint32_t seed = first ? (uint32_t)atoi(first) : 1;
	unsigned int broken = 0;

	(void)state;
	for (; seed <= seeds; seed++)
		broken += play_(seed);
	print_message("%u of %u seeds broken\n", broken, seeds);
	assert_int_equal(broken, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(flows_of_used_ports_keep_their_guarantees),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
