#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/balance/cold_gate.h>
#include <string.h>

#define RUN_MS 5000
#define START_MS 7013
#define RATE 10

/* Offers one request from each of @p entries every millisecond that @p offers
 * tells; returns the most that passed in any span of one second. */
static uint32_t most_in_a_second_(unsigned int entries, pl_ms_t every_ms,
				  pl_cold_gate_t *gate, uint32_t *total)
{
	uint32_t passed[RUN_MS] = { 0 };
	uint32_t most = 0;

	*total = 0;
	for (pl_ms_t ms = 0; ms < RUN_MS; ms++) {
		pl_ms_t now = START_MS + ms;
		uint32_t in_span = 0;

		for (unsigned int i = 0; ms % every_ms == 0 && i < entries;
		     i++) {
			if (!pl_cold_gate_admits(gate, now))
				continue;
			pl_cold_gate_count(gate, now);
			passed[ms]++;
			(*total)++;
		}
		for (pl_ms_t back = 0; back < 1000 && back <= ms; back++)
			in_span += passed[ms - back];
		most = in_span > most ? in_span : most;
	}
	return most;
}

/* Load pattern: all entries return to a cold server at once. The sum over them
 * counts, in any span of a second. */
static void openings_stay_below_the_rate_in_any_second(void **state)
{
	static const unsigned int entries[] = { 1, 7, 650 };
	static const pl_ms_t every_ms[] = { 1, 33, 990 };

	(void)state;
	for (int i = 0; i < 3; i++) {
		for (int k = 0; k < 3; k++) {
			pl_cold_gate_t gate = { .rate_milli =
							RATE * 1000 + 999 };
			uint32_t total;

			pl_cold_gate_set(&gate, START_MS, RUN_MS);
			assert_in_range(most_in_a_second_(entries[i],
							  every_ms[k], &gate,
							  &total),
					1, RATE);
			/* what is allowed is used, too */
			if (every_ms[k] < 100)
				assert_true(total >= RATE * 4);
		}
	}
}

static void gate_opens_when_the_server_is_warm(void **state)
{
	pl_cold_gate_t gate = { .rate_milli = 500 };
	pl_cold_gate_t unlimited = { 0 };

	(void)state;
	pl_cold_gate_set(&gate, START_MS, 100);
	assert_true(pl_cold_gate_admits(&gate, START_MS));
	pl_cold_gate_count(&gate, START_MS);
	assert_false(pl_cold_gate_admits(&gate, START_MS + 99));
	assert_true(pl_cold_gate_admits(&gate, START_MS + 100));
	pl_cold_gate_set(&unlimited, START_MS, 100);
	for (int i = 0; i < 1000; i++)
		pl_cold_gate_count(&unlimited, START_MS);
	assert_true(pl_cold_gate_admits(&unlimited, START_MS));
}

/* Requests from before the server got cold count, too. */
static void requests_of_open_flows_use_up_the_rate(void **state)
{
	pl_cold_gate_t gate = { .rate_milli = RATE * 1000 };

	(void)state;
	for (int i = 0; i < RATE; i++)
		pl_cold_gate_count(&gate, START_MS + (pl_ms_t)i * 50);
	pl_cold_gate_set(&gate, START_MS + 500, 2000);
	assert_false(pl_cold_gate_admits(&gate, START_MS + 900));
	assert_true(pl_cold_gate_admits(&gate, START_MS + 1100));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(openings_stay_below_the_rate_in_any_second),
		cmocka_unit_test(gate_opens_when_the_server_is_warm),
		cmocka_unit_test(requests_of_open_flows_use_up_the_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
