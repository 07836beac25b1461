#include "private/seq_range.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <pimentolift/flow.h>

/* The numbers of a flow wrap around. */
static void range_contains_what_was_used(void **state)
{
	const uint32_t first = UINT32_MAX - 10;
	pl_seq_range_t range = { 0 };

	(void)state;
	assert_false(pl_seq_range_contains(&range, 0));
	pl_seq_range_start(&range, first);
	pl_seq_range_add(&range, first + 1, first + 501);
	assert_true(pl_seq_range_contains(&range, first));
	assert_true(pl_seq_range_contains(&range, first + 501));
	assert_false(pl_seq_range_contains(&range, first - 1));
	assert_false(pl_seq_range_contains(&range, first + 502));
	assert_true(pl_seq_range_may_reach(&range, first + 502));
	assert_false(pl_seq_range_may_reach(&range, first - 1));
}

static void
range_without_a_start_contains_what_may_have_been_missed(void **state)
{
	pl_seq_range_t range = { 0 };

	(void)state;
	pl_seq_range_add(&range, 1000, 1000);
	assert_true(pl_seq_range_contains(&range, 900));
	assert_true(pl_seq_range_contains(&range, 1100));
	assert_false(
		pl_seq_range_contains(&range, 1001 + PL_FLOW_ACK_WINDOW_BYTES));
	assert_false(
		pl_seq_range_contains(&range, 999 - PL_FLOW_ACK_WINDOW_BYTES));
}

static void packets_in_a_gap_may_have_been_missed(void **state)
{
	pl_seq_range_t range = { 0 };

	(void)state;
	pl_seq_range_start(&range, 1000);
	pl_seq_range_add(&range, 2000, 2100);
	assert_true(range.missed);
	assert_true(pl_seq_range_contains(&range, 2200));
}

static void long_range_keeps_its_last_numbers(void **state)
{
	const uint32_t step = 1U << 29;
	pl_seq_range_t range = { 0 };
	uint32_t seq = 1;

	(void)state;
	pl_seq_range_start(&range, 0);
	for (int i = 0; i < 20; i++, seq += step)
		pl_seq_range_add(&range, seq, seq + step);
	assert_true(pl_seq_range_contains(&range, seq));
	assert_true(pl_seq_range_contains(&range, seq - step));
	assert_false(pl_seq_range_contains(&range, seq + step));
	assert_false(pl_seq_range_contains(&range, seq + 3 * step));
}

static void opening_packet_is_told_from_that_of_another_flow(void **state)
{
	pl_seq_range_t range = { 0 };

	(void)state;
	assert_false(pl_seq_range_begins_at(&range, 1000));
	pl_seq_range_start(&range, 1000);
	pl_seq_range_add(&range, 2000, 2100);
	assert_true(pl_seq_range_begins_at(&range, 1000));
	assert_false(pl_seq_range_begins_at(&range, 1001));
	range = (pl_seq_range_t){ 0 };
	pl_seq_range_add(&range, 2000, 2100);
	assert_true(pl_seq_range_begins_at(&range, 1000));
	assert_false(pl_seq_range_begins_at(&range, 1000000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(range_contains_what_was_used),
		cmocka_unit_test(
			range_without_a_start_contains_what_may_have_been_missed),
		cmocka_unit_test(packets_in_a_gap_may_have_been_missed),
		cmocka_unit_test(
			opening_packet_is_told_from_that_of_another_flow),
		cmocka_unit_test(long_range_keeps_its_last_numbers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
