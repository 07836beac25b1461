#include "fixture.h"

#include <string.h>

static void get_is_answered_in_its_ack(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .code = PL_COAP_GET,
				   .token = 9,
				   .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(msg.type, PL_COAP_ACK);
	assert_int_equal(msg.mid, f->mid);
	assert_int_equal(msg.token[0], 9);
	assert_memory_equal(msg.payload, "open", 4);
	fixture_delete(f);
}

static void slow_post_gets_an_empty_ack_and_a_separate_answer(void **state)
{
	fixture_t *f = fixture_new(1, 1);
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
	fixture_advance(f, 1100);
	fixture_expect_reply(f, PL_COAP_EMPTY, &msg);
	assert_int_equal(msg.type, PL_COAP_ACK);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(msg.type, PL_COAP_CON);
	ack.mid = msg.mid;
	/* It is retransmitted until it is acknowledged. */
	fixture_advance(f, 3100);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(msg.mid, ack.mid);
	fixture_send(f, 0, &ack);
	fixture_advance(f, 60000);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

/*
 * The client of libcoap does not request further blocks of an answer that
 * arrives in a separate response.
 */
static void slow_get_is_answered_in_its_ack(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .code = PL_COAP_GET,
				   .path = "permits",
				   .mid = 77 };
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_advance(f, 2500);
	assert_int_equal(f->sent->len, 0);
	fixture_send(f, 0, &request);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(msg.type, PL_COAP_ACK);
	assert_int_equal(msg.mid, 77);
	fixture_advance(f, 60000);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

static void duplicate_does_not_run_again(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .code = PL_COAP_GET,
				   .path = "permits",
				   .mid = 77 };
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_send(f, 0, &request);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void non_confirmable_request_gets_a_non_confirmable_answer(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .type = PL_COAP_NON,
				   .code = PL_COAP_GET,
				   .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_advance(f, 3000);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(msg.type, PL_COAP_NON);
	fixture_advance(f, 60000);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

static void post_runs_once_and_only_with_a_ticket(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .code = PL_COAP_POST,
				   .path = "permits",
				   .payload = "a" };
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	assert_int_equal(fixture_call_count(f), 0);
	fixture_send_with_ticket(f, 0, &request, echo);
	assert_int_equal(fixture_call_count(f), 1);
	/* The same operation with another message ID and token. */
	request.token = 50;
	fixture_send(f, 0, &request);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "done", 4);
	assert_int_equal(f->sent->len, 2);
	while (fixture_take_reply(f, &msg))
		assert_int_equal(msg.code, PL_COAP_CHANGED);
	assert_int_equal(msg.token[0], 50);
	fixture_send(f, 0, &request);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(get_is_answered_in_its_ack),
		cmocka_unit_test(
			slow_post_gets_an_empty_ack_and_a_separate_answer),
		cmocka_unit_test(slow_get_is_answered_in_its_ack),
		cmocka_unit_test(duplicate_does_not_run_again),
		cmocka_unit_test(
			non_confirmable_request_gets_a_non_confirmable_answer),
		cmocka_unit_test(post_runs_once_and_only_with_a_ticket),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
