/**
 * @file
 * @defgroup agent Agent core
 *
 * Everything an agent decides, without sockets, threads or a clock. The
 * owner feeds it datagrams, answers of the backend server, frames of other
 * agents, routing tables and time; the core acts through a table of function
 * pointers. Two runs with the same input and the same seed do the same.
 *
 * The core owns the message layer towards callers (deduplication,
 * retransmission, block-wise transfer), tickets, requests in progress, kept
 * answers and, through @ref view, the open views.
 * @{
 */
#ifndef PIMENTOLIFT_AGENT_H
#define PIMENTOLIFT_AGENT_H

#include <pimentolift/coap_msg.h>
#include <pimentolift/peer.h>
#include <pimentolift/placement.h>
#include <pimentolift/timer.h>
#include <pimentolift/wire.h>

typedef struct pl_agent pl_agent_t;

/** A request as it goes to the backend server. */
typedef struct {
	uint8_t method; /**< a pl_coap_code_t */
	const char *path;
	const char *query;
	int32_t content_format; /**< -1 when absent */
	int32_t accept; /**< -1 when absent */
	const uint8_t *body;
	size_t body_len;
	uint32_t deadline_ms; /**< time left when it is handed over */
} pl_backend_request_t;

/** How a backend server ended a request. */
typedef enum {
	PL_BACKEND_ANSWERED, /**< it ran; code and body hold */
	PL_BACKEND_REFUSED, /**< it was refused before it ran */
	PL_BACKEND_LOST, /**< no answer; it may have run */
} pl_backend_status_t;

/** Answer or notification of the backend server; pointers are borrowed. */
typedef struct {
	pl_backend_status_t status;
	uint8_t code;
	int32_t content_format; /**< -1 when absent */
	int64_t max_age_s; /**< -1 when absent */
	const char *location_path; /**< NULL when absent */
	const uint8_t *body;
	size_t body_len;
} pl_backend_reply_t;

/** What the core asks of its owner. */
typedef struct {
	/** Sends a CoAP datagram to a caller through @p entry. */
	void (*reply)(void *ctx, pl_member_id_t entry, const pl_flow_t *flow,
		      uint32_t load, const uint8_t *pdu, size_t pdu_len);
	/** Passes a datagram on to another agent. */
	void (*forward)(void *ctx, pl_member_id_t agent,
			const pl_forward_t *forward);
	/** Hands a request to the backend server. */
	void (*dispatch)(void *ctx, uint64_t request_id,
			 const pl_backend_request_t *request);
	/** Tells the backend server that an answer is no longer wanted. */
	void (*cancel)(void *ctx, uint64_t request_id);
	/** Observes @p path?@p query at the backend server. */
	void (*subscribe)(void *ctx, uint64_t subscription_id, const char *path,
			  const char *query);
	void (*unsubscribe)(void *ctx, uint64_t subscription_id);
	/**
	 * Sends a frame to another agent. A frame that cannot be delivered
	 * comes back through pl_agent_frame_failed().
	 */
	void (*send_frame)(void *ctx, const pl_peer_frame_t *frame);
	/** Random number; seeded in tests. */
	uint64_t (*random)(void *ctx);
} pl_agent_ops_t;

/** What an agent is told at its start. */
typedef struct {
	pl_member_id_t self;
	uint64_t boot; /**< random identity of this life of the process */
	pl_key_t ticket_key;
	uint32_t slots; /**< of the backend server */
	uint32_t unix_time_s; /**< wall clock at time zero of the timers */
	size_t memory_max; /**< bytes of bodies kept at once */
} pl_agent_params_t;

/** Figures for status and admission. */
typedef struct {
	size_t views;
	size_t requests_queued;
	size_t requests_running;
	size_t uploads;
	size_t answers_kept;
	size_t messages; /**< message IDs remembered */
	size_t body_bytes;
	uint32_t load_ms; /**< expected wait for a slot */
} pl_agent_stats_t;

/** New core; @p ops and @p timers must outlive it. */
pl_agent_t *pl_agent_new(const pl_agent_params_t *params,
			 const pl_agent_ops_t *ops, void *ctx,
			 pl_timer_service_t *timers);
void pl_agent_delete(pl_agent_t *agent);

/** Takes a new routing table; the core keeps a reference. */
void pl_agent_set_routing(pl_agent_t *agent, pl_routing_t *routing);

/**
 * The backend server announced itself for @p service, or went away when
 * @p service is 0. Until it announced itself the agent refuses everything.
 */
void pl_agent_set_backend(pl_agent_t *agent, pl_service_id_t service,
			  uint32_t slots);

/** A datagram of a caller; the service in it was checked by the entry. */
void pl_agent_datagram(pl_agent_t *agent, const pl_forward_t *forward);

/** The backend server ended the request @p request_id. */
void pl_agent_backend_reply(pl_agent_t *agent, uint64_t request_id,
			    const pl_backend_reply_t *reply);

/** The backend server sent a notification for @p subscription_id. */
void pl_agent_backend_notify(pl_agent_t *agent, uint64_t subscription_id,
			     const pl_backend_reply_t *reply);

/** A frame of another agent arrived. */
void pl_agent_frame(pl_agent_t *agent, const pl_peer_frame_t *frame);

/** A frame that the core sent could not be delivered. */
void pl_agent_frame_failed(pl_agent_t *agent, const pl_peer_frame_t *frame);

/** The membership declared @p agent_id dead, in its life @p boot. */
void pl_agent_peer_dead(pl_agent_t *agent, pl_member_id_t agent_id,
			uint64_t boot);

/**
 * The process was paused for longer than others waited for it; @p boot is
 * its new identity. Tickets of the old life that are not known are refused.
 */
void pl_agent_rejoin(pl_agent_t *agent, uint64_t boot);

/** Takes no new work and hands its views over. */
void pl_agent_drain(pl_agent_t *agent);

/** Whether a drain has ended: no view, no request, no late answer is left. */
bool pl_agent_drained(const pl_agent_t *agent);

void pl_agent_stats(const pl_agent_t *agent, pl_agent_stats_t *stats);

#endif
/** @} */
