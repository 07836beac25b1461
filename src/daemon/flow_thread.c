/**
 * @file
 * Traffic thread of the roles of flows.
 */
#include "private/flow_role.h"

#include <pimentolift/counter.h>
#include <pimentolift/fault.h>

#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <urcu.h>

/** Batches received from one socket before the other sockets are served. */
#define BATCHES_PER_TURN 8
#define BITS_PER_BYTE 8

struct pl_flow_socket {
	pl_flow_thread_t *thread;
	int fd;
	pl_loop_watch_t *watch;
	pl_flow_thread_on_packet_t on_packet;
};

static void inner_datagram_(pl_flow_thread_t *thread,
			    const pl_datagram_t *datagram)
{
	pl_flow_message_t message;
	pl_result_t result;

	if (pl_fault_is_cut_addr(&datagram->from))
		return;
	if (pl_wire_peek_type(datagram->bytes, datagram->len) >=
	    PL_WIRE_GOSSIP) {
		pl_node_gossip(thread->node, datagram->bytes, datagram->len);
		return;
	}
	result = pl_flow_decode(thread->decoder, datagram->bytes, datagram->len,
				&message);
	if (result == PL_OK)
		thread->on_message(thread->ctx, &message);
	else
		pl_counter_add(result == PL_ERR_AUTH ?
				       PL_COUNTER_DROP_AUTH :
				       PL_COUNTER_DROP_MALFORMED,
			       1);
}

static void inner_ready_(void *ctx, uint32_t events)
{
	pl_flow_thread_t *thread = ctx;

	(void)events;
	for (int i = 0; i < BATCHES_PER_TURN; i++) {
		size_t count = pl_udp_receive(thread->batch, thread->inner_fd);

		if (count == 0)
			break;
		for (size_t k = 0; k < count; k++)
			inner_datagram_(thread, pl_udp_at(thread->batch, k));
		if (count < PL_UDP_BATCH)
			break;
	}
}

static void socket_ready_(void *ctx, uint32_t events)
{
	pl_flow_socket_t *socket = ctx;
	pl_udp_batch_t *batch = socket->thread->batch;

	(void)events;
	for (int i = 0; i < BATCHES_PER_TURN; i++) {
		size_t count = pl_udp_receive(batch, socket->fd);

		for (size_t k = 0; k < count; k++) {
			const pl_datagram_t *datagram = pl_udp_at(batch, k);

			pl_counter_add(PL_COUNTER_DATAGRAMS_IN, 1);
			socket->on_packet(socket->thread->ctx,
					  (uint8_t *)datagram->bytes,
					  datagram->len);
		}
		if (count < PL_UDP_BATCH)
			break;
	}
}

static void on_idle_(void *ctx)
{
	pl_flow_thread_t *thread = ctx;

	pl_udp_flush(thread->batch);
}

pl_result_t pl_flow_thread_init(pl_flow_thread_t *thread, pl_node_t *node,
				int inner_fd,
				pl_flow_thread_on_message_t on_message,
				void *ctx, pl_error_t *err)
{
	const pl_settings_t *settings = pl_node_settings(node);

	thread->node = node;
	thread->on_message = on_message;
	thread->ctx = ctx;
	thread->inner_fd = inner_fd;
	thread->caller_port = settings->flows.listen.port;
	pl_key_derive(settings->secret, settings->environment, PL_KEY_DATAGRAM,
		      &thread->key);
	thread->loop = pl_loop_new(err);
	if (!thread->loop)
		return err->code;
	thread->batch = pl_udp_batch_new();
	thread->decoder = pl_flow_decoder_new(&thread->key);
	thread->inner_watch = pl_loop_watch(thread->loop, inner_fd, EPOLLIN,
					    inner_ready_, thread);
	pl_loop_on_idle(thread->loop, on_idle_, thread);
	return PL_OK;
}

pl_result_t pl_flow_thread_listen(pl_flow_thread_t *thread, pl_addr_t *listen,
				  pl_flow_thread_on_packet_t on_packet,
				  pl_error_t *err)
{
	pl_flow_socket_t *socket = g_new0(pl_flow_socket_t, 1);
	pl_result_t result = pl_udp_open(listen, false, &socket->fd, err);

	if (result != PL_OK) {
		g_free(socket);
		return result;
	}
	socket->thread = thread;
	socket->on_packet = on_packet;
	socket->watch = pl_loop_watch(thread->loop, socket->fd, EPOLLIN,
				      socket_ready_, socket);
	thread->socket = socket;
	return PL_OK;
}

static void *thread_main_(void *ctx)
{
	pl_flow_thread_t *thread = ctx;

	rcu_register_thread();
	pl_loop_run(thread->loop);
	rcu_unregister_thread();
	return NULL;
}

void pl_flow_thread_start(pl_flow_thread_t *thread)
{
	pthread_create(&thread->thread, NULL, thread_main_, thread);
}

void pl_flow_thread_join(pl_flow_thread_t *thread)
{
	pl_loop_stop(thread->loop);
	pthread_join(thread->thread, NULL);
}

void pl_flow_thread_finish(pl_flow_thread_t *thread)
{
	pl_udp_flush(thread->batch);
	pl_loop_unwatch(thread->loop, thread->inner_watch);
	pl_loop_unwatch(thread->loop, thread->socket->watch);
	close(thread->socket->fd);
	close(thread->inner_fd);
	g_free(thread->socket);
	pl_flow_decoder_delete(thread->decoder);
	pl_udp_batch_delete(thread->batch);
	pl_loop_delete(thread->loop);
}

void pl_flow_thread_send_message(pl_flow_thread_t *thread, pl_member_id_t to,
				 const pl_flow_message_t *message)
{
	const pl_addr_t addr = pl_member_id_to_addr(to);
	uint8_t *out = pl_udp_reserve(thread->batch);
	size_t len = pl_flow_encode(&thread->key, message, out,
				    PL_WIRE_DATAGRAM_MAX);

	if (len == 0) {
		pl_counter_add(PL_COUNTER_DROP_OVERSIZED, 1);
		return;
	}
	if (pl_fault_is_cut(to))
		return;
	pl_counter_add(PL_COUNTER_FORWARDED, message->packet_len > 0);
	pl_udp_queue(thread->batch, thread->inner_fd, &addr, len);
}

void pl_flow_thread_send_packet(pl_flow_thread_t *thread, const pl_addr_t *to,
				const uint8_t *bytes, size_t len)
{
	uint8_t *out = pl_udp_reserve(thread->batch);

	memcpy(out, bytes, len);
	pl_udp_queue(thread->batch, thread->socket->fd, to, len);
}

void pl_flow_thread_send_to_caller(pl_flow_thread_t *thread,
				   const pl_flow_key_t *flow,
				   const uint8_t *bytes, size_t len)
{
	pl_addr_t to = { .port = thread->caller_port, .family = PL_ADDR_IPV4 };

	for (size_t i = 0; i < sizeof(flow->caller_ip); i++)
		to.ip[i] = (uint8_t)(flow->caller_ip >>
				     (BITS_PER_BYTE *
				      (sizeof(flow->caller_ip) - 1 - i)));
	pl_counter_add(PL_COUNTER_DATAGRAMS_OUT, 1);
	pl_flow_thread_send_packet(thread, &to, bytes, len);
}
