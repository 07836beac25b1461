#include "fixture.h"

#include <string.h>

static void get_is_answered_in_its_ack(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = { .code = PL_COAP_GET, .token = 9, .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	assert_int_equal(fixture_calls(f), 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(msg.type, PL_COAP_ACK);
	assert_int_equal(msg.mid, f->mid);
	assert_int_equal(msg.token[0], 9);
	assert_memory_equal(msg.payload, "open", 4);
	fixture_delete(f);
}

static void slow_post_gets_an_empty_ack_and_a_separate_answer(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = { .code = PL_COAP_POST, .path = "permits", .payload = "a" };
	ask_t ack = { .type = PL_COAP_ACK };
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	fixture_ask_ticketed(f, 0, &ask, echo);
	fixture_advance(f, 1100);
	fixture_expect(f, PL_COAP_EMPTY, &msg);
	assert_int_equal(msg.type, PL_COAP_ACK);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(msg.type, PL_COAP_CON);
	ack.mid = msg.mid;
	/* unacknowledged, it is sent again; acknowledged, it is not */
	fixture_advance(f, 3100);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(msg.mid, ack.mid);
	fixture_ask(f, 0, &ack);
	fixture_advance(f, 60000);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

/* libcoap's client cannot take a block-wise answer that comes separately. */
static void slow_get_is_answered_in_its_ack(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = { .code = PL_COAP_GET, .path = "permits", .mid = 77 };
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_advance(f, 2500);
	assert_int_equal(f->sent->len, 0);
	fixture_ask(f, 0, &ask);
	assert_int_equal(fixture_calls(f), 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(msg.type, PL_COAP_ACK);
	assert_int_equal(msg.mid, 77);
	fixture_advance(f, 60000);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

static void duplicate_does_not_run_again(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = { .code = PL_COAP_GET, .path = "permits", .mid = 77 };
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_ask(f, 0, &ask);
	assert_int_equal(fixture_calls(f), 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect(f, PL_COAP_CONTENT, &msg);
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(fixture_calls(f), 1);
	fixture_delete(f);
}

static void non_request_is_answered_non(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = { .type = PL_COAP_NON,
		      .code = PL_COAP_GET,
		      .path = "permits" };
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_advance(f, 3000);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	fixture_expect(f, PL_COAP_CONTENT, &msg);
	assert_int_equal(msg.type, PL_COAP_NON);
	fixture_advance(f, 60000);
	assert_int_equal(f->sent->len, 0);
	fixture_delete(f);
}

static void post_runs_once_and_only_with_a_ticket(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = { .code = PL_COAP_POST, .path = "permits", .payload = "a" };
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	assert_int_equal(fixture_calls(f), 0);
	fixture_ask_ticketed(f, 0, &ask, echo);
	assert_int_equal(fixture_calls(f), 1);
	/* the same operation under another message ID and token */
	ask.token = 50;
	fixture_ask(f, 0, &ask);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "done", 4);
	assert_int_equal(f->sent->len, 2);
	while (fixture_reply(f, &msg))
		assert_int_equal(msg.code, PL_COAP_CHANGED);
	assert_int_equal(msg.token[0], 50);
	fixture_ask(f, 0, &ask);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(fixture_calls(f), 1);
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
		cmocka_unit_test(non_request_is_answered_non),
		cmocka_unit_test(post_runs_once_and_only_with_a_ticket),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
