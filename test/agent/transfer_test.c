#include "fixture.h"

#include <string.h>

#define BODY_BYTES 200000

static char *body_(size_t len, uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	char *body = g_malloc(len);

	for (size_t i = 0; i < len; i++)
		body[i] = (char)g_rand_int(rand);
	g_rand_free(rand);
	return body;
}

/* Fetches the rest of a body and compares the whole with @p body. */
static void fetch_rest_(fixture_t *f, ask_t *ask, const char *body, size_t len)
{
	GByteArray *got = g_byte_array_new();
	pl_coap_msg_t msg;
	bool more = true;
	uint64_t etag = 0;

	while (more) {
		fixture_expect(f,
			       ask->code == PL_COAP_GET ? PL_COAP_CONTENT :
							  PL_COAP_CHANGED,
			       &msg);
		assert_int_equal(msg.block2.num, ask->block2.num);
		assert_int_equal(msg.etag_len, 8);
		if (ask->block2.num > 0)
			assert_memory_equal(&etag, msg.etag, 8);
		memcpy(&etag, msg.etag, 8);
		g_byte_array_append(got, msg.payload, (guint)msg.payload_len);
		more = msg.block2.more;
		ask->block2 = msg.block2;
		ask->block2.more = false;
		ask->block2.num++;
		ask->token++;
		if (more)
			fixture_ask(f, 0, ask);
	}
	assert_int_equal(got->len, len);
	assert_memory_equal(got->data, body, len);
	g_byte_array_free(got, TRUE);
}

static void large_answer_is_whole(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = { .code = PL_COAP_GET, .path = "permits/all" };
	char *body = body_(BODY_BYTES, 3);

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, body, BODY_BYTES);
	fetch_rest_(f, &ask, body, BODY_BYTES);
	assert_int_equal(fixture_calls(f), 1);
	g_free(body);
	fixture_delete(f);
}

static void finished_transfer_does_not_answer_for_another(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	ask_t first = { .code = PL_COAP_POST, .path = "permits" };
	ask_t second = first;
	ask_t rest = { .code = PL_COAP_POST,
		       .path = "permits",
		       .token = 90,
		       .block2 = { .present = true, .num = 1, .szx = 6 } };
	uint8_t echo[PL_TICKET_BYTES];
	char *body = body_(2000, 3);
	pl_coap_msg_t msg;

	(void)state;
	/* an answer that was fetched from one agent */
	first.payload = "a";
	fixture_ask_ticketed(f, 0, &first, echo);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, body, 2000);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	fixture_ask(f, 0, &rest);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_memory_equal(msg.payload, body + 1024, 2000 - 1024);
	/* the next one's is at the other agent, whoever is asked for it */
	second.payload = "b";
	second.token = 20;
	fixture_ask_ticketed(f, 1, &second, echo);
	body[1024]++;
	fixture_end(f, 1, PL_BACKEND_ANSWERED, body, 2000);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	rest.token++;
	fixture_ask(f, 0, &rest);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_memory_equal(msg.payload, body + 1024, 2000 - 1024);
	g_free(body);
	fixture_delete(f);
}

static void large_answer_of_a_post_is_whole_and_ran_once(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = { .code = PL_COAP_POST, .path = "permits", .payload = "x" };
	uint8_t echo[PL_TICKET_BYTES];
	char *body = body_(BODY_BYTES, 3);

	(void)state;
	fixture_ask_ticketed(f, 0, &ask, echo);
	ask.echo = NULL;
	fixture_end(f, 0, PL_BACKEND_ANSWERED, body, BODY_BYTES);
	fetch_rest_(f, &ask, body, BODY_BYTES);
	assert_int_equal(fixture_calls(f), 1);
	g_free(body);
	fixture_delete(f);
}

static void transfer_in_progress_holds_up_the_end_of_a_drain(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	ask_t ask = { .code = PL_COAP_GET, .path = "permits" };
	char *body = body_(3000, 3);
	uint8_t echo[PL_TICKET_BYTES];
	pl_coap_msg_t msg;

	(void)state;
	fixture_ask(f, 0, &ask);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, body, 3000);
	fixture_expect(f, PL_COAP_CONTENT, &msg);
	pl_agent_drain(f->nodes[0].agent);
	f->nodes[0].state = PL_ENDPOINT_DRAINING;
	fixture_route(f);
	/* also over a new life of the process */
	pl_agent_rejoin(f->nodes[0].agent, 4711);
	f->nodes[0].boot = 4711;
	fixture_route(f);
	for (uint32_t num = 1; num < 3; num++) {
		assert_int_equal(msg.echo_len, sizeof(echo));
		memcpy(echo, msg.echo, sizeof(echo));
		fixture_advance(f, 4000);
		assert_false(pl_agent_drained(f->nodes[0].agent));
		ask.block2 = (pl_coap_block_t){ .present = true,
						.num = num,
						.szx = 6 };
		ask.echo = echo;
		ask.echo_len = sizeof(echo);
		fixture_ask(f, 0, &ask);
		fixture_expect(f, PL_COAP_CONTENT, &msg);
		assert_memory_equal(msg.payload, body + (size_t)num * 1024,
				    msg.payload_len);
	}
	assert_int_equal(msg.echo_len, 0);
	assert_true(pl_agent_drained(f->nodes[0].agent));
	assert_int_equal(fixture_calls(f), 1);
	g_free(body);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_answer_is_whole),
		cmocka_unit_test(finished_transfer_does_not_answer_for_another),
		cmocka_unit_test(
			transfer_in_progress_holds_up_the_end_of_a_drain),
		cmocka_unit_test(large_answer_of_a_post_is_whole_and_ran_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
