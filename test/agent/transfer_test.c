#include "fixture.h"

#include <string.h>

#define BODY_BYTES 200000

static char *random_body_(size_t len, uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	char *body = g_malloc(len);

	for (size_t i = 0; i < len; i++)
		body[i] = (char)g_rand_int(rand);
	g_rand_free(rand);
	return body;
}

/* Fetches all blocks of an answer and compares the result with @p body. */
static void fetch_and_compare_(fixture_t *f, test_request_t *request,
			       const char *body, size_t len)
{
	GByteArray *got = g_byte_array_new();
	pl_coap_msg_t msg;
	bool more = true;
	uint64_t etag = 0;

	while (more) {
		fixture_expect_reply(f,
				     request->code == PL_COAP_GET ?
					     PL_COAP_CONTENT :
					     PL_COAP_CHANGED,
				     &msg);
		assert_int_equal(msg.block2.num, request->block2.num);
		assert_int_equal(msg.etag_len, 8);
		if (request->block2.num > 0)
			assert_memory_equal(&etag, msg.etag, 8);
		memcpy(&etag, msg.etag, 8);
		g_byte_array_append(got, msg.payload, (guint)msg.payload_len);
		more = msg.block2.more;
		request->block2 = msg.block2;
		request->block2.more = false;
		request->block2.num++;
		request->token++;
		if (more)
			fixture_send(f, 0, request);
	}
	assert_int_equal(got->len, len);
	assert_memory_equal(got->data, body, len);
	g_byte_array_free(got, TRUE);
}

static void large_answer_is_complete(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .code = PL_COAP_GET, .path = "permits/all" };
	char *body = random_body_(BODY_BYTES, 3);

	(void)state;
	fixture_send(f, 0, &request);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, body, BODY_BYTES);
	fetch_and_compare_(f, &request, body, BODY_BYTES);
	assert_int_equal(fixture_call_count(f), 1);
	g_free(body);
	fixture_delete(f);
}

static void finished_transfer_does_not_serve_a_later_one(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	test_request_t first = { .code = PL_COAP_POST, .path = "permits" };
	test_request_t second = first;
	test_request_t followup = {
		.code = PL_COAP_POST,
		.path = "permits",
		.token = 90,
		.block2 = { .present = true, .num = 1, .szx = 6 }
	};
	uint8_t echo[PL_TICKET_BYTES];
	char *body = random_body_(2000, 3);
	pl_coap_msg_t msg;

	(void)state;
	/* The first answer is fetched completely from agent 0. */
	first.payload = "a";
	fixture_send_with_ticket(f, 0, &first, echo);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, body, 2000);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	fixture_send(f, 0, &followup);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_memory_equal(msg.payload, body + 1024, 2000 - 1024);
	/*
	 * The second answer is stored at agent 1. A follow-up request that
	 * reaches agent 0 must not get a block of the first answer.
	 */
	second.payload = "b";
	second.token = 20;
	fixture_send_with_ticket(f, 1, &second, echo);
	body[1024]++;
	fixture_end_call_at(f, 1, PL_BACKEND_ANSWERED, body, 2000);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	followup.token++;
	fixture_send(f, 0, &followup);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_memory_equal(msg.payload, body + 1024, 2000 - 1024);
	g_free(body);
	fixture_delete(f);
}

static void large_answer_of_a_post_is_complete_and_runs_once(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = { .code = PL_COAP_POST,
				   .path = "permits",
				   .payload = "x" };
	uint8_t echo[PL_TICKET_BYTES];
	char *body = random_body_(BODY_BYTES, 3);

	(void)state;
	fixture_send_with_ticket(f, 0, &request, echo);
	request.echo = NULL;
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, body, BODY_BYTES);
	fetch_and_compare_(f, &request, body, BODY_BYTES);
	assert_int_equal(fixture_call_count(f), 1);
	g_free(body);
	fixture_delete(f);
}

static void active_transfer_delays_the_end_of_a_drain(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	test_request_t request = { .code = PL_COAP_GET, .path = "permits" };
	char *body = random_body_(3000, 3);
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;

	(void)state;
	fixture_send(f, 0, &request);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, body, 3000);
	fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
	pl_agent_drain(f->nodes[0].agent);
	f->nodes[0].state = PL_ENDPOINT_DRAINING;
	fixture_publish_routing(f);
	/* The transfer also continues after a change of the boot ID. */
	pl_agent_rejoin(f->nodes[0].agent, 4711);
	f->nodes[0].boot = 4711;
	fixture_publish_routing(f);
	for (uint32_t num = 1; num < 3; num++) {
		assert_int_equal(msg.echo_len, sizeof(echo));
		memcpy(echo, msg.echo, sizeof(echo));
		fixture_advance(f, 4000);
		assert_false(pl_agent_drained(f->nodes[0].agent));
		request.block2 = (pl_coap_block_t){ .present = true,
						    .num = num,
						    .szx = 6 };
		request.echo = echo;
		request.echo_len = sizeof(echo);
		fixture_send(f, 0, &request);
		fixture_expect_reply(f, PL_COAP_CONTENT, &msg);
		assert_memory_equal(msg.payload, body + (size_t)num * 1024,
				    msg.payload_len);
	}
	assert_int_equal(msg.echo_len, 0);
	assert_true(pl_agent_drained(f->nodes[0].agent));
	assert_int_equal(fixture_call_count(f), 1);
	g_free(body);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_answer_is_complete),
		cmocka_unit_test(finished_transfer_does_not_serve_a_later_one),
		cmocka_unit_test(active_transfer_delays_the_end_of_a_drain),
		cmocka_unit_test(
			large_answer_of_a_post_is_complete_and_runs_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
