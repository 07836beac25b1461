/**
 * @file
 * Tickets across agents, boot IDs and drains. Guards against a request that
 * runs twice, and against a response "not run" for a request that ran.
 */
#include "fixture.h"

#include <pimentolift/counter.h>
#include <string.h>

static test_request_t post_request_(void)
{
	test_request_t request = { .code = PL_COAP_POST,
				   .path = "permits",
				   .payload = "a" };

	return request;
}

/* Sends @p request again with a new message ID and token. */
static void send_repeat_(fixture_t *f, int to, test_request_t *request)
{
	request->token++;
	request->mid = 0;
	fixture_send(f, to, request);
}

static void repeated_first_post_gets_the_same_ticket(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	request.mid = 70;
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	assert_memory_equal(echo, msg.echo, sizeof(echo));
	/* A copy that reaches another agent gets a ticket of that agent. */
	fixture_send(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	assert_memory_not_equal(echo, msg.echo, sizeof(echo));
	/* The caller uses one ticket; copies at both agents run only once. */
	request.echo = echo;
	request.echo_len = sizeof(echo);
	request.mid = 71;
	fixture_send(f, 1, &request);
	fixture_send(f, 0, &request);
	assert_int_equal(fixture_call_count(f), 1);
	/* A late copy of the first datagram does not run. */
	request.echo = NULL;
	request.mid = 70;
	fixture_advance(f, 300000);
	g_ptr_array_set_size(f->sent, 0);
	fixture_send(f, 0, &request);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void overloaded_agent_does_not_refuse_without_a_ticket(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	/* A copy of the request may have a ticket of another agent. */
	for (int i = 0; i < 40; i++) {
		test_request_t get = { .code = PL_COAP_GET, .path = "permits" };

		fixture_send(f, 0, &get);
	}
	while (fixture_take_reply(f, &msg))
		assert_int_equal(msg.code, PL_COAP_UNAVAILABLE);
	fixture_send_with_ticket(f, 0, &request, echo);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	assert_true(msg.max_age_s >= 1);
	/* The response was "not run", so a late copy must not run. */
	for (size_t i = 0; i < fixture_call_count(f); i++)
		fixture_end_call_at(f, i, PL_BACKEND_ANSWERED, "", 0);
	while (fixture_take_reply(f, &msg))
		;
	send_repeat_(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	for (size_t i = 0; i < fixture_call_count(f); i++) {
		backend_call_t *call = f->calls->pdata[i];

		assert_int_equal(call->method, PL_COAP_GET);
	}
	fixture_delete(f);
}

static void foreign_ticket_is_forwarded_to_its_issuer(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_send_with_ticket(f, 0, &request, echo);
	send_repeat_(f, 1, &request);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	g_ptr_array_set_size(f->sent, 0);
	/* After a pause the issuer has a new boot ID and its old records. */
	pl_agent_rejoin(f->nodes[0].agent, 444);
	f->nodes[0].boot = 444;
	fixture_publish_routing(f);
	send_repeat_(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	/* The issuer was replaced, so the outcome is unknown. */
	fixture_restart(f, 0, 555);
	fixture_publish_routing(f);
	send_repeat_(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	/* The issuer is no longer a member. */
	f->nodes[0].id = 0;
	fixture_publish_routing(f);
	fixture_advance(f, 11000);
	send_repeat_(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_memory_equal(msg.payload, "outcome unknown", 15);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

/*
 * An agent that has just joined is missing from the routing tables of other
 * agents for some seconds, and may have issued tickets in that time.
 */
static void recent_ticket_is_forwarded_to_an_unknown_issuer(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	pl_member_id_t id = f->nodes[0].id;
	test_request_t request = post_request_();
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;

	(void)state;
	f->nodes[0].id = 0;
	fixture_publish_routing(f);
	f->nodes[0].id = id;
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	request.echo = echo;
	request.echo_len = sizeof(echo);
	send_repeat_(f, 1, &request);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	/* After 11 s, a missing issuer is one that has left. */
	fixture_advance(f, 11000);
	send_repeat_(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void ticket_of_an_earlier_boot_is_replayed_or_unknown(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t known[PL_TICKET_BYTES];
	uint8_t unused[PL_TICKET_BYTES];
	test_request_t a = post_request_();
	test_request_t b = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_send_with_ticket(f, 0, &a, known);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	b.token = 90;
	fixture_send(f, 0, &b);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(unused, msg.echo, sizeof(unused));
	pl_agent_rejoin(f->nodes[0].agent, 777);
	send_repeat_(f, 0, &a);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	b.echo = unused;
	b.echo_len = sizeof(unused);
	send_repeat_(f, 0, &b);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void forged_ticket_is_treated_as_missing(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES] = { PL_TICKET_VERSION, 1, 2, 3 };
	test_request_t request = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	request.echo = echo;
	request.echo_len = sizeof(echo);
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	request.echo_len = 3;
	send_repeat_(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	assert_int_equal(fixture_call_count(f), 0);
	fixture_delete(f);
}

static void expired_ticket_never_runs_a_request(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	request.echo = echo;
	request.echo_len = sizeof(echo);
	/* Within the retention time, no record means that it did not run. */
	fixture_advance(f, (PL_TICKET_LIFE_S + 1) * 1000);
	send_repeat_(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	fixture_advance(f, 1000 * 1000);
	send_repeat_(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_call_count(f), 0);
	fixture_delete(f);
}

static void answer_is_replayed_after_ticket_expiry(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_send_with_ticket(f, 0, &request, echo);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	fixture_advance(f, (PL_TICKET_LIFE_S + 60) * 1000);
	send_repeat_(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void lost_post_is_unknown_and_lost_get_is_retried(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t post = post_request_();
	test_request_t get = { .code = PL_COAP_GET, .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_send_with_ticket(f, 0, &post, echo);
	fixture_end_call_at(f, 0, PL_BACKEND_LOST, NULL, 0);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	send_repeat_(f, 0, &post);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_send(f, 0, &get);
	fixture_end_call_at(f, 1, PL_BACKEND_LOST, NULL, 0);
	assert_int_equal(fixture_call_count(f), 3);
	fixture_end_call_at(f, 2, PL_BACKEND_LOST, NULL, 0);
	assert_int_equal(fixture_call_count(f), 3);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	fixture_delete(f);
}

static void refused_retry_reports_unknown_outcome(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t get = { .code = PL_COAP_GET, .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &get);
	fixture_end_call_at(f, 0, PL_BACKEND_LOST, NULL, 0);
	/* The first attempt may have run, so "not run" would be false. */
	fixture_end_call_at(f, 1, PL_BACKEND_REFUSED, NULL, 0);
	fixture_expect_reply(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	fixture_delete(f);
}

static void backend_refusal_is_final(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_send_with_ticket(f, 0, &request, echo);
	fixture_end_call_at(f, 0, PL_BACKEND_REFUSED, NULL, 0);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	send_repeat_(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void draining_agent_accepts_issued_tickets(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	uint8_t echo[PL_TICKET_BYTES];
	uint8_t other[PL_TICKET_BYTES];
	test_request_t request = post_request_();
	test_request_t later = post_request_();
	test_request_t get = { .code = PL_COAP_GET, .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	later.token = 100;
	fixture_send(f, 0, &later);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(other, msg.echo, sizeof(other));
	pl_agent_drain(f->nodes[0].agent);
	f->nodes[0].state = PL_ENDPOINT_DRAINING;
	fixture_publish_routing(f);
	/* New work goes to the caller's home among the other agents. */
	fixture_send(f, 0, &get);
	assert_int_equal(((backend_call_t *)f->calls->pdata[0])->agent, 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "", 0);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	/* A ticket issued before the drain is accepted at its start. */
	request.echo = echo;
	request.echo_len = sizeof(echo);
	send_repeat_(f, 0, &request);
	assert_int_equal(((backend_call_t *)f->calls->pdata[1])->agent, 0);
	fixture_advance(f, 10000);
	assert_false(pl_agent_drained(f->nodes[0].agent));
	fixture_expect_reply(f, PL_COAP_EMPTY, &msg);
	fixture_end_call_at(f, 1, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_false(pl_agent_drained(f->nodes[0].agent));
	fixture_send(f, 0,
		     &(test_request_t){ .type = PL_COAP_ACK, .mid = msg.mid });
	assert_true(pl_agent_drained(f->nodes[0].agent));
	/* Later the request is refused, and it can never run. */
	later.echo = other;
	later.echo_len = sizeof(other);
	send_repeat_(f, 0, &later);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	assert_int_equal(fixture_call_count(f), 2);
	fixture_delete(f);
}

static void datagram_of_another_service_is_dropped(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint64_t before = pl_counter_get(PL_COUNTER_DROP_MISMATCH);
	test_request_t request = { .code = PL_COAP_GET, .path = "permits" };

	(void)state;
	pl_agent_set_backend(f->nodes[0].agent, pl_service_id("meters"), 2);
	fixture_send(f, 0, &request);
	assert_int_equal(f->sent->len, 0);
	assert_int_equal(fixture_call_count(f), 0);
	assert_int_equal(pl_counter_get(PL_COUNTER_DROP_MISMATCH), before + 1);
	fixture_delete(f);
}

static void backend_of_another_service_gets_no_queued_requests(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t post = post_request_();
	test_request_t block = post_request_();
	pl_coap_msg_t msg;

	(void)state;
	for (int i = 0; i < 2; i++) {
		test_request_t get = { .code = PL_COAP_GET, .path = "permits" };

		fixture_send(f, 0, &get);
	}
	fixture_send_with_ticket(f, 0, &post, echo);
	block.token = 60;
	block.payload_len = 64;
	block.payload =
		"a photo of a water meter that is long enough for one block 0123";
	block.block1 =
		(pl_coap_block_t){ .present = true, .more = true, .szx = 2 };
	fixture_send_with_ticket(f, 0, &block, echo);
	fixture_expect_reply(f, PL_COAP_CONTINUE, &msg);
	assert_int_equal(fixture_call_count(f), 2);
	/* The queued request and the upload did not run and never will. */
	pl_agent_set_backend(f->nodes[0].agent, pl_service_id("meters"), 2);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	fixture_end_call_at(f, 0, PL_BACKEND_LOST, NULL, 0);
	fixture_end_call_at(f, 1, PL_BACKEND_LOST, NULL, 0);
	assert_int_equal(fixture_call_count(f), 2);
	pl_agent_set_backend(f->nodes[0].agent, pl_service_id("permits"), 2);
	g_ptr_array_set_size(f->sent, 0);
	send_repeat_(f, 0, &block);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	assert_int_equal(fixture_call_count(f), 2);
	fixture_delete(f);
}

static void full_table_refuses_and_revokes_tickets(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = post_request_();
	test_request_t flood = post_request_();
	pl_coap_msg_t msg;
	size_t calls;

	(void)state;
	/* Each request comes from a different caller. */
	for (uint32_t i = 0; i < 70000; i++) {
		f->caller.ip[2] = (uint8_t)(i >> 8);
		f->caller.ip[3] = (uint8_t)i;
		f->caller.port = (uint16_t)(1000 + (i >> 16));
		calls = fixture_call_count(f);
		flood.echo = NULL;
		flood.token = 1;
		fixture_send_with_ticket(f, 0, &flood, echo);
		if (fixture_call_count(f) == calls)
			break;
		fixture_end_call_at(f, calls, PL_BACKEND_ANSWERED, "", 0);
		fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	}
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	/* The refused request does not run later with the same ticket. */
	fixture_advance(f, 1500);
	calls = fixture_call_count(f);
	request = flood;
	fixture_advance(f, (PL_TICKET_LIFE_S - 10) * 1000);
	send_repeat_(f, 0, &request);
	assert_int_equal(fixture_call_count(f), calls);
	/* After the tickets expired, a new request finds room. */
	fixture_advance(f, 20 * 1000);
	while (fixture_take_reply(f, &msg))
		;
	request.echo = NULL;
	fixture_send_with_ticket(f, 0, &request, echo);
	assert_int_equal(fixture_call_count(f), calls + 1);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(repeated_first_post_gets_the_same_ticket),
		cmocka_unit_test(
			overloaded_agent_does_not_refuse_without_a_ticket),
		cmocka_unit_test(foreign_ticket_is_forwarded_to_its_issuer),
		cmocka_unit_test(
			recent_ticket_is_forwarded_to_an_unknown_issuer),
		cmocka_unit_test(
			ticket_of_an_earlier_boot_is_replayed_or_unknown),
		cmocka_unit_test(forged_ticket_is_treated_as_missing),
		cmocka_unit_test(expired_ticket_never_runs_a_request),
		cmocka_unit_test(answer_is_replayed_after_ticket_expiry),
		cmocka_unit_test(lost_post_is_unknown_and_lost_get_is_retried),
		cmocka_unit_test(refused_retry_reports_unknown_outcome),
		cmocka_unit_test(backend_refusal_is_final),
		cmocka_unit_test(draining_agent_accepts_issued_tickets),
		cmocka_unit_test(datagram_of_another_service_is_dropped),
		cmocka_unit_test(
			backend_of_another_service_gets_no_queued_requests),
		cmocka_unit_test(full_table_refuses_and_revokes_tickets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
