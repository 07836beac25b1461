#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/counter.h>
#include <pimentolift/fault.h>
#include <pimentolift/peer_net.h>
#include <pimentolift/udp.h>
#include <string.h>
#include <unistd.h>

#define FRAMES 200
#define BODY_BYTES 70000

typedef struct {
	pl_loop_t *loop;
	size_t frames;
	size_t failures;
	size_t expected;
	int64_t last_index;
} recorder_t;

static uint8_t body_[BODY_BYTES];

static void on_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	recorder_t *recorder = ctx;
	uint32_t index;

	assert_int_equal(frame->body_len, BODY_BYTES);
	memcpy(&index, frame->body, sizeof(index));
	assert_int_equal(index, recorder->last_index + 1);
	recorder->last_index = index;
	if (++recorder->frames == recorder->expected)
		pl_loop_stop(recorder->loop);
}

static void on_failed_(void *ctx, const pl_peer_frame_t *frame)
{
	recorder_t *recorder = ctx;

	if (++recorder->failures == recorder->expected)
		pl_loop_stop(recorder->loop);
}

static const pl_peer_net_ops_t ops_ = { on_frame_, on_failed_ };

typedef struct {
	pl_peer_net_t *net;
	pl_member_id_t id;
} endpoint_t;

static endpoint_t endpoint_new_(recorder_t *recorder, const char *secret)
{
	pl_addr_t addr;
	pl_key_t key;
	endpoint_t endpoint;
	int fd;

	pl_addr_parse("127.0.0.1:0", &addr, NULL);
	assert_int_equal(pl_tcp_listen(&addr, &fd, NULL), PL_OK);
	pl_key_derive(secret, "test", PL_KEY_FRAME, &key);
	endpoint.id = pl_member_id_from_addr(&addr);
	endpoint.net = pl_peer_net_new(recorder->loop, fd, endpoint.id, &key,
				       &ops_, recorder);
	return endpoint;
}

static void send_(const endpoint_t *from, const endpoint_t *to, uint32_t index)
{
	const pl_peer_frame_t frame = { .peer = to->id,
					.type = PL_PEER_TABLE_PULL,
					.body = body_,
					.body_len = sizeof(body_) };

	memcpy(body_, &index, sizeof(index));
	pl_peer_net_send(from->net, &frame);
}

static void recorder_init_(recorder_t *recorder, size_t expected)
{
	*recorder = (recorder_t){ .expected = expected, .last_index = -1 };
	recorder->loop = pl_loop_new(NULL);
	assert_non_null(recorder->loop);
}

static void frames_arrive_complete_and_in_order(void **state)
{
	recorder_t recorder;
	endpoint_t a;
	endpoint_t b;

	(void)state;
	recorder_init_(&recorder, FRAMES);
	a = endpoint_new_(&recorder, "one secret of the fleet");
	b = endpoint_new_(&recorder, "one secret of the fleet");
	for (uint32_t i = 0; i < FRAMES; i++)
		send_(&a, &b, i);
	pl_loop_run(recorder.loop);
	assert_int_equal(recorder.frames, FRAMES);
	assert_int_equal(pl_peer_net_pending(a.net), 0);
	pl_peer_net_delete(a.net);
	pl_peer_net_delete(b.net);
	pl_loop_delete(recorder.loop);
}

static void frames_to_closed_and_cut_peers_fail(void **state)
{
	recorder_t recorder;
	endpoint_t a;
	endpoint_t b;
	endpoint_t closed;

	(void)state;
	recorder_init_(&recorder, 2);
	a = endpoint_new_(&recorder, "one secret of the fleet");
	b = endpoint_new_(&recorder, "one secret of the fleet");
	closed = endpoint_new_(&recorder, "one secret of the fleet");
	pl_peer_net_delete(closed.net);
	pl_fault_cut(&b.id, 1);
	send_(&a, &b, 0);
	send_(&a, &closed, 0);
	pl_loop_run(recorder.loop);
	pl_fault_cut(NULL, 0);
	assert_int_equal(recorder.failures, 2);
	assert_int_equal(recorder.frames, 0);
	pl_peer_net_delete(a.net);
	pl_peer_net_delete(b.net);
	pl_loop_delete(recorder.loop);
}

static void stop_on_auth_failure_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	recorder_t *recorder = ctx;

	if (pl_counter_get(PL_COUNTER_DROP_AUTH) > 0)
		pl_loop_stop(recorder->loop);
	else
		pl_timer_arm(pl_loop_timers(recorder->loop), timer, now + 10);
}

static void frames_with_a_wrong_key_are_rejected(void **state)
{
	recorder_t recorder;
	pl_timer_t timer;
	endpoint_t a;
	endpoint_t outsider;

	(void)state;
	pl_counter_reset();
	recorder_init_(&recorder, 1);
	a = endpoint_new_(&recorder, "one secret of the fleet");
	outsider = endpoint_new_(&recorder, "a secret that was guessed");
	send_(&outsider, &a, 0);
	pl_timer_init(&timer, stop_on_auth_failure_, &recorder);
	pl_timer_arm(pl_loop_timers(recorder.loop), &timer, pl_loop_clock_ms());
	pl_loop_run(recorder.loop);
	assert_int_equal(recorder.frames, 0);
	pl_peer_net_delete(a.net);
	pl_peer_net_delete(outsider.net);
	pl_loop_delete(recorder.loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(frames_arrive_complete_and_in_order),
		cmocka_unit_test(frames_to_closed_and_cut_peers_fail),
		cmocka_unit_test(frames_with_a_wrong_key_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
