/*
 * Randomised runs with fixed seeds: drains, restarts, failures, updates and
 * lost frames in random order. The environment variables PL_VIEW_SEED and
 * PL_VIEW_RUNS set the first seed and the number of runs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "view_fake.h"

#include <pimentolift/counter.h>
#include <stdlib.h>

#define AGENTS 4
#define CALLERS 60
#define CHANGES 100
#define RUNS 5
#define SETTLE_MS 20000
#define DETECT_MAX_MS 5000

static unsigned int from_environment_(const char *name, unsigned int fallback)
{
	const char *text = getenv(name);

	return text ? (unsigned int)strtoul(text, NULL, 10) : fallback;
}

static unsigned int random_below_(fake_t *fake, unsigned int below)
{
	return (unsigned int)g_rand_int_range(fake->rand, 0, (gint32)below);
}

/* Loses 20% of offers and acceptances; 10% fail with a notice. */
static fake_frame_outcome_t lose_offers_(fake_t *fake,
					 const pl_peer_frame_t *frame)
{
	unsigned int chance = random_below_(fake, 100);

	if (frame->type != PL_PEER_VIEW_OFFER &&
	    frame->type != PL_PEER_VIEW_ACCEPT)
		return FAKE_FRAME_DELIVERED;
	return chance < 20 ? FAKE_FRAME_LOST :
	       chance < 30 ? FAKE_FRAME_FAILED :
			     FAKE_FRAME_DELIVERED;
}

/* Also lets 10% of the remaining frames fail with a notice. */
static fake_frame_outcome_t
lose_offers_fail_others_(fake_t *fake, const pl_peer_frame_t *frame)
{
	fake_frame_outcome_t outcome = lose_offers_(fake, frame);

	if (outcome == FAKE_FRAME_DELIVERED && random_below_(fake, 10) == 0)
		return FAKE_FRAME_FAILED;
	return outcome;
}

static unsigned int count_serving_(const fake_t *fake)
{
	unsigned int serving = 0;

	for (unsigned int i = 0; i < AGENTS; i++)
		serving += fake->agents[i].table &&
			   fake->agents[i].state == PL_ENDPOINT_SERVING;
	return serving;
}

/* Restarts every agent whose drain is complete, with a new boot. */
static void restart_drained_(fake_t *fake)
{
	for (unsigned int i = 0; i < AGENTS; i++) {
		fake_agent_t *agent = &fake->agents[i];

		if (!agent->table || agent->state != PL_ENDPOINT_DRAINING ||
		    pl_view_count(agent->table) > 0)
			continue;
		fake_kill(fake, i);
		fake_declare_dead(fake, i);
		fake_run(fake, random_below_(fake, 100));
		fake_start(fake, i);
		fake_route(fake);
	}
}

static void planned_change_(fake_t *fake)
{
	unsigned int index = random_below_(fake, AGENTS);
	fake_agent_t *agent = &fake->agents[index];

	if (!agent->table)
		return;
	if (agent->state == PL_ENDPOINT_SERVING && count_serving_(fake) > 1 &&
	    random_below_(fake, 3) > 0) {
		fake_drain(fake, index);
		/* the routing table changes a little later */
		fake_run(fake, random_below_(fake, 20));
		fake_route(fake);
	} else {
		/* the backend server restarts; one in four restarts is slow */
		pl_view_set_backend_present(agent->table, false);
		fake_run(fake,
			 random_below_(fake,
				       random_below_(fake, 4) ? 200 : 4000));
		pl_view_set_backend_present(agent->table, true);
	}
}

static void update_and_renew_(fake_t *fake)
{
	for (unsigned int i = random_below_(fake, 5); i > 0; i--) {
		fake_update(fake, random_below_(fake, FAKE_RESOURCES));
		fake_run(fake, random_below_(fake, 30));
	}
	/* a caller may renew its registration at any time */
	if (random_below_(fake, 4) == 0)
		fake_open(fake, &fake->callers[random_below_(fake, CALLERS)]);
}

static void crash_agent_(fake_t *fake)
{
	unsigned int index = random_below_(fake, AGENTS);

	if (!fake->agents[index].table || count_serving_(fake) < 3)
		return;
	/* let the replication of the last change finish */
	fake_run(fake, 3000);
	if (!fake->agents[index].table)
		return;
	fake_kill(fake, index);
	fake_run(fake, random_below_(fake, DETECT_MAX_MS));
	update_and_renew_(fake);
	fake_declare_dead(fake, index);
	fake_run(fake, 2000);
	fake_start(fake, index);
	fake_route(fake);
}

/* Isolates an agent for a while; all agents continue to serve. */
static void isolate_agent_(fake_t *fake)
{
	fake_agent_t *agent = &fake->agents[random_below_(fake, AGENTS)];

	if (!agent->table || count_serving_(fake) < 3)
		return;
	fake_run(fake, 3000);
	if (!agent->table || agent->state != PL_ENDPOINT_SERVING)
		return;
	agent->isolated = true;
	fake_run(fake, random_below_(fake, 1000));
	fake_route(fake);
	update_and_renew_(fake);
	fake_run(fake, random_below_(fake, 10000));
	update_and_renew_(fake);
	agent->isolated = false;
	fake_route(fake);
	fake_run(fake, 2000);
}

static void wait_until_consistent_(fake_t *fake, unsigned int seed,
				   unsigned int step)
{
	unsigned int loss = fake->loss_percent;

	for (unsigned int i = 0; i < SETTLE_MS / 100; i++) {
		fake_run(fake, 100);
		restart_drained_(fake);
		if (fake_outdated_callers(fake) == 0 &&
		    fake_views(fake) == CALLERS &&
		    count_serving_(fake) == AGENTS)
			break;
	}
	fake->loss_percent = loss;
	if (fake_outdated_callers(fake) != 0 || fake_views(fake) != CALLERS)
		print_error("seed %u step %u: %u behind, %zu views\n", seed,
			    step, fake_outdated_callers(fake),
			    fake_views(fake));
	assert_int_equal(fake_outdated_callers(fake), 0);
	assert_int_equal(fake_views(fake), CALLERS);
}

static void run_scenario_(unsigned int seed, bool crashes)
{
	fake_t *fake = fake_new(seed, AGENTS, AGENTS, CALLERS);

	pl_counter_reset();
	fake_open_all(fake);
	fake_run(fake, 1000);
	fake->frame_outcome = crashes ? lose_offers_ : lose_offers_fail_others_;
	fake->loss_percent = 2;
	for (unsigned int step = 0; step < CHANGES; step++) {
		planned_change_(fake);
		update_and_renew_(fake);
		if (crashes && random_below_(fake, 4) == 0)
			crash_agent_(fake);
		else if (crashes && random_below_(fake, 4) == 0)
			isolate_agent_(fake);
		restart_drained_(fake);
		if (random_below_(fake, 5) == 0)
			wait_until_consistent_(fake, seed, step);
	}
	wait_until_consistent_(fake, seed, CHANGES);
	assert_int_equal(pl_counter_get(PL_COUNTER_VIEWS_LOST), 0);
	assert_int_equal(pl_counter_get(PL_COUNTER_VIEWS_CLOSED), 0);
	fake_delete(fake);
}

static void planned_changes_lose_no_view(void **state)
{
	unsigned int first = from_environment_("PL_VIEW_SEED", 1);
	unsigned int runs = from_environment_("PL_VIEW_RUNS", RUNS);

	for (unsigned int seed = first; seed < first + runs; seed++)
		run_scenario_(seed, false);
}

static void crashes_and_cuts_lose_no_view(void **state)
{
	unsigned int first = from_environment_("PL_VIEW_SEED", 1);
	unsigned int runs = from_environment_("PL_VIEW_RUNS", RUNS);

	for (unsigned int seed = first; seed < first + runs; seed++)
		run_scenario_(seed, true);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(planned_changes_lose_no_view),
		cmocka_unit_test(crashes_and_cuts_lose_no_view),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
