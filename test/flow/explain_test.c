#include "world.h"

#include <pimentolift/flow_explain.h>
#include <string.h>

#define SMALL_BYTES 200
#define ENTRIES 2
#define AGENTS 8
/** Agents of the first service; the others are of the second one. */
#define FIRST 5
#define SEEDS 20
#define STATES 200
#define EAST 76
#define WEST 77
/** Address of the route in the simulation, and callers that it does not have. */
#define SERVICE_IP 0xc6120001U
#define SERVICE_PORT 8443
#define PROBE_IP 0x0b000001U

static int random_(GRand *random, int below)
{
	return g_rand_int_range(random, 0, below);
}

/* The first service is in two data centres, the second one in the west. */
static world_t *new_world_(uint32_t seed)
{
	world_t *world = world_new(ENTRIES, AGENTS, seed);

	for (int i = 0; i < AGENTS; i++)
		world->agents[i].datacentre = i < FIRST && i % 2 ? EAST : WEST;
	world_split_services(world, FIRST);
	world_run(world, 1100);
	return world;
}

/* Changes weights, evacuations or a server once in a while, and adds load. */
static void step_(world_t *world, GRand *random)
{
	static const uint32_t weights[][WORLD_SERVICES] = {
		{ 700000, 300000 }, { 1000000, 0 }, { 0, 1000000 }, { 0, 0 }
	};
	int server = random_(random, AGENTS);

	switch (random_(random, 40)) {
	case 0:
		memcpy(world->weights, weights[random_(random, 4)],
		       sizeof(world->weights));
		world->weighted = random_(random, 4) > 0;
		world_publish(world);
		break;
	case 1:
		world->evacuations = (pl_evacuations_t){ 0 };
		if (random_(random, 2))
			pl_evacuations_add(&world->evacuations, WEST);
		world_publish(world);
		break;
	case 2:
		world->servers[server].work_ms =
			5 + (pl_ms_t)random_(random, 300);
		break;
	default:
		break;
	}
	for (int i = random_(random, 8); i > 0; i--)
		world_call(world, 1 + (uint32_t)random_(random, 400),
			   SMALL_BYTES, false);
	world_run(world, 1 + (pl_ms_t)random_(random, 60));
}

static pl_flow_explanation_t explain_(const pl_flow_entry_t *entry,
				      const pl_flow_key_t *key)
{
	pl_flow_explanation_t explanation;

	pl_flow_entry_explain(entry, key, &explanation);
	return explanation;
}

static void send_opening_(pl_flow_entry_t *entry, const pl_flow_key_t *key,
			  uint32_t copy)
{
	const pl_packet_t packet = {
		.src = { key->caller_ip, key->caller_port },
		.dst = { key->service_ip, key->service_port },
		.flags = PL_PACKET_SYN,
		.seq = 999,
		.ack = copy,
	};

	pl_flow_entry_packet(entry, (const uint8_t *)&packet, sizeof(packet));
}

/* The copy @p copy of an opening packet has to be handled as explained. */
static pl_flow_step_t assert_agrees_(pl_flow_entry_t *entry,
				     const pl_flow_key_t *key, uint32_t copy)
{
	const pl_flow_explanation_t told = explain_(entry, key);
	pl_flow_entry_stats_t before;
	pl_flow_entry_stats_t after;
	pl_flow_known_t known;

	pl_flow_entry_stats(entry, &before);
	send_opening_(entry, key, copy);
	pl_flow_entry_stats(entry, &after);
	known = explain_(entry, key).known;
	assert_int_equal(after.placed - before.placed,
			 told.step == PL_FLOW_STEP_OFFER);
	assert_int_equal(after.no_route - before.no_route,
			 told.reason == PL_REASON_NO_SERVICE);
	assert_int_equal(after.no_endpoint - before.no_endpoint,
			 told.step == PL_FLOW_STEP_HOLD ||
				 told.reason == PL_REASON_EVACUATED);
	if (copy == 0)
		assert_int_equal(after.rejected - before.rejected,
				 told.reason == PL_REASON_EVACUATED);
	if (told.step == PL_FLOW_STEP_OFFER) {
		assert_int_equal(known.offered[known.offered_count - 1],
				 told.candidates[told.chosen].agent);
		assert_int_equal(after.overflowed - before.overflowed,
				 told.service_reason == PL_REASON_OVERFLOW);
	}
	if (told.step == PL_FLOW_STEP_OWNER)
		assert_int_equal(known.owner, told.known.owner);
	return told.step;
}

/* Fills in the flow of the next opening packet: a new one, the same as before or
 * that of a call. Returns the number of the copy. */
static uint32_t next_probe_(const world_t *world, GRand *random,
			    pl_flow_key_t *key, uint32_t copy)
{
	int kind = random_(random, 4);
	const call_t *call;

	if (kind == 0 && key->service_ip != 0)
		return copy + 1;
	key->caller_ip = PROBE_IP;
	key->caller_port++;
	key->service_ip = SERVICE_IP;
	key->service_port = SERVICE_PORT;
	if (kind != 1 || world->calls->len == 0)
		return 0;
	call = world->calls->pdata[world->calls->len - 1];
	key->caller_ip = call->ip;
	key->caller_port = call->port;
	return 1;
}

/* Guards against an explanation by rules that differ from those for packets. */
static void explanation_and_placement_agree(void **state)
{
	unsigned int seen[PL_FLOW_STEP_COUNT] = { 0 };

	(void)state;
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		world_t *world = new_world_(1000 + seed);
		GRand *random = g_rand_new_with_seed(seed);
		pl_flow_key_t key = { 0 };
		uint32_t copy = 0;

		for (int i = 0; i < STATES; i++) {
			pl_flow_entry_t *entry =
				world->entries[i / 20 % ENTRIES].entry;

			step_(world, random);
			copy = next_probe_(world, random, &key, copy);
			seen[assert_agrees_(entry, &key, copy)]++;
		}
		g_rand_free(random);
		world_delete(world);
	}
	for (int i = 0; i < PL_FLOW_STEP_COUNT; i++) {
		print_message("%s: %u\n", pl_flow_step_names[i], seen[i]);
		assert_true(seen[i] > 0);
	}
}

/* Runs calls and returns what became of them, one line each. */
static GString *run_(uint32_t seed, bool explains)
{
	world_t *world = new_world_(seed);
	GRand *random = g_rand_new_with_seed(seed);
	GString *text = g_string_new(NULL);

	for (int i = 0; i < STATES; i++) {
		pl_flow_key_t key = { 1 + (uint32_t)i, SERVICE_IP, 0,
				      SERVICE_PORT };

		step_(world, random);
		key.caller_port = world->next_port;
		for (int k = 0; explains && k < ENTRIES; k++)
			explain_(world->entries[k].entry, &key);
		world_call(world, 1 + (uint32_t)i, SMALL_BYTES, true);
	}
	world_run(world, 2000);
	for (guint i = 0; i < world->calls->len; i++) {
		const call_t *call = world->calls->pdata[i];

		g_string_append_printf(text, "%d %d %u\n", call->state,
				       world_owner(world, call),
				       (unsigned int)call->duration);
	}
	for (int i = 0; i < ENTRIES; i++) {
		pl_flow_entry_stats_t stats;

		pl_flow_entry_stats(world->entries[i].entry, &stats);
		g_string_append_len(text, (const char *)&stats, sizeof(stats));
	}
	g_rand_free(random);
	world_delete(world);
	return text;
}

/* Guards against an explanation that creates records or refreshes caches. */
static void explaining_changes_nothing(void **state)
{
	(void)state;
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		GString *without = run_(seed, false);
		GString *with = run_(seed, true);

		assert_int_equal(with->len, without->len);
		assert_memory_equal(with->str, without->str, with->len);
		g_string_free(without, TRUE);
		g_string_free(with, TRUE);
	}
}

/* An agent of an earlier release says that it queued the opening packet: the
 * offer stands, and a copy is handled as without the message. */
static void reserved_verdicts_change_nothing(void **state)
{
	const pl_flow_key_t key = { PROBE_IP, SERVICE_IP, 1, SERVICE_PORT };
	world_t *world = new_world_(1);
	pl_flow_entry_t *entry = world->entries[0].entry;
	pl_flow_explanation_t before;
	pl_flow_explanation_t after;
	pl_flow_message_t message = { .type = PL_FLOW_VERDICT, .flow = key };

	(void)state;
	send_opening_(entry, &key, 0);
	before = explain_(entry, &key);
	assert_int_equal(before.known.offered_count, 1);
	message.sender = before.known.offered[0];
	message.verdict = PL_FLOW_RESERVED;
	pl_flow_entry_message(entry, &message);
	after = explain_(entry, &key);
	assert_memory_equal(&after.known, &before.known, sizeof(after.known));
	assert_int_equal(after.step, PL_FLOW_STEP_OFFER);
	world_delete(world);
}

static void unknown_addresses_are_named(void **state)
{
	const pl_flow_key_t key = { PROBE_IP, SERVICE_IP, 1, SERVICE_PORT + 1 };
	world_t *world = new_world_(1);
	pl_flow_explanation_t told;

	(void)state;
	told = explain_(world->entries[0].entry, &key);
	assert_int_equal(told.service_count, 0);
	assert_int_equal(told.step, PL_FLOW_STEP_RESET);
	assert_int_equal(told.reason, PL_REASON_NO_SERVICE);
	world_delete(world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(explanation_and_placement_agree),
		cmocka_unit_test(explaining_changes_nothing),
		cmocka_unit_test(reserved_verdicts_change_nothing),
		cmocka_unit_test(unknown_addresses_are_named),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
