/**
 * @file
 * Internal structures of the flow agent: flow records (agent_flow.c), messages of
 * entries (agent.c), packets of the backend server (agent_server.c), slots and
 * queued work (agent_work.c), load reports to entries (agent_report.c), the pace
 * of a started or cold server (agent_pace.c), the health of the server
 * (agent_health.c) and its state (agent_backend.c).
 */
#ifndef PL_FLOW_AGENT_PRIVATE_H
#define PL_FLOW_AGENT_PRIVATE_H

#include "private/flow_table.h"
#include <pimentolift/balance/cold_gate.h>
#include <pimentolift/balance/health.h>
#include <pimentolift/balance/load.h>
#include <pimentolift/balance/pace.h>
#include "private/packet_queue.h"
#include "private/seq_range.h"
#include <pimentolift/balance/work_queue.h>

#include <glib.h>
#include <pimentolift/flow_agent.h>

/** State of a flow record. */
typedef enum {
	FLOW_NEW, /**< an opening packet was delivered or is queued */
	FLOW_OFFERED, /**< the server has answered the opening packet */
	FLOW_OPEN, /**< the server holds the flow */
	/** A packet was delivered as a probe; the server hands it back if it
	 * does not hold the flow. */
	FLOW_PROBING,
	FLOW_ABSENT, /**< the server does not hold the flow */
} flow_state_t;

/** Names of @ref flow_state_t, indexed by its values. */
extern const char *const pl_flow_state_names_[];

/** Record of one flow. */
typedef struct {
	pl_flow_node_t node;
	flow_state_t state;
	/** Sequence numbers of the server: only packets that acknowledge one of
	 * them are of this flow. */
	pl_seq_range_t server_seqs;
	/** Sequence numbers of the caller: only opening packets with the first of
	 * them are of this flow. */
	pl_seq_range_t caller_seqs;
	uint32_t caller_ack; /**< last acknowledgement of the caller */
	pl_member_id_t entry; /**< entry that sent the last packet */
	pl_timer_t probe_timer; /**< end of the probe */
	uint32_t request_end; /**< sequence number after the last request */
	bool request_end_valid; /**< @c request_end is valid */
	/** The last request was dropped at its deadline: copies of it come from
	 * a stack whose caller has given up. */
	bool request_expired;
	/** Another request came while the last one to be queued was waiting. */
	bool request_follows;
	/** A packet of the caller or the server has shown that the server
	 * holds the flow; a probe that was not handed back only makes
	 * it likely. */
	bool confirmed;
	/** When the server first got a probe of the flow; 0: never, or it has
	 * shown since that it holds the flow. */
	pl_ms_t probed_at;
	bool forwarded_as_known; /**< forwarded with PL_FLOW_OWNER_KNOWN */
	bool entry_keeps_copy; /**< the entry keeps copies of its packets */
	/** When the opening packet was delivered or the server last sent a packet
	 * of the flow. */
	pl_ms_t held_at;
	bool closed; /**< the caller or the server closed or reset it */
	bool ended; /**< both closed it, or one reset it */
	bool caller_closed; /**< the caller sent a FIN */
	bool server_closed; /**< the server sent a FIN */
	/* agent_work.c */
	bool holds_slot; /**< the flow holds a slot */
	bool slot_reserved; /**< the slot is for a request yet to arrive */
	pl_ms_t slot_since; /**< time of the reservation or the request */
	pl_timer_t slot_timer; /**< timeout of the slot */
	bool request_open; /**< a request was delivered and is not answered */
	bool health_probe; /**< opened to probe an ejected server */
	/** Due time of the first request; 0 once that request has arrived. */
	pl_ms_t request_due;
	pl_work_t work;
	pl_packet_queue_t
		pending_packets; /**< kept until the flow gets a slot */
} flow_t;

struct pl_flow_agent {
	pl_flow_agent_params_t params;
	const pl_flow_agent_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	pl_flow_table_t *flows;
	pl_load_t load;
	pl_timer_t expiry_timer;
	uint32_t slots_reserved; /**< slots for requests yet to arrive */
	/* agent_report.c */
	GArray *entries; /**< entry_t, the entries that sent packets recently */
	pl_timer_t load_report_timer;
	pl_work_queue_t queue;
	pl_timer_t drop_timer; /**< next check for callers that gave up */
	/** Mean time from a request to its answer; 0 before the first. */
	double request_ms;
	pl_ms_t request_at; /**< when @c request_ms was last measured */
	/** Mean time from the delivery of an opening packet to the caller's
	 * next packet; 0 before the first. */
	double caller_answer_ms;
	/* agent_pace.c */
	pl_pace_t pace;
	pl_cold_gate_t cold_gate;
	pl_ms_t warmup_ms; /**< time that a server is cold after its return */
	/* agent_health.c */
	pl_health_t health;
	bool end_counted; /**< the end of the reported process */
	/* agent_backend.c */
	pl_backend_report_t report; /**< the last one; id is "" before it */
	pl_ms_t report_at; /**< arrival of the last report */
	/** Last report of a process that by its clock started before the known
	 * one, and that has reported since then; id is "" if there is none. */
	pl_backend_report_t earlier;
	pl_ms_t earlier_since; /**< arrival of the first report of @c earlier */
	pl_ms_t started_at; /**< start of this agent */
	/** When the server last refused a connection; 0: never. */
	pl_ms_t refused_at;
	bool serving; /**< according to the last report */
	bool backend_left; /**< the reported process has announced its end */
	/** A packet or report of the server has arrived since the start of the
	 * agent or since the last server ended. */
	bool backend_seen;
	/** The server sent a packet of its own since the agent's start, rather
	 * than only handed packets back. */
	bool backend_spoke;
	bool left_roster; /**< deregistered for want of a server */
	bool backend_down; /**< the server has ended and no new one was seen */
	bool evacuated; /**< the data centre gets no new flows */
	bool flows_complete; /**< every flow of the server had a record */
	/** When the record of a flow that may be open was last evicted; 0: never
	 * since the server's start. */
	pl_ms_t evicted_at;
	pl_flow_agent_stats_t stats;
};

/* agent.c */
pl_ms_t pl_flow_agent_now_(const pl_flow_agent_t *agent);
void pl_flow_agent_send_verdict_(pl_flow_agent_t *agent, pl_member_id_t entry,
				 const pl_flow_key_t *key,
				 pl_flow_verdict_t verdict,
				 const uint8_t *packet, size_t len);
/** Returns an opening packet to its entry. */
void pl_flow_agent_send_refusal_(pl_flow_agent_t *agent, pl_member_id_t entry,
				 const pl_flow_key_t *key, pl_reason_t reason,
				 const uint8_t *packet, size_t len);

pl_endpoint_load_t pl_flow_agent_load_(const pl_flow_agent_t *agent);

/* agent_evacuate.c */
/** Handles an opening packet, of the known @p flow or NULL, while the data centre
 * is evacuated. */
void pl_flow_evacuate_opening_(pl_flow_agent_t *agent, const flow_t *flow,
			       const pl_flow_message_t *message);

/* agent_report.c */
void pl_flow_load_report_init_(pl_flow_agent_t *agent);
void pl_flow_load_report_finish_(pl_flow_agent_t *agent);
/** Records that the entry @p id sent a packet. */
void pl_flow_load_report_add_entry_(pl_flow_agent_t *agent, pl_member_id_t id);
/** Sends a message that carries the load to the entry @p id. */
void pl_flow_load_report_send_(pl_flow_agent_t *agent, pl_member_id_t id,
			       const pl_flow_message_t *message);

/* agent_flow.c */
/** Returns the record of the flow, or NULL. */
flow_t *pl_flow_find_(const pl_flow_agent_t *agent, const pl_flow_key_t *key);
/** Returns the record of the flow, a new one if there is none. */
flow_t *pl_flow_get_or_add_(pl_flow_agent_t *agent, const pl_flow_key_t *key);
/** Whether a packet of the caller that acknowledges @p ack is of the recorded flow.
 * It may be of another one: an opening packet is offered to several servers, of
 * which the caller answers one, and callers use ports again. A packet without an
 * acknowledgement is of a flow that has not ended. */
bool pl_flow_acknowledges_(const flow_t *flow, uint32_t ack);
void pl_flow_set_state_(pl_flow_agent_t *agent, flow_t *flow,
			flow_state_t state);

void pl_flow_start_probe_(pl_flow_agent_t *agent, flow_t *flow);
/** Ends a probe that was not handed back: the server is presumed to hold the
 * flow. */
void pl_flow_probe_succeeded_(pl_flow_agent_t *agent, flow_t *flow);
/** Records that the server has shown that it holds the flow; the entry is told
 * if the flow was probed. */
void pl_flow_confirm_(pl_flow_agent_t *agent, flow_t *flow);
/** Time since the server got a probe of the flow that it has not shown to hold,
 * in ms, at least 1; else 0. */
uint32_t pl_flow_probed_ms_(const pl_flow_agent_t *agent, const flow_t *flow);
void pl_flow_on_release_(void *ctx, pl_flow_node_t *node);
/** Called before the record of a flow that may be open is evicted. */
void pl_flow_on_evict_(void *ctx, pl_flow_node_t *node);
/** Replaces what is recorded of a flow by the record of another one of the same
 * addresses and ports, of which nothing is known yet; its state is FLOW_NEW. */
void pl_flow_replace_(pl_flow_agent_t *agent, flow_t *flow);
/** Records a FIN or RST of the side whose flag is @p closed. */
void pl_flow_note_end_(pl_flow_agent_t *agent, flow_t *flow,
		       const pl_packet_t *packet, bool *closed);

/* agent_work.c */
void pl_flow_work_init_(pl_flow_agent_t *agent);
void pl_flow_work_flow_init_(pl_flow_agent_t *agent, flow_t *flow);
/** Whether a request may be delivered without queueing. */
bool pl_flow_work_can_start_request_(const pl_flow_agent_t *agent);
/** Whether a new flow's opening packet may be delivered without queueing. */
bool pl_flow_work_can_admit_flow_(const pl_flow_agent_t *agent);
/** Takes a slot for the first request of a new flow, ahead of its arrival. */
void pl_flow_work_reserve_slot_(pl_flow_agent_t *agent, flow_t *flow);
/** Measures the time until the caller answered the server's SYN-ACK. */
void pl_flow_work_flow_opened_(pl_flow_agent_t *agent, flow_t *flow);
/** Takes a slot for a request; a flow that holds one keeps it. */
void pl_flow_work_start_request_(pl_flow_agent_t *agent, flow_t *flow);
/** Queues the flow, with its pending packets, for a slot. */
void pl_flow_work_enqueue_(pl_flow_agent_t *agent, flow_t *flow, pl_ms_t due,
			   pl_ms_t expires, uint32_t priority);
/** Mean time of a request; 0 if none was measured recently. */
uint32_t pl_flow_work_request_ms_(const pl_flow_agent_t *agent);
/** Time in which queued work is started that goes ahead of a flow. */
pl_ms_t pl_flow_work_ahead_ms_(pl_flow_agent_t *agent, uint32_t priority,
			       pl_ms_t expires);
/** Frees the slot when the answer begins, and measures the request. */
void pl_flow_work_answered_(pl_flow_agent_t *agent, flow_t *flow,
			    uint32_t bytes);
/** Frees the slot and gives it to queued work. */
void pl_flow_work_free_slot_(pl_flow_agent_t *agent, flow_t *flow);
/** Drops the flow's slot, queue place and pending packets. */
void pl_flow_work_discard_(pl_flow_agent_t *agent, flow_t *flow);

/* agent_admit.c */
/** When the caller of the message's request gives up; 0: unknown. */
pl_ms_t pl_flow_expires_(const pl_flow_agent_t *agent,
			 const pl_flow_message_t *message);
/** Whether an opening packet is accepted; sets @p waits if it is to be queued.
 * Otherwise it was returned to its entry. */
bool pl_flow_admit_(pl_flow_agent_t *agent, const pl_flow_message_t *message,
		    bool *waits);
/** Returns an opening packet to its entry for @p reason. */
void pl_flow_refuse_(pl_flow_agent_t *agent, const pl_flow_message_t *message,
		     pl_reason_t reason);
/** Drops the queued request of a flow that its caller has left. */
void pl_flow_caller_left_(pl_flow_agent_t *agent, flow_t *flow,
			  const char *cause);
/** Returns whether the packet is a copy of a request that was dropped at its
 * deadline; such a copy is dropped as well, until the flow carries another
 * request. */
bool pl_flow_drop_copy_(flow_t *flow, const pl_packet_t *packet);
/** Drops queued work whose callers have given up. */
void pl_flow_drop_expired_(pl_flow_agent_t *agent);

/* agent_pace.c */
void pl_flow_pace_init_(pl_flow_agent_t *agent);
/** Requests that the server may be given at once; 0: no limit is known. */
uint32_t pl_flow_pace_slots_(const pl_flow_agent_t *agent);
/** Whether a cold server bears one more opening packet now. */
bool pl_flow_pace_admits_flow_(const pl_flow_agent_t *agent);
/** Counts a new flow, or a request on an open one, as delivered. */
void pl_flow_pace_count_(pl_flow_agent_t *agent);
/** A server process has started, or one that was not known reports. */
void pl_flow_pace_server_started_(pl_flow_agent_t *agent);
/** The last report of the server has been stored. */
void pl_flow_pace_reported_(pl_flow_agent_t *agent);
/** The data centre of the server is no longer evacuated. */
void pl_flow_pace_returned_(pl_flow_agent_t *agent);
/** Returns an opening packet that is too much for a cold server. */
void pl_flow_pace_refuse_cold_(pl_flow_agent_t *agent,
			       const pl_flow_message_t *message);
/** The server answered a request of @p flow after @p took_ms. */
void pl_flow_pace_answered_(pl_flow_agent_t *agent, const flow_t *flow,
			    pl_ms_t took_ms);
/** The request of @p flow, if it has one, ends without an answer. */
/** Kind of the flow's requests: their address. */
uint64_t pl_flow_pace_kind_(const flow_t *flow);
/** Gives the server work step by step from now on. */
void pl_flow_pace_start_(pl_flow_agent_t *agent, const char *why);
void pl_flow_pace_failed_(pl_flow_agent_t *agent, const flow_t *flow);
/** Fills in the fields of @p load and of @p stats that the pace gives. */
void pl_flow_pace_add_load_(const pl_flow_agent_t *agent,
			    pl_endpoint_load_t *load);
void pl_flow_pace_add_stats_(const pl_flow_agent_t *agent,
			     pl_flow_agent_stats_t *stats);

/* agent_backend.c */
void pl_flow_backend_init_(pl_flow_agent_t *agent);
/** Whether no backend server runs, or one that is leaving: it neither listens
 * nor reports. */
bool pl_flow_backend_is_gone_(const pl_flow_agent_t *agent);
/** Whether the server does not listen and may count as gone later. */
bool pl_flow_backend_is_silent_(const pl_flow_agent_t *agent);
/** Whether the backend server drains and has not ended yet. */
bool pl_flow_backend_is_draining_(const pl_flow_agent_t *agent);
/** Whether a flow without a record is not held by the server. */
bool pl_flow_backend_knows_all_flows_(const pl_flow_agent_t *agent);
/** Whether the backend server accepts opening packets now. */
bool pl_flow_backend_accepts_(const pl_flow_agent_t *agent);

/* agent_health.c */
void pl_flow_health_init_(pl_flow_agent_t *agent);
/** The server has begun to answer a request, with @p bytes of data. Comes before
 * pl_flow_pace_answered_(). */
void pl_flow_health_answered_(pl_flow_agent_t *agent, const flow_t *flow,
			      pl_ms_t took_ms, uint32_t bytes);
/** The server did not answer the request of @p flow in time, or reset it. */
void pl_flow_health_failed_(pl_flow_agent_t *agent, const flow_t *flow,
			    pl_health_cause_t cause);
/** The server handed an opening packet back. */
void pl_flow_health_refused_(pl_flow_agent_t *agent);
/** The reported process has ended, as it had announced if it was draining. May
 * come more than once for a process. */
void pl_flow_health_ended_(pl_flow_agent_t *agent);
/** Whether the opening packet may go to the server. */
bool pl_flow_health_admits_(const pl_flow_agent_t *agent,
			    const pl_flow_message_t *message);
/** The opening packet of @p flow goes to the server, and holds a slot. */
void pl_flow_health_slot_reserved_(pl_flow_agent_t *agent, flow_t *flow);
/** The flow holds no slot any more. */
void pl_flow_health_slot_freed_(pl_flow_agent_t *agent, flow_t *flow);
/** Returns an opening packet to its entry, as the server is ejected. */
void pl_flow_health_refuse_(pl_flow_agent_t *agent,
			    const pl_flow_message_t *message);
void pl_flow_health_add_load_(const pl_flow_agent_t *agent,
			      pl_endpoint_load_t *load);

#endif
