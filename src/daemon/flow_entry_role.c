/**
 * @file
 * Role of an entry of flows.
 */
#include "private/flow_role.h"

#include <pimentolift/event.h>
#include <pimentolift/flow_entry.h>
#include <platform/platform.h>

#include <stdatomic.h>

/** Capacity of the flow cache, in flows; about 30 MB. */
#define FLOWS_MAX 200000
#define MS_PER_S 1000
#define BYTES_PER_MBIT 125000
/** Routers notice by two readiness probes, half a second apart, that this entry
 * shuts down; packets in flight arrive after that. */
#define READY_PROBE_WAIT_MS 2000
#define STATS_INTERVAL_MS 200
/** Longest wait for an explanation; the control thread does nothing else
 * meanwhile. */
#define EXPLAIN_WAIT_MS 500

typedef struct {
	pl_flow_thread_t thread;
	pl_flow_entry_t *core;
	pl_ms_t drain_started;
	pl_timer_t stats_timer;
	pthread_mutex_t stats_lock;
	pl_flow_entry_stats_t stats;
	pl_flow_share_t shares[PL_FLOW_SHARES_MAX];
	size_t share_count;
} flow_entry_role_t;

/* A task that the control thread posts to the traffic thread: a routing table,
 * a roster, or a dead agent. */
typedef struct {
	flow_entry_role_t *role;
	pl_routing_t *routing;
	bool known;
	size_t count;
	pl_member_id_t agents[];
} task_t;

static void op_send_(void *ctx, pl_member_id_t to,
		     const pl_flow_message_t *message)
{
	flow_entry_role_t *role = ctx;

	pl_flow_thread_send_message(&role->thread, to, message);
}

static void op_send_to_caller_(void *ctx, const pl_flow_key_t *flow,
			       const uint8_t *bytes, size_t len)
{
	flow_entry_role_t *role = ctx;

	pl_flow_thread_send_to_caller(&role->thread, flow, bytes, len);
}

static void op_request_roster_(void *ctx)
{
	flow_entry_role_t *role = ctx;

	pl_node_request_roster(role->thread.node);
}

static void op_check_agent_(void *ctx, pl_member_id_t agent)
{
	flow_entry_role_t *role = ctx;

	pl_node_check_agent(role->thread.node, agent);
}

static const pl_flow_entry_ops_t ops_ = {
	.send = op_send_,
	.send_to_caller = op_send_to_caller_,
	.request_roster = op_request_roster_,
	.check_agent = op_check_agent_,
};

static void on_message_(void *ctx, const pl_flow_message_t *message)
{
	flow_entry_role_t *role = ctx;

	pl_flow_entry_message(role->core, message);
}

static void on_packet_(void *ctx, uint8_t *bytes, size_t len)
{
	flow_entry_role_t *role = ctx;

	pl_flow_entry_packet(role->core, bytes, len);
}

static void publish_stats_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	flow_entry_role_t *role = ctx;

	pthread_mutex_lock(&role->stats_lock);
	pl_flow_entry_stats(role->core, &role->stats);
	role->share_count = pl_flow_entry_shares(role->core, role->shares);
	pthread_mutex_unlock(&role->stats_lock);
	pl_timer_arm(pl_loop_timers(role->thread.loop), timer,
		     now + STATS_INTERVAL_MS);
}

static pl_flow_entry_t *core_new_(flow_entry_role_t *role, pl_node_t *node,
				  const pl_settings_t *settings)
{
	const pl_flow_entry_params_t params = {
		.self = pl_node_self(node),
		.datacentre = pl_hash_text(settings->datacentre),
		.flow_idle_max_ms =
			(uint32_t)(settings->flows.flow_max_s * MS_PER_S),
		.flows_max = FLOWS_MAX,
		.link_bytes_per_s =
			(uint64_t)(settings->flows.link_mbps * BYTES_PER_MBIT),
		.packets = &pl_platform_packets,
		.placement = &pl_place_least_wait,
	};

	return pl_flow_entry_new(&params, &ops_, role,
				 pl_loop_timers(role->thread.loop));
}

static void *start_(pl_node_t *node, const pl_settings_t *settings,
		    int inner_fd, GString *ready, pl_error_t *err)
{
	pl_addr_t listen = settings->flows.listen;
	flow_entry_role_t *role = g_new0(flow_entry_role_t, 1);
	char text[PL_ADDR_TEXT_MAX];

	if (pl_flow_thread_init(&role->thread, node, inner_fd, on_message_,
				role, err) != PL_OK ||
	    pl_flow_thread_listen(&role->thread, &listen, on_packet_, err) !=
		    PL_OK)
		/* the process exits, which closes the sockets */
		return NULL;
	role->core = core_new_(role, node, settings);
	pthread_mutex_init(&role->stats_lock, NULL);
	pl_timer_init(&role->stats_timer, publish_stats_, role);
	publish_stats_(&role->stats_timer, role, pl_loop_clock_ms());
	g_string_append_printf(ready, " listen=%s",
			       pl_addr_format(&listen, text));
	pl_flow_thread_start(&role->thread);
	return role;
}

static void run_set_routing_(void *ctx)
{
	task_t *task = ctx;

	pl_flow_entry_set_routing(task->role->core, task->routing);
	pl_routing_put(task->routing);
	g_free(task);
}

static void routing_(void *ctx, pl_routing_t *routing, pl_entry_list_t *entries)
{
	flow_entry_role_t *role = ctx;
	task_t *task = g_new0(task_t, 1);

	(void)entries;
	task->role = role;
	task->routing = routing;
	pl_routing_get(routing);
	pl_loop_post(role->thread.loop, run_set_routing_, task);
}

static void run_set_roster_(void *ctx)
{
	task_t *task = ctx;

	pl_flow_entry_set_roster(task->role->core, task->known, task->agents,
				 task->count);
	g_free(task);
}

static void roster_(void *ctx, bool known, const pl_member_id_t *agents,
		    size_t count)
{
	flow_entry_role_t *role = ctx;
	task_t *task = g_malloc0(sizeof(*task) + count * sizeof(*agents));

	task->role = role;
	task->known = known;
	task->count = count;
	for (size_t i = 0; i < count; i++)
		task->agents[i] = agents[i];
	pl_loop_post(role->thread.loop, run_set_roster_, task);
}

static void run_agent_dead_(void *ctx)
{
	task_t *task = ctx;

	pl_flow_entry_agent_dead(task->role->core, task->agents[0]);
	g_free(task);
}

static void agent_dead_(void *ctx, pl_member_id_t agent)
{
	flow_entry_role_t *role = ctx;
	task_t *task = g_malloc0(sizeof(*task) + sizeof(agent));

	task->role = role;
	task->agents[0] = agent;
	pl_loop_post(role->thread.loop, run_agent_dead_, task);
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
	flow_entry_role_t *role = ctx;

	if (role->drain_started == 0)
		role->drain_started = pl_loop_clock_ms();
}

static bool drained_(void *ctx)
{
	flow_entry_role_t *role = ctx;

	return role->drain_started != 0 &&
	       pl_loop_clock_ms() - role->drain_started >= READY_PROBE_WAIT_MS;
}

static void add_number_(struct json_object *status, const char *name,
			uint64_t value)
{
	json_object_object_add(status, name, json_object_new_uint64(value));
}

static struct json_object *share_json_(const pl_flow_share_t *share)
{
	struct json_object *object = json_object_new_object();
	char text[PL_ADDR_TEXT_MAX];

	json_object_object_add(
		object, "address",
		json_object_new_string(pl_addr_format(&share->address, text)));
	json_object_object_add(object, "service",
			       json_object_new_string(share->service));
	add_number_(object, "weight", share->weight);
	add_number_(object, "asked", share->asked);
	add_number_(object, "given", share->given);
	return object;
}

/* Adds the new flows of each service of the routes with weights. */
static void add_shares_(flow_entry_role_t *role, struct json_object *status)
{
	struct json_object *list = json_object_new_array();

	pthread_mutex_lock(&role->stats_lock);
	for (size_t i = 0; i < role->share_count; i++)
		json_object_array_add(list, share_json_(&role->shares[i]));
	pthread_mutex_unlock(&role->stats_lock);
	json_object_object_add(status, "shares", list);
}

static void status_(void *ctx, struct json_object *status)
{
	flow_entry_role_t *role = ctx;
	pl_flow_entry_stats_t stats;

	pthread_mutex_lock(&role->stats_lock);
	stats = role->stats;
	pthread_mutex_unlock(&role->stats_lock);
	add_number_(status, "flows", stats.flows);
	add_number_(status, "packets", stats.packets_received);
	add_number_(status, "placed", stats.placed);
	add_number_(status, "replaced", stats.placed_again);
	add_number_(status, "overflowed", stats.overflowed);
	add_shares_(role, status);
	add_number_(status, "refused", stats.refused);
	add_number_(status, "lookups", stats.lookups);
	add_number_(status, "lookups_open", stats.lookups_open);
	add_number_(status, "found", stats.found);
	add_number_(status, "lost", stats.lookups_lost);
	add_number_(status, "dead", stats.flows_reset);
	add_number_(status, "no_route", stats.no_route);
	add_number_(status, "no_endpoint", stats.no_endpoint);
	add_number_(status, "rejected_evacuated", stats.rejected);
}

/* An explanation that the control thread waits for. */
typedef struct {
	flow_entry_role_t *role;
	const pl_flow_key_t *key;
	pl_flow_explanation_t *explanation;
} explain_task_t;

static void run_explain_(void *ctx)
{
	const explain_task_t *task = ctx;

	pl_flow_entry_explain(task->role->core, task->key, task->explanation);
}

static pl_result_t explain_(void *ctx, const pl_flow_key_t *key,
			    pl_flow_explanation_t *explanation)
{
	flow_entry_role_t *role = ctx;
	explain_task_t task = { role, key, explanation };

	return pl_loop_call(role->thread.loop, run_explain_, &task,
			    EXPLAIN_WAIT_MS) ?
		       PL_OK :
		       PL_ERR_TIMEOUT;
}

static void stop_(void *ctx)
{
	flow_entry_role_t *role = ctx;

	pl_flow_thread_join(&role->thread);
	pl_flow_entry_delete(role->core);
	pl_flow_thread_finish(&role->thread);
	pthread_mutex_destroy(&role->stats_lock);
	g_free(role);
}

const pl_role_ops_t pl_flow_entry_role = {
	.name = "entry",
	.start = start_,
	.routing = routing_,
	.roster = roster_,
	.frame = ignore_frame_,
	.frame_failed = ignore_frame_,
	.agent_boot_ended = agent_boot_ended_,
	.agent_dead = agent_dead_,
	.paused = paused_,
	.drain = drain_,
	.drained = drained_,
	.explain = explain_,
	.status = status_,
	.stop = stop_,
};
