/**
 * @file
 * Uploads: blocks that arrive twice, out of order, at other agents or never.
 */
#include "fixture.h"

#include <string.h>

#define BLOCK 64
#define SZX 2

static const char data_[BLOCK * 8] = "a photo of a water meter";

static ask_t block_(uint32_t num, bool more, const char *rtag)
{
	ask_t ask = {
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

	return ask;
}

static void expect_block_(fixture_t *f, uint8_t code, uint32_t num)
{
	pl_coap_msg_t msg;

	fixture_expect(f, code, &msg);
	assert_true(msg.block1.present);
	assert_int_equal(msg.block1.num, num);
}

/* Sends block 0 with a ticket and the blocks after it up to @p last. */
static void start_(fixture_t *f, int to, const char *rtag, uint32_t last)
{
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = block_(0, true, rtag);

	fixture_ask_ticketed(f, to, &ask, echo);
	expect_block_(f, PL_COAP_CONTINUE, 0);
	for (uint32_t num = 1; num <= last; num++) {
		ask = block_(num, true, rtag);
		fixture_ask(f, to, &ask);
		expect_block_(f, PL_COAP_CONTINUE, num);
	}
}

static void body_is_whole_and_runs_once(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t ask = block_(3, false, "r1");
	ask_t again = block_(1, true, "r1");
	backend_call_t *call;
	pl_coap_msg_t msg;
	gsize len;

	(void)state;
	start_(f, 0, "r1", 2);
	fixture_ask(f, 0, &again);
	expect_block_(f, PL_COAP_CONTINUE, 1);
	assert_int_equal(fixture_calls(f), 0);
	fixture_ask(f, 0, &ask);
	fixture_ask(f, 0, &ask);
	assert_int_equal(fixture_calls(f), 1);
	call = f->calls->pdata[0];
	assert_memory_equal(g_bytes_get_data(call->body, &len), data_,
			    4 * BLOCK);
	assert_int_equal(len, 4 * BLOCK);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	while (fixture_reply(f, &msg)) {
		assert_int_equal(msg.code, PL_COAP_CHANGED);
		assert_int_equal(msg.block1.num, 3);
	}
	fixture_ask(f, 0, &ask);
	expect_block_(f, PL_COAP_CHANGED, 3);
	assert_int_equal(fixture_calls(f), 1);
	fixture_delete(f);
}

static void missing_block_ends_the_upload_for_good(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t late = block_(2, true, "r1");
	ask_t last = block_(3, false, "r1");

	(void)state;
	start_(f, 0, "r1", 1);
	fixture_ask(f, 0, &last);
	expect_block_(f, PL_COAP_INCOMPLETE, 3);
	/* told that it was not run, so the late block must not complete it */
	fixture_ask(f, 0, &late);
	expect_block_(f, PL_COAP_INCOMPLETE, 2);
	fixture_ask(f, 0, &last);
	expect_block_(f, PL_COAP_INCOMPLETE, 3);
	fixture_advance(f, 110 * 1000);
	assert_int_equal(fixture_calls(f), 0);
	fixture_delete(f);
}

static void blocks_follow_the_upload_over_a_change_of_home(void **state)
{
	fixture_t *f = fixture_new(3, 1);
	ask_t next = block_(2, true, "r1");
	ask_t last = block_(3, false, "r1");
	pl_coap_msg_t msg;

	(void)state;
	start_(f, 0, "r1", 1);
	/* wherever the later blocks land, the one that has the upload is asked */
	fixture_ask(f, 1, &next);
	expect_block_(f, PL_COAP_CONTINUE, 2);
	fixture_ask(f, 2, &last);
	fixture_ask(f, 1, &last);
	assert_int_equal(fixture_calls(f), 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	while (fixture_reply(f, &msg))
		assert_int_equal(msg.code, PL_COAP_CHANGED);
	/* the holder drains: it is still asked */
	fixture_delete(f);
}

static void unknown_blocks_are_answered_honestly(void **state)
{
	fixture_t *f = fixture_new(3, 1);
	ask_t next = block_(2, true, "r9");
	ask_t last = block_(3, false, "r9");

	(void)state;
	/* a late copy of it may come after an agent ran the whole and ended */
	fixture_ask(f, 0, &next);
	expect_block_(f, PL_COAP_GATEWAY_TIMEOUT, 2);
	fixture_ask(f, 0, &last);
	expect_block_(f, PL_COAP_GATEWAY_TIMEOUT, 3);
	fixture_delete(f);
}

static void same_tag_with_a_new_ticket_is_a_new_operation(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t last = block_(1, false, "r1");

	(void)state;
	for (int round = 0; round < 2; round++) {
		start_(f, 0, "r1", 0);
		last.token++;
		last.mid = 0;
		fixture_ask(f, 0, &last);
		assert_int_equal(fixture_calls(f), round + 1);
		fixture_end(f, (size_t)round, PL_BACKEND_ANSWERED, "ok", 2);
		expect_block_(f, PL_COAP_CHANGED, 1);
	}
	fixture_delete(f);
}

static void finished_upload_does_not_answer_for_another(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	ask_t last = block_(1, false, "r1");
	pl_coap_msg_t msg;

	(void)state;
	start_(f, 0, "r1", 0);
	fixture_ask(f, 0, &last);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "old", 3);
	expect_block_(f, PL_COAP_CHANGED, 1);
	/* the repeat's first block went to the other agent, its last does not */
	start_(f, 1, "r1", 0);
	last.token += 40;
	fixture_ask(f, 0, &last);
	assert_int_equal(fixture_calls(f), 2);
	fixture_end(f, 1, PL_BACKEND_ANSWERED, "new", 3);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_memory_equal(msg.payload, "new", 3);
	fixture_delete(f);
}

static void ticket_of_a_block_finds_the_upload(void **state)
{
	fixture_t *f = fixture_new(3, 1);
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = block_(0, true, "r1");
	ask_t last = block_(1, false, "r1");
	pl_coap_msg_t msg;

	(void)state;
	/* two operations under one tag at two agents */
	start_(f, 0, "r1", 0);
	ask.token = 90;
	fixture_ask(f, 1, &ask);
	fixture_expect(f, PL_COAP_UNAUTHORIZED, &msg);
	memcpy(echo, msg.echo, sizeof(echo));
	ask.echo = echo;
	ask.echo_len = sizeof(echo);
	ask.token++;
	fixture_ask(f, 1, &ask);
	fixture_expect(f, PL_COAP_CONTINUE, &msg);
	assert_int_equal(msg.echo_len, sizeof(echo));
	memcpy(echo, msg.echo, sizeof(echo));
	/* the other agent would take the block if it went by the tag */
	last.echo = echo;
	last.echo_len = sizeof(echo);
	fixture_ask(f, 0, &last);
	assert_int_equal(fixture_calls(f), 1);
	assert_int_equal(((backend_call_t *)f->calls->pdata[0])->agent, 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_int_equal(msg.echo_len, 0);
	/* its agent is gone: nobody can know */
	fixture_restart(f, 1, 999);
	fixture_route(f);
	last.token++;
	last.mid = 0;
	fixture_ask(f, 2, &last);
	expect_block_(f, PL_COAP_GATEWAY_TIMEOUT, 1);
	fixture_delete(f);
}

static void limits_refuse_for_good(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t big = block_(2, true, "r1");

	(void)state;
	f->policy.upload_max_bytes = 2 * BLOCK;
	fixture_route(f);
	start_(f, 0, "r1", 1);
	fixture_ask(f, 0, &big);
	expect_block_(f, PL_COAP_TOO_LARGE, 2);
	big.mid = 0;
	big.token++;
	fixture_ask(f, 0, &big);
	expect_block_(f, PL_COAP_TOO_LARGE, 2);
	fixture_delete(f);
}

static void silent_upload_is_given_up(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	ask_t last = block_(2, false, "r1");
	pl_agent_stats_t stats;

	(void)state;
	start_(f, 0, "r1", 1);
	pl_agent_stats(f->nodes[0].agent, &stats);
	assert_int_equal(stats.uploads, 1);
	assert_int_equal(stats.body_bytes, 2 * BLOCK);
	fixture_advance(f, 110 * 1000);
	pl_agent_stats(f->nodes[0].agent, &stats);
	assert_int_equal(stats.uploads, 0);
	assert_int_equal(stats.body_bytes, 0);
	/* the ticket is used up, so no late copy can run it */
	fixture_ask(f, 0, &last);
	expect_block_(f, PL_COAP_INCOMPLETE, 2);
	assert_int_equal(fixture_calls(f), 0);
	fixture_delete(f);
}

static void upload_in_progress_holds_up_the_end_of_a_drain(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	ask_t last = block_(1, false, "r1");
	pl_coap_msg_t msg;

	(void)state;
	start_(f, 0, "r1", 0);
	pl_agent_drain(f->nodes[0].agent);
	f->nodes[0].state = PL_ENDPOINT_DRAINING;
	fixture_route(f);
	fixture_advance(f, 5000);
	assert_false(pl_agent_drained(f->nodes[0].agent));
	fixture_ask(f, 1, &last);
	assert_int_equal(fixture_calls(f), 1);
	fixture_end(f, 0, PL_BACKEND_ANSWERED, "ok", 2);
	fixture_expect(f, PL_COAP_CHANGED, &msg);
	assert_true(pl_agent_drained(f->nodes[0].agent));
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(body_is_whole_and_runs_once),
		cmocka_unit_test(missing_block_ends_the_upload_for_good),
		cmocka_unit_test(
			blocks_follow_the_upload_over_a_change_of_home),
		cmocka_unit_test(unknown_blocks_are_answered_honestly),
		cmocka_unit_test(same_tag_with_a_new_ticket_is_a_new_operation),
		cmocka_unit_test(finished_upload_does_not_answer_for_another),
		cmocka_unit_test(ticket_of_a_block_finds_the_upload),
		cmocka_unit_test(limits_refuse_for_good),
		cmocka_unit_test(silent_upload_is_given_up),
		cmocka_unit_test(
			upload_in_progress_holds_up_the_end_of_a_drain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
