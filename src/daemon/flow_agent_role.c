/**
 * @file
 * Role of an agent of flows.
 */
#include "private/flow_role.h"
#include "private/http.h"
#include "private/node_post.h"

#include <pimentolift/event.h>
#include <pimentolift/flow_agent.h>
#include <pimentolift/hash.h>
#include <pimentolift/listener_watch.h>
#include <platform/platform.h>

#include <microhttpd.h>

#define MS_PER_S 1000
#define US_PER_MS 1000
#define STATS_INTERVAL_MS 200
/** Flow records of one agent; a backend server holds a few thousand flows. */
#define FLOWS_MAX 16384
/** Longest wait of a shutdown for a first report of the backend server and for
 * the store to remove the agent's roster entry; readers of the roster remove an
 * entry that is left behind. */
#define DEREGISTER_TIMEOUT_MS 3000
/** Longest wait of a shutdown for the last flows of a server that drains.
 * Processes that take over 6 s to stop are commonly killed. */
#define BACKEND_TIMEOUT_MS 5000

typedef struct {
	pl_flow_thread_t thread;
	pl_flow_agent_t *core;
	pl_http_t *reports;
	pl_addr_t backend;
	pl_listener_watch_t *listener; /* watches the backend server's socket */
	pl_ms_t drain_started;
	bool deregistered; /* in the drain */
	pl_timer_t stats_timer;
	pthread_mutex_t stats_lock;
	pl_flow_agent_stats_t stats;
} flow_agent_role_t;

static void op_deliver_(void *ctx, const uint8_t *bytes, size_t len)
{
	flow_agent_role_t *role = ctx;

	pl_flow_thread_send_packet(&role->thread, &role->backend, bytes, len);
}

static void op_send_to_caller_(void *ctx, const pl_flow_key_t *flow,
			       const uint8_t *bytes, size_t len)
{
	flow_agent_role_t *role = ctx;

	pl_flow_thread_send_to_caller(&role->thread, flow, bytes, len);
}

static void op_send_(void *ctx, pl_member_id_t to,
		     const pl_flow_message_t *message)
{
	flow_agent_role_t *role = ctx;

	pl_flow_thread_send_message(&role->thread, to, message);
}

static void op_backend_changed_(void *ctx, bool serving, uint32_t slots)
{
	flow_agent_role_t *role = ctx;
	pl_node_t *node = role->thread.node;

	pl_node_set_endpoint(
		node, pl_service_id(pl_node_settings(node)->flows.service),
		slots, serving);
}

static void op_backend_leaving_(void *ctx)
{
	flow_agent_role_t *role = ctx;

	pl_node_backend_leaving(role->thread.node);
}

static const pl_flow_agent_ops_t ops_ = {
	.deliver = op_deliver_,
	.send_to_caller = op_send_to_caller_,
	.send = op_send_,
	.backend_changed = op_backend_changed_,
	.backend_leaving = op_backend_leaving_,
};

static void on_message_(void *ctx, const pl_flow_message_t *message)
{
	flow_agent_role_t *role = ctx;

	pl_flow_agent_message(role->core, message);
}

static void on_packet_(void *ctx, uint8_t *bytes, size_t len)
{
	flow_agent_role_t *role = ctx;

	pl_flow_agent_packet(role->core, bytes, len);
}

static pl_http_response_t json_response_(unsigned int status)
{
	return (pl_http_response_t){ status, pl_http_json, g_strdup("{}") };
}

static void log_malformed_report_(const char *path, const char *field)
{
	char *text = g_strescape(path, NULL);

	pl_event(PL_EVENT_REPORT_MALFORMED, "%s: invalid %s", text, field);
	g_free(text);
}

/* A report overtaken by a newer one is acknowledged, too. One of an earlier
 * process is not, because its sender may have a clock that was set back, and
 * what it reports is not in force yet. */
static pl_http_response_t handle_report_(flow_agent_role_t *role,
					 pl_backend_report_t *report)
{
	report->received_ms = (uint64_t)(g_get_real_time() / US_PER_MS);
	switch (pl_flow_agent_report(role->core, report)) {
	case PL_FLOW_REPORT_FOREIGN:
		return json_response_(MHD_HTTP_BAD_REQUEST);
	case PL_FLOW_REPORT_OUTDATED:
		return json_response_(MHD_HTTP_CONFLICT);
	default:
		return json_response_(MHD_HTTP_OK);
	}
}

static pl_http_response_t on_request_(void *ctx,
				      const pl_http_request_t *request)
{
	flow_agent_role_t *role = ctx;
	pl_platform_request_t platform_request;
	size_t len;
	const char *body = pl_http_body(request, &len);

	pl_platform_request_parse(pl_http_method(request),
				  pl_http_path(request), body, len,
				  &platform_request);
	switch (platform_request.type) {
	case PL_PLATFORM_REQUEST_REPORT:
		return handle_report_(role, &platform_request.report);
	case PL_PLATFORM_REQUEST_DEREGISTER:
		pl_flow_agent_backend_leaving(role->core,
					      platform_request.report.id);
		return json_response_(MHD_HTTP_OK);
	case PL_PLATFORM_REQUEST_MALFORMED:
		log_malformed_report_(pl_http_path(request),
				      platform_request.invalid_field);
		return json_response_(MHD_HTTP_BAD_REQUEST);
	case PL_PLATFORM_REQUEST_WRONG_METHOD:
		return json_response_(MHD_HTTP_METHOD_NOT_ALLOWED);
	default:
		return json_response_(MHD_HTTP_NOT_FOUND);
	}
}

static void publish_stats_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	flow_agent_role_t *role = ctx;

	pthread_mutex_lock(&role->stats_lock);
	pl_flow_agent_stats(role->core, &role->stats);
	pthread_mutex_unlock(&role->stats_lock);
	pl_timer_arm(pl_loop_timers(role->thread.loop), timer,
		     now + STATS_INTERVAL_MS);
}

static void on_backend_down_(void *ctx)
{
	flow_agent_role_t *role = ctx;

	pl_flow_agent_backend_down(role->core);
}

static pl_flow_agent_t *core_new_(flow_agent_role_t *role, pl_node_t *node,
				  const pl_settings_t *settings)
{
	const pl_settings_flows_t *flows = &settings->flows;
	const pl_flow_agent_params_t params = {
		.self = pl_node_self(node),
		.service = pl_service_id(flows->service),
		.datacentre = pl_hash_text(settings->datacentre),
		.backend = flows->backend,
		.flow_idle_max_ms = (uint32_t)(flows->flow_max_s * MS_PER_S),
		.flows_max = FLOWS_MAX,
		.report_ms = flows->report_ms,
		.packets = &pl_platform_packets,
		.order = &pl_work_order_rescue,
	};

	return pl_flow_agent_new(&params, &ops_, role,
				 pl_loop_timers(role->thread.loop));
}

static void *start_(pl_node_t *node, const pl_settings_t *settings,
		    int inner_fd, GString *ready, pl_error_t *err)
{
	const pl_settings_flows_t *flows = &settings->flows;
	pl_addr_t outbound = flows->outbound;
	pl_addr_t reports = flows->reports;
	flow_agent_role_t *role = g_new0(flow_agent_role_t, 1);
	char text[PL_ADDR_TEXT_MAX];

	role->backend = flows->backend;
	if (pl_flow_thread_init(&role->thread, node, inner_fd, on_message_,
				role, err) != PL_OK ||
	    pl_flow_thread_listen(&role->thread, &outbound, on_packet_, err) !=
		    PL_OK)
		return NULL;
	role->core = core_new_(role, node, settings);
	if (flows->backend_listens)
		role->listener = pl_listener_watch_new(role->thread.loop,
						       &flows->backend,
						       on_backend_down_, role);
	role->reports = pl_http_new(role->thread.loop, &reports, on_request_,
				    role, err);
	if (!role->reports)
		return NULL;
	pthread_mutex_init(&role->stats_lock, NULL);
	pl_timer_init(&role->stats_timer, publish_stats_, role);
	publish_stats_(&role->stats_timer, role, pl_loop_clock_ms());
	g_string_append_printf(ready, " outbound=%s",
			       pl_addr_format(&outbound, text));
	pl_flow_thread_start(&role->thread);
	return role;
}

static void routing_(void *ctx, pl_routing_t *routing, pl_entry_list_t *entries)
{
}

typedef struct {
	flow_agent_role_t *role;
	pl_service_policy_t policy;
} policy_task_t;

static void run_set_policy_(void *ctx)
{
	policy_task_t *task = ctx;

	pl_flow_agent_set_policy(task->role->core, &task->policy);
	g_free(task);
}

static void policy_(void *ctx, const pl_service_policy_t *policy)
{
	flow_agent_role_t *role = ctx;
	policy_task_t *task = g_new0(policy_task_t, 1);

	task->role = role;
	task->policy = *policy;
	pl_loop_post(role->thread.loop, run_set_policy_, task);
}

static void roster_(void *ctx, bool known, const pl_member_id_t *agents,
		    size_t count)
{
}

/* A task that the control thread posts to the traffic thread. */
typedef struct {
	flow_agent_role_t *role;
	bool evacuated;
} task_t;

static void run_set_evacuated_(void *ctx)
{
	task_t *task = ctx;

	pl_flow_agent_set_evacuated(task->role->core, task->evacuated);
	g_free(task);
}

static void evacuated_(void *ctx, bool evacuated)
{
	flow_agent_role_t *role = ctx;
	task_t *task = g_new0(task_t, 1);

	task->role = role;
	task->evacuated = evacuated;
	pl_loop_post(role->thread.loop, run_set_evacuated_, task);
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

static pl_flow_agent_stats_t copy_stats_(flow_agent_role_t *role)
{
	pl_flow_agent_stats_t stats;

	pthread_mutex_lock(&role->stats_lock);
	stats = role->stats;
	pthread_mutex_unlock(&role->stats_lock);
	return stats;
}

static void deregister_if_gone_(flow_agent_role_t *role,
				const pl_flow_agent_stats_t *stats)
{
	if (role->deregistered || !stats->backend_gone)
		return;
	role->deregistered = true;
	pl_node_backend_leaving_on_control_thread(role->thread.node);
}

/* An agent that stops after its backend server has shut down has no successor.
 * An entry that an earlier process of this agent left in the roster would delay
 * proofs that flows are dead, so the agent deregisters. */
static void drain_(void *ctx)
{
	flow_agent_role_t *role = ctx;
	const pl_flow_agent_stats_t stats = copy_stats_(role);

	role->drain_started = pl_loop_clock_ms();
	deregister_if_gone_(role, &stats);
}

/* Whether to wait for the backend server. One that drains has no other agent
 * after this one: entries would take its last flows for dead. */
static bool waits_for_backend_(const pl_flow_agent_stats_t *stats,
			       pl_ms_t waited)
{
	return waited < BACKEND_TIMEOUT_MS && stats->backend_draining &&
	       stats->flows > 0;
}

/* Any other backend server keeps its flows while it has no agent, so an agent
 * that will be restarted must stop quickly. It waits only for a deregistration,
 * and soon after its start for a report, without which it deregisters. */
static bool drained_(void *ctx)
{
	flow_agent_role_t *role = ctx;
	const pl_flow_agent_stats_t stats = copy_stats_(role);
	pl_ms_t waited = pl_loop_clock_ms() - role->drain_started;

	deregister_if_gone_(role, &stats);
	if (waits_for_backend_(&stats, waited))
		return false;
	return (!stats.backend_silent &&
		!pl_node_is_deregistering(role->thread.node)) ||
	       waited >= DEREGISTER_TIMEOUT_MS;
}

static void add_number_(struct json_object *status, const char *name,
			uint64_t value)
{
	json_object_object_add(status, name, json_object_new_uint64(value));
}

static void status_(void *ctx, struct json_object *status)
{
	pl_flow_agent_stats_t stats = copy_stats_(ctx);

	json_object_object_add(status, "backend_serving",
			       json_object_new_boolean(stats.serving));
	json_object_object_add(status, "backend_down",
			       json_object_new_boolean(stats.backend_down));
	json_object_object_add(status, "backend_watched",
			       json_object_new_boolean(stats.flows_complete));
	add_number_(status, "flows", stats.flows);
	add_number_(status, "slots", stats.load.slots);
	add_number_(status, "busy", stats.load.busy);
	add_number_(status, "limit_milli", stats.load.limit);
	add_number_(status, "request_ms", stats.load.request_ms);
	add_number_(status, "usual_ms", stats.usual_ms);
	add_number_(status, "slowness_milli", stats.slowness_milli);
	add_number_(status, "cold_ms", stats.cold_ms);
	add_number_(status, "cold_refused", stats.cold_refused);
	json_object_object_add(
		status, "health",
		json_object_new_string(pl_health_level_name(stats.health)));
	json_object_object_add(status, "health_cause",
			       json_object_new_string(pl_health_cause_name(
				       stats.health_cause)));
	add_number_(status, "refused_ejected", stats.ejected_refused);
	add_number_(status, "taken", stats.accepted);
	add_number_(status, "refused", stats.refused);
	add_number_(status, "refused_evacuated", stats.evacuated_refused);
	add_number_(status, "waited", stats.queued);
	add_number_(status, "bounced", stats.bounced);
	add_number_(status, "trials", stats.probes);
	add_number_(status, "resets", stats.resets);
	add_number_(status, "evicted", stats.evicted);
}

static void stop_(void *ctx)
{
	flow_agent_role_t *role = ctx;

	pl_flow_thread_join(&role->thread);
	pl_http_delete(role->reports);
	pl_listener_watch_delete(role->listener);
	pl_flow_agent_delete(role->core);
	pl_flow_thread_finish(&role->thread);
	pthread_mutex_destroy(&role->stats_lock);
	g_free(role);
}

const pl_role_ops_t pl_flow_agent_role = {
	.name = "agent",
	.start = start_,
	.routing = routing_,
	.roster = roster_,
	.policy = policy_,
	.frame = ignore_frame_,
	.frame_failed = ignore_frame_,
	.agent_boot_ended = agent_boot_ended_,
	.evacuated = evacuated_,
	.paused = paused_,
	.drain = drain_,
	.drained = drained_,
	.status = status_,
	.stop = stop_,
};
