/**
 * @file
 * @defgroup flow Flows between entries and agents
 *
 * Messages between entries and agents about flows. The agent beside a backend
 * server is the only process that knows which flows the server owns; an entry
 * only caches what agents report. An entry that receives a packet of an unknown
 * flow therefore queries the agents of the service, and accepts an owner only
 * from an agent or its backend server. docs/design/platform.md gives the
 * reasons for this design.
 * @{
 */
#ifndef PIMENTOLIFT_FLOW_H
#define PIMENTOLIFT_FLOW_H

#include <pimentolift/addr.h>
#include <pimentolift/balance/load.h>
#include <pimentolift/balance/reason.h>
#include <pimentolift/packet.h>
#include <pimentolift/routing.h>

/** Endpoints that an opening packet and its retransmissions are offered to. */
#define PL_FLOW_OFFERS_MAX 4

/**
 * Window of sequence numbers, in bytes; larger than what can be in flight. A
 * reset is accepted only if its sequence number is within this distance of the
 * caller's last acknowledgement. An acknowledgement up to this far beyond a
 * server's first sequence number acknowledges that server's answer.
 */
#define PL_FLOW_ACK_WINDOW_BYTES 76800

/** Size of a formatted flow, in bytes, including the terminating NUL. */
#define PL_FLOW_TEXT_MAX 48

/** Formats "CALLER:PORT>SERVICE:PORT" into @p text and returns @p text. */
const char *pl_flow_format(const pl_flow_key_t *flow,
			   char text[PL_FLOW_TEXT_MAX]);

/** Type of a message. */
typedef enum {
	PL_FLOW_FORWARD = 1, /**< entry to agent: a caller's packet */
	PL_FLOW_LOCATE, /**< entry to agent: which of these flows do you own? */
	PL_FLOW_LOCATED, /**< agent to entry: answer to LOCATE */
	PL_FLOW_CANCEL, /**< entry to agent: another server owns the flow */
	PL_FLOW_LOAD, /**< agent to entry: load of its server */
	PL_FLOW_VERDICT, /**< agent to entry: state of one flow */
	PL_FLOW_TYPE_END,
} pl_flow_type_t;

/** Flags of a forwarded packet. */
typedef enum {
	/** The agent has claimed the flow. */
	PL_FLOW_OWNER_KNOWN = 1,
	/** The packet is a probe: a backend server that does not hold the flow
	 * hands it back. */
	PL_FLOW_PROBE = 2,
	/** There is no other endpoint to offer the opening packet to. */
	PL_FLOW_LAST_OFFER = 4,
	/** The entry and the agent are in different data centres. */
	PL_FLOW_REMOTE = 8,
	/** VERDICT: the server is only presumed to hold the flow: it did not
	 * hand back a probe, but has sent no packet of the flow yet. */
	PL_FLOW_PRESUMED = 16,
	/** The service has too few other endpoints: an opening packet goes to
	 * the backend server also if it is ejected. */
	PL_FLOW_NEEDED = 32,
} pl_flow_flag_t;

/** State of a flow as an agent knows it. */
typedef enum {
	PL_FLOW_OWNED, /**< its backend server holds the flow */
	/** Its backend server does not hold the flow, but may hold another one of
	 * the same addresses and ports. */
	PL_FLOW_ABSENT,
	PL_FLOW_UNSURE, /**< unknown: the server may be older than the agent */
	PL_FLOW_REFUSED, /**< the agent did not accept the opening packet */
	/** Not sent, and ignored. Agents of earlier releases sent it when they
	 * queued an opening packet. */
	PL_FLOW_RESERVED,
	/** Reset by the agent: the backend server that held it exited. */
	PL_FLOW_ENDED,
	PL_FLOW_VERDICT_COUNT,
} pl_flow_verdict_t;

/** Names of @ref pl_flow_verdict_t, indexed by its values. */
extern const char *const pl_flow_verdict_names[];

/** Maximum number of flows in one message. */
#define PL_FLOW_ITEMS_MAX 48

/** A flow of a LOCATE or LOCATED message. */
typedef struct {
	pl_flow_key_t flow;
	union {
		/** LOCATE: acknowledgement number of the queued packet, or
		 * PL_PACKET_ACK_NONE. */
		uint32_t ack;
		/** LOCATED: time since the server got a probe of the flow, in
		 * ms, at least 1; 0 if it got none, or has shown since that it
		 * holds the flow. Such an OWNED verdict is presumed. */
		uint32_t probed_ms;
	};
	pl_flow_verdict_t verdict; /**< LOCATED */
} pl_flow_item_t;

/** A message; @c type determines which fields are valid. */
typedef struct {
	pl_flow_type_t type;
	pl_member_id_t sender;
	/** Of the receiving agent, or of the sending one; LOCATE: 0 if the
	 * sender does not know it. */
	pl_service_id_t service;
	pl_flow_key_t flow;
	unsigned int
		flags; /**< FORWARD, VERDICT; bits of @ref pl_flow_flag_t */
	uint32_t due_ms; /**< FORWARD: time left until the deadline; 0: late */
	uint32_t priority; /**< FORWARD; 0 is the most urgent */
	/** FORWARD: time until the caller gives up; 0: not known. */
	uint32_t timeout_ms;

	pl_flow_verdict_t verdict; /**< VERDICT */
	pl_reason_t reason; /**< VERDICT: why an opening packet was refused */
	pl_endpoint_load_t load; /**< VERDICT, LOAD, LOCATED */
	const uint8_t *packet; /**< FORWARD; VERDICT: returned, or NULL */
	size_t packet_len;
	const pl_flow_item_t *items; /**< LOCATE, LOCATED */
	size_t item_count;
} pl_flow_message_t;

#endif
/** @} */
