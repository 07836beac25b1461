/**
 * @file
 * Callers use a port again for another flow: what entries and agents know of the
 * first flow must not decide about the second one.
 */
#include "world.h"

#define CALLERS 40
#define REQUEST_BYTES 200
#define ENTRIES 3
#define AGENTS 4
/* Time between the end of a flow and the next one of its port. */
#define PORT_PAUSE_MS 5000

/** How the first flow of a port ends. */
typedef enum {
	END_CLOSED, /* both ends send a FIN */
	END_HALF_CLOSED, /* only the caller sends a FIN */
	END_RESET, /* the caller resets it */
	END_SILENT, /* the caller sends nothing more, and its server holds it */
} end_t;

static void restart_entries_(world_t *world)
{
	for (int i = 0; i < world->entry_count; i++) {
		world_kill_entry(world, i);
		world_start_entry(world, i);
	}
	world_publish(world);
}

static void restart_agents_(world_t *world)
{
	for (int i = 0; i < world->agent_count; i++) {
		world_kill_agent(world, i);
		world_start_agent(world, i);
	}
	world_publish(world);
}

static void use_ports_(world_t *world, call_t **calls, end_t end)
{
	bool keep = end == END_RESET || end == END_SILENT;

	world->servers_close = end == END_CLOSED;
	for (int i = 0; i < CALLERS; i++) {
		calls[i] =
			world_call(world, 1 + (uint32_t)i, REQUEST_BYTES, keep);
		world_run(world, 20);
	}
	world_run(world, 500);
	for (int i = 0; i < CALLERS; i++) {
		assert_int_equal(calls[i]->state, CALL_DONE);
		if (end == END_RESET)
			world_abort(calls[i]);
	}
	world_run(world, PORT_PAUSE_MS);
}

static void use_ports_again_(world_t *world, call_t **calls)
{
	for (int i = 0; i < CALLERS; i++) {
		calls[i] = world_call_from_port(world, calls[i], true);
		world_run(world, 20);
	}
	world_run(world, 500);
	for (int i = 0; i < CALLERS; i++) {
		assert_int_equal(calls[i]->state, CALL_DONE);
		assert_int_equal(calls[i]->resets, 0);
		assert_int_equal(calls[i]->attempts, 1);
	}
}

/* Each flow carries another request, which its server answers. */
static void assert_flows_go_on_(world_t *world, call_t **calls)
{
	for (int i = 0; i < CALLERS; i++) {
		calls[i] = world_call_again(world, calls[i]);
		world_run(world, 10);
	}
	world_run(world, 2000);
	for (int i = 0; i < CALLERS; i++) {
		assert_int_equal(calls[i]->resets, 0);
		assert_int_equal(calls[i]->state, CALL_DONE);
	}
	assert_int_equal(world->misdirected, 0);
}

static void later_flows_go_on_(end_t end, uint32_t seed)
{
	world_t *world = world_new(ENTRIES, AGENTS, seed);
	call_t *calls[CALLERS];

	use_ports_(world, calls, end);
	restart_entries_(world);
	use_ports_again_(world, calls);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* The agent of an ended flow claimed a later flow of the same port, and its
 * server reset that one. */
static void agent_of_an_ended_flow_claims_no_later_one(void **state)
{
	(void)state;
	later_flows_go_on_(END_CLOSED, 1);
}

static void agent_of_a_half_closed_flow_claims_no_later_one(void **state)
{
	(void)state;
	later_flows_go_on_(END_HALF_CLOSED, 2);
}

static void agent_of_a_reset_flow_claims_no_later_one(void **state)
{
	(void)state;
	later_flows_go_on_(END_RESET, 3);
}

static void agent_of_a_silent_flow_claims_no_later_one(void **state)
{
	(void)state;
	later_flows_go_on_(END_SILENT, 4);
}

/* The agents were restarted during the first flows, of which they know only what
 * probes and later packets show. */
static void restarted_agent_claims_no_later_flow(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 5);
	call_t *calls[CALLERS];

	(void)state;
	use_ports_(world, calls, END_SILENT);
	restart_agents_(world);
	assert_flows_go_on_(world, calls);
	restart_entries_(world);
	use_ports_again_(world, calls);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	assert_int_equal(world->false_resets, 0);
	world_delete(world);
}

/* The server of the ended flow holds the later one, too: what its agent has
 * recorded of the end must not count for it. */
static void later_flow_at_the_same_server_goes_on(void **state)
{
	world_t *world = world_new(ENTRIES, 1, 6);
	call_t *calls[CALLERS];

	(void)state;
	use_ports_(world, calls, END_CLOSED);
	use_ports_again_(world, calls);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	assert_int_equal(world->false_resets, 0);
	world_delete(world);
}

/* An agent resets the flows of a server that has ended. It took the later flow of
 * a port for the ended one, of which the caller need not be told. */
static void later_flow_is_reset_with_its_server(void **state)
{
	world_t *world = world_new(ENTRIES, 1, 7);
	call_t *calls[CALLERS];

	(void)state;
	use_ports_(world, calls, END_CLOSED);
	use_ports_again_(world, calls);
	for (int i = 0; i < CALLERS; i++)
		calls[i] = world_call_again(world, calls[i]);
	world_run(world, 3);
	world_crash_server(world, 0);
	world_report_backend_down(world, 0);
	world_run(world, 5);
	for (int i = 0; i < CALLERS; i++)
		assert_int_equal(calls[i]->resets, 1);
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(agent_of_an_ended_flow_claims_no_later_one),
		cmocka_unit_test(
			agent_of_a_half_closed_flow_claims_no_later_one),
		cmocka_unit_test(agent_of_a_reset_flow_claims_no_later_one),
		cmocka_unit_test(agent_of_a_silent_flow_claims_no_later_one),
		cmocka_unit_test(restarted_agent_claims_no_later_flow),
		cmocka_unit_test(later_flow_at_the_same_server_goes_on),
		cmocka_unit_test(later_flow_is_reset_with_its_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
