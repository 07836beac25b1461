/**
 * @file
 * @defgroup agent Agent core
 *
 * The decision logic of an agent, without sockets, threads or a clock. The
 * owner passes in datagrams, answers of the backend server, frames of other
 * agents, routing tables and the time; the core acts through a table of
 * function pointers. The core is deterministic: two runs with the same input
 * and the same seed have the same output.
 *
 * The core owns the message layer towards callers (deduplication,
 * retransmission, block-wise transfer), tickets, requests in progress, stored
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

/** A request to the backend server. */
typedef struct {
	uint8_t method; /**< a pl_coap_code_t */
	const char *path;
	const char *query;
	int32_t content_format; /**< -1 when absent */
	int32_t accept; /**< -1 when absent */
	const uint8_t *body;
	size_t body_len;
	uint32_t deadline_ms; /**< time left at dispatch */
} pl_backend_request_t;

/** Result of a request at the backend server. */
typedef enum {
	PL_BACKEND_ANSWERED, /**< the request ran; code and body are valid */
	PL_BACKEND_REFUSED, /**< refused before execution */
	PL_BACKEND_LOST, /**< no answer; the request may have run */
} pl_backend_status_t;

/**
 * Answer or notification of the backend server; the pointers are valid only
 * during the call that passes them.
 */
typedef struct {
	pl_backend_status_t status;
	uint8_t code;
	int32_t content_format; /**< -1 when absent */
	int64_t max_age_s; /**< -1 when absent */
	const char *location_path; /**< NULL when absent */
	const uint8_t *body;
	size_t body_len;
} pl_backend_reply_t;

/** Functions that the owner provides to the core. */
typedef struct {
	/** Sends a CoAP datagram to a caller through @p entry. */
	void (*reply)(void *ctx, pl_member_id_t entry, const pl_flow_t *flow,
		      uint32_t load, const uint8_t *pdu, size_t pdu_len);
	/** Forwards a datagram to another agent. */
	void (*forward)(void *ctx, pl_member_id_t agent,
			const pl_forward_t *forward);
	/** Sends a request to the backend server. */
	void (*dispatch)(void *ctx, uint64_t request_id,
			 const pl_backend_request_t *request);
	/** Tells the backend server that an answer is no longer wanted. */
	void (*cancel)(void *ctx, uint64_t request_id);
	/** Subscribes to @p path?@p query at the backend server. */
	void (*subscribe)(void *ctx, uint64_t subscription_id, const char *path,
			  const char *query);
	void (*unsubscribe)(void *ctx, uint64_t subscription_id);
	/**
	 * Sends a frame to another agent. The owner reports a frame that
	 * cannot be delivered with pl_agent_frame_failed().
	 */
	void (*send_frame)(void *ctx, const pl_peer_frame_t *frame);
	/** Returns a random number; tests use a seeded generator. */
	uint64_t (*random)(void *ctx);
} pl_agent_ops_t;

/** Parameters of a new agent. */
typedef struct {
	pl_member_id_t self;
	uint64_t boot; /**< boot ID: random identity of this process run */
	pl_key_t ticket_key;
	uint32_t slots; /**< requests the backend server runs at once */
	uint32_t unix_time_s; /**< Unix time at time zero of the timers */
	size_t memory_max; /**< limit for request and answer bodies, bytes */
} pl_agent_params_t;

/** Statistics for status reports. */
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

/** Creates a core; @p ops and @p timers must outlive it. */
pl_agent_t *pl_agent_new(const pl_agent_params_t *params,
			 const pl_agent_ops_t *ops, void *ctx,
			 pl_timer_service_t *timers);
void pl_agent_delete(pl_agent_t *agent);

/** Installs a new routing table; the core keeps a reference. */
void pl_agent_set_routing(pl_agent_t *agent, pl_routing_t *routing);

/**
 * Reports that the backend server registered for @p service, or that it is
 * gone when @p service is 0. The agent refuses all requests until a backend
 * server has registered.
 */
void pl_agent_set_backend(pl_agent_t *agent, pl_service_id_t service,
			  uint32_t slots);

/** Processes a datagram of a caller; the entry has determined its service. */
void pl_agent_datagram(pl_agent_t *agent, const pl_forward_t *forward);

/** Reports the result of the request @p request_id at the backend server. */
void pl_agent_backend_reply(pl_agent_t *agent, uint64_t request_id,
			    const pl_backend_reply_t *reply);

/** Processes a notification of the backend server for @p subscription_id. */
void pl_agent_backend_notify(pl_agent_t *agent, uint64_t subscription_id,
			     const pl_backend_reply_t *reply);

/** Processes a frame of another agent. */
void pl_agent_frame(pl_agent_t *agent, const pl_peer_frame_t *frame);

/** Reports that a frame which the core sent could not be delivered. */
void pl_agent_frame_failed(pl_agent_t *agent, const pl_peer_frame_t *frame);

/** Reports that membership declared @p agent_id with boot ID @p boot dead. */
void pl_agent_peer_boot_ended(pl_agent_t *agent, pl_member_id_t agent_id,
			      uint64_t boot);

/**
 * Rejoins under the new boot ID @p boot after a pause that lasted longer than
 * the failure detection of the other members. A ticket issued under an
 * earlier boot ID is then served only if its request is still recorded.
 */
void pl_agent_rejoin(pl_agent_t *agent, uint64_t boot);

/** Starts a drain: new work goes to other agents, and views move to them. */
void pl_agent_drain(pl_agent_t *agent);

/**
 * Returns true when a drain is complete: no view, no request, no
 * unacknowledged response and no active block-wise transfer is left.
 */
bool pl_agent_drained(const pl_agent_t *agent);

void pl_agent_stats(const pl_agent_t *agent, pl_agent_stats_t *stats);

#endif
/** @} */
