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
	size_t want;
	int64_t last_index;
} probe_t;

static uint8_t body_[BODY_BYTES];

static void frame_(void *ctx, const pl_peer_frame_t *frame)
{
	probe_t *probe = ctx;
	uint32_t index;

	assert_int_equal(frame->body_len, BODY_BYTES);
	memcpy(&index, frame->body, sizeof(index));
	assert_int_equal(index, probe->last_index + 1);
	probe->last_index = index;
	if (++probe->frames == probe->want)
		pl_loop_stop(probe->loop);
}

static void failed_(void *ctx, const pl_peer_frame_t *frame)
{
	probe_t *probe = ctx;

	if (++probe->failures == probe->want)
		pl_loop_stop(probe->loop);
}

static const pl_peer_net_ops_t ops_ = { frame_, failed_ };

typedef struct {
	pl_peer_net_t *net;
	pl_member_id_t id;
} side_t;

static side_t side_new_(probe_t *probe, const char *secret)
{
	pl_addr_t addr;
	pl_key_t key;
	side_t side;
	int fd;

	pl_addr_parse("127.0.0.1:0", &addr, NULL);
	assert_int_equal(pl_tcp_listen(&addr, &fd, NULL), PL_OK);
	pl_key_derive(secret, "test", PL_KEY_FRAME, &key);
	side.id = pl_member_id_from_addr(&addr);
	side.net =
		pl_peer_net_new(probe->loop, fd, side.id, &key, &ops_, probe);
	return side;
}

static void send_(const side_t *from, const side_t *to, uint32_t index)
{
	const pl_peer_frame_t frame = { .peer = to->id,
					.type = PL_PEER_TABLE_PULL,
					.body = body_,
					.body_len = sizeof(body_) };

	memcpy(body_, &index, sizeof(index));
	pl_peer_net_send(from->net, &frame);
}

static void probe_init_(probe_t *probe, size_t want)
{
	*probe = (probe_t){ .want = want, .last_index = -1 };
	probe->loop = pl_loop_new(NULL);
	assert_non_null(probe->loop);
}

static void frames_arrive_whole_and_in_order(void **state)
{
	probe_t probe;
	side_t a;
	side_t b;

	(void)state;
	probe_init_(&probe, FRAMES);
	a = side_new_(&probe, "one secret of the fleet");
	b = side_new_(&probe, "one secret of the fleet");
	for (uint32_t i = 0; i < FRAMES; i++)
		send_(&a, &b, i);
	pl_loop_run(probe.loop);
	assert_int_equal(probe.frames, FRAMES);
	assert_int_equal(pl_peer_net_pending(a.net), 0);
	pl_peer_net_delete(a.net);
	pl_peer_net_delete(b.net);
	pl_loop_delete(probe.loop);
}

static void absent_and_cut_peers_are_reported(void **state)
{
	probe_t probe;
	side_t a;
	side_t b;
	side_t gone;

	(void)state;
	probe_init_(&probe, 2);
	a = side_new_(&probe, "one secret of the fleet");
	b = side_new_(&probe, "one secret of the fleet");
	gone = side_new_(&probe, "one secret of the fleet");
	pl_peer_net_delete(gone.net);
	pl_fault_cut(&b.id, 1);
	send_(&a, &b, 0);
	send_(&a, &gone, 0);
	pl_loop_run(probe.loop);
	pl_fault_cut(NULL, 0);
	assert_int_equal(probe.failures, 2);
	assert_int_equal(probe.frames, 0);
	pl_peer_net_delete(a.net);
	pl_peer_net_delete(b.net);
	pl_loop_delete(probe.loop);
}

static void watch_auth_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	probe_t *probe = ctx;

	if (pl_counter_get(PL_COUNTER_DROP_AUTH) > 0)
		pl_loop_stop(probe->loop);
	else
		pl_timer_arm(pl_loop_timers(probe->loop), timer, now + 10);
}

static void outsider_without_the_key_is_refused(void **state)
{
	probe_t probe;
	pl_timer_t timer;
	side_t a;
	side_t outsider;

	(void)state;
	pl_counter_reset();
	probe_init_(&probe, 1);
	a = side_new_(&probe, "one secret of the fleet");
	outsider = side_new_(&probe, "a secret that was guessed");
	send_(&outsider, &a, 0);
	pl_timer_init(&timer, watch_auth_, &probe);
	pl_timer_arm(pl_loop_timers(probe.loop), &timer, pl_loop_clock_ms());
	pl_loop_run(probe.loop);
	assert_int_equal(probe.frames, 0);
	pl_peer_net_delete(a.net);
	pl_peer_net_delete(outsider.net);
	pl_loop_delete(probe.loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(frames_arrive_whole_and_in_order),
		cmocka_unit_test(absent_and_cut_peers_are_reported),
		cmocka_unit_test(outsider_without_the_key_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
