/**
 * @file
 * Builds and publishes routing tables from the configuration and the
 * membership.
 */
#include "private/node_state.h"
#include "private/routing_build.h"

#include <time.h>
#include <urcu.h>

/** Changes within this time are combined into one new routing table. */
#define REBUILD_DELAY_MS 20
/** Building routing tables should take at most one part in REBUILD_TIME_DIVISOR
 * of the control thread's time: while dozens of members come and go, more
 * changes are combined into one table. */
#define REBUILD_TIME_DIVISOR 200
#define REBUILD_PAUSE_MAX_MS 1000
#define NS_PER_MS 1000000
#define NS_PER_S INT64_C(1000000000)
/** Interval of rebuilds while the weight of an endpoint ramps up. */
#define RAMP_STEP_MS 500

bool pl_node_is_configured_(const pl_node_t *node)
{
	return node->routing && pl_routing_revision(node->routing) != 0;
}

/* Probes the agents that follow this one in the endpoint list of its service,
 * so that a crash is detected early and spread by gossip. */
static void watch_neighbours_(pl_node_t *node, const pl_routing_t *routing)
{
	const pl_route_service_t *service =
		pl_routing_by_id(routing, node->attr.service);
	size_t next = 0;
	size_t wanted;

	for (size_t i = 0; i < node->watched_count; i++)
		pl_member_unwatch(node->members, node->watched[i]);
	node->watched_count = 0;
	if (!service || service->endpoint_count < 2)
		return;
	while (next < service->endpoint_count &&
	       service->endpoints[next].agent <= node->self)
		next++;
	wanted = MIN(WATCHED_AGENTS, service->endpoint_count - 1);
	for (size_t i = 0;
	     i < service->endpoint_count && node->watched_count < wanted; i++) {
		const pl_endpoint_t *endpoint =
			&service->endpoints[(next + i) %
					    service->endpoint_count];

		if (endpoint->agent == node->self)
			continue;
		pl_member_watch(node->members, endpoint->agent);
		node->watched[node->watched_count++] = endpoint->agent;
	}
}

static void publish_routing_(pl_node_t *node, pl_routing_t *routing)
{
	pl_entry_list_t *entries = pl_entry_list_build(node->members);
	pl_routing_t *old = node->routing;

	rcu_assign_pointer(node->routing, routing);
	node->role_ops->routing(node->role, routing, entries);
	pl_entry_list_put(entries);
	if (!old)
		return;
	synchronize_rcu();
	pl_routing_put(old);
}

/* CPU time of this thread. */
static int64_t thread_cpu_time_ns_(void)
{
	struct timespec used;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
	return used.tv_sec * NS_PER_S + used.tv_nsec;
}

/* Minimum delay of the next rebuild after one that took @p took_ns. */
static pl_ms_t rebuild_pause_ms_(int64_t took_ns)
{
	pl_ms_t pause = (pl_ms_t)took_ns * REBUILD_TIME_DIVISOR / NS_PER_MS;

	return MIN(pause, REBUILD_PAUSE_MAX_MS);
}

/* Open flows continue while the store is unavailable and no member has a
 * configuration; new flows need a configuration. */
static bool passes_open_flows_(const pl_node_t *node)
{
	return node->settings->traffic == PL_TRAFFIC_FLOWS &&
	       node->settings->role == PL_ROLE_ENTRY;
}

static void on_rebuild_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_t *node = ctx;
	int64_t start_ns = thread_cpu_time_ns_();
	const pl_document_t *document = pl_node_config_document(node->config);
	pl_routing_t *routing;
	bool ramping;

	/* agents of flows only keep the document for entries */
	if (node->settings->traffic == PL_TRAFFIC_FLOWS &&
	    node->settings->role == PL_ROLE_AGENT)
		return;
	if (!document) {
		if (passes_open_flows_(node))
			publish_routing_(node, pl_routing_build_unconfigured(
						       node->members));
		return;
	}
	routing = pl_routing_build(
		document, node->members, (uint32_t)time(NULL),
		node->settings->traffic == PL_TRAFFIC_FLOWS, &ramping);
	publish_routing_(node, routing);
	watch_neighbours_(node, routing);
	node->rebuild_earliest =
		now + rebuild_pause_ms_(thread_cpu_time_ns_() - start_ns);
	if (ramping)
		pl_timer_arm(pl_node_timers_(node), &node->rebuild,
			     MAX(now + RAMP_STEP_MS, node->rebuild_earliest));
}

void pl_node_schedule_rebuild_(pl_node_t *node)
{
	pl_ms_t due = MAX(pl_node_now_(node) + REBUILD_DELAY_MS,
			  node->rebuild_earliest);

	if (pl_timer_armed(&node->rebuild) && node->rebuild.due <= due)
		return;
	pl_timer_arm(pl_node_timers_(node), &node->rebuild, due);
}

/* Passes the role the policy of the service that its settings name. */
static void publish_policy_(const pl_node_t *node)
{
	const pl_document_t *document = pl_node_config_document(node->config);
	const pl_section_t *section;

	if (!node->role || !node->role_ops->policy || !document)
		return;
	section = pl_document_find(document, node->settings->flows.service);
	if (section)
		node->role_ops->policy(node->role,
				       &pl_section_service(section)->policy);
}

void pl_node_document_in_force_(void *ctx)
{
	pl_node_t *node = ctx;

	pl_member_set_revision(node->members, pl_node_revision(node));
	publish_policy_(node);
	pl_node_schedule_rebuild_(node);
}

void pl_node_routing_init_(pl_node_t *node)
{
	pl_timer_init(&node->rebuild, on_rebuild_, node);
}
