/**
 * @file
 * Forwarding of datagrams between agents, and rejection of datagrams.
 */
#include "fixture.h"

#include <pimentolift/counter.h>
#include <string.h>

/* Returns the index of the home agent of the fixture's caller. */
static int home_index_(fixture_t *f)
{
	const pl_endpoint_t *home;
	const pl_route_service_t *service =
		pl_routing_service_at(f->routing, 0);

	home = pl_placement_home(service, &f->caller);
	return (int)(home->agent & 0xf);
}

static void view_is_opened_at_the_home(void **state)
{
	fixture_t *f = fixture_new(3, 1);
	test_request_t request = { .code = PL_COAP_GET,
				   .path = "feed",
				   .observe = 1 };
	pl_agent_stats_t stats;
	int home = home_index_(f);

	(void)state;
	fixture_send(f, (home + 1) % 3, &request);
	pl_agent_stats(f->nodes[home].agent, &stats);
	assert_int_equal(stats.views, 1);
	/* Any agent can get the request; it closes the view and is served. */
	request.observe = 2;
	fixture_send(f, (home + 2) % 3, &request);
	pl_agent_stats(f->nodes[home].agent, &stats);
	assert_int_equal(stats.views, 0);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void draining_agent_without_peers_opens_no_view(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .code = PL_COAP_GET,
				   .path = "feed",
				   .observe = 1 };
	pl_agent_stats_t stats;
	pl_coap_msg_t msg;

	(void)state;
	pl_agent_drain(f->nodes[0].agent);
	fixture_send(f, 0, &request);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "x", 1);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	assert_false(msg.has_observe);
	pl_agent_stats(f->nodes[0].agent, &stats);
	assert_int_equal(stats.views, 0);
	/* After 3 s of drain the agent refuses all new requests. */
	fixture_advance(f, 3000);
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void agent_without_a_backend_server_forwards_work(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	test_request_t get = { .code = PL_COAP_GET, .path = "permits" };
	test_request_t post = { .code = PL_COAP_POST, .path = "permits" };
	uint8_t echo[PL_TICKET_BYTES];
	int home = home_index_(f);

	(void)state;
	pl_agent_set_backend(f->nodes[home].agent, 0, 0);
	fixture_send(f, home, &get);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_send_with_ticket(f, home, &post, echo);
	assert_int_equal(fixture_call_count(f), 2);
	fixture_delete(f);
}

static void unknown_ack_is_forwarded_at_most_twice(void **state)
{
	fixture_t *f = fixture_new(3, 1);
	test_request_t ack = { .type = PL_COAP_ACK, .mid = 4711 };

	(void)state;
	fixture_send(f, 0, &ack);
	assert_int_equal(f->forward_count, 2);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

static void separate_answer_is_acknowledged_at_another_agent(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	test_request_t request = { .code = PL_COAP_POST,
				   .path = "permits",
				   .payload = "a" };
	test_request_t ack = { .type = PL_COAP_ACK };
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	fixture_send_with_ticket(f, 0, &request, echo);
	fixture_advance(f, 1500);
	fixture_expect_reply(f, PL_COAP_EMPTY, &msg);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "x", 1);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	ack.mid = msg.mid;
	fixture_send(f, 1, &ack);
	fixture_advance(f, 60000);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

static void followup_block_is_found_at_another_agent(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	test_request_t request = { .code = PL_COAP_GET, .path = "permits" };
	char body[1500] = { 0 };
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, body, sizeof(body));
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	request.block2 =
		(pl_coap_block_t){ .present = true, .num = 1, .szx = 6 };
	fixture_send(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(msg.payload_len, sizeof(body) - 1024);
	/* The answer is gone: a GET may run again, a POST may not. */
	request.mid = 0;
	request.token++;
	fixture_send(f, 1, &request);
	assert_int_equal(fixture_call_count(f), 2);
	request.code = PL_COAP_POST;
	request.token++;
	fixture_send(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_call_count(f), 2);
	fixture_delete(f);
}

static void caller_can_cancel_a_request_in_progress(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .code = PL_COAP_GET,
				   .path = "permits",
				   .token = 5 };
	pl_agent_stats_t stats;
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	request.observe = 2;
	fixture_send(f, 0, &request);
	assert_true(((backend_call_t *)f->calls->pdata[0])->cancelled);
	pl_agent_stats(f->nodes[0].agent, &stats);
	assert_int_equal(stats.requests_running, 0);
	/* The first message gets an empty ACK, the second one the response. */
	assert_true(fixture_take_reply(f, &msg));
	assert_int_equal(msg.code, PL_COAP_EMPTY);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	/* A late answer of the backend server is discarded. */
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "x", 1);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

static void bad_datagrams_are_counted_or_refused(void **state)
{
	static const uint8_t critical[] = { 0x40, PL_COAP_GET, 0, 9, 0x91, 1 };
	static const uint8_t ping[] = { 0x40, 0, 0, 10 };
	static const uint8_t broken[] = { 0x4f, 1 };
	fixture_t *f = fixture_new(1, 1);
	uint64_t before = pl_counter_get(PL_COUNTER_DROP_MALFORMED);
	pl_coap_msg_t msg;

	(void)state;
	fixture_deliver(f, 0, broken, sizeof(broken));
	assert_int_equal(pl_counter_get(PL_COUNTER_DROP_MALFORMED), before + 1);
	fixture_deliver(f, 0, critical, sizeof(critical));
	fixture_expect_reply(f, PL_COAP_BAD_OPTION, &msg);
	fixture_deliver(f, 0, ping, sizeof(ping));
	fixture_expect_reply(f, PL_COAP_EMPTY, &msg);
	assert_int_equal(msg.type, PL_COAP_RST);
	fixture_delete(f);
}

static void one_million_callers_use_bounded_memory(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	pl_agent_stats_t stats;
	uint8_t pdu[PL_COAP_DATAGRAM_MAX];
	test_request_t post = { .code = PL_COAP_POST, .path = "permits" };
	test_request_t get = { .code = PL_COAP_GET, .path = "permits" };
	pl_flow_t flow = { .caller = f->caller };
	size_t post_len = fixture_write(f, &post, pdu);
	size_t get_len = fixture_write(f, &get, pdu + 512);

	(void)state;
	for (uint32_t i = 0; i < 1000000; i++) {
		memcpy(flow.caller.ip, &i, sizeof(i));
		if (i % 2 == 0)
			fixture_deliver_flow(f, 0, &flow, pdu, post_len);
		else
			fixture_deliver_flow(f, 0, &flow, pdu + 512, get_len);
		g_ptr_array_set_size(f->sent, 0);
	}
	pl_agent_stats(f->nodes[0].agent, &stats);
	assert_true(stats.messages <= 16384);
	assert_true(stats.requests_queued <= f->policy.queue_max);
	assert_int_equal(stats.body_bytes, 0);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(view_is_opened_at_the_home),
		cmocka_unit_test(draining_agent_without_peers_opens_no_view),
		cmocka_unit_test(agent_without_a_backend_server_forwards_work),
		cmocka_unit_test(unknown_ack_is_forwarded_at_most_twice),
		cmocka_unit_test(
			separate_answer_is_acknowledged_at_another_agent),
		cmocka_unit_test(followup_block_is_found_at_another_agent),
		cmocka_unit_test(caller_can_cancel_a_request_in_progress),
		cmocka_unit_test(bad_datagrams_are_counted_or_refused),
		cmocka_unit_test(one_million_callers_use_bounded_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
