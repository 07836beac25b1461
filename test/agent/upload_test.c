/**
 * @file
 * Uploads with blocks that are duplicated, reordered, lost or delivered to
 * another agent.
 */
#include "fixture.h"

#include <string.h>

#define BLOCK 64
#define SZX 2

static const char data_[BLOCK * 8] = "a photo of a water meter";

static test_request_t block_request_(uint32_t num, bool more, const char *rtag)
{
	test_request_t request = {
		.code = PL_COAP_POST,
		.path = "photos",
		.rtag = rtag,
		.token = (uint8_t)(10 + num),
		.payload = data_ + num * BLOCK,
		.payload_len = BLOCK,
		.block1 = { .present = true,
			    .more = more,
			    .num = num,
			    .szx = SZX },
	};

	return request;
}

static void expect_block_(fixture_t *f, uint8_t code, uint32_t num)
{
	pl_coap_msg_t msg;

	fixture_expect_reply(f, code, &msg);
	assert_true(msg.block1.present);
	assert_int_equal(msg.block1.num, num);
}

/* Sends block 0 with a ticket and the blocks after it up to @p last. */
static void start_upload_(fixture_t *f, int to, const char *rtag, uint32_t last)
{
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = block_request_(0, true, rtag);

	fixture_send_with_ticket(f, to, &request, echo);
	expect_block_(f, PL_COAP_CONTINUE, 0);
	for (uint32_t num = 1; num <= last; num++) {
		request = block_request_(num, true, rtag);
		fixture_send(f, to, &request);
		expect_block_(f, PL_COAP_CONTINUE, num);
	}
}

static void body_is_complete_and_runs_once(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t request = block_request_(3, false, "r1");
	test_request_t again = block_request_(1, true, "r1");
	backend_call_t *call;
	pl_coap_msg_t msg;
	gsize len;

	(void)state;
	start_upload_(f, 0, "r1", 2);
	fixture_send(f, 0, &again);
	expect_block_(f, PL_COAP_CONTINUE, 1);
	assert_int_equal(fixture_call_count(f), 0);
	fixture_send(f, 0, &request);
	fixture_send(f, 0, &request);
	assert_int_equal(fixture_call_count(f), 1);
	call = f->calls->pdata[0];
	assert_memory_equal(g_bytes_get_data(call->body, &len), data_,
			    4 * BLOCK);
	assert_int_equal(len, 4 * BLOCK);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	while (fixture_take_reply(f, &msg)) {
		assert_int_equal(msg.code, PL_COAP_CHANGED);
		assert_int_equal(msg.block1.num, 3);
	}
	fixture_send(f, 0, &request);
	expect_block_(f, PL_COAP_CHANGED, 3);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_delete(f);
}

static void missing_block_refuses_the_upload_permanently(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t late = block_request_(2, true, "r1");
	test_request_t last = block_request_(3, false, "r1");

	(void)state;
	start_upload_(f, 0, "r1", 1);
	fixture_send(f, 0, &last);
	expect_block_(f, PL_COAP_INCOMPLETE, 3);
	/* It was reported as not run, so a late block must not complete it. */
	fixture_send(f, 0, &late);
	expect_block_(f, PL_COAP_INCOMPLETE, 2);
	fixture_send(f, 0, &last);
	expect_block_(f, PL_COAP_INCOMPLETE, 3);
	fixture_advance(f, 110 * 1000);
	assert_int_equal(fixture_call_count(f), 0);
	fixture_delete(f);
}

static void blocks_reach_the_upload_after_a_change_of_home(void **state)
{
	fixture_t *f = fixture_new(3, 1);
	test_request_t next = block_request_(2, true, "r1");
	test_request_t last = block_request_(3, false, "r1");
	pl_coap_msg_t msg;

	(void)state;
	start_upload_(f, 0, "r1", 1);
	/* Blocks that reach another agent are forwarded to the upload. */
	fixture_send(f, 1, &next);
	expect_block_(f, PL_COAP_CONTINUE, 2);
	fixture_send(f, 2, &last);
	fixture_send(f, 1, &last);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	while (fixture_take_reply(f, &msg))
		assert_int_equal(msg.code, PL_COAP_CHANGED);
	fixture_delete(f);
}

static void blocks_of_an_unknown_upload_have_unknown_outcome(void **state)
{
	fixture_t *f = fixture_new(3, 1);
	test_request_t next = block_request_(2, true, "r9");
	test_request_t last = block_request_(3, false, "r9");

	(void)state;
	/*
	 * The block may be a late copy, and the agent that ran the request may
	 * be gone.
	 */
	fixture_send(f, 0, &next);
	expect_block_(f, PL_COAP_GATEWAY_TIMEOUT, 2);
	fixture_send(f, 0, &last);
	expect_block_(f, PL_COAP_GATEWAY_TIMEOUT, 3);
	fixture_delete(f);
}

static void same_tag_with_a_new_ticket_is_a_new_operation(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t last = block_request_(1, false, "r1");

	(void)state;
	for (int round = 0; round < 2; round++) {
		start_upload_(f, 0, "r1", 0);
		last.token++;
		last.mid = 0;
		fixture_send(f, 0, &last);
		assert_int_equal(fixture_call_count(f), round + 1);
		fixture_end_call_at(f, (size_t)round, PL_BACKEND_ANSWERED, "ok",
				    2);
		expect_block_(f, PL_COAP_CHANGED, 1);
	}
	fixture_delete(f);
}

static void finished_upload_does_not_serve_a_later_one(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	test_request_t last = block_request_(1, false, "r1");
	pl_coap_msg_t msg;

	(void)state;
	start_upload_(f, 0, "r1", 0);
	fixture_send(f, 0, &last);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "old", 3);
	expect_block_(f, PL_COAP_CHANGED, 1);
	/* The second upload starts at agent 1, and ends at agent 0. */
	start_upload_(f, 1, "r1", 0);
	last.token += 40;
	fixture_send(f, 0, &last);
	assert_int_equal(fixture_call_count(f), 2);
	fixture_end_call_at(f, 1, PL_BACKEND_ANSWERED, "new", 3);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_memory_equal(msg.payload, "new", 3);
	fixture_delete(f);
}

static void continuation_ticket_identifies_the_upload(void **state)
{
	fixture_t *f = fixture_new(3, 1);
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = block_request_(0, true, "r1");
	test_request_t last = block_request_(1, false, "r1");
	pl_coap_msg_t msg;

	(void)state;
	/* Two operations with one Request-Tag at two agents. */
	start_upload_(f, 0, "r1", 0);
	request.token = 90;
	fixture_send(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	request.echo = echo;
	request.echo_len = sizeof(echo);
	request.token++;
	fixture_send(f, 1, &request);
	fixture_expect_reply(f, PL_COAP_CONTINUE, &msg);
	assert_int_equal(msg.echo_len, sizeof(echo));
	memcpy(echo, msg.echo, sizeof(echo));
	/* By Request-Tag alone, agent 0 would add the block to its upload. */
	last.echo = echo;
	last.echo_len = sizeof(echo);
	fixture_send(f, 0, &last);
	assert_int_equal(fixture_call_count(f), 1);
	assert_int_equal(((backend_call_t *)f->calls->pdata[0])->agent, 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(msg.echo_len, 0);
	/* The agent of the upload was replaced, so the outcome is unknown. */
	fixture_restart(f, 1, 999);
	fixture_publish_routing(f);
	last.token++;
	last.mid = 0;
	fixture_send(f, 2, &last);
	expect_block_(f, PL_COAP_GATEWAY_TIMEOUT, 1);
	fixture_delete(f);
}

static void oversized_upload_is_refused_permanently(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t big = block_request_(2, true, "r1");

	(void)state;
	f->policy.upload_max_bytes = 2 * BLOCK;
	fixture_publish_routing(f);
	start_upload_(f, 0, "r1", 1);
	fixture_send(f, 0, &big);
	expect_block_(f, PL_COAP_TOO_LARGE, 2);
	big.mid = 0;
	big.token++;
	fixture_send(f, 0, &big);
	expect_block_(f, PL_COAP_TOO_LARGE, 2);
	fixture_delete(f);
}

static void idle_upload_is_refused(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	test_request_t last = block_request_(2, false, "r1");
	pl_agent_stats_t stats;

	(void)state;
	start_upload_(f, 0, "r1", 1);
	pl_agent_stats(f->nodes[0].agent, &stats);
	assert_int_equal(stats.uploads, 1);
	assert_int_equal(stats.body_bytes, 2 * BLOCK);
	fixture_advance(f, 110 * 1000);
	pl_agent_stats(f->nodes[0].agent, &stats);
	assert_int_equal(stats.uploads, 0);
	assert_int_equal(stats.body_bytes, 0);
	/* The ticket was used, so a late copy cannot run the request. */
	fixture_send(f, 0, &last);
	expect_block_(f, PL_COAP_INCOMPLETE, 2);
	assert_int_equal(fixture_call_count(f), 0);
	fixture_delete(f);
}

static void active_upload_delays_the_end_of_a_drain(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	test_request_t last = block_request_(1, false, "r1");
	pl_coap_msg_t msg;

	(void)state;
	start_upload_(f, 0, "r1", 0);
	pl_agent_drain(f->nodes[0].agent);
	f->nodes[0].state = PL_ENDPOINT_DRAINING;
	fixture_publish_routing(f);
	fixture_advance(f, 5000);
	assert_false(pl_agent_drained(f->nodes[0].agent));
	fixture_send(f, 1, &last);
	assert_int_equal(fixture_call_count(f), 1);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect_reply(f, PL_COAP_CHANGED, &msg);
	assert_true(pl_agent_drained(f->nodes[0].agent));
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(body_is_complete_and_runs_once),
		cmocka_unit_test(missing_block_refuses_the_upload_permanently),
		cmocka_unit_test(
			blocks_reach_the_upload_after_a_change_of_home),
		cmocka_unit_test(
			blocks_of_an_unknown_upload_have_unknown_outcome),
		cmocka_unit_test(same_tag_with_a_new_ticket_is_a_new_operation),
		cmocka_unit_test(finished_upload_does_not_serve_a_later_one),
		cmocka_unit_test(continuation_ticket_identifies_the_upload),
		cmocka_unit_test(oversized_upload_is_refused_permanently),
		cmocka_unit_test(idle_upload_is_refused),
		cmocka_unit_test(active_upload_delays_the_end_of_a_drain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
