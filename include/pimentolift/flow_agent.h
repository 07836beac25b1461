/**
 * @file
 * @defgroup flow_agent Flow agent of a backend server
 *
 * Proxy in front of one backend server. All packets to and from the server
 * pass it, so it knows which flows the server holds, which flows are dead
 * because the server was restarted, and the server's load. It accepts an
 * opening packet only while the server reports that it serves, rejects packets
 * of other services, and delivers only packets of flows that the server can
 * hold. It uses no sockets, threads or clock of its own.
 * @{
 */
#ifndef PIMENTOLIFT_FLOW_AGENT_H
#define PIMENTOLIFT_FLOW_AGENT_H

#include <pimentolift/backend_report.h>
#include <pimentolift/balance/health.h>
#include <pimentolift/flow.h>
#include <pimentolift/timer.h>
#include <pimentolift/balance/work_queue.h>

typedef struct pl_flow_agent pl_flow_agent_t;

typedef struct {
	pl_member_id_t self;
	pl_service_id_t service;
	pl_datacentre_id_t datacentre;
	pl_addr_t backend; /**< address of the backend server */
	/** Idle time after which the record of a flow may be deleted. */
	uint32_t flow_idle_max_ms;
	size_t flows_max; /**< capacity for records of flows */
	uint32_t report_ms; /**< interval of the backend server's reports */
	const pl_packet_ops_t *packets;
	/** Scheduling policy for queued requests and flows. */
	const pl_work_order_t *order;
} pl_flow_agent_params_t;

/** Callbacks to the owner of the agent. */
typedef struct {
	/** Delivers a packet to the backend server. */
	void (*deliver)(void *ctx, const uint8_t *bytes, size_t len);
	/** Sends a packet to the caller of @p flow. */
	void (*send_to_caller)(void *ctx, const pl_flow_key_t *flow,
			       const uint8_t *bytes, size_t len);
	/** Sends a message to the member @p to. */
	void (*send)(void *ctx, pl_member_id_t to,
		     const pl_flow_message_t *message);
	/** The backend server's serving state or number of slots changed. */
	void (*backend_changed)(void *ctx, bool serving, uint32_t slots);
	/** The backend server announced that it shuts down. */
	void (*backend_leaving)(void *ctx);
} pl_flow_agent_ops_t;

/** State and counters for the status page and tests. */
typedef struct {
	size_t flows; /**< flows known to be held by the backend server */
	pl_endpoint_load_t load;
	bool serving;
	bool flows_complete; /**< every flow of the server has a record */
	uint64_t evicted; /**< records of flows that may have been open */
	bool backend_down; /**< the backend server has ended */
	/** The backend server has ended, or neither listens nor reports. */
	bool backend_gone;
	/** The backend server does not listen, and the time in which it would
	 * have sent a report is not over. */
	bool backend_silent;
	/** The backend server drains: it still serves the flows it holds. */
	bool backend_draining;
	uint64_t accepted; /**< opening packets accepted for the server */
	/** Opening packets that the agent returned to their entry. */
	uint64_t refused;
	bool evacuated; /**< the data centre gets no new flows */
	uint64_t evacuated_refused; /**< of @c refused: as it is evacuated */
	uint64_t queued; /**< requests and new flows that were queued */
	/** Packets that the server returned because it does not hold their
	 * flow or accepts no new one. */
	uint64_t bounced;
	uint64_t probes; /**< flows that the server was probed for */
	uint64_t resets; /**< flows reset because their server had ended */
	/** Usual time to answer, over the last hundred requests; 0: not
	 * measured. */
	uint32_t usual_ms;
	/** Last times to answer as a multiple of the usual one, in
	 * thousandths. */
	uint32_t slowness_milli;
	uint32_t cold_ms; /**< how much longer the server is cold */
	/** Opening packets refused because the server is cold. */
	uint64_t cold_refused;
	uint32_t health; /**< see @ref pl_health_level_t */
	pl_health_cause_t health_cause; /**< of the last ejection */
	/** Opening packets refused because the server is ejected. */
	uint64_t ejected_refused;
} pl_flow_agent_stats_t;

pl_flow_agent_t *pl_flow_agent_new(const pl_flow_agent_params_t *params,
				   const pl_flow_agent_ops_t *ops, void *ctx,
				   pl_timer_service_t *timers);
void pl_flow_agent_delete(pl_flow_agent_t *agent);

/** Handles a message of an entry. */
void pl_flow_agent_message(pl_flow_agent_t *agent,
			   const pl_flow_message_t *message);

/** Handles a packet of the backend server; may modify its bytes. */
void pl_flow_agent_packet(pl_flow_agent_t *agent, uint8_t *bytes, size_t len);

/** Outcome of a report; only an accepted one changes the agent's state. */
typedef enum {
	PL_FLOW_REPORT_ACCEPTED,
	/** Overtaken by a later report of the same process. */
	PL_FLOW_REPORT_OVERTAKEN,
	/** Sent by a process that by its clock started before the known one. It
	 * is accepted later if the known process no longer reports and this
	 * one does. */
	PL_FLOW_REPORT_OUTDATED,
	/** Describes a backend server that is not this agent's, or one that
	 * cannot exist. */
	PL_FLOW_REPORT_FOREIGN,
} pl_flow_report_result_t;

/** Handles a report of the backend server. */
pl_flow_report_result_t pl_flow_agent_report(pl_flow_agent_t *agent,
					     const pl_backend_report_t *report);

/** Reports that a connection to the backend server's address was refused. The
 * agent then treats the server as ended, unless the server is leaving and has
 * only closed its listener. */
void pl_flow_agent_backend_down(pl_flow_agent_t *agent);

/** The backend server @p id announced that it shuts down. */
void pl_flow_agent_backend_leaving(pl_flow_agent_t *agent, const char *id);

/** Sets the limits for a cold server from the policy of the service. */
void pl_flow_agent_set_policy(pl_flow_agent_t *agent,
			      const pl_service_policy_t *policy);

/**
 * The agent's data centre is evacuated, or no longer. While it is, the agent
 * hands every opening packet back to its entry, those in its queue at once.
 * Open flows go on. When it no longer is, the server is cold for the time that
 * the service's policy states.
 */
void pl_flow_agent_set_evacuated(pl_flow_agent_t *agent, bool evacuated);

void pl_flow_agent_stats(const pl_flow_agent_t *agent,
			 pl_flow_agent_stats_t *stats);

#endif
/** @} */
