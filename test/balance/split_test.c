#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>
#include <pimentolift/balance/split.h>
#include <pimentolift/hash.h>
#include <stdbool.h>

#define FLOWS 10000
#define SERVICES_MAX 3
/** Largest deviation of a share from its weight. */
#define TOLERANCE 0.01

/* Hash of the key of flow @p i: callers in a few networks, ports in order. */
static uint64_t flow_hash_(uint32_t i)
{
	const uint32_t key[] = { 0x0a000000 + i % 700, 0xc6120001,
				 (40000 + i / 3) << 16 | 8443 };

	return pl_hash(key, sizeof(key), 0);
}

static pl_split_decision_t choose_(const pl_split_service_t *services,
				   size_t count, uint64_t flow)
{
	const pl_split_snapshot_t snapshot = { services, count, flow };

	return pl_split_choose(&snapshot);
}

/* What entry @p entry knows of the load differs from what others know, but all
 * services have room. */
static void fill_(pl_split_service_t *services, const uint32_t *weights,
		  size_t count, uint32_t entry)
{
	for (size_t i = 0; i < count; i++)
		services[i] = (pl_split_service_t){
			.service = pl_hash_text("service") + i,
			.weight = weights[i],
			.endpoints = 10,
			.slots = 30 * (entry % 3),
			.busy = entry % 3 * (entry % 25),
		};
}

static void shares_follow_the_weights(void **state)
{
	static const uint32_t weights[][SERVICES_MAX] = {
		{ 900000, 100000 }, { 1, 1 },
		{ 70, 20, 10 },	    { 999, 1 },
		{ 0, 3, 1 },	    { 333333, 333333, 333333 },
		{ 1000000, 1 },	    { 4000000000U, 1000000000U },
	};
	static const uint32_t entries[] = { 1, 7, 650 };

	(void)state;
	for (size_t w = 0; w < sizeof(weights) / sizeof(*weights); w++) {
		for (size_t e = 0; e < sizeof(entries) / sizeof(*entries);
		     e++) {
			unsigned int counts[SERVICES_MAX] = { 0 };
			double sum = 0;

			for (uint32_t i = 0; i < FLOWS; i++) {
				pl_split_service_t services[SERVICES_MAX];

				fill_(services, weights[w], SERVICES_MAX,
				      i % entries[e]);
				counts[choose_(services, SERVICES_MAX,
					       flow_hash_(i))
					       .index]++;
			}
			for (size_t s = 0; s < SERVICES_MAX; s++)
				sum += weights[w][s];
			for (size_t s = 0; s < SERVICES_MAX; s++)
				assert_true(fabs((double)counts[s] / FLOWS -
						 weights[w][s] / sum) <
					    TOLERANCE);
		}
	}
}

/* Guards against two services that open the same flow: each copy of an opening
 * packet may reach another entry. */
static void copies_get_the_same_service_at_any_entry(void **state)
{
	static const uint32_t weights[] = { 60, 40 };

	(void)state;
	for (uint32_t i = 0; i < FLOWS; i++) {
		pl_split_service_t one[2];
		pl_split_service_t other[2];

		fill_(one, weights, 2, i);
		fill_(other, weights, 2, i + 1);
		assert_int_equal(choose_(one, 2, flow_hash_(i)).index,
				 choose_(other, 2, flow_hash_(i)).index);
	}
}

/* A greater weight of one service takes flows from the others, and moves none
 * between these. */
static void changed_weight_moves_flows_of_one_service_only(void **state)
{
	static const uint32_t before[] = { 50, 30, 20 };
	static const uint32_t after[] = { 80, 30, 20 };

	(void)state;
	for (uint32_t i = 0; i < FLOWS; i++) {
		pl_split_service_t services[SERVICES_MAX];
		size_t old;
		size_t new;

		fill_(services, before, SERVICES_MAX, 0);
		old = choose_(services, SERVICES_MAX, flow_hash_(i)).index;
		fill_(services, after, SERVICES_MAX, 0);
		new = choose_(services, SERVICES_MAX, flow_hash_(i)).index;
		assert_true(new == old || new == 0);
	}
}

/* Guards against a service that drowns while another one of the route idles,
 * and against short requests of the other one that drown in what overflows. */
static void full_service_overflows_into_what_others_can_spare(void **state)
{
	/* load of the second service, in slots of 100 */
	static const struct {
		uint32_t endpoints;
		uint32_t busy;
		uint32_t mean;
		uint32_t weight;
		pl_reason_t reason;
	} cases[] = {
		{ 10, 20, 20, 1, PL_REASON_OVERFLOW },
		{ 10, 90, 20, 1, PL_REASON_NO_ROOM },
		{ 10, 20, 90, 1, PL_REASON_NO_ROOM },
		{ 10, 0, 0, 0, PL_REASON_NO_ROOM },
		{ 0, 0, 0, 1, PL_REASON_NO_ROOM },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const pl_split_service_t services[] = {
			{ 1, 1000000, 10, 100, 100, 100 },
			{ 2, cases[i].weight, cases[i].endpoints, 100,
			  cases[i].busy, cases[i].mean },
		};
		pl_split_decision_t decision =
			choose_(services, 2, flow_hash_((uint32_t)i));

		assert_int_equal(decision.share, 0);
		assert_int_equal(decision.reason, cases[i].reason);
		assert_int_equal(decision.index,
				 decision.reason == PL_REASON_OVERFLOW);
	}
}

/* Guards against flows that are refused although another service of the route
 * can run them: a service without any endpoint does not spare the others. */
static void service_without_endpoints_uses_all_room_of_others(void **state)
{
	const pl_split_service_t services[] = {
		{ .service = 1, .weight = 1000000 },
		{ 2, 1, 10, 100, 90, 90 },
	};
	pl_split_decision_t decision = choose_(services, 2, 1);

	(void)state;
	assert_int_equal(decision.index, 1);
	assert_int_equal(decision.reason, PL_REASON_OVERFLOW);
}

/* Guards against flows that are rejected although they could wait for a slot. */
static void flows_wait_at_a_service_that_has_endpoints(void **state)
{
	const pl_split_service_t services[] = {
		{ .service = 1, .weight = 1000000 },
		{ 2, 1, 10, 100, 100, 100 },
		{ 3, 0, 10, 100, 0, 0 },
	};
	pl_split_decision_t decision = choose_(services, 3, 1);

	(void)state;
	assert_int_equal(decision.share, 0);
	assert_int_equal(decision.index, 1);
	assert_int_equal(decision.reason, PL_REASON_NO_ROOM);
}

static void service_of_weight_0_is_never_chosen(void **state)
{
	const pl_split_service_t drained[] = { { .service = 1 },
					       { .service = 2 } };
	const pl_split_service_t alone[] = { { .service = 1, .endpoints = 3 },
					     { .service = 2, .weight = 1 } };
	pl_split_decision_t decision;

	(void)state;
	assert_int_equal(choose_(drained, 2, 1).reason, PL_REASON_NO_SERVICE);
	assert_int_equal(choose_(drained, 0, 1).reason, PL_REASON_NO_SERVICE);
	/* the other one has no endpoint */
	decision = choose_(alone, 2, 1);
	assert_int_equal(decision.index, 1);
	assert_int_equal(decision.reason, PL_REASON_NO_ROOM);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(shares_follow_the_weights),
		cmocka_unit_test(copies_get_the_same_service_at_any_entry),
		cmocka_unit_test(
			changed_weight_moves_flows_of_one_service_only),
		cmocka_unit_test(
			full_service_overflows_into_what_others_can_spare),
		cmocka_unit_test(
			service_without_endpoints_uses_all_room_of_others),
		cmocka_unit_test(flows_wait_at_a_service_that_has_endpoints),
		cmocka_unit_test(service_of_weight_0_is_never_chosen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
