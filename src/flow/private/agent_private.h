/**
 * @file
 * Structures of an agent: its flows (agent_flow.c), what entries send
 * (agent.c) and the backend server (agent_backend.c).
 */
#ifndef PL_FLOW_AGENT_PRIVATE_H
#define PL_FLOW_AGENT_PRIVATE_H

#include "private/flow_table.h"
#include "private/load.h"

#include <pimentolift/flow_agent.h>

/** What is known of one flow. */
typedef enum {
	FLOW_NEW, /**< the opening packet was handed over */
	FLOW_OFFERED, /**< the server answered the opening packet */
	FLOW_OPEN,
	FLOW_TRIAL, /**< a packet is out; it comes back if the flow is not here */
	FLOW_ABSENT, /**< the server handed a packet of it back */
} flow_state_t;

/** A flow. */
typedef struct {
	pl_flow_node_t node;
	flow_state_t state;
	uint32_t first_seq; /**< of the server's answer to the opening packet */
	uint32_t caller_ack; /**< last acknowledgement seen from the caller */
	pl_member_id_t entry; /**< that sent the last packet */
	pl_timer_t trial; /**< until a packet must have come back */
	bool known; /**< the entry took this agent for the owner */
	bool busy; /**< a request is in progress */
} flow_t;

struct pl_flow_agent {
	pl_flow_agent_params_t params;
	const pl_flow_agent_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	pl_flow_table_t *flows;
	pl_load_t load;
	pl_timer_t sweep;
	/* the backend server, agent_backend.c */
	pl_backend_report_t report; /**< last one; id is "" before the first */
	pl_ms_t reported; /**< when */
	bool serving;
	bool watched;
	pl_flow_agent_stats_t stats;
};

/* agent.c */
pl_ms_t pl_flow_agent_now_(const pl_flow_agent_t *agent);
void pl_flow_agent_verdict_(pl_flow_agent_t *agent, pl_member_id_t entry,
			    const pl_flow_key_t *key, pl_flow_verdict_t verdict,
			    const uint8_t *packet, size_t len);

/* agent_flow.c */
/** Record of the flow, a new one if there is none. */
flow_t *pl_flow_get_(pl_flow_agent_t *agent, const pl_flow_key_t *key);
void pl_flow_set_state_(pl_flow_agent_t *agent, flow_t *flow,
			flow_state_t state);
void pl_flow_set_busy_(pl_flow_agent_t *agent, flow_t *flow, bool busy);
void pl_flow_start_trial_(pl_flow_agent_t *agent, flow_t *flow);
/** The packet of a trial did not come back: the flow is here. */
void pl_flow_trial_done_(pl_flow_agent_t *agent, flow_t *flow);
void pl_flow_released_(void *ctx, pl_flow_node_t *node);

/* agent_backend.c */
void pl_flow_backend_init_(pl_flow_agent_t *agent);
/** Whether opening packets may be handed over now. */
bool pl_flow_backend_takes_(const pl_flow_agent_t *agent);

#endif
