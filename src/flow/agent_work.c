/**
 * @file
 * Slots of the backend server, and the work that waits for one.
 *
 * A request occupies a slot from its first packet to the first packet of its
 * answer; a new flow occupies one from its opening packet on, as its first
 * request follows at once. What finds no slot waits here and not in the
 * server, where nothing could pass it.
 */
#include "private/agent_private.h"

#include <glib.h>
#include <pimentolift/counter.h>
#include <math.h>

/** A new flow whose caller sends nothing loses its slot after so many times
 * the usual answer of a caller: by then it has taken another server's offer,
 * or has gone. */
#define ANSWER_TIMES 3
#define RESERVED_MIN_MS 10
#define RESERVED_MAX_MS 150
/** Answer time of callers that was not measured yet. */
#define ANSWER_DEFAULT_MS 15
/** A request without an answer loses its slot after so many times the mean:
 * its answer was lost, or the server is stuck. The tail of the work is about
 * eleven times as long as its mean on a cold server. */
#define BUSY_TIMES 12
#define BUSY_MIN_MS 500
#define BUSY_MAX_MS 3000
/** Work that was not measured yet counts as this long. */
#define WORK_DEFAULT_MS 20
/** Weight of one measurement in a mean, as a part. */
#define MEAN_PARTS 16
/** An opening packet that waits this long is handed back to its entry, which
 * may know a server with less work by now. */
#define OPENING_WAIT_MS 120
#define OPENING_CHECK_MS 20
#define US_PER_MS 1000

static pl_work_t *work_(flow_t *flow)
{
	return &flow->work;
}

static double answer_ms_(const pl_flow_agent_t *agent)
{
	return agent->answer_ms != 0 ? agent->answer_ms : ANSWER_DEFAULT_MS;
}

static double work_ms_(const pl_flow_agent_t *agent)
{
	return agent->work_ms != 0 ? agent->work_ms : WORK_DEFAULT_MS;
}

static flow_t *flow_of_(pl_work_t *work)
{
	return PL_CONTAINER_OF(work, flow_t, work);
}

/* Requests that the server works on. */
static uint32_t working_(const pl_flow_agent_t *agent)
{
	return agent->load.busy - agent->reserved;
}

static bool has_slot_(const pl_flow_agent_t *agent)
{
	return agent->load.slots == 0 || working_(agent) < agent->load.slots;
}

/* New flows that may be on their way beside those that are worked on: while
 * a caller answers, the server would be idle, and this many requests end in
 * that time. */
static uint32_t ahead_(const pl_flow_agent_t *agent)
{
	double answer = answer_ms_(agent);

	return (uint32_t)ceil(agent->load.slots * answer /
			      (answer + work_ms_(agent)));
}

static bool has_opening_(const pl_flow_agent_t *agent)
{
	return agent->load.slots == 0 ||
	       agent->load.busy + agent->requests_waiting <
		       agent->load.slots + ahead_(agent);
}

bool pl_flow_work_has_room_(const pl_flow_agent_t *agent)
{
	return has_slot_(agent) && agent->queue.count == 0;
}

bool pl_flow_work_has_opening_(const pl_flow_agent_t *agent)
{
	return has_opening_(agent) && agent->queue.count == 0;
}

static void arm_slot_(pl_flow_agent_t *agent, flow_t *flow, pl_ms_t ms)
{
	pl_timer_arm(agent->timers, &flow->slot,
		     pl_flow_agent_now_(agent) + ms);
}

static void set_reserved_(pl_flow_agent_t *agent, flow_t *flow, bool reserved)
{
	if (flow->reserved == reserved)
		return;
	flow->reserved = reserved;
	agent->reserved += reserved ? 1 : -1;
}

static void take_(pl_flow_agent_t *agent, flow_t *flow, pl_ms_t most)
{
	pl_ms_t now = pl_flow_agent_now_(agent);

	arm_slot_(agent, flow, most);
	if (flow->busy)
		return;
	flow->busy = true;
	flow->busy_since = now;
	pl_load_change(&agent->load, 1, now);
}

static double mean_(double mean, double measured)
{
	return mean == 0 ? measured :
			   (mean * (MEAN_PARTS - 1) + measured) / MEAN_PARTS;
}

void pl_flow_work_reserve_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_ms_t most = (pl_ms_t)(answer_ms_(agent) * ANSWER_TIMES);

	set_reserved_(agent, flow, true);
	take_(agent, flow, CLAMP(most, RESERVED_MIN_MS, RESERVED_MAX_MS));
}

void pl_flow_work_opened_(pl_flow_agent_t *agent, flow_t *flow)
{
	if (flow->reserved)
		agent->answer_ms = mean_(
			agent->answer_ms,
			(double)(pl_flow_agent_now_(agent) - flow->busy_since));
}

void pl_flow_work_start_(pl_flow_agent_t *agent, flow_t *flow)
{
	if (flow->reserved)
		flow->busy_since = pl_flow_agent_now_(agent);
	set_reserved_(agent, flow, false);
	take_(agent, flow,
	      CLAMP((pl_ms_t)(agent->work_ms * BUSY_TIMES), BUSY_MIN_MS,
		    BUSY_MAX_MS));
}

static void release_slot_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_timer_cancel(agent->timers, &flow->slot);
	set_reserved_(agent, flow, false);
	if (!flow->busy)
		return;
	flow->busy = false;
	pl_load_change(&agent->load, -1, pl_flow_agent_now_(agent));
}

static void deliver_held_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_list_for_each(link, &flow->held.list) {
		const pl_parked_t *parked =
			PL_CONTAINER_OF(link, pl_parked_t, link);

		agent->ops->deliver(agent->ctx, parked->bytes, parked->len);
	}
	pl_parking_clear(&flow->held);
}

/* A new flow may go ahead while the slots are taken, a request may not. */
static bool fits_(void *ctx, const pl_work_t *work)
{
	const pl_flow_agent_t *agent = ctx;
	const flow_t *flow = PL_CONTAINER_OF(work, flow_t, work);

	return flow->state == FLOW_NEW ? has_opening_(agent) : has_slot_(agent);
}

/* A flow that waited has its turn, or is given up. */
static void dequeued_(pl_flow_agent_t *agent, flow_t *flow)
{
	if (!flow->request_waits)
		return;
	flow->request_waits = false;
	agent->requests_waiting--;
}

static flow_t *next_(pl_flow_agent_t *agent)
{
	const pl_work_ask_t ask = {
		.now = pl_flow_agent_now_(agent),
		.work_ms = (pl_ms_t)work_ms_(agent),
		.fits = fits_,
		.ctx = agent,
	};
	pl_work_t *work = pl_work_queue_next(&agent->queue, &ask);

	if (!work)
		return NULL;
	pl_histogram_record(PL_HISTOGRAM_QUEUE,
			    (ask.now - work->since) * US_PER_MS);
	dequeued_(agent, flow_of_(work));
	return flow_of_(work);
}

/* Gives free slots to what waits. */
static void pump_(pl_flow_agent_t *agent)
{
	while (has_opening_(agent) || has_slot_(agent)) {
		flow_t *flow = next_(agent);

		if (!flow)
			return;
		if (flow->state == FLOW_NEW)
			pl_flow_work_reserve_(agent, flow);
		else
			pl_flow_work_start_(agent, flow);
		deliver_held_(agent, flow);
	}
}

void pl_flow_work_answered_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_ms_t took = pl_flow_agent_now_(agent) - flow->busy_since;

	if (flow->busy && !flow->reserved) {
		pl_histogram_record(PL_HISTOGRAM_REQUEST, took * US_PER_MS);
		agent->work_ms = mean_(agent->work_ms, (double)took);
	}
	pl_flow_work_end_(agent, flow);
}

void pl_flow_work_end_(pl_flow_agent_t *agent, flow_t *flow)
{
	release_slot_(agent, flow);
	pump_(agent);
}

static void slot_over_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)now;
	pl_flow_work_end_(ctx, PL_CONTAINER_OF(timer, flow_t, slot));
}

/* Hands opening packets back that have waited for long. */
static void check_openings_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_flow_agent_t *agent = ctx;

	pl_list_for_each_safe(link, &agent->queue.waiting) {
		flow_t *flow = flow_of_(PL_CONTAINER_OF(link, pl_work_t, link));
		const pl_parked_t *parked = pl_parking_first(&flow->held);

		if (flow->state != FLOW_NEW ||
		    now - flow->work.since < OPENING_WAIT_MS)
			continue;
		agent->stats.refused++;
		pl_flow_agent_verdict_(agent, flow->entry, &flow->node.key,
				       PL_FLOW_REFUSED, parked->bytes,
				       parked->len);
		pl_flow_table_remove(agent->flows, &flow->node);
	}
	if (agent->queue.count > 0)
		pl_timer_arm(agent->timers, timer, now + OPENING_CHECK_MS);
}

void pl_flow_work_wait_(pl_flow_agent_t *agent, flow_t *flow, pl_ms_t due,
			uint32_t priority)
{
	pl_ms_t now = pl_flow_agent_now_(agent);

	flow->work.due = due;
	flow->work.priority = priority;
	agent->stats.waited++;
	pl_counter_add(PL_COUNTER_FLOWS_WAITED, 1);
	if (flow->state != FLOW_NEW) {
		flow->request_waits = true;
		agent->requests_waiting++;
	}
	pl_work_queue_add(&agent->queue, work_(flow), now);
	if (!pl_timer_armed(&agent->check))
		pl_timer_arm(agent->timers, &agent->check,
			     now + OPENING_CHECK_MS);
}

void pl_flow_work_init_(pl_flow_agent_t *agent)
{
	pl_work_queue_init(&agent->queue, agent->params.order);
	pl_timer_init(&agent->check, check_openings_, agent);
}

void pl_flow_work_flow_init_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_work_init(&flow->work);
	pl_parking_init(&flow->held);
	pl_timer_init(&flow->slot, slot_over_, agent);
}

void pl_flow_work_forget_(pl_flow_agent_t *agent, flow_t *flow)
{
	pl_work_queue_remove(&agent->queue, work_(flow));
	dequeued_(agent, flow);
	pl_parking_clear(&flow->held);
	release_slot_(agent, flow);
}
