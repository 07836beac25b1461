#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/coap_msg.h>
#include <pimentolift/entry.h>
#include <pimentolift/placement.h>
#include <pimentolift/ticket.h>
#include <string.h>

#define CALLERS 2000
#define NOW 100000

static const pl_service_policy_t policy_ = { .deadline_ms = 1000 };

typedef struct {
	pl_routing_t *routing;
	pl_load_table_t *loads;
	pl_entry_t *entry;
	pl_addr_t permits;
	pl_addr_t meters;
	uint8_t pdu[PL_COAP_DATAGRAM_MAX];
	size_t len;
	pl_member_id_t agent;
	pl_forward_t forward;
	pl_counter_t dropped;
} fixture_t;

static void add_endpoints_(pl_routing_builder_t *builder, const char *service,
			   pl_member_id_t first)
{
	for (pl_member_id_t i = 0; i < 4; i++) {
		const pl_endpoint_t endpoint = {
			.agent = first + i,
			.boot = 1,
			.service = pl_service_id(service),
			.state = PL_ENDPOINT_SERVING,
			.weight = PL_WEIGHT_FULL,
			.slots = 5,
		};

		pl_routing_builder_endpoint(builder, &endpoint);
	}
}

static void build_(fixture_t *f, uint64_t revision)
{
	pl_routing_builder_t *builder = pl_routing_builder_new(revision);

	pl_routing_builder_service(builder, "permits", &policy_);
	pl_routing_builder_service(builder, "meters", &policy_);
	pl_routing_builder_address(builder, pl_service_id("permits"),
				   &f->permits);
	pl_routing_builder_address(builder, pl_service_id("meters"),
				   &f->meters);
	add_endpoints_(builder, "permits", 100);
	add_endpoints_(builder, "meters", 200);
	f->routing = pl_routing_builder_finish(builder);
}

static void init_(fixture_t *f)
{
	pl_addr_parse("192.0.2.10:5683", &f->permits, NULL);
	pl_addr_parse("192.0.2.11:5683", &f->meters, NULL);
	build_(f, 7);
	f->loads = pl_load_table_new();
	f->entry = pl_entry_new(9, &pl_entry_policy_two_choices, f->loads);
}

static void finish_(fixture_t *f)
{
	pl_entry_delete(f->entry);
	pl_load_table_delete(f->loads);
	pl_routing_put(f->routing);
}

static pl_addr_t caller_address_(uint32_t index)
{
	pl_addr_t addr;

	pl_addr_parse("198.51.100.1:0", &addr, NULL);
	addr.port = (uint16_t)(1024 + index);
	return addr;
}

static void write_request_(fixture_t *f, pl_coap_type_t type, uint8_t code,
			   const uint8_t *echo, int observe)
{
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, f->pdu, sizeof(f->pdu), type, code, 1,
			    NULL, 0);
	if (observe >= 0)
		pl_coap_write_uint(&writer, PL_COAP_OPT_OBSERVE,
				   (uint32_t)observe);
	if (echo)
		pl_coap_write_option(&writer, PL_COAP_OPT_ECHO, echo,
				     PL_TICKET_BYTES);
	f->len = pl_coap_write_end(&writer);
}

static pl_result_t route_(fixture_t *f, uint32_t index,
			  const pl_addr_t *address)
{
	const pl_addr_t caller = caller_address_(index);

	return pl_entry_route(f->entry, f->routing, &caller, address, f->pdu,
			      f->len, NOW, &f->agent, &f->forward, &f->dropped);
}

static pl_member_id_t home_(const fixture_t *f, uint32_t index)
{
	const pl_addr_t caller = caller_address_(index);

	return pl_placement_home(pl_routing_by_address(f->routing, &f->permits),
				 &caller)
		->agent;
}

static void address_determines_the_service(void **state)
{
	fixture_t f;

	(void)state;
	init_(&f);
	write_request_(&f, PL_COAP_CON, PL_COAP_GET, NULL, -1);
	for (uint32_t i = 0; i < CALLERS; i++) {
		assert_int_equal(route_(&f, i, &f.permits), PL_OK);
		assert_in_range(f.agent, 100, 103);
		assert_int_equal(f.forward.flow.service,
				 pl_service_id("permits"));
		assert_int_equal(route_(&f, i, &f.meters), PL_OK);
		assert_in_range(f.agent, 200, 203);
	}
	finish_(&f);
}

static void unknown_addresses_and_malformed_datagrams_are_dropped(void **state)
{
	fixture_t f;
	pl_addr_t unknown;

	(void)state;
	init_(&f);
	write_request_(&f, PL_COAP_CON, PL_COAP_GET, NULL, -1);
	pl_addr_parse("192.0.2.99:5683", &unknown, NULL);
	assert_int_equal(route_(&f, 1, &unknown), PL_ERR_NOT_FOUND);
	assert_int_equal(f.dropped, PL_COUNTER_DROP_NO_SERVICE);
	f.len = 3;
	assert_int_equal(route_(&f, 1, &f.permits), PL_ERR_MALFORMED);
	assert_int_equal(f.dropped, PL_COUNTER_DROP_MALFORMED);
	finish_(&f);
}

static void observes_and_acks_are_routed_to_the_home(void **state)
{
	fixture_t f;

	(void)state;
	init_(&f);
	for (pl_member_id_t agent = 100; agent < 104; agent++)
		pl_load_update(f.loads, agent, 1000 * (agent % 2), NOW);
	for (uint32_t i = 0; i < CALLERS; i++) {
		write_request_(&f, PL_COAP_CON, PL_COAP_GET, NULL, 0);
		assert_int_equal(route_(&f, i, &f.permits), PL_OK);
		assert_int_equal(f.agent, home_(&f, i));
		write_request_(&f, PL_COAP_ACK, PL_COAP_EMPTY, NULL, -1);
		assert_int_equal(route_(&f, i, &f.permits), PL_OK);
		assert_int_equal(f.agent, home_(&f, i));
	}
	finish_(&f);
}

static void ticket_is_routed_to_its_issuer_within_the_service(void **state)
{
	const pl_member_id_t issuers[] = { 102, 202, 999 };
	const pl_key_t key = { { 1 } };
	fixture_t f;

	(void)state;
	init_(&f);
	for (size_t i = 0; i < 3; i++) {
		const pl_ticket_t ticket = { .agent = issuers[i],
					     .boot = 1,
					     .nonce = 5 };
		const pl_flow_t flow = { .caller = caller_address_(1) };
		uint8_t echo[PL_TICKET_BYTES];

		pl_ticket_issue(&key, &ticket, &flow, 0, echo);
		write_request_(&f, PL_COAP_CON, PL_COAP_POST, echo, -1);
		assert_int_equal(route_(&f, 1, &f.permits), PL_OK);
		if (i == 0)
			assert_int_equal(f.agent, 102);
		else
			assert_in_range(f.agent, 100, 103);
	}
	finish_(&f);
}

static void new_work_avoids_the_more_loaded_endpoint(void **state)
{
	uint32_t moved = 0;
	fixture_t f;

	(void)state;
	init_(&f);
	write_request_(&f, PL_COAP_CON, PL_COAP_GET, NULL, -1);
	for (uint32_t i = 0; i < CALLERS; i++) {
		pl_load_update(f.loads, 101, 500, NOW);
		for (pl_member_id_t agent = 102; agent <= 104; agent++)
			pl_load_update(f.loads, agent % 4 + 100, 0, NOW);
		pl_load_update(f.loads, 101, 500, NOW);
		assert_int_equal(route_(&f, i, &f.permits), PL_OK);
		assert_int_not_equal(f.agent, 101);
		moved += f.agent != home_(&f, i);
	}
	assert_in_range(moved, CALLERS / 5, CALLERS / 3);
	/* A load report older than 2000 ms is ignored. */
	assert_int_equal(pl_load_expected(f.loads, 101, NOW + 2001), 0);
	finish_(&f);
}

static void answer_from_another_services_address_is_refused(void **state)
{
	pl_reply_t reply = { .agent = 100 };
	fixture_t f;

	(void)state;
	init_(&f);
	reply.flow.service = pl_service_id("permits");
	reply.flow.address = f.permits;
	assert_int_equal(pl_entry_reply(f.entry, f.routing, &reply, NOW),
			 PL_OK);
	reply.flow.address = f.meters;
	assert_int_equal(pl_entry_reply(f.entry, f.routing, &reply, NOW),
			 PL_ERR_STATE);
	finish_(&f);
}

/*
 * A configuration change swaps the addresses of two services. Requests and
 * answers follow the new table, and no answer leaves from an address of the
 * other service.
 */
static void swapped_addresses_do_not_mix_services(void **state)
{
	pl_reply_t reply = { .agent = 100 };
	pl_addr_t old;
	fixture_t f;

	(void)state;
	init_(&f);
	pl_routing_put(f.routing);
	old = f.permits;
	f.permits = f.meters;
	f.meters = old;
	build_(&f, 8);
	write_request_(&f, PL_COAP_CON, PL_COAP_GET, NULL, -1);
	for (uint32_t i = 0; i < CALLERS; i++) {
		assert_int_equal(route_(&f, i, &old), PL_OK);
		assert_in_range(f.agent, 200, 203);
		assert_int_equal(f.forward.flow.service,
				 pl_service_id("meters"));
		assert_int_equal(f.forward.revision, 8);
	}
	reply.flow.service = pl_service_id("permits");
	reply.flow.address = old;
	assert_int_equal(pl_entry_reply(f.entry, f.routing, &reply, NOW),
			 PL_ERR_STATE);
	finish_(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(address_determines_the_service),
		cmocka_unit_test(
			unknown_addresses_and_malformed_datagrams_are_dropped),
		cmocka_unit_test(observes_and_acks_are_routed_to_the_home),
		cmocka_unit_test(
			ticket_is_routed_to_its_issuer_within_the_service),
		cmocka_unit_test(new_work_avoids_the_more_loaded_endpoint),
		cmocka_unit_test(
			answer_from_another_services_address_is_refused),
		cmocka_unit_test(swapped_addresses_do_not_mix_services),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
