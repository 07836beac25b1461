/**
 * @file
 * Traffic thread of an agent: connects the agent core with the inner port and
 * the backend server.
 */
#include "private/backend.h"
#include "private/node.h"

#include <pimentolift/agent.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <pimentolift/fault.h>
#include <pimentolift/udp.h>

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define BATCHES_PER_TURN 8
/** Interval at which the traffic thread publishes its statistics. */
#define STATS_INTERVAL_MS 100
#define BYTES_PER_MB (1024u * 1024u)
/** Type of a CoAP message, in its first byte. */
#define COAP_TYPE_SHIFT 4
#define COAP_TYPE_MASK 3

typedef struct {
	pl_node_t *node;
	pl_key_t key;
	pl_member_id_t self;
	pthread_t thread;
	pl_loop_t *loop;
	pl_udp_batch_t *batch;
	pl_wire_decoder_t *decoder;
	int inner_fd;
	pl_loop_watch_t *inner_watch;
	pl_backend_t *backend;
	pl_agent_t *core;
	pl_entry_list_t *entries;
	uint64_t revision;
	pl_timer_t stats_timer;
	pthread_mutex_t stats_lock;
	pl_agent_stats_t stats;
	atomic_bool drained;
	atomic_bool draining;
} agent_role_t;

/* Chooses the entry that a response goes through: the one that forwarded the
 * request, or a random live one if that entry is no longer alive or the message
 * is confirmable. Confirmable messages are retransmitted; with a random entry
 * for each copy one dead entry cannot lose all of them. */
static pl_member_id_t choose_entry_(const agent_role_t *role,
				    pl_member_id_t entry, const uint8_t *pdu)
{
	const pl_entry_list_t *list = role->entries;
	bool confirmable =
		((pdu[0] >> COAP_TYPE_SHIFT) & COAP_TYPE_MASK) == PL_COAP_CON;

	if (!list || list->count == 0)
		return entry;
	for (size_t i = 0; i < list->count && !confirmable; i++) {
		if (list->at[i] == entry)
			return entry;
	}
	return list->at[g_random_int_range(0, (gint32)list->count)];
}

static void send_datagram_(agent_role_t *role, pl_member_id_t member,
			   size_t len)
{
	const pl_addr_t to = pl_member_id_to_addr(member);

	if (len == 0) {
		pl_counter_add(PL_COUNTER_DROP_OVERSIZED, 1);
		return;
	}
	if (pl_fault_is_cut(member))
		return;
	pl_udp_queue(role->batch, role->inner_fd, &to, len);
}

static void op_reply_(void *ctx, pl_member_id_t entry, const pl_flow_t *flow,
		      uint32_t load, const uint8_t *pdu, size_t pdu_len)
{
	agent_role_t *role = ctx;
	const pl_reply_t reply = { .flow = *flow,
				   .agent = role->self,
				   .load_ms = load,
				   .revision = role->revision,
				   .pdu = pdu,
				   .pdu_len = pdu_len };
	uint8_t *out = pl_udp_reserve(role->batch);

	pl_counter_add(PL_COUNTER_DATAGRAMS_OUT, 1);
	send_datagram_(role, choose_entry_(role, entry, pdu),
		       pl_wire_encode_reply(&role->key, &reply, out,
					    PL_WIRE_DATAGRAM_MAX));
}

static void op_forward_(void *ctx, pl_member_id_t agent,
			const pl_forward_t *forward)
{
	agent_role_t *role = ctx;
	uint8_t *out = pl_udp_reserve(role->batch);

	pl_counter_add(PL_COUNTER_PASSED_ON, 1);
	send_datagram_(role, agent,
		       pl_wire_encode_forward(&role->key, forward, out,
					      PL_WIRE_DATAGRAM_MAX));
}

static void op_dispatch_(void *ctx, uint64_t request_id,
			 const pl_backend_request_t *request)
{
	agent_role_t *role = ctx;

	pl_backend_dispatch(role->backend, request_id, request);
}

static void op_cancel_(void *ctx, uint64_t request_id)
{
	agent_role_t *role = ctx;

	pl_backend_cancel(role->backend, request_id);
}

static void op_subscribe_(void *ctx, uint64_t subscription_id, const char *path,
			  const char *query)
{
	agent_role_t *role = ctx;

	pl_backend_subscribe(role->backend, subscription_id, path, query);
}

static void op_unsubscribe_(void *ctx, uint64_t subscription_id)
{
	agent_role_t *role = ctx;

	pl_backend_unsubscribe(role->backend, subscription_id);
}

static void op_send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	agent_role_t *role = ctx;

	pl_node_send_frame(role->node, frame);
}

static uint64_t op_random_(void *ctx)
{
	return pl_random_identity();
}

static const pl_agent_ops_t core_ops_ = {
	.reply = op_reply_,
	.forward = op_forward_,
	.dispatch = op_dispatch_,
	.cancel = op_cancel_,
	.subscribe = op_subscribe_,
	.unsubscribe = op_unsubscribe_,
	.send_frame = op_send_frame_,
	.random = op_random_,
};

static void backend_changed_(void *ctx, const char *service, uint32_t slots)
{
	agent_role_t *role = ctx;
	pl_service_id_t id = service ? pl_service_id(service) : 0;

	pl_agent_set_backend(role->core, id, slots);
	pl_node_set_backend(role->node, id, slots);
}

static void backend_reply_(void *ctx, uint64_t request_id,
			   const pl_backend_reply_t *reply)
{
	agent_role_t *role = ctx;

	pl_agent_backend_reply(role->core, request_id, reply);
}

static void backend_notify_(void *ctx, uint64_t subscription_id,
			    const pl_backend_reply_t *reply)
{
	agent_role_t *role = ctx;

	pl_agent_backend_notify(role->core, subscription_id, reply);
}

static const pl_backend_ops_t backend_ops_ = {
	.changed = backend_changed_,
	.reply = backend_reply_,
	.notify = backend_notify_,
};

static void inner_datagram_(agent_role_t *role, const pl_datagram_t *datagram)
{
	pl_wire_message_t message;
	pl_result_t result;

	if (pl_fault_is_cut_addr(&datagram->from))
		return;
	if (pl_wire_peek_type(datagram->bytes, datagram->len) >=
	    PL_WIRE_GOSSIP) {
		pl_node_gossip(role->node, datagram->bytes, datagram->len);
		return;
	}
	result = pl_wire_decode(role->decoder, datagram->bytes, datagram->len,
				&message);
	if (result == PL_OK && message.type == PL_WIRE_FORWARD) {
		pl_counter_add(PL_COUNTER_DATAGRAMS_IN, 1);
		pl_agent_datagram(role->core, &message.forward);
		return;
	}
	pl_counter_add(result == PL_ERR_AUTH ? PL_COUNTER_DROP_AUTH :
					       PL_COUNTER_DROP_MALFORMED,
		       1);
}

static void inner_ready_(void *ctx, uint32_t events)
{
	agent_role_t *role = ctx;

	for (int i = 0; i < BATCHES_PER_TURN; i++) {
		size_t count = pl_udp_receive(role->batch, role->inner_fd);

		if (count == 0)
			break;
		for (size_t k = 0; k < count; k++)
			inner_datagram_(role, pl_udp_at(role->batch, k));
	}
}

static void flush_datagrams_(void *ctx)
{
	agent_role_t *role = ctx;

	pl_udp_flush(role->batch);
}

static void publish_stats_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	agent_role_t *role = ctx;

	pthread_mutex_lock(&role->stats_lock);
	pl_agent_stats(role->core, &role->stats);
	pthread_mutex_unlock(&role->stats_lock);
	if (atomic_load(&role->draining))
		atomic_store(&role->drained, pl_agent_drained(role->core));
	pl_timer_arm(pl_loop_timers(role->loop), timer,
		     now + STATS_INTERVAL_MS);
}

static void *thread_main_(void *ctx)
{
	agent_role_t *role = ctx;

	pl_loop_run(role->loop);
	return NULL;
}

static void init_core_(agent_role_t *role, const pl_settings_t *settings)
{
	pl_timer_service_t *timers = pl_loop_timers(role->loop);
	pl_agent_params_t params = {
		.self = role->self,
		.boot = pl_node_boot(role->node),
		.memory_max =
			(size_t)settings->agent.memory_max_mb * BYTES_PER_MB,
	};

	params.unix_time_s = (uint32_t)((uint64_t)time(NULL) -
					pl_timer_service_now(timers) / 1000);
	pl_key_derive(settings->secret, settings->environment, PL_KEY_TICKET,
		      &params.ticket_key);
	role->core = pl_agent_new(&params, &core_ops_, role, timers);
}

static void *start_(pl_node_t *node, const pl_settings_t *settings,
		    int inner_fd, GString *ready, pl_error_t *err)
{
	agent_role_t *role = g_new0(agent_role_t, 1);
	pl_addr_t listen = settings->agent.backend_listen;
	char text[PL_ADDR_TEXT_MAX];

	role->node = node;
	role->self = pl_node_self(node);
	role->inner_fd = inner_fd;
	pl_key_derive(settings->secret, settings->environment, PL_KEY_DATAGRAM,
		      &role->key);
	pthread_mutex_init(&role->stats_lock, NULL);
	role->loop = pl_loop_new(err);
	if (!role->loop)
		return NULL;
	role->batch = pl_udp_batch_new();
	role->decoder = pl_wire_decoder_new(&role->key);
	init_core_(role, settings);
	role->backend =
		pl_backend_new(role->loop, &listen, &backend_ops_, role, err);
	if (!role->backend)
		return NULL;
	g_string_append_printf(ready, " backend=%s",
			       pl_addr_format(&listen, text));
	role->inner_watch = pl_loop_watch(role->loop, inner_fd, EPOLLIN,
					  inner_ready_, role);
	pl_loop_on_idle(role->loop, flush_datagrams_, role);
	pl_timer_init(&role->stats_timer, publish_stats_, role);
	pl_timer_arm(pl_loop_timers(role->loop), &role->stats_timer,
		     pl_loop_clock_ms());
	pthread_create(&role->thread, NULL, thread_main_, role);
	return role;
}

static void stop_(void *ctx)
{
	agent_role_t *role = ctx;

	pl_loop_stop(role->loop);
	pthread_join(role->thread, NULL);
	pl_udp_flush(role->batch);
	pl_agent_delete(role->core);
	pl_backend_delete(role->backend);
	pl_loop_unwatch(role->loop, role->inner_watch);
	pl_loop_delete(role->loop);
	pl_wire_decoder_delete(role->decoder);
	pl_udp_batch_delete(role->batch);
	if (role->entries)
		pl_entry_list_put(role->entries);
	close(role->inner_fd);
	pthread_mutex_destroy(&role->stats_lock);
	g_free(role);
}

/* A task that the control thread posts to the traffic thread. */
typedef struct {
	agent_role_t *role;
	pl_routing_t *routing;
	pl_entry_list_t *entries;
	pl_peer_frame_t frame;
	pl_member_id_t agent;
	uint64_t boot;
} task_t;

static task_t *task_new_(agent_role_t *role)
{
	task_t *task = g_new0(task_t, 1);

	task->role = role;
	return task;
}

static void run_set_routing_(void *ctx)
{
	task_t *task = ctx;
	agent_role_t *role = task->role;

	if (role->entries)
		pl_entry_list_put(role->entries);
	role->entries = task->entries;
	role->revision = pl_routing_revision(task->routing);
	pl_agent_set_routing(role->core, task->routing);
	pl_routing_put(task->routing);
	g_free(task);
}

static void routing_(void *ctx, pl_routing_t *routing, pl_entry_list_t *entries)
{
	agent_role_t *role = ctx;
	task_t *task = task_new_(role);

	pl_routing_get(routing);
	pl_entry_list_get(entries);
	task->routing = routing;
	task->entries = entries;
	pl_loop_post(role->loop, run_set_routing_, task);
}

static void run_frame_(void *ctx)
{
	task_t *task = ctx;

	pl_agent_frame(task->role->core, &task->frame);
	g_free((void *)task->frame.body);
	g_free(task);
}

static void run_frame_failed_(void *ctx)
{
	task_t *task = ctx;

	pl_agent_frame_failed(task->role->core, &task->frame);
	g_free((void *)task->frame.body);
	g_free(task);
}

static void post_frame_(agent_role_t *role, const pl_peer_frame_t *frame,
			pl_loop_callback_t callback)
{
	task_t *task = task_new_(role);

	task->frame = *frame;
	task->frame.body = g_memdup2(frame->body, frame->body_len);
	pl_loop_post(role->loop, callback, task);
}

static void frame_(void *ctx, const pl_peer_frame_t *frame)
{
	post_frame_(ctx, frame, run_frame_);
}

static void frame_failed_(void *ctx, const pl_peer_frame_t *frame)
{
	post_frame_(ctx, frame, run_frame_failed_);
}

static void run_agent_boot_ended_(void *ctx)
{
	task_t *task = ctx;

	pl_agent_peer_boot_ended(task->role->core, task->agent, task->boot);
	g_free(task);
}

static void agent_boot_ended_(void *ctx, pl_member_id_t agent, uint64_t boot)
{
	agent_role_t *role = ctx;
	task_t *task = task_new_(role);

	task->agent = agent;
	task->boot = boot;
	pl_loop_post(role->loop, run_agent_boot_ended_, task);
}

static void run_paused_(void *ctx)
{
	task_t *task = ctx;

	pl_agent_rejoin(task->role->core, task->boot);
	g_free(task);
}

static void paused_(void *ctx, uint64_t boot)
{
	agent_role_t *role = ctx;
	task_t *task = task_new_(role);

	task->boot = boot;
	pl_loop_post(role->loop, run_paused_, task);
}

static void run_drain_(void *ctx)
{
	agent_role_t *role = ctx;

	pl_agent_drain(role->core);
	atomic_store(&role->draining, true);
}

static void drain_(void *ctx)
{
	agent_role_t *role = ctx;

	pl_loop_post(role->loop, run_drain_, role);
}

static bool drained_(void *ctx)
{
	agent_role_t *role = ctx;

	return atomic_load(&role->drained);
}

static void add_number_(struct json_object *object, const char *key,
			uint64_t value)
{
	json_object_object_add(object, key,
			       json_object_new_int64((int64_t)value));
}

static void status_(void *ctx, struct json_object *status)
{
	agent_role_t *role = ctx;
	pl_agent_stats_t stats;

	pthread_mutex_lock(&role->stats_lock);
	stats = role->stats;
	pthread_mutex_unlock(&role->stats_lock);
	add_number_(status, "views", stats.views);
	add_number_(status, "requests_queued", stats.requests_queued);
	add_number_(status, "requests_running", stats.requests_running);
	add_number_(status, "uploads", stats.uploads);
	add_number_(status, "answers_kept", stats.answers_kept);
	add_number_(status, "body_bytes", stats.body_bytes);
	add_number_(status, "load_ms", stats.load_ms);
	json_object_object_add(
		status, "drained",
		json_object_new_boolean(atomic_load(&role->drained)));
}

const pl_role_ops_t pl_agent_role = {
	.name = "agent",
	.start = start_,
	.routing = routing_,
	.frame = frame_,
	.frame_failed = frame_failed_,
	.agent_boot_ended = agent_boot_ended_,
	.paused = paused_,
	.drain = drain_,
	.drained = drained_,
	.status = status_,
	.stop = stop_,
};
