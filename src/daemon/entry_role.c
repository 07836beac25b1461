/**
 * @file
 * Traffic threads of an entry.
 */
#include "private/node.h"

#include <pimentolift/entry.h>
#include <pimentolift/event.h>
#include <pimentolift/fault.h>
#include <pimentolift/proxy.h>
#include <pimentolift/udp.h>

#include <assert.h>
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <urcu.h>

/** Batches received from one socket before the other sockets are served. */
#define BATCHES_PER_TURN 8
/** An entry that drains keeps running until it has received no traffic for this
 * time. */
#define QUIET_MS 1000
/** Time in which the entry's leave message reaches every agent. */
#define LEAVE_SPREAD_MS 3000

typedef struct entry_role entry_role_t;

typedef struct {
	entry_role_t *role;
	pthread_t thread;
	pl_loop_t *loop;
	pl_udp_batch_t *batch;
	pl_entry_t *core;
	pl_wire_decoder_t *decoder;
	int inner_fd;
	pl_loop_watch_t *inner_watch;
	struct listener *listeners;
} worker_t;

/* Listening socket of a worker. */
typedef struct listener {
	worker_t *worker;
	pl_addr_t addr;
	int fd;
	pl_loop_watch_t *watch;
} listener_t;

struct entry_role {
	pl_node_t *node;
	pl_key_t key;
	bool has_fabric;
	pl_addr_t fabric;
	size_t listener_count;
	size_t worker_count;
	worker_t *workers;
	pl_load_table_t *loads;
	atomic_uint_fast64_t last_traffic_ms;
	pl_ms_t drain_started;
};

static void record_traffic_(entry_role_t *role, pl_ms_t now)
{
	atomic_store_explicit(&role->last_traffic_ms, now,
			      memory_order_relaxed);
}

static void count_drop_(pl_counter_t counter)
{
	pl_counter_add(counter, 1);
}

/* Reads the proxy header of a datagram from the fabric. A datagram without a
 * header comes directly from the caller. */
static bool split_proxy_header_(const listener_t *listener,
				const pl_datagram_t *datagram,
				pl_proxy_t *proxy, size_t *header_len)
{
	if (datagram->truncated) {
		count_drop_(PL_COUNTER_DROP_OVERSIZED);
		return false;
	}
	if (!pl_proxy_present(datagram->bytes, datagram->len)) {
		proxy->source = datagram->from;
		proxy->destination = listener->addr;
		*header_len = 0;
		return true;
	}
	if (pl_proxy_read(datagram->bytes, datagram->len, proxy, header_len) !=
	    PL_OK) {
		count_drop_(PL_COUNTER_DROP_MALFORMED);
		return false;
	}
	return true;
}

static void forward_datagram_(listener_t *listener, const pl_routing_t *routing,
			      const pl_datagram_t *datagram, pl_ms_t now)
{
	worker_t *worker = listener->worker;
	pl_counter_t dropped;
	pl_forward_t forward;
	pl_member_id_t agent;
	pl_addr_t to;
	pl_proxy_t proxy;
	size_t header;
	size_t len;
	uint8_t *out;

	pl_counter_add(PL_COUNTER_DATAGRAMS_IN, 1);
	if (!split_proxy_header_(listener, datagram, &proxy, &header))
		return;
	if (pl_entry_route(worker->core, routing, &proxy.source,
			   &proxy.destination, datagram->bytes + header,
			   datagram->len - header, now, &agent, &forward,
			   &dropped) != PL_OK) {
		count_drop_(dropped);
		return;
	}
	if (pl_fault_is_cut(agent))
		return;
	out = pl_udp_reserve(worker->batch);
	len = pl_wire_encode_forward(&worker->role->key, &forward, out,
				     PL_WIRE_DATAGRAM_MAX);
	if (len == 0) {
		count_drop_(PL_COUNTER_DROP_OVERSIZED);
		return;
	}
	to = pl_member_id_to_addr(agent);
	pl_udp_queue(worker->batch, worker->inner_fd, &to, len);
	pl_counter_add(PL_COUNTER_FORWARDED, 1);
}

static void listener_ready_(void *ctx, uint32_t events)
{
	listener_t *listener = ctx;
	worker_t *worker = listener->worker;
	pl_ms_t now = pl_timer_service_now(pl_loop_timers(worker->loop));

	for (int i = 0; i < BATCHES_PER_TURN; i++) {
		size_t count = pl_udp_receive(worker->batch, listener->fd);
		const pl_routing_t *routing;

		if (count == 0)
			break;
		record_traffic_(worker->role, now);
		rcu_read_lock();
		routing = pl_node_routing(worker->role->node);
		for (size_t k = 0; k < count; k++) {
			if (routing)
				forward_datagram_(listener, routing,
						  pl_udp_at(worker->batch, k),
						  now);
			else
				count_drop_(PL_COUNTER_DROP_NO_SERVICE);
		}
		rcu_read_unlock();
		pl_udp_flush(worker->batch);
	}
}

/* Listening socket from which responses of @p address go directly to callers;
 * NULL if there is none. */
static const listener_t *listener_for_(const worker_t *worker,
				       const pl_addr_t *address)
{
	for (size_t i = 0; i < worker->role->listener_count; i++) {
		if (pl_addr_equal(&worker->listeners[i].addr, address))
			return &worker->listeners[i];
	}
	return NULL;
}

static void send_to_fabric_(worker_t *worker, const pl_reply_t *reply)
{
	const pl_proxy_t proxy = { .source = reply->flow.address,
				   .destination = reply->flow.caller };
	uint8_t *out = pl_udp_reserve(worker->batch);
	size_t header = pl_proxy_write(&proxy, out);

	if (header == 0 || header + reply->pdu_len > PL_UDP_DATAGRAM_MAX) {
		count_drop_(PL_COUNTER_DROP_OVERSIZED);
		return;
	}
	memcpy(out + header, reply->pdu, reply->pdu_len);
	pl_udp_queue(worker->batch, worker->listeners[0].fd,
		     &worker->role->fabric, header + reply->pdu_len);
	pl_counter_add(PL_COUNTER_DATAGRAMS_OUT, 1);
}

static void send_to_caller_(worker_t *worker, const pl_reply_t *reply)
{
	const listener_t *listener =
		listener_for_(worker, &reply->flow.address);
	uint8_t *out;

	if (!listener) {
		count_drop_(PL_COUNTER_DROP_NO_SERVICE);
		return;
	}
	out = pl_udp_reserve(worker->batch);
	memcpy(out, reply->pdu, reply->pdu_len);
	pl_udp_queue(worker->batch, listener->fd, &reply->flow.caller,
		     reply->pdu_len);
	pl_counter_add(PL_COUNTER_DATAGRAMS_OUT, 1);
}

static void handle_reply_(worker_t *worker, const pl_routing_t *routing,
			  const pl_reply_t *reply, pl_ms_t now)
{
	if (routing &&
	    pl_entry_reply(worker->core, routing, reply, now) != PL_OK) {
		count_drop_(PL_COUNTER_DROP_MISMATCH);
		return;
	}
	if (worker->role->has_fabric)
		send_to_fabric_(worker, reply);
	else
		send_to_caller_(worker, reply);
}

static void inner_datagram_(worker_t *worker, const pl_routing_t *routing,
			    const pl_datagram_t *datagram, pl_ms_t now)
{
	pl_wire_message_t message;
	pl_result_t result;

	if (pl_fault_is_cut_addr(&datagram->from))
		return;
	if (pl_wire_peek_type(datagram->bytes, datagram->len) >=
	    PL_WIRE_GOSSIP) {
		pl_node_gossip(worker->role->node, datagram->bytes,
			       datagram->len);
		return;
	}
	result = pl_wire_decode(worker->decoder, datagram->bytes, datagram->len,
				&message);
	if (result != PL_OK || message.type != PL_WIRE_REPLY) {
		count_drop_(result == PL_ERR_AUTH ? PL_COUNTER_DROP_AUTH :
						    PL_COUNTER_DROP_MALFORMED);
		return;
	}
	record_traffic_(worker->role, now);
	handle_reply_(worker, routing, &message.reply, now);
}

static void inner_ready_(void *ctx, uint32_t events)
{
	worker_t *worker = ctx;
	pl_ms_t now = pl_timer_service_now(pl_loop_timers(worker->loop));

	for (int i = 0; i < BATCHES_PER_TURN; i++) {
		size_t count = pl_udp_receive(worker->batch, worker->inner_fd);
		const pl_routing_t *routing;

		if (count == 0)
			break;
		rcu_read_lock();
		routing = pl_node_routing(worker->role->node);
		for (size_t k = 0; k < count; k++)
			inner_datagram_(worker, routing,
					pl_udp_at(worker->batch, k), now);
		rcu_read_unlock();
		pl_udp_flush(worker->batch);
	}
}

static void *worker_main_(void *ctx)
{
	worker_t *worker = ctx;

	rcu_register_thread();
	pl_loop_run(worker->loop);
	rcu_unregister_thread();
	return NULL;
}

static pl_result_t open_sockets_(worker_t *worker, pl_addr_t *addrs,
				 int inner_fd, bool first, pl_error_t *err)
{
	entry_role_t *role = worker->role;
	bool shared = role->worker_count > 1;
	pl_addr_t inner = pl_member_id_to_addr(pl_node_self(role->node));
	pl_result_t result = PL_OK;

	worker->inner_fd = inner_fd;
	if (!first)
		result = pl_udp_open(&inner, true, &worker->inner_fd, err);
	worker->listeners = g_new0(listener_t, role->listener_count);
	for (size_t i = 0; i < role->listener_count && result == PL_OK; i++) {
		listener_t *listener = &worker->listeners[i];

		/* the first worker binds the port, the others share it */
		result = pl_udp_open(&addrs[i], shared, &listener->fd, err);
		listener->worker = worker;
		listener->addr = addrs[i];
	}
	return result;
}

static pl_result_t worker_init_(worker_t *worker, entry_role_t *role,
				pl_addr_t *addrs, int inner_fd, bool first,
				pl_error_t *err)
{
	pl_result_t result;

	worker->role = role;
	worker->loop = pl_loop_new(err);
	if (!worker->loop)
		return err->code;
	worker->batch = pl_udp_batch_new();
	worker->core = pl_entry_new(pl_node_self(role->node),
				    &pl_entry_policy_two_choices, role->loads);
	worker->decoder = pl_wire_decoder_new(&role->key);
	result = open_sockets_(worker, addrs, inner_fd, first, err);
	if (result != PL_OK)
		return result;
	worker->inner_watch = pl_loop_watch(worker->loop, worker->inner_fd,
					    EPOLLIN, inner_ready_, worker);
	for (size_t i = 0; i < role->listener_count; i++)
		worker->listeners[i].watch = pl_loop_watch(
			worker->loop, worker->listeners[i].fd, EPOLLIN,
			listener_ready_, &worker->listeners[i]);
	return PL_OK;
}

static void write_ready_(const pl_addr_t *addrs, size_t count, GString *ready)
{
	char text[PL_ADDR_TEXT_MAX];

	for (size_t i = 0; i < count; i++)
		g_string_append_printf(ready, "%s%s", i == 0 ? " listen=" : ",",
				       pl_addr_format(&addrs[i], text));
}

static void *start_(pl_node_t *node, const pl_settings_t *settings,
		    int inner_fd, GString *ready, pl_error_t *err)
{
	const pl_settings_entry_t *own = &settings->entry;
	entry_role_t *role = g_new0(entry_role_t, 1);
	pl_addr_t *addrs = g_memdup2(own->listen.at,
				     own->listen.count * sizeof(pl_addr_t));
	pl_result_t result = PL_OK;

	role->node = node;
	pl_key_derive(settings->secret, settings->environment, PL_KEY_DATAGRAM,
		      &role->key);
	role->has_fabric = own->has_fabric;
	role->fabric = own->fabric;
	role->listener_count = own->listen.count;
	role->worker_count = settings->traffic_threads;
	role->workers = g_new0(worker_t, role->worker_count);
	role->loads = pl_load_table_new();
	for (size_t i = 0; i < role->worker_count && result == PL_OK; i++)
		result = worker_init_(&role->workers[i], role, addrs, inner_fd,
				      i == 0, err);
	write_ready_(addrs, role->listener_count, ready);
	g_free(addrs);
	if (result != PL_OK)
		/* the process exits, which closes the sockets */
		return NULL;
	for (size_t i = 0; i < role->worker_count; i++)
		pthread_create(&role->workers[i].thread, NULL, worker_main_,
			       &role->workers[i]);
	return role;
}

static void worker_free_(worker_t *worker)
{
	pl_loop_stop(worker->loop);
	pthread_join(worker->thread, NULL);
	for (size_t i = 0; i < worker->role->listener_count; i++) {
		pl_loop_unwatch(worker->loop, worker->listeners[i].watch);
		close(worker->listeners[i].fd);
	}
	pl_loop_unwatch(worker->loop, worker->inner_watch);
	close(worker->inner_fd);
	pl_entry_delete(worker->core);
	pl_wire_decoder_delete(worker->decoder);
	pl_udp_batch_delete(worker->batch);
	pl_loop_delete(worker->loop);
	g_free(worker->listeners);
}

static void stop_(void *ctx)
{
	entry_role_t *role = ctx;

	for (size_t i = 0; i < role->worker_count; i++)
		worker_free_(&role->workers[i]);
	pl_load_table_delete(role->loads);
	g_free(role->workers);
	g_free(role);
}

static void routing_(void *ctx, pl_routing_t *routing, pl_entry_list_t *entries)
{
	/* the workers read the published table under RCU */
}

static void ignore_frame_(void *ctx, const pl_peer_frame_t *frame)
{
}

static void agent_boot_ended_(void *ctx, pl_member_id_t agent, uint64_t boot)
{
}

static void paused_(void *ctx, uint64_t boot)
{
}

static void drain_(void *ctx)
{
	entry_role_t *role = ctx;

	if (role->drain_started == 0)
		role->drain_started = pl_loop_clock_ms();
}

/* The leave message needs time to reach the agents. After that the fabric must
 * also have stopped sending to this entry, or its datagrams would be lost. */
static bool drained_(void *ctx)
{
	entry_role_t *role = ctx;
	pl_ms_t now = pl_loop_clock_ms();
	pl_ms_t last = atomic_load_explicit(&role->last_traffic_ms,
					    memory_order_relaxed);

	return role->drain_started != 0 &&
	       now - role->drain_started >= LEAVE_SPREAD_MS &&
	       now - last >= QUIET_MS;
}

static void status_(void *ctx, struct json_object *status)
{
	const entry_role_t *role = ctx;

	json_object_object_add(
		status, "traffic_threads",
		json_object_new_int64((int64_t)role->worker_count));
}

const pl_role_ops_t pl_entry_role = {
	.name = "entry",
	.start = start_,
	.routing = routing_,
	.frame = ignore_frame_,
	.frame_failed = ignore_frame_,
	.agent_boot_ended = agent_boot_ended_,
	.paused = paused_,
	.drain = drain_,
	.drained = drained_,
	.status = status_,
	.stop = stop_,
};
