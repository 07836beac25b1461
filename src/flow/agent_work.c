/**
 * @file
 * Slots of the backend server and the queue of work without a slot.
 *
 * A request holds a slot from its delivery to the first packet of its answer.
 * A new flow holds one from its opening packet on, as its first request
 * follows at once. A request that finds no free slot is queued in the agent and
 * not in the server, whose queue could not be reordered. A new flow that may
 * wait is opened without a slot: its caller would otherwise give up the attempt
 * to open it, and its next attempt could not be told from a new request.
 */
#include "private/agent_private.h"

#include <glib.h>
#include <pimentolift/counter.h>
#include <math.h>

/** A new flow whose caller sends nothing loses its reserved slot after this
 * many times the mean time in which callers answer a SYN-ACK: by then the
 * caller has accepted another server or has given up. */
#define RESERVED_TIMES 3
#define RESERVED_MIN_MS 10
#define RESERVED_MAX_MS 150
/** Assumed mean time in which callers answer, before the first measurement. */
#define CALLER_ANSWER_DEFAULT_MS 15
/** A request without an answer loses its slot after this many times the mean
 * request time: its answer was lost, or the server is stuck. On a cold server
 * the slowest requests take about eleven times the mean. */
#define REQUEST_TIMEOUT_TIMES 12
#define REQUEST_TIMEOUT_MIN_MS 500
#define REQUEST_TIMEOUT_MAX_MS 3000
/** Assumed mean request time before the first measurement. */
#define REQUEST_DEFAULT_MS 20
/** An older measurement tells nothing of the present: the next one replaces the
 * mean. A busy server answers many times in this time. */
#define REQUEST_AGE_MAX_MS 2000
/** A measurement has a weight of 1 / MEAN_PARTS in the moving mean. */
#define MEAN_PARTS 16
/** Interval at which queued requests whose callers have given up are dropped,
 * if the server answers nothing. */
#define DROP_INTERVAL_MS 100
#define US_PER_MS 1000

static pl_work_t *work_(flow_t *flow)
{
	return &flow->work;
}

static double caller_answer_ms_(const pl_flow_agent_t *agent)
{
	return agent->caller_answer_ms != 0 ? agent->caller_answer_ms :
					      CALLER_ANSWER_DEFAULT_MS;
}

static double request_ms_(const pl_flow_agent_t *agent)
{
	return agent->request_ms != 0 ? agent->request_ms : REQUEST_DEFAULT_MS;
}

static flow_t *flow_of_(pl_work_t *work)
{
	return PL_CONTAINER_OF(work, flow_t, work);
}

/* Number of requests that the server is working on. */
static uint32_t requests_in_progress_(const pl_flow_agent_t *agent)
{
	return agent->load.busy - agent->slots_reserved;
}

static bool has_slot_(const pl_flow_agent_t *agent)
{
	uint32_t slots = pl_flow_pace_slots_(agent);

	return slots == 0 || requests_in_progress_(agent) < slots;
}

/* Number of new flows that may be admitted beyond the slots. A slot reserved
 * for a new flow is idle until the caller answers the SYN-ACK; this many
 * requests end in that time. */
static uint32_t extra_flows_(const pl_flow_agent_t *agent)
{
	double answer = caller_answer_ms_(agent);

	return (uint32_t)ceil(pl_flow_pace_slots_(agent) * answer /
			      (answer + request_ms_(agent)));
}

static bool has_room_for_flow_(const pl_flow_agent_t *agent)
{
	uint32_t slots = pl_flow_pace_slots_(agent);

	return slots == 0 || agent->load.busy < slots + extra_flows_(agent);
}

bool pl_flow_work_can_start_request_(const pl_flow_agent_t *agent)
{
	return has_slot_(agent) && agent->queue.count == 0;
}

bool pl_flow_work_can_admit_flow_(const pl_flow_agent_t *agent)
{
	return has_room_for_flow_(agent) && agent->queue.count == 0;
}

static void arm_slot_timer_(pl_flow_agent_t *agent, flow_t *flow, pl_ms_t ms)
{
	pl_timer_arm(agent->timers, &flow->slot_timer,
		     pl_flow_agent_now_(agent) + ms);
}

static void set_reserved_(pl_flow_agent_t *agent, flow_t *flow, bool reserved)
{
	if (flow->slot_reserved == reserved)
		return;
	flow->slot_reserved = reserved;
	agent->slots_reserved += reserved ? 1 : -1;
}

static void take_slot_(pl_flow_agent_t *agent, flow_t *flow, pl_ms_t timeout_ms)
{
	pl_ms_t now = pl_flow_agent_now_(agent);

	arm_slot_timer_(agent, flow, timeout_ms);
	if (flow->holds_slot)
		return;
	flow->holds_slot = true;
	flow->slot_since = now;
	pl_load_change(&agent->load, 1, now);
}

uint32_t pl_flow_work_request_ms_(const pl_flow_agent_t *agent)
{
	pl_ms_t age = pl_flow_agent_now_(agent) - agent->request_at;

	return age > REQUEST_AGE_MAX_MS ? 0 : (uint32_t)agent->request_ms;
}

static double update_mean_(double mean, double measured)
{
	return mean == 0 ? measured :
			   (mean * (MEAN_PARTS - 1) + measured) / MEAN_PARTS;
}

void pl_flow_work_reserve_slot_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_ms_t timeout_ms =
		(pl_ms_t)(caller_answer_ms_(agent) * RESERVED_TIMES);

	pl_flow_pace_count_(agent);
	set_reserved_(agent, flow, true);
	take_slot_(agent, flow,
		   CLAMP(timeout_ms, RESERVED_MIN_MS, RESERVED_MAX_MS));
}

void pl_flow_work_flow_opened_(pl_flow_agent_t *agent, flow_t *flow)
{
	if (flow->slot_reserved)
		agent->caller_answer_ms = update_mean_(
			agent->caller_answer_ms,
			(double)(pl_flow_agent_now_(agent) - flow->slot_since));
}

void pl_flow_work_start_request_(pl_flow_agent_t *agent, flow_t *flow)
{
	if (flow->slot_reserved)
		flow->slot_since = pl_flow_agent_now_(agent);
	else
		pl_flow_pace_count_(agent);
	set_reserved_(agent, flow, false);
	flow->request_open = true;
	take_slot_(agent, flow,
		   CLAMP((pl_ms_t)(agent->request_ms * REQUEST_TIMEOUT_TIMES),
			 REQUEST_TIMEOUT_MIN_MS, REQUEST_TIMEOUT_MAX_MS));
}

static void release_slot_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_timer_cancel(agent->timers, &flow->slot_timer);
	set_reserved_(agent, flow, false);
	pl_flow_health_slot_freed_(agent, flow);
	if (!flow->holds_slot)
		return;
	flow->holds_slot = false;
	pl_load_change(&agent->load, -1, pl_flow_agent_now_(agent));
}

static void deliver_pending_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_list_for_each(link, &flow->pending_packets.list) {
		const pl_queued_packet_t *packet =
			PL_CONTAINER_OF(link, pl_queued_packet_t, link);

		agent->ops->deliver(agent->ctx, packet->bytes, packet->len);
	}
	pl_packet_queue_clear(&flow->pending_packets);
}

static bool can_start_(void *ctx, const pl_work_t *work)
{
	(void)work;
	return has_slot_(ctx);
}

static pl_work_query_t make_query_(pl_flow_agent_t *agent)
{
	return (pl_work_query_t){
		.now = pl_flow_agent_now_(agent),
		.request_ms = (pl_ms_t)request_ms_(agent),
		.slots = pl_flow_pace_slots_(agent),
		.can_start = can_start_,
		.ctx = agent,
	};
}

pl_ms_t pl_flow_work_ahead_ms_(pl_flow_agent_t *agent, uint32_t priority,
			       pl_ms_t expires)
{
	const pl_work_query_t query = make_query_(agent);

	return pl_work_queue_ahead_ms(&agent->queue, &query, priority, expires);
}

static flow_t *dequeue_(pl_flow_agent_t *agent)
{
	const pl_work_query_t query = make_query_(agent);
	pl_work_t *work = pl_work_queue_pop(&agent->queue, &query);

	if (!work)
		return NULL;
	pl_histogram_record(PL_HISTOGRAM_QUEUE,
			    (query.now - work->queued_at) * US_PER_MS);
	return flow_of_(work);
}

/* Gives free slots to queued work. */
static void dispatch_queued_(pl_flow_agent_t *agent)
{
	pl_flow_drop_expired_(agent);
	while (has_slot_(agent)) {
		flow_t *flow = dequeue_(agent);

		if (!flow)
			return;
		pl_flow_work_start_request_(agent, flow);
		deliver_pending_(agent, flow);
	}
}

void pl_flow_work_answered_(pl_flow_agent_t *agent, flow_t *flow,
			    uint32_t bytes)
{
	pl_ms_t took = pl_flow_agent_now_(agent) - flow->slot_since;

	/* also a request whose slot has timed out: else the mean of a server
	 * that has become slow would stay what it was */
	if (flow->request_open) {
		pl_histogram_record(PL_HISTOGRAM_REQUEST, took * US_PER_MS);
		agent->request_ms = update_mean_(
			pl_flow_work_request_ms_(agent) ? agent->request_ms : 0,
			(double)took);
		agent->request_at = pl_flow_agent_now_(agent);
		pl_flow_health_answered_(agent, flow, took, bytes);
		pl_flow_pace_answered_(agent, flow, took);
	}
	flow->request_open = false;
	pl_flow_work_free_slot_(agent, flow);
}

void pl_flow_work_free_slot_(pl_flow_agent_t *agent, flow_t *flow)
{
	release_slot_(agent, flow);
	dispatch_queued_(agent);
}

static void on_slot_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	flow_t *flow = PL_CONTAINER_OF(timer, flow_t, slot_timer);

	(void)now;
	pl_flow_health_failed_(ctx, flow, PL_HEALTH_SILENT);
	pl_flow_pace_failed_(ctx, flow);
	pl_flow_work_free_slot_(ctx, flow);
}

static void on_drop_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_flow_agent_t *agent = ctx;

	pl_flow_drop_expired_(agent);
	if (agent->queue.count > 0)
		pl_timer_arm(agent->timers, timer, now + DROP_INTERVAL_MS);
}

void pl_flow_work_enqueue_(pl_flow_agent_t *agent, flow_t *flow, pl_ms_t due,
			   pl_ms_t expires, uint32_t priority)
{
	pl_ms_t now = pl_flow_agent_now_(agent);

	flow->work.due = due;
	flow->work.expires = expires;
	flow->work.priority = priority;
	agent->stats.queued++;
	pl_counter_add(PL_COUNTER_FLOWS_WAITED, 1);
	pl_work_queue_add(&agent->queue, work_(flow), now);
	if (!pl_timer_armed(&agent->drop_timer))
		pl_timer_arm(agent->timers, &agent->drop_timer,
			     now + DROP_INTERVAL_MS);
}

void pl_flow_work_init_(pl_flow_agent_t *agent)
{
	pl_work_queue_init(&agent->queue, agent->params.order);
	pl_timer_init(&agent->drop_timer, on_drop_timer_, agent);
}

void pl_flow_work_flow_init_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_work_init(&flow->work);
	pl_packet_queue_init(&flow->pending_packets);
	pl_timer_init(&flow->slot_timer, on_slot_timer_, agent);
}

void pl_flow_work_discard_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_work_queue_remove(&agent->queue, work_(flow));
	pl_packet_queue_clear(&flow->pending_packets);
	flow->request_open = false;
	release_slot_(agent, flow);
}
