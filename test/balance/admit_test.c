#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/balance/admit.h>

static void expect_(const pl_admit_query_t *query, pl_admit_result_t result,
		    pl_reason_t reason)
{
	const pl_admit_decision_t decision = pl_admit_decide(query);

	assert_int_equal(decision.result, result);
	assert_int_equal(decision.reason, reason);
}

static void free_slot_admits_whatever_the_deadline(void **state)
{
	const pl_admit_query_t query = { .room = true,
					 .last_offer = true,
					 .ahead_ms = 9000,
					 .request_ms = 50,
					 .left_ms = 1 };

	(void)state;
	expect_(&query, PL_ADMIT_NOW, PL_REASON_ROOM);
}

static void others_are_asked_before_a_refusal(void **state)
{
	const pl_admit_query_t query = { .ahead_ms = 9000,
					 .request_ms = 50,
					 .left_ms = 1000 };

	(void)state;
	expect_(&query, PL_ADMIT_HAND_BACK, PL_REASON_NO_ROOM);
}

/* Load pattern: burst far beyond the slots. */
static void hopeless_flow_is_refused_at_once(void **state)
{
	pl_admit_query_t query = { .last_offer = true,
				   .ahead_ms = 951,
				   .request_ms = 50,
				   .left_ms = 1000 };

	(void)state;
	expect_(&query, PL_ADMIT_REFUSE, PL_REASON_HOPELESS);
	/* late, but before the caller gives up */
	query.ahead_ms = 950;
	expect_(&query, PL_ADMIT_WAIT, PL_REASON_WAIT);
}

static void unknown_rate_or_deadline_never_refuses(void **state)
{
	pl_admit_query_t query = { .last_offer = true,
				   .ahead_ms = 9000,
				   .left_ms = 1000 };

	(void)state;
	expect_(&query, PL_ADMIT_WAIT, PL_REASON_WAIT);
	query.request_ms = 50;
	query.left_ms = 0;
	expect_(&query, PL_ADMIT_WAIT, PL_REASON_WAIT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(free_slot_admits_whatever_the_deadline),
		cmocka_unit_test(others_are_asked_before_a_refusal),
		cmocka_unit_test(hopeless_flow_is_refused_at_once),
		cmocka_unit_test(unknown_rate_or_deadline_never_refuses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
