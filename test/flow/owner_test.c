#include "world.h"

#define REQUEST_BYTES 200

/* The caller's flow is looked up by entries that know nothing of it. */
static void assert_flow_goes_on_(world_t *world, const call_t *call)
{
	call_t *next;

	for (int i = 0; i < world->entry_count; i++) {
		world_kill_entry(world, i);
		world_start_entry(world, i);
	}
	world_publish(world);
	next = world_call_again(world, call);
	world_run(world, 2000);
	assert_int_equal(world->false_resets, 0);
	assert_int_equal(next->state, CALL_DONE);
	assert_int_equal(next->resets, 0);
}

/* A copy of the packet that opened a flow comes late, at an agent that was
 * restarted meanwhile and knows nothing of the flow. */
static void late_opening_packet_does_not_hide_an_open_flow(void **state)
{
	world_t *world = world_new(2, 4, 5);
	call_t *call = world_call(world, 1, REQUEST_BYTES, true);
	int owner;

	(void)state;
	world_run(world, 500);
	assert_int_equal(call->state, CALL_DONE);
	owner = world_owner(world, call);
	world->servers[owner].copies = COPY_IGNORED;
	world_kill_agent(world, owner);
	world_start_agent(world, owner);
	/* the server reports to the agent, which then admits flows */
	world_run(world, 1000);
	world_resend_opening(call);
	world_run(world, 100);
	assert_flow_goes_on_(world, call);
	world_delete(world);
}

/* A full server may hand back a copy of the packet that opened a flow although
 * it holds the flow. */
static void opening_packet_handed_back_ends_no_flow(void **state)
{
	world_t *world = world_new(1, 4, 5);
	call_t *call = world_call(world, 1, REQUEST_BYTES, true);

	(void)state;
	world_run(world, 500);
	assert_int_equal(call->state, CALL_DONE);
	world->servers[world_owner(world, call)].copies = COPY_HANDED_BACK;
	world_resend_opening(call);
	world_run(world, 100);
	assert_flow_goes_on_(world, call);
	world_delete(world);
}

static void route_to_(world_t *world, int entry)
{
	for (int i = 0; i < world->entry_count; i++)
		world->in_rotation[i] = i == entry;
}

/* Lists only the agents from @p first to @p last at an entry. */
static void publish_some_(world_t *world, int entry, int first, int last)
{
	for (int i = 0; i < world->agent_count; i++)
		world->agents[i].listed = i >= first && i <= last;
	world_publish_to(world, entry);
}

/* A copy of an opening packet reaches another entry than the first one, by
 * which the flow was opened. All servers that this entry knows have more work
 * than they can do in time. */
static void hopeless_copy_resets_no_open_flow(void **state)
{
	world_t *world = world_new(2, 4, 5);

	(void)state;
	for (int i = 0; i < world->agent_count; i++)
		world->servers[i].work_ms = 200;
	world->deadline_ms = 1000;
	publish_some_(world, 0, 0, 1);
	publish_some_(world, 1, 2, 3);
	route_to_(world, 1);
	world_start_calls(world, REQUEST_BYTES, 120, 3000);
	for (int i = 0; i < 20; i++) {
		call_t *call;

		route_to_(world, 0);
		call = world_call(world, 500, REQUEST_BYTES, true);
		world_run(world, 12);
		assert_true(world_owner(world, call) >= 0);
		route_to_(world, 1);
		world_resend_opening(call);
		world_start_calls(world, REQUEST_BYTES, 120, 200);
	}
	assert_int_equal(world->false_resets, 0);
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			late_opening_packet_does_not_hide_an_open_flow),
		cmocka_unit_test(opening_packet_handed_back_ends_no_flow),
		cmocka_unit_test(hopeless_copy_resets_no_open_flow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
