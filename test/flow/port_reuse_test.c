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
/* By then a server has reported a change of its state. */
#define REPORT_PAUSE_MS 1100
/* An opening packet has reached its server, but no answer its caller. */
#define ENTRY_DELAY_MS 5

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

/* Guards against an agent that claims a later flow of the port of one that has
 * ended, so that its server resets it. */
static void agent_of_an_ended_flow_claims_no_later_one(void **state)
{
	(void)state;
	later_flows_go_on_(END_CLOSED, 1);
}

/* The same with a flow that only its caller has closed. */
static void agent_of_a_half_closed_flow_claims_no_later_one(void **state)
{
	(void)state;
	later_flows_go_on_(END_HALF_CLOSED, 2);
}

/* The same with a flow that its caller has reset. */
static void agent_of_a_reset_flow_claims_no_later_one(void **state)
{
	(void)state;
	later_flows_go_on_(END_RESET, 3);
}

/* The same with a flow that its caller has left without a packet. */
static void agent_of_a_silent_flow_claims_no_later_one(void **state)
{
	(void)state;
	later_flows_go_on_(END_SILENT, 4);
}

/* The same with agents that were restarted during the first flows, of which they
 * know only what probes and later packets show. */
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

/* All servers but the last one drain, and have reported so. */
static void drain_servers_(world_t *world)
{
	for (int i = 0; i < AGENTS - 1; i++)
		world->servers[i].draining = true;
	world_run(world, REPORT_PAUSE_MS);
}

static void assert_none_opened_while_draining_(const world_t *world)
{
	for (int i = 0; i < world->agent_count; i++)
		assert_int_equal(world->servers[i].opened_while_draining, 0);
}

static void draining_servers_take_none_(end_t end, uint32_t seed)
{
	world_t *world = world_new(ENTRIES, AGENTS, seed);
	call_t *calls[CALLERS];

	use_ports_(world, calls, end);
	drain_servers_(world);
	use_ports_again_(world, calls);
	assert_none_opened_while_draining_(world);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* Guards against a server that drains and takes new flows from ports that have had
 * a flow there. */
static void draining_server_takes_no_flow_of_a_used_port(void **state)
{
	(void)state;
	draining_servers_take_none_(END_CLOSED, 11);
	draining_servers_take_none_(END_HALF_CLOSED, 12);
	draining_servers_take_none_(END_RESET, 13);
	draining_servers_take_none_(END_SILENT, 14);
}

/* The entries have looked the first flows up, and know no opening packets. */
static void owner_that_was_looked_up_takes_no_later_flow(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 15);
	call_t *calls[CALLERS];

	(void)state;
	use_ports_(world, calls, END_SILENT);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	drain_servers_(world);
	use_ports_again_(world, calls);
	assert_none_opened_while_draining_(world);
	world_delete(world);
}

/* The numbers of the later flow do not tell it from the first one at an entry that
 * knows no opening packet, but its agent does. */
static void agent_refuses_what_its_entry_takes_for_a_copy(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 21);
	call_t *calls[CALLERS];

	(void)state;
	world->near_seqs = true;
	use_ports_(world, calls, END_SILENT);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	drain_servers_(world);
	use_ports_again_(world, calls);
	assert_none_opened_while_draining_(world);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* The agents know the first flows from probes and later packets only. */
static void restarted_agent_beside_a_draining_server_takes_none(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 16);
	call_t *calls[CALLERS];

	(void)state;
	use_ports_(world, calls, END_SILENT);
	restart_agents_(world);
	assert_flows_go_on_(world, calls);
	drain_servers_(world);
	use_ports_again_(world, calls);
	assert_none_opened_while_draining_(world);
	world_delete(world);
}

/* An opening packet was offered to a server that never got an answer. */
static void offer_that_was_not_taken_up_admits_no_later_flow(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 17);
	call_t *calls[CALLERS];

	(void)state;
	for (int i = 0; i < CALLERS; i++) {
		calls[i] =
			world_call(world, 1 + (uint32_t)i, REQUEST_BYTES, true);
		world_run(world, ENTRY_DELAY_MS);
		world_lose_caller(calls[i]);
	}
	world_run(world, PORT_PAUSE_MS);
	drain_servers_(world);
	use_ports_again_(world, calls);
	assert_none_opened_while_draining_(world);
	world_delete(world);
}

/* A server that is full hands the opening packet of the later flow back. */
static void later_flow_that_is_handed_back_goes_elsewhere(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 18);
	call_t *calls[CALLERS];

	(void)state;
	use_ports_(world, calls, END_CLOSED);
	for (int i = 0; i < AGENTS - 1; i++)
		world->servers[i].full = true;
	use_ports_again_(world, calls);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* Later flows follow the weights in force, not the owners of earlier ones. */
static void later_flow_follows_the_weights(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 19);
	call_t *calls[CALLERS];
	uint64_t opened = 0;

	(void)state;
	world_split_services(world, AGENTS / 2);
	world->weighted = true;
	world->weights[0] = 1000000;
	world->weights[1] = 0;
	world_publish(world);
	use_ports_(world, calls, END_CLOSED);
	for (int i = 0; i < AGENTS / 2; i++)
		opened += world->servers[i].opened;
	world->weights[0] = 0;
	world->weights[1] = 1000000;
	world_publish(world);
	use_ports_again_(world, calls);
	for (int i = 0; i < AGENTS / 2; i++)
		opened -= world->servers[i].opened;
	assert_int_equal(opened, 0);
	world_delete(world);
}

/* An agent whose data centre is evacuated dropped the opening packet of a later
 * flow as a copy, so that its caller had to give up the attempt. */
static void later_flow_leaves_an_evacuated_agent(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 20);
	call_t *calls[CALLERS];

	(void)state;
	use_ports_(world, calls, END_SILENT);
	for (int i = 0; i < AGENTS - 1; i++)
		pl_flow_agent_set_evacuated(world->agents[i].agent, true);
	use_ports_again_(world, calls);
	world_delete(world);
}

static void route_to_(world_t *world, int entry)
{
	for (int i = 0; i < world->entry_count; i++)
		world->in_rotation[i] = i == entry;
}

/* New flows open at one half of the servers. */
static void open_at_half_(world_t *world, bool first_half)
{
	for (int i = 0; i < AGENTS; i++)
		world->servers[i].full = (i < AGENTS / 2) != first_half;
}

/* An entry knows the owner of the first flow only; the later one was opened
 * through another entry. Its agent, which was restarted meanwhile, took the owner
 * for granted and passed on the server's reset. */
static void owner_of_the_first_flow_resets_no_later_one(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 22);
	call_t *calls[CALLERS];

	(void)state;
	route_to_(world, 0);
	open_at_half_(world, true);
	use_ports_(world, calls, END_CLOSED);
	route_to_(world, 1);
	open_at_half_(world, false);
	use_ports_again_(world, calls);
	restart_agents_(world);
	route_to_(world, 0);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* Opens the first flows at one half of the servers, the later ones at the other,
 * and restarts all agents and entries. */
static world_t *new_world_of_moved_ports_(end_t end, uint32_t seed,
					  call_t **calls)
{
	world_t *world = world_new(ENTRIES, AGENTS, seed);

	open_at_half_(world, true);
	use_ports_(world, calls, end);
	open_at_half_(world, false);
	use_ports_again_(world, calls);
	restart_agents_(world);
	restart_entries_(world);
	return world;
}

/* The server of the first flow still holds it, and answers a probe of the later
 * one with the numbers of the first. That confirmed the later flow. */
static void answer_with_other_numbers_confirms_no_flow(void **state)
{
	call_t *calls[CALLERS];
	world_t *world = new_world_of_moved_ports_(END_SILENT, 23, calls);

	(void)state;
	assert_flows_go_on_(world, calls);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* The same with the first flow ended, whose server acknowledges a FIN. A second
 * FIN finds its server without another probe. */
static void acknowledged_fin_confirms_no_flow(void **state)
{
	call_t *calls[CALLERS];
	world_t *world = new_world_of_moved_ports_(END_CLOSED, 24, calls);
	uint64_t probed;

	(void)state;
	for (int i = 0; i < CALLERS; i++)
		world_close(calls[i]);
	world_run(world, 2000);
	probed = world_unowned_packets(world);
	restart_entries_(world);
	for (int i = 0; i < CALLERS; i++)
		world_close(calls[i]);
	world_run(world, 2000);
	assert_int_equal(world_unowned_packets(world), probed);
	world_delete(world);
}

/* A packet of the first flow comes late, at an agent that was restarted, and its
 * server hands it back. That says nothing of the flow that it holds. */
static void hand_back_of_the_first_flow_hides_no_later_one(void **state)
{
	world_t *world = world_new(ENTRIES, 1, 26);
	call_t *first[CALLERS];
	call_t *calls[CALLERS];

	(void)state;
	use_ports_(world, first, END_CLOSED);
	for (int i = 0; i < CALLERS; i++)
		calls[i] = first[i];
	use_ports_again_(world, calls);
	world->servers[0].strict = true;
	restart_agents_(world);
	restart_entries_(world);
	for (int i = 0; i < CALLERS; i++)
		world_close(first[i]);
	world_run(world, 500);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* Agents tell entries of probes, so that those of one flow are bounded. The probes
 * of the first flow must not keep an entry from finding the later one, whose agent
 * has been restarted. */
static void probes_of_the_first_flow_do_not_count_for_a_later_one(void **state)
{
	world_t *world = world_new(ENTRIES, AGENTS, 28);
	call_t *calls[CALLERS];

	(void)state;
	open_at_half_(world, true);
	use_ports_(world, calls, END_SILENT);
	restart_agents_(world);
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	open_at_half_(world, false);
	use_ports_again_(world, calls);
	for (int i = AGENTS / 2; i < AGENTS; i++) {
		world_kill_agent(world, i);
		world_start_agent(world, i);
	}
	restart_entries_(world);
	assert_flows_go_on_(world, calls);
	world_delete(world);
}

/* An agent hands a packet of the first flow back after the entry has learnt of the
 * later one, which it must not look up for that. */
static void hand_back_of_the_first_flow_moves_no_later_one(void **state)
{
	world_t *world = world_new(1, 1, 29);
	call_t *call = world_call(world, 1, REQUEST_BYTES, true);
	const pl_packet_t packet = { .src = { call->ip, call->port },
				     .dst = { WORLD_SERVICE_IP,
					      WORLD_SERVICE_PORT },
				     .flags = PL_PACKET_ACK,
				     .seq = UINT32_C(1) << 30,
				     .ack = 1 };
	const pl_flow_message_t message = {
		.type = PL_FLOW_VERDICT,
		.sender = world->agents[0].id,
		.service = pl_service_id(WORLD_SERVICE),
		.flow = pl_packet_flow(&packet),
		.verdict = PL_FLOW_ABSENT,
		.packet = (const uint8_t *)&packet,
		.packet_len = sizeof(packet),
	};
	pl_flow_entry_stats_t stats;

	(void)state;
	world_run(world, 500);
	assert_int_equal(call->state, CALL_DONE);
	pl_flow_entry_message(world->entries[0].entry, &message);
	pl_flow_entry_stats(world->entries[0].entry, &stats);
	assert_int_equal(stats.lookups, 0);
	world_delete(world);
}

/* Sends an agent a packet of a caller as one that is known to be its flow. */
static void forward_(world_t *world, const pl_packet_t *packet)
{
	const pl_flow_message_t message = {
		.type = PL_FLOW_FORWARD,
		.sender = world->entries[0].id,
		.service = pl_service_id(WORLD_SERVICE),
		.flow = pl_packet_flow(packet),
		.flags = PL_FLOW_OWNER_KNOWN,
		.packet = (const uint8_t *)packet,
		.packet_len = sizeof(*packet),
	};

	pl_flow_agent_message(world->agents[0].agent, &message);
}

/* A packet of the first flow of a port, and the answer of the server, which holds
 * another flow of the port. */
static const pl_packet_t probe_ = { .src = { 1, 1 },
				    .dst = { 2, 2 },
				    .flags = PL_PACKET_ACK,
				    .seq = 1000,
				    .ack = 1000000 };
static const pl_packet_t answer_ = { .src = { 2, 2 },
				     .dst = { 1, 1 },
				     .flags = PL_PACKET_ACK,
				     .seq = 2000000,
				     .ack = 5000 };

/* A restarted agent has learnt from an answer that its server holds another flow
 * than the one that it was sent a packet of. */
static world_t *new_world_with_other_flow_(uint32_t seed)
{
	world_t *world = world_new(1, 1, seed);
	pl_packet_t answer = answer_;

	world->servers[0].mute = true;
	restart_agents_(world);
	world_run(world, REPORT_PAUSE_MS);
	forward_(world, &probe_);
	pl_flow_agent_packet(world->agents[0].agent, (uint8_t *)&answer,
			     sizeof(answer));
	return world;
}

/* A probe of an earlier flow is handed back after the server has shown that it
 * holds another one, which is open. */
static void late_hand_back_ends_no_other_flow(void **state)
{
	world_t *world = new_world_with_other_flow_(25);
	pl_flow_agent_stats_t stats;
	pl_packet_t packet = probe_;

	(void)state;
	packet.flags |= PL_PACKET_BOUNCED;
	pl_flow_agent_packet(world->agents[0].agent, (uint8_t *)&packet,
			     sizeof(packet));
	pl_flow_agent_stats(world->agents[0].agent, &stats);
	assert_int_equal(stats.flows, 1);
	world_delete(world);
}

/* Callers ignore resets with numbers far from their last acknowledgement. */
static void reset_has_the_numbers_of_the_later_flow(void **state)
{
	world_t *world = new_world_with_other_flow_(27);

	(void)state;
	world_crash_server(world, 0);
	world_report_backend_down(world, 0);
	assert_in_range(world->last_reset_seq,
			answer_.seq - PL_FLOW_ACK_WINDOW_BYTES,
			answer_.seq + PL_FLOW_ACK_WINDOW_BYTES);
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
		cmocka_unit_test(draining_server_takes_no_flow_of_a_used_port),
		cmocka_unit_test(owner_that_was_looked_up_takes_no_later_flow),
		cmocka_unit_test(agent_refuses_what_its_entry_takes_for_a_copy),
		cmocka_unit_test(
			restarted_agent_beside_a_draining_server_takes_none),
		cmocka_unit_test(
			offer_that_was_not_taken_up_admits_no_later_flow),
		cmocka_unit_test(later_flow_that_is_handed_back_goes_elsewhere),
		cmocka_unit_test(later_flow_follows_the_weights),
		cmocka_unit_test(later_flow_leaves_an_evacuated_agent),
		cmocka_unit_test(owner_of_the_first_flow_resets_no_later_one),
		cmocka_unit_test(answer_with_other_numbers_confirms_no_flow),
		cmocka_unit_test(acknowledged_fin_confirms_no_flow),
		cmocka_unit_test(
			hand_back_of_the_first_flow_hides_no_later_one),
		cmocka_unit_test(
			probes_of_the_first_flow_do_not_count_for_a_later_one),
		cmocka_unit_test(
			hand_back_of_the_first_flow_moves_no_later_one),
		cmocka_unit_test(late_hand_back_ends_no_other_flow),
		cmocka_unit_test(reset_has_the_numbers_of_the_later_flow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
