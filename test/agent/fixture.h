/**
 * @file
 * A few agents in virtual time, without a network. Each agent has a fake
 * backend server, whose results the test supplies.
 */
#ifndef PIMENTOLIFT_AGENT_FIXTURE_H
#define PIMENTOLIFT_AGENT_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/agent.h>
#include <pimentolift/ticket.h>

#define FIXTURE_AGENTS 3

/** A datagram to a caller, or from one agent to another. */
typedef struct {
	int from; /**< index of the sending agent */
	pl_member_id_t to; /**< receiving agent, 0 for the caller */
	pl_forward_t forward; /**< for a caller, only its flow is set */
	uint8_t pdu[PL_COAP_DATAGRAM_MAX];
	size_t len;
} datagram_t;

/** A request at the backend server of an agent. */
typedef struct {
	int agent; /**< index of the agent */
	unsigned int generation; /**< of the agent that sent the request */
	uint64_t id;
	uint8_t method;
	char *path;
	GBytes *body;
	bool cancelled;
	bool ended;
} backend_call_t;

typedef struct fixture fixture_t;

typedef struct {
	fixture_t *fixture;
	int index;
	pl_member_id_t id;
	uint64_t boot;
	unsigned int generation; /**< number of starts of the agent */
	pl_agent_t *agent;
	pl_endpoint_state_t state;
} node_t;

struct fixture {
	pl_timer_service_t *timers;
	pl_ms_t now;
	GRand *rand;
	node_t nodes[FIXTURE_AGENTS];
	int node_count;
	pl_service_policy_t policy;
	pl_routing_t *routing; /**< last published table */
	GPtrArray *sent; /**< sent_t, oldest first */
	GPtrArray *calls; /**< backend_call_t */
	pl_coap_parser_t *parser;
	pl_addr_t caller;
	uint16_t mid;
	unsigned int forward_count; /**< datagrams from agent to agent */
	bool auto_forward; /**< datagrams between agents arrive at once */
};

/** Creates @p count agents that serve "permits" with two slots each. */
fixture_t *fixture_new(int count, uint32_t seed);
void fixture_delete(fixture_t *fixture);

/** Publishes a routing table with the current boot IDs and states. */
void fixture_publish_routing(fixture_t *fixture);

/** Replaces agent @p index by a new one without any state. */
void fixture_restart(fixture_t *fixture, int index, uint64_t boot);

void fixture_advance(fixture_t *fixture, pl_ms_t by_ms);

/** Delivers a datagram of the caller to agent @p to. */
void fixture_deliver(fixture_t *fixture, int to, const uint8_t *pdu,
		     size_t len);

/** Delivers a datagram of @p flow to agent @p to. */
void fixture_deliver_flow(fixture_t *fixture, int to, const pl_flow_t *flow,
			  const uint8_t *pdu, size_t len);

/** Contents of a message that a test sends. */
typedef struct {
	pl_coap_type_t type;
	uint8_t code;
	uint8_t token;
	uint32_t long_token; /**< replaces token unless 0 */
	const char *path;
	const uint8_t *echo;
	size_t echo_len;
	const char *rtag;
	const char *payload;
	size_t payload_len; /**< 0: payload is a string */
	pl_coap_block_t block1;
	pl_coap_block_t block2;
	int observe; /**< Observe value plus one, 0 for none */
	int mid; /**< message ID, 0 for the next unused one */
} test_request_t;

/** Encodes the message; returns its length. */
size_t fixture_write(fixture_t *fixture, const test_request_t *request,
		     uint8_t *buf);

/** Encodes the message and delivers it to agent @p to. */
void fixture_send(fixture_t *fixture, int to, const test_request_t *request);

/**
 * Removes and parses the oldest datagram to a caller; returns false when there
 * is none. @p msg is valid until the next call.
 */
bool fixture_take_reply(fixture_t *fixture, pl_coap_msg_t *msg);

/**
 * Removes and parses the datagram to a caller. Fails unless there is exactly
 * one, with code @p code.
 */
void fixture_expect_reply(fixture_t *fixture, uint8_t code, pl_coap_msg_t *msg);

/**
 * Ends @p call with @p status and @p body. The result of a call from before a
 * restart of the agent is discarded.
 */
void fixture_end_call(fixture_t *fixture, backend_call_t *call,
		      pl_backend_status_t status, const char *body,
		      size_t body_len);

/** Number of calls to backend servers so far. */
size_t fixture_call_count(const fixture_t *fixture);

/** Ends the call with index @p index, like fixture_end_call(). */
void fixture_end_call_at(fixture_t *fixture, size_t index,
			 pl_backend_status_t status, const char *body,
			 size_t body_len);

/**
 * Sends the request without a ticket, expects 4.01, and sends the request
 * again with the ticket, which is also written to @p echo.
 */
void fixture_send_with_ticket(fixture_t *fixture, int to,
			      test_request_t *request,
			      uint8_t echo[PL_TICKET_BYTES]);

#endif
