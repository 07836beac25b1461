#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/placement.h>
#include <stdio.h>
#include <stdlib.h>

#define CALLERS 10000
#define ENDPOINTS 20

static pl_addr_t caller_(uint32_t i)
{
	pl_addr_t addr = { .family = PL_ADDR_IPV4, .port = 40000 };

	addr.ip[0] = 10;
	addr.ip[1] = (uint8_t)(i >> 16);
	addr.ip[2] = (uint8_t)(i >> 8);
	addr.ip[3] = (uint8_t)i;
	return addr;
}

/* A table with one service; agent k + 1 has the weight weights[k], agent 1 the
 * state @p first. */
static pl_routing_t *new_table_(size_t count, const uint32_t *weights,
				pl_endpoint_state_t first)
{
	pl_routing_builder_t *builder = pl_routing_builder_new(7);
	pl_service_policy_t policy = { .deadline_ms = 1000 };

	pl_routing_builder_service(builder, "permits", &policy);
	for (size_t k = count; k-- > 0;) {
		pl_endpoint_t endpoint = {
			.agent = k + 1,
			.service = pl_service_id("permits"),
			.state = k == 0 ? first : PL_ENDPOINT_SERVING,
			.weight = weights ? weights[k] : PL_WEIGHT_FULL,
		};

		pl_routing_builder_endpoint(builder, &endpoint);
	}
	return pl_routing_builder_finish(builder);
}

static void count_callers_(const pl_routing_t *routing, unsigned int *counts)
{
	const pl_route_service_t *service = pl_routing_service_at(routing, 0);

	for (uint32_t i = 0; i < CALLERS; i++) {
		pl_addr_t caller = caller_(i);

		counts[pl_placement_home(service, &caller)->agent]++;
	}
}

static void table_returns_what_was_added(void **state)
{
	pl_routing_builder_t *builder = pl_routing_builder_new(3);
	pl_service_policy_t policy = { .deadline_ms = 1000 };
	pl_addr_t a = caller_(1);
	pl_addr_t b = caller_(2);
	pl_endpoint_t endpoint = { .agent = 5, .weight = 10 };
	pl_routing_t *routing;

	(void)state;
	pl_routing_builder_service(builder, "permits", &policy);
	pl_routing_builder_address(builder, pl_service_id("permits"), &a);
	pl_routing_builder_service(builder, "meters", &policy);
	pl_routing_builder_address(builder, pl_service_id("meters"), &b);
	pl_routing_builder_address(builder, pl_service_id("meters"), &a);
	endpoint.service = pl_service_id("meters");
	pl_routing_builder_endpoint(builder, &endpoint);
	endpoint.weight = 20;
	pl_routing_builder_endpoint(builder, &endpoint);
	endpoint.agent = 6;
	endpoint.service = pl_service_id("unknown");
	pl_routing_builder_endpoint(builder, &endpoint);
	routing = pl_routing_builder_finish(builder);

	assert_int_equal(pl_routing_revision(routing), 3);
	assert_int_equal(pl_routing_service_count(routing), 2);
	assert_string_equal(pl_routing_by_address(routing, &a)->name,
			    "permits");
	assert_string_equal(pl_routing_by_address(routing, &b)->name, "meters");
	assert_int_equal(pl_routing_by_id(routing, pl_service_id("meters"))
				 ->endpoint_count,
			 1);
	assert_int_equal(pl_routing_by_id(routing, pl_service_id("permits"))
				 ->endpoint_count,
			 0);
	assert_int_equal(pl_routing_endpoint(routing, 5)->weight, 20);
	assert_null(pl_routing_endpoint(routing, 6));
	assert_null(pl_routing_by_id(routing, pl_service_id("unknown")));
	pl_routing_get(routing);
	pl_routing_put(routing);
	pl_routing_put(routing);
}

static void share_is_proportional_to_weight(void **state)
{
	const uint32_t weights[] = { 1000, 1000, 500, 100, 0 };
	pl_routing_t *routing = new_table_(5, weights, PL_ENDPOINT_SERVING);
	unsigned int counts[6] = { 0 };

	(void)state;
	count_callers_(routing, counts);
	for (size_t k = 0; k < 5; k++) {
		int expected = (int)(CALLERS * weights[k] / 2600);

		assert_in_range(abs((int)counts[k + 1] - expected), 0,
				expected / 10);
	}
	pl_routing_put(routing);
}

static void equal_weights_get_equal_shares(void **state)
{
	pl_routing_t *routing =
		new_table_(ENDPOINTS, NULL, PL_ENDPOINT_SERVING);
	unsigned int counts[ENDPOINTS + 1] = { 0 };

	(void)state;
	count_callers_(routing, counts);
	for (size_t k = 1; k <= ENDPOINTS; k++)
		assert_in_range(counts[k], 425, 575);
	pl_routing_put(routing);
}

/* The callers of a draining endpoint move to their second rank; all other
 * callers keep their endpoint. */
static void draining_moves_only_its_own_callers(void **state)
{
	pl_routing_t *before = new_table_(ENDPOINTS, NULL, PL_ENDPOINT_SERVING);
	pl_routing_t *after = new_table_(ENDPOINTS, NULL, PL_ENDPOINT_DRAINING);
	const pl_route_service_t *old = pl_routing_service_at(before, 0);
	const pl_route_service_t *new = pl_routing_service_at(after, 0);

	(void)state;
	for (uint32_t i = 0; i < CALLERS; i++) {
		pl_addr_t caller = caller_(i);
		const pl_endpoint_t *rank[2];
		const pl_endpoint_t *without;
		const pl_endpoint_t *home;

		assert_int_equal(pl_placement_rank(old, &caller,
						   PL_RANK_SERVING, 0, rank, 2),
				 2);
		pl_placement_rank(old, &caller, PL_RANK_SERVING, 1, &without,
				  1);
		home = pl_placement_home(new, &caller);
		assert_int_equal(home->agent, without->agent);
		if (rank[0]->agent == 1)
			assert_int_equal(home->agent, rank[1]->agent);
		else
			assert_int_equal(home->agent, rank[0]->agent);
	}
	pl_routing_put(before);
	pl_routing_put(after);
}

static void ranking_respects_scope_and_state(void **state)
{
	pl_routing_t *draining = new_table_(2, NULL, PL_ENDPOINT_DRAINING);
	pl_routing_t *gone = new_table_(2, NULL, PL_ENDPOINT_UNREACHABLE);
	const pl_endpoint_t *rank[4];
	pl_addr_t caller = caller_(9);

	(void)state;
	assert_int_equal(pl_placement_rank(pl_routing_service_at(draining, 0),
					   &caller, PL_RANK_SERVING, 0, rank,
					   4),
			 1);
	assert_int_equal(rank[0]->agent, 2);
	assert_int_equal(pl_placement_rank(pl_routing_service_at(draining, 0),
					   &caller, PL_RANK_REACHABLE, 0, rank,
					   4),
			 2);
	assert_int_equal(pl_placement_rank(pl_routing_service_at(gone, 0),
					   &caller, PL_RANK_REACHABLE, 0, rank,
					   4),
			 1);
	assert_int_equal(pl_placement_rank(pl_routing_service_at(gone, 0),
					   &caller, PL_RANK_REACHABLE, 2, rank,
					   4),
			 0);
	assert_int_equal(
		pl_placement_home(pl_routing_service_at(gone, 0), &caller)
			->agent,
		2);
	pl_routing_put(draining);
	pl_routing_put(gone);
}

/* Services with weights share an address; one without a weight has it alone. */
static void services_of_an_address_are_found(void **state)
{
	static const uint32_t weights[] = { 0, 100, 900, 900 };
	pl_routing_builder_t *builder = pl_routing_builder_new(3);
	const pl_service_policy_t policy = { 0 };
	pl_route_share_t shares[PL_ROUTE_SHARES_MAX];
	pl_addr_t shared = { .port = 1, .family = PL_ADDR_IPV4 };
	pl_addr_t alone = { .port = 2, .family = PL_ADDR_IPV4 };
	pl_addr_t crowded = { .port = 3, .family = PL_ADDR_IPV4 };
	pl_routing_t *routing;

	(void)state;
	for (uint32_t i = 0; i < 2 * PL_ROUTE_SHARES_MAX; i++) {
		pl_route_policy_t route = { .weighted = true, .weight = i };
		char name[8];

		snprintf(name, sizeof(name), "s%u", i);
		pl_routing_builder_service(builder, name, &policy);
		pl_routing_builder_route(builder, pl_service_id(name), &crowded,
					 &route);
		route.weight = i < 4 ? weights[i] : 0;
		if (i < 4)
			pl_routing_builder_route(builder, pl_service_id(name),
						 &shared, &route);
		route.weighted = i != 2;
		if (i < 4)
			pl_routing_builder_route(builder, pl_service_id(name),
						 &alone, &route);
	}
	routing = pl_routing_builder_finish(builder);
	assert_int_equal(pl_routing_shares(routing, &shared, shares), 4);
	for (size_t i = 0; i < 4; i++)
		assert_int_equal(shares[i].weight, weights[i]);
	assert_string_equal(pl_routing_by_address(routing, &shared)->name,
			    "s2");
	assert_int_equal(pl_routing_shares(routing, &alone, shares), 1);
	assert_string_equal(shares[0].service->name, "s2");
	assert_int_equal(shares[0].weight, PL_ROUTE_WEIGHT_FULL);
	/* the greatest weights are kept */
	assert_int_equal(pl_routing_shares(routing, &crowded, shares),
			 PL_ROUTE_SHARES_MAX);
	for (size_t i = 0; i < PL_ROUTE_SHARES_MAX; i++)
		assert_true(shares[i].weight >= PL_ROUTE_SHARES_MAX);
	shared.port = 9;
	assert_int_equal(pl_routing_shares(routing, &shared, shares), 0);
	pl_routing_put(routing);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(table_returns_what_was_added),
		cmocka_unit_test(share_is_proportional_to_weight),
		cmocka_unit_test(equal_weights_get_equal_shares),
		cmocka_unit_test(draining_moves_only_its_own_callers),
		cmocka_unit_test(ranking_respects_scope_and_state),
		cmocka_unit_test(services_of_an_address_are_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
