/**
 * @file
 * Slots, queue and refusals of one endpoint with two slots, of which long
 * work may take one.
 */
#include "fixture.h"

#include <string.h>

#define LONG_BODY 16384
#define BLOCK 1024

static backend_call_t *call_(fixture_t *f, guint index)
{
	return f->calls->pdata[index];
}

static void get_(fixture_t *f, const char *path)
{
	ask_t ask = { .code = PL_COAP_GET, .path = path };

	f->caller.port++;
	fixture_ask(f, 0, &ask);
}

/* A whole upload that counts as long work. */
static void upload_(fixture_t *f)
{
	static const char data[BLOCK];
	uint8_t echo[PL_TICKET_BYTES];
	ask_t ask = {
		.code = PL_COAP_POST,
		.path = "photos",
		.payload = data,
		.payload_len = BLOCK,
		.block1 = { .present = true, .more = true, .szx = 6 },
	};

	f->caller.port++;
	fixture_ask_ticketed(f, 0, &ask, echo);
	ask.echo = NULL;
	for (uint32_t num = 1; num < LONG_BODY / BLOCK; num++) {
		ask.token++;
		ask.block1.num = num;
		ask.block1.more = num + 1 < LONG_BODY / BLOCK;
		fixture_ask(f, 0, &ask);
	}
	g_ptr_array_set_size(f->sent, 0);
}

static void end_(fixture_t *f, guint index)
{
	fixture_end(f, index, PL_BACKEND_ANSWERED, "", 0);
	g_ptr_array_set_size(f->sent, 0);
}

static void long_work_leaves_a_slot_for_short_work(void **state)
{
	fixture_t *f = fixture_new(1, 1);

	(void)state;
	upload_(f);
	upload_(f);
	assert_int_equal(fixture_calls(f), 1);
	get_(f, "permits");
	assert_int_equal(fixture_calls(f), 2);
	assert_string_equal(call_(f, 1)->path, "permits");
	/* the second upload runs when the first has ended */
	end_(f, 1);
	assert_int_equal(fixture_calls(f), 2);
	end_(f, 0);
	assert_int_equal(fixture_calls(f), 3);
	assert_string_equal(call_(f, 2)->path, "photos");
	fixture_delete(f);
}

static void path_that_takes_long_becomes_long_work(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	guint calls = 0;

	(void)state;
	for (; calls < 12; calls++) {
		get_(f, calls % 2 ? "permits" : "permits/archive");
		fixture_advance(f, calls % 2 ? 10 : 2000);
		end_(f, calls);
	}
	get_(f, "permits/archive");
	get_(f, "permits/archive/7");
	assert_int_equal(fixture_calls(f), calls + 1);
	get_(f, "permits");
	assert_int_equal(fixture_calls(f), calls + 2);
	fixture_delete(f);
}

static void long_work_does_not_starve(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	guint ended = 0;
	bool ran = false;

	(void)state;
	get_(f, "permits");
	get_(f, "permits");
	upload_(f);
	for (int i = 0; i < 15; i++)
		get_(f, "permits");
	while (!ran && ended < 12) {
		end_(f, ended++);
		ran = strcmp(call_(f, f->calls->len - 1)->path, "photos") == 0;
	}
	assert_true(ran);
	fixture_delete(f);
}

static void long_work_may_wait_longer(void **state)
{
	fixture_t *f = fixture_new(1, 1);

	(void)state;
	/* uploads take longer than short work's deadline */
	upload_(f);
	fixture_advance(f, f->policy.deadline_ms + 2000);
	end_(f, 0);
	upload_(f);
	upload_(f);
	fixture_advance(f, f->policy.deadline_ms + 2000);
	end_(f, 1);
	assert_int_equal(fixture_calls(f), 3);
	fixture_delete(f);
}

static void what_cannot_be_in_time_is_refused_at_once(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	pl_coap_msg_t msg;
	int waiting = 0;

	(void)state;
	/* teach it that short work takes 200 ms */
	for (guint i = 0; i < 60; i++) {
		get_(f, "permits");
		fixture_advance(f, 200);
		end_(f, i);
	}
	f->policy.deadline_ms = 1000;
	f->policy.queue_max = 1000;
	fixture_route(f);
	while (f->sent->len == 0 && waiting < 100) {
		get_(f, "permits");
		waiting++;
	}
	/* two slots start seven within 750 ms; the next is refused */
	assert_int_equal(waiting, 8);
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	assert_true(msg.max_age_s >= 1);
	/* what waits past its deadline is refused and never runs */
	fixture_advance(f, 1001);
	while (fixture_reply(f, &msg))
		assert_true(msg.code == PL_COAP_UNAVAILABLE ||
			    msg.code == PL_COAP_EMPTY);
	end_(f, 60);
	end_(f, 61);
	assert_int_equal(fixture_calls(f), 62);
	fixture_delete(f);
}

static void without_a_queue_idle_slots_still_serve(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	pl_coap_msg_t msg;

	(void)state;
	f->policy.queue_max = 0;
	fixture_route(f);
	get_(f, "permits");
	get_(f, "permits");
	assert_int_equal(fixture_calls(f), 2);
	get_(f, "permits");
	fixture_expect(f, PL_COAP_UNAVAILABLE, &msg);
	fixture_delete(f);
}

static void refusals_spread_the_returns(void **state)
{
	fixture_t *f = fixture_new(1, 1);
	pl_coap_msg_t msg;
	int64_t low = 1000;
	int64_t high = 0;

	(void)state;
	for (guint i = 0; i < 40; i++) {
		get_(f, "permits");
		fixture_advance(f, 900);
		end_(f, i);
	}
	for (int i = 0; i < 40; i++)
		get_(f, "permits");
	while (fixture_reply(f, &msg)) {
		low = msg.max_age_s < low ? msg.max_age_s : low;
		high = msg.max_age_s > high ? msg.max_age_s : high;
	}
	assert_true(low >= 1);
	assert_true(high >= low + 4);
	fixture_delete(f);
}

static void overload_is_passed_on_once(void **state)
{
	fixture_t *f = fixture_new(2, 1);
	int at_other = 0;

	(void)state;
	for (int i = 0; i < 60; i++)
		get_(f, "permits");
	for (guint i = 0; i < f->calls->len; i++)
		at_other += call_(f, i)->agent == 1;
	assert_int_equal(at_other, 2);
	/* no more than the retry budget allows */
	assert_in_range(f->forwards, 2, 18);
	fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(long_work_leaves_a_slot_for_short_work),
		cmocka_unit_test(path_that_takes_long_becomes_long_work),
		cmocka_unit_test(long_work_does_not_starve),
		cmocka_unit_test(long_work_may_wait_longer),
		cmocka_unit_test(what_cannot_be_in_time_is_refused_at_once),
		cmocka_unit_test(without_a_queue_idle_slots_still_serve),
		cmocka_unit_test(refusals_spread_the_returns),
		cmocka_unit_test(overload_is_passed_on_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
