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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			late_opening_packet_does_not_hide_an_open_flow),
		cmocka_unit_test(opening_packet_handed_back_ends_no_flow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
