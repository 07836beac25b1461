/**
 * @file
 * Scheduling and admission at an agent with two slots, one of them reserved
 * for short work.
 */
#include "fixture.h"

#include <string.h>

#define LONG_BODY 16384
#define BLOCK 1024

static backend_call_t *call_(fixture_t *f, guint index)
{
	return f->calls->pdata[index];
}

static void send_get_(fixture_t *f, const char *path)
{
	test_request_t request = { .code = PL_COAP_GET, .path = path };

	f->caller.port++;
	fixture_send(f, 0, &request);
}

/* Sends a complete upload, which is long work because of its size. */
static void send_upload_(fixture_t *f)
{
	static const char data[BLOCK];
	uint8_t echo[PL_TICKET_BYTES];
	test_request_t request = {
		.code = PL_COAP_POST,
		.path = "photos",
		.payload = data,
		.payload_len = BLOCK,
		.block1 = { .present = true, .more = true, .szx = 6 },
	};

	f->caller.port++;
	fixture_send_with_ticket(f, 0, &request, echo);
	request.echo = NULL;
	for (uint32_t num = 1; num < LONG_BODY / BLOCK; num++) {
		request.token++;
		request.block1.num = num;
		request.block1.more = num + 1 < LONG_BODY / BLOCK;
		fixture_send(f, 0, &request);
	}
	g_ptr_array_set_size(f->sent, 0);
}

static void answer_call_(fixture_t *f, guint index)
{
	fixture_end_call_at(f, index, PL_BACKEND_ANSWERED, "", 0);
	g_ptr_array_set_size(f->sent, 0);
}

static void long_work_leaves_a_slot_for_short_work(void **state)
{
	fixture_t *f = fixture_new(1, 1);

	(void)state;
	send_upload_(f);
	send_upload_(f);
	assert_int_equal(fixture_call_count(f), 1);
	send_get_(f, "permits");
	assert_int_equal(fixture_call_count(f), 2);
	assert_string_equal(call_(f, 1)->path, "permits");
	/* The second upload runs only after the first one ended. */
	answer_call_(f, 1);
	assert_int_equal(fixture_call_count(f), 2);
	answer_call_(f, 0);
	assert_int_equal(fixture_call_count(f), 3);
	assert_string_equal(call_(f, 2)->path, "photos");
	fixture_delete(f);
}

static void slow_path_becomes_long_work(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	guint calls = 0;

	(void)state;
	for (; calls < 12; calls++) {
		send_get_(f, calls % 2 ? "permits" : "permits/archive");
		fixture_advance(f, calls % 2 ? 10 : 2000);
		answer_call_(f, calls);
	}
	send_get_(f, "permits/archive");
	send_get_(f, "permits/archive/7");
	assert_int_equal(fixture_call_count(f), calls + 1);
	send_get_(f, "permits");
	assert_int_equal(fixture_call_count(f), calls + 2);
	fixture_delete(f);
}

static void long_work_does_not_starve(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	guint ended = 0;
	bool ran = false;

	(void)state;
	send_get_(f, "permits");
	send_get_(f, "permits");
	send_upload_(f);
	for (int i = 0; i < 15; i++)
		send_get_(f, "permits");
	while (!ran && ended < 12) {
		answer_call_(f, ended++);
		ran = strcmp(call_(f, f->calls->len - 1)->path, "photos") == 0;
	}
	assert_true(ran);
	fixture_delete(f);
}

static void long_work_has_a_longer_deadline(void **state)
{
	fixture_t *f = fixture_new(1, 1);

	(void)state;
	/* The first upload takes longer than the deadline of short work. */
	send_upload_(f);
	fixture_advance(f, f->policy.deadline_ms + 2000);
	answer_call_(f, 0);
	send_upload_(f);
	send_upload_(f);
	fixture_advance(f, f->policy.deadline_ms + 2000);
	answer_call_(f, 1);
	assert_int_equal(fixture_call_count(f), 3);
	fixture_delete(f);
}

static void request_that_would_miss_its_deadline_is_refused(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	pl_coap_msg_t msg;
	int waiting = 0;

	(void)state;
	/* The scheduler learns that short work takes 200 ms. */
	for (guint i = 0; i < 60; i++) {
		send_get_(f, "permits");
		fixture_advance(f, 200);
		answer_call_(f, i);
	}
	f->policy.deadline_ms = 1000;
	f->policy.queue_max = 1000;
	fixture_publish_routing(f);
	while (f->sent->len == 0 && waiting < 100) {
		send_get_(f, "permits");
		waiting++;
	}
	/*
	 * The expected wait and service may take 75 per cent of the deadline,
	 * 750 ms. With two slots, that admits seven requests; the eighth is
	 * refused.
	 */
	assert_int_equal(waiting, 8);
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	assert_true(msg.max_age_s >= 1);
	/* A request whose deadline passes in the queue never runs. */
	fixture_advance(f, 1001);
	while (fixture_take_reply(f, &msg))
		assert_true(msg.code == PL_COAP_UNAVAILABLE ||
			    msg.code == PL_COAP_EMPTY);
	answer_call_(f, 60);
	answer_call_(f, 61);
	assert_int_equal(fixture_call_count(f), 62);
	fixture_delete(f);
}

static void free_slots_are_used_with_queue_length_zero(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	pl_coap_msg_t msg;

	(void)state;
	f->policy.queue_max = 0;
	fixture_publish_routing(f);
	send_get_(f, "permits");
	send_get_(f, "permits");
	assert_int_equal(fixture_call_count(f), 2);
	send_get_(f, "permits");
	fixture_expect_reply(f, PL_COAP_UNAVAILABLE, &msg);
	fixture_delete(f);
}

static void refusals_have_randomised_max_age(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	pl_coap_msg_t msg;
	int64_t low = 1000;
	int64_t high = 0;

	(void)state;
	for (guint i = 0; i < 40; i++) {
		send_get_(f, "permits");
		fixture_advance(f, 900);
		answer_call_(f, i);
	}
	for (int i = 0; i < 40; i++)
		send_get_(f, "permits");
	while (fixture_take_reply(f, &msg)) {
		low = msg.max_age_s < low ? msg.max_age_s : low;
		high = msg.max_age_s > high ? msg.max_age_s : high;
	}
	assert_true(low >= 1);
	assert_true(high >= low + 4);
	fixture_delete(f);
}

static void overload_forwards_a_request_at_most_once(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	int at_other = 0;

	(void)state;
	for (int i = 0; i < 60; i++)
		send_get_(f, "permits");
	for (guint i = 0; i < f->calls->len; i++)
		at_other += call_(f, i)->agent == 1;
	assert_int_equal(at_other, 2);
	/* The number of forwards stays within the retry budget. */
	assert_in_range(f->forward_count, 2, 18);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(long_work_leaves_a_slot_for_short_work),
		cmocka_unit_test(slow_path_becomes_long_work),
		cmocka_unit_test(long_work_does_not_starve),
		cmocka_unit_test(long_work_has_a_longer_deadline),
		cmocka_unit_test(
			request_that_would_miss_its_deadline_is_refused),
		cmocka_unit_test(free_slots_are_used_with_queue_length_zero),
		cmocka_unit_test(refusals_have_randomised_max_age),
		cmocka_unit_test(overload_forwards_a_request_at_most_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
