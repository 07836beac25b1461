/**
 * @file
 * Tasks that other threads post to the control thread.
 */
#include "private/node.h"
#include "private/node_post.h"

#include <string.h>

typedef struct {
	pl_node_t *node;
	pl_peer_frame_t frame; /* the body also holds gossip datagrams */
	pl_service_id_t service;
	pl_member_id_t agent;
	uint32_t slots;
	bool serving;
} task_t;

static task_t *task_new_(pl_node_t *node, const uint8_t *bytes, size_t len)
{
	task_t *task = g_new0(task_t, 1);

	task->node = node;
	task->frame.body = g_memdup2(bytes, len);
	task->frame.body_len = len;
	return task;
}

static void task_free_(task_t *task)
{
	g_free((void *)task->frame.body);
	g_free(task);
}

static void run_gossip_(void *ctx)
{
	task_t *task = ctx;

	pl_member_receive(pl_node_members(task->node), task->frame.body,
			  task->frame.body_len);
	task_free_(task);
}

void pl_node_gossip(pl_node_t *node, const uint8_t *bytes, size_t len)
{
	pl_loop_post(pl_node_loop(node), run_gossip_,
		     task_new_(node, bytes, len));
}

static void run_send_frame_(void *ctx)
{
	task_t *task = ctx;

	pl_node_send_frame_on_control_thread(task->node, &task->frame);
	task_free_(task);
}

void pl_node_send_frame(pl_node_t *node, const pl_peer_frame_t *frame)
{
	task_t *task = task_new_(node, frame->body, frame->body_len);

	task->frame.peer = frame->peer;
	task->frame.type = frame->type;
	pl_loop_post(pl_node_loop(node), run_send_frame_, task);
}

static void run_set_backend_(void *ctx)
{
	task_t *task = ctx;

	pl_node_set_backend_on_control_thread(task->node, task->service,
					      task->slots);
	task_free_(task);
}

void pl_node_set_backend(pl_node_t *node, pl_service_id_t service,
			 uint32_t slots)
{
	task_t *task = task_new_(node, NULL, 0);

	task->service = service;
	task->slots = slots;
	pl_loop_post(pl_node_loop(node), run_set_backend_, task);
}

static void run_set_endpoint_(void *ctx)
{
	task_t *task = ctx;

	pl_node_set_endpoint_on_control_thread(task->node, task->service,
					       task->slots, task->serving);
	task_free_(task);
}

void pl_node_set_endpoint(pl_node_t *node, pl_service_id_t service,
			  uint32_t slots, bool serving)
{
	task_t *task = task_new_(node, NULL, 0);

	task->service = service;
	task->slots = slots;
	task->serving = serving;
	pl_loop_post(pl_node_loop(node), run_set_endpoint_, task);
}

static void run_request_roster_(void *ctx)
{
	task_t *task = ctx;

	pl_node_request_roster_on_control_thread(task->node);
	task_free_(task);
}

void pl_node_request_roster(pl_node_t *node)
{
	pl_loop_post(pl_node_loop(node), run_request_roster_,
		     task_new_(node, NULL, 0));
}

static void run_check_agent_(void *ctx)
{
	task_t *task = ctx;

	pl_member_check_liveness(pl_node_members(task->node), task->agent);
	task_free_(task);
}

void pl_node_check_agent(pl_node_t *node, pl_member_id_t agent)
{
	task_t *task = task_new_(node, NULL, 0);

	task->agent = agent;
	pl_loop_post(pl_node_loop(node), run_check_agent_, task);
}

static void run_backend_leaving_(void *ctx)
{
	task_t *task = ctx;

	pl_node_backend_leaving_on_control_thread(task->node);
	task_free_(task);
}

void pl_node_backend_leaving(pl_node_t *node)
{
	pl_loop_post(pl_node_loop(node), run_backend_leaving_,
		     task_new_(node, NULL, 0));
}
