#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/evacuation_requests.h>
#include <pimentolift/hash.h>
#include <stdio.h>

static int set_up_(void **state)
{
	*state = pl_evacuation_requests_new();
	return 0;
}

static int tear_down_(void **state)
{
	pl_evacuation_requests_delete(*state);
	return 0;
}

static const pl_evacuation_request_t east_ = { "east", false, true };
static const pl_evacuation_request_t west_ = { "west", false, true };
static const pl_evacuation_request_t east_gone_ = { "east", true, true };
static const pl_evacuation_request_t unreadable_ = { "east", false, false };

/* A complete list at @p index of @p generation; NULL: no request. */
static bool list_(pl_evacuation_requests_t *requests, uint64_t generation,
		  uint64_t index, const pl_evacuation_request_t *request)
{
	const pl_evacuation_update_t update = {
		.position = { generation, index },
		.complete = true,
		.requests = request,
		.count = request != NULL,
	};

	return pl_evacuation_requests_apply(requests, &update);
}

/* A change after index @p after, in generation 1. */
static bool change_(pl_evacuation_requests_t *requests, uint64_t after,
		    uint64_t index, const pl_evacuation_request_t *request)
{
	const pl_evacuation_update_t update = {
		.position = { 1, index },
		.after = { 1, after },
		.requests = request,
		.count = request != NULL,
	};

	return pl_evacuation_requests_apply(requests, &update);
}

static bool holds_(const pl_evacuation_requests_t *requests, bool east,
		   bool west)
{
	pl_evacuations_t set;

	pl_evacuation_requests_get(requests, &set);
	return set.count == (size_t)east + (size_t)west &&
	       pl_evacuations_contain(&set, pl_hash_text("east")) == east &&
	       pl_evacuations_contain(&set, pl_hash_text("west")) == west;
}

static void requests_are_made_withdrawn_and_repeated(void **state)
{
	pl_evacuation_requests_t *requests = *state;
	pl_evacuations_t set;

	assert_true(list_(requests, 1, 10, NULL));
	assert_true(change_(requests, 10, 12, &east_));
	assert_true(change_(requests, 12, 13, &west_));
	assert_true(holds_(requests, true, true));
	assert_true(change_(requests, 13, 15, &east_gone_));
	assert_true(holds_(requests, false, true));
	assert_true(change_(requests, 15, 17, &east_));
	assert_true(holds_(requests, true, true));
	pl_evacuation_requests_get(requests, &set);
	assert_int_equal(set.generation, 1);
	assert_int_equal(set.revision, 17);
	/* a removal that no watch reported: only the list tells */
	assert_true(list_(requests, 1, 20, &west_));
	assert_true(holds_(requests, false, true));
}

/* Readers keep several responses on their way, and the store may answer late. */
static void reversed_responses_change_nothing(void **state)
{
	pl_evacuation_requests_t *requests = *state;

	assert_true(list_(requests, 1, 10, &east_));
	assert_true(change_(requests, 10, 15, &east_gone_));
	assert_false(list_(requests, 1, 12, &east_));
	assert_false(change_(requests, 10, 12, &east_));
	assert_false(change_(requests, 10, 15, &east_));
	assert_true(holds_(requests, false, false));
	/* changes that do not follow on what is known */
	assert_false(change_(requests, 18, 20, &east_));
	assert_true(holds_(requests, false, false));
}

/* A store that comes back from an older copy counts from below. */
static void restored_store_replaces_the_requests(void **state)
{
	pl_evacuation_requests_t *requests = *state;

	assert_true(list_(requests, 1, 30, &east_));
	assert_true(list_(requests, 2, 20, &west_));
	assert_true(holds_(requests, false, true));
	assert_false(list_(requests, 1, 40, &east_));
	assert_false(change_(requests, 30, 40, &east_));
	assert_true(holds_(requests, false, true));
}

static void changes_without_a_list_are_ignored(void **state)
{
	pl_evacuation_requests_t *requests = *state;

	assert_false(change_(requests, 0, 12, &east_));
	assert_true(holds_(requests, false, false));
}

/* The operators' key counts, whatever its value. */
static void unreadable_request_counts(void **state)
{
	pl_evacuation_requests_t *requests = *state;

	assert_true(list_(requests, 1, 10, &unreadable_));
	assert_true(holds_(requests, true, false));
}

static void excess_requests_are_left_out(void **state)
{
	pl_evacuation_request_t all[PL_EVACUATIONS_MAX + 3];
	char names[PL_EVACUATIONS_MAX + 3][8];
	pl_evacuation_update_t update = { .position = { 1, 10 },
					  .complete = true,
					  .requests = all };
	pl_evacuations_t set;

	for (size_t i = 0; i < PL_EVACUATIONS_MAX + 3; i++) {
		snprintf(names[i], sizeof(names[i]), "dc-%zu", i);
		all[update.count++] =
			(pl_evacuation_request_t){ names[i], false, true };
	}
	assert_true(pl_evacuation_requests_apply(*state, &update));
	pl_evacuation_requests_get(*state, &set);
	assert_int_equal(set.count, PL_EVACUATIONS_MAX);
	for (size_t i = 1; i < set.count; i++)
		assert_true(set.datacentres[i - 1] < set.datacentres[i]);
}

#define WITH_REQUESTS(test) \
	cmocka_unit_test_setup_teardown(test, set_up_, tear_down_)

int main(void)
{
	const struct CMUnitTest tests[] = {
		WITH_REQUESTS(requests_are_made_withdrawn_and_repeated),
		WITH_REQUESTS(reversed_responses_change_nothing),
		WITH_REQUESTS(restored_store_replaces_the_requests),
		WITH_REQUESTS(changes_without_a_list_are_ignored),
		WITH_REQUESTS(unreadable_request_counts),
		WITH_REQUESTS(excess_requests_are_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
