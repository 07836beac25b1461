/**
 * @file
 * At most once, and "not run" is true: tickets that cross agents, lives and
 * drains.
 */
#include "fixture.h"

#include <pimentolift/counter.h>
#include <string.h>

static ask_t post_(void)
{
	ask_t ask = { .code = PL_COAP_POST, .path = "permits", .payload = "a" };

	return ask;
}

/* Repeats @p ask under a new message ID and token. */
static void repeat_(fixture_t *f, int to, ask_t *ask)
{
	ask->token++;
	ask->mid = 0;
	fixture_ask(f, to, ask);
}

static void repeated_first_post_gets_the_same_ticket(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = post_();
	pl_coap_msg_t msg;

	(void)state;
	ask.mid = 70;
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	assert_memory_equal(echo, msg.echo, sizeof(echo));
	/* the copy that reaches another agent gets that agent's ticket */
	fixture_ask(f, 1, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	assert_memory_not_equal(echo, msg.echo, sizeof(echo));
	/* the caller follows one; wherever its copies land, it runs once */
	ask.echo = echo;
	ask.echo_len = sizeof(echo);
	ask.mid = 71;
	fixture_ask(f, 1, &ask);
	fixture_ask(f, 0, &ask);
	assert_int_equal(fixture_calls(f), 1);
	/* a late copy of the first datagram does not change that */
	ask.echo = NULL;
	ask.mid = 70;
	fixture_advance(f, 300000);
	g_ptr_array_set_size(f->sent, 0);
	fixture_ask(f, 0, &ask);
	assert_int_equal(fixture_calls(f), 1);
	fixture_delete(f);
}

static void overloaded_agent_does_not_refuse_without_a_ticket(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = post_();
	pl_coap_msg_t msg;

	(void)state;
	/* a copy of the request may hold a ticket of another agent */
	for (int i = 0; i < 40; i++) {
		ask_t get = { .code = PL_COAP_GET, .path = "permits" };

		fixture_ask(f, 0, &get);
	}
	while (fixture_reply(f, &msg))
		assert_int_equal(msg.code, PL_COAP_UNAVAILABLE);
	fixture_ask_ticketed(f, 0, &ask, echo);
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	assert_true(msg.max_age_s >= 1);
	/* told "not run", so a late copy must not run */
	for (size_t i = 0; i < fixture_calls(f); i++)
		fixture_end(f, i, PL_BACKEND_ANSWERED, "", 0);
	while (fixture_reply(f, &msg))
		;
	repeat_(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	for (size_t i = 0; i < fixture_calls(f); i++) {
		backend_call_t *call = f->calls->pdata[i];

		assert_int_equal(call->method, PL_COAP_GET);
	}
	fixture_delete(f);
}

static void foreign_ticket_goes_to_its_issuer(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = post_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask_ticketed(f, 0, &ask, echo);
	repeat_(f, 1, &ask);
	assert_int_equal(fixture_calls(f), 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	g_ptr_array_set_size(f->sent, 0);
	/* the issuer was paused and has another boot, but it knows */
	pl_agent_rejoin(f->nodes[0].agent, 444);
	f->nodes[0].boot = 444;
	fixture_route(f);
	repeat_(f, 1, &ask);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	/* the issuer was replaced: nobody can know */
	fixture_restart(f, 0, 555);
	fixture_route(f);
	repeat_(f, 1, &ask);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	/* the issuer is not among the members any more */
	f->nodes[0].id = 0;
	fixture_route(f);
	fixture_advance(f, 11000);
	repeat_(f, 1, &ask);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_memory_equal(msg.payload, "outcome unknown", 15);
	assert_int_equal(fixture_calls(f), 1);
	fixture_delete(f);
}

/* An agent that has just joined is not known everywhere yet. */
static void young_ticket_reaches_an_issuer_that_is_not_known_yet(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	pl_member_id_t id = f->nodes[0].id;
	ask_t ask = post_();
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;

	(void)state;
	f->nodes[0].id = 0;
	fixture_route(f);
	f->nodes[0].id = id;
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	ask.echo = echo;
	ask.echo_len = sizeof(echo);
	repeat_(f, 1, &ask);
	assert_int_equal(fixture_calls(f), 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	/* later it should be known; that it is not means that it is gone */
	fixture_advance(f, 11000);
	repeat_(f, 1, &ask);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_calls(f), 1);
	fixture_delete(f);
}

static void ticket_of_an_old_life_is_replayed_or_unknown(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t known[PL_TICKET_BYTES];
	uint8_t unused[PL_TICKET_BYTES];
	ask_t a = post_();
	ask_t b = post_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask_ticketed(f, 0, &a, known);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	b.token = 90;
	fixture_ask(f, 0, &b);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(unused, msg.echo, sizeof(unused));
	pl_agent_rejoin(f->nodes[0].agent, 777);
	repeat_(f, 0, &a);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	b.echo = unused;
	b.echo_len = sizeof(unused);
	repeat_(f, 0, &b);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_calls(f), 1);
	fixture_delete(f);
}

static void forged_ticket_counts_as_none(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES] = { PL_TICKET_VERSION, 1, 2, 3 };
	ask_t ask = post_();
	pl_coap_msg_t msg;

	(void)state;
	ask.echo = echo;
	ask.echo_len = sizeof(echo);
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	ask.echo_len = 3;
	repeat_(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	assert_int_equal(fixture_calls(f), 0);
	fixture_delete(f);
}

static void expired_ticket_is_never_run(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = post_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	ask.echo = echo;
	ask.echo_len = sizeof(echo);
	/* while its record would still be here, it is certain: not run */
	fixture_advance(f, (PL_TICKET_LIFE_S + 1) * 1000);
	repeat_(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	fixture_advance(f, 1000 * 1000);
	repeat_(f, 0, &ask);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_calls(f), 0);
	fixture_delete(f);
}

static void answer_outlives_its_ticket(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = post_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask_ticketed(f, 0, &ask, echo);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	fixture_advance(f, (PL_TICKET_LIFE_S + 60) * 1000);
	repeat_(f, 0, &ask);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(fixture_calls(f), 1);
	fixture_delete(f);
}

static void lost_post_is_unknown_and_lost_get_is_tried_again(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t post = post_();
	ask_t get = { .code = PL_COAP_GET, .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask_ticketed(f, 0, &post, echo);
	fixture_end(f, 0, PL_BACKEND_LOST, NULL, 0);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	repeat_(f, 0, &post);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	assert_int_equal(fixture_calls(f), 1);
	fixture_ask(f, 0, &get);
	fixture_end(f, 1, PL_BACKEND_LOST, NULL, 0);
	assert_int_equal(fixture_calls(f), 3);
	fixture_end(f, 2, PL_BACKEND_LOST, NULL, 0);
	assert_int_equal(fixture_calls(f), 3);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	fixture_delete(f);
}

static void refused_second_try_does_not_hide_the_first(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t get = { .code = PL_COAP_GET, .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &get);
	fixture_end(f, 0, PL_BACKEND_LOST, NULL, 0);
	/* the first try may have run, so "not run" would not be true */
	fixture_end(f, 1, PL_BACKEND_REFUSED, NULL, 0);
	fixture_expect(f, PL_COAP_GATEWAY_TIMEOUT, &msg);
	fixture_delete(f);
}

static void refusal_of_the_backend_is_final(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = post_();
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask_ticketed(f, 0, &ask, echo);
	fixture_end(f, 0, PL_BACKEND_REFUSED, NULL, 0);
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	repeat_(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	assert_int_equal(fixture_calls(f), 1);
	fixture_delete(f);
}

static void draining_agent_finishes_what_it_promised(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	uint8_t echo[PL_TICKET_BYTES];
	uint8_t other[PL_TICKET_BYTES];
	ask_t ask = post_();
	ask_t later = post_();
	ask_t get = { .code = PL_COAP_GET, .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	later.token = 100;
	fixture_ask(f, 0, &later);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(other, msg.echo, sizeof(other));
	pl_agent_drain(f->nodes[0].agent);
	f->nodes[0].state = PL_ENDPOINT_DRAINING;
	fixture_route(f);
	/* new work goes to the home among the others */
	fixture_ask(f, 0, &get);
	assert_int_equal(((backend_call_t *)f->calls->pdata[0])->agent, 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "", 0);
	fixture_expect(f, PL_COAP_CONTENT, &msg);
	/* a ticket issued before is honoured for a while */
	ask.echo = echo;
	ask.echo_len = sizeof(echo);
	repeat_(f, 0, &ask);
	assert_int_equal(((backend_call_t *)f->calls->pdata[1])->agent, 0);
	fixture_advance(f, 10000);
	assert_false(pl_agent_drained(f->nodes[0].agent));
	fixture_expect(f, PL_COAP_EMPTY, &msg);
	fixture_end(f, 1, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_false(pl_agent_drained(f->nodes[0].agent));
	fixture_ask(f, 0, &(ask_t){ .type = PL_COAP_ACK, .mid = msg.mid });
	assert_true(pl_agent_drained(f->nodes[0].agent));
	/* after that it is refused, which is true for ever */
	later.echo = other;
	later.echo_len = sizeof(other);
	repeat_(f, 0, &later);
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	assert_int_equal(fixture_calls(f), 2);
	fixture_delete(f);
}

static void other_service_is_dropped(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint64_t before = pl_counter_get(PL_COUNTER_DROP_MISMATCH);
	ask_t ask = { .code = PL_COAP_GET, .path = "permits" };

	(void)state;
	pl_agent_set_backend(f->nodes[0].agent, pl_service_id("meters"), 2);
	fixture_ask(f, 0, &ask);
	assert_int_equal(f->sent->len, 0);
	assert_int_equal(fixture_calls(f), 0);
	assert_int_equal(pl_counter_get(PL_COUNTER_DROP_MISMATCH), before + 1);
	fixture_delete(f);
}

static void backend_of_another_service_gets_nothing_old(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t post = post_();
	ask_t block = post_();
	pl_coap_msg_t msg;

	(void)state;
	for (int i = 0; i < 2; i++) {
		ask_t get = { .code = PL_COAP_GET, .path = "permits" };

		fixture_ask(f, 0, &get);
	}
	fixture_ask_ticketed(f, 0, &post, echo);
	block.token = 60;
	block.payload_len = 64;
	block.payload =
		"a photo of a water meter that is long enough for one block 0123";
	block.block1 =
		(pl_coap_block_t){ .present = true, .more = true, .szx = 2 };
	fixture_ask_ticketed(f, 0, &block, echo);
	fixture_expect(f, PL_COAP_CONTINUE, &msg);
	assert_int_equal(fixture_calls(f), 2);
	/* what waits and what is being gathered did not run and never will */
	pl_agent_set_backend(f->nodes[0].agent, pl_service_id("meters"), 2);
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	fixture_end(f, 0, PL_BACKEND_LOST, NULL, 0);
	fixture_end(f, 1, PL_BACKEND_LOST, NULL, 0);
	assert_int_equal(fixture_calls(f), 2);
	pl_agent_set_backend(f->nodes[0].agent, pl_service_id("permits"), 2);
	g_ptr_array_set_size(f->sent, 0);
	repeat_(f, 0, &block);
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	assert_int_equal(fixture_calls(f), 2);
	fixture_delete(f);
}

static void full_table_refuses_and_revokes(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = post_();
	ask_t flood = post_();
	pl_coap_msg_t msg;
	size_t calls;

	(void)state;
	/* a flood of operations, each from another caller */
	for (uint32_t i = 0; i < 70000; i++) {
		f->caller.ip[2] = (uint8_t)(i >> 8);
		f->caller.ip[3] = (uint8_t)i;
		f->caller.port = (uint16_t)(1000 + (i >> 16));
		calls = fixture_calls(f);
		flood.echo = NULL;
		flood.token = 1;
		fixture_ask_ticketed(f, 0, &flood, echo);
		if (fixture_calls(f) == calls)
			break;
		fixture_end(f, calls, PL_BACKEND_ANSWERED, "", 0);
		fixture_expect(f, PL_COAP_CHANGED, &msg);
	}
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	/* with room again, what was refused still does not run */
	fixture_advance(f, 1500);
	calls = fixture_calls(f);
	ask = flood;
	fixture_advance(f, (PL_TICKET_LIFE_S - 10) * 1000);
	repeat_(f, 0, &ask);
	assert_int_equal(fixture_calls(f), calls);
	/* and after the tickets' life there is room for new ones */
	fixture_advance(f, 20 * 1000);
	while (fixture_reply(f, &msg))
		;
	ask.echo = NULL;
	fixture_ask_ticketed(f, 0, &ask, echo);
	assert_int_equal(fixture_calls(f), calls + 1);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(repeated_first_post_gets_the_same_ticket),
		cmocka_unit_test(
			overloaded_agent_does_not_refuse_without_a_ticket),
		cmocka_unit_test(foreign_ticket_goes_to_its_issuer),
		cmocka_unit_test(
			young_ticket_reaches_an_issuer_that_is_not_known_yet),
		cmocka_unit_test(ticket_of_an_old_life_is_replayed_or_unknown),
		cmocka_unit_test(forged_ticket_counts_as_none),
		cmocka_unit_test(expired_ticket_is_never_run),
		cmocka_unit_test(answer_outlives_its_ticket),
		cmocka_unit_test(
			lost_post_is_unknown_and_lost_get_is_tried_again),
		cmocka_unit_test(refused_second_try_does_not_hide_the_first),
		cmocka_unit_test(refusal_of_the_backend_is_final),
		cmocka_unit_test(draining_agent_finishes_what_it_promised),
		cmocka_unit_test(other_service_is_dropped),
		cmocka_unit_test(backend_of_another_service_gets_nothing_old),
		cmocka_unit_test(full_table_refuses_and_revokes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
