#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sync_fake.h"

#include <string.h>

#define SEEDS 12
#define NODES 24
#define DATACENTRES 3
#define WATCHERS (DATACENTRES * PL_CONFIG_WATCHERS)
/** Shortest time in which a change has to be in force. */
#define CONFIG_MS 3000
/** The same while the platform serves some members only. */
#define CONFIG_DISTURBED_MS 15000
/** Longer than a member that was turned away stays out. */
#define SETTLED_MS 60000

static void change_(fake_t *fake, model_t *model)
{
	char *text;

	model->deadline[0]++;
	text = model_text(model);
	fake_apply(fake, text);
	g_free(text);
}

static fake_t *start_fleet_(uint32_t seed, model_t *model)
{
	fake_t *fake = fake_new(seed, NODES, DATACENTRES);

	model_init(model, 20, 2);
	change_(fake, model);
	for (size_t i = 0; i < NODES; i++)
		fake_start(fake, i);
	fake_run(fake, 6000);
	assert_true(fake_all_at(fake, 1));
	return fake;
}

static bool is_watcher_(const fake_t *fake, size_t node)
{
	pl_config_sync_stats_t stats;

	pl_config_sync_stats(fake->nodes[node].sync, &stats);
	return stats.watcher;
}

static unsigned int count_watchers_(const fake_t *fake)
{
	unsigned int count = 0;

	for (size_t i = 0; i < NODES; i++)
		count += is_watcher_(fake, i);
	return count;
}

static unsigned int count_calls_(const fake_t *fake)
{
	unsigned int calls = 0;

	for (size_t i = 0; i < NODES; i++)
		calls += fake->nodes[i].reads + fake->nodes[i].watches;
	return calls;
}

/* The platform turns away exactly the members that watch it. */
static void block_watchers_(fake_t *fake)
{
	bool watchers[NODES];

	for (size_t i = 0; i < NODES; i++)
		watchers[i] = is_watcher_(fake, i);
	for (size_t i = 0; i < NODES; i++) {
		if (watchers[i])
			fake_block_platform(fake, i, true);
	}
}

static void unblock_all_(fake_t *fake)
{
	for (size_t i = 0; i < NODES; i++)
		fake_block_platform(fake, i, false);
}

/* Guards against changes and requests that nobody notices until the platform
 * serves its watchers again. */
static void others_take_over_from_watchers_that_are_turned_away(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		model_t model;
		fake_t *fake = start_fleet_(seed, &model);
		unsigned int calls;

		block_watchers_(fake);
		change_(fake, &model);
		fake_run(fake, CONFIG_MS);
		assert_true(fake_all_at(fake, 2));
		assert_int_equal(count_watchers_(fake), WATCHERS);
		/* those that took over are restarted and know nothing */
		for (size_t i = 0; i < NODES; i++) {
			if (!is_watcher_(fake, i))
				continue;
			fake_stop(fake, i);
			fake_start(fake, i);
		}
		fake_run(fake, CONFIG_MS);
		change_(fake, &model);
		fake_run(fake, CONFIG_MS);
		assert_true(fake_all_at(fake, 3));
		unblock_all_(fake);
		fake_run(fake, SETTLED_MS);
		assert_int_equal(count_watchers_(fake), WATCHERS);
		calls = count_calls_(fake);
		change_(fake, &model);
		fake_run(fake, CONFIG_MS);
		assert_true(fake_all_at(fake, 4));
		assert_in_range(count_calls_(fake) - calls, 1, 2 * WATCHERS);
		fake_delete(fake);
	}
}

/* As above, with watchers that get no answers any more. */
static void others_take_over_from_watchers_that_hear_nothing(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		bool watchers[NODES];
		model_t model;
		fake_t *fake = start_fleet_(seed, &model);

		for (size_t i = 0; i < NODES; i++)
			watchers[i] = is_watcher_(fake, i);
		for (size_t i = 0; i < NODES; i++) {
			if (watchers[i])
				fake_silence_platform(fake, i);
		}
		change_(fake, &model);
		fake_run(fake, CONFIG_DISTURBED_MS);
		assert_true(fake_all_at(fake, 2));
		fake_delete(fake);
	}
}

/* As above, until the platform serves a quarter of the members only. */
static void watch_passes_on_until_a_member_is_served(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		model_t model;
		fake_t *fake = start_fleet_(seed, &model);
		size_t served = seed % NODES;

		for (size_t i = 0; i < NODES; i++)
			fake_block_platform(fake, i,
					    is_watcher_(fake, i) ||
						    (i + NODES - served) %
								    NODES >=
							    NODES / 4);
		change_(fake, &model);
		fake_run(fake, CONFIG_DISTURBED_MS);
		assert_true(fake_all_at(fake, 2));
		fake_delete(fake);
	}
}

/* The watch must not spread over the fleet when nobody is served. */
static void outage_leaves_few_watchers(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(20, &model);
	unsigned int calls = count_calls_(fake);

	(void)state;
	fake_set_down(fake, true);
	for (int i = 0; i < 60; i++) {
		fake_run(fake, 1000);
		assert_in_range(count_watchers_(fake), 1, 2 * WATCHERS);
	}
	/* one call in three seconds each, and a few more at the start */
	assert_true(count_calls_(fake) - calls <= WATCHERS * (60 / 3 + 6));
	fake_set_down(fake, false);
	change_(fake, &model);
	fake_run(fake, CONFIG_MS + 1000);
	assert_true(fake_all_at(fake, 2));
	fake_delete(fake);
}

static void damaged_handovers_are_refused(void **state)
{
	static const uint8_t valid[] = { 0x92, 5, 0x91, 0x92, 7, 9 };
	model_t model;
	fake_t *fake = start_fleet_(21, &model);

	(void)state;
	for (int i = 0; i < 20000; i++) {
		uint8_t bytes[sizeof(valid)];
		size_t at =
			(size_t)g_rand_int_range(fake->rand, 0, sizeof(valid));
		const pl_peer_frame_t frame = {
			.peer = 2,
			.type = PL_PEER_CONFIG_HANDOVER,
			.body = bytes,
			.body_len = i % 4 ? sizeof(valid) : at,
		};

		pl_result_t result;

		memcpy(bytes, valid, sizeof(valid));
		bytes[at] ^= (uint8_t)g_rand_int_range(fake->rand, 1, 256);
		result = pl_config_sync_frame(fake->nodes[0].sync, &frame);
		/* a changed number may be valid, a body that is cut is not */
		assert_true(frame.body_len == sizeof(valid) ||
			    result == PL_ERR_MALFORMED);
	}
	change_(fake, &model);
	fake_run(fake, CONFIG_MS);
	assert_true(fake_all_at(fake, 2));
	fake_delete(fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			others_take_over_from_watchers_that_are_turned_away),
		cmocka_unit_test(
			others_take_over_from_watchers_that_hear_nothing),
		cmocka_unit_test(watch_passes_on_until_a_member_is_served),
		cmocka_unit_test(outage_leaves_few_watchers),
		cmocka_unit_test(damaged_handovers_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
