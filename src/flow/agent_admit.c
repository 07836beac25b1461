/**
 * @file
 * Admission of new flows, and the end of queued work whose caller has left.
 */
#include "private/agent_private.h"

#include <glib.h>
#include <pimentolift/balance/admit.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>

void pl_flow_refuse_(pl_flow_agent_t *agent, const pl_flow_message_t *message,
		     pl_reason_t reason)
{
	agent->stats.refused++;
	pl_counter_add(PL_COUNTER_FLOWS_HANDED_BACK, 1);
	pl_flow_agent_send_refusal_(agent, message->sender, &message->flow,
				    reason, message->packet,
				    message->packet_len);
}

static void refuse_hopeless_(pl_flow_agent_t *agent,
			     const pl_flow_message_t *message,
			     const pl_admit_query_t *query)
{
	char text[PL_FLOW_TEXT_MAX];

	pl_counter_add(PL_COUNTER_FLOWS_HOPELESS, 1);
	pl_event(PL_EVENT_FLOW_REFUSED,
		 "%s: %s, %" G_GUINT64_FORMAT " ms left, %" G_GUINT64_FORMAT
		 " ms of work ahead",
		 pl_flow_format(&message->flow, text),
		 pl_reason_name(PL_REASON_HOPELESS), query->left_ms,
		 query->ahead_ms);
	pl_flow_refuse_(agent, message, PL_REASON_HOPELESS);
}

pl_ms_t pl_flow_expires_(const pl_flow_agent_t *agent,
			 const pl_flow_message_t *message)
{
	return message->timeout_ms == 0 ?
		       0 :
		       pl_flow_agent_now_(agent) + message->timeout_ms;
}

bool pl_flow_admit_(pl_flow_agent_t *agent, const pl_flow_message_t *message,
		    bool *waits)
{
	const pl_admit_query_t query = {
		.room = pl_flow_work_can_admit_flow_(agent),
		.last_offer = (message->flags & PL_FLOW_LAST_OFFER) != 0,
		.ahead_ms = pl_flow_work_ahead_ms_(
			agent, message->priority,
			pl_flow_expires_(agent, message)),
		.request_ms = (pl_ms_t)agent->request_ms,
		.left_ms = message->timeout_ms,
	};
	const pl_admit_decision_t decision = pl_admit_decide(&query);

	*waits = decision.result == PL_ADMIT_WAIT;
	if (decision.result == PL_ADMIT_REFUSE)
		refuse_hopeless_(agent, message, &query);
	else if (decision.result == PL_ADMIT_HAND_BACK)
		pl_flow_refuse_(agent, message, decision.reason);
	return *waits || decision.result == PL_ADMIT_NOW;
}

static void log_dropped_(const pl_flow_agent_t *agent, const flow_t *flow,
			 const char *cause)
{
	char text[PL_FLOW_TEXT_MAX];

	pl_counter_add(PL_COUNTER_FLOWS_CALLER_LEFT, 1);
	pl_event(PL_EVENT_REQUEST_DROPPED,
		 "%s: %s %s after %" G_GUINT64_FORMAT " ms in the queue",
		 pl_flow_format(&flow->node.key, text),
		 pl_reason_name(PL_REASON_CALLER_LEFT), cause,
		 pl_flow_agent_now_(agent) - flow->work.queued_at);
}

void pl_flow_caller_left_(pl_flow_agent_t *agent, flow_t *flow,
			  const char *cause)
{
	log_dropped_(agent, flow, cause);
	flow->request_end_valid = false;
	pl_flow_work_discard_(agent, flow);
}

bool pl_flow_drop_copy_(flow_t *flow, const pl_packet_t *packet)
{
	uint32_t end = packet->seq + packet->data_len;

	if (!flow->request_expired || packet->data_len == 0)
		return false;
	if ((int32_t)(end - flow->request_end) <= 0) {
		pl_counter_add(PL_COUNTER_FLOWS_COPY_DROPPED, 1);
		return true;
	}
	/* a new request: the server needs the bytes before it, too */
	flow->request_expired = false;
	return false;
}

void pl_flow_drop_expired_(pl_flow_agent_t *agent)
{
	pl_ms_t now = pl_flow_agent_now_(agent);
	pl_work_t *work;

	while ((work = pl_work_queue_expired(&agent->queue, now))) {
		flow_t *flow = PL_CONTAINER_OF(work, flow_t, work);

		log_dropped_(agent, flow, "at its deadline");
		/* the caller of a request that followed still waits: what it
		 * sends again counts as new */
		flow->request_expired = !flow->request_follows;
		flow->request_end_valid = flow->request_expired;
		pl_flow_work_discard_(agent, flow);
	}
}
