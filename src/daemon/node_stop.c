/**
 * @file
 * Graceful shutdown of a process.
 */
#include "private/node_state.h"

#include <pimentolift/event.h>

/** Interval at which a shutdown checks whether it is complete. */
#define STOP_POLL_MS 50
/** Time that a process keeps running after it has sent its leave message. */
#define LEAVE_WAIT_MS 1500
/** An agent of flows exits earlier: its backend server keeps serving and needs
 * the agent's successor. */
#define FLOW_AGENT_LEAVE_WAIT_MS 50

static void start_drain_(pl_node_t *node)
{
	if (node->phase != NODE_RUNNING)
		return;
	node->phase = NODE_DRAINING;
	node->attr.endpoint = PL_ENDPOINT_DRAINING;
	pl_member_set_attributes(node->members, &node->attr);
	pl_event(PL_EVENT_DRAIN_STARTED, "%s", node->settings->name);
	node->role_ops->drain(node->role);
}

void pl_node_drain(pl_node_t *node)
{
	start_drain_(node);
}

/* An entry sends its leave message when the drain starts, so that agents send
 * responses through other entries. An agent sends it after it has drained,
 * because other agents pass datagrams on to it until then. */
void pl_node_stop(pl_node_t *node)
{
	if (node->stopping)
		return;
	node->stopping = true;
	node->stop_started = pl_node_now_(node);
	pl_event(PL_EVENT_STOPPING, "%s", node->settings->name);
	start_drain_(node);
	if (node->settings->role == PL_ROLE_ENTRY)
		pl_member_leave(node->members);
	pl_timer_arm(pl_node_timers_(node), &node->stop_poll,
		     pl_node_now_(node));
}

static void start_leaving_(pl_node_t *node, bool drained)
{
	node->phase = NODE_LEAVING;
	node->leave_started = pl_node_now_(node);
	if (drained)
		pl_event(PL_EVENT_DRAIN_DONE, "%s", node->settings->name);
	if (node->settings->role == PL_ROLE_AGENT)
		pl_member_leave(node->members);
}

/* Time for the leave message to spread. An entry of flows needs none, because
 * it has sent its leave message before its routers noticed the drain. */
static pl_ms_t leave_wait_ms_(const pl_node_t *node)
{
	if (node->settings->traffic != PL_TRAFFIC_FLOWS)
		return LEAVE_WAIT_MS;
	return node->settings->role == PL_ROLE_AGENT ?
		       FLOW_AGENT_LEAVE_WAIT_MS :
		       0;
}

static void on_stop_poll_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_t *node = ctx;
	bool drained = node->role_ops->drained(node->role);
	bool expired =
		now - node->stop_started >= node->settings->stop_timeout_ms;

	if (node->phase == NODE_DRAINING && (drained || expired))
		start_leaving_(node, drained);
	if (node->phase == NODE_LEAVING &&
	    now - node->leave_started >= leave_wait_ms_(node)) {
		pl_loop_stop(node->loop);
		return;
	}
	pl_timer_arm(pl_node_timers_(node), timer, now + STOP_POLL_MS);
}

void pl_node_stop_init_(pl_node_t *node)
{
	pl_timer_init(&node->stop_poll, on_stop_poll_, node);
}
